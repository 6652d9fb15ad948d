#include "daemon_run.h"

#include <event2/event.h>
#include <signal.h>
#include <stdio.h>

#include "admin_task.h"
#include "bundle_task.h"
#include "clock.h"
#include "control_client.h"
#include "control_task.h"
#include "conn_bounds_task.h"
#include "daemon.h"
#include "dispatch_task.h"
#include "error.h"
#include "limit_task.h"
#include "log.h"
#include "member_task.h"
#include "peer_task.h"
#include "process_limit.h"
#include "proxy_task.h"
#include "stop_task.h"

#define READY_POLL_MS 100
/* A host that knows no target accepts callers after this time, so that callers
   of an empty service get the response that there is no target, instead of
   finding no host at all.  */
#define READY_WITHOUT_TARGETS_MS 5000

static const int handled_signals[]
    = { SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGPIPE, SIGXFSZ };

#define HANDLED_SIGNALS (sizeof handled_signals / sizeof handled_signals[0])

struct runner
{
  struct ab_daemon daemon;
  struct event *signals[HANDLED_SIGNALS];
  struct event *ready_poll;
  uint64_t started_ms;
};

/* Reopens the log file, after log rotation, and reloads the certificate.  */
static void
reload (struct ab_daemon *daemon)
{
  char error[AB_CONF_ERROR_BYTES] = "";

  if (ab_log_reopen () < 0)
    AB_LOG (AB_LOG_ERROR, "log_reopen_failed");
  if (daemon->proxy && ab_proxy_task_reload (daemon->proxy, error) < 0)
    AB_LOG (AB_LOG_ERROR, "certificate_reload_failed",
            ab_log_str ("error", error));
}

static void
on_signal (evutil_socket_t number, short events, void *ctx)
{
  struct runner *runner = ctx;

  (void)events;
  switch (number)
    {
    case SIGTERM:
    case SIGINT:
      ab_stop_task_signal (runner->daemon.stop);
      break;
    case SIGHUP:
      reload (&runner->daemon);
      break;
    case SIGUSR1:
      ab_admin_log_state (&runner->daemon);
      break;
    default:
      break;
    }
}

static bool
found_target (void *ctx, const struct ab_target_view *target)
{
  (void)target;
  *(bool *)ctx = true;
  return false;
}

/* Marks this entry host as ready for callers once it has the accepted bundle
   and knows a target, or READY_WITHOUT_TARGETS_MS after its start.  */
static void
on_ready_poll (evutil_socket_t fd, short events, void *ctx)
{
  struct runner *runner = ctx;
  struct ab_daemon *daemon = &runner->daemon;
  uint64_t up_ms
      = ab_clock_monotonic_ms (ab_clock_system ()) - runner->started_ms;
  bool has_targets = false;

  (void)fd;
  (void)events;
  if (!ab_bundle_task_current (daemon->bundle))
    return;
  ab_member_task_visit_targets (daemon->member, found_target, &has_targets);
  if (!has_targets && up_ms < READY_WITHOUT_TARGETS_MS)
    return;
  AB_LOG (AB_LOG_INFO, "host_ready", ab_log_int ("after_ms", (int64_t)up_ms));
  ab_member_task_set_ready (daemon->member, true);
  event_del (runner->ready_poll);
}

static int
add_events (struct runner *runner)
{
  const struct timeval poll = { .tv_usec = READY_POLL_MS * 1000 };
  struct event_base *base = runner->daemon.base;

  for (size_t i = 0; i < HANDLED_SIGNALS; i++)
    {
      runner->signals[i]
          = evsignal_new (base, handled_signals[i], on_signal, runner);
      if (!runner->signals[i] || event_add (runner->signals[i], NULL) < 0)
        return AB_ERR_MEMORY;
    }
  runner->ready_poll = event_new (base, -1, EV_PERSIST, on_ready_poll, runner);
  if (!runner->ready_poll)
    return AB_ERR_MEMORY;
  if (runner->daemon.settings->role == AB_ROLE_ENTRY)
    event_add (runner->ready_poll, &poll);
  return 0;
}

