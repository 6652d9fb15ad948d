/* Soak test of a consensus group with random faults: soak_raft [SEEDS [FIRST
   [STEPS]]].  Prints the seed and step of each failure, which a run with the
   same seed repeats, then the numbers of seeds, steps and failures and the
   wall time.  Stops after 10 failures.  */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "raft_fake_lib.h"

static uint64_t
argument (int argc, char **argv, int i, uint64_t otherwise)
{
  return argc > i ? strtoull (argv[i], NULL, 10) : otherwise;
}

static double
wall_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

int
main (int argc, char **argv)
{
  uint64_t seeds = argument (argc, argv, 1, 150);
  uint64_t first = argument (argc, argv, 2, 1);
  uint64_t steps = argument (argc, argv, 3, 20000);
  uint64_t total = 0;
  uint64_t failures = 0;
  double start = wall_s ();

  for (uint64_t seed = first; seed < first + seeds && failures < 10; seed++)
    {
      char text[256];
      uint64_t step = 0;
      const char *problem = fake_random_run (seed, steps, &step, text);
      total += step;
      if (!problem)
        continue;
      failures++;
      printf ("seed %" PRIu64 " step %" PRIu64 ": %s\n", seed, step, problem);
    }
  printf ("seeds %" PRIu64 " steps %" PRIu64 " failures %" PRIu64
          " wall %.1f s\n",
          seeds, total, failures, wall_s () - start);
  return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
