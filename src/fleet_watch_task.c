/* Entry hosts that follow this control host.  */

#include "fleet_control_parts.h"

#include <stdlib.h>
#include <uthash.h>

#include "compress.h"
#include "fleet_directory.h"
#include "fleet_watch.h"
#include "pack.h"

#define TIMER_MS 200
/* Control hosts tell each other which entry hosts they hear at once when that
   changes, and otherwise this often.  */
#define HOSTS_MS 6000
/* In between they say that they are there, in a few bytes.  */
#define ALIVE_MS 900
/* The entry hosts of a control host that is silent are no longer named when
   those that are well have found another control host.  */
#define HOSTS_LOST_MS 3500
#define PEERS_MAX 64
/* An entry host is sent one view with news at a time, as its link may be slow:
   views that are sent again while the first is on its way would fill the link
   for good.  One that is not acknowledged counts as lost after VIEW_LOST_MS,
   and later where it is large.  */
#define VIEW_LOST_MS 1200
#define LINK_BYTES_PER_MS 100
/* Lists of this size are compressed.  */
#define COMPRESS_BYTES 1024
/* News are gathered for this long after a view was pushed: many targets and
   hosts change at once when a fleet starts.  */
#define PUSH_GATHER_MS 60

struct watcher
{
  struct ab_fleet_host host;
  bool listed;
  uint64_t index;   /* That it said to know.  */
  uint64_t sent;    /* That was sent since.  */
  uint64_t sent_ms; /* When news were sent that are not acknowledged; 0: all
                       are.  */
  uint64_t lost_ms; /* When those count as lost.  */
  bool behind;      /* There are more news.  */
  uint64_t hosts_version;
  uint64_t heard_ms;
  UT_hash_handle hh;
};

/* Another control host and the entry hosts that it hears.  */
struct peer
{
  char address[AB_ADDRESS_BYTES];
  char admin[AB_ADDRESS_BYTES];
  char failure_domain[AB_NAME_BYTES];
  struct ab_fleet_host *hosts;
  size_t host_count;
  uint64_t heard_ms;
};

/* The lists of a view.  All entry hosts of a failure domain that know the same
   get the same ones, and many ask one after the other when a fleet starts.  */
struct view_lists
{
  uint64_t from;
  uint64_t upto;
  uint64_t hosts_version;
  bool has_hosts;
  char failure_domain[AB_NAME_BYTES];
  struct ab_buf bytes;
  bool compressed;
  bool news; /* There is anything in them.  */
};

/* Whether news are on their way to WATCHER.  */
static bool
is_under_way (const struct watcher *watcher, uint64_t now)
{
  return watcher->sent_ms && now < watcher->lost_ms;
}

struct ab_fleet_watch
{
  struct ab_fleet_control *control;
  struct event *timer;
  struct event *push;
  uint64_t pushed_ms;
  struct watcher *watchers;
  struct peer peers[PEERS_MAX];
  size_t peer_count;
  struct view_lists lists;        /* That were sent last.  */
  struct ab_directory *directory; /* Of all entry hosts.  */
  bool stale;                     /* The directory is.  */
  size_t live_peers;
  uint64_t own_version; /* Of the entry hosts that others are told of.  */
  uint64_t told_version;
  uint64_t told_ms;
  uint64_t alive_ms; /* When the peers heard of this one last.  */
};

/* Entry hosts.  */

static bool
heard_here (const struct ab_fleet_watch *watch, const char *peer)
{
  struct watcher *watcher = NULL;

  HASH_FIND_STR (watch->watchers, peer, watcher);
  return watcher != NULL;
}

static bool
is_live (const struct peer *peer, uint64_t now)
{
  return now - peer->heard_ms <= HOSTS_LOST_MS;
}

/* Every entry host that does not stop.  What is heard here goes before what
   another control host told.  */
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
        if (!heard_here (watch, peer->hosts[j].peer))
          ab_directory_add (watch->directory, &peer->hosts[j]);
    }
}

