#include "policy_simulation_lib.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "policy_simulation_parts_lib.h"

#define US_PER_S 1000000ULL
#define RETRY_FRACTION 0.1
#define CRASHING_PERIOD_US (3 * US_PER_S)
#define DOWN_MS 5000
/* A fault counts as detected once the target gets at most 5% of its normal
   requests for this long.  */
#define DETECTED_BINS (2 * POLICY_BINS_PER_S)
#define DETECTED_SHARE 0.05

static bool
event_precedes (const struct policy_event *a, const struct policy_event *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

void
policy_push (struct policy_simulation *simulation, uint64_t at_us,
             enum policy_event_kind kind, int a, int b, uint32_t generation)
{
  struct policy_event event = { .at_us = at_us,
                                .order = simulation->next_order++,
                                .kind = kind,
                                .a = a,
                                .b = b,
                                .generation = generation };
  size_t at = simulation->heap_count++;

  if (at == simulation->heap_size)
    {
      simulation->heap_size
          = simulation->heap_size ? 2 * simulation->heap_size : 1024;
      simulation->heap = realloc (
          simulation->heap, simulation->heap_size * sizeof *simulation->heap);
      if (!simulation->heap)
        abort ();
    }
  for (; at > 0 && event_precedes (&event, &simulation->heap[(at - 1) / 2]);
       at = (at - 1) / 2)
    simulation->heap[at] = simulation->heap[(at - 1) / 2];
  simulation->heap[at] = event;
}

static struct policy_event
pop (struct policy_simulation *simulation)
{
  struct policy_event first = simulation->heap[0];
  struct policy_event last = simulation->heap[--simulation->heap_count];
  size_t at = 0;

  for (;;)
    {
      size_t child = 2 * at + 1;

      if (child >= simulation->heap_count)
        break;
      if (child + 1 < simulation->heap_count
          && event_precedes (&simulation->heap[child + 1],
                             &simulation->heap[child]))
        child++;
      if (!event_precedes (&simulation->heap[child], &last))
        break;
      simulation->heap[at] = simulation->heap[child];
      at = child;
    }
  simulation->heap[at] = last;
  return first;
}

bool
policy_fault_is_active (const struct policy_simulation *simulation)
{
  return simulation->now_us >= simulation->setup.fault_from_s * US_PER_S
         && simulation->now_us < simulation->setup.fault_to_s * US_PER_S;
}

static int
new_request (struct policy_simulation *simulation)
{
  struct policy_request *grown;
  size_t at = simulation->free_request;

  while (at < simulation->request_count && simulation->requests[at].used)
    at++;
  simulation->free_request = at + 1;
  if (at == simulation->request_count)
    {
      grown = realloc (simulation->requests, (at + 1) * sizeof *grown);
      if (!grown)
        abort ();
      simulation->requests = grown;
      simulation->requests[at] = (struct policy_request){ .generation = 0 };
      simulation->request_count++;
    }
  simulation->requests[at]
      = (struct policy_request){ .used = true,
                                 .generation
                                 = simulation->requests[at].generation + 1,
                                 .arrival_us = simulation->now_us,
                                 .target = -1 };
  return (int)at;
}

static void
start_request (struct policy_simulation *simulation, bool crashes_target)
{
  int id = new_request (simulation);
  struct policy_request *request = &simulation->requests[id];

  request->host = (int)ab_rng_below (&simulation->rng, POLICY_HOSTS);
  request->deadline_us = simulation->now_us + POLICY_DEADLINE_MS * 1000;
  request->crashes_target = crashes_target;
  simulation->result->requests++;
  simulation->result->arrived[simulation->now_us / US_PER_S]++;
  ab_retry_budget_request (&simulation->hosts[request->host].budget,
                           simulation->now_us / 1000);
  policy_push (simulation, request->deadline_us, POLICY_EVENT_DEADLINE, id, 0,
               0);
  policy_start_attempt (simulation, id);
}

void
policy_start_attempt (struct policy_simulation *simulation, int id)
{
  struct policy_request *request = &simulation->requests[id];

  request->generation++;
  request->attempts++;
  request->sent = false;
  request->granted = false;
  request->spills = 0;
  if (simulation->setup.policy == POLICY_DISPATCHER)
    policy_dispatch_start (simulation, id);
  else
    policy_choose (simulation, id);
}

static void
arrive (struct policy_simulation *simulation)
{
  double rate
      = simulation->setup.utilisation * (double)simulation->setup.targets
        * (double)simulation->setup.slots / (POLICY_SERVICE_MEAN_MS / 1000);

  if (simulation->setup.fault == FAULT_OVERLOAD
      && policy_fault_is_active (simulation))
    rate *= 3 / simulation->setup.utilisation;
  policy_push (simulation,
               simulation->now_us
                   + (uint64_t)(-log (1 - ab_rng_unit (&simulation->rng))
                                / rate * (double)US_PER_S),
               POLICY_EVENT_ARRIVAL, 0, 0, 0);
  start_request (simulation, false);
}

void
policy_finish (struct policy_simulation *simulation, int id, bool good,
               bool refused)
{
  struct policy_request *request = &simulation->requests[id];

  request->used = false;
  request->generation++;
  if ((size_t)id < simulation->free_request)
    simulation->free_request = (size_t)id;
  if (good)
    simulation->result->good[simulation->now_us / US_PER_S]++;
  else if (!request->crashes_target)
    simulation->result->failed++;
  if (refused)
    simulation->result->refused++;
  if (good && simulation->now_us - request->arrival_us > POLICY_SLOW_MS * 1000)
    simulation->result->slow++;
}

void
policy_send (struct policy_simulation *simulation, int id, int target)
{
  struct policy_request *request = &simulation->requests[id];

  request->target = target;
  request->sent = true;
  request->sent_us = simulation->now_us;
  if (policy_fault_affects (simulation, request->host, target))
    {
      if (!simulation->first_affected_us)
        simulation->first_affected_us = simulation->now_us;
      simulation->affected_sends[simulation->now_us * POLICY_BINS_PER_S
                                 / US_PER_S]++;
    }
  policy_push (simulation, simulation->now_us + POLICY_TARGET_DELAY_US,
               POLICY_EVENT_REACH_TARGET, id, target, request->generation);
}

static void
report_outcome (struct policy_simulation *simulation, int id,
                enum ab_outcome_kind kind)
{
  if (simulation->setup.policy == POLICY_DISPATCHER)
    policy_dispatch_outcome (simulation, id, kind);
  else
    policy_chosen_done (simulation, id, kind);
}

static bool
may_retry (struct policy_simulation *simulation,
           const struct policy_request *request, enum ab_outcome_kind kind)
{
  struct ab_retry_budget *budget = &simulation->hosts[request->host].budget;

  if (request->attempts >= POLICY_ATTEMPTS_MAX || request->crashes >= 2)
    return false;
  /* In this policy targets routinely shed load, so these retries do not use
     the budget.  */
  if (kind == AB_OUTCOME_SHED
      && simulation->setup.policy == POLICY_TWO_CHOICES)
    return true;
  return ab_retry_budget_take (budget, simulation->now_us / 1000);
}

static void
finish_attempt (struct policy_simulation *simulation, int id,
                enum ab_outcome_kind kind)
{
  struct policy_request *request = &simulation->requests[id];

  report_outcome (simulation, id, kind);
  request->sent = false;
  if (kind == AB_OUTCOME_OK)
    {
      policy_finish (simulation, id, true, false);
      return;
    }
  if (!may_retry (simulation, request, kind))
    {
      policy_finish (simulation, id, false, false);
      return;
    }
  simulation->result->retries++;
  if (request->excluded_count < AB_DISPATCHER_EXCLUDED_MAX)
    request->excluded[request->excluded_count++] = request->target;
  policy_start_attempt (simulation, id);
}

static void
expire (struct policy_simulation *simulation, int id)
{
  struct policy_request *request = &simulation->requests[id];

  if (!request->used || simulation->now_us < request->deadline_us)
    return;
  if (request->sent)
    {
      policy_cancel (simulation, id);
      report_outcome (simulation, id, AB_OUTCOME_TIMEOUT);
    }
  else if (simulation->setup.policy == POLICY_DISPATCHER)
    policy_dispatch_cancel (simulation, id);
  policy_finish (simulation, id, false, false);
}

static void
tick (struct policy_simulation *simulation)
{
  if (simulation->setup.policy == POLICY_DISPATCHER)
    policy_dispatch_tick (simulation);
  policy_push (simulation, simulation->now_us + AB_DISPATCHER_TICK_MS * 1000,
               POLICY_EVENT_TICK, 0, 0, 0);
}

static void
on_second (struct policy_simulation *simulation)
{
  if (simulation->setup.policy == POLICY_DISPATCHER)
    policy_dispatch_evidence (simulation);
  if (simulation->setup.policy == POLICY_LEASES)
    policy_assign_leases (simulation);
  policy_push (simulation, simulation->now_us + US_PER_S, POLICY_EVENT_SECOND,
               0, 0, 0);
}

static void
send_crashing_request (struct policy_simulation *simulation)
{
  if (policy_fault_is_active (simulation))
    start_request (simulation, true);
  policy_push (simulation, simulation->now_us + CRASHING_PERIOD_US,
               POLICY_EVENT_CRASHING_REQUEST, 0, 0, 0);
}

static void
handle_event (struct policy_simulation *simulation,
              const struct policy_event *event)
{
  struct policy_request *request = &simulation->requests[event->a];
  struct policy_env *domain = &simulation->domains[event->a % POLICY_DOMAINS];

  switch (event->kind)
    {
    case POLICY_EVENT_ARRIVAL:
      arrive (simulation);
      return;
    case POLICY_EVENT_DEADLINE:
      expire (simulation, event->a);
      return;
    case POLICY_EVENT_SERVICE_DONE:
      policy_done (simulation, event->a, event->b, event->generation);
      return;
    case POLICY_EVENT_TICK:
      tick (simulation);
      return;
    case POLICY_EVENT_SECOND:
      on_second (simulation);
      return;
    case POLICY_EVENT_PERMIT:
      ab_dispatcher_permit_reply (domain->dispatcher, event->b,
                                  simulation->now_us / 1000);
      return;
    case POLICY_EVENT_PROBED:
      domain = &simulation->domains[simulation->targets[event->a].domain];
      ab_dispatcher_probed (domain->dispatcher,
                            simulation->targets[event->a].name, event->b,
                            simulation->now_us / 1000);
      return;
    case POLICY_EVENT_CRASH:
      policy_crash (simulation, simulation->faulty_target,
                    simulation->setup.fault == FAULT_CRASH ? DOWN_MS : 0);
      return;
    case POLICY_EVENT_RESTART:
      policy_restart (simulation, event->a);
      return;
    case POLICY_EVENT_CRASHING_REQUEST:
      send_crashing_request (simulation);
      return;
    default:
      break;
    }
  if (!request->used || request->generation != event->generation)
    return;
  if (event->kind == POLICY_EVENT_SLOT_REQUEST)
    policy_dispatch_request_slot (simulation, event->a, event->b);
  else if (event->kind == POLICY_EVENT_GRANTED)
    policy_send (simulation, event->a, event->b);
  else if (event->kind == POLICY_EVENT_REFUSED)
    policy_dispatch_refused (simulation, event->a, event->b);
  else if (event->kind == POLICY_EVENT_REACH_TARGET)
    policy_reach_target (simulation, event->a, event->b, event->generation);
  else
    finish_attempt (simulation, event->a, (enum ab_outcome_kind)event->b);
}

static void
init (struct policy_simulation *simulation)
{
  ab_rng_init_seeded (&simulation->rng, simulation->setup.seed);
  ab_rng_init_seeded (&simulation->choice_rng,
                      simulation->setup.seed ^ 0x5bd1e995);
  simulation->faulty_target = 7 % (int)simulation->setup.targets;
  for (size_t i = 0; i < simulation->setup.targets; i++)
    {
      struct policy_target *target = &simulation->targets[i];

      snprintf (target->name, sizeof target->name, "10.0.%u.%u:80",
                (unsigned)i % POLICY_DOMAINS, (unsigned)i);
      target->domain = (int)(i % POLICY_DOMAINS);
      target->incarnation = 1;
    }
  for (int i = 0; i < POLICY_HOSTS; i++)
    {
      struct policy_host *host = &simulation->hosts[i];

      snprintf (host->name, sizeof host->name, "entry-%u", (unsigned)i);
      ab_retry_budget_init (&host->budget, RETRY_FRACTION, 0);
      host->next_target = i;
    }
  if (simulation->setup.policy == POLICY_DISPATCHER)
    policy_dispatch_new (simulation);
  if (simulation->setup.policy == POLICY_LEASES)
    policy_assign_leases (simulation);
}

static void
push_initial_events (struct policy_simulation *simulation)
{
  uint64_t from_us = simulation->setup.fault_from_s * US_PER_S;

  policy_push (simulation, 0, POLICY_EVENT_ARRIVAL, 0, 0, 0);
  policy_push (simulation, 0, POLICY_EVENT_TICK, 0, 0, 0);
  policy_push (simulation, US_PER_S, POLICY_EVENT_SECOND, 0, 0, 0);
  if (simulation->setup.fault == FAULT_CRASH
      || simulation->setup.fault == FAULT_COLD_RESTART)
    policy_push (simulation, from_us, POLICY_EVENT_CRASH, 0, 0, 0);
  if (simulation->setup.fault == FAULT_CRASHING_REQUESTS)
    policy_push (simulation, from_us, POLICY_EVENT_CRASHING_REQUEST, 0, 0, 0);
}

/* Measures the time from the first request that the fault affects to the start
   of the first period in which the target gets at most 5% of its normal
   requests.  */
static void
measure_detection (struct policy_simulation *simulation)
{
  /* A flapping target is slow half of the time.  */
  bool flaps = simulation->setup.fault == FAULT_FLAP;
  size_t detected_bins = flaps ? 3 * DETECTED_BINS : DETECTED_BINS;
  double normal_requests
      = simulation->setup.utilisation * (double)simulation->setup.slots
        / (POLICY_SERVICE_MEAN_MS / 1000) * (double)detected_bins
        / POLICY_BINS_PER_S / (flaps ? 2 : 1);
  size_t last = (size_t)simulation->setup.fault_to_s * POLICY_BINS_PER_S;
  size_t first = simulation->first_affected_us * POLICY_BINS_PER_S / US_PER_S;

  simulation->result->detection_ms = -1;
  if (!simulation->first_affected_us)
    return;
  if (simulation->setup.fault == FAULT_HANG_FOR_SOME_HOSTS)
    normal_requests *= 0.4;
  if (simulation->setup.fault == FAULT_DOMAIN_SLOW
      || simulation->setup.fault == FAULT_PARTITION)
    normal_requests *= (double)simulation->setup.targets / POLICY_DOMAINS;
  for (size_t bin = first; bin + detected_bins <= last; bin++)
    {
      uint32_t sum = 0;

      for (size_t i = bin; i < bin + detected_bins; i++)
        sum += simulation->affected_sends[i];
      if (sum > fmax (1, DETECTED_SHARE * normal_requests))
        continue;
      simulation->result->detection_ms
          = fmax (0, (double)bin * 1000 / POLICY_BINS_PER_S
                         - (double)simulation->first_affected_us / 1000);
      return;
    }
}

static void
measure_recovery (struct policy_simulation *simulation)
{
  unsigned from = simulation->setup.fault_to_s;
  unsigned recovered_s = from;

  for (unsigned s = from; s + 3 < simulation->setup.seconds; s++)
    if ((double)simulation->result->good[s]
        < 0.99 * (double)simulation->result->arrived[s] - 12)
      recovered_s = s + 1;
  simulation->result->recovery_ms = (recovered_s - from) * 1000.0;
}

void
policy_run (const struct policy_setup *setup, struct policy_result *result)
{
  struct policy_simulation *simulation = calloc (1, sizeof *simulation);

  if (!simulation)
    abort ();
  *result = (struct policy_result){ .requests = 0 };
  simulation->setup = *setup;
  simulation->result = result;
  init (simulation);
  push_initial_events (simulation);
  while (simulation->heap[0].at_us < setup->seconds * US_PER_S)
    {
      struct policy_event event = pop (simulation);

      simulation->now_us = event.at_us;
      handle_event (simulation, &event);
    }
  measure_detection (simulation);
  measure_recovery (simulation);
  if (setup->policy == POLICY_DISPATCHER)
    policy_dispatch_free (simulation);
  free (simulation->heap);
  free (simulation->requests);
  free (simulation);
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
policy_kind_name (enum policy_kind policy)
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
