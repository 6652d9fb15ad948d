/* Orders run at most once, and "not run" is final, while processes are
   killed, frozen and cut off.  Callers send an order again until its end is
   known.  */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "fleet_test_lib.h"

#define ENTRIES 4
#define TARGETS 4
#define RATE 60
#define LOAD_MS 8000

/* A load of orders alone while FAULT happens.  */
static void
run_case (const char *name, bool proxies, void (*fault) (struct fleet *))
{
  struct fleet *fleet = test_fleet_start (name, ENTRIES, TARGETS, proxies);
  pid_t load = test_load_start (fleet, "orders", ENTRIES, 0, 1, RATE, LOAD_MS);
  struct test_load_result result;

  fleet_sleep_ms (1500);
  fault (fleet);
  result = test_load_end (fleet, "orders", load, TARGETS);
  test_assert_promises (&result);
  ck_assert_uint_gt (result.runs.keys, 100);
  fleet_free (fleet);
}

static void
kill_leader (struct fleet *fleet)
{
  int leader = test_leader (fleet);

  fleet_kill_host (fleet, leader);
  fleet_sleep_ms (2000);
  ck_assert (fleet_start_host (fleet, leader));
}

static void
freeze_leader (struct fleet *fleet)
{
  int leader = test_leader (fleet);

  fleet_signal_host (fleet, leader, SIGSTOP);
  fleet_sleep_ms (2500);
  fleet_signal_host (fleet, leader, SIGCONT);
}

static void
kill_entry (struct fleet *fleet)
{
  fleet_kill_host (fleet, test_entry (fleet, 2));
  fleet_sleep_ms (1500);
  ck_assert (fleet_start_host (fleet, test_entry (fleet, 2)));
}

static void
freeze_entry (struct fleet *fleet)
{
  fleet_signal_host (fleet, test_entry (fleet, 1), SIGSTOP);
  fleet_sleep_ms (3000);
  fleet_signal_host (fleet, test_entry (fleet, 1), SIGCONT);
}

static void
cut_leader_one_way (struct fleet *fleet)
{
  int leader = test_leader (fleet);

  ck_assert (fleet_fault (fleet, leader, "up=drop"));
  fleet_sleep_ms (2500);
  ck_assert (fleet_fault (fleet, leader, "up=pass"));
}

static void
kill_targets (struct fleet *fleet)
{
  static const char *const arguments[] = { "--work-ms", "5", NULL };

  for (int i = 1; i <= 2; i++)
    {
      fleet_signal_target (fleet, i, SIGKILL);
      fleet_wait_target (fleet, i, 5000);
    }
  fleet_sleep_ms (1000);
  for (int i = 1; i <= 2; i++)
    ck_assert (fleet_start_target (fleet, i, arguments));
}

/* Leader, an entry host and a target at once, then all control hosts.  */
static void
kill_together (struct fleet *fleet)
{
  int leader = test_leader (fleet);

  fleet_signal_target (fleet, 1, SIGKILL);
  fleet_wait_target (fleet, 1, 5000);
  fleet_kill_host (fleet, leader);
  fleet_kill_host (fleet, test_entry (fleet, 3));
  fleet_sleep_ms (700);
  ck_assert (fleet_start_host (fleet, leader));
  ck_assert (fleet_start_host (fleet, test_entry (fleet, 3)));
  for (int i = 1; i <= TEST_CONTROLS; i++)
    fleet_kill_host (fleet, i);
  fleet_sleep_ms (300);
  for (int i = 1; i <= TEST_CONTROLS; i++)
    ck_assert (fleet_start_host (fleet, i));
}

/* Guards against a claim that a new leader does not know.  */
START_TEST (leader_killed)
{
  run_case ("fleet_once_leader", false, kill_leader);
}
END_TEST

/* Guards against a leader that answers from before its freeze.  */
START_TEST (leader_frozen)
{
  run_case ("fleet_once_frozen", false, freeze_leader);
}
END_TEST

/* Guards against a second run of orders whose entry host is gone.  */
START_TEST (entry_killed) { run_case ("fleet_once_entry", false, kill_entry); }
END_TEST

/* Guards against an entry host that wakes and sends what was given up.  */
START_TEST (entry_frozen)
{
  run_case ("fleet_once_entry_frozen", false, freeze_entry);
}
END_TEST

/* Guards against a leader that hears nobody and is heard by all.  */
START_TEST (leader_cut_one_way)
{
  run_case ("fleet_once_cut", true, cut_leader_one_way);
}
END_TEST

/* Guards against a retry of an order whose target died with it.  */
START_TEST (targets_killed)
{
  run_case ("fleet_once_targets", false, kill_targets);
}
END_TEST

/* Guards against gaps between the parts when several fail at once.  */
START_TEST (killed_together)
{
  run_case ("fleet_once_together", false, kill_together);
}
END_TEST

SUITE_MAIN ("fleet_once", 120, leader_killed, leader_frozen, entry_killed,
            entry_frozen, leader_cut_one_way, targets_killed, killed_together)
