/* Tests with gateways as real processes: a request whose answer says that it
   has not run never runs, and no request that must run at most once runs
   twice.  */

#include <pthread.h>
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
#define REPLY_MS 8000
#define TEST_S 120
#define BODY_BYTES 24000
/* HEADER_TIME_MS of the bundle, and more than the time between two checks of
   the gateway.  */
#define HEADER_TIME_MS 3000
#define FREEZE_MS 3500
#define SETTLE_MS 1500
#define CALLERS 4

/* Responses that state that a request has not run and never will.  */
static bool
is_promise (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
start_fleet (struct gf_fleet *fleet, const char *name)
{
  gf_start (fleet, name, 3, 1);
  gf_start_target (fleet, 1, GF_HEALTHY);
  ck_assert (gf_wait_status (fleet, 1, "/look/1", 200, READY_MS));
}

/* Sends the head of an order with a body of BODY_BYTES and the first FIRST
   bytes of the body.  */
static void
begin_order (int fd, const char *id, size_t first)
{
  static const char body[BODY_BYTES];
  char head[256];

  snprintf (head, sizeof head,
            "POST /shop/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: %s\r\n"
            "Content-Length: %d\r\n\r\n",
            id, BODY_BYTES);
  ck_assert (raw_send_str (fd, head));
  ck_assert (raw_send (fd, body, first));
}

/* Guards against an order that is rejected as too slow with status 408 and
   runs when its last bytes arrive after the rejection.  */
START_TEST (rejected_slow_request_never_runs)
{
  static const char rest[BODY_BYTES / 2];
  static struct raw_message response;
  struct gf_fleet fleet;
  char id[32];

  start_fleet (&fleet, "gf_slow");
  for (int i = 0; i < CALLERS; i++)
    {
      int fd = raw_connect (gf_callers (&fleet, 1));
      snprintf (id, sizeof id, "slow-%d", i);
      ck_assert_int_ge (fd, 0);
      begin_order (fd, id, BODY_BYTES / 2);
      ck_assert (raw_read (fd, 2 * HEADER_TIME_MS, &response));
      ck_assert_int_eq (response.status, 408);
      raw_send (fd, rest, sizeof rest);
      fleet_sleep_ms (SETTLE_MS);
      ck_assert_int_eq (gf_runs (&fleet, id), 0);
      close (fd);
    }
  ck_assert_int_eq (gf_request (&fleet, 1, "POST", "/shop/1", "next", NULL),
                    200);
  gf_stop (&fleet);
}
END_TEST

#define FLOOD_MS 2000
#define BESIDE_MS 500

/* Sends without end until the connection is gone.  */
static void *
flood (void *arg)
{
  static const char bytes[65536];
  int fd = *(const int *)arg;

  while (raw_send (fd, bytes, sizeof bytes))
    continue;
  return NULL;
}

/* Guards against a rejected caller that goes on sending and keeps the event
   loop from serving others.  */
START_TEST (rejected_flood_delays_nobody)
{
  static struct raw_message response;
  struct gf_fleet fleet;
  pthread_t thread;
  uint64_t until;
  int fd;

  start_fleet (&fleet, "gf_flood");
  fd = raw_connect (gf_callers (&fleet, 1));
  ck_assert_int_ge (fd, 0);
  begin_order (fd, "flood", BODY_BYTES / 2);
  ck_assert (raw_read (fd, 2 * HEADER_TIME_MS, &response));
  ck_assert_int_eq (response.status, 408);
  ck_assert_int_eq (pthread_create (&thread, NULL, flood, &fd), 0);
  until = ab_clock_monotonic_ms (ab_clock_system ()) + FLOOD_MS;
  for (uint64_t now = 0; now < until;)
    {
      uint64_t begin = ab_clock_monotonic_ms (ab_clock_system ());
      ck_assert_int_eq (gf_request (&fleet, 1, "GET", "/look/1", "x", NULL),
                        200);
      now = ab_clock_monotonic_ms (ab_clock_system ());
      ck_assert_uint_lt (now - begin, BESIDE_MS);
    }
  pthread_join (thread, NULL);
  close (fd);
  gf_stop (&fleet);
}
END_TEST

struct caller
{
  pthread_t thread;
  struct gf_fleet *fleet;
  char id[32];
  struct raw_message response;
};

#define PIECE_BYTES 1000
#define PIECE_MS 8

/* Sends an order in pieces, during which the gateway freezes.  */
static void *
send_order_in_pieces (void *arg)
{
  static const char body[BODY_BYTES];
  struct caller *caller = arg;
  char address[64];
  int fd;

  gf_print_callers (caller->fleet, 1, address, sizeof address);
  fd = raw_connect (address);
  if (fd < 0)
    return NULL;
  begin_order (fd, caller->id, 0);
  for (size_t sent = 0; sent < sizeof body; sent += PIECE_BYTES)
    {
      if (!raw_send (fd, body + sent, PIECE_BYTES))
        break;
      fleet_sleep_ms (PIECE_MS);
    }
  raw_read (fd, REPLY_MS, &caller->response);
  close (fd);
  return NULL;
}

/* Guards against orders that a gateway rejects as too slow because it was
   frozen itself, and that run after the rejection.  */
START_TEST (freeze_rejects_no_request_that_runs)
{
  static struct caller callers[CALLERS];
  struct gf_fleet fleet;

  start_fleet (&fleet, "gf_freeze");
  for (int i = 0; i < CALLERS; i++)
    {
      callers[i].fleet = &fleet;
      snprintf (callers[i].id, sizeof callers[i].id, "frozen-%d", i);
      ck_assert_int_eq (pthread_create (&callers[i].thread, NULL,
                                        send_order_in_pieces, &callers[i]),
                        0);
    }
  fleet_sleep_ms (BODY_BYTES / PIECE_BYTES * PIECE_MS / 2);
  kill (fleet.gateway_pids[1], SIGSTOP);
  fleet_sleep_ms (FREEZE_MS);
  kill (fleet.gateway_pids[1], SIGCONT);
  for (int i = 0; i < CALLERS; i++)
    pthread_join (callers[i].thread, NULL);
  fleet_sleep_ms (SETTLE_MS);
  for (int i = 0; i < CALLERS; i++)
    {
      int runs = gf_runs (&fleet, callers[i].id);
      ck_assert_int_gt (callers[i].response.status, 0);
      ck_assert_int_ne (callers[i].response.status, 408);
      ck_assert_int_le (runs, 1);
      if (is_promise (callers[i].response.status))
        ck_assert_int_eq (runs, 0);
    }
  gf_stop (&fleet);
}
END_TEST

#define STALE_ORDERS 24
#define STALE_EVERY 3

/* Rejects an order, or runs it.  On every STALE_EVERY-th request of a
   connection, a copy of an earlier rejection comes first; TEXT has the header
   that names its request, or is empty.  */
static bool
answer_after_stale (struct raw_target *target, int fd,
                    const struct raw_message *request, int number,
                    const char *text)
{
  char stale[256];

  if (number == 1)
    return raw_reject (fd, request);
  if (number % STALE_EVERY == 0)
    {
      snprintf (stale, sizeof stale,
                "HTTP/1.1 503 Full\r\n%sAlmond-Shed: 1\r\n"
                "Content-Length: 4\r\n\r\nfull",
                text);
      raw_send_str (fd, stale);
    }
  raw_target_run (target, request->id);
  return raw_reply (fd, request, 200, "", "ran");
}

static bool
answer_after_unnamed (struct raw_target *target, int fd,
                      const struct raw_message *request, int number)
{
  return answer_after_stale (target, fd, request, number, "");
}

static bool
answer_after_other (struct raw_target *target, int fd,
                    const struct raw_message *request, int number)
{
  return answer_after_stale (target, fd, request, number,
                             "X-Request-Id: earlier\r\n");
}

static void
order_from_stale_targets (raw_handler handler)
{
  struct gf_fleet fleet;
  char id[32];
  int served = 0;

  gf_start (&fleet, "gf_stale", 3, 1);
  raw_target_start (&fleet, 1, handler);
  raw_target_start (&fleet, 2, handler);
  ck_assert (gf_wait_status (&fleet, 1, "/look/1", 200, READY_MS));
  for (int i = 0; i < STALE_ORDERS; i++)
    {
      int status;
      int runs;
      snprintf (id, sizeof id, "stale-%d", i);
      status = gf_request (&fleet, 1, "POST", "/shop/1", id, NULL);
      runs = gf_runs (&fleet, id);
      ck_assert_int_le (runs, 1);
      if (is_promise (status))
        ck_assert_int_eq (runs, 0);
      served += status == 200;
      fleet_sleep_ms (50);
    }
  ck_assert_int_gt (served, 0);
  gf_stop (&fleet);
}

/* Guards against a copy of an earlier rejection on a kept connection that is
   taken for the rejection of the next request, which runs.  */
START_TEST (copied_rejection_is_not_believed)
{
  order_from_stale_targets (answer_after_unnamed);
  order_from_stale_targets (answer_after_other);
}
END_TEST

static bool
answer_unavailable (struct raw_target *target, int fd,
                    const struct raw_message *request, int number)
{
  (void)number;
  raw_target_run (target, request->id);
  return raw_reply (fd, request, 503, "", "failed");
}

/* Guards against passing on a target's 503 that does not say that the request
   did not run: callers take that status for a promise.  */
START_TEST (unavailable_target_promises_nothing)
{
  struct gf_fleet fleet;
  char id[32];

  gf_start (&fleet, "gf_503", 3, 1);
  raw_target_start (&fleet, 1, answer_unavailable);
  ck_assert (gf_wait_status (&fleet, 1, "/look/1", 503, READY_MS));
  for (int i = 0; i < STALE_ORDERS; i++)
    {
      int status;
      snprintf (id, sizeof id, "failed-%d", i);
      status = gf_request (&fleet, 1, "POST", "/shop/1", id, NULL);
      ck_assert_int_eq (gf_runs (&fleet, id), status == 502);
      fleet_sleep_ms (50);
    }
  gf_stop (&fleet);
}
END_TEST

SUITE_MAIN ("fleet_refusals", TEST_S, rejected_slow_request_never_runs,
            rejected_flood_delays_nobody, freeze_rejects_no_request_that_runs,
            copied_rejection_is_not_believed,
            unavailable_target_promises_nothing)
