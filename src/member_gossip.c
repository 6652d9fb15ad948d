#include <utlist.h>

#include "error.h"
#include "member_core.h"
#include "rendezvous.h"

#define GOSSIP_INTERVAL_MS 100
#define FANOUT 3
/* Hosts of a region that pass changes on to each other region.  */
#define BRIDGES 2
#define BROADCAST_HOSTS 64
#define ITEMS_PER_PACKET_MAX 256
/* Tokens that changes leave for probes and answers.  */
#define PROBE_RESERVE 300
#define SECOND_MS 1000
/* A ping and an answer, each way of one probe.  */
#define PROBE_BYTES 600
#define ITEM_BYTES_TYPICAL 96
#define ARRAY_HEADER_BYTES 3
/* With more changes than this, each is sent less often: they would queue for
   tokens, and the digests find what was missed for fewer bytes.  */
#define STORM_ITEMS 64
#define STORM_SENDS 5
#define RANDOM_TRIES 32
#define REGIONS_MAX 16

static struct ab_member **
hot_list (struct ab_membership *m, const struct ab_member *member)
{
  return member->urgent ? &m->urgent : &m->normal;
}

void
member_cool (struct ab_membership *m, struct ab_member *member)
{
  struct ab_member **list = hot_list (m, member);

  if (!member->hot)
    return;
  DL_DELETE2 (*list, member, hot_prev, hot_next);
  member->hot = false;
  m->hot_count--;
}

void
member_heat (struct ab_membership *m, struct ab_member *member, bool urgent)
{
  struct ab_member **list;

  member_cool (m, member);
  member->hot = true;
  member->urgent = urgent;
  member->sends = 0;
  list = hot_list (m, member);
  DL_PREPEND2 (*list, member, hot_prev, hot_next);
  m->hot_count++;
}

/* How often this host sends a change.  Pushing K copies a host leaves about
   e^-K of the hosts without it; urgent changes must reach all within 3 s,
   before the digests repair what was missed.  */
static unsigned
send_limit (const struct ab_membership *m, const struct ab_member *member)
{
  unsigned limit = STORM_SENDS;

  if (!member->urgent && m->hot_count > STORM_ITEMS)
    return limit;
  for (size_t n = m->host_count; n > 1; n /= 2)
    limit++;
  return member->urgent ? 2 * limit : limit;
}

void
member_heard_again (struct ab_membership *m, struct ab_member *member)
{
  /* An urgent change is sent in full, as a host that misses it would give
     work to a leaving target: with copies counted, 1 of 200 runs with 10%
     loss left a host without it.  */
  if (member->hot && !member->urgent
      && ++member->sends >= send_limit (m, member))
    member_cool (m, member);
}

static void
note_sent (struct ab_membership *m, struct ab_member *member)
{
  struct ab_member **list = hot_list (m, member);

  if (!member->hot)
    return;
  if (++member->sends >= send_limit (m, member))
    {
      member_cool (m, member);
      return;
    }
  /* The next packet starts with the items that were sent less often.  */
  DL_DELETE2 (*list, member, hot_prev, hot_next);
  DL_APPEND2 (*list, member, hot_prev, hot_next);
}

/* Packs MEMBER into M's items when it fits BYTES.  */
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

  DL_FOREACH2 (list, member, hot_next)
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
member_pack_hot (struct ab_membership *m, struct ab_member *first,
                 size_t bytes, bool normal)
{
  struct ab_member *packed[ITEMS_PER_PACKET_MAX];
  size_t count = 0;

  ab_buf_clear (&m->items);
  if (first && pack_item (m, first, AB_ITEM_BYTES_MAX))
    packed[count++] = first;
  count = pack_list (m, m->urgent, first, bytes, packed, count);
  if (normal)
    count = pack_list (m, m->normal, first, bytes, packed, count);
  ab_pack_array (&m->packet, count);
  ab_buf_append_chunk (&m->packet, ab_buf_chunk (&m->items));
  for (size_t i = 0; i < count; i++)
    note_sent (m, packed[i]);
}

size_t
member_read_items (struct ab_membership *m, struct ab_reader *reader)
{
  size_t count = ab_reader_enter (reader, AB_FRAME_BYTES_MAX);
  size_t news = 0;
  struct ab_item item;

  for (size_t i = 0; i < count; i++)
    {
      ab_item_read (reader, &item);
      if (ab_reader_error (reader) < 0)
        return news;
      news += member_merge (m, &item);
    }
  ab_reader_leave (reader);
  return news;
}

static void
charge (struct ab_membership *m)
{
  size_t bytes = m->packet.len + AB_MEMBER_OVERHEAD_BYTES;

  m->stats.packets_sent++;
  m->stats.bytes_sent += bytes;
  if (!m->on_credit)
    m->tokens -= (double)bytes;
  m->credit -= (double)bytes;
}

