/* Tests of the fleet-wide limits of teams: control hosts on fake clocks whose
   messages are delayed, held up and lost, with an oracle in place of the
   consensus group.  */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "rng.h"
#include "suite_lib.h"
#include "team_limit.h"

#define HOSTS_MAX 9
#define WINDOW_MS 5000
#define OVERSHOOT 0.1
#define SLACK 20
#define VALID_MS 600
#define WAIT_MS 900
#define STEP_MS 10
#define SEEDS 120
#define RUN_MS 60000
#define TEAM "ferries"
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

struct host
{
  struct ab_team_limits *limits; /* Null while it does not run.  */
  struct sim *sim;
  bool member;
  uint64_t life;
  uint64_t start_ms; /* When a killed host starts again.  */
  uint64_t frozen_until_ms;
  uint64_t cut_until_ms;
  double clock_offset;
  double clock_rate;
  uint64_t clock_base_ms;
  int version; /* Index of the limit that it knows.  */
  uint64_t version_due_ms;
  size_t known_hosts;
  int follows; /* The host that it takes for the leader; -1: none.  */
  uint64_t follows_due_ms;
  bool believes_leader;
  uint64_t believed_term;
  uint64_t deposed_ms; /* When an earlier leader learns of it.  */
  uint64_t next_report_ms;
  uint64_t next_number;
};

struct grant
{
  uint64_t at_ms;
  bool sent;
};

struct limit_change
{
  uint64_t at_ms;
  struct ab_team_rate rate;
};

struct sim
{
  struct ab_rng rng;
  uint64_t now_ms;
  struct host hosts[HOSTS_MAX];
  int leader; /* The one that the group elected last.  */
  uint64_t term;
  struct limit_change changes[32];
  int change_count;
  struct message *messages;
  size_t message_count;
  size_t message_room;
  struct grant *grants;
  size_t grant_count;
  unsigned asked;
  unsigned refused;
  uint64_t delay_ms;
  double return_share;
  uint64_t fault_interval_ms;
  int hot;      /* The host that gets most requests.  */
  int last_hot; /* The one before, which still gets many.  */
  bool calm;
};

static uint64_t
below (struct sim *sim, uint64_t bound)
{
  return ab_rng_below (&sim->rng, bound);
}

static uint64_t
clock_of (const struct host *host)
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
                                         .slack = SLACK,
                                         .leader_valid_ms = VALID_MS,
                                         .leader_wait_ms = WAIT_MS };

  host->life = config.life = ab_rng_next (&host->sim->rng) | 1;
  host->limits = ab_team_limits_new (&config, &ops, host, clock_of (host));
  host->next_number = 1;
  host->believes_leader = false;
  ab_team_limits_configure (host->limits, host->known_hosts, clock_of (host));
}

static struct sim *
sim_new (uint64_t seed, int members, struct ab_team_rate rate)
{
  struct sim *sim = calloc (1, sizeof *sim);

  ab_rng_init_seeded (&sim->rng, seed);
  sim->grants = calloc (GRANTS_MAX, sizeof *sim->grants);
  sim->changes[sim->change_count++] = (struct limit_change){ .rate = rate };
  sim->delay_ms = 20;
  sim->now_ms = 1000;
  sim->leader = -1;
  for (int i = 0; i < members; i++)
    {
      struct host *host = &sim->hosts[i];
      *host = (struct host){ .sim = sim,
                             .member = true,
                             .known_hosts = (size_t)members,
                             .follows = -1,
                             .clock_offset = (double)below (sim, 1000000000),
                             .clock_rate
                             = 1 + 1e-4 * (ab_rng_unit (&sim->rng) - 0.5) };
      start_host (host);
    }
  return sim;
}

static void
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
                   + below (sim, sim->delay_ms);
  if (!sim->calm && below (sim, 20) == 0)
    message.due_ms += below (sim, 2500);
  if (message.from != message.to && cut > message.due_ms)
    {
      if (below (sim, 2) == 0)
        return;
      message.due_ms = cut + below (sim, 20);
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
      sim->messages[sim->message_count - 1].due_ms += below (sim, 400);
    }
}

