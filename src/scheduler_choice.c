#include <math.h>
#include <utlist.h>

#include "rate_limit.h"
#include "rendezvous.h"
#include "scheduler_internal.h"

/* A target that was granted nothing for this long gets the next request,
   sooner if that request is idempotent.  So most healthy targets have a
   request within any two seconds, and the load is spread over all of them when
   some are lost.  */
#define IDLE_MAX_MS 1500
#define IDLE_MAX_IDEMPOTENT_MS 900
/* In a service of orders alone nothing else tests recovered targets while
   others have free slots, and an order that does fails in about one of four
   cases.  So a target is tested with one only when it was idle for
   ORDER_TEST_IDLE_MS, as it is then more likely to have recovered, at most one
   in ORDER_TEST_MS over time and ORDER_TESTS_SAVED in a row.  Tests after
   1.5 s, at most one a second, cost 0.8 in 100 orders at a third of the
   capacity and found no room in bursts (bench_orders): untested targets get
   orders then anyway.  */
#define ORDER_TEST_IDLE_MS 9500
#define ORDER_TEST_MS 8000
#define ORDER_TESTS_SAVED 4
/* At least this long between two such tests.  */
#define ORDER_TEST_GAP_MS 300
/* A new target that has had no request yet is preferred for idempotent first
   attempts, and once this time has passed since it joined, for all first
   attempts.  */
#define JOIN_MS 2000
/* Costs of a choice, relative to a request that fails and is lost, which costs
   1.  Targets in another failure domain cost traffic between failure domains,
   more with a large body.  */
#define COST_REMOTE 0.005
#define COST_REMOTE_LARGE_BODY 0.012
/* Cost of a response that misses its latency objective.  */
#define COST_OBJECTIVE_MISSED 0.5
/* An idempotent request costs only a retry when it fails, and its outcome is
   more informative the less certain the target's state is.  The negative
   factor makes it prefer targets of which little is known.  */
#define RISK_FACTOR_IDEMPOTENT (-0.3)
/* Credit for retries that each target under test may need.  */
#define EXPLORE_CREDIT 0.5
/* Cost of a target that sheds all requests.  */
#define COST_SHED 0.5
/* Cost of a target with all slots in use; among equal targets the one with
   fewer requests is chosen.  */
#define COST_LOAD 0.002
/* Costs that put a target before and behind all others.  */
#define COST_FIRST (-10.0)
#define COST_LAST 10.0
/* An expected latency of up to this fraction of the objective never misses it;
   at this fraction plus the range it always does.  */
#define MISSED_FROM 0.5
#define MISSED_RANGE 1.0
/* A request that is not idempotent is urgent when less than this many times
   the typical latency remains until its deadline.  */
#define URGENT_FACTOR 2.5
/* A request that is not idempotent may take an untested target while the
   targets with a trial request in flight are fewer than one plus this fraction
   (1/N) of all targets.  */
#define TRIAL_TARGETS_DIVISOR 12
/* A backlog that lasts this many times the typical latency is no burst.  */
#define BACKLOG_FACTOR 1.5

static bool
was_tried (const struct ab_sched_slot_request *slot_request,
           const struct ab_sched_target *target)
{
  for (size_t i = 0; i < slot_request->tried_count; i++)
    if (strcmp (slot_request->tried[i], target->fleet_target.id) == 0)
      return true;
  return false;
}

static bool
is_local (const struct ab_sched_target *target,
          const struct ab_sched_slot_request *slot_request)
{
  return strcmp (target->fleet_target.failure_domain,
                 slot_request->failure_domain)
         == 0;
}

/* One request that is to be placed.  */
struct choice
{
  const struct ab_sched_service *service;
  const struct ab_sched_summary *summary;
  const struct ab_sched_slot_request *slot_request;
  uint64_t host;
  uint64_t objective_ms; /* What remains of the objective.  */
  enum ab_target_health_state worst_state;
  bool local_only;
  bool explores;    /* May test a target: a failure costs only a retry.  */
  bool is_degraded; /* Many requests of the service are not served.  */
  uint64_t now_ms;
};

