/* Tests of the request flow with scripted targets and fakes of the other
   tasks.  */

#include "proxy_fakes.h"

static void
prepare (struct ab_http_settings *http)
{
  (void)http;
}

/* Guards against losing end-to-end headers, forwarding hop-by-hop headers, and
   leaking the caller's token to the target.  */
START_TEST (headers_are_forwarded)
{
  const struct ab_buf *received = &fake.targets[0].received;

  script (0,
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Own: 1\r\nX-Hop: 1\r\n"
          "Connection: x-hop\r\nKeep-Alive: 5\r\nAlmond-Verdict: not-run\r\n"
          "\r\nok",
          false);
  expect ("GET /get/1?q=1 HTTP/1.1\r\nHost: a\r\nX-Mine: 1\r\nX-Drop: 1\r\n"
          "Connection: close, X-Drop\r\nTE: trailers\r\nX-Request-Id: r-1\r\n"
          "Almond-Team: forged\r\nAuthorization: Bearer secret\r\n\r\n",
          200,
          WANT ("X-Own: 1\r\n", "Almond-Verdict: ran\r\n",
                "X-Request-Id: r-1\r\n", "\r\n\r\nok"));
  ck_assert_ptr_nonnull (strstr (received->data, "GET /get/1?q=1 HTTP/1.1"));
  ck_assert_ptr_nonnull (strstr (received->data, "X-Mine: 1\r\n"));
  ck_assert_ptr_nonnull (strstr (received->data, "X-Request-Id: r-1\r\n"));
  ck_assert_ptr_nonnull (strstr (received->data, "Almond-Team: t\r\n"));
  ck_assert_ptr_null (strstr (received->data, "X-Drop"));
  ck_assert_ptr_null (strstr (received->data, "TE:"));
  ck_assert_ptr_null (strstr (received->data, "forged"));
  ck_assert_ptr_null (strstr (received->data, "secret"));
  ck_assert_uint_eq (fake.admitted, 1);
  ck_assert_uint_eq (fake.done, 1);
}
END_TEST

/* Guards against request smuggling: requests whose end two readers see at
   different places.  */
START_TEST (conflicting_lengths)
{
  static const char *const raw[]
      = { "POST /get HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
          "Content-Length: 2\r\n\r\nxy",
          "POST /get HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" };

  expect (raw[0], 400, WANT ("\"framing\"", "not-run"));
  /* evhttp rejects this request itself, without a verdict.  */
  expect (raw[1], 400, WANT ("Connection: close\r\n"));
  ck_assert_uint_eq (fake.grant_requests, 0);
}
END_TEST

/* Guards against losing the body of a chunked request, which is forwarded with
   Content-Length.  */
START_TEST (chunked_request)
{
  script (0, OK ("ok", "2"), false);
  expect ("POST /get HTTP/1.1\r\nHost: a\r\n" CLOSE
          "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
          "0\r\n\r\n",
          200, WANT ("\r\n\r\nok"));
  ck_assert_ptr_nonnull (
      strstr (fake.targets[0].received.data, "Content-Length: 5\r\n"));
  ck_assert_ptr_nonnull (
      strstr (fake.targets[0].received.data, "\r\n\r\nabcde"));
}
END_TEST

/* Guards against rejections without a stable code and verdict.  */
START_TEST (rejections)
{
  expect ("GET /none HTTP/1.1\r\n" CLOSE "\r\n", 404, WANT ("\"no-route\""));
  expect ("GET /get/%2e%2E/put HTTP/1.1\r\n" CLOSE "\r\n", 400,
          WANT ("\"path\""));
  expect (GET "Authorization: Bearer wrong\r\n" CLOSE "\r\n", 401,
          WANT ("\"unauthenticated\""));
  expect (GET "Request-Timeout-Ms: 0\r\n" CLOSE "\r\n", 400,
          WANT ("\"timeout\""));
  expect ("POST /put HTTP/1.1\r\n" CLOSE "\r\n", 400,
          WANT ("\"key-required\""));
  expect ("POST /put HTTP/1.1\r\nIdempotency-Key: 1\r\n" CLOSE "\r\n", 400,
          WANT ("\"key-invalid\""));
  fake.limit_reached = true;
  expect (GET "Authorization: Bearer secret\r\n" CLOSE "\r\n", 429,
          WANT ("\"team-limit\"", "Retry-After: 2\r\n"));
  fake.quarantined = true;
  expect (GET CLOSE "\r\n", 403, WANT ("\"quarantined\"", "not-run"));
  ab_bundle_unref (fake.bundle);
  fake.bundle = NULL;
  expect (GET CLOSE "\r\n", 503, WANT ("\"no-bundle\"", "not-run"));
  ck_assert_uint_eq (fake.grant_requests, 0);
}
END_TEST

