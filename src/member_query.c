#include "member_core.h"
#include "rendezvous.h"

static bool
is_shown (const struct ab_member *member, bool include_ended)
{
  return include_ended || (!member->hidden && !ab_item_ended (&member->item));
}

static void
visit_hosts (const struct ab_membership *m, bool include_ended,
             ab_item_visitor visit, void *ctx)
{
  for (size_t i = 0; i < m->host_count; i++)
    if (is_shown (m->hosts[i], include_ended)
        && !visit (ctx, &m->hosts[i]->item))
      return;
}

void
ab_membership_visit (const struct ab_membership *m, enum ab_item_kind kind,
                     bool include_ended, ab_item_visitor visit, void *ctx)
{
  if (kind == AB_ITEM_HOST)
    {
      visit_hosts (m, include_ended, visit, ctx);
      return;
    }
  for (size_t i = 0; i < MEMBER_LEAVES; i++)
    for (const struct ab_member *member = m->leaves[i]; member;
         member = member->next)
      if (member->item.kind == kind && is_shown (member, include_ended)
          && !visit (ctx, &member->item))
        return;
}

const struct ab_item *
ab_membership_find_host (const struct ab_membership *m, struct ab_chunk name)
{
  const struct ab_member *member = member_find_host (m, name);

  return member ? &member->item : NULL;
}

const struct ab_item *
ab_membership_find_target (const struct ab_membership *m,
                           struct ab_chunk service, struct ab_chunk address)
{
  const struct ab_member *member
      = member_find (m, ab_item_target_key (service, address));

  if (!member || member->item.kind != AB_ITEM_TARGET || member->hidden
      || ab_item_ended (&member->item))
    return NULL;
  return &member->item;
}

const struct ab_item *
ab_membership_find_quarantine (const struct ab_membership *m,
                               const struct ab_digest *content)
{
  const struct ab_member *member
      = member_find (m, ab_item_quarantine_key (content));

  if (!member || member->item.kind != AB_ITEM_QUARANTINE
      || ab_item_ended (&member->item))
    return NULL;
  return &member->item;
}

const struct ab_item *
ab_membership_self (const struct ab_membership *m)
{
  return &m->self->item;
}

bool
ab_membership_joined (const struct ab_membership *m)
{
  return m->joined;
}

uint64_t
ab_membership_target_incarnation (const struct ab_membership *m,
                                  struct ab_chunk service,
                                  struct ab_chunk address)
{
  const struct ab_member *member
      = member_find (m, ab_item_target_key (service, address));

  return member && member->item.kind == AB_ITEM_TARGET
             ? member->item.incarnation
             : 0;
}

uint64_t
ab_membership_digest (const struct ab_membership *m)
{
  uint64_t digest = 0;

  for (size_t i = 0; i < MEMBER_BUCKETS; i++)
    digest += ab_rendezvous_mix (m->bucket_hash[i]);
  return digest;
}

struct ab_membership_stats
ab_membership_stats (const struct ab_membership *m)
{
  struct ab_membership_stats stats = m->stats;

  stats.hosts = m->host_count;
  stats.items = m->item_count;
  stats.updates_waiting = m->queued_count;
  stats.memory_bytes = sizeof *m + m->item_count * sizeof (struct ab_member)
                       + m->host_cap * sizeof (struct ab_member *)
                       + m->packet.cap + m->items.cap;
  return stats;
}
