/* Compression of texts that travel, by zlib.  */

#ifndef AB_COMPRESS_H
#define AB_COMPRESS_H

#include "buf.h"

/* Appends DATA, compressed, to OUT.  AB_ERR_MEMORY, AB_ERR_TOO_LARGE.  */
int ab_compress (struct ab_chunk data, struct ab_buf *out);
/* The same in a part of the time, for what is sent a few times only.  */
int ab_compress_fast (struct ab_chunk data, struct ab_buf *out);

/* Appends what DATA was made from, at most MAX bytes, to OUT.  AB_ERR_CORRUPT,
   AB_ERR_TOO_LARGE, AB_ERR_MEMORY.  */
int ab_decompress (struct ab_chunk data, size_t max, struct ab_buf *out);

#endif
