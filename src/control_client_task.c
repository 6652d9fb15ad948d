#include "control_client_internal.h"

#include <stdlib.h>

#define TICK_MS 10
/* First delay before a retry: several times as long as the round trips of a
   commit across regions.  */
#define RETRY_MS 150
#define RETRY_MAX_MS 2000
#define RETRY_JITTER_MS 30
#define REDIRECT_DELAY_MS 50
#define REDIRECTS_AT_ONCE 2
/* Without a limit, background requests that became due together during an
   outage of the group would fill the peer queues.  */
#define BACKGROUND_SENDS_PER_TICK 32
#define DUE_MAX 1024

uint64_t
ab_client_now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

/* Members.  */

/* Returns the index of the member HOST, which is added if it is new; an
   ADDRESS that is not empty replaces the old one.  Returns the presumed
   leader's index if the table is full.  */
static size_t
get_or_add_member (struct ab_control_client *client, const char *host,
                   const char *address)
{
  struct ab_client_member *member;
  size_t i;

  for (i = 0; i < client->member_count; i++)
    if (strcmp (client->members[i].host, host) == 0)
      break;
  if (i == AB_CLIENT_MEMBERS_MAX)
    return client->leader_index;
  member = &client->members[i];
  if (i == client->member_count)
    client->member_count++;
  else if (address[0] == '\0' || strcmp (member->address, address) == 0)
    return i;
  ab_chunk_copy_bounded (ab_chunk_str (host), member->host,
                         sizeof member->host);
  ab_chunk_copy_bounded (ab_chunk_str (address), member->address,
                         sizeof member->address);
  if (address[0] && strcmp (host, client->daemon->settings->host) != 0)
    ab_peer_task_set_address (client->daemon->peer, ab_chunk_str (host),
                              address);
  return i;
}

/* Requests.  */

struct ab_request *
ab_request_new (struct ab_control_client *client, size_t size,
                const struct ab_request_ops *ops,
                enum ab_frame_type frame_type, uint64_t deadline_ms)
{
  struct ab_request *request = calloc (1, size);

  if (!request)
    return NULL;
  request->ops = ops;
  request->client = client;
  request->id = ++client->next_id;
  request->frame_type = frame_type;
  request->deadline_ms = deadline_ms;
  request->interval_ms = RETRY_MS;
  return request;
}

static void
send_request (struct ab_request *request, uint64_t now_ms)
{
  struct ab_control_client *client = request->client;
  const char *host = client->members[client->leader_index].host;

  request->last_member = client->leader_index;
  request->due_ms = now_ms + request->interval_ms
                    + ab_rng_below (&client->rng, RETRY_JITTER_MS);
  request->send_count++;
  ab_peer_task_send (client->daemon->peer, ab_chunk_str (host),
                     request->frame_type, ab_buf_chunk (&request->body));
}

int
ab_request_start (struct ab_request *request, struct ab_command *command)
{
  struct ab_control_client *client = request->client;
  const struct timeval tick = { .tv_usec = TICK_MS * 1000 };
  int rc;

  command->request = request->id;
  command->incarnation = client->daemon->incarnation;
  memcpy (command->host, client->daemon->settings->host, sizeof command->host);
  ab_buf_clear (&request->body);
  rc = ab_command_encode (command, &request->body);
  if (rc < 0)
    return rc;
  HASH_ADD (hh, client->requests, id, sizeof request->id, request);
  if (!evtimer_pending (client->timer, NULL))
    event_add (client->timer, &tick);
  send_request (request, ab_client_now_ms ());
  return 0;
}

void
ab_request_retry_after (struct ab_request *request, uint64_t delay_ms)
{
  request->due_ms = ab_client_now_ms () + delay_ms;
  request->interval_ms = RETRY_MS;
}

void
ab_request_free (struct ab_request *request)
{
  struct ab_control_client *client = request->client;
  struct ab_request *found;

  HASH_FIND (hh, client->requests, &request->id, sizeof request->id, found);
  if (found)
    HASH_DEL (client->requests, request);
  if (request->ops->release)
    request->ops->release (request);
  ab_buf_free (&request->body);
  free (request);
}

