/* Chooses among the shards to which a request may be moved when the shard of
   its host is full.

   A scheduler states with each reply how many slots of the service are free in
   its shard.  Hosts that learned the same would all move to the same shard, so
   each chooses at random, in proportion to the free slots minus the requests
   that it sent there since.  No I/O: the caller passes the time.  */

#ifndef AB_SHARD_CHOICE_H
#define AB_SHARD_CHOICE_H

#include "rng.h"
#include "schedule_shards.h"

/* Free slots that were stated longer ago are not relied on.  A shard without
   any is skipped for as long as one that rejected a request.  */
#define AB_SHARD_CHOICE_AGE_MS AB_SHARD_FULL_MS

struct ab_shard_choice;

/* Returns null without memory.  */
struct ab_shard_choice *ab_shard_choice_new (void);
void ab_shard_choice_free (struct ab_shard_choice *choice);

/* Records that FREE slots of SERVICE are free in SHARD.  Without memory, the
   shard counts as unknown.  */
void ab_shard_choice_record (struct ab_shard_choice *choice,
                             const char *service, const struct ab_shard *shard,
                             uint64_t free_slots, uint64_t now_ms);
/* Records that a request was sent to SHARD.  */
void ab_shard_choice_sent (struct ab_shard_choice *choice, const char *service,
                           const struct ab_shard *shard);

/* Returns the index of one of the COUNT shards of LIST, other than those for
   which SKIP is true, or COUNT if none of them may have a free slot.  A shard
   of which nothing is known counts as having a quarter of a slot for each
   target.  */
size_t ab_shard_choice_pick (const struct ab_shard_choice *choice,
                             const char *service, const struct ab_shard *list,
                             const bool *skip, size_t count,
                             struct ab_rng *rng, uint64_t now_ms);

#endif
