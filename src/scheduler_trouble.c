#include "scheduler_impl.h"

/* A service is in trouble while at least this share of the requests that ended
   lately, and at least so many, was not served.  Healthy targets fail one or
   two in a hundred; a target that turns gray adds a failure or two.  */
#define TROUBLE_SHARE 0.12
#define TROUBLE_MIN 3

static struct ab_sched_slice *
slice_at (struct ab_sched_trouble *trouble, uint64_t now_ms)
{
  uint64_t number = now_ms / AB_SCHED_SLICE_MS;
  struct ab_sched_slice *slice = &trouble->slices[number % AB_SCHED_SLICES];

  if (slice->number != number)
    *slice = (struct ab_sched_slice){ .number = number };
  return slice;
}

void
ab_sched_trouble_note (struct ab_sched_trouble *trouble, bool failed,
                       uint64_t now_ms)
{
  struct ab_sched_slice *slice = slice_at (trouble, now_ms);

  slice->ended++;
  slice->failed += failed;
}

bool
ab_sched_in_trouble (const struct ab_sched_trouble *trouble, uint64_t now_ms)
{
  uint64_t number = now_ms / AB_SCHED_SLICE_MS;
  unsigned ended = 0;
  unsigned failed = 0;

  for (size_t i = 0; i < AB_SCHED_SLICES; i++)
    if (trouble->slices[i].number + AB_SCHED_SLICES > number)
      {
        ended += trouble->slices[i].ended;
        failed += trouble->slices[i].failed;
      }
  return failed >= TROUBLE_MIN && failed >= TROUBLE_SHARE * ended;
}
