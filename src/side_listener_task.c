#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <utlist.h>

#include "clock.h"
#include "conf.h"
#include "conn_bounds_internal.h"
#include "error.h"
#include "log.h"

struct side_conn
{
  struct side_conn *prev;
  struct side_conn *next;
  struct ab_side_listener *listener;
  struct bufferevent *bev; /* Counted reference.  */
  struct ab_bounded_conn *bounded;
  uint64_t active_ms; /* Latest byte.  */
};

struct ab_side_listener
{
  struct ab_side_listener *next;
  struct ab_conn_bounds *bounds;
  struct evhttp_bound_socket *bound;
  char address[AB_ADDRESS_BYTES];
  struct side_conn *conns;
  size_t count;
  bool full; /* Accepts no connections.  */
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static void
on_bytes (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *arg)
{
  struct side_conn *conn = arg;

  (void)buffer;
  (void)info;
  conn->active_ms = now_ms ();
}

static void
free_conn (struct side_conn *conn)
{
  DL_DELETE (conn->listener->conns, conn);
  conn->listener->count--;
  ab_conn_bounds_remove (conn->bounded);
  evbuffer_remove_cb (bufferevent_get_input (conn->bev), on_bytes, conn);
  evbuffer_remove_cb (bufferevent_get_output (conn->bev), on_bytes, conn);
  bufferevent_decref (conn->bev);
  free (conn);
}

static uint64_t
max_count (const struct ab_side_listener *listener)
{
  return listener->bounds->daemon->settings->http.side_connections;
}

/* Returns whether no request is in progress.  evhttp reads nothing while a
   request is handled.  */
static bool
is_idle (const struct side_conn *conn)
{
  return !ab_conn_is_released (conn->bev)
         && (bufferevent_get_enabled (conn->bev) & EV_READ)
         && evbuffer_get_length (bufferevent_get_input (conn->bev)) == 0
         && evbuffer_get_length (bufferevent_get_output (conn->bev)) == 0;
}

/* Ends the connection that has been idle longest.  Returns false if there is
   none.  */
static bool
end_idle (struct ab_side_listener *listener)
{
  struct side_conn *longest = NULL;
  struct side_conn *conn;
  char byte;

  DL_FOREACH (listener->conns, conn)
  if (is_idle (conn) && (!longest || conn->active_ms < longest->active_ms)
      && recv (bufferevent_getfd (conn->bev), &byte, 1,
               MSG_PEEK | MSG_DONTWAIT)
             <= 0)
    longest = conn;
  if (!longest)
    return false;
  bufferevent_disable (longest->bev, EV_READ);
  shutdown (bufferevent_getfd (longest->bev), SHUT_RDWR);
  bufferevent_trigger_event (longest->bev, BEV_EVENT_READING | BEV_EVENT_EOF,
                             0);
  if (!ab_conn_is_released (longest->bev))
    return false;
  free_conn (longest);
  return true;
}

static void
sweep_listener (struct ab_side_listener *listener)
{
  struct evconnlistener *accepting
      = evhttp_bound_socket_get_listener (listener->bound);
  struct side_conn *conn;
  struct side_conn *next;
  bool full;

  DL_FOREACH_SAFE (listener->conns, conn, next)
  if (ab_conn_is_released (conn->bev))
    free_conn (conn);
  while (listener->count >= max_count (listener) && end_idle (listener))
    ;
  full = listener->count >= max_count (listener);
  if (full == listener->full)
    return;
  listener->full = full;
  if (full)
    {
      AB_LOG (AB_LOG_WARN, "side_connections_full",
              ab_log_str ("address", listener->address),
              ab_log_int ("connections", (int64_t)listener->count));
      evconnlistener_disable (accepting);
    }
  else
    evconnlistener_enable (accepting);
}

void
ab_side_listeners_sweep (struct ab_conn_bounds *bounds)
{
  struct ab_side_listener *listener;
  uint64_t count = 0;

  LL_FOREACH (bounds->listeners, listener)
  {
    sweep_listener (listener);
    count += listener->count;
  }
  *ab_counter (bounds->daemon->counters, "ab_side_connections") = count;
}

/* The bufferevent owns its socket: see new_bufferevent in
   caller_conns_task.c.  */
static struct bufferevent *
on_connection (struct event_base *base, void *arg)
{
  struct ab_side_listener *listener = arg;
  struct side_conn *conn = calloc (1, sizeof *conn);

  if (!conn)
    return NULL;
  conn->bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  conn->bounded
      = conn->bev ? ab_conn_bounds_add (listener->bounds, conn->bev) : NULL;
  if (!conn->bounded)
    {
      if (conn->bev)
        bufferevent_free (conn->bev);
      free (conn);
      return NULL;
    }
  conn->listener = listener;
  conn->active_ms = now_ms ();
  bufferevent_incref (conn->bev);
  evbuffer_add_cb (bufferevent_get_input (conn->bev), on_bytes, conn);
  evbuffer_add_cb (bufferevent_get_output (conn->bev), on_bytes, conn);
  DL_APPEND (listener->conns, conn);
  if (++listener->count >= max_count (listener))
    event_active (listener->bounds->sweep, EV_TIMEOUT, 0);
  return conn->bev;
}

void
ab_conn_bounds_limit_requests (struct evhttp *http)
{
  evhttp_set_max_headers_size (http, AB_SIDE_HEAD_BYTES);
  evhttp_set_max_body_size (http, AB_SIDE_BODY_BYTES);
}

int
ab_conn_bounds_listen (struct ab_conn_bounds *bounds, struct evhttp *http,
                       const char *address)
{
  struct ab_side_listener *listener;
  char host[AB_ADDRESS_BYTES];
  uint16_t port;
  int rc = ab_address_split (address, host, sizeof host, &port);

  if (rc < 0)
    return rc;
  listener = calloc (1, sizeof *listener);
  if (!listener)
    return AB_ERR_MEMORY;
  listener->bound = evhttp_bind_socket_with_handle (http, host, port);
  if (!listener->bound)
    {
      free (listener);
      return AB_ERR_IO;
    }
  listener->bounds = bounds;
  ab_chunk_copy_bounded (ab_chunk_str (address), listener->address,
                         sizeof listener->address);
  evhttp_set_bevcb (http, on_connection, listener);
  LL_PREPEND (bounds->listeners, listener);
  return 0;
}

void
ab_side_listeners_free (struct ab_conn_bounds *bounds)
{
  struct ab_side_listener *listener;
  struct ab_side_listener *next;
  struct side_conn *conn;
  struct side_conn *next_conn;

  LL_FOREACH_SAFE (bounds->listeners, listener, next)
  {
    DL_FOREACH_SAFE (listener->conns, conn, next_conn)
    free_conn (conn);
    free (listener);
  }
}
