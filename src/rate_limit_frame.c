#include "rate_limit_frame.h"

#include "error.h"
#include "pack.h"

#define FIELDS 4

void
ab_rate_limit_pack (struct ab_buf *out, const struct ab_rate_limit *limit)
{
  ab_pack_array (out, FIELDS);
  ab_pack_bytes (out, ab_chunk_str (limit->target));
  ab_pack_u64 (out, limit->started_ms);
  ab_pack_u64 (out, limit->per_1000_s);
  ab_pack_u64 (out, limit->age_ms);
}

int
ab_rate_limit_read (struct ab_chunk body, struct ab_rate_limit *limit)
{
  struct ab_reader reader;
  int rc = ab_reader_init (&reader, body);

  if (rc < 0)
    return rc;
  memset (limit, 0, sizeof *limit);
  ab_reader_enter (&reader, FIELDS);
  ab_reader_str (&reader, limit->target, sizeof limit->target);
  limit->started_ms = ab_reader_u64 (&reader);
  limit->per_1000_s = ab_reader_u64 (&reader);
  limit->age_ms = ab_reader_u64 (&reader);
  rc = ab_reader_error (&reader);
  if (rc == 0 && limit->per_1000_s != AB_RATE_LIMIT_NONE
      && (limit->per_1000_s < AB_RATE_LIMIT_MIN
          || limit->per_1000_s > AB_RATE_LIMIT_MAX))
    rc = AB_ERR_CORRUPT;
  ab_reader_free (&reader);
  return rc;
}
