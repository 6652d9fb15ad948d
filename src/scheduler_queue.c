#include <math.h>
#include <stdlib.h>
#include <utlist.h>

#include "scheduler_internal.h"

/* Arrival rates are averaged over about this time.  */
#define RATE_WINDOW_MS 2500
/* Share of the arrival rate of higher priorities that is expected to continue:
   a burst may end before the turn of a queued request.  */
#define RATE_CONTINUES_SHARE 0.75
/* Share of the slots that is assumed to remain for a low priority when higher
   ones take all.  Such requests are hardly ever served, but they are not
   rejected because of a short burst.  */
#define CAPACITY_RESERVED_SHARE 0.1

/* The throughput of a backlog is averaged over about this time, and is not
   relied on before the backlog has lasted that long.  */
#define THROUGHPUT_WINDOW_MS 600
/* A backlog that gets hardly any slots is estimated to get this share of what
   is expected: some target will recover.  */
#define THROUGHPUT_MIN_SHARE 0.1

uint64_t
ab_sched_remaining_ms (uint64_t span_ms,
                       const struct ab_sched_request *request, uint64_t now_ms)
{
  uint64_t elapsed_ms = now_ms - request->arrived_ms;

  return span_ms > elapsed_ms ? span_ms - elapsed_ms : 0;
}

/* Returns whether the response would make its objective if the request were
   sent now.  */
static bool
makes_objective (const struct ab_sched_request *request, uint64_t now_ms)
{
  return (double)ab_sched_remaining_ms (request->slot_request.objective_ms,
                                        request, now_ms)
         >= ab_sched_typical_latency_ms (request->service);
}

bool
ab_sched_too_late (const struct ab_sched_request *request, uint64_t now_ms)
{
  return (double)ab_sched_remaining_ms (request->slot_request.timeout_ms,
                                        request, now_ms)
         < ab_sched_typical_latency_ms (request->service) / 2
               + AB_SCHED_REPLY_MARGIN_MS;
}

/* Returns whether A is served before B.  */
static bool
goes_before (const struct ab_sched_request *a,
             const struct ab_sched_request *b, uint64_t now_ms)
{
  bool a_makes_objective = makes_objective (a, now_ms);
  bool b_makes_objective = makes_objective (b, now_ms);
  uint64_t a_remaining_ms;
  uint64_t b_remaining_ms;

  if (a->slot_request.priority != b->slot_request.priority)
    return a->slot_request.priority < b->slot_request.priority;
  if (a_makes_objective != b_makes_objective)
    return a_makes_objective;
  a_remaining_ms
      = ab_sched_remaining_ms (a_makes_objective ? a->slot_request.objective_ms
                                                 : a->slot_request.timeout_ms,
                               a, now_ms);
  b_remaining_ms
      = ab_sched_remaining_ms (b_makes_objective ? b->slot_request.objective_ms
                                                 : b->slot_request.timeout_ms,
                               b, now_ms);
  return a_remaining_ms < b_remaining_ms;
}

static int
compare_turn (const void *a, const void *b)
{
  const struct ab_sched_request *left = *(struct ab_sched_request *const *)a;
  const struct ab_sched_request *right = *(struct ab_sched_request *const *)b;

  if (left->slot_request.priority != right->slot_request.priority)
    return left->slot_request.priority < right->slot_request.priority ? -1 : 1;
  if (left->makes_objective != right->makes_objective)
    return left->makes_objective ? -1 : 1;
  if (left->remaining_ms != right->remaining_ms)
    return left->remaining_ms < right->remaining_ms ? -1 : 1;
  return 0;
}

struct ab_sched_request **
ab_sched_list_waiting (const struct ab_sched_service *service, uint64_t now_ms)
{
  struct ab_sched_request **list
      = calloc (service->waiting_count, sizeof (struct ab_sched_request *));
  struct ab_sched_request *request;
  size_t count = 0;

  if (!list)
    return NULL;
  DL_FOREACH (service->waiting, request)
  {
    request->makes_objective = makes_objective (request, now_ms);
    request->remaining_ms = ab_sched_remaining_ms (
        request->makes_objective ? request->slot_request.objective_ms
                                 : request->slot_request.timeout_ms,
        request, now_ms);
    list[count++] = request;
  }
  qsort (list, count, sizeof (struct ab_sched_request *), compare_turn);
  return list;
}

