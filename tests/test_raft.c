/* Tests of the consensus core under faults, with real storage on a simulated
   disk.  */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "error.h"
#include "raft_fake_lib.h"
#include "raft_internal.h"

#define RANDOM_SEEDS 24
#define RANDOM_STEPS 1500
#define FIRST_ELECTION_SEEDS 150

static void
assert_sound (struct fake_group *group)
{
  ck_assert_msg (group->problem[0] == '\0', "step %llu: %s",
                 (unsigned long long)group->steps, group->problem);
}

static struct fake_group *
started_group (int count, uint64_t seed, int *leader)
{
  struct fake_group *group = fake_group_new (count, seed);

  *leader = fake_run_until_leader (group, 20000);
  assert_sound (group);
  ck_assert_int_ge (*leader, 0);
  return group;
}

static void
finish (struct fake_group *group)
{
  assert_sound (group);
  fake_group_free (group);
}

/* Runs until COMMITTED entries are committed; returns false after MAX_MS.  */
static bool
run_until_committed (struct fake_group *group, uint64_t committed,
                     uint64_t max_ms)
{
  uint64_t end = group->now_ms + max_ms;

  while (group->committed_count < committed && group->now_ms < end)
    fake_step (group);
  return group->committed_count >= committed;
}

/* Guards against two leaders in one term, differing logs, lost or changed
   committed entries and stale reads, under dropped messages, network cuts,
   crashes during writes, failed syncs, full and emptied disks and frozen
   members.  */
START_TEST (random_faults)
{
  char text[256];
  uint64_t step = 0;
  const char *found
      = fake_random_run ((uint64_t)_i + 1, RANDOM_STEPS, &step, text);

  ck_assert_msg (!found, "seed %d step %llu: %s", _i + 1,
                 (unsigned long long)step, found);
}
END_TEST

/* Guards against a group that stays without a leader.  In long runs with these
   seeds a member was promoted while its log was behind and another member's
   disk was emptied; the promoted member still took itself for a learner and
   refused to vote.  */
START_TEST (long_random_faults)
{
  static const uint64_t seeds[] = { 20019, 20089, 20181, 20184, 20218 };
  char text[256];
  uint64_t step = 0;
  const char *found = fake_random_run (seeds[_i], 20000, &step, text);

  ck_assert_msg (!found, "seed %d step %llu: %s", (int)seeds[_i],
                 (unsigned long long)step, found);
}
END_TEST

/* Guards against an isolated leader that gets no error from the network and
   confirms a read or commits a command after the others have continued without
   it.  */
START_TEST (isolated_leader)
{
  int leader;
  struct fake_group *group = started_group (3, 1, &leader);
  struct fake_member *old = &group->members[leader];
  uint64_t commit = old->raft->commit;

  fake_isolate (group, leader, true);
  ck_assert_int_eq (fake_propose (group, leader, 0), 0);
  ck_assert_int_eq (fake_read (group, leader), 0);
  fake_run (group, 10000);
  ck_assert_uint_eq (old->reads_done, 0);
  ck_assert_uint_eq (old->reads_failed, 1);
  ck_assert_uint_eq (old->raft->commit, commit);
  ck_assert_int_ne (old->raft->role, AB_RAFT_LEADER);
  ck_assert_int_ne (fake_leader (group), leader);
  fake_heal (group);
  ck_assert (fake_run_until_converged (group, 10000));
  finish (group);
}
END_TEST

/* Guards against a group that is without a leader for long after a power loss,
   because its first messages were lost while connections came up.  */
START_TEST (leader_soon_after_simultaneous_start)
{
  int leader;
  struct fake_group *group = started_group (5, (uint64_t)_i + 1, &leader);
  uint64_t connected;

  for (int i = 0; i < 5; i++)
    fake_crash (group, i);
  for (int i = 0; i < 5; i++)
    {
      fake_start (group, i);
      fake_isolate (group, i, true);
    }
  fake_run (group, FAKE_ELECTION_MS * 2 / 3);
  fake_heal (group);
  connected = group->now_ms;
  leader = fake_run_until_leader (group, 20000);
  ck_assert_int_ge (leader, 0);
  ck_assert_uint_le (group->now_ms - connected, FAKE_ELECTION_MS);
  finish (group);
}
END_TEST

/* Guards against candidates that split the votes repeatedly: with two of five
   disks emptied, all other members have to vote for the same candidate.  */
