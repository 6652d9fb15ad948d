#include "clock.h"
#include "log.h"
#include "peer_task.h"
#include "schedule_frame.h"
#include "schedule_internal.h"

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

void
ab_schedule_send_outcome (struct ab_schedule_task *task, const char *host,
                          uint64_t id, enum ab_target_event event,
                          uint64_t latency_ms)
{
  struct ab_buf body = AB_BUF_INIT;

  ab_sched_pack_outcome (&body, id, event, latency_ms);
  if (!body.error)
    ab_peer_task_send (task->daemon->peer, ab_chunk_str (host),
                       AB_FRAME_SCHED_OUTCOME, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

void
ab_schedule_hold (struct ab_schedule_task *task,
                  const struct ab_schedule_grant *grant,
                  const struct ab_sched_slot_request *slot_request)
{
  struct ab_sched_attempt attempt = { .id = grant->id,
                                      .idempotent = slot_request->idempotent,
                                      .is_retry = slot_request->is_retry,
                                      .timeout_ms = slot_request->timeout_ms };

  memcpy (attempt.target, grant->target, sizeof attempt.target);
  ab_held_attempts_add (task->held, &attempt, grant->scheduler, now_ms ());
}

/* A service and shard whose targets are looked for.  */
struct wanted
{
  const struct ab_schedule_task *task;
  const struct ab_sched_slot_request *slot_request;
  bool is_remote;
};

/* Returns whether the target ID may be in the shard of a slot request.  */
static bool
is_wanted (void *ctx, const char *id)
{
  const struct wanted *wanted = ctx;
  const struct ab_schedule_task *task = wanted->task;
  const struct ab_fleet_target *target
      = ab_shards_find_target (task->shards, id);
  bool is_own_region;

  if (!target || strcmp (target->service, wanted->slot_request->service) != 0)
    return false;
  if (wanted->slot_request->shard[0])
    return strcmp (target->failure_domain, wanted->slot_request->shard) == 0;
  is_own_region
      = strcmp (ab_fleet_region (task->settings, target->failure_domain),
                task->settings->base.region)
        == 0;
  return is_own_region != wanted->is_remote;
}

void
ab_schedule_tell_in_flight (struct ab_schedule_task *task, const char *host,
                            const struct ab_sched_slot_request *slot_request,
                            bool is_remote)
{
  struct wanted wanted
      = { .task = task, .slot_request = slot_request, .is_remote = is_remote };
  struct ab_sched_attempt list[AB_SCHED_ADOPT_MAX];
  size_t count = ab_held_attempts_report (task->held, host, is_wanted, &wanted,
                                          list, AB_SCHED_ADOPT_MAX, now_ms ());
  struct ab_buf body = AB_BUF_INIT;

  if (count == 0)
    return;
  ab_sched_pack_in_flight (&body, list, count);
  if (!body.error)
    ab_peer_task_send (task->daemon->peer, ab_chunk_str (host),
                       AB_FRAME_SCHED_IN_FLIGHT, ab_buf_chunk (&body));
  ab_buf_free (&body);
  *ab_counter (task->daemon->counters, "ab_attempts_reported_total") += count;
}

void
ab_schedule_outcome (struct ab_schedule_task *task,
                     const struct ab_schedule_grant *grant,
                     enum ab_target_event event, uint64_t latency_ms)
{
  char others[AB_HELD_SCHEDULERS_MAX][AB_ADDRESS_BYTES];
  size_t count = ab_held_attempts_end (task->held, grant->id, others);

  ab_schedule_send_outcome (task, grant->scheduler, grant->id, event,
                            latency_ms);
  for (size_t i = 0; i < count; i++)
    if (strcmp (others[i], grant->scheduler) != 0)
      ab_schedule_send_outcome (task, others[i], grant->id, event, latency_ms);
}

void
ab_schedule_report_rate_limit (struct ab_schedule_task *task,
                               const struct ab_schedule_grant *grant,
                               uint64_t per_1000_s, uint64_t age_ms)
{
  const struct ab_fleet_target *target
      = ab_shards_find_target (task->shards, grant->target);

  if (target)
    ab_rate_limit_task_observe (task->rate_limits, target->id,
                                target->started_ms, per_1000_s, age_ms,
                                grant->scheduler);
}

void
ab_schedule_report_leaving (struct ab_schedule_task *task,
                            const struct ab_schedule_grant *grant)
{
  const struct ab_fleet_target *target
      = ab_shards_find_target (task->shards, grant->target);

  if (!target)
    return;
  ab_schedule_send_outcome (task, grant->scheduler, grant->id,
                            AB_TARGET_LEAVING, 0);
  if (!ab_target_notices_leave (task->notices, target->id, target->started_ms,
                                now_ms ()))
    return;
  AB_LOG (AB_LOG_INFO, "target_leaving", ab_log_str ("target", target->id),
          ab_log_str ("source", "response"),
          ab_log_str ("scheduler", grant->scheduler));
  ++*ab_counter (task->daemon->counters, "ab_targets_leaving_total");
}

void
ab_schedule_report_pause (struct ab_schedule_task *task,
                          const struct ab_schedule_grant *grant,
                          uint64_t pause_ms)
{
  const struct ab_fleet_target *target
      = ab_shards_find_target (task->shards, grant->target);

  if (!target)
    return;
  ab_schedule_send_outcome (task, grant->scheduler, grant->id,
                            AB_TARGET_PAUSED, pause_ms);
  ++*ab_counter (task->daemon->counters, "ab_target_pauses_total");
  if (ab_target_notices_pause (task->notices, target->id, target->started_ms,
                               pause_ms, now_ms ()))
    AB_LOG (AB_LOG_INFO, "target_pause", ab_log_str ("target", target->id),
            ab_log_int ("pause_ms", (int64_t)pause_ms),
            ab_log_str ("source", "response"),
            ab_log_str ("scheduler", grant->scheduler));
}
