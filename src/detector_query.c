/* Detector: comparison with other targets, overdue requests, verdicts, and
   reports to and from other dispatchers.  */

#include <math.h>
#include <stdlib.h>

#include "detector_internal.h"
#include "error.h"

/* Age from which the latency of a local target or a report of another
   dispatcher is no longer used for comparison.  */
#define LOCAL_AGE_MS 10000
#define REMOTE_REPORT_AGE_MS 5000
/* Time for which the median of the other targets is cached.  */
#define PEERS_AGE_MS 50
#define PEER_SAMPLES_MIN 5
/* Smallest tolerance in log latency: a target up to 1.3 times slower than the
   others is healthy.  */
#define TOLERANCE_MIN 0.26
/* Tolerance in standard deviations of the other targets.  */
#define TOLERANCE_DEVIATIONS 3.0
/* Ratio of the standard deviation to the median absolute deviation of a normal
   distribution.  */
#define MAD_SCALE 1.4826
#define LOWERED_THRESHOLD_FACTOR 0.6
/* Weight of each overdue request after the first; see OVERLAP_LATENCY_FACTOR
   in detector.c.  */
#define OVERDUE_OVERLAP_FACTOR 0.35
/* Quantile of normal latencies that counts as the longest normal one.  */
#define STALL_QUANTILE 0.999
/* Fraction of the threshold at which a target becomes suspect.  */
#define SUSPECT_FRACTION (1.0 / 3)
/* When a larger fraction of the targets is suspect, the cause is common to
   them and no target is found unhealthy.  */
#define SUSPECTS_MAX 0.5
/* Outcomes needed to find a target healthy.  */
#define HEALTHY_OUTCOMES 10
/* Cap of scores while the cause is common, as a fraction of the threshold.
   Applied so that old evidence alone gives no verdict afterwards.  */
#define COMMON_SCORE_CAP 0.75

static bool
is_recent (const struct ab_target_class_stats *stats, uint64_t now_ms)
{
  return stats->samples >= PEER_SAMPLES_MIN
         && now_ms < stats->last_ms + LOCAL_AGE_MS;
}

static size_t
collect_peers (const struct ab_detector *detector,
               const struct ab_detector_target *self, int class_id,
               uint64_t now_ms, double *values, size_t max)
{
  size_t count = 0;

  for (size_t i = 0; i < detector->target_count && count < max; i++)
    {
      const struct ab_detector_target *at = &detector->targets[i];

      if (at->used && at != self && is_recent (&at->classes[class_id], now_ms))
        values[count++] = at->classes[class_id].median;
    }
  for (size_t i = 0; i < detector->remote_report_count && count < max; i++)
    if (detector->remote_reports[i].class_id == class_id
        && now_ms < detector->remote_reports[i].at_ms + REMOTE_REPORT_AGE_MS)
      values[count++] = detector->remote_reports[i].median;
  return count;
}

bool
ab_detector_update_peers (struct ab_detector *detector,
                          struct ab_detector_target *target, int class_id,
                          uint64_t now_ms)
{
  struct ab_target_class_stats *stats = &target->classes[class_id];
  const struct ab_detector_class *class = &detector->classes[class_id];
  double values[256];
  size_t count;

  if (class->samples < PEER_SAMPLES_MIN)
    return false;
  if (stats->peers_ms && now_ms < stats->peers_ms + PEERS_AGE_MS)
    return true;
  count = collect_peers (detector, target, class_id, now_ms, values,
                         sizeof values / sizeof values[0]);
  stats->peers_ms = now_ms;
  stats->tolerance = TOLERANCE_MIN;
  if (count == 0)
    {
      stats->peer_median = class->median;
      return true;
    }
  stats->peer_median = ab_median (values, count);
  for (size_t i = 0; i < count; i++)
    values[i] = fabs (values[i] - stats->peer_median);
  stats->tolerance = fmax (TOLERANCE_MIN, TOLERANCE_DEVIATIONS * MAD_SCALE
                                              * ab_median (values, count));
  return true;
}

/* Returns the log-likelihood ratio of the request ENTRY, from the time that it
   has taken so far; at most a third of THRESHOLD.  */
