/* Policy of the real dispatchers, one for each failure domain.  */

#include <stdio.h>
#include <stdlib.h>

#include "error.h"
#include "policy_simulation_parts_lib.h"

#define PERMIT_DELAY_US 40000
#define PROBE_DELAY_US 25000
#define SLOT_REQUEST_BYTES 100
#define GRANT_BYTES 100
#define OUTCOME_BYTES 80
#define EVIDENCE_BYTES 24
#define SLOW_START_MS 3000
#define QUEUE_MAX 200
/* Number of low bits that hold the request's number in the identifier of a
   slot request; the bits above hold its generation.  */
#define GENERATION_SHIFT 32
/* Number of other failure domains that are tried before the host's own domain
   is tried again.  */
#define SPILLS_MAX 4
/* Index of the host that runs the dispatcher of a failure domain; its own
   messages are not counted as traffic.  */
#define DISPATCHER_HOST 0

static uint64_t
now_ms (const struct policy_simulation *simulation)
{
  return simulation->now_us / 1000;
}

static uint64_t
network_delay_us (int host, int domain)
{
  int own = host % POLICY_DOMAINS;

  if (own == domain)
    return POLICY_HOST_DELAY_US;
  return own / 2 == domain / 2 ? POLICY_DOMAIN_DELAY_US
                               : POLICY_REGION_DELAY_US;
}

static int
target_of (const struct policy_simulation *simulation, const char *name)
{
  int at = 0;

  while (strcmp (simulation->targets[at].name, name) != 0)
    at++;
  return at;
}

static void
on_grant (struct ab_dispatcher_env *env,
          const struct ab_dispatcher_grant *grant)
{
  struct policy_env *self = (struct policy_env *)env;
  struct policy_simulation *simulation = self->simulation;
  int id = (int)(uint32_t)grant->slot_request_id;
  struct policy_request *request = &simulation->requests[id];

  request->granted = true;
  request->grant = grant->id;
  request->domain = self->domain;
  policy_push (simulation,
               simulation->now_us
                   + network_delay_us (request->host, self->domain),
               POLICY_EVENT_GRANTED, id, target_of (simulation, grant->target),
               (uint32_t)(grant->slot_request_id >> GENERATION_SHIFT));
}

static void
on_refuse (struct ab_dispatcher_env *env, uint64_t slot_request_id,
           const char *requester, int rc, bool spill, const char *reason)
{
  struct policy_env *self = (struct policy_env *)env;
  struct policy_simulation *simulation = self->simulation;
  int id = (int)(uint32_t)slot_request_id;

  (void)requester;
  (void)rc;
  (void)reason;
  policy_push (
      simulation,
      simulation->now_us
          + network_delay_us (simulation->requests[id].host, self->domain),
      POLICY_EVENT_REFUSED, id, spill,
      (uint32_t)(slot_request_id >> GENERATION_SHIFT));
}

static void
on_acquire (struct ab_dispatcher_env *env)
{
  struct policy_env *self = (struct policy_env *)env;
  struct policy_simulation *simulation = self->simulation;
  size_t max = (size_t)((1 - simulation->setup.floor)
                        * (double)simulation->setup.targets);
  bool granted = simulation->permits_out < max;

  simulation->permits_out += granted;
  policy_push (simulation, simulation->now_us + PERMIT_DELAY_US,
               POLICY_EVENT_PERMIT, self->domain, granted, 0);
}

static void
on_release (struct ab_dispatcher_env *env)
{
  struct policy_env *self = (struct policy_env *)env;

  self->simulation->permits_out--;
}

static void
on_probe (struct ab_dispatcher_env *env, const char *name)
{
  struct policy_env *self = (struct policy_env *)env;
  struct policy_simulation *simulation = self->simulation;
  int target = target_of (simulation, name);
  bool affected = policy_fault_affects (simulation, 0, target);
  bool healthy = !simulation->targets[target].down
                 && !(simulation->setup.fault == FAULT_HANG && affected);

  if (simulation->setup.fault == FAULT_SLOW_PROBES_FAIL
      && target == simulation->faulty_target)
    healthy = false;
  policy_push (simulation, simulation->now_us + PROBE_DELAY_US,
               POLICY_EVENT_PROBED, target, healthy, 0);
}

static bool
is_justified (const struct policy_simulation *simulation, int target)
{
  if (simulation->targets[target].down)
    return true;
  /* The outcomes of a crash may still arrive shortly after the restart.  */
  if (simulation->targets[target].started_us
      && simulation->now_us < simulation->targets[target].started_us + 1000000)
    return true;
  return policy_fault_is_active (simulation)
         && target == simulation->faulty_target
         && simulation->setup.fault != FAULT_HEAVY_TAIL
         && simulation->setup.fault != FAULT_NONE
         && simulation->setup.fault != FAULT_OVERLOAD
         && simulation->setup.fault != FAULT_PARTITION
         && simulation->setup.fault != FAULT_DOMAIN_SLOW
         && simulation->setup.fault != FAULT_COLD_RESTART
         && simulation->setup.fault != FAULT_CRASHING_REQUESTS
         && simulation->setup.fault != FAULT_CRASH;
}

