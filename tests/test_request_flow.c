/* The flow of requests against scripted targets, with fakes of the other
   tasks.  */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "bundle_task.h"
#include "clock.h"
#include "control_client.h"
#include "dispatch_task.h"
#include "error.h"
#include "limit_task.h"
#include "member_task.h"
#include "proxy_bench_lib.h"
#include "proxy_task.h"
#include "suite_lib.h"

#define KEY "Idempotency-Key: 01890a5d-ac96-774b-bcce-b302099a8057\r\n"
#define CLOSE "Connection: close\r\n"
#define GET "GET /get/1 HTTP/1.1\r\nHost: a\r\n"
#define PUT                                                                   \
  "POST /put HTTP/1.1\r\nHost: a\r\n" KEY "Content-Length: 5\r\n" CLOSE       \
  "\r\nhello"
#define OK(body, length)                                                      \
  "HTTP/1.1 200 OK\r\nContent-Length: " length "\r\n\r\n" body
#define OUTCOMES_MAX 8

static struct
{
  struct event_base *base;
  struct ab_settings settings;
  struct ab_daemon daemon;
  struct bench_target targets[BENCH_TARGETS];
  size_t target_count;
  struct ab_bundle *bundle;
  unsigned asks;
  enum ab_outcome_kind outcomes[OUTCOMES_MAX];
  size_t outcome_count;
  enum ab_claim_result claim_result;
  struct ab_recorded_response recorded; /* Given to a claim.  */
  unsigned completes;
  unsigned unknowns; /* Completions without a response.  */
  unsigned releases;
  struct ab_buf completed; /* Headers and body of the last completion.  */
  bool quarantined;
  unsigned taken; /* Limit.  */
  unsigned done;
  bool limit_reached;
  struct ab_quarantine_view blocked;
} fake;

/* Fakes of the other tasks.  */

struct ab_dispatch_ask
{
  struct event *event;
  struct ab_dispatch_request request;
  ab_dispatch_callback callback;
  void *ctx;
};

static bool
is_excluded (const struct ab_dispatch_request *request, const char *target)
{
  for (size_t i = 0; i < request->excluded_count; i++)
    if (strcmp (request->excluded[i], target) == 0)
      return true;
  return false;
}

static void
on_ask (evutil_socket_t fd, short what, void *arg)
{
  struct ab_dispatch_ask *ask = arg;
  struct ab_dispatch_grant grant = { .max_connections = 8 };
  int rc = AB_ERR_NOT_FOUND;

  (void)fd;
  (void)what;
  for (size_t i = 0; i < fake.target_count && rc < 0; i++)
    if (!is_excluded (&ask->request, fake.targets[i].address))
      {
        snprintf (grant.target, sizeof grant.target, "%s",
                  fake.targets[i].address);
        rc = 0;
      }
  ask->callback (ask->ctx, rc, rc == 0 ? &grant : NULL, AB_CHUNK ("test"));
  ab_dispatch_task_cancel (ask);
}

struct ab_dispatch_ask *
ab_dispatch_task_ask (struct ab_dispatch_task *task,
                      const struct ab_dispatch_request *request,
                      ab_dispatch_callback callback, void *ctx)
{
  struct ab_dispatch_ask *ask = calloc (1, sizeof *ask);

  (void)task;
  fake.asks++;
  ask->request = *request;
  ask->callback = callback;
  ask->ctx = ctx;
  ask->event = event_new (fake.base, -1, 0, on_ask, ask);
  event_active (ask->event, EV_TIMEOUT, 0);
  return ask;
}

void
ab_dispatch_task_cancel (struct ab_dispatch_ask *ask)
{
  event_free (ask->event);
  free (ask);
}

void
ab_dispatch_task_outcome (struct ab_dispatch_task *task,
                          const struct ab_dispatch_grant *grant,
                          const struct ab_outcome *outcome)
{
  (void)task;
  (void)grant;
  if (fake.outcome_count < OUTCOMES_MAX)
    fake.outcomes[fake.outcome_count++] = outcome->kind;
}

struct ab_claim
{
  struct event *event;
  ab_claim_callback callback;
  void *ctx;
};

void
ab_control_client_cancel (struct ab_claim *claim)
{
  event_free (claim->event);
  free (claim);
}

static void
on_claim_time (evutil_socket_t fd, short what, void *arg)
{
  struct ab_claim *claim = arg;

  (void)fd;
  (void)what;
  claim->callback (claim->ctx, fake.claim_result, 7, &fake.recorded,
                   AB_CHUNK ("entry-1"));
  ab_control_client_cancel (claim);
}

