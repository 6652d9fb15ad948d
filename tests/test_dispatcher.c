/* Dispatcher: slots, queue, ejection under floor and permits, readmission.  */

#include <stdio.h>

#include "dispatcher.h"
#include "error.h"
#include "suite_lib.h"

#define LOG_MAX 4096
#define TARGETS 4

struct fake
{
  struct ab_dispatcher_env env;
  struct ab_dispatcher *dispatcher;
  struct ab_rng rng;
  uint64_t now_ms;
  uint64_t last_request_id;
  struct ab_dispatcher_grant grants[LOG_MAX];
  char targets[LOG_MAX][AB_DISPATCHER_NAME_BYTES];
  size_t granted;
  uint64_t refused[LOG_MAX];
  bool spill[LOG_MAX];
  size_t refusals;
  size_t permits_requested;
  size_t permits_granted;
  bool permit_wanted;
  bool grant_permits;
  size_t permits_released;
  size_t probes;
  size_t events[AB_DISPATCH_PATH_AVOIDED + 1];
};

static void
on_grant (struct ab_dispatcher_env *env,
          const struct ab_dispatcher_grant *grant)
{
  struct fake *fake = (struct fake *)env;

  ck_assert_uint_lt (fake->granted, LOG_MAX);
  fake->grants[fake->granted] = *grant;
  ab_chunk_copy_bounded (ab_chunk_str (grant->target),
                         fake->targets[fake->granted],
                         sizeof fake->targets[0]);
  fake->granted++;
}

static void
on_refuse (struct ab_dispatcher_env *env, uint64_t slot_request_id,
           const char *requester, int rc, bool spill, const char *reason)
{
  struct fake *fake = (struct fake *)env;

  (void)requester;
  (void)rc;
  (void)reason;
  ck_assert_uint_lt (fake->refusals, LOG_MAX);
  fake->spill[fake->refusals] = spill;
  fake->refused[fake->refusals++] = slot_request_id;
}

static void
on_acquire (struct ab_dispatcher_env *env)
{
  struct fake *self = (struct fake *)env;

  self->permits_requested++;
  self->permit_wanted = true;
}

static void
on_release (struct ab_dispatcher_env *env)
{
  ((struct fake *)env)->permits_released++;
}

static void
on_probe (struct ab_dispatcher_env *env, const char *target)
{
  (void)target;
  ((struct fake *)env)->probes++;
}

static void
on_event (struct ab_dispatcher_env *env, const struct ab_dispatch_event *event)
{
  ((struct fake *)env)->events[event->kind]++;
}

static const struct ab_dispatcher_ops ops = { .grant = on_grant,
                                              .refuse = on_refuse,
                                              .acquire_permit = on_acquire,
                                              .release_permit = on_release,
                                              .probe = on_probe,
                                              .event = on_event };

static struct fake fake;

static void
set_target (unsigned number, uint64_t incarnation, bool draining, bool warm)
{
  char address[32];
  struct ab_dispatcher_target target = { .address = address,
                                         .slots = 2,
                                         .incarnation = incarnation,
                                         .draining = draining };

  snprintf (address, sizeof address, "10.0.0.%u:80", number);
  ck_assert_int_eq (
      ab_dispatcher_set_target (fake.dispatcher, &target, warm, fake.now_ms),
      0);
}

static void
setup (unsigned targets, double floor)
{
  struct ab_dispatcher_options options = {
    .detection_weight = 1, .floor = floor, .queue = 10, .slow_start_ms = 1000
  };

  fake = (struct fake){ .env = { .ops = &ops }, .now_ms = 1000 };
  ab_rng_init_seeded (&fake.rng, 1);
  fake.dispatcher = ab_dispatcher_new (&fake.env, &options, &fake.rng);
  ck_assert_ptr_nonnull (fake.dispatcher);
  for (unsigned i = 0; i < targets; i++)
    set_target (i, 1, false, true);
}

static uint64_t
request_slot (uint64_t priority, uint64_t deadline_ms)
{
  struct ab_dispatcher_slot_request spec = { .id = ++fake.last_request_id,
                                             .requester = "entry-1",
                                             .class_name = AB_CHUNK ("lookup"),
                                             .priority = priority,
                                             .deadline_ms = deadline_ms };

  ab_dispatcher_request_slot (fake.dispatcher, &spec, fake.now_ms);
  return spec.id;
}

