#include "scheduler.h"

#include <stdlib.h>
#include <utlist.h>

#include "rendezvous.h"
#include "scheduler_impl.h"

#define LATENCY_WEIGHT 0.05
/* Few requests take this many times as long as usual.  */
#define LATE_FACTOR 2.5
/* A request under way this many times as long as usual is stuck.  */
#define STUCK_FACTOR 5
#define STUCK_MIN_MS 900
/* A grant without an outcome is given up this long after its deadline.  */
#define GRANT_SLACK_MS 1500
/* A target that this many hosts could not reach lately is down for all.  */
#define PATH_HOSTS_DOWN 2
/* A refusal names at least this time.  */
#define RETRY_MIN_MS 50
#define QUEUE_MAX 4096
/* A bulky request waits at most this long for a slot in its own failure
   domain: one of several slots comes free within a part of a request.  */
#define NEAR_WAIT_MS 90

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
      free (service);
      service = next;
    }
  free (s);
}

/* Decisions.  */

static void
decide (struct ab_scheduler *s, const struct ab_sched_request *request,
        enum ab_sched_kind kind, uint64_t wait_ms, uint64_t now_ms)
{
  struct ab_sched_reply reply = { .kind = kind,
                                  .id = request->ask.id,
                                  .waited_ms = now_ms - request->asked_ms,
                                  .wait_ms = wait_ms,
                                  .waiting = request->service->waiting_count };

  if (request->target)
    {
      memcpy (reply.target, request->target->known.id, sizeof reply.target);
      memcpy (reply.address, request->target->known.address,
              sizeof reply.address);
      reply.trust = ab_target_health_trust (&request->target->health, now_ms);
    }
  s->ops->decide (s->ctx, &request->ask, &reply);
}

static void
free_request (struct ab_scheduler *s, struct ab_sched_request *request)
{
  struct ab_sched_service *service = request->service;

  if (request->target)
    DL_DELETE (service->granted, request);
  else
    {
      DL_DELETE (service->waiting, request);
      service->waiting_count--;
    }
  /* Always: the analyser cannot follow the table.  */
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
  target->granted_ms = now_ms;
  request->trial
      = ab_target_health_trust (&target->health, now_ms) != AB_TRUST_PROVEN;
  target->in_flight++;
  target->trials += request->trial;
  target->used = true;
  decide (s, request, AB_SCHED_GRANTED, 0, now_ms);
}

/* Whether REQUEST takes only a slot in its own failure domain for now.  */
static bool
waits_near (const struct ab_sched_request *request, uint64_t now_ms)
{
  const struct ab_sched_ask *ask = &request->ask;

  return ask->bulky && ask->may_wait
         && now_ms - request->asked_ms < NEAR_WAIT_MS
         && (double)ask->objective_ms
                > 2 * ab_sched_usual_ms (request->service) + NEAR_WAIT_MS
         && ab_sched_near_is_busy (request->service, ask, now_ms);
}

/* Kinds of requests that differ in the targets that they may use.  */
#define ASK_KINDS 4

static size_t
ask_kind (const struct ab_sched_ask *ask)
{
  return (size_t)ask->idempotent * 2 + ask->repeat;
}

/* How many requests of each kind found no target in one pass over those that
   wait.  Slots only fill up during a pass; a few are looked for in vain before
   the rest of the kind is left out, as a path or an attempt before may concern
   one request alone.  */
#define VAIN_MAX 4

struct pass
{
  unsigned vain[ASK_KINDS];
};

static bool
is_vain (const struct pass *pass, const struct ab_sched_ask *ask)
{
  return pass->vain[ask_kind (ask)] >= VAIN_MAX;
}

/* A free target for a request that waits, or null.  */
static struct ab_sched_target *
find_target (const struct ab_sched_request *request,
             const struct ab_sched_summary *summary, uint64_t now_ms)
{
  uint64_t waited_ms = now_ms - request->asked_ms;

  if (!ab_sched_may_choose (request->service, summary, &request->ask,
                            waited_ms, now_ms))
    return NULL;
  return ab_sched_choose_target (request->service, summary, &request->ask,
                                 waited_ms, waits_near (request, now_ms),
                                 now_ms);
}

/* Gives free slots to those that wait, in their order.  What one may not use
   another one may.  */
static void
serve_waiting (struct ab_scheduler *s, struct ab_sched_service *service,
               uint64_t now_ms)
{
  size_t count = service->waiting_count;
  struct ab_sched_summary summary;
  struct ab_sched_request **list;
  struct pass pass = { 0 };

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
      if (is_vain (&pass, &list[i]->ask))
        continue;
      target = find_target (list[i], &summary, now_ms);
      if (!target)
        {
          pass.vain[ask_kind (&list[i]->ask)]++;
          continue;
        }
      grant (s, list[i], target, now_ms);
      ab_sched_summarise (service, now_ms, &summary);
    }
  free (list);
}

