/* Functions that the benchmarks with real processes share: starting a fleet
   and measuring the resource use of its hosts.  Failures end the program.  */

#ifndef FLEET_BENCH_LIB_H
#define FLEET_BENCH_LIB_H

#include "fleet_lib.h"

#define BENCH_CONTROLS 3
#define BENCH_START_MS 20000

/* Resource use of a host at one point in time.  Byte counts are those of the
   peer task.  */
struct bench_usage
{
  double time_s; /* Monotonic clock.  */
  double cpu_s;  /* Processor time in user and kernel mode.  */
  double resident_mib;
  double sent_bytes;
  double received_bytes;
};

/* Unless GOOD, prints WHAT to standard error and exits with EXIT_FAILURE.  */
void bench_require (bool good, const char *what);

/* Returns a fleet of BENCH_CONTROLS control hosts and ENTRIES entry hosts in
   the folder BUILD/NAME.  No host runs yet.  */
struct fleet *bench_fleet_new (const char *build, const char *name,
                               int entries, int regions, bool proxies);

/* Starts the control hosts and the first ENTRIES entry hosts, applies version
   1 of the bundle and waits until it is in force.  */
void bench_fleet_start (struct fleet *fleet, int entries);

/* Starts the targets FIRST to LAST with ARGUMENTS, which end with null, and
   waits until the first entry host knows them.  */
void bench_start_targets (struct fleet *fleet, int first, int last,
                          const char *const *arguments);

/* Returns the number of the control host that leads the group.  */
int bench_find_leader (struct fleet *fleet);

/* Returns the current resource use of host HOST.  */
struct bench_usage bench_read_usage (struct fleet *fleet, int host);

/* Returns the slope of the least squares line through COUNT points (X, Y).  */
double bench_slope (const double *x, const double *y, size_t count);

/* Writes the build folder of PROGRAM, which is BUILD/bench/NAME, to PATH of
   SIZE bytes.  */
void bench_build_folder (const char *program, char *path, size_t size);

#endif
