/* For 5 s, two of four servers send 3 of 100 answers twice.  The copy comes late, where
   the answer to the next request on the connection is expected.  Clients send
   orders with ids of 140 characters.  */

#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVERS 4
#define COPYING_SERVERS 2
#define COPY_EVERY 34
#define COPY_FOR_MS 5000
#define CLIENTS 18
#define ORDERS 1800
#define ID_CHARS 140
#define TIMEOUT_MS 4000
#define RUN_MS 80
#define FDS_MAX 4096

/* The answer that is sent again on a connection.  */
struct copy
{
  bool due;
  char id[ID_CHARS + 1];
  char body[64];
};

static struct copy copies[FDS_MAX];
static atomic_int answers[SERVERS + 1];
static atomic_ullong copy_until_ms;
static atomic_int next_order;
static atomic_int open_clients;
static atomic_int sent_copies;
static atomic_int served;
static atomic_int foreign;

static void
forget_copy (int fd)
{
  if (fd < FDS_MAX)
    copies[fd].due = false;
}

/* Sends the copy that is due on FD.  */
static bool
send_copy (const struct rig_server *server, int fd)
{
  static __thread struct rig_message earlier;
  struct copy *copy = &copies[fd];

  if (!copy->due)
    return true;
  copy->due = false;
  memcpy (earlier.id, copy->id, sizeof copy->id);
  rig_record ("server %d: late copy of the answer to %.16s...",
              server->number, copy->id);
  atomic_fetch_add (&sent_copies, 1);
  return rig_answer (fd, &earlier, 200, "", copy->body);
}

static bool
handle (struct rig_server *server, int fd, const struct rig_message *request)
{
  char path[48];
  char body[64];
  bool copied;

  if (sscanf (request->head, "%*s %47s", path) != 1 || fd >= FDS_MAX
      || !send_copy (server, fd))
    return false;
  snprintf (body, sizeof body, "answer to %s", path);
  rig_record ("server %d: runs %s of %.16s...", server->number, path,
              request->id);
  rig_sleep_ms (RUN_MS);
  copied = rig_trouble && server->number <= COPYING_SERVERS
           && rig_now_ms () < atomic_load (&copy_until_ms)
           && atomic_fetch_add (&answers[server->number], 1) % COPY_EVERY
                  == COPY_EVERY - 1;
  if (copied)
    {
      snprintf (copies[fd].id, sizeof copies[fd].id, "%.*s", ID_CHARS,
                request->id);
      snprintf (copies[fd].body, sizeof copies[fd].body, "%s", body);
      copies[fd].due = true;
    }
  return rig_answer (fd, request, 200, "", body);
}

static void
send_order (int n, struct rig_message *answer)
{
  char id[ID_CHARS + 1];
  char path[48];
  char wanted[64];
  int status;

  rig_new_id (id, ID_CHARS);
  snprintf (path, sizeof path, "/order/%d", n);
  snprintf (wanted, sizeof wanted, "answer to %s", path);
  status = rig_request (n % RIG_MACHINES + 1, "POST", path, id, "", "x",
                        TIMEOUT_MS, answer);
  rig_record ("client: %s with id %.16s... got %d, id %.16s..., '%s'", path,
              id, status, answer->id, answer->body);
  if (status != 200)
    return;
  atomic_fetch_add (&served, 1);
  if (strcmp (answer->body, wanted) != 0 || strcmp (answer->id, id) != 0)
    {
      atomic_fetch_add (&foreign, 1);
      rig_record ("client: MIXED: %s got the answer to another request",
                  path);
    }
}

static void *
send_orders (void *arg)
{
  struct rig_message *answer = malloc (sizeof *answer);
  int n;

  (void)arg;
  while ((n = atomic_fetch_add (&next_order, 1)) < ORDERS)
    {
      send_order (n, answer);
      rig_sleep_ms (20);
    }
  free (answer);
  atomic_fetch_sub (&open_clients, 1);
  return NULL;
}

int
main (int argc, char **argv)
{
  static struct rig_server servers[SERVERS];

  if (argc < 2)
    return RIG_NOT_RUN;
  rig_start (argv[1]);
  rig_put_config (TIMEOUT_MS, 1000);
  for (int i = 0; i < SERVERS; i++)
    {
      servers[i].opened = forget_copy;
      rig_start_server (&servers[i], i + 1, handle);
    }
  rig_wait_served ();
  atomic_store (&copy_until_ms, rig_now_ms () + COPY_FOR_MS);
  for (int i = 0; i < CLIENTS; i++)
    {
      pthread_t thread;
      atomic_fetch_add (&open_clients, 1);
      if (pthread_create (&thread, NULL, send_orders, NULL) != 0)
        rig_exit (RIG_NOT_RUN, "cannot start a thread");
      pthread_detach (thread);
    }
  while (atomic_load (&open_clients) > 0)
    rig_sleep_ms (20);
  if (atomic_load (&served) < ORDERS / 4)
    rig_exit (RIG_NOT_RUN, "only %d of %d orders were answered",
              atomic_load (&served), ORDERS);
  rig_exit (atomic_load (&foreign) > 0 ? RIG_BROKEN : RIG_HELD,
            "%d of %d orders answered with success, %d of them with the "
            "answer to another request; %d late copies",
            atomic_load (&served), ORDERS, atomic_load (&foreign),
            atomic_load (&sent_copies));
}
