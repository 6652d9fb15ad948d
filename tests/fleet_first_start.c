/* Tests with real processes of the first start of a fleet, with control hosts
   that lose their disks at that time.  */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "fleet_lib.h"
#include "gateway_fleet_lib.h"

#define TEST_S 90
#define READY_MS 10000
#define DOWN_MS 1000
/* The stated bound for service after all hosts are back.  */
#define RECOVER_MS 15000
#define REFUSED_MS 2500

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

/* Sends bundle VERSION to the running control hosts in turn until one accepts
   it.  Returns false after TIMEOUT_MS.  */
static bool
put_bundle (struct gf_fleet *fleet, int version, int timeout_ms)
{
  uint64_t end = now_ms () + (uint64_t)timeout_ms;

  while (now_ms () < end)
    {
      for (int i = 1; i <= GF_CONTROLS_MAX; i++)
        if (fleet->control_pids[i]
            && gf_put_bundle (fleet, i, version,
                              version == 1 ? 0 : version - 1, "")
                   == 200)
          return true;
      fleet_sleep_ms (20);
    }
  return false;
}

static void
lose_disk (struct gf_fleet *fleet, int control)
{
  gf_kill (&fleet->control_pids[control]);
  gf_empty_disk (fleet, control);
}

/* Guards against accepting a change before enough hosts vote: the tolerated
   losses then took every disk that held it, and the group had no majority for
   good.  */
START_TEST (disks_lost_after_first_change)
{
  struct gf_fleet fleet;

  gf_prepare (&fleet, "gf_first_change");
  fleet.tolerated = 2;
  for (int i = 1; i <= 6; i++)
    gf_start_control (&fleet, i, true);
  ck_assert (put_bundle (&fleet, 1, READY_MS));
  lose_disk (&fleet, 1);
  lose_disk (&fleet, 2);
  fleet_sleep_ms (DOWN_MS);
  gf_start_control (&fleet, 1, false);
  gf_start_control (&fleet, 2, false);
  ck_assert (gf_wait_bundle (&fleet, 3, 1, RECOVER_MS));
  ck_assert (put_bundle (&fleet, 2, RECOVER_MS));
  gf_stop (&fleet);
}
END_TEST

/* Likewise, while the further hosts have not started.  */
START_TEST (few_voters_accept_nothing)
{
  struct gf_fleet fleet;

  gf_prepare (&fleet, "gf_few_voters");
  fleet.tolerated = 2;
  for (int i = 1; i <= 4; i++)
    gf_start_control (&fleet, i, true);
  ck_assert (!put_bundle (&fleet, 1, REFUSED_MS));
  gf_start_control (&fleet, 5, true);
  ck_assert (put_bundle (&fleet, 1, READY_MS));
  gf_stop (&fleet);
}
END_TEST

/* Guards against a group that never forms because one seed or two lost their
   disks, and with them the list of the first members, before the first
   election.  */
START_TEST (seed_disks_lost_before_first_leader)
{
  struct gf_fleet fleet;
  int lost = _i + 1;

  gf_prepare (&fleet, "gf_seeds_lost");
  fleet.tolerated = lost;
  for (int i = 1; i <= lost; i++)
    gf_start_control (&fleet, i, true);
  fleet_sleep_ms (100);
  for (int i = 1; i <= lost; i++)
    lose_disk (&fleet, i);
  for (int i = lost + 1; i <= 6; i++)
    gf_start_control (&fleet, i, true);
  fleet_sleep_ms (DOWN_MS);
  for (int i = 1; i <= lost; i++)
    gf_start_control (&fleet, i, false);
  ck_assert (put_bundle (&fleet, 1, RECOVER_MS));
  for (int i = 1; i <= 6; i++)
    ck_assert (gf_wait_bundle (&fleet, i, 1, READY_MS));
  gf_stop (&fleet);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fleet_first_start");
  TCase *tcase = tcase_create ("fleet_first_start");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, TEST_S);
  tcase_add_test (tcase, disks_lost_after_first_change);
  tcase_add_test (tcase, few_voters_accept_nothing);
  tcase_add_loop_test (tcase, seed_disks_lost_before_first_leader, 0, 2);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
