/* Tests of durable storage under crashes, damage, full disks and failed
   syncs.  */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "disk_fake_lib.h"
#include "error.h"
#include "storage.h"
#include "wal.h"

#define SEGMENT_BYTES 1000
#define LOG_MAX 400
#define CRASH_SEEDS 6

static const struct ab_raft_member first_members[3]
    = { { .host = "m0" }, { .host = "m1" }, { .host = "m2" } };

/* Model of the content that the files must have.  */
struct model
{
  uint64_t terms[LOG_MAX];     /* Term of each log entry written.  */
  uint64_t old_terms[LOG_MAX]; /* Terms before the last truncation.  */
  uint64_t last;
  uint64_t synced; /* Last index that must survive a crash.  */
  uint64_t snapshot;
  uint64_t snapshot_tried;
  struct ab_raft_hard_state vote;
  struct ab_raft_hard_state vote_tried;
};

struct fixture
{
  struct fake_disk *disk;
  struct ab_storage *storage;
  struct ab_storage_content content;
  char error[AB_CONF_ERROR_BYTES];
};

static int
open_disk (struct fixture *f)
{
  int rc = ab_storage_open_with (&f->disk->files, SEGMENT_BYTES, "d",
                                 first_members, 3, &f->storage, &f->content,
                                 f->error);

  if (rc < 0)
    f->storage = NULL;
  return rc;
}

static void
close_disk (struct fixture *f)
{
  ab_storage_close (f->storage);
  f->storage = NULL;
  ab_storage_content_free (&f->content);
}

static struct fixture
new_fixture (void)
{
  struct fixture f = { .disk = fake_disk_new () };

  ck_assert_int_eq (open_disk (&f), 0);
  ck_assert (f.content.fresh);
  return f;
}

static void
free_fixture (struct fixture *f)
{
  close_disk (f);
  fake_disk_free (f->disk);
}

/* Sets DATA to the data of an entry, which its index and term determine, and
   returns its length.  */
static size_t
entry_data (uint64_t index, uint64_t term, char data[200])
{
  size_t len = 20 + (size_t)(index * 7 % 150);

  memset (data, (int)('a' + (index + term) % 26), len);
  return len;
}

static int
append (struct ab_storage *storage, struct model *model, uint64_t term,
        size_t count)
{
  struct ab_raft_entry entries[16];
  char data[16][200];
  int rc;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t index = model->last + 1 + i;
      entries[i] = (struct ab_raft_entry){ .index = index, .term = term };
      entries[i].data = ab_chunk (data[i], entry_data (index, term, data[i]));
      model->terms[index] = term;
    }
  rc = ab_storage_append (storage, entries, count);
  if (rc == 0)
    model->last += count;
  return rc;
}

static int
sync_log (struct ab_storage *storage, struct model *model)
{
  int rc = ab_storage_sync (storage);

  if (rc == 0)
    model->synced = model->last;
  return rc;
}

static int
truncate_log (struct ab_storage *storage, struct model *model, uint64_t first)
{
  memcpy (model->old_terms, model->terms, sizeof model->terms);
  model->last = first - 1;
  if (model->synced >= first)
    model->synced = first - 1;
  return ab_storage_truncate (storage, first);
}

static int
save_vote (struct ab_storage *storage, struct model *model, uint64_t term)
{
  int rc;

  model->vote_tried.term = term;
  snprintf (model->vote_tried.voted_for, sizeof model->vote_tried.voted_for,
            "m%d", (int)(term % 3));
  rc = ab_storage_save_vote (storage, &model->vote_tried);
  if (rc == 0)
    model->vote = model->vote_tried;
  return rc;
}

static int
save_snapshot (struct ab_storage *storage, struct model *model, uint64_t index,
               uint64_t term)
{
  char text[32];
  int len
      = snprintf (text, sizeof text, "state %llu", (unsigned long long)index);
  int rc;

  model->snapshot_tried = index;
  rc = ab_storage_save_snapshot (storage, index, term, first_members, 3,
                                 ab_chunk (text, (size_t)len));
  if (rc == 0)
    model->snapshot = index;
  return rc;
}

