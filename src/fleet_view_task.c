#include "fleet_view_internal.h"

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>

#include "compress.h"
#include "error.h"
#include "log.h"
#include "pack.h"
#include "peer_task.h"

#define TARGETS_MAX 131072
#define LISTS_MAX 7
#define LISTS_BYTES_MAX (16 * 1024 * 1024)

bool
ab_fleet_view_needs_confirmation (const struct ab_fleet_view *view)
{
  return view->settings->key_lifetime_ms && view->table
         && ab_route_table_has_teams (view->table);
}

static void
update_freshness (struct ab_fleet_view *view)
{
  uint64_t age = ab_fleet_view_age_ms (view);
  bool fresh = age < AB_FLEET_VIEW_FRESH_MS;

  if (fresh == view->fresh)
    return;
  view->fresh = fresh;
  AB_LOG (fresh ? AB_LOG_INFO : AB_LOG_WARN,
          fresh ? "control_regained" : "control_lost",
          ab_log_int ("view_age_ms", (int64_t)age),
          ab_log_int ("view_index", (int64_t)view->index));
}

/* Logs when the view becomes too old to honour keys, and when it is confirmed
   again.  */
static void
update_keys (struct ab_fleet_view *view)
{
  uint64_t age = ab_fleet_view_confirmed_age_ms (view);
  bool expired
      = ab_fleet_view_needs_confirmation (view)
        && ab_confirmation_expired (age, view->settings->key_lifetime_ms);

  if (expired == view->keys_expired)
    return;
  view->keys_expired = expired;
  AB_LOG (expired ? AB_LOG_WARN : AB_LOG_INFO,
          expired ? "keys_stale" : "keys_confirmed",
          ab_log_int ("confirmed_age_ms", (int64_t)age),
          ab_log_int ("view_age_ms", (int64_t)ab_fleet_view_age_ms (view)),
          ab_log_str ("control", ab_fleet_view_control (view)));
}

static void
arm_timer (struct ab_fleet_view *view, uint64_t after_ms)
{
  const struct timeval tv
      = { .tv_sec = (time_t)(after_ms / 1000),
          .tv_usec = (suseconds_t)(after_ms % 1000 * 1000) };

  evtimer_add (view->timer, &tv);
}

static void
on_timer (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_fleet_view *view = ctx;
  uint64_t search_ms = ab_fleet_view_search (view);

  (void)fd;
  (void)events;
  if (search_ms > 0)
    {
      arm_timer (view, search_ms);
      return;
    }
  arm_timer (view, AB_FLEET_WATCH_INTERVAL_MS);
  ab_fleet_view_request (view);
  update_freshness (view);
  update_keys (view);
}

/* Views.  */

static int
parse_bundle (struct ab_chunk packed, struct ab_route_table **table,
              char error[AB_CONF_ERROR_BYTES])
{
  struct ab_buf text = AB_BUF_INIT;
  int rc = ab_decompress (packed, AB_FLEET_BUNDLE_BYTES, &text);

  snprintf (error, AB_CONF_ERROR_BYTES, "%s", ab_strerror (rc));
  if (rc == 0)
    rc = ab_route_table_parse (ab_buf_chunk (&text), table, error);
  ab_buf_free (&text);
  return rc;
}

/* Puts a bundle into force.  Returns 0 also for one that cannot be used, which
   must not hold up other changes, or AB_ERR_MEMORY: it is requested again.  */
static int
apply_bundle (struct ab_fleet_view *view, uint64_t index,
              struct ab_chunk packed)
{
  struct ab_route_table *table = NULL;
  char error[AB_CONF_ERROR_BYTES];
  int rc;

  if (packed.len == 0 || index <= view->bundle_index)
    return 0;
  rc = parse_bundle (packed, &table, error);
  if (rc < 0)
    {
      AB_LOG (AB_LOG_ERROR, "accepted_bundle_unusable",
              ab_log_str ("error", error));
      view->unusable_index = index;
      return rc == AB_ERR_MEMORY ? rc : 0;
    }
  /* Nothing has been confirmed while the bundle had no teams.  */
  if (!ab_fleet_view_needs_confirmation (view))
    view->confirmation = (struct ab_confirmation){ 0 };
  ab_route_table_unref (view->table);
  view->table = table;
  view->bundle_index = index;
  AB_LOG (AB_LOG_INFO, "bundle_in_force",
          ab_log_int ("version", (int64_t)ab_route_table_version (table)),
          ab_log_int ("index", (int64_t)index),
          ab_log_int ("packed_bytes", (int64_t)packed.len));
  view->ops->bundle (view->ctx, table);
  return 0;
}

