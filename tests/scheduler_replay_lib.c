#include "scheduler_replay_lib.h"

#include <stdio.h>
#include <stdlib.h>

#include "suite_lib.h"

struct ab_scheduler *replay_sched;
struct replay replay_requests[REPLAY_REQUESTS_MAX];
unsigned replay_in_flight[REPLAY_TARGETS_MAX];
unsigned replay_most_in_flight;
uint64_t replay_now_ms;

static void
on_decide (void *ctx, const struct ab_sched_slot_request *slot_request,
           const struct ab_sched_reply *reply)
{
  struct replay *replay = &replay_requests[slot_request->id];

  (void)ctx;
  ck_assert_uint_eq (reply->id, slot_request->id);
  replay->decision = reply->decision;
  if (reply->decision == AB_SCHED_WAITING || replay->granted)
    return;
  replay->decided = true;
  replay->decided_ms = replay_now_ms;
  replay->wait_ms = reply->wait_ms;
  if (reply->decision != AB_SCHED_GRANTED)
    {
      replay->rate_limited = reply->target[0];
      return;
    }
  replay->granted = true;
  replay->target = (unsigned)atoi (reply->target);
  replay->ends_ms = replay_now_ms + REPLAY_WORK_MS;
  if (++replay_in_flight[replay->target] > replay_most_in_flight)
    replay_most_in_flight = replay_in_flight[replay->target];
}

static const struct ab_scheduler_ops ops = { .decide = on_decide };

void
replay_set_target (unsigned number, const char *domain,
                   enum ab_fleet_target_state state)
{
  struct ab_fleet_target target
      = { .service = "s", .started_ms = 1, .slots = 2, .state = state };

  snprintf (target.id, sizeof target.id, "%u", number);
  snprintf (target.address, sizeof target.address, "10.0.0.%u:80", number);
  ab_chunk_copy_bounded (ab_chunk_str (domain), target.failure_domain,
                         sizeof target.failure_domain);
  ab_scheduler_set_target (replay_sched, &target, "", replay_now_ms);
}

void
replay_begin (unsigned targets)
{
  const struct ab_scheduler_config config
      = { .retry_fraction = 0.2, .retry_extra = 8, .retry_window_ms = 10000 };

  memset (replay_requests, 0, sizeof replay_requests);
  memset (replay_in_flight, 0, sizeof replay_in_flight);
  replay_most_in_flight = 0;
  replay_now_ms = 100000;
  replay_sched = ab_scheduler_new (&config, &ops, NULL);
  for (unsigned i = 0; i < targets; i++)
    replay_set_target (i, "d", AB_FLEET_TARGET_READY);
}

void
replay_pass (uint64_t duration_ms)
{
  for (uint64_t until_ms = replay_now_ms + duration_ms;
       replay_now_ms < until_ms;)
    {
      replay_now_ms += AB_SCHED_TICK_MS;
      ab_scheduler_tick (replay_sched, replay_now_ms);
    }
}

struct ab_sched_slot_request
replay_make_slot_request (uint64_t id, bool idempotent)
{
  struct ab_sched_slot_request slot_request = { .id = id,
                                                .host = "h",
                                                .failure_domain = "d",
                                                .service = "s",
                                                .idempotent = idempotent,
                                                .may_wait = true,
                                                .objective_ms = 600,
                                                .timeout_ms = 1200 };

  return slot_request;
}

struct replay *
replay_request_slot (uint64_t id, bool idempotent)
{
  struct ab_sched_slot_request slot_request
      = replay_make_slot_request (id, idempotent);

  ab_scheduler_request_slot (replay_sched, &slot_request, replay_now_ms);
  return &replay_requests[id];
}

void
replay_end (uint64_t id, enum ab_target_event event)
{
  replay_in_flight[replay_requests[id].target]--;
  replay_requests[id].ends_ms = 0;
  ab_scheduler_outcome (replay_sched, id, event, REPLAY_WORK_MS,
                        replay_now_ms);
}

void
replay_finish_due (uint64_t last_id)
{
  for (uint64_t id = 1; id <= last_id; id++)
    if (replay_requests[id].ends_ms
        && replay_requests[id].ends_ms <= replay_now_ms)
      replay_end (id, AB_TARGET_OK);
}

/* Makes the first TARGETS targets healthy.  */
void
replay_make_healthy (unsigned targets, uint64_t first_id)
{
  for (unsigned i = 0; i < targets; i++)
    replay_request_slot (first_id + i, true);
  for (unsigned i = 0; i < targets; i++)
    replay_end (first_id + i, AB_TARGET_OK);
}
