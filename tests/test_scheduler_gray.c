/* Scheduling while targets turn gray, stall or are untested.  */

#include "scheduler_replay_lib.h"

#include <math.h>

#include "suite_lib.h"

/* Guards against sending a request that is not idempotent to a target that
   failed, while others succeed.  */
START_TEST (gray_target_gets_no_orders)
{
  struct replay *replay;

  replay_begin (3);
  replay_make_healthy (3, 1);
  replay_request_slot (10, false);
  replay_end (10, AB_TARGET_ERROR);
  for (uint64_t id = 20; id < 60; id++)
    {
      replay = replay_request_slot (id, false);
      ck_assert (replay->granted);
      ck_assert_uint_ne (replay->target, replay_requests[10].target);
      replay_end (id, AB_TARGET_OK);
      replay_now_ms += 20;
    }
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Targets turn gray and recover independently, in a service at half its
   capacity.  While a target is gray, the share GRAY_FAILURE_SHARE of its
   requests fails at once, for seconds.  */
#define GRAY_TARGETS 12
#define GRAY_MEAN_MS 9000
#define HEALTHY_MEAN_MS 21000
#define GRAY_FAILURE_SHARE 0.9
#define GRAY_LATENCY_MS 1
#define GRAY_REPLAY_MS 60000
#define GRAY_WARM_UP_MS 5000
/* Healthy targets fail after they did the work.  */
#define CHANCE_FAILURE_SHARE 0.012

struct gray_replay
{
  struct ab_rng rng;
  bool is_gray[GRAY_TARGETS];
  uint64_t next_change_ms[GRAY_TARGETS];
  /* The target was gray when the request began.  */
  bool was_gray[REPLAY_REQUESTS_MAX];
  bool is_decided[REPLAY_REQUESTS_MAX]; /* Whether FAILS is set.  */
  bool fails[REPLAY_REQUESTS_MAX];
  unsigned orders;
  unsigned failed;
};

static uint64_t
draw_duration_ms (struct ab_rng *rng, double mean_ms)
{
  return (uint64_t)(-mean_ms * log (1 - ab_rng_unit (rng))) + 1;
}

static void
switch_gray_targets (struct gray_replay *gray_replay)
{
  for (unsigned i = 0; i < GRAY_TARGETS; i++)
    if (replay_now_ms >= gray_replay->next_change_ms[i])
      {
        gray_replay->is_gray[i]
            = gray_replay->next_change_ms[i] > 0 && !gray_replay->is_gray[i];
        gray_replay->next_change_ms[i]
            = replay_now_ms
              + draw_duration_ms (&gray_replay->rng, gray_replay->is_gray[i]
                                                         ? GRAY_MEAN_MS
                                                         : HEALTHY_MEAN_MS);
      }
}

/* Decides whether the requests that were granted just now will fail, and ends
   those that are due.  */
static void
run_targets (struct gray_replay *gray_replay, uint64_t first, uint64_t last)
{
  for (uint64_t id = first; id <= last; id++)
    {
      struct replay *replay = &replay_requests[id];
      if (!replay->granted || !replay->ends_ms)
        continue;
      if (!gray_replay->is_decided[id])
        {
          bool gray = gray_replay->is_gray[replay->target]
                      && ab_rng_unit (&gray_replay->rng) < GRAY_FAILURE_SHARE;
          gray_replay->is_decided[id] = true;
          gray_replay->fails[id]
              = gray || ab_rng_unit (&gray_replay->rng) < CHANCE_FAILURE_SHARE;
          if (gray)
            replay->ends_ms = replay_now_ms + GRAY_LATENCY_MS;
        }
      if (replay->ends_ms > replay_now_ms)
        continue;
      if (replay->priority == 1
          && replay->requested_ms > 100000 + GRAY_WARM_UP_MS)
        {
          gray_replay->orders++;
          gray_replay->failed += gray_replay->fails[id];
        }
      replay_in_flight[replay->target]--;
      ab_scheduler_outcome (replay_sched, id,
                            gray_replay->fails[id] ? AB_TARGET_ERROR
                                                   : AB_TARGET_OK,
                            replay_now_ms - replay->decided_ms, replay_now_ms);
      replay->ends_ms = 0;
    }
}

static void
simulate_gray_targets (struct gray_replay *gray_replay, uint64_t seed)
{
  double due = 0;
  uint64_t id = 100;
  uint64_t oldest = 101;

  memset (gray_replay, 0, sizeof *gray_replay);
  ab_rng_init_seeded (&gray_replay->rng, seed);
  replay_begin (GRAY_TARGETS);
  for (; replay_now_ms < 100000 + GRAY_REPLAY_MS; replay_now_ms++)
    {
      switch_gray_targets (gray_replay);
      run_targets (gray_replay, oldest, id);
      /* 24 slots, half of them in use; a quarter of the requests is
         idempotent.  */
      due += 0.5 * 2 * GRAY_TARGETS / REPLAY_WORK_MS;
      for (; due >= 1 && id + 1 < REPLAY_REQUESTS_MAX; due--)
        {
          id++;
          replay_requests[id].priority = id % 4 != 0;
          replay_requests[id].requested_ms = replay_now_ms;
          replay_request_slot (id, id % 4 == 0);
        }
      while (oldest < id && gray_replay->is_decided[oldest]
             && !replay_requests[oldest].ends_ms)
        oldest++;
      if (replay_now_ms % AB_SCHED_TICK_MS == 0)
        ab_scheduler_tick (replay_sched, replay_now_ms);
    }
  ab_scheduler_free (replay_sched);
}

/* Each target that turns gray costs about one order, not one at every target
   in turn.  Chance failures are 12 in 1,000.  The load needs six targets;
   among six, one turns gray every 3.5 seconds, which costs one of the 160
   orders of that time: 6 in 1,000.  The bound is twice as much.  */
START_TEST (targets_turning_gray_cost_few_orders)
{
  static struct gray_replay gray_replay;
  unsigned orders = 0;
  unsigned failed = 0;

  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      simulate_gray_targets (&gray_replay, seed);
      orders += gray_replay.orders;
      failed += gray_replay.failed;
    }
  ck_assert_uint_gt (orders, 20000);
  ck_assert_msg (failed * 1000 <= orders * 24, "%u of %u failed", failed,
                 orders);
}
END_TEST

