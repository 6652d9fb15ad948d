/* Tests of the retry budget of all schedulers of a service together, while
   schedulers are replaced, restarted and stood in for.  Time is simulated.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rng.h"
#include "scheduler.h"
#include "suite_lib.h"

#define HOSTS 8
#define FRACTION 0.2
#define EXTRA 40
#define WINDOW_MS 10000
#define OVERLAP_MS 1200
#define STEP_MS 50
#define RUN_MS 120000
#define SLOTS 100000
#define SEEDS 40
/* Further hosts that a request is offered to.  */
#define OFFERS 3
#define REQUESTS_AT_A_TIME 3

/* A host's scheduler, which is the regular one while it takes itself for
   it.  */
struct host
{
  struct ab_scheduler *scheduler;
  bool primary;
  enum ab_sched_decision decision;
  char target[AB_NAME_BYTES]; /* Of the latest grant.  */
};

struct fleet
{
  struct host hosts[HOSTS];
  int primary;
  struct ab_rng rng;
  uint64_t now_ms;
  uint64_t next_id;
  uint64_t priority; /* Of all requests.  */
  uint64_t requests[RUN_MS / STEP_MS];
  uint64_t retries[RUN_MS / STEP_MS];
};

static void
on_decision (void *ctx, const struct ab_sched_slot_request *slot_request,
             const struct ab_sched_reply *reply)
{
  struct host *host = ctx;

  (void)slot_request;
  host->decision = reply->decision;
  memcpy (host->target, reply->target, sizeof host->target);
}

static bool
is_primary (void *ctx, const char *service, const char *shard)
{
  const struct host *host = ctx;

  (void)shard;
  ck_assert_str_eq (service, "shop");
  return host->primary;
}

/* Hosts that may be the regular scheduler at the same time.  */
static size_t regular_hosts = 1;

static size_t
count_schedulers (void *ctx, const char *service)
{
  (void)ctx;
  (void)service;
  return regular_hosts;
}

static const struct ab_scheduler_ops ops
    = { .decide = on_decision,
        .count_schedulers = count_schedulers,
        .is_primary = is_primary };

static void
start_host (struct fleet *fleet, struct host *host)
{
  static const struct ab_scheduler_config config
      = { .retry_fraction = FRACTION,
          .retry_extra = EXTRA,
          .retry_window_ms = WINDOW_MS,
          .role_overlap_ms = OVERLAP_MS };
  static const struct ab_fleet_target target
      = { .id = "t1",
          .service = "shop",
          .address = "127.0.0.1:1",
          .failure_domain = "d",
          .slots = SLOTS,
          .state = AB_FLEET_TARGET_READY };

  ab_scheduler_free (host->scheduler);
  host->scheduler = ab_scheduler_new (&config, &ops, host);
  ck_assert_ptr_nonnull (host->scheduler);
  ab_scheduler_set_target (host->scheduler, &target, "", fleet->now_ms);
}

static void
begin (struct fleet *fleet, uint64_t seed)
{
  memset (fleet, 0, sizeof *fleet);
  ab_rng_init_seeded (&fleet->rng, seed);
  fleet->now_ms = 1000;
  for (int i = 0; i < HOSTS; i++)
    start_host (fleet, &fleet->hosts[i]);
  fleet->hosts[0].primary = true;
}

static void
end (struct fleet *fleet)
{
  for (int i = 0; i < HOSTS; i++)
    ab_scheduler_free (fleet->hosts[i].scheduler);
}

/* Requests a slot from HOST; returns whether it was granted.  */
static bool
request_slot (struct fleet *fleet, struct host *host, bool is_retry,
              bool is_counted)
{
  struct ab_sched_slot_request slot_request = { .id = ++fleet->next_id,
                                                .host = "gateway",
                                                .failure_domain = "d",
                                                .service = "shop",
                                                .idempotent = true,
                                                .is_retry = is_retry,
                                                .is_counted = is_counted,
                                                .priority = fleet->priority,
                                                .may_wait = true,
                                                .objective_ms = 1000,
                                                .timeout_ms = 3000 };

  host->decision = AB_SCHED_WAITING;
  ab_scheduler_request_slot (host->scheduler, &slot_request, fleet->now_ms);
  ab_scheduler_outcome (host->scheduler, fleet->next_id, AB_TARGET_OK, 10,
                        fleet->now_ms);
  return host->decision == AB_SCHED_GRANTED;
}

static struct host *
random_host (struct fleet *fleet)
{
  return &fleet->hosts[ab_rng_next (&fleet->rng) % HOSTS];
}

static bool
happens (struct fleet *fleet, unsigned one_in)
{
  return ab_rng_next (&fleet->rng) % one_in == 0;
}

/* Most requests go to the regular scheduler; some go to a host that stands in
   for it, and all are offered to others too, as when shards are full.  */
static void
simulate_request (struct fleet *fleet, size_t step)
{
  struct host *host = happens (fleet, 4) ? random_host (fleet)
                                         : &fleet->hosts[fleet->primary];

  fleet->requests[step]++;
  request_slot (fleet, host, false, false);
  for (int i = 0; i < OFFERS; i++)
    request_slot (fleet, random_host (fleet), false, true);
  for (int i = 0; i < 3; i++)
    fleet->retries[step] += request_slot (fleet, host, true, true);
}