START_TEST (leader_soon_after_emptied_disks)
{
  int leader;
  struct fake_group *group = started_group (5, (uint64_t)_i + 1, &leader);
  uint64_t started;

  ck_assert (fake_run_until_converged (group, 10000));
  group->delay_ms = 25;
  for (int i = 0; i < 5; i++)
    fake_crash (group, i);
  fake_empty_disk (group, 1);
  fake_empty_disk (group, 3);
  for (int i = 0; i < 5; i++)
    fake_start (group, i);
  started = group->now_ms;
  leader = fake_run_until_leader (group, 20000);
  ck_assert_int_ge (leader, 0);
  ck_assert_uint_le (group->now_ms - started, 2 * FAKE_ELECTION_MS);
  finish (group);
}
END_TEST

/* Guards against a stale read from a leader that was replaced but is still in
   contact with a minority: it would miss what is committed in the meantime. */
START_TEST (read_needs_quorum)
{
  int leader;
  struct fake_group *group = started_group (5, 2, &leader);
  int reachable = (leader + 1) % 5;
  struct fake_member *old = &group->members[leader];

  for (int i = 0; i < 5; i++)
    if (i != leader && i != reachable)
      {
        fake_cut (group, i, leader, true);
        fake_cut (group, leader, i, true);
      }
  for (int i = 0; i < 50 && old->raft->role == AB_RAFT_LEADER; i++)
    {
      ck_assert_int_eq (fake_read (group, leader), 0);
      fake_run (group, 20);
    }
  fake_run (group, 5000);
  ck_assert_uint_eq (old->reads_done, 0);
  fake_heal (group);
  ck_assert (fake_run_until_converged (group, 10000));
  finish (group);
}
END_TEST

/* Guards against a member that receives no messages and replaces a healthy
   leader, while it is cut off or when it returns.  */
START_TEST (one_way_partition)
{
  int leader;
  struct fake_group *group = started_group (3, 3, &leader);
  int cut_off = (leader + 1) % 3;
  uint64_t term = group->members[leader].raft->hard_state.term;

  for (int i = 0; i < 3; i++)
    fake_cut (group, i, cut_off, true);
  fake_run (group, 10000);
  ck_assert_int_eq (fake_leader (group), leader);
  fake_heal (group);
  fake_run (group, 5000);
  ck_assert_int_eq (fake_leader (group), leader);
  ck_assert_uint_eq (group->members[leader].raft->hard_state.term, term);
  /* The cut-off member now receives from all members but the leader, so that
     votes could reach it.  */
  fake_cut (group, leader, cut_off, true);
  fake_run (group, 10000);
  ck_assert_int_eq (fake_leader (group), leader);
  ck_assert_uint_eq (group->members[leader].raft->hard_state.term, term);
  finish (group);
}
END_TEST

/* Guards against losing entries committed before a repair when a second member
   loses its disk right after it.  */
START_TEST (second_loss_after_repair)
{
  int leader;
  struct fake_group *group = started_group (3, 4, &leader);
  int first = (leader + 1) % 3;
  int second = (leader + 2) % 3;
  uint64_t before;
  uint64_t end;

  for (int i = 0; i < 50; i++)
    fake_propose (group, leader, 0);
  fake_run (group, 500);
  before = group->committed_count;
  fake_crash (group, first);
  fake_empty_disk (group, first);
  fake_start (group, first);
  end = group->now_ms + 20000;
  while (!fake_repair_members (group) && group->now_ms < end)
    fake_step (group);
  fake_crash (group, second);
  fake_empty_disk (group, second);
  ck_assert (run_until_committed (group, before + 1, 10000));
  ck_assert (fake_run_until_converged (group, 10000));
  ck_assert_uint_ge (fake_applied (group, first), before);
  finish (group);
}
END_TEST

/* Guards against a vote from an emptied disk under an old name: while the one
   member that has all entries is down, the other two must not elect a
   leader.  */
