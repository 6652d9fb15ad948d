/* Declarations shared by the source files of the consensus core; not for users
   of raft.h.

   raft.c holds the public functions, raft_member.c the configuration and its
   quorums, raft_election.c elections, raft_leader.c replication and reads,
   raft_follower.c the receiving side of replication, raft_snapshot.c the
   transfer of snapshots in pieces.  */

#ifndef AB_RAFT_INTERNAL_H
#define AB_RAFT_INTERNAL_H

#include "raft.h"
#include "raft_log.h"
#include "raft_msg.h"

/* Unacknowledged append messages per member.  At 20 ms between regions and 256
   KiB a message, this allows about 50 MB/s to a member.  */
#define AB_RAFT_IN_FLIGHT_MAX 8

/* Entries before the snapshot that stay in memory, so that a member that lags
   a little does not need the snapshot.  */
#define AB_RAFT_RETAINED_ENTRIES 1000
#define AB_RAFT_RETAINED_BYTES ((size_t)4 * 1024 * 1024)

/* Bytes of entries that stay in memory while a snapshot is being sent: the
   receiver needs the entries that follow the snapshot; without them the
   transfer would have to start again with a newer snapshot.  */
#define AB_RAFT_RETAINED_BYTES_SENDING ((size_t)64 * 1024 * 1024)

/* Unacknowledged pieces of a snapshot per member.  */
#define AB_RAFT_PIECES_IN_FLIGHT 4

/* Largest number of reads that wait for confirmation.  */
#define AB_RAFT_READS_MAX 65536

enum ab_raft_role
{
  AB_RAFT_FOLLOWER,
  AB_RAFT_PRE_CANDIDATE,
  AB_RAFT_CANDIDATE,
  AB_RAFT_LEADER
};

enum ab_raft_progress_state
{
  /* One message at a time until the matching index is known.  */
  AB_RAFT_PROBE,
  AB_RAFT_REPLICATE, /* Messages are sent without waiting for replies.  */
  AB_RAFT_SNAPSHOT   /* A snapshot is being sent.  */
};

/* State kept for each other member of the configuration; reset when the
   member's disk changes.  */
struct ab_raft_peer
{
  char host[AB_NAME_BYTES];
  uint8_t disk_id[AB_DISK_ID_BYTES];
  /* Disk id in the member's last granted vote.  */
  uint8_t vote_disk_id[AB_DISK_ID_BYTES];
  bool granted; /* It granted its vote in the current election.  */
  bool blank;   /* It had neither members nor a log when it did.  */
  bool paused;  /* No entries are sent until a reply or a heartbeat.  */
  /* The last reply came from another disk than the recorded one.  */
  bool disk_mismatch;
  enum ab_raft_progress_state state;
  /* Highest index known to be stored by the member, and the next to send.  */
  uint64_t match;
  uint64_t next;
  /* Last index of each message, ascending.  */
  uint64_t in_flight[AB_RAFT_IN_FLIGHT_MAX];
  size_t in_flight_count;
  uint64_t commit_sent;
  uint64_t heard_ms;
  /* Newest heartbeat round that the member has acknowledged.  */
  uint64_t acked_round;
  uint64_t snapshot_offset; /* Bytes that the member has acknowledged.  */
  uint64_t snapshot_next;   /* Offset of the next piece to send.  */
  uint64_t snapshot_sent_ms;
};

struct ab_raft_outgoing
{
  char to[AB_NAME_BYTES];
  struct ab_buf message;
};

struct ab_raft_pending_read
{
  uint64_t request;
  uint64_t index; /* Index that must be applied before the read completes.  */
  /* Heartbeat round that must be acknowledged by a quorum.  */
  uint64_t round;
};

struct ab_raft_configuration
{
  struct ab_raft_member members[AB_RAFT_MEMBERS_MAX];
  size_t count;
  uint64_t index; /* Index of the CONFIG entry, or of the snapshot.  */
};

struct ab_raft
{
  char host[AB_NAME_BYTES];
  uint8_t disk_id[AB_DISK_ID_BYTES];
  uint64_t heartbeat_ms;
  uint64_t election_ms;
  struct ab_rng *rng;
  struct ab_raft_io *io;

