/* Fuzz target: decoders of frame bodies.  The first byte of the input selects
   the decoder.  */

#include "command.h"
#include "dispatch_frame.h"
#include "member_item.h"
#include "raft_msg.h"

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

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct ab_control_reply reply;
  struct ab_chunk input;

  if (size == 0)
    return 0;
  input = ab_chunk (data + 1, size - 1);
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
