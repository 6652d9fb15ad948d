#include "caller_conns_task.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <uthash.h>

#include "clock.h"
#include "conn_bounds_task.h"
#include "error.h"
#include "log.h"

#define SWEEP_MS 100
/* While draining, connections are closed after this idle time.  A caller
   usually sends its next request right after a reply, so that a close after
   this time collides with fewer requests.  */
#define DRAIN_IDLE_MS 1000
/* After a rejection the connection stays open for this long, and what arrives
   on it is discarded.  Closing it while bytes are unread would reset it, and
   the caller would not receive the rejection.  */
#define LINGER_MS 500
#define DISCARD_BYTES 16384
#define DISCARDS_MAX 64 /* Reads of a sweep from one connection.  */
/* Smaller requests are not rejected for the memory of all together.  */
#define LARGE_REQUEST_BYTES 65536
/* At the bound on connections, this part of them is closed at a time, so that
   idle ones are not sorted for each new one.  */
#define ROOM_DIVISOR 32
/* Least time between two log lines about connections closed for others.  */
#define ROOM_LOG_MS 1000
/* Above the bound, requests are checked whenever they have grown by this.  */
#define EXCESS_CHECK_BYTES (1024 * 1024)

struct conn
{
  struct ab_caller_conns *conns;
  struct bufferevent *bev; /* Counted reference.  */
  struct ab_bounded_conn *bounded;
  bool tls;
  bool busy;
  bool had_request;      /* A whole request has arrived on it.  */
  uint64_t receiving_ms; /* First byte of the next request; 0: none.  */
  uint64_t received_ms;  /* Latest byte of that request.  */
  uint64_t rejected_ms;  /* Rejection by this module; 0: not rejected.  */
  uint64_t held;    /* Bytes of the request that arrives or is in progress.  */
  uint64_t idle_ms; /* Start of the idle time.  */
  UT_hash_handle hh;
};

struct ab_caller_conns
{
  struct ab_daemon *daemon;
  struct evhttp *http;
  struct evhttp_bound_socket *bound; /* Null once closed.  */
  struct event *sweep;
  struct conn *conns;
  SSL_CTX *tls;
  bool draining;
  uint64_t drain_ms;     /* Start of the drain.  */
  uint64_t swept_ms;     /* Latest sweep.  */
  uint64_t held;         /* Bytes of all requests.  */
  uint64_t checked_held; /* HELD when it was last compared with its bound.  */
  bool full;             /* At the bound on connections: accepts none.  */
  uint64_t *gauge;
  uint64_t *held_gauge;
  uint64_t room_log_ms; /* Latest log line about connections closed for
                           others; 0: none.  */
  uint64_t *slow;
  uint64_t *too_much;
  uint64_t *displaced;
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

/* Sets the bytes that CONN's request holds.  */
static void
set_held (struct conn *conn, uint64_t held)
{
  conn->conns->held += held - conn->held;
  conn->held = held;
}

static void
on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *arg)
{
  struct conn *conn = arg;
  struct ab_caller_conns *conns = conn->conns;

  (void)buffer;
  if (info->n_added == 0 || conn->busy)
    return;
  conn->received_ms = now_ms ();
  if (conn->receiving_ms == 0)
    conn->receiving_ms = conn->received_ms;
  set_held (conn, conn->held + info->n_added);
  if (conns->held > conns->daemon->settings->http.requests_bytes
      && conns->held > conns->checked_held + EXCESS_CHECK_BYTES)
    event_active (conns->sweep, EV_TIMEOUT, 0);
}

/* A reply ends the wait for a request, whichever handler writes it.  */
static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
           void *arg)
{
  struct conn *conn = arg;

  (void)buffer;
  conn->idle_ms = now_ms ();
  if (info->n_added == 0)
    return;
  conn->receiving_ms = 0;
  if (!conn->busy)
    set_held (conn, 0);
}

static bool
is_released (const struct conn *conn)
{
  return ab_conn_is_released (conn->bev);
}

