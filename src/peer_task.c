#include "peer_task.h"

#include <errno.h>
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <uthash.h>
#include <zmq.h>

#include "clock.h"
#include "error.h"
#include "keys.h"
#include "log.h"
#include "mailbox.h"
#include "peer_link_task.h"
#include "peer_socket_task.h"
#include "peer_zap_task.h"

/* Edge-triggered events may be lost to a library fault; this finds what was
   left, and drops frames that waited too long.  */
#define SAFETY_INTERVAL_MS 100
/* From one peer, and in the mailbox of frames to this host itself.  */
#define RECEIVE_FRAMES 2048
/* Frames handled before other events of the loop get their turn.  */
#define RECEIVE_BATCH 256
/* Names remembered; all are forgotten when there are more, which only a peer
   that makes names up can cause.  */
#define SENDERS_MAX 8192
/* A sender whose newer process has been silent for so long may come back with
   an older incarnation, which a clock that was set back gives.  */
#define INCARNATION_KEEP_MS 30000
#define CORRUPT_LOG_MS 10000
/* A peer that was heard this recently is answered on its own connection; one
   that has gone silent may have lost it without notice.  */
#define ROUTE_FRESH_MS 1000
#define ROUTE_BYTES 16
#define CORRUPT_PEERS_MAX 256
#define ENDPOINT_BYTES (AB_ADDRESS_BYTES + 8)
#define COUNTER_NAME_BYTES 96

struct peer
{
  char name[AB_HOST_NAME_BYTES];
  char address[AB_ADDRESS_BYTES];
  UT_hash_handle hh;
};

struct sender
{
  char name[AB_HOST_NAME_BYTES];
  uint64_t incarnation;
  uint64_t heard_ms;
  /* The router's name of the connection that the last frame came on.  */
  char route[ROUTE_BYTES];
  size_t route_len; /* 0: it came on a connection made here.  */
  UT_hash_handle hh;
};

/* Where unusable frames came from.  */
struct corrupt_peer
{
  char address[AB_ADDRESS_BYTES];
  uint64_t logged_ms;
  uint64_t count;
  UT_hash_handle hh;
};

struct handler
{
  ab_peer_handler handle;
  void *ctx;
};

/* A frame to this host itself.  */
struct own_frame
{
  struct ab_message message;
  enum ab_frame_type type;
  size_t len;
  char body[];
};

