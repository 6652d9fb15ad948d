#include "raft_internal.h"

#include <stdlib.h>

#include "error.h"

static uint64_t
peer_match (const struct ab_raft_peer *peer)
{
  return peer->match;
}

static uint64_t
peer_heard (const struct ab_raft_peer *peer)
{
  return peer->heard_ms;
}

static uint64_t
peer_round (const struct ab_raft_peer *peer)
{
  return peer->acked_round;
}

void
ab_raft_update_quorum_heard (struct ab_raft *raft, uint64_t now_ms)
{
  raft->quorum_heard_ms = ab_raft_quorum_value (raft, now_ms, peer_heard);
}

static void
reset_peer (struct ab_raft *raft, struct ab_raft_peer *peer, uint64_t now_ms)
{
  peer->state = AB_RAFT_PROBE;
  peer->match = 0;
  peer->next = ab_raft_log_last_index (&raft->log) + 1;
  peer->paused = false;
  peer->in_flight_count = 0;
  peer->commit_sent = 0;
  peer->heard_ms = now_ms;
  peer->acked_round = 0;
}

void
ab_raft_become_leader (struct ab_raft *raft, uint64_t now_ms)
{
  uint64_t index;
  int rc;

  raft->role = AB_RAFT_LEADER;
  raft->has_voted = true;
  memcpy (raft->leader_host, raft->host, sizeof raft->leader_host);
  for (size_t i = 0; i < raft->peer_count; i++)
    reset_peer (raft, &raft->peers[i], now_ms);
  raft->quorum_heard_ms = now_ms;
  raft->next_heartbeat_ms = now_ms;
  raft->term_start_index = ab_raft_log_last_index (&raft->log) + 1;
  if (ab_raft_disks_all_known (raft))
    rc = ab_raft_append_new (raft, AB_RAFT_ENTRY_NOOP, ab_chunk ("", 0),
                             &index);
  else
    rc = ab_raft_record_voter_disks (raft);
  if (rc < 0)
    ab_raft_resign_full (raft, now_ms);
}

static void
send_append (struct ab_raft *raft, struct ab_raft_peer *peer, uint64_t prev,
             size_t count)
{
  struct ab_raft_msg msg = { .type = AB_RAFT_MSG_APPEND,
                             .term = raft->hard_state.term,
                             .index = prev,
                             .commit = raft->commit,
                             .round = raft->round,
                             .entry_count = count };

  if (prev > 0)
    ab_raft_log_term (&raft->log, prev, &msg.log_term);
  if (count > 0)
    msg.entries
        = (struct ab_raft_entry *)ab_raft_log_get (&raft->log, prev + 1);
  peer->commit_sent = raft->commit;
  ab_raft_send_now (raft, peer->host, &msg);
}

/* Returns how many entries from FIRST on fit into one message.  */
static size_t
batch_size (const struct ab_raft *raft, uint64_t first)
{
  const struct ab_raft_entry *entry = ab_raft_log_get (&raft->log, first);
  size_t bytes = 0;
  size_t count = 0;

  while (entry && count < AB_RAFT_MSG_ENTRIES_MAX)
    {
      bytes += entry->data.len;
      if (count > 0 && bytes > AB_RAFT_MSG_ENTRY_BYTES)
        break;
      count++;
      entry = ab_raft_log_get (&raft->log, first + count);
    }
  return count;
}

/* Whether the term of the entry before the peer's next one is still known.  */
static bool
log_covers_next (const struct ab_raft *raft, const struct ab_raft_peer *peer)
{
  return peer->next > raft->log.base_index;
}

static bool
send_entries (struct ab_raft *raft, struct ab_raft_peer *peer)
{
  size_t count = batch_size (raft, peer->next);
  uint64_t prev = peer->next - 1;

  if (peer->state == AB_RAFT_PROBE)
    {
      peer->paused = true;
      send_append (raft, peer, prev, count);
      return true;
    }
  if (count == 0 || peer->in_flight_count == AB_RAFT_IN_FLIGHT_MAX)
    return false;
  peer->next += count;
  peer->in_flight[peer->in_flight_count++] = peer->next - 1;
  send_append (raft, peer, prev, count);
  return true;
}

