/* A gateway is stopped for planned work.  It still takes requests more than
   3 s after SIGTERM, passes them on and cuts them when it ends.  */

#include "rig.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CLIENTS 6
#define MACHINE 2
/* Clients keep using the machine's address for as long as they may keep an
   answer of the directory; these send at this time after SIGTERM.  */
#define SEND_AFTER_MS 3120
/* Largest work of order-placement in the site file, and its deadline.  */
#define WORK_PATH "/order/2900"
#define DEADLINE_MS 8000
#define BODY "one birch rack"

struct client
{
  pthread_t thread;
  char id[32];
  bool connected;
  struct rig_answer answer;
};

static void *
run_client (void *arg)
{
  struct client *client = arg;
  char text[512];
  size_t size = rig_head (text, sizeof text, "POST", WORK_PATH, client->id,
                          DEADLINE_MS, (long)strlen (BODY));
  int fd = rig_connect (MACHINE);

  if (fd < 0)
    {
      rig_note ("client cannot connect for %s", client->id);
      return NULL;
    }
  client->connected = true;
  memcpy (text + size, BODY, strlen (BODY));
  rig_note ("client sends %s: POST " WORK_PATH, client->id);
  rig_send (fd, text, size + strlen (BODY));
  rig_read_answer (fd, DEADLINE_MS, &client->answer);
  if (client->answer.status == 0)
    rig_note ("the connection of %s ended without an answer", client->id);
  else
    rig_note ("client got status %d for %s: %s", client->answer.status,
              client->id, client->answer.body);
  close (fd);
  return NULL;
}

int
main (int argc, char **argv)
{
  static struct client clients[CLIENTS];
  int cut = 0;

  rig_begin (argc > 1 ? argv[1] : "review/4");
  for (int i = 0; i < 3; i++)
    {
      rig_add_server ("store");
      rig_add_server ("payment");
    }
  rig_start (3);
  if (!rig_calm ())
    rig_signal_machine (MACHINE, SIGTERM);
  rig_sleep_ms (SEND_AFTER_MS);
  for (int i = 0; i < CLIENTS; i++)
    {
      snprintf (clients[i].id, sizeof clients[i].id, "order-%d", i);
      if (pthread_create (&clients[i].thread, NULL, run_client, &clients[i])
          != 0)
        rig_fail ("cannot create a thread");
    }
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (clients[i].thread, NULL);
  for (int i = 0; i < CLIENTS; i++)
    {
      int runs = rig_runs (clients[i].id);
      rig_note ("%s: answered %d, runs begun %d", clients[i].id,
                clients[i].answer.status, runs);
      if (clients[i].connected && runs > 0 && clients[i].answer.status <= 0)
        cut++;
    }
  rig_note ("%d requests were passed on to a server and cut", cut);
  rig_end (cut > 0 ? RIG_BROKEN : RIG_HELD);
}
