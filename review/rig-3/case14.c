/* Request heads inside all limits take a gateway over its memory, and the
   orders that it has passed on end with it.  */

#include "rig.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* memory-mb of the site.  */
#define MEMORY_MB 260
/* stable-window-ms, and 2 s.  */
#define CALM_S 5
#define ORDERS 8
/* The site has 120 clients in each of six zones.  */
#define CROWD 700
/* max-header-bytes.  */
#define HEAD_BYTES 16384
/* A head is whole this long after its first byte; header-timeout-ms is
   3,000.  */
#define HEAD_S 1.5
#define ANSWER_S 6

static char gateway[64];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_barrier_t start;
static int passed_on;
static int answered;
static bool done;
static double peak;
static double killed;

/* A client that sends a lookup and, when all clients have done so, an order on
   the same connection.  */
static void *
order (void *arg)
{
  static const char lookup[]
      = "GET /look/1 HTTP/1.1\r\nHost: x.example\r\nRequest-Id: look-%d\r\n"
        "Deadline-Ms: 2500\r\n\r\n";
  static const char slow[] = "POST /buy/slow HTTP/1.1\r\nHost: "
                             "x.example\r\nRequest-Id: order-%d\r\n"
                             "Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n";
  int number = (int)(long)arg;
  int fd = rig_connect (gateway, ANSWER_S);
  char text[256];
  int len = snprintf (text, sizeof text, lookup, number);
  bool kept = fd >= 0 && rig_send (fd, text, (size_t)len)
              && rig_await (fd, "whole body of the server", rig_now () + 3);
  bool ok;

  pthread_barrier_wait (&start);
  len = snprintf (text, sizeof text, slow, number);
  ok = kept && rig_send (fd, text, (size_t)len);
  pthread_mutex_lock (&lock);
  passed_on += ok;
  pthread_mutex_unlock (&lock);
  if (!ok)
    {
      rig_record ("order-%d could not be sent", number);
      return NULL;
    }
  /* Any complete answer counts, a refusal too.  */
  ok = rig_await (fd, "\r\n\r\n", rig_now () + ANSWER_S);
  rig_record ("order-%d on a kept connection: %s", number,
              ok ? "answered" : "the connection ended without an answer");
  pthread_mutex_lock (&lock);
  answered += ok;
  pthread_mutex_unlock (&lock);
  close (fd);
  return NULL;
}

/* The platform: ends a process that uses more than its memory and starts it
   again.  */
static void *
watch_memory (void *arg)
{
  (void)arg;
  while (!done)
    {
      double now = rig_gateway_memory (1);
      peak = now > peak ? now : peak;
      if (now > MEMORY_MB && killed == 0)
        {
          killed = now;
          rig_kill_gateway (1);
          rig_record ("gateway 1 uses %.0f MiB and is killed", now);
          rig_sleep (0.2);
          rig_start_gateway (1);
        }
      rig_sleep (0.005);
    }
  return NULL;
}

/* Clients that each send one lookup whose head has HEAD_BYTES in short lines,
   and finish it HEAD_S later.  */
static void
send_crowd (void)
{
  static int fds[CROWD];
  char head[HEAD_BYTES + 1];
  size_t len = 0;
  int sent = 0;

  for (int i = 0; i < CROWD; i++)
    {
      fds[i] = rig_connect (gateway, 1);
      len = (size_t)snprintf (head, sizeof head,
                              "GET /look/1 HTTP/1.1\r\nHost: x.example\r\n"
                              "Request-Id: crowd-%d\r\nDeadline-Ms: 2500\r\n",
                              i);
      while (len + 6 <= HEAD_BYTES)
        {
          memcpy (head + len, "a:\r\n", 4);
          len += 4;
        }
      sent += fds[i] >= 0 && rig_send (fds[i], head, len);
    }
  rig_record ("%d clients have sent %zu bytes of a head each", sent, len);
  rig_sleep (HEAD_S);
  for (int i = 0; i < CROWD; i++)
    if (fds[i] >= 0)
      {
        rig_send (fds[i], "\r\n", 2);
      }
  rig_sleep (2);
  for (int i = 0; i < CROWD; i++)
    if (fds[i] >= 0)
      close (fds[i]);
}

int
main (int argc, char **argv)
{
  pthread_t orders[ORDERS];
  pthread_t platform;
  static struct rig_response response;
  double end;
  int status = 0;
  int before;
  int running;
  int lost;

  (void)argc;
  rig_start (argv[1], 1);
  for (int i = 1; i <= 3; i++)
    rig_start_control (i, true);
  rig_start_gateway (1);
  rig_start_gateway (2);
  for (int i = 1; i <= 3; i++)
    rig_start_server (i);
  end = rig_now () + 10;
  while (status != 200 && rig_now () < end)
    status = rig_put_bundle (1, 1, 0, 1);
  rig_wait_served (1);
  rig_sleep (CALM_S);
  rig_gateway_address (1, RIG_CALLERS, gateway);
  /* Lookups that show the gateways that the servers are sound.  */
  for (int i = 0; i < 60; i++)
    {
      char lines[128];
      snprintf (lines, sizeof lines,
                "Request-Id: before-%d\r\nDeadline-Ms: 2000\r\n", i);
      rig_http (gateway, "GET", "/look/1", lines, NULL, 2, &response);
    }
  rig_sleep (1);
  before = rig_runs (1) + rig_runs (2) + rig_runs (3) + ORDERS;
  rig_record ("gateway 1 uses %.0f MiB", rig_gateway_memory (1));
  pthread_barrier_init (&start, NULL, ORDERS + 1);
  if (pthread_create (&platform, NULL, watch_memory, NULL) != 0)
    rig_end (2);
  for (long i = 0; i < ORDERS; i++)
    if (pthread_create (&orders[i], NULL, order, (void *)i) != 0)
      rig_end (2);
  pthread_barrier_wait (&start);
  /* Until the orders are at the servers.  */
  rig_sleep (0.4);
  running = rig_runs (1) + rig_runs (2) + rig_runs (3) - before;
  rig_record ("%d orders are at the servers", running);
  if (rig_trouble ())
    send_crowd ();
  for (int i = 0; i < ORDERS; i++)
    pthread_join (orders[i], NULL);
  done = true;
  pthread_join (platform, NULL);
  rig_record ("%d orders sent on kept connections, %d answered; peak of the "
              "gateway's memory: %.0f MiB, %d allowed",
              passed_on, answered, peak, MEMORY_MB);
  if (running <= 3)
    rig_end (2);
  lost = passed_on - answered < running ? passed_on - answered : running;
  rig_end (killed > 0 && lost > 3 ? 1 : 0);
}
