/* Simulated targets: slots, queue, service times and faults.  */

#include <math.h>

#include "policy_world_lib.h"

#define US_PER_S 1000000ULL
#define SIGMA 0.5
#define TAIL_SIGMA 1.0
#define TAIL_SHARE 0.01
#define COLD_FACTOR 5.0
#define COLD_US (3 * US_PER_S)
#define DEATH_DOWN_MS 2000
#define LIE_BAD_US (3 * US_PER_S)
/* Length of a target's queue as a multiple of its slots.  */
#define QUEUE_FACTOR 8

static double
normal (struct ab_rng *rng)
{
  return sqrt (-2 * log (1 - ab_rng_unit (rng)))
         * cos (2 * 3.14159265358979 * ab_rng_unit (rng));
}

/* Returns a random service time with the mean FAKE_MEAN_MS, or a heavier tail
   for FAKE_TAIL.  */
static double
service_ms (struct policy_world *world)
{
  bool tail = world->setup.fault == FAKE_TAIL;
  double sigma = tail ? TAIL_SIGMA : SIGMA;
  double ms
      = FAKE_MEAN_MS * exp (sigma * normal (&world->rng) - sigma * sigma / 2);

  /* One request in a hundred takes 5 to 20 times the mean.  */
  if (tail && ab_rng_unit (&world->rng) < TAIL_SHARE)
    ms = FAKE_MEAN_MS * (5 + 15 * ab_rng_unit (&world->rng));
  return ms;
}

static bool
flaps_now (const struct policy_world *world)
{
  uint64_t since = world->now_us - world->setup.fault_from_s * US_PER_S;

  return since / (2 * US_PER_S) % 2 == 0;
}

static bool
lie_bad_slow (const struct policy_world *world)
{
  return world->now_us < world->setup.fault_from_s * US_PER_S + LIE_BAD_US;
}

bool
policy_lost (const struct policy_world *world, int host, int target)
{
  return world->setup.fault == FAKE_PARTITION && policy_fault_on (world)
         && world->targets[target].domain == 0 && host % FAKE_DOMAINS != 0;
}

bool
policy_touches (const struct policy_world *world, int host, int target)
{
  if (!policy_fault_on (world))
    return false;
  if (world->setup.fault == FAKE_PARTITION)
    return policy_lost (world, host, target);
  if (world->setup.fault == FAKE_DOMAIN_SLOW)
    return world->targets[target].domain == 0;
  if (target != world->sick)
    return false;
  switch (world->setup.fault)
    {
    case FAKE_SOME_CALLERS:
      return host / FAKE_DOMAINS < 2;
    case FAKE_LIE_BAD:
      return lie_bad_slow (world);
    case FAKE_FLAP:
      return flaps_now (world);
    case FAKE_CRASH:
      return world->targets[target].down;
    case FAKE_HEALTHY:
    case FAKE_COLD:
    case FAKE_DEATH:
    case FAKE_OVERLOAD:
    case FAKE_TAIL:
      return false;
    default:
      return true;
    }
}

static double
factor_of (const struct policy_world *world, int target)
{
  const struct policy_target *at = &world->targets[target];

  if (at->started_us && world->now_us < at->started_us + COLD_US
      && world->setup.fault != FAKE_DEATH)
    return COLD_FACTOR;
  if (world->setup.fault == FAKE_DOMAIN_SLOW && policy_fault_on (world))
    return at->domain == 0 ? 10 : 1;
  if (target != world->sick || !policy_fault_on (world))
    return 1;
  switch (world->setup.fault)
    {
    case FAKE_SLOW_10:
    case FAKE_LIE_GOOD:
      return 10;
    case FAKE_SLOW_3:
      return 3;
    case FAKE_FLAP:
      return flaps_now (world) ? 10 : 1;
    case FAKE_LIE_BAD:
      return lie_bad_slow (world) ? 10 : 1;
    default:
      return 1;
    }
}

static void
begin (struct policy_world *world, int id, int target, uint32_t gen)
{
  struct policy_target *at = &world->targets[target];
  const struct policy_request *request = &world->requests[id];
  double ms = service_ms (world) * factor_of (world, target);
  bool hangs = (world->setup.fault == FAKE_HANG
                || world->setup.fault == FAKE_SOME_CALLERS)
               && policy_touches (world, request->host, target);

  at->busy[at->busy_count++]
      = (struct policy_job){ .request = id, .gen = gen };
  if (!hangs)
    policy_push (world, world->now_us + (uint64_t)(ms * 1000), FAKE_EV_DONE,
                 id, target, gen);
}

