#include "dispatcher.h"

#include <math.h>
#include <stdlib.h>

#include "dispatcher_internal.h"
#include "error.h"
#include "rate_limit.h"

/* Fraction of the free slots in other failure domains that requests of this
   dispatcher may try to use until the next report.  */
#define SPILL_SHARE 1.0
#define REPORT_MS 1000

struct ab_dispatcher *
ab_dispatcher_new (struct ab_dispatcher_env *env,
                   const struct ab_dispatcher_options *options,
                   struct ab_rng *rng)
{
  struct ab_dispatcher *dispatcher = calloc (1, sizeof *dispatcher);

  if (!dispatcher)
    return NULL;
  dispatcher->env = env;
  dispatcher->rng = rng;
  dispatcher->options = *options;
  dispatcher->detector = ab_detector_new (options->detection_weight);
  if (!dispatcher->detector)
    {
      free (dispatcher);
      return NULL;
    }
  return dispatcher;
}

void
ab_dispatcher_free (struct ab_dispatcher *dispatcher)
{
  if (!dispatcher)
    return;
  free (dispatcher->grants);
  for (size_t i = 0; i < dispatcher->queued; i++)
    free (dispatcher->queue[i]);
  free (dispatcher->queue);
  for (size_t i = 0; i < dispatcher->target_count; i++)
    free (dispatcher->targets[i]);
  free (dispatcher->targets);
  ab_detector_free (dispatcher->detector);
  free (dispatcher);
}

void
ab_dispatcher_configure (struct ab_dispatcher *dispatcher,
                         const struct ab_dispatcher_options *options)
{
  dispatcher->options = *options;
  ab_detector_set_weight (dispatcher->detector, options->detection_weight);
}

static struct ab_target_entry *
find_target (const struct ab_dispatcher *dispatcher, const char *address)
{
  for (size_t i = 0; i < dispatcher->target_count; i++)
    if (strcmp (dispatcher->targets[i]->address, address) == 0)
      return dispatcher->targets[i];
  return NULL;
}

static int
add_target (struct ab_dispatcher *dispatcher, const char *address,
            uint64_t cold_ms, uint64_t now_ms, struct ab_target_entry **target)
{
  struct ab_target_entry **grown
      = realloc (dispatcher->targets, (dispatcher->target_count + 1)
                                          * sizeof (struct ab_target_entry *));

  if (!grown)
    return AB_ERR_MEMORY;
  dispatcher->targets = grown;
  *target = calloc (1, sizeof **target);
  if (!*target)
    return AB_ERR_MEMORY;
  (*target)->detector_id = ab_detector_add (
      dispatcher->detector, ab_dispatcher_hash (address), cold_ms, now_ms);
  if ((*target)->detector_id < 0)
    {
      int rc = (*target)->detector_id;

      free (*target);
      return rc;
    }
  ab_chunk_copy_bounded (ab_chunk_str (address), (*target)->address,
                         sizeof (*target)->address);
  grown[dispatcher->target_count++] = *target;
  return 0;
}

static void
begin_slow_start (struct ab_target_entry *target, uint64_t cold_ms,
                  uint64_t now_ms)
{
  target->slow_start_begin_ms = now_ms;
  target->slow_start_end_ms = now_ms + cold_ms;
}

/* Discards the state of TARGET, since a new process serves at its address.  */
static void
restart_target (struct ab_dispatcher *dispatcher,
                struct ab_target_entry *target, uint64_t incarnation,
                uint64_t now_ms)
{
  struct ab_evidence evidence = { .cause = AB_CAUSE_COLD };

  target->incarnation = incarnation;
  target->in_use = 0;
  target->penalty = 0;
  memset (&target->rate, 0, sizeof target->rate);
  ab_dispatcher_cancel_ejection (dispatcher, target);
  target->state = AB_DISPATCH_STATE_ACTIVE;
  ab_detector_reset (dispatcher->detector, target->detector_id, false,
                     dispatcher->options.slow_start_ms, now_ms);
  begin_slow_start (target, dispatcher->options.slow_start_ms, now_ms);
  ab_dispatcher_report_event (dispatcher, target, AB_DISPATCH_RESTARTED,
                              &evidence, now_ms);
}