/* Installs a snapshot at INDEX received from the leader, which replaces the
   whole log.  */
static int
install_snapshot (struct ab_storage *storage, struct model *model,
                  uint64_t index, uint64_t term)
{
  int rc;

  memcpy (model->old_terms, model->terms, sizeof model->terms);
  model->synced = 0;
  rc = save_snapshot (storage, model, index, term);
  if (rc == 0)
    rc = ab_storage_reset_log (storage, index + 1);
  model->last = index;
  return rc;
}

/* Makes all kinds of changes, over some 20 segments; stops at the first
   error.  */
static int
workload (struct ab_storage *storage, struct model *model)
{
  int rc = 0;

  for (uint64_t i = 1; i <= 12 && rc == 0; i++)
    {
      rc = append (storage, model, i, 5);
      if (rc == 0 && i % 2 == 0)
        rc = sync_log (storage, model);
      if (rc == 0 && i % 3 == 0)
        rc = save_vote (storage, model, i);
      if (rc == 0 && i % 4 == 0)
        rc = truncate_log (storage, model, model->last - (i == 8 ? 20 : 3));
      if (rc == 0 && i == 6)
        rc = save_snapshot (storage, model, 14, 3);
    }
  if (rc == 0)
    rc = install_snapshot (storage, model, 30, 20);
  if (rc == 0)
    rc = append (storage, model, 20, 10);
  if (rc == 0)
    rc = sync_log (storage, model);
  if (rc == 0)
    rc = install_snapshot (storage, model, 100, 21);
  if (rc == 0)
    rc = append (storage, model, 21, 3);
  return rc == 0 ? sync_log (storage, model) : rc;
}

static void
check_entry (const struct model *model, const struct ab_raft_entry *entry)
{
  char data[200];
  size_t len = entry_data (entry->index, entry->term, data);

  ck_assert (entry->term == model->terms[entry->index]
             || (entry->index > model->synced
                 && entry->term == model->old_terms[entry->index]));
  ck_assert (ab_chunk_equal (entry->data, ab_chunk (data, len)));
}

static void
check_content (const struct model *model,
               const struct ab_storage_content *content)
{
  const struct ab_raft_initial_state *start = &content->initial_state;
  uint64_t last = start->snapshot_index + start->entry_count;

  ck_assert (start->snapshot_index == model->snapshot
             || start->snapshot_index == model->snapshot_tried);
  ck_assert (start->hard_state.term == model->vote.term
             || start->hard_state.term == model->vote_tried.term);
  ck_assert_uint_ge (last, model->synced);
  for (size_t i = 0; i < start->entry_count; i++)
    {
      ck_assert_uint_eq (start->entries[i].index,
                         start->snapshot_index + 1 + i);
      check_entry (model, &start->entries[i]);
    }
  ck_assert_uint_eq (start->member_count, 3);
}

/* Guards against losing synced data, and against data that was never written,
   after a crash at any write, sync, rename, removal or truncation, also during
   the recovery after a crash.  */
START_TEST (crash_everywhere)
{
  struct ab_rng rng;
  bool finished = false;

  ab_rng_init_seeded (&rng, (uint64_t)_i);
  for (uint64_t at = 1; !finished; at++)
    {
      struct fixture f = new_fixture ();
      struct model model = { 0 };
      f.disk->crash_at = f.disk->changes + at;
      finished = workload (f.storage, &model) == 0;
      close_disk (&f);
      fake_disk_restart (f.disk, &rng);
      f.disk->crash_at = f.disk->changes + 1 + ab_rng_below (&rng, 6);
      if (open_disk (&f) < 0)
        {
          ck_assert_msg (f.disk->crashed, "crash at %llu: %s",
                         (unsigned long long)at, f.error);
          fake_disk_restart (f.disk, &rng);
          ck_assert_msg (open_disk (&f) == 0, "crash at %llu: %s",
                         (unsigned long long)at, f.error);
        }
      f.disk->crash_at = 0;
      check_content (&model, &f.content);
      /* The log accepts further entries.  */
      model.last = f.content.initial_state.snapshot_index
                   + f.content.initial_state.entry_count;
      for (size_t i = 0; i < f.content.initial_state.entry_count; i++)
        model.terms[f.content.initial_state.entries[i].index]
            = f.content.initial_state.entries[i].term;
      ck_assert_int_eq (append (f.storage, &model, 50, 4), 0);
      ck_assert_int_eq (sync_log (f.storage, &model), 0);
      close_disk (&f);
      fake_disk_restart (f.disk, &rng);
      ck_assert_msg (open_disk (&f) == 0, "%s", f.error);
      check_content (&model, &f.content);
      free_fixture (&f);
    }
}
END_TEST

