/* Declarations shared by the source files of the schedule task:
   schedule_task.c requests slots, schedule_report_task.c tells schedulers of
   attempts and targets, schedule_serve_task.c runs the scheduler of this
   host.  */

#ifndef AB_SCHEDULE_INTERNAL_H
#define AB_SCHEDULE_INTERNAL_H

#include "held_attempts.h"
#include "rate_limit_task.h"
#include "schedule_hosts.h"
#include "schedule_shards.h"
#include "schedule_task.h"
#include "shard_choice.h"
#include "stand_in.h"
#include "target_notices.h"

struct ab_schedule_task
{
  struct ab_daemon *daemon;
  const struct ab_fleet_settings *settings;
  const struct ab_fleet_view *view;
  struct ab_scheduler *scheduler;
  struct ab_rng rng;
  struct event *tick;
  struct ab_schedule_call *calls;
  uint64_t next_id;
  struct ab_shards *shards;
  struct ab_schedule_hosts *hosts;
  struct ab_rate_limit_task *rate_limits;
  struct ab_target_notices *notices;
  struct ab_stand_in *stand_in;
  struct ab_held_attempts *held;
  struct ab_shard_choice *choice;
};

/* Returns the host that schedules SERVICE in SHARD, or null when there is
   none.  */
const char *ab_schedule_host (const struct ab_schedule_task *task,
                              const struct ab_shard *shard,
                              const char *service);

void ab_schedule_send_outcome (struct ab_schedule_task *task, const char *host,
                               uint64_t id, enum ab_target_event event,
                               uint64_t latency_ms);
/* Records the attempt of GRANT, which was granted for SLOT_REQUEST, until
   ab_schedule_outcome.  */
void ab_schedule_hold (struct ab_schedule_task *task,
                       const struct ab_schedule_grant *grant,
                       const struct ab_sched_slot_request *slot_request);
/* Tells HOST, from which SLOT_REQUEST is about to be requested, of this host's
   attempts at the targets of its shard that HOST does not know of.  IS_REMOTE
   says whether the shard is in another region.  */
void
ab_schedule_tell_in_flight (struct ab_schedule_task *task, const char *host,
                            const struct ab_sched_slot_request *slot_request,
                            bool is_remote);

/* Creates the scheduler of this host and handles the messages to it.  Returns
   0 or AB_ERR_MEMORY.  */
int ab_schedule_serve (struct ab_schedule_task *task);
/* Passes a target of this host's region to its scheduler.  CTX is the schedule
   task.  */
void ab_schedule_serve_target (void *ctx, const struct ab_fleet_target *target,
                               const char *shard);

#endif
