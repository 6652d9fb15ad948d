/* Scheduling after gray targets have recovered.  Time is simulated.  */

#include "scheduler_replay_lib.h"
#include "suite_lib.h"

#define TARGETS 12
#define GRAY_TARGETS 4
#define GRAY_FROM_MS 2000
#define GRAY_UNTIL_MS 7000
#define END_MS 22000
#define STEP_MS 10
/* Requests in a second: a third of what the healthy targets serve.  */
#define REQUESTS_PER_S 30
/* A target that was without trouble for twice the stable window of 3 s counts
   as sound, and must then have a request in any 2 s.  */
#define USED_WITHIN_MS 8000
#define FIRST_ID 1000

/* Ends the requests from FIRST_ID up to LAST_ID that are due; those at gray
   targets fail at once.  */
static void
end_requests (uint64_t last_id, bool is_gray)
{
  for (uint64_t id = FIRST_ID; id < last_id; id++)
    {
      const struct replay *replay = &replay_requests[id];
      if (!replay->granted || replay->ends_ms == 0)
        continue;
      if (is_gray && replay->target < GRAY_TARGETS)
        replay_end (id, AB_TARGET_ERROR);
      else if (replay->ends_ms <= replay_now_ms)
        replay_end (id, AB_TARGET_OK);
    }
}

/* Guards against recovered targets that get no request while others have free
   slots, in a service whose requests all must not repeat: nothing else tests
   them.  */
START_TEST (recovered_targets_get_orders)
{
  uint64_t used_ms[GRAY_TARGETS] = { 0 };
  uint64_t id = FIRST_ID;
  uint64_t begin_ms;

  replay_begin (TARGETS);
  replay_make_healthy (TARGETS, 1);
  begin_ms = replay_now_ms;
  for (unsigned step = 0; step * STEP_MS < END_MS; step++)
    {
      uint64_t at_ms = step * STEP_MS;
      bool is_gray = at_ms >= GRAY_FROM_MS && at_ms < GRAY_UNTIL_MS;
      replay_now_ms = begin_ms + at_ms;
      if (step % 100 < REQUESTS_PER_S)
        {
          const struct replay *replay = replay_request_slot (id, false);
          if (at_ms >= GRAY_UNTIL_MS && replay->granted
              && replay->target < GRAY_TARGETS && used_ms[replay->target] == 0)
            used_ms[replay->target] = at_ms;
          id++;
        }
      end_requests (id, is_gray);
      if (step % 5 == 0)
        ab_scheduler_tick (replay_sched, replay_now_ms);
    }
  for (unsigned i = 0; i < GRAY_TARGETS; i++)
    {
      ck_assert_uint_gt (used_ms[i], 0);
      ck_assert_uint_le (used_ms[i], GRAY_UNTIL_MS + USED_WITHIN_MS);
    }
  ab_scheduler_free (replay_sched);
}
END_TEST

SUITE_MAIN ("scheduler_recovery", 60, recovered_targets_get_orders)
