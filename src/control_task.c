#include "control_parts.h"

#include <stdio.h>
#include <stdlib.h>

#include "bundle_task.h"
#include "keys.h"

#define FOLDER_NAME "control"
#define WATCH_INTERVAL_MS 200
/* A snapshot is written when the log has grown by so much.  With a large
   state the bounds grow with it, so that the disk is not kept busy by writing
   the same records again.  */
#define SNAPSHOT_ENTRIES 5000
#define SNAPSHOT_BYTES (16ULL * 1024 * 1024)
#define RECORDS_PER_ENTRY 4
#define SNAPSHOT_RETRY_MS 10000
#define TICK_MIN_MS 1

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
  event_active (task->flush_event, EV_TIMEOUT, 0);
}

/* Effects of the consensus core.  */

static struct ab_control_task *
task_of (struct ab_raft_io *io)
{
  return (struct ab_control_task *)io;
}

static void
io_send (struct ab_raft_io *io, const char *to, struct ab_chunk message)
{
  ab_peer_task_send (task_of (io)->daemon->peer, ab_chunk_str (to),
                     AB_FRAME_RAFT, message);
}

static int
io_save_vote (struct ab_raft_io *io, const struct ab_raft_hard_state *state)
{
  return ab_storage_save_vote (task_of (io)->storage, state);
}

static int
io_append (struct ab_raft_io *io, const struct ab_raft_entry *entries,
           size_t count)
{
  return ab_storage_append (task_of (io)->storage, entries, count);
}

static int
io_truncate (struct ab_raft_io *io, uint64_t first_index)
{
  return ab_storage_truncate (task_of (io)->storage, first_index);
}

static int
io_sync (struct ab_raft_io *io)
{
  return ab_storage_sync (task_of (io)->storage);
}

static int
io_install_snapshot (struct ab_raft_io *io, uint64_t index, uint64_t term,
                     const struct ab_raft_member *members, size_t count,
                     struct ab_chunk data)
{
  struct ab_control_task *task = task_of (io);
  int rc = ab_storage_save_snapshot (task->storage, index, term, members,
                                     count, data);

  if (rc == 0)
    rc = ab_storage_reset_log (task->storage, index + 1);
  if (rc < 0)
    return rc;
  rc = ab_control_state_load (task->state, data);
  if (rc < 0)
    ab_control_fatal ("control_snapshot_unusable", rc);
  task->entries_since_snapshot = 0;
  task->bytes_since_snapshot = 0;
  task->snapshot_bytes = data.len;
  AB_LOG (AB_LOG_INFO, "control_snapshot_installed",
          ab_log_int ("index", (int64_t)index),
          ab_log_int ("bytes", (int64_t)data.len));
  return 0;
}

static int
io_load_snapshot (struct ab_raft_io *io, uint64_t *index, uint64_t *term,
                  struct ab_buf *data)
{
  return ab_storage_load_snapshot (task_of (io)->storage, index, term, data);
}

static void
io_apply (struct ab_raft_io *io, const struct ab_raft_entry *entry)
{
  struct ab_control_task *task = task_of (io);
  int rc = 0;

  task->entries_since_snapshot++;
  task->bytes_since_snapshot += entry->data.len;
  if (entry->kind == AB_RAFT_ENTRY_COMMAND)
    rc = ab_control_state_apply (task->state, entry->index, entry->term,
                                 entry->data);
  if (rc < 0)
    ab_control_fatal ("control_apply_failed", rc);
}

static void
io_read_ready (struct ab_raft_io *io, uint64_t request, int rc)
{
  ab_control_serve_read_ready (task_of (io), request, rc);
}

static const struct ab_raft_io_ops io_ops
    = { .send = io_send,
        .save_vote = io_save_vote,
        .append = io_append,
        .truncate = io_truncate,
        .sync = io_sync,
        .install_snapshot = io_install_snapshot,
        .load_snapshot = io_load_snapshot,
        .apply = io_apply,
        .read_ready = io_read_ready };

/* Proposals.  */

