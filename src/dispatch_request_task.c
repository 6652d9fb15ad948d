/* Slot requests of this host to dispatchers.  */

#include <event2/event.h>
#include <stdlib.h>

#include "clock.h"
#include "dispatch_internal.h"
#include "error.h"
#include "log.h"
#include "peer_task.h"

/* Timeout of the first reply of a dispatcher, after which the next dispatcher
   is tried.  */
#define REPLY_TIMEOUT_MS 50
/* Timeout of a dispatcher that replied that the request waits.  */
#define QUEUED_TIMEOUT_MS 1000

static void
explain (const struct ab_dispatch_slot_request *slot_request,
         const char *event, const char *host, const char *text)
{
  AB_EXPLAIN (slot_request->task->daemon->explain,
              ab_chunk_str (slot_request->request.request_id), event,
              ab_log_str ("service", slot_request->request.service),
              ab_log_str ("dispatcher", host), ab_log_str ("detail", text));
}

static void
free_slot_request (struct ab_dispatch_slot_request *slot_request)
{
  HASH_DEL (slot_request->task->slot_requests, slot_request);
  if (slot_request->timer)
    event_free (slot_request->timer);
  free (slot_request);
}

static void
set_timer (struct ab_dispatch_slot_request *slot_request, uint64_t wait_ms)
{
  struct timeval wait = { .tv_sec = (time_t)(wait_ms / 1000),
                          .tv_usec = (suseconds_t)(wait_ms % 1000 * 1000) };

  event_add (slot_request->timer, &wait);
}

static void
finish_slot_request (struct ab_dispatch_slot_request *slot_request, int rc,
                     const struct ab_dispatch_grant *grant)
{
  ab_dispatch_callback callback = slot_request->callback;
  void *ctx = slot_request->ctx;
  char reason[AB_REASON_BYTES];

  memcpy (reason, slot_request->reason, sizeof reason);
  if (rc == 0)
    explain (slot_request, "dispatch_granted",
             grant->dispatcher[0] ? grant->dispatcher : "none", grant->target);
  else
    explain (slot_request, "dispatch_refused", "", reason);
  free_slot_request (slot_request);
  callback (ctx, rc, grant, ab_chunk_str (reason));
}

static void
set_reason (struct ab_dispatch_slot_request *slot_request, const char *reason)
{
  ab_chunk_copy_bounded (ab_chunk_str (reason), slot_request->reason,
                         sizeof slot_request->reason);
}

/* Ends SLOT_REQUEST after all dispatchers were tried: with the last rejection
   or, if none replied, with a target that this host chooses.  */
static void
give_up (struct ab_dispatch_slot_request *slot_request)
{
  struct ab_dispatch_grant grant;

  if (slot_request->rejection_rc < 0)
    {
      finish_slot_request (slot_request, slot_request->rejection_rc, NULL);
      return;
    }
  if (ab_dispatch_choose_independently (slot_request->task,
                                        &slot_request->request, &grant))
    {
      set_reason (slot_request,
                  "no dispatcher replied; target chosen by this host");
      finish_slot_request (slot_request, 0, &grant);
      return;
    }
  set_reason (slot_request, "no dispatcher replied and no target is free");
  finish_slot_request (
      slot_request, slot_request->step_count ? AB_ERR_FULL : AB_ERR_NOT_FOUND,
      NULL);
}

static void
send_slot_request (struct ab_dispatch_slot_request *slot_request)
{
  const struct ab_dispatch_step *step
      = &slot_request->steps[slot_request->step];
  uint64_t now_ms = ab_dispatch_now ();
  struct ab_slot_request_frame frame
      = { .id = slot_request->id,
          .left_ms = slot_request->request.deadline_ms - now_ms,
          .spilled = step->spilled,
          .no_spill = step->no_spill,
          .request = slot_request->request };
  struct ab_buf body = AB_BUF_INIT;
  int rc;

  ab_slot_request_encode (&frame, &body);
  rc = body.error ? body.error
                  : ab_peer_task_send (slot_request->task->daemon->peer,
                                       ab_chunk_str (step->host),
                                       AB_FRAME_DISPATCH_SLOT_REQUEST,
                                       ab_buf_chunk (&body));
  ab_buf_free (&body);
  slot_request->queued = false;
  set_timer (slot_request, rc < 0 ? 0 : REPLY_TIMEOUT_MS);
}

/* Cancels SLOT_REQUEST at the dispatcher of the current step, which may still
   have it in its queue.  */
static void
cancel_at_dispatcher (struct ab_dispatch_slot_request *slot_request)
{
  struct ab_outcome_frame frame = { .slot_request_id = slot_request->id,
                                    .outcome = { .kind = AB_OUTCOME_UNUSED } };
  struct ab_buf body = AB_BUF_INIT;

  if (slot_request->step >= slot_request->step_count)
    return;
  memcpy (frame.service, slot_request->request.service, sizeof frame.service);
  ab_outcome_encode (&frame, &body);
  ab_dispatch_send (slot_request->task,
                    slot_request->steps[slot_request->step].host,
                    AB_FRAME_DISPATCH_OUTCOME, &body);
}

