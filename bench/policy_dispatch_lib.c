/* Policy of the real dispatchers, one for each failure domain.  */

#include <stdio.h>
#include <stdlib.h>

#include "error.h"
#include "policy_world_lib.h"

#define PERMIT_US 40000
#define PROBE_US 25000
#define ASK_BYTES 100
#define GRANT_BYTES 100
#define OUTCOME_BYTES 80
#define EVIDENCE_BYTES 24
#define SLOW_START_MS 3000
#define QUEUE 200
/* Number of low bits that hold the request's number in the identifier of a
   slot request; the bits above hold its generation.  */
#define GEN_SHIFT 32
/* Number of other failure domains that are tried before the host's own domain
   is tried again.  */
#define SPILLS 4
/* Index of the host that runs the dispatcher of a failure domain; its own
   messages are not counted as traffic.  */
#define DISPATCHER_HOST 0

static uint64_t
now_ms (const struct policy_world *world)
{
  return world->now_us / 1000;
}

static uint64_t
hop_us (int host, int domain)
{
  int own = host % FAKE_DOMAINS;

  if (own == domain)
    return FAKE_HOP_US;
  return own / 2 == domain / 2 ? FAKE_REGION_US : FAKE_FAR_US;
}

static int
target_of (const struct policy_world *world, const char *name)
{
  int at = 0;

  while (strcmp (world->targets[at].name, name) != 0)
    at++;
  return at;
}

static void
on_grant (struct ab_dispatcher_env *env,
          const struct ab_dispatcher_grant *grant)
{
  struct policy_env *self = (struct policy_env *)env;
  struct policy_world *world = self->world;
  int id = (int)(uint32_t)grant->ask;
  struct policy_request *request = &world->requests[id];

  request->granted = true;
  request->grant = grant->id;
  request->domain = self->domain;
  policy_push (world, world->now_us + hop_us (request->host, self->domain),
               FAKE_EV_GRANTED, id, target_of (world, grant->target),
               (uint32_t)(grant->ask >> GEN_SHIFT));
}

static void
on_refuse (struct ab_dispatcher_env *env, uint64_t ask, const char *asker,
           int rc, bool spill, const char *reason)
{
  struct policy_env *self = (struct policy_env *)env;
  struct policy_world *world = self->world;
  int id = (int)(uint32_t)ask;

  (void)asker;
  (void)rc;
  (void)reason;
  policy_push (world,
               world->now_us + hop_us (world->requests[id].host, self->domain),
               FAKE_EV_REFUSED, id, spill, (uint32_t)(ask >> GEN_SHIFT));
}

static void
on_acquire (struct ab_dispatcher_env *env)
{
  struct policy_env *self = (struct policy_env *)env;
  struct policy_world *world = self->world;
  size_t max
      = (size_t)((1 - world->setup.floor) * (double)world->setup.targets);
  bool granted = world->permits_out < max;

  world->permits_out += granted;
  policy_push (world, world->now_us + PERMIT_US, FAKE_EV_PERMIT, self->domain,
               granted, 0);
}

static void
on_release (struct ab_dispatcher_env *env)
{
  struct policy_env *self = (struct policy_env *)env;

  self->world->permits_out--;
}

static void
on_probe (struct ab_dispatcher_env *env, const char *name)
{
  struct policy_env *self = (struct policy_env *)env;
  struct policy_world *world = self->world;
  int target = target_of (world, name);
  bool touched = policy_touches (world, 0, target);
  bool healthy = !world->targets[target].down
                 && !(world->setup.fault == FAKE_HANG && touched);

  if (world->setup.fault == FAKE_LIE_BAD && target == world->sick)
    healthy = false;
  policy_push (world, world->now_us + PROBE_US, FAKE_EV_PROBED, target,
               healthy, 0);
}

static bool
deserved (const struct policy_world *world, int target)
{
  if (world->targets[target].down)
    return true;
  /* The outcomes of a crash may still arrive shortly after the restart.  */
  if (world->targets[target].started_us
      && world->now_us < world->targets[target].started_us + 1000000)
    return true;
  return policy_fault_on (world) && target == world->sick
         && world->setup.fault != FAKE_TAIL
         && world->setup.fault != FAKE_HEALTHY
         && world->setup.fault != FAKE_OVERLOAD
         && world->setup.fault != FAKE_PARTITION
         && world->setup.fault != FAKE_DOMAIN_SLOW
         && world->setup.fault != FAKE_COLD && world->setup.fault != FAKE_DEATH
         && world->setup.fault != FAKE_CRASH;
}