/* Moves the role to another host.  The old one may take itself for the regular
   scheduler for OVERLAP_MS more, or restarts without its memory.  */
static uint64_t
move_role (struct fleet *fleet, int *old)
{
  *old = fleet->primary;
  fleet->primary = (int)(ab_rng_next (&fleet->rng) % HOSTS);
  fleet->hosts[fleet->primary].primary = true;
  if (happens (fleet, 2))
    start_host (fleet, &fleet->hosts[*old]);
  return fleet->now_ms + OVERLAP_MS;
}

static void
run (struct fleet *fleet)
{
  uint64_t until_ms = 0;
  int old = 0;

  for (size_t step = 0; step < RUN_MS / STEP_MS; step++)
    {
      if (until_ms == 0 && happens (fleet, 60))
        until_ms = move_role (fleet, &old);
      if (until_ms > 0 && fleet->now_ms >= until_ms)
        {
          if (old != fleet->primary)
            fleet->hosts[old].primary = false;
          until_ms = 0;
        }
      if (happens (fleet, 3))
        for (int i = 0; i < REQUESTS_AT_A_TIME; i++)
          simulate_request (fleet, step);
      for (int i = 0; i < HOSTS; i++)
        ab_scheduler_tick (fleet->hosts[i].scheduler, fleet->now_ms);
      fleet->now_ms += STEP_MS;
    }
}

static uint64_t
sum (const uint64_t *counts, size_t from, size_t to)
{
  uint64_t total = 0;

  for (size_t i = from; i < to && i < RUN_MS / STEP_MS; i++)
    total += counts[i];
  return total;
}

static uint64_t
check_budget (const struct fleet *fleet, uint64_t seed)
{
  size_t steps = WINDOW_MS / STEP_MS;
  uint64_t most = 0;

  for (size_t i = 0; i + steps <= RUN_MS / STEP_MS; i++)
    {
      uint64_t retries = sum (fleet->retries, i, i + steps);
      uint64_t requests = sum (fleet->requests, i, i + steps);
      ck_assert_msg ((double)retries <= FRACTION * (double)requests + EXTRA,
                     "seed %llu: %llu retries for %llu requests",
                     (unsigned long long)seed, (unsigned long long)retries,
                     (unsigned long long)requests);
      most = retries > most ? retries : most;
    }
  return most;
}

/* Guards against more retries than the budget when the role of the scheduler
   moves, when a scheduler forgets what it granted, when others stand in for
   it, and when a request is offered to several.  */
START_TEST (all_schedulers_share_one_budget)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  uint64_t most = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      uint64_t used;
      begin (fleet, seed);
      run (fleet);
      used = check_budget (fleet, seed);
      most = used > most ? used : most;
      end (fleet);
    }
  ck_assert_uint_gt (most, EXTRA / 2);
  free (fleet);
}
END_TEST

static void
pass_time (struct fleet *fleet, uint64_t duration_ms)
{
  for (uint64_t until = fleet->now_ms + duration_ms; fleet->now_ms < until;
       fleet->now_ms += STEP_MS)
    for (int i = 0; i < HOSTS; i++)
      ab_scheduler_tick (fleet->hosts[i].scheduler, fleet->now_ms);
}

/* Returns how many retries HOST grants in DURATION_MS when it is asked for one
   in each step.  */
static unsigned
grant_retries (struct fleet *fleet, struct host *host, uint64_t duration_ms)
{
  unsigned granted = 0;

  for (uint64_t until = fleet->now_ms + duration_ms; fleet->now_ms < until;
       fleet->now_ms += STEP_MS)
    {
      for (int i = 0; i < HOSTS; i++)
        ab_scheduler_tick (fleet->hosts[i].scheduler, fleet->now_ms);
      granted += request_slot (fleet, host, true, true);
    }
  return granted;
}

/* Guards against a regular scheduler that never gets the additional budget,
   and against one that gets it while its predecessor may still use it.  */
START_TEST (role_earns_additional_retries)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct host *host;
  unsigned granted;

  begin (fleet, 1);
  host = &fleet->hosts[0];
  request_slot (fleet, host, false, false);
  ck_assert_uint_eq (grant_retries (fleet, host, OVERLAP_MS), 0);
  grant_retries (fleet, host, 2000);
  granted = grant_retries (fleet, host, WINDOW_MS);
  ck_assert_uint_gt (granted, EXTRA / 2);
  ck_assert_uint_le (granted, EXTRA);
  host->primary = false;
  grant_retries (fleet, host, 2000);
  ck_assert_uint_eq (grant_retries (fleet, host, WINDOW_MS), 0);
  end (fleet);
  free (fleet);
}
END_TEST

/* Retries that each request asks for.  */
#define RETRIES 4

/* Sends requests without retries until what they allow could be saved, then
   moves the role in each second while each request is retried.  */
