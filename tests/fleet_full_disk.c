/* Tests with real processes of control hosts whose disks are full for some
   time.  A limit on file sizes makes the kernel refuse each write that makes a
   file longer.  */

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "clock.h"
#include "fleet_lib.h"
#include "gateway_fleet_lib.h"
#include "suite_lib.h"

#define TEST_S 120
#define READY_MS 10000
#define CONTROLS 3
/* The stated bound for the acknowledgement of a change.  */
#define ACK_MS 4000
#define FULL_MS 3000
#define CATCH_UP_MS 4000
/* The stated bound for a bundle to be in force.  */
#define IN_FORCE_MS 2500

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static void
set_full (const struct gf_fleet *fleet, int control, bool full)
{
  const struct rlimit limit
      = { .rlim_cur = full ? 0 : RLIM_INFINITY, .rlim_max = RLIM_INFINITY };

  ck_assert_int_eq (
      prlimit (fleet->control_pids[control], RLIMIT_FSIZE, &limit, NULL), 0);
}

/* Sends bundle VERSION on BASE to all control hosts in turn until one accepts
   it, and returns how long that took.  */
static uint64_t
put_bundle (struct gf_fleet *fleet, int version, int base)
{
  uint64_t begin = now_ms ();

  for (int i = 0;; i++)
    {
      if (gf_put_bundle (fleet, 1 + i % CONTROLS, version, base, "") == 200)
        return now_ms () - begin;
      ck_assert_msg (now_ms () - begin < 2 * (uint64_t)ACK_MS,
                     "version %d was not accepted", version);
      fleet_sleep_ms (50);
    }
}

/* Guards against a leader that keeps the lead although it cannot write.  */
START_TEST (full_leader_is_replaced)
{
  struct gf_fleet fleet;
  int leader;
  uint64_t took;

  gf_start (&fleet, "gf_full1", CONTROLS, 0);
  leader = gf_find_leader (&fleet, READY_MS);
  set_full (&fleet, leader, true);
  took = put_bundle (&fleet, 3, 2);
  fprintf (stderr, "accepted after %llu ms\n", (unsigned long long)took);
  ck_assert_uint_le (took, ACK_MS);
  ck_assert (!gf_is_leader (&fleet, leader));
  took = put_bundle (&fleet, 4, 3);
  ck_assert_uint_le (took, ACK_MS);
  set_full (&fleet, leader, false);
  ck_assert (gf_wait_bundle (&fleet, leader, 4, CATCH_UP_MS));
  gf_stop (&fleet);
}
END_TEST

static void
check_caught_up (struct gf_fleet *fleet, int control, int version)
{
  json_int_t seen = 0;

  for (int waited = 0; waited < CATCH_UP_MS && seen != version; waited += 50)
    {
      json_t *state = gf_read_state (fleet, control);
      seen = json_integer_value (json_object_get (state, "bundle_version"));
      json_decref (state);
      fleet_sleep_ms (50);
    }
  ck_assert_int_eq (seen, version);
}

/* Guards against changes that stay refused after disks were full one after
   another, never two at once.  */
START_TEST (full_disks_in_turn)
{
  struct gf_fleet fleet;
  int version = 2;
  uint64_t worst = 0;

  gf_start (&fleet, "gf_full2", CONTROLS, 1);
  for (int round = 0; round < 2; round++)
    for (int i = 1; i <= CONTROLS; i++)
      {
        uint64_t until = now_ms () + FULL_MS;
        set_full (&fleet, i, true);
        while (now_ms () < until)
          {
            uint64_t took = put_bundle (&fleet, version + 1, version);
            worst = took > worst ? took : worst;
            version++;
            fleet_sleep_ms (100);
          }
        set_full (&fleet, i, false);
      }
  fprintf (stderr, "%d changes, the slowest took %llu ms\n", version,
           (unsigned long long)worst);
  ck_assert_uint_le (worst, ACK_MS);
  for (int i = 0; i < 10; i++, version++)
    ck_assert_uint_le (put_bundle (&fleet, version + 1, version), ACK_MS);
  for (int i = 1; i <= CONTROLS; i++)
    check_caught_up (&fleet, i, version);
  gf_stop (&fleet);
}
END_TEST

/* Guards against a gateway that takes the view of a control host with a full
   disk for the newest.  */
START_TEST (gateway_leaves_full_control_host)
{
  struct gf_fleet fleet;
  int follower;

  gf_start (&fleet, "gf_full3", CONTROLS, 1);
  gf_start_target (&fleet, 1, GF_HEALTHY);
  ck_assert (gf_wait_status (&fleet, 1, "/look/1", 200, READY_MS));
  follower = 0;
  for (int i = 1; i <= CONTROLS; i++)
    {
      json_t *state = gf_read_state (&fleet, i);
      if (json_array_size (json_object_get (state, "watchers")) > 0)
        follower = i;
      json_decref (state);
    }
  ck_assert_int_gt (follower, 0);
  set_full (&fleet, follower, true);
  ck_assert_uint_le (put_bundle (&fleet, 3, 2), ACK_MS);
  fleet_sleep_ms (200);
  for (int version = 4; version <= 6; version++)
    {
      uint64_t begin;
      char extra[16];
      char path[32];
      int status = 0;
      snprintf (extra, sizeof extra, "%d", version);
      snprintf (path, sizeof path, "/look%d/1", version);
      for (int i = 1; status != 200 && i <= 3 * CONTROLS; i++)
        status = gf_put_bundle (&fleet, 1 + i % CONTROLS, version, version - 1,
                                extra);
      ck_assert_int_eq (status, 200);
      begin = now_ms ();
      ck_assert (gf_wait_status (&fleet, 1, path, 200, READY_MS));
      fprintf (stderr, "version %d in force after %llu ms\n", version,
               (unsigned long long)(now_ms () - begin));
      ck_assert_uint_le (now_ms () - begin, IN_FORCE_MS);
    }
  gf_stop (&fleet);
}
END_TEST

SUITE_MAIN ("fleet_full_disk", TEST_S, full_leader_is_replaced,
            full_disks_in_turn, gateway_leaves_full_control_host)
