#include "team_limit_sim_lib.h"

#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define OVERSHOOT 0.1
#define VALID_MS 600
#define WAIT_MS 900
/* A new limit reaches the hosts in contact within this time.  */
#define SPREAD_MS 2000
#define GRANTS_MAX 200000

enum message_kind
{
  POOL_ASK,
  POOL_REPLY,
  DEMAND,
  LEASE,
  RETURN
};

struct message
{
  enum message_kind kind;
  int from;
  int to;
  uint64_t to_life; /* Replies: of the asking process.  */
  uint64_t due_ms;
  bool dropped;      /* Delivered already, or lost.  */
  uint64_t asked_ms; /* By the clock of the asking host.  */
  uint64_t age_ms;   /* Of the leader's confirmation.  */
  int version;       /* Of the leader's limit.  */
  uint64_t number;
  bool serves;
  bool renewal;
  double fraction;
  struct ab_team_demand demand;
  uint64_t stamp_ms;
  uint64_t grantor;
};

uint64_t
sim_below (struct sim *sim, uint64_t bound)
{
  return ab_rng_below (&sim->rng, bound);
}

uint64_t
sim_clock (const struct host *host)
{
  return (uint64_t)(host->clock_offset
                    + (double)host->sim->now_ms * host->clock_rate);
}

static bool
rate_of (void *ctx, struct ab_chunk team, struct ab_team_rate *rate)
{
  const struct host *host = ctx;

  (void)team;
  *rate = host->sim->changes[host->version].rate;
  return true;
}

static const struct ab_team_limits_ops ops = { .rate = rate_of };

static bool
is_up (const struct host *host)
{
  return host->limits && host->sim->now_ms >= host->frozen_until_ms;
}

static bool
in_contact (const struct host *host)
{
  return is_up (host) && host->sim->now_ms >= host->cut_until_ms;
}

static size_t
member_count (const struct sim *sim)
{
  size_t count = 0;

  for (int i = 0; i < HOSTS_MAX; i++)
    count += sim->hosts[i].member;
  return count;
}

/* Starts the process of HOST.  It learns the limit with its log.  */
static void
start_host (struct host *host)
{
  struct ab_team_limit_config config = { .window_ms = WINDOW_MS,
                                         .overshoot = OVERSHOOT,
                                         .slack = host->sim->slack,
                                         .leader_valid_ms = VALID_MS,
                                         .leader_wait_ms = WAIT_MS };

  host->life = config.life = ab_rng_next (&host->sim->rng) | 1;
  host->limits = ab_team_limits_new (&config, &ops, host, sim_clock (host));
  host->next_number = 1;
  host->believes_leader = false;
  ab_team_limits_configure (host->limits, host->known_hosts, sim_clock (host));
}

struct sim *
sim_new (uint64_t seed, int members, struct ab_team_rate rate, uint64_t slack)
{
  struct sim *sim = calloc (1, sizeof *sim);

  ab_rng_init_seeded (&sim->rng, seed);
  sim->grants = calloc (GRANTS_MAX, sizeof *sim->grants);
  sim->changes[sim->change_count++] = (struct limit_change){ .rate = rate };
  sim->slack = slack;
  sim->delay_ms = 20;
  sim->now_ms = 1000;
  sim->leader = -1;
  for (int i = 0; i < members; i++)
    {
      struct host *host = &sim->hosts[i];
      *host
          = (struct host){ .sim = sim,
                           .member = true,
                           .known_hosts = (size_t)members,
                           .follows = -1,
                           .clock_offset = (double)sim_below (sim, 1000000000),
                           .clock_rate
                           = 1 + 1e-4 * (ab_rng_unit (&sim->rng) - 0.5) };
      start_host (host);
    }
  return sim;
}

void
sim_free (struct sim *sim)
{
  for (int i = 0; i < HOSTS_MAX; i++)
    ab_team_limits_free (sim->hosts[i].limits);
  free (sim->messages);
  free (sim->grants);
  free (sim);
}

/* Sends MESSAGE.  What a cut stops is lost or arrives after it.  */
static void
post (struct sim *sim, struct message message)
{
  uint64_t cut = sim->hosts[message.from].cut_until_ms;

  if (sim->hosts[message.to].cut_until_ms > cut)
    cut = sim->hosts[message.to].cut_until_ms;
  message.due_ms = sim->now_ms + (message.from == message.to ? 0 : 1)
                   + sim_below (sim, sim->delay_ms);
  if (!sim->calm && sim_below (sim, 20) == 0)
    message.due_ms += sim_below (sim, 2500);
  if (message.from != message.to && cut > message.due_ms)
    {
      if (sim_below (sim, 2) == 0)
        return;
      message.due_ms = cut + sim_below (sim, 20);
    }
  if (sim->message_count == sim->message_room)
    {
      sim->message_room = sim->message_room * 2 + 64;
      sim->messages
          = realloc (sim->messages, sim->message_room * sizeof *sim->messages);
    }
  sim->messages[sim->message_count++] = message;
}

