#include "gateway_flow_task.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <strings.h>
#include <sys/queue.h>
#include <utlist.h>

#include "attempt.h"
#include "clock.h"
#include "error.h"
#include "http_rules.h"
#include "log.h"

#define DEADLINE_MAX_MS (10 * 60 * 1000)
/* Connecting takes a round trip between regions and an accept queue.  */
#define CONNECT_MS 350
/* Sends of one request that did not run, besides those that may have.  */
#define SENDS_MAX 4
/* A kept connection that carries a request which must not repeat was used this
   recently: targets close idle ones, and a request that meets the close may
   have run.  */
#define IDLE_ONCE_MS 2500
#define IDLE_MS 8500
/* A repeated attempt needs this part of the usual time.  */
#define REPEAT_MIN_MS 60
/* Allowed for the way between caller and host, each way.  */
#define WAY_MS 10
#define RETRY_DEFAULT_MS 200
/* A body of this size outweighs headers and messages about the request.  */
#define BULKY_BYTES 1000
#define ID_BYTES 128

struct ab_gateway_flow
{
  struct ab_gateway_flow *prev;
  struct ab_gateway_flow *next;
  struct ab_gateway_env *env;
  struct evhttp_request *req; /* Null when the caller has gone.  */
  struct event *closed;       /* The caller closes its connection.  */
  struct event *guard;        /* The deadline.  */
  struct ab_route_table *table;
  const struct ab_fleet_route *route;
  const struct ab_fleet_service *service;
  char id[ID_BYTES];
  bool close;
  uint64_t begin_us;
  uint64_t begin_ms;
  uint64_t deadline_ms;
  struct ab_sched_ask ask;
  struct ab_schedule_call *call;
  struct ab_schedule_grant grant;
  struct ab_upstream_call *attempt;
  uint64_t sent_us;
  uint64_t ask_us; /* Time spent in asks.  */
  uint64_t body_bytes;
  uint64_t asked_ms; /* That the caller said it would wait; 0: not said.  */
  unsigned sends;    /* Attempts that went to a target.  */
  unsigned ran;      /* Of them, those that may have run.  */
  enum ab_verdict verdict;
  /* The response to an earlier attempt, passed on when no better one comes. */
  int kept_status;
  struct ab_buf kept_headers;
  struct evbuffer *kept_body;
};

static void ask (struct ab_gateway_flow *flow);

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static uint64_t *
counter (const struct ab_gateway_flow *flow, const char *name)
{
  return ab_counter (flow->env->daemon->counters, name);
}

static const char *
header (const struct ab_gateway_flow *flow, const char *name)
{
  return evhttp_find_header (evhttp_request_get_input_headers (flow->req),
                             name);
}

/* The end of a flow.  */

static void
free_flow (struct ab_gateway_flow *flow)
{
  DL_DELETE (flow->env->flows, flow);
  flow->env->flow_count--;
  if (flow->closed)
    event_free (flow->closed);
  if (flow->guard)
    event_free (flow->guard);
  if (flow->kept_body)
    evbuffer_free (flow->kept_body);
  ab_buf_free (&flow->kept_headers);
  ab_route_table_unref (flow->table);
  free (flow);
}

static int64_t
bundle_version (const struct ab_gateway_flow *flow)
{
  return flow->table ? (int64_t)ab_route_table_version (flow->table) : 0;
}

/* A request without a route never had more inputs than these.  */
static void
log_routeless (const struct ab_gateway_flow *flow, int status,
               const char *code)
{
  const char *host = flow->req ? header (flow, "Host") : NULL;

  AB_LOG (AB_LOG_WARN, "request_odd", ab_log_str ("id", flow->id),
          ab_log_int ("status", status), ab_log_str ("code", code),
          ab_log_str ("verdict", ab_verdict_name (flow->verdict)),
          ab_log_str ("authority", host),
          ab_log_str ("uri",
                      flow->req ? evhttp_request_get_uri (flow->req) : NULL),
          ab_log_int ("bundle", bundle_version (flow)),
          ab_log_int ("view_age_ms",
                      (int64_t)ab_fleet_view_age_ms (flow->env->view)));
}

