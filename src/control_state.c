#include "control_state.h"

#include <stdlib.h>

#include "error.h"
#include "snapshot_part.h"

#define SNAPSHOT_VERSION 1
#define HEADER_FIELDS 4
#define RECORD_FIELDS 5
#define FIELDS_MAX 16

struct ab_control_state
{
  struct ab_ledger_limits limits;
  bool has_limits;
  uint64_t log_time_ms;
  uint64_t retention_ms;
  struct ab_ledger *ledger;
  struct ab_permits *permits;
  /* Ring of the accepted bundles; the oldest is at HISTORY_FIRST.  */
  struct ab_bundle_record *history;
  size_t history_first;
  size_t history_count;
  struct ab_buf bundle; /* Current bundle, encoded.  */
  ab_control_result_handler handler;
  void *handler_ctx;
};

static int
init_content (struct ab_control_state *state)
{
  state->log_time_ms = 0;
  state->retention_ms = AB_DEFAULT_RETENTION_MS;
  state->history_first = 0;
  state->history_count = 0;
  ab_buf_clear (&state->bundle);
  state->ledger = ab_ledger_new (state->has_limits ? &state->limits : NULL);
  state->permits = ab_permits_new ();
  return state->ledger && state->permits ? 0 : AB_ERR_MEMORY;
}

static void
free_content (struct ab_control_state *state)
{
  ab_ledger_free (state->ledger);
  ab_permits_free (state->permits);
  state->ledger = NULL;
  state->permits = NULL;
}

struct ab_control_state *
ab_control_state_new (const struct ab_ledger_limits *limits)
{
  struct ab_control_state *state = calloc (1, sizeof *state);

  if (!state)
    return NULL;
  state->has_limits = limits;
  if (limits)
    state->limits = *limits;
  state->history = calloc (AB_BUNDLE_HISTORY_MAX, sizeof *state->history);
  if (!state->history || init_content (state) < 0)
    {
      ab_control_state_free (state);
      return NULL;
    }
  return state;
}

void
ab_control_state_free (struct ab_control_state *state)
{
  if (!state)
    return;
  free_content (state);
  ab_buf_free (&state->bundle);
  free (state->history);
  free (state);
}

void
ab_control_state_on_result (struct ab_control_state *state,
                            ab_control_result_handler handler, void *ctx)
{
  state->handler = handler;
  state->handler_ctx = ctx;
}

/* Queries.  */

uint64_t
ab_control_state_log_time_ms (const struct ab_control_state *state)
{
  return state->log_time_ms;
}

const struct ab_ledger *
ab_control_state_ledger (const struct ab_control_state *state)
{
  return state->ledger;
}

const struct ab_permits *
ab_control_state_permits (const struct ab_control_state *state)
{
  return state->permits;
}

struct ab_chunk
ab_control_state_bundle (const struct ab_control_state *state)
{
  return ab_buf_chunk (&state->bundle);
}

size_t
ab_control_state_history_count (const struct ab_control_state *state)
{
  return state->history_count;
}

const struct ab_bundle_record *
ab_control_state_history (const struct ab_control_state *state, size_t index)
{
  return &state->history[(state->history_first + index)
                         % AB_BUNDLE_HISTORY_MAX];
}

const struct ab_bundle_record *
ab_control_state_current (const struct ab_control_state *state)
{
  if (state->history_count == 0)
    return NULL;
  return ab_control_state_history (state, state->history_count - 1);
}

/* Bundle register.  */

static void
append_history (struct ab_control_state *state,
                const struct ab_bundle_record *record)
{
  size_t at
      = (state->history_first + state->history_count) % AB_BUNDLE_HISTORY_MAX;

  state->history[at] = *record;
  if (state->history_count < AB_BUNDLE_HISTORY_MAX)
    state->history_count++;
  else
    state->history_first = (state->history_first + 1) % AB_BUNDLE_HISTORY_MAX;
}

/* Returns 0 if BUNDLE may be accepted, AB_ERR_EXISTS if it is the current one,
   AB_ERR_CONFLICT if its content differs from the current bundle of the same
   version, AB_ERR_STALE if its version is lower.  */
static int
check_bundle_version (const struct ab_control_state *state,
                      const struct ab_signed_bundle *bundle)
{
  const struct ab_bundle_record *current = ab_control_state_current (state);

  if (!current || bundle->version > current->version)
    return 0;
  if (bundle->version < current->version)
    return AB_ERR_STALE;
  return ab_digest_equal (&bundle->digest, &current->digest) ? AB_ERR_EXISTS
                                                             : AB_ERR_CONFLICT;
}