static void
handle_ask (struct sim *sim, struct host *host, const struct message *ask)
{
  struct message reply = *ask;
  struct ab_team_answer answer = { .granted = 0 };
  uint64_t now = clock_of (host);

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
                           message->stamp_ms, clock_of (host));
  else if (message->to_life == host->life)
    {
      if (message->age_ms != UINT64_MAX && host->version >= message->version
          && message->asked_ms > message->age_ms)
        ab_team_limits_contact (host->limits,
                                message->asked_ms - message->age_ms);
      if (message->kind == LEASE && message->serves)
        ab_team_limits_accept (host->limits, AB_CHUNK (TEAM), message->number,
                               message->fraction, message->renewal,
                               clock_of (host));
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

/* One request at HOST, which asks the leader that it believes in.  */
static void
request (struct sim *sim, int index)
{
  struct host *host = &sim->hosts[index];
  struct ab_team_answer answer;

  if (!is_up (host))
    return;
  sim->asked++;
  if (ab_team_limits_take (host->limits, AB_CHUNK (TEAM), 1, clock_of (host),
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
                                 .asked_ms = clock_of (host) });
}

static void
report (struct sim *sim, int index)
{
  struct host *host = &sim->hosts[index];
  struct message message = { .kind = DEMAND,
                             .from = index,
                             .to = host->follows,
                             .to_life = host->life,
                             .asked_ms = clock_of (host) };

  if (host->follows < 0 || !is_up (host) || sim->now_ms < host->next_report_ms)
    return;
  host->next_report_ms = sim->now_ms + 1000;
  message.number = host->next_number++;
  if (ab_team_limits_collect (host->limits, message.number, &message.demand, 1,
                              clock_of (host))
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
  int candidate = (int)below (sim, HOSTS_MAX);
  struct host *host = &sim->hosts[candidate];

  if (!host->member || !in_contact (host) || !has_majority (sim))
    return;
  for (int i = 0; i < HOSTS_MAX; i++)
    {
      sim->hosts[i].deposed_ms = sim->now_ms + below (sim, 4000);
      sim->hosts[i].follows_due_ms = sim->now_ms + below (sim, 2000);
    }
  sim->leader = candidate;
  sim->term++;
  host->believes_leader = true;
  host->follows = candidate;
  host->believed_term = sim->term;
  ab_team_limits_lead (host->limits, true, sim->term, clock_of (host));
}

static void
update_leaders (struct sim *sim)
{
  const struct host *leader
      = sim->leader >= 0 ? &sim->hosts[sim->leader] : NULL;

  if (!leader || !leader->member
      || (!in_contact (leader) && below (sim, 50) == 0))
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
        ab_team_limits_confirm (host->limits, sim->term, clock_of (host));
      if (host->believed_term < sim->term && in_contact (host)
          && sim->now_ms > host->deposed_ms)
        {
          host->believes_leader = false;
          ab_team_limits_lead (host->limits, false, sim->term,
                               clock_of (host));
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
        = sim->now_ms + (sim->calm ? 0 : below (sim, SPREAD_MS));
  if (sim->now_ms < host->version_due_ms)
    return;
  host->version_due_ms = 0;
  host->version = sim->change_count - 1;
  host->known_hosts = host->member ? members : 0;
  ab_team_limits_configure (host->limits, host->known_hosts, clock_of (host));
}

static void
kill_host (struct sim *sim, struct host *host)
{
  ab_team_limits_free (host->limits);
  host->limits = NULL;
  host->believes_leader = false;
  host->start_ms = sim->now_ms + below (sim, 3000);
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
      host->clock_offset = (double)below (sim, 1000000);
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
                               .rate = { .rate_per_s = rates[below (sim, 4)],
                                         .burst = below (sim, 15) } };
}

/* Cuts the leader off or freezes it, and elects another at once or later.  */
static void
replace_leader (struct sim *sim)
{
  struct host *leader = sim->leader >= 0 ? &sim->hosts[sim->leader] : NULL;
  uint64_t until_ms = sim->now_ms + 500 + below (sim, 6000);

  if (leader && below (sim, 3) > 0)
    leader->cut_until_ms = until_ms;
  else if (leader && below (sim, 2) == 0)
    leader->frozen_until_ms = until_ms;
  if (below (sim, 2) == 0)
    elect (sim);
}

/* Cuts off the host with most requests, which keeps its lease and still gets a
   part of them; the others go elsewhere.  */
static void
cut_hot_host (struct sim *sim)
{
  if (below (sim, 4) > 0)
    sim->hosts[sim->hot].cut_until_ms = sim->now_ms + 500 + below (sim, 6000);
  sim->last_hot = sim->hot;
  sim->hot = (int)below (sim, 6);
  if (below (sim, 2) == 0)
    replace_leader (sim);
}

/* One fault, on average every FAULT_INTERVAL_MS.  */
static void
disturb (struct sim *sim, uint64_t *member_ms)
{
  struct host *host = &sim->hosts[below (sim, HOSTS_MAX)];
  uint64_t kind = below (sim, 16);

  if (below (sim, sim->fault_interval_ms / STEP_MS) != 0 || !host->sim)
    return;
  if (kind < 2 && host->limits)
    kill_host (sim, host);
  else if (kind < 4)
    host->frozen_until_ms = sim->now_ms + 50 + below (sim, 5000);
  else if (kind < 5)
    host->cut_until_ms = sim->now_ms + 100 + below (sim, 9000);
  else if (kind < 9)
    cut_hot_host (sim);
  else if (kind < 12)
    replace_leader (sim);
  else if (kind < 13)
    change_limit (sim);
  else if (sim->now_ms > *member_ms + 2 * SPREAD_MS)
    {
      *member_ms = sim->now_ms;
      change_member (sim, &sim->hosts[below (sim, HOSTS_MAX)]);
    }
}

static void
step (struct sim *sim)
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
                             + SLACK);
    }
  return most;
}

