#include <math.h>
#include <stdlib.h>
#include <utlist.h>

#include "scheduler_internal.h"

/* Share of the arrival rate of more urgent ranks that is expected to continue:
   a burst may end before the turn of a queued request.  */
#define RATE_CONTINUES_SHARE 0.75
/* Share of the slots that is assumed to remain for a rank when more urgent
   ones take all.  Such requests are hardly ever served, but they are not
   rejected because of a short burst.  */
#define CAPACITY_RESERVED_SHARE 0.1

/* A backlog of longer than this is no burst.  */
#define BURST_MS 600
/* That share once a backlog has lasted: the reserve of
   scheduler_shares.c serves such ranks then.  */
#define LASTING_RESERVED_SHARE 0.02
/* Part of the time that a request may wait by which its turn must be expected
   to be queued in a lasting backlog: waits vary, and a request that is queued
   and rejected later cannot go elsewhere in time.  */
#define ADMITTED_SHARE 0.6

/* Part of its rank's slots that is assumed to remain for a team with many
   requests when other teams' turns come first.  */
#define TURNS_SHARE 0.1

/* Moves per queued request after which sorting anew costs less.  */
#define MOVES_FACTOR 8
/* A queue that is empty for a moment ends no backlog while requests were
   rejected this recently: else a next burst of requests would be queued and
   rejected later.  */
#define BACKLOG_GAP_MS 500

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

/* Returns whether A (negative) or B (positive) is served first because of its
   rank and team, or 0.  */
static int
compare_place (const struct ab_sched_request *a,
               const struct ab_sched_request *b)
{
  int order;

  if (a->place.is_reserved != b->place.is_reserved)
    return a->place.is_reserved ? -1 : 1;
  order = ab_sched_compare_rank (&a->slot_request, &b->slot_request);
  if (order != 0)
    return order;
  return a->place.round < b->place.round ? -1
                                         : a->place.round > b->place.round;
}

/* Returns whether A is served before B.  */
static bool
goes_before (const struct ab_sched_request *a,
             const struct ab_sched_request *b, uint64_t now_ms)
{
  bool a_makes_objective;
  bool b_makes_objective;
  uint64_t a_remaining_ms;
  uint64_t b_remaining_ms;
  int order = compare_place (a, b);

  if (order != 0)
    return order < 0;
  a_makes_objective = makes_objective (a, now_ms);
  b_makes_objective = makes_objective (b, now_ms);
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

  int order = compare_place (left, right);

  if (order != 0)
    return order;
  if (left->makes_objective != right->makes_objective)
    return left->makes_objective ? -1 : 1;
  if (left->remaining_ms != right->remaining_ms)
    return left->remaining_ms < right->remaining_ms ? -1 : 1;
  return 0;
}

/* Sorts the COUNT requests of LIST.  Few have another place than in the pass
   before, so that moving these costs less than sorting anew; with many, the
   rest is sorted anew.  */
static void
sort_waiting (struct ab_sched_request **list, size_t count)
{
  size_t moves = 0;

  for (size_t i = 1; i < count; i++)
    {
      struct ab_sched_request *request = list[i];
      size_t place = i;
      for (; place > 0 && compare_turn (&request, &list[place - 1]) < 0;
           place--)
        list[place] = list[place - 1];
      list[place] = request;
      moves += i - place;
      if (moves > MOVES_FACTOR * count)
        {
          qsort (list, count, sizeof (struct ab_sched_request *),
                 compare_turn);
          return;
        }
    }
}

/* Puts the queue of SERVICE into the order of LIST, with all its requests.  */
static void
keep_order (struct ab_sched_service *service, struct ab_sched_request **list,
            size_t count)
{
  service->waiting = list[0];
  for (size_t i = 0; i < count; i++)
    {
      list[i]->prev = list[i > 0 ? i - 1 : count - 1];
      list[i]->next = i + 1 < count ? list[i + 1] : NULL;
    }
}

