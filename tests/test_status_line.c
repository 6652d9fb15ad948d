/* Tests of the check of status lines.  */

#include <string.h>

#include "status_line.h"
#include "suite_lib.h"

/* Reads TEXT in pieces of SIZE bytes.  */
static enum ab_status_line_state
read_in_pieces (const char *text, size_t size)
{
  struct ab_status_line line = { 0 };

  for (size_t at = 0; at < strlen (text); at += size)
    ab_status_line_add (&line, ab_chunk (text + at, strlen (text + at) < size
                                                        ? strlen (text + at)
                                                        : size));
  return line.state;
}

static void
assert_state (const char *text, enum ab_status_line_state state)
{
  for (size_t size = 1; size <= strlen (text); size++)
    ck_assert_msg (read_in_pieces (text, size) == state,
                   "\"%s\" in pieces of %zu", text, size);
}

/* Guards against forms that atoi takes for a status.  */
START_TEST (invalid_lines)
{
  static const char *const lines[]
      = { "HTTP/1.1 000 OK\r\n",  "HTTP/1.1 099 OK\r\n",
          "HTTP/1.1 600 OK\r\n",  "HTTP/1.1 +200 OK\r\n",
          "HTTP/1.1 20 OK\r\n",   "HTTP/1.1 2000 OK\r\n",
          "HTTP/1.1 0200 OK\r\n", "HTTP/1.1 abc OK\r\n",
          "HTTP/1.1 200abc\r\n",  "HTTP/1.1  200 OK\r\n",
          "HTTP/1.1 200\tOK\r\n", "HTTP/1.1\t200 OK\r\n",
          "HTTP/2.0 200 OK\r\n",  "HTTP/+1.1 200 OK\r\n",
          " HTTP/1.1 200 OK\r\n", "http/1.1 200 OK\r\n",
          "HTTP/1.1 200\rOK\r\n", "\r\nHTTP/1.1 200 OK\r\n",
          "HTTP/1.1\r\n",         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 +2\n",
          "HTTP/1.1 20\r\n",      "HTTP/1.1 +100 Continue\r\n\r\n",
          "HTTP/1.10 200 OK\r\n" };

  for (size_t i = 0; i < sizeof lines / sizeof lines[0]; i++)
    assert_state (lines[i], AB_STATUS_LINE_INVALID);
}
END_TEST

/* Guards against a valid line that is taken for a broken one.  */
START_TEST (valid_lines)
{
  static const char *const lines[]
      = { "HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 200 \r\n",
          "HTTP/1.1 200\r\n",
          "HTTP/1.1 200\n",
          "HTTP/1.0 599 A long reason\r\n",
          "HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 404 No\r\n",
          "HTTP/1.1 100\r\n\r\nHTTP/1.1 100 \r\n\r\nHTTP/1.1 200 OK\r\n" };

  for (size_t i = 0; i < sizeof lines / sizeof lines[0]; i++)
    assert_state (lines[i], AB_STATUS_LINE_VALID);
}
END_TEST

SUITE_MAIN ("status_line", 10, invalid_lines, valid_lines)
