#include "fleet_state.h"

#include <stdlib.h>
#include <uthash.h>

#include "compress.h"
#include "error.h"

#define TARGETS_MAX 65536
#define SNAPSHOT_VERSION 1
#define SNAPSHOT_FIELDS 8
/* Without requests that crash targets, as in earlier versions.  */
#define SNAPSHOT_FIELDS_V1 6
#define TARGET_FIELDS 10

enum command
{
  COMMAND_BUNDLE = 1,
  COMMAND_TARGET, /* Only in logs written by earlier versions.  */
  COMMAND_TARGETS,
  COMMAND_REPORTS
};

struct target
{
  struct ab_fleet_target target;
  UT_hash_handle hh;
};

/* Maps an address to its owner, the last target that announced it.  */
struct owner
{
  char address[AB_ADDRESS_BYTES];
  struct target *target;
  UT_hash_handle hh;
};

struct accepted
{
  uint64_t version;
  struct ab_digest digest;
};

struct ab_fleet_state
{
  struct ab_buf bundle;
  struct ab_buf compressed; /* The bundle in compressed form.  */
  uint64_t version;
  uint64_t bundle_index;
  uint64_t targets_index; /* Log index of the last change of any target.  */
  struct accepted history[AB_FLEET_HISTORY_MAX]; /* Ring buffer.  */
  uint64_t history_count;
  struct target *targets;
  struct owner *owners;
  size_t removed_count;
  struct ab_quarantine *quarantine; /* Null before the first report.  */
  uint64_t quarantine_index;        /* Log index of its last change.  */
  uint64_t log_ms;                  /* Log time.  */
};

static const struct ab_quarantine_ops quarantine_ops = { .mark = NULL };

struct ab_fleet_state *
ab_fleet_state_new (void)
{
  return calloc (1, sizeof (struct ab_fleet_state));
}

static void
clear_state (struct ab_fleet_state *state)
{
  struct target *target = state->targets;
  struct owner *owner = state->owners;

  HASH_CLEAR (hh, state->targets);
  HASH_CLEAR (hh, state->owners);
  while (target)
    {
      struct target *next = target->hh.next;
      free (target);
      target = next;
    }
  while (owner)
    {
      struct owner *next = owner->hh.next;
      free (owner);
      owner = next;
    }
  ab_buf_free (&state->bundle);
  ab_buf_free (&state->compressed);
  ab_quarantine_free (state->quarantine);
  memset (state, 0, sizeof *state);
}

void
ab_fleet_state_free (struct ab_fleet_state *state)
{
  if (!state)
    return;
  clear_state (state);
  free (state);
}

/* Encoding.  */

void
ab_fleet_pack_target (struct ab_buf *out, const struct ab_fleet_target *target)
{
  ab_pack_array (out, TARGET_FIELDS);
  ab_pack_bytes (out, ab_chunk_str (target->id));
  ab_pack_bytes (out, ab_chunk_str (target->service));
  ab_pack_bytes (out, ab_chunk_str (target->address));
  ab_pack_bytes (out, ab_chunk_str (target->failure_domain));
  ab_pack_u64 (out, target->started_ms);
  ab_pack_u64 (out, target->sequence);
  ab_pack_u64 (out, target->slots);
  ab_pack_u64 (out, target->cold_ms);
  ab_pack_u64 (out, target->state);
  ab_pack_u64 (out, target->changed);
}

void
ab_fleet_read_target (struct ab_reader *reader, struct ab_fleet_target *target)
{
  memset (target, 0, sizeof *target);
  ab_reader_enter (reader, TARGET_FIELDS);
  ab_reader_str (reader, target->id, sizeof target->id);
  ab_reader_str (reader, target->service, sizeof target->service);
  ab_reader_str (reader, target->address, sizeof target->address);
  ab_reader_str (reader, target->failure_domain,
                 sizeof target->failure_domain);
  target->started_ms = ab_reader_u64 (reader);
  target->sequence = ab_reader_u64 (reader);
  target->slots = ab_reader_u64 (reader);
  target->cold_ms = ab_reader_u64 (reader);
  target->state = (enum ab_fleet_target_state)ab_reader_u64 (reader);
  target->changed = ab_reader_u64 (reader);
  ab_reader_leave (reader);
}

