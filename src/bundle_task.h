/* The bundle in force on this host.

   Takes bundles from the control group and from peers, checks approval and
   certificate, puts only greater versions in force, keeps a copy in the data
   folder where there is one, and passes new bundles on.  */

#ifndef AB_BUNDLE_TASK_H
#define AB_BUNDLE_TASK_H

#include <jansson.h>

#include "daemon.h"
#include "signed_bundle.h"

typedef void (*ab_bundle_listener) (void *ctx, struct ab_bundle *bundle);

int ab_bundle_task_new (struct ab_daemon *daemon, struct ab_bundle_task **task,
                        char error[AB_CONF_ERROR_BYTES]);
void ab_bundle_task_free (struct ab_bundle_task *task);

/* The bundle in force, or null before the first; take a reference to keep
   it.  */
struct ab_bundle *ab_bundle_task_current (const struct ab_bundle_task *task);

/* LISTENER is called from the event loop when a bundle comes into force, and
   once at registration when there is one already.  */
void ab_bundle_task_listen (struct ab_bundle_task *task,
                            ab_bundle_listener listener, void *ctx);

/* Offers an accepted bundle, from the control task of this host or a peer.
   AB_ERR_STALE when it is not newer, AB_ERR_DENIED, AB_ERR_INVALID.  */
int ab_bundle_task_offer (struct ab_bundle_task *task,
                          const struct ab_signed_bundle *bundle);

/* State dump: version, digest, log index, when it came into force, from whom,
   and when the control group was heard last.  */
json_t *ab_bundle_task_state (const struct ab_bundle_task *task);

#endif
