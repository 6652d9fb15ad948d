#include "scheduler.h"

#include <stdlib.h>
#include <utlist.h>

#include "rendezvous.h"
#include "scheduler_internal.h"

#define LATENCY_WEIGHT 0.05
/* A request in flight for this many times the typical latency is overdue; few
   requests take that long.  */
#define OVERDUE_FACTOR 2.5
/* A request in flight for this many times the typical latency, and for at
   least STALLED_MIN_MS, is stalled.  */
#define STALLED_FACTOR 5
#define STALLED_MIN_MS 900
/* A grant without an outcome is released this long after its deadline.  */
#define GRANT_SLACK_MS 1500
/* Shortest retry delay that is sent with a rejection.  */
#define RETRY_AFTER_MIN_MS 50
#define QUEUE_MAX 4096
/* Shortest time between two passes over the queue because of new requests,
   which bounds their processor time.  */
#define CHECK_GAP_MS 10
/* A request waits at most this long for the end of a pause that all targets
   asked its host for.  Its caller comes back in time after a rejection, and
   may find another host.  */
#define PAUSE_WAIT_MS 50
/* A request with a large body waits at most this long for a slot in its own
   failure domain: one of several slots becomes free within a fraction of the
   typical latency.  */
#define LOCAL_WAIT_MS 90

struct ab_scheduler *
ab_scheduler_new (const struct ab_scheduler_config *config,
                  const struct ab_scheduler_ops *ops, void *ctx)
{
  struct ab_scheduler *s = calloc (1, sizeof *s);

  if (!s)
    return NULL;
  s->config = *config;
  s->ops = ops;
  s->ctx = ctx;
  return s;
}

void
ab_scheduler_free (struct ab_scheduler *s)
{
  struct ab_sched_request *request;
  struct ab_sched_target *target;
  struct ab_sched_service *service;

  if (!s)
    return;
  request = s->requests;
  target = s->targets;
  service = s->services;
  HASH_CLEAR (hh, s->requests);
  HASH_CLEAR (hh, s->targets);
  HASH_CLEAR (hh, s->services);
  while (request)
    {
      struct ab_sched_request *next = request->hh.next;
      free (request);
      request = next;
    }
  while (target)
    {
      struct ab_sched_target *next = target->hh.next;
      free (target);
      target = next;
    }
  while (service)
    {
      struct ab_sched_service *next = service->hh.next;
      ab_sched_shares_clear (&service->shares);
      free (service);
      service = next;
    }
  free (s);
}

/* Replies to REQUEST; TARGET is the granted target, or the one whose rate
   limit leaves no room, or null.  */
static void
decide (struct ab_scheduler *s, const struct ab_sched_request *request,
        enum ab_sched_decision decision, const struct ab_sched_target *target,
        uint64_t wait_ms, uint64_t now_ms)
{
  struct ab_sched_reply reply = { .decision = decision,
                                  .id = request->slot_request.id,
                                  .waited_ms = now_ms - request->arrived_ms,
                                  .wait_ms = wait_ms,
                                  .waiting = request->service->waiting_count };

  if (request->slot_request.wants_free)
    {
      reply.has_free = true;
      reply.free_slots = ab_sched_free_slots (request->service, now_ms);
    }
  if (target)
    {
      memcpy (reply.target, target->fleet_target.id, sizeof reply.target);
      memcpy (reply.address, target->fleet_target.address,
              sizeof reply.address);
      reply.health_state = ab_target_health_state (&target->health, now_ms);
    }
  s->ops->decide (s->ctx, &request->slot_request, &reply);
}

static void
free_request (struct ab_scheduler *s, struct ab_sched_request *request)
{
  struct ab_sched_service *service = request->service;

  ab_sched_return_retry (request);
  if (request->target)
    DL_DELETE (service->granted, request);
  else
    {
      DL_DELETE (service->waiting, request);
      service->waiting_count--;
    }
  /* Always true; the static analyser cannot follow the hash table.  */
  if (s->requests && s->requests->hh.tbl)
    HASH_DEL (s->requests, request);
  free (request);
}

