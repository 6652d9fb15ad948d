/* Which host schedules a service's requests in an area, as one host sees it.

   The hosts with the widest links of an area are candidates: an ask behind a
   large body on a narrow link comes too late.  Of them the first in rendezvous
   order that answers takes all asks, so that hosts that agree on the list
   agree on the scheduler.  A host that did not answer is left out for a while;
   one that was never heard is given more time, as its connection has to come
   up first, and several hosts that place requests on the same targets overload
   them.  No I/O: times are given.  */

#ifndef AB_SCHEDULE_HOSTS_H
#define AB_SCHEDULE_HOSTS_H

#include "fleet_watch.h"
#include "schedule_areas.h"

struct ab_schedule_hosts;

struct ab_schedule_hosts *
ab_schedule_hosts_new (const struct ab_fleet_settings *settings,
                       uint64_t now_ms);
void ab_schedule_hosts_free (struct ab_schedule_hosts *hosts);

/* The peer address of the scheduler for SERVICE in AREA among LIST, or null
   when no host there answers.  */
const char *ab_schedule_hosts_choose (const struct ab_schedule_hosts *hosts,
                                      const struct ab_fleet_host *list,
                                      size_t count, const struct ab_area *area,
                                      const char *service, uint64_t now_ms);

/* How long HOST, in the own region or FAR, has for an answer to an ask.  */
uint64_t ab_schedule_hosts_answer_ms (const struct ab_schedule_hosts *hosts,
                                      const char *host, bool far,
                                      uint64_t now_ms);

/* HOST is asked; after a silence, others wait for the outcome.  */
void ab_schedule_hosts_asked (struct ab_schedule_hosts *hosts,
                              const char *host, uint64_t now_ms);
/* HOST answered, or did not in that time.  */
void ab_schedule_hosts_heard (struct ab_schedule_hosts *hosts,
                              const char *host);
void ab_schedule_hosts_silent (struct ab_schedule_hosts *hosts,
                               const char *host, uint64_t now_ms);

#endif
