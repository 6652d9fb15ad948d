/* Tests that orders run at most once, and that the verdict "not run" is final,
   while processes are killed, frozen and isolated.  Callers retry an order
   until its result is known.  */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "fleet_test_lib.h"

#define ENTRIES 4
#define TARGETS 4
#define RATE 60
#define LOAD_MS 8000

/* Runs a load of orders only, injects FAULT meanwhile, and checks the
   results.  */
static void
run_case (const char *name, bool proxies, void (*fault) (struct fleet *))
{
  struct fleet *fleet = test_fleet_start (name, ENTRIES, TARGETS, proxies);
  pid_t load = test_load_start (fleet, "orders", ENTRIES, 0, 1, RATE, LOAD_MS);
  struct test_load_result result;

  fleet_sleep_ms (1500);
  fault (fleet);
  result = test_load_end (fleet, "orders", load, TARGETS);
  test_assert_guarantees (&result);
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
  fleet_kill_host (fleet, test_entry_host (fleet, 2));
  fleet_sleep_ms (1500);
  ck_assert (fleet_start_host (fleet, test_entry_host (fleet, 2)));
}

static void
freeze_entry (struct fleet *fleet)
{
  fleet_signal_host (fleet, test_entry_host (fleet, 1), SIGSTOP);
  fleet_sleep_ms (3000);
  fleet_signal_host (fleet, test_entry_host (fleet, 1), SIGCONT);
}

static void
cut_leader_one_way (struct fleet *fleet)
{
  int leader = test_leader (fleet);

  ck_assert (fleet_set_fault (fleet, leader, "up=drop"));
  fleet_sleep_ms (2500);
  ck_assert (fleet_set_fault (fleet, leader, "up=pass"));
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

/* Kills the leader, an entry host and a target at once, then all control
   hosts.  */
static void
kill_together (struct fleet *fleet)
{
  int leader = test_leader (fleet);

  fleet_signal_target (fleet, 1, SIGKILL);
  fleet_wait_target (fleet, 1, 5000);
  fleet_kill_host (fleet, leader);
  fleet_kill_host (fleet, test_entry_host (fleet, 3));
  fleet_sleep_ms (700);
  ck_assert (fleet_start_host (fleet, leader));
  ck_assert (fleet_start_host (fleet, test_entry_host (fleet, 3)));
  for (int i = 1; i <= TEST_CONTROLS; i++)
    fleet_kill_host (fleet, i);
  fleet_sleep_ms (300);
  for (int i = 1; i <= TEST_CONTROLS; i++)
    ck_assert (fleet_start_host (fleet, i));
}

/* Guards against a claim that is lost when a new leader is elected.  */
START_TEST (leader_killed)
{
  run_case ("fleet_once_leader", false, kill_leader);
}
END_TEST

/* Guards against a leader that replies from stale state after it was
   frozen.  */
START_TEST (leader_frozen)
{
  run_case ("fleet_once_frozen", false, freeze_leader);
}
END_TEST

/* Guards against a second run of orders whose entry host was killed.  */
START_TEST (entry_killed) { run_case ("fleet_once_entry", false, kill_entry); }
END_TEST

/* Guards against an entry host that, after it was frozen, sends requests that
   were given up meanwhile.  */
START_TEST (entry_frozen)
{
  run_case ("fleet_once_entry_frozen", false, freeze_entry);
}
END_TEST

/* Guards against a leader that receives no messages while its own still
   arrive.  */
START_TEST (leader_cut_one_way)
{
  run_case ("fleet_once_cut", true, cut_leader_one_way);
}
END_TEST

/* Guards against a retry of an order that was running on a target that was
   killed.  */
START_TEST (targets_killed)
{
  run_case ("fleet_once_targets", false, kill_targets);
}
END_TEST

/* Guards against orders that run twice, or after the verdict "not run", when
   several kinds of processes fail at once.  */
START_TEST (killed_together)
{
  run_case ("fleet_once_together", false, kill_together);
}
END_TEST

SUITE_MAIN ("fleet_once", 120, leader_killed, leader_frozen, entry_killed,
            entry_frozen, leader_cut_one_way, targets_killed, killed_together)
