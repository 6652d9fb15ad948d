/* The leader's reports from its membership view.  It proposes commands for the
   number of targets of each service and for hosts that run in a newer
   incarnation, and requests that holders release revoked permits.  */

#include "control_internal.h"
#include "member_task.h"

#include <stdlib.h>

/* A new leader waits this long, as its view may be incomplete.  */
#define VIEW_SETTLE_MS 5000
/* A lower capacity is proposed after this long, so that targets that are
   missing briefly cost no permits.  */
#define LOWER_DELAY_MS 5000
#define PROPOSE_INTERVAL_MS 1000

static struct ab_capacity *
get_or_add_capacity (struct ab_control_task *task, const char *service)
{
  struct ab_capacity *capacity;

  HASH_FIND_STR (task->capacities, service, capacity);
  if (capacity)
    return capacity;
  capacity = calloc (1, sizeof *capacity);
  if (!capacity)
    return NULL;
  ab_chunk_copy_bounded (ab_chunk_str (service), capacity->service,
                         sizeof capacity->service);
  HASH_ADD_STR (task->capacities, service, capacity);
  return capacity;
}

static bool
count_target (void *ctx, const struct ab_target_view *target)
{
  struct ab_capacity *capacity;

  if (target->state != AB_TARGET_ACTIVE)
    return true;
  capacity = get_or_add_capacity (ctx, target->service);
  if (capacity)
    capacity->count++;
  return true;
}

static void
report_capacity (struct ab_control_task *task, struct ab_capacity *capacity,
                 uint64_t now_ms)
{
  struct ab_command command
      = { .type = AB_COMMAND_CAPACITY, .count = capacity->count };
  struct ab_permit_counts counts = { 0 };

  ab_permits_counts (ab_control_state_permits (task->state),
                     ab_chunk_str (capacity->service), &counts);
  if (capacity->count >= counts.capacity)
    capacity->lower_since_ms = 0;
  else if (!capacity->lower_since_ms)
    capacity->lower_since_ms = now_ms;
  if (capacity->count == counts.capacity
      || now_ms - capacity->proposed_ms < PROPOSE_INTERVAL_MS
      || (capacity->lower_since_ms
          && now_ms - capacity->lower_since_ms < LOWER_DELAY_MS))
    return;
  capacity->proposed_ms = now_ms;
  memcpy (command.service, capacity->service, sizeof command.service);
  ab_control_propose (task, &command, 0, NULL);
}

/* Adds a service of the state machine to the table, so that one without
   targets in the view is reported with capacity 0.  */
static void
add_known_service (void *ctx, const char *service,
                   const struct ab_permit_counts *counts)
{
  (void)counts;
  get_or_add_capacity (ctx, service);
}

static void
watch_capacities (struct ab_control_task *task, uint64_t now_ms)
{
  if (now_ms - task->leader_since_ms < VIEW_SETTLE_MS)
    return;
  ab_permits_visit_services (ab_control_state_permits (task->state),
                             add_known_service, task);
  for (struct ab_capacity *c = task->capacities; c; c = c->hh.next)
    c->count = 0;
  ab_member_task_visit_targets (task->daemon->member, count_target, task);
  for (struct ab_capacity *c = task->capacities; c; c = c->hh.next)
    report_capacity (task, c, now_ms);
}

static void
send_revocation (struct ab_control_task *task,
                 const struct ab_permit_holding *holding)
{
  struct ab_command command = { .type = AB_COMMAND_PERMIT_SET,
                                .incarnation = holding->holder.incarnation,
                                .sequence = holding->sequence,
                                .count = holding->revoked };
  struct ab_buf body = AB_BUF_INIT;

  memcpy (command.host, holding->holder.host, sizeof command.host);
  ab_chunk_copy_bounded (ab_chunk_str (holding->service), command.service,
                         sizeof command.service);
  if (ab_command_encode (&command, &body) == 0)
    ab_peer_task_send (task->daemon->peer, ab_chunk_str (command.host),
                       AB_FRAME_PERMIT_REVOKE, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static void
check_holder (void *ctx, const struct ab_permit_holding *holding)
{
  struct ab_control_task *task = ctx;
  struct ab_command command = { .type = AB_COMMAND_HOST_SEEN };
  const struct ab_host_view *view = ab_member_task_find_host (
      task->daemon->member, ab_chunk_str (holding->holder.host));

  if (holding->revoked > 0)
    send_revocation (task, holding);
  if (!view || view->incarnation <= holding->holder.incarnation)
    return;
  command.incarnation = view->incarnation;
  memcpy (command.host, view->name, sizeof command.host);
  ab_control_propose (task, &command, 0, NULL);
}

void
ab_control_watch (struct ab_control_task *task, uint64_t now_ms)
{
  if (!task->daemon->member)
    return;
  watch_capacities (task, now_ms);
  ab_permits_visit_holders (ab_control_state_permits (task->state),
                            check_holder, task);
}

void
ab_control_watch_free (struct ab_control_task *task)
{
  struct ab_capacity *capacity = task->capacities;

  HASH_CLEAR (hh, task->capacities);
  while (capacity)
    {
      struct ab_capacity *next = capacity->hh.next;
      free (capacity);
      capacity = next;
    }
}
