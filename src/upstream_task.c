#include "upstream_task.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <uthash.h>
#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "http_rules.h"

#define SWEEP_MS 1000
/* evhttp's own timeout is a backstop; calls end at their deadline.  */
#define BACKSTOP_S 3600

struct pool;

struct connection
{
  struct connection *prev;
  struct connection *next;
  struct pool *pool;
  struct evhttp_connection *evcon;
  struct bufferevent *bev;
  struct event *reap;
  struct ab_upstream_call *call; /* Null while idle.  */
  uint64_t used_ms;              /* End of the last request; 0: new.  */
  bool dying;                    /* Waits to be freed.  */
};

/* The connections to one target.  */
struct pool
{
  char address[AB_ADDRESS_BYTES];
  struct ab_upstream *upstream;
  struct connection *idle; /* Used last first.  */
  struct connection *busy;
  size_t count; /* Without those that wait to be freed.  */
  UT_hash_handle hh;
};

struct ab_upstream
{
  struct ab_daemon *daemon;
  struct event *sweep;
  struct pool *pools;
  struct probe *probes;
  uint64_t body_bytes;
  uint64_t header_bytes;
};

struct ab_upstream_call
{
  struct ab_upstream *upstream;
  struct connection *connection; /* Null when none was to be had.  */
  struct event *timer; /* The deadline, or an end without sending.  */
  ab_upstream_callback callback;
  void *ctx;
  struct ab_attempt attempt;
  bool error_known;
  enum evhttp_request_error error;
  uint64_t begin_us;
  bool reused;
  bool head;
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static void
free_connection (struct connection *connection)
{
  struct pool *pool = connection->pool;

  if (connection->call)
    DL_DELETE (pool->busy, connection);
  else
    DL_DELETE (pool->idle, connection);
  if (!connection->dying)
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
discard (struct connection *connection)
{
  int fd = bufferevent_getfd (connection->bev);

  if (fd >= 0)
    shutdown (fd, SHUT_RDWR);
  connection->dying = true;
  connection->pool->count--;
  event_active (connection->reap, EV_TIMEOUT, 0);
}

/* Whether the peer has left the idle CONNECTION open and silent.  */
static bool
alive (const struct connection *connection)
{
  int fd = bufferevent_getfd (connection->bev);
  char byte;

  return fd >= 0 && recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK)
         && evbuffer_get_length (bufferevent_get_input (connection->bev)) == 0;
}

/* Notes bytes that leave the output buffer for the socket.  When evhttp drops
   a connection it empties the buffer too, but takes the socket away first.  */
static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
           void *arg)
{
  struct connection *connection = arg;

  (void)buffer;
  if (info->n_deleted > 0 && connection->call
      && bufferevent_getfd (connection->bev) >= 0)
    connection->call->attempt.written = true;
}

static void
on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *arg)
{
  struct connection *connection = arg;

  (void)buffer;
  if (info->n_added > 0 && connection->call)
    connection->call->attempt.answered = true;
}

static struct pool *
find_pool (struct ab_upstream *upstream, const char *address)
{
  struct pool *pool = NULL;

  HASH_FIND_STR (upstream->pools, address, pool);
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
  pool->upstream = upstream;
  HASH_ADD_STR (upstream->pools, address, pool);
  return pool;
}

static struct connection *
new_connection (struct pool *pool)
{
  struct ab_upstream *upstream = pool->upstream;
  struct event_base *base = upstream->daemon->base;
  struct connection *connection = calloc (1, sizeof *connection);
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
                                       (ev_ssize_t)upstream->body_bytes);
  evhttp_connection_set_max_headers_size (connection->evcon,
                                          (ev_ssize_t)upstream->header_bytes);
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

/* An idle connection of POOL that may carry a request; closes dead ones.  */
static struct connection *
take_idle (struct pool *pool, bool fresh)
{
  struct connection *connection;
  struct connection *next;
  uint64_t now = now_ms ();

  DL_FOREACH_SAFE (pool->idle, connection, next)
  {
    if (!alive (connection))
      free_connection (connection);
    else if (!fresh || now - connection->used_ms <= AB_UPSTREAM_FRESH_MS)
      return connection;
  }
  return NULL;
}

static void
discard_oldest (struct pool *pool)
{
  struct connection *connection;
  struct connection *oldest = NULL;

  DL_FOREACH (pool->idle, connection)
  if (!connection->dying)
    oldest = connection;
  if (oldest)
    discard (oldest);
}

