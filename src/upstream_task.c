#include "upstream_task.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "http_rules.h"
#include "log.h"
#include "rate_limit.h"
#include "upstream_pool_task.h"

#define HTTP_REDIRECTION 300
#define HTTP_MISDIRECTED 421
#define HTTP_SERVER_ERROR 500
#define HTTP_STATUS_END 600 /* One above the largest status.  */
/* Interval of the checks of the memory that responses hold, while there are
   any calls.  */
#define SWEEP_MS 20
/* Longest line with the size and the extensions of a chunk.  evhttp searches
   all that has arrived for its end whenever more arrives.  */
#define CHUNK_LINE_BYTES 4096
/* Limit for the bytes of a response that are neither head nor body:
   FRAMING_BYTES, and FRAMING_FACTOR for each byte of the body, which may come
   in small chunks.  */
#define FRAMING_BYTES 65536
#define FRAMING_FACTOR 2

struct ab_upstream
{
  struct ab_daemon *daemon;
  struct ab_pools *pools;
  struct ab_upstream_call *calls;
  uint64_t body_bytes;
  uint64_t header_bytes;
  struct event *sweep;
};

struct ab_upstream_call
{
  struct ab_upstream_call *prev;
  struct ab_upstream_call *next;
  struct ab_upstream *upstream;
  struct ab_connection *connection; /* Null when none was available.  */
  struct evhttp_request *req; /* Owned by evhttp; null once it has ended.  */
  struct event *timer; /* Deadline, or the deferred end of an unsent call.  */
  ab_upstream_callback callback;
  void *ctx;
  struct ab_attempt attempt;
  bool error_known;
  enum evhttp_request_error error;
  uint64_t begin_us;
  bool reused;
  bool head;
  struct event *connect_timer; /* Connect timeout.  */
  const char *echo_name;
  struct ab_buf echo_value;
  const char *stamp_name;
  const char *not_run_name;
  bool accept_unframed;
  bool starting; /* Inside ab_upstream_send.  */
  bool failed;   /* The connection failed while starting.  */
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

/* Copies what the connection recorded about sent and received bytes to CALL's
   attempt.  */
static void
record_traffic (struct ab_upstream_call *call)
{
  if (!call->connection)
    return;
  call->attempt.written = call->connection->written;
  call->attempt.response_started = call->connection->response_started;
}

static void
free_call (struct ab_upstream_call *call)
{
  DL_DELETE (call->upstream->calls, call);
  event_free (call->timer);
  if (call->connect_timer)
    event_free (call->connect_timer);
  ab_buf_free (&call->echo_value);
  free (call);
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
  free_call (call);
  callback (ctx, &result);
}

/* Returns whether the response is certainly complete.  A body that ends with
   its connection cannot be distinguished from a truncated one.  */
static bool
is_complete (const struct ab_upstream_call *call, struct evhttp_request *req)
{
  int status = evhttp_request_get_response_code (req);
  size_t len = evbuffer_get_length (evhttp_request_get_input_buffer (req));
  enum ab_framing framing;
  uint64_t length;

  if (ab_http_framing (evhttp_request_get_input_headers (req), &framing,
                       &length)
      < 0)
    return false;
  /* More bytes than the announced length: it is unknown whether the length or
     the body is wrong.  */
  if (evbuffer_get_length (bufferevent_get_input (call->connection->bev)) > 0)
    return false;
  if (call->head || status == 204 || status == 304)
    return len == 0;
  if (framing == AB_FRAMING_LENGTH)
    return len == length;
  return framing == AB_FRAMING_CHUNKED || call->accept_unframed;
}

/* Returns whether the request of CALL has a value that its response must
   echo.  */
static bool
has_echo (const struct ab_upstream_call *call)
{
  return call->echo_name && call->echo_value.len > 0;
}

/* Returns whether the connection of CALL carries no other request, before or
   after.  */
static bool
is_connection_exclusive (const struct ab_upstream_call *call)
{
  return call->echo_name && call->echo_value.len == 0;
}

/* Returns whether the response belongs to the request of CALL.  One without
   the echoed value does not count either: on a reused connection it may be a
   late copy of an earlier response.  */
static bool
echo_matches (const struct ab_upstream_call *call, struct evhttp_request *req)
{
  const char *value;

  if (!has_echo (call))
    return true;
  value = evhttp_find_header (evhttp_request_get_input_headers (req),
                              call->echo_name);
  return value
         && ab_chunk_equal (ab_chunk_str (value),
                            ab_buf_chunk (&call->echo_value));
}

static bool
has_stamp (const struct ab_upstream_call *call, struct evhttp_request *req)
{
  int status = evhttp_request_get_response_code (req);
  const char *stamp;

  if (!call->stamp_name || status < HTTP_OK || status >= HTTP_REDIRECTION)
    return true;
  stamp = evhttp_find_header (evhttp_request_get_input_headers (req),
                              call->stamp_name);
  return stamp && stamp[0];
}

/* Returns whether the head is one of a final HTTP response.  evhttp accepts
   whatever atoi takes for a status, and any bytes in headers.  */
static bool
is_head_valid (const struct ab_upstream_call *call, struct evhttp_request *req)
{
  int status = evhttp_request_get_response_code (req);

  return call->connection->status_line.state == AB_STATUS_LINE_VALID
         && status >= HTTP_OK && status < HTTP_STATUS_END
         && ab_http_headers_valid (evhttp_request_get_input_headers (req));
}

static bool
sheds_load (struct evhttp_request *req)
{
  const char *shed = evhttp_find_header (
      evhttp_request_get_input_headers (req), "Almond-Shed");
  int status = evhttp_request_get_response_code (req);

  return status == 429 || (status == 503 && shed && strcmp (shed, "1") == 0);
}

static bool
is_shed (const struct ab_upstream_call *call, struct evhttp_request *req)
{
  if (call->not_run_name)
    return evhttp_find_header (evhttp_request_get_input_headers (req),
                               call->not_run_name)
           || evhttp_request_get_response_code (req) == HTTP_MISDIRECTED;
  return sheds_load (req);
}

static void
classify_response (struct ab_upstream_call *call, struct evhttp_request *req)
{
  bool shed = is_shed (call, req);
  int status = evhttp_request_get_response_code (req);
  /* No target rejects a request with a success.  */
  bool contradictory = shed && status < HTTP_BADREQUEST;

  call->attempt.response_started = true;
  call->attempt.status = status;
  call->attempt.end = AB_ATTEMPT_MALFORMED;
  if (contradictory || !is_head_valid (call, req) || !echo_matches (call, req)
      || !has_stamp (call, req) || !is_complete (call, req))
    return;
  call->attempt.end = AB_ATTEMPT_RESPONSE;
  call->attempt.shed = shed;
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

/* Records how long the target keeps idle connections: it announces whole
   seconds with "Keep-Alive: timeout=".  */
static void
record_keep_alive (struct ab_connection *connection,
                   struct evhttp_request *req)
{
  const char *value = evhttp_find_header (
      evhttp_request_get_input_headers (req), "Keep-Alive");
  const char *timeout = value ? strstr (value, "timeout=") : NULL;
  unsigned long seconds;

  if (!timeout)
    return;
  seconds = strtoul (timeout + sizeof "timeout=" - 1, NULL, 10);
  if (seconds > 0 && seconds < AB_UPSTREAM_IDLE_MS / 1000)
    connection->keep_alive_ms = seconds * 1000;
}

/* evhttp passes a request with status 0 when it could not connect, and null
   when the connection failed later.  */
static void
on_response (struct evhttp_request *req, void *arg)
{
  struct ab_upstream_call *call = arg;
  struct ab_connection *connection = call->connection;
  bool keep = false;

  /* evhttp reports a connection that fails at once, for example without a
     route or a free local port, before evhttp_make_request returns.  */
  if (call->starting)
    {
      call->failed = true;
      return;
    }
  record_traffic (call);
  call->req = NULL;
  if (!req)
    call->attempt.end = failure_end (call);
  else if (evhttp_request_get_response_code (req) == 0)
    call->attempt.end = AB_ATTEMPT_REFUSED;
  else
    classify_response (call, req);
  if (call->attempt.end == AB_ATTEMPT_RESPONSE)
    {
      record_keep_alive (connection, req);
      /* Bytes after the response would be read as the start of the next one.
         A rejection that names no request would be taken for that of the next
         request when a copy of it followed.  */
      keep = evbuffer_get_length (bufferevent_get_input (connection->bev)) == 0
             && bufferevent_getfd (connection->bev) >= 0
             && !is_connection_exclusive (call)
             && !(call->attempt.shed && !has_echo (call));
    }
  ab_connection_return (connection, keep);
  end_call (call, call->attempt.end == AB_ATTEMPT_RESPONSE ? req : NULL);
}

/* Closes the connection of CALL and ends it with END.  */
static void
abort_call (struct ab_upstream_call *call, enum ab_attempt_end end)
{
  record_traffic (call);
  call->attempt.end = end;
  ab_connection_close (call->connection);
  end_call (call, NULL);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct ab_upstream_call *call = arg;

  (void)fd;
  (void)what;
  if (call->connection)
    abort_call (call, AB_ATTEMPT_TIMEOUT);
  else
    end_call (call, NULL);
}

static void
on_connect_timer (evutil_socket_t fd, short what, void *arg)
{
  struct ab_upstream_call *call = arg;

  (void)fd;
  (void)what;
  record_traffic (call);
  if (!call->connection || call->attempt.written)
    return;
  abort_call (call, AB_ATTEMPT_UNREACHABLE);
}

/* Returns how many bytes of the response of CALL are held in memory.  */
static uint64_t
response_bytes (const struct ab_upstream_call *call)
{
  if (!call->connection || !call->req)
    return 0;
  return evbuffer_get_length (evhttp_request_get_input_buffer (call->req))
         + evbuffer_get_length (bufferevent_get_input (call->connection->bev));
}

static void
end_too_large (struct ab_upstream_call *call, uint64_t bytes)
{
  AB_LOG (AB_LOG_WARN, "response_too_large",
          ab_log_str ("target", ab_connection_address (call->connection)),
          ab_log_int ("bytes", (int64_t)bytes));
  abort_call (call, AB_ATTEMPT_TOO_LARGE);
}

/* Ends the call with the largest response when that response is larger than
   BODY_BYTES or all together exceed AB_UPSTREAM_MEMORY_BYTES.  Returns whether
   a call was ended.  */
static bool
end_largest (struct ab_upstream *upstream)
{
  struct ab_upstream_call *largest = NULL;
  uint64_t largest_bytes = 0;
  uint64_t total = 0;

  for (struct ab_upstream_call *c = upstream->calls; c; c = c->next)
    {
      uint64_t bytes = response_bytes (c);
      total += bytes;
      if (bytes > largest_bytes)
        {
          largest = c;
          largest_bytes = bytes;
        }
    }
  if (!largest
      || (largest_bytes <= upstream->body_bytes
          && total <= AB_UPSTREAM_MEMORY_BYTES))
    return false;
  end_too_large (largest, largest_bytes);
  return true;
}

/* Returns whether the response of CALL has more framing than a response can
   need: a chunk line or something between chunks that does not end, or interim
   responses without end.  */
static bool
is_framing_excessive (const struct ab_upstream_call *call)
{
  uint64_t held = response_bytes (call);
  size_t unread;
  int status;

  if (!call->connection || !call->req)
    return false;
  status = evhttp_request_get_response_code (call->req);
  unread = evbuffer_get_length (bufferevent_get_input (call->connection->bev));
  /* A negative number of bytes to read means that a chunk line is next.  */
  if (call->req->chunked && call->req->ntoread < 0
      && unread > CHUNK_LINE_BYTES)
    return true;
  /* evhttp takes one interim response in each turn of the event loop.  */
  if (status > 0 && status < HTTP_OK && unread > FRAMING_BYTES)
    return true;
  return call->connection->received > call->upstream->header_bytes
                                          + FRAMING_BYTES
                                          + (FRAMING_FACTOR + 1) * held;
}

/* Ends a call whose response has excessive framing.  Returns whether there was
   one.  */
static bool
end_excessive_framing (struct ab_upstream *upstream)
{
  struct ab_upstream_call *call = upstream->calls;

  while (call && !is_framing_excessive (call))
    call = call->next;
  if (!call)
    return false;
  AB_LOG (AB_LOG_WARN, "response_framing_excessive",
          ab_log_str ("target", ab_connection_address (call->connection)),
          ab_log_int ("received", (int64_t)call->connection->received),
          ab_log_int ("held", (int64_t)response_bytes (call)));
  ++*ab_counter (upstream->daemon->counters,
                 "ab_responses_framing_excessive_total");
  abort_call (call, AB_ATTEMPT_MALFORMED);
  return true;
}

static void
arm_sweep (struct ab_upstream *upstream)
{
  const struct timeval tv = { .tv_usec = SWEEP_MS * 1000 };

  if (!event_pending (upstream->sweep, EV_TIMEOUT, NULL))
    event_add (upstream->sweep, &tv);
}

/* Enforces the bounds that evhttp lacks: on a body without a length, on all
   bodies together, and on framing.  */
static void
on_sweep (evutil_socket_t fd, short what, void *ctx)
{
  struct ab_upstream *upstream = ctx;

  (void)fd;
  (void)what;
  while (end_excessive_framing (upstream) || end_largest (upstream))
    continue;
  if (upstream->calls)
    arm_sweep (upstream);
}

static int
add_body (struct evbuffer *output, const struct ab_upstream_request *request)
{
  int rc = request->body_buffer
               ? evbuffer_add_buffer_reference (output, request->body_buffer)
               : evbuffer_add (output, request->body.data, request->body.len);

  return rc < 0 ? AB_ERR_MEMORY : 0;
}

static int
make_request (struct ab_upstream_call *call,
              const struct ab_upstream_request *request)
{
  struct evhttp_request *req = evhttp_request_new (on_response, call);
  struct evkeyvalq *headers;
  char length[24];
  size_t body_len;
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
  body_len = request->body_buffer ? evbuffer_get_length (request->body_buffer)
                                  : request->body.len;
  if (body_len > 0)
    {
      evutil_snprintf (length, sizeof length, "%zu", body_len);
      evhttp_add_header (headers, "Content-Length", length);
      rc = add_body (evhttp_request_get_output_buffer (req), request);
    }
  if (rc < 0)
    {
      evhttp_request_free (req);
      return rc;
    }
  call->req = req;
  return evhttp_make_request (call->connection->evcon, req, request->type,
                              request->uri)
                 < 0
             ? AB_ERR_UNAVAILABLE
             : 0;
}

static void
add_timer (struct event *timer, uint64_t after_ms)
{
  struct timeval tv = { .tv_sec = (time_t)(after_ms / 1000),
                        .tv_usec = (suseconds_t)(after_ms % 1000 * 1000) };

  event_add (timer, &tv);
}

static void
arm_timer (struct ab_upstream_call *call, uint64_t deadline_ms)
{
  uint64_t now = now_ms ();

  add_timer (call->timer, deadline_ms > now ? deadline_ms - now : 0);
}

/* Starts the connect timeout.  When memory runs out, only the deadline bounds
   the time to connect.  */
static void
arm_connect_timer (struct ab_upstream_call *call, uint64_t connect_ms)
{
  if (connect_ms == 0)
    return;
  call->connect_timer
      = evtimer_new (call->upstream->daemon->base, on_connect_timer, call);
  if (call->connect_timer)
    add_timer (call->connect_timer, connect_ms);
}

/* Ends CALL, of which nothing was sent, with END from the event loop.  */
static void
end_unsent (struct ab_upstream_call *call, enum ab_attempt_end end)
{
  if (call->connection)
    ab_connection_close (call->connection);
  call->connection = NULL;
  call->attempt.end = end;
  arm_timer (call, 0);
}

static void
set_no_delay (const struct ab_connection *connection)
{
  int on = 1;
  int fd = bufferevent_getfd (connection->bev);

  /* Requests are small: with Nagle's algorithm, the second segment of a
     request would wait for the acknowledgement of the first.  */
  if (fd >= 0)
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/* Returns the longest idle time in milliseconds of a connection that REQUEST
   may reuse; 0: no bound.  */
static uint64_t
idle_bound (const struct ab_upstream_request *request)
{
  if (request->idle_ms)
    return request->idle_ms;
  return request->non_idempotent ? AB_UPSTREAM_NON_IDEMPOTENT_IDLE_MS : 0;
}

struct ab_upstream_call *
ab_upstream_send (struct ab_upstream *upstream,
                  const struct ab_upstream_request *request,
                  ab_upstream_callback callback, void *ctx)
{
  struct ab_upstream_call *call = calloc (1, sizeof *call);

  if (!call)
    return NULL;
  call->timer = evtimer_new (upstream->daemon->base, on_timer, call);
  if (!call->timer
      || ab_buf_append_chunk (&call->echo_value, request->echo_value) < 0)
    goto fail;
  call->upstream = upstream;
  call->callback = callback;
  call->ctx = ctx;
  call->head = request->type == EVHTTP_REQ_HEAD;
  call->begin_us = ab_clock_monotonic_us ();
  DL_APPEND (upstream->calls, call);
  arm_sweep (upstream);
  call->echo_name = request->echo_name;
  call->stamp_name = request->stamp_name;
  call->not_run_name = request->not_run_name;
  call->accept_unframed = request->accept_unframed;
  call->connection = ab_pools_take (
      upstream->pools, request->target, request->max_connections,
      idle_bound (request), is_connection_exclusive (call));
  if (!call->connection)
    {
      end_unsent (call, AB_ATTEMPT_FULL);
      return call;
    }
  call->reused = call->connection->used_ms > 0;
  arm_timer (call, request->deadline_ms);
  call->starting = true;
  if (make_request (call, request) < 0 || call->failed)
    end_unsent (call, AB_ATTEMPT_REFUSED);
  else
    {
      set_no_delay (call->connection);
      arm_connect_timer (call, request->connect_ms);
    }
  call->starting = false;
  return call;
fail:
  if (call->timer)
    event_free (call->timer);
  ab_buf_free (&call->echo_value);
  free (call);
  return NULL;
}

struct ab_attempt
ab_upstream_cancel (struct ab_upstream_call *call)
{
  struct ab_attempt attempt;

  record_traffic (call);
  attempt = call->attempt;
  attempt.end = AB_ATTEMPT_CANCELLED;
  if (call->connection)
    ab_connection_close (call->connection);
  free_call (call);
  return attempt;
}

bool
ab_upstream_written (const struct ab_upstream_call *call)
{
  return call->connection && call->connection->written;
}

bool
ab_upstream_response_started (const struct ab_upstream_call *call)
{
  return call->connection && call->connection->response_started;
}

int
ab_upstream_new (struct ab_daemon *daemon, uint64_t body_bytes,
                 uint64_t header_bytes, struct ab_upstream **upstream)
{
  struct ab_upstream *result = calloc (1, sizeof *result);
  int rc;

  *upstream = NULL;
  if (!result)
    return AB_ERR_MEMORY;
  result->daemon = daemon;
  result->body_bytes = body_bytes;
  result->header_bytes = header_bytes;
  result->sweep = evtimer_new (daemon->base, on_sweep, result);
  rc = result->sweep
           ? ab_pools_new (daemon, body_bytes, header_bytes, &result->pools)
           : AB_ERR_MEMORY;
  if (rc < 0)
    ab_upstream_free (result);
  else
    {
      ab_pools_set_check (result->pools, result->sweep);
      *upstream = result;
    }
  return rc;
}

void
ab_upstream_free (struct ab_upstream *upstream)
{
  struct ab_upstream_call *call;
  struct ab_upstream_call *next;

  if (!upstream)
    return;
  DL_FOREACH_SAFE (upstream->calls, call, next)
  ab_upstream_cancel (call);
  ab_pools_free (upstream->pools);
  if (upstream->sweep)
    event_free (upstream->sweep);
  free (upstream);
}

json_t *
ab_upstream_state (const struct ab_upstream *upstream)
{
  return ab_pools_state (upstream->pools);
}

bool
ab_upstream_rate_limit (const struct ab_upstream_result *result,
                        const char *name, const char *target,
                        uint64_t *per_1000_s, uint64_t *age_ms)
{
  const struct ab_attempt *attempt = &result->attempt;
  const char *text;

  if (attempt->end != AB_ATTEMPT_RESPONSE)
    return false;
  text = evhttp_find_header (result->headers, name);
  if (!text)
    {
      *per_1000_s = AB_RATE_LIMIT_NONE;
      *age_ms = result->latency_us / 1000;
      return !attempt->shed && attempt->status < HTTP_SERVER_ERROR;
    }
  *age_ms = 0;
  if (ab_rate_limit_parse (ab_chunk_str (text), per_1000_s))
    return true;
  AB_LOG (AB_LOG_WARN, "rate_limit_unusable", ab_log_str ("target", target),
          ab_log_str ("value", text));
  return false;
}
