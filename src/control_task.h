/* The control role of a host: one member of the consensus group, with its
   replica of the group's state.  */

#ifndef AB_CONTROL_TASK_H
#define AB_CONTROL_TASK_H

#include <jansson.h>

#include "daemon.h"

/* Starts the control role with DAEMON's settings.  Returns 0 or a negative
   error with a message in ERROR; *TASK is then null.  */
int ab_control_task_new (struct ab_daemon *daemon,
                         struct ab_control_task **task,
                         char error[AB_CONF_ERROR_BYTES]);

/* Stops the member and closes its storage; must be called before the peer task
   is freed.  If the member led the group, the others elect a new leader after
   their election timeout.  */
void ab_control_task_free (struct ab_control_task *task);

/* Returns true if a graceful shutdown of this host would leave the group
   without a majority, according to its membership view.  */
bool ab_control_task_needed_for_quorum (const struct ab_control_task *task);

/* Returns the state dump: term, leader, log indexes, members, disk identity,
   ledger and permit counts, current bundle.  Null if out of memory.  */
json_t *ab_control_task_state (const struct ab_control_task *task);

/* Returns the accepted bundles, oldest first, each with its version, digest,
   operator, log index and time.  */
json_t *ab_control_task_history (const struct ab_control_task *task);

#endif
