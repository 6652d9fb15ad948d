/* Consensus core: a replicated log by raft's algorithm, without I/O.

   Inputs are the functions below; effects go through struct ab_raft_io.  All
   times are monotonic milliseconds given by the caller.  A member answers
   nothing that depends on a write before ab_raft_flush has synced it: call
   ab_raft_flush once after each batch of inputs (group commit).

   A group's first election needs the votes of all its members, because their
   disks are not known yet and one emptied meanwhile could vote twice.  The
   first leader records the disks; from then on a majority is enough, and a
   member whose disk is another one neither votes nor counts until it is
   removed and added again.  A learner added with a zero disk id gets the one
   that it answers from.

   Pre-vote keeps an isolated member from disturbing the group when it
   returns; a leader that has not heard a majority for one election timeout
   steps down; reads are confirmed by a round of heartbeats to a quorum, so no
   clock assumption is made.  */

#ifndef AB_RAFT_H
#define AB_RAFT_H

#include <stdbool.h>
#include <stdint.h>

#include "buf.h"
#include "rng.h"
#include "settings.h"

#define AB_DISK_ID_BYTES 16
#define AB_RAFT_ENTRY_BYTES_MAX (640 * 1024)
#define AB_RAFT_MEMBERS_MAX 16

struct ab_raft;
struct ab_raft_io;

enum ab_raft_entry_kind
{
  AB_RAFT_ENTRY_COMMAND, /* For the state machine.  */
  AB_RAFT_ENTRY_NOOP,    /* A new leader's first entry.  */
  AB_RAFT_ENTRY_CONFIG   /* The group's members from here on.  */
};

struct ab_raft_entry
{
  uint64_t index;
  uint64_t term;
  enum ab_raft_entry_kind kind;
  struct ab_chunk data;
};

/* A member of the group.  DISK_ID all zero: not known yet.  */
struct ab_raft_member
{
  char host[AB_NAME_BYTES];
  char address[AB_ADDRESS_BYTES];
  uint8_t disk_id[AB_DISK_ID_BYTES];
  bool learner; /* Receives the log but does not vote.  */
};

struct ab_raft_hard_state
{
  uint64_t term;
  char voted_for[AB_NAME_BYTES];
};

struct ab_raft_io_ops
{
  /* Sends MESSAGE to host TO; may be lost.  */
  void (*send) (struct ab_raft_io *io, const char *to,
                struct ab_chunk message);

  /* Storage.  Every call returns 0 or a negative error; after an error the
     member stops taking part (AB_ERR_FULL before anything was written only
     refuses the proposal).  save_vote is durable when it returns; append and
     truncate are durable when the next sync returns.  */
  int (*save_vote) (struct ab_raft_io *io,
                    const struct ab_raft_hard_state *state);
  int (*append) (struct ab_raft_io *io, const struct ab_raft_entry *entries,
                 size_t count);
  int (*truncate) (struct ab_raft_io *io, uint64_t first_index);
  int (*sync) (struct ab_raft_io *io);

  /* Replaces log and state by a snapshot received from the leader; durable
     when it returns.  DATA is the state machine's; the members are given
     apart.  */
  int (*install_snapshot) (struct ab_raft_io *io, uint64_t index,
                           uint64_t term, const struct ab_raft_member *members,
                           size_t count, struct ab_chunk data);
  /* The newest snapshot, to send to a member that lags.  */
  int (*load_snapshot) (struct ab_raft_io *io, uint64_t *index, uint64_t *term,
                        struct ab_buf *data);

  /* A committed entry, in order, once each since the last restart or
     snapshot.  */
  void (*apply) (struct ab_raft_io *io, const struct ab_raft_entry *entry);

  /* A read request given to ab_raft_read: RC is 0 when the state machine is
     now as current as when the request was made.  */
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
  uint64_t election_ms; /* Timeouts are drawn from this to twice this.  */
  struct ab_rng *rng;
  struct ab_raft_io *io;
};

