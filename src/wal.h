/* Write-ahead log in segment files wal-INDEX.log; all I/O goes through struct
   ab_files.

   Appended records are durable after ab_wal_sync; a truncation is durable when
   it returns.  A segment is synced before the next one is created, so that
   only the last segment can have a torn end.  After AB_ERR_FULL the log is
   unchanged; after any other failure the log must not be used again.  */

#ifndef AB_WAL_H
#define AB_WAL_H

#include "file_ops.h"
#include "raft.h"

/* Default size at which a segment is closed before the next append.  It bounds
   what a start reads in addition to the snapshot, and the log space that a
   snapshot cannot free.  */
#define AB_WAL_SEGMENT_BYTES ((uint64_t)4 * 1024 * 1024)

/* Largest segment that is read: one batch may exceed the bound above.  */
#define AB_WAL_SEGMENT_BYTES_MAX ((size_t)64 * 1024 * 1024)

struct ab_wal;

/* Entries read by ab_wal_open; their data points into the buffers.  */
struct ab_wal_content
{
  struct ab_raft_entry *entries;
  size_t count;
  size_t cap;
  struct ab_buf *buffers;
  size_t buffer_count;
};

struct ab_wal_options
{
  struct ab_files *files;
  const char *folder;
  /* Size at which a segment is closed.  */
  uint64_t segment_bytes;
  bool create;
  uint64_t snapshot_index;
  uint64_t snapshot_term;
};

/* Opens the log in the folder and sets CONTENT to the entries after the
   snapshot.  A log that the snapshot replaced is dropped.  With CREATE a
   missing log is created; otherwise it is AB_ERR_CORRUPT.  On failure ERROR
   names the file and, where it is known, the offset.  */
int ab_wal_open (const struct ab_wal_options *options, struct ab_wal **wal,
                 struct ab_wal_content *content,
                 char error[AB_CONF_ERROR_BYTES]);
void ab_wal_content_free (struct ab_wal_content *content);
void ab_wal_close (struct ab_wal *wal);

/* Appends entries, whose indexes must follow the last record.  AB_ERR_FULL,
   AB_ERR_INVALID, AB_ERR_TOO_LARGE, AB_ERR_MEMORY, AB_ERR_IO.  */
int ab_wal_append (struct ab_wal *wal, const struct ab_raft_entry *entries,
                   size_t count);
/* Removes the records at FIRST_INDEX and after.  AB_ERR_INVALID,
   AB_ERR_IO.  */
int ab_wal_truncate (struct ab_wal *wal, uint64_t first_index);
int ab_wal_sync (struct ab_wal *wal);

/* Removes the segments whose records are all at or before INDEX, the last
   entry of a snapshot, which has TERM.  Removes nothing when the log has no
   such entry: the snapshot then replaces the log, and the first segment must
   remain until ab_wal_reset, so that a restart detects the replacement.  */
int ab_wal_drop_covered (struct ab_wal *wal, uint64_t index, uint64_t term);

/* Removes all records; the next record is NEXT_INDEX, after an entry of
   PREVIOUS_TERM.  */
int ab_wal_reset (struct ab_wal *wal, uint64_t next_index,
                  uint64_t previous_term);

#endif
