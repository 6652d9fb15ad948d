#include "target_health.h"

#include <math.h>

/* Share of gray targets in a fleet with gray failures, and the time constant
   with which the weight of an outcome decays.  */
#define GRAY_SHARE 0.25
#define EVIDENCE_DECAY_MS 7000.0
/* Likelihood ratios: how much more likely an outcome is at a gray target than
   at a healthy one.  */
#define RATIO_OK 0.2
/* For a request that outlasts a quick failure; not lower, because gray targets
   that do not fail at once hang.  */
#define RATIO_PROGRESS 0.35
/* For an overdue request: some gray targets slow down so far that requests end
   too late.  */
#define RATIO_OVERDUE 5.0
#define RATIO_SLOW_FAILURE 6.0
#define RATIO_QUICK_FAILURE 250.0
#define RATIO_LOST 20.0
#define RATIO_TIMEOUT 50.0
/* Bounds of the probability, so that a target that recovers is healthy again
   after about three successes.  */
#define GRAY_PROBABILITY_MIN 0.002
#define GRAY_PROBABILITY_MAX 0.93
/* A failure within this fraction of the typical latency is a quick one.  */
#define QUICK_FAILURE_FRACTION 0.2
/* Up to this probability a target is healthy.  */
#define HEALTHY_RISK 0.12
/* A request in flight does not lower the probability below this.  */
#define PROGRESS_RISK 0.06
/* A failure that raises the probability above this ejects the target, for
   twice as long after each further failure.  */
#define EJECTION_RISK 0.45
#define EJECTION_MS 500
#define EJECTION_MAX_MS 1600
/* Ejection of a target that cannot be connected to.  */
#define EJECTION_REFUSED_MS 1000
/* Ejection when another incarnation has the address, until its announcement
   arrives.  */
#define EJECTION_REPLACED_MS 2000
/* Ejection while a request is stalled.  */
#define EJECTION_STALLED_MS 400
/* A failure makes a target suspect for this long.  */
#define SUSPICION_MS 8000
/* After a shed response the slots are assumed to be in use for about one
   request.  */
#define BUSY_MS 60
/* Shed responses in a row that count as a failure.  Targets that shed a part
   of their requests are still usable: what they reject has not run.  */
#define SHEDS_MAX 6
#define LATENCY_WEIGHT 0.2
#define SHED_WEIGHT 0.15

double
ab_target_health_risk (const struct ab_target_health *health, uint64_t now_ms)
{
  double age;

  if (!health->updated_ms)
    return GRAY_SHARE;
  age = now_ms > health->updated_ms ? (double)(now_ms - health->updated_ms)
                                    : 0;
  return GRAY_SHARE
         + (health->gray_probability - GRAY_SHARE)
               * exp (-age / EVIDENCE_DECAY_MS);
}

static void
apply_evidence (struct ab_target_health *health, double ratio, uint64_t now_ms)
{
  double risk = ab_target_health_risk (health, now_ms);

  ratio *= risk / (1 - risk);
  risk = ratio / (1 + ratio);
  health->gray_probability = risk < GRAY_PROBABILITY_MIN ? GRAY_PROBABILITY_MIN
                             : risk > GRAY_PROBABILITY_MAX
                                 ? GRAY_PROBABILITY_MAX
                                 : risk;
  health->updated_ms = now_ms;
}

static void
eject (struct ab_target_health *health, enum ab_target_event event,
       uint64_t ejection_ms, uint64_t now_ms)
{
  if (now_ms + ejection_ms <= health->ejected_until_ms)
    return;
  health->ejected_until_ms = now_ms + ejection_ms;
  health->ejected_by = event;
}

static uint64_t
ejection_ms (const struct ab_target_health *health)
{
  uint64_t duration_ms = EJECTION_MS;

  for (unsigned i = 1; i < health->failures && duration_ms < EJECTION_MAX_MS;
       i++)
    duration_ms *= 2;
  return duration_ms < EJECTION_MAX_MS ? duration_ms : EJECTION_MAX_MS;
}

static void
record_failure (struct ab_target_health *health, enum ab_target_event event,
                double ratio, uint64_t now_ms)
{
  apply_evidence (health, ratio, now_ms);
  health->failures++;
  health->failed_ms = now_ms;
  if (health->gray_probability > EJECTION_RISK)
    eject (health, event, ejection_ms (health), now_ms);
}

static void
record_latency (struct ab_target_health *health, uint64_t latency_ms)
{
  double latency = (double)latency_ms;

  health->latency_ms
      = health->latency_ms > 0
            ? health->latency_ms
                  + LATENCY_WEIGHT * (latency - health->latency_ms)
            : latency;
}

