#include "conf.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "error.h"

#define FIELDS_MAX 64
/* A name that differs by more edits than this is taken for another word, not
   for a misspelling.  */
#define SUGGESTION_EDITS_MAX 3
/* Longer names get no suggestion; this bounds the memory of edit_distance.  */
#define SUGGESTION_NAME_BYTES 64

int
ab_conf_fail (struct ab_conf *conf, const yaml_node_t *node,
              const char *format, ...)
{
  size_t used = 0;
  va_list args;

  if (conf->error[0])
    return AB_ERR_INVALID;
  if (node)
    used
        = (size_t)snprintf (conf->error, sizeof conf->error,
                            "%s:%zu: ", conf->name, node->start_mark.line + 1);
  else
    used = (size_t)snprintf (conf->error, sizeof conf->error,
                             "%s: ", conf->name);
  if (used >= sizeof conf->error)
    return AB_ERR_INVALID;
  va_start (args, format);
  vsnprintf (conf->error + used, sizeof conf->error - used, format, args);
  va_end (args);
  return AB_ERR_INVALID;
}

int
ab_conf_load (struct ab_conf *conf, const char *name, struct ab_chunk text)
{
  yaml_parser_t parser;
  int rc = 0;

  memset (conf, 0, sizeof *conf);
  conf->name = name;
  if (text.len > AB_CONF_FILE_BYTES_MAX)
    {
      ab_conf_fail (conf, NULL, "the file has more than %d bytes",
                    AB_CONF_FILE_BYTES_MAX);
      return AB_ERR_TOO_LARGE;
    }
  if (!yaml_parser_initialize (&parser))
    return AB_ERR_MEMORY;
  yaml_parser_set_input_string (&parser, (const unsigned char *)text.data,
                                text.len);
  if (!yaml_parser_load (&parser, &conf->document))
    {
      snprintf (conf->error, sizeof conf->error, "%s:%zu: not valid YAML: %s",
                name, parser.problem_mark.line + 1,
                parser.problem ? parser.problem : "unknown problem");
      rc = AB_ERR_INVALID;
      goto out;
    }
  conf->loaded = true;
  if (!yaml_document_get_root_node (&conf->document))
    rc = ab_conf_fail (conf, NULL, "the file is empty; expected a map");
out:
  yaml_parser_delete (&parser);
  return rc;
}

void
ab_conf_free (struct ab_conf *conf)
{
  if (conf->loaded)
    yaml_document_delete (&conf->document);
  conf->loaded = false;
}

yaml_node_t *
ab_conf_root (struct ab_conf *conf)
{
  return yaml_document_get_root_node (&conf->document);
}

static yaml_node_t *
get_node (struct ab_conf *conf, int index)
{
  return yaml_document_get_node (&conf->document, index);
}

static size_t
min_size (size_t a, size_t b)
{
  return a < b ? a : b;
}

/* Returns the Levenshtein distance of A and B, both shorter than
   SUGGESTION_NAME_BYTES.  */
static size_t
edit_distance (const char *a, const char *b)
{
  size_t row[SUGGESTION_NAME_BYTES + 1];
  size_t a_len = strlen (a);
  size_t b_len = strlen (b);

  for (size_t j = 0; j <= b_len; j++)
    row[j] = j;
  for (size_t i = 1; i <= a_len; i++)
    {
      size_t diagonal = row[0];
      row[0] = i;
      for (size_t j = 1; j <= b_len; j++)
        {
          size_t above = row[j];
          size_t change = diagonal + (a[i - 1] != b[j - 1]);
          row[j] = min_size (change, min_size (row[j - 1], above) + 1);
          diagonal = above;
        }
    }
  return row[b_len];
}

const char *
ab_nearest_name (const char *name, const char *const *names, size_t count)
{
  const char *best = NULL;
  size_t best_distance = SUGGESTION_EDITS_MAX + 1;

  if (strlen (name) >= SUGGESTION_NAME_BYTES)
    return NULL;
  for (size_t i = 0; i < count; i++)
    {
      size_t distance;
      if (strlen (names[i]) >= SUGGESTION_NAME_BYTES)
        continue;
      distance = edit_distance (name, names[i]);
      if (distance < best_distance && distance < strlen (name))
        {
          best = names[i];
          best_distance = distance;
        }
    }
  return best;
}

