#include "fleet_view_task.h"

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <uthash.h>

#include "clock.h"
#include "compress.h"
#include "error.h"
#include "log.h"
#include "pack.h"
#include "peer_task.h"
#include "rng.h"

#define CONTROLS_MAX 64
#define TARGETS_MAX 131072
#define LISTS_MAX 7
#define LISTS_BYTES_MAX (16 * 1024 * 1024)
/* A control host that has not replied for this long is unresponsive, and
   another is followed.  */
#define CONTROL_TIMEOUT_MS (2 * AB_FLEET_WATCH_INTERVAL_MS + 200)
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

struct control_host
{
  char address[AB_ADDRESS_BYTES];
  char failure_domain[AB_NAME_BYTES]; /* Empty until it is known.  */
  uint64_t heard_ms;                  /* Last contact; 0 if there was none.  */
  uint64_t age_ms; /* Age of its state as of the last contact.  */
};

struct ab_fleet_view
{
  struct ab_daemon *daemon;
  const struct ab_fleet_settings *settings;
  const struct ab_fleet_view_ops *ops;
  void *ctx;
  struct event *timer;
  struct control_host controls[CONTROLS_MAX];
  size_t control_count;
  uint64_t unheard_controls; /* By the followed one.  */
  size_t followed;    /* Index into CONTROLS; CONTROLS_MAX if none yet.  */
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
  uint64_t bundle_index; /* Log index of the bundle in force.  */
  struct ab_route_table *table;
  uint64_t hosts_version;
  struct ab_fleet_host *hosts;
  size_t host_count;
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

/* Control hosts.  */

/* Returns the control host at ADDRESS, which is added if it is new; null if
   the address is invalid or the table is full.  */
static struct control_host *
find_or_add_control (struct ab_fleet_view *view, struct ab_chunk address)
{
  struct control_host *control;

  for (size_t i = 0; i < view->control_count; i++)
    if (ab_chunk_equal (ab_chunk_str (view->controls[i].address), address))
      return &view->controls[i];
  if (view->control_count == CONTROLS_MAX || !ab_address_valid (address))
    return NULL;
  control = &view->controls[view->control_count];
  memset (control, 0, sizeof *control);
  if (!ab_chunk_copy (address, control->address, sizeof control->address))
    return NULL;
  view->control_count++;
  ab_peer_task_set_address (view->daemon->peer, address, control->address);
  return control;
}

static void
add_seeds (struct ab_fleet_view *view)
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
      find_or_add_control (view, ab_chunk_str (address));
    }
}

/* Reason for sending a watch frame.  */
enum watch_reason
{
  WATCH_REGULAR,
  WATCH_ACK,   /* Acknowledges a view with changes.  */
  WATCH_MISSED /* There is a gap between this view and a received one.  */
};

static void
send_watch (struct ab_fleet_view *view, const struct control_host *control,
            enum watch_reason reason)
{
  struct ab_fleet_watch_frame watch
      = { .follow = control == &view->controls[view->followed],
          .ack = reason == WATCH_ACK,
          .missed = reason == WATCH_MISSED,
          .listed = view->stage != AB_FLEET_STOPPING,
          .index = view->index,
          .hosts_version = view->hosts_version };
  struct ab_buf body = AB_BUF_INIT;

  ab_chunk_copy (ab_chunk_str (view->daemon->settings->host), watch.host.peer,
                 sizeof watch.host.peer);
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
is_usable (const struct control_host *control, uint64_t now)
{
  return control->heard_ms && now - control->heard_ms < CONTROL_TIMEOUT_MS
         && control->age_ms < AB_FLEET_VIEW_FRESH_MS;
}

/* Returns 2 for a control host in this host's failure domain, 1 for another in
   its region, 0 otherwise.  Following a local control host saves traffic
   between failure domains.  */
static int
locality (const struct ab_fleet_view *view, const struct control_host *control)
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
      const struct control_host *c = &view->controls[i];
      const struct control_host *b = &view->controls[best];
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
      const struct control_host *control = &view->controls[at];
      if (at == view->followed
          || (control->failure_domain[0]
              && is_usable (&view->controls[view->followed], now_ms ())
              && locality (view, control) < 2))
        continue;
      send_watch (view, control, WATCH_REGULAR);
      return;
    }
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

