/* Tests of team limits: an owner and its holders on a fake clock.  */

#include <stdio.h>
#include <stdlib.h>

#include "limiter.h"
#include "rng.h"
#include "suite_lib.h"

#define HOSTS 30
#define SECONDS 20

struct fleet
{
  struct ab_limit limit;
  struct ab_limit_owner *owner;
  struct ab_limit_holder holders[HOSTS];
  char names[HOSTS][16];
  bool dead[HOSTS];
  struct ab_rng rng;
  uint64_t now_ms;
  unsigned admitted;
};

static void
fleet_init (struct fleet *fleet, double rate, uint64_t concurrency)
{
  *fleet = (struct fleet){ .limit
                           = { .rate = rate, .concurrency = concurrency } };
  ab_rng_init_seeded (&fleet->rng, 1);
  fleet->owner = ab_limit_owner_new (&fleet->limit, 0);
  for (size_t i = 0; i < HOSTS; i++)
    {
      snprintf (fleet->names[i], sizeof fleet->names[i], "entry-%zu", i);
      ab_limit_holder_init (&fleet->holders[i], &fleet->limit, HOSTS, i, 0);
    }
}

static void
renew (struct fleet *fleet, size_t host)
{
  struct ab_limit_demand demand;
  struct ab_limit_share share;

  ab_limit_holder_collect_demand (&fleet->holders[host], fleet->now_ms,
                                  &demand);
  if (fleet->owner
      && ab_limit_owner_grant (fleet->owner, ab_chunk_str (fleet->names[host]),
                               &demand, HOSTS, fleet->now_ms, &share)
             == 0)
    ab_limit_holder_accept_grant (&fleet->holders[host], &share,
                                  fleet->now_ms);
}

/* Runs for MS.  Each millisecond PER_MS requests arrive: the fraction SKEW at
   host 0, the others at random hosts.  Requests end at once.  */
static void
fleet_run (struct fleet *fleet, uint64_t ms, unsigned per_ms, double skew)
{
  uint64_t end_ms = fleet->now_ms + ms;

  for (; fleet->now_ms < end_ms; fleet->now_ms++)
    {
      for (size_t i = 0; i < HOSTS; i++)
        if (!fleet->dead[i] && fleet->now_ms % 1000 == i * 33)
          renew (fleet, i);
      for (unsigned n = 0; n < per_ms; n++)
        {
          size_t host = ab_rng_unit (&fleet->rng) < skew
                            ? 0
                            : ab_rng_below (&fleet->rng, HOSTS);
          uint64_t retry_after_ms;

          if (fleet->dead[host]
              || ab_limit_holder_acquire (&fleet->holders[host], fleet->now_ms,
                                          &retry_after_ms)
                     < 0)
            continue;
          fleet->admitted++;
          ab_limit_holder_release (&fleet->holders[host]);
        }
    }
}

/* Guards against exceeding the limit by more than 5% in steady state, and
   against shares that leave most of it unused, for even and skewed demand. */
START_TEST (rate_stays_within_limit)
{
  static const double skews[] = { 0, 0.5, 0.95 };
  struct fleet fleet;

  fleet_init (&fleet, 1000, 0);
  fleet_run (&fleet, 10000, 3, skews[_i]);
  fleet.admitted = 0;
  fleet_run (&fleet, SECONDS * 1000, 3, skews[_i]);
  ck_assert_uint_le (fleet.admitted, 1050 * SECONDS);
  ck_assert_uint_ge (fleet.admitted, 800 * SECONDS);
  ab_limit_owner_free (fleet.owner);
}
END_TEST

/* Guards against reassigning a dead host's share while it may still be in use,
   and against losing the share permanently.  */
START_TEST (dead_hosts_share_is_reassigned)
{
  struct fleet fleet;

  fleet_init (&fleet, 1000, 0);
  fleet_run (&fleet, 10000, 3, 0.5);
  fleet.dead[0] = true;
  fleet_run (&fleet, 2 * AB_LIMIT_LEASE_MS + 2000, 3, 0);
  fleet.admitted = 0;
  fleet_run (&fleet, SECONDS * 1000, 3, 0);
  ck_assert_uint_le (fleet.admitted, 1050 * SECONDS);
  ck_assert_uint_ge (fleet.admitted, 800 * SECONDS);
  ab_limit_owner_free (fleet.owner);
}
END_TEST

/* Guards against exceeding the limit when the owner is lost and when a new
   one starts that does not know the old shares.  */
START_TEST (lost_and_new_owner)
{
  struct fleet fleet;

  fleet_init (&fleet, 1000, 0);
  fleet_run (&fleet, 10000, 3, 0.5);
  ab_limit_owner_free (fleet.owner);
  fleet.owner = NULL;
  fleet.admitted = 0;
  fleet_run (&fleet, SECONDS * 1000, 3, 0.5);
  ck_assert_uint_le (fleet.admitted, 1050 * SECONDS);
  fleet.owner = ab_limit_owner_new (&fleet.limit, fleet.now_ms);
  fleet.admitted = 0;
  fleet_run (&fleet, SECONDS * 1000, 3, 0.5);
  ck_assert_uint_le (fleet.admitted, 1050 * SECONDS);
  ck_assert_uint_ge (fleet.admitted, 800 * SECONDS);
  ab_limit_owner_free (fleet.owner);
}
END_TEST

/* Guards against more requests in flight than the limit, when all hosts admit
   as many as they can and no request ends.  */
START_TEST (concurrency_stays_within_limit)
{
  struct fleet fleet;
  uint64_t in_flight = 0;
  uint64_t retry_after_ms;

  fleet_init (&fleet, 0, 40);
  for (; fleet.now_ms < 20000; fleet.now_ms++)
    for (size_t i = 0; i < HOSTS; i++)
      {
        if (fleet.now_ms % 1000 == i * 33)
          renew (&fleet, i);
        if (ab_rng_below (&fleet.rng, 50) == 0)
          in_flight += ab_limit_holder_acquire (&fleet.holders[i],
                                                fleet.now_ms, &retry_after_ms)
                       == 0;
      }
  ck_assert_uint_le (in_flight, 42);
  ck_assert_uint_ge (in_flight, 20);
  ab_limit_owner_free (fleet.owner);
}
END_TEST

/* Guards against a holder that uses a share after its lease has expired.  */
START_TEST (share_ends_with_its_lease)
{
  static const struct ab_limit limit = { .rate = 300 };
  static const struct ab_limit_share large = { .rate = 250 };
  struct ab_limit_holder holder;
  struct ab_limit_share share;

  ab_limit_holder_init (&holder, &limit, HOSTS, 0, 0);
  ab_limit_holder_accept_grant (&holder, &large, 100);
  ab_limit_holder_current_share (&holder, 100 + AB_LIMIT_LEASE_MS - 1, &share);
  ck_assert (share.rate == 250);
  ab_limit_holder_current_share (&holder, 100 + AB_LIMIT_LEASE_MS, &share);
  ck_assert (share.rate == 10);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("limiter");
  TCase *tcase = tcase_create ("limiter");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_loop_test (tcase, rate_stays_within_limit, 0, 3);
  tcase_add_test (tcase, dead_hosts_share_is_reassigned);
  tcase_add_test (tcase, lost_and_new_owner);
  tcase_add_test (tcase, concurrency_stays_within_limit);
  tcase_add_test (tcase, share_ends_with_its_lease);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