int
ab_fleet_pack_bundle (struct ab_buf *out, uint64_t version, uint64_t base,
                      struct ab_chunk text)
{
  struct ab_buf compressed = AB_BUF_INIT;
  int rc = ab_compress (text, &compressed);

  if (rc == 0 && compressed.len > AB_FLEET_COMPRESSED_BYTES)
    rc = AB_ERR_TOO_LARGE;
  if (rc < 0)
    goto out;
  ab_pack_array (out, 4);
  ab_pack_u64 (out, COMMAND_BUNDLE);
  ab_pack_u64 (out, version);
  ab_pack_u64 (out, base);
  ab_pack_bytes (out, ab_buf_chunk (&compressed));
  rc = out->error;
out:
  ab_buf_free (&compressed);
  return rc;
}

void
ab_fleet_pack_target_changes (struct ab_buf *out, size_t count)
{
  ab_pack_array (out, 2);
  ab_pack_u64 (out, COMMAND_TARGETS);
  ab_pack_array (out, count);
}

void
ab_fleet_pack_reports (struct ab_buf *out, uint64_t wall_ms, size_t count)
{
  ab_pack_array (out, 3);
  ab_pack_u64 (out, COMMAND_REPORTS);
  ab_pack_u64 (out, wall_ms);
  ab_pack_array (out, count);
}

/* Bundles.  */

static bool
was_accepted (const struct ab_fleet_state *state, uint64_t version,
              const struct ab_digest *digest)
{
  uint64_t kept = state->history_count < AB_FLEET_HISTORY_MAX
                      ? state->history_count
                      : AB_FLEET_HISTORY_MAX;

  for (uint64_t i = 0; i < kept; i++)
    if (state->history[i].version == version
        && ab_digest_equal (&state->history[i].digest, digest))
      return true;
  return false;
}

static void
record_accepted (struct ab_fleet_state *state, uint64_t version,
                 const struct ab_digest *digest)
{
  struct accepted *entry
      = &state->history[state->history_count % AB_FLEET_HISTORY_MAX];

  entry->version = version;
  entry->digest = *digest;
  state->history_count++;
}

enum ab_fleet_result
ab_fleet_state_check_bundle (const struct ab_fleet_state *state,
                             uint64_t version, uint64_t base,
                             struct ab_chunk text)
{
  struct ab_digest digest = ab_digest_of (text);

  if (was_accepted (state, version, &digest))
    return AB_FLEET_DUPLICATE;
  if (base != state->version)
    return AB_FLEET_CONFLICT;
  if (version <= state->version)
    return AB_FLEET_STALE;
  return AB_FLEET_ACCEPTED;
}

/* Stores the bundle TEXT, taking ownership of its memory, and a copy of its
   compressed form COMPRESSED.  */
static int
store_bundle (struct ab_fleet_state *state, struct ab_buf *text,
              struct ab_chunk compressed)
{
  ab_buf_clear (&state->compressed);
  if (ab_buf_append_chunk (&state->compressed, compressed) < 0)
    return AB_ERR_MEMORY;
  ab_buf_free (&state->bundle);
  state->bundle = *text;
  *text = (struct ab_buf)AB_BUF_INIT;
  return 0;
}

static int
accept_bundle (struct ab_fleet_state *state, uint64_t index, uint64_t version,
               struct ab_buf *text, struct ab_chunk compressed)
{
  struct ab_digest digest = ab_digest_of (ab_buf_chunk (text));
  int rc = store_bundle (state, text, compressed);

  if (rc < 0)
    return rc;
  state->version = version;
  state->bundle_index = index;
  record_accepted (state, version, &digest);
  return 0;
}