/* After a start, or with a new scheduler, all targets are untested, a quarter
   of them may be gray, and a burst of orders arrives.  Guards against orders
   sent to all of them: they wait until a few targets have been tested and
   work.  */
START_TEST (burst_of_orders_tests_few_targets)
{
  unsigned granted = 0;

  replay_begin (12);
  for (uint64_t id = 1; id <= 12; id++)
    granted += replay_request_slot (id, false)->granted;
  ck_assert_uint_ge (granted, 1);
  ck_assert_uint_le (granted, 2);
  for (int i = 0; i < 10; i++)
    {
      replay_now_ms += AB_SCHED_TICK_MS;
      ab_scheduler_tick (replay_sched, replay_now_ms);
    }
  granted = 0;
  for (uint64_t id = 1; id <= 12; id++)
    granted += replay_requests[id].granted;
  ck_assert_uint_eq (granted, 12);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Light load, then a loss of many requests at any moment.  Guards against
   targets left idle because few could carry the load: in the two seconds
   before, most targets must have had a request.  */
START_TEST (light_load_reaches_all_targets)
{
  uint64_t last_ms[8];
  uint64_t id = 100;

  replay_begin (8);
  replay_make_healthy (8, 1);
  for (unsigned i = 0; i < 8; i++)
    last_ms[i] = replay_now_ms;
  for (unsigned step = 0; step < 1000; step++)
    {
      id++;
      if (replay_request_slot (id, false)->granted)
        {
          last_ms[replay_requests[id].target] = replay_now_ms;
          replay_end (id, AB_TARGET_OK);
        }
      replay_now_ms += 20;
      if (step % 3 == 0)
        ab_scheduler_tick (replay_sched, replay_now_ms);
      for (unsigned i = 0; i < 8; i++)
        ck_assert_uint_le (replay_now_ms - last_ms[i], 2000);
    }
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Guards against a gray target that stays out after it recovered: idempotent
   requests test it, one at a time.  */
START_TEST (gray_target_is_tested_with_idempotent_requests)
{
  bool tested = false;

  replay_begin (3);
  replay_make_healthy (3, 1);
  replay_request_slot (10, false);
  replay_end (10, AB_TARGET_ERROR);
  for (uint64_t id = 20; id < 24; id++)
    tested = tested
             || replay_request_slot (id, true)->target
                    == replay_requests[10].target;
  ck_assert (tested);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Gray targets in one region: a request that is not idempotent spills over to
   another region before it goes to a suspect target.  */
START_TEST (orders_spill_over_before_they_take_a_suspect)
{
  struct ab_sched_slot_request order = replay_make_slot_request (12, false);

  replay_begin (1);
  replay_make_healthy (1, 1);
  replay_request_slot (10, false);
  replay_end (10, AB_TARGET_ERROR);
  order.may_spill = true;
  ab_scheduler_request_slot (replay_sched, &order, replay_now_ms);
  ck_assert_int_eq (replay_requests[12].decision, AB_SCHED_SPILL);
  order.id = 13;
  order.may_spill = false;
  ab_scheduler_request_slot (replay_sched, &order, replay_now_ms);
  ck_assert (replay_requests[13].granted);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Guards against sending more requests to a target where they stall, before
   one of them ends.  */
START_TEST (stalled_target_gets_nothing_new)
{
  replay_begin (2);
  replay_make_healthy (2, 1);
  replay_request_slot (10, false);
  for (int i = 0; i < 40; i++)
    {
      replay_now_ms += AB_SCHED_TICK_MS;
      ab_scheduler_tick (replay_sched, replay_now_ms);
    }
  for (uint64_t id = 20; id < 24; id++)
    if (replay_request_slot (id, false)->granted)
      ck_assert_uint_ne (replay_requests[id].target,
                         replay_requests[10].target);
  ab_scheduler_free (replay_sched);
}
END_TEST

SUITE_MAIN ("scheduler_gray", 30, gray_target_gets_no_orders,
            targets_turning_gray_cost_few_orders,
            burst_of_orders_tests_few_targets, light_load_reaches_all_targets,
            gray_target_is_tested_with_idempotent_requests,
            orders_spill_over_before_they_take_a_suspect,
            stalled_target_gets_nothing_new)
