/* Tests of the state that a fleet keeps when its processes restart.  */

#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "fleet_lib.h"
#include "fleet_process.h"
#include "gateway_fleet_lib.h"
#include "rng.h"
#include "suite_lib.h"

#define READY_MS 15000
#define TEST_S 180
#define CONTROLS 3
#define ROUNDS 3
#define WATCHED_MS 1500
#define SEED 20261204

/* Kills the gateway and all control hosts, one after the other, and starts
   them again in an order drawn from RNG.  */
static void
restart_all (struct gf_fleet *fleet, struct ab_rng *rng)
{
  int order[CONTROLS + 1];

  for (int i = 0; i <= CONTROLS; i++)
    order[i] = i;
  for (int i = CONTROLS; i > 0; i--)
    {
      int j = (int)ab_rng_below (rng, (uint64_t)i + 1);
      int swap = order[i];
      order[i] = order[j];
      order[j] = swap;
    }
  gf_kill (&fleet->gateway_pids[1]);
  for (int i = 1; i <= CONTROLS; i++)
    gf_kill (&fleet->control_pids[i]);
  for (int i = 0; i <= CONTROLS; i++)
    {
      if (order[i] == 0)
        gf_start_gateway (fleet, 1);
      else
        gf_start_control (fleet, order[i], false);
      fleet_sleep_ms ((int)ab_rng_below (rng, 300));
    }
}

/* Guards against a deregistered target that is used again after restarts,
   because of a log, a snapshot or its own late announcements.  The target
   keeps running and announcing itself.  */
START_TEST (left_target_stays_away)
{
  struct gf_fleet fleet;
  struct ab_rng rng;

  ab_rng_init_seeded (&rng, SEED);
  gf_start (&fleet, "gf_left", CONTROLS, 1);
  gf_start_target (&fleet, 1, GF_HEALTHY);
  gf_start_target (&fleet, 2, GF_HEALTHY);
  ck_assert (gf_wait_status (&fleet, 1, "/look/1", 200, READY_MS));
  ck_assert_int_eq (
      fleet_http (gf_admin (&fleet, 1), "POST", "/v1/targets/t1/leave",
                  "Content-Type: application/json\n", "{\"born\":1000}", NULL),
      200);
  fleet_sleep_ms (1000);
  for (int round = 0; round < ROUNDS; round++)
    {
      uint64_t end;
      int before;
      restart_all (&fleet, &rng);
      before = gf_runs_at (&fleet, 1, "wait");
      ck_assert (gf_wait_status (&fleet, 1, "/look/1", 200, READY_MS));
      end = ab_clock_monotonic_ms (ab_clock_system ()) + WATCHED_MS;
      while (ab_clock_monotonic_ms (ab_clock_system ()) < end)
        gf_request (&fleet, 1, "GET", "/look/1", "wait", NULL);
      ck_assert_int_eq (gf_runs_at (&fleet, 1, "wait"), before);
    }
  gf_stop (&fleet);
}
END_TEST

SUITE_MAIN ("fleet_restart", TEST_S, left_target_stays_away)