static void
free_conn (struct ab_caller_conns *conns, struct conn *conn)
{
  HASH_DEL (conns->conns, conn);
  set_held (conn, 0);
  ab_conn_bounds_remove (conn->bounded);
  evbuffer_remove_cb (bufferevent_get_input (conn->bev), on_input, conn);
  evbuffer_remove_cb (bufferevent_get_output (conn->bev), on_output, conn);
  bufferevent_decref (conn->bev);
  free (conn);
}

/* Drops the reference as soon as evhttp is done with the connection, which
   closes the socket.  */
static void
on_released (struct evhttp_connection *connection, void *arg)
{
  struct conn *conn = arg;

  evhttp_connection_set_closecb (connection, NULL, NULL);
  free_conn (conn->conns, conn);
}

/* Ends a connection that evhttp has not dropped.  evhttp gets the end of the
   stream without another read: a request that arrives meanwhile would be sent
   to a target and could not be answered.  */
static void
end_conn (const struct conn *conn)
{
  int fd = bufferevent_getfd (conn->bev);

  bufferevent_disable (conn->bev, EV_READ);
  if (fd >= 0)
    shutdown (fd, SHUT_RDWR);
  bufferevent_trigger_event (conn->bev, BEV_EVENT_READING | BEV_EVENT_EOF, 0);
}

/* Sends REFUSAL, which tells the caller of an incomplete request that it has
   not run.  evhttp reads no more of the connection from then on: the rest of
   the request would otherwise complete it, and it would run.  The reply
   bypasses evhttp, which treats any write as the end of a reply.  That is not
   possible over TLS, where the connection is only closed.  */
