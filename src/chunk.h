/* Chunks: non-owning views of byte strings with a length.  */

#ifndef AB_CHUNK_H
#define AB_CHUNK_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

/* LEN bytes at DATA; not terminated by a null byte.  */
struct ab_chunk
{
  const char *data;
  size_t len;
};

/* Expands to a chunk over the string literal S.  */
#define AB_CHUNK(s) ((struct ab_chunk){ .data = (s), .len = sizeof (s) - 1 })

/* Expands to the two arguments of a "%.*s" conversion in printf.  */
#define AB_CHUNK_ARGS(c) (int)(c).len, (c).data

static inline struct ab_chunk
ab_chunk (const void *data, size_t len)
{
  return (struct ab_chunk){ .data = data, .len = len };
}

/* Returns a chunk over the null-terminated string S; empty when S is null.  */
static inline struct ab_chunk
ab_chunk_str (const char *s)
{
  return (struct ab_chunk){ .data = s, .len = s ? strlen (s) : 0 };
}

static inline bool
ab_chunk_equal (struct ab_chunk a, struct ab_chunk b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

/* Copies C into DST, a buffer of SIZE bytes, with a null byte at the end.
   Returns false, with DST empty, when C does not fit.  */
bool ab_chunk_copy (struct ab_chunk c, char *dst, size_t size)
    __attribute__ ((warn_unused_result));

/* Likewise for a text that was checked to fit when it was read.  Ends the
   process when it does not: an empty or shortened text would stand for
   another thing, or for none.  */
void ab_chunk_copy_bounded (struct ab_chunk c, char *dst, size_t size);

/* Parses C as an unsigned decimal number into *VALUE.  Returns false,
   with *VALUE unchanged, when C is empty, has a byte that is not a digit, or
   overflows.  */
bool ab_chunk_to_u64 (struct ab_chunk c, unsigned long long *value);

#endif