static int
apply_bundle (struct ab_fleet_state *state, uint64_t index,
              struct ab_reader *reader, enum ab_fleet_result *result)
{
  uint64_t version = ab_reader_u64 (reader);
  uint64_t base = ab_reader_u64 (reader);
  struct ab_chunk compressed
      = ab_reader_bytes (reader, AB_FLEET_COMPRESSED_BYTES);
  struct ab_buf text = AB_BUF_INIT;
  int rc;

  if (ab_reader_error (reader) < 0)
    return 0;
  rc = ab_decompress (compressed, AB_FLEET_BUNDLE_BYTES, &text);
  if (rc == 0)
    *result = ab_fleet_state_check_bundle (state, version, base,
                                           ab_buf_chunk (&text));
  if (rc == 0 && *result == AB_FLEET_ACCEPTED)
    rc = accept_bundle (state, index, version, &text, compressed);
  ab_buf_free (&text);
  /* A command that cannot be decoded changes nothing, on any replica.  */
  return rc == AB_ERR_MEMORY ? rc : 0;
}

/* Targets.  */

static struct target *
find_target (const struct ab_fleet_state *state, const char *id)
{
  struct target *target = NULL;

  HASH_FIND_STR (state->targets, id, target);
  return target;
}

const struct ab_fleet_target *
ab_fleet_state_find (const struct ab_fleet_state *state, const char *id)
{
  const struct target *target = find_target (state, id);

  return target ? &target->target : NULL;
}

static struct owner *
find_owner (const struct ab_fleet_state *state, const char *address)
{
  struct owner *owner = NULL;

  HASH_FIND_STR (state->owners, address, owner);
  return owner;
}

/* Returns whether the address of TARGET belongs to another target that was
   started later.  */
static bool
owned_by_newer_target (const struct ab_fleet_state *state,
                       const struct ab_fleet_target *target)
{
  const struct owner *owner = find_owner (state, target->address);

  return owner && owner->target
         && strcmp (owner->target->target.id, target->id) != 0
         && owner->target->target.state != AB_FLEET_TARGET_REMOVED
         && owner->target->target.started_ms > target->started_ms;
}

bool
ab_fleet_state_would_change (const struct ab_fleet_state *state,
                             const struct ab_fleet_target *target)
{
  const struct ab_fleet_target *known
      = ab_fleet_state_find (state, target->id);

  if (!known)
    return target->state == AB_FLEET_TARGET_REMOVED
           || !owned_by_newer_target (state, target);
  if (target->started_ms != known->started_ms)
    return target->started_ms > known->started_ms
           && !owned_by_newer_target (state, target);
  if (target->state != known->state)
    return target->state > known->state;
  if (target->state != AB_FLEET_TARGET_READY
      || target->sequence <= known->sequence)
    return false;
  return strcmp (target->address, known->address) != 0
         || strcmp (target->service, known->service) != 0
         || strcmp (target->failure_domain, known->failure_domain) != 0
         || target->slots != known->slots;
}

static void
mark_removed (struct ab_fleet_state *state, struct target *target,
              uint64_t index)
{
  if (target->target.state == AB_FLEET_TARGET_REMOVED)
    return;
  target->target.state = AB_FLEET_TARGET_REMOVED;
  target->target.changed = index;
  state->removed_count++;
}

/* Makes TARGET the owner of its address and removes the previous owner: an
   address belongs to the target that was started last.  */
static int
assign_address (struct ab_fleet_state *state, struct target *target,
                uint64_t index)
{
  struct owner *owner = find_owner (state, target->target.address);

  if (!owner)
    {
      owner = calloc (1, sizeof *owner);
      if (!owner)
        return AB_ERR_MEMORY;
      memcpy (owner->address, target->target.address, sizeof owner->address);
      HASH_ADD_STR (state->owners, address, owner);
    }
  else if (owner->target && owner->target != target
           && strcmp (owner->target->target.address, owner->address) == 0)
    mark_removed (state, owner->target, index);
  owner->target = target;
  return 0;
}

static void
release_address (struct ab_fleet_state *state, const struct target *target)
{
  struct owner *owner = find_owner (state, target->target.address);

  if (!owner || owner->target != target)
    return;
  HASH_DEL (state->owners, owner);
  free (owner);
}

