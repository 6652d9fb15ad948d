/* Finds out whether targets whose connections were lost have crashed, feeds
   the quarantine, and knows where targets are.  */

#ifndef AB_CRASH_WATCH_TASK_H
#define AB_CRASH_WATCH_TASK_H

#include <jansson.h>

#include "daemon.h"
#include "digest.h"

struct ab_crash_watch;

int ab_crash_watch_new (struct ab_daemon *daemon,
                        struct ab_crash_watch **watch);
void ab_crash_watch_free (struct ab_crash_watch *watch);

/* The region of the target at ADDRESS, or null; and its incarnation, or 0. */
const char *ab_crash_watch_region (const struct ab_crash_watch *watch,
                                   const char *address);
uint64_t ab_crash_watch_incarnation (const struct ab_crash_watch *watch,
                                     const char *address);

/* The connection to TARGET was lost without a response to CONTENT; probes the
   target for a while.  */
void ab_crash_watch_lost (struct ab_crash_watch *watch, const char *target,
                          uint64_t incarnation,
                          const struct ab_digest *content);
void ab_crash_watch_refused (struct ab_crash_watch *watch, const char *target);
void ab_crash_watch_answered (struct ab_crash_watch *watch,
                              const struct ab_digest *content);

json_t *ab_crash_watch_state (const struct ab_crash_watch *watch);

#endif