static void
check_windows (const struct sim *sim, uint64_t seed)
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

static unsigned
run_disturbed (uint64_t seed)
{
  static const struct ab_team_rate rates[]
      = { { 1, 0 }, { 20, 5 }, { 60, 0 }, { 200, 30 } };
  struct sim *sim = sim_new (seed, 6, rates[seed % 4]);
  double load = 2 + 4 * ab_rng_unit (&sim->rng);
  uint64_t member_ms = 0;
  unsigned granted;

  sim->return_share = seed % 3 == 0 ? 0.5 : 0;
  sim->delay_ms = 1 + below (sim, 40);
  sim->fault_interval_ms = 300 + below (sim, 4000);
  while (sim->now_ms < RUN_MS)
    {
      double rate
          = (double)sim->changes[sim->change_count - 1].rate.rate_per_s;
      double due = load * (rate + 5) * STEP_MS / 1000;

      step (sim);
      disturb (sim, &member_ms);
      for (due += ab_rng_unit (&sim->rng); due >= 1; due--)
        {
          int kind = (int)below (sim, 5);
          int at = kind < 2   ? sim->hot
                   : kind < 4 ? sim->last_hot
                              : (int)below (sim, HOSTS_MAX);
          if (sim->hosts[at].sim)
            request (sim, at);
        }
    }
  check_windows (sim, seed);
  granted = (unsigned)sim->grant_count;
  sim_free (sim);
  return granted;
}

/* Guards against tokens that two hosts grant for the same part of a limit:
   after a kill, a freeze, a cut, a change of the leader, of a member or of the
   limit.  */
START_TEST (bound_holds_under_faults)
{
  unsigned granted = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    granted += run_disturbed (seed);
  /* Nothing is proved where nothing is granted.  */
  ck_assert_uint_ge (granted, SEEDS * 100);
}
END_TEST

/* Sends RATE requests a second for 30 s, to all hosts if HOST is negative, and
   returns the refused part after the first 5 s.  */
static double
refused_in_calm (struct ab_team_rate limit, double rate, int host)
{
  struct sim *sim = sim_new (7, 6, limit);
  unsigned asked = 0;
  unsigned refused = 0;
  double due = 0;
  double share;

  sim->calm = true;
  while (sim->now_ms < 36000)
    {
      step (sim);
      if (sim->now_ms == 6000)
        {
          asked = sim->asked;
          refused = sim->refused;
        }
      for (due += rate * STEP_MS / 1000; due >= 1; due--)
        request (sim, host >= 0 ? host : (int)below (sim, 6));
    }
  check_windows (sim, 0);
  share = (double)(sim->refused - refused) / (double)(sim->asked - asked);
  sim_free (sim);
  return share;
}

/* Guards against credit that is at the wrong host, and against fractions that
   are rounded away.  */