/* Resends a request that got no reply.  If the presumed leader answers no
   request, tries the next member, which may know the leader.  */
static void
retry_request (struct ab_request *request, uint64_t now_ms)
{
  struct ab_control_client *client = request->client;

  if (request->send_count > 0 && request->last_member == client->leader_index
      && now_ms - client->heard_ms >= RETRY_MS)
    client->leader_index = (client->leader_index + 1) % client->member_count;
  request->redirects = 0;
  if (request->deadline_ms == 0 && request->interval_ms < RETRY_MAX_MS)
    request->interval_ms *= 2;
  send_request (request, now_ms);
}

static void
tick_request (struct ab_request *request, uint64_t now_ms)
{
  if (request->deadline_ms && now_ms >= request->deadline_ms)
    request->ops->deadline (request);
  else if (now_ms >= request->due_ms)
    retry_request (request, now_ms);
}

/* Writes to DUE the ids of at most DUE_MAX requests whose deadline has passed
   or that are due for a retry; returns their number.  */
static size_t
collect_due (const struct ab_control_client *client, uint64_t now_ms,
             uint64_t *due)
{
  size_t background = 0;
  size_t count = 0;

  for (const struct ab_request *r = client->requests; r && count < DUE_MAX;
       r = r->hh.next)
    {
      if (now_ms < r->due_ms && (!r->deadline_ms || now_ms < r->deadline_ms))
        continue;
      if (!r->deadline_ms && background++ >= BACKGROUND_SENDS_PER_TICK)
        continue;
      due[count++] = r->id;
    }
  return count;
}

/* Collects the ids of all due requests before handling any: a callback may
   start and cancel other requests.  */
static void
on_tick (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_control_client *client = ctx;
  uint64_t now = ab_client_now_ms ();
  uint64_t due[DUE_MAX] = { 0 };
  size_t count = collect_due (client, now, due);

  (void)fd;
  (void)events;
  for (size_t i = 0; i < count; i++)
    {
      struct ab_request *request;
      HASH_FIND (hh, client->requests, &due[i], sizeof due[i], request);
      if (request)
        tick_request (request, now);
    }
  ab_client_permits_tick (client, now);
  if (!client->requests)
    event_del (client->timer);
}

/* Replies.  */

/* Handles a reply of SENDER, which does not lead: sends the request to the
   leader that the reply names, or later to the next member.  */
static void
follow_redirect (struct ab_request *request,
                 const struct ab_control_reply *reply, struct ab_chunk sender)
{
  struct ab_control_client *client = request->client;
  bool names_leader
      = reply->leader[0]
        && !ab_chunk_equal (sender, ab_chunk_str (reply->leader));

  if (names_leader)
    client->leader_index
        = get_or_add_member (client, reply->leader, reply->leader_address);
  if (names_leader && request->redirects++ < REDIRECTS_AT_ONCE)
    {
      send_request (request, ab_client_now_ms ());
      return;
    }
  if (!names_leader
      && ab_chunk_equal (
          sender, ab_chunk_str (client->members[client->leader_index].host)))
    client->leader_index = (client->leader_index + 1) % client->member_count;
  request->last_member = AB_CLIENT_MEMBERS_MAX;
  request->due_ms = ab_client_now_ms () + REDIRECT_DELAY_MS;
}

