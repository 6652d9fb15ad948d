/* Fakes of the tasks that the proxy uses, and a proxy on top of them.

   Included once by each test program: the definitions replace the real tasks
   at link time.  */

#ifndef PROXY_FAKES_H
#define PROXY_FAKES_H

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "bundle_task.h"
#include "clock.h"
#include "conn_bounds_task.h"
#include "control_client.h"
#include "dispatch_task.h"
#include "error.h"
#include "limit_task.h"
#include "member_task.h"
#include "proxy_harness_lib.h"
#include "proxy_task.h"

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
  struct harness_target targets[HARNESS_TARGETS];
  size_t target_count;
  struct ab_bundle *bundle;
  unsigned grant_requests; /* Requests for a grant.  */
  enum ab_outcome_kind outcomes[OUTCOMES_MAX];
  size_t outcome_count;
  uint64_t rate_limit; /* Last limit that a response named.  */
  enum ab_claim_result claim_result;
  struct ab_recorded_response recorded; /* Result of a claim.  */
  unsigned completes;
  unsigned unknowns; /* Completions without a response.  */
  unsigned releases;
  struct ab_buf completed; /* Headers and body of the last completion.  */
  bool quarantined;
  unsigned admitted; /* Requests that the limiter admitted.  */
  unsigned done;     /* Requests that were reported to it as finished.  */
  bool limit_reached;
  struct ab_quarantine_view blocked;
} fake;

/* Fakes of the other tasks.  */

struct ab_dispatch_slot_request
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
on_slot_request (evutil_socket_t fd, short what, void *arg)
{
  struct ab_dispatch_slot_request *slot_request = arg;
  struct ab_dispatch_grant grant = { .max_connections = 8 };
  int rc = AB_ERR_NOT_FOUND;

  (void)fd;
  (void)what;
  for (size_t i = 0; i < fake.target_count && rc < 0; i++)
    if (!is_excluded (&slot_request->request, fake.targets[i].address))
      {
        snprintf (grant.target, sizeof grant.target, "%s",
                  fake.targets[i].address);
        rc = 0;
      }
  slot_request->callback (slot_request->ctx, rc, rc == 0 ? &grant : NULL,
                          AB_CHUNK ("test"));
  ab_dispatch_task_cancel (slot_request);
}

struct ab_dispatch_slot_request *
ab_dispatch_task_request_slot (struct ab_dispatch_task *task,
                               const struct ab_dispatch_request *request,
                               ab_dispatch_callback callback, void *ctx)
{
  struct ab_dispatch_slot_request *slot_request
      = calloc (1, sizeof *slot_request);

  (void)task;
  fake.grant_requests++;
  slot_request->request = *request;
  slot_request->callback = callback;
  slot_request->ctx = ctx;
  slot_request->event
      = event_new (fake.base, -1, 0, on_slot_request, slot_request);
  event_active (slot_request->event, EV_TIMEOUT, 0);
  return slot_request;
}

void
ab_dispatch_task_cancel (struct ab_dispatch_slot_request *slot_request)
{
  event_free (slot_request->event);
  free (slot_request);
}

