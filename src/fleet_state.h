/* The replicated state of a fleet's control group: the accepted bundles, the
   targets that have announced themselves and the requests that crash them.

   A state machine without I/O: commands come from the replicated log, in
   order.  Every item carries the log index of its last change, so that a
   reader whose state is complete up to a known index can be sent only the
   later changes.

   It also records which requests crash targets (quarantine.h), with log time:
   the largest of the proposers' wall-clock times in the commands about them.

   A target is identified by its id.  Its start time in Unix milliseconds
   distinguishes its incarnations, and a sequence number orders the
   announcements of one incarnation.  A target that drains or was removed never
   becomes ready again in the same incarnation.  */

#ifndef AB_FLEET_STATE_H
#define AB_FLEET_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include "buf.h"
#include "digest.h"
#include "fleet_quarantine.h"
#include "pack.h"
#include "settings.h"

#define AB_FLEET_BUNDLE_BYTES (16 * 1024 * 1024)
/* Limit for a compressed bundle, as it is sent and stored in the replicated
   log.  */
#define AB_FLEET_COMPRESSED_BYTES (600 * 1024)
/* Number of recently accepted bundles that are recognised when they are sent
   again.  */
#define AB_FLEET_HISTORY_MAX 1024
/* Maximum number of target changes in one command.  */
#define AB_FLEET_BATCH_MAX 256
/* Number of removed targets that are remembered, so that late announcements do
   not bring them back.  The oldest are evicted first.  */
#define AB_FLEET_REMOVED_MAX 4096

enum ab_fleet_target_state
{
  AB_FLEET_TARGET_READY = 1,
  AB_FLEET_TARGET_DRAINING,
  AB_FLEET_TARGET_REMOVED
};

struct ab_fleet_target
{
  char id[AB_NAME_BYTES];
  char service[AB_NAME_BYTES];
  char address[AB_ADDRESS_BYTES];
  char failure_domain[AB_NAME_BYTES];
  uint64_t started_ms; /* Start of the incarnation in Unix milliseconds.  */
  uint64_t sequence;
  uint64_t slots;
  uint64_t cold_ms; /* How long it stays slow after its announcement.  */
  enum ab_fleet_target_state state;
  uint64_t changed; /* Log index of the last change.  */
};

enum ab_fleet_result
{
  AB_FLEET_ACCEPTED,
  AB_FLEET_DUPLICATE, /* The command was applied before, or changes nothing. */
  AB_FLEET_CONFLICT,  /* The base version is not the current version.  */
  AB_FLEET_STALE,     /* The version is not above the current one.  */
  AB_FLEET_UNUSABLE   /* The command cannot be decoded.  */
};

struct ab_fleet_state;

struct ab_fleet_state *ab_fleet_state_new (void);
void ab_fleet_state_free (struct ab_fleet_state *state);

/* Encodes the command that replaces the bundle of version BASE by TEXT, a
   bundle of VERSION.  Returns 0, AB_ERR_MEMORY, or AB_ERR_TOO_LARGE when TEXT
   is over AB_FLEET_COMPRESSED_BYTES after compression.  */
int ab_fleet_pack_bundle (struct ab_buf *out, uint64_t version, uint64_t base,
                          struct ab_chunk text);
/* Encodes the head of a command that changes COUNT targets, at most
   AB_FLEET_BATCH_MAX, in order.  The caller appends each target with
   ab_fleet_pack_target.  */
void ab_fleet_pack_target_changes (struct ab_buf *out, size_t count);

/* Encodes the head of a command that applies COUNT reports, at most
   AB_FLEET_REPORTS_MAX, at the wall-clock time WALL_MS.  The caller appends
   each report with ab_fleet_pack_report.  */
void ab_fleet_pack_reports (struct ab_buf *out, uint64_t wall_ms,
                            size_t count);

/* Applies the command DATA with log index INDEX.  Returns 0, also for a
   command that cannot be decoded, or AB_ERR_MEMORY, which is fatal: the
   replica would diverge from the others.  */
int ab_fleet_state_apply (struct ab_fleet_state *state, uint64_t index,
                          struct ab_chunk data, enum ab_fleet_result *result);

/* Write and read snapshots.  Return 0, AB_ERR_CORRUPT or AB_ERR_MEMORY.  */
int ab_fleet_state_save (const struct ab_fleet_state *state,
                         struct ab_buf *out);
int ab_fleet_state_load (struct ab_fleet_state *state, struct ab_chunk data);

/* Queries.  */

/* Returns the result that the bundle would have if it were applied now.  */
enum ab_fleet_result
ab_fleet_state_check_bundle (const struct ab_fleet_state *state,
                             uint64_t version, uint64_t base,
                             struct ab_chunk text);
/* Returns the current bundle, empty before the first.  */
struct ab_chunk ab_fleet_state_bundle (const struct ab_fleet_state *state);
/* Returns the current bundle in compressed form.  */
struct ab_chunk ab_fleet_state_compressed (const struct ab_fleet_state *state);
uint64_t ab_fleet_state_version (const struct ab_fleet_state *state);
/* Returns the log index at which the current bundle was accepted; 0 before the
   first.  */
uint64_t ab_fleet_state_bundle_index (const struct ab_fleet_state *state);

/* Returns the target with the id ID, or null.  */
const struct ab_fleet_target *
ab_fleet_state_find (const struct ab_fleet_state *state, const char *id);
/* Returns whether the announcement TARGET would change the state.  */
bool ab_fleet_state_would_change (const struct ab_fleet_state *state,
                                  const struct ab_fleet_target *target);

/* Calls VISIT for each target changed after INDEX, in any order.  */
void ab_fleet_state_changes (
    const struct ab_fleet_state *state, uint64_t index,
    void (*visit) (void *ctx, const struct ab_fleet_target *), void *ctx);
/* Returns the number of targets, removed ones included.  */
size_t ab_fleet_state_target_count (const struct ab_fleet_state *state);

/* Returns the requests that crash targets, with log time; null while there are
   none.  */
const struct ab_quarantine *
ab_fleet_state_quarantine (const struct ab_fleet_state *state);
/* Calls VISIT for each record of them that changed after INDEX.  */
void ab_fleet_state_quarantine_changes (
    const struct ab_fleet_state *state, uint64_t index,
    void (*visit) (void *ctx, const struct ab_quarantine_record *), void *ctx);

/* Encode and decode a target as an array, for commands, snapshots and view
   frames.  Errors of decoding are left in READER.  */
void ab_fleet_pack_target (struct ab_buf *out,
                           const struct ab_fleet_target *target);
void ab_fleet_read_target (struct ab_reader *reader,
                           struct ab_fleet_target *target);

#endif