static void
on_reply (void *ctx, const struct ab_frame *frame)
{
  struct ab_control_client *client = ctx;
  struct ab_control_reply reply;
  struct ab_request *request;
  char sender[AB_NAME_BYTES];

  /* A reply to this host's previous process must not be matched to a request
     with the same id.  */
  if (ab_control_reply_decode (frame->body, &reply) < 0
      || reply.incarnation != client->daemon->incarnation)
    return;
  HASH_FIND (hh, client->requests, &reply.request, sizeof reply.request,
             request);
  if (reply.rc == AB_ERR_NOT_LEADER)
    {
      if (request)
        follow_redirect (request, &reply, frame->sender);
      return;
    }
  client->heard_ms = ab_client_now_ms ();
  if (ab_chunk_copy (frame->sender, sender, sizeof sender))
    client->leader_index = get_or_add_member (client, sender, "");
  if (request)
    request->ops->reply (request, &reply);
  else if (frame->type == AB_FRAME_LEDGER_REPLY)
    ab_client_release_unmatched_grant (client, &reply);
}

static void
on_revoke (void *ctx, const struct ab_frame *frame)
{
  ab_client_permits_revoke (ctx, frame);
}

/* Start and stop.  */

static void
add_members (struct ab_control_client *client)
{
  const struct ab_settings *settings = client->daemon->settings;

  for (size_t i = 0; i < settings->control_count; i++)
    get_or_add_member (client, settings->control[i].host,
                       settings->control[i].address);
  if (client->member_count > 0)
    client->leader_index = ab_rng_below (&client->rng, client->member_count);
}

int
ab_control_client_new (struct ab_daemon *daemon,
                       struct ab_control_client **result)
{
  struct ab_control_client *client = calloc (1, sizeof *client);

  *result = NULL;
  if (!client)
    return AB_ERR_MEMORY;
  client->daemon = daemon;
  ab_rng_init_system (&client->rng);
  client->timer = event_new (daemon->base, -1, EV_PERSIST, on_tick, client);
  add_members (client);
  if (!client->timer || client->member_count == 0)
    {
      if (client->timer)
        event_free (client->timer);
      free (client);
      return AB_ERR_INVALID;
    }
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_LEDGER_REPLY, on_reply,
                            client);
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_PERMIT_GRANT, on_reply,
                            client);
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_BUNDLE_REPLY, on_reply,
                            client);
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_MEMBER_REPLY, on_reply,
                            client);
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_PERMIT_REVOKE, on_revoke,
                            client);
  *result = client;
  return 0;
}

static void
remove_handlers (struct ab_control_client *client)
{
  static const enum ab_frame_type types[]
      = { AB_FRAME_LEDGER_REPLY, AB_FRAME_PERMIT_GRANT, AB_FRAME_BUNDLE_REPLY,
          AB_FRAME_MEMBER_REPLY, AB_FRAME_PERMIT_REVOKE };

  for (size_t i = 0; i < sizeof types / sizeof types[0]; i++)
    ab_peer_task_set_handler (client->daemon->peer, types[i], NULL, NULL);
}

void
ab_control_client_free (struct ab_control_client *client)
{
  struct ab_request *request;
  struct ab_held_token *token;

  if (!client)
    return;
  remove_handlers (client);
  ab_client_permits_free (client);
  while ((request = client->requests))
    ab_request_free (request);
  token = client->tokens;
  HASH_CLEAR (hh, client->tokens);
  while (token)
    {
      struct ab_held_token *next = token->hh.next;
      free (token);
      token = next;
    }
  event_free (client->timer);
  free (client);
}

size_t
ab_control_client_unconfirmed (const struct ab_control_client *client)
{
  return client->unconfirmed_count;
}

json_t *
ab_control_client_state (const struct ab_control_client *client)
{
  const struct ab_client_member *leader
      = &client->members[client->leader_index];
  json_int_t heard_ms_ago = -1;

  if (client->heard_ms)
    heard_ms_ago = (json_int_t)(ab_client_now_ms () - client->heard_ms);
  return json_pack ("{s:s, s:s, s:I, s:I, s:I, s:I, s:o}", "leader",
                    leader->host, "address", leader->address, "heard_ms_ago",
                    heard_ms_ago, "requests",
                    (json_int_t)HASH_COUNT (client->requests), "unconfirmed",
                    (json_int_t)client->unconfirmed_count, "tokens",
                    (json_int_t)HASH_COUNT (client->tokens), "permits",
                    ab_client_permits_state (client));
}
