/* What the parts of the fleet's control role share.

   fleet_control_task.c carries operations to the group's leader and back,
   fleet_api_task.c speaks HTTP with targets and operators, fleet_watch_task.c
   feeds entry hosts.  */

#ifndef AB_FLEET_CONTROL_PARTS_H
#define AB_FLEET_CONTROL_PARTS_H

#include <event2/event.h>

#include "clock.h"
#include "error.h"
#include "fleet_control_task.h"
#include "fleet_state.h"
#include "group_task.h"
#include "log.h"
#include "peer_task.h"

struct ab_fleet_api;
struct ab_fleet_watch;

/* Ends an operation: RC is 0 or AB_ERR_TIMEOUT.  */
typedef void (*ab_fleet_op_callback) (void *ctx, int rc,
                                      enum ab_fleet_result result);

enum ab_fleet_op_kind
{
  AB_FLEET_OP_CHANGE = 1,
  AB_FLEET_OP_READ
};

/* An operation that waits for the leader's answer.  */
struct ab_fleet_op
{
  struct ab_fleet_op *prev;
  struct ab_fleet_op *next;
  uint64_t id;
  enum ab_fleet_op_kind kind;
  struct ab_buf data;
  uint64_t deadline_ms;
  uint64_t next_try_ms;
  uint64_t wait_index; /* Read: answered once this is applied here.  */
  ab_fleet_op_callback callback;
  void *ctx;
};

/* An operation that this host carries out as the leader.  */
struct ab_fleet_lead
{
  struct ab_fleet_lead *prev;
  struct ab_fleet_lead *next;
  enum ab_fleet_op_kind kind;
  uint64_t token; /* Of the read.  */
  uint64_t index;
  uint64_t term;
  char host[AB_ADDRESS_BYTES]; /* That asked.  */
  uint64_t id;                 /* Its number there.  */
};

struct ab_fleet_control
{
  struct ab_daemon *daemon;
  const struct ab_fleet_settings *settings;
  struct ab_group_task *group;
  struct ab_fleet_state *state;
  struct ab_fleet_api *api;
  struct ab_fleet_watch *watch;
  struct ab_fleet_op *ops;
  struct ab_fleet_lead *leads;
  struct event *timer;
  uint64_t next_id;
  uint64_t led_ms; /* When a leader was known last.  */
  bool stopping;
};

/* Changes the replicated state by DATA, which may take effect more than once
   without harm.  */
int ab_fleet_control_change (struct ab_fleet_control *control,
                             struct ab_chunk data, uint64_t timeout_ms,
                             ab_fleet_op_callback callback, void *ctx);
/* Waits until the state here is as new as when this was called.  */
int ab_fleet_control_read (struct ab_fleet_control *control,
                           uint64_t timeout_ms, ab_fleet_op_callback callback,
                           void *ctx);

/* For how long no leader has been known; 0 when one is.  */
uint64_t
ab_fleet_control_leaderless_ms (const struct ab_fleet_control *control);

/* fleet_api_task.c */
int ab_fleet_api_new (struct ab_fleet_control *control,
                      struct ab_fleet_api **api,
                      char error[AB_CONF_ERROR_BYTES]);
void ab_fleet_api_free (struct ab_fleet_api *api);
/* Requests whose answers are not written out.  */
size_t ab_fleet_api_open (const struct ab_fleet_api *api);

/* fleet_watch_task.c */
int ab_fleet_watch_new (struct ab_fleet_control *control,
                        struct ab_fleet_watch **watch);
void ab_fleet_watch_free (struct ab_fleet_watch *watch);
/* Sends every entry host what changed.  */
void ab_fleet_watch_push (struct ab_fleet_watch *watch);
/* The admin address of a control host in FAILURE_DOMAIN; empty when none is
   known.  */
const char *ab_fleet_watch_admin (const struct ab_fleet_watch *watch,
                                  const char *failure_domain);
json_t *ab_fleet_watch_state (const struct ab_fleet_watch *watch);

static inline uint64_t
ab_fleet_now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

#endif
