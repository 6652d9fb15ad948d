/* Benchmark of storage on the system's disk: bench_storage [FOLDER].  Prints
   the time to open a log of 500 entries of 20 KB and 100,000 of 300 bytes,
   without and with a snapshot, and the proposals per second of a group of one
   member when 1, 16 and 64 proposals share a sync.  */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "error.h"
#include "storage.h"

#define BUNDLES 500
#define BUNDLE_BYTES 20000
#define LEDGER_ENTRIES 100000
#define LEDGER_BYTES 300
#define BATCH_MAX 64
#define GROUP_SECONDS 2.0
#define MEASURES_MAX 200000

static const struct ab_raft_member member = { .host = "bench" };

static double
wall_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

static void
require_success (int rc, const char *what)
{
  if (rc == 0)
    return;
  fprintf (stderr, "%s: %s\n", what, ab_strerror (rc));
  exit (EXIT_FAILURE);
}

static struct ab_storage *
open_folder (const char *folder, struct ab_storage_content *content)
{
  struct ab_storage *storage;
  char error[AB_CONF_ERROR_BYTES];

  require_success (
      ab_storage_open (folder, &member, 1, &storage, content, error), error);
  return storage;
}

/* Appends and syncs COUNT entries of BYTES bytes each, starting at the
   index in NEXT.  */
static void
write_group (struct ab_storage *storage, uint64_t *next, size_t count,
             size_t bytes)
{
  static char data[BUNDLE_BYTES];
  struct ab_raft_entry entries[BATCH_MAX];

  for (size_t i = 0; i < count; i++)
    entries[i] = (struct ab_raft_entry){ .index = (*next)++,
                                         .term = 1,
                                         .data = ab_chunk (data, bytes) };
  require_success (ab_storage_append (storage, entries, count), "append");
  require_success (ab_storage_sync (storage), "sync");
}

static void
fill (const char *folder, uint64_t *next)
{
  struct ab_storage_content content;
  struct ab_storage *storage = open_folder (folder, &content);

  ab_storage_content_free (&content);
  for (int i = 0; i < BUNDLES; i++)
    {
      write_group (storage, next, 1, BUNDLE_BYTES);
      for (int n = LEDGER_ENTRIES / BUNDLES; n > 0; n -= 50)
        write_group (storage, next, 50, LEDGER_BYTES);
    }
  ab_storage_close (storage);
}

static void
time_open (const char *folder, const char *label)
{
  struct ab_storage_content content;
  struct ab_rng rng;
  struct ab_raft_io io = { 0 };
  struct ab_raft_config config = { .host = "bench",
                                   .heartbeat_ms = 100,
                                   .election_ms = 600,
                                   .rng = &rng,
                                   .io = &io };
  struct ab_raft *raft;
  double start = wall_s ();
  struct ab_storage *storage = open_folder (folder, &content);
  double opened = wall_s ();

  ab_rng_init_seeded (&rng, 1);
  require_success (ab_raft_new (&config, &content.initial_state, 0, &raft),
                   "raft");
  printf ("open %s: %.0f ms, member %.0f ms, %zu entries, snapshot %zu "
          "bytes\n",
          label, (opened - start) * 1e3, (wall_s () - opened) * 1e3,
          content.initial_state.entry_count, content.snapshot_data.len);
  ab_raft_free (raft);
  ab_storage_content_free (&content);
  ab_storage_close (storage);
}

static void
save_snapshot (const char *folder, uint64_t *next)
{
  size_t bytes
      = (size_t)BUNDLES * BUNDLE_BYTES + (size_t)LEDGER_ENTRIES * LEDGER_BYTES;
  char *data = calloc (1, bytes);
  struct ab_storage_content content;
  struct ab_storage *storage = open_folder (folder, &content);
  double start = wall_s ();

  ab_storage_content_free (&content);
  require_success (data ? 0 : AB_ERR_MEMORY, "snapshot");
  require_success (ab_storage_save_snapshot (storage, *next - 1, 1, &member, 1,
                                             ab_chunk (data, bytes)),
                   "snapshot");
  printf ("save snapshot of %zu bytes: %.0f ms\n", bytes,
          (wall_s () - start) * 1e3);
  free (data);
  write_group (storage, next, 50, LEDGER_BYTES);
  ab_storage_close (storage);
}

