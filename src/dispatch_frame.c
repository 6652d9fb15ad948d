#include "dispatch_frame.h"

#include <math.h>

#include "error.h"
#include "pack.h"

#define FIELDS_MAX 16

static void
pack_str (struct ab_buf *out, const char *text)
{
  ab_pack_bytes (out, ab_chunk_str (text));
}

static int
finish_reader (struct ab_reader *reader)
{
  int rc = ab_reader_error (reader);

  ab_reader_free (reader);
  return rc;
}

void
ab_slot_request_encode (const struct ab_slot_request_frame *slot_request,
                        struct ab_buf *out)
{
  const struct ab_dispatch_request *request = &slot_request->request;

  ab_pack_array (out, 9);
  ab_pack_u64 (out, slot_request->id);
  ab_pack_u64 (out, slot_request->left_ms);
  ab_pack_bool (out, slot_request->spilled);
  ab_pack_bool (out, slot_request->no_spill);
  pack_str (out, request->request_id);
  pack_str (out, request->service);
  pack_str (out, request->class_name);
  ab_pack_u64 (out, request->priority);
  ab_pack_array (out, request->excluded_count);
  for (size_t i = 0; i < request->excluded_count; i++)
    pack_str (out, request->excluded[i]);
}

int
ab_slot_request_decode (struct ab_chunk body,
                        struct ab_slot_request_frame *slot_request)
{
  struct ab_dispatch_request *request = &slot_request->request;
  struct ab_reader reader;
  int rc = ab_reader_init (&reader, body);

  if (rc < 0)
    return rc;
  *slot_request = (struct ab_slot_request_frame){ .id = 0 };
  ab_reader_enter (&reader, FIELDS_MAX);
  slot_request->id = ab_reader_u64 (&reader);
  slot_request->left_ms = ab_reader_u64 (&reader);
  slot_request->spilled = ab_reader_bool (&reader);
  slot_request->no_spill = ab_reader_bool (&reader);
  ab_reader_str (&reader, request->request_id, sizeof request->request_id);
  ab_reader_str (&reader, request->service, sizeof request->service);
  ab_reader_str (&reader, request->class_name, sizeof request->class_name);
  request->priority = ab_reader_u64 (&reader);
  request->excluded_count = ab_reader_enter (&reader, AB_EXCLUDED_MAX);
  for (size_t i = 0; i < request->excluded_count; i++)
    ab_reader_str (&reader, request->excluded[i], sizeof request->excluded[i]);
  return finish_reader (&reader);
}

void
ab_grant_encode (const struct ab_grant_frame *grant, struct ab_buf *out)
{
  ab_pack_array (out, 6);
  ab_pack_u64 (out, grant->slot_request_id);
  ab_pack_u64 (out, grant->grant.id);
  pack_str (out, grant->grant.service);
  pack_str (out, grant->grant.class_name);
  pack_str (out, grant->grant.target);
  ab_pack_u64 (out, grant->grant.max_connections);
}

int
ab_grant_decode (struct ab_chunk body, struct ab_grant_frame *grant)
{
  struct ab_reader reader;
  int rc = ab_reader_init (&reader, body);

  if (rc < 0)
    return rc;
  *grant = (struct ab_grant_frame){ .slot_request_id = 0 };
  ab_reader_enter (&reader, FIELDS_MAX);
  grant->slot_request_id = ab_reader_u64 (&reader);
  grant->grant.id = ab_reader_u64 (&reader);
  ab_reader_str (&reader, grant->grant.service, sizeof grant->grant.service);
  ab_reader_str (&reader, grant->grant.class_name,
                 sizeof grant->grant.class_name);
  ab_reader_str (&reader, grant->grant.target, sizeof grant->grant.target);
  grant->grant.max_connections = ab_reader_u64 (&reader);
  return finish_reader (&reader);
}

void
ab_refuse_encode (const struct ab_refuse_frame *refuse, struct ab_buf *out)
{
  ab_pack_array (out, 4);
  ab_pack_u64 (out, refuse->slot_request_id);
  ab_pack_i64 (out, refuse->rc);
  ab_pack_bool (out, refuse->spill);
  pack_str (out, refuse->reason);
}