static struct connection *
take_connection (struct pool *pool, uint64_t max_connections, bool fresh)
{
  struct connection *connection = take_idle (pool, fresh);

  if (connection)
    return connection;
  /* A connection that is too old for this request makes room.  */
  if (max_connections > 0 && pool->count >= max_connections)
    discard_oldest (pool);
  if (max_connections > 0 && pool->count >= max_connections)
    return NULL;
  return new_connection (pool);
}

static void
return_connection (struct connection *connection, bool keep)
{
  struct pool *pool = connection->pool;

  DL_DELETE (pool->busy, connection);
  connection->call = NULL;
  connection->used_ms = now_ms ();
  DL_PREPEND (pool->idle, connection);
  if (!keep)
    discard (connection);
}

static void
end_call (struct ab_upstream_call *call, struct evhttp_request *req)
{
  struct ab_upstream_result result
      = { .attempt = call->attempt,
          .latency_us = ab_clock_monotonic_us () - call->begin_us,
          .reused = call->reused };
  ab_upstream_callback callback = call->callback;
  void *ctx = call->ctx;

  if (req)
    {
      result.headers = evhttp_request_get_input_headers (req);
      result.body = evhttp_request_get_input_buffer (req);
    }
  event_free (call->timer);
  free (call);
  callback (ctx, &result);
}

/* Whether the body's end is certain: a response that ends with its connection
   cannot be told from a truncated one.  */
static bool
whole (const struct ab_upstream_call *call, struct evhttp_request *req)
{
  int status = evhttp_request_get_response_code (req);
  size_t len = evbuffer_get_length (evhttp_request_get_input_buffer (req));
  enum ab_framing framing;
  uint64_t length;

  if (ab_http_framing (evhttp_request_get_input_headers (req), &framing,
                       &length)
      < 0)
    return false;
  if (call->head || status == 204 || status == 304)
    return len == 0;
  if (framing == AB_FRAMING_LENGTH)
    return len == length;
  return framing == AB_FRAMING_CHUNKED;
}

static bool
is_shed (struct evhttp_request *req)
{
  const char *shed = evhttp_find_header (
      evhttp_request_get_input_headers (req), "Almond-Shed");
  int status = evhttp_request_get_response_code (req);

  return status == 429 || (status == 503 && shed && strcmp (shed, "1") == 0);
}

static void
classify_response (struct ab_upstream_call *call, struct evhttp_request *req)
{
  call->attempt.answered = true;
  call->attempt.status = evhttp_request_get_response_code (req);
  if (whole (call, req))
    {
      call->attempt.end = AB_ATTEMPT_RESPONSE;
      call->attempt.shed = is_shed (req);
    }
  else
    call->attempt.end = AB_ATTEMPT_MALFORMED;
}

static enum ab_attempt_end
failure_end (const struct ab_upstream_call *call)
{
  if (!call->error_known)
    return AB_ATTEMPT_LOST;
  switch (call->error)
    {
    case EVREQ_HTTP_INVALID_HEADER:
      return AB_ATTEMPT_MALFORMED;
    case EVREQ_HTTP_DATA_TOO_LONG:
      return AB_ATTEMPT_TOO_LARGE;
    case EVREQ_HTTP_TIMEOUT:
    case EVREQ_HTTP_EOF:
    case EVREQ_HTTP_BUFFER_ERROR:
    case EVREQ_HTTP_REQUEST_CANCEL:
      break;
    }
  return AB_ATTEMPT_LOST;
}

static void
on_error (enum evhttp_request_error error, void *arg)
{
  struct ab_upstream_call *call = arg;

  call->error_known = true;
  call->error = error;
}

/* evhttp passes a request without status when it could not connect, and null
   when the connection failed later.  */
static void
on_response (struct evhttp_request *req, void *arg)
{
  struct ab_upstream_call *call = arg;
  struct connection *connection = call->connection;
  bool keep = false;

  if (!req)
    call->attempt.end = failure_end (call);
  else if (evhttp_request_get_response_code (req) == 0)
    call->attempt.end = AB_ATTEMPT_REFUSED;
  else
    classify_response (call, req);
  if (call->attempt.end == AB_ATTEMPT_RESPONSE)
    {
      /* Bytes after the response would be read as the start of the next
         one.  */
      keep = evbuffer_get_length (bufferevent_get_input (connection->bev)) == 0
             && bufferevent_getfd (connection->bev) >= 0;
    }
  return_connection (connection, keep);
  end_call (call, call->attempt.end == AB_ATTEMPT_RESPONSE ? req : NULL);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct ab_upstream_call *call = arg;

  (void)fd;
  (void)what;
  if (call->connection)
    {
      call->attempt.end = AB_ATTEMPT_TIMEOUT;
      free_connection (call->connection);
    }
  end_call (call, NULL);
}

