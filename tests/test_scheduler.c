/* Placing, waiting and refusing, with replays of the load patterns that the
   scheduler answers.  Time is simulated in steps of a millisecond.  */

#include "scheduler.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "suite_lib.h"

#define REQUESTS_MAX 8192
#define TARGETS_MAX 16
#define WORK_MS 200
#define PRIORITIES 3

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

static struct ab_scheduler *sched;
static struct replay replays[REQUESTS_MAX];
static unsigned in_flight[TARGETS_MAX];
static unsigned most_in_flight;
static uint64_t now;

static void
on_decide (void *ctx, const struct ab_sched_ask *ask,
           const struct ab_sched_reply *reply)
{
  struct replay *replay = &replays[ask->id];

  (void)ctx;
  ck_assert_uint_eq (reply->id, ask->id);
  replay->kind = reply->kind;
  if (reply->kind == AB_SCHED_WAITING || replay->granted)
    return;
  replay->decided = true;
  replay->decided_ms = now;
  if (reply->kind != AB_SCHED_GRANTED)
    return;
  replay->granted = true;
  replay->target = (unsigned)atoi (reply->target);
  replay->ends_ms = now + WORK_MS;
  if (++in_flight[replay->target] > most_in_flight)
    most_in_flight = in_flight[replay->target];
}

static const struct ab_scheduler_ops ops = { .decide = on_decide };

static void
set_target (unsigned number, const char *domain,
            enum ab_fleet_target_state state)
{
  struct ab_fleet_target t
      = { .service = "s", .born = 1, .slots = 2, .state = state };

  snprintf (t.id, sizeof t.id, "%u", number);
  snprintf (t.address, sizeof t.address, "10.0.0.%u:80", number);
  ab_chunk_copy (ab_chunk_str (domain), t.failure_domain,
                 sizeof t.failure_domain);
  ab_scheduler_set_target (sched, &t, "", now);
}

static void
begin (unsigned targets)
{
  const struct ab_scheduler_config config = { .repeat_fraction = 0.2,
                                              .repeat_extra = 8,
                                              .repeat_window_ms = 10000 };

  memset (replays, 0, sizeof replays);
  memset (in_flight, 0, sizeof in_flight);
  most_in_flight = 0;
  now = 100000;
  sched = ab_scheduler_new (&config, &ops, NULL);
  for (unsigned i = 0; i < targets; i++)
    set_target (i, "d", AB_FLEET_TARGET_READY);
}

static struct ab_sched_ask
make_ask (uint64_t id, bool idempotent)
{
  struct ab_sched_ask ask = { .id = id,
                              .host = "h",
                              .failure_domain = "d",
                              .service = "s",
                              .idempotent = idempotent,
                              .may_wait = true,
                              .objective_ms = 600,
                              .time_ms = 1200 };

  return ask;
}

static struct replay *
ask (uint64_t id, bool idempotent)
{
  struct ab_sched_ask a = make_ask (id, idempotent);

  ab_scheduler_ask (sched, &a, now);
  return &replays[id];
}

static void
end (uint64_t id, enum ab_target_event event)
{
  in_flight[replays[id].target]--;
  replays[id].ends_ms = 0;
  ab_scheduler_outcome (sched, id, event, WORK_MS, now);
}

/* Makes every target proven.  */
static void
prove (unsigned targets, uint64_t first_id)
{
  for (unsigned i = 0; i < targets; i++)
    ask (first_id + i, true);
  for (unsigned i = 0; i < targets; i++)
    end (first_id + i, AB_TARGET_OK);
}

/* Gray target: after one failure of an unproven target no request that must
   not repeat goes there, while others do well.  */
START_TEST (gray_target_gets_no_orders)
{
  struct replay *replay;

  begin (3);
  prove (3, 1);
  ask (10, false);
  end (10, AB_TARGET_ERROR);
  for (uint64_t id = 20; id < 60; id++)
    {
      replay = ask (id, false);
      ck_assert (replay->granted);
      ck_assert_uint_ne (replay->target, replays[10].target);
      end (id, AB_TARGET_OK);
      now += 20;
    }
  ab_scheduler_free (sched);
}
END_TEST