/* Version of what the host of WATCHER should know.  */
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

/* The failure domain of the control host at ADDRESS; empty when it is not
   known.  */
static const char *
control_domain (const struct ab_fleet_watch *watch, const char *address)
{
  const struct ab_fleet_control *control = watch->control;

  if (strcmp (address, control->daemon->settings->host) == 0)
    return control->settings->base.failure_domain;
  for (size_t i = 0; i < watch->peer_count; i++)
    if (strcmp (watch->peers[i].address, address) == 0
        && watch->peers[i].failure_domain[0])
      return watch->peers[i].failure_domain;
  return ab_group_domain (control->group, address);
}

static void
pack_controls (struct ab_buf *out, const struct ab_fleet_watch *watch)
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

/* Returns whether there is anything in the lists.  */
static bool
pack_lists (struct ab_buf *out, const struct ab_fleet_watch *watch,
            const struct ab_fleet_view_frame *view, const char *domain)
{
  const struct ab_fleet_control *control = watch->control;
  struct ab_chunk bundle = ab_chunk ("", 0);
  size_t targets = 0;

  if (ab_fleet_state_bundle_index (control->state) > view->from)
    bundle = ab_fleet_state_packed (control->state);
  ab_pack_u64 (out, ab_fleet_state_bundle_index (control->state));
  ab_pack_bytes (out, bundle);
  ab_fleet_state_changes (control->state, view->from, count_target, &targets);
  ab_pack_array (out, targets);
  ab_fleet_state_changes (control->state, view->from, pack_target, out);
  if (view->has_hosts)
    ab_directory_pack (watch->directory, domain, out);
  else
    ab_pack_array (out, 0);
  pack_controls (out, watch);
  return bundle.len > 0 || targets > 0 || view->has_hosts;
}

/* Packs the lists of VIEW for hosts of DOMAIN, compressed where that is worth
   the time.  */