static bool
is_ready (const struct ab_sched_target *target, uint64_t now_ms)
{
  return ab_sched_target_accepts (target)
         && now_ms >= target->health.busy_until_ms;
}

/* Returns whether TARGET has a free slot that its rate limit lets a scheduler
   use that may use the fraction 1/RATE_DIVISOR of the limit.  */
static bool
has_room (const struct ab_sched_target *target, uint64_t rate_divisor,
          uint64_t now_ms)
{
  return target->in_flight < ab_sched_target_slots (target, now_ms)
         && ab_rate_bucket_has_token (&target->rate, rate_divisor, now_ms);
}

static void
count_target (struct ab_sched_summary *summary,
              const struct ab_sched_target *target, uint64_t now_ms)
{
  enum ab_target_health_state state
      = ab_target_health_state (&target->health, now_ms);
  bool is_free = is_ready (target, now_ms) && has_room (target, 1, now_ms);

  summary->ready++;
  summary->usable += state < AB_TARGET_SUSPECT;
  summary->under_trial
      += state != AB_TARGET_HEALTHY && target->trial_requests > 0;
  if (state == AB_TARGET_HEALTHY)
    summary->healthy_slots += ab_sched_target_slots (target, now_ms);
  summary->healthy_free += is_free && state == AB_TARGET_HEALTHY;
  summary->untested_free += is_free && state == AB_TARGET_UNTESTED;
  summary->suspect_free += is_free && state == AB_TARGET_SUSPECT;
}

void
ab_sched_summarise (const struct ab_sched_service *service, uint64_t now_ms,
                    struct ab_sched_summary *summary)
{
  const struct ab_sched_target *target;

  memset (summary, 0, sizeof *summary);
  DL_FOREACH (service->targets, target)
  if (ab_sched_target_accepts (target))
    count_target (summary, target, now_ms);
}

/* Returns whether more requests have been queued for some time than the
   healthy targets serve at once.  Some of them would be rejected, which is
   worse than the risk of an untested target.  Not right after a start or a
   burst: the first few trial requests tell which targets are healthy.  */
static bool
is_short_of_proven_slots (const struct ab_sched_service *service,
                          const struct ab_sched_summary *summary,
                          uint64_t now_ms)
{
  uint64_t since_ms = service->throughput.busy_since_ms;

  return since_ms > 0 && service->waiting_count >= summary->healthy_slots
         && (double)(now_ms - since_ms)
                > BACKLOG_FACTOR * ab_sched_typical_latency_ms (service);
}

/* Returns the worst health state of a target that may be given SLOT_REQUEST,
   with REMAINING_MS until its deadline.

   An idempotent request goes anywhere.  Others are tried in other regions
   before they go to a target that failed, and the schedulers there give them
   none of their own suspect targets.  They wait for a healthy target while
   there is time and other requests test some targets: after a start nothing is
   known of any target, and each gray target would fail some requests of a
   burst.  */
static enum ab_target_health_state
worst_state (const struct ab_sched_service *service,
             const struct ab_sched_summary *summary,
             const struct ab_sched_slot_request *slot_request,
             uint64_t remaining_ms, uint64_t now_ms)
{
  bool is_urgent = (double)remaining_ms
                   < URGENT_FACTOR * ab_sched_typical_latency_ms (service);

  if (slot_request->idempotent)
    return AB_TARGET_SUSPECT;
  if (!slot_request->may_spill && slot_request->may_wait
      && (is_urgent || summary->usable == 0))
    return AB_TARGET_SUSPECT;
  if (is_urgent || is_short_of_proven_slots (service, summary, now_ms)
      || summary->under_trial < 1 + summary->ready / TRIAL_TARGETS_DIVISOR)
    return AB_TARGET_UNTESTED;
  return AB_TARGET_HEALTHY;
}

/* Returns whether an order may test an untested target that was idle for
   IDLE_MS.  Only one at a time is tested that way.  */
