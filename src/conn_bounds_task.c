#include "conn_bounds_task.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <linux/sockios.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utlist.h>

#include "clock.h"
#include "conn_bounds_internal.h"
#include "error.h"
#include "log.h"

#define SWEEP_MS 100
/* A connection whose peer has acknowledged nothing for this long reads
   nothing.  Packets that are lost in a row take less.  */
#define STALLED_MS 2000

struct ab_bounded_conn
{
  struct ab_bounded_conn *prev;
  struct ab_bounded_conn *next;
  struct ab_conn_bounds *bounds;
  struct bufferevent *bev;
  bool limited;           /* Reads ahead at most AB_READ_AHEAD_BYTES.  */
  size_t input_len;       /* At the latest sweep.  */
  uint64_t unread;        /* Bytes that the peer has not acknowledged.  */
  uint64_t progressed_ms; /* Latest change of UNREAD.  */
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

bool
ab_conn_is_released (struct bufferevent *bev)
{
  bufferevent_data_cb read_cb;
  bufferevent_data_cb write_cb;
  bufferevent_event_cb event_cb;
  void *arg;

  bufferevent_getcb (bev, &read_cb, &write_cb, &event_cb, &arg);
  return !event_cb;
}

static size_t
input_len (const struct ab_bounded_conn *conn)
{
  return evbuffer_get_length (bufferevent_get_input (conn->bev));
}

static size_t
output_len (const struct ab_bounded_conn *conn)
{
  return evbuffer_get_length (bufferevent_get_output (conn->bev));
}

static void
limit_reads (struct ab_bounded_conn *conn, bool limited)
{
  if (conn->limited == limited)
    return;
  conn->limited = limited;
  bufferevent_setwatermark (conn->bev, EV_READ, 0,
                            limited ? AB_READ_AHEAD_BYTES : 0);
}

/* While a response waits for its peer, and until the requests that were read
   behind it have been parsed, no more is read.  */
static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
           void *arg)
{
  struct ab_bounded_conn *conn = arg;
  struct ab_conn_bounds *bounds = conn->bounds;

  bounds->output += info->n_added;
  bounds->output -= info->n_deleted;
  if (info->n_added > 0)
    limit_reads (conn, true);
  else if (evbuffer_get_length (buffer) == 0
           && input_len (conn) < AB_READ_AHEAD_BYTES)
    limit_reads (conn, false);
  if (info->n_added > 0 && bounds->output > bounds->bound
      && bounds->output > bounds->checked + bounds->bound / 8)
    event_active (bounds->sweep, EV_TIMEOUT, 0);
}

/* evhttp takes a chunk of a body only when all of it has arrived, which may be
   more than a connection reads ahead.  What waits to be parsed although no
   response is under way is such a part: the limit ends.  */
static void
release_partial (struct ab_bounded_conn *conn)
{
  size_t len = input_len (conn);

  if (conn->limited && output_len (conn) == 0 && len == conn->input_len
      && (bufferevent_get_enabled (conn->bev) & EV_READ))
    limit_reads (conn, false);
  conn->input_len = len;
}

/* Updates the bytes that CONN's peer has not read.  Those in the system's
   buffer tell a slow reader from one that reads nothing: space there is
   reported only in large pieces.  */
static void
update_progress (struct ab_bounded_conn *conn, uint64_t now)
{
  int fd = bufferevent_getfd (conn->bev);
  int queued = 0;
  uint64_t unread;

  if (fd >= 0 && ioctl (fd, SIOCOUTQ, &queued) < 0)
    queued = 0;
  unread = output_len (conn) + (uint64_t)queued;
  if (unread != conn->unread || output_len (conn) == 0)
    conn->progressed_ms = now;
  conn->unread = unread;
}

static uint64_t
held_bytes (const struct ab_bounded_conn *conn)
{
  return output_len (conn) > 0 ? output_len (conn) + input_len (conn) : 0;
}

/* Closes CONN with a reset: the response is not complete.  The failed write
   makes evhttp drop the connection.  */
