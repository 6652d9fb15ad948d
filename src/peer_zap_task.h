/* Authentication of incoming peer connections by CURVE public key: the
   in-process handler of the ZeroMQ Authentication Protocol (ZAP, RFC 27).  */

#ifndef AB_PEER_ZAP_TASK_H
#define AB_PEER_ZAP_TASK_H

#include <stddef.h>
#include <stdint.h>

#include "settings.h"

#define AB_PEER_ZAP_DOMAIN "almondbridge"
#define AB_PEER_KEYS_MAX 8 /* Accepted keys, the fleet's own included.  */

struct event_base;
struct ab_peer_zap;

/* Creates a handler for CONTEXT, whose sockets must be bound only after that.
   The handler accepts no key at first.  Returns 0, AB_ERR_MEMORY or
   AB_ERR_UNAVAILABLE.  */
int ab_peer_zap_new (void *context, struct event_base *base,
                     struct ab_peer_zap **zap);
void ab_peer_zap_free (struct ab_peer_zap *zap);

/* Replaces the accepted keys by KEYS, COUNT of them in Z85; existing
   connections stay.  Returns 0, AB_ERR_TOO_LARGE for more than
   AB_PEER_KEYS_MAX, or AB_ERR_INVALID for a malformed key.  */
int ab_peer_zap_accept (struct ab_peer_zap *zap,
                        const char (*keys)[AB_CURVE_KEY_BYTES], size_t count);

/* Replies to pending authentication requests; also called by the poll timer of
   the peer task.  */
void ab_peer_zap_poll (struct ab_peer_zap *zap);

/* Returns the number of connections refused so far.  */
uint64_t ab_peer_zap_refused (const struct ab_peer_zap *zap);

#endif
