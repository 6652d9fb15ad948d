#include "raft_internal.h"

#include <stdlib.h>

#include "error.h"

/* Divisor of the election timeout.  The first pre-vote after a start comes
   after 1 to 2 times the quotient, which is a few round trips between
   regions.  */
#define START_TIMEOUT_DIVISOR 8

int
ab_raft_fail (struct ab_raft *raft, int rc)
{
  /* The state in memory and on disk may differ from here on, so nothing may be
     acknowledged any more.  */
  if (!raft->failed)
    raft->failed = rc;
  raft->role = AB_RAFT_FOLLOWER;
  raft->leader_host[0] = '\0';
  ab_raft_fail_reads (raft);
  return raft->failed;
}

static int
encode (struct ab_raft *raft, const char *to, struct ab_raft_msg *msg,
        struct ab_buf *out)
{
  const struct ab_raft_member *member
      = ab_raft_find_member (&raft->members, to);

  memcpy (msg->disk_id, raft->disk_id, AB_DISK_ID_BYTES);
  if (member)
    memcpy (msg->receiver_disk_id, member->disk_id, AB_DISK_ID_BYTES);
  return ab_raft_msg_encode (msg, out);
}

void
ab_raft_queue_message (struct ab_raft *raft, const char *to,
                       struct ab_raft_msg *msg)
{
  struct ab_raft_outgoing *out;

  if (raft->out_count == raft->out_cap)
    {
      size_t cap = raft->out_cap ? raft->out_cap * 2 : 16;
      out = realloc (raft->outbox, cap * sizeof *out);
      if (!out)
        return;
      raft->outbox = out;
      raft->out_cap = cap;
    }
  out = &raft->outbox[raft->out_count];
  memset (out, 0, sizeof *out);
  ab_chunk_copy_bounded (ab_chunk_str (to), out->to, sizeof out->to);
  if (encode (raft, to, msg, &out->message) < 0)
    ab_buf_free (&out->message);
  else
    raft->out_count++;
}

void
ab_raft_send_now (struct ab_raft *raft, const char *to,
                  struct ab_raft_msg *msg)
{
  struct ab_buf message = AB_BUF_INIT;

  if (encode (raft, to, msg, &message) == 0)
    raft->io->ops->send (raft->io, to, ab_buf_chunk (&message));
  ab_buf_free (&message);
}

int
ab_raft_save_hard_state (struct ab_raft *raft, uint64_t term,
                         const char *voted_for)
{
  struct ab_raft_hard_state state = { .term = term };
  int rc;

  ab_chunk_copy_bounded (ab_chunk_str (voted_for), state.voted_for,
                         sizeof state.voted_for);
  rc = raft->io->ops->save_vote (raft->io, &state);
  raft->disk_full = rc == AB_ERR_FULL;
  if (rc == AB_ERR_FULL)
    return rc;
  if (rc < 0)
    return ab_raft_fail (raft, rc);
  raft->hard_state = state;
  if (voted_for[0] && strcmp (voted_for, raft->host) != 0)
    raft->has_voted = true;
  return 0;
}

int
ab_raft_append (struct ab_raft *raft, const struct ab_raft_entry *entries,
                size_t count)
{
  bool config = false;
  int rc = raft->io->ops->append (raft->io, entries, count);

  raft->disk_full = rc == AB_ERR_FULL;
  if (rc == AB_ERR_FULL)
    return rc;
  if (rc < 0)
    return ab_raft_fail (raft, rc);
  raft->dirty = true;
  for (size_t i = 0; i < count && rc == 0; i++)
    {
      rc = ab_raft_log_push (&raft->log, &entries[i]);
      config |= entries[i].kind == AB_RAFT_ENTRY_CONFIG;
    }
  if (rc == 0 && config)
    rc = ab_raft_reload_members (raft);
  return rc < 0 ? ab_raft_fail (raft, rc) : 0;
}

int
ab_raft_append_new (struct ab_raft *raft, enum ab_raft_entry_kind kind,
                    struct ab_chunk data, uint64_t *index)
{
  struct ab_raft_entry entry
      = { .index = ab_raft_log_last_index (&raft->log) + 1,
          .term = raft->hard_state.term,
          .kind = kind,
          .data = data };

  *index = entry.index;
  return ab_raft_append (raft, &entry, 1);
}

void
ab_raft_reset_election_timer (struct ab_raft *raft, uint64_t now_ms)
{
  raft->election_deadline_ms = now_ms + raft->election_ms
                               + ab_rng_below (raft->rng, raft->election_ms);
}

