#include "shard_choice.h"

#include <stdio.h>
#include <stdlib.h>
#include <uthash.h>

/* An unknown shard counts as having one free slot for this many targets: it is
   tried sooner or later, and known free slots are preferred.  */
#define UNKNOWN_DIVISOR 4

struct known_shard
{
  char key[3 * AB_NAME_BYTES]; /* Service, region and failure domain, with line
                                  feeds between them.  */
  uint64_t free_slots;
  uint64_t sent; /* Requests sent since FREE_SLOTS was stated.  */
  uint64_t stated_ms;
  UT_hash_handle hh;
};

struct ab_shard_choice
{
  struct known_shard *shards;
};

struct ab_shard_choice *
ab_shard_choice_new (void)
{
  return calloc (1, sizeof (struct ab_shard_choice));
}

void
ab_shard_choice_free (struct ab_shard_choice *choice)
{
  struct known_shard *known;

  if (!choice)
    return;
  known = choice->shards;
  HASH_CLEAR (hh, choice->shards);
  while (known)
    {
      struct known_shard *next = known->hh.next;
      free (known);
      known = next;
    }
  free (choice);
}

static struct known_shard *
find_shard (const struct ab_shard_choice *choice, const char *service,
            const struct ab_shard *shard, char key[3 * AB_NAME_BYTES])
{
  struct known_shard *known = NULL;

  snprintf (key, 3 * AB_NAME_BYTES, "%s\n%s\n%s", service, shard->region,
            shard->failure_domain);
  HASH_FIND_STR (choice->shards, key, known);
  return known;
}

void
ab_shard_choice_record (struct ab_shard_choice *choice, const char *service,
                        const struct ab_shard *shard, uint64_t free_slots,
                        uint64_t now_ms)
{
  char key[3 * AB_NAME_BYTES];
  struct known_shard *known = find_shard (choice, service, shard, key);

  if (!known)
    {
      known = calloc (1, sizeof *known);
      if (!known)
        return;
      memcpy (known->key, key, sizeof known->key);
      HASH_ADD_STR (choice->shards, key, known);
    }
  known->free_slots = free_slots;
  known->sent = 0;
  known->stated_ms = now_ms;
}

void
ab_shard_choice_sent (struct ab_shard_choice *choice, const char *service,
                      const struct ab_shard *shard)
{
  char key[3 * AB_NAME_BYTES];
  struct known_shard *known = find_shard (choice, service, shard, key);

  if (known)
    known->sent++;
}

/* Returns the free slots that SHARD probably has.  */
static double
expected_free (const struct ab_shard_choice *choice, const char *service,
               const struct ab_shard *shard, uint64_t now_ms)
{
  char key[3 * AB_NAME_BYTES];
  const struct known_shard *known = find_shard (choice, service, shard, key);

  if (!known || now_ms - known->stated_ms > AB_SHARD_CHOICE_AGE_MS)
    return (double)shard->targets / UNKNOWN_DIVISOR;
  return known->free_slots > known->sent
             ? (double)(known->free_slots - known->sent)
             : 0;
}

size_t
ab_shard_choice_pick (const struct ab_shard_choice *choice,
                      const char *service, const struct ab_shard *list,
                      const bool *skip, size_t count, struct ab_rng *rng,
                      uint64_t now_ms)
{
  double sum = 0;
  double at;

  for (size_t i = 0; i < count; i++)
    if (!skip[i])
      sum += expected_free (choice, service, &list[i], now_ms);
  at = ab_rng_unit (rng) * sum;
  for (size_t i = 0; i < count; i++)
    {
      double slots
          = skip[i] ? 0 : expected_free (choice, service, &list[i], now_ms);
      if (slots > 0 && at < slots)
        return i;
      at -= slots;
    }
  return count;
}
