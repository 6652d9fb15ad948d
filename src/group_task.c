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
#include "raft_task.h"

#define FOLDER_NAME "group"
/* Interval of membership checks.  */
#define MEMBERSHIP_CHECK_MS 100
/* Interval of hello messages, which request to join the group, while this host
   is no member or has no contact with a leader.  */
#define HELLO_INTERVAL_MS 300
/* Interval at which a member resends its hello message to the leader, so that
   the leader knows the member's failure domain and disk id.  */
#define HELLO_MEMBER_INTERVAL_MS 5000
/* Time without contact after which the leader counts as lost.  */
#define LEADER_TIMEOUT_MS 1500
/* Least time between two log lines about refused commands.  */
#define UNFORMED_LOG_MS 2000
/* Log entries or bytes after which a snapshot is written.  */
#define SNAPSHOT_ENTRIES 2000
#define SNAPSHOT_BYTES (4ULL * 1024 * 1024)
/* A control host that is no member and has sent no join request for this long
   is not listed any more.  */
#define NON_MEMBER_TIMEOUT_MS 3000

/* A known control host: it sent a message, is a seed or a member, or was named
   by another host.  */
struct host
{
  char address[AB_ADDRESS_BYTES];
  /* Empty until a hello message arrives.  */
  char failure_domain[AB_NAME_BYTES];
  uint8_t disk_id[AB_DISK_ID_BYTES];
  /* Arrival of the host's last hello message; 0 means none since it was
     removed from the group.  */
  uint64_t hello_ms;
  /* When the host was last seen among the members; 0 means never.  */
  uint64_t member_ms;
};

