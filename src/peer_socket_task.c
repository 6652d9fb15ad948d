#include "peer_socket_task.h"

#include <event2/event.h>
#include <string.h>
#include <zmq.h>

#include "error.h"

static void
on_event (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_peer_socket *socket = ctx;

  (void)fd;
  (void)events;
  socket->ready (socket->ctx);
}

int
ab_peer_socket_open (struct ab_peer_socket *socket, void *context, int type,
                     struct event_base *base)
{
  int fd = -1;
  size_t size = sizeof fd;

  socket->event = NULL;
  socket->zmq = zmq_socket (context, type);
  if (!socket->zmq || zmq_getsockopt (socket->zmq, ZMQ_FD, &fd, &size) < 0)
    goto fail;
  socket->event = event_new (base, fd, EV_READ | EV_PERSIST, on_event, socket);
  if (!socket->event || event_add (socket->event, NULL) < 0)
    goto fail;
  return 0;
fail:
  ab_peer_socket_close (socket);
  return AB_ERR_UNAVAILABLE;
}

void
ab_peer_socket_close (struct ab_peer_socket *socket)
{
  if (socket->event)
    event_free (socket->event);
  if (socket->zmq)
    zmq_close (socket->zmq);
  socket->event = NULL;
  socket->zmq = NULL;
}

static int
socket_events (const struct ab_peer_socket *socket)
{
  int events = 0;
  size_t size = sizeof events;

  if (zmq_getsockopt (socket->zmq, ZMQ_EVENTS, &events, &size) < 0)
    return 0;
  return events;
}

bool
ab_peer_socket_readable (const struct ab_peer_socket *socket)
{
  return socket_events (socket) & ZMQ_POLLIN;
}

bool
ab_peer_socket_writable (const struct ab_peer_socket *socket)
{
  return socket_events (socket) & ZMQ_POLLOUT;
}

void
ab_peer_socket_check (struct ab_peer_socket *socket)
{
  if (ab_peer_socket_readable (socket))
    event_active (socket->event, EV_READ, 0);
}

int
ab_peer_socket_set (struct ab_peer_socket *socket, int option, int value)
{
  return zmq_setsockopt (socket->zmq, option, &value, sizeof value) < 0
             ? AB_ERR_UNAVAILABLE
             : 0;
}
