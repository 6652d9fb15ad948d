#include "team_table.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "error.h"

#define KEY_DIGEST_BYTES 16

struct team_key
{
  unsigned char digest[KEY_DIGEST_BYTES];
  uint32_t team; /* Index into the table's teams.  */
};

struct ab_team_table
{
  unsigned char secret[crypto_generichash_KEYBYTES];
  struct ab_fleet_team *teams; /* In order of their names.  */
  size_t team_count;
  struct team_key *keys; /* In order of their digests.  */
  size_t key_count;
};

static void
digest_key (const struct ab_team_table *table, struct ab_chunk key,
            unsigned char digest[KEY_DIGEST_BYTES])
{
  crypto_generichash (digest, KEY_DIGEST_BYTES,
                      (const unsigned char *)key.data, key.len, table->secret,
                      sizeof table->secret);
}

static int
compare_keys (const void *a, const void *b)
{
  const struct team_key *left = a;
  const struct team_key *right = b;

  return memcmp (left->digest, right->digest, KEY_DIGEST_BYTES);
}

static int
compare_teams (const void *a, const void *b)
{
  const struct ab_fleet_team *left = a;
  const struct ab_fleet_team *right = b;

  return strcmp (left->name, right->name);
}

static int
fail (char *error, const char *reason, const char *team)
{
  snprintf (error, AB_CONF_ERROR_BYTES, "team '%s': %s", team, reason);
  return AB_ERR_INVALID;
}

static int
read_number (const json_t *item, const char *member, uint64_t *value)
{
  const json_t *number = json_object_get (item, member);

  if (!number || json_is_null (number))
    return 0;
  if (!json_is_number (number) || json_number_value (number) < 0)
    return AB_ERR_INVALID;
  /* A fraction of a request counts as a whole one: 0 would mean no limit.  */
  *value = (uint64_t)json_number_value (number);
  *value += (double)*value < json_number_value (number);
  return 0;
}

static int
read_team (const json_t *item, struct ab_fleet_team *team, char *error)
{
  const json_t *name = json_object_get (item, "name");

  if (!json_is_string (name) || json_string_length (name) == 0
      || strlen (json_string_value (name)) != json_string_length (name)
      || !ab_chunk_copy (ab_chunk_str (json_string_value (name)), team->name,
                         sizeof team->name))
    return fail (error, "'name' must be a string of 1 to 63 bytes", "");
  /* The name is a header value for targets.  */
  for (const char *c = team->name; *c; c++)
    if ((unsigned char)*c <= ' ' || *c == 0x7f)
      return fail (error, "'name' has a space or a control character", "");
  if (read_number (item, "priority", &team->priority) < 0
      || read_number (item, "rate_per_s", &team->rate_per_s) < 0
      || read_number (item, "burst", &team->burst) < 0)
    return fail (error,
                 "'priority', 'rate_per_s' and 'burst' must be numbers of at "
                 "least 0",
                 team->name);
  return 0;
}

/* Sums up the lengths of the teams' lists of keys.  */
static size_t
count_keys (const json_t *list)
{
  size_t count = 0;

  for (size_t i = 0; i < json_array_size (list); i++)
    count += json_array_size (
        json_object_get (json_array_get (list, i), "keys"));
  return count;
}

static int
read_keys (struct ab_team_table *table, const json_t *item, const char *name,
           char *error)
{
  const struct ab_fleet_team *team
      = ab_team_table_find (table, ab_chunk_str (name));
  const json_t *keys = json_object_get (item, "keys");

  if (keys && !json_is_null (keys) && !json_is_array (keys))
    return fail (error, "'keys' must be a list", name);
  for (size_t i = 0; i < json_array_size (keys); i++)
    {
      const json_t *key = json_array_get (keys, i);
      struct team_key *entry = &table->keys[table->key_count];
      size_t len = json_string_length (key);
      if (!json_is_string (key) || len == 0 || len > AB_TEAM_KEY_BYTES_MAX)
        return fail (error, "a key must be a string of 1 to 255 bytes", name);
      digest_key (table, ab_chunk (json_string_value (key), len),
                  entry->digest);
      entry->team = (uint32_t)(team - table->teams);
      table->key_count++;
    }
  return 0;
}