static void
record (struct sim *sim, int host, const struct ab_team_answer *answer)
{
  for (uint64_t i = 0; i < answer->granted; i++)
    {
      struct grant *grant = &sim->grants[sim->grant_count++];
      ck_assert_uint_lt (sim->grant_count, GRANTS_MAX);
      *grant = (struct grant){ .at_ms = sim->now_ms, .sent = true };
      if (ab_rng_unit (&sim->rng) >= sim->return_share)
        continue;
      grant->sent = false;
      post (sim, (struct message){ .kind = RETURN,
                                   .from = host,
                                   .to = host,
                                   .stamp_ms = answer->stamp_ms,
                                   .grantor = answer->grantor });
      sim->messages[sim->message_count - 1].due_ms += sim_below (sim, 400);
    }
}

static void
handle_ask (struct sim *sim, struct host *host, const struct message *ask)
{
  struct message reply = *ask;
  struct ab_team_answer answer = { .granted = 0 };
  uint64_t now = sim_clock (host);

  reply.from = ask->to;
  reply.to = ask->from;
  reply.version = host->version;
  reply.age_ms = ab_team_limits_confirmed_age_ms (host->limits, now);
  reply.serves = ab_team_limits_serves (host->limits, now);
  if (ask->kind == POOL_ASK)
    {
      reply.kind = POOL_REPLY;
      if (ab_team_limits_pool_take (host->limits, AB_CHUNK (TEAM), 1, now,
                                    &answer)
          == 0)
        record (sim, ask->to, &answer);
      else
        sim->refused++;
    }
  else
    {
      struct ab_team_claim claim = { .life = ask->to_life,
                                     .number = ask->number,
                                     .demand = ask->demand.demand,
                                     .held = ask->demand.held };
      snprintf (claim.host, sizeof claim.host, "c%d", ask->from);
      reply.kind = LEASE;
      if (ab_team_limits_lease (host->limits, AB_CHUNK (TEAM), &claim, now,
                                &reply.fraction, &reply.renewal)
          != 0)
        reply.serves = false;
    }
  post (sim, reply);
}

static void
deliver (struct sim *sim, const struct message *message)
{
  struct host *host = &sim->hosts[message->to];

  if (message->kind == POOL_ASK || message->kind == DEMAND)
    handle_ask (sim, host, message);
  else if (message->kind == RETURN)
    ab_team_limits_credit (host->limits, AB_CHUNK (TEAM), 1, message->grantor,
                           message->stamp_ms, sim_clock (host));
  else if (message->to_life == host->life)
    {
      if (message->age_ms != UINT64_MAX && host->version >= message->version
          && message->asked_ms > message->age_ms)
        ab_team_limits_contact (host->limits,
                                message->asked_ms - message->age_ms);
      if (message->kind == LEASE && message->serves)
        ab_team_limits_accept (host->limits, AB_CHUNK (TEAM), message->number,
                               message->fraction, message->renewal,
                               sim_clock (host));
    }
}

static void
deliver_due (struct sim *sim)
{
  size_t kept = 0;

  for (size_t i = 0; i < sim->message_count; i++)
    {
      struct message message = sim->messages[i];
      struct host *host = &sim->hosts[message.to];

      if (message.due_ms <= sim->now_ms && !host->limits)
        continue;
      if (message.due_ms <= sim->now_ms && is_up (host))
        {
          deliver (sim, &message);
          continue;
        }
      sim->messages[kept++] = message;
    }
  sim->message_count = kept;
}

void
sim_request (struct sim *sim, int index)
{
  struct host *host = &sim->hosts[index];
  struct ab_team_answer answer;

  if (!is_up (host))
    return;
  sim->asked++;
  if (ab_team_limits_take (host->limits, AB_CHUNK (TEAM), 1, sim_clock (host),
                           &answer)
      == 0)
    record (sim, index, &answer);
  else if (host->follows < 0)
    sim->refused++;
  else
    post (sim, (struct message){ .kind = POOL_ASK,
                                 .from = index,
                                 .to = host->follows,
                                 .to_life = host->life,
                                 .asked_ms = sim_clock (host) });
}

