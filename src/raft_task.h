/* A consensus core at work: its storage, messages, timers and snapshots.

   What a core promises must be on disk, so errors of storage and of the state
   machine end the process with status 1.  */

#ifndef AB_RAFT_TASK_H
#define AB_RAFT_TASK_H

#include "daemon.h"
#include "raft.h"

struct ab_raft_task;

/* The replicated state machine, and what its owner wants to know.  */
struct ab_raft_task_ops
{
  /* A committed command; a negative result is fatal.  */
  int (*apply) (void *ctx, uint64_t index, uint64_t term,
                struct ab_chunk data);
  int (*save) (void *ctx, struct ab_buf *out);
  int (*load) (void *ctx, struct ab_chunk data);
  /* Records of the state, or null: with a large state the log may grow longer
     before it is folded into a snapshot.  */
  uint64_t (*records) (void *ctx);
  /* Before a message to HOST; may be null.  */
  void (*sending) (void *ctx, const char *host);
  /* Answers ab_raft_read.  */
  void (*read_ready) (void *ctx, uint64_t request, int rc);
  /* After syncs, sends and applies.  APPLIED: commands were applied or a
     snapshot was installed; LED: leadership was won or lost.  */
  void (*flushed) (void *ctx, bool applied, bool led);
};

struct ab_raft_task_config
{
  const char *folder;                 /* Below the data folder.  */
  const struct ab_raft_member *first; /* Members of a new group.  */
  size_t first_count;
  /* The log is folded into a snapshot at either bound, or when it is larger
     than the last snapshot.  */
  uint64_t snapshot_entries;
  uint64_t snapshot_bytes;
  const struct ab_raft_task_ops *ops;
  void *ctx;
};

/* DATA_FOLDER holds the log, votes and snapshots.  ERROR tells what is wrong
   with them.  */
int ab_raft_task_new (struct ab_daemon *daemon, const char *data_folder,
                      const struct ab_raft_task_config *config,
                      struct ab_raft_task **task,
                      char error[AB_CONF_ERROR_BYTES]);
void ab_raft_task_free (struct ab_raft_task *task);

/* The core; after a call that changes it, call ab_raft_task_flush.  */
struct ab_raft *ab_raft_task_core (struct ab_raft_task *task);
/* Syncs, sends and applies after the callbacks of this turn of the event
   loop.  */
void ab_raft_task_flush (struct ab_raft_task *task);

/* This disk's id, AB_DISK_ID_BYTES long.  */
const uint8_t *ab_raft_task_disk_id (const struct ab_raft_task *task);

#endif
