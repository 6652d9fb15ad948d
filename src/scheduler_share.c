#include <utlist.h>

#include "scheduler_internal.h"

/* Targets that cost at most this much more than the cheapest one are nearly as
   good.  A request that is lost costs 1.  */
#define NEAR_COST 0.02
/* Several hosts that place requests at the same time rarely have the same
   load: one may use this many times its part of the slots of each target and
   of the service.  So a host that shares with one other loses no slots while
   that one is idle.  */
#define SHARE_FACTOR 2

void
ab_sched_set_share (struct ab_sched_service *service,
                    const struct ab_sched_slot_request *slot_request)
{
  service->placers = slot_request->placers;
  service->position = slot_request->position;
}

uint64_t
ab_sched_shared_slots (const struct ab_sched_target *target, uint64_t slots)
{
  uint64_t limit;

  if (target->service->placers <= 1 || slots == 0)
    return slots;
  limit = slots * SHARE_FACTOR / target->service->placers;
  limit = (limit > 0 ? limit : 1) + target->adopted;
  return limit < slots ? limit : slots;
}

uint64_t
ab_sched_share_of_service (const struct ab_sched_service *service)
{
  const struct ab_sched_target *target;
  uint64_t slots = 0;

  if (service->placers <= 1)
    return UINT64_MAX;
  DL_FOREACH (service->targets, target)
  if (ab_sched_target_accepts (target))
    slots += target->fleet_target.slots;
  slots = slots * SHARE_FACTOR / service->placers;
  return slots > 0 ? slots : 1;
}

bool
ab_sched_share_used_up (const struct ab_sched_service *service)
{
  const struct ab_sched_target *target;
  uint64_t in_flight = 0;

  if (service->placers <= 1)
    return false;
  DL_FOREACH (service->targets, target)
  in_flight += target->in_flight - target->adopted;
  return in_flight >= ab_sched_share_of_service (service);
}

/* Returns the number of targets of SERVICE and stores how many of them come
   before TARGET in an order that is the same on all hosts.  */
static size_t
count_before (const struct ab_sched_service *service,
              const struct ab_sched_target *target, size_t *before)
{
  const struct ab_sched_target *other;
  size_t count = 0;

  *before = 0;
  DL_FOREACH (service->targets, other)
  {
    count++;
    *before += other->id_hash < target->id_hash;
  }
  return count;
}

/* Returns the distance from this host's position to TARGET, in targets.  */
static double
distance (const struct ab_sched_service *service,
          const struct ab_sched_target *target)
{
  size_t before;
  size_t count = count_before (service, target, &before);
  double result
      = (double)before - (double)(size_t)(service->position * (double)count);

  return result < 0 ? result + (double)count : result;
}

struct ab_sched_target *
ab_sched_spread (const struct ab_sched_service *service, double best_cost)
{
  struct ab_sched_target *best = NULL;
  struct ab_sched_target *target;
  double best_distance = 0;

  DL_FOREACH (service->targets, target)
  {
    double d;
    if (target->cost > best_cost + NEAR_COST
        || (best && target->in_flight > best->in_flight))
      continue;
    d = distance (service, target);
    if (best && target->in_flight == best->in_flight && d >= best_distance)
      continue;
    best = target;
    best_distance = d;
  }
  return best;
}

uint64_t
ab_sched_free_slots (const struct ab_sched_service *service, uint64_t now_ms)
{
  const struct ab_sched_target *target;
  double slots = 0;

  DL_FOREACH (service->targets, target)
  {
    uint64_t usable = ab_sched_target_slots (target, now_ms);
    if (ab_sched_target_accepts (target) && target->in_flight < usable
        && now_ms >= target->health.busy_until_ms
        && ab_target_health_state (&target->health, now_ms)
               != AB_TARGET_EJECTED
        && ab_rate_bucket_has_token (&target->rate, 1, now_ms))
      slots += (double)(usable - target->in_flight)
               * (1 - ab_target_health_risk (&target->health, now_ms));
  }
  slots -= (double)service->waiting_count;
  return slots > 0 ? (uint64_t)slots : 0;
}