static void
report (struct sim *sim, int index)
{
  struct host *host = &sim->hosts[index];
  struct message message = { .kind = DEMAND,
                             .from = index,
                             .to = host->follows,
                             .to_life = host->life,
                             .asked_ms = sim_clock (host) };

  if (host->follows < 0 || !is_up (host) || sim->now_ms < host->next_report_ms)
    return;
  host->next_report_ms = sim->now_ms + 1000;
  message.number = host->next_number++;
  if (ab_team_limits_collect (host->limits, message.number, &message.demand, 1,
                              sim_clock (host))
      == 1)
    post (sim, message);
}

/* The oracle of the group.  */

static bool
has_majority (const struct sim *sim)
{
  size_t count = 0;

  for (int i = 0; i < HOSTS_MAX; i++)
    count += sim->hosts[i].member && in_contact (&sim->hosts[i]);
  return count > member_count (sim) / 2;
}

static void
elect (struct sim *sim)
{
  int candidate = (int)sim_below (sim, HOSTS_MAX);
  struct host *host = &sim->hosts[candidate];

  if (!host->member || !in_contact (host) || !has_majority (sim))
    return;
  for (int i = 0; i < HOSTS_MAX; i++)
    {
      sim->hosts[i].deposed_ms = sim->now_ms + sim_below (sim, 4000);
      sim->hosts[i].follows_due_ms = sim->now_ms + sim_below (sim, 2000);
    }
  sim->leader = candidate;
  sim->term++;
  host->believes_leader = true;
  host->follows = candidate;
  host->believed_term = sim->term;
  ab_team_limits_lead (host->limits, true, sim->term, sim_clock (host));
}

static void
update_leaders (struct sim *sim)
{
  const struct host *leader
      = sim->leader >= 0 ? &sim->hosts[sim->leader] : NULL;

  if (!leader || !leader->member
      || (!in_contact (leader) && sim_below (sim, 50) == 0))
    elect (sim);
  for (int i = 0; i < HOSTS_MAX; i++)
    {
      struct host *host = &sim->hosts[i];
      if (in_contact (host) && sim->now_ms >= host->follows_due_ms
          && !(host->believes_leader && host->believed_term < sim->term))
        host->follows = sim->leader;
      if (!host->believes_leader || !is_up (host))
        continue;
      if (host->believed_term == sim->term && in_contact (host)
          && has_majority (sim))
        ab_team_limits_confirm (host->limits, sim->term, sim_clock (host));
      if (host->believed_term < sim->term && in_contact (host)
          && sim->now_ms > host->deposed_ms)
        {
          host->believes_leader = false;
          ab_team_limits_lead (host->limits, false, sim->term,
                               sim_clock (host));
        }
    }
}

static void
update_host (struct sim *sim, struct host *host)
{
  size_t members = member_count (sim);

  if (!host->limits && host->member && host->start_ms
      && sim->now_ms >= host->start_ms)
    start_host (host);
  if (!in_contact (host)
      || (host->version == sim->change_count - 1
          && host->known_hosts == members))
    return;
  if (host->version_due_ms == 0)
    host->version_due_ms
        = sim->now_ms + (sim->calm ? 0 : sim_below (sim, SPREAD_MS));
  if (sim->now_ms < host->version_due_ms)
    return;
  host->version_due_ms = 0;
  host->version = sim->change_count - 1;
  host->known_hosts = host->member ? members : 0;
  ab_team_limits_configure (host->limits, host->known_hosts, sim_clock (host));
}

static void
kill_host (struct sim *sim, struct host *host)
{
  ab_team_limits_free (host->limits);
  host->limits = NULL;
  host->believes_leader = false;
  host->start_ms = sim->now_ms + sim_below (sim, 3000);
}

/* Adds or removes one member, when none of the members is cut off: the group
   removes a host that is unresponsive for longer than a window only.  */
static void
change_member (struct sim *sim, struct host *host)
{
  size_t members = member_count (sim);

  if (host->member && members > 4 && in_contact (host))
    host->member = false;
  else if (!host->member && members < 8)
    {
      host->sim = sim;
      host->follows = -1;
      host->member = true;
      host->clock_rate = 1;
      host->clock_offset = (double)sim_below (sim, 1000000);
      if (!host->limits)
        start_host (host);
    }
}

