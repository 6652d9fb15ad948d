#include "member_core.h"

#include <stdlib.h>

#include "error.h"
#include "rendezvous.h"

#define LEAF_SHIFT 52 /* The top 12 bits of a key choose its leaf.  */

size_t
member_leaf (uint64_t key)
{
  return (size_t)(key >> LEAF_SHIFT);
}

struct ab_member *
member_find (const struct ab_membership *m, uint64_t key)
{
  struct ab_member *member = m->leaves[member_leaf (key)];

  while (member && member->item.key != key)
    member = member->next;
  return member;
}

struct ab_member *
member_find_host (const struct ab_membership *m, struct ab_chunk name)
{
  struct ab_member *member = member_find (m, ab_item_host_key (name));

  if (member
      && (member->item.kind != AB_ITEM_HOST
          || !ab_chunk_equal (ab_chunk_str (member->item.host.name), name)))
    return NULL;
  return member;
}

/* Returns the hash of ITEM that is added to the digest, never 0.  */
static uint64_t
item_hash (const struct ab_item *item)
{
  uint64_t digest_hash = ab_rendezvous_mix (item->key ^ item->incarnation);

  digest_hash = ab_rendezvous_mix (digest_hash + item->version);
  digest_hash = ab_rendezvous_mix (digest_hash + item->content_hash);
  return digest_hash ? digest_hash : 1;
}

void
member_set_digested (struct ab_membership *m, struct ab_member *member,
                     bool digested)
{
  size_t leaf = member_leaf (member->item.key);
  size_t bucket = leaf / MEMBER_LEAVES_PER_BUCKET;
  uint64_t digest_hash = digested ? item_hash (&member->item) : 0;

  m->leaf_hash[leaf] += digest_hash - member->digest_hash;
  m->bucket_hash[bucket] += digest_hash - member->digest_hash;
  m->bucket_items[bucket] += (digest_hash != 0) - (member->digest_hash != 0);
  member->digest_hash = digest_hash;
}

static int
add_host (struct ab_membership *m, struct ab_member *member)
{
  if (m->host_count == m->host_cap)
    {
      size_t cap = m->host_cap ? 2 * m->host_cap : 16;
      struct ab_member **hosts
          = realloc (m->hosts, cap * sizeof (struct ab_member *));
      if (!hosts)
        return AB_ERR_MEMORY;
      m->hosts = hosts;
      m->host_cap = cap;
    }
  m->hosts[m->host_count++] = member;
  return 0;
}

static struct ab_member *
add_member (struct ab_membership *m, const struct ab_item *item)
{
  struct ab_member **leaf = &m->leaves[member_leaf (item->key)];
  struct ab_member *member = calloc (1, sizeof *member);

  if (!member)
    return NULL;
  member->item = *item;
  if (item->kind == AB_ITEM_HOST)
    {
      member->name_hash = ab_rendezvous_hash (ab_chunk_str (item->host.name));
      if (add_host (m, member) < 0)
        {
          free (member);
          return NULL;
        }
    }
  member->since_ms = m->now_ms;
  member->next = *leaf;
  *leaf = member;
  m->item_count++;
  return member;
}

struct ab_member *
member_store (struct ab_membership *m, const struct ab_item *item)
{
  struct ab_member *member = member_find (m, item->key);
  bool was_ended = false;

  if (!member)
    member = add_member (m, item);
  else
    was_ended = ab_item_ended (&member->item) || member->hidden;
  if (!member)
    return NULL;
  if (item->incarnation != member->item.incarnation
      || (was_ended && !ab_item_ended (item)))
    member->since_ms = m->now_ms;
  member->item = *item;
  member->hidden = false;
  member->orphan_ms = 0;
  if (item->kind == AB_ITEM_TARGET)
    {
      member->item.target.since_ms = member->since_ms;
      member->registrar_key
          = ab_item_host_key (ab_chunk_str (item->target.registrar));
    }
  member->ended_ms = ab_item_ended (item) && m->now_ms > item->age_ms
                         ? m->now_ms - item->age_ms
                         : 0;
  if (ab_item_ended (item) && member->ended_ms == 0)
    member->ended_ms = 1;
  if (item->kind != AB_ITEM_HOST || item->host.state != AB_HOST_SUSPECT)
    member->suspect_ms = 0;
  else if (member->suspect_ms == 0)
    member->suspect_ms = m->now_ms;
  member_set_digested (m, member, true);
  return member;
}

static void
remove_host (struct ab_membership *m, const struct ab_member *member)
{
  for (size_t i = 0; i < m->host_count; i++)
    if (m->hosts[i] == member)
      {
        m->hosts[i] = m->hosts[--m->host_count];
        return;
      }
}

void
member_remove (struct ab_membership *m, struct ab_member *member)
{
  struct ab_member **link = &m->leaves[member_leaf (member->item.key)];

  member_set_digested (m, member, false);
  member_dequeue_update (m, member);
  if (member->item.kind == AB_ITEM_HOST)
    remove_host (m, member);
  while (*link != member)
    link = &(*link)->next;
  *link = member->next;
  m->item_count--;
  free (member);
}

void
member_refresh_age (const struct ab_membership *m, struct ab_member *member)
{
  member->item.age_ms
      = ab_item_ended (&member->item) ? m->now_ms - member->ended_ms : 0;
}

bool
member_is_live (const struct ab_member *member)
{
  return member->item.host.state != AB_HOST_DEAD;
}

bool
member_same_region (const struct ab_membership *m,
                    const struct ab_member *host)
{
  return strcmp (m->self->item.host.region, host->item.host.region) == 0;
}
