/* Simulated targets: slots, queue, service times and faults.  */

#include <math.h>

#include "policy_simulation_parts_lib.h"

#define US_PER_S 1000000ULL
#define SIGMA 0.5
#define TAIL_SIGMA 1.0
#define TAIL_SHARE 0.01
#define COLD_FACTOR 5.0
#define COLD_US (3 * US_PER_S)
#define CRASHING_DOWN_MS 2000
#define PROBES_FAIL_SLOW_US (3 * US_PER_S)
/* Length of a target's queue as a multiple of its slots.  */
#define QUEUE_FACTOR 8

static double
random_normal (struct ab_rng *rng)
{
  return sqrt (-2 * log (1 - ab_rng_unit (rng)))
         * cos (2 * 3.14159265358979 * ab_rng_unit (rng));
}

/* Returns a random service time with the mean POLICY_SERVICE_MEAN_MS, or a
   heavier tail for FAULT_HEAVY_TAIL.  */
static double
service_ms (struct policy_simulation *simulation)
{
  bool tail = simulation->setup.fault == FAULT_HEAVY_TAIL;
  double sigma = tail ? TAIL_SIGMA : SIGMA;
  double ms
      = POLICY_SERVICE_MEAN_MS
        * exp (sigma * random_normal (&simulation->rng) - sigma * sigma / 2);

  /* One request in a hundred takes 5 to 20 times the mean.  */
  if (tail && ab_rng_unit (&simulation->rng) < TAIL_SHARE)
    ms = POLICY_SERVICE_MEAN_MS * (5 + 15 * ab_rng_unit (&simulation->rng));
  return ms;
}

static bool
flaps_now (const struct policy_simulation *simulation)
{
  uint64_t since
      = simulation->now_us - simulation->setup.fault_from_s * US_PER_S;

  return since / (2 * US_PER_S) % 2 == 0;
}

static bool
slow_while_probes_fail (const struct policy_simulation *simulation)
{
  return simulation->now_us
         < simulation->setup.fault_from_s * US_PER_S + PROBES_FAIL_SLOW_US;
}

bool
policy_is_partitioned (const struct policy_simulation *simulation, int host,
                       int target)
{
  return simulation->setup.fault == FAULT_PARTITION
         && policy_fault_is_active (simulation)
         && simulation->targets[target].domain == 0
         && host % POLICY_DOMAINS != 0;
}

bool
policy_fault_affects (const struct policy_simulation *simulation, int host,
                      int target)
{
  if (!policy_fault_is_active (simulation))
    return false;
  if (simulation->setup.fault == FAULT_PARTITION)
    return policy_is_partitioned (simulation, host, target);
  if (simulation->setup.fault == FAULT_DOMAIN_SLOW)
    return simulation->targets[target].domain == 0;
  if (target != simulation->faulty_target)
    return false;
  switch (simulation->setup.fault)
    {
    case FAULT_HANG_FOR_SOME_HOSTS:
      return host / POLICY_DOMAINS < 2;
    case FAULT_SLOW_PROBES_FAIL:
      return slow_while_probes_fail (simulation);
    case FAULT_FLAP:
      return flaps_now (simulation);
    case FAULT_CRASH:
      return simulation->targets[target].down;
    case FAULT_NONE:
    case FAULT_COLD_RESTART:
    case FAULT_CRASHING_REQUESTS:
    case FAULT_OVERLOAD:
    case FAULT_HEAVY_TAIL:
      return false;
    default:
      return true;
    }
}

static double
slowdown_factor (const struct policy_simulation *simulation, int target)
{
  const struct policy_target *state = &simulation->targets[target];

  if (state->started_us && simulation->now_us < state->started_us + COLD_US
      && simulation->setup.fault != FAULT_CRASHING_REQUESTS)
    return COLD_FACTOR;
  if (simulation->setup.fault == FAULT_DOMAIN_SLOW
      && policy_fault_is_active (simulation))
    return state->domain == 0 ? 10 : 1;
  if (target != simulation->faulty_target
      || !policy_fault_is_active (simulation))
    return 1;
  switch (simulation->setup.fault)
    {
    case FAULT_SLOW_10:
    case FAULT_SLOW_PROBES_PASS:
      return 10;
    case FAULT_SLOW_3:
      return 3;
    case FAULT_FLAP:
      return flaps_now (simulation) ? 10 : 1;
    case FAULT_SLOW_PROBES_FAIL:
      return slow_while_probes_fail (simulation) ? 10 : 1;
    default:
      return 1;
    }
}