void
ab_raft_fail_reads (struct ab_raft *raft)
{
  struct ab_raft_pending_read *reads = raft->reads;
  size_t count = raft->read_count;

  raft->reads = NULL;
  raft->read_count = 0;
  raft->read_cap = 0;
  for (size_t i = 0; i < count; i++)
    raft->io->ops->read_ready (raft->io, reads[i].request, AB_ERR_NOT_LEADER);
  free (reads);
}

static int
load_initial_state (struct ab_raft *raft,
                    const struct ab_raft_initial_state *initial)
{
  if (initial->member_count > AB_RAFT_MEMBERS_MAX)
    return AB_ERR_TOO_LARGE;
  raft->hard_state = initial->hard_state;
  raft->has_voted = initial->hard_state.term > 0;
  raft->snapshot_index = initial->snapshot_index;
  raft->snapshot_term = initial->snapshot_term;
  raft->commit = initial->snapshot_index;
  raft->applied = initial->snapshot_index;
  raft->snapshot_members.index = initial->snapshot_index;
  raft->snapshot_members.count = initial->member_count;
  if (initial->member_count > 0)
    memcpy (raft->snapshot_members.members, initial->members,
            initial->member_count * sizeof *initial->members);
  ab_raft_log_reset (&raft->log, initial->snapshot_index,
                     initial->snapshot_term);
  for (size_t i = 0; i < initial->entry_count; i++)
    {
      int rc = ab_raft_log_push (&raft->log, &initial->entries[i]);
      if (rc < 0)
        return rc;
    }
  raft->stable = ab_raft_log_last_index (&raft->log);
  return ab_raft_reload_members (raft);
}

int
ab_raft_new (const struct ab_raft_config *config,
             const struct ab_raft_initial_state *initial, uint64_t now_ms,
             struct ab_raft **out)
{
  struct ab_raft *raft = calloc (1, sizeof *raft);
  int rc;

  if (!raft)
    return AB_ERR_MEMORY;
  if (!ab_chunk_copy (ab_chunk_str (config->host), raft->host,
                      sizeof raft->host))
    {
      free (raft);
      return AB_ERR_TOO_LARGE;
    }
  memcpy (raft->disk_id, config->disk_id, AB_DISK_ID_BYTES);
  raft->heartbeat_ms = config->heartbeat_ms;
  raft->election_ms = config->election_ms;
  raft->rng = config->rng;
  raft->io = config->io;
  rc = load_initial_state (raft, initial);
  if (rc < 0)
    {
      ab_raft_free (raft);
      return rc;
    }
  /* After a start no leader is known, so there is no need to wait a whole
     election timeout for one; a pre-vote does not disturb a leader that does
     exist.  */
  raft->election_deadline_ms
      = now_ms + raft->election_ms / START_TIMEOUT_DIVISOR
        + ab_rng_below (raft->rng,
                        raft->election_ms / START_TIMEOUT_DIVISOR + 1);
  *out = raft;
  return 0;
}

static void
clear_outbox (struct ab_raft *raft)
{
  for (size_t i = 0; i < raft->out_count; i++)
    ab_buf_free (&raft->outbox[i].message);
  raft->out_count = 0;
}

void
ab_raft_free (struct ab_raft *raft)
{
  if (!raft)
    return;
  clear_outbox (raft);
  free (raft->outbox);
  free (raft->reads);
  ab_raft_log_free (&raft->log);
  ab_buf_free (&raft->out_snapshot);
  ab_buf_free (&raft->in_snapshot);
  free (raft);
}

void
ab_raft_tick (struct ab_raft *raft, uint64_t now_ms)
{
  if (raft->failed)
    return;
  if (raft->role == AB_RAFT_LEADER)
    {
      ab_raft_leader_tick (raft, now_ms);
      return;
    }
  if (now_ms < raft->election_deadline_ms)
    return;
  if (ab_raft_self_can_vote (raft) && now_ms >= raft->no_campaign_until_ms)
    ab_raft_campaign (raft, now_ms, true);
  else
    ab_raft_reset_election_timer (raft, now_ms);
}

