#include <utlist.h>

#include "rendezvous.h"
#include "scheduler_impl.h"

/* A target that got nothing for this long gets a request next, one that may be
   repeated sooner than another: most healthy targets have a request within any
   two seconds, whatever happens then, so that the load is on all of them when
   some are lost.  */
#define COVER_MS 1500
#define COVER_REPEATABLE_MS 900
/* A target that joined gets a request that may be repeated within this time,
   where there are such; any other then.  */
#define JOIN_MS 2000
/* The cost of a choice, where a request that fails and is lost costs 1.  Far
   targets cost traffic between failure domains, more with a body.  */
#define COST_FAR 0.005
#define COST_FAR_BULKY 0.012
/* A response that misses its objective.  */
#define COST_LATE 0.5
/* What may be repeated costs a repeat when it fails, and tells more the less
   sure the target is: it goes where least is known.  */
#define COST_RISK_REPEATABLE (-0.3)
/* How much less a target that sheds all is wanted.  */
#define COST_SHED 0.5
/* Between targets that are alike, the one with fewer requests.  */
#define COST_LOAD 0.002
/* Put before and behind all others.  */
#define COST_FIRST (-10.0)
#define COST_LAST 10.0
/* Work at an expected time of this part of the objective is never late, at
   this plus the range always.  */
#define LATE_FROM 0.5
#define LATE_RANGE 1.0
/* A request that must not repeat is urgent when less than this many times the
   usual time is left to it.  */
#define LAST_RESORT 2.5
/* It takes a target of which nothing is known while less than this part of
   them, and one, is being tried.  */
#define EXPLORED_PART 12

static bool
tried (const struct ab_sched_ask *ask, const struct ab_sched_target *target)
{
  for (size_t i = 0; i < ask->tried_count; i++)
    if (strcmp (ask->tried[i], target->known.id) == 0)
      return true;
  return false;
}

static bool
is_near (const struct ab_sched_target *target, const struct ab_sched_ask *ask)
{
  return strcmp (target->known.failure_domain, ask->failure_domain) == 0;
}

/* One request that is to be placed.  */
struct choice
{
  const struct ab_sched_service *service;
  const struct ab_sched_ask *ask;
  uint64_t host;
  uint64_t objective_ms; /* What is left of it.  */
  enum ab_target_trust least_trust;
  bool near;
  bool trouble; /* Many requests are not served.  */
  uint64_t now_ms;
};

static bool
is_ready (const struct ab_sched_target *target, uint64_t now_ms)
{
  return target->known.state == AB_FLEET_TARGET_READY
         && now_ms >= target->health.busy_until_ms;
}

static void
count_target (struct ab_sched_summary *summary,
              const struct ab_sched_target *target, uint64_t now_ms)
{
  enum ab_target_trust trust
      = ab_target_health_trust (&target->health, now_ms);
  bool is_free = is_ready (target, now_ms)
                 && target->in_flight < ab_sched_slots (target, now_ms);

  summary->ready++;
  summary->trusted += trust < AB_TRUST_TRIAL;
  summary->trials += trust != AB_TRUST_PROVEN && target->trials > 0;
  summary->proven_free += is_free && trust == AB_TRUST_PROVEN;
  summary->new_free += is_free && trust == AB_TRUST_NEW;
  summary->trial_free += is_free && trust == AB_TRUST_TRIAL;
}

void
ab_sched_summarise (const struct ab_sched_service *service, uint64_t now_ms,
                    struct ab_sched_summary *summary)
{
  const struct ab_sched_target *target;

  memset (summary, 0, sizeof *summary);
  DL_FOREACH (service->targets, target)
  if (target->known.state == AB_FLEET_TARGET_READY)
    count_target (summary, target, now_ms);
}

/* How little trusted a target may be that takes ASK, which has LEFT_MS.  What
   may be repeated goes anywhere.  What must not is tried in other regions
   before it goes to a target that failed, and these give it none of theirs.
   It waits for a proven target while there is time and others prove some:
   after a start nothing is known of any target, and a burst of orders would
   find out all the gray ones at its own cost.  */
static enum ab_target_trust
least_trust (const struct ab_sched_service *service,
             const struct ab_sched_summary *summary,
             const struct ab_sched_ask *ask, uint64_t left_ms)
{
  bool is_urgent = (double)left_ms < LAST_RESORT * ab_sched_usual_ms (service);

  if (ask->idempotent)
    return AB_TRUST_TRIAL;
  if (!ask->may_move && ask->may_wait && (is_urgent || summary->trusted == 0))
    return AB_TRUST_TRIAL;
  if (is_urgent || summary->trials < 1 + summary->ready / EXPLORED_PART)
    return AB_TRUST_NEW;
  return AB_TRUST_PROVEN;
}

/* Whether TARGET has been idle so long that it gets the next request.  What
   must not repeat goes to targets that are not trusted only while many
   requests are not served: trust in few targets must not leave most of a
   service idle.  */
static bool
is_due (const struct choice *choice, const struct ab_sched_target *target,
        enum ab_target_trust trust)
{
  uint64_t idle_ms = choice->now_ms - target->granted_ms;

  if (target->trials > 0)
    return false;
  if (choice->ask->idempotent)
    return idle_ms > COVER_REPEATABLE_MS && !choice->ask->repeat;
  return idle_ms > COVER_MS && (trust == AB_TRUST_PROVEN || choice->trouble);
}

