/* Dispatchers that run on this host, for its own failure domain.  */

#include <stdlib.h>

#include "clock.h"
#include "control_client.h"
#include "dispatch_internal.h"
#include "error.h"

/* A dispatcher that got no slot request for this long is freed.  */
#define IDLE_TIMEOUT_MS 60000
/* Reports of other dispatchers are valid for this long.  */
#define REPORT_AGE_MS 3000
#define PERMIT_TIMEOUT_MS 2000
#define SERVICE_QUEUE_DEFAULT 200
#define FLOOR_DEFAULT 0.7

static struct ab_dispatch_service *
service_of (struct ab_dispatcher_env *env)
{
  return (struct ab_dispatch_service *)env;
}

/* Sends HOST the rate limit of the target ADDRESS, if it has one, before a
   grant of the target.  */
static void
announce_rate_limit (const struct ab_dispatch_service *service,
                     const char *address, const char *host)
{
  struct ab_rate_limit_task *rate_limits = service->task->rate_limits;
  const struct ab_target_view *view
      = ab_dispatch_find_target (service, address);

  if (view
      && ab_rate_limit_task_find (rate_limits, address, view->incarnation)
             != AB_RATE_LIMIT_NONE)
    ab_rate_limit_task_tell (rate_limits, address, view->incarnation, host);
}

static void
on_grant (struct ab_dispatcher_env *env,
          const struct ab_dispatcher_grant *grant)
{
  struct ab_dispatch_service *service = service_of (env);
  struct ab_grant_frame frame
      = { .slot_request_id = grant->slot_request_id,
          .grant = { .id = grant->id,
                     .max_connections
                     = ab_dispatch_connections (service->task, service) } };
  struct ab_buf body = AB_BUF_INIT;

  service->replied = true;
  memcpy (frame.grant.service, service->name, sizeof frame.grant.service);
  ab_chunk_copy_bounded (ab_chunk_str (grant->class_name),
                         frame.grant.class_name,
                         sizeof frame.grant.class_name);
  ab_chunk_copy_bounded (ab_chunk_str (grant->target), frame.grant.target,
                         sizeof frame.grant.target);
  announce_rate_limit (service, grant->target, grant->requester);
  ab_grant_encode (&frame, &body);
  ab_dispatch_send (service->task, grant->requester, AB_FRAME_DISPATCH_GRANT,
                    &body);
}

static void
send_refusal (struct ab_dispatch_task *task, const char *requester,
              uint64_t slot_request_id, int rc, bool spill, const char *reason)
{
  struct ab_refuse_frame frame
      = { .slot_request_id = slot_request_id, .rc = rc, .spill = spill };
  struct ab_buf body = AB_BUF_INIT;

  ab_chunk_copy_bounded (ab_chunk_str (reason), frame.reason,
                         sizeof frame.reason);
  ab_refuse_encode (&frame, &body);
  ab_dispatch_send (task, requester, AB_FRAME_DISPATCH_REFUSE, &body);
}

static void
on_refuse (struct ab_dispatcher_env *env, uint64_t slot_request_id,
           const char *requester, int rc, bool spill, const char *reason)
{
  struct ab_dispatch_service *service = service_of (env);

  service->replied = true;
  send_refusal (service->task, requester, slot_request_id, rc, spill, reason);
}

/* A pending request for a permit.  The dispatcher may be freed before the
   control group replies, so it is looked up by name then.  */
struct permit_request
{
  struct ab_dispatch_task *task;
  char service[AB_NAME_BYTES];
};

static void
on_permit (void *ctx, int rc)
{
  struct permit_request *wait = ctx;
  struct ab_dispatch_service *service
      = ab_dispatch_find_service (wait->task, wait->service);

  if (service && service->dispatcher)
    ab_dispatcher_permit_reply (service->dispatcher, rc == 0,
                                ab_dispatch_now ());
  else if (rc == 0)
    ab_control_client_permit_release (wait->task->daemon->control_client,
                                      ab_chunk_str (wait->service));
  free (wait);
}

static void
on_acquire (struct ab_dispatcher_env *env)
{
  struct ab_dispatch_service *service = service_of (env);
  struct permit_request *wait = calloc (1, sizeof *wait);

  if (!wait)
    return;
  wait->task = service->task;
  memcpy (wait->service, service->name, sizeof wait->service);
  ab_control_client_permit_acquire (
      service->task->daemon->control_client, ab_chunk_str (wait->service),
      ab_dispatch_now () + PERMIT_TIMEOUT_MS, on_permit, wait);
}

