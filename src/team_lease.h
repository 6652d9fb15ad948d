/* Leases of fractions of one team's limit, at the leader of the control group.

   The leader leases up to TOTAL of the limit to control hosts, by their
   demand, for AB_TEAM_LEASE_MS.  A host counts the lease from the time at
   which it asked, so that it ends there before it ends here.  Until a host has
   said what it holds, the larger of its last two fractions counts as in use.

   A host that restarts has another life.  What its earlier life held stays in
   use until it expires.

   Times are milliseconds of a monotonic clock.  No I/O.  */

#ifndef AB_TEAM_LEASE_H
#define AB_TEAM_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "settings.h"

/* Holders ask every second: one lost message does not end a lease.  */
#define AB_TEAM_LEASE_MS 3000
#define AB_TEAM_HOLDERS_MAX 64

/* What a control host says when it asks for a lease.  */
struct ab_team_claim
{
  char host[AB_ADDRESS_BYTES];
  uint64_t life;   /* Random number of the host's process.  */
  uint64_t number; /* Number of its message; a later one is larger.  */
  double demand;   /* Requests per second.  */
  double held;     /* Fraction that it holds at present.  */
};

struct ab_team_holder
{
  struct ab_team_claim claim; /* The last one.  */
  double granted;
  double in_use;
  uint64_t expires_ms;
};

/* All zero: no lease.  */
struct ab_team_leases
{
  struct ab_team_holder *holders;
  size_t count;
};

void ab_team_leases_free (struct ab_team_leases *leases);

/* Returns the sum of the fractions that may be in use.  */
double ab_team_leases_in_use (struct ab_team_leases *leases, uint64_t now_ms);

/* Grants CLAIM's host a fraction of the limit, of which TOTAL may be leased,
   and stores it in *FRACTION.  RATE is the whole limit in requests per second.
   With RENEWAL the host gets no more than it holds.  Returns 0, AB_ERR_STALE
   for a claim that is not newer than the host's last one, AB_ERR_FULL or
   AB_ERR_MEMORY.  */
int ab_team_leases_grant (struct ab_team_leases *leases,
                          const struct ab_team_claim *claim, double total,
                          double rate, bool renewal, uint64_t now_ms,
                          double *fraction);

#endif
