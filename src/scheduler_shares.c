#include "scheduler_shares.h"

#include <math.h>
#include <stdlib.h>

/* Arrival rates are averaged over about this time.  */
#define RATE_WINDOW_MS 2500
/* Slots that a rank gets are averaged over this time: they show sooner than
   arrivals that a burst of more urgent ranks has ended.  */
#define GRANT_WINDOW_MS 600
/* Parts of the share of all requests that each rank and each team gets at
   least.  The requirement is a quarter over 5 s; the rest allows for requests
   that are placed first and still not served and for averaging, which matters
   more for a team with few requests.  */
#define RANK_SHARE_MIN 0.3
#define TEAM_SHARE_MIN 0.4
/* Largest part of the slots that is granted out of order.  */
#define RESERVED_MAX 0.4
/* Bounds the requests that are placed first one after the other.  */
#define CREDIT_MAX 2.0
/* Credit of a rank or team without earlier requests.  */
#define CREDIT_FIRST 0.5
/* A rank with less than this many requests in the window may be replaced.  */
#define REQUESTED_MIN 0.05

void
ab_sched_shares_clear (struct ab_sched_shares *shares)
{
  struct ab_sched_team *team = shares->teams;

  HASH_CLEAR (hh, shares->teams);
  while (team)
    {
      struct ab_sched_team *next = team->hh.next;
      free (team);
      team = next;
    }
}

static int
compare (uint64_t a, uint64_t b)
{
  return a < b ? -1 : a > b;
}

static int
compare_with_rank (const struct ab_sched_slot_request *a,
                   const struct ab_sched_rank *b)
{
  int order = compare (a->team_priority, b->team_priority);

  return order != 0 ? order : compare (a->priority, b->priority);
}

int
ab_sched_compare_rank (const struct ab_sched_slot_request *a,
                       const struct ab_sched_slot_request *b)
{
  int order = compare (a->team_priority, b->team_priority);

  return order != 0 ? order : compare (a->priority, b->priority);
}

static void
decay (struct ab_sched_shares *shares, uint64_t now_ms)
{
  double elapsed_ms = (double)(now_ms - shares->updated_ms);
  double rate_kept
      = elapsed_ms >= RATE_WINDOW_MS ? 0 : 1 - elapsed_ms / RATE_WINDOW_MS;
  double kept;
  double grants_kept;

  if (now_ms == shares->updated_ms)
    return;
  grants_kept = exp (-elapsed_ms / GRANT_WINDOW_MS);
  kept = exp (-elapsed_ms / AB_SCHED_SHARE_WINDOW_MS);
  for (size_t i = 0; i < shares->rank_count; i++)
    {
      shares->ranks[i].arrival_rate *= rate_kept;
      shares->ranks[i].next_rate *= rate_kept;
      shares->ranks[i].grant_rate *= grants_kept;
      shares->ranks[i].requested *= kept;
      shares->ranks[i].granted *= kept;
    }
  shares->requested *= kept;
  shares->granted *= kept;
  shares->reserved *= kept;
  shares->updated_ms = now_ms;
}

/* Returns the number of ranks that are more urgent than SLOT_REQUEST's.  */
static size_t
count_above (const struct ab_sched_shares *shares,
             const struct ab_sched_slot_request *slot_request)
{
  size_t i = 0;

  while (i < shares->rank_count
         && compare_with_rank (slot_request, &shares->ranks[i]) > 0)
    i++;
  return i;
}

/* Returns the rank of a slot request or, if it is not known, the one that it
   counts as, or null when there is none.  */
static struct ab_sched_rank *
find_rank (struct ab_sched_shares *shares,
           const struct ab_sched_slot_request *slot_request)
{
  size_t i = count_above (shares, slot_request);

  if (shares->rank_count == 0)
    return NULL;
  return &shares->ranks[i < shares->rank_count ? i : shares->rank_count - 1];
}

/* Removes a rank that has hardly any requests.  */
static void
forget_rank (struct ab_sched_shares *shares)
{
  for (size_t i = 0; i < shares->rank_count; i++)
    if (shares->ranks[i].requested < REQUESTED_MIN)
      {
        shares->rank_count--;
        memmove (&shares->ranks[i], &shares->ranks[i + 1],
                 (shares->rank_count - i) * sizeof shares->ranks[0]);
        return;
      }
}

