#include "state_file.h"

#include <limits.h>
#include <stdio.h>

#include "error.h"
#include "raft_msg.h"
#include "wal_record.h"

#define MAGIC_BYTES 8
#define SMALL_FILE_BYTES_MAX ((size_t)64 * 1024)

/* Layout of a file: magic, length of the head (8 bytes), checksum of head and
   body, head (msgpack), body.  */
#define PREFIX_BYTES (MAGIC_BYTES + 8 + AB_WAL_CHECKSUM_BYTES)

struct file_kind
{
  char magic[MAGIC_BYTES];
  const char *name;
  size_t bytes_max;
};

static const struct file_kind identity_kind
    = { "ABIDENT", "identity", SMALL_FILE_BYTES_MAX };
static const struct file_kind vote_kind
    = { "ABVOTE1", "vote", SMALL_FILE_BYTES_MAX };
static const struct file_kind snapshot_kind
    = { "ABSNAP1", "snapshot", AB_SNAPSHOT_FILE_BYTES_MAX };

static int
write_file (struct ab_files *files, const char *folder,
            const struct file_kind *kind, struct ab_chunk head,
            struct ab_chunk body)
{
  uint8_t prefix[PREFIX_BYTES] = { 0 };
  struct ab_chunk parts[3] = { ab_chunk (prefix, sizeof prefix), head, body };

  memcpy (prefix, kind->magic, MAGIC_BYTES);
  ab_put_u64 (prefix + MAGIC_BYTES, head.len);
  ab_checksum (head, body, prefix + MAGIC_BYTES + 8);
  return ab_file_replace (files, folder, kind->name, parts, 3);
}

static int
verify_file (const struct file_kind *kind, struct ab_chunk file,
             struct ab_chunk *head, struct ab_chunk *body)
{
  uint8_t checksum[AB_WAL_CHECKSUM_BYTES];
  uint64_t head_bytes;

  if (file.len < PREFIX_BYTES
      || memcmp (file.data, kind->magic, MAGIC_BYTES) != 0)
    return AB_ERR_CORRUPT;
  head_bytes = ab_get_u64 (file.data + MAGIC_BYTES);
  if (head_bytes > file.len - PREFIX_BYTES)
    return AB_ERR_CORRUPT;
  *head = ab_chunk (file.data + PREFIX_BYTES, (size_t)head_bytes);
  *body = ab_chunk (head->data + head_bytes,
                    file.len - PREFIX_BYTES - (size_t)head_bytes);
  ab_checksum (*head, *body, checksum);
  return memcmp (checksum, file.data + MAGIC_BYTES + 8, sizeof checksum) == 0
             ? 0
             : AB_ERR_CORRUPT;
}

static int
read_file (struct ab_files *files, const char *folder,
           const struct file_kind *kind, struct ab_buf *file,
           struct ab_chunk *head, struct ab_chunk *body, char *error)
{
  char path[PATH_MAX];
  int rc;

  if (snprintf (path, sizeof path, "%s/%s", folder, kind->name)
      >= (int)sizeof path)
    return AB_ERR_TOO_LARGE;
  rc = ab_file_read_all (files, path, kind->bytes_max, file);
  if (rc == 0)
    rc = verify_file (kind, ab_buf_chunk (file), head, body);
  if (rc == AB_ERR_CORRUPT)
    snprintf (error, AB_CONF_ERROR_BYTES,
              "%.300s: offset 0: the checksum does not match", path);
  else if (rc < 0 && rc != AB_ERR_NOT_FOUND)
    snprintf (error, AB_CONF_ERROR_BYTES, "%.300s: cannot read: %s", path,
              ab_strerror (rc));
  return rc;
}

int
ab_identity_read (struct ab_files *files, const char *folder,
                  struct ab_identity *identity,
                  char error[AB_CONF_ERROR_BYTES])
{
  struct ab_buf file = AB_BUF_INIT;
  struct ab_chunk head;
  struct ab_chunk body;
  int rc
      = read_file (files, folder, &identity_kind, &file, &head, &body, error);

  if (rc == 0)
    rc = ab_raft_members_decode (head, identity->members,
                                 &identity->member_count);
  if (rc == 0 && body.len != AB_DISK_ID_BYTES)
    rc = AB_ERR_CORRUPT;
  if (rc == 0)
    memcpy (identity->disk_id, body.data, AB_DISK_ID_BYTES);
  ab_buf_free (&file);
  return rc;
}

