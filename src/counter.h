/* Counters, gauges and latency histograms of a process, and their output in
   the Prometheus text exposition format.

   Metric names follow that format, as in ab_requests_total; labels, if any,
   are part of the name, as in ab_requests_total{verdict="ran"}.  The width of
   a histogram's bucket is at most 1/16 of the values in it, so quantiles have
   a relative error below 6.25%.  */

#ifndef AB_COUNTER_H
#define AB_COUNTER_H

#include <stdint.h>

#include "buf.h"

struct ab_counters;
struct ab_histogram;

struct ab_counters *ab_counters_new (void);
void ab_counters_free (struct ab_counters *counters);

/* Returns a pointer to the value of the counter or gauge NAME, created on
   first use and valid as long as COUNTERS.  The caller adds to the value or
   sets it.  Never null: when memory runs out or there are too many names, the
   pointer is to a shared overflow value that is not printed.  */
uint64_t *ab_counter (struct ab_counters *counters, const char *name);

struct ab_histogram *ab_histogram_new (void);
void ab_histogram_free (struct ab_histogram *histogram);

/* Returns the histogram NAME of COUNTERS, created on first use; its samples
   are microseconds.  Never null: as in ab_counter, an overflow histogram
   that is not printed is returned instead.  */
struct ab_histogram *ab_counter_histogram (struct ab_counters *counters,
                                           const char *name);

void ab_histogram_add (struct ab_histogram *histogram, uint64_t value);
uint64_t ab_histogram_count (const struct ab_histogram *histogram);

/* Returns the value that a fraction Q (0..1) of the samples does not exceed; 0
   when there are no samples.  */
uint64_t ab_histogram_quantile (const struct ab_histogram *histogram,
                                double q);

/* Appends all metrics to OUT in the text exposition format.  Returns 0 or
   AB_ERR_MEMORY.  */
int ab_counters_print (const struct ab_counters *counters, struct ab_buf *out);

#endif
