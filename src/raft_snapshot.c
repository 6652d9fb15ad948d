#include "raft_internal.h"

#include "error.h"

bool
ab_raft_sending_snapshot (const struct ab_raft *raft)
{
  if (raft->role != AB_RAFT_LEADER || raft->out_snapshot.len == 0)
    return false;
  for (size_t i = 0; i < raft->peer_count; i++)
    if (raft->peers[i].state == AB_RAFT_SNAPSHOT)
      return true;
  return false;
}

void
ab_raft_release_snapshot (struct ab_raft *raft)
{
  if (!ab_raft_sending_snapshot (raft))
    {
      ab_buf_free (&raft->out_snapshot);
      raft->out_snapshot_index = 0;
    }
}

/* Loads the newest snapshot for sending, unless the one in memory is still
   followed by the log without a gap.  */
static int
load_outgoing_snapshot (struct ab_raft *raft)
{
  uint64_t index;
  uint64_t term;
  int rc;

  if (raft->out_snapshot_index > 0
      && raft->out_snapshot_index >= raft->log.base_index)
    return 0;
  ab_buf_clear (&raft->out_snapshot);
  raft->out_snapshot_index = 0;
  rc = raft->io->ops->load_snapshot (raft->io, &index, &term,
                                     &raft->out_snapshot);
  if (rc < 0)
    return rc;
  /* The members are known only at the index of the current snapshot.  */
  if (index != raft->snapshot_index)
    return AB_ERR_UNAVAILABLE;
  raft->out_snapshot_index = index;
  raft->out_snapshot_term = term;
  raft->out_snapshot_members = raft->snapshot_members;
  for (size_t i = 0; i < raft->peer_count; i++)
    {
      raft->peers[i].snapshot_offset = 0;
      raft->peers[i].snapshot_next = 0;
    }
  return 0;
}

static void
send_piece (struct ab_raft *raft, struct ab_raft_peer *peer)
{
  size_t left = raft->out_snapshot.len - (size_t)peer->snapshot_next;
  size_t bytes = left < AB_RAFT_PIECE_BYTES ? left : AB_RAFT_PIECE_BYTES;
  struct ab_raft_msg msg = {
    .type = AB_RAFT_MSG_SNAPSHOT,
    .term = raft->hard_state.term,
    .index = raft->out_snapshot_index,
    .log_term = raft->out_snapshot_term,
    .round = raft->round,
    .offset = peer->snapshot_next,
    .total = raft->out_snapshot.len,
    .data = ab_chunk (raft->out_snapshot.data + peer->snapshot_next, bytes),
    .members = raft->out_snapshot_members.members,
    .member_count = raft->out_snapshot_members.count,
  };

  ab_raft_send_now (raft, peer->host, &msg);
  peer->snapshot_next += bytes;
}

void
ab_raft_send_snapshot (struct ab_raft *raft, uint64_t now_ms,
                       struct ab_raft_peer *peer)
{
  bool unresponsive = now_ms - peer->heard_ms > raft->election_ms;
  uint64_t limit;

  if (unresponsive || load_outgoing_snapshot (raft) < 0)
    return;
  if (peer->state != AB_RAFT_SNAPSHOT)
    {
      peer->state = AB_RAFT_SNAPSHOT;
      peer->snapshot_offset = 0;
      peer->snapshot_next = 0;
      peer->snapshot_sent_ms = 0;
    }
  if (now_ms - peer->snapshot_sent_ms >= raft->election_ms)
    peer->snapshot_next = peer->snapshot_offset;
  limit = peer->snapshot_offset
          + (uint64_t)AB_RAFT_PIECES_IN_FLIGHT * AB_RAFT_PIECE_BYTES;
  if (limit > raft->out_snapshot.len)
    limit = raft->out_snapshot.len;
  /* A snapshot of 0 bytes still takes one message.  */
  if (raft->out_snapshot.len == 0
      && now_ms - peer->snapshot_sent_ms >= raft->election_ms)
    send_piece (raft, peer);
  else if (peer->snapshot_next >= limit)
    return;
  while (peer->snapshot_next < limit)
    send_piece (raft, peer);
  peer->snapshot_sent_ms = now_ms;
}