static void
grant (struct ab_scheduler *s, struct ab_sched_request *request,
       struct ab_sched_target *target, uint64_t now_ms)
{
  struct ab_sched_service *service = request->service;

  DL_DELETE (service->waiting, request);
  service->waiting_count--;
  DL_APPEND (service->granted, request);
  request->target = target;
  request->granted_ms = now_ms;
  request->is_trial
      = ab_target_health_state (&target->health, now_ms) != AB_TARGET_HEALTHY;
  if (request->is_trial && !request->slot_request.idempotent)
    ab_sched_record_order_test (service, target, now_ms);
  target->last_granted_ms = now_ms;
  target->in_flight++;
  target->trial_requests += request->is_trial;
  target->used = true;
  ab_rate_bucket_take (&target->rate, now_ms);
  ab_sched_shares_grant (&service->shares, &request->slot_request,
                         &request->place, now_ms);
  ab_sched_record_grant (service, now_ms);
  ab_sched_spend_retry (request, now_ms);
  decide (s, request, AB_SCHED_GRANTED, target, 0, now_ms);
}

/* Returns whether REQUEST still waits for a slot in its own failure
   domain.  */
static bool
waits_for_local_slot (const struct ab_sched_request *request, uint64_t now_ms)
{
  const struct ab_sched_slot_request *slot_request = &request->slot_request;

  return slot_request->large_body && slot_request->may_wait
         && now_ms - request->arrived_ms < LOCAL_WAIT_MS
         && (double)slot_request->objective_ms
                > 2 * ab_sched_typical_latency_ms (request->service)
                      + LOCAL_WAIT_MS
         && ab_sched_local_target_is_busy (request->service, slot_request,
                                           now_ms);
}

/* Number of classes of requests that differ in the targets that they may
   use.  */
#define REQUEST_CLASSES 4

static size_t
request_class (const struct ab_sched_slot_request *slot_request)
{
  return (size_t)slot_request->idempotent * 2 + slot_request->is_retry;
}

/* Number of requests of each class that found no target in one pass over the
   queue.  Free slots only become fewer during a pass, so the rest of a class
   is skipped after a few failed searches; not after the first one, as a broken
   path or an earlier attempt may affect only that request.  */
#define FAILED_SEARCHES_MAX 4

struct queue_pass
{
  unsigned failed_searches[REQUEST_CLASSES];
};

static bool
is_skipped (const struct queue_pass *queue_pass,
            const struct ab_sched_slot_request *slot_request)
{
  return queue_pass->failed_searches[request_class (slot_request)]
         >= FAILED_SEARCHES_MAX;
}

/* Returns a free target for a queued request, or null.  */
static struct ab_sched_target *
find_target (const struct ab_sched_request *request,
             const struct ab_sched_summary *summary, uint64_t now_ms)
{
  uint64_t waited_ms = now_ms - request->arrived_ms;

  if (!ab_sched_may_choose (request->service, summary, &request->slot_request,
                            waited_ms, now_ms))
    return NULL;
  return ab_sched_choose_target (
      request->service, summary, &request->slot_request, waited_ms,
      waits_for_local_slot (request, now_ms), now_ms);
}

/* Grants free slots to queued requests in their order.  A slot that one
   request may not use may suit a later one.  */
static void
serve_queue (struct ab_scheduler *s, struct ab_sched_service *service,
             uint64_t now_ms)
{
  size_t count = service->waiting_count;
  struct ab_sched_summary summary;
  struct ab_sched_request **list;
  struct queue_pass queue_pass = { 0 };

  if (count == 0)
    return;
  ab_sched_summarise (service, now_ms, &summary);
  if (ab_sched_free_targets (&summary) == 0)
    return;
  list = ab_sched_list_waiting (service, now_ms);
  for (size_t i = 0; list && i < count && ab_sched_free_targets (&summary) > 0;
       i++)
    {
      struct ab_sched_target *target;
      if (is_skipped (&queue_pass, &list[i]->slot_request)
          || !ab_sched_may_spend_retry (s, list[i], now_ms))
        continue;
      target = find_target (list[i], &summary, now_ms);
      if (!target)
        {
          queue_pass.failed_searches[request_class (&list[i]->slot_request)]++;
          continue;
        }
      grant (s, list[i], target, now_ms);
      ab_sched_summarise (service, now_ms, &summary);
    }
  free (list);
}

