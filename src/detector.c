#include "detector.h"

#include <math.h>
#include <stdlib.h>

#include "detector_internal.h"
#include "error.h"

/* Scores at which a target is unhealthy, for weights 0 and 1.  A healthy
   target reaches a score of 16 by chance about once in e^16 requests, and a
   score of 9 at most once in e^9.  */
#define THRESHOLD_WEIGHT_0 16.0
#define THRESHOLD_WEIGHT_1 9.0
/* A target counts as stalled when it has finished no request for this many
   times the longest normal latency, for weights 0 and 1.  */
#define STALL_FACTOR_WEIGHT_0 10.0
#define STALL_FACTOR_WEIGHT_1 4.0
/* The threshold is lower for this long after the end of an ejection.  */
#define LOWERED_THRESHOLD_MS 30000
/* Largest fraction of the threshold that one request may add, so that a
   verdict needs at least three requests.  */
#define REQUEST_SHARE_MAX (1.0 / 3)
/* Largest score as a multiple of the threshold, so that recovery from a long
   fault does not take as long as the fault.  */
#define SCORE_MAX 1.25
/* From this fraction of the threshold on, good requests count less by this
   factor; otherwise a target that flaps every 2 s would clear its score in
   each good phase.  */
#define GOOD_DISCOUNT_FROM (1.0 / 3)
#define GOOD_DISCOUNT 0.5
/* Bad requests that were in flight together may have one cause, such as a
   garbage collection pause; the evidence of all but the first to end is
   multiplied by these factors.  */
#define OVERLAP_LATENCY_FACTOR 0.35
#define OVERLAP_ERROR_FACTOR 0.5
/* Time constant of the exponential decay of scores.  */
#define DECAY_MS 30000.0
/* Error rate assumed for an unhealthy target: this multiple of the normal
   rate, but at least this rate.  */
#define UNHEALTHY_ERROR_RATE_MIN 0.2
#define UNHEALTHY_TO_NORMAL_RATIO 5.0
/* In normal operation broken connections are rarer than errors by this factor.
   A response that sheds load counts as this fraction of an error, since the
   target is busy rather than unhealthy.  */
#define BROKEN_TO_ERROR_RATIO 0.4
#define SHED_WEIGHT 0.3
/* Step sizes of running medians, in log latency: of a target's first samples,
   of its later samples, and of the median over all targets.  */
#define MEDIAN_STEP_FIRST 0.2
#define MEDIAN_STEP 0.05
#define MEDIAN_STEP_CLASS 0.005
#define FIRST_SAMPLES 10

struct ab_detector *
ab_detector_new (double weight)
{
  struct ab_detector *detector = calloc (1, sizeof *detector);

  if (!detector)
    return NULL;
  ab_detector_set_weight (detector, weight);
  return detector;
}

void
ab_detector_free (struct ab_detector *detector)
{
  if (!detector)
    return;
  for (size_t i = 0; i < detector->target_count; i++)
    free (detector->targets[i].in_flight);
  free (detector->targets);
  free (detector->remote_reports);
  free (detector);
}

void
ab_detector_set_weight (struct ab_detector *detector, double weight)
{
  weight = fmin (1, fmax (0, weight));
  detector->threshold = THRESHOLD_WEIGHT_0
                        + weight * (THRESHOLD_WEIGHT_1 - THRESHOLD_WEIGHT_0);
  detector->stall_factor
      = STALL_FACTOR_WEIGHT_0
        + weight * (STALL_FACTOR_WEIGHT_1 - STALL_FACTOR_WEIGHT_0);
}

int
ab_detector_add (struct ab_detector *detector, uint32_t hash, uint64_t cold_ms,
                 uint64_t now_ms)
{
  struct ab_detector_target *target;
  size_t at = 0;

  while (at < detector->target_count && detector->targets[at].used)
    at++;
  if (at == AB_DETECTOR_TARGETS_MAX)
    return AB_ERR_FULL;
  if (at == detector->target_count)
    {
      target
          = realloc (detector->targets, (at + 1) * sizeof *detector->targets);
      if (!target)
        return AB_ERR_MEMORY;
      detector->targets = target;
      detector->target_count++;
    }
  detector->targets[at]
      = (struct ab_detector_target){ .used = true,
                                     .hash = hash,
                                     .scored_ms = now_ms,
                                     .cold_until_ms = now_ms + cold_ms };
  return (int)at;
}

void
ab_detector_remove (struct ab_detector *detector, int target)
{
  free (detector->targets[target].in_flight);
  detector->targets[target] = (struct ab_detector_target){ .used = false };
}

