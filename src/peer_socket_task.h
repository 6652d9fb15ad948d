/* Integration of a ZeroMQ socket into the event loop.

   The descriptor of a ZeroMQ socket is edge-triggered and signals only that
   the socket's events may have changed.  READY is therefore called for every
   change and must receive until nothing is left, or call
   ab_peer_socket_check; after a send, the owner calls ab_peer_socket_check as
   well, since the send may have consumed the edge.  */

#ifndef AB_PEER_SOCKET_TASK_H
#define AB_PEER_SOCKET_TASK_H

#include <stdbool.h>

struct event;
struct event_base;

struct ab_peer_socket
{
  void *zmq;           /* Null while closed.  */
  struct event *event; /* Watches the socket's descriptor.  */
  void (*ready) (void *ctx);
  void *ctx; /* Argument of READY.  */
};

/* Creates a ZeroMQ socket of TYPE in CONTEXT and watches it from BASE.  The
   caller sets READY and CTX first.  Returns 0, or AB_ERR_UNAVAILABLE when
   sockets or events run out.  */
int ab_peer_socket_open (struct ab_peer_socket *socket, void *context,
                         int type, struct event_base *base);
/* Closes SOCKET; no effect on one that is closed.  */
void ab_peer_socket_close (struct ab_peer_socket *socket);

/* Return whether a message can be received or sent without blocking.  */
bool ab_peer_socket_readable (const struct ab_peer_socket *socket);
bool ab_peer_socket_writable (const struct ab_peer_socket *socket);

/* Makes the event loop call READY if a message can be received.  */
void ab_peer_socket_check (struct ab_peer_socket *socket);

/* Sets the integer socket option OPTION to VALUE.  Returns 0, or
   AB_ERR_UNAVAILABLE when ZeroMQ rejects it.  */
int ab_peer_socket_set (struct ab_peer_socket *socket, int option, int value);

#endif
