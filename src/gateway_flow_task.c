#include "gateway_flow_task.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "gateway_flow_internal.h"
#include "gateway_team_task.h"
#include "http_rules.h"
#include "request_content.h"

#define DEADLINE_MAX_MS (10 * 60 * 1000)
/* After a power failure all hosts may start at once: within this time from the
   start, the control group has elected a leader and distributed the bundle.
   Requests that arrive earlier wait for it.  */
#define BUNDLE_WAIT_MS 2500
/* Retry-After when there is no bundle after BUNDLE_WAIT_MS, or no confirmation
   of one with teams: the host does not know when it will get one.  */
#define NO_VIEW_RETRY_MS 1000
/* Part of a request's timeout that is reserved for the attempt that follows a
   wait for the bundle.  */
#define ATTEMPT_MIN_MS 300
/* A body of at least this size outweighs the headers and the messages about
   the request.  */
#define LARGE_BODY_BYTES 1000

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

const struct ab_digest *
ab_gateway_flow_content (struct ab_gateway_flow *flow)
{
  if (!flow->has_content)
    flow->content = ab_request_content (flow->req);
  flow->has_content = true;
  return &flow->content;
}

uint64_t
ab_gateway_flow_quarantined_ms (struct ab_gateway_flow *flow)
{
  const struct ab_gateway_crashes *crashes = flow->env->crashes;

  if (!flow->req
      || (!flow->has_content
          && !ab_gateway_crashes_may_know (crashes, flow->req)))
    return 0;
  return ab_gateway_crashes_blocked_ms (crashes,
                                        ab_gateway_flow_content (flow));
}

void
ab_gateway_flow_free (struct ab_gateway_flow *flow)
{
  DL_DELETE (flow->env->flows, flow);
  flow->env->flow_count--;
  ab_gateway_limit_end (flow);
  ab_caller_watch_free (flow->caller_watch);
  if (flow->timer)
    event_free (flow->timer);
  if (flow->stall_timer)
    event_free (flow->stall_timer);
  if (flow->kept_body)
    evbuffer_free (flow->kept_body);
  ab_buf_free (&flow->kept_headers);
  ab_buf_free (&flow->id);
  ab_route_table_unref (flow->table);
  free (flow);
}

/* Rejects FLOW, which waited in vain for the view.  */
static void
end_wait (struct ab_gateway_flow *flow, const char *code)
{
  /* Only a request that waits for the confirmation of its key has a route. */
  if (flow->route)
    ab_gateway_team_count_refusal (flow, code);
  ab_gateway_reply_error (flow, 503, code, NO_VIEW_RETRY_MS);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct ab_gateway_flow *flow = arg;

  (void)fd;
  (void)what;
  if (flow->awaits)
    {
      end_wait (flow, flow->awaits);
      return;
    }
  /* An attempt has a timer of its own with the same deadline.  */
  if (flow->attempt)
    return;
  ab_gateway_attempt_cancel (flow);
  ab_gateway_reply_rejected (flow, 504, "deadline", AB_GATEWAY_RETRY_MS);
}

static void
on_caller_gone (void *ctx)
{
  struct ab_gateway_flow *flow = ctx;
  struct evhttp_connection *connection
      = evhttp_request_get_connection (flow->req);

  ++*ab_gateway_flow_counter (flow, "ab_gateway_callers_gone_total");
  /* The request is gone with its connection, but its target may have crashed
     under it.  */
  if (flow->attempt)
    ab_gateway_flow_content (flow);
  flow->req = NULL;
  ab_caller_watch_free (flow->caller_watch);
  flow->caller_watch = NULL;
  if (connection)
    evhttp_connection_free (connection);
  ab_gateway_attempt_cancel (flow);
  ab_gateway_reply_error (flow, 499, "caller-gone", 0);
}

