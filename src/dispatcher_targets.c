/* Slots and slow start of targets, and the choice of a target.  */

#include <math.h>

#include "dispatcher_internal.h"
#include "rate_limit.h"

/* Half-life of penalties.  */
#define PENALTY_HALF_MS 500.0
#define PENALTY_MAX 3.0
/* Weight of suspicion (0 to 1) relative to load (0 to 1): a fully suspect
   target is used only after all others are full.  */
#define SUSPICION_WEIGHT 3.0
/* A suspect target that would get no requests otherwise is sent one in this
   many of its usual requests, at intervals within the bounds below, so that
   the suspicion is confirmed or cleared instead of lasting.  These 4% keep the
   guarantee that 95% of the work goes to other targets.  */
#define EXPLORE_ONE_IN 25
#define EXPLORE_MIN_MS 200
#define EXPLORE_MAX_MS 5000
#define EXPLORE_IN_FLIGHT 2
/* Targets with at least this suspicion are avoided while others, busy or free,
   can serve soon: waiting for one service time costs less than a response that
   is several times slower.  */
#define AVOID_SUSPICION 0.25
/* A request on probation must have at least this many times the median service
   time until its deadline, so that it can be retried on another target.  */
#define PROBATION_SLACK 4.0
/* Time between requests on probation.  It is four times longer for each
   further ejection, so that probation detects a target that flaps every few
   seconds.  */
#define PROBATION_GAP_MS 50

uint64_t
ab_target_entry_allowed_slots (const struct ab_target_entry *target,
                               uint64_t now_ms)
{
  double fraction;
  double allowed;

  if (now_ms >= target->slow_start_end_ms)
    return target->slots;
  fraction
      = (double)(now_ms - target->slow_start_begin_ms)
        / (double)(target->slow_start_end_ms - target->slow_start_begin_ms);
  allowed = ceil (fraction * (double)target->slots);
  return allowed < 1 ? 1 : (uint64_t)allowed;
}

double
ab_target_entry_filled_slots (const struct ab_target_entry *target,
                              double hold_ms, uint64_t now_ms)
{
  double allowed = (double)ab_target_entry_allowed_slots (target, now_ms);
  double filled = (double)target->rate.per_1000_s / 1e6 * hold_ms;

  if (target->rate.per_1000_s == AB_RATE_LIMIT_NONE)
    return allowed;
  return fmin (filled, allowed);
}

static double
current_penalty (const struct ab_target_entry *target, uint64_t now_ms)
{
  return target->penalty
         * exp2 (-(double)(now_ms - target->penalty_ms) / PENALTY_HALF_MS);
}

void
ab_target_entry_penalise (struct ab_target_entry *target, double penalty,
                          uint64_t now_ms)
{
  target->penalty
      = fmin (PENALTY_MAX, current_penalty (target, now_ms) + penalty);
  target->penalty_ms = now_ms;
}

static bool
is_excluded (const struct ab_queue_entry *request,
             const struct ab_target_entry *target)
{
  for (size_t i = 0; i < request->excluded_count; i++)
    if (strcmp (request->excluded[i], target->address) == 0)
      return true;
  return false;
}

static bool
may_serve (const struct ab_dispatcher *dispatcher,
           const struct ab_target_entry *target,
           const struct ab_queue_entry *request, uint64_t now_ms)
{
  return target->state == AB_DISPATCH_STATE_ACTIVE
         && !is_excluded (request, target)
         && !ab_detector_path_bad (dispatcher->detector, target->detector_id,
                                   request->path, now_ms);
}

bool
ab_dispatcher_has_eligible_target (const struct ab_dispatcher *dispatcher,
                                   const struct ab_queue_entry *request,
                                   uint64_t now_ms)
{
  for (size_t i = 0; i < dispatcher->target_count; i++)
    if (may_serve (dispatcher, dispatcher->targets[i], request, now_ms))
      return true;
  return false;
}