static void
on_event (struct ab_dispatcher_env *env, const struct ab_dispatch_event *event)
{
  struct policy_env *self = (struct policy_env *)env;
  struct policy_world *world = self->world;
  int target = target_of (world, event->target);

  if (getenv ("POLICY_TRACE"))
    fprintf (stderr,
             "%8.3f %s %s cause=%s score=%.1f/%.1f slowdown=%.2f "
             "overdue=%u exile=%u\n",
             (double)world->now_us / 1e6, event->target,
             ab_dispatch_event_name (event->kind),
             ab_cause_name (event->evidence.cause), event->evidence.score,
             event->evidence.threshold, event->evidence.slowdown,
             (unsigned)event->evidence.overdue, (unsigned)event->exile_ms);
  if (event->kind == AB_DISPATCH_EJECTED)
    {
      world->result->ejections++;
      world->targets[target].out = true;
      if (!deserved (world, target))
        world->result->false_ejections += 1;
    }
  if (event->kind == AB_DISPATCH_READMITTED
      || event->kind == AB_DISPATCH_PERMIT_REVOKED
      || event->kind == AB_DISPATCH_RESTARTED)
    world->targets[target].out = false;
}

static const struct ab_dispatcher_ops ops = { .grant = on_grant,
                                              .refuse = on_refuse,
                                              .acquire_permit = on_acquire,
                                              .release_permit = on_release,
                                              .probe = on_probe,
                                              .event = on_event };

void
policy_dispatch_target (struct policy_world *world, int target, bool warm)
{
  struct policy_target *at = &world->targets[target];
  struct ab_dispatcher_target spec = { .address = at->name,
                                       .slots = world->setup.slots,
                                       .incarnation = at->incarnation };

  if (ab_dispatcher_set_target (world->domains[at->domain].dispatcher, &spec,
                                warm, now_ms (world))
      < 0)
    abort ();
}

static void
share_capacity (struct policy_world *world)
{
  struct ab_dispatcher_totals all = { .in_use = 0 };
  struct ab_dispatcher_totals one[FAKE_DOMAINS];

  for (int i = 0; i < FAKE_DOMAINS; i++)
    {
      ab_dispatcher_totals (world->domains[i].dispatcher, &one[i]);
      all.announced_slots += one[i].announced_slots;
      all.out_slots += one[i].out_slots;
      all.idle_slots += one[i].idle_slots;
    }
  for (int i = 0; i < FAKE_DOMAINS; i++)
    ab_dispatcher_set_elsewhere (world->domains[i].dispatcher,
                                 all.announced_slots - one[i].announced_slots,
                                 all.out_slots - one[i].out_slots,
                                 all.idle_slots - one[i].idle_slots);
}

void
policy_dispatch_new (struct policy_world *world)
{
  struct ab_dispatcher_options options
      = { .detection_weight = world->setup.detection_weight,
          .floor = world->setup.floor,
          .queue = QUEUE,
          .slow_start_ms = SLOW_START_MS };

  for (int i = 0; i < FAKE_DOMAINS; i++)
    {
      struct policy_env *env = &world->domains[i];

      env->env.ops = &ops;
      env->world = world;
      env->domain = i;
      env->dispatcher
          = ab_dispatcher_new (&env->env, &options, &world->choice_rng);
      if (!env->dispatcher)
        abort ();
    }
  for (size_t i = 0; i < world->setup.targets; i++)
    policy_dispatch_target (world, (int)i, true);
  share_capacity (world);
}

void
policy_dispatch_free (struct policy_world *world)
{
  for (int i = 0; i < FAKE_DOMAINS; i++)
    ab_dispatcher_free (world->domains[i].dispatcher);
}

void
policy_dispatch_start (struct policy_world *world, int id)
{
  struct policy_request *request = &world->requests[id];
  int domain = request->host % FAKE_DOMAINS;

  if (request->host / FAKE_DOMAINS != DISPATCHER_HOST)
    world->result->control_bytes += ASK_BYTES;
  request->domain = domain;
  policy_push (world, world->now_us + hop_us (request->host, domain),
               FAKE_EV_ASK, id, domain, request->gen);
}

