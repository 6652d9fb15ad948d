/* Serves views of the fleet to the entry hosts that follow this control host,
   and exchanges lists of entry hosts with the other control hosts.  */

#include "fleet_control_internal.h"

#include <stdlib.h>
#include <uthash.h>

#include "compress.h"
#include "fleet_directory.h"
#include "fleet_watch.h"
#include "pack.h"

#define TIMER_MS 200
/* Control hosts send each other the entry hosts that follow them, whenever
   these change, and at this interval.  */
#define HOSTS_INTERVAL_MS 6000
/* Interval of the heartbeats of a few bytes that are sent in between.  */
#define HEARTBEAT_INTERVAL_MS 900
/* The entry hosts of an unresponsive control host are removed from the
   directory after this time, in which those that are alive find another
   control host.  */
#define HOSTS_TIMEOUT_MS 3500
#define PEERS_MAX 64
/* At most one view with changes is in flight to an entry host, as its link may
   be slow: resending views while the first is still in transit would saturate
   the link permanently.  A view that is not acknowledged counts as lost after
   VIEW_ACK_TIMEOUT_MS plus its transfer time at LINK_BYTES_PER_MS.  */
#define VIEW_ACK_TIMEOUT_MS 1200
#define LINK_BYTES_PER_MS 100
/* Lists of at least this size are compressed.  */
#define COMPRESS_BYTES 1024
/* Minimum time between pushes, in which changes are collected: many targets
   and hosts change at once when a fleet starts.  */
#define PUSH_INTERVAL_MS 60

/* An entry host that follows this control host.  */
struct watcher
{
  struct ab_fleet_host host;
  bool listed;
  uint64_t index;      /* Log index up to which it has all changes.  */
  uint64_t sent_index; /* Log index of the last view sent since; 0 if none.  */
  uint64_t sent_ms; /* When changes were sent that are not acknowledged yet; 0
                       if there are none.  */
  uint64_t ack_deadline_ms; /* When these changes count as lost.  */
  bool behind;              /* There are further changes to send.  */
  uint64_t hosts_version;
  uint64_t heard_ms;
  uint64_t time_ms; /* Time of the entry host in its last frame, or 0.  */
  UT_hash_handle hh;
};

/* Another control host and the entry hosts that follow it.  */
struct peer
{
  char address[AB_ADDRESS_BYTES];
  char admin[AB_ADDRESS_BYTES];
  char failure_domain[AB_NAME_BYTES];
  struct ab_fleet_host *hosts;
  size_t host_count;
  uint64_t heard_ms;
};

/* The encoded lists of a view, a cache of one entry.  Entry hosts of a failure
   domain with the same state get the same lists, and many request them
   one after the other when a fleet starts.  */
struct view_lists
{
  uint64_t after_index;
  uint64_t last_index;
  uint64_t hosts_version;
  size_t live_peers;
  bool has_hosts;
  char failure_domain[AB_NAME_BYTES];
  struct ab_buf bytes;
  bool compressed;
  bool has_changes; /* The lists hold changes.  */
};

/* Returns whether a view with changes is in flight to WATCHER.  */
static bool
is_in_flight (const struct watcher *watcher, uint64_t now)
{
  return watcher->sent_ms && now < watcher->ack_deadline_ms;
}

struct ab_fleet_watch
{
  struct ab_fleet_control *control;
  struct event *timer;
  struct event *push_timer;
  uint64_t pushed_ms;
  struct watcher *watchers;
  struct peer peers[PEERS_MAX];
  size_t peer_count;
  struct view_lists lists;        /* The lists that were sent last.  */
  struct ab_directory *directory; /* All entry hosts.  */
  bool directory_stale;           /* The directory must be filled again.  */
  size_t live_peers;
  /* Hash of the entry hosts that are reported to the peers.  */
  uint64_t followers_version;
  uint64_t advertised_version; /* FOLLOWERS_VERSION when last sent.  */
  uint64_t advertised_ms;      /* When the entry hosts were last sent.  */
  uint64_t heartbeat_ms;       /* When anything was last sent to the peers.  */
};

