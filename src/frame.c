#include "frame.h"

#include "error.h"
#include "pack.h"

#define FRAME_FIELDS 5

static const char *const type_names[AB_FRAME_TYPE_COUNT] = {
  [AB_FRAME_RAFT] = "raft",
  [AB_FRAME_PING] = "ping",
  [AB_FRAME_ACK] = "ack",
  [AB_FRAME_PING_REQUEST] = "ping_request",
  [AB_FRAME_DELTA] = "delta",
  [AB_FRAME_DIGEST] = "digest",
  [AB_FRAME_REPAIR] = "repair",
  [AB_FRAME_BUNDLE_HAVE] = "bundle_have",
  [AB_FRAME_BUNDLE_GET] = "bundle_get",
  [AB_FRAME_BUNDLE_DATA] = "bundle_data",
  [AB_FRAME_BUNDLE_APPLY] = "bundle_apply",
  [AB_FRAME_BUNDLE_REPLY] = "bundle_reply",
  [AB_FRAME_LEDGER_CLAIM] = "ledger_claim",
  [AB_FRAME_LEDGER_COMPLETE] = "ledger_complete",
  [AB_FRAME_LEDGER_RELEASE] = "ledger_release",
  [AB_FRAME_LEDGER_QUERY] = "ledger_query",
  [AB_FRAME_LEDGER_REPLY] = "ledger_reply",
  [AB_FRAME_PERMIT_ACQUIRE] = "permit_acquire",
  [AB_FRAME_PERMIT_RELEASE] = "permit_release",
  [AB_FRAME_PERMIT_GRANT] = "permit_grant",
  [AB_FRAME_PERMIT_REVOKE] = "permit_revoke",
  [AB_FRAME_DISPATCH_SLOT_REQUEST] = "dispatch_ask",
  [AB_FRAME_DISPATCH_GRANT] = "dispatch_grant",
  [AB_FRAME_DISPATCH_REFUSE] = "dispatch_refuse",
  [AB_FRAME_DISPATCH_OUTCOME] = "dispatch_outcome",
  [AB_FRAME_EVIDENCE] = "evidence",
  [AB_FRAME_LIMIT_DEMAND] = "limit_demand",
  [AB_FRAME_LIMIT_SHARE] = "limit_share",
  [AB_FRAME_MEMBER_CHANGE] = "member_change",
  [AB_FRAME_MEMBER_REPLY] = "member_reply",
  [AB_FRAME_GROUP_HELLO] = "group_hello",
  [AB_FRAME_GROUP_INFO] = "group_info",
  [AB_FRAME_FLEET_CHANGE] = "fleet_change",
  [AB_FRAME_FLEET_RESULT] = "fleet_result",
  [AB_FRAME_FLEET_READ] = "fleet_read",
  [AB_FRAME_FLEET_HOSTS] = "fleet_hosts",
  [AB_FRAME_FLEET_WATCH] = "fleet_watch",
  [AB_FRAME_FLEET_VIEW] = "fleet_view",
  [AB_FRAME_SCHED_SLOT_REQUEST] = "sched_ask",
  [AB_FRAME_SCHED_REPLY] = "sched_reply",
  [AB_FRAME_SCHED_OUTCOME] = "sched_outcome",
  [AB_FRAME_FLEET_HEARTBEAT] = "fleet_alive",
  [AB_FRAME_RATE_LIMIT] = "rate_limit",
  [AB_FRAME_FLEET_REPORTS] = "fleet_reports",
  [AB_FRAME_FLEET_REPORTS_ACK] = "fleet_reports_ack",
  [AB_FRAME_TEAM_TOKENS] = "team_tokens",
  [AB_FRAME_TEAM_TOKENS_REPLY] = "team_tokens_reply",
  [AB_FRAME_TEAM_RETURN] = "team_return",
  [AB_FRAME_TEAM_POOL] = "team_pool",
  [AB_FRAME_TEAM_POOL_REPLY] = "team_pool_reply",
  [AB_FRAME_TEAM_DEMAND] = "team_demand",
  [AB_FRAME_TEAM_LEASES] = "team_leases",
  [AB_FRAME_SCHED_IN_FLIGHT] = "sched_in_flight",
};

const char *
ab_frame_type_name (enum ab_frame_type type)
{
  if (type <= 0 || type >= AB_FRAME_TYPE_COUNT)
    return "unknown";
  return type_names[type];
}

int
ab_frame_encode (const struct ab_frame *frame, struct ab_buf *out)
{
  size_t start = out->len;

  ab_pack_array (out, FRAME_FIELDS);
  ab_pack_u64 (out, AB_FRAME_VERSION);
  ab_pack_u64 (out, frame->type);
  ab_pack_bytes (out, frame->sender);
  ab_pack_u64 (out, frame->incarnation);
  ab_pack_bytes (out, frame->body);
  if (!out->error && out->len - start > AB_FRAME_BYTES_MAX)
    return AB_ERR_TOO_LARGE;
  return out->error;
}

int
ab_frame_decode (struct ab_chunk input, struct ab_frame *frame)
{
  struct ab_reader reader;
  uint64_t version;
  uint64_t type;
  int rc;

  if (input.len > AB_FRAME_BYTES_MAX)
    return AB_ERR_TOO_LARGE;
  rc = ab_reader_init (&reader, input);
  if (rc < 0)
    goto out;
  ab_reader_enter (&reader, FRAME_FIELDS + AB_READER_DEPTH_MAX);
  version = ab_reader_u64 (&reader);
  type = ab_reader_u64 (&reader);
  frame->sender = ab_reader_bytes (&reader, AB_HOST_NAME_BYTES - 1);
  frame->incarnation = ab_reader_u64 (&reader);
  frame->body = ab_reader_bytes (&reader, AB_FRAME_BYTES_MAX);
  rc = ab_reader_error (&reader);
  if (rc == 0 && version != AB_FRAME_VERSION)
    rc = AB_ERR_VERSION;
  if (rc == 0 && (type == 0 || type >= AB_FRAME_TYPE_COUNT))
    rc = AB_ERR_VERSION;
  if (rc == 0)
    frame->type = (enum ab_frame_type)type;
out:
  ab_reader_free (&reader);
  return rc;
}
