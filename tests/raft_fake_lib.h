/* A simulated consensus group in one process: real members and storage with a
   simulated network, clock and disk.  Every step checks the invariants of the
   group; the first violation is kept as text in PROBLEM.  */

#ifndef RAFT_FAKE_LIB_H
#define RAFT_FAKE_LIB_H

#include <stdio.h>

#include "disk_fake_lib.h"
#include "raft.h"
#include "storage.h"

#define FAKE_MEMBERS_MAX 5
#define FAKE_ELECTION_MS 600
#define FAKE_HEARTBEAT_MS 100

struct fake_group;

struct fake_state
{
  uint64_t applied; /* Index of the last applied entry.  */
  uint64_t digest;  /* Digest of all applied entries.  */
  uint64_t commands;
};

struct fake_member
{
  /* First member, so that a pointer to it can be cast back.  */
  struct ab_raft_io io;
  struct fake_group *group;
  char host[16];
  struct fake_disk *disk;
  struct ab_storage *storage;
  struct ab_raft *raft; /* Null while the member is down.  */
  struct ab_rng rng;
  uint8_t disk_id[AB_DISK_ID_BYTES];
  struct fake_state state;
  uint64_t snapshot_index;
  bool is_late; /* An empty disk starts without the first members.  */
  uint64_t frozen_until_ms;
  /* Time of the next restart; 0 means none is planned.  */
  uint64_t restart_at_ms;
  uint64_t syncs;
  uint64_t reads_done;
  uint64_t reads_failed;
};

struct fake_packet
{
  uint64_t at_ms;
  int from;
  int to;
  struct ab_buf data;
};

/* A committed entry of the group, as seen by the first member that applied
   it.  */
struct fake_committed
{
  uint64_t term;
  uint64_t digest;
};

struct fake_read
{
  /* Highest committed index when the read was requested.  */
  uint64_t committed_index;
};

struct fake_group
{
  struct fake_member members[FAKE_MEMBERS_MAX];
  int count;
  struct ab_raft_member first[FAKE_MEMBERS_MAX];
  struct ab_rng rng;
  uint64_t now_ms;
  uint64_t steps;
  /* cut[A][B]: messages from member A to member B are dropped.  */
  bool cut[FAKE_MEMBERS_MAX][FAKE_MEMBERS_MAX];
  unsigned drop_percent;
  unsigned duplicate_percent;
  unsigned delay_ms; /* Longest network delay; the shortest is 1.  */
  size_t snapshot_padding_bytes; /* Bytes of padding in each snapshot.  */
  uint64_t segment_bytes;
  uint64_t snapshot_interval; /* Entries between snapshots.  */
  struct fake_packet *packets;
  size_t packet_count;
  size_t packet_cap;
  struct fake_committed *committed; /* Committed entries by index.  */
  uint64_t committed_count;
  size_t committed_cap;
  int *leader_of_term;
  size_t term_cap;
  struct fake_read *reads;
  size_t read_count;
  size_t read_cap;
  uint64_t proposals;
  uint64_t refused_full;
  uint64_t last_committed_ms;
  char problem[256]; /* First violation; empty when there is none.  */
};

/* Records a violation of an invariant; only the first one is kept.  */
#define fake_problem(group, ...)                                              \
  do                                                                          \
    {                                                                         \
      if ((group)->problem[0] == '\0')                                        \
        snprintf ((group)->problem, sizeof (group)->problem, __VA_ARGS__);    \
    }                                                                         \
  while (0)

struct fake_group *fake_group_new (int count, uint64_t seed);
void fake_group_free (struct fake_group *group);

/* Advances the clock by 1 to 10 ms, with deliveries, ticks, flushes and
   checks.  */
void fake_step (struct fake_group *group);
void fake_run (struct fake_group *group, uint64_t ms);

/* Returns the member that leads in the highest term, or -1.  */
int fake_leader (struct fake_group *group);

/* Runs until a leader has committed an entry of its term and returns it;
   returns -1 after MAX_MS.  */
int fake_run_until_leader (struct fake_group *group, uint64_t max_ms);

/* Stops a member; data that it did not sync may be lost.  */
void fake_crash (struct fake_group *group, int i);
void fake_start (struct fake_group *group, int i);

/* Replaces the disk of a stopped member by an empty one.  */
void fake_empty_disk (struct fake_group *group, int i);
void fake_cut (struct fake_group *group, int from, int to, bool cut);
void fake_isolate (struct fake_group *group, int i, bool cut);
void fake_heal (struct fake_group *group);

/* Proposes a unique command at member I, padded to at least BYTES bytes.
   Returns 0 or the error of ab_raft_propose.  */
int fake_propose (struct fake_group *group, int i, size_t bytes);
int fake_read (struct fake_group *group, int i);

/* Whether member I is up and not frozen.  */
bool fake_is_running (const struct fake_group *group, int i);

/* Returns the last index applied by member I.  */
uint64_t fake_applied (const struct fake_group *group, int i);

/* Takes one step to replace members whose disk was emptied: remove, add as
   learner, promote.  Returns true when nothing is left to do.  */
bool fake_repair_members (struct fake_group *group);

/* Proposes a command and steps until every running member has applied it;
   returns false after MAX_MS.  */
bool fake_run_until_converged (struct fake_group *group, uint64_t max_ms);

/* Runs STEPS steps with random faults for SEED.  Returns the violation found,
   or null, and sets *STEP to the step where the run ended.  */
const char *fake_random_run (uint64_t seed, uint64_t steps, uint64_t *step,
                             char problem[256]);

#endif
