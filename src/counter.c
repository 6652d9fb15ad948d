#include "counter.h"

#include <stdlib.h>
#include <uthash.h>

#include "error.h"

#define METRICS_MAX 4096
/* Each power of two is divided into 2^SUB_BITS buckets.  */
#define SUB_BITS 4
#define SUB_BUCKETS (1 << SUB_BITS)
#define BUCKETS ((64 - SUB_BITS + 1) * SUB_BUCKETS)

struct ab_histogram
{
  uint64_t count;
  uint64_t sum;
  uint32_t buckets[BUCKETS];
};

struct metric
{
  char *name;
  uint64_t value;
  struct ab_histogram *histogram; /* Null for a counter or gauge.  */
  UT_hash_handle hh;
};

struct ab_counters
{
  struct metric *metrics;
  /* Shared by the metrics that cannot be created; never printed.  */
  uint64_t overflow;
  struct ab_histogram *overflow_histogram;
};

struct ab_counters *
ab_counters_new (void)
{
  struct ab_counters *counters = calloc (1, sizeof *counters);

  if (!counters)
    return NULL;
  counters->overflow_histogram = ab_histogram_new ();
  if (!counters->overflow_histogram)
    {
      free (counters);
      return NULL;
    }
  return counters;
}

void
ab_counters_free (struct ab_counters *counters)
{
  struct metric *metric;
  struct metric *next;

  if (!counters)
    return;
  metric = counters->metrics;
  HASH_CLEAR (hh, counters->metrics);
  for (; metric; metric = next)
    {
      next = metric->hh.next;
      ab_histogram_free (metric->histogram);
      free (metric->name);
      free (metric);
    }
  ab_histogram_free (counters->overflow_histogram);
  free (counters);
}

static struct metric *
find_or_add_metric (struct ab_counters *counters, const char *name)
{
  struct metric *metric = NULL;

  HASH_FIND_STR (counters->metrics, name, metric);
  if (metric || HASH_COUNT (counters->metrics) >= METRICS_MAX)
    return metric;
  metric = calloc (1, sizeof *metric);
  if (!metric)
    return NULL;
  metric->name = strdup (name);
  if (!metric->name)
    {
      free (metric);
      return NULL;
    }
  HASH_ADD_KEYPTR (hh, counters->metrics, metric->name, strlen (metric->name),
                   metric);
  return metric;
}

uint64_t *
ab_counter (struct ab_counters *counters, const char *name)
{
  struct metric *metric = find_or_add_metric (counters, name);

  return metric ? &metric->value : &counters->overflow;
}

struct ab_histogram *
ab_counter_histogram (struct ab_counters *counters, const char *name)
{
  struct metric *metric = find_or_add_metric (counters, name);

  if (!metric)
    return counters->overflow_histogram;
  if (!metric->histogram)
    metric->histogram = ab_histogram_new ();
  return metric->histogram ? metric->histogram : counters->overflow_histogram;
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

/* Returns the index of the bucket of VALUE.  Values below SUB_BUCKETS have a
   bucket each; above that, each power of two has SUB_BUCKETS buckets.  */
static size_t
bucket_index (uint64_t value)
{
  int shift;

  if (value < SUB_BUCKETS)
    return (size_t)value;
  shift = 63 - __builtin_clzll (value) - SUB_BITS;
  return (size_t)(shift + 1) * SUB_BUCKETS
         + (size_t)((value >> shift) - SUB_BUCKETS);
}

/* Returns the largest value that belongs to BUCKET.  */
static uint64_t
bucket_max (size_t bucket)
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
  histogram->buckets[bucket_index (value)]++;
}

uint64_t
ab_histogram_count (const struct ab_histogram *histogram)
{
  return histogram->count;
}

uint64_t
ab_histogram_quantile (const struct ab_histogram *histogram, double q)
{
  double rank = q * (double)histogram->count;
  uint64_t cumulative = 0;

  if (histogram->count == 0)
    return 0;
  for (size_t i = 0; i < BUCKETS; i++)
    {
      cumulative += histogram->buckets[i];
      if (cumulative > 0 && (double)cumulative >= rank)
        return bucket_max (i);
    }
  return bucket_max (BUCKETS - 1);
}

static void
print_histogram (const struct metric *metric, struct ab_buf *out)
{
  static const double quantiles[] = { 0.5, 0.9, 0.99, 0.999 };
  const struct ab_histogram *h = metric->histogram;

  for (size_t i = 0; i < sizeof quantiles / sizeof quantiles[0]; i++)
    ab_buf_printf (
        out, "%s{quantile=\"%g\"} %llu\n", metric->name, quantiles[i],
        (unsigned long long)ab_histogram_quantile (h, quantiles[i]));
  ab_buf_printf (out, "%s_sum %llu\n%s_count %llu\n", metric->name,
                 (unsigned long long)h->sum, metric->name,
                 (unsigned long long)h->count);
}

int
ab_counters_print (const struct ab_counters *counters, struct ab_buf *out)
{
  const struct metric *metric;

  for (metric = counters->metrics; metric; metric = metric->hh.next)
    {
      if (metric->histogram)
        print_histogram (metric, out);
      else
        ab_buf_printf (out, "%s %llu\n", metric->name,
                       (unsigned long long)metric->value);
    }
  return out->error;
}
