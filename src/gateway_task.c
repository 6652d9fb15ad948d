#include "gateway_task.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/queue.h>

#include "clock.h"
#include "conn_bounds_task.h"
#include "error.h"
#include "gateway_flow_task.h"
#include "log.h"

#define BACKLOG 512
#define METHODS                                                               \
  (EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST | EVHTTP_REQ_PUT        \
   | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS)
#define ADDRESSES_MAX 64
/* Address lists include hosts of other failure domains of the region when the
   caller's failure domain has fewer hosts than this.  */
#define ADDRESSES_WANTED 3
/* TTL of address lists, as a fraction of the longest time that callers may
   keep one.  */
#define ADDRESSES_TTL_SHARE 0.4
#define RESPONSE_BYTES (64ULL * 1024 * 1024)
#define RESPONSE_HEADER_BYTES (64 * 1024)
/* Phases of a planned stop, as fractions of its time limit.  New connections
   are accepted until STOP_ADMIT_SHARE, as callers keep using their address
   lists.  Requests that arrive later on open connections are rejected unless
   their deadline passes before the end.  From STOP_REJECT_SHARE on, requests
   that still wait for a target are rejected.  The process ends at
   STOP_END_SHARE, which leaves time for the last replies.  */
#define STOP_ADMIT_SHARE 0.49
#define STOP_REJECT_SHARE 0.7
#define STOP_END_SHARE 0.95

struct ab_gateway
{
  struct ab_daemon *daemon;
  struct ab_fleet_settings *settings;
  struct ab_gateway_env env;
  struct evhttp *callers;
  struct evhttp_bound_socket *bound;
  struct evhttp *ready;
  struct evhttp *addresses;
  uint64_t stop_began_ms; /* Start of the stop, monotonic; 0 while running.  */
  bool listening;
};

/* Callbacks of the fleet view.  */

static void
on_target (void *ctx, const struct ab_fleet_target *target)
{
  static const char *const states[] = { "", "ready", "draining", "gone" };
  struct ab_gateway *gateway = ctx;

  AB_LOG (AB_LOG_INFO, "target_known", ab_log_str ("target", target->id),
          ab_log_str ("service", target->service),
          ab_log_str ("address", target->address),
          ab_log_str ("state", states[target->state]),
          ab_log_int ("index", (int64_t)target->changed));
  ab_schedule_task_set_target (gateway->env.schedule, target);
  ab_gateway_crashes_set_target (gateway->env.crashes, target);
}

static void
on_quarantine (void *ctx, const struct ab_quarantine_record *record)
{
  struct ab_gateway *gateway = ctx;

  ab_gateway_crashes_set_record (gateway->env.crashes, record);
}

static void
on_blocked (void *ctx)
{
  struct ab_gateway *gateway = ctx;

  ab_gateway_flow_reject_quarantined (&gateway->env);
}

static void
on_bundle (void *ctx, struct ab_route_table *table)
{
  struct ab_gateway *gateway = ctx;
  const struct ab_caller_limits *limits = ab_route_table_limits (table);
  struct ab_http_settings *http = &gateway->settings->base.http;
  struct timeval idle
      = { .tv_sec = (time_t)(limits->idle_time_ms / 1000),
          .tv_usec = (suseconds_t)(limits->idle_time_ms % 1000 * 1000) };

  http->header_bytes = limits->header_bytes;
  http->body_bytes = limits->body_bytes;
  http->header_time_ms = limits->header_time_ms;
  http->idle_time_ms = limits->idle_time_ms;
  evhttp_set_max_headers_size (gateway->callers,
                               (ev_ssize_t)limits->header_bytes);
  evhttp_set_max_body_size (gateway->callers, (ev_ssize_t)limits->body_bytes);
  evhttp_set_timeout_tv (gateway->callers, &idle);
  if (!ab_route_table_has_teams (table))
    gateway->env.keys_since_ms = 0;
  else if (!gateway->env.keys_since_ms)
    gateway->env.keys_since_ms = ab_clock_monotonic_ms (ab_clock_system ());
  if (!gateway->stop_began_ms)
    ab_fleet_view_set_stage (gateway->env.view, AB_FLEET_SERVING);
}