/* Entry hosts.  */

static bool
follows_here (const struct ab_fleet_watch *watch, const char *peer)
{
  struct watcher *watcher = NULL;

  HASH_FIND_STR (watch->watchers, peer, watcher);
  return watcher != NULL;
}

static bool
is_live (const struct peer *peer, uint64_t now)
{
  return now - peer->heard_ms <= HOSTS_TIMEOUT_MS;
}

/* Adds all entry hosts that don't shut down.  What a host reports to this
   control host takes precedence over what another control host reports.  */
static void
fill_directory (struct ab_fleet_watch *watch, uint64_t now)
{
  for (const struct watcher *w = watch->watchers; w; w = w->hh.next)
    if (w->listed)
      ab_directory_add (watch->directory, &w->host);
  for (size_t i = 0; i < watch->peer_count; i++)
    {
      const struct peer *peer = &watch->peers[i];
      if (!is_live (peer, now))
        continue;
      for (size_t j = 0; j < peer->host_count; j++)
        if (!follows_here (watch, peer->hosts[j].peer))
          ab_directory_add (watch->directory, &peer->hosts[j]);
    }
}

/* Returns the version of the host list for the failure domain of WATCHER.  */
static uint64_t
hosts_version (const struct ab_fleet_watch *watch,
               const struct watcher *watcher)
{
  return ab_directory_version (watch->directory, watcher->host.failure_domain);
}

/* Views.  */

static void
count_target (void *ctx, const struct ab_fleet_target *target)
{
  (void)target;
  ++*(size_t *)ctx;
}

static void
pack_target (void *ctx, const struct ab_fleet_target *target)
{
  ab_fleet_pack_target (ctx, target);
}

static void
count_record (void *ctx, const struct ab_quarantine_record *record)
{
  (void)record;
  ++*(size_t *)ctx;
}

static void
pack_record (void *ctx, const struct ab_quarantine_record *record)
{
  ab_fleet_pack_record (ctx, record);
}

/* Returns the peer with ADDRESS, or null.  */
static struct peer *
lookup_peer (struct ab_fleet_watch *watch, struct ab_chunk address)
{
  for (size_t i = 0; i < watch->peer_count; i++)
    if (ab_chunk_equal (ab_chunk_str (watch->peers[i].address), address))
      return &watch->peers[i];
  return NULL;
}

/* Returns whether ADDRESS is that of this control host.  */
static bool
is_own_address (const struct ab_fleet_watch *watch, const char *address)
{
  return strcmp (address, watch->control->daemon->settings->host) == 0;
}

/* Returns the failure domain of the control host at ADDRESS; empty if it is
   not known.  */
static const char *
control_domain (struct ab_fleet_watch *watch, const char *address)
{
  const struct ab_fleet_control *control = watch->control;
  const struct peer *peer;

  if (is_own_address (watch, address))
    return control->settings->base.failure_domain;
  peer = lookup_peer (watch, ab_chunk_str (address));
  if (peer && peer->failure_domain[0])
    return peer->failure_domain;
  return ab_group_failure_domain (control->group, address);
}

/* Returns how many other control hosts this one does not hear.  Their entry
   hosts may be missing from the directory.  */
static size_t
count_unheard (struct ab_fleet_watch *watch)
{
  const char *hosts[AB_GROUP_HOSTS_MAX];
  size_t count = ab_group_hosts (watch->control->group, hosts);
  uint64_t now = ab_fleet_now_ms ();
  size_t unheard = 0;

  for (size_t i = 0; i < count; i++)
    {
      const struct peer *peer = lookup_peer (watch, ab_chunk_str (hosts[i]));
      unheard += !is_own_address (watch, hosts[i])
                 && !(peer && is_live (peer, now));
    }
  return unheard;
}

