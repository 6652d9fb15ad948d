/* Handling of one request on an entry host: parse it, claim its idempotency
   key, request a grant for a target, send it to the target, reply.

   A flow exists from the arrival of a complete request until its outcome is
   known and recorded.  A request on a route that is not idempotent may run at
   most once; its flow outlives the caller's connection, so that its result is
   recorded.  */

#ifndef AB_REQUEST_FLOW_TASK_H
#define AB_REQUEST_FLOW_TASK_H

#include <event2/http.h>
#include <jansson.h>

#include "bundle.h"
#include "caller_conns_task.h"
#include "caller_watch_task.h"
#include "clock.h"
#include "control_client.h"
#include "crash_watch_task.h"
#include "dispatch_task.h"
#include "explain.h"
#include "request_reply_task.h"
#include "retry_budget.h"
#include "rng.h"
#include "upstream_task.h"

/* Largest value of a caller's Request-Timeout-Ms.  */
#define AB_TIMEOUT_MS_MAX (10 * 60 * 1000)

struct event;

enum ab_flow_stage
{
  AB_FLOW_RECEIVED,
  AB_FLOW_CLAIMING,
  AB_FLOW_AWAITING_GRANT,
  AB_FLOW_SENDING
};

/* State that all flows of a process share.  */
struct ab_flow_env
{
  struct ab_daemon *daemon;
  struct ab_upstream *upstream;
  struct ab_caller_conns *conns;
  struct ab_crash_watch *crash_watch;
  struct ab_rng rng;
  struct ab_retry_budget retry_budget;
  struct ab_flow *flows;
  size_t flow_count;
  bool draining; /* Responses make callers reconnect to another host.  */
};

struct ab_flow
{
  struct ab_flow *prev;
  struct ab_flow *next;
  struct ab_flow_env *env;
  struct evhttp_request *req; /* Null when the caller has disconnected.  */
  struct ab_caller_watch *caller_watch;
  struct event *wait_timer; /* Ends a wait after the deadline.  */
  struct ab_bundle *bundle; /* Owns ROUTE and TEAM.  */
  const struct ab_route *route;
  const struct ab_team *team; /* Null for an anonymous caller.  */
  bool limit_acquired;   /* The request counts against the team's limit.  */
  bool close_connection; /* Close the connection after the reply.  */
  enum ab_flow_stage stage;
  enum ab_method method;
  char id[AB_REQUEST_ID_BYTES];
  char *uri;                /* Path and query.  */
  struct ab_digest content; /* Digest of service, method, URI and body.  */
  uint64_t begin_us;
  uint64_t deadline_ms;
  /* Idempotency key and claim, only when the route is not idempotent.  */
  struct ab_ledger_key key;
  struct ab_claim *claim; /* Pending; otherwise null.  */
  bool claimed;           /* Granted, and not yet released or completed.  */
  uint64_t fencing_token;
  struct ab_dispatch_request request;
  /* The pending slot request, or null.  */
  struct ab_dispatch_slot_request *grant_request;
  struct ab_dispatch_grant grant;
  uint64_t grant_requested_us;
  struct ab_upstream_call *call; /* Pending; otherwise null.  */
  uint64_t incarnation; /* Incarnation of the target when CALL started.  */
  uint64_t attempts;
  unsigned targets_lost;   /* Attempts that lost the target's connection.  */
  uint64_t dispatch_us;    /* Total wait for grants.  */
  uint64_t upstream_us;    /* Total latency of calls.  */
  enum ab_verdict verdict; /* Combined verdict of all attempts.  */
  uint64_t request_bytes;  /* Length of the body.  */
  bool cross_region;       /* The latest target is in another region.  */
};

/* Adds an event to the record of decisions on the request of FLOW.  */
#define AB_FLOW_EXPLAIN(flow, event, ...)                                     \
  AB_EXPLAIN ((flow)->env->daemon->explain, ab_chunk_str ((flow)->id), event, \
              __VA_ARGS__)

/* Starts handling REQ, and takes over the reply to it.  */
void ab_flow_start (struct ab_flow_env *env, struct evhttp_request *req);

/* Fills in FLOW from its request: identifier, route, team, digest, deadline,
   idempotency key.  Takes the request from the team's limit and checks the
   quarantine.  Returns 0, or -1 with ERROR set.  */
int ab_flow_parse (struct ab_flow *flow, struct ab_reply_error *error);

/* Frees all flows without replying, when the process stops.  */
void ab_flow_free_all (struct ab_flow_env *env);

/* The functions ab_flow_record_... update the metrics and the record of
   decisions.  ab_flow_record_attempt also notifies the crash watch.  */

/* Records that the request was sent to the granted target.  */
void ab_flow_record_sent (struct ab_flow *flow);
/* Records a complete response with a body of BYTES.  */
void ab_flow_record_response (struct ab_flow *flow, size_t bytes);
/* Records the end of ATTEMPT, which took LATENCY_US.  */
void ab_flow_record_attempt (struct ab_flow *flow,
                             const struct ab_attempt *attempt,
                             uint64_t latency_us);
/* Records the end of the request.  STATUS is the HTTP status of the reply;
   CODE is the code of the error, or the source of the response.  */
void ab_flow_record_end (struct ab_flow *flow, int status, const char *code,
                         enum ab_verdict verdict);

/* Returns the name of RESULT in explanations.  */
const char *ab_flow_claim_result_name (enum ab_claim_result result);

/* Returns a state dump: each flow with its age, stage and target.  */
json_t *ab_flow_state (const struct ab_flow_env *env);

#endif