static void
on_release (struct ab_dispatcher_env *env)
{
  struct ab_dispatch_service *service = service_of (env);

  ab_control_client_permit_release (service->task->daemon->control_client,
                                    ab_chunk_str (service->name));
}

static void
on_probe (struct ab_dispatcher_env *env, const char *target)
{
  ab_dispatch_probe (service_of (env), target);
}

static void
on_event (struct ab_dispatcher_env *env, const struct ab_dispatch_event *event)
{
  struct ab_dispatch_service *service = service_of (env);
  const struct ab_evidence *evidence = &event->evidence;

  AB_EXPLAIN (service->task->daemon->explain, ab_chunk_str (event->target),
              ab_dispatch_event_name (event->kind),
              ab_log_str ("service", service->name),
              ab_log_str ("cause", ab_cause_name (evidence->cause)),
              ab_log_real ("score", evidence->score),
              ab_log_real ("threshold", evidence->threshold),
              ab_log_real ("slowdown", evidence->slowdown),
              ab_log_int ("outcomes", (int64_t)evidence->outcomes),
              ab_log_int ("bad", (int64_t)evidence->bad),
              ab_log_int ("overdue", (int64_t)evidence->overdue),
              ab_log_int ("exile_ms", (int64_t)event->ejection_left_ms));
  AB_LOG (AB_LOG_INFO, "target_state", ab_log_str ("target", event->target),
          ab_log_str ("service", service->name),
          ab_log_str ("change", ab_dispatch_event_name (event->kind)),
          ab_log_str ("cause", ab_cause_name (evidence->cause)),
          ab_log_real ("score", evidence->score),
          ab_log_real ("threshold", evidence->threshold));
  if (event->kind == AB_DISPATCH_EJECTED)
    *ab_counter (service->task->daemon->counters, "ab_ejections_total") += 1;
}

static const struct ab_dispatcher_ops ops = { .grant = on_grant,
                                              .refuse = on_refuse,
                                              .acquire_permit = on_acquire,
                                              .release_permit = on_release,
                                              .probe = on_probe,
                                              .event = on_event };

static void
read_options (struct ab_dispatch_service *service,
              struct ab_dispatcher_options *options)
{
  const struct ab_service *rules
      = service->task->bundle ? ab_bundle_find_service (
            service->task->bundle, ab_chunk_str (service->name))
                              : NULL;

  *options = (struct ab_dispatcher_options){ .floor = FLOOR_DEFAULT,
                                             .queue = SERVICE_QUEUE_DEFAULT };
  service->connections = 0;
  if (!rules)
    return;
  options->detection_weight = rules->detection_weight;
  options->floor = rules->floor;
  options->queue = rules->queue;
  options->slow_start_ms = rules->slow_start_ms;
  service->connections = rules->connections;
}

void
ab_dispatch_configure (struct ab_dispatch_service *service)
{
  struct ab_dispatcher_options options;

  read_options (service, &options);
  if (service->dispatcher)
    ab_dispatcher_configure (service->dispatcher, &options);
}

/* Returns whether this host's dispatcher is responsible for a target: one of
   this host's failure domain, or of a domain whose hosts are all dead and for
   which this host is the preferred dispatcher by rendezvous hash.  */
static bool
is_responsible (const struct ab_dispatch_service *service,
                const struct ab_target_view *view)
{
  const struct ab_daemon *daemon = service->task->daemon;
  const struct ab_host_view *host;

  if (strcmp (view->failure_domain, daemon->settings->failure_domain) == 0)
    return true;
  if (ab_member_task_choose_dispatchers (
          daemon->member, ab_chunk_str (service->name),
          ab_chunk_str (view->failure_domain), &host, 1)
      == 0)
    return false;
  return strcmp (host->name, daemon->settings->host) == 0;
}

static void
set_rate_limit (struct ab_dispatch_service *service,
                const struct ab_target_view *view)
{
  ab_dispatcher_set_rate_limit (
      service->dispatcher, view->address,
      ab_rate_limit_task_find (service->task->rate_limits, view->address,
                               view->incarnation),
      ab_dispatch_now ());
}

void
ab_dispatch_limit_changed (void *ctx, const struct ab_rate_limit *limit)
{
  struct ab_dispatch_task *task = ctx;

  for (struct ab_dispatch_service *at = task->services; at; at = at->hh.next)
    {
      const struct ab_target_view *view
          = at->dispatcher ? ab_dispatch_find_target (at, limit->target)
                           : NULL;
      if (view)
        set_rate_limit (at, view);
    }
}

