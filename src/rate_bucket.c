#include "rate_bucket.h"

#include "rate_limit.h"

/* The bucket holds what the limit allows in this time, and at least one token.
   The limit binds the whole fleet, so that unused requests of one moment are
   not saved up for a burst.  */
#define BURST_MS 100
/* A limit of 1 request per 1000 s gives one token in this time.  */
#define TOKEN_MS 1000000.0

static double
capacity (const struct ab_rate_bucket *bucket)
{
  double tokens = BURST_MS * (double)bucket->per_1000_s / TOKEN_MS;

  return tokens > 1 ? tokens : 1;
}

double
ab_rate_bucket_tokens (const struct ab_rate_bucket *bucket, uint64_t now_ms)
{
  double tokens = bucket->tokens
                  + (double)(now_ms - bucket->updated_ms)
                        * (double)bucket->per_1000_s / TOKEN_MS;

  return tokens < capacity (bucket) ? tokens : capacity (bucket);
}

void
ab_rate_bucket_set (struct ab_rate_bucket *bucket, uint64_t per_1000_s,
                    uint64_t now_ms)
{
  if (bucket->per_1000_s == per_1000_s)
    return;
  if (bucket->per_1000_s == AB_RATE_LIMIT_NONE)
    {
      bucket->tokens = 0;
      bucket->taken_ms = now_ms;
    }
  else
    bucket->tokens = ab_rate_bucket_tokens (bucket, now_ms);
  bucket->per_1000_s = per_1000_s;
  bucket->updated_ms = now_ms;
}

bool
ab_rate_bucket_has_token (const struct ab_rate_bucket *bucket,
                          uint64_t divisor, uint64_t now_ms)
{
  if (bucket->per_1000_s == AB_RATE_LIMIT_NONE)
    return true;
  if (ab_rate_bucket_tokens (bucket, now_ms) < 1)
    return false;
  return divisor <= 1
         || (double)(now_ms - bucket->taken_ms) * (double)bucket->per_1000_s
                >= (double)divisor * TOKEN_MS;
}

void
ab_rate_bucket_take (struct ab_rate_bucket *bucket, uint64_t now_ms)
{
  if (bucket->per_1000_s == AB_RATE_LIMIT_NONE)
    return;
  bucket->tokens = ab_rate_bucket_tokens (bucket, now_ms) - 1;
  bucket->updated_ms = now_ms;
  bucket->taken_ms = now_ms;
}
