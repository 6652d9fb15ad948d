#include "error.h"
#include "member_core.h"
#include "rendezvous.h"

#define HELPERS 2
/* Hosts that check another's suspicion.  */
#define VERIFIERS 3
#define VERIFY_INTERVAL_MS 1000
/* One probe of this many goes to another region; the rest stays near, as
   cross-region traffic is billed.  */
#define FAR_PROBE_EVERY 8
#define PIGGYBACK_BYTES 400
#define RELAY_MS 2000
#define SEED_JOIN_MS 500
#define SEED_INTERVAL_MS 10000
#define SEEDS_AT_ONCE 3
#define PING_FIELDS_MAX 16
#define INTRODUCE_MS 10000

/* Body of PING and ACK: number, address to answer to, items.  The address lets
   a host answer that has not heard of this one yet, and would be suspected
   otherwise.  The first item is this host's own when the other may not know
   it, or the other's when it is suspected, so that it can refute.  */
static void
pack_ping (struct ab_membership *m, uint32_t number, struct ab_member *first)
{
  ab_buf_clear (&m->packet);
  ab_pack_array (&m->packet, 3);
  ab_pack_u64 (&m->packet, number);
  ab_pack_bytes (&m->packet, ab_chunk_str (m->self->item.host.peers));
  /* Urgent changes go along even without tokens, so that a host which answers
     many probes still spreads them.  */
  member_pack_hot (m, first, PIGGYBACK_BYTES, m->tokens > PIGGYBACK_BYTES);
}

static struct ab_member *
first_item (struct ab_membership *m, struct ab_member *host)
{
  if (host->item.host.state == AB_HOST_SUSPECT
      || host->item.host.state == AB_HOST_GONE)
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
free_probe (struct ab_membership *m)
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
  struct member_probe *probe = free_probe (m);

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
  /* Suspects too: a probe tells them of the suspicion, and the answer brings
     the refutation to a host that has missed it.  */
  return host != m->self && member_is_live (host);
}

/* Whether the two probably fail together.  */
static bool
same_fate (const struct ab_member *a, const struct ab_member *b)
{
  return strcmp (a->item.host.region, b->item.host.region) == 0;
}

/* Of the hosts in the own region or not, or in that of SUSPECT, the one that
   was probed the longest ago.  */
static struct ab_member *
next_to_probe (struct ab_membership *m, bool own_region,
               const struct ab_member *suspect)
{
  size_t start = (size_t)ab_rng_below (m->rng, m->host_count);
  struct ab_member *best = NULL;

  for (size_t i = 0; i < m->host_count; i++)
    {
      struct ab_member *host = m->hosts[(start + i) % m->host_count];
      bool wanted = suspect ? same_fate (host, suspect)
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
  bool near = ++m->probe_count % FAR_PROBE_EVERY != 0;
  const struct ab_member *suspect
      = m->probe_count % 2 == 0 ? random_suspect (m) : NULL;
  struct ab_member *host = NULL;

  /* A region that is lost would be found by few probes, as most stay near:
     while a host is suspected, every other probe goes to its region.  */
  if (suspect)
    host = next_to_probe (m, near, suspect);
  if (!host)
    host = next_to_probe (m, near, NULL);
  if (!host)
    host = next_to_probe (m, !near, NULL);
  if (host)
    start_probe (m, host, false);
}

static void
ask_helpers (struct ab_membership *m, struct member_probe *probe,
             const struct ab_member *host)
{
  struct ab_member *asked = NULL;

  probe->indirect = true;
  for (int i = 0, tries = 0; i < HELPERS && tries < 4 * HELPERS; tries++)
    {
      struct ab_member *helper = member_random_host (m, tries < 2 * HELPERS);
      if (!helper || helper == host || helper == asked)
        continue;
      asked = helper;
      i++;
      ab_buf_clear (&m->packet);
      ab_pack_array (&m->packet, 4);
      ab_pack_u64 (&m->packet, probe->number);
      ab_pack_bytes (&m->packet, ab_chunk_str (m->self->item.host.peers));
      ab_pack_bytes (&m->packet, ab_chunk_str (host->item.host.name));
      ab_pack_bytes (&m->packet, ab_chunk_str (host->item.host.peers));
      member_send (m, helper, AB_FRAME_PING_REQUEST);
    }
}

/* Adds this host to the accusers.  */
static void
accuse (struct ab_membership *m, struct ab_member *host)
{
  struct ab_item item = host->item;

  if (item.host.state == AB_HOST_GONE)
    return;
  if (item.host.state != AB_HOST_SUSPECT)
    {
      item.accuser_count = 0;
      m->stats.suspected++;
    }
  item.host.state = AB_HOST_SUSPECT;
  if (!ab_item_accuse (&item, m->self->item.host.name))
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
      accuse (m, host);
    }
  else if (!probe->indirect && waited_ms >= m->config.probe_timeout_ms)
    ask_helpers (m, probe, host);
}