static void
end (uint64_t grant, enum ab_outcome_kind kind, uint64_t ms)
{
  struct ab_outcome outcome = { .kind = kind, .latency_us = ms * 1000 };

  ck_assert_int_eq (
      ab_dispatcher_outcome (fake.dispatcher, grant, &outcome, fake.now_ms),
      0);
}

/* Sends requests one after another; those to BAD end with KIND.  */
static void
serve (unsigned count, const char *bad, enum ab_outcome_kind kind)
{
  for (unsigned i = 0; i < count; i++)
    {
      fake.granted = 0;
      fake.refusals = 0;
      request_slot (0, fake.now_ms + 5000);
      fake.now_ms += 20;
      if (fake.granted)
        end (fake.grants[0].id,
             bad && strcmp (fake.targets[0], bad) == 0 ? kind : AB_OUTCOME_OK,
             20);
      ab_dispatcher_tick (fake.dispatcher, fake.now_ms);
      if (fake.permit_wanted && fake.grant_permits)
        {
          fake.permit_wanted = false;
          fake.permits_granted++;
          ab_dispatcher_permit_reply (fake.dispatcher, true, fake.now_ms);
        }
    }
}

/* Guards against granting more requests on a target than it has slots.  */
START_TEST (slots_are_exact)
{
  uint64_t count[TARGETS] = { 0 };

  setup (TARGETS, 0.5);
  for (int i = 0; i < 12; i++)
    request_slot (0, 100000);
  ck_assert_uint_eq (fake.granted, 2 * TARGETS);
  for (size_t i = 0; i < fake.granted; i++)
    count[fake.targets[i][7] - '0']++;
  for (int t = 0; t < TARGETS; t++)
    ck_assert_uint_eq (count[t], 2);
  end (fake.grants[0].id, AB_OUTCOME_OK, 10);
  ck_assert_uint_eq (fake.granted, 2 * TARGETS + 1);
  ab_dispatcher_free (fake.dispatcher);
}
END_TEST

/* Guards against serving the queue in order of arrival instead of by priority
   and deadline.  */
START_TEST (queue_order)
{
  uint64_t late;
  uint64_t early;
  uint64_t urgent;

  setup (1, 0.5);
  request_slot (0, 100000);
  request_slot (0, 100000);
  late = request_slot (0, 90000);
  early = request_slot (0, 80000);
  urgent = request_slot (3, 100000);
  end (fake.grants[0].id, AB_OUTCOME_OK, 10);
  end (fake.grants[1].id, AB_OUTCOME_OK, 10);
  end (fake.grants[2].id, AB_OUTCOME_OK, 10);
  ck_assert_uint_eq (fake.granted, 5);
  ck_assert_uint_eq (fake.grants[2].slot_request_id, urgent);
  ck_assert_uint_eq (fake.grants[3].slot_request_id, early);
  ck_assert_uint_eq (fake.grants[4].slot_request_id, late);
  ab_dispatcher_free (fake.dispatcher);
}
END_TEST

/* Guards against a queue that exceeds its limit, and against rejecting a
   request of higher priority when the queue is full.  */
START_TEST (queue_is_bounded)
{
  setup (1, 0.5);
  for (int i = 0; i < 2 + 10 + 5; i++)
    request_slot (0, 100000);
  ck_assert_uint_eq (fake.refusals, 5);
  request_slot (1, 100000);
  ck_assert_uint_eq (fake.refusals, 6);
  ck_assert_uint_lt (fake.refused[5], fake.last_request_id);
  ab_dispatcher_free (fake.dispatcher);
}
END_TEST

/* Guards against using slots for requests that will be late.  */
START_TEST (late_requests_are_rejected)
{
  uint64_t late_request;

  setup (1, 0.5);
  serve (200, NULL, AB_OUTCOME_OK);
  fake.granted = 0;
  fake.refusals = 0;
  request_slot (0, fake.now_ms + 5000);
  request_slot (0, fake.now_ms + 5000);
  late_request = request_slot (0, fake.now_ms + 200);
  ck_assert_uint_eq (fake.refusals, 0);
  fake.now_ms += 190;
  end (fake.grants[0].id, AB_OUTCOME_OK, 190);
  ck_assert_uint_eq (fake.refusals, 1);
  ck_assert_uint_eq (fake.refused[0], late_request);
  ab_dispatcher_free (fake.dispatcher);
}
END_TEST

