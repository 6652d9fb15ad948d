/* Choice of a target for each request of this host.

   Runs the dispatchers (dispatcher.h) of the services for which this host
   is the preferred dispatcher of its failure domain by rendezvous hash,
   requests slots from the dispatchers of other hosts, and chooses a target
   independently when no dispatcher responds.  */

#ifndef AB_DISPATCH_TASK_H
#define AB_DISPATCH_TASK_H

#include <jansson.h>
#include <stdbool.h>

#include "daemon.h"
#include "outcome.h"

#define AB_REQUEST_ID_BYTES 64
#define AB_EXCLUDED_MAX 4

struct ab_dispatch_request
{
  char request_id[AB_REQUEST_ID_BYTES];
  char service[AB_NAME_BYTES];
  char class_name[AB_NAME_BYTES];
  uint64_t priority;
  uint64_t deadline_ms; /* On this host's monotonic clock.  */
  /* Targets that earlier attempts of this request have used.  */
  char excluded[AB_EXCLUDED_MAX][AB_ADDRESS_BYTES];
  size_t excluded_count;
};

struct ab_dispatch_grant
{
  uint64_t id;
  char service[AB_NAME_BYTES];
  char class_name[AB_NAME_BYTES];
  char target[AB_ADDRESS_BYTES];
  /* Host whose dispatcher granted the slot; empty when this host chose the
     target itself.  */
  char dispatcher[AB_NAME_BYTES];
  uint64_t max_connections; /* Connections of this host to this target.  */
};

struct ab_dispatch_slot_request;

/* Gets the result of a slot request.  RC is 0 with a GRANT; else AB_ERR_FULL
   (load shed: the queue is full or the deadline cannot be met),
   AB_ERR_NOT_FOUND (no target) or AB_ERR_TIMEOUT.  REASON is a short sentence
   for people.  */
typedef void (*ab_dispatch_callback) (void *ctx, int rc,
                                      const struct ab_dispatch_grant *grant,
                                      struct ab_chunk reason);

int ab_dispatch_task_new (struct ab_daemon *daemon,
                          struct ab_dispatch_task **task);
void ab_dispatch_task_free (struct ab_dispatch_task *task);

/* Requests a slot for REQUEST.  CALLBACK is called from the event loop,
   exactly once unless the slot request is cancelled.  Returns null when memory
   is full.  */
struct ab_dispatch_slot_request *
ab_dispatch_task_request_slot (struct ab_dispatch_task *task,
                               const struct ab_dispatch_request *request,
                               ab_dispatch_callback callback, void *ctx);
/* Cancels a slot request, whose callback is not called any more.  Does nothing
   for null.  */
void ab_dispatch_task_cancel (struct ab_dispatch_slot_request *slot_request);

/* Reports how a granted request ended.  Call it exactly once for each
   grant.  */
void ab_dispatch_task_outcome (struct ab_dispatch_task *task,
                               const struct ab_dispatch_grant *grant,
                               const struct ab_outcome *outcome);

/* Records that the response to a granted request, which was sent AGE_MS ago,
   named the target's rate limit PER_1000_S, or none (rate_limit.h).  Call it
   before the outcome.  */
void ab_dispatch_task_rate_limit (struct ab_dispatch_task *task,
                                  const struct ab_dispatch_grant *grant,
                                  uint64_t per_1000_s, uint64_t age_ms);

/* Returns a dump of the state: dispatchers of this host, queues, slots,
   evidence, ejections, permits and connection limits.  */
json_t *ab_dispatch_task_state (const struct ab_dispatch_task *task);

/* Explains why TARGET is in or out of service: its state, slots, ejection and
   evidence.  Returns null when no dispatcher of this host has this target.  */
json_t *ab_dispatch_task_explain (const struct ab_dispatch_task *task,
                                  struct ab_chunk target);

#endif
