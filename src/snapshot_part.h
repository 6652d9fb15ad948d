/* Length-prefixed parts of a snapshot: a length of 4 bytes, big-endian, and as
   many bytes of data.  A snapshot is read part by part, so that a large one
   needs no second copy of itself in memory.  No I/O.  */

#ifndef AB_SNAPSHOT_PART_H
#define AB_SNAPSHOT_PART_H

#include "buf.h"

#define AB_SNAPSHOT_PART_BYTES_MAX (64 * 1024 * 1024)

/* Appends PART to OUT.  Sets and returns OUT's error when PART has failed or
   is too large.  */
int ab_snapshot_part_append (struct ab_buf *out, const struct ab_buf *part);

/* Removes the first part from *INPUT and points *PART at it.
   AB_ERR_CORRUPT.  */
int ab_snapshot_part_next (struct ab_chunk *input, struct ab_chunk *part);

#endif
