/* What this host knows of the rate limits that targets name (rate_limit.h),
   with a log line for each change, and the messages that spread it.

   A scheduler sends its knowledge of a target's limit before each grant of
   that target, and a host that gets a response sends what the response said to
   the scheduler that granted the request.  So a host that was granted a target
   without such a message, although it knows a limit, knows that the scheduler
   is new, has restarted or was cut off when the limit was named.  A host that
   is sent older knowledge than its own replies with its own.  */

#ifndef AB_RATE_LIMIT_TASK_H
#define AB_RATE_LIMIT_TASK_H

#include <jansson.h>

#include "daemon.h"
#include "rate_limit.h"

struct ab_rate_limit_task;

struct ab_rate_limit_ops
{
  /* Returns whether the target TARGET is in this host's view; other hosts'
     messages about other targets are ignored.  */
  bool (*is_known) (void *ctx, const char *target);
  /* Called when what this host knows of a target's limit has changed.  */
  void (*changed) (void *ctx, const struct ab_rate_limit *limit);
};

/* Returns null without memory.  */
struct ab_rate_limit_task *
ab_rate_limit_task_new (struct ab_daemon *daemon,
                        const struct ab_rate_limit_ops *ops, void *ctx);
void ab_rate_limit_task_free (struct ab_rate_limit_task *task);

/* Records that a response of the incarnation STARTED_MS of TARGET named the
   limit PER_1000_S, or none, and tells HOST, which granted the request; null:
   nobody.  AGE_MS says for how long that has been known.  */
void ab_rate_limit_task_observe (struct ab_rate_limit_task *task,
                                 const char *target, uint64_t started_ms,
                                 uint64_t per_1000_s, uint64_t age_ms,
                                 const char *host);
/* Removes what is known of other incarnations of TARGET than STARTED_MS; of
   all, if that is 0.  */
void ab_rate_limit_task_set_target (struct ab_rate_limit_task *task,
                                    const char *target, uint64_t started_ms);

/* Sends HOST the limit of TARGET, if it has one, as a reply that a grant of
   the target to HOST follows.  */
void ab_rate_limit_task_reply (struct ab_rate_limit_task *task,
                               const char *target, uint64_t started_ms,
                               const char *host);
/* Sends HOST what this host knows of the limit of TARGET, if anything.  */
void ab_rate_limit_task_tell (struct ab_rate_limit_task *task,
                              const char *target, uint64_t started_ms,
                              const char *host);

/* Returns the limit of TARGET, or AB_RATE_LIMIT_NONE.  */
uint64_t ab_rate_limit_task_find (const struct ab_rate_limit_task *task,
                                  const char *target, uint64_t started_ms);
/* Returns whether any target has a limit.  */
bool ab_rate_limit_task_any (const struct ab_rate_limit_task *task);
/* Returns whether the process INCARNATION of HOST, which has granted TARGET,
   knows all limits that this host knows.  */
bool ab_rate_limit_task_known_to (const struct ab_rate_limit_task *task,
                                  const char *target, const char *host,
                                  uint64_t incarnation);

json_t *ab_rate_limit_task_state (const struct ab_rate_limit_task *task);

#endif