/* Guards against two identities when a folder is created: whatever a crash
   leaves, the next start has a usable folder.  */
START_TEST (crash_in_creation)
{
  struct ab_rng rng;
  int rc = -1;

  ab_rng_init_seeded (&rng, (uint64_t)_i);
  for (uint64_t at = 1; rc < 0; at++)
    {
      struct fixture f = { .disk = fake_disk_new () };
      f.disk->crash_at = at;
      rc = open_disk (&f);
      close_disk (&f);
      fake_disk_restart (f.disk, &rng);
      ck_assert_msg (open_disk (&f) == 0, "%s", f.error);
      free_fixture (&f);
    }
}
END_TEST

/* Guards against taking damage for a torn write, which would silently drop
   committed entries: any flipped byte before the last batch is reported, with
   the file; in the last batch it is reported or cut off.  */
START_TEST (flipped_bytes)
{
  struct fixture f = new_fixture ();
  struct model model = { 0 };
  const char *const parts[]
      = { "wal-00000000000000000001", "wal-", "vote", "identity", "snapshot" };

  for (int i = 0; i < 16; i++)
    {
      append (f.storage, &model, 1, 1);
      sync_log (f.storage, &model);
    }
  ck_assert_int_eq (save_vote (f.storage, &model, 3), 0);
  ck_assert_int_eq (save_snapshot (f.storage, &model, 2, 1), 0);
  close_disk (&f);
  for (size_t p = 0; p < sizeof parts / sizeof *parts; p++)
    {
      const char *path = fake_disk_find (f.disk, parts[p]);
      struct ab_buf *file = fake_disk_file (f.disk, path);
      /* The last segment has more than the last record.  */
      ck_assert_uint_gt (file->len, p == 4 ? 300 : 0);
      for (size_t at = 0; at < file->len; at++)
        {
          int rc;
          file->data[at] ^= 0x10;
          rc = open_disk (&f);
          if (rc == 0)
            {
              ck_assert_str_eq (parts[p], "wal-");
              ck_assert_uint_ge (2 + f.content.initial_state.entry_count, 15);
              /* Cutting off the torn end has changed the file.  */
              free_fixture (&f);
              return;
            }
          ck_assert_int_eq (rc, AB_ERR_CORRUPT);
          ck_assert_msg (strstr (f.error, path) && strstr (f.error, "offset"),
                         "%s", f.error);
          file->data[at] ^= 0x10;
        }
    }
  ck_abort_msg ("a damaged last record was not cut off");
}
END_TEST

/* Guards against a start when part of the log, the vote or the identity is
   missing.  */
START_TEST (missing_files)
{
  const char *const parts[]
      = { "wal-00000000000000000001", "vote", "identity" };

  for (size_t p = 0; p < 3; p++)
    {
      struct fixture f = new_fixture ();
      struct model model = { 0 };
      for (int i = 0; i < 5; i++)
        append (f.storage, &model, 1, 5);
      sync_log (f.storage, &model);
      close_disk (&f);
      f.disk->files.ops->remove (&f.disk->files,
                                 fake_disk_find (f.disk, parts[p]));
      ck_assert_int_eq (open_disk (&f), AB_ERR_CORRUPT);
      ck_assert_str_ne (f.error, "");
      free_fixture (&f);
    }
}
END_TEST

