/* Grants of slots to requests.  */

#include <stdlib.h>

#include "dispatcher_internal.h"
#include "error.h"

/* A slot whose outcome never arrives is freed this long after the request's
   deadline, which leaves time for an outcome from another region.  */
#define LOST_MARGIN_MS 500
#define HOLD_STEP 0.05
#define GAP_STEP 0.02
/* Penalties of failures in the choice among targets; 1 weighs as much as a
   full load.  */
#define SHED_PENALTY 0.5
#define BROKEN_PENALTY 1.0
#define ERROR_PENALTY 0.3
/* Largest log-likelihood ratio of a good request on probation.  */
#define PROBATION_LLR_MAX 0.5

/* Returns a new entry of the table of grants, or null when the table or memory
   is full.  */
static struct ab_grant_entry *
allocate_grant (struct ab_dispatcher *dispatcher)
{
  struct ab_grant_entry *grant;
  size_t at;

  if (dispatcher->grant_free == 0)
    {
      at = dispatcher->grant_size;
      if (at == AB_GRANTS_MAX)
        return NULL;
      grant = realloc (dispatcher->grants, (at + 1) * sizeof *grant);
      if (!grant)
        return NULL;
      dispatcher->grants = grant;
      dispatcher->grants[at] = (struct ab_grant_entry){ .next_free = 0 };
      dispatcher->grant_size++;
      dispatcher->grant_free = at + 1;
    }
  at = dispatcher->grant_free - 1;
  grant = &dispatcher->grants[at];
  dispatcher->grant_free = grant->next_free;
  *grant = (struct ab_grant_entry){
    .used = true,
    .id = (++dispatcher->grant_serial << AB_GRANT_INDEX_BITS) | at
  };
  return grant;
}

void
ab_dispatcher_free_grant (struct ab_dispatcher *dispatcher,
                          struct ab_grant_entry *grant)
{
  grant->used = false;
  grant->next_free = dispatcher->grant_free;
  dispatcher->grant_free = (size_t)(grant - dispatcher->grants) + 1;
}

static void
record_grant_gap (struct ab_dispatcher *dispatcher, uint64_t now_ms)
{
  double gap_ms = (double)(now_ms - dispatcher->last_grant_ms);

  if (dispatcher->granted++ > 0)
    dispatcher->grant_gap_ms += GAP_STEP * (gap_ms - dispatcher->grant_gap_ms);
  dispatcher->last_grant_ms = now_ms;
}

bool
ab_dispatcher_try_grant (struct ab_dispatcher *dispatcher,
                         const struct ab_queue_entry *request, uint64_t now_ms)
{
  struct ab_target_entry *target
      = ab_dispatcher_choose (dispatcher, request, now_ms);
  struct ab_grant_entry *grant;

  if (!target)
    return false;
  grant = allocate_grant (dispatcher);
  if (!grant)
    return false;
  grant->target = target;
  grant->incarnation = target->incarnation;
  grant->class_id = request->class_id;
  grant->start_ms = now_ms;
  grant->expires_ms = request->deadline_ms + LOST_MARGIN_MS;
  grant->probation = target->state == AB_DISPATCH_STATE_PROBATION;
  memcpy (grant->requester, request->requester, sizeof grant->requester);
  grant->ticket = ab_detector_start (dispatcher->detector, target->detector_id,
                                     request->class_id, request->path, now_ms);
  target->in_use++;
  target->last_start_ms = now_ms;
  ab_rate_bucket_take (&target->rate, now_ms);
  record_grant_gap (dispatcher, now_ms);
  dispatcher->env->ops->grant (
      dispatcher->env,
      &(struct ab_dispatcher_grant){ .id = grant->id,
                                     .slot_request_id = request->id,
                                     .requester = request->requester,
                                     .target = target->address,
                                     .class_name = request->class_name });
  return true;
}

