/* Fleet-wide rate limits of teams: the decisions of a control host.

   Every control host grants tokens from a bucket for each team.  The bucket's
   rate and capacity are a fraction of the whole limit: a fixed floor and a
   lease from the leader of the control group.  What is not leased is the
   leader's pool, which grants tokens to hosts whose own bucket is empty.  All
   fractions add up to at most 1, so that the buckets together never grant more
   than one bucket with the whole limit, apart from one token for each bucket,
   which is its least capacity.  docs/design/team-limits.md has the arithmetic.

   Nothing is stored: a new process has empty buckets and no lease, and a new
   leader waits until its predecessor has stopped, then renews for one lease
   time what holders say that they hold.

   Times are milliseconds of a monotonic clock that counts the time of a
   suspension.  No I/O.  */

#ifndef AB_TEAM_LIMIT_H
#define AB_TEAM_LIMIT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chunk.h"
#include "team_lease.h"

/* A team's limit as in the bundle.  */
struct ab_team_rate
{
  uint64_t rate_per_s;
  uint64_t burst;
};

struct ab_team_limit_config
{
  uint64_t window_ms;
  double overshoot;
  uint64_t slack;
  /* A leader that a majority confirmed up to this time ago may grant.  */
  uint64_t leader_valid_ms;
  /* A new leader waits for this time, which must be longer.  */
  uint64_t leader_wait_ms;
  uint64_t life; /* Random number of this process, not 0.  */
};

/* The whole limit that the buckets divide.  */
struct ab_team_whole
{
  double rate;        /* Tokens per second.  */
  double size;        /* Tokens at once.  */
  double least;       /* Least capacity of a host's bucket: 0 or 1.  */
  uint64_t return_ms; /* A token may be returned within this time.  */
};

/* Computes the whole that keeps (rate x window + burst) x (1 + overshoot) +
   slack with HOSTS control hosts.  */
struct ab_team_whole
ab_team_whole_of (const struct ab_team_limit_config *config,
                  const struct ab_team_rate *rate, size_t hosts);

/* Answer to a request for tokens.  */
struct ab_team_answer
{
  uint64_t granted;
  uint64_t retry_ms; /* When none was granted: the time until there is one. */
  /* The host that granted and when, needed to return tokens.  */
  uint64_t grantor;
  uint64_t stamp_ms;
};

struct ab_team_limits;

struct ab_team_limits_ops
{
  /* Stores the limit of TEAM; returns false if it has none.  */
  bool (*rate) (void *ctx, struct ab_chunk team, struct ab_team_rate *rate);
};

struct ab_team_limits *
ab_team_limits_new (const struct ab_team_limit_config *config,
                    const struct ab_team_limits_ops *ops, void *ctx,
                    uint64_t now_ms);
void ab_team_limits_free (struct ab_team_limits *limits);

/* To be called after a change of the bundle or of the number of control hosts
   of the group; HOSTS is 0 while this host is not a member.  */
void ab_team_limits_configure (struct ab_team_limits *limits, size_t hosts,
                               uint64_t now_ms);

/* As a control host.  */

/* Records that what this host knows was current at AS_OF_MS.  The floor is
   used only within one window after that: the limit may have been lowered, or
   this host replaced, since.  */
void ab_team_limits_contact (struct ab_team_limits *limits, uint64_t as_of_ms);

/* Takes up to COUNT tokens of TEAM from this host's bucket.  Returns 0,
   AB_ERR_FULL when there are none, AB_ERR_STALE when the floor may not be used
   and there is no lease, AB_ERR_NOT_FOUND for a team without a limit, or
   AB_ERR_MEMORY.  */
int ab_team_limits_take (struct ab_team_limits *limits, struct ab_chunk team,
                         uint64_t count, uint64_t now_ms,
                         struct ab_team_answer *answer);

/* Puts tokens back that this host granted, as bucket or as pool, at STAMP_MS.
   Returns whether they could be credited.  */
bool ab_team_limits_credit (struct ab_team_limits *limits,
                            struct ab_chunk team, uint64_t count,
                            uint64_t grantor, uint64_t stamp_ms,
                            uint64_t now_ms);

/* A team's line in a message that reports demand and claims leases.  */
struct ab_team_demand
{
  char team[AB_NAME_BYTES];
  double demand;
  double held;
};

/* Stores up to MAX teams that had requests since the last call in DEMANDS, for
   message NUMBER that is sent at NOW_MS, and returns their number.  Only the
   reply to the last message that names a team counts.  */
size_t ab_team_limits_collect (struct ab_team_limits *limits, uint64_t number,
                               struct ab_team_demand *demands, size_t max,
                               uint64_t now_ms);
/* Accepts the reply of FRACTION for TEAM to message NUMBER.  A RENEWAL extends
   what is held and adds nothing.  */
void ab_team_limits_accept (struct ab_team_limits *limits,
                            struct ab_chunk team, uint64_t number,
                            double fraction, bool renewal, uint64_t now_ms);

/* As the leader.  */

/* Sets whether this host leads the control group, and in which TERM.  */
void ab_team_limits_lead (struct ab_team_limits *limits, bool leader,
                          uint64_t term, uint64_t now_ms);
/* Records that a majority confirmed the leader of TERM for a read that was
   started at STARTED_MS.  */
void ab_team_limits_confirm (struct ab_team_limits *limits, uint64_t term,
                             uint64_t started_ms);
/* Returns the time since the start of the last confirmed read; UINT64_MAX if
   there was none in this term or this host is not the leader.  */
uint64_t ab_team_limits_confirmed_age_ms (const struct ab_team_limits *limits,
                                          uint64_t now_ms);
/* Returns whether this host may grant leases and tokens of the pool.  */
bool ab_team_limits_serves (const struct ab_team_limits *limits,
                            uint64_t now_ms);

/* Decides on a claim for TEAM.  Returns 0, AB_ERR_NOT_LEADER while this host
   may not grant, AB_ERR_NOT_FOUND, or an error of ab_team_leases_grant.  */
int ab_team_limits_lease (struct ab_team_limits *limits, struct ab_chunk team,
                          const struct ab_team_claim *claim, uint64_t now_ms,
                          double *fraction, bool *renewal);
/* Takes up to COUNT tokens of TEAM from the pool.  Returns 0, AB_ERR_FULL,
   AB_ERR_NOT_LEADER, AB_ERR_NOT_FOUND or AB_ERR_MEMORY.  */
int ab_team_limits_pool_take (struct ab_team_limits *limits,
                              struct ab_chunk team, uint64_t count,
                              uint64_t now_ms, struct ab_team_answer *answer);

/* Returns the number of teams in memory.  */
size_t ab_team_limits_count (const struct ab_team_limits *limits);
/* Returns the largest fraction that this host may use for TEAM.  */
double ab_team_limits_fraction (const struct ab_team_limits *limits,
                                struct ab_chunk team, uint64_t now_ms);
/* Returns a state dump of up to MAX teams.  */
json_t *ab_team_limits_state (struct ab_team_limits *limits, size_t max,
                              uint64_t now_ms);

#endif