static void
pack_controls (struct ab_buf *out, struct ab_fleet_watch *watch)
{
  const char *hosts[AB_GROUP_HOSTS_MAX];
  size_t count = ab_group_hosts (watch->control->group, hosts);

  ab_pack_array (out, 2 * count);
  for (size_t i = 0; i < count; i++)
    {
      ab_pack_bytes (out, ab_chunk_str (hosts[i]));
      ab_pack_bytes (out, ab_chunk_str (control_domain (watch, hosts[i])));
    }
}

#define LISTS 5

/* Appends the lists of VIEW for entry hosts of DOMAIN to OUT.  The list of
   requests that crash targets and the number of control hosts that are not
   heard come last and only if needed: entry hosts of earlier versions do not
   know them.  Returns whether the lists hold changes.  */
static bool
pack_lists (struct ab_buf *out, struct ab_fleet_watch *watch,
            const struct ab_fleet_view_frame *view, const char *domain)
{
  const struct ab_fleet_control *control = watch->control;
  struct ab_chunk bundle = ab_chunk ("", 0);
  size_t targets = 0;
  size_t records = 0;
  size_t unheard = count_unheard (watch);
  size_t count = LISTS;

  ab_fleet_state_quarantine_changes (control->state, view->after_index,
                                     count_record, &records);
  if (unheard > 0)
    count = LISTS + 2;
  else if (records > 0)
    count = LISTS + 1;
  ab_pack_array (out, count);
  if (ab_fleet_state_bundle_index (control->state) > view->after_index)
    bundle = ab_fleet_state_compressed (control->state);
  ab_pack_u64 (out, ab_fleet_state_bundle_index (control->state));
  ab_pack_bytes (out, bundle);
  ab_fleet_state_changes (control->state, view->after_index, count_target,
                          &targets);
  ab_pack_array (out, targets);
  ab_fleet_state_changes (control->state, view->after_index, pack_target, out);
  if (view->has_hosts)
    ab_directory_pack (watch->directory, domain, out);
  else
    ab_pack_array (out, 0);
  pack_controls (out, watch);
  if (records > 0 || unheard > 0)
    {
      ab_pack_array (out, records);
      ab_fleet_state_quarantine_changes (control->state, view->after_index,
                                         pack_record, out);
    }
  if (unheard > 0)
    ab_pack_u64 (out, unheard);
  return bundle.len > 0 || targets > 0 || records > 0 || view->has_hosts;
}

/* Fills the cache with the lists of VIEW for entry hosts of DOMAIN, compressed
   when they are long enough.  */
static void
fill_lists (struct ab_fleet_watch *watch,
            const struct ab_fleet_view_frame *view, const char *domain)
{
  struct view_lists *lists = &watch->lists;
  struct ab_buf packed = AB_BUF_INIT;

  lists->after_index = view->after_index;
  lists->last_index = view->last_index;
  lists->hosts_version = view->hosts_version;
  lists->live_peers = watch->live_peers;
  lists->has_hosts = view->has_hosts;
  ab_chunk_copy_bounded (ab_chunk_str (domain), lists->failure_domain,
                         sizeof lists->failure_domain);
  ab_buf_clear (&lists->bytes);
  lists->has_changes = pack_lists (&lists->bytes, watch, view, domain);
  lists->compressed
      = lists->bytes.len >= COMPRESS_BYTES
        && ab_compress_fast (ab_buf_chunk (&lists->bytes), &packed) == 0;
  if (lists->compressed)
    {
      ab_buf_free (&lists->bytes);
      lists->bytes = packed;
    }
  else
    ab_buf_free (&packed);
}

