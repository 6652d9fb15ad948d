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

/* A fault of the ZeroMQ library may lose an edge-triggered event; polling
   finds the messages that were missed, and drops frames that have been pending
   for too long.  */
#define POLL_INTERVAL_MS 100
/* Maximum number of frames queued from one peer, and in the loopback
   mailbox.  */
#define RECEIVE_FRAMES 2048
/* Frames received in a row before other events of the loop are handled.  */
#define RECEIVE_BATCH 256
/* Maximum number of entries in the table of senders.  A full table is cleared;
   only a peer that sends invented host names can fill it.  */
#define SENDERS_MAX 8192
/* Once nothing has been received from the newest process of a sender for this
   long, a process with an older incarnation is accepted: a process that starts
   after its clock was set back has one.  */
#define INCARNATION_RETENTION_MS 30000
/* Shortest time between two log lines about unusable frames from one
   address.  */
#define CORRUPT_LOG_MS 10000
/* The connection that a peer opened is used for replies only if a frame was
   received from the peer this recently: a peer that has become unresponsive
   may have lost the connection unnoticed.  */
#define ROUTING_ID_MAX_AGE_MS 1000
#define ROUTING_ID_BYTES 16
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
  uint64_t heard_ms; /* Last contact with the sender, monotonic time.  */
  /* ROUTER's identifier of the incoming connection that a frame of this sender
     last came on.  */
  char routing_id[ROUTING_ID_BYTES];
  size_t routing_id_len; /* 0 if none came on an incoming connection.  */
  UT_hash_handle hh;
};

/* An address from which unusable frames have been received.  */
struct corrupt_peer
{
  char address[AB_ADDRESS_BYTES];
  uint64_t logged_ms; /* Monotonic time of the last log line; 0 if none.  */
  uint64_t count;
  UT_hash_handle hh;
};

struct handler
{
  ab_peer_handler handle;
  void *ctx;
};

/* A frame that this host sends to itself.  */
struct loopback_frame
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
  struct event *poll_timer;
  struct ab_mailbox *loopback;
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
clear_corrupt_peers (struct ab_peer_task *task)
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
find_or_add_corrupt_peer (struct ab_peer_task *task, const char *address)
{
  struct corrupt_peer *peer = NULL;

  HASH_FIND_STR (task->corrupt_peers, address, peer);
  if (peer)
    return peer;
  peer = calloc (1, sizeof *peer);
  if (!peer)
    return NULL;
  if (HASH_COUNT (task->corrupt_peers) >= CORRUPT_PEERS_MAX)
    clear_corrupt_peers (task);
  ab_chunk_copy_bounded (ab_chunk_str (address), peer->address,
                         sizeof peer->address);
  HASH_ADD_STR (task->corrupt_peers, address, peer);
  return peer;
}

