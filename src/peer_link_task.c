#include "peer_link_task.h"

#include <stdio.h>
#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

#include "buf.h"
#include "clock.h"
#include "error.h"
#include "frame.h"
#include "peer_socket_task.h"

#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 400
/* A connection attempt across a network partition hangs, and the kernel's
   retransmissions are seconds apart, so it is aborted and retried.  */
#define CONNECT_TIMEOUT_MS 500
/* The kernel of a peer whose process is frozen keeps the TCP connection, whose
   buffers would fill with stale frames; missing heartbeats close it.  */
#define HEARTBEAT_INTERVAL_MS 600
#define HEARTBEAT_TIMEOUT_MS 1200
/* The peer closes the connection after this time without a heartbeat: a host
   that loses power leaves half-open connections that nothing else closes.  */
#define HEARTBEAT_TTL_MS 2400
#define HANDSHAKE_TIMEOUT_MS 1000
#define LINGER_MS 200
#define MONITOR_ENDPOINT_BYTES 48
/* Frames received in a row before other events of the loop are handled.  */
#define RECEIVE_BATCH 64

/* A frame that is held until the socket accepts it.  */
struct pending_frame
{
  struct ab_buf data;
  uint64_t queued_ms; /* Monotonic time.  */
  struct pending_frame *prev;
  struct pending_frame *next;
};

struct link
{
  char address[AB_ADDRESS_BYTES];
  struct ab_peer_links *owner;
  struct ab_peer_socket socket;
  /* Socket that gets the handshake's events; null when the peer can have only
     one key.  */
  void *monitor;
  size_t key_index; /* Key that the peer is assumed to have.  */
  struct pending_frame *pending;
  size_t pending_count;
  size_t pending_bytes;
  uint64_t last_send_ms; /* Monotonic time; includes pending frames.  */
  uint64_t sent;
  uint64_t dropped;
  /* Received frames are being handled, which may close the link.  */
  bool receiving;
  /* The link was closed while RECEIVING; it is freed when that ends.  */
  bool closed;
  UT_hash_handle hh;
};

struct ab_peer_links
{
  void *context;
  struct event_base *base;
  ab_peer_links_receive receive;
  void *ctx;
  struct ab_curve_pair pair;
  char keys[AB_PEER_KEYS_MAX][AB_CURVE_KEY_BYTES];
  size_t key_count;
  struct link *links;
  uint64_t dropped;
  uint64_t monitor_count; /* Opened so far; makes endpoint names unique.  */
};

struct ab_peer_links *
ab_peer_links_new (void *context, struct event_base *base,
                   const struct ab_curve_pair *pair,
                   ab_peer_links_receive receive, void *ctx)
{
  struct ab_peer_links *links = calloc (1, sizeof *links);

  if (!links)
    return NULL;
  links->context = context;
  links->base = base;
  links->receive = receive;
  links->ctx = ctx;
  if (pair)
    {
      links->pair = *pair;
      memcpy (links->keys[0], pair->public_key, AB_CURVE_KEY_BYTES);
      links->key_count = 1;
    }
  return links;
}

static void
free_pending (struct link *link, struct pending_frame *pending)
{
  DL_DELETE (link->pending, pending);
  link->pending_count--;
  link->pending_bytes -= pending->data.len;
  ab_buf_free (&pending->data);
  free (pending);
}

static void
close_sockets (struct link *link)
{
  if (link->monitor)
    {
      zmq_socket_monitor (link->socket.zmq, NULL, 0);
      zmq_close (link->monitor);
      link->monitor = NULL;
    }
  ab_peer_socket_close (&link->socket);
}

static void
free_link (struct link *link)
{
  close_sockets (link);
  while (link->pending)
    free_pending (link, link->pending);
  free (link);
}

static void
drop_link (struct ab_peer_links *links, struct link *link)
{
  HASH_DEL (links->links, link);
  if (link->receiving)
    link->closed = true;
  else
    free_link (link);
}

void
ab_peer_links_free (struct ab_peer_links *links)
{
  if (!links)
    return;
  while (links->links)
    drop_link (links, links->links);
  free (links);
}

int
ab_peer_links_set_keys (struct ab_peer_links *links,
                        const char (*keys)[AB_CURVE_KEY_BYTES], size_t count)
{
  if (count == 0 || count > AB_PEER_KEYS_MAX)
    return AB_ERR_TOO_LARGE;
  memcpy (links->keys, keys, count * sizeof keys[0]);
  links->key_count = count;
  /* A socket keeps the keys that it was opened with.  */
  while (links->links)
    drop_link (links, links->links);
  return 0;
}

/* Sends pending frames until none is left or the socket accepts no more.  */
static void
send_pending (struct link *link)
{
  while (link->pending && ab_peer_socket_writable (&link->socket))
    {
      struct ab_buf *data = &link->pending->data;
      if (zmq_send (link->socket.zmq, data->data, data->len, ZMQ_DONTWAIT) < 0)
        return;
      link->sent++;
      free_pending (link, link->pending);
    }
}

/* Handles at most RECEIVE_BATCH frames that the peer sent on this connection.
   Returns false when the socket has no more.  */
