/* Random number generator (SplitMix64) behind a vtable, seeded by the system
   or, for reproducible tests, by the caller.  Not for keys.  */

#ifndef AB_RNG_H
#define AB_RNG_H

#include <stdint.h>

struct ab_rng;

struct ab_rng_ops
{
  uint64_t (*next) (struct ab_rng *rng);
};

struct ab_rng
{
  const struct ab_rng_ops *ops;
  uint64_t state; /* Used by the implementation behind OPS.  */
};

/* Initialises RNG as a generator whose sequence depends on SEED alone.  */
void ab_rng_init_seeded (struct ab_rng *rng, uint64_t seed);

/* Initialises RNG with a random seed from the operating system.  */
void ab_rng_init_system (struct ab_rng *rng);

/* Returns 64 random bits.  */
static inline uint64_t
ab_rng_next (struct ab_rng *rng)
{
  return rng->ops->next (rng);
}

/* Returns a random number in [0, BOUND), or 0 when BOUND is 0.  */
uint64_t ab_rng_below (struct ab_rng *rng, uint64_t bound);

/* Returns a random number in [0, 1).  */
double ab_rng_unit (struct ab_rng *rng);

#endif
