/* Declarations shared by the source files of the request flow in a gateway.

   gateway_flow_task.c accepts a request and ends it when its caller
   disconnects or its deadline passes, gateway_team_task.c checks its key,
   gateway_limit_task.c gets a token of its team, gateway_attempt_task.c sends
   it to targets, and gateway_reply_task.c sends the reply.  Each function that
   ends a flow frees it.  */

#ifndef AB_GATEWAY_FLOW_INTERNAL_H
#define AB_GATEWAY_FLOW_INTERNAL_H

#include "caller_watch_task.h"
#include "digest.h"
#include "gateway_flow_task.h"

/* Retry-After of rejections for which no wait could be estimated.  */
#define AB_GATEWAY_RETRY_MS 200

struct ab_gateway_flow
{
  struct ab_gateway_flow *prev;
  struct ab_gateway_flow *next;
  struct ab_gateway_env *env;
  struct evhttp_request *req; /* Null once the caller has disconnected.  */
  struct ab_caller_watch *caller_watch;
  struct event *timer; /* Deadline, or end of the wait for the view.  */
  struct ab_route_table *table;
  const struct ab_fleet_route *route;
  const struct ab_fleet_service *service;
  /* Team of the caller, in TABLE; null if no key is needed.  */
  const struct ab_fleet_team *team;
  struct ab_team_tokens_call *token_call;
  struct ab_team_token token; /* Has a control host once granted.  */
  struct ab_buf id;           /* Of the request; empty: it has none.  */
  bool close;                 /* The reply closes the caller's connection.  */
  /* It waits for the fleet's view, and this is the code of its rejection if
     that does not come in time; null if it does not wait.  */
  const char *awaits;
  uint64_t begin_us;
  uint64_t begin_ms;
  uint64_t deadline_ms;
  struct ab_sched_slot_request slot_request;
  struct ab_schedule_call *slot_call;
  struct ab_schedule_grant grant;
  struct ab_upstream_call *attempt;
  struct event *stall_timer; /* While ATTEMPT may be replaced; or null.  */
  uint64_t attempt_began_us;
  uint64_t slot_requested_us;
  uint64_t slot_wait_us; /* Total duration of slot requests.  */
  uint64_t body_bytes;
  uint64_t caller_timeout_ms; /* From the request's header; 0: none.  */
  uint64_t incarnation;       /* Of the target of the last attempt.  */
  unsigned sends;             /* Attempts that were sent to a target.  */
  unsigned may_have_run;      /* Attempts that may have run on the target.  */
  enum ab_verdict verdict;
  struct ab_digest content; /* See ab_gateway_flow_content.  */
  bool has_content;         /* CONTENT is computed.  */
  /* Response to an earlier attempt, returned to the caller when no later
     attempt gets a better one.  */
  int kept_status;
  struct ab_buf kept_headers;
  struct evbuffer *kept_body;
};

/* Milliseconds until the deadline; 0 once it has passed.  */
uint64_t ab_gateway_flow_time_left (const struct ab_gateway_flow *flow);
/* Returns the value of a header of the request, or null.  */
const char *ab_gateway_flow_header (const struct ab_gateway_flow *flow,
                                    const char *name);
/* Returns the digest of what makes the request the same one when a caller
   repeats it under another id: method, host, path, query and body.  */
const struct ab_digest *ab_gateway_flow_content (struct ab_gateway_flow *flow);
/* Returns for how long the content of the request is quarantined; 0: it is
   not.  */
uint64_t ab_gateway_flow_quarantined_ms (struct ab_gateway_flow *flow);
uint64_t *ab_gateway_flow_counter (const struct ab_gateway_flow *flow,
                                   const char *name);

/* Gets a token of the team of FLOW, if it has a limit, and then starts the
   first attempt.  Ends FLOW with 429 or 503 when there is none.  */
void ab_gateway_limit_start (struct ab_gateway_flow *flow);
/* Cancels FLOW's request for a token, and returns a token whose request was
   never sent.  */
void ab_gateway_limit_end (struct ab_gateway_flow *flow);

/* Requests a slot on a target and sends the request there.  Ends FLOW when no
   attempt is left.  */
void ab_gateway_attempt_start (struct ab_gateway_flow *flow);
/* Cancels FLOW's pending slot request and attempt without a reply.  */
void ab_gateway_attempt_cancel (struct ab_gateway_flow *flow);

/* Rejects FLOW, whose content is quarantined for another LEFT_MS.  */
void ab_gateway_reply_quarantined (struct ab_gateway_flow *flow,
                                   uint64_t left_ms);
/* Forwards a target's response to the caller; ends FLOW.  */
void ab_gateway_reply_deliver (struct ab_gateway_flow *flow,
                               const struct ab_upstream_result *result);
/* Keeps a target's error response, which the caller gets when no other target
   gives a better one.  */
void ab_gateway_reply_keep (struct ab_gateway_flow *flow,
                            const struct ab_upstream_result *result);
/* Ends FLOW with an error of this host, or with the response that was kept.
   RETRY_MS, unless 0, is the time after which the caller may retry.  */
void ab_gateway_reply_error (struct ab_gateway_flow *flow, int status,
                             const char *code, uint64_t retry_ms);
/* Ends FLOW when no attempt gave a response.  A request that certainly did not
   run gets status 503 and a Retry-After header.  One that may have run gets no
   Retry-After, and 502 in place of 503.  */
void ab_gateway_reply_rejected (struct ab_gateway_flow *flow, int status,
                                const char *code, uint64_t retry_ms);

/* Frees FLOW without a reply.  */
void ab_gateway_flow_free (struct ab_gateway_flow *flow);

#endif
