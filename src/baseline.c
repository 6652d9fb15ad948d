#include "baseline.h"

#include <math.h>
#include <stdlib.h>

/* The histogram covers latencies from e^-3 to e^5 times the median, with 20
   buckets for each unit of the residual.  */
#define RESIDUAL_MIN (-3.0)
#define BUCKETS_PER_UNIT 20.0
/* Counts are halved at this total, so that old responses lose weight.  */
#define TOTAL_MAX 4000.0
/* Below this total the histogram is not used.  */
#define TOTAL_MIN 30.0
/* Smallest number of samples above a point of the tail that is read from the
   histogram.  */
#define TAIL_SAMPLES 3.0
/* Exponent of the extrapolated Pareto tail.  1.0 is heavier than the tail of
   real services' latencies, so that rare slow responses are not overrated.  */
#define TAIL_EXPONENT 1.0

/* Counts of outcomes are halved at this total.  */
#define OUTCOMES_MAX 2000.0
/* Prior of the error rate, as counts of errors and outcomes.  */
#define PRIOR_ERRORS 0.5
#define PRIOR_OUTCOMES 100.0

static size_t
bucket_of (double residual)
{
  double at = (residual - RESIDUAL_MIN) * BUCKETS_PER_UNIT;

  if (at < 0)
    return 0;
  if (at >= AB_BASELINE_BUCKETS - 1)
    return AB_BASELINE_BUCKETS - 1;
  return (size_t)at;
}

static double
bucket_edge (size_t bucket)
{
  return RESIDUAL_MIN + (double)bucket / BUCKETS_PER_UNIT;
}

void
ab_baseline_learn (struct ab_baseline *baseline, double residual)
{
  baseline->count[bucket_of (residual)] += 1;
  baseline->total += 1;
  if (baseline->total < TOTAL_MAX)
    return;
  for (size_t i = 0; i < AB_BASELINE_BUCKETS; i++)
    baseline->count[i] /= 2;
  baseline->total /= 2;
}

void
ab_baseline_learn_error (struct ab_baseline *baseline, double error)
{
  baseline->outcomes += 1;
  baseline->errors += error;
  if (baseline->outcomes < OUTCOMES_MAX)
    return;
  baseline->outcomes /= 2;
  baseline->errors /= 2;
}

double
ab_baseline_tail (const struct ab_baseline *baseline, double residual)
{
  size_t first = bucket_of (residual);
  size_t bucket = AB_BASELINE_BUCKETS;
  double above = 0;
  double p;

  if (baseline->total < TOTAL_MIN)
    return 1;
  while (bucket > first)
    above += baseline->count[--bucket];
  if (above >= TAIL_SAMPLES)
    return (above + 1) / (baseline->total + 2);
  while (bucket > 0 && above < TAIL_SAMPLES)
    above += baseline->count[--bucket];
  p = (above + 1) / (baseline->total + 2);
  return p * exp (-TAIL_EXPONENT * fmax (0, residual - bucket_edge (bucket)));
}

double
ab_baseline_quantile (const struct ab_baseline *baseline, double q)
{
  double below = 0;

  if (baseline->total < TOTAL_MIN)
    return 0;
  for (size_t i = 0; i < AB_BASELINE_BUCKETS; i++)
    {
      below += baseline->count[i];
      if (below >= q * baseline->total)
        return bucket_edge (i + 1);
    }
  return bucket_edge (AB_BASELINE_BUCKETS);
}

double
ab_baseline_error_rate (const struct ab_baseline *baseline)
{
  return (baseline->errors + PRIOR_ERRORS)
         / (baseline->outcomes + PRIOR_OUTCOMES);
}

double
ab_baseline_llr (double p)
{
  /* A slow target is one of two equally likely distributions Beta(a, 1) of P:
     a = 0.3 for a few times slower, a = 0.08 for much slower.  */
  return log (0.5 * 0.3 * pow (p, -0.7) + 0.5 * 0.08 * pow (p, -0.92));
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

double
ab_median (double *values, size_t count)
{
  if (count == 0)
    return 0;
  qsort (values, count, sizeof *values, compare_doubles);
  return (values[(count - 1) / 2] + values[count / 2]) / 2;
}
