#include "clock.h"

#include <time.h>

static uint64_t
read_ms (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static uint64_t
system_monotonic_ms (struct ab_clock *clock)
{
  (void)clock;
  /* Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME includes the time during which the
     host is suspended, so that leases expire and received state ages.  */
  return read_ms (CLOCK_BOOTTIME);
}

static uint64_t
system_wall_ms (struct ab_clock *clock)
{
  (void)clock;
  return read_ms (CLOCK_REALTIME);
}

static const struct ab_clock_ops system_ops
    = { .monotonic_ms = system_monotonic_ms, .wall_ms = system_wall_ms };

static struct ab_clock system_clock = { .ops = &system_ops };

struct ab_clock *
ab_clock_system (void)
{
  return &system_clock;
}

uint64_t
ab_clock_monotonic_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}
