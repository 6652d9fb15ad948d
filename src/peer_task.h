/* Frames to and from the other processes, over ZeroMQ with CURVE.

   Owns one ROUTER, bound to the peer listen address, and one DEALER for each
   peer that is called.  Answers may go back on the connection that the peer
   made, so that a process that only answers opens none.
   A frame to this host itself is delivered through the event loop without a
   socket.  Queues are bounded: when a peer's queue is full, new frames to it
   are dropped and counted.  */

#ifndef AB_PEER_TASK_H
#define AB_PEER_TASK_H

#include <jansson.h>

#include "daemon.h"
#include "frame.h"

/* Handles a frame; its chunks are valid during the call.  */
typedef void (*ab_peer_handler) (void *ctx, const struct ab_frame *frame);

int ab_peer_task_new (struct ab_daemon *daemon, struct ab_peer_task **task,
                      char error[AB_CONF_ERROR_BYTES]);
void ab_peer_task_free (struct ab_peer_task *task);

/* Frames of TYPE go to HANDLER.  One handler a type.  */
void ab_peer_task_handle (struct ab_peer_task *task, enum ab_frame_type type,
                          ab_peer_handler handler, void *ctx);

/* Tells where HOST listens for peers; replaces an earlier address.  */
int ab_peer_task_set_address (struct ab_peer_task *task, struct ab_chunk host,
                              const char *address);

/* Closes the socket to HOST and forgets it.  */
void ab_peer_task_forget (struct ab_peer_task *task, struct ab_chunk host);

/* Queues a frame.  AB_ERR_NOT_FOUND when the host's address is not known,
   AB_ERR_FULL, AB_ERR_TOO_LARGE.  Success does not mean delivery.  */
int ab_peer_task_send (struct ab_peer_task *task, struct ab_chunk host,
                       enum ab_frame_type type, struct ab_chunk body);

/* The same on the connection that HOST made, if a frame came on it a moment
   ago.  For answers to many peers; the order with frames that are sent
   otherwise is not kept.  */
int ab_peer_task_answer (struct ab_peer_task *task, struct ab_chunk host,
                         enum ab_frame_type type, struct ab_chunk body);

/* Sends to an address whose host is not known yet (a seed).  */
int ab_peer_task_send_address (struct ab_peer_task *task, const char *address,
                               enum ab_frame_type type, struct ab_chunk body);

/* The address that the peer socket is bound to, with the port that the system
   chose when the settings give port 0.  */
const char *ab_peer_task_address (const struct ab_peer_task *task);

/* Accepts the fleet's own key and KEYS from now on, as sender and as receiver
   of a connection, for a key rotation without a stop.  Established incoming
   connections stay.  AB_ERR_TOO_LARGE, AB_ERR_INVALID.  */
int ab_peer_task_accept_keys (struct ab_peer_task *task,
                              const char (*keys)[AB_CURVE_KEY_BYTES],
                              size_t count);

/* State dump: peers, queues, counts by frame type, rejected strangers.  */
json_t *ab_peer_task_state (const struct ab_peer_task *task);

#endif