static int
start_entry_tasks (struct ab_daemon *d, char error[AB_CONF_ERROR_BYTES])
{
  int rc = ab_dispatch_task_new (d, &d->dispatch);

  if (rc == 0)
    rc = ab_limit_task_new (d, &d->limit);
  if (rc == 0)
    rc = ab_proxy_task_new (d, &d->proxy, error);
  return rc;
}

static int
start_tasks (struct ab_daemon *d, char error[AB_CONF_ERROR_BYTES])
{
  int rc = ab_conn_bounds_new (d, &d->conn_bounds);

  if (rc == 0)
    rc = ab_peer_task_new (d, &d->peer, error);

  if (rc == 0)
    rc = ab_member_task_new (d, &d->member);
  if (rc == 0)
    rc = ab_bundle_task_new (d, &d->bundle, error);
  if (rc == 0)
    rc = ab_control_client_new (d, &d->control_client);
  if (rc == 0 && d->settings->role == AB_ROLE_CONTROL)
    rc = ab_control_task_new (d, &d->control, error);
  if (rc == 0 && d->settings->role == AB_ROLE_ENTRY)
    rc = start_entry_tasks (d, error);
  if (rc == 0)
    rc = ab_stop_task_new (d, &d->stop);
  if (rc == 0)
    rc = ab_admin_task_new (d, &d->admin, error);
  return rc;
}

/* Frees the tasks in the reverse order of start_tasks, because later tasks use
   earlier ones.  */
static void
free_tasks (struct ab_daemon *d)
{
  ab_admin_task_free (d->admin);
  ab_stop_task_free (d->stop);
  ab_proxy_task_free (d->proxy);
  ab_limit_task_free (d->limit);
  ab_dispatch_task_free (d->dispatch);
  ab_control_task_free (d->control);
  ab_control_client_free (d->control_client);
  ab_bundle_task_free (d->bundle);
  ab_member_task_free (d->member);
  ab_conn_bounds_free (d->conn_bounds);
  ab_peer_task_free (d->peer);
}

static void
free_runner (struct runner *runner)
{
  free_tasks (&runner->daemon);
  for (size_t i = 0; i < HANDLED_SIGNALS; i++)
    if (runner->signals[i])
      event_free (runner->signals[i]);
  if (runner->ready_poll)
    event_free (runner->ready_poll);
  ab_explain_free (runner->daemon.explain);
  ab_counters_free (runner->daemon.counters);
  if (runner->daemon.base)
    event_base_free (runner->daemon.base);
}

int
ab_daemon_run (const struct ab_settings *settings,
               char error[AB_CONF_ERROR_BYTES])
{
  struct runner runner = {
    .daemon = { .settings = settings,
                .incarnation = ab_clock_wall_ms (ab_clock_system ()) },
    .started_ms = ab_clock_monotonic_ms (ab_clock_system ()),
  };
  struct ab_daemon *daemon = &runner.daemon;
  int rc = AB_ERR_MEMORY;

  ab_raise_descriptor_limit ();
  daemon->base = event_base_new ();
  daemon->counters = ab_counters_new ();
  daemon->explain = ab_explain_new ();
  if (!daemon->base || !daemon->counters || !daemon->explain)
    goto out;
  rc = start_tasks (daemon, error);
  if (rc < 0)
    goto out;
  rc = add_events (&runner);
  if (rc < 0)
    goto out;
  AB_LOG (AB_LOG_INFO, "started",
          ab_log_str ("role", ab_role_name (settings->role)),
          ab_log_str ("version", AB_VERSION),
          ab_log_int ("incarnation", (int64_t)daemon->incarnation));
  rc = event_base_dispatch (daemon->base) < 0 ? AB_ERR_IO : 0;
out:
  free_runner (&runner);
  return rc;
}
