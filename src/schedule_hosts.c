#include "schedule_hosts.h"

#include <stdlib.h>
#include <uthash.h>

#include "rendezvous.h"

/* Several times a round trip within a region, and between regions.  */
#define ANSWER_MS 80
#define ANSWER_FAR_MS 180
/* Of a host that was never heard, within START_MS of this host's start: after
   a common start connections come up and bursts of asks arrive.  Later a
   request may have to ask one silent host after the other.  */
#define ANSWER_FIRST_MS 450
#define START_MS 5000
/* A host that did not answer is left out this long, twice as long each further
   time, so that requests do not wait for it and hosts that are cut off from it
   agree on another one.  */
#define SILENT_MS 600
#define SILENT_MAX_MS 4800
/* Then one request tries it, and others when that had no answer for so
   long.  */
#define TRIAL_MS 500
/* Links with less than this part of the widest one are narrow.  */
#define NARROW_PART 2

struct known
{
  char host[AB_ADDRESS_BYTES];
  bool heard;
  unsigned silences; /* Since it was heard.  */
  uint64_t silent_until_ms;
  uint64_t tried_ms; /* When it was asked after a silence.  */
  UT_hash_handle hh;
};

struct ab_schedule_hosts
{
  const struct ab_fleet_settings *settings;
  uint64_t started_ms;
  struct known *known;
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
  struct known *known;

  if (!hosts)
    return;
  known = hosts->known;
  HASH_CLEAR (hh, hosts->known);
  while (known)
    {
      struct known *next = known->hh.next;
      free (known);
      known = next;
    }
  free (hosts);
}

static struct known *
find_known (const struct ab_schedule_hosts *hosts, const char *host)
{
  struct known *known = NULL;

  HASH_FIND_STR (hosts->known, host, known);
  return known;
}

/* Null when there is no memory: the host counts as never heard.  */
static struct known *
get_known (struct ab_schedule_hosts *hosts, const char *host)
{
  struct known *known = find_known (hosts, host);

  if (known)
    return known;
  known = calloc (1, sizeof *known);
  if (!known)
    return NULL;
  ab_chunk_copy (ab_chunk_str (host), known->host, sizeof known->host);
  HASH_ADD_STR (hosts->known, host, known);
  return known;
}

static bool
is_silent (const struct ab_schedule_hosts *hosts, const char *host,
           uint64_t now_ms)
{
  const struct known *known = find_known (hosts, host);

  return known && known->silences > 0
         && (now_ms < known->silent_until_ms
             || now_ms < known->tried_ms + TRIAL_MS);
}

static bool
may_schedule (const struct ab_schedule_hosts *hosts,
              const struct ab_fleet_host *host, const struct ab_area *area)
{
  if (!host->schedules)
    return false;
  if (area->failure_domain[0])
    return strcmp (host->failure_domain, area->failure_domain) == 0;
  return strcmp (ab_fleet_region (hosts->settings, host->failure_domain),
                 area->region)
         == 0;
}

/* The widest link of a host in AREA that answers.  */
static uint64_t
widest_link (const struct ab_schedule_hosts *hosts,
             const struct ab_fleet_host *list, size_t count,
             const struct ab_area *area, uint64_t now_ms)
{
  uint64_t widest = 0;

  for (size_t i = 0; i < count; i++)
    if (list[i].link_mbps > widest && may_schedule (hosts, &list[i], area)
        && !is_silent (hosts, list[i].peer, now_ms))
      widest = list[i].link_mbps;
  return widest;
}

const char *
ab_schedule_hosts_choose (const struct ab_schedule_hosts *hosts,
                          const struct ab_fleet_host *list, size_t count,
                          const struct ab_area *area, const char *service,
                          uint64_t now_ms)
{
  uint64_t widest = widest_link (hosts, list, count, area, now_ms);
  uint64_t subject = ab_rendezvous_hash (ab_chunk_str (service));
  uint64_t best_score = 0;
  const char *best = NULL;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t score;
      if (list[i].link_mbps * NARROW_PART < widest
          || !may_schedule (hosts, &list[i], area)
          || is_silent (hosts, list[i].peer, now_ms))
        continue;
      score = ab_rendezvous_score (
          subject, ab_rendezvous_hash (ab_chunk_str (list[i].peer)));
      if (best && score <= best_score)
        continue;
      best = list[i].peer;
      best_score = score;
    }
  return best;
}

uint64_t
ab_schedule_hosts_answer_ms (const struct ab_schedule_hosts *hosts,
                             const char *host, bool far, uint64_t now_ms)
{
  const struct known *known = find_known (hosts, host);

  if ((!known || !known->heard) && now_ms < hosts->started_ms + START_MS)
    return ANSWER_FIRST_MS;
  return far ? ANSWER_FAR_MS : ANSWER_MS;
}

void
ab_schedule_hosts_heard (struct ab_schedule_hosts *hosts, const char *host)
{
  struct known *known = get_known (hosts, host);

  if (!known)
    return;
  known->heard = true;
  known->silences = 0;
}

void
ab_schedule_hosts_asked (struct ab_schedule_hosts *hosts, const char *host,
                         uint64_t now_ms)
{
  struct known *known = find_known (hosts, host);

  if (known && known->silences > 0)
    known->tried_ms = now_ms;
}

void
ab_schedule_hosts_silent (struct ab_schedule_hosts *hosts, const char *host,
                          uint64_t now_ms)
{
  struct known *known = get_known (hosts, host);
  uint64_t time = SILENT_MS;

  if (!known || now_ms < known->silent_until_ms)
    return;
  for (unsigned i = 0; i < known->silences && time < SILENT_MAX_MS; i++)
    time *= 2;
  known->silences++;
  known->silent_until_ms = now_ms + time;
}
