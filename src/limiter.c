#include "limiter.h"

#include <math.h>
#include <stdlib.h>

#include "error.h"
#include "settings.h"

/* A holder may save up requests for this long.  Longer bursts would break
   the bound of 5% over the limit in windows of a few seconds.  */
#define BURST_MS 100.0
/* Part of the rate that is divided equally, so that a host whose first
   requests come need not wait for the next division.  */
#define EQUAL_PART 0.05
/* Hosts get this much more than they asked for while there is enough.  */
#define HEADROOM 1.25
#define FILL_ROUNDS 8

struct lease
{
  char host[AB_NAME_BYTES];
  struct ab_limit_demand demand;
  struct ab_limit_share share;
  uint64_t until_ms;
};

struct ab_limit_owner
{
  struct ab_limit limit;
  uint64_t since_ms;
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
  owner->since_ms = now_ms;
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
    if (now_ms >= owner->leases[i - 1].until_ms)
      owner->leases[i - 1] = owner->leases[--owner->count];
}

static int
find_lease (struct ab_limit_owner *owner, struct ab_chunk host,
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
  **lease = (struct lease){ .until_ms = 0 };
  if (!ab_chunk_copy (host, (*lease)->host, sizeof (*lease)->host))
    return AB_ERR_INVALID;
  owner->count++;
  return 0;
}

static double
demand_rate (const struct lease *lease)
{
  return lease->demand.rate * HEADROOM;
}

static double
demand_concurrency (const struct lease *lease)
{
  return ceil ((double)lease->demand.concurrency * HEADROOM);
}

/* The level up to which each host gets its demand so that TOTAL is used:
   hosts that want less than the level get all they want.  */
static double
fill_level (const struct ab_limit_owner *owner, double total,
            double (*wish) (const struct lease *))
{
  double level = total;

  for (int round = 0; round < FILL_ROUNDS; round++)
    {
      double small = 0;
      size_t large = 0;
      double next;

      for (size_t i = 0; i < owner->count; i++)
        if (wish (&owner->leases[i]) < level)
          small += wish (&owner->leases[i]);
        else
          large++;
      if (large == 0)
        {
          /* All wishes are met; the rest is spread equally.  */
          return level;
        }
      next = (total - small) / (double)large;
      if (fabs (next - level) < 1e-9)
        break;
      level = next;
    }
  return level;
}

/* What HOST may get of TOTAL while others hold USED of it.  What nobody asked
   for is spread over all HOSTS.  */
static double
divide (const struct ab_limit_owner *owner, const struct lease *lease,
        size_t hosts, double total, double used,
        double (*wish) (const struct lease *))
{
  double level = fill_level (owner, total, wish);
  double share = fmin (wish (lease), level);
  double sum = 0;

  for (size_t i = 0; i < owner->count; i++)
    sum += wish (&owner->leases[i]);
  if (sum < total)
    share += (total - sum)
             / (double)(hosts > owner->count ? hosts : owner->count);
  return fmax (0, fmin (share, total - used));
}

/* What the holder of LEASE may have in flight: its share, or more when the
   share shrank below what was in flight then.  */
static uint64_t
concurrency_used (const struct lease *lease)
{
  return lease->demand.in_flight > lease->share.concurrency
             ? lease->demand.in_flight
             : lease->share.concurrency;
}

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

static void
cap_first_lease (const struct ab_limit_owner *owner, size_t hosts,
                 uint64_t now_ms, struct ab_limit_share *share)
{
  double part = hosts > 0 ? 1.0 / (double)hosts : 1;

  if (now_ms >= owner->since_ms + AB_LIMIT_LEASE_MS)
    return;
  share->rate = fmin (share->rate, owner->limit.rate * part);
  share->concurrency = (uint64_t)fmin (
      (double)share->concurrency, (double)owner->limit.concurrency * part);
}

int
ab_limit_owner_demand (struct ab_limit_owner *owner, struct ab_chunk host,
                       const struct ab_limit_demand *demand, size_t hosts,
                       uint64_t now_ms, struct ab_limit_share *share)
{
  double spread = owner->limit.rate * EQUAL_PART;
  struct ab_limit_share used;
  struct lease *lease;
  int rc;

  drop_expired (owner, now_ms);
  rc = find_lease (owner, host, &lease);
  if (rc < 0)
    return rc;
  lease->demand = *demand;
  sum_others (owner, lease, &used);
  share->rate = divide (owner, lease, hosts, owner->limit.rate - spread,
                        used.rate, demand_rate);
  share->rate += spread / (double)(hosts > 0 ? hosts : 1);
  share->rate = fmax (0, fmin (share->rate, owner->limit.rate - used.rate));
  share->concurrency = (uint64_t)divide (
      owner, lease, hosts, (double)owner->limit.concurrency,
      (double)used.concurrency, demand_concurrency);
  cap_first_lease (owner, hosts, now_ms, share);
  lease->share = *share;
  lease->until_ms = now_ms + AB_LIMIT_LEASE_MS;
  return 0;
}

