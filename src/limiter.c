#include "limiter.h"

#include <math.h>
#include <stdlib.h>

#include "error.h"
#include "limit_division.h"
#include "settings.h"

/* Size of the token bucket, as the time in which it fills.  Longer bursts
   would exceed the limit by more than 5% in windows of a few seconds.  */
#define BURST_MS 100.0
/* Fraction of the rate that is divided equally among all hosts, so that a host
   can admit its first requests without waiting for the next division.  */
#define EVENLY_DIVIDED_FRACTION 0.05
/* While the limit suffices, hosts get their demand multiplied by this.  */
#define DEMAND_HEADROOM 1.25

struct lease
{
  char host[AB_NAME_BYTES];
  struct ab_limit_demand demand;
  struct ab_limit_share share;
  uint64_t expires_ms;
};

struct ab_limit_owner
{
  struct ab_limit limit;
  uint64_t created_ms;
  struct lease *leases;
  size_t count;
};

struct ab_limit_owner *
ab_limit_owner_new (const struct ab_limit *limit, uint64_t now_ms)
{
  struct ab_limit_owner *owner = calloc (1, sizeof *owner);

  if (!owner)
    return NULL;
  owner->limit = *limit;
  owner->created_ms = now_ms;
  return owner;
}

void
ab_limit_owner_free (struct ab_limit_owner *owner)
{
  if (!owner)
    return;
  free (owner->leases);
  free (owner);
}

void
ab_limit_owner_configure (struct ab_limit_owner *owner,
                          const struct ab_limit *limit)
{
  owner->limit = *limit;
}

static void
drop_expired (struct ab_limit_owner *owner, uint64_t now_ms)
{
  for (size_t i = owner->count; i > 0; i--)
    if (now_ms >= owner->leases[i - 1].expires_ms)
      owner->leases[i - 1] = owner->leases[--owner->count];
}

static int
find_or_add_lease (struct ab_limit_owner *owner, struct ab_chunk host,
                   struct lease **lease)
{
  struct lease *grown;

  for (size_t i = 0; i < owner->count; i++)
    if (ab_chunk_equal (ab_chunk_str (owner->leases[i].host), host))
      {
        *lease = &owner->leases[i];
        return 0;
      }
  if (owner->count == AB_LIMIT_HOSTS_MAX)
    return AB_ERR_FULL;
  grown = realloc (owner->leases, (owner->count + 1) * sizeof *grown);
  if (!grown)
    return AB_ERR_MEMORY;
  owner->leases = grown;
  *lease = &grown[owner->count];
  **lease = (struct lease){ .expires_ms = 0 };
  if (!ab_chunk_copy (host, (*lease)->host, sizeof (*lease)->host))
    return AB_ERR_INVALID;
  owner->count++;
  return 0;
}

static double
demand_rate (const void *ctx, size_t index)
{
  const struct ab_limit_owner *owner = ctx;

  return owner->leases[index].demand.rate * DEMAND_HEADROOM;
}

static double
demand_concurrency (const void *ctx, size_t index)
{
  const struct ab_limit_owner *owner = ctx;

  return ceil ((double)owner->leases[index].demand.concurrency
               * DEMAND_HEADROOM);
}

/* Returns the part of TOTAL that the holder of LEASE gets while other holders
   have USED of it.  What no host demands is divided equally among all
   HOST_COUNT hosts.  */
static double
compute_share (const struct ab_limit_owner *owner, const struct lease *lease,
               size_t host_count, double total, double used,
               ab_limit_demand_of demand_of)
{
  double level
      = ab_limit_division_level (owner->count, total, demand_of, owner);
  double share
      = fmin (demand_of (owner, (size_t)(lease - owner->leases)), level);
  double sum = 0;

  for (size_t i = 0; i < owner->count; i++)
    sum += demand_of (owner, i);
  if (sum < total)
    share += (total - sum)
             / (double)(host_count > owner->count ? host_count : owner->count);
  return fmax (0, fmin (share, total - used));
}

/* Returns how many requests the holder of LEASE may have in flight: its share,
   or more when the share has shrunk below the number in flight.  */
static uint64_t
concurrency_used (const struct lease *lease)
{
  return lease->demand.in_flight > lease->share.concurrency
             ? lease->demand.in_flight
             : lease->share.concurrency;
}

/* Stores what the holders other than that of SELF may use in USED.  */
static void
sum_others (const struct ab_limit_owner *owner, const struct lease *self,
            struct ab_limit_share *used)
{
  *used = (struct ab_limit_share){ .rate = 0 };
  for (size_t i = 0; i < owner->count; i++)
    if (&owner->leases[i] != self)
      {
        used->rate += owner->leases[i].share.rate;
        used->concurrency += concurrency_used (&owner->leases[i]);
      }
}

/* Reduces SHARE to an equal split while leases of a previous owner may still
   be in use.  */
static void
cap_for_new_owner (const struct ab_limit_owner *owner, size_t host_count,
                   uint64_t now_ms, struct ab_limit_share *share)
{
  double equal_fraction = host_count > 0 ? 1.0 / (double)host_count : 1;

  if (now_ms >= owner->created_ms + AB_LIMIT_LEASE_MS)
    return;
  share->rate = fmin (share->rate, owner->limit.rate * equal_fraction);
  share->concurrency
      = (uint64_t)fmin ((double)share->concurrency,
                        (double)owner->limit.concurrency * equal_fraction);
}

