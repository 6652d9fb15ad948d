/* Tests that callers which misuse connections don't keep other callers from
   being served.  */

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "conf.h"
#include "fleet_test_lib.h"
#include "suite_lib.h"

#define IDLE_CONNECTIONS 10000
#define SLOW_CONNECTIONS 200
#define SPARE_DESCRIPTORS 200
#define REQUESTS 20
#define REPLY_TIMEOUT_S 15

static int
connect_to (const char *address)
{
  struct sockaddr_in to = { .sin_family = AF_INET };
  char ip[AB_ADDRESS_BYTES];
  uint16_t port;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  ck_assert_int_ge (fd, 0);
  ck_assert_int_eq (ab_address_split (address, ip, sizeof ip, &port), 0);
  to.sin_port = htons (port);
  ck_assert_int_eq (inet_pton (AF_INET, ip, &to.sin_addr), 1);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  return fd;
}

/* Guards against idle connections and unfinished headers that keep other
   callers from being served.  */
START_TEST (idle_and_slow_connections)
{
  static const char part[] = "GET /stock/1 HTTP/1.1\r\nHost: a\r\nX-Slow: ";
  static int fds[IDLE_CONNECTIONS];
  struct fleet *fleet;
  const char *entry;

  suite_raise_descriptor_limit (IDLE_CONNECTIONS + SPARE_DESCRIPTORS);
  fleet = test_fleet_start ("fleet_callers_idle", 1, 2, false);
  entry = fleet_callers (fleet, test_entry_host (fleet, 1));
  for (int i = 0; i < IDLE_CONNECTIONS; i++)
    {
      fds[i] = connect_to (entry);
      if (i < SLOW_CONNECTIONS)
        ck_assert_int_eq (send (fds[i], part, sizeof part - 1, MSG_NOSIGNAL),
                          sizeof part - 1);
    }
  for (int i = 0; i < REQUESTS; i++)
    ck_assert_int_eq (
        fleet_http_as_team (fleet, entry, "GET", "/stock/1", NULL, NULL, NULL),
        200);
  for (int i = 0; i < IDLE_CONNECTIONS; i++)
    close (fds[i]);
  fleet_free (fleet);
}
END_TEST

/* Guards against reading a body above the size limit to its end, and against
   sending it to a target.  */
START_TEST (huge_body_refused)
{
  static const char head[] = "POST /stock/find HTTP/1.1\r\nHost: a\r\n"
                             "Authorization: Bearer token-of-the-team\r\n"
                             "Content-Length: 1000000000\r\n\r\n";
  struct timeval timeout = { .tv_sec = REPLY_TIMEOUT_S };
  struct fleet *fleet = test_fleet_start ("fleet_callers_body", 1, 1, false);
  const char *entry = fleet_callers (fleet, test_entry_host (fleet, 1));
  char reply[256] = "";
  int fd = connect_to (entry);

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  ck_assert_int_eq (send (fd, head, sizeof head - 1, MSG_NOSIGNAL),
                    sizeof head - 1);
  ck_assert_int_gt (recv (fd, reply, sizeof reply - 1, 0), 0);
  ck_assert_msg (strstr (reply, " 413 ") != NULL, "reply: %s", reply);
  close (fd);
  ck_assert_int_eq (test_target_stat (fleet, 1, "runs"), 0);
  fleet_free (fleet);
}
END_TEST

SUITE_MAIN ("fleet_callers", 120, idle_and_slow_connections, huge_body_refused)
