/* What the parts of the control client share.  */

#ifndef AB_CONTROL_CLIENT_PARTS_H
#define AB_CONTROL_CLIENT_PARTS_H

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
  /* The leader has answered; frees the request or asks for a repeat with
     ab_request_again.  */
  void (*reply) (struct ab_request *request,
                 const struct ab_control_reply *reply);
  /* The deadline has passed; frees the request.  */
  void (*deadline) (struct ab_request *request);
  /* Called by ab_request_free before the memory goes; may be null.  */
  void (*release) (struct ab_request *request);
};

/* A request to the leader; first member of what it is for.  */
struct ab_request
{
  const struct ab_request_ops *ops;
  struct ab_control_client *client;
  uint64_t id;
  enum ab_frame_type frame_type;
  struct ab_buf body;
  uint64_t due_ms;      /* When it is sent next.  */
  uint64_t deadline_ms; /* 0: repeated until it is answered.  */
  uint64_t interval_ms; /* To the next repeat.  */
  size_t target;        /* Member that it was sent to last.  */
  unsigned sends;
  unsigned redirects; /* Since the last repeat.  */
  UT_hash_handle hh;
};

/* A fencing token of this process whose end the group has not confirmed.  */
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
  size_t leader; /* Index of the member that is asked first.  */
  uint64_t heard_ms;
  uint64_t next_id;
  struct ab_request *requests;
  struct ab_held_token *tokens;
  size_t pending; /* Completions and releases not confirmed.  */
  struct ab_permit_service *permits;
  ab_permit_revoked revoked;
  void *revoked_ctx;
};

uint64_t ab_client_now_ms (void);

/* Prepares REQUEST of SIZE bytes, with a new id, for the command that the
   caller fills in.  Null without memory.  */
struct ab_request *ab_request_new (struct ab_control_client *client,
                                   size_t size,
                                   const struct ab_request_ops *ops,
                                   enum ab_frame_type frame_type,
                                   uint64_t deadline_ms);

/* Encodes COMMAND as the request's body and sends it the first time.  */
int ab_request_start (struct ab_request *request, struct ab_command *command);

/* Sends it again after DELAY_MS.  */
void ab_request_again (struct ab_request *request, uint64_t delay_ms);
void ab_request_free (struct ab_request *request);

/* A grant that no request waits for is given back, unless its token is in
   use.  */
void ab_client_stray_grant (struct ab_control_client *client,
                            const struct ab_control_reply *reply);

void ab_client_permits_tick (struct ab_control_client *client,
                             uint64_t now_ms);
void ab_client_permits_revoke (struct ab_control_client *client,
                               const struct ab_frame *frame);
void ab_client_permits_free (struct ab_control_client *client);
json_t *ab_client_permits_state (const struct ab_control_client *client);

#endif
