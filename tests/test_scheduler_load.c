/* Processor time of a scheduler while many requests are queued.  */

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "scheduler.h"
#include "suite_lib.h"

/* A failure domain of a large deployment after a power failure: all held
   requests arrive at once, all targets are untested, and many requests fail.
   Each of the REQUESTS_PER_S requests a second has a slot request and an
   outcome.  */
#define TARGETS 110
#define HELD_REQUESTS 700
#define NEW_REQUESTS 600
#define REQUESTS_PER_S 311
/* The scheduler may use half of a host's 0.25 cores.  */
#define EVENT_US (1000000 * 0.125 / (2 * REQUESTS_PER_S))
/* Factor by which programs with sanitizers are slower.  */
#define SANITIZED_FACTOR 10

static uint64_t granted[HELD_REQUESTS + NEW_REQUESTS + 1];
static size_t granted_count;

static void
on_decide (void *ctx, const struct ab_sched_slot_request *slot_request,
           const struct ab_sched_reply *reply)
{
  (void)ctx;
  if (reply->decision == AB_SCHED_GRANTED
      && granted_count < HELD_REQUESTS + NEW_REQUESTS)
    granted[granted_count++] = slot_request->id;
}

static const struct ab_scheduler_ops ops = { .decide = on_decide };

static void
add_target (struct ab_scheduler *scheduler, unsigned number, uint64_t now)
{
  struct ab_fleet_target target = { .service = "s",
                                    .failure_domain = "d",
                                    .started_ms = 1,
                                    .slots = 2,
                                    .state = AB_FLEET_TARGET_READY };

  snprintf (target.id, sizeof target.id, "%u", number);
  snprintf (target.address, sizeof target.address, "10.0.0.%u:80", number);
  ab_scheduler_set_target (scheduler, &target, "d", now);
}

static void
request_slot (struct ab_scheduler *scheduler, uint64_t id, uint64_t now)
{
  struct ab_sched_slot_request slot_request = { .id = id,
                                                .host = "h",
                                                .failure_domain = "d",
                                                .service = "s",
                                                .shard = "d",
                                                .idempotent = id % 4 == 0,
                                                .may_wait = true,
                                                .large_body = id % 2 == 0,
                                                .priority = id % 3,
                                                .objective_ms = 1200,
                                                .timeout_ms = 3000 };

  ab_scheduler_request_slot (scheduler, &slot_request, now);
}

static double
cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Guards against a pass over the whole queue, with a search over all targets
   for each request, at every slot request and outcome.  */
START_TEST (long_queue_costs_little)
{
  const struct ab_scheduler_config config
      = { .retry_fraction = 0.2, .retry_extra = 70, .retry_window_ms = 10000 };
  struct ab_scheduler *scheduler = ab_scheduler_new (&config, &ops, NULL);
  uint64_t now = 100000;
  double bound = EVENT_US * (getenv ("AB_SANITIZED") ? SANITIZED_FACTOR : 1);
  double begin;
  size_t ended = 0;

  for (unsigned i = 0; i < TARGETS; i++)
    add_target (scheduler, i, now);
  for (uint64_t id = 1; id <= HELD_REQUESTS; id++)
    request_slot (scheduler, id, now);
  begin = cpu_us ();
  for (uint64_t i = 0; i < NEW_REQUESTS; i++)
    {
      now += 2;
      request_slot (scheduler, HELD_REQUESTS + 1 + i, now);
      if (ended < granted_count)
        {
          ab_scheduler_outcome (scheduler, granted[ended],
                                ended % 3 == 0 ? AB_TARGET_ERROR
                                               : AB_TARGET_OK,
                                ended % 3 == 0 ? 1 : 300, now);
          ended++;
        }
    }
  ck_assert_double_le ((cpu_us () - begin) / (NEW_REQUESTS + (double)ended),
                       bound);
  ck_assert_uint_gt (ended, NEW_REQUESTS / 2);
  ab_scheduler_free (scheduler);
}
END_TEST

SUITE_MAIN ("scheduler_load", 60, long_queue_costs_little)
