/* Internals of membership.h, shared by its source files: the table of items
   (member_table.c), probes (member_probe.c), gossip (member_gossip.c), repair
   (member_repair.c) and the expiry of items (member_sweep.c).  No I/O.  */

#ifndef AB_MEMBER_CORE_H
#define AB_MEMBER_CORE_H

#include "membership.h"

/* The digest of the view is a hash tree: buckets, and leaves in each bucket.
   With 30,000 items a leaf has 7, so that one changed item costs a summary of
   about 150 bytes.  */
#define MEMBER_BUCKETS 64
#define MEMBER_LEAVES_PER_BUCKET 64
#define MEMBER_LEAVES (MEMBER_BUCKETS * MEMBER_LEAVES_PER_BUCKET)
#define MEMBER_PROBES_MAX 16 /* Probes of this host that await a reply.  */
#define MEMBER_RELAYS_MAX 32 /* Pings sent for other hosts.  */

/* An item of the view, with this host's local state for it.  */
struct ab_member
{
  struct ab_item item;
  struct ab_member *next; /* Next item of the same leaf.  */
  struct ab_member *queue_prev;
  struct ab_member *queue_next;
  uint64_t name_hash;     /* Hosts: rendezvous hash of the name.  */
  uint64_t registrar_key; /* Targets: key of the registrar.  */
  uint64_t digest_hash; /* Added to the leaf's hash; 0: not in the digest.  */
  uint64_t since_ms;    /* When this incarnation became known.  */
  uint64_t ended_ms;    /* When the item ended, by its age; 0: not ended.  */
  /* When the target's registrar was lost; 0: not lost.  */
  uint64_t orphan_ms;
  uint64_t suspect_ms; /* When the host became suspected; 0: not suspected.  */
  uint64_t verify_ms;  /* Earliest next probe to verify a suspicion.  */
  uint64_t probed_ms;  /* When this host last probed it.  */
  unsigned times_sent; /* Copies of the queued update sent so far.  */
  bool queued;         /* In one of the queues of updates to spread.  */
  bool urgent;         /* In the urgent queue, if queued.  */
  /* Target that this host treats as removed, as its registrar is lost.  */
  bool hidden;
};

struct member_probe
{
  bool active;
  bool verify;     /* Checks another host's suspicion; on failure, this host
                      suspects the probed host too.  */
  bool indirect;   /* Other hosts have been requested to ping too.  */
  uint32_t number; /* Identifies the reply.  */
  uint64_t host;   /* Item key of the probed host.  */
  uint64_t sent_ms;
};

/* A ping sent for another host, the requester (an indirect probe).  */
struct member_relay
{
  uint32_t number;           /* Of the ping.  */
  uint32_t requester_number; /* Expected by the requester in the reply.  */
  char requester[AB_ADDRESS_BYTES]; /* Empty: this entry is free.  */
  uint64_t sent_ms;
};

struct ab_membership
{
  struct ab_membership_env *env;
  struct ab_rng *rng;
  struct ab_membership_config config;
  char (*seeds)[AB_ADDRESS_BYTES];
  uint64_t now_ms;
  uint64_t wall_ms;
  struct ab_member *self;

  struct ab_member *leaves[MEMBER_LEAVES];
  uint64_t leaf_hash[MEMBER_LEAVES];
  uint64_t bucket_hash[MEMBER_BUCKETS];
  uint32_t bucket_items[MEMBER_BUCKETS];
  struct ab_member **hosts; /* All hosts, dead ones included.  */
  size_t host_count;
  size_t host_cap;
  size_t item_count;
  size_t sweep_leaf; /* Next leaf to sweep.  */
  uint64_t sweep_ms; /* Next sweep.  */

  struct ab_member *urgent_queue; /* Updates to spread.  */
  struct ab_member *normal_queue;
  size_t queued_count;
  double tokens;      /* Bytes that may be sent now; may be negative.  */
  double credit;      /* Unused bytes; see AB_MEMBER_JOIN_CREDIT.  */
  bool use_credit;    /* Packets are charged to CREDIT only.  */
  uint64_t tokens_ms; /* Last refill of TOKENS and CREDIT.  */
  uint64_t gossip_ms; /* Next round of gossip.  */
  bool regions_first; /* Whether the last round began with other regions.  */

  struct member_probe probes[MEMBER_PROBES_MAX];
  struct member_relay relays[MEMBER_RELAYS_MAX];
  size_t next_relay;
  uint64_t probe_ms; /* Next probe.  */
  uint64_t probe_count;
  uint64_t seed_ms;       /* Next ping to seeds.  */
  uint64_t digest_ms;     /* Next comparison of digests.  */
  uint64_t join_until_ms; /* Counts as joined then in any case.  */
  bool joined;
  unsigned nearly_equal_count; /* Comparisons with few differences.  */
  bool found_differences;      /* The last comparison changed the view.  */
  bool spread_urgent_only;     /* Queue received items only if urgent.  */