/* Gives SLOT_REQUEST a new identifier.  Each step has its own, so that a late
   grant for an earlier step is recognised.  */
static void
assign_new_id (struct ab_dispatch_slot_request *slot_request)
{
  HASH_DEL (slot_request->task->slot_requests, slot_request);
  slot_request->id = slot_request->task->next_id++;
  HASH_ADD (hh, slot_request->task->slot_requests, id, sizeof slot_request->id,
            slot_request);
}

static void
next_step (struct ab_dispatch_slot_request *slot_request)
{
  assign_new_id (slot_request);
  slot_request->step++;
  if (ab_dispatch_now () >= slot_request->request.deadline_ms)
    {
      set_reason (slot_request,
                  "the deadline passed while waiting for a target");
      finish_slot_request (slot_request, AB_ERR_TIMEOUT, NULL);
    }
  else if (slot_request->step < slot_request->step_count)
    send_slot_request (slot_request);
  else
    give_up (slot_request);
}

static void
on_timer (evutil_socket_t fd, short what, void *ctx)
{
  struct ab_dispatch_slot_request *slot_request = ctx;

  (void)fd;
  (void)what;
  if (slot_request->step_count == 0)
    {
      give_up (slot_request);
      return;
    }
  cancel_at_dispatcher (slot_request);
  next_step (slot_request);
}

struct ab_dispatch_slot_request *
ab_dispatch_task_request_slot (struct ab_dispatch_task *task,
                               const struct ab_dispatch_request *request,
                               ab_dispatch_callback callback, void *ctx)
{
  struct ab_dispatch_slot_request *slot_request
      = calloc (1, sizeof *slot_request);

  if (!slot_request)
    return NULL;
  slot_request->task = task;
  slot_request->request = *request;
  slot_request->callback = callback;
  slot_request->ctx = ctx;
  slot_request->id = task->next_id++;
  slot_request->timer
      = event_new (task->daemon->base, -1, 0, on_timer, slot_request);
  if (!slot_request->timer)
    {
      free (slot_request);
      return NULL;
    }
  HASH_ADD (hh, task->slot_requests, id, sizeof slot_request->id,
            slot_request);
  ab_dispatch_plan (slot_request);
  if (slot_request->step_count && ab_dispatch_now () < request->deadline_ms)
    send_slot_request (slot_request);
  else
    set_timer (slot_request, 0);
  return slot_request;
}

void
ab_dispatch_task_cancel (struct ab_dispatch_slot_request *slot_request)
{
  if (!slot_request)
    return;
  cancel_at_dispatcher (slot_request);
  free_slot_request (slot_request);
}

static struct ab_dispatch_slot_request *
find_slot_request (struct ab_dispatch_task *task, uint64_t id)
{
  struct ab_dispatch_slot_request *slot_request;

  HASH_FIND (hh, task->slot_requests, &id, sizeof id, slot_request);
  return slot_request;
}

/* Rejects GRANT by a dispatcher that does not know the target's rate limit,
   tells it and requests another target.  */
static void
reject_grant (struct ab_dispatch_slot_request *slot_request,
              const struct ab_dispatch_grant *grant)
{
  static const struct ab_outcome unused = { .kind = AB_OUTCOME_UNUSED };
  struct ab_dispatch_task *task = slot_request->task;
  struct ab_dispatch_request *request = &slot_request->request;
  const struct ab_dispatch_service *service
      = ab_dispatch_find_service (task, grant->service);
  const struct ab_target_view *target
      = service ? ab_dispatch_find_target (service, grant->target) : NULL;

  AB_LOG (
      AB_LOG_INFO, "grant_rejected", ab_log_str ("target", grant->target),
      ab_log_str ("dispatcher", grant->dispatcher),
      ab_log_str ("reason", "the dispatcher does not know its rate limit"));
  if (target)
    ab_rate_limit_task_tell (task->rate_limits, target->address,
                             target->incarnation, grant->dispatcher);
  ab_dispatch_task_outcome (task, grant, &unused);
  assign_new_id (slot_request);
  if (request->excluded_count == AB_EXCLUDED_MAX)
    {
      next_step (slot_request);
      return;
    }
  memcpy (request->excluded[request->excluded_count++], grant->target,
          sizeof request->excluded[0]);
  send_slot_request (slot_request);
}

void
ab_dispatch_on_grant (void *ctx, const struct ab_frame *frame)
{
  static const struct ab_outcome unused = { .kind = AB_OUTCOME_UNUSED };
  struct ab_dispatch_task *task = ctx;
  struct ab_grant_frame grant;
  struct ab_dispatch_slot_request *slot_request;

  if (ab_grant_decode (frame->body, &grant) < 0
      || !ab_chunk_copy (frame->sender, grant.grant.dispatcher,
                         sizeof grant.grant.dispatcher))
    return;
  slot_request = find_slot_request (task, grant.slot_request_id);
  if (!slot_request)
    ab_dispatch_task_outcome (task, &grant.grant, &unused);
  else if (!ab_rate_limit_task_known_to (task->rate_limits, grant.grant.target,
                                         grant.grant.dispatcher,
                                         frame->incarnation))
    reject_grant (slot_request, &grant.grant);
  else
    {
      set_reason (slot_request, "granted");
      finish_slot_request (slot_request, 0, &grant.grant);
    }
}

