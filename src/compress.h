/* Compression of data sent over the network, in the zlib format.  */

#ifndef AB_COMPRESS_H
#define AB_COMPRESS_H

#include "buf.h"

/* Appends DATA, compressed as far as possible, to OUT.  Returns 0,
   AB_ERR_MEMORY or AB_ERR_TOO_LARGE.  */
int ab_compress (struct ab_chunk data, struct ab_buf *out);

/* Like ab_compress, but faster and with a larger result: for data that is sent
   a few times only.  */
int ab_compress_fast (struct ab_chunk data, struct ab_buf *out);

/* Decompresses DATA and appends the result to OUT.  Returns 0, AB_ERR_CORRUPT,
   AB_ERR_TOO_LARGE if the result has more than MAX bytes, or AB_ERR_MEMORY.
   After an error OUT may hold a part of the result.  */
int ab_decompress (struct ab_chunk data, size_t max, struct ab_buf *out);

#endif
