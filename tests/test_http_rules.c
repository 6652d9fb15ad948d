/* Headers that are forwarded, and the work that this takes.  */

#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <sys/queue.h>

#include "buf.h"
#include "error.h"
#include "http_rules.h"
#include "suite_lib.h"

/* Comparisons of texts since the last reset.  These definitions take the place
   of those of the C library in this program.  */
static unsigned long steps;

static int
compare (const char *a, const char *b, size_t len)
{
  steps++;
  for (; len > 0; a++, b++, len--)
    {
      int left = *a >= 'A' && *a <= 'Z' ? *a - 'A' + 'a' : *a;
      int right = *b >= 'A' && *b <= 'Z' ? *b - 'A' + 'a' : *b;
      if (left != right || !left)
        return left - right;
    }
  return 0;
}

int
strcasecmp (const char *a, const char *b)
{
  return compare (a, b, SIZE_MAX);
}

int
strncasecmp (const char *a, const char *b, size_t len)
{
  return compare (a, b, len);
}

/* Returns the comparisons for a response and a request with COUNT headers and
   OPTIONS names in a Connection header before them.  */
static unsigned long
steps_for (int count, int options)
{
  struct evkeyvalq from;
  struct evkeyvalq to;
  struct ab_buf list = AB_BUF_INIT;
  struct ab_buf lines = AB_BUF_INIT;
  char name[32];

  TAILQ_INIT (&from);
  TAILQ_INIT (&to);
  ab_buf_append_str (&list, "close");
  for (int i = 0; i < options; i++)
    ab_buf_printf (&list, ", o%d", i);
  evhttp_add_header (&from, "Connection", list.data);
  for (int i = 0; i < count; i++)
    {
      snprintf (name, sizeof name, "h%d", i);
      evhttp_add_header (&from, name, "v");
    }
  steps = 0;
  ck_assert_int_eq (ab_http_print_response_headers (&from, false, &lines), 0);
  ck_assert_int_eq (ab_http_copy_request_headers (&from, &to), 0);
  evhttp_clear_headers (&from);
  evhttp_clear_headers (&to);
  ab_buf_free (&list);
  ab_buf_free (&lines);
  return steps;
}

#define FEW 400

/* Guards against work that grows with the square of the headers or with the
   product of headers and options: a message of a permitted size would stop the
   event loop.  */
START_TEST (work_grows_with_message)
{
  for (int options = 0; options <= FEW; options += FEW / 2)
    for (int count = FEW; count <= 4 * FEW; count *= 2)
      {
        unsigned long once = steps_for (count, options);
        unsigned long twice = steps_for (2 * count, 2 * options);
        ck_assert_msg (2 * twice <= 5 * once,
                       "%d headers, %d options: %lu and %lu steps", count,
                       options, once, twice);
      }
}
END_TEST

/* Guards against options of a second header, in other letter case or at the
   end of a list that are passed on, and against names that only begin like
   one.  */
START_TEST (options_are_dropped)
{
  struct evkeyvalq from;
  struct ab_buf lines = AB_BUF_INIT;

  TAILQ_INIT (&from);
  evhttp_add_header (&from, "X-One", "1");
  evhttp_add_header (&from, "Connection", "close,x-two ,\tX-THREE");
  evhttp_add_header (&from, "X-Two", "2");
  evhttp_add_header (&from, "x-three", "3");
  evhttp_add_header (&from, "X-Thre", "kept");
  evhttp_add_header (&from, "connection", " , x-one");
  evhttp_add_header (&from, "Keep-Alive", "timeout=5");
  ck_assert_int_eq (ab_http_print_response_headers (&from, false, &lines), 0);
  ck_assert_str_eq (lines.data, "X-Thre: kept\r\n");
  evhttp_clear_headers (&from);
  ab_buf_free (&lines);
}
END_TEST

SUITE_MAIN ("http_rules", 60, work_grows_with_message, options_are_dropped)
