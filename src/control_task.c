#include "control_internal.h"

#include <stdio.h>
#include <stdlib.h>

#include "bundle_task.h"
#include "keys.h"

#define FOLDER_NAME "control"
#define WATCH_INTERVAL_MS 200
/* A snapshot replaces the log when the log reaches either bound.  */
#define SNAPSHOT_ENTRIES 5000
#define SNAPSHOT_BYTES (16ULL * 1024 * 1024)

uint64_t
ab_control_now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

void
ab_control_fatal (const char *event, int rc)
{
  AB_LOG (AB_LOG_ERROR, event, ab_log_str ("error", ab_strerror (rc)),
          ab_log_str ("action", "the process stops"));
  exit (EXIT_FAILURE);
}

void
ab_control_schedule_flush (struct ab_control_task *task)
{
  ab_raft_task_flush (task->consensus);
}

/* Proposals.  */

static struct ab_pending_command *
pending_new (uint64_t index, uint64_t term, const struct ab_command *command,
             enum ab_frame_type reply_type,
             const struct ab_requester *requester)
{
  struct ab_pending_command *pending = calloc (1, sizeof *pending);

  if (!pending)
    return NULL;
  pending->index = index;
  pending->term = term;
  pending->reply_type = reply_type;
  pending->requester = *requester;
  pending->key = command->key;
  return pending;
}

static void
add_pending (struct ab_control_task *task, uint64_t index,
             const struct ab_command *command, enum ab_frame_type reply_type,
             const struct ab_requester *requester)
{
  struct ab_raft_status status;
  struct ab_pending_command *pending;

  ab_raft_status (task->raft, &status);
  pending = pending_new (index, status.term, command, reply_type, requester);
  /* If memory is short, the client gets no reply to this request.  It retries
     and gets the result of the command, which is applied by then.  */
  if (!pending)
    return;
  HASH_ADD (index_hh, task->pending, index, sizeof pending->index, pending);
  HASH_ADD (requester_hh, task->pending_by_requester, requester,
            sizeof pending->requester, pending);
}

int
ab_control_propose (struct ab_control_task *task, struct ab_command *command,
                    enum ab_frame_type reply_type,
                    const struct ab_requester *requester)
{
  struct ab_buf data = AB_BUF_INIT;
  uint64_t index;
  int rc;

  command->time_ms = ab_clock_wall_ms (ab_clock_system ());
  rc = ab_command_encode (command, &data);
  if (rc == 0)
    rc = ab_raft_propose (task->raft, ab_control_now_ms (),
                          ab_buf_chunk (&data), &index);
  if (rc == 0 && requester)
    add_pending (task, index, command, reply_type, requester);
  if (rc == 0)
    ab_control_schedule_flush (task);
  ab_buf_free (&data);
  return rc;
}

/* Bundles.  */

/* Certifies the current bundle and gives it to the bundle task, unless it was
   given before.  */
static void
offer_bundle (struct ab_control_task *task)
{
  const struct ab_bundle_record *current
      = ab_control_state_current (task->state);
  struct ab_signed_bundle bundle;
  int rc;

  if (!current || current->log_index == task->offered_index
      || !task->daemon->bundle)
    return;
  task->offered_index = current->log_index;
  rc = ab_signed_bundle_decode (ab_control_state_bundle (task->state),
                                &bundle);
  if (rc < 0)
    ab_control_fatal ("control_bundle_unusable", rc);
  ab_signed_bundle_certify (&bundle, current->log_index, &task->key);
  rc = ab_bundle_task_offer (task->daemon->bundle, &bundle);
  if (rc < 0 && rc != AB_ERR_STALE)
    AB_LOG (AB_LOG_ERROR, "accepted_bundle_not_usable_here",
            ab_log_int ("version", (int64_t)current->version),
            ab_log_str ("error", ab_strerror (rc)));
  ab_signed_bundle_free (&bundle);
}

/* Callbacks of the consensus task.  */

static int
on_apply (void *ctx, uint64_t index, uint64_t term, struct ab_chunk data)
{
  struct ab_control_task *task = ctx;

  return ab_control_state_apply (task->state, index, term, data);
}

static int
on_save (void *ctx, struct ab_buf *out)
{
  struct ab_control_task *task = ctx;

  return ab_control_state_save (task->state, out);
}

