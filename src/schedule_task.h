/* Asks for targets: from this host's requests to the scheduler that places
   them, which may be on another host.

The scheduler of a service in an area (schedule_areas.h) is on the entry host
   of the area that comes first in rendezvous order.  One that does not answer
   is left for the next.  When the own area has no room in time, others are
   asked.  */

#ifndef AB_SCHEDULE_TASK_H
#define AB_SCHEDULE_TASK_H

#include <jansson.h>

#include "daemon.h"
#include "fleet_settings.h"
#include "fleet_view_task.h"
#include "scheduler.h"

struct ab_schedule_task;
struct ab_schedule_call;

/* A target that was granted.  */
struct ab_schedule_grant
{
  uint64_t id;
  char scheduler[AB_ADDRESS_BYTES]; /* Host that granted.  */
  char target[AB_NAME_BYTES];
  char address[AB_ADDRESS_BYTES];
  enum ab_target_trust trust;
  uint64_t waited_ms; /* In the scheduler's queue.  */
};

/* KIND is AB_SCHED_GRANTED with a grant, or why there is none; WAIT_MS is then
   when there may be room.  */
typedef void (*ab_schedule_callback) (void *ctx, enum ab_sched_kind kind,
                                      const struct ab_schedule_grant *grant,
                                      uint64_t wait_ms);

int ab_schedule_task_new (struct ab_daemon *daemon,
                          const struct ab_fleet_settings *settings,
                          struct ab_schedule_task **task);
void ab_schedule_task_free (struct ab_schedule_task *task);

/* The view gives the hosts; it may be set once.  */
void ab_schedule_task_use_view (struct ab_schedule_task *task,
                                const struct ab_fleet_view *view);
/* Targets in this host's region are given to its scheduler.  */
void ab_schedule_task_set_target (struct ab_schedule_task *task,
                                  const struct ab_fleet_target *target);

/* ASK's id and host are set here.  The callback runs from the event loop,
   exactly once unless the call is cancelled.  Null without memory.  */
struct ab_schedule_call *ab_schedule_ask (struct ab_schedule_task *task,
                                          const struct ab_sched_ask *ask,
                                          ab_schedule_callback callback,
                                          void *ctx);
void ab_schedule_cancel (struct ab_schedule_call *call);

/* Reports how a granted attempt ended; exactly once for each grant.  */
void ab_schedule_outcome (struct ab_schedule_task *task,
                          const struct ab_schedule_grant *grant,
                          enum ab_target_event event, uint64_t latency_ms);

json_t *ab_schedule_task_state (const struct ab_schedule_task *task);

const char *ab_sched_kind_name (enum ab_sched_kind kind);

#endif