static int
fail_unknown_key (struct ab_conf *conf, yaml_node_t *key, const char *text,
                  const struct ab_conf_field *fields, size_t count)
{
  const char *names[FIELDS_MAX];
  const char *suggestion;

  for (size_t i = 0; i < count; i++)
    names[i] = fields[i].key;
  suggestion = ab_nearest_name (text, names, count);
  if (suggestion)
    return ab_conf_fail (conf, key, "unknown key '%s'; did you mean '%s'?",
                         text, suggestion);
  return ab_conf_fail (conf, key, "unknown key '%s'; expected one like '%s'",
                       text, fields[0].key);
}

static int
read_pair (struct ab_conf *conf, yaml_node_pair_t *pair,
           const struct ab_conf_field *fields, size_t count, bool *seen,
           void *dst)
{
  yaml_node_t *key = get_node (conf, pair->key);
  yaml_node_t *value = get_node (conf, pair->value);
  struct ab_chunk text;
  int rc = ab_conf_scalar (conf, key, "a key", &text);

  if (rc < 0)
    return rc;
  for (size_t i = 0; i < count; i++)
    {
      if (!ab_chunk_equal (text, ab_chunk_str (fields[i].key)))
        continue;
      if (seen[i])
        return ab_conf_fail (conf, key, "key '%s' is given twice",
                             fields[i].key);
      seen[i] = true;
      return fields[i].read (conf, value, &fields[i],
                             (char *)dst + fields[i].offset);
    }
  return fail_unknown_key (conf, key, text.data, fields, count);
}

int
ab_conf_read_map (struct ab_conf *conf, yaml_node_t *node,
                  const struct ab_conf_field *fields, size_t count, void *dst)
{
  bool seen[FIELDS_MAX] = { false };
  yaml_node_pair_t *pair;

  if (node->type != YAML_MAPPING_NODE)
    return ab_conf_fail (conf, node, "expected a map with keys like '%s'",
                         fields[0].key);
  for (pair = node->data.mapping.pairs.start;
       pair < node->data.mapping.pairs.top; pair++)
    {
      int rc = read_pair (conf, pair, fields, count, seen, dst);
      if (rc < 0)
        return rc;
    }
  for (size_t i = 0; i < count; i++)
    if (fields[i].required && !seen[i])
      return ab_conf_fail (conf, node, "key '%s' is missing", fields[i].key);
  return 0;
}

int
ab_conf_read_list (struct ab_conf *conf, yaml_node_t *node, size_t item_size,
                   size_t max, ab_conf_reader read,
                   const struct ab_conf_field *item_field, void **items,
                   size_t *count)
{
  yaml_node_item_t *item;
  size_t total;

  if (node->type != YAML_SEQUENCE_NODE)
    return ab_conf_fail (conf, node, "expected a list");
  total = (size_t)(node->data.sequence.items.top
                   - node->data.sequence.items.start);
  if (total > max)
    return ab_conf_fail (conf, node,
                         "the list has %zu items; at most %zu are allowed",
                         total, max);
  *items = calloc (total ? total : 1, item_size);
  if (!*items)
    return AB_ERR_MEMORY;
  /* *COUNT includes only items whose reading has begun, so that the owner
     frees no others.  */
  *count = 0;
  for (item = node->data.sequence.items.start;
       item < node->data.sequence.items.top; item++)
    {
      void *dst = (char *)*items + *count * item_size;
      int rc;
      ++*count;
      rc = read (conf, get_node (conf, *item), item_field, dst);
      if (rc < 0)
        return rc;
    }
  return 0;
}

int
ab_conf_scalar (struct ab_conf *conf, yaml_node_t *node, const char *expected,
                struct ab_chunk *text)
{
  *text = ab_chunk (NULL, 0);
  if (node->type != YAML_SCALAR_NODE)
    {
      ab_conf_fail (conf, node, "expected %s, not a map or list", expected);
      return AB_ERR_INVALID;
    }
  *text = ab_chunk (node->data.scalar.value, node->data.scalar.length);
  return 0;
}