static void
on_hosts (void *ctx)
{
  struct ab_gateway *gateway = ctx;
  const struct ab_fleet_host *hosts;

  *ab_counter (gateway->daemon->counters, "ab_gateway_hosts")
      = ab_fleet_view_hosts (gateway->env.view, &hosts);
}

static void
on_view_updated (void *ctx)
{
  struct ab_gateway *gateway = ctx;

  ab_gateway_flow_resume (&gateway->env);
}

static const struct ab_fleet_view_ops view_ops
    = { .target = on_target,
        .bundle = on_bundle,
        .hosts = on_hosts,
        .quarantine = on_quarantine,
        .applied = on_view_updated };

/* Listeners.  */

static void
on_request (struct evhttp_request *req, void *arg)
{
  struct ab_gateway *gateway = arg;

  ab_gateway_flow_start (&gateway->env, req);
}

static bool
is_ready (const struct ab_gateway *gateway)
{
  return !gateway->stop_began_ms && ab_fleet_view_table (gateway->env.view);
}

static void
on_ready_request (struct evhttp_request *req, void *arg)
{
  const struct ab_gateway *gateway = arg;

  evhttp_send_reply (req, is_ready (gateway) ? 200 : 503, NULL, NULL);
}

/* Adds to LIST the addresses of the hosts of REGION that accept callers: those
   of the failure domain DOMAIN when SAME_DOMAIN is true, or else all
   others.  */
static void
add_addresses (const struct ab_gateway *gateway, json_t *list,
               const char *region, const char *domain, bool same_domain)
{
  const struct ab_fleet_host *hosts;
  size_t count = ab_fleet_view_hosts (gateway->env.view, &hosts);

  for (size_t i = 0; i < count && json_array_size (list) < ADDRESSES_MAX; i++)
    {
      bool in_domain = strcmp (hosts[i].failure_domain, domain) == 0;
      const char *host_region
          = ab_fleet_region (gateway->settings, hosts[i].failure_domain);
      /* A stopping host omits itself at once; the view is updated only
         later.  */
      if ((gateway->stop_began_ms
           && strcmp (hosts[i].peer, gateway->daemon->settings->host) == 0)
          || !hosts[i].accepts_callers || in_domain != same_domain
          || strcmp (host_region, region) != 0)
        continue;
      json_array_append_new (list, json_string (hosts[i].callers));
    }
}

static void
add_all_addresses (const struct ab_gateway *gateway, json_t *list)
{
  const struct ab_fleet_host *hosts;
  size_t count = ab_fleet_view_hosts (gateway->env.view, &hosts);

  for (size_t i = 0; i < count && json_array_size (list) < ADDRESSES_MAX; i++)
    if (hosts[i].accepts_callers)
      json_array_append_new (list, json_string (hosts[i].callers));
}

static json_t *
list_addresses (const struct ab_gateway *gateway, const char *region,
                const char *domain)
{
  json_t *list = json_array ();

  add_addresses (gateway, list, region, domain, true);
  if (json_array_size (list) < ADDRESSES_WANTED)
    add_addresses (gateway, list, region, domain, false);
  if (json_array_size (list) == 0)
    add_all_addresses (gateway, list);
  if (json_array_size (list) == 0 && is_ready (gateway))
    json_array_append_new (list,
                           json_string (gateway->settings->listen.callers));
  return list;
}

