#include "team_limit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "error.h"
#include "token_bucket.h"

/* Fractions of the whole limit.  A host that has all of a team's requests gets
   the leases, the pool and its own floor: 1.06 x 0.957 of the rate, so that
   floors of more than 0.05 would refuse requests below the limit.  */
#define FLOORS 0.05
#define LEASES 0.6
#define POOL 0.35
/* Parts of the overshoot and the slack that the buckets use.  */
#define WHOLE_PART 0.6
/* Part of the overshoot that returned tokens use.  */
#define RETURN_PART 0.2
/* Part of the overshoot in one window that may be saved beyond the burst: a
   team with 2,000 requests a second and a burst of 5 lost 2% of them below its
   limit to pauses of some milliseconds.  */
#define SAVED_PART 0.15
/* Part of the overshoot that is left for clocks of unequal speed.  */
#define CLOCK_PART 0.02
/* Longest time that is named for a retry.  */
#define RETRY_MAX_MS 10000
/* A team without requests is forgotten after this time, or after two
   windows.  */
#define IDLE_MS 60000
/* Part of the earlier demand in the next one, each second.  */
#define DEMAND_SMOOTHING 0.7

struct team
{
  char name[AB_NAME_BYTES];
  struct ab_team_rate rate;
  struct ab_team_whole whole;
  uint64_t used_ms;
  /* As a control host.  */
  struct ab_token_bucket bucket;
  double lease; /* Fraction; 0 from LEASE_ENDS_MS on.  */
  uint64_t lease_ends_ms;
  uint64_t arrivals; /* Since the last report.  */
  double demand;     /* Requests per second, smoothed.  */
  uint64_t asked_number;
  uint64_t asked_ms;
  /* As the leader.  */
  struct ab_team_leases leases;
  struct ab_token_bucket pool;
  UT_hash_handle hh;
};

struct ab_team_limits
{
  const struct ab_team_limits_ops *ops;
  void *ctx;
  struct ab_team_limit_config config;
  struct team *teams;
  uint64_t started_ms;
  size_t hosts;
  bool in_contact; /* CONTACT_MS is set.  */
  uint64_t contact_ms;
  uint64_t collected_ms;
  bool leader;
  uint64_t term;
  uint64_t lead_since_ms;
  bool confirmed; /* CONFIRMED_MS is set.  */
  uint64_t confirmed_ms;
};

struct ab_team_whole
ab_team_whole_of (const struct ab_team_limit_config *config,
                  const struct ab_team_rate *rate, size_t hosts)
{
  double window_s = (double)config->window_ms / 1000;
  double wanted
      = (double)rate->rate_per_s * (1 + WHOLE_PART * config->overshoot);
  double bound = ((double)rate->rate_per_s * window_s + (double)rate->burst)
                     * (1 + (1 - CLOCK_PART) * config->overshoot)
                 + (double)config->slack;
  double return_s = RETURN_PART * config->overshoot * window_s
                    / (1 + WHOLE_PART * config->overshoot);
  double floor_size;
  double extra;
  double fitting;
  struct ab_team_whole whole = { .return_ms = (uint64_t)(return_s * 1000) };

  whole.size
      = (double)rate->burst * (1 + WHOLE_PART * config->overshoot)
        + WHOLE_PART * (double)config->slack
        + SAVED_PART * config->overshoot * (double)rate->rate_per_s * window_s;
  /* A bucket holds at least one token, which may be more than its part.  */
  floor_size = FLOORS / (double)(hosts + 1) * whole.size;
  extra = (double)(hosts + 1) * fmax (0, 1 - floor_size)
          + fmax (0, 1 - POOL * whole.size);
  fitting = (bound - whole.size - extra) / (window_s + return_s);
  whole.least = fitting >= (double)rate->rate_per_s;
  if (whole.least == 0)
    fitting = (bound - whole.size - 1) / (window_s + return_s);
  whole.rate = fmax (0, fmin (wanted, fitting));
  return whole;
}

