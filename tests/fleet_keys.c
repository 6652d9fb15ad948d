/* Integration tests of team keys, with gateways, a control group and targets
   as real processes.  */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "fleet_lib.h"
#include "gateway_fleet_lib.h"
#include "raw_http_lib.h"
#include "suite_lib.h"

#define READY_MS 10000
#define TEST_S 120
#define LIFETIME_MS 5000
/* Time for a bundle to reach the hosts in contact.  */
#define BUNDLE_MS 2500

#define TEAMS_BOTH                                                            \
  "[{\"name\":\"north\",\"keys\":[\"key-a\",\"key-b\"],\"priority\":2},"      \
  "{\"name\":\"south\",\"keys\":[\"key-c\"]}]"
#define TEAMS_REVOKED                                                         \
  "[{\"name\":\"north\",\"keys\":[\"key-b\"],\"priority\":2},"                \
  "{\"name\":\"south\",\"keys\":[\"key-c\"]}]"

/* Puts a bundle, again while the control group gives no clear answer: its
   disks may be slow.  */
static void
put_bundle (struct gf_fleet *fleet, int version, int base)
{
  uint64_t end = ab_clock_monotonic_ms (ab_clock_system ()) + READY_MS;
  int status;

  do
    status = gf_put_bundle (fleet, 1, version, base, "");
  while (status == 503 && ab_clock_monotonic_ms (ab_clock_system ()) < end);
  ck_assert_int_eq (status, 200);
}

static bool
answer (struct raw_target *target, int fd, const struct raw_message *request,
        int number)
{
  (void)number;
  raw_target_run (target, request->id);
  return raw_reply (fd, request, 200, "", "");
}

/* Starts three control hosts, a gateway with KEY_LIFETIME_MS and target 1, and
   puts version 4 of the bundle, which has TEAMS_BOTH.  A target that is
   THREADED answers also while it waits for a control host, but records no
   headers.  */
static void
start_with_teams (struct gf_fleet *fleet, const char *name,
                  int key_lifetime_ms, bool threaded)
{
  gf_start (fleet, name, 3, 0);
  fleet->teams = TEAMS_BOTH;
  fleet->key_lifetime_ms = key_lifetime_ms;
  put_bundle (fleet, 4, 2);
  gf_start_gateway (fleet, 1);
  gf_set_flag (fleet, 1, "record", true);
  if (threaded)
    raw_target_start (fleet, 1, answer);
  else
    gf_start_target (fleet, 1, GF_HEALTHY);
  ck_assert (gf_wait_status (fleet, 1, "/open/1", 200, READY_MS));
}

static void
assert_recorded (const struct gf_fleet *fleet, const char *id,
                 const char *name, const char *value)
{
  char *found = gf_recorded (fleet, 1, id, name);

  if (value)
    ck_assert_str_eq (found ? found : "(none)", value);
  else
    ck_assert_ptr_null (found);
  free (found);
}

/* Returns the status of a GET with the header LINES as they are.  */
static int
send_raw (struct gf_fleet *fleet, const char *id, const char *lines)
{
  static struct raw_message reply;
  char text[1024];
  int fd = raw_connect (gf_callers (fleet, 1));

  snprintf (text, sizeof text,
            "GET /look/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: %s\r\n"
            "%sConnection: close\r\n\r\n",
            id, lines);
  ck_assert (fd >= 0 && raw_send_str (fd, text));
  raw_read (fd, 5000, &reply);
  close (fd);
  return reply.status;
}

/* Guards against a key that reaches a target or opens the way for a team's
   name from a caller, and against requests that pass without a key.  */
