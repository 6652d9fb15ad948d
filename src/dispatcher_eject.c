/* Ejection and readmission.  */

#include <math.h>

#include "dispatcher_internal.h"

/* Period of the first ejection of a target.  It doubles with each further
   ejection up to a bound, so that a flapping target does little harm and a
   repaired one returns soon.  */
#define EJECTION_MS 2000
#define EJECTION_LEVEL_MAX 5
/* A target that stayed in service for this long after its readmission starts
   again at the first period.  */
#define EJECTION_LEVEL_RESET_MS 60000
/* Health endpoints can be wrong: after this many failed probes in a row the
   target is tried with a request.  */
#define PROBES_MAX 2
#define PROBE_TIMEOUT_MS 1000
#define PROBATION_REQUESTS 3
/* A request on probation that takes longer than the factor times this quantile
   of the service time counts as failed before it ends.  */
#define PROBATION_QUANTILE 0.99
#define PROBATION_FACTOR 2.0
/* A permit is requested in advance once a target reaches this suspicion, as a
   reply of the control group takes 20 ms or more.  A spare permit is given
   back when no target was suspect for PERMIT_IDLE_MS: six idle dispatchers
   would otherwise hold most permits of a small service.  */
#define PREFETCH_SUSPICION 0.5
#define PERMIT_IDLE_MS 1000
#define PERMIT_RETRY_MS 500
#define REFUSED_EVENT_MS 1000

void
ab_dispatcher_report_event (struct ab_dispatcher *dispatcher,
                            const struct ab_target_entry *target,
                            enum ab_dispatch_event_kind kind,
                            const struct ab_evidence *evidence,
                            uint64_t now_ms)
{
  bool out = target->state == AB_DISPATCH_STATE_EJECTED;

  dispatcher->env->ops->event (
      dispatcher->env,
      &(struct ab_dispatch_event){ .kind = kind,
                                   .target = target->address,
                                   .evidence = *evidence,
                                   .ejection_left_ms
                                   = out && target->ejected_until_ms > now_ms
                                         ? target->ejected_until_ms - now_ms
                                         : 0 });
}

/* Returns the number of targets out of service, each of which uses one
   permit.  */
static size_t
count_out_of_service (const struct ab_dispatcher *dispatcher)
{
  size_t out = 0;

  for (size_t i = 0; i < dispatcher->target_count; i++)
    out += dispatcher->targets[i]->state == AB_DISPATCH_STATE_EJECTED
           || dispatcher->targets[i]->state == AB_DISPATCH_STATE_PROBATION;
  return out;
}

static void
release_permit (struct ab_dispatcher *dispatcher)
{
  if (dispatcher->permits == 0)
    return;
  dispatcher->permits--;
  dispatcher->env->ops->release_permit (dispatcher->env);
}

void
ab_dispatcher_cancel_ejection (struct ab_dispatcher *dispatcher,
                               struct ab_target_entry *target)
{
  if (target->state != AB_DISPATCH_STATE_EJECTED
      && target->state != AB_DISPATCH_STATE_PROBATION)
    return;
  target->state = AB_DISPATCH_STATE_ACTIVE;
  target->probing = false;
  release_permit (dispatcher);
}

/* Returns whether the service keeps its floor without TARGET.  */
static bool
floor_allows (const struct ab_dispatcher *dispatcher,
              const struct ab_target_entry *target)
{
  struct ab_dispatcher_totals totals;
  uint64_t announced;
  uint64_t out;

  ab_dispatcher_totals (dispatcher, &totals);
  announced = totals.announced_slots + dispatcher->remote_announced_slots;
  out = totals.out_slots + dispatcher->remote_out_slots + target->slots;
  return out < announced
         && (double)(announced - out)
                >= dispatcher->options.floor * (double)announced;
}

static void
request_permit (struct ab_dispatcher *dispatcher, uint64_t now_ms)
{
  if (dispatcher->permit_pending || now_ms < dispatcher->permit_retry_ms)
    return;
  dispatcher->permit_pending = true;
  dispatcher->env->ops->acquire_permit (dispatcher->env);
}

static void
report_refusal (struct ab_dispatcher *dispatcher,
                struct ab_target_entry *target,
                enum ab_dispatch_event_kind kind,
                const struct ab_evidence *evidence, uint64_t now_ms)
{
  if (target->refused_event_ms
      && now_ms < target->refused_event_ms + REFUSED_EVENT_MS)
    return;
  target->refused_event_ms = now_ms;
  ab_dispatcher_report_event (dispatcher, target, kind, evidence, now_ms);
}

