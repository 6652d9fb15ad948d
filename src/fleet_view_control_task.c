#include "fleet_view_internal.h"

#include <stdio.h>

#include "log.h"
#include "peer_task.h"

/* A control host that has not replied for this long is unresponsive, and
   another is followed.  */
#define CONTROL_TIMEOUT_MS (2 * AB_FLEET_WATCH_INTERVAL_MS + 200)
/* A control host that did not confirm its state is avoided for this many
   lifetimes of keys, in which the others have their turns.  */
#define AVOID_LIFETIMES 4
/* While the followed control host is in another failure domain, one of the
   others is polled at this interval.  */
#define POLL_INTERVAL_MS 1500
/* Number of control hosts polled at a time when the followed one is
   unresponsive or partitioned from its group: half of the control hosts may be
   on the same side of the partition.  */
#define POLLS_AT_ONCE 3
/* After a start, an entry host looks for a control host in its own failure
   domain, for up to SEARCH_END_MS, before it follows another.  All entry hosts
   may start at once, while the control hosts hold an election.  To limit the
   load, each entry host polls one control host after the other, with
   randomised exponential backoff from SEARCH_MS to SEARCH_MAX_MS.  */
#define SEARCH_MS 120
#define SEARCH_MAX_MS 500
#define SEARCH_END_MS 1500

struct ab_view_control *
ab_fleet_view_find_control (struct ab_fleet_view *view,
                            struct ab_chunk address)
{
  struct ab_view_control *control;

  for (size_t i = 0; i < view->control_count; i++)
    if (ab_chunk_equal (ab_chunk_str (view->controls[i].address), address))
      return &view->controls[i];
  if (view->control_count == AB_VIEW_CONTROLS_MAX
      || !ab_address_valid (address))
    return NULL;
  control = &view->controls[view->control_count];
  memset (control, 0, sizeof *control);
  if (!ab_chunk_copy (address, control->address, sizeof control->address))
    return NULL;
  view->control_count++;
  ab_peer_task_set_address (view->daemon->peer, address, control->address);
  return control;
}

void
ab_fleet_view_add_seeds (struct ab_fleet_view *view)
{
  for (size_t i = 0; i < view->settings->seed_count; i++)
    {
      char host[AB_ADDRESS_BYTES];
      char address[AB_ADDRESS_BYTES];
      uint16_t port;
      if (ab_address_split (view->settings->seeds[i], host, sizeof host, &port)
          < 0)
        continue;
      snprintf (address, sizeof address, "%s:%llu", host,
                (unsigned long long)view->settings->control_port);
      ab_fleet_view_find_control (view, ab_chunk_str (address));
    }
}

void
ab_fleet_view_send_watch (struct ab_fleet_view *view,
                          const struct ab_view_control *control,
                          enum ab_watch_reason reason)
{
  struct ab_fleet_watch_frame watch
      = { .follow = control == &view->controls[view->followed],
          .ack = reason == AB_WATCH_ACK,
          .missed = reason == AB_WATCH_MISSED,
          .listed = view->stage != AB_FLEET_STOPPING,
          .index = view->index,
          .hosts_version = view->hosts_version,
          .time_ms = ab_fleet_view_needs_confirmation (view)
                         ? ab_fleet_view_now_ms ()
                         : 0 };
  struct ab_buf body = AB_BUF_INIT;

