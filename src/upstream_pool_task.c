#include "upstream_pool_task.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <uthash.h>
#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "upstream_task.h"

#define SWEEP_MS 1000
/* evhttp's timeout is only a last resort: calls end at their deadline.  */
#define BACKSTOP_S 3600
/* A connection is not reused within this time of the end of its target's
   keep-alive time, so that the request arrives before the target closes
   it.  */
#define KEEP_ALIVE_MARGIN_MS 700

/* The connections to one target.  */
struct ab_pool
{
  char address[AB_ADDRESS_BYTES];
  struct ab_pools *pools;
  struct ab_connection *idle; /* Most recently used first.  */
  struct ab_connection *busy;
  size_t count; /* Idle and busy, without closing ones.  */
  UT_hash_handle hh;
};

struct ab_pools
{
  struct ab_daemon *daemon;
  struct event *sweep;
  struct event *check; /* Null until it is set.  */
  struct ab_pool *pools;
  uint64_t body_bytes;
  uint64_t header_bytes;
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static void
free_connection (struct ab_connection *connection)
{
  struct ab_pool *pool = connection->pool;

  if (connection->busy)
    DL_DELETE (pool->busy, connection);
  else
    DL_DELETE (pool->idle, connection);
  if (!connection->closing)
    pool->count--;
  evhttp_connection_free (connection->evcon);
  event_free (connection->reap);
  free (connection);
}

static void
on_reap (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  free_connection (arg);
}

/* Closes an idle CONNECTION.  It is freed from the event loop, since this may
   run inside one of its evhttp callbacks.  */
static void
discard (struct ab_connection *connection)
{
  int fd = bufferevent_getfd (connection->bev);

  if (fd >= 0)
    shutdown (fd, SHUT_RDWR);
  connection->closing = true;
  connection->pool->count--;
  event_active (connection->reap, EV_TIMEOUT, 0);
}

/* Returns whether the idle CONNECTION is still open.  Unread bytes count as
   closed, since they belong to no request.  */
static bool
is_open (const struct ab_connection *connection)
{
  int fd = bufferevent_getfd (connection->bev);
  char byte;

  return fd >= 0 && recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK)
         && evbuffer_get_length (bufferevent_get_input (connection->bev)) == 0;
}

/* Records that bytes left the output buffer for the socket.  evhttp also
   empties the buffer when it drops a connection, but closes the socket
   first.  */
static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
           void *arg)
{
  struct ab_connection *connection = arg;

  (void)buffer;
  if (info->n_deleted > 0 && connection->busy
      && bufferevent_getfd (connection->bev) >= 0)
    connection->written = true;
}

/* Reads the status line in the LEN bytes that were added to BUFFER last,
   before evhttp takes them.  */
static void
read_status_line (struct ab_connection *connection, struct evbuffer *buffer,
                  size_t len)
{
  struct evbuffer_iovec piece;
  struct evbuffer_ptr at;

  if (evbuffer_ptr_set (buffer, &at, evbuffer_get_length (buffer) - len,
                        EVBUFFER_PTR_SET)
      < 0)
    return;
  while (len > 0 && !ab_status_line_done (&connection->status_line)
         && evbuffer_peek (buffer, (ev_ssize_t)len, &at, &piece, 1) > 0)
    {
      size_t part = piece.iov_len < len ? piece.iov_len : len;
      ab_status_line_add (&connection->status_line,
                          ab_chunk (piece.iov_base, part));
      len -= part;
      if (evbuffer_ptr_set (buffer, &at, part, EVBUFFER_PTR_ADD) < 0)
        return;
    }
}

static void
on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *arg)
{
  struct ab_connection *connection = arg;

  if (info->n_added == 0 || !connection->busy)
    return;
  read_status_line (connection, buffer, info->n_added);
  connection->response_started = true;
  connection->received += info->n_added;
  if (connection->received < connection->checked + AB_POOL_CHECK_BYTES
      || !connection->pool->pools->check)
    return;
  connection->checked = connection->received;
  event_active (connection->pool->pools->check, EV_TIMEOUT, 0);
}