static void
handle_message (struct ab_raft *raft, uint64_t now_ms, const char *from,
                const struct ab_raft_msg *msg)
{
  switch (msg->type)
    {
    case AB_RAFT_MSG_PRE_VOTE:
    case AB_RAFT_MSG_VOTE:
      ab_raft_handle_vote (raft, now_ms, from, msg);
      break;
    case AB_RAFT_MSG_PRE_VOTE_REPLY:
    case AB_RAFT_MSG_VOTE_REPLY:
      ab_raft_handle_vote_reply (raft, now_ms, from, msg);
      break;
    case AB_RAFT_MSG_APPEND:
      ab_raft_handle_append (raft, now_ms, from, msg);
      break;
    case AB_RAFT_MSG_SNAPSHOT:
      ab_raft_handle_snapshot (raft, now_ms, from, msg);
      break;
    default:
      if (msg->term > raft->hard_state.term)
        ab_raft_adopt_term (raft, now_ms, msg->term);
      else
        ab_raft_handle_append_reply (raft, now_ms, from, msg);
    }
}

int
ab_raft_receive (struct ab_raft *raft, uint64_t now_ms, const char *from,
                 struct ab_chunk message)
{
  struct ab_raft_msg msg;
  struct ab_reader reader;
  int rc;

  if (raft->failed)
    return raft->failed;
  rc = ab_raft_msg_decode (message, &reader, &msg);
  if (rc < 0)
    return rc;
  handle_message (raft, now_ms, from, &msg);
  ab_raft_msg_free (&msg, &reader);
  return 0;
}

int
ab_raft_propose (struct ab_raft *raft, uint64_t now_ms, struct ab_chunk data,
                 uint64_t *index)
{
  int rc;

  if (raft->failed)
    return raft->failed;
  if (raft->role != AB_RAFT_LEADER)
    return AB_ERR_NOT_LEADER;
  if (data.len > AB_RAFT_ENTRY_BYTES_MAX)
    return AB_ERR_TOO_LARGE;
  rc = ab_raft_append_new (raft, AB_RAFT_ENTRY_COMMAND, data, index);
  if (rc == AB_ERR_FULL)
    ab_raft_resign_full (raft, now_ms);
  return rc;
}

int
ab_raft_read (struct ab_raft *raft, uint64_t now_ms, uint64_t request)
{
  struct ab_raft_pending_read *read;

  (void)now_ms;
  if (raft->failed)
    return raft->failed;
  if (raft->role != AB_RAFT_LEADER)
    return AB_ERR_NOT_LEADER;
  if (raft->read_count == AB_RAFT_READS_MAX)
    return AB_ERR_FULL;
  if (raft->read_count == raft->read_cap)
    {
      size_t cap = raft->read_cap ? raft->read_cap * 2 : 16;
      read = realloc (raft->reads, cap * sizeof *read);
      if (!read)
        return AB_ERR_MEMORY;
      raft->reads = read;
      raft->read_cap = cap;
    }
  read = &raft->reads[raft->read_count++];
  read->request = request;
  read->round = raft->round + 1;
  /* Entries committed by earlier leaders are known to be committed only once
     an entry of this term is.  */
  read->index = raft->commit > raft->term_start_index ? raft->commit
                                                      : raft->term_start_index;
  raft->round_wanted = true;
  return 0;
}

static void
apply_committed (struct ab_raft *raft)
{
  uint64_t end = raft->commit < raft->stable ? raft->commit : raft->stable;

  while (raft->applied < end)
    {
      const struct ab_raft_entry *entry
          = ab_raft_log_get (&raft->log, raft->applied + 1);
      if (!entry)
        break;
      raft->applied++;
      raft->io->ops->apply (raft->io, entry);
    }
}

static int
sync_log (struct ab_raft *raft)
{
  int rc;

  if (!raft->dirty)
    return 0;
  rc = raft->io->ops->sync (raft->io);
  if (rc < 0)
    return ab_raft_fail (raft, rc);
  raft->dirty = false;
  raft->stable = ab_raft_log_last_index (&raft->log);
  return 0;
}

/* Steps down as a leader that is not a voter any more, once that change is
   committed.  */
static void
step_down_if_removed (struct ab_raft *raft, uint64_t now_ms)
{
  if (raft->role == AB_RAFT_LEADER && raft->members.index <= raft->commit
      && !ab_raft_self_can_vote (raft))
    ab_raft_become_follower (raft, now_ms, "");
}

