/* Slot requests of this host to dispatchers.  */

#include <event2/event.h>
#include <stdlib.h>

#include "clock.h"
#include "dispatch_parts.h"
#include "error.h"
#include "peer_task.h"

/* Timeout of a dispatcher's first reply, after which the next one is tried. */
#define ANSWER_MS 50
/* Timeout of a dispatcher that replied that the request waits.  */
#define QUEUED_MS 1000

static void
explain (const struct ab_dispatch_ask *ask, const char *event,
         const char *host, const char *text)
{
  AB_EXPLAIN (ask->task->daemon->explain,
              ab_chunk_str (ask->request.request_id), event,
              ab_log_str ("service", ask->request.service),
              ab_log_str ("dispatcher", host), ab_log_str ("detail", text));
}

static void
free_ask (struct ab_dispatch_ask *ask)
{
  HASH_DEL (ask->task->asks, ask);
  if (ask->timer)
    event_free (ask->timer);
  free (ask);
}

static void
set_timer (struct ab_dispatch_ask *ask, uint64_t wait_ms)
{
  struct timeval wait = { .tv_sec = (time_t)(wait_ms / 1000),
                          .tv_usec = (suseconds_t)(wait_ms % 1000 * 1000) };

  event_add (ask->timer, &wait);
}

static void
answer (struct ab_dispatch_ask *ask, int rc,
        const struct ab_dispatch_grant *grant)
{
  ab_dispatch_callback callback = ask->callback;
  void *ctx = ask->ctx;
  char reason[AB_REASON_BYTES];

  memcpy (reason, ask->reason, sizeof reason);
  if (rc == 0)
    explain (ask, "dispatch_granted",
             grant->dispatcher[0] ? grant->dispatcher : "none", grant->target);
  else
    explain (ask, "dispatch_refused", "", reason);
  free_ask (ask);
  callback (ctx, rc, grant, ab_chunk_str (reason));
}

static void
set_reason (struct ab_dispatch_ask *ask, const char *reason)
{
  ab_chunk_copy (ab_chunk_str (reason), ask->reason, sizeof ask->reason);
}

/* Ends ASK after all dispatchers were tried: with the last rejection or, if
   none replied, with a target that this host chooses.  */
static void
give_up (struct ab_dispatch_ask *ask)
{
  struct ab_dispatch_grant grant;

  if (ask->refused_rc < 0)
    {
      answer (ask, ask->refused_rc, NULL);
      return;
    }
  if (ab_dispatch_choose_alone (ask->task, &ask->request, &grant))
    {
      set_reason (ask, "no dispatcher replied; target chosen by this host");
      answer (ask, 0, &grant);
      return;
    }
  set_reason (ask, "no dispatcher replied and no target is free");
  answer (ask, ask->step_count ? AB_ERR_FULL : AB_ERR_NOT_FOUND, NULL);
}

static void
send_ask (struct ab_dispatch_ask *ask)
{
  const struct ab_dispatch_step *step = &ask->steps[ask->step];
  uint64_t now_ms = ab_dispatch_now ();
  struct ab_ask_frame frame = { .id = ask->id,
                                .left_ms = ask->request.deadline_ms - now_ms,
                                .spilled = step->spilled,
                                .stay = step->stay,
                                .request = ask->request };
  struct ab_buf body = AB_BUF_INIT;
  int rc;

  ab_ask_encode (&frame, &body);
  rc = body.error
           ? body.error
           : ab_peer_task_send (ask->task->daemon->peer,
                                ab_chunk_str (step->host),
                                AB_FRAME_DISPATCH_ASK, ab_buf_chunk (&body));
  ab_buf_free (&body);
  ask->queued = false;
  set_timer (ask, rc < 0 ? 0 : ANSWER_MS);
}

/* Cancels ASK at the dispatcher of the current step, which may still have it
   in its queue.  */
static void
take_back (struct ab_dispatch_ask *ask)
{
  struct ab_outcome_frame frame
      = { .ask = ask->id, .outcome = { .kind = AB_OUTCOME_UNUSED } };
  struct ab_buf body = AB_BUF_INIT;

  if (ask->step >= ask->step_count)
    return;
  memcpy (frame.service, ask->request.service, sizeof frame.service);
  ab_outcome_encode (&frame, &body);
  ab_dispatch_send (ask->task, ask->steps[ask->step].host,
                    AB_FRAME_DISPATCH_OUTCOME, &body);
}

/* Gives ASK a new identifier.  Each step has its own, so that a late grant for
   an earlier step is recognised.  */
static void
renew_id (struct ab_dispatch_ask *ask)
{
  HASH_DEL (ask->task->asks, ask);
  ask->id = ask->task->next_id++;
  HASH_ADD (hh, ask->task->asks, id, sizeof ask->id, ask);
}

static void
next_step (struct ab_dispatch_ask *ask)
{
  renew_id (ask);
  ask->step++;
  if (ab_dispatch_now () >= ask->request.deadline_ms)
    {
      set_reason (ask, "the deadline passed while waiting for a target");
      answer (ask, AB_ERR_TIMEOUT, NULL);
    }
  else if (ask->step < ask->step_count)
    send_ask (ask);
  else
    give_up (ask);
}