struct ab_claim *
ab_control_client_claim (struct ab_control_client *client,
                         const struct ab_ledger_key *key,
                         const struct ab_digest *content, uint64_t deadline_ms,
                         ab_claim_callback callback, void *ctx)
{
  struct ab_claim *claim = calloc (1, sizeof *claim);

  (void)client;
  (void)key;
  (void)content;
  (void)deadline_ms;
  claim->callback = callback;
  claim->ctx = ctx;
  claim->event = event_new (fake.base, -1, 0, on_claim_time, claim);
  event_active (claim->event, EV_TIMEOUT, 0);
  return claim;
}

void
ab_control_client_complete (struct ab_control_client *client,
                            const struct ab_ledger_key *key, uint64_t token,
                            const struct ab_recorded_response *response)
{
  (void)client;
  (void)key;
  ck_assert_uint_eq (token, 7);
  fake.completes++;
  if (!response)
    {
      fake.unknowns++;
      return;
    }
  ab_buf_append_chunk (&fake.completed, response->headers);
  ab_buf_append_chunk (&fake.completed, response->body);
}

void
ab_control_client_release (struct ab_control_client *client,
                           const struct ab_ledger_key *key, uint64_t token)
{
  (void)client;
  (void)key;
  ck_assert_uint_eq (token, 7);
  fake.releases++;
}

int
ab_idempotency_key_parse (struct ab_chunk text, uint8_t *key)
{
  memset (key, 0, AB_IDEMPOTENCY_KEY_BYTES);
  return text.len == 36 && text.data[14] == '7' ? 0 : AB_ERR_INVALID;
}

int
ab_limit_task_take (struct ab_limit_task *task, const struct ab_team *team,
                    uint64_t *retry_ms)
{
  (void)task;
  (void)team;
  *retry_ms = 1500;
  if (fake.limit_reached)
    return AB_ERR_FULL;
  fake.taken++;
  return 0;
}

void
ab_limit_task_done (struct ab_limit_task *task, struct ab_chunk team)
{
  (void)task;
  (void)team;
  fake.done++;
}

struct ab_bundle *
ab_bundle_task_current (const struct ab_bundle_task *task)
{
  (void)task;
  return fake.bundle;
}

bool
ab_member_task_serve_http (struct ab_member_task *task,
                           struct evhttp_request *req)
{
  (void)task;
  (void)req;
  return false;
}

int
ab_member_task_bind_http (struct ab_member_task *task, struct evhttp *http)
{
  (void)task;
  (void)http;
  return 0;
}

bool
ab_member_task_serve_http (struct ab_member_task *task,
                           struct evhttp_request *req)
{
  (void)task;
  (void)req;
  return false;
}

void
ab_member_task_quarantine (struct ab_member_task *task,
                           const struct ab_quarantine_view *item)
{
  (void)task;
  fake.blocked = *item;
  fake.quarantined = true;
}

bool
ab_member_task_quarantined (const struct ab_member_task *task,
                            const struct ab_digest *content)
{
  (void)task;
  (void)content;
  return fake.quarantined;
}

void
ab_member_task_targets (const struct ab_member_task *task,
                        ab_target_visitor visit, void *ctx)
{
  (void)task;
  (void)visit;
  (void)ctx;
}

void
ab_member_task_listen_targets (struct ab_member_task *task,
                               ab_target_listener listener, void *ctx)
{
  (void)task;
  (void)listener;
  (void)ctx;
}

/* The bench.  */

static void
make_bundle (void)
{
  struct ab_digest token = ab_digest_of (AB_CHUNK ("secret"));
  char hex[2 * AB_DIGEST_BYTES + 1];
  char error[AB_CONF_ERROR_BYTES];
  char text[1024];

  ab_hex_encode (token.bytes, sizeof token.bytes, hex);
  snprintf (text, sizeof text,
            "version: 1\nanonymous: true\nservices:\n"
            "  - {name: s, floor: 50%%, credentials: [\"%s\"]}\n"
            "routes:\n"
            "  - {prefix: /get, service: s, idempotent: true, timeout: 2s}\n"
            "  - {prefix: /short, service: s, idempotent: true, timeout: "
            "200ms}\n"
            "  - {prefix: /put, service: s, idempotent: false, timeout: 2s}\n"
            "teams:\n  - {name: t, credential: \"%s\", rate: 10/s}\n"
            "retry: {budget: 10%%, attempts: 3}\nretention: 24h\n",
            hex, hex);
  ck_assert_msg (
      ab_bundle_parse ("test", ab_chunk_str (text), &fake.bundle, error) == 0,
      "%s", error);
}

