/* The way of one request through a gateway: route, target, attempt, answer.

   An attempt is identified by its connection and its id alone.  A request
   that must not repeat goes to another target only after a provable failure:
   no connection, nothing written, or the target's word that it did not run
   it.  */

#ifndef AB_GATEWAY_FLOW_TASK_H
#define AB_GATEWAY_FLOW_TASK_H

#include <event2/http.h>

#include "caller_conns_task.h"
#include "daemon.h"
#include "fleet_settings.h"
#include "fleet_view_task.h"
#include "link_load.h"
#include "rng.h"
#include "schedule_task.h"
#include "upstream_task.h"

struct ab_gateway_flow;

/* What all flows of a process share.  */
struct ab_gateway_env
{
  struct ab_daemon *daemon;
  const struct ab_fleet_settings *settings;
  struct ab_fleet_view *view;
  struct ab_schedule_task *schedule;
  struct ab_upstream *upstream;
  struct ab_caller_conns *conns;
  struct ab_rng rng;
  struct ab_gateway_flow *flows;
  size_t flow_count;
  struct ab_link_load link;
  uint64_t started_ms; /* Of the process.  */
  uint64_t end_ms;     /* When it will end; 0: it does not stop.  */
  bool stopping;       /* Replies close their connections.  */
};

void ab_gateway_flow_start (struct ab_gateway_env *env,
                            struct evhttp_request *req);
/* A view was taken in: requests that waited for the first bundle go on.  */
void ab_gateway_flow_resume (struct ab_gateway_env *env);
/* Refuses all requests that no target has: the process stops before one could
   be found and answer.  */
void ab_gateway_flow_refuse_waiting (struct ab_gateway_env *env);
/* Ends all flows without replies, when the process stops.  */
void ab_gateway_flow_free_all (struct ab_gateway_env *env);

#endif