void
ab_dispatch_on_refuse (void *ctx, const struct ab_frame *frame)
{
  struct ab_dispatch_task *task = ctx;
  struct ab_refuse_frame refuse;
  struct ab_dispatch_slot_request *slot_request;

  if (ab_refuse_decode (frame->body, &refuse) < 0)
    return;
  slot_request = find_slot_request (task, refuse.slot_request_id);
  if (!slot_request)
    return;
  if (refuse.rc == AB_ERR_BUSY)
    {
      uint64_t now_ms = ab_dispatch_now ();
      uint64_t left_ms = slot_request->request.deadline_ms > now_ms
                             ? slot_request->request.deadline_ms - now_ms
                             : 0;

      slot_request->queued = true;
      set_timer (slot_request,
                 left_ms < QUEUED_TIMEOUT_MS ? left_ms : QUEUED_TIMEOUT_MS);
      return;
    }
  slot_request->rejection_rc
      = refuse.rc == AB_ERR_NOT_FOUND ? AB_ERR_NOT_FOUND : AB_ERR_FULL;
  set_reason (slot_request, refuse.reason);
  if (refuse.spill && !slot_request->spilling)
    {
      ab_dispatch_plan_spill (slot_request);
      assign_new_id (slot_request);
      if (slot_request->step_count)
        send_slot_request (slot_request);
      else
        give_up (slot_request);
    }
  else if (refuse.spill && slot_request->step + 1 < slot_request->step_count)
    next_step (slot_request);
  else
    give_up (slot_request);
}

void
ab_dispatch_host_dead (struct ab_dispatch_task *task, const char *host)
{
  struct ab_dispatch_slot_request *slot_request;
  struct ab_dispatch_slot_request *next;

  HASH_ITER (hh, task->slot_requests, slot_request, next)
  if (slot_request->step < slot_request->step_count
      && strcmp (slot_request->steps[slot_request->step].host, host) == 0)
    set_timer (slot_request, 0);
}

void
ab_dispatch_free_slot_requests (struct ab_dispatch_task *task)
{
  struct ab_dispatch_slot_request *slot_request;
  struct ab_dispatch_slot_request *next;

  HASH_ITER (hh, task->slot_requests, slot_request, next)
  free_slot_request (slot_request);
}

/* Returns the host whose dispatcher collects evidence about TARGET, which this
   host chose itself, or null.  */
static const char *
responsible_host (struct ab_dispatch_task *task, const char *service,
                  const struct ab_target_view *target)
{
  const struct ab_host_view *host;

  if (ab_member_task_choose_dispatchers (
          task->daemon->member, ab_chunk_str (service),
          ab_chunk_str (target->failure_domain), &host, 1)
      == 0)
    return NULL;
  return host->name;
}

static const char *
end_own_choice (struct ab_dispatch_task *task,
                const struct ab_dispatch_grant *grant)
{
  struct ab_dispatch_service *service
      = ab_dispatch_find_service (task, grant->service);

  for (size_t i = 0; service && i < service->target_count; i++)
    {
      struct ab_known_target *at = &service->targets[i];

      if (strcmp (at->view.address, grant->target) != 0)
        continue;
      if (at->own_requests > 0)
        at->own_requests--;
      return responsible_host (task, grant->service, &at->view);
    }
  return NULL;
}

void
ab_dispatch_task_rate_limit (struct ab_dispatch_task *task,
                             const struct ab_dispatch_grant *grant,
                             uint64_t per_1000_s, uint64_t age_ms)
{
  struct ab_dispatch_service *service
      = ab_dispatch_find_service (task, grant->service);
  const struct ab_target_view *target
      = service ? ab_dispatch_find_target (service, grant->target) : NULL;
  const char *host = grant->dispatcher;

  if (!target)
    return;
  if (!grant->dispatcher[0])
    host = responsible_host (task, grant->service, target);
  ab_rate_limit_task_observe (task->rate_limits, target->address,
                              target->incarnation, per_1000_s, age_ms, host);
}

void
ab_dispatch_task_outcome (struct ab_dispatch_task *task,
                          const struct ab_dispatch_grant *grant,
                          const struct ab_outcome *outcome)
{
  struct ab_outcome_frame frame = { .outcome = *outcome };
  const char *host = grant->dispatcher;
  struct ab_buf body = AB_BUF_INIT;

  if (grant->dispatcher[0])
    frame.grant = grant->id;
  else
    host = end_own_choice (task, grant);
  if (!host)
    return;
  memcpy (frame.service, grant->service, sizeof frame.service);
  memcpy (frame.class_name, grant->class_name, sizeof frame.class_name);
  memcpy (frame.target, grant->target, sizeof frame.target);
  ab_outcome_encode (&frame, &body);
  ab_dispatch_send (task, host, AB_FRAME_DISPATCH_OUTCOME, &body);
}
