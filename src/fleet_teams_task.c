/* Rate limits of teams at a control host: grants tokens to gateways, asks the
   leader's pool for those that its own buckets lack, and serves the pool and
   leases while it is the leader.  team_limit.h makes the decisions.  */

#include "fleet_teams_internal.h"

#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

#include "rng.h"

#define TIMER_MS 50
/* Interval of the reports of demand.  */
#define REPORT_MS 1000
/* A gateway waits 150 ms for an answer: a pool that does not answer in this
   time is not waited for.  The round trip between regions takes 42 ms.  */
#define POOL_WAIT_MS 130
/* Gateways' requests are answered at once for this time after the pool did not
   answer or its host was not serving.  */
#define POOL_PAUSE_MS 100
/* A longer "no" of the pool is not remembered: leases and returned tokens
   change it.  */
#define POOL_DENIAL_MAX_MS 500
/* The leader of a group that a majority confirmed up to this part of an
   election timeout ago may grant.  A new one waits for a whole one.  */
#define VALID_PART 0.66
#define WAITING_MAX 4096
#define STATE_TEAMS_MAX 200

/* A gateway's message that waits for the pool.  */
struct waiting
{
  struct waiting *prev;
  struct waiting *next;
  char gateway[AB_ADDRESS_BYTES];
  uint64_t id;
  uint64_t count;
  uint64_t due_ms;
  uint64_t retry_ms; /* Until the own bucket has a token.  */
  uint64_t ask_id; /* Of the message to the pool with its tokens; 0: none.  */
};

/* Messages to the leader about one team that may be under way at once.  With
   one at a time, a request that came just after a message would wait for two
   round trips between regions, which is longer than its gateway waits.  */
#define ASKS_MAX 8

struct pool_ask
{
  uint64_t id; /* Zero if there is none.  */
  uint64_t asked_ms;
};

/* What this host knows of a team's pool.  */
struct pool
{
  char team[AB_NAME_BYTES];
  struct waiting *waiting;
  struct pool_ask asks[ASKS_MAX];
  uint64_t asked_ms; /* Time of the last message.  */
  uint64_t denied_until_ms;
  uint64_t retry_at_ms; /* When it may have a token, as of that "no".  */
  uint64_t paused_until_ms;
  UT_hash_handle hh;
};

uint64_t *
ab_fleet_teams_counter (const struct ab_fleet_teams *teams, const char *name)
{
  return ab_counter (teams->control->daemon->counters, name);
}

/* The bundle.  */

static bool
rate_of (void *ctx, struct ab_chunk name, struct ab_team_rate *rate)
{
  const struct ab_fleet_teams *teams = ctx;
  const struct ab_route_table *table
      = ab_fleet_api_table (teams->control->api);
  const struct ab_fleet_team *team
      = table ? ab_route_table_find_team (table, name) : NULL;

  if (!team)
    return false;
  *rate = (struct ab_team_rate){ .rate_per_s = team->rate_per_s,
                                 .burst = team->burst };
  return true;
}

static const struct ab_team_limits_ops limits_ops = { .rate = rate_of };

/* Returns the number of members of the group, 0 while this host is none.  */
static size_t
count_members (const struct ab_fleet_teams *teams)
{
  const struct ab_raft_member *members;
  size_t count = ab_group_members (teams->control->group, &members);

  for (size_t i = 0; i < count; i++)
    if (strcmp (members[i].host, teams->control->daemon->settings->host) == 0)
      return count;
  return 0;
}

void
ab_fleet_teams_follow_group (struct ab_fleet_teams *teams, uint64_t now)
{
  uint64_t index = ab_fleet_state_bundle_index (teams->control->state);
  size_t hosts = count_members (teams);
  uint64_t age_ms = ab_fleet_confirm_age_ms (teams->control->confirm);
  struct ab_raft_status status;

  ab_group_status (teams->control->group, &status);
  if (age_ms < now)
    ab_team_limits_contact (teams->limits, now - age_ms);
  ab_team_limits_lead (teams->limits, status.leader, status.term, now);
  if (index == teams->table_index && hosts == teams->hosts)
    return;
  teams->table_index = index;
  teams->hosts = hosts;
  ab_team_limits_configure (teams->limits, hosts, now);
}

