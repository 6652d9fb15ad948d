/* Connects the crash watch of an entry host to the membership view: targets
   and the quarantines of other hosts come from it, and what this host sees is
   spread by it.  */

#ifndef AB_CRASH_MEMBER_TASK_H
#define AB_CRASH_MEMBER_TASK_H

#include "crash_watch_task.h"

struct ab_crash_member;

/* Returns 0 or AB_ERR_MEMORY.  */
int ab_crash_member_new (struct ab_daemon *daemon,
                         struct ab_crash_member **member);
void ab_crash_member_free (struct ab_crash_member *member);

struct ab_crash_watch *
ab_crash_member_watch (const struct ab_crash_member *member);

#endif