int
ab_conf_string (struct ab_conf *conf, yaml_node_t *node,
                const struct ab_conf_field *field, void *dst)
{
  struct ab_chunk text;
  int rc = ab_conf_scalar (conf, node, "a string", &text);

  if (rc < 0)
    return rc;
  if (text.len == 0)
    return ab_conf_fail (conf, node, "'%s' is empty", field->key);
  if (memchr (text.data, '\0', text.len)
      || !ab_chunk_copy (text, dst, field->size))
    return ab_conf_fail (conf, node,
                         "'%s' has %zu bytes; at most %zu are allowed",
                         field->key, text.len, field->size - 1);
  return 0;
}

int
ab_conf_name (struct ab_conf *conf, yaml_node_t *node,
              const struct ab_conf_field *field, void *dst)
{
  int rc = ab_conf_string (conf, node, field, dst);

  if (rc < 0)
    return rc;
  for (const char *p = dst; *p; p++)
    {
      bool plain = (*p >= 'a' && *p <= 'z') || (*p >= 'A' && *p <= 'Z')
                   || (*p >= '0' && *p <= '9') || strchr ("-_.", *p);
      if (!plain)
        return ab_conf_fail (conf, node,
                             "'%s' is '%s'; expected letters, digits, "
                             "'-', '_' and '.'",
                             field->key, (const char *)dst);
    }
  return 0;
}

int
ab_conf_u64 (struct ab_conf *conf, yaml_node_t *node,
             const struct ab_conf_field *field, void *dst)
{
  struct ab_chunk text;
  unsigned long long value;
  int rc = ab_conf_scalar (conf, node, "a number", &text);

  if (rc < 0)
    return rc;
  if (!ab_chunk_to_u64 (text, &value))
    return ab_conf_fail (conf, node, "'%s' is '%s'; expected a whole number",
                         field->key, text.data);
  if (value < field->min || (field->max && value > field->max))
    return ab_conf_fail (conf, node, "'%s' is %llu; expected %llu to %llu",
                         field->key, value, (unsigned long long)field->min,
                         (unsigned long long)field->max);
  *(uint64_t *)dst = value;
  return 0;
}

int
ab_conf_bool (struct ab_conf *conf, yaml_node_t *node,
              const struct ab_conf_field *field, void *dst)
{
  struct ab_chunk text;
  int rc = ab_conf_scalar (conf, node, "true or false", &text);

  if (rc < 0)
    return rc;
  if (ab_chunk_equal (text, AB_CHUNK ("true")))
    *(bool *)dst = true;
  else if (ab_chunk_equal (text, AB_CHUNK ("false")))
    *(bool *)dst = false;
  else
    return ab_conf_fail (conf, node, "'%s' is '%s'; expected true or false",
                         field->key, text.data);
  return 0;
}

/* Splits TEXT into a leading non-negative number and the unit after it.
   Returns false when TEXT is too long or begins with no decimal number.  */
static bool
split_unit (struct ab_chunk text, double *number, struct ab_chunk *unit)
{
  char copy[32];
  char *end;

  if (!ab_chunk_copy (text, copy, sizeof copy) || copy[0] < '0'
      || copy[0] > '9')
    return false;
  errno = 0;
  *number = strtod (copy, &end);
  if (end == copy || errno || strchr (copy, 'x') || strchr (copy, 'X'))
    return false;
  *unit = ab_chunk (text.data + (end - copy), text.len - (size_t)(end - copy));
  return true;
}

