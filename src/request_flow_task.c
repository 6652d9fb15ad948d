#include "request_flow_task.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/queue.h>
#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "explain.h"
#include "http_rules.h"
#include "limit_task.h"
#include "log.h"
#include "member_task.h"
#include "rate_limit.h"

/* Claims and grant requests end by themselves at the deadline.  In case one
   does not, a timer ends the wait this long after the deadline.  */
#define WAIT_MARGIN_MS 100
/* A request that lost two targets is not sent to a third before it is known
   whether it crashed them.  */
#define TARGETS_LOST_MAX 2

static void request_grant (struct ab_flow *flow);

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static uint64_t *
counter (const struct ab_flow *flow, const char *name)
{
  return ab_counter (flow->env->daemon->counters, name);
}

static void
free_flow (struct ab_flow *flow)
{
  struct ab_flow_env *env = flow->env;

  DL_DELETE (env->flows, flow);
  env->flow_count--;
  if (flow->limit_acquired)
    ab_limit_task_release (env->daemon->limit,
                           ab_chunk_str (flow->team->name));
  ab_caller_watch_free (flow->caller_watch);
  if (flow->wait_timer)
    event_free (flow->wait_timer);
  ab_bundle_unref (flow->bundle);
  free (flow->uri);
  free (flow);
}

static struct ab_reply_ctx
reply_ctx (const struct ab_flow *flow)
{
  return (struct ab_reply_ctx){ .conns = flow->env->conns,
                                .req = flow->req,
                                .request_id = flow->id,
                                .close_connection = flow->close_connection
                                                    || flow->env->draining };
}

/* Detaches FLOW from its caller and returns what the reply needs.  Sending the
   reply may free the request and its connection, so the event for the caller's
   disconnection is removed first.  */
static struct ab_reply_ctx
detach_caller (struct ab_flow *flow)
{
  struct ab_reply_ctx ctx = reply_ctx (flow);

  ab_caller_watch_free (flow->caller_watch);
  flow->caller_watch = NULL;
  flow->req = NULL;
  return ctx;
}

/* Releases the claim when VERDICT says that the request did not run; otherwise
   records in the ledger that it may have run.  */
static void
settle_claim (struct ab_flow *flow, enum ab_verdict verdict)
{
  struct ab_control_client *client = flow->env->daemon->control_client;

  if (!flow->claimed)
    return;
  flow->claimed = false;
  if (verdict == AB_VERDICT_NOT_RUN)
    ab_control_client_release (client, &flow->key, flow->fencing_token);
  else
    ab_control_client_complete (client, &flow->key, flow->fencing_token, NULL);
  AB_FLOW_EXPLAIN (flow, "claim_settled",
                   ab_log_str ("as", verdict == AB_VERDICT_NOT_RUN
                                         ? "released"
                                         : "may-have-run"));
}

/* Ends FLOW with an error.  Its verdict combines those of all attempts and the
   one of GIVEN.  */
static void
fail (struct ab_flow *flow, const struct ab_reply_error *given)
{
  struct ab_reply_error error = *given;
  struct ab_reply_ctx ctx;

  error.verdict = ab_verdict_join (flow->verdict, given->verdict);
  settle_claim (flow, error.verdict);
  ab_flow_record_end (flow, error.status, error.code, error.verdict);
  if (flow->req)
    {
      ctx = detach_caller (flow);
      ab_reply_error (&ctx, &error);
    }
  free_flow (flow);
}

static void
fail_with (struct ab_flow *flow, int status, const char *code,
           const char *message)
{
  const struct ab_reply_error error = { .status = status,
                                        .code = code,
                                        .verdict = AB_VERDICT_NOT_RUN,
                                        .message = message };

  fail (flow, &error);
}

/* Records the response in the ledger.  */
static void
complete_claim (struct ab_flow *flow, int status, struct ab_chunk lines,
                struct evbuffer *body)
{
  size_t len = evbuffer_get_length (body);
  struct ab_recorded_response response
      = { .status = status,
          .headers = lines,
          .body
          = ab_chunk (len > 0 ? evbuffer_pullup (body, -1) : NULL, len) };

