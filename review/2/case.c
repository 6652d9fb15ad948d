/* A machine freezes while clients are sending payments.  When it wakes, the
   gateway tells them with status 408 that the payments have not run, and
   then runs them.  */

#include "rig.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define ROUNDS 3
#define CLIENTS 4
/* Largest body of invoice-settlement in the site file, and its deadline.  */
#define BODY_BYTES 24000
#define DEADLINE_MS 4000
/* A client's link passes PIECE_BYTES each PIECE_MS.  */
#define PIECE_BYTES 1460
#define PIECE_MS 10
/* One-way delay between clients and machines in the site file.  */
#define LINK_MS 8
#define FREEZE_AFTER_MS 80
#define FREEZE_MS 3500
/* Time in which a request that was refused may still run.  It exceeds
   catch-up-s, 4, so that the machine does not count as lost at the next
   freeze.  */
#define AFTERMATH_MS 4500
#define MACHINE 2

struct client
{
  pthread_t thread;
  char id[32];
  struct rig_answer answer;
};

static void *
run_client (void *arg)
{
  struct client *client = arg;
  static char body[BODY_BYTES];
  char head[512];
  int fd = rig_connect (MACHINE);
  size_t size = rig_head (head, sizeof head, "PUT", "/pay/50", client->id,
                          DEADLINE_MS, BODY_BYTES);

  if (fd < 0 || !rig_send (fd, head, size))
    rig_fail ("no connection to machine %d", MACHINE);
  rig_note ("client sends %s: PUT /pay/50, body of %d bytes", client->id,
            BODY_BYTES);
  for (size_t at = 0; at < BODY_BYTES; at += PIECE_BYTES)
    {
      size_t left = BODY_BYTES - at;
      if (!rig_send (fd, body, left < PIECE_BYTES ? left : PIECE_BYTES))
        break;
      rig_sleep_ms (PIECE_MS);
    }
  rig_note ("client has sent %s", client->id);
  rig_read_answer (fd, DEADLINE_MS, &client->answer);
  /* The answer reaches the client after LINK_MS, and the client's close the
     machine as long after that.  */
  rig_sleep_ms (2 * LINK_MS);
  rig_note ("client got status %d for %s", client->answer.status, client->id);
  close (fd);
  return NULL;
}

static bool
is_promise (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

int
main (int argc, char **argv)
{
  static struct client clients[ROUNDS][CLIENTS];
  int broken = 0;
  int answered = 0;

  rig_begin (argc > 1 ? argv[1] : "review/2");
  for (int i = 0; i < 3; i++)
    {
      rig_add_server ("store");
      rig_add_server ("payment");
    }
  rig_start (3);
  for (int round = 0; round < ROUNDS; round++)
    {
      for (int i = 0; i < CLIENTS; i++)
        {
          struct client *client = &clients[round][i];
          memset (client, 0, sizeof *client);
          snprintf (client->id, sizeof client->id, "pay-%d-%d", round, i);
          if (pthread_create (&client->thread, NULL, run_client, client) != 0)
            rig_fail ("cannot create a thread");
        }
      rig_sleep_ms (FREEZE_AFTER_MS);
      if (!rig_calm ())
        {
          rig_signal_machine (MACHINE, SIGSTOP);
          rig_sleep_ms (FREEZE_MS);
          rig_signal_machine (MACHINE, SIGCONT);
        }
      for (int i = 0; i < CLIENTS; i++)
        pthread_join (clients[round][i].thread, NULL);
      rig_sleep_ms (AFTERMATH_MS);
    }
  for (int round = 0; round < ROUNDS; round++)
    for (int i = 0; i < CLIENTS; i++)
      {
        const struct client *client = &clients[round][i];
        int runs = rig_runs (client->id);
        rig_note ("%s: answered %d, runs %d", client->id,
                  client->answer.status, runs);
        answered += client->answer.status > 0;
        if (is_promise (client->answer.status) && runs > 0)
          broken++;
      }
  rig_note ("%d requests were answered that they have not run, and ran",
            broken);
  if (answered == 0)
    rig_fail ("no client got an answer");
  rig_end (broken > 0 ? RIG_BROKEN : RIG_HELD);
}
