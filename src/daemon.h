/* Objects that the tasks of one process share.

   All tasks use the settings, the event base, the counters, the explanations
   and the logger.  A task's own data is used by the others only through the
   functions of that task.  */

#ifndef AB_DAEMON_H
#define AB_DAEMON_H

#include <stdint.h>

#include "counter.h"
#include "explain.h"
#include "settings.h"

struct event_base;
struct ab_peer_task;
struct ab_member_task;
struct ab_bundle_task;
struct ab_control_task;
struct ab_control_client;
struct ab_dispatch_task;
struct ab_limit_task;
struct ab_proxy_task;
struct ab_admin_task;
struct ab_stop_task;
struct ab_conn_bounds;

struct ab_daemon
{
  const struct ab_settings *settings;
  struct event_base *base;
  struct ab_counters *counters;
  struct ab_explain *explain;
  uint64_t incarnation; /* Wall-clock time of this start, in ms.  */
  struct ab_conn_bounds *conn_bounds;
  struct ab_peer_task *peer;
  struct ab_member_task *member;
  struct ab_bundle_task *bundle;
  struct ab_control_client *control_client;
  struct ab_control_task *control;   /* Control hosts only.  */
  struct ab_dispatch_task *dispatch; /* Entry hosts only.  */
  struct ab_limit_task *limit;       /* Entry hosts only.  */
  struct ab_proxy_task *proxy;       /* Entry hosts only.  */
  struct ab_admin_task *admin;
  struct ab_stop_task *stop;
};

#endif
