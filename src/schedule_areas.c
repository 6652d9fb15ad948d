#include "schedule_areas.h"

#include <stdio.h>
#include <stdlib.h>
#include <uthash.h>

struct known
{
  struct ab_fleet_target target;
  UT_hash_handle hh;
};

/* The targets of a service in a failure domain.  */
struct place
{
  char key[2 * AB_NAME_BYTES]; /* Service, line feed, failure domain.  */
  char service[AB_NAME_BYTES];
  char failure_domain[AB_NAME_BYTES];
  size_t targets; /* Without those that are gone.  */
  bool apart;     /* An area of its own.  */
  UT_hash_handle hh;
};

/* An area without a free slot for a kind of request.  */
struct full
{
  char key[3 * AB_NAME_BYTES + 2];
  uint64_t until_ms;
  UT_hash_handle hh;
};

struct ab_areas
{
  const struct ab_fleet_settings *settings;
  struct known *known;
  struct place *places;
  struct full *full;
};

struct ab_areas *
ab_areas_new (const struct ab_fleet_settings *settings)
{
  struct ab_areas *areas = calloc (1, sizeof *areas);

  if (areas)
    areas->settings = settings;
  return areas;
}

void
ab_areas_free (struct ab_areas *areas)
{
  struct known *known;
  struct place *place;
  struct full *full;

  if (!areas)
    return;
  known = areas->known;
  place = areas->places;
  full = areas->full;
  HASH_CLEAR (hh, areas->full);
  while (full)
    {
      struct full *next = full->hh.next;
      free (full);
      full = next;
    }
  HASH_CLEAR (hh, areas->known);
  HASH_CLEAR (hh, areas->places);
  while (known)
    {
      struct known *next = known->hh.next;
      free (known);
      known = next;
    }
  while (place)
    {
      struct place *next = place->hh.next;
      free (place);
      place = next;
    }
  free (areas);
}

static struct place *
get_place (struct ab_areas *areas, const struct ab_fleet_target *target)
{
  struct place *place = NULL;
  char key[sizeof place->key];

  snprintf (key, sizeof key, "%s\n%s", target->service,
            target->failure_domain);
  HASH_FIND_STR (areas->places, key, place);
  if (place)
    return place;
  place = calloc (1, sizeof *place);
  if (!place)
    return NULL;
  memcpy (place->key, key, sizeof key);
  memcpy (place->service, target->service, sizeof place->service);
  memcpy (place->failure_domain, target->failure_domain,
          sizeof place->failure_domain);
  HASH_ADD_STR (areas->places, key, place);
  return place;
}

static bool
counts (const struct ab_fleet_target *target)
{
  return target->state != AB_FLEET_TARGET_GONE;
}

/* Remembers TARGET; *BEFORE is what was known, in state gone where nothing
   was.  */
static int
remember (struct ab_areas *areas, const struct ab_fleet_target *target,
          struct ab_fleet_target *before)
{
  struct known *known = NULL;

  HASH_FIND_STR (areas->known, target->id, known);
  *before = known ? known->target : *target;
  if (!known)
    before->state = AB_FLEET_TARGET_GONE;
  if (known && !counts (target))
    {
      HASH_DEL (areas->known, known);
      free (known);
      return 0;
    }
  if (!known && counts (target))
    {
      known = calloc (1, sizeof *known);
      if (!known)
        return -1;
      memcpy (known->target.id, target->id, sizeof target->id);
      HASH_ADD_STR (areas->known, target.id, known);
    }
  if (known)
    known->target = *target;
  return 0;
}

/* Whether PLACE becomes, or stops to be, an area.  The bounds differ, so that
   a target that comes and goes does not change it each time.  */
static bool
changes (struct place *place)
{
  bool apart = place->targets
               >= (place->apart ? AB_AREA_TARGETS / 2 : AB_AREA_TARGETS);

  if (apart == place->apart)
    return false;
  place->apart = apart;
  return true;
}

static const char *
area_of (const struct place *place)
{
  return place->apart ? place->failure_domain : "";
}

