/* Declarations shared by the source files of the control client.  */

#ifndef AB_CONTROL_CLIENT_INTERNAL_H
#define AB_CONTROL_CLIENT_INTERNAL_H

#include <event2/event.h>
#include <uthash.h>

#include "clock.h"
#include "command.h"
#include "control_client.h"
#include "error.h"
#include "log.h"
#include "peer_task.h"
#include "rng.h"

struct ab_request;

struct ab_request_ops
{
  /* Handles the leader's reply: frees the request, or schedules a retry with
     ab_request_retry_after.  */
  void (*reply) (struct ab_request *request,
                 const struct ab_control_reply *reply);
  /* Called when the deadline has passed: frees the request.  */
  void (*deadline) (struct ab_request *request);
  /* Called by ab_request_free before the memory is freed; may be null.  */
  void (*release) (struct ab_request *request);
};

/* A request to the leader.  Must be the first member of the structure of each
   kind of request: pointers are converted between the two.  */
struct ab_request
{
  const struct ab_request_ops *ops;
  struct ab_control_client *client;
  uint64_t id;
  enum ab_frame_type frame_type;
  struct ab_buf body;
  uint64_t due_ms;      /* Time of the next send.  */
  uint64_t deadline_ms; /* Time to give up; 0 to retry until answered.  */
  uint64_t interval_ms; /* Delay until the next retry.  */
  size_t last_member;   /* Index of the member that it was last sent to.  */
  unsigned send_count;
  unsigned redirects; /* Redirects followed since the last retry.  */
  UT_hash_handle hh;
};

/* A fencing token granted to this process.  It is held until the group has
   confirmed the completion or release of the claim.  */
struct ab_held_token
{
  uint64_t token;
  UT_hash_handle hh;
};

struct ab_permit_service;

struct ab_client_member
{
  char host[AB_NAME_BYTES];
  char address[AB_ADDRESS_BYTES];
};

#define AB_CLIENT_MEMBERS_MAX 16

struct ab_control_client
{
  struct ab_daemon *daemon;
  struct event *timer;
  struct ab_rng rng;
  struct ab_client_member members[AB_CLIENT_MEMBERS_MAX];
  size_t member_count;
  size_t leader_index; /* Index of the presumed leader in MEMBERS.  */
  uint64_t heard_ms;   /* When the leader last answered; 0: never.  */
  uint64_t next_id;
  struct ab_request *requests;
  struct ab_held_token *tokens;
  size_t unconfirmed_count; /* Completions and releases not confirmed yet.  */
  struct ab_permit_service *permits;
  ab_permit_revoke_handler revoke_handler;
  void *revoke_ctx;
};

/* Returns the monotonic time.  */
uint64_t ab_client_now_ms (void);

/* Allocates a request of SIZE bytes with a new id; DEADLINE_MS of 0 means no
   deadline.  It is sent by ab_request_start.  Returns null if out of
   memory.  */
struct ab_request *ab_request_new (struct ab_control_client *client,
                                   size_t size,
                                   const struct ab_request_ops *ops,
                                   enum ab_frame_type frame_type,
                                   uint64_t deadline_ms);

/* Fills in COMMAND's sender, encodes it as the request's body and sends the
   request for the first time.  Returns 0 or the error of the encoding.  */
int ab_request_start (struct ab_request *request, struct ab_command *command);

/* Schedules a retry of REQUEST in DELAY_MS.  */
void ab_request_retry_after (struct ab_request *request, uint64_t delay_ms);
void ab_request_free (struct ab_request *request);

/* Releases the grant in REPLY, which no request waits for, unless its token is
   held.  */
void ab_client_release_unmatched_grant (struct ab_control_client *client,
                                        const struct ab_control_reply *reply);

/* Fails permit requests whose deadline has passed.  */
void ab_client_permits_tick (struct ab_control_client *client,
                             uint64_t now_ms);
/* Handles the group's message that permits are revoked.  */
void ab_client_permits_revoke (struct ab_control_client *client,
                               const struct ab_frame *frame);
void ab_client_permits_free (struct ab_control_client *client);
json_t *ab_client_permits_state (const struct ab_control_client *client);

#endif