static struct ab_pool *
find_pool (struct ab_pools *pools, const char *address)
{
  struct ab_pool *pool = NULL;

  HASH_FIND_STR (pools->pools, address, pool);
  if (pool)
    return pool;
  pool = calloc (1, sizeof *pool);
  if (!pool
      || !ab_chunk_copy (ab_chunk_str (address), pool->address,
                         sizeof pool->address))
    {
      free (pool);
      return NULL;
    }
  pool->pools = pools;
  HASH_ADD_STR (pools->pools, address, pool);
  return pool;
}

static struct ab_connection *
new_connection (struct ab_pool *pool)
{
  struct ab_pools *pools = pool->pools;
  struct event_base *base = pools->daemon->base;
  struct ab_connection *connection = calloc (1, sizeof *connection);
  struct timeval backstop = { .tv_sec = BACKSTOP_S };
  char host[AB_ADDRESS_BYTES];
  uint16_t port;

  if (!connection
      || ab_address_split (pool->address, host, sizeof host, &port) < 0)
    goto fail;
  connection->pool = pool;
  connection->reap = event_new (base, -1, 0, on_reap, connection);
  connection->bev = bufferevent_socket_new (base, -1, 0);
  if (!connection->reap || !connection->bev)
    goto fail;
  connection->evcon = evhttp_connection_base_bufferevent_new (
      base, NULL, connection->bev, host, port);
  if (!connection->evcon)
    goto fail;
  evhttp_connection_set_retries (connection->evcon, 0);
  evhttp_connection_set_timeout_tv (connection->evcon, &backstop);
  evhttp_connection_set_max_body_size (connection->evcon,
                                       (ev_ssize_t)pools->body_bytes);
  evhttp_connection_set_max_headers_size (connection->evcon,
                                          (ev_ssize_t)pools->header_bytes);
  evbuffer_add_cb (bufferevent_get_output (connection->bev), on_output,
                   connection);
  evbuffer_add_cb (bufferevent_get_input (connection->bev), on_input,
                   connection);
  pool->count++;
  DL_APPEND (pool->idle, connection);
  return connection;
fail:
  if (connection && connection->bev)
    bufferevent_free (connection->bev);
  if (connection && connection->reap)
    event_free (connection->reap);
  free (connection);
  return NULL;
}

static bool
may_reuse (const struct ab_connection *connection, uint64_t idle_ms,
           uint64_t now)
{
  uint64_t idle = now - connection->used_ms;

  if (connection->keep_alive_ms
      && idle + KEEP_ALIVE_MARGIN_MS > connection->keep_alive_ms)
    return false;
  return idle_ms == 0 || idle <= idle_ms;
}

/* Returns an idle connection of POOL that may be reused, or null.  Frees idle
   connections that the target has closed.  */
static struct ab_connection *
take_idle (struct ab_pool *pool, uint64_t idle_ms)
{
  struct ab_connection *connection;
  struct ab_connection *next;
  uint64_t now = now_ms ();

  DL_FOREACH_SAFE (pool->idle, connection, next)
  {
    if (!is_open (connection))
      free_connection (connection);
    else if (may_reuse (connection, idle_ms, now))
      return connection;
  }
  return NULL;
}

static void
discard_oldest (struct ab_pool *pool)
{
  struct ab_connection *connection;
  struct ab_connection *oldest = NULL;

  DL_FOREACH (pool->idle, connection)
  if (!connection->closing)
    oldest = connection;
  if (oldest)
    discard (oldest);
}