/* Guards against losing slots for ever when the host that holds them dies.  */
START_TEST (slots_of_dead_requesters_are_freed)
{
  setup (1, 0.5);
  request_slot (0, 3000);
  request_slot (0, 3000);
  fake.now_ms = 3600;
  ab_dispatcher_tick (fake.dispatcher, fake.now_ms);
  request_slot (0, 9000);
  request_slot (0, 9000);
  ck_assert_uint_eq (fake.granted, 4);
  ab_dispatcher_remove_requester (fake.dispatcher, "entry-1", fake.now_ms);
  request_slot (0, 9000);
  ck_assert_uint_eq (fake.granted, 5);
  ab_dispatcher_free (fake.dispatcher);
}
END_TEST

/* Guards against counting an outcome twice.  */
START_TEST (second_outcome_is_refused)
{
  static const struct ab_outcome ok
      = { .kind = AB_OUTCOME_OK, .latency_us = 1000 };

  setup (1, 0.5);
  request_slot (0, 9000);
  end (fake.grants[0].id, AB_OUTCOME_OK, 10);
  ck_assert_int_eq (ab_dispatcher_outcome (fake.dispatcher, fake.grants[0].id,
                                           &ok, fake.now_ms),
                    AB_ERR_NOT_FOUND);
  ab_dispatcher_free (fake.dispatcher);
}
END_TEST

/* Guards against granting slots of a target that drains.  */
START_TEST (draining_target_gets_nothing)
{
  setup (2, 0.5);
  set_target (0, 1, true, true);
  for (int i = 0; i < 4; i++)
    request_slot (0, 9000);
  ck_assert_uint_eq (fake.granted, 2);
  for (size_t i = 0; i < fake.granted; i++)
    ck_assert_str_eq (fake.targets[i], "10.0.0.1:80");
  ab_dispatcher_free (fake.dispatcher);
}
END_TEST

/* Guards against full load on a target during its slow start.  */
START_TEST (cold_target_ramps_up)
{
  setup (0, 0.5);
  set_target (0, 1, false, false);
  request_slot (0, 9000);
  request_slot (0, 9000);
  ck_assert_uint_eq (fake.granted, 1);
  fake.now_ms += 1000;
  ab_dispatcher_tick (fake.dispatcher, fake.now_ms);
  ck_assert_uint_eq (fake.granted, 2);
  ab_dispatcher_free (fake.dispatcher);
}
END_TEST

/* Guards against ejecting a target without a permit, and against keeping the
   permit after the readmission.  */
START_TEST (ejection_needs_a_permit)
{
  setup (TARGETS, 0.5);
  serve (200, NULL, AB_OUTCOME_OK);
  serve (400, "10.0.0.2:80", AB_OUTCOME_RESET);
  ck_assert_uint_eq (fake.events[AB_DISPATCH_EJECTED], 0);
  ck_assert_uint_eq (fake.permits_requested, 1);
  ab_dispatcher_permit_reply (fake.dispatcher, true, fake.now_ms);
  serve (100, "10.0.0.2:80", AB_OUTCOME_RESET);
  ck_assert_uint_eq (fake.events[AB_DISPATCH_EJECTED], 1);
  for (int i = 0; i < 20 && fake.probes == 0; i++)
    serve (20, NULL, AB_OUTCOME_OK);
  ck_assert_uint_eq (fake.probes, 1);
  ab_dispatcher_probed (fake.dispatcher, "10.0.0.2:80", true, fake.now_ms);
  serve (200, NULL, AB_OUTCOME_OK);
  ck_assert_uint_eq (fake.events[AB_DISPATCH_READMITTED], 1);
  ck_assert_uint_eq (fake.permits_released, 1);
  ab_dispatcher_free (fake.dispatcher);
}
END_TEST

/* Guards against falling below the floor when permits are available.  */
START_TEST (floor_keeps_targets)
{
  setup (TARGETS, 0.8);
  fake.grant_permits = true;
  serve (200, NULL, AB_OUTCOME_OK);
  serve (400, "10.0.0.2:80", AB_OUTCOME_RESET);
  ck_assert_uint_eq (fake.events[AB_DISPATCH_EJECTED], 0);
  ck_assert_uint_gt (fake.events[AB_DISPATCH_REFUSED_BY_FLOOR], 0);
  ab_dispatcher_free (fake.dispatcher);
}
END_TEST

/* Guards against keeping a permit that the control group has revoked.  */
START_TEST (revoked_permit_readmits)
{
  struct ab_dispatcher_totals totals;

  setup (TARGETS, 0.5);
  serve (200, NULL, AB_OUTCOME_OK);
  fake.grant_permits = true;
  serve (400, "10.0.0.2:80", AB_OUTCOME_RESET);
  ck_assert_uint_ge (fake.events[AB_DISPATCH_EJECTED], 1);
  ab_dispatcher_permit_revoked (fake.dispatcher, fake.now_ms);
  ab_dispatcher_totals (fake.dispatcher, &totals);
  ck_assert_uint_eq (totals.out_slots, 0);
  ck_assert_uint_eq (totals.permits_held, 0);
  ck_assert_uint_eq (fake.permits_released, fake.permits_granted);
  ab_dispatcher_free (fake.dispatcher);
}
END_TEST

