#include "caller_watch_task.h"

#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <poll.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>

/* Interval of the checks once the caller has sent more bytes.  */
#define POLL_MS 100

struct ab_caller_watch
{
  struct event *event;
  evutil_socket_t fd;
  void (*on_gone) (void *ctx);
  void *ctx;
};

static void
end_watch (struct ab_caller_watch *watch)
{
  event_del (watch->event);
  watch->on_gone (watch->ctx);
}

static void
on_poll (evutil_socket_t unused, short what, void *arg)
{
  struct ab_caller_watch *watch = arg;
  struct pollfd poll_fd = { .fd = watch->fd, .events = POLLRDHUP };

  (void)unused;
  (void)what;
  if (poll (&poll_fd, 1, 0) > 0)
    end_watch (watch);
}

/* Waits without an event on the socket: bytes that evhttp reads after the
   reply would be reported again and again.  */
static void
poll_instead (struct ab_caller_watch *watch)
{
  const struct timeval interval = { .tv_usec = POLL_MS * 1000 };
  struct event_base *base = event_get_base (watch->event);

  event_del (watch->event);
  event_assign (watch->event, base, -1, EV_PERSIST, on_poll, watch);
  event_add (watch->event, &interval);
}

static void
on_event (evutil_socket_t fd, short what, void *arg)
{
  struct ab_caller_watch *watch = arg;
  ssize_t len;
  char byte;

  if (what & EV_CLOSED)
    {
      end_watch (watch);
      return;
    }
  len = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (len > 0)
    poll_instead (watch);
  else if (len == 0
           || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR))
    end_watch (watch);
}

struct ab_caller_watch *
ab_caller_watch_new (struct event_base *base,
                     struct evhttp_connection *connection,
                     void (*on_gone) (void *ctx), void *ctx)
{
  struct ab_caller_watch *watch = calloc (1, sizeof *watch);

  if (!watch)
    return NULL;
  watch->fd
      = bufferevent_getfd (evhttp_connection_get_bufferevent (connection));
  watch->on_gone = on_gone;
  watch->ctx = ctx;
  watch->event = event_new (base, watch->fd, EV_READ | EV_CLOSED | EV_PERSIST,
                            on_event, watch);
  if (watch->event && event_add (watch->event, NULL) == 0)
    return watch;
  ab_caller_watch_free (watch);
  return NULL;
}

void
ab_caller_watch_free (struct ab_caller_watch *watch)
{
  if (!watch)
    return;
  if (watch->event)
    event_free (watch->event);
  free (watch);
}
