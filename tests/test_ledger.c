/* Ledger of idempotency keys: each test guards one rule that makes a request
   run at most once.  */

#include <check.h>
#include <stdlib.h>

#include "error.h"
#include "ledger.h"

#define NOW_MS 1000000000ULL
#define RETENTION_MS 3600000ULL

static struct ab_ledger *ledger;
static struct ab_ledger_answer answer;
static const struct ab_digest content_1 = { { 1 } };
static const struct ab_digest content_2 = { { 2 } };
static const struct ab_attempt host_a = { "a", 5, 1 };
static const struct ab_attempt host_b = { "b", 7, 1 };

static struct ab_ledger_key
key_at (uint64_t time_ms, uint8_t number)
{
  struct ab_ledger_key key = { .team = "team", .service = "service" };

  for (size_t i = 0; i < 6; i++)
    key.key[i] = (uint8_t)(time_ms >> (8 * (5 - i)));
  key.key[15] = number;
  return key;
}

static enum ab_ledger_status
claim (const struct ab_ledger_key *key, const struct ab_digest *content,
       const struct ab_attempt *attempt, uint64_t token)
{
  ck_assert_int_eq (
      ab_ledger_claim (ledger, key, content, attempt, token, &answer), 0);
  return answer.status;
}

static void
setup (void)
{
  ledger = ab_ledger_new (NULL);
  ab_ledger_advance (ledger, NOW_MS, RETENTION_MS);
}

static void
teardown (void)
{
  ab_ledger_free (ledger);
}

/* Guards against a second run of a request that has a recorded response.  */
START_TEST (recorded_response_is_repeated)
{
  struct ab_ledger_key key = key_at (NOW_MS, 1);

  ck_assert_int_eq (claim (&key, &content_1, &host_a, 10), AB_LEDGER_GRANTED);
  ck_assert_int_eq (claim (&key, &content_1, &host_b, 11),
                    AB_LEDGER_IN_PROGRESS);
  ck_assert_int_eq (
      ab_ledger_complete (ledger, &key, &host_a, 10, AB_CHUNK ("answer")), 0);
  ck_assert_int_eq (claim (&key, &content_1, &host_b, 12), AB_LEDGER_RECORDED);
  ck_assert (ab_chunk_equal (answer.response, AB_CHUNK ("answer")));
  ck_assert_int_eq (claim (&key, &content_2, &host_b, 13), AB_LEDGER_MISMATCH);
  /* A retried completion changes nothing.  */
  ck_assert_int_eq (
      ab_ledger_complete (ledger, &key, &host_a, 10, ab_chunk (NULL, 0)), 0);
  ck_assert_int_eq (claim (&key, &content_1, &host_b, 14), AB_LEDGER_RECORDED);
}
END_TEST

/* Guards against a second token for a claim message that arrives twice.  */
START_TEST (repeated_claim_gets_the_same_grant)
{
  struct ab_ledger_key key = key_at (NOW_MS, 1);

  ck_assert_int_eq (claim (&key, &content_1, &host_a, 10), AB_LEDGER_GRANTED);
  ck_assert_int_eq (claim (&key, &content_1, &host_a, 20), AB_LEDGER_GRANTED);
  ck_assert_uint_eq (answer.token, 10);
  ck_assert (ab_ledger_peek (ledger, &key, &content_1, &host_a, &answer));
  ck_assert_uint_eq (answer.token, 10);
}
END_TEST

/* Guards against a delayed release that arrives after its key was claimed
   again, and against a release by another process.  */
