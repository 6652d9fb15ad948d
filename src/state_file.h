/* The small files of a data folder (identity, vote) and the snapshot.  Each is
   replaced as a whole and protected by a checksum.  */

#ifndef AB_STATE_FILE_H
#define AB_STATE_FILE_H

#include "file_ops.h"
#include "raft.h"

#define AB_SNAPSHOT_FILE_BYTES_MAX ((size_t)1024 * 1024 * 1024)

struct ab_identity
{
  uint8_t disk_id[AB_DISK_ID_BYTES];
  struct ab_raft_member members[AB_RAFT_MEMBERS_MAX]; /* The first members.  */
  size_t member_count;
};

struct ab_snapshot
{
  uint64_t index;
  uint64_t term;
  struct ab_raft_member members[AB_RAFT_MEMBERS_MAX];
  size_t member_count;
};

/* Readers return AB_ERR_NOT_FOUND when the file is missing, and AB_ERR_CORRUPT
   with ERROR set when it is damaged.  Writes are durable on return;
   AB_ERR_FULL leaves the old file unchanged.  */
int ab_identity_read (struct ab_files *files, const char *folder,
                      struct ab_identity *identity,
                      char error[AB_CONF_ERROR_BYTES]);
int ab_identity_write (struct ab_files *files, const char *folder,
                       const struct ab_identity *identity);

int ab_vote_read (struct ab_files *files, const char *folder,
                  struct ab_raft_hard_state *state,
                  char error[AB_CONF_ERROR_BYTES]);
int ab_vote_write (struct ab_files *files, const char *folder,
                   const struct ab_raft_hard_state *state);

/* Sets SNAPSHOT to the position and members of the stored snapshot and appends
   the state machine's snapshot to DATA.  */
int ab_snapshot_read (struct ab_files *files, const char *folder,
                      struct ab_snapshot *snapshot, struct ab_buf *data,
                      char error[AB_CONF_ERROR_BYTES]);
int ab_snapshot_write (struct ab_files *files, const char *folder,
                       const struct ab_snapshot *snapshot,
                       struct ab_chunk data);

#endif
