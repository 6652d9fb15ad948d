/* Ejection permits of the control client.

   For each service the group is told how many permits this process wants, one
   statement at a time; see permit.h.  */

#include "control_client_parts.h"

#include <stdlib.h>
#include <utlist.h>

struct waiter
{
  uint64_t deadline_ms;
  ab_permit_callback callback;
  void *ctx;
  struct waiter *next;
};

struct ab_permit_service
{
  char name[AB_NAME_BYTES];
  uint64_t in_use;   /* Given to callers of this module.  */
  uint64_t held;     /* As the group has confirmed.  */
  uint64_t stated;   /* In the statement under way.  */
  uint64_t revoking; /* Of those in use, asked back from their users.  */
  uint64_t sequence;
  struct waiter *waiters;
  struct ab_request *request; /* The statement under way.  */
  UT_hash_handle hh;
};

struct statement
{
  struct ab_request request;
  struct ab_permit_service *service;
};

static void state_wanted (struct ab_control_client *client,
                          struct ab_permit_service *service);

static struct ab_permit_service *
get_service (struct ab_control_client *client, struct ab_chunk name)
{
  struct ab_permit_service *service;

  HASH_FIND (hh, client->permits, name.data, name.len, service);
  if (service || name.len >= AB_NAME_BYTES)
    return service;
  service = calloc (1, sizeof *service);
  if (!service)
    return NULL;
  ab_chunk_copy (name, service->name, sizeof service->name);
  HASH_ADD_STR (client->permits, name, service);
  return service;
}

static uint64_t
wanted (const struct ab_permit_service *service)
{
  const struct waiter *waiter;
  uint64_t count;

  LL_COUNT (service->waiters, waiter, count);
  return service->in_use + count;
}

static void
finish_first_waiter (struct ab_permit_service *service, int rc)
{
  struct waiter *waiter = service->waiters;

  LL_DELETE (service->waiters, waiter);
  if (rc == 0)
    service->in_use++;
  waiter->callback (waiter->ctx, rc);
  free (waiter);
}

static void
fail_waiters (struct ab_permit_service *service, int rc)
{
  struct waiter *last = service->waiters;

  /* A callback may ask again; that waiter comes behind LAST.  */
  while (last && last->next)
    last = last->next;
  for (bool more = last; more;)
    {
      more = service->waiters != last;
      finish_first_waiter (service, rc);
    }
}

/* Asks users to give back so many permits that REVOKED are on their way.  */
static void
revoke (struct ab_control_client *client, struct ab_permit_service *service,
        uint64_t revoked)
{
  while (service->revoking < revoked && service->revoking < service->in_use)
    {
      service->revoking++;
      if (client->revoked)
        client->revoked (client->revoked_ctx, ab_chunk_str (service->name));
    }
}

static void
statement_reply (struct ab_request *request,
                 const struct ab_control_reply *reply)
{
  struct ab_permit_service *service = ((struct statement *)request)->service;
  struct ab_control_client *client = request->client;
  uint64_t stated = service->stated;

  /* The statement had no effect.  One that lowers the number is repeated
     until it has.  */
  if (reply->rc == AB_ERR_FULL)
    fail_waiters (service, AB_ERR_FULL);
  if (reply->rc == AB_ERR_FULL && wanted (service) < service->held)
    return;
  service->request = NULL;
  ab_request_free (request);
  if (reply->rc == 0 || reply->rc == AB_ERR_STALE)
    service->held = reply->rc == 0 ? reply->held : 0;
  while (service->waiters && service->in_use < service->held)
    finish_first_waiter (service, 0);
  if (reply->rc == AB_ERR_STALE)
    {
      /* The group counts no permit of this process any more.  */
      fail_waiters (service, AB_ERR_DENIED);
      revoke (client, service, service->in_use);
      return;
    }
  if (service->held < stated)
    fail_waiters (service, AB_ERR_FULL);
  state_wanted (client, service);
}

static const struct ab_request_ops statement_ops
    = { .reply = statement_reply };

