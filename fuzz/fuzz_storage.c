/* Fuzz target: records of the write-ahead log and snapshots of the replicated
   state.  The first byte chooses between them: odd means a snapshot.  */

#include "control_state.h"
#include "wal_record.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
load_snapshot (struct ab_chunk input)
{
  static const struct ab_ledger_limits limits
      = { .records_max = 1000, .bytes_max = 1024 * 1024 };
  struct ab_control_state *state = ab_control_state_new (&limits);

  if (state)
    ab_control_state_load (state, input);
  ab_control_state_free (state);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct ab_wal_record record;

  if (size == 0)
    return 0;
  if (data[0] % 2)
    load_snapshot (ab_chunk (data + 1, size - 1));
  else
    ab_wal_record_decode (ab_chunk (data + 1, size - 1), 0, &record);
  return 0;
}
