/* Load on a fleet whose targets reject most requests, and the check of its
   retry budget.

   The rule: in any BUDGET_WINDOW_MS, the arrivals at the targets of a service
   beyond the first one of each request are at most the fraction of the
   requests for it and the additional ones of the fleet.  Requests count in
   that window, the one before it or the one half a window before it, whichever
   has most.  */

#ifndef BUDGET_LOAD_LIB_H
#define BUDGET_LOAD_LIB_H

#include "gateway_fleet_lib.h"

#define BUDGET_WINDOW_MS 10000

struct budget_load
{
  const char *name; /* Of the folder of the fleet.  */
  int regions;      /* As in struct gf_fleet.  */
  int services;
  int controls;
  int gateways;
  int targets;
  int proxied_gateways; /* As for gf_start_wide.  */
  int retry_extra;
  double retry_fraction;
  int callers;
  int pause_ms;       /* Between two requests of a caller.  */
  int reject_percent; /* Share of the requests that targets reject.  */
  /* Largest share of the allowed repeated arrivals that may be used, and
     smallest number that must be.  */
  double share_max;
  size_t used_min;
};

/* Runs the callers of LOAD on a new fleet while DISTURB runs, and checks the
   budget of each service.  */
void budget_run (const struct budget_load *load,
                 void (*disturb) (struct gf_fleet *fleet));

/* Makes all targets serve every request, or reject them as LOAD says.  For
   DISTURB.  */
void budget_set_calm (const struct gf_fleet *fleet, bool calm);
/* Makes callers send COUNT times as many requests from now on.  For
   DISTURB.  */
void budget_set_burst (int count);

#endif