static void
set_ejected (struct ab_target_entry *target, uint64_t now_ms)
{
  target->state = AB_DISPATCH_STATE_EJECTED;
  target->ejected_until_ms
      = now_ms + ((uint64_t)EJECTION_MS << target->ejection_level);
  if (target->ejection_level < EJECTION_LEVEL_MAX)
    target->ejection_level++;
  target->probes_failed = 0;
  target->probation_good = 0;
}

static void
eject (struct ab_dispatcher *dispatcher, struct ab_target_entry *target,
       const struct ab_evidence *evidence, uint64_t now_ms)
{
  if (target->readmitted_ms
      && now_ms > target->readmitted_ms + EJECTION_LEVEL_RESET_MS)
    target->ejection_level = 0;
  target->ejected_ms = now_ms;
  target->last_evidence = *evidence;
  dispatcher->ejections++;
  set_ejected (target, now_ms);
  ab_dispatcher_report_event (dispatcher, target, AB_DISPATCH_EJECTED,
                              evidence, now_ms);
}

static void
try_eject (struct ab_dispatcher *dispatcher, struct ab_target_entry *target,
           const struct ab_evidence *evidence, uint64_t now_ms)
{
  if (!floor_allows (dispatcher, target))
    {
      report_refusal (dispatcher, target, AB_DISPATCH_REFUSED_BY_FLOOR,
                      evidence, now_ms);
      return;
    }
  if (dispatcher->permits > count_out_of_service (dispatcher))
    {
      eject (dispatcher, target, evidence, now_ms);
      return;
    }
  if (now_ms < dispatcher->permit_retry_ms)
    report_refusal (dispatcher, target, AB_DISPATCH_REFUSED_BY_PERMIT,
                    evidence, now_ms);
  request_permit (dispatcher, now_ms);
}

void
ab_dispatcher_assess (struct ab_dispatcher *dispatcher, uint64_t now_ms)
{
  struct ab_target_entry *worst = NULL;
  struct ab_evidence worst_evidence = { .score = 0 };
  double suspicion = 0;

  dispatcher->impaired = ab_detector_impaired (dispatcher->detector, now_ms);
  for (size_t i = 0; i < dispatcher->target_count; i++)
    {
      struct ab_target_entry *target = dispatcher->targets[i];
      struct ab_evidence evidence;

      if (target->state != AB_DISPATCH_STATE_ACTIVE)
        continue;
      ab_detector_assess (dispatcher->detector, target->detector_id, now_ms,
                          &evidence);
      if (evidence.cause == AB_CAUSE_PATH)
        ab_dispatcher_report_event (
            dispatcher, target, AB_DISPATCH_PATH_AVOIDED, &evidence, now_ms);
      suspicion = fmax (suspicion, evidence.score / evidence.threshold);
      if (evidence.health == AB_HEALTH_UNHEALTHY
          && (!worst || evidence.score > worst_evidence.score))
        {
          worst = target;
          worst_evidence = evidence;
        }
    }
  if (worst)
    try_eject (dispatcher, worst, &worst_evidence, now_ms);
  if (suspicion < PREFETCH_SUSPICION)
    return;
  dispatcher->last_suspect_ms = now_ms;
  if (dispatcher->permits == count_out_of_service (dispatcher))
    request_permit (dispatcher, now_ms);
}

static void
readmit (struct ab_dispatcher *dispatcher, struct ab_target_entry *target,
         enum ab_dispatch_event_kind kind, uint64_t now_ms)
{
  uint64_t ramp_ms = dispatcher->options.slow_start_ms;

  target->state = AB_DISPATCH_STATE_ACTIVE;
  target->readmitted_ms = now_ms;
  target->probing = false;
  target->penalty = 0;
  target->slow_start_begin_ms = now_ms;
  target->slow_start_end_ms = now_ms + ramp_ms;
  ab_detector_reset (dispatcher->detector, target->detector_id, true, 0,
                     now_ms);
  release_permit (dispatcher);
  ab_dispatcher_report_event (dispatcher, target, kind, &target->last_evidence,
                              now_ms);
}

void
ab_dispatcher_assess_probation (struct ab_dispatcher *dispatcher,
                                struct ab_target_entry *target, bool good,
                                uint64_t now_ms)
{
  if (target->state != AB_DISPATCH_STATE_PROBATION)
    return;
  if (!good)
    {
      set_ejected (target, now_ms);
      ab_dispatcher_report_event (dispatcher, target,
                                  AB_DISPATCH_EJECTED_AGAIN,
                                  &target->last_evidence, now_ms);
      return;
    }
  if (++target->probation_good >= PROBATION_REQUESTS)
    readmit (dispatcher, target, AB_DISPATCH_READMITTED, now_ms);
}

