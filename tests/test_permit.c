/* Ejection permits: a service never grants more permits than its floor
   allows.  */

#include <check.h>
#include <stdlib.h>

#include "error.h"
#include "permit.h"

static struct ab_permits *permits;
static const struct ab_chunk shop = { "shop", 4 };
static const struct ab_permit_holder host_a = { "a", 5 };
static const struct ab_permit_holder host_b = { "b", 7 };

static uint64_t
request_permits (const struct ab_permit_holder *holder, uint64_t sequence,
                 uint64_t count)
{
  uint64_t held;

  ck_assert_int_eq (
      ab_permits_set (permits, shop, holder, sequence, count, &held), 0);
  return held;
}

static struct ab_permit_counts
counts (void)
{
  struct ab_permit_counts result;

  ck_assert_int_eq (ab_permits_counts (permits, shop, &result), 0);
  return result;
}

static void
add_revoked (void *ctx, const struct ab_permit_holding *holding)
{
  *(uint64_t *)ctx += holding->revoked;
}

static uint64_t
revoked (void)
{
  uint64_t sum = 0;

  ab_permits_visit_holders (permits, add_revoked, &sum);
  return sum;
}

static void
setup (void)
{
  permits = ab_permits_new ();
  ab_permits_set_capacity (permits, shop, 10);
  ab_permits_set_floor (permits, shop, 0.75);
}

static void
teardown (void)
{
  ab_permits_free (permits);
}

/* Guards against rounding the floor down: 75% of 10 targets are 8.  */
START_TEST (floor_is_rounded_up)
{
  ck_assert_uint_eq (counts ().allowed, 2);
  ab_permits_set_floor (permits, shop, 0.8);
  ck_assert_uint_eq (counts ().allowed, 2);
  ab_permits_set_floor (permits, shop, 1);
  ck_assert_uint_eq (counts ().allowed, 0);
  ab_permits_set_floor (permits, shop, 0);
  ck_assert_uint_eq (counts ().allowed, 10);
  ab_permits_clear_floors (permits);
  ck_assert_uint_eq (counts ().allowed, 0);
}
END_TEST

/* Guards against counting a duplicate or delayed message as an additional
   permit.  */
START_TEST (latest_request_takes_effect)
{
  uint64_t held;

  ck_assert_uint_eq (request_permits (&host_a, 1, 1), 1);
  ck_assert_uint_eq (request_permits (&host_a, 1, 1), 1);
  ck_assert_uint_eq (request_permits (&host_a, 3, 0), 0);
  ck_assert_int_eq (ab_permits_set (permits, shop, &host_a, 2, 2, &held),
                    AB_ERR_STALE);
  ck_assert_uint_eq (counts ().outstanding, 0);
  ck_assert_uint_eq (request_permits (&host_a, 4, 5), 2);
  ck_assert_uint_eq (request_permits (&host_b, 1, 1), 0);
}
END_TEST

/* Guards against freeing the permits of an unresponsive host, and against
   permits for a process that was restarted or removed.  */
START_TEST (only_a_newer_incarnation_or_removal_frees)
{
  struct ab_permit_holder restarted = { "a", 6 };
  uint64_t held;

  request_permits (&host_a, 1, 2);
  ab_permits_host_seen (permits, &host_a);
  ck_assert_uint_eq (counts ().outstanding, 2);
  ab_permits_host_seen (permits, &restarted);
  ck_assert_uint_eq (counts ().outstanding, 0);
  ck_assert_int_eq (ab_permits_set (permits, shop, &host_a, 9, 1, &held),
                    AB_ERR_STALE);
  ck_assert_uint_eq (request_permits (&restarted, 1, 1), 1);
  ck_assert_int_eq (ab_permits_remove_host (permits, AB_CHUNK ("a")), 0);
  ck_assert_uint_eq (counts ().outstanding, 0);
  ck_assert_int_eq (ab_permits_set (permits, shop, &restarted, 2, 1, &held),
                    AB_ERR_STALE);
  restarted.incarnation++;
  ck_assert_uint_eq (request_permits (&restarted, 1, 1), 1);
}
END_TEST

/* Guards against an excess that is not revoked, and against counting a permit
   as free before its holder has returned it.  */
START_TEST (excess_is_revoked_and_stays_counted)
{
  ab_permits_set_floor (permits, shop, 0.5);
  request_permits (&host_a, 1, 3);
  request_permits (&host_b, 1, 2);
  ab_permits_set_capacity (permits, shop, 6);
  ck_assert_uint_eq (counts ().allowed, 3);
  ck_assert_uint_eq (counts ().outstanding, 5);
  ck_assert_uint_eq (revoked (), 2);
  ck_assert_uint_eq (request_permits (&host_a, 2, 2), 2);
  ck_assert_uint_eq (revoked (), 1);
  ck_assert_uint_eq (request_permits (&host_b, 2, 3), 2);
  ab_permits_set_capacity (permits, shop, 10);
  ck_assert_uint_eq (revoked (), 0);
}
END_TEST

/* Guards against a replica whose state differs after a restore, and against
   accepting a truncated snapshot.  */
START_TEST (snapshot_round_trip)
{
  struct ab_buf first = AB_BUF_INIT;
  struct ab_buf second = AB_BUF_INIT;
  struct ab_chunk input;

  request_permits (&host_a, 1, 2);
  ab_permits_set_capacity (permits, shop, 5);
  ab_permits_remove_host (permits, AB_CHUNK ("b"));
  ck_assert_int_eq (ab_permits_save (permits, &first), 0);
  ab_permits_free (permits);
  permits = ab_permits_new ();
  for (size_t len = 0; len < first.len; len++)
    {
      struct ab_permits *scratch = ab_permits_new ();
      input = ab_chunk (first.data, len);
      ck_assert_int_lt (ab_permits_load (scratch, &input), 0);
      ab_permits_free (scratch);
    }
  input = ab_buf_chunk (&first);
  ck_assert_int_eq (ab_permits_load (permits, &input), 0);
  ck_assert_int_eq (ab_permits_save (permits, &second), 0);
  ck_assert (ab_chunk_equal (ab_buf_chunk (&first), ab_buf_chunk (&second)));
  ab_buf_free (&first);
  ab_buf_free (&second);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("permit");
  TCase *tcase = tcase_create ("permit");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, floor_is_rounded_up);
  tcase_add_test (tcase, latest_request_takes_effect);
  tcase_add_test (tcase, only_a_newer_incarnation_or_removal_frees);
  tcase_add_test (tcase, excess_is_revoked_and_stays_counted);
  tcase_add_test (tcase, snapshot_round_trip);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
