#include "attempt.h"

#define STATUS_SUCCESS_END 300

enum ab_verdict
ab_attempt_verdict (const struct ab_attempt *attempt)
{
  switch (attempt->end)
    {
    case AB_ATTEMPT_RESPONSE:
      return attempt->shed ? AB_VERDICT_NOT_RUN : AB_VERDICT_RAN;
    case AB_ATTEMPT_REFUSED:
    case AB_ATTEMPT_FULL:
    case AB_ATTEMPT_UNREACHABLE:
      return AB_VERDICT_NOT_RUN;
    case AB_ATTEMPT_LOST:
    case AB_ATTEMPT_MALFORMED:
    case AB_ATTEMPT_TOO_LARGE:
    case AB_ATTEMPT_TIMEOUT:
    case AB_ATTEMPT_CANCELLED:
      break;
    }
  /* The connection is closed by now, so bytes that were not handed to the
     kernel never will be.  */
  return attempt->written ? AB_VERDICT_MAY_HAVE_RUN : AB_VERDICT_NOT_RUN;
}

bool
ab_attempt_may_retry (const struct ab_attempt *attempt, bool idempotent)
{
  switch (attempt->end)
    {
    case AB_ATTEMPT_RESPONSE:
      return attempt->shed;
    case AB_ATTEMPT_TIMEOUT:
    case AB_ATTEMPT_CANCELLED:
    case AB_ATTEMPT_TOO_LARGE:
      return false;
    case AB_ATTEMPT_REFUSED:
    case AB_ATTEMPT_FULL:
    case AB_ATTEMPT_LOST:
    case AB_ATTEMPT_MALFORMED:
    case AB_ATTEMPT_UNREACHABLE:
      break;
    }
  return idempotent || ab_attempt_verdict (attempt) == AB_VERDICT_NOT_RUN;
}

bool
ab_attempt_succeeded (const struct ab_attempt *attempt)
{
  return attempt->end == AB_ATTEMPT_RESPONSE && !attempt->shed
         && attempt->status < STATUS_SUCCESS_END;
}

enum ab_outcome_kind
ab_attempt_outcome (const struct ab_attempt *attempt)
{
  switch (attempt->end)
    {
    case AB_ATTEMPT_RESPONSE:
      if (attempt->shed)
        return AB_OUTCOME_SHED;
      return attempt->status >= 500 ? AB_OUTCOME_ERROR : AB_OUTCOME_OK;
    case AB_ATTEMPT_REFUSED:
    case AB_ATTEMPT_UNREACHABLE:
      return AB_OUTCOME_REFUSED;
    case AB_ATTEMPT_FULL:
      return AB_OUTCOME_UNUSED;
    case AB_ATTEMPT_LOST:
      return AB_OUTCOME_RESET;
    case AB_ATTEMPT_MALFORMED:
    case AB_ATTEMPT_TOO_LARGE:
      return AB_OUTCOME_ERROR;
    case AB_ATTEMPT_TIMEOUT:
      return AB_OUTCOME_TIMEOUT;
    case AB_ATTEMPT_CANCELLED:
      break;
    }
  return AB_OUTCOME_CANCELLED;
}

const char *
ab_attempt_name (enum ab_attempt_end end)
{
  static const char *const names[]
      = { "response",  "refused", "full",      "lost",       "malformed",
          "too-large", "timeout", "cancelled", "unreachable" };

  return names[end];
}

struct ab_failure
ab_attempt_failure (const struct ab_attempt *attempt)
{
  switch (attempt->end)
    {
    case AB_ATTEMPT_RESPONSE:
      return (struct ab_failure){ 503, "target-shed",
                                  "the target refused the request for load" };
    case AB_ATTEMPT_REFUSED:
    case AB_ATTEMPT_UNREACHABLE:
      return (struct ab_failure){ 502, "target-refused",
                                  "the target could not be connected to" };
    case AB_ATTEMPT_FULL:
      return (struct ab_failure){ 503, "target-connections",
                                  "no connection to the target was free" };
    case AB_ATTEMPT_LOST:
      return (struct ab_failure){
        502, "target-lost", "the target closed before a whole response"
      };
    case AB_ATTEMPT_MALFORMED:
      return (struct ab_failure){ 502, "target-response",
                                  "the target's response was malformed" };
    case AB_ATTEMPT_TOO_LARGE:
      return (struct ab_failure){ 502, "target-response-size",
                                  "the target's response was too large" };
    case AB_ATTEMPT_TIMEOUT:
      return (struct ab_failure){ 504, "deadline",
                                  "the deadline passed at the target" };
    case AB_ATTEMPT_CANCELLED:
      break;
    }
  return (struct ab_failure){ 499, "cancelled", "the caller went away" };
}