START_TEST (key_is_replaced_by_the_team)
{
  struct gf_fleet fleet;
  struct gf_fleet *f = &fleet;

  start_with_teams (f, "gf_keys", 0, false);
  ck_assert_int_eq (gf_get_with (f, 1, "/look/1", "good",
                                 "aLMOND-kEY: key-a\nALMOND-TEAM: south\n"),
                    200);
  assert_recorded (f, "good", "Almond-Key", NULL);
  assert_recorded (f, "good", "Almond-Team", "north");
  /* A lenient reader of these lines would find a team or a key.  */
  ck_assert_int_eq (send_raw (f, "odd",
                              "Almond-Key: key-c\r\nAlmond-Team : north\r\n"
                              "Almond-Key : key-a\r\n"),
                    200);
  assert_recorded (f, "odd", "Almond-Team", "south");
  assert_recorded (f, "odd", "Almond-Team ", NULL);
  assert_recorded (f, "odd", "Almond-Key ", NULL);
  ck_assert_int_eq (
      send_raw (f, "line", "Almond-Key: key-c\r\nX-A: 1\r Almond-Team: x\r\n"),
      400);
  ck_assert_int_eq (gf_get_with (f, 1, "/look/1", "none", ""), 401);
  ck_assert_int_eq (gf_get_with (f, 1, "/look/1", "bad", "Almond-Key: key\n"),
                    401);
  ck_assert_int_eq (
      send_raw (f, "twice", "Almond-Key: key-a\r\nalmond-key: key-a\r\n"),
      401);
  ck_assert_int_eq (gf_get_with (f, 1, "/gone/", "lost", ""), 404);
  ck_assert_int_eq (gf_get_with (f, 1, "/open/1", "open",
                                 "Almond-Key: key-a\nAlmond-Team: south\n"),
                    200);
  assert_recorded (f, "open", "Almond-Key", NULL);
  assert_recorded (f, "open", "Almond-Team", NULL);
  ck_assert_int_eq (
      gf_runs (f, "none") + gf_runs (f, "bad") + gf_runs (f, "twice"), 0);
  ck_assert (gf_logged (f, 1, "request_odd", "id=none", "code=no-key"));
  ck_assert (gf_logged (f, 1, "request_odd", "id=twice", "code=unknown-key"));
  ck_assert (!gf_logged (f, 1, "event=", "key-a", ""));
  gf_stop (f);
}
END_TEST

/* Guards against headers that are dropped although the bundle has no teams,
   and against keys that outlive their bundle at a host in contact.  */
START_TEST (follows_the_bundle)
{
  struct gf_fleet fleet;
  struct gf_fleet *f = &fleet;

  start_with_teams (f, "gf_keys_bundle", 0, false);
  f->teams = TEAMS_REVOKED;
  put_bundle (f, 5, 4);
  fleet_sleep_ms (BUNDLE_MS);
  ck_assert_int_eq (
      gf_get_with (f, 1, "/look/1", "old", "Almond-Key: key-a\n"), 401);
  ck_assert_int_eq (
      gf_get_with (f, 1, "/look/1", "new", "Almond-Key: key-b\n"), 200);
  f->teams = NULL;
  put_bundle (f, 6, 5);
  fleet_sleep_ms (BUNDLE_MS);
  ck_assert_int_eq (gf_get_with (f, 1, "/look/1", "free",
                                 "Almond-Key: key-a\nAlmond-Team: south\n"),
                    200);
  assert_recorded (f, "free", "Almond-Key", "key-a");
  assert_recorded (f, "free", "Almond-Team", "south");
  gf_stop (f);
}
END_TEST

static int
get_as (struct gf_fleet *fleet, const char *id, const char *key)
{
  char line[64];

  snprintf (line, sizeof line, "Almond-Key: %s\n", key);
  return gf_get_with (fleet, 1, "/look/1", id, line);
}

/* Waits until a request with KEY gets STATUS.  */
static bool
wait_for_key (struct gf_fleet *fleet, const char *key, int status)
{
  uint64_t end = ab_clock_monotonic_ms (ab_clock_system ()) + READY_MS;

  while (get_as (fleet, "waits", key) != status)
    {
      if (ab_clock_monotonic_ms (ab_clock_system ()) > end)
        return false;
      fleet_sleep_ms (50);
    }
  return true;
}

/* Guards against keys that are honoured without end, or never again, when the
   control hosts in contact have lost their majority, and against keyed
   requests that are refused in calm.  */
