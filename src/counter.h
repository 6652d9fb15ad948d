/* Counters, gauges and latency histograms of a process, with the text
   exposition format that dashboards read.

   Names follow that format: ab_requests_total; labels, if any, are part of
   the name as in ab_requests_total{verdict="ran"}.  A histogram keeps
   buckets whose width is at most 1/16 of their value, so quantiles have a
   relative error below 6.25%.  */

#ifndef AB_COUNTER_H
#define AB_COUNTER_H

#include <stdint.h>

#include "buf.h"

struct ab_counters;
struct ab_histogram;

struct ab_counters *ab_counters_new (void);
void ab_counters_free (struct ab_counters *counters);

/* The cell of the counter or gauge NAME, made on first use; valid as long as
   COUNTERS.  Add to it or set it.  Never null: without memory, or when there
   are too many names, a common spare cell is returned.  */
uint64_t *ab_counter (struct ab_counters *counters, const char *name);

struct ab_histogram *ab_histogram_new (void);
void ab_histogram_free (struct ab_histogram *histogram);

/* The histogram NAME of COUNTERS; microseconds.  */
struct ab_histogram *ab_counter_histogram (struct ab_counters *counters,
                                           const char *name);

void ab_histogram_add (struct ab_histogram *histogram, uint64_t value);
uint64_t ab_histogram_count (const struct ab_histogram *histogram);

/* The value that a fraction Q (0..1) of the samples does not exceed; 0 when
   there are none.  */
uint64_t ab_histogram_quantile (const struct ab_histogram *histogram,
                                double q);

/* Appends the text exposition of everything.  */
int ab_counters_print (const struct ab_counters *counters, struct ab_buf *out);

#endif
