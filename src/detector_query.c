/* Detector: comparison with other targets, overdue requests, verdicts, and
   reports to and from other dispatchers.  */

#include <math.h>
#include <stdlib.h>

#include "detector_impl.h"
#include "error.h"

/* Age at which the latency of a local target or a report of another dispatcher
   is no longer compared with.  */
#define LOCAL_AGE_MS 10000
#define REMOTE_AGE_MS 5000
/* Time for which the median of the other targets is cached.  */
#define PEERS_AGE_MS 50
#define PEER_SAMPLES_MIN 5
/* Smallest tolerance in log latency: a target up to 1.3 times slower than the
   others is healthy.  */
#define TOLERANCE_MIN 0.26
/* Tolerance in standard deviations of the other targets.  */
#define TOLERANCE_MADS 3.0
/* Ratio of the standard deviation to the median absolute deviation.  */
#define MAD_SCALE 1.4826
#define WARY_FACTOR 0.6
/* Weight of each overdue request after the first; see OVERLAP_LATENCY.  */
#define OVERDUE_NEXT 0.35
/* Quantile of normal latencies that counts as the longest normal one.  */
#define STALL_QUANTILE 0.999
/* Fraction of the threshold at which a target becomes suspect.  */
#define SUSPECT (1.0 / 3)
/* When a larger fraction of the targets is suspect, the cause is common to
   them and no target is found unhealthy.  */
#define SUSPECTS_MAX 0.5
/* Outcomes needed to find a target healthy.  */
#define HEALTHY_OUTCOMES 10
/* Fraction of the threshold to which scores are capped after a common cause.
 */
#define COMMON_HOLD 0.75

static bool
view_counts (const struct ab_class_view *view, uint64_t now_ms)
{
  return view->samples >= PEER_SAMPLES_MIN
         && now_ms < view->last_ms + LOCAL_AGE_MS;
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

      if (at->used && at != self
          && view_counts (&at->classes[class_id], now_ms))
        values[count++] = at->classes[class_id].location;
    }
  for (size_t i = 0; i < detector->remote_count && count < max; i++)
    if (detector->remotes[i].class_id == class_id
        && now_ms < detector->remotes[i].at_ms + REMOTE_AGE_MS)
      values[count++] = detector->remotes[i].location;
  return count;
}

bool
ab_detector_peers (struct ab_detector *detector,
                   struct ab_detector_target *target, int class_id,
                   uint64_t now_ms)
{
  struct ab_class_view *view = &target->classes[class_id];
  const struct ab_detector_class *class = &detector->classes[class_id];
  double values[256];
  size_t count;

  if (class->samples < PEER_SAMPLES_MIN)
    return false;
  if (view->peers_ms && now_ms < view->peers_ms + PEERS_AGE_MS)
    return true;
  count = collect_peers (detector, target, class_id, now_ms, values,
                         sizeof values / sizeof values[0]);
  view->peers_ms = now_ms;
  view->tolerance = TOLERANCE_MIN;
  if (count == 0)
    {
      view->peer_location = class->typical;
      return true;
    }
  view->peer_location = ab_median (values, count);
  for (size_t i = 0; i < count; i++)
    values[i] = fabs (values[i] - view->peer_location);
  view->tolerance = fmax (TOLERANCE_MIN, TOLERANCE_MADS * MAD_SCALE
                                             * ab_median (values, count));
  return true;
}

/* Returns the log-likelihood ratio of the request ENTRY, from the time that it
   has taken so far; at most a third of LIMIT.  */
static double
overdue_llr (const struct ab_detector *detector,
             const struct ab_detector_target *target,
             const struct ab_in_flight *entry, double limit, uint64_t now_ms)
{
  const struct ab_class_view *view = &target->classes[entry->class_id];
  const struct ab_baseline *baseline
      = &detector->classes[entry->class_id].baseline;
  double residual;
  double p;

  if (!view->peers_ms || now_ms <= entry->start_ms)
    return 0;
  residual = log ((double)(now_ms - entry->start_ms) * 1000)
             - view->peer_location - view->tolerance;
  /* Latencies up to the tolerance are normal.  */
  if (residual <= 0)
    return 0;
  p = ab_baseline_tail (baseline, residual);
  if (p >= 1)
    return 0;
  return fmin (limit / 3, fmax (0, ab_baseline_llr (p)));
}

