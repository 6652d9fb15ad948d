/* Tests of the fleet-wide limits of teams.  */

#include <stdlib.h>

#include "error.h"
#include "suite_lib.h"
#include "team_limit_sim_lib.h"

#define SEEDS 120
#define RUN_MS 60000

static unsigned
run_disturbed (uint64_t seed)
{
  static const struct ab_team_rate rates[]
      = { { 1, 0 }, { 20, 5 }, { 60, 0 }, { 200, 30 } };
  struct sim *sim = sim_new (seed, 6, rates[seed % 4], seed % 5 == 0 ? 0 : 20);
  double load = 2 + 4 * ab_rng_unit (&sim->rng);
  uint64_t member_ms = 0;
  unsigned granted;

  sim->return_share = seed % 3 == 0 ? 0.5 : 0;
  sim->delay_ms = 1 + sim_below (sim, 40);
  sim->fault_interval_ms = 300 + sim_below (sim, 4000);
  while (sim->now_ms < RUN_MS)
    {
      double rate
          = (double)sim->changes[sim->change_count - 1].rate.rate_per_s;
      double due = load * (rate + 5) * STEP_MS / 1000;

      sim_step (sim);
      sim_disturb (sim, &member_ms);
      due += ab_rng_unit (&sim->rng);
      for (int left = (int)due; left > 0; left--)
        {
          int kind = (int)sim_below (sim, 5);
          int at = kind < 2   ? sim->hot
                   : kind < 4 ? sim->last_hot
                              : (int)sim_below (sim, HOSTS_MAX);
          if (sim->hosts[at].sim)
            sim_request (sim, at);
        }
    }
  sim_check_windows (sim, seed);
  granted = (unsigned)sim->grant_count;
  sim_free (sim);
  return granted;
}

/* Guards against tokens that two hosts grant for the same part of a limit:
   after a kill, a freeze, a cut, a change of the leader, of a member or of the
   limit.  */
START_TEST (bound_holds_under_faults)
{
  unsigned granted = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    granted += run_disturbed (seed);
  /* Nothing is proved where nothing is granted.  */
  ck_assert_uint_ge (granted, SEEDS * 100);
}
END_TEST

/* Sends RATE requests a second for 30 s, to all hosts if HOST is negative, and
   returns the refused part after the first 5 s.  */
static double
refused_in_calm (struct ab_team_rate limit, double rate, int host)
{
  struct sim *sim = sim_new (7, 6, limit, 20);
  unsigned asked = 0;
  unsigned refused = 0;
  double due = 0;
  double share;

  sim->calm = true;
  while (sim->now_ms < 36000)
    {
      sim_step (sim);
      if (sim->now_ms == 6000)
        {
          asked = sim->asked;
          refused = sim->refused;
        }
      due += rate * STEP_MS / 1000;
      if (due < 1)
        continue;
      sim_request (sim, host >= 0 ? host : (int)sim_below (sim, 6));
      due--;
    }
  sim_check_windows (sim, 0);
  share = (double)(sim->refused - refused) / (double)(sim->asked - asked);
  sim_free (sim);
  return share;
}

/* Guards against credit that is at the wrong host, and against fractions that
   are rounded away.  */
START_TEST (little_is_refused_below_the_limit)
{
  const struct ab_team_rate one = { .rate_per_s = 1 };
  const struct ab_team_rate some = { .rate_per_s = 20 };
  const struct ab_team_rate many = { .rate_per_s = 100, .burst = 20 };

  ck_assert_double_le (refused_in_calm (one, 1, -1), 0.01);
  ck_assert_double_le (refused_in_calm (one, 1, 3), 0.01);
  ck_assert_double_le (refused_in_calm (some, 20, 2), 0.01);
  ck_assert_double_le (refused_in_calm (some, 20, -1), 0.01);
  ck_assert_double_le (refused_in_calm (many, 100, 0), 0.01);
  ck_assert_double_le (refused_in_calm (many, 100, -1), 0.01);
}
END_TEST

/* Guards against a returned token that is credited twice, late, or by a
   process that did not grant it.  */