static int
set_floors (struct ab_control_state *state, const struct ab_command *command)
{
  int rc = 0;

  ab_permits_clear_floors (state->permits);
  for (size_t i = 0; rc == 0 && i < command->floor_count; i++)
    rc = ab_permits_set_floor (state->permits,
                               ab_chunk_str (command->floors[i].service),
                               command->floors[i].floor);
  return rc;
}

static int
accept_bundle (struct ab_control_state *state,
               const struct ab_command *command, uint64_t index,
               struct ab_signed_bundle *bundle)
{
  struct ab_bundle_record record = { .version = bundle->version,
                                     .digest = bundle->digest,
                                     .log_index = index,
                                     .log_time_ms = state->log_time_ms };

  memcpy (record.operator_name, command->operator_name,
          sizeof record.operator_name);
  bundle->log_index = index;
  ab_buf_clear (&state->bundle);
  if (ab_signed_bundle_encode (bundle, &state->bundle) < 0)
    return AB_ERR_MEMORY;
  append_history (state, &record);
  state->retention_ms = command->retention_ms;
  return set_floors (state, command);
}

static int
apply_bundle (struct ab_control_state *state, const struct ab_command *command,
              struct ab_control_result *result)
{
  struct ab_signed_bundle bundle;
  int rc = ab_signed_bundle_decode (command->bundle, &bundle);

  if (rc < 0)
    {
      result->rc = AB_ERR_INVALID;
      return rc == AB_ERR_MEMORY ? rc : 0;
    }
  result->rc = check_bundle_version (state, &bundle);
  if (result->rc == 0)
    rc = accept_bundle (state, command, result->index, &bundle);
  result->current_bundle = ab_control_state_current (state);
  ab_signed_bundle_free (&bundle);
  return rc;
}

/* Commands.  */

static int
apply_ledger (struct ab_control_state *state, const struct ab_command *command,
              struct ab_control_result *result)
{
  struct ab_attempt attempt
      = { .incarnation = command->incarnation, .attempt = command->request };
  int rc = 0;

  memcpy (attempt.host, command->host, sizeof attempt.host);
  switch (command->type)
    {
    case AB_COMMAND_CLAIM:
      rc = ab_ledger_claim (state->ledger, &command->key, &command->content,
                            &attempt, result->index, &result->answer);
      break;
    case AB_COMMAND_COMPLETE:
      rc = ab_ledger_complete (state->ledger, &command->key, &attempt,
                               command->token, command->response);
      break;
    default:
      attempt.attempt = command->attempt;
      rc = ab_ledger_release (state->ledger, &command->key, &attempt,
                              command->token);
    }
  result->rc = rc;
  return rc == AB_ERR_MEMORY ? rc : 0;
}

static int
apply_permit (struct ab_control_state *state, const struct ab_command *command,
              struct ab_control_result *result)
{
  struct ab_permit_holder holder = { .incarnation = command->incarnation };
  int rc = 0;

  memcpy (holder.host, command->host, sizeof holder.host);
  switch (command->type)
    {
    case AB_COMMAND_PERMIT_SET:
      rc = ab_permits_set (state->permits, ab_chunk_str (command->service),
                           &holder, command->sequence, command->count,
                           &result->held);
      break;
    case AB_COMMAND_CAPACITY:
      rc = ab_permits_set_capacity (
          state->permits, ab_chunk_str (command->service), command->count);
      break;
    case AB_COMMAND_HOST_SEEN:
      rc = ab_permits_host_seen (state->permits, &holder);
      break;
    default:
      rc = ab_permits_remove_host (state->permits,
                                   ab_chunk_str (command->host));
    }
  result->rc = rc;
  return rc == AB_ERR_MEMORY ? rc : 0;
}

static int
apply_command (struct ab_control_state *state,
               const struct ab_command *command,
               struct ab_control_result *result)
{
  switch (command->type)
    {
    case AB_COMMAND_CLAIM:
    case AB_COMMAND_COMPLETE:
    case AB_COMMAND_RELEASE:
      return apply_ledger (state, command, result);
    case AB_COMMAND_PERMIT_SET:
    case AB_COMMAND_CAPACITY:
    case AB_COMMAND_HOST_SEEN:
    case AB_COMMAND_HOST_REMOVE:
      return apply_permit (state, command, result);
    case AB_COMMAND_BUNDLE:
      return apply_bundle (state, command, result);
    default:
      result->rc = AB_ERR_INVALID;
      return 0;
    }
}