struct ab_team_limits *
ab_team_limits_new (const struct ab_team_limit_config *config,
                    const struct ab_team_limits_ops *ops, void *ctx,
                    uint64_t now_ms)
{
  struct ab_team_limits *limits = calloc (1, sizeof *limits);

  if (!limits)
    return NULL;
  limits->config = *config;
  limits->ops = ops;
  limits->ctx = ctx;
  limits->started_ms = now_ms;
  limits->collected_ms = now_ms;
  return limits;
}

static void
drop_team (struct ab_team_limits *limits, struct team *team)
{
  if (limits->teams)
    HASH_DEL (limits->teams, team);
  ab_team_leases_free (&team->leases);
  free (team);
}

void
ab_team_limits_free (struct ab_team_limits *limits)
{
  struct team *team;
  struct team *next;

  if (!limits)
    return;
  HASH_ITER (hh, limits->teams, team, next)
  drop_team (limits, team);
  free (limits);
}

static double
floor_fraction (const struct ab_team_limits *limits)
{
  /* Divided among one more than the members, so that the sum stays below
     FLOORS while some hosts know of a change of one member and others do
     not.  */
  return limits->hosts > 0 ? FLOORS / (double)(limits->hosts + 1) : 0;
}

static double
capacity (const struct team *team, double fraction)
{
  return fmax (team->whole.least, fraction * team->whole.size);
}

static void
set_bucket (const struct ab_team_limits *limits, struct team *team,
            uint64_t now_ms)
{
  double fraction = floor_fraction (limits) + team->lease;

  ab_token_bucket_set (&team->bucket, fraction * team->whole.rate,
                       capacity (team, fraction), now_ms);
}

/* Ends a lease that has run out, at the time when it did.  */
static void
update_bucket (const struct ab_team_limits *limits, struct team *team,
               uint64_t now_ms)
{
  if (team->lease > 0 && now_ms >= team->lease_ends_ms)
    {
      team->lease = 0;
      set_bucket (limits, team, team->lease_ends_ms);
    }
  ab_token_bucket_refill (&team->bucket, now_ms);
}

/* Returns when the leader's term of service begins.  */
static uint64_t
serves_from_ms (const struct ab_team_limits *limits)
{
  return limits->lead_since_ms + limits->config.leader_wait_ms;
}

static void
set_pool (struct team *team, double fraction, uint64_t now_ms)
{
  ab_token_bucket_set (&team->pool, fraction * team->whole.rate,
                       fmax (1, fraction * team->whole.size), now_ms);
}

static void
reset_pool (const struct ab_team_limits *limits, struct team *team)
{
  ab_team_leases_free (&team->leases);
  team->pool
      = (struct ab_token_bucket){ .updated_ms = serves_from_ms (limits) };
  set_pool (team, POOL, team->pool.updated_ms);
}

/* Returns whether leases of an earlier leader may still be in use.  */
static bool
is_recovering (const struct ab_team_limits *limits, uint64_t now_ms)
{
  return now_ms < serves_from_ms (limits) + AB_TEAM_LEASE_MS;
}

static void
update_pool (const struct ab_team_limits *limits, struct team *team,
             uint64_t now_ms)
{
  double leased = LEASES;

  if (!is_recovering (limits, now_ms))
    leased = ab_team_leases_in_use (&team->leases, now_ms);
  set_pool (team, fmax (0, LEASES + POOL - leased), now_ms);
}

static struct team *
lookup_team (const struct ab_team_limits *limits, struct ab_chunk name)
{
  struct team *team;

  HASH_FIND (hh, limits->teams, name.data, name.len, team);
  return team;
}

/* Returns the team NAME, whose buckets have filled since this process started,
   or since this host became the leader: they were not used in the last
   window.  */
