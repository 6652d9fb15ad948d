/* Tests with a gateway as a real process that a request which may be repeated
   is answered although its target hangs, and that an order is not sent
   again.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fleet_lib.h"
#include "gateway_fleet_lib.h"
#include "raw_http_lib.h"
#include "suite_lib.h"

#define READY_MS 10000
#define REPLY_MS 5000
#define TEST_S 60
#define TARGETS 2
#define REQUESTS 4
/* Time in which the scheduler of the tests' retry budget earns a retry.  */
#define CREDIT_MS 5000
/* Longer than any request's timeout.  */
#define HANG_MS 4000

/* Reads the request and, with the flag "hang", responds to nothing.  */
static bool
answer (struct raw_target *target, int fd, const struct raw_message *request,
        int number)
{
  (void)number;
  raw_target_arrival (target, request->id);
  if (raw_target_flag (target, "hang"))
    {
      fleet_sleep_ms (HANG_MS);
      return false;
    }
  return raw_reply (fd, request, 200, "", "ran");
}

/* Sends a request to the gateway and returns the status of its response; 0:
   there was none.  */
static int
send_request (struct gf_fleet *fleet, const char *line, const char *id)
{
  struct raw_message *response = calloc (1, sizeof *response);
  char address[64];
  char text[256];
  int status;
  int fd;

  gf_print_callers (fleet, 1, address, sizeof address);
  fd = raw_connect (address);
  ck_assert_int_ge (fd, 0);
  snprintf (text, sizeof text,
            "%s HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: %s\r\n"
            "Connection: close\r\nContent-Length: 0\r\n\r\n",
            line, id);
  raw_send_str (fd, text);
  raw_read (fd, REPLY_MS, response);
  close (fd);
  status = response->status;
  free (response);
  return status;
}

static void
start (struct gf_fleet *fleet, const char *name)
{
  gf_start (fleet, name, 3, 1);
  for (int i = 1; i <= TARGETS; i++)
    raw_target_start (fleet, i, answer);
  ck_assert (gf_wait_status (fleet, 1, "/look/1", 200, READY_MS));
  fleet_sleep_ms (CREDIT_MS);
}

static int
count_arrivals (const struct gf_fleet *fleet, const char *id)
{
  int count = 0;

  for (int i = 1; i <= TARGETS; i++)
    count += raw_arrivals (fleet, i, id);
  return count;
}

/* Guards against requests that wait for a target that hangs until their
   deadline, while another target has room.  */
START_TEST (stalled_lookup_is_answered_elsewhere)
{
  struct gf_fleet fleet;
  int stalled = 0;

  start (&fleet, "gf_stall");
  for (int i = 0; i < REQUESTS; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "look-%d", i);
      gf_set_flag (&fleet, 1 + i % 2, "hang", true);
      if (i > 0)
        gf_set_flag (&fleet, 2 - i % 2, "hang", false);
      ck_assert_int_eq (send_request (&fleet, "GET /look/1", id), 200);
      stalled += count_arrivals (&fleet, id) > 1;
      fleet_sleep_ms (CREDIT_MS / 2);
    }
  ck_assert_int_gt (stalled, 0);
  gf_stop (&fleet);
}
END_TEST

/* Guards against a second run of an order whose target hangs.  */
START_TEST (stalled_order_is_not_repeated)
{
  struct gf_fleet fleet;

  start (&fleet, "gf_stallo");
  for (int i = 1; i <= TARGETS; i++)
    gf_set_flag (&fleet, i, "hang", true);
  ck_assert_int_eq (send_request (&fleet, "POST /shop/1", "order"), 504);
  ck_assert_int_eq (count_arrivals (&fleet, "order"), 1);
  gf_stop (&fleet);
}
END_TEST

SUITE_MAIN ("fleet_stalled_targets", TEST_S,
            stalled_lookup_is_answered_elsewhere,
            stalled_order_is_not_repeated)
