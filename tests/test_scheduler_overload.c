/* Replays of overload: requests of several teams and kinds ask for more than
   the targets can serve.  The bounds are those of part 3 of
   docs/design/teams-and-scarcity.md.  Time is simulated.  */

#include "overload_replay_lib.h"

#include <stdio.h>

#include "suite_lib.h"

#define TARGETS 16
/* Two slots at each target, REPLAY_WORK_MS a request.  */
#define CAPACITY_PER_S (TARGETS * 2 * 1000.0 / REPLAY_WORK_MS)
#define SEEDS 3
/* Fewer requests than this in a window say little about a share.  */
#define REQUESTED_MIN 20

/* The kinds of the ferry load, with the deadlines and mix of its page.  */
static const struct overload_stream kinds[] = {
  { .priority = 0, .objective_ms = 500, .timeout_ms = 2000, .per_s = 183 },
  { .priority = 1,
    .idempotent = true,
    .objective_ms = 800,
    .timeout_ms = 2500,
    .per_s = 295 },
  { .priority = 1, .objective_ms = 500, .timeout_ms = 2000, .per_s = 73 },
  { .priority = 2, .objective_ms = 1500, .timeout_ms = 3000, .per_s = 689 }
};
#define KINDS (sizeof kinds / sizeof kinds[0])
#define KINDS_PER_S 1240.0

static struct overload_stream streams[OVERLOAD_STREAMS_MAX];
static struct overload overload;

/* Lists the streams of TEAMS teams, whose sizes follow a power law, for a load
   of FACTOR times the capacity.  The last LOW_TEAMS have a less urgent rank.
   Without teams there is one stream for each kind.  */
static void
make_streams (unsigned teams, unsigned low_teams, double factor)
{
  unsigned groups = teams > 0 ? teams : 1;
  double weights = 0;

  overload = (struct overload){ .streams = streams, .length_ms = 10000 };
  for (unsigned i = 0; i < groups; i++)
    weights += 1.0 / (i + 1);
  for (unsigned i = 0; i < groups; i++)
    for (size_t kind = 0; kind < KINDS; kind++)
      {
        struct overload_stream *stream = &streams[overload.count++];
        *stream = kinds[kind];
        stream->per_s *= factor * CAPACITY_PER_S / KINDS_PER_S
                         / (double)(i + 1) / weights;
        stream->team_priority = i + low_teams >= teams && teams > 0;
        if (teams > 0)
          snprintf (stream->team, sizeof stream->team, "team%u", i);
      }
}

/* Adds up the streams of a window for which MATCHES returns true.  */
static double
share_of (const struct overload_shares *shares,
          bool (*matches) (const struct overload_stream *stream,
                           uint64_t value),
          uint64_t value, unsigned *requested)
{
  unsigned served = 0;

  *requested = 0;
  for (size_t i = 0; i < overload.count; i++)
    if (matches (&streams[i], value))
      {
        *requested += shares->requested[i];
        served += shares->served[i];
      }
  return *requested > 0 ? (double)served / *requested : 1;
}

static bool
is_of_kind (const struct overload_stream *stream, uint64_t priority)
{
  return stream->priority == priority;
}

static bool
is_of_team (const struct overload_stream *stream, uint64_t number)
{
  return strcmp (stream->team, streams[number * KINDS].team) == 0;
}

static bool
is_urgent_kind (const struct overload_stream *stream, uint64_t priority)
{
  return stream->priority == priority && stream->team_priority == 0;
}

static void
check_at_least (const struct overload_shares *shares,
                bool (*matches) (const struct overload_stream *stream,
                                 uint64_t value),
                uint64_t values, const char *what)
{
  double all = (double)shares->all_served / shares->all_requested;

  for (uint64_t value = 0; value < values; value++)
    {
      unsigned requested;
      double share = share_of (shares, matches, value, &requested);
      if (requested >= REQUESTED_MIN)
        ck_assert_msg (share >= all / 4, "%s %d: share %.3f of %u, all %.3f",
                       what, (int)value, share, requested, all);
    }
}

/* Checks the shares of teams and kinds in every window of the replay.  */
static void
check_shares (unsigned teams)
{
  for (uint64_t from_ms = 0;
       from_ms + OVERLOAD_WINDOW_MS <= overload.length_ms; from_ms += 500)
    {
      struct overload_shares shares;
      double before = 1;
      overload_count (&overload, from_ms, OVERLOAD_WINDOW_MS, &shares);
      check_at_least (&shares, is_of_kind, 3, "kind");
      check_at_least (&shares, is_of_team, teams, "team");
      for (uint64_t priority = 0; priority < 3; priority++)
        {
          unsigned requested;
          double share
              = share_of (&shares, is_urgent_kind, priority, &requested);
          ck_assert_msg (share <= before + 0.05, "kind %d: %.3f after %.3f",
                         (int)priority, share, before);
          before = share;
        }
    }
}

