#include "compress.h"

#include <limits.h>
#include <zlib.h>

#include "error.h"

/* Output buffer of one call of inflate.  */
#define INFLATE_BUFFER_BYTES 16384

static int
compress_at_level (struct ab_chunk data, int level, struct ab_buf *out)
{
  uLongf len = compressBound ((uLong)data.len);
  int rc;

  if (data.len > INT_MAX)
    return AB_ERR_TOO_LARGE;
  rc = ab_buf_reserve (out, out->len + len + 1);
  if (rc < 0)
    return rc;
  if (compress2 ((Bytef *)out->data + out->len, &len, (const Bytef *)data.data,
                 (uLong)data.len, level)
      != Z_OK)
    return AB_ERR_MEMORY;
  out->len += len;
  out->data[out->len] = '\0';
  return 0;
}

int
ab_compress (struct ab_chunk data, struct ab_buf *out)
{
  return compress_at_level (data, Z_BEST_COMPRESSION, out);
}

int
ab_compress_fast (struct ab_chunk data, struct ab_buf *out)
{
  return compress_at_level (data, Z_BEST_SPEED, out);
}

static int
inflate_all (z_stream *stream, size_t max, struct ab_buf *out)
{
  char buffer[INFLATE_BUFFER_BYTES];
  size_t total = 0;
  int status = Z_OK;

  while (status != Z_STREAM_END)
    {
      size_t produced;
      int rc;
      stream->next_out = (Bytef *)buffer;
      stream->avail_out = sizeof buffer;
      status = inflate (stream, Z_NO_FLUSH);
      produced = sizeof buffer - stream->avail_out;
      if (status != Z_STREAM_END && (status != Z_OK || produced == 0))
        return status == Z_MEM_ERROR ? AB_ERR_MEMORY : AB_ERR_CORRUPT;
      total += produced;
      if (total > max)
        return AB_ERR_TOO_LARGE;
      rc = ab_buf_append (out, buffer, produced);
      if (rc < 0)
        return rc;
    }
  return stream->avail_in == 0 ? 0 : AB_ERR_CORRUPT;
}

int
ab_decompress (struct ab_chunk data, size_t max, struct ab_buf *out)
{
  z_stream stream
      = { .next_in = (Bytef *)data.data, .avail_in = (uInt)data.len };
  int rc;

  if (data.len > INT_MAX)
    return AB_ERR_TOO_LARGE;
  if (inflateInit (&stream) != Z_OK)
    return AB_ERR_MEMORY;
  rc = inflate_all (&stream, max, out);
  inflateEnd (&stream);
  return rc;
}