int
ab_control_state_apply (struct ab_control_state *state, uint64_t index,
                        uint64_t term, struct ab_chunk data)
{
  struct ab_command command;
  struct ab_control_result result = { .index = index, .term = term };
  int rc = ab_command_decode (data, &command);

  if (rc < 0)
    {
      ab_command_free (&command);
      return rc == AB_ERR_MEMORY ? rc : 0;
    }
  if (command.time_ms > state->log_time_ms)
    state->log_time_ms = command.time_ms;
  ab_ledger_advance (state->ledger, state->log_time_ms, state->retention_ms);
  result.command = &command;
  rc = apply_command (state, &command, &result);
  if (rc == 0 && state->handler)
    state->handler (state->handler_ctx, &result);
  ab_command_free (&command);
  return rc;
}

/* Snapshot.  */

static void
save_header (const struct ab_control_state *state, struct ab_buf *part)
{
  ab_pack_array (part, HEADER_FIELDS);
  ab_pack_u64 (part, SNAPSHOT_VERSION);
  ab_pack_u64 (part, state->log_time_ms);
  ab_pack_u64 (part, state->retention_ms);
  ab_pack_array (part, state->history_count);
  for (size_t i = 0; i < state->history_count; i++)
    {
      const struct ab_bundle_record *r = ab_control_state_history (state, i);
      ab_pack_array (part, RECORD_FIELDS);
      ab_pack_u64 (part, r->version);
      ab_pack_bytes (part, ab_chunk (r->digest.bytes, sizeof r->digest.bytes));
      ab_pack_bytes (part, ab_chunk_str (r->operator_name));
      ab_pack_u64 (part, r->log_index);
      ab_pack_u64 (part, r->log_time_ms);
    }
}

int
ab_control_state_save (const struct ab_control_state *state,
                       struct ab_buf *out)
{
  struct ab_buf part = AB_BUF_INIT;

  save_header (state, &part);
  ab_snapshot_part_append (out, &part);
  ab_buf_free (&part);
  ab_snapshot_part_append (out, &state->bundle);
  ab_permits_save (state->permits, out);
  return ab_ledger_save (state->ledger, out);
}

static void
load_history (struct ab_control_state *state, struct ab_reader *reader)
{
  ab_reader_enter (reader, AB_BUNDLE_HISTORY_MAX);
  while (ab_reader_has_more (reader))
    {
      struct ab_bundle_record record = { 0 };
      ab_reader_enter (reader, FIELDS_MAX);
      record.version = ab_reader_u64 (reader);
      ab_reader_fixed_bytes (reader, record.digest.bytes,
                             sizeof record.digest.bytes);
      ab_reader_str (reader, record.operator_name,
                     sizeof record.operator_name);
      record.log_index = ab_reader_u64 (reader);
      record.log_time_ms = ab_reader_u64 (reader);
      ab_reader_leave (reader);
      if (ab_reader_error (reader) == 0)
        append_history (state, &record);
    }
}

static int
load_header (struct ab_control_state *state, struct ab_chunk part)
{
  struct ab_reader reader;
  uint64_t version;
  int rc = ab_reader_init (&reader, part);

  if (rc < 0)
    goto out;
  ab_reader_enter (&reader, FIELDS_MAX);
  version = ab_reader_u64 (&reader);
  if (ab_reader_error (&reader) == 0 && version != SNAPSHOT_VERSION)
    {
      rc = AB_ERR_VERSION;
      goto out;
    }
  state->log_time_ms = ab_reader_u64 (&reader);
  state->retention_ms = ab_reader_u64 (&reader);
  load_history (state, &reader);
  rc = ab_reader_error (&reader);
out:
  ab_reader_free (&reader);
  return rc;
}

int
ab_control_state_load (struct ab_control_state *state, struct ab_chunk data)
{
  struct ab_chunk part;
  int rc;

  free_content (state);
  rc = init_content (state);
  if (rc == 0)
    rc = ab_snapshot_part_next (&data, &part);
  if (rc == 0)
    rc = load_header (state, part);
  if (rc == 0)
    rc = ab_snapshot_part_next (&data, &part);
  if (rc == 0)
    rc = ab_buf_append_chunk (&state->bundle, part);
  if (rc == 0)
    rc = ab_permits_load (state->permits, &data);
  if (rc == 0)
    rc = ab_ledger_load (state->ledger, &data);
  if (rc == 0 && data.len > 0)
    rc = AB_ERR_CORRUPT;
  return rc;
}
