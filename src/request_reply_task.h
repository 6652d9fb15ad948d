/* Replies to callers: errors as JSON, responses of targets, and recorded
   responses.  Every reply has the headers Almond-Verdict and X-Request-Id.

   The functions that send a reply hand it to evhttp; the caller must not use
   REQ after that.  */

#ifndef AB_REQUEST_REPLY_TASK_H
#define AB_REQUEST_REPLY_TASK_H

#include <event2/http.h>

#include "buf.h"
#include "caller_conns_task.h"
#include "control_client.h"
#include "verdict.h"

struct ab_reply_ctx
{
  struct ab_caller_conns *conns;
  struct evhttp_request *req;
  const char *request_id;
  bool close_connection; /* Adds "Connection: close".  */
};

struct ab_reply_error
{
  int status;
  const char *code;
  enum ab_verdict verdict;
  const char *message;
  /* Time after which a retry may succeed; 0: no Retry-After header.  */
  uint64_t retry_after_ms;
};

/* Sends ERROR as a JSON object.  */
void ab_reply_error (const struct ab_reply_ctx *ctx,
                     const struct ab_reply_error *error);

/* Returns the error that a caller gets when its claim was not granted.  */
struct ab_reply_error ab_reply_claim_error (enum ab_claim_result result);

/* Sends a complete response of a target.  HEADER_LINES are "Name: value\r\n"
   lines.  The content of BODY is moved to the reply.  */
void ab_reply_response (const struct ab_reply_ctx *ctx, int status,
                        struct ab_chunk header_lines, struct evbuffer *body);

/* Sends a response that the ledger recorded, with Idempotent-Replayed.  */
void ab_reply_recorded (const struct ab_reply_ctx *ctx,
                        const struct ab_recorded_response *response);

#endif
