/* Requests that crash targets, as a gateway sees them.

   What this host sees is reported to the control group, which combines the
   reports of all hosts and sends the result with the fleet view.  A content
   that this host alone has seen crash enough targets is rejected here even
   while the group cannot be reached.  */

#ifndef AB_GATEWAY_CRASH_TASK_H
#define AB_GATEWAY_CRASH_TASK_H

#include <event2/http.h>
#include <jansson.h>

#include "daemon.h"
#include "fleet_view_task.h"

struct ab_gateway_crashes;

/* Called when a content is blocked that was not before.  */
typedef void (*ab_gateway_blocked_callback) (void *ctx);

/* Returns 0 or AB_ERR_MEMORY.  */
int ab_gateway_crashes_new (struct ab_daemon *daemon,
                            ab_gateway_blocked_callback callback, void *ctx,
                            struct ab_gateway_crashes **crashes);
void ab_gateway_crashes_free (struct ab_gateway_crashes *crashes);

/* Sets the view that names the control host to report to.  To be called once,
   before any event.  */
void ab_gateway_crashes_use_view (struct ab_gateway_crashes *crashes,
                                  const struct ab_fleet_view *view);

/* Record what the fleet view says.  */
void ab_gateway_crashes_set_target (struct ab_gateway_crashes *crashes,
                                    const struct ab_fleet_target *target);
void ab_gateway_crashes_set_record (struct ab_gateway_crashes *crashes,
                                    const struct ab_quarantine_record *record);

/* Returns the incarnation of the target at ADDRESS; 0 if it is not known.  */
uint64_t
ab_gateway_crashes_incarnation (const struct ab_gateway_crashes *crashes,
                                const char *address);
/* Record what became of an attempt at the target at ADDRESS: its connection
   was lost, it did not respond in time, it refused a connection, or it says
   that it leaves.  REQUEST is null when the caller has disconnected.  */
void ab_gateway_crashes_lost (struct ab_gateway_crashes *crashes,
                              const char *address, uint64_t incarnation,
                              const struct ab_digest *content,
                              struct evhttp_request *request);
void ab_gateway_crashes_hung (struct ab_gateway_crashes *crashes,
                              const char *address, uint64_t incarnation,
                              const struct ab_digest *content,
                              struct evhttp_request *request);
void ab_gateway_crashes_refused (struct ab_gateway_crashes *crashes,
                                 const char *address);
void ab_gateway_crashes_leaving (struct ab_gateway_crashes *crashes,
                                 const char *address);
/* Records that CONTENT got a successful response.  */
void ab_gateway_crashes_answered (struct ab_gateway_crashes *crashes,
                                  const struct ab_digest *content);

/* Returns whether the content of REQUEST may be known; it is costly to compute
   for a large body.  */
bool ab_gateway_crashes_may_know (const struct ab_gateway_crashes *crashes,
                                  struct evhttp_request *request);
/* Returns for how long CONTENT is to be rejected; 0: it is not.  */
uint64_t
ab_gateway_crashes_blocked_ms (const struct ab_gateway_crashes *crashes,
                               const struct ab_digest *content);

json_t *ab_gateway_crashes_state (const struct ab_gateway_crashes *crashes);

#endif