static void
close_unread (struct ab_bounded_conn *conn, uint64_t all, uint64_t now)
{
  const struct linger linger = { .l_onoff = 1 };
  int fd = bufferevent_getfd (conn->bev);

  ++*conn->bounds->closed;
  AB_LOG (AB_LOG_WARN, "unread_response_closed",
          ab_log_int ("bytes", (int64_t)held_bytes (conn)),
          ab_log_int ("all_bytes", (int64_t)all),
          ab_log_int ("silent_ms", (int64_t)(now - conn->progressed_ms)));
  if (fd >= 0)
    {
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      shutdown (fd, SHUT_RDWR);
    }
  conn->progressed_ms = now; /* Not chosen again.  */
  /* May free CONN.  */
  bufferevent_trigger_event (conn->bev, BEV_EVENT_WRITING | BEV_EVENT_ERROR,
                             0);
}

/* Closes the connections that hold most and read nothing until the others are
   within the bound.  */
static void
close_excess (struct ab_conn_bounds *bounds, uint64_t all, uint64_t now)
{
  while (all > bounds->bound)
    {
      struct ab_bounded_conn *most = NULL;
      struct ab_bounded_conn *conn;
      uint64_t bytes;
      DL_FOREACH (bounds->conns, conn)
      if (now - conn->progressed_ms > STALLED_MS && held_bytes (conn) > 0
          && (!most || held_bytes (conn) > held_bytes (most)))
        most = conn;
      if (!most)
        return;
      bytes = held_bytes (most);
      close_unread (most, all, now);
      all -= bytes < all ? bytes : all;
    }
}

static void
on_sweep (evutil_socket_t fd, short what, void *arg)
{
  struct ab_conn_bounds *bounds = arg;
  struct ab_bounded_conn *conn;
  uint64_t now = now_ms ();
  uint64_t all = 0;

  (void)fd;
  (void)what;
  ab_side_listeners_sweep (bounds);
  DL_FOREACH (bounds->conns, conn)
  {
    if (ab_conn_is_released (conn->bev))
      continue;
    release_partial (conn);
    update_progress (conn, now);
    all += held_bytes (conn);
  }
  bounds->checked = bounds->output;
  *bounds->gauge = all;
  close_excess (bounds, all, now);
}

struct ab_bounded_conn *
ab_conn_bounds_add (struct ab_conn_bounds *bounds, struct bufferevent *bev)
{
  struct ab_bounded_conn *conn = calloc (1, sizeof *conn);

  if (!conn)
    return NULL;
  conn->bounds = bounds;
  conn->bev = bev;
  conn->progressed_ms = now_ms ();
  evbuffer_add_cb (bufferevent_get_output (bev), on_output, conn);
  DL_APPEND (bounds->conns, conn);
  return conn;
}

void
ab_conn_bounds_remove (struct ab_bounded_conn *conn)
{
  if (!conn)
    return;
  conn->bounds->output -= output_len (conn);
  evbuffer_remove_cb (bufferevent_get_output (conn->bev), on_output, conn);
  DL_DELETE (conn->bounds->conns, conn);
  free (conn);
}

int
ab_conn_bounds_new (struct ab_daemon *daemon, struct ab_conn_bounds **bounds)
{
  const struct timeval interval = { .tv_usec = SWEEP_MS * 1000 };
  struct ab_conn_bounds *result = calloc (1, sizeof *result);

  *bounds = NULL;
  if (!result)
    return AB_ERR_MEMORY;
  result->daemon = daemon;
  result->bound = daemon->settings->http.unread_bytes;
  result->gauge = ab_counter (daemon->counters, "ab_unread_bytes");
  result->closed
      = ab_counter (daemon->counters, "ab_unread_responses_closed_total");
  result->sweep = event_new (daemon->base, -1, EV_PERSIST, on_sweep, result);
  if (!result->sweep || event_add (result->sweep, &interval) < 0)
    {
      ab_conn_bounds_free (result);
      return AB_ERR_MEMORY;
    }
  *bounds = result;
  return 0;
}

void
ab_conn_bounds_free (struct ab_conn_bounds *bounds)
{
  if (!bounds)
    return;
  ab_side_listeners_free (bounds);
  if (bounds->sweep)
    event_free (bounds->sweep);
  free (bounds);
}