/* Reads the list of targets and passes on those that changed.  Returns the
   length of the list, or 0 on an error.  */
static size_t
apply_targets (struct ab_fleet_view *view, struct ab_reader *reader)
{
  size_t count = ab_reader_enter (reader, TARGETS_MAX);

  for (size_t i = 0; i < count; i++)
    {
      struct ab_fleet_target target;
      ab_fleet_read_target (reader, &target);
      if (ab_reader_error (reader) < 0)
        return 0;
      if (target.changed > view->index)
        view->ops->target (view->ctx, &target);
    }
  ab_reader_leave (reader);
  return count;
}

static void
apply_hosts (struct ab_fleet_view *view, struct ab_reader *reader,
             const struct ab_fleet_view_frame *frame)
{
  size_t count = ab_reader_enter (reader, AB_FLEET_HOSTS_MAX);
  struct ab_fleet_host *hosts = calloc (count + 1, sizeof *hosts);

  for (size_t i = 0; hosts && i < count; i++)
    ab_fleet_read_host (reader, &hosts[i]);
  ab_reader_leave (reader);
  if (!hosts || !frame->has_hosts || ab_reader_error (reader) < 0)
    {
      free (hosts);
      return;
    }
  free (view->hosts);
  view->hosts = hosts;
  view->host_count = count;
  view->hosts_version = frame->hosts_version;
  for (size_t i = 0; i < count; i++)
    ab_peer_task_set_address (view->daemon->peer, ab_chunk_str (hosts[i].peer),
                              hosts[i].peer);
  view->ops->hosts (view->ctx);
}

/* Reads the list of control hosts and their failure domains.  */
static void
apply_controls (struct ab_fleet_view *view, struct ab_reader *reader)
{
  size_t count = ab_reader_enter (reader, 2 * AB_VIEW_CONTROLS_MAX);

  for (size_t i = 0; i + 1 < count; i += 2)
    {
      struct ab_chunk address = ab_reader_bytes (reader, AB_ADDRESS_BYTES - 1);
      struct ab_chunk domain = ab_reader_bytes (reader, AB_NAME_BYTES - 1);
      struct ab_view_control *control;
      if (ab_reader_error (reader) < 0)
        return;
      control = ab_fleet_view_find_control (view, address);
      if (control && domain.len > 0 && !control->failure_domain[0])
        ab_chunk_copy_bounded (domain, control->failure_domain,
                               sizeof control->failure_domain);
    }
  ab_reader_leave (reader);
}

/* Reads the list of requests that crash targets and passes on those that
   changed.  Returns the length of the list.  */
static size_t
apply_quarantine (struct ab_fleet_view *view, struct ab_reader *reader)
{
  size_t count = ab_reader_enter (reader, AB_QUARANTINE_RECORDS_MAX);

  for (size_t i = 0; i < count; i++)
    {
      struct ab_quarantine_record record;
      ab_fleet_read_record (reader, &record);
      if (ab_reader_error (reader) < 0)
        return 0;
      if (record.stamp > view->index)
        view->ops->quarantine (view->ctx, &record);
    }
  ab_reader_leave (reader);
  return count;
}

/* Applies the lists of FRAME.  Sets *CHANGED to whether they held changes;
   returns 0 or a negative code.  */
static int
apply_lists (struct ab_fleet_view *view, struct ab_reader *reader,
             const struct ab_fleet_view_frame *frame, bool *changed)
{
  uint64_t bundle_index;
  struct ab_chunk bundle;
  uint64_t unheard = 0;
  int rc;

  ab_reader_enter (reader, LISTS_MAX);
  bundle_index = ab_reader_u64 (reader);
  bundle = ab_reader_bytes (reader, AB_FLEET_COMPRESSED_BYTES);
  rc = ab_reader_error (reader);
  if (rc == 0)
    rc = apply_bundle (view, bundle_index, bundle);
  if (rc < 0)
    return rc;
  *changed
      = apply_targets (view, reader) > 0 || bundle.len > 0 || frame->has_hosts;
  apply_hosts (view, reader, frame);
  apply_controls (view, reader);
  if (ab_reader_has_more (reader))
    *changed = apply_quarantine (view, reader) > 0 || *changed;
  if (ab_reader_has_more (reader))
    unheard = ab_reader_u64 (reader);
  /* A reply to a poll is not from the followed control host.  */
  if (frame->after_index != UINT64_MAX)
    view->unheard_controls = unheard;
  return ab_reader_error (reader);
}

