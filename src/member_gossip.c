#include <utlist.h>

#include "error.h"
#include "member_core.h"
#include "rendezvous.h"

#define GOSSIP_INTERVAL_MS 100
#define FANOUT 3 /* Hosts of the own region that get updates in a round.  */
/* Hosts of a region that forward updates to each of the other regions.  */
#define BRIDGES 2
#define BROADCAST_HOSTS_MAX 64
#define ITEMS_PER_PACKET_MAX 256
/* Tokens that updates leave for probes and replies.  */
#define PROBE_RESERVE 300
#define SECOND_MS 1000
/* Ping and reply of one probe, both sent and received.  */
#define PROBE_BYTES 600
#define ITEM_BYTES_TYPICAL 96
#define ARRAY_HEADER_BYTES 3
/* With more queued updates than this, non-urgent ones are sent STORM_SENDS
   times only: they would wait for tokens, and digests find what was missed for
   fewer bytes.  */
#define STORM_ITEMS 64
#define STORM_SENDS 5
#define RANDOM_TRIES 32
#define REGIONS_MAX 16

static struct ab_member **
update_queue (struct ab_membership *m, const struct ab_member *member)
{
  return member->urgent ? &m->urgent_queue : &m->normal_queue;
}

void
member_dequeue_update (struct ab_membership *m, struct ab_member *member)
{
  struct ab_member **list = update_queue (m, member);

  if (!member->queued)
    return;
  DL_DELETE2 (*list, member, queue_prev, queue_next);
  member->queued = false;
  m->queued_count--;
}

void
member_queue_update (struct ab_membership *m, struct ab_member *member,
                     bool urgent)
{
  struct ab_member **list;

  member_dequeue_update (m, member);
  member->queued = true;
  member->urgent = urgent;
  member->times_sent = 0;
  list = update_queue (m, member);
  DL_PREPEND2 (*list, member, queue_prev, queue_next);
  m->queued_count++;
}

/* Returns how often this host sends an update.  When each host sends K copies,
   about e^-K of the hosts miss the update; urgent updates must reach all
   within 3 s, before digests repair what was missed.  */
static unsigned
send_limit (const struct ab_membership *m, const struct ab_member *member)
{
  unsigned limit = STORM_SENDS;

  if (!member->urgent && m->queued_count > STORM_ITEMS)
    return limit;
  for (size_t n = m->host_count; n > 1; n /= 2)
    limit++;
  return member->urgent ? 2 * limit : limit;
}

void
member_count_received_copy (struct ab_membership *m, struct ab_member *member)
{
  /* Received copies of urgent updates do not count, as a host that misses such
     an update would send requests to a leaving target: when such copies
     counted, a host missed one in 1 of 200 runs with 10% loss.  */
  if (member->queued && !member->urgent
      && ++member->times_sent >= send_limit (m, member))
    member_dequeue_update (m, member);
}

static void
record_sent (struct ab_membership *m, struct ab_member *member)
{
  struct ab_member **list = update_queue (m, member);

  if (!member->queued)
    return;
  if (++member->times_sent >= send_limit (m, member))
    {
      member_dequeue_update (m, member);
      return;
    }
  /* Move the update to the end, so that the next packet starts with the items
     that were sent less often.  */
  DL_DELETE2 (*list, member, queue_prev, queue_next);
  DL_APPEND2 (*list, member, queue_prev, queue_next);
}

/* Appends MEMBER to M's items.  Returns false, leaving it out, when the items
   would exceed BYTES.  */
static bool
pack_item (struct ab_membership *m, struct ab_member *member, size_t bytes)
{
  size_t before = m->items.len;

  member_refresh_age (m, member);
  ab_item_pack (&member->item, &m->items);
  if (m->items.len <= bytes)
    return true;
  m->items.len = before;
  return false;
}

static size_t
pack_list (struct ab_membership *m, struct ab_member *list,
           const struct ab_member *skip, size_t bytes,
           struct ab_member *packed[ITEMS_PER_PACKET_MAX], size_t count)
{
  struct ab_member *member;

  DL_FOREACH2 (list, member, queue_next)
  {
    if (count == ITEMS_PER_PACKET_MAX)
      break;
    if (member == skip)
      continue;
    if (!pack_item (m, member, bytes))
      break;
    packed[count++] = member;
  }
  return count;
}