static int
make_request (struct ab_upstream_call *call,
              const struct ab_upstream_request *request)
{
  struct evhttp_request *req = evhttp_request_new (on_response, call);
  struct evkeyvalq *headers;
  char length[24];
  int rc;

  if (!req)
    return AB_ERR_MEMORY;
  headers = evhttp_request_get_output_headers (req);
  evhttp_request_set_error_cb (req, on_error);
  rc = ab_http_add_header_lines (request->headers, headers);
  if (rc < 0)
    {
      evhttp_request_free (req);
      return rc;
    }
  if (request->body.len > 0)
    {
      evutil_snprintf (length, sizeof length, "%zu", request->body.len);
      evhttp_add_header (headers, "Content-Length", length);
      evbuffer_add (evhttp_request_get_output_buffer (req), request->body.data,
                    request->body.len);
    }
  return evhttp_make_request (call->connection->evcon, req, request->type,
                              request->uri)
                 < 0
             ? AB_ERR_UNAVAILABLE
             : 0;
}

static void
arm_timer (struct ab_upstream_call *call, uint64_t deadline_ms)
{
  uint64_t now = now_ms ();
  uint64_t wait = deadline_ms > now ? deadline_ms - now : 0;
  struct timeval tv = { .tv_sec = (time_t)(wait / 1000),
                        .tv_usec = (suseconds_t)(wait % 1000 * 1000) };

  event_add (call->timer, &tv);
}

/* Ends CALL from the event loop without sending.  */
static void
end_unsent (struct ab_upstream_call *call, enum ab_attempt_end end)
{
  if (call->connection)
    free_connection (call->connection);
  call->connection = NULL;
  call->attempt.end = end;
  arm_timer (call, 0);
}

