#include "schedule_shards.h"

#include <stdio.h>
#include <stdlib.h>
#include <uthash.h>

struct known_target
{
  struct ab_fleet_target target;
  UT_hash_handle hh;
};

/* The targets of a service in a failure domain.  */
struct domain_targets
{
  char key[2 * AB_NAME_BYTES]; /* Service, line feed, failure domain.  */
  char service[AB_NAME_BYTES];
  char failure_domain[AB_NAME_BYTES];
  size_t targets; /* Number of targets that are not deregistered.  */
  bool is_shard;  /* Whether the failure domain is a shard.  */
  UT_hash_handle hh;
};

/* A shard without a free slot for idempotent requests or for others.  */
struct full_shard
{
  char key[3 * AB_NAME_BYTES + 2];
  uint64_t until_ms;
  UT_hash_handle hh;
};

struct ab_shards
{
  const struct ab_fleet_settings *settings;
  struct known_target *known_targets;
  struct domain_targets *domains;
  struct full_shard *full_shards;
};

struct ab_shards *
ab_shards_new (const struct ab_fleet_settings *settings)
{
  struct ab_shards *shards = calloc (1, sizeof *shards);

  if (shards)
    shards->settings = settings;
  return shards;
}

void
ab_shards_free (struct ab_shards *shards)
{
  struct known_target *known_target;
  struct domain_targets *domain_targets;
  struct full_shard *full_shard;

  if (!shards)
    return;
  known_target = shards->known_targets;
  domain_targets = shards->domains;
  full_shard = shards->full_shards;
  HASH_CLEAR (hh, shards->full_shards);
  while (full_shard)
    {
      struct full_shard *next = full_shard->hh.next;
      free (full_shard);
      full_shard = next;
    }
  HASH_CLEAR (hh, shards->known_targets);
  HASH_CLEAR (hh, shards->domains);
  while (known_target)
    {
      struct known_target *next = known_target->hh.next;
      free (known_target);
      known_target = next;
    }
  while (domain_targets)
    {
      struct domain_targets *next = domain_targets->hh.next;
      free (domain_targets);
      domain_targets = next;
    }
  free (shards);
}

static struct domain_targets *
get_domain_targets (struct ab_shards *shards,
                    const struct ab_fleet_target *target)
{
  struct domain_targets *domain_targets = NULL;
  char key[sizeof domain_targets->key];

  snprintf (key, sizeof key, "%s\n%s", target->service,
            target->failure_domain);
  HASH_FIND_STR (shards->domains, key, domain_targets);
  if (domain_targets)
    return domain_targets;
  domain_targets = calloc (1, sizeof *domain_targets);
  if (!domain_targets)
    return NULL;
  memcpy (domain_targets->key, key, sizeof key);
  memcpy (domain_targets->service, target->service,
          sizeof domain_targets->service);
  memcpy (domain_targets->failure_domain, target->failure_domain,
          sizeof domain_targets->failure_domain);
  HASH_ADD_STR (shards->domains, key, domain_targets);
  return domain_targets;
}

static bool
is_counted (const struct ab_fleet_target *target)
{
  return target->state != AB_FLEET_TARGET_REMOVED;
}

/* Stores TARGET.  Sets *PREVIOUS to the earlier state, or to state
   AB_FLEET_TARGET_REMOVED if the target is new.  Returns 0, or -1 without
   memory.  */
static int
store_target (struct ab_shards *shards, const struct ab_fleet_target *target,
              struct ab_fleet_target *previous)
{
  struct known_target *known_target = NULL;

  HASH_FIND_STR (shards->known_targets, target->id, known_target);
  *previous = known_target ? known_target->target : *target;
  if (!known_target)
    previous->state = AB_FLEET_TARGET_REMOVED;
  if (known_target && !is_counted (target))
    {
      HASH_DEL (shards->known_targets, known_target);
      free (known_target);
      return 0;
    }
  if (!known_target && is_counted (target))
    {
      known_target = calloc (1, sizeof *known_target);
      if (!known_target)
        return -1;
      memcpy (known_target->target.id, target->id, sizeof target->id);
      HASH_ADD_STR (shards->known_targets, target.id, known_target);
    }
  if (known_target)
    known_target->target = *target;
  return 0;
}

/* Updates whether DOMAIN_TARGETS are a shard of their own; returns whether
   that changed.  The two bounds differ (hysteresis), so that a target that
   comes and goes does not change it each time.  */
static bool
update_is_shard (struct domain_targets *domain_targets)
{
  bool is_shard = domain_targets->targets >= (domain_targets->is_shard
                                                  ? AB_SHARD_TARGETS_MIN / 2
                                                  : AB_SHARD_TARGETS_MIN);

  if (is_shard == domain_targets->is_shard)
    return false;
  domain_targets->is_shard = is_shard;
  return true;
}

static const char *
shard_domain (const struct domain_targets *domain_targets)
{
  return domain_targets->is_shard ? domain_targets->failure_domain : "";
}

