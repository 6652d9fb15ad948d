/* Durable storage of a consensus group's member: write-ahead log, vote and
   snapshots in one data folder.

   Data counts as stored only after fsync of the file and, where a file was
   created, of its folder.  A torn record at the end of the last segment is cut
   off; damage anywhere else gives AB_ERR_CORRUPT with a message, and the
   process must stop.  A failed fsync is fatal: the page cache may have dropped
   the data.  A full disk is reported as AB_ERR_FULL, and the operation has no
   effect.  */

#ifndef AB_STORAGE_H
#define AB_STORAGE_H

#include "file_ops.h"
#include "raft.h"

struct ab_storage;
struct ab_storage_loaded;

/* Content read by ab_storage_open; valid until ab_storage_content_free.  */
struct ab_storage_content
{
  struct ab_raft_initial_state initial_state;
  /* Snapshot of the state machine; empty when there is none.  */
  struct ab_buf snapshot_data;
  uint8_t disk_id[AB_DISK_ID_BYTES];
  bool fresh; /* The folder was empty, and the disk id is new.  */
  /* Owns the data that INITIAL_STATE points to.  */
  struct ab_storage_loaded *loaded;
};

/* Opens or creates the folder.  MEMBERS are the members of a new group; they
   are stored with the disk identity, so that later changes of the settings do
   not affect an existing group.  AB_ERR_BUSY when another process has the
   folder open, AB_ERR_CORRUPT, AB_ERR_FULL, AB_ERR_IO.  On failure ERROR
   describes the cause, with the file and, for damage, the offset.  */
int ab_storage_open (const char *folder, const struct ab_raft_member *members,
                     size_t member_count, struct ab_storage **storage,
                     struct ab_storage_content *content,
                     char error[AB_CONF_ERROR_BYTES]);

/* Like ab_storage_open, but uses the file operations FILES and closes the
   log's segments at SEGMENT_BYTES.  */
int ab_storage_open_with (struct ab_files *files, uint64_t segment_bytes,
                          const char *folder,
                          const struct ab_raft_member *members,
                          size_t member_count, struct ab_storage **storage,
                          struct ab_storage_content *content,
                          char error[AB_CONF_ERROR_BYTES]);
void ab_storage_content_free (struct ab_storage_content *content);
void ab_storage_close (struct ab_storage *storage);

/* Saves term and vote; durable on return.  */
int ab_storage_save_vote (struct ab_storage *storage,
                          const struct ab_raft_hard_state *state);
/* Appends entries to the log; durable after ab_storage_sync.  */
int ab_storage_append (struct ab_storage *storage,
                       const struct ab_raft_entry *entries, size_t count);
/* Removes the log entries at FIRST_INDEX and after; durable on return.  */
int ab_storage_truncate (struct ab_storage *storage, uint64_t first_index);
int ab_storage_sync (struct ab_storage *storage);

/* Writes a snapshot (temporary file, fsync, rename, fsync of the folder) and
   then drops the log segments that it covers.  AB_ERR_FULL leaves the old
   snapshot and the log; AB_ERR_STALE when a newer snapshot exists.  */
int ab_storage_save_snapshot (struct ab_storage *storage, uint64_t index,
                              uint64_t term,
                              const struct ab_raft_member *members,
                              size_t member_count, struct ab_chunk data);
int ab_storage_load_snapshot (struct ab_storage *storage, uint64_t *index,
                              uint64_t *term, struct ab_buf *data);

/* Drops the whole log, after a snapshot received from the leader was
   saved.  */
int ab_storage_reset_log (struct ab_storage *storage, uint64_t next_index);

#endif
