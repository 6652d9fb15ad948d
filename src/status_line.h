/* Checks the status line of a response as its bytes arrive.

   evhttp converts the status with atoi, which takes "+200", "200abc" and "
   200" for 200, and keeps no copy of the line.  No I/O.  */

#ifndef AB_STATUS_LINE_H
#define AB_STATUS_LINE_H

#include <stdbool.h>

#include "chunk.h"

/* "HTTP/1.1 200" and two bytes behind it, which tell whether the line ends
   there.  */
#define AB_STATUS_LINE_BYTES 14

enum ab_status_line_state
{
  AB_STATUS_LINE_FIRST,   /* Within the first line of a head.  */
  AB_STATUS_LINE_INTERIM, /* Within the other lines of an interim one.  */
  AB_STATUS_LINE_VALID,
  AB_STATUS_LINE_INVALID
};

/* All zero at the start of a response.  */
struct ab_status_line
{
  enum ab_status_line_state state;
  char start[AB_STATUS_LINE_BYTES]; /* Of the line.  */
  unsigned len; /* Of the line, up to the size of START.  */
};

/* Adds the next BYTES of the response.  Has no effect once the state is valid
   or invalid.  A line is valid when it is "HTTP/1.0" or "HTTP/1.1", a space
   and three digits from 100 to 599, then a space and a reason, or nothing.  A
   response with status 100 precedes the final one, whose line counts.  */
void ab_status_line_add (struct ab_status_line *line, struct ab_chunk bytes);

/* Returns whether no more bytes are needed.  */
bool ab_status_line_done (const struct ab_status_line *line);

#endif