static void
on_addresses_request (struct evhttp_request *req, void *arg)
{
  const struct ab_gateway *gateway = arg;
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (req);
  const char *query = evhttp_uri_get_query (uri);
  const char *path = evhttp_uri_get_path (uri);
  struct evkeyvalq fields;
  struct evbuffer *body = evbuffer_new ();
  const char *region;
  const char *domain;
  json_t *list;
  json_t *reply;
  char *text;

  TAILQ_INIT (&fields);
  if (!path || strcmp (path, "/v1/addresses") != 0 || !body
      || evhttp_parse_query_str (query ? query : "", &fields) < 0)
    {
      evhttp_send_reply (req, 404, NULL, NULL);
      goto out;
    }
  region = evhttp_find_header (&fields, "region");
  domain = evhttp_find_header (&fields, "failure_domain");
  list = list_addresses (
      gateway, region ? region : gateway->settings->base.region,
      domain ? domain : gateway->settings->base.failure_domain);
  if (json_array_size (list) == 0)
    {
      json_decref (list);
      evhttp_send_reply (req, 503, NULL, NULL);
      goto out;
    }
  reply
      = json_pack ("{s:o, s:f}", "addresses", list, "ttl_s",
                   ADDRESSES_TTL_SHARE
                       * (double)gateway->settings->answer_lifetime_ms / 1000);
  text = reply ? json_dumps (reply, JSON_COMPACT) : NULL;
  json_decref (reply);
  evhttp_add_header (evhttp_request_get_output_headers (req), "Content-Type",
                     "application/json");
  if (text)
    evbuffer_add (body, text, strlen (text));
  free (text);
  evhttp_send_reply (req, 200, NULL, body);
out:
  evhttp_clear_headers (&fields);
  if (body)
    evbuffer_free (body);
}

static int
listen_http (struct ab_gateway *gateway, const char *address,
             void (*handle) (struct evhttp_request *, void *),
             struct evhttp **http, char error[AB_CONF_ERROR_BYTES])
{
  if (!address[0])
    return 0;
  *http = evhttp_new (gateway->daemon->base);
  if (!*http)
    return AB_ERR_MEMORY;
  ab_conn_bounds_limit_requests (*http);
  evhttp_set_gencb (*http, handle, gateway);
  if (ab_conn_bounds_listen (gateway->daemon->conn_bounds, *http, address)
      == 0)
    return 0;
  snprintf (error, AB_CONF_ERROR_BYTES, "cannot listen on %s", address);
  return AB_ERR_IO;
}

static int
listen_callers (struct ab_gateway *gateway, char error[AB_CONF_ERROR_BYTES])
{
  const char *address = gateway->settings->listen.callers;
  struct evconnlistener *listener = NULL;
  struct sockaddr_storage at;
  int len = sizeof at;

  gateway->callers = evhttp_new (gateway->daemon->base);
  if (!gateway->callers)
    return AB_ERR_MEMORY;
  evhttp_set_allowed_methods (gateway->callers, METHODS);
  evhttp_set_default_content_type (gateway->callers, NULL);
  evhttp_set_gencb (gateway->callers, on_request, gateway);
  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)&at, &len) == 0)
    listener = evconnlistener_new_bind (
        gateway->daemon->base, NULL, NULL,
        LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_CLOSE_ON_FREE,
        BACKLOG, (struct sockaddr *)&at, len);
  if (listener)
    gateway->bound = evhttp_bind_listener (gateway->callers, listener);
  if (gateway->bound)
    {
      gateway->listening = true;
      return 0;
    }
  if (listener)
    evconnlistener_free (listener);
  snprintf (error, AB_CONF_ERROR_BYTES, "cannot listen on %s", address);
  return AB_ERR_IO;
}

static int
make_parts (struct ab_gateway *gateway, char error[AB_CONF_ERROR_BYTES])
{
  struct ab_gateway_env *env = &gateway->env;
  const struct ab_fleet_listen *listen = &gateway->settings->listen;
  int rc = listen_callers (gateway, error);

  if (rc == 0)
    rc = ab_caller_conns_new (gateway->daemon, gateway->callers,
                              gateway->bound, &env->conns);
  if (rc == 0)
    rc = ab_upstream_new (gateway->daemon, RESPONSE_BYTES,
                          RESPONSE_HEADER_BYTES, &env->upstream);
  if (rc == 0)
    rc = ab_schedule_task_new (gateway->daemon, gateway->settings,
                               &env->schedule);
  if (rc == 0)
    rc = ab_gateway_crashes_new (gateway->daemon, on_blocked, gateway,
                                 &env->crashes);
  if (rc == 0)
    rc = ab_team_tokens_new (gateway->daemon, &env->tokens);
  if (rc == 0)
    rc = ab_fleet_view_new (gateway->daemon, gateway->settings, &view_ops,
                            gateway, &env->view);
  if (rc < 0)
    return rc;
  ab_schedule_task_use_view (env->schedule, env->view);
  ab_gateway_crashes_use_view (env->crashes, env->view);
  ab_team_tokens_use_view (env->tokens, env->view);
  rc = listen_http (gateway, listen->ready, on_ready_request, &gateway->ready,
                    error);
  if (rc == 0)
    rc = listen_http (gateway, listen->addresses, on_addresses_request,
                      &gateway->addresses, error);
  return rc;
}

