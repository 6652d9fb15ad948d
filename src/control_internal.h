/* Declarations shared by the source files of the control task.  */

#ifndef AB_CONTROL_INTERNAL_H
#define AB_CONTROL_INTERNAL_H

#include <event2/event.h>
#include <uthash.h>

#include "clock.h"
#include "control_state.h"
#include "control_task.h"
#include "error.h"
#include "log.h"
#include "peer_task.h"
#include "raft_task.h"

/* The sender of a request.  REQUEST is unique in the process that HOST and
   INCARNATION name.  */
struct ab_requester
{
  char host[AB_NAME_BYTES];
  uint64_t incarnation;
  uint64_t request;
};

/* A request whose command is in the log but not applied yet.  */
struct ab_pending_command
{
  uint64_t index;
  uint64_t term;
  enum ab_frame_type reply_type;
  struct ab_requester requester;
  struct ab_ledger_key key;
  UT_hash_handle index_hh;
  UT_hash_handle requester_hh;
};

/* A ledger query that waits until a quorum has confirmed that this member
   still leads.  */
struct ab_pending_query
{
  uint64_t id;
  struct ab_requester requester;
  struct ab_ledger_key key;
  UT_hash_handle hh;
};

/* A change of the group's members.  Each step is proposed once the previous
   one is committed.  */
struct ab_member_change
{
  bool active;
  bool remove; /* HOST is still to be removed.  */
  bool add;    /* HOST is to be added, after its removal if any.  */
  char action[AB_NAME_BYTES];
  char host[AB_NAME_BYTES];
  char address[AB_ADDRESS_BYTES];
  uint64_t last_progress_ms;     /* Monotonic time of the last step.  */
  struct ab_requester requester; /* Sender of the latest retry.  */
  /* The last finished request and its result: a retry gets the same result
     instead of a second change.  */
  struct ab_requester finished;
  int finished_rc;
  char finished_message[AB_CONTROL_MESSAGE_BYTES];
};

/* Number of active targets of a service in the membership view.  */
struct ab_capacity
{
  char service[AB_NAME_BYTES];
  uint64_t count;
  uint64_t lower_since_ms; /* When COUNT fell below the committed capacity;
                              0 if it is not below.  */
  uint64_t proposed_ms;    /* When a capacity was last proposed.  */
  UT_hash_handle hh;
};

struct ab_control_task
{
  struct ab_daemon *daemon;
  struct ab_secret_key key;
  struct ab_raft_task *consensus;
  struct ab_raft *raft; /* Core of CONSENSUS, which owns it.  */
  struct ab_control_state *state;
  struct event *watch_timer;
  /* Members whose addresses were last given to the peer task.  */
  struct ab_raft_member peer_members[AB_RAFT_MEMBERS_MAX];
  size_t peer_member_count;
  struct ab_pending_command *pending;              /* By log index.  */
  struct ab_pending_command *pending_by_requester; /* By requester.  */
  struct ab_pending_query *queries;
  uint64_t next_query_id;
  struct ab_member_change change;
  struct ab_capacity *capacities;
  uint64_t leader_since_ms; /* 0 while this member does not lead.  */
  uint64_t offered_index;   /* Log index of the bundle that was last given to
                               the bundle task.  */
};

/* Returns the monotonic time.  */
uint64_t ab_control_now_ms (void);

/* Logs EVENT with the error RC and ends the process with status 1: votes and
   entries that this member has acknowledged may not be on its disk.  */
void ab_control_fatal (const char *event, int rc) __attribute__ ((noreturn));

/* Schedules a flush of the consensus task: it syncs the log, sends messages
   and applies commands after the callbacks of this turn of the event loop.  */
void ab_control_schedule_flush (struct ab_control_task *task);

/* Stamps COMMAND with this member's wall clock and proposes it to the group.
   The result is sent to REQUESTER, which may be null, in a frame of
   REPLY_TYPE.  Errors are those of ab_raft_propose; AB_ERR_NOT_LEADER if this
   member does not lead.  */
int ab_control_propose (struct ab_control_task *task,
                        struct ab_command *command,
                        enum ab_frame_type reply_type,
                        const struct ab_requester *requester);

/* Requests of clients (control_serve_task.c).  */
void ab_control_serve_start (struct ab_control_task *task);
void ab_control_serve_stop (struct ab_control_task *task);
/* Drops pending requests when this member loses leadership: it may never learn
   their outcome.  */
void ab_control_serve_drop_pending (struct ab_control_task *task);
/* Answers the ledger query ID: with the record if RC is 0, else by naming the
   leader.  */
void ab_control_serve_read_ready (struct ab_control_task *task, uint64_t id,
                                  int rc);
/* Sends REPLY to REQUESTER; fills in the request's identity.  */
void ab_control_reply (struct ab_control_task *task,
                       const struct ab_requester *requester,
                       enum ab_frame_type type,
                       struct ab_control_reply *reply);
void ab_control_reply_message (struct ab_control_task *task,
                               const struct ab_requester *requester,
                               enum ab_frame_type type, int rc,
                               const char *message);

/* Changes of members (control_group_task.c).  */

/* Starts the change that COMMAND requests, or answers a retry.  */
void ab_control_group_request (struct ab_control_task *task,
                               struct ab_command *command,
                               const struct ab_requester *requester);
/* Proposes the next step of the change in progress, if any.  */
void ab_control_group_step (struct ab_control_task *task);
/* Gives new and changed addresses of members to the peer task.  */
void ab_control_group_addresses (struct ab_control_task *task);

/* The leader's reports from the membership view (control_watch_task.c).  */

/* Proposes capacities and newer incarnations that the view shows, and sends
   revocations of permits; called regularly while this member leads.  */
void ab_control_watch (struct ab_control_task *task, uint64_t now_ms);
void ab_control_watch_free (struct ab_control_task *task);

#endif
