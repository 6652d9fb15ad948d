#include "storage.h"

#include <limits.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "error.h"
#include "raft_msg.h"
#include "state_file.h"
#include "wal.h"

struct ab_storage
{
  struct ab_files *files;
  char folder[PATH_MAX];
  uint64_t segment_bytes;
  /* Handle that holds the lock on the folder; -1 when there is none.  */
  int lock;
  /* Error after which the files must not be used any more; 0 for none.  */
  int failed;
  struct ab_wal *wal;
  uint64_t snapshot_index;
  uint64_t snapshot_term;
};

/* Data that a struct ab_storage_content points to.  */
struct ab_storage_loaded
{
  struct ab_wal_content log;
  struct ab_raft_member members[AB_RAFT_MEMBERS_MAX];
};

/* Records RC if it is a failure that leaves the files in an unknown state;
   returns RC.  */
static int
record_result (struct ab_storage *storage, int rc)
{
  if (rc < 0 && rc != AB_ERR_FULL)
    storage->failed = rc;
  return rc;
}

static int
lock_folder (struct ab_storage *storage, char *error)
{
  struct ab_files *files = storage->files;
  char path[PATH_MAX + 8];
  int rc = files->ops->make_folder (files, storage->folder);

  if (rc < 0)
    {
      snprintf (error, AB_CONF_ERROR_BYTES, "%.300s: cannot create: %s",
                storage->folder, ab_strerror (rc));
      return rc;
    }
  snprintf (path, sizeof path, "%s/lock", storage->folder);
  storage->lock = files->ops->lock (files, path);
  if (storage->lock == AB_ERR_BUSY)
    snprintf (error, AB_CONF_ERROR_BYTES,
              "%.300s: another process uses the folder", storage->folder);
  else if (storage->lock < 0)
    snprintf (error, AB_CONF_ERROR_BYTES, "%.300s: cannot lock: %s", path,
              ab_strerror (storage->lock));
  return storage->lock < 0 ? storage->lock : 0;
}

/* Creates the identity file.  It is written last, after vote and log, so that
   a folder with an identity has both.  */
static int
create_identity (struct ab_storage *storage,
                 const struct ab_raft_member *members, size_t member_count,
                 struct ab_identity *identity)
{
  struct ab_raft_hard_state vote = { .term = 0 };
  int rc = ab_vote_write (storage->files, storage->folder, &vote);

  memset (identity, 0, sizeof *identity);
  randombytes_buf (identity->disk_id, AB_DISK_ID_BYTES);
  if (member_count > 0)
    memcpy (identity->members, members, member_count * sizeof *members);
  identity->member_count = member_count;
  if (rc == 0)
    rc = ab_identity_write (storage->files, storage->folder, identity);
  return rc;
}

/* Checks that a folder without an identity holds only what an interrupted
   creation leaves: a vote of term 0 and a log without records.  */
static int
check_unused (const struct ab_storage *storage,
              const struct ab_storage_content *content, char *error)
{
  if (content->initial_state.entry_count == 0
      && content->initial_state.snapshot_index == 0
      && content->initial_state.hard_state.term == 0)
    return 0;
  snprintf (error, AB_CONF_ERROR_BYTES,
            "%.300s/identity: missing, although a vote, a log or a snapshot "
            "exists",
            storage->folder);
  return AB_ERR_CORRUPT;
}

static int
load_files (struct ab_storage *storage, bool fresh,
            struct ab_storage_content *content, char *error)
{
  struct ab_storage_loaded *loaded = content->loaded;
  struct ab_raft_initial_state *initial = &content->initial_state;
  struct ab_snapshot snapshot;
  struct ab_wal_options options = { .files = storage->files,
                                    .folder = storage->folder,
                                    .segment_bytes = storage->segment_bytes,
                                    .create = fresh };
  int rc = ab_vote_read (storage->files, storage->folder, &initial->hard_state,
                         error);

  if (rc == AB_ERR_NOT_FOUND && !fresh)
    {
      snprintf (error, AB_CONF_ERROR_BYTES, "%.300s/vote: missing",
                storage->folder);
      return AB_ERR_CORRUPT;
    }
  if (rc < 0 && rc != AB_ERR_NOT_FOUND)
    return rc;
  rc = ab_snapshot_read (storage->files, storage->folder, &snapshot,
                         &content->snapshot_data, error);
  if (rc == 0)
    {
      memcpy (loaded->members, snapshot.members, sizeof loaded->members);
      initial->member_count = snapshot.member_count;
      initial->snapshot_index = snapshot.index;
      initial->snapshot_term = snapshot.term;
    }
  else if (rc != AB_ERR_NOT_FOUND)
    return rc;
  storage->snapshot_index = initial->snapshot_index;
  storage->snapshot_term = initial->snapshot_term;
  options.snapshot_index = initial->snapshot_index;
  options.snapshot_term = initial->snapshot_term;
  rc = ab_wal_open (&options, &storage->wal, &loaded->log, error);
  initial->members = loaded->members;
  initial->entries = loaded->log.entries;
  initial->entry_count = loaded->log.count;
  return rc;
}

