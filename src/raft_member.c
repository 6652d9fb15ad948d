#include "raft_internal.h"

#include "error.h"

bool
ab_raft_disk_known (const uint8_t disk_id[AB_DISK_ID_BYTES])
{
  static const uint8_t unknown[AB_DISK_ID_BYTES];

  return memcmp (disk_id, unknown, AB_DISK_ID_BYTES) != 0;
}

struct ab_raft_member *
ab_raft_find_member (struct ab_raft_configuration *c, const char *host)
{
  for (size_t i = 0; i < c->count; i++)
    if (strcmp (c->members[i].host, host) == 0)
      return &c->members[i];
  return NULL;
}

struct ab_raft_peer *
ab_raft_find_peer (struct ab_raft *raft, const char *host)
{
  for (size_t i = 0; i < raft->peer_count; i++)
    if (strcmp (raft->peers[i].host, host) == 0)
      return &raft->peers[i];
  return NULL;
}

bool
ab_raft_self_can_vote (const struct ab_raft *raft)
{
  const struct ab_raft_member *self = ab_raft_find_member (
      (struct ab_raft_configuration *)&raft->members, raft->host);

  if (!self || self->learner || raft->disk_replaced || raft->failed)
    return false;
  return !ab_raft_disk_known (self->disk_id)
         || memcmp (self->disk_id, raft->disk_id, AB_DISK_ID_BYTES) == 0;
}

bool
ab_raft_disks_all_known (const struct ab_raft *raft)
{
  for (size_t i = 0; i < raft->members.count; i++)
    if (!raft->members.members[i].learner
        && !ab_raft_disk_known (raft->members.members[i].disk_id))
      return false;
  return true;
}

int
ab_raft_members_at (const struct ab_raft *raft, uint64_t index,
                    struct ab_raft_configuration *c)
{
  uint64_t last = ab_raft_log_last_index (&raft->log);

  for (uint64_t i = index < last ? index : last; i > raft->snapshot_index; i--)
    {
      const struct ab_raft_entry *entry = ab_raft_log_get (&raft->log, i);
      if (!entry)
        break;
      if (entry->kind != AB_RAFT_ENTRY_CONFIG)
        continue;
      c->index = i;
      return ab_raft_members_decode (entry->data, c->members, &c->count);
    }
  *c = raft->snapshot_members;
  return 0;
}

int
ab_raft_reload_members (struct ab_raft *raft)
{
  struct ab_raft_configuration c;
  int rc = ab_raft_members_at (raft, UINT64_MAX, &c);

  if (rc < 0)
    return rc;
  raft->members = c;
  ab_raft_update_peers (raft);
  return 0;
}

/* Updates the peers to the current configuration.  A peer whose disk has
   changed starts without progress: what the old disk held is lost.  */
void
ab_raft_update_peers (struct ab_raft *raft)
{
  struct ab_raft_peer old[AB_RAFT_MEMBERS_MAX];
  size_t old_count = raft->peer_count;

  memcpy (old, raft->peers, sizeof old);
  memset (raft->peers, 0, sizeof raft->peers);
  raft->peer_count = 0;
  for (size_t i = 0; i < raft->members.count; i++)
    {
      const struct ab_raft_member *member = &raft->members.members[i];
      struct ab_raft_peer *peer;
      if (strcmp (member->host, raft->host) == 0)
        continue;
      peer = &raft->peers[raft->peer_count++];
      memcpy (peer->host, member->host, sizeof peer->host);
      peer->next = ab_raft_log_last_index (&raft->log) + 1;
      for (size_t j = 0; j < old_count; j++)
        if (strcmp (old[j].host, member->host) == 0
            && (memcmp (old[j].disk_id, member->disk_id, AB_DISK_ID_BYTES) == 0
                || !ab_raft_disk_known (old[j].disk_id)))
          *peer = old[j];
      memcpy (peer->disk_id, member->disk_id, AB_DISK_ID_BYTES);
    }
}

uint64_t
ab_raft_quorum_value (const struct ab_raft *raft, uint64_t self_value,
                      uint64_t (*value) (const struct ab_raft_peer *))
{
  uint64_t values[AB_RAFT_MEMBERS_MAX];
  size_t count = 0;

  for (size_t i = 0; i < raft->members.count; i++)
    {
      const struct ab_raft_member *member = &raft->members.members[i];
      struct ab_raft_peer *peer;
      uint64_t v = self_value;
      size_t at = count;
      if (member->learner)
        continue;
      peer = ab_raft_find_peer ((struct ab_raft *)raft, member->host);
      if (peer)
        v = value (peer);
      /* Insertion sort, in descending order.  */
      for (; at > 0 && values[at - 1] < v; at--)
        values[at] = values[at - 1];
      values[at] = v;
      count++;
    }
  return count ? values[count / 2] : 0;
}

