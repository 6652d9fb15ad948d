/* How a granted request ended.  */

#ifndef AB_OUTCOME_H
#define AB_OUTCOME_H

#include <stdint.h>

enum ab_outcome_kind
{
  AB_OUTCOME_OK,        /* Whole response, status below 500.  */
  AB_OUTCOME_ERROR,     /* Whole response, status 500 or above.  */
  AB_OUTCOME_SHED,      /* The target's own refusal for load.  */
  AB_OUTCOME_REFUSED,   /* No connection.  */
  AB_OUTCOME_RESET,     /* Connection lost before the whole response.  */
  AB_OUTCOME_TIMEOUT,   /* Deadline passed without a whole response.  */
  AB_OUTCOME_CANCELLED, /* The caller went away.  */
  AB_OUTCOME_UNUSED     /* The grant was not used.  */
};

struct ab_outcome
{
  enum ab_outcome_kind kind;
  uint64_t latency_us;
};

#endif
