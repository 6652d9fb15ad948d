/* Exchange of frames with the other processes, over ZeroMQ with CURVE.

   The task owns one ROUTER socket, bound to the peer listen address, and one
   DEALER socket for each peer that it sends to.  Replies may use the
   connection that the peer opened, so that a process that only replies opens
   none.  A frame to this host itself is delivered through the event loop
   without a socket.  Queues are bounded: when a peer's queue is full, new
   frames to that peer are dropped and counted.  */

#ifndef AB_PEER_TASK_H
#define AB_PEER_TASK_H

#include <jansson.h>

#include "daemon.h"
#include "frame.h"

/* Handles FRAME, whose chunks are valid during the call.  */
typedef void (*ab_peer_handler) (void *ctx, const struct ab_frame *frame);

/* Binds the ROUTER socket and starts the task.  After a failure, ERROR has a
   message for the operator and *TASK is null.  */
int ab_peer_task_new (struct ab_daemon *daemon, struct ab_peer_task **task,
                      char error[AB_CONF_ERROR_BYTES]);
void ab_peer_task_free (struct ab_peer_task *task);

/* Makes HANDLER, called with CTX, the only handler of frames of TYPE; null
   discards them.  */
void ab_peer_task_set_handler (struct ab_peer_task *task,
                               enum ab_frame_type type,
                               ab_peer_handler handler, void *ctx);

/* Sets ADDRESS, where HOST listens for peers; replaces an earlier address and
   closes the connection to the earlier one.  Returns 0, AB_ERR_TOO_LARGE or
   AB_ERR_MEMORY.  */
int ab_peer_task_set_address (struct ab_peer_task *task, struct ab_chunk host,
                              const char *address);

/* Removes HOST and its address, and closes the connection to it.  */
void ab_peer_task_remove_peer (struct ab_peer_task *task,
                               struct ab_chunk host);

/* Queues a frame of TYPE to HOST.  Returns 0, which does not mean delivery,
   AB_ERR_NOT_FOUND when the host's address is not known, AB_ERR_FULL,
   AB_ERR_TOO_LARGE, or another error of ab_peer_links_send.  */
int ab_peer_task_send (struct ab_peer_task *task, struct ab_chunk host,
                       enum ab_frame_type type, struct ab_chunk body);

/* Like ab_peer_task_send, but uses the connection that HOST opened, if there
   is one and a frame of HOST has been received within the last second.  For
   replies to many peers.  Frames sent this way may overtake, or be overtaken
   by, frames sent with ab_peer_task_send.  */
int ab_peer_task_reply (struct ab_peer_task *task, struct ab_chunk host,
                        enum ab_frame_type type, struct ab_chunk body);

/* Like ab_peer_task_send, to an address whose host is not known yet (a
   seed).  */
int ab_peer_task_send_address (struct ab_peer_task *task, const char *address,
                               enum ab_frame_type type, struct ab_chunk body);

/* Returns the address that the ROUTER socket is bound to, with the port that
   the system chose if the settings give port 0.  */
const char *ab_peer_task_address (const struct ab_peer_task *task);

/* Replaces the accepted keys, for incoming and outgoing connections, by the
   fleet key that this process uses and KEYS, COUNT of them.  Allows a key
   rotation without a restart.  Established incoming connections stay.  Needs
   a fleet key in the settings.  Returns 0, AB_ERR_TOO_LARGE or
   AB_ERR_INVALID.  */
int ab_peer_task_accept_keys (struct ab_peer_task *task,
                              const char (*keys)[AB_CURVE_KEY_BYTES],
                              size_t count);

/* Returns an object for the state dump: peers, queues, counts by frame type,
   and refused connections.  */
json_t *ab_peer_task_state (const struct ab_peer_task *task);

#endif