static unsigned
move_role_after_calm (struct fleet *fleet, uint64_t *requests)
{
  unsigned granted = 0;
  uint64_t begin_ms = fleet->now_ms + 2 * (uint64_t)WINDOW_MS;

  *requests = 0;
  for (; fleet->now_ms < begin_ms + WINDOW_MS; fleet->now_ms += STEP_MS)
    {
      struct host *host = &fleet->hosts[fleet->primary];
      for (int i = 0; i < HOSTS; i++)
        ab_scheduler_tick (fleet->hosts[i].scheduler, fleet->now_ms);
      for (int i = 0; i < REQUESTS_AT_A_TIME; i++)
        {
          request_slot (fleet, host, false, false);
          *requests += fleet->now_ms >= begin_ms;
          for (int j = 0; j < RETRIES && fleet->now_ms >= begin_ms; j++)
            granted += request_slot (fleet, host, true, true);
        }
      if (fleet->now_ms <= begin_ms || (fleet->now_ms - begin_ms) % 1000 != 0)
        continue;
      host->primary = false;
      start_host (fleet, host);
      fleet->primary = (fleet->primary + 1) % HOSTS;
      fleet->hosts[fleet->primary].primary = true;
    }
  return granted;
}

/* Guards against a scheduler that saves the budget of a window, spends it at
   once and is replaced, so that its successors spend that of the same window
   again.  */
START_TEST (savings_are_bounded_when_role_moves)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  uint64_t requests;
  unsigned granted;

  begin (fleet, 1);
  granted = move_role_after_calm (fleet, &requests);
  ck_assert_uint_gt (granted, EXTRA / 2);
  ck_assert_double_le ((double)granted,
                       0.85 * (FRACTION * (double)requests + EXTRA));
  end (fleet);
  free (fleet);
}
END_TEST

#define SIDES 3

/* Guards against additional retries on each side of a fleet whose control
   hosts are cut from one another, so that each side has a regular scheduler,
   and against more of them while the sides join again.  */
START_TEST (sides_share_additional_retries)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  unsigned granted = 0;

  begin (fleet, 1);
  regular_hosts = SIDES;
  for (int i = 0; i < SIDES; i++)
    fleet->hosts[i].primary = true;
  pass_time (fleet, WINDOW_MS);
  for (uint64_t t = 0; t < WINDOW_MS; t += STEP_MS)
    {
      if (t == WINDOW_MS / 2)
        regular_hosts = 1;
      if (t == WINDOW_MS / 2 + OVERLAP_MS)
        fleet->hosts[1].primary = fleet->hosts[2].primary = false;
      for (int i = 0; i < SIDES; i++)
        granted += request_slot (fleet, &fleet->hosts[i], true, true);
      pass_time (fleet, STEP_MS);
    }
  ck_assert_uint_gt (granted, EXTRA / 2);
  ck_assert_uint_le (granted, EXTRA);
  end (fleet);
  free (fleet);
}
END_TEST

/* Returns the retries that are granted in a window to requests of PRIORITY,
   each of which asks for one.  */
static unsigned
count_retries_of (uint64_t priority)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  unsigned granted = 0;

  begin (fleet, 1);
  fleet->priority = priority;
  for (uint64_t t = 0; t < 2 * (uint64_t)WINDOW_MS; t += STEP_MS)
    {
      request_slot (fleet, &fleet->hosts[0], false, false);
      if (t >= WINDOW_MS)
        granted += request_slot (fleet, &fleet->hosts[0], true, true);
      pass_time (fleet, STEP_MS);
    }
  end (fleet);
  free (fleet);
  return granted;
}

/* Guards against a part of the budget that is kept for priorities of which a
   service gets no requests.  */
START_TEST (lone_priority_uses_whole_budget)
{
  unsigned urgent = count_retries_of (0);

  ck_assert_uint_gt (urgent, 0);
  ck_assert_uint_eq (count_retries_of (2), urgent);
}
END_TEST

/* Guards against tests of uncertain targets by requests that get no retry when
   they fail there.  */
START_TEST (tests_need_retry_credit)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct ab_fleet_target target = { .id = "t2",
                                    .service = "shop",
                                    .address = "127.0.0.1:2",
                                    .failure_domain = "d",
                                    .slots = SLOTS,
                                    .state = AB_FLEET_TARGET_READY };
  struct host *host;

  begin (fleet, 1);
  host = &fleet->hosts[0];
  for (int i = 0; i < 20; i++)
    request_slot (fleet, host, false, false);
  while (request_slot (fleet, host, true, true))
    ;
  ab_scheduler_set_target (host->scheduler, &target, "", fleet->now_ms);
  ck_assert (request_slot (fleet, host, false, false));
  ck_assert_str_eq (host->target, "t1");
  for (int i = 0; i < 20 && strcmp (host->target, "t2") != 0; i++)
    request_slot (fleet, host, false, false);
  ck_assert_str_eq (host->target, "t2");
  end (fleet);
  free (fleet);
}
END_TEST

SUITE_MAIN ("scheduler_budget", 60, all_schedulers_share_one_budget,
            role_earns_additional_retries, savings_are_bounded_when_role_moves,
            sides_share_additional_retries, lone_priority_uses_whole_budget,
            tests_need_retry_credit)
