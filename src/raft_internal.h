/* What the parts of the consensus core share; not for its users.

   raft.c holds the public functions, raft_member.c the configuration and its
   quorums, raft_election.c votes, raft_leader.c replication and reads,
   raft_follower.c the receiving side, raft_snapshot.c snapshots in pieces.  */

#ifndef AB_RAFT_INTERNAL_H
#define AB_RAFT_INTERNAL_H

#include "raft.h"
#include "raft_log.h"
#include "raft_msg.h"

/* Append messages without an answer, per member.  At 20 ms between regions
   and 256 KiB each this allows about 50 MB/s to a member.  */
#define AB_RAFT_IN_FLIGHT_MAX 8

/* Entries kept in memory behind a snapshot, so that a member a little behind
   does not need the snapshot.  */
#define AB_RAFT_KEPT_ENTRIES 1000
#define AB_RAFT_KEPT_BYTES ((size_t)4 * 1024 * 1024)

/* The same while a snapshot is on its way: its receiver needs the entries
   after it, or it would have to start again with a newer one.  */
#define AB_RAFT_KEPT_BYTES_SENDING ((size_t)64 * 1024 * 1024)

/* Pieces of a snapshot without an answer, per member.  */
#define AB_RAFT_PIECES_IN_FLIGHT 4

/* Reads that wait for confirmation at a time.  */
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
  AB_RAFT_PROBE,     /* One message at a time until the logs match.  */
  AB_RAFT_REPLICATE, /* Messages are sent ahead of their answers.  */
  AB_RAFT_SNAPSHOT   /* A snapshot is on its way.  */
};

/* What is known of a member; kept for every member of the configuration and
   reset when its disk changes.  */
struct ab_raft_peer
{
  char host[AB_NAME_BYTES];
  uint8_t disk_id[AB_DISK_ID_BYTES];
  uint8_t vote_disk_id[AB_DISK_ID_BYTES];
  bool granted;    /* Its vote of this election.  */
  bool paused;     /* Nothing is sent before an answer or a heartbeat.  */
  bool other_disk; /* The last answer came from another disk.  */
  enum ab_raft_progress_state state;
  uint64_t match;
  uint64_t next;
  uint64_t in_flight[AB_RAFT_IN_FLIGHT_MAX]; /* Last indexes, rising.  */
  size_t in_flight_count;
  uint64_t commit_sent;
  uint64_t heard_ms;
  uint64_t round_acked;
  uint64_t snapshot_offset; /* The member has what is before it.  */
  uint64_t snapshot_next;   /* Sent up to here.  */
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
  uint64_t index; /* Must be applied before the answer.  */
  uint64_t round;
};

struct ab_raft_configuration
{
  struct ab_raft_member members[AB_RAFT_MEMBERS_MAX];
  size_t count;
  uint64_t index; /* Of its entry, or of the snapshot.  */
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
  struct ab_raft_hard_state hard;
  char leader_host[AB_NAME_BYTES];
  int failed;         /* The error that stopped this member.  */
  bool disk_replaced; /* The leader knows another disk for this host.  */

  struct ab_raft_log log;
  uint64_t snapshot_index;
  uint64_t snapshot_term;
  uint64_t commit;
  uint64_t applied;
  uint64_t stable; /* Last index that was synced.  */
  bool dirty;      /* Something was written since the last sync.  */
  struct ab_raft_configuration snapshot_members;
  struct ab_raft_configuration members;

  uint64_t election_deadline_ms;
  uint64_t leader_heard_ms;
  uint64_t next_heartbeat_ms;
  uint64_t quorum_heard_ms;
  uint64_t term_start_index; /* Leader: its first entry of the term.  */
  uint64_t round;
  bool round_wanted; /* A read waits for a round not sent yet.  */

  struct ab_raft_peer peers[AB_RAFT_MEMBERS_MAX];
  size_t peer_count;

  struct ab_raft_pending_read *reads;
  size_t read_count;
  size_t read_cap;

  struct ab_raft_outgoing *outbox;
  size_t out_count;
  size_t out_cap;

  /* A snapshot that is sent, and one that is received.  */
  struct ab_buf out_snapshot;
  uint64_t out_snapshot_index;
  uint64_t out_snapshot_term;
  struct ab_raft_configuration out_snapshot_members;
  struct ab_buf in_snapshot;
  uint64_t in_snapshot_index;
  uint64_t in_snapshot_term;
};

/* raft.c */
int ab_raft_fail (struct ab_raft *raft, int rc);
void ab_raft_queue (struct ab_raft *raft, const char *to,
                    struct ab_raft_msg *msg);
