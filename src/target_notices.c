#include "target_notices.h"

#include <ctype.h>
#include <stdlib.h>
#include <uthash.h>

#include "settings.h"

#define MS_PER_S 1000
#define NUMBER_BYTES 32

struct notice
{
  char target[AB_NAME_BYTES];
  uint64_t started_ms;
  uint64_t learnt_ms;
  uint64_t pause_until_ms;
  bool leaving;
  UT_hash_handle hh;
};

struct ab_target_notices
{
  struct notice *notices;
};

struct ab_target_notices *
ab_target_notices_new (void)
{
  return calloc (1, sizeof (struct ab_target_notices));
}

void
ab_target_notices_free (struct ab_target_notices *notices)
{
  struct notice *notice;

  if (!notices)
    return;
  notice = notices->notices;
  HASH_CLEAR (hh, notices->notices);
  while (notice)
    {
      struct notice *next = notice->hh.next;
      free (notice);
      notice = next;
    }
  free (notices);
}

static struct notice *
find (const struct ab_target_notices *notices, const char *target)
{
  struct notice *notice = NULL;

  HASH_FIND_STR (notices->notices, target, notice);
  return notice;
}

/* Returns the notice of the incarnation STARTED_MS of TARGET, which replaces
   that of another one, or null without memory.  */
static struct notice *
get (struct ab_target_notices *notices, const char *target,
     uint64_t started_ms, uint64_t now_ms)
{
  struct notice *notice = find (notices, target);

  if (!notice)
    {
      notice = calloc (1, sizeof *notice);
      if (!notice)
        return NULL;
      ab_chunk_copy_bounded (ab_chunk_str (target), notice->target,
                             sizeof notice->target);
      HASH_ADD_STR (notices->notices, target, notice);
      notice->started_ms = started_ms;
    }
  if (notice->started_ms != started_ms)
    {
      notice->started_ms = started_ms;
      notice->leaving = false;
      notice->pause_until_ms = 0;
    }
  notice->learnt_ms = now_ms;
  return notice;
}

bool
ab_target_notices_leave (struct ab_target_notices *notices, const char *target,
                         uint64_t started_ms, uint64_t now_ms)
{
  struct notice *notice = get (notices, target, started_ms, now_ms);
  bool is_new = notice && !notice->leaving;

  if (notice)
    notice->leaving = true;
  return is_new;
}

bool
ab_target_notices_pause (struct ab_target_notices *notices, const char *target,
                         uint64_t started_ms, uint64_t pause_ms,
                         uint64_t now_ms)
{
  struct notice *notice = get (notices, target, started_ms, now_ms);
  bool is_new = notice && now_ms >= notice->pause_until_ms && pause_ms > 0;

  if (notice && now_ms + pause_ms > notice->pause_until_ms)
    notice->pause_until_ms = now_ms + pause_ms;
  return is_new;
}

enum ab_target_notice
ab_target_notices_find (const struct ab_target_notices *notices,
                        const char *target, uint64_t started_ms,
                        uint64_t now_ms, uint64_t *left_ms)
{
  const struct notice *notice = find (notices, target);

  *left_ms = 0;
  if (!notice || notice->started_ms != started_ms)
    return AB_NOTICE_NONE;
  if (notice->leaving)
    return AB_NOTICE_LEAVE;
  if (now_ms >= notice->pause_until_ms)
    return AB_NOTICE_NONE;
  *left_ms = notice->pause_until_ms - now_ms;
  return AB_NOTICE_PAUSE;
}

void
ab_target_notices_set_target (struct ab_target_notices *notices,
                              const char *target, uint64_t started_ms)
{
  struct notice *notice = find (notices, target);

  if (!notice || (started_ms && notice->started_ms == started_ms))
    return;
  HASH_DEL (notices->notices, notice);
  free (notice);
}

size_t
ab_target_notices_count (const struct ab_target_notices *notices)
{
  return HASH_COUNT (notices->notices);
}

json_t *
ab_target_notices_state (const struct ab_target_notices *notices,
                         uint64_t now_ms)
{
  json_t *list = json_array ();

  for (const struct notice *n = notices->notices; n; n = n->hh.next)
    {
      uint64_t left_ms;
      enum ab_target_notice kind = ab_target_notices_find (
          notices, n->target, n->started_ms, now_ms, &left_ms);
      if (kind == AB_NOTICE_NONE)
        continue;
      json_array_append_new (
          list,
          json_pack ("{s:s, s:s, s:I, s:I}", "target", n->target, "notice",
                     kind == AB_NOTICE_LEAVE ? "leave" : "pause", "age_ms",
                     (json_int_t)(now_ms - n->learnt_ms), "left_ms",
                     (json_int_t)left_ms));
    }
  return list;
}

bool
ab_target_pause_parse (struct ab_chunk text, uint64_t *pause_ms)
{
  char number[NUMBER_BYTES];
  char *end;
  double seconds;

  /* strtod alone would accept signs, exponents, hexadecimal numbers and
     names.  */
  if (!ab_chunk_copy (text, number, sizeof number)
      || !isdigit ((unsigned char)number[0])
      || strspn (number, "0123456789.") != strlen (number))
    return false;
  seconds = strtod (number, &end);
  if (*end)
    return false;
  *pause_ms = seconds < (double)AB_TARGET_PAUSE_MAX_MS / MS_PER_S
                  ? (uint64_t)(seconds * MS_PER_S)
                  : AB_TARGET_PAUSE_MAX_MS;
  return true;
}
