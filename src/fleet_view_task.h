/* An entry host's view of the fleet: the bundle in force, the targets, the
   other entry hosts.

   The view follows one control host, preferably in its own failure domain, and
   changes to another when that one becomes unresponsive or loses contact with
   the majority of its group.  It never goes back to an older state.  */

#ifndef AB_FLEET_VIEW_TASK_H
#define AB_FLEET_VIEW_TASK_H

#include "daemon.h"
#include "fleet_settings.h"
#include "fleet_watch.h"
#include "route_table.h"

/* A view that has not been confirmed for this long is stale: a newer bundle
   may be in force.  */
#define AB_FLEET_VIEW_FRESH_MS 1200

struct ab_fleet_view;

/* Called for the changes in a received view.  */
struct ab_fleet_view_ops
{
  void (*target) (void *ctx, const struct ab_fleet_target *target);
  void (*bundle) (void *ctx, struct ab_route_table *table);
  void (*hosts) (void *ctx);
  /* The times of RECORD are Unix milliseconds.  */
  void (*quarantine) (void *ctx, const struct ab_quarantine_record *record);
  /* After all changes of one view frame, and after the view was confirmed for
     the first time since the bundle has teams.  */
  void (*applied) (void *ctx);
};

/* Starts following the control hosts.  Returns 0 or AB_ERR_MEMORY.  */
int ab_fleet_view_new (struct ab_daemon *daemon,
                       const struct ab_fleet_settings *settings,
                       const struct ab_fleet_view_ops *ops, void *ctx,
                       struct ab_fleet_view **view);
void ab_fleet_view_free (struct ab_fleet_view *view);

/* Stage in the life of this host.  A host that is starting may schedule
   requests before it accepts callers.  */
enum ab_fleet_stage
{
  AB_FLEET_STARTING,
  AB_FLEET_SERVING,
  AB_FLEET_STOPPING
};

/* Sets the stage and sends it to the followed control host.  */
void ab_fleet_view_set_stage (struct ab_fleet_view *view,
                              enum ab_fleet_stage stage);

/* Returns the route table of the bundle in force; null before the first.  */
struct ab_route_table *ab_fleet_view_table (const struct ab_fleet_view *view);
/* Sets *HOSTS to the known entry hosts, valid until the next view, and returns
   their number.  */
size_t ab_fleet_view_hosts (const struct ab_fleet_view *view,
                            const struct ab_fleet_host **hosts);
/* Returns how many control hosts the followed one does not hear.  The entry
   hosts that follow those may be missing from the known ones.  */
size_t ab_fleet_view_unheard_controls (const struct ab_fleet_view *view);
/* Returns the time since the view was last known to be current; UINT64_MAX if
   it never was.  */
uint64_t ab_fleet_view_age_ms (const struct ab_fleet_view *view);
/* Returns the time since the view certainly had every change that was
   acknowledged, counting from the confirmation of a control host
   (confirmation.h); UINT64_MAX if that is not known.  It is kept up only while
   the bundle has teams and key_lifetime is set.  */
uint64_t ab_fleet_view_confirmed_age_ms (const struct ab_fleet_view *view);
/* Returns the log index up to which the view has all changes.  */
uint64_t ab_fleet_view_index (const struct ab_fleet_view *view);

/* Returns the peer address of the control host that this host follows; empty
   while there is none.  */
const char *ab_fleet_view_control (const struct ab_fleet_view *view);

/* Returns the peer address of control host INDEX in the order in which this
   host asks them: the one that it follows, those in its failure domain, those
   in its region, the others.  Null after the last.  */
const char *ab_fleet_view_control_at (const struct ab_fleet_view *view,
                                      size_t index);

/* Returns the state of the view for operators.  */
json_t *ab_fleet_view_state (const struct ab_fleet_view *view);

#endif
