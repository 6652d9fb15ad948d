/* What outcomes say about a target.  */

#include "target_health.h"
#include "suite_lib.h"

static struct ab_target_health health;

static void
note (enum ab_target_event event, uint64_t now_ms)
{
  ab_target_health_note (&health, event, 100, 100, now_ms);
}

static enum ab_target_trust
trust (uint64_t now_ms)
{
  return ab_target_health_trust (&health, now_ms);
}

/* Guards against healthy targets, which fail about one request in a hundred,
   being taken out for a single failure under load.  */
START_TEST (one_failure_of_a_working_target_is_a_suspicion)
{
  health = (struct ab_target_health){ 0 };
  note (AB_TARGET_OK, 1000);
  ck_assert_int_eq (trust (1000), AB_TRUST_PROVEN);
  note (AB_TARGET_ERROR, 1100);
  ck_assert_int_eq (trust (1100), AB_TRUST_TRIAL);
  note (AB_TARGET_OK, 1200);
  ck_assert_int_eq (trust (1200), AB_TRUST_PROVEN);
}
END_TEST

/* Guards against a gray target that keeps receiving work: the second failure
   in a row takes it out, and one success does not bring it back.  */
START_TEST (two_failures_take_it_out)
{
  uint64_t now = 1200;

  health = (struct ab_target_health){ 0 };
  note (AB_TARGET_OK, 1000);
  note (AB_TARGET_ERROR, 1100);
  note (AB_TARGET_ERROR, now);
  ck_assert_int_eq (trust (now), AB_TRUST_OUT);
  while (trust (now) == AB_TRUST_OUT)
    now += 10;
  ck_assert_uint_le (now, 1200 + 2000);
  note (AB_TARGET_OK, now);
  ck_assert_int_eq (trust (now), AB_TRUST_TRIAL);
  note (AB_TARGET_OK, now + 1);
  ck_assert_int_eq (trust (now + 1), AB_TRUST_PROVEN);
}
END_TEST

/* Guards against orders for a target that nobody has tried.  */
START_TEST (first_failure_of_a_new_target_takes_it_out)
{
  health = (struct ab_target_health){ 0 };
  ck_assert_int_eq (trust (10000), AB_TRUST_NEW);
  note (AB_TARGET_ERROR, 10000);
  ck_assert_int_eq (trust (10000), AB_TRUST_OUT);
}
END_TEST

/* Guards against a full target counted as sick, and one that sheds all.  */
START_TEST (sheds_mean_busy_then_sick)
{
  health = (struct ab_target_health){ 0 };
  note (AB_TARGET_OK, 1000);
  note (AB_TARGET_SHED, 1010);
  ck_assert_int_eq (trust (1010), AB_TRUST_PROVEN);
  ck_assert_uint_gt (health.busy_until_ms, 1010);
  for (uint64_t now = 1200; now < 2000; now += 200)
    {
      note (AB_TARGET_SHED, now);
      ck_assert_int_eq (trust (now), AB_TRUST_PROVEN);
    }
  note (AB_TARGET_SHED, 2000);
  ck_assert_int_eq (trust (2000), AB_TRUST_OUT);
}
END_TEST

/* Guards against trust in a success of long ago.  */
START_TEST (proof_ages)
{
  health = (struct ab_target_health){ 0 };
  note (AB_TARGET_OK, 1000);
  ck_assert_int_eq (trust (2000), AB_TRUST_PROVEN);
  ck_assert_int_eq (trust (60000), AB_TRUST_NEW);
}
END_TEST

/* Guards against a gray target that is taken for a healthy one with bad luck:
   a failure that comes at once takes it out, one after the usual time does
   not.  */
START_TEST (quick_failure_weighs_more)
{
  for (int quick = 0; quick < 2; quick++)
    {
      health = (struct ab_target_health){ 0 };
      for (uint64_t now = 1000; now < 1500; now += 100)
        note (AB_TARGET_OK, now);
      ab_target_health_note (&health, AB_TARGET_ERROR, quick ? 1 : 100, 100,
                             1500);
      ck_assert_int_eq (trust (1500) == AB_TRUST_OUT, quick);
    }
}
END_TEST

/* Guards against orders that wait for a whole response before a target counts
   as working, and against hanging requests that make it ever surer.  */
START_TEST (outlasted_failures_prove_a_little)
{
  double risk;

  health = (struct ab_target_health){ 0 };
  ck_assert (!ab_target_health_outlasted (10, 100));
  ck_assert (ab_target_health_outlasted (30, 100));
  ab_target_health_note_working (&health, 1000);
  ck_assert_int_eq (trust (1000), AB_TRUST_PROVEN);
  for (int i = 0; i < 10; i++)
    ab_target_health_note_working (&health, 1000);
  risk = ab_target_health_risk (&health, 1000);
  for (int i = 0; i < 3; i++)
    note (AB_TARGET_OK, 1000);
  ck_assert (ab_target_health_risk (&health, 1000) < risk);
}
END_TEST

/* Guards against a slow target that takes a second request while the first is
   late.  */
START_TEST (late_requests_count)
{
  double before;

  health = (struct ab_target_health){ 0 };
  note (AB_TARGET_OK, 1000);
  before = ab_target_health_risk (&health, 1000);
  ab_target_health_note_late (&health, 1000);
  ck_assert (ab_target_health_risk (&health, 1000) > before);
  note (AB_TARGET_OK, 1000);
  ck_assert_int_eq (trust (1000), AB_TRUST_PROVEN);
}
END_TEST

SUITE_MAIN ("target_health", 10, quick_failure_weighs_more,
            outlasted_failures_prove_a_little, late_requests_count,
            one_failure_of_a_working_target_is_a_suspicion,
            two_failures_take_it_out,
            first_failure_of_a_new_target_takes_it_out,
            sheds_mean_busy_then_sick, proof_ages)
