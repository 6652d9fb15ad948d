#include "scheduler_internal.h"

/* A service is degraded while at least this share of its recent requests, and
   at least DEGRADED_MIN of them, were not served.  Healthy targets fail one or
   two requests in a hundred; a target that turns gray adds one or two
   failures.  */
#define DEGRADED_SHARE 0.12
#define DEGRADED_MIN 3

static struct ab_sched_slice *
slice_at (struct ab_sched_failure_window *window, uint64_t now_ms)
{
  uint64_t number = now_ms / AB_SCHED_SLICE_MS;
  struct ab_sched_slice *slice = &window->slices[number % AB_SCHED_SLICES];

  if (slice->number != number)
    *slice = (struct ab_sched_slice){ .number = number };
  return slice;
}

void
ab_sched_failure_window_record (struct ab_sched_failure_window *window,
                                bool failed, uint64_t now_ms)
{
  struct ab_sched_slice *slice = slice_at (window, now_ms);

  slice->ended++;
  slice->failed += failed;
}

bool
ab_sched_is_degraded (const struct ab_sched_failure_window *window,
                      uint64_t now_ms)
{
  uint64_t number = now_ms / AB_SCHED_SLICE_MS;
  unsigned ended = 0;
  unsigned failed = 0;

  for (size_t i = 0; i < AB_SCHED_SLICES; i++)
    if (window->slices[i].number + AB_SCHED_SLICES > number)
      {
        ended += window->slices[i].ended;
        failed += window->slices[i].failed;
      }
  return failed >= DEGRADED_MIN && failed >= DEGRADED_SHARE * ended;
}