void
member_pack_updates (struct ab_membership *m, struct ab_member *first,
                     size_t bytes, bool normal)
{
  struct ab_member *packed[ITEMS_PER_PACKET_MAX];
  size_t count = 0;

  ab_buf_clear (&m->items);
  if (first && pack_item (m, first, AB_ITEM_BYTES_MAX))
    packed[count++] = first;
  count = pack_list (m, m->urgent_queue, first, bytes, packed, count);
  if (normal)
    count = pack_list (m, m->normal_queue, first, bytes, packed, count);
  ab_pack_array (&m->packet, count);
  ab_buf_append_chunk (&m->packet, ab_buf_chunk (&m->items));
  for (size_t i = 0; i < count; i++)
    record_sent (m, packed[i]);
}

size_t
member_read_items (struct ab_membership *m, struct ab_reader *reader)
{
  size_t count = ab_reader_enter (reader, AB_FRAME_BYTES_MAX);
  size_t changed = 0;
  struct ab_item item;

  for (size_t i = 0; i < count; i++)
    {
      ab_item_read (reader, &item);
      if (ab_reader_error (reader) < 0)
        return changed;
      changed += member_merge (m, &item);
    }
  ab_reader_leave (reader);
  return changed;
}

static void
charge_tokens (struct ab_membership *m)
{
  size_t bytes = m->packet.len + AB_MEMBER_OVERHEAD_BYTES;

  m->stats.packets_sent++;
  m->stats.bytes_sent += bytes;
  if (!m->use_credit)
    m->tokens -= (double)bytes;
  m->credit -= (double)bytes;
}

void
member_send (struct ab_membership *m, struct ab_member *host,
             enum ab_frame_type type)
{
  if (m->packet.error)
    return;
  charge_tokens (m);
  if (!member_same_region (m, host))
    m->stats.bytes_cross_region += m->packet.len + AB_MEMBER_OVERHEAD_BYTES;
  m->env->ops->send (m->env, &host->item.host, type,
                     ab_buf_chunk (&m->packet));
}

void
member_send_address (struct ab_membership *m, const char *address,
                     enum ab_frame_type type)
{
  if (m->packet.error)
    return;
  charge_tokens (m);
  m->env->ops->send_address (m->env, address, type, ab_buf_chunk (&m->packet));
}

static bool
is_usable_peer (const struct ab_membership *m, const struct ab_member *host)
{
  return host != m->self && member_is_live (host)
         && host->item.host.state != AB_HOST_SUSPECT;
}

struct ab_member *
member_random_host (struct ab_membership *m, bool own_region)
{
  struct ab_member *fallback = NULL;

  for (int i = 0; i < RANDOM_TRIES; i++)
    {
      struct ab_member *host = m->hosts[ab_rng_below (m->rng, m->host_count)];
      if (!is_usable_peer (m, host))
        continue;
      if (member_same_region (m, host) == own_region)
        return host;
      fallback = host;
    }
  for (size_t i = 0; i < m->host_count && !fallback; i++)
    if (m->hosts[i] != m->self && member_is_live (m->hosts[i]))
      fallback = m->hosts[i];
  return fallback;
}

bool
member_is_bridge (const struct ab_membership *m, const char *region)
{
  uint64_t subject
      = ab_rendezvous_hash_pair (AB_CHUNK ("bridge"), ab_chunk_str (region));
  uint64_t own_score = ab_rendezvous_score (subject, m->self->name_hash);
  size_t higher_count = 0;

  for (size_t i = 0; i < m->host_count; i++)
    if (member_same_region (m, m->hosts[i])
        && m->hosts[i]->item.host.state == AB_HOST_ALIVE
        && ab_rendezvous_score (subject, m->hosts[i]->name_hash) > own_score)
      higher_count++;
  return higher_count < BRIDGES;
}

static size_t
tokens_needed (size_t items)
{
  size_t bytes = items * ITEM_BYTES_TYPICAL;

  if (bytes > AB_MEMBER_PACKET_BYTES / 2)
    bytes = AB_MEMBER_PACKET_BYTES / 2;
  return bytes + PROBE_RESERVE;
}

/* Whether non-urgent updates may be sent now.  Waiting until half a packet can
   be sent saves overhead in a storm of updates.  */
static bool
may_send_normal (const struct ab_membership *m)
{
  return m->normal_queue
         && m->tokens >= (double)tokens_needed (m->queued_count);
}

/* Whether a packet of updates may be sent now.  Urgent ones wait for the
   tokens of one item only.  */