  ab_chunk_copy_bounded (ab_chunk_str (view->daemon->settings->host),
                         watch.host.peer, sizeof watch.host.peer);
  memcpy (watch.host.callers, view->settings->listen.callers,
          sizeof watch.host.callers);
  memcpy (watch.host.failure_domain, view->settings->base.failure_domain,
          sizeof watch.host.failure_domain);
  watch.host.accepts_callers = view->stage == AB_FLEET_SERVING;
  watch.host.link_mbps = (uint64_t)view->settings->link_mbps;
  ab_fleet_pack_watch (&body, &watch);
  if (!body.error)
    ab_peer_task_send (view->daemon->peer, ab_chunk_str (control->address),
                       AB_FRAME_FLEET_WATCH, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static bool
is_usable (const struct ab_view_control *control, uint64_t now)
{
  return control->heard_ms && now - control->heard_ms < CONTROL_TIMEOUT_MS
         && control->age_ms < AB_FLEET_VIEW_FRESH_MS
         && now >= control->avoid_until_ms;
}

/* Returns 2 for a control host in this host's failure domain, 1 for another in
   its region, 0 otherwise.  Following a local control host saves traffic
   between failure domains.  */
static int
locality (const struct ab_fleet_view *view,
          const struct ab_view_control *control)
{
  const struct ab_settings *own = &view->settings->base;

  if (strcmp (control->failure_domain, own->failure_domain) == 0)
    return 2;
  return strcmp (ab_fleet_region (view->settings, control->failure_domain),
                 own->region)
         == 0;
}

static void
follow (struct ab_fleet_view *view, size_t index)
{
  if (view->followed == index)
    return;
  view->followed = index;
  view->usable_since_ms = ab_fleet_view_now_ms ();
  AB_LOG (AB_LOG_INFO, "control_followed",
          ab_log_str ("control", view->controls[index].address),
          ab_log_str ("failure_domain", view->controls[index].failure_domain),
          ab_log_int ("view_index", (int64_t)view->index));
}

/* Follows the usable control host with the best locality; a tie keeps the
   current one.  */
static void
choose_control (struct ab_fleet_view *view, uint64_t now)
{
  size_t best = view->followed;

  for (size_t i = 0; i < view->control_count; i++)
    {
      const struct ab_view_control *c = &view->controls[i];
      const struct ab_view_control *b = &view->controls[best];
      if (is_usable (c, now)
          && (!is_usable (b, now) || locality (view, c) > locality (view, b)))
        best = i;
    }
  if (view->control_count > 0)
    follow (view, best);
}

/* Polls one control host that is not followed.  While the followed one is
   usable, those known to be in other failure domains are skipped.  */
static void
poll_other_control (struct ab_fleet_view *view)
{
  for (size_t i = 0; i < view->control_count; i++)
    {
      size_t at = view->next_poll++ % view->control_count;
      const struct ab_view_control *control = &view->controls[at];
      if (at == view->followed
          || (control->failure_domain[0]
              && is_usable (&view->controls[view->followed],
                            ab_fleet_view_now_ms ())
              && locality (view, control) < 2))
        continue;
      ab_fleet_view_send_watch (view, control, AB_WATCH_REGULAR);
      return;
    }
}

static size_t
find_local_control (const struct ab_fleet_view *view)
{
  for (size_t i = 0; i < view->control_count; i++)
    if (locality (view, &view->controls[i]) == 2)
      return i;
  return AB_VIEW_CONTROLS_MAX;
}

/* Returns the time to the next poll of the search: exponential backoff with
   jitter.  */
static uint64_t
search_delay_ms (struct ab_fleet_view *view)
{
  uint64_t pause = SEARCH_MS;

  for (unsigned i = 1; i < view->search_polls && pause < SEARCH_MAX_MS; i++)
    pause *= 2;
  if (pause > SEARCH_MAX_MS)
    pause = SEARCH_MAX_MS;
  return pause / 2 + ab_rng_below (&view->rng, pause);
}

bool
ab_fleet_view_knows_local (const struct ab_fleet_view *view)
{
  return find_local_control (view) < AB_VIEW_CONTROLS_MAX;
}

uint64_t
ab_fleet_view_search (struct ab_fleet_view *view)
{
  size_t local;

  if (view->local_found
      || ab_fleet_view_now_ms () - view->started_ms > SEARCH_END_MS)
    return 0;
  view->followed = AB_VIEW_CONTROLS_MAX;
  local = find_local_control (view);
  view->local_found = local < AB_VIEW_CONTROLS_MAX;
  if (view->local_found)
    {
      follow (view, local);
      return 0;
    }
  if (view->control_count > 0)
    ab_fleet_view_send_watch (
        view,
        &view->controls[(view->next_poll + view->search_polls++)
                        % view->control_count],
        AB_WATCH_REGULAR);
  return search_delay_ms (view);
}

/* Lets another control host be followed when the followed one is usable but
   does not confirm its state, as when its messages do not reach the leader. */
static void
avoid_unconfirmed (struct ab_fleet_view *view, uint64_t now)
{
  struct ab_view_control *followed = &view->controls[view->followed];
  uint64_t limit_ms = view->settings->key_lifetime_ms / 2;

  /* After a pause of this host or an election, it is given time to confirm. */
  if (!is_usable (followed, now))
    view->usable_since_ms = now;
  if (!ab_fleet_view_needs_confirmation (view)
      || ab_fleet_view_confirmed_age_ms (view) < limit_ms
      || now - view->usable_since_ms < limit_ms)
    return;
  followed->avoid_until_ms
      = now + view->settings->key_lifetime_ms * AVOID_LIFETIMES;
  AB_LOG (AB_LOG_WARN, "control_unconfirmed",
          ab_log_str ("control", followed->address),
          ab_log_int ("confirmed_age_ms",
                      (int64_t)ab_fleet_view_confirmed_age_ms (view)));
}

void
ab_fleet_view_request (struct ab_fleet_view *view)
{
  uint64_t now = ab_fleet_view_now_ms ();
  const struct ab_view_control *followed;

  if (view->followed == AB_VIEW_CONTROLS_MAX)
    view->followed = 0;
  avoid_unconfirmed (view, now);
  choose_control (view, now);
  followed = &view->controls[view->followed];
  if (view->control_count > 0)
    ab_fleet_view_send_watch (view, followed, AB_WATCH_REGULAR);
  if (!is_usable (followed, now))
    for (int i = 0; i < POLLS_AT_ONCE; i++)
      poll_other_control (view);
  else if (locality (view, followed) < 2
           && now - view->polled_ms > POLL_INTERVAL_MS)
    {
      view->polled_ms = now;
      poll_other_control (view);
    }
}

const char *
ab_fleet_view_control_at (const struct ab_fleet_view *view, size_t index)
{
  if (view->followed < view->control_count && index-- == 0)
    return view->controls[view->followed].address;
  for (int near = 2; near >= 0; near--)
    for (size_t i = 0; i < view->control_count; i++)
      if (i != view->followed && locality (view, &view->controls[i]) == near
          && index-- == 0)
        return view->controls[i].address;
  return NULL;
}