void
policy_dispatch_ask (struct policy_world *world, int id, int domain)
{
  struct policy_request *request = &world->requests[id];
  struct ab_dispatcher_ask ask
      = { .id = (uint64_t)request->gen << GEN_SHIFT | (uint32_t)id,
          .asker = world->hosts[request->host].name,
          .class_name = AB_CHUNK ("lookup"),
          .deadline_ms = request->deadline_us / 1000,
          .excluded_count = request->excluded_count,
          .spilled = request->spills > 0 && request->spills <= SPILLS,
          .stay = request->spills > SPILLS };

  for (size_t i = 0; i < request->excluded_count; i++)
    ask.excluded[i] = world->targets[request->excluded[i]].name;
  if (request->host / FAKE_DOMAINS != DISPATCHER_HOST)
    world->result->control_bytes += GRANT_BYTES;
  ab_dispatcher_ask (world->domains[domain].dispatcher, &ask, now_ms (world));
}

/* Returns the failure domain to try after SPILLS rejections: first the other
   one of the same region.  */
static int
spill_domain (int host, int spills)
{
  int own = host % FAKE_DOMAINS;

  if (spills > SPILLS)
    return own;
  if (spills == 1)
    return own ^ 1;
  return (own / 2 * 2 + spills) % FAKE_DOMAINS;
}

void
policy_dispatch_refused (struct policy_world *world, int id, bool spill)
{
  struct policy_request *request = &world->requests[id];

  if (!spill || request->spills > SPILLS)
    {
      policy_finish (world, id, false, true);
      return;
    }
  request->spills++;
  request->domain = spill_domain (request->host, request->spills);
  world->result->control_bytes += ASK_BYTES;
  policy_push (world, world->now_us + hop_us (request->host, request->domain),
               FAKE_EV_ASK, id, request->domain, request->gen);
}

void
policy_dispatch_outcome (struct policy_world *world, int id,
                         enum ab_outcome_kind kind)
{
  struct policy_request *request = &world->requests[id];
  struct ab_outcome outcome
      = { .kind = kind, .latency_us = world->now_us - request->sent_us };

  if (request->host / FAKE_DOMAINS != DISPATCHER_HOST)
    world->result->control_bytes += OUTCOME_BYTES;
  ab_dispatcher_outcome (world->domains[request->domain].dispatcher,
                         request->grant, &outcome, now_ms (world));
}

void
policy_dispatch_cancel (struct policy_world *world, int id)
{
  struct policy_request *request = &world->requests[id];
  static const struct ab_outcome unused = { .kind = AB_OUTCOME_UNUSED };

  if (request->granted)
    ab_dispatcher_outcome (world->domains[request->domain].dispatcher,
                           request->grant, &unused, now_ms (world));
  else
    ab_dispatcher_cancel (world->domains[request->domain].dispatcher,
                          world->hosts[request->host].name,
                          (uint64_t)request->gen << GEN_SHIFT | (uint32_t)id);
}

void
policy_dispatch_tick (struct policy_world *world)
{
  size_t in_service = 0;

  for (int i = 0; i < FAKE_DOMAINS; i++)
    ab_dispatcher_tick (world->domains[i].dispatcher, now_ms (world));
  for (size_t i = 0; i < world->setup.targets; i++)
    in_service += !world->targets[i].out;
  if ((double)in_service < world->setup.floor * (double)world->setup.targets)
    world->result->floor_violations++;
}

struct policy_share
{
  struct policy_world *world;
  int from;
};

static void
pass_on (void *ctx, const struct ab_peer_evidence *report)
{
  struct policy_share *share = ctx;

  for (int i = 0; i < FAKE_DOMAINS; i++)
    if (i != share->from)
      {
        ab_detector_import (
            ab_dispatcher_detector (share->world->domains[i].dispatcher),
            report, now_ms (share->world));
        share->world->result->control_bytes += EVIDENCE_BYTES;
      }
}

void
policy_dispatch_evidence (struct policy_world *world)
{
  for (int i = 0; i < FAKE_DOMAINS; i++)
    {
      struct policy_share share = { .world = world, .from = i };

      ab_detector_export (
          ab_dispatcher_detector (world->domains[i].dispatcher),
          now_ms (world), pass_on, &share);
    }
  share_capacity (world);
}
