#include "rng.h"

#include <sodium.h>

static uint64_t
splitmix_next (struct ab_rng *rng)
{
  uint64_t z = (rng->state += 0x9e3779b97f4a7c15ULL);

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

static const struct ab_rng_ops splitmix_ops = { .next = splitmix_next };

void
ab_rng_init_seeded (struct ab_rng *rng, uint64_t seed)
{
  *rng = (struct ab_rng){ .ops = &splitmix_ops, .state = seed };
}

void
ab_rng_init_system (struct ab_rng *rng)
{
  uint64_t seed;

  randombytes_buf (&seed, sizeof seed);
  ab_rng_init_seeded (rng, seed);
}

uint64_t
ab_rng_below (struct ab_rng *rng, uint64_t bound)
{
  return bound ? ab_rng_next (rng) % bound : 0;
}

double
ab_rng_unit (struct ab_rng *rng)
{
  return (double)(ab_rng_next (rng) >> 11) * 0x1.0p-53;
}
