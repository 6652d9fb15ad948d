/* The HTTP interface for targets and callers: two hosts in one process, with
   real sockets on the loopback interface.  */

#include <check.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "bundle_task.h"
#include "keys.h"
#include "member_task.h"
#include "peer_task.h"
#include "suite_lib.h"

#define STEP_MS 10
#define STEPS_MAX 1500
#define TOKEN "secret-token"
#define LEAVE_STEPS_MAX 100

struct test_host
{
  struct ab_settings settings;
  struct ab_daemon daemon;
  struct evhttp *http;
  uint16_t port;
};

struct reply
{
  bool done;
  int status;
  json_t *body;
};

static struct event_base *base;
static struct test_host test_hosts[2];
static struct ab_bundle *bundle;
static char key_file[AB_PATH_BYTES];
static size_t target_change_count;

struct ab_bundle *
ab_bundle_task_current (const struct ab_bundle_task *task)
{
  (void)task;
  return bundle;
}

static void
run_loop (void)
{
  const struct timeval step = { .tv_usec = STEP_MS * 1000 };

  event_base_loopexit (base, &step);
  event_base_dispatch (base);
}

static void
make_bundle (void)
{
  struct ab_digest digest = ab_digest_of (AB_CHUNK (TOKEN));
  struct ab_buf text = AB_BUF_INIT;
  char hex[2 * AB_DIGEST_BYTES + 1];
  char error[AB_CONF_ERROR_BYTES];

  ab_hex_encode (digest.bytes, sizeof digest.bytes, hex);
  ab_buf_printf (&text,
                 "version: 1\nservices:\n"
                 "  - {name: shop, slots: 3, floor: 50%%, credentials: "
                 "[\"%s\"]}\n"
                 "routes:\n  - {prefix: /, service: shop, idempotent: true}\n",
                 hex);
  ck_assert_msg (
      ab_bundle_parse ("bundle", ab_buf_chunk (&text), &bundle, error) == 0,
      "%s", error);
  ab_buf_free (&text);
}

static void
on_target (void *ctx, const struct ab_target_view *target)
{
  (void)ctx;
  (void)target;
  target_change_count++;
}

static void
on_other_path (struct evhttp_request *req, void *ctx)
{
  if (!ab_member_task_serve_http (ctx, req))
    evhttp_send_error (req, HTTP_NOTFOUND, NULL);
}

static void
start_host (struct test_host *test_host, const char *name, const char *domain)
{
  struct ab_settings *settings = &test_host->settings;
  struct evhttp_bound_socket *bound;
  struct sockaddr_in at = { .sin_port = 0 };
  socklen_t len = sizeof at;
  char error[AB_CONF_ERROR_BYTES];

  snprintf (settings->host, sizeof settings->host, "%s", name);
  snprintf (settings->region, sizeof settings->region, "region-1");
  snprintf (settings->failure_domain, sizeof settings->failure_domain, "%s",
            domain);
  snprintf (settings->listen.peers, sizeof settings->listen.peers,
            "127.0.0.1:0");
  ab_chunk_copy_bounded (ab_chunk_str (key_file), settings->keys.fleet_file,
                         AB_PATH_BYTES);
  settings->probe_interval_ms = 100;
  settings->probe_timeout_ms = 30;
  settings->suspicion_ms = 300;
  settings->address_ttl_ms = 10000;
  test_host->daemon.settings = settings;
  test_host->daemon.base = base;
  test_host->daemon.incarnation = 1;
  test_host->daemon.counters = ab_counters_new ();
  test_host->daemon.bundle
      = (struct ab_bundle_task *)test_host; /* Any non-null pointer.  */
  test_host->http = evhttp_new (base);
  bound = evhttp_bind_socket_with_handle (test_host->http, "127.0.0.1", 0);
  ck_assert_ptr_nonnull (bound);
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&at,
               &len);
  test_host->port = ntohs (at.sin_port);
  snprintf (settings->advertise.callers, sizeof settings->advertise.callers,
            "127.0.0.1:%u", test_host->port);
  ck_assert_int_eq (
      ab_peer_task_new (&test_host->daemon, &test_host->daemon.peer, error),
      0);
  ck_assert_int_eq (
      ab_member_task_new (&test_host->daemon, &test_host->daemon.member), 0);
  ab_member_task_bind_http (test_host->daemon.member, test_host->http);
  evhttp_set_gencb (test_host->http, on_other_path, test_host->daemon.member);
  ab_member_task_set_ready (test_host->daemon.member, true);
}