/* Guards against a reply that claims more than the result of the claim
   proves.  */
START_TEST (claim_results)
{
  static const struct
  {
    enum ab_claim_result result;
    int status;
    const char *code;
    const char *verdict;
  } cases[] = {
    { AB_CLAIM_MAY_HAVE_RUN, 409, "\"earlier-attempt\"", "may-have-run" },
    { AB_CLAIM_MISMATCH, 422, "\"key-mismatch\"", "not-run" },
    { AB_CLAIM_EXPIRED, 410, "\"key-expired\"", "may-have-run" },
    { AB_CLAIM_FUTURE, 400, "\"key-future\"", "not-run" },
    { AB_CLAIM_UNAVAILABLE, 503, "\"ledger-unavailable\"", "not-run" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      fake.claim_result = cases[i].result;
      expect (PUT, cases[i].status, WANT (cases[i].code, cases[i].verdict));
    }
  fake.claim_result = AB_CLAIM_RECORDED;
  fake.recorded
      = (struct ab_recorded_response){ .status = 201,
                                       .headers = AB_CHUNK ("X-Own: 1\r\n"),
                                       .body = AB_CHUNK ("kept") };
  expect (PUT, 201,
          WANT ("Idempotent-Replayed: true\r\n", "X-Own: 1\r\n",
                "Almond-Verdict: ran\r\n", "kept"));
  ck_assert_uint_eq (fake.grant_requests, 0);
  ck_assert_uint_eq (fake.completes + fake.releases, 0);
}
END_TEST

/* Guards against forwarding a truncated response as complete, and against
   running a request again that may have run.  */
START_TEST (keyed_truncated)
{
  fake.target_count = 2;
  script (0, OK ("hal", "10"), true);
  expect (PUT, 502, WANT ("\"target-lost\"", "may-have-run"));
  ck_assert_uint_eq (fake.targets[0].requests, 1);
  ck_assert_uint_eq (fake.targets[1].requests, 0);
  ck_assert_uint_eq (fake.unknowns, 1);
  ck_assert_uint_eq (fake.releases, 0);
  ck_assert_int_eq (fake.outcomes[0], AB_OUTCOME_RESET);
}
END_TEST

/* Guards against taking the end of a connection for the end of a body.  */
START_TEST (unframed_response)
{
  script (0, "HTTP/1.1 200 OK\r\n\r\npart", true);
  expect (PUT, 502, WANT ("\"target-response\"", "may-have-run"));
  ck_assert_uint_eq (fake.unknowns, 1);
}
END_TEST

/* Guards against responses whose framing is ambiguous.  */
START_TEST (conflicting_response)
{
  script (0,
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n"
          "\r\nabc",
          false);
  expect (PUT, 502, WANT ("\"target-response\"", "may-have-run"));
}
END_TEST

/* Guards against keyed requests that are not retried after failures that prove
   that the request did not run: here a refused connection, then a shed
   response.  */
START_TEST (keyed_retry_after_provable_failure)
{
  fake.target_count = 3;
  harness_target_refuse (&fake.targets[0]);
  script (1, "HTTP/1.1 503 No\r\nAlmond-Shed: 1\r\nContent-Length: 0\r\n\r\n",
          false);
  script (2, OK ("ok", "2"), false);
  expect (PUT, 200, WANT ("Almond-Verdict: ran\r\n", "\r\n\r\nok"));
  ck_assert_uint_eq (fake.completes, 1);
  ck_assert_uint_eq (fake.unknowns, 0);
  ck_assert_ptr_nonnull (strstr (fake.completed.data, "ok"));
  ck_assert_int_eq (fake.outcomes[0], AB_OUTCOME_REFUSED);
  ck_assert_int_eq (fake.outcomes[1], AB_OUTCOME_SHED);
  ck_assert_int_eq (fake.outcomes[2], AB_OUTCOME_OK);
}
END_TEST

/* Guards against a use after free when a connection fails at once: evhttp
   then calls back before its request function returns.  */
START_TEST (immediate_failure)
{
  fake.target_count = 2;
  snprintf (fake.targets[0].address, AB_ADDRESS_BYTES, "255.255.255.255:9");
  script (1, OK ("ok", "2"), false);
  expect (PUT, 200, WANT ("\r\n\r\nok"));
  ck_assert_int_eq (fake.outcomes[0], AB_OUTCOME_REFUSED);
}
END_TEST

/* Guards against a claim that is not released when the request did not
   run.  */
START_TEST (keyed_not_run_releases_claim)
{
  harness_target_refuse (&fake.targets[0]);
  expect (PUT, 503, WANT ("\"no-target\"", "not-run"));
  ck_assert_uint_eq (fake.releases, 1);
  ck_assert_uint_eq (fake.completes, 0);
}
END_TEST

/* Guards against giving up on an idempotent request after one lost connection,
   and against sending it to a third target, which it might crash.  */
START_TEST (idempotent_lost_twice)
{
  fake.target_count = 3;
  for (size_t i = 0; i < 3; i++)
    harness_target_script (&fake.targets[i],
                           (struct harness_reply){ .reset = true });
  expect (GET CLOSE "\r\n", 502, WANT ("\"target-lost\"", "may-have-run"));
  ck_assert_uint_eq (fake.targets[0].requests, 1);
  ck_assert_uint_eq (fake.targets[1].requests, 1);
  ck_assert_uint_eq (fake.targets[2].requests, 0);
}
END_TEST

/* Guards against evhttp resending a request by itself when a kept-alive
   connection closes during the request.  */
START_TEST (no_silent_resend)
{
  script (0, OK ("one", "3"), false);
  harness_target_script (&fake.targets[0],
                         (struct harness_reply){ .close = true });
  expect (PUT, 200, WANT ("one"));
  expect (PUT, 502, WANT ("\"target-lost\"", "may-have-run"));
  harness_run_ms (fake.base, 50);
  ck_assert_uint_eq (fake.targets[0].requests, 2);
  ck_assert_uint_eq (fake.unknowns, 1);
}
END_TEST

/* Guards against forwarding a response with more bytes than it announced,
   whose end is therefore uncertain, and against giving the excess to the next
   caller.  */
START_TEST (excess_bytes)
{
  fake.target_count = 2;
  script (0, OK ("first", "5") OK ("stolen", "6"), false);
  script (1, OK ("second", "6"), false);
  expect (GET CLOSE "\r\n", 200, WANT ("second"));
  ck_assert_uint_eq (fake.targets[0].connections, 1);
}
END_TEST

/* Guards against giving the late response of an attempt that timed out to
   another caller.  */
START_TEST (late_response)
{
  harness_target_script (
      &fake.targets[0],
      (struct harness_reply){ .raw = OK ("late", "4"), .delay_ms = 300 });
  script (0, OK ("own", "3"), false);
  expect ("GET /short HTTP/1.1\r\nHost: a\r\n" CLOSE "\r\n", 504,
          WANT ("\"deadline\"", "may-have-run"));
  expect (GET CLOSE "\r\n", 200, WANT ("\r\n\r\nown"));
  harness_run_ms (fake.base, 300);
  ck_assert_int_eq (fake.outcomes[0], AB_OUTCOME_TIMEOUT);
}
END_TEST

static bool
target_has_request (void *ctx)
{
  return ((const struct harness_target *)ctx)->requests > 0;
}

static bool
nothing_in_flight (void *ctx)
{
  (void)ctx;
  return ab_proxy_task_in_flight (fake.daemon.proxy) == 0;
}

static void
disconnect_after_send (const char *raw)
{
  struct harness_caller caller;

  harness_target_script (
      &fake.targets[0],
      (struct harness_reply){ .raw = OK ("result", "6"), .delay_ms = 100 });
  harness_caller_start (&caller, fake.base, fake.settings.listen.callers);
  harness_caller_send (&caller, raw);
  harness_run (fake.base, target_has_request, &fake.targets[0]);
  harness_caller_stop (&caller);
  harness_run (fake.base, nothing_in_flight, NULL);
}

/* Guards against losing the result of a keyed request whose caller has
   disconnected.  */
START_TEST (keyed_caller_disconnects)
{
  disconnect_after_send (PUT);
  ck_assert_uint_eq (fake.completes, 1);
  ck_assert_uint_eq (fake.unknowns, 0);
  ck_assert_ptr_nonnull (strstr (fake.completed.data, "result"));
}
END_TEST

/* Guards against targets working for callers that have disconnected.  */
START_TEST (idempotent_caller_disconnects)
{
  disconnect_after_send (GET "\r\n");
  harness_run_ms (fake.base, 20);
  ck_assert_uint_eq (fake.targets[0].closed, 1);
  ck_assert_int_eq (fake.outcomes[0], AB_OUTCOME_CANCELLED);
}
END_TEST

/* Guards against a request that crashes a third target: content is quarantined
   when the connections to two targets are lost during its requests and both
   targets then refuse connections.  */
START_TEST (crash_is_quarantined)
{
  fake.target_count = 2;
  for (size_t i = 0; i < 2; i++)
    harness_target_script (
        &fake.targets[i],
        (struct harness_reply){ .close = true, .delay_ms = 50 });
  for (size_t i = 0; i < 2; i++)
    {
      struct harness_caller caller;

      harness_caller_start (&caller, fake.base, fake.settings.listen.callers);
      harness_caller_send (&caller, PUT);
      harness_run (fake.base, target_has_request, &fake.targets[i]);
      harness_target_refuse (&fake.targets[i]);
      harness_run_closed (&caller);
      harness_caller_stop (&caller);
    }
  harness_run_ms (fake.base, 200);
  expect (PUT, 403, WANT ("\"quarantined\""));
  ck_assert_uint_gt (fake.blocked.until_wall_ms, 0);
}
END_TEST

/* Guards against a failure of a target that does not run the request, which
   makes the crashes before it count for nothing.  */
START_TEST (failure_does_not_clear_crashes)
{
  static const struct harness_reply lost = { .close = true, .delay_ms = 50 };
  static const struct harness_reply failure
      = { .raw = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n" };
  struct harness_caller caller;

  fake.target_count = 2;
  harness_target_script (&fake.targets[0], lost);
  harness_target_script (&fake.targets[1], failure);
  harness_target_script (&fake.targets[1], lost);
  for (size_t i = 0; i < 3; i++)
    {
      struct harness_target *target = &fake.targets[i > 0];
      harness_caller_start (&caller, fake.base, fake.settings.listen.callers);
      harness_caller_send (&caller, PUT);
      if (i == 1)
        harness_run_ms (fake.base, 100);
      else
        {
          harness_run (fake.base, target_has_request, target);
          harness_run_ms (fake.base, 10);
          harness_target_refuse (target);
          harness_run_closed (&caller);
        }
      harness_caller_stop (&caller);
    }
  harness_run_ms (fake.base, 200);
  ck_assert_uint_eq (fake.targets[1].requests, 2);
  expect (PUT, 403, WANT ("\"quarantined\""));
}
END_TEST

PROXY_SUITE ("request_flow", headers_are_forwarded, conflicting_lengths,
             chunked_request, rejections, claim_results, keyed_truncated,
             unframed_response, conflicting_response,
             keyed_retry_after_provable_failure, immediate_failure,
             keyed_not_run_releases_claim, idempotent_lost_twice,
             no_silent_resend, excess_bytes, late_response,
             keyed_caller_disconnects, idempotent_caller_disconnects,
             crash_is_quarantined, failure_does_not_clear_crashes)