static bool
is_probation_due (const struct ab_dispatcher *dispatcher,
                  const struct ab_target_entry *target,
                  const struct ab_queue_entry *request, uint64_t now_ms)
{
  double service = ab_detector_service_time_ms (dispatcher->detector,
                                                request->class_id, 0.5);
  unsigned level = target->ejection_level < 4 ? target->ejection_level : 4;
  uint64_t gap_ms = (uint64_t)PROBATION_GAP_MS << (2 * level);

  return target->state == AB_DISPATCH_STATE_PROBATION && target->in_use == 0
         && now_ms >= target->last_start_ms + gap_ms
         && ab_rate_bucket_has_token (&target->rate, request->rate_divisor,
                                      now_ms)
         && request->excluded_count == 0
         && (double)now_ms + PROBATION_SLACK * service
                <= (double)request->deadline_ms;
}

static bool
is_exploration_due (const struct ab_dispatcher *dispatcher,
                    const struct ab_target_entry *target, double suspicion,
                    uint64_t now_ms)
{
  double gap_ms = EXPLORE_ONE_IN * dispatcher->grant_gap_ms
                  * (double)dispatcher->target_count;

  gap_ms = fmin (EXPLORE_MAX_MS, fmax (EXPLORE_MIN_MS, gap_ms));
  return suspicion >= AVOID_SUSPICION && target->in_use < EXPLORE_IN_FLIGHT
         && now_ms >= target->last_start_ms + (uint64_t)gap_ms;
}

/* Returns the cost of choosing TARGET; lower is better.  */
static double
cost_of (const struct ab_target_entry *target, double suspicion,
         uint64_t now_ms)
{
  double load = (double)target->in_use
                / (double)ab_target_entry_allowed_slots (target, now_ms);

  return load + SUSPICION_WEIGHT * suspicion
         + current_penalty (target, now_ms);
}

struct choice
{
  struct ab_target_entry *target;
  double cost;
  uint64_t ties;
};

static void
update_choice (struct choice *choice, struct ab_target_entry *target,
               double cost, struct ab_rng *rng)
{
  if (!choice->target || cost < choice->cost)
    *choice = (struct choice){ .target = target, .cost = cost, .ties = 1 };
  else if (cost <= choice->cost && ab_rng_below (rng, ++choice->ties) == 0)
    choice->target = target;
}

struct ab_target_entry *
ab_dispatcher_choose (struct ab_dispatcher *dispatcher,
                      const struct ab_queue_entry *request, uint64_t now_ms)
{
  struct choice preferred = { .target = NULL };
  struct choice avoided = { .target = NULL };
  uint64_t preferred_slots = 0;

  for (size_t i = 0; i < dispatcher->target_count; i++)
    {
      struct ab_target_entry *target = dispatcher->targets[i];
      uint64_t allowed = ab_target_entry_allowed_slots (target, now_ms);
      double suspicion;

      if (is_probation_due (dispatcher, target, request, now_ms))
        return target;
      if (!may_serve (dispatcher, target, request, now_ms))
        continue;
      suspicion = ab_detector_suspicion (dispatcher->detector,
                                         target->detector_id, now_ms);
      if (suspicion < AVOID_SUSPICION)
        preferred_slots += (uint64_t)ab_target_entry_filled_slots (
            target, dispatcher->mean_hold_ms, now_ms);
      if (target->in_use >= allowed
          || !ab_rate_bucket_has_token (&target->rate, request->rate_divisor,
                                        now_ms))
        continue;
      if (is_exploration_due (dispatcher, target, suspicion, now_ms))
        return target;
      update_choice (suspicion < AVOID_SUSPICION ? &preferred : &avoided,
                     target, cost_of (target, suspicion, now_ms),
                     dispatcher->rng);
    }
  if (preferred.target || dispatcher->queued <= preferred_slots)
    return preferred.target || preferred_slots ? preferred.target
                                               : avoided.target;
  return avoided.target;
}
