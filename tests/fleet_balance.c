/* Tests with real processes that targets do not get more requests than they
   have slots when a scheduler is killed.  */

#include "balance_load_lib.h"
#include "suite_lib.h"

/* Guards against a successor that takes all targets for idle, and against
   hosts that place requests for themselves at the same targets, when the
   scheduler of a service is killed.  */
START_TEST (killed_scheduler_leaves_load_even)
{
  balance_run ("gf_balance", false);
}
END_TEST

SUITE_MAIN ("fleet_balance", 90, killed_scheduler_leaves_load_even)