static int
find_or_add_team (struct ab_team_limits *limits, struct ab_chunk name,
                  uint64_t now_ms, struct team **result)
{
  struct team *team = lookup_team (limits, name);
  struct ab_team_rate rate;

  *result = team;
  if (team)
    {
      team->used_ms = now_ms;
      return team->rate.rate_per_s > 0 ? 0 : AB_ERR_NOT_FOUND;
    }
  if (!limits->ops->rate (limits->ctx, name, &rate) || rate.rate_per_s == 0)
    return AB_ERR_NOT_FOUND;
  team = calloc (1, sizeof *team);
  if (!team)
    return AB_ERR_MEMORY;
  if (!ab_chunk_copy (name, team->name, sizeof team->name))
    {
      free (team);
      return AB_ERR_NOT_FOUND;
    }
  team->rate = rate;
  team->whole = ab_team_whole_of (&limits->config, &rate, limits->hosts);
  team->used_ms = now_ms;
  team->bucket.updated_ms = limits->started_ms;
  set_bucket (limits, team, limits->started_ms);
  reset_pool (limits, team);
  HASH_ADD_STR (limits->teams, name, team);
  *result = team;
  return 0;
}

static void
configure_team (struct ab_team_limits *limits, struct team *team,
                uint64_t now_ms)
{
  struct ab_team_rate rate = { .rate_per_s = 0 };

  if (!limits->ops->rate (limits->ctx, ab_chunk_str (team->name), &rate))
    rate.rate_per_s = 0;
  update_bucket (limits, team, now_ms);
  team->rate = rate;
  team->whole = ab_team_whole_of (&limits->config, &rate, limits->hosts);
  if (rate.rate_per_s == 0)
    team->whole = (struct ab_team_whole){ .rate = 0 };
  set_bucket (limits, team, now_ms);
  update_pool (limits, team, now_ms);
}

void
ab_team_limits_configure (struct ab_team_limits *limits, size_t hosts,
                          uint64_t now_ms)
{
  struct team *team;

  limits->hosts = hosts;
  for (team = limits->teams; team; team = team->hh.next)
    configure_team (limits, team, now_ms);
}

void
ab_team_limits_contact (struct ab_team_limits *limits, uint64_t as_of_ms)
{
  if (!limits->in_contact || as_of_ms > limits->contact_ms)
    limits->contact_ms = as_of_ms;
  limits->in_contact = true;
}

/* Returns whether this host's floor may be used.  */
static bool
has_floor (const struct ab_team_limits *limits, uint64_t now_ms)
{
  return limits->in_contact && limits->hosts > 0
         && now_ms <= limits->contact_ms + limits->config.window_ms;
}

int
ab_team_limits_take (struct ab_team_limits *limits, struct ab_chunk name,
                     uint64_t count, uint64_t now_ms,
                     struct ab_team_answer *answer)
{
  struct team *team;
  int rc = find_or_add_team (limits, name, now_ms, &team);

  *answer = (struct ab_team_answer){ .retry_ms = RETRY_MAX_MS };
  if (rc < 0)
    return rc;
  team->arrivals += count;
  if (!has_floor (limits, now_ms))
    return AB_ERR_STALE;
  update_bucket (limits, team, now_ms);
  answer->granted = ab_token_bucket_take (&team->bucket, count, now_ms);
  answer->grantor = limits->config.life;
  answer->stamp_ms = now_ms;
  answer->retry_ms = ab_token_bucket_wait_ms (&team->bucket, RETRY_MAX_MS);
  return answer->granted > 0 ? 0 : AB_ERR_FULL;
}

/* Returns the name of this host's pool, which ends with the term.  */
static uint64_t
pool_life (const struct ab_team_limits *limits)
{
  return limits->config.life ^ (limits->term * 0x9E3779B97F4A7C15U);
}

bool
ab_team_limits_credit (struct ab_team_limits *limits, struct ab_chunk name,
                       uint64_t count, uint64_t grantor, uint64_t stamp_ms,
                       uint64_t now_ms)
{
  struct team *team = lookup_team (limits, name);

  if (!team || stamp_ms > now_ms || now_ms - stamp_ms > team->whole.return_ms)
    return false;
  if (grantor == limits->config.life)
    {
      update_bucket (limits, team, now_ms);
      ab_token_bucket_credit (&team->bucket, count, now_ms);
      return true;
    }
  if (!limits->leader || grantor != pool_life (limits))
    return false;
  ab_token_bucket_credit (&team->pool, count, now_ms);
  return true;
}