int
ab_dispatcher_set_target (struct ab_dispatcher *dispatcher,
                          const struct ab_dispatcher_target *spec, bool warm,
                          uint64_t now_ms)
{
  uint64_t cold_ms = warm ? 0 : dispatcher->options.slow_start_ms;
  struct ab_target_entry *target = find_target (dispatcher, spec->address);
  int rc;

  if (strlen (spec->address) >= AB_DISPATCHER_NAME_BYTES || spec->slots == 0)
    return AB_ERR_INVALID;
  if (!target)
    {
      rc = add_target (dispatcher, spec->address, cold_ms, now_ms, &target);
      if (rc < 0)
        return rc;
      target->incarnation = spec->incarnation;
      begin_slow_start (target, cold_ms, now_ms);
    }
  else if (spec->incarnation > target->incarnation)
    restart_target (dispatcher, target, spec->incarnation, now_ms);
  target->slots = spec->slots;
  target->draining = spec->draining;
  if (spec->draining)
    {
      ab_dispatcher_cancel_ejection (dispatcher, target);
      target->state = AB_DISPATCH_STATE_DRAINING;
    }
  else if (target->state == AB_DISPATCH_STATE_DRAINING)
    target->state = AB_DISPATCH_STATE_ACTIVE;
  ab_dispatcher_serve (dispatcher, now_ms);
  return 0;
}

void
ab_dispatcher_remove_target (struct ab_dispatcher *dispatcher,
                             const char *address, uint64_t now_ms)
{
  struct ab_target_entry *target = find_target (dispatcher, address);
  size_t at = 0;

  if (!target)
    return;
  for (size_t i = 0; i < dispatcher->grant_size; i++)
    if (dispatcher->grants[i].used && dispatcher->grants[i].target == target)
      ab_dispatcher_free_grant (dispatcher, &dispatcher->grants[i]);
  ab_dispatcher_cancel_ejection (dispatcher, target);
  ab_detector_remove (dispatcher->detector, target->detector_id);
  while (dispatcher->targets[at] != target)
    at++;
  dispatcher->targets[at] = dispatcher->targets[--dispatcher->target_count];
  free (target);
  ab_dispatcher_serve (dispatcher, now_ms);
}

void
ab_dispatcher_set_rate_limit (struct ab_dispatcher *dispatcher,
                              const char *address, uint64_t per_1000_s,
                              uint64_t now_ms)
{
  struct ab_target_entry *target = find_target (dispatcher, address);

  if (!target)
    return;
  ab_rate_bucket_set (&target->rate, per_1000_s, now_ms);
  ab_dispatcher_serve (dispatcher, now_ms);
}

void
ab_dispatcher_set_remote_capacity (struct ab_dispatcher *dispatcher,
                                   uint64_t announced, uint64_t out,
                                   uint64_t idle)
{
  double mean_hold_ms = fmax (1, dispatcher->mean_hold_ms);

  dispatcher->remote_announced_slots = announced;
  dispatcher->remote_out_slots = out;
  dispatcher->spill_tokens
      = SPILL_SHARE * (double)idle * REPORT_MS / mean_hold_ms;
}

bool
ab_dispatcher_has_active_target (const struct ab_dispatcher *dispatcher)
{
  for (size_t i = 0; i < dispatcher->target_count; i++)
    if (dispatcher->targets[i]->state == AB_DISPATCH_STATE_ACTIVE)
      return true;
  return false;
}

void
ab_dispatcher_request_slot (
    struct ab_dispatcher *dispatcher,
    const struct ab_dispatcher_slot_request *slot_request, uint64_t now_ms)
{
  struct ab_queue_entry request
      = { .id = slot_request->id,
          .priority = slot_request->priority,
          .deadline_ms = slot_request->deadline_ms,
          .path = ab_dispatcher_hash (slot_request->requester),
          .spilled = slot_request->spilled,
          .no_spill = slot_request->no_spill,
          .rate_divisor = slot_request->rate_divisor };

  ab_chunk_copy_bounded (ab_chunk_str (slot_request->requester),
                         request.requester, sizeof request.requester);
  ab_chunk_copy_bounded (slot_request->class_name, request.class_name,
                         sizeof request.class_name);
  request.class_id
      = ab_detector_class (dispatcher->detector, slot_request->class_name);
  for (size_t i = 0;
       i < slot_request->excluded_count && i < AB_DISPATCHER_EXCLUDED_MAX; i++)
    if (ab_chunk_copy (ab_chunk_str (slot_request->excluded[i]),
                       request.excluded[request.excluded_count],
                       sizeof request.excluded[0]))
      request.excluded_count++;
  ab_dispatcher_enqueue (dispatcher, &request, now_ms);
}

