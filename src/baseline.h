/* What is normal for one request class of a service: the distribution of the
   log latency around a target's own median, and the share of errors.

   The latency distribution is kept as a histogram of residuals and used as
   a tail probability, so that a heavy tail is part of what is normal and no
   shape is assumed.  Beyond the largest residuals seen the tail is continued
   as a Pareto tail.  Latencies are natural logarithms of microseconds.  */

#ifndef AB_BASELINE_H
#define AB_BASELINE_H

#include <stddef.h>

#define AB_BASELINE_BUCKETS 160

struct ab_baseline
{
  double count[AB_BASELINE_BUCKETS];
  double total;
  double outcomes; /* Decayed counts for the share of errors.  */
  double errors;
};

/* Adds the residual of one response to what is normal.  */
void ab_baseline_learn (struct ab_baseline *baseline, double residual);
void ab_baseline_learn_error (struct ab_baseline *baseline, double error);

/* The probability that a normal response has at least this residual;
   1 while too little is known.  */
double ab_baseline_tail (const struct ab_baseline *baseline, double residual);

/* The residual that a fraction Q of normal responses does not exceed.  */
double ab_baseline_quantile (const struct ab_baseline *baseline, double q);

/* Share of errors among normal outcomes, with a lower bound.  */
double ab_baseline_error_share (const struct ab_baseline *baseline);

/* Log likelihood ratio of a tail probability P between a slow target, whose
   responses crowd near P = 0, and a normal one, for which P is uniform.  */
double ab_baseline_llr (double p);

/* Median of COUNT values, which are reordered.  */
double ab_median (double *values, size_t count);

#endif