static bool
lists_match (const struct ab_fleet_watch *watch,
             const struct ab_fleet_view_frame *view, const char *domain)
{
  const struct view_lists *lists = &watch->lists;

  return lists->bytes.len > 0 && !lists->bytes.error
         && lists->live_peers == watch->live_peers
         && lists->after_index == view->after_index
         && lists->last_index == view->last_index
         && lists->hosts_version == view->hosts_version
         && lists->has_hosts == view->has_hosts
         && strcmp (lists->failure_domain, domain) == 0;
}

static void
send_view (struct ab_fleet_watch *watch, struct watcher *watcher, uint64_t now)
{
  struct ab_fleet_control *control = watch->control;
  const char *domain = watcher->host.failure_domain;
  struct ab_raft_status status;
  struct ab_fleet_view_frame view
      = { .echo_ms = watcher->time_ms,
          .confirmed_age_ms = ab_fleet_confirm_age_ms (control->confirm) };
  struct ab_buf body = AB_BUF_INIT;

  ab_group_status (control->group, &status);
  memcpy (view.failure_domain, control->settings->base.failure_domain,
          sizeof view.failure_domain);
  view.after_index = watcher->sent_index > watcher->index ? watcher->sent_index
                                                          : watcher->index;
  view.last_index = status.applied_index;
  view.age_ms = ab_group_staleness_ms (control->group);
  view.hosts_version = hosts_version (watch, watcher);
  view.has_hosts = watcher->index != UINT64_MAX
                   && watcher->hosts_version != view.hosts_version;
  if (!lists_match (watch, &view, domain))
    fill_lists (watch, &view, domain);
  view.compressed = watch->lists.compressed;
  ab_pack_array (&body, 2);
  ab_fleet_pack_view (&body, &view);
  ab_pack_bytes (&body, ab_buf_chunk (&watch->lists.bytes));
  if (!body.error && !watch->lists.bytes.error)
    ab_peer_task_reply (control->daemon->peer,
                        ab_chunk_str (watcher->host.peer), AB_FRAME_FLEET_VIEW,
                        ab_buf_chunk (&body));
  watcher->sent_index = view.last_index;
  watcher->sent_ms = watch->lists.has_changes ? now : 0;
  watcher->ack_deadline_ms
      = now + VIEW_ACK_TIMEOUT_MS + body.len / LINK_BYTES_PER_MS;
  watcher->behind = false;
  watcher->hosts_version = view.hosts_version;
  ab_buf_free (&body);
}

static void
push_views (struct ab_fleet_watch *watch, uint64_t now)
{
  watch->pushed_ms = now;
  for (struct watcher *w = watch->watchers; w; w = w->hh.next)
    if (is_in_flight (w, now))
      w->behind = true;
    else
      send_view (watch, w, now);
}

static void
on_push (evutil_socket_t fd, short events, void *ctx)
{
  (void)fd;
  (void)events;
  push_views (ctx, ab_fleet_now_ms ());
}

void
ab_fleet_watch_push (struct ab_fleet_watch *watch)
{
  uint64_t now = ab_fleet_now_ms ();
  uint64_t due = watch->pushed_ms + PUSH_INTERVAL_MS;
  struct timeval tv = { 0 };

  if (event_pending (watch->push_timer, EV_TIMEOUT, NULL))
    return;
  if (now >= due)
    push_views (watch, now);
  else
    {
      tv.tv_usec = (suseconds_t)(due - now) * 1000;
      event_add (watch->push_timer, &tv);
    }
}

static size_t
count_live (const struct ab_fleet_watch *watch, uint64_t now)
{
  size_t live = 0;

  for (size_t i = 0; i < watch->peer_count; i++)
    live += is_live (&watch->peers[i], now);
  return live;
}

/* Returns whether the entry host of WATCHER is reported to the other control
   hosts.  From the failure domain of this control host, they need only the
   hosts that may schedule requests.  */
static bool
is_advertised (const struct ab_fleet_watch *watch,
               const struct watcher *watcher)
{
  const char *own = watch->control->settings->base.failure_domain;

  return watcher->listed
         && (strcmp (watcher->host.failure_domain, own) != 0
             || ab_directory_may_schedule (watch->directory,
                                           watcher->host.peer));
}