struct ab_group_task
{
  struct ab_daemon *daemon;
  const struct ab_fleet_settings *settings;
  const struct ab_group_state_ops *ops;
  void *ctx;
  struct ab_raft_task *raft_task;
  struct ab_raft *raft; /* Consensus core, owned by RAFT_TASK.  */
  struct event *membership_timer;
  struct host hosts[AB_GROUP_HOSTS_MAX];
  size_t host_count;
  /* Time when this host last sent hello messages.  */
  uint64_t hello_ms;
  bool has_commands; /* A command was committed.  */
  /* Log index of the last membership change that this host made as the leader,
     until it is committed; 0 means none.  */
  uint64_t change_index;
  /* When a command was last logged as refused because the group is not formed;
     0 means never.  */
  uint64_t unformed_ms;
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
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
add_host (struct ab_group_task *task, struct ab_chunk address)
{
  char text[AB_ADDRESS_BYTES];
  struct host *host;

  if (!ab_chunk_copy (address, text, sizeof text)
      || !ab_address_valid (address))
    return NULL;
  host = find_host (task, text);
  if (!host)
    {
      host = &task->hosts[task->host_count < AB_GROUP_HOSTS_MAX
                              ? task->host_count++
                              : AB_GROUP_HOSTS_MAX - 1];
      memset (host, 0, sizeof *host);
      memcpy (host->address, text, sizeof text);
    }
  if (strcmp (text, task->daemon->settings->host) != 0)
    ab_peer_task_set_address (task->daemon->peer, address, text);
  return host;
}

/* Sets ADDRESS to the peer listener of the control host whose admin listener
   is SEED.  */
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
add_seed_hosts (struct ab_group_task *task)
{
  char address[AB_ADDRESS_BYTES];

  for (size_t i = 0; i < task->settings->seed_count; i++)
    if (seed_address (task, task->settings->seeds[i], address) == 0)
      add_host (task, ab_chunk_str (address));
}

static void
add_member_hosts (struct ab_group_task *task, uint64_t now)
{
  const struct ab_raft_member *members;
  size_t count = ab_raft_members (task->raft, &members);

  for (size_t i = 0; i < count; i++)
    {
      struct host *host = add_host (task, ab_chunk_str (members[i].host));
      if (host)
        host->member_ms = now;
    }
}

/* Callbacks of the consensus core.  */

static void
on_before_send (void *ctx, const char *host)
{
  struct ab_group_task *task = ctx;

  if (!find_host (task, host))
    add_host (task, ab_chunk_str (host));
}

static int
on_apply (void *ctx, uint64_t index, uint64_t term, struct ab_chunk data)
{
  struct ab_group_task *task = ctx;

  task->has_commands = true;
  return task->ops->apply (task->ctx, index, term, data);
}

static int
on_save (void *ctx, struct ab_buf *out)
{
  struct ab_group_task *task = ctx;

  return task->ops->save (task->ctx, out);
}

static int
on_load (void *ctx, struct ab_chunk data)
{
  struct ab_group_task *task = ctx;

  task->has_commands = true;
  return task->ops->load (task->ctx, data);
}

static void
on_read_ready (void *ctx, uint64_t request, int rc)
{
  struct ab_group_task *task = ctx;
  struct ab_raft_status status;

  ab_raft_status (task->raft, &status);
  task->ops->read_ready (task->ctx, request, rc, status.applied_index);
}

static void
on_flushed (void *ctx, bool applied, bool leadership_changed)
{
  struct ab_group_task *task = ctx;
  struct ab_raft_status status;

  if (applied || leadership_changed)
    task->ops->changed (task->ctx);
  ab_raft_status (task->raft, &status);
  if (task->change_index && status.commit_index >= task->change_index)
    {
      /* Plan the next change now: between the two halves of a replacement the
         group has one dead voter more or one live voter less.  */
      task->change_index = 0;
      event_active (task->membership_timer, EV_TIMEOUT, 0);
    }
}

static const struct ab_raft_task_ops raft_ops
    = { .apply = on_apply,
        .save = on_save,
        .load = on_load,
        .before_send = on_before_send,
        .read_ready = on_read_ready,
        .flushed = on_flushed };

/* Membership.  */

/* Whether this host is a member with its current disk.  */
static bool
self_is_member (const struct ab_group_task *task)
{
  const struct ab_raft_member *members;
  size_t count = ab_raft_members (task->raft, &members);

  for (size_t i = 0; i < count; i++)
    if (strcmp (members[i].host, task->daemon->settings->host) == 0)
      return memcmp (members[i].disk_id,
                     ab_raft_task_disk_id (task->raft_task), AB_DISK_ID_BYTES)
             == 0;
  return false;
}

static void
send_hello (struct ab_group_task *task, const char *address)
{
  struct ab_buf body = AB_BUF_INIT;

  ab_pack_array (&body, 2);
  ab_pack_bytes (&body, ab_chunk (ab_raft_task_disk_id (task->raft_task),
                                  AB_DISK_ID_BYTES));
  ab_pack_bytes (&body, ab_chunk_str (task->settings->base.failure_domain));
  if (!body.error)
    ab_peer_task_send (task->daemon->peer, ab_chunk_str (address),
                       AB_FRAME_GROUP_HELLO, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static void
send_due_hellos (struct ab_group_task *task, uint64_t now)
{
  struct ab_raft_status status;
  bool has_leader
      = self_is_member (task)
        && now - ab_raft_leader_heard_ms (task->raft) < LEADER_TIMEOUT_MS;

  if (now - task->hello_ms
      < (has_leader ? HELLO_MEMBER_INTERVAL_MS : HELLO_INTERVAL_MS))
    return;
  task->hello_ms = now;
  ab_raft_status (task->raft, &status);
  if (has_leader && status.leader)
    return;
  if (has_leader)
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
  struct host *host = add_host (task, frame->sender);
  struct ab_reader reader;
  uint8_t disk_id[AB_DISK_ID_BYTES];
  char failure_domain[AB_NAME_BYTES];

  if (!host || ab_reader_init (&reader, frame->body) < 0)
    return;
  ab_reader_enter (&reader, 2);
  ab_reader_fixed_bytes (&reader, disk_id, sizeof disk_id);
  ab_reader_str (&reader, failure_domain, sizeof failure_domain);
  if (ab_reader_error (&reader) == 0)
    {
      memcpy (host->disk_id, disk_id, sizeof disk_id);
      memcpy (host->failure_domain, failure_domain, sizeof failure_domain);
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
    add_host (task, ab_reader_bytes (&reader, AB_ADDRESS_BYTES));
  if (ab_reader_error (&reader) == 0 && leader[0] && !self_is_member (task)
      && !ab_chunk_equal (ab_chunk_str (leader), frame->sender)
      && add_host (task, ab_chunk_str (leader)))
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
        ab_chunk_copy_bounded (ab_chunk_str (ab_fleet_region (
                                   task->settings, host->failure_domain)),
                               member->region, sizeof member->region);
      if (member->self)
        ab_chunk_copy_bounded (ab_chunk_str (task->settings->base.region),
                               member->region, sizeof member->region);
      member->caught_up = progress.match >= status.commit_index;
      member->disk_mismatch = progress.disk_mismatch;
      /* A member that was just added has not replied yet, but it sent a join
         request.  */
      if (progress.heard_ms == 0 && host)
        progress.heard_ms = host->hello_ms;
      member->unresponsive_ms
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
      ab_chunk_copy_bounded (ab_chunk_str (host->address), out[count].host,
                             sizeof out[count].host);
      memcpy (out[count].disk_id, host->disk_id, AB_DISK_ID_BYTES);
      out[count].age_ms = now - host->hello_ms;
      count++;
    }
  return count;
}

static int
apply_step (struct ab_group_task *task, const struct ab_group_step *step,
            uint64_t now)
{
  struct ab_raft_member member = { .learner = true };
  struct host *host = find_host (task, step->host);

  switch (step->change)
    {
    case AB_GROUP_ADD:
      memcpy (member.host, step->host, sizeof member.host);
      ab_chunk_copy_bounded (ab_chunk_str (step->host), member.address,
                             sizeof member.address);
      memcpy (member.disk_id, step->disk_id, AB_DISK_ID_BYTES);
      return ab_raft_add_learner (task->raft, now, &member);
    case AB_GROUP_PROMOTE:
      return ab_raft_promote (task->raft, now, step->host);
    case AB_GROUP_REMOVE:
      /* Only a hello message that arrives from now on is a request to join
         again.  */
      if (host)
        host->hello_ms = 0;
      return ab_raft_remove (task->raft, now, step->host);
    case AB_GROUP_NONE:
      break;
    }
  return 0;
}

static void
change_membership (struct ab_group_task *task, uint64_t now)
{
  static const char *const names[] = { "none", "add", "promote", "remove" };
  struct ab_group_member members[AB_RAFT_MEMBERS_MAX];
  struct ab_group_request requests[AB_GROUP_HOSTS_MAX];
  size_t count = describe_members (task, now, members);
  size_t tolerated_losses = (size_t)task->settings->tolerated_losses;
  size_t voters_wanted = ab_group_voters_wanted (
      members, count, ab_group_voters_min (tolerated_losses));
  struct ab_group_step step = ab_group_plan (
      members, count, requests, describe_requests (task, now, requests),
      voters_wanted, tolerated_losses);
  struct ab_raft_status status;
  int rc;

  if (step.change == AB_GROUP_NONE)
    return;
  rc = apply_step (task, &step, now);
  if (rc == AB_ERR_BUSY || rc == AB_ERR_UNAVAILABLE)
    return; /* The next check tries again.  */
  AB_LOG (rc < 0 ? AB_LOG_WARN : AB_LOG_INFO, "group_change",
          ab_log_str ("change", names[step.change]),
          ab_log_str ("member", step.host), ab_log_str ("reason", step.reason),
          ab_log_str ("result", rc < 0 ? ab_strerror (rc) : "proposed"));
  ab_raft_status (task->raft, &status);
  task->change_index = rc == 0 ? status.last_index : 0;
  ab_raft_task_flush (task->raft_task);
}

static void
on_membership_timer (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_group_task *task = ctx;
  uint64_t now = now_ms ();
  struct ab_raft_status status;

  (void)fd;
  (void)events;
  add_member_hosts (task, now);
  send_due_hellos (task, now);
  ab_raft_status (task->raft, &status);
  if (status.leader)
    change_membership (task, now);
}

/* Creation and destruction.  */

/* Sets MEMBERS to the initial members of a new group: the seeds, if this host
   is one of them.  Returns their number.  */
static size_t
initial_members (const struct ab_group_task *task,
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
start_raft (struct ab_group_task *task, char error[AB_CONF_ERROR_BYTES])
{
  struct ab_raft_member members[AB_CONTROL_MEMBERS_MAX] = { 0 };
  const struct ab_raft_task_config config
      = { .folder = FOLDER_NAME,
          .initial_members = members,
          .initial_member_count = initial_members (task, members),
          .snapshot_entries = SNAPSHOT_ENTRIES,
          .snapshot_bytes = SNAPSHOT_BYTES,
          .ops = &raft_ops,
          .ctx = task };
  int rc = ab_raft_task_new (task->daemon, task->settings->base.data_folder,
                             &config, &task->raft_task, error);

  if (rc == 0)
    task->raft = ab_raft_task_core (task->raft_task);
  return rc;
}

static int
start_events (struct ab_group_task *task)
{
  struct event_base *base = task->daemon->base;
  const struct timeval interval = { .tv_usec = MEMBERSHIP_CHECK_MS * 1000 };

  task->membership_timer
      = event_new (base, -1, EV_PERSIST, on_membership_timer, task);
  if (!task->membership_timer
      || event_add (task->membership_timer, &interval) < 0)
    return AB_ERR_MEMORY;
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
  add_seed_hosts (task);
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_GROUP_HELLO, on_hello,
                            task);
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_GROUP_INFO, on_info, task);
  *result = task;
  return 0;
}

void
ab_group_task_free (struct ab_group_task *task)
{
  if (!task)
    return;
  ab_peer_task_set_handler (task->daemon->peer, AB_FRAME_GROUP_HELLO, NULL,
                            NULL);
  ab_peer_task_set_handler (task->daemon->peer, AB_FRAME_GROUP_INFO, NULL,
                            NULL);
  if (task->membership_timer)
    event_free (task->membership_timer);
  ab_raft_task_free (task->raft_task);
  free (task);
}

/* Returns the number of voters that the first command needs.  With fewer than
   AB_FLEET_SEEDS seeds there are no more control hosts than seeds.  */
static size_t
first_voters (const struct ab_group_task *task)
{
  size_t needed
      = ab_group_voters_min ((size_t)task->settings->tolerated_losses);
  size_t seeds = task->settings->seed_count;

  return seeds < AB_FLEET_SEEDS && seeds < needed ? seeds : needed;
}

/* Whether a command that is accepted now survives the tolerated losses.  After
   the first one the plan of the members sees to that.  */
static bool
is_formed (struct ab_group_task *task, uint64_t now)
{
  const struct ab_raft_member *members;
  size_t count = ab_raft_members (task->raft, &members);
  size_t voters = 0;

  for (size_t i = 0; i < count; i++)
    voters += !members[i].learner;
  if (task->has_commands || voters >= first_voters (task))
    return true;
  if (!task->unformed_ms || now - task->unformed_ms >= UNFORMED_LOG_MS)
    {
      AB_LOG (AB_LOG_WARN, "group_not_formed",
              ab_log_int ("voters", (int64_t)voters),
              ab_log_int ("needed", (int64_t)first_voters (task)));
      task->unformed_ms = now;
    }
  return false;
}

int
ab_group_propose (struct ab_group_task *task, struct ab_chunk data,
                  uint64_t *index)
{
  uint64_t now = now_ms ();
  struct ab_raft_status status;
  int rc;

  ab_raft_status (task->raft, &status);
  if (!status.leader)
    return AB_ERR_NOT_LEADER;
  if (!is_formed (task, now))
    return AB_ERR_UNAVAILABLE;
  rc = ab_raft_propose (task->raft, now, data, index);
  if (rc == 0)
    ab_raft_task_flush (task->raft_task);
  return rc;
}

int
ab_group_read (struct ab_group_task *task, uint64_t request)
{
  int rc = ab_raft_read (task->raft, now_ms (), request);

  if (rc == 0)
    ab_raft_task_flush (task->raft_task);
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

size_t
ab_group_hosts (const struct ab_group_task *task,
                const char *hosts[AB_GROUP_HOSTS_MAX])
{
  uint64_t now = now_ms ();
  size_t count = 0;

  hosts[count++] = task->daemon->settings->host;
  for (size_t i = 0; i < task->host_count && count < AB_GROUP_HOSTS_MAX; i++)
    {
      const struct host *host = &task->hosts[i];
      bool in_contact
          = host->hello_ms && now - host->hello_ms < NON_MEMBER_TIMEOUT_MS;
      bool was_member = host->member_ms
                        && now - host->member_ms < AB_GROUP_REMOVAL_TIMEOUT_MS;
      if (strcmp (host->address, hosts[0]) != 0 && (in_contact || was_member))
        hosts[count++] = host->address;
    }
  return count;
}

const char *
ab_group_failure_domain (const struct ab_group_task *task, const char *address)
{
  for (size_t i = 0; i < task->host_count; i++)
    if (strcmp (task->hosts[i].address, address) == 0)
      return task->hosts[i].failure_domain;
  return "";
}

uint64_t
ab_group_staleness_ms (const struct ab_group_task *task)
{
  uint64_t now = now_ms ();
  uint64_t heard_ms = ab_raft_leader_heard_ms (task->raft);

  return now > heard_ms ? now - heard_ms : 0;
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
  return json_pack ("{s:I, s:I, s:I, s:I, s:b, s:b, s:b, s:s, s:I, s:o}",
                    "term", (json_int_t)status.term, "commit",
                    (json_int_t)status.commit_index, "applied",
                    (json_int_t)status.applied_index, "last",
                    (json_int_t)status.last_index, "leader", status.leader,
                    "disk_full", status.disk_full, "votes", status.can_vote,
                    "leader_host", status.leader_host, "age_ms",
                    (json_int_t)ab_group_staleness_ms (task), "members", list);
}
