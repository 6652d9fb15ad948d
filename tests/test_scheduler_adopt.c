/* A scheduler that replaces another one while requests are in flight.  */

#include <stdio.h>

#include "held_attempts.h"
#include "schedule_frame.h"
#include "suite_lib.h"

#define TARGETS 110
#define SLOTS 2
#define IN_FLIGHT 200
#define HOSTS 60
#define IDS (IN_FLIGHT + TARGETS * SLOTS + 1)

static int target_of[IDS]; /* Target of each granted id; -1: none.  */
static unsigned in_flight[TARGETS];
static unsigned most;

static void
on_decide (void *ctx, const struct ab_sched_slot_request *slot_request,
           const struct ab_sched_reply *reply)
{
  int target = atoi (reply->target);

  (void)ctx;
  if (reply->decision != AB_SCHED_GRANTED)
    return;
  target_of[slot_request->id] = target;
  if (++in_flight[target] > most)
    most = in_flight[target];
}

static const struct ab_scheduler_ops ops = { .decide = on_decide };

static struct ab_scheduler *
make_scheduler (void)
{
  const struct ab_scheduler_config config
      = { .retry_fraction = 0.2, .retry_extra = 8, .retry_window_ms = 10000 };
  struct ab_scheduler *scheduler = ab_scheduler_new (&config, &ops, NULL);

  for (unsigned i = 0; i < TARGETS; i++)
    {
      struct ab_fleet_target target = { .service = "s",
                                        .failure_domain = "d",
                                        .started_ms = 1,
                                        .slots = SLOTS,
                                        .state = AB_FLEET_TARGET_READY };
      snprintf (target.id, sizeof target.id, "%u", i);
      ab_scheduler_set_target (scheduler, &target, "", 1000);
    }
  return scheduler;
}

static void
request_slot (struct ab_scheduler *scheduler, uint64_t id, uint64_t now_ms)
{
  struct ab_sched_slot_request slot_request = { .id = id,
                                                .host = "h",
                                                .failure_domain = "d",
                                                .service = "s",
                                                .idempotent = true,
                                                .objective_ms = 800,
                                                .timeout_ms = 2500 };

  ab_scheduler_request_slot (scheduler, &slot_request, now_ms);
}

static bool
all_targets (void *ctx, const char *target)
{
  (void)ctx;
  (void)target;
  return true;
}

/* Passes what HELD reports to the process of SCHEDULER named "new"; returns
   the number of adopted attempts.  */
static size_t
report (struct ab_held_attempts *held, struct ab_scheduler *scheduler,
        uint64_t now_ms)
{
  struct ab_sched_attempt list[AB_SCHED_ADOPT_MAX];
  struct ab_buf body = AB_BUF_INIT;
  size_t adopted = 0;
  size_t count = ab_held_attempts_report (held, "new", all_targets, NULL, list,
                                          AB_SCHED_ADOPT_MAX, now_ms);

  ab_sched_pack_in_flight (&body, list, count);
  ck_assert_int_eq (
      ab_sched_read_in_flight (ab_buf_chunk (&body), list, &count), 0);
  for (size_t i = 0; i < count; i++)
    adopted += ab_scheduler_adopt (scheduler, "h", &list[i], now_ms);
  ab_buf_free (&body);
  return adopted;
}

/* Fills IN_FLIGHT slots of a scheduler, replaces it by another one and
   requests slots there until it has no more.  Returns the largest number of
   requests at one target.  With ENDS, the attempts end first.  */