int
ab_raft_append_members (struct ab_raft *raft,
                        const struct ab_raft_configuration *c)
{
  struct ab_buf data = AB_BUF_INIT;
  uint64_t index;
  int rc;

  ab_raft_members_pack (&data, c->members, c->count);
  rc = data.error;
  if (rc == 0)
    rc = ab_raft_append_new (raft, AB_RAFT_ENTRY_CONFIG, ab_buf_chunk (&data),
                             &index);
  ab_buf_free (&data);
  return rc;
}

/* Records, as the first leader of a group, the disk that each vote came from.
   Until then an election needs the votes of all voters.  */
int
ab_raft_record_voter_disks (struct ab_raft *raft)
{
  struct ab_raft_configuration c = raft->members;

  for (size_t i = 0; i < c.count; i++)
    {
      struct ab_raft_member *member = &c.members[i];
      const struct ab_raft_peer *peer = ab_raft_find_peer (raft, member->host);
      if (member->learner || ab_raft_disk_known (member->disk_id))
        continue;
      memcpy (member->disk_id, peer ? peer->vote_disk_id : raft->disk_id,
              AB_DISK_ID_BYTES);
    }
  return ab_raft_append_members (raft, &c);
}

static int
change_allowed (const struct ab_raft *raft)
{
  if (raft->failed)
    return raft->failed;
  if (raft->role != AB_RAFT_LEADER)
    return AB_ERR_NOT_LEADER;
  /* Two changes at once, or one before an entry of this term is committed,
     could give two majorities without a common member.  */
  if (raft->members.index > raft->commit
      || raft->commit < raft->term_start_index)
    return AB_ERR_BUSY;
  return 0;
}

void
ab_raft_record_learner_disk (struct ab_raft *raft, const char *host,
                             const uint8_t disk_id[AB_DISK_ID_BYTES])
{
  struct ab_raft_configuration c = raft->members;
  struct ab_raft_member *member = ab_raft_find_member (&c, host);

  /* A voter's disk is recorded only from its vote: the disk that replies now
     may have replaced it.  */
  if (!member || !member->learner || ab_raft_disk_known (member->disk_id)
      || change_allowed (raft) < 0)
    return;
  memcpy (member->disk_id, disk_id, AB_DISK_ID_BYTES);
  ab_raft_append_members (raft, &c);
}

int
ab_raft_add_learner (struct ab_raft *raft, uint64_t now_ms,
                     const struct ab_raft_member *member)
{
  struct ab_raft_configuration c = raft->members;
  int rc = change_allowed (raft);

  (void)now_ms;
  if (rc < 0)
    return rc;
  if (ab_raft_find_member (&c, member->host))
    return AB_ERR_EXISTS;
  if (c.count == AB_RAFT_MEMBERS_MAX || c.count == AB_CONTROL_MEMBERS_MAX)
    return AB_ERR_FULL;
  c.members[c.count] = *member;
  c.members[c.count].learner = true;
  c.count++;
  return ab_raft_append_members (raft, &c);
}

int
ab_raft_promote (struct ab_raft *raft, uint64_t now_ms, const char *host)
{
  struct ab_raft_configuration c = raft->members;
  struct ab_raft_member *member = ab_raft_find_member (&c, host);
  const struct ab_raft_peer *peer = ab_raft_find_peer (raft, host);
  int rc = change_allowed (raft);

  if (rc < 0)
    return rc;
  if (!member)
    return AB_ERR_NOT_FOUND;
  if (!member->learner)
    return AB_ERR_EXISTS;
  /* Promoting a learner that lags would leave the group without a majority
     that can commit if a second member fails soon after.  */
  if (!peer || !ab_raft_disk_known (member->disk_id)
      || peer->match < raft->commit
      || now_ms - peer->heard_ms > raft->election_ms)
    return AB_ERR_UNAVAILABLE;
  member->learner = false;
  return ab_raft_append_members (raft, &c);
}

int
ab_raft_remove (struct ab_raft *raft, uint64_t now_ms, const char *host)
{
  struct ab_raft_configuration c = raft->members;
  struct ab_raft_member *member = ab_raft_find_member (&c, host);
  size_t voters = 0;
  int rc = change_allowed (raft);

  (void)now_ms;
  if (rc < 0)
    return rc;
  if (!member)
    return AB_ERR_NOT_FOUND;
  for (size_t i = 0; i < c.count; i++)
    voters += !c.members[i].learner;
  if (!member->learner && voters == 1)
    return AB_ERR_INVALID;
  memmove (member, member + 1,
           (size_t)(c.members + c.count - (member + 1)) * sizeof *member);
  c.count--;
  return ab_raft_append_members (raft, &c);
}