int
ab_gateway_new (struct ab_daemon *daemon, struct ab_fleet_settings *settings,
                struct ab_gateway **result, char error[AB_CONF_ERROR_BYTES])
{
  struct ab_gateway *gateway = calloc (1, sizeof *gateway);
  int rc;

  *result = NULL;
  if (!gateway)
    return AB_ERR_MEMORY;
  gateway->daemon = daemon;
  gateway->settings = settings;
  gateway->env.daemon = daemon;
  gateway->env.settings = settings;
  gateway->env.started_ms = ab_clock_monotonic_ms (ab_clock_system ());
  ab_link_load_init (&gateway->env.link, settings->link_mbps);
  ab_rng_init_system (&gateway->env.rng);
  rc = make_parts (gateway, error);
  if (rc < 0)
    ab_gateway_free (gateway);
  else
    *result = gateway;
  return rc;
}

void
ab_gateway_free (struct ab_gateway *gateway)
{
  if (!gateway)
    return;
  ab_gateway_flow_free_all (&gateway->env);
  if (gateway->callers)
    evhttp_free (gateway->callers);
  if (gateway->ready)
    evhttp_free (gateway->ready);
  if (gateway->addresses)
    evhttp_free (gateway->addresses);
  ab_caller_conns_free (gateway->env.conns);
  ab_upstream_free (gateway->env.upstream);
  ab_schedule_task_free (gateway->env.schedule);
  ab_gateway_crashes_free (gateway->env.crashes);
  ab_team_tokens_free (gateway->env.tokens);
  ab_fleet_view_free (gateway->env.view);
  free (gateway);
}

bool
ab_gateway_stop (struct ab_gateway *gateway, uint64_t stopping_ms)
{
  uint64_t limit = gateway->settings->stop_time_ms;

  if (!gateway->stop_began_ms)
    {
      gateway->stop_began_ms = ab_clock_monotonic_ms (ab_clock_system ());
      gateway->env.stopping = true;
      gateway->env.end_ms = gateway->stop_began_ms
                            + (uint64_t)(STOP_END_SHARE * (double)limit);
      gateway->env.admit_until_ms
          = gateway->stop_began_ms
            + (uint64_t)(STOP_ADMIT_SHARE * (double)limit);
      ab_fleet_view_set_stage (gateway->env.view, AB_FLEET_STOPPING);
      ab_caller_conns_drain (gateway->env.conns, true);
    }
  if (gateway->listening
      && (double)stopping_ms > STOP_ADMIT_SHARE * (double)limit)
    {
      ab_caller_conns_close_listener (gateway->env.conns);
      gateway->listening = false;
    }
  if ((double)stopping_ms > STOP_REJECT_SHARE * (double)limit)
    ab_gateway_flow_reject_waiting (&gateway->env);
  if ((double)stopping_ms > STOP_END_SHARE * (double)limit)
    return true;
  return !gateway->listening && gateway->env.flow_count == 0
         && ab_caller_conns_writing (gateway->env.conns) == 0
         && ab_caller_conns_count (gateway->env.conns) == 0;
}

json_t *
ab_gateway_state (const struct ab_gateway *gateway)
{
  return json_pack (
      "{s:I, s:I, s:b, s:o, s:o, s:o, s:o}", "requests",
      (json_int_t)gateway->env.flow_count, "connections",
      (json_int_t)ab_caller_conns_count (gateway->env.conns), "ready",
      is_ready (gateway), "view", ab_fleet_view_state (gateway->env.view),
      "schedule", ab_schedule_task_state (gateway->env.schedule), "quarantine",
      ab_gateway_crashes_state (gateway->env.crashes), "team_limits",
      ab_team_tokens_state (gateway->env.tokens));
}
