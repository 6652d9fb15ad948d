/* Division of a limited amount among holders by their demand.  No I/O.  */

#ifndef AB_LIMIT_DIVISION_H
#define AB_LIMIT_DIVISION_H

#include <stddef.h>

/* Returns the demand of holder INDEX.  */
typedef double (*ab_limit_demand_of) (const void *ctx, size_t index);

/* Returns the level of a max-min fair division of TOTAL among COUNT holders:
   those that demand less than the level get all of their demand, the others
   get the level.  If TOTAL exceeds the sum of all demands, the level is at
   least the largest of them.  */
double ab_limit_division_level (size_t count, double total,
                                ab_limit_demand_of demand_of, const void *ctx);

#endif
