/* Structures shared by the files of the dispatch task; see
   dispatch_task.h.  */

#ifndef AB_DISPATCH_INTERNAL_H
#define AB_DISPATCH_INTERNAL_H

#include <uthash.h>

#include "bundle.h"
#include "dispatch_frame.h"
#include "dispatch_task.h"
#include "dispatcher.h"
#include "member_task.h"
#include "rate_limit_task.h"

struct event;

#define AB_DISPATCH_DOMAINS_MAX 32
/* Largest number of dispatchers that one slot request tries in a row.  */
#define AB_DISPATCH_STEPS_MAX 8

/* A target of a service, in any failure domain.  */
struct ab_known_target
{
  struct ab_target_view view;
  /* Requests in flight for which this host chose the target itself.  */
  uint64_t own_requests;
};

/* Last report of the dispatcher of another failure domain.  */
struct ab_domain_report
{
  char failure_domain[AB_NAME_BYTES];
  uint64_t out_slots;
  uint64_t idle_slots;
  uint64_t received_ms; /* When the report arrived.  */
};

struct ab_dispatch_service
{
  /* First, so that the environment's callbacks find the service.  */
  struct ab_dispatcher_env env;
  struct ab_dispatch_task *task;
  char name[AB_NAME_BYTES];
  struct ab_known_target *targets;
  size_t target_count;
  struct ab_domain_report reports[AB_DISPATCH_DOMAINS_MAX];
  size_t report_count;
  /* This host's dispatcher; null until a host sends a slot request.  */
  struct ab_dispatcher *dispatcher;
  uint64_t last_request_ms; /* When the last slot request arrived.  */
  uint64_t connections; /* Limit per target, of all entry hosts together.  */
  bool replied; /* The slot request in progress got a reply at once.  */
  UT_hash_handle hh;
};

struct ab_dispatch_step
{
  char host[AB_NAME_BYTES];
  bool spilled;
  bool no_spill;
};

struct ab_dispatch_slot_request
{
  struct ab_dispatch_task *task;
  uint64_t id;
  struct ab_dispatch_request request;
  ab_dispatch_callback callback;
  void *ctx;
  struct event *timer;
  struct ab_dispatch_step steps[AB_DISPATCH_STEPS_MAX];
  size_t step_count;
  size_t step;      /* Index of the current step.  */
  bool queued;      /* The dispatcher replied that the request waits.  */
  bool spilling;    /* The steps lead to other failure domains.  */
  int rejection_rc; /* Error of the last rejection; 0 when there was none.  */
  char reason[AB_REASON_BYTES];
  UT_hash_handle hh;
};

struct ab_dispatch_probe;

struct ab_dispatch_task
{
  struct ab_daemon *daemon;
  struct ab_rng rng;
  struct ab_bundle *bundle;
  struct ab_dispatch_service *services;           /* By name.  */
  struct ab_dispatch_slot_request *slot_requests; /* By identifier.  */
  struct ab_dispatch_probe *probes;
  struct ab_rate_limit_task *rate_limits;
  uint64_t next_id;
  struct event *tick;
  struct event *second;
};

uint64_t ab_dispatch_now (void);

/* dispatch_task.c  */
/* Returns the target of SERVICE with ADDRESS, or null.  */
const struct ab_target_view *
ab_dispatch_find_target (const struct ab_dispatch_service *service,
                         const char *address);
struct ab_dispatch_service *
ab_dispatch_find_service (struct ab_dispatch_task *task, const char *name);
void ab_dispatch_send (struct ab_dispatch_task *task, const char *host,
                       enum ab_frame_type type, struct ab_buf *body);

/* dispatch_request_task.c: slot requests of this host to dispatchers.  */
void ab_dispatch_on_grant (void *ctx, const struct ab_frame *frame);
void ab_dispatch_on_refuse (void *ctx, const struct ab_frame *frame);
void ab_dispatch_host_dead (struct ab_dispatch_task *task, const char *host);
void ab_dispatch_free_slot_requests (struct ab_dispatch_task *task);

/* dispatch_choose_task.c: order in which dispatchers are tried, and the choice
   of a target without one.  */

/* Sets the steps of SLOT_REQUEST to the dispatchers of the nearest failure
   domain with targets.  */
void ab_dispatch_plan (struct ab_dispatch_slot_request *slot_request);
/* Sets the steps of SLOT_REQUEST to the dispatchers of other failure domains
   and, last, of the nearest one again.  */
void ab_dispatch_plan_spill (struct ab_dispatch_slot_request *slot_request);
/* Chooses a target without a dispatcher and fills GRANT; returns false when
   there is none.  */
bool
ab_dispatch_choose_independently (struct ab_dispatch_task *task,
                                  const struct ab_dispatch_request *request,
                                  struct ab_dispatch_grant *grant);
/* Returns the largest number of connections of this host to one target of
   SERVICE: an equal share of the service's limit, but at least 1.  */
uint64_t ab_dispatch_connections (struct ab_dispatch_task *task,
                                  const struct ab_dispatch_service *service);

/* dispatch_serve_task.c: the dispatchers that run on this host.  */
void ab_dispatch_on_slot_request (void *ctx, const struct ab_frame *frame);
void ab_dispatch_on_outcome (void *ctx, const struct ab_frame *frame);
void ab_dispatch_on_evidence (void *ctx, const struct ab_frame *frame);
void ab_dispatch_on_revoke (void *ctx, struct ab_chunk service);
void ab_dispatch_configure (struct ab_dispatch_service *service);
void ab_dispatch_update_target (struct ab_dispatch_service *service,
                                const struct ab_target_view *view);
/* Passes a limit that has changed to this host's dispatchers.  CTX is the
   dispatch task.  */
void ab_dispatch_limit_changed (void *ctx, const struct ab_rate_limit *limit);
void ab_dispatch_each_second (struct ab_dispatch_service *service);
void ab_dispatch_free_dispatcher (struct ab_dispatch_service *service);

/* dispatch_probe_task.c  */
void ab_dispatch_probe (struct ab_dispatch_service *service,
                        const char *target);
void ab_dispatch_free_probes (struct ab_dispatch_task *task);

#endif
