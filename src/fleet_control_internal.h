/* Declarations shared by the source files of the fleet's control role.

   fleet_control_task.c forwards operations to the leader of the control group
   and returns the results, fleet_api_task.c is the HTTP API for targets and
   operators, fleet_watch_task.c sends views of the fleet to entry hosts,
   fleet_confirm_task.c confirms how old the state of this host can be,
   fleet_reports_task.c takes reports of entry hosts, fleet_teams_task.c grants
   tokens of teams with a rate limit.  */

#ifndef AB_FLEET_CONTROL_INTERNAL_H
#define AB_FLEET_CONTROL_INTERNAL_H

#include <event2/event.h>

#include "clock.h"
#include "error.h"
#include "fleet_control_task.h"
#include "fleet_state.h"
#include "group_task.h"
#include "log.h"
#include "peer_task.h"
#include "route_table.h"

struct ab_fleet_api;
struct ab_fleet_confirm;
struct ab_fleet_reports;
struct ab_fleet_teams;
struct ab_fleet_watch;

/* Reports the end of an operation.  RC is 0 or AB_ERR_TIMEOUT; RESULT is
   AB_FLEET_UNUSABLE on a timeout.  */
typedef void (*ab_fleet_op_callback) (void *ctx, int rc,
                                      enum ab_fleet_result result);

enum ab_fleet_op_kind
{
  AB_FLEET_OP_CHANGE = 1,
  AB_FLEET_OP_READ
};

/* An operation of this host that waits for the leader's reply.  */
struct ab_fleet_op
{
  struct ab_fleet_op *prev;
  struct ab_fleet_op *next;
  uint64_t id;
  enum ab_fleet_op_kind kind;
  struct ab_buf data;
  uint64_t deadline_ms;
  uint64_t next_try_ms;
  bool once; /* It is not sent again when there is no reply.  */
  /* Log index that this host must have applied before a read is answered; 0
     until the leader has sent it.  */
  uint64_t wait_index;
  ab_fleet_op_callback callback;
  void *ctx;
};

/* An operation that this host executes as the leader of the group.  */
struct ab_fleet_leader_op
{
  struct ab_fleet_leader_op *prev;
  struct ab_fleet_leader_op *next;
  enum ab_fleet_op_kind kind;
  uint64_t token;              /* Read: request number for ab_group_read.  */
  uint64_t index;              /* Change: log index of the proposed entry.  */
  uint64_t term;               /* Change: term in which it was proposed.  */
  char host[AB_ADDRESS_BYTES]; /* The control host that requested it.  */
  uint64_t id;                 /* Id of the operation on that host.  */
};

struct ab_fleet_control
{
  struct ab_daemon *daemon;
  const struct ab_fleet_settings *settings;
  struct ab_group_task *group;
  struct ab_fleet_state *state;
  struct ab_fleet_api *api;
  struct ab_fleet_watch *watch;
  struct ab_fleet_confirm *confirm;
  struct ab_fleet_reports *reports;
  struct ab_fleet_teams *teams;
  struct ab_fleet_op *ops;
  struct ab_fleet_leader_op *leader_ops;
  struct event *timer;
  uint64_t next_id;
  uint64_t leader_seen_ms; /* When a leader was last known.  */
  bool stopping;
};

/* Replicates the command DATA.  It is resent until it is answered, so it must
   be idempotent.  Calls CALLBACK when it is applied or after TIMEOUT_MS.
   Returns 0 or AB_ERR_MEMORY.  */
int ab_fleet_control_change (struct ab_fleet_control *control,
                             struct ab_chunk data, uint64_t timeout_ms,
                             ab_fleet_op_callback callback, void *ctx);
/* Linearizable read: calls CALLBACK once the state of this host has every
   change that was committed before the call, or after TIMEOUT_MS.  Returns 0
   or AB_ERR_MEMORY.  */
int ab_fleet_control_read (struct ab_fleet_control *control,
                           uint64_t timeout_ms, ab_fleet_op_callback callback,
                           void *ctx);
/* Likewise, with one message to the leader, which may be lost.  */
int ab_fleet_control_read_once (struct ab_fleet_control *control,
                                uint64_t timeout_ms,
                                ab_fleet_op_callback callback, void *ctx);

/* Returns for how many milliseconds no leader has been known; 0 while one
   is.  */
uint64_t
ab_fleet_control_leaderless_ms (const struct ab_fleet_control *control);

/* fleet_api_task.c */
int ab_fleet_api_new (struct ab_fleet_control *control,
                      struct ab_fleet_api **api,
                      char error[AB_CONF_ERROR_BYTES]);
void ab_fleet_api_free (struct ab_fleet_api *api);
/* Returns the table of the current bundle, parsed when it has changed; null
   before the first.  */
const struct ab_route_table *ab_fleet_api_table (struct ab_fleet_api *api);
/* Returns the number of API requests that wait for the control group.  */
size_t ab_fleet_api_pending (const struct ab_fleet_api *api);

/* fleet_watch_task.c */
int ab_fleet_watch_new (struct ab_fleet_control *control,
                        struct ab_fleet_watch **watch);
void ab_fleet_watch_free (struct ab_fleet_watch *watch);
/* Sends every entry host the changes it lacks, immediately or after a short
   delay: pushes are rate limited.  */
void ab_fleet_watch_push (struct ab_fleet_watch *watch);
/* Returns whether an entry host that follows this control host wants to know
   how old the state here can be.  */
bool ab_fleet_watch_wants_confirmation (const struct ab_fleet_watch *watch);
/* Returns the admin address of a control host in FAILURE_DOMAIN; empty when
   none is known.  */
const char *ab_fleet_watch_admin (const struct ab_fleet_watch *watch,
                                  const char *failure_domain);
/* Returns an array of the entry hosts that follow this control host.  */
json_t *ab_fleet_watch_state (const struct ab_fleet_watch *watch);

/* fleet_confirm_task.c */
int ab_fleet_confirm_new (struct ab_fleet_control *control,
                          struct ab_fleet_confirm **confirm);
void ab_fleet_confirm_free (struct ab_fleet_confirm *confirm);
/* Starts a read if one is due and wanted; to be called often.  */
void ab_fleet_confirm_tick (struct ab_fleet_confirm *confirm);
/* Returns the time since the state of this host had every change that was
   acknowledged; UINT64_MAX if no read has confirmed that yet.  */
uint64_t ab_fleet_confirm_age_ms (const struct ab_fleet_confirm *confirm);

/* fleet_reports_task.c */
int ab_fleet_reports_new (struct ab_fleet_control *control,
                          struct ab_fleet_reports **reports);
void ab_fleet_reports_free (struct ab_fleet_reports *reports);

/* fleet_teams_task.c */
int ab_fleet_teams_new (struct ab_fleet_control *control,
                        struct ab_fleet_teams **teams);
void ab_fleet_teams_free (struct ab_fleet_teams *teams);
/* Completes the group read TOKEN with RC and INDEX; returns false if it is not
   one of TEAMS, which may be null.  */
bool ab_fleet_teams_read_ready (struct ab_fleet_teams *teams, uint64_t token,
                                int rc, uint64_t index);
json_t *ab_fleet_teams_state (const struct ab_fleet_teams *teams);

static inline uint64_t
ab_fleet_now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

#endif
