#include "gateway_flow_task.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "gateway_flow_parts.h"
#include "http_rules.h"

#define DEADLINE_MAX_MS (10 * 60 * 1000)
/* All hosts may start at once, after a loss of power: the control group has
   elected a leader and given out the bundle within this time.  Requests that
   arrive before wait for it.  */
#define BUNDLE_WAIT_MS 2500
/* A host without a bundle after that time cannot tell when it will have one.
 */
#define NO_BUNDLE_RETRY_MS 1000
/* Of a caller's time, kept for the attempt after a wait for the bundle.  */
#define ATTEMPT_MIN_MS 300
/* A body of this size outweighs headers and messages about the request.  */
#define BULKY_BYTES 1000

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

uint64_t
ab_gateway_flow_time_left (const struct ab_gateway_flow *flow)
{
  uint64_t now = now_ms ();

  return flow->deadline_ms > now ? flow->deadline_ms - now : 0;
}

uint64_t *
ab_gateway_flow_counter (const struct ab_gateway_flow *flow, const char *name)
{
  return ab_counter (flow->env->daemon->counters, name);
}

const char *
ab_gateway_flow_header (const struct ab_gateway_flow *flow, const char *name)
{
  return evhttp_find_header (evhttp_request_get_input_headers (flow->req),
                             name);
}

void
ab_gateway_flow_free (struct ab_gateway_flow *flow)
{
  DL_DELETE (flow->env->flows, flow);
  flow->env->flow_count--;
  if (flow->closed)
    event_free (flow->closed);
  if (flow->guard)
    event_free (flow->guard);
  if (flow->kept_body)
    evbuffer_free (flow->kept_body);
  ab_buf_free (&flow->kept_headers);
  ab_route_table_unref (flow->table);
  free (flow);
}

/* Interruptions.  */

static void
on_guard (evutil_socket_t fd, short what, void *arg)
{
  struct ab_gateway_flow *flow = arg;

  (void)fd;
  (void)what;
  if (flow->awaits_bundle)
    {
      flow->awaits_bundle = false;
      ab_gateway_reply_failure (flow, 503, "no-bundle", NO_BUNDLE_RETRY_MS);
      return;
    }
  /* An attempt ends by itself at the same time.  */
  if (flow->attempt)
    return;
  ab_gateway_attempt_stop (flow);
  ab_gateway_reply_unserved (flow, 504, "deadline", AB_GATEWAY_RETRY_MS);
}

static void
on_closed (evutil_socket_t fd, short what, void *arg)
{
  struct ab_gateway_flow *flow = arg;
  struct evhttp_connection *connection
      = evhttp_request_get_connection (flow->req);

  (void)fd;
  (void)what;
  ++*ab_gateway_flow_counter (flow, "ab_gateway_callers_gone_total");
  flow->req = NULL;
  event_free (flow->closed);
  flow->closed = NULL;
  if (connection)
    evhttp_connection_free (connection);
  ab_gateway_attempt_stop (flow);
  ab_gateway_reply_failure (flow, 499, "caller-gone", 0);
}

/* The start of a flow.  */

static bool
arm_guard (struct ab_gateway_flow *flow, uint64_t after_ms)
{
  struct timeval tv = { .tv_sec = (time_t)(after_ms / 1000),
                        .tv_usec = (suseconds_t)(after_ms % 1000 * 1000) };

  return evtimer_add (flow->guard, &tv) == 0;
}

static bool
watch_caller (struct ab_gateway_flow *flow)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (flow->req);
  struct event_base *base = flow->env->daemon->base;
  int fd = bufferevent_getfd (evhttp_connection_get_bufferevent (connection));

  flow->guard = evtimer_new (base, on_guard, flow);
  flow->closed = event_new (base, fd, EV_CLOSED, on_closed, flow);
  return flow->guard && flow->closed && event_add (flow->closed, NULL) == 0;
}

static int
refuse (struct ab_gateway_flow *flow, int status, const char *code,
        uint64_t retry_ms)
{
  ab_gateway_reply_failure (flow, status, code, retry_ms);
  return AB_ERR_INVALID;
}

static int
take_route (struct ab_gateway_flow *flow)
{
  struct evhttp_request *req = flow->req;
  const char *uri = evhttp_request_get_uri (req);
  const char *host = ab_gateway_flow_header (flow, "Host");
  struct ab_chunk path = ab_chunk (uri, strcspn (uri, "?#"));
  size_t service;

  flow->table = ab_route_table_ref (ab_fleet_view_table (flow->env->view));
  if (!host)
    return refuse (flow, 400, "no-host", 0);
  flow->route = ab_route_table_find (flow->table, ab_chunk_str (host), path);
  if (!flow->route)
    return refuse (flow, 404, "no-route", 0);
  service = ab_fleet_route_choose (flow->route, ab_rng_next (&flow->env->rng));
  flow->service = ab_route_table_service (flow->table, service);
  return 0;
}

