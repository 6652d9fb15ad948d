/* What the parts of the control task share.  */

#ifndef AB_CONTROL_PARTS_H
#define AB_CONTROL_PARTS_H

#include <event2/event.h>
#include <uthash.h>

#include "clock.h"
#include "control_state.h"
#include "control_task.h"
#include "error.h"
#include "log.h"
#include "peer_task.h"
#include "raft_task.h"

/* Who asked.  */
struct ab_requester
{
  char host[AB_NAME_BYTES];
  uint64_t incarnation;
  uint64_t request;
};

/* A request whose command is in the log but not applied.  */
struct ab_pending
{
  uint64_t index;
  uint64_t term;
  enum ab_frame_type reply_type;
  struct ab_requester requester;
  struct ab_ledger_key key;
  UT_hash_handle by_index;
  UT_hash_handle by_requester;
};

/* A ledger query that waits for its quorum.  */
struct ab_pending_read
{
  uint64_t id;
  struct ab_requester requester;
  struct ab_ledger_key key;
  UT_hash_handle hh;
};

/* A change of members: each step is taken when the one before is
   committed.  */
struct ab_member_change
{
  bool active;
  bool remove; /* Still to be removed.  */
  bool add;    /* To be added after that.  */
  char action[AB_NAME_BYTES];
  char host[AB_NAME_BYTES];
  char address[AB_ADDRESS_BYTES];
  uint64_t progress_ms;
  struct ab_requester requester; /* The newest that asked for it.  */
  /* Repeats of a finished request get its answer again instead of a second
     change.  */
  struct ab_requester finished;
  int finished_rc;
  char finished_message[AB_MESSAGE_BYTES];
};

/* Capacity as counted in the membership view.  */
struct ab_capacity
{
  char service[AB_NAME_BYTES];
  uint64_t count;
  uint64_t lower_since_ms; /* 0: not below the accepted one.  */
  uint64_t proposed_ms;
  UT_hash_handle hh;
};

struct ab_control_task
{
  struct ab_daemon *daemon;
  struct ab_secret_key key;
  struct ab_raft_task *consensus;
  struct ab_raft *raft; /* Its core.  */
  struct ab_control_state *state;
  struct event *watch_timer;
  struct ab_raft_member known[AB_RAFT_MEMBERS_MAX]; /* Addresses in use.  */
  size_t known_count;
  struct ab_pending *pending;         /* By log index.  */
  struct ab_pending *pending_senders; /* By requester.  */
  struct ab_pending_read *reads;
  uint64_t next_read;
  struct ab_member_change change;
  struct ab_capacity *capacities;
  uint64_t leader_since_ms; /* 0: follower.  */
  uint64_t offered_index;   /* Log index of the bundle offered last.  */
};

uint64_t ab_control_now_ms (void);

/* Logs and ends the process with status 1: what this member has promised may
   not be on its disk.  */
void ab_control_fatal (const char *event, int rc) __attribute__ ((noreturn));

/* Syncs, sends and applies after the callbacks of this turn of the event
   loop.  */
void ab_control_schedule_flush (struct ab_control_task *task);

/* Proposes COMMAND with the leader's time.  REQUESTER may be null.  */
int ab_control_propose (struct ab_control_task *task,
                        struct ab_command *command,
                        enum ab_frame_type reply_type,
                        const struct ab_requester *requester);

/* control_serve_task.c: requests of clients.  */
void ab_control_serve_start (struct ab_control_task *task);
void ab_control_serve_stop (struct ab_control_task *task);
/* Forgets requests whose outcome this member will not learn.  */
void ab_control_serve_drop_pending (struct ab_control_task *task);
void ab_control_serve_read_ready (struct ab_control_task *task, uint64_t id,
                                  int rc);
void ab_control_reply (struct ab_control_task *task,
                       const struct ab_requester *requester,
                       enum ab_frame_type type,
                       struct ab_control_reply *reply);
void ab_control_reply_message (struct ab_control_task *task,
                               const struct ab_requester *requester,
                               enum ab_frame_type type, int rc,
                               const char *message);

/* control_group_task.c: changes of members.  */
void ab_control_group_request (struct ab_control_task *task,
                               struct ab_command *command,
                               const struct ab_requester *requester);
void ab_control_group_step (struct ab_control_task *task);
void ab_control_group_addresses (struct ab_control_task *task);

/* control_watch_task.c: what the leader sees in the membership view.  */
void ab_control_watch (struct ab_control_task *task, uint64_t now_ms);
void ab_control_watch_free (struct ab_control_task *task);

#endif