static void
replicate_to (struct ab_raft *raft, uint64_t now_ms, struct ab_raft_peer *peer)
{
  if (peer->state == AB_RAFT_SNAPSHOT || !log_covers_next (raft, peer))
    {
      ab_raft_send_snapshot (raft, now_ms, peer);
      return;
    }
  while (!peer->paused && send_entries (raft, peer))
    continue;
  /* Send the commit index now, so that members need not wait for the next
     heartbeat to apply entries.  */
  if (peer->state == AB_RAFT_REPLICATE && !peer->paused
      && peer->commit_sent < raft->commit)
    send_append (raft, peer, peer->next - 1, 0);
}

static void
send_heartbeat (struct ab_raft *raft, struct ab_raft_peer *peer,
                uint64_t now_ms)
{
  bool unresponsive = now_ms - peer->heard_ms > raft->election_ms;

  if (unresponsive && peer->state == AB_RAFT_SNAPSHOT)
    peer->state = AB_RAFT_PROBE;
  if (peer->state == AB_RAFT_SNAPSHOT || !log_covers_next (raft, peer))
    /* Index 0 matches any log, so this message only shows that the leader is
       alive.  */
    send_append (raft, peer, 0, 0);
  else
    send_append (raft, peer, peer->next - 1, 0);
  peer->paused = peer->state == AB_RAFT_PROBE;
}

/* Sends a round of heartbeats to the voters; their acknowledgements confirm
   the pending reads.  */
static void
send_round (struct ab_raft *raft, uint64_t now_ms)
{
  for (size_t i = 0; i < raft->peer_count; i++)
    {
      const struct ab_raft_member *member
          = ab_raft_find_member (&raft->members, raft->peers[i].host);
      if (member && !member->learner)
        send_heartbeat (raft, &raft->peers[i], now_ms);
    }
}

void
ab_raft_replicate (struct ab_raft *raft, uint64_t now_ms)
{
  if (raft->role != AB_RAFT_LEADER)
    return;
  if (raft->round_wanted)
    {
      raft->round_wanted = false;
      raft->round++;
      send_round (raft, now_ms);
    }
  for (size_t i = 0; i < raft->peer_count; i++)
    replicate_to (raft, now_ms, &raft->peers[i]);
}

void
ab_raft_send_heartbeats (struct ab_raft *raft, uint64_t now_ms)
{
  raft->next_heartbeat_ms = now_ms + raft->heartbeat_ms;
  for (size_t i = 0; i < raft->peer_count; i++)
    send_heartbeat (raft, &raft->peers[i], now_ms);
}

void
ab_raft_leader_tick (struct ab_raft *raft, uint64_t now_ms)
{
  ab_raft_update_quorum_heard (raft, now_ms);
  if (now_ms - raft->quorum_heard_ms > raft->election_ms)
    {
      ab_raft_become_follower (raft, now_ms, "");
      return;
    }
  if (now_ms >= raft->next_heartbeat_ms)
    ab_raft_send_heartbeats (raft, now_ms);
}

void
ab_raft_advance_commit (struct ab_raft *raft)
{
  uint64_t index = ab_raft_quorum_value (raft, raft->stable, peer_match);
  uint64_t term;

  /* Entries of earlier terms are committed only through a later entry of this
     term: a leader of a term in between may still overwrite them, even when a
     majority holds them.  */
  if (raft->role == AB_RAFT_LEADER && index > raft->commit
      && ab_raft_log_term (&raft->log, index, &term)
      && term == raft->hard_state.term)
    raft->commit = index;
}

/* Returns the next index to probe after a rejected append; all entries of a
   conflicting term are skipped at once.  */
static uint64_t
next_after_rejection (const struct ab_raft *raft,
                      const struct ab_raft_msg *msg)
{
  uint64_t last = ab_raft_log_last_index (&raft->log);
  uint64_t limit = msg->index < last ? msg->index : last;
  uint64_t index;
  uint64_t term;

  if (msg->hint_term == 0)
    return msg->hint_index;
  index = ab_raft_log_last_of_term (&raft->log, limit, msg->hint_term);
  if (ab_raft_log_term (&raft->log, index, &term) && term == msg->hint_term)
    return index + 1;
  return index + 1 < msg->hint_index ? index + 1 : msg->hint_index;
}

