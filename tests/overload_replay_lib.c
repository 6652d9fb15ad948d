#include "overload_replay_lib.h"

#include <math.h>
#include <stdlib.h>

#include "suite_lib.h"

#define FIRST_ID 101

static double
rate_per_ms (const struct overload_stream *stream, uint64_t at_ms)
{
  bool is_surge = stream->surge > 0 && at_ms >= stream->surge_from_ms
                  && at_ms < stream->surge_until_ms;

  return stream->per_s / 1000 * (is_surge ? stream->surge : 1);
}

static void
request (struct overload *overload, size_t number)
{
  const struct overload_stream *stream = &overload->streams[number];
  uint64_t id = ++overload->last_id;
  struct ab_sched_slot_request slot_request
      = replay_make_slot_request (id, stream->idempotent);

  ck_assert_uint_lt (id, REPLAY_REQUESTS_MAX);
  memcpy (slot_request.team, stream->team, sizeof slot_request.team);
  slot_request.team_priority = stream->team_priority;
  slot_request.priority = stream->priority;
  slot_request.objective_ms = stream->objective_ms;
  slot_request.timeout_ms = stream->timeout_ms;
  overload->stream_of[id] = (unsigned char)number;
  replay_requests[id].requested = true;
  replay_requests[id].requested_ms = replay_now_ms;
  ab_scheduler_request_slot (replay_sched, &slot_request, replay_now_ms);
}

/* Fails the requests at targets that are gray.  */
static void
fail_requests (struct overload *overload, uint64_t at_ms)
{
  for (uint64_t id = FIRST_ID; id <= overload->last_id; id++)
    {
      const struct replay *replay = &replay_requests[id];
      uint64_t phase_ms
          = (at_ms + replay->target * GRAY_CYCLE_MS / overload->gray_targets)
            % GRAY_CYCLE_MS;
      if (replay->ends_ms == 0 || replay->target >= overload->gray_targets
          || phase_ms >= overload->gray_ms
          || replay->decided_ms == replay_now_ms)
        continue;
      overload->failed[id] = true;
      replay_in_flight[replay->target]--;
      replay_requests[id].ends_ms = 0;
      ab_scheduler_outcome (replay_sched, id, AB_TARGET_ERROR,
                            replay_now_ms - replay->decided_ms, replay_now_ms);
    }
}

void
overload_play (struct overload *overload, unsigned targets, uint64_t seed)
{
  struct ab_rng rng;

  ck_assert_uint_le (overload->count, OVERLOAD_STREAMS_MAX);
  ab_rng_init_seeded (&rng, seed);
  replay_begin (targets);
  replay_make_healthy (targets, 1);
  overload->begin_ms = replay_now_ms;
  overload->last_id = FIRST_ID - 1;
  for (uint64_t at_ms = 0; at_ms < overload->length_ms; at_ms++)
    {
      replay_now_ms = overload->begin_ms + at_ms;
      replay_finish_due (overload->last_id);
      if (overload->gray_targets > 0)
        fail_requests (overload, at_ms);
      for (size_t i = 0; i < overload->count; i++)
        if (ab_rng_unit (&rng) < rate_per_ms (&overload->streams[i], at_ms))
          request (overload, i);
      if (at_ms % AB_SCHED_TICK_MS == 0)
        ab_scheduler_tick (replay_sched, replay_now_ms);
    }
}

void
overload_count (const struct overload *overload, uint64_t from_ms,
                uint64_t length_ms, struct overload_shares *shares)
{
  memset (shares, 0, sizeof *shares);
  for (uint64_t id = FIRST_ID; id <= overload->last_id; id++)
    {
      const struct replay *replay = &replay_requests[id];
      uint64_t at_ms = replay->requested_ms - overload->begin_ms;
      bool served = replay->granted && !overload->failed[id];
      if (!replay->decided || at_ms < from_ms || at_ms >= from_ms + length_ms)
        continue;
      shares->requested[overload->stream_of[id]]++;
      shares->served[overload->stream_of[id]] += served;
      shares->all_requested++;
      shares->all_served += served;
    }
}

static int
compare_times (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return left < right ? -1 : left > right;
}

uint64_t
overload_rejection_ms (const struct overload *overload, uint64_t from_ms,
                       double quantile)
{
  static uint64_t times[REPLAY_REQUESTS_MAX];
  size_t count = 0;

  for (uint64_t id = FIRST_ID; id <= overload->last_id; id++)
    {
      const struct replay *replay = &replay_requests[id];
      if (replay->decided && !replay->granted
          && replay->requested_ms - overload->begin_ms >= from_ms)
        times[count++] = replay->decided_ms - replay->requested_ms;
    }
  if (count == 0)
    return 0;
  qsort (times, count, sizeof times[0], compare_times);
  return times[(size_t)((double)(count - 1) * quantile)];
}