START_TEST (unconfirmed_keys_are_refused)
{
  struct gf_fleet fleet;
  struct gf_fleet *f = &fleet;

  start_with_teams (f, "gf_keys_lost", LIFETIME_MS, true);
  ck_assert (wait_for_key (f, "key-a", 200));
  for (int i = 0; i < 40; i++)
    {
      ck_assert_int_eq (get_as (f, "calm", "key-a"), 200);
      fleet_sleep_ms (50);
    }
  kill (f->control_pids[1], SIGSTOP);
  kill (f->control_pids[2], SIGSTOP);
  fleet_sleep_ms (LIFETIME_MS);
  for (int i = 0; i < 10; i++)
    {
      ck_assert_int_eq (get_as (f, "stale", "key-a"), 503);
      ck_assert_int_eq (gf_get_with (f, 1, "/open/1", "open", ""), 200);
      fleet_sleep_ms (100);
    }
  ck_assert_int_eq (gf_get_with (f, 1, "/look/1", "none", ""), 401);
  ck_assert (gf_logged (f, 1, "request_odd", "id=stale", "code=keys-stale"));
  ck_assert (gf_logged (f, 1, "keys_stale", "confirmed_age_ms", ""));
  ck_assert_int_eq (gf_runs (f, "stale"), 0);
  kill (f->control_pids[1], SIGCONT);
  kill (f->control_pids[2], SIGCONT);
  ck_assert (wait_for_key (f, "key-a", 200));
  gf_stop (f);
}
END_TEST

/* Guards against a gateway that honours a key, revoked while it was frozen, on
   the strength of messages that waited for it.  */
START_TEST (frozen_gateway_honours_no_revoked_key)
{
  struct gf_fleet fleet;
  struct gf_fleet *f = &fleet;
  static struct raw_message reply;
  int fd;

  start_with_teams (f, "gf_keys_frozen", LIFETIME_MS, false);
  ck_assert (wait_for_key (f, "key-a", 200));
  for (int round = 0; round < 3; round++)
    {
      kill (f->gateway_pids[1], SIGSTOP);
      f->teams = round % 2 == 0 ? TEAMS_REVOKED : TEAMS_BOTH;
      put_bundle (f, 5 + round, 4 + round);
      if (round % 2 == 1)
        {
          kill (f->gateway_pids[1], SIGCONT);
          ck_assert (wait_for_key (f, "key-a", 200));
          continue;
        }
      fleet_sleep_ms (LIFETIME_MS + 100);
      fd = raw_connect (gf_callers (f, 1));
      ck_assert (fd >= 0);
      ck_assert (raw_send_str (fd,
                               "GET /look/1 HTTP/1.1\r\nHost: x.example\r\n"
                               "X-Request-Id: thawed\r\n"
                               "Almond-Key: key-a\r\n\r\n"));
      kill (f->gateway_pids[1], SIGCONT);
      raw_read (fd, READY_MS, &reply);
      close (fd);
      ck_assert (reply.status == 503 || reply.status == 401);
      ck_assert (wait_for_key (f, "key-a", 401));
      ck_assert (wait_for_key (f, "key-b", 200));
    }
  ck_assert_int_eq (gf_runs (f, "thawed"), 0);
  gf_stop (f);
}
END_TEST

/* Guards against refusing keyed requests that arrive just after a start,
   before the first bundle is there and confirmed.  */
START_TEST (keyed_requests_wait_for_the_first_bundle)
{
  struct gf_fleet fleet;
  struct gf_fleet *f = &fleet;
  int status;

  start_with_teams (f, "gf_keys_start", LIFETIME_MS, false);
  gf_kill (&f->gateway_pids[1]);
  /* The control hosts stop confirming when nobody needs it.  */
  fleet_sleep_ms (3000);
  gf_start_gateway (f, 1);
  do
    status = get_as (f, "early", "key-c");
  while (status <= 0);
  ck_assert_int_eq (status, 200);
  gf_stop (f);
}
END_TEST

SUITE_MAIN ("fleet_keys", TEST_S, key_is_replaced_by_the_team,
            follows_the_bundle, unconfirmed_keys_are_refused,
            frozen_gateway_honours_no_revoked_key,
            keyed_requests_wait_for_the_first_bundle)
