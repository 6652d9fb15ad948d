#include <stdlib.h>

#include "scheduler_internal.h"

/* The retries that all schedulers of a service grant within a window are
   bounded without a memory that a successor would need: a scheduler grants a
   retry only against credit that it has earned itself, with each first attempt
   and with the time in which it is the regular scheduler, and credit expires
   after a small part of the window.  So the sum over all schedulers, however
   often they are replaced, is at most what the window and that part before it
   earn.  A scheduler also keeps to what its own memory of the whole window
   allows, which is less after a burst of requests.  */

/* Share of the budget that is granted over time; the rest is left for credit
   saved before a window.  */
#define OWN_BUDGET_SHARE 0.75
/* Share of the budget that may be saved as credit.  */
#define SAVED_SHARE 0.1
/* Interval of the checks of a host's role.  */
#define ROLE_CHECK_MS 1000
/* Allows for the rounding of sums of fractions.  */
#define ROUNDING 1e-6
/* Part of that share that each class of ranks may use: when attempts fail or
   are rejected everywhere, urgent requests are retried first.  */
static const double budget_by_class[] = { 1, 0.85, 0.6, 0.6 };
#define BUDGET_CLASSES (sizeof budget_by_class / sizeof budget_by_class[0])

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

/* Returns the part of the budget that SLOT_REQUEST may use.  Nothing is kept
   for ranks of which the service got no request lately.  */
static double
budget_share (const struct ab_sched_service *service,
              const struct ab_sched_slot_request *slot_request)
{
  return budget_by_class[ab_sched_shares_class (&service->shares, slot_request,
                                                BUDGET_CLASSES)];
}

/* Returns the time for which one slot of the credit counts.  */
static uint64_t
credit_slot_ms (const struct ab_scheduler *s)
{
  return (uint64_t)((double)s->config.retry_window_ms * SAVED_SHARE
                    / OWN_BUDGET_SHARE / AB_SCHED_CREDIT_SLOTS)
         + 1;
}

static void
earn_credit (const struct ab_scheduler *s, struct ab_sched_service *service,
             double amount, uint64_t now_ms)
{
  struct ab_sched_credit *credit = &service->credit;
  uint64_t number = now_ms / credit_slot_ms (s);
  struct ab_sched_credit_slot *slot
      = &credit->slots[number % AB_SCHED_CREDIT_SLOTS];

  if (slot->number != number)
    *slot = (struct ab_sched_credit_slot){ .number = number };
  slot->earned += amount;
  credit->amount += amount;
}

/* Returns whether this host earns credit with time.  A host that becomes the
   regular scheduler waits until its predecessor, which may have an older view,
   no longer takes itself for it.  */
static bool
is_settled (const struct ab_scheduler *s,
            const struct ab_sched_service *service, uint64_t now_ms)
{
  return !s->ops->is_primary
         || (service->role.since_ms > 0
             && now_ms - service->role.since_ms
                    >= s->config.role_overlap_ms + ROLE_CHECK_MS);
}

/* Adds the credit for the time since the last update and removes what has
   expired.  A regular scheduler may always save one retry, as a service with
   few requests earns less while credit lasts.  */
static void
update_credit (const struct ab_scheduler *s, struct ab_sched_service *service,
               uint64_t now_ms)
{
  struct ab_sched_credit *credit = &service->credit;
  uint64_t number = now_ms / credit_slot_ms (s);
  uint64_t elapsed_ms = now_ms - credit->updated_ms;
  bool settled = is_settled (s, service, now_ms);
  double saved_max = settled ? 1 : 0;
  double valid = 0;

  /* After a longer gap this process was suspended.  */
  if (settled && credit->updated_ms > 0 && elapsed_ms <= ROLE_CHECK_MS)
    earn_credit (s, service,
                 OWN_BUDGET_SHARE * s->config.retry_extra
                     / (double)service->role.schedulers * (double)elapsed_ms
                     / (double)s->config.retry_window_ms,
                 now_ms);
  credit->updated_ms = now_ms;
  for (size_t i = 0; i < AB_SCHED_CREDIT_SLOTS; i++)
    if (credit->slots[i].number + AB_SCHED_CREDIT_SLOTS > number)
      valid += credit->slots[i].earned;
  if (valid > saved_max)
    saved_max = valid;
  if (credit->amount > saved_max)
    credit->amount = saved_max;
  credit->saved_max = saved_max;
}