int
ab_conf_duration (struct ab_conf *conf, yaml_node_t *node,
                  const struct ab_conf_field *field, void *dst)
{
  static const struct
  {
    const char *name;
    double ms;
  } units[] = { { "ms", 1 },
                { "s", 1000 },
                { "m", 60e3 },
                { "h", 3600e3 },
                { "d", 86400e3 } };
  struct ab_chunk text;
  struct ab_chunk unit;
  double number;
  int rc = ab_conf_scalar (conf, node, "a duration", &text);

  if (rc < 0)
    return rc;
  if (!split_unit (text, &number, &unit))
    goto invalid;
  for (size_t i = 0; i < sizeof units / sizeof units[0]; i++)
    {
      double ms = number * units[i].ms;
      if (!ab_chunk_equal (unit, ab_chunk_str (units[i].name)))
        continue;
      if (ms < (double)field->min || (field->max && ms > (double)field->max))
        return ab_conf_fail (
            conf, node, "'%s' is '%s'; expected %llu ms to %llu ms",
            field->key, text.data, (unsigned long long)field->min,
            (unsigned long long)field->max);
      *(uint64_t *)dst = (uint64_t)ms;
      return 0;
    }
invalid:
  return ab_conf_fail (conf, node,
                       "'%s' is '%s'; expected a duration with a unit, as "
                       "in 250ms, 5s, 10m, 24h or 7d",
                       field->key, text.data);
}

int
ab_conf_percent (struct ab_conf *conf, yaml_node_t *node,
                 const struct ab_conf_field *field, void *dst)
{
  struct ab_chunk text;
  struct ab_chunk unit;
  double number;
  int rc = ab_conf_scalar (conf, node, "a percentage", &text);

  if (rc < 0)
    return rc;
  if (!split_unit (text, &number, &unit)
      || !ab_chunk_equal (unit, AB_CHUNK ("%")) || number > 100)
    return ab_conf_fail (conf, node,
                         "'%s' is '%s'; expected a percentage, as in 50%%",
                         field->key, text.data);
  *(double *)dst = number / 100;
  return 0;
}

static int
read_number (struct ab_conf *conf, yaml_node_t *node,
             const struct ab_conf_field *field, uint64_t max, double *dst)
{
  struct ab_chunk text;
  struct ab_chunk unit;
  double number;
  int rc = ab_conf_scalar (conf, node, "a number", &text);

  if (rc < 0)
    return rc;
  if (!split_unit (text, &number, &unit) || unit.len > 0
      || number > (double)max)
    return ab_conf_fail (conf, node,
                         "'%s' is '%s'; expected a number from 0 to %llu",
                         field->key, text.data, (unsigned long long)max);
  *dst = number;
  return 0;
}

int
ab_conf_fraction (struct ab_conf *conf, yaml_node_t *node,
                  const struct ab_conf_field *field, void *dst)
{
  return read_number (conf, node, field, 1, dst);
}

int
ab_conf_number (struct ab_conf *conf, yaml_node_t *node,
                const struct ab_conf_field *field, void *dst)
{
  return read_number (conf, node, field, field->max, dst);
}

int
ab_conf_submap (struct ab_conf *conf, yaml_node_t *node,
                const struct ab_conf_field *field, void *dst)
{
  const struct ab_conf_map *map = field->extra;

  return ab_conf_read_map (conf, node, map->fields, map->count, dst);
}

int
ab_conf_enum (struct ab_conf *conf, yaml_node_t *node,
              const struct ab_conf_field *field, void *dst)
{
  const char *const *words = field->extra;
  char expected[128] = "";
  struct ab_chunk text;
  int rc = ab_conf_scalar (conf, node, "a word", &text);

  if (rc < 0)
    return rc;
  for (unsigned i = 0; words[i]; i++)
    {
      size_t len = strlen (expected);
      if (ab_chunk_equal (text, ab_chunk_str (words[i])))
        {
          *(unsigned *)dst = i;
          return 0;
        }
      snprintf (expected + len, sizeof expected - len, "%s%s",
                i > 0 ? " or " : "", words[i]);
    }
  return ab_conf_fail (conf, node, "'%s' is '%s'; expected %s", field->key,
                       text.data, expected);
}

int
ab_conf_rate (struct ab_conf *conf, yaml_node_t *node,
              const struct ab_conf_field *field, void *dst)
{
  struct ab_chunk text;
  struct ab_chunk unit;
  double number;
  int rc = ab_conf_scalar (conf, node, "a rate", &text);

  if (rc < 0)
    return rc;
  if (!split_unit (text, &number, &unit)
      || !(ab_chunk_equal (unit, AB_CHUNK ("/s"))
           || ab_chunk_equal (unit, AB_CHUNK ("/m"))))
    return ab_conf_fail (conf, node,
                         "'%s' is '%s'; expected a rate, as in 20/s or 90/m",
                         field->key, text.data);
  *(double *)dst = unit.data[1] == 's' ? number : number / 60;
  return 0;
}

