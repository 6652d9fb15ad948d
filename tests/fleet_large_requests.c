/* Tests with a gateway as a real process that large requests neither exhaust
   its memory nor keep small ones from being served.  */

#include <pthread.h>
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
#define TEST_S 60
#define MIB (1024 * 1024)
#define BODY_BYTES (40 * MIB)
#define PIECE_BYTES 65536
#define PIECE_MS 2
#define CALLERS 6
#define SMALL_MS 1000

struct caller
{
  pthread_t thread;
  char address[64];
  char id[32];
  struct raw_message response;
};

static void *
send_large (void *arg)
{
  static const char piece[PIECE_BYTES];
  struct caller *caller = arg;
  char head[256];
  int fd = raw_connect (caller->address);

  if (fd < 0)
    return NULL;
  snprintf (head, sizeof head,
            "POST /shop/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: %s\r\n"
            "Content-Length: %d\r\n\r\n",
            caller->id, BODY_BYTES);
  raw_send_str (fd, head);
  for (size_t sent = 0; sent < BODY_BYTES; sent += sizeof piece)
    {
      if (!raw_send (fd, piece, sizeof piece))
        break;
      fleet_sleep_ms (PIECE_MS);
    }
  raw_read (fd, REPLY_MS, &caller->response);
  close (fd);
  return NULL;
}

/* Guards against a gateway that exceeds its memory limit through large
   requests, each of which is permitted.  */
START_TEST (large_requests_share_a_bound)
{
  static struct caller callers[CALLERS];
  long bound_kb = gf_memory_bound_kb ();
  struct gf_fleet fleet;
  int served = 0;
  int rejected = 0;

  gf_start (&fleet, "gf_large", 3, 1);
  fleet.body_bytes = 64 * MIB;
  ck_assert_int_eq (gf_put_bundle (&fleet, 1, 3, 2, "2"), 200);
  gf_start_target (&fleet, 1, GF_HEALTHY);
  gf_start_target (&fleet, 2, GF_HEALTHY);
  ck_assert (gf_wait_status (&fleet, 1, "/look2/1", 200, READY_MS));
  for (int i = 0; i < CALLERS; i++)
    {
      snprintf (callers[i].address, sizeof callers[i].address, "%s",
                gf_callers (&fleet, 1));
      snprintf (callers[i].id, sizeof callers[i].id, "large-%d", i);
      ck_assert_int_eq (
          pthread_create (&callers[i].thread, NULL, send_large, &callers[i]),
          0);
    }
  for (int i = 0; i < 20; i++)
    {
      char id[32];
      uint64_t begin = ab_clock_monotonic_ms (ab_clock_system ());
      snprintf (id, sizeof id, "small-%d", i);
      ck_assert_int_eq (gf_request (&fleet, 1, "POST", "/shop/1", id, NULL),
                        200);
      ck_assert_uint_lt (ab_clock_monotonic_ms (ab_clock_system ()) - begin,
                         SMALL_MS);
      fleet_sleep_ms (50);
    }
  for (int i = 0; i < CALLERS; i++)
    {
      int runs;
      pthread_join (callers[i].thread, NULL);
      runs = gf_runs (&fleet, callers[i].id);
      ck_assert_int_eq (runs, callers[i].response.status == 200);
      served += callers[i].response.status == 200;
      rejected += callers[i].response.status == 503;
    }
  ck_assert_int_lt (gf_peak_memory_kb (fleet.gateway_pids[1]), bound_kb);
  ck_assert_int_ge (served, 1);
  ck_assert_int_ge (rejected, 1);
  gf_stop (&fleet);
}
END_TEST

/* Guards against a gateway that exceeds its memory limit through bodies sent
   to listeners that need none, chunked or with a length, and unfinished.  */
START_TEST (bodies_at_side_listeners)
{
  static const int ports[]
      = { GF_ADDRESSES_PORT, GF_READY_PORT, GF_METRICS_PORT };
  static const char *const framings[]
      = { "Content-Length: 41943040\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n2800000\r\n" };
  static const char piece[PIECE_BYTES];
  long bound_kb = gf_memory_bound_kb ();
  int fds[3 * 2 * 2];
  int count = 0;
  struct gf_fleet fleet;

  gf_start_sized (&fleet, "gf_side_bodies", 3, 1, (int)(bound_kb / 1024));
  gf_start_target (&fleet, 1, GF_HEALTHY);
  ck_assert (gf_wait_status (&fleet, 1, "/shop/1", 200, READY_MS));
  for (int i = 0; i < 12; i++)
    {
      char address[64];
      char head[256];
      gf_print_gateway (&fleet, 1, ports[i / 4], address, sizeof address);
      fds[count] = raw_connect (address);
      ck_assert_int_ge (fds[count], 0);
      snprintf (head, sizeof head, "POST / HTTP/1.1\r\nHost: x.example\r\n%s",
                framings[i % 2]);
      raw_send_str (fds[count], head);
      for (int sent = 0; sent < BODY_BYTES - MIB; sent += PIECE_BYTES)
        if (!raw_send (fds[count], piece, sizeof piece))
          break;
      count++;
    }
  ck_assert_int_lt (gf_peak_memory_kb (fleet.gateway_pids[1]), bound_kb);
  ck_assert (gf_wait_status (&fleet, 1, "/shop/1", 200, READY_MS));
  for (int i = 0; i < count; i++)
    close (fds[i]);
  gf_stop (&fleet);
}
END_TEST

SUITE_MAIN ("fleet_large_requests", TEST_S, large_requests_share_a_bound,
            bodies_at_side_listeners)