static uint64_t
followers_version (const struct ab_fleet_watch *watch)
{
  uint64_t version = 1;

  for (const struct watcher *w = watch->watchers; w; w = w->hh.next)
    if (is_advertised (watch, w))
      version += ab_fleet_host_hash (&w->host);
  return version;
}

static void
update_directory (struct ab_fleet_watch *watch, uint64_t now)
{
  bool changed;
  size_t live = count_live (watch, now);

  if (!watch->directory_stale && live == watch->live_peers)
    return;
  watch->directory_stale = false;
  watch->live_peers = live;
  ab_directory_begin (watch->directory);
  fill_directory (watch, now);
  changed = ab_directory_end (watch->directory);
  watch->followers_version = followers_version (watch);
  if (changed)
    ab_fleet_watch_push (watch);
}

static void
drop_watcher (struct ab_fleet_watch *watch, struct watcher *watcher)
{
  if (watch->watchers)
    HASH_DEL (watch->watchers, watcher);
  free (watcher);
  watch->directory_stale = true;
}

static void
on_watch (void *ctx, const struct ab_frame *frame)
{
  struct ab_fleet_watch *watch = ctx;
  struct ab_fleet_watch_frame message;
  struct watcher *watcher = NULL;
  uint64_t now = ab_fleet_now_ms ();

  if (ab_fleet_read_watch (frame->body, &message) < 0
      || !ab_chunk_equal (frame->sender, ab_chunk_str (message.host.peer)))
    return;
  HASH_FIND_STR (watch->watchers, message.host.peer, watcher);
  if (!message.follow)
    {
      struct watcher requester = { .host = message.host, .index = UINT64_MAX };
      if (watcher)
        drop_watcher (watch, watcher);
      send_view (watch, &requester, now);
      return;
    }
  if (!watcher)
    {
      if (HASH_COUNT (watch->watchers) >= AB_FLEET_HOSTS_MAX)
        return;
      watcher = calloc (1, sizeof *watcher);
      if (!watcher)
        return;
      watcher->host = message.host;
      watch->directory_stale = true;
      HASH_ADD_STR (watch->watchers, host.peer, watcher);
      ab_peer_task_set_address (watch->control->daemon->peer, frame->sender,
                                message.host.peer);
      AB_LOG (AB_LOG_INFO, "entry_host_heard",
              ab_log_str ("peer", message.host.peer),
              ab_log_int ("index", (int64_t)message.index));
    }
  if (watcher->listed != message.listed
      || ab_fleet_host_hash (&watcher->host)
             != ab_fleet_host_hash (&message.host))
    watch->directory_stale = true;
  watcher->host = message.host;
  watcher->listed = message.listed;
  watcher->heard_ms = now;
  watcher->time_ms = message.time_ms;
  ab_fleet_confirm_tick (watch->control->confirm);
  if (!message.ack && !message.missed && is_in_flight (watcher, now))
    {
      watcher->behind = true;
      return;
    }
  watcher->index = message.index;
  watcher->sent_index = 0;
  watcher->sent_ms = 0;
  watcher->hosts_version = message.hosts_version;
  if (!message.ack || watcher->behind
      || message.hosts_version != hosts_version (watch, watcher))
    send_view (watch, watcher, now);
}

/* Other control hosts.  */

static struct peer *
find_peer (struct ab_fleet_watch *watch, struct ab_chunk address)
{
  struct peer *peer = lookup_peer (watch, address);

  if (peer)
    return peer;
  if (watch->peer_count == PEERS_MAX)
    return NULL;
  peer = &watch->peers[watch->peer_count];
  memset (peer, 0, sizeof *peer);
  if (!ab_chunk_copy (address, peer->address, sizeof peer->address))
    return NULL;
  watch->peer_count++;
  return peer;
}