/* Decompresses LISTS if FRAME says so, and applies them.  Sets *CHANGED to
   whether they held changes; returns 0 or a negative code.  */
static int
decode_lists (struct ab_fleet_view *view, struct ab_chunk lists,
              const struct ab_fleet_view_frame *frame, bool *changed)
{
  struct ab_buf text = AB_BUF_INIT;
  struct ab_reader reader;
  int rc = 0;

  if (frame->compressed)
    {
      rc = ab_decompress (lists, LISTS_BYTES_MAX, &text);
      lists = ab_buf_chunk (&text);
    }
  if (rc == 0)
    rc = ab_reader_init (&reader, lists);
  if (rc < 0)
    goto out;
  rc = apply_lists (view, &reader, frame, changed);
  ab_reader_free (&reader);
out:
  ab_buf_free (&text);
  return rc;
}

/* Updates the index and the age of the view after all lists of FRAME were
   applied, so that the view has all that the control host had.  Returns
   whether the view is confirmed for the first time.  */
static bool
advance_view (struct ab_fleet_view *view,
              const struct ab_fleet_view_frame *frame, uint64_t now)
{
  bool known = ab_fleet_view_confirmed_age_ms (view) != UINT64_MAX;

  if (frame->last_index > view->index)
    view->index = frame->last_index;
  if (frame->last_index >= view->index && frame->age_ms < now
      && now - frame->age_ms > view->confirmed_ms)
    view->confirmed_ms = now - frame->age_ms;
  if (!ab_fleet_view_needs_confirmation (view)
      || view->unusable_index > view->bundle_index)
    return false;
  return ab_confirmation_echoed (&view->confirmation, view->started_ms, now,
                                 frame->echo_ms, frame->confirmed_age_ms)
         && !known;
}

static int
apply_view (struct ab_fleet_view *view, struct ab_reader *reader,
            struct ab_view_control *control)
{
  struct ab_fleet_view_frame frame = { 0 };
  uint64_t now = ab_fleet_view_now_ms ();
  struct ab_chunk lists;
  bool poll_reply;
  bool changed = false;
  bool newly_confirmed;
  int rc;

  ab_reader_enter (reader, 2);
  ab_fleet_read_view (reader, &frame);
  lists = ab_reader_bytes (reader, LISTS_BYTES_MAX);
  rc = ab_reader_error (reader);
  if (rc < 0)
    return rc;
  memcpy (control->failure_domain, frame.failure_domain,
          sizeof control->failure_domain);
  control->heard_ms = now;
  control->age_ms = frame.age_ms;
  poll_reply = frame.after_index == UINT64_MAX;
  if (frame.after_index > view->index && !poll_reply)
    {
      ab_fleet_view_send_watch (view, control, AB_WATCH_MISSED);
      return 0;
    }
  rc = decode_lists (view, lists, &frame, &changed);
  if (rc < 0 || poll_reply)
    return rc;
  newly_confirmed = advance_view (view, &frame, now);
  if (changed)
    ab_fleet_view_send_watch (view, control, AB_WATCH_ACK);
  /* The next regular frame may be most of an interval away.  */
  if (changed && ab_fleet_view_needs_confirmation (view)
      && ab_fleet_view_confirmed_age_ms (view) == UINT64_MAX)
    ab_fleet_view_send_watch (view, control, AB_WATCH_REGULAR);
  if (view->keys_expired)
    update_keys (view);
  if (changed || newly_confirmed)
    view->ops->applied (view->ctx);
  return 0;
}