void
ab_detector_reset (struct ab_detector *detector, int target,
                   bool recently_ejected, uint64_t cold_ms, uint64_t now_ms)
{
  struct ab_detector_target *at = &detector->targets[target];

  at->latency_score = 0;
  at->error_score = 0;
  at->scored_ms = now_ms;
  at->bad_group_end_ms = 0;
  at->suspect_since_ms = 0;
  at->cold_until_ms = now_ms + cold_ms;
  at->lowered_until_ms = recently_ejected ? now_ms + LOWERED_THRESHOLD_MS : 0;
  at->paths = (struct ab_path_table){ 0 };
  for (size_t i = 0; i < AB_DETECTOR_CLASSES_MAX; i++)
    at->classes[i].samples = 0;
}

int
ab_detector_class (struct ab_detector *detector, struct ab_chunk name)
{
  struct ab_detector_class *at;

  for (size_t i = 0; i < detector->class_count; i++)
    if (ab_chunk_equal (name, ab_chunk_str (detector->classes[i].name)))
      return (int)i;
  if (detector->class_count == AB_DETECTOR_CLASSES_MAX)
    return AB_DETECTOR_CLASSES_MAX - 1;
  at = &detector->classes[detector->class_count];
  if (!ab_chunk_copy (name, at->name, sizeof at->name))
    return AB_DETECTOR_CLASSES_MAX - 1;
  return (int)detector->class_count++;
}

int
ab_detector_start (struct ab_detector *detector, int target, int class_id,
                   uint32_t path, uint64_t now_ms)
{
  struct ab_detector_target *at = &detector->targets[target];
  size_t free_index = 0;

  while (free_index < at->in_flight_size && at->in_flight[free_index].used)
    free_index++;
  if (free_index == AB_DETECTOR_IN_FLIGHT_MAX)
    return AB_ERR_FULL;
  if (free_index == at->in_flight_size)
    {
      struct ab_in_flight *grown
          = realloc (at->in_flight, (free_index + 1) * sizeof *grown);

      if (!grown)
        return AB_ERR_MEMORY;
      at->in_flight = grown;
      at->in_flight_size++;
    }
  at->in_flight[free_index] = (struct ab_in_flight){
    .used = true, .class_id = class_id, .path = path, .start_ms = now_ms
  };
  return (int)free_index;
}

static void
decay_scores (struct ab_detector_target *target, uint64_t now_ms)
{
  double factor;

  if (now_ms <= target->scored_ms)
    return;
  factor = exp (-(double)(now_ms - target->scored_ms) / DECAY_MS);
  target->latency_score *= factor;
  target->error_score *= factor;
  target->scored_ms = now_ms;
}

/* Updates the running medians with LOG_LATENCY, and the baseline of the
   class if LEARN_SHAPE.  */
static void
learn_latency (struct ab_detector *detector, struct ab_detector_target *target,
               int class_id, double log_latency, bool learn_shape,
               uint64_t now_ms)
{
  struct ab_target_class_stats *stats = &target->classes[class_id];
  struct ab_detector_class *class = &detector->classes[class_id];
  double step
      = stats->samples < FIRST_SAMPLES ? MEDIAN_STEP_FIRST : MEDIAN_STEP;

  if (class->samples++ == 0)
    class->median = log_latency;
  if (stats->samples++ == 0)
    stats->median = stats->peers_ms ? stats->peer_median : log_latency;
  if (learn_shape && stats->samples > FIRST_SAMPLES)
    ab_baseline_learn (&class->baseline, log_latency - stats->median);
  stats->median += log_latency > stats->median ? step : -step;
  class->median
      += log_latency > class->median ? MEDIAN_STEP_CLASS : -MEDIAN_STEP_CLASS;
  stats->last_ms = now_ms;
}

static double
latency_llr (struct ab_detector *detector, struct ab_detector_target *target,
             int class_id, double log_latency, uint64_t now_ms)
{
  const struct ab_target_class_stats *stats = &target->classes[class_id];
  double p;

  if (!ab_detector_update_peers (detector, target, class_id, now_ms))
    return 0;
  p = ab_baseline_tail (&detector->classes[class_id].baseline,
                        log_latency - stats->peer_median - stats->tolerance);
  return p >= 1 ? 0 : ab_baseline_llr (p);
}

/* Returns how much an outcome counts as an error, from 0 to 1.  */
static double
error_fraction (enum ab_outcome_kind kind)
{
  switch (kind)
    {
    case AB_OUTCOME_ERROR:
    case AB_OUTCOME_RESET:
    case AB_OUTCOME_REFUSED:
      return 1;
    case AB_OUTCOME_SHED:
      return SHED_WEIGHT;
    default:
      return 0;
    }
}

