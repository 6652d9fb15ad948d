/* Bodies of the DISPATCH and EVIDENCE frames.

   All strings read are bounded by their fields; times are relative, as
   clocks of hosts differ.  Decoders return AB_ERR_CORRUPT or
   AB_ERR_TOO_LARGE.  */

#ifndef AB_DISPATCH_FRAME_H
#define AB_DISPATCH_FRAME_H

#include "detector.h"
#include "dispatch_task.h"

#define AB_REASON_BYTES 96
/* Reports in one EVIDENCE frame.  */
#define AB_EVIDENCE_MAX 512

struct ab_ask_frame
{
  uint64_t id;
  uint64_t left_ms; /* Until the deadline.  */
  bool spilled;
  bool stay;
  struct ab_dispatch_request request; /* DEADLINE_MS is not sent.  */
};

struct ab_grant_frame
{
  uint64_t ask;
  struct ab_dispatch_grant grant; /* DISPATCHER is the frame's sender.  */
};

/* RC AB_ERR_BUSY: the ask waits in the queue.  */
struct ab_refuse_frame
{
  uint64_t ask;
  int64_t rc;
  bool spill;
  char reason[AB_REASON_BYTES];
};

/* GRANT 0 with an ASK takes a waiting ask back; GRANT 0 without one is
   evidence from a host that chose the target itself.  */
struct ab_outcome_frame
{
  uint64_t grant;
  uint64_t ask;
  char service[AB_NAME_BYTES];
  char class_name[AB_NAME_BYTES];
  char target[AB_ADDRESS_BYTES];
  struct ab_outcome outcome;
};

struct ab_evidence_frame
{
  char service[AB_NAME_BYTES];
  uint64_t out_slots;
  uint64_t idle_slots;
  size_t count;
  struct ab_peer_evidence reports[AB_EVIDENCE_MAX];
};

void ab_ask_encode (const struct ab_ask_frame *ask, struct ab_buf *out);
int ab_ask_decode (struct ab_chunk body, struct ab_ask_frame *ask);
void ab_grant_encode (const struct ab_grant_frame *grant, struct ab_buf *out);
int ab_grant_decode (struct ab_chunk body, struct ab_grant_frame *grant);
void ab_refuse_encode (const struct ab_refuse_frame *refuse,
                       struct ab_buf *out);
int ab_refuse_decode (struct ab_chunk body, struct ab_refuse_frame *refuse);
void ab_outcome_encode (const struct ab_outcome_frame *outcome,
                        struct ab_buf *out);
int ab_outcome_decode (struct ab_chunk body, struct ab_outcome_frame *outcome);
void ab_evidence_encode (const struct ab_evidence_frame *evidence,
                         struct ab_buf *out);
/* Calls VISIT for each report, whose chunks are valid during the call;
   EVIDENCE gets the rest.  */
int ab_evidence_decode (struct ab_chunk body,
                        struct ab_evidence_frame *evidence,
                        ab_evidence_visitor visit, void *ctx);

#endif