START_TEST (emptied_disk_does_not_vote)
{
  int leader;
  struct fake_group *group = started_group (3, 5, &leader);
  int emptied = (leader + 1) % 3;
  int lagging = (leader + 2) % 3;
  struct ab_raft_status status;
  uint64_t term;

  fake_run (group, 1000);
  term = group->members[leader].raft->hard_state.term;
  fake_isolate (group, lagging, true);
  for (int i = 0; i < 10; i++)
    fake_propose (group, leader, 0);
  fake_run (group, 300);
  fake_crash (group, leader);
  fake_crash (group, emptied);
  fake_empty_disk (group, emptied);
  /* Wait until no message of the old leader is in transit: one could set the
     restarted member's disk_replaced.  */
  fake_run (group, 200);
  fake_heal (group);
  fake_start (group, emptied);
  fake_run (group, 20000);
  ck_assert_int_eq (fake_leader (group), -1);
  ck_assert_uint_eq (group->members[lagging].raft->hard_state.term, term);
  fake_start (group, leader);
  ck_assert_int_ge (fake_run_until_leader (group, 10000), 0);
  fake_run (group, 500);
  ab_raft_status (group->members[emptied].raft, &status);
  ck_assert (!status.can_vote);
  ck_assert (fake_run_until_converged (group, 20000));
  ab_raft_status (group->members[emptied].raft, &status);
  ck_assert (status.can_vote);
  finish (group);
}
END_TEST

/* Guards against counting replies from an emptied disk: while a member is
   down, they must neither commit a command nor confirm a read nor keep the
   leader from stepping down.  */
START_TEST (emptied_disk_does_not_count)
{
  int leader;
  struct fake_group *group = started_group (3, 13, &leader);
  int emptied = (leader + 1) % 3;
  struct fake_member *old = &group->members[leader];
  uint64_t commit;

  fake_run (group, 1000);
  fake_crash (group, emptied);
  fake_empty_disk (group, emptied);
  fake_start (group, emptied);
  fake_run (group, 300);
  fake_crash (group, (leader + 2) % 3);
  commit = old->raft->commit;
  ck_assert_int_eq (fake_propose (group, leader, 0), 0);
  ck_assert_int_eq (fake_read (group, leader), 0);
  fake_run (group, 5000);
  ck_assert_uint_eq (old->raft->commit, commit);
  ck_assert_uint_eq (old->reads_done, 0);
  ck_assert_int_ne (old->raft->role, AB_RAFT_LEADER);
  fake_start (group, (leader + 2) % 3);
  ck_assert (fake_run_until_converged (group, 20000));
  finish (group);
}
END_TEST

/* Guards against two leaders in one term when a disk is emptied before the
   group has recorded its id.  */
START_TEST (emptied_in_first_election)
{
  struct fake_group *group = fake_group_new (3, 1000 + (uint64_t)_i);
  uint64_t steps = 100 + ab_rng_below (&group->rng, 120);
  int emptied = (int)ab_rng_below (&group->rng, 3);

  group->delay_ms = 150;
  for (uint64_t i = 0; i < steps; i++)
    fake_step (group);
  for (int round = 0; round < 4; round++)
    {
      fake_crash (group, emptied);
      fake_empty_disk (group, emptied);
      fake_start (group, emptied);
      fake_cut (group, (int)ab_rng_below (&group->rng, 3),
                (int)ab_rng_below (&group->rng, 3), true);
      fake_run (group, 700);
    }
  fake_heal (group);
  fake_run (group, 3000);
  finish (group);
}
END_TEST

/* Guards against a group that never gets its first leader because a member
   lost its disk and does not know the first members any more, and against two
   leaders in one term because such a member voted twice.  */
START_TEST (lost_in_first_election)
{
  struct fake_group *group = fake_group_new (3, 2000 + (uint64_t)_i);
  uint64_t steps = ab_rng_below (&group->rng, 220);
  int lost = (int)ab_rng_below (&group->rng, 3);

  group->delay_ms = 150;
  group->members[lost].is_late = true;
  for (uint64_t i = 0; i < steps; i++)
    fake_step (group);
  for (int round = 0; round < 4; round++)
    {
      fake_crash (group, lost);
      fake_empty_disk (group, lost);
      fake_start (group, lost);
      fake_cut (group, (int)ab_rng_below (&group->rng, 3),
                (int)ab_rng_below (&group->rng, 3), true);
      fake_run (group, 700);
    }
  fake_heal (group);
  ck_assert_int_ge (fake_run_until_leader (group, 10000), 0);
  ck_assert (fake_run_until_converged (group, 20000));
  finish (group);
}
END_TEST

/* Guards against a group that never gets its first leader because all members
   but one lost their disks before any vote.  */
