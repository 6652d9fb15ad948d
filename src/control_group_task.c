/* Changes of the control group's members.

   A replacement is three changes: the old member is removed, the host is
   added as a learner with its new disk, and it is promoted once it has caught
   up.  Each is committed before the next is proposed.  */

#include "control_parts.h"

#include <stdio.h>

#define REPLY AB_FRAME_MEMBER_REPLY
/* A change that has made no progress for so long gives way to another.  */
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
      const struct ab_raft_member *known
          = find_member (task->known, task->known_count, members[i].host);
      if (strcmp (members[i].host, task->daemon->settings->host) == 0
          || (known && strcmp (known->address, members[i].address) == 0))
        continue;
      ab_peer_task_set_address (task->daemon->peer,
                                ab_chunk_str (members[i].host),
                                members[i].address);
    }
  task->known_count
      = count < AB_RAFT_MEMBERS_MAX ? count : AB_RAFT_MEMBERS_MAX;
  memcpy (task->known, members, task->known_count * sizeof *members);
}

static void
finish (struct ab_control_task *task, int rc, const char *message)
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
  ab_control_reply_message (task, &change->requester, REPLY, rc,
                            change->finished_message);
}

/* The rc of a step that was proposed or has to wait.  */
static void
after_step (struct ab_control_task *task, int rc)
{
  if (rc == 0)
    {
      task->change.progress_ms = ab_control_now_ms ();
      ab_control_schedule_flush (task);
      /* The new member is sent to from now on.  */
      ab_control_group_addresses (task);
    }
  else if (rc != AB_ERR_BUSY && rc != AB_ERR_UNAVAILABLE && rc != AB_ERR_EXISTS
           && rc != AB_ERR_NOT_FOUND && rc != AB_ERR_NOT_LEADER)
    finish (task, rc, ab_strerror (rc));
}

static void
step_add (struct ab_control_task *task, const struct ab_raft_member *member)
{
  struct ab_member_change *change = &task->change;
  struct ab_raft_member added = { .learner = true };
  uint64_t now = ab_control_now_ms ();

  if (member && !member->learner)
    {
      finish (task, 0, "the host is a voting member");
      return;
    }
  if (member)
    {
      after_step (task, ab_raft_promote (task->raft, now, change->host));
      return;
    }
  memcpy (added.host, change->host, sizeof added.host);
  memcpy (added.address, change->address, sizeof added.address);
  after_step (task, ab_raft_add_learner (task->raft, now, &added));
}

void
ab_control_group_step (struct ab_control_task *task)
{
  struct ab_member_change *change = &task->change;
  const struct ab_raft_member *member;
  struct ab_raft_point point;

  if (!change->active || ab_raft_applied_point (task->raft, &point) < 0)
    return;
  member = find_member (point.members, point.member_count, change->host);
  if (change->remove && member)
    {
      after_step (task, ab_raft_remove (task->raft, ab_control_now_ms (),
                                        change->host));
      return;
    }
  change->remove = false;
  if (change->add)
    step_add (task, member);
  else
    finish (task, 0, "the host is no member any more");
}

/* Whether the request repeats the one that runs or has just ended.  */
static bool
is_repeat (struct ab_control_task *task, const struct ab_command *command,
           const struct ab_requester *requester)
{
  struct ab_member_change *change = &task->change;

  if (memcmp (&change->finished, requester, sizeof *requester) == 0)
    {
      ab_control_reply_message (task, requester, REPLY, change->finished_rc,
                                change->finished_message);
      return true;
    }
  if (!change->active || strcmp (change->action, command->action) != 0
      || strcmp (change->host, command->member) != 0)
    return false;
  change->requester = *requester;
  return true;
}

/* Fills the change from COMMAND; returns what is wrong with it, or null.  */
static const char *
prepare (struct ab_control_task *task, const struct ab_command *command,
         const struct ab_raft_member *member, struct ab_member_change *change)
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
    return "the address of the host's peer listener is needed";
  if (change->remove && member
      && strcmp (change->host, task->daemon->settings->host) == 0)
    return "the host leads the group; stop it first, so that another leads";
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
  const char *wrong;

  if (is_repeat (task, command, requester))
    return;
  wrong = prepare (task, command, member, &next);
  if (wrong)
    {
      ab_control_reply_message (task, requester, REPLY, AB_ERR_INVALID, wrong);
      return;
    }
  if (task->change.active && now - task->change.progress_ms < STALLED_MS
      && !(strcmp (task->change.host, next.host) == 0 && !next.add))
    {
      ab_control_reply_message (task, requester, REPLY, AB_ERR_BUSY,
                                "another change of members is in progress");
      return;
    }
  if (!member && !next.add)
    {
      /* Not a member: an operator says that an entry host is gone.  */
      command->type = AB_COMMAND_HOST_FORGET;
      memcpy (command->host, command->member, sizeof command->host);
      ab_control_propose (task, command, REPLY, requester);
      return;
    }
  next.active = true;
  next.progress_ms = now;
  next.requester = *requester;
  task->change = next;
  ab_control_group_step (task);
}
