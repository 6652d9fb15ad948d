/* Token bucket that keeps the requests to a target below the rate limit that
   it names (rate_limit.h).  Each granted request takes a token.  No I/O: the
   caller passes the time.  */

#ifndef AB_RATE_BUCKET_H
#define AB_RATE_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

/* All zero: no limit.  */
struct ab_rate_bucket
{
  uint64_t per_1000_s; /* AB_RATE_LIMIT_NONE: no limit.  */
  double tokens;       /* At UPDATED_MS.  */
  uint64_t updated_ms;
  uint64_t taken_ms; /* When a token was last taken, or the limit was set.  */
};

/* Sets the limit.  A bucket that had none starts empty: other hosts may have
   sent requests just before this one learned of the limit.  */
void ab_rate_bucket_set (struct ab_rate_bucket *bucket, uint64_t per_1000_s,
                         uint64_t now_ms);
/* Returns the tokens in the bucket; of no meaning without a limit.  */
double ab_rate_bucket_tokens (const struct ab_rate_bucket *bucket,
                              uint64_t now_ms);
/* Returns whether a request may be granted by a host that may use the fraction
   1/DIVISOR of the limit.  */
bool ab_rate_bucket_has_token (const struct ab_rate_bucket *bucket,
                               uint64_t divisor, uint64_t now_ms);
void ab_rate_bucket_take (struct ab_rate_bucket *bucket, uint64_t now_ms);

#endif
