/* Growable byte buffer.

   After the first append, even of an empty string, the content is followed by
   a null byte that LEN does not count, so it may be passed where a C string is
   expected; until then, DATA may be null.  After a failed
   allocation the buffer keeps its content and every later append fails as well
   until ab_buf_clear, so that a caller may check once at the end.  */

#ifndef AB_BUF_H
#define AB_BUF_H

#include <stddef.h>

#include "chunk.h"

struct ab_buf
{
  char *data; /* Null until the first allocation.  */
  size_t len; /* Content, bytes.  */
  size_t cap; /* Allocated, bytes.  */
  int error;  /* AB_ERR_MEMORY after a failed allocation, else 0.  */
};

#define AB_BUF_INIT                                                           \
  {                                                                           \
    .data = NULL, .len = 0, .cap = 0, .error = 0                              \
  }

/* Frees the content and makes BUF empty.  */
void ab_buf_free (struct ab_buf *buf);

/* Makes BUF empty but keeps its memory; resets ERROR.  */
void ab_buf_clear (struct ab_buf *buf);

/* Grows the allocation to hold LEN bytes in total, for a caller that writes
   to DATA itself.  Returns 0 or AB_ERR_MEMORY.  */
int ab_buf_reserve (struct ab_buf *buf, size_t len);

/* These append to BUF and return 0 or AB_ERR_MEMORY; ab_buf_printf also
   returns AB_ERR_INVALID when FORMAT cannot be formatted.  */
int ab_buf_append (struct ab_buf *buf, const void *data, size_t len);
int ab_buf_append_chunk (struct ab_buf *buf, struct ab_chunk chunk);
int ab_buf_append_str (struct ab_buf *buf, const char *s);
int ab_buf_printf (struct ab_buf *buf, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Returns the content as a chunk, valid until the next change of BUF.  */
struct ab_chunk ab_buf_chunk (const struct ab_buf *buf);

#endif
