#include "membership.h"

#include <stdlib.h>

#include "error.h"
#include "member_core.h"
#include "rendezvous.h"

/* A longer time between ticks means that this process did not run: it was
   frozen, or the computer overloaded.  That other hosts did not answer in that
   time is no evidence against them.  */
#define STALL_MS 1000
/* The host counts as joined after this even without a comparison of views.  */
#define JOIN_TIMEOUT_MS 10000
/* Tombstones older than this are not spread by gossip; repairs carry them.  */
#define SPREAD_AGE_MAX_MS 60000

static bool
is_host (const struct ab_item *item, enum ab_host_state state)
{
  return item->kind == AB_ITEM_HOST && item->host.state == state;
}

static void
notify (struct ab_membership *m, const struct ab_member *member)
{
  if (member->item.kind == AB_ITEM_HOST)
    m->env->ops->host_changed (m->env, &member->item.host);
  else if (member->item.kind == AB_ITEM_TARGET)
    m->env->ops->target_changed (m->env, &member->item.target);
  else if (m->env->ops->quarantine_changed)
    m->env->ops->quarantine_changed (m->env, &member->item.quarantine);
}

int
member_publish (struct ab_membership *m, struct ab_item *item, bool urgent)
{
  struct ab_member *member;

  ab_item_update_hashes (item);
  member = member_store (m, item);
  if (!member)
    return AB_ERR_MEMORY;
  member_queue_update (m, member, urgent);
  notify (m, member);
  return 0;
}

/* Overrides RECEIVED, an item about this host that is newer than the one it
   published: a suspicion, or an update by an earlier process whose clock was
   ahead.  */
static void
refute (struct ab_membership *m, const struct ab_item *received)
{
  struct ab_item item = m->self->item;

  if (received->incarnation > item.incarnation)
    item.incarnation = received->incarnation;
  item.version = received->version + 1;
  m->stats.refuted++;
  member_publish (m, &item, true);
}

/* Adds the hosts that suspect MEMBER according to ITEM.  Returns whether one
   of them was new.  */
static bool
merge_suspecting_hosts (struct ab_membership *m, struct ab_member *member,
                        const struct ab_item *item)
{
  struct ab_item merged = member->item;
  bool added = false;

  for (size_t i = 0; i < item->suspecting_count; i++)
    added |= ab_item_add_suspecting_host (&merged, item->suspecting_hosts[i]);
  if (!added)
    member_count_received_copy (m, member);
  else
    member_publish (m, &merged, true);
  return added;
}

static bool
is_urgent (const struct ab_member *known, const struct ab_item *item)
{
  switch (item->kind)
    {
    case AB_ITEM_HOST:
      return item->host.state != AB_HOST_ALIVE
             || (known && known->item.host.state != AB_HOST_ALIVE);
    case AB_ITEM_TARGET:
      return item->target.state != AB_TARGET_ACTIVE
             && (!known || known->item.target.state == AB_TARGET_ACTIVE);
    default:
      return true;
    }
}

/* Whether an earlier registrar ended a target whose lease this host holds: the
   target has moved here, and the earlier registrar did not know.  */
static bool
must_reassert (const struct ab_membership *m, const struct ab_item *item)
{
  return item->kind == AB_ITEM_TARGET && ab_item_ended (item)
         && strcmp (item->target.registrar, m->self->item.host.name) != 0
         && m->env->ops->holds_lease (m->env, &item->target);
}

static bool
is_expired (const struct ab_membership *m, const struct ab_item *item)
{
  if (item->kind == AB_ITEM_QUARANTINE && !ab_item_ended (item))
    return item->quarantine.until_wall_ms < m->wall_ms;
  return ab_item_ended (item)
         && item->age_ms >= (item->kind == AB_ITEM_HOST
                                 ? AB_MEMBER_HOST_TOMBSTONE_MS
                                 : AB_MEMBER_TARGET_TOMBSTONE_MS)
                                / 2;
}

