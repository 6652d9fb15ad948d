#include "schedule_frame.h"

#include "error.h"
#include "pack.h"

/* Fields of every slot request, and of one with a team.  A host of an earlier
   version cannot read the latter.  */
#define SLOT_REQUEST_FIELDS 9
#define SLOT_REQUEST_TEAM_FIELDS 11
#define REPLY_FIELDS 8
#define REPLY_FREE_FIELDS 9
#define ATTEMPT_FIELDS 5
/* Later versions may append fields up to this many.  */
#define IN_FLIGHT_FIELDS_MAX 16

enum slot_request_flag
{
  FLAG_IDEMPOTENT = 1 << 0,
  FLAG_RETRY = 1 << 1,
  FLAG_MAY_WAIT = 1 << 2,
  FLAG_MAY_SPILL = 1 << 3,
  FLAG_LARGE_BODY = 1 << 4,
  FLAG_COUNTED = 1 << 5,
  FLAG_WANTS_FREE = 1 << 6
};

void
ab_sched_pack_slot_request (struct ab_buf *out,
                            const struct ab_sched_slot_request *slot_request)
{
  unsigned flags = 0;

  if (slot_request->idempotent)
    flags |= FLAG_IDEMPOTENT;
  if (slot_request->is_retry)
    flags |= FLAG_RETRY;
  if (slot_request->may_wait)
    flags |= FLAG_MAY_WAIT;
  if (slot_request->may_spill)
    flags |= FLAG_MAY_SPILL;
  if (slot_request->large_body)
    flags |= FLAG_LARGE_BODY;
  if (slot_request->is_counted)
    flags |= FLAG_COUNTED;
  if (slot_request->wants_free)
    flags |= FLAG_WANTS_FREE;
  ab_pack_array (out, slot_request->team[0] ? SLOT_REQUEST_TEAM_FIELDS
                                            : SLOT_REQUEST_FIELDS);
  ab_pack_u64 (out, slot_request->id);
  ab_pack_bytes (out, ab_chunk_str (slot_request->failure_domain));
  ab_pack_bytes (out, ab_chunk_str (slot_request->service));
  ab_pack_bytes (out, ab_chunk_str (slot_request->shard));
  ab_pack_u64 (out, flags);
  ab_pack_u64 (out, slot_request->priority);
  ab_pack_u64 (out, slot_request->objective_ms);
  ab_pack_u64 (out, slot_request->timeout_ms);
  ab_pack_array (out, slot_request->tried_count);
  for (size_t i = 0; i < slot_request->tried_count; i++)
    ab_pack_bytes (out, ab_chunk_str (slot_request->tried[i]));
  if (!slot_request->team[0])
    return;
  ab_pack_bytes (out, ab_chunk_str (slot_request->team));
  ab_pack_u64 (out, slot_request->team_priority);
}

int
ab_sched_read_slot_request (struct ab_chunk body,
                            struct ab_sched_slot_request *slot_request)
{
  struct ab_reader reader;
  uint64_t flags;
  int rc = ab_reader_init (&reader, body);

  if (rc < 0)
    return rc;
  memset (slot_request, 0, sizeof *slot_request);
  ab_reader_enter (&reader, SLOT_REQUEST_TEAM_FIELDS);
  slot_request->id = ab_reader_u64 (&reader);
  ab_reader_str (&reader, slot_request->failure_domain,
                 sizeof slot_request->failure_domain);
  ab_reader_str (&reader, slot_request->service, sizeof slot_request->service);
  ab_reader_str (&reader, slot_request->shard, sizeof slot_request->shard);
  flags = ab_reader_u64 (&reader);
  slot_request->idempotent = flags & FLAG_IDEMPOTENT;
  slot_request->is_retry = flags & FLAG_RETRY;
  slot_request->may_wait = flags & FLAG_MAY_WAIT;
  slot_request->may_spill = flags & FLAG_MAY_SPILL;
  slot_request->large_body = flags & FLAG_LARGE_BODY;
  slot_request->is_counted = flags & FLAG_COUNTED;
  slot_request->wants_free = flags & FLAG_WANTS_FREE;
  slot_request->priority = ab_reader_u64 (&reader);
  slot_request->objective_ms = ab_reader_u64 (&reader);
  slot_request->timeout_ms = ab_reader_u64 (&reader);
  slot_request->tried_count = ab_reader_enter (&reader, AB_SCHED_TRIED_MAX);
  for (size_t i = 0; i < slot_request->tried_count; i++)
    ab_reader_str (&reader, slot_request->tried[i],
                   sizeof slot_request->tried[i]);
  ab_reader_leave (&reader);
  if (ab_reader_has_more (&reader))
    {
      ab_reader_str (&reader, slot_request->team, sizeof slot_request->team);
      slot_request->team_priority = ab_reader_u64 (&reader);
    }
  rc = ab_reader_error (&reader);
  ab_reader_free (&reader);
  return rc;
}

