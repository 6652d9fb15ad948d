/* Chooses the host that schedules a service's requests in a shard, as one host
   sees it.

   Candidates are the hosts of a shard with the widest links: a request queued
   behind a large body on a narrow link arrives too late.  The first candidate
   in rendezvous order that answers takes all requests, so hosts that agree on
   the list agree on the scheduler.  A host that did not answer is skipped for
   a while.  One that has never answered is given more time, as its connection
   must be established first; skipping it too early would let several hosts
   schedule for the same targets and overload them.  No I/O: the caller passes
   the time.  */

#ifndef AB_SCHEDULE_HOSTS_H
#define AB_SCHEDULE_HOSTS_H

#include "fleet_watch.h"
#include "schedule_shards.h"

struct ab_schedule_hosts;

struct ab_schedule_hosts *
ab_schedule_hosts_new (const struct ab_fleet_settings *settings,
                       uint64_t now_ms);
void ab_schedule_hosts_free (struct ab_schedule_hosts *hosts);

/* Returns the peer address of the scheduler for SERVICE in SHARD among the
   COUNT hosts of LIST, or null when no host there answers.  */
const char *ab_schedule_hosts_choose (const struct ab_schedule_hosts *hosts,
                                      const struct ab_fleet_host *list,
                                      size_t count,
                                      const struct ab_shard *shard,
                                      const char *service, uint64_t now_ms);

/* Likewise, but counts hosts that do not answer too: hosts that agree on LIST
   agree on the result.  */
const char *ab_schedule_hosts_first (const struct ab_schedule_hosts *hosts,
                                     const struct ab_fleet_host *list,
                                     size_t count,
                                     const struct ab_shard *shard,
                                     const char *service);

/* Returns whether another candidate of this host's shard is asked for a slot
   after TIMEOUTS of them did not answer, ELAPSED_MS after the request began,
   with TIMEOUT_MS until its deadline at that time.  If not, this host
   schedules the request itself.  */
bool ab_schedule_hosts_ask_another (unsigned timeouts, uint64_t elapsed_ms,
                                    uint64_t timeout_ms);

/* Returns the milliseconds that HOST has for a reply to a slot request.
   IS_REMOTE says whether it is in another region.  */
uint64_t
ab_schedule_hosts_answer_timeout_ms (const struct ab_schedule_hosts *hosts,
                                     const char *host, bool is_remote,
                                     uint64_t now_ms);

/* Records that a slot is requested from HOST.  If it was unresponsive, this
   request probes it, and other requests skip it until the result is known.  */
void ab_schedule_hosts_requested (struct ab_schedule_hosts *hosts,
                                  const char *host, uint64_t now_ms);
/* Record that HOST answered, or did not answer within
   ab_schedule_hosts_answer_timeout_ms.  */
void ab_schedule_hosts_answered (struct ab_schedule_hosts *hosts,
                                 const char *host);
void ab_schedule_hosts_unresponsive (struct ab_schedule_hosts *hosts,
                                     const char *host, uint64_t now_ms);

#endif
