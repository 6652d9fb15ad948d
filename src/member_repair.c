#include <endian.h>

#include "error.h"
#include "member_core.h"

/* Anti-entropy by digests.  A host sends the hashes of its buckets.  The other
   host answers, for buckets that differ, with the hashes of their leaves or,
   when there are few items, with a summary of them.  The summary is answered
   with the items that are missing or differ, and with the keys of the items
   that the answering host wants.  */

#define DIGEST_INTERVAL_MS 5000
#define JOIN_INTERVAL_MS 500
/* Interval while differences are found and no updates are queued.  */
#define DIFFERING_INTERVAL_MS 400
/* A bucket with at most this many items is summarised as a whole.  */
#define SUMMARY_ITEMS_MAX 16
/* Limits of a summary: ranges of leaves, and entries of 14 bytes each.  */
#define RANGES_MAX 8
#define SUMMARY_ENTRIES_MAX 32
#define CROSS_REGION_DIGEST_EVERY 16
#define DIGEST_FIELDS_MAX 16
/* Least tokens for the first reply of a round, and for the messages that
   follow.  The token bucket is small, so that the start of a round must leave
   some for its end.  */
#define REPLY_RESERVE 900
#define REPAIR_RESERVE 250
#define JOIN_PACKET_BYTES 8192 /* Largest packet to a joining host.  */
/* With at most this many different buckets, views count as nearly equal:
   updates in transit make a few buckets differ at any time.  */
#define NEARLY_EQUAL 2
#define NEARLY_EQUAL_ROUNDS 4

enum digest_kind
{
  DIGEST_TOP,     /* joining, hashes of the buckets */
  DIGEST_BUCKET,  /* bucket, hashes of its leaves */
  DIGEST_SUMMARY, /* ranges of leaves, keys and hashes of their items */
  DIGEST_WANT,    /* keys */
  DIGEST_DIFFERS  /* number of buckets that differ */
};

/* Starts a DIGEST packet of KIND, which has FIELDS more fields.  */
static void
begin_digest (struct ab_membership *m, enum digest_kind kind, size_t fields)
{
  ab_buf_clear (&m->packet);
  ab_pack_array (&m->packet, fields + 1);
  ab_pack_u64 (&m->packet, kind);
}

/* Hashes are truncated to 32 bits: a difference is missed once in 2^32 times,
   and only until the next change.  */
static uint32_t
truncate_hash (uint64_t hash)
{
  return (uint32_t)(hash >> 32);
}

static void
read_hashes (struct ab_reader *reader, uint32_t *hashes, size_t count)
{
  ab_reader_fixed_bytes (reader, hashes, count * sizeof hashes[0]);
  for (size_t i = 0; i < count; i++)
    hashes[i] = le32toh (hashes[i]);
}

static void
pack_hashes (struct ab_membership *m, const uint64_t *hashes, size_t count)
{
  uint32_t truncated[MEMBER_BUCKETS];

  for (size_t i = 0; i < count; i++)
    truncated[i] = htole32 (truncate_hash (hashes[i]));
  ab_pack_bytes (&m->packet,
                 ab_chunk (truncated, count * sizeof truncated[0]));
}

static void
send_top (struct ab_membership *m, struct ab_member *host, bool joining)
{
  begin_digest (m, DIGEST_TOP, 2);
  ab_pack_bool (&m->packet, joining);
  pack_hashes (m, m->bucket_hash, MEMBER_BUCKETS);
  member_send (m, host, AB_FRAME_DIGEST);
}

static void
send_differs (struct ab_membership *m, struct ab_member *host, size_t count)
{
  begin_digest (m, DIGEST_DIFFERS, 1);
  ab_pack_u64 (&m->packet, count);
  member_send (m, host, AB_FRAME_DIGEST);
}

static void
send_bucket (struct ab_membership *m, struct ab_member *host, size_t bucket)
{
  begin_digest (m, DIGEST_BUCKET, 2);
  ab_pack_u64 (&m->packet, bucket);
  pack_hashes (m, &m->leaf_hash[bucket * MEMBER_LEAVES_PER_BUCKET],
               MEMBER_LEAVES_PER_BUCKET);
  member_send (m, host, AB_FRAME_DIGEST);
}

