#include "stop_task.h"

#include <event2/event.h>
#include <stdlib.h>

#include "clock.h"
#include "control_client.h"
#include "control_task.h"
#include "error.h"
#include "log.h"
#include "member_task.h"
#include "proxy_task.h"

#define STOP_POLL_MS 50
/* Time between the end of the stop and the exit, in which the last messages
   about this host's departure are sent.  */
#define STOP_FLUSH_MS 200

enum stop_phase
{
  STOP_RUNNING,
  STOP_DRAINING, /* A drain by an operator, without a stop.  */
  STOP_HOLDING,  /* Callers may still use an address list with this host.  */
  STOP_FINISHING /* Only requests in flight and records are left.  */
};

struct ab_stop_task
{
  struct ab_daemon *daemon;
  struct event *poll;
  enum stop_phase phase;
  uint64_t hold_until_ms;
  unsigned signals;
};

static const char *const phase_names[]
    = { "running", "draining", "holding", "finishing" };

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static size_t
requests_in_flight (const struct ab_daemon *daemon)
{
  return daemon->proxy ? ab_proxy_task_in_flight (daemon->proxy) : 0;
}

static size_t
unconfirmed_records (const struct ab_daemon *daemon)
{
  return daemon->control_client
             ? ab_control_client_unconfirmed (daemon->control_client)
             : 0;
}

static bool
may_finish (const struct ab_stop_task *task)
{
  const struct ab_daemon *daemon = task->daemon;

  if (requests_in_flight (daemon) > 0 || unconfirmed_records (daemon) > 0)
    return false;
  return !daemon->control
         || !ab_control_task_needed_for_quorum (daemon->control);
}

static void
arm_poll_timer (struct ab_stop_task *task, uint64_t delay_ms)
{
  struct timeval tv = { .tv_sec = (time_t)(delay_ms / 1000),
                        .tv_usec = (suseconds_t)(delay_ms % 1000) * 1000 };

  event_add (task->poll, &tv);
}

static void
leave_loop (struct ab_daemon *daemon)
{
  struct timeval flush_time = { .tv_usec = STOP_FLUSH_MS * 1000 };

  AB_LOG (AB_LOG_INFO, "stopped");
  event_base_loopexit (daemon->base, &flush_time);
}

static void
on_poll (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_stop_task *task = ctx;

  (void)fd;
  (void)events;
  if (task->phase == STOP_HOLDING && now_ms () >= task->hold_until_ms)
    task->phase = STOP_FINISHING;
  if (task->phase == STOP_FINISHING && may_finish (task))
    leave_loop (task->daemon);
  else
    arm_poll_timer (task, STOP_POLL_MS);
}

int
ab_stop_task_new (struct ab_daemon *daemon, struct ab_stop_task **task)
{
  struct ab_stop_task *result = calloc (1, sizeof *result);

  *task = NULL;
  if (!result)
    return AB_ERR_MEMORY;
  result->daemon = daemon;
  result->poll = event_new (daemon->base, -1, 0, on_poll, result);
  if (!result->poll)
    {
      free (result);
      return AB_ERR_MEMORY;
    }
  *task = result;
  return 0;
}

void
ab_stop_task_free (struct ab_stop_task *task)
{
  if (!task)
    return;
  event_free (task->poll);
  free (task);
}

static void
start_drain (struct ab_daemon *daemon)
{
  ab_member_task_leave (daemon->member);
  if (daemon->proxy)
    ab_proxy_task_drain (daemon->proxy);
}

void
ab_stop_task_drain (struct ab_stop_task *task)
{
  if (task->phase != STOP_RUNNING)
    return;
  task->phase = STOP_DRAINING;
  AB_LOG (AB_LOG_INFO, "drain_started");
  start_drain (task->daemon);
}

int
ab_stop_task_undrain (struct ab_stop_task *task)
{
  if (task->phase > STOP_DRAINING)
    return AB_ERR_BUSY;
  if (task->phase == STOP_RUNNING)
    return 0;
  task->phase = STOP_RUNNING;
  ab_member_task_rejoin (task->daemon->member);
  if (task->daemon->proxy)
    ab_proxy_task_undrain (task->daemon->proxy);
  AB_LOG (AB_LOG_INFO, "drain_ended");
  return 0;
}

void
ab_stop_task_stop (struct ab_stop_task *task)
{
  const struct ab_settings *settings = task->daemon->settings;
  uint64_t hold_ms = 0;

  if (task->phase >= STOP_HOLDING)
    return;
  if (settings->role == AB_ROLE_ENTRY)
    hold_ms = settings->address_ttl_ms + settings->drain_margin_ms;
  if (task->phase == STOP_RUNNING)
    start_drain (task->daemon);
  task->phase = STOP_HOLDING;
  task->hold_until_ms = now_ms () + hold_ms;
  AB_LOG (
      AB_LOG_INFO, "stop_started", ab_log_int ("hold_ms", (int64_t)hold_ms),
      ab_log_int ("in_flight", (int64_t)requests_in_flight (task->daemon)));
  arm_poll_timer (task, STOP_POLL_MS);
}

static void
log_unfinished_work (const struct ab_stop_task *task)
{
  const struct ab_daemon *daemon = task->daemon;
  bool needed
      = daemon->control && ab_control_task_needed_for_quorum (daemon->control);

  AB_LOG (AB_LOG_WARN, "stop_would_cut",
          ab_log_str ("phase", phase_names[task->phase]),
          ab_log_int ("requests", (int64_t)requests_in_flight (daemon)),
          ab_log_int ("unconfirmed_records",
                      (int64_t)unconfirmed_records (daemon)),
          ab_log_str ("control_majority", needed ? "lost" : "kept"),
          ab_log_str ("hint", "send the signal again to stop at once"));
}

void
ab_stop_task_signal (struct ab_stop_task *task)
{
  task->signals++;
  if (task->signals == 1)
    ab_stop_task_stop (task);
  else if (task->signals == 2)
    log_unfinished_work (task);
  else
    {
      AB_LOG (
          AB_LOG_WARN, "stop_forced",
          ab_log_int ("requests", (int64_t)requests_in_flight (task->daemon)));
      event_base_loopbreak (task->daemon->base);
    }
}

bool
ab_stop_task_draining (const struct ab_stop_task *task)
{
  return task->phase != STOP_RUNNING;
}

json_t *
ab_stop_task_state (const struct ab_stop_task *task)
{
  uint64_t now = now_ms ();
  uint64_t left = task->phase == STOP_HOLDING && task->hold_until_ms > now
                      ? task->hold_until_ms - now
                      : 0;

  return json_pack ("{s:s, s:I, s:I, s:I}", "phase", phase_names[task->phase],
                    "hold_left_ms", (json_int_t)left, "requests_in_flight",
                    (json_int_t)requests_in_flight (task->daemon),
                    "unconfirmed_records",
                    (json_int_t)unconfirmed_records (task->daemon));
}
