#include "error.h"
#include "member_core.h"
#include "rendezvous.h"

/* Hosts that are requested to ping a host that did not answer.  */
#define INDIRECT_PROBES 2
/* Hosts that probe a host suspected by another one.  */
#define VERIFIERS 3
#define VERIFY_INTERVAL_MS 1000
/* One probe of this many goes to another region; the rest stay in the own
   region, as cross-region traffic is billed.  */
#define CROSS_REGION_PROBE_EVERY 8
#define PIGGYBACK_BYTES 400 /* Updates sent with a ping or its reply.  */
/* A reply that comes later than this is not relayed to the requester.  */
#define RELAY_MS 2000
/* Interval of pings to seeds while no other host is known, and later.  */
#define SEED_JOIN_MS 500
#define SEED_INTERVAL_MS 10000
#define SEEDS_AT_ONCE 3
#define PING_FIELDS_MAX 16
/* Hosts known for less than this get this host's own item in pings.  */
#define INTRODUCE_MS 10000

/* Fills M's packet with the body of a PING or ACK: number, address to answer
   to, items.  The address lets a host that does not know this one yet answer,
   and so avoid being suspected.  FIRST is this host's own item when the
   other host may not know it, or the other host's item when that is suspected
   or declared dead, so that it can refute.  */
static void
pack_ping (struct ab_membership *m, uint32_t number, struct ab_member *first)
{
  ab_buf_clear (&m->packet);
  ab_pack_array (&m->packet, 3);
  ab_pack_u64 (&m->packet, number);
  ab_pack_bytes (&m->packet, ab_chunk_str (m->self->item.host.peers));
  /* Urgent updates are added even without tokens, so that a host which answers
     many probes still spreads them.  */
  member_pack_updates (m, first, PIGGYBACK_BYTES, m->tokens > PIGGYBACK_BYTES);
}

static struct ab_member *
first_item (struct ab_membership *m, struct ab_member *host)
{
  if (host->item.host.state == AB_HOST_SUSPECT
      || host->item.host.state == AB_HOST_DEAD)
    return host;
  return m->now_ms - host->since_ms < INTRODUCE_MS ? m->self : NULL;
}

static void
send_ping (struct ab_membership *m, struct ab_member *host, uint32_t number)
{
  pack_ping (m, number, first_item (m, host));
  member_send (m, host, AB_FRAME_PING);
}

static struct member_probe *
find_free_probe (struct ab_membership *m)
{
  for (size_t i = 0; i < MEMBER_PROBES_MAX; i++)
    if (!m->probes[i].active)
      return &m->probes[i];
  return NULL;
}

static struct member_probe *
find_probe (struct ab_membership *m, uint64_t host)
{
  for (size_t i = 0; i < MEMBER_PROBES_MAX; i++)
    if (m->probes[i].active && m->probes[i].host == host)
      return &m->probes[i];
  return NULL;
}

static void
start_probe (struct ab_membership *m, struct ab_member *host, bool verify)
{
  struct member_probe *probe = find_free_probe (m);

  if (!probe || find_probe (m, host->item.key))
    return;
  *probe = (struct member_probe){ .active = true,
                                  .verify = verify,
                                  .number = (uint32_t)ab_rng_next (m->rng),
                                  .host = host->item.key,
                                  .sent_ms = m->now_ms };
  host->probed_ms = m->now_ms;
  send_ping (m, host, probe->number);
}

static bool
may_probe (const struct ab_membership *m, const struct ab_member *host)
{
  /* Suspected hosts are probed too: a probe informs them of the suspicion, and
     the reply brings the refutation to a host that has missed it.  */
  return host != m->self && member_is_live (host);
}

/* Whether A and B are in the same region, where hosts may fail together.  */
static bool
same_region (const struct ab_member *a, const struct ab_member *b)
{
  return strcmp (a->item.host.region, b->item.host.region) == 0;
}

/* Returns the least recently probed host of the region of SUSPECT or, if that
   is null, of this host's region if OWN_REGION, of other regions otherwise.
   Null when there is none.  */
