/* Ejection permits of the control client.

   For each service, a request tells the group how many permits this process
   wants in total.  At most one request of a service is in flight; see
   permit.h.  */

#include "control_client_internal.h"

#include <stdlib.h>
#include <utlist.h>

/* A caller that waits for a permit.  */
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
  uint64_t in_use;         /* Permits given to callers of this module.  */
  uint64_t held;           /* Permits that the group has confirmed.  */
  uint64_t requested;      /* Total in the last request.  */
  uint64_t revoking_count; /* Permits in use that are being revoked.  */
  uint64_t sequence;       /* Number of the last request.  */
  struct waiter *waiters;
  struct ab_request *request; /* In flight, or null.  */
  UT_hash_handle hh;
};

struct permit_request
{
  struct ab_request request;
  struct ab_permit_service *service;
};

static void request_permits (struct ab_control_client *client,
                             struct ab_permit_service *service);

static struct ab_permit_service *
get_or_add_service (struct ab_control_client *client, struct ab_chunk name)
{
  struct ab_permit_service *service;

  HASH_FIND (hh, client->permits, name.data, name.len, service);
  if (service || name.len >= AB_NAME_BYTES)
    return service;
  service = calloc (1, sizeof *service);
  if (!service)
    return NULL;
  ab_chunk_copy_bounded (name, service->name, sizeof service->name);
  HASH_ADD_STR (client->permits, name, service);
  return service;
}

/* Returns how many permits are in use or waited for.  */
static uint64_t
wanted_count (const struct ab_permit_service *service)
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

  /* A waiter that a callback adds comes after LAST and is not failed here.  */
  while (last && last->next)
    last = last->next;
  for (bool more = last; more;)
    {
      more = service->waiters != last;
      finish_first_waiter (service, rc);
    }
}

/* Calls the revocation handler once for each permit to release, until the
   release of REVOKED permits, or of all in use if there are fewer, has been
   requested.  */
static void
revoke (struct ab_control_client *client, struct ab_permit_service *service,
        uint64_t revoked)
{
  while (service->revoking_count < revoked
         && service->revoking_count < service->in_use)
    {
      service->revoking_count++;
      if (client->revoke_handler)
        client->revoke_handler (client->revoke_ctx,
                                ab_chunk_str (service->name));
    }
}

static void
permit_reply (struct ab_request *request, const struct ab_control_reply *reply)
{
  struct ab_permit_service *service
      = ((struct permit_request *)request)->service;
  struct ab_control_client *client = request->client;
  uint64_t requested = service->requested;

  /* AB_ERR_FULL: the request had no effect.  A request that lowers the total
     is retried until it takes effect.  */
  if (reply->rc == AB_ERR_FULL)
    fail_waiters (service, AB_ERR_FULL);
  if (reply->rc == AB_ERR_FULL && wanted_count (service) < service->held)
    return;
  service->request = NULL;
  ab_request_free (request);
  if (reply->rc == 0 || reply->rc == AB_ERR_STALE)
    service->held = reply->rc == 0 ? reply->held : 0;
  while (service->waiters && service->in_use < service->held)
    finish_first_waiter (service, 0);
  if (reply->rc == AB_ERR_STALE)
    {
      /* The group no longer counts any permit of this process.  */
      fail_waiters (service, AB_ERR_DENIED);
      revoke (client, service, service->in_use);
      return;
    }
  if (service->held < requested)
    fail_waiters (service, AB_ERR_FULL);
  request_permits (client, service);
}

static const struct ab_request_ops permit_ops = { .reply = permit_reply };

/* Sends the number of wanted permits to the group, unless the group has
   confirmed this number or a request is in flight.  */
static void
request_permits (struct ab_control_client *client,
                 struct ab_permit_service *service)
{
  struct ab_command command = { .type = AB_COMMAND_PERMIT_SET };
  struct ab_request *request;

  if (service->request || wanted_count (service) == service->held)
    return;
  request = ab_request_new (
      client, sizeof (struct permit_request), &permit_ops,
      wanted_count (service) < service->held ? AB_FRAME_PERMIT_RELEASE
                                             : AB_FRAME_PERMIT_ACQUIRE,
      0);
  if (!request)
    return;
  ((struct permit_request *)request)->service = service;
  memcpy (command.service, service->name, sizeof command.service);
  service->requested = wanted_count (service);
  command.count = service->requested;
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
  struct ab_permit_service *service = get_or_add_service (client, name);
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
  request_permits (client, service);
}

void
ab_control_client_permit_release (struct ab_control_client *client,
                                  struct ab_chunk name)
{
  struct ab_permit_service *service = get_or_add_service (client, name);

  if (!service || service->in_use == 0)
    return;
  service->in_use--;
  if (service->revoking_count > 0)
    service->revoking_count--;
  request_permits (client, service);
}

void
ab_control_client_on_revoke (struct ab_control_client *client,
                             ab_permit_revoke_handler handler, void *ctx)
{
  client->revoke_handler = handler;
  client->revoke_ctx = ctx;
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
      /* Permits that are held but not in use are released by the next
         request.  */
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
                         "asked_back", (json_int_t)s->revoking_count));
  return list;
}
