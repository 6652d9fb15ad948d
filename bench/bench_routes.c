/* Measures what the routes of a fleet's bundle cost a gateway and a control
   host: memory at rest, peak while the bundle is replaced, and time until a
   change is acknowledged, in steps of double size, first of the routes, then
   of the gateways.  Each route has a host of its own, long names and a split
   over four services; there is a team with a random key for each route.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buf.h"
#include "clock.h"
#include "fleet_bench_lib.h"
#include "gateway_fleet_lib.h"
#include "rng.h"
#include "suite_lib.h"

#define SIZES 4
#define CONTROLS 3
#define ROUTES_MAX 6100
#define SERVICES 1200
#define SHARES 4
#define CHANGES 5
#define SETTLE_MS 3000
#define IN_FORCE_MS 20000
#define LIMIT_S 500
#define KIB_PER_MIB 1024.0

static void
write_routes (struct ab_buf *text, int routes, int timeout_ms)
{
  for (int i = 0; i < routes; i++)
    {
      ab_buf_printf (text,
                     ",{\"host\":\"customer-%06d.of-a-long-named-unit."
                     "example\",\"prefixes\":[{\"name\":\"route-with-a-long-"
                     "descriptive-name-%06d\",\"prefix\":\"/unit-%06d/orders/"
                     "and-their-items/\",\"kind\":\"once\",\"timeout_ms\":%d,"
                     "\"objective_ms\":1000,\"priority\":1,\"attempts\":2,"
                     "\"split\":[",
                     i, i, i, timeout_ms);
      for (int share = 0; share < SHARES; share++)
        ab_buf_printf (text, "%s{\"service\":\"service-%04d\",\"weight\":%d}",
                       share ? "," : "", (i * SHARES + share) % SERVICES,
                       share + 1);
      ab_buf_append_str (text, "]}]}");
    }
}

static void
write_teams (struct ab_buf *text, int teams)
{
  struct ab_rng rng;

  ab_rng_init_seeded (&rng, 1);
  for (int i = 0; i < teams; i++)
    {
      unsigned long long high = ab_rng_next (&rng);
      unsigned long long low = ab_rng_next (&rng);
      ab_buf_printf (text,
                     "%s{\"name\":\"team-%d\",\"keys\":[\"%016llx%016llx\"],"
                     "\"priority\":%d,\"rate_per_s\":100,\"burst\":50}",
                     i ? "," : "", i, high, low, i % 4);
    }
}

static void
write_bundle (struct ab_buf *text, int version, int base, int routes)
{
  ab_buf_clear (text);
  ab_buf_printf (text, "{\"version\":%d,\"base_version\":%d,\"services\":[",
                 version, base);
  for (int i = 0; i < SERVICES; i++)
    ab_buf_printf (text,
                   "{\"name\":\"service-%04d\",\"probe_path\":\"/healthz\","
                   "\"connections\":1000},",
                   i);
  ab_buf_append_str (text, "{\"name\":\"shop\"}],\"hosts\":[{\"host\":"
                           "\"x.example\",\"prefixes\":[");
  ab_buf_printf (text,
                 "{\"name\":\"version\",\"prefix\":\"/version-%d/\",\"kind\":"
                 "\"idempotent\",\"timeout_ms\":500,\"service\":\"shop\","
                 "\"no_key\":true}]}",
                 version);
  write_routes (text, routes, 2000 + version);
  ab_buf_append_str (text, "],\"teams\":[");
  write_teams (text, routes);
  ab_buf_append_str (text, "]}");
  bench_require (text->error == 0, "the bundle does not fit into memory");
}

/* Puts a bundle of ROUTES on top of version BASE and waits until each gateway
   has it, which rejects a request on its new route for want of a target.
   Returns the milliseconds until it was acknowledged.  */
