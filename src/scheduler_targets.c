#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

#include "rendezvous.h"
#include "scheduler_internal.h"

/* Assumed latency of a service before any is measured.  */
#define LATENCY_DEFAULT_MS 200
/* How long a path from a host to a target counts as broken.  */
#define BROKEN_PATH_MS 4000
/* A host with this many broken paths is cut off from a part of the targets. */
#define CUT_PATHS 2
/* A target that this many hosts recently could not reach counts as down for
   all of them.  */
#define PATH_HOSTS_DOWN 2

struct ab_sched_service *
ab_sched_get_service (struct ab_scheduler *s, const char *name,
                      const char *shard)
{
  struct ab_sched_service *service = NULL;
  char key[sizeof service->key];

  snprintf (key, sizeof key, "%s\n%s", name, shard);
  HASH_FIND_STR (s->services, key, service);
  if (service)
    return service;
  service = calloc (1, sizeof *service);
  if (!service)
    return NULL;
  memcpy (service->key, key, sizeof key);
  service->role.schedulers = 1;
  HASH_ADD_STR (s->services, key, service);
  return service;
}

double
ab_sched_typical_latency_ms (const struct ab_sched_service *service)
{
  return service->latency_ms > 0 ? service->latency_ms : LATENCY_DEFAULT_MS;
}

void
ab_sched_remove_target (struct ab_scheduler *s, struct ab_sched_target *target)
{
  struct ab_sched_service *service = target->service;

  /* Always true; the static analyser cannot follow the list and the hash
     table.  */
  if (target->prev == target || service->targets != target || target->next)
    DL_DELETE (service->targets, target);
  if (s->targets && s->targets->hh.tbl)
    HASH_DEL (s->targets, target);
  free (target);
}

static struct ab_sched_target *
add_target (struct ab_scheduler *s, const struct ab_fleet_target *fleet_target,
            struct ab_sched_service *service, uint64_t now_ms)
{
  struct ab_sched_target *target = calloc (1, sizeof *target);

  if (!target)
    return NULL;
  target->service = service;
  target->fleet_target = *fleet_target;
  target->id_hash = ab_rendezvous_hash (ab_chunk_str (fleet_target->id));
  target->joined_ms = now_ms;
  target->cold_until_ms = now_ms + fleet_target->cold_ms;
  DL_APPEND (service->targets, target);
  HASH_ADD_STR (s->targets, fleet_target.id, target);
  return target;
}

/* Discards a target's health record, for a new incarnation.  */
static void
reset_target (struct ab_sched_target *target, uint64_t cold_ms,
              uint64_t now_ms)
{
  memset (&target->health, 0, sizeof target->health);
  memset (target->broken_paths, 0, sizeof target->broken_paths);
  target->broken_until_ms = 0;
  memset (target->pauses, 0, sizeof target->pauses);
  target->paused_until_ms = 0;
  target->leaving = false;
  memset (&target->rate, 0, sizeof target->rate);
  target->joined_ms = now_ms;
  target->cold_until_ms = now_ms + cold_ms;
  target->used = false;
}

/* Moves TARGET to the list of SERVICE.  Requests in flight stay with the
   service that granted them.  */
static void
move_target (struct ab_sched_target *target, struct ab_sched_service *service)
{
  DL_DELETE (target->service->targets, target);
  DL_APPEND (service->targets, target);
  target->service = service;
}

void
ab_scheduler_set_target (struct ab_scheduler *s,
                         const struct ab_fleet_target *fleet_target,
                         const char *shard, uint64_t now_ms)
{
  struct ab_sched_service *service
      = ab_sched_get_service (s, fleet_target->service, shard);
  struct ab_sched_target *target = NULL;

  HASH_FIND_STR (s->targets, fleet_target->id, target);
  if (!service || (!target && fleet_target->state == AB_FLEET_TARGET_REMOVED))
    return;
  if (!target)
    {
      target = add_target (s, fleet_target, service, now_ms);
      if (!target)
        return;
    }
  else if (target->fleet_target.started_ms != fleet_target->started_ms)
    reset_target (target, fleet_target->cold_ms, now_ms);
  if (target->service != service)
    move_target (target, service);
  target->fleet_target = *fleet_target;
  if (fleet_target->state == AB_FLEET_TARGET_REMOVED && target->in_flight == 0)
    ab_sched_remove_target (s, target);
}

void
ab_scheduler_set_rate_limit (struct ab_scheduler *s, const char *id,
                             uint64_t per_1000_s, uint64_t now_ms)
{
  struct ab_sched_target *target = NULL;

  HASH_FIND_STR (s->targets, id, target);
  if (target)
    ab_rate_bucket_set (&target->rate, per_1000_s, now_ms);
}

bool
ab_sched_path_broken (const struct ab_sched_target *target, uint64_t host,
                      uint64_t now_ms)
{
  if (now_ms >= target->broken_until_ms)
    return false;
  for (size_t i = 0; i < AB_SCHED_PATHS_MAX; i++)
    if (target->broken_paths[i].host == host
        && now_ms < target->broken_paths[i].until_ms)
      return true;
  return false;
}

