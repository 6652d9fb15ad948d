/* Scheduling shards: a shard is the set of targets that one scheduler assigns
   requests to.

   A failure domain with many targets of a service is a shard of its own, so
   that messages and requests stay in it.  The targets of a region's other
   failure domains together form one shard: a few targets with few slots each
   are used efficiently only when they are pooled.  Every host derives the same
   shards from its view.  No I/O.  */

#ifndef AB_SCHEDULE_SHARDS_H
#define AB_SCHEDULE_SHARDS_H

#include "fleet_settings.h"
#include "fleet_state.h"

/* A failure domain with at least this many targets of a service is a
   shard.  */
#define AB_SHARD_TARGETS_MIN 14
#define AB_SHARDS_MAX 64

struct ab_shard
{
  char region[AB_NAME_BYTES];
  char failure_domain[AB_NAME_BYTES]; /* Empty: the rest of the region.  */
  size_t targets;
};

/* A shard that had no free slot is skipped for at most this long: while all
   are full, each request would otherwise try every one of them.  */
#define AB_SHARD_FULL_MS 250

struct ab_shards;

struct ab_shards *ab_shards_new (const struct ab_fleet_settings *settings);
void ab_shards_free (struct ab_shards *shards);

/* Records the state of a target.  Calls ON_REASSIGNED for each known target,
   including this one, whose shard is new or has changed.  */
void ab_shards_set_target (
    struct ab_shards *shards, const struct ab_fleet_target *target,
    void (*on_reassigned) (void *ctx, const struct ab_fleet_target *,
                           const char *shard),
    void *ctx);

/* Returns whether the target ID is known and takes new requests.  */
bool ab_shards_target_ready (const struct ab_shards *shards, const char *id);
/* Returns the target ID, or null when it is not known or was deregistered.  */
const struct ab_fleet_target *
ab_shards_find_target (const struct ab_shards *shards, const char *id);

/* Records that SHARD had no free slot of SERVICE for a request that is
   idempotent if IDEMPOTENT is true, and that one is expected in WAIT_MS.  */
void ab_shards_record_full (struct ab_shards *shards, const char *service,
                            const struct ab_shard *shard, bool idempotent,
                            uint64_t wait_ms, uint64_t now_ms);
bool ab_shards_is_full (const struct ab_shards *shards, const char *service,
                        const struct ab_shard *shard, bool idempotent,
                        uint64_t now_ms);

/* Lists the shards of SERVICE in the order in which a host in FAILURE_DOMAIN
   tries them: its own, those of its region, the others.  Returns how many of
   at most MAX were written.  */
size_t ab_shards_list (const struct ab_shards *shards, const char *service,
                       const char *failure_domain, struct ab_shard *list,
                       size_t max);

#endif
