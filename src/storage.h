/* Durable storage of a consensus group's member: write-ahead log, vote and
   snapshots in one data folder.

   Nothing counts before fsync of the file and, where one was created, of its
   folder.  A torn record at the end of the last segment is cut off; damage
   anywhere else gives AB_ERR_CORRUPT with a message and the process must
   stop.  A failed fsync is fatal: the page cache may have dropped the data.
   A full disk is reported as AB_ERR_FULL before anything counts.  */

#ifndef AB_STORAGE_H
#define AB_STORAGE_H

#include "file_ops.h"
#include "raft.h"

struct ab_storage;
struct ab_storage_loaded;

/* What ab_storage_open found; valid until ab_storage_content_free.  */
struct ab_storage_content
{
  struct ab_raft_start start;
  struct ab_buf snapshot_data; /* The state machine's; empty without one.  */
  uint8_t disk_id[AB_DISK_ID_BYTES];
  bool fresh; /* The folder was empty: the disk id is new.  */
  struct ab_storage_loaded *loaded; /* What START points to.  */
};

/* Opens or creates the folder.  MEMBERS are those of a fresh group; they are
   kept with the disk identity, so that later changes of the settings do not
   reach a group that exists.  AB_ERR_BUSY when another process has the
   folder open, AB_ERR_CORRUPT.  ERROR tells what is wrong, with the file and
   offset.  */
int ab_storage_open (const char *folder, const struct ab_raft_member *members,
                     size_t member_count, struct ab_storage **storage,
                     struct ab_storage_content *content,
                     char error[AB_CONF_ERROR_BYTES]);

/* The same on other file operations than the system's, with segments of the
   log closed at SEGMENT_BYTES.  */
int ab_storage_open_with (struct ab_files *files, uint64_t segment_bytes,
                          const char *folder,
                          const struct ab_raft_member *members,
                          size_t member_count, struct ab_storage **storage,
                          struct ab_storage_content *content,
                          char error[AB_CONF_ERROR_BYTES]);
void ab_storage_content_free (struct ab_storage_content *content);
void ab_storage_close (struct ab_storage *storage);

int ab_storage_save_vote (struct ab_storage *storage,
                          const struct ab_raft_hard_state *state);
int ab_storage_append (struct ab_storage *storage,
                       const struct ab_raft_entry *entries, size_t count);
int ab_storage_truncate (struct ab_storage *storage, uint64_t first_index);
int ab_storage_sync (struct ab_storage *storage);

/* Writes a snapshot (temporary file, fsync, rename, fsync of the folder) and
   then drops the log segments that it covers.  AB_ERR_FULL leaves the old
   snapshot and the log; AB_ERR_STALE when a newer one is there.  */
int ab_storage_save_snapshot (struct ab_storage *storage, uint64_t index,
                              uint64_t term,
                              const struct ab_raft_member *members,
                              size_t member_count, struct ab_chunk data);
int ab_storage_load_snapshot (struct ab_storage *storage, uint64_t *index,
                              uint64_t *term, struct ab_buf *data);

/* Drops the whole log, after a snapshot from the leader was saved.  */
int ab_storage_reset_log (struct ab_storage *storage, uint64_t next_index);

#endif
