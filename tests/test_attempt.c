/* Tests of the classification of attempts and of the rules for HTTP
   headers.  */

#include <check.h>
#include <stdlib.h>
#include <sys/queue.h>

#include "attempt.h"
#include "error.h"
#include "http_rules.h"
#include "suite_lib.h"

/* Guards against the verdict "not run" after a byte was written, against "may
   have run" where the failure proves that nothing was written, and against
   retries that could run a request twice.  */
START_TEST (verdict_table)
{
  static const struct
  {
    struct ab_attempt attempt;
    enum ab_verdict verdict;
    bool retry_keyed;
    bool retry_idempotent;
    enum ab_outcome_kind outcome;
  } cases[] = {
    { { .end = AB_ATTEMPT_RESPONSE, .written = true, .status = 200 },
      AB_VERDICT_RAN,
      false,
      false,
      AB_OUTCOME_OK },
    { { .end = AB_ATTEMPT_RESPONSE, .written = true, .status = 500 },
      AB_VERDICT_RAN,
      false,
      false,
      AB_OUTCOME_ERROR },
    { { .end = AB_ATTEMPT_RESPONSE,
        .written = true,
        .status = 503,
        .shed = true },
      AB_VERDICT_NOT_RUN,
      true,
      true,
      AB_OUTCOME_SHED },
    { { .end = AB_ATTEMPT_REFUSED },
      AB_VERDICT_NOT_RUN,
      true,
      true,
      AB_OUTCOME_REFUSED },
    { { .end = AB_ATTEMPT_FULL },
      AB_VERDICT_NOT_RUN,
      true,
      true,
      AB_OUTCOME_UNUSED },
    { { .end = AB_ATTEMPT_LOST },
      AB_VERDICT_NOT_RUN,
      true,
      true,
      AB_OUTCOME_RESET },
    { { .end = AB_ATTEMPT_LOST, .written = true },
      AB_VERDICT_MAY_HAVE_RUN,
      false,
      true,
      AB_OUTCOME_RESET },
    { { .end = AB_ATTEMPT_MALFORMED, .written = true },
      AB_VERDICT_MAY_HAVE_RUN,
      false,
      true,
      AB_OUTCOME_ERROR },
    { { .end = AB_ATTEMPT_TOO_LARGE, .written = true },
      AB_VERDICT_MAY_HAVE_RUN,
      false,
      false,
      AB_OUTCOME_ERROR },
    { { .end = AB_ATTEMPT_TIMEOUT },
      AB_VERDICT_NOT_RUN,
      false,
      false,
      AB_OUTCOME_TIMEOUT },
    { { .end = AB_ATTEMPT_TIMEOUT, .written = true },
      AB_VERDICT_MAY_HAVE_RUN,
      false,
      false,
      AB_OUTCOME_TIMEOUT },
    { { .end = AB_ATTEMPT_CANCELLED },
      AB_VERDICT_NOT_RUN,
      false,
      false,
      AB_OUTCOME_CANCELLED },
    { { .end = AB_ATTEMPT_CANCELLED, .written = true },
      AB_VERDICT_MAY_HAVE_RUN,
      false,
      false,
      AB_OUTCOME_CANCELLED },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct ab_attempt *attempt = &cases[i].attempt;

      ck_assert_int_eq (ab_attempt_verdict (attempt), cases[i].verdict);
      ck_assert_int_eq (ab_attempt_may_retry (attempt, false),
                        cases[i].retry_keyed);
      ck_assert_int_eq (ab_attempt_may_retry (attempt, true),
                        cases[i].retry_idempotent);
      ck_assert_int_eq (ab_attempt_outcome (attempt), cases[i].outcome);
    }
}
END_TEST

/* Guards against accepting lengths that are not plain decimal numbers, which
   another HTTP implementation may read as a different length.  */
START_TEST (framing_table)
{
  static const struct
  {
    const char *name;
    const char *value;
    int rc;
  } cases[] = { { "Content-Length", "5", 0 },
                { "Content-Length", "+5", AB_ERR_INVALID },
                { "Content-Length", "5, 5", AB_ERR_INVALID },
                { "Content-Length", "0x5", AB_ERR_INVALID },
                { "Content-Length", "", AB_ERR_INVALID },
                { "content-LENGTH", "-1", AB_ERR_INVALID },
                { "Transfer-Encoding", "chunked", 0 },
                { "Transfer-Encoding", "gzip, chunked", AB_ERR_INVALID },
                { "Transfer-Encoding", "identity", AB_ERR_INVALID } };
  enum ab_framing framing;
  uint64_t length;

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct evkeyvalq headers;

      TAILQ_INIT (&headers);
      evhttp_add_header (&headers, cases[i].name, cases[i].value);
      ck_assert_msg (ab_http_framing (&headers, &framing, &length)
                         == cases[i].rc,
                     "%s: %s", cases[i].name, cases[i].value);
      evhttp_clear_headers (&headers);
    }
}
END_TEST

/* Guards against recorded header lines in the ledger that inject further
   headers when they are replayed.  */
START_TEST (recorded_lines)
{
  struct evkeyvalq headers;

  TAILQ_INIT (&headers);
  ck_assert_int_eq (
      ab_http_add_header_lines (AB_CHUNK ("A: 1\r\nB: x: y\r\n"), &headers),
      0);
  ck_assert_str_eq (evhttp_find_header (&headers, "B"), "x: y");
  ck_assert_int_eq (ab_http_add_header_lines (AB_CHUNK ("A 1\r\n"), &headers),
                    AB_ERR_INVALID);
  ck_assert_int_eq (
      ab_http_add_header_lines (AB_CHUNK ("A: 1\nB: 2\r\n"), &headers),
      AB_ERR_INVALID);
  ck_assert_int_eq (ab_http_add_header_lines (AB_CHUNK ("A: 1"), &headers),
                    AB_ERR_INVALID);
  evhttp_clear_headers (&headers);
}
END_TEST

SUITE_MAIN ("attempt", 10, verdict_table, framing_table, recorded_lines)