void
ab_sched_count_first_attempt (const struct ab_scheduler *s,
                              struct ab_sched_service *service,
                              uint64_t now_ms)
{
  bucket_at (service, now_ms)->first_attempts++;
  earn_credit (s, service, OWN_BUDGET_SHARE * s->config.retry_fraction,
               now_ms);
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
  size_t schedulers;

  if (!shard || (role->checked_ms > 0 && gap_ms < ROLE_CHECK_MS))
    return;
  ab_chunk_copy_bounded (
      ab_chunk (service->key, (size_t)(shard - service->key)), name,
      sizeof name);
  role->checked_ms = now_ms;
  schedulers
      = s->ops->count_schedulers ? s->ops->count_schedulers (s->ctx, name) : 1;
  if (schedulers == 0)
    schedulers = 1;
  if (!s->ops->is_primary || !s->ops->is_primary (s->ctx, name, shard + 1))
    role->since_ms = 0;
  else if (role->since_ms == 0 || schedulers < role->schedulers
           || gap_ms > s->config.retry_window_ms)
    role->since_ms = now_ms;
  role->schedulers = schedulers;
  if (s->ops->role_changed && (role->since_ms > 0) != was_regular)
    s->ops->role_changed (s->ctx, name, shard + 1, role->since_ms > 0);
}

/* Returns this scheduler's part of the additional retries.  */
static double
own_additional_retries (const struct ab_scheduler *s,
                        const struct ab_sched_service *service,
                        const struct ab_sched_slot_request *slot_request)
{
  if (slot_request->last_resort)
    return 0;
  return s->config.retry_extra / (double)service->role.schedulers;
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

/* Returns the credit that is kept for requests of more urgent ranks than
   SLOT_REQUEST; a retry of the last one is possible when all else is
   saved.  */
static double
credit_kept (const struct ab_sched_service *service,
             const struct ab_sched_slot_request *slot_request)
{
  const struct ab_sched_credit *credit = &service->credit;
  double share = budget_share (service, slot_request);
  double kept = (1 - share) * credit->saved_max;

  if (kept > credit->saved_max - 1)
    kept = credit->saved_max - 1;
  return kept > 0 ? kept : 0;
}

bool
ab_sched_reserve_retry (const struct ab_scheduler *s,
                        struct ab_sched_request *request, uint64_t now_ms)
{
  struct ab_sched_service *service = request->service;
  const struct ab_sched_slot_request *slot_request = &request->slot_request;
  uint64_t seconds = s->config.retry_window_ms / 1000;
  uint64_t now = now_ms / 1000;

  update_credit (s, service, now_ms);
  if ((double)service->reserved_retries + 1
              + credit_kept (service, slot_request)
          > service->credit.amount + ROUNDING
      || count_retries (service, seconds, now) + 1
             > OWN_BUDGET_SHARE * budget_share (service, slot_request)
                   * (s->config.retry_fraction
                          * count_first_attempts (service, seconds, now)
                      + own_additional_retries (s, service, slot_request)))
    return false;
  request->reserves_retry = true;
  service->reserved_retries++;
  return true;
}

double
ab_sched_spare_credit (const struct ab_sched_service *service,
                       const struct ab_sched_slot_request *slot_request)
{
  return service->credit.amount - (double)service->reserved_retries
         - credit_kept (service, slot_request);
}

void
ab_sched_return_retry (struct ab_sched_request *request)
{
  if (request->reserves_retry)
    request->service->reserved_retries--;
  request->reserves_retry = false;
}

bool
ab_sched_may_spend_retry (const struct ab_scheduler *s,
                          const struct ab_sched_request *request,
                          uint64_t now_ms)
{
  if (!request->reserves_retry)
    return true;
  update_credit (s, request->service, now_ms);
  return request->service->credit.amount + ROUNDING >= 1;
}

void
ab_sched_spend_retry (struct ab_sched_request *request, uint64_t now_ms)
{
  if (request->reserves_retry)
    {
      bucket_at (request->service, now_ms)->retries++;
      request->service->credit.amount -= 1;
    }
  ab_sched_return_retry (request);
}

void
ab_sched_tick_budget (const struct ab_scheduler *s,
                      struct ab_sched_service *service, uint64_t now_ms)
{
  ab_sched_check_role (s, service, now_ms);
  update_credit (s, service, now_ms);
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
        list,
        json_pack ("{s:s, s:b, s:b, s:I, s:f, s:f, s:f, s:f}", "service",
                   service->key, "regular", service->role.since_ms > 0,
                   "settled", is_settled (s, service, now_ms), "schedulers",
                   (json_int_t)service->role.schedulers, "first_attempts",
                   count_first_attempts (service, seconds, now), "retries",
                   count_retries (service, seconds, now), "credit",
                   service->credit.amount, "credit_max",
                   service->credit.saved_max));
  return list;
}