static void
set_no_delay (const struct connection *connection)
{
  int on = 1;
  int fd = bufferevent_getfd (connection->bev);

  /* Requests are small; without this the second segment of one waits for the
     acknowledgement of the first.  */
  if (fd >= 0)
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

struct ab_upstream_call *
ab_upstream_send (struct ab_upstream *upstream,
                  const struct ab_upstream_request *request,
                  ab_upstream_callback callback, void *ctx)
{
  struct ab_upstream_call *call = calloc (1, sizeof *call);
  struct pool *pool = find_pool (upstream, request->target);

  if (!call || !pool)
    goto fail;
  call->upstream = upstream;
  call->callback = callback;
  call->ctx = ctx;
  call->head = request->type == EVHTTP_REQ_HEAD;
  call->begin_us = ab_clock_monotonic_us ();
  call->timer = evtimer_new (upstream->daemon->base, on_timer, call);
  if (!call->timer)
    goto fail;
  call->connection
      = take_connection (pool, request->max_connections, request->fresh);
  if (!call->connection)
    {
      end_unsent (call, AB_ATTEMPT_FULL);
      return call;
    }
  call->reused = call->connection->used_ms > 0;
  DL_DELETE (pool->idle, call->connection);
  call->connection->call = call;
  DL_APPEND (pool->busy, call->connection);
  arm_timer (call, request->deadline_ms);
  if (make_request (call, request) < 0)
    end_unsent (call, AB_ATTEMPT_REFUSED);
  else
    set_no_delay (call->connection);
  return call;
fail:
  free (call);
  return NULL;
}

struct ab_attempt
ab_upstream_cancel (struct ab_upstream_call *call)
{
  struct ab_attempt attempt = call->attempt;

  attempt.end = AB_ATTEMPT_CANCELLED;
  if (call->connection)
    free_connection (call->connection);
  event_free (call->timer);
  free (call);
  return attempt;
}

bool
ab_upstream_written (const struct ab_upstream_call *call)
{
  return call->attempt.written;
}

static void
sweep_pool (struct pool *pool)
{
  struct connection *connection;
  struct connection *next;
  uint64_t now = now_ms ();

  DL_FOREACH_SAFE (pool->idle, connection, next)
  if (!alive (connection) || now - connection->used_ms > AB_UPSTREAM_IDLE_MS)
    free_connection (connection);
  if (pool->count == 0)
    {
      HASH_DEL (pool->upstream->pools, pool);
      free (pool);
    }
}

static void
on_sweep (evutil_socket_t fd, short what, void *arg)
{
  struct ab_upstream *upstream = arg;
  struct pool *pool;
  struct pool *next;

  (void)fd;
  (void)what;
  HASH_ITER (hh, upstream->pools, pool, next)
  sweep_pool (pool);
}

int
ab_upstream_new (struct ab_daemon *daemon, uint64_t body_bytes,
                 uint64_t header_bytes, struct ab_upstream **upstream)
{
  struct ab_upstream *result = calloc (1, sizeof *result);
  struct timeval tv = { .tv_sec = SWEEP_MS / 1000 };

  *upstream = NULL;
  if (!result)
    return AB_ERR_MEMORY;
  result->daemon = daemon;
  result->body_bytes = body_bytes;
  result->header_bytes = header_bytes;
  result->sweep = event_new (daemon->base, -1, EV_PERSIST, on_sweep, result);
  if (!result->sweep || event_add (result->sweep, &tv) < 0)
    {
      ab_upstream_free (result);
      return AB_ERR_MEMORY;
    }
  *upstream = result;
  return 0;
}

/* A probe of an address, kept until its connection succeeds or fails.  */
struct probe
{
  struct probe *prev;
  struct probe *next;
  struct ab_upstream *upstream;
  struct bufferevent *bev;
  char address[AB_ADDRESS_BYTES];
  ab_upstream_probed probed;
  void *ctx;
};

static void
free_probe (struct probe *probe)
{
  DL_DELETE (probe->upstream->probes, probe);
  bufferevent_free (probe->bev);
  free (probe);
}

static void
on_probe (struct bufferevent *bev, short what, void *arg)
{
  struct probe *probe = arg;
  ab_upstream_probed probed = probe->probed;
  void *ctx = probe->ctx;
  char address[AB_ADDRESS_BYTES];

  (void)bev;
  memcpy (address, probe->address, sizeof address);
  free_probe (probe);
  /* No answer at all is no refusal.  */
  probed (ctx, address, what & (BEV_EVENT_CONNECTED | BEV_EVENT_TIMEOUT));
}

void
ab_upstream_probe (struct ab_upstream *upstream, const char *address,
                   ab_upstream_probed probed, void *ctx)
{
  struct probe *probe = calloc (1, sizeof *probe);
  struct timeval timeout = { .tv_sec = 1 };
  struct sockaddr_storage to;
  int len = sizeof to;

  if (!probe
      || evutil_parse_sockaddr_port (address, (struct sockaddr *)&to, &len)
             < 0)
    goto fail;
  probe->bev = bufferevent_socket_new (upstream->daemon->base, -1,
                                       BEV_OPT_CLOSE_ON_FREE
                                           | BEV_OPT_DEFER_CALLBACKS);
  if (!probe->bev)
    goto fail;
  probe->upstream = upstream;
  probe->probed = probed;
  probe->ctx = ctx;
  ab_chunk_copy (ab_chunk_str (address), probe->address,
                 sizeof probe->address);
  DL_APPEND (upstream->probes, probe);
  bufferevent_setcb (probe->bev, NULL, NULL, on_probe, probe);
  bufferevent_set_timeouts (probe->bev, &timeout, &timeout);
  bufferevent_enable (probe->bev, EV_WRITE);
  if (bufferevent_socket_connect (probe->bev, (struct sockaddr *)&to, len)
      == 0)
    return;
  free_probe (probe);
  return;
fail:
  free (probe);
}

void
ab_upstream_free (struct ab_upstream *upstream)
{
  struct pool *pool;
  struct pool *next_pool;
  struct connection *connection;
  struct connection *next;
  struct probe *probe;
  struct probe *next_probe;

  if (!upstream)
    return;
  DL_FOREACH_SAFE (upstream->probes, probe, next_probe)
  free_probe (probe);
  HASH_ITER (hh, upstream->pools, pool, next_pool)
  {
    DL_FOREACH_SAFE (pool->busy, connection, next)
    ab_upstream_cancel (connection->call);
    DL_FOREACH_SAFE (pool->idle, connection, next)
    free_connection (connection);
    HASH_DEL (upstream->pools, pool);
    free (pool);
  }
  if (upstream->sweep)
    event_free (upstream->sweep);
  free (upstream);
}

json_t *
ab_upstream_state (const struct ab_upstream *upstream)
{
  json_t *state = json_object ();
  const struct pool *pool;
  const struct connection *connection;
  int idle;

  for (pool = upstream->pools; pool; pool = pool->hh.next)
    {
      DL_COUNT (pool->idle, connection, idle);
      json_object_set_new (state, pool->address,
                           json_pack ("{s:I, s:i}", "connections",
                                      (json_int_t)pool->count, "idle", idle));
    }
  return state;
}