static void
on_view (void *ctx, const struct ab_frame *frame)
{
  struct ab_fleet_view *view = ctx;
  struct ab_view_control *control
      = ab_fleet_view_find_control (view, frame->sender);
  struct ab_reader reader;

  if (!control)
    return;
  if (ab_reader_init (&reader, frame->body) < 0)
    return;
  if (apply_view (view, &reader, control) < 0)
    AB_LOG (AB_LOG_WARN, "view_unusable",
            ab_log_str ("control", control->address));
  ab_reader_free (&reader);
  if (!view->local_found && ab_fleet_view_knows_local (view))
    arm_timer (view, 0);
}

int
ab_fleet_view_new (struct ab_daemon *daemon,
                   const struct ab_fleet_settings *settings,
                   const struct ab_fleet_view_ops *ops, void *ctx,
                   struct ab_fleet_view **result)
{
  struct ab_fleet_view *view = calloc (1, sizeof *view);

  *result = NULL;
  if (!view)
    return AB_ERR_MEMORY;
  view->daemon = daemon;
  view->settings = settings;
  view->ops = ops;
  view->ctx = ctx;
  view->started_ms = ab_fleet_view_now_ms ();
  ab_rng_init_system (&view->rng);
  view->next_poll = ab_rng_below (&view->rng, AB_VIEW_CONTROLS_MAX);
  view->timer = evtimer_new (daemon->base, on_timer, view);
  if (!view->timer)
    {
      ab_fleet_view_free (view);
      return AB_ERR_MEMORY;
    }
  ab_fleet_view_add_seeds (view);
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_FLEET_VIEW, on_view, view);
  arm_timer (view, 0);
  *result = view;
  return 0;
}

void
ab_fleet_view_free (struct ab_fleet_view *view)
{
  if (!view)
    return;
  if (view->timer)
    event_free (view->timer);
  ab_route_table_unref (view->table);
  free (view->hosts);
  free (view);
}

void
ab_fleet_view_set_stage (struct ab_fleet_view *view, enum ab_fleet_stage stage)
{
  if (view->stage == stage)
    return;
  view->stage = stage;
  if (view->followed < view->control_count)
    ab_fleet_view_send_watch (view, &view->controls[view->followed],
                              AB_WATCH_REGULAR);
}

struct ab_route_table *
ab_fleet_view_table (const struct ab_fleet_view *view)
{
  return view->table;
}

size_t
ab_fleet_view_hosts (const struct ab_fleet_view *view,
                     const struct ab_fleet_host **hosts)
{
  *hosts = view->hosts;
  return view->host_count;
}

size_t
ab_fleet_view_unheard_controls (const struct ab_fleet_view *view)
{
  return view->unheard_controls;
}

uint64_t
ab_fleet_view_age_ms (const struct ab_fleet_view *view)
{
  return view->confirmed_ms ? ab_fleet_view_now_ms () - view->confirmed_ms
                            : UINT64_MAX;
}

uint64_t
ab_fleet_view_confirmed_age_ms (const struct ab_fleet_view *view)
{
  return ab_confirmation_age_ms (&view->confirmation, ab_fleet_view_now_ms ());
}

uint64_t
ab_fleet_view_index (const struct ab_fleet_view *view)
{
  return view->index;
}

const char *
ab_fleet_view_control (const struct ab_fleet_view *view)
{
  return view->followed < view->control_count
             ? view->controls[view->followed].address
             : "";
}

json_t *
ab_fleet_view_state (const struct ab_fleet_view *view)
{
  json_t *hosts = json_array ();
  json_t *controls = json_object ();

  for (size_t i = 0; i < view->host_count; i++)
    json_array_append_new (hosts, json_string (view->hosts[i].peer));
  for (size_t i = 0; i < view->control_count; i++)
    json_object_set_new (controls, view->controls[i].address,
                         json_string (view->controls[i].failure_domain));
  return json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:s, s:o, s:I, s:o}", "index",
      (json_int_t)view->index, "age_ms",
      (json_int_t)ab_fleet_view_age_ms (view), "confirmed_age_ms",
      (json_int_t)ab_fleet_view_confirmed_age_ms (view), "bundle_version",
      (json_int_t)(view->table ? ab_route_table_version (view->table) : 0),
      "teams",
      (json_int_t)(view->table ? ab_route_table_team_count (view->table) : 0),
      "control", ab_fleet_view_control (view), "control_domains", controls,
      "unheard_controls", (json_int_t)view->unheard_controls, "hosts", hosts);
}