/* Targets that turn gray and recover, each by itself, in a service at half of
   its load: for seconds, GRAY of a target's requests fail at once.  */
#define GRAY_TARGETS 12
#define GRAY_MEAN_MS 9000
#define HEALTHY_MEAN_MS 21000
#define GRAY_FAILS 0.9
#define GRAY_LATENCY_MS 1
#define GRAY_REPLAY_MS 60000
#define GRAY_WARM_MS 5000
/* Healthy targets fail after they worked.  */
#define CHANCE_FAILS 0.012

struct gray_replay
{
  struct ab_rng rng;
  bool gray[GRAY_TARGETS];
  uint64_t turns_ms[GRAY_TARGETS];
  bool gray_then[REQUESTS_MAX]; /* When the request began.  */
  bool noted[REQUESTS_MAX];     /* Its fate is decided.  */
  bool fails[REQUESTS_MAX];
  unsigned orders;
  unsigned failed;
};

static uint64_t
draw_length (struct ab_rng *r, double mean_ms)
{
  return (uint64_t)(-mean_ms * log (1 - ab_rng_unit (r))) + 1;
}

static void
turn_targets (struct gray_replay *play)
{
  for (unsigned i = 0; i < GRAY_TARGETS; i++)
    if (now >= play->turns_ms[i])
      {
        play->gray[i] = play->turns_ms[i] > 0 && !play->gray[i];
        play->turns_ms[i]
            = now
              + draw_length (&play->rng,
                             play->gray[i] ? GRAY_MEAN_MS : HEALTHY_MEAN_MS);
      }
}

/* Decides the fate of requests that were granted just now, and ends those that
   are due.  */
static void
run_targets (struct gray_replay *play, uint64_t first, uint64_t last)
{
  for (uint64_t id = first; id <= last; id++)
    {
      struct replay *replay = &replays[id];
      if (!replay->granted || !replay->ends_ms)
        continue;
      if (!play->noted[id])
        {
          bool gray = play->gray[replay->target]
                      && ab_rng_unit (&play->rng) < GRAY_FAILS;
          play->noted[id] = true;
          play->fails[id] = gray || ab_rng_unit (&play->rng) < CHANCE_FAILS;
          if (gray)
            replay->ends_ms = now + GRAY_LATENCY_MS;
        }
      if (replay->ends_ms > now)
        continue;
      if (replay->priority == 1 && replay->asked_ms > 100000 + GRAY_WARM_MS)
        {
          play->orders++;
          play->failed += play->fails[id];
        }
      in_flight[replay->target]--;
      ab_scheduler_outcome (sched, id,
                            play->fails[id] ? AB_TARGET_ERROR : AB_TARGET_OK,
                            now - replay->decided_ms, now);
      replay->ends_ms = 0;
    }
}

static void
play_gray (struct gray_replay *play, uint64_t seed)
{
  double due = 0;
  uint64_t id = 100;
  uint64_t oldest = 101;

  memset (play, 0, sizeof *play);
  ab_rng_init_seeded (&play->rng, seed);
  begin (GRAY_TARGETS);
  for (; now < 100000 + GRAY_REPLAY_MS; now++)
    {
      turn_targets (play);
      run_targets (play, oldest, id);
      /* 24 slots, half of them in use, a quarter of the requests may be
         repeated.  */
      due += 0.5 * 2 * GRAY_TARGETS / WORK_MS;
      for (; due >= 1 && id + 1 < REQUESTS_MAX; due--)
        {
          id++;
          replays[id].priority = id % 4 != 0;
          replays[id].asked_ms = now;
          ask (id, id % 4 == 0);
        }
      while (oldest < id && play->noted[oldest] && !replays[oldest].ends_ms)
        oldest++;
      if (now % AB_SCHED_TICK_MS == 0)
        ab_scheduler_tick (sched, now);
    }
  ab_scheduler_free (sched);
}

