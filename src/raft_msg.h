/* Messages between the members of a consensus group, as msgpack arrays.  */

#ifndef AB_RAFT_MSG_H
#define AB_RAFT_MSG_H

#include "pack.h"
#include "raft.h"

#define AB_RAFT_MSG_ENTRIES_MAX 1024

/* Entries in one message; a single larger entry still goes alone.  */
#define AB_RAFT_MSG_ENTRY_BYTES (256 * 1024)

/* Bytes of a snapshot in one message, well below the 1 MiB of a frame.  */
#define AB_RAFT_PIECE_BYTES (256 * 1024)

/* Largest snapshot that a member assembles.  */
#define AB_RAFT_SNAPSHOT_BYTES_MAX ((size_t)512 * 1024 * 1024)

enum ab_raft_msg_type
{
  AB_RAFT_MSG_PRE_VOTE,
  AB_RAFT_MSG_PRE_VOTE_REPLY,
  AB_RAFT_MSG_VOTE,
  AB_RAFT_MSG_VOTE_REPLY,
  AB_RAFT_MSG_APPEND,
  AB_RAFT_MSG_APPEND_REPLY,
  AB_RAFT_MSG_SNAPSHOT,
  AB_RAFT_MSG_SNAPSHOT_REPLY,
  AB_RAFT_MSG_TYPE_COUNT
};

struct ab_raft_msg
{
  enum ab_raft_msg_type type;
  uint64_t term;
  uint8_t disk_id[AB_DISK_ID_BYTES]; /* Of the sender.  */
  /* The receiver's disk by the sender's configuration; zero: not known.  */
  uint8_t receiver_disk_id[AB_DISK_ID_BYTES];
  /* Requests for a vote: the last entry.  Append: the entry before the first
     one sent.  Snapshot: its place.  Replies: the index that matched, or for
     a refused append the index of the entry that did not.  */
  uint64_t index;
  uint64_t log_term;
  uint64_t commit;
  uint64_t round; /* Of read confirmations, echoed by replies.  */
  bool ok;
  bool full; /* The receiver's disk is full.  */
  /* A refused append: the receiver's term at INDEX (0: its log is shorter)
     and where that term begins.  */
  uint64_t hint_index;
  uint64_t hint_term;
  uint64_t offset; /* Of a snapshot's piece; in replies what is wanted.  */
  uint64_t total;  /* Bytes of the snapshot.  */
  struct ab_chunk data;
  struct ab_raft_entry *entries; /* Indexes from INDEX + 1 on.  */
  size_t entry_count;
  struct ab_raft_member *members; /* Of a snapshot.  */
  size_t member_count;
};

/* Appends the encoding of MSG to OUT.  AB_ERR_MEMORY.  */
int ab_raft_msg_encode (const struct ab_raft_msg *msg, struct ab_buf *out);

/* Decodes INPUT into MSG; its chunks point into READER.  On success free both
   with ab_raft_msg_free.  AB_ERR_CORRUPT, AB_ERR_TOO_LARGE, AB_ERR_MEMORY.  */
int ab_raft_msg_decode (struct ab_chunk input, struct ab_reader *reader,
                        struct ab_raft_msg *msg);
void ab_raft_msg_free (struct ab_raft_msg *msg, struct ab_reader *reader);

/* A list of members, also the content of a CONFIG entry.  */
void ab_raft_members_pack (struct ab_buf *out,
                           const struct ab_raft_member *members, size_t count);

/* Decodes DATA into MEMBERS, AB_RAFT_MEMBERS_MAX items.  */
int ab_raft_members_decode (struct ab_chunk data,
                            struct ab_raft_member *members, size_t *count);

#endif
