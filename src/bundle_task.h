/* Distributes bundles and holds the one in force (the active configuration) on
   this host.

   Receives bundles from the control group and from peers, verifies approval
   and certificate, puts a bundle in force only if its version is greater than
   the current one, saves a copy in the data folder if one is set, and
   announces new bundles to peers.  All functions run in the event loop's
   thread.  */

#ifndef AB_BUNDLE_TASK_H
#define AB_BUNDLE_TASK_H

#include <jansson.h>

#include "daemon.h"
#include "signed_bundle.h"

/* Called with the bundle that has come into force.  A listener that keeps
   the bundle takes a reference.  */
typedef void (*ab_bundle_listener) (void *ctx, struct ab_bundle *bundle);

/* Registers the frame handlers and puts the saved bundle in force if there is
   a usable one.  The peer task of DAEMON must exist.  Returns 0 or
   AB_ERR_MEMORY.  */
int ab_bundle_task_new (struct ab_daemon *daemon, struct ab_bundle_task **task,
                        char error[AB_CONF_ERROR_BYTES]);
void ab_bundle_task_free (struct ab_bundle_task *task);

/* Returns the bundle in force, or null before the first.  A caller that keeps
   it takes a reference.  */
struct ab_bundle *ab_bundle_task_current (const struct ab_bundle_task *task);

/* Registers LISTENER, which is called from the event loop each time a bundle
   comes into force, and at once if one is in force already.  */
void ab_bundle_task_add_listener (struct ab_bundle_task *task,
                                  ab_bundle_listener listener, void *ctx);

/* Puts the accepted BUNDLE from this host's control task in force and starts
   announcing it to all hosts.  Returns 0, AB_ERR_STALE if it is not newer than
   the current one, AB_ERR_DENIED if a signature is wrong, AB_ERR_INVALID or
   another error of ab_bundle_parse, or AB_ERR_MEMORY.  */
int ab_bundle_task_offer (struct ab_bundle_task *task,
                          const struct ab_signed_bundle *bundle);

/* Returns a state dump: version, digest, log index, time since the bundle came
   into force, its source, whether it is saved, and the time since the last
   contact with a control host.  Times are in milliseconds; -1 for never.  The
   caller owns the result.  */
json_t *ab_bundle_task_state (const struct ab_bundle_task *task);

#endif