static bool
receive_frames (struct link *link)
{
  zmq_msg_t message;

  for (int i = 0; i < RECEIVE_BATCH && !link->closed; i++)
    {
      zmq_msg_init (&message);
      if (zmq_msg_recv (&message, link->socket.zmq, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (&message);
          return false;
        }
      link->owner->receive (link->owner->ctx, &message);
      zmq_msg_close (&message);
    }
  return true;
}

static void
on_ready (void *ctx)
{
  struct link *link = ctx;
  bool more;

  link->receiving = true;
  more = receive_frames (link);
  link->receiving = false;
  if (link->closed)
    {
      free_link (link);
      return;
    }
  send_pending (link);
  if (more)
    ab_peer_socket_check (&link->socket);
}

static int
set_options (struct link *link)
{
  const struct
  {
    int option;
    int value;
  } options[] = { { ZMQ_SNDHWM, AB_PEER_SEND_QUEUE_FRAMES },
                  { ZMQ_RCVHWM, AB_PEER_SEND_QUEUE_FRAMES },
                  { ZMQ_IMMEDIATE, 1 },
                  { ZMQ_LINGER, LINGER_MS },
                  { ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS },
                  { ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS },
                  { ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS },
                  { ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS },
                  { ZMQ_HEARTBEAT_TTL, HEARTBEAT_TTL_MS },
                  { ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS },
                  { ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS },
                  { ZMQ_TCP_MAXRT, HEARTBEAT_TIMEOUT_MS },
                  { ZMQ_IPV6, link->address[0] == '[' } };
  const struct ab_peer_links *links = link->owner;
  const char *server;
  void *zmq = link->socket.zmq;

  for (size_t i = 0; i < sizeof options / sizeof options[0]; i++)
    if (ab_peer_socket_set (&link->socket, options[i].option, options[i].value)
        < 0)
      return AB_ERR_UNAVAILABLE;
  if (links->key_count == 0)
    return 0;
  server = links->keys[link->key_index % links->key_count];
  if (zmq_setsockopt (zmq, ZMQ_CURVE_SERVERKEY, server, AB_CURVE_KEY_BYTES) < 0
      || zmq_setsockopt (zmq, ZMQ_CURVE_PUBLICKEY, links->pair.public_key,
                         AB_CURVE_KEY_BYTES)
             < 0
      || zmq_setsockopt (zmq, ZMQ_CURVE_SECRETKEY, links->pair.secret_key,
                         AB_CURVE_KEY_BYTES)
             < 0)
    return AB_ERR_UNAVAILABLE;
  return 0;
}

static int
open_monitor (struct link *link)
{
  char name[MONITOR_ENDPOINT_BYTES];
  int events = ZMQ_EVENT_HANDSHAKE_SUCCEEDED
               | ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL
               | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL
               | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH | ZMQ_EVENT_DISCONNECTED;

  snprintf (name, sizeof name, "inproc://peer-monitor-%llu",
            (unsigned long long)++link->owner->monitor_count);
  if (zmq_socket_monitor (link->socket.zmq, name, events) < 0)
    return AB_ERR_UNAVAILABLE;
  link->monitor = zmq_socket (link->owner->context, ZMQ_PAIR);
  if (!link->monitor || zmq_connect (link->monitor, name) < 0)
    return AB_ERR_UNAVAILABLE;
  return 0;
}

static int
open_sockets (struct link *link)
{
  char endpoint[AB_ADDRESS_BYTES + sizeof "tcp://"];
  int rc;

  link->socket.ready = on_ready;
  link->socket.ctx = link;
  rc = ab_peer_socket_open (&link->socket, link->owner->context, ZMQ_DEALER,
                            link->owner->base);
  if (rc < 0)
    return rc;
  rc = set_options (link);
  if (rc == 0 && link->owner->key_count > 1)
    rc = open_monitor (link);
  if (rc < 0)
    goto fail;
  snprintf (endpoint, sizeof endpoint, "tcp://%s", link->address);
  if (zmq_connect (link->socket.zmq, endpoint) < 0)
    {
      rc = AB_ERR_INVALID;
      goto fail;
    }
  return 0;
fail:
  close_sockets (link);
  return rc;
}

static void
close_least_recently_used (struct ab_peer_links *links)
{
  struct link *oldest = links->links;

  for (struct link *link = links->links; link; link = link->hh.next)
    if (link->last_send_ms < oldest->last_send_ms)
      oldest = link;
  if (oldest)
    drop_link (links, oldest);
}

static int
open_link (struct ab_peer_links *links, const char *address,
           struct link **result)
{
  struct link *link = calloc (1, sizeof *link);
  int rc;

  if (!link)
    return AB_ERR_MEMORY;
  link->owner = links;
  if (!ab_chunk_copy (ab_chunk_str (address), link->address,
                      sizeof link->address))
    {
      free (link);
      return AB_ERR_INVALID;
    }
  rc = open_sockets (link);
  if (rc < 0)
    {
      free (link);
      return rc;
    }
  if (HASH_COUNT (links->links) >= AB_PEER_LINKS_MAX)
    close_least_recently_used (links);
  HASH_ADD_STR (links->links, address, link);
  *result = link;
  return 0;
}

/* Appends a copy of DATA to the pending frames.  */
static int
queue_frame (struct link *link, struct ab_chunk data, uint64_t now_ms)
{
  struct pending_frame *pending;

  if (link->pending_count >= AB_PEER_PENDING_FRAMES_MAX
      || link->pending_bytes + data.len > AB_PEER_PENDING_BYTES_MAX)
    return AB_ERR_FULL;
  pending = calloc (1, sizeof *pending);
  if (!pending)
    return AB_ERR_MEMORY;
  pending->queued_ms = now_ms;
  if (ab_buf_append_chunk (&pending->data, data) < 0)
    {
      free (pending);
      return AB_ERR_MEMORY;
    }
  DL_APPEND (link->pending, pending);
  link->pending_count++;
  link->pending_bytes += data.len;
  return 0;
}

static int
send_on_link (struct link *link, struct ab_chunk data, uint64_t now_ms)
{
  int rc = 0;

  link->last_send_ms = now_ms;
  send_pending (link);
  /* Frames stay in order: none is sent before those that are pending.  */
  if (!link->pending
      && zmq_send (link->socket.zmq, data.data, data.len, ZMQ_DONTWAIT) >= 0)
    {
      link->sent++;
      ab_peer_socket_check (&link->socket);
      return 0;
    }
  rc = queue_frame (link, data, now_ms);
  if (rc < 0)
    {
      link->dropped++;
      link->owner->dropped++;
    }
  ab_peer_socket_check (&link->socket);
  return rc;
}

int
ab_peer_links_send (struct ab_peer_links *links, const char *address,
                    struct ab_chunk data, uint64_t now_ms)
{
  struct link *link = NULL;
  int rc = 0;

  HASH_FIND_STR (links->links, address, link);
  if (!link)
    rc = open_link (links, address, &link);
  if (rc < 0)
    return rc;
  return send_on_link (link, data, now_ms);
}

void
ab_peer_links_close (struct ab_peer_links *links, const char *address)
{
  struct link *link = NULL;

  HASH_FIND_STR (links->links, address, link);
  if (link)
    drop_link (links, link);
}

static void
drop_expired_frames (struct link *link, uint64_t now_ms)
{
  while (link->pending
         && link->pending->queued_ms + AB_PEER_PENDING_TIMEOUT_MS <= now_ms)
    {
      free_pending (link, link->pending);
      link->dropped++;
      link->owner->dropped++;
    }
}

/* Reads the monitor's events and sets *FAILED to whether the last one was
   anything but a successful handshake; unchanged without events.  */
static void
read_monitor (struct link *link, bool *failed)
{
  uint16_t event;
  zmq_msg_t message;

  zmq_msg_init (&message);
  while (zmq_msg_recv (&message, link->monitor, ZMQ_DONTWAIT) >= 0)
    {
      if (zmq_msg_size (&message) >= sizeof event)
        {
          memcpy (&event, zmq_msg_data (&message), sizeof event);
          *failed = event != ZMQ_EVENT_HANDSHAKE_SUCCEEDED;
        }
      /* The second part of an event is the peer's address.  */
      zmq_msg_recv (&message, link->monitor, ZMQ_DONTWAIT);
    }
  zmq_msg_close (&message);
}

/* Reconnects with the next key after a failed handshake: during a key rotation
   the peer may listen with any of the keys.  */
static void
try_next_key (struct link *link)
{
  bool failed = false;

  if (!link->monitor)
    return;
  read_monitor (link, &failed);
  if (!failed)
    return;
  close_sockets (link);
  link->key_index = (link->key_index + 1) % link->owner->key_count;
  if (open_sockets (link) < 0)
    drop_link (link->owner, link);
}

void
ab_peer_links_poll (struct ab_peer_links *links, uint64_t now_ms)
{
  struct link *link;
  struct link *next;

  for (link = links->links; link; link = next)
    {
      next = link->hh.next;
      send_pending (link);
      ab_peer_socket_check (&link->socket);
      drop_expired_frames (link, now_ms);
      if (now_ms > link->last_send_ms + AB_PEER_IDLE_TIMEOUT_MS)
        drop_link (links, link);
      else
        try_next_key (link);
    }
}

uint64_t
ab_peer_links_dropped (const struct ab_peer_links *links)
{
  return links->dropped;
}

json_t *
ab_peer_links_state (const struct ab_peer_links *links)
{
  uint64_t now_ms = ab_clock_monotonic_ms (ab_clock_system ());
  json_t *list = json_array ();

  for (const struct link *link = links->links; link; link = link->hh.next)
    json_array_append_new (
        list, json_pack ("{s:s, s:I, s:I, s:I, s:I, s:b}", "address",
                         link->address, "sent", (json_int_t)link->sent,
                         "dropped", (json_int_t)link->dropped, "waiting",
                         (json_int_t)link->pending_count, "idle_ms",
                         (json_int_t)(now_ms - link->last_send_ms), "writable",
                         ab_peer_socket_writable (&link->socket)));
  return list;
}