  flow->claimed = false;
  ab_control_client_complete (flow->env->daemon->control_client, &flow->key,
                              flow->fencing_token, &response);
  AB_FLOW_EXPLAIN (flow, "claim_settled", ab_log_str ("as", "recorded"));
}

/* Forwards a complete response to the caller and ends FLOW.  */
static void
forward_response (struct ab_flow *flow,
                  const struct ab_upstream_result *result)
{
  struct ab_buf lines = AB_BUF_INIT;
  struct ab_reply_ctx ctx;
  int status = result->attempt.status;

  ab_flow_record_response (flow, evbuffer_get_length (result->body));
  ab_http_print_response_headers (result->headers,
                                  flow->method == AB_METHOD_HEAD, &lines);
  if (flow->claimed)
    complete_claim (flow, status, ab_buf_chunk (&lines), result->body);
  ab_flow_record_end (flow, status, flow->req ? "response" : "response-unread",
                      AB_VERDICT_RAN);
  if (flow->req)
    {
      ctx = detach_caller (flow);
      ab_reply_response (&ctx, status, ab_buf_chunk (&lines), result->body);
    }
  ab_buf_free (&lines);
  free_flow (flow);
}

/* Reports the outcome of ATTEMPT to the dispatcher that granted the target. */
static void
report_outcome (const struct ab_flow *flow, const struct ab_attempt *attempt,
                uint64_t latency_us)
{
  const struct ab_outcome outcome
      = { .kind = ab_attempt_outcome (attempt), .latency_us = latency_us };

  ab_dispatch_task_outcome (flow->env->daemon->dispatch, &flow->grant,
                            &outcome);
}

/* Takes one retry from the budget; returns false when it is used up.  FRACTION
   comes from the flow's bundle: a new bundle may change it.  */
static bool
take_retry (struct ab_flow *flow, double fraction)
{
  struct ab_retry_budget *budget = &flow->env->retry_budget;

  budget->fraction = fraction;
  return ab_retry_budget_take (budget, now_ms ());
}

static bool
may_retry (struct ab_flow *flow, const struct ab_attempt *attempt)
{
  const struct ab_retry_rules *rules = ab_bundle_retry (flow->bundle);
  const char *reason = NULL;

  if (!ab_attempt_may_retry (attempt, flow->route->idempotent))
    reason = "the outcome of the attempt is final";
  else if (!flow->req)
    reason = "the caller has disconnected";
  else if (flow->attempts >= rules->attempts
           || flow->request.excluded_count >= AB_EXCLUDED_MAX)
    reason = "all attempts are used";
  else if (flow->targets_lost >= TARGETS_LOST_MAX)
    reason = "two targets were lost";
  else if (now_ms () >= flow->deadline_ms)
    reason = "the deadline has passed";
  else if (ab_member_task_quarantined (flow->env->daemon->member,
                                       &flow->content))
    reason = "the content is quarantined";
  else if (!take_retry (flow, rules->budget))
    reason = "the retry budget is used up";
  if (reason)
    AB_FLOW_EXPLAIN (flow, "not_retried", ab_log_str ("why", reason));
  return !reason;
}

static void
retry (struct ab_flow *flow)
{
  struct ab_dispatch_request *request = &flow->request;

  memcpy (request->excluded[request->excluded_count++], flow->grant.target,
          AB_ADDRESS_BYTES);
  ++*counter (flow, "ab_retries_total");
  AB_FLOW_EXPLAIN (flow, "retry", ab_log_str ("without", flow->grant.target));
  request_grant (flow);
}

static void
end_attempt (struct ab_flow *flow, const struct ab_attempt *attempt,
             uint64_t latency_us)
{
  flow->call = NULL;
  flow->upstream_us += latency_us;
  flow->verdict
      = ab_verdict_join (flow->verdict, ab_attempt_verdict (attempt));
  ab_flow_record_attempt (flow, attempt, latency_us);
  report_outcome (flow, attempt, latency_us);
}

static void
report_rate_limit (const struct ab_flow *flow,
                   const struct ab_upstream_result *result)
{
  uint64_t per_1000_s;
  uint64_t age_ms;

  if (ab_upstream_rate_limit (result, AB_RATE_LIMIT_HEADER, flow->grant.target,
                              &per_1000_s, &age_ms))
    ab_dispatch_task_rate_limit (flow->env->daemon->dispatch, &flow->grant,
                                 per_1000_s, age_ms);
}

