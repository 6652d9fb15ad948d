/* Processor time of a slot request and its outcome in the scheduler, by the
   number of targets and of queued requests.  */

#include <stdio.h>

#include "clock.h"
#include "scheduler.h"

#define SLOTS 6
#define ROUNDS 4000
#define GRANTED_MAX 4096
#define TARGETS_MIN 36
#define TARGETS_MAX 288
#define WAITING_STEP 200
#define WAITING_MAX 400
#define LATENCY_MS 200
#define DEADLINE_MS 600000

/* State of a measurement; GRANTED_IDS is a ring of the ids of granted
   requests, oldest first.  */
struct load
{
  struct ab_scheduler *scheduler;
  uint64_t now_ms;
  uint64_t next_id;
  uint64_t granted_ids[GRANTED_MAX];
  size_t granted_count;
  size_t ended_count;
};

static void
on_decide (void *ctx, const struct ab_sched_slot_request *slot_request,
           const struct ab_sched_reply *reply)
{
  struct load *load = ctx;

  if (reply->decision == AB_SCHED_GRANTED)
    load->granted_ids[load->granted_count++ % GRANTED_MAX] = slot_request->id;
}

static const struct ab_scheduler_ops ops = { .decide = on_decide };

static void
add_targets (struct load *load, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      struct ab_fleet_target target = { .service = "s",
                                        .failure_domain = "d",
                                        .started_ms = 1,
                                        .slots = SLOTS,
                                        .state = AB_FLEET_TARGET_READY };
      snprintf (target.id, sizeof target.id, "%u", i);
      ab_scheduler_set_target (load->scheduler, &target, "", load->now_ms);
    }
}

static void
request_slot (struct load *load, bool idempotent)
{
  const struct ab_sched_slot_request request = { .id = load->next_id++,
                                                 .host = "h",
                                                 .failure_domain = "d",
                                                 .service = "s",
                                                 .idempotent = idempotent,
                                                 .may_wait = true,
                                                 .objective_ms = DEADLINE_MS,
                                                 .timeout_ms = DEADLINE_MS };

  ab_scheduler_request_slot (load->scheduler, &request, load->now_ms);
}

static void
end_oldest (struct load *load)
{
  if (load->ended_count < load->granted_count)
    ab_scheduler_outcome (load->scheduler,
                          load->granted_ids[load->ended_count++ % GRANTED_MAX],
                          AB_TARGET_OK, LATENCY_MS, load->now_ms);
}

static void
measure (unsigned targets, unsigned waiting)
{
  const struct ab_scheduler_config config
      = { .retry_fraction = 0.2, .retry_extra = 64, .retry_window_ms = 10000 };
  struct load load = { .now_ms = 100000, .next_id = 1 };
  unsigned busy = waiting > 0 ? targets * SLOTS : targets * SLOTS / 2;
  uint64_t begin_us;

  load.scheduler = ab_scheduler_new (&config, &ops, &load);
  add_targets (&load, targets);
  for (unsigned i = 0; i < busy; i++)
    {
      request_slot (&load, i % 4 == 0);
      load.now_ms += 2;
      if (i % 25 == 0)
        ab_scheduler_tick (load.scheduler, load.now_ms);
    }
  for (unsigned i = 0; i < waiting; i++)
    request_slot (&load, false);
  begin_us = ab_clock_monotonic_us ();
  for (unsigned i = 0; i < ROUNDS; i++)
    {
      end_oldest (&load);
      request_slot (&load, i % 4 == 0);
      load.now_ms += 2;
    }
  printf ("| %u | %u | %.1f |\n", targets, waiting,
          (double)(ab_clock_monotonic_us () - begin_us) / ROUNDS);
  ab_scheduler_free (load.scheduler);
}

int
main (void)
{
  printf ("| targets | waiting | us per slot request and outcome "
          "|\n|---|---|---|\n");
  for (unsigned targets = TARGETS_MIN; targets <= TARGETS_MAX; targets *= 2)
    for (unsigned waiting = 0; waiting <= WAITING_MAX; waiting += WAITING_STEP)
      measure (targets, waiting);
  return 0;
}