static void
read_peer_hosts (struct ab_reader *reader, struct peer *peer)
{
  size_t count = ab_reader_enter (reader, AB_FLEET_HOSTS_MAX);
  struct ab_fleet_host *hosts = calloc (count + 1, sizeof *hosts);

  for (size_t i = 0; hosts && i < count; i++)
    ab_fleet_read_host (reader, &hosts[i]);
  ab_reader_leave (reader);
  if (!hosts || ab_reader_error (reader) < 0)
    {
      free (hosts);
      return;
    }
  free (peer->hosts);
  peer->hosts = hosts;
  peer->host_count = count;
}

static void
on_hosts (void *ctx, const struct ab_frame *frame)
{
  struct ab_fleet_watch *watch = ctx;
  struct peer *peer = find_peer (watch, frame->sender);
  struct ab_reader reader;

  if (!peer || ab_reader_init (&reader, frame->body) < 0)
    return;
  ab_reader_enter (&reader, 3);
  ab_reader_str (&reader, peer->failure_domain, sizeof peer->failure_domain);
  ab_reader_str (&reader, peer->admin, sizeof peer->admin);
  read_peer_hosts (&reader, peer);
  watch->directory_stale = true;
  if (ab_reader_error (&reader) == 0)
    peer->heard_ms = ab_fleet_now_ms ();
  ab_reader_free (&reader);
}

static void
on_heartbeat (void *ctx, const struct ab_frame *frame)
{
  struct ab_fleet_watch *watch = ctx;
  struct peer *peer = find_peer (watch, frame->sender);

  /* A peer that has never sent its list has none to keep alive.  */
  if (peer && peer->heard_ms)
    peer->heard_ms = ab_fleet_now_ms ();
}

static void
send_to_peers (const struct ab_fleet_watch *watch, enum ab_frame_type type,
               struct ab_chunk body)
{
  const struct ab_fleet_control *control = watch->control;
  const struct ab_raft_member *members;
  size_t count = ab_group_members (control->group, &members);

  for (size_t i = 0; i < count; i++)
    if (strcmp (members[i].host, control->daemon->settings->host) != 0)
      ab_peer_task_send (control->daemon->peer, ab_chunk_str (members[i].host),
                         type, body);
}

