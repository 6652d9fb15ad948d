/* Shares of ranks and teams in a scheduler: bounds of what is kept, reports of
   refusals, and the class of a rank.  */

#include "scheduler_shares.h"

#include <stdio.h>

#include "suite_lib.h"

static struct ab_sched_slot_request
make_slot_request (const char *team, uint64_t team_priority, uint64_t priority)
{
  struct ab_sched_slot_request slot_request = { .team_priority = team_priority,
                                                .priority = priority,
                                                .may_wait = true };

  ab_chunk_copy_bounded (ab_chunk_str (team), slot_request.team,
                         sizeof slot_request.team);
  return slot_request;
}

/* Guards against memory that grows with the number of teams and ranks.  */
START_TEST (few_teams_and_ranks_are_kept)
{
  struct ab_sched_shares shares = { 0 };
  struct ab_sched_place place;

  for (unsigned i = 0; i < 5000; i++)
    {
      char name[AB_NAME_BYTES];
      struct ab_sched_slot_request slot_request;
      snprintf (name, sizeof name, "team%u", i);
      slot_request = make_slot_request (name, i % 40, i % 7);
      ab_sched_shares_arrival (&shares, &slot_request, &place, 1000 + i);
    }
  ck_assert_uint_le (HASH_COUNT (shares.teams), AB_SCHED_TEAMS_MAX);
  ck_assert_uint_le (shares.rank_count, AB_SCHED_RANKS_MAX);
  for (size_t i = 1; i < shares.rank_count; i++)
    ck_assert (shares.ranks[i - 1].team_priority
                   < shares.ranks[i].team_priority
               || shares.ranks[i - 1].priority < shares.ranks[i].priority);
  ab_sched_shares_clear (&shares);
}
END_TEST

/* Guards against refusals that are counted twice, or to the wrong team.  */
START_TEST (refusals_name_rank_reason_and_team)
{
  struct ab_sched_shares shares = { 0 };
  struct ab_sched_refusals refusals;
  struct ab_sched_place place;

  for (unsigned i = 0; i < 10; i++)
    {
      struct ab_sched_slot_request slot_request
          = make_slot_request (i < 7 ? "large" : "small", 1, 2);
      ab_sched_shares_arrival (&shares, &slot_request, &place, 1000);
      ab_sched_shares_reject (&shares, &slot_request, &place,
                              i < 9 ? AB_SCHED_FULL : AB_SCHED_NO_TARGET,
                              1000);
    }
  ck_assert (ab_sched_shares_take_refusals (&shares, &refusals, 1000));
  ck_assert_uint_eq (refusals.team_priority, 1);
  ck_assert_uint_eq (refusals.priority, 2);
  ck_assert_uint_eq (refusals.full, 9);
  ck_assert_uint_eq (refusals.no_target, 1);
  ck_assert_str_eq (refusals.team, "large");
  ck_assert_uint_eq (refusals.team_refused, 7);
  ck_assert (!ab_sched_shares_take_refusals (&shares, &refusals, 1000));
  ab_sched_shares_clear (&shares);
}
END_TEST

/* Guards against a rank that was forgotten and starts anew with rounds that
   lie before those of its teams, which would then wait for all others.  */
START_TEST (forgotten_rank_keeps_its_rounds)
{
  struct ab_sched_shares shares = { 0 };
  struct ab_sched_slot_request busy = make_slot_request ("busy", 0, 0);
  struct ab_sched_slot_request other = make_slot_request ("other", 0, 0);
  struct ab_sched_place place;
  struct ab_sched_place other_place;
  uint64_t now_ms = 1000;

  for (unsigned i = 0; i < 100; i++)
    {
      ab_sched_shares_arrival (&shares, &busy, &place, now_ms);
      ab_sched_shares_grant (&shares, &busy, &place, now_ms);
    }
  now_ms += 10 * AB_SCHED_SHARE_WINDOW_MS;
  for (unsigned i = 0; i < AB_SCHED_RANKS_MAX; i++)
    {
      struct ab_sched_slot_request low = make_slot_request ("", 1 + i, 0);
      ab_sched_shares_arrival (&shares, &low, &place, now_ms);
    }
  ck_assert (shares.ranks[0].team_priority > 0);
  now_ms += 10 * AB_SCHED_SHARE_WINDOW_MS;
  ab_sched_shares_arrival (&shares, &busy, &place, now_ms);
  ab_sched_shares_arrival (&shares, &other, &other_place, now_ms);
  ck_assert_uint_eq (place.round, other_place.round);
  ab_sched_shares_clear (&shares);
}
END_TEST

/* Guards against a retry budget that keeps a part for ranks that do not occur,
   and against one that ignores teams.  */
START_TEST (class_follows_rank)
{
  struct ab_sched_shares shares = { 0 };
  struct ab_sched_place place;
  struct ab_sched_slot_request plain = make_slot_request ("", 0, 2);
  struct ab_sched_slot_request first = make_slot_request ("a", 0, 5);
  struct ab_sched_slot_request second = make_slot_request ("b", 1, 0);

  ck_assert_uint_eq (ab_sched_shares_class (&shares, &plain, 4), 0);
  ab_sched_shares_arrival (&shares, &second, &place, 1000);
  ab_sched_shares_arrival (&shares, &first, &place, 1000);
  ck_assert_uint_eq (ab_sched_shares_class (&shares, &first, 4), 0);
  ck_assert_uint_eq (ab_sched_shares_class (&shares, &second, 4), 1);
  plain.team_priority = 1;
  plain.priority = 9;
  ck_assert_uint_eq (ab_sched_shares_class (&shares, &plain, 4), 2);
  ck_assert_uint_eq (ab_sched_shares_class (&shares, &plain, 2), 1);
  ab_sched_shares_clear (&shares);
}
END_TEST

SUITE_MAIN ("scheduler_shares", 30, few_teams_and_ranks_are_kept,
            refusals_name_rank_reason_and_team,
            forgotten_rank_keeps_its_rounds, class_follows_rank)
