#include "raft_internal.h"

#include "error.h"

/* Divisors of the election timeout.  A pre-vote or a vote that did not succeed
   is retried after 1 to 2 times the quotient.  */
#define PRE_VOTE_TIMEOUT_DIVISOR 6
#define VOTE_TIMEOUT_DIVISOR 3
/* Election timeouts without a campaign after a write that a full disk refused:
   enough for another member to win an election.  */
#define FULL_DISK_TIMEOUTS 3

void
ab_raft_become_follower (struct ab_raft *raft, uint64_t now_ms,
                         const char *leader)
{
  if (raft->role == AB_RAFT_LEADER)
    {
      ab_raft_fail_reads (raft);
      ab_buf_free (&raft->out_snapshot);
      raft->out_snapshot_index = 0;
    }
  if (raft->role != AB_RAFT_FOLLOWER || leader[0] != '\0')
    ab_raft_reset_election_timer (raft, now_ms);
  raft->role = AB_RAFT_FOLLOWER;
  ab_chunk_copy_bounded (ab_chunk_str (leader), raft->leader_host,
                         sizeof raft->leader_host);
}

int
ab_raft_adopt_term (struct ab_raft *raft, uint64_t now_ms, uint64_t term)
{
  int rc;

  if (term <= raft->hard_state.term)
    return 0;
  rc = ab_raft_save_hard_state (raft, term, "");
  if (rc < 0)
    return rc;
  raft->leader_heard_ms = 0;
  ab_raft_become_follower (raft, now_ms, "");
  return 0;
}

/* Whether the granted votes win the election.  While the disk of any voter is
   unknown, a disk could be emptied and vote again without being noticed.  An
   election then needs every voter, and a majority of them with the disks that
   they first had.  Two such majorities share a voter that votes once a term
   and knows each entry that was committed; this prevents two leaders in one
   term and a leader without these entries.  A candidate that has never voted
   needs no such majority: there was no leader without its vote.  */
static bool
election_won (const struct ab_raft *raft)
{
  size_t voters = 0;
  size_t granted = 0;
  size_t blank = 0;

  for (size_t i = 0; i < raft->members.count; i++)
    {
      const struct ab_raft_member *member = &raft->members.members[i];
      const struct ab_raft_peer *peer;
      if (member->learner)
        continue;
      voters++;
      peer = ab_raft_find_peer ((struct ab_raft *)raft, member->host);
      if (peer ? peer->granted : ab_raft_self_can_vote (raft))
        granted++;
      blank += peer && peer->granted && peer->blank;
    }
  if (!ab_raft_disks_all_known (raft))
    return granted == voters
           && (granted - blank > voters / 2 || !raft->has_voted);
  return granted > voters / 2;
}

static void
check_election (struct ab_raft *raft, uint64_t now_ms)
{
  if (!election_won (raft))
    return;
  if (raft->role == AB_RAFT_PRE_CANDIDATE)
    ab_raft_campaign (raft, now_ms, false);
  else
    ab_raft_become_leader (raft, now_ms);
}

/* Sets the time after which the campaign is abandoned.  A pre-vote changes
   nothing at its receivers, so it is retried soon: after a start of the whole
   group the connections to other members come up one by one.  A vote takes a
   sync at each member, and retrying it raises the term.  */
static void
set_campaign_deadline (struct ab_raft *raft, uint64_t now_ms, bool pre)
{
  uint64_t delay_min
      = raft->election_ms
        / (pre ? PRE_VOTE_TIMEOUT_DIVISOR : VOTE_TIMEOUT_DIVISOR);

  raft->election_deadline_ms
      = now_ms + delay_min + ab_rng_below (raft->rng, delay_min + 1);
}

void
ab_raft_resign_full (struct ab_raft *raft, uint64_t now_ms)
{
  raft->no_campaign_until_ms = now_ms + FULL_DISK_TIMEOUTS * raft->election_ms;
  ab_raft_become_follower (raft, now_ms, "");
}

void
ab_raft_campaign (struct ab_raft *raft, uint64_t now_ms, bool pre)
{
  struct ab_raft_msg msg = {
    .type = pre ? AB_RAFT_MSG_PRE_VOTE : AB_RAFT_MSG_VOTE,
    .term = raft->hard_state.term + 1,
    .index = ab_raft_log_last_index (&raft->log),
    .log_term = ab_raft_log_last_term (&raft->log),
  };

  set_campaign_deadline (raft, now_ms, pre);
  raft->leader_host[0] = '\0';
  if (!pre && ab_raft_save_hard_state (raft, msg.term, raft->host) < 0)
    {
      ab_raft_resign_full (raft, now_ms);
      return;
    }
  raft->role = pre ? AB_RAFT_PRE_CANDIDATE : AB_RAFT_CANDIDATE;
  for (size_t i = 0; i < raft->peer_count; i++)
    raft->peers[i].granted = false;
  for (size_t i = 0; i < raft->members.count; i++)
    {
      const struct ab_raft_member *member = &raft->members.members[i];
      if (!member->learner && strcmp (member->host, raft->host) != 0)
        ab_raft_queue_message (raft, member->host, &msg);
    }
  check_election (raft, now_ms);
}

/* Whether this member is in contact with a leader; it then ignores requests
   for votes and pre-votes, so that a healthy leader is not replaced.  */
static bool
has_leader_contact (const struct ab_raft *raft, uint64_t now_ms)
{
  if (raft->role == AB_RAFT_LEADER)
    return now_ms - raft->quorum_heard_ms < raft->election_ms;
  return raft->leader_host[0] != '\0'
         && now_ms - raft->leader_heard_ms < raft->election_ms;
}

