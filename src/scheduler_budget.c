#include <stdlib.h>

#include "scheduler_internal.h"

/* Share of the budget that this scheduler uses; the rest is left for requests
   that other schedulers place.  */
#define OWN_BUDGET_SHARE 0.75
/* Part of the additional retries of a host that has just become the regular
   scheduler.  */
#define NEW_ROLE_SHARE 0.1
/* Interval of the checks of a host's role.  */
#define ROLE_CHECK_MS 1000
/* Part of that share that each priority class may use: when attempts fail or
   are rejected everywhere, urgent requests are retried first.  */
static const double budget_by_priority[] = { 1, 0.85, 0.6, 0.6 };

static struct ab_sched_bucket *
bucket_at (struct ab_sched_service *service, uint64_t now_ms)
{
  uint64_t second = now_ms / 1000;
  struct ab_sched_bucket *bucket
      = &service->buckets[second % AB_SCHED_BUCKETS];

  if (bucket->second != second)
    *bucket = (struct ab_sched_bucket){ .second = second };
  return bucket;
}

size_t
ab_sched_priority_class (const struct ab_sched_slot_request *slot_request)
{
  return slot_request->priority < AB_SCHED_PRIORITY_CLASSES
             ? (size_t)slot_request->priority
             : AB_SCHED_PRIORITY_CLASSES - 1;
}

void
ab_sched_count_first_attempt (struct ab_sched_service *service,
                              uint64_t now_ms)
{
  bucket_at (service, now_ms)->first_attempts++;
}

void
ab_sched_check_role (const struct ab_scheduler *s,
                     struct ab_sched_service *service, uint64_t now_ms)
{
  struct ab_sched_role *role = &service->role;
  uint64_t gap_ms = now_ms - role->checked_ms;
  const char *shard = strchr (service->key, '\n');
  bool was_regular = role->since_ms > 0;
  char name[AB_NAME_BYTES];

  if (!s->ops->is_primary || !shard
      || (role->checked_ms > 0 && gap_ms < ROLE_CHECK_MS))
    return;
  ab_chunk_copy (ab_chunk (service->key, (size_t)(shard - service->key)), name,
                 sizeof name);
  role->checked_ms = now_ms;
  if (!s->ops->is_primary (s->ctx, name, shard + 1))
    role->since_ms = 0;
  else if (role->since_ms == 0 || gap_ms > s->config.retry_window_ms)
    role->since_ms = now_ms;
  if (s->ops->role_changed && (role->since_ms > 0) != was_regular)
    s->ops->role_changed (s->ctx, name, shard + 1, role->since_ms > 0);
}

/* Returns the part of the additional retries that the role of this host allows
   it.  A host that becomes the regular scheduler does not know how many its
   predecessor granted, which may be itself before a restart, and waits until
   these have left the window.  Stand-ins get none: when schedulers are lost or
   slow, every host may be one at the same time.  */
static double
role_share (const struct ab_scheduler *s,
            const struct ab_sched_service *service, uint64_t now_ms)
{
  uint64_t settled_ms = s->config.retry_window_ms + s->config.role_overlap_ms;

  if (!s->ops->is_primary)
    return 1;
  if (service->role.since_ms == 0)
    return 0;
  return now_ms - service->role.since_ms >= settled_ms ? 1 : NEW_ROLE_SHARE;
}

/* Returns this scheduler's part of the additional retries.  */
static double
own_additional_retries (const struct ab_scheduler *s,
                        const struct ab_sched_service *service,
                        const struct ab_sched_slot_request *slot_request,
                        uint64_t now_ms)
{
  size_t schedulers
      = s->ops->count_schedulers
            ? s->ops->count_schedulers (s->ctx, slot_request->service)
            : 1;

  if (slot_request->last_resort)
    return 0;
  return role_share (s, service, now_ms) * s->config.retry_extra
         / (double)(schedulers > 0 ? schedulers : 1);
}

/* Returns the retries that were granted in the window before NOW_MS, or are
   set aside.  The second in which the window begins counts whole.  */
static double
count_retries (const struct ab_sched_service *service, uint64_t seconds,
               uint64_t now)
{
  double retries = (double)service->reserved_retries;

  for (size_t i = 0; i < AB_SCHED_BUCKETS; i++)
    if (service->buckets[i].second + seconds >= now
        && service->buckets[i].second <= now)
      retries += (double)service->buckets[i].retries;
  return retries;
}

static double
count_first_attempts (const struct ab_sched_service *service, uint64_t seconds,
                      uint64_t now)
{
  double first_attempts = 0;

  for (size_t i = 0; i < AB_SCHED_BUCKETS; i++)
    if (service->buckets[i].second + seconds > now
        && service->buckets[i].second <= now)
      first_attempts += (double)service->buckets[i].first_attempts;
  return first_attempts;
}

bool
ab_sched_reserve_retry (const struct ab_scheduler *s,
                        struct ab_sched_request *request, uint64_t now_ms)
{
  struct ab_sched_service *service = request->service;
  const struct ab_sched_slot_request *slot_request = &request->slot_request;
  uint64_t seconds = s->config.retry_window_ms / 1000;
  uint64_t now = now_ms / 1000;

  if (count_retries (service, seconds, now) + 1
      > OWN_BUDGET_SHARE
            * budget_by_priority[ab_sched_priority_class (slot_request)]
            * (s->config.retry_fraction
                   * count_first_attempts (service, seconds, now)
               + own_additional_retries (s, service, slot_request, now_ms)))
    return false;
  request->reserves_retry = true;
  service->reserved_retries++;
  return true;
}

void
ab_sched_return_retry (struct ab_sched_request *request)
{
  if (request->reserves_retry)
    request->service->reserved_retries--;
  request->reserves_retry = false;
}

void
ab_sched_spend_retry (struct ab_sched_request *request, uint64_t now_ms)
{
  if (request->reserves_retry)
    bucket_at (request->service, now_ms)->retries++;
  ab_sched_return_retry (request);
}

json_t *
ab_scheduler_budgets (const struct ab_scheduler *s, uint64_t now_ms)
{
  uint64_t seconds = s->config.retry_window_ms / 1000;
  uint64_t now = now_ms / 1000;
  json_t *list = json_array ();

  for (const struct ab_sched_service *service = s->services; service;
       service = service->hh.next)
    json_array_append_new (
        list, json_pack ("{s:s, s:b, s:f, s:f, s:f}", "service", service->key,
                         "regular", service->role.since_ms > 0, "share",
                         role_share (s, service, now_ms), "first_attempts",
                         count_first_attempts (service, seconds, now),
                         "retries", count_retries (service, seconds, now)));
  return list;
}