static bool
is_idle (const struct ab_team_limits *limits, const struct team *team,
         uint64_t now_ms)
{
  return now_ms > team->used_ms + IDLE_MS
         && now_ms > team->used_ms + 2 * limits->config.window_ms
         && team->leases.count == 0;
}

/* Fills DEMAND from TEAM's requests of the last ELAPSED_MS, and starts to
   count again.  */
static void
report_team (struct team *team, uint64_t number, uint64_t elapsed_ms,
             uint64_t now_ms, struct ab_team_demand *demand)
{
  double rate
      = (double)team->arrivals * 1000 / (double)(elapsed_ms ? elapsed_ms : 1);

  team->demand
      = DEMAND_SMOOTHING * team->demand + (1 - DEMAND_SMOOTHING) * rate;
  team->arrivals = 0;
  team->asked_number = number;
  team->asked_ms = now_ms;
  *demand
      = (struct ab_team_demand){ .demand = team->demand, .held = team->lease };
  memcpy (demand->team, team->name, sizeof demand->team);
}

size_t
ab_team_limits_collect (struct ab_team_limits *limits, uint64_t number,
                        struct ab_team_demand *demands, size_t max,
                        uint64_t now_ms)
{
  uint64_t elapsed_ms = now_ms - limits->collected_ms;
  size_t count = 0;
  struct team *team;
  struct team *next;

  HASH_ITER (hh, limits->teams, team, next)
  {
    update_bucket (limits, team, now_ms);
    ab_team_leases_in_use (&team->leases, now_ms);
    if (is_idle (limits, team, now_ms))
      drop_team (limits, team);
    else if (team->arrivals == 0 && team->asked_ms != now_ms)
      team->demand *= DEMAND_SMOOTHING;
    else if (team->arrivals == 0)
      continue; /* In an earlier message of this round.  */
    else if (count < max)
      report_team (team, number, elapsed_ms, now_ms, &demands[count++]);
  }
  /* The teams that did not fit are in the next message, and count from the
     same time.  */
  if (count < max)
    limits->collected_ms = now_ms;
  return count;
}

void
ab_team_limits_accept (struct ab_team_limits *limits, struct ab_chunk name,
                       uint64_t number, double fraction, bool renewal,
                       uint64_t now_ms)
{
  struct team *team = lookup_team (limits, name);

  if (!team || team->asked_number != number
      || now_ms >= team->asked_ms + AB_TEAM_LEASE_MS)
    return;
  update_bucket (limits, team, now_ms);
  if (renewal)
    fraction = fmin (fraction, team->lease);
  team->asked_number = 0;
  team->lease = fmin (fraction, LEASES);
  team->lease_ends_ms = team->asked_ms + AB_TEAM_LEASE_MS;
  set_bucket (limits, team, now_ms);
}

void
ab_team_limits_lead (struct ab_team_limits *limits, bool leader, uint64_t term,
                     uint64_t now_ms)
{
  struct team *team;

  if (leader == limits->leader && (!leader || term == limits->term))
    return;
  limits->leader = leader;
  limits->term = term;
  limits->lead_since_ms = now_ms;
  limits->confirmed = false;
  for (team = limits->teams; team; team = team->hh.next)
    reset_pool (limits, team);
}

void
ab_team_limits_confirm (struct ab_team_limits *limits, uint64_t term,
                        uint64_t started_ms)
{
  if (!limits->leader || term != limits->term)
    return;
  if (!limits->confirmed || started_ms > limits->confirmed_ms)
    limits->confirmed_ms = started_ms;
  limits->confirmed = true;
}

uint64_t
ab_team_limits_confirmed_age_ms (const struct ab_team_limits *limits,
                                 uint64_t now_ms)
{
  if (!limits->leader || !limits->confirmed)
    return UINT64_MAX;
  return now_ms > limits->confirmed_ms ? now_ms - limits->confirmed_ms : 0;
}

bool
ab_team_limits_serves (const struct ab_team_limits *limits, uint64_t now_ms)
{
  return limits->leader && limits->confirmed
         && now_ms >= serves_from_ms (limits)
         && now_ms < limits->confirmed_ms + limits->config.leader_valid_ms;
}