static void
refuse (struct ab_scheduler *s, struct ab_sched_request *request,
        enum ab_sched_kind kind, uint64_t wait_ms, uint64_t now_ms)
{
  if (kind != AB_SCHED_MOVE)
    ab_sched_trouble_note (&request->service->trouble, true, now_ms);
  decide (s, request, kind, wait_ms < RETRY_MIN_MS ? RETRY_MIN_MS : wait_ms,
          now_ms);
  free_request (s, request);
}

/* Decides on a request that no free slot takes.  */
static void
wait_or_refuse (struct ab_scheduler *s, struct ab_sched_request *request,
                uint64_t now_ms)
{
  const struct ab_sched_ask *ask = &request->ask;
  struct ab_sched_summary summary;
  double slots = ab_sched_usable_slots (request->service, now_ms);
  double usual = ab_sched_usual_ms (request->service);
  uint64_t wait;

  if (slots <= 0)
    {
      refuse (s, request, AB_SCHED_NONE, (uint64_t)usual, now_ms);
      return;
    }
  ab_sched_summarise (request->service, now_ms, &summary);
  wait = (uint64_t)ab_sched_turn_ms (
      request->service, ask, ab_sched_ahead (request, now_ms), slots, now_ms);
  if ((double)wait + usual + AB_SCHED_REPLY_MARGIN_MS > (double)ask->time_ms
      || request->service->waiting_count > QUEUE_MAX)
    refuse (s, request, AB_SCHED_FULL, wait, now_ms);
  else if (!ask->may_wait
           || (ask->may_move && !ask->idempotent
               && summary.new_free + summary.trial_free > 0)
           || (ask->may_move && ask->objective_ms > 0
               && (double)wait + usual > (double)ask->objective_ms))
    refuse (s, request, AB_SCHED_MOVE, wait, now_ms);
  else
    decide (s, request, AB_SCHED_WAITING, wait, now_ms);
}

static struct ab_sched_request *
add_request (struct ab_scheduler *s, const struct ab_sched_ask *ask,
             uint64_t now_ms)
{
  struct ab_sched_request *request = calloc (1, sizeof *request);

  if (!request)
    return NULL;
  request->service = ab_sched_get_service (s, ask->service, ask->area);
  if (!request->service)
    {
      free (request);
      return NULL;
    }
  request->ask = *ask;
  request->asked_ms = now_ms;
  DL_APPEND (request->service->waiting, request);
  request->service->waiting_count++;
  HASH_ADD (hh, s->requests, ask.id, sizeof request->ask.id, request);
  return request;
}

void
ab_scheduler_ask (struct ab_scheduler *s, const struct ab_sched_ask *ask,
                  uint64_t now_ms)
{
  struct ab_sched_request *request = NULL;
  struct ab_sched_summary summary;
  struct ab_sched_target *target;

  HASH_FIND (hh, s->requests, &ask->id, sizeof ask->id, request);
  if (request)
    {
      decide (s, request,
              request->target ? AB_SCHED_GRANTED : AB_SCHED_WAITING, 0,
              now_ms);
      return;
    }
  request = add_request (s, ask, now_ms);
  if (!request)
    return; /* The asker turns to another host.  */
  ab_sched_count_arrival (request->service, ask, now_ms);
  if (!ask->repeat)
    ab_sched_count_first (request->service, now_ms);
  else if (!ab_sched_take_repeat (s, request->service, ask, now_ms))
    {
      refuse (s, request, AB_SCHED_BUDGET, RETRY_MIN_MS, now_ms);
      return;
    }
  /* A free slot belongs to those that wait for it already.  */
  serve_waiting (s, request->service, now_ms);
  HASH_FIND (hh, s->requests, &ask->id, sizeof ask->id, request);
  if (!request || request->target)
    return;
  if (waits_near (request, now_ms))
    {
      decide (s, request, AB_SCHED_WAITING, NEAR_WAIT_MS, now_ms);
      return;
    }
  ab_sched_summarise (request->service, now_ms, &summary);
  target = ab_sched_choose_target (request->service, &summary, ask, 0, false,
                                   now_ms);
  if (target)
    grant (s, request, target, now_ms);
  else
    wait_or_refuse (s, request, now_ms);
}

static void
release (struct ab_scheduler *s, struct ab_sched_request *request,
         uint64_t now_ms)
{
  struct ab_sched_target *target = request->target;

  target->in_flight--;
  target->trials -= request->trial;
  target->done_ms = now_ms;
  free_request (s, request);
  if (target->known.state == AB_FLEET_TARGET_GONE && target->in_flight == 0)
    ab_sched_forget_target (s, target);
}

static void
note_outcome (struct ab_sched_target *target,
              const struct ab_sched_request *request,
              enum ab_target_event event, uint64_t latency_ms, uint64_t now_ms)
{
  struct ab_sched_service *service = target->service;
  bool counts = !request->trial && event != AB_TARGET_UNUSED
                && (event == AB_TARGET_OK || !request->ask.idempotent
                    || request->ask.repeat);
  uint64_t host = ab_rendezvous_hash (ab_chunk_str (request->ask.host));

