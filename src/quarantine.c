#include "quarantine.h"

#include <stdlib.h>
#include <uthash.h>

/* This host sees the losses of its connections within a few milliseconds of
   the crash, one after another.  One that arrives this long or less after the
   refusal that confirmed the crash still belongs to it.  */
#define LATE_LOSS_MS 250

/* Content of a request that was lost with a target, in a crash that is not
   confirmed yet.  */
struct suspect
{
  struct ab_digest content;
  char target[AB_ADDRESS_BYTES];
  uint64_t incarnation;
  uint64_t lost_ms;
};

/* Content that crashed a target.  */
struct mark
{
  struct ab_digest content;
  char target[AB_ADDRESS_BYTES];
  uint64_t since_ms;
  unsigned blocks; /* How often the content was blocked.  */
  uint64_t blocked_until_ms;
  UT_hash_handle hh;
};

/* The last time at which a target was found to be down after a loss.  */
struct crash
{
  char target[AB_ADDRESS_BYTES];
  uint64_t since_ms;
  UT_hash_handle hh;
};

struct ab_quarantine
{
  const struct ab_quarantine_ops *ops;
  void *ctx;
  struct suspect suspects[AB_QUARANTINE_SUSPECTS_MAX];
  size_t suspect_count;
  struct mark *marks;
  struct crash *crashes;
};

struct ab_quarantine *
ab_quarantine_new (const struct ab_quarantine_ops *ops, void *ctx)
{
  struct ab_quarantine *quarantine = calloc (1, sizeof *quarantine);

  if (!quarantine)
    return NULL;
  quarantine->ops = ops;
  quarantine->ctx = ctx;
  return quarantine;
}

/* Deletes suspect I; the last one takes its place.  */
static void
delete_suspect (struct ab_quarantine *quarantine, size_t i)
{
  quarantine->suspects[i] = quarantine->suspects[--quarantine->suspect_count];
}

static void
delete_mark (struct ab_quarantine *quarantine, struct mark *mark)
{
  HASH_DEL (quarantine->marks, mark);
  free (mark);
}

static void
delete_crash (struct ab_quarantine *quarantine, struct crash *crash)
{
  HASH_DEL (quarantine->crashes, crash);
  free (crash);
}

void
ab_quarantine_free (struct ab_quarantine *quarantine)
{
  struct mark *mark;
  struct mark *next_mark;
  struct crash *crash;
  struct crash *next_crash;

  if (!quarantine)
    return;
  HASH_ITER (hh, quarantine->marks, mark, next_mark)
  delete_mark (quarantine, mark);
  HASH_ITER (hh, quarantine->crashes, crash, next_crash)
  delete_crash (quarantine, crash);
  free (quarantine);
}

static struct mark *
find_mark (struct ab_quarantine *quarantine, const struct ab_digest *content)
{
  struct mark *mark = NULL;

  HASH_FIND (hh, quarantine->marks, content, sizeof *content, mark);
  return mark;
}

static bool
is_expired (const struct mark *mark, uint64_t now_ms)
{
  uint64_t from = mark->blocks ? mark->blocked_until_ms : mark->since_ms;

  return now_ms > from && now_ms - from > AB_QUARANTINE_MARK_MS;
}

static void
block (struct ab_quarantine *quarantine, struct mark *mark, const char *target,
       uint64_t now_ms)
{
  unsigned shift = mark->blocks < AB_QUARANTINE_DOUBLINGS
                       ? mark->blocks
                       : AB_QUARANTINE_DOUBLINGS;
  uint64_t duration = (uint64_t)AB_QUARANTINE_BLOCK_MS << shift;

  mark->blocks++;
  mark->blocked_until_ms = now_ms + duration;
  quarantine->ops->block (quarantine->ctx, &mark->content, mark->target,
                          target, duration);
}

static struct mark *
create_mark (struct ab_quarantine *quarantine, const struct ab_digest *content,
             const char *target, uint64_t now_ms)
{
  struct mark *mark;

  if (HASH_COUNT (quarantine->marks) >= AB_QUARANTINE_MARKS_MAX)
    return NULL;
  mark = calloc (1, sizeof *mark);
  if (!mark)
    return NULL;
  mark->content = *content;
  ab_chunk_copy (ab_chunk_str (target), mark->target, sizeof mark->target);
  mark->since_ms = now_ms;
  HASH_ADD (hh, quarantine->marks, content, sizeof mark->content, mark);
  return mark;
}

/* Adds the mark of TARGET to CONTENT.  If the content has a mark of another
   target or was blocked before, it is blocked.  Returns whether the content
   had no mark before.  */
static bool
add_mark (struct ab_quarantine *quarantine, const struct ab_digest *content,
          const char *target, uint64_t now_ms)
{
  struct mark *mark = find_mark (quarantine, content);

  if (mark && is_expired (mark, now_ms))
    {
      delete_mark (quarantine, mark);
      mark = NULL;
    }
  if (!mark)
    return create_mark (quarantine, content, target, now_ms) != NULL;
  if (now_ms >= mark->blocked_until_ms
      && (mark->blocks > 0 || strcmp (mark->target, target) != 0))
    block (quarantine, mark, target, now_ms);
  return false;
}

