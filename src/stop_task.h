/* Planned stop and drain of this host.

   A drain removes the host from the address lists that callers get, and makes
   callers close their connections.  A stop drains, keeps the listeners open
   for the TTL of an address list plus a margin, waits for every request in
   flight and every unconfirmed record, and then leaves the event loop.  */

#ifndef AB_STOP_TASK_H
#define AB_STOP_TASK_H

#include <jansson.h>
#include <stdbool.h>

#include "daemon.h"

int ab_stop_task_new (struct ab_daemon *daemon, struct ab_stop_task **task);
void ab_stop_task_free (struct ab_stop_task *task);

void ab_stop_task_drain (struct ab_stop_task *task);
/* Ends a drain.  Returns 0, or AB_ERR_BUSY once a stop has begun.  */
int ab_stop_task_undrain (struct ab_stop_task *task);
void ab_stop_task_stop (struct ab_stop_task *task);

/* Handles a termination signal: the first begins a stop, the second logs the
   work that an immediate stop would interrupt, the third stops at once.  */
void ab_stop_task_signal (struct ab_stop_task *task);

/* Returns whether the host drains or stops.  */
bool ab_stop_task_draining (const struct ab_stop_task *task);
/* State dump: the phase, and what the stop still waits for.  */
json_t *ab_stop_task_state (const struct ab_stop_task *task);

#endif