static size_t
find_local_control (const struct ab_fleet_view *view)
{
  for (size_t i = 0; i < view->control_count; i++)
    if (locality (view, &view->controls[i]) == 2)
      return i;
  return CONTROLS_MAX;
}

/* Searches for a control host in this host's failure domain.  Returns true
   while none was found and there is time left.  */
static bool
search_local (struct ab_fleet_view *view, uint64_t now)
{
  size_t local;

  if (view->local_found || now - view->started_ms > SEARCH_END_MS)
    return false;
  view->followed = CONTROLS_MAX;
  local = find_local_control (view);
  view->local_found = local < CONTROLS_MAX;
  if (view->local_found)
    follow (view, local);
  else if (view->control_count > 0)
    send_watch (view,
                &view->controls[(view->next_poll + view->search_polls++)
                                % view->control_count],
                WATCH_REGULAR);
  return !view->local_found;
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
  uint64_t now = now_ms ();
  const struct control_host *followed;

  (void)fd;
  (void)events;
  if (search_local (view, now))
    {
      arm_timer (view, search_delay_ms (view));
      return;
    }
  arm_timer (view, AB_FLEET_WATCH_INTERVAL_MS);
  if (view->followed == CONTROLS_MAX)
    view->followed = 0;
  choose_control (view, now);
  followed = &view->controls[view->followed];
  if (view->control_count > 0)
    send_watch (view, followed, WATCH_REGULAR);
  if (!is_usable (followed, now))
    for (int i = 0; i < POLLS_AT_ONCE; i++)
      poll_other_control (view);
  else if (locality (view, followed) < 2
           && now - view->polled_ms > POLL_INTERVAL_MS)
    {
      view->polled_ms = now;
      poll_other_control (view);
    }
  update_freshness (view);
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

static void
apply_bundle (struct ab_fleet_view *view, uint64_t index,
              struct ab_chunk packed)
{
  struct ab_route_table *table = NULL;
  char error[AB_CONF_ERROR_BYTES];

  if (packed.len == 0 || index <= view->bundle_index)
    return;
  if (parse_bundle (packed, &table, error) < 0)
    {
      AB_LOG (AB_LOG_ERROR, "accepted_bundle_unusable",
              ab_log_str ("error", error));
      return;
    }
  ab_route_table_unref (view->table);
  view->table = table;
  view->bundle_index = index;
  AB_LOG (AB_LOG_INFO, "bundle_in_force",
          ab_log_int ("version", (int64_t)ab_route_table_version (table)),
          ab_log_int ("index", (int64_t)index),
          ab_log_int ("packed_bytes", (int64_t)packed.len));
  view->ops->bundle (view->ctx, table);
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
  size_t count = ab_reader_enter (reader, 2 * CONTROLS_MAX);

  for (size_t i = 0; i + 1 < count; i += 2)
    {
      struct ab_chunk address = ab_reader_bytes (reader, AB_ADDRESS_BYTES);
      struct ab_chunk domain = ab_reader_bytes (reader, AB_NAME_BYTES);
      struct control_host *control;
      if (ab_reader_error (reader) < 0)
        return;
      control = find_or_add_control (view, address);
      if (control && domain.len > 0 && !control->failure_domain[0])
        ab_chunk_copy (domain, control->failure_domain,
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

/* Applies the lists of FRAME.  Returns whether they held changes.  */
static bool
apply_lists (struct ab_fleet_view *view, struct ab_reader *reader,
             const struct ab_fleet_view_frame *frame)
{
  uint64_t bundle_index;
  struct ab_chunk bundle;
  uint64_t unheard = 0;
  bool changed;

  ab_reader_enter (reader, LISTS_MAX);
  bundle_index = ab_reader_u64 (reader);
  bundle = ab_reader_bytes (reader, AB_FLEET_COMPRESSED_BYTES);
  if (ab_reader_error (reader) < 0)
    return false;
  apply_bundle (view, bundle_index, bundle);
  changed
      = apply_targets (view, reader) > 0 || bundle.len > 0 || frame->has_hosts;
  apply_hosts (view, reader, frame);
  apply_controls (view, reader);
  if (ab_reader_has_more (reader))
    changed = apply_quarantine (view, reader) > 0 || changed;
  if (ab_reader_has_more (reader))
    unheard = ab_reader_u64 (reader);
  /* A reply to a poll is not from the followed control host.  */
  if (frame->after_index != UINT64_MAX)
    view->unheard_controls = unheard;
  return changed;
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
  *changed = apply_lists (view, &reader, frame);
  rc = ab_reader_error (&reader);
  ab_reader_free (&reader);
out:
  ab_buf_free (&text);
  return rc;
}

/* Updates the index and the age of the view after all lists of FRAME were
   applied.  */
static void
advance_view (struct ab_fleet_view *view,
              const struct ab_fleet_view_frame *frame, uint64_t now)
{
  if (frame->last_index > view->index)
    view->index = frame->last_index;
  if (frame->last_index >= view->index && frame->age_ms < now
      && now - frame->age_ms > view->confirmed_ms)
    view->confirmed_ms = now - frame->age_ms;
}

static int
apply_view (struct ab_fleet_view *view, struct ab_reader *reader,
            struct control_host *control)
{
  struct ab_fleet_view_frame frame = { 0 };
  uint64_t now = now_ms ();
  struct ab_chunk lists;
  bool poll_reply;
  bool changed = false;
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
      send_watch (view, control, WATCH_MISSED);
      return 0;
    }
  rc = decode_lists (view, lists, &frame, &changed);
  if (rc < 0 || poll_reply)
    return rc;
  advance_view (view, &frame, now);
  if (changed)
    {
      send_watch (view, control, WATCH_ACK);
      view->ops->applied (view->ctx);
    }
  return 0;
}

static void
on_view (void *ctx, const struct ab_frame *frame)
{
  struct ab_fleet_view *view = ctx;
  struct control_host *control = find_or_add_control (view, frame->sender);
  struct ab_reader reader;

  if (!control)
    return;
  if (ab_reader_init (&reader, frame->body) < 0)
    return;
  if (apply_view (view, &reader, control) < 0)
    AB_LOG (AB_LOG_WARN, "view_unusable",
            ab_log_str ("control", control->address));
  ab_reader_free (&reader);
  if (!view->local_found && find_local_control (view) < CONTROLS_MAX)
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
  view->started_ms = now_ms ();
  ab_rng_init_system (&view->rng);
  view->next_poll = ab_rng_below (&view->rng, CONTROLS_MAX);
  view->timer = evtimer_new (daemon->base, on_timer, view);
  if (!view->timer)
    {
      ab_fleet_view_free (view);
      return AB_ERR_MEMORY;
    }
  add_seeds (view);
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
    send_watch (view, &view->controls[view->followed], WATCH_REGULAR);
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
  return view->confirmed_ms ? now_ms () - view->confirmed_ms : UINT64_MAX;
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
      "{s:I, s:I, s:I, s:s, s:o, s:I, s:o}", "index", (json_int_t)view->index,
      "age_ms", (json_int_t)ab_fleet_view_age_ms (view), "bundle_version",
      (json_int_t)(view->table ? ab_route_table_version (view->table) : 0),
      "control", ab_fleet_view_control (view), "control_domains", controls,
      "unheard_controls", (json_int_t)view->unheard_controls, "hosts", hosts);
}
