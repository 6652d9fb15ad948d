#include "limit_division.h"

#include <math.h>

/* Bound on the iterations.  */
#define ROUNDS_MAX 8

double
ab_limit_division_level (size_t count, double total,
                         ab_limit_demand_of demand_of, const void *ctx)
{
  double level = total;

  for (int round = 0; round < ROUNDS_MAX; round++)
    {
      double small_sum = 0;
      size_t large_count = 0;
      double next;

      for (size_t i = 0; i < count; i++)
        if (demand_of (ctx, i) < level)
          small_sum += demand_of (ctx, i);
        else
          large_count++;
      if (large_count == 0)
        {
          /* Every demand is met; the caller divides the rest.  */
          return level;
        }
      next = (total - small_sum) / (double)large_count;
      if (fabs (next - level) < 1e-9)
        break;
      level = next;
    }
  return level;
}