static void
reply (struct policy_world *world, int id, uint32_t gen,
       enum ab_outcome_kind kind)
{
  policy_push (world, world->now_us + FAKE_TARGET_US, FAKE_EV_ANSWER, id,
               (int)kind, gen);
}

void
policy_reach (struct policy_world *world, int id, int target, uint32_t gen)
{
  struct policy_target *at = &world->targets[target];
  struct policy_request *request = &world->requests[id];
  size_t room = world->setup.policy == FAKE_TWO_CHOICES
                    ? 0
                    : world->setup.slots * QUEUE_FACTOR;

  if (policy_lost (world, request->host, target))
    return;
  if (at->down)
    reply (world, id, gen, AB_OUTCOME_REFUSED);
  else if (request->killer)
    {
      request->kills++;
      policy_crash (world, target, DEATH_DOWN_MS);
      reply (world, id, gen, AB_OUTCOME_RESET);
    }
  else if (at->busy_count < world->setup.slots)
    begin (world, id, target, gen);
  else if (at->queue_count < room && at->queue_count < FAKE_QUEUE_MAX)
    at->queue[at->queue_count++]
        = (struct policy_job){ .request = id, .gen = gen };
  else
    reply (world, id, gen, AB_OUTCOME_SHED);
}

static void
begin_next (struct policy_world *world, int target)
{
  struct policy_target *at = &world->targets[target];
  struct policy_job job;

  while (at->queue_count > 0 && at->busy_count < world->setup.slots)
    {
      job = at->queue[0];
      at->queue_count--;
      for (size_t i = 0; i < at->queue_count; i++)
        at->queue[i] = at->queue[i + 1];
      begin (world, job.request, target, job.gen);
    }
}

static bool
remove_job (struct policy_job *jobs, size_t *count, int request, uint32_t gen)
{
  for (size_t i = 0; i < *count; i++)
    if (jobs[i].request == request && jobs[i].gen == gen)
      {
        *count -= 1;
        for (; i < *count; i++)
          jobs[i] = jobs[i + 1];
        return true;
      }
  return false;
}

void
policy_done (struct policy_world *world, int id, int target, uint32_t gen)
{
  struct policy_target *at = &world->targets[target];
  bool error = world->setup.fault == FAKE_ERRORS
               && policy_touches (world, 0, target)
               && ab_rng_unit (&world->rng) < 0.3;

  if (!remove_job (at->busy, &at->busy_count, id, gen))
    return;
  reply (world, id, gen, error ? AB_OUTCOME_ERROR : AB_OUTCOME_OK);
  begin_next (world, target);
}

void
policy_cancel (struct policy_world *world, int id)
{
  const struct policy_request *request = &world->requests[id];
  struct policy_target *at = &world->targets[request->target];

  if (!remove_job (at->busy, &at->busy_count, id, request->gen))
    remove_job (at->queue, &at->queue_count, id, request->gen);
  begin_next (world, request->target);
}

void
policy_crash (struct policy_world *world, int target, uint64_t down_ms)
{
  struct policy_target *at = &world->targets[target];

  for (size_t i = 0; i < at->busy_count; i++)
    reply (world, at->busy[i].request, at->busy[i].gen, AB_OUTCOME_RESET);
  for (size_t i = 0; i < at->queue_count; i++)
    reply (world, at->queue[i].request, at->queue[i].gen, AB_OUTCOME_RESET);
  at->busy_count = 0;
  at->queue_count = 0;
  at->down = true;
  policy_push (world, world->now_us + down_ms * 1000, FAKE_EV_RESTART, target,
               0, 0);
}

void
policy_restart (struct policy_world *world, int target)
{
  struct policy_target *at = &world->targets[target];

  if (!at->down)
    return;
  at->down = false;
  at->started_us = world->now_us;
  at->incarnation++;
  if (world->setup.policy == FAKE_DISPATCHER)
    policy_dispatch_target (world, target, false);
}
