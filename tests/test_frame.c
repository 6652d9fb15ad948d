/* Tests of frames and msgpack values: corrupt, truncated, oversized and
   unknown input must give an error and never a crash.  */

#include <stdlib.h>

#include "error.h"
#include "frame.h"
#include "pack.h"
#include "rng.h"
#include "suite_lib.h"

#define CORRUPT_ROUNDS 20000

static void
make_frame (struct ab_buf *out)
{
  struct ab_frame frame = { .type = AB_FRAME_PING,
                            .sender = AB_CHUNK ("entry-1"),
                            .incarnation = 7,
                            .body = AB_CHUNK ("body") };

  ck_assert_int_eq (ab_frame_encode (&frame, out), 0);
}

START_TEST (frame_round_trip)
{
  struct ab_buf out = AB_BUF_INIT;
  struct ab_frame frame;

  make_frame (&out);
  ck_assert_int_eq (ab_frame_decode (ab_buf_chunk (&out), &frame), 0);
  ck_assert_int_eq (frame.type, AB_FRAME_PING);
  ck_assert (ab_chunk_equal (frame.sender, AB_CHUNK ("entry-1")));
  ck_assert_uint_eq (frame.incarnation, 7);
  ck_assert (ab_chunk_equal (frame.body, AB_CHUNK ("body")));
  ab_buf_free (&out);
}
END_TEST

/* Guards against reading past a truncated frame.  */
START_TEST (frame_truncated)
{
  struct ab_buf out = AB_BUF_INIT;
  struct ab_frame frame;

  make_frame (&out);
  for (size_t len = 0; len < out.len; len++)
    ck_assert_int_lt (ab_frame_decode (ab_chunk (out.data, len), &frame), 0);
  ab_buf_free (&out);
}
END_TEST

/* Guards against crashes when a byte of a frame is overwritten.  */
START_TEST (frame_corrupt)
{
  struct ab_buf out = AB_BUF_INIT;
  struct ab_frame frame;
  struct ab_rng rng;

  ab_rng_init_seeded (&rng, 1);
  for (int i = 0; i < CORRUPT_ROUNDS; i++)
    {
      ab_buf_clear (&out);
      make_frame (&out);
      out.data[ab_rng_below (&rng, out.len)] = (char)ab_rng_next (&rng);
      ab_frame_decode (ab_buf_chunk (&out), &frame);
    }
  ab_buf_free (&out);
}
END_TEST

/* Guards against allocating the length that a short frame declares: an array
   of 2^32 - 1 items made the decoder request 100 GB.  */
START_TEST (frame_huge_count)
{
  struct ab_frame frame;

  ck_assert_int_eq (
      ab_frame_decode (AB_CHUNK ("\xdd\xff\xff\xff\xff\x01"), &frame),
      AB_ERR_CORRUPT);
}
END_TEST

/* Guards against decoding a frame of a later protocol version as one of this
   version.  */
START_TEST (frame_unknown_version)
{
  struct ab_buf out = AB_BUF_INIT;
  struct ab_frame frame;

  make_frame (&out);
  out.data[1] = AB_FRAME_VERSION + 1;
  ck_assert_int_eq (ab_frame_decode (ab_buf_chunk (&out), &frame),
                    AB_ERR_VERSION);
  ab_buf_free (&out);
}
END_TEST

SUITE_MAIN ("frame", 60, frame_round_trip, frame_truncated, frame_corrupt,
            frame_huge_count, frame_unknown_version)