int
ab_refuse_decode (struct ab_chunk body, struct ab_refuse_frame *refuse)
{
  struct ab_reader reader;
  int rc = ab_reader_init (&reader, body);

  if (rc < 0)
    return rc;
  *refuse = (struct ab_refuse_frame){ .slot_request_id = 0 };
  ab_reader_enter (&reader, FIELDS_MAX);
  refuse->slot_request_id = ab_reader_u64 (&reader);
  refuse->rc = ab_reader_i64 (&reader);
  refuse->spill = ab_reader_bool (&reader);
  ab_reader_str (&reader, refuse->reason, sizeof refuse->reason);
  return finish_reader (&reader);
}

void
ab_outcome_encode (const struct ab_outcome_frame *outcome, struct ab_buf *out)
{
  ab_pack_array (out, 7);
  ab_pack_u64 (out, outcome->grant);
  ab_pack_u64 (out, outcome->slot_request_id);
  pack_str (out, outcome->service);
  pack_str (out, outcome->class_name);
  pack_str (out, outcome->target);
  ab_pack_u64 (out, outcome->outcome.kind);
  ab_pack_u64 (out, outcome->outcome.latency_us);
}

int
ab_outcome_decode (struct ab_chunk body, struct ab_outcome_frame *outcome)
{
  struct ab_reader reader;
  uint64_t kind;
  int rc = ab_reader_init (&reader, body);

  if (rc < 0)
    return rc;
  *outcome = (struct ab_outcome_frame){ .grant = 0 };
  ab_reader_enter (&reader, FIELDS_MAX);
  outcome->grant = ab_reader_u64 (&reader);
  outcome->slot_request_id = ab_reader_u64 (&reader);
  ab_reader_str (&reader, outcome->service, sizeof outcome->service);
  ab_reader_str (&reader, outcome->class_name, sizeof outcome->class_name);
  ab_reader_str (&reader, outcome->target, sizeof outcome->target);
  kind = ab_reader_u64 (&reader);
  outcome->outcome.latency_us = ab_reader_u64 (&reader);
  rc = finish_reader (&reader);
  if (rc == 0 && kind > AB_OUTCOME_UNUSED)
    return AB_ERR_CORRUPT;
  outcome->outcome.kind = (enum ab_outcome_kind)kind;
  return rc;
}

void
ab_evidence_encode (const struct ab_evidence_frame *evidence,
                    struct ab_buf *out)
{
  ab_pack_array (out, 4);
  pack_str (out, evidence->service);
  ab_pack_u64 (out, evidence->out_slots);
  ab_pack_u64 (out, evidence->idle_slots);
  ab_pack_array (out, evidence->count);
  for (size_t i = 0; i < evidence->count; i++)
    {
      const struct ab_peer_evidence *report = &evidence->reports[i];

      ab_pack_array (out, 6);
      ab_pack_u64 (out, report->target);
      ab_pack_bytes (out, report->class_name);
      ab_pack_u64 (out, report->outcomes);
      ab_pack_u64 (out, report->errors);
      ab_pack_double (out, report->log_latency);
      ab_pack_bool (out, report->suspect);
    }
}

static void
read_report (struct ab_reader *reader, ab_evidence_visitor visit, void *ctx)
{
  struct ab_peer_evidence report = { .target = 0 };

  ab_reader_enter (reader, FIELDS_MAX);
  report.target = (uint32_t)ab_reader_u64 (reader);
  report.class_name = ab_reader_bytes (reader, AB_NAME_BYTES - 1);
  report.outcomes = (uint32_t)ab_reader_u64 (reader);
  report.errors = (uint32_t)ab_reader_u64 (reader);
  report.log_latency = (float)ab_reader_double (reader);
  report.suspect = ab_reader_bool (reader);
  ab_reader_leave (reader);
  if (ab_reader_error (reader) == 0 && isfinite (report.log_latency))
    visit (ctx, &report);
}

int
ab_evidence_decode (struct ab_chunk body, struct ab_evidence_frame *evidence,
                    ab_evidence_visitor visit, void *ctx)
{
  struct ab_reader reader;
  int rc = ab_reader_init (&reader, body);

  if (rc < 0)
    return rc;
  ab_reader_enter (&reader, FIELDS_MAX);
  ab_reader_str (&reader, evidence->service, sizeof evidence->service);
  evidence->out_slots = ab_reader_u64 (&reader);
  evidence->idle_slots = ab_reader_u64 (&reader);
  evidence->count = ab_reader_enter (&reader, AB_EVIDENCE_MAX);
  for (size_t i = 0; i < evidence->count && ab_reader_error (&reader) == 0;
       i++)
    read_report (&reader, visit, ctx);
  return finish_reader (&reader);
}