/* Updates the dispatcher's copy of a target.  A target that this host has
   known for the length of a slow start is warm: a new dispatcher must not
   slow-start targets that have been running for a long time.  */
static void
update_dispatcher_target (struct ab_dispatch_service *service,
                          const struct ab_target_view *view,
                          uint64_t slow_start_ms)
{
  uint64_t now_ms = ab_dispatch_now ();
  struct ab_dispatcher_target target
      = { .address = view->address,
          .slots = view->slots ? view->slots : 1,
          .incarnation = view->incarnation,
          .draining = view->state == AB_TARGET_DRAINING };

  if (view->state == AB_TARGET_REMOVED)
    {
      ab_dispatcher_remove_target (service->dispatcher, view->address, now_ms);
      return;
    }
  ab_dispatcher_set_target (service->dispatcher, &target,
                            now_ms >= view->since_ms + slow_start_ms, now_ms);
  set_rate_limit (service, view);
}

void
ab_dispatch_update_target (struct ab_dispatch_service *service,
                           const struct ab_target_view *view)
{
  struct ab_dispatcher_options options;

  if (!service->dispatcher || !is_responsible (service, view))
    return;
  read_options (service, &options);
  update_dispatcher_target (service, view, options.slow_start_ms);
}

static bool
has_fresh_report (const struct ab_dispatch_service *service,
                  const char *domain, uint64_t now_ms)
{
  for (size_t i = 0; i < service->report_count; i++)
    if (strcmp (service->reports[i].failure_domain, domain) == 0
        && now_ms < service->reports[i].received_ms + REPORT_AGE_MS)
      return true;
  return false;
}

/* Passes the capacity of other failure domains to the dispatcher.  Announced
   slots come from the view of targets, idle slots and those out of service
   from the domains' reports.  A domain without a recent report has no
   dispatcher because no host has requested a slot there, so all its slots
   count as idle.  */
static void
update_remote_capacity (struct ab_dispatch_service *service)
{
  uint64_t now_ms = ab_dispatch_now ();
  uint64_t announced = 0;
  uint64_t out = 0;
  uint64_t idle = 0;

  for (size_t i = 0; i < service->target_count; i++)
    {
      const struct ab_target_view *view = &service->targets[i].view;
      if (is_responsible (service, view) || view->state != AB_TARGET_ACTIVE)
        continue;
      announced += view->slots;
      if (!has_fresh_report (service, view->failure_domain, now_ms))
        idle += view->slots;
    }
  for (size_t i = 0; i < service->report_count; i++)
    if (now_ms < service->reports[i].received_ms + REPORT_AGE_MS)
      {
        out += service->reports[i].out_slots;
        idle += service->reports[i].idle_slots;
      }
  ab_dispatcher_set_remote_capacity (service->dispatcher, announced,
                                     out < announced ? out : announced, idle);
}

static void
start_dispatcher (struct ab_dispatch_service *service)
{
  struct ab_dispatcher_options options;

  read_options (service, &options);
  service->env.ops = &ops;
  service->dispatcher
      = ab_dispatcher_new (&service->env, &options, &service->task->rng);
  if (!service->dispatcher)
    return;
  for (size_t i = 0; i < service->target_count; i++)
    if (is_responsible (service, &service->targets[i].view))
      update_dispatcher_target (service, &service->targets[i].view,
                                options.slow_start_ms);
  update_remote_capacity (service);
}

void
ab_dispatch_free_dispatcher (struct ab_dispatch_service *service)
{
  struct ab_dispatcher_totals totals;

  if (!service->dispatcher)
    return;
  ab_dispatcher_totals (service->dispatcher, &totals);
  for (size_t i = 0; i < totals.permits_held; i++)
    on_release (&service->env);
  ab_dispatcher_free (service->dispatcher);
  service->dispatcher = NULL;
}

/* Returns the divisor of the part of a target's rate limit that this host may
   use: all of it when it comes first among the dispatchers of its failure
   domain.  */
static uint64_t
rate_divisor (const struct ab_dispatch_service *service)
{
  const struct ab_daemon *daemon = service->task->daemon;
  const char *own_host = daemon->settings->host;
  const struct ab_host_view *host;

  if (!ab_rate_limit_task_any (service->task->rate_limits)
      || ab_member_task_choose_dispatchers (
             daemon->member, ab_chunk_str (service->name),
             ab_chunk_str (daemon->settings->failure_domain), &host, 1)
             == 0
      || strcmp (own_host, host->name) == 0)
    return 1;
  return AB_RATE_LIMIT_STAND_IN_DIVISOR;
}

