#include "target_health.h"

#include <math.h>

/* Share of targets that are gray in a fleet with gray failures, and the time
   after which an outcome says little about a target any more.  */
#define GRAY_SHARE 0.25
#define TURN_MS 7000.0
/* How much more likely an outcome is at a gray target than at a healthy
   one.  */
#define ODDS_OK 0.2
/* Gray targets that do not fail at once hang.  */
#define ODDS_WORKING 0.35
/* Some slow down so far that requests end too late.  */
#define ODDS_LATE 5.0
#define ODDS_SLOW_FAILURE 6.0
#define ODDS_QUICK_FAILURE 250.0
#define ODDS_LOST 20.0
#define ODDS_TIMEOUT 50.0
/* Bounds of the probability: a target that recovers is trusted again after
   about three successes.  */
#define GRAY_MIN 0.002
#define GRAY_MAX 0.93
/* A failure within this part of the usual time is a quick one.  */
#define QUICK_SHARE 0.2
/* Up to this probability a target is trusted.  */
#define PROVEN_RISK 0.12
/* A request under way makes a target no surer than this.  */
#define WORKING_RISK 0.06
/* A failure that makes it more likely than this takes the target out for a
   while, twice as long after each further one.  */
#define OUT_RISK 0.45
#define OUT_MS 500
#define OUT_MAX_MS 1600
/* Of a target that cannot be connected to.  */
#define OUT_REFUSED_MS 1000
/* The address has another incarnation; its announcement is under way.  */
#define OUT_REPLACED_MS 2000
/* While a request is stuck.  */
#define OUT_STUCK_MS 400
/* A failure is held against a target for this long.  */
#define FAILURE_MS 8000
/* A shed response says that the slots are in use for about one request.  */
#define BUSY_MS 60
/* Sheds in a row after which a target counts as sick.  Targets that shed a
   part of their requests are still of use: what they reject has not run.  */
#define SHEDS_MAX 6
#define LATENCY_WEIGHT 0.2
#define SHED_WEIGHT 0.15

double
ab_target_health_risk (const struct ab_target_health *health, uint64_t now_ms)
{
  double age;

  if (!health->noted_ms)
    return GRAY_SHARE;
  age = now_ms > health->noted_ms ? (double)(now_ms - health->noted_ms) : 0;
  return GRAY_SHARE + (health->gray - GRAY_SHARE) * exp (-age / TURN_MS);
}

static void
weigh (struct ab_target_health *health, double odds, uint64_t now_ms)
{
  double risk = ab_target_health_risk (health, now_ms);

  odds *= risk / (1 - risk);
  risk = odds / (1 + odds);
  health->gray = risk < GRAY_MIN   ? GRAY_MIN
                 : risk > GRAY_MAX ? GRAY_MAX
                                   : risk;
  health->noted_ms = now_ms;
}

static void
leave_out (struct ab_target_health *health, uint64_t out_ms, uint64_t now_ms)
{
  if (now_ms + out_ms > health->out_until_ms)
    health->out_until_ms = now_ms + out_ms;
}

static uint64_t
out_ms (const struct ab_target_health *health)
{
  uint64_t time = OUT_MS;

  for (unsigned i = 1; i < health->failures && time < OUT_MAX_MS; i++)
    time *= 2;
  return time < OUT_MAX_MS ? time : OUT_MAX_MS;
}

static void
fail (struct ab_target_health *health, double odds, uint64_t now_ms)
{
  weigh (health, odds, now_ms);
  health->failures++;
  health->failed_ms = now_ms;
  if (health->gray > OUT_RISK)
    leave_out (health, out_ms (health), now_ms);
}

static void
note_latency (struct ab_target_health *health, uint64_t latency_ms)
{
  double latency = (double)latency_ms;

  health->latency_ms
      = health->latency_ms > 0
            ? health->latency_ms
                  + LATENCY_WEIGHT * (latency - health->latency_ms)
            : latency;
}