static void
handle_rejected_append (struct ab_raft *raft, struct ab_raft_peer *peer,
                        const struct ab_raft_msg *msg)
{
  uint64_t last = ab_raft_log_last_index (&raft->log);
  uint64_t next;

  /* Ignore late or duplicate replies.  */
  if (msg->index <= peer->match || peer->state == AB_RAFT_SNAPSHOT
      || (peer->state == AB_RAFT_PROBE && msg->index != peer->next - 1))
    return;
  next = next_after_rejection (raft, msg);
  if (next > last + 1)
    next = last + 1;
  if (next <= peer->match)
    next = peer->match + 1;
  peer->state = AB_RAFT_PROBE;
  peer->next = next;
  peer->paused = false;
  peer->in_flight_count = 0;
}

static void
remove_acked_in_flight (struct ab_raft_peer *peer)
{
  size_t done = 0;

  while (done < peer->in_flight_count && peer->in_flight[done] <= peer->match)
    done++;
  peer->in_flight_count -= done;
  memmove (peer->in_flight, peer->in_flight + done,
           peer->in_flight_count * sizeof *peer->in_flight);
}

static void
handle_accepted_append (struct ab_raft *raft, struct ab_raft_peer *peer,
                        const struct ab_raft_msg *msg)
{
  if (msg->index > ab_raft_log_last_index (&raft->log))
    return;
  if (msg->index > peer->match)
    peer->match = msg->index;
  remove_acked_in_flight (peer);
  if (msg->full)
    {
      peer->state = AB_RAFT_PROBE;
      peer->next = peer->match + 1;
      peer->paused = true;
      return;
    }
  /* A match at index 0 says nothing about the log, unless the log is
     empty.  */
  if (peer->state == AB_RAFT_REPLICATE || (msg->index == 0 && peer->next > 1)
      || peer->match < raft->log.base_index)
    return;
  peer->state = AB_RAFT_REPLICATE;
  peer->next = peer->match + 1;
  peer->paused = false;
  peer->in_flight_count = 0;
}

void
ab_raft_handle_append_reply (struct ab_raft *raft, uint64_t now_ms,
                             const char *from, const struct ab_raft_msg *msg)
{
  struct ab_raft_peer *peer = ab_raft_find_peer (raft, from);

  if (raft->role != AB_RAFT_LEADER || msg->term != raft->hard_state.term
      || !peer)
    return;
  ab_raft_record_learner_disk (raft, from, msg->disk_id);
  peer = ab_raft_find_peer (raft, from);
  if (!peer)
    return;
  peer->disk_mismatch
      = memcmp (peer->disk_id, msg->disk_id, AB_DISK_ID_BYTES) != 0;
  /* Replies from another disk say nothing about the recorded member.  */
  if (peer->disk_mismatch)
    return;
  peer->heard_ms = now_ms;
  if (msg->round > peer->acked_round)
    peer->acked_round = msg->round;
  ab_raft_update_quorum_heard (raft, now_ms);
  if (msg->type == AB_RAFT_MSG_SNAPSHOT_REPLY)
    ab_raft_handle_snapshot_reply (raft, now_ms, from, msg);
  else if (msg->ok)
    handle_accepted_append (raft, peer, msg);
  else
    handle_rejected_append (raft, peer, msg);
}

void
ab_raft_confirm_reads (struct ab_raft *raft)
{
  uint64_t round = ab_raft_quorum_value (raft, raft->round, peer_round);
  struct ab_raft_pending_read *ready;
  size_t count = 0;

  if (raft->role != AB_RAFT_LEADER)
    return;
  while (count < raft->read_count && raft->reads[count].round <= round
         && raft->reads[count].index <= raft->applied)
    count++;
  if (count == 0)
    return;
  /* The callbacks may request further reads, so iterate over a copy.  */
  ready = malloc (count * sizeof *ready);
  if (!ready)
    return;
  memcpy (ready, raft->reads, count * sizeof *ready);
  raft->read_count -= count;
  memmove (raft->reads, raft->reads + count,
           raft->read_count * sizeof *raft->reads);
  for (size_t i = 0; i < count; i++)
    raft->io->ops->read_ready (raft->io, ready[i].request, 0);
  free (ready);
}
