/* The replicated state machine of the control group: the register of accepted
   bundles, the ledger, the ejection permits, and log time.

   It is driven by the committed commands of the log alone and is the same on
   every member after the same commands.  Log time is the largest leader's
   time among them.  */

#ifndef AB_CONTROL_STATE_H
#define AB_CONTROL_STATE_H

#include "command.h"

#define AB_BUNDLE_HISTORY_MAX 1000
#define AB_DEFAULT_RETENTION_MS (24ULL * 3600 * 1000)

struct ab_control_state;

/* An accepted bundle.  */
struct ab_bundle_record
{
  uint64_t version;
  struct ab_digest digest;
  char operator_name[AB_OPERATOR_BYTES];
  uint64_t log_index;
  uint64_t log_time_ms;
};

/* The result of the command at INDEX, for who proposed it.  Chunks are valid
   during the call.  */
struct ab_control_result
{
  uint64_t index;
  uint64_t term;
  const struct ab_command *command;
  int rc;
  struct ab_ledger_answer answer; /* Of a claim.  */
  uint64_t held;                  /* Of a permit request.  */
  /* Of a bundle: the one that is now current.  */
  const struct ab_bundle_record *winner;
};

typedef void (*ab_control_result_handler) (
    void *ctx, const struct ab_control_result *result);

struct ab_control_state *
ab_control_state_new (const struct ab_ledger_limits *limits);
void ab_control_state_free (struct ab_control_state *state);

/* Results go to HANDLER, inside ab_control_state_apply.  */
void ab_control_state_on_result (struct ab_control_state *state,
                                 ab_control_result_handler handler, void *ctx);

/* Applies the committed command DATA at INDEX.  A command that cannot be
   read changes nothing on any replica.  AB_ERR_MEMORY is fatal: the replica
   would differ from the others.  */
int ab_control_state_apply (struct ab_control_state *state, uint64_t index,
                            uint64_t term, struct ab_chunk data);

/* Appends a snapshot to OUT.  */
int ab_control_state_save (const struct ab_control_state *state,
                           struct ab_buf *out);

/* Replaces STATE's content by the snapshot DATA.  AB_ERR_CORRUPT,
   AB_ERR_VERSION, AB_ERR_MEMORY; the content is then undefined.  */
int ab_control_state_load (struct ab_control_state *state,
                           struct ab_chunk data);

/* Queries.  */
uint64_t ab_control_state_log_time_ms (const struct ab_control_state *state);
const struct ab_ledger *
ab_control_state_ledger (const struct ab_control_state *state);
const struct ab_permits *
ab_control_state_permits (const struct ab_control_state *state);

/* The current bundle, encoded, without certificate; empty before the
   first.  */
struct ab_chunk ab_control_state_bundle (const struct ab_control_state *state);

/* Accepted bundles, oldest first: at most AB_BUNDLE_HISTORY_MAX.  */
size_t ab_control_state_history_count (const struct ab_control_state *state);
const struct ab_bundle_record *
ab_control_state_history (const struct ab_control_state *state, size_t index);

/* The newest accepted bundle, or null.  */
const struct ab_bundle_record *
ab_control_state_current (const struct ab_control_state *state);

#endif
