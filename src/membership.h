/* The membership protocol as a pure state machine.

   Holds the view (hosts, targets, quarantined requests), probes hosts, spreads
   changes by gossip and repairs differences by digests.  Time, randomness and
   messages come and go through arguments and a vtable.

   Probing: every probe interval one host is pinged, first through the network
   directly and, without an answer in time, through two other hosts.  A host
   that still does not answer is suspected.  A few other hosts, chosen by
   rendezvous hashing, then probe it too; only with a second accuser, and after
   the suspicion period, is it declared gone.  The suspected host refutes by
   raising its version.

   Bytes: all that is sent is charged to a token bucket of AB_MEMBER_RATE bytes
   a second, and more when hosts are probed more often than once a second.
   Probes and their answers always pass; changes and repairs wait
   for tokens, urgent changes (draining, leaving, suspicion) first.  */

#ifndef AB_MEMBERSHIP_H
#define AB_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "frame.h"
#include "member_item.h"
#include "rng.h"

/* Bytes a second.  The target is 3 KB/s for control; the rest is left for the
   answers to probes, whose number the sender does not choose.  */
#define AB_MEMBER_RATE 2700
/* Tokens kept at most, so that 5 s never carry more than 3 KB/s.  */
#define AB_MEMBER_BURST 1300
/* Credit from quiet times, used only to give a joining host its view.  */
#define AB_MEMBER_JOIN_CREDIT (128 * 1024)
/* Largest packet.  */
#define AB_MEMBER_PACKET_BYTES 1200
/* Charged for each packet besides its body: frame header 35, CURVE and ZMTP
   35, TCP and IP headers 40.  */
#define AB_MEMBER_OVERHEAD_BYTES 110
/* How long the end of a thing is remembered, so that late news of it does not
   bring it back.  Of hosts longer than the longest expected partition.  */
#define AB_MEMBER_TARGET_TOMBSTONE_MS (10 * 60 * 1000ULL)
#define AB_MEMBER_HOST_TOMBSTONE_MS (2 * 60 * 60 * 1000ULL)
/* Targets whose registrar is lost are kept for so many leases.  */
#define AB_MEMBER_ORPHAN_LEASES 2

struct ab_membership;
struct ab_membership_env;

/* Called by the state machine; must not call it back, except for queries.  */
struct ab_membership_ops
{
  /* Sends to a host whose item is in the view.  */
  void (*send) (struct ab_membership_env *env, const struct ab_host_view *host,
                enum ab_frame_type type, struct ab_chunk body);
  /* Sends to a seed.  */
  void (*send_address) (struct ab_membership_env *env, const char *address,
                        enum ab_frame_type type, struct ab_chunk body);
  void (*host_changed) (struct ab_membership_env *env,
                        const struct ab_host_view *host);
  void (*target_changed) (struct ab_membership_env *env,
                          const struct ab_target_view *target);
  /* May be null.  */
  void (*quarantine_changed) (struct ab_membership_env *env,
                              const struct ab_quarantine_view *item);
  /* Whether this host holds the target's lease in this incarnation.  */
  bool (*holds_lease) (struct ab_membership_env *env,
                       const struct ab_target_view *target);
};

/* First member of the owner's struct.  */
struct ab_membership_env
{
  const struct ab_membership_ops *ops;
};

struct ab_membership_config
{
  struct ab_host_view self;
  uint64_t probe_interval_ms;
  uint64_t probe_timeout_ms;
  uint64_t suspicion_ms;
  const char (*seeds)[AB_ADDRESS_BYTES]; /* Copied.  */
  size_t seed_count;
};

struct ab_membership_stats
{
  uint64_t packets_sent;
  uint64_t bytes_sent; /* With the overhead of packets.  */
  uint64_t bytes_cross_region;
  uint64_t probes_failed;
  uint64_t suspected;
  uint64_t declared_gone;
  uint64_t refuted;
  uint64_t late; /* Items older than what was known.  */
  uint64_t repaired;
  uint64_t corrupt;
  uint64_t stalls; /* Times that this process did not run for a while.  */
  size_t hosts;
  size_t items;
  size_t hot; /* Changes still being spread.  */
  size_t memory_bytes;
};

struct ab_membership *
ab_membership_new (struct ab_membership_env *env, struct ab_rng *rng,
                   const struct ab_membership_config *config, uint64_t now_ms);
void ab_membership_free (struct ab_membership *m);

/* Advances timers; call it every 50 to 100 ms.  */
void ab_membership_tick (struct ab_membership *m, uint64_t now_ms,
                         uint64_t wall_ms);

/* Handles a received PING, ACK, PING_REQUEST, DELTA, DIGEST or REPAIR;
   AB_ERR_CORRUPT.  */
int ab_membership_receive (struct ab_membership *m,
                           const struct ab_frame *frame, uint64_t now_ms);

/* Commands about this host.  */
void ab_membership_set_self (struct ab_membership *m, bool leaving, bool ready,
                             uint64_t now_ms);

/* Commands of a registrar.  Announces TARGET with the state in it; its
   registrar is this host.  AB_ERR_STALE when a newer incarnation is known,
   AB_ERR_MEMORY.  */
int ab_membership_announce (struct ab_membership *m,
                            const struct ab_target_view *target,
                            uint64_t lease_ms, uint64_t now_ms);
/* Changes the state of a target that this host announced.  AB_ERR_NOT_FOUND,
   AB_ERR_STALE when another registrar or incarnation is newer.  */
int ab_membership_set_target_state (struct ab_membership *m,
                                    const struct ab_target_view *target,
                                    enum ab_target_state state,
                                    uint64_t now_ms);

/* UNTIL_WALL_MS of 0 releases.  */
int ab_membership_quarantine (struct ab_membership *m,
                              const struct ab_quarantine_view *view,
                              uint64_t now_ms, uint64_t wall_ms);

/* Queries.  Pointers are valid until the next command, tick or message.  */
typedef bool (*ab_item_visitor) (void *ctx, const struct ab_item *item);

/* Visits the items of KIND; gone ones only when GONE is true.  */
void ab_membership_visit (const struct ab_membership *m,
                          enum ab_item_kind kind, bool gone,
                          ab_item_visitor visit, void *ctx);
const struct ab_item *ab_membership_find_host (const struct ab_membership *m,
                                               struct ab_chunk name);
/* Null when it is gone.  */
const struct ab_item *ab_membership_find_target (const struct ab_membership *m,
                                                 struct ab_chunk service,
                                                 struct ab_chunk address);
/* The newest incarnation known, of a target that is gone too; 0 when none
   is.  */
uint64_t ab_membership_target_incarnation (const struct ab_membership *m,
                                           struct ab_chunk service,
                                           struct ab_chunk address);
const struct ab_item *
ab_membership_find_quarantine (const struct ab_membership *m,
                               const struct ab_digest *content);
const struct ab_item *ab_membership_self (const struct ab_membership *m);

/* Whether the view has been compared with another host's and found equal, or
   nearly so; true as well when no other host is known for long.  */
bool ab_membership_joined (const struct ab_membership *m);

/* Hash of the whole view, equal on hosts with equal views.  */
uint64_t ab_membership_digest (const struct ab_membership *m);

struct ab_membership_stats ab_membership_stats (const struct ab_membership *m);

#endif