static bool
evict_oldest_removed (struct ab_fleet_state *state)
{
  struct target *oldest = NULL;

  for (struct target *t = state->targets; t; t = t->hh.next)
    if (t->target.state == AB_FLEET_TARGET_REMOVED
        && (!oldest || t->target.changed < oldest->target.changed))
      oldest = t;
  if (!oldest)
    return false;
  release_address (state, oldest);
  HASH_DEL (state->targets, oldest);
  free (oldest);
  state->removed_count--;
  return true;
}

static int
apply_target (struct ab_fleet_state *state, uint64_t index,
              struct ab_reader *reader, enum ab_fleet_result *result)
{
  struct ab_fleet_target change;
  struct target *target;

  ab_fleet_read_target (reader, &change);
  if (ab_reader_error (reader) < 0 || change.state < AB_FLEET_TARGET_READY
      || change.state > AB_FLEET_TARGET_REMOVED || !change.id[0])
    return 0;
  *result = AB_FLEET_DUPLICATE;
  if (!ab_fleet_state_would_change (state, &change))
    return 0;
  *result = AB_FLEET_ACCEPTED;
  target = find_target (state, change.id);
  if (!target)
    {
      if (HASH_COUNT (state->targets) >= TARGETS_MAX)
        evict_oldest_removed (state);
      target = calloc (1, sizeof *target);
      if (!target)
        return AB_ERR_MEMORY;
      memcpy (target->target.id, change.id, sizeof change.id);
      HASH_ADD_STR (state->targets, target.id, target);
    }
  else
    {
      if (target->target.state == AB_FLEET_TARGET_REMOVED)
        state->removed_count--;
      release_address (state, target);
    }
  state->targets_index = index;
  target->target = change;
  target->target.changed = index;
  if (change.state == AB_FLEET_TARGET_REMOVED)
    state->removed_count++;
  else if (assign_address (state, target, index) < 0)
    return AB_ERR_MEMORY;
  while (state->removed_count > AB_FLEET_REMOVED_MAX)
    if (!evict_oldest_removed (state))
      break;
  return 0;
}

/* Applies a list of target changes.  The first one that cannot be decoded ends
   the list, on all replicas alike.  */
static int
apply_targets (struct ab_fleet_state *state, uint64_t index,
               struct ab_reader *reader, enum ab_fleet_result *result)
{
  size_t count = ab_reader_enter (reader, AB_FLEET_BATCH_MAX);
  enum ab_fleet_result target_result = AB_FLEET_DUPLICATE;
  int rc = 0;

  for (size_t i = 0;
       i < count && rc == 0 && target_result != AB_FLEET_UNUSABLE; i++)
    {
      target_result = AB_FLEET_UNUSABLE;
      rc = apply_target (state, index, reader, &target_result);
    }
  ab_reader_leave (reader);
  *result = target_result;
  return rc;
}

/* Requests that crash targets.  */

static int
create_quarantine (struct ab_fleet_state *state)
{
  if (!state->quarantine)
    state->quarantine = ab_quarantine_new (&quarantine_ops, NULL);
  return state->quarantine ? 0 : AB_ERR_MEMORY;
}

/* Applies a list of reports.  The first one that cannot be decoded ends the
   list, on all replicas alike.  */
static int
apply_reports (struct ab_fleet_state *state, uint64_t index,
               struct ab_reader *reader, enum ab_fleet_result *result)
{
  uint64_t wall_ms = ab_reader_u64 (reader);
  size_t count = ab_reader_enter (reader, AB_FLEET_REPORTS_MAX);

  if (ab_reader_error (reader) < 0)
    return 0;
  if (create_quarantine (state) < 0)
    return AB_ERR_MEMORY;
  if (wall_ms > state->log_ms)
    state->log_ms = wall_ms;
  state->quarantine_index = index;
  ab_quarantine_set_stamp (state->quarantine, index);
  ab_quarantine_tick (state->quarantine, state->log_ms);
  *result = AB_FLEET_ACCEPTED;
  for (size_t i = 0; i < count; i++)
    {
      struct ab_fleet_report report;
      ab_fleet_read_report (reader, &report);
      if (ab_reader_error (reader) < 0)
        return 0;
      ab_fleet_report_apply (state->quarantine, &report, state->log_ms);
    }
  return 0;
}

