#include <event2/event.h>
#include <stdio.h>

#include "clock.h"
#include "error.h"
#include "log.h"
#include "peer_task.h"
#include "schedule_frame.h"
#include "schedule_internal.h"

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static void
on_decision (void *ctx, const struct ab_sched_slot_request *slot_request,
             const struct ab_sched_reply *reply)
{
  struct ab_schedule_task *task = ctx;
  const struct ab_fleet_target *target
      = ab_shards_find_target (task->shards, reply->target);
  struct ab_buf body = AB_BUF_INIT;

  if (reply->decision == AB_SCHED_GRANTED && target)
    ab_rate_limit_task_reply (task->rate_limits, target->id,
                              target->started_ms, slot_request->host);
  if (slot_request->placers > 1 && reply->decision == AB_SCHED_GRANTED)
    ++*ab_counter (task->daemon->counters, "ab_stand_in_grants_total");
  if (slot_request->is_retry && reply->decision == AB_SCHED_GRANTED)
    ++*ab_counter (task->daemon->counters, "ab_retries_granted_total");
  else if (reply->decision == AB_SCHED_BUDGET_USED_UP)
    ++*ab_counter (task->daemon->counters, "ab_retries_refused_total");
  ab_sched_pack_reply (&body, reply);
  if (!body.error)
    ab_peer_task_reply (task->daemon->peer, ab_chunk_str (slot_request->host),
                        AB_FRAME_SCHED_REPLY, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

/* Returns the number of hosts that may take themselves for a regular scheduler
   of SERVICE: one for each shard, and as many again for each control host
   whose followers may not know this host.  */
static size_t
count_schedulers (void *ctx, const char *service)
{
  const struct ab_schedule_task *task = ctx;
  struct ab_shard shards[AB_SHARDS_MAX];

  return ab_shards_list (task->shards, service,
                         task->settings->base.failure_domain, shards,
                         AB_SHARDS_MAX)
         * (1 + ab_fleet_view_unheard_controls (task->view));
}

/* Returns the host that schedules SERVICE in the shard of this region with the
   failure domain DOMAIN when all hosts respond, or null.  */
static const char *
first_host (const struct ab_schedule_task *task, const char *service,
            const char *domain)
{
  struct ab_shard shard = { 0 };
  const struct ab_fleet_host *hosts;
  size_t count = ab_fleet_view_hosts (task->view, &hosts);

  memcpy (shard.region, task->settings->base.region, sizeof shard.region);
  ab_chunk_copy_bounded (ab_chunk_str (domain), shard.failure_domain,
                         sizeof shard.failure_domain);
  return ab_schedule_hosts_first (task->hosts, hosts, count, &shard, service);
}

/* Returns whether DOMAIN names a shard of SERVICE in this host's view.  Hosts
   that have known targets for different times may divide them differently.  */
static bool
is_known_shard (const struct ab_schedule_task *task, const char *service,
                const char *domain)
{
  struct ab_shard shards[AB_SHARDS_MAX];
  size_t count = ab_shards_list (task->shards, service,
                                 task->settings->base.failure_domain, shards,
                                 AB_SHARDS_MAX);

  for (size_t i = 0; i < count; i++)
    if (strcmp (shards[i].region, task->settings->base.region) == 0
        && strcmp (shards[i].failure_domain, domain) == 0)
      return true;
  return false;
}

/* A host that is cut off from the control group may have been replaced.  */
static bool
is_primary (void *ctx, const char *service, const char *domain)
{
  const struct ab_schedule_task *task = ctx;
  const char *first;

  if (ab_fleet_view_age_ms (task->view) >= AB_FLEET_VIEW_FRESH_MS
      || !is_known_shard (task, service, domain))
    return false;
  first = first_host (task, service, domain);
  return first && strcmp (first, task->daemon->settings->host) == 0;
}

static void
on_role_changed (void *ctx, const char *service, const char *domain,
                 bool is_regular)
{
  const struct ab_schedule_task *task = ctx;

  AB_LOG (
      AB_LOG_INFO, "scheduler_role", ab_log_str ("service", service),
      ab_log_str ("shard", domain),
      ab_log_str ("role", is_regular ? "regular" : "stand-in"),
      ab_log_int ("schedulers", (int64_t)count_schedulers (ctx, service)),
      ab_log_int ("view_age_ms", (int64_t)ab_fleet_view_age_ms (task->view)));
}

static void
count_refused (struct ab_schedule_task *task, const char *reason,
               uint64_t count)
{
  char name[64];

  if (count == 0)
    return;
  snprintf (name, sizeof name, "ab_slots_refused_total{reason=\"%s\"}",
            reason);
  *ab_counter (task->daemon->counters, name) += count;
}

#define CLOSED_BYTES 256

/* Writes to TEXT how many slots of ejected targets are closed by each
   outcome, as in "unreachable:4,timeout:2".  */
static void
print_closed (const struct ab_sched_census *census, char text[CLOSED_BYTES])
{
  size_t len = 0;

  text[0] = '\0';
  for (size_t i = 0; i < AB_TARGET_EVENTS && len < CLOSED_BYTES; i++)
    if (census->closed[i] > 0)
      len += (size_t)snprintf (text + len, CLOSED_BYTES - len, "%s%s:%llu",
                               len ? "," : "",
                               ab_target_event_name ((enum ab_target_event)i),
                               (unsigned long long)census->closed[i]);
}

static void
on_refused (void *ctx, const char *service, const char *shard,
            const struct ab_sched_refusals *refusals)
{
  struct ab_schedule_task *task = ctx;
  const struct ab_sched_census *census = &refusals->census;
  char closed[CLOSED_BYTES];

  print_closed (census, closed);
  count_refused (task, "full", refusals->full);
  count_refused (task, "rate-limit", refusals->rate_limited);
  count_refused (task, "none", refusals->no_target);
  count_refused (task, "budget", refusals->budget);
  AB_LOG (AB_LOG_INFO, "slots_refused", ab_log_str ("service", service),
          ab_log_str ("shard", shard),
          ab_log_int ("team_priority", (int64_t)refusals->team_priority),
          ab_log_int ("priority", (int64_t)refusals->priority),
          ab_log_int ("full", (int64_t)refusals->full),
          ab_log_int ("rate_limited", (int64_t)refusals->rate_limited),
          ab_log_int ("no_target", (int64_t)refusals->no_target),
          ab_log_int ("budget", (int64_t)refusals->budget),
          ab_log_str ("team", refusals->team),
          ab_log_int ("team_refused", (int64_t)refusals->team_refused),
          ab_log_real ("share", refusals->share),
          ab_log_real ("share_of_all", refusals->share_of_all),
          ab_log_int ("waiting", (int64_t)refusals->waiting),
          ab_log_int ("slots", (int64_t)census->slots),
          ab_log_int ("taken", (int64_t)census->taken),
          ab_log_int ("free_proven", (int64_t)census->free[AB_TARGET_HEALTHY]),
          ab_log_int ("free_new", (int64_t)census->free[AB_TARGET_UNTESTED]),
          ab_log_int ("free_trial", (int64_t)census->free[AB_TARGET_SUSPECT]),
          ab_log_int ("busy", (int64_t)census->busy),
          ab_log_int ("withheld", (int64_t)census->withheld),
          ab_log_str ("closed", closed));
}

static const struct ab_scheduler_ops scheduler_ops
    = { .decide = on_decision,
        .count_schedulers = count_schedulers,
        .is_primary = is_primary,
        .role_changed = on_role_changed,
        .refused = on_refused };

/* Returns whether SLOT_REQUEST comes from this host and another host schedules
   its shard.  */
static bool
is_last_resort (const struct ab_schedule_task *task,
                const struct ab_sched_slot_request *slot_request)
{
  const char *own_host = task->daemon->settings->host;
  struct ab_shard shard = { 0 };
  const char *host;

  if (strcmp (slot_request->host, own_host) != 0)
    return false;
  memcpy (shard.region, task->settings->base.region, sizeof shard.region);
  memcpy (shard.failure_domain, slot_request->shard,
          sizeof shard.failure_domain);
  host = ab_schedule_host (task, &shard, slot_request->service);
  return !host || strcmp (host, own_host) != 0;
}

/* Returns the divisor of the part of a target's rate limit that this host may
   use for SLOT_REQUEST.  */
static uint64_t
rate_divisor (struct ab_schedule_task *task,
              const struct ab_sched_slot_request *slot_request)
{
  const struct ab_fleet_host *hosts;
  size_t count = ab_fleet_view_hosts (task->view, &hosts);

  if (!ab_rate_limit_task_any (task->rate_limits))
    return 1;
  if (slot_request->last_resort)
    return count > AB_RATE_LIMIT_STAND_IN_DIVISOR
               ? count
               : AB_RATE_LIMIT_STAND_IN_DIVISOR;
  return is_primary (task, slot_request->service, slot_request->shard)
             ? 1
             : AB_RATE_LIMIT_STAND_IN_DIVISOR;
}

/* Sets with how many other hosts this one shares the targets.  The regular
   scheduler of all hosts that know the same hosts places alone, whether its
   view is confirmed or not.  */
static void
set_share (struct ab_schedule_task *task,
           struct ab_sched_slot_request *slot_request)
{
  const char *own_host = task->daemon->settings->host;
  const char *first
      = first_host (task, slot_request->service, slot_request->shard);
  struct ab_shard shard = { 0 };
  const struct ab_stand_in_request request
      = { .service = slot_request->service,
          .shard = &shard,
          .host = slot_request->host,
          .failure_domain = slot_request->failure_domain,
          .own_host = own_host,
          .is_regular = first && strcmp (first, own_host) == 0 };
  const struct ab_fleet_host *hosts;
  size_t count = ab_fleet_view_hosts (task->view, &hosts);
  struct ab_stand_in_share share;

  memcpy (shard.region, task->settings->base.region, sizeof shard.region);
  memcpy (shard.failure_domain, slot_request->shard,
          sizeof shard.failure_domain);
  share
      = ab_stand_in_share (task->stand_in, &request, hosts, count, now_ms ());
  slot_request->placers = share.placers;
  slot_request->position = share.position;
  if (share.is_new)
    AB_LOG (AB_LOG_INFO, "scheduler_stands_in",
            ab_log_str ("service", slot_request->service),
            ab_log_str ("shard", slot_request->shard),
            ab_log_str ("regular", first ? first : ""),
            ab_log_int ("last_resort", slot_request->last_resort),
            ab_log_int ("placers", (int64_t)share.placers));
}

static void
on_slot_request (void *ctx, const struct ab_frame *frame)
{
  struct ab_schedule_task *task = ctx;
  struct ab_sched_slot_request slot_request;

  if (ab_sched_read_slot_request (frame->body, &slot_request) < 0
      || !ab_chunk_copy (frame->sender, slot_request.host,
                         sizeof slot_request.host))
    return;
  /* A host that is not in the view yet must get an answer too.  */
  if (strcmp (slot_request.host, task->daemon->settings->host) != 0)
    ab_peer_task_set_address (task->daemon->peer,
                              ab_chunk_str (slot_request.host),
                              slot_request.host);
  slot_request.last_resort = is_last_resort (task, &slot_request);
  slot_request.rate_divisor = rate_divisor (task, &slot_request);
  set_share (task, &slot_request);
  ab_scheduler_request_slot (task->scheduler, &slot_request, now_ms ());
}

static void
on_in_flight (void *ctx, const struct ab_frame *frame)
{
  struct ab_schedule_task *task = ctx;
  struct ab_sched_attempt list[AB_SCHED_ADOPT_MAX];
  char host[AB_ADDRESS_BYTES];
  size_t count;
  uint64_t adopted = 0;

  if (ab_sched_read_in_flight (frame->body, list, &count) < 0
      || !ab_chunk_copy (frame->sender, host, sizeof host))
    return;
  for (size_t i = 0; i < count; i++)
    adopted += ab_scheduler_adopt (task->scheduler, host, &list[i], now_ms ());
  if (adopted == 0)
    return;
  *ab_counter (task->daemon->counters, "ab_attempts_adopted_total") += adopted;
  AB_LOG (AB_LOG_INFO, "attempts_adopted", ab_log_str ("from", host),
          ab_log_int ("attempts", (int64_t)adopted),
          ab_log_int ("reported", (int64_t)count));
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

/* Updates the metrics of targets with more requests than slots, and logs when
   there are more of them than before.  */
static void
report_overbooked (struct ab_schedule_task *task)
{
  struct ab_sched_overbooked overbooked
      = ab_scheduler_overbooked (task->scheduler);
  uint64_t *targets
      = ab_counter (task->daemon->counters, "ab_targets_overbooked");

  if (overbooked.targets > *targets)
    AB_LOG (AB_LOG_WARN, "targets_overbooked",
            ab_log_int ("targets", (int64_t)overbooked.targets),
            ab_log_int ("requests", (int64_t)overbooked.requests));
  *targets = overbooked.targets;
}

static void
on_tick (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_schedule_task *task = ctx;

  (void)fd;
  (void)events;
  ab_scheduler_tick (task->scheduler, now_ms ());
  report_overbooked (task);
}

static void
set_rate_limit (struct ab_schedule_task *task,
                const struct ab_fleet_target *target)
{
  ab_scheduler_set_rate_limit (task->scheduler, target->id,
                               ab_rate_limit_task_find (task->rate_limits,
                                                        target->id,
                                                        target->started_ms),
                               now_ms ());
}

void
ab_schedule_serve_target (void *ctx, const struct ab_fleet_target *target,
                          const char *shard)
{
  struct ab_schedule_task *task = ctx;
  const char *region
      = ab_fleet_region (task->settings, target->failure_domain);

  if (strcmp (region, task->settings->base.region) != 0)
    return;
  ab_scheduler_set_target (task->scheduler, target, shard, now_ms ());
  set_rate_limit (task, target);
}

static void
on_limit_changed (void *ctx, const struct ab_rate_limit *limit)
{
  struct ab_schedule_task *task = ctx;
  const struct ab_fleet_target *target
      = ab_shards_find_target (task->shards, limit->target);

  if (target)
    set_rate_limit (task, target);
}

static bool
is_known (void *ctx, const char *id)
{
  const struct ab_schedule_task *task = ctx;

  return ab_shards_find_target (task->shards, id);
}

static const struct ab_rate_limit_ops rate_limit_ops
    = { .is_known = is_known, .changed = on_limit_changed };

int
ab_schedule_serve (struct ab_schedule_task *task)
{
  const struct ab_fleet_settings *settings = task->settings;
  const struct timeval interval = { .tv_usec = AB_SCHED_TICK_MS * 1000 };
  struct ab_scheduler_config config
      = { .retry_fraction = settings->retry_fraction,
          .retry_extra = (double)settings->retry_extra,
          .retry_window_ms = settings->retry_window_ms,
          .role_overlap_ms = AB_FLEET_VIEW_FRESH_MS };

  task->scheduler = ab_scheduler_new (&config, &scheduler_ops, task);
  task->rate_limits
      = ab_rate_limit_task_new (task->daemon, &rate_limit_ops, task);
  task->tick = event_new (task->daemon->base, -1, EV_PERSIST, on_tick, task);
  if (!task->scheduler || !task->rate_limits || !task->tick
      || event_add (task->tick, &interval) < 0)
    return AB_ERR_MEMORY;
  ab_peer_task_set_handler (task->daemon->peer, AB_FRAME_SCHED_SLOT_REQUEST,
                            on_slot_request, task);
  ab_peer_task_set_handler (task->daemon->peer, AB_FRAME_SCHED_OUTCOME,
                            on_outcome, task);
  ab_peer_task_set_handler (task->daemon->peer, AB_FRAME_SCHED_IN_FLIGHT,
                            on_in_flight, task);
  return 0;
}
