#include "team_lease.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "limit_division.h"

/* While the limit suffices, hosts get their demand multiplied by this.  */
#define DEMAND_HEADROOM 1.25
/* Hosts with less than this, in requests per second, get no lease: their
   requests come too seldom to use it.  With leases for all, a third of the
   requests of a team with 1 a second at random hosts were refused.  */
#define LEASE_RATE_MIN 2.0

/* A division of fractions: RATE requests per second are the whole.  */
struct division
{
  const struct ab_team_leases *leases;
  double rate;
};

void
ab_team_leases_free (struct ab_team_leases *leases)
{
  free (leases->holders);
  *leases = (struct ab_team_leases){ .count = 0 };
}

static void
drop_expired (struct ab_team_leases *leases, uint64_t now_ms)
{
  for (size_t i = leases->count; i > 0; i--)
    if (now_ms >= leases->holders[i - 1].expires_ms)
      leases->holders[i - 1] = leases->holders[--leases->count];
}

double
ab_team_leases_in_use (struct ab_team_leases *leases, uint64_t now_ms)
{
  double sum = 0;

  drop_expired (leases, now_ms);
  for (size_t i = 0; i < leases->count; i++)
    sum += leases->holders[i].in_use;
  return sum;
}

static struct ab_team_holder *
find_holder (const struct ab_team_leases *leases,
             const struct ab_team_claim *claim)
{
  for (size_t i = 0; i < leases->count; i++)
    {
      const struct ab_team_claim *known = &leases->holders[i].claim;

      if (known->life == claim->life && strcmp (known->host, claim->host) == 0)
        return &leases->holders[i];
    }
  return NULL;
}

static int
find_or_add_holder (struct ab_team_leases *leases,
                    const struct ab_team_claim *claim,
                    struct ab_team_holder **holder)
{
  struct ab_team_holder *grown;

  *holder = find_holder (leases, claim);
  if (*holder)
    return claim->number > (*holder)->claim.number ? 0 : AB_ERR_STALE;
  if (leases->count == AB_TEAM_HOLDERS_MAX)
    return AB_ERR_FULL;
  grown = realloc (leases->holders, (leases->count + 1) * sizeof *grown);
  if (!grown)
    return AB_ERR_MEMORY;
  leases->holders = grown;
  *holder = &grown[leases->count++];
  **holder = (struct ab_team_holder){ .granted = 0 };
  return 0;
}

static double
demand_of (const void *ctx, size_t index)
{
  const struct division *division = ctx;

  return division->leases->holders[index].claim.demand * DEMAND_HEADROOM
         / division->rate;
}

/* Returns the share of HOLDER in TOTAL.  What no host demands stays in the
   pool.  */
static double
compute_share (const struct ab_team_leases *leases,
               const struct ab_team_holder *holder, double total, double rate)
{
  const struct division division = { .leases = leases, .rate = rate };
  double share;

  if (rate <= 0)
    return 0;
  share = fmin (
      demand_of (&division, (size_t)(holder - leases->holders)),
      ab_limit_division_level (leases->count, total, demand_of, &division));
  return share * rate >= LEASE_RATE_MIN ? share : 0;
}

int
ab_team_leases_grant (struct ab_team_leases *leases,
                      const struct ab_team_claim *claim, double total,
                      double rate, bool renewal, uint64_t now_ms,
                      double *fraction)
{
  struct ab_team_holder *holder;
  double others;
  double share;
  int rc;

  drop_expired (leases, now_ms);
  rc = find_or_add_holder (leases, claim, &holder);
  if (rc < 0)
    return rc;
  holder->claim = *claim;
  holder->expires_ms = now_ms + AB_TEAM_LEASE_MS;
  others = ab_team_leases_in_use (leases, now_ms) - holder->in_use;
  share = renewal ? claim->held : compute_share (leases, holder, total, rate);
  share = fmax (0, fmin (share, total - others));
  holder->granted = share;
  /* The reply may be lost, and the host then keeps what it holds.  */
  holder->in_use = fmax (share, fmin (claim->held, 1));
  *fraction = share;
  return 0;
}
