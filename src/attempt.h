/* Classification of how one attempt at a request ended.

   It decides whether the request may have run, whether it may be sent again
   and which error its caller gets.  Nothing else in almondbridge derives a
   verdict of an attempt.  No I/O.  */

#ifndef AB_ATTEMPT_H
#define AB_ATTEMPT_H

#include <stdbool.h>

#include "dispatch_task.h"
#include "verdict.h"

enum ab_attempt_end
{
  AB_ATTEMPT_RESPONSE,   /* A complete response.  */
  AB_ATTEMPT_REFUSED,    /* The connection failed.  */
  AB_ATTEMPT_FULL,       /* No connection was free below the bound.  */
  AB_ATTEMPT_LOST,       /* Connection lost before a complete response.  */
  AB_ATTEMPT_MALFORMED,  /* A response that breaks a rule of HTTP, or whose
                            body differs from its announced length.  */
  AB_ATTEMPT_TOO_LARGE,  /* A response above a size limit.  */
  AB_ATTEMPT_TIMEOUT,    /* The deadline passed.  */
  AB_ATTEMPT_CANCELLED,  /* The caller disconnected.  */
  AB_ATTEMPT_UNREACHABLE /* The connection attempt timed out.  */
};

struct ab_attempt
{
  enum ab_attempt_end end;
  bool written; /* Some byte of the request was handed to the kernel.  */
  bool response_started; /* Some byte of a response arrived.  */
  int status;            /* HTTP status of a complete response.  */
  bool shed; /* The response says that the target did not run it.  */
};

/* Error that a caller gets when no response is forwarded.  */
struct ab_failure
{
  int status;
  const char *code;
  const char *message;
};

enum ab_verdict ab_attempt_verdict (const struct ab_attempt *attempt);

/* Returns whether the request may be retried on another target: always when it
   provably did not run; after another failure only when it is idempotent.  A
   complete response that is not a shed, a response that is too large, a passed
   deadline and a cancellation are final.  */
bool ab_attempt_may_retry (const struct ab_attempt *attempt, bool idempotent);

/* Returns whether the target ran the request and answered it with success.  */
bool ab_attempt_succeeded (const struct ab_attempt *attempt);

/* Returns the outcome that is reported to the dispatcher.  */
enum ab_outcome_kind ab_attempt_outcome (const struct ab_attempt *attempt);

/* Returns the name of END in explanations, counters and logs.  */
const char *ab_attempt_name (enum ab_attempt_end end);

/* Returns the error that a caller gets after an attempt without a usable
   response.  */
struct ab_failure ab_attempt_failure (const struct ab_attempt *attempt);

#endif
