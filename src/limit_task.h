/* Limits of teams across the fleet (limiter.h), on an entry host.

   This host is a holder of the limit of each team whose requests it receives.
   The owner of a team's limit is the live entry host with the highest
   rendezvous score for the team.  Once a second, and earlier when it has to
   reject a request, a holder sends the owner its demand; the owner replies
   with the holder's share.  */

#ifndef AB_LIMIT_TASK_H
#define AB_LIMIT_TASK_H

#include <jansson.h>

#include "bundle.h"
#include "daemon.h"

int ab_limit_task_new (struct ab_daemon *daemon, struct ab_limit_task **task);
void ab_limit_task_free (struct ab_limit_task *task);

/* Takes one request of TEAM from this host's share.  Returns 0, AB_ERR_MEMORY,
   or AB_ERR_FULL with the time after which a retry may succeed
   in *RETRY_AFTER_MS.  Each success must be followed by one
   ab_limit_task_release.  */
int ab_limit_task_acquire (struct ab_limit_task *task,
                           const struct ab_team *team,
                           uint64_t *retry_after_ms);
void ab_limit_task_release (struct ab_limit_task *task, struct ab_chunk team);

/* Returns a state dump: for each team its limit, this host's share and
   requests in flight.  */
json_t *ab_limit_task_state (const struct ab_limit_task *task);

#endif
