/* Changes of the control group's members.

   A replacement takes three steps: the old member is removed, the host is
   added as a learner with its new disk, and it is promoted to a voter once it
   has caught up.  Each step is committed before the next is proposed.  */

#include "control_internal.h"

#include <stdio.h>

#define REPLY_TYPE AB_FRAME_MEMBER_REPLY
/* A change that has made no progress for this long may be replaced by
   another.  */
#define STALLED_MS 60000

static const struct ab_raft_member *
find_member (const struct ab_raft_member *members, size_t count,
             const char *host)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (members[i].host, host) == 0)
      return &members[i];
  return NULL;
}

void
ab_control_group_addresses (struct ab_control_task *task)
{
  const struct ab_raft_member *members;
  size_t count = ab_raft_members (task->raft, &members);

  for (size_t i = 0; i < count && i < AB_RAFT_MEMBERS_MAX; i++)
    {
      const struct ab_raft_member *known = find_member (
          task->peer_members, task->peer_member_count, members[i].host);
      if (strcmp (members[i].host, task->daemon->settings->host) == 0
          || (known && strcmp (known->address, members[i].address) == 0))
        continue;
      ab_peer_task_set_address (task->daemon->peer,
                                ab_chunk_str (members[i].host),
                                members[i].address);
    }
  task->peer_member_count
      = count < AB_RAFT_MEMBERS_MAX ? count : AB_RAFT_MEMBERS_MAX;
  memcpy (task->peer_members, members,
          task->peer_member_count * sizeof *members);
}

/* Ends the change in progress and sends its result to the requester.  */
static void
finish_change (struct ab_control_task *task, int rc, const char *message)
{
  struct ab_member_change *change = &task->change;

  change->active = false;
  change->finished = change->requester;
  change->finished_rc = rc;
  snprintf (change->finished_message, sizeof change->finished_message,
            "%s %s: %s", change->action, change->host, message);
  AB_LOG (rc < 0 ? AB_LOG_WARN : AB_LOG_INFO, "control_member_change",
          ab_log_str ("action", change->action),
          ab_log_str ("member", change->host), ab_log_str ("end", message));
  ab_control_reply_message (task, &change->requester, REPLY_TYPE, rc,
                            change->finished_message);
}

/* Handles RC, the result of proposing a step.  A transient error is ignored,
   so that the step is retried; any other error ends the change.  */
static void
handle_step_result (struct ab_control_task *task, int rc)
{
  if (rc == 0)
    {
      task->change.last_progress_ms = ab_control_now_ms ();
      ab_control_schedule_flush (task);
      /* The leader sends messages to a new member from now on, so the peer
         task needs its address.  */
      ab_control_group_addresses (task);
    }
  else if (rc != AB_ERR_BUSY && rc != AB_ERR_UNAVAILABLE && rc != AB_ERR_EXISTS
           && rc != AB_ERR_NOT_FOUND && rc != AB_ERR_NOT_LEADER)
    finish_change (task, rc, ab_strerror (rc));
}

static void
step_add (struct ab_control_task *task, const struct ab_raft_member *member)
{
  struct ab_member_change *change = &task->change;
  struct ab_raft_member added = { .learner = true };
  uint64_t now = ab_control_now_ms ();

  if (member && !member->learner)
    {
      finish_change (task, 0, "the host is a voting member");
      return;
    }
  if (member)
    {
      handle_step_result (task,
                          ab_raft_promote (task->raft, now, change->host));
      return;
    }
  memcpy (added.host, change->host, sizeof added.host);
  memcpy (added.address, change->address, sizeof added.address);
  handle_step_result (task, ab_raft_add_learner (task->raft, now, &added));
}

void
ab_control_group_step (struct ab_control_task *task)
{
  struct ab_member_change *change = &task->change;
  const struct ab_raft_member *member;
  struct ab_raft_snapshot_metadata metadata;

  if (!change->active
      || ab_raft_get_snapshot_metadata (task->raft, &metadata) < 0)
    return;
  member = find_member (metadata.members, metadata.member_count, change->host);
  if (change->remove && member)
    {
      handle_step_result (
          task,
          ab_raft_remove (task->raft, ab_control_now_ms (), change->host));
      return;
    }
  change->remove = false;
  if (change->add)
    step_add (task, member);
  else
    finish_change (task, 0, "the host is not a member any more");
}

/* Returns true if the request is a retry of the change in progress or of the
   one that finished last.  In the latter case, sends its result again.  */
static bool
is_retry (struct ab_control_task *task, const struct ab_command *command,
          const struct ab_requester *requester)
{
  struct ab_member_change *change = &task->change;

  if (memcmp (&change->finished, requester, sizeof *requester) == 0)
    {
      ab_control_reply_message (task, requester, REPLY_TYPE,
                                change->finished_rc, change->finished_message);
      return true;
    }
  if (!change->active || strcmp (change->action, command->action) != 0
      || strcmp (change->host, command->member) != 0)
    return false;
  change->requester = *requester;
  return true;
}

/* Fills CHANGE from COMMAND.  Returns a message that tells why COMMAND is
   invalid, or null.  MEMBER is the group's entry for the host, or null.  */
static const char *
init_change (struct ab_control_task *task, const struct ab_command *command,
             const struct ab_raft_member *member,
             struct ab_member_change *change)
{
  bool replace = strcmp (command->action, "replace") == 0;

  change->remove = replace || strcmp (command->action, "remove") == 0;
  change->add = replace || strcmp (command->action, "add") == 0;
  memcpy (change->action, command->action, sizeof change->action);
  memcpy (change->host, command->member, sizeof change->host);
  memcpy (change->address, command->address, sizeof change->address);
  if (!change->remove && !change->add)
    return "the action must be add, remove or replace";
  if (change->host[0] == '\0')
    return "the host's name is missing";
  if (change->add && change->address[0] == '\0' && member)
    memcpy (change->address, member->address, sizeof change->address);
  if (change->add && !ab_address_valid (ab_chunk_str (change->address)))
    return "the address of the host's peer listener is missing or invalid";
  if (change->remove && member
      && strcmp (change->host, task->daemon->settings->host) == 0)
    return "the host leads the group; stop it first so that another host "
           "leads";
  return NULL;
}

void
ab_control_group_request (struct ab_control_task *task,
                          struct ab_command *command,
                          const struct ab_requester *requester)
{
  struct ab_member_change next = task->change;
  const struct ab_raft_member *members;
  size_t count = ab_raft_members (task->raft, &members);
  const struct ab_raft_member *member
      = find_member (members, count, command->member);
  uint64_t now = ab_control_now_ms ();
  const char *problem;

  if (is_retry (task, command, requester))
    return;
  problem = init_change (task, command, member, &next);
  if (problem)
    {
      ab_control_reply_message (task, requester, REPLY_TYPE, AB_ERR_INVALID,
                                problem);
      return;
    }
  if (task->change.active && now - task->change.last_progress_ms < STALLED_MS
      && !(strcmp (task->change.host, next.host) == 0 && !next.add))
    {
      ab_control_reply_message (task, requester, REPLY_TYPE, AB_ERR_BUSY,
                                "another membership change is in progress");
      return;
    }
  if (!member && !next.add)
    {
      /* The host is not a member: the operator declares that an entry host was
         removed for good.  */
      command->type = AB_COMMAND_HOST_REMOVE;
      memcpy (command->host, command->member, sizeof command->host);
      ab_control_propose (task, command, REPLY_TYPE, requester);
      return;
    }
  next.active = true;
  next.last_progress_ms = now;
  next.requester = *requester;
  task->change = next;
  ab_control_group_step (task);
}
