/* Tests of lost disks of control hosts: a host that keeps its name with an
   emptied disk, a replaced host, and a second loss right after the
   repair.  */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_test_lib.h"

#define CTL_OK 0

static bool
may_vote (struct fleet *fleet, int host)
{
  const char *query[] = { "state", NULL };
  json_t *state = fleet_query (fleet, host, query);
  bool votes = json_is_true (
      json_object_get (json_object_get (state, "control"), "may_vote"));

  json_decref (state);
  return votes;
}

static int
other_control (int a, int b)
{
  for (int i = 1; i <= TEST_CONTROLS; i++)
    if (i != a && i != b)
      return i;
  return 0;
}

/* Guards against a host with an emptied disk that votes under its old name,
   and against the loss of an accepted bundle when a second host loses its disk
   right after the first was repaired.  */
START_TEST (second_disk_lost_after_repair)
{
  struct fleet *fleet = test_fleet_start ("fleet_disk", 2, 1, false);
  int entry = test_entry_host (fleet, 1);
  int leader = test_leader (fleet);
  int emptied = leader == 1 ? 2 : 1;
  int third = other_control (leader, emptied);
  char name[32];
  const char *replace[]
      = { "members", "replace", name, fleet_peers (fleet, emptied), NULL };
  int status = -1;

  snprintf (name, sizeof name, "control-%d", emptied);
  ck_assert_int_eq (fleet_apply_bundle (fleet, entry, 2, NULL), CTL_OK);
  fleet_kill_host (fleet, emptied);
  fleet_empty_disk (fleet, emptied);
  ck_assert (fleet_start_host (fleet, emptied));
  fleet_sleep_ms (2000);
  ck_assert (!may_vote (fleet, emptied));
  for (int i = 0; i < 20 && status != CTL_OK; i++)
    {
      status = fleet_ctl (fleet, entry, replace, NULL);
      fleet_sleep_ms (200);
    }
  ck_assert_int_eq (status, CTL_OK);
  for (int i = 0; i < 100 && !may_vote (fleet, emptied); i++)
    fleet_sleep_ms (100);
  ck_assert (may_vote (fleet, emptied));
  fleet_kill_host (fleet, third);
  fleet_empty_disk (fleet, third);
  status = -1;
  for (int i = 0; i < 20 && status != CTL_OK; i++)
    status = fleet_apply_bundle (fleet, entry, 3, NULL);
  ck_assert_int_eq (status, CTL_OK);
  ck_assert (test_wait_version (fleet, emptied, 3, 5000));
  fleet_free (fleet);
}
END_TEST

/* Guards against a majority of hosts with emptied disks that start a new log
   under their old names.  */
START_TEST (majority_emptied)
{
  struct fleet *fleet = test_fleet_start ("fleet_disk_majority", 2, 0, false);
  int entry = test_entry_host (fleet, 1);

  ck_assert_int_eq (fleet_apply_bundle (fleet, entry, 5, NULL), CTL_OK);
  for (int i = 1; i <= 2; i++)
    {
      fleet_kill_host (fleet, i);
      fleet_empty_disk (fleet, i);
      ck_assert (fleet_start_host (fleet, i));
    }
  fleet_sleep_ms (3000);
  ck_assert_int_ne (fleet_apply_bundle (fleet, entry, 4, NULL), CTL_OK);
  ck_assert_int_eq (test_bundle_version (fleet, entry), 5);
  ck_assert_int_eq (test_bundle_version (fleet, test_entry_host (fleet, 2)),
                    5);
  fleet_free (fleet);
}
END_TEST

SUITE_MAIN ("fleet_disk", 120, second_disk_lost_after_repair, majority_emptied)