START_TEST (little_is_refused_below_the_limit)
{
  const struct ab_team_rate one = { .rate_per_s = 1 };
  const struct ab_team_rate some = { .rate_per_s = 20 };
  const struct ab_team_rate many = { .rate_per_s = 100, .burst = 20 };

  ck_assert_double_le (refused_in_calm (one, 1, -1), 0.01);
  ck_assert_double_le (refused_in_calm (one, 1, 3), 0.01);
  ck_assert_double_le (refused_in_calm (some, 20, 2), 0.01);
  ck_assert_double_le (refused_in_calm (some, 20, -1), 0.01);
  ck_assert_double_le (refused_in_calm (many, 100, 0), 0.01);
  ck_assert_double_le (refused_in_calm (many, 100, -1), 0.01);
}
END_TEST

/* Guards against a least capacity of one token that breaks the bound where the
   settings leave no slack.  */
START_TEST (whole_fits_without_slack)
{
  struct ab_team_limit_config config
      = { .window_ms = WINDOW_MS, .overshoot = OVERSHOOT };

  for (uint64_t rate_per_s = 1; rate_per_s < 2000; rate_per_s += 7)
    for (size_t hosts = 1; hosts <= 9; hosts++)
      {
        struct ab_team_rate rate = { rate_per_s, rate_per_s % 40 };
        struct ab_team_whole whole = ab_team_whole_of (&config, &rate, hosts);
        double buckets = whole.least > 0 ? (double)hosts + 1 : 0;

        ck_assert_double_le (
            whole.rate * (WINDOW_MS + (double)whole.return_ms) / 1000
                + whole.size + 1
                + buckets * fmax (0, 1 - 0.05 * whole.size / buckets),
            ((double)rate_per_s * WINDOW_MS / 1000 + (double)rate.burst)
                    * (1 + OVERSHOOT)
                + (whole.size >= 1 / 0.35 ? 1 : 0) + 1e-6);
      }
}
END_TEST

/* Guards against a returned token that is credited twice, late, or by a
   process that did not grant it.  */
START_TEST (returned_tokens_are_credited_once_in_time)
{
  struct sim *sim = sim_new (1, 1, (struct ab_team_rate){ 10, 0 });
  struct host *host = &sim->hosts[0];
  struct ab_team_answer answer;
  struct ab_chunk team = AB_CHUNK (TEAM);

  sim->now_ms += 60000;
  ab_team_limits_contact (host->limits, clock_of (host));
  while (
      ab_team_limits_take (host->limits, team, 100, clock_of (host), &answer)
      == 0)
    ck_assert_uint_gt (answer.granted, 0);
  ck_assert (!ab_team_limits_credit (host->limits, team, 1, host->life + 2,
                                     answer.stamp_ms, clock_of (host)));
  ck_assert (ab_team_limits_credit (host->limits, team, 1, host->life,
                                    clock_of (host), clock_of (host)));
  ck_assert_int_eq (
      ab_team_limits_take (host->limits, team, 5, clock_of (host), &answer),
      0);
  ck_assert_uint_eq (answer.granted, 1);
  sim->now_ms += 500;
  ck_assert (!ab_team_limits_credit (host->limits, team, 1, host->life,
                                     answer.stamp_ms, clock_of (host)));
  sim_free (sim);
}
END_TEST

/* Returns the fraction that HOST may use.  */
static double
fraction_at (const struct host *host)
{
  return ab_team_limits_fraction (host->limits, AB_CHUNK (TEAM),
                                  clock_of (host));
}

/* Makes HOST report demand in message NUMBER.  */
static void
ask_lease (struct host *host, uint64_t number)
{
  struct ab_team_demand demand;
  struct ab_team_answer answer;

  ab_team_limits_take (host->limits, AB_CHUNK (TEAM), 20, clock_of (host),
                       &answer);
  ck_assert_uint_eq (ab_team_limits_collect (host->limits, number, &demand, 1,
                                             clock_of (host)),
                     1);
}

static void
accept_lease (struct host *host, uint64_t number, double fraction,
              bool renewal)
{
  ab_team_limits_accept (host->limits, AB_CHUNK (TEAM), number, fraction,
                         renewal, clock_of (host));
}

/* Guards against leases that a host counts from the reply, that a late reply
   or a new leader's renewal raises, and that never end.  */