static void
on_event (struct ab_dispatcher_env *env, const struct ab_dispatch_event *event)
{
  struct policy_env *self = (struct policy_env *)env;
  struct policy_simulation *simulation = self->simulation;
  int target = target_of (simulation, event->target);

  if (getenv ("POLICY_TRACE"))
    fprintf (stderr,
             "%8.3f %s %s cause=%s score=%.1f/%.1f slowdown=%.2f "
             "overdue=%u exile=%u\n",
             (double)simulation->now_us / 1e6, event->target,
             ab_dispatch_event_name (event->kind),
             ab_cause_name (event->evidence.cause), event->evidence.score,
             event->evidence.threshold, event->evidence.slowdown,
             (unsigned)event->evidence.overdue,
             (unsigned)event->ejection_left_ms);
  if (event->kind == AB_DISPATCH_EJECTED)
    {
      simulation->result->ejections++;
      simulation->targets[target].out = true;
      if (!is_justified (simulation, target))
        simulation->result->false_ejections += 1;
    }
  if (event->kind == AB_DISPATCH_READMITTED
      || event->kind == AB_DISPATCH_PERMIT_REVOKED
      || event->kind == AB_DISPATCH_RESTARTED)
    simulation->targets[target].out = false;
}

static const struct ab_dispatcher_ops ops = { .grant = on_grant,
                                              .refuse = on_refuse,
                                              .acquire_permit = on_acquire,
                                              .release_permit = on_release,
                                              .probe = on_probe,
                                              .event = on_event };

void
policy_dispatch_target (struct policy_simulation *simulation, int target,
                        bool warm)
{
  struct policy_target *at = &simulation->targets[target];
  struct ab_dispatcher_target spec = { .address = at->name,
                                       .slots = simulation->setup.slots,
                                       .incarnation = at->incarnation };

  if (ab_dispatcher_set_target (simulation->domains[at->domain].dispatcher,
                                &spec, warm, now_ms (simulation))
      < 0)
    abort ();
}

static void
share_capacity (struct policy_simulation *simulation)
{
  struct ab_dispatcher_totals sum = { .in_use = 0 };
  struct ab_dispatcher_totals by_domain[POLICY_DOMAINS];

  for (int i = 0; i < POLICY_DOMAINS; i++)
    {
      ab_dispatcher_totals (simulation->domains[i].dispatcher, &by_domain[i]);
      sum.announced_slots += by_domain[i].announced_slots;
      sum.out_slots += by_domain[i].out_slots;
      sum.idle_slots += by_domain[i].idle_slots;
    }
  for (int i = 0; i < POLICY_DOMAINS; i++)
    ab_dispatcher_set_remote_capacity (
        simulation->domains[i].dispatcher,
        sum.announced_slots - by_domain[i].announced_slots,
        sum.out_slots - by_domain[i].out_slots,
        sum.idle_slots - by_domain[i].idle_slots);
}

void
policy_dispatch_new (struct policy_simulation *simulation)
{
  struct ab_dispatcher_options options
      = { .detection_weight = simulation->setup.detection_weight,
          .floor = simulation->setup.floor,
          .queue = QUEUE_MAX,
          .slow_start_ms = SLOW_START_MS };

  for (int i = 0; i < POLICY_DOMAINS; i++)
    {
      struct policy_env *env = &simulation->domains[i];

      env->env.ops = &ops;
      env->simulation = simulation;
      env->domain = i;
      env->dispatcher
          = ab_dispatcher_new (&env->env, &options, &simulation->choice_rng);
      if (!env->dispatcher)
        abort ();
    }
  for (size_t i = 0; i < simulation->setup.targets; i++)
    policy_dispatch_target (simulation, (int)i, true);
  share_capacity (simulation);
}

void
policy_dispatch_free (struct policy_simulation *simulation)
{
  for (int i = 0; i < POLICY_DOMAINS; i++)
    ab_dispatcher_free (simulation->domains[i].dispatcher);
}

void
policy_dispatch_start (struct policy_simulation *simulation, int id)
{
  struct policy_request *request = &simulation->requests[id];
  int domain = request->host % POLICY_DOMAINS;

  if (request->host / POLICY_DOMAINS != DISPATCHER_HOST)
    simulation->result->control_bytes += SLOT_REQUEST_BYTES;
  request->domain = domain;
  policy_push (simulation,
               simulation->now_us + network_delay_us (request->host, domain),
               POLICY_EVENT_SLOT_REQUEST, id, domain, request->generation);
}

