#include "policy_fake_lib.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "policy_world_lib.h"

#define US_PER_S 1000000ULL
#define RETRY_FRACTION 0.1
#define DEATH_PERIOD_US (3 * US_PER_S)
#define DOWN_MS 5000
/* A target counts as detected from the time on at which it gets at most 5% of
   its normal requests for this long.  */
#define GONE_BINS (2 * FAKE_BINS_PER_S)
#define GONE_SHARE 0.05

static bool
before (const struct policy_event *a, const struct policy_event *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

void
policy_push (struct policy_world *world, uint64_t at_us,
             enum policy_event_kind kind, int a, int b, uint32_t gen)
{
  struct policy_event event = { .at_us = at_us,
                                .order = world->order++,
                                .kind = kind,
                                .a = a,
                                .b = b,
                                .gen = gen };
  size_t at = world->heap_count++;

  if (at == world->heap_size)
    {
      world->heap_size = world->heap_size ? 2 * world->heap_size : 1024;
      world->heap
          = realloc (world->heap, world->heap_size * sizeof *world->heap);
      if (!world->heap)
        abort ();
    }
  for (; at > 0 && before (&event, &world->heap[(at - 1) / 2]);
       at = (at - 1) / 2)
    world->heap[at] = world->heap[(at - 1) / 2];
  world->heap[at] = event;
}

static struct policy_event
pop (struct policy_world *world)
{
  struct policy_event first = world->heap[0];
  struct policy_event last = world->heap[--world->heap_count];
  size_t at = 0;

  for (;;)
    {
      size_t child = 2 * at + 1;

      if (child >= world->heap_count)
        break;
      if (child + 1 < world->heap_count
          && before (&world->heap[child + 1], &world->heap[child]))
        child++;
      if (!before (&world->heap[child], &last))
        break;
      world->heap[at] = world->heap[child];
      at = child;
    }
  world->heap[at] = last;
  return first;
}

bool
policy_fault_on (const struct policy_world *world)
{
  return world->now_us >= world->setup.fault_from_s * US_PER_S
         && world->now_us < world->setup.fault_to_s * US_PER_S;
}

static int
new_request (struct policy_world *world)
{
  struct policy_request *grown;
  size_t at = world->free_request;

  while (at < world->request_count && world->requests[at].used)
    at++;
  world->free_request = at + 1;
  if (at == world->request_count)
    {
      grown = realloc (world->requests, (at + 1) * sizeof *grown);
      if (!grown)
        abort ();
      world->requests = grown;
      world->requests[at] = (struct policy_request){ .gen = 0 };
      world->request_count++;
    }
  world->requests[at]
      = (struct policy_request){ .used = true,
                                 .gen = world->requests[at].gen + 1,
                                 .arrival_us = world->now_us,
                                 .target = -1 };
  return (int)at;
}

static void
start_request (struct policy_world *world, bool killer)
{
  int id = new_request (world);
  struct policy_request *request = &world->requests[id];

  request->host = (int)ab_rng_below (&world->rng, FAKE_HOSTS);
  request->deadline_us = world->now_us + FAKE_DEADLINE_MS * 1000;
  request->killer = killer;
  world->result->requests++;
  world->result->arrived[world->now_us / US_PER_S]++;
  ab_retry_budget_request (&world->hosts[request->host].budget,
                           world->now_us / 1000);
  policy_push (world, request->deadline_us, FAKE_EV_DEADLINE, id, 0, 0);
  policy_start_attempt (world, id);
}

void
policy_start_attempt (struct policy_world *world, int id)
{
  struct policy_request *request = &world->requests[id];

  request->gen++;
  request->attempts++;
  request->sent = false;
  request->granted = false;
  request->spills = 0;
  if (world->setup.policy == FAKE_DISPATCHER)
    policy_dispatch_start (world, id);
  else
    policy_choose (world, id);
}

static void
arrive (struct policy_world *world)
{
  double rate = world->setup.utilisation * (double)world->setup.targets
                * (double)world->setup.slots / (FAKE_MEAN_MS / 1000);

  if (world->setup.fault == FAKE_OVERLOAD && policy_fault_on (world))
    rate *= 3 / world->setup.utilisation;
  policy_push (world,
               world->now_us
                   + (uint64_t)(-log (1 - ab_rng_unit (&world->rng)) / rate
                                * (double)US_PER_S),
               FAKE_EV_ARRIVAL, 0, 0, 0);
  start_request (world, false);
}

void
policy_finish (struct policy_world *world, int id, bool good, bool refused)
{
  struct policy_request *request = &world->requests[id];

  request->used = false;
  request->gen++;
  if ((size_t)id < world->free_request)
    world->free_request = (size_t)id;
  if (good)
    world->result->good[world->now_us / US_PER_S]++;
  else if (!request->killer)
    world->result->failed++;
  if (refused)
    world->result->refused++;
  if (good && world->now_us - request->arrival_us > FAKE_SLOW_MS * 1000)
    world->result->slow++;
}

void
policy_send (struct policy_world *world, int id, int target)
{
  struct policy_request *request = &world->requests[id];

  request->target = target;
  request->sent = true;
  request->sent_us = world->now_us;
  if (policy_touches (world, request->host, target))
    {
      if (!world->first_bad_us)
        world->first_bad_us = world->now_us;
      world->sick_sends[world->now_us * FAKE_BINS_PER_S / US_PER_S]++;
    }
  policy_push (world, world->now_us + FAKE_TARGET_US, FAKE_EV_REACH, id,
               target, request->gen);
}

static void
report (struct policy_world *world, int id, enum ab_outcome_kind kind)
{
  if (world->setup.policy == FAKE_DISPATCHER)
    policy_dispatch_outcome (world, id, kind);
  else
    policy_chosen_done (world, id, kind);
}

static bool
may_retry (struct policy_world *world, const struct policy_request *request,
           enum ab_outcome_kind kind)
{
  struct ab_retry_budget *budget = &world->hosts[request->host].budget;

  if (request->attempts >= FAKE_ATTEMPTS || request->kills >= 2)
    return false;
  /* In this policy targets shed load as a matter of course, so these retries
     do not use the budget.  */
  if (kind == AB_OUTCOME_SHED && world->setup.policy == FAKE_TWO_CHOICES)
    return true;
  return ab_retry_budget_take (budget, world->now_us / 1000);
}

static void
answer (struct policy_world *world, int id, enum ab_outcome_kind kind)
{
  struct policy_request *request = &world->requests[id];

  report (world, id, kind);
  request->sent = false;
  if (kind == AB_OUTCOME_OK)
    {
      policy_finish (world, id, true, false);
      return;
    }
  if (!may_retry (world, request, kind))
    {
      policy_finish (world, id, false, false);
      return;
    }
  world->result->retries++;
  if (request->excluded_count < AB_DISPATCHER_EXCLUDED_MAX)
    request->excluded[request->excluded_count++] = request->target;
  policy_start_attempt (world, id);
}

static void
expire (struct policy_world *world, int id)
{
  struct policy_request *request = &world->requests[id];

  if (!request->used || world->now_us < request->deadline_us)
    return;
  if (request->sent)
    {
      policy_cancel (world, id);
      report (world, id, AB_OUTCOME_TIMEOUT);
    }
  else if (world->setup.policy == FAKE_DISPATCHER)
    policy_dispatch_cancel (world, id);
  policy_finish (world, id, false, false);
}

static void
tick (struct policy_world *world)
{
  if (world->setup.policy == FAKE_DISPATCHER)
    policy_dispatch_tick (world);
  policy_push (world, world->now_us + AB_DISPATCHER_TICK_MS * 1000,
               FAKE_EV_TICK, 0, 0, 0);
}

static void
each_second (struct policy_world *world)
{
  if (world->setup.policy == FAKE_DISPATCHER)
    policy_dispatch_evidence (world);
  if (world->setup.policy == FAKE_LEASES)
    policy_divide_leases (world);
  policy_push (world, world->now_us + US_PER_S, FAKE_EV_EVIDENCE, 0, 0, 0);
}

static void
kill_something (struct policy_world *world)
{
  if (policy_fault_on (world))
    start_request (world, true);
  policy_push (world, world->now_us + DEATH_PERIOD_US, FAKE_EV_DEATH, 0, 0, 0);
}

static void
handle (struct policy_world *world, const struct policy_event *event)
{
  struct policy_request *request = &world->requests[event->a];
  struct policy_env *domain = &world->domains[event->a % FAKE_DOMAINS];

  switch (event->kind)
    {
    case FAKE_EV_ARRIVAL:
      arrive (world);
      return;
    case FAKE_EV_DEADLINE:
      expire (world, event->a);
      return;
    case FAKE_EV_DONE:
      policy_done (world, event->a, event->b, event->gen);
      return;
    case FAKE_EV_TICK:
      tick (world);
      return;
    case FAKE_EV_EVIDENCE:
      each_second (world);
      return;
    case FAKE_EV_PERMIT:
      ab_dispatcher_permit (domain->dispatcher, event->b,
                            world->now_us / 1000);
      return;
    case FAKE_EV_PROBED:
      domain = &world->domains[world->targets[event->a].domain];
      ab_dispatcher_probed (domain->dispatcher, world->targets[event->a].name,
                            event->b, world->now_us / 1000);
      return;
    case FAKE_EV_CRASH:
      policy_crash (world, world->sick,
                    world->setup.fault == FAKE_CRASH ? DOWN_MS : 0);
      return;
    case FAKE_EV_RESTART:
      policy_restart (world, event->a);
      return;
    case FAKE_EV_DEATH:
      kill_something (world);
      return;
    default:
      break;
    }
  if (!request->used || request->gen != event->gen)
    return;
  if (event->kind == FAKE_EV_ASK)
    policy_dispatch_ask (world, event->a, event->b);
  else if (event->kind == FAKE_EV_GRANTED)
    policy_send (world, event->a, event->b);
  else if (event->kind == FAKE_EV_REFUSED)
    policy_dispatch_refused (world, event->a, event->b);
  else if (event->kind == FAKE_EV_REACH)
    policy_reach (world, event->a, event->b, event->gen);
  else
    answer (world, event->a, (enum ab_outcome_kind)event->b);
}

static void
init (struct policy_world *world)
{
  ab_rng_init_seeded (&world->rng, world->setup.seed);
  ab_rng_init_seeded (&world->choice_rng, world->setup.seed ^ 0x5bd1e995);
  world->sick = 7 % (int)world->setup.targets;
  for (size_t i = 0; i < world->setup.targets; i++)
    {
      struct policy_target *target = &world->targets[i];

      snprintf (target->name, sizeof target->name, "10.0.%u.%u:80",
                (unsigned)i % FAKE_DOMAINS, (unsigned)i);
      target->domain = (int)(i % FAKE_DOMAINS);
      target->incarnation = 1;
    }
  for (int i = 0; i < FAKE_HOSTS; i++)
    {
      struct policy_host *host = &world->hosts[i];

      snprintf (host->name, sizeof host->name, "entry-%u", (unsigned)i);
      ab_retry_budget_init (&host->budget, RETRY_FRACTION, 0);
      host->next = i;
    }
  if (world->setup.policy == FAKE_DISPATCHER)
    policy_dispatch_new (world);
  if (world->setup.policy == FAKE_LEASES)
    policy_divide_leases (world);
}

static void
push_first (struct policy_world *world)
{
  uint64_t from_us = world->setup.fault_from_s * US_PER_S;

  policy_push (world, 0, FAKE_EV_ARRIVAL, 0, 0, 0);
  policy_push (world, 0, FAKE_EV_TICK, 0, 0, 0);
  policy_push (world, US_PER_S, FAKE_EV_EVIDENCE, 0, 0, 0);
  if (world->setup.fault == FAKE_CRASH || world->setup.fault == FAKE_COLD)
    policy_push (world, from_us, FAKE_EV_CRASH, 0, 0, 0);
  if (world->setup.fault == FAKE_DEATH)
    policy_push (world, from_us, FAKE_EV_DEATH, 0, 0, 0);
}

/* Measures the time from the first request that the fault affects to the start
   of the first period in which the target gets at most 5% of its normal
   requests.  */
static void
measure_detection (struct policy_world *world)
{
  /* A flapping target is slow half of the time.  */
  bool flaps = world->setup.fault == FAKE_FLAP;
  size_t gone_bins = flaps ? 3 * GONE_BINS : GONE_BINS;
  double normal = world->setup.utilisation * (double)world->setup.slots
                  / (FAKE_MEAN_MS / 1000) * (double)gone_bins / FAKE_BINS_PER_S
                  / (flaps ? 2 : 1);
  size_t last = (size_t)world->setup.fault_to_s * FAKE_BINS_PER_S;
  size_t first = world->first_bad_us * FAKE_BINS_PER_S / US_PER_S;

  world->result->detection_ms = -1;
  if (!world->first_bad_us)
    return;
  if (world->setup.fault == FAKE_SOME_CALLERS)
    normal *= 0.4;
  if (world->setup.fault == FAKE_DOMAIN_SLOW
      || world->setup.fault == FAKE_PARTITION)
    normal *= (double)world->setup.targets / FAKE_DOMAINS;
  for (size_t bin = first; bin + gone_bins <= last; bin++)
    {
      uint32_t sum = 0;

      for (size_t i = bin; i < bin + gone_bins; i++)
        sum += world->sick_sends[i];
      if (sum > fmax (1, GONE_SHARE * normal))
        continue;
      world->result->detection_ms
          = fmax (0, (double)bin * 1000 / FAKE_BINS_PER_S
                         - (double)world->first_bad_us / 1000);
      return;
    }
}

static void
measure_recovery (struct policy_world *world)
{
  unsigned from = world->setup.fault_to_s;
  unsigned normal = from;

  for (unsigned s = from; s + 3 < world->setup.seconds; s++)
    if ((double)world->result->good[s]
        < 0.99 * (double)world->result->arrived[s] - 12)
      normal = s + 1;
  world->result->recovery_ms = (normal - from) * 1000.0;
}

void
policy_run (const struct policy_setup *setup, struct policy_result *result)
{
  struct policy_world *world = calloc (1, sizeof *world);

  if (!world)
    abort ();
  *result = (struct policy_result){ .requests = 0 };
  world->setup = *setup;
  world->result = result;
  init (world);
  push_first (world);
  while (world->heap[0].at_us < setup->seconds * US_PER_S)
    {
      struct policy_event event = pop (world);

      world->now_us = event.at_us;
      handle (world, &event);
    }
  measure_detection (world);
  measure_recovery (world);
  if (setup->policy == FAKE_DISPATCHER)
    policy_dispatch_free (world);
  free (world->heap);
  free (world->requests);
  free (world);
}

double
policy_goodput (const struct policy_result *result, unsigned from, unsigned to)
{
  uint64_t sum = 0;

  for (unsigned s = from; s < to; s++)
    sum += result->good[s];
  return to > from ? (double)sum / (to - from) : 0;
}

const char *
policy_policy_name (enum policy_policy policy)
{
  static const char *const names[]
      = { "dispatcher", "round-robin", "least-out", "leases", "two-choices" };

  return names[policy];
}

const char *
policy_fault_name (enum policy_fault fault)
{
  static const char *const names[]
      = { "healthy",   "slow-10x",    "slow-3x",  "errors-30%",
          "hang",      "callers",     "flap",     "lie-good",
          "lie-bad",   "partition",   "crash",    "cold",
          "death-req", "domain-slow", "overload", "heavy-tail" };

  return names[fault];
}
