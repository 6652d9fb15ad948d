/* The sending sockets of the peer task: one DEALER for each address.  A peer
   may answer on the connection that was made to it.

   A socket passes frames on only while its connection is up
   (ZMQ_IMMEDIATE), so a peer that is down collects nothing.  Frames sent
   while a connection is being made wait here, at most AB_PEER_WAIT_FRAMES for
   AB_PEER_WAIT_MS, so that the first frame to a new peer is not lost.  */

#ifndef AB_PEER_LINK_TASK_H
#define AB_PEER_LINK_TASK_H

#include <jansson.h>
#include <stdint.h>
#include <zmq.h>

#include "chunk.h"
#include "keys.h"
#include "peer_zap_task.h"

/* Open sockets at most; the least recently used one is closed first.  Each
   costs two descriptors.  */
#define AB_PEER_LINKS_MAX 128
/* Frames in a socket's queue.  A host at 10,000 frames/s to one peer fills
   it in 50 ms, the time after which a dispatcher's answer is worthless.  */
#define AB_PEER_SEND_FRAMES 512
#define AB_PEER_WAIT_FRAMES 32
#define AB_PEER_WAIT_BYTES (1024 * 1024)
#define AB_PEER_WAIT_MS 500
/* A socket that has carried no frame for this long is closed.  */
#define AB_PEER_IDLE_MS 12000

struct event_base;
struct ab_peer_links;

/* Takes a frame that a peer sent back.  It may use the links.  */
typedef void (*ab_peer_links_receive) (void *ctx, zmq_msg_t *message);

/* Without PAIR the connections are neither encrypted nor authenticated.  */
struct ab_peer_links *ab_peer_links_new (void *context,
                                         struct event_base *base,
                                         const struct ab_curve_pair *pair,
                                         ab_peer_links_receive receive,
                                         void *ctx);
void ab_peer_links_free (struct ab_peer_links *links);

/* Public keys that a peer may listen with, the own key first.  With more than
   one, a connection whose handshake fails is made again with the next.  Open
   connections are closed and made again at the next frame.  */
int ab_peer_links_set_keys (struct ab_peer_links *links,
                            const char (*keys)[AB_CURVE_KEY_BYTES],
                            size_t count);

/* Queues DATA, a whole frame.  AB_ERR_FULL, AB_ERR_UNAVAILABLE,
   AB_ERR_MEMORY.  */
int ab_peer_links_send (struct ab_peer_links *links, const char *address,
                        struct ab_chunk data, uint64_t now_ms);

void ab_peer_links_close (struct ab_peer_links *links, const char *address);

/* Sends waiting frames and drops those that are too old; called by the safety
   timer.  */
void ab_peer_links_poll (struct ab_peer_links *links, uint64_t now_ms);

/* Frames dropped because a queue was full or the peer was down.  */
uint64_t ab_peer_links_dropped (const struct ab_peer_links *links);

json_t *ab_peer_links_state (const struct ab_peer_links *links);

#endif
