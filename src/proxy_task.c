#include "proxy_task.h"

#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <stdio.h>
#include <stdlib.h>

#include "caller_conns_task.h"
#include "crash_member_task.h"
#include "error.h"
#include "log.h"
#include "member_task.h"
#include "proxy_tls.h"
#include "request_flow_task.h"
#include "upstream_task.h"

#define BACKLOG 1024
#define METHODS                                                               \
  (EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST | EVHTTP_REQ_PUT        \
   | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH)

struct ab_proxy_task
{
  struct ab_daemon *daemon;
  struct evhttp *http;
  struct evhttp_bound_socket *bound;
  struct ab_crash_member *crashes;
  struct ab_flow_env env;
};

static void
on_request (struct evhttp_request *req, void *arg)
{
  struct ab_proxy_task *task = arg;

  if (!ab_member_task_serve_http (task->daemon->member, req))
    ab_flow_start (&task->env, req);
}

static int
bind_listener (struct ab_proxy_task *task, char error[AB_CONF_ERROR_BYTES])
{
  const char *address = task->daemon->settings->listen.callers;
  struct evconnlistener *listener = NULL;
  struct sockaddr_storage at;
  int len = sizeof at;

  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)&at, &len) == 0)
    listener = evconnlistener_new_bind (
        task->daemon->base, NULL, NULL,
        LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_CLOSE_ON_FREE,
        BACKLOG, (struct sockaddr *)&at, len);
  if (listener)
    task->bound = evhttp_bind_listener (task->http, listener);
  if (task->bound)
    return 0;
  if (listener)
    evconnlistener_free (listener);
  snprintf (error, AB_CONF_ERROR_BYTES, "cannot listen for callers on %s",
            address);
  return AB_ERR_IO;
}

static void
configure_http (struct ab_proxy_task *task)
{
  const struct ab_http_settings *settings = &task->daemon->settings->http;
  struct timeval timeout
      = { .tv_sec = (time_t)(settings->idle_time_ms / 1000),
          .tv_usec = (suseconds_t)(settings->idle_time_ms % 1000 * 1000) };

  evhttp_set_allowed_methods (task->http, METHODS);
  evhttp_set_max_headers_size (task->http, (ev_ssize_t)settings->header_bytes);
  evhttp_set_max_body_size (task->http, (ev_ssize_t)settings->body_bytes);
  evhttp_set_timeout_tv (task->http, &timeout);
  evhttp_set_default_content_type (task->http, NULL);
}

static int
load_tls (struct ab_proxy_task *task, char error[AB_CONF_ERROR_BYTES])
{
  const struct ab_http_settings *settings = &task->daemon->settings->http;
  SSL_CTX *ctx;
  int rc;

  if (!settings->certificate_file[0])
    return 0;
  rc = ab_proxy_tls_load (settings->certificate_file, settings->key_file, &ctx,
                          error);
  if (rc == 0)
    ab_caller_conns_set_tls (task->env.conns, ctx);
  return rc;
}

static int
make_parts (struct ab_proxy_task *task)
{
  const struct ab_http_settings *settings = &task->daemon->settings->http;
  struct ab_flow_env *env = &task->env;
  int rc = ab_caller_conns_new (task->daemon, task->http, task->bound,
                                &env->conns);

  if (rc == 0)
    rc = ab_upstream_new (task->daemon, settings->body_bytes,
                          settings->header_bytes, &env->upstream);
  if (rc == 0)
    rc = ab_crash_member_new (task->daemon, &task->crashes);
  if (rc == 0)
    {
      env->crash_watch = ab_crash_member_watch (task->crashes);
      rc = ab_member_task_bind_http (task->daemon->member, task->http);
    }
  return rc;
}

int
ab_proxy_task_new (struct ab_daemon *daemon, struct ab_proxy_task **task,
                   char error[AB_CONF_ERROR_BYTES])
{
  struct ab_proxy_task *result = calloc (1, sizeof *result);
  int rc = AB_ERR_MEMORY;

  *task = NULL;
  if (!result)
    return rc;
  result->daemon = daemon;
  result->env.daemon = daemon;
  ab_rng_init_system (&result->env.rng);
  ab_retry_budget_init (&result->env.retry_budget, 0,
                        ab_clock_monotonic_ms (ab_clock_system ()));
  result->http = evhttp_new (daemon->base);
  if (!result->http)
    goto out;
  configure_http (result);
  rc = bind_listener (result, error);
  if (rc == 0)
    rc = make_parts (result);
  if (rc == 0)
    rc = load_tls (result, error);
  if (rc < 0)
    goto out;
  evhttp_set_gencb (result->http, on_request, result);
  *task = result;
  result = NULL;
out:
  ab_proxy_task_free (result);
  return rc;
}

void
ab_proxy_task_free (struct ab_proxy_task *task)
{
  if (!task)
    return;
  ab_flow_free_all (&task->env);
  if (task->http)
    evhttp_free (task->http);
  ab_crash_member_free (task->crashes);
  ab_upstream_free (task->env.upstream);
  ab_caller_conns_free (task->env.conns);
  free (task);
}

void
ab_proxy_task_drain (struct ab_proxy_task *task)
{
  task->env.draining = true;
  ab_caller_conns_drain (task->env.conns, true);
}

void
ab_proxy_task_undrain (struct ab_proxy_task *task)
{
  task->env.draining = false;
  ab_caller_conns_drain (task->env.conns, false);
}

int
ab_proxy_task_reload (struct ab_proxy_task *task,
                      char error[AB_CONF_ERROR_BYTES])
{
  return load_tls (task, error);
}

size_t
ab_proxy_task_in_flight (const struct ab_proxy_task *task)
{
  return task->env.flow_count + ab_caller_conns_writing (task->env.conns);
}

json_t *
ab_proxy_task_state (const struct ab_proxy_task *task)
{
  const struct ab_flow_env *env = &task->env;

  return json_pack (
      "{s:o, s:I, s:I, s:b, s:o, s:o}", "requests", ab_flow_state (env),
      "caller_connections", (json_int_t)ab_caller_conns_count (env->conns),
      "unwritten_replies", (json_int_t)ab_caller_conns_writing (env->conns),
      "draining", env->draining, "targets", ab_upstream_state (env->upstream),
      "crashes", ab_crash_watch_state (env->crash_watch));
}
