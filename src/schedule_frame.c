#include "schedule_frame.h"

#include "error.h"
#include "pack.h"

#define ASK_FIELDS 9
#define REPLY_FIELDS 8

enum ask_flag
{
  FLAG_IDEMPOTENT = 1 << 0,
  FLAG_REPEAT = 1 << 1,
  FLAG_MAY_WAIT = 1 << 2,
  FLAG_MAY_MOVE = 1 << 3,
  FLAG_BULKY = 1 << 4
};

void
ab_sched_pack_ask (struct ab_buf *out, const struct ab_sched_ask *ask)
{
  unsigned flags = 0;

  if (ask->idempotent)
    flags |= FLAG_IDEMPOTENT;
  if (ask->repeat)
    flags |= FLAG_REPEAT;
  if (ask->may_wait)
    flags |= FLAG_MAY_WAIT;
  if (ask->may_move)
    flags |= FLAG_MAY_MOVE;
  if (ask->bulky)
    flags |= FLAG_BULKY;
  ab_pack_array (out, ASK_FIELDS);
  ab_pack_u64 (out, ask->id);
  ab_pack_bytes (out, ab_chunk_str (ask->failure_domain));
  ab_pack_bytes (out, ab_chunk_str (ask->service));
  ab_pack_bytes (out, ab_chunk_str (ask->area));
  ab_pack_u64 (out, flags);
  ab_pack_u64 (out, ask->priority);
  ab_pack_u64 (out, ask->objective_ms);
  ab_pack_u64 (out, ask->time_ms);
  ab_pack_array (out, ask->tried_count);
  for (size_t i = 0; i < ask->tried_count; i++)
    ab_pack_bytes (out, ab_chunk_str (ask->tried[i]));
}

int
ab_sched_read_ask (struct ab_chunk body, struct ab_sched_ask *ask)
{
  struct ab_reader reader;
  uint64_t flags;
  int rc = ab_reader_init (&reader, body);

  if (rc < 0)
    return rc;
  memset (ask, 0, sizeof *ask);
  ab_reader_enter (&reader, ASK_FIELDS);
  ask->id = ab_reader_u64 (&reader);
  ab_reader_str (&reader, ask->failure_domain, sizeof ask->failure_domain);
  ab_reader_str (&reader, ask->service, sizeof ask->service);
  ab_reader_str (&reader, ask->area, sizeof ask->area);
  flags = ab_reader_u64 (&reader);
  ask->idempotent = flags & FLAG_IDEMPOTENT;
  ask->repeat = flags & FLAG_REPEAT;
  ask->may_wait = flags & FLAG_MAY_WAIT;
  ask->may_move = flags & FLAG_MAY_MOVE;
  ask->bulky = flags & FLAG_BULKY;
  ask->priority = ab_reader_u64 (&reader);
  ask->objective_ms = ab_reader_u64 (&reader);
  ask->time_ms = ab_reader_u64 (&reader);
  ask->tried_count = ab_reader_enter (&reader, AB_SCHED_TRIED_MAX);
  for (size_t i = 0; i < ask->tried_count; i++)
    ab_reader_str (&reader, ask->tried[i], sizeof ask->tried[i]);
  rc = ab_reader_error (&reader);
  ab_reader_free (&reader);
  return rc;
}

void
ab_sched_pack_reply (struct ab_buf *out, const struct ab_sched_reply *reply)
{
  ab_pack_array (out, REPLY_FIELDS);
  ab_pack_u64 (out, reply->kind);
  ab_pack_u64 (out, reply->id);
  ab_pack_bytes (out, ab_chunk_str (reply->target));
  ab_pack_bytes (out, ab_chunk_str (reply->address));
  ab_pack_u64 (out, reply->trust);
  ab_pack_u64 (out, reply->waited_ms);
  ab_pack_u64 (out, reply->wait_ms);
  ab_pack_u64 (out, reply->waiting);
}

int
ab_sched_read_reply (struct ab_chunk body, struct ab_sched_reply *reply)
{
  struct ab_reader reader;
  uint64_t kind;
  uint64_t trust;
  int rc = ab_reader_init (&reader, body);

  if (rc < 0)
    return rc;
  memset (reply, 0, sizeof *reply);
  ab_reader_enter (&reader, REPLY_FIELDS);
  kind = ab_reader_u64 (&reader);
  reply->id = ab_reader_u64 (&reader);
  ab_reader_str (&reader, reply->target, sizeof reply->target);
  ab_reader_str (&reader, reply->address, sizeof reply->address);
  trust = ab_reader_u64 (&reader);
  reply->waited_ms = ab_reader_u64 (&reader);
  reply->wait_ms = ab_reader_u64 (&reader);
  reply->waiting = ab_reader_u64 (&reader);
  rc = ab_reader_error (&reader);
  if (rc == 0 && (kind > AB_SCHED_BUDGET || trust > AB_TRUST_OUT))
    rc = AB_ERR_CORRUPT;
  reply->kind = (enum ab_sched_kind)kind;
  reply->trust = (enum ab_target_trust)trust;
  ab_reader_free (&reader);
  return rc;
}

void
ab_sched_pack_outcome (struct ab_buf *out, uint64_t id,
                       enum ab_target_event event, uint64_t latency_ms)
{
  ab_pack_array (out, 3);
  ab_pack_u64 (out, id);
  ab_pack_u64 (out, event);
  ab_pack_u64 (out, latency_ms);
}

int
ab_sched_read_outcome (struct ab_chunk body, uint64_t *id,
                       enum ab_target_event *event, uint64_t *latency_ms)
{
  struct ab_reader reader;
  uint64_t value;
  int rc = ab_reader_init (&reader, body);

  if (rc < 0)
    return rc;
  ab_reader_enter (&reader, 3);
  *id = ab_reader_u64 (&reader);
  value = ab_reader_u64 (&reader);
  *latency_ms = ab_reader_u64 (&reader);
  rc = ab_reader_error (&reader);
  if (rc == 0 && value > AB_TARGET_UNUSED)
    rc = AB_ERR_CORRUPT;
  *event = (enum ab_target_event)value;
  ab_reader_free (&reader);
  return rc;
}
