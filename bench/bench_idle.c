/* Benchmark of an idle fleet: bytes per second between the hosts, processor
   time and memory of an entry host and of the control group's leader, as
   functions of the number of entry hosts and of targets.

   Usage: bench_idle.  */

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include "settings.h"
#include "fleet_bench_lib.h"

#define SETTLE_MS 4000
/* A multiple of the 5 s between two exchanges of membership digests.  */
#define WINDOW_MS 10000
#define POINTS 4
#define REGIONS 3
#define FIXED_ENTRIES 6
#define FIXED_TARGETS 4

/* Resource use of a host during a window.  */
struct cost
{
  double sent_bytes_s;
  double received_bytes_s;
  double cpu_percent; /* Of one core's time.  */
  double resident_mib;
};

struct point
{
  double x;           /* Number of entry hosts or targets.  */
  struct cost entry;  /* Mean over the entry hosts.  */
  struct cost leader; /* Cost of the control group's leader.  */
};

static struct cost
cost_between (const struct bench_usage *before,
              const struct bench_usage *after)
{
  double seconds = after->time_s - before->time_s;

  return (struct cost){
    .sent_bytes_s = (after->sent_bytes - before->sent_bytes) / seconds,
    .received_bytes_s
    = (after->received_bytes - before->received_bytes) / seconds,
    .cpu_percent = 100 * (after->cpu_s - before->cpu_s) / seconds,
    .resident_mib = after->resident_mib
  };
}

static void
print_cost (const struct cost *cost)
{
  printf ("  %8.0f %8.0f %7.2f %7.1f", cost->sent_bytes_s,
          cost->received_bytes_s, cost->cpu_percent, cost->resident_mib);
}

static struct point
measure (struct fleet *fleet, int entries, int targets, int x)
{
  struct bench_usage before[FLEET_HOSTS_MAX + 1];
  struct point point = { .x = x };
  int leader;

  fleet_sleep_ms (SETTLE_MS);
  leader = bench_find_leader (fleet);
  for (int i = 1; i <= BENCH_CONTROLS + entries; i++)
    before[i] = bench_read_usage (fleet, i);
  fleet_sleep_ms (WINDOW_MS);
  for (int i = 1; i <= BENCH_CONTROLS + entries; i++)
    {
      struct bench_usage after = bench_read_usage (fleet, i);
      struct cost cost = cost_between (&before[i], &after);
      if (i == leader)
        point.leader = cost;
      if (i <= BENCH_CONTROLS)
        continue;
      point.entry.sent_bytes_s += cost.sent_bytes_s / entries;
      point.entry.received_bytes_s += cost.received_bytes_s / entries;
      point.entry.cpu_percent += cost.cpu_percent / entries;
      point.entry.resident_mib += cost.resident_mib / entries;
    }
  printf ("%7d %7d", entries, targets);
  print_cost (&point.entry);
  print_cost (&point.leader);
  printf ("\n");
  fflush (stdout);
  return point;
}

/* Returns the slope over x of the member of struct point at OFFSET.  */
static double
slope (const struct point *points, size_t offset)
{
  double x[POINTS];
  double y[POINTS];

  for (int i = 0; i < POINTS; i++)
    {
      x[i] = points[i].x;
      y[i] = *(const double *)((const char *)&points[i] + offset);
    }
  return bench_slope (x, y, POINTS);
}

static void
print_slopes (const struct point *points, const char *unit)
{
  static const struct
  {
    const char *name;
    size_t offset;
  } rows[]
      = { { "entry sent B/s", offsetof (struct point, entry.sent_bytes_s) },
          { "entry received B/s",
            offsetof (struct point, entry.received_bytes_s) },
          { "entry core %", offsetof (struct point, entry.cpu_percent) },
          { "entry MiB", offsetof (struct point, entry.resident_mib) },
          { "leader sent B/s", offsetof (struct point, leader.sent_bytes_s) },
          { "leader received B/s",
            offsetof (struct point, leader.received_bytes_s) },
          { "leader core %", offsetof (struct point, leader.cpu_percent) },
          { "leader MiB", offsetof (struct point, leader.resident_mib) } };

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    printf ("slope: %-20s %10.4f per %s\n", rows[i].name,
            slope (points, rows[i].offset), unit);
}

static void
print_header (void)
{
  printf (
      "                 entry host (mean)                  control leader\n"
      "%7s %7s  %8s %8s %7s %7s  %8s %8s %7s %7s\n",
      "entries", "targets", "sent B/s", "rec. B/s", "core %", "MiB",
      "sent B/s", "rec. B/s", "core %", "MiB");
}

static void
measure_by_hosts (const char *build)
{
  static const int entries[POINTS] = { 3, 6, 12, 24 };
  struct fleet *fleet = bench_fleet_new (build, "bench-idle-hosts",
                                         entries[POINTS - 1], REGIONS, false);
  /* Adds the first entry host, as the entry hosts that fleet_start_target
     passes may not run yet.  */
  const char *arguments[]
      = { "--entry", fleet_callers (fleet, BENCH_CONTROLS + 1), NULL };
  struct point points[POINTS];
  int running = entries[0];

  bench_fleet_start (fleet, running);
  bench_start_targets (fleet, 1, FIXED_TARGETS, arguments);
  print_header ();
  for (int i = 0; i < POINTS; i++)
    {
      while (running < entries[i])
        bench_require (fleet_start_host (fleet, BENCH_CONTROLS + ++running),
                       "a host does not start");
      bench_require (fleet_wait_ready (fleet, 1, BENCH_START_MS),
                     "a host is not ready");
      points[i] = measure (fleet, running, FIXED_TARGETS, running);
    }
  print_slopes (points, "entry host");
  fleet_free (fleet);
}

static void
measure_by_targets (const char *build)
{
  static const int targets[POINTS] = { 4, 16, 32, 64 };
  static const char *const arguments[] = { NULL };
  struct fleet *fleet = bench_fleet_new (build, "bench-idle-targets",
                                         FIXED_ENTRIES, REGIONS, false);
  struct point points[POINTS];
  int running = 0;

  bench_fleet_start (fleet, FIXED_ENTRIES);
  print_header ();
  for (int i = 0; i < POINTS; i++)
    {
      bench_start_targets (fleet, running + 1, targets[i], arguments);
      running = targets[i];
      points[i] = measure (fleet, FIXED_ENTRIES, running, running);
    }
  print_slopes (points, "target");
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  char build[AB_PATH_BYTES];

  (void)argc;
  bench_build_folder (argv[0], build, sizeof build);
  measure_by_hosts (build);
  measure_by_targets (build);
  return EXIT_SUCCESS;
}
