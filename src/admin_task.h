/* The operators' side of a process: HTTP listener for signed queries and
   commands, and metrics.

   The interface is described in docs/operators.md.  */

#ifndef AB_ADMIN_TASK_H
#define AB_ADMIN_TASK_H

#include <jansson.h>

#include "daemon.h"

int ab_admin_task_new (struct ab_daemon *daemon, struct ab_admin_task **task,
                       char error[AB_CONF_ERROR_BYTES]);
void ab_admin_task_free (struct ab_admin_task *task);

/* The state dump of the whole process; the caller owns it.  */
json_t *ab_admin_state (const struct ab_daemon *daemon);

/* Writes the state dump to the log, one line a part.  */
void ab_admin_log_state (const struct ab_daemon *daemon);

#endif
