/* What the parts of membership.h share: the table (member_table.c), probes
   (member_probe.c), gossip (member_gossip.c) and repair (member_repair.c).  */

#ifndef AB_MEMBER_CORE_H
#define AB_MEMBER_CORE_H

#include "membership.h"

/* Buckets of the digest, and leaves in a bucket.  With 30,000 items a leaf has
   7, so that one changed item costs a summary of about 150 bytes.  */
#define MEMBER_BUCKETS 64
#define MEMBER_LEAVES_PER_BUCKET 64
#define MEMBER_LEAVES (MEMBER_BUCKETS * MEMBER_LEAVES_PER_BUCKET)
#define MEMBER_PROBES_MAX 16
#define MEMBER_RELAYS_MAX 32

struct ab_member
{
  struct ab_item item;
  struct ab_member *next; /* In the leaf.  */
  struct ab_member *hot_prev;
  struct ab_member *hot_next;
  uint64_t node;      /* Of a host: rendezvous hash of the name.  */
  uint64_t registrar; /* Of a target: key of its registrar.  */
  uint64_t mark;      /* What the item adds to its leaf's hash, or 0.  */
  uint64_t since_ms;  /* First heard of, in this incarnation.  */
  uint64_t ended_ms;  /* When it was gone; the age is taken off.  */
  /* Since when the registrar has been lost; 0 when it has not.  */
  uint64_t orphan_ms;
  uint64_t suspect_ms;
  uint64_t verify_ms; /* Next time to consider a probe of a suspect.  */
  uint64_t probed_ms;
  unsigned sends;
  bool hot;
  bool urgent;
  bool hidden; /* Dropped by this host alone, as its registrar is lost.  */
};

struct member_probe
{
  bool active;
  bool verify; /* Of a suspect; failure only adds an accuser.  */
  bool indirect;
  uint32_t number;
  uint64_t host; /* Key.  */
  uint64_t sent_ms;
};

/* A ping sent for another host.  */
struct member_relay
{
  uint32_t number;
  uint32_t their_number;
  char asker[AB_ADDRESS_BYTES]; /* Empty when free.  */
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
  struct ab_member **hosts; /* All host items, gone ones too.  */
  size_t host_count;
  size_t host_cap;
  size_t item_count;
  size_t sweep_leaf;
  uint64_t sweep_ms;

  struct ab_member *urgent; /* Lists of hot items.  */
  struct ab_member *normal;
  size_t hot_count;
  double tokens;
  double credit;
  bool on_credit; /* What is sent now is for a joining host.  */
  uint64_t tokens_ms;
  uint64_t gossip_ms;
  bool regions_first;

  struct member_probe probes[MEMBER_PROBES_MAX];
  struct member_relay relays[MEMBER_RELAYS_MAX];
  size_t next_relay;
  uint64_t probe_ms; /* Next time of each.  */
  uint64_t probe_count;
  uint64_t seed_ms;
  uint64_t digest_ms;
  uint64_t join_until_ms;
  bool joined;
  unsigned nearly_equal; /* Comparisons that found few differences.  */
  bool differed;         /* The last comparison found news.  */
  bool quiet; /* Of the news read now, only urgent ones are spread.  */

  struct ab_buf packet;
  struct ab_buf items;
  struct ab_membership_stats stats;
};

/* Table.  */

struct ab_member *member_find (const struct ab_membership *m, uint64_t key);
struct ab_member *member_find_host (const struct ab_membership *m,
                                    struct ab_chunk name);
/* Adds or replaces the content.  Null without memory.  */
struct ab_member *member_store (struct ab_membership *m,
                                const struct ab_item *item);
void member_remove (struct ab_membership *m, struct ab_member *member);
/* Takes the item into or out of the digest.  */
void member_set_digested (struct ab_membership *m, struct ab_member *member,
                          bool digested);
size_t member_leaf (uint64_t key);

/* Merges a received item; true when it was news.  */
bool member_merge (struct ab_membership *m, const struct ab_item *item);
/* Stores an own change and spreads it.  */
int member_publish (struct ab_membership *m, struct ab_item *item,
                    bool urgent);
/* Age of an ended item, as it is sent.  */
void member_refresh_age (const struct ab_membership *m,
                         struct ab_member *member);

/* Whether messages to it make sense.  */
bool member_is_live (const struct ab_member *member);
bool member_same_region (const struct ab_membership *m,
                         const struct ab_member *host);

/* Ends what has lasted long enough: tombstones, quarantines, and targets whose
   registrar is lost (member_sweep.c).  */
void member_sweep_tick (struct ab_membership *m);
/* Takes a time in which this process did not run off all waiting times.  */
void member_sweep_shift (struct ab_membership *m, uint64_t stall_ms);

/* Gossip.  */

void member_heat (struct ab_membership *m, struct ab_member *member,
                  bool urgent);
void member_cool (struct ab_membership *m, struct ab_member *member);
/* Counts a copy that another host sent: it need not be sent to as many.  */
void member_heard_again (struct ab_membership *m, struct ab_member *member);
void member_gossip_tick (struct ab_membership *m);
/* Sends NEWS to the live entry hosts at once, beside the gossip.  */
void member_broadcast (struct ab_membership *m, struct ab_member *news);
/* Sends the packet in M's buffer and charges it.  */
void member_send (struct ab_membership *m, struct ab_member *host,
                  enum ab_frame_type type);
void member_send_address (struct ab_membership *m, const char *address,
                          enum ab_frame_type type);
/* Appends to M's packet an array of hot items of at most BYTES, only urgent
   ones unless NORMAL, and FIRST before them unless it is null.  */
void member_pack_hot (struct ab_membership *m, struct ab_member *first,
                      size_t bytes, bool normal);
/* Reads an array of items and merges them.  Returns how many were news.  */
size_t member_read_items (struct ab_membership *m, struct ab_reader *reader);
/* A live host other than this one, or null.  */
struct ab_member *member_random_host (struct ab_membership *m,
                                      bool own_region);
/* Whether this host passes changes on to REGION.  */
bool member_is_bridge (const struct ab_membership *m, const char *region);

/* Probes.  */

void member_probe_tick (struct ab_membership *m);
void member_probe_shift (struct ab_membership *m, uint64_t stall_ms);
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
