/* Replies to callers: the headers that every reply carries, errors as JSON,
   responses of targets, recorded responses.

   Each function hands the reply to evhttp and ends the use of REQ.  */

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
  bool close; /* Asks the caller to use another connection next.  */
};

struct ab_reply_error
{
  int status;
  const char *code;
  enum ab_verdict verdict;
  const char *message;
  uint64_t retry_ms; /* When a new try may succeed; 0: not told.  */
};

void ab_reply_error (const struct ab_reply_ctx *ctx,
                     const struct ab_reply_error *error);

/* What a caller is told when its claim was not granted.  */
struct ab_reply_error ab_reply_claim_error (enum ab_claim_result result);

/* A whole response of a target.  BODY is moved out.  */
void ab_reply_response (const struct ab_reply_ctx *ctx, int status,
                        struct ab_chunk header_lines, struct evbuffer *body);

/* A response that the ledger kept.  */
void ab_reply_recorded (const struct ab_reply_ctx *ctx,
                        const struct ab_recorded_response *response);

#endif