/* The leaves of one summary, as ranges of leaf numbers.  */
struct ranges
{
  size_t first[RANGES_MAX];
  size_t end[RANGES_MAX];
  size_t count;
  size_t entries; /* Items in them on this host.  */
};

static bool
ranges_full (const struct ranges *ranges, size_t more_entries)
{
  return ranges->count == RANGES_MAX
         || (ranges->count > 0
             && ranges->entries + more_entries > SUMMARY_ENTRIES_MAX);
}

static void
add_range (struct ranges *ranges, size_t first, size_t count, size_t entries)
{
  ranges->first[ranges->count] = first;
  ranges->end[ranges->count++] = first + count;
  ranges->entries += entries;
}

static bool
in_ranges (const struct ranges *ranges, size_t leaf)
{
  for (size_t i = 0; i < ranges->count; i++)
    if (leaf >= ranges->first[i] && leaf < ranges->end[i])
      return true;
  return false;
}

/* Sends the keys and truncated hashes of the items in RANGES, and empties
   RANGES.  */
static void
send_summary (struct ab_membership *m, struct ab_member *host,
              struct ranges *ranges)
{
  size_t count = 0;

  if (ranges->count == 0)
    return;
  ab_buf_clear (&m->items);
  for (size_t r = 0; r < ranges->count; r++)
    for (size_t i = ranges->first[r]; i < ranges->end[r]; i++)
      for (const struct ab_member *member = m->leaves[i]; member;
           member = member->next)
        {
          if (!member->digest_hash || count == SUMMARY_ENTRIES_MAX)
            continue;
          ab_pack_u64 (&m->items, member->item.key);
          ab_pack_u64 (&m->items, truncate_hash (member->digest_hash));
          count++;
        }
  begin_digest (m, DIGEST_SUMMARY, 2);
  ab_pack_array (&m->packet, 2 * ranges->count);
  for (size_t r = 0; r < ranges->count; r++)
    {
      ab_pack_u64 (&m->packet, ranges->first[r]);
      ab_pack_u64 (&m->packet, ranges->end[r]);
    }
  ab_pack_array (&m->packet, 2 * count);
  ab_buf_append_chunk (&m->packet, ab_buf_chunk (&m->items));
  member_send (m, host, AB_FRAME_DIGEST);
  /* A batch may be collected in this buffer next.  */
  ab_buf_clear (&m->items);
  ranges->count = 0;
  ranges->entries = 0;
}

/* Items that are collected in M's items to be sent to HOST in one packet.  */
struct batch
{
  struct ab_member *host;
  size_t count;
  size_t bytes_max;
  bool joining; /* HOST lacks the whole view: credit may be used.  */
};

static bool
may_repair (const struct ab_membership *m, bool joining)
{
  return joining ? m->credit > JOIN_PACKET_BYTES
                 : m->tokens > (double)(REPAIR_RESERVE + m->items.len);
}

static bool
may_answer (const struct ab_membership *m, bool joining)
{
  return joining ? m->credit > JOIN_PACKET_BYTES : m->tokens > REPLY_RESERVE;
}

static void
send_batch (struct ab_membership *m, struct batch *batch)
{
  if (batch->count == 0)
    return;
  ab_buf_clear (&m->packet);
  ab_pack_array (&m->packet, batch->count);
  ab_buf_append_chunk (&m->packet, ab_buf_chunk (&m->items));
  member_send (m, batch->host, AB_FRAME_REPAIR);
  m->stats.repaired += batch->count;
  ab_buf_clear (&m->items);
  batch->count = 0;
}

/* Adds an item, and sends the batch when it is full.  Returns false when the
   token bucket does not allow it now.  */
static bool
add_to_batch (struct ab_membership *m, struct batch *batch,
              struct ab_member *member)
{
  if (!may_repair (m, batch->joining))
    return false;
  member_refresh_age (m, member);
  ab_item_pack (&member->item, &m->items);
  batch->count++;
  if (m->items.len + AB_ITEM_BYTES_MAX / 2 > batch->bytes_max)
    send_batch (m, batch);
  return true;
}

