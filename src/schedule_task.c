#include "schedule_task.h"

#include <event2/event.h>
#include <stdlib.h>
#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "log.h"
#include "peer_task.h"
#include "schedule_areas.h"
#include "schedule_frame.h"
#include "schedule_hosts.h"

/* While a request waits, its scheduler is asked again this often; one that
   does not answer any more has lost it.  */
#define POLL_MS 300
/* Areas that one request is offered to.  */
#define AREAS_ASKED 5
/* Of them, in other regions.  */
#define FAR_AREAS 2

/* Where a call stands.  */
enum stage
{
  STAGE_HOME,  /* Asks the own region's scheduler.  */
  STAGE_AWAY,  /* Asks the other regions'.  */
  STAGE_RETURN /* Waits at home, as there is no room elsewhere.  */
};

struct ab_schedule_call
{
  struct ab_schedule_call *prev;
  struct ab_schedule_call *next;
  struct ab_schedule_task *task;
  struct ab_sched_ask ask;
  enum stage stage;
  unsigned home_tries; /* Hosts of the own region that did not answer.  */
  size_t away;         /* The next other area.  */
  struct ab_area areas[AREAS_ASKED]; /* The own one first.  */
  size_t area_count;
  bool home_has_room; /* The own region can serve it later.  */
  bool waiting;
  enum ab_sched_kind refusal;
  uint64_t wait_ms;
  uint64_t asked_ms;
  uint64_t started_ms;
  uint64_t objective_ms; /* At the start.  */
  uint64_t time_ms;
  char host[AB_ADDRESS_BYTES]; /* Asked now.  */
  bool far;                    /* It is in another region.  */
  struct event *timer;
  ab_schedule_callback callback;
  void *ctx;
};