static void
record_corrupt_frame (struct ab_peer_task *task, zmq_msg_t *message, int error)
{
  const char *address = zmq_msg_gets (message, "Peer-Address");
  struct corrupt_peer *peer
      = find_or_add_corrupt_peer (task, address ? address : "unknown");
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
clear_senders (struct ab_peer_task *task)
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
find_or_add_sender (struct ab_peer_task *task, struct ab_chunk name)
{
  struct sender *sender = NULL;

  HASH_FIND (hh, task->senders, name.data, name.len, sender);
  if (sender)
    return sender;
  sender = calloc (1, sizeof *sender);
  if (!sender)
    return NULL;
  if (HASH_COUNT (task->senders) >= SENDERS_MAX)
    clear_senders (task);
  ab_chunk_copy_bounded (name, sender->name, sizeof sender->name);
  HASH_ADD_KEYPTR (hh, task->senders, sender->name, name.len, sender);
  return sender;
}

/* Returns whether FRAME is from the newest process of its sender, and if so
   records its incarnation, the time and ROUTING_ID, unless that is empty.  */
static bool
check_incarnation (struct ab_peer_task *task, const struct ab_frame *frame,
                   struct ab_chunk routing_id)
{
  struct sender *sender = find_or_add_sender (task, frame->sender);
  uint64_t now = now_ms ();

  if (!sender)
    return true;
  if (frame->incarnation < sender->incarnation
      && now - sender->heard_ms < INCARNATION_RETENTION_MS)
    {
      ++*task->stale;
      return false;
    }
  sender->incarnation = frame->incarnation;
  sender->heard_ms = now;
  if (routing_id.len > 0 && routing_id.len <= ROUTING_ID_BYTES)
    {
      memcpy (sender->routing_id, routing_id.data, routing_id.len);
      sender->routing_id_len = routing_id.len;
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

/* Handles a frame that came on the incoming connection ROUTING_ID, or, if that
   is empty, on an outgoing connection.  */
static void
handle_message (struct ab_peer_task *task, zmq_msg_t *message,
                struct ab_chunk routing_id)
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
    record_corrupt_frame (task, message, rc);
  else if (check_incarnation (task, &frame, routing_id))
    deliver (task, &frame);
}

static void
on_reply (void *ctx, zmq_msg_t *message)
{
  handle_message (ctx, message, ab_chunk ("", 0));
}

/* Receives and handles one message of two parts, routing id and frame.
   Returns false when none is pending.  */
static bool
receive_message (struct ab_peer_task *task)
{
  zmq_msg_t part;
  char routing_id[ROUTING_ID_BYTES];
  size_t routing_id_len = 0;
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
      if (++parts == 1 && zmq_msg_size (&part) <= sizeof routing_id)
        {
          routing_id_len = zmq_msg_size (&part);
          memcpy (routing_id, zmq_msg_data (&part), routing_id_len);
        }
      if (parts == 2 && !more)
        handle_message (task, &part, ab_chunk (routing_id, routing_id_len));
      else if (!more)
        record_corrupt_frame (task, &part, AB_ERR_CORRUPT);
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
on_poll_timer (evutil_socket_t fd, short events, void *ctx)
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
on_loopback_frame (void *ctx, struct ab_message *message)
{
  struct ab_peer_task *task = ctx;
  struct loopback_frame *loopback = (struct loopback_frame *)message;
  struct ab_frame frame
      = { .type = loopback->type,
          .sender = ab_chunk_str (task->daemon->settings->host),
          .incarnation = task->daemon->incarnation,
          .body = ab_chunk (loopback->body, loopback->len) };

  deliver (task, &frame);
}

/* Makes the ROUTER socket accept only peers that have an accepted key.  */
static int
enable_curve (struct ab_peer_task *task)
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
      || ab_peer_socket_set (router, ZMQ_SNDHWM, AB_PEER_SEND_QUEUE_FRAMES) < 0
      || ab_peer_socket_set (router, ZMQ_ROUTER_MANDATORY, 1) < 0
      || ab_peer_socket_set (router, ZMQ_IPV6, address[0] == '[') < 0
      || (task->zap && enable_curve (task) < 0))
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
  ab_chunk_copy_bounded (ab_chunk_str (endpoint + strlen ("tcp://")),
                         task->address, sizeof task->address);
  return 0;
}

static void
init_counters (struct ab_peer_task *task)
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
start_poll_timer (struct ab_peer_task *task)
{
  const struct timeval interval = { .tv_usec = POLL_INTERVAL_MS * 1000 };

  task->poll_timer
      = event_new (task->daemon->base, -1, EV_PERSIST, on_poll_timer, task);
  if (!task->poll_timer || event_add (task->poll_timer, &interval) < 0)
    return AB_ERR_UNAVAILABLE;
  return 0;
}

static int
open_task (struct ab_peer_task *task, char error[AB_CONF_ERROR_BYTES])
{
  const struct ab_key_settings *keys = &task->daemon->settings->keys;
  struct event_base *base = task->daemon->base;
  bool unencrypted = !keys->fleet_file[0];
  int rc = 0;

  if (unencrypted)
    AB_LOG (AB_LOG_WARN, "peer_keys_none",
            ab_log_str ("effect", "peers are not authenticated"));
  else
    rc = ab_curve_pair_load (keys->fleet_file, &task->pair, error);
  if (rc < 0)
    return rc;
  init_counters (task);
  task->context = zmq_ctx_new ();
  task->loopback = ab_mailbox_new (base, on_loopback_frame, task);
  if (!task->context || !task->loopback)
    return AB_ERR_MEMORY;
  if (!unencrypted)
    rc = ab_peer_zap_new (task->context, base, &task->zap);
  if (rc < 0)
    return rc;
  task->links = ab_peer_links_new (
      task->context, base, unencrypted ? NULL : &task->pair, on_reply, task);
  if (!task->links)
    return AB_ERR_MEMORY;
  if (!unencrypted)
    rc = ab_peer_task_accept_keys (
        task, (const char (*)[AB_CURVE_KEY_BYTES])keys->accepted_fleet,
        keys->accepted_fleet_count);
  if (rc == 0)
    rc = bind_router (task, error);
  if (rc == 0)
    rc = start_poll_timer (task);
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
clear_peers (struct ab_peer_task *task)
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
  if (task->poll_timer)
    event_free (task->poll_timer);
  ab_peer_socket_close (&task->router);
  ab_peer_links_free (task->links);
  ab_peer_zap_free (task->zap);
  if (task->loopback)
    ab_mailbox_free (task->loopback);
  if (task->context)
    zmq_ctx_term (task->context);
  clear_peers (task);
  clear_senders (task);
  clear_corrupt_peers (task);
  ab_buf_free (&task->out);
  free (task);
}

void
ab_peer_task_set_handler (struct ab_peer_task *task, enum ab_frame_type type,
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
      ab_chunk_copy_bounded (host, peer->name, sizeof peer->name);
      HASH_ADD_KEYPTR (hh, task->peers, peer->name, host.len, peer);
    }
  else if (strcmp (peer->address, address) != 0)
    ab_peer_links_close (task->links, peer->address);
  ab_chunk_copy_bounded (ab_chunk_str (address), peer->address,
                         sizeof peer->address);
  return 0;
}