/* Sends at once, for messages that depend on no write.  */
void ab_raft_send_now (struct ab_raft *raft, const char *to,
                       struct ab_raft_msg *msg);
/* Appends to storage and log.  AB_ERR_FULL leaves both unchanged.  */
int ab_raft_append (struct ab_raft *raft, const struct ab_raft_entry *entries,
                    size_t count);
int ab_raft_append_own (struct ab_raft *raft, enum ab_raft_entry_kind kind,
                        struct ab_chunk data, uint64_t *index);
int ab_raft_set_hard (struct ab_raft *raft, uint64_t term,
                      const char *voted_for);
void ab_raft_reset_election_timer (struct ab_raft *raft, uint64_t now_ms);
void ab_raft_fail_reads (struct ab_raft *raft);

/* raft_member.c */
bool ab_raft_disk_known (const uint8_t disk_id[AB_DISK_ID_BYTES]);
struct ab_raft_member *ab_raft_find_member (struct ab_raft_configuration *c,
                                            const char *host);
struct ab_raft_peer *ab_raft_find_peer (struct ab_raft *raft,
                                        const char *host);
bool ab_raft_self_can_vote (const struct ab_raft *raft);
bool ab_raft_disks_all_known (const struct ab_raft *raft);
/* Takes the newest configuration of the log, or the snapshot's.  */
int ab_raft_reload_members (struct ab_raft *raft);
/* The members as of INDEX.  */
int ab_raft_members_at (const struct ab_raft *raft, uint64_t index,
                        struct ab_raft_configuration *c);
void ab_raft_sync_peers (struct ab_raft *raft);
/* The largest value that a majority of voters reached; VALUE gives that of a
   voter, SELF_VALUE is this member's.  */
uint64_t
ab_raft_quorum_value (const struct ab_raft *raft, uint64_t self_value,
                      uint64_t (*value) (const struct ab_raft_peer *));
int ab_raft_append_members (struct ab_raft *raft,
                            const struct ab_raft_configuration *c);
int ab_raft_record_voter_disks (struct ab_raft *raft);
void ab_raft_record_learner_disk (struct ab_raft *raft, const char *host,
                                  const uint8_t disk_id[AB_DISK_ID_BYTES]);

/* raft_election.c */
void ab_raft_become_follower (struct ab_raft *raft, uint64_t now_ms,
                              const char *leader);
int ab_raft_step_to_term (struct ab_raft *raft, uint64_t now_ms,
                          uint64_t term);
void ab_raft_campaign (struct ab_raft *raft, uint64_t now_ms, bool pre);
void ab_raft_handle_vote (struct ab_raft *raft, uint64_t now_ms,
                          const char *from, const struct ab_raft_msg *msg);
void ab_raft_handle_vote_reply (struct ab_raft *raft, uint64_t now_ms,
                                const char *from,
                                const struct ab_raft_msg *msg);

/* raft_leader.c */
void ab_raft_lead (struct ab_raft *raft, uint64_t now_ms);
void ab_raft_heartbeat (struct ab_raft *raft, uint64_t now_ms);
void ab_raft_leader_tick (struct ab_raft *raft, uint64_t now_ms);
/* Sends entries and commit indexes that members lack.  */
void ab_raft_replicate (struct ab_raft *raft, uint64_t now_ms);
void ab_raft_advance_commit (struct ab_raft *raft);
void ab_raft_handle_append_reply (struct ab_raft *raft, uint64_t now_ms,
                                  const char *from,
                                  const struct ab_raft_msg *msg);
void ab_raft_confirm_reads (struct ab_raft *raft);
void ab_raft_update_quorum_heard (struct ab_raft *raft, uint64_t now_ms);

/* raft_follower.c */
void ab_raft_handle_append (struct ab_raft *raft, uint64_t now_ms,
                            const char *from, const struct ab_raft_msg *msg);
/* Takes FROM as the leader of MSG's term, or refuses an old one.  */
bool ab_raft_accept_leader (struct ab_raft *raft, uint64_t now_ms,
                            const char *from, const struct ab_raft_msg *msg);

/* raft_snapshot.c */
void ab_raft_send_snapshot (struct ab_raft *raft, uint64_t now_ms,
                            struct ab_raft_peer *peer);
/* Whether a member is being sent the snapshot held for sending.  */
bool ab_raft_sending_snapshot (const struct ab_raft *raft);
void ab_raft_release_snapshot (struct ab_raft *raft);
void ab_raft_handle_snapshot (struct ab_raft *raft, uint64_t now_ms,
                              const char *from, const struct ab_raft_msg *msg);
void ab_raft_handle_snapshot_reply (struct ab_raft *raft, uint64_t now_ms,
                                    const char *from,
                                    const struct ab_raft_msg *msg);

#endif
