/* Speed and size of the replicated state machine alone: claims and
   completions applied per second, bytes of memory per record, size of a
   snapshot of 500 bundle changes and 100,000 ledger records, time to save and
   load it, and time to read it and the log that follows it from the disk.  */

#include <ftw.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "clock.h"
#include "control_state.h"
#include "error.h"
#include "storage.h"

#define RECORDS 100000
#define BUNDLES 500
#define BUNDLE_BYTES 4096
#define RESPONSE_BYTES 100
#define TIME_MS 1000000000000ULL
#define SECOND_US 1e6
/* Maximum number of log entries between a snapshot of RECORDS records and the
   next snapshot.  */
#define LOG_ENTRIES (RECORDS / 4)
#define FILES_OPEN 16

static uint64_t next_index = 1;

static void
fail (const char *what, int rc)
{
  fprintf (stderr, "bench_control_state: %s: %s\n", what, ab_strerror (rc));
  exit (EXIT_FAILURE);
}

static double
heap_bytes (void)
{
  return (double)mallinfo2 ().uordblks;
}

static void
apply (struct ab_control_state *state, const struct ab_buf *data)
{
  int rc
      = ab_control_state_apply (state, next_index++, 1, ab_buf_chunk (data));

  if (rc < 0)
    fail ("apply", rc);
}

static void
set_key (struct ab_ledger_key *key, uint64_t number)
{
  uint64_t time_ms = TIME_MS + number;

  for (size_t i = 0; i < 6; i++)
    key->key[i] = (uint8_t)(time_ms >> (8 * (5 - i)));
  memcpy (key->key + 8, &number, sizeof number);
}

/* Applies one command for each record and returns commands per second.  The
   time includes the decoding but not the encoding of commands.  */
static double
apply_ledger (struct ab_control_state *state, enum ab_command_type type,
              const uint64_t *tokens, struct ab_chunk response)
{
  struct ab_command command = { .type = type,
                                .time_ms = TIME_MS,
                                .host = "entry-17",
                                .incarnation = TIME_MS,
                                .response = response,
                                .key = { "orders-team", "rekki-shop" } };
  struct ab_buf *data = calloc (RECORDS, sizeof *data);
  uint64_t start;
  uint64_t end;

  if (!data)
    fail ("commands", AB_ERR_MEMORY);
  for (uint64_t i = 0; i < RECORDS; i++)
    {
      set_key (&command.key, i);
      command.request = i + 1;
      command.token = tokens ? tokens[i] : 0;
      ab_command_encode (&command, &data[i]);
    }
  start = ab_clock_monotonic_us ();
  for (size_t i = 0; i < RECORDS; i++)
    apply (state, &data[i]);
  end = ab_clock_monotonic_us ();
  for (size_t i = 0; i < RECORDS; i++)
    ab_buf_free (&data[i]);
  free (data);
  return RECORDS * SECOND_US / (double)(end - start);
}

static void
apply_bundles (struct ab_control_state *state)
{
  static char text[BUNDLE_BYTES];
  struct ab_command command = { .type = AB_COMMAND_BUNDLE,
                                .time_ms = TIME_MS,
                                .operator_name = "operator",
                                .retention_ms = AB_DEFAULT_RETENTION_MS };

  for (uint64_t i = 1; i <= BUNDLES; i++)
    {
      struct ab_signed_bundle bundle = { .version = i };
      struct ab_buf encoded = AB_BUF_INIT;
      struct ab_buf data = AB_BUF_INIT;
      memset (text, (int)(i % 64) + '0', sizeof text);
      ab_buf_append (&bundle.text, text, sizeof text);
      ab_signed_bundle_encode (&bundle, &encoded);
      command.bundle = ab_buf_chunk (&encoded);
      ab_command_encode (&command, &data);
      apply (state, &data);
      ab_signed_bundle_free (&bundle);
      ab_buf_free (&encoded);
      ab_buf_free (&data);
    }
}

static void
bench_snapshot (const struct ab_control_state *state)
{
  struct ab_control_state *restored = ab_control_state_new (NULL);
  struct ab_buf data = AB_BUF_INIT;
  uint64_t start = ab_clock_monotonic_us ();
  uint64_t saved;
  int rc = ab_control_state_save (state, &data);

  if (rc < 0 || !restored)
    fail ("save", rc);
  saved = ab_clock_monotonic_us ();
  rc = ab_control_state_load (restored, ab_buf_chunk (&data));
  if (rc < 0)
    fail ("load", rc);
  printf ("snapshot_bytes %zu\nsnapshot_save_ms %.1f\n"
          "snapshot_restore_ms %.1f\n",
          data.len, (double)(saved - start) / 1000,
          (double)(ab_clock_monotonic_us () - saved) / 1000);
  if (ab_ledger_count (ab_control_state_ledger (restored)) != RECORDS
      || ab_control_state_history_count (restored) != BUNDLES)
    fail ("restored state", AB_ERR_CORRUPT);
  ab_control_state_free (restored);
  ab_buf_free (&data);
}

