/* Handles the clients' requests at a member of the control group.  */

#include "control_internal.h"

#include <stdio.h>
#include <stdlib.h>

/* Limit on requests whose commands are in the log but not applied yet.  */
#define PENDING_MAX 65536
/* Limit on ledger queries that wait for a quorum.  */
#define QUERIES_MAX 4096

/* The frames of requests and replies, and the command that a request
   carries.  */
static const struct
{
  enum ab_frame_type request;
  enum ab_frame_type reply;
  enum ab_command_type command;
} request_kinds[] = {
  { AB_FRAME_LEDGER_CLAIM, AB_FRAME_LEDGER_REPLY, AB_COMMAND_CLAIM },
  { AB_FRAME_LEDGER_COMPLETE, AB_FRAME_LEDGER_REPLY, AB_COMMAND_COMPLETE },
  { AB_FRAME_LEDGER_RELEASE, AB_FRAME_LEDGER_REPLY, AB_COMMAND_RELEASE },
  { AB_FRAME_LEDGER_QUERY, AB_FRAME_LEDGER_REPLY, AB_COMMAND_QUERY },
  { AB_FRAME_PERMIT_ACQUIRE, AB_FRAME_PERMIT_GRANT, AB_COMMAND_PERMIT_SET },
  { AB_FRAME_PERMIT_RELEASE, AB_FRAME_PERMIT_GRANT, AB_COMMAND_PERMIT_SET },
  { AB_FRAME_BUNDLE_APPLY, AB_FRAME_BUNDLE_REPLY, AB_COMMAND_BUNDLE },
  { AB_FRAME_MEMBER_CHANGE, AB_FRAME_MEMBER_REPLY, AB_COMMAND_MEMBER },
};

#define KIND_COUNT (sizeof request_kinds / sizeof request_kinds[0])

/* Replies.  */

void
ab_control_reply (struct ab_control_task *task,
                  const struct ab_requester *requester,
                  enum ab_frame_type type, struct ab_control_reply *reply)
{
  struct ab_buf body = AB_BUF_INIT;