static void
reject (struct ab_scheduler *s, struct ab_sched_request *request,
        enum ab_sched_decision decision,
        const struct ab_sched_target *limited_by, uint64_t wait_ms,
        uint64_t now_ms)
{
  if (decision != AB_SCHED_SPILL)
    ab_sched_failure_window_record (&request->service->failure_window, true,
                                    now_ms);
  if (decision == AB_SCHED_FULL)
    request->service->last_full_ms = now_ms;
  ab_sched_shares_reject (
      &request->service->shares, &request->slot_request, &request->place,
      limited_by ? AB_SCHED_RATE_LIMITED : decision, now_ms);
  decide (s, request, decision, limited_by,
          wait_ms < RETRY_AFTER_MIN_MS ? RETRY_AFTER_MIN_MS : wait_ms, now_ms);
  free_request (s, request);
}

/* Returns the target whose rate limit is the reason why REQUEST, with AHEAD
   others before it, gets no response within REMAINING_MS, or null when there
   is another reason.  */
static const struct ab_sched_target *
binding_limit (const struct ab_sched_request *request,
               const struct ab_sched_capacity *capacity, size_t ahead,
               double remaining_ms, uint64_t now_ms)
{
  const struct ab_sched_capacity unlimited
      = { .slots = capacity->unlimited_slots,
          .unlimited_slots = capacity->unlimited_slots,
          .is_hypothetical = true };
  double response_ms;

  if (!capacity->most_limited)
    return NULL;
  response_ms = ab_sched_queue_wait_ms (request, ahead, &unlimited, now_ms)
                + ab_sched_typical_latency_ms (request->service)
                + AB_SCHED_REPLY_MARGIN_MS;
  return response_ms > remaining_ms ? NULL : capacity->most_limited;
}

/* Returns the milliseconds for which no target takes requests of REQUEST's
   host, if they are too many to wait for, else 0.  */
static uint64_t
too_long_pause_ms (const struct ab_sched_request *request, uint64_t now_ms)
{
  uint64_t pause = ab_sched_requester_pause_ms (
      request->service, &request->slot_request, now_ms);

  return pause > PAUSE_WAIT_MS ? pause : 0;
}

/* Measures the capacity of SERVICE, counting one slot when all targets are
   ejected: one of them may return.  */
static void
measure_some_capacity (const struct ab_sched_service *service, uint64_t now_ms,
                       struct ab_sched_capacity *capacity)
{
  ab_sched_measure_capacity (service, now_ms, capacity);
  if (capacity->slots <= 0)
    *capacity = (struct ab_sched_capacity){ .slots = 1, .unlimited_slots = 1 };
}

/* Grants an order that would be rejected a slot of an untested target, if
   there is one.  A rejected order is lost; the target fails one in four.
   Returns whether it did.  */
static bool
grant_untested (struct ab_scheduler *s, struct ab_sched_request *request,
                uint64_t now_ms)
{
  struct ab_sched_target *target;

  if (request->slot_request.idempotent
      || !ab_sched_may_spend_retry (s, request, now_ms))
    return false;
  target = ab_sched_choose_untested (request->service, &request->slot_request,
                                     now_ms - request->arrived_ms, now_ms);
  if (target)
    grant (s, request, target, now_ms);
  return target;
}

/* Rejects queued requests as soon as it is known that they cannot be served in
   time, or that no target takes requests any more.  */