/* Returns the score of a target that may have stalled: grows to LIMIT and
   beyond with the time since OLDEST started, and is 0 if a request that
   started later went well.  */
static double
stall_score (const struct ab_detector *detector,
             const struct ab_detector_target *target,
             const struct ab_in_flight *oldest, double limit, uint64_t now_ms)
{
  const struct ab_class_view *view = &target->classes[oldest->class_id];
  double longest = ab_baseline_quantile (
      &detector->classes[oldest->class_id].baseline, STALL_QUANTILE);
  double stall_ms
      = detector->stall_factor * exp (view->peer_location + longest) / 1000;

  if (target->answer_ms >= oldest->start_ms || longest <= 0)
    return 0;
  return limit * (double)(now_ms - oldest->start_ms) / stall_ms;
}

double
ab_detector_overdue (const struct ab_detector *detector,
                     const struct ab_detector_target *target, uint64_t now_ms,
                     uint64_t *count)
{
  double limit = ab_detector_limit (detector, target, now_ms);
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
      llr = overdue_llr (detector, target, at, limit, now_ms);
      if (llr <= 0)
        continue;
      *count += 1;
      sum += llr;
      largest = fmax (largest, llr);
      if (!oldest || at->start_ms < oldest->start_ms)
        oldest = at;
    }
  sum = largest + OVERDUE_NEXT * (sum - largest);
  /* A single request that never ends may itself be the cause.  */
  if (*count >= 2)
    sum = fmax (sum, stall_score (detector, target, oldest, limit, now_ms));
  return sum;
}

double
ab_detector_limit (const struct ab_detector *detector,
                   const struct ab_detector_target *target, uint64_t now_ms)
{
  return detector->threshold
         * (now_ms < target->wary_until_ms ? WARY_FACTOR : 1);
}

double
ab_detector_score (const struct ab_detector *detector,
                   const struct ab_detector_target *target, uint64_t now_ms)
{
  uint64_t count;
  double overdue = ab_detector_overdue (detector, target, now_ms, &count);

  return fmax (target->latency_score + overdue, target->error_score);
}