/* Whether this member has never been part of a group, on this disk.  */
static bool
is_blank (const struct ab_raft *raft)
{
  return raft->members.count == 0 && raft->snapshot_index == 0
         && ab_raft_log_last_index (&raft->log) == 0;
}

/* Whether this member's disk is the one in the candidate's configuration.
   This member's own log may be behind: it may still show a promoted member as
   a learner, or name a replaced disk of the candidate.  Rejecting the
   candidate for that could leave the group without a leader for good.  The
   candidate's log and configuration decide, and it counts only votes of
   recorded disks.  A blank member may help a group whose disks are not
   recorded yet to its first leader.  */
static bool
disk_may_vote (struct ab_raft *raft, const struct ab_raft_msg *msg)
{
  const struct ab_raft_member *self;

  if (ab_raft_disk_known (msg->receiver_disk_id))
    return memcmp (msg->receiver_disk_id, raft->disk_id, AB_DISK_ID_BYTES)
           == 0;
  if (is_blank (raft))
    return true;
  self = ab_raft_find_member (&raft->members, raft->host);
  return self && !raft->disk_replaced
         && (!ab_raft_disk_known (self->disk_id)
             || memcmp (self->disk_id, raft->disk_id, AB_DISK_ID_BYTES) == 0);
}

static bool
log_up_to_date (const struct ab_raft *raft, const struct ab_raft_msg *msg)
{
  uint64_t last_term = ab_raft_log_last_term (&raft->log);

  if (msg->log_term != last_term)
    return msg->log_term > last_term;
  return msg->index >= ab_raft_log_last_index (&raft->log);
}

/* Postpones this member's own campaign so that a candidate that may win can
   finish: two candidates at a time split the votes.  When two members request
   pre-votes from each other, the one with the smaller name continues.  */
static void
defer_to_candidate (struct ab_raft *raft, uint64_t now_ms, const char *from)
{
  uint64_t deadline = raft->election_deadline_ms;

  if (raft->role == AB_RAFT_LEADER
      || (raft->role == AB_RAFT_PRE_CANDIDATE
          && strcmp (raft->host, from) < 0))
    return;
  if (raft->role == AB_RAFT_PRE_CANDIDATE)
    raft->role = AB_RAFT_FOLLOWER;
  set_campaign_deadline (raft, now_ms, true);
  if (raft->election_deadline_ms < deadline)
    raft->election_deadline_ms = deadline;
}

static void
handle_pre_vote (struct ab_raft *raft, uint64_t now_ms, const char *from,
                 const struct ab_raft_msg *msg)
{
  struct ab_raft_msg reply = { .type = AB_RAFT_MSG_PRE_VOTE_REPLY,
                               .term = raft->hard_state.term,
                               .blank = is_blank (raft) };

  reply.ok = msg->term > raft->hard_state.term && log_up_to_date (raft, msg);
  if (reply.ok)
    {
      reply.term = msg->term;
      defer_to_candidate (raft, now_ms, from);
    }
  ab_raft_queue_message (raft, from, &reply);
}

void
ab_raft_handle_vote (struct ab_raft *raft, uint64_t now_ms, const char *from,
                     const struct ab_raft_msg *msg)
{
  struct ab_raft_msg reply
      = { .type = AB_RAFT_MSG_VOTE_REPLY, .blank = is_blank (raft) };
  bool free_to_vote;

  if (has_leader_contact (raft, now_ms) || !disk_may_vote (raft, msg))
    return;
  if (msg->type == AB_RAFT_MSG_PRE_VOTE)
    {
      handle_pre_vote (raft, now_ms, from, msg);
      return;
    }
  if (ab_raft_adopt_term (raft, now_ms, msg->term) < 0)
    return;
  free_to_vote = raft->hard_state.voted_for[0] == '\0'
                 || strcmp (raft->hard_state.voted_for, from) == 0;
  if (msg->term == raft->hard_state.term && raft->role == AB_RAFT_FOLLOWER
      && raft->leader_host[0] == '\0' && free_to_vote
      && log_up_to_date (raft, msg)
      && ab_raft_save_hard_state (raft, msg->term, from) == 0)
    {
      reply.ok = true;
      ab_raft_reset_election_timer (raft, now_ms);
    }
  reply.term = raft->hard_state.term;
  ab_raft_queue_message (raft, from, &reply);
}

void
ab_raft_handle_vote_reply (struct ab_raft *raft, uint64_t now_ms,
                           const char *from, const struct ab_raft_msg *msg)
{
  bool pre = msg->type == AB_RAFT_MSG_PRE_VOTE_REPLY;
  uint64_t expected_term = raft->hard_state.term + (pre ? 1 : 0);
  struct ab_raft_peer *peer = ab_raft_find_peer (raft, from);

  if (!msg->ok && msg->term > raft->hard_state.term)
    {
      ab_raft_adopt_term (raft, now_ms, msg->term);
      return;
    }
  if (!msg->ok || !peer || msg->term != expected_term
      || raft->role != (pre ? AB_RAFT_PRE_CANDIDATE : AB_RAFT_CANDIDATE))
    return;
  /* A vote from another disk than the recorded one does not count: the disk
     that was replaced may have voted already.  */
  if (ab_raft_disk_known (peer->disk_id)
      && memcmp (peer->disk_id, msg->disk_id, AB_DISK_ID_BYTES) != 0)
    return;
  memcpy (peer->vote_disk_id, msg->disk_id, AB_DISK_ID_BYTES);
  peer->blank = msg->blank;
  peer->granted = true;
  check_election (raft, now_ms);
}