int
ab_fleet_state_apply (struct ab_fleet_state *state, uint64_t index,
                      struct ab_chunk data, enum ab_fleet_result *result)
{
  struct ab_reader reader;
  int rc = ab_reader_init (&reader, data);
  uint64_t command;

  *result = AB_FLEET_UNUSABLE;
  if (rc < 0)
    return rc == AB_ERR_MEMORY ? rc : 0;
  ab_reader_enter (&reader, 4);
  command = ab_reader_u64 (&reader);
  if (command == COMMAND_BUNDLE)
    rc = apply_bundle (state, index, &reader, result);
  else if (command == COMMAND_TARGET)
    rc = apply_target (state, index, &reader, result);
  else if (command == COMMAND_TARGETS)
    rc = apply_targets (state, index, &reader, result);
  else if (command == COMMAND_REPORTS)
    rc = apply_reports (state, index, &reader, result);
  ab_reader_free (&reader);
  return rc;
}

/* Snapshots.  */

int
ab_fleet_state_save (const struct ab_fleet_state *state, struct ab_buf *out)
{
  uint64_t kept = state->history_count < AB_FLEET_HISTORY_MAX
                      ? state->history_count
                      : AB_FLEET_HISTORY_MAX;

  ab_pack_array (out,
                 state->quarantine ? SNAPSHOT_FIELDS : SNAPSHOT_FIELDS_V1);
  ab_pack_u64 (out, SNAPSHOT_VERSION);
  ab_pack_u64 (out, state->version);
  ab_pack_u64 (out, state->bundle_index);
  ab_pack_bytes (out, ab_buf_chunk (&state->compressed));
  ab_pack_array (out, kept * 2);
  for (uint64_t i = state->history_count - kept; i < state->history_count; i++)
    {
      const struct accepted *entry = &state->history[i % AB_FLEET_HISTORY_MAX];
      ab_pack_u64 (out, entry->version);
      ab_pack_bytes (out, ab_chunk (entry->digest.bytes, AB_DIGEST_BYTES));
    }
  ab_pack_array (out, HASH_COUNT (state->targets));
  for (const struct target *t = state->targets; t; t = t->hh.next)
    ab_fleet_pack_target (out, &t->target);
  if (state->quarantine)
    {
      ab_pack_u64 (out, state->log_ms);
      ab_fleet_save_quarantine (out, state->quarantine);
    }
  return out->error;
}

static int
load_bundle (struct ab_fleet_state *state, struct ab_chunk compressed)
{
  struct ab_buf text = AB_BUF_INIT;
  int rc = 0;

  if (compressed.len > 0)
    rc = ab_decompress (compressed, AB_FLEET_BUNDLE_BYTES, &text);
  if (rc == 0)
    rc = store_bundle (state, &text, compressed);
  ab_buf_free (&text);
  return rc;
}

static int
load_history (struct ab_fleet_state *state, struct ab_reader *reader)
{
  size_t count = ab_reader_enter (reader, AB_FLEET_HISTORY_MAX * 2);

  for (size_t i = 0; i + 1 < count; i += 2)
    {
      struct ab_digest digest;
      uint64_t version = ab_reader_u64 (reader);
      ab_reader_fixed_bytes (reader, digest.bytes, sizeof digest.bytes);
      record_accepted (state, version, &digest);
    }
  ab_reader_leave (reader);
  return ab_reader_error (reader);
}