static bool
send_whole_bucket (struct ab_membership *m, struct batch *batch, size_t bucket)
{
  for (size_t i = 0; i < MEMBER_LEAVES_PER_BUCKET; i++)
    for (struct ab_member *member
         = m->leaves[bucket * MEMBER_LEAVES_PER_BUCKET + i];
         member; member = member->next)
      if (member->digest_hash && !add_to_batch (m, batch, member))
        return false;
  return true;
}

/* Answers a bucket that differs.  Small buckets are collected in RANGES for
   one summary.  Returns false when no more may be sent now.  */
static bool
answer_bucket (struct ab_membership *m, struct batch *batch,
               struct ranges *ranges, size_t bucket)
{
  size_t entries = m->bucket_items[bucket];

  if (!may_answer (m, batch->joining))
    return false;
  if (entries > SUMMARY_ITEMS_MAX)
    {
      send_bucket (m, batch->host, bucket);
      return true;
    }
  /* One summary is enough for a round.  */
  if (ranges_full (ranges, entries))
    return batch->joining;
  add_range (ranges, bucket * MEMBER_LEAVES_PER_BUCKET,
             MEMBER_LEAVES_PER_BUCKET, entries);
  return true;
}

/* Answers the buckets that differ from THEIRS, the hashes of the other host.
   Returns how many buckets differ.  */
static size_t
answer_top (struct ab_membership *m, struct batch *batch,
            const uint32_t theirs[MEMBER_BUCKETS])
{
  struct ranges ranges = { .count = 0 };
  size_t start = (size_t)ab_rng_below (m->rng, MEMBER_BUCKETS);
  size_t differing = 0;
  bool may_continue = true;

  ab_buf_clear (&m->items);
  for (size_t i = 0; i < MEMBER_BUCKETS; i++)
    {
      size_t bucket = (start + i) % MEMBER_BUCKETS;
      if (theirs[bucket] == truncate_hash (m->bucket_hash[bucket]))
        continue;
      differing++;
      if (!may_continue)
        continue;
      if (batch->joining && theirs[bucket] == 0)
        may_continue = send_whole_bucket (m, batch, bucket);
      else
        may_continue = answer_bucket (m, batch, &ranges, bucket);
    }
  send_batch (m, batch);
  send_summary (m, batch->host, &ranges);
  return differing;
}

static int
receive_top (struct ab_membership *m, struct ab_reader *reader,
             struct ab_member *host)
{
  uint32_t theirs[MEMBER_BUCKETS];
  struct batch batch = { .host = host };
  size_t differing;

  batch.joining = ab_reader_bool (reader);
  batch.bytes_max = batch.joining ? JOIN_PACKET_BYTES : AB_MEMBER_PACKET_BYTES;
  read_hashes (reader, theirs, MEMBER_BUCKETS);
  if (ab_reader_error (reader) < 0)
    return ab_reader_error (reader);
  m->use_credit = batch.joining;
  differing = answer_top (m, &batch, theirs);
  if (batch.joining)
    send_differs (m, host, differing);
  m->use_credit = false;
  return 0;
}

static int
receive_bucket (struct ab_membership *m, struct ab_reader *reader,
                struct ab_member *host)
{
  uint32_t theirs[MEMBER_LEAVES_PER_BUCKET];
  struct ranges ranges = { .count = 0 };
  size_t bucket = (size_t)ab_reader_u64 (reader);
  size_t first = bucket * MEMBER_LEAVES_PER_BUCKET;

  read_hashes (reader, theirs, MEMBER_LEAVES_PER_BUCKET);
  if (ab_reader_error (reader) < 0 || bucket >= MEMBER_BUCKETS)
    return AB_ERR_CORRUPT;
  if (!may_answer (m, !m->joined))
    return 0;
  for (size_t i = 0; i < MEMBER_LEAVES_PER_BUCKET; i++)
    {
      size_t entries = 0;
      if (theirs[i] == truncate_hash (m->leaf_hash[first + i]))
        continue;
      for (const struct ab_member *member = m->leaves[first + i]; member;
           member = member->next)
        entries += member->digest_hash != 0;
      if (ranges_full (&ranges, entries))
        break;
      add_range (&ranges, first + i, 1, entries);
    }
  send_summary (m, host, &ranges);
  return 0;
}

