/* A gateway is stopped for planned work while clients send orders.  A closed
   connection that the gateway has not yet released reads the bytes of the next
   connection with the same descriptor, so that orders run with a part of their
   body missing.  */

#include "rig.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CLIENTS 20
#define MACHINE 2
#define ROUNDS_MAX 4000
/* Largest body of invoice-settlement in the site file, and its deadline.  */
#define BODY_BYTES (4 * CHUNK_BYTES)
/* The client's encoder fills pieces of 4 KiB, each with a chunk and its
   framing of 7 bytes.  */
#define CHUNK_BYTES 4089
#define DEADLINE_MS 4000
/* Clients send for as long as they may keep the machine's address.  */
#define SEND_MS 5000

static int changed;
static int requests;
static int unanswered;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char body[BODY_BYTES];
static int64_t end_ms;

static bool
send_chunked (int fd)
{
  char text[BODY_BYTES + 64];
  size_t used = 0;

  for (size_t at = 0; at < BODY_BYTES; at += CHUNK_BYTES)
    {
      used += (size_t)sprintf (text + used, "%x\r\n", CHUNK_BYTES);
      memcpy (text + used, body + at, CHUNK_BYTES);
      used += CHUNK_BYTES;
      used += (size_t)sprintf (text + used, "\r\n");
    }
  used += (size_t)sprintf (text + used, "0\r\n\r\n");
  return rig_send (fd, text, used);
}

/* Sends one payment on a connection of its own.  Returns false when the
   machine takes no connections.  */
static bool
send_payment (const char *id)
{
  char head[512];
  struct rig_answer answer;
  int fd = rig_connect (MACHINE);
  int used = snprintf (head, sizeof head,
                       "PUT /pay/10 HTTP/1.1\r\nHost: shop.example\r\n"
                       "Request-Id: %s\r\nDeadline-Ms: %d\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n",
                       id, DEADLINE_MS);
  int wrong;

  if (fd < 0)
    return false;
  answer.status = 0;
  if (rig_send (fd, head, (size_t)used) && send_chunked (fd))
    rig_read_answer (fd, DEADLINE_MS, &answer);
  close (fd);
  wrong = rig_changed_runs (id, BODY_BYTES, rig_hash (body, BODY_BYTES));
  pthread_mutex_lock (&lock);
  requests++;
  unanswered += answer.status <= 0;
  changed += wrong > 0;
  pthread_mutex_unlock (&lock);
  if (answer.status != 200)
    rig_note ("client got status %d for %s, runs %d", answer.status, id,
              rig_runs (id));
  if (wrong > 0)
    rig_note ("%s ran with another body than the client sent; the client got "
              "status %d",
              id, answer.status);
  return true;
}

static void *
run_client (void *arg)
{
  int number = (int)(intptr_t)arg;
  char id[32];

  for (int i = 0; i < ROUNDS_MAX && rig_now_ms () < end_ms; i++)
    {
      snprintf (id, sizeof id, "pay-%d-%d", number, i);
      if (!send_payment (id))
        break;
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  pthread_t threads[CLIENTS];

  for (size_t i = 0; i < BODY_BYTES; i++)
    body[i] = (char)('a' + i / 100 % 26);
  rig_begin (argc > 1 ? argv[1] : "review/1");
  for (int i = 0; i < 3; i++)
    {
      rig_add_server ("store");
      rig_add_server ("payment");
    }
  rig_start (3);
  rig_note ("%d clients send PUT /pay/10 with %d bytes in chunks, each on a "
            "new connection",
            CLIENTS, BODY_BYTES);
  end_ms = rig_now_ms () + SEND_MS + 1000;
  for (int i = 0; i < CLIENTS; i++)
    if (pthread_create (&threads[i], NULL, run_client, (void *)(intptr_t)i)
        != 0)
      rig_fail ("cannot create a thread");
  rig_sleep_ms (1000);
  if (!rig_calm ())
    rig_signal_machine (MACHINE, SIGTERM);
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (threads[i], NULL);
  rig_note ("%d requests, %d without an answer, %d ran with a changed body",
            requests, unanswered, changed);
  if (requests == 0)
    rig_fail ("no request was sent");
  rig_end (changed > 0 ? RIG_BROKEN : RIG_HELD);
}
