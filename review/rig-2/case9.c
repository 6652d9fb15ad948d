/* One faulty server answers one of 60 requests, once, with a head of 120 KB
   that consists of short header lines.  Clients send orders to all machines.  */

#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SERVERS 4
#define TIMEOUT_MS 2000
#define LATE_MS 500
#define ORDERS 1200
#define ORDER_EVERY_MS 12
/* The server that first has this many answers is the faulty one, for the last
   of them.  */
#define FAULTY_ANSWER 60
#define FAULTY_FOR_MS 5000
#define LINES 30000
#define WAIT_MS 30000
#define LATE_MIN 8
/* Machines are in touch 3 s after their start (stable-window-ms), and have
   caught up after 4 s (catch-up-s).  */
#define IN_TOUCH_MS 5000

static atomic_bool faulty_sent;
static atomic_int answers[SERVERS + 1];
static atomic_ullong faulty_until_ms;
static atomic_int unanswered; /* At the route's timeout.  */
static atomic_int too_late;   /* And half a second later.  */
static atomic_int served;
static atomic_int open_orders;
static atomic_ullong longest_ms;

static bool
send_faulty (int fd, const struct rig_message *request)
{
  char *text = malloc (LINES * 4 + 1024);
  int len = sprintf (text,
                     "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
                     "Upstream-Stamp: stamp\r\nContent-Length: 2\r\n",
                     request->id);
  bool ok;

  for (int i = 0; i < LINES; i++)
    len += sprintf (text + len, "a:\r\n");
  len += sprintf (text + len, "\r\nok");
  ok = rig_send (fd, text, (size_t)len);
  free (text);
  return ok;
}

static bool
handle (struct rig_server *server, int fd, const struct rig_message *request)
{
  rig_sleep_ms (5);
  if (rig_now_ms () < atomic_load (&faulty_until_ms)
      && atomic_fetch_add (&answers[server->number], 1) + 1 == FAULTY_ANSWER
      && !atomic_exchange (&faulty_sent, true))
    {
      rig_record ("server %d: faulty answer to %s", server->number,
                  request->id);
      return send_faulty (fd, request);
    }
  return rig_answer (fd, request, 200, "", "ok");
}

static void *
send_order (void *arg)
{
  struct rig_message *answer = malloc (sizeof *answer);
  int n = *(int *)arg;
  char id[17];
  char path[32];
  uint64_t began = rig_now_ms ();
  uint64_t took;
  int status;

  free (arg);
  rig_new_id (id, 16);
  snprintf (path, sizeof path, "/order/%d", n);
  status = rig_request (n % RIG_MACHINES + 1, "POST", path, id, "", "x",
                        WAIT_MS, answer);
  took = rig_now_ms () - began;
  rig_record ("client: %s (%s) at machine %d got %d after %llu ms", path, id,
              n % RIG_MACHINES + 1, status, (unsigned long long)took);
  if (status == 200)
    atomic_fetch_add (&served, 1);
  if (took > TIMEOUT_MS)
    atomic_fetch_add (&unanswered, 1);
  if (took > TIMEOUT_MS + LATE_MS)
    atomic_fetch_add (&too_late, 1);
  if (took > atomic_load (&longest_ms))
    atomic_store (&longest_ms, took);
  free (answer);
  atomic_fetch_sub (&open_orders, 1);
  return NULL;
}

int
main (int argc, char **argv)
{
  static struct rig_server servers[SERVERS];
  uint64_t end_ms;
  int late;
  int all;

  if (argc < 2)
    return RIG_NOT_RUN;
  rig_start (argv[1]);
  rig_put_config (TIMEOUT_MS, 1000);
  for (int i = 0; i < SERVERS; i++)
    rig_start_server (&servers[i], i + 1, handle);
  rig_wait_served ();
  rig_sleep_ms (IN_TOUCH_MS);
  if (rig_trouble)
    atomic_store (&faulty_until_ms, rig_now_ms () + FAULTY_FOR_MS);
  for (int n = 0; n < ORDERS; n++)
    {
      pthread_t thread;
      int *number = malloc (sizeof *number);
      *number = n;
      atomic_fetch_add (&open_orders, 1);
      if (pthread_create (&thread, NULL, send_order, number) != 0)
        rig_exit (RIG_NOT_RUN, "cannot start a thread");
      pthread_detach (thread);
      rig_sleep_ms (ORDER_EVERY_MS);
    }
  end_ms = rig_now_ms () + WAIT_MS + 2000;
  while (atomic_load (&open_orders) > 0 && rig_now_ms () < end_ms)
    rig_sleep_ms (20);
  if (rig_trouble && !atomic_load (&faulty_sent))
    rig_exit (RIG_NOT_RUN, "no server had %d answers in time", FAULTY_ANSWER);
  late = atomic_load (&too_late);
  all = atomic_load (&unanswered);
  if (atomic_load (&served) < ORDERS / 4)
    rig_exit (RIG_NOT_RUN, "only %d of %d orders were answered",
              atomic_load (&served), ORDERS);
  rig_exit (late >= LATE_MIN && 2 * late > all ? RIG_BROKEN : RIG_HELD,
            "%d of %d orders served; %d unanswered at the route's %d ms, %d "
            "of them still %d ms later; longest %llu ms",
            atomic_load (&served), ORDERS, all, TIMEOUT_MS, late, LATE_MS,
            (unsigned long long)atomic_load (&longest_ms));
}
