/* Tests that a bundle version is accepted once, comes into force on all hosts,
   and is never reverted to an older one.  */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "clock.h"
#include "fleet_test_lib.h"

/* Required bound on the time from the acceptance of a bundle until it is in
   force on all hosts.  */
#define IN_FORCE_MS 5000
#define CTL_OK 0
#define CTL_REFUSED 1

static void
assert_in_force_everywhere (struct fleet *fleet, long version)
{
  for (int i = 1; i <= fleet_host_count (fleet); i++)
    ck_assert_msg (test_wait_version (fleet, i, version, IN_FORCE_MS),
                   "host %d has version %ld", i,
                   test_bundle_version (fleet, i));
}

static char *
bundle_digest (struct fleet *fleet, int host)
{
  const char *query[] = { "bundle", "status", NULL };
  json_t *bundle = fleet_query (fleet, host, query);
  const char *digest = json_string_value (json_object_get (bundle, "digest"));
  char *copy = strdup (digest ? digest : "");

  json_decref (bundle);
  return copy;
}

/* Applies version 2 with COMMENT at HOST in a child process and returns its
   process id.  */
static pid_t
apply_in_background (struct fleet *fleet, int host, const char *comment)
{
  pid_t pid = fork ();

  if (pid == 0)
    _exit (fleet_apply_bundle (fleet, host, 2, comment));
  return pid;
}

/* Guards against two accepted bundles, or none, when operators apply different
   ones with the same version number at once, and against a loser or a retry
   that gets another result.  */
START_TEST (operators_race)
{
  struct fleet *fleet = test_fleet_start ("fleet_bundle_race", 3, 0, false);
  int hosts[] = { test_entry_host (fleet, 1), test_entry_host (fleet, 3) };
  const char *comments[] = { "# one\n", "# two\n" };
  int results[2];
  pid_t pids[2];
  char *first;

  for (int i = 0; i < 2; i++)
    pids[i] = apply_in_background (fleet, hosts[i], comments[i]);
  for (int i = 0; i < 2; i++)
    {
      ck_assert_int_eq (waitpid (pids[i], &results[i], 0), pids[i]);
      results[i] = WEXITSTATUS (results[i]);
    }
  ck_assert_int_eq (results[0] + results[1], CTL_OK + CTL_REFUSED);
  assert_in_force_everywhere (fleet, 2);
  first = bundle_digest (fleet, 1);
  for (int i = 2; i <= fleet_host_count (fleet); i++)
    {
      char *digest = bundle_digest (fleet, i);
      ck_assert_str_eq (digest, first);
      free (digest);
    }
  free (first);
  /* A retry gives both operators the same result as before.  */
  for (int i = 0; i < 2; i++)
    ck_assert_int_eq (fleet_apply_bundle (fleet, hosts[i], 2, comments[i]),
                      results[i]);
  ck_assert_int_eq (fleet_apply_bundle (fleet, hosts[0], 1, NULL),
                    CTL_REFUSED);
  fleet_free (fleet);
}
END_TEST

/* Guards against a host that goes back to an older bundle: after a restart of
   every host, on a control host that missed a change, and on an entry host
   with an empty disk while the control hosts are down.  */
START_TEST (never_reverts)
{
  struct fleet *fleet = test_fleet_start ("fleet_bundle_revert", 3, 0, false);
  int entry = test_entry_host (fleet, 1);

  fleet_kill_host (fleet, 3);
  ck_assert_int_eq (fleet_apply_bundle (fleet, entry, 2, NULL), CTL_OK);
  ck_assert (fleet_start_host (fleet, 3));
  assert_in_force_everywhere (fleet, 2);
  for (int i = 1; i <= fleet_host_count (fleet); i++)
    {
      fleet_kill_host (fleet, i);
      ck_assert (fleet_start_host (fleet, i));
    }
  assert_in_force_everywhere (fleet, 2);
  for (int i = 1; i <= TEST_CONTROLS; i++)
    fleet_kill_host (fleet, i);
  fleet_kill_host (fleet, entry);
  fleet_empty_disk (fleet, entry);
  ck_assert (fleet_start_host (fleet, entry));
  ck_assert (test_wait_version (fleet, entry, 2, IN_FORCE_MS));
  fleet_kill_host (fleet, entry + 1);
  ck_assert (fleet_start_host (fleet, entry + 1));
  ck_assert (test_wait_version (fleet, entry + 1, 2, IN_FORCE_MS));
  fleet_free (fleet);
}
END_TEST

/* Guards against an isolated control host that accepts a bundle, or that
   disturbs the others when it reconnects.  */
START_TEST (isolated_leader)
{
  struct fleet *fleet = test_fleet_start ("fleet_bundle_isolated", 2, 0, true);
  int leader = test_leader (fleet);
  int status;

  ck_assert_int_gt (leader, 0);
  ck_assert (fleet_set_fault (fleet, leader, "up=drop"));
  /* The isolated host receives nothing; its own messages still arrive.  */
  ck_assert_int_ne (fleet_apply_bundle (fleet, leader, 2, "# isolated\n"),
                    CTL_OK);
  status = -1;
  for (int i = 0; i < 30 && status != CTL_OK; i++)
    status = fleet_apply_bundle (fleet, test_entry_host (fleet, 1), 3, NULL);
  ck_assert_int_eq (status, CTL_OK);
  ck_assert (fleet_set_fault (fleet, leader, "up=pass"));
  assert_in_force_everywhere (fleet, 3);
  fleet_free (fleet);
}
END_TEST

/* Guards against entry hosts that stop serving when all control hosts are
   down.  */
START_TEST (control_hosts_down)
{
  struct fleet *fleet = test_fleet_start ("fleet_bundle_away", 2, 2, false);
  const char *entry = fleet_callers (fleet, test_entry_host (fleet, 2));
  char header[128];
  char *reply = NULL;

  test_idempotency_key_header (fleet, header, sizeof header);
  for (int i = 1; i <= TEST_CONTROLS; i++)
    fleet_kill_host (fleet, i);
  ck_assert_int_eq (
      fleet_http_as_team (fleet, entry, "GET", "/stock/1", NULL, NULL, &reply),
      200);
  free (reply);
  ck_assert_int_eq (fleet_http_as_team (fleet, entry, "POST", "/orders",
                                        header, "racks=1", &reply),
                    503);
  ck_assert_ptr_nonnull (reply);
  ck_assert_ptr_nonnull (strstr (reply, "\"verdict\":\"not-run\""));
  free (reply);
  for (int i = 1; i <= TEST_CONTROLS; i++)
    ck_assert (fleet_start_host (fleet, i));
  ck_assert_int_gt (test_leader (fleet), 0);
  /* The order whose verdict was "not run" may be retried, and runs once.  */
  ck_assert_int_eq (fleet_http_as_team (fleet, entry, "POST", "/orders",
                                        header, "racks=1", &reply),
                    200);
  free (reply);
  ck_assert_int_eq (test_target_stat (fleet, 1, "runs")
                        + test_target_stat (fleet, 2, "runs"),
                    2);
  fleet_free (fleet);
}
END_TEST

SUITE_MAIN ("fleet_bundle", 180, operators_race, never_reverts,
            isolated_leader, control_hosts_down)
