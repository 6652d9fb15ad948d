#include "fleet_bench_lib.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "settings.h"

#define APPLY_TRIES 100
#define APPLY_PAUSE_MS 200
#define LEADER_TRIES 100
#define LEADER_PAUSE_MS 100
#define STAT_BYTES 1024
/* Fields between the command name and utime in /proc/PID/stat.  */
#define STAT_FIELDS "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u"
#define US_PER_S 1e6
#define BYTES_PER_MIB (1024.0 * 1024.0)

void
bench_require (bool good, const char *what)
{
  if (good)
    return;
  fprintf (stderr, "benchmark failed: %s\n", what);
  /* The fleet's processes end with this process, see fleet_spawn.  */
  exit (EXIT_FAILURE);
}

void
bench_build_folder (const char *program, char *path, size_t size)
{
  char *slash;

  snprintf (path, size, "%s", program);
  for (int i = 0; i < 2; i++)
    {
      slash = strrchr (path, '/');
      bench_require (slash != NULL, "call the program as BUILD/bench/NAME");
      *slash = '\0';
    }
}

struct fleet *
bench_fleet_new (const char *build, const char *name, int entries, int regions,
                 bool proxies)
{
  char folder[AB_PATH_BYTES];
  struct fleet_options options = { .build = build,
                                   .folder = folder,
                                   .controls = BENCH_CONTROLS,
                                   .entries = entries,
                                   .regions = regions,
                                   .proxies = proxies,
                                   .address_ttl = "60s" };
  struct fleet *fleet;

  snprintf (folder, sizeof folder, "%s/%s", build, name);
  fleet = fleet_new (&options);
  bench_require (fleet != NULL, "cannot create the fleet");
  return fleet;
}

void
bench_fleet_start (struct fleet *fleet, int entries)
{
  int status = -1;

  for (int i = 1; i <= BENCH_CONTROLS + entries; i++)
    bench_require (fleet_start_host (fleet, i), "a host does not start");
  /* The group needs a moment to elect its first leader.  */
  for (int i = 0; i < APPLY_TRIES && status != 0; i++)
    {
      status = fleet_apply_bundle (fleet, BENCH_CONTROLS + 1, 1, NULL);
      if (status != 0)
        fleet_sleep_ms (APPLY_PAUSE_MS);
    }
  bench_require (status == 0, "the bundle is not accepted");
  bench_require (fleet_wait_ready (fleet, 1, BENCH_START_MS),
                 "the bundle is not in force everywhere");
}

void
bench_start_targets (struct fleet *fleet, int first, int last,
                     const char *const *arguments)
{
  for (int i = first; i <= last; i++)
    bench_require (fleet_start_target (fleet, i, arguments),
                   "a target does not start");
  bench_require (
      fleet_wait_targets (fleet, BENCH_CONTROLS + 1, last, BENCH_START_MS),
      "the targets are not announced");
}

int
bench_find_leader (struct fleet *fleet)
{
  const char *query[] = { "state", NULL };

  for (int i = 0; i < LEADER_TRIES; i++)
    {
      for (int host = 1; host <= BENCH_CONTROLS; host++)
        {
          json_t *state = fleet_query (fleet, host, query);
          bool leads = json_is_true (
              json_object_get (json_object_get (state, "control"), "leads"));
          json_decref (state);
          if (leads)
            return host;
        }
      fleet_sleep_ms (LEADER_PAUSE_MS);
    }
  bench_require (false, "no control host leads");
  return 0;
}

double
bench_slope (const double *x, const double *y, size_t count)
{
  double mean_x = 0;
  double mean_y = 0;
  double numerator = 0;
  double denominator = 0;

  for (size_t i = 0; i < count; i++)
    {
      mean_x += x[i] / (double)count;
      mean_y += y[i] / (double)count;
    }
  for (size_t i = 0; i < count; i++)
    {
      numerator += (x[i] - mean_x) * (y[i] - mean_y);
      denominator += (x[i] - mean_x) * (x[i] - mean_x);
    }
  return numerator / denominator;
}

static double
cpu_seconds (pid_t pid)
{
  char path[64];
  char text[STAT_BYTES] = "";
  unsigned long user = 0;
  unsigned long system = 0;
  const char *rest;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/stat", (int)pid);
  file = fopen (path, "re");
  bench_require (file && fgets (text, sizeof text, file), path);
  fclose (file);
  /* The command name may have blanks; it ends at the last parenthesis.  */
  rest = strrchr (text, ')');
  bench_require (
      rest && sscanf (rest + 2, STAT_FIELDS " %lu %lu", &user, &system) == 2,
      path);
  return (double)(user + system) / (double)sysconf (_SC_CLK_TCK);
}

static double
resident_mib (pid_t pid)
{
  char path[64];
  unsigned long pages = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/statm", (int)pid);
  file = fopen (path, "re");
  bench_require (file && fscanf (file, "%*u %lu", &pages) == 1, path);
  fclose (file);
  return (double)pages * (double)sysconf (_SC_PAGESIZE) / BYTES_PER_MIB;
}

static double
read_metric (const char *text, const char *name)
{
  size_t len = strlen (name);

  for (const char *line = text; line; line = strchr (line, '\n'))
    {
      line += *line == '\n';
      if (strncmp (line, name, len) == 0 && line[len] == ' ')
        return strtod (line + len, NULL);
    }
  bench_require (false, name);
  return 0;
}

struct bench_usage
bench_read_usage (struct fleet *fleet, int host)
{
  pid_t pid = fleet_host_pid (fleet, host);
  struct bench_usage usage;
  char *text = NULL;

  bench_require (fleet_http (fleet_admin (fleet, host), "GET", "/metrics",
                             NULL, NULL, &text)
                         == 200
                     && text,
                 "cannot read the metrics");
  usage.time_s = (double)ab_clock_monotonic_us () / US_PER_S;
  usage.cpu_s = cpu_seconds (pid);
  usage.resident_mib = resident_mib (pid);
  usage.sent_bytes = read_metric (text, "ab_peer_bytes_sent_total");
  usage.received_bytes = read_metric (text, "ab_peer_bytes_received_total");
  free (text);
  return usage;
}