/* Contact with the leader.  */

static void
apply_contact (struct ab_fleet_teams *teams)
{
  struct ab_raft_status status;

  if (!teams->pending.confirmed)
    return;
  ab_group_status (teams->control->group, &status);
  if (status.applied_index < teams->pending.index)
    return;
  ab_team_limits_contact (teams->limits, teams->pending_as_of_ms);
  teams->pending.confirmed = false;
}

/* Records the contact of a reply to a message that was sent at ASKED_MS: the
   leader's state was current when its read began, which is at most the age
   before the message was sent.  */
static void
note_contact (struct ab_fleet_teams *teams,
              const struct ab_team_contact *contact, uint64_t asked_ms)
{
  if (!contact->confirmed || contact->age_ms > asked_ms
      || teams->pending.confirmed)
    return;
  teams->pending = *contact;
  teams->pending_as_of_ms = asked_ms - contact->age_ms;
  apply_contact (teams);
}

/* Replies to gateways.  */

static void
send_reply (struct ab_fleet_teams *teams, const char *gateway,
            const struct ab_team_reply *reply)
{
  struct ab_buf body = AB_BUF_INIT;

  ab_team_pack_reply (&body, reply);
  if (!body.error)
    ab_peer_task_reply (teams->control->daemon->peer, ab_chunk_str (gateway),
                        AB_FRAME_TEAM_TOKENS_REPLY, ab_buf_chunk (&body));
  ab_buf_free (&body);
  if (reply->status == AB_TEAM_GRANTED)
    *ab_fleet_teams_counter (teams, "ab_team_tokens_granted_total")
        += reply->answer.granted;
  else if (reply->status == AB_TEAM_LIMITED)
    ++*ab_fleet_teams_counter (teams, "ab_team_tokens_refused_total");
  else
    ++*ab_fleet_teams_counter (teams, "ab_team_tokens_unknown_total");
}

/* Ends WAITING of POOL with STATUS and the tokens in ANSWER.  */
static void
end_waiting (struct ab_fleet_teams *teams, struct pool *pool,
             struct waiting *waiting, enum ab_team_status status,
             const struct ab_team_answer *answer)
{
  const struct ab_team_reply reply
      = { .id = waiting->id, .status = status, .answer = *answer };

  if (pool->waiting)
    DL_DELETE (pool->waiting, waiting);
  teams->waiting_count--;
  send_reply (teams, waiting->gateway, &reply);
  free (waiting);
}

/* The pool, as a control host.  */

static struct pool *
find_or_add_pool (struct ab_fleet_teams *teams, const char *team)
{
  struct pool *pool;

  HASH_FIND_STR (teams->pools, team, pool);
  if (pool)
    return pool;
  pool = calloc (1, sizeof *pool);
  if (!pool)
    return NULL;
  ab_chunk_copy_bounded (ab_chunk_str (team), pool->team, sizeof pool->team);
  HASH_ADD_STR (teams->pools, team, pool);
  return pool;
}

/* Ends what waits for the message ASK_ID, and what is in no message, as not
   known.  */
static void
fail_waiting (struct ab_fleet_teams *teams, struct pool *pool, uint64_t ask_id,
              uint64_t now)
{
  const struct ab_team_answer none = { .retry_ms = POOL_PAUSE_MS };
  struct waiting *waiting = pool->waiting;
  struct waiting *next;

  pool->paused_until_ms = now + POOL_PAUSE_MS;
  for (; waiting; waiting = next)
    {
      next = waiting->next;
      if (waiting->ask_id == 0 || waiting->ask_id == ask_id)
        end_waiting (teams, pool, waiting, AB_TEAM_UNKNOWN, &none);
    }
}

static void
arm_wait_timer (struct ab_fleet_teams *teams)
{
  const struct timeval tv = { .tv_usec = 10 * 1000 };

  if (!event_pending (teams->wait_timer, EV_TIMEOUT, NULL))
    event_add (teams->wait_timer, &tv);
}

