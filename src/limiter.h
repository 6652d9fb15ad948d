/* Rate and concurrency limits of a team across the whole fleet.

   One host is the owner of a team's limit.  It divides the rate and the
   concurrency among all hosts by their demand, in leases of AB_LIMIT_LEASE_MS.
   The sum of all leases that may still be in use never exceeds the limit: a
   host that died with its share keeps it until the lease expires, and the
   others get it after that.

   Each host that admits requests of the team is a holder of a lease.  It
   enforces its share with a token bucket and a count of requests in flight.
   When its lease expires because the owner did not reply, it continues with
   the smaller of its last share and an equal split of the limit.

   Rates are requests per second.  In a limit, 0 means no bound, as in the
   bundle.  Times are milliseconds of a monotonic clock.  No I/O.  */

#ifndef AB_LIMITER_H
#define AB_LIMITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chunk.h"
#include "token_bucket.h"

#define AB_LIMIT_LEASE_MS 2000
#define AB_LIMIT_HOSTS_MAX 4096

struct ab_limit
{
  double rate;
  uint64_t concurrency;
};

struct ab_limit_demand
{
  /* Requests per second that arrived, including rejected ones.  */
  double rate;
  /* Peak number of requests in flight.  A rejected request counts as in flight
     when it arrives.  */
  uint64_t concurrency;
  /* Requests in flight now; more than the share when that has shrunk.  */
  uint64_t in_flight;
};

struct ab_limit_share
{
  double rate;
  uint64_t concurrency;
};

/* Owner of a team's limit; one for each team.  */

struct ab_limit_owner;

struct ab_limit_owner *ab_limit_owner_new (const struct ab_limit *limit,
                                           uint64_t now_ms);
void ab_limit_owner_free (struct ab_limit_owner *owner);
void ab_limit_owner_configure (struct ab_limit_owner *owner,
                               const struct ab_limit *limit);

/* Grants HOST a SHARE according to its DEMAND, for AB_LIMIT_LEASE_MS.  A new
   owner grants at most an equal split among HOST_COUNT hosts during its first
   AB_LIMIT_LEASE_MS, because shares that its predecessor granted may still be
   in use.  Returns 0, AB_ERR_FULL when AB_LIMIT_HOSTS_MAX hosts have leases,
   AB_ERR_INVALID when the name HOST is too long, or AB_ERR_MEMORY.  */
int ab_limit_owner_grant (struct ab_limit_owner *owner, struct ab_chunk host,
                          const struct ab_limit_demand *demand,
                          size_t host_count, uint64_t now_ms,
                          struct ab_limit_share *share);

/* Holder of a share of a team's limit; one for each team and host.  */

struct ab_limit_holder
{
  struct ab_limit limit;
  struct ab_limit_share share;
  bool has_share;
  uint64_t lease_expires_ms;
  size_t host_count;
  /* Position of this host among all hosts, less than HOST_COUNT.  In an equal
     split, the hosts with the lowest ranks get the remainder.  */
  size_t rank;
  struct ab_token_bucket bucket;
  uint64_t in_flight;
  /* Counted since the demand was last collected, at COUNTING_SINCE_MS.  */
  uint64_t arrivals;
  uint64_t max_in_flight;
  uint64_t counting_since_ms;
};

void ab_limit_holder_init (struct ab_limit_holder *holder,
                           const struct ab_limit *limit, size_t host_count,
                           size_t rank, uint64_t now_ms);
void ab_limit_holder_configure (struct ab_limit_holder *holder,
                                const struct ab_limit *limit,
                                size_t host_count, size_t rank);

/* Admits one request.  Returns 0, or AB_ERR_FULL with the time after which a
   retry may succeed in *RETRY_AFTER_MS.  */
int ab_limit_holder_acquire (struct ab_limit_holder *holder, uint64_t now_ms,
                             uint64_t *retry_after_ms);
/* Ends a request that was admitted.  */
void ab_limit_holder_release (struct ab_limit_holder *holder);

/* Stores the demand since the last call in DEMAND.  */
void ab_limit_holder_collect_demand (struct ab_limit_holder *holder,
                                     uint64_t now_ms,
                                     struct ab_limit_demand *demand);

/* Accepts the owner's reply to a demand that was sent at SENT_MS.  The lease
   starts at SENT_MS, so that it expires here before it expires at the
   owner.  */
void ab_limit_holder_accept_grant (struct ab_limit_holder *holder,
                                   const struct ab_limit_share *share,
                                   uint64_t sent_ms);

/* Stores the share that the holder may use at NOW_MS in SHARE.  */
void ab_limit_holder_current_share (const struct ab_limit_holder *holder,
                                    uint64_t now_ms,
                                    struct ab_limit_share *share);

#endif