/* What storage held at the start.  Entries follow the snapshot.  */
struct ab_raft_start
{
  struct ab_raft_hard_state hard_state;
  uint64_t snapshot_index;
  uint64_t snapshot_term;
  const struct ab_raft_member *members; /* At the snapshot, or the first.  */
  size_t member_count;
  const struct ab_raft_entry *entries;
  size_t entry_count;
};

/* What a snapshot of the state machine as applied now must say.  The members
   may differ from ab_raft_members, which may not be committed yet.  */
struct ab_raft_point
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
  bool can_vote; /* False: learner, or the disk was replaced.  */
  char leader_host[AB_NAME_BYTES]; /* Empty when unknown.  */
  uint64_t quorum_heard_ms; /* Leader: when a majority was heard last.  */
};

int ab_raft_new (const struct ab_raft_config *config,
                 const struct ab_raft_start *start, uint64_t now_ms,
                 struct ab_raft **raft);
void ab_raft_free (struct ab_raft *raft);

/* Commands.  */
void ab_raft_tick (struct ab_raft *raft, uint64_t now_ms);
int ab_raft_receive (struct ab_raft *raft, uint64_t now_ms, const char *from,
                     struct ab_chunk message);

/* Appends a command at the leader; *INDEX is its place, which is not
   committed yet and may still be lost.  AB_ERR_NOT_LEADER, AB_ERR_FULL,
   AB_ERR_TOO_LARGE.  */
int ab_raft_propose (struct ab_raft *raft, uint64_t now_ms,
                     struct ab_chunk data, uint64_t *index);

/* Asks for a linearisable read; the answer comes through read_ready.
   AB_ERR_NOT_LEADER.  */
int ab_raft_read (struct ab_raft *raft, uint64_t now_ms, uint64_t request);

/* Change of one member at a time: add a learner, promote it once it has
   caught up, remove a member, or record the new disk of a replaced one.
   AB_ERR_BUSY while another change is not committed; AB_ERR_UNAVAILABLE when
   a learner has not caught up.  */
int ab_raft_add_learner (struct ab_raft *raft, uint64_t now_ms,
                         const struct ab_raft_member *member);
int ab_raft_promote (struct ab_raft *raft, uint64_t now_ms, const char *host);
int ab_raft_remove (struct ab_raft *raft, uint64_t now_ms, const char *host);

/* Syncs what was appended, then sends what waited for it and applies what
   is committed.  A negative result is fatal for the member.  */
int ab_raft_flush (struct ab_raft *raft, uint64_t now_ms);

/* Tells that storage has a snapshot up to INDEX, so that the entries before
   it may be dropped from memory.  */
void ab_raft_compacted (struct ab_raft *raft, uint64_t index, uint64_t term);

/* Queries.  */
void ab_raft_status (const struct ab_raft *raft,
                     struct ab_raft_status *status);
size_t ab_raft_members (const struct ab_raft *raft,
                        const struct ab_raft_member **members);

struct ab_raft_progress
{
  uint64_t match;    /* Highest index known to be stored there.  */
  uint64_t heard_ms; /* When it answered last.  */
  bool other_disk;   /* It answers from another disk than the group's.  */
};

/* Leader: what is known of the member HOST.  AB_ERR_NOT_LEADER,
   AB_ERR_NOT_FOUND.  */
int ab_raft_member_progress (const struct ab_raft *raft, const char *host,
                             struct ab_raft_progress *progress);

/* When a leader was heard last; now for the leader itself.  */
uint64_t ab_raft_leader_heard_ms (const struct ab_raft *raft);

/* Where the state machine stands, for a snapshot of it; call it outside of
   apply.  AB_ERR_NOT_FOUND.  */
int ab_raft_applied_point (const struct ab_raft *raft,
                           struct ab_raft_point *point);

/* When ab_raft_tick wants to be called next.  */
uint64_t ab_raft_next_tick_ms (const struct ab_raft *raft);

#endif
