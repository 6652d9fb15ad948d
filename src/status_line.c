#include "status_line.h"

#include <string.h>

#define VERSION "HTTP/1."
#define VERSION_AT (sizeof VERSION - 1)
#define STATUS_AT (VERSION_AT + 2)
#define STATUS_END (STATUS_AT + 3)

static bool
is_digit (char c)
{
  return c >= '0' && c <= '9';
}

/* Returns whether the LEN bytes at TEXT, without the line's end, are the start
   of a valid status line.  */
static bool
is_valid (const char *text, unsigned len)
{
  return len >= STATUS_END && memcmp (text, VERSION, VERSION_AT) == 0
         && (text[VERSION_AT] == '0' || text[VERSION_AT] == '1')
         && text[VERSION_AT + 1] == ' ' && text[STATUS_AT] >= '1'
         && text[STATUS_AT] <= '5' && is_digit (text[STATUS_AT + 1])
         && is_digit (text[STATUS_AT + 2])
         && (len == STATUS_END || text[STATUS_END] == ' ');
}

static bool
is_interim (const char *text)
{
  return memcmp (text + STATUS_AT, "100", 3) == 0;
}

static void
end_line (struct ab_status_line *line)
{
  unsigned len = line->len;

  /* In a longer line, the byte may be part of the reason, which is not
     checked.  */
  if (len > 0 && line->start[len - 1] == '\r')
    len--;
  line->len = 0;
  if (line->state == AB_STATUS_LINE_INTERIM)
    line->state = len == 0 ? AB_STATUS_LINE_FIRST : AB_STATUS_LINE_INTERIM;
  else if (!is_valid (line->start, len))
    line->state = AB_STATUS_LINE_INVALID;
  else
    line->state = is_interim (line->start) ? AB_STATUS_LINE_INTERIM
                                           : AB_STATUS_LINE_VALID;
}

void
ab_status_line_add (struct ab_status_line *line, struct ab_chunk bytes)
{
  for (size_t i = 0; i < bytes.len && !ab_status_line_done (line); i++)
    {
      char c = bytes.data[i];
      if (c == '\n')
        end_line (line);
      else if (line->len < sizeof line->start)
        line->start[line->len++] = c;
    }
}

bool
ab_status_line_done (const struct ab_status_line *line)
{
  return line->state == AB_STATUS_LINE_VALID
         || line->state == AB_STATUS_LINE_INVALID;
}
