/* Declarations shared by the source files of an entry host's view of the
   fleet.

   fleet_view_task.c applies the views, fleet_view_control_task.c chooses the
   control host to follow.  */

#ifndef AB_FLEET_VIEW_INTERNAL_H
#define AB_FLEET_VIEW_INTERNAL_H

#include "clock.h"
#include "confirmation.h"
#include "fleet_view_task.h"
#include "rng.h"

#define AB_VIEW_CONTROLS_MAX 64

struct ab_view_control
{
  char address[AB_ADDRESS_BYTES];
  char failure_domain[AB_NAME_BYTES]; /* Empty until it is known.  */
  uint64_t heard_ms;                  /* Last contact; 0 if there was none.  */
  uint64_t age_ms; /* Age of its state as of the last contact.  */
  /* Until then another is preferred, because it did not confirm its state.  */
  uint64_t avoid_until_ms;
};

struct ab_fleet_view
{
  struct ab_daemon *daemon;
  const struct ab_fleet_settings *settings;
  const struct ab_fleet_view_ops *ops;
  void *ctx;
  struct event *timer;
  struct ab_view_control controls[AB_VIEW_CONTROLS_MAX];
  size_t control_count;
  uint64_t unheard_controls; /* By the followed one.  */
  size_t followed; /* Index into CONTROLS; AB_VIEW_CONTROLS_MAX if none yet. */
  uint64_t usable_since_ms; /* Since when it is followed and usable.  */
  size_t next_poll;   /* Index, modulo the count, of the one to poll next.  */
  uint64_t polled_ms; /* When a host that is not followed was last polled.  */
  bool local_found;   /* The search has found a local control host.  */
  unsigned search_polls; /* Number of polls in the search.  */
  struct ab_rng rng;
  enum ab_fleet_stage stage;
  bool fresh;
  uint64_t started_ms;
  uint64_t index;
  uint64_t confirmed_ms; /* When the view was last known to be current.  */
  struct ab_confirmation confirmation;
  bool keys_expired;     /* The confirmation is too old to honour keys.  */
  uint64_t bundle_index; /* Log index of the bundle in force.  */
  /* Log index of the last bundle that this host could not read.  Above
     BUNDLE_INDEX, the view lacks the changes of that bundle.  */
  uint64_t unusable_index;
  struct ab_route_table *table;
  uint64_t hosts_version;
  struct ab_fleet_host *hosts;
  size_t host_count;
};

/* Reason for sending a watch frame.  */
enum ab_watch_reason
{
  AB_WATCH_REGULAR,
  AB_WATCH_ACK,   /* Acknowledges a view with changes.  */
  AB_WATCH_MISSED /* There is a gap between this view and a received one.  */
};

static inline uint64_t
ab_fleet_view_now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

/* Returns whether this host must know how old its view can be.  */
bool ab_fleet_view_needs_confirmation (const struct ab_fleet_view *view);

/* fleet_view_control_task.c */

/* Returns the control host at ADDRESS, which is added if it is new; null if
   the address is invalid or the table is full.  */
struct ab_view_control *ab_fleet_view_find_control (struct ab_fleet_view *view,
                                                    struct ab_chunk address);
void ab_fleet_view_add_seeds (struct ab_fleet_view *view);
void ab_fleet_view_send_watch (struct ab_fleet_view *view,
                               const struct ab_view_control *control,
                               enum ab_watch_reason reason);
/* Returns whether a control host in this host's failure domain is known.  */
bool ab_fleet_view_knows_local (const struct ab_fleet_view *view);
/* Searches for a control host in this host's failure domain.  Returns the time
   to the next step of the search; 0 when it is over.  */
uint64_t ab_fleet_view_search (struct ab_fleet_view *view);
/* Chooses the control host to follow, requests a view from it, and polls
   others if needed.  To be called at the watch interval.  */
void ab_fleet_view_request (struct ab_fleet_view *view);

#endif
