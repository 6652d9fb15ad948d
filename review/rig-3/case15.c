/* Clients that open connections and stay idle keep a gateway that says it is
   ready from taking any other connection.  */

#include "rig.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* stable-window-ms, and 2 s.  */
#define CALM_S 5
#define STABLE_WINDOW_S 3.0
#define CROWD_PROCESSES 10
/* 3,000 that the process takes, and more than fit into the queue of new
   connections.  */
#define CROWD_EACH 380
/* A process of the crowd stops after as many connections that failed.  */
#define CROWD_FAILURES 3
/* Less than idle-timeout-ms, which is 15,000.  */
#define CROWD_S 13
/* Time for the crowd to connect, which is not judged.  */
#define CROWD_CONNECTS_S 5
#define CLIENTS 8

static char gateway[64];
static char ready[64];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int tries;
static int established;
static int answers;
static double last_taken;
static double longest;
static bool done;

/* A client that tries a new connection again and again.  */
static void *
client (void *arg)
{
  static const char text[] = "GET /look/1 HTTP/1.1\r\nHost: "
                             "x.example\r\nRequest-Id: client-%d-%d\r\n"
                             "Deadline-Ms: 1000\r\n\r\n";
  char request[256];
  int number = (int)(long)arg;

  for (int i = 0; !done; i++)
    {
      int len = snprintf (request, sizeof request, text, number, i);
      int fd = rig_connect (gateway, 1);
      bool taken = fd >= 0;
      bool ok = taken && rig_send (fd, request, (size_t)len)
                && rig_await (fd, "whole body of the server", rig_now () + 1);
      double now = rig_now ();
      pthread_mutex_lock (&lock);
      tries++;
      answers += ok;
      if (taken)
        {
          established++;
          if (now - last_taken > longest)
            longest = now - last_taken;
          last_taken = now;
        }
      pthread_mutex_unlock (&lock);
      if (fd >= 0)
        close (fd);
      rig_sleep (0.1);
    }
  return NULL;
}

/* Opens connections and sends nothing, in a process of its own.  */
static pid_t
start_crowd (void)
{
  pid_t pid = fork ();
  double end;
  int failures = 0;

  if (pid != 0)
    return pid;
  end = rig_now () + CROWD_S;
  for (int i = 0; i < CROWD_EACH && failures < CROWD_FAILURES; i++)
    {
      failures += rig_connect (gateway, 1) < 0;
      rig_sleep (0.002);
    }
  rig_sleep (end - rig_now ());
  _exit (0);
}

int
main (int argc, char **argv)
{
  static struct rig_response response;
  pthread_t clients[CLIENTS];
  pid_t crowd[CROWD_PROCESSES] = { 0 };
  double end;
  int status = 0;
  int asked = 0;
  int said_ready = 0;

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
  rig_gateway_address (1, RIG_READY, ready);
  if (rig_trouble ())
    for (int i = 0; i < CROWD_PROCESSES; i++)
      crowd[i] = start_crowd ();
  rig_record ("up to %d idle connections to gateway 1",
              rig_trouble () ? CROWD_PROCESSES * CROWD_EACH : 0);
  rig_sleep (CROWD_CONNECTS_S);
  last_taken = rig_now ();
  for (long i = 0; i < CLIENTS; i++)
    if (pthread_create (&clients[i], NULL, client, (void *)i) != 0)
      rig_end (2);
  end = rig_now () + CROWD_S - CROWD_CONNECTS_S - 1;
  while (rig_now () < end)
    {
      asked++;
      said_ready += rig_http (ready, "GET", "/ready", NULL, NULL, 1, &response)
                    == 200;
      rig_sleep (1);
    }
  pthread_mutex_lock (&lock);
  if (rig_now () - last_taken > longest)
    longest = rig_now () - last_taken;
  rig_record ("%d clients tried %d new connections, %d were taken and %d "
              "answered; longest time without one that was taken: %.1f s",
              CLIENTS, tries, established, answers, longest);
  rig_record ("gateway 1 was asked %d times whether it is ready, and said so "
              "%d times",
              asked, said_ready);
  pthread_mutex_unlock (&lock);
  done = true;
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (clients[i], NULL);
  for (int i = 0; i < CROWD_PROCESSES; i++)
    if (crowd[i] > 0)
      {
        kill (crowd[i], SIGKILL);
        waitpid (crowd[i], NULL, 0);
      }
  rig_end (said_ready == asked && longest > STABLE_WINDOW_S ? 1 : 0);
}