static double
overdue_llr (const struct ab_detector *detector,
             const struct ab_detector_target *target,
             const struct ab_in_flight *entry, double threshold,
             uint64_t now_ms)
{
  const struct ab_target_class_stats *stats
      = &target->classes[entry->class_id];
  const struct ab_baseline *baseline
      = &detector->classes[entry->class_id].baseline;
  double residual;
  double p;

  if (!stats->peers_ms || now_ms <= entry->start_ms)
    return 0;
  residual = log ((double)(now_ms - entry->start_ms) * 1000)
             - stats->peer_median - stats->tolerance;
  /* Latencies up to the tolerance are normal: half of the requests take longer
     than the median.  */
  if (residual <= 0)
    return 0;
  p = ab_baseline_tail (baseline, residual);
  if (p >= 1)
    return 0;
  return fmin (threshold / 3, fmax (0, ab_baseline_llr (p)));
}

/* Returns the score of a target that may have stalled: grows to THRESHOLD and
   beyond with the time since OLDEST started, and is 0 if a request that
   started later went well.  */
static double
stall_score (const struct ab_detector *detector,
             const struct ab_detector_target *target,
             const struct ab_in_flight *oldest, double threshold,
             uint64_t now_ms)
{
  const struct ab_target_class_stats *stats
      = &target->classes[oldest->class_id];
  double longest = ab_baseline_quantile (
      &detector->classes[oldest->class_id].baseline, STALL_QUANTILE);
  double stall_ms
      = detector->stall_factor * exp (stats->peer_median + longest) / 1000;

  if (target->last_good_start_ms >= oldest->start_ms || longest <= 0)
    return 0;
  return threshold * (double)(now_ms - oldest->start_ms) / stall_ms;
}

double
ab_detector_overdue_score (const struct ab_detector *detector,
                           const struct ab_detector_target *target,
                           uint64_t now_ms, uint64_t *count)
{
  double threshold = ab_detector_threshold (detector, target, now_ms);
  const struct ab_in_flight *oldest = NULL;
  double largest = 0;
  double sum = 0;

  *count = 0;
  for (size_t i = 0; i < target->in_flight_size; i++)
    {
      const struct ab_in_flight *at = &target->in_flight[i];
      double llr;

      /* Requests that started in the cold period may take long.  */
      if (!at->used || at->start_ms < target->cold_until_ms
          || ab_path_avoided (&target->paths, at->path, now_ms))
        continue;
      llr = overdue_llr (detector, target, at, threshold, now_ms);
      if (llr <= 0)
        continue;
      *count += 1;
      sum += llr;
      largest = fmax (largest, llr);
      if (!oldest || at->start_ms < oldest->start_ms)
        oldest = at;
    }
  sum = largest + OVERDUE_OVERLAP_FACTOR * (sum - largest);
  /* A single request that never ends may itself be the cause.  */
  if (*count >= 2)
    sum = fmax (sum,
                stall_score (detector, target, oldest, threshold, now_ms));
  return sum;
}

double
ab_detector_threshold (const struct ab_detector *detector,
                       const struct ab_detector_target *target,
                       uint64_t now_ms)
{
  return detector->threshold
         * (now_ms < target->lowered_until_ms ? LOWERED_THRESHOLD_FACTOR : 1);
}

double
ab_detector_score (const struct ab_detector *detector,
                   const struct ab_detector_target *target, uint64_t now_ms)
{
  uint64_t count;
  double overdue
      = ab_detector_overdue_score (detector, target, now_ms, &count);

  return fmax (target->latency_score + overdue, target->error_score);
}

static bool
is_suspect (const struct ab_detector *detector,
            const struct ab_detector_target *target, uint64_t now_ms)
{
  return ab_detector_score (detector, target, now_ms)
         >= SUSPECT_FRACTION
                * ab_detector_threshold (detector, target, now_ms);
}

static void
count_local_suspects (const struct ab_detector *detector, uint64_t now_ms,
                      size_t *known, size_t *suspects)
{
  for (size_t i = 0; i < detector->target_count; i++)
    if (detector->targets[i].used)
      {
        *known += 1;
        *suspects += is_suspect (detector, &detector->targets[i], now_ms);
      }
}

bool
ab_detector_impaired (const struct ab_detector *detector, uint64_t now_ms)
{
  size_t known = 0;
  size_t suspects = 0;

  count_local_suspects (detector, now_ms, &known, &suspects);
  return known > 1 && (double)suspects > SUSPECTS_MAX * (double)known;
}

/* Returns whether most local targets, or most targets of the service, are
   suspect.  */