static bool
may_send (const struct ab_membership *m)
{
  return may_send_normal (m)
         || (m->urgent_queue && m->tokens >= (double)tokens_needed (1));
}

static void
send_delta (struct ab_membership *m, struct ab_member *host)
{
  size_t bytes = (size_t)m->tokens - PROBE_RESERVE;

  /* The largest item must fit, or it would block the queue for ever.  */
  if (bytes < AB_ITEM_BYTES_MAX)
    bytes = AB_ITEM_BYTES_MAX;
  if (bytes > AB_MEMBER_PACKET_BYTES - ARRAY_HEADER_BYTES)
    bytes = AB_MEMBER_PACKET_BYTES - ARRAY_HEADER_BYTES;
  ab_buf_clear (&m->packet);
  member_pack_updates (m, NULL, bytes, may_send_normal (m));
  member_send (m, host, AB_FRAME_DELTA);
}

/* Used for quarantines: a caller retries a failed request within a round trip,
   at any host, while gossip takes hundreds of milliseconds.  As quarantines
   are rare, they are sent to each usable entry host at once, up to
   BROADCAST_HOSTS_MAX, and charged to the unused budget.  */
void
member_broadcast (struct ab_membership *m, struct ab_member *update)
{
  bool use_credit = m->use_credit;
  size_t sent = 0;

  m->use_credit = m->credit > 0;
  for (size_t i = 0; i < m->host_count && sent < BROADCAST_HOSTS_MAX; i++)
    {
      struct ab_member *host = m->hosts[i];
      if (!is_usable_peer (m, host) || host->item.host.role != AB_ROLE_ENTRY)
        continue;
      ab_buf_clear (&m->packet);
      member_pack_updates (m, update, 0, false);
      member_send (m, host, AB_FRAME_DELTA);
      sent++;
    }
  m->use_credit = use_credit;
}

/* Sends updates to one host of each other region to which this host is a
   bridge.  */
static void
send_to_regions (struct ab_membership *m)
{
  size_t start = (size_t)ab_rng_below (m->rng, m->host_count);
  const char *served[REGIONS_MAX];
  size_t served_count = 0;

  for (size_t i = 0; i < m->host_count && may_send (m); i++)
    {
      struct ab_member *host = m->hosts[(start + i) % m->host_count];
      const char *region = host->item.host.region;
      bool skipped = member_same_region (m, host)
                     || host->item.host.state != AB_HOST_ALIVE;
      for (size_t d = 0; d < served_count && !skipped; d++)
        skipped = strcmp (served[d], region) == 0;
      if (skipped || served_count == REGIONS_MAX)
        continue;
      served[served_count++] = region;
      if (member_is_bridge (m, region))
        send_delta (m, host);
    }
}

/* Returns the rate of the token bucket in bytes a second.  Settings that make
   hosts probe more often than once a second raise it, so that probes leave
   tokens for updates.  */
static double
refill_rate (const struct ab_membership *m)
{
  double probes = (double)SECOND_MS / (double)m->config.probe_interval_ms;

  return AB_MEMBER_RATE + (probes > 1 ? (probes - 1) * PROBE_BYTES : 0);
}

static void
refill (struct ab_membership *m)
{
  double added
      = (double)(m->now_ms - m->tokens_ms) * refill_rate (m) / SECOND_MS;

  m->tokens_ms = m->now_ms;
  m->tokens += added;
  m->credit += added;
  if (m->tokens > AB_MEMBER_BURST)
    m->tokens = AB_MEMBER_BURST;
  if (m->credit > AB_MEMBER_JOIN_CREDIT)
    m->credit = AB_MEMBER_JOIN_CREDIT;
}

static void
send_to_own_region (struct ab_membership *m)
{
  for (int i = 0; i < FANOUT && may_send (m); i++)
    {
      struct ab_member *host = member_random_host (m, true);
      if (!host)
        return;
      send_delta (m, host);
    }
}

void
member_gossip_tick (struct ab_membership *m)
{
  refill (m);
  if (m->now_ms < m->gossip_ms)
    return;
  m->gossip_ms = m->now_ms + GOSSIP_INTERVAL_MS;
  /* Alternate the order: in a storm of updates, the tokens suffice only for
     the first.  */
  m->regions_first = !m->regions_first;
  if (m->regions_first)
    send_to_regions (m);
  send_to_own_region (m);
  if (!m->regions_first)
    send_to_regions (m);
}
