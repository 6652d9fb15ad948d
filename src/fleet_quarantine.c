#include "fleet_quarantine.h"

#define REPORT_FIELDS 5
#define RECORD_FIELDS 8
#define CRASHES_MAX 2048

void
ab_fleet_pack_report (struct ab_buf *out, const struct ab_fleet_report *report)
{
  ab_pack_array (out, REPORT_FIELDS);
  ab_pack_u64 (out, report->kind);
  ab_pack_bytes (out, ab_chunk (report->content.bytes, AB_DIGEST_BYTES));
  ab_pack_bytes (out, ab_chunk_str (report->label));
  ab_pack_bytes (out, ab_chunk_str (report->crash.target));
  ab_pack_u64 (out, report->crash.incarnation);
}

void
ab_fleet_read_report (struct ab_reader *reader, struct ab_fleet_report *report)
{
  memset (report, 0, sizeof *report);
  ab_reader_enter (reader, REPORT_FIELDS);
  report->kind = (enum ab_fleet_report_kind)ab_reader_u64 (reader);
  ab_reader_fixed_bytes (reader, report->content.bytes, AB_DIGEST_BYTES);
  ab_reader_str (reader, report->label, sizeof report->label);
  ab_reader_str (reader, report->crash.target, sizeof report->crash.target);
  report->crash.incarnation = ab_reader_u64 (reader);
  ab_reader_leave (reader);
}

void
ab_fleet_pack_record (struct ab_buf *out,
                      const struct ab_quarantine_record *record)
{
  ab_pack_array (out, RECORD_FIELDS);
  ab_pack_bytes (out, ab_chunk (record->content.bytes, AB_DIGEST_BYTES));
  ab_pack_bytes (out, ab_chunk_str (record->label));
  ab_pack_u64 (out, record->since_ms);
  ab_pack_u64 (out, record->blocks);
  ab_pack_u64 (out, record->blocked_until_ms);
  ab_pack_bool (out, record->cleared);
  ab_pack_u64 (out, record->stamp);
  ab_pack_array (out, 2 * record->crash_count);
  for (size_t i = 0; i < record->crash_count; i++)
    {
      ab_pack_bytes (out, ab_chunk_str (record->crashes[i].target));
      ab_pack_u64 (out, record->crashes[i].incarnation);
    }
}

void
ab_fleet_read_record (struct ab_reader *reader,
                      struct ab_quarantine_record *record)
{
  size_t count;

  memset (record, 0, sizeof *record);
  ab_reader_enter (reader, RECORD_FIELDS);
  ab_reader_fixed_bytes (reader, record->content.bytes, AB_DIGEST_BYTES);
  ab_reader_str (reader, record->label, sizeof record->label);
  record->since_ms = ab_reader_u64 (reader);
  record->blocks = (unsigned)ab_reader_u64 (reader);
  record->blocked_until_ms = ab_reader_u64 (reader);
  record->cleared = ab_reader_bool (reader);
  record->stamp = ab_reader_u64 (reader);
  count = ab_reader_enter (reader, 2 * (size_t)AB_QUARANTINE_CRASHES_MAX);
  for (size_t i = 0; i < count / 2; i++)
    {
      ab_reader_str (reader, record->crashes[i].target,
                     sizeof record->crashes[i].target);
      record->crashes[i].incarnation = ab_reader_u64 (reader);
      record->crash_count++;
    }
  ab_reader_leave (reader);
  ab_reader_leave (reader);
}

bool
ab_fleet_report_is_news (const struct ab_quarantine *quarantine,
                         const struct ab_fleet_report *report, uint64_t now_ms)
{
  const struct ab_quarantine_record *record
      = quarantine ? ab_quarantine_find (quarantine, &report->content) : NULL;

  switch (report->kind)
    {
    case AB_FLEET_REPORT_CRASHED:
      if (!record)
        return true;
      return now_ms >= record->blocked_until_ms
             && !ab_quarantine_has_crash (record, &report->crash);
    case AB_FLEET_REPORT_ANSWERED:
      return record && !record->cleared;
    case AB_FLEET_REPORT_RELEASED:
      return !record || !record->cleared;
    }
  return false;
}

void
ab_fleet_report_apply (struct ab_quarantine *quarantine,
                       const struct ab_fleet_report *report, uint64_t now_ms)
{
  if (!ab_fleet_report_is_news (quarantine, report, now_ms))
    return;
  if (report->kind == AB_FLEET_REPORT_CRASHED)
    ab_quarantine_reported (quarantine, &report->crash, &report->content,
                            report->label, now_ms);
  else
    ab_quarantine_clear (quarantine, &report->content, now_ms);
}

