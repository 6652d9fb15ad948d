/* Benchmark of the path of a request: the latency that an entry host adds to a
   lookup and to an order with an idempotency key, compared with the same
   request sent directly to a target in the same run, and the requests per
   second and core of the entry host.  Usage: bench_path.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings.h"
#include "fleet_bench_lib.h"
#include "paired_load_lib.h"

#define ENTRIES 3
#define TARGETS 4
/* Target for direct requests: not in the failure domain of the measured
   dispatcher, which prefers targets of that domain.  */
#define DIRECT_TARGET 2
#define WARM_UP_MS 1000
#define RUN_MS 4000
#define RUNS 3
#define SATURATE_MS "4000"
#define LOAD_TIMEOUT_MS 20000

struct path_case
{
  const char *name;
  const char *path;
  bool keyed;
  bool remote; /* The dispatcher is on another host than the entry host.  */
};

static const struct path_case cases[]
    = { { "lookup, dispatcher's host", "/stock/racks", false, false },
        { "lookup, other host", "/stock/racks", false, true },
        { "order, dispatcher's host", "/orders", true, false } };
#define CASES (sizeof cases / sizeof cases[0])

/* Returns the entry host that dispatches to the first failure domain.  */
static int
find_dispatcher (struct fleet *fleet)
{
  const char *found = NULL;
  char *reply = NULL;
  int best = 0;

  fleet_http (fleet_callers (fleet, BENCH_CONTROLS + 1), "GET",
              "/v1/addresses?service=shop&failure_domain=region-1a", NULL,
              NULL, &reply);
  for (int i = 1; reply && i <= ENTRIES; i++)
    {
      const char *at
          = strstr (reply, fleet_callers (fleet, BENCH_CONTROLS + i));
      if (at && (!found || at < found))
        {
          found = at;
          best = BENCH_CONTROLS + i;
        }
    }
  bench_require (best != 0, "the address list has no entry host");
  free (reply);
  return best;
}

/* Returns the other entry host of the first failure domain: hosts alternate
   between the two failure domains of the region.  */
static int
other_host (int dispatcher)
{
  return dispatcher == BENCH_CONTROLS + 1 ? BENCH_CONTROLS + 3
                                          : BENCH_CONTROLS + 1;
}

static void
run_case (struct fleet *fleet, const struct path_case *c, int dispatcher,
          unsigned rate, const char *links)
{
  int host = c->remote ? other_host (dispatcher) : dispatcher;
  struct paired_load load
      = { .addresses = { fleet_callers (fleet, host),
                         fleet_target (fleet, DIRECT_TARGET) },
          .token = fleet_team_token (fleet),
          .path = c->path,
          .keyed = c->keyed,
          .rate = rate,
          .duration_ms = WARM_UP_MS };
  struct paired_result r;

  bench_require (paired_load_run (&load, &r), "cannot start the load client");
  load.duration_ms = RUN_MS;
  for (int i = 0; i < RUNS; i++)
    {
      struct bench_usage before = bench_read_usage (fleet, host);
      struct bench_usage after;
      double cpu_s;
      bench_require (paired_load_run (&load, &r),
                     "cannot start the load client");
      after = bench_read_usage (fleet, host);
      cpu_s = after.cpu_s - before.cpu_s;
      printf ("%-26s %-7s %5u %6zu %6zu %7.3f %7.3f %7.3f %7.3f %7.3f %7.3f "
              "%8.1f\n",
              c->name, links, rate, r.ok[0], r.failed[0] + r.failed[1],
              r.p50_ms[0], r.p50_ms[1], r.p50_ms[0] - r.p50_ms[1], r.p99_ms[0],
              r.p99_ms[1], r.p99_ms[0] - r.p99_ms[1],
              r.ok[0] ? 1e6 * cpu_s / (double)r.ok[0] : 0.0);
      fflush (stdout);
    }
}

