/* Estimation of a target's health from outcomes.  */

#include "target_health.h"
#include "suite_lib.h"

static struct ab_target_health health;

static void
record (enum ab_target_event event, uint64_t now_ms)
{
  ab_target_health_record (&health, event, 100, 100, now_ms);
}

static enum ab_target_health_state
state (uint64_t now_ms)
{
  return ab_target_health_state (&health, now_ms);
}

/* Guards against ejecting a healthy target, which fails about one request in a
   hundred, for a single failure under load.  */
START_TEST (one_failure_makes_a_healthy_target_suspect)
{
  health = (struct ab_target_health){ 0 };
  record (AB_TARGET_OK, 1000);
  ck_assert_int_eq (state (1000), AB_TARGET_HEALTHY);
  record (AB_TARGET_ERROR, 1100);
  ck_assert_int_eq (state (1100), AB_TARGET_SUSPECT);
  record (AB_TARGET_OK, 1200);
  ck_assert_int_eq (state (1200), AB_TARGET_HEALTHY);
}
END_TEST

/* Guards against a gray target that keeps receiving work: the second failure
   in a row ejects it, and one success does not make it healthy again.  */
START_TEST (two_failures_eject)
{
  uint64_t now = 1200;

  health = (struct ab_target_health){ 0 };
  record (AB_TARGET_OK, 1000);
  record (AB_TARGET_ERROR, 1100);
  record (AB_TARGET_ERROR, now);
  ck_assert_int_eq (state (now), AB_TARGET_EJECTED);
  while (state (now) == AB_TARGET_EJECTED)
    now += 10;
  ck_assert_uint_le (now, 1200 + 2000);
  record (AB_TARGET_OK, now);
  ck_assert_int_eq (state (now), AB_TARGET_SUSPECT);
  record (AB_TARGET_OK, now + 1);
  ck_assert_int_eq (state (now + 1), AB_TARGET_HEALTHY);
}
END_TEST

/* Guards against orders for an untested target that fails.  */
START_TEST (first_failure_ejects_an_untested_target)
{
  health = (struct ab_target_health){ 0 };
  ck_assert_int_eq (state (10000), AB_TARGET_UNTESTED);
  record (AB_TARGET_ERROR, 10000);
  ck_assert_int_eq (state (10000), AB_TARGET_EJECTED);
}
END_TEST

/* Guards against a full target that is ejected, and one that sheds all
   requests and is not.  */
START_TEST (sheds_mean_busy_then_ejected)
{
  health = (struct ab_target_health){ 0 };
  record (AB_TARGET_OK, 1000);
  record (AB_TARGET_SHED, 1010);
  ck_assert_int_eq (state (1010), AB_TARGET_HEALTHY);
  ck_assert_uint_gt (health.busy_until_ms, 1010);
  for (uint64_t now = 1200; now < 2000; now += 200)
    {
      record (AB_TARGET_SHED, now);
      ck_assert_int_eq (state (now), AB_TARGET_HEALTHY);
    }
  record (AB_TARGET_SHED, 2000);
  ck_assert_int_eq (state (2000), AB_TARGET_EJECTED);
}
END_TEST

/* Guards against a target that counts as healthy because of an old
   success.  */
START_TEST (successes_lose_weight_with_age)
{
  health = (struct ab_target_health){ 0 };
  record (AB_TARGET_OK, 1000);
  ck_assert_int_eq (state (2000), AB_TARGET_HEALTHY);
  ck_assert_int_eq (state (60000), AB_TARGET_UNTESTED);
}
END_TEST

/* Guards against a gray target that is classified as a healthy one with a
   chance failure: a failure that comes at once ejects it, one after the
   typical latency does not.  */
START_TEST (quick_failure_weighs_more)
{
  for (int quick = 0; quick < 2; quick++)
    {
      health = (struct ab_target_health){ 0 };
      for (uint64_t now = 1000; now < 1500; now += 100)
        record (AB_TARGET_OK, now);
      ab_target_health_record (&health, AB_TARGET_ERROR, quick ? 1 : 100, 100,
                               1500);
      ck_assert_int_eq (state (1500) == AB_TARGET_EJECTED, quick);
    }
}
END_TEST

/* Guards against orders that wait for a complete response before a target
   counts as working, and against hanging requests that improve its state
   without limit.  */
START_TEST (outlasting_a_quick_failure_proves_a_little)
{
  double risk;

  health = (struct ab_target_health){ 0 };
  ck_assert (!ab_target_health_outlasts_quick_failure (10, 100));
  ck_assert (ab_target_health_outlasts_quick_failure (30, 100));
  ab_target_health_record_progress (&health, 1000);
  ck_assert_int_eq (state (1000), AB_TARGET_HEALTHY);
  for (int i = 0; i < 10; i++)
    ab_target_health_record_progress (&health, 1000);
  risk = ab_target_health_risk (&health, 1000);
  for (int i = 0; i < 3; i++)
    record (AB_TARGET_OK, 1000);
  ck_assert (ab_target_health_risk (&health, 1000) < risk);
}
END_TEST

/* Guards against a slow target that gets a second request while the first is
   overdue.  */
START_TEST (overdue_requests_count)
{
  double before;

  health = (struct ab_target_health){ 0 };
  record (AB_TARGET_OK, 1000);
  before = ab_target_health_risk (&health, 1000);
  ab_target_health_record_overdue (&health, 1000);
  ck_assert (ab_target_health_risk (&health, 1000) > before);
  record (AB_TARGET_OK, 1000);
  ck_assert_int_eq (state (1000), AB_TARGET_HEALTHY);
}
END_TEST

SUITE_MAIN ("target_health", 10, quick_failure_weighs_more,
            outlasting_a_quick_failure_proves_a_little, overdue_requests_count,
            one_failure_makes_a_healthy_target_suspect, two_failures_eject,
            first_failure_ejects_an_untested_target,
            sheds_mean_busy_then_ejected, successes_lose_weight_with_age)
