/* Planned stop and drain of this host.

   A drain takes the host out of the answers to callers and tells callers to
   close their connections.  A stop drains, keeps the listeners open for as
   long as an answer may be kept plus a margin, waits for every request in
   flight and every unconfirmed record, and then leaves the event loop.  */

#ifndef AB_STOP_TASK_H
#define AB_STOP_TASK_H

#include <jansson.h>
#include <stdbool.h>

#include "daemon.h"

int ab_stop_task_new (struct ab_daemon *daemon, struct ab_stop_task **task);
void ab_stop_task_free (struct ab_stop_task *task);

/* Commands.  */
void ab_stop_task_drain (struct ab_stop_task *task);
/* AB_ERR_BUSY once a stop has begun.  */
int ab_stop_task_undrain (struct ab_stop_task *task);
void ab_stop_task_stop (struct ab_stop_task *task);

/* A termination signal: the first begins a stop, the second logs what a stop
   now would cut, the third stops at once.  */
void ab_stop_task_signal (struct ab_stop_task *task);

/* Queries.  */
bool ab_stop_task_draining (const struct ab_stop_task *task);
json_t *ab_stop_task_state (const struct ab_stop_task *task);

#endif
