/* Token bucket with a rate and a capacity that may change.

   A change never adds a token: a higher capacity is filled at the rate, a
   lower one removes the excess.  Rates are tokens per second, times are
   milliseconds of a monotonic clock.  No I/O.  */

#ifndef AB_TOKEN_BUCKET_H
#define AB_TOKEN_BUCKET_H

#include <stdint.h>

/* All zero: an empty bucket that does not fill.  */
struct ab_token_bucket
{
  double rate;
  double capacity;
  double tokens; /* At UPDATED_MS.  */
  uint64_t updated_ms;
};

/* Adds what the bucket has earned until NOW_MS.  A time before the last one
   changes nothing.  */
void ab_token_bucket_refill (struct ab_token_bucket *bucket, uint64_t now_ms);

/* Changes the rate and the capacity at NOW_MS.  */
void ab_token_bucket_set (struct ab_token_bucket *bucket, double rate,
                          double capacity, uint64_t now_ms);

/* Takes up to COUNT whole tokens and returns their number.  */
uint64_t ab_token_bucket_take (struct ab_token_bucket *bucket, uint64_t count,
                               uint64_t now_ms);

/* Puts COUNT tokens back, as far as the capacity allows.  */
void ab_token_bucket_credit (struct ab_token_bucket *bucket, uint64_t count,
                             uint64_t now_ms);

/* Returns the time until the bucket has a whole token, at most MAX_MS.  */
uint64_t ab_token_bucket_wait_ms (const struct ab_token_bucket *bucket,
                                  uint64_t max_ms);

#endif