static bool
is_eligible (const struct choice *choice, const struct ab_sched_target *target,
             enum ab_target_trust trust)
{
  if (!is_ready (target, choice->now_ms) || trust == AB_TRUST_OUT
      || target->in_flight >= ab_sched_slots (target, choice->now_ms)
      || tried (choice->ask, target)
      || (choice->near && !is_near (target, choice->ask))
      || ab_sched_path_broken (target, choice->host, choice->now_ms))
    return false;
  return trust <= choice->least_trust || is_due (choice, target, trust);
}

/* The part of responses that miss the objective.  */
static double
late_share (const struct choice *choice, const struct ab_sched_target *target)
{
  double expected = target->health.latency_ms > 0
                        ? target->health.latency_ms
                        : ab_sched_usual_ms (choice->service);
  double share;

  if (choice->objective_ms == 0)
    return 1;
  if (choice->now_ms < target->cold_until_ms)
    expected *= 2;
  share = (expected / (double)choice->objective_ms - LATE_FROM) / LATE_RANGE;
  return share < 0 ? 0 : share > 1 ? 1 : share;
}

/* Requests that may be repeated try targets of which little is known, one at a
   time, before others.  The others go where requests went well just now: few
   targets that are in steady use are seen to turn gray at once, at the cost of
   one request each.  */
static double
cost_of (const struct choice *choice, const struct ab_sched_target *target,
         enum ab_target_trust trust)
{
  const struct ab_sched_ask *ask = choice->ask;
  bool probes = ask->idempotent && !ask->repeat;
  double cost = ab_target_health_risk (&target->health, choice->now_ms);

  if (is_due (choice, target, trust))
    return COST_FIRST;
  if (trust == AB_TRUST_NEW && !target->used && !ask->repeat
      && (probes || choice->now_ms - target->joined_ms > JOIN_MS))
    return COST_FIRST;
  if (probes)
    cost *= COST_RISK_REPEATABLE;
  if (probes && trust != AB_TRUST_PROVEN && target->trials > 0)
    cost += COST_LAST;
  if (!is_near (target, ask))
    cost += ask->bulky ? COST_FAR_BULKY : COST_FAR;
  return cost + COST_LATE * late_share (choice, target)
         + COST_SHED * target->health.shed_rate
         + COST_LOAD * (double)target->in_flight
               / (double)ab_sched_slots (target, choice->now_ms);
}

static uint64_t
what_is_left (uint64_t time_ms, uint64_t waited_ms)
{
  return time_ms > waited_ms ? time_ms - waited_ms : 0;
}

bool
ab_sched_may_choose (const struct ab_sched_service *service,
                     const struct ab_sched_summary *summary,
                     const struct ab_sched_ask *ask, uint64_t waited_ms,
                     uint64_t now_ms)
{
  size_t free_targets = summary->proven_free;
  enum ab_target_trust least = least_trust (
      service, summary, ask, what_is_left (ask->time_ms, waited_ms));

  if (least >= AB_TRUST_NEW)
    free_targets += summary->new_free;
  if (least >= AB_TRUST_TRIAL)
    free_targets += summary->trial_free;
  return free_targets > 0 || ab_sched_in_trouble (&service->trouble, now_ms);
}

struct ab_sched_target *
ab_sched_choose_target (const struct ab_sched_service *service,
                        const struct ab_sched_summary *summary,
                        const struct ab_sched_ask *ask, uint64_t waited_ms,
                        bool near, uint64_t now_ms)
{
  const struct choice choice
      = { .service = service,
          .ask = ask,
          .host = ab_rendezvous_hash (ab_chunk_str (ask->host)),
          .objective_ms = what_is_left (ask->objective_ms, waited_ms),
          .least_trust = least_trust (service, summary, ask,
                                      what_is_left (ask->time_ms, waited_ms)),
          .near = near,
          .trouble = ab_sched_in_trouble (&service->trouble, now_ms),
          .now_ms = now_ms };
  struct ab_sched_target *best = NULL;
  struct ab_sched_target *target;
  double best_cost = 0;

  DL_FOREACH (service->targets, target)
  {
    enum ab_target_trust trust
        = ab_target_health_trust (&target->health, now_ms);
    double cost;

    if (!is_eligible (&choice, target, trust))
      continue;
    cost = cost_of (&choice, target, trust);
    if (best && cost >= best_cost)
      continue;
    best = target;
    best_cost = cost;
  }
  return best;
}

double
ab_sched_usable_slots (const struct ab_sched_service *service, uint64_t now_ms)
{
  double usable = 0;
  const struct ab_sched_target *target;

  DL_FOREACH (service->targets, target)
  if (target->known.state == AB_FLEET_TARGET_READY
      && ab_target_health_trust (&target->health, now_ms) <= AB_TRUST_TRIAL)
    usable += (double)ab_sched_slots (target, now_ms)
              * (1 - ab_target_health_risk (&target->health, now_ms));
  return usable;
}

bool
ab_sched_near_is_busy (const struct ab_sched_service *service,
                       const struct ab_sched_ask *ask, uint64_t now_ms)
{
  const struct ab_sched_target *target;

  DL_FOREACH (service->targets, target)
  if (is_near (target, ask) && target->known.state == AB_FLEET_TARGET_READY
      && !tried (ask, target)
      && ab_target_health_trust (&target->health, now_ms) == AB_TRUST_PROVEN
      && target->in_flight >= ab_sched_slots (target, now_ms))
    return true;
  return false;
}