static bool
may_test_with_order (const struct choice *choice, uint64_t idle_ms)
{
  const struct ab_sched_order_tests *tests = &choice->service->order_tests;
  uint64_t since_ms = choice->now_ms - tests->last_ms;

  return choice->summary->under_trial == 0 && !choice->slot_request->is_retry
         && idle_ms > ORDER_TEST_IDLE_MS && since_ms >= ORDER_TEST_GAP_MS
         && tests->used * ORDER_TEST_MS
                < (double)since_ms + (ORDER_TESTS_SAVED - 1) * ORDER_TEST_MS;
}

void
ab_sched_record_order_test (struct ab_sched_service *service,
                            const struct ab_sched_target *target,
                            uint64_t now_ms)
{
  struct ab_sched_order_tests *tests = &service->order_tests;

  if (now_ms - target->last_granted_ms <= ORDER_TEST_IDLE_MS)
    return;
  tests->used -= (double)(now_ms - tests->last_ms) / ORDER_TEST_MS;
  tests->used = tests->used < 0 ? 1 : tests->used + 1;
  if (tests->used > ORDER_TESTS_SAVED)
    tests->used = ORDER_TESTS_SAVED;
  tests->last_ms = now_ms;
}

/* Returns whether TARGET has been idle so long that it gets the next request.
   A request that is not idempotent goes to a suspect target only while the
   service is degraded, when relying on the few healthy targets would leave
   most of the service idle, and to an untested one also as a test.  */
static bool
is_idle_too_long (const struct choice *choice,
                  const struct ab_sched_target *target,
                  enum ab_target_health_state state)
{
  uint64_t idle_ms = choice->now_ms - target->last_granted_ms;

  if (target->trial_requests > 0)
    return false;
  if (!target->used)
    idle_ms = choice->now_ms - target->joined_ms;
  if (choice->slot_request->idempotent)
    return idle_ms > IDLE_MAX_IDEMPOTENT_MS && choice->explores;
  return idle_ms > IDLE_MAX_MS
         && (state == AB_TARGET_HEALTHY || choice->is_degraded
             || (state == AB_TARGET_UNTESTED
                 && may_test_with_order (choice, idle_ms)));
}

static bool
is_eligible (const struct choice *choice, const struct ab_sched_target *target,
             enum ab_target_health_state state)
{
  if (!is_ready (target, choice->now_ms) || state == AB_TARGET_EJECTED
      || !has_room (target, choice->slot_request->rate_divisor, choice->now_ms)
      || was_tried (choice->slot_request, target)
      || (choice->local_only && !is_local (target, choice->slot_request))
      || ab_sched_path_broken (target, choice->host, choice->now_ms)
      || ab_sched_pause_left_ms (target, choice->host, choice->now_ms) > 0)
    return false;
  return state <= choice->worst_state
         || is_idle_too_long (choice, target, state);
}

/* Returns the expected share of responses of TARGET that miss the objective, 0
   to 1.  */
static double
missed_share (const struct choice *choice,
              const struct ab_sched_target *target)
{
  double expected = target->health.latency_ms > 0
                        ? target->health.latency_ms
                        : ab_sched_typical_latency_ms (choice->service);
  double share;

  if (choice->objective_ms == 0)
    return 1;
  if (choice->now_ms < target->cold_until_ms)
    expected *= 2;
  share
      = (expected / (double)choice->objective_ms - MISSED_FROM) / MISSED_RANGE;
  return share < 0 ? 0 : share > 1 ? 1 : share;
}

/* Returns the cost of sending the request to TARGET; the target with the
   lowest cost is chosen.

   Idempotent first attempts are sent to targets of which little is known, one
   at a time, before others.  Other requests go where requests have just
   succeeded: when a few targets are in steady use, each one that turns gray is
   detected at once, at the cost of one request.  */
static double
cost_of (const struct choice *choice, const struct ab_sched_target *target,
         enum ab_target_health_state state)
{
  const struct ab_sched_slot_request *slot_request = choice->slot_request;
  double cost = ab_target_health_risk (&target->health, choice->now_ms);

