#include "raft_internal.h"

#include "error.h"

bool
ab_raft_accept_leader (struct ab_raft *raft, uint64_t now_ms, const char *from,
                       const struct ab_raft_msg *msg)
{
  if (msg->term < raft->hard_state.term)
    {
      struct ab_raft_msg reply = { .type = AB_RAFT_MSG_APPEND_REPLY,
                                   .term = raft->hard_state.term };
      ab_raft_queue_message (raft, from, &reply);
      return false;
    }
  if (ab_raft_adopt_term (raft, now_ms, msg->term) < 0
      || raft->role == AB_RAFT_LEADER)
    return false;
  ab_raft_become_follower (raft, now_ms, from);
  raft->leader_heard_ms = now_ms;
  raft->disk_replaced
      = ab_raft_disk_known (msg->receiver_disk_id)
        && memcmp (msg->receiver_disk_id, raft->disk_id, AB_DISK_ID_BYTES)
               != 0;
  return true;
}

/* Whether the entry at MSG's index is the same as the leader's; committed
   entries always are.  */
static bool
previous_matches (const struct ab_raft *raft, const struct ab_raft_msg *msg)
{
  uint64_t term;

  if (msg->index <= raft->commit)
    return true;
  return ab_raft_log_term (&raft->log, msg->index, &term)
         && term == msg->log_term;
}

static void
reject_append (struct ab_raft *raft, const char *from,
               const struct ab_raft_msg *msg)
{
  struct ab_raft_msg reply = { .type = AB_RAFT_MSG_APPEND_REPLY,
                               .term = raft->hard_state.term,
                               .round = msg->round,
                               .index = msg->index };
  uint64_t term;

  if (ab_raft_log_term (&raft->log, msg->index, &term))
    {
      reply.hint_term = term;
      reply.hint_index = ab_raft_log_term_start (&raft->log, msg->index);
    }
  else
    reply.hint_index = ab_raft_log_last_index (&raft->log) + 1;
  ab_raft_queue_message (raft, from, &reply);
}

/* Drops the entries from INDEX on, which conflict with the leader's.  */
static int
truncate_conflict (struct ab_raft *raft, uint64_t index)
{
  int rc;

  if (index <= raft->commit)
    return ab_raft_fail (raft, AB_ERR_CORRUPT);
  rc = raft->io->ops->truncate (raft->io, index);
  if (rc < 0)
    return ab_raft_fail (raft, rc);
  raft->dirty = true;
  ab_raft_log_truncate (&raft->log, index);
  if (raft->stable >= index)
    raft->stable = index - 1;
  if (raft->members.index >= index)
    rc = ab_raft_reload_members (raft);
  return rc < 0 ? ab_raft_fail (raft, rc) : 0;
}

static int
append_new_entries (struct ab_raft *raft, const struct ab_raft_msg *msg)
{
  size_t known = 0;
  uint64_t term;
  int rc = 0;

  while (
      known < msg->entry_count
      && (msg->entries[known].index <= raft->commit
          || (ab_raft_log_term (&raft->log, msg->entries[known].index, &term)
              && term == msg->entries[known].term)))
    known++;
  if (known == msg->entry_count)
    return 0;
  if (msg->entries[known].index <= ab_raft_log_last_index (&raft->log))
    rc = truncate_conflict (raft, msg->entries[known].index);
  if (rc == 0)
    rc = ab_raft_append (raft, msg->entries + known, msg->entry_count - known);
  return rc;
}

void
ab_raft_handle_append (struct ab_raft *raft, uint64_t now_ms, const char *from,
                       const struct ab_raft_msg *msg)
{
  struct ab_raft_msg reply = { .type = AB_RAFT_MSG_APPEND_REPLY,
                               .round = msg->round,
                               .ok = true,
                               .index = msg->index + msg->entry_count };
  bool was_full = raft->disk_full;
  int rc;

  if (!ab_raft_accept_leader (raft, now_ms, from, msg))
    return;
  if (!previous_matches (raft, msg))
    {
      reject_append (raft, from, msg);
      return;
    }
  rc = append_new_entries (raft, msg);
  if (rc == AB_ERR_FULL)
    {
      reply.index = msg->index;
      reply.full = true;
      if (!was_full)
        raft->full_since_ms = now_ms;
    }
  else if (rc < 0)
    return;
  reply.term = raft->hard_state.term;
  if (msg->commit > raft->commit)
    {
      uint64_t commit = msg->commit < reply.index ? msg->commit : reply.index;
      if (commit > raft->commit)
        raft->commit = commit;
    }
  ab_raft_queue_message (raft, from, &reply);
}
