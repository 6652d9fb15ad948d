/* Assigns requests to the slots of targets, queues those that no free slot
   takes, and rejects those that cannot be served in time.

   One scheduler places all requests for a service's targets in a shard, which
   is a failure domain or the rest of a region (schedule_shards.h).  So it
   knows every slot in use and every outcome in the shard.  Load patterns that
   it handles:

   - Gray targets: a failure ejects the target for all hosts at once; only
     idempotent requests are sent to it again (target_health.h).
   - More requests than slots: they wait in the scheduler's queue, not at a
     target, ordered by priority and then by the time until their objective or
     deadline; requests that can still make their latency objective go before
     those that cannot.
   - Sustained overload: requests whose turn would come too late are rejected
     at once, with the time after which a slot is expected.
   - Retries of a failing service: a budget over a sliding window bounds the
     share that they add to the load, also when schedulers are replaced within
     the window (scheduler_budget.c).
   - Targets that name a rate limit: a token bucket bounds the requests that
     they get from the whole fleet; the rest is queued or rejected as when all
     slots are in use.
   - Targets that one host cannot reach: avoided for that host only.
   - Large bodies while all targets in the requester's failure domain are busy:
     they wait for a slot there for a fraction of the typical latency rather
     than cross between failure domains, where traffic is charged.

   No I/O: the caller passes the time, and decisions are returned through a
   table of callbacks.  */

#ifndef AB_SCHEDULER_H
#define AB_SCHEDULER_H

#include <jansson.h>

#include "fleet_state.h"
#include "rng.h"
#include "target_health.h"

#define AB_SCHED_TRIED_MAX 4

struct ab_scheduler;

struct ab_sched_slot_request
{
  uint64_t id; /* Unique over all hosts.  */
  char host[AB_ADDRESS_BYTES];
  char failure_domain[AB_NAME_BYTES];
  char service[AB_NAME_BYTES];
  /* Name of the shard whose targets are requested: a failure domain, or empty
     for the rest of the region.  */
  char shard[AB_NAME_BYTES];
  bool idempotent;
  /* Whether this is a retry: an earlier attempt reached a target.  */
  bool is_retry;
  /* Whether an earlier slot request was sent for the same request, so that a
     scheduler has counted it for the retry budget.  */
  bool is_counted;
  /* Whether the request may be queued; if not, it takes a free slot or
     nothing.  */
  bool may_wait;
  /* Whether the requester reads the free slots in a reply.  */
  bool wants_free;
  /* Whether the requester may spill over to another shard instead of waiting
     long.  */
  bool may_spill;
  /* Whether this host decides only because the shard's scheduler does not
     answer.  Not part of a message.  */
  bool last_resort;
  /* This host may use the fraction 1/RATE_DIVISOR of a target's rate limit, as
     other hosts may schedule at the same time; 0 counts as 1.  Not part of a
     message.  */
  uint64_t rate_divisor;
  /* Hosts that may place requests at the shard's targets at the same time,
     this one included, and where this host begins among the targets
     (stand_in.h); 0 counts as 1.  Not part of a message.  */
  size_t placers;
  double position;
  /* Whether the request or its response is so large that crossing between
     failure domains is expensive.  */
  bool large_body;
  /* Team of the caller; empty when the bundle has no teams.  */
  char team[AB_NAME_BYTES];
  /* Rank of the team; precedes PRIORITY.  0 is the most urgent.  */
  uint64_t team_priority;
  uint64_t priority; /* Rank of the route; 0 is the most urgent.  */
  /* Milliseconds until the response misses its latency objective.  */
  uint64_t objective_ms;
  /* Milliseconds until the request's deadline.  */
  uint64_t timeout_ms;
  /* Ids of targets that earlier attempts were sent to.  */
  char tried[AB_SCHED_TRIED_MAX][AB_NAME_BYTES];
  size_t tried_count;
};

/* An attempt in flight, as its host reports it to a scheduler that did not
   grant it.  */