/* An item in a summary; digest_hash is truncated.  */
struct summary_entry
{
  uint64_t key;
  uint32_t digest_hash;
};

struct summary
{
  struct ranges ranges;
  struct summary_entry entries[SUMMARY_ENTRIES_MAX];
  size_t count;
};

static int
read_ranges (struct ab_reader *reader, struct ranges *ranges)
{
  size_t count = ab_reader_enter (reader, 2 * RANGES_MAX) / 2;

  for (size_t i = 0; i < count; i++)
    {
      size_t first = (size_t)ab_reader_u64 (reader);
      size_t end = (size_t)ab_reader_u64 (reader);
      if (first > end || end > MEMBER_LEAVES)
        return AB_ERR_CORRUPT;
      add_range (ranges, first, end - first, 0);
    }
  ab_reader_leave (reader);
  return ab_reader_error (reader);
}

static int
read_summary (struct ab_reader *reader, struct summary *summary)
{
  int rc = read_ranges (reader, &summary->ranges);

  if (rc < 0)
    return rc;
  summary->count = ab_reader_enter (reader, 2 * SUMMARY_ENTRIES_MAX) / 2;
  for (size_t i = 0; i < summary->count; i++)
    {
      summary->entries[i].key = ab_reader_u64 (reader);
      summary->entries[i].digest_hash = (uint32_t)ab_reader_u64 (reader);
    }
  return ab_reader_error (reader);
}

static const struct summary_entry *
find_entry (const struct summary *summary, uint64_t key)
{
  for (size_t i = 0; i < summary->count; i++)
    if (summary->entries[i].key == key)
      return &summary->entries[i];
  return NULL;
}

/* Sends the items of the summary's leaves that SUMMARY lacks or that differ
   from it.  The receiver finds which of two versions is newer.  */
static void
send_different (struct ab_membership *m, const struct summary *summary,
                struct batch *batch)
{
  ab_buf_clear (&m->items);
  for (size_t i = 0; i < MEMBER_LEAVES; i++)
    {
      if (!in_ranges (&summary->ranges, i))
        continue;
      for (struct ab_member *member = m->leaves[i]; member;
           member = member->next)
        {
          const struct summary_entry *entry
              = find_entry (summary, member->item.key);
          if (!member->digest_hash
              || (entry
                  && entry->digest_hash
                         == truncate_hash (member->digest_hash)))
            continue;
          if (!add_to_batch (m, batch, member))
            goto out;
        }
    }
out:
  send_batch (m, batch);
}

static void
request_wanted (struct ab_membership *m, const struct summary *summary,
                struct ab_member *host)
{
  uint64_t wanted[SUMMARY_ENTRIES_MAX];
  size_t count = 0;

  for (size_t i = 0; i < summary->count; i++)
    {
      const struct summary_entry *entry = &summary->entries[i];
      const struct ab_member *own = member_find (m, entry->key);
      if (!own
          || (own->digest_hash
              && truncate_hash (own->digest_hash) != entry->digest_hash))
        wanted[count++] = entry->key;
    }
  if (count == 0 || !may_repair (m, !m->joined))
    return;
  begin_digest (m, DIGEST_WANT, 1);
  ab_pack_array (&m->packet, count);
  for (size_t i = 0; i < count; i++)
    ab_pack_u64 (&m->packet, wanted[i]);
  member_send (m, host, AB_FRAME_DIGEST);
}

static int
receive_summary (struct ab_membership *m, struct ab_reader *reader,
                 struct ab_member *host)
{
  struct summary summary = { .count = 0 };
  struct batch batch = { .host = host, .bytes_max = AB_MEMBER_PACKET_BYTES };
  int rc = read_summary (reader, &summary);

  if (rc < 0)
    return rc;
  /* Request the wanted keys first: the items that this host lacks matter more
     to it.  */
  request_wanted (m, &summary, host);
  send_different (m, &summary, &batch);
  return 0;
}

static int
receive_want (struct ab_membership *m, struct ab_reader *reader,
              struct ab_member *host)
{
  struct batch batch = { .host = host, .bytes_max = AB_MEMBER_PACKET_BYTES };
  size_t count = ab_reader_enter (reader, SUMMARY_ENTRIES_MAX);

