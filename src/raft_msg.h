/* Messages between the members of a consensus group, encoded as msgpack
   arrays.  No I/O.  */

#ifndef AB_RAFT_MSG_H
#define AB_RAFT_MSG_H

#include "pack.h"
#include "raft.h"

/* Largest number of entries in one message.  */
#define AB_RAFT_MSG_ENTRIES_MAX 1024

/* Bytes of entries in one message; a single larger entry is sent alone.  */
#define AB_RAFT_MSG_ENTRY_BYTES (256 * 1024)

/* Bytes of a snapshot in one message, well below the limit of 1 MiB a
   frame.  */
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
  uint8_t disk_id[AB_DISK_ID_BYTES]; /* Disk id of the sender.  */
  /* Disk id of the receiver in the sender's configuration; zero means not
     known.  */
  uint8_t receiver_disk_id[AB_DISK_ID_BYTES];
  /* Vote request: the sender's last entry.  Append: the entry before the first
     one sent.  Snapshot: its last entry.  Reply: the index that matched, or
     for a rejected append the index of the entry that did not.  */
  uint64_t index;
  uint64_t log_term;
  uint64_t commit;
  uint64_t round; /* Heartbeat round that confirms reads; replies echo it.  */
  /* Replies: the vote was granted, the append matched or the snapshot is
     stored.  */
  bool ok;
  bool full; /* The receiver's disk is full.  */
  /* Vote replies: the sender has neither members nor a log.  If it was one of
     the first members, it has lost its disk.  */
  bool blank;
  /* Reply to a rejected append: the receiver's term at INDEX (0 when its log
     is shorter) and the first index of that term.  */
  uint64_t hint_index;
  uint64_t hint_term;
  /* Offset of the snapshot piece; in replies, the offset wanted next.  */
  uint64_t offset;
  uint64_t total; /* Size of the whole snapshot in bytes.  */
  struct ab_chunk data;
  /* Entries with the indexes INDEX + 1 and following.  */
  struct ab_raft_entry *entries;
  size_t entry_count;
  struct ab_raft_member *members; /* Members at the snapshot.  */
  size_t member_count;
};

/* Appends the encoding of MSG to OUT.  AB_ERR_MEMORY.  */
int ab_raft_msg_encode (const struct ab_raft_msg *msg, struct ab_buf *out);

/* Decodes INPUT into MSG, whose chunks point into READER.  On success free
   both with ab_raft_msg_free.  AB_ERR_CORRUPT, AB_ERR_TOO_LARGE,
   AB_ERR_MEMORY.  */
int ab_raft_msg_decode (struct ab_chunk input, struct ab_reader *reader,
                        struct ab_raft_msg *msg);
void ab_raft_msg_free (struct ab_raft_msg *msg, struct ab_reader *reader);

/* Appends the encoding of a list of members to OUT; it is also the data of a
   CONFIG entry.  */
void ab_raft_members_pack (struct ab_buf *out,
                           const struct ab_raft_member *members, size_t count);

/* Decodes DATA into MEMBERS, an array of AB_RAFT_MEMBERS_MAX items.
   AB_ERR_CORRUPT, AB_ERR_MEMORY.  */
int ab_raft_members_decode (struct ab_chunk data,
                            struct ab_raft_member *members, size_t *count);

#endif