static void
on_result (void *ctx, const struct ab_upstream_result *result)
{
  struct ab_flow *flow = ctx;
  const struct ab_attempt *attempt = &result->attempt;
  struct ab_failure failure;

  report_rate_limit (flow, result);
  end_attempt (flow, attempt, result->latency_us);
  if (attempt->end == AB_ATTEMPT_RESPONSE && !attempt->shed)
    {
      forward_response (flow, result);
      return;
    }
  if (may_retry (flow, attempt))
    {
      retry (flow);
      return;
    }
  failure = ab_attempt_failure (attempt);
  fail_with (flow, failure.status, failure.code, failure.message);
}

static int
print_headers (struct ab_flow *flow, struct ab_buf *lines)
{
  struct evkeyvalq headers;
  struct evkeyval *header;
  uint64_t now = now_ms ();
  int rc;

  TAILQ_INIT (&headers);
  rc = ab_http_copy_request_headers (
      evhttp_request_get_input_headers (flow->req), &headers);
  TAILQ_FOREACH (header, &headers, next)
  ab_buf_printf (lines, "%s: %s\r\n", header->key, header->value);
  evhttp_clear_headers (&headers);
  if (flow->team)
    ab_buf_printf (lines, "Almond-Team: %s\r\n", flow->team->name);
  ab_buf_printf (
      lines, "X-Request-Id: %s\r\nRequest-Timeout-Ms: %llu\r\n", flow->id,
      (unsigned long long)(flow->deadline_ms > now ? flow->deadline_ms - now
                                                   : 1));
  return rc < 0 ? rc : lines->error;
}

static struct ab_upstream_call *
start_call (struct ab_flow *flow, struct ab_chunk lines)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (flow->req);
  size_t len = evbuffer_get_length (input);
  const struct ab_upstream_request request
      = { .target = flow->grant.target,
          .type = ab_http_method_to_evhttp (flow->method),
          .uri = flow->uri,
          .headers = lines,
          .body = ab_chunk (len > 0 ? evbuffer_pullup (input, -1) : NULL, len),
          .deadline_ms = flow->deadline_ms,
          .max_connections = flow->grant.max_connections,
          .non_idempotent = !flow->route->idempotent };

  return ab_upstream_send (flow->env->upstream, &request, on_result, flow);
}

/* Sends the request to the granted target.  */
static void
send_request (struct ab_flow *flow)
{
  static const struct ab_attempt unused = { .end = AB_ATTEMPT_FULL };
  struct ab_buf lines = AB_BUF_INIT;

  flow->stage = AB_FLOW_SENDING;
  flow->attempts++;
  flow->incarnation = ab_crash_watch_incarnation (flow->env->crash_watch,
                                                  flow->grant.target);
  if (print_headers (flow, &lines) == 0)
    flow->call = start_call (flow, ab_buf_chunk (&lines));
  ab_buf_free (&lines);
  if (!flow->call)
    {
      report_outcome (flow, &unused, 0);
      fail_with (flow, 503, "memory", "the request could not be sent");
      return;
    }
  AB_FLOW_EXPLAIN (flow, "sent", ab_log_str ("target", flow->grant.target),
                   ab_log_int ("attempt", (int64_t)flow->attempts));
  ab_flow_record_sent (flow);
}

static void
fail_grant (struct ab_flow *flow, int rc, struct ab_chunk reason)
{
  AB_FLOW_EXPLAIN (flow, "no_grant", ab_log_str ("error", ab_strerror (rc)),
                   ab_log_chunk ("reason", reason));
  if (rc == AB_ERR_FULL)
    fail_with (flow, 503, "overloaded",
               "no target can serve the request before its deadline");
  else if (rc == AB_ERR_TIMEOUT)
    fail_with (flow, 504, "deadline",
               "the deadline passed before a target was free");
  else
    fail_with (flow, 503, "no-target", "the service has no target");
}