struct ab_sched_attempt
{
  uint64_t id; /* Id of the slot request.  */
  char target[AB_NAME_BYTES];
  bool idempotent;
  bool is_retry;
  uint64_t age_ms;     /* Time since it was granted.  */
  uint64_t timeout_ms; /* Time between the grant and its deadline.  */
};

/* Largest number of attempts in one report.  A gateway has 2 to 10 in
   flight.  */
#define AB_SCHED_ADOPT_MAX 128

enum ab_sched_decision
{
  AB_SCHED_GRANTED,
  AB_SCHED_WAITING, /* Queued; another reply follows.  */
  /* A slot is expected here later; another shard may have one sooner.  */
  AB_SCHED_SPILL,
  AB_SCHED_FULL, /* No slot is expected in time.  */
  /* The service has no usable target in this shard.  */
  AB_SCHED_NO_TARGET,
  AB_SCHED_BUDGET_USED_UP, /* The retry budget is used up.  */
  /* Like AB_SCHED_FULL, because of targets' rate limits.  Not part of a
     message: there the target of an AB_SCHED_FULL says so.  */
  AB_SCHED_RATE_LIMITED
};

struct ab_sched_reply
{
  enum ab_sched_decision decision;
  uint64_t id; /* Of the slot request.  */
  /* The granted target.  With AB_SCHED_FULL and AB_SCHED_SPILL, a target
     without whose rate limit there would be room, or empty.  */
  char target[AB_NAME_BYTES];
  char address[AB_ADDRESS_BYTES];
  enum ab_target_health_state health_state;
  uint64_t waited_ms;
  uint64_t wait_ms; /* Until a slot is expected.  */
  uint64_t waiting; /* Requests queued for the service.  */
  /* Whether FREE_SLOTS is set and part of the message: hosts of an earlier
     version cannot read it.  */
  bool has_free;
  /* Free slots of the service in the shard, each weighted by the probability
     that its target is healthy, minus the queued requests; at least 0.  */
  uint64_t free_slots;
};

/* What the slots of a service in one shard do, as this host knows.  The slots
   of targets that accept requests are taken, free by the state of their
   targets, busy, closed or withheld.  */
struct ab_sched_census
{
  uint64_t slots;
  uint64_t taken; /* Requests in flight, at most the slots.  */
  uint64_t free[AB_TARGET_EJECTED]; /* By state of the target.  */
  uint64_t busy; /* Of targets that have just shed a request.  */
  uint64_t closed[AB_TARGET_EVENTS]; /* Of ejected targets, by outcome.  */
  uint64_t withheld; /* Left to other hosts that place requests, or cold.  */
};

/* Why requests of a rank got no slot in the last second or more.  */
struct ab_sched_refusals
{
  uint64_t team_priority;
  uint64_t priority; /* Of the route.  */
  uint64_t full;     /* No slot was expected in time.  */
  uint64_t rate_limited;
  uint64_t no_target;
  uint64_t budget; /* Retries beyond the budget.  */
  /* The team of this rank with most of the refusals, over all its routes;
     empty without teams.  */
  char team[AB_NAME_BYTES];
  uint64_t team_refused;
  /* Shares of this rank and of all requests that recently got a slot.  */
  double share;
  double share_of_all;
  uint64_t waiting; /* Requests queued for the service.  */
  struct ab_sched_census census;
};

struct ab_scheduler_ops
{
  void (*decide) (void *ctx, const struct ab_sched_slot_request *slot_request,
                  const struct ab_sched_reply *reply);
  /* Returns how many hosts may be regular schedulers of SERVICE at the same
     time.  Null: only this one.  */
  size_t (*count_schedulers) (void *ctx, const char *service);
  /* Returns whether this host is the regular scheduler of SERVICE in SHARD,
     rather than a stand-in for it.  Null: it is, and always was.  */
  bool (*is_primary) (void *ctx, const char *service, const char *shard);
  /* Reports that this host has become the regular scheduler, or is no longer.
     May be null.  */
  void (*role_changed) (void *ctx, const char *service, const char *shard,
                        bool is_regular);
  /* Reports refusals of one rank, at most once a second for each.  May be
     null.  */
  void (*refused) (void *ctx, const char *service, const char *shard,
                   const struct ab_sched_refusals *refusals);
};