static void
reject_unservable (struct ab_scheduler *s, struct ab_sched_service *service,
                   uint64_t now_ms)
{
  double typical_ms = ab_sched_typical_latency_ms (service);
  size_t count = service->waiting_count;
  struct ab_sched_request **list
      = count > 0 ? ab_sched_list_waiting (service, now_ms) : NULL;
  struct ab_sched_summary summary;
  struct ab_sched_capacity capacity;
  size_t ahead = 0;

  service->last_checked_ms = now_ms;
  if (list)
    {
      ab_sched_summarise (service, now_ms, &summary);
      measure_some_capacity (service, now_ms, &capacity);
    }
  for (size_t i = 0; list && i < count; i++)
    {
      struct ab_sched_request *request = list[i];
      double wait = ab_sched_queue_wait_ms (request, ahead, &capacity, now_ms);
      double remaining_ms = (double)ab_sched_remaining_ms (
          request->slot_request.timeout_ms, request, now_ms);
      uint64_t pause = too_long_pause_ms (request, now_ms);
      bool too_late = ab_sched_too_late (request, now_ms);
      if (pause > 0 || summary.ready == 0)
        reject (s, request, AB_SCHED_NO_TARGET, NULL,
                pause > 0 ? pause : (uint64_t)typical_ms, now_ms);
      else if (!too_late
               && wait + typical_ms + AB_SCHED_REPLY_MARGIN_MS <= remaining_ms)
        ahead++;
      else if (too_late || !grant_untested (s, request, now_ms))
        reject (
            s, request, AB_SCHED_FULL,
            binding_limit (request, &capacity, ahead, remaining_ms, now_ms),
            (uint64_t)wait, now_ms);
    }
  free (list);
}

/* Queues or rejects a request for which there is no free slot.  */
static void
queue_or_reject (struct ab_scheduler *s, struct ab_sched_request *request,
                 uint64_t now_ms)
{
  const struct ab_sched_slot_request *slot_request = &request->slot_request;
  struct ab_sched_summary summary;
  struct ab_sched_capacity capacity;
  double typical_ms = ab_sched_typical_latency_ms (request->service);
  size_t ahead = ab_sched_count_ahead (request, now_ms);
  bool may_come_back;
  uint64_t wait;

  ab_sched_measure_capacity (request->service, now_ms, &capacity);
  wait = too_long_pause_ms (request, now_ms);
  if (wait > 0)
    {
      reject (s, request, AB_SCHED_NO_TARGET, NULL, wait, now_ms);
      return;
    }
  if (capacity.slots <= 0)
    {
      reject (s, request, AB_SCHED_NO_TARGET, NULL, (uint64_t)typical_ms,
              now_ms);
      return;
    }
  ab_sched_summarise (request->service, now_ms, &summary);
  wait = (uint64_t)ab_sched_queue_wait_ms (request, ahead, &capacity, now_ms);
  /* An order comes back from other shards for an untested target here.  */
  may_come_back = slot_request->may_spill && !slot_request->idempotent
                  && summary.untested_free > 0;
  if (!may_come_back
      && ((double)wait > ab_sched_admission_limit_ms (request, now_ms)
          || request->service->waiting_count > QUEUE_MAX))
    {
      if (!grant_untested (s, request, now_ms))
        reject (s, request, AB_SCHED_FULL,
                binding_limit (request, &capacity, ahead,
                               (double)slot_request->timeout_ms, now_ms),
                wait, now_ms);
    }
  else if (!slot_request->may_wait
           || (slot_request->may_spill && !slot_request->idempotent
               && summary.untested_free + summary.suspect_free > 0)
           || (slot_request->may_spill && slot_request->objective_ms > 0
               && (double)wait + typical_ms
                      > (double)slot_request->objective_ms))
    reject (s, request, AB_SCHED_SPILL,
            binding_limit (request, &capacity, ahead,
                           (double)slot_request->objective_ms, now_ms),
            wait, now_ms);
  else
    {
      struct ab_sched_service *service = request->service;
      decide (s, request, AB_SCHED_WAITING, NULL, wait, now_ms);
      /* Others may have to give way.  */
      if (ahead + 1 < service->waiting_count
          && now_ms - service->last_checked_ms >= CHECK_GAP_MS)
        reject_unservable (s, service, now_ms);
    }
}

