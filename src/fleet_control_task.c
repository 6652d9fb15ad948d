#include "fleet_control_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

#include "pack.h"

#define TIMER_MS 50
/* An operation that got no reply is resent to the leader after RETRY_MS, or
   RETRY_LARGE_MS when it is over LARGE_BYTES.  Commands are idempotent, so a
   duplicate does no harm.  */
#define RETRY_MS 250
#define RETRY_LARGE_MS 700
#define LARGE_BYTES 16384
#define RETRY_NO_LEADER_MS 50

/* Operations of this host.  */

static void
free_op (struct ab_fleet_control *control, struct ab_fleet_op *op)
{
  if (control->ops)
    DL_DELETE (control->ops, op);
  ab_buf_free (&op->data);
  free (op);
}

static void
end_op (struct ab_fleet_control *control, struct ab_fleet_op *op, int rc,
        enum ab_fleet_result result)
{
  ab_fleet_op_callback callback = op->callback;
  void *ctx = op->ctx;

  free_op (control, op);
  callback (ctx, rc, result);
}

static void
try_op (struct ab_fleet_control *control, struct ab_fleet_op *op, uint64_t now)
{
  struct ab_buf body = AB_BUF_INIT;
  struct ab_raft_status status;

  ab_group_status (control->group, &status);
  op->next_try_ms = now + RETRY_NO_LEADER_MS;
  if (!status.leader_host[0])
    return;
  op->next_try_ms
      = now + (op->data.len > LARGE_BYTES ? RETRY_LARGE_MS : RETRY_MS);
  if (op->once)
    op->next_try_ms = op->deadline_ms;
  ab_pack_array (&body, 2);
  ab_pack_u64 (&body, op->id);
  ab_pack_bytes (&body, ab_buf_chunk (&op->data));
  if (!body.error)
    ab_peer_task_send (control->daemon->peer,
                       ab_chunk_str (status.leader_host),
                       op->kind == AB_FLEET_OP_CHANGE ? AB_FRAME_FLEET_CHANGE
                                                      : AB_FRAME_FLEET_READ,
                       ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static int
start_op (struct ab_fleet_control *control, enum ab_fleet_op_kind kind,
          bool once, struct ab_chunk data, uint64_t timeout_ms,
          ab_fleet_op_callback callback, void *ctx)
{
  struct ab_fleet_op *op = calloc (1, sizeof *op);
  uint64_t now = ab_fleet_now_ms ();

  if (!op || ab_buf_append_chunk (&op->data, data) < 0)
    {
      free (op);
      return AB_ERR_MEMORY;
    }
  op->id = ++control->next_id;
  op->kind = kind;
  op->once = once;
  op->deadline_ms = now + timeout_ms;
  op->callback = callback;
  op->ctx = ctx;
  DL_APPEND (control->ops, op);
  try_op (control, op, now);
  return 0;
}

int
ab_fleet_control_change (struct ab_fleet_control *control,
                         struct ab_chunk data, uint64_t timeout_ms,
                         ab_fleet_op_callback callback, void *ctx)
{
  return start_op (control, AB_FLEET_OP_CHANGE, false, data, timeout_ms,
                   callback, ctx);
}

int
ab_fleet_control_read (struct ab_fleet_control *control, uint64_t timeout_ms,
                       ab_fleet_op_callback callback, void *ctx)
{
  return start_op (control, AB_FLEET_OP_READ, false, ab_chunk ("", 0),
                   timeout_ms, callback, ctx);
}

int
ab_fleet_control_read_once (struct ab_fleet_control *control,
                            uint64_t timeout_ms, ab_fleet_op_callback callback,
                            void *ctx)
{
  return start_op (control, AB_FLEET_OP_READ, true, ab_chunk ("", 0),
                   timeout_ms, callback, ctx);
}

/* Ends the reads whose index has been applied on this host.  */
static void
end_reads (struct ab_fleet_control *control)
{
  struct ab_fleet_op *op;
  struct ab_fleet_op *next;
  struct ab_raft_status status;

  ab_group_status (control->group, &status);
  DL_FOREACH_SAFE (control->ops, op, next)
  if (op->wait_index && status.applied_index >= op->wait_index)
    end_op (control, op, 0, AB_FLEET_ACCEPTED);
}

static bool
has_leader (const struct ab_fleet_control *control)
{
  struct ab_raft_status status;

  ab_group_status (control->group, &status);
  return status.leader_host[0] != '\0';
}

uint64_t
ab_fleet_control_leaderless_ms (const struct ab_fleet_control *control)
{
  return has_leader (control) ? 0
                              : ab_fleet_now_ms () - control->leader_seen_ms;
}

static void
on_timer (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_fleet_control *control = ctx;
  uint64_t now = ab_fleet_now_ms ();
  struct ab_fleet_op *op;
  struct ab_fleet_op *next;

  (void)fd;
  (void)events;
  if (has_leader (control))
    control->leader_seen_ms = now;
  DL_FOREACH_SAFE (control->ops, op, next)
  {
    if (now >= op->deadline_ms)
      end_op (control, op, AB_ERR_TIMEOUT, AB_FLEET_UNUSABLE);
    else if (now >= op->next_try_ms && !op->wait_index)
      try_op (control, op, now);
  }
  ab_fleet_confirm_tick (control->confirm);
}

static void
on_result (void *ctx, const struct ab_frame *frame)
{
  struct ab_fleet_control *control = ctx;
  struct ab_reader reader;
  struct ab_fleet_op *op;
  uint64_t id;
  uint64_t result;
  uint64_t index;

  if (ab_reader_init (&reader, frame->body) < 0)
    return;
  ab_reader_enter (&reader, 3);
  id = ab_reader_u64 (&reader);
  result = ab_reader_u64 (&reader);
  index = ab_reader_u64 (&reader);
  if (ab_reader_error (&reader) < 0 || result > AB_FLEET_UNUSABLE)
    id = 0;
  ab_reader_free (&reader);
  DL_SEARCH_SCALAR (control->ops, op, id, id);
  if (!op)
    return;
  if (op->kind == AB_FLEET_OP_CHANGE)
    end_op (control, op, 0, (enum ab_fleet_result)result);
  else
    {
      op->wait_index = index ? index : 1;
      end_reads (control);
    }
}

/* Operations that this host executes as the leader.  */

static void
send_result (struct ab_fleet_control *control,
             const struct ab_fleet_leader_op *leader_op,
             enum ab_fleet_result result, uint64_t index)
{
  struct ab_buf body = AB_BUF_INIT;

  ab_pack_array (&body, 3);
  ab_pack_u64 (&body, leader_op->id);
  ab_pack_u64 (&body, result);
  ab_pack_u64 (&body, index);
  if (!body.error)
    ab_peer_task_send (control->daemon->peer, ab_chunk_str (leader_op->host),
                       AB_FRAME_FLEET_RESULT, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static void
remove_leader_op (struct ab_fleet_control *control,
                  struct ab_fleet_leader_op *leader_op)
{
  if (control->leader_ops)
    DL_DELETE (control->leader_ops, leader_op);
  free (leader_op);
}

static void
remove_leader_ops (struct ab_fleet_control *control)
{
  struct ab_fleet_leader_op *leader_op;
  struct ab_fleet_leader_op *next;

  DL_FOREACH_SAFE (control->leader_ops, leader_op, next)
  remove_leader_op (control, leader_op);
}

/* Decodes the id, sender and data of an operation.  DATA points into READER.
   Returns false on invalid input.  */
static bool
decode_op (const struct ab_frame *frame, struct ab_reader *reader,
           struct ab_fleet_leader_op *leader_op, struct ab_chunk *data)
{
  if (ab_reader_init (reader, frame->body) < 0)
    return false;
  ab_reader_enter (reader, 2);
  leader_op->id = ab_reader_u64 (reader);
  *data = ab_reader_bytes (reader, AB_FLEET_COMPRESSED_BYTES + 256);
  return ab_reader_error (reader) == 0
         && ab_chunk_copy (frame->sender, leader_op->host,
                           sizeof leader_op->host);
}

static void
add_leader_op (struct ab_fleet_control *control,
               const struct ab_fleet_leader_op *leader_op)
{
  struct ab_fleet_leader_op *copy = malloc (sizeof *copy);

  /* Out of memory: the requesting host sends the operation again.  */
  if (!copy)
    return;
  *copy = *leader_op;
  DL_APPEND (control->leader_ops, copy);
}

static void
on_change (void *ctx, const struct ab_frame *frame)
{
  struct ab_fleet_control *control = ctx;
  struct ab_fleet_leader_op leader_op = { .kind = AB_FLEET_OP_CHANGE };
  struct ab_raft_status status;
  struct ab_reader reader;
  struct ab_chunk data;

  ab_group_status (control->group, &status);
  if (!decode_op (frame, &reader, &leader_op, &data))
    goto out;
  leader_op.term = status.term;
  if (ab_group_propose (control->group, data, &leader_op.index) == 0)
    add_leader_op (control, &leader_op);
out:
  ab_reader_free (&reader);
}

static void
on_read (void *ctx, const struct ab_frame *frame)
{
  struct ab_fleet_control *control = ctx;
  struct ab_fleet_leader_op leader_op = { .kind = AB_FLEET_OP_READ };
  struct ab_reader reader;
  struct ab_chunk data;

  if (!decode_op (frame, &reader, &leader_op, &data))
    goto out;
  leader_op.token = ++control->next_id;
  if (ab_group_read (control->group, leader_op.token) == 0)
    add_leader_op (control, &leader_op);
out:
  ab_reader_free (&reader);
}

/* The replicated state machine.  */

static int
state_apply (void *ctx, uint64_t index, uint64_t term, struct ab_chunk data)
{
  struct ab_fleet_control *control = ctx;
  struct ab_fleet_leader_op *leader_op;
  struct ab_fleet_leader_op *next;
  enum ab_fleet_result result;
  int rc = ab_fleet_state_apply (control->state, index, data, &result);

  if (rc < 0)
    return rc;
  DL_FOREACH_SAFE (control->leader_ops, leader_op, next)
  {
    if (leader_op->kind != AB_FLEET_OP_CHANGE || leader_op->index != index)
      continue;
    /* An entry with a different term is another leader's command, which has
       replaced the proposed one.  */
    if (leader_op->term == term)
      send_result (control, leader_op, result, index);
    remove_leader_op (control, leader_op);
  }
  return 0;
}

static int
state_save (void *ctx, struct ab_buf *out)
{
  struct ab_fleet_control *control = ctx;

  return ab_fleet_state_save (control->state, out);
}

static int
state_load (void *ctx, struct ab_chunk data)
{
  struct ab_fleet_control *control = ctx;

  return ab_fleet_state_load (control->state, data);
}

static void
state_changed (void *ctx)
{
  struct ab_fleet_control *control = ctx;
  struct ab_raft_status status;

  ab_group_status (control->group, &status);
  if (!status.leader)
    remove_leader_ops (control);
  end_reads (control);
  if (control->watch)
    ab_fleet_watch_push (control->watch);
}

static void
state_read_ready (void *ctx, uint64_t request, int rc, uint64_t index)
{
  struct ab_fleet_control *control = ctx;
  struct ab_fleet_leader_op *leader_op;

  if (ab_fleet_teams_read_ready (control->teams, request, rc, index))
    return;
  DL_FOREACH (control->leader_ops, leader_op)
  if (leader_op->kind == AB_FLEET_OP_READ && leader_op->token == request)
    break;
  if (!leader_op)
    return;
  if (rc == 0)
    send_result (control, leader_op, AB_FLEET_ACCEPTED, index);
  remove_leader_op (control, leader_op);
}

static const struct ab_group_state_ops state_ops
    = { .apply = state_apply,
        .save = state_save,
        .load = state_load,
        .changed = state_changed,
        .read_ready = state_read_ready };

/* Set-up and tear-down.  */

static int
start_timer (struct ab_fleet_control *control)
{
  const struct timeval interval = { .tv_usec = TIMER_MS * 1000 };

  control->timer
      = event_new (control->daemon->base, -1, EV_PERSIST, on_timer, control);
  return control->timer && event_add (control->timer, &interval) == 0
             ? 0
             : AB_ERR_MEMORY;
}

int
ab_fleet_control_new (struct ab_daemon *daemon,
                      const struct ab_fleet_settings *settings,
                      struct ab_fleet_control **result,
                      char error[AB_CONF_ERROR_BYTES])
{
  struct ab_fleet_control *control = calloc (1, sizeof *control);
  int rc = AB_ERR_MEMORY;

  *result = NULL;
  if (!control)
    return rc;
  control->daemon = daemon;
  control->settings = settings;
  control->leader_seen_ms = ab_fleet_now_ms ();
  /* Start above the ids of earlier processes on this host, so that late
     replies to them match no operation of this one.  */
  control->next_id = daemon->incarnation << 20;
  control->state = ab_fleet_state_new ();
  if (control->state)
    rc = ab_group_task_new (daemon, settings, &state_ops, control,
                            &control->group, error);
  if (rc == 0)
    rc = ab_fleet_watch_new (control, &control->watch);
  if (rc == 0)
    rc = ab_fleet_confirm_new (control, &control->confirm);
  if (rc == 0)
    rc = ab_fleet_reports_new (control, &control->reports);
  if (rc == 0)
    rc = ab_fleet_api_new (control, &control->api, error);
  if (rc == 0)
    rc = ab_fleet_teams_new (control, &control->teams);
  if (rc == 0)
    rc = start_timer (control);
  if (rc < 0)
    {
      ab_fleet_control_free (control);
      return rc;
    }
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_FLEET_CHANGE, on_change,
                            control);
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_FLEET_READ, on_read,
                            control);
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_FLEET_RESULT, on_result,
                            control);
  *result = control;
  return 0;
}

void
ab_fleet_control_free (struct ab_fleet_control *control)
{
  struct ab_fleet_op *op;
  struct ab_fleet_op *next;

  if (!control)
    return;
  ab_fleet_teams_free (control->teams);
  ab_fleet_api_free (control->api);
  ab_fleet_reports_free (control->reports);
  ab_fleet_watch_free (control->watch);
  ab_group_task_free (control->group);
  DL_FOREACH_SAFE (control->ops, op, next)
  free_op (control, op);
  remove_leader_ops (control);
  if (control->timer)
    event_free (control->timer);
  ab_fleet_confirm_free (control->confirm);
  ab_fleet_state_free (control->state);
  free (control);
}

bool
ab_fleet_control_stop (struct ab_fleet_control *control)
{
  control->stopping = true;
  return ab_fleet_api_pending (control->api) == 0;
}

json_t *
ab_fleet_control_state (const struct ab_fleet_control *control)
{
  return json_pack (
      "{s:o, s:I, s:I, s:I, s:o, s:o, s:o}", "group",
      ab_group_state_dump (control->group), "confirmed_age_ms",
      (json_int_t)ab_fleet_confirm_age_ms (control->confirm), "bundle_version",
      (json_int_t)ab_fleet_state_version (control->state), "targets",
      (json_int_t)ab_fleet_state_target_count (control->state), "watchers",
      ab_fleet_watch_state (control->watch), "quarantine",
      ab_fleet_quarantine_state (ab_fleet_state_quarantine (control->state),
                                 ab_clock_wall_ms (ab_clock_system ())),
      "team_limits", ab_fleet_teams_state (control->teams));
}
