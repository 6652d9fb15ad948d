#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "log.h"
#include "member_state_task.h"
#include "peer_task.h"

#define TICK_MS 50
#define STALL_MS 1000
/* Largest number of changes of leases that are applied to the view in a tick,
   to bound the work in a storm of announcements: 64 every 50 ms.  */
#define LEASE_CHANGES_PER_TICK 64

/* A change of the view that waits to be passed to the listeners.  */
struct member_change
{
  enum ab_item_kind kind;
  union
  {
    struct ab_host_view host;
    struct ab_target_view target;
    struct ab_quarantine_view quarantine;
  };
  struct member_change *prev;
  struct member_change *next;
};

static const char *const host_states[]
    = { "alive", "suspect", "leaving", "gone" };
static const char *const target_states[] = { "active", "draining", "gone" };

uint64_t
member_now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static uint64_t
wall_ms (void)
{
  return ab_clock_wall_ms (ab_clock_system ());
}

static struct ab_member_task *
task_of (struct ab_membership_env *env)
{
  return (struct ab_member_task *)env;
}

static void
send_host (struct ab_membership_env *env, const struct ab_host_view *host,
           enum ab_frame_type type, struct ab_chunk body)
{
  struct ab_peer_task *peer = task_of (env)->daemon->peer;

  if (ab_peer_task_send (peer, ab_chunk_str (host->name), type, body)
      == AB_ERR_NOT_FOUND)
    ab_peer_task_send_address (peer, host->peers, type, body);
}

static void
send_address (struct ab_membership_env *env, const char *address,
              enum ab_frame_type type, struct ab_chunk body)
{
  ab_peer_task_send_address (task_of (env)->daemon->peer, address, type, body);
}

/* Queues a copy of CHANGE for the listeners.  As they may call commands of
   this task, they are called later, from the event loop.  */
static void
queue_change (struct ab_member_task *task, const struct member_change *change)
{
  struct member_change *copy = malloc (sizeof *copy);

  if (!copy)
    return;
  *copy = *change;
  DL_APPEND (task->changes, copy);
  event_active (task->notify, EV_TIMEOUT, 0);
}

static void
notify_listeners (struct ab_member_task *task,
                  const struct member_change *change)
{
  switch (change->kind)
    {
    case AB_ITEM_HOST:
      for (size_t i = 0; i < task->host_listener_count; i++)
        task->host_listeners[i].listener (task->host_listeners[i].ctx,
                                          &change->host);
      break;
    case AB_ITEM_TARGET:
      for (size_t i = 0; i < task->target_listener_count; i++)
        task->target_listeners[i].listener (task->target_listeners[i].ctx,
                                            &change->target);
      break;
    case AB_ITEM_QUARANTINE:
      for (size_t i = 0; i < task->quarantine_listener_count; i++)
        task->quarantine_listeners[i].listener (
            task->quarantine_listeners[i].ctx, &change->quarantine);
      break;
    }
}

static void
on_notify (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_member_task *task = ctx;

  (void)fd;
  (void)events;
  while (task->changes)
    {
      struct member_change *change = task->changes;
      DL_DELETE (task->changes, change);
      notify_listeners (task, change);
      free (change);
    }
}

static void
explain (struct ab_member_task *task, const char *subject, const char *event,
         const struct ab_log_field *fields, size_t count)
{
  if (task->daemon->explain)
    ab_explain_add (task->daemon->explain, ab_chunk_str (subject), wall_ms (),
                    event, fields, count);
}

static void
update_peer (struct ab_member_task *task, const struct ab_host_view *host)
{
  struct ab_chunk name = ab_chunk_str (host->name);

  if (strcmp (host->name, task->daemon->settings->host) == 0)
    return;
  if (host->state != AB_HOST_DEAD)
    ab_peer_task_set_address (task->daemon->peer, name, host->peers);
  /* The consensus group keeps trying to reach its members even when the view
     lists them as dead.  */
  else if (host->role != AB_ROLE_CONTROL)
    ab_peer_task_remove_peer (task->daemon->peer, name);
}