START_TEST (returned_tokens_are_credited_once_in_time)
{
  struct sim *sim = sim_new (1, 1, (struct ab_team_rate){ 10, 0 }, 20);
  struct host *host = &sim->hosts[0];
  struct ab_team_answer answer;
  struct ab_chunk team = AB_CHUNK (TEAM);

  sim->now_ms += 60000;
  ab_team_limits_contact (host->limits, sim_clock (host));
  while (
      ab_team_limits_take (host->limits, team, 100, sim_clock (host), &answer)
      == 0)
    ck_assert_uint_gt (answer.granted, 0);
  ck_assert (!ab_team_limits_credit (host->limits, team, 1, host->life + 2,
                                     answer.stamp_ms, sim_clock (host)));
  ck_assert (ab_team_limits_credit (host->limits, team, 1, host->life,
                                    sim_clock (host), sim_clock (host)));
  ck_assert_int_eq (
      ab_team_limits_take (host->limits, team, 5, sim_clock (host), &answer),
      0);
  ck_assert_uint_eq (answer.granted, 1);
  sim->now_ms += 500;
  ck_assert (!ab_team_limits_credit (host->limits, team, 1, host->life,
                                     answer.stamp_ms, sim_clock (host)));
  sim_free (sim);
}
END_TEST

/* Returns the fraction that HOST may use.  */
static double
fraction_at (const struct host *host)
{
  return ab_team_limits_fraction (host->limits, AB_CHUNK (TEAM),
                                  sim_clock (host));
}

/* Makes HOST report demand in message NUMBER.  */
static void
ask_lease (struct host *host, uint64_t number)
{
  struct ab_team_demand demand;
  struct ab_team_answer answer;

  ab_team_limits_take (host->limits, AB_CHUNK (TEAM), 20, sim_clock (host),
                       &answer);
  ck_assert_uint_eq (ab_team_limits_collect (host->limits, number, &demand, 1,
                                             sim_clock (host)),
                     1);
}

static void
accept_lease (struct host *host, uint64_t number, double fraction,
              bool renewal)
{
  ab_team_limits_accept (host->limits, AB_CHUNK (TEAM), number, fraction,
                         renewal, sim_clock (host));
}

/* Guards against leases that a host counts from the reply, that a late reply
   or a new leader's renewal raises, and that never end.  */
START_TEST (holder_counts_what_it_was_granted)
{
  struct sim *sim = sim_new (1, 6, (struct ab_team_rate){ 100, 0 }, 20);
  struct host *host = &sim->hosts[0];

  ask_lease (host, 1);
  sim->now_ms += 1000;
  ask_lease (host, 2);
  accept_lease (host, 1, 0.5, false);
  ck_assert_double_le (fraction_at (host), 0);
  accept_lease (host, 2, 0.5, true);
  ck_assert_double_le (fraction_at (host), 0);
  ask_lease (host, 3);
  sim->now_ms += 1000;
  accept_lease (host, 3, 0.25, false);
  ck_assert_double_eq_tol (fraction_at (host), 0.25, 1e-9);
  sim->now_ms += 500;
  ask_lease (host, 4);
  sim->now_ms += 500;
  accept_lease (host, 4, 0.5, true);
  ck_assert_double_eq_tol (fraction_at (host), 0.25, 1e-9);
  accept_lease (host, 4, 0.5, false);
  ck_assert_double_eq_tol (fraction_at (host), 0.25, 1e-9);
  sim->now_ms += AB_TEAM_LEASE_MS - 490;
  ck_assert_double_le (fraction_at (host), 0);
  sim_free (sim);
}
END_TEST

/* Guards against a floor that outlives a lowered limit or this host's
   replacement, and against a start with a full bucket.  */