START_TEST (release_needs_token_and_holder)
{
  struct ab_ledger_key key = key_at (NOW_MS, 1);
  struct ab_attempt restarted = { "a", 6, 1 };

  claim (&key, &content_1, &host_a, 10);
  ck_assert_int_eq (ab_ledger_release (ledger, &key, &host_a, 9),
                    AB_ERR_CONFLICT);
  ck_assert_int_eq (ab_ledger_release (ledger, &key, &host_b, 10),
                    AB_ERR_CONFLICT);
  ck_assert_int_eq (ab_ledger_release (ledger, &key, &restarted, 10),
                    AB_ERR_CONFLICT);
  ck_assert_int_eq (ab_ledger_release (ledger, &key, &host_a, 10), 0);
  ck_assert_int_eq (ab_ledger_release (ledger, &key, &host_a, 10), 0);
  ck_assert_int_eq (claim (&key, &content_1, &host_b, 11), AB_LEDGER_GRANTED);
  ck_assert_int_eq (ab_ledger_release (ledger, &key, &host_a, 10),
                    AB_ERR_CONFLICT);
  ck_assert_int_eq (
      ab_ledger_complete (ledger, &key, &host_a, 10, AB_CHUNK ("late")),
      AB_ERR_CONFLICT);
  ck_assert_int_eq (claim (&key, &content_1, &host_a, 12),
                    AB_LEDGER_IN_PROGRESS);
}
END_TEST

/* Guards against a grant to an attempt that was abandoned as "not run" before
   its claim arrived: no process would end this claim.  */
START_TEST (abandoned_attempt_is_not_granted_later)
{
  struct ab_ledger_key key = key_at (NOW_MS, 1);
  struct ab_attempt again = { "a", 5, 2 };

  ck_assert_int_eq (ab_ledger_release (ledger, &key, &host_a, 0), 0);
  ck_assert_int_eq (claim (&key, &content_1, &host_a, 10),
                    AB_LEDGER_ABANDONED);
  ck_assert_int_eq (claim (&key, &content_1, &again, 11), AB_LEDGER_GRANTED);
  /* Abandoning the first attempt again does not affect the second.  */
  ck_assert_int_eq (ab_ledger_release (ledger, &key, &host_a, 0), 0);
  ck_assert_int_eq (claim (&key, &content_1, &host_b, 12),
                    AB_LEDGER_IN_PROGRESS);
  ck_assert_int_eq (ab_ledger_release (ledger, &key, &again, 0), 0);
  ck_assert_int_eq (claim (&key, &content_1, &host_b, 13), AB_LEDGER_GRANTED);
}
END_TEST

/* Guards against waiting for a crashed process that may have sent the request,
   and against running the request again.  */
START_TEST (claim_of_a_restarted_host_may_have_run)
{
  struct ab_ledger_key key = key_at (NOW_MS, 1);
  struct ab_ledger_key other = key_at (NOW_MS, 2);
  struct ab_attempt restarted = { "a", 6, 1 };

  claim (&key, &content_1, &host_a, 10);
  ck_assert_int_eq (claim (&key, &content_1, &restarted, 11),
                    AB_LEDGER_MAY_HAVE_RUN);
  claim (&other, &content_1, &restarted, 12);
  ck_assert_int_eq (claim (&key, &content_1, &host_b, 13),
                    AB_LEDGER_MAY_HAVE_RUN);
}
END_TEST

/* Guards against a second run of a key after its record was dropped, also if
   the retention grows later, and against records that are never dropped.  */
START_TEST (expired_key_never_runs_again)
{
  struct ab_ledger_key key = key_at (NOW_MS, 1);
  struct ab_ledger_key ahead = key_at (NOW_MS + AB_LEDGER_SKEW_MS + 1, 2);

  claim (&key, &content_1, &host_a, 10);
  ck_assert_int_eq (claim (&ahead, &content_1, &host_a, 11), AB_LEDGER_FUTURE);
  ab_ledger_advance (ledger, NOW_MS + RETENTION_MS, RETENTION_MS);
  ck_assert_uint_eq (ab_ledger_count (ledger), 1);
  ab_ledger_advance (ledger, NOW_MS + RETENTION_MS + 1, RETENTION_MS);
  ck_assert_uint_eq (ab_ledger_count (ledger), 0);
  ck_assert_uint_eq (ab_ledger_bytes (ledger), 0);
  ck_assert_int_eq (claim (&key, &content_1, &host_b, 12), AB_LEDGER_EXPIRED);
  ab_ledger_advance (ledger, 0, 10 * RETENTION_MS);
  ck_assert_int_eq (claim (&key, &content_1, &host_b, 13), AB_LEDGER_EXPIRED);
  ck_assert_int_eq (ab_ledger_release (ledger, &key, &host_a, 0), 0);
  ck_assert_uint_eq (ab_ledger_count (ledger), 0);
}
END_TEST

