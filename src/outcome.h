/* How a granted request ended.  */

#ifndef AB_OUTCOME_H
#define AB_OUTCOME_H

#include <stdint.h>

enum ab_outcome_kind
{
  AB_OUTCOME_OK,        /* Complete response, status below 500.  */
  AB_OUTCOME_ERROR,     /* Complete response, status 500 or above.  */
  AB_OUTCOME_SHED,      /* The target rejected it because of its load.  */
  AB_OUTCOME_REFUSED,   /* The connection failed.  */
  AB_OUTCOME_RESET,     /* Connection lost before a complete response.  */
  AB_OUTCOME_TIMEOUT,   /* Deadline passed without a complete response.  */
  AB_OUTCOME_CANCELLED, /* The caller disconnected.  */
  AB_OUTCOME_UNUSED     /* The grant was not used.  */
};

struct ab_outcome
{
  enum ab_outcome_kind kind;
  uint64_t latency_us;
};

#endif
