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
#define TEST_S 60
/* Time for a bundle to reach the hosts in contact.  */
#define BUNDLE_MS 2500

#define TEAMS_BOTH                                                            \
  "[{\"name\":\"north\",\"keys\":[\"key-a\",\"key-b\"],\"priority\":2},"      \
  "{\"name\":\"south\",\"keys\":[\"key-c\"]}]"
#define TEAMS_REVOKED                                                         \
  "[{\"name\":\"north\",\"keys\":[\"key-b\"],\"priority\":2},"                \
  "{\"name\":\"south\",\"keys\":[\"key-c\"]}]"

/* Starts three control hosts, GATEWAYS gateways with KEY_LIFETIME_MS and
   target 1, and puts version 4 of the bundle, which has TEAMS_BOTH.  */
static void
start_with_teams (struct gf_fleet *fleet, const char *name, int gateways,
                  int key_lifetime_ms)
{
  gf_start (fleet, name, 3, 0);
  fleet->teams = TEAMS_BOTH;
  fleet->key_lifetime_ms = key_lifetime_ms;
  ck_assert_int_eq (gf_put_bundle (fleet, 1, 4, 2, ""), 200);
  for (int i = 1; i <= gateways; i++)
    gf_start_gateway (fleet, i);
  gf_start_target (fleet, 1, GF_HEALTHY);
  gf_set_flag (fleet, 1, "record", true);
  for (int i = 1; i <= gateways; i++)
    ck_assert (gf_wait_status (fleet, i, "/open/1", 200, READY_MS));
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

  start_with_teams (f, "gf_keys", 1, 0);
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

  start_with_teams (f, "gf_keys_bundle", 1, 0);
  f->teams = TEAMS_REVOKED;
  ck_assert_int_eq (gf_put_bundle (f, 1, 5, 4, ""), 200);
  fleet_sleep_ms (BUNDLE_MS);
  ck_assert_int_eq (
      gf_get_with (f, 1, "/look/1", "old", "Almond-Key: key-a\n"), 401);
  ck_assert_int_eq (
      gf_get_with (f, 1, "/look/1", "new", "Almond-Key: key-b\n"), 200);
  f->teams = NULL;
  ck_assert_int_eq (gf_put_bundle (f, 1, 6, 5, ""), 200);
  fleet_sleep_ms (BUNDLE_MS);
  ck_assert_int_eq (gf_get_with (f, 1, "/look/1", "free",
                                 "Almond-Key: key-a\nAlmond-Team: south\n"),
                    200);
  assert_recorded (f, "free", "Almond-Key", "key-a");
  assert_recorded (f, "free", "Almond-Team", "south");
  gf_stop (f);
}
END_TEST

SUITE_MAIN ("fleet_keys", TEST_S, key_is_replaced_by_the_team,
            follows_the_bundle)