  ab_buf_clear (&m->items);
  for (size_t i = 0; i < count; i++)
    {
      struct ab_member *member = member_find (m, ab_reader_u64 (reader));
      if (member && !add_to_batch (m, &batch, member))
        break;
    }
  send_batch (m, &batch);
  return ab_reader_error (reader);
}

/* Ends the joining state.  This host's own item is queued again, as few hosts
   were known when it was sent first.  */
static void
finish_join (struct ab_membership *m)
{
  if (!m->joined)
    member_queue_update (m, m->self, false);
  m->joined = true;
}

static int
receive_differs (struct ab_membership *m, struct ab_reader *reader)
{
  uint64_t count = ab_reader_u64 (reader);

  if (ab_reader_error (reader) < 0)
    return ab_reader_error (reader);
  if (count == 0
      || (count <= NEARLY_EQUAL
          && ++m->nearly_equal_count == NEARLY_EQUAL_ROUNDS))
    finish_join (m);
  return 0;
}

static int
receive_kind (struct ab_membership *m, struct ab_reader *reader,
              struct ab_member *host)
{
  ab_reader_enter (reader, DIGEST_FIELDS_MAX);
  switch (ab_reader_u64 (reader))
    {
    case DIGEST_TOP:
      return receive_top (m, reader, host);
    case DIGEST_BUCKET:
      return receive_bucket (m, reader, host);
    case DIGEST_SUMMARY:
      return receive_summary (m, reader, host);
    case DIGEST_WANT:
      return receive_want (m, reader, host);
    case DIGEST_DIFFERS:
      return receive_differs (m, reader);
    default:
      return AB_ERR_CORRUPT;
    }
}

int
member_receive_digest (struct ab_membership *m, const struct ab_frame *frame)
{
  struct ab_member *host = member_find_host (m, frame->sender);
  struct ab_reader reader;
  int rc;

  if (!host || host == m->self)
    return 0;
  rc = ab_reader_init (&reader, frame->body);
  if (rc == 0)
    rc = receive_kind (m, &reader, host);
  ab_reader_free (&reader);
  return rc;
}

int
member_receive_repair (struct ab_membership *m, const struct ab_frame *frame)
{
  struct ab_reader reader;
  size_t changed = 0;
  int rc = ab_reader_init (&reader, frame->body);

  if (rc == 0)
    {
      /* Most hosts have the items that a comparison brings; the others find
         them by their own comparisons.  */
      m->spread_urgent_only = frame->type == AB_FRAME_REPAIR;
      changed = member_read_items (m, &reader);
      m->spread_urgent_only = false;
      rc = ab_reader_error (&reader);
    }
  ab_reader_free (&reader);
  if (frame->type == AB_FRAME_REPAIR && changed > 0)
    m->found_differences = true;
  return rc;
}

/* Whether the next comparison is with a host of another region.  Hosts compare
   with their own region; bridges also compare with other regions, half of
   the time, as does any host once in CROSS_REGION_DIGEST_EVERY times.  */
static bool
compare_across_regions (struct ab_membership *m)
{
  struct ab_member *remote;

  if (ab_rng_below (m->rng, CROSS_REGION_DIGEST_EVERY) == 0)
    return true;
  remote = member_random_host (m, false);
  return remote && member_is_bridge (m, remote->item.host.region)
         && ab_rng_below (m->rng, 2) == 0;
}

void
member_repair_tick (struct ab_membership *m)
{
  struct ab_member *host;
  uint64_t interval_ms = DIGEST_INTERVAL_MS;

  if (m->found_differences && m->queued_count == 0 && m->joined
      && m->digest_ms > m->now_ms + DIFFERING_INTERVAL_MS)
    m->digest_ms = m->now_ms + DIFFERING_INTERVAL_MS;
  if (m->now_ms < m->digest_ms)
    return;
  if (!m->joined && m->now_ms >= m->join_until_ms)
    finish_join (m);
  host = member_random_host (m, m->joined && !compare_across_regions (m));
  m->found_differences = false;
  if (!m->joined)
    interval_ms = JOIN_INTERVAL_MS;
  m->digest_ms = m->now_ms + interval_ms;
  if (host)
    send_top (m, host, !m->joined);
}
