#include "stand_in.h"

#include <stdio.h>
#include <stdlib.h>
#include <uthash.h>

#include "rendezvous.h"

struct requester
{
  uint64_t host; /* Rendezvous hash of its address.  */
  uint64_t last_ms;
};

/* The hosts of a shard that asked this one.  */
struct shard_record
{
  char key[2 * AB_NAME_BYTES]; /* Service, line feed, failure domain.  */
  uint64_t last_ms;
  size_t placers; /* At the last request.  */
  uint64_t
      regular_since_ms; /* Zero if this host is not the regular scheduler.  */
  struct requester requesters[AB_STAND_IN_HOSTS_MAX];
  UT_hash_handle hh;
};

struct ab_stand_in
{
  const struct ab_fleet_settings *settings;
  struct shard_record *records;
};

struct ab_stand_in *
ab_stand_in_new (const struct ab_fleet_settings *settings)
{
  struct ab_stand_in *stand_in = calloc (1, sizeof *stand_in);

  if (stand_in)
    stand_in->settings = settings;
  return stand_in;
}

void
ab_stand_in_free (struct ab_stand_in *stand_in)
{
  struct shard_record *record;

  if (!stand_in)
    return;
  record = stand_in->records;
  HASH_CLEAR (hh, stand_in->records);
  while (record)
    {
      struct shard_record *next = record->hh.next;
      free (record);
      record = next;
    }
  free (stand_in);
}

/* Frees records that have not been used within the window.  */
static void
discard_old (struct ab_stand_in *stand_in, uint64_t now_ms)
{
  struct shard_record *record;
  struct shard_record *next;

  HASH_ITER (hh, stand_in->records, record, next)
  if (now_ms - record->last_ms > AB_STAND_IN_WINDOW_MS)
    {
      HASH_DEL (stand_in->records, record);
      free (record);
    }
}

static struct shard_record *
get_record (struct ab_stand_in *stand_in,
            const struct ab_stand_in_request *request, uint64_t now_ms)
{
  struct shard_record *record = NULL;
  char key[sizeof record->key];

  snprintf (key, sizeof key, "%s\n%s", request->service,
            request->shard->failure_domain);
  HASH_FIND_STR (stand_in->records, key, record);
  if (record)
    return record;
  discard_old (stand_in, now_ms);
  record = calloc (1, sizeof *record);
  if (!record)
    return NULL;
  memcpy (record->key, key, sizeof key);
  HASH_ADD_STR (stand_in->records, key, record);
  return record;
}

/* Returns whether hosts in FAILURE_DOMAIN ask the scheduler of SHARD
   first.  */
static bool
belongs_to (const struct ab_stand_in *stand_in, const char *failure_domain,
            const struct ab_shard *shard)
{
  if (shard->failure_domain[0])
    return strcmp (failure_domain, shard->failure_domain) == 0;
  return strcmp (ab_fleet_region (stand_in->settings, failure_domain),
                 shard->region)
         == 0;
}

static void
record_requester (struct shard_record *record, const char *name,
                  uint64_t now_ms)
{
  uint64_t host = ab_rendezvous_hash (ab_chunk_str (name));
  struct requester *entry = record->requesters;

  for (size_t i = 0; i < AB_STAND_IN_HOSTS_MAX; i++)
    {
      struct requester *requester = &record->requesters[i];
      if (requester->host == host)
        {
          entry = requester;
          break;
        }
      if (requester->last_ms < entry->last_ms)
        entry = requester;
    }
  *entry = (struct requester){ .host = host, .last_ms = now_ms };
}

static size_t
count_requesters (const struct shard_record *record, uint64_t now_ms)
{
  size_t count = 0;

  for (size_t i = 0; i < AB_STAND_IN_HOSTS_MAX; i++)
    count
        += record->requesters[i].last_ms > 0
           && now_ms - record->requesters[i].last_ms <= AB_STAND_IN_WINDOW_MS;
  return count;
}

struct ab_stand_in_share
ab_stand_in_share (struct ab_stand_in *stand_in,
                   const struct ab_stand_in_request *request,
                   const struct ab_fleet_host *list, size_t count,
                   uint64_t now_ms)
{
  struct shard_record *record = get_record (stand_in, request, now_ms);
  struct ab_stand_in_share share = { .placers = 1 };
  size_t hosts = 1;
  size_t before = 0;
  size_t requesters;

  for (size_t i = 0; i < count; i++)
    {
      int order = strcmp (list[i].peer, request->own_host);
      if (order == 0
          || !belongs_to (stand_in, list[i].failure_domain, request->shard))
        continue;
      hosts++;
      before += order < 0;
    }
  share.position = (double)before / (double)hosts;
  if (record && belongs_to (stand_in, request->failure_domain, request->shard))
    record_requester (record, request->host, now_ms);
  requesters = record ? count_requesters (record, now_ms) : 0;
  if (requesters == 0)
    requesters = 1;
  if (record && !request->is_regular)
    record->regular_since_ms = 0;
  else if (record && record->regular_since_ms == 0)
    record->regular_since_ms = now_ms;
  if ((!request->is_regular
       || (record
           && now_ms - record->regular_since_ms < AB_STAND_IN_SETTLE_MS))
      && requesters < hosts)
    share.placers = hosts / requesters;
  if (record)
    {
      share.is_new = share.placers > 1
                     && (record->placers <= 1
                         || now_ms - record->last_ms > AB_STAND_IN_WINDOW_MS);
      record->last_ms = now_ms;
      record->placers = share.placers;
    }
  return share;
}