static int
open_folder (struct ab_storage *storage, const struct ab_raft_member *members,
             size_t member_count, struct ab_storage_content *content,
             char *error)
{
  struct ab_identity identity;
  int rc = lock_folder (storage, error);

  if (rc < 0)
    return rc;
  rc = ab_identity_read (storage->files, storage->folder, &identity, error);
  if (rc < 0 && rc != AB_ERR_NOT_FOUND)
    return rc;
  content->fresh = rc == AB_ERR_NOT_FOUND;
  rc = load_files (storage, content->fresh, content, error);
  if (rc == 0 && content->fresh)
    rc = check_unused (storage, content, error);
  if (rc == 0 && content->fresh)
    rc = create_identity (storage, members, member_count, &identity);
  if (rc < 0)
    return rc;
  memcpy (content->disk_id, identity.disk_id, AB_DISK_ID_BYTES);
  if (content->initial_state.snapshot_index == 0)
    {
      memcpy (content->loaded->members, identity.members,
              sizeof identity.members);
      content->initial_state.member_count = identity.member_count;
    }
  return 0;
}

int
ab_storage_open_with (struct ab_files *files, uint64_t segment_bytes,
                      const char *folder, const struct ab_raft_member *members,
                      size_t member_count, struct ab_storage **out,
                      struct ab_storage_content *content,
                      char error[AB_CONF_ERROR_BYTES])
{
  struct ab_storage *storage = calloc (1, sizeof *storage);
  int rc = AB_ERR_MEMORY;

  memset (content, 0, sizeof *content);
  error[0] = '\0';
  content->loaded = calloc (1, sizeof *content->loaded);
  if (!storage)
    goto out;
  storage->files = files;
  storage->segment_bytes = segment_bytes;
  storage->lock = -1;
  if (!content->loaded)
    goto out;
  rc = AB_ERR_TOO_LARGE;
  if (member_count > AB_RAFT_MEMBERS_MAX
      || !ab_chunk_copy (ab_chunk_str (folder), storage->folder,
                         sizeof storage->folder - 64))
    goto out;
  rc = open_folder (storage, members, member_count, content, error);
out:
  if (rc < 0)
    {
      if (error[0] == '\0')
        snprintf (error, AB_CONF_ERROR_BYTES, "%.300s: %s", folder,
                  ab_strerror (rc));
      ab_storage_content_free (content);
      ab_storage_close (storage);
      return rc;
    }
  *out = storage;
  return 0;
}

int
ab_storage_open (const char *folder, const struct ab_raft_member *members,
                 size_t member_count, struct ab_storage **storage,
                 struct ab_storage_content *content,
                 char error[AB_CONF_ERROR_BYTES])
{
  return ab_storage_open_with (ab_files_system (), AB_WAL_SEGMENT_BYTES,
                               folder, members, member_count, storage, content,
                               error);
}

void
ab_storage_content_free (struct ab_storage_content *content)
{
  if (content->loaded)
    ab_wal_content_free (&content->loaded->log);
  free (content->loaded);
  ab_buf_free (&content->snapshot_data);
  memset (content, 0, sizeof *content);
}

void
ab_storage_close (struct ab_storage *storage)
{
  if (!storage)
    return;
  ab_wal_close (storage->wal);
  if (storage->lock >= 0)
    storage->files->ops->close (storage->files, storage->lock);
  free (storage);
}

int
ab_storage_save_vote (struct ab_storage *storage,
                      const struct ab_raft_hard_state *state)
{
  if (storage->failed)
    return storage->failed;
  return record_result (
      storage, ab_vote_write (storage->files, storage->folder, state));
}

int
ab_storage_append (struct ab_storage *storage,
                   const struct ab_raft_entry *entries, size_t count)
{
  if (storage->failed)
    return storage->failed;
  return record_result (storage, ab_wal_append (storage->wal, entries, count));
}

int
ab_storage_truncate (struct ab_storage *storage, uint64_t first_index)
{
  if (storage->failed)
    return storage->failed;
  return record_result (storage, ab_wal_truncate (storage->wal, first_index));
}

int
ab_storage_sync (struct ab_storage *storage)
{
  if (storage->failed)
    return storage->failed;
  return record_result (storage, ab_wal_sync (storage->wal));
}

int
ab_storage_save_snapshot (struct ab_storage *storage, uint64_t index,
                          uint64_t term, const struct ab_raft_member *members,
                          size_t member_count, struct ab_chunk data)
{
  struct ab_snapshot snapshot
      = { .index = index, .term = term, .member_count = member_count };
  int rc;

  if (storage->failed)
    return storage->failed;
  if (member_count > AB_RAFT_MEMBERS_MAX)
    return AB_ERR_TOO_LARGE;
  if (index < storage->snapshot_index)
    return AB_ERR_STALE;
  memcpy (snapshot.members, members, member_count * sizeof *members);
  rc = ab_snapshot_write (storage->files, storage->folder, &snapshot, data);
  if (rc < 0)
    return record_result (storage, rc);
  storage->snapshot_index = index;
  storage->snapshot_term = term;
  return record_result (storage,
                        ab_wal_drop_covered (storage->wal, index, term));
}

int
ab_storage_load_snapshot (struct ab_storage *storage, uint64_t *index,
                          uint64_t *term, struct ab_buf *data)
{
  struct ab_snapshot snapshot;
  char error[AB_CONF_ERROR_BYTES];
  int rc = ab_snapshot_read (storage->files, storage->folder, &snapshot, data,
                             error);

  *index = snapshot.index;
  *term = snapshot.term;
  return rc;
}

int
ab_storage_reset_log (struct ab_storage *storage, uint64_t next_index)
{
  if (storage->failed)
    return storage->failed;
  if (next_index != storage->snapshot_index + 1)
    return AB_ERR_INVALID;
  /* After a failure the log is in an unknown state.  */
  if (ab_wal_reset (storage->wal, next_index, storage->snapshot_term) < 0)
    storage->failed = AB_ERR_IO;
  return storage->failed;
}
