/* A scheduler under a replayed load.  Time is simulated; requests are known by
   their id, targets by their number.  */

#ifndef SCHEDULER_REPLAY_LIB_H
#define SCHEDULER_REPLAY_LIB_H

#include "scheduler.h"

#define REPLAY_REQUESTS_MAX 8192
#define REPLAY_TARGETS_MAX 16
#define REPLAY_WORK_MS 200

/* One request of the replay, by its id.  */
struct replay
{
  bool asked;
  bool granted;
  bool decided;
  enum ab_sched_kind kind;
  unsigned target;
  uint64_t priority;
  uint64_t asked_ms;
  uint64_t decided_ms;
  uint64_t ends_ms; /* 0: not under way.  */
};

extern struct ab_scheduler *replay_sched;
extern struct replay replay_requests[REPLAY_REQUESTS_MAX]; /* By id.  */
extern unsigned replay_in_flight[REPLAY_TARGETS_MAX];      /* By target.  */
extern unsigned replay_most_in_flight; /* At one target, so far.  */
extern uint64_t replay_now_ms;

/* A new scheduler with TARGETS targets of two slots each.  */
void replay_begin (unsigned targets);
void replay_set_target (unsigned number, const char *domain,
                        enum ab_fleet_target_state state);
struct ab_sched_ask replay_make_ask (uint64_t id, bool idempotent);
struct replay *replay_ask (uint64_t id, bool idempotent);
/* Ends a granted request.  */
void replay_end (uint64_t id, enum ab_target_event event);
/* Makes every target proven.  */
void replay_prove (unsigned targets, uint64_t first_id);

#endif