START_TEST (others_lost_before_first_election)
{
  struct fake_group *group = fake_group_new (3, 4000 + (uint64_t)_i);
  int kept = _i % 3;

  for (int i = 0; i < _i % 5; i++)
    fake_step (group);
  ck_assert_uint_eq (group->members[kept].raft->hard_state.term, 0);
  for (int i = 0; i < 3; i++)
    if (i != kept)
      {
        group->members[i].is_late = true;
        fake_crash (group, i);
        fake_empty_disk (group, i);
        fake_start (group, i);
      }
  ck_assert_int_eq (fake_run_until_leader (group, 10000), kept);
  ck_assert (fake_run_until_converged (group, 20000));
  finish (group);
}
END_TEST

/* Guards against a member that missed the first entries and is elected anew by
   members that lost their disks.  */
START_TEST (lost_majority_elects_nobody)
{
  int leader;
  struct fake_group *group = fake_group_new (3, 3000 + (uint64_t)_i);
  int lagging;

  group->delay_ms = 5;
  while ((leader = fake_leader (group)) < 0)
    fake_step (group);
  lagging = (leader + 1) % 3;
  fake_isolate (group, lagging, true);
  fake_run (group, 3000);
  ck_assert_uint_eq (
      ab_raft_log_last_index (&group->members[lagging].raft->log), 0);
  ck_assert_uint_gt (group->committed_count, 0);
  for (int i = 0; i < 3; i++)
    if (i != lagging)
      {
        group->members[i].is_late = true;
        fake_crash (group, i);
        fake_empty_disk (group, i);
        fake_start (group, i);
      }
  fake_heal (group);
  fake_run (group, 10000);
  ck_assert_int_lt (fake_leader (group), 0);
  finish (group);
}
END_TEST

/* Cuts all links of member I except those with member KEPT.  */
static void
isolate_except (struct fake_group *group, int i, int kept)
{
  fake_isolate (group, i, true);
  fake_cut (group, i, kept, false);
  fake_cut (group, kept, i, false);
}

/* Guards against committing an entry of an earlier term by counting its
   copies: a leader of a term in between may still overwrite it.  Two large
   commands go into two messages, so that the first one is on a majority before
   the new leader's own entry is.  */
START_TEST (earlier_term_is_not_counted)
{
  int a;
  int b;
  int c = -1;
  uint64_t first;
  struct fake_group *group = started_group (5, 6, &a);

  b = (a + 1) % 5;
  isolate_except (group, a, b);
  first = ab_raft_log_last_index (&group->members[a].raft->log) + 1;
  fake_propose (group, a, 200000);
  fake_propose (group, a, 200000);
  fake_run (group, 200);
  fake_crash (group, a);
  fake_crash (group, b);
  fake_heal (group);
  /* One of the others becomes the leader, but its first entry reaches
     nobody.  */
  while (c < 0)
    {
      fake_step (group);
      c = fake_leader (group);
    }
  fake_isolate (group, c, true);
  fake_run (group, 50);
  ck_assert_uint_eq (group->committed_count, first - 1);
  fake_crash (group, c);
  fake_start (group, a);
  fake_start (group, b);
  fake_heal (group);
  /* Stop when a third member has the first large command only.  */
  for (int done = 0; !done;)
    {
      fake_step (group);
      for (int i = 0; i < 5; i++)
        if (i != a && i != b && i != c
            && ab_raft_log_last_index (&group->members[i].raft->log) == first)
          done = 1;
      ck_assert_uint_lt (group->now_ms, 60000);
    }
  fake_isolate (group, c, true);
  for (int i = 0; i < 5; i++)
    for (int j = 0; j < 5; j++)
      if (j == a || j == b)
        fake_cut (group, i, j, false);
      else
        fake_cut (group, i, j, true);
  fake_run (group, 60);
  fake_crash (group, a);
  fake_crash (group, b);
  fake_heal (group);
  fake_start (group, c);
  ck_assert_int_ge (fake_run_until_leader (group, 20000), 0);
  fake_start (group, a);
  fake_start (group, b);
  ck_assert (fake_run_until_converged (group, 20000));
  finish (group);
}
END_TEST

/* Guards against snapshots that do not fit into a frame: a member that missed
   more entries than the leader retains must get a snapshot of 3 MB while
   packets are lost.  */