static void
on_timer (evutil_socket_t fd, short what, void *ctx)
{
  struct ab_dispatch_ask *ask = ctx;

  (void)fd;
  (void)what;
  if (ask->step_count == 0)
    {
      give_up (ask);
      return;
    }
  take_back (ask);
  next_step (ask);
}

struct ab_dispatch_ask *
ab_dispatch_task_ask (struct ab_dispatch_task *task,
                      const struct ab_dispatch_request *request,
                      ab_dispatch_callback callback, void *ctx)
{
  struct ab_dispatch_ask *ask = calloc (1, sizeof *ask);

  if (!ask)
    return NULL;
  ask->task = task;
  ask->request = *request;
  ask->callback = callback;
  ask->ctx = ctx;
  ask->id = task->next_id++;
  ask->timer = event_new (task->daemon->base, -1, 0, on_timer, ask);
  if (!ask->timer)
    {
      free (ask);
      return NULL;
    }
  HASH_ADD (hh, task->asks, id, sizeof ask->id, ask);
  ab_dispatch_plan (ask);
  if (ask->step_count && ab_dispatch_now () < request->deadline_ms)
    send_ask (ask);
  else
    set_timer (ask, 0);
  return ask;
}

void
ab_dispatch_task_cancel (struct ab_dispatch_ask *ask)
{
  if (!ask)
    return;
  take_back (ask);
  free_ask (ask);
}

static struct ab_dispatch_ask *
find_ask (struct ab_dispatch_task *task, uint64_t id)
{
  struct ab_dispatch_ask *ask;

  HASH_FIND (hh, task->asks, &id, sizeof id, ask);
  return ask;
}

void
ab_dispatch_on_grant (void *ctx, const struct ab_frame *frame)
{
  static const struct ab_outcome unused = { .kind = AB_OUTCOME_UNUSED };
  struct ab_dispatch_task *task = ctx;
  struct ab_grant_frame grant;
  struct ab_dispatch_ask *ask;

  if (ab_grant_decode (frame->body, &grant) < 0
      || !ab_chunk_copy (frame->sender, grant.grant.dispatcher,
                         sizeof grant.grant.dispatcher))
    return;
  ask = find_ask (task, grant.ask);
  if (ask)
    {
      set_reason (ask, "granted");
      answer (ask, 0, &grant.grant);
    }
  else
    ab_dispatch_task_outcome (task, &grant.grant, &unused);
}

void
ab_dispatch_on_refuse (void *ctx, const struct ab_frame *frame)
{
  struct ab_dispatch_task *task = ctx;
  struct ab_refuse_frame refuse;
  struct ab_dispatch_ask *ask;

  if (ab_refuse_decode (frame->body, &refuse) < 0)
    return;
  ask = find_ask (task, refuse.ask);
  if (!ask)
    return;
  if (refuse.rc == AB_ERR_BUSY)
    {
      uint64_t now_ms = ab_dispatch_now ();
      uint64_t left_ms = ask->request.deadline_ms > now_ms
                             ? ask->request.deadline_ms - now_ms
                             : 0;

      ask->queued = true;
      set_timer (ask, left_ms < QUEUED_MS ? left_ms : QUEUED_MS);
      return;
    }
  ask->refused_rc
      = refuse.rc == AB_ERR_NOT_FOUND ? AB_ERR_NOT_FOUND : AB_ERR_FULL;
  set_reason (ask, refuse.reason);
  if (refuse.spill && !ask->spilling)
    {
      ab_dispatch_plan_spill (ask);
      renew_id (ask);
      if (ask->step_count)
        send_ask (ask);
      else
        give_up (ask);
    }
  else if (refuse.spill && ask->step + 1 < ask->step_count)
    next_step (ask);
  else
    give_up (ask);
}

void
ab_dispatch_host_gone (struct ab_dispatch_task *task, const char *host)
{
  struct ab_dispatch_ask *ask;
  struct ab_dispatch_ask *next;

  HASH_ITER (hh, task->asks, ask, next)
  if (ask->step < ask->step_count
      && strcmp (ask->steps[ask->step].host, host) == 0)
    set_timer (ask, 0);
}

void
ab_dispatch_free_asks (struct ab_dispatch_task *task)
{
  struct ab_dispatch_ask *ask;
  struct ab_dispatch_ask *next;

  HASH_ITER (hh, task->asks, ask, next)
  free_ask (ask);
}

/* Returns the host whose dispatcher collects evidence about TARGET, which this
   host chose itself, or null.  */
static const char *
watcher_of (struct ab_dispatch_task *task, const char *service,
            const struct ab_target_view *target)
{
  const struct ab_host_view *host;

  if (ab_member_task_dispatchers (task->daemon->member, ab_chunk_str (service),
                                  ab_chunk_str (target->failure_domain), &host,
                                  1)
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
      if (at->chosen > 0)
        at->chosen--;
      return watcher_of (task, grant->service, &at->view);
    }
  return NULL;
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
