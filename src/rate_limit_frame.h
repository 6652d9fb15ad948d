/* Body of the message by which hosts pass on what they know of a target's rate
   limit.  No I/O.  */

#ifndef AB_RATE_LIMIT_FRAME_H
#define AB_RATE_LIMIT_FRAME_H

#include "buf.h"
#include "rate_limit.h"

/* Appends the encoded message to OUT.  */
void ab_rate_limit_pack (struct ab_buf *out,
                         const struct ab_rate_limit *limit);
/* Returns 0, AB_ERR_CORRUPT, AB_ERR_TOO_LARGE or AB_ERR_MEMORY.  */
int ab_rate_limit_read (struct ab_chunk body, struct ab_rate_limit *limit);

#endif