static unsigned
replace (bool reports, bool ends)
{
  struct ab_held_attempts *held[HOSTS];
  struct ab_scheduler *first = make_scheduler ();
  struct ab_scheduler *second = make_scheduler ();
  char schedulers[AB_HELD_SCHEDULERS_MAX][AB_ADDRESS_BYTES];

  memset (in_flight, 0, sizeof in_flight);
  memset (target_of, -1, sizeof target_of);
  most = 0;
  for (size_t i = 0; i < HOSTS; i++)
    held[i] = ab_held_attempts_new ();
  for (uint64_t id = 1; id <= IN_FLIGHT; id++)
    {
      struct ab_sched_attempt attempt = { .id = id, .timeout_ms = 2500 };
      request_slot (first, id, 5000);
      ck_assert_int_ge (target_of[id], 0);
      snprintf (attempt.target, sizeof attempt.target, "%d", target_of[id]);
      ab_held_attempts_add (held[id % HOSTS], &attempt, "old", 5000);
    }
  for (size_t i = 0; reports && i < HOSTS; i++)
    report (held[i], second, 5100);
  for (uint64_t id = 1; ends && id <= IN_FLIGHT; id++)
    {
      ck_assert_uint_eq (
          ab_held_attempts_end (held[id % HOSTS], id, schedulers), 2);
      ck_assert_str_eq (schedulers[1], "new");
      ab_scheduler_outcome (second, id, AB_TARGET_OK, 130, 5130);
      in_flight[target_of[id]]--;
    }
  for (uint64_t id = IN_FLIGHT + 1; id < IDS; id++)
    request_slot (second, id, 5150);
  if (reports)
    ck_assert_uint_eq (ab_scheduler_overbooked (second).targets, 0);
  for (size_t i = 0; i < HOSTS; i++)
    ab_held_attempts_free (held[i]);
  ab_scheduler_free (first);
  ab_scheduler_free (second);
  return most;
}

/* Guards against a new scheduler that takes all targets for idle while
   requests that its predecessor placed still run there.  */
START_TEST (successor_knows_attempts_in_flight)
{
  unsigned before = replace (false, false);
  unsigned after = replace (true, false);
  unsigned granted = 0;

  printf ("%d in flight, %d targets with %d slots: most at a target %u "
          "without reports, %u with them\n",
          IN_FLIGHT, TARGETS, SLOTS, before, after);
  ck_assert_uint_gt (before, SLOTS);
  ck_assert_uint_le (after, SLOTS);
  for (unsigned i = 0; i < TARGETS; i++)
    granted += in_flight[i];
  ck_assert_uint_eq (granted, TARGETS * SLOTS);
}
END_TEST

/* Guards against slots that stay in use after an adopted attempt has ended. */
START_TEST (outcomes_free_adopted_slots)
{
  unsigned granted = 0;

  replace (true, true);
  for (unsigned i = 0; i < TARGETS; i++)
    granted += in_flight[i];
  ck_assert_uint_eq (granted, TARGETS * SLOTS);
}
END_TEST

/* Guards against a restarted scheduler that is not told, and against attempts
   that are told with every request or count twice.  */
START_TEST (each_process_is_told_once)
{
  struct ab_held_attempts *held = ab_held_attempts_new ();
  struct ab_scheduler *scheduler = make_scheduler ();
  struct ab_sched_attempt attempt
      = { .id = 1, .target = "3", .timeout_ms = 2500 };
  struct ab_sched_attempt unknown
      = { .id = 2, .target = "none", .timeout_ms = 2500 };

  ab_held_attempts_answered (held, "new", 7);
  ab_held_attempts_add (held, &attempt, "new", 5000);
  ab_held_attempts_add (held, &unknown, "old", 5000);
  /* The attempt that "new" granted is not told; its target being unknown, the
     other one is ignored.  */
  ck_assert_uint_eq (report (held, scheduler, 5010), 0);
  /* It restarts.  */
  ab_held_attempts_answered (held, "new", 8);
  ck_assert_uint_eq (report (held, scheduler, 5020), 1);
  ck_assert_uint_eq (report (held, scheduler, 5030), 0);
  /* A report may have been lost: it is repeated, and counts once.  */
  ab_held_attempts_silent (held, "new");
  ck_assert_uint_eq (report (held, scheduler, 5040), 0);
  ck_assert_uint_eq (ab_scheduler_overbooked (scheduler).targets, 0);
  /* Without an outcome, the slot is released after the deadline.  */
  ab_scheduler_tick (scheduler, 9100);
  ck_assert (ab_scheduler_adopt (scheduler, "h", &attempt, 9200));
  ab_held_attempts_free (held);
  ab_scheduler_free (scheduler);
}
END_TEST

SUITE_MAIN ("scheduler_adopt", 30, successor_knows_attempts_in_flight,
            outcomes_free_adopted_slots, each_process_is_told_once)
