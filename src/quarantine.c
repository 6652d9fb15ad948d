#include "quarantine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "error.h"

/* This host sees the losses of its connections within a few milliseconds of
   the crash, one after another.  One that arrives this long or less after the
   refusal that confirmed the crash still belongs to it.  */
#define LATE_LOSS_MS 250
/* Crashes that block a content: of different targets, or of one.  */
#define BLOCKING_TARGETS 2
#define BLOCKING_CRASHES 3
#define CRASHES_KEPT_MAX 1024
#define FILTER_SIZE 4096
#define ANSWERS_SIZE 512

/* Content of a request that was lost with a target, in a crash that is not
   confirmed yet.  */
struct suspect
{
  struct ab_digest content;
  char label[AB_QUARANTINE_LABEL_BYTES];
  char target[AB_ADDRESS_BYTES];
  uint64_t incarnation;
  uint64_t lost_ms;
};

/* The last successful response to a content.  */
struct answer
{
  struct ab_digest content;
  uint64_t at_ms; /* 0: none.  */
};

struct entry
{
  struct ab_quarantine_record record;
  UT_hash_handle hh;
};

/* The last time at which a target crashed.  */
struct crash
{
  struct ab_quarantine_crash crash;
  uint64_t since_ms;
  UT_hash_handle hh;
};

