#include "retry_budget.h"

#define MS_PER_S 1000

void
ab_retry_budget_init (struct ab_retry_budget *budget, double fraction,
                      uint64_t now_ms)
{
  *budget = (struct ab_retry_budget){ .fraction = fraction,
                                      .second = now_ms / MS_PER_S };
}

/* Empties the buckets of the seconds that have begun since the last call.  */
static void
advance_window (struct ab_retry_budget *budget, uint64_t now_ms)
{
  uint64_t second = now_ms / MS_PER_S;

  if (second > budget->second + AB_RETRY_WINDOW_S)
    budget->second = second - AB_RETRY_WINDOW_S;
  while (budget->second < second)
    {
      budget->second++;
      budget->requests[budget->second % AB_RETRY_WINDOW_S] = 0;
      budget->retries[budget->second % AB_RETRY_WINDOW_S] = 0;
    }
}

void
ab_retry_budget_request (struct ab_retry_budget *budget, uint64_t now_ms)
{
  advance_window (budget, now_ms);
  budget->requests[budget->second % AB_RETRY_WINDOW_S]++;
}

bool
ab_retry_budget_take (struct ab_retry_budget *budget, uint64_t now_ms)
{
  uint64_t requests = 0;
  uint64_t retries = 0;

  advance_window (budget, now_ms);
  for (int i = 0; i < AB_RETRY_WINDOW_S; i++)
    {
      requests += budget->requests[i];
      retries += budget->retries[i];
    }
  if (retries >= AB_RETRY_FLOOR
      && (double)(retries + 1) > budget->fraction * (double)requests)
    return false;
  budget->retries[budget->second % AB_RETRY_WINDOW_S]++;
  return true;
}
