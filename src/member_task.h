/* The membership view of this host: hosts, targets, and quarantined requests.

   Runs the probe and gossip protocol of membership.h on the event loop, is the
   registrar of the targets that announce themselves to this host, and answers
   callers that request the addresses of entry hosts.  */

#ifndef AB_MEMBER_TASK_H
#define AB_MEMBER_TASK_H

#include <jansson.h>
#include <stdbool.h>

#include "daemon.h"
#include "digest.h"
#include "member_item.h"

struct evhttp;
struct evhttp_request;

/* Called for each item; returns false to stop.  */
typedef bool (*ab_host_visitor) (void *ctx, const struct ab_host_view *host);
typedef bool (*ab_target_visitor) (void *ctx,
                                   const struct ab_target_view *target);

/* Called from the event loop after a change.  */
typedef void (*ab_host_listener) (void *ctx, const struct ab_host_view *host);
typedef void (*ab_target_listener) (void *ctx,
                                    const struct ab_target_view *target);
typedef void (*ab_quarantine_listener) (void *ctx,
                                        const struct ab_quarantine_view *item);

/* Creates the task in *TASK, null on errors: AB_ERR_MEMORY.  */
int ab_member_task_new (struct ab_daemon *daemon,
                        struct ab_member_task **task);
void ab_member_task_free (struct ab_member_task *task);

/* Adds the HTTP interface for targets (/v1/targets) and callers
   (/v1/addresses) to HTTP, the callers' listener.  Returns 0 or
   AB_ERR_UNAVAILABLE.  */
int ab_member_task_bind_http (struct ab_member_task *task,
                              struct evhttp *http);

/* Answers REQ and returns true when its path is below /v1/targets/.  As evhttp
   matches whole paths only, the listener's general callback must call this
   first.  */
bool ab_member_task_serve_http (struct ab_member_task *task,
                                struct evhttp_request *req);

/* Commands.  */

/* Marks this host as leaving: other hosts stop naming it in responses.  */
void ab_member_task_leave (struct ab_member_task *task);
/* Ends the leaving state, for an operator's undrain.  */
void ab_member_task_rejoin (struct ab_member_task *task);
/* Sets whether this host may be named to callers.  */
void ab_member_task_set_ready (struct ab_member_task *task, bool ready);
/* Spreads the quarantine of a request's content to all hosts.  */
void ab_member_task_quarantine (struct ab_member_task *task,
                                const struct ab_quarantine_view *item);
/* Releases CONTENT from quarantine on all hosts.  */
void ab_member_task_release_quarantine (struct ab_member_task *task,
                                        const struct ab_digest *content);

/* Queries.  Hosts include dead ones; removed targets are left out.  */
void ab_member_task_visit_hosts (const struct ab_member_task *task,
                                 ab_host_visitor visit, void *ctx);
void ab_member_task_visit_targets (const struct ab_member_task *task,
                                   ab_target_visitor visit, void *ctx);
/* Whether requests with CONTENT are refused.  */
bool ab_member_task_quarantined (const struct ab_member_task *task,
                                 const struct ab_digest *content);
/* Returns null when the host is not known; it may be dead.  */
const struct ab_host_view *
ab_member_task_find_host (const struct ab_member_task *task,
                          struct ab_chunk name);

/* Writes to HOSTS up to MAX live entry hosts in the order in which they are
   preferred as dispatcher of SERVICE in FAILURE_DOMAIN, and returns how many:
   those in the domain, in its region, elsewhere, each by rendezvous hash.
   Suspected, leaving and unready hosts come last.  */
size_t ab_member_task_choose_dispatchers (const struct ab_member_task *task,
                                          struct ab_chunk service,
                                          struct ab_chunk failure_domain,
                                          const struct ab_host_view **hosts,
                                          size_t max);

/* At most 8 listeners of each kind; more are ignored.  */
void ab_member_task_listen_hosts (struct ab_member_task *task,
                                  ab_host_listener listener, void *ctx);
void ab_member_task_listen_targets (struct ab_member_task *task,
                                    ab_target_listener listener, void *ctx);
void ab_member_task_listen_quarantine (struct ab_member_task *task,
                                       ab_quarantine_listener listener,
                                       void *ctx);

/* Returns the state dump: digest and size of the view, quarantines, gossip
   counters, leases.  */
json_t *ab_member_task_state (const struct ab_member_task *task);

#endif