static struct ab_sched_rank *
get_rank (struct ab_sched_shares *shares,
          const struct ab_sched_slot_request *slot_request)
{
  struct ab_sched_rank *rank = find_rank (shares, slot_request);
  size_t i;

  if (rank && compare_with_rank (slot_request, rank) == 0)
    return rank;
  if (shares->rank_count == AB_SCHED_RANKS_MAX)
    forget_rank (shares);
  if (shares->rank_count == AB_SCHED_RANKS_MAX)
    return find_rank (shares, slot_request);
  i = count_above (shares, slot_request);
  memmove (&shares->ranks[i + 1], &shares->ranks[i],
           (shares->rank_count - i) * sizeof shares->ranks[0]);
  shares->rank_count++;
  shares->ranks[i]
      = (struct ab_sched_rank){ .team_priority = slot_request->team_priority,
                                .priority = slot_request->priority,
                                .round = shares->last_round,
                                .credit = CREDIT_FIRST };
  return &shares->ranks[i];
}

static struct ab_sched_team *
find_team (struct ab_sched_shares *shares,
           const struct ab_sched_slot_request *slot_request)
{
  struct ab_sched_team *team = NULL;

  if (slot_request->team[0])
    HASH_FIND_STR (shares->teams, slot_request->team, team);
  return team;
}

/* Returns the team of a slot request, which becomes the one with the latest
   request; null without a team or memory.  */
static struct ab_sched_team *
get_team (struct ab_sched_shares *shares,
          const struct ab_sched_slot_request *slot_request)
{
  struct ab_sched_team *team = find_team (shares, slot_request);
  bool is_known = team;

  if (!slot_request->team[0])
    return NULL;
  if (!team && HASH_COUNT (shares->teams) >= AB_SCHED_TEAMS_MAX)
    team = shares->teams;
  if (team)
    HASH_DEL (shares->teams, team);
  else
    team = malloc (sizeof *team);
  if (!team)
    return NULL;
  if (!is_known || team->priority != slot_request->team_priority)
    {
      *team = (struct ab_sched_team){ .priority = slot_request->team_priority,
                                      .credit = CREDIT_FIRST };
      ab_chunk_copy_bounded (ab_chunk_str (slot_request->team), team->name,
                             sizeof team->name);
    }
  HASH_ADD_STR (shares->teams, name, team);
  return team;
}

/* Returns TEAM's rounds in the rank of a slot request, or null.  */
static struct ab_sched_team_kind *
find_kind (struct ab_sched_team *team,
           const struct ab_sched_slot_request *slot_request)
{
  for (size_t i = 0; i < AB_SCHED_TEAM_KINDS; i++)
    if (team->kinds[i].round > 0
        && team->kinds[i].priority == slot_request->priority)
      return &team->kinds[i];
  return NULL;
}

/* Returns the round of TEAM's next request in RANK.  */
static uint64_t
take_round (struct ab_sched_team *team, const struct ab_sched_rank *rank,
            const struct ab_sched_slot_request *slot_request)
{
  struct ab_sched_team_kind *kind = find_kind (team, slot_request);

  if (!kind)
    {
      kind = &team->kinds[team->next_kind];
      team->next_kind = (team->next_kind + 1) % AB_SCHED_TEAM_KINDS;
      *kind
          = (struct ab_sched_team_kind){ .priority = slot_request->priority };
    }
  if (kind->round < rank->round)
    kind->round = rank->round;
  return ++kind->round;
}

static void
return_round (struct ab_sched_team *team,
              const struct ab_sched_slot_request *slot_request)
{
  struct ab_sched_team_kind *kind = find_kind (team, slot_request);

  if (kind && kind->round > 1)
    kind->round--;
}

/* Adds AMOUNT to a credit within its bounds.  */
static void
add_credit (double *credit, double amount)
{
  *credit += amount;
  if (*credit > CREDIT_MAX)
    *credit = CREDIT_MAX;
  else if (*credit < -CREDIT_MAX)
    *credit = -CREDIT_MAX;
}

/* Subtracts a slot that was granted in order: it lowers the credit, but good
   service is not held against later requests.  */
static void
use_credit (double *credit)
{
  if (*credit > 0)
    *credit = *credit > 1 ? *credit - 1 : 0;
}

static double
granted_share (double granted, double requested)
{
  return requested > granted ? granted / requested : 1;
}

