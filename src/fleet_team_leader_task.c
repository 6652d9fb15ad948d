#include "fleet_teams_internal.h"

#include <stdlib.h>
#include <utlist.h>

/* Interval of the reads that confirm the leader, while there were messages
   about teams within USED_MS.  */
#define READ_MS 200
#define USED_MS 60000
/* Messages that wait for a read, and the time after which their senders no
   longer wait.  */
#define HELD_MAX 256
#define HELD_MS 60

struct held_ask
{
  struct held_ask *prev;
  struct held_ask *next;
  char host[AB_ADDRESS_BYTES];
  struct ab_team_ask ask;
  uint64_t received_ms;
};

static struct ab_team_contact
own_contact (const struct ab_fleet_teams *teams, uint64_t now)
{
  uint64_t age_ms = ab_team_limits_confirmed_age_ms (teams->limits, now);

  return (struct ab_team_contact){ .confirmed = age_ms != UINT64_MAX,
                                   .age_ms = age_ms,
                                   .index = teams->confirmed_index };
}

void
ab_fleet_team_leader_confirm (struct ab_fleet_teams *teams, uint64_t now)
{
  struct ab_raft_status status;
  uint64_t interval = teams->read_token ? 3 * READ_MS : READ_MS;

  ab_group_status (teams->control->group, &status);
  if (!status.leader || now < teams->read_ms + interval
      || now > teams->used_ms + USED_MS)
    return;
  teams->read_token = ++teams->control->next_id;
  teams->read_term = status.term;
  teams->read_ms = now;
  if (ab_group_read (teams->control->group, teams->read_token) < 0)
    teams->read_token = 0;
}

static void
serve_pool (struct ab_fleet_teams *teams, const char *host,
            const struct ab_team_ask *ask, uint64_t now)
{
  struct ab_team_pool_reply reply = { .reply = { .id = ask->id } };
  struct ab_buf body = AB_BUF_INIT;
  int rc = ab_team_limits_pool_take (teams->limits, ab_chunk_str (ask->team),
                                     ask->count, now, &reply.reply.answer);

  reply.reply.status = rc == 0             ? AB_TEAM_GRANTED
                       : rc == AB_ERR_FULL ? AB_TEAM_LIMITED
                                           : AB_TEAM_UNKNOWN;
  reply.contact = own_contact (teams, now);
  ab_team_pack_pool_reply (&body, &reply);
  if (!body.error)
    ab_peer_task_send (teams->control->daemon->peer, ab_chunk_str (host),
                       AB_FRAME_TEAM_POOL_REPLY, ab_buf_chunk (&body));
  ab_buf_free (&body);
  *ab_fleet_teams_counter (teams, "ab_team_pool_granted_total")
      += reply.reply.answer.granted;
}

/* Answers the messages that waited for a read.  */
static void
serve_held (struct ab_fleet_teams *teams, uint64_t now)
{
  while (teams->held)
    {
      struct held_ask *held = teams->held;

      DL_DELETE (teams->held, held);
      teams->held_count--;
      if (now <= held->received_ms + HELD_MS)
        serve_pool (teams, held->host, &held->ask, now);
      free (held);
    }
}

bool
ab_fleet_teams_read_ready (struct ab_fleet_teams *teams, uint64_t token,
                           int rc, uint64_t index)
{
  uint64_t now = ab_fleet_now_ms ();

  if (!teams || token != teams->read_token)
    return false;
  teams->read_token = 0;
  ab_fleet_teams_follow_group (teams, now);
  if (rc == 0)
    {
      ab_team_limits_confirm (teams->limits, teams->read_term, teams->read_ms);
      teams->confirmed_index = index;
    }
  serve_held (teams, now);
  return true;
}

/* Holds ASK back until the read that is under way has confirmed this host.
   Returns false if it cannot.  */
static bool
hold (struct ab_fleet_teams *teams, const char *host,
      const struct ab_team_ask *ask, uint64_t now)
{
  struct held_ask *held;

  if (!teams->read_token || teams->held_count == HELD_MAX)
    return false;
  held = calloc (1, sizeof *held);
  if (!held)
    return false;
  ab_chunk_copy_bounded (ab_chunk_str (host), held->host, sizeof held->host);
  held->ask = *ask;
  held->received_ms = now;
  DL_APPEND (teams->held, held);
  teams->held_count++;
  return true;
}

static void
on_pool (void *ctx, const struct ab_frame *frame)
{
  struct ab_fleet_teams *teams = ctx;
  char host[AB_ADDRESS_BYTES];
  struct ab_team_ask ask;
  uint64_t now = ab_fleet_now_ms ();

  if (ab_team_read_ask (frame->body, &ask) < 0
      || !ab_chunk_copy (frame->sender, host, sizeof host))
    return;
  teams->used_ms = now;
  ab_fleet_teams_follow_group (teams, now);
  ab_fleet_team_leader_confirm (teams, now);
  if (ab_team_limits_serves (teams->limits, now)
      || !hold (teams, host, &ask, now))
    serve_pool (teams, host, &ask, now);
}

/* Decides on the claims of HOST in DEMANDS.  */
static void
grant_leases (struct ab_fleet_teams *teams, struct ab_chunk host,
              const struct ab_team_demands *demands,
              struct ab_team_grants *grants, uint64_t now)
{
  struct ab_team_claim claim
      = { .life = demands->life, .number = demands->number };

  if (!ab_chunk_copy (host, claim.host, sizeof claim.host))
    return;
  for (size_t i = 0; i < demands->count; i++)
    {
      struct ab_team_granted *granted = &grants->list[grants->count];

      claim.demand = demands->list[i].demand;
      claim.held = demands->list[i].held;
      memcpy (granted->team, demands->list[i].team, sizeof granted->team);
      if (ab_team_limits_lease (teams->limits, ab_chunk_str (granted->team),
                                &claim, now, &granted->fraction,
                                &granted->renewal)
          == 0)
        grants->count++;
    }
}

static void
on_demand (void *ctx, const struct ab_frame *frame)
{
  struct ab_fleet_teams *teams = ctx;
  struct ab_team_demands demands;
  struct ab_team_grants grants = { .count = 0 };
  struct ab_buf body = AB_BUF_INIT;
  uint64_t now = ab_fleet_now_ms ();

  if (ab_team_read_demands (frame->body, &demands) < 0)
    return;
  teams->used_ms = now;
  ab_fleet_teams_follow_group (teams, now);
  ab_fleet_team_leader_confirm (teams, now);
  grants.number = demands.number;
  grants.contact = own_contact (teams, now);
  grant_leases (teams, frame->sender, &demands, &grants, now);
  ab_team_pack_grants (&body, &grants);
  if (!body.error)
    ab_peer_task_send (teams->control->daemon->peer, frame->sender,
                       AB_FRAME_TEAM_LEASES, ab_buf_chunk (&body));
  ab_buf_free (&body);
}

void
ab_fleet_team_leader_start (struct ab_fleet_teams *teams)
{
  struct ab_peer_task *peer = teams->control->daemon->peer;

  ab_peer_task_set_handler (peer, AB_FRAME_TEAM_POOL, on_pool, teams);
  ab_peer_task_set_handler (peer, AB_FRAME_TEAM_DEMAND, on_demand, teams);
}

void
ab_fleet_team_leader_free (struct ab_fleet_teams *teams)
{
  struct held_ask *held;
  struct held_ask *next;

  DL_FOREACH_SAFE (teams->held, held, next)
  free (held);
}
