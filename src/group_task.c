#include "group_task.h"

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "error.h"
#include "group_plan.h"
#include "log.h"
#include "pack.h"
#include "peer_task.h"
#include "storage.h"

#define FOLDER_NAME "group"
#define TICK_MIN_MS 1
/* Membership is looked at this often.  */
#define STEP_MS 100
/* Requests to join, while this host does not belong to the group or hears no
   leader; and to keep the leader's knowledge of its members fresh.  */
#define HELLO_MS 300
#define HELLO_SETTLED_MS 5000
#define LEADER_LOST_MS 1500
/* The log is folded into a snapshot at either bound.  */
#define SNAPSHOT_ENTRIES 2000
#define SNAPSHOT_BYTES (4ULL * 1024 * 1024)
#define SNAPSHOT_RETRY_MS 5000
#define HOSTS_MAX 64

/* A control host that was heard or heard of.  */
struct host
{
  char address[AB_ADDRESS_BYTES];
  char region[AB_NAME_BYTES];
  uint8_t disk_id[AB_DISK_ID_BYTES];
  uint64_t hello_ms; /* 0: never.  */
};

struct ab_group_task
{
  struct ab_raft_io io; /* First: raft's effects find the task by it.  */
  struct ab_daemon *daemon;
  const struct ab_fleet_settings *settings;
  const struct ab_group_state_ops *ops;
  void *ctx;
  struct ab_raft *raft;
  struct ab_storage *storage;
  struct ab_rng rng;
  uint8_t disk_id[AB_DISK_ID_BYTES];
  struct event *raft_timer;
  struct event *flush_event;
  struct event *step_timer;
  struct host hosts[HOSTS_MAX];
  size_t host_count;
  uint64_t hello_ms;
  uint64_t entries_since_snapshot;
  uint64_t bytes_since_snapshot;
  uint64_t snapshot_retry_ms;
  bool leader;
  bool applied;
  uint64_t term; /* As logged last.  */
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static void
fatal (const char *event, int rc)
{
  AB_LOG (AB_LOG_ERROR, event, ab_log_str ("error", ab_strerror (rc)),
          ab_log_str ("action", "the process stops"));
  exit (EXIT_FAILURE);
}

static void
schedule_flush (struct ab_group_task *task)
{
  event_active (task->flush_event, EV_TIMEOUT, 0);
}

/* Known control hosts.  */

static struct host *
find_host (struct ab_group_task *task, const char *address)
{
  for (size_t i = 0; i < task->host_count; i++)
    if (strcmp (task->hosts[i].address, address) == 0)
      return &task->hosts[i];
  return NULL;
}

static struct host *
learn_host (struct ab_group_task *task, struct ab_chunk address)
{
  char text[AB_ADDRESS_BYTES];
  struct host *host;

  if (!ab_chunk_copy (address, text, sizeof text)
      || !ab_address_valid (address))
    return NULL;
  host = find_host (task, text);
  if (!host)
    {
      host = &task->hosts[task->host_count < HOSTS_MAX ? task->host_count++
                                                       : HOSTS_MAX - 1];
      memset (host, 0, sizeof *host);
      memcpy (host->address, text, sizeof text);
    }
  if (strcmp (text, task->daemon->settings->host) != 0)
    ab_peer_task_set_address (task->daemon->peer, address, text);
  return host;
}

/* The peer address of the control host whose admin listener is SEED.  */
static int
seed_address (const struct ab_group_task *task, const char *seed,
              char address[AB_ADDRESS_BYTES])
{
  char host[AB_ADDRESS_BYTES];
  uint16_t port;
  int rc = ab_address_split (seed, host, sizeof host, &port);

  if (rc < 0)
    return rc;
  snprintf (address, AB_ADDRESS_BYTES, "%s:%llu", host,
            (unsigned long long)task->settings->control_port);
  return 0;
}

static void
learn_seeds (struct ab_group_task *task)
{
  char address[AB_ADDRESS_BYTES];

  for (size_t i = 0; i < task->settings->seed_count; i++)
    if (seed_address (task, task->settings->seeds[i], address) == 0)
      learn_host (task, ab_chunk_str (address));
}

static void
learn_members (struct ab_group_task *task)
{
  const struct ab_raft_member *members;
  size_t count = ab_raft_members (task->raft, &members);

  for (size_t i = 0; i < count; i++)
    learn_host (task, ab_chunk_str (members[i].host));
}

/* Effects of the consensus core.  */

static struct ab_group_task *
task_of (struct ab_raft_io *io)
{
  return (struct ab_group_task *)io;
}

static void
io_send (struct ab_raft_io *io, const char *to, struct ab_chunk message)
{
  struct ab_group_task *task = task_of (io);

  if (!find_host (task, to))
    learn_host (task, ab_chunk_str (to));
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

static int
io_install_snapshot (struct ab_raft_io *io, uint64_t index, uint64_t term,
                     const struct ab_raft_member *members, size_t count,
                     struct ab_chunk data)
{
  struct ab_group_task *task = task_of (io);
  int rc = ab_storage_save_snapshot (task->storage, index, term, members,
                                     count, data);

  if (rc == 0)
    rc = ab_storage_reset_log (task->storage, index + 1);
  if (rc < 0)
    return rc;
  rc = task->ops->load (task->ctx, data);
  if (rc < 0)
    fatal ("group_snapshot_unusable", rc);
  task->entries_since_snapshot = 0;
  task->bytes_since_snapshot = 0;
  task->applied = true;
  AB_LOG (AB_LOG_INFO, "group_snapshot_installed",
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
  struct ab_group_task *task = task_of (io);
  int rc = 0;

  task->entries_since_snapshot++;
  task->bytes_since_snapshot += entry->data.len;
  task->applied = true;
  if (entry->kind == AB_RAFT_ENTRY_COMMAND)
    rc = task->ops->apply (task->ctx, entry->index, entry->term, entry->data);
  if (rc < 0)
    fatal ("group_apply_failed", rc);
}

static void
io_read_ready (struct ab_raft_io *io, uint64_t request, int rc)
{
  struct ab_group_task *task = task_of (io);
  struct ab_raft_status status;

  ab_raft_status (task->raft, &status);
  task->ops->read_ready (task->ctx, request, rc, status.applied_index);
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

static void
write_snapshot (struct ab_group_task *task, uint64_t now)
{
  struct ab_buf data = AB_BUF_INIT;
  struct ab_raft_point point;
  int rc = ab_raft_applied_point (task->raft, &point);

  if (rc == 0)
    rc = task->ops->save (task->ctx, &data);
  if (rc == 0)
    rc = ab_storage_save_snapshot (task->storage, point.index, point.term,
                                   point.members, point.member_count,
                                   ab_buf_chunk (&data));
  if (rc == 0)
    {
      ab_raft_compacted (task->raft, point.index, point.term);
      task->entries_since_snapshot = 0;
      task->bytes_since_snapshot = 0;
      AB_LOG (AB_LOG_INFO, "group_snapshot_written",
              ab_log_int ("index", (int64_t)point.index),
              ab_log_int ("bytes", (int64_t)data.len));
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
arm_raft_timer (struct ab_group_task *task, uint64_t now)
{
  uint64_t next = ab_raft_next_tick_ms (task->raft);
  uint64_t delay = next > now ? next - now : TICK_MIN_MS;
  struct timeval after = { .tv_sec = (time_t)(delay / 1000),
                           .tv_usec = (suseconds_t)(delay % 1000 * 1000) };

  evtimer_add (task->raft_timer, &after);
}

static bool
note_leadership (struct ab_group_task *task)
{
  struct ab_raft_status status;

  ab_raft_status (task->raft, &status);
  if (status.term != task->term)
    AB_LOG (AB_LOG_INFO, "group_term",
            ab_log_int ("term", (int64_t)status.term),
            ab_log_int ("last_index", (int64_t)status.last_index),
            ab_log_str ("leader_host", status.leader_host));
  task->term = status.term;
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
  struct ab_group_task *task = ctx;
  uint64_t now = now_ms ();
  int rc = ab_raft_flush (task->raft, now);
  bool changed;

  (void)fd;
  (void)events;
  if (rc < 0)
    fatal ("group_storage_failed", rc);
  changed = note_leadership (task) || task->applied;
  task->applied = false;
  if (changed)
    task->ops->changed (task->ctx);
  if (now >= task->snapshot_retry_ms
      && (task->entries_since_snapshot >= SNAPSHOT_ENTRIES
          || task->bytes_since_snapshot >= SNAPSHOT_BYTES))
    write_snapshot (task, now);
  arm_raft_timer (task, now);
}

static void
on_raft_timer (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_group_task *task = ctx;

  ab_raft_tick (task->raft, now_ms ());
  on_flush (fd, events, ctx);
}

static void
on_raft_frame (void *ctx, const struct ab_frame *frame)
{
  struct ab_group_task *task = ctx;
  char from[AB_NAME_BYTES];

  if (!ab_chunk_copy (frame->sender, from, sizeof from))
    return;
  ab_raft_receive (task->raft, now_ms (), from, frame->body);
  schedule_flush (task);
}

/* Membership.  */

static bool
belongs (const struct ab_group_task *task)
{
  const struct ab_raft_member *members;
  size_t count = ab_raft_members (task->raft, &members);

  for (size_t i = 0; i < count; i++)
    if (strcmp (members[i].host, task->daemon->settings->host) == 0)
      return memcmp (members[i].disk_id, task->disk_id, AB_DISK_ID_BYTES) == 0;
  return false;
}

static void
send_hello (struct ab_group_task *task, const char *address)
{
  struct ab_buf body = AB_BUF_INIT;

  ab_pack_array (&body, 2);
  ab_pack_bytes (&body, ab_chunk (task->disk_id, AB_DISK_ID_BYTES));
  ab_pack_bytes (&body, ab_chunk_str (task->settings->base.region));
  if (!body.error)
    ab_peer_task_send (task->daemon->peer, ab_chunk_str (address),
                       AB_FRAME_GROUP_HELLO, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static void
say_hello (struct ab_group_task *task, uint64_t now)
{
  struct ab_raft_status status;
  bool settled
      = belongs (task)
        && now - ab_raft_leader_heard_ms (task->raft) < LEADER_LOST_MS;

  if (now - task->hello_ms < (settled ? HELLO_SETTLED_MS : HELLO_MS))
    return;
  task->hello_ms = now;
  ab_raft_status (task->raft, &status);
  if (settled && status.leader)
    return;
  if (settled)
    {
      send_hello (task, status.leader_host);
      return;
    }
  for (size_t i = 0; i < task->host_count; i++)
    if (strcmp (task->hosts[i].address, task->daemon->settings->host) != 0)
      send_hello (task, task->hosts[i].address);
}

static void
send_info (struct ab_group_task *task, struct ab_chunk to)
{
  const struct ab_raft_member *members;
  size_t count = ab_raft_members (task->raft, &members);
  struct ab_raft_status status;
  struct ab_buf body = AB_BUF_INIT;

  ab_raft_status (task->raft, &status);
  ab_pack_array (&body, 2);
  ab_pack_bytes (&body, ab_chunk_str (status.leader_host));
  ab_pack_array (&body, count);
  for (size_t i = 0; i < count; i++)
    ab_pack_bytes (&body, ab_chunk_str (members[i].host));
  if (!body.error)
    ab_peer_task_send (task->daemon->peer, to, AB_FRAME_GROUP_INFO,
                       ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static void
on_hello (void *ctx, const struct ab_frame *frame)
{
  struct ab_group_task *task = ctx;
  struct host *host = learn_host (task, frame->sender);
  struct ab_reader reader;
  uint8_t disk_id[AB_DISK_ID_BYTES];
  char region[AB_NAME_BYTES];

  if (!host || ab_reader_init (&reader, frame->body) < 0)
    return;
  ab_reader_enter (&reader, 2);
  ab_reader_fixed (&reader, disk_id, sizeof disk_id);
  ab_reader_str (&reader, region, sizeof region);
  if (ab_reader_error (&reader) == 0)
    {
      memcpy (host->disk_id, disk_id, sizeof disk_id);
      memcpy (host->region, region, sizeof region);
      host->hello_ms = now_ms ();
      send_info (task, frame->sender);
    }
  ab_reader_free (&reader);
}

static void
on_info (void *ctx, const struct ab_frame *frame)
{
  struct ab_group_task *task = ctx;
  struct ab_reader reader;
  char leader[AB_NAME_BYTES];
  size_t count;

  if (ab_reader_init (&reader, frame->body) < 0)
    return;
  ab_reader_enter (&reader, 2);
  ab_reader_str (&reader, leader, sizeof leader);
  count = ab_reader_enter (&reader, AB_RAFT_MEMBERS_MAX);
  for (size_t i = 0; i < count; i++)
    learn_host (task, ab_reader_bytes (&reader, AB_ADDRESS_BYTES));
  if (ab_reader_error (&reader) == 0 && leader[0] && !belongs (task)
      && !ab_chunk_equal (ab_chunk_str (leader), frame->sender)
      && learn_host (task, ab_chunk_str (leader)))
    send_hello (task, leader);
  ab_reader_free (&reader);
}

static size_t
describe_members (struct ab_group_task *task, uint64_t now,
                  struct ab_group_member *out)
{
  const struct ab_raft_member *members;
  size_t count = ab_raft_members (task->raft, &members);
  struct ab_raft_status status;

  ab_raft_status (task->raft, &status);
  for (size_t i = 0; i < count; i++)
    {
      struct ab_raft_progress progress
          = { .match = status.commit_index, .heard_ms = now };
      const struct host *host = find_host (task, members[i].host);
      struct ab_group_member *member = &out[i];
      memset (member, 0, sizeof *member);
      memcpy (member->host, members[i].host, sizeof member->host);
      member->learner = members[i].learner;
      member->self
          = strcmp (members[i].host, task->daemon->settings->host) == 0;
      if (!member->self)
        ab_raft_member_progress (task->raft, members[i].host, &progress);
      if (host)
        memcpy (member->region, host->region, sizeof member->region);
      if (member->self)
        ab_chunk_copy (ab_chunk_str (task->settings->base.region),
                       member->region, sizeof member->region);
      member->caught_up = progress.match >= status.commit_index;
      member->other_disk = progress.other_disk;
      /* One that was added just now was heard when it asked to join.  */
      if (progress.heard_ms == 0 && host)
        progress.heard_ms = host->hello_ms;
      member->silent_ms
          = now > progress.heard_ms ? now - progress.heard_ms : 0;
    }
  return count;
}

static size_t
describe_requests (const struct ab_group_task *task, uint64_t now,
                   struct ab_group_request *out)
{
  size_t count = 0;

  for (size_t i = 0; i < task->host_count; i++)
    {
      const struct host *host = &task->hosts[i];
      if (!host->hello_ms)
        continue;
      memset (&out[count], 0, sizeof out[count]);
      ab_chunk_copy (ab_chunk_str (host->address), out[count].host,
                     sizeof out[count].host);
      memcpy (out[count].disk_id, host->disk_id, AB_DISK_ID_BYTES);
      out[count].age_ms = now - host->hello_ms;
      count++;
    }
  return count;
}

static int
carry_out (struct ab_group_task *task, const struct ab_group_step *step,
           uint64_t now)
{
  struct ab_raft_member member = { .learner = true };

  switch (step->change)
    {
    case AB_GROUP_ADD:
      memcpy (member.host, step->host, sizeof member.host);
      ab_chunk_copy (ab_chunk_str (step->host), member.address,
                     sizeof member.address);
      memcpy (member.disk_id, step->disk_id, AB_DISK_ID_BYTES);
      return ab_raft_add_learner (task->raft, now, &member);
    case AB_GROUP_PROMOTE:
      return ab_raft_promote (task->raft, now, step->host);
    case AB_GROUP_REMOVE:
      return ab_raft_remove (task->raft, now, step->host);
    case AB_GROUP_NONE:
      break;
    }
  return 0;
}

static void
change_group (struct ab_group_task *task, uint64_t now)
{
  static const char *const names[] = { "none", "add", "promote", "remove" };
  struct ab_group_member members[AB_RAFT_MEMBERS_MAX];
  struct ab_group_request requests[HOSTS_MAX];
  struct ab_group_step step
      = ab_group_plan (members, describe_members (task, now, members),
                       requests, describe_requests (task, now, requests),
                       2 * (size_t)task->settings->tolerated_losses + 1);
  int rc;

  if (step.change == AB_GROUP_NONE)
    return;
  rc = carry_out (task, &step, now);
  if (rc == AB_ERR_BUSY || rc == AB_ERR_UNAVAILABLE)
    return; /* Tried again at the next step.  */
  AB_LOG (rc < 0 ? AB_LOG_WARN : AB_LOG_INFO, "group_change",
          ab_log_str ("change", names[step.change]),
          ab_log_str ("member", step.host), ab_log_str ("reason", step.reason),
          ab_log_str ("result", rc < 0 ? ab_strerror (rc) : "proposed"));
  schedule_flush (task);
}

static void
on_step (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_group_task *task = ctx;
  uint64_t now = now_ms ();

  (void)fd;
  (void)events;
  learn_members (task);
  say_hello (task, now);
  if (task->leader)
    change_group (task, now);
}

/* Life.  */

/* The first members of a new group: the seeds, if this host is one.  */
static size_t
first_members (const struct ab_group_task *task,
               struct ab_raft_member members[AB_CONTROL_MEMBERS_MAX])
{
  const struct ab_fleet_settings *settings = task->settings;
  size_t count = 0;
  bool included = false;

  if (!settings->first_start)
    return 0;
  for (size_t i = 0;
       i < settings->seed_count && count < AB_CONTROL_MEMBERS_MAX; i++)
    {
      struct ab_raft_member *member = &members[count];
      if (seed_address (task, settings->seeds[i], member->address) < 0)
        continue;
      memcpy (member->host, member->address, sizeof member->host);
      included = included
                 || strcmp (member->host, task->daemon->settings->host) == 0;
      count++;
    }
  return included ? count : 0;
}

static int
open_storage (struct ab_group_task *task, struct ab_storage_content *content,
              char error[AB_CONF_ERROR_BYTES])
{
  struct ab_raft_member members[AB_CONTROL_MEMBERS_MAX] = { 0 };
  size_t count = first_members (task, members);
  struct ab_buf folder = AB_BUF_INIT;
  int rc = ab_buf_printf (&folder, "%s/%s", task->settings->base.data_folder,
                          FOLDER_NAME);

  if (rc == 0)
    rc = ab_storage_open (folder.data, members, count, &task->storage, content,
                          error);
  ab_buf_free (&folder);
  if (rc < 0)
    return rc;
  memcpy (task->disk_id, content->disk_id, sizeof task->disk_id);
  AB_LOG (AB_LOG_INFO, "group_storage_open",
          ab_log_str ("disk", content->fresh ? "new" : "kept"),
          ab_log_int ("members", (int64_t)content->start.member_count),
          ab_log_int ("entries", (int64_t)content->start.entry_count),
          ab_log_int ("snapshot", (int64_t)content->start.snapshot_index));
  return 0;
}

static int
start_raft (struct ab_group_task *task, char error[AB_CONF_ERROR_BYTES])
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
    rc = task->ops->load (task->ctx, ab_buf_chunk (&content.snapshot_data));
  if (rc < 0)
    {
      snprintf (error, AB_CONF_ERROR_BYTES, "the snapshot cannot be read: %s",
                ab_strerror (rc));
      goto out;
    }
  memcpy (config.disk_id, content.disk_id, sizeof config.disk_id);
  rc = ab_raft_new (&config, &content.start, now_ms (), &task->raft);
out:
  ab_storage_content_free (&content);
  return rc;
}

static int
start_events (struct ab_group_task *task)
{
  struct event_base *base = task->daemon->base;
  const struct timeval interval = { .tv_usec = STEP_MS * 1000 };

  task->raft_timer = evtimer_new (base, on_raft_timer, task);
  task->flush_event = evtimer_new (base, on_flush, task);
  task->step_timer = event_new (base, -1, EV_PERSIST, on_step, task);
  if (!task->raft_timer || !task->flush_event || !task->step_timer
      || event_add (task->step_timer, &interval) < 0)
    return AB_ERR_MEMORY;
  schedule_flush (task);
  return 0;
}

int
ab_group_task_new (struct ab_daemon *daemon,
                   const struct ab_fleet_settings *settings,
                   const struct ab_group_state_ops *ops, void *ctx,
                   struct ab_group_task **result,
                   char error[AB_CONF_ERROR_BYTES])
{
  struct ab_group_task *task = calloc (1, sizeof *task);
  int rc = AB_ERR_MEMORY;

  *result = NULL;
  error[0] = '\0';
  if (!task)
    return rc;
  task->daemon = daemon;
  task->settings = settings;
  task->ops = ops;
  task->ctx = ctx;
  task->io.ops = &io_ops;
  ab_rng_init_system (&task->rng);
  rc = start_raft (task, error);
  if (rc == 0)
    rc = start_events (task);
  if (rc < 0)
    {
      if (!error[0])
        snprintf (error, AB_CONF_ERROR_BYTES,
                  "cannot start the control group: %s", ab_strerror (rc));
      ab_group_task_free (task);
      return rc;
    }
  learn_seeds (task);
  ab_peer_task_handle (daemon->peer, AB_FRAME_RAFT, on_raft_frame, task);
  ab_peer_task_handle (daemon->peer, AB_FRAME_GROUP_HELLO, on_hello, task);
  ab_peer_task_handle (daemon->peer, AB_FRAME_GROUP_INFO, on_info, task);
  *result = task;
  return 0;
}

static void
free_event (struct event *event)
{
  if (event)
    event_free (event);
}

void
ab_group_task_free (struct ab_group_task *task)
{
  if (!task)
    return;
  ab_peer_task_handle (task->daemon->peer, AB_FRAME_RAFT, NULL, NULL);
  ab_peer_task_handle (task->daemon->peer, AB_FRAME_GROUP_HELLO, NULL, NULL);
  ab_peer_task_handle (task->daemon->peer, AB_FRAME_GROUP_INFO, NULL, NULL);
  free_event (task->raft_timer);
  free_event (task->flush_event);
  free_event (task->step_timer);
  ab_raft_free (task->raft);
  ab_storage_close (task->storage);
  free (task);
}

int
ab_group_propose (struct ab_group_task *task, struct ab_chunk data,
                  uint64_t *index)
{
  int rc = ab_raft_propose (task->raft, now_ms (), data, index);

  if (rc == 0)
    schedule_flush (task);
  return rc;
}

int
ab_group_read (struct ab_group_task *task, uint64_t request)
{
  int rc = ab_raft_read (task->raft, now_ms (), request);

  if (rc == 0)
    schedule_flush (task);
  return rc;
}

void
ab_group_status (const struct ab_group_task *task,
                 struct ab_raft_status *status)
{
  ab_raft_status (task->raft, status);
}

size_t
ab_group_members (const struct ab_group_task *task,
                  const struct ab_raft_member **members)
{
  return ab_raft_members (task->raft, members);
}

uint64_t
ab_group_age_ms (const struct ab_group_task *task)
{
  uint64_t now = now_ms ();
  uint64_t heard = ab_raft_leader_heard_ms (task->raft);

  return now > heard ? now - heard : 0;
}

json_t *
ab_group_state_dump (const struct ab_group_task *task)
{
  const struct ab_raft_member *members;
  size_t count = ab_raft_members (task->raft, &members);
  json_t *list = json_array ();
  struct ab_raft_status status;

  ab_raft_status (task->raft, &status);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (list,
                           json_pack ("{s:s, s:b}", "host", members[i].host,
                                      "learner", members[i].learner));
  return json_pack (
      "{s:I, s:I, s:I, s:I, s:b, s:b, s:s, s:I, s:o}", "term",
      (json_int_t)status.term, "commit", (json_int_t)status.commit_index,
      "applied", (json_int_t)status.applied_index, "last",
      (json_int_t)status.last_index, "leader", status.leader, "votes",
      status.can_vote, "leader_host", status.leader_host, "age_ms",
      (json_int_t)ab_group_age_ms (task), "members", list);
}
