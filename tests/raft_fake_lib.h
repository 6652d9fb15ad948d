/* A consensus group in one process: real members and storage, a fake network,
   clock and disk.  Every step checks the rules that must hold always; the
   first violation is kept as text in PROBLEM.  */

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
  uint64_t applied; /* Index.  */
  uint64_t chain;   /* Digest over all applied entries.  */
  uint64_t commands;
};

struct fake_member
{
  struct ab_raft_io io; /* First member.  */
  struct fake_group *group;
  char host[16];
  struct fake_disk *disk;
  struct ab_storage *storage;
  struct ab_raft *raft; /* Null while it is down.  */
  struct ab_rng rng;
  uint8_t disk_id[AB_DISK_ID_BYTES];
  struct fake_state state;
  uint64_t snapshot_index;
  uint64_t frozen_until_ms;
  uint64_t restart_at_ms; /* 0: not planned.  */
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

/* What the whole group committed, as seen by the first that applied it.  */
struct fake_committed
{
  uint64_t term;
  uint64_t chain;
};

struct fake_read
{
  uint64_t floor; /* Committed by anyone when the read was asked for.  */
};

struct fake_group
{
  struct fake_member members[FAKE_MEMBERS_MAX];
  int count;
  struct ab_raft_member first[FAKE_MEMBERS_MAX];
  struct ab_rng rng;
  uint64_t now_ms;
  uint64_t steps;
  bool cut[FAKE_MEMBERS_MAX][FAKE_MEMBERS_MAX]; /* From, to.  */
  unsigned drop_percent;
  unsigned duplicate_percent;
  unsigned delay_ms; /* Largest; 1 is the smallest.  */
  size_t pad_bytes;  /* Added to snapshots.  */
  uint64_t segment_bytes;
  uint64_t compact_at; /* Entries between snapshots.  */
  struct fake_packet *packets;
  size_t packet_count;
  size_t packet_cap;
  struct fake_committed *committed; /* By index.  */
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
  char problem[256]; /* Empty: none.  */
};

/* Keeps the first problem only.  */
#define fake_problem(group, ...)                                              \
  do                                                                          \
    {                                                                         \
      if ((group)->problem[0] == '\0')                                        \
        snprintf ((group)->problem, sizeof (group)->problem, __VA_ARGS__);    \
    }                                                                         \
  while (0)

struct fake_group *fake_group_new (int count, uint64_t seed);
void fake_group_free (struct fake_group *group);

/* Lets 1 to 10 ms pass, with deliveries, ticks, flushes and checks.  */
void fake_step (struct fake_group *group);
void fake_run (struct fake_group *group, uint64_t ms);

/* The member that leads in the highest term, or -1.  */
int fake_leader (struct fake_group *group);

/* Runs until there is a leader that has committed an entry of its term; -1
   after MAX_MS.  */
int fake_run_until_leader (struct fake_group *group, uint64_t max_ms);

/* Stops a member; what it did not sync may be lost.  */
void fake_crash (struct fake_group *group, int i);
void fake_start (struct fake_group *group, int i);

/* Replaces the disk of a stopped member by an empty one.  */
void fake_empty_disk (struct fake_group *group, int i);
void fake_cut (struct fake_group *group, int from, int to, bool cut);
void fake_isolate (struct fake_group *group, int i, bool cut);
void fake_heal (struct fake_group *group);

/* 0 or the error of ab_raft_propose.  The command has BYTES bytes, at least
   what makes it unique.  */
int fake_propose (struct fake_group *group, int i, size_t bytes);
int fake_read (struct fake_group *group, int i);

/* Whether member I is up and not frozen.  */
bool fake_runs (const struct fake_group *group, int i);

/* The index applied by member I.  */
uint64_t fake_applied (const struct fake_group *group, int i);

/* One step of an operator who replaces members whose disk was emptied:
   remove, add as learner, promote.  True when nothing is left to do.  */
bool fake_repair (struct fake_group *group);

/* Proposes and steps until every running member has applied a new command;
   false after MAX_MS.  */
bool fake_settle (struct fake_group *group, uint64_t max_ms);

/* A whole random run of STEPS steps for SEED; the problem found, or null.
 *STEP is where it stopped.  */
const char *fake_random_run (uint64_t seed, uint64_t steps, uint64_t *step,
                             char problem[256]);

#endif
