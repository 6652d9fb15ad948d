/* Tests with real processes that targets do not get more requests than they
   have slots when a scheduler returns.  */

#include "balance_load_lib.h"
#include "suite_lib.h"

/* Guards against a scheduler that takes all targets for idle when it returns
   while requests of its stand-in still run.  */
START_TEST (returned_scheduler_leaves_load_even)
{
  balance_run ("gf_return", true);
}
END_TEST

SUITE_MAIN ("fleet_balance_return", 90, returned_scheduler_leaves_load_even)