static bool
arm_timer (struct ab_gateway_flow *flow, uint64_t after_ms)
{
  struct timeval tv = { .tv_sec = (time_t)(after_ms / 1000),
                        .tv_usec = (suseconds_t)(after_ms % 1000 * 1000) };

  return evtimer_add (flow->timer, &tv) == 0;
}

static bool
watch_caller (struct ab_gateway_flow *flow)
{
  struct event_base *base = flow->env->daemon->base;

  flow->timer = evtimer_new (base, on_timer, flow);
  flow->caller_watch = ab_caller_watch_new (
      base, evhttp_request_get_connection (flow->req), on_caller_gone, flow);
  return flow->timer && flow->caller_watch;
}

static int
reject (struct ab_gateway_flow *flow, int status, const char *code,
        uint64_t retry_ms)
{
  ab_gateway_reply_error (flow, status, code, retry_ms);
  return AB_ERR_INVALID;
}

static int
choose_route (struct ab_gateway_flow *flow)
{
  struct evhttp_request *req = flow->req;
  const char *uri = evhttp_request_get_uri (req);
  const char *host = ab_gateway_flow_header (flow, "Host");
  struct ab_chunk path = ab_chunk (uri, strcspn (uri, "?#"));
  size_t service;

  flow->table = ab_route_table_ref (ab_fleet_view_table (flow->env->view));
  if (!host)
    return reject (flow, 400, "no-host", 0);
  flow->route = ab_route_table_find (flow->table, ab_chunk_str (host), path);
  if (!flow->route)
    return reject (flow, 404, "no-route", 0);
  service = ab_fleet_route_choose (flow->route, ab_rng_next (&flow->env->rng));
  flow->service = ab_route_table_service (flow->table, service);
  return 0;
}

/* Sets the deadline from the caller's deadline header, which holds the time in
   milliseconds that the caller waits.  */
static int
read_deadline (struct ab_gateway_flow *flow)
{
  const char *text
      = ab_gateway_flow_header (flow, flow->env->settings->headers.deadline);
  unsigned long long timeout_ms = DEADLINE_MAX_MS;

  if (text
      && (!ab_chunk_to_u64 (ab_chunk_str (text), &timeout_ms)
          || timeout_ms > DEADLINE_MAX_MS))
    return reject (flow, 400, "deadline", 0);
  flow->caller_timeout_ms = text ? timeout_ms : 0;
  flow->deadline_ms = flow->begin_ms + timeout_ms;
  return 0;
}

static int
check_framing (struct ab_gateway_flow *flow)
{
  bool unread_body;
  int rc = ab_http_request_framing (flow->req, &unread_body);

  flow->close = unread_body
                || ab_http_list_has (
                    ab_gateway_flow_header (flow, "Connection"), "close");
  if (rc == 0)
    return 0;
  flow->close = true;
  return reject (flow, 400, "framing", 0);
}

static void
fill_slot_request (struct ab_gateway_flow *flow)
{
  struct ab_sched_slot_request *slot_request = &flow->slot_request;

  memcpy (slot_request->service, flow->service->name,
          sizeof slot_request->service);
  slot_request->idempotent = flow->route->idempotent;
  slot_request->priority = flow->route->priority;
  slot_request->large_body
      = flow->route->large || flow->body_bytes >= LARGE_BODY_BYTES;
}

/* Returns whether FLOW arrived so late in a planned stop that the process may
   end before its target has responded.  */
static bool
is_past_admission (const struct ab_gateway_flow *flow)
{
  const struct ab_gateway_env *env = flow->env;

  return env->stopping && flow->begin_ms > env->admit_until_ms
         && flow->deadline_ms > env->end_ms;
}

/* Waits for the fleet's view, which is due BUNDLE_WAIT_MS after SINCE_MS, but
   leaves ATTEMPT_MIN_MS until the deadline for the attempt.  Rejects FLOW with
   CODE at the end of the wait, or at once when no time to wait is left.  */