/* How long the caller says that it waits.  */
static int
take_time (struct ab_gateway_flow *flow)
{
  const char *text
      = ab_gateway_flow_header (flow, flow->env->settings->headers.deadline);
  unsigned long long asked = DEADLINE_MAX_MS;

  if (text
      && (!ab_chunk_to_u64 (ab_chunk_str (text), &asked)
          || asked > DEADLINE_MAX_MS))
    return refuse (flow, 400, "deadline", 0);
  flow->asked_ms = text ? asked : 0;
  flow->deadline_ms = flow->begin_ms + asked;
  return 0;
}

static int
take_framing (struct ab_gateway_flow *flow)
{
  enum ab_framing framing;
  uint64_t length;

  flow->close = ab_http_list_has (ab_gateway_flow_header (flow, "Connection"),
                                  "close");
  if (ab_http_framing (evhttp_request_get_input_headers (flow->req), &framing,
                       &length)
      == 0)
    return 0;
  flow->close = true;
  return refuse (flow, 400, "framing", 0);
}

static void
fill_ask (struct ab_gateway_flow *flow)
{
  struct ab_sched_ask *ask = &flow->ask;

  memcpy (ask->service, flow->service->name, sizeof ask->service);
  ask->idempotent = flow->route->idempotent;
  ask->priority = flow->route->priority;
  ask->bulky = flow->route->large || flow->body_bytes >= BULKY_BYTES;
}

/* Chooses a route and starts the first attempt.  */
static void
serve (struct ab_gateway_flow *flow)
{
  uint64_t route_ms;

  if (take_route (flow) < 0)
    return;
  route_ms = flow->begin_ms + flow->route->timeout_ms;
  if (route_ms < flow->deadline_ms)
    flow->deadline_ms = route_ms;
  fill_ask (flow);
  if (arm_guard (flow, ab_gateway_flow_time_left (flow)))
    ab_gateway_attempt_ask (flow);
  else
    ab_gateway_reply_failure (flow, 503, "memory", AB_GATEWAY_RETRY_MS);
}

/* Waits for the first bundle, which is due soon after this host's start; a
   request that it would reach too late is refused at once.  */
static void
await_bundle (struct ab_gateway_flow *flow)
{
  uint64_t due_ms = flow->env->started_ms + BUNDLE_WAIT_MS;
  uint64_t left = ab_gateway_flow_time_left (flow);
  uint64_t wait = due_ms > flow->begin_ms ? due_ms - flow->begin_ms : 0;

  if (wait + ATTEMPT_MIN_MS > left)
    wait = left > ATTEMPT_MIN_MS && wait > 0 ? left - ATTEMPT_MIN_MS : 0;
  flow->awaits_bundle = wait > 0 && arm_guard (flow, wait);
  if (!flow->awaits_bundle)
    ab_gateway_reply_failure (flow, 503, "no-bundle", NO_BUNDLE_RETRY_MS);
}

void
ab_gateway_flow_start (struct ab_gateway_env *env, struct evhttp_request *req)
{
  struct ab_gateway_flow *flow = calloc (1, sizeof *flow);
  const char *id;

  if (!flow)
    {
      evhttp_send_error (req, 503, NULL);
      return;
    }
  flow->env = env;
  flow->req = req;
  flow->verdict = AB_VERDICT_NOT_RUN;
  flow->begin_us = ab_clock_monotonic_us ();
  flow->begin_ms = now_ms ();
  DL_APPEND (env->flows, flow);
  env->flow_count++;
  ab_caller_conns_begin (env->conns, req);
  ++*ab_gateway_flow_counter (flow, "ab_gateway_requests_total");
  flow->body_bytes
      = evbuffer_get_length (evhttp_request_get_input_buffer (req));
  id = ab_gateway_flow_header (flow, env->settings->headers.request_id);
  if (id)
    ab_chunk_copy (ab_chunk_str (id), flow->id, sizeof flow->id);
  if (take_framing (flow) < 0 || take_time (flow) < 0)
    return;
  if (!watch_caller (flow))
    ab_gateway_reply_failure (flow, 503, "memory", AB_GATEWAY_RETRY_MS);
  else if (ab_fleet_view_table (env->view))
    serve (flow);
  else
    await_bundle (flow);
}

void
ab_gateway_flow_resume (struct ab_gateway_env *env)
{
  struct ab_gateway_flow *flow;
  struct ab_gateway_flow *next;

  if (!ab_fleet_view_table (env->view))
    return;
  DL_FOREACH_SAFE (env->flows, flow, next)
  if (flow->awaits_bundle)
    {
      flow->awaits_bundle = false;
      serve (flow);
    }
}

void
ab_gateway_flow_refuse_waiting (struct ab_gateway_env *env)
{
  struct ab_gateway_flow *flow;
  struct ab_gateway_flow *next;

  DL_FOREACH_SAFE (env->flows, flow, next)
  if (!flow->attempt)
    {
      ab_gateway_attempt_stop (flow);
      ab_gateway_reply_unserved (flow, 503, "stopping", AB_GATEWAY_RETRY_MS);
    }
}

void
ab_gateway_flow_free_all (struct ab_gateway_env *env)
{
  struct ab_gateway_flow *flow;
  struct ab_gateway_flow *next;

  DL_FOREACH_SAFE (env->flows, flow, next)
  {
    ab_gateway_attempt_stop (flow);
    ab_gateway_flow_free (flow);
  }
}