struct ab_quarantine
{
  const struct ab_quarantine_ops *ops;
  void *ctx;
  uint64_t stamp;
  struct suspect suspects[AB_QUARANTINE_SUSPECTS_MAX];
  size_t suspect_count;
  struct entry *entries;
  struct crash *crashes;
  /* Number of records by a hash of the prefix of their content.  */
  uint16_t filter[FILTER_SIZE];
  /* Each at the place that its content determines; a later one replaces
     it.  */
  struct answer answers[ANSWERS_SIZE];
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

static size_t
filter_index (const uint8_t *prefix)
{
  return ((size_t)prefix[0] << 8 | prefix[1]) % FILTER_SIZE;
}

/* The bytes after the prefix depend on all of the content.  */
static size_t
answer_index (const struct ab_digest *content)
{
  return ((size_t)content->bytes[AB_DIGEST_PREFIX_BYTES] << 8
          | content->bytes[AB_DIGEST_PREFIX_BYTES + 1])
         % ANSWERS_SIZE;
}

/* Deletes suspect I; the last one takes its place.  */
static void
delete_suspect (struct ab_quarantine *quarantine, size_t i)
{
  quarantine->suspects[i] = quarantine->suspects[--quarantine->suspect_count];
}

static void
delete_entry (struct ab_quarantine *quarantine, struct entry *entry)
{
  quarantine->filter[filter_index (entry->record.content.bytes)]--;
  HASH_DEL (quarantine->entries, entry);
  free (entry);
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
  struct entry *entry;
  struct entry *next_entry;
  struct crash *crash;
  struct crash *next_crash;

  if (!quarantine)
    return;
  HASH_ITER (hh, quarantine->entries, entry, next_entry)
  delete_entry (quarantine, entry);
  HASH_ITER (hh, quarantine->crashes, crash, next_crash)
  delete_crash (quarantine, crash);
  free (quarantine);
}

/* Records.  */

static struct entry *
find_entry (const struct ab_quarantine *quarantine,
            const struct ab_digest *content)
{
  struct entry *entry = NULL;

  HASH_FIND (hh, quarantine->entries, content, sizeof *content, entry);
  return entry;
}

static bool
is_expired (const struct ab_quarantine_record *record, uint64_t now_ms)
{
  uint64_t from = record->blocks ? record->blocked_until_ms : record->since_ms;

  return now_ms > from && now_ms - from > AB_QUARANTINE_MARK_MS;
}

/* Deletes the record that changed first among those that are not blocked.
   Returns false when all are.  */
static bool
evict_entry (struct ab_quarantine *quarantine, uint64_t now_ms)
{
  struct entry *oldest = NULL;

  for (struct entry *e = quarantine->entries; e; e = e->hh.next)
    if (now_ms >= e->record.blocked_until_ms
        && (!oldest || e->record.since_ms < oldest->record.since_ms))
      oldest = e;
  if (!oldest)
    return false;
  delete_entry (quarantine, oldest);
  return true;
}

static struct entry *
add_entry (struct ab_quarantine *quarantine,
           const struct ab_quarantine_record *record)
{
  struct entry *entry = calloc (1, sizeof *entry);

  if (!entry)
    return NULL;
  entry->record = *record;
  HASH_ADD (hh, quarantine->entries, record.content,
            sizeof entry->record.content, entry);
  quarantine->filter[filter_index (record->content.bytes)]++;
  return entry;
}

/* Returns the record of CONTENT, which is created if there is none; null when
   there is no room or memory.  */
static struct entry *
find_or_add_entry (struct ab_quarantine *quarantine,
                   const struct ab_digest *content, const char *label,
                   uint64_t now_ms)
{
  struct entry *entry = find_entry (quarantine, content);
  struct ab_quarantine_record record
      = { .content = *content, .since_ms = now_ms };

  if (entry && is_expired (&entry->record, now_ms))
    {
      delete_entry (quarantine, entry);
      entry = NULL;
    }
  if (entry)
    return entry;
  if (HASH_COUNT (quarantine->entries) >= AB_QUARANTINE_RECORDS_MAX
      && !evict_entry (quarantine, now_ms))
    return NULL;
  snprintf (record.label, sizeof record.label, "%s", label);
  return add_entry (quarantine, &record);
}

static void
touch (const struct ab_quarantine *quarantine,
       struct ab_quarantine_record *record, uint64_t now_ms)
{
  record->since_ms = now_ms;
  record->stamp = quarantine->stamp;
}

/* An incarnation that is not known is taken for any one.  */
static bool
is_same_crash (const struct ab_quarantine_crash *a,
               const struct ab_quarantine_crash *b)
{
  return strcmp (a->target, b->target) == 0
         && (a->incarnation == b->incarnation || a->incarnation == 0
             || b->incarnation == 0);
}

bool
ab_quarantine_has_crash (const struct ab_quarantine_record *record,
                         const struct ab_quarantine_crash *crash)
{
  for (size_t i = 0; i < record->crash_count; i++)
    if (is_same_crash (&record->crashes[i], crash))
      return true;
  return false;
}

static size_t
count_targets (const struct ab_quarantine_record *record)
{
  size_t targets = 0;

  for (size_t i = 0; i < record->crash_count; i++)
    {
      bool first = true;
      for (size_t j = 0; j < i; j++)
        if (strcmp (record->crashes[i].target, record->crashes[j].target) == 0)
          first = false;
      targets += first;
    }
  return targets;
}

/* Returns whether a target has crashed lately without RECORD's content.  */
static bool
others_crash (const struct ab_quarantine *quarantine,
              const struct ab_quarantine_record *record, uint64_t now_ms)
{
  for (const struct crash *c = quarantine->crashes; c; c = c->hh.next)
    if (now_ms - c->since_ms <= AB_QUARANTINE_OTHERS_MS
        && !ab_quarantine_has_crash (record, &c->crash))
      return true;
  return false;
}

static bool
has_same_crashes (const struct ab_quarantine_record *a,
                  const struct ab_quarantine_record *b)
{
  if (a->crash_count != b->crash_count)
    return false;
  for (size_t i = 0; i < a->crash_count; i++)
    if (!ab_quarantine_has_crash (b, &a->crashes[i]))
      return false;
  return true;
}

/* Returns whether other content was lost in the same crashes as RECORD's, and
   lifts a block that was based on these alone.  */
static bool
lift_same_crashes (struct ab_quarantine *quarantine,
                   const struct ab_quarantine_record *record, uint64_t now_ms)
{
  bool found = false;

  for (struct entry *e = quarantine->entries; e; e = e->hh.next)
    {
      struct ab_quarantine_record *other = &e->record;
      if (other == record || !has_same_crashes (other, record))
        continue;
      found = true;
      if (other->blocks != 1 || now_ms >= other->blocked_until_ms)
        continue;
      other->blocks = 0;
      other->blocked_until_ms = 0;
      touch (quarantine, other, now_ms);
      if (quarantine->ops->lift)
        quarantine->ops->lift (quarantine->ctx, other);
    }
  return found;
}

/* Returns whether RECORD's content, which has a new crash, is to be blocked.
 */
static bool
is_blocking (struct ab_quarantine *quarantine,
             const struct ab_quarantine_record *record, uint64_t now_ms)
{
  if (record->blocks > 0 || record->crash_count >= BLOCKING_CRASHES)
    return true;
  return count_targets (record) >= BLOCKING_TARGETS
         && !others_crash (quarantine, record, now_ms)
         && !lift_same_crashes (quarantine, record, now_ms);
}

static void
block (struct ab_quarantine *quarantine, struct ab_quarantine_record *record,
       const char *crashed, uint64_t now_ms)
{
  unsigned shift = record->blocks < AB_QUARANTINE_DOUBLINGS
                       ? record->blocks
                       : AB_QUARANTINE_DOUBLINGS;
  uint64_t duration = (uint64_t)AB_QUARANTINE_BLOCK_MS << shift;

  record->blocks++;
  record->blocked_until_ms = now_ms + duration;
  if (quarantine->ops->block)
    quarantine->ops->block (quarantine->ctx, record, crashed, duration);
}

/* Adds CRASH to the record of CONTENT and blocks the content when that is
   enough.  Returns the record, or null if the crash is not new to it or the
   content was blocked already.  */
static struct ab_quarantine_record *
add_crash (struct ab_quarantine *quarantine,
           const struct ab_quarantine_crash *crash,
           const struct ab_digest *content, const char *label, uint64_t now_ms)
{
  struct entry *entry = find_or_add_entry (quarantine, content, label, now_ms);
  struct ab_quarantine_record *record = entry ? &entry->record : NULL;

  if (!record || now_ms < record->blocked_until_ms
      || ab_quarantine_has_crash (record, crash))
    return NULL;
  record->cleared = false;
  if (record->crash_count == AB_QUARANTINE_CRASHES_MAX)
    memmove (&record->crashes[0], &record->crashes[1],
             --record->crash_count * sizeof record->crashes[0]);
  record->crashes[record->crash_count++] = *crash;
  touch (quarantine, record, now_ms);
  if (is_blocking (quarantine, record, now_ms))
    block (quarantine, record, crash->target, now_ms);
  return record;
}

/* Crashes.  */

static struct crash *
find_crash (const struct ab_quarantine *quarantine, const char *target)
{
  struct crash *crash = NULL;

  HASH_FIND_STR (quarantine->crashes, target, crash);
  return crash;
}

static int
record_crash (struct ab_quarantine *quarantine,
              const struct ab_quarantine_crash *crash, uint64_t now_ms)
{
  struct crash *known = find_crash (quarantine, crash->target);

  if (!known)
    {
      if (HASH_COUNT (quarantine->crashes) >= CRASHES_KEPT_MAX)
        return 0;
      known = calloc (1, sizeof *known);
      if (!known)
        return AB_ERR_MEMORY;
      known->crash = *crash;
      HASH_ADD_STR (quarantine->crashes, crash.target, known);
    }
  known->crash = *crash;
  known->since_ms = now_ms;
  return 0;
}

/* Records that this host saw CONTENT crash a target.  */
static void
mark (struct ab_quarantine *quarantine,
      const struct ab_quarantine_crash *crash, const struct ab_digest *content,
      const char *label, uint64_t now_ms)
{
  const struct ab_quarantine_record *record;

  if (ab_quarantine_was_answered (quarantine, content, now_ms))
    return;
  record = add_crash (quarantine, crash, content, label, now_ms);
  if (record && quarantine->ops->mark)
    quarantine->ops->mark (quarantine->ctx, record, crash);
}

static struct ab_quarantine_crash
make_crash (const char *target, uint64_t incarnation)
{
  struct ab_quarantine_crash crash = { .incarnation = incarnation };

  ab_chunk_copy_bounded (ab_chunk_str (target), crash.target,
                         sizeof crash.target);
  return crash;
}

void
ab_quarantine_lost (struct ab_quarantine *quarantine, const char *target,
                    uint64_t incarnation, const struct ab_digest *content,
                    const char *label, uint64_t now_ms)
{
  const struct crash *known = find_crash (quarantine, target);
  const struct ab_quarantine_crash crash = make_crash (target, incarnation);
  struct suspect *suspect;

  if (known && now_ms - known->since_ms <= LATE_LOSS_MS
      && is_same_crash (&known->crash, &crash))
    {
      mark (quarantine, &crash, content, label, now_ms);
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
  snprintf (suspect->label, sizeof suspect->label, "%s", label);
  ab_chunk_copy_bounded (ab_chunk_str (target), suspect->target,
                         sizeof suspect->target);
}

/* Turns the suspects of TARGET into crashes.  If INCARNATION is not 0, only
   losses of earlier incarnations are confirmed.  */
static void
confirm_crash (struct ab_quarantine *quarantine, const char *target,
               uint64_t incarnation, uint64_t now_ms)
{
  uint64_t window_ms
      = incarnation > 0 ? AB_QUARANTINE_RETURN_MS : AB_QUARANTINE_CONFIRM_MS;

  for (size_t i = quarantine->suspect_count; i-- > 0;)
    {
      struct suspect suspect = quarantine->suspects[i];
      struct ab_quarantine_crash crash;

      if (strcmp (suspect.target, target) != 0
          || now_ms - suspect.lost_ms > window_ms
          || (incarnation > 0 && incarnation <= suspect.incarnation))
        continue;
      crash = make_crash (target, suspect.incarnation);
      record_crash (quarantine, &crash, now_ms);
      delete_suspect (quarantine, i);
      mark (quarantine, &crash, &suspect.content, suspect.label, now_ms);
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
ab_quarantine_left (struct ab_quarantine *quarantine, const char *target)
{
  for (size_t i = quarantine->suspect_count; i-- > 0;)
    if (strcmp (quarantine->suspects[i].target, target) == 0)
      delete_suspect (quarantine, i);
}

void
ab_quarantine_forget (struct ab_quarantine *quarantine,
                      const struct ab_digest *content)
{
  struct entry *entry
      = quarantine->entries ? find_entry (quarantine, content) : NULL;

  if (entry)
    delete_entry (quarantine, entry);
  for (size_t i = quarantine->suspect_count; i-- > 0;)
    if (ab_digest_equal (&quarantine->suspects[i].content, content))
      delete_suspect (quarantine, i);
}

void
ab_quarantine_answered (struct ab_quarantine *quarantine,
                        const struct ab_digest *content, uint64_t now_ms)
{
  quarantine->answers[answer_index (content)]
      = (struct answer){ .content = *content, .at_ms = now_ms };
  ab_quarantine_forget (quarantine, content);
}

void
ab_quarantine_clear (struct ab_quarantine *quarantine,
                     const struct ab_digest *content, uint64_t now_ms)
{
  struct entry *entry = find_or_add_entry (quarantine, content, "", now_ms);
  struct ab_quarantine_record *record = entry ? &entry->record : NULL;

  if (!record)
    return;
  record->cleared = true;
  record->crash_count = 0;
  record->blocks = 0;
  record->blocked_until_ms = 0;
  touch (quarantine, record, now_ms);
}

void
ab_quarantine_reported (struct ab_quarantine *quarantine,
                        const struct ab_quarantine_crash *crash,
                        const struct ab_digest *content, const char *label,
                        uint64_t now_ms)
{
  const struct entry *entry = find_entry (quarantine, content);
  const struct ab_quarantine_record *record = entry ? &entry->record : NULL;

  record_crash (quarantine, crash, now_ms);
  if (record && now_ms < record->blocked_until_ms)
    {
      if (quarantine->ops->block)
        quarantine->ops->block (quarantine->ctx, record, crash->target,
                                record->blocked_until_ms - now_ms);
    }
  else
    add_crash (quarantine, crash, content, label, now_ms);
}

void
ab_quarantine_set_stamp (struct ab_quarantine *quarantine, uint64_t stamp)
{
  quarantine->stamp = stamp;
}

bool
ab_quarantine_merge (struct ab_quarantine *quarantine,
                     const struct ab_quarantine_record *other, uint64_t now_ms)
{
  struct entry *entry;
  struct ab_quarantine_record *record;
  bool was_blocked;

  if (other->cleared)
    {
      ab_quarantine_forget (quarantine, &other->content);
      return false;
    }
  entry
      = find_or_add_entry (quarantine, &other->content, other->label, now_ms);
  if (!entry)
    return false;
  record = &entry->record;
  was_blocked = now_ms < record->blocked_until_ms;
  for (size_t i = 0; i < other->crash_count; i++)
    if (record->crash_count < AB_QUARANTINE_CRASHES_MAX
        && !ab_quarantine_has_crash (record, &other->crashes[i]))
      record->crashes[record->crash_count++] = other->crashes[i];
  /* With the same crashes, the decision of the other host counts, which may
     know more records.  */
  if (record->crash_count <= other->crash_count
      || other->blocked_until_ms > record->blocked_until_ms)
    {
      record->blocks = other->blocks;
      record->blocked_until_ms = other->blocked_until_ms;
    }
  record->since_ms = now_ms;
  return !was_blocked && now_ms < record->blocked_until_ms;
}

void
ab_quarantine_tick (struct ab_quarantine *quarantine, uint64_t now_ms)
{
  struct entry *entry;
  struct entry *next_entry;
  struct crash *crash;
  struct crash *next_crash;

  for (size_t i = quarantine->suspect_count; i-- > 0;)
    if (now_ms - quarantine->suspects[i].lost_ms > AB_QUARANTINE_RETURN_MS)
      delete_suspect (quarantine, i);
  HASH_ITER (hh, quarantine->entries, entry, next_entry)
  if (is_expired (&entry->record, now_ms))
    delete_entry (quarantine, entry);
  HASH_ITER (hh, quarantine->crashes, crash, next_crash)
  if (now_ms - crash->since_ms > AB_QUARANTINE_OTHERS_MS)
    delete_crash (quarantine, crash);
}

/* Queries.  */

const struct ab_quarantine_record *
ab_quarantine_find (const struct ab_quarantine *quarantine,
                    const struct ab_digest *content)
{
  const struct entry *entry = find_entry (quarantine, content);

  return entry ? &entry->record : NULL;
}

bool
ab_quarantine_was_answered (const struct ab_quarantine *quarantine,
                            const struct ab_digest *content, uint64_t now_ms)
{
  const struct answer *answer = &quarantine->answers[answer_index (content)];

  return answer->at_ms && now_ms - answer->at_ms <= AB_QUARANTINE_ANSWERED_MS
         && ab_digest_equal (&answer->content, content);
}

uint64_t
ab_quarantine_blocked_ms (const struct ab_quarantine *quarantine,
                          const struct ab_digest *content, uint64_t now_ms)
{
  const struct entry *entry = find_entry (quarantine, content);

  return entry && now_ms < entry->record.blocked_until_ms
             ? entry->record.blocked_until_ms - now_ms
             : 0;
}

bool
ab_quarantine_may_have (const struct ab_quarantine *quarantine,
                        const uint8_t *prefix)
{
  return quarantine->filter[filter_index (prefix)] > 0;
}

size_t
ab_quarantine_suspects (const struct ab_quarantine *quarantine)
{
  return quarantine->suspect_count;
}

size_t
ab_quarantine_records (const struct ab_quarantine *quarantine)
{
  return HASH_COUNT (quarantine->entries);
}

size_t
ab_quarantine_blocked (const struct ab_quarantine *quarantine, uint64_t now_ms)
{
  size_t count = 0;

  for (const struct entry *e = quarantine->entries; e; e = e->hh.next)
    count += now_ms < e->record.blocked_until_ms;
  return count;
}

void
ab_quarantine_visit (const struct ab_quarantine *quarantine,
                     void (*visit) (void *ctx,
                                    const struct ab_quarantine_record *record),
                     void *ctx)
{
  for (const struct entry *e = quarantine->entries; e; e = e->hh.next)
    visit (ctx, &e->record);
}

void
ab_quarantine_visit_crashes (
    const struct ab_quarantine *quarantine,
    void (*visit) (void *ctx, const struct ab_quarantine_crash *crash,
                   uint64_t since_ms),
    void *ctx)
{
  for (const struct crash *c = quarantine->crashes; c; c = c->hh.next)
    visit (ctx, &c->crash, c->since_ms);
}

int
ab_quarantine_restore (struct ab_quarantine *quarantine,
                       const struct ab_quarantine_record *record)
{
  return add_entry (quarantine, record) ? 0 : AB_ERR_MEMORY;
}

int
ab_quarantine_restore_crash (struct ab_quarantine *quarantine,
                             const struct ab_quarantine_crash *crash,
                             uint64_t since_ms)
{
  return record_crash (quarantine, crash, since_ms);
}
