#include "raft_internal.h"

#include "error.h"

/* The parts of the election timeout after which a pre-vote and a vote that did
   not succeed are repeated at the earliest, and twice as long at the latest.
 */
#define PRE_VOTE_PART 6
#define VOTE_PART 3

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
  ab_chunk_copy (ab_chunk_str (leader), raft->leader_host,
                 sizeof raft->leader_host);
}

int
ab_raft_step_to_term (struct ab_raft *raft, uint64_t now_ms, uint64_t term)
{
  int rc;

  if (term <= raft->hard.term)
    return 0;
  rc = ab_raft_set_hard (raft, term, "");
  if (rc < 0)
    return rc;
  raft->leader_heard_ms = 0;
  ab_raft_become_follower (raft, now_ms, "");
  return 0;
}

/* Whether the votes suffice.  While the disk of any voter is unknown, a disk
   could be emptied and vote again unnoticed; all voters together contain
   every one that did not, so no two leaders of one term come out.  */
static bool
election_won (const struct ab_raft *raft)
{
  size_t voters = 0;
  size_t granted = 0;

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
    }
  if (!ab_raft_disks_all_known (raft))
    return granted == voters;
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
    ab_raft_lead (raft, now_ms);
}

/* When a campaign is given up.  A pre-vote changes nothing at its receivers,
   so it is repeated soon: after a start of the whole group the connections to
   other members come up one by one.  A vote takes a sync at each member, and
   repeating it raises the term.  */
static void
set_campaign_deadline (struct ab_raft *raft, uint64_t now_ms, bool pre)
{
  uint64_t least = raft->election_ms / (pre ? PRE_VOTE_PART : VOTE_PART);

  raft->election_deadline_ms
      = now_ms + least + ab_rng_below (raft->rng, least + 1);
}

void
ab_raft_campaign (struct ab_raft *raft, uint64_t now_ms, bool pre)
{
  struct ab_raft_msg msg = {
    .type = pre ? AB_RAFT_MSG_PRE_VOTE : AB_RAFT_MSG_VOTE,
    .term = raft->hard.term + 1,
    .index = ab_raft_log_last_index (&raft->log),
    .log_term = ab_raft_log_last_term (&raft->log),
  };

  set_campaign_deadline (raft, now_ms, pre);
  raft->leader_host[0] = '\0';
  if (!pre && ab_raft_set_hard (raft, msg.term, raft->host) < 0)
    return;
  raft->role = pre ? AB_RAFT_PRE_CANDIDATE : AB_RAFT_CANDIDATE;
  for (size_t i = 0; i < raft->peer_count; i++)
    raft->peers[i].granted = false;
  for (size_t i = 0; i < raft->members.count; i++)
    {
      const struct ab_raft_member *member = &raft->members.members[i];
      if (!member->learner && strcmp (member->host, raft->host) != 0)
        ab_raft_queue (raft, member->host, &msg);
    }
  check_election (raft, now_ms);
}

/* A member that hears a leader does not help to replace it.  */
static bool
hears_leader (const struct ab_raft *raft, uint64_t now_ms)
{
  if (raft->role == AB_RAFT_LEADER)
    return now_ms - raft->quorum_heard_ms < raft->election_ms;
  return raft->leader_host[0] != '\0'
         && now_ms - raft->leader_heard_ms < raft->election_ms;
}

/* Whether this member's disk is the one that the candidate's configuration
   names.  This member's own log may be behind: it may call a promoted member
   still a learner, or name a replaced disk of the candidate.  To refuse for
   that could leave the group without a leader for good.  The candidate's log
   and its configuration decide, and it counts only votes of recorded
   disks.  */
static bool
disk_may_vote (struct ab_raft *raft, const struct ab_raft_msg *msg)
{
  const struct ab_raft_member *self;

  if (ab_raft_disk_known (msg->receiver_disk_id))
    return memcmp (msg->receiver_disk_id, raft->disk_id, AB_DISK_ID_BYTES)
           == 0;
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

/* Lets a candidate that may win finish before this member campaigns itself:
   two candidates at a time split the votes.  Of two that ask each other for
   pre-votes the one with the smaller name goes on.  */
static void
give_way (struct ab_raft *raft, uint64_t now_ms, const char *from)
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
  struct ab_raft_msg reply
      = { .type = AB_RAFT_MSG_PRE_VOTE_REPLY, .term = raft->hard.term };

  reply.ok = msg->term > raft->hard.term && log_up_to_date (raft, msg);
  if (reply.ok)
    {
      reply.term = msg->term;
      give_way (raft, now_ms, from);
    }
  ab_raft_queue (raft, from, &reply);
}

void
ab_raft_handle_vote (struct ab_raft *raft, uint64_t now_ms, const char *from,
                     const struct ab_raft_msg *msg)
{
  struct ab_raft_msg reply = { .type = AB_RAFT_MSG_VOTE_REPLY };
  bool free_to_vote;

  if (hears_leader (raft, now_ms) || !disk_may_vote (raft, msg))
    return;
  if (msg->type == AB_RAFT_MSG_PRE_VOTE)
    {
      handle_pre_vote (raft, now_ms, from, msg);
      return;
    }
  if (ab_raft_step_to_term (raft, now_ms, msg->term) < 0)
    return;
  free_to_vote = raft->hard.voted_for[0] == '\0'
                 || strcmp (raft->hard.voted_for, from) == 0;
  if (msg->term == raft->hard.term && raft->role == AB_RAFT_FOLLOWER
      && raft->leader_host[0] == '\0' && free_to_vote
      && log_up_to_date (raft, msg)
      && ab_raft_set_hard (raft, msg->term, from) == 0)
    {
      reply.ok = true;
      ab_raft_reset_election_timer (raft, now_ms);
    }
  reply.term = raft->hard.term;
  ab_raft_queue (raft, from, &reply);
}

void
ab_raft_handle_vote_reply (struct ab_raft *raft, uint64_t now_ms,
                           const char *from, const struct ab_raft_msg *msg)
{
  bool pre = msg->type == AB_RAFT_MSG_PRE_VOTE_REPLY;
  uint64_t wanted = raft->hard.term + (pre ? 1 : 0);
  struct ab_raft_peer *peer = ab_raft_find_peer (raft, from);

  if (!msg->ok && msg->term > raft->hard.term)
    {
      ab_raft_step_to_term (raft, now_ms, msg->term);
      return;
    }
  if (!msg->ok || !peer || msg->term != wanted
      || raft->role != (pre ? AB_RAFT_PRE_CANDIDATE : AB_RAFT_CANDIDATE))
    return;
  /* A vote from another disk than the recorded one does not count: the disk
     that it replaced may have voted already.  */
  if (ab_raft_disk_known (peer->disk_id)
      && memcmp (peer->disk_id, msg->disk_id, AB_DISK_ID_BYTES) != 0)
    return;
  memcpy (peer->vote_disk_id, msg->disk_id, AB_DISK_ID_BYTES);
  peer->granted = true;
  check_election (raft, now_ms);
}