void
ab_shards_set_target (struct ab_shards *shards,
                      const struct ab_fleet_target *target,
                      void (*on_reassigned) (void *ctx,
                                             const struct ab_fleet_target *,
                                             const char *shard),
                      void *ctx)
{
  struct ab_fleet_target previous;
  struct domain_targets *domain_targets = get_domain_targets (shards, target);
  struct domain_targets *previous_domain;

  if (!domain_targets || store_target (shards, target, &previous) < 0)
    return;
  previous_domain = get_domain_targets (shards, &previous);
  if (previous_domain && is_counted (&previous))
    previous_domain->targets--;
  domain_targets->targets += is_counted (target);
  if (update_is_shard (domain_targets))
    for (struct known_target *k = shards->known_targets; k; k = k->hh.next)
      if (strcmp (k->target.service, domain_targets->service) == 0
          && strcmp (k->target.failure_domain, domain_targets->failure_domain)
                 == 0)
        on_reassigned (ctx, &k->target, shard_domain (domain_targets));
  on_reassigned (ctx, target, shard_domain (domain_targets));
}

static struct full_shard *
find_full_shard (const struct ab_shards *shards, const char *service,
                 const struct ab_shard *shard, bool idempotent,
                 char key[3 * AB_NAME_BYTES + 2])
{
  struct full_shard *full_shard = NULL;

  snprintf (key, 3 * AB_NAME_BYTES + 2, "%c%s\n%s\n%s", idempotent ? 'i' : 'o',
            service, shard->region, shard->failure_domain);
  HASH_FIND_STR (shards->full_shards, key, full_shard);
  return full_shard;
}

void
ab_shards_record_full (struct ab_shards *shards, const char *service,
                       const struct ab_shard *shard, bool idempotent,
                       uint64_t wait_ms, uint64_t now_ms)
{
  char key[3 * AB_NAME_BYTES + 2];
  struct full_shard *full_shard
      = find_full_shard (shards, service, shard, idempotent, key);

  if (!full_shard)
    {
      full_shard = calloc (1, sizeof *full_shard);
      if (!full_shard)
        return; /* Without the record the shard is tried once more.  */
      memcpy (full_shard->key, key, sizeof full_shard->key);
      HASH_ADD_STR (shards->full_shards, key, full_shard);
    }
  full_shard->until_ms
      = now_ms + (wait_ms < AB_SHARD_FULL_MS ? wait_ms : AB_SHARD_FULL_MS);
}

bool
ab_shards_is_full (const struct ab_shards *shards, const char *service,
                   const struct ab_shard *shard, bool idempotent,
                   uint64_t now_ms)
{
  char key[3 * AB_NAME_BYTES + 2];
  const struct full_shard *full_shard
      = find_full_shard (shards, service, shard, idempotent, key);

  return full_shard && now_ms < full_shard->until_ms;
}

const struct ab_fleet_target *
ab_shards_find_target (const struct ab_shards *shards, const char *id)
{
  struct known_target *known_target = NULL;

  HASH_FIND_STR (shards->known_targets, id, known_target);
  return known_target ? &known_target->target : NULL;
}

bool
ab_shards_target_ready (const struct ab_shards *shards, const char *id)
{
  const struct ab_fleet_target *target = ab_shards_find_target (shards, id);

  return target && target->state == AB_FLEET_TARGET_READY;
}

static void
add_shard (struct ab_shard *list, size_t *count, size_t max,
           const char *region, const struct domain_targets *domain_targets)
{
  struct ab_shard *shard;

  for (size_t i = 0; i < *count; i++)
    if (strcmp (list[i].region, region) == 0
        && strcmp (list[i].failure_domain, shard_domain (domain_targets)) == 0)
      {
        list[i].targets += domain_targets->targets;
        return;
      }
  if (*count == max)
    return;
  shard = &list[(*count)++];
  memset (shard, 0, sizeof *shard);
  ab_chunk_copy_bounded (ab_chunk_str (region), shard->region,
                         sizeof shard->region);
  ab_chunk_copy_bounded (ab_chunk_str (shard_domain (domain_targets)),
                         shard->failure_domain, sizeof shard->failure_domain);
  shard->targets = domain_targets->targets;
}

/* Returns a rank by which shards are tried, smallest first, by a host in
   REGION whose own shard has the failure domain OWN.  */
static int
shard_rank (const struct ab_shard *shard, const char *region, const char *own)
{
  if (strcmp (shard->region, region) != 0)
    return 2;
  return strcmp (shard->failure_domain, own) != 0;
}

static void
sort_shards (struct ab_shard *list, size_t count, const char *region,
             const char *own)
{
  for (size_t i = 1; i < count; i++)
    for (size_t j = i; j > 0
                       && shard_rank (&list[j], region, own)
                              < shard_rank (&list[j - 1], region, own);
         j--)
      {
        struct ab_shard swap = list[j];
        list[j] = list[j - 1];
        list[j - 1] = swap;
      }
}

size_t
ab_shards_list (const struct ab_shards *shards, const char *service,
                const char *failure_domain, struct ab_shard *list, size_t max)
{
  const char *own = "";
  size_t count = 0;

  for (const struct domain_targets *p = shards->domains; p; p = p->hh.next)
    {
      if (p->targets == 0 || strcmp (p->service, service) != 0)
        continue;
      add_shard (list, &count, max,
                 ab_fleet_region (shards->settings, p->failure_domain), p);
      if (strcmp (p->failure_domain, failure_domain) == 0)
        own = shard_domain (p);
    }
  sort_shards (list, count, ab_fleet_region (shards->settings, failure_domain),
               own);
  return count;
}