static void
fill_lists (struct ab_fleet_watch *watch,
            const struct ab_fleet_view_frame *view, const char *domain)
{
  struct view_lists *lists = &watch->lists;
  struct ab_buf packed = AB_BUF_INIT;

  lists->from = view->from;
  lists->upto = view->upto;
  lists->hosts_version = view->hosts_version;
  lists->has_hosts = view->has_hosts;
  ab_chunk_copy (ab_chunk_str (domain), lists->failure_domain,
                 sizeof lists->failure_domain);
  ab_buf_clear (&lists->bytes);
  ab_pack_array (&lists->bytes, 5);
  lists->news = pack_lists (&lists->bytes, watch, view, domain);
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
lists_fit (const struct view_lists *lists,
           const struct ab_fleet_view_frame *view, const char *domain)
{
  return lists->bytes.len > 0 && !lists->bytes.error
         && lists->from == view->from && lists->upto == view->upto
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
  struct ab_fleet_view_frame view = { 0 };
  struct ab_buf body = AB_BUF_INIT;

  ab_group_status (control->group, &status);
  memcpy (view.failure_domain, control->settings->base.failure_domain,
          sizeof view.failure_domain);
  view.from = watcher->sent > watcher->index ? watcher->sent : watcher->index;
  view.upto = status.applied_index;
  view.age_ms = ab_group_age_ms (control->group);
  view.hosts_version = hosts_version (watch, watcher);
  view.has_hosts = watcher->index != UINT64_MAX
                   && watcher->hosts_version != view.hosts_version;
  if (!lists_fit (&watch->lists, &view, domain))
    fill_lists (watch, &view, domain);
  view.compressed = watch->lists.compressed;
  ab_pack_array (&body, 2);
  ab_fleet_pack_view (&body, &view);
  ab_pack_bytes (&body, ab_buf_chunk (&watch->lists.bytes));
  if (!body.error && !watch->lists.bytes.error)
    ab_peer_task_answer (control->daemon->peer,
                         ab_chunk_str (watcher->host.peer),
                         AB_FRAME_FLEET_VIEW, ab_buf_chunk (&body));
  watcher->sent = view.upto;
  watcher->sent_ms = watch->lists.news ? now : 0;
  watcher->lost_ms = now + VIEW_LOST_MS + body.len / LINK_BYTES_PER_MS;
  watcher->behind = false;
  watcher->hosts_version = view.hosts_version;
  ab_buf_free (&body);
}

static void
push_views (struct ab_fleet_watch *watch, uint64_t now)
{
  watch->pushed_ms = now;
  for (struct watcher *w = watch->watchers; w; w = w->hh.next)
    if (is_under_way (w, now))
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
  uint64_t due = watch->pushed_ms + PUSH_GATHER_MS;
  struct timeval tv = { 0 };

  if (event_pending (watch->push, EV_TIMEOUT, NULL))
    return;
  if (now >= due)
    push_views (watch, now);
  else
    {
      tv.tv_usec = (suseconds_t)(due - now) * 1000;
      event_add (watch->push, &tv);
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

/* Whether other control hosts are told of the host of WATCHER: of the own
   failure domain they need to know those that may schedule.  */
static bool
is_told (const struct ab_fleet_watch *watch, const struct watcher *watcher)
{
  const char *own = watch->control->settings->base.failure_domain;

  return watcher->listed
         && (strcmp (watcher->host.failure_domain, own) != 0
             || ab_directory_schedules (watch->directory, watcher->host.peer));
}

static uint64_t
own_version (const struct ab_fleet_watch *watch)
{
  uint64_t version = 1;

  for (const struct watcher *w = watch->watchers; w; w = w->hh.next)
    if (is_told (watch, w))
      version += ab_fleet_host_hash (&w->host);
  return version;
}

static void
update_directory (struct ab_fleet_watch *watch, uint64_t now)
{
  bool changed;
  size_t live = count_live (watch, now);

  if (!watch->stale && live == watch->live_peers)
    return;
  watch->stale = false;
  watch->live_peers = live;
  ab_directory_begin (watch->directory);
  fill_directory (watch, now);
  changed = ab_directory_end (watch->directory);
  watch->own_version = own_version (watch);
  if (changed)
    ab_fleet_watch_push (watch);
}

static void
drop_watcher (struct ab_fleet_watch *watch, struct watcher *watcher)
{
  if (watch->watchers)
    HASH_DEL (watch->watchers, watcher);
  free (watcher);
  watch->stale = true;
}

static void
on_watch (void *ctx, const struct ab_frame *frame)
{
  struct ab_fleet_watch *watch = ctx;
  struct ab_fleet_watch_frame said;
  struct watcher *watcher = NULL;
  uint64_t now = ab_fleet_now_ms ();

  if (ab_fleet_read_watch (frame->body, &said) < 0
      || !ab_chunk_equal (frame->sender, ab_chunk_str (said.host.peer)))
    return;
  HASH_FIND_STR (watch->watchers, said.host.peer, watcher);
  if (!said.follow)
    {
      struct watcher asker = { .host = said.host, .index = UINT64_MAX };
      if (watcher)
        drop_watcher (watch, watcher);
      send_view (watch, &asker, now);
      return;
    }
  if (!watcher)
    {
      if (HASH_COUNT (watch->watchers) >= AB_FLEET_HOSTS_MAX)
        return;
      watcher = calloc (1, sizeof *watcher);
      if (!watcher)
        return;
      watcher->host = said.host;
      watch->stale = true;
      HASH_ADD_STR (watch->watchers, host.peer, watcher);
      ab_peer_task_set_address (watch->control->daemon->peer, frame->sender,
                                said.host.peer);
      AB_LOG (AB_LOG_INFO, "entry_host_heard",
              ab_log_str ("peer", said.host.peer),
              ab_log_int ("index", (int64_t)said.index));
    }
  if (watcher->listed != said.listed
      || ab_fleet_host_hash (&watcher->host)
             != ab_fleet_host_hash (&said.host))
    watch->stale = true;
  watcher->host = said.host;
  watcher->listed = said.listed;
  watcher->heard_ms = now;
  if (!said.ack && !said.missed && is_under_way (watcher, now))
    {
      watcher->behind = true;
      return;
    }
  watcher->index = said.index;
  watcher->sent = 0;
  watcher->sent_ms = 0;
  watcher->hosts_version = said.hosts_version;
  if (!said.ack || watcher->behind
      || said.hosts_version != hosts_version (watch, watcher))
    send_view (watch, watcher, now);
}

/* Other control hosts.  */

static struct peer *
find_peer (struct ab_fleet_watch *watch, struct ab_chunk address)
{
  struct peer *peer;

  for (size_t i = 0; i < watch->peer_count; i++)
    if (ab_chunk_equal (ab_chunk_str (watch->peers[i].address), address))
      return &watch->peers[i];
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
  watch->stale = true;
  if (ab_reader_error (&reader) == 0)
    peer->heard_ms = ab_fleet_now_ms ();
  ab_reader_free (&reader);
}

static void
on_alive (void *ctx, const struct ab_frame *frame)
{
  struct ab_fleet_watch *watch = ctx;
  struct peer *peer = find_peer (watch, frame->sender);

  /* One whose list was never heard has nothing that could be kept.  */
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
tell_peers (struct ab_fleet_watch *watch, uint64_t now)
{
  struct ab_fleet_control *control = watch->control;
  struct ab_buf body = AB_BUF_INIT;
  size_t hosts = 0;

  watch->told_version = watch->own_version;
  watch->told_ms = now;
  watch->alive_ms = now;
  for (const struct watcher *w = watch->watchers; w; w = w->hh.next)
    hosts += is_told (watch, w);
  ab_pack_array (&body, 3);
  ab_pack_bytes (&body, ab_chunk_str (control->settings->base.failure_domain));
  ab_pack_bytes (&body, ab_chunk_str (control->settings->listen.admin));
  ab_pack_array (&body, hosts);
  for (const struct watcher *w = watch->watchers; w; w = w->hh.next)
    if (is_told (watch, w))
      ab_fleet_pack_host (&body, &w->host);
  if (!body.error)
    send_to_peers (watch, AB_FRAME_FLEET_HOSTS, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static void
drop_silent (struct ab_fleet_watch *watch, uint64_t now)
{
  struct watcher *watcher;
  struct watcher *next;

  HASH_ITER (hh, watch->watchers, watcher, next)
  if (now - watcher->heard_ms > AB_FLEET_WATCH_LOST_MS)
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
  drop_silent (watch, now);
  update_directory (watch, now);
  if (watch->own_version != watch->told_version
      || now - watch->told_ms > HOSTS_MS)
    tell_peers (watch, now);
  else if (now - watch->alive_ms > ALIVE_MS)
    {
      watch->alive_ms = now;
      send_to_peers (watch, AB_FRAME_FLEET_ALIVE, ab_chunk ("", 0));
    }
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
        && ab_fleet_now_ms () - watch->peers[i].heard_ms < HOSTS_LOST_MS)
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
  watch->stale = true;
  watch->directory = ab_directory_new ();
  watch->push = evtimer_new (control->daemon->base, on_push, watch);
  watch->timer
      = event_new (control->daemon->base, -1, EV_PERSIST, on_timer, watch);
  if (!watch->directory || !watch->push || !watch->timer
      || event_add (watch->timer, &interval) < 0)
    return AB_ERR_MEMORY;
  ab_peer_task_handle (control->daemon->peer, AB_FRAME_FLEET_WATCH, on_watch,
                       watch);
  ab_peer_task_handle (control->daemon->peer, AB_FRAME_FLEET_HOSTS, on_hosts,
                       watch);
  ab_peer_task_handle (control->daemon->peer, AB_FRAME_FLEET_ALIVE, on_alive,
                       watch);
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
  if (watch->push)
    event_free (watch->push);
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
