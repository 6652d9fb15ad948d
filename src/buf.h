/* Growable byte buffer.

   The content is always followed by a null byte that LEN does not count, so
   it may be passed where a C string is expected.  After a failed allocation
   the buffer keeps its content and every later append fails as well until
   ab_buf_clear, so that a caller may check once at the end.  */

#ifndef AB_BUF_H
#define AB_BUF_H

#include <stddef.h>

#include "chunk.h"

struct ab_buf
{
  char *data;
  size_t len;
  size_t cap;
  int error;
};

#define AB_BUF_INIT                                                           \
  {                                                                           \
    .data = NULL, .len = 0, .cap = 0, .error = 0                              \
  }

/* Frees the content and makes BUF empty.  */
void ab_buf_free (struct ab_buf *buf);

/* Makes BUF empty but keeps its memory; forgets an earlier failure.  */
void ab_buf_clear (struct ab_buf *buf);

/* Makes room for LEN bytes in all, for a caller that writes to DATA itself.
   0 or AB_ERR_MEMORY.  */
int ab_buf_reserve (struct ab_buf *buf, size_t len);

/* Append; return 0 or AB_ERR_MEMORY.  */
int ab_buf_append (struct ab_buf *buf, const void *data, size_t len);
int ab_buf_append_chunk (struct ab_buf *buf, struct ab_chunk chunk);
int ab_buf_append_str (struct ab_buf *buf, const char *s);
int ab_buf_printf (struct ab_buf *buf, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* The content as a chunk, valid until the next change of BUF.  */
struct ab_chunk ab_buf_chunk (const struct ab_buf *buf);

#endif
