/* Normal behaviour of one request class of a service: the distribution of the
   log latency around a target's own median, and the error rate.

   The latency distribution is a histogram of residuals from which tail
   probabilities are read, so that a heavy tail counts as normal and no shape
   is assumed.  Beyond the largest residuals seen, the tail is extrapolated as
   a Pareto tail.  Latencies are natural logarithms of microseconds.  No
   I/O.  */

#ifndef AB_BASELINE_H
#define AB_BASELINE_H

#include <stddef.h>

#define AB_BASELINE_BUCKETS 160

struct ab_baseline
{
  double count[AB_BASELINE_BUCKETS];
  double total;
  /* Decayed counts for the error rate.  */
  double outcomes;
  double errors;
};

/* Adds the residual of one normal response: its log latency minus the median
   of its target.  */
void ab_baseline_learn (struct ab_baseline *baseline, double residual);
/* Adds one normal outcome, which counts as ERROR (0 to 1) of an error.  */
void ab_baseline_learn_error (struct ab_baseline *baseline, double error);

/* Returns the probability that a normal response has at least RESIDUAL; 1
   while there are too few samples.  */
double ab_baseline_tail (const struct ab_baseline *baseline, double residual);

/* Returns the quantile Q (0 to 1) of the residuals of normal responses; 0
   while there are too few samples.  */
double ab_baseline_quantile (const struct ab_baseline *baseline, double q);

/* Returns the error rate of normal outcomes, which a prior keeps above 0.  */
double ab_baseline_error_rate (const struct ab_baseline *baseline);

/* Returns the log-likelihood ratio of a tail probability P for a slow target,
   whose values of P cluster near 0, against a normal one, for which P is
   uniformly distributed.  */
double ab_baseline_llr (double p);

/* Returns the median of COUNT values, which it sorts; 0 when COUNT is 0.  */
double ab_median (double *values, size_t count);

#endif