void
ab_peer_task_remove_peer (struct ab_peer_task *task, struct ab_chunk host)
{
  struct peer *peer = find_peer (task, host);

  if (!peer)
    return;
  HASH_DEL (task->peers, peer);
  ab_peer_links_close (task->links, peer->address);
  free (peer);
}

static int
send_to_self (struct ab_peer_task *task, enum ab_frame_type type,
              struct ab_chunk body)
{
  struct loopback_frame *loopback;

  if (body.len > AB_FRAME_BYTES_MAX)
    return AB_ERR_TOO_LARGE;
  if (ab_mailbox_depth (task->loopback) >= RECEIVE_FRAMES)
    return AB_ERR_FULL;
  loopback = calloc (1, sizeof *loopback + body.len);
  if (!loopback)
    return AB_ERR_MEMORY;
  loopback->type = type;
  loopback->len = body.len;
  if (body.len > 0)
    memcpy (loopback->body, body.data, body.len);
  ++*task->sent[type];
  ab_mailbox_post (task->loopback, &loopback->message);
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

/* Sends a frame on the connection that HOST opened.  Returns 0,
   AB_ERR_NOT_FOUND when there is no such connection that is known to work,
   AB_ERR_FULL, or an error of ab_frame_encode.  */
static int
send_reply (struct ab_peer_task *task, struct ab_chunk host,
            enum ab_frame_type type, struct ab_chunk body)
{
  const struct sender *sender = NULL;
  void *zmq = task->router.zmq;
  int rc;

  HASH_FIND (hh, task->senders, host.data, host.len, sender);
  if (!sender || sender->routing_id_len == 0
      || now_ms () - sender->heard_ms > ROUTING_ID_MAX_AGE_MS)
    return AB_ERR_NOT_FOUND;
  rc = encode (task, type, body);
  if (rc < 0)
    return rc;
  if (zmq_send (zmq, sender->routing_id, sender->routing_id_len,
                ZMQ_DONTWAIT | ZMQ_SNDMORE)
      < 0)
    rc = zmq_errno () == EAGAIN ? AB_ERR_FULL : AB_ERR_NOT_FOUND;
  else if (zmq_send (zmq, task->out.data, task->out.len, ZMQ_DONTWAIT) < 0)
    rc = AB_ERR_FULL;
  else
    count_sent (task, type);
  /* The send may have consumed the edge that signals a received frame.  */
  ab_peer_socket_check (&task->router);
  return rc;
}

int
ab_peer_task_send (struct ab_peer_task *task, struct ab_chunk host,
                   enum ab_frame_type type, struct ab_chunk body)
{
  const struct peer *peer;

  if (ab_chunk_equal (host, ab_chunk_str (task->daemon->settings->host)))
    return send_to_self (task, type, body);
  peer = find_peer (task, host);
  if (!peer)
    return AB_ERR_NOT_FOUND;
  return ab_peer_task_send_address (task, peer->address, type, body);
}

int
ab_peer_task_reply (struct ab_peer_task *task, struct ab_chunk host,
                    enum ab_frame_type type, struct ab_chunk body)
{
  int rc = send_reply (task, host, type, body);

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
frame_counts_to_json (uint64_t *const counts[AB_FRAME_TYPE_COUNT])
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
      ab_peer_links_state (task->links), "sent",
      frame_counts_to_json (task->sent), "received",
      frame_counts_to_json (task->received), "bytes_sent",
      (json_int_t)*task->bytes_sent, "bytes_received",
      (json_int_t)*task->bytes_received, "dropped",
      (json_int_t)ab_peer_links_dropped (task->links), "unusable",
      (json_int_t)*task->corrupt, "stale", (json_int_t)*task->stale,
      "strangers_refused",
      (json_int_t)(task->zap ? ab_peer_zap_refused (task->zap) : 0));
}
