/* Parts of a snapshot: a length of 4 bytes, big-endian, and so many bytes.
   A snapshot is read part by part, so that a large one does not need a second
   copy of itself in memory.  */

#ifndef AB_PART_H
#define AB_PART_H

#include "buf.h"

#define AB_PART_BYTES_MAX (64 * 1024 * 1024)

/* Appends PART to OUT; a failed PART makes OUT fail.  */
int ab_part_append (struct ab_buf *out, const struct ab_buf *part);

/* Takes the first part of *INPUT; AB_ERR_CORRUPT.  */
int ab_part_next (struct ab_chunk *input, struct ab_chunk *part);

#endif
