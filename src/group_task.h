/* The control group of a fleet: consensus, its storage, and members that come
   and go without an operator.

   Members are named by the address of their peer listener.  A fleet that
   starts for the first time forms the group from the control hosts among its
   seeds; every other control host asks to join and becomes a learner.  */

#ifndef AB_GROUP_TASK_H
#define AB_GROUP_TASK_H

#include <jansson.h>

#include "daemon.h"
#include "fleet_settings.h"
#include "raft.h"

/* Control hosts that are remembered.  */
#define AB_GROUP_HOSTS_MAX 64

struct ab_group_task;

/* The replicated state machine.  */
struct ab_group_state_ops
{
  /* A committed command; a negative result is fatal.  */
  int (*apply) (void *ctx, uint64_t index, uint64_t term,
                struct ab_chunk data);
  int (*save) (void *ctx, struct ab_buf *out);
  int (*load) (void *ctx, struct ab_chunk data);
  /* After commands were applied, or the leader changed.  */
  void (*changed) (void *ctx);
  /* Answers ab_group_read: with RC 0 the state is current once the log is
     applied up to INDEX.  */
  void (*read_ready) (void *ctx, uint64_t request, int rc, uint64_t index);
};

int ab_group_task_new (struct ab_daemon *daemon,
                       const struct ab_fleet_settings *settings,
                       const struct ab_group_state_ops *ops, void *ctx,
                       struct ab_group_task **task,
                       char error[AB_CONF_ERROR_BYTES]);
void ab_group_task_free (struct ab_group_task *task);

/* Leader: appends a command.  AB_ERR_NOT_LEADER, AB_ERR_FULL.  */
int ab_group_propose (struct ab_group_task *task, struct ab_chunk data,
                      uint64_t *index);
/* Leader: a read confirmed by a majority.  */
int ab_group_read (struct ab_group_task *task, uint64_t request);

void ab_group_status (const struct ab_group_task *task,
                      struct ab_raft_status *status);
size_t ab_group_members (const struct ab_group_task *task,
                         const struct ab_raft_member **members);
/* The members, this host, and the control hosts heard of late that may become
   members; addresses of their peer listeners.  Returns how many.  */
size_t ab_group_hosts (const struct ab_group_task *task,
                       const char *hosts[AB_GROUP_HOSTS_MAX]);
/* The failure domain of a control host; empty when it is not known.  */
const char *ab_group_domain (const struct ab_group_task *task,
                             const char *address);
/* How long ago this host knew to be current.  */
uint64_t ab_group_age_ms (const struct ab_group_task *task);

/* State dump.  */
json_t *ab_group_state_dump (const struct ab_group_task *task);

#endif