struct ab_sched_request **
ab_sched_list_waiting (struct ab_sched_service *service, uint64_t now_ms)
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
  if (count > 0)
    {
      sort_waiting (list, count);
      keep_order (service, list, count);
    }
  return list;
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

  if (service->waiting_count == 0
      && now_ms - service->last_full_ms > BACKLOG_GAP_MS)
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

/* Returns whether requests have been queued for longer than a burst.  */
static bool
backlog_lasts (const struct ab_sched_service *service, uint64_t now_ms)
{
  return service->throughput.busy_since_ms > 0
         && now_ms - service->throughput.busy_since_ms >= BURST_MS;
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

/* Returns the share of the arrival rate of more urgent ranks that is expected
   to continue.  A rate limit and a backlog that has lasted for a while last
   longer than a burst.  */
static double
continuing_share (const struct ab_sched_service *service,
                  const struct ab_sched_capacity *capacity, uint64_t now_ms)
{
  double limited = capacity->unlimited_slots > 0
                       ? 1 - capacity->slots / capacity->unlimited_slots
                       : 0;

  if (backlog_lasts (service, now_ms))
    return 1;
  return RATE_CONTINUES_SHARE + (1 - RATE_CONTINUES_SHARE) * limited;
}

/* Returns the requests per millisecond that CAPACITY serves for the rank of
   REQUEST and at its place in that rank.  */
static double
serving_rate (const struct ab_sched_request *request,
              const struct ab_sched_capacity *capacity, uint64_t now_ms)
{
  struct ab_sched_service *service = request->service;
  struct ab_sched_shares *shares = &service->shares;
  double total = total_rate (service, capacity, now_ms);
  bool lasts = backlog_lasts (service, now_ms);
  double least
      = total * (lasts ? LASTING_RESERVED_SHARE : CAPACITY_RESERVED_SHARE);
  double rate = total;
  double before;
  double granted;

  if (request->place.is_reserved)
    return total;
  rate
      -= continuing_share (service, capacity, now_ms)
         * ab_sched_shares_rate_above (shares, &request->slot_request, now_ms);
  if (lasts)
    rate -= ab_sched_shares_reserved_rate (shares, now_ms);
  if (rate < least)
    rate = least;
  if (!lasts)
    return rate;
  granted
      = ab_sched_shares_grant_rate (shares, &request->slot_request, now_ms);
  if (rate < granted)
    rate = granted;
  before = ab_sched_shares_rate_before (shares, &request->slot_request,
                                        &request->place, now_ms);
  return rate - before > TURNS_SHARE * rate ? rate - before
                                            : TURNS_SHARE * rate;
}

double
ab_sched_queue_wait_ms (const struct ab_sched_request *request, size_t ahead,
                        const struct ab_sched_capacity *capacity,
                        uint64_t now_ms)
{
  double requests = (double)(ahead + 1) - capacity->tokens;

  if (requests < 0)
    return 0;
  return requests / serving_rate (request, capacity, now_ms);
}

double
ab_sched_admission_limit_ms (const struct ab_sched_request *request,
                             uint64_t now_ms)
{
  const struct ab_sched_slot_request *slot_request = &request->slot_request;
  double typical_ms = ab_sched_typical_latency_ms (request->service);
  double limit_ms = (double)slot_request->timeout_ms - typical_ms
                    - AB_SCHED_REPLY_MARGIN_MS;

  if (!backlog_lasts (request->service, now_ms) || !slot_request->may_wait)
    return limit_ms;
  if ((double)slot_request->objective_ms > typical_ms
      && slot_request->objective_ms < slot_request->timeout_ms)
    limit_ms = (double)slot_request->objective_ms - typical_ms;
  if (now_ms - request->service->throughput.busy_since_ms
      < slot_request->timeout_ms)
    return limit_ms;
  return limit_ms * ADMITTED_SHARE;
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