void
ab_dispatch_task_rate_limit (struct ab_dispatch_task *task,
                             const struct ab_dispatch_grant *grant,
                             uint64_t per_1000_s, uint64_t age_ms)
{
  (void)task;
  (void)grant;
  (void)age_ms;
  fake.rate_limit = per_1000_s;
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
ab_limit_task_acquire (struct ab_limit_task *task, const struct ab_team *team,
                       uint64_t *retry_ms)
{
  (void)task;
  (void)team;
  *retry_ms = 1500;
  if (fake.limit_reached)
    return AB_ERR_FULL;
  fake.admitted++;
  return 0;
}

void
ab_limit_task_release (struct ab_limit_task *task, struct ab_chunk team)
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

int
ab_member_task_bind_http (struct ab_member_task *task, struct evhttp *http)
{
  (void)task;
  (void)http;
  return 0;
}

void
ab_member_task_quarantine (struct ab_member_task *task,
                           const struct ab_quarantine_view *item)
{
  (void)task;
  fake.blocked = *item;
  fake.quarantined = !item->target[0];
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
ab_member_task_release_quarantine (struct ab_member_task *task,
                                   const struct ab_digest *content)
{
  (void)task;
  (void)content;
  fake.quarantined = false;
}

void
ab_member_task_visit_targets (const struct ab_member_task *task,
                              ab_target_visitor visit, void *ctx)
{
  (void)task;
  (void)visit;
  (void)ctx;
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
ab_member_task_listen_quarantine (struct ab_member_task *task,
                                  ab_quarantine_listener listener, void *ctx)
{
  (void)task;
  (void)listener;
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

/* Set-up and checks.  */

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

/* Defined by the test program: adapts the settings before the proxy
   starts.  */
static void prepare (struct ab_http_settings *http);

static void
setup (void)
{
  char error[AB_CONF_ERROR_BYTES];

  memset (&fake, 0, sizeof fake);
  /* The daemon ignores it too.  */
  signal (SIGPIPE, SIG_IGN);
  ck_assert_int_eq (ab_crypto_init (), 0);
  ck_assert_int_eq (ab_log_open ("/dev/null", AB_LOG_ERROR, "test"), 0);
  fake.base = event_base_new ();
  make_bundle ();
  fake.settings.http = (struct ab_http_settings){ .body_bytes = 4096,
                                                  .header_bytes = 4096,
                                                  .header_time_ms = 300,
                                                  .idle_time_ms = 60000,
                                                  .connections = 8,
                                                  .unread_bytes = 1048576 };
  prepare (&fake.settings.http);
  strcpy (fake.settings.region, "r");
  harness_free_address (fake.settings.listen.callers);
  fake.daemon.settings = &fake.settings;
  fake.daemon.base = fake.base;
  fake.daemon.counters = ab_counters_new ();
  ck_assert_int_eq (
      ab_conn_bounds_new (&fake.daemon, &fake.daemon.conn_bounds), 0);
  fake.daemon.explain = ab_explain_new ();
  ck_assert_msg (ab_proxy_task_new (&fake.daemon, &fake.daemon.proxy, error)
                     == 0,
                 "%s", error);
  for (size_t i = 0; i < HARNESS_TARGETS; i++)
    harness_target_start (&fake.targets[i], fake.base);
  fake.target_count = 1;
}

static void
teardown (void)
{
  ab_proxy_task_free (fake.daemon.proxy);
  ab_conn_bounds_free (fake.daemon.conn_bounds);
  for (size_t i = 0; i < HARNESS_TARGETS; i++)
    harness_target_stop (&fake.targets[i]);
  ab_counters_free (fake.daemon.counters);
  ab_explain_free (fake.daemon.explain);
  ab_bundle_unref (fake.bundle);
  ab_buf_free (&fake.completed);
  event_base_free (fake.base);
}

static void
script (size_t target, const char *raw, bool close)
{
  harness_target_script (&fake.targets[target],
                         (struct harness_reply){ .raw = raw, .close = close });
}

/* Sends RAW, which must request a close, on a new connection and checks that
   the response has STATUS and contains every text of the null-terminated
   WANT.  */
static void
expect (const char *raw, int status, const char *const *want)
{
  struct harness_caller caller;
  char line[32];

  snprintf (line, sizeof line, "HTTP/1.1 %d ", status);
  harness_caller_start (&caller, fake.base, fake.settings.listen.callers);
  harness_caller_send (&caller, raw);
  harness_run_closed (&caller);
  ck_assert_ptr_nonnull (caller.received.data);
  ck_assert_msg (strncmp (caller.received.data, line, strlen (line)) == 0,
                 "wanted %d for %s, got %s", status, raw,
                 caller.received.data);
  for (; *want; want++)
    ck_assert_msg (strstr (caller.received.data, *want),
                   "no '%s' in %s for %s", *want, caller.received.data, raw);
  harness_caller_stop (&caller);
}

#define WANT(...) ((const char *const[]){ __VA_ARGS__, NULL })

static int
run_suite (const char *name, const TTest *const *tests, size_t count)
{
  Suite *suite = suite_create (name);
  TCase *tcase = tcase_create (name);
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 20);
  for (size_t i = 0; i < count; i++)
    tcase_add_test (tcase, tests[i]);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#define PROXY_SUITE(name, ...)                                                \
  int main (void)                                                             \
  {                                                                           \
    const TTest *const tests[] = { __VA_ARGS__ };                             \
    return run_suite (name, tests, sizeof tests / sizeof tests[0]);           \
  }

#endif