  /* Targets that are not trusted are expected to fail, and what may be
     repeated is tried elsewhere.  */
  if (counts)
    ab_sched_trouble_note (&service->trouble, event != AB_TARGET_OK, now_ms);
  /* One host that cannot connect says something of its path, several of the
     target.  */
  if (event == AB_TARGET_UNREACHABLE
      && ab_sched_note_broken_path (target, host, now_ms) < PATH_HOSTS_DOWN)
    return;
  if (event == AB_TARGET_OK)
    service->latency_ms
        = ab_sched_usual_ms (service)
          + LATENCY_WEIGHT
                * ((double)latency_ms - ab_sched_usual_ms (service));
  ab_target_health_note (&target->health, event, latency_ms,
                         ab_sched_usual_ms (service), now_ms);
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
  service = request->service;
  if (request->target)
    {
      note_outcome (request->target, request, event, latency_ms, now_ms);
      release (s, request, now_ms);
    }
  else
    free_request (s, request);
  serve_waiting (s, service, now_ms);
}

/* What the time for which REQUEST has been under way says about its target. */
static void
note_age (struct ab_sched_request *request, uint64_t age_ms, uint64_t now_ms)
{
  double usual = ab_sched_usual_ms (request->service);
  double stuck_ms = usual * STUCK_FACTOR > STUCK_MIN_MS ? usual * STUCK_FACTOR
                                                        : STUCK_MIN_MS;
  struct ab_target_health *health = &request->target->health;

  if (!request->outlasted && ab_target_health_outlasted (age_ms, usual))
    {
      request->outlasted = true;
      ab_target_health_note_working (health, now_ms);
    }
  if (!request->late && (double)age_ms > usual * LATE_FACTOR)
    {
      request->late = true;
      ab_target_health_note_late (health, now_ms);
    }
  if ((double)age_ms > stuck_ms
      && request->target->done_ms <= request->granted_ms)
    ab_target_health_note_stuck (health, now_ms);
}

/* Grants whose outcome never came, and targets at which requests are
   stuck.  */
static void
check_granted (struct ab_scheduler *s, struct ab_sched_service *service,
               uint64_t now_ms)
{
  struct ab_sched_request *request;
  struct ab_sched_request *next;

  DL_FOREACH_SAFE (service->granted, request, next)
  {
    uint64_t age = now_ms - request->granted_ms;
    if (age > request->ask.time_ms + GRANT_SLACK_MS)
      release (s, request, now_ms);
    else
      note_age (request, age, now_ms);
  }
}

/* Refuses those that wait in vain, as soon as that is known.  */
static void
refuse_hopeless (struct ab_scheduler *s, struct ab_sched_service *service,
                 uint64_t now_ms)
{
  double slots = ab_sched_usable_slots (service, now_ms);
  double usual = ab_sched_usual_ms (service);
  size_t count = service->waiting_count;
  struct ab_sched_request **list
      = count > 0 ? ab_sched_list_waiting (service, now_ms) : NULL;
  size_t ahead = 0;

  for (size_t i = 0; list && i < count; i++)
    {
      struct ab_sched_request *request = list[i];
      double wait = ab_sched_turn_ms (service, &request->ask, ahead,
                                      slots > 0 ? slots : 1, now_ms);
      double rest
          = (double)ab_sched_left (request->ask.time_ms, request, now_ms);
      if (ab_sched_too_late (request, now_ms)
          || wait + usual + AB_SCHED_REPLY_MARGIN_MS > rest)
        refuse (s, request, AB_SCHED_FULL, (uint64_t)wait, now_ms);
      else
        ahead++;
    }
  free (list);
}

void
ab_scheduler_tick (struct ab_scheduler *s, uint64_t now_ms)
{
  for (struct ab_sched_service *service = s->services; service;
       service = service->hh.next)
    {
      check_granted (s, service, now_ms);
      serve_waiting (s, service, now_ms);
      refuse_hopeless (s, service, now_ms);
    }
}

json_t *
ab_scheduler_state (const struct ab_scheduler *s, uint64_t now_ms)
{
  json_t *list = json_array ();

  for (const struct ab_sched_target *t = s->targets; t; t = t->hh.next)
    json_array_append_new (
        list,
        json_pack (
            "{s:s, s:s, s:s, s:s, s:I, s:I, s:f, s:f}", "target", t->known.id,
            "service", t->service->key, "address", t->known.address, "trust",
            ab_target_trust_name (ab_target_health_trust (&t->health, now_ms)),
            "in_flight", (json_int_t)t->in_flight, "failures",
            (json_int_t)t->health.failures, "risk",
            ab_target_health_risk (&t->health, now_ms), "latency_ms",
            t->health.latency_ms));
  return list;
}