static void
setup (void)
{
  char error[AB_CONF_ERROR_BYTES];

  memset (&fake, 0, sizeof fake);
  ck_assert_int_eq (ab_crypto_init (), 0);
  ck_assert_int_eq (ab_log_open ("/dev/null", AB_LOG_ERROR, "test"), 0);
  fake.base = event_base_new ();
  make_bundle ();
  fake.settings.http = (struct ab_http_settings){ .body_bytes = 4096,
                                                  .header_bytes = 4096,
                                                  .header_time_ms = 300,
                                                  .idle_time_ms = 60000,
                                                  .connections = 8 };
  strcpy (fake.settings.region, "r");
  bench_free_address (fake.settings.listen.callers);
  fake.daemon.settings = &fake.settings;
  fake.daemon.base = fake.base;
  fake.daemon.counters = ab_counters_new ();
  fake.daemon.explain = ab_explain_new ();
  ck_assert_msg (ab_proxy_task_new (&fake.daemon, &fake.daemon.proxy, error)
                     == 0,
                 "%s", error);
  for (size_t i = 0; i < BENCH_TARGETS; i++)
    bench_target_start (&fake.targets[i], fake.base);
  fake.target_count = 1;
}

static void
teardown (void)
{
  ab_proxy_task_free (fake.daemon.proxy);
  for (size_t i = 0; i < BENCH_TARGETS; i++)
    bench_target_stop (&fake.targets[i]);
  ab_counters_free (fake.daemon.counters);
  ab_explain_free (fake.daemon.explain);
  ab_bundle_unref (fake.bundle);
  ab_buf_free (&fake.completed);
  event_base_free (fake.base);
}

static void
script (size_t target, const char *raw, bool close)
{
  bench_target_script (&fake.targets[target],
                       (struct bench_reply){ .raw = raw, .close = close });
}

/* Sends RAW, which asks to close, on a connection of its own and checks that
   the reply has STATUS and every text of the null-terminated WANT.  */
static void
expect (const char *raw, int status, const char *const *want)
{
  struct bench_caller caller;
  char line[32];

  snprintf (line, sizeof line, "HTTP/1.1 %d ", status);
  bench_caller_start (&caller, fake.base, fake.settings.listen.callers);
  bench_caller_send (&caller, raw);
  bench_run_closed (&caller);
  ck_assert_ptr_nonnull (caller.got.data);
  ck_assert_msg (strncmp (caller.got.data, line, strlen (line)) == 0,
                 "wanted %d for %s, got %s", status, raw, caller.got.data);
  for (; *want; want++)
    ck_assert_msg (strstr (caller.got.data, *want), "no '%s' in %s for %s",
                   *want, caller.got.data, raw);
  bench_caller_stop (&caller);
}

#define WANT(...) ((const char *const[]){ __VA_ARGS__, NULL })

/* Guards against losing headers that are for the other end, passing on those
   that concern one connection, and leaking the caller's token.  */
START_TEST (headers_pass)
{
  const struct ab_buf *seen = &fake.targets[0].seen;

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
  ck_assert_ptr_nonnull (strstr (seen->data, "GET /get/1?q=1 HTTP/1.1"));
  ck_assert_ptr_nonnull (strstr (seen->data, "X-Mine: 1\r\n"));
  ck_assert_ptr_nonnull (strstr (seen->data, "X-Request-Id: r-1\r\n"));
  ck_assert_ptr_nonnull (strstr (seen->data, "Almond-Team: t\r\n"));
  ck_assert_ptr_null (strstr (seen->data, "X-Drop"));
  ck_assert_ptr_null (strstr (seen->data, "TE:"));
  ck_assert_ptr_null (strstr (seen->data, "forged"));
  ck_assert_ptr_null (strstr (seen->data, "secret"));
  ck_assert_uint_eq (fake.taken, 1);
  ck_assert_uint_eq (fake.done, 1);
}
END_TEST

/* Guards against requests whose end two readers see at different places.  */
START_TEST (conflicting_lengths)
{
  static const char *const raw[]
      = { "POST /get HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
          "Content-Length: 2\r\n\r\nxy",
          "POST /get HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" };

  expect (raw[0], 400, WANT ("\"framing\"", "not-run"));
  /* evhttp refuses this one itself, without a verdict.  */
  expect (raw[1], 400, WANT ("Connection: close\r\n"));
  ck_assert_uint_eq (fake.asks, 0);
}
END_TEST

