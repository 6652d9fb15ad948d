/* Clock interface, a vtable, so that tests can drive the state machines with
   a fake clock.  rng.h does the same for random numbers.  */

#ifndef AB_CLOCK_H
#define AB_CLOCK_H

#include <stdint.h>

struct ab_clock;

struct ab_clock_ops
{
  /* Returns milliseconds that never go back; the origin is arbitrary.  */
  uint64_t (*monotonic_ms) (struct ab_clock *clock);
  /* Returns milliseconds since the Unix epoch; may jump.  */
  uint64_t (*wall_ms) (struct ab_clock *clock);
};

struct ab_clock
{
  const struct ab_clock_ops *ops;
};

/* Returns the clock that reads the time of the operating system.  */
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

/* Returns microseconds of the system's monotonic clock, for latencies.  */
uint64_t ab_clock_monotonic_us (void);

#endif
