/* State dumps of the control task, and the check whether the group needs this
   member.  */

#include "control_internal.h"
#include "member_task.h"

#include <stdio.h>

static json_t *
hex_string (const void *bytes, size_t size)
{
  char text[2 * AB_DIGEST_BYTES + 1] = "";

  ab_hex_encode (bytes, size, text);
  return json_string (text);
}

static json_t *
report_members (const struct ab_control_task *task)
{
  const struct ab_raft_member *members;
  size_t count = ab_raft_members (task->raft, &members);
  json_t *list = json_array ();

  for (size_t i = 0; i < count; i++)
    json_array_append_new (
        list, json_pack ("{s:s, s:s, s:s, s:o}", "host", members[i].host,
                         "address", members[i].address, "role",
                         members[i].learner ? "learner" : "voter", "disk",
                         hex_string (members[i].disk_id, AB_DISK_ID_BYTES)));
  return list;
}

static void
report_service (void *ctx, const char *service,
                const struct ab_permit_counts *counts)
{
  json_array_append_new (
      ctx, json_pack ("{s:s, s:I, s:f, s:I, s:I}", "service", service,
                      "capacity", (json_int_t)counts->capacity, "floor",
                      counts->floor, "allowed", (json_int_t)counts->allowed,
                      "outstanding", (json_int_t)counts->outstanding));
}

static void
report_holder (void *ctx, const struct ab_permit_holding *holding)
{
  json_array_append_new (
      ctx, json_pack ("{s:s, s:s, s:I, s:I, s:I}", "service", holding->service,
                      "host", holding->holder.host, "incarnation",
                      (json_int_t)holding->holder.incarnation, "held",
                      (json_int_t)holding->held, "asked_back",
                      (json_int_t)holding->revoked));
}

static json_t *
report_permits (const struct ab_control_task *task)
{
  const struct ab_permits *permits = ab_control_state_permits (task->state);
  json_t *services = json_array ();
  json_t *holders = json_array ();

  ab_permits_visit_services (permits, report_service, services);
  ab_permits_visit_holders (permits, report_holder, holders);
  return json_pack ("{s:o, s:o}", "services", services, "holders", holders);
}

static json_t *
report_ledger (const struct ab_control_task *task)
{
  const struct ab_ledger *ledger = ab_control_state_ledger (task->state);

  return json_pack (
      "{s:I, s:I, s:I, s:I}", "records", (json_int_t)ab_ledger_count (ledger),
      "bytes", (json_int_t)ab_ledger_bytes (ledger), "log_time_ms",
      (json_int_t)ab_control_state_log_time_ms (task->state),
      "expired_before_ms", (json_int_t)ab_ledger_horizon_ms (ledger));
}

static json_t *
report_bundle (const struct ab_bundle_record *record)
{
  if (!record)
    return json_null ();
  return json_pack (
      "{s:I, s:o, s:s, s:I, s:I}", "version", (json_int_t)record->version,
      "digest", hex_string (record->digest.bytes, AB_DIGEST_BYTES), "operator",
      record->operator_name, "log_index", (json_int_t)record->log_index,
      "accepted_ms", (json_int_t)record->log_time_ms);
}

static json_t *
report_change (const struct ab_control_task *task)
{
  const struct ab_member_change *change = &task->change;

  if (!change->active)
    return json_null ();
  return json_pack (
      "{s:s, s:s, s:I}", "action", change->action, "host", change->host,
      "no_progress_for_ms",
      (json_int_t)(ab_control_now_ms () - change->last_progress_ms));
}

json_t *
ab_control_task_state (const struct ab_control_task *task)
{
  struct ab_raft_status status;
  json_t *object;

  ab_raft_status (task->raft, &status);
  object = json_pack ("{s:I, s:s, s:b, s:b, s:I, s:I, s:I, s:I}", "term",
                      (json_int_t)status.term, "leader", status.leader_host,
                      "leads", (int)status.leader, "may_vote",
                      (int)status.can_vote, "first_index",
                      (json_int_t)status.first_index, "last_index",
                      (json_int_t)status.last_index, "commit_index",
                      (json_int_t)status.commit_index, "applied_index",
                      (json_int_t)status.applied_index);
  if (!object)
    return NULL;
  json_object_set_new (
      object, "disk",
      hex_string (ab_raft_task_disk_id (task->consensus), AB_DISK_ID_BYTES));
  json_object_set_new (object, "members", report_members (task));
  json_object_set_new (object, "member_change", report_change (task));
  json_object_set_new (object, "ledger", report_ledger (task));
  json_object_set_new (object, "permits", report_permits (task));
  json_object_set_new (object, "bundle",
                       report_bundle (ab_control_state_current (task->state)));
  json_object_set_new (object, "waiting_requests",
                       json_integer (HASH_CNT (index_hh, task->pending)));
  return object;
}

json_t *
ab_control_task_history (const struct ab_control_task *task)
{
  size_t count = ab_control_state_history_count (task->state);
  json_t *list = json_array ();

  for (size_t i = 0; i < count; i++)
    json_array_append_new (
        list, report_bundle (ab_control_state_history (task->state, i)));
  return list;
}

bool
ab_control_task_needed_for_quorum (const struct ab_control_task *task)
{
  const struct ab_raft_member *members;
  size_t count = ab_raft_members (task->raft, &members);
  size_t voters = 0;
  size_t alive_others = 0;
  bool is_voter = false;

  for (size_t i = 0; i < count; i++)
    {
      const struct ab_host_view *view;
      if (members[i].learner)
        continue;
      voters++;
      if (strcmp (members[i].host, task->daemon->settings->host) == 0)
        {
          is_voter = true;
          continue;
        }
      view = task->daemon->member ? ab_member_task_find_host (
                 task->daemon->member, ab_chunk_str (members[i].host))
                                  : NULL;
      alive_others += view && view->state == AB_HOST_ALIVE;
    }
  return is_voter && alive_others < voters / 2 + 1;
}
