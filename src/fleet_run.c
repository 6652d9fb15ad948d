#include "fleet_run.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "conn_bounds_task.h"
#include "daemon.h"
#include "error.h"
#include "fleet_control_task.h"
#include "gateway_task.h"
#include "log.h"
#include "peer_task.h"
#include "process_limit.h"

#define STOP_POLL_MS 50

static const int handled_signals[]
    = { SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGPIPE, SIGXFSZ };

#define HANDLED_SIGNALS (sizeof handled_signals / sizeof handled_signals[0])

struct runner
{
  struct ab_daemon daemon;
  struct ab_fleet_settings *settings;
  const char *path;
  struct ab_gateway *gateway;
  struct ab_fleet_control *control;
  struct evhttp *metrics;
  struct event *signals[HANDLED_SIGNALS];
  struct event *stop_poll;
  uint64_t stop_ms;
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static json_t *
dump_state (const struct runner *runner)
{
  json_t *state = runner->gateway ? ab_gateway_state (runner->gateway)
                                  : ab_fleet_control_state (runner->control);

  json_object_set_new (state, "host", json_string (runner->settings->name));
  json_object_set_new (
      state, "role",
      json_string (ab_fleet_role_name (runner->settings->role)));
  json_object_set_new (state, "peer_keys", json_string ("none"));
  json_object_set_new (state, "peers",
                       ab_peer_task_state (runner->daemon.peer));
  return state;
}

/* Graceful shutdown.  */

static void
on_stop_poll (evutil_socket_t fd, short events, void *ctx)
{
  struct runner *runner = ctx;
  uint64_t elapsed_ms = now_ms () - runner->stop_ms;
  bool done;

  (void)fd;
  (void)events;
  done = runner->gateway ? ab_gateway_stop (runner->gateway, elapsed_ms)
                         : ab_fleet_control_stop (runner->control);
  if (!done)
    return;
  AB_LOG (AB_LOG_INFO, "stopped",
          ab_log_int ("after_ms", (int64_t)elapsed_ms));
  event_base_loopbreak (runner->daemon.base);
}

static void
begin_stop (struct runner *runner)
{
  const struct timeval poll = { .tv_usec = STOP_POLL_MS * 1000 };

  if (runner->stop_ms)
    return;
  runner->stop_ms = now_ms ();
  AB_LOG (AB_LOG_INFO, "stopping",
          ab_log_int ("limit_ms", (int64_t)runner->settings->stop_time_ms));
  event_add (runner->stop_poll, &poll);
  on_stop_poll (-1, 0, runner);
}

/* Checks the settings file, so that errors are reported before the next start.
   The settings of this process do not change: everything that can change at
   run time is in the bundle.  */
static void
reload (const struct runner *runner)
{
  struct ab_fleet_settings *settings;
  char error[AB_CONF_ERROR_BYTES];
  int rc = ab_fleet_settings_load (runner->path, &settings, error);

  if (rc < 0)
    AB_LOG (AB_LOG_ERROR, "reload_failed", ab_log_str ("error", error));
  else
    AB_LOG (AB_LOG_INFO, "reloaded",
            ab_log_str ("effect", "applied at the next start"));
  ab_fleet_settings_free (settings);
}

static void
on_signal (evutil_socket_t number, short events, void *ctx)
{
  struct runner *runner = ctx;
  json_t *state;
  char *text;

  (void)events;
  switch (number)
    {
    case SIGTERM:
    case SIGINT:
      begin_stop (runner);
      break;
    case SIGHUP:
      reload (runner);
      break;
    case SIGUSR1:
      state = dump_state (runner);
      text = json_dumps (state, JSON_COMPACT);
      AB_LOG (AB_LOG_INFO, "state", ab_log_str ("state", text ? text : ""));
      free (text);
      json_decref (state);
      break;
    default:
      break;
    }
}

/* Metrics.  */

static void
on_metrics (struct evhttp_request *req, void *arg)
{
  struct runner *runner = arg;
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (req));
  struct ab_buf text = AB_BUF_INIT;
  struct evbuffer *body = evbuffer_new ();
  json_t *state;
  char *dump;

