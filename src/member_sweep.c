#include "member_core.h"

#define SWEEP_INTERVAL_MS 100
/* The whole table is swept once a second.  */
#define LEAVES_PER_SWEEP (MEMBER_LEAVES / 10)
/* Largest difference between the wall clocks of hosts.  */
#define QUARANTINE_MARGIN_MS 60000

/* Removes an item KEEP_MS after it ended.  The item leaves the digest after
   half that time, so that a host that has removed it does not get it back from
   one that has not.  */
static void
sweep_ended (struct ab_membership *m, struct ab_member *member,
             uint64_t ended_ms, uint64_t keep_ms)
{
  uint64_t age_ms = m->now_ms - ended_ms;

  if (age_ms >= keep_ms)
    member_remove (m, member);
  else if (age_ms >= keep_ms / 2 && member->digest_hash)
    member_set_digested (m, member, false);
}

static void
sweep_quarantine (struct ab_membership *m, struct ab_member *member)
{
  uint64_t until_ms = member->item.quarantine.until_wall_ms;

  if (ab_item_ended (&member->item))
    sweep_ended (m, member, member->ended_ms, AB_MEMBER_TARGET_TOMBSTONE_MS);
  else if (m->wall_ms > until_ms + QUARANTINE_MARGIN_MS)
    member_remove (m, member);
  else if (m->wall_ms > until_ms && member->digest_hash)
    member_set_digested (m, member, false);
}

/* Whether no host renews the target's lease.  */
static bool
is_orphan (const struct ab_membership *m, const struct ab_member *member)
{
  /* The registrar's key is stored, as each target is checked every second.  */
  const struct ab_member *host = member_find (m, member->registrar_key);

  if (host == m->self)
    return !m->env->ops->holds_lease (m->env, &member->item.target);
  return !host || !member_is_live (host);
}

/* Treats a target whose registrar is lost as removed.  Every host does so by
   its own clock, so that losing a registrar causes no messages.  The item is
   kept for its version.  */
static void
hide_target (struct ab_membership *m, struct ab_member *member)
{
  struct ab_target_view view = member->item.target;

  member->hidden = true;
  view.state = AB_TARGET_REMOVED;
  m->env->ops->target_changed (m->env, &view);
}

/* Ends a target whose registrar is this host, which has no lease for it.  */
static void
end_own_orphan (struct ab_membership *m, struct ab_member *member)
{
  struct ab_item item = member->item;

  item.target.state = AB_TARGET_REMOVED;
  item.version++;
  item.age_ms = 0;
  member_publish (m, &item, true);
}

static void
sweep_target (struct ab_membership *m, struct ab_member *member)
{
  uint64_t grace_ms = AB_MEMBER_ORPHAN_LEASES * member->item.lease_ms;

  if (ab_item_ended (&member->item))
    {
      sweep_ended (m, member, member->ended_ms, AB_MEMBER_TARGET_TOMBSTONE_MS);
      return;
    }
  if (!is_orphan (m, member))
    {
      member->orphan_ms = 0;
      if (member->hidden)
        {
          member->hidden = false;
          member_set_digested (m, member, true);
          m->env->ops->target_changed (m->env, &member->item.target);
        }
      return;
    }
  if (member->orphan_ms == 0)
    member->orphan_ms = m->now_ms;
  if (m->now_ms - member->orphan_ms < grace_ms)
    return;
  if (strcmp (member->item.target.registrar, m->self->item.host.name) == 0)
    end_own_orphan (m, member);
  else if (!member->hidden)
    hide_target (m, member);
  else
    sweep_ended (m, member, member->orphan_ms, AB_MEMBER_TARGET_TOMBSTONE_MS);
}

static void
sweep_member (struct ab_membership *m, struct ab_member *member)
{
  if (member == m->self)
    return;
  switch (member->item.kind)
    {
    case AB_ITEM_HOST:
      if (ab_item_ended (&member->item))
        sweep_ended (m, member, member->ended_ms, AB_MEMBER_HOST_TOMBSTONE_MS);
      break;
    case AB_ITEM_TARGET:
      sweep_target (m, member);
      break;
    case AB_ITEM_QUARANTINE:
      sweep_quarantine (m, member);
      break;
    }
}

void
member_sweep_tick (struct ab_membership *m)
{
  if (m->now_ms < m->sweep_ms)
    return;
  m->sweep_ms = m->now_ms + SWEEP_INTERVAL_MS;
  for (size_t i = 0; i <= LEAVES_PER_SWEEP; i++)
    {
      struct ab_member *member = m->leaves[m->sweep_leaf];
      struct ab_member *next;
      for (; member; member = next)
        {
          next = member->next;
          sweep_member (m, member);
        }
      m->sweep_leaf = (m->sweep_leaf + 1) % MEMBER_LEAVES;
    }
}

void
member_sweep_exclude_stall (struct ab_membership *m, uint64_t stall_ms)
{
  for (size_t i = 0; i < MEMBER_LEAVES; i++)
    for (struct ab_member *member = m->leaves[i]; member;
         member = member->next)
      if (member->orphan_ms)
        member->orphan_ms += stall_ms;
}
