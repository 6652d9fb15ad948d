/* The membership view of this host: hosts, targets, and quarantined requests.

   Runs the probe and gossip protocol of membership.h, is the registrar of the
   targets that announce themselves here, and answers callers' questions for
   addresses.  */

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

int ab_member_task_new (struct ab_daemon *daemon,
                        struct ab_member_task **task);
void ab_member_task_free (struct ab_member_task *task);

/* Adds the HTTP interface for targets (/v1/targets) and callers
   (/v1/addresses) to the callers' listener.  */
int ab_member_task_bind_http (struct ab_member_task *task,
                              struct evhttp *http);

/* Answers REQ when its path is below /v1/targets/ and returns true.  The
   listener matches whole paths only, so the owner of its general callback
   must call this first.  */
bool ab_member_task_serve_http (struct ab_member_task *task,
                                struct evhttp_request *req);

/* Commands.  */

/* Marks this host as leaving: other hosts stop naming it in answers.  */
void ab_member_task_leave (struct ab_member_task *task);
/* Undoes it, for an operator's undrain.  */
void ab_member_task_rejoin (struct ab_member_task *task);
/* Says whether this host may be named to callers.  */
void ab_member_task_set_ready (struct ab_member_task *task, bool ready);
/* Spreads a quarantined content digest, or its release, to all hosts.  */
void ab_member_task_quarantine (struct ab_member_task *task,
                                const struct ab_quarantine_view *item);
void ab_member_task_release (struct ab_member_task *task,
                             const struct ab_digest *content);

/* Queries.  */
void ab_member_task_hosts (const struct ab_member_task *task,
                           ab_host_visitor visit, void *ctx);
void ab_member_task_targets (const struct ab_member_task *task,
                             ab_target_visitor visit, void *ctx);
/* Whether requests with CONTENT are refused.  */
bool ab_member_task_quarantined (const struct ab_member_task *task,
                                 const struct ab_digest *content);
const struct ab_host_view *
ab_member_task_find_host (const struct ab_member_task *task,
                          struct ab_chunk name);

/* The live entry hosts of FAILURE_DOMAIN in the order of preference to
   dispatch for SERVICE (rendezvous hash); returns how many of at most MAX
   were written.  Suspected and leaving hosts come last.  */
size_t ab_member_task_dispatchers (const struct ab_member_task *task,
                                   struct ab_chunk service,
                                   struct ab_chunk failure_domain,
                                   const struct ab_host_view **hosts,
                                   size_t max);

void ab_member_task_listen_hosts (struct ab_member_task *task,
                                  ab_host_listener listener, void *ctx);
void ab_member_task_listen_targets (struct ab_member_task *task,
                                    ab_target_listener listener, void *ctx);
void ab_member_task_listen_quarantine (struct ab_member_task *task,
                                       ab_quarantine_listener listener,
                                       void *ctx);

/* State dump: view with ages, digests, gossip byte counts, leases.  */
json_t *ab_member_task_state (const struct ab_member_task *task);

#endif
