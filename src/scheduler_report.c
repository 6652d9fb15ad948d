#include <utlist.h>

#include "scheduler_internal.h"

/* Interval of the reports of refusals.  */
#define REPORT_MS 1000

static void
count_slots (struct ab_sched_census *census,
             const struct ab_sched_target *target, uint64_t now_ms)
{
  const struct ab_target_health *health = &target->health;
  enum ab_target_health_state state = ab_target_health_state (health, now_ms);
  uint64_t slots = target->fleet_target.slots;
  uint64_t usable = ab_sched_target_slots (target, now_ms);
  uint64_t taken = target->in_flight < slots ? target->in_flight : slots;
  uint64_t left = slots - taken;
  uint64_t room = usable > taken ? usable - taken : 0;

  census->slots += slots;
  census->taken += taken;
  if (state == AB_TARGET_EJECTED)
    census->closed[health->ejected_by] += left;
  else if (now_ms < health->busy_until_ms)
    census->busy += left;
  else
    {
      census->free[state] += room;
      census->withheld += left - room;
    }
}

struct ab_sched_census
ab_sched_take_census (const struct ab_sched_service *service, uint64_t now_ms)
{
  struct ab_sched_census census = { 0 };
  const struct ab_sched_target *target;

  DL_FOREACH (service->targets, target)
  if (ab_sched_target_accepts (target))
    count_slots (&census, target, now_ms);
  return census;
}

void
ab_sched_report_refusals (const struct ab_scheduler *s,
                          struct ab_sched_service *service, uint64_t now_ms)
{
  const char *shard = strchr (service->key, '\n');
  struct ab_sched_refusals refusals;
  char name[AB_NAME_BYTES];

  if (!s->ops->refused || !shard
      || now_ms - service->last_report_ms < REPORT_MS)
    return;
  service->last_report_ms = now_ms;
  ab_chunk_copy_bounded (
      ab_chunk (service->key, (size_t)(shard - service->key)), name,
      sizeof name);
  while (ab_sched_shares_take_refusals (&service->shares, &refusals, now_ms))
    {
      refusals.waiting = service->waiting_count;
      refusals.census = ab_sched_take_census (service, now_ms);
      s->ops->refused (s->ctx, name, shard + 1, &refusals);
    }
}

json_t *
ab_scheduler_shares (const struct ab_scheduler *s)
{
  json_t *list = json_array ();

  for (const struct ab_sched_service *service = s->services; service;
       service = service->hh.next)
    json_array_append_new (
        list,
        json_pack ("{s:s, s:I, s:f, s:f, s:f, s:I, s:o}", "service",
                   service->key, "waiting", (json_int_t)service->waiting_count,
                   "requested", service->shares.requested, "granted",
                   service->shares.granted, "reserved",
                   service->shares.reserved, "teams",
                   (json_int_t)HASH_COUNT (service->shares.teams), "ranks",
                   ab_sched_shares_state (&service->shares)));
  return list;
}

json_t *
ab_scheduler_state (const struct ab_scheduler *s, uint64_t now_ms)
{
  json_t *list = json_array ();

  for (const struct ab_sched_target *t = s->targets; t; t = t->hh.next)
    json_array_append_new (
        list, json_pack ("{s:s, s:s, s:s, s:s, s:I, s:I, s:f, s:f}", "target",
                         t->fleet_target.id, "service", t->service->key,
                         "address", t->fleet_target.address, "trust",
                         ab_target_health_state_name (
                             ab_target_health_state (&t->health, now_ms)),
                         "in_flight", (json_int_t)t->in_flight, "failures",
                         (json_int_t)t->health.failures, "risk",
                         ab_target_health_risk (&t->health, now_ms),
                         "latency_ms", t->health.latency_ms));
  return list;
}