static void
mark_content (struct ab_quarantine *quarantine,
              const struct ab_digest *content, const char *target,
              uint64_t now_ms)
{
  if (add_mark (quarantine, content, target, now_ms))
    quarantine->ops->mark (quarantine->ctx, content, target);
}

static struct crash *
find_crash (struct ab_quarantine *quarantine, const char *target)
{
  struct crash *crash = NULL;

  HASH_FIND_STR (quarantine->crashes, target, crash);
  return crash;
}

static void
record_crash (struct ab_quarantine *quarantine, const char *target,
              uint64_t now_ms)
{
  struct crash *crash = find_crash (quarantine, target);

  if (!crash)
    {
      crash = calloc (1, sizeof *crash);
      if (!crash)
        return;
      ab_chunk_copy (ab_chunk_str (target), crash->target,
                     sizeof crash->target);
      HASH_ADD_STR (quarantine->crashes, target, crash);
    }
  crash->since_ms = now_ms;
}

void
ab_quarantine_lost (struct ab_quarantine *quarantine, const char *target,
                    uint64_t incarnation, const struct ab_digest *content,
                    uint64_t now_ms)
{
  const struct crash *crash = find_crash (quarantine, target);
  struct suspect *suspect;

  if (crash && now_ms - crash->since_ms <= LATE_LOSS_MS)
    {
      mark_content (quarantine, content, target, now_ms);
      return;
    }
  /* When the table is full, the first entry is overwritten: so many losses are
     not caused by a single request.  */
  suspect = quarantine->suspect_count < AB_QUARANTINE_SUSPECTS_MAX
                ? &quarantine->suspects[quarantine->suspect_count++]
                : &quarantine->suspects[0];
  *suspect = (struct suspect){ .content = *content,
                               .incarnation = incarnation,
                               .lost_ms = now_ms };
  ab_chunk_copy (ab_chunk_str (target), suspect->target,
                 sizeof suspect->target);
}

/* Turns the suspects of TARGET into marks.  If INCARNATION is not 0, only
   losses of earlier incarnations are confirmed.  */
static void
confirm_crash (struct ab_quarantine *quarantine, const char *target,
               uint64_t incarnation, uint64_t now_ms)
{
  for (size_t i = quarantine->suspect_count; i-- > 0;)
    {
      struct suspect suspect = quarantine->suspects[i];

      if (strcmp (suspect.target, target) != 0
          || now_ms - suspect.lost_ms > AB_QUARANTINE_CONFIRM_MS
          || (incarnation > 0 && incarnation <= suspect.incarnation))
        continue;
      record_crash (quarantine, target, now_ms);
      delete_suspect (quarantine, i);
      mark_content (quarantine, &suspect.content, target, now_ms);
    }
}

void
ab_quarantine_refused (struct ab_quarantine *quarantine, const char *target,
                       uint64_t now_ms)
{
  confirm_crash (quarantine, target, 0, now_ms);
}

void
ab_quarantine_announced (struct ab_quarantine *quarantine, const char *target,
                         uint64_t incarnation, uint64_t now_ms)
{
  confirm_crash (quarantine, target, incarnation, now_ms);
}

void
ab_quarantine_answered (struct ab_quarantine *quarantine,
                        const struct ab_digest *content)
{
  struct mark *mark
      = quarantine->marks ? find_mark (quarantine, content) : NULL;

  if (mark)
    delete_mark (quarantine, mark);
  for (size_t i = quarantine->suspect_count; i-- > 0;)
    if (ab_digest_equal (&quarantine->suspects[i].content, content))
      delete_suspect (quarantine, i);
}

void
ab_quarantine_forget (struct ab_quarantine *quarantine,
                      const struct ab_digest *content)
{
  ab_quarantine_answered (quarantine, content);
}

void
ab_quarantine_reported (struct ab_quarantine *quarantine, const char *target,
                        const struct ab_digest *content, uint64_t now_ms)
{
  const struct mark *mark = find_mark (quarantine, content);

  if (mark && now_ms < mark->blocked_until_ms)
    quarantine->ops->block (quarantine->ctx, content, mark->target, target,
                            mark->blocked_until_ms - now_ms);
  else
    add_mark (quarantine, content, target, now_ms);
}

void
ab_quarantine_tick (struct ab_quarantine *quarantine, uint64_t now_ms)
{
  struct mark *mark;
  struct mark *next_mark;
  struct crash *crash;
  struct crash *next_crash;

  for (size_t i = quarantine->suspect_count; i-- > 0;)
    if (now_ms - quarantine->suspects[i].lost_ms > AB_QUARANTINE_CONFIRM_MS)
      delete_suspect (quarantine, i);
  HASH_ITER (hh, quarantine->marks, mark, next_mark)
  if (is_expired (mark, now_ms))
    delete_mark (quarantine, mark);
  HASH_ITER (hh, quarantine->crashes, crash, next_crash)
  if (now_ms - crash->since_ms > LATE_LOSS_MS)
    delete_crash (quarantine, crash);
}

size_t
ab_quarantine_suspects (const struct ab_quarantine *quarantine)
{
  return quarantine->suspect_count;
}

size_t
ab_quarantine_marks (const struct ab_quarantine *quarantine)
{
  return HASH_COUNT (quarantine->marks);
}
