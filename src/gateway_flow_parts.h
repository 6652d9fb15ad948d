/* Parts of a request's way through a gateway: gateway_flow_task.c takes the
   request in and ends it when its caller or its time is gone,
   gateway_attempt_task.c sends it to targets, gateway_reply_task.c answers
   it.  Each function that ends a flow frees it.  */

#ifndef AB_GATEWAY_FLOW_PARTS_H
#define AB_GATEWAY_FLOW_PARTS_H

#include "gateway_flow_task.h"

#define AB_GATEWAY_ID_BYTES 128

/* Of refusals without an estimate.  */
#define AB_GATEWAY_RETRY_MS 200

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
  char id[AB_GATEWAY_ID_BYTES];
  bool close;
  bool awaits_bundle; /* No bundle was known when it arrived.  */
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

/* Queries.  */

/* Milliseconds until the deadline.  */
uint64_t ab_gateway_flow_time_left (const struct ab_gateway_flow *flow);
/* A header of the request, or null.  */
const char *ab_gateway_flow_header (const struct ab_gateway_flow *flow,
                                    const char *name);
uint64_t *ab_gateway_flow_counter (const struct ab_gateway_flow *flow,
                                   const char *name);

/* Attempts.  */

/* Asks for a target and sends the request there; ends FLOW in the end.  */
void ab_gateway_attempt_ask (struct ab_gateway_flow *flow);
/* Ends what FLOW waits for, without an answer.  */
void ab_gateway_attempt_stop (struct ab_gateway_flow *flow);

/* Replies.  */

/* Passes a target's response on; ends FLOW.  */
void ab_gateway_reply_deliver (struct ab_gateway_flow *flow,
                               const struct ab_upstream_result *result);
/* Keeps a target's failure, to be passed on when no other target does
   better.  */
void ab_gateway_reply_keep (struct ab_gateway_flow *flow,
                            const struct ab_upstream_result *result);
/* Ends FLOW with an error of this host, or with the response that was kept.
   RETRY_MS, unless 0, is the time after which the caller may come back.  */
void ab_gateway_reply_failure (struct ab_gateway_flow *flow, int status,
                               const char *code, uint64_t retry_ms);
/* Ends FLOW after its last attempt.  What has not run for certain may be said
   to have a later chance; anything else promises nothing.  */
void ab_gateway_reply_unserved (struct ab_gateway_flow *flow, int status,
                                const char *code, uint64_t retry_ms);

/* Frees FLOW without a reply.  */
void ab_gateway_flow_free (struct ab_gateway_flow *flow);

#endif