/* Returns a place for a message to the leader; null while all are in use.  */
static struct pool_ask *
find_free_ask (struct pool *pool, uint64_t now)
{
  for (size_t i = 0; i < ASKS_MAX; i++)
    if (!pool->asks[i].id || now > pool->asks[i].asked_ms + 2 * POOL_WAIT_MS)
      return &pool->asks[i];
  return NULL;
}

/* Asks the leader for the tokens of all that wait and are in no message.  */
static void
ask_pool (struct ab_fleet_teams *teams, struct pool *pool, uint64_t now)
{
  struct pool_ask *place = find_free_ask (pool, now);
  struct ab_buf body = AB_BUF_INIT;
  struct ab_team_ask ask = { .id = teams->next_number + 1 };
  struct ab_raft_status status;
  struct waiting *waiting;

  if (!place)
    return;
  ab_group_status (teams->control->group, &status);
  if (!status.leader_host[0])
    {
      fail_waiting (teams, pool, 0, now);
      return;
    }
  DL_FOREACH (pool->waiting, waiting)
  {
    if (waiting->ask_id || ask.count + waiting->count > AB_TEAM_TOKENS_MAX)
      continue;
    waiting->ask_id = ask.id;
    ask.count += waiting->count;
  }
  if (ask.count == 0)
    return;
  teams->next_number = ask.id;
  *place = (struct pool_ask){ .id = ask.id, .asked_ms = now };
  pool->asked_ms = now;
  memcpy (ask.team, pool->team, sizeof ask.team);
  ab_team_pack_ask (&body, &ask);
  if (!body.error)
    ab_peer_task_send (teams->control->daemon->peer,
                       ab_chunk_str (status.leader_host), AB_FRAME_TEAM_POOL,
                       ab_buf_chunk (&body));
  ab_buf_free (&body);
  ++*ab_fleet_teams_counter (teams, "ab_team_pool_asked_total");
  arm_wait_timer (teams);
}

/* Ends the waits that are due, and messages to the leader that got no
   reply.  */
static void
on_wait_timer (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_fleet_teams *teams = ctx;
  uint64_t now = ab_fleet_now_ms ();
  struct pool *pool;
  struct pool *next;
  bool more = false;

  (void)fd;
  (void)events;
  HASH_ITER (hh, teams->pools, pool, next)
  {
    while (pool->waiting && now >= pool->waiting->due_ms)
      fail_waiting (teams, pool, pool->waiting->ask_id, now);
    if (!pool->waiting && now > pool->denied_until_ms
        && now > pool->paused_until_ms && now > pool->asked_ms + POOL_WAIT_MS)
      {
        if (teams->pools)
          HASH_DEL (teams->pools, pool);
        free (pool);
        continue;
      }
    more = true;
  }
  if (more)
    arm_wait_timer (teams);
}

static void
add_waiting (struct ab_fleet_teams *teams, struct pool *pool,
             const char *gateway, const struct ab_team_ask *ask,
             uint64_t retry_ms, uint64_t now)
{
  const struct ab_team_reply unknown
      = { .id = ask->id, .status = AB_TEAM_UNKNOWN };
  struct waiting *waiting = NULL;

  if (teams->waiting_count < WAITING_MAX)
    waiting = calloc (1, sizeof *waiting);
  if (!waiting)
    {
      send_reply (teams, gateway, &unknown);
      return;
    }
  ab_chunk_copy_bounded (ab_chunk_str (gateway), waiting->gateway,
                         sizeof waiting->gateway);
  waiting->id = ask->id;
  waiting->count = ask->count;
  waiting->due_ms = now + POOL_WAIT_MS;
  waiting->retry_ms = retry_ms;
  DL_APPEND (pool->waiting, waiting);
  teams->waiting_count++;
  ask_pool (teams, pool, now);
}