void
member_send (struct ab_membership *m, struct ab_member *host,
             enum ab_frame_type type)
{
  if (m->packet.error)
    return;
  charge (m);
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
  charge (m);
  m->env->ops->send_address (m->env, address, type, ab_buf_chunk (&m->packet));
}

static bool
may_help (const struct ab_membership *m, const struct ab_member *host)
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
      if (!may_help (m, host))
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
  uint64_t own = ab_rendezvous_score (subject, m->self->node);
  size_t better = 0;

  for (size_t i = 0; i < m->host_count; i++)
    if (member_same_region (m, m->hosts[i])
        && m->hosts[i]->item.host.state == AB_HOST_ALIVE
        && ab_rendezvous_score (subject, m->hosts[i]->node) > own)
      better++;
  return better < BRIDGES;
}

static size_t
wanted_tokens (size_t items)
{
  size_t bytes = items * ITEM_BYTES_TYPICAL;

  if (bytes > AB_MEMBER_PACKET_BYTES / 2)
    bytes = AB_MEMBER_PACKET_BYTES / 2;
  return bytes + PROBE_RESERVE;
}

/* Waiting until half a packet can be sent saves overhead in a storm.  */
static bool
may_send_normal (const struct ab_membership *m)
{
  return m->normal && m->tokens >= (double)wanted_tokens (m->hot_count);
}

/* Whether a packet of hot items may be sent now.  Urgent ones do not wait for
   the rest.  */
static bool
may_send (const struct ab_membership *m)
{
  return may_send_normal (m)
         || (m->urgent && m->tokens >= (double)wanted_tokens (1));
}

static void
send_delta (struct ab_membership *m, struct ab_member *host)
{
  size_t bytes = (size_t)m->tokens - PROBE_RESERVE;

  /* The largest item must fit, or the list would never move on.  */
  if (bytes < AB_ITEM_BYTES_MAX)
    bytes = AB_ITEM_BYTES_MAX;
  if (bytes > AB_MEMBER_PACKET_BYTES - ARRAY_HEADER_BYTES)
    bytes = AB_MEMBER_PACKET_BYTES - ARRAY_HEADER_BYTES;
  ab_buf_clear (&m->packet);
  member_pack_hot (m, NULL, bytes, may_send_normal (m));
  member_send (m, host, AB_FRAME_DELTA);
}

/* A caller sends a request that failed again within a round trip, to any host;
   gossip takes hundreds of milliseconds.  Such news is rare, so it goes to
   each entry host at once, up to a bound, out of the unused budget.  */
void
member_broadcast (struct ab_membership *m, struct ab_member *news)
{
  bool on_credit = m->on_credit;
  size_t sent = 0;

  m->on_credit = m->credit > 0;
  for (size_t i = 0; i < m->host_count && sent < BROADCAST_HOSTS; i++)
    {
      struct ab_member *host = m->hosts[i];
      if (!may_help (m, host) || host->item.host.role != AB_ROLE_ENTRY)
        continue;
      ab_buf_clear (&m->packet);
      member_pack_hot (m, news, 0, false);
      member_send (m, host, AB_FRAME_DELTA);
      sent++;
    }
  m->on_credit = on_credit;
}

/* Passes changes on to one host of each region that this host serves as a
   bridge.  */
static void
send_to_regions (struct ab_membership *m)
{
  size_t start = (size_t)ab_rng_below (m->rng, m->host_count);
  const char *done[REGIONS_MAX];
  size_t done_count = 0;

  for (size_t i = 0; i < m->host_count && may_send (m); i++)
    {
      struct ab_member *host = m->hosts[(start + i) % m->host_count];
      const char *region = host->item.host.region;
      bool known = member_same_region (m, host)
                   || host->item.host.state != AB_HOST_ALIVE;
      for (size_t d = 0; d < done_count && !known; d++)
        known = strcmp (done[d], region) == 0;
      if (known || done_count == REGIONS_MAX)
        continue;
      done[done_count++] = region;
      if (member_is_bridge (m, region))
        send_delta (m, host);
    }
}

/* Bytes a second.  An operator who has hosts probed more often than once a
   second pays for it; it must not take the tokens from changes.  */
static double
rate (const struct ab_membership *m)
{
  double probes = (double)SECOND_MS / (double)m->config.probe_interval_ms;

  return AB_MEMBER_RATE + (probes > 1 ? (probes - 1) * PROBE_BYTES : 0);
}

static void
refill (struct ab_membership *m)
{
  double added = (double)(m->now_ms - m->tokens_ms) * rate (m) / SECOND_MS;

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
  /* The two take turns, as in a storm the tokens last for one of them.  */
  m->regions_first = !m->regions_first;
  if (m->regions_first)
    send_to_regions (m);
  send_to_own_region (m);
  if (!m->regions_first)
    send_to_regions (m);
}
