/* Claims, completions and releases of the control client.  */

#include "control_client_internal.h"

#include <stdlib.h>

/* A claim is retried while another attempt is in progress.  The delay starts
   at the minimum and doubles while it is below the maximum.  */
#define POLL_MIN_MS 20
#define POLL_MAX_MS 200
/* Number of unconfirmed completions and releases at which new claims fail.  An
   abandoned attempt must be released, and each release leaves a record in the
   ledger.  When this many are unconfirmed, the control group is evidently not
   answering; claims then fail before anything is sent, which leaves nothing to
   release.  */
#define UNCONFIRMED_MAX 2000

struct ab_claim
{
  struct ab_request request;
  struct ab_ledger_key key;
  uint64_t poll_ms;
  /* Another attempt was in progress at the last reply.  */
  bool other_in_progress;
  ab_claim_callback callback;
  void *ctx;
};

/* A completion or release, retried until the group confirms it.  */
struct background_request
{
  struct ab_request request;
  /* Fencing token of the attempt; 0 if its grant was not received.  */
  uint64_t token;
};

/* Tokens held by this process.  */

static struct ab_held_token *
find_token (struct ab_control_client *client, uint64_t token)
{
  struct ab_held_token *held;

  HASH_FIND (hh, client->tokens, &token, sizeof token, held);
  return held;
}

static bool
add_token (struct ab_control_client *client, uint64_t token)
{
  struct ab_held_token *held = find_token (client, token);

  if (held)
    return true;
  held = calloc (1, sizeof *held);
  if (!held)
    return false;
  held->token = token;
  HASH_ADD (hh, client->tokens, token, sizeof held->token, held);
  return true;
}

static void
drop_token (struct ab_control_client *client, uint64_t token)
{
  struct ab_held_token *held = find_token (client, token);

  if (!held)
    return;
  HASH_DEL (client->tokens, held);
  free (held);
}

/* Background requests.  */

static void
background_reply (struct ab_request *request,
                  const struct ab_control_reply *reply)
{
  struct background_request *background = (struct background_request *)request;

  /* Any other result code means that the group has not decided yet: the
     request is retried.  */
  if (reply->rc != 0 && reply->rc != AB_ERR_NOT_FOUND
      && reply->rc != AB_ERR_CONFLICT)
    return;
  if (reply->rc == AB_ERR_CONFLICT)
    AB_LOG (AB_LOG_WARN, "ledger_end_refused",
            ab_log_int ("token", (int64_t)background->token),
            ab_log_str ("frame", ab_frame_type_name (request->frame_type)));
  if (background->token)
    drop_token (request->client, background->token);
  ab_request_free (request);
}

static void
background_release (struct ab_request *request)
{
  request->client->unconfirmed_count--;
}

static const struct ab_request_ops background_ops
    = { .reply = background_reply, .release = background_release };

static void
start_background (struct ab_control_client *client,
                  enum ab_frame_type frame_type, struct ab_command *command)
{
  struct ab_request *request
      = ab_request_new (client, sizeof (struct background_request),
                        &background_ops, frame_type, 0);

  if (!request)
    goto failed;
  client->unconfirmed_count++;
  ((struct background_request *)request)->token = command->token;
  if (ab_request_start (request, command) == 0)
    return;
  ab_request_free (request);
failed:
  /* The key stays claimed, so that later requests with it are answered "may
     have run".  */
  AB_LOG (AB_LOG_ERROR, "ledger_end_lost",
          ab_log_int ("token", (int64_t)command->token));
}

void
ab_control_client_complete (struct ab_control_client *client,
                            const struct ab_ledger_key *key, uint64_t token,
                            const struct ab_recorded_response *response)
{
  struct ab_command command
      = { .type = AB_COMMAND_COMPLETE, .key = *key, .token = token };
  struct ab_buf encoded = AB_BUF_INIT;

  if (response && ab_recorded_response_encode (response, &encoded) == 0)
    command.response = ab_buf_chunk (&encoded);
  start_background (client, AB_FRAME_LEDGER_COMPLETE, &command);
  ab_buf_free (&encoded);
}

void
ab_control_client_release (struct ab_control_client *client,
                           const struct ab_ledger_key *key, uint64_t token)
{
  struct ab_command command
      = { .type = AB_COMMAND_RELEASE, .key = *key, .token = token };

  start_background (client, AB_FRAME_LEDGER_RELEASE, &command);
}

void
ab_client_release_unmatched_grant (struct ab_control_client *client,
                                   const struct ab_control_reply *reply)
{
  if (reply->rc != 0 || reply->status != AB_LEDGER_GRANTED || reply->token == 0
      || find_token (client, reply->token))
    return;
  if (add_token (client, reply->token))
    ab_control_client_release (client, &reply->key, reply->token);
}

/* Releases CLAIM's attempt if it was sent: the group may have granted it, or
   may grant it later.  */
static void
abandon_attempt (struct ab_claim *claim)
{
  struct ab_command command = { .type = AB_COMMAND_RELEASE,
                                .key = claim->key,
                                .attempt = claim->request.id };

  if (claim->request.send_count > 0)
    start_background (claim->request.client, AB_FRAME_LEDGER_RELEASE,
                      &command);
}

/* Claims.  */