static void
submit_slot_request (struct ab_dispatch_service *service,
                     const char *requester,
                     const struct ab_slot_request_frame *frame)
{
  const struct ab_dispatch_request *request = &frame->request;
  uint64_t now_ms = ab_dispatch_now ();
  struct ab_dispatcher_slot_request slot_request
      = { .id = frame->id,
          .requester = requester,
          .class_name = ab_chunk_str (request->class_name),
          .priority = request->priority,
          .deadline_ms = now_ms + frame->left_ms,
          .excluded_count = request->excluded_count,
          .spilled = frame->spilled,
          .no_spill = frame->no_spill,
          .rate_divisor = rate_divisor (service) };

  for (size_t i = 0; i < request->excluded_count; i++)
    slot_request.excluded[i] = request->excluded[i];
  service->last_request_ms = now_ms;
  service->replied = false;
  ab_dispatcher_request_slot (service->dispatcher, &slot_request, now_ms);
  if (!service->replied)
    send_refusal (service->task, requester, frame->id, AB_ERR_BUSY, false,
                  "waiting for a slot");
}

void
ab_dispatch_on_slot_request (void *ctx, const struct ab_frame *frame)
{
  struct ab_dispatch_task *task = ctx;
  struct ab_dispatch_service *service;
  struct ab_slot_request_frame slot_request;
  char requester[AB_NAME_BYTES];

  if (ab_slot_request_decode (frame->body, &slot_request) < 0
      || !ab_chunk_copy (frame->sender, requester, sizeof requester))
    return;
  service = ab_dispatch_find_service (task, slot_request.request.service);
  if (service && !service->dispatcher)
    start_dispatcher (service);
  if (service && service->dispatcher)
    submit_slot_request (service, requester, &slot_request);
  else
    send_refusal (task, requester, slot_request.id, AB_ERR_NOT_FOUND, true,
                  "the dispatcher knows no target of the service");
}

void
ab_dispatch_on_outcome (void *ctx, const struct ab_frame *frame)
{
  struct ab_dispatch_task *task = ctx;
  struct ab_dispatch_service *service;
  struct ab_outcome_frame outcome;
  char requester[AB_NAME_BYTES];

  if (ab_outcome_decode (frame->body, &outcome) < 0
      || !ab_chunk_copy (frame->sender, requester, sizeof requester))
    return;
  service = ab_dispatch_find_service (task, outcome.service);
  if (!service || !service->dispatcher)
    return;
  if (outcome.grant)
    ab_dispatcher_outcome (service->dispatcher, outcome.grant,
                           &outcome.outcome, ab_dispatch_now ());
  else if (outcome.slot_request_id)
    ab_dispatcher_cancel (service->dispatcher, requester,
                          outcome.slot_request_id);
  else
    ab_dispatcher_observe (service->dispatcher, outcome.target,
                           ab_chunk_str (outcome.class_name), requester,
                           &outcome.outcome, ab_dispatch_now ());
}

void
ab_dispatch_on_revoke (void *ctx, struct ab_chunk name)
{
  struct ab_dispatch_task *task = ctx;
  struct ab_dispatch_service *service;
  char text[AB_NAME_BYTES];

  if (!ab_chunk_copy (name, text, sizeof text))
    return;
  service = ab_dispatch_find_service (task, text);
  if (service && service->dispatcher)
    ab_dispatcher_permit_revoked (service->dispatcher, ab_dispatch_now ());
}

static void
store_report (struct ab_dispatch_service *service, const char *failure_domain,
              const struct ab_evidence_frame *evidence)
{
  struct ab_domain_report *report = service->reports;
  struct ab_domain_report *end = report + service->report_count;

  while (report < end && strcmp (report->failure_domain, failure_domain) != 0)
    report++;
  if (report == end && service->report_count == AB_DISPATCH_DOMAINS_MAX)
    return;
  if (report == end)
    service->report_count++;
  *report = (struct ab_domain_report){ .out_slots = evidence->out_slots,
                                       .idle_slots = evidence->idle_slots,
                                       .received_ms = ab_dispatch_now () };
  ab_chunk_copy_bounded (ab_chunk_str (failure_domain), report->failure_domain,
                         sizeof report->failure_domain);
}