  enum ab_raft_role role;
  struct ab_raft_hard_state hard_state;
  char leader_host[AB_NAME_BYTES];
  int failed;     /* Error that stopped this member; 0 while it runs.  */
  bool disk_full; /* The last write was refused for lack of room.  */
  uint64_t full_since_ms; /* Since when entries of the leader are refused.  */
  /* No campaign before this time: a leader that cannot write stops the
     group.  */
  uint64_t no_campaign_until_ms;
  /* The leader's configuration has another disk for this host.  */
  bool disk_replaced;
  /* This member may have helped a leader to its election, or led itself,
     perhaps before it was restarted.  */
  bool has_voted;

  struct ab_raft_log log;
  uint64_t snapshot_index;
  uint64_t snapshot_term;
  uint64_t commit;
  uint64_t applied;
  uint64_t stable; /* Last index that is synced to disk.  */
  bool dirty;      /* Data was written since the last sync.  */
  struct ab_raft_configuration snapshot_members;
  /* Newest configuration in the log; it may not be committed yet.  */
  struct ab_raft_configuration members;

  uint64_t election_deadline_ms;
  uint64_t leader_heard_ms;
  uint64_t next_heartbeat_ms;
  uint64_t quorum_heard_ms;
  /* Leader: index of its first entry in this term.  */
  uint64_t term_start_index;
  /* Number of the last heartbeat round sent.  */
  uint64_t round;
  bool round_wanted; /* A read waits for a round that is not sent yet.  */

  struct ab_raft_peer peers[AB_RAFT_MEMBERS_MAX];
  size_t peer_count;

  struct ab_raft_pending_read *reads;
  size_t read_count;
  size_t read_cap;

  struct ab_raft_outgoing *outbox;
  size_t out_count;
  size_t out_cap;

  /* The snapshot being sent and the one being received; index 0 means
     none.  */
  struct ab_buf out_snapshot;
  uint64_t out_snapshot_index;
  uint64_t out_snapshot_term;
  struct ab_raft_configuration out_snapshot_members;
  struct ab_buf in_snapshot;
  uint64_t in_snapshot_index;
  uint64_t in_snapshot_term;
};

/* raft.c */
/* Stops this member for good with the error RC, and returns the error that
   stopped it first.  */
int ab_raft_fail (struct ab_raft *raft, int rc);
/* Queues MSG until the next flush has synced the writes before it.  */
void ab_raft_queue_message (struct ab_raft *raft, const char *to,
                            struct ab_raft_msg *msg);
/* Sends MSG at once; only for messages that depend on no unsynced write.  */
void ab_raft_send_now (struct ab_raft *raft, const char *to,
                       struct ab_raft_msg *msg);
/* Appends ENTRIES to storage and to the log in memory.  AB_ERR_FULL leaves
   both unchanged.  */
int ab_raft_append (struct ab_raft *raft, const struct ab_raft_entry *entries,
                    size_t count);
/* Appends a new entry of the current term, at the leader.  */
int ab_raft_append_new (struct ab_raft *raft, enum ab_raft_entry_kind kind,
                        struct ab_chunk data, uint64_t *index);
/* Saves term and vote durably.  */
int ab_raft_save_hard_state (struct ab_raft *raft, uint64_t term,
                             const char *voted_for);
/* Sets the election deadline to a random time, one to two election timeouts
   from NOW_MS.  */
void ab_raft_reset_election_timer (struct ab_raft *raft, uint64_t now_ms);
/* Completes all pending reads with AB_ERR_NOT_LEADER.  */
void ab_raft_fail_reads (struct ab_raft *raft);

/* raft_member.c */
/* Whether DISK_ID is set, that is, not all zeros.  */
bool ab_raft_disk_known (const uint8_t disk_id[AB_DISK_ID_BYTES]);
struct ab_raft_member *ab_raft_find_member (struct ab_raft_configuration *c,
                                            const char *host);
struct ab_raft_peer *ab_raft_find_peer (struct ab_raft *raft,
                                        const char *host);
/* Whether this member is a voter, runs on the recorded disk and has not
   failed.  */
bool ab_raft_self_can_vote (const struct ab_raft *raft);
/* Whether the disk ids of all voters are recorded.  */
bool ab_raft_disks_all_known (const struct ab_raft *raft);
/* Sets the current configuration to the newest one in the log, or else to the
   snapshot's.  */
int ab_raft_reload_members (struct ab_raft *raft);
/* Sets *C to the configuration in force at INDEX.  */
int ab_raft_members_at (const struct ab_raft *raft, uint64_t index,
                        struct ab_raft_configuration *c);
