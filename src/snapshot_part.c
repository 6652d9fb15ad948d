#include "snapshot_part.h"

#include "error.h"

#define LENGTH_BYTES 4

int
ab_snapshot_part_append (struct ab_buf *out, const struct ab_buf *part)
{
  unsigned char length[LENGTH_BYTES];

  if (part->error || part->len > AB_SNAPSHOT_PART_BYTES_MAX)
    return out->error = part->error ? part->error : AB_ERR_TOO_LARGE;
  for (size_t i = 0; i < LENGTH_BYTES; i++)
    length[i] = (unsigned char)(part->len >> (8 * (LENGTH_BYTES - 1 - i)));
  ab_buf_append (out, length, sizeof length);
  return ab_buf_append_chunk (out, ab_buf_chunk (part));
}

int
ab_snapshot_part_next (struct ab_chunk *input, struct ab_chunk *part)
{
  size_t len = 0;

  if (input->len < LENGTH_BYTES)
    return AB_ERR_CORRUPT;
  for (size_t i = 0; i < LENGTH_BYTES; i++)
    len = len << 8 | (unsigned char)input->data[i];
  if (len > input->len - LENGTH_BYTES)
    return AB_ERR_CORRUPT;
  *part = ab_chunk (input->data + LENGTH_BYTES, len);
  input->data += LENGTH_BYTES + len;
  input->len -= LENGTH_BYTES + len;
  return 0;
}