static void
host_changed (struct ab_membership_env *env, const struct ab_host_view *host)
{
  struct ab_member_task *task = task_of (env);
  struct ab_chunk name = ab_chunk_str (host->name);
  struct member_change change = { .kind = AB_ITEM_HOST, .host = *host };
  struct ab_log_field fields[]
      = { ab_log_str ("state", host_states[host->state]),
          ab_log_int ("incarnation", (int64_t)host->incarnation) };

  member_choices_clear (task);
  update_peer (task, host);
  AB_LOG (AB_LOG_INFO, "host_changed", ab_log_chunk ("name", name), fields[0],
          fields[1], ab_log_int ("ready", host->ready));
  explain (task, host->name, "host_changed", fields, 2);
  queue_change (task, &change);
}

static void
target_changed (struct ab_membership_env *env,
                const struct ab_target_view *target)
{
  struct ab_member_task *task = task_of (env);
  struct member_change change = { .kind = AB_ITEM_TARGET, .target = *target };
  struct ab_log_field fields[]
      = { ab_log_str ("service", target->service),
          ab_log_str ("state", target_states[target->state]),
          ab_log_str ("registrar", target->registrar),
          ab_log_int ("incarnation", (int64_t)target->incarnation) };

  if (strcmp (target->registrar, task->daemon->settings->host) != 0)
    ab_leases_replace (task->leases, target);
  AB_LOG (AB_LOG_INFO, "target_changed",
          ab_log_str ("target", target->address), fields[0], fields[1],
          fields[2], fields[3]);
  explain (task, target->address, "target_changed", fields, 4);
  queue_change (task, &change);
}

static void
quarantine_changed (struct ab_membership_env *env,
                    const struct ab_quarantine_view *item)
{
  struct member_change change
      = { .kind = AB_ITEM_QUARANTINE, .quarantine = *item };

  queue_change (task_of (env), &change);
}

static bool
holds_lease (struct ab_membership_env *env,
             const struct ab_target_view *target)
{
  return ab_leases_hold (task_of (env)->leases, target);
}

static const struct ab_membership_ops ops = {
  .send = send_host,
  .send_address = send_address,
  .host_changed = host_changed,
  .target_changed = target_changed,
  .quarantine_changed = quarantine_changed,
  .holds_lease = holds_lease,
};

static void
take_lease_change (void *ctx, const struct ab_lease *lease)
{
  struct ab_member_task *task = ctx;
  uint64_t now_ms = member_now_ms ();
  int rc;

  if (lease->state == AB_LEASE_HELD && lease->target.state == AB_TARGET_ACTIVE)
    rc = ab_membership_announce (task->m, &lease->target, lease->lease_ms,
                                 now_ms);
  else
    rc = ab_membership_set_target_state (task->m, &lease->target,
                                         lease->target.state, now_ms);
  if (rc < 0)
    AB_LOG (AB_LOG_WARN, "target_change_refused",
            ab_log_str ("target", lease->target.address),
            ab_log_str ("reason", ab_strerror (rc)));
}

void
member_flush_leases (struct ab_member_task *task)
{
  task->lease_changes_left -= ab_leases_take (
      task->leases, task->lease_changes_left, take_lease_change, task);
}

static void
set_gauges (struct ab_member_task *task)
{
  struct ab_counters *counters = task->daemon->counters;
  struct ab_membership_stats stats = ab_membership_stats (task->m);

  *ab_counter (counters, "ab_member_hosts") = stats.hosts;
  *ab_counter (counters, "ab_member_items") = stats.items;
  *ab_counter (counters, "ab_member_changes_waiting") = stats.updates_waiting;
  *ab_counter (counters, "ab_member_bytes_sent_total") = stats.bytes_sent;
  *ab_counter (counters, "ab_member_probes_failed_total")
      = stats.probes_failed;
  *ab_counter (counters, "ab_member_declared_gone_total")
      = stats.declared_dead;
  *ab_counter (counters, "ab_member_leases") = ab_leases_count (task->leases);
}

static void
on_tick (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_member_task *task = ctx;
  uint64_t now_ms = member_now_ms ();
  uint64_t gap_ms = now_ms - task->last_tick_ms;

  (void)fd;
  (void)events;
  task->last_tick_ms = now_ms;
  /* Renewals that arrived while this process did not run are still unread in
     its sockets, so that leases must not expire yet.  */
  if (gap_ms >= STALL_MS)
    ab_leases_exclude_stall (task->leases, gap_ms);
  ab_membership_tick (task->m, now_ms, wall_ms ());
  ab_leases_expire (task->leases, now_ms);
  task->lease_changes_left = LEASE_CHANGES_PER_TICK;
  member_flush_leases (task);
  set_gauges (task);
}

