#include "request_reply_task.h"

#include <event2/buffer.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "http_rules.h"

static void
add_common_headers (const struct ab_reply_ctx *ctx, enum ab_verdict verdict)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (ctx->req);

  evhttp_add_header (headers, "Almond-Verdict", ab_verdict_name (verdict));
  evhttp_add_header (headers, "X-Request-Id", ctx->request_id);
  if (ctx->close_connection)
    evhttp_add_header (headers, "Connection", "close");
}

static void
send_reply (const struct ab_reply_ctx *ctx, int status, struct evbuffer *body)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (ctx->req);

  if (connection)
    ab_caller_conns_end (ctx->conns, connection);
  evhttp_send_reply (ctx->req, status, NULL, body);
}

static void
add_retry_after (struct evkeyvalq *headers, uint64_t retry_after_ms)
{
  char text[24];

  if (retry_after_ms == 0)
    return;
  snprintf (text, sizeof text, "%llu",
            (unsigned long long)((retry_after_ms + 999) / 1000));
  evhttp_add_header (headers, "Retry-After", text);
}

void
ab_reply_error (const struct ab_reply_ctx *ctx,
                const struct ab_reply_error *error)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (ctx->req);
  struct evbuffer *body = evbuffer_new ();
  json_t *object
      = json_pack ("{s:s, s:s, s:s, s:s}", "code", error->code, "verdict",
                   ab_verdict_name (error->verdict), "request_id",
                   ctx->request_id, "message", error->message);
  char *text = json_dumps (object, JSON_COMPACT);

  add_common_headers (ctx, error->verdict);
  add_retry_after (headers, error->retry_after_ms);
  evhttp_add_header (headers, "Content-Type", "application/json");
  if (body && text)
    evbuffer_add (body, text, strlen (text));
  send_reply (ctx, error->status, body);
  if (body)
    evbuffer_free (body);
  free (text);
  json_decref (object);
}

void
ab_reply_response (const struct ab_reply_ctx *ctx, int status,
                   struct ab_chunk header_lines, struct evbuffer *body)
{
  ab_http_add_header_lines (header_lines,
                            evhttp_request_get_output_headers (ctx->req));
  add_common_headers (ctx, AB_VERDICT_RAN);
  send_reply (ctx, status, body);
}

void
ab_reply_recorded (const struct ab_reply_ctx *ctx,
                   const struct ab_recorded_response *response)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (ctx->req);
  struct evbuffer *body = evbuffer_new ();

  ab_http_add_header_lines (response->headers, headers);
  evhttp_add_header (headers, "Idempotent-Replayed", "true");
  add_common_headers (ctx, AB_VERDICT_RAN);
  if (body && response->body.len > 0)
    evbuffer_add (body, response->body.data, response->body.len);
  send_reply (ctx, response->status, body);
  if (body)
    evbuffer_free (body);
}

struct ab_reply_error
ab_reply_claim_error (enum ab_claim_result result)
{
  switch (result)
    {
    case AB_CLAIM_MAY_HAVE_RUN:
      return (struct ab_reply_error){
        409, "earlier-attempt", AB_VERDICT_MAY_HAVE_RUN,
        "an earlier request with this key may have run", 0
      };
    case AB_CLAIM_MISMATCH:
      return (struct ab_reply_error){ 422, "key-mismatch", AB_VERDICT_NOT_RUN,
                                      "the key was used with other content",
                                      0 };
    case AB_CLAIM_EXPIRED:
      return (struct ab_reply_error){
        410, "key-expired", AB_VERDICT_MAY_HAVE_RUN,
        "the key is older than the time for which keys are remembered", 0
      };
    case AB_CLAIM_FUTURE:
      return (struct ab_reply_error){ 400, "key-future", AB_VERDICT_NOT_RUN,
                                      "the key's time lies ahead", 0 };
    default:
      return (struct ab_reply_error){
        503, "ledger-unavailable", AB_VERDICT_NOT_RUN,
        "the control group did not record the key in time", 0
      };
    }
}
