#include "buf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "error.h"

#define BUF_MIN_BYTES 64

static int
reserve (struct ab_buf *buf, size_t extra)
{
  size_t need = buf->len + extra + 1;
  size_t cap = buf->cap ? buf->cap : BUF_MIN_BYTES;
  char *data;

  if (buf->error)
    return buf->error;
  if (need <= buf->cap)
    return 0;
  while (cap < need)
    cap *= 2;
  data = realloc (buf->data, cap);
  if (!data)
    return buf->error = AB_ERR_MEMORY;
  buf->data = data;
  buf->cap = cap;
  return 0;
}

void
ab_buf_free (struct ab_buf *buf)
{
  free (buf->data);
  *buf = (struct ab_buf)AB_BUF_INIT;
}

void
ab_buf_clear (struct ab_buf *buf)
{
  buf->len = 0;
  buf->error = 0;
  if (buf->data)
    buf->data[0] = '\0';
}

int
ab_buf_reserve (struct ab_buf *buf, size_t len)
{
  return reserve (buf, len > buf->len ? len - buf->len : 0);
}

int
ab_buf_append (struct ab_buf *buf, const void *data, size_t len)
{
  int rc = reserve (buf, len);

  if (rc < 0)
    return rc;
  if (len > 0)
    memcpy (buf->data + buf->len, data, len);
  buf->len += len;
  buf->data[buf->len] = '\0';
  return 0;
}

int
ab_buf_append_chunk (struct ab_buf *buf, struct ab_chunk chunk)
{
  return ab_buf_append (buf, chunk.data, chunk.len);
}

int
ab_buf_append_str (struct ab_buf *buf, const char *s)
{
  return ab_buf_append (buf, s, strlen (s));
}

int
ab_buf_printf (struct ab_buf *buf, const char *format, ...)
{
  va_list args;
  int len;
  int rc;

  va_start (args, format);
  len = vsnprintf (NULL, 0, format, args);
  va_end (args);
  if (len < 0)
    return AB_ERR_INVALID;
  rc = reserve (buf, (size_t)len);
  if (rc < 0)
    return rc;
  va_start (args, format);
  vsnprintf (buf->data + buf->len, (size_t)len + 1, format, args);
  va_end (args);
  buf->len += (size_t)len;
  return 0;
}

struct ab_chunk
ab_buf_chunk (const struct ab_buf *buf)
{
  return ab_chunk (buf->data, buf->len);
}