static int
compare_double (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* A group of one member, so that only the disk takes time.  */
struct single
{
  /* First member, so that a pointer to it can be cast back.  */
  struct ab_raft_io io;
  struct ab_storage *storage;
  uint64_t applied;
};

static struct ab_storage *
storage_of (struct ab_raft_io *io)
{
  return ((struct single *)io)->storage;
}

static int
io_save_vote (struct ab_raft_io *io, const struct ab_raft_hard_state *state)
{
  return ab_storage_save_vote (storage_of (io), state);
}

static int
io_append (struct ab_raft_io *io, const struct ab_raft_entry *entries,
           size_t count)
{
  return ab_storage_append (storage_of (io), entries, count);
}

static int
io_sync (struct ab_raft_io *io)
{
  return ab_storage_sync (storage_of (io));
}

static void
io_apply (struct ab_raft_io *io, const struct ab_raft_entry *entry)
{
  ((struct single *)io)->applied = entry->index;
}

static const struct ab_raft_io_ops single_ops = {
  .save_vote = io_save_vote,
  .append = io_append,
  .sync = io_sync,
  .apply = io_apply,
};

/* Proposes GROUP commands and checks that one flush applies them.  */
static void
commit_group (struct ab_raft *raft, const struct single *single, size_t group)
{
  static const char data[LEDGER_BYTES];
  uint64_t index = 0;

  for (size_t i = 0; i < group; i++)
    require_success (
        ab_raft_propose (raft, 0, ab_chunk (data, sizeof data), &index),
        "propose");
  require_success (ab_raft_flush (raft, 0), "flush");
  require_success (single->applied == index ? 0 : AB_ERR_UNAVAILABLE, "apply");
}

static void
time_groups (const char *folder, size_t group)
{
  static double durations_s[MEASURES_MAX];
  struct ab_storage_content content;
  struct single single = { .io = { .ops = &single_ops } };
  struct ab_rng rng;
  struct ab_raft_config config = { .host = "bench",
                                   .heartbeat_ms = 100,
                                   .election_ms = 600,
                                   .rng = &rng,
                                   .io = &single.io };
  struct ab_raft *raft;
  size_t groups = 0;
  double start;
  double at;

  single.storage = open_folder (folder, &content);
  memcpy (config.disk_id, content.disk_id, AB_DISK_ID_BYTES);
  ab_rng_init_seeded (&rng, 1);
  require_success (ab_raft_new (&config, &content.initial_state, 0, &raft),
                   "raft");
  ab_storage_content_free (&content);
  ab_raft_tick (raft, 2000);
  require_success (ab_raft_flush (raft, 2000), "flush");
  start = wall_s ();
  at = start;
  while (at - start < GROUP_SECONDS && groups < MEASURES_MAX)
    {
      double before = at;
      commit_group (raft, &single, group);
      at = wall_s ();
      durations_s[groups++] = at - before;
    }
  qsort (durations_s, groups, sizeof *durations_s, compare_double);
  printf ("groups of %zu: %.0f proposals/s, median %.2f ms, 99%% %.2f ms\n",
          group, (double)(groups * group) / (at - start),
          durations_s[groups / 2] * 1e3, durations_s[groups * 99 / 100] * 1e3);
  ab_raft_free (raft);
  ab_storage_close (single.storage);
}

int
main (int argc, char **argv)
{
  char folder[256];
  char path[300];
  char command[320];
  uint64_t next = 1;

  snprintf (folder, sizeof folder, "%.200s/bench-storage-XXXXXX",
            argc > 1 ? argv[1] : "/tmp");
  if (!mkdtemp (folder))
    {
      perror (folder);
      return EXIT_FAILURE;
    }
  snprintf (path, sizeof path, "%s/data", folder);
  fill (path, &next);
  time_open (path, "without snapshot");
  save_snapshot (path, &next);
  time_open (path, "with snapshot");
  time_groups (path, 1);
  time_groups (path, 16);
  time_groups (path, 64);
  snprintf (command, sizeof command, "rm -r '%s'", folder);
  return system (command) == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