void
ab_areas_set_target (struct ab_areas *areas,
                     const struct ab_fleet_target *target,
                     void (*moved) (void *ctx, const struct ab_fleet_target *,
                                    const char *area),
                     void *ctx)
{
  struct ab_fleet_target before;
  struct place *place = get_place (areas, target);
  struct place *former;

  if (!place || remember (areas, target, &before) < 0)
    return;
  former = get_place (areas, &before);
  if (former && counts (&before))
    former->targets--;
  place->targets += counts (target);
  if (changes (place))
    for (struct known *k = areas->known; k; k = k->hh.next)
      if (strcmp (k->target.service, place->service) == 0
          && strcmp (k->target.failure_domain, place->failure_domain) == 0)
        moved (ctx, &k->target, area_of (place));
  moved (ctx, target, area_of (place));
}

static struct full *
find_full (const struct ab_areas *areas, const char *service,
           const struct ab_area *area, bool idempotent,
           char key[3 * AB_NAME_BYTES + 2])
{
  struct full *full = NULL;

  snprintf (key, 3 * AB_NAME_BYTES + 2, "%c%s\n%s\n%s", idempotent ? 'i' : 'o',
            service, area->region, area->failure_domain);
  HASH_FIND_STR (areas->full, key, full);
  return full;
}

void
ab_areas_note_full (struct ab_areas *areas, const char *service,
                    const struct ab_area *area, bool idempotent,
                    uint64_t wait_ms, uint64_t now_ms)
{
  char key[3 * AB_NAME_BYTES + 2];
  struct full *full = find_full (areas, service, area, idempotent, key);

  if (!full)
    {
      full = calloc (1, sizeof *full);
      if (!full)
        return; /* It is asked once more.  */
      memcpy (full->key, key, sizeof full->key);
      HASH_ADD_STR (areas->full, key, full);
    }
  full->until_ms
      = now_ms + (wait_ms < AB_AREA_FULL_MS ? wait_ms : AB_AREA_FULL_MS);
}

bool
ab_areas_is_full (const struct ab_areas *areas, const char *service,
                  const struct ab_area *area, bool idempotent, uint64_t now_ms)
{
  char key[3 * AB_NAME_BYTES + 2];
  const struct full *full = find_full (areas, service, area, idempotent, key);

  return full && now_ms < full->until_ms;
}

bool
ab_areas_target_ready (const struct ab_areas *areas, const char *id)
{
  struct known *known = NULL;

  HASH_FIND_STR (areas->known, id, known);
  return known && known->target.state == AB_FLEET_TARGET_READY;
}

static void
add_area (struct ab_area *list, size_t *count, size_t max, const char *region,
          const struct place *place)
{
  struct ab_area *area;

  for (size_t i = 0; i < *count; i++)
    if (strcmp (list[i].region, region) == 0
        && strcmp (list[i].failure_domain, area_of (place)) == 0)
      {
        list[i].targets += place->targets;
        return;
      }
  if (*count == max)
    return;
  area = &list[(*count)++];
  memset (area, 0, sizeof *area);
  ab_chunk_copy (ab_chunk_str (region), area->region, sizeof area->region);
  ab_chunk_copy (ab_chunk_str (area_of (place)), area->failure_domain,
                 sizeof area->failure_domain);
  area->targets = place->targets;
}

/* The smaller, the earlier the area is asked by a host whose own area in
   REGION is that of OWN.  */
static int
distance (const struct ab_area *area, const char *region, const char *own)
{
  if (strcmp (area->region, region) != 0)
    return 2;
  return strcmp (area->failure_domain, own) != 0;
}

static void
sort_areas (struct ab_area *list, size_t count, const char *region,
            const char *own)
{
  for (size_t i = 1; i < count; i++)
    for (size_t j = i; j > 0
                       && distance (&list[j], region, own)
                              < distance (&list[j - 1], region, own);
         j--)
      {
        struct ab_area swap = list[j];
        list[j] = list[j - 1];
        list[j - 1] = swap;
      }
}

size_t
ab_areas_list (const struct ab_areas *areas, const char *service,
               const char *failure_domain, struct ab_area *list, size_t max)
{
  const char *own = "";
  size_t count = 0;

  for (const struct place *p = areas->places; p; p = p->hh.next)
    {
      if (p->targets == 0 || strcmp (p->service, service) != 0)
        continue;
      add_area (list, &count, max,
                ab_fleet_region (areas->settings, p->failure_domain), p);
      if (strcmp (p->failure_domain, failure_domain) == 0)
        own = area_of (p);
    }
  sort_areas (list, count, ab_fleet_region (areas->settings, failure_domain),
              own);
  return count;
}