struct report_list
{
  size_t count;
  struct ab_peer_evidence reports[AB_EVIDENCE_MAX];
};

static void
append_report (void *ctx, const struct ab_peer_evidence *report)
{
  struct report_list *report_list = ctx;

  if (report_list->count < AB_EVIDENCE_MAX)
    report_list->reports[report_list->count++] = *report;
}

void
ab_dispatch_on_evidence (void *ctx, const struct ab_frame *frame)
{
  struct ab_dispatch_task *task = ctx;
  const struct ab_host_view *sender
      = ab_member_task_find_host (task->daemon->member, frame->sender);
  struct ab_evidence_frame *evidence = calloc (1, sizeof *evidence);
  struct report_list *report_list = calloc (1, sizeof *report_list);
  struct ab_dispatch_service *service;

  if (!sender || !evidence || !report_list
      || ab_evidence_decode (frame->body, evidence, append_report, report_list)
             < 0)
    goto out;
  service = ab_dispatch_find_service (task, evidence->service);
  /* Ignore a former dispatcher of this failure domain, which reports the same
     targets as this one.  */
  if (!service || !service->dispatcher
      || strcmp (sender->failure_domain,
                 task->daemon->settings->failure_domain)
             == 0)
    goto out;
  store_report (service, sender->failure_domain, evidence);
  for (size_t i = 0; i < report_list->count; i++)
    ab_detector_import (ab_dispatcher_detector (service->dispatcher),
                        &report_list->reports[i], ab_dispatch_now ());
out:
  free (report_list);
  free (evidence);
}

static void
send_evidence_to (struct ab_dispatch_service *service, const char *domain,
                  const struct ab_evidence_frame *evidence)
{
  const struct ab_host_view *host;
  struct ab_buf body = AB_BUF_INIT;

  if (ab_member_task_choose_dispatchers (service->task->daemon->member,
                                         ab_chunk_str (service->name),
                                         ab_chunk_str (domain), &host, 1)
      == 0)
    return;
  ab_evidence_encode (evidence, &body);
  ab_dispatch_send (service->task, host->name, AB_FRAME_EVIDENCE, &body);
}

/* Sends a report to the dispatcher of each other failure domain that has
   targets of the service.  */
static void
send_evidence (struct ab_dispatch_service *service)
{
  struct ab_evidence_frame *evidence = calloc (1, sizeof *evidence);
  struct report_list *report_list = calloc (1, sizeof *report_list);
  struct ab_dispatcher_totals totals;

  if (!evidence || !report_list)
    goto out;
  ab_detector_export (ab_dispatcher_detector (service->dispatcher),
                      ab_dispatch_now (), append_report, report_list);
  ab_dispatcher_totals (service->dispatcher, &totals);
  memcpy (evidence->service, service->name, sizeof evidence->service);
  evidence->out_slots = totals.out_slots;
  evidence->idle_slots = totals.idle_slots > totals.queued
                             ? totals.idle_slots - totals.queued
                             : 0;
  evidence->count = report_list->count;
  memcpy (evidence->reports, report_list->reports, sizeof evidence->reports);
  for (size_t i = 0; i < service->target_count; i++)
    {
      const char *domain = service->targets[i].view.failure_domain;
      size_t first = 0;

      while (strcmp (service->targets[first].view.failure_domain, domain) != 0)
        first++;
      if (first == i && !is_responsible (service, &service->targets[i].view))
        send_evidence_to (service, domain, evidence);
    }
out:
  free (report_list);
  free (evidence);
}

/* Adds and removes the targets of other failure domains, as the hosts there
   die and return.  */
static void
update_assigned_targets (struct ab_dispatch_service *service)
{
  struct ab_dispatcher_options options;

  read_options (service, &options);
  for (size_t i = 0; i < service->target_count; i++)
    {
      const struct ab_target_view *view = &service->targets[i].view;
      if (is_responsible (service, view))
        update_dispatcher_target (service, view, options.slow_start_ms);
      else
        ab_dispatcher_remove_target (service->dispatcher, view->address,
                                     ab_dispatch_now ());
    }
}

void
ab_dispatch_each_second (struct ab_dispatch_service *service)
{
  if (!service->dispatcher)
    return;
  if (ab_dispatch_now () > service->last_request_ms + IDLE_TIMEOUT_MS)
    {
      ab_dispatch_free_dispatcher (service);
      return;
    }
  update_assigned_targets (service);
  update_remote_capacity (service);
  send_evidence (service);
}
