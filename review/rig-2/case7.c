/* Clients send lookups whose body quotes an order.  No client sends an
   order.  */

#include "rig.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SERVERS 4
#define REQUESTS 40
#define TIMEOUT_MS 2000
#define WAIT_MS 1000

static atomic_int runs;
static atomic_int orders_run;

static bool
handle (struct rig_server *server, int fd, const struct rig_message *request)
{
  char method[16];
  char path[64];

  if (sscanf (request->head, "%15s %63s", method, path) != 2)
    return false;
  if (strstr (request->head, "\r\nContent-Length :"))
    {
      rig_record ("server %d: rejects %s %s with 400", server->number, method,
                  path);
      rig_answer (fd, request, 400, "Connection: close\r\n", "bad length");
      return false;
    }
  rig_record ("server %d: runs %s %s of %s", server->number, method, path,
              request->id);
  atomic_fetch_add (&runs, 1);
  if (strncmp (path, "/order/", 7) == 0)
    {
      atomic_fetch_add (&orders_run, 1);
      rig_record ("server %d: UNASKED: no client sent this request",
                  server->number);
    }
  if (strcmp (method, "HEAD") == 0)
    {
      char head[1024];
      snprintf (head, sizeof head,
                "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
                "Upstream-Stamp: stamp\r\nContent-Length: 2\r\n\r\n",
                request->id);
      return rig_send (fd, head, strlen (head));
    }
  return rig_answer (fd, request, 200, "", "ok");
}

/* Sends a lookup with METHOD and the length header LENGTH, whose body quotes
   order N.  */
static void
send_lookup (int n, const char *method, const char *length)
{
  static struct rig_message answer;
  char order[512];
  char head[512];
  char ip[32];
  char id[17];
  char quoted_id[17];
  int fd;

  rig_address (n % RIG_MACHINES + 1, ip);
  fd = rig_connect (ip, RIG_FRONT);
  if (fd < 0)
    return;
  rig_new_id (id, 16);
  rig_new_id (quoted_id, 16);
  snprintf (order, sizeof order,
            "POST /order/%d HTTP/1.1\r\nHost: x.example\r\nRequest-Id: %s\r\n"
            "Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
            n, quoted_id, TIMEOUT_MS);
  snprintf (head, sizeof head,
            "%s /look/%d HTTP/1.1\r\nHost: x.example\r\nRequest-Id: %s\r\n"
            "Deadline-Ms: %d\r\n%s %zu\r\n\r\n",
            method, n, id, TIMEOUT_MS, length, strlen (order));
  rig_send (fd, head, strlen (head));
  rig_send (fd, order, strlen (order));
  rig_read (fd, WAIT_MS, &answer);
  rig_record ("client: %s /look/%d of %s with '%s %zu' got %d; its body "
              "quotes /order/%d of %s",
              method, n, id, length, strlen (order), answer.status, n,
              quoted_id);
  rig_sleep_ms (100);
  close (fd);
}

int
main (int argc, char **argv)
{
  static struct rig_server servers[SERVERS];
  int by_head;

  if (argc < 2)
    return RIG_NOT_RUN;
  rig_start (argv[1]);
  rig_put_config (TIMEOUT_MS, 1000);
  for (int i = 0; i < SERVERS; i++)
    rig_start_server (&servers[i], i + 1, handle);
  rig_wait_served ();
  for (int n = 0; n < REQUESTS; n++)
    send_lookup (n, rig_trouble ? "HEAD" : "POST", "Content-Length:");
  rig_sleep_ms (WAIT_MS);
  by_head = atomic_load (&orders_run);
  for (int n = REQUESTS; n < 2 * REQUESTS; n++)
    send_lookup (n, "POST",
                 rig_trouble ? "Content-Length :" : "Content-Length:");
  rig_sleep_ms (WAIT_MS);
  if (atomic_load (&runs) < REQUESTS)
    rig_exit (RIG_NOT_RUN, "only %d requests ran", atomic_load (&runs));
  rig_exit (atomic_load (&orders_run) > 0 ? RIG_BROKEN : RIG_HELD,
            "%d orders ran that no client sent: %d quoted in the bodies of %d "
            "HEAD requests, %d in those of %d requests with 'Content-Length "
            ":'",
            atomic_load (&orders_run), by_head, rig_trouble ? REQUESTS : 0,
            atomic_load (&orders_run) - by_head, rig_trouble ? REQUESTS : 0);
}