static struct ab_member *
next_to_probe (struct ab_membership *m, bool own_region,
               const struct ab_member *suspect)
{
  size_t start = (size_t)ab_rng_below (m->rng, m->host_count);
  struct ab_member *best = NULL;

  for (size_t i = 0; i < m->host_count; i++)
    {
      struct ab_member *host = m->hosts[(start + i) % m->host_count];
      bool wanted = suspect ? same_region (host, suspect)
                            : member_same_region (m, host) == own_region;
      if (may_probe (m, host) && wanted
          && (!best || host->probed_ms < best->probed_ms))
        best = host;
    }
  return best;
}

static struct ab_member *
random_suspect (struct ab_membership *m)
{
  size_t start = (size_t)ab_rng_below (m->rng, m->host_count);

  for (size_t i = 0; i < m->host_count; i++)
    {
      struct ab_member *host = m->hosts[(start + i) % m->host_count];
      if (host->item.host.state == AB_HOST_SUSPECT)
        return host;
    }
  return NULL;
}

static void
probe_next (struct ab_membership *m)
{
  bool own_region = ++m->probe_count % CROSS_REGION_PROBE_EVERY != 0;
  const struct ab_member *suspect
      = m->probe_count % 2 == 0 ? random_suspect (m) : NULL;
  struct ab_member *host = NULL;

  /* Few probes would find that a whole region is lost, as most stay in the
     own region: while a host is suspected, every other probe goes to its
     region.  */
  if (suspect)
    host = next_to_probe (m, own_region, suspect);
  if (!host)
    host = next_to_probe (m, own_region, NULL);
  if (!host)
    host = next_to_probe (m, !own_region, NULL);
  if (host)
    start_probe (m, host, false);
}

static void
request_indirect_probes (struct ab_membership *m, struct member_probe *probe,
                         const struct ab_member *host)
{
  struct ab_member *previous = NULL;

  probe->indirect = true;
  for (int i = 0, tries = 0;
       i < INDIRECT_PROBES && tries < 4 * INDIRECT_PROBES; tries++)
    {
      struct ab_member *relay_host
          = member_random_host (m, tries < 2 * INDIRECT_PROBES);
      if (!relay_host || relay_host == host || relay_host == previous)
        continue;
      previous = relay_host;
      i++;
      ab_buf_clear (&m->packet);
      ab_pack_array (&m->packet, 4);
      ab_pack_u64 (&m->packet, probe->number);
      ab_pack_bytes (&m->packet, ab_chunk_str (m->self->item.host.peers));
      ab_pack_bytes (&m->packet, ab_chunk_str (host->item.host.name));
      ab_pack_bytes (&m->packet, ab_chunk_str (host->item.host.peers));
      member_send (m, relay_host, AB_FRAME_PING_REQUEST);
    }
}

/* Adds this host to those that suspect HOST.  */
static void
suspect_host (struct ab_membership *m, struct ab_member *host)
{
  struct ab_item item = host->item;

  if (item.host.state == AB_HOST_DEAD)
    return;
  if (item.host.state != AB_HOST_SUSPECT)
    {
      item.suspecting_count = 0;
      m->stats.suspected++;
    }
  item.host.state = AB_HOST_SUSPECT;
  if (!ab_item_add_suspecting_host (&item, m->self->item.host.name))
    return;
  member_publish (m, &item, true);
}

static void
check_probe (struct ab_membership *m, struct member_probe *probe)
{
  struct ab_member *host = member_find (m, probe->host);
  uint64_t waited_ms = m->now_ms - probe->sent_ms;

  if (!host || !member_is_live (host))
    probe->active = false;
  else if (waited_ms >= m->config.probe_interval_ms
           && waited_ms >= 2 * m->config.probe_timeout_ms)
    {
      probe->active = false;
      m->stats.probes_failed++;
      suspect_host (m, host);
    }
  else if (!probe->indirect && waited_ms >= m->config.probe_timeout_ms)
    request_indirect_probes (m, probe, host);
}

/* Whether this host is among those that verify the suspicion of SUSPECT.
   Counts the other hosts that could verify it in *CANDIDATES.  */