static void
reject (struct conn *conn, const char *refusal, uint64_t now)
{
  int fd = bufferevent_getfd (conn->bev);

  conn->rejected_ms = now;
  set_held (conn, 0);
  bufferevent_disable (conn->bev, EV_READ);
  if (conn->tls || fd < 0
      || send (fd, refusal, strlen (refusal), MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
    end_conn (conn);
  else
    shutdown (fd, SHUT_WR);
}

static void
reject_slow (struct ab_caller_conns *conns, struct conn *conn, uint64_t now)
{
  ++*conns->slow;
  AB_LOG (AB_LOG_INFO, "caller_too_slow",
          ab_log_int ("receiving_ms", (int64_t)(now - conn->receiving_ms)),
          ab_log_int ("silent_ms", (int64_t)(now - conn->received_ms)),
          ab_log_int ("buffered", (int64_t)evbuffer_get_length (
                                      bufferevent_get_input (conn->bev))));
  reject (conn,
          "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n"
          "Connection: close\r\n\r\n",
          now);
}

/* Rejects requests until all together are within the bound or one large
   request is left: the newest large one first, so that others can become
   whole.  */
static void
reject_excess (struct ab_caller_conns *conns, uint64_t now)
{
  uint64_t bound = conns->daemon->settings->http.requests_bytes;
  struct conn *newest;
  size_t large;

  do
    {
      newest = NULL;
      large = 0;
      if (conns->held <= bound)
        return;
      for (struct conn *conn = conns->conns; conn; conn = conn->hh.next)
        {
          /* A rejection would become a part of a response that is being
             written.  */
          if (conn->held < LARGE_REQUEST_BYTES || is_released (conn)
              || evbuffer_get_length (bufferevent_get_output (conn->bev)) > 0)
            continue;
          large++;
          if (!conn->busy
              && (!newest || conn->receiving_ms >= newest->receiving_ms))
            newest = conn;
        }
      if (!newest || large < 2)
        return;
      ++*conns->too_much;
      AB_LOG (AB_LOG_WARN, "requests_too_large",
              ab_log_int ("bytes", (int64_t)newest->held),
              ab_log_int ("all_bytes", (int64_t)conns->held));
      reject (newest,
              "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
              "Content-Length: 0\r\nConnection: close\r\n\r\n",
              now);
    }
  while (newest);
}

/* Discards what arrives on a rejected connection, and drops it after LINGER_MS
   or once the caller has closed it.  */
static void
discard_input (const struct conn *conn, uint64_t now)
{
  int fd = bufferevent_getfd (conn->bev);
  char bytes[DISCARD_BYTES];
  ssize_t len = 0;

  /* A caller may send without end.  */
  for (int i = 0; i < DISCARDS_MAX; i++)
    {
      len = fd >= 0 ? recv (fd, bytes, sizeof bytes, MSG_DONTWAIT) : 0;
      if (len < (ssize_t)sizeof bytes)
        break;
    }
  if (now - conn->rejected_ms > LINGER_MS || len == 0
      || (len < 0 && errno != EAGAIN && errno != EWOULDBLOCK
          && errno != EINTR))
    end_conn (conn);
}

/* Returns whether unread bytes of a request are in the socket.  */
static bool
has_unread_bytes (const struct conn *conn)
{
  int fd = bufferevent_getfd (conn->bev);
  char byte;

  return fd >= 0 && recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* STALLED_MS is the time before NOW in which the event loop could not read:
   the process was suspended or busy.  It does not count against the
   caller.  */
static void
check_conn (struct ab_caller_conns *conns, struct conn *conn,
            uint64_t stalled_ms, uint64_t now)
{
  const struct ab_http_settings *http = &conns->daemon->settings->http;

  if (conn->busy
      || evbuffer_get_length (bufferevent_get_output (conn->bev)) > 0)
    return;
  if (conn->receiving_ms > 0 && stalled_ms > 0)
    conn->receiving_ms = conn->receiving_ms + stalled_ms < now
                             ? conn->receiving_ms + stalled_ms
                             : now;
  if (conn->rejected_ms > 0)
    discard_input (conn, now);
  else if (conn->receiving_ms > 0)
    {
      if (now - conn->receiving_ms > http->header_time_ms)
        reject_slow (conns, conn, now);
    }
  else if ((now - conn->idle_ms > http->idle_time_ms
            && !has_unread_bytes (conn))
           || (conns->draining && now - conns->drain_ms > DRAIN_IDLE_MS
               && now - conn->idle_ms > DRAIN_IDLE_MS
               && !has_unread_bytes (conn)))
    end_conn (conn);
}

static bool
is_idle (const struct conn *conn)
{
  return !conn->busy && conn->receiving_ms == 0 && conn->rejected_ms == 0
         && !is_released (conn)
         && evbuffer_get_length (bufferevent_get_output (conn->bev)) == 0;
}

struct idle_conn
{
  struct conn *conn;
};

/* Orders connections by who makes room first: those without a request so far,
   then those that have been idle for longer.  */
static int
compare_idle (const void *a, const void *b)
{
  const struct conn *x = ((const struct idle_conn *)a)->conn;
  const struct conn *y = ((const struct idle_conn *)b)->conn;

  if (x->had_request != y->had_request)
    return x->had_request ? 1 : -1;
  return (x->idle_ms > y->idle_ms) - (x->idle_ms < y->idle_ms);
}

/* At the bound on connections, ends idle ones so that new callers are
   accepted.  Callers that open connections and send nothing would otherwise
   keep all others out for the idle time.  */
static void
make_room (struct ab_caller_conns *conns, uint64_t now)
{
  size_t bound = conns->daemon->settings->http.connections;
  size_t target = bound - bound / ROOM_DIVISOR - 1;
  size_t count = HASH_COUNT (conns->conns);
  size_t idle_count = 0;
  uint64_t ended = 0;
  struct idle_conn *idle;
  struct conn *conn;

  if (count == 0 || count < bound)
    return;
  idle = malloc (count * sizeof *idle);
  if (!idle)
    return;
  for (conn = conns->conns; conn; conn = conn->hh.next)
    if (is_idle (conn))
      idle[idle_count++].conn = conn;
  qsort (idle, idle_count, sizeof *idle, compare_idle);
  for (size_t i = 0; i < idle_count && HASH_COUNT (conns->conns) > target; i++)
    {
      if (has_unread_bytes (idle[i].conn))
        continue;
      end_conn (idle[i].conn);
      ended++;
      if (is_released (idle[i].conn))
        free_conn (conns, idle[i].conn);
    }
  free (idle);
  *conns->displaced += ended;
  if (ended > 0
      && (!conns->room_log_ms || now - conns->room_log_ms >= ROOM_LOG_MS))
    {
      AB_LOG (AB_LOG_WARN, "caller_connections_displaced",
              ab_log_int ("connections", (int64_t)count),
              ab_log_int ("ended", (int64_t)ended));
      conns->room_log_ms = now;
    }
}

static void
update_listener (struct ab_caller_conns *conns)
{
  struct evconnlistener *listener
      = conns->bound ? evhttp_bound_socket_get_listener (conns->bound) : NULL;
  size_t count = HASH_COUNT (conns->conns);
  bool full = count >= conns->daemon->settings->http.connections;

  *conns->gauge = count;
  *conns->held_gauge = conns->held;
  if (full == conns->full || !listener)
    return;
  conns->full = full;
  if (full)
    {
      AB_LOG (AB_LOG_WARN, "caller_connections_full",
              ab_log_int ("connections", (int64_t)count));
      evconnlistener_disable (listener);
    }
  else
    evconnlistener_enable (listener);
}

static void
on_sweep (evutil_socket_t fd, short what, void *arg)
{
  struct ab_caller_conns *conns = arg;
  struct conn *conn;
  struct conn *next;
  uint64_t now = now_ms ();
  uint64_t since_ms = now - conns->swept_ms;
  uint64_t stalled_ms = since_ms > 2 * SWEEP_MS ? since_ms - SWEEP_MS : 0;

  (void)fd;
  (void)what;
  conns->swept_ms = now;
  reject_excess (conns, now);
  conns->checked_held = conns->held;
  HASH_ITER (hh, conns->conns, conn, next)
  if (is_released (conn))
    free_conn (conns, conn);
  else
    check_conn (conns, conn, stalled_ms, now);
  make_room (conns, now);
  update_listener (conns);
}

/* With BEV_OPT_CLOSE_ON_FREE, the socket is closed when the last reference is
   dropped.  evhttp would close it while the bufferevent still reads on its
   number, which the next connection gets: the two would share what arrives on
   that one.  */
static struct bufferevent *
new_bufferevent (struct ab_caller_conns *conns)
{
  struct event_base *base = conns->daemon->base;
  struct bufferevent *bev;
  SSL *ssl;

  if (!conns->tls)
    return bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  ssl = SSL_new (conns->tls);
  bev = ssl ? bufferevent_openssl_socket_new (
            base, -1, ssl, BUFFEREVENT_SSL_ACCEPTING, BEV_OPT_CLOSE_ON_FREE)
            : NULL;
  if (ssl && !bev)
    SSL_free (ssl);
  return bev;
}

static struct bufferevent *
on_connection (struct event_base *base, void *arg)
{
  struct ab_caller_conns *conns = arg;
  struct conn *conn = calloc (1, sizeof *conn);

  (void)base;
  if (!conn)
    return NULL;
  conn->conns = conns;
  conn->tls = conns->tls;
  conn->bev = new_bufferevent (conns);
  conn->bounded
      = conn->bev ? ab_conn_bounds_add (conns->daemon->conn_bounds, conn->bev)
                  : NULL;
  if (!conn->bounded)
    {
      if (conn->bev)
        bufferevent_free (conn->bev);
      free (conn);
      return NULL;
    }
  conn->idle_ms = now_ms ();
  bufferevent_incref (conn->bev);
  evbuffer_add_cb (bufferevent_get_input (conn->bev), on_input, conn);
  evbuffer_add_cb (bufferevent_get_output (conn->bev), on_output, conn);
  HASH_ADD_PTR (conns->conns, bev, conn);
  if (HASH_COUNT (conns->conns) >= conns->daemon->settings->http.connections)
    event_active (conns->sweep, EV_TIMEOUT, 0);
  return conn->bev;
}

int
ab_caller_conns_new (struct ab_daemon *daemon, struct evhttp *http,
                     struct evhttp_bound_socket *bound,
                     struct ab_caller_conns **conns)
{
  struct ab_caller_conns *result = calloc (1, sizeof *result);
  struct timeval tv = { .tv_usec = SWEEP_MS * 1000 };

  *conns = NULL;
  if (!result)
    return AB_ERR_MEMORY;
  result->daemon = daemon;
  result->http = http;
  result->bound = bound;
  result->swept_ms = now_ms ();
  result->gauge = ab_counter (daemon->counters, "ab_caller_connections");
  result->slow = ab_counter (daemon->counters, "ab_caller_slow_total");
  result->held_gauge = ab_counter (daemon->counters, "ab_requests_bytes");
  result->too_much
      = ab_counter (daemon->counters, "ab_requests_too_large_total");
  result->displaced
      = ab_counter (daemon->counters, "ab_caller_displaced_total");
  result->sweep = event_new (daemon->base, -1, EV_PERSIST, on_sweep, result);
  if (!result->sweep || event_add (result->sweep, &tv) < 0)
    {
      ab_caller_conns_free (result);
      return AB_ERR_MEMORY;
    }
  evhttp_set_bevcb (http, on_connection, result);
  *conns = result;
  return 0;
}

void
ab_caller_conns_free (struct ab_caller_conns *conns)
{
  struct conn *conn;
  struct conn *next;

  if (!conns)
    return;
  HASH_ITER (hh, conns->conns, conn, next)
  free_conn (conns, conn);
  if (conns->sweep)
    event_free (conns->sweep);
  if (conns->tls)
    SSL_CTX_free (conns->tls);
  free (conns);
}

void
ab_caller_conns_set_tls (struct ab_caller_conns *conns, SSL_CTX *ctx)
{
  if (conns->tls)
    SSL_CTX_free (conns->tls);
  conns->tls = ctx;
}

static struct conn *
find_conn (struct ab_caller_conns *conns, struct evhttp_connection *connection)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  struct conn *conn = NULL;

  HASH_FIND_PTR (conns->conns, &bev, conn);
  return conn;
}

void
ab_caller_conns_begin (struct ab_caller_conns *conns,
                       struct evhttp_request *req)
{
  struct conn *conn = find_conn (conns, evhttp_request_get_connection (req));

  if (!conn)
    return;
  conn->busy = true;
  conn->had_request = true;
  conn->receiving_ms = 0;
  evhttp_connection_set_closecb (evhttp_request_get_connection (req),
                                 on_released, conn);
}

void
ab_caller_conns_end (struct ab_caller_conns *conns,
                     struct evhttp_connection *connection)
{
  struct conn *conn = find_conn (conns, connection);

  if (!conn)
    return;
  conn->busy = false;
  conn->idle_ms = now_ms ();
  set_held (conn, 0);
}

void
ab_caller_conns_drain (struct ab_caller_conns *conns, bool draining)
{
  conns->draining = draining;
  conns->drain_ms = now_ms ();
}

size_t
ab_caller_conns_count (const struct ab_caller_conns *conns)
{
  return HASH_COUNT (conns->conns);
}

size_t
ab_caller_conns_writing (const struct ab_caller_conns *conns)
{
  const struct conn *conn;
  size_t count = 0;

  for (conn = conns->conns; conn; conn = conn->hh.next)
    if (!is_released (conn)
        && evbuffer_get_length (bufferevent_get_output (conn->bev)) > 0)
      count++;
  return count;
}

uint64_t
ab_caller_conns_unsent (const struct ab_caller_conns *conns)
{
  uint64_t bytes = 0;

  for (const struct conn *conn = conns->conns; conn; conn = conn->hh.next)
    if (!is_released (conn))
      bytes += evbuffer_get_length (bufferevent_get_output (conn->bev));
  return bytes;
}

void
ab_caller_conns_close_listener (struct ab_caller_conns *conns)
{
  if (conns->bound)
    evhttp_del_accept_socket (conns->http, conns->bound);
  conns->bound = NULL;
}