static void
on_frame (void *ctx, const struct ab_frame *frame)
{
  struct ab_member_task *task = ctx;
  int rc = ab_membership_receive (task->m, frame, member_now_ms ());

  if (rc < 0)
    AB_LOG (AB_LOG_WARN, "member_frame_unusable",
            ab_log_chunk ("sender", frame->sender),
            ab_log_str ("type", ab_frame_type_name (frame->type)),
            ab_log_str ("reason", ab_strerror (rc)));
}

static void
fill_self (const struct ab_member_task *task, struct ab_host_view *self)
{
  const struct ab_settings *settings = task->daemon->settings;
  const char *peers = settings->advertise.peers;
  size_t len = strlen (peers);

  /* With port 0, the operating system has chosen the port.  */
  if (len < 2 || strcmp (peers + len - 2, ":0") == 0)
    peers = ab_peer_task_address (task->daemon->peer);
  memset (self, 0, sizeof *self);
  memcpy (self->name, settings->host, sizeof self->name);
  memcpy (self->region, settings->region, sizeof self->region);
  memcpy (self->failure_domain, settings->failure_domain,
          sizeof self->failure_domain);
  memcpy (self->callers, settings->advertise.callers, sizeof self->callers);
  memcpy (self->admin, settings->advertise.admin, sizeof self->admin);
  ab_chunk_copy_bounded (ab_chunk_str (peers), self->peers,
                         sizeof self->peers);
  self->role = settings->role;
  self->incarnation = task->daemon->incarnation;
  /* A control host serves no callers, so it needs neither a bundle nor a view
     of targets to be ready.  */
  self->ready = settings->role == AB_ROLE_CONTROL;
}

/* Returns the addresses of the configured seeds and of the control hosts,
   which serve as seeds too.  Sets *COUNT.  The caller frees them.  Returns
   null when memory is full.  */
static char (*make_seeds (const struct ab_settings *settings,
                          size_t *count))[AB_ADDRESS_BYTES]
{
  char (*seeds)[AB_ADDRESS_BYTES] = calloc (
      settings->seed_count + settings->control_count + 1, sizeof *seeds);

  *count = 0;
  if (!seeds)
    return NULL;
  for (size_t i = 0; i < settings->seed_count; i++)
    memcpy (seeds[(*count)++], settings->seeds[i], sizeof *seeds);
  for (size_t i = 0; i < settings->control_count; i++)
    memcpy (seeds[(*count)++], settings->control[i].address, sizeof *seeds);
  return seeds;
}

static int
start_membership (struct ab_member_task *task)
{
  const struct ab_settings *settings = task->daemon->settings;
  struct ab_membership_config config
      = { .probe_interval_ms = settings->probe_interval_ms,
          .probe_timeout_ms = settings->probe_timeout_ms,
          .suspicion_ms = settings->suspicion_ms };
  char (*seeds)[AB_ADDRESS_BYTES] = make_seeds (settings, &config.seed_count);

  if (!seeds)
    return AB_ERR_MEMORY;
  config.seeds = (const char (*)[AB_ADDRESS_BYTES])seeds;
  fill_self (task, &config.self);
  task->ready = config.self.ready;
  task->m
      = ab_membership_new (&task->env, &task->rng, &config, member_now_ms ());
  free (seeds);
  return task->m ? 0 : AB_ERR_MEMORY;
}

static void
set_up_peer (struct ab_member_task *task)
{
  static const enum ab_frame_type types[]
      = { AB_FRAME_PING,  AB_FRAME_ACK,    AB_FRAME_PING_REQUEST,
          AB_FRAME_DELTA, AB_FRAME_DIGEST, AB_FRAME_REPAIR };
  const struct ab_settings *settings = task->daemon->settings;

  for (size_t i = 0; i < sizeof types / sizeof types[0]; i++)
    ab_peer_task_set_handler (task->daemon->peer, types[i], on_frame, task);
  /* Members of the consensus group must reach each other before the view is
     known.  */
  for (size_t i = 0; i < settings->control_count; i++)
    if (strcmp (settings->control[i].host, settings->host) != 0)
      ab_peer_task_set_address (task->daemon->peer,
                                ab_chunk_str (settings->control[i].host),
                                settings->control[i].address);
}

