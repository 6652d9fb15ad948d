/* Messages between hosts that request slots and their schedulers.

   Functions named pack append an encoded message to a buffer; functions named
   read decode one and return 0 or a negative AB_ERR code.  No I/O.  */

#ifndef AB_SCHEDULE_FRAME_H
#define AB_SCHEDULE_FRAME_H

#include "scheduler.h"

/* The requesting host is the sender of the frame and is not part of its
   body.  */
void
ab_sched_pack_slot_request (struct ab_buf *out,
                            const struct ab_sched_slot_request *slot_request);
int ab_sched_read_slot_request (struct ab_chunk body,
                                struct ab_sched_slot_request *slot_request);

void ab_sched_pack_reply (struct ab_buf *out,
                          const struct ab_sched_reply *reply);
int ab_sched_read_reply (struct ab_chunk body, struct ab_sched_reply *reply);

void ab_sched_pack_outcome (struct ab_buf *out, uint64_t id,
                            enum ab_target_event event, uint64_t latency_ms);
int ab_sched_read_outcome (struct ab_chunk body, uint64_t *id,
                           enum ab_target_event *event, uint64_t *latency_ms);

/* The host that has the COUNT attempts of LIST in flight is the sender of the
   frame.  Reading writes at most AB_SCHED_ADOPT_MAX of them.  Hosts of an
   earlier version drop the frame.  */
void ab_sched_pack_in_flight (struct ab_buf *out,
                              const struct ab_sched_attempt *list,
                              size_t count);
int ab_sched_read_in_flight (struct ab_chunk body,
                             struct ab_sched_attempt list[AB_SCHED_ADOPT_MAX],
                             size_t *count);

#endif
