#include "raft_msg.h"

#include <stdlib.h>

#include "error.h"

#define FLAG_BLANK 1

void
ab_raft_members_pack (struct ab_buf *out, const struct ab_raft_member *members,
                      size_t count)
{
  ab_pack_array (out, count);
  for (size_t i = 0; i < count; i++)
    {
      ab_pack_array (out, 4);
      ab_pack_bytes (out, ab_chunk_str (members[i].host));
      ab_pack_bytes (out, ab_chunk_str (members[i].address));
      ab_pack_bytes (out, ab_chunk (members[i].disk_id, AB_DISK_ID_BYTES));
      ab_pack_bool (out, members[i].learner);
    }
}

static size_t
read_members (struct ab_reader *reader, struct ab_raft_member *members)
{
  size_t count = ab_reader_enter (reader, AB_RAFT_MEMBERS_MAX);

  for (size_t i = 0; i < count; i++)
    {
      struct ab_raft_member *member = &members[i];
      ab_reader_enter (reader, 8);
      ab_reader_str (reader, member->host, sizeof member->host);
      ab_reader_str (reader, member->address, sizeof member->address);
      ab_reader_fixed_bytes (reader, member->disk_id, AB_DISK_ID_BYTES);
      member->learner = ab_reader_bool (reader);
      ab_reader_leave (reader);
    }
  ab_reader_leave (reader);
  return count;
}

int
ab_raft_members_decode (struct ab_chunk data, struct ab_raft_member *members,
                        size_t *count)
{
  struct ab_reader reader;
  int rc = ab_reader_init (&reader, data);

  memset (members, 0, AB_RAFT_MEMBERS_MAX * sizeof *members);
  *count = 0;
  if (rc == 0)
    {
      *count = read_members (&reader, members);
      rc = ab_reader_error (&reader);
    }
  ab_reader_free (&reader);
  return rc;
}

int
ab_raft_msg_encode (const struct ab_raft_msg *msg, struct ab_buf *out)
{
  ab_pack_array (out, 16);
  ab_pack_u64 (out, msg->type);
  ab_pack_u64 (out, msg->term);
  ab_pack_bytes (out, ab_chunk (msg->disk_id, AB_DISK_ID_BYTES));
  ab_pack_bytes (out, ab_chunk (msg->receiver_disk_id, AB_DISK_ID_BYTES));
  ab_pack_u64 (out, msg->index);
  ab_pack_u64 (out, msg->log_term);
  ab_pack_u64 (out, msg->commit);
  ab_pack_u64 (out, msg->round);
  ab_pack_bool (out, msg->ok);
  ab_pack_bool (out, msg->full);
  ab_pack_u64 (out, msg->hint_index);
  ab_pack_u64 (out, msg->hint_term);
  ab_pack_array (out, 3);
  ab_pack_u64 (out, msg->offset);
  ab_pack_u64 (out, msg->total);
  ab_pack_bytes (out, msg->data);
  ab_pack_array (out, msg->entry_count);
  for (size_t i = 0; i < msg->entry_count; i++)
    {
      ab_pack_array (out, 3);
      ab_pack_u64 (out, msg->entries[i].term);
      ab_pack_u64 (out, msg->entries[i].kind);
      ab_pack_bytes (out, msg->entries[i].data);
    }
  ab_raft_members_pack (out, msg->members, msg->member_count);
  ab_pack_u64 (out, msg->blank ? FLAG_BLANK : 0);
  return out->error;
}

static int
read_entries (struct ab_reader *reader, struct ab_raft_msg *msg)
{
  size_t count = ab_reader_enter (reader, AB_RAFT_MSG_ENTRIES_MAX);

  if (count > 0)
    {
      msg->entries = calloc (count, sizeof *msg->entries);
      if (!msg->entries)
        return AB_ERR_MEMORY;
    }
  msg->entry_count = count;
  for (size_t i = 0; i < count; i++)
    {
      uint64_t kind;
      ab_reader_enter (reader, 8);
      msg->entries[i].index = msg->index + 1 + i;
      msg->entries[i].term = ab_reader_u64 (reader);
      kind = ab_reader_u64 (reader);
      msg->entries[i].data = ab_reader_bytes (reader, AB_RAFT_ENTRY_BYTES_MAX);
      ab_reader_leave (reader);
      if (kind > AB_RAFT_ENTRY_CONFIG)
        return AB_ERR_CORRUPT;
      msg->entries[i].kind = (enum ab_raft_entry_kind)kind;
    }
  ab_reader_leave (reader);
  return 0;
}

static int
read_fields (struct ab_reader *reader, struct ab_raft_msg *msg)
{
  uint64_t type;
  int rc;

  ab_reader_enter (reader, 32);
  type = ab_reader_u64 (reader);
  msg->term = ab_reader_u64 (reader);
  ab_reader_fixed_bytes (reader, msg->disk_id, AB_DISK_ID_BYTES);
  ab_reader_fixed_bytes (reader, msg->receiver_disk_id, AB_DISK_ID_BYTES);
  msg->index = ab_reader_u64 (reader);
  msg->log_term = ab_reader_u64 (reader);
  msg->commit = ab_reader_u64 (reader);
  msg->round = ab_reader_u64 (reader);
  msg->ok = ab_reader_bool (reader);
  msg->full = ab_reader_bool (reader);
  msg->hint_index = ab_reader_u64 (reader);
  msg->hint_term = ab_reader_u64 (reader);
  ab_reader_enter (reader, 8);
  msg->offset = ab_reader_u64 (reader);
  msg->total = ab_reader_u64 (reader);
  msg->data = ab_reader_bytes (reader, AB_RAFT_PIECE_BYTES);
  ab_reader_leave (reader);
  rc = read_entries (reader, msg);
  if (rc < 0)
    return rc;
  msg->members = calloc (AB_RAFT_MEMBERS_MAX, sizeof *msg->members);
  if (!msg->members)
    return AB_ERR_MEMORY;
  msg->member_count = read_members (reader, msg->members);
  msg->blank = ab_reader_u64 (reader) & FLAG_BLANK;
  if (type >= AB_RAFT_MSG_TYPE_COUNT)
    return AB_ERR_CORRUPT;
  msg->type = (enum ab_raft_msg_type)type;
  return ab_reader_error (reader);
}

int
ab_raft_msg_decode (struct ab_chunk input, struct ab_reader *reader,
                    struct ab_raft_msg *msg)
{
  int rc = ab_reader_init (reader, input);

  memset (msg, 0, sizeof *msg);
  if (rc == 0)
    rc = read_fields (reader, msg);
  if (rc < 0)
    ab_raft_msg_free (msg, reader);
  return rc;
}

void
ab_raft_msg_free (struct ab_raft_msg *msg, struct ab_reader *reader)
{
  free (msg->entries);
  free (msg->members);
  memset (msg, 0, sizeof *msg);
  ab_reader_free (reader);
}
