/* Servers answer some requests twice.  The copy comes late, where the answer
   to the next request on the connection is expected.  Clients send orders with
   ids of 140 characters.  */

#include "rig.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SERVERS 4
#define ORDERS 60
#define ID_CHARS 140
#define TIMEOUT_MS 4000
#define COPY_EVERY 3
#define RUN_MS 80
#define FDS_MAX 1024

/* The last answer of a connection that is sent again, by descriptor.  */
static struct rig_message again[FDS_MAX];
static atomic_int answers;

static bool
handle (struct rig_server *server, int fd, const struct rig_message *request)
{
  char path[64];
  char body[128];
  struct rig_message *copy = fd < FDS_MAX ? &again[fd] : NULL;

  if (sscanf (request->head, "%*s %63s", path) != 1)
    return false;
  snprintf (body, sizeof body, "answer to %s", path);
  if (copy && copy->status)
    {
      copy->status = 0;
      rig_record ("server %d: late copy of the answer to %.16s...",
                  server->number, copy->id);
      if (!rig_answer (fd, copy, 200, "", copy->body))
        return false;
    }
  rig_record ("server %d: runs %s of %.16s...", server->number, path,
              request->id);
  rig_sleep_ms (RUN_MS);
  if (rig_trouble && copy && strstr (path, "/order/")
      && atomic_fetch_add (&answers, 1) % COPY_EVERY == 0)
    {
      copy->status = 200;
      memcpy (copy->id, request->id, sizeof copy->id);
      snprintf (copy->body, sizeof copy->body, "%s", body);
    }
  else if (copy)
    copy->status = 0;
  return rig_answer (fd, request, 200, "", body);
}

int
main (int argc, char **argv)
{
  static struct rig_server servers[SERVERS];
  static struct rig_message answer;
  int served = 0;
  int foreign = 0;

  if (argc < 2)
    return RIG_NOT_RUN;
  rig_start (argv[1]);
  rig_put_config (TIMEOUT_MS, 1000);
  for (int i = 0; i < SERVERS; i++)
    rig_start_server (&servers[i], i + 1, handle);
  rig_wait_served ();
  for (int n = 0; n < ORDERS; n++)
    {
      char id[ID_CHARS + 1];
      char path[32];
      char wanted[64];
      int status;
      rig_new_id (id, ID_CHARS);
      snprintf (path, sizeof path, "/order/%d", n);
      snprintf (wanted, sizeof wanted, "answer to %s", path);
      status = rig_request (n % RIG_MACHINES + 1, "POST", path, id, "", "x",
                            TIMEOUT_MS, &answer);
      rig_record ("client: %s with id %.16s... got %d, id %.16s..., '%s'",
                  path, id, status, answer.id, answer.body);
      served += status == 200;
      if (status == 200
          && (strcmp (answer.body, wanted) != 0
              || strcmp (answer.id, id) != 0))
        {
          foreign++;
          rig_record ("client: MIXED: this answer belongs to another request");
        }
      rig_sleep_ms (30);
    }
  if (served < ORDERS / 4)
    rig_exit (RIG_NOT_RUN, "only %d of %d orders were answered", served,
              ORDERS);
  rig_exit (foreign > 0 ? RIG_BROKEN : RIG_HELD,
            "%d of %d orders answered with success, %d with the answer to "
            "another request",
            served, ORDERS, foreign);
}
