#include "limit_task.h"

#include <event2/event.h>
#include <stdlib.h>
#include <uthash.h>

#include "bundle_task.h"
#include "clock.h"
#include "error.h"
#include "limiter.h"
#include "member_task.h"
#include "pack.h"
#include "peer_task.h"
#include "rendezvous.h"

/* A holder without requests stops sending demands after this time.  */
#define HOLDER_IDLE_MS 10000
/* An owner that receives no demands is freed after this time.  */
#define OWNER_IDLE_MS 60000
#define FIELDS_MAX 8
#define HOSTS_MAX 4096
/* Number of demands whose reply is still accepted; a reply to an older one is
   ignored.  */
#define SENT_DEMANDS_MAX 4
/* Frames with values from here on are treated as corrupt.  */
#define FRAME_VALUE_MAX 1e9
/* Shortest time between two demands that are sent because a request was
   rejected.  */
#define DEMAND_INTERVAL_MIN_MS 200

struct sent_demand
{
  uint64_t number;
  uint64_t sent_ms;
};

struct team
{
  char name[AB_NAME_BYTES];
  struct ab_limit limit;
  struct ab_limit_holder holder;
  uint64_t last_request_ms;
  uint64_t demand_sent_ms;
  uint64_t next_demand_number;
  struct sent_demand sent_demands[SENT_DEMANDS_MAX];
  /* Null unless this host has received demands for the team.  */
  struct ab_limit_owner *owner;
  uint64_t demand_received_ms;
  UT_hash_handle hh;
};

struct ab_limit_task
{
  struct ab_daemon *daemon;
  struct ab_bundle *bundle;
  struct team *teams;
  struct event *timer;
  /* Sorted names of the live entry hosts.  They point into the view of the
     fleet and are valid only within one call from the event loop.  */
  const char **hosts;
  size_t host_count;
  size_t rank; /* Index of this host in HOSTS.  */
};