static struct ab_pending *
pending_new (uint64_t index, uint64_t term, const struct ab_command *command,
             enum ab_frame_type reply_type,
             const struct ab_requester *requester)
{
  struct ab_pending *pending = calloc (1, sizeof *pending);

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
  struct ab_pending *pending;

  ab_raft_status (task->raft, &status);
  pending = pending_new (index, status.term, command, reply_type, requester);
  /* Without memory the client asks again and meets the applied command.  */
  if (!pending)
    return;
  HASH_ADD (by_index, task->pending, index, sizeof pending->index, pending);
  HASH_ADD (by_requester, task->pending_senders, requester,
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

/* Certifies the current bundle and hands it to the bundle task.  */
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

/* Snapshots.  */

static bool
snapshot_due (const struct ab_control_task *task, uint64_t now_ms)
{
  uint64_t records = ab_ledger_count (ab_control_state_ledger (task->state));
  uint64_t entries = records / RECORDS_PER_ENTRY;
  uint64_t bytes = task->snapshot_bytes;

  if (entries < SNAPSHOT_ENTRIES)
    entries = SNAPSHOT_ENTRIES;
  if (bytes < SNAPSHOT_BYTES)
    bytes = SNAPSHOT_BYTES;
  return now_ms >= task->snapshot_retry_ms
         && (task->entries_since_snapshot >= entries
             || task->bytes_since_snapshot >= bytes);
}

static void
write_snapshot (struct ab_control_task *task, uint64_t now_ms)
{
  struct ab_buf data = AB_BUF_INIT;
  struct ab_raft_point point;
  int rc = ab_raft_applied_point (task->raft, &point);

  if (rc == 0)
    rc = ab_control_state_save (task->state, &data);
  if (rc == 0)
    rc = ab_storage_save_snapshot (task->storage, point.index, point.term,
                                   point.members, point.member_count,
                                   ab_buf_chunk (&data));
  if (rc == 0)
    {
      ab_raft_compacted (task->raft, point.index, point.term);
      task->entries_since_snapshot = 0;
      task->bytes_since_snapshot = 0;
      task->snapshot_bytes = data.len;
      AB_LOG (AB_LOG_INFO, "control_snapshot_written",
              ab_log_int ("index", (int64_t)point.index),
              ab_log_int ("bytes", (int64_t)data.len),
              ab_log_int ("duration_ms",
                          (int64_t)(ab_control_now_ms () - now_ms)));
    }
  else if (rc == AB_ERR_FULL || rc == AB_ERR_MEMORY || rc == AB_ERR_NOT_FOUND)
    {
      task->snapshot_retry_ms = now_ms + SNAPSHOT_RETRY_MS;
      AB_LOG (AB_LOG_WARN, "control_snapshot_postponed",
              ab_log_str ("error", ab_strerror (rc)));
    }
  else
    ab_control_fatal ("control_snapshot_failed", rc);
  ab_buf_free (&data);
}

/* Events.  */

static void
arm_raft_timer (struct ab_control_task *task, uint64_t now_ms)
{
  uint64_t next = ab_raft_next_tick_ms (task->raft);
  uint64_t delay = next > now_ms ? next - now_ms : TICK_MIN_MS;
  struct timeval after = { .tv_sec = (time_t)(delay / 1000),
                           .tv_usec = (suseconds_t)(delay % 1000 * 1000) };

  evtimer_add (task->raft_timer, &after);
}

static void
note_leadership (struct ab_control_task *task, uint64_t now_ms)
{
  struct ab_raft_status status;

  ab_raft_status (task->raft, &status);
  if (status.leader == (task->leader_since_ms != 0))
    return;
  task->leader_since_ms = status.leader ? now_ms : 0;
  AB_LOG (AB_LOG_INFO, status.leader ? "control_leader" : "control_follower",
          ab_log_int ("term", (int64_t)status.term));
  if (!status.leader)
    {
      ab_control_serve_drop_pending (task);
      task->change.active = false;
    }
}

static void
on_flush (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_control_task *task = ctx;
  uint64_t now = ab_control_now_ms ();
  int rc = ab_raft_flush (task->raft, now);

  (void)fd;
  (void)events;
  if (rc < 0)
    ab_control_fatal ("control_storage_failed", rc);
  note_leadership (task, now);
  offer_bundle (task);
  if (snapshot_due (task, now))
    write_snapshot (task, now);
  arm_raft_timer (task, now);
}

static void
on_raft_timer (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_control_task *task = ctx;

  ab_raft_tick (task->raft, ab_control_now_ms ());
  on_flush (fd, events, ctx);
}

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

static void
on_raft_frame (void *ctx, const struct ab_frame *frame)
{
  struct ab_control_task *task = ctx;
  char from[AB_NAME_BYTES];

  if (!ab_chunk_copy (frame->sender, from, sizeof from))
    return;
  ab_raft_receive (task->raft, ab_control_now_ms (), from, frame->body);
  ab_control_schedule_flush (task);
}

/* Life.  */

static int
open_storage (struct ab_control_task *task, struct ab_storage_content *content,
              char error[AB_CONF_ERROR_BYTES])
{
  const struct ab_settings *settings = task->daemon->settings;
  struct ab_raft_member members[AB_CONTROL_MEMBERS_MAX] = { 0 };
  struct ab_buf folder = AB_BUF_INIT;
  int rc;

  for (size_t i = 0; i < settings->control_count; i++)
    {
      memcpy (members[i].host, settings->control[i].host,
              sizeof members[i].host);
      memcpy (members[i].address, settings->control[i].address,
              sizeof members[i].address);
    }
  rc = ab_buf_printf (&folder, "%s/%s", settings->data_folder, FOLDER_NAME);
  if (rc == 0)
    rc = ab_storage_open (folder.data, members, settings->control_count,
                          &task->storage, content, error);
  ab_buf_free (&folder);
  if (rc < 0)
    return rc;
  memcpy (task->disk_id, content->disk_id, sizeof task->disk_id);
  if (content->fresh)
    AB_LOG (AB_LOG_INFO, "control_folder_created");
  return 0;
}

static int
start_raft (struct ab_control_task *task, char error[AB_CONF_ERROR_BYTES])
{
  const struct ab_settings *settings = task->daemon->settings;
  struct ab_raft_config config = { .host = settings->host,
                                   .heartbeat_ms = settings->raft_heartbeat_ms,
                                   .election_ms = settings->raft_election_ms,
                                   .rng = &task->rng,
                                   .io = &task->io };
  struct ab_storage_content content = { 0 };
  int rc = open_storage (task, &content, error);

  if (rc < 0)
    goto out;
  if (content.snapshot_data.len > 0)
    rc = ab_control_state_load (task->state,
                                ab_buf_chunk (&content.snapshot_data));
  if (rc < 0)
    {
      snprintf (error, AB_CONF_ERROR_BYTES,
                "the control snapshot cannot be read: %s", ab_strerror (rc));
      goto out;
    }
  task->snapshot_bytes = content.snapshot_data.len;
  memcpy (config.disk_id, content.disk_id, sizeof config.disk_id);
  rc = ab_raft_new (&config, &content.start, ab_control_now_ms (),
                    &task->raft);
out:
  ab_storage_content_free (&content);
  return rc;
}

static int
start_events (struct ab_control_task *task)
{
  struct event_base *base = task->daemon->base;
  const struct timeval interval = { .tv_usec = WATCH_INTERVAL_MS * 1000 };

  task->raft_timer = evtimer_new (base, on_raft_timer, task);
  task->flush_event = evtimer_new (base, on_flush, task);
  task->watch_timer = event_new (base, -1, EV_PERSIST, on_watch_timer, task);
  if (!task->raft_timer || !task->flush_event || !task->watch_timer
      || event_add (task->watch_timer, &interval) < 0)
    return AB_ERR_MEMORY;
  ab_control_schedule_flush (task);
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
  task->io.ops = &io_ops;
  ab_rng_init_system (&task->rng);
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
  ab_peer_task_handle (daemon->peer, AB_FRAME_RAFT, on_raft_frame, task);
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

static void
free_event (struct event *event)
{
  if (event)
    event_free (event);
}

void
ab_control_task_free (struct ab_control_task *task)
{
  if (!task)
    return;
  ab_control_serve_stop (task);
  ab_peer_task_handle (task->daemon->peer, AB_FRAME_RAFT, NULL, NULL);
  free_event (task->raft_timer);
  free_event (task->flush_event);
  free_event (task->watch_timer);
  ab_control_watch_free (task);
  ab_raft_free (task->raft);
  ab_storage_close (task->storage);
  ab_control_state_free (task->state);
  free (task);
}
