#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>

#include "clock.h"
#include "gateway_flow_internal.h"
#include "http_rules.h"
#include "log.h"

#define HTTP_REQUEST_TIMEOUT 408
#define HTTP_MISDIRECTED 421
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_BADGATEWAY 502

static int64_t
bundle_version (const struct ab_gateway_flow *flow)
{
  return flow->table ? (int64_t)ab_route_table_version (flow->table) : 0;
}

/* Logs the end of a request without a route, with all values that the choice
   of a route depends on.  */
static void
log_unrouted (const struct ab_gateway_flow *flow, int status, const char *code)
{
  const char *host = flow->req ? ab_gateway_flow_header (flow, "Host") : NULL;

  AB_LOG (AB_LOG_WARN, "request_odd",
          ab_log_chunk ("id", ab_buf_chunk (&flow->id)),
          ab_log_int ("status", status), ab_log_str ("code", code),
          ab_log_str ("verdict", ab_verdict_name (flow->verdict)),
          ab_log_str ("authority", host),
          ab_log_str ("uri",
                      flow->req ? evhttp_request_get_uri (flow->req) : NULL),
          ab_log_int ("bundle", bundle_version (flow)),
          ab_log_int ("view_age_ms",
                      (int64_t)ab_fleet_view_age_ms (flow->env->view)));
}

/* Logs one line for each request.  Failed and retried requests have an event
   name of their own, and with it a rate limit of their own.  */
static void
log_end (const struct ab_gateway_flow *flow, int status, const char *code)
{
  uint64_t duration_us = ab_clock_monotonic_us () - flow->begin_us;
  bool ordinary = status < 400 && flow->sends <= 1;

  if (!flow->route)
    {
      log_unrouted (flow, status, code);
      return;
    }
  AB_LOG (
      ordinary ? AB_LOG_INFO : AB_LOG_WARN,
      ordinary ? "request" : "request_odd",
      ab_log_chunk ("id", ab_buf_chunk (&flow->id)),
      ab_log_int ("status", status), ab_log_str ("code", code),
      ab_log_str ("verdict", ab_verdict_name (flow->verdict)),
      ab_log_chunk ("route", flow->route->name),
      ab_log_str ("service", flow->service->name),
      ab_log_str ("team", flow->team ? flow->team->name : ""),
      ab_log_str ("target", flow->grant.target),
      ab_log_str ("trust",
                  flow->grant.target[0]
                      ? ab_target_health_state_name (flow->grant.health_state)
                      : ""),
      ab_log_str ("scheduler", flow->grant.scheduler),
      ab_log_int ("bytes", (int64_t)flow->body_bytes),
      ab_log_int ("time_ms", (int64_t)(flow->deadline_ms - flow->begin_ms)),
      ab_log_int ("asked_ms", (int64_t)flow->caller_timeout_ms),
      ab_log_int ("sends", flow->sends),
      ab_log_int ("ask_us", (int64_t)flow->slot_wait_us),
      ab_log_int ("waited_ms", (int64_t)flow->grant.waited_ms),
      ab_log_int ("took_us", (int64_t)duration_us),
      ab_log_int ("bundle", bundle_version (flow)),
      ab_log_int ("view_age_ms",
                  (int64_t)ab_fleet_view_age_ms (flow->env->view)),
      ab_log_int ("confirmed_age_ms",
                  (int64_t)ab_fleet_view_confirmed_age_ms (flow->env->view)));
}

static void
count_end (const struct ab_gateway_flow *flow, int status)
{
  char name[64];

  snprintf (name, sizeof name, "ab_gateway_responses_total{class=\"%dxx\"}",
            status / 100);
  ++*ab_gateway_flow_counter (flow, name);
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
  /* Sending the reply may free the request and its connection.  */
  ab_caller_watch_free (flow->caller_watch);
  flow->caller_watch = NULL;
  flow->req = NULL;
  if (connection)
    ab_caller_conns_end (flow->env->conns, connection);
  evhttp_send_reply (req, status, NULL, body);
  ab_gateway_flow_free (flow);
}