  if (is_idle_too_long (choice, target, state))
    return COST_FIRST;
  if (state == AB_TARGET_UNTESTED && !target->used && !slot_request->is_retry
      && (choice->explores || choice->now_ms - target->joined_ms > JOIN_MS))
    return COST_FIRST;
  if (choice->explores)
    cost *= RISK_FACTOR_IDEMPOTENT;
  if (choice->explores && state != AB_TARGET_HEALTHY
      && target->trial_requests > 0)
    cost += COST_LAST;
  if (!is_local (target, slot_request))
    cost += slot_request->large_body ? COST_REMOTE_LARGE_BODY : COST_REMOTE;
  return cost + COST_OBJECTIVE_MISSED * missed_share (choice, target)
         + COST_SHED * target->health.shed_rate
         + COST_LOAD * (double)target->in_flight
               / (double)ab_sched_target_slots (target, choice->now_ms);
}

/* Returns whether SLOT_REQUEST may test a target: it is a first attempt that
   may be repeated, and the retry budget has credit for it beside the tests in
   progress.  Without credit a failed test is a failed request.  */
static bool
may_explore (const struct ab_sched_service *service,
             const struct ab_sched_summary *summary,
             const struct ab_sched_slot_request *slot_request)
{
  return slot_request->idempotent && !slot_request->is_retry
         && ab_sched_spare_credit (service, slot_request)
                >= 1 + EXPLORE_CREDIT * (double)summary->under_trial;
}

static uint64_t
subtract_waited (uint64_t span_ms, uint64_t waited_ms)
{
  return span_ms > waited_ms ? span_ms - waited_ms : 0;
}

bool
ab_sched_may_choose (const struct ab_sched_service *service,
                     const struct ab_sched_summary *summary,
                     const struct ab_sched_slot_request *slot_request,
                     uint64_t waited_ms, uint64_t now_ms)
{
  size_t free_targets = summary->healthy_free;
  enum ab_target_health_state worst_allowed = worst_state (
      service, summary, slot_request,
      subtract_waited (slot_request->timeout_ms, waited_ms), now_ms);

  if (worst_allowed >= AB_TARGET_UNTESTED)
    free_targets += summary->untested_free;
  if (worst_allowed >= AB_TARGET_SUSPECT)
    free_targets += summary->suspect_free;
  return free_targets > 0
         || ab_sched_is_degraded (&service->failure_window, now_ms);
}

/* Returns the eligible target with the lowest cost, or null.  */
static struct ab_sched_target *
choose (const struct choice *choice)
{
  struct ab_sched_target *best = NULL;
  struct ab_sched_target *target;
  double best_cost = 0;

  if (ab_sched_share_used_up (choice->service))
    return NULL;
  DL_FOREACH (choice->service->targets, target)
  {
    enum ab_target_health_state state
        = ab_target_health_state (&target->health, choice->now_ms);
    double cost;

    target->cost = HUGE_VAL;
    if (!is_eligible (choice, target, state))
      continue;
    target->cost = cost = cost_of (choice, target, state);
    if (best && cost >= best_cost)
      continue;
    best = target;
    best_cost = cost;
  }
  return best && choice->service->placers > 1
             ? ab_sched_spread (choice->service, best_cost)
             : best;
}

/* Returns a choice for a slot request that has waited for WAITED_MS.  */
static struct choice
make_choice (const struct ab_sched_service *service,
             const struct ab_sched_summary *summary,
             const struct ab_sched_slot_request *slot_request,
             uint64_t waited_ms, uint64_t now_ms)
{
  return (struct choice){
    .service = service,
    .summary = summary,
    .slot_request = slot_request,
    .host = ab_rendezvous_hash (ab_chunk_str (slot_request->host)),
    .objective_ms = subtract_waited (slot_request->objective_ms, waited_ms),
    .is_degraded = ab_sched_is_degraded (&service->failure_window, now_ms),
    .now_ms = now_ms
  };
}

struct ab_sched_target *
ab_sched_choose_target (const struct ab_sched_service *service,
                        const struct ab_sched_summary *summary,
                        const struct ab_sched_slot_request *slot_request,
                        uint64_t waited_ms, bool local_only, uint64_t now_ms)
{
  struct choice choice
      = make_choice (service, summary, slot_request, waited_ms, now_ms);

  choice.worst_state = worst_state (
      service, summary, slot_request,
      subtract_waited (slot_request->timeout_ms, waited_ms), now_ms);
  choice.local_only = local_only;
  choice.explores = may_explore (service, summary, slot_request);
  return choose (&choice);
}

