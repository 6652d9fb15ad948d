#include "token_bucket.h"

#include <math.h>

/* Sums of fractions round below a whole token.  */
#define ROUNDING 1e-9

void
ab_token_bucket_refill (struct ab_token_bucket *bucket, uint64_t now_ms)
{
  if (now_ms <= bucket->updated_ms)
    return;
  bucket->tokens = fmin (
      bucket->capacity,
      bucket->tokens
          + bucket->rate * (double)(now_ms - bucket->updated_ms) / 1000);
  bucket->updated_ms = now_ms;
}

void
ab_token_bucket_set (struct ab_token_bucket *bucket, double rate,
                     double capacity, uint64_t now_ms)
{
  ab_token_bucket_refill (bucket, now_ms);
  bucket->rate = rate;
  bucket->capacity = capacity;
  bucket->tokens = fmin (bucket->tokens, capacity);
}

uint64_t
ab_token_bucket_take (struct ab_token_bucket *bucket, uint64_t count,
                      uint64_t now_ms)
{
  uint64_t taken;

  ab_token_bucket_refill (bucket, now_ms);
  taken = (uint64_t)fmax (0, floor (bucket->tokens + ROUNDING));
  if (taken > count)
    taken = count;
  bucket->tokens -= (double)taken;
  return taken;
}

void
ab_token_bucket_credit (struct ab_token_bucket *bucket, uint64_t count,
                        uint64_t now_ms)
{
  ab_token_bucket_refill (bucket, now_ms);
  bucket->tokens = fmin (bucket->capacity, bucket->tokens + (double)count);
}

uint64_t
ab_token_bucket_wait_ms (const struct ab_token_bucket *bucket, uint64_t max_ms)
{
  double lacking = 1 - bucket->tokens;

  if (lacking <= 0)
    return 0;
  if (bucket->rate <= 0 || bucket->capacity < 1)
    return max_ms;
  return (uint64_t)fmin ((double)max_ms, ceil (lacking / bucket->rate * 1000));
}
