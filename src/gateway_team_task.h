/* Teams of callers, as a gateway handles them.

   When the bundle has teams, a request on a route that needs a key must carry
   the key of a team in one header, and its target gets the name of the team
   instead.  A flow keeps the team of the bundle that it began with, also for
   its later attempts.  */

#ifndef AB_GATEWAY_TEAM_TASK_H
#define AB_GATEWAY_TEAM_TASK_H

#include "gateway_flow_internal.h"

/* Returns whether FLOW, whose route is chosen, carries a key that cannot be
   checked yet because the bundle was never confirmed.  */
bool ab_gateway_team_awaits_view (const struct ab_gateway_flow *flow);

/* Finds the team of FLOW, whose route is chosen, and fills in what its slot
   request says about the team.  Returns 0, or AB_ERR_INVALID after the flow
   was rejected and thereby freed: with status 401 for its key, or with 503
   when the bundle is not confirmed to be recent enough to honour keys.  */
int ab_gateway_team_check (struct ab_gateway_flow *flow);

/* Counts a request that was refused with CODE for its key.  */
void ab_gateway_team_count_refusal (const struct ab_gateway_flow *flow,
                                    const char *code);

/* Returns whether the caller's header NAME with VALUE may be forwarded to a
   target.  With teams, the headers of the key and of the team are dropped, and
   so are headers that a target might read as one of them.  */
bool ab_gateway_team_forwards (const struct ab_gateway_flow *flow,
                               const char *name, const char *value);

/* Appends the header that names the team, if there is one, as a "Name:
   value\r\n" line.  */
void ab_gateway_team_print (const struct ab_gateway_flow *flow,
                            struct ab_buf *lines);

#endif
