#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

#include "scheduler_impl.h"

/* Of a service without a measured latency.  */
#define LATENCY_DEFAULT_MS 200
/* How long a path counts as broken.  */
#define PATH_MS 4000

struct ab_sched_service *
ab_sched_get_service (struct ab_scheduler *s, const char *name,
                      const char *area)
{
  struct ab_sched_service *service = NULL;
  char key[sizeof service->key];

  snprintf (key, sizeof key, "%s\n%s", name, area);
  HASH_FIND_STR (s->services, key, service);
  if (service)
    return service;
  service = calloc (1, sizeof *service);
  if (!service)
    return NULL;
  memcpy (service->key, key, sizeof key);
  HASH_ADD_STR (s->services, key, service);
  return service;
}

double
ab_sched_usual_ms (const struct ab_sched_service *service)
{
  return service->latency_ms > 0 ? service->latency_ms : LATENCY_DEFAULT_MS;
}

void
ab_sched_forget_target (struct ab_scheduler *s, struct ab_sched_target *target)
{
  struct ab_sched_service *service = target->service;

  /* Always: the analyser cannot follow the list and the table.  */
  if (target->prev == target || service->targets != target || target->next)
    DL_DELETE (service->targets, target);
  if (s->targets && s->targets->hh.tbl)
    HASH_DEL (s->targets, target);
  free (target);
}

static struct ab_sched_target *
add_target (struct ab_scheduler *s, const struct ab_fleet_target *known,
            struct ab_sched_service *service, uint64_t now_ms)
{
  struct ab_sched_target *target = calloc (1, sizeof *target);

  if (!target)
    return NULL;
  target->service = service;
  target->known = *known;
  target->joined_ms = now_ms;
  target->cold_until_ms = now_ms + known->cold_ms;
  DL_APPEND (service->targets, target);
  HASH_ADD_STR (s->targets, known.id, target);
  return target;
}

/* Starts a target's record anew, for a new incarnation.  */
static void
reset_target (struct ab_sched_target *target, uint64_t cold_ms,
              uint64_t now_ms)
{
  memset (&target->health, 0, sizeof target->health);
  memset (target->paths, 0, sizeof target->paths);
  target->joined_ms = now_ms;
  target->cold_until_ms = now_ms + cold_ms;
  target->used = false;
}

/* Requests under way stay with the service that granted them.  */
static void
move_target (struct ab_sched_target *target, struct ab_sched_service *service)
{
  DL_DELETE (target->service->targets, target);
  DL_APPEND (service->targets, target);
  target->service = service;
}

void
ab_scheduler_set_target (struct ab_scheduler *s,
                         const struct ab_fleet_target *known, const char *area,
                         uint64_t now_ms)
{
  struct ab_sched_service *service
      = ab_sched_get_service (s, known->service, area);
  struct ab_sched_target *target = NULL;

  HASH_FIND_STR (s->targets, known->id, target);
  if (!service || (!target && known->state == AB_FLEET_TARGET_GONE))
    return;
  if (!target)
    {
      target = add_target (s, known, service, now_ms);
      if (!target)
        return;
    }
  else if (target->known.born != known->born)
    reset_target (target, known->cold_ms, now_ms);
  if (target->service != service)
    move_target (target, service);
  target->known = *known;
  if (known->state == AB_FLEET_TARGET_GONE && target->in_flight == 0)
    ab_sched_forget_target (s, target);
}

bool
ab_sched_path_broken (const struct ab_sched_target *target, uint64_t host,
                      uint64_t now_ms)
{
  for (size_t i = 0; i < AB_SCHED_PATHS_MAX; i++)
    if (target->paths[i].host == host && now_ms < target->paths[i].until_ms)
      return true;
  return false;
}

size_t
ab_sched_note_broken_path (struct ab_sched_target *target, uint64_t host,
                           uint64_t now_ms)
{
  size_t slot = 0;
  size_t count = 0;

  for (size_t i = 0; i < AB_SCHED_PATHS_MAX; i++)
    if (target->paths[i].host == host
        || (target->paths[slot].host != host
            && target->paths[i].until_ms < target->paths[slot].until_ms))
      slot = i;
  target->paths[slot]
      = (struct ab_sched_path){ .host = host, .until_ms = now_ms + PATH_MS };
  for (size_t i = 0; i < AB_SCHED_PATHS_MAX; i++)
    count += now_ms < target->paths[i].until_ms;
  return count;
}

uint64_t
ab_sched_slots (const struct ab_sched_target *target, uint64_t now_ms)
{
  uint64_t slots = target->known.slots;

  if (now_ms < target->cold_until_ms)
    slots = (slots + 1) / 2;
  return slots;
}