START_TEST (large_snapshot)
{
  int leader;
  struct fake_group *group = started_group (3, 7, &leader);
  int lagging = (leader + 1) % 3;

  group->snapshot_padding_bytes = 3000000;
  group->snapshot_interval = 1500;
  fake_crash (group, lagging);
  for (int i = 0; i < 3500; i++)
    {
      fake_propose (group, leader, 0);
      if (i % 50 == 0)
        fake_step (group);
    }
  fake_run (group, 500);
  ck_assert_uint_gt (group->members[leader].raft->log.base_index, 100);
  group->drop_percent = 10;
  fake_start (group, lagging);
  ck_assert (fake_run_until_converged (group, 60000));
  ck_assert_uint_gt (group->members[lagging].snapshot_index, 0);
  finish (group);
}
END_TEST

/* Guards against a log on disk and a restart time that grow with the number of
   changes: 600 entries of 20 KB are 12 MB.  */
START_TEST (bounded_restart)
{
  int leader;
  struct fake_group *group = started_group (3, 8, &leader);
  struct fake_member *member = &group->members[leader];
  uint64_t on_disk = 0;

  for (int i = 0; i < 600; i++)
    {
      fake_propose (group, leader, 20000);
      fake_run (group, 60);
    }
  for (size_t i = 0; i < member->disk->now.count; i++)
    on_disk += member->disk->now.items[i].inode->now.len;
  ck_assert_uint_lt (on_disk, 6 * 1024 * 1024);
  fake_crash (group, leader);
  fake_start (group, leader);
  ck_assert_uint_lt (member->raft->log.count, 2 * group->snapshot_interval);
  ck_assert (fake_run_until_converged (group, 10000));
  finish (group);
}
END_TEST

/* Guards against a full disk that stops the group or leaves half a command:
   the proposal is rejected, and another member leads and accepts it while the
   disk is still full.  */
START_TEST (full_disk)
{
  int leader;
  struct fake_group *group = started_group (3, 9, &leader);
  struct fake_disk *disk = group->members[leader].disk;
  uint64_t last;
  int next;

  fake_run (group, 500);
  last = ab_raft_log_last_index (&group->members[leader].raft->log);
  disk->full_at = disk->bytes + 100;
  ck_assert_int_eq (fake_propose (group, leader, 5000), AB_ERR_FULL);
  ck_assert_uint_eq (
      ab_raft_log_last_index (&group->members[leader].raft->log), last);
  next = fake_run_until_leader (group, 2000);
  ck_assert_int_ge (next, 0);
  ck_assert_int_ne (next, leader);
  ck_assert_int_eq (fake_propose (group, next, 5000), 0);
  fake_run (group, 1000);
  ck_assert_int_eq (fake_leader (group), next);
  ck_assert_uint_eq (fake_applied (group, next),
                     ab_raft_log_last_index (&group->members[next].raft->log));
  disk->full_at = 0;
  ck_assert (fake_run_until_converged (group, 5000));
  leader = next;
  ck_assert_int_eq (fake_propose (group, leader, 5000), 0);
  ck_assert (fake_run_until_converged (group, 5000));
  /* A follower without space lags, and catches up later.  */
  disk = group->members[(leader + 1) % 3].disk;
  disk->full_at = disk->bytes + 100;
  ck_assert_int_eq (fake_propose (group, leader, 5000), 0);
  fake_run (group, 1000);
  disk->full_at = 0;
  ck_assert (fake_run_until_converged (group, 5000));
  finish (group);
}
END_TEST

/* Guards against a member that continues after a failed sync, when the page
   cache may have dropped data that it takes for written.  */
START_TEST (failed_sync_stops)
{
  int leader;
  struct fake_group *group = started_group (3, 10, &leader);
  struct fake_member *member = &group->members[leader];
  size_t packets;

  fake_run (group, 500);
  packets = group->packet_count;
  ck_assert_int_eq (fake_propose (group, leader, 0), 0);
  member->disk->fail_sync_at = member->disk->changes + 1;
  ck_assert_int_lt (ab_raft_flush (member->raft, group->now_ms), 0);
  ck_assert_int_lt (ab_raft_flush (member->raft, group->now_ms), 0);
  ck_assert_int_lt (fake_propose (group, leader, 0), 0);
  ck_assert_int_lt (fake_read (group, leader), 0);
  /* Only the entry itself was sent, to the two other members, before the
     sync.  */
  ck_assert_uint_le (group->packet_count, packets + 2);
  ck_assert (fake_run_until_converged (group, 10000));
  finish (group);
}
END_TEST

