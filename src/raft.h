/* Consensus core: a replicated log by the Raft algorithm.  No I/O.

   Inputs are the functions below; outputs go through struct ab_raft_io.  All
   times are monotonic milliseconds given by the caller.  A member sends no
   message that depends on a write before ab_raft_flush has synced that write:
   call ab_raft_flush once after each batch of inputs (group commit).

   The first election of a group needs the votes of all its members, because
   their disks are not known yet and a member whose disk was emptied in the
   meantime could vote twice.  Fewer than half of them may have lost their
   disks, or all others if the candidate has never voted.  The first leader
   records the disk ids in the configuration; from then on a majority is
   enough.  A member that runs on another disk than the recorded one neither
   votes nor counts towards a quorum until it is removed and added again.  A
   learner added with a zero disk id is recorded with the disk id in its first
   reply.

   Pre-vote keeps an isolated member from disturbing the group when it returns;
   a leader that has had no contact with a majority for one election timeout
   steps down; reads are confirmed by a round of heartbeats to a quorum, so
   that no assumption about clocks is made.

   A leader whose disk is full steps down and does not campaign for a while, so
   that a member that can write takes over.  */

#ifndef AB_RAFT_H
#define AB_RAFT_H

#include <stdbool.h>
#include <stdint.h>

#include "buf.h"
#include "rng.h"
#include "settings.h"

#define AB_DISK_ID_BYTES 16
/* Largest data of one log entry.  */
#define AB_RAFT_ENTRY_BYTES_MAX (640 * 1024)
#define AB_RAFT_MEMBERS_MAX 16

struct ab_raft;
struct ab_raft_io;

enum ab_raft_entry_kind
{
  AB_RAFT_ENTRY_COMMAND, /* Command for the state machine.  */
  AB_RAFT_ENTRY_NOOP,    /* First entry of a new leader's term.  */
  AB_RAFT_ENTRY_CONFIG   /* Configuration of the group from this entry on.  */
};

struct ab_raft_entry
{
  uint64_t index;
  uint64_t term;
  enum ab_raft_entry_kind kind;
  struct ab_chunk data;
};

/* A member of the group.  A DISK_ID of all zeros means that the disk is not
   known yet.  */
struct ab_raft_member
{
  char host[AB_NAME_BYTES];
  char address[AB_ADDRESS_BYTES];
  uint8_t disk_id[AB_DISK_ID_BYTES];
  bool learner; /* Receives the log but does not vote.  */
};

/* State that must be durable before a message that depends on it is sent.  */
struct ab_raft_hard_state
{
  uint64_t term;
  /* Host that got this member's vote in TERM; empty when there is none.  */
  char voted_for[AB_NAME_BYTES];
};

struct ab_raft_io_ops
{
  /* Sends MESSAGE to host TO; the message may be lost.  */
  void (*send) (struct ab_raft_io *io, const char *to,
                struct ab_chunk message);

  /* Storage.  Every call returns 0 or a negative error.  After an error the
     member stops taking part in the group; AB_ERR_FULL before anything was
     written only rejects the proposal.  save_vote is durable when it returns;
     append and truncate are durable when the next sync returns.  */
  int (*save_vote) (struct ab_raft_io *io,
                    const struct ab_raft_hard_state *state);
  int (*append) (struct ab_raft_io *io, const struct ab_raft_entry *entries,
                 size_t count);
  int (*truncate) (struct ab_raft_io *io, uint64_t first_index);
  int (*sync) (struct ab_raft_io *io);

  /* Replaces the log and the state by a snapshot received from the leader;
     durable when it returns.  DATA is the state machine's snapshot; it does
     not contain MEMBERS.  */
  int (*install_snapshot) (struct ab_raft_io *io, uint64_t index,
                           uint64_t term, const struct ab_raft_member *members,
                           size_t count, struct ab_chunk data);
  /* Loads the newest snapshot, to be sent to a member that lags.  */
  int (*load_snapshot) (struct ab_raft_io *io, uint64_t *index, uint64_t *term,
                        struct ab_buf *data);

  /* Applies a committed entry.  Entries come in order, each once since the
     last restart or snapshot.  */
  void (*apply) (struct ab_raft_io *io, const struct ab_raft_entry *entry);

  /* Completes a read requested with ab_raft_read.  RC is 0 when the state
     machine is at least as current as when the read was requested.  */
  void (*read_ready) (struct ab_raft_io *io, uint64_t request, int rc);
};

struct ab_raft_io
{
  const struct ab_raft_io_ops *ops;
};

struct ab_raft_config
{
  const char *host;
  uint8_t disk_id[AB_DISK_ID_BYTES];
  uint64_t heartbeat_ms;
  /* Election timeouts are random, from this to twice this.  */
  uint64_t election_ms;
  struct ab_rng *rng;
  struct ab_raft_io *io;
};

/* State read from storage at the start of the process.  The entries follow the
   snapshot.  */
struct ab_raft_initial_state
{
  struct ab_raft_hard_state hard_state;
  uint64_t snapshot_index;
  uint64_t snapshot_term;
  /* Members at the snapshot; without one, the first members.  */
  const struct ab_raft_member *members;
  size_t member_count;
  const struct ab_raft_entry *entries;
  size_t entry_count;
};