bool
ab_sched_target_accepts (const struct ab_sched_target *target)
{
  return target->fleet_target.state == AB_FLEET_TARGET_READY
         && !target->leaving;
}

/* Returns the entry of HOST among the COUNT entries of PATHS, or else the one
   that ends first, to be replaced.  */
static struct ab_sched_path *
path_entry (struct ab_sched_path *paths, size_t count, uint64_t host)
{
  size_t entry = 0;

  for (size_t i = 0; i < count; i++)
    if (paths[i].host == host
        || (paths[entry].host != host
            && paths[i].until_ms < paths[entry].until_ms))
      entry = i;
  return &paths[entry];
}

void
ab_sched_record_pause (struct ab_sched_target *target, uint64_t host,
                       uint64_t pause_ms, uint64_t now_ms)
{
  struct ab_sched_path *entry
      = path_entry (target->pauses, AB_SCHED_PAUSES_MAX, host);

  if (target->paused_until_ms < now_ms + pause_ms)
    target->paused_until_ms = now_ms + pause_ms;
  if (entry->host != host || entry->until_ms < now_ms + pause_ms)
    *entry = (struct ab_sched_path){ .host = host,
                                     .until_ms = now_ms + pause_ms };
}

uint64_t
ab_sched_pause_left_ms (const struct ab_sched_target *target, uint64_t host,
                        uint64_t now_ms)
{
  if (now_ms >= target->paused_until_ms)
    return 0;
  for (size_t i = 0; i < AB_SCHED_PAUSES_MAX; i++)
    if (target->pauses[i].host == host && now_ms < target->pauses[i].until_ms)
      return target->pauses[i].until_ms - now_ms;
  return 0;
}

/* Records that HOST could not reach TARGET.  Returns how many hosts recently
   could not.  */
static size_t
record_broken_path (struct ab_sched_target *target, uint64_t host,
                    uint64_t now_ms)
{
  size_t count = 0;

  target->broken_until_ms = now_ms + BROKEN_PATH_MS;
  *path_entry (target->broken_paths, AB_SCHED_PATHS_MAX, host)
      = (struct ab_sched_path){ .host = host,
                                .until_ms = now_ms + BROKEN_PATH_MS };
  for (size_t i = 0; i < AB_SCHED_PATHS_MAX; i++)
    count += now_ms < target->broken_paths[i].until_ms;
  return count;
}

/* Records that HOST could not reach a target which responded to others.  */
static void
record_cut_host (struct ab_sched_service *service, uint64_t host,
                 uint64_t now_ms)
{
  struct ab_sched_cut_host *entry = &service->cut_hosts[0];

  for (size_t i = 0; i < AB_SCHED_CUT_HOSTS_MAX && entry->host != host; i++)
    if (service->cut_hosts[i].host == host
        || service->cut_hosts[i].until_ms < entry->until_ms)
      entry = &service->cut_hosts[i];
  if (entry->host != host || now_ms >= entry->until_ms)
    *entry = (struct ab_sched_cut_host){ .host = host };
  entry->until_ms = now_ms + BROKEN_PATH_MS;
  entry->paths++;
}

static uint64_t
host_of (const struct ab_sched_request *request)
{
  return ab_rendezvous_hash (ab_chunk_str (request->slot_request.host));
}

bool
ab_sched_host_is_cut (const struct ab_sched_request *request, uint64_t now_ms)
{
  const struct ab_sched_cut_host *hosts = request->service->cut_hosts;
  uint64_t host = host_of (request);

  for (size_t i = 0; i < AB_SCHED_CUT_HOSTS_MAX; i++)
    if (hosts[i].host == host)
      return now_ms < hosts[i].until_ms && hosts[i].paths >= CUT_PATHS;
  return false;
}

bool
ab_sched_record_path_failure (struct ab_sched_target *target,
                              const struct ab_sched_request *request,
                              enum ab_target_event event, uint64_t now_ms)
{
  uint64_t host = host_of (request);
  bool responds_to_others = target->answered_ms > request->granted_ms;
  size_t broken;

  if (event != AB_TARGET_UNREACHABLE && event != AB_TARGET_TIMEOUT
      && event != AB_TARGET_LOST)
    return false;
  if (event == AB_TARGET_UNREACHABLE && responds_to_others)
    record_cut_host (request->service, host, now_ms);
  if (event != AB_TARGET_UNREACHABLE
      && !ab_sched_host_is_cut (request, now_ms))
    return false;
  broken = record_broken_path (target, host, now_ms);
  /* Several hosts that cannot connect indicate a target that is down, unless
     it responds to others or they are cut off from other targets too.  */
  return broken < PATH_HOSTS_DOWN || responds_to_others
         || ab_sched_host_is_cut (request, now_ms);
}

uint64_t
ab_sched_target_slots (const struct ab_sched_target *target, uint64_t now_ms)
{
  uint64_t slots = target->fleet_target.slots;

  if (now_ms < target->cold_until_ms)
    slots = (slots + 1) / 2;
  return ab_sched_shared_slots (target, slots);
}
