/* Measures what the teams of a fleet's bundle cost: time and memory of parsing
   it, size in the log, and time of looking keys up.  Keys are 32 random
   hexadecimal digits, two a team.  */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "buf.h"
#include "clock.h"
#include "compress.h"
#include "fleet_bench_lib.h"
#include "fleet_state.h"
#include "rng.h"
#include "route_table.h"

#define PARSES 5
#define LOOKUPS 200000
#define KEY_BYTES 33
#define US_PER_MS 1000.0
#define MIB (1024.0 * 1024.0)

/* Writes the key NUMBER of the bundle to KEY.  */
static void
print_key (size_t number, char key[KEY_BYTES])
{
  struct ab_rng rng;

  ab_rng_init_seeded (&rng, number + 1);
  for (int i = 0; i < 2; i++)
    snprintf (key + 16 * i, KEY_BYTES - 16 * (size_t)i, "%016llx",
              (unsigned long long)ab_rng_next (&rng));
}

static void
write_bundle (struct ab_buf *text, size_t teams)
{
  char first[KEY_BYTES];
  char second[KEY_BYTES];

  ab_buf_append_str (text, "{\"version\":1,\"base_version\":0,\"services\":[],"
                           "\"hosts\":[],\"teams\":[");
  for (size_t i = 0; i < teams; i++)
    {
      print_key (2 * i, first);
      print_key (2 * i + 1, second);
      ab_buf_printf (text,
                     "%s{\"name\":\"team-%zu\",\"keys\":[\"%s\",\"%s\"],"
                     "\"priority\":%zu,\"rate_per_s\":%zu,\"burst\":%zu}",
                     i ? "," : "", i, first, second, i % 4, 1 + i % 100,
                     1 + i % 50);
    }
  ab_buf_append_str (text, "]}");
}

static double
heap_mib (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)(info.uordblks + info.hblkhd) / MIB;
}

static double
peak_mib (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return (double)usage.ru_maxrss / 1024;
}

/* Returns the mean time of a lookup in microseconds.  Every other key is
   unknown.  */
static double
measure_lookups (const struct ab_route_table *table, size_t teams)
{
  static char keys[LOOKUPS][KEY_BYTES];
  struct ab_rng rng;
  uint64_t begin_us;
  size_t found = 0;

  ab_rng_init_seeded (&rng, 5);
  for (size_t i = 0; i < LOOKUPS; i++)
    print_key (i % 2 ? ab_rng_below (&rng, 2 * teams) : 4 * teams + i,
               keys[i]);
  begin_us = ab_clock_monotonic_us ();
  for (size_t i = 0; i < LOOKUPS; i++)
    found += ab_route_table_find_key (table, ab_chunk (keys[i], KEY_BYTES - 1))
             != NULL;
  begin_us = ab_clock_monotonic_us () - begin_us;
  bench_require (found == LOOKUPS / 2, "keys were not found");
  return (double)begin_us / LOOKUPS;
}

static void
measure (size_t teams)
{
  struct ab_buf text = AB_BUF_INIT;
  struct ab_buf packed = AB_BUF_INIT;
  struct ab_route_table *table = NULL;
  char error[AB_CONF_ERROR_BYTES] = "";
  double best_ms = 0;
  double heap;
  double before;

  write_bundle (&text, teams);
  heap = heap_mib ();
  before = peak_mib ();
  for (int i = 0; i < PARSES; i++)
    {
      uint64_t begin_us = ab_clock_monotonic_us ();
      double ms;
      ab_route_table_unref (table);
      bench_require (ab_route_table_parse (ab_buf_chunk (&text), &table, error)
                         == 0,
                     error);
      ms = (double)(ab_clock_monotonic_us () - begin_us) / US_PER_MS;
      best_ms = i == 0 || ms < best_ms ? ms : best_ms;
    }
  heap = heap_mib () - heap;
  before = peak_mib () - before;
  bench_require (ab_compress (ab_buf_chunk (&text), &packed) == 0, "compress");
  printf ("%8zu %9.2f %9.2f %9.1f %9.1f %9.1f %9.2f\n", teams,
          (double)text.len / MIB, (double)packed.len / MIB, best_ms, heap,
          before, measure_lookups (table, teams));
  fflush (stdout);
  ab_route_table_unref (table);
  ab_buf_free (&text);
  ab_buf_free (&packed);
}

int
main (void)
{
  static const size_t counts[] = { 87, 4096, 16384, 91000 };

  printf ("Limits: text %.2f MiB, compressed %.2f MiB\n",
          AB_FLEET_BUNDLE_BYTES / MIB, AB_FLEET_COMPRESSED_BYTES / MIB);
  printf ("%8s %9s %9s %9s %9s %9s %9s\n", "teams", "text MiB", "comp MiB",
          "parse ms", "kept MiB", "peak MiB", "lookup us");
  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    measure (counts[i]);
  return EXIT_SUCCESS;
}