static void
change_limit (struct sim *sim)
{
  static const uint64_t rates[] = { 1, 10, 60, 200 };

  if (sim->change_count == 32)
    return;
  sim->changes[sim->change_count++]
      = (struct limit_change){ .at_ms = sim->now_ms,
                               .rate
                               = { .rate_per_s = rates[sim_below (sim, 4)],
                                   .burst = sim_below (sim, 15) } };
}

/* Cuts the leader off or freezes it, and elects another at once or later.  */
static void
replace_leader (struct sim *sim)
{
  struct host *leader = sim->leader >= 0 ? &sim->hosts[sim->leader] : NULL;
  uint64_t until_ms = sim->now_ms + 500 + sim_below (sim, 6000);

  if (leader && sim_below (sim, 3) > 0)
    leader->cut_until_ms = until_ms;
  else if (leader && sim_below (sim, 2) == 0)
    leader->frozen_until_ms = until_ms;
  if (sim_below (sim, 2) == 0)
    elect (sim);
}

/* Cuts off the host with most requests, which keeps its lease and still gets a
   part of them; the others go elsewhere.  */
static void
cut_hot_host (struct sim *sim)
{
  if (sim_below (sim, 4) > 0)
    sim->hosts[sim->hot].cut_until_ms
        = sim->now_ms + 500 + sim_below (sim, 6000);
  sim->last_hot = sim->hot;
  sim->hot = (int)sim_below (sim, 6);
  if (sim_below (sim, 2) == 0)
    replace_leader (sim);
}

/* One fault, on average every FAULT_INTERVAL_MS.  */
void
sim_disturb (struct sim *sim, uint64_t *member_ms)
{
  struct host *host = &sim->hosts[sim_below (sim, HOSTS_MAX)];
  uint64_t kind = sim_below (sim, 16);

  if (sim_below (sim, sim->fault_interval_ms / STEP_MS) != 0 || !host->sim)
    return;
  if (kind < 2 && host->limits)
    kill_host (sim, host);
  else if (kind < 4)
    host->frozen_until_ms = sim->now_ms + 50 + sim_below (sim, 5000);
  else if (kind < 5)
    host->cut_until_ms = sim->now_ms + 100 + sim_below (sim, 9000);
  else if (kind < 9)
    cut_hot_host (sim);
  else if (kind < 12)
    replace_leader (sim);
  else if (kind < 13)
    change_limit (sim);
  else if (sim->now_ms > *member_ms + 2 * SPREAD_MS)
    {
      *member_ms = sim->now_ms;
      change_member (sim, &sim->hosts[sim_below (sim, HOSTS_MAX)]);
    }
}

void
sim_step (struct sim *sim)
{
  sim->now_ms += STEP_MS;
  for (int i = 0; i < HOSTS_MAX; i++)
    if (sim->hosts[i].sim)
      update_host (sim, &sim->hosts[i]);
  update_leaders (sim);
  deliver_due (sim);
  for (int i = 0; i < HOSTS_MAX; i++)
    if (sim->hosts[i].sim)
      report (sim, i);
}

/* Returns what the limits in force at or shortly before FROM_MS, or in the
   window from then on, allow.  */
static double
allowed (const struct sim *sim, uint64_t from_ms)
{
  double most = 0;

  for (int i = 0; i < sim->change_count; i++)
    {
      const struct ab_team_rate *rate = &sim->changes[i].rate;
      uint64_t end_ms
          = i + 1 < sim->change_count ? sim->changes[i + 1].at_ms : UINT64_MAX;

      if (sim->changes[i].at_ms > from_ms + WINDOW_MS
          || (end_ms != UINT64_MAX
              && end_ms + SPREAD_MS + WINDOW_MS < from_ms))
        continue;
      most = fmax (most, ((double)rate->rate_per_s * WINDOW_MS / 1000
                          + (double)rate->burst)
                                 * (1 + OVERSHOOT)
                             + (double)sim->slack);
    }
  return most;
}

void
sim_check_windows (const struct sim *sim, uint64_t seed)
{
  size_t end = 0;
  unsigned count = 0;

  for (size_t i = 0; i < sim->grant_count; i++)
    {
      for (; end < sim->grant_count
             && sim->grants[end].at_ms < sim->grants[i].at_ms + WINDOW_MS;
           end++)
        count += sim->grants[end].sent;
      ck_assert_msg (count <= allowed (sim, sim->grants[i].at_ms),
                     "seed %llu: %u requests from %llu ms, %.1f allowed",
                     (unsigned long long)seed, count,
                     (unsigned long long)sim->grants[i].at_ms,
                     allowed (sim, sim->grants[i].at_ms));
      count -= sim->grants[i].sent;
    }
}