static struct ab_sched_request *
add_request (struct ab_scheduler *s,
             const struct ab_sched_slot_request *slot_request, uint64_t now_ms)
{
  struct ab_sched_request *request = calloc (1, sizeof *request);

  if (!request)
    return NULL;
  request->service
      = ab_sched_get_service (s, slot_request->service, slot_request->shard);
  if (!request->service)
    {
      free (request);
      return NULL;
    }
  request->slot_request = *slot_request;
  request->arrived_ms = now_ms;
  DL_APPEND (request->service->waiting, request);
  request->service->waiting_count++;
  HASH_ADD (hh, s->requests, slot_request.id, sizeof request->slot_request.id,
            request);
  return request;
}

void
ab_scheduler_request_slot (struct ab_scheduler *s,
                           const struct ab_sched_slot_request *slot_request,
                           uint64_t now_ms)
{
  struct ab_sched_request *request = NULL;
  struct ab_sched_summary summary;
  struct ab_sched_target *target;

  HASH_FIND (hh, s->requests, &slot_request->id, sizeof slot_request->id,
             request);
  if (request)
    {
      decide (s, request,
              request->target ? AB_SCHED_GRANTED : AB_SCHED_WAITING,
              request->target, 0, now_ms);
      return;
    }
  request = add_request (s, slot_request, now_ms);
  if (!request)
    return; /* Without a reply the requester tries another host.  */
  ab_sched_set_share (request->service, slot_request);
  ab_sched_shares_arrival (&request->service->shares, slot_request,
                           &request->place, now_ms);
  ab_sched_check_role (s, request->service, now_ms);
  if (!slot_request->is_retry && !slot_request->is_counted)
    ab_sched_count_first_attempt (s, request->service, now_ms);
  if (slot_request->is_retry && !ab_sched_reserve_retry (s, request, now_ms))
    {
      reject (s, request, AB_SCHED_BUDGET_USED_UP, NULL, RETRY_AFTER_MIN_MS,
              now_ms);
      return;
    }
  /* Requests that are already queued have the first claim to a free slot.  */
  serve_queue (s, request->service, now_ms);
  HASH_FIND (hh, s->requests, &slot_request->id, sizeof slot_request->id,
             request);
  if (!request || request->target)
    return;
  if (waits_for_local_slot (request, now_ms))
    {
      decide (s, request, AB_SCHED_WAITING, NULL, LOCAL_WAIT_MS, now_ms);
      return;
    }
  ab_sched_summarise (request->service, now_ms, &summary);
  target = ab_sched_choose_target (request->service, &summary, slot_request, 0,
                                   false, now_ms);
  if (target)
    grant (s, request, target, now_ms);
  else
    queue_or_reject (s, request, now_ms);
}

static void
release (struct ab_scheduler *s, struct ab_sched_request *request,
         uint64_t now_ms)
{
  struct ab_sched_target *target = request->target;

  target->in_flight--;
  target->adopted -= request->is_adopted;
  target->trial_requests -= request->is_trial;
  target->last_ended_ms = now_ms;
  free_request (s, request);
  if (target->fleet_target.state == AB_FLEET_TARGET_REMOVED
      && target->in_flight == 0)
    ab_sched_remove_target (s, target);
}

/* Returns whether EVENT is a response of the target itself.  */
static bool
is_response (enum ab_target_event event)
{
  return event == AB_TARGET_OK || event == AB_TARGET_ERROR
         || event == AB_TARGET_SHED;
}

static void
record_outcome (struct ab_sched_target *target,
                const struct ab_sched_request *request,
                enum ab_target_event event, uint64_t latency_ms,
                uint64_t now_ms)
{
  struct ab_sched_service *service = target->service;
  bool is_counted
      = !request->is_trial && event != AB_TARGET_UNUSED
        && (event == AB_TARGET_OK || !request->slot_request.idempotent
            || request->slot_request.is_retry);

  /* Failures of trial requests are expected, and idempotent first attempts are
     retried elsewhere, so neither counts towards the failure rate.  */
  if (is_counted)
    ab_sched_failure_window_record (&service->failure_window,
                                    event != AB_TARGET_OK, now_ms);
  if (is_response (event))
    target->answered_ms = now_ms;
  if (ab_sched_record_path_failure (target, request, event, now_ms))
    return;
  if (event == AB_TARGET_OK)
    service->latency_ms
        = ab_sched_typical_latency_ms (service)
          + LATENCY_WEIGHT
                * ((double)latency_ms - ab_sched_typical_latency_ms (service));
  ab_target_health_record (&target->health, event, latency_ms,
                           ab_sched_typical_latency_ms (service), now_ms);
}

