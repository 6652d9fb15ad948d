/* The replicated state machine of the control group: the register of accepted
   bundles, the ledger, the ejection permits, and log time.

   Its state depends on nothing but the committed commands of the log, so that
   it is the same on every member after the same commands.  Log time, in ms, is
   the largest of the leaders' wall-clock times in these commands.  No I/O.  */

#ifndef AB_CONTROL_STATE_H
#define AB_CONTROL_STATE_H

#include "command.h"

#define AB_BUNDLE_HISTORY_MAX 1000
#define AB_DEFAULT_RETENTION_MS (24ULL * 3600 * 1000)

struct ab_control_state;

/* The register's entry for an accepted bundle.  */
struct ab_bundle_record
{
  uint64_t version;
  struct ab_digest digest;
  char operator_name[AB_OPERATOR_BYTES];
  uint64_t log_index;
  uint64_t log_time_ms;
};

/* The result of the command at INDEX of the log, for its proposer.  Chunks are
   valid during the call.  */
struct ab_control_result
{
  uint64_t index;
  uint64_t term;
  const struct ab_command *command;
  int rc;
  struct ab_ledger_answer answer; /* Set for a claim.  */
  uint64_t held;                  /* Permits held after a permit request.  */
  /* Set for a bundle command: the bundle that is current afterwards; null if
     there is none.  */
  const struct ab_bundle_record *current_bundle;
};

typedef void (*ab_control_result_handler) (
    void *ctx, const struct ab_control_result *result);

/* LIMITS may be null for the ledger's default limits.  Returns null if out of
   memory.  */
struct ab_control_state *
ab_control_state_new (const struct ab_ledger_limits *limits);
void ab_control_state_free (struct ab_control_state *state);

/* Sets the function that receives the results, called by
   ab_control_state_apply.  */
void ab_control_state_on_result (struct ab_control_state *state,
                                 ab_control_result_handler handler, void *ctx);

/* Applies the committed command DATA at INDEX of the log.  A command that
   cannot be decoded changes nothing on any replica and returns 0.  Returns 0
   or AB_ERR_MEMORY, which is fatal: the replica would differ from the
   others.  */
int ab_control_state_apply (struct ab_control_state *state, uint64_t index,
                            uint64_t term, struct ab_chunk data);

/* Appends a snapshot to OUT.  */
int ab_control_state_save (const struct ab_control_state *state,
                           struct ab_buf *out);

/* Replaces STATE's content with the snapshot DATA.  Returns 0, or
   AB_ERR_CORRUPT, AB_ERR_VERSION or AB_ERR_MEMORY; the content is then
   undefined.  */
int ab_control_state_load (struct ab_control_state *state,
                           struct ab_chunk data);

/* Queries.  */
uint64_t ab_control_state_log_time_ms (const struct ab_control_state *state);
const struct ab_ledger *
ab_control_state_ledger (const struct ab_control_state *state);
const struct ab_permits *
ab_control_state_permits (const struct ab_control_state *state);

/* Returns the current bundle, encoded, without certificate; empty if no bundle
   was accepted yet.  */
struct ab_chunk ab_control_state_bundle (const struct ab_control_state *state);

/* The accepted bundles, at most AB_BUNDLE_HISTORY_MAX; INDEX 0 is the
   oldest.  */
size_t ab_control_state_history_count (const struct ab_control_state *state);
const struct ab_bundle_record *
ab_control_state_history (const struct ab_control_state *state, size_t index);

/* Returns the accepted bundle with the greatest version, or null.  */
const struct ab_bundle_record *
ab_control_state_current (const struct ab_control_state *state);

#endif