static bool
merge_newer (struct ab_membership *m, const struct ab_member *known,
             const struct ab_item *item)
{
  bool urgent = is_urgent (known, item);
  struct ab_item own;
  struct ab_member *member;

  if (must_reassert (m, item))
    {
      own = known ? known->item : *item;
      own.target.state = AB_TARGET_ACTIVE;
      own.version = item->version + 1;
      ab_chunk_copy_bounded (ab_chunk_str (m->self->item.host.name),
                             own.target.registrar,
                             sizeof own.target.registrar);
      member_publish (m, &own, true);
      return true;
    }
  member = member_store (m, item);
  if (!member)
    return false;
  if ((!m->spread_urgent_only || urgent) && item->age_ms < SPREAD_AGE_MAX_MS)
    member_queue_update (m, member, urgent);
  notify (m, member);
  return true;
}

bool
member_merge (struct ab_membership *m, const struct ab_item *item)
{
  struct ab_member *known = member_find (m, item->key);
  int order;

  if (!known)
    return !is_expired (m, item) && merge_newer (m, NULL, item);
  if (!ab_item_same_identity (&known->item, item))
    {
      m->stats.corrupt++;
      return false;
    }
  order = ab_item_compare (item, &known->item);
  if (known == m->self)
    {
      if (order > 0)
        refute (m, item);
      return order > 0;
    }
  if (item->incarnation == known->item.incarnation
      && item->version == known->item.version
      && is_host (item, AB_HOST_SUSPECT)
      && is_host (&known->item, AB_HOST_SUSPECT))
    return merge_suspecting_hosts (m, known, item);
  if (order > 0)
    return merge_newer (m, known, item);
  if (order == 0)
    member_count_received_copy (m, known);
  else
    m->stats.stale++;
  return false;
}

static int
add_self (struct ab_membership *m)
{
  struct ab_item item = { .kind = AB_ITEM_HOST, .version = 1 };

  item.host = m->config.self;
  item.host.state = AB_HOST_ALIVE;
  item.incarnation = m->config.self.incarnation;
  ab_item_update_hashes (&item);
  m->self = member_store (m, &item);
  if (!m->self)
    return AB_ERR_MEMORY;
  member_queue_update (m, m->self, false);
  return 0;
}

static int
copy_seeds (struct ab_membership *m)
{
  size_t count = m->config.seed_count;

  m->config.seeds = NULL;
  if (count == 0)
    return 0;
  m->seeds = calloc (count, sizeof m->seeds[0]);
  return m->seeds ? 0 : AB_ERR_MEMORY;
}

struct ab_membership *
ab_membership_new (struct ab_membership_env *env, struct ab_rng *rng,
                   const struct ab_membership_config *config, uint64_t now_ms)
{
  struct ab_membership *m = calloc (1, sizeof *m);

  if (!m)
    return NULL;
  m->env = env;
  m->rng = rng;
  m->config = *config;
  m->now_ms = now_ms;
  m->tokens_ms = now_ms;
  m->tokens = AB_MEMBER_BURST;
  m->credit = AB_MEMBER_JOIN_CREDIT;
  m->join_until_ms = now_ms + JOIN_TIMEOUT_MS;
  /* Random offsets keep hosts that start together from probing in step.  */
  m->probe_ms = now_ms + ab_rng_below (rng, config->probe_interval_ms);
  m->digest_ms = now_ms + ab_rng_below (rng, config->probe_interval_ms);
  if (copy_seeds (m) < 0 || add_self (m) < 0)
    {
      ab_membership_free (m);
      return NULL;
    }
  if (m->seeds)
    memcpy (m->seeds, config->seeds, config->seed_count * sizeof m->seeds[0]);
  return m;
}

void
ab_membership_free (struct ab_membership *m)
{
  struct ab_member *member;
  struct ab_member *next;

  if (!m)
    return;
  for (size_t i = 0; i < MEMBER_LEAVES; i++)
    for (member = m->leaves[i]; member; member = next)
      {
        next = member->next;
        free (member);
      }
  free ((void *)m->hosts);
  free (m->seeds);
  ab_buf_free (&m->packet);
  ab_buf_free (&m->items);
  free (m);
}

void
ab_membership_tick (struct ab_membership *m, uint64_t now_ms, uint64_t wall_ms)
{
  uint64_t gap_ms = now_ms - m->now_ms;

  m->now_ms = now_ms;
  m->wall_ms = wall_ms;
  if (gap_ms >= STALL_MS)
    {
      m->stats.stalls++;
      member_probe_exclude_stall (m, gap_ms);
      member_sweep_exclude_stall (m, gap_ms);
      m->probe_ms = now_ms + m->config.probe_interval_ms;
    }
  member_gossip_tick (m);
  member_probe_tick (m);
  member_repair_tick (m);
  member_sweep_tick (m);
}