static void
on_grant (void *ctx, int rc, const struct ab_dispatch_grant *grant,
          struct ab_chunk reason)
{
  struct ab_flow *flow = ctx;
  static const struct ab_attempt unused = { .end = AB_ATTEMPT_FULL };
  uint64_t waited = ab_clock_monotonic_us () - flow->grant_requested_us;

  flow->grant_request = NULL;
  event_del (flow->wait_timer);
  flow->dispatch_us += waited;
  ab_histogram_add (ab_counter_histogram (flow->env->daemon->counters,
                                          "ab_request_dispatch_us"),
                    waited);
  if (rc < 0 || !grant)
    {
      fail_grant (flow, rc, reason);
      return;
    }
  flow->grant = *grant;
  AB_FLOW_EXPLAIN (flow, "granted", ab_log_str ("target", grant->target),
                   ab_log_str ("dispatcher", grant->dispatcher[0]
                                                 ? grant->dispatcher
                                                 : "independent"),
                   ab_log_chunk ("reason", reason),
                   ab_log_int ("waited_us", (int64_t)waited));
  if (now_ms () >= flow->deadline_ms)
    {
      report_outcome (flow, &unused, 0);
      fail_with (flow, 504, "deadline",
                 "the deadline passed before a target was free");
      return;
    }
  send_request (flow);
}

static void
start_wait_timer (struct ab_flow *flow)
{
  uint64_t now = now_ms ();
  uint64_t wait = (flow->deadline_ms > now ? flow->deadline_ms - now : 0)
                  + WAIT_MARGIN_MS;
  struct timeval tv = { .tv_sec = (time_t)(wait / 1000),
                        .tv_usec = (suseconds_t)(wait % 1000 * 1000) };

  event_add (flow->wait_timer, &tv);
}

static void
request_grant (struct ab_flow *flow)
{
  flow->stage = AB_FLOW_AWAITING_GRANT;
  flow->grant_requested_us = ab_clock_monotonic_us ();
  start_wait_timer (flow);
  flow->grant_request = ab_dispatch_task_request_slot (
      flow->env->daemon->dispatch, &flow->request, on_grant, flow);
  if (!flow->grant_request)
    fail_grant (flow, AB_ERR_MEMORY, AB_CHUNK ("out of memory"));
}

/* Replies with the response that the ledger recorded for the key.  */
static void
replay (struct ab_flow *flow, const struct ab_recorded_response *response)
{
  struct ab_reply_ctx ctx;

  ab_flow_record_end (flow, response->status, "replayed", AB_VERDICT_RAN);
  if (flow->req)
    {
      ctx = detach_caller (flow);
      ab_reply_recorded (&ctx, response);
    }
  free_flow (flow);
}

static void
on_claim (void *ctx, enum ab_claim_result result, uint64_t token,
          const struct ab_recorded_response *response, struct ab_chunk holder)
{
  struct ab_flow *flow = ctx;
  struct ab_reply_error error;

  flow->claim = NULL;
  event_del (flow->wait_timer);
  AB_FLOW_EXPLAIN (
      flow, "claim", ab_log_str ("result", ab_flow_claim_result_name (result)),
      ab_log_chunk ("holder", holder), ab_log_int ("token", (int64_t)token));
  if (result == AB_CLAIM_GRANTED)
    {
      flow->claimed = true;
      flow->fencing_token = token;
      request_grant (flow);
    }
  else if (result == AB_CLAIM_RECORDED && response)
    replay (flow, response);
  else
    {
      error = ab_reply_claim_error (result);
      fail (flow, &error);
    }
}

static void
claim (struct ab_flow *flow)
{
  flow->stage = AB_FLOW_CLAIMING;
  start_wait_timer (flow);
  flow->claim = ab_control_client_claim (flow->env->daemon->control_client,
                                         &flow->key, &flow->content,
                                         flow->deadline_ms, on_claim, flow);
  if (!flow->claim)
    fail_with (flow, 503, "ledger-unavailable",
               "the control group could not be asked");
}

/* Cancels the pending claim, grant request or call of FLOW.  Returns true and
   sets ATTEMPT when a call was cancelled.  */