/* Guards against slots that stay free or go to requests in vain, and against
   requests that are queued and rejected later.  */
static void
check_use (double capacity_share)
{
  struct overload_shares shares;

  overload_count (&overload, 1000, OVERLOAD_WINDOW_MS, &shares);
  ck_assert_msg (shares.all_served * 1000.0 / OVERLOAD_WINDOW_MS
                     >= capacity_share * CAPACITY_PER_S,
                 "%u granted", shares.all_served);
  ck_assert_msg (overload_rejection_ms (&overload, 1000, 0.5) <= 10
                     && overload_rejection_ms (&overload, 1000, 0.9) <= 100,
                 "rejected after %d ms at the median, %d ms at nine tenths",
                 (int)overload_rejection_ms (&overload, 1000, 0.5),
                 (int)overload_rejection_ms (&overload, 1000, 0.9));
}

/* Guards against ranks and teams that starve, and against less urgent kinds
   that fare better, when all ask for twice the capacity.  */
START_TEST (sustained_overload_serves_all_ranks)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      make_streams (12, 3, 2.1);
      overload_play (&overload, TARGETS, seed);
      check_shares (12);
      check_use (0.95);
      ab_scheduler_free (replay_sched);
    }
}
END_TEST

/* The same without teams.  */
START_TEST (sustained_overload_without_teams)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      make_streams (0, 0, 2.1);
      overload_play (&overload, TARGETS, seed);
      check_shares (0);
      check_use (0.95);
      ab_scheduler_free (replay_sched);
    }
}
END_TEST

/* Targets turn gray in turn; the second kind may use those that are not known
   to work, the others may not.  Guards against a kind that fares better than a
   more urgent one because of that.  */
START_TEST (gray_targets_keep_ranks)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      make_streams (12, 3, 1.5);
      overload.gray_targets = 6;
      overload.gray_ms = 4000;
      overload_play (&overload, TARGETS, seed);
      check_shares (12);
      ab_scheduler_free (replay_sched);
    }
}
END_TEST

/* Half of the targets are gray for good.  They count in part as capacity, but
   orders do not use them.  Guards against orders that are queued because of
   that, and rejected later.  */
START_TEST (backlog_shows_the_real_capacity)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      make_streams (0, 0, 0.6);
      for (size_t i = 0; i < overload.count; i++)
        streams[i].idempotent = false;
      overload.gray_targets = TARGETS / 2;
      overload.gray_ms = GRAY_CYCLE_MS;
      overload_play (&overload, TARGETS, seed);
      ck_assert_uint_le (overload_rejection_ms (&overload, 2000, 0.9), 100);
      ab_scheduler_free (replay_sched);
    }
}
END_TEST

/* Guards against a route's priority that precedes its team's.  */
START_TEST (team_priority_precedes_route_priority)
{
  struct ab_sched_slot_request later = replay_make_slot_request (11, false);
  struct ab_sched_slot_request first = replay_make_slot_request (12, false);

  replay_begin (1);
  replay_make_healthy (1, 1);
  replay_request_slot (2, false);
  replay_request_slot (3, false);
  memcpy (later.team, "b", 2);
  later.team_priority = 1;
  memcpy (first.team, "a", 2);
  first.priority = 2;
  ab_scheduler_request_slot (replay_sched, &later, replay_now_ms);
  ab_scheduler_request_slot (replay_sched, &first, replay_now_ms);
  replay_now_ms += 50;
  replay_end (2, AB_TARGET_OK);
  ck_assert (replay_requests[12].granted);
  ck_assert (!replay_requests[11].granted);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* One team asks for 7.5 times its usual rate for 6.5 s, which brings a service
   at 0.7 of its capacity to 1.2 times.  Guards against harm to other
   teams.  */
START_TEST (team_beyond_its_share_harms_no_other)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct overload_shares shares;
      unsigned requested;
      make_streams (30, 0, 0.7);
      for (size_t i = 2 * KINDS; i < 3 * KINDS; i++)
        {
          streams[i].surge = 7.5;
          streams[i].surge_from_ms = 2000;
          streams[i].surge_until_ms = 8500;
        }
      overload_play (&overload, TARGETS, seed);
      overload_count (&overload, 2000, 6500, &shares);
      for (uint64_t team = 0; team < 30; team++)
        {
          double share = share_of (&shares, is_of_team, team, &requested);
          ck_assert_msg (team == 2 || share >= 0.97,
                         "team %d: %.3f of %u served", (int)team, share,
                         requested);
        }
      ab_scheduler_free (replay_sched);
    }
}
END_TEST

