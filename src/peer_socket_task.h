/* A ZeroMQ socket in the event loop.

   The descriptor of a ZeroMQ socket is edge-triggered and tells only that its
   events may have changed.  READY is therefore called for every change and
   must receive until nothing is left; after a send, the owner calls
   ab_peer_socket_check, since the send may have consumed the edge.  */

#ifndef AB_PEER_SOCKET_TASK_H
#define AB_PEER_SOCKET_TASK_H

#include <stdbool.h>

struct event;
struct event_base;

struct ab_peer_socket
{
  void *zmq;
  struct event *event;
  void (*ready) (void *ctx);
  void *ctx;
};

/* Creates a socket of TYPE; READY and CTX are set by the caller before.
   AB_ERR_UNAVAILABLE when sockets or events run out.  */
int ab_peer_socket_open (struct ab_peer_socket *socket, void *context,
                         int type, struct event_base *base);
void ab_peer_socket_close (struct ab_peer_socket *socket);

bool ab_peer_socket_readable (const struct ab_peer_socket *socket);
bool ab_peer_socket_writable (const struct ab_peer_socket *socket);

/* Calls READY from the event loop when something can be received.  */
void ab_peer_socket_check (struct ab_peer_socket *socket);

/* Sets an integer option; AB_ERR_UNAVAILABLE.  */
int ab_peer_socket_set (struct ab_peer_socket *socket, int option, int value);

#endif