static int
load_targets (struct ab_fleet_state *state, struct ab_reader *reader)
{
  size_t count = ab_reader_enter (reader, TARGETS_MAX + 1);

  for (size_t i = 0; i < count && ab_reader_error (reader) == 0; i++)
    {
      struct target *target = calloc (1, sizeof *target);
      if (!target)
        return AB_ERR_MEMORY;
      ab_fleet_read_target (reader, &target->target);
      HASH_ADD_STR (state->targets, target.id, target);
      if (target->target.changed > state->targets_index)
        state->targets_index = target->target.changed;
      if (target->target.state == AB_FLEET_TARGET_REMOVED)
        state->removed_count++;
      else if (assign_address (state, target, target->target.changed) < 0)
        return AB_ERR_MEMORY;
    }
  ab_reader_leave (reader);
  return ab_reader_error (reader);
}

static void
find_last_stamp (void *ctx, const struct ab_quarantine_record *record)
{
  uint64_t *last = ctx;

  if (record->stamp > *last)
    *last = record->stamp;
}

static int
load_quarantine (struct ab_fleet_state *state, struct ab_reader *reader)
{
  int rc = create_quarantine (state);

  state->log_ms = ab_reader_u64 (reader);
  if (rc == 0)
    rc = ab_fleet_load_quarantine (reader, state->quarantine);
  if (rc == 0)
    ab_quarantine_visit (state->quarantine, find_last_stamp,
                         &state->quarantine_index);
  return rc;
}

int
ab_fleet_state_load (struct ab_fleet_state *state, struct ab_chunk data)
{
  struct ab_reader reader;
  int rc = ab_reader_init (&reader, data);

  if (rc < 0)
    return rc;
  clear_state (state);
  ab_reader_enter (&reader, SNAPSHOT_FIELDS);
  if (ab_reader_u64 (&reader) != SNAPSHOT_VERSION)
    rc = AB_ERR_CORRUPT;
  state->version = ab_reader_u64 (&reader);
  state->bundle_index = ab_reader_u64 (&reader);
  if (rc == 0)
    rc = load_bundle (state,
                      ab_reader_bytes (&reader, AB_FLEET_COMPRESSED_BYTES));
  if (rc == 0)
    rc = load_history (state, &reader);
  if (rc == 0)
    rc = load_targets (state, &reader);
  if (rc == 0 && ab_reader_has_more (&reader))
    rc = load_quarantine (state, &reader);
  ab_reader_free (&reader);
  return rc;
}

/* Queries.  */

struct ab_chunk
ab_fleet_state_bundle (const struct ab_fleet_state *state)
{
  return ab_buf_chunk (&state->bundle);
}

struct ab_chunk
ab_fleet_state_compressed (const struct ab_fleet_state *state)
{
  return ab_buf_chunk (&state->compressed);
}

uint64_t
ab_fleet_state_version (const struct ab_fleet_state *state)
{
  return state->version;
}

uint64_t
ab_fleet_state_bundle_index (const struct ab_fleet_state *state)
{
  return state->bundle_index;
}

void
ab_fleet_state_changes (const struct ab_fleet_state *state, uint64_t index,
                        void (*visit) (void *ctx,
                                       const struct ab_fleet_target *),
                        void *ctx)
{
  if (index >= state->targets_index)
    return;
  for (const struct target *t = state->targets; t; t = t->hh.next)
    if (t->target.changed > index)
      visit (ctx, &t->target);
}

size_t
ab_fleet_state_target_count (const struct ab_fleet_state *state)
{
  return HASH_COUNT (state->targets);
}

const struct ab_quarantine *
ab_fleet_state_quarantine (const struct ab_fleet_state *state)
{
  return state->quarantine;
}

struct change_visit
{
  uint64_t index;
  void (*visit) (void *ctx, const struct ab_quarantine_record *);
  void *ctx;
};

static void
visit_if_changed (void *ctx, const struct ab_quarantine_record *record)
{
  const struct change_visit *change = ctx;

  if (record->stamp > change->index)
    change->visit (change->ctx, record);
}

void
ab_fleet_state_quarantine_changes (
    const struct ab_fleet_state *state, uint64_t index,
    void (*visit) (void *ctx, const struct ab_quarantine_record *), void *ctx)
{
  struct change_visit change = { index, visit, ctx };

  if (state->quarantine && index < state->quarantine_index)
    ab_quarantine_visit (state->quarantine, visit_if_changed, &change);
}