/* Each target that turns gray costs about one order, not one at every target
   in turn.  Chance failures are 12 in 1,000.  The load needs six targets; of
   so many one turns gray every 3.5 seconds, which costs one of the 160 orders
   of that time: 6 in 1,000.  Twice as much is the bound.  */
START_TEST (gray_turns_cost_few_orders)
{
  static struct gray_replay play;
  unsigned orders = 0;
  unsigned failed = 0;

  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      play_gray (&play, seed);
      orders += play.orders;
      failed += play.failed;
    }
  ck_assert_uint_gt (orders, 20000);
  ck_assert_msg (failed * 1000 <= orders * 24, "%u of %u failed", failed,
                 orders);
}
END_TEST

/* A start, or a new scheduler: nothing is known of any target, a quarter of
   them may be gray, and a burst of orders arrives.  They wait until a few
   tried targets turn out to work.  */
START_TEST (burst_of_orders_tries_few_targets)
{
  unsigned granted = 0;

  begin (12);
  for (uint64_t id = 1; id <= 12; id++)
    granted += ask (id, false)->granted;
  ck_assert_uint_ge (granted, 1);
  ck_assert_uint_le (granted, 2);
  for (int i = 0; i < 10; i++)
    {
      now += AB_SCHED_TICK_MS;
      ab_scheduler_tick (sched, now);
    }
  granted = 0;
  for (uint64_t id = 1; id <= 12; id++)
    granted += replays[id].granted;
  ck_assert_uint_eq (granted, 12);
  ab_scheduler_free (sched);
}
END_TEST

/* Light load, then a loss of many requests at any moment: in the two seconds
   before, most targets must have had a request, though few could carry the
   load.  */
START_TEST (light_load_covers_targets)
{
  uint64_t last_ms[8];
  uint64_t id = 100;

  begin (8);
  prove (8, 1);
  for (unsigned i = 0; i < 8; i++)
    last_ms[i] = now;
  for (unsigned step = 0; step < 1000; step++)
    {
      id++;
      if (ask (id, false)->granted)
        {
          last_ms[replays[id].target] = now;
          end (id, AB_TARGET_OK);
        }
      now += 20;
      if (step % 3 == 0)
        ab_scheduler_tick (sched, now);
      for (unsigned i = 0; i < 8; i++)
        ck_assert_uint_le (now - last_ms[i], 2000);
    }
  ab_scheduler_free (sched);
}
END_TEST

/* Gray target, again: requests that may be repeated find out that it is well,
   one at a time.  */
START_TEST (gray_target_is_tried_with_repeatable_requests)
{
  bool tried = false;

  begin (3);
  prove (3, 1);
  ask (10, false);
  end (10, AB_TARGET_ERROR);
  for (uint64_t id = 20; id < 24; id++)
    tried = tried || ask (id, true)->target == replays[10].target;
  ck_assert (tried);
  ab_scheduler_free (sched);
}
END_TEST

/* Slots are exact: what does not fit waits here and goes as slots come free,
   in the order of priority.  */
START_TEST (waiting_goes_by_priority)
{
  struct ab_sched_ask low = make_ask (11, true);
  struct ab_sched_ask high = make_ask (12, false);

  begin (1);
  prove (1, 1);
  ask (2, false);
  ask (3, false);
  low.priority = 2;
  high.priority = 0;
  ab_scheduler_ask (sched, &low, now);
  ab_scheduler_ask (sched, &high, now);
  ck_assert_int_eq (replays[11].kind, AB_SCHED_WAITING);
  ck_assert_int_eq (replays[12].kind, AB_SCHED_WAITING);
  now += 50;
  end (2, AB_TARGET_OK);
  ck_assert (replays[12].granted);
  ck_assert (!replays[11].granted);
  end (3, AB_TARGET_OK);
  ck_assert (replays[11].granted);
  ck_assert_uint_eq (most_in_flight, 2);
  ab_scheduler_free (sched);
}
END_TEST