static void
save_record (void *ctx, const struct ab_quarantine_record *record)
{
  ab_fleet_pack_record (ctx, record);
}

static void
count_crash (void *ctx, const struct ab_quarantine_crash *crash,
             uint64_t since_ms)
{
  (void)crash;
  (void)since_ms;
  ++*(size_t *)ctx;
}

static void
save_crash (void *ctx, const struct ab_quarantine_crash *crash,
            uint64_t since_ms)
{
  ab_pack_array (ctx, 3);
  ab_pack_bytes (ctx, ab_chunk_str (crash->target));
  ab_pack_u64 (ctx, crash->incarnation);
  ab_pack_u64 (ctx, since_ms);
}

void
ab_fleet_save_quarantine (struct ab_buf *out,
                          const struct ab_quarantine *quarantine)
{
  size_t crashes = 0;

  ab_quarantine_visit_crashes (quarantine, count_crash, &crashes);
  ab_pack_array (out, 2);
  ab_pack_array (out, ab_quarantine_records (quarantine));
  ab_quarantine_visit (quarantine, save_record, out);
  ab_pack_array (out, crashes);
  ab_quarantine_visit_crashes (quarantine, save_crash, out);
}

static int
load_records (struct ab_reader *reader, struct ab_quarantine *quarantine)
{
  size_t count = ab_reader_enter (reader, AB_QUARANTINE_RECORDS_MAX);
  int rc = 0;

  for (size_t i = 0; i < count && rc == 0; i++)
    {
      struct ab_quarantine_record record;
      ab_fleet_read_record (reader, &record);
      rc = ab_reader_error (reader);
      if (rc == 0)
        rc = ab_quarantine_restore (quarantine, &record);
    }
  ab_reader_leave (reader);
  return rc;
}

static int
load_crashes (struct ab_reader *reader, struct ab_quarantine *quarantine)
{
  size_t count = ab_reader_enter (reader, CRASHES_MAX);
  int rc = 0;

  for (size_t i = 0; i < count && rc == 0; i++)
    {
      struct ab_quarantine_crash crash = { .incarnation = 0 };
      uint64_t since_ms;
      ab_reader_enter (reader, 3);
      ab_reader_str (reader, crash.target, sizeof crash.target);
      crash.incarnation = ab_reader_u64 (reader);
      since_ms = ab_reader_u64 (reader);
      ab_reader_leave (reader);
      rc = ab_reader_error (reader);
      if (rc == 0)
        rc = ab_quarantine_restore_crash (quarantine, &crash, since_ms);
    }
  ab_reader_leave (reader);
  return rc;
}

int
ab_fleet_load_quarantine (struct ab_reader *reader,
                          struct ab_quarantine *quarantine)
{
  int rc;

  ab_reader_enter (reader, 2);
  rc = load_records (reader, quarantine);
  if (rc == 0)
    rc = load_crashes (reader, quarantine);
  ab_reader_leave (reader);
  return rc < 0 ? rc : ab_reader_error (reader);
}

struct state_list
{
  json_t *list;
  uint64_t now_ms;
};

static void
add_state (void *ctx, const struct ab_quarantine_record *record)
{
  const struct state_list *state = ctx;
  uint64_t until_ms = record->blocked_until_ms;
  bool blocked = state->now_ms < until_ms;
  char hex[2 * AB_DIGEST_BYTES + 1];
  json_t *targets = json_array ();

  ab_hex_encode (record->content.bytes, sizeof record->content.bytes, hex);
  for (size_t i = 0; i < record->crash_count; i++)
    json_array_append_new (targets, json_string (record->crashes[i].target));
  json_array_append_new (
      state->list,
      json_pack ("{s:s, s:s, s:o, s:I, s:b, s:I}", "content", hex, "request",
                 record->label, "targets", targets, "blocks",
                 (json_int_t)record->blocks, "blocked", blocked, "left_ms",
                 (json_int_t)(blocked ? until_ms - state->now_ms : 0)));
}

json_t *
ab_fleet_quarantine_state (const struct ab_quarantine *quarantine,
                           uint64_t now_ms)
{
  struct state_list state = { json_array (), now_ms };

  if (quarantine)
    ab_quarantine_visit (quarantine, add_state, &state);
  return state.list;
}
