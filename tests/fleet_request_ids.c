/* Tests with a gateway as a real process that a late copy of an earlier
   response reaches no caller, whatever the ids of the requests are.  */

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
#define TEST_S 300
#define ID_MAX 4096
#define TEXT_BYTES (ID_MAX + 1024)
/* Longest time until a target that failed gets a request again.  */
#define RETRIAL_MS 12000
#define PAUSE_MS 20
#define COPY "copy"

/* Responds with the path.  From the second request of a connection on, a copy
   of the response to the request before precedes that.  */
static bool
answer_after_copy (struct raw_target *target, int fd,
                   const struct raw_message *request, int number)
{
  static __thread char previous[TEXT_BYTES];
  char id[ID_MAX + 1] = "";
  char line[ID_MAX + 64] = "";
  char path[64] = "";

  sscanf (request->head, "%*s %63s", path);
  if (raw_header (request, "X-Request-Id", id, sizeof id))
    snprintf (line, sizeof line, "X-Request-Id: %s\r\n", id);
  if (number > 1)
    {
      raw_target_arrival (target, COPY);
      raw_send_str (fd, previous);
    }
  snprintf (previous, sizeof previous,
            "HTTP/1.1 200 OK\r\n%sAlmond-Target: t\r\nContent-Length: %zu\r\n"
            "\r\n%s",
            line, strlen (path), path);
  return raw_send_str (fd, previous);
}

/* Sends a request whose header with the id is LINE.  Fails the test if the
   response is that of another request.  */
static int
request (struct gf_fleet *fleet, const char *line)
{
  static struct raw_message response;
  static int count;
  char text[TEXT_BYTES];
  char path[64];
  int fd = raw_connect (gf_callers (fleet, 1));

  ck_assert_int_ge (fd, 0);
  snprintf (path, sizeof path, "/look/%d", ++count);
  snprintf (text, sizeof text,
            "GET %s HTTP/1.1\r\nHost: x.example\r\n%sConnection: close\r\n"
            "\r\n",
            path, line);
  ck_assert (raw_send_str (fd, text));
  raw_read (fd, REPLY_MS, &response);
  close (fd);
  ck_assert_msg (response.status != 200 || strcmp (response.body, path) == 0,
                 "%s with an id line of %zu bytes got the response to %s",
                 path, strlen (line), response.body);
  return response.status;
}

static void
print_id_line (char *line, size_t size, size_t id_len)
{
  static int count;
  char id[ID_MAX + 1];

  memset (id, 'i', id_len);
  id[id_len] = '\0';
  /* The last digits make ids of the same length differ.  */
  for (int rest = ++count, at = (int)id_len - 1; at >= 0 && rest > 0; at--)
    {
      id[at] = (char)('0' + rest % 10);
      rest /= 10;
    }
  snprintf (line, size, "X-Request-Id: %s\r\n", id);
}

/* Sends requests with ids of ID_LEN bytes until a copy has arrived.  */
static void
request_until_copy (struct gf_fleet *fleet, size_t id_len)
{
  uint64_t until = ab_clock_monotonic_ms (ab_clock_system ()) + RETRIAL_MS;
  int copies = raw_arrivals (fleet, 1, COPY);
  char line[TEXT_BYTES];

  while (raw_arrivals (fleet, 1, COPY) == copies)
    {
      ck_assert_msg (ab_clock_monotonic_ms (ab_clock_system ()) < until,
                     "no connection was reused with ids of %zu bytes", id_len);
      print_id_line (line, sizeof line, id_len);
      if (request (fleet, line) != 200)
        fleet_sleep_ms (PAUSE_MS);
    }
}

/* Guards against ids of some length that turn off the check whether a response
   belongs to its request.  */
START_TEST (copies_reach_no_other_caller)
{
  static const size_t lengths[]
      = { 4, 63, 64, 65, 127, 128, 129, 255, 256, 257, ID_MAX };
  struct gf_fleet fleet;

  gf_start (&fleet, "gf_ids", 3, 1);
  raw_target_start (&fleet, 1, answer_after_copy);
  ck_assert (gf_wait_status (&fleet, 1, "/look/first", 200, READY_MS));
  for (size_t i = 0; i < sizeof lengths / sizeof lengths[0]; i++)
    request_until_copy (&fleet, lengths[i]);
  /* Long ids leave the rest of their log lines whole.  */
  ck_assert (gf_logged (&fleet, 1, "request_odd", " id=iii",
                        "i... status=502 code="));
  gf_stop (&fleet);
}
END_TEST

#define UNNAMED_REQUESTS 20

/* Guards against responses to requests without an id, which nothing assigns to
   them, on connections that carried another request before.  */
START_TEST (requests_without_id_share_no_connection)
{
  static const char *const lines[] = { "", "X-Request-Id:\r\n" };
  struct gf_fleet fleet;

  gf_start (&fleet, "gf_noids", 3, 1);
  raw_target_start (&fleet, 1, answer_after_copy);
  ck_assert (gf_wait_status (&fleet, 1, "/look/first", 200, READY_MS));
  for (int i = 0; i < UNNAMED_REQUESTS; i++)
    {
      int copies = raw_arrivals (&fleet, 1, COPY);
      ck_assert_int_eq (request (&fleet, lines[i % 2]), 200);
      ck_assert_int_eq (raw_arrivals (&fleet, 1, COPY), copies);
    }
  gf_stop (&fleet);
}
END_TEST

SUITE_MAIN ("fleet_request_ids", TEST_S, copies_reach_no_other_caller,
            requests_without_id_share_no_connection)
