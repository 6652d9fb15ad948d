/* Declarations shared by wal.c and wal_scan.c.  */

#ifndef AB_WAL_INTERNAL_H
#define AB_WAL_INTERNAL_H

#include <limits.h>

#include "wal.h"
#include "wal_record.h"

/* Position of a record in the log.  */
struct ab_wal_position
{
  uint64_t offset; /* Offset in the segment.  */
  uint64_t term;
};

struct ab_wal
{
  struct ab_files *files;
  char folder[PATH_MAX];
  uint64_t segment_bytes;
  /* First index of each segment, ascending; the last segment is open.  */
  uint64_t *segments;
  size_t segment_count;
  size_t segment_cap;
  /* Handle of the open segment; -1 when there is none.  */
  int file;
  uint64_t size;          /* Bytes in the open segment.  */
  uint64_t durable_bytes; /* Synced bytes of the open segment.  */
  /* Records were written since the last sync.  */
  bool dirty;
  /* All records in the files, from FIRST_INDEX on.  */
  struct ab_wal_position *positions;
  size_t position_count;
  size_t position_cap;
  uint64_t first_index;
  uint64_t base_term; /* Term of the entry before the first.  */
  /* Encoded records of the current batch.  */
  struct ab_buf scratch;
};

/* Sets PATH to the segment that begins with FIRST_INDEX.  */
void ab_wal_path (const struct ab_wal *wal, uint64_t first_index,
                  char path[PATH_MAX]);
/* Returns the index that the next record gets.  */
uint64_t ab_wal_next_index (const struct ab_wal *wal);
/* Returns the term of the last record, or of the entry before the first.  */
uint64_t ab_wal_last_term (const struct ab_wal *wal);
/* Adds the position of the next record.  AB_ERR_MEMORY.  */
int ab_wal_add_position (struct ab_wal *wal, uint64_t offset, uint64_t term);
/* Adds a segment to the list of segments; no I/O.  AB_ERR_MEMORY.  */
int ab_wal_add_segment (struct ab_wal *wal, uint64_t first_index);
/* Creates a segment file and makes it the open one.  On AB_ERR_FULL the file
   is removed again.  */
int ab_wal_create_segment (struct ab_wal *wal, uint64_t first_index,
                           uint64_t previous_term);
/* Removes a segment file; the list of segments is unchanged.  AB_ERR_IO.  */
int ab_wal_remove_segment (struct ab_wal *wal, uint64_t first_index);

#endif