/* Guards against a full disk that leaves part of a batch, or that loses the
   old vote or snapshot.  */
START_TEST (full_disk)
{
  for (uint64_t room = 1; room < 700; room += 13)
    {
      struct fixture f = new_fixture ();
      struct model model = { 0 };
      append (f.storage, &model, 1, 5);
      ck_assert_int_eq (sync_log (f.storage, &model), 0);
      ck_assert_int_eq (save_vote (f.storage, &model, 3), 0);
      ck_assert_int_eq (save_snapshot (f.storage, &model, 2, 1), 0);
      f.disk->full_at = f.disk->bytes + room;
      ck_assert_int_eq (append (f.storage, &model, 1, 12), AB_ERR_FULL);
      f.disk->full_at = f.disk->bytes + room % 30;
      ck_assert_int_eq (save_vote (f.storage, &model, 4), AB_ERR_FULL);
      ck_assert_int_eq (save_snapshot (f.storage, &model, 4, 1), AB_ERR_FULL);
      f.disk->full_at = 0;
      ck_assert_int_eq (append (f.storage, &model, 1, 3), 0);
      ck_assert_int_eq (sync_log (f.storage, &model), 0);
      model.vote_tried = model.vote;
      model.snapshot_tried = model.snapshot;
      close_disk (&f);
      ck_assert_msg (open_disk (&f) == 0, "%s", f.error);
      check_content (&model, &f.content);
      ck_assert_uint_eq (f.content.initial_state.entry_count, 6);
      free_fixture (&f);
    }
}
END_TEST

/* Guards against using a file after its sync failed.  */
START_TEST (failed_sync)
{
  struct fixture f = new_fixture ();
  struct model model = { 0 };

  append (f.storage, &model, 1, 1);
  f.disk->fail_sync_at = f.disk->changes + 1;
  ck_assert_int_eq (sync_log (f.storage, &model), AB_ERR_IO);
  ck_assert_int_eq (sync_log (f.storage, &model), AB_ERR_IO);
  ck_assert_int_eq (append (f.storage, &model, 1, 1), AB_ERR_IO);
  ck_assert_int_eq (save_vote (f.storage, &model, 1), AB_ERR_IO);
  free_fixture (&f);
}
END_TEST

/* Guards against two processes that write to one folder, and against faults of
   the system's file operations that the simulated disk does not have.  */
START_TEST (system_files)
{
  char folder[] = "/tmp/almondbridge-test-XXXXXX";
  char path[64];
  char command[80];
  struct ab_storage *storage;
  struct ab_storage *second;
  struct ab_storage_content content;
  struct model model = { 0 };
  char error[AB_CONF_ERROR_BYTES];

  ck_assert_ptr_nonnull (mkdtemp (folder));
  snprintf (path, sizeof path, "%s/data", folder);
  for (int i = 0; i < 2; i++)
    {
      struct ab_storage_content other;
      ck_assert_msg (
          ab_storage_open (path, first_members, 3, &storage, &content, error)
              == 0,
          "%s", error);
      check_content (&model, &content);
      ab_storage_content_free (&content);
      ck_assert_int_eq (
          ab_storage_open (path, first_members, 3, &second, &other, error),
          AB_ERR_BUSY);
      ck_assert_ptr_nonnull (strstr (error, path));
      if (i == 0)
        ck_assert_int_eq (workload (storage, &model), 0);
      ab_storage_close (storage);
    }
  snprintf (command, sizeof command, "rm -r '%s'", folder);
  ck_assert_int_eq (system (command), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("storage");
  TCase *tcase = tcase_create ("storage");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, crash_everywhere, 0, CRASH_SEEDS);
  tcase_add_loop_test (tcase, crash_in_creation, 0, CRASH_SEEDS);
  tcase_add_test (tcase, flipped_bytes);
  tcase_add_test (tcase, missing_files);
  tcase_add_test (tcase, full_disk);
  tcase_add_test (tcase, failed_sync);
  tcase_add_test (tcase, system_files);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