/* Returns whether a request of RANK and TEAM is placed before all ranks, and
   uses their credit.  */
static bool
reserve (const struct ab_sched_shares *shares, struct ab_sched_rank *rank,
         struct ab_sched_team *team)
{
  if ((rank->credit < 1 && (!team || team->credit < 1))
      || shares->reserved + 1 > RESERVED_MAX * shares->granted)
    return false;
  add_credit (&rank->credit, -1);
  if (team)
    add_credit (&team->credit, -1);
  return true;
}

void
ab_sched_shares_arrival (struct ab_sched_shares *shares,
                         const struct ab_sched_slot_request *slot_request,
                         struct ab_sched_place *place, uint64_t now_ms)
{
  double share = granted_share (shares->granted, shares->requested);
  struct ab_sched_rank *rank;
  struct ab_sched_team *team;

  decay (shares, now_ms);
  rank = get_rank (shares, slot_request);
  team = get_team (shares, slot_request);
  *place = (struct ab_sched_place){ 0 };
  rank->arrival_rate += 1.0 / RATE_WINDOW_MS;
  if (team)
    place->round = take_round (team, rank, slot_request);
  if (place->round > shares->last_round)
    shares->last_round = place->round;
  if (place->round <= rank->round + 1)
    rank->next_rate += 1.0 / RATE_WINDOW_MS;
  if (slot_request->is_retry || !slot_request->may_wait)
    return;
  shares->requested++;
  rank->requested++;
  add_credit (&rank->credit, RANK_SHARE_MIN * share);
  if (team)
    add_credit (&team->credit, TEAM_SHARE_MIN * share);
  place->is_reserved = reserve (shares, rank, team);
}

void
ab_sched_shares_grant (struct ab_sched_shares *shares,
                       const struct ab_sched_slot_request *slot_request,
                       const struct ab_sched_place *place, uint64_t now_ms)
{
  struct ab_sched_rank *rank = find_rank (shares, slot_request);
  struct ab_sched_team *team = find_team (shares, slot_request);

  decay (shares, now_ms);
  if (!rank)
    return;
  rank->grant_rate += 1.0 / GRANT_WINDOW_MS;
  /* A request that was placed first may be granted before its round.  */
  if (place->round > rank->round && !place->is_reserved)
    rank->round = place->round;
  if (slot_request->is_retry)
    return;
  if (!slot_request->may_wait)
    {
      shares->requested++;
      rank->requested++;
    }
  shares->granted++;
  rank->granted++;
  if (place->is_reserved)
    {
      shares->reserved++;
      return;
    }
  use_credit (&rank->credit);
  if (team)
    use_credit (&team->credit);
}

static enum ab_sched_reason
reason_of (enum ab_sched_decision decision)
{
  switch (decision)
    {
    case AB_SCHED_RATE_LIMITED:
      return AB_SCHED_REASON_LIMIT;
    case AB_SCHED_NO_TARGET:
      return AB_SCHED_REASON_NO_TARGET;
    case AB_SCHED_BUDGET_USED_UP:
      return AB_SCHED_REASON_BUDGET;
    default:
      return AB_SCHED_REASON_FULL;
    }
}

void
ab_sched_shares_reject (struct ab_sched_shares *shares,
                        const struct ab_sched_slot_request *slot_request,
                        const struct ab_sched_place *place,
                        enum ab_sched_decision decision, uint64_t now_ms)
{
  struct ab_sched_rank *rank = find_rank (shares, slot_request);
  struct ab_sched_team *team = find_team (shares, slot_request);

  decay (shares, now_ms);
  if (!rank)
    return;
  if (team)
    return_round (team, slot_request);
  if (place->is_reserved)
    {
      add_credit (&rank->credit, 1);
      if (team)
        add_credit (&team->credit, 1);
    }
  if (decision != AB_SCHED_SPILL && slot_request->may_wait)
    {
      rank->refused[reason_of (decision)]++;
      if (team)
        team->refused++;
    }
  else if (!slot_request->is_retry && slot_request->may_wait
           && shares->requested > 1 && rank->requested > 1)
    {
      shares->requested--;
      rank->requested--;
    }
  if (!slot_request->may_wait)
    rank->arrival_rate = rank->arrival_rate > 1.0 / RATE_WINDOW_MS
                             ? rank->arrival_rate - 1.0 / RATE_WINDOW_MS
                             : 0;
}