/* Decides on the tokens that GATEWAY asked for.  */
static void
serve_ask (struct ab_fleet_teams *teams, const char *gateway,
           const struct ab_team_ask *ask, uint64_t now)
{
  struct ab_team_reply reply = { .id = ask->id };
  struct ab_team_rate rate;
  struct pool *pool;
  int rc = ab_team_limits_take (teams->limits, ab_chunk_str (ask->team),
                                ask->count, now, &reply.answer);

  if (rc == 0)
    {
      send_reply (teams, gateway, &reply);
      return;
    }
  if (rc == AB_ERR_NOT_FOUND
      && rate_of (teams, ab_chunk_str (ask->team), &rate))
    {
      /* The gateway does not know yet that the limit has ended.  */
      reply.answer.granted = ask->count;
      send_reply (teams, gateway, &reply);
      return;
    }
  pool = rc == AB_ERR_FULL || rc == AB_ERR_STALE
             ? find_or_add_pool (teams, ask->team)
             : NULL;
  reply.status = AB_TEAM_UNKNOWN;
  if (pool && now < pool->denied_until_ms)
    {
      reply.status = AB_TEAM_LIMITED;
      if (pool->retry_at_ms - now < reply.answer.retry_ms)
        reply.answer.retry_ms = pool->retry_at_ms - now;
    }
  if (!pool || now < pool->denied_until_ms || now < pool->paused_until_ms)
    send_reply (teams, gateway, &reply);
  else
    add_waiting (teams, pool, gateway, ask, reply.answer.retry_ms, now);
}

static void
on_tokens (void *ctx, const struct ab_frame *frame)
{
  struct ab_fleet_teams *teams = ctx;
  char gateway[AB_ADDRESS_BYTES];
  struct ab_team_ask ask;
  uint64_t now = ab_fleet_now_ms ();

  if (ab_team_read_ask (frame->body, &ask) < 0
      || !ab_chunk_copy (frame->sender, gateway, sizeof gateway))
    return;
  teams->used_ms = now;
  *ab_fleet_teams_counter (teams, "ab_team_tokens_asked_total") += ask.count;
  ab_fleet_teams_follow_group (teams, now);
  serve_ask (teams, gateway, &ask, now);
}

/* Gives the tokens in REPLY to those that it was asked for.  */
static void
divide_reply (struct ab_fleet_teams *teams, struct pool *pool,
              const struct ab_team_reply *reply)
{
  uint64_t left = reply->answer.granted;
  struct waiting *waiting = pool->waiting;
  struct waiting *next;

  for (; waiting; waiting = next)
    {
      struct ab_team_answer answer = reply->answer;

      next = waiting->next;
      if (waiting->ask_id != reply->id)
        continue;
      answer.granted = left < waiting->count ? left : waiting->count;
      left -= answer.granted;
      if (waiting->retry_ms < answer.retry_ms)
        answer.retry_ms = waiting->retry_ms;
      end_waiting (teams, pool, waiting,
                   answer.granted > 0 ? AB_TEAM_GRANTED : AB_TEAM_LIMITED,
                   &answer);
    }
}

/* Remembers a "no" of the pool and ends what is in no message.  */
static void
deny (struct ab_fleet_teams *teams, struct pool *pool, uint64_t retry_ms,
      uint64_t now)
{
  const struct ab_team_answer none = { .retry_ms = retry_ms };
  struct waiting *waiting = pool->waiting;
  struct waiting *next;

  pool->retry_at_ms = now + retry_ms;
  pool->denied_until_ms
      = now + (retry_ms < POOL_DENIAL_MAX_MS ? retry_ms : POOL_DENIAL_MAX_MS);
  for (; waiting; waiting = next)
    {
      next = waiting->next;
      if (waiting->ask_id == 0)
        end_waiting (teams, pool, waiting, AB_TEAM_LIMITED, &none);
    }
}

/* Ends the message ID and returns its team's pool, with the time at which it
   was sent in *ASKED_MS; null if it is not known.  */
static struct pool *
end_ask (struct ab_fleet_teams *teams, uint64_t id, uint64_t *asked_ms)
{
  for (struct pool *pool = teams->pools; pool; pool = pool->hh.next)
    for (size_t i = 0; i < ASKS_MAX; i++)
      if (pool->asks[i].id == id)
        {
          *asked_ms = pool->asks[i].asked_ms;
          pool->asks[i].id = 0;
          return pool;
        }
  return NULL;
}