struct ab_scheduler_config
{
  /* Retries allowed per first attempt within the window.  */
  double retry_fraction;
  /* Retries allowed in addition, divided among all schedulers of a
     service.  */
  double retry_extra;
  uint64_t retry_window_ms;
  /* Time for which two hosts may both take themselves for the regular
     scheduler.  */
  uint64_t role_overlap_ms;
};

struct ab_scheduler *
ab_scheduler_new (const struct ab_scheduler_config *config,
                  const struct ab_scheduler_ops *ops, void *ctx);
void ab_scheduler_free (struct ab_scheduler *scheduler);

/* Adds or updates a target, or moves it to another shard.  A target that
   drains or is deregistered gets no new requests.  */
void ab_scheduler_set_target (struct ab_scheduler *scheduler,
                              const struct ab_fleet_target *target,
                              const char *shard, uint64_t now_ms);

/* Sets the rate limit of the target ID in requests per 1000 s;
   AB_RATE_LIMIT_NONE removes it.  A new incarnation of a target has none.  */
void ab_scheduler_set_rate_limit (struct ab_scheduler *scheduler,
                                  const char *id, uint64_t per_1000_s,
                                  uint64_t now_ms);

/* Decides on a slot request; a retry with the same id gets the earlier
   decision.  The reply is passed to `decide', possibly before this function
   returns.  */
void
ab_scheduler_request_slot (struct ab_scheduler *scheduler,
                           const struct ab_sched_slot_request *slot_request,
                           uint64_t now_ms);

/* Ends the slot request ID.  EVENT says how its attempt ended;
   AB_TARGET_UNUSED means that no slot was granted or that the request was not
   sent.  AB_TARGET_LEAVING and AB_TARGET_PAUSED, with the pause as LATENCY_MS,
   end nothing.  */
void ab_scheduler_outcome (struct ab_scheduler *scheduler, uint64_t id,
                           enum ab_target_event event, uint64_t latency_ms,
                           uint64_t now_ms);

/* Counts ATTEMPT of HOST as in flight at its target until its outcome arrives,
   or for as long as a grant without an outcome.  Takes neither a token of a
   rate limit nor a retry of the budget: the scheduler that granted it did.
   Returns false, without an effect, if the attempt is known, the target is
   not, or the deadline has passed.  */
bool ab_scheduler_adopt (struct ab_scheduler *scheduler, const char *host,
                         const struct ab_sched_attempt *attempt,
                         uint64_t now_ms);

/* Targets with more requests in flight than slots, and requests beyond the
   slots.  */
struct ab_sched_overbooked
{
  uint64_t targets;
  uint64_t requests;
};

struct ab_sched_overbooked
ab_scheduler_overbooked (const struct ab_scheduler *scheduler);

/* Grants slots to queued requests, rejects those that cannot be served in time
   and releases grants without an outcome.  To be called every
   AB_SCHED_TICK_MS.  */
#define AB_SCHED_TICK_MS 50
void ab_scheduler_tick (struct ab_scheduler *scheduler, uint64_t now_ms);

/* Returns the targets as a new JSON array, for the state dump.  */
json_t *ab_scheduler_state (const struct ab_scheduler *scheduler,
                            uint64_t now_ms);
/* Returns the shares of the ranks of each service and shard as a new JSON
   array.  */
json_t *ab_scheduler_shares (const struct ab_scheduler *scheduler);
/* Returns the retry budget of each service and shard as a new JSON array.  */
json_t *ab_scheduler_budgets (const struct ab_scheduler *scheduler,
                              uint64_t now_ms);

#endif
