/* The control group of a fleet: consensus, its storage, and membership changes
   without an operator.

   Members are named by the address of their peer listener.  A fleet that
   starts for the first time forms the group from the control hosts among its
   seeds; every other control host sends join requests and becomes a
   learner.  */

#ifndef AB_GROUP_TASK_H
#define AB_GROUP_TASK_H

#include <jansson.h>

#include "daemon.h"
#include "fleet_settings.h"
#include "raft.h"

/* Largest number of control hosts that are tracked.  */
#define AB_GROUP_HOSTS_MAX 64

struct ab_group_task;

/* Callbacks of the replicated state machine.  */
struct ab_group_state_ops
{
  /* Applies a committed command; a negative result is fatal.  */
  int (*apply) (void *ctx, uint64_t index, uint64_t term,
                struct ab_chunk data);
  /* Encodes the state into OUT.  */
  int (*save) (void *ctx, struct ab_buf *out);
  /* Replaces the state by the one encoded in DATA.  */
  int (*load) (void *ctx, struct ab_chunk data);
  /* Called after commands were applied or leadership was won or lost.  */
  void (*changed) (void *ctx);
  /* Completes ab_group_read: when RC is 0, the state is current once the log
     is applied up to INDEX.  */
  void (*read_ready) (void *ctx, uint64_t request, int rc, uint64_t index);
};

int ab_group_task_new (struct ab_daemon *daemon,
                       const struct ab_fleet_settings *settings,
                       const struct ab_group_state_ops *ops, void *ctx,
                       struct ab_group_task **task,
                       char error[AB_CONF_ERROR_BYTES]);
void ab_group_task_free (struct ab_group_task *task);

/* Appends a command, at the leader.  A new group takes no command before it
   has the voters that it needs to keep it when tolerated_losses disks are
   lost. AB_ERR_NOT_LEADER, AB_ERR_UNAVAILABLE in such a group, AB_ERR_FULL,
   AB_ERR_TOO_LARGE.  */
int ab_group_propose (struct ab_group_task *task, struct ab_chunk data,
                      uint64_t *index);
/* Requests a read confirmed by a majority, at the leader.  AB_ERR_NOT_LEADER,
   AB_ERR_FULL, AB_ERR_MEMORY.  */
int ab_group_read (struct ab_group_task *task, uint64_t request);

void ab_group_status (const struct ab_group_task *task,
                      struct ab_raft_status *status);
size_t ab_group_members (const struct ab_group_task *task,
                         const struct ab_raft_member **members);
/* Sets HOSTS to the peer listener addresses of this host, the members, those
   that were removed within AB_GROUP_REMOVAL_TIMEOUT_MS and may still run, and
   the control hosts that sent a join request recently.  Returns their
   number.  */
size_t ab_group_hosts (const struct ab_group_task *task,
                       const char *hosts[AB_GROUP_HOSTS_MAX]);
/* Returns the failure domain of a control host; empty when it is not
   known.  */
const char *ab_group_failure_domain (const struct ab_group_task *task,
                                     const char *address);
/* Returns the time since the last contact with the leader or, at the leader,
   with a majority: the state here may be older than this.  */
uint64_t ab_group_staleness_ms (const struct ab_group_task *task);

/* Returns the group's part of the state dump.  */
json_t *ab_group_state_dump (const struct ab_group_task *task);

#endif
