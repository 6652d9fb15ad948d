/* Determines how many hosts may be placing requests at the targets of a shard
   at the same time as this one.

   The regular scheduler of a shard (ab_schedule_hosts_first) places alone.  A
   host that stands in for it, or that schedules its own requests as the last
   resort, is one of several: each host of the shard chooses for itself whom it
   asks.  The fraction of the shard's hosts that asked this one lately is the
   fraction of the targets' slots that it may use.  So does a scheduler that
   has just become the regular one, as the hosts that have not asked it yet
   have not told it what they have in flight.  No I/O: the caller passes the
   time.  */

#ifndef AB_STAND_IN_H
#define AB_STAND_IN_H

#include "fleet_watch.h"
#include "schedule_shards.h"

/* A host counts as asking this one for this long after its last request.  */
#define AB_STAND_IN_WINDOW_MS 2000
/* A regular scheduler shares for this long after its first request: hosts
   change over within some round trips.  */
#define AB_STAND_IN_SETTLE_MS 300
/* Hosts that are counted for one service and shard; more count as absent.  */
#define AB_STAND_IN_HOSTS_MAX 256

struct ab_stand_in;

/* How this host shares the targets of a shard.  */
struct ab_stand_in_share
{
  /* Hosts that may place requests there, this one included; at least 1.  */
  size_t placers;
  /* Where this host begins among the targets, from 0 up to but not including
     1; hosts that agree on the list of hosts are evenly spaced.  */
  double position;
  /* Whether PLACERS exceeds 1 and did not at the last request, or that one is
     older than the window.  */
  bool is_new;
};

/* A request and the host that is asked to place it.  */
struct ab_stand_in_request
{
  const char *service;
  const struct ab_shard *shard;
  const char *host; /* Peer address of the requester.  */
  const char *failure_domain;
  const char *own_host; /* Peer address of this host.  */
  bool is_regular;      /* This host is the regular scheduler.  */
};

/* Returns null without memory.  */
struct ab_stand_in *ab_stand_in_new (const struct ab_fleet_settings *settings);
void ab_stand_in_free (struct ab_stand_in *stand_in);

/* Records REQUEST and returns how this host shares the targets, given the
   COUNT hosts of LIST.  Requests to a regular scheduler count after it has
   been replaced, so that it does not stop granting while hosts change over.
   Without memory, the requester counts as the only one.  */
struct ab_stand_in_share ab_stand_in_share (
    struct ab_stand_in *stand_in, const struct ab_stand_in_request *request,
    const struct ab_fleet_host *list, size_t count, uint64_t now_ms);

#endif