static int
read_all_keys (struct ab_team_table *table, const json_t *list, char *error)
{
  int rc = 0;

  for (size_t i = 0; i < json_array_size (list) && rc == 0; i++)
    {
      const json_t *item = json_array_get (list, i);
      rc = read_keys (table, item,
                      json_string_value (json_object_get (item, "name")),
                      error);
    }
  if (rc < 0)
    return rc;
  qsort (table->keys, table->key_count, sizeof *table->keys, compare_keys);
  for (size_t i = 1; i < table->key_count; i++)
    if (compare_keys (&table->keys[i - 1], &table->keys[i]) == 0
        && table->keys[i - 1].team != table->keys[i].team)
      return fail (error, "one of its keys is also that of another team",
                   table->teams[table->keys[i].team].name);
  return 0;
}

static int
read_all_teams (struct ab_team_table *table, const json_t *list, char *error)
{
  int rc = 0;

  for (size_t i = 0; i < json_array_size (list) && rc == 0; i++)
    {
      rc = read_team (json_array_get (list, i), &table->teams[i], error);
      table->team_count = i + 1;
    }
  if (rc < 0)
    return rc;
  qsort (table->teams, table->team_count, sizeof *table->teams, compare_teams);
  for (size_t i = 1; i < table->team_count; i++)
    if (strcmp (table->teams[i - 1].name, table->teams[i].name) == 0)
      return fail (error, "the name is listed twice", table->teams[i].name);
  return 0;
}

int
ab_team_table_read (const json_t *list, struct ab_team_table **table,
                    char error[AB_CONF_ERROR_BYTES])
{
  struct ab_team_table *result = NULL;
  size_t count = json_array_size (list);
  int rc;

  *table = NULL;
  if (!json_is_array (list) || count > AB_FLEET_TEAMS_MAX)
    {
      snprintf (error, AB_CONF_ERROR_BYTES,
                "'teams' must be a list of at most %d", AB_FLEET_TEAMS_MAX);
      return AB_ERR_INVALID;
    }
  if (sodium_init () < 0)
    return AB_ERR_UNAVAILABLE;
  result = calloc (1, sizeof *result);
  if (!result)
    return AB_ERR_MEMORY;
  randombytes_buf (result->secret, sizeof result->secret);
  result->teams = calloc (count + 1, sizeof *result->teams);
  result->keys = calloc (count_keys (list) + 1, sizeof *result->keys);
  rc = result->teams && result->keys ? 0 : AB_ERR_MEMORY;
  if (rc == 0)
    rc = read_all_teams (result, list, error);
  if (rc == 0)
    rc = read_all_keys (result, list, error);
  if (rc < 0)
    ab_team_table_free (result);
  else
    *table = result;
  return rc;
}

void
ab_team_table_free (struct ab_team_table *table)
{
  if (!table)
    return;
  free (table->teams);
  free (table->keys);
  free (table);
}

size_t
ab_team_table_count (const struct ab_team_table *table)
{
  return table->team_count;
}

const struct ab_fleet_team *
ab_team_table_find (const struct ab_team_table *table, struct ab_chunk name)
{
  struct ab_fleet_team wanted = { 0 };

  if (!ab_chunk_copy (name, wanted.name, sizeof wanted.name))
    return NULL;
  return bsearch (&wanted, table->teams, table->team_count,
                  sizeof *table->teams, compare_teams);
}

const struct ab_fleet_team *
ab_team_table_find_key (const struct ab_team_table *table, struct ab_chunk key)
{
  struct team_key wanted = { 0 };
  const struct team_key *found;

  digest_key (table, key, wanted.digest);
  found = bsearch (&wanted, table->keys, table->key_count, sizeof *table->keys,
                   compare_keys);
  return found ? &table->teams[found->team] : NULL;
}
