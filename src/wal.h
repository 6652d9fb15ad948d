/* Write-ahead log in segment files wal-INDEX.log, on ab_files.

   Appended records are durable after ab_wal_sync; a truncation is durable
   when it returns.  A segment is synced before the next one is created, so
   that only the last one can have a torn end.  After AB_ERR_FULL the log is
   as before; after any other failure the log must not be used again.  */

#ifndef AB_WAL_H
#define AB_WAL_H

#include "file_ops.h"
#include "raft.h"

/* Usual bound of a segment: over it, the segment is closed before the next
   append.  It bounds what a start reads beyond the snapshot and what a
   snapshot cannot free.  */
#define AB_WAL_SEGMENT_BYTES ((uint64_t)4 * 1024 * 1024)

/* Of a whole segment: one batch may go over the bound above.  */
#define AB_WAL_SEGMENT_BYTES_MAX ((size_t)64 * 1024 * 1024)

struct ab_wal;

/* The entries found; their data points into the buffers.  */
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
  uint64_t segment_bytes;
  bool create;
  uint64_t snapshot_index;
  uint64_t snapshot_term;
};

/* Opens the log in the folder; the entries after the snapshot go to CONTENT.
   A log that the snapshot replaced is dropped.  With CREATE a missing log is
   made; otherwise it is AB_ERR_CORRUPT.  ERROR tells file and offset.  */
int ab_wal_open (const struct ab_wal_options *options, struct ab_wal **wal,
                 struct ab_wal_content *content,
                 char error[AB_CONF_ERROR_BYTES]);
void ab_wal_content_free (struct ab_wal_content *content);
void ab_wal_close (struct ab_wal *wal);

int ab_wal_append (struct ab_wal *wal, const struct ab_raft_entry *entries,
                   size_t count);
int ab_wal_truncate (struct ab_wal *wal, uint64_t first_index);
int ab_wal_sync (struct ab_wal *wal);

/* Removes the segments whose records are all at or before INDEX, where a
   snapshot of TERM ends.  Removes nothing when the log has no such entry: then
   the snapshot replaces the log, and its start must show that until
   ab_wal_reset.  */
int ab_wal_drop_covered (struct ab_wal *wal, uint64_t index, uint64_t term);

/* Drops everything; the next record is NEXT_INDEX, after an entry of
   PREVIOUS_TERM.  */
int ab_wal_reset (struct ab_wal *wal, uint64_t next_index,
                  uint64_t previous_term);

#endif