static bool
is_verifier (const struct ab_membership *m, const struct ab_member *suspect,
             size_t *candidates)
{
  uint64_t own_score
      = ab_rendezvous_score (suspect->name_hash, m->self->name_hash);
  size_t higher_count = 0;

  *candidates = 0;
  for (size_t i = 0; i < m->host_count; i++)
    {
      const struct ab_member *host = m->hosts[i];
      if (host == suspect || host == m->self
          || host->item.host.state == AB_HOST_DEAD
          || host->item.host.state == AB_HOST_SUSPECT)
        continue;
      ++*candidates;
      /* The first suspecting host need not verify its own suspicion.  */
      if (suspect->item.suspecting_count > 0
          && strcmp (host->item.host.name, suspect->item.suspecting_hosts[0])
                 == 0)
        continue;
      higher_count += ab_rendezvous_score (suspect->name_hash, host->name_hash)
                      > own_score;
    }
  return higher_count < VERIFIERS;
}

static void
check_suspect (struct ab_membership *m, struct ab_member *host)
{
  size_t candidates;
  bool verifier = is_verifier (m, host, &candidates);
  bool confirmed = host->item.suspecting_count >= AB_SUSPECTING_HOSTS_MAX;

  if (m->now_ms - host->suspect_ms >= m->config.suspicion_ms
      && (confirmed || (candidates == 0 && m->host_count == 2)))
    {
      struct ab_item item = host->item;
      item.host.state = AB_HOST_DEAD;
      item.age_ms = 0;
      m->stats.declared_dead++;
      member_publish (m, &item, true);
      return;
    }
  if (verifier && !confirmed && m->now_ms >= host->verify_ms)
    {
      host->verify_ms = m->now_ms + VERIFY_INTERVAL_MS;
      start_probe (m, host, true);
    }
}

static void
ping_seed (struct ab_membership *m)
{
  const char *address;
  size_t at;

  if (m->config.seed_count == 0)
    return;
  at = (size_t)ab_rng_below (m->rng, m->config.seed_count);
  address = m->seeds[at];
  if (strcmp (address, m->self->item.host.peers) == 0)
    return;
  for (size_t i = 0; i < m->host_count; i++)
    if (m->hosts[i]->item.host.state == AB_HOST_ALIVE
        && strcmp (m->hosts[i]->item.host.peers, address) == 0)
      return;
  pack_ping (m, (uint32_t)ab_rng_next (m->rng), m->self);
  member_send_address (m, address, AB_FRAME_PING);
}

/* Pings a random host if it was declared dead: it may only have been cut
   off.  */
static void
ping_dead_host (struct ab_membership *m)
{
  struct ab_member *host = m->hosts[ab_rng_below (m->rng, m->host_count)];

  if (!member_is_live (host))
    send_ping (m, host, (uint32_t)ab_rng_next (m->rng));
}

static void
ping_seeds_and_dead_hosts (struct ab_membership *m)
{
  bool alone = !member_random_host (m, true);

  m->seed_ms = m->now_ms + (alone ? SEED_JOIN_MS : SEED_INTERVAL_MS);
  for (int i = 0; i < (alone ? SEEDS_AT_ONCE : 1); i++)
    ping_seed (m);
  for (int i = 0; i < SEEDS_AT_ONCE; i++)
    ping_dead_host (m);
}

void
member_probe_tick (struct ab_membership *m)
{
  for (size_t i = 0; i < MEMBER_PROBES_MAX; i++)
    if (m->probes[i].active)
      check_probe (m, &m->probes[i]);
  for (size_t i = 0; i < m->host_count; i++)
    if (m->hosts[i]->item.host.state == AB_HOST_SUSPECT
        && m->hosts[i] != m->self)
      check_suspect (m, m->hosts[i]);
  if (m->now_ms >= m->probe_ms)
    {
      m->probe_ms = m->now_ms + m->config.probe_interval_ms;
      probe_next (m);
    }
  if (m->now_ms >= m->seed_ms)
    ping_seeds_and_dead_hosts (m);
}

void
member_probe_exclude_stall (struct ab_membership *m, uint64_t stall_ms)
{
  for (size_t i = 0; i < MEMBER_PROBES_MAX; i++)
    m->probes[i].active = false;
  for (size_t i = 0; i < m->host_count; i++)
    if (m->hosts[i]->suspect_ms)
      m->hosts[i]->suspect_ms += stall_ms;
}

