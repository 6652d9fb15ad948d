/* Flow of one request through a gateway: route, target, attempt, reply.

   An attempt is identified by its connection and its id alone.  A request that
   is not idempotent is retried on another target only when it provably did not
   run: no connection, nothing written, or a response in which the target says
   so.  */

#ifndef AB_GATEWAY_FLOW_TASK_H
#define AB_GATEWAY_FLOW_TASK_H

#include <event2/http.h>

#include "caller_conns_task.h"
#include "daemon.h"
#include "fleet_settings.h"
#include "fleet_view_task.h"
#include "gateway_crash_task.h"
#include "link_load.h"
#include "rng.h"
#include "schedule_task.h"
#include "team_tokens_task.h"
#include "upstream_task.h"

struct ab_gateway_flow;

/* State that all flows of a process share.  */
struct ab_gateway_env
{
  struct ab_daemon *daemon;
  const struct ab_fleet_settings *settings;
  struct ab_fleet_view *view;
  struct ab_schedule_task *schedule;
  struct ab_upstream *upstream;
  struct ab_gateway_crashes *crashes;
  struct ab_team_tokens *tokens;
  struct ab_caller_conns *conns;
  struct ab_rng rng;
  struct ab_gateway_flow *flows;
  size_t flow_count;
  struct ab_link_load link;
  uint64_t started_ms; /* Start of the process.  */
  uint64_t
      keys_since_ms; /* Since when the bundle has teams; 0: it has none.  */
  uint64_t end_ms;   /* Planned end of the process; 0: not stopping.  */
  /* Requests that arrive later must end before END_MS.  */
  uint64_t admit_until_ms;
  bool stopping; /* Replies close their connections.  */
};

/* Starts the flow of REQ, which ends with a reply.  */
void ab_gateway_flow_start (struct ab_gateway_env *env,
                            struct evhttp_request *req);
/* Continues the requests that wait for the first bundle, or for the first
   confirmation of one with teams, once it is there.  To be called after an
   update of the fleet view.  */
void ab_gateway_flow_resume (struct ab_gateway_env *env);
/* Rejects all requests that have not been sent to a target: the process ends
   before a target could be chosen and respond.  */
void ab_gateway_flow_reject_waiting (struct ab_gateway_env *env);
/* Rejects the requests that wait for a target and are quarantined now.  */
void ab_gateway_flow_reject_quarantined (struct ab_gateway_env *env);
/* Ends all flows without replies, when the process stops.  */
void ab_gateway_flow_free_all (struct ab_gateway_env *env);

#endif
