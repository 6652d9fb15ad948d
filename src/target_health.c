#include "target_health.h"

/* A sick target is left alone for this long after its first failure, twice as
   long after each further one, at most OUT_MAX_MS.  */
#define OUT_MS 500
#define OUT_MAX_MS 1600
/* Of a target that cannot be connected to.  */
#define OUT_REFUSED_MS 1000
/* The address has another incarnation; its announcement is under way.  */
#define OUT_REPLACED_MS 2000
/* While a request is stuck.  */
#define OUT_STUCK_MS 400
/* Successes in a row that make a sick target trusted again; a suspect needs
   one.  */
#define SUCCESSES_TO_RECOVER 2
#define SUCCESSES_OF_SUSPECT 1
/* A target that succeeded this recently has just worked.  */
#define JUST_WORKED_MS 1500
/* A shed response says that the slots are in use for about one request.  */
#define BUSY_MS 60
/* Sheds in a row after which a target counts as sick.  Targets that shed a
   part of their requests are still of use: what they reject has not run.  */
#define SHEDS_MAX 6
/* A success proves a target for this long.  */
#define PROVEN_MS 8000
#define LATENCY_WEIGHT 0.2
#define SHED_WEIGHT 0.15

static void
fail (struct ab_target_health *health, uint64_t out_ms, uint64_t now_ms)
{
  health->sick = true;
  health->proven = false;
  health->successes = 0;
  health->needed = SUCCESSES_TO_RECOVER;
  health->failures++;
  if (now_ms + out_ms > health->out_until_ms)
    health->out_until_ms = now_ms + out_ms;
}

/* A failure that may be one of the few of a healthy target.  */
static bool
may_be_chance (const struct ab_target_health *health, uint64_t now_ms)
{
  return health->proven && now_ms - health->ok_ms <= JUST_WORKED_MS;
}

static void
suspect (struct ab_target_health *health)
{
  health->sick = true;
  health->proven = false;
  health->successes = 0;
  health->needed = SUCCESSES_OF_SUSPECT;
  health->failures++;
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
succeed (struct ab_target_health *health, uint64_t latency_ms, uint64_t now_ms)
{
  double latency = (double)latency_ms;

  health->latency_ms
      = health->latency_ms > 0
            ? health->latency_ms
                  + LATENCY_WEIGHT * (latency - health->latency_ms)
            : latency;
  health->ok_ms = now_ms;
  health->successes++;
  health->sheds = 0;
  health->shed_rate *= 1 - SHED_WEIGHT;
  if (!health->sick || health->successes >= health->needed)
    {
      health->sick = false;
      health->proven = true;
      health->failures = 0;
    }
}

void
ab_target_health_note (struct ab_target_health *health,
                       enum ab_target_event event, uint64_t latency_ms,
                       uint64_t now_ms)
{
  switch (event)
    {
    case AB_TARGET_OK:
      succeed (health, latency_ms, now_ms);
      break;
    case AB_TARGET_ERROR:
    case AB_TARGET_LOST:
      if (may_be_chance (health, now_ms))
        suspect (health);
      else
        fail (health, out_ms (health), now_ms);
      break;
    case AB_TARGET_TIMEOUT:
      fail (health, out_ms (health), now_ms);
      break;
    case AB_TARGET_REFUSED:
    case AB_TARGET_UNREACHABLE:
      fail (health, OUT_REFUSED_MS, now_ms);
      break;
    case AB_TARGET_REPLACED:
      fail (health, OUT_REPLACED_MS, now_ms);
      break;
    case AB_TARGET_SHED:
      health->busy_until_ms = now_ms + BUSY_MS;
      health->shed_rate += SHED_WEIGHT * (1 - health->shed_rate);
      if (++health->sheds >= SHEDS_MAX)
        {
          health->sheds = 0;
          fail (health, out_ms (health), now_ms);
        }
      break;
    case AB_TARGET_UNUSED:
      break;
    }
}

void
ab_target_health_note_stuck (struct ab_target_health *health, uint64_t now_ms)
{
  health->proven = false;
  health->successes = 0;
  health->needed = SUCCESSES_OF_SUSPECT;
  health->sick = true;
  if (now_ms + OUT_STUCK_MS > health->out_until_ms)
    health->out_until_ms = now_ms + OUT_STUCK_MS;
}

enum ab_target_trust
ab_target_health_trust (const struct ab_target_health *health, uint64_t now_ms)
{
  if (now_ms < health->out_until_ms)
    return AB_TRUST_OUT;
  if (health->sick)
    return AB_TRUST_TRIAL;
  if (health->proven && now_ms - health->ok_ms <= PROVEN_MS)
    return AB_TRUST_PROVEN;
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