static void
advertise_followers (struct ab_fleet_watch *watch, uint64_t now)
{
  struct ab_fleet_control *control = watch->control;
  struct ab_buf body = AB_BUF_INIT;
  size_t hosts = 0;

  watch->advertised_version = watch->followers_version;
  watch->advertised_ms = now;
  watch->heartbeat_ms = now;
  for (const struct watcher *w = watch->watchers; w; w = w->hh.next)
    hosts += is_advertised (watch, w);
  ab_pack_array (&body, 3);
  ab_pack_bytes (&body, ab_chunk_str (control->settings->base.failure_domain));
  ab_pack_bytes (&body, ab_chunk_str (control->settings->listen.admin));
  ab_pack_array (&body, hosts);
  for (const struct watcher *w = watch->watchers; w; w = w->hh.next)
    if (is_advertised (watch, w))
      ab_fleet_pack_host (&body, &w->host);
  if (!body.error)
    send_to_peers (watch, AB_FRAME_FLEET_HOSTS, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static void
drop_unresponsive (struct ab_fleet_watch *watch, uint64_t now)
{
  struct watcher *watcher;
  struct watcher *next;

  HASH_ITER (hh, watch->watchers, watcher, next)
  if (now - watcher->heard_ms > AB_FLEET_WATCH_TIMEOUT_MS)
    {
      AB_LOG (AB_LOG_INFO, "entry_host_lost",
              ab_log_str ("peer", watcher->host.peer),
              ab_log_int ("silent_ms", (int64_t)(now - watcher->heard_ms)));
      drop_watcher (watch, watcher);
    }
}

static void
on_timer (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_fleet_watch *watch = ctx;
  uint64_t now = ab_fleet_now_ms ();

  (void)fd;
  (void)events;
  drop_unresponsive (watch, now);
  update_directory (watch, now);
  if (watch->followers_version != watch->advertised_version
      || now - watch->advertised_ms > HOSTS_INTERVAL_MS)
    advertise_followers (watch, now);
  else if (now - watch->heartbeat_ms > HEARTBEAT_INTERVAL_MS)
    {
      watch->heartbeat_ms = now;
      send_to_peers (watch, AB_FRAME_FLEET_HEARTBEAT, ab_chunk ("", 0));
    }
}

bool
ab_fleet_watch_wants_confirmation (const struct ab_fleet_watch *watch)
{
  for (const struct watcher *w = watch->watchers; w; w = w->hh.next)
    if (w->time_ms)
      return true;
  return false;
}

const char *
ab_fleet_watch_admin (const struct ab_fleet_watch *watch,
                      const char *failure_domain)
{
  const struct ab_fleet_settings *settings = watch->control->settings;

  if (strcmp (settings->base.failure_domain, failure_domain) == 0)
    return settings->listen.admin;
  for (size_t i = 0; i < watch->peer_count; i++)
    if (strcmp (watch->peers[i].failure_domain, failure_domain) == 0
        && ab_fleet_now_ms () - watch->peers[i].heard_ms < HOSTS_TIMEOUT_MS)
      return watch->peers[i].admin;
  return "";
}

int
ab_fleet_watch_new (struct ab_fleet_control *control,
                    struct ab_fleet_watch **result)
{
  struct ab_fleet_watch *watch = calloc (1, sizeof *watch);
  const struct timeval interval = { .tv_usec = TIMER_MS * 1000 };

  *result = watch;
  if (!watch)
    return AB_ERR_MEMORY;
  watch->control = control;
  watch->directory_stale = true;
  watch->directory = ab_directory_new ();
  watch->push_timer = evtimer_new (control->daemon->base, on_push, watch);
  watch->timer
      = event_new (control->daemon->base, -1, EV_PERSIST, on_timer, watch);
  if (!watch->directory || !watch->push_timer || !watch->timer
      || event_add (watch->timer, &interval) < 0)
    return AB_ERR_MEMORY;
  ab_peer_task_set_handler (control->daemon->peer, AB_FRAME_FLEET_WATCH,
                            on_watch, watch);
  ab_peer_task_set_handler (control->daemon->peer, AB_FRAME_FLEET_HOSTS,
                            on_hosts, watch);
  ab_peer_task_set_handler (control->daemon->peer, AB_FRAME_FLEET_HEARTBEAT,
                            on_heartbeat, watch);
  return 0;
}

void
ab_fleet_watch_free (struct ab_fleet_watch *watch)
{
  struct watcher *watcher;

  if (!watch)
    return;
  watcher = watch->watchers;
  HASH_CLEAR (hh, watch->watchers);
  while (watcher)
    {
      struct watcher *next = watcher->hh.next;
      free (watcher);
      watcher = next;
    }
  for (size_t i = 0; i < watch->peer_count; i++)
    free (watch->peers[i].hosts);
  if (watch->timer)
    event_free (watch->timer);
  if (watch->push_timer)
    event_free (watch->push_timer);
  ab_directory_free (watch->directory);
  ab_buf_free (&watch->lists.bytes);
  free (watch);
}

json_t *
ab_fleet_watch_state (const struct ab_fleet_watch *watch)
{
  json_t *list = json_array ();

  for (const struct watcher *w = watch->watchers; w; w = w->hh.next)
    json_array_append_new (
        list, json_pack ("{s:s, s:s, s:b, s:I}", "peer", w->host.peer,
                         "failure_domain", w->host.failure_domain, "listed",
                         w->listed, "index", (json_int_t)w->index));
  return list;
}