/* Guards against unbounded memory, and against rejecting the completion of a
   request that was claimed before the limit was reached.  */
START_TEST (full_ledger_refuses_claims_only)
{
  struct ab_ledger_limits limits = { .records_max = 2, .bytes_max = 100000 };
  struct ab_ledger_key keys[3]
      = { key_at (NOW_MS, 1), key_at (NOW_MS, 2), key_at (NOW_MS + 9, 3) };

  ab_ledger_free (ledger);
  ledger = ab_ledger_new (&limits);
  ab_ledger_advance (ledger, NOW_MS, RETENTION_MS);
  claim (&keys[0], &content_1, &host_a, 10);
  claim (&keys[1], &content_1, &host_a, 11);
  ck_assert_int_eq (claim (&keys[2], &content_1, &host_a, 12), AB_LEDGER_FULL);
  ck_assert_int_eq (
      ab_ledger_complete (ledger, &keys[0], &host_a, 10, AB_CHUNK ("x")), 0);
  ab_ledger_advance (ledger, NOW_MS + RETENTION_MS + 1, RETENTION_MS);
  ck_assert_int_eq (claim (&keys[2], &content_1, &host_a, 13),
                    AB_LEDGER_GRANTED);
}
END_TEST

/* Guards against accepting UUIDs of versions that carry no Unix time.  */
START_TEST (only_uuid_version_7_is_a_key)
{
  uint8_t key[AB_IDEMPOTENCY_KEY_BYTES];

  ck_assert_int_eq (
      ab_idempotency_key_parse (
          AB_CHUNK ("017F22E2-79B0-7CC3-98C4-DC0C0C07398F"), key),
      0);
  ck_assert_uint_eq (ab_idempotency_key_time_ms (key), 1645557742000ULL);
  ck_assert_int_lt (
      ab_idempotency_key_parse (
          AB_CHUNK ("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"), key),
      0);
  ck_assert_int_lt (
      ab_idempotency_key_parse (
          AB_CHUNK ("017f22e279b0-7cc3-98c4-dc0c0c07398f0"), key),
      0);
}
END_TEST

/* Guards against large responses that exhaust the ledger's memory: the body is
   dropped and the record says so.  */
START_TEST (large_response_is_recorded_without_body)
{
  static char body[AB_RECORDED_BYTES_MAX];
  struct ab_recorded_response response = { .status = 201,
                                           .headers = AB_CHUNK ("A: b\r\n"),
                                           .body = { body, sizeof body } };
  struct ab_buf out = AB_BUF_INIT;

  ck_assert_int_eq (ab_recorded_response_encode (&response, &out), 0);
  ck_assert_int_eq (
      ab_recorded_response_decode (ab_buf_chunk (&out), &response), 0);
  ck_assert_int_eq (response.status, 201);
  ck_assert (response.body_dropped);
  ck_assert_uint_eq (response.body.len, 0);
  ck_assert_uint_eq (response.headers.len, 6);
  ab_buf_free (&out);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("ledger");
  TCase *tcase = tcase_create ("ledger");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, recorded_response_is_repeated);
  tcase_add_test (tcase, repeated_claim_gets_the_same_grant);
  tcase_add_test (tcase, release_needs_token_and_holder);
  tcase_add_test (tcase, abandoned_attempt_is_not_granted_later);
  tcase_add_test (tcase, claim_of_a_restarted_host_may_have_run);
  tcase_add_test (tcase, expired_key_never_runs_again);
  tcase_add_test (tcase, full_ledger_refuses_claims_only);
  tcase_add_test (tcase, only_uuid_version_7_is_a_key);
  tcase_add_test (tcase, large_response_is_recorded_without_body);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
