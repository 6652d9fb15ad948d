/* Authentication of peers (ZAP, ZeroMQ RFC 27) by their CURVE public key.  */

#ifndef AB_PEER_ZAP_TASK_H
#define AB_PEER_ZAP_TASK_H

#include <stddef.h>
#include <stdint.h>

#include "settings.h"

#define AB_PEER_ZAP_DOMAIN "almondbridge"
#define AB_PEER_KEYS_MAX 8

struct event_base;
struct ab_peer_zap;

/* Must exist before sockets of CONTEXT are bound.  Accepts no key at first.
   AB_ERR_MEMORY, AB_ERR_UNAVAILABLE.  */
int ab_peer_zap_new (void *context, struct event_base *base,
                     struct ab_peer_zap **zap);
void ab_peer_zap_free (struct ab_peer_zap *zap);

/* Accepts exactly KEYS from now on; existing connections stay.
   AB_ERR_TOO_LARGE for more than AB_PEER_KEYS_MAX, AB_ERR_INVALID.  */
int ab_peer_zap_accept (struct ab_peer_zap *zap,
                        const char (*keys)[AB_CURVE_KEY_BYTES], size_t count);

/* Answers what waits; called by the safety timer.  */
void ab_peer_zap_poll (struct ab_peer_zap *zap);

/* Connections refused so far.  */
uint64_t ab_peer_zap_refused (const struct ab_peer_zap *zap);

#endif