static void
await_view (struct ab_gateway_flow *flow, const char *code, uint64_t since_ms)
{
  uint64_t due_ms = since_ms + BUNDLE_WAIT_MS;
  uint64_t now = now_ms ();
  uint64_t left = ab_gateway_flow_time_left (flow);
  uint64_t wait = due_ms > now ? due_ms - now : 0;

  if (wait + ATTEMPT_MIN_MS > left)
    wait = left > ATTEMPT_MIN_MS && wait > 0 ? left - ATTEMPT_MIN_MS : 0;
  if (wait > 0 && arm_timer (flow, wait))
    flow->awaits = code;
  else
    end_wait (flow, code);
}

/* Chooses a route, arms the deadline timer and starts the first attempt.  */
static void
start_first_attempt (struct ab_gateway_flow *flow)
{
  uint64_t route_ms;

  if (choose_route (flow) < 0)
    return;
  route_ms = flow->begin_ms + flow->route->timeout_ms;
  if (route_ms < flow->deadline_ms)
    flow->deadline_ms = route_ms;
  if (ab_gateway_team_awaits_view (flow))
    {
      await_view (flow, "keys-stale", flow->env->keys_since_ms);
      return;
    }
  if (ab_gateway_team_check (flow) < 0)
    return;
  if (is_past_admission (flow))
    {
      reject (flow, 503, "stopping", AB_GATEWAY_RETRY_MS);
      return;
    }
  fill_slot_request (flow);
  if (arm_timer (flow, ab_gateway_flow_time_left (flow)))
    ab_gateway_limit_start (flow);
  else
    ab_gateway_reply_error (flow, 503, "memory", AB_GATEWAY_RETRY_MS);
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
  if (ab_buf_append_str (&flow->id, id ? id : "") < 0)
    {
      ab_gateway_reply_error (flow, 503, "memory", AB_GATEWAY_RETRY_MS);
      return;
    }
  if (check_framing (flow) < 0 || read_deadline (flow) < 0)
    return;
  if (!watch_caller (flow))
    ab_gateway_reply_error (flow, 503, "memory", AB_GATEWAY_RETRY_MS);
  else if (ab_fleet_view_table (env->view))
    start_first_attempt (flow);
  else
    await_view (flow, "no-bundle", env->started_ms);
}

void
ab_gateway_flow_resume (struct ab_gateway_env *env)
{
  struct ab_gateway_flow *flow;
  struct ab_gateway_flow *next;

  if (!ab_fleet_view_table (env->view))
    return;
  DL_FOREACH_SAFE (env->flows, flow, next)
  if (flow->awaits)
    {
      flow->awaits = NULL;
      ab_route_table_unref (flow->table);
      flow->table = NULL;
      flow->route = NULL;
      start_first_attempt (flow);
    }
}

void
ab_gateway_flow_reject_waiting (struct ab_gateway_env *env)
{
  struct ab_gateway_flow *flow;
  struct ab_gateway_flow *next;

  DL_FOREACH_SAFE (env->flows, flow, next)
  if (!flow->attempt)
    {
      ab_gateway_attempt_cancel (flow);
      ab_gateway_reply_rejected (flow, 503, "stopping", AB_GATEWAY_RETRY_MS);
    }
}

void
ab_gateway_flow_reject_quarantined (struct ab_gateway_env *env)
{
  struct ab_gateway_flow *flow;
  struct ab_gateway_flow *next;

  DL_FOREACH_SAFE (env->flows, flow, next)
  {
    uint64_t left_ms
        = flow->slot_call ? ab_gateway_flow_quarantined_ms (flow) : 0;
    if (left_ms == 0)
      continue;
    ab_gateway_attempt_cancel (flow);
    ab_gateway_reply_quarantined (flow, left_ms);
  }
}

void
ab_gateway_flow_free_all (struct ab_gateway_env *env)
{
  struct ab_gateway_flow *flow;
  struct ab_gateway_flow *next;

  DL_FOREACH_SAFE (env->flows, flow, next)
  {
    ab_gateway_attempt_cancel (flow);
    ab_gateway_flow_free (flow);
  }
}