/* One line for each request; those that failed or were repeated have a name,
   and so a bound on their number, of their own.  */
static void
log_end (const struct ab_gateway_flow *flow, int status, const char *code)
{
  uint64_t took_us = ab_clock_monotonic_us () - flow->begin_us;
  bool ordinary = status < 400 && flow->sends <= 1;

  if (!flow->route)
    {
      log_routeless (flow, status, code);
      return;
    }
  AB_LOG (
      ordinary ? AB_LOG_INFO : AB_LOG_WARN,
      ordinary ? "request" : "request_odd", ab_log_str ("id", flow->id),
      ab_log_int ("status", status), ab_log_str ("code", code),
      ab_log_str ("verdict", ab_verdict_name (flow->verdict)),
      ab_log_str ("route", flow->route->name),
      ab_log_str ("service", flow->service->name),
      ab_log_str ("target", flow->grant.target),
      ab_log_str ("trust", flow->grant.target[0]
                               ? ab_target_trust_name (flow->grant.trust)
                               : ""),
      ab_log_str ("scheduler", flow->grant.scheduler),
      ab_log_int ("bytes", (int64_t)flow->body_bytes),
      ab_log_int ("time_ms", (int64_t)(flow->deadline_ms - flow->begin_ms)),
      ab_log_int ("asked_ms", (int64_t)flow->asked_ms),
      ab_log_int ("sends", flow->sends),
      ab_log_int ("ask_us", (int64_t)flow->ask_us),
      ab_log_int ("waited_ms", (int64_t)flow->grant.waited_ms),
      ab_log_int ("took_us", (int64_t)took_us),
      ab_log_int ("bundle", bundle_version (flow)),
      ab_log_int ("view_age_ms",
                  (int64_t)ab_fleet_view_age_ms (flow->env->view)));
}

static void
count_end (const struct ab_gateway_flow *flow, int status)
{
  char name[64];

  snprintf (name, sizeof name, "ab_gateway_responses_total{class=\"%dxx\"}",
            status / 100);
  ++*counter (flow, name);
  ab_histogram_add (ab_counter_histogram (flow->env->daemon->counters,
                                          "ab_gateway_request_us"),
                    ab_clock_monotonic_us () - flow->begin_us);
}

static void
send_reply (struct ab_gateway_flow *flow, int status, const char *code,
            struct evbuffer *body)
{
  struct evhttp_request *req = flow->req;
  struct evhttp_connection *connection = evhttp_request_get_connection (req);

  log_end (flow, status, code);
  count_end (flow, status);
  if (flow->close || flow->env->stopping)
    evhttp_add_header (evhttp_request_get_output_headers (req), "Connection",
                       "close");
  /* The reply may free the request and its connection; the watch ends
     first.  */
  if (flow->closed)
    event_del (flow->closed);
  flow->req = NULL;
  if (connection)
    ab_caller_conns_end (flow->env->conns, connection);
  evhttp_send_reply (req, status, NULL, body);
  free_flow (flow);
}

static void
deliver_kept (struct ab_gateway_flow *flow)
{
  ab_http_add_header_lines (ab_buf_chunk (&flow->kept_headers),
                            evhttp_request_get_output_headers (flow->req));
  send_reply (flow, flow->kept_status, "response", flow->kept_body);
}

/* Ends FLOW with an error of this host.  */
static void
fail (struct ab_gateway_flow *flow, int status, const char *code,
      uint64_t retry_ms)
{
  struct evkeyvalq *headers;
  struct evbuffer *body;
  char text[32];

  if (!flow->req)
    {
      log_end (flow, status, code);
      free_flow (flow);
      return;
    }
  if (flow->kept_body)
    {
      deliver_kept (flow);
      return;
    }
  headers = evhttp_request_get_output_headers (flow->req);
  body = evbuffer_new ();
  if (retry_ms > 0)
    {
      snprintf (text, sizeof text, "%.2f", (double)retry_ms / 1000);
      evhttp_add_header (headers, "Retry-After", text);
    }
  if (flow->id[0])
    evhttp_add_header (headers, flow->env->settings->headers.request_id,
                       flow->id);
  evhttp_add_header (headers, "Content-Type", "application/json");
  if (body)
    evbuffer_add_printf (body, "{\"code\":\"%s\",\"verdict\":\"%s\"}", code,
                         ab_verdict_name (flow->verdict));
  send_reply (flow, status, code, body);
  if (body)
    evbuffer_free (body);
}

