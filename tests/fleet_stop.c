/* Tests that a planned stop interrupts no request.  */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "fleet_test_lib.h"

#define ENTRIES 3
#define TARGETS 4
#define RATE 80
#define LOAD_MS 30000
#define STOP_MS 15000

static void
restart_host (struct fleet *fleet, int host)
{
  fleet_signal_host (fleet, host, SIGTERM);
  ck_assert_int_eq (fleet_wait_host (fleet, host, STOP_MS), 0);
  ck_assert (fleet_start_host (fleet, host));
  ck_assert (fleet_wait_ready (fleet, 1, TEST_START_MS));
}

/* Guards against requests that are interrupted or run twice by a rolling
   restart: every entry and control host is stopped and started in turn under
   load.  */
START_TEST (rolling_restart)
{
  struct fleet *fleet
      = test_fleet_start ("fleet_stop", ENTRIES, TARGETS, false);
  pid_t load
      = test_load_start (fleet, "rolling", ENTRIES, 3, 1, RATE, LOAD_MS);
  struct test_load_result result;

  fleet_sleep_ms (1000);
  for (int i = 1; i <= ENTRIES; i++)
    restart_host (fleet, test_entry_host (fleet, i));
  for (int i = 1; i <= TEST_CONTROLS; i++)
    restart_host (fleet, i);
  result = test_load_end (fleet, "rolling", load, TARGETS);
  test_assert_guarantees (&result);
  ck_assert_int_eq (result.cut, 0);
  ck_assert_int_eq (result.may_have_run, 0);
  ck_assert_int_gt (result.ok, result.sent * 95 / 100);
  fleet_free (fleet);
}
END_TEST

/* Guards against a stop that does not wait for a slow request, which takes
   longer than the listeners are held open.  */
START_TEST (slow_request_finishes)
{
  struct fleet_options options = { .controls = TEST_CONTROLS,
                                   .entries = 1,
                                   .regions = 3,
                                   .address_ttl = "300ms" };
  struct fleet *fleet = test_fleet_start_with ("fleet_stop_slow", options, 1);
  int entry = test_entry_host (fleet, 1);
  struct test_load_result result;
  pid_t load;

  ck_assert_int_eq (fleet_http (fleet_target (fleet, 1), "PUT",
                                "/fault?kind=late&delay_ms=1500", NULL, NULL,
                                NULL),
                    200);
  load = test_load_start (fleet, "slow", 1, 1, 0, 1, 1500);
  fleet_sleep_ms (1200);
  fleet_signal_host (fleet, entry, SIGTERM);
  ck_assert_int_eq (fleet_wait_host (fleet, entry, STOP_MS), 0);
  result = test_load_end (fleet, "slow", load, 1);
  ck_assert_int_gt (result.sent, 0);
  ck_assert_int_eq (result.cut, 0);
  ck_assert_int_eq (result.ok, result.sent);
  fleet_free (fleet);
}
END_TEST

SUITE_MAIN ("fleet_stop", 180, rolling_restart, slow_request_finishes)
