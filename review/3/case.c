/* One of three servers hands out wrong bytes for some seconds: in two of a
   hundred answers, one byte of the head is another one.  The gateway passes
   answers to clients that have lost their stamp, or whose status is none of
   HTTP, as if they were sound.  */

#include "rig.h"

#include <ctype.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CLIENTS 40
#define MACHINE 1
#define DEADLINE_MS 8000
/* Share and duration of garble in the site file.  */
#define SPOILT_PER_THOUSAND 20
#define SPOIL_MS 5500
#define REQUESTS_MAX 100000

static int requests;
static int served;
static int unstamped;
static int malformed;
static int cut;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t end_ms;

/* Whether the head begins with a version of HTTP and a status of its five
   classes.  */
static bool
has_status_line (const char *head)
{
  const char *digits = head + strlen ("HTTP/1.1 ");

  return strncmp (head, "HTTP/1.1 ", strlen ("HTTP/1.1 ")) == 0
         && digits[0] >= '1' && digits[0] <= '5'
         && isdigit ((unsigned char)digits[1])
         && isdigit ((unsigned char)digits[2]) && digits[3] == ' ';
}

static void
check_answer (const struct rig_answer *answer, const char *id)
{
  char stamp[256];
  bool line = answer->head[0] == '\0' || has_status_line (answer->head);
  bool success = line && answer->status >= 200 && answer->status < 300;
  bool stamped
      = rig_find_header (answer->head, "Upstream-Stamp", stamp, sizeof stamp);
  bool whole = strcmp (answer->body, id) == 0;

  pthread_mutex_lock (&lock);
  requests++;
  served += success;
  malformed += !line;
  unstamped += success && !stamped;
  cut += success && stamped && !whole;
  pthread_mutex_unlock (&lock);
  if (!line)
    rig_note ("client got for %s bytes that are no answer: \"%.*s\"", id,
              (int)strcspn (answer->head, "\r"), answer->head);
  else if (success && !stamped)
    rig_note ("client got status %d for %s without a stamp", answer->status,
              id);
  else if (success && !whole)
    rig_note ("client got status %d for %s with another body", answer->status,
              id);
  else
    rig_note ("client sent GET /read/10 as %s and got status %d", id,
              answer->status);
}

static void *
run_client (void *arg)
{
  int number = (int)(intptr_t)arg;
  struct rig_answer answer;
  int fd = -1;

  for (int i = 0; i < REQUESTS_MAX / CLIENTS && rig_now_ms () < end_ms; i++)
    {
      char head[512];
      char id[32];
      size_t size;
      snprintf (id, sizeof id, "look-%d-%d", number, i);
      size = rig_head (head, sizeof head, "GET", "/read/10", id, DEADLINE_MS,
                       -1);
      if (fd < 0)
        fd = rig_connect (MACHINE);
      if (fd < 0)
        break;
      answer.status = 0;
      answer.head[0] = '\0';
      if (rig_send (fd, head, size))
        rig_read_answer (fd, DEADLINE_MS, &answer);
      check_answer (&answer, id);
      if (answer.status != 200 || answer.close)
        {
          close (fd);
          fd = -1;
        }
    }
  if (fd >= 0)
    close (fd);
  return NULL;
}

int
main (int argc, char **argv)
{
  pthread_t threads[CLIENTS];
  struct rig_server *faulty = NULL;

  rig_begin (argc > 1 ? argv[1] : "review/3");
  for (int i = 0; i < 3; i++)
    {
      struct rig_server *server = rig_add_server ("store");
      /* The server in the zone of the machine, which it prefers.  */
      if (i == MACHINE - 1)
        faulty = server;
      rig_add_server ("payment");
    }
  rig_start (3);
  rig_note ("%d clients send GET /read/10, one after the other", CLIENTS);
  end_ms = rig_now_ms () + SPOIL_MS;
  if (!rig_calm ())
    {
      faulty->spoilt_per_thousand = SPOILT_PER_THOUSAND;
      rig_note ("server %s begins to hand out wrong bytes", faulty->id);
    }
  for (int i = 0; i < CLIENTS; i++)
    if (pthread_create (&threads[i], NULL, run_client, (void *)(intptr_t)i)
        != 0)
      rig_fail ("cannot create a thread");
  rig_sleep_ms ((int)(end_ms - rig_now_ms ()));
  faulty->spoilt_per_thousand = 0;
  rig_note ("all servers are sound from here on");
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (threads[i], NULL);
  rig_note ("%d answers of the server were spoilt; clients sent %d requests "
            "and got %d successes: %d without a stamp, %d with another body; "
            "%d answers had no status of HTTP",
            rig_spoilt_answers (), requests, served, unstamped, cut,
            malformed);
  if (served == 0)
    rig_fail ("no request was served");
  rig_end (unstamped + cut + malformed > 0 ? RIG_BROKEN : RIG_HELD);
}