/* Tells the group how many are wanted, unless it knows or is being told.  */
static void
state_wanted (struct ab_control_client *client,
              struct ab_permit_service *service)
{
  struct ab_command command = { .type = AB_COMMAND_PERMIT_SET };
  struct ab_request *request;

  if (service->request || wanted (service) == service->held)
    return;
  request = ab_request_new (client, sizeof (struct statement), &statement_ops,
                            wanted (service) < service->held
                                ? AB_FRAME_PERMIT_RELEASE
                                : AB_FRAME_PERMIT_ACQUIRE,
                            0);
  if (!request)
    return;
  ((struct statement *)request)->service = service;
  memcpy (command.service, service->name, sizeof command.service);
  service->stated = wanted (service);
  command.count = service->stated;
  command.sequence = ++service->sequence;
  if (ab_request_start (request, &command) < 0)
    {
      ab_request_free (request);
      return;
    }
  service->request = request;
}

void
ab_control_client_permit_acquire (struct ab_control_client *client,
                                  struct ab_chunk name, uint64_t deadline_ms,
                                  ab_permit_callback callback, void *ctx)
{
  struct ab_permit_service *service = get_service (client, name);
  struct waiter *waiter = service ? calloc (1, sizeof *waiter) : NULL;

  if (!waiter)
    {
      callback (ctx, AB_ERR_MEMORY);
      return;
    }
  waiter->deadline_ms = deadline_ms;
  waiter->callback = callback;
  waiter->ctx = ctx;
  LL_APPEND (service->waiters, waiter);
  state_wanted (client, service);
}

void
ab_control_client_permit_release (struct ab_control_client *client,
                                  struct ab_chunk name)
{
  struct ab_permit_service *service = get_service (client, name);

  if (!service || service->in_use == 0)
    return;
  service->in_use--;
  if (service->revoking > 0)
    service->revoking--;
  state_wanted (client, service);
}

void
ab_control_client_on_revoke (struct ab_control_client *client,
                             ab_permit_revoked handler, void *ctx)
{
  client->revoked = handler;
  client->revoked_ctx = ctx;
}

static void
expire_waiters (struct ab_permit_service *service, uint64_t now_ms)
{
  struct waiter *waiter;
  struct waiter *next;

  LL_FOREACH_SAFE (service->waiters, waiter, next)
  {
    if (now_ms < waiter->deadline_ms)
      continue;
    LL_DELETE (service->waiters, waiter);
    waiter->callback (waiter->ctx, AB_ERR_TIMEOUT);
    free (waiter);
  }
}

void
ab_client_permits_tick (struct ab_control_client *client, uint64_t now_ms)
{
  for (struct ab_permit_service *s = client->permits; s; s = s->hh.next)
    expire_waiters (s, now_ms);
}

void
ab_client_permits_revoke (struct ab_control_client *client,
                          const struct ab_frame *frame)
{
  struct ab_command command;
  struct ab_permit_service *service;

  if (ab_command_decode (frame->body, &command) == 0
      && command.type == AB_COMMAND_PERMIT_SET
      && command.incarnation == client->daemon->incarnation)
    {
      HASH_FIND_STR (client->permits, command.service, service);
      /* What is held but not in use goes back by the next statement.  */
      if (service && command.sequence == service->sequence)
        revoke (client, service, command.count);
    }
  ab_command_free (&command);
}

void
ab_client_permits_free (struct ab_control_client *client)
{
  struct ab_permit_service *service = client->permits;

  HASH_CLEAR (hh, client->permits);
  while (service)
    {
      struct ab_permit_service *next = service->hh.next;
      struct waiter *waiter;
      struct waiter *next_waiter;
      LL_FOREACH_SAFE (service->waiters, waiter, next_waiter) free (waiter);
      free (service);
      service = next;
    }
}

json_t *
ab_client_permits_state (const struct ab_control_client *client)
{
  json_t *list = json_array ();

  for (const struct ab_permit_service *s = client->permits; s; s = s->hh.next)
    json_array_append_new (
        list, json_pack ("{s:s, s:I, s:I, s:I}", "service", s->name, "held",
                         (json_int_t)s->held, "in_use", (json_int_t)s->in_use,
                         "asked_back", (json_int_t)s->revoking));
  return list;
}