static void
start_probation (struct ab_dispatcher *dispatcher,
                 struct ab_target_entry *target, uint64_t now_ms)
{
  target->state = AB_DISPATCH_STATE_PROBATION;
  target->probing = false;
  target->probation_good = 0;
  ab_detector_reset (dispatcher->detector, target->detector_id, true, 0,
                     now_ms);
  ab_dispatcher_report_event (dispatcher, target, AB_DISPATCH_PROBATION,
                              &target->last_evidence, now_ms);
}

void
ab_dispatcher_probed (struct ab_dispatcher *dispatcher, const char *address,
                      bool healthy, uint64_t now_ms)
{
  for (size_t i = 0; i < dispatcher->target_count; i++)
    {
      struct ab_target_entry *target = dispatcher->targets[i];

      if (strcmp (target->address, address) != 0 || !target->probing)
        continue;
      target->probing = false;
      if (healthy || ++target->probes_failed >= PROBES_MAX)
        start_probation (dispatcher, target, now_ms);
      else
        target->ejected_until_ms
            = now_ms + ((uint64_t)EJECTION_MS << (target->ejection_level / 2));
      return;
    }
}

/* Ejects TARGET again if its request on probation takes too long.  */
static void
check_probation (struct ab_dispatcher *dispatcher,
                 struct ab_target_entry *target, uint64_t now_ms)
{
  for (size_t i = 0; i < dispatcher->grant_size; i++)
    {
      struct ab_grant_entry *grant = &dispatcher->grants[i];
      double quantile_ms;

      if (!grant->used || grant->target != target || !grant->probation)
        continue;
      quantile_ms = ab_detector_service_time_ms (
          dispatcher->detector, grant->class_id, PROBATION_QUANTILE);
      if (quantile_ms <= 0
          || (double)(now_ms - grant->start_ms)
                 <= PROBATION_FACTOR * quantile_ms)
        continue;
      grant->probation = false;
      ab_dispatcher_assess_probation (dispatcher, target, false, now_ms);
    }
}

static void
check_ejected (struct ab_dispatcher *dispatcher,
               struct ab_target_entry *target, uint64_t now_ms)
{
  if (target->probing && now_ms >= target->probe_sent_ms + PROBE_TIMEOUT_MS)
    {
      ab_dispatcher_probed (dispatcher, target->address, false, now_ms);
      return;
    }
  if (target->probing || now_ms < target->ejected_until_ms
      || !ab_rate_bucket_has_token (&target->rate, 1, now_ms))
    return;
  ab_rate_bucket_take (&target->rate, now_ms);
  target->probing = true;
  target->probe_sent_ms = now_ms;
  dispatcher->env->ops->probe (dispatcher->env, target->address);
}

void
ab_dispatcher_check_ejected (struct ab_dispatcher *dispatcher, uint64_t now_ms)
{
  for (size_t i = 0; i < dispatcher->target_count; i++)
    {
      struct ab_target_entry *target = dispatcher->targets[i];

      if (target->state == AB_DISPATCH_STATE_EJECTED)
        check_ejected (dispatcher, target, now_ms);
      else if (target->state == AB_DISPATCH_STATE_PROBATION)
        check_probation (dispatcher, target, now_ms);
    }
  if (dispatcher->permits > count_out_of_service (dispatcher)
      && now_ms > dispatcher->last_suspect_ms + PERMIT_IDLE_MS)
    release_permit (dispatcher);
}

void
ab_dispatcher_permit_reply (struct ab_dispatcher *dispatcher, bool granted,
                            uint64_t now_ms)
{
  dispatcher->permit_pending = false;
  if (granted)
    dispatcher->permits++;
  else
    dispatcher->permit_retry_ms = now_ms + PERMIT_RETRY_MS;
  ab_dispatcher_assess (dispatcher, now_ms);
}

void
ab_dispatcher_permit_revoked (struct ab_dispatcher *dispatcher,
                              uint64_t now_ms)
{
  struct ab_target_entry *best = NULL;

  if (dispatcher->permits == 0)
    return;
  if (dispatcher->permits > count_out_of_service (dispatcher))
    {
      release_permit (dispatcher);
      return;
    }
  /* Readmit the target that was ejected first, as it has had the most
     time to recover.  */
  for (size_t i = 0; i < dispatcher->target_count; i++)
    {
      struct ab_target_entry *target = dispatcher->targets[i];

      if ((target->state == AB_DISPATCH_STATE_EJECTED
           || target->state == AB_DISPATCH_STATE_PROBATION)
          && (!best || target->ejected_ms < best->ejected_ms))
        best = target;
    }
  if (best)
    readmit (dispatcher, best, AB_DISPATCH_PERMIT_REVOKED, now_ms);
  dispatcher->permit_retry_ms = now_ms + PERMIT_RETRY_MS;
}