START_TEST (holder_counts_what_it_was_granted)
{
  struct sim *sim = sim_new (1, 6, (struct ab_team_rate){ 100, 0 });
  struct host *host = &sim->hosts[0];

  ask_lease (host, 1);
  sim->now_ms += 1000;
  ask_lease (host, 2);
  accept_lease (host, 1, 0.5, false);
  ck_assert_double_le (fraction_at (host), 0);
  accept_lease (host, 2, 0.5, true);
  ck_assert_double_le (fraction_at (host), 0);
  ask_lease (host, 3);
  sim->now_ms += 1000;
  accept_lease (host, 3, 0.25, false);
  ck_assert_double_eq_tol (fraction_at (host), 0.25, 1e-9);
  sim->now_ms += 500;
  ask_lease (host, 4);
  sim->now_ms += 500;
  accept_lease (host, 4, 0.5, true);
  ck_assert_double_eq_tol (fraction_at (host), 0.25, 1e-9);
  accept_lease (host, 4, 0.5, false);
  ck_assert_double_eq_tol (fraction_at (host), 0.25, 1e-9);
  sim->now_ms += AB_TEAM_LEASE_MS - 490;
  ck_assert_double_le (fraction_at (host), 0);
  sim_free (sim);
}
END_TEST

/* Guards against a floor that outlives a lowered limit or this host's
   replacement, and against a start with a full bucket.  */
START_TEST (floor_needs_contact)
{
  struct sim *sim = sim_new (1, 6, (struct ab_team_rate){ 100, 0 });
  struct host *host = &sim->hosts[0];
  struct ab_team_answer answer;
  struct ab_chunk team = AB_CHUNK (TEAM);

  ck_assert_int_eq (
      ab_team_limits_take (host->limits, team, 1, clock_of (host), &answer),
      AB_ERR_STALE);
  ab_team_limits_contact (host->limits, clock_of (host));
  ck_assert_int_eq (
      ab_team_limits_take (host->limits, team, 1, clock_of (host), &answer),
      AB_ERR_FULL);
  sim->now_ms += WINDOW_MS - 10;
  ck_assert_int_eq (
      ab_team_limits_take (host->limits, team, 1, clock_of (host), &answer),
      0);
  sim->now_ms += 20;
  ck_assert_int_eq (
      ab_team_limits_take (host->limits, team, 1, clock_of (host), &answer),
      AB_ERR_STALE);
  sim_free (sim);
}
END_TEST

/* Guards against a leader that divides again what a host may still hold: one
   that was granted less, one that restarted, one whose messages are late.  */
START_TEST (leader_keeps_what_may_be_in_use)
{
  struct ab_team_leases leases = { .count = 0 };
  struct ab_team_claim a
      = { .host = "a", .life = 1, .number = 1, .demand = 100 };
  struct ab_team_claim b
      = { .host = "b", .life = 2, .number = 1, .demand = 100 };
  double fraction;

  ck_assert_int_eq (
      ab_team_leases_grant (&leases, &a, 0.6, 100, false, 0, &fraction), 0);
  ck_assert_double_eq_tol (fraction, 0.6, 1e-9);
  ck_assert_int_eq (
      ab_team_leases_grant (&leases, &a, 0.6, 100, false, 0, &fraction),
      AB_ERR_STALE);
  a = (struct ab_team_claim){
    .host = "a", .life = 1, .number = 2, .demand = 10, .held = 0.6
  };
  ab_team_leases_grant (&leases, &a, 0.6, 100, false, 1000, &fraction);
  ck_assert_double_lt (fraction, 0.2);
  ab_team_leases_grant (&leases, &b, 0.6, 100, false, 1000, &fraction);
  ck_assert_double_le (fraction, 0);
  a = (struct ab_team_claim){
    .host = "a", .life = 3, .number = 3, .demand = 100
  };
  ab_team_leases_grant (&leases, &a, 0.6, 100, false, 1500, &fraction);
  ck_assert_double_le (fraction, 0);
  b.number = 2;
  ab_team_leases_grant (&leases, &b, 0.6, 100, false, 1000 + AB_TEAM_LEASE_MS,
                        &fraction);
  ck_assert_double_ge (fraction, 0.29);
  ab_team_leases_free (&leases);
}
END_TEST

SUITE_MAIN ("team_limit", 240, bound_holds_under_faults,
            little_is_refused_below_the_limit, whole_fits_without_slack,
            returned_tokens_are_credited_once_in_time,
            holder_counts_what_it_was_granted, floor_needs_contact,
            leader_keeps_what_may_be_in_use)