/* Ends FLOW after its last attempt.  What has not run for certain may be said
   to have a later chance; anything else promises nothing.  */
static void
fail_unserved (struct ab_gateway_flow *flow, int status, const char *code,
               uint64_t retry_ms)
{
  if (flow->verdict == AB_VERDICT_NOT_RUN)
    fail (flow, 503, code, retry_ms ? retry_ms : RETRY_DEFAULT_MS);
  else
    fail (flow, status == 503 ? 502 : status, code, 0);
}

/* Attempts.  */

static enum ab_target_event
event_of (const struct ab_attempt *attempt)
{
  switch (attempt->end)
    {
    case AB_ATTEMPT_RESPONSE:
      if (attempt->shed)
        return attempt->status == 421 ? AB_TARGET_REPLACED : AB_TARGET_SHED;
      return attempt->status >= 500 ? AB_TARGET_ERROR : AB_TARGET_OK;
    case AB_ATTEMPT_REFUSED:
      return AB_TARGET_REFUSED;
    case AB_ATTEMPT_UNREACHABLE:
      return AB_TARGET_UNREACHABLE;
    case AB_ATTEMPT_LOST:
    case AB_ATTEMPT_MALFORMED:
    case AB_ATTEMPT_TOO_LARGE:
      return AB_TARGET_LOST;
    case AB_ATTEMPT_TIMEOUT:
      return AB_TARGET_TIMEOUT;
    case AB_ATTEMPT_FULL:
    case AB_ATTEMPT_CANCELLED:
      break;
    }
  return AB_TARGET_UNUSED;
}

static uint64_t
time_left (const struct ab_gateway_flow *flow)
{
  uint64_t now = now_ms ();

  return flow->deadline_ms > now ? flow->deadline_ms - now : 0;
}

static bool
may_repeat (const struct ab_gateway_flow *flow,
            const struct ab_attempt *attempt)
{
  bool not_run = ab_attempt_verdict (attempt) == AB_VERDICT_NOT_RUN;

  if (!flow->req || time_left (flow) < REPEAT_MIN_MS
      || flow->sends >= SENDS_MAX
      || flow->ask.tried_count == AB_SCHED_TRIED_MAX
      || attempt->end == AB_ATTEMPT_CANCELLED)
    return false;
  return not_run
         || (flow->route->idempotent && flow->ran < flow->route->attempts
             && attempt->end != AB_ATTEMPT_TIMEOUT);
}

/* Keeps a target's failure, to be passed on when no other target does
   better.  */
static void
keep_response (struct ab_gateway_flow *flow,
               const struct ab_upstream_result *result)
{
  if (flow->kept_body)
    return;
  flow->kept_body = evbuffer_new ();
  if (!flow->kept_body)
    return;
  flow->kept_status = result->attempt.status;
  ab_http_print_response_headers (result->headers, false, &flow->kept_headers);
  evbuffer_add_buffer (flow->kept_body, result->body);
}

static void
deliver (struct ab_gateway_flow *flow, const struct ab_upstream_result *result)
{
  struct ab_buf lines = AB_BUF_INIT;
  bool head = evhttp_request_get_command (flow->req) == EVHTTP_REQ_HEAD;

  ab_http_print_response_headers (result->headers, head, &lines);
  ab_http_add_header_lines (ab_buf_chunk (&lines),
                            evhttp_request_get_output_headers (flow->req));
  ab_buf_free (&lines);
  send_reply (flow, result->attempt.status, "response", result->body);
}

static void
note_tried (struct ab_gateway_flow *flow)
{
  struct ab_sched_ask *ask = &flow->ask;

  if (ask->tried_count < AB_SCHED_TRIED_MAX)
    memcpy (ask->tried[ask->tried_count++], flow->grant.target,
            sizeof ask->tried[0]);
}

