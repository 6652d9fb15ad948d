/* What wal.c and wal_scan.c share.  */

#ifndef AB_WAL_INTERNAL_H
#define AB_WAL_INTERNAL_H

#include <limits.h>

#include "wal.h"
#include "wal_record.h"

struct ab_wal_place
{
  uint64_t offset; /* In its segment.  */
  uint64_t term;
};

struct ab_wal
{
  struct ab_files *files;
  char folder[PATH_MAX];
  uint64_t segment_bytes;
  uint64_t *segments; /* First indexes, rising; the last one is open.  */
  size_t segment_count;
  size_t segment_cap;
  int file;
  uint64_t size;          /* Of the open segment.  */
  uint64_t durable_bytes; /* Of the open segment.  */
  bool dirty;
  /* Every record in the files, from FIRST_INDEX on.  */
  struct ab_wal_place *places;
  size_t place_count;
  size_t place_cap;
  uint64_t first_index;
  uint64_t base_term; /* Of the entry before the first.  */
  struct ab_buf scratch;
};

void ab_wal_path (const struct ab_wal *wal, uint64_t first_index,
                  char path[PATH_MAX]);
uint64_t ab_wal_next_index (const struct ab_wal *wal);
uint64_t ab_wal_last_term (const struct ab_wal *wal);
int ab_wal_add_place (struct ab_wal *wal, uint64_t offset, uint64_t term);
int ab_wal_add_segment (struct ab_wal *wal, uint64_t first_index);
int ab_wal_create_segment (struct ab_wal *wal, uint64_t first_index,
                           uint64_t previous_term);
int ab_wal_remove_segment (struct ab_wal *wal, uint64_t first_index);

#endif