static bool
is_suspect (const struct ab_detector *detector,
            const struct ab_detector_target *target, uint64_t now_ms)
{
  return ab_detector_score (detector, target, now_ms)
         >= SUSPECT * ab_detector_limit (detector, target, now_ms);
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
is_common (const struct ab_detector *detector, uint64_t now_ms)
{
  size_t known = 0;
  size_t suspects = 0;

  if (ab_detector_impaired (detector, now_ms))
    return true;
  count_local_suspects (detector, now_ms, &known, &suspects);
  for (size_t i = 0; i < detector->remote_count; i++)
    if (now_ms < detector->remotes[i].at_ms + REMOTE_AGE_MS)
      {
        known++;
        suspects += detector->remotes[i].suspect;
      }
  return known > 2 && (double)suspects > SUSPECTS_MAX * (double)known;
}

static void
note_overdue_paths (const struct ab_detector *detector,
                    struct ab_detector_target *target, double limit,
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
      llr = overdue_llr (detector, target, at, limit, now_ms);
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
peers_answer (const struct ab_detector *detector,
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
      good += at->answer_ms >= target->suspect_since_ms;
    }
  return 2 * good >= others;
}

static void
note_suspect (const struct ab_detector *detector,
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
hold_scores (struct ab_detector_target *target, double limit)
{
  target->latency_score = fmin (target->latency_score, limit * COMMON_HOLD);
  target->error_score = fmin (target->error_score, limit * COMMON_HOLD);
}

/* Marks bad paths and subtracts their evidence from the target's own score.
   Returns whether there were any.  */
static bool
separate_paths (const struct ab_detector *detector,
                struct ab_detector_target *target, double limit,
                uint64_t now_ms)
{
  double sum;

  note_overdue_paths (detector, target, limit, now_ms);
  sum = ab_path_mark (&target->paths, limit / 2, now_ms);
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
      const struct ab_class_view *view = &target->classes[i];

      if (view->peers_ms && view_counts (view, now_ms))
        most = fmax (most, exp (view->location - view->peer_location));
    }
  return most;
}

void
ab_detector_assess (struct ab_detector *detector, int target, uint64_t now_ms,
                    struct ab_evidence *evidence)
{
  struct ab_detector_target *at = &detector->targets[target];
  double limit = ab_detector_limit (detector, at, now_ms);
  bool path = separate_paths (detector, at, limit, now_ms);

  note_suspect (detector, at, now_ms);
  *evidence = (struct ab_evidence){
    .health = AB_HEALTH_UNKNOWN,
    .threshold = limit,
    .score = ab_detector_score (detector, at, now_ms),
    .slowdown = slowdown_of (at, now_ms),
    .outcomes = at->outcomes,
    .bad = at->bad,
  };
  ab_detector_overdue (detector, at, now_ms, &evidence->overdue);
  if (evidence->score < limit)
    {
      evidence->cause = path ? AB_CAUSE_PATH : AB_CAUSE_NONE;
      if (now_ms < at->cold_until_ms)
        evidence->cause = AB_CAUSE_COLD;
      else if (evidence->score < SUSPECT * limit
               && at->outcomes >= HEALTHY_OUTCOMES)
        evidence->health = AB_HEALTH_HEALTHY;
      return;
    }
  if (is_common (detector, now_ms) || !peers_answer (detector, at))
    {
      evidence->cause = AB_CAUSE_COMMON;
      hold_scores (at, limit);
      return;
    }
  evidence->health = AB_HEALTH_SICK;
  evidence->cause
      = at->error_score >= limit ? AB_CAUSE_ERRORS : AB_CAUSE_LATENCY;
}

double
ab_detector_suspicion (const struct ab_detector *detector, int target,
                       uint64_t now_ms)
{
  const struct ab_detector_target *at = &detector->targets[target];

  return fmin (1, ab_detector_score (detector, at, now_ms)
                      / ab_detector_limit (detector, at, now_ms));
}

bool
ab_detector_path_bad (const struct ab_detector *detector, int target,
                      uint32_t path, uint64_t now_ms)
{
  return ab_path_avoided (&detector->targets[target].paths, path, now_ms);
}

double
ab_detector_service_ms (const struct ab_detector *detector, int class_id,
                        double q)
{
  const struct ab_detector_class *class = &detector->classes[class_id];

  if (class->samples < PEER_SAMPLES_MIN)
    return 0;
  return exp (class->typical + ab_baseline_quantile (&class->baseline, q))
         / 1000;
}

static struct ab_remote *
find_remote (struct ab_detector *detector, uint32_t target, int class_id,
             uint64_t now_ms)
{
  struct ab_remote *grown;

  for (size_t i = 0; i < detector->remote_count; i++)
    {
      struct ab_remote *at = &detector->remotes[i];

      if ((at->target == target && at->class_id == class_id)
          || now_ms > at->at_ms + 2 * REMOTE_AGE_MS)
        return at;
    }
  if (detector->remote_count == AB_DETECTOR_REMOTE_MAX)
    return NULL;
  grown = realloc (detector->remotes,
                   (detector->remote_count + 1) * sizeof *grown);
  if (!grown)
    return NULL;
  detector->remotes = grown;
  return &grown[detector->remote_count++];
}

void
ab_detector_import (struct ab_detector *detector,
                    const struct ab_peer_evidence *report, uint64_t now_ms)
{
  int class_id = ab_detector_class (detector, report->class_name);
  struct ab_remote *remote
      = find_remote (detector, report->target, class_id, now_ms);

  if (!remote || !isfinite (report->log_latency) || report->log_latency < 0)
    return;
  *remote = (struct ab_remote){ .target = report->target,
                                .class_id = class_id,
                                .location = report->log_latency,
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
        struct ab_class_view *view = &at->classes[c];

        if (!at->used || view->outcomes == 0
            || view->samples < PEER_SAMPLES_MIN)
          continue;
        visit (ctx, &(struct ab_peer_evidence){
                        .target = at->hash,
                        .class_name = ab_chunk_str (detector->classes[c].name),
                        .outcomes = view->outcomes,
                        .errors = view->errors,
                        .log_latency = (float)view->location,
                        .suspect = is_suspect (detector, at, now_ms) });
        view->outcomes = 0;
        view->errors = 0;
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