/* Applies a notice of REQUEST's target.  */
static void
record_notice (const struct ab_sched_request *request,
               enum ab_target_event event, uint64_t pause_ms, uint64_t now_ms)
{
  if (!request->target)
    return;
  if (event == AB_TARGET_LEAVING)
    request->target->leaving = true;
  else
    ab_sched_record_pause (
        request->target,
        ab_rendezvous_hash (ab_chunk_str (request->slot_request.host)),
        pause_ms, now_ms);
}

void
ab_scheduler_outcome (struct ab_scheduler *s, uint64_t id,
                      enum ab_target_event event, uint64_t latency_ms,
                      uint64_t now_ms)
{
  struct ab_sched_request *request = NULL;
  struct ab_sched_service *service;

  HASH_FIND (hh, s->requests, &id, sizeof id, request);
  if (!request)
    return;
  if (event == AB_TARGET_LEAVING || event == AB_TARGET_PAUSED)
    {
      record_notice (request, event, latency_ms, now_ms);
      return;
    }
  service = request->service;
  if (request->target)
    {
      record_outcome (request->target, request, event, latency_ms, now_ms);
      release (s, request, now_ms);
    }
  else
    {
      /* The caller is gone or the host asks elsewhere.  */
      ab_sched_shares_reject (&service->shares, &request->slot_request,
                              &request->place, AB_SCHED_SPILL, now_ms);
      free_request (s, request);
    }
  serve_queue (s, service, now_ms);
}

/* Records what the time that REQUEST has been in flight indicates about its
   target.  */
static void
check_age (struct ab_sched_request *request, uint64_t age_ms, uint64_t now_ms)
{
  double typical_ms = ab_sched_typical_latency_ms (request->service);
  double stalled_ms = typical_ms * STALLED_FACTOR > STALLED_MIN_MS
                          ? typical_ms * STALLED_FACTOR
                          : STALLED_MIN_MS;
  struct ab_target_health *health = &request->target->health;

  if (!request->survived
      && ab_target_health_outlasts_quick_failure (age_ms, typical_ms))
    {
      request->survived = true;
      ab_target_health_record_progress (health, now_ms);
    }
  if (!request->overdue && (double)age_ms > typical_ms * OVERDUE_FACTOR)
    {
      request->overdue = true;
      if (!ab_sched_host_is_cut (request, now_ms))
        ab_target_health_record_overdue (health, now_ms);
    }
  if ((double)age_ms > stalled_ms
      && request->target->last_ended_ms <= request->granted_ms)
    ab_target_health_record_stalled (health, now_ms);
}

/* Releases grants whose outcome never arrived, and records targets at which
   requests are stalled.  */
static void
check_granted (struct ab_scheduler *s, struct ab_sched_service *service,
               uint64_t now_ms)
{
  struct ab_sched_request *request;
  struct ab_sched_request *next;

  DL_FOREACH_SAFE (service->granted, request, next)
  {
    uint64_t age = now_ms - request->granted_ms;
    if (age > request->slot_request.timeout_ms + GRANT_SLACK_MS)
      release (s, request, now_ms);
    /* How long an adopted request takes indicates nothing here: a new
       scheduler knows neither the typical latency nor what has ended at the
       target since.  */
    else if (!request->is_adopted)
      check_age (request, age, now_ms);
  }
}

void
ab_scheduler_tick (struct ab_scheduler *s, uint64_t now_ms)
{
  for (struct ab_sched_service *service = s->services; service;
       service = service->hh.next)
    {
      ab_sched_tick_budget (s, service, now_ms);
      check_granted (s, service, now_ms);
      serve_queue (s, service, now_ms);
      reject_unservable (s, service, now_ms);
      ab_sched_record_backlog (service, now_ms);
      ab_sched_report_refusals (s, service, now_ms);
    }
}