static void
begin_service (struct policy_simulation *simulation, int id, int target,
               uint32_t generation)
{
  struct policy_target *state = &simulation->targets[target];
  const struct policy_request *request = &simulation->requests[id];
  double ms = service_ms (simulation) * slowdown_factor (simulation, target);
  bool hangs = (simulation->setup.fault == FAULT_HANG
                || simulation->setup.fault == FAULT_HANG_FOR_SOME_HOSTS)
               && policy_fault_affects (simulation, request->host, target);

  state->busy[state->busy_count++]
      = (struct policy_job){ .request = id, .generation = generation };
  if (!hangs)
    policy_push (simulation, simulation->now_us + (uint64_t)(ms * 1000),
                 POLICY_EVENT_SERVICE_DONE, id, target, generation);
}

static void
push_response (struct policy_simulation *simulation, int id,
               uint32_t generation, enum ab_outcome_kind kind)
{
  policy_push (simulation, simulation->now_us + POLICY_TARGET_DELAY_US,
               POLICY_EVENT_RESPONSE, id, (int)kind, generation);
}

void
policy_reach_target (struct policy_simulation *simulation, int id, int target,
                     uint32_t generation)
{
  struct policy_target *state = &simulation->targets[target];
  struct policy_request *request = &simulation->requests[id];
  size_t queue_max = simulation->setup.policy == POLICY_TWO_CHOICES
                         ? 0
                         : simulation->setup.slots * QUEUE_FACTOR;

  if (policy_is_partitioned (simulation, request->host, target))
    return;
  if (state->down)
    push_response (simulation, id, generation, AB_OUTCOME_REFUSED);
  else if (request->crashes_target)
    {
      request->crashes++;
      policy_crash (simulation, target, CRASHING_DOWN_MS);
      push_response (simulation, id, generation, AB_OUTCOME_RESET);
    }
  else if (state->busy_count < simulation->setup.slots)
    begin_service (simulation, id, target, generation);
  else if (state->queue_count < queue_max
           && state->queue_count < POLICY_QUEUE_MAX)
    state->queue[state->queue_count++]
        = (struct policy_job){ .request = id, .generation = generation };
  else
    push_response (simulation, id, generation, AB_OUTCOME_SHED);
}

static void
begin_queued (struct policy_simulation *simulation, int target)
{
  struct policy_target *state = &simulation->targets[target];
  struct policy_job job;

  while (state->queue_count > 0 && state->busy_count < simulation->setup.slots)
    {
      job = state->queue[0];
      state->queue_count--;
      for (size_t i = 0; i < state->queue_count; i++)
        state->queue[i] = state->queue[i + 1];
      begin_service (simulation, job.request, target, job.generation);
    }
}

static bool
remove_job (struct policy_job *jobs, size_t *count, int request,
            uint32_t generation)
{
  for (size_t i = 0; i < *count; i++)
    if (jobs[i].request == request && jobs[i].generation == generation)
      {
        *count -= 1;
        for (; i < *count; i++)
          jobs[i] = jobs[i + 1];
        return true;
      }
  return false;
}

void
policy_done (struct policy_simulation *simulation, int id, int target,
             uint32_t generation)
{
  struct policy_target *state = &simulation->targets[target];
  bool error = simulation->setup.fault == FAULT_ERRORS
               && policy_fault_affects (simulation, 0, target)
               && ab_rng_unit (&simulation->rng) < 0.3;

  if (!remove_job (state->busy, &state->busy_count, id, generation))
    return;
  push_response (simulation, id, generation,
                 error ? AB_OUTCOME_ERROR : AB_OUTCOME_OK);
  begin_queued (simulation, target);
}

void
policy_cancel (struct policy_simulation *simulation, int id)
{
  const struct policy_request *request = &simulation->requests[id];
  struct policy_target *state = &simulation->targets[request->target];

  if (!remove_job (state->busy, &state->busy_count, id, request->generation))
    remove_job (state->queue, &state->queue_count, id, request->generation);
  begin_queued (simulation, request->target);
}

void
policy_crash (struct policy_simulation *simulation, int target,
              uint64_t down_ms)
{
  struct policy_target *state = &simulation->targets[target];

  for (size_t i = 0; i < state->busy_count; i++)
    push_response (simulation, state->busy[i].request,
                   state->busy[i].generation, AB_OUTCOME_RESET);
  for (size_t i = 0; i < state->queue_count; i++)
    push_response (simulation, state->queue[i].request,
                   state->queue[i].generation, AB_OUTCOME_RESET);
  state->busy_count = 0;
  state->queue_count = 0;
  state->down = true;
  policy_push (simulation, simulation->now_us + down_ms * 1000,
               POLICY_EVENT_RESTART, target, 0, 0);
}

void
policy_restart (struct policy_simulation *simulation, int target)
{
  struct policy_target *state = &simulation->targets[target];

  if (!state->down)
    return;
  state->down = false;
  state->started_us = simulation->now_us;
  state->incarnation++;
  if (simulation->setup.policy == POLICY_DISPATCHER)
    policy_dispatch_target (simulation, target, false);
}
