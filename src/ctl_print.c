#include <stdio.h>
#include <stdlib.h>

#include "ctl.h"

#define COLUMNS_MAX 16
#define INDENT_SPACES 2

static void
append_value (struct ab_buf *out, const json_t *value)
{
  char *text;

  if (json_is_string (value))
    {
      ab_buf_append_str (out, json_string_value (value));
      return;
    }
  text = json_dumps (value,
                     JSON_ENCODE_ANY | JSON_COMPACT | JSON_REAL_PRECISION (6));
  ab_buf_append_str (out, text ? text : "?");
  free (text);
}

/* Returns the width of column KEY: the longest of its header and values.  */
static int
column_width (const json_t *rows, const char *key)
{
  struct ab_buf text = AB_BUF_INIT;
  size_t width = strlen (key);
  size_t index;
  json_t *row;

  json_array_foreach (rows, index, row)
  {
    ab_buf_clear (&text);
    append_value (&text, json_object_get (row, key));
    if (text.len > width)
      width = text.len;
  }
  ab_buf_free (&text);
  return (int)width;
}

static void
print_table (const json_t *rows)
{
  const char *keys[COLUMNS_MAX];
  int widths[COLUMNS_MAX];
  size_t columns = 0;
  const char *key;
  size_t index;
  json_t *row;
  json_t *value;

  json_object_foreach (json_array_get (rows, 0), key,
                       value) if (columns < COLUMNS_MAX)
  {
    keys[columns] = key;
    widths[columns] = column_width (rows, key);
    printf ("%-*s  ", widths[columns], key);
    columns++;
  }
  putchar ('\n');
  json_array_foreach (rows, index, row)
  {
    for (size_t i = 0; i < columns; i++)
      {
        struct ab_buf text = AB_BUF_INIT;
        append_value (&text, json_object_get (row, keys[i]));
        printf ("%-*s  ", widths[i], text.len ? text.data : "");
        ab_buf_free (&text);
      }
    putchar ('\n');
  }
}

static void
print_object (const json_t *object, int indent)
{
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)object, key, value)
  {
    if (json_is_object (value) && json_object_size (value) > 0)
      {
        printf ("%*s%s:\n", indent, "", key);
        print_object (value, indent + INDENT_SPACES);
      }
    else
      {
        struct ab_buf text = AB_BUF_INIT;
        append_value (&text, value);
        printf ("%*s%s: %s\n", indent, "", key, text.len ? text.data : "");
        ab_buf_free (&text);
      }
  }
}

void
ctl_print (const struct ctl_options *options, const json_t *value)
{
  if (options->json)
    {
      json_dumpf (value, stdout, JSON_INDENT (2) | JSON_ENCODE_ANY);
      putchar ('\n');
    }
  else if (json_is_array (value) && json_array_size (value) == 0)
    puts ("none");
  else if (json_is_array (value) && json_is_object (json_array_get (value, 0)))
    print_table (value);
  else if (json_is_object (value))
    {
      const char *message
          = json_string_value (json_object_get (value, "message"));
      if (message && json_object_size (value) == 1)
        puts (message);
      else
        print_object (value, 0);
    }
}
