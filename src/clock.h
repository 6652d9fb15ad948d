/* Time and randomness as vtables, so that the state machines can be driven
   by a fake clock and a seeded generator.  */

#ifndef AB_CLOCK_H
#define AB_CLOCK_H

#include <stdint.h>

struct ab_clock;

struct ab_clock_ops
{
  /* Milliseconds that never go back; the origin is arbitrary.  */
  uint64_t (*monotonic_ms) (struct ab_clock *clock);
  /* Milliseconds since the Unix epoch; may jump.  */
  uint64_t (*wall_ms) (struct ab_clock *clock);
};

struct ab_clock
{
  const struct ab_clock_ops *ops;
};

/* The system's clocks.  */
struct ab_clock *ab_clock_system (void);

static inline uint64_t
ab_clock_monotonic_ms (struct ab_clock *clock)
{
  return clock->ops->monotonic_ms (clock);
}

static inline uint64_t
ab_clock_wall_ms (struct ab_clock *clock)
{
  return clock->ops->wall_ms (clock);
}

/* Microseconds of the monotonic clock, for latencies.  */
uint64_t ab_clock_monotonic_us (void);

#endif
