/* Requests slots on targets for this host's requests from the schedulers that
   assign them, which may be on other hosts, and runs the scheduler of this
   host.

   The scheduler of a service in a shard (schedule_shards.h) is on the entry
   host of the shard that comes first in rendezvous order.  A host that does
   not answer is skipped, and the next one is used.  When this host's shard has
   no free slot in time, others are tried.  */

#ifndef AB_SCHEDULE_TASK_H
#define AB_SCHEDULE_TASK_H

#include <jansson.h>

#include "daemon.h"
#include "fleet_settings.h"
#include "fleet_view_task.h"
#include "scheduler.h"

struct ab_schedule_task;
struct ab_schedule_call;

/* A granted slot on a target.  */
struct ab_schedule_grant
{
  uint64_t id;
  /* Peer address of the host that granted the slot.  */
  char scheduler[AB_ADDRESS_BYTES];
  char target[AB_NAME_BYTES];
  char address[AB_ADDRESS_BYTES];
  enum ab_target_health_state health_state;
  uint64_t waited_ms; /* Time in the scheduler's queue.  */
};

/* DECISION is AB_SCHED_GRANTED with a grant, or the reason why there is none;
   WAIT_MS is then the time after which a slot may be free.  */
typedef void (*ab_schedule_callback) (void *ctx,
                                      enum ab_sched_decision decision,
                                      const struct ab_schedule_grant *grant,
                                      uint64_t wait_ms);

int ab_schedule_task_new (struct ab_daemon *daemon,
                          const struct ab_fleet_settings *settings,
                          struct ab_schedule_task **task);
void ab_schedule_task_free (struct ab_schedule_task *task);

/* Sets the view that lists the hosts.  To be called at most once.  */
void ab_schedule_task_use_view (struct ab_schedule_task *task,
                                const struct ab_fleet_view *view);
/* Records a target; those in this host's region are passed to its
   scheduler.  */
void ab_schedule_task_set_target (struct ab_schedule_task *task,
                                  const struct ab_fleet_target *target);

/* Record that the target of GRANT says in a response that it leaves, or that
   it wants no request from this host for PAUSE_MS, and tell the scheduler.  To
   be called before ab_schedule_outcome.  */
void ab_schedule_report_leaving (struct ab_schedule_task *task,
                                 const struct ab_schedule_grant *grant);
void ab_schedule_report_pause (struct ab_schedule_task *task,
                               const struct ab_schedule_grant *grant,
                               uint64_t pause_ms);

/* Requests a slot.  The id, host and failure domain of the request are set
   here.  The callback runs from the event loop, exactly once unless the call
   is cancelled.  Returns null without memory.  */
struct ab_schedule_call *
ab_schedule_request_slot (struct ab_schedule_task *task,
                          const struct ab_sched_slot_request *slot_request,
                          ab_schedule_callback callback, void *ctx);
void ab_schedule_cancel (struct ab_schedule_call *call);

/* Reports how a granted attempt ended.  To be called exactly once for each
   grant.  */
void ab_schedule_outcome (struct ab_schedule_task *task,
                          const struct ab_schedule_grant *grant,
                          enum ab_target_event event, uint64_t latency_ms);

/* Records that the response to a granted attempt, which was sent AGE_MS ago,
   named the target's rate limit PER_1000_S, or none (rate_limit.h).  To be
   called before the outcome is reported.  */
void ab_schedule_report_rate_limit (struct ab_schedule_task *task,
                                    const struct ab_schedule_grant *grant,
                                    uint64_t per_1000_s, uint64_t age_ms);

json_t *ab_schedule_task_state (const struct ab_schedule_task *task);

const char *ab_sched_decision_name (enum ab_sched_decision decision);

#endif
