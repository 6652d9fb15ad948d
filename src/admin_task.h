/* Admin interface of a process: an HTTP listener for the signed queries and
   commands of operators, and for metrics.

   docs/operators.md describes the interface.  */

#ifndef AB_ADMIN_TASK_H
#define AB_ADMIN_TASK_H

#include <jansson.h>

#include "daemon.h"

/* Starts the listener.  Returns 0, or a negative error; ERROR then holds a
   message or is unchanged.  */
int ab_admin_task_new (struct ab_daemon *daemon, struct ab_admin_task **task,
                       char error[AB_CONF_ERROR_BYTES]);
void ab_admin_task_free (struct ab_admin_task *task);

/* Returns the state dump of the whole process; the caller owns it.  */
json_t *ab_admin_state (const struct ab_daemon *daemon);

/* Writes the state dump to the log, one line for each part.  */
void ab_admin_log_state (const struct ab_daemon *daemon);

#endif