static void
note_attempt (struct ab_gateway_flow *flow, const struct ab_attempt *attempt,
              uint64_t latency_us)
{
  enum ab_target_event event = event_of (attempt);

  flow->attempt = NULL;
  flow->verdict
      = ab_verdict_join (flow->verdict, ab_attempt_verdict (attempt));
  flow->ran += ab_attempt_verdict (attempt) != AB_VERDICT_NOT_RUN;
  /* What a target rejects has arrived there, and counts as repeated.  */
  if (attempt->written)
    flow->ask.repeat = true;
  ab_schedule_outcome (flow->env->schedule, &flow->grant, event,
                       latency_us / 1000);
  if (event == AB_TARGET_OK || event == AB_TARGET_UNUSED)
    return;
  ++*counter (flow, "ab_gateway_attempts_failed_total");
  AB_LOG (AB_LOG_INFO, "attempt_failed", ab_log_str ("id", flow->id),
          ab_log_str ("target", flow->grant.target),
          ab_log_str ("address", flow->grant.address),
          ab_log_str ("event", ab_target_event_name (event)),
          ab_log_str ("end", ab_attempt_name (attempt->end)),
          ab_log_int ("status", attempt->status),
          ab_log_int ("written", attempt->written),
          ab_log_str ("trust", ab_target_trust_name (flow->grant.trust)),
          ab_log_int ("latency_us", (int64_t)latency_us));
}

static void
on_result (void *ctx, const struct ab_upstream_result *result)
{
  struct ab_gateway_flow *flow = ctx;
  const struct ab_attempt *attempt = &result->attempt;
  bool response = attempt->end == AB_ATTEMPT_RESPONSE && !attempt->shed;
  struct ab_failure failure;

  note_attempt (flow, attempt, result->latency_us);
  if (response && (attempt->status < 500 || !may_repeat (flow, attempt)))
    {
      deliver (flow, result);
      return;
    }
  if (may_repeat (flow, attempt))
    {
      if (response)
        keep_response (flow, result);
      note_tried (flow);
      ++*counter (flow, "ab_gateway_repeats_total");
      ask (flow);
      return;
    }
  failure = ab_attempt_failure (attempt);
  fail_unserved (flow, failure.status, failure.code, 0);
}

/* Whether the header NAME goes to a target as the caller sent it.  */
static bool
forwarded (const struct ab_gateway_flow *flow, const char *name)
{
  const struct ab_header_names *own = &flow->env->settings->headers;

  return strcasecmp (name, own->deadline) != 0
         && strcasecmp (name, own->incarnation) != 0
         && strcasecmp (name, "Content-Length") != 0
         && strcasecmp (name, "Expect") != 0
         && !ab_http_hop_by_hop (evhttp_request_get_input_headers (flow->req),
                                 name);
}

static int
print_headers (struct ab_gateway_flow *flow, struct ab_buf *lines)
{
  const struct ab_header_names *names = &flow->env->settings->headers;
  const struct evkeyval *item;

  TAILQ_FOREACH (item, evhttp_request_get_input_headers (flow->req), next)
  if (forwarded (flow, item->key))
    ab_buf_printf (lines, "%s: %s\r\n", item->key, item->value);
  ab_buf_printf (lines, "%s: %llu\r\n%s: %s\r\n", names->deadline,
                 (unsigned long long)time_left (flow), names->incarnation,
                 flow->grant.target);
  return lines->error;
}

static struct ab_upstream_call *
start_attempt (struct ab_gateway_flow *flow, struct ab_chunk lines)
{
  const struct ab_header_names *names = &flow->env->settings->headers;
  struct evbuffer *input = evhttp_request_get_input_buffer (flow->req);
  size_t len = evbuffer_get_length (input);
  const struct ab_upstream_request request
      = { .target = flow->grant.address,
          .type = evhttp_request_get_command (flow->req),
          .uri = evhttp_request_get_uri (flow->req),
          .headers = lines,
          .body = ab_chunk (len > 0 ? evbuffer_pullup (input, -1) : NULL, len),
          .deadline_ms = flow->deadline_ms,
          .idle_ms = flow->route->idempotent ? IDLE_MS : IDLE_ONCE_MS,
          .connect_ms = CONNECT_MS,
          .echo_name = names->request_id,
          .echo_value = flow->id,
          .not_run_name = names->not_run,
          .accept_unframed = true };

  return ab_upstream_send (flow->env->upstream, &request, on_result, flow);
}

