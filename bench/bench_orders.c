/* Orders that are lost in a service whose requests all must not repeat, while
   its targets turn gray and recover: what tests of recovered targets cost and
   gain (scheduler_choice.c).  Time is simulated.  */

#include <math.h>
#include <stdio.h>

#include "scheduler_replay_lib.h"
#include "suite_lib.h"

#define TARGETS 12
#define SEEDS 40
#define LENGTH_MS 40000
#define WARM_UP_MS 5000
#define CAPACITY_PER_MS (2.0 * TARGETS / REPLAY_WORK_MS)
/* As in test_scheduler_gray.c.  */
#define GRAY_MEAN_MS 9000
#define HEALTHY_MEAN_MS 21000
#define GRAY_FAILURE_SHARE 0.9
#define CHANCE_FAILURE_SHARE 0.012
#define BURST_EVERY_MS 10000
#define BURST_MS 3000

struct orders
{
  struct ab_rng rng;
  /* Of its own, so that targets turn gray at the same times whatever the
     scheduler does.  */
  struct ab_rng gray_rng;
  bool is_gray[TARGETS];
  uint64_t next_change_ms[TARGETS];
  bool fails[REPLAY_REQUESTS_MAX];
  bool is_drawn[REPLAY_REQUESTS_MAX];
  unsigned requested;
  unsigned failed;
  unsigned rejected;
};

static uint64_t
draw_ms (struct ab_rng *rng, double mean_ms)
{
  return (uint64_t)(-mean_ms * log (1 - ab_rng_unit (rng))) + 1;
}

static void
change_targets (struct orders *orders)
{
  for (unsigned i = 0; i < TARGETS; i++)
    if (replay_now_ms >= orders->next_change_ms[i])
      {
        orders->is_gray[i]
            = orders->next_change_ms[i] > 0 && !orders->is_gray[i];
        orders->next_change_ms[i]
            = replay_now_ms
              + draw_ms (&orders->gray_rng,
                         orders->is_gray[i] ? GRAY_MEAN_MS : HEALTHY_MEAN_MS);
      }
}

/* Draws how the requests that were just granted end, and ends those that are
   due.  */
static void
run_targets (struct orders *orders, uint64_t first, uint64_t last)
{
  for (uint64_t id = first; id <= last; id++)
    {
      struct replay *replay = &replay_requests[id];
      if (!replay->granted || replay->ends_ms == 0)
        continue;
      if (!orders->is_drawn[id])
        {
          bool gray = orders->is_gray[replay->target]
                      && ab_rng_unit (&orders->rng) < GRAY_FAILURE_SHARE;
          orders->is_drawn[id] = true;
          orders->fails[id]
              = gray || ab_rng_unit (&orders->rng) < CHANCE_FAILURE_SHARE;
          if (gray)
            replay->ends_ms = replay_now_ms + 1;
        }
      if (replay->ends_ms > replay_now_ms)
        continue;
      replay->ends_ms = 0;
      replay_in_flight[replay->target]--;
      ab_scheduler_outcome (replay_sched, id,
                            orders->fails[id] ? AB_TARGET_ERROR : AB_TARGET_OK,
                            replay_now_ms - replay->decided_ms, replay_now_ms);
    }
}

/* Plays orders at LOAD times the capacity of all targets, and at BURST times
   in bursts.  Adds to the counts of ORDERS.  */
static void
play (struct orders *orders, double load, double burst, uint64_t seed)
{
  uint64_t begin_ms;
  uint64_t id = 100;
  double due = 0;

  ab_rng_init_seeded (&orders->rng, seed);
  ab_rng_init_seeded (&orders->gray_rng, seed + 1000);
  memset (orders->next_change_ms, 0, sizeof orders->next_change_ms);
  memset (orders->is_drawn, 0, sizeof orders->is_drawn);
  replay_begin (TARGETS);
  begin_ms = replay_now_ms;
  for (uint64_t at_ms = 0; at_ms < LENGTH_MS; at_ms++)
    {
      bool is_burst = at_ms % BURST_EVERY_MS >= BURST_EVERY_MS - BURST_MS;
      replay_now_ms = begin_ms + at_ms;
      change_targets (orders);
      run_targets (orders, id > 400 ? id - 300 : 101, id);
      due += (is_burst ? burst : load) * CAPACITY_PER_MS;
      while (due >= 1)
        {
          ck_assert_uint_lt (id + 1, REPLAY_REQUESTS_MAX);
          replay_requests[++id].requested_ms = replay_now_ms;
          replay_request_slot (id, false);
          due--;
        }
      if (at_ms % AB_SCHED_TICK_MS == 0)
        ab_scheduler_tick (replay_sched, replay_now_ms);
    }
  for (uint64_t i = 101; i <= id; i++)
    if (replay_requests[i].decided
        && replay_requests[i].requested_ms >= begin_ms + WARM_UP_MS)
      {
        orders->requested++;
        orders->failed += replay_requests[i].granted && orders->fails[i];
        orders->rejected += !replay_requests[i].granted;
      }
  ab_scheduler_free (replay_sched);
}

static void
measure (double load, double burst)
{
  static struct orders orders;

  memset (&orders, 0, sizeof orders);
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    play (&orders, load, burst, seed);
  printf ("| %.1f | %.1f | %.2f | %.2f |\n", load, burst,
          100.0 * orders.failed / orders.requested,
          100.0 * orders.rejected / orders.requested);
}

START_TEST (orders_lost)
{
  static const double loads[][2] = {
    { 0.3, 0.3 }, { 0.5, 0.5 }, { 0.3, 0.7 }, { 0.4, 0.9 }, { 0.7, 0.7 }
  };

  printf ("| load | in bursts | failed, %% | rejected, %% |\n"
          "|---|---|---|---|\n");
  for (size_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
    measure (loads[i][0], loads[i][1]);
}
END_TEST

/* The replay checks its steps with the test library, which needs a suite.  */
SUITE_MAIN ("orders", 300, orders_lost)
