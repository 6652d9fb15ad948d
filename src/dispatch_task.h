/* Choice of a target for each request.

   Holds the dispatchers (dispatcher.h) of the services for which this host is
   first in rendezvous order in its failure domain, asks other hosts'
   dispatchers, and chooses independently when none answers.  */

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
  uint64_t deadline_ms; /* Monotonic, of this host.  */
  /* Targets that have been tried for this request.  */
  char excluded[AB_EXCLUDED_MAX][AB_ADDRESS_BYTES];
  size_t excluded_count;
};

struct ab_dispatch_grant
{
  uint64_t id;
  char service[AB_NAME_BYTES];
  char class_name[AB_NAME_BYTES];
  char target[AB_ADDRESS_BYTES];
  char dispatcher[AB_NAME_BYTES]; /* Host that granted; empty: independent.  */
  uint64_t max_connections;       /* Of this host to this target.  */
};

struct ab_dispatch_ask;

/* RC: 0 with a grant; AB_ERR_FULL (shed: queue full or deadline cannot be
   met), AB_ERR_NOT_FOUND (no target), AB_ERR_TIMEOUT.  REASON is one short
   sentence for explanations.  */
typedef void (*ab_dispatch_callback) (void *ctx, int rc,
                                      const struct ab_dispatch_grant *grant,
                                      struct ab_chunk reason);

int ab_dispatch_task_new (struct ab_daemon *daemon,
                          struct ab_dispatch_task **task);
void ab_dispatch_task_free (struct ab_dispatch_task *task);

/* The callback runs from the event loop, exactly once unless the ask is
   cancelled.  */
struct ab_dispatch_ask *
ab_dispatch_task_ask (struct ab_dispatch_task *task,
                      const struct ab_dispatch_request *request,
                      ab_dispatch_callback callback, void *ctx);
void ab_dispatch_task_cancel (struct ab_dispatch_ask *ask);

/* Reports how a granted request ended; exactly once for each grant.  */
void ab_dispatch_task_outcome (struct ab_dispatch_task *task,
                               const struct ab_dispatch_grant *grant,
                               const struct ab_outcome *outcome);

/* State dump: dispatchers held, queues, slots, evidence, ejections, permits,
   connection counts.  */
json_t *ab_dispatch_task_state (const struct ab_dispatch_task *task);

/* Why TARGET is in or out here: evidence, state, floor or permit that held
   it; null when this host does not dispatch for it.  */
json_t *ab_dispatch_task_explain (const struct ab_dispatch_task *task,
                                  struct ab_chunk target);

#endif