struct ab_sched_target *
ab_sched_choose_untested (const struct ab_sched_service *service,
                          const struct ab_sched_slot_request *slot_request,
                          uint64_t waited_ms, uint64_t now_ms)
{
  struct ab_sched_summary summary;
  struct choice choice;

  ab_sched_summarise (service, now_ms, &summary);
  if (summary.untested_free == 0)
    return NULL;
  choice = make_choice (service, &summary, slot_request, waited_ms, now_ms);
  choice.worst_state = AB_TARGET_UNTESTED;
  return choose (&choice);
}

/* Tokens of a target with a rate limit at an average moment, when its limit is
   used up.  */
#define MEAN_TOKENS 0.5

/* Adds TARGET with SLOTS, weighted by the probability that it is healthy, to
   CAPACITY.  */
static void
add_capacity (struct ab_sched_capacity *capacity,
              const struct ab_sched_target *target, double slots,
              double *most_lost, uint64_t now_ms)
{
  const struct ab_rate_bucket *rate = &target->rate;
  double healthy = 1 - ab_target_health_risk (&target->health, now_ms);
  double limited = slots;

  capacity->unlimited_slots += slots * healthy;
  if (rate->per_1000_s != AB_RATE_LIMIT_NONE)
    {
      double tokens = ab_rate_bucket_tokens (rate, now_ms);
      limited = (double)rate->per_1000_s / 1e6
                * ab_sched_typical_latency_ms (target->service);
      if (limited > slots)
        limited = slots;
      if (tokens < 1)
        capacity->tokens += (tokens - MEAN_TOKENS) * healthy;
    }
  capacity->slots += limited * healthy;
  if (slots - limited > *most_lost)
    {
      *most_lost = slots - limited;
      capacity->most_limited = target;
    }
}

void
ab_sched_measure_capacity (const struct ab_sched_service *service,
                           uint64_t now_ms, struct ab_sched_capacity *capacity)
{
  const struct ab_sched_target *target;
  double most_lost = 0;

  memset (capacity, 0, sizeof *capacity);
  DL_FOREACH (service->targets, target)
  if (ab_sched_target_accepts (target)
      && ab_target_health_state (&target->health, now_ms) <= AB_TARGET_SUSPECT)
    add_capacity (capacity, target,
                  (double)ab_sched_target_slots (target, now_ms), &most_lost,
                  now_ms);
  if (capacity->slots > (double)ab_sched_share_of_service (service))
    capacity->slots = (double)ab_sched_share_of_service (service);
  /* When a target's next token is there, the other targets have MEAN_TOKENS
     each.  */
  if (capacity->most_limited)
    capacity->tokens += MEAN_TOKENS;
}

uint64_t
ab_sched_requester_pause_ms (const struct ab_sched_service *service,
                             const struct ab_sched_slot_request *slot_request,
                             uint64_t now_ms)
{
  const struct ab_sched_target *target;
  uint64_t host = ab_rendezvous_hash (ab_chunk_str (slot_request->host));
  uint64_t least = 0;

  DL_FOREACH (service->targets, target)
  if (ab_sched_target_accepts (target))
    {
      uint64_t left = ab_sched_pause_left_ms (target, host, now_ms);
      if (left == 0)
        return 0;
      if (least == 0 || left < least)
        least = left;
    }
  return least;
}

bool
ab_sched_local_target_is_busy (
    const struct ab_sched_service *service,
    const struct ab_sched_slot_request *slot_request, uint64_t now_ms)
{
  const struct ab_sched_target *target;

  DL_FOREACH (service->targets, target)
  if (is_local (target, slot_request) && ab_sched_target_accepts (target)
      && !was_tried (slot_request, target)
      && target->rate.per_1000_s == AB_RATE_LIMIT_NONE
      && ab_target_health_state (&target->health, now_ms) == AB_TARGET_HEALTHY
      && target->in_flight >= ab_sched_target_slots (target, now_ms))
    return true;
  return false;
}
