/* Leases of targets at their registrar.  */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "error.h"
#include "lease.h"

#define LEASE_MS 3000
#define LEASE_COUNT 200

static struct ab_leases *leases;

struct taken
{
  size_t count;
  struct ab_lease first;
};

static void
setup (void)
{
  leases = ab_leases_new ();
}

static void
teardown (void)
{
  ab_leases_free (leases);
}

static struct ab_target_view
make_target (unsigned number, uint64_t incarnation)
{
  struct ab_target_view view
      = { .service = "counter", .slots = 2, .incarnation = incarnation };

  snprintf (view.address, sizeof view.address, "10.0.0.1:%u", number);
  return view;
}

static int
announce (unsigned number, uint64_t incarnation, const char *id, uint64_t now)
{
  struct ab_target_view view = make_target (number, incarnation);
  const struct ab_lease *lease;

  return ab_leases_announce (leases, &view, LEASE_MS, id, now, &lease);
}

static int
renew (const char *id, uint64_t now)
{
  const struct ab_lease *lease;

  return ab_leases_renew (leases, ab_chunk_str (id), now, &lease);
}

static void
record_taken (void *ctx, const struct ab_lease *lease)
{
  struct taken *taken = ctx;

  if (taken->count++ == 0)
    taken->first = *lease;
}

static struct taken
take (size_t max)
{
  struct taken taken = { .count = 0 };

  ab_leases_take (leases, max, record_taken, &taken);
  return taken;
}

/* Guards against a lease that expires although its target renews it, and
   against one that is kept although its target does not.  */
START_TEST (renewal_keeps_the_lease)
{
  ck_assert_int_eq (announce (1, 1, "a", 1000), 0);
  ck_assert_uint_eq (take (10).count, 1);
  ck_assert_int_eq (renew ("a", 3500), 0);
  ab_leases_expire (leases, 4500);
  ck_assert_uint_eq (take (10).count, 0);
  ab_leases_expire (leases, 6500);
  ck_assert_int_eq (take (10).first.state, AB_LEASE_ENDED);
  ck_assert_int_eq (renew ("a", 6600), AB_ERR_NOT_FOUND);
  ck_assert_uint_eq (ab_leases_count (leases), 0);
}
END_TEST

/* Guards against an earlier process of a target that can renew the lease of
   the new one, and against an announcement retried after a lost response that
   counts as a change.  */
START_TEST (newer_incarnation_replaces)
{
  struct ab_target_view view = make_target (1, 3);

  ck_assert_int_eq (announce (1, 1, "a", 1000), 0);
  ck_assert_int_eq (announce (1, 1, "b", 1100), 0);
  ck_assert_uint_eq (take (10).count, 1);
  ck_assert_int_eq (renew ("a", 1200), 0);
  ck_assert_int_eq (announce (1, 2, "c", 1300), 0);
  ck_assert_int_eq (renew ("a", 1400), AB_ERR_NOT_FOUND);
  ck_assert_int_eq (announce (1, 1, "d", 1500), AB_ERR_STALE);
  ab_leases_replace (leases, &view);
  ck_assert_int_eq (renew ("c", 1600), AB_ERR_STALE);
  ck_assert (!ab_leases_hold (leases, &view));
  ck_assert_uint_eq (take (10).count, 0);
}
END_TEST

/* Guards against a drain that waits behind a storm of announcements.  */
START_TEST (drain_goes_first)
{
  char id[AB_LEASE_ID_BYTES];
  const struct ab_lease *lease;
  struct taken taken;

  for (unsigned i = 0; i < LEASE_COUNT; i++)
    {
      snprintf (id, sizeof id, "%u", i);
      ck_assert_int_eq (announce (i, 1, id, 1000), 0);
    }
  ck_assert_int_eq (ab_leases_drain (leases, AB_CHUNK ("150"), 1000, &lease),
                    0);
  ck_assert_uint_eq (ab_leases_waiting (leases), LEASE_COUNT);
  taken = take (64);
  ck_assert_uint_eq (taken.count, 64);
  ck_assert_int_eq (taken.first.target.state, AB_TARGET_DRAINING);
  ck_assert_uint_eq (ab_leases_waiting (leases), LEASE_COUNT - 64);
}
END_TEST

/* Guards against a registrar that was cut off from all its targets, or did not
   run, and ends all their leases at once.  */
START_TEST (expiries_are_spread)
{
  char id[AB_LEASE_ID_BYTES];

  for (unsigned i = 0; i < LEASE_COUNT; i++)
    {
      snprintf (id, sizeof id, "%u", i);
      ck_assert_int_eq (announce (i, 1, id, 1000), 0);
    }
  take (LEASE_COUNT);
  for (uint64_t now = 1000; now <= 5000; now += 100)
    ab_leases_expire (leases, now);
  ck_assert_uint_le (take (LEASE_COUNT).count,
                     (size_t)(AB_LEASE_EXPIRY_FRACTION * LEASE_COUNT) * 2);
  for (unsigned i = 0; i < LEASE_COUNT; i++)
    {
      snprintf (id, sizeof id, "%u", i);
      renew (id, 5100);
    }
  ab_leases_expire (leases, 6000);
  ck_assert_uint_eq (take (LEASE_COUNT).count, 0);
  ab_leases_exclude_stall (leases, 10000);
  ab_leases_expire (leases, 18000);
  ck_assert_uint_eq (take (LEASE_COUNT).count, 0);
  ck_assert_uint_eq (ab_leases_overdue (leases, 18000), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("lease");
  TCase *tcase = tcase_create ("lease");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, renewal_keeps_the_lease);
  tcase_add_test (tcase, newer_incarnation_replaces);
  tcase_add_test (tcase, drain_goes_first);
  tcase_add_test (tcase, expiries_are_spread);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