/* Sets *TEAM to the team NAME, at a leader that may grant.  */
static int
open_team (struct ab_team_limits *limits, struct ab_chunk name,
           uint64_t now_ms, struct team **team)
{
  if (!ab_team_limits_serves (limits, now_ms))
    return AB_ERR_NOT_LEADER;
  return find_or_add_team (limits, name, now_ms, team);
}

int
ab_team_limits_lease (struct ab_team_limits *limits, struct ab_chunk name,
                      const struct ab_team_claim *claim, uint64_t now_ms,
                      double *fraction, bool *renewal)
{
  struct team *team;
  int rc = open_team (limits, name, now_ms, &team);

  if (rc < 0)
    return rc;
  *renewal = is_recovering (limits, now_ms);
  /* Without a least capacity, small fractions hold no whole token: the pool
     serves the team alone.  */
  rc = ab_team_leases_grant (&team->leases, claim,
                             team->whole.least > 0 ? LEASES : 0,
                             team->whole.rate, *renewal, now_ms, fraction);
  update_pool (limits, team, now_ms);
  return rc;
}

int
ab_team_limits_pool_take (struct ab_team_limits *limits, struct ab_chunk name,
                          uint64_t count, uint64_t now_ms,
                          struct ab_team_answer *answer)
{
  struct team *team;
  int rc = open_team (limits, name, now_ms, &team);

  *answer = (struct ab_team_answer){ .retry_ms = RETRY_MAX_MS };
  if (rc < 0)
    return rc;
  update_pool (limits, team, now_ms);
  answer->granted = ab_token_bucket_take (&team->pool, count, now_ms);
  answer->grantor = pool_life (limits);
  answer->stamp_ms = now_ms;
  answer->retry_ms = ab_token_bucket_wait_ms (&team->pool, RETRY_MAX_MS);
  return answer->granted > 0 ? 0 : AB_ERR_FULL;
}

size_t
ab_team_limits_count (const struct ab_team_limits *limits)
{
  return HASH_COUNT (limits->teams);
}

double
ab_team_limits_fraction (const struct ab_team_limits *limits,
                         struct ab_chunk name, uint64_t now_ms)
{
  const struct team *team = lookup_team (limits, name);
  double fraction = has_floor (limits, now_ms) ? floor_fraction (limits) : 0;

  if (team && now_ms < team->lease_ends_ms)
    fraction += team->lease;
  return fraction;
}

static json_t *
team_json (const struct ab_team_limits *limits, struct team *team,
           uint64_t now_ms)
{
  json_t *json;

  update_bucket (limits, team, now_ms);
  json = json_pack ("{s:s, s:I, s:I, s:f, s:f, s:f}", "team", team->name,
                    "rate_per_s", (json_int_t)team->rate.rate_per_s, "burst",
                    (json_int_t)team->rate.burst, "lease", team->lease,
                    "tokens", team->bucket.tokens, "demand", team->demand);
  if (json && limits->leader)
    {
      update_pool (limits, team, now_ms);
      json_object_set_new (json, "pool_tokens", json_real (team->pool.tokens));
      json_object_set_new (
          json, "leased",
          json_real (ab_team_leases_in_use (&team->leases, now_ms)));
    }
  return json;
}

json_t *
ab_team_limits_state (struct ab_team_limits *limits, size_t max,
                      uint64_t now_ms)
{
  json_t *teams = json_array ();

  for (struct team *team = limits->teams; team && max > 0;
       team = team->hh.next, max--)
    json_array_append_new (teams, team_json (limits, team, now_ms));
  return json_pack (
      "{s:b, s:b, s:I, s:I, s:f, s:o}", "grants_leases",
      ab_team_limits_serves (limits, now_ms), "floor_in_use",
      has_floor (limits, now_ms), "contact_age_ms",
      (json_int_t)(limits->in_contact && now_ms > limits->contact_ms
                       ? now_ms - limits->contact_ms
                       : 0),
      "teams_in_memory", (json_int_t)ab_team_limits_count (limits), "floor",
      floor_fraction (limits), "teams", teams);
}