struct ab_connection *
ab_pools_take (struct ab_pools *pools, const char *address,
               uint64_t max_connections, uint64_t idle_ms, bool unused)
{
  struct ab_pool *pool = find_pool (pools, address);
  struct ab_connection *connection
      = pool && !unused ? take_idle (pool, idle_ms) : NULL;

  if (pool && !connection)
    {
      /* At the bound, an idle connection that this request may not reuse is
         closed to make room for a new one.  */
      if (max_connections > 0 && pool->count >= max_connections)
        discard_oldest (pool);
      if (max_connections == 0 || pool->count < max_connections)
        connection = new_connection (pool);
    }
  if (!connection)
    return NULL;
  DL_DELETE (pool->idle, connection);
  DL_APPEND (pool->busy, connection);
  connection->busy = true;
  connection->written = false;
  connection->response_started = false;
  connection->received = 0;
  connection->status_line = (struct ab_status_line){ 0 };
  connection->checked = 0;
  return connection;
}

void
ab_connection_close (struct ab_connection *connection)
{
  free_connection (connection);
}

void
ab_connection_return (struct ab_connection *connection, bool keep)
{
  struct ab_pool *pool = connection->pool;

  DL_DELETE (pool->busy, connection);
  connection->busy = false;
  connection->used_ms = now_ms ();
  DL_PREPEND (pool->idle, connection);
  if (!keep)
    discard (connection);
}

static void
sweep_pool (struct ab_pool *pool)
{
  struct ab_connection *connection;
  struct ab_connection *next;
  uint64_t now = now_ms ();

  DL_FOREACH_SAFE (pool->idle, connection, next)
  if (!is_open (connection) || now - connection->used_ms > AB_UPSTREAM_IDLE_MS)
    free_connection (connection);
  if (pool->count == 0)
    {
      HASH_DEL (pool->pools->pools, pool);
      free (pool);
    }
}

static void
on_sweep (evutil_socket_t fd, short what, void *arg)
{
  struct ab_pools *pools = arg;
  struct ab_pool *pool;
  struct ab_pool *next;

  (void)fd;
  (void)what;
  HASH_ITER (hh, pools->pools, pool, next)
  sweep_pool (pool);
}

int
ab_pools_new (struct ab_daemon *daemon, uint64_t body_bytes,
              uint64_t header_bytes, struct ab_pools **pools)
{
  struct ab_pools *result = calloc (1, sizeof *result);
  struct timeval tv = { .tv_sec = SWEEP_MS / 1000 };

  *pools = NULL;
  if (!result)
    return AB_ERR_MEMORY;
  result->daemon = daemon;
  result->body_bytes = body_bytes;
  result->header_bytes = header_bytes;
  result->sweep = event_new (daemon->base, -1, EV_PERSIST, on_sweep, result);
  if (!result->sweep || event_add (result->sweep, &tv) < 0)
    {
      ab_pools_free (result);
      return AB_ERR_MEMORY;
    }
  *pools = result;
  return 0;
}

void
ab_pools_set_check (struct ab_pools *pools, struct event *check)
{
  pools->check = check;
}

void
ab_pools_free (struct ab_pools *pools)
{
  struct ab_pool *pool;
  struct ab_pool *next_pool;
  struct ab_connection *connection;
  struct ab_connection *next;

  if (!pools)
    return;
  HASH_ITER (hh, pools->pools, pool, next_pool)
  {
    DL_FOREACH_SAFE (pool->idle, connection, next)
    free_connection (connection);
    HASH_DEL (pools->pools, pool);
    free (pool);
  }
  if (pools->sweep)
    event_free (pools->sweep);
  free (pools);
}

const char *
ab_connection_address (const struct ab_connection *connection)
{
  return connection->pool->address;
}

json_t *
ab_pools_state (const struct ab_pools *pools)
{
  json_t *state = json_object ();
  const struct ab_pool *pool;
  const struct ab_connection *connection;
  int idle;

  for (pool = pools->pools; pool; pool = pool->hh.next)
    {
      DL_COUNT (pool->idle, connection, idle);
      json_object_set_new (state, pool->address,
                           json_pack ("{s:I, s:i}", "connections",
                                      (json_int_t)pool->count, "idle", idle));
    }
  return state;
}
