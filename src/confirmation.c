#include "confirmation.h"

void
ab_confirmation_advance (struct ab_confirmation *confirmation, uint64_t at_ms)
{
  if (at_ms > confirmation->at_ms)
    confirmation->at_ms = at_ms;
}

bool
ab_confirmation_echoed (struct ab_confirmation *confirmation,
                        uint64_t since_ms, uint64_t now_ms, uint64_t echo_ms,
                        uint64_t age_ms)
{
  uint64_t before = confirmation->at_ms;

  if (echo_ms < since_ms || echo_ms > now_ms || age_ms >= echo_ms)
    return false;
  ab_confirmation_advance (confirmation, echo_ms - age_ms);
  return confirmation->at_ms > before;
}

uint64_t
ab_confirmation_age_ms (const struct ab_confirmation *confirmation,
                        uint64_t now_ms)
{
  if (confirmation->at_ms == 0)
    return UINT64_MAX;
  return now_ms > confirmation->at_ms ? now_ms - confirmation->at_ms : 0;
}

bool
ab_confirmation_expired (uint64_t age_ms, uint64_t lifetime_ms)
{
  return lifetime_ms > 0
         && (double)age_ms > AB_CONFIRMATION_SHARE * (double)lifetime_ms;
}
