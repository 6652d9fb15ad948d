#include "counter.h"

#include <stdlib.h>
#include <uthash.h>

#include "error.h"

#define COUNTERS_MAX 4096
#define SUB_BITS 4
#define SUB_BUCKETS (1 << SUB_BITS)
#define BUCKETS ((64 - SUB_BITS + 1) * SUB_BUCKETS)

struct ab_histogram
{
  uint64_t count;
  uint64_t sum;
  uint32_t buckets[BUCKETS];
};

struct cell
{
  char *name;
  uint64_t value;
  struct ab_histogram *histogram;
  UT_hash_handle hh;
};

struct ab_counters
{
  struct cell *cells;
  uint64_t spare;
  struct ab_histogram *spare_histogram;
};

struct ab_counters *
ab_counters_new (void)
{
  struct ab_counters *counters = calloc (1, sizeof *counters);

  if (!counters)
    return NULL;
  counters->spare_histogram = ab_histogram_new ();
  if (!counters->spare_histogram)
    {
      free (counters);
      return NULL;
    }
  return counters;
}

void
ab_counters_free (struct ab_counters *counters)
{
  struct cell *cell;
  struct cell *next;

  if (!counters)
    return;
  cell = counters->cells;
  HASH_CLEAR (hh, counters->cells);
  for (; cell; cell = next)
    {
      next = cell->hh.next;
      ab_histogram_free (cell->histogram);
      free (cell->name);
      free (cell);
    }
  ab_histogram_free (counters->spare_histogram);
  free (counters);
}

static struct cell *
find_cell (struct ab_counters *counters, const char *name)
{
  struct cell *cell = NULL;

  HASH_FIND_STR (counters->cells, name, cell);
  if (cell || HASH_COUNT (counters->cells) >= COUNTERS_MAX)
    return cell;
  cell = calloc (1, sizeof *cell);
  if (!cell)
    return NULL;
  cell->name = strdup (name);
  if (!cell->name)
    {
      free (cell);
      return NULL;
    }
  HASH_ADD_KEYPTR (hh, counters->cells, cell->name, strlen (cell->name), cell);
  return cell;
}

uint64_t *
ab_counter (struct ab_counters *counters, const char *name)
{
  struct cell *cell = find_cell (counters, name);

  return cell ? &cell->value : &counters->spare;
}

struct ab_histogram *
ab_counter_histogram (struct ab_counters *counters, const char *name)
{
  struct cell *cell = find_cell (counters, name);

  if (!cell)
    return counters->spare_histogram;
  if (!cell->histogram)
    cell->histogram = ab_histogram_new ();
  return cell->histogram ? cell->histogram : counters->spare_histogram;
}

struct ab_histogram *
ab_histogram_new (void)
{
  return calloc (1, sizeof (struct ab_histogram));
}

void
ab_histogram_free (struct ab_histogram *histogram)
{
  free (histogram);
}

/* Values below SUB_BUCKETS have a bucket each; above, each power of two has
   SUB_BUCKETS of them.  */
static size_t
bucket_of (uint64_t value)
{
  int shift;

  if (value < SUB_BUCKETS)
    return (size_t)value;
  shift = 63 - __builtin_clzll (value) - SUB_BITS;
  return (size_t)(shift + 1) * SUB_BUCKETS
         + (size_t)((value >> shift) - SUB_BUCKETS);
}

/* The largest value of a bucket.  */
static uint64_t
bucket_top (size_t bucket)
{
  size_t shift;

  if (bucket < SUB_BUCKETS)
    return bucket;
  shift = bucket / SUB_BUCKETS - 1;
  return ((uint64_t)(bucket % SUB_BUCKETS + SUB_BUCKETS + 1) << shift) - 1;
}

void
ab_histogram_add (struct ab_histogram *histogram, uint64_t value)
{
  histogram->count++;
  histogram->sum += value;
  histogram->buckets[bucket_of (value)]++;
}

uint64_t
ab_histogram_count (const struct ab_histogram *histogram)
{
  return histogram->count;
}

uint64_t
ab_histogram_quantile (const struct ab_histogram *histogram, double q)
{
  double want = q * (double)histogram->count;
  uint64_t seen = 0;

  if (histogram->count == 0)
    return 0;
  for (size_t i = 0; i < BUCKETS; i++)
    {
      seen += histogram->buckets[i];
      if (seen > 0 && (double)seen >= want)
        return bucket_top (i);
    }
  return bucket_top (BUCKETS - 1);
}

static void
print_histogram (const struct cell *cell, struct ab_buf *out)
{
  static const double quantiles[] = { 0.5, 0.9, 0.99, 0.999 };
  const struct ab_histogram *h = cell->histogram;

  for (size_t i = 0; i < sizeof quantiles / sizeof quantiles[0]; i++)
    ab_buf_printf (
        out, "%s{quantile=\"%g\"} %llu\n", cell->name, quantiles[i],
        (unsigned long long)ab_histogram_quantile (h, quantiles[i]));
  ab_buf_printf (out, "%s_sum %llu\n%s_count %llu\n", cell->name,
                 (unsigned long long)h->sum, cell->name,
                 (unsigned long long)h->count);
}

int
ab_counters_print (const struct ab_counters *counters, struct ab_buf *out)
{
  const struct cell *cell;

  for (cell = counters->cells; cell; cell = cell->hh.next)
    {
      if (cell->histogram)
        print_histogram (cell, out);
      else
        ab_buf_printf (out, "%s %llu\n", cell->name,
                       (unsigned long long)cell->value);
    }
  return out->error;
}
