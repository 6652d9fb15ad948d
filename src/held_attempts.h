/* The attempts that this host has in flight at targets, and which schedulers
   know of them.

   A scheduler knows the attempts that it granted itself.  One that replaces
   it, or that has restarted, is told of the others before it grants more, and
   gets their outcomes too.  A restart shows in the incarnation of the process
   that replies.  No I/O: the caller passes the time.  */

#ifndef AB_HELD_ATTEMPTS_H
#define AB_HELD_ATTEMPTS_H

#include "scheduler.h"

/* Schedulers that are recorded for one attempt; the oldest one is replaced,
   and releases the attempt only after its deadline.  */
#define AB_HELD_SCHEDULERS_MAX 4

struct ab_held_attempts;

/* Returns null without memory.  */
struct ab_held_attempts *ab_held_attempts_new (void);
void ab_held_attempts_free (struct ab_held_attempts *held);

/* Records that the process INCARNATION of SCHEDULER replied.  */
void ab_held_attempts_answered (struct ab_held_attempts *held,
                                const char *scheduler, uint64_t incarnation);
/* Records that SCHEDULER did not answer: what it was told may be lost.  */
void ab_held_attempts_silent (struct ab_held_attempts *held,
                              const char *scheduler);

/* Adds ATTEMPT, which SCHEDULER granted at NOW_MS; its AGE_MS is ignored.
   Without memory, other schedulers do not learn of it.  */
void ab_held_attempts_add (struct ab_held_attempts *held,
                           const struct ab_sched_attempt *attempt,
                           const char *scheduler, uint64_t now_ms);
/* Removes the attempt ID.  Writes the schedulers that know of it to SCHEDULERS
   and returns their number; 0 if the attempt is unknown.  */
size_t ab_held_attempts_end (
    struct ab_held_attempts *held, uint64_t id,
    char schedulers[AB_HELD_SCHEDULERS_MAX][AB_ADDRESS_BYTES]);

/* Writes to LIST at most MAX attempts at targets for which IS_WANTED returns
   true and of which SCHEDULER does not know, and records that it does. Returns
   their number.  */
size_t
ab_held_attempts_report (struct ab_held_attempts *held, const char *scheduler,
                         bool (*is_wanted) (void *ctx, const char *target),
                         void *ctx, struct ab_sched_attempt *list, size_t max,
                         uint64_t now_ms);

#endif
