#include "rate_limit.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define NUMBER_BYTES 64

struct entry
{
  char target[AB_NAME_BYTES];
  uint64_t started_ms;
  uint64_t per_1000_s;
  uint64_t heard_ms;
  char source[AB_ADDRESS_BYTES];
  char peer[AB_ADDRESS_BYTES]; /* Last host recorded to know the limit.  */
  uint64_t peer_incarnation;
  UT_hash_handle hh;
};

struct ab_rate_limits
{
  struct entry *entries;
};

bool
ab_rate_limit_parse (struct ab_chunk text, uint64_t *per_1000_s)
{
  char copy[NUMBER_BYTES];
  char *end;
  double number;

  /* strtod would accept spaces, signs, "inf" and hexadecimal numbers too.  */
  if (!ab_chunk_copy (text, copy, sizeof copy) || copy[0] == '\0'
      || strspn (copy, "0123456789.") != strlen (copy))
    return false;
  number = strtod (copy, &end) * 1000;
  if (end == copy || *end != '\0')
    return false;
  if (number > AB_RATE_LIMIT_MAX)
    number = AB_RATE_LIMIT_MAX;
  if (number < AB_RATE_LIMIT_MIN)
    number = AB_RATE_LIMIT_MIN;
  *per_1000_s = (uint64_t)number;
  return true;
}

struct ab_rate_limits *
ab_rate_limits_new (void)
{
  return calloc (1, sizeof (struct ab_rate_limits));
}

void
ab_rate_limits_free (struct ab_rate_limits *limits)
{
  struct entry *entry;

  if (!limits)
    return;
  entry = limits->entries;
  HASH_CLEAR (hh, limits->entries);
  while (entry)
    {
      struct entry *next = entry->hh.next;
      free (entry);
      entry = next;
    }
  free (limits);
}

static struct entry *
find_entry (const struct ab_rate_limits *limits, const char *target)
{
  struct entry *entry = NULL;

  HASH_FIND_STR (limits->entries, target, entry);
  return entry;
}

static struct entry *
add_entry (struct ab_rate_limits *limits, const char *target)
{
  struct entry *entry = calloc (1, sizeof *entry);

  if (!entry)
    return NULL;
  ab_chunk_copy_bounded (ab_chunk_str (target), entry->target,
                         sizeof entry->target);
  HASH_ADD_STR (limits->entries, target, entry);
  return entry;
}

/* Returns whether ENTRY is about a later incarnation than LIMIT, or knows
   something newer of the same one.  */
static bool
is_newer (const struct entry *entry, const struct ab_rate_limit *limit,
          uint64_t heard_ms)
{
  if (entry->started_ms != limit->started_ms)
    return entry->started_ms > limit->started_ms;
  if (limit->per_1000_s == AB_RATE_LIMIT_NONE)
    return entry->heard_ms >= heard_ms;
  return entry->heard_ms > heard_ms;
}

enum ab_rate_limit_result
ab_rate_limits_learn (struct ab_rate_limits *limits,
                      const struct ab_rate_limit *limit, const char *source,
                      uint64_t now_ms)
{
  uint64_t heard_ms = now_ms > limit->age_ms ? now_ms - limit->age_ms : 0;
  struct entry *entry = find_entry (limits, limit->target);
  uint64_t previous = AB_RATE_LIMIT_NONE;

  if (!entry)
    {
      if (limit->per_1000_s == AB_RATE_LIMIT_NONE)
        return AB_RATE_LIMIT_UNCHANGED;
      entry = add_entry (limits, limit->target);
      if (!entry)
        return AB_RATE_LIMIT_UNCHANGED;
    }
  else if (is_newer (entry, limit, heard_ms))
    return AB_RATE_LIMIT_OUTDATED;
  else if (entry->started_ms == limit->started_ms)
    previous = entry->per_1000_s;
  if (entry->started_ms != limit->started_ms)
    entry->peer[0] = '\0';
  entry->started_ms = limit->started_ms;
  entry->per_1000_s = limit->per_1000_s;
  entry->heard_ms = heard_ms;
  ab_chunk_copy_bounded (ab_chunk_str (source), entry->source,
                         sizeof entry->source);
  return limit->per_1000_s == previous ? AB_RATE_LIMIT_UNCHANGED
                                       : AB_RATE_LIMIT_CHANGED;
}

void
ab_rate_limits_forget (struct ab_rate_limits *limits, const char *target)
{
  struct entry *entry = find_entry (limits, target);

  if (!entry)
    return;
  HASH_DEL (limits->entries, entry);
  free (entry);
}

bool
ab_rate_limits_find (const struct ab_rate_limits *limits, const char *target,
                     uint64_t started_ms, uint64_t now_ms,
                     struct ab_rate_limit *limit)
{
  const struct entry *entry = find_entry (limits, target);

  if (!entry || entry->started_ms != started_ms)
    return false;
  memcpy (limit->target, entry->target, sizeof limit->target);
  limit->started_ms = entry->started_ms;
  limit->per_1000_s = entry->per_1000_s;
  limit->age_ms = now_ms - entry->heard_ms;
  return true;
}

void
ab_rate_limits_set_peer (struct ab_rate_limits *limits, const char *target,
                         const char *peer, uint64_t incarnation)
{
  struct entry *entry = find_entry (limits, target);

  if (!entry)
    return;
  ab_chunk_copy_bounded (ab_chunk_str (peer), entry->peer, sizeof entry->peer);
  entry->peer_incarnation = incarnation;
}

bool
ab_rate_limits_peer_knows (const struct ab_rate_limits *limits,
                           const char *target, const char *peer,
                           uint64_t incarnation)
{
  const struct entry *entry = find_entry (limits, target);

  return !entry || entry->per_1000_s == AB_RATE_LIMIT_NONE
         || (strcmp (entry->peer, peer) == 0
             && entry->peer_incarnation == incarnation);
}

size_t
ab_rate_limits_count (const struct ab_rate_limits *limits)
{
  size_t count = 0;

  for (const struct entry *e = limits->entries; e; e = e->hh.next)
    count += e->per_1000_s != AB_RATE_LIMIT_NONE;
  return count;
}

json_t *
ab_rate_limits_state (const struct ab_rate_limits *limits, uint64_t now_ms)
{
  json_t *list = json_array ();

  for (const struct entry *e = limits->entries; e; e = e->hh.next)
    if (e->per_1000_s != AB_RATE_LIMIT_NONE)
      json_array_append_new (
          list,
          json_pack ("{s:s, s:f, s:s, s:I}", "target", e->target, "per_s",
                     (double)e->per_1000_s / 1000, "source", e->source,
                     "age_ms", (json_int_t)(now_ms - e->heard_ms)));
  return list;
}
