/* Runs a consensus core: storage, messages, timers and snapshots.

   What a member has acknowledged must be on its disk, so errors of storage and
   of the state machine end the process with status 1.  */

#ifndef AB_RAFT_TASK_H
#define AB_RAFT_TASK_H

#include "daemon.h"
#include "raft.h"

struct ab_raft_task;

/* Callbacks of the replicated state machine and its owner.  */
struct ab_raft_task_ops
{
  /* Applies a committed command; a negative result is fatal.  */
  int (*apply) (void *ctx, uint64_t index, uint64_t term,
                struct ab_chunk data);
  /* Encodes the state into OUT.  */
  int (*save) (void *ctx, struct ab_buf *out);
  /* Replaces the state by the one encoded in DATA.  */
  int (*load) (void *ctx, struct ab_chunk data);
  /* Returns the number of records in the state; may be null.  With a large
     state the log may grow longer before the next snapshot.  */
  uint64_t (*record_count) (void *ctx);
  /* Called before a message to HOST is sent; may be null.  */
  void (*before_send) (void *ctx, const char *host);
  /* Completes a read requested with ab_raft_read.  */
  void (*read_ready) (void *ctx, uint64_t request, int rc);
  /* Called after each flush.  APPLIED: commands were applied or a snapshot was
     installed; LEADERSHIP_CHANGED: leadership was won or lost.  */
  void (*flushed) (void *ctx, bool applied, bool leadership_changed);
};

struct ab_raft_task_config
{
  const char *folder; /* Name of the folder within the data folder.  */
  const struct ab_raft_member *initial_members; /* Members of a new group.  */
  size_t initial_member_count;
  /* A snapshot is written when the log since the last one reaches
     SNAPSHOT_ENTRIES, or the larger of SNAPSHOT_BYTES and the size of the last
     snapshot.  */
  uint64_t snapshot_entries;
  uint64_t snapshot_bytes;
  const struct ab_raft_task_ops *ops;
  void *ctx;
};

/* Starts a member whose log, vote and snapshots are in DATA_FOLDER.  On
   failure ERROR describes what is wrong with them.  */
int ab_raft_task_new (struct ab_daemon *daemon, const char *data_folder,
                      const struct ab_raft_task_config *config,
                      struct ab_raft_task **task,
                      char error[AB_CONF_ERROR_BYTES]);
void ab_raft_task_free (struct ab_raft_task *task);

/* Returns the consensus core.  After a call that changes it, call
   ab_raft_task_flush.  */
struct ab_raft *ab_raft_task_core (struct ab_raft_task *task);
/* Schedules a flush after the callbacks of this turn of the event loop.  */
void ab_raft_task_flush (struct ab_raft_task *task);

/* Returns the id of this member's disk, AB_DISK_ID_BYTES long.  */
const uint8_t *ab_raft_task_disk_id (const struct ab_raft_task *task);

#endif
