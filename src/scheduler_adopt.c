#include <stdlib.h>
#include <utlist.h>

#include "scheduler_internal.h"

bool
ab_scheduler_adopt (struct ab_scheduler *s, const char *host,
                    const struct ab_sched_attempt *attempt, uint64_t now_ms)
{
  struct ab_sched_request *request = NULL;
  struct ab_sched_target *target = NULL;
  uint64_t age_ms = attempt->age_ms < now_ms ? attempt->age_ms : now_ms;

  HASH_FIND (hh, s->requests, &attempt->id, sizeof attempt->id, request);
  HASH_FIND_STR (s->targets, attempt->target, target);
  if (request || !target || age_ms >= attempt->timeout_ms)
    return false;
  request = calloc (1, sizeof *request);
  if (!request)
    return false;
  request->slot_request.id = attempt->id;
  ab_chunk_copy_bounded (ab_chunk_str (host), request->slot_request.host,
                         sizeof request->slot_request.host);
  request->slot_request.idempotent = attempt->idempotent;
  request->slot_request.is_retry = attempt->is_retry;
  request->slot_request.timeout_ms = attempt->timeout_ms;
  request->service = target->service;
  request->target = target;
  request->arrived_ms = request->granted_ms = now_ms - age_ms;
  request->is_adopted = true;
  request->is_trial
      = ab_target_health_state (&target->health, now_ms) != AB_TARGET_HEALTHY;
  target->in_flight++;
  target->adopted++;
  target->trial_requests += request->is_trial;
  target->used = true;
  if (target->last_granted_ms < request->granted_ms)
    target->last_granted_ms = request->granted_ms;
  DL_APPEND (target->service->granted, request);
  HASH_ADD (hh, s->requests, slot_request.id, sizeof request->slot_request.id,
            request);
  return true;
}

struct ab_sched_overbooked
ab_scheduler_overbooked (const struct ab_scheduler *s)
{
  struct ab_sched_overbooked result = { 0 };

  for (const struct ab_sched_target *t = s->targets; t; t = t->hh.next)
    if (t->in_flight > t->fleet_target.slots)
      {
        result.targets++;
        result.requests += t->in_flight - t->fleet_target.slots;
      }
  return result;
}
