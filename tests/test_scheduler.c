/* Placing, waiting and refusing, with replays of the load patterns that the
   scheduler answers.  Time is simulated in steps of a millisecond.  */

#include "scheduler_replay_lib.h"

#include <stdio.h>

#include "suite_lib.h"

#define PRIORITIES 3

/* Slots are exact: what does not fit waits here and goes as slots come free,
   in the order of priority.  */
START_TEST (waiting_goes_by_priority)
{
  struct ab_sched_ask low = replay_make_ask (11, true);
  struct ab_sched_ask high = replay_make_ask (12, false);

  replay_begin (1);
  replay_prove (1, 1);
  replay_ask (2, false);
  replay_ask (3, false);
  low.priority = 2;
  high.priority = 0;
  ab_scheduler_ask (replay_sched, &low, replay_now_ms);
  ab_scheduler_ask (replay_sched, &high, replay_now_ms);
  ck_assert_int_eq (replay_requests[11].kind, AB_SCHED_WAITING);
  ck_assert_int_eq (replay_requests[12].kind, AB_SCHED_WAITING);
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

static void
finish_due (uint64_t last_id)
{
  for (uint64_t id = 1; id <= last_id; id++)
    if (replay_requests[id].ends_ms
        && replay_requests[id].ends_ms <= replay_now_ms)
      replay_end (id, AB_TARGET_OK);
}

/* Load of FACTOR times what TARGETS serve, for LENGTH_MS, spread over the
   priorities, with ids after AFTER; returns the last one.  */
static uint64_t
play_load (unsigned targets, double factor, uint64_t length_ms, uint64_t after)
{
  double capacity = (double)targets * 2 / REPLAY_WORK_MS; /* A millisecond.  */
  double due = 0;
  uint64_t id = after;
  uint64_t until = replay_now_ms + length_ms;

  for (; replay_now_ms < until; replay_now_ms++)
    {
      finish_due (id);
      due += capacity * factor;
      while (due >= 1)
        {
          struct ab_sched_ask a;
          id++;
          a = replay_make_ask (id, id % PRIORITIES == 2);
          a.priority = id % PRIORITIES;
          replay_requests[id].asked = true;
          replay_requests[id].priority = a.priority;
          replay_requests[id].asked_ms = replay_now_ms;
          ab_scheduler_ask (replay_sched, &a, replay_now_ms);
          due--;
        }
      if (replay_now_ms % AB_SCHED_TICK_MS == 0)
        ab_scheduler_tick (replay_sched, replay_now_ms);
    }
  return id;
}

/* More requests than can be served, for seconds: the slots stay in use, the
   urgent ones are served, the others are told early.  */
START_TEST (overload_serves_urgent_and_refuses_early)
{
  unsigned asked[PRIORITIES] = { 0 };
  unsigned served[PRIORITIES] = { 0 };
  unsigned total = 0;
  unsigned late = 0;
  unsigned refused = 0;
  uint64_t last;

  replay_begin (8);
  replay_prove (8, 1);
  last = play_load (8, 1.5, 8000, 100);
  for (uint64_t id = 101; id <= last; id++)
    {
      const struct replay *replay = &replay_requests[id];
      if (!replay->decided)
        continue;
      asked[replay->priority]++;
      served[replay->priority] += replay->granted;
      total += replay->granted;
      refused += !replay->granted;
      /* Half of the time that a refused request had.  */
      late += !replay->granted && replay->decided_ms - replay->asked_ms > 600;
    }
  ck_assert_uint_ge (served[0] * 100, asked[0] * 97);
  ck_assert_uint_ge (served[1] * 100, asked[1] * 80);
  /* 16 slots for 8 s of work of 200 ms each.  */
  ck_assert_uint_ge (total, 640 * 93 / 100);
  ck_assert_uint_gt (refused, 0);
  ck_assert_uint_le (late * 10, refused);
  ck_assert_uint_le (replay_most_in_flight, 2);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* A short burst above capacity is absorbed by the queue.  */
START_TEST (short_burst_is_served_whole)
{
  unsigned refused = 0;
  uint64_t last;

  replay_begin (8);
  replay_prove (8, 1);
  last = play_load (8, 0.6, 3000, 100);
  last = play_load (8, 1.6, 400, last);
  last = play_load (8, 0.6, 1000, last);
  for (uint64_t id = 101; id <= last; id++)
    refused += replay_requests[id].decided && !replay_requests[id].granted;
  ck_assert_uint_eq (refused, 0);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* A failing service: repeated attempts stay within their share in any
   window.  */
START_TEST (repeats_stay_within_budget)
{
  unsigned repeats = 0;
  unsigned first = 0;

  replay_begin (8);
  replay_prove (8, 1);
  for (uint64_t id = 100; id < 2100; id += 2)
    {
      struct ab_sched_ask again = replay_make_ask (id + 1, true);
      replay_ask (id, true);
      first++;
      if (replay_requests[id].granted)
        replay_end (id, AB_TARGET_OK);
      again.repeat = true;
      ab_scheduler_ask (replay_sched, &again, replay_now_ms);
      repeats += replay_requests[id + 1].granted;
      if (replay_requests[id + 1].granted)
        replay_end (id + 1, AB_TARGET_OK);
      replay_now_ms += 5;
    }
  ck_assert_uint_gt (repeats, 0);
  ck_assert_uint_le (repeats, first / 5 + 8);
  ab_scheduler_free (replay_sched);
}
END_TEST

#define SHARERS 9
#define SHARED_EXTRA 180

static size_t
count_sharers (void *ctx, const char *service)
{
  (void)ctx;
  (void)service;
  return SHARERS;
}

static void
ignore_decision (void *ctx, const struct ab_sched_ask *ask,
                 const struct ab_sched_reply *reply)
{
  (void)ask;
  *(unsigned *)ctx += reply->kind == AB_SCHED_GRANTED;
}

/* Repeats that one of SHARERS schedulers grants where none is earned by first
   attempts.  */
static unsigned
count_extra_repeats (bool last_resort)
{
  static const struct ab_scheduler_ops sharing
      = { .decide = ignore_decision, .sharers = count_sharers };
  const struct ab_scheduler_config config
      = { .repeat_extra = SHARED_EXTRA, .repeat_window_ms = 10000 };
  struct ab_fleet_target target = { .id = "1",
                                    .service = "s",
                                    .address = "10.0.0.1:80",
                                    .failure_domain = "d",
                                    .born = 1,
                                    .slots = 100,
                                    .state = AB_FLEET_TARGET_READY };
  unsigned granted = 0;
  struct ab_scheduler *scheduler
      = ab_scheduler_new (&config, &sharing, &granted);

  ab_scheduler_set_target (scheduler, &target, "", 100000);
  for (uint64_t id = 1; id <= SHARED_EXTRA; id++)
    {
      struct ab_sched_ask ask = replay_make_ask (id, true);
      ask.repeat = true;
      ask.last_resort = last_resort;
      ab_scheduler_ask (scheduler, &ask, 100001);
      ab_scheduler_outcome (scheduler, id, AB_TARGET_OK, 10, 100001);
    }
  ab_scheduler_free (scheduler);
  return granted;
}

/* After a loss of power many schedulers start at once, and hosts that find
   none decide alone.  Guards against a budget of repeats that each of them has
   whole.  */
START_TEST (extra_repeats_are_shared)
{
  unsigned granted = count_extra_repeats (false);

  ck_assert_uint_gt (granted, 0);
  ck_assert_uint_le (granted * SHARERS, SHARED_EXTRA);
  ck_assert_uint_eq (count_extra_repeats (true), 0);
}
END_TEST

/* All targets shed a part of their requests: the repeats that are left go to
   the urgent ones, and targets stay in use.  */
START_TEST (sheds_everywhere_favour_urgent_repeats)
{
  unsigned repeats[2] = { 0 };

  replay_begin (8);
  replay_prove (8, 1);
  for (uint64_t id = 100; id < 3100; id += 3)
    {
      if (replay_ask (id, false)->granted)
        replay_end (id, id % 5 < 2 ? AB_TARGET_SHED : AB_TARGET_OK);
      for (uint64_t urgent = 0; urgent < 2; urgent++)
        {
          struct ab_sched_ask again = replay_make_ask (id + 1 + urgent, false);
          again.repeat = true;
          again.priority = urgent ? 0 : 2;
          ab_scheduler_ask (replay_sched, &again, replay_now_ms);
          if (!replay_requests[again.id].granted)
            continue;
          repeats[urgent]++;
          replay_end (again.id, AB_TARGET_OK);
        }
      replay_now_ms += 20;
    }
  ck_assert_uint_gt (repeats[1], repeats[0]);
  ck_assert_uint_le (repeats[0] + repeats[1], 1000 / 5 + 8 * 3);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Most targets lost their trust and the trusted ones reject a part: orders
   must not leave the others idle for seconds.  */
START_TEST (trouble_spreads_orders)
{
  bool used[6] = { false };

  replay_begin (6);
  replay_prove (6, 1);
  for (uint64_t id = 10; id < 14; id++)
    if (replay_ask (id, false)->granted)
      replay_end (id, AB_TARGET_TIMEOUT);
  replay_now_ms += 3000;
  ab_scheduler_tick (replay_sched, replay_now_ms);
  for (uint64_t id = 100; id < 300; id++)
    {
      replay_ask (id, false);
      /* Those that waited are granted as others end.  */
      for (uint64_t granted = 100; granted <= id; granted++)
        if (replay_requests[granted].ends_ms)
          {
            /* The last two seconds count.  */
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

/* A target that one host cannot reach is avoided for that host alone; one
   that several cannot reach is out.  */
START_TEST (broken_path_counts_for_one_host)
{
  struct ab_sched_ask a = replay_make_ask (10, false);
  struct ab_sched_ask b = replay_make_ask (11, false);

  replay_begin (1);
  replay_prove (1, 1);
  ab_scheduler_ask (replay_sched, &a, replay_now_ms);
  replay_end (10, AB_TARGET_UNREACHABLE);
  a.id = 12;
  ab_scheduler_ask (replay_sched, &a, replay_now_ms);
  ck_assert (!replay_requests[12].granted);
  snprintf (b.host, sizeof b.host, "other");
  ab_scheduler_ask (replay_sched, &b, replay_now_ms);
  ck_assert (replay_requests[11].granted);
  replay_end (11, AB_TARGET_UNREACHABLE);
  b.id = 13;
  snprintf (b.host, sizeof b.host, "third");
  ab_scheduler_ask (replay_sched, &b, replay_now_ms);
  ck_assert (!replay_requests[13].granted);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* A lost answer: the same ask again is answered as before and takes no second
   slot; a grant without an outcome is given up in the end.  */
START_TEST (repeated_ask_takes_one_slot)
{
  replay_begin (1);
  replay_prove (1, 1);
  replay_ask (10, false);
  replay_ask (10, false);
  ck_assert_uint_eq (replay_most_in_flight, 1);
  ck_assert (replay_ask (11, false)->granted);
  ck_assert (!replay_ask (12, false)->granted);
  for (int i = 0; i < 100; i++)
    {
      replay_now_ms += AB_SCHED_TICK_MS;
      ab_scheduler_tick (replay_sched, replay_now_ms);
    }
  ck_assert (replay_ask (13, true)->granted);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Targets that leave get nothing new, those that join get a request soon.  */
START_TEST (follows_the_view)
{
  replay_begin (2);
  replay_prove (2, 1);
  replay_set_target (0, "d", AB_FLEET_TARGET_DRAINING);
  for (uint64_t id = 10; id < 13; id++)
    if (replay_ask (id, false)->granted)
      ck_assert_uint_eq (replay_requests[id].target, 1);
  ck_assert (!replay_requests[12].granted);
  replay_set_target (2, "elsewhere", AB_FLEET_TARGET_READY);
  ab_scheduler_tick (replay_sched, replay_now_ms);
  ck_assert (replay_requests[12].granted);
  ck_assert_uint_eq (replay_requests[12].target, 2);
  replay_set_target (1, "d", AB_FLEET_TARGET_GONE);
  replay_end (10, AB_TARGET_OK);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Work stays in the asker's failure domain while there is a slot.  */
START_TEST (prefers_own_domain)
{
  replay_begin (0);
  replay_set_target (0, "d", AB_FLEET_TARGET_READY);
  replay_set_target (1, "e", AB_FLEET_TARGET_READY);
  replay_prove (2, 1);
  ck_assert_uint_eq (replay_ask (10, false)->target, 0);
  ck_assert_uint_eq (replay_ask (11, false)->target, 0);
  ck_assert_uint_eq (replay_ask (12, false)->target, 1);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* A large body while the near targets are busy: it waits a moment for a near
   slot, and crosses when none comes free.  */
START_TEST (bulky_waits_for_a_near_slot)
{
  struct ab_sched_ask bulky = replay_make_ask (12, false);

  replay_begin (0);
  replay_set_target (0, "d", AB_FLEET_TARGET_READY);
  replay_set_target (1, "e", AB_FLEET_TARGET_READY);
  replay_prove (2, 1);
  replay_ask (10, false);
  replay_ask (11, false);
  bulky.bulky = true;
  ab_scheduler_ask (replay_sched, &bulky, replay_now_ms);
  ck_assert (!replay_requests[12].granted);
  replay_now_ms += 40;
  replay_end (10, AB_TARGET_OK);
  ck_assert (replay_requests[12].granted);
  ck_assert_uint_eq (replay_requests[12].target, 0);
  bulky.id = 13;
  ab_scheduler_ask (replay_sched, &bulky, replay_now_ms);
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

/* Nothing is held where nothing can serve it.  */
START_TEST (refuses_at_once_without_targets)
{
  replay_begin (0);
  ck_assert_int_eq (replay_ask (10, false)->kind, AB_SCHED_NONE);
  ab_scheduler_free (replay_sched);
}
END_TEST

SUITE_MAIN ("scheduler", 30, waiting_goes_by_priority,
            overload_serves_urgent_and_refuses_early,
            short_burst_is_served_whole, repeats_stay_within_budget,
            extra_repeats_are_shared, sheds_everywhere_favour_urgent_repeats,
            trouble_spreads_orders, broken_path_counts_for_one_host,
            repeated_ask_takes_one_slot, follows_the_view, prefers_own_domain,
            bulky_waits_for_a_near_slot, refuses_at_once_without_targets)