static bool
has_common_cause (const struct ab_detector *detector, uint64_t now_ms)
{
  size_t known = 0;
  size_t suspects = 0;

  if (ab_detector_impaired (detector, now_ms))
    return true;
  count_local_suspects (detector, now_ms, &known, &suspects);
  for (size_t i = 0; i < detector->remote_report_count; i++)
    if (now_ms < detector->remote_reports[i].at_ms + REMOTE_REPORT_AGE_MS)
      {
        known++;
        suspects += detector->remote_reports[i].suspect;
      }
  return known > 2 && (double)suspects > SUSPECTS_MAX * (double)known;
}

static void
record_overdue_paths (const struct ab_detector *detector,
                      struct ab_detector_target *target, double threshold,
                      uint64_t now_ms)
{
  for (size_t i = 0; i < AB_PATHS_MAX; i++)
    target->paths.paths[i].overdue = 0;
  for (size_t i = 0; i < target->in_flight_size; i++)
    {
      const struct ab_in_flight *at = &target->in_flight[i];
      struct ab_path_score *path;
      double llr;

      if (!at->used || at->start_ms < target->cold_until_ms)
        continue;
      llr = overdue_llr (detector, target, at, threshold, now_ms);
      if (llr <= 0)
        continue;
      path = ab_path_find (&target->paths, at->path, now_ms);
      if (path->score <= 0 && path->overdue <= 0)
        path->bad_since_ms = at->start_ms;
      path->overdue += llr;
    }
}

/* Returns whether at least half of the other local targets have finished a
   good request that started after TARGET became suspect.  Without this check,
   the first of several targets that slow down together would be ejected before
   the others become suspect.  */
static bool
peers_respond (const struct ab_detector *detector,
               const struct ab_detector_target *target)
{
  size_t others = 0;
  size_t good = 0;

  for (size_t i = 0; i < detector->target_count; i++)
    {
      const struct ab_detector_target *at = &detector->targets[i];

      if (!at->used || at == target)
        continue;
      others++;
      good += at->last_good_start_ms >= target->suspect_since_ms;
    }
  return 2 * good >= others;
}

static void
update_suspect_since (const struct ab_detector *detector,
                      struct ab_detector_target *target, uint64_t now_ms)
{
  if (!is_suspect (detector, target, now_ms))
    target->suspect_since_ms = 0;
  else if (target->suspect_since_ms == 0)
    target->suspect_since_ms = now_ms;
}

/* Caps scores from a time when most targets were suspect, so that a verdict
   needs new evidence once the others have recovered.  */
static void
cap_scores (struct ab_detector_target *target, double threshold)
{
  target->latency_score
      = fmin (target->latency_score, threshold * COMMON_SCORE_CAP);
  target->error_score
      = fmin (target->error_score, threshold * COMMON_SCORE_CAP);
}

/* Marks bad paths and subtracts their evidence from the target's own score.
   Returns whether any evidence was subtracted.  */
static bool
separate_paths (const struct ab_detector *detector,
                struct ab_detector_target *target, double threshold,
                uint64_t now_ms)
{
  double sum;

  record_overdue_paths (detector, target, threshold, now_ms);
  sum = ab_path_mark_avoided (&target->paths, threshold / 2, now_ms);
  target->latency_score = fmax (0, target->latency_score - sum);
  target->error_score = fmax (0, target->error_score - sum);
  return sum > 0;
}

static double
slowdown_of (const struct ab_detector_target *target, uint64_t now_ms)
{
  double most = 0;

  for (size_t i = 0; i < AB_DETECTOR_CLASSES_MAX; i++)
    {
      const struct ab_target_class_stats *stats = &target->classes[i];

      if (stats->peers_ms && is_recent (stats, now_ms))
        most = fmax (most, exp (stats->median - stats->peer_median));
    }
  return most;
}

void
ab_detector_assess (struct ab_detector *detector, int target, uint64_t now_ms,
                    struct ab_evidence *evidence)
{
  struct ab_detector_target *at = &detector->targets[target];
  double threshold = ab_detector_threshold (detector, at, now_ms);
  bool path = separate_paths (detector, at, threshold, now_ms);