void
ab_sched_pack_reply (struct ab_buf *out, const struct ab_sched_reply *reply)
{
  ab_pack_array (out, reply->has_free ? REPLY_FREE_FIELDS : REPLY_FIELDS);
  ab_pack_u64 (out, reply->decision);
  ab_pack_u64 (out, reply->id);
  ab_pack_bytes (out, ab_chunk_str (reply->target));
  ab_pack_bytes (out, ab_chunk_str (reply->address));
  ab_pack_u64 (out, reply->health_state);
  ab_pack_u64 (out, reply->waited_ms);
  ab_pack_u64 (out, reply->wait_ms);
  ab_pack_u64 (out, reply->waiting);
  if (reply->has_free)
    ab_pack_u64 (out, reply->free_slots);
}

int
ab_sched_read_reply (struct ab_chunk body, struct ab_sched_reply *reply)
{
  struct ab_reader reader;
  uint64_t decision;
  uint64_t health_state;
  int rc = ab_reader_init (&reader, body);

  if (rc < 0)
    return rc;
  memset (reply, 0, sizeof *reply);
  ab_reader_enter (&reader, REPLY_FREE_FIELDS);
  decision = ab_reader_u64 (&reader);
  reply->id = ab_reader_u64 (&reader);
  ab_reader_str (&reader, reply->target, sizeof reply->target);
  ab_reader_str (&reader, reply->address, sizeof reply->address);
  health_state = ab_reader_u64 (&reader);
  reply->waited_ms = ab_reader_u64 (&reader);
  reply->wait_ms = ab_reader_u64 (&reader);
  reply->waiting = ab_reader_u64 (&reader);
  reply->has_free = ab_reader_has_more (&reader);
  if (reply->has_free)
    reply->free_slots = ab_reader_u64 (&reader);
  rc = ab_reader_error (&reader);
  if (rc == 0
      && (decision > AB_SCHED_BUDGET_USED_UP
          || health_state > AB_TARGET_EJECTED))
    rc = AB_ERR_CORRUPT;
  reply->decision = (enum ab_sched_decision)decision;
  reply->health_state = (enum ab_target_health_state)health_state;
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
  if (rc == 0 && value > AB_TARGET_PAUSED)
    rc = AB_ERR_CORRUPT;
  *event = (enum ab_target_event)value;
  ab_reader_free (&reader);
  return rc;
}

void
ab_sched_pack_in_flight (struct ab_buf *out,
                         const struct ab_sched_attempt *list, size_t count)
{
  ab_pack_array (out, 1);
  ab_pack_array (out, count);
  for (size_t i = 0; i < count; i++)
    {
      unsigned flags = (list[i].idempotent ? FLAG_IDEMPOTENT : 0U)
                       | (list[i].is_retry ? FLAG_RETRY : 0U);
      ab_pack_array (out, ATTEMPT_FIELDS);
      ab_pack_u64 (out, list[i].id);
      ab_pack_bytes (out, ab_chunk_str (list[i].target));
      ab_pack_u64 (out, flags);
      ab_pack_u64 (out, list[i].age_ms);
      ab_pack_u64 (out, list[i].timeout_ms);
    }
}

int
ab_sched_read_in_flight (struct ab_chunk body,
                         struct ab_sched_attempt list[AB_SCHED_ADOPT_MAX],
                         size_t *count)
{
  struct ab_reader reader;
  int rc = ab_reader_init (&reader, body);

  *count = 0;
  if (rc < 0)
    return rc;
  ab_reader_enter (&reader, IN_FLIGHT_FIELDS_MAX);
  *count = ab_reader_enter (&reader, AB_SCHED_ADOPT_MAX);
  for (size_t i = 0; i < *count; i++)
    {
      uint64_t flags;
      memset (&list[i], 0, sizeof list[i]);
      ab_reader_enter (&reader, IN_FLIGHT_FIELDS_MAX);
      list[i].id = ab_reader_u64 (&reader);
      ab_reader_str (&reader, list[i].target, sizeof list[i].target);
      flags = ab_reader_u64 (&reader);
      list[i].idempotent = flags & FLAG_IDEMPOTENT;
      list[i].is_retry = flags & FLAG_RETRY;
      list[i].age_ms = ab_reader_u64 (&reader);
      list[i].timeout_ms = ab_reader_u64 (&reader);
      ab_reader_leave (&reader);
    }
  rc = ab_reader_error (&reader);
  ab_reader_free (&reader);
  if (rc < 0)
    *count = 0;
  return rc;
}