  *ab_counter (runner->daemon.counters, "ab_log_dropped_total")
      = ab_log_dropped ();
  if (path && strcmp (path, "/state") == 0)
    {
      state = dump_state (runner);
      dump = json_dumps (state, JSON_INDENT (1));
      if (dump)
        ab_buf_append_str (&text, dump);
      free (dump);
      json_decref (state);
    }
  else
    ab_counters_print (runner->daemon.counters, &text);
  if (body && text.len > 0)
    evbuffer_add (body, text.data, text.len);
  evhttp_add_header (evhttp_request_get_output_headers (req), "Content-Type",
                     "text/plain");
  evhttp_send_reply (req, 200, NULL, body);
  if (body)
    evbuffer_free (body);
  ab_buf_free (&text);
}

static int
listen_metrics (struct runner *runner, char error[AB_CONF_ERROR_BYTES])
{
  const char *address = runner->settings->listen.metrics;

  if (!address[0])
    return 0;
  runner->metrics = evhttp_new (runner->daemon.base);
  if (!runner->metrics)
    return AB_ERR_MEMORY;
  ab_conn_bounds_limit_requests (runner->metrics);
  evhttp_set_gencb (runner->metrics, on_metrics, runner);
  if (ab_conn_bounds_listen (runner->daemon.conn_bounds, runner->metrics,
                             address)
      == 0)
    return 0;
  snprintf (error, AB_CONF_ERROR_BYTES, "cannot listen on %s", address);
  return AB_ERR_IO;
}

/* Set-up and tear-down.  */

static int
add_events (struct runner *runner)
{
  struct event_base *base = runner->daemon.base;

  for (size_t i = 0; i < HANDLED_SIGNALS; i++)
    {
      runner->signals[i]
          = evsignal_new (base, handled_signals[i], on_signal, runner);
      if (!runner->signals[i] || event_add (runner->signals[i], NULL) < 0)
        return AB_ERR_MEMORY;
    }
  runner->stop_poll = event_new (base, -1, EV_PERSIST, on_stop_poll, runner);
  return runner->stop_poll ? 0 : AB_ERR_MEMORY;
}

static int
start_tasks (struct runner *runner, char error[AB_CONF_ERROR_BYTES])
{
  struct ab_daemon *daemon = &runner->daemon;
  int rc = ab_conn_bounds_new (daemon, &daemon->conn_bounds);

  if (rc == 0)
    rc = ab_peer_task_new (daemon, &daemon->peer, error);
  if (rc == 0 && runner->settings->role == AB_FLEET_CONTROL)
    rc = ab_fleet_control_new (daemon, runner->settings, &runner->control,
                               error);
  if (rc == 0 && runner->settings->role == AB_FLEET_GATEWAY)
    rc = ab_gateway_new (daemon, runner->settings, &runner->gateway, error);
  if (rc == 0)
    rc = listen_metrics (runner, error);
  return rc;
}

static void
free_runner (struct runner *runner)
{
  if (runner->metrics)
    evhttp_free (runner->metrics);
  ab_gateway_free (runner->gateway);
  ab_fleet_control_free (runner->control);
  ab_conn_bounds_free (runner->daemon.conn_bounds);
  ab_peer_task_free (runner->daemon.peer);
  for (size_t i = 0; i < HANDLED_SIGNALS; i++)
    if (runner->signals[i])
      event_free (runner->signals[i]);
  if (runner->stop_poll)
    event_free (runner->stop_poll);
  ab_counters_free (runner->daemon.counters);
  if (runner->daemon.base)
    event_base_free (runner->daemon.base);
}

int
ab_fleet_run (struct ab_fleet_settings *settings, const char *path,
              char error[AB_CONF_ERROR_BYTES])
{
  struct runner runner = {
    .daemon = { .settings = &settings->base,
                .incarnation = ab_clock_wall_ms (ab_clock_system ()) },
    .settings = settings,
    .path = path,
  };
  int rc = AB_ERR_MEMORY;

  error[0] = '\0';
  ab_raise_descriptor_limit ();
  runner.daemon.base = event_base_new ();
  runner.daemon.counters = ab_counters_new ();
  if (!runner.daemon.base || !runner.daemon.counters)
    goto out;
  /* Signal handlers are installed first: a signal that arrives while the tasks
     start is handled once they run.  */
  rc = add_events (&runner);
  if (rc == 0)
    rc = start_tasks (&runner, error);
  if (rc < 0)
    goto out;
  AB_LOG (AB_LOG_INFO, "started",
          ab_log_str ("role", ab_fleet_role_name (settings->role)),
          ab_log_str ("version", AB_VERSION),
          ab_log_int ("incarnation", (int64_t)runner.daemon.incarnation));
  rc = event_base_dispatch (runner.daemon.base) < 0 ? AB_ERR_IO : 0;
out:
  free_runner (&runner);
  return rc;
}