/* Guards against losing a body that comes in chunks: the target gets it with
   its length.  */
START_TEST (chunked_request)
{
  script (0, OK ("ok", "2"), false);
  expect ("POST /get HTTP/1.1\r\nHost: a\r\n" CLOSE
          "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
          "0\r\n\r\n",
          200, WANT ("\r\n\r\nok"));
  ck_assert_ptr_nonnull (
      strstr (fake.targets[0].seen.data, "Content-Length: 5\r\n"));
  ck_assert_ptr_nonnull (strstr (fake.targets[0].seen.data, "\r\n\r\nabcde"));
}
END_TEST

/* Guards against refusals without a stable code and verdict.  */
START_TEST (refusals)
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
  ck_assert_uint_eq (fake.asks, 0);
}
END_TEST

/* Guards against telling a caller more than the ledger's answer proves.  */
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
  ck_assert_uint_eq (fake.asks, 0);
  ck_assert_uint_eq (fake.completes + fake.releases, 0);
}
END_TEST

/* Guards against passing on a truncated response as whole, and against a
   second run of a request that may have run.  */
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

/* Guards against retries of keyed requests other than after provable
   failures: here a refusal, then a shed response.  */
START_TEST (keyed_provable)
{
  fake.target_count = 3;
  bench_target_refuse (&fake.targets[0]);
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

/* Guards against a claim that stays after a "not run".  */
START_TEST (keyed_not_run)
{
  bench_target_refuse (&fake.targets[0]);
  expect (PUT, 503, WANT ("\"no-target\"", "not-run"));
  ck_assert_uint_eq (fake.releases, 1);
  ck_assert_uint_eq (fake.completes, 0);
}
END_TEST

/* Guards against giving up on an idempotent request after one loss, and
   against taking a lost one to a third target, which it might crash.  */
START_TEST (idempotent_losses)
{
  fake.target_count = 3;
  for (size_t i = 0; i < 3; i++)
    bench_target_script (&fake.targets[i],
                         (struct bench_reply){ .reset = true });
  expect (GET CLOSE "\r\n", 502, WANT ("\"target-lost\"", "may-have-run"));
  ck_assert_uint_eq (fake.targets[0].requests, 1);
  ck_assert_uint_eq (fake.targets[1].requests, 1);
  ck_assert_uint_eq (fake.targets[2].requests, 0);
}
END_TEST

/* Guards against evhttp sending a request again by itself when a kept
   connection closes under it.  */
START_TEST (no_silent_resend)
{
  script (0, OK ("one", "3"), false);
  bench_target_script (&fake.targets[0],
                       (struct bench_reply){ .close = true });
  expect (PUT, 200, WANT ("one"));
  expect (PUT, 502, WANT ("\"target-lost\"", "may-have-run"));
  bench_run_ms (fake.base, 50);
  ck_assert_uint_eq (fake.targets[0].requests, 2);
  ck_assert_uint_eq (fake.unknowns, 1);
}
END_TEST

/* Guards against giving bytes beyond one response to the next caller.  */
START_TEST (excess_bytes)
{
  script (0, OK ("first", "5") OK ("stolen", "6"), false);
  script (0, OK ("second", "6"), false);
  expect (GET CLOSE "\r\n", 200, WANT ("first"));
  expect (GET CLOSE "\r\n", 200, WANT ("second"));
  ck_assert_uint_eq (fake.targets[0].connections, 2);
}
END_TEST

/* Guards against giving the late response of an attempt that was given up to
   another caller.  */
START_TEST (late_response)
{
  bench_target_script (
      &fake.targets[0],
      (struct bench_reply){ .raw = OK ("late", "4"), .delay_ms = 300 });
  script (0, OK ("own", "3"), false);
  expect ("GET /short HTTP/1.1\r\nHost: a\r\n" CLOSE "\r\n", 504,
          WANT ("\"deadline\"", "may-have-run"));
  expect (GET CLOSE "\r\n", 200, WANT ("\r\n\r\nown"));
  bench_run_ms (fake.base, 300);
  ck_assert_int_eq (fake.outcomes[0], AB_OUTCOME_TIMEOUT);
}
END_TEST

static bool
target_has_request (void *ctx)
{
  return ((const struct bench_target *)ctx)->requests > 0;
}

static bool
nothing_in_flight (void *ctx)
{
  (void)ctx;
  return ab_proxy_task_in_flight (fake.daemon.proxy) == 0;
}

static void
leave_after_send (const char *raw)
{
  struct bench_caller caller;

  bench_target_script (
      &fake.targets[0],
      (struct bench_reply){ .raw = OK ("result", "6"), .delay_ms = 100 });
  bench_caller_start (&caller, fake.base, fake.settings.listen.callers);
  bench_caller_send (&caller, raw);
  bench_run (fake.base, target_has_request, &fake.targets[0]);
  bench_caller_stop (&caller);
  bench_run (fake.base, nothing_in_flight, NULL);
}

/* Guards against losing the result of a keyed request whose caller left.  */
START_TEST (keyed_caller_leaves)
{
  leave_after_send (PUT);
  ck_assert_uint_eq (fake.completes, 1);
  ck_assert_uint_eq (fake.unknowns, 0);
  ck_assert_ptr_nonnull (strstr (fake.completed.data, "result"));
}
END_TEST

/* Guards against targets working for callers that left.  */
START_TEST (idempotent_caller_leaves)
{
  leave_after_send (GET "\r\n");
  bench_run_ms (fake.base, 20);
  ck_assert_uint_eq (fake.targets[0].closed, 1);
  ck_assert_int_eq (fake.outcomes[0], AB_OUTCOME_CANCELLED);
}
END_TEST

/* Guards against slow senders holding connections, and against silent ones
   keeping others out below the bound.  */
START_TEST (slow_and_idle_callers)
{
  struct bench_caller idle[4];
  struct bench_caller slow;

  script (0, OK ("ok", "2"), false);
  for (size_t i = 0; i < 4; i++)
    bench_caller_start (&idle[i], fake.base, fake.settings.listen.callers);
  bench_caller_start (&slow, fake.base, fake.settings.listen.callers);
  bench_caller_send (&slow, "GET /get HT");
  expect (GET CLOSE "\r\n", 200, WANT ("ok"));
  bench_run_closed (&slow);
  for (size_t i = 0; i < 4; i++)
    {
      ck_assert (!idle[i].closed);
      bench_caller_stop (&idle[i]);
    }
  bench_caller_stop (&slow);
}
END_TEST

/* Guards against a leak in the count of connections, which would stop the
   host from accepting.  */
START_TEST (many_connections)
{
  script (0, OK ("ok", "2"), false);
  for (int i = 0; i < 30; i++)
    expect (GET CLOSE "\r\n", 200, WANT ("ok"));
}
END_TEST

/* Guards against letting a request crash a third target: the contents that
   were lost with two targets that then refuse are blocked.  */
START_TEST (crash_is_quarantined)
{
  fake.target_count = 2;
  for (size_t i = 0; i < 2; i++)
    bench_target_script (
        &fake.targets[i],
        (struct bench_reply){ .close = true, .delay_ms = 50 });
  for (size_t i = 0; i < 2; i++)
    {
      struct bench_caller caller;

      bench_caller_start (&caller, fake.base, fake.settings.listen.callers);
      bench_caller_send (&caller, PUT);
      bench_run (fake.base, target_has_request, &fake.targets[i]);
      bench_target_refuse (&fake.targets[i]);
      bench_run_closed (&caller);
      bench_caller_stop (&caller);
    }
  bench_run_ms (fake.base, 200);
  expect (PUT, 403, WANT ("\"quarantined\""));
  ck_assert_uint_gt (fake.blocked.until_wall_ms, 0);
}
END_TEST

static int
run (void)
{
  Suite *suite = suite_create ("request_flow");
  TCase *tcase = tcase_create ("request_flow");
  SRunner *runner = srunner_create (suite);
  const TTest *const tests[]
      = { headers_pass,          conflicting_lengths,
          chunked_request,       refusals,
          claim_results,         keyed_truncated,
          unframed_response,     conflicting_response,
          keyed_provable,        keyed_not_run,
          idempotent_losses,     no_silent_resend,
          excess_bytes,          late_response,
          keyed_caller_leaves,   idempotent_caller_leaves,
          slow_and_idle_callers, many_connections,
          crash_is_quarantined };
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 20);
  for (size_t i = 0; i < sizeof tests / sizeof tests[0]; i++)
    tcase_add_test (tcase, tests[i]);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

int
main (void)
{
  return run ();
}
