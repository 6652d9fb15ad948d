/* Granting, queuing and rejecting, with replays of the load patterns that the
   scheduler handles.  Time is simulated in steps of a millisecond.  */

#include "scheduler_replay_lib.h"

#include <stdio.h>

#include "suite_lib.h"

#define PRIORITIES 3

/* Guards against more requests at a target than it has slots: further ones are
   queued in the scheduler and granted by priority as slots come free.  */
START_TEST (queue_is_served_by_priority)
{
  struct ab_sched_slot_request low = replay_make_slot_request (11, true);
  struct ab_sched_slot_request high = replay_make_slot_request (12, false);

  replay_begin (1);
  replay_make_healthy (1, 1);
  replay_request_slot (2, false);
  replay_request_slot (3, false);
  low.priority = 2;
  high.priority = 0;
  ab_scheduler_request_slot (replay_sched, &low, replay_now_ms);
  ab_scheduler_request_slot (replay_sched, &high, replay_now_ms);
  ck_assert_int_eq (replay_requests[11].decision, AB_SCHED_WAITING);
  ck_assert_int_eq (replay_requests[12].decision, AB_SCHED_WAITING);
  replay_now_ms += 50;
  replay_end (2, AB_TARGET_OK);
  ck_assert (replay_requests[12].granted);
  ck_assert (!replay_requests[11].granted);
  replay_end (3, AB_TARGET_OK);
  ck_assert (replay_requests[11].granted);
  ck_assert_uint_eq (replay_most_in_flight, 2);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Simulates a load of FACTOR times what TARGETS serve (their capacity in
   requests per millisecond), for LENGTH_MS, spread over the priorities, with
   ids after AFTER.  Returns the last id.  */
static uint64_t
simulate_load (unsigned targets, double factor, uint64_t length_ms,
               uint64_t after)
{
  double capacity = (double)targets * 2 / REPLAY_WORK_MS;
  double due = 0;
  uint64_t id = after;
  uint64_t until = replay_now_ms + length_ms;

  for (; replay_now_ms < until; replay_now_ms++)
    {
      replay_finish_due (id);
      due += capacity * factor;
      while (due >= 1)
        {
          struct ab_sched_slot_request slot_request;
          id++;
          slot_request = replay_make_slot_request (id, id % PRIORITIES == 2);
          slot_request.priority = id % PRIORITIES;
          replay_requests[id].requested = true;
          replay_requests[id].priority = slot_request.priority;
          replay_requests[id].requested_ms = replay_now_ms;
          ab_scheduler_request_slot (replay_sched, &slot_request,
                                     replay_now_ms);
          due--;
        }
      if (replay_now_ms % AB_SCHED_TICK_MS == 0)
        ab_scheduler_tick (replay_sched, replay_now_ms);
    }
  return id;
}

/* Sustained overload: the slots stay in use, urgent requests are served and
   the others are rejected early.  */
START_TEST (overload_serves_urgent_and_rejects_early)
{
  unsigned requested[PRIORITIES] = { 0 };
  unsigned served[PRIORITIES] = { 0 };
  unsigned total = 0;
  unsigned late = 0;
  unsigned rejected = 0;
  uint64_t last;

  replay_begin (8);
  replay_make_healthy (8, 1);
  last = simulate_load (8, 1.5, 8000, 100);
  for (uint64_t id = 101; id <= last; id++)
    {
      const struct replay *replay = &replay_requests[id];
      if (!replay->decided)
        continue;
      requested[replay->priority]++;
      served[replay->priority] += replay->granted;
      total += replay->granted;
      rejected += !replay->granted;
      /* Half of the time that a rejected request had.  */
      late += !replay->granted
              && replay->decided_ms - replay->requested_ms > 600;
    }
  ck_assert_uint_ge (served[0] * 100, requested[0] * 97);
  ck_assert_uint_ge (served[1] * 100, requested[1] * 80);
  /* 16 slots for 8 s of work of 200 ms each.  */
  ck_assert_uint_ge (total, 640 * 93 / 100);
  ck_assert_uint_gt (rejected, 0);
  ck_assert_uint_le (late * 10, rejected);
  ck_assert_uint_le (replay_most_in_flight, 2);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Guards against rejections during a short burst above capacity, which the
   queue must absorb.  */
START_TEST (short_burst_is_served_completely)
{
  unsigned rejected = 0;
  uint64_t last;

  replay_begin (8);
  replay_make_healthy (8, 1);
  last = simulate_load (8, 0.6, 3000, 100);
  last = simulate_load (8, 1.6, 400, last);
  last = simulate_load (8, 0.6, 1000, last);
  for (uint64_t id = 101; id <= last; id++)
    rejected += replay_requests[id].decided && !replay_requests[id].granted;
  ck_assert_uint_eq (rejected, 0);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Guards against a retry storm when a service fails: retries stay within their
   fraction in any window.  */
START_TEST (retries_stay_within_budget)
{
  unsigned retries = 0;
  unsigned first = 0;

  replay_begin (8);
  replay_make_healthy (8, 1);
  for (uint64_t id = 100; id < 2100; id += 2)
    {
      struct ab_sched_slot_request retry
          = replay_make_slot_request (id + 1, true);
      replay_request_slot (id, true);
      first++;
      if (replay_requests[id].granted)
        replay_end (id, AB_TARGET_OK);
      retry.is_retry = true;
      ab_scheduler_request_slot (replay_sched, &retry, replay_now_ms);
      retries += replay_requests[id + 1].granted;
      if (replay_requests[id + 1].granted)
        replay_end (id + 1, AB_TARGET_OK);
      replay_now_ms += 5;
    }
  ck_assert_uint_gt (retries, 0);
  ck_assert_uint_le (retries, first / 5 + 8);
  ab_scheduler_free (replay_sched);
}
END_TEST

#define SCHEDULERS 9
#define SHARED_ADDITIONAL 180

static size_t
count_schedulers (void *ctx, const char *service)
{
  (void)ctx;
  (void)service;
  return SCHEDULERS;
}

static void
ignore_decision (void *ctx, const struct ab_sched_slot_request *slot_request,
                 const struct ab_sched_reply *reply)
{
  (void)slot_request;
  *(unsigned *)ctx += reply->decision == AB_SCHED_GRANTED;
}

#define SHARING_WINDOW_MS 10000

/* Returns the retries that one of SCHEDULERS schedulers grants in a window
   when first attempts allow none.  At FROM_MS the window begins.  */
static unsigned
count_additional_retries (bool last_resort, uint64_t from_ms)
{
  static const struct ab_scheduler_ops sharing
      = { .decide = ignore_decision, .count_schedulers = count_schedulers };
  const struct ab_scheduler_config config
      = { .retry_extra = SHARED_ADDITIONAL,
          .retry_window_ms = SHARING_WINDOW_MS };
  struct ab_fleet_target target = { .id = "1",
                                    .service = "s",
                                    .address = "10.0.0.1:80",
                                    .failure_domain = "d",
                                    .started_ms = 1,
                                    .slots = 100,
                                    .state = AB_FLEET_TARGET_READY };
  unsigned granted = 0;
  uint64_t id = 0;
  struct ab_scheduler *scheduler
      = ab_scheduler_new (&config, &sharing, &granted);

  ab_scheduler_set_target (scheduler, &target, "", 100000);
  for (uint64_t t = 0; t < from_ms + SHARING_WINDOW_MS; t += AB_SCHED_TICK_MS)
    {
      struct ab_sched_slot_request slot_request
          = replay_make_slot_request (++id, true);
      slot_request.is_retry = true;
      slot_request.last_resort = last_resort;
      ab_scheduler_tick (scheduler, 100000 + t);
      if (t < from_ms)
        continue;
      ab_scheduler_request_slot (scheduler, &slot_request, 100000 + t);
      ab_scheduler_outcome (scheduler, id, AB_TARGET_OK, 10, 100000 + t);
    }
  ab_scheduler_free (scheduler);
  return granted;
}

/* After a power failure many schedulers start at once, and hosts that find
   none decide alone.  Guards against each of them using the whole budget of
   additional retries, and against one that saves more than the budget while
   there are no retries.  */
START_TEST (additional_retries_are_shared)
{
  unsigned early = count_additional_retries (false, 0);
  unsigned late = count_additional_retries (false, 10 * SHARING_WINDOW_MS);

  ck_assert_uint_gt (early, 0);
  ck_assert_uint_gt (late * SCHEDULERS, SHARED_ADDITIONAL / 2);
  ck_assert_uint_le (early * SCHEDULERS, SHARED_ADDITIONAL);
  ck_assert_uint_le (late * SCHEDULERS, SHARED_ADDITIONAL);
  ck_assert_uint_eq (count_additional_retries (true, 0), 0);
}
END_TEST

/* All targets shed a part of their requests: the remaining retries go to
   urgent requests, and targets stay in use.  */
START_TEST (sheds_everywhere_favour_urgent_retries)
{
  unsigned retries[2] = { 0 };

  replay_begin (8);
  replay_make_healthy (8, 1);
  for (uint64_t id = 100; id < 3100; id += 3)
    {
      if (replay_request_slot (id, false)->granted)
        replay_end (id, id % 5 < 2 ? AB_TARGET_SHED : AB_TARGET_OK);
      for (uint64_t urgent = 0; urgent < 2; urgent++)
        {
          struct ab_sched_slot_request retry
              = replay_make_slot_request (id + 1 + urgent, false);
          retry.is_retry = true;
          retry.priority = urgent ? 0 : 2;
          ab_scheduler_request_slot (replay_sched, &retry, replay_now_ms);
          if (!replay_requests[retry.id].granted)
            continue;
          retries[urgent]++;
          replay_end (retry.id, AB_TARGET_OK);
        }
      replay_now_ms += 20;
    }
  ck_assert_uint_gt (retries[1], retries[0]);
  ck_assert_uint_le (retries[0] + retries[1], 1000 / 5 + 8 * 3);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Most targets are suspect and the healthy ones reject a part of their
   requests.  Guards against orders that leave the others idle for seconds.  */
START_TEST (degraded_service_spreads_orders)
{
  bool used[6] = { false };

  replay_begin (6);
  replay_make_healthy (6, 1);
  for (uint64_t id = 10; id < 14; id++)
    if (replay_request_slot (id, false)->granted)
      replay_end (id, AB_TARGET_TIMEOUT);
  replay_now_ms += 3000;
  ab_scheduler_tick (replay_sched, replay_now_ms);
  for (uint64_t id = 100; id < 300; id++)
    {
      replay_request_slot (id, false);
      /* Queued requests are granted as others end.  */
      for (uint64_t granted = 100; granted <= id; granted++)
        if (replay_requests[granted].ends_ms)
          {
            /* Only the last two seconds count.  */
            used[replay_requests[granted].target] |= id >= 200;
            replay_end (granted,
                        granted % 5 < 2 ? AB_TARGET_SHED : AB_TARGET_OK);
          }
      replay_now_ms += 20;
      if (id % 3 == 0)
        ab_scheduler_tick (replay_sched, replay_now_ms);
    }
  for (unsigned i = 0; i < 6; i++)
    ck_assert_msg (used[i], "target %u got nothing", i);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* A target that one host cannot reach is avoided for that host alone; one that
   several hosts cannot reach is ejected.  */
START_TEST (broken_path_counts_for_one_host)
{
  struct ab_sched_slot_request from_first
      = replay_make_slot_request (10, false);
  struct ab_sched_slot_request from_other
      = replay_make_slot_request (11, false);

  replay_begin (1);
  replay_make_healthy (1, 1);
  ab_scheduler_request_slot (replay_sched, &from_first, replay_now_ms);
  replay_end (10, AB_TARGET_UNREACHABLE);
  from_first.id = 12;
  ab_scheduler_request_slot (replay_sched, &from_first, replay_now_ms);
  ck_assert (!replay_requests[12].granted);
  snprintf (from_other.host, sizeof from_other.host, "other");
  ab_scheduler_request_slot (replay_sched, &from_other, replay_now_ms);
  ck_assert (replay_requests[11].granted);
  replay_end (11, AB_TARGET_UNREACHABLE);
  from_other.id = 13;
  snprintf (from_other.host, sizeof from_other.host, "third");
  ab_scheduler_request_slot (replay_sched, &from_other, replay_now_ms);
  ck_assert (!replay_requests[13].granted);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Guards against a lost reply that costs a slot: a retried slot request gets
   the same reply and takes no second slot.  A grant without an outcome is
   released in the end.  */
START_TEST (retried_slot_request_takes_one_slot)
{
  replay_begin (1);
  replay_make_healthy (1, 1);
  replay_request_slot (10, false);
  replay_request_slot (10, false);
  ck_assert_uint_eq (replay_most_in_flight, 1);
  ck_assert (replay_request_slot (11, false)->granted);
  ck_assert (!replay_request_slot (12, false)->granted);
  for (int i = 0; i < 100; i++)
    {
      replay_now_ms += AB_SCHED_TICK_MS;
      ab_scheduler_tick (replay_sched, replay_now_ms);
    }
  ck_assert (replay_request_slot (13, true)->granted);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Targets that leave get no new requests; those that join get one soon.  */
START_TEST (follows_target_changes)
{
  replay_begin (2);
  replay_make_healthy (2, 1);
  replay_set_target (0, "d", AB_FLEET_TARGET_DRAINING);
  for (uint64_t id = 10; id < 13; id++)
    if (replay_request_slot (id, false)->granted)
      ck_assert_uint_eq (replay_requests[id].target, 1);
  ck_assert (!replay_requests[12].granted);
  replay_set_target (2, "elsewhere", AB_FLEET_TARGET_READY);
  ab_scheduler_tick (replay_sched, replay_now_ms);
  ck_assert (replay_requests[12].granted);
  ck_assert_uint_eq (replay_requests[12].target, 2);
  replay_set_target (1, "d", AB_FLEET_TARGET_REMOVED);
  replay_end (10, AB_TARGET_OK);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Guards against requests that leave the requester's failure domain while
   there is a free slot in it.  */
START_TEST (prefers_own_domain)
{
  replay_begin (0);
  replay_set_target (0, "d", AB_FLEET_TARGET_READY);
  replay_set_target (1, "e", AB_FLEET_TARGET_READY);
  replay_make_healthy (2, 1);
  ck_assert_uint_eq (replay_request_slot (10, false)->target, 0);
  ck_assert_uint_eq (replay_request_slot (11, false)->target, 0);
  ck_assert_uint_eq (replay_request_slot (12, false)->target, 1);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* A large body while all targets in the requester's failure domain are busy:
   it waits a short time for a slot there and crosses to another domain when
   none comes free.  */
START_TEST (large_body_waits_for_a_local_slot)
{
  struct ab_sched_slot_request large = replay_make_slot_request (12, false);

  replay_begin (0);
  replay_set_target (0, "d", AB_FLEET_TARGET_READY);
  replay_set_target (1, "e", AB_FLEET_TARGET_READY);
  replay_make_healthy (2, 1);
  replay_request_slot (10, false);
  replay_request_slot (11, false);
  large.large_body = true;
  ab_scheduler_request_slot (replay_sched, &large, replay_now_ms);
  ck_assert (!replay_requests[12].granted);
  replay_now_ms += 40;
  replay_end (10, AB_TARGET_OK);
  ck_assert (replay_requests[12].granted);
  ck_assert_uint_eq (replay_requests[12].target, 0);
  large.id = 13;
  ab_scheduler_request_slot (replay_sched, &large, replay_now_ms);
  for (int i = 0; i < 3; i++)
    {
      replay_now_ms += AB_SCHED_TICK_MS;
      ab_scheduler_tick (replay_sched, replay_now_ms);
    }
  ck_assert (replay_requests[13].granted);
  ck_assert_uint_eq (replay_requests[13].target, 1);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Guards against queuing a request that no target can serve.  */
START_TEST (rejects_at_once_without_targets)
{
  replay_begin (0);
  ck_assert_int_eq (replay_request_slot (10, false)->decision,
                    AB_SCHED_NO_TARGET);
  ab_scheduler_free (replay_sched);
}
END_TEST

SUITE_MAIN ("scheduler", 30, queue_is_served_by_priority,
            overload_serves_urgent_and_rejects_early,
            short_burst_is_served_completely, retries_stay_within_budget,
            additional_retries_are_shared,
            sheds_everywhere_favour_urgent_retries,
            degraded_service_spreads_orders, broken_path_counts_for_one_host,
            retried_slot_request_takes_one_slot, follows_target_changes,
            prefers_own_domain, large_body_waits_for_a_local_slot,
            rejects_at_once_without_targets)