static int
start_events (struct ab_member_task *task)
{
  const struct timeval interval = { .tv_usec = TICK_MS * 1000 };
  struct event_base *base = task->daemon->base;

  task->notify = event_new (base, -1, 0, on_notify, task);
  task->tick = event_new (base, -1, EV_PERSIST, on_tick, task);
  if (!task->notify || !task->tick || event_add (task->tick, &interval) < 0)
    return AB_ERR_MEMORY;
  return 0;
}

int
ab_member_task_new (struct ab_daemon *daemon, struct ab_member_task **task)
{
  struct ab_member_task *result = calloc (1, sizeof *result);
  int rc;

  *task = NULL;
  if (!result)
    return AB_ERR_MEMORY;
  result->env.ops = &ops;
  result->daemon = daemon;
  result->last_tick_ms = member_now_ms ();
  result->lease_changes_left = LEASE_CHANGES_PER_TICK;
  ab_rng_init_system (&result->rng);
  result->leases = ab_leases_new ();
  rc = result->leases ? start_events (result) : AB_ERR_MEMORY;
  if (rc == 0)
    rc = start_membership (result);
  if (rc < 0)
    goto out;
  set_up_peer (result);
  *task = result;
  result = NULL;
out:
  ab_member_task_free (result);
  return rc;
}

void
ab_member_task_free (struct ab_member_task *task)
{
  if (!task)
    return;
  if (task->tick)
    event_free (task->tick);
  if (task->notify)
    event_free (task->notify);
  while (task->changes)
    {
      struct member_change *change = task->changes;
      DL_DELETE (task->changes, change);
      free (change);
    }
  member_choices_clear (task);
  ab_membership_free (task->m);
  ab_leases_free (task->leases);
  free (task);
}

static void
set_self (struct ab_member_task *task)
{
  ab_membership_set_self (task->m, task->leaving, task->ready,
                          member_now_ms ());
}

void
ab_member_task_leave (struct ab_member_task *task)
{
  task->leaving = true;
  set_self (task);
}

void
ab_member_task_rejoin (struct ab_member_task *task)
{
  task->leaving = false;
  set_self (task);
}

void
ab_member_task_set_ready (struct ab_member_task *task, bool ready)
{
  task->ready = ready;
  set_self (task);
}

void
ab_member_task_quarantine (struct ab_member_task *task,
                           const struct ab_quarantine_view *item)
{
  ab_membership_quarantine (task->m, item, member_now_ms (), wall_ms ());
}

void
ab_member_task_release_quarantine (struct ab_member_task *task,
                                   const struct ab_digest *content)
{
  struct ab_quarantine_view item = { .content = *content };

  ab_membership_quarantine (task->m, &item, member_now_ms (), wall_ms ());
}

bool
ab_member_task_quarantined (const struct ab_member_task *task,
                            const struct ab_digest *content)
{
  const struct ab_item *item
      = ab_membership_find_quarantine (task->m, content);

  return item && !item->quarantine.target[0]
         && item->quarantine.until_wall_ms > wall_ms ();
}

const struct ab_host_view *
ab_member_task_find_host (const struct ab_member_task *task,
                          struct ab_chunk name)
{
  const struct ab_item *item = ab_membership_find_host (task->m, name);

  return item ? &item->host : NULL;
}

void
ab_member_task_listen_hosts (struct ab_member_task *task,
                             ab_host_listener listener, void *ctx)
{
  size_t at = task->host_listener_count;

  if (at == MEMBER_LISTENERS_MAX)
    return;
  task->host_listeners[at].listener = listener;
  task->host_listeners[at].ctx = ctx;
  task->host_listener_count++;
}

void
ab_member_task_listen_targets (struct ab_member_task *task,
                               ab_target_listener listener, void *ctx)
{
  size_t at = task->target_listener_count;

  if (at == MEMBER_LISTENERS_MAX)
    return;
  task->target_listeners[at].listener = listener;
  task->target_listeners[at].ctx = ctx;
  task->target_listener_count++;
}

void
ab_member_task_listen_quarantine (struct ab_member_task *task,
                                  ab_quarantine_listener listener, void *ctx)
{
  size_t at = task->quarantine_listener_count;

  if (at == MEMBER_LISTENERS_MAX)
    return;
  task->quarantine_listeners[at].listener = listener;
  task->quarantine_listeners[at].ctx = ctx;
  task->quarantine_listener_count++;
}
