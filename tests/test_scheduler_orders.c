/* Replays of a service whose requests all must not repeat, while some of its
   targets are not known to work.  Time is simulated.  */

#include "scheduler_replay_lib.h"
#include "suite_lib.h"

#define TARGETS 12
#define GRAY_TARGETS 4
#define LOAD 0.3
#define LENGTH_MS 45000
#define CAPACITY_PER_MS (2.0 * TARGETS / REPLAY_WORK_MS)
#define FIRST_ID 100
#define DETECTED_MS 5000

/* Requests a slot with so much time that the deadline is not near while the
   request is queued.  */
static void
request_slot (uint64_t id)
{
  struct ab_sched_slot_request slot_request
      = replay_make_slot_request (id, false);

  slot_request.objective_ms = 3000;
  slot_request.timeout_ms = 6000;
  ab_scheduler_request_slot (replay_sched, &slot_request, replay_now_ms);
}

/* Ends the requests up to LAST_ID that are due.  Gray targets fail them at
   once.  Returns how many failed.  */
static unsigned
run_targets (uint64_t last_id)
{
  unsigned failed = 0;

  for (uint64_t id = FIRST_ID; id <= last_id; id++)
    {
      const struct replay *replay = &replay_requests[id];
      bool is_gray = replay->target < GRAY_TARGETS;
      if (!replay->granted || replay->ends_ms == 0
          || (!is_gray && replay->ends_ms > replay_now_ms))
        continue;
      failed += is_gray;
      replay_end (id, is_gray ? AB_TARGET_ERROR : AB_TARGET_OK);
    }
  return failed;
}

/* A third of the targets is gray for good, at a third of the capacity.  Guards
   against orders that test them more often than once in four seconds after
   the first few.  */
START_TEST (tests_of_gray_targets_are_few)
{
  unsigned failed = 0;
  uint64_t id = FIRST_ID;
  double due = 0;

  replay_begin (TARGETS);
  replay_make_healthy (TARGETS, 1);
  for (uint64_t at_ms = 1; at_ms < LENGTH_MS; at_ms++)
    {
      unsigned failed_now;
      replay_now_ms++;
      due += LOAD * CAPACITY_PER_MS;
      while (due >= 1)
        {
          request_slot (++id);
          due--;
        }
      failed_now = run_targets (id);
      failed += at_ms > DETECTED_MS ? failed_now : 0;
      if (at_ms % AB_SCHED_TICK_MS == 0)
        ab_scheduler_tick (replay_sched, replay_now_ms);
    }
  ck_assert_uint_gt (failed, 0);
  ck_assert_uint_le (failed, 4 + (LENGTH_MS - DETECTED_MS) / 4000);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Orders have been queued for longer than a burst when untested targets join.
   Guards against orders that stay queued beside them, as the number of targets
   that orders test at a time is bounded otherwise.  */
START_TEST (backlog_of_orders_takes_untested_targets)
{
  unsigned granted = 0;

  replay_begin (1);
  replay_make_healthy (1, 1);
  for (uint64_t id = FIRST_ID; id < FIRST_ID + 20; id++)
    request_slot (id);
  replay_pass (400);
  for (unsigned i = 1; i <= 6; i++)
    replay_set_target (i, "d", AB_FLEET_TARGET_READY);
  replay_pass (AB_SCHED_TICK_MS);
  for (uint64_t id = FIRST_ID; id < FIRST_ID + 20; id++)
    granted += replay_requests[id].granted;
  /* Two slots at each target.  */
  ck_assert_uint_eq (granted, 14);
  ab_scheduler_free (replay_sched);
}
END_TEST

SUITE_MAIN ("scheduler_orders", 60, tests_of_gray_targets_are_few,
            backlog_of_orders_takes_untested_targets)
