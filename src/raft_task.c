#include "raft_task.h"

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "error.h"
#include "log.h"
#include "peer_task.h"
#include "storage.h"

/* Shortest delay of the timer.  */
#define TICK_MIN_MS 1
/* Delay before a snapshot that could not be written is tried again.  */
#define SNAPSHOT_RETRY_MS 5000
/* Records of the state per log entry: with a large state a snapshot is due
   only after records / RECORDS_PER_LOG_ENTRY entries.  */
#define RECORDS_PER_LOG_ENTRY 4

struct ab_raft_task
{
  /* First member: the io callbacks cast it back to the task.  */
  struct ab_raft_io io;
  struct ab_daemon *daemon;
  struct ab_raft_task_config config;
  struct ab_raft *raft;
  struct ab_storage *storage;
  struct ab_rng rng;
  uint8_t disk_id[AB_DISK_ID_BYTES];
  struct event *timer;
  struct event *flush;
  uint64_t entries_since_snapshot;
  uint64_t bytes_since_snapshot;
  uint64_t snapshot_bytes; /* Size of the last snapshot in bytes.  */
  /* No snapshot is written before this time.  */
  uint64_t snapshot_retry_ms;
  bool leader;
  bool disk_full;
  bool applied;
  uint64_t term; /* Term in the last group_term log line.  */
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

/* Ends the process: what this member has acknowledged may not be on its
   disk.  */
static void __attribute__ ((noreturn)) fatal (const char *event, int rc)
{
  AB_LOG (AB_LOG_ERROR, event, ab_log_str ("error", ab_strerror (rc)),
          ab_log_str ("action", "the process stops"));
  exit (EXIT_FAILURE);
}

/* Callbacks of the consensus core.  */

static struct ab_raft_task *
task_of (struct ab_raft_io *io)
{
  return (struct ab_raft_task *)io;
}

static void
io_send (struct ab_raft_io *io, const char *to, struct ab_chunk message)
{
  struct ab_raft_task *task = task_of (io);

  if (task->config.ops->before_send)
    task->config.ops->before_send (task->config.ctx, to);
  ab_peer_task_send (task->daemon->peer, ab_chunk_str (to), AB_FRAME_RAFT,
                     message);
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

static void
record_snapshot (struct ab_raft_task *task, const char *event, uint64_t index,
                 size_t bytes)
{
  task->entries_since_snapshot = 0;
  task->bytes_since_snapshot = 0;
  task->snapshot_bytes = bytes;
  AB_LOG (AB_LOG_INFO, event, ab_log_int ("index", (int64_t)index),
          ab_log_int ("bytes", (int64_t)bytes));
}

static int
io_install_snapshot (struct ab_raft_io *io, uint64_t index, uint64_t term,
                     const struct ab_raft_member *members, size_t count,
                     struct ab_chunk data)
{
  struct ab_raft_task *task = task_of (io);
  int rc = ab_storage_save_snapshot (task->storage, index, term, members,
                                     count, data);

  if (rc == 0)
    rc = ab_storage_reset_log (task->storage, index + 1);
  if (rc < 0)
    return rc;
  rc = task->config.ops->load (task->config.ctx, data);
  if (rc < 0)
    fatal ("group_snapshot_unusable", rc);
  task->applied = true;
  record_snapshot (task, "group_snapshot_installed", index, data.len);
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
  struct ab_raft_task *task = task_of (io);
  int rc = 0;

  task->entries_since_snapshot++;
  task->bytes_since_snapshot += entry->data.len;
  task->applied = true;
  if (entry->kind == AB_RAFT_ENTRY_COMMAND)
    rc = task->config.ops->apply (task->config.ctx, entry->index, entry->term,
                                  entry->data);
  if (rc < 0)
    fatal ("group_apply_failed", rc);
}

static void
io_read_ready (struct ab_raft_io *io, uint64_t request, int rc)
{
  struct ab_raft_task *task = task_of (io);

  task->config.ops->read_ready (task->config.ctx, request, rc);
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

/* Snapshots.  */

static bool
snapshot_due (const struct ab_raft_task *task, uint64_t now)
{
  const struct ab_raft_task_config *config = &task->config;
  uint64_t entries
      = config->ops->record_count
            ? config->ops->record_count (config->ctx) / RECORDS_PER_LOG_ENTRY
            : 0;
  uint64_t bytes = task->snapshot_bytes;

  if (entries < config->snapshot_entries)
    entries = config->snapshot_entries;
  if (bytes < config->snapshot_bytes)
    bytes = config->snapshot_bytes;
  return now >= task->snapshot_retry_ms
         && (task->entries_since_snapshot >= entries
             || task->bytes_since_snapshot >= bytes);
}

static void
write_snapshot (struct ab_raft_task *task, uint64_t now)
{
  struct ab_buf data = AB_BUF_INIT;
  struct ab_raft_snapshot_metadata metadata;
  int rc = ab_raft_get_snapshot_metadata (task->raft, &metadata);

  if (rc == 0)
    rc = task->config.ops->save (task->config.ctx, &data);
  if (rc == 0)
    rc = ab_storage_save_snapshot (
        task->storage, metadata.index, metadata.term, metadata.members,
        metadata.member_count, ab_buf_chunk (&data));
  if (rc == 0)
    {
      ab_raft_compact_log (task->raft, metadata.index, metadata.term);
      record_snapshot (task, "group_snapshot_written", metadata.index,
                       data.len);
    }
  else if (rc == AB_ERR_FULL || rc == AB_ERR_MEMORY || rc == AB_ERR_NOT_FOUND)
    {
      task->snapshot_retry_ms = now + SNAPSHOT_RETRY_MS;
      AB_LOG (AB_LOG_WARN, "group_snapshot_postponed",
              ab_log_str ("error", ab_strerror (rc)));
    }
  else
    fatal ("group_snapshot_failed", rc);
  ab_buf_free (&data);
}

/* Events.  */

static void
arm_timer (struct ab_raft_task *task, uint64_t now)
{
  uint64_t next = ab_raft_next_tick_ms (task->raft);
  uint64_t delay = next > now ? next - now : TICK_MIN_MS;
  struct timeval after = { .tv_sec = (time_t)(delay / 1000),
                           .tv_usec = (suseconds_t)(delay % 1000 * 1000) };

  evtimer_add (task->timer, &after);
}

/* Logs changes of term, disk and role; returns whether leadership was won or
   lost.  */
static bool
update_role (struct ab_raft_task *task)
{
  struct ab_raft_status status;

  ab_raft_status (task->raft, &status);
  if (status.term != task->term)
    AB_LOG (AB_LOG_INFO, "group_term",
            ab_log_int ("term", (int64_t)status.term),
            ab_log_int ("last_index", (int64_t)status.last_index),
            ab_log_str ("leader_host", status.leader_host));
  task->term = status.term;
  if (status.disk_full != task->disk_full)
    AB_LOG (status.disk_full ? AB_LOG_ERROR : AB_LOG_INFO,
            status.disk_full ? "group_disk_full" : "group_disk_room",
            ab_log_int ("last_index", (int64_t)status.last_index),
            ab_log_int ("leader", task->leader));
  task->disk_full = status.disk_full;
  if (status.leader == task->leader)
    return false;
  task->leader = status.leader;
  AB_LOG (AB_LOG_INFO, status.leader ? "group_leader" : "group_follower",
          ab_log_int ("term", (int64_t)status.term),
          ab_log_int ("commit", (int64_t)status.commit_index));
  return true;
}

static void
on_flush (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_raft_task *task = ctx;
  uint64_t now = now_ms ();
  int rc = ab_raft_flush (task->raft, now);
  bool applied = task->applied;

  (void)fd;
  (void)events;
  if (rc < 0)
    fatal ("group_storage_failed", rc);
  task->applied = false;
  task->config.ops->flushed (task->config.ctx, applied, update_role (task));
  if (snapshot_due (task, now))
    write_snapshot (task, now);
  arm_timer (task, now);
}

static void
on_timer (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_raft_task *task = ctx;

  ab_raft_tick (task->raft, now_ms ());
  on_flush (fd, events, ctx);
}

static void
on_raft_frame (void *ctx, const struct ab_frame *frame)
{
  struct ab_raft_task *task = ctx;
  char from[AB_NAME_BYTES];

  if (!ab_chunk_copy (frame->sender, from, sizeof from))
    return;
  ab_raft_receive (task->raft, now_ms (), from, frame->body);
  ab_raft_task_flush (task);
}

/* Creation and destruction.  */

static int
open_storage (struct ab_raft_task *task, const char *data_folder,
              struct ab_storage_content *content,
              char error[AB_CONF_ERROR_BYTES])
{
  const struct ab_raft_task_config *config = &task->config;
  struct ab_buf folder = AB_BUF_INIT;
  int rc = ab_buf_printf (&folder, "%s/%s", data_folder, config->folder);

  if (rc == 0)
    rc = ab_storage_open (folder.data, config->initial_members,
                          config->initial_member_count, &task->storage,
                          content, error);
  ab_buf_free (&folder);
  if (rc < 0)
    return rc;
  memcpy (task->disk_id, content->disk_id, sizeof task->disk_id);
  AB_LOG (
      AB_LOG_INFO, "group_storage_open",
      ab_log_str ("disk", content->fresh ? "new" : "kept"),
      ab_log_int ("members", (int64_t)content->initial_state.member_count),
      ab_log_int ("entries", (int64_t)content->initial_state.entry_count),
      ab_log_int ("snapshot", (int64_t)content->initial_state.snapshot_index));
  return 0;
}

static int
start_core (struct ab_raft_task *task, const char *data_folder,
            char error[AB_CONF_ERROR_BYTES])
{
  const struct ab_settings *settings = task->daemon->settings;
  struct ab_raft_config config = { .host = settings->host,
                                   .heartbeat_ms = settings->raft_heartbeat_ms,
                                   .election_ms = settings->raft_election_ms,
                                   .rng = &task->rng,
                                   .io = &task->io };
  struct ab_storage_content content = { 0 };
  int rc = open_storage (task, data_folder, &content, error);

  if (rc < 0)
    goto out;
  if (content.snapshot_data.len > 0)
    rc = task->config.ops->load (task->config.ctx,
                                 ab_buf_chunk (&content.snapshot_data));
  if (rc < 0)
    {
      snprintf (error, AB_CONF_ERROR_BYTES, "the snapshot cannot be read: %s",
                ab_strerror (rc));
      goto out;
    }
  task->snapshot_bytes = content.snapshot_data.len;
  memcpy (config.disk_id, content.disk_id, sizeof config.disk_id);
  rc = ab_raft_new (&config, &content.initial_state, now_ms (), &task->raft);
out:
  ab_storage_content_free (&content);
  return rc;
}

static int
start_events (struct ab_raft_task *task)
{
  task->timer = evtimer_new (task->daemon->base, on_timer, task);
  task->flush = evtimer_new (task->daemon->base, on_flush, task);
  if (!task->timer || !task->flush)
    return AB_ERR_MEMORY;
  ab_raft_task_flush (task);
  return 0;
}

int
ab_raft_task_new (struct ab_daemon *daemon, const char *data_folder,
                  const struct ab_raft_task_config *config,
                  struct ab_raft_task **result,
                  char error[AB_CONF_ERROR_BYTES])
{
  struct ab_raft_task *task = calloc (1, sizeof *task);
  int rc;

  *result = NULL;
  if (!task)
    return AB_ERR_MEMORY;
  task->daemon = daemon;
  task->config = *config;
  task->io.ops = &io_ops;
  ab_rng_init_system (&task->rng);
  rc = start_core (task, data_folder, error);
  if (rc == 0)
    rc = start_events (task);
  if (rc < 0)
    {
      ab_raft_task_free (task);
      return rc;
    }
  /* Belongs to the caller; not used after the start.  */
  task->config.initial_members = NULL;
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_RAFT, on_raft_frame, task);
  *result = task;
  return 0;
}

void
ab_raft_task_free (struct ab_raft_task *task)
{
  if (!task)
    return;
  ab_peer_task_set_handler (task->daemon->peer, AB_FRAME_RAFT, NULL, NULL);
  if (task->timer)
    event_free (task->timer);
  if (task->flush)
    event_free (task->flush);
  ab_raft_free (task->raft);
  ab_storage_close (task->storage);
  free (task);
}

struct ab_raft *
ab_raft_task_core (struct ab_raft_task *task)
{
  return task->raft;
}

void
ab_raft_task_flush (struct ab_raft_task *task)
{
  event_active (task->flush, EV_TIMEOUT, 0);
}

const uint8_t *
ab_raft_task_disk_id (const struct ab_raft_task *task)
{
  return task->disk_id;
}