void
ab_dispatcher_cancel (struct ab_dispatcher *dispatcher, const char *requester,
                      uint64_t slot_request_id)
{
  for (size_t i = 0; i < dispatcher->queued; i++)
    if (dispatcher->queue[i]->id == slot_request_id
        && strcmp (dispatcher->queue[i]->requester, requester) == 0)
      {
        ab_dispatcher_remove_queued (dispatcher, i);
        return;
      }
}

void
ab_dispatcher_observe (struct ab_dispatcher *dispatcher, const char *address,
                       struct ab_chunk class_name, const char *path,
                       const struct ab_outcome *outcome, uint64_t now_ms)
{
  struct ab_target_entry *target = find_target (dispatcher, address);
  uint64_t took_ms = outcome->latency_us / 1000;
  int class_id;
  int ticket;

  if (!target)
    return;
  class_id = ab_detector_class (dispatcher->detector, class_name);
  ticket = ab_detector_start (dispatcher->detector, target->detector_id,
                              class_id, ab_dispatcher_hash (path),
                              took_ms < now_ms ? now_ms - took_ms : 0);
  ab_detector_finish (dispatcher->detector, target->detector_id, ticket,
                      outcome, now_ms);
}

void
ab_dispatcher_tick (struct ab_dispatcher *dispatcher, uint64_t now_ms)
{
  for (size_t i = 0; i < dispatcher->grant_size; i++)
    if (dispatcher->grants[i].used
        && now_ms >= dispatcher->grants[i].expires_ms)
      ab_dispatcher_abandon_grant (dispatcher, &dispatcher->grants[i], now_ms);
  ab_dispatcher_assess (dispatcher, now_ms);
  ab_dispatcher_check_ejected (dispatcher, now_ms);
  ab_dispatcher_serve (dispatcher, now_ms);
}

struct ab_detector *
ab_dispatcher_detector (struct ab_dispatcher *dispatcher)
{
  return dispatcher->detector;
}

void
ab_dispatcher_totals (const struct ab_dispatcher *dispatcher,
                      struct ab_dispatcher_totals *totals)
{
  *totals = (struct ab_dispatcher_totals){
    .queued = dispatcher->queued,
    .permits_held = dispatcher->permits,
    .granted = dispatcher->granted,
    .refused = dispatcher->refused,
    .ejections = dispatcher->ejections,
  };
  for (size_t i = 0; i < dispatcher->target_count; i++)
    {
      const struct ab_target_entry *target = dispatcher->targets[i];

      totals->in_use += target->in_use;
      if (target->state == AB_DISPATCH_STATE_DRAINING)
        continue;
      totals->announced_slots += target->slots;
      if (target->state != AB_DISPATCH_STATE_ACTIVE)
        totals->out_slots += target->slots;
      else if (target->slots > target->in_use
               && target->rate.per_1000_s == AB_RATE_LIMIT_NONE)
        totals->idle_slots += target->slots - target->in_use;
    }
}

bool
ab_dispatcher_view (struct ab_dispatcher *dispatcher, size_t index,
                    uint64_t now_ms, struct ab_dispatcher_view *view)
{
  struct ab_target_entry *target;

  if (index >= dispatcher->target_count)
    return false;
  target = dispatcher->targets[index];
  *view = (struct ab_dispatcher_view){
    .address = target->address,
    .state = target->state,
    .slots = target->slots,
    .allowed = ab_target_entry_allowed_slots (target, now_ms),
    .in_use = target->in_use,
    .ejected_until_ms = target->ejected_until_ms,
    .ejection_level = target->ejection_level,
    .evidence = target->last_evidence,
  };
  if (target->state == AB_DISPATCH_STATE_ACTIVE)
    ab_detector_assess (dispatcher->detector, target->detector_id, now_ms,
                        &view->evidence);
  return true;
}

/* FNV-1a, which gives the same value on all hosts.  */
uint32_t
ab_dispatcher_hash (const char *name)
{
  uint32_t hash = 2166136261U;

  for (; *name; name++)
    hash = (hash ^ (unsigned char)*name) * 16777619U;
  return hash;
}

const char *
ab_dispatch_event_name (enum ab_dispatch_event_kind kind)
{
  static const char *const names[]
      = { "ejected",        "refused_by_floor", "refused_by_permit",
          "probation",      "exiled_again",     "readmitted",
          "permit_revoked", "restarted",        "path_avoided" };

  return (size_t)kind < sizeof names / sizeof names[0] ? names[kind]
                                                       : "unknown";
}

const char *
ab_dispatch_state_name (enum ab_dispatch_state state)
{
  static const char *const names[]
      = { "active", "exile", "probation", "draining" };

  return (size_t)state < sizeof names / sizeof names[0] ? names[state]
                                                        : "unknown";
}