void
ab_limit_holder_init (struct ab_limit_holder *holder,
                      const struct ab_limit *limit, size_t hosts, size_t rank,
                      uint64_t now_ms)
{
  *holder
      = (struct ab_limit_holder){ .filled_ms = now_ms, .counted_ms = now_ms };
  ab_limit_holder_configure (holder, limit, hosts, rank);
  holder->tokens = 1;
}

void
ab_limit_holder_configure (struct ab_limit_holder *holder,
                           const struct ab_limit *limit, size_t hosts,
                           size_t rank)
{
  holder->limit = *limit;
  holder->hosts = hosts > 0 ? hosts : 1;
  holder->rank = rank;
}

void
ab_limit_holder_share (const struct ab_limit_holder *holder, uint64_t now_ms,
                       struct ab_limit_share *share)
{
  uint64_t equal = holder->limit.concurrency / holder->hosts;

  if (holder->rank < holder->limit.concurrency % holder->hosts)
    equal++;
  if (holder->has_share && now_ms < holder->lease_until_ms)
    {
      *share = holder->share;
      return;
    }
  share->rate = holder->limit.rate / (double)holder->hosts;
  share->concurrency = equal;
  if (!holder->has_share)
    return;
  share->rate = fmin (share->rate, holder->share.rate);
  if (holder->share.concurrency < equal)
    share->concurrency = holder->share.concurrency;
}

static void
fill_bucket (struct ab_limit_holder *holder, double rate, uint64_t now_ms)
{
  double size = fmax (1, rate * BURST_MS / 1000);

  holder->tokens
      = fmin (size, holder->tokens
                        + rate * (double)(now_ms - holder->filled_ms) / 1000);
  holder->filled_ms = now_ms;
}

static uint64_t
wait_for_token (const struct ab_limit_holder *holder, double rate)
{
  if (rate <= 0)
    return AB_LIMIT_LEASE_MS;
  return (uint64_t)fmin (AB_LIMIT_LEASE_MS,
                         ceil ((1 - holder->tokens) / rate * 1000));
}

int
ab_limit_holder_take (struct ab_limit_holder *holder, uint64_t now_ms,
                      uint64_t *retry_ms)
{
  struct ab_limit_share share;

  ab_limit_holder_share (holder, now_ms, &share);
  fill_bucket (holder, share.rate, now_ms);
  holder->wanted++;
  if (holder->in_flight + 1 > holder->most)
    holder->most = holder->in_flight + 1;
  if (holder->limit.concurrency && holder->in_flight >= share.concurrency)
    {
      *retry_ms = AB_LIMIT_LEASE_MS / 2;
      return AB_ERR_FULL;
    }
  if (holder->limit.rate > 0 && holder->tokens < 1)
    {
      *retry_ms = wait_for_token (holder, share.rate);
      return AB_ERR_FULL;
    }
  if (holder->limit.rate > 0)
    holder->tokens -= 1;
  holder->in_flight++;
  return 0;
}

void
ab_limit_holder_done (struct ab_limit_holder *holder)
{
  if (holder->in_flight > 0)
    holder->in_flight--;
}

void
ab_limit_holder_demand (struct ab_limit_holder *holder, uint64_t now_ms,
                        struct ab_limit_demand *demand)
{
  double seconds = (double)(now_ms - holder->counted_ms) / 1000;

  demand->rate = seconds > 0 ? (double)holder->wanted / seconds : 0;
  demand->concurrency = holder->most;
  demand->in_flight = holder->in_flight;
  holder->wanted = 0;
  holder->most = holder->in_flight;
  holder->counted_ms = now_ms;
}

void
ab_limit_holder_grant (struct ab_limit_holder *holder,
                       const struct ab_limit_share *share, uint64_t sent_ms)
{
  holder->share = *share;
  holder->has_share = true;
  holder->lease_until_ms = sent_ms + AB_LIMIT_LEASE_MS;
}
