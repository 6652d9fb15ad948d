/* Encoding of the bodies of DISPATCH and EVIDENCE frames.

   Strings that are longer than their fields are rejected.  Times are relative,
   since the clocks of hosts differ.  Decoders return 0, AB_ERR_CORRUPT,
   AB_ERR_TOO_LARGE or AB_ERR_MEMORY.  No I/O.  */

#ifndef AB_DISPATCH_FRAME_H
#define AB_DISPATCH_FRAME_H

#include "detector.h"
#include "dispatch_task.h"

#define AB_REASON_BYTES 96
/* Largest number of reports in one EVIDENCE frame.  */
#define AB_EVIDENCE_MAX 512

struct ab_slot_request_frame
{
  uint64_t id;
  uint64_t left_ms; /* Time until the deadline.  */
  bool spilled;
  bool no_spill;
  struct ab_dispatch_request
      request; /* Without deadline_ms, which is not sent.  */
};

struct ab_grant_frame
{
  uint64_t slot_request_id;
  /* Without the member dispatcher, which is the sender of the frame.  */
  struct ab_dispatch_grant grant;
};

/* Negative reply to a slot request.  RC is AB_ERR_BUSY when the request waits
   in the queue; any other value rejects it.  */
struct ab_refuse_frame
{
  uint64_t slot_request_id;
  int64_t rc;
  bool spill;
  char reason[AB_REASON_BYTES];
};

/* Outcome of the request that has the grant GRANT.  Without a grant (0), the
   frame cancels the waiting request SLOT_REQUEST_ID, or if that is 0 too, it
   is evidence from a host that chose the target itself.  */
struct ab_outcome_frame
{
  uint64_t grant;
  uint64_t slot_request_id;
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

void ab_slot_request_encode (const struct ab_slot_request_frame *slot_request,
                             struct ab_buf *out);
int ab_slot_request_decode (struct ab_chunk body,
                            struct ab_slot_request_frame *slot_request);
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
/* Calls VISIT for each report, whose chunks are valid only during the call.
   Stores the other fields in EVIDENCE, whose array of reports is not set.  */
int ab_evidence_decode (struct ab_chunk body,
                        struct ab_evidence_frame *evidence,
                        ab_evidence_visitor visit, void *ctx);

#endif