static double
penalty_of (enum ab_outcome_kind kind)
{
  switch (kind)
    {
    case AB_OUTCOME_SHED:
      return SHED_PENALTY;
    case AB_OUTCOME_REFUSED:
    case AB_OUTCOME_RESET:
    case AB_OUTCOME_TIMEOUT:
      return BROKEN_PENALTY;
    case AB_OUTCOME_ERROR:
      return ERROR_PENALTY;
    default:
      return 0;
    }
}

static bool
is_inconclusive (enum ab_outcome_kind kind)
{
  return kind == AB_OUTCOME_UNUSED || kind == AB_OUTCOME_CANCELLED;
}

static void
record_hold_time (struct ab_dispatcher *dispatcher,
                  const struct ab_grant_entry *grant, uint64_t now_ms)
{
  double held_ms = (double)(now_ms - grant->start_ms);

  if (dispatcher->mean_hold_ms <= 0)
    dispatcher->mean_hold_ms = held_ms;
  dispatcher->mean_hold_ms += HOLD_STEP * (held_ms - dispatcher->mean_hold_ms);
  dispatcher->last_outcome_ms = now_ms;
}

/* Frees the slot of GRANT and evaluates OUTCOME.  The target must still have
   the incarnation that the grant was for.  */
static void
end_grant (struct ab_dispatcher *dispatcher,
           const struct ab_grant_entry *grant,
           const struct ab_outcome *outcome, uint64_t now_ms)
{
  struct ab_target_entry *target = grant->target;
  double llr = ab_detector_finish (dispatcher->detector, target->detector_id,
                                   grant->ticket, outcome, now_ms);
  bool good = outcome->kind == AB_OUTCOME_OK && llr <= PROBATION_LLR_MAX;

  if (target->in_use > 0)
    target->in_use--;
  if (is_inconclusive (outcome->kind))
    return;
  record_hold_time (dispatcher, grant, now_ms);
  ab_target_entry_penalise (target, penalty_of (outcome->kind), now_ms);
  if (grant->probation)
    ab_dispatcher_assess_probation (dispatcher, target, good, now_ms);
  else if (llr > 0)
    ab_dispatcher_assess (dispatcher, now_ms);
}

int
ab_dispatcher_outcome (struct ab_dispatcher *dispatcher, uint64_t id,
                       const struct ab_outcome *outcome, uint64_t now_ms)
{
  size_t at = id & (AB_GRANTS_MAX - 1);
  struct ab_grant_entry grant;

  if (at >= dispatcher->grant_size || !dispatcher->grants[at].used
      || dispatcher->grants[at].id != id)
    return AB_ERR_NOT_FOUND;
  grant = dispatcher->grants[at];
  ab_dispatcher_free_grant (dispatcher, &dispatcher->grants[at]);
  if (grant.incarnation == grant.target->incarnation)
    end_grant (dispatcher, &grant, outcome, now_ms);
  ab_dispatcher_serve (dispatcher, now_ms);
  return 0;
}

void
ab_dispatcher_abandon_grant (struct ab_dispatcher *dispatcher,
                             struct ab_grant_entry *grant, uint64_t now_ms)
{
  static const struct ab_outcome lost = { .kind = AB_OUTCOME_UNUSED };

  if (grant->incarnation == grant->target->incarnation)
    end_grant (dispatcher, grant, &lost, now_ms);
  ab_dispatcher_free_grant (dispatcher, grant);
}

void
ab_dispatcher_remove_requester (struct ab_dispatcher *dispatcher,
                                const char *requester, uint64_t now_ms)
{
  for (size_t i = dispatcher->queued; i > 0; i--)
    if (strcmp (dispatcher->queue[i - 1]->requester, requester) == 0)
      ab_dispatcher_remove_queued (dispatcher, i - 1);
  for (size_t i = 0; i < dispatcher->grant_size; i++)
    if (dispatcher->grants[i].used
        && strcmp (dispatcher->grants[i].requester, requester) == 0)
      ab_dispatcher_abandon_grant (dispatcher, &dispatcher->grants[i], now_ms);
  ab_dispatcher_serve (dispatcher, now_ms);
}