static void
finish_claim (struct ab_claim *claim, enum ab_claim_result result,
              const struct ab_control_reply *reply,
              const struct ab_recorded_response *response)
{
  ab_claim_callback callback = claim->callback;
  void *ctx = claim->ctx;

  ab_request_free (&claim->request);
  callback (ctx, result, result == AB_CLAIM_GRANTED ? reply->token : 0,
            response, reply ? reply->holder : ab_chunk (NULL, 0));
}

static void
claim_deadline (struct ab_request *request)
{
  struct ab_claim *claim = (struct ab_claim *)request;

  abandon_attempt (claim);
  finish_claim (claim,
                claim->other_in_progress ? AB_CLAIM_MAY_HAVE_RUN
                                         : AB_CLAIM_UNAVAILABLE,
                NULL, NULL);
}

static void
claim_granted (struct ab_claim *claim, const struct ab_control_reply *reply)
{
  if (add_token (claim->request.client, reply->token))
    {
      finish_claim (claim, AB_CLAIM_GRANTED, reply, NULL);
      return;
    }
  abandon_attempt (claim);
  finish_claim (claim, AB_CLAIM_UNAVAILABLE, reply, NULL);
}

static void
claim_recorded (struct ab_claim *claim, const struct ab_control_reply *reply)
{
  struct ab_recorded_response response;

  if (ab_recorded_response_decode (reply->response, &response) == 0)
    finish_claim (claim, AB_CLAIM_RECORDED, reply, &response);
  else
    finish_claim (claim, AB_CLAIM_MAY_HAVE_RUN, reply, NULL);
}

static void
claim_in_progress (struct ab_claim *claim)
{
  claim->other_in_progress = true;
  claim->request.redirects = 0;
  ab_request_retry_after (&claim->request, claim->poll_ms);
  if (claim->poll_ms < POLL_MAX_MS)
    claim->poll_ms *= 2;
}

/* Handles a refusal that is not final.  If the claim was sent more than once,
   a copy that is still in transit may be granted later, so that the attempt
   must be released.  */
static void
claim_rejected (struct ab_claim *claim, enum ab_claim_result result,
                const struct ab_control_reply *reply)
{
  if (claim->request.send_count > 1)
    abandon_attempt (claim);
  finish_claim (claim, result, reply, NULL);
}

static void
claim_reply (struct ab_request *request, const struct ab_control_reply *reply)
{
  struct ab_claim *claim = (struct ab_claim *)request;

  if (!ab_ledger_key_equal (&claim->key, &reply->key))
    return;
  if (reply->rc < 0)
    {
      claim_rejected (claim, AB_CLAIM_UNAVAILABLE, reply);
      return;
    }
  switch (reply->status)
    {
    case AB_LEDGER_GRANTED:
      claim_granted (claim, reply);
      break;
    case AB_LEDGER_RECORDED:
      claim_recorded (claim, reply);
      break;
    case AB_LEDGER_MAY_HAVE_RUN:
      finish_claim (claim, AB_CLAIM_MAY_HAVE_RUN, reply, NULL);
      break;
    case AB_LEDGER_MISMATCH:
      finish_claim (claim, AB_CLAIM_MISMATCH, reply, NULL);
      break;
    case AB_LEDGER_EXPIRED:
      finish_claim (claim, AB_CLAIM_EXPIRED, reply, NULL);
      break;
    case AB_LEDGER_FUTURE:
      claim_rejected (claim, AB_CLAIM_FUTURE, reply);
      break;
    case AB_LEDGER_IN_PROGRESS:
      claim_in_progress (claim);
      break;
    default:
      claim_rejected (claim, AB_CLAIM_UNAVAILABLE, reply);
    }
}

static const struct ab_request_ops claim_ops
    = { .reply = claim_reply, .deadline = claim_deadline };

/* Fails a claim that cannot be sent.  Its deadline is set to the past and it
   is added to the table of requests, so that the callback runs from the event
   loop.  */
static void
defer_claim_failure (struct ab_claim *claim)
{
  struct ab_control_client *client = claim->request.client;

  claim->request.deadline_ms = 1;
  HASH_ADD (hh, client->requests, id, sizeof claim->request.id,
            &claim->request);
  event_active (client->timer, EV_TIMEOUT, 0);
}

struct ab_claim *
ab_control_client_claim (struct ab_control_client *client,
                         const struct ab_ledger_key *key,
                         const struct ab_digest *content, uint64_t deadline_ms,
                         ab_claim_callback callback, void *ctx)
{
  struct ab_claim *claim = (struct ab_claim *)ab_request_new (
      client, sizeof *claim, &claim_ops, AB_FRAME_LEDGER_CLAIM,
      deadline_ms ? deadline_ms : 1);
  struct ab_command command
      = { .type = AB_COMMAND_CLAIM, .content = *content };

  if (!claim)
    return NULL;
  claim->key = *key;
  claim->poll_ms = POLL_MIN_MS;
  claim->callback = callback;
  claim->ctx = ctx;
  command.key = claim->key;
  command.attempt = claim->request.id;
  if (client->unconfirmed_count >= UNCONFIRMED_MAX
      || ab_request_start (&claim->request, &command) < 0)
    defer_claim_failure (claim);
  return claim;
}

void
ab_control_client_cancel (struct ab_claim *claim)
{
  abandon_attempt (claim);
  ab_request_free (&claim->request);
}
