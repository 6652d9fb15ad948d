#include "chunk.h"

#include <limits.h>
#include <stdlib.h>

bool
ab_chunk_copy (struct ab_chunk c, char *dst, size_t size)
{
  if (size == 0)
    return false;
  if (c.len >= size)
    {
      dst[0] = '\0';
      return false;
    }
  if (c.len > 0)
    memcpy (dst, c.data, c.len);
  dst[c.len] = '\0';
  return true;
}

void
ab_chunk_copy_bounded (struct ab_chunk c, char *dst, size_t size)
{
  if (!ab_chunk_copy (c, dst, size))
    abort ();
}

bool
ab_chunk_to_u64 (struct ab_chunk c, unsigned long long *value)
{
  unsigned long long result = 0;

  if (c.len == 0)
    return false;
  for (size_t i = 0; i < c.len; i++)
    {
      unsigned digit = (unsigned char)c.data[i] - (unsigned)'0';
      if (digit > 9 || result > (ULLONG_MAX - digit) / 10)
        return false;
      result = result * 10 + digit;
    }
  *value = result;
  return true;
}