struct ab_peer_task
{
  struct ab_daemon *daemon;
  void *context;
  struct ab_peer_zap *zap;
  struct ab_peer_links *links;
  struct ab_peer_socket router;
  struct event *safety;
  struct ab_mailbox *own;
  struct ab_curve_pair pair;
  char address[AB_ADDRESS_BYTES];
  struct peer *peers;
  struct sender *senders;
  struct corrupt_peer *corrupt_peers;
  struct handler handlers[AB_FRAME_TYPE_COUNT];
  uint64_t *sent[AB_FRAME_TYPE_COUNT];
  uint64_t *received[AB_FRAME_TYPE_COUNT];
  uint64_t *bytes_sent;
  uint64_t *bytes_received;
  uint64_t *corrupt;
  uint64_t *stale;
  struct ab_buf out;
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static void
forget_corrupt_peers (struct ab_peer_task *task)
{
  struct corrupt_peer *peer = task->corrupt_peers;
  struct corrupt_peer *next;

  HASH_CLEAR (hh, task->corrupt_peers);
  for (; peer; peer = next)
    {
      next = peer->hh.next;
      free (peer);
    }
}

static struct corrupt_peer *
find_corrupt_peer (struct ab_peer_task *task, const char *address)
{
  struct corrupt_peer *peer = NULL;

  HASH_FIND_STR (task->corrupt_peers, address, peer);
  if (peer)
    return peer;
  peer = calloc (1, sizeof *peer);
  if (!peer)
    return NULL;
  if (HASH_COUNT (task->corrupt_peers) >= CORRUPT_PEERS_MAX)
    forget_corrupt_peers (task);
  ab_chunk_copy (ab_chunk_str (address), peer->address, sizeof peer->address);
  HASH_ADD_STR (task->corrupt_peers, address, peer);
  return peer;
}

static void
note_corrupt (struct ab_peer_task *task, zmq_msg_t *message, int error)
{
  const char *address = zmq_msg_gets (message, "Peer-Address");
  struct corrupt_peer *peer
      = find_corrupt_peer (task, address ? address : "unknown");
  uint64_t now = now_ms ();

  ++*task->corrupt;
  if (!peer)
    return;
  peer->count++;
  if (peer->logged_ms && now - peer->logged_ms < CORRUPT_LOG_MS)
    return;
  peer->logged_ms = now;
  AB_LOG (AB_LOG_WARN, "peer_frame_unusable",
          ab_log_str ("address", peer->address),
          ab_log_str ("reason", ab_strerror (error)),
          ab_log_int ("count", (int64_t)peer->count));
}

static void
forget_senders (struct ab_peer_task *task)
{
  struct sender *sender = task->senders;
  struct sender *next;

  HASH_CLEAR (hh, task->senders);
  for (; sender; sender = next)
    {
      next = sender->hh.next;
      free (sender);
    }
}

static struct sender *
find_sender (struct ab_peer_task *task, struct ab_chunk name)
{
  struct sender *sender = NULL;

  HASH_FIND (hh, task->senders, name.data, name.len, sender);
  if (sender)
    return sender;
  sender = calloc (1, sizeof *sender);
  if (!sender)
    return NULL;
  if (HASH_COUNT (task->senders) >= SENDERS_MAX)
    forget_senders (task);
  ab_chunk_copy (name, sender->name, sizeof sender->name);
  HASH_ADD_KEYPTR (hh, task->senders, sender->name, name.len, sender);
  return sender;
}

/* Whether a frame, which came by ROUTE, is from the newest process of its
   sender.  */
static bool
is_current (struct ab_peer_task *task, const struct ab_frame *frame,
            struct ab_chunk route)
{
  struct sender *sender = find_sender (task, frame->sender);
  uint64_t now = now_ms ();

  if (!sender)
    return true;
  if (frame->incarnation < sender->incarnation
      && now - sender->heard_ms < INCARNATION_KEEP_MS)
    {
      ++*task->stale;
      return false;
    }
  sender->incarnation = frame->incarnation;
  sender->heard_ms = now;
  if (route.len > 0 && route.len <= ROUTE_BYTES)
    {
      memcpy (sender->route, route.data, route.len);
      sender->route_len = route.len;
    }
  return true;
}

static void
deliver (struct ab_peer_task *task, const struct ab_frame *frame)
{
  const struct handler *handler = &task->handlers[frame->type];

  ++*task->received[frame->type];
  if (handler->handle)
    handler->handle (handler->ctx, frame);
}

/* Handles a frame that came by ROUTE; empty: on a connection made here.  */
static void
handle_message (struct ab_peer_task *task, zmq_msg_t *message,
                struct ab_chunk route)
{
  struct ab_chunk input
      = ab_chunk (zmq_msg_data (message), zmq_msg_size (message));
  struct ab_frame frame;
  int rc = ab_frame_decode (input, &frame);