static void
deliver_kept (struct ab_gateway_flow *flow)
{
  ab_http_add_header_lines (ab_buf_chunk (&flow->kept_headers),
                            evhttp_request_get_output_headers (flow->req));
  send_reply (flow, flow->kept_status, "response", flow->kept_body);
}

void
ab_gateway_reply_error (struct ab_gateway_flow *flow, int status,
                        const char *code, uint64_t retry_ms)
{
  struct evkeyvalq *headers;
  struct evbuffer *body;
  char text[32];

  if (!flow->req)
    {
      log_end (flow, status, code);
      ab_gateway_flow_free (flow);
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
  if (flow->id.len > 0)
    evhttp_add_header (headers, flow->env->settings->headers.request_id,
                       flow->id.data);
  evhttp_add_header (headers, "Content-Type", "application/json");
  if (body)
    evbuffer_add_printf (body, "{\"code\":\"%s\",\"verdict\":\"%s\"}", code,
                         ab_verdict_name (flow->verdict));
  send_reply (flow, status, code, body);
  if (body)
    evbuffer_free (body);
}

void
ab_gateway_reply_rejected (struct ab_gateway_flow *flow, int status,
                           const char *code, uint64_t retry_ms)
{
  if (flow->verdict == AB_VERDICT_NOT_RUN)
    ab_gateway_reply_error (flow, 503, code,
                            retry_ms ? retry_ms : AB_GATEWAY_RETRY_MS);
  else
    ab_gateway_reply_error (flow, status == 503 ? 502 : status, code, 0);
}

void
ab_gateway_reply_quarantined (struct ab_gateway_flow *flow, uint64_t left_ms)
{
  char hex[2 * AB_DIGEST_BYTES + 1];

  ab_hex_encode (ab_gateway_flow_content (flow)->bytes, AB_DIGEST_BYTES, hex);
  AB_LOG (AB_LOG_INFO, "quarantine_rejected",
          ab_log_chunk ("id", ab_buf_chunk (&flow->id)),
          ab_log_str ("content", hex),
          ab_log_int ("left_ms", (int64_t)left_ms));
  ++*ab_gateway_flow_counter (flow, "ab_quarantine_rejected_total");
  ab_gateway_reply_rejected (flow, 503, "quarantined", left_ms);
}

void
ab_gateway_reply_keep (struct ab_gateway_flow *flow,
                       const struct ab_upstream_result *result)
{
  if (flow->kept_body)
    return;
  flow->kept_body = evbuffer_new ();
  if (!flow->kept_body)
    return;
  flow->kept_status = result->attempt.status;
  if (ab_http_print_response_headers (result->headers, false,
                                      &flow->kept_headers)
          < 0
      || evbuffer_add_buffer (flow->kept_body, result->body) < 0)
    {
      evbuffer_free (flow->kept_body);
      flow->kept_body = NULL;
      ab_buf_clear (&flow->kept_headers);
    }
}

/* Returns whether callers take STATUS as the statement that their request has
   not run.  */
static bool
promises_not_run (int status)
{
  return status == HTTP_REQUEST_TIMEOUT || status == HTTP_MISDIRECTED
         || status == HTTP_TOO_MANY_REQUESTS || status == HTTP_SERVUNAVAIL;
}

void
ab_gateway_reply_deliver (struct ab_gateway_flow *flow,
                          const struct ab_upstream_result *result)
{
  struct ab_buf lines = AB_BUF_INIT;
  bool head = evhttp_request_get_command (flow->req) == EVHTTP_REQ_HEAD;
  int rc;

  /* The target does not say that it rejected the request, so it may have run;
     a caller would send it again.  */
  if (!flow->route->idempotent && promises_not_run (result->attempt.status))
    {
      ab_gateway_reply_error (flow, HTTP_BADGATEWAY, "target-status", 0);
      return;
    }
  rc = ab_http_print_response_headers (result->headers, head, &lines);
  if (rc == 0)
    rc = ab_http_add_header_lines (
        ab_buf_chunk (&lines), evhttp_request_get_output_headers (flow->req));
  ab_buf_free (&lines);
  if (rc < 0)
    ab_gateway_reply_error (flow, HTTP_BADGATEWAY, "memory", 0);
  else
    send_reply (flow, result->attempt.status, "response", result->body);
}