int
ab_limit_owner_grant (struct ab_limit_owner *owner, struct ab_chunk host,
                      const struct ab_limit_demand *demand, size_t host_count,
                      uint64_t now_ms, struct ab_limit_share *share)
{
  double evenly_divided = owner->limit.rate * EVENLY_DIVIDED_FRACTION;
  struct ab_limit_share used;
  struct lease *lease;
  int rc;

  drop_expired (owner, now_ms);
  rc = find_or_add_lease (owner, host, &lease);
  if (rc < 0)
    return rc;
  lease->demand = *demand;
  sum_others (owner, lease, &used);
  share->rate = compute_share (owner, lease, host_count,
                               owner->limit.rate - evenly_divided, used.rate,
                               demand_rate);
  share->rate += evenly_divided / (double)(host_count > 0 ? host_count : 1);
  share->rate = fmax (0, fmin (share->rate, owner->limit.rate - used.rate));
  share->concurrency = (uint64_t)compute_share (
      owner, lease, host_count, (double)owner->limit.concurrency,
      (double)used.concurrency, demand_concurrency);
  cap_for_new_owner (owner, host_count, now_ms, share);
  lease->share = *share;
  lease->expires_ms = now_ms + AB_LIMIT_LEASE_MS;
  return 0;
}

void
ab_limit_holder_init (struct ab_limit_holder *holder,
                      const struct ab_limit *limit, size_t host_count,
                      size_t rank, uint64_t now_ms)
{
  *holder = (struct ab_limit_holder){
    .bucket = { .capacity = 1, .tokens = 1, .updated_ms = now_ms },
    .counting_since_ms = now_ms
  };
  ab_limit_holder_configure (holder, limit, host_count, rank);
}

void
ab_limit_holder_configure (struct ab_limit_holder *holder,
                           const struct ab_limit *limit, size_t host_count,
                           size_t rank)
{
  holder->limit = *limit;
  holder->host_count = host_count > 0 ? host_count : 1;
  holder->rank = rank;
}

void
ab_limit_holder_current_share (const struct ab_limit_holder *holder,
                               uint64_t now_ms, struct ab_limit_share *share)
{
  uint64_t equal = holder->limit.concurrency / holder->host_count;

  if (holder->rank < holder->limit.concurrency % holder->host_count)
    equal++;
  if (holder->has_share && now_ms < holder->lease_expires_ms)
    {
      *share = holder->share;
      return;
    }
  share->rate = holder->limit.rate / (double)holder->host_count;
  share->concurrency = equal;
  if (!holder->has_share)
    return;
  share->rate = fmin (share->rate, holder->share.rate);
  if (holder->share.concurrency < equal)
    share->concurrency = holder->share.concurrency;
}

int
ab_limit_holder_acquire (struct ab_limit_holder *holder, uint64_t now_ms,
                         uint64_t *retry_after_ms)
{
  struct ab_limit_share share;

  ab_limit_holder_current_share (holder, now_ms, &share);
  /* The time since the last request counts at the share in use now.  */
  holder->bucket.rate = share.rate;
  holder->bucket.capacity = fmax (1, share.rate * BURST_MS / 1000);
  ab_token_bucket_refill (&holder->bucket, now_ms);
  holder->arrivals++;
  if (holder->in_flight + 1 > holder->max_in_flight)
    holder->max_in_flight = holder->in_flight + 1;
  if (holder->limit.concurrency && holder->in_flight >= share.concurrency)
    {
      *retry_after_ms = AB_LIMIT_LEASE_MS / 2;
      return AB_ERR_FULL;
    }
  if (holder->limit.rate > 0
      && ab_token_bucket_take (&holder->bucket, 1, now_ms) == 0)
    {
      *retry_after_ms
          = ab_token_bucket_wait_ms (&holder->bucket, AB_LIMIT_LEASE_MS);
      return AB_ERR_FULL;
    }
  holder->in_flight++;
  return 0;
}

void
ab_limit_holder_release (struct ab_limit_holder *holder)
{
  if (holder->in_flight > 0)
    holder->in_flight--;
}

void
ab_limit_holder_collect_demand (struct ab_limit_holder *holder,
                                uint64_t now_ms,
                                struct ab_limit_demand *demand)
{
  double seconds = (double)(now_ms - holder->counting_since_ms) / 1000;

  demand->rate = seconds > 0 ? (double)holder->arrivals / seconds : 0;
  demand->concurrency = holder->max_in_flight;
  demand->in_flight = holder->in_flight;
  holder->arrivals = 0;
  holder->max_in_flight = holder->in_flight;
  holder->counting_since_ms = now_ms;
}

void
ab_limit_holder_accept_grant (struct ab_limit_holder *holder,
                              const struct ab_limit_share *share,
                              uint64_t sent_ms)
{
  holder->share = *share;
  holder->has_share = true;
  holder->lease_expires_ms = sent_ms + AB_LIMIT_LEASE_MS;
}