static void
record_success (struct ab_target_health *health, uint64_t latency_ms,
                uint64_t now_ms)
{
  apply_evidence (health, RATIO_OK, now_ms);
  record_latency (health, latency_ms);
  health->consecutive_sheds = 0;
  health->shed_rate *= 1 - SHED_WEIGHT;
  if (health->gray_probability <= HEALTHY_RISK)
    health->failures = 0;
}

static void
record_shed (struct ab_target_health *health, uint64_t now_ms)
{
  health->busy_until_ms = now_ms + BUSY_MS;
  health->shed_rate += SHED_WEIGHT * (1 - health->shed_rate);
  if (++health->consecutive_sheds < SHEDS_MAX)
    return;
  health->consecutive_sheds = 0;
  record_failure (health, AB_TARGET_SHED, RATIO_LOST, now_ms);
  eject (health, AB_TARGET_SHED, ejection_ms (health), now_ms);
}

void
ab_target_health_record (struct ab_target_health *health,
                         enum ab_target_event event, uint64_t latency_ms,
                         double typical_ms, uint64_t now_ms)
{
  bool quick
      = !ab_target_health_outlasts_quick_failure (latency_ms, typical_ms);

  switch (event)
    {
    case AB_TARGET_OK:
      record_success (health, latency_ms, now_ms);
      break;
    case AB_TARGET_ERROR:
      record_failure (health, event,
                      quick ? RATIO_QUICK_FAILURE : RATIO_SLOW_FAILURE,
                      now_ms);
      break;
    case AB_TARGET_LOST:
      record_failure (health, event, RATIO_LOST, now_ms);
      break;
    case AB_TARGET_TIMEOUT:
      record_latency (health, latency_ms);
      record_failure (health, event, RATIO_TIMEOUT, now_ms);
      eject (health, event, EJECTION_MS, now_ms);
      break;
    case AB_TARGET_REFUSED:
    case AB_TARGET_UNREACHABLE:
      record_failure (health, event, RATIO_TIMEOUT, now_ms);
      eject (health, event, EJECTION_REFUSED_MS, now_ms);
      break;
    case AB_TARGET_REPLACED:
      record_failure (health, event, RATIO_TIMEOUT, now_ms);
      eject (health, event, EJECTION_REPLACED_MS, now_ms);
      break;
    case AB_TARGET_SHED:
      record_shed (health, now_ms);
      break;
    case AB_TARGET_UNUSED:
    case AB_TARGET_LEAVING:
    case AB_TARGET_PAUSED:
    case AB_TARGET_EVENTS:
      break;
    }
}

bool
ab_target_health_outlasts_quick_failure (uint64_t age_ms, double typical_ms)
{
  return (double)age_ms >= QUICK_FAILURE_FRACTION * typical_ms;
}

void
ab_target_health_record_progress (struct ab_target_health *health,
                                  uint64_t now_ms)
{
  if (ab_target_health_risk (health, now_ms) <= PROGRESS_RISK)
    return;
  apply_evidence (health, RATIO_PROGRESS, now_ms);
  if (health->gray_probability < PROGRESS_RISK)
    health->gray_probability = PROGRESS_RISK;
}

void
ab_target_health_record_overdue (struct ab_target_health *health,
                                 uint64_t now_ms)
{
  apply_evidence (health, RATIO_OVERDUE, now_ms);
}

void
ab_target_health_record_stalled (struct ab_target_health *health,
                                 uint64_t now_ms)
{
  if (now_ms >= health->ejected_until_ms)
    record_failure (health, AB_TARGET_TIMEOUT, RATIO_SLOW_FAILURE, now_ms);
  eject (health, AB_TARGET_TIMEOUT, EJECTION_STALLED_MS, now_ms);
}

enum ab_target_health_state
ab_target_health_state (const struct ab_target_health *health, uint64_t now_ms)
{
  if (now_ms < health->ejected_until_ms)
    return AB_TARGET_EJECTED;
  if (ab_target_health_risk (health, now_ms) <= HEALTHY_RISK)
    return AB_TARGET_HEALTHY;
  if (health->failures > 0 && now_ms - health->failed_ms < SUSPICION_MS)
    return AB_TARGET_SUSPECT;
  return AB_TARGET_UNTESTED;
}

const char *
ab_target_event_name (enum ab_target_event event)
{
  static const char *const names[]
      = { "ok",   "error",    "lost",   "refused", "unreachable", "timeout",
          "shed", "replaced", "unused", "leaving", "paused" };

  return names[event];
}

const char *
ab_target_health_state_name (enum ab_target_health_state state)
{
  static const char *const names[] = { "proven", "new", "trial", "out" };

  return names[state];
}
