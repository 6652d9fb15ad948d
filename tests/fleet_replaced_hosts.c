/* Tests with real processes of control hosts that are replaced by empty ones
   at other addresses, as often and as soon after one another as is tolerated.
 */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "fleet_lib.h"
#include "gateway_fleet_lib.h"
#include "suite_lib.h"

#define TEST_S 120
#define READY_MS 10000
/* The stated bound for the acknowledgement of a change.  */
#define ACK_MS 4000
/* A successor starts this long after its predecessor is gone.  */
#define SUCCESSOR_MS 1000
/* A replaced host counts as lost until its successor has run for this long:
   with one tolerated loss, and with two.  */
#define CATCH_UP_MS 4000
#define CATCH_UP_TWO_MS 6000

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

/* Sends bundle VERSION to all running control hosts in turn until one accepts
   it within the stated bound.  */
static void
put_bundle (struct gf_fleet *fleet, int version)
{
  uint64_t begin = now_ms ();

  while (now_ms () - begin < 2 * (uint64_t)ACK_MS)
    {
      for (int i = 1; i <= GF_CONTROLS_MAX; i++)
        if (fleet->control_pids[i]
            && gf_put_bundle (fleet, i, version, version - 1, "") == 200)
          {
            ck_assert_uint_le (now_ms () - begin, ACK_MS);
            return;
          }
      fleet_sleep_ms (50);
    }
  ck_abort_msg ("version %d was not accepted", version);
}

/* Removes CONTROL for good.  */
static void
remove_control (struct gf_fleet *fleet, int control)
{
  gf_kill (&fleet->control_pids[control]);
  gf_empty_disk (fleet, control);
}

static void
start_group (struct gf_fleet *fleet, const char *name, int controls,
             int tolerated)
{
  gf_prepare (fleet, name);
  fleet->tolerated = tolerated;
  for (int i = 1; i <= controls; i++)
    gf_start_control (fleet, i, true);
  gf_find_leader (fleet, READY_MS);
  for (uint64_t end = now_ms () + READY_MS;
       gf_put_bundle (fleet, 1, 2, 0, "") != 200; fleet_sleep_ms (50))
    ck_assert_uint_lt (now_ms (), end);
  fleet_sleep_ms (CATCH_UP_TWO_MS);
}

/* Guards against a lost voter that stays in the group beside its successor:
   after two replacements of two hosts each, the group had no majority and the
   accepted bundle was gone.  */
START_TEST (pairs_replaced_in_turn)
{
  static const int pairs[][2] = { { 3, 4 }, { 5, 6 }, { 1, 2 } };
  struct gf_fleet fleet;
  int version = 2;
  int next = 7;

  start_group (&fleet, "gf_pairs", 6, 2);
  for (int i = 0; i < 3; i++)
    {
      remove_control (&fleet, pairs[i][0]);
      remove_control (&fleet, pairs[i][1]);
      fleet_sleep_ms (SUCCESSOR_MS);
      fleet.first_seed = i == 2 ? 7 : 0;
      gf_start_control (&fleet, next++, false);
      gf_start_control (&fleet, next++, false);
      fleet_sleep_ms (CATCH_UP_TWO_MS);
      put_bundle (&fleet, ++version);
    }
  for (int i = 7; i < next; i++)
    ck_assert (gf_wait_bundle (&fleet, i, version, CATCH_UP_MS));
  gf_stop (&fleet);
}
END_TEST

/* Guards against voters that the leader has not known to be lost for long, as
   it was elected after the loss: each replaced host is the leader.  */
START_TEST (leaders_replaced_in_turn)
{
  struct gf_fleet fleet;
  int version = 2;
  int next = 4;

  start_group (&fleet, "gf_leaders", 3, 1);
  for (int i = 0; i < 4; i++)
    {
      remove_control (&fleet, gf_find_leader (&fleet, READY_MS));
      fleet_sleep_ms (SUCCESSOR_MS);
      /* The host before last and two that may be gone.  */
      fleet.first_seed = next > 5 ? next - 3 : 0;
      gf_start_control (&fleet, next++, false);
      fleet_sleep_ms (CATCH_UP_MS);
      put_bundle (&fleet, ++version);
    }
  gf_stop (&fleet);
}
END_TEST

/* Guards against predecessors that keep their votes when their successors
   started first and no learner is left to replace them.  */
START_TEST (successors_start_first)
{
  struct gf_fleet fleet;
  int version = 2;

  start_group (&fleet, "gf_first", 6, 2);
  gf_start_control (&fleet, 7, false);
  gf_start_control (&fleet, 8, false);
  fleet_sleep_ms (SUCCESSOR_MS);
  for (int i = 1; i <= 2; i++)
    {
      kill (fleet.control_pids[i], SIGTERM);
      remove_control (&fleet, i);
    }
  fleet_sleep_ms (CATCH_UP_TWO_MS - SUCCESSOR_MS);
  put_bundle (&fleet, ++version);
  remove_control (&fleet, 3);
  remove_control (&fleet, 4);
  put_bundle (&fleet, ++version);
  gf_stop (&fleet);
}
END_TEST

SUITE_MAIN ("fleet_replaced_hosts", TEST_S, pairs_replaced_in_turn,
            leaders_replaced_in_turn, successors_start_first)
