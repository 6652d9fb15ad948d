/* Internals of member_task.h, shared by its source files: the task itself
   (member_task.c), the HTTP interface (member_http_task.c), queries
   (member_query_task.c) and the choice of hosts (member_choice_task.c).  */

#ifndef AB_MEMBER_STATE_TASK_H
#define AB_MEMBER_STATE_TASK_H

#include "lease.h"
#include "member_task.h"
#include "membership.h"

#define MEMBER_LISTENERS_MAX 8

struct event;
struct member_choices;

struct member_change; /* Defined in member_task.c.  */

struct ab_member_task
{
  struct ab_membership_env env; /* Must be first.  */
  struct ab_daemon *daemon;
  struct ab_membership *m;
  struct ab_leases *leases;
  struct ab_rng rng;
  struct event *tick;
  struct event *notify;
  struct member_change *changes; /* Not yet passed to the listeners.  */
  struct
  {
    ab_host_listener listener;
    void *ctx;
  } host_listeners[MEMBER_LISTENERS_MAX];
  struct
  {
    ab_target_listener listener;
    void *ctx;
  } target_listeners[MEMBER_LISTENERS_MAX];
  struct
  {
    ab_quarantine_listener listener;
    void *ctx;
  } quarantine_listeners[MEMBER_LISTENERS_MAX];
  size_t host_listener_count;
  size_t target_listener_count;
  size_t quarantine_listener_count;
  struct member_choices *choices; /* Cache of dispatchers by subject.  */
  uint64_t last_tick_ms;
  size_t lease_changes_left; /* Lease changes allowed until the next tick.  */
  bool leaving;
  bool ready;
};

/* Monotonic time.  */
uint64_t member_now_ms (void);

/* Applies changes of leases to the view, at most lease_changes_left.  */
void member_flush_leases (struct ab_member_task *task);

/* Clears the cache of dispatchers; called after a change of a host.  */
void member_choices_clear (struct ab_member_task *task);

/* Writes to HOSTS up to MAX entry hosts for a caller of SERVICE in
   FAILURE_DOMAIN, the preferred one first.  Returns how many were written.  */
size_t member_choose_addresses (struct ab_member_task *task,
                                struct ab_chunk service,
                                struct ab_chunk failure_domain,
                                const struct ab_host_view **hosts, size_t max);

#endif
