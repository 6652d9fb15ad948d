/* Retry budget.  */

#include "retry_budget.h"
#include "suite_lib.h"

/* Guards against more retries than the fraction while every request fails.  */
START_TEST (stays_within_fraction)
{
  struct ab_retry_budget budget;
  unsigned retries = 0;

  ab_retry_budget_init (&budget, 0.1, 0);
  for (uint64_t ms = 0; ms < 60000; ms++)
    {
      ab_retry_budget_request (&budget, ms);
      retries += ab_retry_budget_take (&budget, ms);
    }
  ck_assert_uint_gt (retries, 5000);
  ck_assert_uint_le (retries, 6000 + AB_RETRY_FLOOR);
}
END_TEST

/* Guards against a host with little traffic that may never retry.  */
START_TEST (keeps_a_floor)
{
  struct ab_retry_budget budget;

  ab_retry_budget_init (&budget, 0.1, 0);
  ab_retry_budget_request (&budget, 0);
  for (int i = 0; i < AB_RETRY_FLOOR; i++)
    ck_assert (ab_retry_budget_take (&budget, 10));
  ck_assert (!ab_retry_budget_take (&budget, 10));
  ck_assert (ab_retry_budget_take (&budget, 11000));
}
END_TEST

/* Guards against retries that are allowed because of requests outside the
   window.  */
START_TEST (forgets_old_requests)
{
  struct ab_retry_budget budget;

  ab_retry_budget_init (&budget, 0.1, 0);
  for (int i = 0; i < 10000; i++)
    ab_retry_budget_request (&budget, 500);
  for (int i = 0; i < AB_RETRY_FLOOR; i++)
    ck_assert (ab_retry_budget_take (&budget, 3600000));
  ck_assert (!ab_retry_budget_take (&budget, 3600000));
}
END_TEST

SUITE_MAIN ("retry_budget", 10, stays_within_fraction, keeps_a_floor,
            forgets_old_requests)
