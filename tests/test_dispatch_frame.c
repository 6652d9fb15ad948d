/* Frames of the dispatch task: round trips, and corrupt input.  */

#include "dispatch_frame.h"
#include "error.h"
#include "rng.h"
#include "suite_lib.h"

#define CORRUPT_ROUNDS 5000

static void
make_slot_request (struct ab_buf *out)
{
  struct ab_slot_request_frame slot_request
      = { .id = 7,
          .left_ms = 2000,
          .spilled = true,
          .request = { .request_id = "r-1",
                       .service = "workroom",
                       .class_name = "lookup",
                       .priority = 2,
                       .excluded = { "10.0.0.1:80", "10.0.0.2:80" },
                       .excluded_count = 2 } };

  ab_slot_request_encode (&slot_request, out);
  ck_assert_int_eq (out->error, 0);
}

static void
make_evidence (struct ab_buf *out)
{
  struct ab_evidence_frame evidence
      = { .service = "workroom", .out_slots = 2, .idle_slots = 5, .count = 2 };

  evidence.reports[0]
      = (struct ab_peer_evidence){ .target = 9,
                                   .class_name = AB_CHUNK ("lookup"),
                                   .outcomes = 10,
                                   .errors = 1,
                                   .log_latency = 10.5F,
                                   .suspect = true };
  evidence.reports[1] = evidence.reports[0];
  ab_evidence_encode (&evidence, out);
  ck_assert_int_eq (out->error, 0);
}

static void
count_report (void *ctx, const struct ab_peer_evidence *report)
{
  ck_assert_uint_lt (report->class_name.len, AB_NAME_BYTES);
  *(size_t *)ctx += 1;
}

/* Guards against encoding and decoding fields in a different order.  */
START_TEST (slot_request_round_trip)
{
  struct ab_buf out = AB_BUF_INIT;
  struct ab_slot_request_frame slot_request;

  make_slot_request (&out);
  ck_assert_int_eq (
      ab_slot_request_decode (ab_buf_chunk (&out), &slot_request), 0);
  ck_assert_uint_eq (slot_request.id, 7);
  ck_assert_uint_eq (slot_request.left_ms, 2000);
  ck_assert (slot_request.spilled && !slot_request.no_spill);
  ck_assert_str_eq (slot_request.request.service, "workroom");
  ck_assert_uint_eq (slot_request.request.excluded_count, 2);
  ck_assert_str_eq (slot_request.request.excluded[1], "10.0.0.2:80");
  ab_buf_free (&out);
}
END_TEST

/* Guards against accepting an outcome kind that is out of range.  */
START_TEST (outcome_kind_is_checked)
{
  struct ab_outcome_frame outcome
      = { .grant = 3, .service = "s", .outcome = { .latency_us = 5 } };
  struct ab_buf out = AB_BUF_INIT;

  outcome.outcome.kind = (enum ab_outcome_kind) (AB_OUTCOME_UNUSED + 1);
  ab_outcome_encode (&outcome, &out);
  ck_assert_int_eq (ab_outcome_decode (ab_buf_chunk (&out), &outcome),
                    AB_ERR_CORRUPT);
  ab_buf_free (&out);
}
END_TEST

/* Guards against losing reports of evidence between encoder and decoder.  */
START_TEST (evidence_round_trip)
{
  struct ab_buf out = AB_BUF_INIT;
  struct ab_evidence_frame evidence;
  size_t count = 0;

  make_evidence (&out);
  ck_assert_int_eq (ab_evidence_decode (ab_buf_chunk (&out), &evidence,
                                        count_report, &count),
                    0);
  ck_assert_uint_eq (count, 2);
  ck_assert_uint_eq (evidence.idle_slots, 5);
  ab_buf_free (&out);
}
END_TEST

/* Guards against crashes on flipped bytes and on frames of another type.  */
START_TEST (corrupt_frames)
{
  struct ab_evidence_frame evidence;
  struct ab_outcome_frame outcome;
  struct ab_refuse_frame refuse;
  struct ab_grant_frame grant;
  struct ab_buf out = AB_BUF_INIT;
  struct ab_slot_request_frame slot_request;
  struct ab_rng rng;
  size_t count = 0;

  ab_rng_init_seeded (&rng, 1);
  for (int i = 0; i < CORRUPT_ROUNDS; i++)
    {
      ab_buf_clear (&out);
      if (i % 2)
        make_slot_request (&out);
      else
        make_evidence (&out);
      out.data[ab_rng_below (&rng, out.len)] = (char)ab_rng_next (&rng);
      ab_slot_request_decode (ab_buf_chunk (&out), &slot_request);
      ab_grant_decode (ab_buf_chunk (&out), &grant);
      ab_refuse_decode (ab_buf_chunk (&out), &refuse);
      ab_outcome_decode (ab_buf_chunk (&out), &outcome);
      ab_evidence_decode (ab_buf_chunk (&out), &evidence, count_report,
                          &count);
    }
  ab_buf_free (&out);
}
END_TEST

SUITE_MAIN ("dispatch_frame", 10, slot_request_round_trip,
            outcome_kind_is_checked, evidence_round_trip, corrupt_frames)
