/* Outgoing connections of the peer task: one DEALER socket for each address.
   A peer may reply on the connection that was opened to it.

   A socket accepts frames only while its connection is up (ZMQ_IMMEDIATE), so
   no stale frames accumulate for a peer that is down.  Frames that a socket
   does not accept, for example while its connection is being established, are
   held as pending, at most AB_PEER_PENDING_FRAMES_MAX of them for
   AB_PEER_PENDING_TIMEOUT_MS, so that the first frame to a new peer is not
   lost.  */

#ifndef AB_PEER_LINK_TASK_H
#define AB_PEER_LINK_TASK_H

#include <jansson.h>
#include <stdint.h>
#include <zmq.h>

#include "chunk.h"
#include "keys.h"
#include "peer_zap_task.h"

/* Maximum number of open sockets; the least recently used one is closed first.
   Each uses two descriptors.  */
#define AB_PEER_LINKS_MAX 128
/* High-water mark of a socket's send and receive queues, frames.  At 10,000
   frames/s to one peer the queue fills in 50 ms, the time after which a
   dispatcher's reply is useless.  */
#define AB_PEER_SEND_QUEUE_FRAMES 512
#define AB_PEER_PENDING_FRAMES_MAX 32
#define AB_PEER_PENDING_BYTES_MAX (1024 * 1024)
#define AB_PEER_PENDING_TIMEOUT_MS 500
/* A socket on which nothing has been sent for this long is closed.  */
#define AB_PEER_IDLE_TIMEOUT_MS 12000

struct event_base;
struct ab_peer_links;

/* Handles MESSAGE, a frame that a peer sent on a connection opened to it.  The
   callback may call functions of this module.  */
typedef void (*ab_peer_links_receive) (void *ctx, zmq_msg_t *message);

/* Returns null when memory runs out.  Opens no socket yet.  If PAIR is null,
   the connections are neither encrypted nor authenticated.  */
struct ab_peer_links *ab_peer_links_new (void *context,
                                         struct event_base *base,
                                         const struct ab_curve_pair *pair,
                                         ab_peer_links_receive receive,
                                         void *ctx);
void ab_peer_links_free (struct ab_peer_links *links);

/* Sets the COUNT public keys that a peer may listen with, the key of this
   process first.  If there is more than one, a connection whose handshake
   fails is retried with the next key.  Closes the open connections; the next
   frame to a peer reopens them.  AB_ERR_TOO_LARGE unless COUNT is 1 to
   AB_PEER_KEYS_MAX.  */
int ab_peer_links_set_keys (struct ab_peer_links *links,
                            const char (*keys)[AB_CURVE_KEY_BYTES],
                            size_t count);

/* Queues DATA, a complete encoded frame, for the peer at ADDRESS; opens a
   connection if there is none.  NOW_MS is monotonic time.  Returns 0,
   AB_ERR_FULL, AB_ERR_UNAVAILABLE when sockets run out, AB_ERR_INVALID for an
   unusable address, or AB_ERR_MEMORY.  */
int ab_peer_links_send (struct ab_peer_links *links, const char *address,
                        struct ab_chunk data, uint64_t now_ms);

/* Closes the connection to ADDRESS, if any, and drops its pending frames.  */
void ab_peer_links_close (struct ab_peer_links *links, const char *address);

/* Sends pending frames, drops those that have expired, closes idle sockets and
   retries failed handshakes with the next key; called by the poll timer of
   the peer task.  */
void ab_peer_links_poll (struct ab_peer_links *links, uint64_t now_ms);

/* Returns the number of frames dropped because a queue was full or the peer
   was down.  */
uint64_t ab_peer_links_dropped (const struct ab_peer_links *links);

/* Returns an array with an object for each socket, for the state dump.  */
json_t *ab_peer_links_state (const struct ab_peer_links *links);

#endif