static uint64_t
now (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static bool
collect_host (void *ctx, const struct ab_host_view *host)
{
  struct ab_limit_task *task = ctx;

  if (host->role != AB_ROLE_ENTRY || host->state == AB_HOST_DEAD)
    return true;
  if (task->host_count < HOSTS_MAX)
    task->hosts[task->host_count++] = host->name;
  return true;
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* Updates the list of live entry hosts.  HOST_COUNT is at least 1, even when
   the list is empty.  */
static void
list_hosts (struct ab_limit_task *task)
{
  task->host_count = 0;
  task->hosts[0] = NULL;
  task->rank = 0;
  ab_member_task_visit_hosts (task->daemon->member, collect_host, task);
  qsort (task->hosts, task->host_count, sizeof (char *), compare_names);
  for (size_t i = 0; i < task->host_count; i++)
    if (strcmp (task->hosts[i], task->daemon->settings->host) == 0)
      task->rank = i;
  if (task->host_count == 0)
    task->host_count = 1;
}

static struct team *
find_team (struct ab_limit_task *task, struct ab_chunk name)
{
  struct team *team;

  HASH_FIND (hh, task->teams, name.data, name.len, team);
  return team;
}

static struct team *
add_team (struct ab_limit_task *task, struct ab_chunk name,
          const struct ab_limit *limit)
{
  struct team *team = calloc (1, sizeof *team);

  if (!team)
    return NULL;
  if (!ab_chunk_copy (name, team->name, sizeof team->name))
    {
      free (team);
      return NULL;
    }
  team->limit = *limit;
  list_hosts (task);
  ab_limit_holder_init (&team->holder, limit, task->host_count, task->rank,
                        now ());
  HASH_ADD_STR (task->teams, name, team);
  return team;
}

static void
drop_team (struct ab_limit_task *task, struct team *team)
{
  HASH_DEL (task->teams, team);
  ab_limit_owner_free (team->owner);
  free (team);
}

/* Returns the owner of the limit of TEAM, the live entry host with the highest
   rendezvous score; null when there is none.  */
static const char *
owner_of (const struct ab_limit_task *task, const struct team *team)
{
  uint64_t subject = ab_rendezvous_hash (ab_chunk_str (team->name));
  const char *owner = NULL;
  uint64_t best = 0;

  for (size_t i = 0; i < task->host_count && task->hosts[i]; i++)
    {
      uint64_t score = ab_rendezvous_score (
          subject, ab_rendezvous_hash (ab_chunk_str (task->hosts[i])));

      if (!owner || score > best)
        {
          owner = task->hosts[i];
          best = score;
        }
    }
  return owner;
}

static bool
is_bounded (const struct ab_limit *limit)
{
  return limit->rate > 0 || limit->concurrency > 0;
}

static void
send_demand (struct ab_limit_task *task, struct team *team)
{
  const char *owner = owner_of (task, team);
  uint64_t now_ms = now ();
  struct ab_limit_demand demand;
  struct ab_buf body = AB_BUF_INIT;

  team->demand_sent_ms = now_ms;
  ab_limit_holder_collect_demand (&team->holder, now_ms, &demand);
  if (!owner)
    return;
  team->sent_demands[team->next_demand_number % SENT_DEMANDS_MAX]
      = (struct sent_demand){ .number = team->next_demand_number,
                              .sent_ms = now_ms };
  ab_pack_array (&body, 5);
  ab_pack_bytes (&body, ab_chunk_str (team->name));
  ab_pack_u64 (&body, team->next_demand_number++);
  ab_pack_double (&body, demand.rate);
  ab_pack_u64 (&body, demand.concurrency);
  ab_pack_u64 (&body, demand.in_flight);
  if (body.error == 0)
    ab_peer_task_send (task->daemon->peer, ab_chunk_str (owner),
                       AB_FRAME_LIMIT_DEMAND, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static void
update_team (struct ab_limit_task *task, struct team *team)
{
  uint64_t now_ms = now ();

  ab_limit_holder_configure (&team->holder, &team->limit, task->host_count,
                             task->rank);
  if (team->owner && now_ms > team->demand_received_ms + OWNER_IDLE_MS)
    {
      ab_limit_owner_free (team->owner);
      team->owner = NULL;
    }
  if (now_ms < team->last_request_ms + HOLDER_IDLE_MS
      || team->holder.in_flight > 0)
    send_demand (task, team);
  else if (!team->owner)
    drop_team (task, team);
}

static void
on_timer (evutil_socket_t fd, short what, void *ctx)
{
  struct ab_limit_task *task = ctx;
  struct team *team;
  struct team *next;

  (void)fd;
  (void)what;
  list_hosts (task);
  HASH_ITER (hh, task->teams, team, next)
  update_team (task, team);
}

/* Stores the limit of the team NAME from the bundle in force in LIMIT; returns
   false when the bundle has no such team.  */
static bool
limit_of (const struct ab_limit_task *task, struct ab_chunk name,
          struct ab_limit *limit)
{
  size_t count = task->bundle ? ab_bundle_team_count (task->bundle) : 0;

  for (size_t i = 0; i < count; i++)
    {
      const struct ab_team *team = ab_bundle_team (task->bundle, i);

      if (!ab_chunk_equal (name, ab_chunk_str (team->name)))
        continue;
      *limit = (struct ab_limit){ .rate = team->rate,
                                  .concurrency = team->concurrency };
      return true;
    }
  return false;
}

/* Returns the team NAME with an owner, which is created when necessary; null
   when the team is unknown or memory runs out.  */
static struct team *
owned_team (struct ab_limit_task *task, struct ab_chunk name)
{
  struct team *team = find_team (task, name);
  struct ab_limit limit;

  if (!team && limit_of (task, name, &limit))
    team = add_team (task, name, &limit);
  if (team && !team->owner)
    team->owner = ab_limit_owner_new (&team->limit, now ());
  return team && team->owner ? team : NULL;
}

static void
send_share (struct ab_limit_task *task, struct ab_chunk host,
            struct ab_chunk team, uint64_t number,
            const struct ab_limit_share *share)
{
  struct ab_buf body = AB_BUF_INIT;

  ab_pack_array (&body, 4);
  ab_pack_bytes (&body, team);
  ab_pack_u64 (&body, number);
  ab_pack_double (&body, share->rate);
  ab_pack_u64 (&body, share->concurrency);
  if (body.error == 0)
    ab_peer_task_send (task->daemon->peer, host, AB_FRAME_LIMIT_SHARE,
                       ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static void
on_demand (void *ctx, const struct ab_frame *frame)
{
  struct ab_limit_task *task = ctx;
  struct ab_limit_demand demand = { .rate = 0 };
  struct ab_limit_share share;
  struct ab_reader reader;
  struct ab_chunk name;
  uint64_t number;
  struct team *team;

  if (ab_reader_init (&reader, frame->body) < 0)
    return;
  ab_reader_enter (&reader, FIELDS_MAX);
  name = ab_reader_bytes (&reader, AB_NAME_BYTES - 1);
  number = ab_reader_u64 (&reader);
  demand.rate = ab_reader_double (&reader);
  demand.concurrency = ab_reader_u64 (&reader);
  demand.in_flight = ab_reader_u64 (&reader);
  if (ab_reader_error (&reader) == 0 && demand.rate >= 0
      && demand.rate < FRAME_VALUE_MAX && demand.concurrency < FRAME_VALUE_MAX
      && demand.in_flight < FRAME_VALUE_MAX)
    {
      list_hosts (task);
      team = owned_team (task, name);
      if (team)
        team->demand_received_ms = now ();
      if (team
          && ab_limit_owner_grant (team->owner, frame->sender, &demand,
                                   task->host_count, now (), &share)
                 == 0)
        send_share (task, frame->sender, name, number, &share);
    }
  ab_reader_free (&reader);
}

static void
on_share (void *ctx, const struct ab_frame *frame)
{
  struct ab_limit_task *task = ctx;
  struct ab_limit_share share = { .rate = 0 };
  struct ab_reader reader;
  struct ab_chunk name;
  uint64_t number;
  struct team *team;

  if (ab_reader_init (&reader, frame->body) < 0)
    return;
  ab_reader_enter (&reader, FIELDS_MAX);
  name = ab_reader_bytes (&reader, AB_NAME_BYTES - 1);
  number = ab_reader_u64 (&reader);
  share.rate = ab_reader_double (&reader);
  share.concurrency = ab_reader_u64 (&reader);
  team = ab_reader_error (&reader) == 0 && share.rate >= 0
                 && share.rate < FRAME_VALUE_MAX
             ? find_team (task, name)
             : NULL;
  /* A reply to a demand that is no longer in the list is ignored: the lease
     may have expired at the owner.  */
  if (team && team->sent_demands[number % SENT_DEMANDS_MAX].number == number
      && team->sent_demands[number % SENT_DEMANDS_MAX].sent_ms > 0)
    ab_limit_holder_accept_grant (
        &team->holder, &share,
        team->sent_demands[number % SENT_DEMANDS_MAX].sent_ms);
  ab_reader_free (&reader);
}

static void
on_bundle (void *ctx, struct ab_bundle *bundle)
{
  struct ab_limit_task *task = ctx;
  struct team *team;
  struct team *next;

  ab_bundle_unref (task->bundle);
  task->bundle = ab_bundle_ref (bundle);
  HASH_ITER (hh, task->teams, team, next)
  {
    struct ab_limit limit;

    if (!limit_of (task, ab_chunk_str (team->name), &limit))
      continue;
    team->limit = limit;
    ab_limit_holder_configure (&team->holder, &limit, task->host_count,
                               task->rank);
    if (team->owner)
      ab_limit_owner_configure (team->owner, &limit);
  }
}

int
ab_limit_task_new (struct ab_daemon *daemon, struct ab_limit_task **out)
{
  struct ab_limit_task *task = calloc (1, sizeof *task);
  struct timeval interval = { .tv_sec = 1 };

  if (!task)
    return AB_ERR_MEMORY;
  task->daemon = daemon;
  task->hosts = calloc (HOSTS_MAX, sizeof (char *));
  task->timer = event_new (daemon->base, -1, EV_PERSIST, on_timer, task);
  if (!task->hosts || !task->timer || event_add (task->timer, &interval) < 0)
    {
      ab_limit_task_free (task);
      return AB_ERR_MEMORY;
    }
  list_hosts (task);
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_LIMIT_DEMAND, on_demand,
                            task);
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_LIMIT_SHARE, on_share,
                            task);
  ab_bundle_task_add_listener (daemon->bundle, on_bundle, task);
  *out = task;
  return 0;
}

void
ab_limit_task_free (struct ab_limit_task *task)
{
  struct team *team;
  struct team *next;

  if (!task)
    return;
  HASH_ITER (hh, task->teams, team, next)
  drop_team (task, team);
  ab_bundle_unref (task->bundle);
  if (task->timer)
    event_free (task->timer);
  free (task->hosts);
  free (task);
}

int
ab_limit_task_acquire (struct ab_limit_task *task, const struct ab_team *spec,
                       uint64_t *retry_after_ms)
{
  struct ab_limit limit
      = { .rate = spec->rate, .concurrency = spec->concurrency };
  struct team *team;
  int rc;

  if (!is_bounded (&limit))
    return 0;
  team = find_team (task, ab_chunk_str (spec->name));
  if (!team)
    {
      team = add_team (task, ab_chunk_str (spec->name), &limit);
      if (!team)
        return AB_ERR_MEMORY;
    }
  team->last_request_ms = now ();
  rc = ab_limit_holder_acquire (&team->holder, team->last_request_ms,
                                retry_after_ms);
  /* Demand exceeds the share; other holders may not be using all of
     theirs.  */
  if (rc < 0
      && team->last_request_ms
             >= team->demand_sent_ms + DEMAND_INTERVAL_MIN_MS)
    send_demand (task, team);
  return rc;
}

void
ab_limit_task_release (struct ab_limit_task *task, struct ab_chunk name)
{
  struct team *team = find_team (task, name);

  if (team)
    ab_limit_holder_release (&team->holder);
}

static json_t *
team_json (const struct team *team)
{
  struct ab_limit_share share;

  ab_limit_holder_current_share (&team->holder, now (), &share);
  return json_pack ("{s:s, s:f, s:I, s:f, s:I, s:I, s:b, s:b}", "team",
                    team->name, "rate_limit", team->limit.rate,
                    "concurrency_limit", (json_int_t)team->limit.concurrency,
                    "rate_share", share.rate, "concurrency_share",
                    (json_int_t)share.concurrency, "in_flight",
                    (json_int_t)team->holder.in_flight, "leased",
                    now () < team->holder.lease_expires_ms, "owner_here",
                    team->owner != NULL);
}

json_t *
ab_limit_task_state (const struct ab_limit_task *task)
{
  json_t *teams = json_array ();

  for (const struct team *team = task->teams; team; team = team->hh.next)
    json_array_append_new (teams, team_json (team));
  return json_pack ("{s:o}", "teams", teams);
}