static void
decay_rates (struct ab_sched_service *service, uint64_t now_ms)
{
  double elapsed_ms = (double)(now_ms - service->arrival_rates_ms);
  double kept_share
      = elapsed_ms >= RATE_WINDOW_MS ? 0 : 1 - elapsed_ms / RATE_WINDOW_MS;

  for (size_t i = 0; i < AB_SCHED_PRIORITY_CLASSES; i++)
    service->arrival_rates[i] *= kept_share;
  service->arrival_rates_ms = now_ms;
}

void
ab_sched_count_arrival (struct ab_sched_service *service,
                        const struct ab_sched_slot_request *slot_request,
                        uint64_t now_ms)
{
  decay_rates (service, now_ms);
  service->arrival_rates[ab_sched_priority_class (slot_request)]
      += 1.0 / RATE_WINDOW_MS;
}

static void
decay_throughput (struct ab_sched_throughput *throughput, uint64_t now_ms)
{
  double elapsed_ms = (double)(now_ms - throughput->updated_ms);

  throughput->per_ms *= exp (-elapsed_ms / THROUGHPUT_WINDOW_MS);
  throughput->updated_ms = now_ms;
}

void
ab_sched_record_backlog (struct ab_sched_service *service, uint64_t now_ms)
{
  struct ab_sched_throughput *throughput = &service->throughput;

  if (service->waiting_count == 0)
    *throughput = (struct ab_sched_throughput){ .updated_ms = now_ms };
  else if (throughput->busy_since_ms == 0)
    *throughput = (struct ab_sched_throughput){ .busy_since_ms = now_ms,
                                                .updated_ms = now_ms };
}

void
ab_sched_record_grant (struct ab_sched_service *service, uint64_t now_ms)
{
  if (service->throughput.busy_since_ms == 0)
    return;
  decay_throughput (&service->throughput, now_ms);
  service->throughput.per_ms += 1.0 / THROUGHPUT_WINDOW_MS;
}

/* Returns the requests per millisecond that CAPACITY serves in total: what
   was served, once a backlog has lasted for a while.  A target that may be
   gray counts in part, but may get nothing.  */
static double
total_rate (struct ab_sched_service *service,
            const struct ab_sched_capacity *capacity, uint64_t now_ms)
{
  double expected = capacity->slots / ab_sched_typical_latency_ms (service);
  struct ab_sched_throughput *throughput = &service->throughput;

  if (capacity->most_limited || capacity->is_hypothetical
      || throughput->busy_since_ms == 0
      || now_ms - throughput->busy_since_ms < 2 * THROUGHPUT_WINDOW_MS)
    return expected;
  decay_throughput (throughput, now_ms);
  if (throughput->per_ms > expected)
    return expected;
  return throughput->per_ms > expected * THROUGHPUT_MIN_SHARE
             ? throughput->per_ms
             : expected * THROUGHPUT_MIN_SHARE;
}

/* Returns the share of the arrival rate of higher priorities that is expected
   to continue.  A rate limit lasts longer than a burst, so that a service
   whose targets have limits counts on less.  */
static double
continuing_share (const struct ab_sched_capacity *capacity)
{
  double limited = capacity->unlimited_slots > 0
                       ? 1 - capacity->slots / capacity->unlimited_slots
                       : 0;

  return RATE_CONTINUES_SHARE + (1 - RATE_CONTINUES_SHARE) * limited;
}

/* Returns the requests per millisecond that CAPACITY serves for the priority
   of a slot request.  */
static double
serving_rate (struct ab_sched_service *service,
              const struct ab_sched_slot_request *slot_request,
              const struct ab_sched_capacity *capacity, uint64_t now_ms)
{
  double total = total_rate (service, capacity, now_ms);
  double rate = total;

  decay_rates (service, now_ms);
  for (size_t i = 0; i < ab_sched_priority_class (slot_request); i++)
    rate -= continuing_share (capacity) * service->arrival_rates[i];
  return rate > total * CAPACITY_RESERVED_SHARE
             ? rate
             : total * CAPACITY_RESERVED_SHARE;
}

double
ab_sched_queue_wait_ms (struct ab_sched_service *service,
                        const struct ab_sched_slot_request *slot_request,
                        size_t ahead, const struct ab_sched_capacity *capacity,
                        uint64_t now_ms)
{
  double requests = (double)(ahead + 1) - capacity->tokens;

  if (requests < 0)
    return 0;
  return requests / serving_rate (service, slot_request, capacity, now_ms);
}

size_t
ab_sched_count_ahead (const struct ab_sched_request *request, uint64_t now_ms)
{
  const struct ab_sched_request *other;
  size_t ahead = 0;

  DL_FOREACH (request->service->waiting, other)
  if (other != request && goes_before (other, request, now_ms))
    ahead++;
  return ahead;
}