/* Guards against keeping a healthy target out of service for ever because its
   health endpoint always reports a failure.  */
START_TEST (failing_probe_does_not_eject_for_ever)
{
  setup (TARGETS, 0.5);
  serve (200, NULL, AB_OUTCOME_OK);
  fake.grant_permits = true;
  serve (400, "10.0.0.2:80", AB_OUTCOME_RESET);
  for (int i = 0; i < 1500; i++)
    {
      serve (1, NULL, AB_OUTCOME_OK);
      ab_dispatcher_probed (fake.dispatcher, "10.0.0.2:80", false,
                            fake.now_ms);
    }
  ck_assert_uint_ge (fake.events[AB_DISPATCH_READMITTED], 1);
  ab_dispatcher_free (fake.dispatcher);
}
END_TEST

/* Guards against spilling over to other failure domains while this one has
   free slots, and against queueing requests when only others have some.  */
START_TEST (spills_when_full)
{
  setup (1, 0.5);
  serve (50, NULL, AB_OUTCOME_OK);
  ab_dispatcher_set_remote_capacity (fake.dispatcher, 100, 0, 50);
  fake.refusals = 0;
  fake.granted = 0;
  for (int i = 0; i < 2; i++)
    request_slot (0, fake.now_ms + 5000);
  ck_assert_uint_eq (fake.refusals, 0);
  for (int i = 0; i < 12; i++)
    request_slot (0, fake.now_ms + 5000);
  ck_assert_uint_gt (fake.refusals, 0);
  ck_assert (fake.spill[0]);
  ab_dispatcher_free (fake.dispatcher);
}
END_TEST

/* Guards against a target that gets more requests than its rate limit, and
   against requests that wait for it although others are free.  */
START_TEST (rate_limit_is_kept)
{
  unsigned limited = 0;

  setup (2, 0.5);
  serve (50, NULL, AB_OUTCOME_OK);
  ab_dispatcher_set_rate_limit (fake.dispatcher, "10.0.0.0:80", 2000,
                                fake.now_ms);
  for (unsigned i = 0; i < 200; i++)
    {
      serve (1, NULL, AB_OUTCOME_OK);
      ck_assert_uint_eq (fake.granted, 1);
      limited += strcmp (fake.targets[0], "10.0.0.0:80") == 0;
    }
  /* 200 requests of 20 ms each.  */
  ck_assert_uint_le (limited, 9);
  ck_assert_uint_ge (limited, 1);
  ab_dispatcher_set_rate_limit (fake.dispatcher, "10.0.0.0:80", 0,
                                fake.now_ms);
  limited = 0;
  for (unsigned i = 0; i < 200; i++)
    {
      serve (1, NULL, AB_OUTCOME_OK);
      limited += strcmp (fake.targets[0], "10.0.0.0:80") == 0;
    }
  ck_assert_uint_gt (limited, 50);
  ab_dispatcher_free (fake.dispatcher);
}
END_TEST

/* Guards against requests that are queued although the rate limits of all
   targets leave no room before their deadlines.  */
START_TEST (rate_limit_rejects_early)
{
  setup (1, 0.5);
  serve (50, NULL, AB_OUTCOME_OK);
  ab_dispatcher_set_rate_limit (fake.dispatcher, "10.0.0.0:80", 500,
                                fake.now_ms);
  fake.granted = 0;
  fake.refusals = 0;
  request_slot (0, fake.now_ms + 3000);
  ck_assert_uint_eq (fake.granted, 0);
  ck_assert_uint_eq (fake.refusals, 1);
  ab_dispatcher_free (fake.dispatcher);
}
END_TEST

SUITE_MAIN ("dispatcher", 10, rate_limit_is_kept, rate_limit_rejects_early,
            slots_are_exact, queue_order, queue_is_bounded,
            late_requests_are_rejected, slots_of_dead_requesters_are_freed,
            second_outcome_is_refused, draining_target_gets_nothing,
            cold_target_ramps_up, ejection_needs_a_permit, floor_keeps_targets,
            revoked_permit_readmits, failing_probe_does_not_eject_for_ever,
            spills_when_full)