static double
error_llr (const struct ab_detector_class *class, enum ab_outcome_kind kind)
{
  double normal = ab_baseline_error_rate (&class->baseline);
  double unhealthy = fmin (0.95, fmax (UNHEALTHY_ERROR_RATE_MIN,
                                       UNHEALTHY_TO_NORMAL_RATIO * normal));

  if (unhealthy <= normal)
    return 0;
  if (kind == AB_OUTCOME_RESET || kind == AB_OUTCOME_REFUSED)
    return log (unhealthy / (normal * BROKEN_TO_ERROR_RATIO));
  if (error_fraction (kind) > 0)
    return error_fraction (kind) * log (unhealthy / normal);
  return log ((1 - unhealthy) / (1 - normal));
}

/* Adds LLR to *SCORE within the bounds of a score; DISCOUNT reduces it if the
   request is bad and OVERLAPS another bad one.  */
static void
add_llr (double *score, double llr, bool overlaps, double discount,
         double threshold)
{
  if (llr > threshold * REQUEST_SHARE_MAX)
    llr = threshold * REQUEST_SHARE_MAX;
  if (llr > 0 && overlaps)
    llr *= discount;
  if (llr < 0 && *score > threshold * GOOD_DISCOUNT_FROM)
    llr *= GOOD_DISCOUNT;
  *score = fmin (threshold * SCORE_MAX, fmax (0, *score + llr));
}

/* Returns whether the latency of an outcome is that of the target.  */
static bool
has_latency (enum ab_outcome_kind kind)
{
  return kind == AB_OUTCOME_OK || kind == AB_OUTCOME_TIMEOUT;
}

static double
score_outcome (struct ab_detector *detector, struct ab_detector_target *target,
               const struct ab_in_flight *entry,
               const struct ab_outcome *outcome, uint64_t now_ms)
{
  struct ab_detector_class *class = &detector->classes[entry->class_id];
  double threshold = ab_detector_threshold (detector, target, now_ms);
  bool cold = entry->start_ms < target->cold_until_ms;
  bool looks_healthy
      = ab_detector_score (detector, target, now_ms) < threshold / 4;
  double log_latency = log (fmax (1, (double)outcome->latency_us));
  double slow = 0;
  double error = error_llr (class, outcome->kind);
  bool overlaps = entry->start_ms < target->bad_group_end_ms;

  if (has_latency (outcome->kind) && !cold)
    {
      slow = latency_llr (detector, target, entry->class_id, log_latency,
                          now_ms);
      /* A timeout with a short deadline is no evidence of good health.  */
      if (outcome->kind == AB_OUTCOME_TIMEOUT)
        slow = fmax (0, slow);
      else
        learn_latency (detector, target, entry->class_id, log_latency,
                       looks_healthy, now_ms);
    }
  if (looks_healthy)
    ab_baseline_learn_error (&class->baseline, error_fraction (outcome->kind));
  add_llr (&target->latency_score, slow, overlaps, OVERLAP_LATENCY_FACTOR,
           threshold);
  add_llr (&target->error_score, error, overlaps, OVERLAP_ERROR_FACTOR,
           threshold);
  return slow > 0 || error > 0 ? fmax (slow, error) : slow + error;
}

double
ab_detector_finish (struct ab_detector *detector, int target, int ticket,
                    const struct ab_outcome *outcome, uint64_t now_ms)
{
  struct ab_detector_target *at = &detector->targets[target];
  struct ab_in_flight entry;
  struct ab_path_score *path;
  double llr;

  if (ticket < 0 || (size_t)ticket >= at->in_flight_size
      || !at->in_flight[ticket].used)
    return 0;
  entry = at->in_flight[ticket];
  at->in_flight[ticket].used = false;
  if (outcome->kind == AB_OUTCOME_UNUSED
      || outcome->kind == AB_OUTCOME_CANCELLED)
    return 0;
  at->outcomes++;
  at->classes[entry.class_id].outcomes++;
  if (error_fraction (outcome->kind) >= 1)
    at->classes[entry.class_id].errors++;
  decay_scores (at, now_ms);
  path = ab_path_find (&at->paths, entry.path, now_ms);
  if (now_ms < path->avoid_until_ms && outcome->kind != AB_OUTCOME_OK)
    return 0;
  llr = score_outcome (detector, at, &entry, outcome, now_ms);
  ab_path_add (path, llr, entry.start_ms, now_ms);
  if (llr < 0)
    at->last_good_start_ms = entry.start_ms;
  if (llr > 1)
    {
      at->bad++;
      if (entry.start_ms >= at->bad_group_end_ms)
        at->bad_group_end_ms = now_ms;
    }
  return llr;
}
