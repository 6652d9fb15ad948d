#include "scheduler_impl.h"

/* A share of the budget is left for asks that other schedulers place.  */
#define BUDGET_USE 0.75
/* Of that share, what a priority may use: when attempts fail or are rejected
   everywhere, the urgent ones are sent again first.  */
static const double budget_of_rank[] = { 1, 0.85, 0.6, 0.6 };

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
ab_sched_rank (const struct ab_sched_ask *ask)
{
  return ask->priority < AB_SCHED_RANKS ? (size_t)ask->priority
                                        : AB_SCHED_RANKS - 1;
}

void
ab_sched_count_first (struct ab_sched_service *service, uint64_t now_ms)
{
  bucket_at (service, now_ms)->first++;
}

/* This scheduler's part of the extra repeats.  A host that is a last resort
   has none: when schedulers are lost, all hosts may be.  */
static double
extra_share (const struct ab_scheduler *s, const struct ab_sched_ask *ask)
{
  size_t sharers
      = s->ops->sharers ? s->ops->sharers (s->ctx, ask->service) : 1;

  if (ask->last_resort)
    return 0;
  return s->config.repeat_extra / (double)(sharers > 0 ? sharers : 1);
}

bool
ab_sched_take_repeat (const struct ab_scheduler *s,
                      struct ab_sched_service *service,
                      const struct ab_sched_ask *ask, uint64_t now_ms)
{
  uint64_t seconds = s->config.repeat_window_ms / 1000;
  uint64_t now = now_ms / 1000;
  double first = 0;
  double repeats = 0;

  for (size_t i = 0; i < AB_SCHED_BUCKETS; i++)
    if (service->buckets[i].second + seconds > now
        && service->buckets[i].second <= now)
      {
        first += (double)service->buckets[i].first;
        repeats += (double)service->buckets[i].repeats;
      }
  if (repeats + 1
      > BUDGET_USE * budget_of_rank[ab_sched_rank (ask)]
            * (s->config.repeat_fraction * first + extra_share (s, ask)))
    return false;
  bucket_at (service, now_ms)->repeats++;
  return true;
}