static void
succeed (struct ab_target_health *health, uint64_t latency_ms, uint64_t now_ms)
{
  weigh (health, ODDS_OK, now_ms);
  note_latency (health, latency_ms);
  health->sheds = 0;
  health->shed_rate *= 1 - SHED_WEIGHT;
  if (health->gray <= PROVEN_RISK)
    health->failures = 0;
}

static void
shed (struct ab_target_health *health, uint64_t now_ms)
{
  health->busy_until_ms = now_ms + BUSY_MS;
  health->shed_rate += SHED_WEIGHT * (1 - health->shed_rate);
  if (++health->sheds < SHEDS_MAX)
    return;
  health->sheds = 0;
  fail (health, ODDS_LOST, now_ms);
  leave_out (health, out_ms (health), now_ms);
}

void
ab_target_health_note (struct ab_target_health *health,
                       enum ab_target_event event, uint64_t latency_ms,
                       double usual_ms, uint64_t now_ms)
{
  bool quick = !ab_target_health_outlasted (latency_ms, usual_ms);

  switch (event)
    {
    case AB_TARGET_OK:
      succeed (health, latency_ms, now_ms);
      break;
    case AB_TARGET_ERROR:
      fail (health, quick ? ODDS_QUICK_FAILURE : ODDS_SLOW_FAILURE, now_ms);
      break;
    case AB_TARGET_LOST:
      fail (health, ODDS_LOST, now_ms);
      break;
    case AB_TARGET_TIMEOUT:
      note_latency (health, latency_ms);
      fail (health, ODDS_TIMEOUT, now_ms);
      leave_out (health, OUT_MS, now_ms);
      break;
    case AB_TARGET_REFUSED:
    case AB_TARGET_UNREACHABLE:
      fail (health, ODDS_TIMEOUT, now_ms);
      leave_out (health, OUT_REFUSED_MS, now_ms);
      break;
    case AB_TARGET_REPLACED:
      fail (health, ODDS_TIMEOUT, now_ms);
      leave_out (health, OUT_REPLACED_MS, now_ms);
      break;
    case AB_TARGET_SHED:
      shed (health, now_ms);
      break;
    case AB_TARGET_UNUSED:
      break;
    }
}

bool
ab_target_health_outlasted (uint64_t age_ms, double usual_ms)
{
  return (double)age_ms >= QUICK_SHARE * usual_ms;
}

void
ab_target_health_note_working (struct ab_target_health *health,
                               uint64_t now_ms)
{
  if (ab_target_health_risk (health, now_ms) <= WORKING_RISK)
    return;
  weigh (health, ODDS_WORKING, now_ms);
  if (health->gray < WORKING_RISK)
    health->gray = WORKING_RISK;
}

void
ab_target_health_note_late (struct ab_target_health *health, uint64_t now_ms)
{
  weigh (health, ODDS_LATE, now_ms);
}

void
ab_target_health_note_stuck (struct ab_target_health *health, uint64_t now_ms)
{
  if (now_ms >= health->out_until_ms)
    fail (health, ODDS_SLOW_FAILURE, now_ms);
  leave_out (health, OUT_STUCK_MS, now_ms);
}

enum ab_target_trust
ab_target_health_trust (const struct ab_target_health *health, uint64_t now_ms)
{
  if (now_ms < health->out_until_ms)
    return AB_TRUST_OUT;
  if (ab_target_health_risk (health, now_ms) <= PROVEN_RISK)
    return AB_TRUST_PROVEN;
  if (health->failures > 0 && now_ms - health->failed_ms < FAILURE_MS)
    return AB_TRUST_TRIAL;
  return AB_TRUST_NEW;
}

const char *
ab_target_event_name (enum ab_target_event event)
{
  static const char *const names[]
      = { "ok",      "error", "lost",     "refused", "unreachable",
          "timeout", "shed",  "replaced", "unused" };

  return names[event];
}

const char *
ab_target_trust_name (enum ab_target_trust trust)
{
  static const char *const names[] = { "proven", "new", "trial", "out" };

  return names[trust];
}
