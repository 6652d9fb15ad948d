/* Measures which part of a service's slot requests gets a slot, by rank and by
   team, and keeps a minimum of the slots for those that get few.

   The rank of a request is (team priority, route priority), compared
   lexicographically.  In an overload the slots go to the most urgent ranks
   first, so that the others would starve.  Each rank, and each team in a
   rank, therefore earns credit with its requests: a fraction of the share of
   all requests of the service that get a slot.  A request that finds a whole
   credit is placed before all ranks.  As credit is a fraction of what the
   service grants, the slots taken that way are bounded, whatever the load.

   Within a rank, teams take turns: the Nth queued request of a team is placed
   in the Nth round, so that a team with many requests gets an equal share
   while others wait.

   Teams without recent requests are not kept.  No I/O.  */

#ifndef AB_SCHEDULER_SHARES_H
#define AB_SCHEDULER_SHARES_H

#include <jansson.h>
#include <uthash.h>

#include "scheduler.h"

/* Number of ranks that are told apart; a rank beyond them counts as the next
   less urgent one, or as the last.  */
#define AB_SCHED_RANKS_MAX 16
/* Number of teams with a share of their own.  With more, the one without
   requests for longest is forgotten.  */
#define AB_SCHED_TEAMS_MAX 256
/* Number of route priorities in which a team takes turns with others; with
   more, its turns in one of them start anew.  */
#define AB_SCHED_TEAM_KINDS 4

/* Why requests got no slot.  */
enum ab_sched_reason
{
  AB_SCHED_REASON_FULL,  /* No slot was expected in time.  */
  AB_SCHED_REASON_LIMIT, /* Not in time because of targets' rate limits.  */
  AB_SCHED_REASON_NO_TARGET,
  AB_SCHED_REASON_BUDGET, /* Retries beyond the budget.  */
  AB_SCHED_REASONS
};

struct ab_sched_rank
{
  uint64_t team_priority;
  uint64_t priority;
  double arrival_rate; /* Requests per millisecond.  */
  double grant_rate;   /* Slots per millisecond, for a shorter time.  */
  double next_rate;    /* Those of teams that had no other one queued.  */
  /* Requests, and slots granted, in about the last AB_SCHED_SHARE_WINDOW_MS.
   */
  double requested;
  double granted;
  double credit;
  uint64_t round;                     /* In which a slot was last granted.  */
  uint64_t refused[AB_SCHED_REASONS]; /* Since the last report.  */
};

/* Rounds of a team in one rank.  */
struct ab_sched_team_kind
{
  uint64_t priority; /* Of the route.  */
  uint64_t round;    /* Of the last request; 0: not in use.  */
};

struct ab_sched_team
{
  char name[AB_NAME_BYTES];
  uint64_t priority;
  struct ab_sched_team_kind kinds[AB_SCHED_TEAM_KINDS];
  size_t next_kind; /* The next to be replaced.  */
  double credit;
  uint64_t refused; /* Since the last report.  */
  UT_hash_handle hh;
};

/* To be initialised with zeros.  */
struct ab_sched_shares
{
  struct ab_sched_rank ranks[AB_SCHED_RANKS_MAX]; /* Most urgent first.  */
  size_t rank_count;
  /* Latest round of any rank.  A rank that is forgotten and occurs again
     begins there, not before the rounds of its teams.  */
  uint64_t last_round;
  struct ab_sched_team *teams; /* Longest without requests first.  */
  /* All requests, slots and slots granted out of order, in about the last
     AB_SCHED_SHARE_WINDOW_MS.  */
  double requested;
  double granted;
  double reserved;
  uint64_t updated_ms;
};

/* How a slot request is placed in the queue.  */
struct ab_sched_place
{
  bool is_reserved; /* Before all ranks.  */
  uint64_t round;   /* 0 without a team.  */
};

#define AB_SCHED_SHARE_WINDOW_MS 5000

void ab_sched_shares_clear (struct ab_sched_shares *shares);

/* Returns whether rank A is more urgent than rank B (negative), less
   (positive) or the same (0).  */
int ab_sched_compare_rank (const struct ab_sched_slot_request *a,
                           const struct ab_sched_slot_request *b);

/* Counts a new slot request and sets its PLACE.  A retry is counted for the
   order of the queue, but not for the shares.  A request that may not wait
   comes from a host that asks in several shards one after the other; it counts
   only if it gets a slot.  */
void ab_sched_shares_arrival (struct ab_sched_shares *shares,
                              const struct ab_sched_slot_request *slot_request,
                              struct ab_sched_place *place, uint64_t now_ms);

/* Records that a slot was granted.  */
void ab_sched_shares_grant (struct ab_sched_shares *shares,
                            const struct ab_sched_slot_request *slot_request,
                            const struct ab_sched_place *place,
                            uint64_t now_ms);

/* Records that a request got no slot because of DECISION.  With
   AB_SCHED_SPILL, or if it may not wait, its host asks in another shard, and
   may come back.  */
void ab_sched_shares_reject (struct ab_sched_shares *shares,
                             const struct ab_sched_slot_request *slot_request,
                             const struct ab_sched_place *place,
                             enum ab_sched_decision decision, uint64_t now_ms);

/* Returns the recent arrival rate, per millisecond, of all ranks that are more
   urgent than that of SLOT_REQUEST.  */
double
ab_sched_shares_rate_above (struct ab_sched_shares *shares,
                            const struct ab_sched_slot_request *slot_request,
                            uint64_t now_ms);

/* Returns the slots per millisecond that are granted out of order.  */
double ab_sched_shares_reserved_rate (struct ab_sched_shares *shares,
                                      uint64_t now_ms);

/* Returns the slots per millisecond that SLOT_REQUEST's rank got just now.  */
double
ab_sched_shares_grant_rate (struct ab_sched_shares *shares,
                            const struct ab_sched_slot_request *slot_request,
                            uint64_t now_ms);

/* Returns the recent rate, per millisecond, of requests of the same rank that
   are placed before one at PLACE although they come later; 0 without a
   team.  */
double
ab_sched_shares_rate_before (struct ab_sched_shares *shares,
                             const struct ab_sched_slot_request *slot_request,
                             const struct ab_sched_place *place,
                             uint64_t now_ms);

/* Takes the refusals of one rank since the last report, with its shares, and
   begins anew.  Returns false when there are none.  */
bool ab_sched_shares_take_refusals (struct ab_sched_shares *shares,
                                    struct ab_sched_refusals *refusals,
                                    uint64_t now_ms);

/* Returns the ranks as a new JSON array, for the state dump.  */
json_t *ab_sched_shares_state (const struct ab_sched_shares *shares);

/* Returns the class, from 0 to CLASSES - 1, of a slot request: the position of
   its rank among those that occur.  */
size_t ab_sched_shares_class (const struct ab_sched_shares *shares,
                              const struct ab_sched_slot_request *slot_request,
                              size_t classes);

#endif