static bool
cancel_pending (struct ab_flow *flow, struct ab_attempt *attempt)
{
  if (flow->claim)
    ab_control_client_cancel (flow->claim);
  if (flow->grant_request)
    ab_dispatch_task_cancel (flow->grant_request);
  flow->claim = NULL;
  flow->grant_request = NULL;
  if (!flow->call)
    return false;
  *attempt = ab_upstream_cancel (flow->call);
  flow->call = NULL;
  return true;
}

static void
on_wait_timeout (evutil_socket_t fd, short what, void *arg)
{
  struct ab_flow *flow = arg;
  struct ab_attempt attempt;
  struct ab_reply_error error = ab_reply_claim_error (AB_CLAIM_UNAVAILABLE);

  (void)fd;
  (void)what;
  cancel_pending (flow, &attempt);
  if (flow->stage == AB_FLOW_CLAIMING)
    fail (flow, &error);
  else
    fail_grant (flow, AB_ERR_TIMEOUT, AB_CHUNK ("no reply in time"));
}

/* Handles the caller's disconnection.  A request on a route that is not
   idempotent continues when a part of it has been sent, and its result is
   recorded for a retry by the caller.  */
static void
on_caller_gone (void *ctx)
{
  struct ab_flow *flow = ctx;
  struct evhttp_connection *connection
      = evhttp_request_get_connection (flow->req);
  struct ab_attempt attempt;
  bool continues = flow->call && !flow->route->idempotent
                   && ab_upstream_written (flow->call);

  AB_FLOW_EXPLAIN (flow, "caller_gone", ab_log_int ("goes_on", continues));
  ++*counter (flow, "ab_callers_gone_total");
  flow->req = NULL;
  ab_caller_watch_free (flow->caller_watch);
  flow->caller_watch = NULL;
  if (connection)
    evhttp_connection_free (connection);
  if (continues)
    return;
  if (cancel_pending (flow, &attempt))
    end_attempt (flow, &attempt, 0);
  fail_with (flow, 499, "cancelled", "the caller went away");
}

/* Creates the events of FLOW and starts to watch for the caller's
   disconnection.  Returns false when memory runs out.  */
static bool
watch_caller (struct ab_flow *flow)
{
  struct event_base *base = flow->env->daemon->base;

  flow->wait_timer = event_new (base, -1, 0, on_wait_timeout, flow);
  flow->caller_watch = ab_caller_watch_new (
      base, evhttp_request_get_connection (flow->req), on_caller_gone, flow);
  return flow->wait_timer && flow->caller_watch;
}

void
ab_flow_start (struct ab_flow_env *env, struct evhttp_request *req)
{
  struct ab_flow *flow = calloc (1, sizeof *flow);
  struct ab_reply_error error;

  if (!flow)
    {
      evhttp_send_error (req, 503, NULL);
      return;
    }
  flow->env = env;
  flow->req = req;
  flow->verdict = AB_VERDICT_NOT_RUN;
  flow->begin_us = ab_clock_monotonic_us ();
  DL_APPEND (env->flows, flow);
  env->flow_count++;
  ab_caller_conns_begin (env->conns, req);
  ab_retry_budget_request (&env->retry_budget, now_ms ());
  if (ab_flow_parse (flow, &error) < 0)
    {
      fail (flow, &error);
      return;
    }
  AB_FLOW_EXPLAIN (
      flow, "received", ab_log_str ("method", ab_method_name (flow->method)),
      ab_log_str ("uri", flow->uri),
      ab_log_str ("service", flow->route->service_name),
      ab_log_str ("class", flow->route->class_name),
      ab_log_str ("team", flow->team ? flow->team->name : "-"),
      ab_log_int ("bytes", (int64_t)flow->request_bytes),
      ab_log_int ("timeout_ms", (int64_t)(flow->deadline_ms - now_ms ())));
  if (!watch_caller (flow))
    fail_with (flow, 503, "memory", "out of memory");
  else if (flow->route->idempotent)
    request_grant (flow);
  else
    claim (flow);
}

void
ab_flow_free_all (struct ab_flow_env *env)
{
  struct ab_flow *flow;
  struct ab_flow *next;
  struct ab_attempt attempt;

  DL_FOREACH_SAFE (env->flows, flow, next)
  {
    cancel_pending (flow, &attempt);
    free_flow (flow);
  }
}