static bool
count_host (void *ctx, const struct ab_host_view *host)
{
  *(size_t *)ctx += host->state == AB_HOST_ALIVE && host->ready;
  return true;
}

static void
start (void)
{
  struct ab_buf text = AB_BUF_INIT;
  char error[AB_CONF_ERROR_BYTES];
  char seed[1][AB_ADDRESS_BYTES];

  ck_assert_int_eq (ab_crypto_init (), 0);
  base = event_base_new ();
  snprintf (key_file, sizeof key_file, "/tmp/ab-test-member-%d.key",
            (int)getpid ());
  unlink (key_file);
  ck_assert_int_eq (ab_key_file_create ("fleet", key_file, &text, error), 0);
  ab_buf_free (&text);
  make_bundle ();
  start_host (&test_hosts[0], "one", "domain-1");
  snprintf (seed[0], sizeof seed[0], "%s",
            ab_peer_task_address (test_hosts[0].daemon.peer));
  test_hosts[1].settings.seeds = seed;
  test_hosts[1].settings.seed_count = 1;
  start_host (&test_hosts[1], "two", "domain-2");
  test_hosts[1].settings.seeds = NULL;
  ab_member_task_listen_targets (test_hosts[1].daemon.member, on_target, NULL);
  for (int i = 0; i < STEPS_MAX; i++)
    {
      size_t known = 0;
      run_loop ();
      for (int s = 0; s < 2; s++)
        ab_member_task_visit_hosts (test_hosts[s].daemon.member, count_host,
                                    &known);
      if (known == 4)
        return;
    }
  ck_abort_msg ("the hosts do not know each other");
}

static void
stop (void)
{
  for (int i = 0; i < 2; i++)
    {
      evhttp_free (test_hosts[i].http);
      ab_member_task_free (test_hosts[i].daemon.member);
      ab_peer_task_free (test_hosts[i].daemon.peer);
      ab_counters_free (test_hosts[i].daemon.counters);
    }
  event_base_free (base);
  ab_bundle_unref (bundle);
  unlink (key_file);
}

static void
on_reply (struct evhttp_request *req, void *ctx)
{
  struct reply *reply = ctx;
  struct evbuffer *input;
  size_t len;

  reply->done = true;
  if (!req)
    return;
  reply->status = evhttp_request_get_response_code (req);
  input = evhttp_request_get_input_buffer (req);
  len = evbuffer_get_length (input);
  reply->body
      = json_loadb ((const char *)evbuffer_pullup (input, -1), len, 0, NULL);
}

static struct reply
send_request (const struct test_host *test_host, enum evhttp_cmd_type method,
              const char *path, const char *token, const char *body)
{
  struct evhttp_connection *connection
      = evhttp_connection_base_new (base, NULL, "127.0.0.1", test_host->port);
  struct reply reply = { .done = false };
  struct evhttp_request *req = evhttp_request_new (on_reply, &reply);
  char value[64];

  snprintf (value, sizeof value, "Bearer %s", token ? token : "");
  evhttp_add_header (evhttp_request_get_output_headers (req), "Host", "x");
  evhttp_add_header (evhttp_request_get_output_headers (req), "Authorization",
                     value);
  if (body)
    evbuffer_add (evhttp_request_get_output_buffer (req), body, strlen (body));
  evhttp_make_request (connection, req, method, path);
  for (int i = 0; i < STEPS_MAX && !reply.done; i++)
    run_loop ();
  ck_assert (reply.done);
  evhttp_connection_free (connection);
  return reply;
}