static void
finish_due (uint64_t last_id)
{
  for (uint64_t id = 1; id <= last_id; id++)
    if (replays[id].ends_ms && replays[id].ends_ms <= now)
      end (id, AB_TARGET_OK);
}

/* Load of FACTOR times what TARGETS serve, for LENGTH_MS, spread over the
   priorities, with ids after AFTER; returns the last one.  */
static uint64_t
play_load (unsigned targets, double factor, uint64_t length_ms, uint64_t after)
{
  double capacity = (double)targets * 2 / WORK_MS; /* A millisecond.  */
  double due = 0;
  uint64_t id = after;
  uint64_t until = now + length_ms;

  for (; now < until; now++)
    {
      finish_due (id);
      due += capacity * factor;
      while (due >= 1)
        {
          struct ab_sched_ask a;
          id++;
          a = make_ask (id, id % PRIORITIES == 2);
          a.priority = id % PRIORITIES;
          replays[id].asked = true;
          replays[id].priority = a.priority;
          replays[id].asked_ms = now;
          ab_scheduler_ask (sched, &a, now);
          due--;
        }
      if (now % AB_SCHED_TICK_MS == 0)
        ab_scheduler_tick (sched, now);
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

  begin (8);
  prove (8, 1);
  last = play_load (8, 1.5, 8000, 100);
  for (uint64_t id = 101; id <= last; id++)
    {
      const struct replay *replay = &replays[id];
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
  ck_assert_uint_le (most_in_flight, 2);
  ab_scheduler_free (sched);
}
END_TEST

/* A short burst above capacity is absorbed by the queue.  */
START_TEST (short_burst_is_served_whole)
{
  unsigned refused = 0;
  uint64_t last;

  begin (8);
  prove (8, 1);
  last = play_load (8, 0.6, 3000, 100);
  last = play_load (8, 1.6, 400, last);
  last = play_load (8, 0.6, 1000, last);
  for (uint64_t id = 101; id <= last; id++)
    refused += replays[id].decided && !replays[id].granted;
  ck_assert_uint_eq (refused, 0);
  ab_scheduler_free (sched);
}
END_TEST

/* A failing service: repeated attempts stay within their share in any
   window.  */
START_TEST (repeats_stay_within_budget)
{
  unsigned repeats = 0;
  unsigned first = 0;

  begin (8);
  prove (8, 1);
  for (uint64_t id = 100; id < 2100; id += 2)
    {
      struct ab_sched_ask again = make_ask (id + 1, true);
      ask (id, true);
      first++;
      if (replays[id].granted)
        end (id, AB_TARGET_OK);
      again.repeat = true;
      ab_scheduler_ask (sched, &again, now);
      repeats += replays[id + 1].granted;
      if (replays[id + 1].granted)
        end (id + 1, AB_TARGET_OK);
      now += 5;
    }
  ck_assert_uint_gt (repeats, 0);
  ck_assert_uint_le (repeats, first / 5 + 8);
  ab_scheduler_free (sched);
}
END_TEST

/* All targets shed a part of their requests: the repeats that are left go to
   the urgent ones, and targets stay in use.  */
START_TEST (sheds_everywhere_favour_urgent_repeats)
{
  unsigned repeats[2] = { 0 };

  begin (8);
  prove (8, 1);
  for (uint64_t id = 100; id < 3100; id += 3)
    {
      if (ask (id, false)->granted)
        end (id, id % 5 < 2 ? AB_TARGET_SHED : AB_TARGET_OK);
      for (uint64_t urgent = 0; urgent < 2; urgent++)
        {
          struct ab_sched_ask again = make_ask (id + 1 + urgent, false);
          again.repeat = true;
          again.priority = urgent ? 0 : 2;
          ab_scheduler_ask (sched, &again, now);
          if (!replays[again.id].granted)
            continue;
          repeats[urgent]++;
          end (again.id, AB_TARGET_OK);
        }
      now += 20;
    }
  ck_assert_uint_gt (repeats[1], repeats[0]);
  ck_assert_uint_le (repeats[0] + repeats[1], 1000 / 5 + 8 * 3);
  ab_scheduler_free (sched);
}
END_TEST

/* Most targets lost their trust and the trusted ones reject a part: orders
   must not leave the others idle for seconds.  */
START_TEST (trouble_spreads_orders)
{
  bool used[6] = { false };

  begin (6);
  prove (6, 1);
  for (uint64_t id = 10; id < 14; id++)
    if (ask (id, false)->granted)
      end (id, AB_TARGET_TIMEOUT);
  now += 3000;
  ab_scheduler_tick (sched, now);
  for (uint64_t id = 100; id < 300; id++)
    {
      ask (id, false);
      /* Those that waited are granted as others end.  */
      for (uint64_t granted = 100; granted <= id; granted++)
        if (replays[granted].ends_ms)
          {
            /* The last two seconds count.  */
            used[replays[granted].target] |= id >= 200;
            end (granted, granted % 5 < 2 ? AB_TARGET_SHED : AB_TARGET_OK);
          }
      now += 20;
      if (id % 3 == 0)
        ab_scheduler_tick (sched, now);
    }
  for (unsigned i = 0; i < 6; i++)
    ck_assert_msg (used[i], "target %u got nothing", i);
  ab_scheduler_free (sched);
}
END_TEST

/* A target that one host cannot reach is avoided for that host alone; one
   that several cannot reach is out.  */
START_TEST (broken_path_counts_for_one_host)
{
  struct ab_sched_ask a = make_ask (10, false);
  struct ab_sched_ask b = make_ask (11, false);

  begin (1);
  prove (1, 1);
  ab_scheduler_ask (sched, &a, now);
  end (10, AB_TARGET_UNREACHABLE);
  a.id = 12;
  ab_scheduler_ask (sched, &a, now);
  ck_assert (!replays[12].granted);
  snprintf (b.host, sizeof b.host, "other");
  ab_scheduler_ask (sched, &b, now);
  ck_assert (replays[11].granted);
  end (11, AB_TARGET_UNREACHABLE);
  b.id = 13;
  snprintf (b.host, sizeof b.host, "third");
  ab_scheduler_ask (sched, &b, now);
  ck_assert (!replays[13].granted);
  ab_scheduler_free (sched);
}
END_TEST

/* Requests that hang: no further one goes to the target before one ends.  */
START_TEST (stuck_target_gets_nothing_new)
{
  begin (2);
  prove (2, 1);
  ask (10, false);
  for (int i = 0; i < 40; i++)
    {
      now += AB_SCHED_TICK_MS;
      ab_scheduler_tick (sched, now);
    }
  for (uint64_t id = 20; id < 24; id++)
    if (ask (id, false)->granted)
      ck_assert_uint_ne (replays[id].target, replays[10].target);
  ab_scheduler_free (sched);
}
END_TEST

/* A lost answer: the same ask again is answered as before and takes no second
   slot; a grant without an outcome is given up in the end.  */
START_TEST (repeated_ask_takes_one_slot)
{
  begin (1);
  prove (1, 1);
  ask (10, false);
  ask (10, false);
  ck_assert_uint_eq (most_in_flight, 1);
  ck_assert (ask (11, false)->granted);
  ck_assert (!ask (12, false)->granted);
  for (int i = 0; i < 100; i++)
    {
      now += AB_SCHED_TICK_MS;
      ab_scheduler_tick (sched, now);
    }
  ck_assert (ask (13, true)->granted);
  ab_scheduler_free (sched);
}
END_TEST

/* Targets that leave get nothing new, those that join get a request soon.  */
START_TEST (follows_the_view)
{
  begin (2);
  prove (2, 1);
  set_target (0, "d", AB_FLEET_TARGET_DRAINING);
  for (uint64_t id = 10; id < 13; id++)
    if (ask (id, false)->granted)
      ck_assert_uint_eq (replays[id].target, 1);
  ck_assert (!replays[12].granted);
  set_target (2, "elsewhere", AB_FLEET_TARGET_READY);
  ab_scheduler_tick (sched, now);
  ck_assert (replays[12].granted);
  ck_assert_uint_eq (replays[12].target, 2);
  set_target (1, "d", AB_FLEET_TARGET_GONE);
  end (10, AB_TARGET_OK);
  ab_scheduler_free (sched);
}
END_TEST

/* Work stays in the asker's failure domain while there is a slot.  */
START_TEST (prefers_own_domain)
{
  begin (0);
  set_target (0, "d", AB_FLEET_TARGET_READY);
  set_target (1, "e", AB_FLEET_TARGET_READY);
  prove (2, 1);
  ck_assert_uint_eq (ask (10, false)->target, 0);
  ck_assert_uint_eq (ask (11, false)->target, 0);
  ck_assert_uint_eq (ask (12, false)->target, 1);
  ab_scheduler_free (sched);
}
END_TEST

/* A large body while the near targets are busy: it waits a moment for a near
   slot, and crosses when none comes free.  */
START_TEST (bulky_waits_for_a_near_slot)
{
  struct ab_sched_ask bulky = make_ask (12, false);

  begin (0);
  set_target (0, "d", AB_FLEET_TARGET_READY);
  set_target (1, "e", AB_FLEET_TARGET_READY);
  prove (2, 1);
  ask (10, false);
  ask (11, false);
  bulky.bulky = true;
  ab_scheduler_ask (sched, &bulky, now);
  ck_assert (!replays[12].granted);
  now += 40;
  end (10, AB_TARGET_OK);
  ck_assert (replays[12].granted);
  ck_assert_uint_eq (replays[12].target, 0);
  bulky.id = 13;
  ab_scheduler_ask (sched, &bulky, now);
  for (int i = 0; i < 3; i++)
    {
      now += AB_SCHED_TICK_MS;
      ab_scheduler_tick (sched, now);
    }
  ck_assert (replays[13].granted);
  ck_assert_uint_eq (replays[13].target, 1);
  ab_scheduler_free (sched);
}
END_TEST

/* Gray targets in one region: a request that must not repeat is sent to
   another region before it goes to a target that failed.  */
START_TEST (orders_move_before_they_take_a_suspect)
{
  struct ab_sched_ask order = make_ask (12, false);

  begin (1);
  prove (1, 1);
  ask (10, false);
  end (10, AB_TARGET_ERROR);
  order.may_move = true;
  ab_scheduler_ask (sched, &order, now);
  ck_assert_int_eq (replays[12].kind, AB_SCHED_MOVE);
  order.id = 13;
  order.may_move = false;
  ab_scheduler_ask (sched, &order, now);
  ck_assert (replays[13].granted);
  ab_scheduler_free (sched);
}
END_TEST

/* Nothing is held where nothing can serve it.  */
START_TEST (refuses_at_once_without_targets)
{
  begin (0);
  ck_assert_int_eq (ask (10, false)->kind, AB_SCHED_NONE);
  ab_scheduler_free (sched);
}
END_TEST

SUITE_MAIN ("scheduler", 30, gray_target_gets_no_orders,
            gray_turns_cost_few_orders, burst_of_orders_tries_few_targets,
            light_load_covers_targets,
            gray_target_is_tried_with_repeatable_requests,
            waiting_goes_by_priority, overload_serves_urgent_and_refuses_early,
            short_burst_is_served_whole, repeats_stay_within_budget,
            trouble_spreads_orders, sheds_everywhere_favour_urgent_repeats,
            broken_path_counts_for_one_host, stuck_target_gets_nothing_new,
            repeated_ask_takes_one_slot, follows_the_view, prefers_own_domain,
            bulky_waits_for_a_near_slot,
            orders_move_before_they_take_a_suspect,
            refuses_at_once_without_targets)
