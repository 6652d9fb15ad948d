/* What one attempt at a request proves.

   An attempt ends in one of a few ways; whether the request may have run,
   whether it may be sent again and what its caller is told follow from that
   end alone.  Nothing else in almondbridge derives a verdict of an
   attempt.  */

#ifndef AB_ATTEMPT_H
#define AB_ATTEMPT_H

#include <stdbool.h>

#include "dispatch_task.h"
#include "verdict.h"

enum ab_attempt_end
{
  AB_ATTEMPT_RESPONSE,   /* A whole response.  */
  AB_ATTEMPT_REFUSED,    /* No connection.  */
  AB_ATTEMPT_FULL,       /* No connection was free below the bound.  */
  AB_ATTEMPT_LOST,       /* Connection lost before a whole response.  */
  AB_ATTEMPT_MALFORMED,  /* A response that breaks a rule of HTTP, or whose
                            body differs from its announced length.  */
  AB_ATTEMPT_TOO_LARGE,  /* A response over the bound.  */
  AB_ATTEMPT_TIMEOUT,    /* The deadline passed.  */
  AB_ATTEMPT_CANCELLED,  /* The caller went away.  */
  AB_ATTEMPT_UNREACHABLE /* No answer to the connection attempt.  */
};

struct ab_attempt
{
  enum ab_attempt_end end;
  bool written;  /* Some byte of the request was handed to the kernel.  */
  bool answered; /* Some byte of a response came.  */
  int status;    /* Of a whole response.  */
  bool shed;     /* The response says that the target did not run it.  */
};

/* What the caller is told when no response is passed on.  */
struct ab_failure
{
  int status;
  const char *code;
  const char *message;
};

enum ab_verdict ab_attempt_verdict (const struct ab_attempt *attempt);

/* Whether the request may go to another target: always after a provable
   failure; after any other one only when it is idempotent.  A whole response
   that is not shed, a passed deadline and a cancellation are final.  */
bool ab_attempt_may_repeat (const struct ab_attempt *attempt, bool idempotent);

/* For the dispatcher.  */
enum ab_outcome_kind ab_attempt_outcome (const struct ab_attempt *attempt);

/* How the end is called in explanations and counters.  */
const char *ab_attempt_name (enum ab_attempt_end end);

/* What a caller is told after an attempt without a usable response.  */
struct ab_failure ab_attempt_failure (const struct ab_attempt *attempt);

#endif
