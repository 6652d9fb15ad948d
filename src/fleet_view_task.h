/* What an entry host knows of the fleet: the bundle in force, the targets, the
   other entry hosts.

   Follows one control host, in its own failure domain where there is one, and
   changes to another when that falls silent or loses touch with its group.
   What is known never goes back to an older state.  */

#ifndef AB_FLEET_VIEW_TASK_H
#define AB_FLEET_VIEW_TASK_H

#include "daemon.h"
#include "fleet_settings.h"
#include "fleet_watch.h"
#include "route_table.h"

/* A view that was not confirmed for this long may lack what is in force.  */
#define AB_FLEET_VIEW_FRESH_MS 1200

struct ab_fleet_view;

struct ab_fleet_view_ops
{
  void (*target) (void *ctx, const struct ab_fleet_target *target);
  void (*bundle) (void *ctx, struct ab_route_table *table);
  void (*hosts) (void *ctx);
  void (*taken) (void *ctx); /* After all news of a view.  */
};

int ab_fleet_view_new (struct ab_daemon *daemon,
                       const struct ab_fleet_settings *settings,
                       const struct ab_fleet_view_ops *ops, void *ctx,
                       struct ab_fleet_view **view);
void ab_fleet_view_free (struct ab_fleet_view *view);

/* What this host does for others.  A host that has started may schedule
   requests before it takes callers.  */
enum ab_fleet_duty
{
  AB_FLEET_STARTING,
  AB_FLEET_TAKES_CALLERS,
  AB_FLEET_STOPPING
};

/* Tells control hosts.  */
void ab_fleet_view_set_duty (struct ab_fleet_view *view,
                             enum ab_fleet_duty duty);

/* The table in force, or null before the first.  */
struct ab_route_table *ab_fleet_view_table (const struct ab_fleet_view *view);
size_t ab_fleet_view_hosts (const struct ab_fleet_view *view,
                            const struct ab_fleet_host **hosts);
/* How long ago the view was known to be current; UINT64_MAX: never.  */
uint64_t ab_fleet_view_age_ms (const struct ab_fleet_view *view);
uint64_t ab_fleet_view_index (const struct ab_fleet_view *view);

json_t *ab_fleet_view_state (const struct ab_fleet_view *view);

#endif
