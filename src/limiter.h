/* Limits of a team over the whole fleet.

   The owner of a team's limit divides its rate and concurrency among the
   hosts by their demand, in leases of AB_LIMIT_LEASE_MS.  The sum of all
   leases that may still be in use never exceeds the limit: a host that died
   with its share keeps it until the lease ends, and the others get it after
   that.  The holder keeps its share with a token bucket and a count of
   requests in flight.  Without an answer of the owner it goes on with the
   smaller of its last share and an equal split.

   Rates are requests a second; 0 stands for no bound, as in the bundle.  */

#ifndef AB_LIMITER_H
#define AB_LIMITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chunk.h"

#define AB_LIMIT_LEASE_MS 2000
#define AB_LIMIT_HOSTS_MAX 4096

struct ab_limit
{
  double rate;
  uint64_t concurrency;
};

struct ab_limit_demand
{
  double rate; /* Requests a second that came, refused ones included.  */
  uint64_t concurrency; /* Most in flight, refused ones included.  */
  uint64_t in_flight;   /* Now; may be more than a share that shrank.  */
};

struct ab_limit_share
{
  double rate;
  uint64_t concurrency;
};

/* Owner side, one for each team.  */

struct ab_limit_owner;

struct ab_limit_owner *ab_limit_owner_new (const struct ab_limit *limit,
                                           uint64_t now_ms);
void ab_limit_owner_free (struct ab_limit_owner *owner);
void ab_limit_owner_configure (struct ab_limit_owner *owner,
                               const struct ab_limit *limit);

/* Answers the demand of HOST with a share that holds for AB_LIMIT_LEASE_MS.
   A new owner grants at most an equal split among HOSTS hosts during its
   first lease time, as shares of its predecessor may still be in use.
   AB_ERR_FULL, AB_ERR_MEMORY.  */
int ab_limit_owner_demand (struct ab_limit_owner *owner, struct ab_chunk host,
                           const struct ab_limit_demand *demand, size_t hosts,
                           uint64_t now_ms, struct ab_limit_share *share);

/* Holder side, one for each team.  */

struct ab_limit_holder
{
  struct ab_limit limit;
  struct ab_limit_share share;
  bool has_share;
  uint64_t lease_until_ms;
  size_t hosts;
  size_t rank; /* Of this host, below HOSTS; spreads the remainder.  */
  double tokens;
  uint64_t filled_ms;
  uint64_t in_flight;
  /* Since the last demand.  */
  uint64_t wanted;
  uint64_t most;
  uint64_t counted_ms;
};

void ab_limit_holder_init (struct ab_limit_holder *holder,
                           const struct ab_limit *limit, size_t hosts,
                           size_t rank, uint64_t now_ms);
void ab_limit_holder_configure (struct ab_limit_holder *holder,
                                const struct ab_limit *limit, size_t hosts,
                                size_t rank);

/* Takes one request.  0, or AB_ERR_FULL with *RETRY_MS set.  */
int ab_limit_holder_take (struct ab_limit_holder *holder, uint64_t now_ms,
                          uint64_t *retry_ms);
void ab_limit_holder_done (struct ab_limit_holder *holder);

/* The demand since the last call.  */
void ab_limit_holder_demand (struct ab_limit_holder *holder, uint64_t now_ms,
                             struct ab_limit_demand *demand);

/* The owner's answer to a demand that was sent at SENT_MS.  The lease counts
   from then, so that it ends here before it ends at the owner.  */
void ab_limit_holder_grant (struct ab_limit_holder *holder,
                            const struct ab_limit_share *share,
                            uint64_t sent_ms);

/* What the holder may use now.  */
void ab_limit_holder_share (const struct ab_limit_holder *holder,
                            uint64_t now_ms, struct ab_limit_share *share);

#endif
