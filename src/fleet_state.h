/* What the control group of a fleet replicates: the accepted bundles and the
   targets that have announced themselves.

   A state machine without I/O: commands come from the replicated log, in
   order.  Every item carries the log index of its last change, so that a
   reader that knows an index can be sent just what it lacks.

   A target is named by its id; BORN, the Unix millisecond of its start, tells
   its incarnations apart, and SEQUENCE orders what one incarnation says.  A
   target that drains or has left never comes back in the same incarnation.  */

#ifndef AB_FLEET_STATE_H
#define AB_FLEET_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include "buf.h"
#include "digest.h"
#include "pack.h"
#include "settings.h"

#define AB_FLEET_BUNDLE_BYTES (16 * 1024 * 1024)
/* Compressed, as it travels and is logged.  */
#define AB_FLEET_PACKED_BYTES (600 * 1024)
/* Accepted bundles whose repetition is recognised.  */
#define AB_FLEET_HISTORY_MAX 1024
/* Changes of targets in one command.  */
#define AB_FLEET_BATCH_MAX 256
/* A target that left is remembered until this many newer ones left, so that
   late announcements do not bring it back.  */
#define AB_FLEET_GONE_MAX 4096

enum ab_fleet_target_state
{
  AB_FLEET_TARGET_READY = 1,
  AB_FLEET_TARGET_DRAINING,
  AB_FLEET_TARGET_GONE
};

struct ab_fleet_target
{
  char id[AB_NAME_BYTES];
  char service[AB_NAME_BYTES];
  char address[AB_ADDRESS_BYTES];
  char failure_domain[AB_NAME_BYTES];
  uint64_t born; /* Unix milliseconds.  */
  uint64_t sequence;
  uint64_t slots;
  uint64_t cold_ms; /* How long it stays slow, from its announcement on.  */
  enum ab_fleet_target_state state;
  uint64_t changed; /* Log index.  */
};

enum ab_fleet_result
{
  AB_FLEET_ACCEPTED,
  AB_FLEET_REPEATED, /* The same bundle was accepted before.  */
  AB_FLEET_CONFLICT, /* Another bundle was accepted on this base.  */
  AB_FLEET_STALE,    /* The version is not above the current one.  */
  AB_FLEET_UNUSABLE  /* The command cannot be read.  */
};

struct ab_fleet_state;

struct ab_fleet_state *ab_fleet_state_new (void);
void ab_fleet_state_free (struct ab_fleet_state *state);

/* Encoding of commands.  AB_ERR_TOO_LARGE for a text over
   AB_FLEET_PACKED_BYTES when compressed.  */
int ab_fleet_pack_bundle (struct ab_buf *out, uint64_t version, uint64_t base,
                          struct ab_chunk text);
/* Changes of COUNT targets, at most AB_FLEET_BATCH_MAX, which are applied in
   order; ab_fleet_pack_target appends each of them.  */
void ab_fleet_pack_target_changes (struct ab_buf *out, size_t count);

/* Applies the command DATA at INDEX of the log.  AB_ERR_MEMORY is fatal: the
   replica would differ from the others.  */
int ab_fleet_state_apply (struct ab_fleet_state *state, uint64_t index,
                          struct ab_chunk data, enum ab_fleet_result *result);

/* Snapshots.  AB_ERR_CORRUPT, AB_ERR_MEMORY.  */
int ab_fleet_state_save (const struct ab_fleet_state *state,
                         struct ab_buf *out);
int ab_fleet_state_load (struct ab_fleet_state *state, struct ab_chunk data);

/* Queries.  */

/* What would become of the bundle now.  */
enum ab_fleet_result
ab_fleet_state_judge_bundle (const struct ab_fleet_state *state,
                             uint64_t version, uint64_t base,
                             struct ab_chunk text);
/* Empty before the first bundle.  */
struct ab_chunk ab_fleet_state_bundle (const struct ab_fleet_state *state);
/* The same, compressed.  */
struct ab_chunk ab_fleet_state_packed (const struct ab_fleet_state *state);
uint64_t ab_fleet_state_version (const struct ab_fleet_state *state);
/* Log index of the current bundle.  */
uint64_t ab_fleet_state_bundle_index (const struct ab_fleet_state *state);

const struct ab_fleet_target *
ab_fleet_state_find (const struct ab_fleet_state *state, const char *id);
/* Whether TARGET says something that changes the state.  */
bool ab_fleet_state_is_news (const struct ab_fleet_state *state,
                             const struct ab_fleet_target *target);

/* Calls VISIT for each target changed after INDEX, in any order.  */
void ab_fleet_state_changes (
    const struct ab_fleet_state *state, uint64_t index,
    void (*visit) (void *ctx, const struct ab_fleet_target *), void *ctx);
size_t ab_fleet_state_target_count (const struct ab_fleet_state *state);

/* A target as an array; for snapshots and messages.  */
void ab_fleet_pack_target (struct ab_buf *out,
                           const struct ab_fleet_target *target);
void ab_fleet_read_target (struct ab_reader *reader,
                           struct ab_fleet_target *target);

#endif