/* Writes a member's files as they are just before its next snapshot, with the
   longest log.  */
static void
write_files (const char *folder, const struct ab_control_state *state)
{
  struct ab_raft_member member = { .host = "control-1" };
  struct ab_command command = { .type = AB_COMMAND_CLAIM,
                                .time_ms = TIME_MS,
                                .host = "entry-17",
                                .key = { "orders-team", "rekki-shop" } };
  char error[AB_CONF_ERROR_BYTES];
  struct ab_storage_content content;
  struct ab_storage *storage;
  struct ab_buf data = AB_BUF_INIT;
  int rc = ab_storage_open (folder, &member, 1, &storage, &content, error);

  if (rc == 0)
    rc = ab_control_state_save (state, &data);
  if (rc == 0)
    rc = ab_storage_save_snapshot (storage, RECORDS, 1, &member, 1,
                                   ab_buf_chunk (&data));
  if (rc == 0)
    rc = ab_storage_reset_log (storage, RECORDS + 1);
  for (uint64_t i = 0; rc == 0 && i < LOG_ENTRIES; i++)
    {
      struct ab_raft_entry entry = { .index = RECORDS + 1 + i, .term = 1 };
      ab_buf_clear (&data);
      set_key (&command.key, RECORDS + i);
      command.request = RECORDS + i;
      ab_command_encode (&command, &data);
      entry.data = ab_buf_chunk (&data);
      rc = ab_storage_append (storage, &entry, 1);
    }
  if (rc == 0)
    rc = ab_storage_sync (storage);
  if (rc < 0)
    fail ("write files", rc);
  ab_storage_content_free (&content);
  ab_storage_close (storage);
  ab_buf_free (&data);
}

static int
remove_file (const char *path, const struct stat *status, int kind,
             struct FTW *position)
{
  (void)status;
  (void)kind;
  (void)position;
  return remove (path);
}

/* Measures a restart: reads the files, restores the state and applies the log,
   as a restarted member does once the group has a leader.  */
static void
bench_restart (const struct ab_control_state *state)
{
  char folder[] = "/tmp/ab_bench_control_XXXXXX";
  char error[AB_CONF_ERROR_BYTES];
  struct ab_control_state *restored = ab_control_state_new (NULL);
  struct ab_storage_content content;
  struct ab_storage *storage;
  uint64_t start;
  int rc;

  if (!mkdtemp (folder))
    fail ("folder", AB_ERR_IO);
  write_files (folder, state);
  start = ab_clock_monotonic_us ();
  rc = ab_storage_open (folder, NULL, 0, &storage, &content, error);
  if (rc == 0)
    rc = ab_control_state_load (restored,
                                ab_buf_chunk (&content.snapshot_data));
  for (size_t i = 0; rc == 0 && i < content.initial_state.entry_count; i++)
    rc = ab_control_state_apply (restored,
                                 content.initial_state.entries[i].index, 1,
                                 content.initial_state.entries[i].data);
  if (rc < 0)
    fail ("restart", rc);
  printf ("restart_records %zu\nrestart_ms %.1f\n",
          ab_ledger_count (ab_control_state_ledger (restored)),
          (double)(ab_clock_monotonic_us () - start) / 1000);
  ab_storage_content_free (&content);
  ab_storage_close (storage);
  ab_control_state_free (restored);
  nftw (folder, remove_file, FILES_OPEN, FTW_DEPTH | FTW_PHYS);
}

int
main (void)
{
  static char response[RESPONSE_BYTES];
  struct ab_control_state *state = ab_control_state_new (NULL);
  uint64_t *tokens = calloc (RECORDS, sizeof *tokens);
  double before;

  if (!state || !tokens)
    fail ("start", AB_ERR_MEMORY);
  apply_bundles (state);
  for (uint64_t i = 0; i < RECORDS; i++)
    tokens[i] = next_index + i;
  before = heap_bytes ();
  printf ("claims_per_second %.0f\n",
          apply_ledger (state, AB_COMMAND_CLAIM, NULL, ab_chunk (NULL, 0)));
  printf ("heap_bytes_per_claimed_record %.0f\n",
          (heap_bytes () - before) / RECORDS);
  printf ("completions_per_second %.0f\n",
          apply_ledger (state, AB_COMMAND_COMPLETE, tokens,
                        ab_chunk (response, sizeof response)));
  printf ("heap_bytes_per_done_record %.0f\n",
          (heap_bytes () - before) / RECORDS);
  printf ("counted_bytes_per_done_record %.0f\n",
          (double)ab_ledger_bytes (ab_control_state_ledger (state)) / RECORDS);
  bench_snapshot (state);
  bench_restart (state);
  free (tokens);
  ab_control_state_free (state);
  return EXIT_SUCCESS;
}