  struct ab_buf packet; /* Body of the message to send.  */
  struct ab_buf items;  /* Encoded items, to be appended to PACKET.  */
  struct ab_membership_stats stats;
};

/* Table.  */

struct ab_member *member_find (const struct ab_membership *m, uint64_t key);
struct ab_member *member_find_host (const struct ab_membership *m,
                                    struct ab_chunk name);
/* Adds ITEM, or replaces the item with the same key.  Returns null when
   memory is full.  */
struct ab_member *member_store (struct ab_membership *m,
                                const struct ab_item *item);
void member_remove (struct ab_membership *m, struct ab_member *member);
/* Includes MEMBER in the digest, or excludes it.  */
void member_set_digested (struct ab_membership *m, struct ab_member *member,
                          bool digested);
/* Returns the index of the leaf that holds KEY.  */
size_t member_leaf (uint64_t key);

/* Merges a received item; returns whether it changed the view.  */
bool member_merge (struct ab_membership *m, const struct ab_item *item);
/* Stores a change that this host makes to ITEM, and queues it for gossip.
   Returns 0 or AB_ERR_MEMORY.  */
int member_publish (struct ab_membership *m, struct ab_item *item,
                    bool urgent);
/* Updates the age of an ended item, which is sent with it.  */
void member_refresh_age (const struct ab_membership *m,
                         struct ab_member *member);

/* Whether the host has not been declared dead; suspected hosts are live.  */
bool member_is_live (const struct ab_member *member);
bool member_same_region (const struct ab_membership *m,
                         const struct ab_member *host);

/* Removes expired tombstones and quarantines, and ends targets whose registrar
   is lost (member_sweep.c).  */
void member_sweep_tick (struct ab_membership *m);
/* Excludes STALL_MS, in which this process did not run, from the time since
   registrars were lost.  */
void member_sweep_exclude_stall (struct ab_membership *m, uint64_t stall_ms);

/* Gossip.  */

/* Queues MEMBER to be sent to other hosts.  If it is queued already, its count
   of copies sent starts again at 0.  */
void member_queue_update (struct ab_membership *m, struct ab_member *member,
                          bool urgent);
void member_dequeue_update (struct ab_membership *m, struct ab_member *member);
/* Counts a copy of MEMBER that another host sent as one sent by this host,
   as fewer further copies are needed.  */
void member_count_received_copy (struct ab_membership *m,
                                 struct ab_member *member);
void member_gossip_tick (struct ab_membership *m);
/* Sends UPDATE to the usable entry hosts at once, in addition to gossip.  */
void member_broadcast (struct ab_membership *m, struct ab_member *update);
/* Sends the packet in M's buffer to HOST, or to an ADDRESS, and charges it to
   the token bucket.  */
void member_send (struct ab_membership *m, struct ab_member *host,
                  enum ab_frame_type type);
void member_send_address (struct ab_membership *m, const char *address,
                          enum ab_frame_type type);
/* Appends to M's packet an array of at most BYTES with queued updates: urgent
   ones, then the others if NORMAL.  FIRST precedes them unless it is null.  */
void member_pack_updates (struct ab_membership *m, struct ab_member *first,
                          size_t bytes, bool normal);
/* Reads an array of items and merges them.  Returns how many of them changed
   the view.  */
size_t member_read_items (struct ab_membership *m, struct ab_reader *reader);
/* Returns a random live host other than this one; preferably one that is not
   suspected, and is in this host's region if OWN_REGION, in another region
   otherwise.  Null when there is no other live host.  */
struct ab_member *member_random_host (struct ab_membership *m,
                                      bool own_region);
/* Whether this host forwards updates from its region to REGION.  */
bool member_is_bridge (const struct ab_membership *m, const char *region);

/* Probes.  */

void member_probe_tick (struct ab_membership *m);
/* Abandons all probes, and excludes STALL_MS, in which this process did not
   run, from the time that hosts have been suspected.  */
void member_probe_exclude_stall (struct ab_membership *m, uint64_t stall_ms);
int member_receive_ping (struct ab_membership *m,
                         const struct ab_frame *frame);
int member_receive_ack (struct ab_membership *m, const struct ab_frame *frame);
int member_receive_ping_request (struct ab_membership *m,
                                 const struct ab_frame *frame);

/* Repair.  */

void member_repair_tick (struct ab_membership *m);
int member_receive_digest (struct ab_membership *m,
                           const struct ab_frame *frame);
int member_receive_repair (struct ab_membership *m,
                           const struct ab_frame *frame);

#endif
