#include "schedule_task.h"

#include <event2/event.h>
#include <stdlib.h>
#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "log.h"
#include "peer_task.h"
#include "schedule_frame.h"
#include "schedule_internal.h"

/* While a request is queued, its scheduler is polled at this interval; one
   that no longer answers has lost the request.  */
#define POLL_MS 300
/* Largest number of shards that are considered for one request.  */
#define SHARDS_MAX 8
/* Largest number of shards in this region, and in others, that one request is
   offered to.  */
#define OWN_REGION_SHARDS_MAX 3
#define REMOTE_SHARDS_MAX 2

/* Progress of a call.  */
enum stage
{
  STAGE_OWN_SHARD,        /* Requests a slot in this host's shard.  */
  STAGE_OTHER_SHARDS,     /* Requests one in other shards.  */
  STAGE_BACK_IN_OWN_SHARD /* Queued in this host's shard, as others are
                             full.  */
};

struct ab_schedule_call
{
  struct ab_schedule_call *prev;
  struct ab_schedule_call *next;
  struct ab_schedule_task *task;
  struct ab_sched_slot_request slot_request;
  enum stage stage;
  /* Number of hosts of this host's shard that did not answer.  */
  unsigned own_shard_timeouts;
  size_t current_shard; /* Index of the one that has the slot request.  */
  struct ab_shard shards[SHARDS_MAX]; /* This host's is first, then those of
                                         its region.  */
  bool tried_shards[SHARDS_MAX];
  size_t own_region_count; /* Of SHARDS, those in this host's region.  */
  size_t shard_count;
  size_t remote_tried;
  bool own_shard_has_room; /* This host's shard can serve it later.  */
  bool waiting;
  enum ab_sched_decision rejection;
  /* The target whose rate limit is the reason, with AB_SCHED_RATE_LIMITED.  */
  char limited_by[AB_NAME_BYTES];
  uint64_t wait_ms;
  uint64_t sent_ms;
  uint64_t started_ms;
  uint64_t objective_ms; /* Objective when the call started.  */
  uint64_t timeout_ms;
  char host[AB_ADDRESS_BYTES]; /* The host that has the slot request.  */
  bool is_remote;              /* HOST is in another region.  */
  struct event *timer;
  ab_schedule_callback callback;
  void *ctx;
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

const char *
ab_sched_decision_name (enum ab_sched_decision decision)
{
  static const char *const names[] = { "granted",   "waiting", "move",
                                       "full",      "none",    "budget",
                                       "rate-limit" };

  return names[decision];
}

const char *
ab_schedule_host (const struct ab_schedule_task *task,
                  const struct ab_shard *shard, const char *service)
{
  const struct ab_fleet_host *hosts;
  size_t count = ab_fleet_view_hosts (task->view, &hosts);

  return ab_schedule_hosts_choose (task->hosts, hosts, count, shard, service,
                                   now_ms ());
}

static void
send_slot_request (struct ab_schedule_call *call)
{
  struct ab_buf body = AB_BUF_INIT;

  ab_sched_pack_slot_request (&body, &call->slot_request);
  if (!body.error)
    ab_peer_task_send (call->task->daemon->peer, ab_chunk_str (call->host),
                       AB_FRAME_SCHED_SLOT_REQUEST, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static void
start_timer (struct ab_schedule_call *call, uint64_t after_ms)
{
  struct timeval tv = { .tv_sec = (time_t)(after_ms / 1000),
                        .tv_usec = (suseconds_t)(after_ms % 1000 * 1000) };

  evtimer_add (call->timer, &tv);
}

static void
free_call (struct ab_schedule_call *call)
{
  DL_DELETE (call->task->calls, call);
  event_free (call->timer);
  free (call);
}

static void
log_rate_limited (const struct ab_schedule_call *call, uint64_t wait_ms)
{
  AB_LOG (AB_LOG_INFO, "rate_limit_rejected",
          ab_log_str ("service", call->slot_request.service),
          ab_log_str ("target", call->limited_by),
          ab_log_str ("scheduler", call->host),
          ab_log_int ("priority", (int64_t)call->slot_request.priority),
          ab_log_int ("wait_ms", (int64_t)wait_ms));
  ++*ab_counter (call->task->daemon->counters, "ab_rate_limit_rejected_total");
}

static void
end_call (struct ab_schedule_call *call, enum ab_sched_decision decision,
          const struct ab_schedule_grant *grant, uint64_t wait_ms)
{
  ab_schedule_callback callback = call->callback;
  void *ctx = call->ctx;

  if (decision == AB_SCHED_RATE_LIMITED)
    log_rate_limited (call, wait_ms);
  free_call (call);
  callback (ctx, decision, grant, wait_ms);
}

static uint64_t
remaining_ms (uint64_t duration_ms, uint64_t elapsed_ms)
{
  return duration_ms > elapsed_ms ? duration_ms - elapsed_ms : 0;
}

/* Sends the slot request with a new id to HOST.  IS_REMOTE says whether the
   host is in another region.  */
static void
request_from_host (struct ab_schedule_call *call, const char *host,
                   bool is_remote)
{
  uint64_t now = now_ms ();
  uint64_t elapsed_ms = now - call->started_ms;

  call->slot_request.id = call->task->next_id++;
  call->slot_request.objective_ms
      = remaining_ms (call->objective_ms, elapsed_ms);
  call->slot_request.timeout_ms = remaining_ms (call->timeout_ms, elapsed_ms);
  call->slot_request.may_wait = call->stage != STAGE_OTHER_SHARDS;
  call->slot_request.may_spill
      = call->stage == STAGE_OWN_SHARD && call->shard_count > 1;
  call->sent_ms = now;
  call->waiting = false;
  call->is_remote = is_remote;
  if (host != call->host)
    ab_chunk_copy_bounded (ab_chunk_str (host), call->host, sizeof call->host);
  ab_schedule_hosts_requested (call->task->hosts, call->host, now);
  ab_schedule_tell_in_flight (call->task, call->host, &call->slot_request,
                              call->is_remote);
  send_slot_request (call);
  call->slot_request.is_counted = true;
  start_timer (call, ab_schedule_hosts_answer_timeout_ms (
                         call->task->hosts, host, is_remote, now));
}

static void try_next (struct ab_schedule_call *call);

/* Returns whether SHARD is in this host's region.  */
static bool
is_in_own_region (const struct ab_schedule_task *task,
                  const struct ab_shard *shard)
{
  return strcmp (shard->region, task->settings->base.region) == 0;
}

static void
request_from_shard (struct ab_schedule_call *call,
                    const struct ab_shard *shard, const char *host)
{
  memcpy (call->slot_request.shard, shard->failure_domain,
          sizeof call->slot_request.shard);
  request_from_host (call, host, !is_in_own_region (call->task, shard));
}

/* Requests a slot in this host's shard, skipping hosts that did not answer.
   This host itself is the last resort.  */
static void
request_in_own_shard (struct ab_schedule_call *call)
{
  struct ab_schedule_task *task = call->task;
  const char *host
      = ab_schedule_host (task, &call->shards[0], call->slot_request.service);

  request_from_shard (call, &call->shards[0],
                      host ? host : task->daemon->settings->host);
}

/* Sets the current shard to one that has not been tried and may have free
   slots: one of this region if possible, as requests between regions cost
   traffic.  Returns false if there is none.  */
static bool
pick_shard (struct ab_schedule_call *call)
{
  struct ab_schedule_task *task = call->task;
  const char *service = call->slot_request.service;
  size_t count = call->own_region_count;

  for (size_t i = 0; i < call->shard_count; i++)
    if (ab_shards_is_full (task->shards, service, &call->shards[i],
                           call->slot_request.idempotent, now_ms ()))
      call->tried_shards[i] = true;
  call->current_shard = ab_shard_choice_pick (task->choice, service,
                                              call->shards, call->tried_shards,
                                              count, &task->rng, now_ms ());
  if (call->current_shard == count && call->remote_tried < REMOTE_SHARDS_MAX)
    call->current_shard
        = count
          + ab_shard_choice_pick (task->choice, service, call->shards + count,
                                  call->tried_shards + count,
                                  call->shard_count - count, &task->rng,
                                  now_ms ());
  else if (call->current_shard == count)
    return false;
  if (call->current_shard == call->shard_count)
    return false;
  call->tried_shards[call->current_shard] = true;
  return true;
}

static void
request_in_other_shards (struct ab_schedule_call *call)
{
  struct ab_schedule_task *task = call->task;

  call->stage = STAGE_OTHER_SHARDS;
  while (pick_shard (call))
    {
      const struct ab_shard *shard = &call->shards[call->current_shard];
      const char *host
          = ab_schedule_host (task, shard, call->slot_request.service);
      if (host)
        {
          bool is_remote = call->current_shard >= call->own_region_count;
          call->remote_tried += is_remote;
          ++*ab_counter (task->daemon->counters,
                         is_remote
                             ? "ab_requests_moved_total{where=\"other\"}"
                             : "ab_requests_moved_total{where=\"region\"}");
          ab_shard_choice_sent (task->choice, call->slot_request.service,
                                shard);
          request_from_shard (call, shard, host);
          return;
        }
    }
  if (!call->own_shard_has_room)
    {
      end_call (call, call->rejection, NULL, call->wait_ms);
      return;
    }
  call->stage = STAGE_BACK_IN_OWN_SHARD;
  request_in_own_shard (call);
}

/* Continues after the host with the slot request rejected it or did not
   answer.  */
static void
try_next (struct ab_schedule_call *call)
{
  if (call->stage == STAGE_BACK_IN_OWN_SHARD)
    end_call (call, call->rejection, NULL, call->wait_ms);
  else
    request_in_other_shards (call);
}

/* Gives up the host with the slot request, which does not answer, and tries
   another one.  */
static void
abandon_host (struct ab_schedule_call *call)
{
  struct ab_schedule_task *task = call->task;

  AB_LOG (AB_LOG_WARN, "scheduler_silent",
          ab_log_str ("scheduler", call->host),
          ab_log_str ("service", call->slot_request.service),
          ab_log_int ("after_ms", (int64_t)(now_ms () - call->sent_ms)));
  ++*ab_counter (task->daemon->counters, "ab_scheduler_silent_total");
  ab_held_attempts_silent (task->held, call->host);
  ab_schedule_hosts_unresponsive (task->hosts, call->host, now_ms ());
  ab_schedule_send_outcome (task, call->host, call->slot_request.id,
                            AB_TARGET_UNUSED, 0);
  if (call->stage == STAGE_OTHER_SHARDS)
    try_next (call);
  else if (strcmp (call->host, task->daemon->settings->host) == 0)
    end_call (call, AB_SCHED_NO_TARGET, NULL, POLL_MS);
  else
    {
      call->own_shard_timeouts++;
      if (ab_schedule_hosts_ask_another (call->own_shard_timeouts,
                                         now_ms () - call->started_ms,
                                         call->timeout_ms))
        request_in_own_shard (call);
      else
        request_from_shard (call, &call->shards[0],
                            task->daemon->settings->host);
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
      abandon_host (call);
      return;
    }
  /* Polls whether the request is still queued there.  */
  call->waiting = false;
  send_slot_request (call);
  start_timer (call, POLL_MS);
}

/* Rejects a grant and requests another target.  What the scheduler knows may
   be older than what this host knows, for instance when it is cut off from the
   control group; if this host knows that a target drains, is deregistered or
   has a rate limit, that takes precedence.  */
static void
reject_grant (struct ab_schedule_call *call,
              const struct ab_sched_reply *reply, const char *reason)
{
  struct ab_schedule_task *task = call->task;
  struct ab_sched_slot_request *slot_request = &call->slot_request;

  AB_LOG (AB_LOG_INFO, "grant_rejected", ab_log_str ("target", reply->target),
          ab_log_str ("scheduler", call->host), ab_log_str ("reason", reason));
  ++*ab_counter (task->daemon->counters, "ab_grants_rejected_total");
  ab_schedule_send_outcome (task, call->host, reply->id, AB_TARGET_UNUSED, 0);
  if (slot_request->tried_count < AB_SCHED_TRIED_MAX)
    {
      memcpy (slot_request->tried[slot_request->tried_count++], reply->target,
              sizeof slot_request->tried[0]);
      request_from_host (call, call->host, call->is_remote);
    }
  else
    {
      ab_schedule_hosts_unresponsive (task->hosts, call->host, now_ms ());
      try_next (call);
    }
}

/* Rejects a grant of a target that asked this host for no more requests, and
   tells the scheduler, which may have been replaced since.  */
static void
reject_unwanted (struct ab_schedule_call *call,
                 const struct ab_sched_reply *reply,
                 enum ab_target_notice notice, uint64_t left_ms)
{
  bool leaves = notice == AB_NOTICE_LEAVE;

  ab_schedule_send_outcome (call->task, call->host, reply->id,
                            leaves ? AB_TARGET_LEAVING : AB_TARGET_PAUSED,
                            left_ms);
  reject_grant (call, reply,
                leaves ? "the target leaves" : "the target asked for a pause");
}

static void
accept_grant (struct ab_schedule_call *call,
              const struct ab_sched_reply *reply)
{
  struct ab_schedule_grant grant = { .id = reply->id,
                                     .health_state = reply->health_state,
                                     .waited_ms = reply->waited_ms };

  memcpy (grant.scheduler, call->host, sizeof grant.scheduler);
  memcpy (grant.target, reply->target, sizeof grant.target);
  memcpy (grant.address, reply->address, sizeof grant.address);
  ab_schedule_hold (call->task, &grant, &call->slot_request);
  end_call (call, AB_SCHED_GRANTED, &grant, 0);
}

/* Handles a grant of the process INCARNATION of the call's host.  */
static void
handle_grant (struct ab_schedule_call *call,
              const struct ab_sched_reply *reply, uint64_t incarnation)
{
  struct ab_schedule_task *task = call->task;
  const struct ab_fleet_target *target
      = ab_shards_find_target (task->shards, reply->target);
  enum ab_target_notice notice = AB_NOTICE_NONE;
  uint64_t left_ms = 0;

  if (target)
    notice = ab_target_notices_find (task->notices, target->id,
                                     target->started_ms, now_ms (), &left_ms);
  if (!target || target->state != AB_FLEET_TARGET_READY)
    reject_grant (call, reply, "not ready in this host's view");
  else if (notice != AB_NOTICE_NONE)
    reject_unwanted (call, reply, notice, left_ms);
  else if (!ab_rate_limit_task_known_to (task->rate_limits, target->id,
                                         call->host, incarnation))
    {
      ab_rate_limit_task_tell (task->rate_limits, target->id,
                               target->started_ms, call->host);
      reject_grant (call, reply, "the scheduler does not know its rate limit");
    }
  else
    accept_grant (call, reply);
}

/* Stores why this host's shard rejected the request.  */
static void
record_own_rejection (struct ab_schedule_call *call,
                      const struct ab_sched_reply *reply)
{
  call->rejection = reply->decision;
  if (reply->target[0])
    call->rejection = AB_SCHED_RATE_LIMITED;
  memcpy (call->limited_by, reply->target, sizeof call->limited_by);
  call->wait_ms = reply->wait_ms;
}

static void
handle_rejection (struct ab_schedule_call *call,
                  const struct ab_sched_reply *reply)
{
  if (call->stage == STAGE_OWN_SHARD)
    {
      call->own_shard_has_room = reply->decision == AB_SCHED_SPILL;
      record_own_rejection (call, reply);
    }
  else if (call->stage == STAGE_BACK_IN_OWN_SHARD)
    record_own_rejection (call, reply);
  else
    {
      ab_shards_record_full (call->task->shards, call->slot_request.service,
                             &call->shards[call->current_shard],
                             call->slot_request.idempotent, reply->wait_ms,
                             now_ms ());
      if (reply->wait_ms < call->wait_ms)
        call->wait_ms = reply->wait_ms;
    }
  if (reply->decision == AB_SCHED_BUDGET_USED_UP)
    end_call (call, reply->decision, NULL, reply->wait_ms);
  else
    try_next (call);
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
  ab_schedule_hosts_answered (task->hosts, sender);
  ab_held_attempts_answered (task->held, sender, frame->incarnation);
  DL_SEARCH_SCALAR (task->calls, call, slot_request.id, reply.id);
  if (!call)
    {
      /* The call tried another host meanwhile or ended: the slot is not
         used.  */
      if (reply.decision == AB_SCHED_GRANTED)
        ab_schedule_send_outcome (task, sender, reply.id, AB_TARGET_UNUSED, 0);
      return;
    }
  if (reply.has_free)
    ab_shard_choice_record (
        task->choice, call->slot_request.service,
        &call->shards[call->stage == STAGE_OTHER_SHARDS ? call->current_shard
                                                        : 0],
        reply.free_slots, now_ms ());
  switch (reply.decision)
    {
    case AB_SCHED_GRANTED:
      handle_grant (call, &reply, frame->incarnation);
      break;
    case AB_SCHED_WAITING:
      call->waiting = true;
      start_timer (call, POLL_MS);
      break;
    default:
      handle_rejection (call, &reply);
    }
}

/* Lists the shards to choose from: this host's, others of the region, and
   those of other regions, beginning with one that differs from call to call.
 */
static void
list_shards (struct ab_schedule_call *call)
{
  struct ab_schedule_task *task = call->task;
  struct ab_shard all[AB_SHARDS_MAX];
  size_t count = ab_shards_list (task->shards, call->slot_request.service,
                                 task->settings->base.failure_domain, all,
                                 AB_SHARDS_MAX);
  size_t own_region_count = 0;
  size_t remote_count;

  while (own_region_count < count
         && is_in_own_region (task, &all[own_region_count]))
    own_region_count++;
  remote_count = count - own_region_count;
  call->shard_count = own_region_count < OWN_REGION_SHARDS_MAX
                          ? own_region_count
                          : OWN_REGION_SHARDS_MAX;
  call->own_region_count = call->shard_count;
  memcpy (call->shards, all, call->shard_count * sizeof *all);
  for (size_t i = 0; i < remote_count && call->shard_count < SHARDS_MAX; i++)
    call->shards[call->shard_count++]
        = all[own_region_count + (task->next_id + i) % remote_count];
  if (call->shard_count == 0)
    {
      memset (&call->shards[0], 0, sizeof call->shards[0]);
      memcpy (call->shards[0].region, task->settings->base.region,
              sizeof call->shards[0].region);
      call->shard_count = call->own_region_count = 1;
    }
  call->tried_shards[0] = true;
}

struct ab_schedule_call *
ab_schedule_request_slot (struct ab_schedule_task *task,
                          const struct ab_sched_slot_request *slot_request,
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
  call->slot_request = *slot_request;
  ab_chunk_copy_bounded (ab_chunk_str (task->daemon->settings->host),
                         call->slot_request.host,
                         sizeof call->slot_request.host);
  memcpy (call->slot_request.failure_domain,
          task->settings->base.failure_domain,
          sizeof call->slot_request.failure_domain);
  call->objective_ms = slot_request->objective_ms;
  call->timeout_ms = slot_request->timeout_ms;
  list_shards (call);
  call->slot_request.wants_free = true;
  call->rejection = AB_SCHED_NO_TARGET;
  call->wait_ms = POLL_MS;
  call->started_ms = now_ms ();
  call->callback = callback;
  call->ctx = ctx;
  DL_APPEND (task->calls, call);
  request_in_own_shard (call);
  return call;
}

void
ab_schedule_cancel (struct ab_schedule_call *call)
{
  ab_schedule_send_outcome (call->task, call->host, call->slot_request.id,
                            AB_TARGET_UNUSED, 0);
  free_call (call);
}

void
ab_schedule_task_set_target (struct ab_schedule_task *task,
                             const struct ab_fleet_target *target)
{
  uint64_t started_ms
      = target->state == AB_FLEET_TARGET_REMOVED ? 0 : target->started_ms;

  ab_target_notices_set_target (task->notices, target->id, started_ms);
  ab_rate_limit_task_set_target (task->rate_limits, target->id, started_ms);
  ab_shards_set_target (task->shards, target, ab_schedule_serve_target, task);
}

void
ab_schedule_task_use_view (struct ab_schedule_task *task,
                           const struct ab_fleet_view *view)
{
  task->view = view;
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
  task->shards = ab_shards_new (settings);
  task->hosts = ab_schedule_hosts_new (settings, now_ms ());
  task->notices = ab_target_notices_new ();
  task->stand_in = ab_stand_in_new (settings);
  task->held = ab_held_attempts_new ();
  task->choice = ab_shard_choice_new ();
  rc = task->shards && task->hosts && task->notices && task->stand_in
               && task->held && task->choice
           ? ab_schedule_serve (task)
           : AB_ERR_MEMORY;
  if (rc < 0)
    {
      ab_schedule_task_free (task);
      return rc;
    }
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_SCHED_REPLY, on_reply,
                            task);
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
  ab_rate_limit_task_free (task->rate_limits);
  ab_target_notices_free (task->notices);
  ab_shards_free (task->shards);
  ab_schedule_hosts_free (task->hosts);
  ab_stand_in_free (task->stand_in);
  ab_held_attempts_free (task->held);
  ab_shard_choice_free (task->choice);
  free (task);
}

json_t *
ab_schedule_task_state (const struct ab_schedule_task *task)
{
  const struct ab_schedule_call *call;
  int calls;

  DL_COUNT (task->calls, call, calls);
  return json_pack (
      "{s:i, s:o, s:o, s:o, s:o, s:o}", "asks", calls, "targets",
      ab_scheduler_state (task->scheduler, now_ms ()), "retry_budgets",
      ab_scheduler_budgets (task->scheduler, now_ms ()), "shares",
      ab_scheduler_shares (task->scheduler), "rate_limits",
      ab_rate_limit_task_state (task->rate_limits), "notices",
      ab_target_notices_state (task->notices, now_ms ()));
}