static int
on_load (void *ctx, struct ab_chunk data)
{
  struct ab_control_task *task = ctx;

  return ab_control_state_load (task->state, data);
}

static uint64_t
count_records (void *ctx)
{
  const struct ab_control_task *task = ctx;

  return ab_ledger_count (ab_control_state_ledger (task->state));
}

static void
on_read_ready (void *ctx, uint64_t request, int rc)
{
  ab_control_serve_read_ready (ctx, request, rc);
}

static void
on_flushed (void *ctx, bool applied, bool leadership_changed)
{
  struct ab_control_task *task = ctx;

  (void)applied;
  if (leadership_changed)
    {
      task->leader_since_ms = task->leader_since_ms ? 0 : ab_control_now_ms ();
      if (!task->leader_since_ms)
        {
          ab_control_serve_drop_pending (task);
          task->change.active = false;
        }
    }
  offer_bundle (task);
}

static const struct ab_raft_task_ops raft_ops
    = { .apply = on_apply,
        .save = on_save,
        .load = on_load,
        .record_count = count_records,
        .read_ready = on_read_ready,
        .flushed = on_flushed };

/* Events.  */

static void
on_watch_timer (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_control_task *task = ctx;

  (void)fd;
  (void)events;
  ab_control_group_addresses (task);
  offer_bundle (task);
  if (!task->leader_since_ms)
    return;
  ab_control_group_step (task);
  ab_control_watch (task, ab_control_now_ms ());
}

/* Start and stop.  */

static int
start_raft (struct ab_control_task *task, char error[AB_CONF_ERROR_BYTES])
{
  const struct ab_settings *settings = task->daemon->settings;
  struct ab_raft_member members[AB_CONTROL_MEMBERS_MAX] = { 0 };
  const struct ab_raft_task_config config
      = { .folder = FOLDER_NAME,
          .initial_members = members,
          .initial_member_count = settings->control_count,
          .snapshot_entries = SNAPSHOT_ENTRIES,
          .snapshot_bytes = SNAPSHOT_BYTES,
          .ops = &raft_ops,
          .ctx = task };
  int rc;

  for (size_t i = 0; i < settings->control_count; i++)
    {
      memcpy (members[i].host, settings->control[i].host,
              sizeof members[i].host);
      memcpy (members[i].address, settings->control[i].address,
              sizeof members[i].address);
    }
  rc = ab_raft_task_new (task->daemon, settings->data_folder, &config,
                         &task->consensus, error);
  if (rc == 0)
    task->raft = ab_raft_task_core (task->consensus);
  return rc;
}

static int
start_events (struct ab_control_task *task)
{
  struct event_base *base = task->daemon->base;
  const struct timeval interval = { .tv_usec = WATCH_INTERVAL_MS * 1000 };

  task->watch_timer = event_new (base, -1, EV_PERSIST, on_watch_timer, task);
  if (!task->watch_timer || event_add (task->watch_timer, &interval) < 0)
    return AB_ERR_MEMORY;
  return 0;
}

int
ab_control_task_new (struct ab_daemon *daemon, struct ab_control_task **result,
                     char error[AB_CONF_ERROR_BYTES])
{
  struct ab_control_task *task = calloc (1, sizeof *task);
  int rc = AB_ERR_MEMORY;

  *result = NULL;
  error[0] = '\0';
  if (!task)
    return rc;
  task->daemon = daemon;
  task->state = ab_control_state_new (NULL);
  if (!task->state)
    goto out;
  rc = ab_secret_key_load (daemon->settings->keys.host_file, &task->key,
                           error);
  if (rc == 0)
    rc = start_raft (task, error);
  if (rc == 0)
    rc = start_events (task);
  if (rc < 0)
    goto out;
  ab_control_group_addresses (task);
  ab_control_serve_start (task);
  *result = task;
out:
  if (rc < 0)
    {
      if (!error[0])
        snprintf (error, AB_CONF_ERROR_BYTES,
                  "cannot start the control role: %s", ab_strerror (rc));
      ab_control_task_free (task);
    }
  return rc;
}

void
ab_control_task_free (struct ab_control_task *task)
{
  if (!task)
    return;
  ab_control_serve_stop (task);
  if (task->watch_timer)
    event_free (task->watch_timer);
  ab_control_watch_free (task);
  ab_raft_task_free (task->consensus);
  ab_control_state_free (task->state);
  free (task);
}
