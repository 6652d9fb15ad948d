/* Measures time and memory of parsing a bundle as functions of its numbers of
   services, routes and teams.  */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "buf.h"
#include "bundle.h"
#include "clock.h"
#include "error.h"
#include "fleet_bench_lib.h"

#define PARSES 5
#define POINTS 4
#define US_PER_MS 1000.0

struct shape
{
  const char *name;
  int services;
  int routes;
  int teams;
};

static double
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)(info.uordblks + info.hblkhd);
}

static void
write_bundle (struct ab_buf *text, const struct shape *shape)
{
  ab_buf_append_str (text, "version: 1\nservices:\n");
  for (int i = 0; i < shape->services; i++)
    ab_buf_printf (text,
                   "  - {name: service-%d, slots: 2, floor: 50%%, "
                   "detection_weight: 0.5, credentials: "
                   "[\"%064x\"]}\n",
                   i, i + 1);
  ab_buf_append_str (text, "teams:\n");
  for (int i = 0; i < shape->teams; i++)
    ab_buf_printf (text, "  - {name: team-%d, credential: \"%064x\"}\n", i,
                   i + 1);
  ab_buf_append_str (text, "routes:\n");
  for (int i = 0; i < shape->routes; i++)
    ab_buf_printf (text,
                   "  - {prefix: /path-%d, service: service-%d, class: lookup,"
                   " idempotent: true, timeout: 3s}\n",
                   i, i % shape->services);
}

/* Parses a bundle of SHAPE several times and returns the shortest time in *MS,
   as other processes can only slow a run down, and the heap usage in *KIB.  */
static void
measure (const struct shape *shape, double *ms, double *kib)
{
  struct ab_buf text = AB_BUF_INIT;
  char error[AB_CONF_ERROR_BYTES] = "";

  write_bundle (&text, shape);
  for (int i = 0; i < PARSES; i++)
    {
      struct ab_bundle *bundle = NULL;
      double heap = heap_bytes ();
      uint64_t begin_us = ab_clock_monotonic_us ();
      int rc = ab_bundle_parse ("bench", ab_buf_chunk (&text), &bundle, error);
      double elapsed_ms
          = (double)(ab_clock_monotonic_us () - begin_us) / US_PER_MS;
      bench_require (rc == 0, error);
      if (i == 0 || elapsed_ms < *ms)
        *ms = elapsed_ms;
      *kib = (heap_bytes () - heap) / 1024.0;
      ab_bundle_unref (bundle);
    }
  printf ("%8d %8d %8d %9.1f %9.3f %9.1f\n", shape->services, shape->routes,
          shape->teams, (double)text.len / 1024.0, *ms, *kib);
  ab_buf_free (&text);
}

int
main (void)
{
  static const int counts[POINTS] = { 64, 256, 1024, 4096 };
  /* 4,096 services with a credential each exceed AB_BUNDLE_BYTES_MAX.  */
  static const int service_counts[POINTS] = { 16, 64, 256, 1024 };
  static const char *const names[] = { "service", "route", "team" };

  printf ("%8s %8s %8s %9s %9s %9s\n", "services", "routes", "teams",
          "text KiB", "parse ms", "heap KiB");
  for (int kind = 0; kind < 3; kind++)
    {
      double x[POINTS];
      double ms[POINTS];
      double kib[POINTS];
      for (int i = 0; i < POINTS; i++)
        {
          struct shape shape
              = { .services = kind == 0 ? service_counts[i] : 16,
                  .routes = kind == 1 ? counts[i] : 16,
                  .teams = kind == 2 ? counts[i] : 16 };
          x[i] = kind == 0 ? service_counts[i] : counts[i];
          measure (&shape, &ms[i], &kib[i]);
        }
      printf ("slope: %.3f us and %.0f bytes per %s\n",
              bench_slope (x, ms, POINTS) * US_PER_MS,
              bench_slope (x, kib, POINTS) * 1024, names[kind]);
    }
  return EXIT_SUCCESS;
}