int
ab_identity_write (struct ab_files *files, const char *folder,
                   const struct ab_identity *identity)
{
  struct ab_buf head = AB_BUF_INIT;
  int rc;

  ab_raft_members_pack (&head, identity->members, identity->member_count);
  rc = head.error;
  if (rc == 0)
    rc = write_file (files, folder, &identity_kind, ab_buf_chunk (&head),
                     ab_chunk (identity->disk_id, AB_DISK_ID_BYTES));
  ab_buf_free (&head);
  return rc;
}

int
ab_vote_read (struct ab_files *files, const char *folder,
              struct ab_raft_hard_state *state,
              char error[AB_CONF_ERROR_BYTES])
{
  struct ab_buf file = AB_BUF_INIT;
  struct ab_reader reader;
  struct ab_chunk head;
  struct ab_chunk body;
  int rc = read_file (files, folder, &vote_kind, &file, &head, &body, error);

  memset (state, 0, sizeof *state);
  if (rc == 0)
    {
      ab_reader_init (&reader, head);
      ab_reader_enter (&reader, 8);
      state->term = ab_reader_u64 (&reader);
      ab_reader_str (&reader, state->voted_for, sizeof state->voted_for);
      rc = ab_reader_error (&reader);
      ab_reader_free (&reader);
    }
  ab_buf_free (&file);
  return rc;
}

int
ab_vote_write (struct ab_files *files, const char *folder,
               const struct ab_raft_hard_state *state)
{
  struct ab_buf head = AB_BUF_INIT;
  int rc;

  ab_pack_array (&head, 2);
  ab_pack_u64 (&head, state->term);
  ab_pack_bytes (&head, ab_chunk_str (state->voted_for));
  rc = head.error;
  if (rc == 0)
    rc = write_file (files, folder, &vote_kind, ab_buf_chunk (&head),
                     ab_chunk (NULL, 0));
  ab_buf_free (&head);
  return rc;
}

int
ab_snapshot_read (struct ab_files *files, const char *folder,
                  struct ab_snapshot *snapshot, struct ab_buf *data,
                  char error[AB_CONF_ERROR_BYTES])
{
  struct ab_buf file = AB_BUF_INIT;
  struct ab_reader reader;
  struct ab_chunk head;
  struct ab_chunk body;
  int rc
      = read_file (files, folder, &snapshot_kind, &file, &head, &body, error);

  memset (snapshot, 0, sizeof *snapshot);
  if (rc == 0)
    {
      struct ab_chunk members;
      ab_reader_init (&reader, head);
      ab_reader_enter (&reader, 8);
      snapshot->index = ab_reader_u64 (&reader);
      snapshot->term = ab_reader_u64 (&reader);
      members = ab_reader_bytes (&reader, SMALL_FILE_BYTES_MAX);
      rc = ab_reader_error (&reader);
      if (rc == 0)
        rc = ab_raft_members_decode (members, snapshot->members,
                                     &snapshot->member_count);
      ab_reader_free (&reader);
    }
  if (rc == 0)
    rc = ab_buf_append_chunk (data, body);
  ab_buf_free (&file);
  return rc;
}

int
ab_snapshot_write (struct ab_files *files, const char *folder,
                   const struct ab_snapshot *snapshot, struct ab_chunk data)
{
  struct ab_buf members = AB_BUF_INIT;
  struct ab_buf head = AB_BUF_INIT;
  int rc;

  ab_raft_members_pack (&members, snapshot->members, snapshot->member_count);
  ab_pack_array (&head, 3);
  ab_pack_u64 (&head, snapshot->index);
  ab_pack_u64 (&head, snapshot->term);
  ab_pack_bytes (&head, ab_buf_chunk (&members));
  rc = members.error ? members.error : head.error;
  if (rc == 0)
    rc = write_file (files, folder, &snapshot_kind, ab_buf_chunk (&head),
                     data);
  ab_buf_free (&members);
  ab_buf_free (&head);
  return rc;
}
