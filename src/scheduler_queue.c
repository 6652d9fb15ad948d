#include <stdlib.h>
#include <utlist.h>

#include "scheduler_impl.h"

/* Rates of arrival are averaged over about this time.  */
#define RATE_MS 2500
/* Of the arrivals with a higher priority, those that are expected to go on: a
   burst may end before a waiting request's turn.  */
#define RATE_EXPECTED 0.75
/* Of the slots, left to a low priority when higher ones take all: such
   requests are hardly ever served, but not refused for a short burst.  */
#define CAPACITY_LEFT 0.1

uint64_t
ab_sched_left (uint64_t time_ms, const struct ab_sched_request *request,
               uint64_t now_ms)
{
  uint64_t gone = now_ms - request->asked_ms;

  return time_ms > gone ? time_ms - gone : 0;
}

/* Whether the response would still make its objective if it began now.  */
static bool
in_time (const struct ab_sched_request *request, uint64_t now_ms)
{
  return (double)ab_sched_left (request->ask.objective_ms, request, now_ms)
         >= ab_sched_usual_ms (request->service);
}

bool
ab_sched_too_late (const struct ab_sched_request *request, uint64_t now_ms)
{
  return (double)ab_sched_left (request->ask.time_ms, request, now_ms)
         < ab_sched_usual_ms (request->service) / 2 + AB_SCHED_REPLY_MARGIN_MS;
}

/* Whether A is served before B.  */
static bool
goes_before (const struct ab_sched_request *a,
             const struct ab_sched_request *b, uint64_t now_ms)
{
  bool a_in_time = in_time (a, now_ms);
  bool b_in_time = in_time (b, now_ms);
  uint64_t a_left;
  uint64_t b_left;

  if (a->ask.priority != b->ask.priority)
    return a->ask.priority < b->ask.priority;
  if (a_in_time != b_in_time)
    return a_in_time;
  a_left = ab_sched_left (a_in_time ? a->ask.objective_ms : a->ask.time_ms, a,
                          now_ms);
  b_left = ab_sched_left (b_in_time ? b->ask.objective_ms : b->ask.time_ms, b,
                          now_ms);
  return a_left < b_left;
}

static int
by_turn (const void *a, const void *b)
{
  const struct ab_sched_request *left = *(struct ab_sched_request *const *)a;
  const struct ab_sched_request *right = *(struct ab_sched_request *const *)b;

  if (left->ask.priority != right->ask.priority)
    return left->ask.priority < right->ask.priority ? -1 : 1;
  if (left->in_time != right->in_time)
    return left->in_time ? -1 : 1;
  if (left->left_ms != right->left_ms)
    return left->left_ms < right->left_ms ? -1 : 1;
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
    request->in_time = in_time (request, now_ms);
    request->left_ms = ab_sched_left (
        request->in_time ? request->ask.objective_ms : request->ask.time_ms,
        request, now_ms);
    list[count++] = request;
  }
  qsort (list, count, sizeof (struct ab_sched_request *), by_turn);
  return list;
}

static void
age_rates (struct ab_sched_service *service, uint64_t now_ms)
{
  double gone = (double)(now_ms - service->rates_ms);
  double kept = gone >= RATE_MS ? 0 : 1 - gone / RATE_MS;

  for (size_t i = 0; i < AB_SCHED_RANKS; i++)
    service->rates[i] *= kept;
  service->rates_ms = now_ms;
}

void
ab_sched_count_arrival (struct ab_sched_service *service,
                        const struct ab_sched_ask *ask, uint64_t now_ms)
{
  age_rates (service, now_ms);
  service->rates[ab_sched_rank (ask)] += 1.0 / RATE_MS;
}

/* Requests a millisecond that SLOTS serve for the priority of ASK.  */
static double
serving_rate (struct ab_sched_service *service, const struct ab_sched_ask *ask,
              double slots, uint64_t now_ms)
{
  double capacity = slots / ab_sched_usual_ms (service);
  double rate = capacity;

  age_rates (service, now_ms);
  for (size_t i = 0; i < ab_sched_rank (ask); i++)
    rate -= RATE_EXPECTED * service->rates[i];
  return rate > capacity * CAPACITY_LEFT ? rate : capacity * CAPACITY_LEFT;
}

double
ab_sched_turn_ms (struct ab_sched_service *service,
                  const struct ab_sched_ask *ask, size_t ahead, double slots,
                  uint64_t now_ms)
{
  return (double)(ahead + 1) / serving_rate (service, ask, slots, now_ms);
}

size_t
ab_sched_ahead (const struct ab_sched_request *request, uint64_t now_ms)
{
  const struct ab_sched_request *other;
  size_t ahead = 0;

  DL_FOREACH (request->service->waiting, other)
  if (other != request && goes_before (other, request, now_ms))
    ahead++;
  return ahead;
}