/* Position and members that a snapshot of the state machine, taken now, must
   carry.  The members may differ from ab_raft_members, which may not be
   committed yet.  */
struct ab_raft_snapshot_metadata
{
  uint64_t index;
  uint64_t term;
  struct ab_raft_member members[AB_RAFT_MEMBERS_MAX];
  size_t member_count;
};

struct ab_raft_status
{
  uint64_t term;
  uint64_t commit_index;
  uint64_t applied_index;
  uint64_t last_index;
  uint64_t first_index;
  bool leader;
  bool disk_full; /* The last write was refused for lack of room.  */
  bool can_vote;  /* False for a learner, or when the disk was replaced.  */
  char leader_host[AB_NAME_BYTES]; /* Empty when the leader is not known.  */
  /* Leader only: time of the last contact with a majority.  */
  uint64_t quorum_heard_ms;
};

/* Creates a member from its configuration and stored state.  AB_ERR_MEMORY,
   AB_ERR_TOO_LARGE, AB_ERR_INVALID, AB_ERR_CORRUPT.  */
int ab_raft_new (const struct ab_raft_config *config,
                 const struct ab_raft_initial_state *initial, uint64_t now_ms,
                 struct ab_raft **raft);
void ab_raft_free (struct ab_raft *raft);

/* Starts an election, sends heartbeats or steps down when that is due.  Call
   it at the time that ab_raft_next_tick_ms returns.  */
void ab_raft_tick (struct ab_raft *raft, uint64_t now_ms);
/* Handles MESSAGE from the member on host FROM.  AB_ERR_CORRUPT,
   AB_ERR_TOO_LARGE, AB_ERR_MEMORY, or the error that stopped this member.  */
int ab_raft_receive (struct ab_raft *raft, uint64_t now_ms, const char *from,
                     struct ab_chunk message);

/* Appends a command at the leader and sets *INDEX to the index of its entry,
   which is not committed yet and may still be lost.  AB_ERR_NOT_LEADER,
   AB_ERR_FULL, AB_ERR_TOO_LARGE.  */
int ab_raft_propose (struct ab_raft *raft, uint64_t now_ms,
                     struct ab_chunk data, uint64_t *index);

/* Requests a linearisable read; read_ready is called with REQUEST when it is
   confirmed or has failed.  AB_ERR_NOT_LEADER, AB_ERR_FULL, AB_ERR_MEMORY.  */
int ab_raft_read (struct ab_raft *raft, uint64_t now_ms, uint64_t request);

/* Changes the members, one at a time: add a learner, promote it to a voter
   once it has caught up, remove a member.  A member whose disk was replaced is
   removed and added again.  AB_ERR_BUSY while another change is not committed;
   AB_ERR_UNAVAILABLE when a learner has not caught up.  */
int ab_raft_add_learner (struct ab_raft *raft, uint64_t now_ms,
                         const struct ab_raft_member *member);
int ab_raft_promote (struct ab_raft *raft, uint64_t now_ms, const char *host);
int ab_raft_remove (struct ab_raft *raft, uint64_t now_ms, const char *host);

/* Syncs the appended entries, then sends the messages that depend on them and
   applies the committed entries.  A negative result is fatal for the
   member.  */
int ab_raft_flush (struct ab_raft *raft, uint64_t now_ms);

/* Drops the entries up to INDEX from memory, after storage has saved a
   snapshot up to there.  A bounded number of recent entries is kept for
   members that lag a little.  */
void ab_raft_compact_log (struct ab_raft *raft, uint64_t index, uint64_t term);

void ab_raft_status (const struct ab_raft *raft,
                     struct ab_raft_status *status);
/* Returns the number of members in the newest configuration, which may not be
   committed yet, and points *MEMBERS at them.  */
size_t ab_raft_members (const struct ab_raft *raft,
                        const struct ab_raft_member **members);

/* Replication progress of a member, as known to the leader.  */
struct ab_raft_progress
{
  uint64_t match; /* Highest index known to be stored by the member.  */
  /* Time of the last reply, at first that of the election; 0 for a member that
     was added later and has not replied yet.  */
  uint64_t heard_ms;
  /* The member's last reply came from another disk than the recorded one.  */
  bool disk_mismatch;
};

/* Returns the progress of the member HOST, at the leader.  AB_ERR_NOT_LEADER,
   AB_ERR_NOT_FOUND.  */
int ab_raft_member_progress (const struct ab_raft *raft, const char *host,
                             struct ab_raft_progress *progress);

/* Returns the time of the last contact with the leader; for the leader itself,
   with a majority.  */
uint64_t ab_raft_leader_heard_ms (const struct ab_raft *raft);

/* Returns the position and members for a snapshot of the state machine; call
   it outside of the apply callback.  AB_ERR_NOT_FOUND, AB_ERR_CORRUPT.  */
int ab_raft_get_snapshot_metadata (const struct ab_raft *raft,
                                   struct ab_raft_snapshot_metadata *metadata);

/* Returns the time at which ab_raft_tick must be called next.  */
uint64_t ab_raft_next_tick_ms (const struct ab_raft *raft);

#endif
