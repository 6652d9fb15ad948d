/* Compression of data sent over the network.  */

#include "compress.h"

#include <string.h>

#include "error.h"
#include "suite_lib.h"

#define LARGE_BYTES 300000

/* Guards against data that differs after a round trip; includes empty
   data.  */
START_TEST (round_trip)
{
  static char large[LARGE_BYTES];
  struct ab_buf packed = AB_BUF_INIT;
  struct ab_buf text = AB_BUF_INIT;
  size_t lengths[] = { 0, 1, 5000, LARGE_BYTES };

  for (size_t i = 0; i < LARGE_BYTES; i++)
    large[i] = (char)(i * i % 251);
  for (size_t i = 0; i < sizeof lengths / sizeof lengths[0]; i++)
    {
      ab_buf_clear (&packed);
      ab_buf_clear (&text);
      ck_assert_int_eq (ab_compress (ab_chunk (large, lengths[i]), &packed),
                        0);
      ck_assert_int_eq (
          ab_decompress (ab_buf_chunk (&packed), LARGE_BYTES, &text), 0);
      ck_assert (
          ab_chunk_equal (ab_buf_chunk (&text), ab_chunk (large, lengths[i])));
    }
  ab_buf_free (&packed);
  ab_buf_free (&text);
}
END_TEST

/* Guards against a small message that decompresses beyond the limit, and
   against truncated data and trailing bytes.  */
START_TEST (refuses_too_large_and_damaged)
{
  static char zeros[LARGE_BYTES];
  struct ab_buf packed = AB_BUF_INIT;
  struct ab_buf text = AB_BUF_INIT;

  ck_assert_int_eq (ab_compress (ab_chunk (zeros, LARGE_BYTES), &packed), 0);
  ck_assert_int_eq (
      ab_decompress (ab_buf_chunk (&packed), LARGE_BYTES - 1, &text),
      AB_ERR_TOO_LARGE);
  for (size_t len = 0; len < packed.len; len += 7)
    ck_assert_int_lt (
        ab_decompress (ab_chunk (packed.data, len), LARGE_BYTES, &text), 0);
  ab_buf_append_str (&packed, "more");
  ck_assert_int_eq (ab_decompress (ab_buf_chunk (&packed), LARGE_BYTES, &text),
                    AB_ERR_CORRUPT);
  ab_buf_free (&packed);
  ab_buf_free (&text);
}
END_TEST

SUITE_MAIN ("compress", 10, round_trip, refuses_too_large_and_damaged)
