/* Retry budget: limits retries to a fraction of the requests of the last
   AB_RETRY_WINDOW_S seconds, so that retries add little load during an
   overload.  No I/O.  */

#ifndef AB_RETRY_BUDGET_H
#define AB_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define AB_RETRY_WINDOW_S 10
/* Retries per window that are always allowed: with little traffic the fraction
   alone would allow none.  */
#define AB_RETRY_FLOOR 3

struct ab_retry_budget
{
  double fraction;
  uint64_t second; /* Second of the newest bucket.  */
  uint32_t requests[AB_RETRY_WINDOW_S];
  uint32_t retries[AB_RETRY_WINDOW_S];
};

void ab_retry_budget_init (struct ab_retry_budget *budget, double fraction,
                           uint64_t now_ms);

/* Counts the first attempt of a request.  Not to be called for its
   retries.  */
void ab_retry_budget_request (struct ab_retry_budget *budget, uint64_t now_ms);

/* Takes one retry from the budget; returns false when it is used up.  */
bool ab_retry_budget_take (struct ab_retry_budget *budget, uint64_t now_ms);

#endif
