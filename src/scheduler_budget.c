#include "scheduler_internal.h"

/* Share of the budget that this scheduler uses; the rest is left for requests
   that other schedulers place.  */
#define OWN_BUDGET_SHARE 0.75
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

/* Returns this scheduler's part of the additional retries.  A host that
   decides as a last resort gets none: when schedulers are lost, every host may
   be one.  */
static double
own_additional_retries (const struct ab_scheduler *s,
                        const struct ab_sched_slot_request *slot_request)
{
  size_t schedulers
      = s->ops->count_schedulers
            ? s->ops->count_schedulers (s->ctx, slot_request->service)
            : 1;

  if (slot_request->last_resort)
    return 0;
  return s->config.retry_extra / (double)(schedulers > 0 ? schedulers : 1);
}

bool
ab_sched_take_retry (const struct ab_scheduler *s,
                     struct ab_sched_service *service,
                     const struct ab_sched_slot_request *slot_request,
                     uint64_t now_ms)
{
  uint64_t seconds = s->config.retry_window_ms / 1000;
  uint64_t now = now_ms / 1000;
  double first_attempts = 0;
  double retries = 0;

  for (size_t i = 0; i < AB_SCHED_BUCKETS; i++)
    if (service->buckets[i].second + seconds > now
        && service->buckets[i].second <= now)
      {
        first_attempts += (double)service->buckets[i].first_attempts;
        retries += (double)service->buckets[i].retries;
      }
  if (retries + 1
      > OWN_BUDGET_SHARE
            * budget_by_priority[ab_sched_priority_class (slot_request)]
            * (s->config.retry_fraction * first_attempts
               + own_additional_retries (s, slot_request)))
    return false;
  bucket_at (service, now_ms)->retries++;
  return true;
}