static void
send_request (struct ab_gateway_flow *flow)
{
  struct ab_buf lines = AB_BUF_INIT;

  flow->sends++;
  if (print_headers (flow, &lines) == 0)
    flow->attempt = start_attempt (flow, ab_buf_chunk (&lines));
  ab_buf_free (&lines);
  if (flow->attempt)
    return;
  ab_schedule_outcome (flow->env->schedule, &flow->grant, AB_TARGET_UNUSED, 0);
  fail_unserved (flow, 503, "memory", RETRY_DEFAULT_MS);
}

static void
on_grant (void *ctx, enum ab_sched_kind kind,
          const struct ab_schedule_grant *grant, uint64_t wait_ms)
{
  struct ab_gateway_flow *flow = ctx;

  flow->call = NULL;
  flow->ask_us += ab_clock_monotonic_us () - flow->sent_us;
  if (kind != AB_SCHED_GRANTED)
    {
      fail_unserved (flow, 503, ab_sched_kind_name (kind), wait_ms);
      return;
    }
  flow->grant = *grant;
  send_request (flow);
}

static void
ask (struct ab_gateway_flow *flow)
{
  uint64_t gone = now_ms () - flow->begin_ms + WAY_MS;

  flow->ask.objective_ms = flow->route->objective_ms > gone + WAY_MS
                               ? flow->route->objective_ms - gone - WAY_MS
                               : 0;
  flow->ask.time_ms = time_left (flow);
  flow->sent_us = ab_clock_monotonic_us ();
  flow->call
      = ab_schedule_ask (flow->env->schedule, &flow->ask, on_grant, flow);
  if (!flow->call)
    fail_unserved (flow, 503, "memory", RETRY_DEFAULT_MS);
}

/* Interruptions.  */

/* Ends what FLOW waits for.  */
static void
stop_waiting (struct ab_gateway_flow *flow)
{
  struct ab_attempt attempt;

  if (flow->call)
    ab_schedule_cancel (flow->call);
  flow->call = NULL;
  if (!flow->attempt)
    return;
  attempt = ab_upstream_cancel (flow->attempt);
  note_attempt (flow, &attempt, 0);
}

static void
on_guard (evutil_socket_t fd, short what, void *arg)
{
  struct ab_gateway_flow *flow = arg;

  (void)fd;
  (void)what;
  /* An attempt ends by itself at the same time.  */
  if (flow->attempt)
    return;
  stop_waiting (flow);
  fail_unserved (flow, 504, "deadline", RETRY_DEFAULT_MS);
}

static void
on_closed (evutil_socket_t fd, short what, void *arg)
{
  struct ab_gateway_flow *flow = arg;
  struct evhttp_connection *connection
      = evhttp_request_get_connection (flow->req);

  (void)fd;
  (void)what;
  ++*counter (flow, "ab_gateway_callers_gone_total");
  flow->req = NULL;
  event_free (flow->closed);
  flow->closed = NULL;
  if (connection)
    evhttp_connection_free (connection);
  stop_waiting (flow);
  fail (flow, 499, "caller-gone", 0);
}

/* The start of a flow.  */

static bool
watch_caller (struct ab_gateway_flow *flow)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (flow->req);
  struct event_base *base = flow->env->daemon->base;
  int fd = bufferevent_getfd (evhttp_connection_get_bufferevent (connection));
  uint64_t left = time_left (flow);
  struct timeval tv = { .tv_sec = (time_t)(left / 1000),
                        .tv_usec = (suseconds_t)(left % 1000 * 1000) };

  flow->guard = evtimer_new (base, on_guard, flow);
  flow->closed = event_new (base, fd, EV_CLOSED, on_closed, flow);
  return flow->guard && flow->closed && event_add (flow->closed, NULL) == 0
         && evtimer_add (flow->guard, &tv) == 0;
}