void ab_raft_update_peers (struct ab_raft *raft);
/* Returns the largest value that a majority of voters has reached.  VALUE
   returns that of another voter, SELF_VALUE is this member's.  */
uint64_t
ab_raft_quorum_value (const struct ab_raft *raft, uint64_t self_value,
                      uint64_t (*value) (const struct ab_raft_peer *));
/* Appends a CONFIG entry with the members of C.  */
int ab_raft_append_members (struct ab_raft *raft,
                            const struct ab_raft_configuration *c);
int ab_raft_record_voter_disks (struct ab_raft *raft);
/* Appends a CONFIG entry that records the disk id of a learner, when it is not
   known yet and a change is allowed.  */
void ab_raft_record_learner_disk (struct ab_raft *raft, const char *host,
                                  const uint8_t disk_id[AB_DISK_ID_BYTES]);

/* raft_election.c */
/* Becomes a follower of LEADER, which is empty when the leader is not
   known.  */
void ab_raft_become_follower (struct ab_raft *raft, uint64_t now_ms,
                              const char *leader);
/* Adopts TERM and becomes a follower when TERM is newer than the current
   one.  */
int ab_raft_adopt_term (struct ab_raft *raft, uint64_t now_ms, uint64_t term);
/* Starts a pre-vote if PRE, otherwise an election in a new term.  */
/* Gives up leadership or a campaign because the disk is full, and starts none
   for some time.  */
void ab_raft_resign_full (struct ab_raft *raft, uint64_t now_ms);
void ab_raft_campaign (struct ab_raft *raft, uint64_t now_ms, bool pre);
void ab_raft_handle_vote (struct ab_raft *raft, uint64_t now_ms,
                          const char *from, const struct ab_raft_msg *msg);
void ab_raft_handle_vote_reply (struct ab_raft *raft, uint64_t now_ms,
                                const char *from,
                                const struct ab_raft_msg *msg);

/* raft_leader.c */
/* Becomes the leader and appends the first entry of the term.  */
void ab_raft_become_leader (struct ab_raft *raft, uint64_t now_ms);
/* Sends an empty append message to every member.  Entries are sent only by
   replicate_to, and not to a member that has not replied for long.  */
void ab_raft_send_heartbeats (struct ab_raft *raft, uint64_t now_ms);
/* Steps down without contact with a majority; otherwise sends heartbeats when
   they are due.  */
void ab_raft_leader_tick (struct ab_raft *raft, uint64_t now_ms);
/* Sends the members the entries and commit indexes that they lack.  */
void ab_raft_replicate (struct ab_raft *raft, uint64_t now_ms);
/* Advances the commit index to what a majority has stored.  */
void ab_raft_advance_commit (struct ab_raft *raft);
void ab_raft_handle_append_reply (struct ab_raft *raft, uint64_t now_ms,
                                  const char *from,
                                  const struct ab_raft_msg *msg);
/* Completes the reads whose round and index are reached.  */
void ab_raft_confirm_reads (struct ab_raft *raft);
/* Updates the time of the last contact with a majority.  */
void ab_raft_update_quorum_heard (struct ab_raft *raft, uint64_t now_ms);

/* raft_follower.c */
void ab_raft_handle_append (struct ab_raft *raft, uint64_t now_ms,
                            const char *from, const struct ab_raft_msg *msg);
/* Accepts FROM as the leader of MSG's term and returns true; sends a rejection
   when the term is outdated.  */
bool ab_raft_accept_leader (struct ab_raft *raft, uint64_t now_ms,
                            const char *from, const struct ab_raft_msg *msg);

/* raft_snapshot.c */
void ab_raft_send_snapshot (struct ab_raft *raft, uint64_t now_ms,
                            struct ab_raft_peer *peer);
/* Whether the outgoing snapshot is being sent to some member.  */
bool ab_raft_sending_snapshot (const struct ab_raft *raft);
/* Frees the outgoing snapshot unless a member is being sent it.  */
void ab_raft_release_snapshot (struct ab_raft *raft);
void ab_raft_handle_snapshot (struct ab_raft *raft, uint64_t now_ms,
                              const char *from, const struct ab_raft_msg *msg);
void ab_raft_handle_snapshot_reply (struct ab_raft *raft, uint64_t now_ms,
                                    const char *from,
                                    const struct ab_raft_msg *msg);

#endif