START_TEST (floor_needs_contact)
{
  struct sim *sim = sim_new (1, 6, (struct ab_team_rate){ 100, 0 }, 20);
  struct host *host = &sim->hosts[0];
  struct ab_team_answer answer;
  struct ab_chunk team = AB_CHUNK (TEAM);

  ck_assert_int_eq (
      ab_team_limits_take (host->limits, team, 1, sim_clock (host), &answer),
      AB_ERR_STALE);
  ab_team_limits_contact (host->limits, sim_clock (host));
  ck_assert_int_eq (
      ab_team_limits_take (host->limits, team, 1, sim_clock (host), &answer),
      AB_ERR_FULL);
  sim->now_ms += WINDOW_MS - 10;
  ck_assert_int_eq (
      ab_team_limits_take (host->limits, team, 1, sim_clock (host), &answer),
      0);
  sim->now_ms += 20;
  ck_assert_int_eq (
      ab_team_limits_take (host->limits, team, 1, sim_clock (host), &answer),
      AB_ERR_STALE);
  sim_free (sim);
}
END_TEST

/* Guards against a leader that divides again what a host may still hold: one
   that was granted less, one that restarted, one whose messages are late.  */
START_TEST (leader_keeps_what_may_be_in_use)
{
  struct ab_team_leases leases = { .count = 0 };
  struct ab_team_claim a
      = { .host = "a", .life = 1, .number = 1, .demand = 100 };
  struct ab_team_claim b
      = { .host = "b", .life = 2, .number = 1, .demand = 100 };
  double fraction;

  ck_assert_int_eq (
      ab_team_leases_grant (&leases, &a, 0.6, 100, false, 0, &fraction), 0);
  ck_assert_double_eq_tol (fraction, 0.6, 1e-9);
  ck_assert_int_eq (
      ab_team_leases_grant (&leases, &a, 0.6, 100, false, 0, &fraction),
      AB_ERR_STALE);
  a = (struct ab_team_claim){
    .host = "a", .life = 1, .number = 2, .demand = 10, .held = 0.6
  };
  ab_team_leases_grant (&leases, &a, 0.6, 100, false, 1000, &fraction);
  ck_assert_double_lt (fraction, 0.2);
  ab_team_leases_grant (&leases, &b, 0.6, 100, false, 1000, &fraction);
  ck_assert_double_le (fraction, 0);
  a = (struct ab_team_claim){
    .host = "a", .life = 3, .number = 3, .demand = 100
  };
  ab_team_leases_grant (&leases, &a, 0.6, 100, false, 1500, &fraction);
  ck_assert_double_le (fraction, 0);
  b.number = 2;
  ab_team_leases_grant (&leases, &b, 0.6, 100, false, 1000 + AB_TEAM_LEASE_MS,
                        &fraction);
  ck_assert_double_ge (fraction, 0.29);
  ab_team_leases_free (&leases);
}
END_TEST

/* Guards against a leader that grants while its predecessor may still do so,
   after its own confirmation has aged, or from a full pool.  */
START_TEST (new_leader_waits)
{
  struct sim *sim = sim_new (1, 6, (struct ab_team_rate){ 100, 0 }, 20);
  struct host *host = &sim->hosts[0];
  struct ab_team_answer answer;
  struct ab_chunk team = AB_CHUNK (TEAM);

  ab_team_limits_lead (host->limits, true, 3, sim_clock (host));
  sim->now_ms += 890;
  ab_team_limits_confirm (host->limits, 3, sim_clock (host));
  ck_assert_int_eq (ab_team_limits_pool_take (host->limits, team, 1,
                                              sim_clock (host), &answer),
                    AB_ERR_NOT_LEADER);
  sim->now_ms += 12;
  ck_assert_int_eq (ab_team_limits_pool_take (host->limits, team, 1,
                                              sim_clock (host), &answer),
                    AB_ERR_FULL);
  sim->now_ms += 500;
  ab_team_limits_confirm (host->limits, 2, sim_clock (host));
  ck_assert_int_eq (ab_team_limits_pool_take (host->limits, team, 1,
                                              sim_clock (host), &answer),
                    0);
  sim->now_ms += 100;
  ck_assert_int_eq (ab_team_limits_pool_take (host->limits, team, 1,
                                              sim_clock (host), &answer),
                    AB_ERR_NOT_LEADER);
  sim_free (sim);
}
END_TEST

SUITE_MAIN ("team_limit", 240, bound_holds_under_faults,
            little_is_refused_below_the_limit,
            returned_tokens_are_credited_once_in_time,
            holder_counts_what_it_was_granted, floor_needs_contact,
            leader_keeps_what_may_be_in_use, new_leader_waits)
