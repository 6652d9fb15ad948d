/* Messages between the hosts that ask for targets and their schedulers.  */

#ifndef AB_SCHEDULE_FRAME_H
#define AB_SCHEDULE_FRAME_H

#include "scheduler.h"

/* The asking host is the frame's sender, and not in its body.  */
void ab_sched_pack_ask (struct ab_buf *out, const struct ab_sched_ask *ask);
int ab_sched_read_ask (struct ab_chunk body, struct ab_sched_ask *ask);

void ab_sched_pack_reply (struct ab_buf *out,
                          const struct ab_sched_reply *reply);
int ab_sched_read_reply (struct ab_chunk body, struct ab_sched_reply *reply);

void ab_sched_pack_outcome (struct ab_buf *out, uint64_t id,
                            enum ab_target_event event, uint64_t latency_ms);
int ab_sched_read_outcome (struct ab_chunk body, uint64_t *id,
                           enum ab_target_event *event, uint64_t *latency_ms);

#endif