/* Sends an ACK to the host SENDER, which may not be in the view yet, at
   ADDRESS.  */
static void
send_ack (struct ab_membership *m, struct ab_chunk sender, const char *address,
          uint32_t number)
{
  struct ab_member *host = member_find_host (m, sender);

  if (host == m->self)
    return;
  pack_ping (m, number, host ? first_item (m, host) : m->self);
  if (host && strcmp (host->item.host.peers, address) == 0)
    member_send (m, host, AB_FRAME_ACK);
  else
    member_send_address (m, address, AB_FRAME_ACK);
}

/* Reads a PING or ACK and merges its items.  Returns 0 or an error.  */
static int
read_ping (struct ab_membership *m, const struct ab_frame *frame,
           uint32_t *number, char address[AB_ADDRESS_BYTES])
{
  struct ab_reader reader;
  int rc = ab_reader_init (&reader, frame->body);

  if (rc == 0)
    {
      ab_reader_enter (&reader, PING_FIELDS_MAX);
      *number = (uint32_t)ab_reader_u64 (&reader);
      ab_reader_str (&reader, address, AB_ADDRESS_BYTES);
      member_read_items (m, &reader);
      rc = ab_reader_error (&reader);
    }
  ab_reader_free (&reader);
  return rc;
}

int
member_receive_ping (struct ab_membership *m, const struct ab_frame *frame)
{
  char address[AB_ADDRESS_BYTES];
  uint32_t number = 0;
  int rc = read_ping (m, frame, &number, address);

  if (rc == 0)
    send_ack (m, frame->sender, address, number);
  return rc;
}

static void
answer_relay (struct ab_membership *m, uint32_t number)
{
  for (size_t i = 0; i < MEMBER_RELAYS_MAX; i++)
    {
      struct member_relay *relay = &m->relays[i];
      if (!relay->requester[0] || relay->number != number
          || m->now_ms - relay->sent_ms > RELAY_MS)
        continue;
      send_ack (m, ab_chunk (NULL, 0), relay->requester,
                relay->requester_number);
      relay->requester[0] = '\0';
    }
}

int
member_receive_ack (struct ab_membership *m, const struct ab_frame *frame)
{
  char address[AB_ADDRESS_BYTES];
  uint32_t number = 0;
  int rc = read_ping (m, frame, &number, address);

  if (rc < 0)
    return rc;
  for (size_t i = 0; i < MEMBER_PROBES_MAX; i++)
    if (m->probes[i].active && m->probes[i].number == number)
      m->probes[i].active = false;
  answer_relay (m, number);
  return 0;
}

static void
relay_ping (struct ab_membership *m, const char *name, const char *address,
            uint32_t number)
{
  struct ab_member *host = member_find_host (m, ab_chunk_str (name));

  if (host == m->self)
    return;
  if (host)
    {
      send_ping (m, host, number);
      return;
    }
  pack_ping (m, number, m->self);
  member_send_address (m, address, AB_FRAME_PING);
}

int
member_receive_ping_request (struct ab_membership *m,
                             const struct ab_frame *frame)
{
  struct member_relay relay
      = { .number = (uint32_t)ab_rng_next (m->rng), .sent_ms = m->now_ms };
  struct ab_reader reader;
  char name[AB_NAME_BYTES] = "";
  char address[AB_ADDRESS_BYTES] = "";
  int rc = ab_reader_init (&reader, frame->body);

  if (rc == 0)
    {
      ab_reader_enter (&reader, PING_FIELDS_MAX);
      relay.requester_number = (uint32_t)ab_reader_u64 (&reader);
      ab_reader_str (&reader, relay.requester, sizeof relay.requester);
      ab_reader_str (&reader, name, sizeof name);
      ab_reader_str (&reader, address, sizeof address);
      rc = ab_reader_error (&reader);
    }
  ab_reader_free (&reader);
  if (rc < 0)
    return rc;
  m->relays[m->next_relay++ % MEMBER_RELAYS_MAX] = relay;
  relay_ping (m, name, address, relay.number);
  return 0;
}