int
ab_conf_address (struct ab_conf *conf, yaml_node_t *node,
                 const struct ab_conf_field *field, void *dst)
{
  struct ab_chunk text;
  int rc = ab_conf_scalar (conf, node, "an address", &text);

  if (rc < 0)
    return rc;
  if (!ab_address_valid (text) || !ab_chunk_copy (text, dst, AB_ADDRESS_BYTES))
    return ab_conf_fail (conf, node,
                         "'%s' is '%s'; expected an IP address and a port, "
                         "as in 10.0.0.1:8080 or [::1]:8080",
                         field->key, text.data);
  return 0;
}

static int
hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return -1;
}

int
ab_conf_hex (struct ab_conf *conf, yaml_node_t *node,
             const struct ab_conf_field *field, void *dst)
{
  struct ab_chunk text;
  uint8_t *bytes = dst;
  int rc = ab_conf_scalar (conf, node, "hexadecimal digits", &text);

  if (rc < 0)
    return rc;
  if (text.len != 2 * field->size)
    goto invalid;
  for (size_t i = 0; i < field->size; i++)
    {
      int high = hex_digit (text.data[2 * i]);
      int low = hex_digit (text.data[2 * i + 1]);
      if (high < 0 || low < 0)
        goto invalid;
      bytes[i] = (uint8_t)(high * 16 + low);
    }
  return 0;
invalid:
  return ab_conf_fail (conf, node,
                       "'%s': expected %zu lower-case hexadecimal digits",
                       field->key, 2 * field->size);
}

bool
ab_address_valid (struct ab_chunk text)
{
  char copy[AB_ADDRESS_BYTES];
  char host[AB_ADDRESS_BYTES];
  uint16_t port;
  unsigned char ip[sizeof (struct in6_addr)];

  if (!ab_chunk_copy (text, copy, sizeof copy)
      || ab_address_split (copy, host, sizeof host, &port) < 0)
    return false;
  return inet_pton (AF_INET, host, ip) == 1
         || inet_pton (AF_INET6, host, ip) == 1;
}

int
ab_address_split (const char *address, char *host, size_t size, uint16_t *port)
{
  const char *colon = strrchr (address, ':');
  unsigned long long number;
  struct ab_chunk name;

  if (!colon || !ab_chunk_to_u64 (ab_chunk_str (colon + 1), &number)
      || number == 0 || number > UINT16_MAX)
    return AB_ERR_INVALID;
  name = ab_chunk (address, (size_t)(colon - address));
  if (name.len >= 2 && name.data[0] == '[' && name.data[name.len - 1] == ']')
    name = ab_chunk (name.data + 1, name.len - 2);
  if (!ab_chunk_copy (name, host, size))
    return AB_ERR_INVALID;
  *port = (uint16_t)number;
  return 0;
}

int
ab_read_file (const char *path, size_t max, char **data, size_t *len)
{
  FILE *file = fopen (path, "re");
  char *bytes = NULL;
  size_t used = 0;
  size_t cap = 4096;
  int rc = AB_ERR_IO;

  *data = NULL;
  if (!file)
    return AB_ERR_IO;
  for (;;)
    {
      char *grown = realloc (bytes, cap + 1);
      if (!grown)
        {
          rc = AB_ERR_MEMORY;
          goto out;
        }
      bytes = grown;
      used += fread (bytes + used, 1, cap - used, file);
      if (used < cap)
        break;
      if (used > max)
        {
          rc = AB_ERR_TOO_LARGE;
          goto out;
        }
      cap *= 2;
    }
  if (ferror (file))
    goto out;
  if (used > max)
    {
      rc = AB_ERR_TOO_LARGE;
      goto out;
    }
  bytes[used] = '\0';
  *data = bytes;
  *len = used;
  bytes = NULL;
  rc = 0;
out:
  free (bytes);
  fclose (file);
  return rc;
}