/* Guards against membership changes that could give two separate majorities,
   against promoting a member that lags, and against a removed leader that
   continues.  */
START_TEST (member_changes)
{
  int leader;
  struct fake_group *group = started_group (4, 11, &leader);
  struct ab_raft *raft = group->members[leader].raft;
  int other = (leader + 1) % 4;
  const char *host = group->members[other].host;
  struct ab_raft_member member = { .learner = true };

  snprintf (member.host, sizeof member.host, "%s", host);
  fake_run (group, 500);
  ck_assert_int_eq (ab_raft_remove (raft, group->now_ms, host), 0);
  ck_assert_int_eq (ab_raft_add_learner (raft, group->now_ms, &member),
                    AB_ERR_BUSY);
  fake_run (group, 500);
  fake_crash (group, other);
  fake_empty_disk (group, other);
  ck_assert_int_eq (ab_raft_add_learner (raft, group->now_ms, &member), 0);
  fake_run (group, 500);
  ck_assert_int_eq (ab_raft_promote (raft, group->now_ms, host),
                    AB_ERR_UNAVAILABLE);
  ck_assert_int_eq (ab_raft_promote (raft, group->now_ms, "m9"),
                    AB_ERR_NOT_FOUND);
  fake_start (group, other);
  fake_run (group, 2000);
  ck_assert_int_eq (ab_raft_promote (raft, group->now_ms, host), 0);
  fake_run (group, 500);
  ck_assert_int_eq (
      ab_raft_remove (raft, group->now_ms, group->members[leader].host), 0);
  fake_run (group, 5000);
  ck_assert_int_ne (raft->role, AB_RAFT_LEADER);
  ck_assert_int_ge (fake_leader (group), 0);
  ck_assert_uint_eq (group->members[fake_leader (group)].raft->members.count,
                     3);
  finish (group);
}
END_TEST

/* Guards against crashes on damaged messages.  */
START_TEST (corrupt_messages)
{
  int leader;
  struct fake_group *group = started_group (3, 12, &leader);
  char noise[512];

  for (int i = 0; i < 5000; i++)
    {
      const struct fake_packet *packet;
      size_t len;
      if (group->packet_count == 0)
        {
          fake_step (group);
          continue;
        }
      packet
          = &group->packets[ab_rng_below (&group->rng, group->packet_count)];
      len = packet->data.len < sizeof noise ? packet->data.len : sizeof noise;
      memcpy (noise, packet->data.data, len);
      /* The message is cut short, so that it is never valid.  */
      noise[ab_rng_below (&group->rng, len)] = (char)ab_rng_next (&group->rng);
      ck_assert_int_lt (
          ab_raft_receive (group->members[leader].raft, group->now_ms, "m0",
                           ab_chunk (noise, ab_rng_below (&group->rng, len))),
          0);
    }
  finish (group);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("raft");
  TCase *tcase = tcase_create ("raft");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, random_faults, 0, RANDOM_SEEDS);
  tcase_add_loop_test (tcase, long_random_faults, 0, 5);
  tcase_add_test (tcase, isolated_leader);
  tcase_add_test (tcase, read_needs_quorum);
  tcase_add_loop_test (tcase, leader_soon_after_simultaneous_start, 0, 20);
  tcase_add_loop_test (tcase, leader_soon_after_emptied_disks, 0, 40);
  tcase_add_test (tcase, one_way_partition);
  tcase_add_test (tcase, second_loss_after_repair);
  tcase_add_test (tcase, emptied_disk_does_not_vote);
  tcase_add_test (tcase, emptied_disk_does_not_count);
  tcase_add_loop_test (tcase, emptied_in_first_election, 0,
                       FIRST_ELECTION_SEEDS);
  tcase_add_loop_test (tcase, lost_in_first_election, 0, FIRST_ELECTION_SEEDS);
  tcase_add_loop_test (tcase, others_lost_before_first_election, 0, 15);
  tcase_add_loop_test (tcase, lost_majority_elects_nobody, 0, 20);
  tcase_add_test (tcase, earlier_term_is_not_counted);
  tcase_add_test (tcase, large_snapshot);
  tcase_add_test (tcase, bounded_restart);
  tcase_add_test (tcase, full_disk);
  tcase_add_test (tcase, failed_sync_stops);
  tcase_add_test (tcase, member_changes);
  tcase_add_test (tcase, corrupt_messages);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