  reply->request = requester->request;
  reply->incarnation = requester->incarnation;
  if (ab_control_reply_encode (reply, &body) == 0)
    ab_peer_task_send (task->daemon->peer, ab_chunk_str (requester->host),
                       type, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

void
ab_control_reply_message (struct ab_control_task *task,
                          const struct ab_requester *requester,
                          enum ab_frame_type type, int rc, const char *message)
{
  struct ab_control_reply reply
      = { .rc = rc, .message = ab_chunk_str (message) };

  ab_control_reply (task, requester, type, &reply);
}

/* Replies that this member does not lead, and names the leader if it is
   known.  */
static void
reply_not_leader (struct ab_control_task *task,
                  const struct ab_requester *requester,
                  enum ab_frame_type type)
{
  struct ab_control_reply reply = { .rc = AB_ERR_NOT_LEADER };
  const struct ab_raft_member *members;
  size_t count = ab_raft_members (task->raft, &members);
  struct ab_raft_status status;

  ab_raft_status (task->raft, &status);
  memcpy (reply.leader, status.leader_host, sizeof reply.leader);
  for (size_t i = 0; i < count; i++)
    if (strcmp (members[i].host, reply.leader) == 0)
      memcpy (reply.leader_address, members[i].address,
              sizeof reply.leader_address);
  ab_control_reply (task, requester, type, &reply);
}

/* Results.  */

static void
bundle_message (const struct ab_control_result *result, struct ab_buf *message)
{
  const struct ab_bundle_record *accepted = result->current_bundle;
  char digest[2 * AB_DIGEST_BYTES + 1] = "";

  if (!accepted)
    {
      ab_buf_append_str (message, "the bundle cannot be read");
      return;
    }
  ab_hex_encode (accepted->digest.bytes, sizeof accepted->digest.bytes,
                 digest);
  if (result->rc == 0 || result->rc == AB_ERR_EXISTS)
    ab_buf_printf (message, "version %llu is accepted (log index %llu)",
                   (unsigned long long)accepted->version,
                   (unsigned long long)accepted->log_index);
  else if (result->rc == AB_ERR_CONFLICT)
    ab_buf_printf (message,
                   "version %llu was accepted before with other content, by "
                   "%s, digest %s",
                   (unsigned long long)accepted->version,
                   accepted->operator_name, digest);
  else
    ab_buf_printf (message,
                   "the accepted version %llu is newer, by %s, digest %s",
                   (unsigned long long)accepted->version,
                   accepted->operator_name, digest);
}

static void
reply_result (struct ab_control_task *task,
              const struct ab_pending_command *pending,
              const struct ab_control_result *result)
{
  struct ab_buf message = AB_BUF_INIT;
  struct ab_control_reply reply = { .rc = result->rc,
                                    .key = pending->key,
                                    .status = result->answer.status,
                                    .token = result->answer.token,
                                    .held = result->held,
                                    .holder = result->answer.holder,
                                    .response = result->answer.response };

  if (result->command->type == AB_COMMAND_BUNDLE)
    {
      bundle_message (result, &message);
      if (reply.rc == AB_ERR_EXISTS)
        reply.rc = 0;
    }
  if (result->command->type == AB_COMMAND_HOST_REMOVE)
    ab_buf_printf (&message, "%s %s", result->command->host,
                   result->rc == 0 ? "was removed; its permits are free"
                                   : "is not a member and never had permits");
  reply.message = ab_buf_chunk (&message);
  ab_control_reply (task, &pending->requester, pending->reply_type, &reply);
  ab_buf_free (&message);
}

static void
free_pending (struct ab_control_task *task, struct ab_pending_command *pending)
{
  HASH_DELETE (index_hh, task->pending, pending);
  HASH_DELETE (requester_hh, task->pending_by_requester, pending);
  free (pending);
}

static void
log_bundle (const struct ab_control_result *result)
{
  if (result->rc == 0 && result->current_bundle)
    AB_LOG (AB_LOG_INFO, "bundle_accepted",
            ab_log_int ("version", (int64_t)result->current_bundle->version),
            ab_log_str ("operator", result->current_bundle->operator_name),
            ab_log_int ("log_index", (int64_t)result->index));
}

static void
on_result (void *ctx, const struct ab_control_result *result)
{
  struct ab_control_task *task = ctx;
  struct ab_pending_command *pending;

  /* Followers and restarted members apply the same command later, but the
     fleet should log the acceptance only once.  */
  if (result->command->type == AB_COMMAND_BUNDLE && task->leader_since_ms)
    log_bundle (result);
  HASH_FIND (index_hh, task->pending, &result->index, sizeof result->index,
             pending);
  if (!pending)
    return;
  /* With another term, another leader's entry has replaced this request's; the
     client retries.  */
  if (pending->term == result->term)
    reply_result (task, pending, result);
  free_pending (task, pending);
}

void
ab_control_serve_drop_pending (struct ab_control_task *task)
{
  struct ab_pending_command *pending = task->pending;

  HASH_CLEAR (index_hh, task->pending);
  HASH_CLEAR (requester_hh, task->pending_by_requester);
  while (pending)
    {
      struct ab_pending_command *next = pending->index_hh.next;
      free (pending);
      pending = next;
    }
}

/* Ledger queries.  */

static void
answer_query (struct ab_control_task *task,
              const struct ab_pending_query *query)
{
  static const enum ab_ledger_status statuses[]
      = { [AB_LEDGER_CLAIMED] = AB_LEDGER_IN_PROGRESS,
          [AB_LEDGER_DONE] = AB_LEDGER_RECORDED,
          [AB_LEDGER_UNKNOWN] = AB_LEDGER_MAY_HAVE_RUN,
          [AB_LEDGER_RELEASED] = AB_LEDGER_ABANDONED };
  struct ab_control_reply reply = { .key = query->key };
  struct ab_ledger_record record;

  reply.rc = ab_ledger_find (ab_control_state_ledger (task->state),
                             &query->key, &record);
  if (reply.rc == 0)
    {
      reply.status = statuses[record.state];
      reply.token = record.token;
      reply.holder = ab_chunk_str (record.holder.host);
      reply.response = record.response;
    }
  ab_control_reply (task, &query->requester, AB_FRAME_LEDGER_REPLY, &reply);
}

void
ab_control_serve_read_ready (struct ab_control_task *task, uint64_t id, int rc)
{
  struct ab_pending_query *query;

  HASH_FIND (hh, task->queries, &id, sizeof id, query);
  if (!query)
    return;
  HASH_DEL (task->queries, query);
  if (rc == 0)
    answer_query (task, query);
  else
    reply_not_leader (task, &query->requester, AB_FRAME_LEDGER_REPLY);
  free (query);
}

static void
start_query (struct ab_control_task *task, const struct ab_command *command,
             const struct ab_requester *requester)
{
  struct ab_pending_query *query;

  if (HASH_COUNT (task->queries) >= QUERIES_MAX)
    return;
  query = calloc (1, sizeof *query);
  if (!query)
    return;
  query->id = ++task->next_query_id;
  query->requester = *requester;
  query->key = command->key;
  HASH_ADD (hh, task->queries, id, sizeof query->id, query);
  if (ab_raft_read (task->raft, ab_control_now_ms (), query->id) < 0)
    ab_control_serve_read_ready (task, query->id, AB_ERR_NOT_LEADER);
  ab_control_schedule_flush (task);
}

/* Requests.  */

/* Answers a claim from this member's ledger if it can; returns false if the
   command must be proposed.  Such a reply is valid from any member: the
   outcome of a record never changes, and a claim in progress only makes the
   client wait.  */
static bool
answer_claim (struct ab_control_task *task, const struct ab_command *command,
              const struct ab_requester *requester)
{
  struct ab_attempt attempt
      = { .incarnation = command->incarnation, .attempt = command->request };
  struct ab_ledger_answer answer;
  struct ab_control_reply reply = { .key = command->key };

  memcpy (attempt.host, command->host, sizeof attempt.host);
  if (!ab_ledger_peek (ab_control_state_ledger (task->state), &command->key,
                       &command->content, &attempt, &answer))
    return false;
  reply.status = answer.status;
  reply.token = answer.token;
  reply.holder = answer.holder;
  reply.response = answer.response;
  ab_control_reply (task, requester, AB_FRAME_LEDGER_REPLY, &reply);
  return true;
}

/* Checks the bundle's approval and fills COMMAND with the parameters from its
   text that the state machine needs.  On failure, returns a negative error
   with a message in ERROR.  */
static int
prepare_bundle (struct ab_control_task *task, struct ab_command *command,
                char error[AB_CONF_ERROR_BYTES])
{
  struct ab_signed_bundle bundle;
  struct ab_bundle *parsed = NULL;
  int rc = ab_signed_bundle_decode (command->bundle, &bundle);

  if (rc < 0)
    {
      snprintf (error, AB_CONF_ERROR_BYTES,
                "the signed bundle cannot be decoded");
      return rc == AB_ERR_MEMORY ? rc : AB_ERR_INVALID;
    }
  rc = ab_signed_bundle_check_approval (&bundle, task->daemon->settings);
  if (rc < 0)
    snprintf (error, AB_CONF_ERROR_BYTES,
              "the bundle is not signed by an approver in the settings");
  if (rc == 0)
    rc = ab_bundle_parse ("bundle", ab_buf_chunk (&bundle.text), &parsed,
                          error);
  if (rc == 0 && ab_bundle_version (parsed) != bundle.version)
    {
      snprintf (error, AB_CONF_ERROR_BYTES,
                "the approval is for version %llu, the text says %llu",
                (unsigned long long)bundle.version,
                (unsigned long long)ab_bundle_version (parsed));
      rc = AB_ERR_INVALID;
    }
  if (rc == 0)
    rc = ab_command_set_bundle_parameters (command, parsed);
  ab_bundle_unref (parsed);
  ab_signed_bundle_free (&bundle);
  return rc;
}

static bool
is_pending (struct ab_control_task *task, const struct ab_requester *requester)
{
  struct ab_pending_command *pending;

  HASH_FIND (requester_hh, task->pending_by_requester, requester,
             sizeof *requester, pending);
  return pending;
}

static void
propose_request (struct ab_control_task *task, struct ab_command *command,
                 enum ab_frame_type reply_type,
                 const struct ab_requester *requester)
{
  char error[AB_CONF_ERROR_BYTES] = "";
  int rc = 0;

  if (command->type == AB_COMMAND_BUNDLE)
    rc = prepare_bundle (task, command, error);
  if (rc == 0 && HASH_CNT (index_hh, task->pending) >= PENDING_MAX)
    rc = AB_ERR_FULL;
  if (rc == 0)
    rc = ab_control_propose (task, command, reply_type, requester);
  if (rc == AB_ERR_NOT_LEADER)
    {
      reply_not_leader (task, requester, reply_type);
      return;
    }
  if (rc < 0)
    {
      struct ab_control_reply reply = { .rc = rc, .key = command->key };
      error[AB_CONTROL_MESSAGE_BYTES - 1] = '\0';
      reply.message = ab_chunk_str (error[0] ? error : ab_strerror (rc));
      ab_control_reply (task, requester, reply_type, &reply);
    }
}

static void
serve_request (struct ab_control_task *task, struct ab_command *command,
               enum ab_frame_type reply_type)
{
  struct ab_requester requester;

  /* The hash key includes the bytes after the host's name, so they must be
     zero.  */
  memset (&requester, 0, sizeof requester);
  ab_chunk_copy_bounded (ab_chunk_str (command->host), requester.host,
                         sizeof requester.host);
  requester.incarnation = command->incarnation;
  requester.request = command->request;
  if (!task->leader_since_ms)
    reply_not_leader (task, &requester, reply_type);
  else if (command->type == AB_COMMAND_MEMBER)
    ab_control_group_request (task, command, &requester);
  else if (command->type == AB_COMMAND_QUERY)
    start_query (task, command, &requester);
  else if (command->type == AB_COMMAND_CLAIM
           && answer_claim (task, command, &requester))
    return;
  else if (!is_pending (task, &requester))
    propose_request (task, command, reply_type, &requester);
}

static void
on_request (void *ctx, const struct ab_frame *frame)
{
  struct ab_control_task *task = ctx;
  struct ab_command command;
  int rc = ab_command_decode (frame->body, &command);

  if (rc == 0
      && !ab_chunk_copy (frame->sender, command.host, sizeof command.host))
    rc = AB_ERR_CORRUPT;
  command.incarnation = frame->incarnation;
  for (size_t i = 0; rc == 0 && i < KIND_COUNT; i++)
    if (request_kinds[i].request == frame->type
        && request_kinds[i].command == command.type)
      {
        serve_request (task, &command, request_kinds[i].reply);
        break;
      }
  ab_command_free (&command);
}

void
ab_control_serve_start (struct ab_control_task *task)
{
  ab_control_state_on_result (task->state, on_result, task);
  for (size_t i = 0; i < KIND_COUNT; i++)
    ab_peer_task_set_handler (task->daemon->peer, request_kinds[i].request,
                              on_request, task);
}

void
ab_control_serve_stop (struct ab_control_task *task)
{
  struct ab_pending_query *query = task->queries;

  for (size_t i = 0; i < KIND_COUNT; i++)
    ab_peer_task_set_handler (task->daemon->peer, request_kinds[i].request,
                              NULL, NULL);
  ab_control_serve_drop_pending (task);
  HASH_CLEAR (hh, task->queries);
  while (query)
    {
      struct ab_pending_query *next = query->hh.next;
      free (query);
      query = next;
    }
}