int
ab_raft_flush (struct ab_raft *raft, uint64_t now_ms)
{
  size_t count;

  /* Entries are sent before they are synced here: the leader counts itself
     towards a quorum only up to its stable index.  */
  if (!raft->failed)
    ab_raft_replicate (raft, now_ms);
  if (!raft->failed)
    sync_log (raft);
  if (raft->failed)
    {
      clear_outbox (raft);
      return raft->failed;
    }
  count = raft->out_count;
  for (size_t i = 0; i < count; i++)
    raft->io->ops->send (raft->io, raft->outbox[i].to,
                         ab_buf_chunk (&raft->outbox[i].message));
  clear_outbox (raft);
  ab_raft_advance_commit (raft);
  ab_raft_replicate (raft, now_ms);
  apply_committed (raft);
  ab_raft_confirm_reads (raft);
  step_down_if_removed (raft, now_ms);
  return 0;
}

void
ab_raft_compact_log (struct ab_raft *raft, uint64_t index, uint64_t term)
{
  struct ab_raft_configuration c;
  uint64_t keep = index;
  size_t bytes = 0;
  bool sending = ab_raft_sending_snapshot (raft);
  size_t bytes_max
      = sending ? AB_RAFT_RETAINED_BYTES_SENDING : AB_RAFT_RETAINED_BYTES;

  if (index <= raft->snapshot_index || index > raft->applied
      || ab_raft_members_at (raft, index, &c) < 0)
    return;
  while (keep > raft->log.base_index
         && (index - keep < AB_RAFT_RETAINED_ENTRIES
             || (sending && keep > raft->out_snapshot_index)))
    {
      bytes += ab_raft_log_get (&raft->log, keep)->data.len
               + sizeof (struct ab_raft_entry);
      if (bytes > bytes_max)
        break;
      keep--;
    }
  raft->snapshot_index = index;
  raft->snapshot_term = term;
  raft->snapshot_members = c;
  raft->snapshot_members.index = c.index;
  ab_raft_log_drop_prefix (&raft->log, keep);
}

void
ab_raft_status (const struct ab_raft *raft, struct ab_raft_status *status)
{
  memset (status, 0, sizeof *status);
  status->term = raft->hard_state.term;
  status->commit_index = raft->commit;
  status->applied_index = raft->applied;
  status->last_index = ab_raft_log_last_index (&raft->log);
  status->first_index = raft->log.base_index + 1;
  status->leader = raft->role == AB_RAFT_LEADER;
  status->disk_full = raft->disk_full;
  status->can_vote = ab_raft_self_can_vote (raft);
  memcpy (status->leader_host, raft->leader_host, sizeof status->leader_host);
  if (status->leader)
    status->quorum_heard_ms = raft->quorum_heard_ms;
}

size_t
ab_raft_members (const struct ab_raft *raft,
                 const struct ab_raft_member **members)
{
  *members = raft->members.members;
  return raft->members.count;
}

int
ab_raft_member_progress (const struct ab_raft *raft, const char *host,
                         struct ab_raft_progress *progress)
{
  const struct ab_raft_peer *peer;

  if (raft->role != AB_RAFT_LEADER)
    return AB_ERR_NOT_LEADER;
  peer = ab_raft_find_peer ((struct ab_raft *)raft, host);
  if (!peer)
    return AB_ERR_NOT_FOUND;
  *progress
      = (struct ab_raft_progress){ .match = peer->match,
                                   .heard_ms = peer->heard_ms,
                                   .disk_mismatch = peer->disk_mismatch };
  return 0;
}

uint64_t
ab_raft_leader_heard_ms (const struct ab_raft *raft)
{
  if (raft->role == AB_RAFT_LEADER)
    return raft->quorum_heard_ms;
  /* Entries that found no room are missing here, whatever the leader sends. */
  if (raft->disk_full && raft->full_since_ms < raft->leader_heard_ms)
    return raft->full_since_ms;
  return raft->leader_heard_ms;
}

int
ab_raft_get_snapshot_metadata (const struct ab_raft *raft,
                               struct ab_raft_snapshot_metadata *metadata)
{
  struct ab_raft_configuration c;
  int rc = ab_raft_members_at (raft, raft->applied, &c);

  if (rc < 0)
    return rc;
  memset (metadata, 0, sizeof *metadata);
  metadata->index = raft->applied;
  if (!ab_raft_log_term (&raft->log, raft->applied, &metadata->term))
    return AB_ERR_NOT_FOUND;
  memcpy (metadata->members, c.members, c.count * sizeof *c.members);
  metadata->member_count = c.count;
  return 0;
}

uint64_t
ab_raft_next_tick_ms (const struct ab_raft *raft)
{
  return raft->role == AB_RAFT_LEADER ? raft->next_heartbeat_ms
                                      : raft->election_deadline_ms;
}