static double
replace (struct gf_fleet *fleet, struct ab_buf *text, int base, int routes)
{
  char path[64];
  uint64_t begin_us;
  double elapsed_ms;
  int status;
  int gateway = 1;

  write_bundle (text, base + 1, base, routes);
  begin_us = ab_clock_monotonic_us ();
  status = fleet_http (gf_admin (fleet, 1), "POST", "/v1/bundle",
                       "Content-Type: application/json\n", text->data, NULL);
  elapsed_ms = (double)(ab_clock_monotonic_us () - begin_us) / 1000;
  if (status != 200)
    fprintf (stderr, "%d routes, %zu bytes: status %d\n", routes, text->len,
             status);
  bench_require (status == 200, "the bundle was not accepted");
  snprintf (path, sizeof path, "/version-%d/x", base + 1);
  while (gateway <= fleet->gateways
         && gf_wait_status (fleet, gateway, path, 503, IN_FORCE_MS))
    gateway++;
  bench_require (gateway > fleet->gateways,
                 "the bundle did not come into force");
  return elapsed_ms;
}

static double
resident_mib (pid_t pid)
{
  char path[64];
  char line[256];
  long kib = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  file = fopen (path, "r");
  bench_require (file != NULL, "a process has ended");
  while (fgets (line, sizeof line, file))
    if (sscanf (line, "VmRSS: %ld", &kib) == 1)
      break;
  fclose (file);
  return (double)kib / KIB_PER_MIB;
}

/* Sets the peak of PID's resident memory to its present value.  */
static void
reset_peak (pid_t pid)
{
  char path[64];
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/clear_refs", (int)pid);
  file = fopen (path, "w");
  bench_require (file && fputs ("5", file) >= 0 && fclose (file) == 0,
                 "the peak memory cannot be reset");
}

/* Returns the largest value of READ for the control hosts.  */
static double
largest_control (const struct gf_fleet *fleet, double (*read) (pid_t pid))
{
  double largest = 0;

  for (int i = 1; i <= CONTROLS; i++)
    {
      double value = read (fleet->control_pids[i]);
      if (value > largest)
        largest = value;
    }
  return largest;
}

static double
peak_mib (pid_t pid)
{
  return (double)gf_peak_memory_kb (pid) / KIB_PER_MIB;
}

static void
measure (int routes, int gateways)
{
  struct gf_fleet fleet;
  struct ab_buf text = AB_BUF_INIT;
  double gateway_rest;
  double control_rest;
  double slowest_ms = 0;
  char name[32];
  int base = 2;

  snprintf (name, sizeof name, "bench_routes_%d_%d", routes, gateways);
  gf_start (&fleet, name, CONTROLS, gateways);
  replace (&fleet, &text, base++, routes);
  fleet_sleep_ms (SETTLE_MS);
  gateway_rest = resident_mib (fleet.gateway_pids[1]);
  control_rest = largest_control (&fleet, resident_mib);
  reset_peak (fleet.gateway_pids[1]);
  for (int i = 1; i <= CONTROLS; i++)
    reset_peak (fleet.control_pids[i]);
  for (int i = 0; i < CHANGES; i++)
    {
      double ms = replace (&fleet, &text, base++, routes);
      if (ms > slowest_ms)
        slowest_ms = ms;
    }
  printf ("%7d %8d %9zu | %9.1f %9.1f | %9.1f %9.1f | %9.0f\n", routes,
          gateways, text.len / 1024, gateway_rest,
          peak_mib (fleet.gateway_pids[1]), control_rest,
          largest_control (&fleet, peak_mib), slowest_ms);
  fflush (stdout);
  gf_stop (&fleet);
  ab_buf_free (&text);
}

/* The library that starts the processes works within a test only.  */
START_TEST (measure_sizes)
{
  static const int routes[SIZES] = { 762, 1525, 3050, ROUTES_MAX };
  static const int gateways[SIZES] = { 4, 8, 16, 32 };

  printf ("%26s | %19s | %19s |\n", "", "gateway", "control host");
  printf ("%7s %8s %9s | %9s %9s | %9s %9s | %9s\n", "routes", "gateways",
          "text KiB", "rest MiB", "peak MiB", "rest MiB", "peak MiB",
          "ack ms");
  for (int i = 0; i < SIZES; i++)
    measure (routes[i], 1);
  for (int i = 0; i < SIZES; i++)
    measure (ROUTES_MAX, gateways[i]);
}
END_TEST

int
main (int argc, char **argv)
{
  const TTest *const tests[] = { measure_sizes };
  char build[256];

  (void)argc;
  bench_build_folder (argv[0], build, sizeof build);
  setenv ("AB_BUILD", build, 1);
  return suite_main ("bench_routes", tests, 1, LIMIT_S);
}