int
ab_membership_receive (struct ab_membership *m, const struct ab_frame *frame,
                       uint64_t now_ms)
{
  int rc = 0;

  /* After a stall, the next tick must still see the gap.  */
  if (now_ms - m->now_ms < STALL_MS)
    m->now_ms = now_ms;
  switch (frame->type)
    {
    case AB_FRAME_PING:
      rc = member_receive_ping (m, frame);
      break;
    case AB_FRAME_ACK:
      rc = member_receive_ack (m, frame);
      break;
    case AB_FRAME_PING_REQUEST:
      rc = member_receive_ping_request (m, frame);
      break;
    case AB_FRAME_DELTA:
    case AB_FRAME_REPAIR:
      rc = member_receive_repair (m, frame);
      break;
    case AB_FRAME_DIGEST:
      rc = member_receive_digest (m, frame);
      break;
    default:
      rc = AB_ERR_INVALID;
    }
  if (rc < 0)
    m->stats.corrupt++;
  return rc;
}

void
ab_membership_set_self (struct ab_membership *m, bool leaving, bool ready,
                        uint64_t now_ms)
{
  struct ab_item item = m->self->item;
  enum ab_host_state state = leaving ? AB_HOST_LEAVING : AB_HOST_ALIVE;

  if (item.host.state == state && item.host.ready == ready)
    return;
  m->now_ms = now_ms;
  item.host.state = state;
  item.host.ready = ready;
  item.version++;
  member_publish (m, &item, true);
}

int
ab_membership_announce (struct ab_membership *m,
                        const struct ab_target_view *target, uint64_t lease_ms,
                        uint64_t now_ms)
{
  struct ab_item item = { .kind = AB_ITEM_TARGET, .version = 1 };
  const struct ab_member *known
      = member_find (m, ab_item_target_key (ab_chunk_str (target->service),
                                            ab_chunk_str (target->address)));

  m->now_ms = now_ms;
  if (known && known->item.incarnation > target->incarnation)
    return AB_ERR_STALE;
  if (known && known->item.incarnation == target->incarnation)
    item.version = known->item.version + 1;
  item.target = *target;
  item.incarnation = target->incarnation;
  item.lease_ms = lease_ms;
  ab_chunk_copy_bounded (ab_chunk_str (m->self->item.host.name),
                         item.target.registrar, sizeof item.target.registrar);
  return member_publish (m, &item, false);
}

int
ab_membership_set_target_state (struct ab_membership *m,
                                const struct ab_target_view *target,
                                enum ab_target_state state, uint64_t now_ms)
{
  const struct ab_member *known
      = member_find (m, ab_item_target_key (ab_chunk_str (target->service),
                                            ab_chunk_str (target->address)));
  struct ab_item item;

  m->now_ms = now_ms;
  if (!known)
    return AB_ERR_NOT_FOUND;
  item = known->item;
  if (item.incarnation != target->incarnation
      || strcmp (item.target.registrar, m->self->item.host.name) != 0)
    return AB_ERR_STALE;
  if (item.target.state == state)
    return 0;
  item.target.state = state;
  item.version++;
  return member_publish (m, &item, is_urgent (known, &item));
}

int
ab_membership_quarantine (struct ab_membership *m,
                          const struct ab_quarantine_view *view,
                          uint64_t now_ms, uint64_t wall_ms)
{
  const struct ab_member *known
      = member_find (m, ab_item_quarantine_key (&view->content));
  struct ab_item item = { .kind = AB_ITEM_QUARANTINE, .version = wall_ms };
  struct ab_member *published;
  int rc;

  m->now_ms = now_ms;
  m->wall_ms = wall_ms;
  if (known && known->item.version >= item.version)
    item.version = known->item.version + 1;
  item.quarantine = *view;
  rc = member_publish (m, &item, true);
  published = member_find (m, ab_item_quarantine_key (&view->content));
  if (rc == 0 && published)
    member_broadcast (m, published);
  return rc;
}