static void
on_pool_reply (void *ctx, const struct ab_frame *frame)
{
  struct ab_fleet_teams *teams = ctx;
  struct ab_team_pool_reply reply;
  uint64_t now = ab_fleet_now_ms ();
  uint64_t asked_ms;
  struct pool *pool;

  if (ab_team_read_pool_reply (frame->body, &reply) < 0 || !reply.reply.id)
    return;
  pool = end_ask (teams, reply.reply.id, &asked_ms);
  /* A host that was frozen may read a reply before its timers run.  */
  if (!pool || now > asked_ms + 2 * POOL_WAIT_MS)
    return;
  note_contact (teams, &reply.contact, asked_ms);
  if (reply.reply.status == AB_TEAM_UNKNOWN)
    {
      fail_waiting (teams, pool, reply.reply.id, now);
      return;
    }
  divide_reply (teams, pool, &reply.reply);
  if (reply.reply.status == AB_TEAM_LIMITED)
    deny (teams, pool, reply.reply.answer.retry_ms, now);
  else
    ask_pool (teams, pool, now);
}

/* Reports and leases.  */

static void
send_report (struct ab_fleet_teams *teams, const char *leader,
             const struct ab_team_demands *demands)
{
  struct ab_buf body = AB_BUF_INIT;

  ab_team_pack_demands (&body, demands);
  if (!body.error)
    ab_peer_task_send (teams->control->daemon->peer, ab_chunk_str (leader),
                       AB_FRAME_TEAM_DEMAND, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static void
report (struct ab_fleet_teams *teams, uint64_t now)
{
  struct ab_team_demands demands = { .life = teams->life };
  struct ab_raft_status status;

  ab_group_status (teams->control->group, &status);
  if (now < teams->reported_ms + REPORT_MS || !status.leader_host[0])
    return;
  teams->reported_ms = now;
  teams->first_number = teams->next_number + 1;
  do
    {
      demands.number = ++teams->next_number;
      demands.count
          = ab_team_limits_collect (teams->limits, demands.number,
                                    demands.list, AB_TEAM_DEMANDS_MAX, now);
      if (demands.count > 0)
        send_report (teams, status.leader_host, &demands);
    }
  while (demands.count == AB_TEAM_DEMANDS_MAX);
}

static void
on_leases (void *ctx, const struct ab_frame *frame)
{
  struct ab_fleet_teams *teams = ctx;
  struct ab_team_grants grants;
  uint64_t now = ab_fleet_now_ms ();

  if (ab_team_read_grants (frame->body, &grants) < 0)
    return;
  ab_fleet_teams_follow_group (teams, now);
  if (grants.number >= teams->first_number
      && grants.number <= teams->next_number)
    note_contact (teams, &grants.contact, teams->reported_ms);
  for (size_t i = 0; i < grants.count; i++)
    ab_team_limits_accept (teams->limits, ab_chunk_str (grants.list[i].team),
                           grants.number, grants.list[i].fraction,
                           grants.list[i].renewal, now);
}

/* Returned tokens.  */

static void
on_return (void *ctx, const struct ab_frame *frame)
{
  struct ab_fleet_teams *teams = ctx;
  struct ab_team_return returned;
  struct ab_raft_status status;
  uint64_t now = ab_fleet_now_ms ();

  if (ab_team_read_return (frame->body, &returned) < 0)
    return;
  ab_fleet_teams_follow_group (teams, now);
  ab_group_status (teams->control->group, &status);
  if (ab_team_limits_credit (teams->limits, ab_chunk_str (returned.team),
                             returned.count, returned.grantor,
                             returned.stamp_ms, now))
    *ab_fleet_teams_counter (teams, "ab_team_tokens_returned_total")
        += returned.count;
  /* A token of the pool, which only the leader can credit.  */
  else if (returned.grantor != teams->life && !status.leader
           && status.leader_host[0])
    ab_peer_task_send (teams->control->daemon->peer,
                       ab_chunk_str (status.leader_host), AB_FRAME_TEAM_RETURN,
                       frame->body);
}

static void
log_service (struct ab_fleet_teams *teams, uint64_t now)
{
  bool serves = ab_team_limits_serves (teams->limits, now);

  if (serves == teams->serves)
    return;
  teams->serves = serves;
  AB_LOG (AB_LOG_INFO, "team_limit_leader", ab_log_int ("serves", serves),
          ab_log_int ("teams", (int64_t)ab_team_limits_count (teams->limits)));
}

static void
on_timer (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_fleet_teams *teams = ctx;
  uint64_t now = ab_fleet_now_ms ();

  (void)fd;
  (void)events;
  ab_fleet_teams_follow_group (teams, now);
  apply_contact (teams);
  ab_fleet_team_leader_confirm (teams, now);
  report (teams, now);
  log_service (teams, now);
}

/* Set-up and tear-down.  */

static void
set_handlers (struct ab_fleet_teams *teams)
{
  struct ab_peer_task *peer = teams->control->daemon->peer;

  ab_peer_task_set_handler (peer, AB_FRAME_TEAM_TOKENS, on_tokens, teams);
  ab_peer_task_set_handler (peer, AB_FRAME_TEAM_RETURN, on_return, teams);
  ab_peer_task_set_handler (peer, AB_FRAME_TEAM_POOL_REPLY, on_pool_reply,
                            teams);
  ab_peer_task_set_handler (peer, AB_FRAME_TEAM_LEASES, on_leases, teams);
}

int
ab_fleet_teams_new (struct ab_fleet_control *control,
                    struct ab_fleet_teams **result)
{
  const struct ab_fleet_settings *settings = control->settings;
  const struct timeval interval = { .tv_usec = TIMER_MS * 1000 };
  struct ab_team_limit_config config
      = { .window_ms = settings->team_limit_window_ms,
          .overshoot = settings->team_limit_overshoot,
          .slack = settings->team_limit_slack,
          .leader_wait_ms = settings->base.raft_election_ms };
  struct ab_fleet_teams *teams = calloc (1, sizeof *teams);
  struct ab_rng rng;

  *result = teams;
  if (!teams)
    return AB_ERR_MEMORY;
  ab_rng_init_system (&rng);
  config.leader_valid_ms
      = (uint64_t)(VALID_PART * (double)config.leader_wait_ms);
  config.life = teams->life = ab_rng_next (&rng) | 1;
  /* Above the numbers of earlier processes here with near certainty, so that
     late replies to them match no message of this one.  */
  teams->next_number = teams->life >> 20;
  teams->control = control;
  teams->limits
      = ab_team_limits_new (&config, &limits_ops, teams, ab_fleet_now_ms ());
  teams->timer
      = event_new (control->daemon->base, -1, EV_PERSIST, on_timer, teams);
  teams->wait_timer
      = evtimer_new (control->daemon->base, on_wait_timer, teams);
  if (!teams->limits || !teams->timer || !teams->wait_timer
      || event_add (teams->timer, &interval) < 0)
    return AB_ERR_MEMORY;
  set_handlers (teams);
  ab_fleet_team_leader_start (teams);
  return 0;
}

void
ab_fleet_teams_free (struct ab_fleet_teams *teams)
{
  struct pool *pool;
  struct pool *next_pool;
  struct waiting *waiting;
  struct waiting *next;

  if (!teams)
    return;
  HASH_ITER (hh, teams->pools, pool, next_pool)
  {
    DL_FOREACH_SAFE (pool->waiting, waiting, next)
    free (waiting);
    HASH_DEL (teams->pools, pool);
    free (pool);
  }
  if (teams->timer)
    event_free (teams->timer);
  if (teams->wait_timer)
    event_free (teams->wait_timer);
  ab_fleet_team_leader_free (teams);
  ab_team_limits_free (teams->limits);
  free (teams);
}

json_t *
ab_fleet_teams_state (const struct ab_fleet_teams *teams)
{
  return ab_team_limits_state (teams->limits, STATE_TEAMS_MAX,
                               ab_fleet_now_ms ());
}
