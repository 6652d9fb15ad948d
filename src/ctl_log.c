/* Collects the lines about a request from the log files of several hosts.  */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define LINE_BYTES 8192
#define LINES_MAX 4096
#define NAME_BYTES 128

/* A log line about the request or the target.  */
struct line
{
  char time[32]; /* Value of "ts"; sorts chronologically as text.  */
  size_t order;  /* Number of lines added before; breaks ties.  */
  char *text;
};

struct matches
{
  struct line *lines;
  size_t count;
  char target[NAME_BYTES]; /* From the last line that has a target.  */
};

/* Copies the value of KEY in the log line TEXT.  Returns false when the line
   has no such key or the value does not fit.  */
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

/* Adds the log line TEXT, without any prefix that a log collector has put
   before it.  Lines beyond LINES_MAX and those without a time are left
   out.  */
static int
add_line (struct matches *matches, const char *text)
{
  const char *start = strstr (text, "ts=");
  struct line *line;

  if (!start || matches->count == LINES_MAX)
    return 0;
  line = &matches->lines[matches->count];
  if (!ab_chunk_copy (ab_chunk (start + 3, strcspn (start + 3, " ")),
                      line->time, sizeof line->time))
    return 0;
  line->text = strdup (start);
  if (!line->text)
    return -1;
  line->order = matches->count++;
  read_field (start, "target", matches->target, sizeof matches->target);
  return 0;
}

/* Adds the lines of the file PATH in which KEY has VALUE.  Returns 0, or -1
   after printing an error.  */
static int
read_matching_lines (struct matches *matches, const char *path,
                     const char *key, const char *value)
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
      rc = add_line (matches, text);
  if (rc == 0 && ferror (file))
    {
      ctl_error ("%s: %s", path, strerror (errno));
      rc = -1;
    }
  fclose (file);
  return rc;
}

static int
compare_lines (const void *a, const void *b)
{
  const struct line *left = a;
  const struct line *right = b;
  int order = strcmp (left->time, right->time);

  if (order != 0)
    return order;
  return left->order < right->order ? -1 : left->order > right->order;
}

static void
print_lines (struct matches *matches, const char *title)
{
  qsort (matches->lines, matches->count, sizeof *matches->lines,
         compare_lines);
  puts (title);
  for (size_t i = 0; i < matches->count; i++)
    printf ("  %s", matches->lines[i].text);
}

static void
clear_matches (struct matches *matches)
{
  for (size_t i = 0; i < matches->count; i++)
    free (matches->lines[i].text);
  matches->count = 0;
}

/* Prints the log lines about the target of the request, if it had one.  */
static int
print_target_lines (struct matches *matches, int count, char **paths)
{
  char target[NAME_BYTES];
  char title[2 * NAME_BYTES];
  int rc = 0;

  memcpy (target, matches->target, sizeof target);
  if (!target[0] || strcmp (target, "\"\"") == 0)
    return 0;
  clear_matches (matches);
  for (int i = 0; i < count && rc == 0; i++)
    rc = read_matching_lines (matches, paths[i], "target", target);
  snprintf (title, sizeof title, "target %s:", target);
  print_lines (matches, title);
  return rc;
}

enum ctl_exit
ctl_explain_log (const struct ctl_options *options, int count, char **argv)
{
  struct matches matches = { 0 };
  enum ctl_exit result = CTL_REFUSED;
  int rc = 0;

  (void)options;
  matches.lines = calloc (LINES_MAX, sizeof *matches.lines);
  if (!matches.lines)
    goto out;
  for (int i = 1; i < count && rc == 0; i++)
    rc = read_matching_lines (&matches, argv[i], "id", argv[0]);
  if (rc < 0)
    goto out;
  if (matches.count == 0)
    {
      ctl_error ("no log line about request %s", argv[0]);
      result = CTL_NOT_FOUND;
      goto out;
    }
  print_lines (&matches, "request:");
  if (print_target_lines (&matches, count - 1, argv + 1) == 0)
    result = CTL_OK;
out:
  clear_matches (&matches);
  free (matches.lines);
  return result;
}
