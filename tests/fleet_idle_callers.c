/* Test that callers that open connections and send nothing do not keep a
   gateway from accepting others.  */

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "clock.h"
#include "fleet_lib.h"
#include "gateway_fleet_lib.h"
#include "raw_http_lib.h"
#include "suite_lib.h"

#define TEST_S 120
#define READY_MS 10000
#define CONNECTIONS_MAX 3000 /* Default bound of a gateway.  */
#define CROWD (CONNECTIONS_MAX + 300)
#define SPARE_DESCRIPTORS 100
#define REQUESTS 100
#define KEPT 10
#define ANSWER_MS 2000

static bool
ask (int fd, int number)
{
  static struct raw_message response;
  char request[256];

  snprintf (request, sizeof request,
            "GET /look/1 HTTP/1.1\r\nHost: x.example\r\n"
            "X-Request-Id: idle-%d\r\n\r\n",
            number);
  return fd >= 0 && raw_send_str (fd, request)
         && raw_read (fd, ANSWER_MS, &response) && response.status == 200;
}

/* Guards against a gateway that accepts nobody until idle connections have
   reached the end of their idle time.  Connections that have been in use are
   kept before those that have not.  */
START_TEST (idle_crowd_makes_room)
{
  static int crowd[CROWD];
  int kept[KEPT];
  struct gf_fleet fleet;
  char gateway[64];
  int served = 0;

  suite_raise_descriptor_limit (CROWD + SPARE_DESCRIPTORS);
  gf_start (&fleet, "gf_idle", 3, 1);
  gf_start_target (&fleet, 1, GF_HEALTHY);
  gf_start_target (&fleet, 2, GF_HEALTHY);
  ck_assert (gf_wait_status (&fleet, 1, "/look/1", 200, READY_MS));
  gf_print_callers (&fleet, 1, gateway, sizeof gateway);
  for (int i = 0; i < KEPT; i++)
    {
      kept[i] = raw_connect (gateway);
      ck_assert (ask (kept[i], i));
    }
  for (int i = 0; i < CROWD; i++)
    crowd[i] = raw_connect (gateway);
  for (int i = 0; i < REQUESTS; i++)
    {
      int fd = raw_connect (gateway);
      served += ask (fd, KEPT + i);
      if (fd >= 0)
        close (fd);
    }
  fprintf (stderr, "%d of %d requests on new connections were served\n",
           served, REQUESTS);
  ck_assert_int_ge (served, REQUESTS * 99 / 100);
  for (int i = 0; i < KEPT; i++)
    ck_assert (ask (kept[i], KEPT + REQUESTS + i));
  for (int i = 0; i < CROWD; i++)
    if (crowd[i] >= 0)
      close (crowd[i]);
  gf_stop (&fleet);
}
END_TEST

SUITE_MAIN ("fleet_idle_callers", TEST_S, idle_crowd_makes_room)
