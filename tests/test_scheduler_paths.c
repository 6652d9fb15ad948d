/* Replays a load of which a part comes from hosts that cannot reach a part of
   the targets, which all other hosts reach.  Time is simulated; arrivals are
   random with a fixed seed.  */

#include <stdio.h>

#include "rng.h"
#include "scheduler_replay_lib.h"
#include "suite_lib.h"

#define HOSTS 24
#define CUT_HOSTS 5
#define TARGETS 12
#define CUT_TARGETS 6
#define CONNECT_MS 350
#define HANG_MS 1000
#define FIRST_ID 101
/* Above what the targets serve, 120 requests a second.  */
#define REQUESTS_PER_S 220.0
#define IDEMPOTENT_SHARE 0.3
#define LENGTH_MS 12000
#define SETTLE_MS 2000
#define WINDOW_MS 2000
/* Of the targets that others reach, and of what they can serve, this share is
   in use in each window.  */
#define IN_USE_SHARE 0.7

static unsigned
host_of (uint64_t id)
{
  return (unsigned)(id % HOSTS);
}

static bool
is_cut (uint64_t id, unsigned target)
{
  return host_of (id) < CUT_HOSTS && target < CUT_TARGETS;
}

static void
request (uint64_t id, bool idempotent)
{
  struct ab_sched_slot_request slot_request
      = replay_make_slot_request (id, idempotent);

  snprintf (slot_request.host, sizeof slot_request.host, "host-%u",
            host_of (id));
  ab_scheduler_request_slot (replay_sched, &slot_request, replay_now_ms);
}

/* Ends the requests that are due.  Adds those that were served to SERVED, by
   target.  Each HANGS-th request without a path, if that is not 0, hangs on a
   connection of before.  */
static void
end_due (uint64_t last_id, unsigned hangs, unsigned served[TARGETS])
{
  for (uint64_t id = FIRST_ID; id <= last_id; id++)
    {
      const struct replay *replay = &replay_requests[id];
      bool cut = is_cut (id, replay->target);
      bool hanging = cut && hangs > 0 && id / HOSTS % hangs == 0;
      uint64_t after_ms = hanging ? HANG_MS
                          : cut   ? CONNECT_MS
                                  : REPLAY_WORK_MS;
      if (!replay->ends_ms || replay_now_ms < replay->decided_ms + after_ms)
        continue;
      served[replay->target] += !cut;
      replay_end (id, hanging ? AB_TARGET_TIMEOUT
                      : cut   ? AB_TARGET_UNREACHABLE
                              : AB_TARGET_OK);
    }
}

static void
check_window (const unsigned served[TARGETS], uint64_t at_ms)
{
  const double possible = TARGETS * 2 * (double)WINDOW_MS / REPLAY_WORK_MS;
  unsigned in_use = 0;
  unsigned all = 0;

  for (unsigned i = 0; i < TARGETS; i++)
    {
      in_use += served[i] > 0;
      all += served[i];
    }
  ck_assert_msg (in_use >= IN_USE_SHARE * TARGETS
                     && all >= IN_USE_SHARE * possible,
                 "until %llu ms: %u of %d targets in use, %u of %.0f requests",
                 (unsigned long long)at_ms, in_use, TARGETS, all, possible);
}

static void
play (unsigned hangs)
{
  struct ab_rng rng;
  unsigned served[TARGETS] = { 0 };
  uint64_t last_id = FIRST_ID - 1;
  uint64_t begin_ms;

  ab_rng_init_seeded (&rng, 1);
  replay_begin (TARGETS);
  replay_make_healthy (TARGETS, 1);
  begin_ms = replay_now_ms;
  for (uint64_t at_ms = 0; at_ms < LENGTH_MS; at_ms++)
    {
      replay_now_ms = begin_ms + at_ms;
      end_due (last_id, hangs, served);
      if (ab_rng_unit (&rng) < REQUESTS_PER_S / 1000)
        request (++last_id, ab_rng_unit (&rng) < IDEMPOTENT_SHARE);
      if (at_ms % AB_SCHED_TICK_MS == 0)
        ab_scheduler_tick (replay_sched, replay_now_ms);
      if ((at_ms + 1) % WINDOW_MS > 0)
        continue;
      if (at_ms >= SETTLE_MS)
        check_window (served, at_ms + 1);
      memset (served, 0, sizeof served);
    }
  ab_scheduler_free (replay_sched);
}

/* Guards against targets that are closed for all hosts because a few hosts
   cannot reach them.  */
START_TEST (unreachable_to_few_stays_in_use) { play (0); }
END_TEST

/* Guards against the same because requests of these hosts hang.  */
START_TEST (hanging_for_few_stays_in_use) { play (3); }
END_TEST

SUITE_MAIN ("scheduler_paths", 20, unreachable_to_few_stays_in_use,
            hanging_for_few_stays_in_use)
