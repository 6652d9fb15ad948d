/* The flow of one request: parse, claim, ask for a target, send, answer.

   A flow lives from the arrival of a whole request until its end is settled;
   a request that may run at most once outlives its caller's connection, so
   that its result is recorded.  */

#ifndef AB_REQUEST_FLOW_TASK_H
#define AB_REQUEST_FLOW_TASK_H

#include <event2/http.h>
#include <jansson.h>

#include "bundle.h"
#include "caller_conns_task.h"
#include "clock.h"
#include "control_client.h"
#include "crash_watch_task.h"
#include "dispatch_task.h"
#include "explain.h"
#include "request_reply_task.h"
#include "retry_budget.h"
#include "rng.h"
#include "upstream_task.h"

#define AB_TIMEOUT_MS_MAX (10 * 60 * 1000) /* Longest deadline asked for.  */

struct event;

enum ab_flow_stage
{
  AB_FLOW_RECEIVED,
  AB_FLOW_CLAIMING,
  AB_FLOW_ASKING,
  AB_FLOW_SENDING
};

/* What all flows of a process share.  */
struct ab_flow_env
{
  struct ab_daemon *daemon;
  struct ab_upstream *upstream;
  struct ab_caller_conns *conns;
  struct ab_crash_watch *crashes;
  struct ab_rng rng;
  struct ab_retry_budget budget;
  struct ab_flow *flows;
  size_t flow_count;
  bool draining; /* Replies ask callers to use another host.  */
};

struct ab_flow
{
  struct ab_flow *prev;
  struct ab_flow *next;
  struct ab_flow_env *env;
  struct evhttp_request *req; /* Null when the caller has gone.  */
  struct event *closed;       /* The caller closes its connection.  */
  struct event *guard;        /* Ends waiting at the deadline.  */
  struct ab_bundle *bundle;   /* Holds the route and the team.  */
  const struct ab_route *route;
  const struct ab_team *team; /* Null for an anonymous caller.  */
  bool limited;               /* A request of the team's share is taken.  */
  bool close; /* The caller's connection ends with the reply.  */
  enum ab_flow_stage stage;
  enum ab_method method;
  char id[AB_REQUEST_ID_BYTES];
  char *uri; /* Path and query.  */
  struct ab_digest content;
  uint64_t begin_us;
  uint64_t deadline_ms;
  struct ab_ledger_key key;
  struct ab_claim *claim;
  bool claimed;
  uint64_t token;
  struct ab_dispatch_request request;
  struct ab_dispatch_ask *ask;
  struct ab_dispatch_grant grant;
  uint64_t ask_us; /* When the ask began.  */
  struct ab_upstream_call *call;
  uint64_t incarnation; /* Of the target when the call began.  */
  uint64_t attempts;
  unsigned losses;         /* Targets lost while they held this request.  */
  uint64_t dispatch_us;    /* Time spent in asks.  */
  uint64_t upstream_us;    /* Time spent in calls.  */
  enum ab_verdict verdict; /* Of the attempts so far.  */
  uint64_t request_bytes;
  bool cross_region; /* The last target is in another region.  */
};

/* Adds a decision to the explanations of FLOW's request.  */
#define AB_FLOW_EXPLAIN(flow, event, ...)                                     \
  AB_EXPLAIN ((flow)->env->daemon->explain, ab_chunk_str ((flow)->id), event, \
              __VA_ARGS__)

/* Begins the flow of REQ.  */
void ab_flow_start (struct ab_flow_env *env, struct evhttp_request *req);

/* Fills in FLOW from its request: route, team, limit, quarantine, deadline,
   key.  Returns 0, or -1 with ERROR set.  */
int ab_flow_parse (struct ab_flow *flow, struct ab_reply_error *error);

/* Ends all flows without replies, when the process stops.  */
void ab_flow_free_all (struct ab_flow_env *env);

/* What is counted and explained about a flow.  */
void ab_flow_note_sent (struct ab_flow *flow);
void ab_flow_note_response (struct ab_flow *flow, size_t bytes);
void ab_flow_note_attempt (struct ab_flow *flow,
                           const struct ab_attempt *attempt,
                           uint64_t latency_us);
void ab_flow_note_end (struct ab_flow *flow, int status, const char *code,
                       enum ab_verdict verdict);
const char *ab_flow_claim_name (enum ab_claim_result result);

/* State dump: every flow with its age, stage and target.  */
json_t *ab_flow_state (const struct ab_flow_env *env);

#endif