/* Measures the throughput of HOST with 32 concurrent callers.  */
static void
saturate (struct fleet *fleet, int host, const char *name, const char *class)
{
  const char *arguments[] = { "--address",
                              fleet_callers (fleet, host),
                              "--token",
                              fleet_team_token (fleet),
                              "--class",
                              class,
                              "--concurrency",
                              "32",
                              "--duration-ms",
                              SATURATE_MS,
                              NULL };
  struct bench_usage before = bench_read_usage (fleet, host);
  pid_t pid = fleet_spawn (fleet, name, "standins/load", arguments);
  struct bench_usage after;
  json_t *output;
  double ok;

  fleet_wait_process (pid, LOAD_TIMEOUT_MS);
  after = bench_read_usage (fleet, host);
  output = fleet_output (fleet, name);
  bench_require (output != NULL, "the load tool printed no output");
  ok = (double)json_integer_value (json_object_get (output, "ok"));
  printf ("%-26s %8.0f %8.0f %9.2f %12.0f\n", name, ok,
          ok / (after.time_s - before.time_s),
          (after.cpu_s - before.cpu_s) / (after.time_s - before.time_s),
          ok / (after.cpu_s - before.cpu_s));
  fflush (stdout);
  json_decref (output);
}

static void
print_table_header (void)
{
  printf ("milliseconds: p50 and p99 through the host, direct, added\n"
          "%-26s %-7s %5s %6s %6s %7s %7s %7s %7s %7s %7s %8s\n",
          "case", "links", "req/s", "ok", "failed", "p50", "direct", "added",
          "p99", "direct", "added", "CPU us");
}

int
main (int argc, char **argv)
{
  static const char *const arguments[]
      = { "--work-ms", "1", "--slots", "64", NULL };
  static const unsigned rates[] = { 100, 1000 };
  char build[AB_PATH_BYTES];
  struct fleet *fleet;
  int dispatcher;

  (void)argc;
  bench_build_folder (argv[0], build, sizeof build);
  fleet = bench_fleet_new (build, "bench-path", ENTRIES, 1, false);
  bench_fleet_start (fleet, ENTRIES);
  bench_start_targets (fleet, 1, TARGETS, arguments);
  fleet_sleep_ms (WARM_UP_MS);
  dispatcher = find_dispatcher (fleet);
  print_table_header ();
  for (size_t i = 0; i < CASES; i++)
    for (size_t j = 0; j < 2; j++)
      run_case (fleet, &cases[i], dispatcher, rates[j], "plain");
  printf ("\n%-26s %8s %8s %9s %12s\n", "32 callers", "ok", "req/s", "cores",
          "req/s a core");
  saturate (fleet, dispatcher, "lookup",
            "lookup:GET:/stock/racks:idempotent:1");
  saturate (fleet, other_host (dispatcher), "lookup-other",
            "lookup:GET:/stock/racks:idempotent:1");
  saturate (fleet, dispatcher, "order", "order:POST:/orders:keyed:1");
  fleet_free (fleet);

  fleet = bench_fleet_new (build, "bench-path-delay", ENTRIES, 1, true);
  bench_fleet_start (fleet, ENTRIES);
  bench_start_targets (fleet, 1, TARGETS, arguments);
  fleet_sleep_ms (WARM_UP_MS);
  dispatcher = find_dispatcher (fleet);
  printf ("\n");
  print_table_header ();
  run_case (fleet, &cases[2], dispatcher, rates[0], "proxy");
  /* A message and its reply pass the links of different hosts, so the links of
     all hosts are delayed.  */
  for (int i = 1; i <= fleet_host_count (fleet); i++)
    bench_require (fleet_set_fault (fleet, i, "delay_ms=10"),
                   "cannot set the delay of the links");
  fleet_sleep_ms (WARM_UP_MS);
  for (size_t j = 0; j < 2; j++)
    run_case (fleet, &cases[2], dispatcher, rates[j], "10 ms");
  fleet_free (fleet);
  return EXIT_SUCCESS;
}
