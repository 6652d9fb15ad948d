/* The way of one request, from the log files of several hosts.  */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define LINE_BYTES 8192
#define LINES_MAX 4096
#define NAME_BYTES 128

/* A line that tells something of the request.  */
struct line
{
  char time[32]; /* As written; sorts by time.  */
  size_t order;  /* In which it was read.  */
  char *text;
};

struct findings
{
  struct line *lines;
  size_t count;
  char target[NAME_BYTES]; /* The last that the request was sent to.  */
};

/* Copies the value of KEY in TEXT; false when there is none.  */
static bool
read_field (const char *text, const char *key, char *value, size_t size)
{
  char wanted[NAME_BYTES];
  const char *at;

  snprintf (wanted, sizeof wanted, " %s=", key);
  at = strstr (text, wanted);
  if (!at)
    return false;
  at += strlen (wanted);
  return ab_chunk_copy (ab_chunk (at, strcspn (at, " \n")), value, size);
}

static bool
has_field (const char *text, const char *key, const char *value)
{
  char found[NAME_BYTES];

  return read_field (text, key, found, sizeof found)
         && strcmp (found, value) == 0;
}

/* Keeps TEXT.  Whatever was put before the line, as by a log collector, is
   left out.  */
static int
keep_line (struct findings *findings, const char *text)
{
  const char *start = strstr (text, "ts=");
  struct line *line;

  if (!start || findings->count == LINES_MAX)
    return 0;
  line = &findings->lines[findings->count];
  line->text = strdup (start);
  if (!line->text)
    return -1;
  ab_chunk_copy (ab_chunk (start + 3, strcspn (start + 3, " ")), line->time,
                 sizeof line->time);
  line->order = findings->count++;
  read_field (start, "target", findings->target, sizeof findings->target);
  return 0;
}

static int
read_lines (struct findings *findings, const char *path, const char *key,
            const char *value)
{
  FILE *file = fopen (path, "r");
  char text[LINE_BYTES];
  int rc = 0;

  if (!file)
    {
      ctl_error ("%s: %s", path, strerror (errno));
      return -1;
    }
  while (rc == 0 && fgets (text, sizeof text, file))
    if (has_field (text, key, value))
      rc = keep_line (findings, text);
  if (rc == 0 && ferror (file))
    {
      ctl_error ("%s: %s", path, strerror (errno));
      rc = -1;
    }
  fclose (file);
  return rc;
}

static int
by_time (const void *a, const void *b)
{
  const struct line *left = a;
  const struct line *right = b;
  int order = strcmp (left->time, right->time);

  if (order != 0)
    return order;
  return left->order < right->order ? -1 : left->order > right->order;
}

static void
print_lines (struct findings *findings, const char *title)
{
  qsort (findings->lines, findings->count, sizeof *findings->lines, by_time);
  puts (title);
  for (size_t i = 0; i < findings->count; i++)
    printf ("  %s", findings->lines[i].text);
}

static void
clear (struct findings *findings)
{
  for (size_t i = 0; i < findings->count; i++)
    free (findings->lines[i].text);
  findings->count = 0;
}

/* What the hosts learned about the target of the request.  */
static int
print_target (struct findings *findings, int count, char **paths)
{
  char target[NAME_BYTES];
  char title[2 * NAME_BYTES];
  int rc = 0;

  memcpy (target, findings->target, sizeof target);
  if (!target[0] || strcmp (target, "\"\"") == 0)
    return 0;
  clear (findings);
  for (int i = 0; i < count && rc == 0; i++)
    rc = read_lines (findings, paths[i], "target", target);
  snprintf (title, sizeof title, "target %s:", target);
  print_lines (findings, title);
  return rc;
}

enum ctl_exit
ctl_explain_log (const struct ctl_options *options, int count, char **argv)
{
  struct findings findings = { 0 };
  enum ctl_exit result = CTL_REFUSED;
  int rc = 0;

  (void)options;
  findings.lines = calloc (LINES_MAX, sizeof *findings.lines);
  if (!findings.lines)
    goto out;
  for (int i = 1; i < count && rc == 0; i++)
    rc = read_lines (&findings, argv[i], "id", argv[0]);
  if (rc < 0)
    goto out;
  if (findings.count == 0)
    {
      ctl_error ("no line about request %s", argv[0]);
      result = CTL_NOT_FOUND;
      goto out;
    }
  print_lines (&findings, "request:");
  if (print_target (&findings, count - 1, argv + 1) == 0)
    result = CTL_OK;
out:
  clear (&findings);
  free (findings.lines);
  return result;
}
