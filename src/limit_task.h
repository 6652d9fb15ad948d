/* Limits of teams, shared by demand over the fleet.  */

#ifndef AB_LIMIT_TASK_H
#define AB_LIMIT_TASK_H

#include <jansson.h>

#include "bundle.h"
#include "daemon.h"

int ab_limit_task_new (struct ab_daemon *daemon, struct ab_limit_task **task);
void ab_limit_task_free (struct ab_limit_task *task);

/* Takes one request of TEAM from this host's share.  0, or AB_ERR_FULL with
   *RETRY_MS set to when a new try may succeed.  Each success is followed by
   one ab_limit_task_done.  */
int ab_limit_task_take (struct ab_limit_task *task, const struct ab_team *team,
                        uint64_t *retry_ms);
void ab_limit_task_done (struct ab_limit_task *task, struct ab_chunk team);

json_t *ab_limit_task_state (const struct ab_limit_task *task);

#endif
