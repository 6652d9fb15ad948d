/* Tests with gateways as real processes that the arrivals at targets beyond
   the first one of each request stay within the fleet's retry budget.

   The targets reject half of the requests, so that gateways would send each
   several times, and record the arrivals of each request id.  */

#include <signal.h>

#include "budget_load_lib.h"
#include "fleet_lib.h"
#include "suite_lib.h"

#define TEST_S 200
#define GATEWAYS 12
/* Gateways that are disturbed at a time.  */
#define GROUP 4
#define ROUNDS 12
#define FREEZE_MS 1000
#define BETWEEN_MS 400

static void
run_load (const char *name, int regions, void (*disturb) (struct gf_fleet *))
{
  const struct budget_load load = { .name = name,
                                    .regions = regions,
                                    .controls = 3,
                                    .gateways = GATEWAYS,
                                    .targets = 6,
                                    .retry_extra = 40,
                                    .retry_fraction = 0.1,
                                    .callers = 8,
                                    .pause_ms = 200,
                                    .reject_percent = 50,
                                    .share_max = 1,
                                    .used_min = 6 };

  budget_run (&load, disturb);
}

static void
wait_only (struct gf_fleet *fleet)
{
  (void)fleet;
  fleet_sleep_ms (2 * BUDGET_WINDOW_MS + BUDGET_WINDOW_MS / 2);
}

/* Guards against a request that counts once for the budget at each scheduler
   that it is offered to.  */
START_TEST (request_counts_once_in_all_shards)
{
  run_load ("gf_shards", 2, wait_only);
}
END_TEST

static void
signal_group (const struct gf_fleet *fleet, int round, int number)
{
  for (int i = 0; i < GROUP; i++)
    kill (fleet->gateway_pids[1 + (round * GROUP + i) % GATEWAYS], number);
}

static void
freeze_in_turn (struct gf_fleet *fleet)
{
  fleet_sleep_ms (BUDGET_WINDOW_MS + BUDGET_WINDOW_MS / 2);
  for (int i = 0; i < ROUNDS; i++)
    {
      signal_group (fleet, i, SIGSTOP);
      fleet_sleep_ms (FREEZE_MS);
      signal_group (fleet, i, SIGCONT);
      fleet_sleep_ms (BETWEEN_MS);
    }
}

/* Guards against hosts that stand in for a frozen scheduler, each with the
   whole additional budget.  */
START_TEST (frozen_schedulers_share_one_budget)
{
  run_load ("gf_frozen", 1, freeze_in_turn);
}
END_TEST

static void
restart_in_turn (struct gf_fleet *fleet)
{
  fleet_sleep_ms (BUDGET_WINDOW_MS + BUDGET_WINDOW_MS / 2);
  for (int i = 0; i < ROUNDS; i++)
    {
      for (int j = 0; j < GROUP; j++)
        gf_kill (&fleet->gateway_pids[1 + (i * GROUP + j) % GATEWAYS]);
      fleet_sleep_ms (BETWEEN_MS / 2);
      for (int j = 0; j < GROUP; j++)
        gf_start_gateway (fleet, 1 + (i * GROUP + j) % GATEWAYS);
      fleet_sleep_ms (FREEZE_MS);
    }
}

/* Guards against a scheduler that forgets with a restart what was spent.  */
START_TEST (restarted_schedulers_share_one_budget)
{
  run_load ("gf_forget", 1, restart_in_turn);
}
END_TEST

SUITE_MAIN ("fleet_budget", TEST_S, request_counts_once_in_all_shards,
            frozen_schedulers_share_one_budget,
            restarted_schedulers_share_one_budget)