static int
refuse (struct ab_gateway_flow *flow, int status, const char *code,
        uint64_t retry_ms)
{
  fail (flow, status, code, retry_ms);
  return AB_ERR_INVALID;
}

static int
take_route (struct ab_gateway_flow *flow)
{
  struct evhttp_request *req = flow->req;
  const char *uri = evhttp_request_get_uri (req);
  const char *host = header (flow, "Host");
  struct ab_chunk path = ab_chunk (uri, strcspn (uri, "?#"));
  size_t service;

  flow->table = ab_route_table_ref (ab_fleet_view_table (flow->env->view));
  if (!flow->table)
    return refuse (flow, 503, "no-bundle", RETRY_DEFAULT_MS);
  if (!host)
    return refuse (flow, 400, "no-host", 0);
  flow->route = ab_route_table_find (flow->table, ab_chunk_str (host), path);
  if (!flow->route)
    return refuse (flow, 404, "no-route", 0);
  service = ab_fleet_route_choose (flow->route, ab_rng_next (&flow->env->rng));
  flow->service = ab_route_table_service (flow->table, service);
  return 0;
}

static int
take_deadline (struct ab_gateway_flow *flow)
{
  const char *text = header (flow, flow->env->settings->headers.deadline);
  unsigned long long ms = flow->route->timeout_ms;
  unsigned long long asked;

  if (text)
    {
      if (!ab_chunk_to_u64 (ab_chunk_str (text), &asked)
          || asked > DEADLINE_MAX_MS)
        return refuse (flow, 400, "deadline", 0);
      flow->asked_ms = asked;
      if (asked < ms)
        ms = asked;
    }
  flow->deadline_ms = flow->begin_ms + ms;
  return 0;
}

static int
take_framing (struct ab_gateway_flow *flow)
{
  enum ab_framing framing;
  uint64_t length;

  flow->close = ab_http_list_has (header (flow, "Connection"), "close");
  if (ab_http_framing (evhttp_request_get_input_headers (flow->req), &framing,
                       &length)
      == 0)
    return 0;
  flow->close = true;
  return refuse (flow, 400, "framing", 0);
}

static void
fill_ask (struct ab_gateway_flow *flow)
{
  struct ab_sched_ask *ask = &flow->ask;

  memcpy (ask->service, flow->service->name, sizeof ask->service);
  ask->idempotent = flow->route->idempotent;
  ask->priority = flow->route->priority;
  ask->bulky = flow->body_bytes >= BULKY_BYTES;
}

void
ab_gateway_flow_start (struct ab_gateway_env *env, struct evhttp_request *req)
{
  struct ab_gateway_flow *flow = calloc (1, sizeof *flow);
  const char *id;

  if (!flow)
    {
      evhttp_send_error (req, 503, NULL);
      return;
    }
  flow->env = env;
  flow->req = req;
  flow->verdict = AB_VERDICT_NOT_RUN;
  flow->begin_us = ab_clock_monotonic_us ();
  flow->begin_ms = now_ms ();
  DL_APPEND (env->flows, flow);
  env->flow_count++;
  ab_caller_conns_begin (env->conns, req);
  ++*counter (flow, "ab_gateway_requests_total");
  flow->body_bytes
      = evbuffer_get_length (evhttp_request_get_input_buffer (req));
  id = header (flow, env->settings->headers.request_id);
  if (id)
    ab_chunk_copy (ab_chunk_str (id), flow->id, sizeof flow->id);
  if (take_framing (flow) < 0 || take_route (flow) < 0
      || take_deadline (flow) < 0)
    return;
  fill_ask (flow);
  if (!watch_caller (flow))
    fail (flow, 503, "memory", RETRY_DEFAULT_MS);
  else
    ask (flow);
}

void
ab_gateway_flow_free_all (struct ab_gateway_env *env)
{
  struct ab_gateway_flow *flow;
  struct ab_gateway_flow *next;

  DL_FOREACH_SAFE (env->flows, flow, next)
  {
    stop_waiting (flow);
    free_flow (flow);
  }
}