/* The second kind doubles for some seconds.  Guards against harm to more
   urgent kinds, and against a starved or preferred less urgent one.  */
START_TEST (doubled_kind_keeps_ranks)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct overload_shares shares;
      unsigned requested;
      make_streams (12, 3, 0.95);
      for (size_t i = 0; i < overload.count; i++)
        if (streams[i].priority == 1)
          {
            streams[i].surge = 2;
            streams[i].surge_from_ms = 3000;
            streams[i].surge_until_ms = 8000;
          }
      overload_play (&overload, TARGETS, seed);
      check_shares (12);
      overload_count (&overload, 3000, 5000, &shares);
      ck_assert_double_ge (share_of (&shares, is_urgent_kind, 0, &requested),
                           0.97);
      ab_scheduler_free (replay_sched);
    }
}
END_TEST

/* Requests are queued when most targets leave.  Guards against those that
   cannot be served any more and are told so only at their deadline.  */
START_TEST (queue_is_rejected_when_capacity_is_lost)
{
  unsigned rejected = 0;
  unsigned late = 0;
  uint64_t lost_ms;

  replay_begin (8);
  replay_make_healthy (8, 1);
  for (uint64_t id = 101; id <= 156; id++)
    replay_request_slot (id, false);
  lost_ms = replay_now_ms;
  for (unsigned i = 1; i < 8; i++)
    replay_set_target (i, "d", AB_FLEET_TARGET_DRAINING);
  for (; replay_now_ms < lost_ms + 3000; replay_now_ms++)
    {
      replay_finish_due (156);
      if (replay_now_ms % AB_SCHED_TICK_MS == 0)
        ab_scheduler_tick (replay_sched, replay_now_ms);
    }
  for (uint64_t id = 101; id <= 156; id++)
    {
      const struct replay *replay = &replay_requests[id];
      ck_assert (replay->decided);
      rejected += !replay->granted;
      late += !replay->granted
              && replay->decided_ms > lost_ms + AB_SCHED_TICK_MS;
    }
  /* 40 are queued; two slots serve ten of them in a second.  */
  ck_assert_uint_ge (rejected, 28);
  ck_assert_uint_le (late, 2);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Guards against a queue that waits for targets that have all left.  */
START_TEST (queue_is_rejected_without_targets)
{
  replay_begin (1);
  replay_make_healthy (1, 1);
  for (uint64_t id = 101; id <= 106; id++)
    replay_request_slot (id, false);
  replay_set_target (0, "d", AB_FLEET_TARGET_DRAINING);
  replay_pass (AB_SCHED_TICK_MS);
  for (uint64_t id = 103; id <= 106; id++)
    ck_assert_int_eq (replay_requests[id].decision, AB_SCHED_NO_TARGET);
  ab_scheduler_free (replay_sched);
}
END_TEST

/* Guards against a queued request that must give way to a more urgent one and
   is rejected only later: those at the end of the queue are rejected at that
   moment.  */
START_TEST (newcomer_displaces_the_last)
{
  replay_begin (1);
  replay_make_healthy (1, 1);
  for (uint64_t id = 101; id <= 111; id++)
    {
      struct ab_sched_slot_request low = replay_make_slot_request (id, false);
      low.priority = 1;
      ab_scheduler_request_slot (replay_sched, &low, replay_now_ms);
    }
  ck_assert_int_eq (replay_requests[111].decision, AB_SCHED_WAITING);
  for (uint64_t id = 121; id <= 124; id++)
    {
      replay_now_ms += 10;
      replay_request_slot (id, false);
      ck_assert_int_eq (replay_requests[id].decision, AB_SCHED_WAITING);
    }
  ck_assert_int_eq (replay_requests[111].decision, AB_SCHED_FULL);
  ck_assert_int_eq (replay_requests[103].decision, AB_SCHED_WAITING);
  ab_scheduler_free (replay_sched);
}
END_TEST

SUITE_MAIN ("scheduler_overload", 120, sustained_overload_serves_all_ranks,
            sustained_overload_without_teams, gray_targets_keep_ranks,
            backlog_shows_the_real_capacity,
            team_priority_precedes_route_priority,
            team_beyond_its_share_harms_no_other, doubled_kind_keeps_ranks,
            queue_is_rejected_when_capacity_is_lost,
            queue_is_rejected_without_targets, newcomer_displaces_the_last)
