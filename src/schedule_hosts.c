#include "schedule_hosts.h"

#include <stdlib.h>
#include <uthash.h>

#include "rendezvous.h"

/* Time for a reply: several round trips within a region, and between
   regions.  */
#define REPLY_TIMEOUT_MS 80
#define REPLY_TIMEOUT_REMOTE_MS 180
/* Time for a reply of a host that has never answered, within STARTUP_MS of
   this host's start: after a common start, connections come up and bursts of
   requests arrive.  Later a request may have to try several unresponsive hosts
   in turn.  */
#define REPLY_TIMEOUT_FIRST_MS 450
#define STARTUP_MS 5000
/* Exponential backoff: a host that did not answer is skipped for this long,
   and twice as long each further time, so that requests do not wait for it and
   hosts that are cut off from it agree on another one.  */
#define BACKOFF_MS 600
#define BACKOFF_MAX_MS 4800
/* After the backoff one request probes the host; others do so when that one
   had no reply for this long.  */
#define PROBE_INTERVAL_MS 500
/* A host asks at least this many candidates before it schedules its own
   request, and up to CANDIDATES_MAX while less than 1/WAIT_DIVISOR of the time
   until the deadline has passed.  When 85 of 139 hosts are killed at once, the
   first three candidates are all lost for a quarter of the shards, the first
   six for a twentieth.  */
#define CANDIDATES_MIN 3
#define CANDIDATES_MAX 6
#define WAIT_DIVISOR 4
/* A link is narrow if it has less than 1/NARROW_DIVISOR of the capacity of the
   widest one.  */
#define NARROW_DIVISOR 2

struct host_record
{
  char host[AB_ADDRESS_BYTES];
  bool has_answered;
  unsigned timeouts; /* Since the host last answered.  */
  uint64_t backoff_until_ms;
  uint64_t probed_ms; /* When it was last probed after it did not answer.  */
  UT_hash_handle hh;
};

struct ab_schedule_hosts
{
  const struct ab_fleet_settings *settings;
  uint64_t started_ms;
  struct host_record *records;
};

struct ab_schedule_hosts *
ab_schedule_hosts_new (const struct ab_fleet_settings *settings,
                       uint64_t now_ms)
{
  struct ab_schedule_hosts *hosts = calloc (1, sizeof *hosts);

  if (!hosts)
    return NULL;
  hosts->settings = settings;
  hosts->started_ms = now_ms;
  return hosts;
}

void
ab_schedule_hosts_free (struct ab_schedule_hosts *hosts)
{
  struct host_record *host_record;

  if (!hosts)
    return;
  host_record = hosts->records;
  HASH_CLEAR (hh, hosts->records);
  while (host_record)
    {
      struct host_record *next = host_record->hh.next;
      free (host_record);
      host_record = next;
    }
  free (hosts);
}

static struct host_record *
find_record (const struct ab_schedule_hosts *hosts, const char *host)
{
  struct host_record *host_record = NULL;

  HASH_FIND_STR (hosts->records, host, host_record);
  return host_record;
}

/* Returns the record of HOST, or null without memory, in which case the host
   counts as one that has never answered.  */
static struct host_record *
get_record (struct ab_schedule_hosts *hosts, const char *host)
{
  struct host_record *host_record = find_record (hosts, host);

  if (host_record)
    return host_record;
  host_record = calloc (1, sizeof *host_record);
  if (!host_record)
    return NULL;
  ab_chunk_copy_bounded (ab_chunk_str (host), host_record->host,
                         sizeof host_record->host);
  HASH_ADD_STR (hosts->records, host, host_record);
  return host_record;
}

static bool
is_unresponsive (const struct ab_schedule_hosts *hosts, const char *host,
                 uint64_t now_ms)
{
  const struct host_record *host_record = find_record (hosts, host);

  return host_record && host_record->timeouts > 0
         && (now_ms < host_record->backoff_until_ms
             || now_ms < host_record->probed_ms + PROBE_INTERVAL_MS);
}

static bool
may_schedule (const struct ab_schedule_hosts *hosts,
              const struct ab_fleet_host *host, const struct ab_shard *shard)
{
  if (!host->may_schedule)
    return false;
  if (shard->failure_domain[0])
    return strcmp (host->failure_domain, shard->failure_domain) == 0;
  return strcmp (ab_fleet_region (hosts->settings, host->failure_domain),
                 shard->region)
         == 0;
}

/* Hosts among which a scheduler is chosen.  */
struct candidates
{
  const struct ab_schedule_hosts *hosts;
  const struct ab_fleet_host *list;
  size_t count;
  const struct ab_shard *shard;
  bool with_unresponsive;
  uint64_t now_ms;
};

