/* A gateway is stopped for planned work while clients read.  A closed
   connection that the gateway has not yet released reads a part of an answer
   of a server, whose connection has got the same descriptor: the client gets
   the rest as a complete success.  */

#include "rig.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* More than the servers have slots, so that some requests wait.  */
#define CLIENTS 60
#define MACHINE 2
#define WAVES_MAX 400
/* Largest answer of invoice-settlement in the site file.  */
#define ANSWER_BYTES 9000
#define DEADLINE_MS 8000
/* Clients send for as long as they may keep the machine's address.  */
#define SEND_MS 5000

static int mixed;
static int requests;
static int served;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

struct client
{
  pthread_t thread;
  int fd;
  char id[32];
};

static void *
run_client (void *arg)
{
  struct client *client = arg;
  char head[512];
  struct rig_answer answer;
  size_t size = rig_head (head, sizeof head, "GET", "/read/10", client->id,
                          DEADLINE_MS, -1);
  bool wrong;

  answer.status = 0;
  if (rig_send (client->fd, head, size))
    rig_read_answer (client->fd, DEADLINE_MS, &answer);
  close (client->fd);
  wrong = answer.status == 200 && !rig_is_genuine (&answer, client->id);
  pthread_mutex_lock (&lock);
  requests++;
  served += answer.status == 200;
  mixed += wrong;
  pthread_mutex_unlock (&lock);
  if (answer.status != 200)
    rig_note ("client got status %d for %s", answer.status, client->id);
  if (wrong)
    rig_note ("client got status 200 for %s with %zu bytes, which are not the "
              "server's %d",
              client->id, answer.body_bytes, ANSWER_BYTES);
  return NULL;
}

/* Opens a connection for each client, then sends all lookups.  Returns false
   when the machine takes no connections.  */
static bool
run_wave (int wave)
{
  static struct client clients[CLIENTS];
  int count = 0;

  while (count < CLIENTS)
    {
      struct client *client = &clients[count];
      client->fd = rig_connect (MACHINE);
      if (client->fd < 0)
        break;
      snprintf (client->id, sizeof client->id, "look-%d-%d", wave, count);
      count++;
    }
  for (int i = 0; i < count; i++)
    if (pthread_create (&clients[i].thread, NULL, run_client, &clients[i])
        != 0)
      rig_fail ("cannot create a thread");
  for (int i = 0; i < count; i++)
    pthread_join (clients[i].thread, NULL);
  return count == CLIENTS;
}

int
main (int argc, char **argv)
{
  int64_t end_ms;
  int wave = 0;

  rig_begin (argc > 1 ? argv[1] : "review/1");
  for (int i = 0; i < 3; i++)
    {
      struct rig_server *server = rig_add_server ("store");
      server->answer_bytes = ANSWER_BYTES;
      server->unframed = true;
      rig_add_server ("payment");
    }
  rig_start (3);
  rig_note ("%d clients at a time send GET /read/10, each on a new "
            "connection; the servers answer %d bytes without a length",
            CLIENTS, ANSWER_BYTES);
  for (; wave < 3; wave++)
    run_wave (wave);
  if (!rig_calm ())
    rig_signal_machine (MACHINE, SIGTERM);
  end_ms = rig_now_ms () + SEND_MS;
  while (wave < WAVES_MAX && rig_now_ms () < end_ms && run_wave (wave))
    wave++;
  rig_note ("%d requests, %d successes, %d of them with a wrong body",
            requests, served, mixed);
  if (served == 0)
    rig_fail ("no request was served");
  rig_end (mixed > 0 ? RIG_BROKEN : RIG_HELD);
}
