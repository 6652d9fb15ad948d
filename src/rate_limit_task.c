#include "rate_limit_task.h"

#include <stdlib.h>

#include "clock.h"
#include "log.h"
#include "peer_task.h"
#include "rate_limit_frame.h"

struct ab_rate_limit_task
{
  struct ab_daemon *daemon;
  struct ab_rate_limits *limits;
  const struct ab_rate_limit_ops *ops;
  void *ctx;
};

typedef int (*send_function) (struct ab_peer_task *task, struct ab_chunk host,
                              enum ab_frame_type type, struct ab_chunk body);

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static void
count_limits (struct ab_rate_limit_task *task)
{
  *ab_counter (task->daemon->counters, "ab_rate_limited_targets")
      = ab_rate_limits_count (task->limits);
}

static enum ab_rate_limit_result
learn (struct ab_rate_limit_task *task, const struct ab_rate_limit *limit,
       const char *source)
{
  enum ab_rate_limit_result result
      = ab_rate_limits_learn (task->limits, limit, source, now_ms ());

  if (result != AB_RATE_LIMIT_CHANGED)
    return result;
  AB_LOG (AB_LOG_INFO, "rate_limit", ab_log_str ("target", limit->target),
          ab_log_real ("per_s", (double)limit->per_1000_s / 1000),
          ab_log_str ("source", source),
          ab_log_int ("age_ms", (int64_t)limit->age_ms));
  count_limits (task);
  task->ops->changed (task->ctx, limit);
  return result;
}

/* Sends HOST what this host knows of the incarnation STARTED_MS of TARGET.  */
static void
send_limit (const struct ab_rate_limit_task *task, const char *target,
            uint64_t started_ms, const char *host, send_function send)
{
  struct ab_buf body = AB_BUF_INIT;
  struct ab_rate_limit limit;

  if (strcmp (host, task->daemon->settings->host) == 0
      || !ab_rate_limits_find (task->limits, target, started_ms, now_ms (),
                               &limit))
    return;
  ab_rate_limit_pack (&body, &limit);
  if (!body.error)
    send (task->daemon->peer, ab_chunk_str (host), AB_FRAME_RATE_LIMIT,
          ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static void
on_rate_limit (void *ctx, const struct ab_frame *frame)
{
  struct ab_rate_limit_task *task = ctx;
  struct ab_rate_limit limit;
  char sender[AB_ADDRESS_BYTES];

  if (ab_rate_limit_read (frame->body, &limit) < 0
      || !ab_chunk_copy (frame->sender, sender, sizeof sender)
      || !task->ops->is_known (task->ctx, limit.target))
    return;
  if (learn (task, &limit, sender) == AB_RATE_LIMIT_OUTDATED)
    send_limit (task, limit.target, limit.started_ms, sender,
                ab_peer_task_reply);
  if (limit.per_1000_s != AB_RATE_LIMIT_NONE)
    ab_rate_limits_set_peer (task->limits, limit.target, sender,
                             frame->incarnation);
}

struct ab_rate_limit_task *
ab_rate_limit_task_new (struct ab_daemon *daemon,
                        const struct ab_rate_limit_ops *ops, void *ctx)
{
  struct ab_rate_limit_task *task = calloc (1, sizeof *task);

  if (!task)
    return NULL;
  task->daemon = daemon;
  task->ops = ops;
  task->ctx = ctx;
  task->limits = ab_rate_limits_new ();
  if (!task->limits)
    {
      free (task);
      return NULL;
    }
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_RATE_LIMIT, on_rate_limit,
                            task);
  return task;
}

void
ab_rate_limit_task_free (struct ab_rate_limit_task *task)
{
  if (!task)
    return;
  ab_rate_limits_free (task->limits);
  free (task);
}

void
ab_rate_limit_task_observe (struct ab_rate_limit_task *task,
                            const char *target, uint64_t started_ms,
                            uint64_t per_1000_s, uint64_t age_ms,
                            const char *host)
{
  struct ab_rate_limit limit = { .started_ms = started_ms,
                                 .per_1000_s = per_1000_s,
                                 .age_ms = age_ms };
  enum ab_rate_limit_result result;

  ab_chunk_copy_bounded (ab_chunk_str (target), limit.target,
                         sizeof limit.target);
  result = learn (task, &limit, "response");
  if (per_1000_s != AB_RATE_LIMIT_NONE)
    ++*ab_counter (task->daemon->counters, "ab_rate_limit_responses_total");
  else if (result != AB_RATE_LIMIT_CHANGED)
    return;
  if (host)
    ab_rate_limit_task_tell (task, target, started_ms, host);
}

void
ab_rate_limit_task_set_target (struct ab_rate_limit_task *task,
                               const char *target, uint64_t started_ms)
{
  struct ab_rate_limit limit;

  if (started_ms
      && ab_rate_limits_find (task->limits, target, started_ms, now_ms (),
                              &limit))
    return;
  ab_rate_limits_forget (task->limits, target);
  count_limits (task);
}

void
ab_rate_limit_task_reply (struct ab_rate_limit_task *task, const char *target,
                          uint64_t started_ms, const char *host)
{
  if (ab_rate_limit_task_find (task, target, started_ms) != AB_RATE_LIMIT_NONE)
    send_limit (task, target, started_ms, host, ab_peer_task_reply);
}

void
ab_rate_limit_task_tell (struct ab_rate_limit_task *task, const char *target,
                         uint64_t started_ms, const char *host)
{
  send_limit (task, target, started_ms, host, ab_peer_task_send);
}

uint64_t
ab_rate_limit_task_find (const struct ab_rate_limit_task *task,
                         const char *target, uint64_t started_ms)
{
  struct ab_rate_limit limit;

  if (!ab_rate_limits_find (task->limits, target, started_ms, now_ms (),
                            &limit))
    return AB_RATE_LIMIT_NONE;
  return limit.per_1000_s;
}

bool
ab_rate_limit_task_any (const struct ab_rate_limit_task *task)
{
  return ab_rate_limits_count (task->limits) > 0;
}

bool
ab_rate_limit_task_known_to (const struct ab_rate_limit_task *task,
                             const char *target, const char *host,
                             uint64_t incarnation)
{
  return strcmp (host, task->daemon->settings->host) == 0
         || ab_rate_limits_peer_knows (task->limits, target, host,
                                       incarnation);
}

json_t *
ab_rate_limit_task_state (const struct ab_rate_limit_task *task)
{
  return ab_rate_limits_state (task->limits, now_ms ());
}