  update_suspect_since (detector, at, now_ms);
  *evidence = (struct ab_evidence){
    .health = AB_HEALTH_UNKNOWN,
    .threshold = threshold,
    .score = ab_detector_score (detector, at, now_ms),
    .slowdown = slowdown_of (at, now_ms),
    .outcomes = at->outcomes,
    .bad = at->bad,
  };
  ab_detector_overdue_score (detector, at, now_ms, &evidence->overdue);
  if (evidence->score < threshold)
    {
      evidence->cause = path ? AB_CAUSE_PATH : AB_CAUSE_NONE;
      if (now_ms < at->cold_until_ms)
        evidence->cause = AB_CAUSE_COLD;
      else if (evidence->score < SUSPECT_FRACTION * threshold
               && at->outcomes >= HEALTHY_OUTCOMES)
        evidence->health = AB_HEALTH_HEALTHY;
      return;
    }
  if (has_common_cause (detector, now_ms) || !peers_respond (detector, at))
    {
      evidence->cause = AB_CAUSE_COMMON;
      cap_scores (at, threshold);
      return;
    }
  evidence->health = AB_HEALTH_UNHEALTHY;
  evidence->cause
      = at->error_score >= threshold ? AB_CAUSE_ERRORS : AB_CAUSE_LATENCY;
}

double
ab_detector_suspicion (const struct ab_detector *detector, int target,
                       uint64_t now_ms)
{
  const struct ab_detector_target *at = &detector->targets[target];

  return fmin (1, ab_detector_score (detector, at, now_ms)
                      / ab_detector_threshold (detector, at, now_ms));
}

bool
ab_detector_path_bad (const struct ab_detector *detector, int target,
                      uint32_t path, uint64_t now_ms)
{
  return ab_path_avoided (&detector->targets[target].paths, path, now_ms);
}

double
ab_detector_service_time_ms (const struct ab_detector *detector, int class_id,
                             double q)
{
  const struct ab_detector_class *class = &detector->classes[class_id];

  if (class->samples < PEER_SAMPLES_MIN)
    return 0;
  return exp (class->median + ab_baseline_quantile (&class->baseline, q))
         / 1000;
}

static struct ab_remote_report *
find_remote_report (struct ab_detector *detector, uint32_t target,
                    int class_id, uint64_t now_ms)
{
  struct ab_remote_report *grown;

  for (size_t i = 0; i < detector->remote_report_count; i++)
    {
      struct ab_remote_report *at = &detector->remote_reports[i];

      if ((at->target == target && at->class_id == class_id)
          || now_ms > at->at_ms + 2 * REMOTE_REPORT_AGE_MS)
        return at;
    }
  if (detector->remote_report_count == AB_DETECTOR_REMOTE_MAX)
    return NULL;
  grown = realloc (detector->remote_reports,
                   (detector->remote_report_count + 1) * sizeof *grown);
  if (!grown)
    return NULL;
  detector->remote_reports = grown;
  return &grown[detector->remote_report_count++];
}

void
ab_detector_import (struct ab_detector *detector,
                    const struct ab_peer_evidence *report, uint64_t now_ms)
{
  int class_id = ab_detector_class (detector, report->class_name);
  struct ab_remote_report *remote
      = find_remote_report (detector, report->target, class_id, now_ms);

  if (!remote || !isfinite (report->log_latency) || report->log_latency < 0)
    return;
  *remote = (struct ab_remote_report){ .target = report->target,
                                       .class_id = class_id,
                                       .median = report->log_latency,
                                       .suspect = report->suspect,
                                       .at_ms = now_ms };
}

void
ab_detector_export (struct ab_detector *detector, uint64_t now_ms,
                    ab_evidence_visitor visit, void *ctx)
{
  for (size_t i = 0; i < detector->target_count; i++)
    for (size_t c = 0; c < detector->class_count; c++)
      {
        struct ab_detector_target *at = &detector->targets[i];
        struct ab_target_class_stats *stats = &at->classes[c];

        if (!at->used || stats->outcomes == 0
            || stats->samples < PEER_SAMPLES_MIN)
          continue;
        visit (ctx, &(struct ab_peer_evidence){
                        .target = at->hash,
                        .class_name = ab_chunk_str (detector->classes[c].name),
                        .outcomes = stats->outcomes,
                        .errors = stats->errors,
                        .log_latency = (float)stats->median,
                        .suspect = is_suspect (detector, at, now_ms) });
        stats->outcomes = 0;
        stats->errors = 0;
      }
}

const char *
ab_cause_name (enum ab_cause cause)
{
  static const char *const names[]
      = { "none", "latency", "errors", "path", "common", "cold" };

  return (size_t)cause < sizeof names / sizeof names[0] ? names[cause]
                                                        : "unknown";
}