void
ab_raft_handle_snapshot_reply (struct ab_raft *raft, uint64_t now_ms,
                               const char *from, const struct ab_raft_msg *msg)
{
  struct ab_raft_peer *peer = ab_raft_find_peer (raft, from);

  (void)now_ms;
  if (!peer || peer->state != AB_RAFT_SNAPSHOT)
    return;
  if (msg->ok)
    {
      if (msg->index > peer->match
          && msg->index <= ab_raft_log_last_index (&raft->log))
        peer->match = msg->index;
      peer->state = AB_RAFT_PROBE;
      peer->next = peer->match + 1;
      peer->paused = false;
      peer->in_flight_count = 0;
      ab_raft_release_snapshot (raft);
      return;
    }
  if (msg->index != raft->out_snapshot_index
      || msg->offset > raft->out_snapshot.len)
    return;
  peer->snapshot_offset = msg->offset;
  if (peer->snapshot_next < msg->offset || msg->full)
    peer->snapshot_next = msg->offset;
}

static int
install_snapshot (struct ab_raft *raft, const struct ab_raft_msg *msg)
{
  uint64_t term;
  int rc;

  /* When the log contains the snapshot's last entry, the entries before and
     after it are valid too.  */
  if (ab_raft_log_term (&raft->log, msg->index, &term)
      && term == msg->log_term)
    {
      raft->commit = msg->index;
      return 0;
    }
  rc = raft->io->ops->install_snapshot (raft->io, msg->index, msg->log_term,
                                        msg->members, msg->member_count,
                                        ab_buf_chunk (&raft->in_snapshot));
  if (rc < 0)
    return rc == AB_ERR_FULL ? rc : ab_raft_fail (raft, rc);
  ab_raft_log_reset (&raft->log, msg->index, msg->log_term);
  raft->snapshot_index = msg->index;
  raft->snapshot_term = msg->log_term;
  raft->commit = msg->index;
  raft->applied = msg->index;
  raft->stable = msg->index;
  memcpy (raft->snapshot_members.members, msg->members,
          sizeof raft->snapshot_members.members);
  raft->snapshot_members.count = msg->member_count;
  raft->snapshot_members.index = msg->index;
  return ab_raft_reload_members (raft);
}

/* Adds MSG's piece to the incoming snapshot; returns true when the snapshot is
   complete.  */
static bool
add_piece (struct ab_raft *raft, const struct ab_raft_msg *msg)
{
  if (raft->in_snapshot_index != msg->index
      || raft->in_snapshot_term != msg->log_term)
    {
      ab_buf_clear (&raft->in_snapshot);
      raft->in_snapshot_index = msg->index;
      raft->in_snapshot_term = msg->log_term;
    }
  if (msg->offset == raft->in_snapshot.len
      && msg->data.len <= msg->total - msg->offset)
    ab_buf_append_chunk (&raft->in_snapshot, msg->data);
  return raft->in_snapshot.error == 0 && raft->in_snapshot.len == msg->total;
}

void
ab_raft_handle_snapshot (struct ab_raft *raft, uint64_t now_ms,
                         const char *from, const struct ab_raft_msg *msg)
{
  struct ab_raft_msg reply = { .type = AB_RAFT_MSG_SNAPSHOT_REPLY,
                               .round = msg->round,
                               .index = msg->index };

  if (msg->total > AB_RAFT_SNAPSHOT_BYTES_MAX || msg->offset > msg->total
      || !ab_raft_accept_leader (raft, now_ms, from, msg))
    return;
  reply.term = raft->hard_state.term;
  if (msg->index <= raft->commit)
    {
      reply.ok = true;
      reply.index = raft->commit < msg->index ? raft->commit : msg->index;
    }
  else if (add_piece (raft, msg))
    {
      reply.ok = install_snapshot (raft, msg) == 0;
      ab_buf_free (&raft->in_snapshot);
      raft->in_snapshot_index = 0;
    }
  reply.offset = raft->in_snapshot.len;
  if (!raft->failed)
    ab_raft_queue_message (raft, from, &reply);
}