struct ab_schedule_task
{
  struct ab_daemon *daemon;
  const struct ab_fleet_settings *settings;
  const struct ab_fleet_view *view;
  struct ab_scheduler *scheduler;
  struct ab_rng rng;
  struct event *tick;
  struct ab_schedule_call *calls;
  uint64_t next_id;
  struct ab_areas *areas;
  struct ab_schedule_hosts *hosts;
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

const char *
ab_sched_kind_name (enum ab_sched_kind kind)
{
  static const char *const names[]
      = { "granted", "waiting", "move", "full", "none", "budget" };

  return names[kind];
}

/* The host that schedules SERVICE in AREA; null when there is none.  */
static const char *
scheduler_host (const struct ab_schedule_task *task,
                const struct ab_area *area, const char *service)
{
  const struct ab_fleet_host *hosts;
  size_t count = ab_fleet_view_hosts (task->view, &hosts);

  return ab_schedule_hosts_choose (task->hosts, hosts, count, area, service,
                                   now_ms ());
}

/* Messages.  */

static void
send_ask (struct ab_schedule_call *call)
{
  struct ab_buf body = AB_BUF_INIT;

  ab_sched_pack_ask (&body, &call->ask);
  if (!body.error)
    ab_peer_task_send (call->task->daemon->peer, ab_chunk_str (call->host),
                       AB_FRAME_SCHED_ASK, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static void
send_outcome (struct ab_schedule_task *task, const char *host, uint64_t id,
              enum ab_target_event event, uint64_t latency_ms)
{
  struct ab_buf body = AB_BUF_INIT;

  ab_sched_pack_outcome (&body, id, event, latency_ms);
  if (!body.error)
    ab_peer_task_send (task->daemon->peer, ab_chunk_str (host),
                       AB_FRAME_SCHED_OUTCOME, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static void
arm (struct ab_schedule_call *call, uint64_t after_ms)
{
  struct timeval tv = { .tv_sec = (time_t)(after_ms / 1000),
                        .tv_usec = (suseconds_t)(after_ms % 1000 * 1000) };

  evtimer_add (call->timer, &tv);
}

/* Calls.  */

static void
free_call (struct ab_schedule_call *call)
{
  DL_DELETE (call->task->calls, call);
  event_free (call->timer);
  free (call);
}

static void
end_call (struct ab_schedule_call *call, enum ab_sched_kind kind,
          const struct ab_schedule_grant *grant, uint64_t wait_ms)
{
  ab_schedule_callback callback = call->callback;
  void *ctx = call->ctx;

  free_call (call);
  callback (ctx, kind, grant, wait_ms);
}

static uint64_t
remaining (uint64_t time, uint64_t gone)
{
  return time > gone ? time - gone : 0;
}

/* Sends the ask, under a new number, to HOST, in another region if FAR.  */
static void
ask_host (struct ab_schedule_call *call, const char *host, bool far)
{
  uint64_t now = now_ms ();
  uint64_t gone = now - call->started_ms;

  call->ask.id = call->task->next_id++;
  call->ask.objective_ms = remaining (call->objective_ms, gone);
  call->ask.time_ms = remaining (call->time_ms, gone);
  call->ask.may_wait = call->stage != STAGE_AWAY;
  call->ask.may_move = call->stage == STAGE_HOME && call->area_count > 1;
  call->asked_ms = now;
  call->waiting = false;
  call->far = far;
  if (host != call->host)
    ab_chunk_copy (ab_chunk_str (host), call->host, sizeof call->host);
  ab_schedule_hosts_asked (call->task->hosts, call->host, now);
  send_ask (call);
  arm (call, ab_schedule_hosts_answer_ms (call->task->hosts, host, far, now));
}

static void next_host (struct ab_schedule_call *call);

/* Whether AREA is in the own region.  */
static bool
is_near (const struct ab_schedule_task *task, const struct ab_area *area)
{
  return strcmp (area->region, task->settings->base.region) == 0;
}

static void
ask_area (struct ab_schedule_call *call, const struct ab_area *area,
          const char *host)
{
  memcpy (call->ask.area, area->failure_domain, sizeof call->ask.area);
  ask_host (call, host, !is_near (call->task, area));
}

/* Asks in the own area, skipping hosts that did not answer; this host is the
   last resort.  */
static void
ask_home (struct ab_schedule_call *call)
{
  struct ab_schedule_task *task = call->task;
  const char *host = scheduler_host (task, &call->areas[0], call->ask.service);

  ask_area (call, &call->areas[0], host ? host : task->daemon->settings->host);
}

static void
ask_away (struct ab_schedule_call *call)
{
  struct ab_schedule_task *task = call->task;

  call->stage = STAGE_AWAY;
  while (call->away < call->area_count)
    {
      const struct ab_area *area = &call->areas[call->away++];
      const char *host = scheduler_host (task, area, call->ask.service);
      if (host
          && !ab_areas_is_full (task->areas, call->ask.service, area,
                                call->ask.idempotent, now_ms ()))
        {
          ask_area (call, area, host);
          return;
        }
    }
  if (!call->home_has_room)
    {
      end_call (call, call->refusal, NULL, call->wait_ms);
      return;
    }
  call->stage = STAGE_RETURN;
  ask_home (call);
}

/* Goes on after the host asked refused or did not answer.  */
static void
next_host (struct ab_schedule_call *call)
{
  if (call->stage == STAGE_RETURN)
    end_call (call, call->refusal, NULL, call->wait_ms);
  else
    ask_away (call);
}

/* The host asked does not answer.  */
static void
give_host_up (struct ab_schedule_call *call)
{
  struct ab_schedule_task *task = call->task;

  AB_LOG (AB_LOG_WARN, "scheduler_silent",
          ab_log_str ("scheduler", call->host),
          ab_log_str ("service", call->ask.service),
          ab_log_int ("after_ms", (int64_t)(now_ms () - call->asked_ms)));
  ++*ab_counter (task->daemon->counters, "ab_scheduler_silent_total");
  ab_schedule_hosts_silent (task->hosts, call->host, now_ms ());
  send_outcome (task, call->host, call->ask.id, AB_TARGET_UNUSED, 0);
  if (call->stage == STAGE_AWAY)
    next_host (call);
  else if (strcmp (call->host, task->daemon->settings->host) == 0)
    end_call (call, AB_SCHED_NONE, NULL, POLL_MS);
  else
    {
      call->home_tries++;
      if (call->home_tries > 2)
        ask_area (call, &call->areas[0], task->daemon->settings->host);
      else
        ask_home (call);
    }
}

static void
on_call_timer (evutil_socket_t fd, short events, void *arg)
{
  struct ab_schedule_call *call = arg;

  (void)fd;
  (void)events;
  if (!call->waiting)
    {
      give_host_up (call);
      return;
    }
  /* Asks whether the request still waits there.  */
  call->waiting = false;
  send_ask (call);
  arm (call, POLL_MS);
}

/* The scheduler's view of the fleet may be older than this host's, for
   instance when it is cut off from the control group: what is known here of a
   target that drains or has left binds this host.  Asks again, for another
   one.  */
static void
reject_grant (struct ab_schedule_call *call,
              const struct ab_sched_reply *reply)
{
  struct ab_schedule_task *task = call->task;
  struct ab_sched_ask *ask = &call->ask;

  AB_LOG (AB_LOG_INFO, "grant_rejected", ab_log_str ("target", reply->target),
          ab_log_str ("scheduler", call->host),
          ab_log_str ("reason", "not ready in this host's view"));
  ++*ab_counter (task->daemon->counters, "ab_grants_rejected_total");
  send_outcome (task, call->host, reply->id, AB_TARGET_UNUSED, 0);
  if (ask->tried_count < AB_SCHED_TRIED_MAX)
    {
      memcpy (ask->tried[ask->tried_count++], reply->target,
              sizeof ask->tried[0]);
      ask_host (call, call->host, call->far);
    }
  else
    {
      ab_schedule_hosts_silent (task->hosts, call->host, now_ms ());
      next_host (call);
    }
}

static void
take_grant (struct ab_schedule_call *call, const struct ab_sched_reply *reply)
{
  struct ab_schedule_grant grant = { .id = reply->id,
                                     .trust = reply->trust,
                                     .waited_ms = reply->waited_ms };

  memcpy (grant.scheduler, call->host, sizeof grant.scheduler);
  memcpy (grant.target, reply->target, sizeof grant.target);
  memcpy (grant.address, reply->address, sizeof grant.address);
  end_call (call, AB_SCHED_GRANTED, &grant, 0);
}

static void
take_refusal (struct ab_schedule_call *call,
              const struct ab_sched_reply *reply)
{
  if (call->stage == STAGE_HOME)
    {
      call->home_has_room = reply->kind == AB_SCHED_MOVE;
      call->refusal = reply->kind;
      call->wait_ms = reply->wait_ms;
    }
  else if (call->stage == STAGE_RETURN)
    {
      call->refusal = reply->kind;
      call->wait_ms = reply->wait_ms;
    }
  else
    {
      ab_areas_note_full (call->task->areas, call->ask.service,
                          &call->areas[call->away - 1], call->ask.idempotent,
                          reply->wait_ms, now_ms ());
      if (reply->wait_ms < call->wait_ms)
        call->wait_ms = reply->wait_ms;
    }
  if (reply->kind == AB_SCHED_BUDGET)
    end_call (call, reply->kind, NULL, reply->wait_ms);
  else
    next_host (call);
}

static void
on_reply (void *ctx, const struct ab_frame *frame)
{
  struct ab_schedule_task *task = ctx;
  struct ab_schedule_call *call;
  struct ab_sched_reply reply;
  char sender[AB_ADDRESS_BYTES];

  if (ab_sched_read_reply (frame->body, &reply) < 0
      || !ab_chunk_copy (frame->sender, sender, sizeof sender))
    return;
  ab_schedule_hosts_heard (task->hosts, sender);
  DL_SEARCH_SCALAR (task->calls, call, ask.id, reply.id);
  if (!call)
    {
      /* The call has moved on or ended: the slot is not used.  */
      if (reply.kind == AB_SCHED_GRANTED)
        send_outcome (task, sender, reply.id, AB_TARGET_UNUSED, 0);
      return;
    }
  switch (reply.kind)
    {
    case AB_SCHED_GRANTED:
      if (ab_areas_target_ready (task->areas, reply.target))
        take_grant (call, &reply);
      else
        reject_grant (call, &reply);
      break;
    case AB_SCHED_WAITING:
      call->waiting = true;
      arm (call, POLL_MS);
      break;
    default:
      take_refusal (call, &reply);
    }
}

/* Lists the areas to ask: the own one, others of the region, and one or two of
   other regions, which differ from call to call so that they share the
   load.  */
static void
list_areas (struct ab_schedule_call *call)
{
  struct ab_schedule_task *task = call->task;
  struct ab_area all[AB_AREAS_MAX];
  size_t count
      = ab_areas_list (task->areas, call->ask.service,
                       task->settings->base.failure_domain, all, AB_AREAS_MAX);
  size_t near = 0;
  size_t far;

  while (near < count && is_near (task, &all[near]))
    near++;
  far = count - near;
  call->area_count
      = near < AREAS_ASKED - FAR_AREAS ? near : AREAS_ASKED - FAR_AREAS;
  memcpy (call->areas, all, call->area_count * sizeof *all);
  for (size_t i = 0; i < far && i < FAR_AREAS; i++)
    call->areas[call->area_count++] = all[near + (task->next_id + i) % far];
  if (call->area_count == 0)
    {
      memset (&call->areas[0], 0, sizeof call->areas[0]);
      memcpy (call->areas[0].region, task->settings->base.region,
              sizeof call->areas[0].region);
      call->area_count = 1;
    }
}

struct ab_schedule_call *
ab_schedule_ask (struct ab_schedule_task *task, const struct ab_sched_ask *ask,
                 ab_schedule_callback callback, void *ctx)
{
  struct ab_schedule_call *call = calloc (1, sizeof *call);

  if (!call)
    return NULL;
  call->timer = evtimer_new (task->daemon->base, on_call_timer, call);
  if (!call->timer)
    {
      free (call);
      return NULL;
    }
  call->task = task;
  call->ask = *ask;
  ab_chunk_copy (ab_chunk_str (task->daemon->settings->host), call->ask.host,
                 sizeof call->ask.host);
  memcpy (call->ask.failure_domain, task->settings->base.failure_domain,
          sizeof call->ask.failure_domain);
  call->objective_ms = ask->objective_ms;
  call->time_ms = ask->time_ms;
  list_areas (call);
  call->away = 1;
  call->refusal = AB_SCHED_NONE;
  call->wait_ms = POLL_MS;
  call->started_ms = now_ms ();
  call->callback = callback;
  call->ctx = ctx;
  DL_APPEND (task->calls, call);
  ask_home (call);
  return call;
}

void
ab_schedule_cancel (struct ab_schedule_call *call)
{
  send_outcome (call->task, call->host, call->ask.id, AB_TARGET_UNUSED, 0);
  free_call (call);
}

void
ab_schedule_outcome (struct ab_schedule_task *task,
                     const struct ab_schedule_grant *grant,
                     enum ab_target_event event, uint64_t latency_ms)
{
  send_outcome (task, grant->scheduler, grant->id, event, latency_ms);
}

/* The scheduler on this host.  */

static void
on_decision (void *ctx, const struct ab_sched_ask *ask,
             const struct ab_sched_reply *reply)
{
  struct ab_schedule_task *task = ctx;
  struct ab_buf body = AB_BUF_INIT;

  ab_sched_pack_reply (&body, reply);
  if (!body.error)
    ab_peer_task_answer (task->daemon->peer, ab_chunk_str (ask->host),
                         AB_FRAME_SCHED_REPLY, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

/* Each area of a service has a scheduler.  */
static size_t
count_schedulers (void *ctx, const char *service)
{
  const struct ab_schedule_task *task = ctx;
  struct ab_area areas[AB_AREAS_MAX];

  return ab_areas_list (task->areas, service,
                        task->settings->base.failure_domain, areas,
                        AB_AREAS_MAX);
}

static const struct ab_scheduler_ops scheduler_ops
    = { .decide = on_decision, .sharers = count_schedulers };

/* Whether ASK comes from this host and another one schedules its area.  */
static bool
is_last_resort (const struct ab_schedule_task *task,
                const struct ab_sched_ask *ask)
{
  const char *own = task->daemon->settings->host;
  struct ab_area area = { 0 };
  const char *host;

  if (strcmp (ask->host, own) != 0)
    return false;
  memcpy (area.region, task->settings->base.region, sizeof area.region);
  memcpy (area.failure_domain, ask->area, sizeof area.failure_domain);
  host = scheduler_host (task, &area, ask->service);
  return !host || strcmp (host, own) != 0;
}

static void
on_ask (void *ctx, const struct ab_frame *frame)
{
  struct ab_schedule_task *task = ctx;
  struct ab_sched_ask ask;

  if (ab_sched_read_ask (frame->body, &ask) < 0
      || !ab_chunk_copy (frame->sender, ask.host, sizeof ask.host))
    return;
  /* A host that is not in the view yet must get its answer too.  */
  if (strcmp (ask.host, task->daemon->settings->host) != 0)
    ab_peer_task_set_address (task->daemon->peer, ab_chunk_str (ask.host),
                              ask.host);
  ask.last_resort = is_last_resort (task, &ask);
  ab_scheduler_ask (task->scheduler, &ask, now_ms ());
}

static void
on_outcome (void *ctx, const struct ab_frame *frame)
{
  struct ab_schedule_task *task = ctx;
  enum ab_target_event event;
  uint64_t latency_ms;
  uint64_t id;

  if (ab_sched_read_outcome (frame->body, &id, &event, &latency_ms) == 0)
    ab_scheduler_outcome (task->scheduler, id, event, latency_ms, now_ms ());
}

static void
on_tick (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_schedule_task *task = ctx;

  (void)fd;
  (void)events;
  ab_scheduler_tick (task->scheduler, now_ms ());
}

/* Gives targets of the own region to the scheduler here.  */
static void
on_area (void *ctx, const struct ab_fleet_target *target, const char *area)
{
  struct ab_schedule_task *task = ctx;
  const char *region
      = ab_fleet_region (task->settings, target->failure_domain);

  if (strcmp (region, task->settings->base.region) == 0)
    ab_scheduler_set_target (task->scheduler, target, area, now_ms ());
}

void
ab_schedule_task_set_target (struct ab_schedule_task *task,
                             const struct ab_fleet_target *target)
{
  ab_areas_set_target (task->areas, target, on_area, task);
}

void
ab_schedule_task_use_view (struct ab_schedule_task *task,
                           const struct ab_fleet_view *view)
{
  task->view = view;
}

static int
make_parts (struct ab_schedule_task *task)
{
  const struct ab_fleet_settings *settings = task->settings;
  const struct timeval interval = { .tv_usec = AB_SCHED_TICK_MS * 1000 };
  struct ab_scheduler_config config
      = { .repeat_fraction = settings->repeat_fraction,
          .repeat_extra = (double)settings->repeat_extra,
          .repeat_window_ms = settings->repeat_window_ms };

  task->areas = ab_areas_new (settings);
  task->hosts = ab_schedule_hosts_new (settings, now_ms ());
  task->scheduler = ab_scheduler_new (&config, &scheduler_ops, task);
  task->tick = event_new (task->daemon->base, -1, EV_PERSIST, on_tick, task);
  if (!task->areas || !task->hosts || !task->scheduler || !task->tick
      || event_add (task->tick, &interval) < 0)
    return AB_ERR_MEMORY;
  return 0;
}

int
ab_schedule_task_new (struct ab_daemon *daemon,
                      const struct ab_fleet_settings *settings,
                      struct ab_schedule_task **result)
{
  struct ab_schedule_task *task = calloc (1, sizeof *task);
  int rc;

  *result = NULL;
  if (!task)
    return AB_ERR_MEMORY;
  task->daemon = daemon;
  task->settings = settings;
  ab_rng_init_system (&task->rng);
  task->next_id = ab_rng_next (&task->rng);
  rc = make_parts (task);
  if (rc < 0)
    {
      ab_schedule_task_free (task);
      return rc;
    }
  ab_peer_task_handle (daemon->peer, AB_FRAME_SCHED_ASK, on_ask, task);
  ab_peer_task_handle (daemon->peer, AB_FRAME_SCHED_REPLY, on_reply, task);
  ab_peer_task_handle (daemon->peer, AB_FRAME_SCHED_OUTCOME, on_outcome, task);
  *result = task;
  return 0;
}

void
ab_schedule_task_free (struct ab_schedule_task *task)
{
  if (!task)
    return;
  while (task->calls)
    free_call (task->calls);
  if (task->tick)
    event_free (task->tick);
  ab_scheduler_free (task->scheduler);
  ab_areas_free (task->areas);
  ab_schedule_hosts_free (task->hosts);
  free (task);
}

json_t *
ab_schedule_task_state (const struct ab_schedule_task *task)
{
  const struct ab_schedule_call *call;
  int calls;

  DL_COUNT (task->calls, call, calls);
  return json_pack ("{s:i, s:o}", "asks", calls, "targets",
                    ab_scheduler_state (task->scheduler, now_ms ()));
}