double
ab_sched_shares_rate_above (struct ab_sched_shares *shares,
                            const struct ab_sched_slot_request *slot_request,
                            uint64_t now_ms)
{
  size_t above = count_above (shares, slot_request);
  double rate = 0;

  decay (shares, now_ms);
  for (size_t i = 0; i < above; i++)
    rate += shares->ranks[i].arrival_rate;
  return rate;
}

double
ab_sched_shares_reserved_rate (struct ab_sched_shares *shares, uint64_t now_ms)
{
  decay (shares, now_ms);
  return shares->reserved / AB_SCHED_SHARE_WINDOW_MS;
}

double
ab_sched_shares_grant_rate (struct ab_sched_shares *shares,
                            const struct ab_sched_slot_request *slot_request,
                            uint64_t now_ms)
{
  const struct ab_sched_rank *rank = find_rank (shares, slot_request);

  decay (shares, now_ms);
  return rank ? rank->grant_rate : 0;
}

double
ab_sched_shares_rate_before (struct ab_sched_shares *shares,
                             const struct ab_sched_slot_request *slot_request,
                             const struct ab_sched_place *place,
                             uint64_t now_ms)
{
  const struct ab_sched_rank *rank = find_rank (shares, slot_request);

  decay (shares, now_ms);
  return rank && !place->is_reserved && place->round > rank->round + 1
             ? rank->next_rate
             : 0;
}

size_t
ab_sched_shares_class (const struct ab_sched_shares *shares,
                       const struct ab_sched_slot_request *slot_request,
                       size_t classes)
{
  size_t above = count_above (shares, slot_request);

  return above < classes ? above : classes - 1;
}

/* Names the team of RANK with most refusals in REFUSALS.  */
static void
find_refused_team (const struct ab_sched_shares *shares,
                   const struct ab_sched_rank *rank,
                   struct ab_sched_refusals *refusals)
{
  for (const struct ab_sched_team *team = shares->teams; team;
       team = team->hh.next)
    if (team->priority == rank->team_priority
        && team->refused > refusals->team_refused)
      {
        memcpy (refusals->team, team->name, sizeof refusals->team);
        refusals->team_refused = team->refused;
      }
}

/* Returns the next rank with refusals to report, or null.  */
static struct ab_sched_rank *
next_refused (struct ab_sched_shares *shares)
{
  for (size_t i = 0; i < shares->rank_count; i++)
    for (size_t reason = 0; reason < AB_SCHED_REASONS; reason++)
      if (shares->ranks[i].refused[reason] > 0)
        return &shares->ranks[i];
  return NULL;
}

bool
ab_sched_shares_take_refusals (struct ab_sched_shares *shares,
                               struct ab_sched_refusals *refusals,
                               uint64_t now_ms)
{
  struct ab_sched_rank *rank = next_refused (shares);

  decay (shares, now_ms);
  if (!rank)
    {
      for (struct ab_sched_team *team = shares->teams; team;
           team = team->hh.next)
        team->refused = 0;
      return false;
    }
  *refusals = (struct ab_sched_refusals){
    .team_priority = rank->team_priority,
    .priority = rank->priority,
    .full = rank->refused[AB_SCHED_REASON_FULL],
    .rate_limited = rank->refused[AB_SCHED_REASON_LIMIT],
    .no_target = rank->refused[AB_SCHED_REASON_NO_TARGET],
    .budget = rank->refused[AB_SCHED_REASON_BUDGET],
    .share = granted_share (rank->granted, rank->requested),
    .share_of_all = granted_share (shares->granted, shares->requested)
  };
  find_refused_team (shares, rank, refusals);
  memset (rank->refused, 0, sizeof rank->refused);
  return true;
}

json_t *
ab_sched_shares_state (const struct ab_sched_shares *shares)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < shares->rank_count; i++)
    {
      const struct ab_sched_rank *rank = &shares->ranks[i];
      json_array_append_new (
          list,
          json_pack ("{s:I, s:I, s:f, s:f, s:f}", "team_priority",
                     (json_int_t)rank->team_priority, "priority",
                     (json_int_t)rank->priority, "requested", rank->requested,
                     "granted", rank->granted, "credit", rank->credit));
    }
  return list;
}
