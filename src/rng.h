/* Random numbers as a vtable: the system's generator, or a seeded one
   (SplitMix64) for reproducible tests.  Not for keys.  */

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
  uint64_t state;
};

/* Makes RNG a generator whose sequence depends on SEED alone.  */
void ab_rng_init_seeded (struct ab_rng *rng, uint64_t seed);

/* Makes RNG a seeded generator with a seed from the system.  */
void ab_rng_init_system (struct ab_rng *rng);

/* 64 random bits.  */
static inline uint64_t
ab_rng_next (struct ab_rng *rng)
{
  return rng->ops->next (rng);
}

/* A number in [0, BOUND); 0 when BOUND is 0.  */
uint64_t ab_rng_below (struct ab_rng *rng, uint64_t bound);

/* A number in [0, 1).  */
double ab_rng_unit (struct ab_rng *rng);

#endif
