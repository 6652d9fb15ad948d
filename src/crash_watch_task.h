/* Detects crashes of targets and quarantines the requests that cause them.

   When the connection to a target is lost, the target is probed to see whether
   it crashed.  The results go to the quarantine (quarantine.h); its decisions
   are published to the fleet, and those of other hosts are applied here.  The
   module also records the region and the incarnation of each target.  */

#ifndef AB_CRASH_WATCH_TASK_H
#define AB_CRASH_WATCH_TASK_H

#include <jansson.h>

#include "daemon.h"
#include "digest.h"

struct ab_crash_watch;

int ab_crash_watch_new (struct ab_daemon *daemon,
                        struct ab_crash_watch **watch);
void ab_crash_watch_free (struct ab_crash_watch *watch);

/* Returns the region of the target at ADDRESS, or null when the target is
   unknown.  */
const char *ab_crash_watch_region (const struct ab_crash_watch *watch,
                                   const char *address);
/* Returns the incarnation of the target at ADDRESS, or 0 when the target is
   unknown.  */
uint64_t ab_crash_watch_incarnation (const struct ab_crash_watch *watch,
                                     const char *address);

/* Records that the connection to TARGET was lost before any response to a
   request with CONTENT, and probes the target for AB_QUARANTINE_CONFIRM_MS.
   INCARNATION is that of the target when the request was sent.  */
void ab_crash_watch_lost (struct ab_crash_watch *watch, const char *target,
                          uint64_t incarnation,
                          const struct ab_digest *content);
/* Records that TARGET refused a connection.  */
void ab_crash_watch_refused (struct ab_crash_watch *watch, const char *target);
/* Records that a request with CONTENT got a complete response.  */
void ab_crash_watch_answered (struct ab_crash_watch *watch,
                              const struct ab_digest *content);

/* Returns a state dump: the numbers of suspects and of marks.  */
json_t *ab_crash_watch_state (const struct ab_crash_watch *watch);

#endif
