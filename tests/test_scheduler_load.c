/* The time that a scheduler takes while many requests wait.  */

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "scheduler.h"
#include "suite_lib.h"

/* A failure domain of a large deployment after a loss of power: requests that
   were held all ask at once, of no target is anything known, and many fail. */
#define TARGETS 110
#define HELD 700
#define ASKS 600
#define DOMAIN_RATE                                                           \
  311 /* Requests a second, each with an ask and an outcome. */
/* The scheduler may use half of a host's 0.25 cores.  */
#define EVENT_US (1000000 * 0.125 / (2 * DOMAIN_RATE))
/* How much slower instrumented programs are.  */
#define SANITIZED_FACTOR 10

static uint64_t granted[HELD + ASKS + 1];
static size_t granted_count;

static void
on_decide (void *ctx, const struct ab_sched_ask *ask,
           const struct ab_sched_reply *reply)
{
  (void)ctx;
  if (reply->kind == AB_SCHED_GRANTED && granted_count < HELD + ASKS)
    granted[granted_count++] = ask->id;
}

static const struct ab_scheduler_ops ops = { .decide = on_decide };

static void
add_target (struct ab_scheduler *scheduler, unsigned number, uint64_t now)
{
  struct ab_fleet_target target = { .service = "s",
                                    .failure_domain = "d",
                                    .born = 1,
                                    .slots = 2,
                                    .state = AB_FLEET_TARGET_READY };

  snprintf (target.id, sizeof target.id, "%u", number);
  snprintf (target.address, sizeof target.address, "10.0.0.%u:80", number);
  ab_scheduler_set_target (scheduler, &target, "d", now);
}

static void
ask (struct ab_scheduler *scheduler, uint64_t id, uint64_t now)
{
  struct ab_sched_ask ask = { .id = id,
                              .host = "h",
                              .failure_domain = "d",
                              .service = "s",
                              .area = "d",
                              .idempotent = id % 4 == 0,
                              .may_wait = true,
                              .bulky = id % 2 == 0,
                              .priority = id % 3,
                              .objective_ms = 1200,
                              .time_ms = 3000 };

  ab_scheduler_ask (scheduler, &ask, now);
}

static double
cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Guards against a pass over all that wait, with a search over all targets for
   each of them, at every ask and outcome.  */
START_TEST (long_queue_costs_little)
{
  const struct ab_scheduler_config config = { .repeat_fraction = 0.2,
                                              .repeat_extra = 70,
                                              .repeat_window_ms = 10000 };
  struct ab_scheduler *scheduler = ab_scheduler_new (&config, &ops, NULL);
  uint64_t now = 100000;
  double bound = EVENT_US * (getenv ("AB_SANITIZED") ? SANITIZED_FACTOR : 1);
  double begin;
  size_t ended = 0;

  for (unsigned i = 0; i < TARGETS; i++)
    add_target (scheduler, i, now);
  for (uint64_t id = 1; id <= HELD; id++)
    ask (scheduler, id, now);
  begin = cpu_us ();
  for (uint64_t i = 0; i < ASKS; i++)
    {
      now += 2;
      ask (scheduler, HELD + 1 + i, now);
      if (ended < granted_count)
        {
          ab_scheduler_outcome (scheduler, granted[ended],
                                ended % 3 == 0 ? AB_TARGET_ERROR
                                               : AB_TARGET_OK,
                                ended % 3 == 0 ? 1 : 300, now);
          ended++;
        }
    }
  ck_assert_double_le ((cpu_us () - begin) / (ASKS + (double)ended), bound);
  ck_assert_uint_gt (ended, ASKS / 2);
  ab_scheduler_free (scheduler);
}
END_TEST

SUITE_MAIN ("scheduler_load", 60, long_queue_costs_little)