/* Sends a request.  Expects STATUS and, unless it is null, the error CODE.  */
static void
expect (const struct test_host *test_host, enum evhttp_cmd_type method,
        const char *path, const char *token, const char *body, int status,
        const char *code)
{
  struct reply reply = send_request (test_host, method, path, token, body);

  ck_assert_int_eq (reply.status, status);
  if (code)
    {
      ck_assert_str_eq (
          json_string_value (json_object_get (reply.body, "code")), code);
      ck_assert_ptr_nonnull (json_object_get (reply.body, "message"));
    }
  json_decref (reply.body);
}

static void
announce (const struct test_host *test_host, unsigned incarnation,
          char path[128])
{
  char body[256];
  struct reply reply;

  snprintf (body, sizeof body,
            "{\"service\":\"shop\",\"address\":\"127.0.0.1:9000\","
            "\"failure_domain\":\"domain-1\",\"incarnation\":%u,"
            "\"lease_ms\":3000}",
            incarnation);
  reply
      = send_request (test_host, EVHTTP_REQ_POST, "/v1/targets", TOKEN, body);
  ck_assert_int_eq (reply.status, 201);
  ck_assert_int_eq (
      json_integer_value (json_object_get (reply.body, "renew_ms")), 1000);
  snprintf (path, 128, "/v1/targets/%s",
            json_string_value (json_object_get (reply.body, "id")));
  json_decref (reply.body);
}

static void
expect_put (const struct test_host *test_host, const char *path,
            const char *action, int status, const char *code)
{
  char text[160];

  snprintf (text, sizeof text, "%s/%s", path, action);
  expect (test_host, EVHTTP_REQ_PUT, text, NULL, NULL, status, code);
}

static bool
record_target (void *ctx, const struct ab_target_view *target)
{
  *(struct ab_target_view *)ctx = *target;
  return true;
}

/* Waits until TEST_HOST has the only target in STATE with REGISTRAR.  */
static void
expect_target (const struct test_host *test_host, enum ab_target_state state,
               const char *registrar)
{
  struct ab_target_view view;

  for (int i = 0; i < STEPS_MAX; i++)
    {
      memset (&view, 0, sizeof view);
      view.state = AB_TARGET_REMOVED;
      ab_member_task_visit_targets (test_host->daemon.member, record_target,
                                    &view);
      if (view.state == state && strcmp (view.registrar, registrar) == 0)
        return;
      run_loop ();
    }
  ck_abort_msg ("target is in state %d at '%s'", (int)view.state,
                view.registrar);
}

/* Guards against hosts that do not follow the changes of a target: announced,
   renewed, moved to another registrar, restarted, draining, deregistered.  */
START_TEST (target_life_cycle)
{
  char first[128];
  char second[128];
  char third[128];

  start ();
  announce (&test_hosts[0], 5, first);
  expect_target (&test_hosts[1], AB_TARGET_ACTIVE, "one");
  expect_put (&test_hosts[0], first, "renew", 200, NULL);
  expect_put (&test_hosts[1], first, "renew", 404, "unknown_target");
  announce (&test_hosts[1], 5, second);
  expect_target (&test_hosts[0], AB_TARGET_ACTIVE, "two");
  expect_put (&test_hosts[0], first, "renew", 409, "replaced");
  announce (&test_hosts[0], 6, third);
  expect_target (&test_hosts[1], AB_TARGET_ACTIVE, "one");
  expect_put (&test_hosts[1], second, "renew", 409, "replaced");
  expect_put (&test_hosts[0], third, "drain", 200, NULL);
  expect_target (&test_hosts[1], AB_TARGET_DRAINING, "one");
  expect_put (&test_hosts[0], third, "renew", 200, NULL);
  expect (&test_hosts[0], EVHTTP_REQ_DELETE, third, NULL, NULL, 200, NULL);
  expect_target (&test_hosts[1], AB_TARGET_REMOVED, "");
  ck_assert_uint_ge (target_change_count, 4);
  stop ();
}
END_TEST

/* Guards against targets that are accepted without a valid credential, and
   against error replies that a target cannot act on.  */
