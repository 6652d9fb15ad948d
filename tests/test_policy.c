/* Requirements on detection and dispatch, checked on the simulation of
   bench/policy_simulation_lib.h with fixed seeds.  The bounds are those of
   docs/design.md, which also describes the deployments Trust and
   Hrimgrind.  */

#include <stdlib.h>

#include "policy_simulation_lib.h"
#include "suite_lib.h"

#define SEEDS 2
#define FIRST_SEED 1001
#define TRUST_DETECTION_MS 3000
#define HRIMGRIND_DETECTION_MS 1000

static struct policy_setup
trust (enum policy_fault fault, double utilisation, int seed)
{
  return (struct policy_setup){ .policy = POLICY_DISPATCHER,
                                .fault = fault,
                                .targets = 24,
                                .slots = 2,
                                .detection_weight = 0,
                                .floor = 0.7,
                                .utilisation = utilisation,
                                .seconds = 30,
                                .fault_from_s = 10,
                                .fault_to_s = 20,
                                .seed = FIRST_SEED + (uint64_t)seed };
}

static struct policy_setup
hrimgrind (enum policy_fault fault, double utilisation, int seed)
{
  struct policy_setup setup = trust (fault, utilisation, seed);

  setup.slots = 6;
  setup.detection_weight = 1;
  return setup;
}

/* Guards against slow detection of a target that becomes 10 times slower at
   20% utilisation: later than 3 s for Trust or 1 s for Hrimgrind, in both
   sizes of service.  */
START_TEST (slow_target_is_detected)
{
  struct policy_setup setups[2]
      = { trust (FAULT_SLOW_10, 0.2, _i), hrimgrind (FAULT_SLOW_10, 0.2, _i) };
  static const double bounds[2]
      = { TRUST_DETECTION_MS, HRIMGRIND_DETECTION_MS };
  struct policy_result result;

  for (int d = 0; d < 2; d++)
    for (size_t targets = 12; targets <= 24; targets += 12)
      {
        setups[d].targets = targets;
        policy_run (&setups[d], &result);
        ck_assert_msg (result.detection_ms >= 0
                           && result.detection_ms <= bounds[d],
                       "%zu targets, deployment %d: %.0f ms", targets, d,
                       result.detection_ms);
        ck_assert_uint_eq (result.floor_violations, 0);
      }
}
END_TEST

/* Guards against false ejections for Trust in every case without an unhealthy
   target.  */
START_TEST (no_target_is_ejected_without_cause)
{
  static const enum policy_fault faults[]
      = { FAULT_NONE,      FAULT_HEAVY_TAIL, FAULT_COLD_RESTART,
          FAULT_PARTITION, FAULT_OVERLOAD,   FAULT_DOMAIN_SLOW };
  struct policy_result result;

  for (size_t i = 0; i < sizeof faults / sizeof faults[0]; i++)
    for (int load = 1; load <= 3; load += 2)
      {
        struct policy_setup setup = trust (faults[i], 0.2 * load, _i);

        policy_run (&setup, &result);
        ck_assert_msg (result.false_ejections < 0.5, "%s at %d%%: %.1f",
                       policy_fault_name (faults[i]), 20 * load,
                       result.false_ejections);
        ck_assert_uint_eq (result.floor_violations, 0);
      }
}
END_TEST

/* Guards against ejections that take a service below its floor, and against
   retries of more than 10% of the requests, in every case.  */
START_TEST (floor_and_retries_hold)
{
  struct policy_result result;

  for (int fault = 0; fault < FAULT_COUNT; fault++)
    {
      struct policy_setup setup
          = hrimgrind ((enum policy_fault)fault, 0.6, _i);

      setup.targets = 12;
      policy_run (&setup, &result);
      ck_assert_msg (result.floor_violations == 0, "%s",
                     policy_fault_name (setup.fault));
      ck_assert_msg (10 * result.retries <= result.requests, "%s",
                     policy_fault_name (setup.fault));
    }
}
END_TEST

/* Guards against congestion collapse at 3 times the capacity: goodput must be
   at least 90% of that at capacity, and normal 5 s after the overload.  */
START_TEST (overload_keeps_goodput)
{
  struct policy_setup full = trust (FAULT_NONE, 1, _i);
  struct policy_setup over = trust (FAULT_OVERLOAD, 0.6, _i);
  struct policy_result at_capacity;
  struct policy_result result;

  policy_run (&full, &at_capacity);
  policy_run (&over, &result);
  ck_assert (policy_goodput (&result, 12, 20)
             >= 0.9 * policy_goodput (&at_capacity, 12, 20));
  ck_assert (result.recovery_ms <= 5000);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("policy");
  TCase *tcase = tcase_create ("policy");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 120);
  tcase_add_loop_test (tcase, slow_target_is_detected, 0, SEEDS);
  tcase_add_loop_test (tcase, no_target_is_ejected_without_cause, 0, SEEDS);
  tcase_add_loop_test (tcase, floor_and_retries_hold, 0, SEEDS);
  tcase_add_loop_test (tcase, overload_keeps_goodput, 0, SEEDS);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
