/* The control role: a member of the consensus group and its replicated
   state.  */

#ifndef AB_CONTROL_TASK_H
#define AB_CONTROL_TASK_H

#include <jansson.h>

#include "daemon.h"

int ab_control_task_new (struct ab_daemon *daemon,
                         struct ab_control_task **task,
                         char error[AB_CONF_ERROR_BYTES]);

/* Stops taking part and closes storage; free it before the peer task.  The
   others elect a new leader after their election timeout.  */
void ab_control_task_free (struct ab_control_task *task);

/* Whether a planned stop of this host would leave the group without a
   majority, as far as it knows.  */
bool ab_control_task_needed (const struct ab_control_task *task);

/* State dump: term, leader, indexes, members, disk identity, ledger and
   permit counts, bundle history.  */
json_t *ab_control_task_state (const struct ab_control_task *task);

/* The accepted bundles: version, digest, operator, log index, time.  */
json_t *ab_control_task_history (const struct ab_control_task *task);

#endif