START_TEST (bad_announcements_are_refused)
{
  static const struct
  {
    const char *token;
    const char *body;
    int status;
    const char *code;
  } cases[] = {
    { TOKEN, "not json", 400, "bad_request" },
    { TOKEN, "{\"service\":\"shop\"}", 400, "bad_address" },
    { TOKEN,
      "{\"service\":\"shop\",\"address\":\"localhost\",\"incarnation\":1}",
      400, "bad_address" },
    { TOKEN,
      "{\"service\":\"shop\",\"address\":\"10.0.0.1:1\",\"incarnation\":-1}",
      400, "bad_request" },
    { TOKEN,
      "{\"service\":\"x\",\"address\":\"10.0.0.1:1\",\"incarnation\":1}", 404,
      "unknown_service" },
    { "wrong",
      "{\"service\":\"shop\",\"address\":\"10.0.0.1:1\",\"incarnation\":1}",
      401, "bad_credential" },
  };
  char path[128];

  start ();
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    expect (&test_hosts[0], EVHTTP_REQ_POST, "/v1/targets", cases[i].token,
            cases[i].body, cases[i].status, cases[i].code);
  expect (&test_hosts[0], EVHTTP_REQ_GET, "/v1/targets", NULL, NULL, 405,
          "bad_method");
  expect (&test_hosts[0], EVHTTP_REQ_GET, "/v1/targets/x", NULL, NULL, 405,
          "bad_method");
  expect (&test_hosts[0], EVHTTP_REQ_GET, "/v1/addresses", NULL, NULL, 400,
          "bad_request");
  announce (&test_hosts[0], 5, path);
  expect (&test_hosts[0], EVHTTP_REQ_POST, "/v1/targets", TOKEN,
          "{\"service\":\"shop\",\"address\":\"127.0.0.1:9000\","
          "\"incarnation\":4}",
          409, "replaced");
  ab_member_task_leave (test_hosts[0].daemon.member);
  expect (&test_hosts[0], EVHTTP_REQ_POST, "/v1/targets", TOKEN, "{}", 503,
          "leaving");
  expect_put (&test_hosts[0], path, "renew", 404, "unknown_target");
  ab_bundle_unref (bundle);
  bundle = NULL;
  expect (&test_hosts[1], EVHTTP_REQ_POST, "/v1/targets", TOKEN, cases[5].body,
          503, "no_bundle");
  stop ();
}
END_TEST

/* Requests the addresses for domain-1 from host two.  Sets NAME to that of the
   first host, and *COUNT to the number of addresses.  */
static void
first_address (char name[AB_NAME_BYTES], size_t *count)
{
  struct reply reply = send_request (
      &test_hosts[1], EVHTTP_REQ_GET,
      "/v1/addresses?service=shop&failure_domain=domain-1", NULL, NULL);
  const json_t *list = json_object_get (reply.body, "addresses");

  ck_assert_int_eq (reply.status, 200);
  ck_assert_int_eq (
      json_integer_value (json_object_get (reply.body, "ttl_ms")), 10000);
  *count = json_array_size (list);
  snprintf (
      name, AB_NAME_BYTES, "%s",
      json_string_value (json_object_get (json_array_get (list, 0), "host")));
  json_decref (reply.body);
}

/* Guards against callers that are sent to another failure domain while their
   own has a usable host, or to a host that is leaving.  */
START_TEST (addresses_follow_the_view)
{
  char name[AB_NAME_BYTES] = "";
  size_t count = 0;

  start ();
  first_address (name, &count);
  ck_assert_str_eq (name, "one");
  ck_assert_uint_eq (count, 2);
  ab_member_task_leave (test_hosts[0].daemon.member);
  for (int i = 0; i < LEAVE_STEPS_MAX && count != 1; i++)
    first_address (name, &count);
  ck_assert_str_eq (name, "two");
  ck_assert_uint_eq (count, 1);
  /* With no usable host left, unusable ones are named.  */
  ab_member_task_set_ready (test_hosts[1].daemon.member, false);
  first_address (name, &count);
  ck_assert_uint_eq (count, 2);
  stop ();
}
END_TEST

SUITE_MAIN ("member_http", 60, target_life_cycle,
            bad_announcements_are_refused, addresses_follow_the_view)
