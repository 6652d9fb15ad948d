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

SUITE_MAIN ("target_health", 10,
            one_failure_of_a_working_target_is_a_suspicion,
            two_failures_take_it_out,
            first_failure_of_a_new_target_takes_it_out,
            sheds_mean_busy_then_sick, proof_ages)
