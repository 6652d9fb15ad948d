/* What the benchmarks with real processes share: a fleet that is ready, and
   what its processes use.  */

#ifndef FLEET_BENCH_LIB_H
#define FLEET_BENCH_LIB_H

#include "fleet_lib.h"

#define BENCH_CONTROLS 3
#define BENCH_START_MS 20000

/* Processor seconds, resident memory and the peer task's counters of a host
   at a moment.  */
struct bench_usage
{
  double time_s;
  double cpu_s;
  double resident_mib;
  double sent_bytes;
  double received_bytes;
};

/* Ends the program with WHAT on standard error unless GOOD.  */
void bench_require (bool good, const char *what);

/* A fleet of BENCH_CONTROLS control hosts and at most ENTRIES entry hosts in
   the folder NAME of the folder BUILD; nothing runs yet.  */
struct fleet *bench_fleet_new (const char *build, const char *name,
                               int entries, int regions, bool proxies);

/* Starts the control hosts and the first ENTRIES entry hosts, and has version
   1 of the bundle accepted.  */
void bench_fleet_start (struct fleet *fleet, int entries);

/* Starts the targets FIRST to LAST with ARGUMENTS (null at the end).  */
void bench_start_targets (struct fleet *fleet, int first, int last,
                          const char *const *arguments);

/* The number of the control host that leads the group.  */
int bench_leader (struct fleet *fleet);

/* Usage of host N.  */
struct bench_usage bench_usage_of (struct fleet *fleet, int host);

/* The slope of the least squares line through COUNT points.  */
double bench_slope (const double *x, const double *y, size_t count);

/* The folder that holds the program's own folder: the build folder of
   BUILD/bench/PROGRAM.  PATH has SIZE bytes.  */
void bench_build_folder (const char *program, char *path, size_t size);

#endif