/* Whether this host is among those that check the suspicion of SUSPECT.
   Counts the live candidates in *CANDIDATES.  */
static bool
is_verifier (const struct ab_membership *m, const struct ab_member *suspect,
             size_t *candidates)
{
  uint64_t own = ab_rendezvous_score (suspect->node, m->self->node);
  size_t better = 0;

  *candidates = 0;
  for (size_t i = 0; i < m->host_count; i++)
    {
      const struct ab_member *host = m->hosts[i];
      if (host == suspect || host == m->self
          || host->item.host.state == AB_HOST_GONE
          || host->item.host.state == AB_HOST_SUSPECT)
        continue;
      ++*candidates;
      /* The accuser need not check again.  */
      if (suspect->item.accuser_count > 0
          && strcmp (host->item.host.name, suspect->item.accusers[0]) == 0)
        continue;
      better += ab_rendezvous_score (suspect->node, host->node) > own;
    }
  return better < VERIFIERS;
}

static void
check_suspect (struct ab_membership *m, struct ab_member *host)
{
  size_t candidates;
  bool verifier = is_verifier (m, host, &candidates);
  bool confirmed = host->item.accuser_count >= AB_ACCUSERS_MAX;

  if (m->now_ms - host->suspect_ms >= m->config.suspicion_ms
      && (confirmed || (candidates == 0 && m->host_count == 2)))
    {
      struct ab_item item = host->item;
      item.host.state = AB_HOST_GONE;
      item.age_ms = 0;
      m->stats.declared_gone++;
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
greet_seed (struct ab_membership *m)
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

/* A host that was declared gone may only have been cut off.  */
static void
greet_gone (struct ab_membership *m)
{
  struct ab_member *host = m->hosts[ab_rng_below (m->rng, m->host_count)];

  if (!member_is_live (host))
    send_ping (m, host, (uint32_t)ab_rng_next (m->rng));
}

static void
greet (struct ab_membership *m)
{
  bool alone = !member_random_host (m, true);

  m->seed_ms = m->now_ms + (alone ? SEED_JOIN_MS : SEED_INTERVAL_MS);
  for (int i = 0; i < (alone ? SEEDS_AT_ONCE : 1); i++)
    greet_seed (m);
  for (int i = 0; i < SEEDS_AT_ONCE; i++)
    greet_gone (m);
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
    greet (m);
}

void
member_probe_shift (struct ab_membership *m, uint64_t stall_ms)
{
  for (size_t i = 0; i < MEMBER_PROBES_MAX; i++)
    m->probes[i].active = false;
  for (size_t i = 0; i < m->host_count; i++)
    if (m->hosts[i]->suspect_ms)
      m->hosts[i]->suspect_ms += stall_ms;
}

/* Answers the host SENDER, which may not be in the view yet, at ADDRESS.  */
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

/* Reads a PING or ACK and merges its items.  */
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
      if (!relay->asker[0] || relay->number != number
          || m->now_ms - relay->sent_ms > RELAY_MS)
        continue;
      send_ack (m, ab_chunk (NULL, 0), relay->asker, relay->their_number);
      relay->asker[0] = '\0';
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
      relay.their_number = (uint32_t)ab_reader_u64 (&reader);
      ab_reader_str (&reader, relay.asker, sizeof relay.asker);
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