void
policy_dispatch_request_slot (struct policy_simulation *simulation, int id,
                              int domain)
{
  struct policy_request *request = &simulation->requests[id];
  struct ab_dispatcher_slot_request slot_request
      = { .id
          = (uint64_t)request->generation << GENERATION_SHIFT | (uint32_t)id,
          .requester = simulation->hosts[request->host].name,
          .class_name = AB_CHUNK ("lookup"),
          .deadline_ms = request->deadline_us / 1000,
          .excluded_count = request->excluded_count,
          .spilled = request->spills > 0 && request->spills <= SPILLS_MAX,
          .no_spill = request->spills > SPILLS_MAX };

  for (size_t i = 0; i < request->excluded_count; i++)
    slot_request.excluded[i] = simulation->targets[request->excluded[i]].name;
  if (request->host / POLICY_DOMAINS != DISPATCHER_HOST)
    simulation->result->control_bytes += GRANT_BYTES;
  ab_dispatcher_request_slot (simulation->domains[domain].dispatcher,
                              &slot_request, now_ms (simulation));
}

/* Returns the failure domain to try after SPILLS rejections: first the
   other one of the same region.  */
static int
spill_domain (int host, int spills)
{
  int own = host % POLICY_DOMAINS;

  if (spills > SPILLS_MAX)
    return own;
  if (spills == 1)
    return own ^ 1;
  return (own / 2 * 2 + spills) % POLICY_DOMAINS;
}

void
policy_dispatch_refused (struct policy_simulation *simulation, int id,
                         bool spill)
{
  struct policy_request *request = &simulation->requests[id];

  if (!spill || request->spills > SPILLS_MAX)
    {
      policy_finish (simulation, id, false, true);
      return;
    }
  request->spills++;
  request->domain = spill_domain (request->host, request->spills);
  simulation->result->control_bytes += SLOT_REQUEST_BYTES;
  policy_push (
      simulation,
      simulation->now_us + network_delay_us (request->host, request->domain),
      POLICY_EVENT_SLOT_REQUEST, id, request->domain, request->generation);
}

void
policy_dispatch_outcome (struct policy_simulation *simulation, int id,
                         enum ab_outcome_kind kind)
{
  struct policy_request *request = &simulation->requests[id];
  struct ab_outcome outcome
      = { .kind = kind, .latency_us = simulation->now_us - request->sent_us };

  if (request->host / POLICY_DOMAINS != DISPATCHER_HOST)
    simulation->result->control_bytes += OUTCOME_BYTES;
  ab_dispatcher_outcome (simulation->domains[request->domain].dispatcher,
                         request->grant, &outcome, now_ms (simulation));
}

void
policy_dispatch_cancel (struct policy_simulation *simulation, int id)
{
  struct policy_request *request = &simulation->requests[id];
  static const struct ab_outcome unused = { .kind = AB_OUTCOME_UNUSED };

  if (request->granted)
    ab_dispatcher_outcome (simulation->domains[request->domain].dispatcher,
                           request->grant, &unused, now_ms (simulation));
  else
    ab_dispatcher_cancel (simulation->domains[request->domain].dispatcher,
                          simulation->hosts[request->host].name,
                          (uint64_t)request->generation << GENERATION_SHIFT
                              | (uint32_t)id);
}

void
policy_dispatch_tick (struct policy_simulation *simulation)
{
  size_t in_service = 0;

  for (int i = 0; i < POLICY_DOMAINS; i++)
    ab_dispatcher_tick (simulation->domains[i].dispatcher,
                        now_ms (simulation));
  for (size_t i = 0; i < simulation->setup.targets; i++)
    in_service += !simulation->targets[i].out;
  if ((double)in_service
      < simulation->setup.floor * (double)simulation->setup.targets)
    simulation->result->floor_violations++;
}

struct evidence_source
{
  struct policy_simulation *simulation;
  int domain;
};

static void
forward_report (void *ctx, const struct ab_peer_evidence *report)
{
  struct evidence_source *source = ctx;

  for (int i = 0; i < POLICY_DOMAINS; i++)
    if (i != source->domain)
      {
        ab_detector_import (
            ab_dispatcher_detector (source->simulation->domains[i].dispatcher),
            report, now_ms (source->simulation));
        source->simulation->result->control_bytes += EVIDENCE_BYTES;
      }
}

void
policy_dispatch_evidence (struct policy_simulation *simulation)
{
  for (int i = 0; i < POLICY_DOMAINS; i++)
    {
      struct evidence_source source
          = { .simulation = simulation, .domain = i };

      ab_detector_export (
          ab_dispatcher_detector (simulation->domains[i].dispatcher),
          now_ms (simulation), forward_report, &source);
    }
  share_capacity (simulation);
}
