/* A scheduler under a simulated load, with simulated time.  Requests are
   identified by their id, targets by their number.  */

#ifndef SCHEDULER_REPLAY_LIB_H
#define SCHEDULER_REPLAY_LIB_H

#include "scheduler.h"

#define REPLAY_REQUESTS_MAX 8192
#define REPLAY_TARGETS_MAX 16
#define REPLAY_WORK_MS 200

/* One request of the replay.  */
struct replay
{
  bool requested;
  bool granted;
  bool decided;
  bool rate_limited; /* Rejected because of a rate limit.  */
  enum ab_sched_decision decision;
  unsigned target;
  uint64_t priority;
  uint64_t requested_ms;
  uint64_t decided_ms;
  uint64_t wait_ms; /* Told with a rejection.  */
  uint64_t ends_ms; /* 0: not in flight.  */
};

extern struct ab_scheduler *replay_sched;
extern struct replay replay_requests[REPLAY_REQUESTS_MAX]; /* By id.  */
extern unsigned replay_in_flight[REPLAY_TARGETS_MAX];      /* By target.  */
/* Highest number of requests in flight at one target so far.  */
extern unsigned replay_most_in_flight;
extern uint64_t replay_now_ms;

/* Creates a new scheduler with TARGETS targets of two slots each.  */
void replay_begin (unsigned targets);
/* Lets DURATION_MS pass with the scheduler's ticks.  */
void replay_pass (uint64_t duration_ms);
void replay_set_target (unsigned number, const char *domain,
                        enum ab_fleet_target_state state);
struct ab_sched_slot_request replay_make_slot_request (uint64_t id,
                                                       bool idempotent);
struct replay *replay_request_slot (uint64_t id, bool idempotent);
/* Ends the requests up to LAST_ID whose work is done.  */
void replay_finish_due (uint64_t last_id);
/* Ends the granted request ID with EVENT.  */
void replay_end (uint64_t id, enum ab_target_event event);
/* Makes the first TARGETS targets healthy, with requests from FIRST_ID on.  */
void replay_make_healthy (unsigned targets, uint64_t first_id);

#endif