static bool
is_candidate (const struct candidates *candidates,
              const struct ab_fleet_host *host)
{
  return may_schedule (candidates->hosts, host, candidates->shard)
         && (candidates->with_unresponsive
             || !is_unresponsive (candidates->hosts, host->peer,
                                  candidates->now_ms));
}

/* Returns the capacity of the widest link of a candidate, in Mbit/s.  */
static uint64_t
widest_link_mbps (const struct candidates *candidates)
{
  uint64_t widest = 0;

  for (size_t i = 0; i < candidates->count; i++)
    if (candidates->list[i].link_mbps > widest
        && is_candidate (candidates, &candidates->list[i]))
      widest = candidates->list[i].link_mbps;
  return widest;
}

/* Returns the candidate that comes first in the rendezvous order of
   SERVICE.  */
static const char *
choose_candidate (const struct candidates *candidates, const char *service)
{
  uint64_t widest = widest_link_mbps (candidates);
  uint64_t subject = ab_rendezvous_hash (ab_chunk_str (service));
  uint64_t best_score = 0;
  const char *best = NULL;

  for (size_t i = 0; i < candidates->count; i++)
    {
      const struct ab_fleet_host *host = &candidates->list[i];
      uint64_t score;
      if (host->link_mbps * NARROW_DIVISOR < widest
          || !is_candidate (candidates, host))
        continue;
      score = ab_rendezvous_score (
          subject, ab_rendezvous_hash (ab_chunk_str (host->peer)));
      if (best && score <= best_score)
        continue;
      best = host->peer;
      best_score = score;
    }
  return best;
}

const char *
ab_schedule_hosts_choose (const struct ab_schedule_hosts *hosts,
                          const struct ab_fleet_host *list, size_t count,
                          const struct ab_shard *shard, const char *service,
                          uint64_t now_ms)
{
  const struct candidates candidates = { .hosts = hosts,
                                         .list = list,
                                         .count = count,
                                         .shard = shard,
                                         .now_ms = now_ms };

  return choose_candidate (&candidates, service);
}

const char *
ab_schedule_hosts_first (const struct ab_schedule_hosts *hosts,
                         const struct ab_fleet_host *list, size_t count,
                         const struct ab_shard *shard, const char *service)
{
  const struct candidates candidates = { .hosts = hosts,
                                         .list = list,
                                         .count = count,
                                         .shard = shard,
                                         .with_unresponsive = true };

  return choose_candidate (&candidates, service);
}

bool
ab_schedule_hosts_ask_another (unsigned timeouts, uint64_t elapsed_ms,
                               uint64_t timeout_ms)
{
  return timeouts < CANDIDATES_MIN
         || (timeouts < CANDIDATES_MAX
             && elapsed_ms < timeout_ms / WAIT_DIVISOR);
}

uint64_t
ab_schedule_hosts_answer_timeout_ms (const struct ab_schedule_hosts *hosts,
                                     const char *host, bool is_remote,
                                     uint64_t now_ms)
{
  const struct host_record *host_record = find_record (hosts, host);

  if ((!host_record || !host_record->has_answered)
      && now_ms < hosts->started_ms + STARTUP_MS)
    return REPLY_TIMEOUT_FIRST_MS;
  return is_remote ? REPLY_TIMEOUT_REMOTE_MS : REPLY_TIMEOUT_MS;
}

void
ab_schedule_hosts_answered (struct ab_schedule_hosts *hosts, const char *host)
{
  struct host_record *host_record = get_record (hosts, host);

  if (!host_record)
    return;
  host_record->has_answered = true;
  host_record->timeouts = 0;
}

void
ab_schedule_hosts_requested (struct ab_schedule_hosts *hosts, const char *host,
                             uint64_t now_ms)
{
  struct host_record *host_record = find_record (hosts, host);

  if (host_record && host_record->timeouts > 0)
    host_record->probed_ms = now_ms;
}

void
ab_schedule_hosts_unresponsive (struct ab_schedule_hosts *hosts,
                                const char *host, uint64_t now_ms)
{
  struct host_record *host_record = get_record (hosts, host);
  uint64_t backoff_ms = BACKOFF_MS;

  if (!host_record || now_ms < host_record->backoff_until_ms)
    return;
  for (unsigned i = 0;
       i < host_record->timeouts && backoff_ms < BACKOFF_MAX_MS; i++)
    backoff_ms *= 2;
  host_record->timeouts++;
  host_record->backoff_until_ms = now_ms + backoff_ms;
}