  *task->bytes_received += input.len;
  if (rc == 0
      && (frame.sender.len == 0
          || memchr (frame.sender.data, 0, frame.sender.len)))
    rc = AB_ERR_CORRUPT;
  if (rc < 0)
    note_corrupt (task, message, rc);
  else if (is_current (task, &frame, route))
    deliver (task, &frame);
}

static void
on_answer (void *ctx, zmq_msg_t *message)
{
  handle_message (ctx, message, ab_chunk ("", 0));
}

/* Receives one message of two parts, routing id and frame; false when none
   waits.  */
static bool
receive_message (struct ab_peer_task *task)
{
  zmq_msg_t part;
  char route[ROUTE_BYTES];
  size_t route_len = 0;
  int parts = 0;
  bool more;

  do
    {
      zmq_msg_init (&part);
      if (zmq_msg_recv (&part, task->router.zmq, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (&part);
          return false;
        }
      more = zmq_msg_more (&part);
      if (++parts == 1 && zmq_msg_size (&part) <= sizeof route)
        {
          route_len = zmq_msg_size (&part);
          memcpy (route, zmq_msg_data (&part), route_len);
        }
      if (parts == 2 && !more)
        handle_message (task, &part, ab_chunk (route, route_len));
      else if (!more)
        note_corrupt (task, &part, AB_ERR_CORRUPT);
      zmq_msg_close (&part);
    }
  while (more);
  return true;
}

static void
on_router_ready (void *ctx)
{
  struct ab_peer_task *task = ctx;

  for (int i = 0; i < RECEIVE_BATCH; i++)
    if (!receive_message (task))
      return;
  ab_peer_socket_check (&task->router);
}

static void
on_safety (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_peer_task *task = ctx;

  (void)fd;
  (void)events;
  if (task->zap)
    ab_peer_zap_poll (task->zap);
  ab_peer_links_poll (task->links, now_ms ());
  ab_peer_socket_check (&task->router);
}

static void
on_own_frame (void *ctx, struct ab_message *message)
{
  struct ab_peer_task *task = ctx;
  struct own_frame *own = (struct own_frame *)message;
  struct ab_frame frame
      = { .type = own->type,
          .sender = ab_chunk_str (task->daemon->settings->host),
          .incarnation = task->daemon->incarnation,
          .body = ab_chunk (own->body, own->len) };

  deliver (task, &frame);
}

/* Makes the router accept peers with a fleet key only.  */
static int
require_keys (struct ab_peer_task *task)
{
  void *zmq = task->router.zmq;

  if (ab_peer_socket_set (&task->router, ZMQ_CURVE_SERVER, 1) < 0
      || zmq_setsockopt (zmq, ZMQ_CURVE_SECRETKEY, task->pair.secret_key,
                         AB_CURVE_KEY_BYTES)
             < 0
      || zmq_setsockopt (zmq, ZMQ_ZAP_DOMAIN, AB_PEER_ZAP_DOMAIN,
                         strlen (AB_PEER_ZAP_DOMAIN))
             < 0)
    return AB_ERR_UNAVAILABLE;
  return 0;
}

static int
bind_router (struct ab_peer_task *task, char error[AB_CONF_ERROR_BYTES])
{
  const char *address = task->daemon->settings->listen.peers;
  struct ab_peer_socket *router = &task->router;
  char endpoint[ENDPOINT_BYTES];
  size_t size = sizeof endpoint;
  int64_t max_bytes = AB_FRAME_BYTES_MAX;
  int rc;

  router->ready = on_router_ready;
  router->ctx = task;
  rc = ab_peer_socket_open (router, task->context, ZMQ_ROUTER,
                            task->daemon->base);
  if (rc < 0)
    return rc;
  if (ab_peer_socket_set (router, ZMQ_RCVHWM, RECEIVE_FRAMES) < 0
      || zmq_setsockopt (router->zmq, ZMQ_MAXMSGSIZE, &max_bytes,
                         sizeof max_bytes)
             < 0
      || ab_peer_socket_set (router, ZMQ_LINGER, 0) < 0
      || ab_peer_socket_set (router, ZMQ_SNDHWM, AB_PEER_SEND_FRAMES) < 0
      || ab_peer_socket_set (router, ZMQ_ROUTER_MANDATORY, 1) < 0
      || ab_peer_socket_set (router, ZMQ_IPV6, address[0] == '[') < 0
      || (task->zap && require_keys (task) < 0))
    return AB_ERR_UNAVAILABLE;
  snprintf (endpoint, sizeof endpoint, "tcp://%s", address);
  if (zmq_bind (router->zmq, endpoint) < 0)
    {
      snprintf (error, AB_CONF_ERROR_BYTES,
                "cannot listen for peers at %s: %s", address,
                zmq_strerror (zmq_errno ()));
      return AB_ERR_IO;
    }
  zmq_getsockopt (router->zmq, ZMQ_LAST_ENDPOINT, endpoint, &size);
  ab_chunk_copy (ab_chunk_str (endpoint + strlen ("tcp://")), task->address,
                 sizeof task->address);
  return 0;
}

static void
find_counters (struct ab_peer_task *task)
{
  struct ab_counters *counters = task->daemon->counters;
  char name[COUNTER_NAME_BYTES];

  for (int type = 1; type < AB_FRAME_TYPE_COUNT; type++)
    {
      const char *text = ab_frame_type_name ((enum ab_frame_type)type);
      snprintf (name, sizeof name, "ab_peer_frames_sent_total{type=\"%s\"}",
                text);
      task->sent[type] = ab_counter (counters, name);
      snprintf (name, sizeof name,
                "ab_peer_frames_received_total{type=\"%s\"}", text);
      task->received[type] = ab_counter (counters, name);
    }
  task->bytes_sent = ab_counter (counters, "ab_peer_bytes_sent_total");
  task->bytes_received = ab_counter (counters, "ab_peer_bytes_received_total");
  task->corrupt = ab_counter (counters, "ab_peer_frames_unusable_total");
  task->stale = ab_counter (counters, "ab_peer_frames_stale_total");
}

static int
start_timer (struct ab_peer_task *task)
{
  const struct timeval interval = { .tv_usec = SAFETY_INTERVAL_MS * 1000 };

  task->safety
      = event_new (task->daemon->base, -1, EV_PERSIST, on_safety, task);
  if (!task->safety || event_add (task->safety, &interval) < 0)
    return AB_ERR_UNAVAILABLE;
  return 0;
}

static int
open_task (struct ab_peer_task *task, char error[AB_CONF_ERROR_BYTES])
{
  const struct ab_key_settings *keys = &task->daemon->settings->keys;
  struct event_base *base = task->daemon->base;
  bool plain = !keys->fleet_file[0];
  int rc = 0;

  if (plain)
    AB_LOG (AB_LOG_WARN, "peer_keys_none",
            ab_log_str ("effect", "peers are not authenticated"));
  else
    rc = ab_curve_pair_load (keys->fleet_file, &task->pair, error);
  if (rc < 0)
    return rc;
  find_counters (task);
  task->context = zmq_ctx_new ();
  task->own = ab_mailbox_new (base, on_own_frame, task);
  if (!task->context || !task->own)
    return AB_ERR_MEMORY;
  if (!plain)
    rc = ab_peer_zap_new (task->context, base, &task->zap);
  if (rc < 0)
    return rc;
  task->links = ab_peer_links_new (
      task->context, base, plain ? NULL : &task->pair, on_answer, task);
  if (!task->links)
    return AB_ERR_MEMORY;
  if (!plain)
    rc = ab_peer_task_accept_keys (
        task, (const char (*)[AB_CURVE_KEY_BYTES])keys->accepted_fleet,
        keys->accepted_fleet_count);
  if (rc == 0)
    rc = bind_router (task, error);
  if (rc == 0)
    rc = start_timer (task);
  return rc;
}

int
ab_peer_task_new (struct ab_daemon *daemon, struct ab_peer_task **task,
                  char error[AB_CONF_ERROR_BYTES])
{
  struct ab_peer_task *result = calloc (1, sizeof *result);
  int rc;

  *task = NULL;
  error[0] = '\0';
  if (!result)
    return AB_ERR_MEMORY;
  result->daemon = daemon;
  rc = open_task (result, error);
  if (rc == 0)
    {
      *task = result;
      return 0;
    }
  if (!error[0])
    snprintf (error, AB_CONF_ERROR_BYTES, "cannot start the peer socket: %s",
              ab_strerror (rc));
  ab_peer_task_free (result);
  return rc;
}

static void
forget_peers (struct ab_peer_task *task)
{
  struct peer *peer = task->peers;
  struct peer *next;

  HASH_CLEAR (hh, task->peers);
  for (; peer; peer = next)
    {
      next = peer->hh.next;
      free (peer);
    }
}

void
ab_peer_task_free (struct ab_peer_task *task)
{
  if (!task)
    return;
  if (task->safety)
    event_free (task->safety);
  ab_peer_socket_close (&task->router);
  ab_peer_links_free (task->links);
  ab_peer_zap_free (task->zap);
  if (task->own)
    ab_mailbox_free (task->own);
  if (task->context)
    zmq_ctx_term (task->context);
  forget_peers (task);
  forget_senders (task);
  forget_corrupt_peers (task);
  ab_buf_free (&task->out);
  free (task);
}

void
ab_peer_task_handle (struct ab_peer_task *task, enum ab_frame_type type,
                     ab_peer_handler handler, void *ctx)
{
  task->handlers[type] = (struct handler){ .handle = handler, .ctx = ctx };
}

static struct peer *
find_peer (const struct ab_peer_task *task, struct ab_chunk host)
{
  struct peer *peer = NULL;

  HASH_FIND (hh, task->peers, host.data, host.len, peer);
  return peer;
}

int
ab_peer_task_set_address (struct ab_peer_task *task, struct ab_chunk host,
                          const char *address)
{
  struct peer *peer = find_peer (task, host);

  if (host.len >= AB_HOST_NAME_BYTES || strlen (address) >= AB_ADDRESS_BYTES)
    return AB_ERR_TOO_LARGE;
  if (!peer)
    {
      peer = calloc (1, sizeof *peer);
      if (!peer)
        return AB_ERR_MEMORY;
      ab_chunk_copy (host, peer->name, sizeof peer->name);
      HASH_ADD_KEYPTR (hh, task->peers, peer->name, host.len, peer);
    }
  else if (strcmp (peer->address, address) != 0)
    ab_peer_links_close (task->links, peer->address);
  ab_chunk_copy (ab_chunk_str (address), peer->address, sizeof peer->address);
  return 0;
}

void
ab_peer_task_forget (struct ab_peer_task *task, struct ab_chunk host)
{
  struct peer *peer = find_peer (task, host);

  if (!peer)
    return;
  HASH_DEL (task->peers, peer);
  ab_peer_links_close (task->links, peer->address);
  free (peer);
}

static int
send_own (struct ab_peer_task *task, enum ab_frame_type type,
          struct ab_chunk body)
{
  struct own_frame *own;

  if (body.len > AB_FRAME_BYTES_MAX)
    return AB_ERR_TOO_LARGE;
  if (ab_mailbox_depth (task->own) >= RECEIVE_FRAMES)
    return AB_ERR_FULL;
  own = calloc (1, sizeof *own + body.len);
  if (!own)
    return AB_ERR_MEMORY;
  own->type = type;
  own->len = body.len;
  if (body.len > 0)
    memcpy (own->body, body.data, body.len);
  ++*task->sent[type];
  ab_mailbox_post (task->own, &own->message);
  return 0;
}

static int
encode (struct ab_peer_task *task, enum ab_frame_type type,
        struct ab_chunk body)
{
  struct ab_frame frame
      = { .type = type,
          .sender = ab_chunk_str (task->daemon->settings->host),
          .incarnation = task->daemon->incarnation,
          .body = body };

  ab_buf_clear (&task->out);
  return ab_frame_encode (&frame, &task->out);
}

static void
count_sent (struct ab_peer_task *task, enum ab_frame_type type)
{
  ++*task->sent[type];
  *task->bytes_sent += task->out.len;
}

int
ab_peer_task_send_address (struct ab_peer_task *task, const char *address,
                           enum ab_frame_type type, struct ab_chunk body)
{
  int rc = encode (task, type, body);

  if (rc == 0)
    rc = ab_peer_links_send (task->links, address, ab_buf_chunk (&task->out),
                             now_ms ());
  if (rc == 0)
    count_sent (task, type);
  return rc;
}

/* Sends on the connection that HOST made.  AB_ERR_NOT_FOUND when there is none
   that is known to work, AB_ERR_FULL.  */
static int
send_back (struct ab_peer_task *task, struct ab_chunk host,
           enum ab_frame_type type, struct ab_chunk body)
{
  const struct sender *sender = NULL;
  void *zmq = task->router.zmq;
  int rc;

  HASH_FIND (hh, task->senders, host.data, host.len, sender);
  if (!sender || sender->route_len == 0
      || now_ms () - sender->heard_ms > ROUTE_FRESH_MS)
    return AB_ERR_NOT_FOUND;
  rc = encode (task, type, body);
  if (rc < 0)
    return rc;
  if (zmq_send (zmq, sender->route, sender->route_len,
                ZMQ_DONTWAIT | ZMQ_SNDMORE)
      < 0)
    rc = zmq_errno () == EAGAIN ? AB_ERR_FULL : AB_ERR_NOT_FOUND;
  else if (zmq_send (zmq, task->out.data, task->out.len, ZMQ_DONTWAIT) < 0)
    rc = AB_ERR_FULL;
  else
    count_sent (task, type);
  /* Sending may take the notice of a frame that has arrived.  */
  ab_peer_socket_check (&task->router);
  return rc;
}

int
ab_peer_task_send (struct ab_peer_task *task, struct ab_chunk host,
                   enum ab_frame_type type, struct ab_chunk body)
{
  const struct peer *peer;

  if (ab_chunk_equal (host, ab_chunk_str (task->daemon->settings->host)))
    return send_own (task, type, body);
  peer = find_peer (task, host);
  if (!peer)
    return AB_ERR_NOT_FOUND;
  return ab_peer_task_send_address (task, peer->address, type, body);
}

int
ab_peer_task_answer (struct ab_peer_task *task, struct ab_chunk host,
                     enum ab_frame_type type, struct ab_chunk body)
{
  int rc = send_back (task, host, type, body);

  return rc == AB_ERR_NOT_FOUND ? ab_peer_task_send (task, host, type, body)
                                : rc;
}

const char *
ab_peer_task_address (const struct ab_peer_task *task)
{
  return task->address;
}

int
ab_peer_task_accept_keys (struct ab_peer_task *task,
                          const char (*keys)[AB_CURVE_KEY_BYTES], size_t count)
{
  char all[AB_PEER_KEYS_MAX][AB_CURVE_KEY_BYTES];
  int rc;

  if (count >= AB_PEER_KEYS_MAX)
    return AB_ERR_TOO_LARGE;
  memcpy (all[0], task->pair.public_key, sizeof all[0]);
  for (size_t i = 0; i < count; i++)
    memcpy (all[i + 1], keys[i], sizeof all[0]);
  rc = ab_peer_zap_accept (task->zap, (const char (*)[AB_CURVE_KEY_BYTES])all,
                           count + 1);
  if (rc < 0)
    return rc;
  return ab_peer_links_set_keys (
      task->links, (const char (*)[AB_CURVE_KEY_BYTES])all, count + 1);
}

static json_t *
count_state (uint64_t *const counts[AB_FRAME_TYPE_COUNT])
{
  json_t *object = json_object ();

  for (int type = 1; type < AB_FRAME_TYPE_COUNT; type++)
    if (*counts[type] > 0)
      json_object_set_new (object,
                           ab_frame_type_name ((enum ab_frame_type)type),
                           json_integer ((json_int_t)*counts[type]));
  return object;
}

json_t *
ab_peer_task_state (const struct ab_peer_task *task)
{
  json_t *peers = json_object ();

  for (const struct peer *peer = task->peers; peer; peer = peer->hh.next)
    json_object_set_new (peers, peer->name, json_string (peer->address));
  return json_pack (
      "{s:s, s:o, s:o, s:o, s:o, s:I, s:I, s:I, s:I, s:I, s:I}", "address",
      task->address, "peers", peers, "links",
      ab_peer_links_state (task->links), "sent", count_state (task->sent),
      "received", count_state (task->received), "bytes_sent",
      (json_int_t)*task->bytes_sent, "bytes_received",
      (json_int_t)*task->bytes_received, "dropped",
      (json_int_t)ab_peer_links_dropped (task->links), "unusable",
      (json_int_t)*task->corrupt, "stale", (json_int_t)*task->stale,
      "strangers_refused",
      (json_int_t)(task->zap ? ab_peer_zap_refused (task->zap) : 0));
}
