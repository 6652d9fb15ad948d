/* Fuzz target: decoders of frame bodies.  The first byte of the input selects
   the decoder; those from 240 on are the frames about teams.  */

#include "command.h"
#include "dispatch_frame.h"
#include "member_item.h"
#include "raft_msg.h"
#include "team_frame.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
read_raft (struct ab_chunk input)
{
  struct ab_reader reader;
  struct ab_raft_msg msg;

  if (ab_raft_msg_decode (input, &reader, &msg) == 0)
    ab_raft_msg_free (&msg, &reader);
}

static void
read_command (struct ab_chunk input)
{
  struct ab_command command;

  ab_command_decode (input, &command);
  ab_command_free (&command);
}

static void
read_item (struct ab_chunk input)
{
  struct ab_reader reader;
  struct ab_item item;

  if (ab_reader_init (&reader, input) == 0)
    ab_item_read (&reader, &item);
  ab_reader_free (&reader);
}

static void
ignore_report (void *ctx, const struct ab_peer_evidence *report)
{
  (void)ctx;
  (void)report;
}

static void
read_dispatch (unsigned kind, struct ab_chunk input)
{
  static struct ab_evidence_frame evidence;
  struct ab_slot_request_frame slot_request;
  struct ab_grant_frame grant;
  struct ab_refuse_frame refuse;
  struct ab_outcome_frame outcome;

  if (kind == 0)
    ab_slot_request_decode (input, &slot_request);
  else if (kind == 1)
    ab_grant_decode (input, &grant);
  else if (kind == 2)
    ab_refuse_decode (input, &refuse);
  else if (kind == 3)
    ab_outcome_decode (input, &outcome);
  else
    ab_evidence_decode (input, &evidence, ignore_report, NULL);
}

static void
read_team (unsigned kind, struct ab_chunk input)
{
  static struct ab_team_demands demands;
  static struct ab_team_grants grants;
  struct ab_team_ask ask;
  struct ab_team_reply reply;
  struct ab_team_pool_reply pool_reply;
  struct ab_team_return returned;

  if (kind == 0)
    ab_team_read_ask (input, &ask);
  else if (kind == 1)
    ab_team_read_reply (input, &reply);
  else if (kind == 2)
    ab_team_read_pool_reply (input, &pool_reply);
  else if (kind == 3)
    ab_team_read_return (input, &returned);
  else if (kind == 4)
    ab_team_read_demands (input, &demands);
  else
    ab_team_read_grants (input, &grants);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct ab_control_reply reply;
  struct ab_chunk input;

  if (size == 0)
    return 0;
  input = ab_chunk (data + 1, size - 1);
  if (data[0] >= 240)
    {
      read_team ((data[0] - 240U) % 6, input);
      return 0;
    }
  switch (data[0] % 9)
    {
    case 0:
      read_raft (input);
      break;
    case 1:
      read_command (input);
      break;
    case 2:
      read_item (input);
      break;
    case 3:
      ab_control_reply_decode (input, &reply);
      break;
    default:
      read_dispatch (data[0] % 9 - 4U, input);
    }
  return 0;
}
