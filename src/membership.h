/* The membership protocol as a pure state machine.

   Holds the view (hosts, targets, quarantined requests), probes hosts as in
   SWIM, spreads updates by gossip and repairs differences by digests
   (anti-entropy).  No I/O: time and received messages are arguments; messages
   to send and changes of the view go to the owner's vtable.

   Probing: every probe interval one host is pinged directly and, if it does
   not answer in time, through two other hosts.  A host that still does not
   answer is suspected.  A few other hosts, chosen by rendezvous hashing, then
   probe it too; only when a second host suspects it, and after the suspicion
   period, is it declared dead.  A suspected host refutes by raising its
   version.

   Bandwidth: everything sent is charged to a token bucket of AB_MEMBER_RATE
   bytes a second, and more when hosts are probed more often than once a
   second.  Probes and their replies are always sent; updates and repairs wait
   for tokens, urgent updates (draining, leaving, suspicion) first.  */

#ifndef AB_MEMBERSHIP_H
#define AB_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "frame.h"
#include "member_item.h"
#include "rng.h"

/* Bytes a second.  The budget for control traffic is 3 KB/s; the rest is left
   for replies to probes, whose number this host does not choose.  */
#define AB_MEMBER_RATE 2700
/* Capacity of the token bucket in bytes, so that the average over any 5 s is
   at most 3 KB/s.  */
#define AB_MEMBER_BURST 1300
/* Largest credit in bytes, accrued while less than the rate is sent.  It is
   used for the view of a joining host and for broadcasts of quarantines.  */
#define AB_MEMBER_JOIN_CREDIT (128 * 1024)
/* Largest packet in bytes, except to joining hosts.  */
#define AB_MEMBER_PACKET_BYTES 1200
/* Charged for each packet besides its body: frame header 35, CURVE and ZMTP
   35, TCP and IP headers 40.  */
#define AB_MEMBER_OVERHEAD_BYTES 110
/* How long tombstones are kept, so that a late update does not bring a removed
   item back.  For hosts longer than the longest expected partition.  */
#define AB_MEMBER_TARGET_TOMBSTONE_MS (10 * 60 * 1000ULL)
#define AB_MEMBER_HOST_TOMBSTONE_MS (2 * 60 * 60 * 1000ULL)
/* Targets whose registrar is lost are kept for this many lease times.  */
#define AB_MEMBER_ORPHAN_LEASES 2

struct ab_membership;
struct ab_membership_env;

/* Callbacks of the state machine, which may call only its queries.  */
struct ab_membership_ops
{
  /* Sends to a host of the view.  */
  void (*send) (struct ab_membership_env *env, const struct ab_host_view *host,
                enum ab_frame_type type, struct ab_chunk body);
  /* Sends to an address whose host may not be in the view: a seed, or the
     sender of a message.  */
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

/* Must be the first member of the owner's struct.  */
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
  uint64_t bytes_sent; /* Including AB_MEMBER_OVERHEAD_BYTES a packet.  */
  uint64_t bytes_cross_region;
  uint64_t probes_failed;
  uint64_t suspected; /* Alive hosts that this host began to suspect.  */
  uint64_t declared_dead;
  uint64_t refuted;  /* Newer items about this host, overridden.  */
  uint64_t stale;    /* Received items older than the known one.  */
  uint64_t repaired; /* Items sent after comparisons of digests.  */
  uint64_t corrupt;  /* Messages and items that could not be used.  */
  uint64_t stalls;   /* Times that this process did not run for 1 s.  */
  size_t hosts;
  size_t items;
  size_t updates_waiting; /* Queued to be sent.  */
  size_t memory_bytes;
};

/* Starts with a view of this host only.  Returns null when memory
   is full.  */
struct ab_membership *
ab_membership_new (struct ab_membership_env *env, struct ab_rng *rng,
                   const struct ab_membership_config *config, uint64_t now_ms);
void ab_membership_free (struct ab_membership *m);

/* Advances timers; must be called every 50 to 100 ms.  */
void ab_membership_tick (struct ab_membership *m, uint64_t now_ms,
                         uint64_t wall_ms);

/* Handles a received PING, ACK, PING_REQUEST, DELTA, DIGEST or REPAIR.
   Returns 0, AB_ERR_CORRUPT, or AB_ERR_INVALID for another type.  */
int ab_membership_receive (struct ab_membership *m,
                           const struct ab_frame *frame, uint64_t now_ms);

/* Sets the state of this host, and spreads it when it differs.  */
void ab_membership_set_self (struct ab_membership *m, bool leaving, bool ready,
                             uint64_t now_ms);

/* Announces TARGET, with the state in it, as its registrar.  Returns 0,
   AB_ERR_STALE when a newer incarnation is known, or AB_ERR_MEMORY.  */
int ab_membership_announce (struct ab_membership *m,
                            const struct ab_target_view *target,
                            uint64_t lease_ms, uint64_t now_ms);
/* Changes the state of a target that this host announced.  Returns 0,
   AB_ERR_NOT_FOUND, AB_ERR_STALE when the target has another registrar or
   incarnation, or AB_ERR_MEMORY.  */
int ab_membership_set_target_state (struct ab_membership *m,
                                    const struct ab_target_view *target,
                                    enum ab_target_state state,
                                    uint64_t now_ms);

/* Quarantines a request, or releases it when VIEW's until_wall_ms is 0, and
   spreads that.  Returns 0 or AB_ERR_MEMORY.  */
int ab_membership_quarantine (struct ab_membership *m,
                              const struct ab_quarantine_view *view,
                              uint64_t now_ms, uint64_t wall_ms);

/* Queries.  Pointers are valid until the next command, tick or message.  */

/* Called for each item; returns false to stop.  */
typedef bool (*ab_item_visitor) (void *ctx, const struct ab_item *item);

/* Visits the items of KIND; ended and hidden ones only if INCLUDE_ENDED.  */
void ab_membership_visit (const struct ab_membership *m,
                          enum ab_item_kind kind, bool include_ended,
                          ab_item_visitor visit, void *ctx);
/* Returns null when the host is not known; it may be dead.  */
const struct ab_item *ab_membership_find_host (const struct ab_membership *m,
                                               struct ab_chunk name);
/* Returns null when the target is not known or removed, or its registrar is
   lost.  */
const struct ab_item *ab_membership_find_target (const struct ab_membership *m,
                                                 struct ab_chunk service,
                                                 struct ab_chunk address);
/* Returns the newest incarnation known, even of a removed target; 0 when none
   is.  */
uint64_t ab_membership_target_incarnation (const struct ab_membership *m,
                                           struct ab_chunk service,
                                           struct ab_chunk address);
/* Returns null when the content is not quarantined.  */
const struct ab_item *
ab_membership_find_quarantine (const struct ab_membership *m,
                               const struct ab_digest *content);
const struct ab_item *ab_membership_self (const struct ab_membership *m);

/* Whether the view has been compared with another host's and found equal, or
   nearly so.  True after 10 s in any case, as there may be no other host.  */
bool ab_membership_joined (const struct ab_membership *m);

/* Returns a hash of the whole view, equal on hosts with equal views.  */
uint64_t ab_membership_digest (const struct ab_membership *m);

struct ab_membership_stats ab_membership_stats (const struct ab_membership *m);

#endif
