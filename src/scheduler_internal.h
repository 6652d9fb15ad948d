/* Internal structures and functions of the scheduler; see scheduler.h.

   - scheduler_targets.c keeps the state of targets.
   - scheduler_choice.c chooses a target for a request.
   - scheduler_share.c spreads the requests of several hosts that choose
   targets at the same time.
   - scheduler_adopt.c counts attempts that other schedulers granted.
   - scheduler_queue.c orders queued requests and estimates their waiting time.
   - scheduler_shares.c measures the shares of ranks and teams.
   - scheduler_budget.c enforces the retry budget.
   - scheduler_report.c reports state and refusals.
   - scheduler_failure_window.c measures the failure rate of a service.
   - scheduler.c handles slot requests and outcomes.  */

#ifndef AB_SCHEDULER_INTERNAL_H
#define AB_SCHEDULER_INTERNAL_H

#include <uthash.h>

#include "rate_bucket.h"
#include "scheduler.h"
#include "scheduler_shares.h"

#define AB_SCHED_PATHS_MAX 32
#define AB_SCHED_CUT_HOSTS_MAX 64
/* A host whose pause is not recorded rejects grants of the target itself.  */
#define AB_SCHED_PAUSES_MAX 64
#define AB_SCHED_BUCKETS 32
/* The failure rate of a service is measured over this many slices of time,
   each of AB_SCHED_SLICE_MS.  */
#define AB_SCHED_SLICES 8
#define AB_SCHED_SLICE_MS 250
/* Part of the time until the deadline that is reserved for delivering the
   response to the caller.  */
#define AB_SCHED_REPLY_MARGIN_MS 30

struct ab_sched_service;

/* A host whose requests a target does not get until some time.  */
struct ab_sched_path
{
  uint64_t host; /* Rendezvous hash of the host's address.  */
  uint64_t until_ms;
};

/* A host that could not reach some targets which responded to others.  */
struct ab_sched_cut_host
{
  uint64_t host; /* Rendezvous hash of the host's address.  */
  uint64_t until_ms;
  unsigned paths; /* Targets that it could not reach since.  */
};

struct ab_sched_target
{
  struct ab_fleet_target fleet_target;
  struct ab_target_health health;
  struct ab_sched_service *service;
  struct ab_sched_target *prev; /* Links of the service's TARGETS.  */
  struct ab_sched_target *next;
  uint64_t in_flight;
  uint64_t adopted; /* Those in flight that other schedulers granted.  */
  /* Requests in flight that were sent as trial requests, while the target was
     not healthy.  */
  uint64_t trial_requests;
  uint64_t joined_ms;
  uint64_t cold_until_ms;
  uint64_t last_ended_ms;   /* When a request last ended.  */
  uint64_t last_granted_ms; /* When a slot was last granted.  */
  uint64_t answered_ms;     /* When it last responded to any host.  */
  /* Whether this incarnation was granted a request.  */
  bool used;
  /* Whether this incarnation says that it leaves.  */
  bool leaving;
  struct ab_sched_path broken_paths[AB_SCHED_PATHS_MAX];
  uint64_t broken_until_ms; /* End of the last of them.  */
  /* Hosts from which it wants no requests for some time.  */
  struct ab_sched_path pauses[AB_SCHED_PAUSES_MAX];
  uint64_t paused_until_ms; /* End of the last of them.  */
  struct ab_rate_bucket rate;
  uint64_t id_hash; /* Rendezvous hash of the target's id.  */
  double cost;      /* In the last choice; HUGE_VAL: not eligible.  */
  UT_hash_handle hh;
};

/* A slot request that is queued or granted.  */
struct ab_sched_request
{
  struct ab_sched_slot_request slot_request;
  struct ab_sched_request *prev; /* Links of WAITING or GRANTED.  */
  struct ab_sched_request *next;
  struct ab_sched_service *service;
  struct ab_sched_target *target; /* Null while queued.  */
  struct ab_sched_place place;
  uint64_t arrived_ms;
  uint64_t granted_ms;
  bool is_trial;
  bool is_adopted; /* Another scheduler granted it.  */
  /* Whether a retry of the budget is set aside for it.  */
  bool reserves_retry;
  /* Recorded as having lasted longer than a quick failure, which is evidence
     that the target works.  */
  bool survived;
  /* Recorded as taking longer than most, which is evidence that the target is
     gray.  */
  bool overdue;
  /* Whether the request could make its objective when the queue was last
     sorted.  */
  bool makes_objective;
  /* Milliseconds until the objective if MAKES_OBJECTIVE, else until the
     deadline, when the queue was last sorted.  */
  uint64_t remaining_ms;
  UT_hash_handle hh;
};

/* First attempts that were requested, and retries that were granted, in one
   second.  */
struct ab_sched_bucket
{
  uint64_t second;
  uint64_t first_attempts;
  uint64_t retries;
};

/* Since when this host has been the regular scheduler.  */
struct ab_sched_role
{
  uint64_t since_ms; /* 0: it is not.  */
  uint64_t checked_ms;
  size_t schedulers; /* Hosts that may be regular schedulers of the service at
                        the same time; at least 1.  */
};

#define AB_SCHED_CREDIT_SLOTS 16

struct ab_sched_credit_slot
{
  uint64_t number; /* Time divided by the length of a slot.  */
  double earned;
};

/* Retries that may be granted.  */
struct ab_sched_credit
{
  double amount;
  double saved_max; /* Upper limit of AMOUNT: what was earned in SLOTS.  */
  struct ab_sched_credit_slot slots[AB_SCHED_CREDIT_SLOTS];
  uint64_t updated_ms;
};

/* Counts of requests that ended during one slice of time.  */
struct ab_sched_slice
{
  /* Time divided by AB_SCHED_SLICE_MS.  */
  uint64_t number;
  unsigned ended;
  /* Requests counted in ENDED that were not served.  */
  unsigned failed;
};

struct ab_sched_failure_window
{
  struct ab_sched_slice slices[AB_SCHED_SLICES];
};

/* Slots that were granted while requests were queued.  */
struct ab_sched_throughput
{
  uint64_t busy_since_ms; /* Since when requests have been queued; 0: none.  */
  double per_ms;          /* Moving average since then.  */
  uint64_t updated_ms;
};

/* Requests that must not repeat and were sent to targets that were idle for
   long, to test them.  */
struct ab_sched_order_tests
{
  double used; /* At LAST_MS, of those that may follow each other.  */
  uint64_t last_ms;
};

/* The targets of a service in one shard, and the slot requests for them.  */
struct ab_sched_service
{
  char key[2 * AB_NAME_BYTES]; /* Name, line feed, shard.  */
  struct ab_sched_target *targets;
  struct ab_sched_request *waiting;
  size_t waiting_count;
  struct ab_sched_request *granted;
  double latency_ms;
  struct ab_sched_failure_window failure_window;
  struct ab_sched_shares shares;
  struct ab_sched_throughput throughput;
  /* When a request was last rejected because no slot was expected in time.  */
  uint64_t last_full_ms;
  uint64_t last_report_ms; /* Of refusals.  */
  /* When queued requests were last checked for whether they can be served.  */
  uint64_t last_checked_ms;
  struct ab_sched_order_tests order_tests;
  struct ab_sched_cut_host cut_hosts[AB_SCHED_CUT_HOSTS_MAX];
  struct ab_sched_bucket buckets[AB_SCHED_BUCKETS];
  uint64_t reserved_retries; /* Of queued requests.  */
  struct ab_sched_role role;
  struct ab_sched_credit credit;
  /* Of the last slot request, see struct ab_sched_slot_request.  */
  size_t placers;
  double position;
  UT_hash_handle hh;
};

struct ab_scheduler
{
  struct ab_scheduler_config config;
  const struct ab_scheduler_ops *ops;
  void *ctx;
  struct ab_sched_service *services;
  struct ab_sched_target *targets;
  struct ab_sched_request *requests;
};

struct ab_sched_service *ab_sched_get_service (struct ab_scheduler *scheduler,
                                               const char *name,
                                               const char *shard);
/* Returns the typical latency of a response in milliseconds.  */
double ab_sched_typical_latency_ms (const struct ab_sched_service *service);

/* Functions of scheduler_targets.c.  */

void ab_sched_remove_target (struct ab_scheduler *scheduler,
                             struct ab_sched_target *target);
/* Returns the slots of TARGET that this host may use: a cold target works at
   half its speed and has half of its slots.  */
uint64_t ab_sched_target_slots (const struct ab_sched_target *target,
                                uint64_t now_ms);
/* Returns whether TARGET takes new requests.  */
bool ab_sched_target_accepts (const struct ab_sched_target *target);
/* Records that TARGET wants no request from HOST for PAUSE_MS.  */
void ab_sched_record_pause (struct ab_sched_target *target, uint64_t host,
                            uint64_t pause_ms, uint64_t now_ms);
/* Returns what is left of the pause that TARGET asked HOST for; 0: none.  */
uint64_t ab_sched_pause_left_ms (const struct ab_sched_target *target,
                                 uint64_t host, uint64_t now_ms);
bool ab_sched_path_broken (const struct ab_sched_target *target, uint64_t host,
                           uint64_t now_ms);

/* Returns whether the host of REQUEST recently could not reach several targets
   which responded to others, so that what it misses says little about
   targets.  */
bool ab_sched_host_is_cut (const struct ab_sched_request *request,
                           uint64_t now_ms);
/* Returns whether EVENT, with which REQUEST ended, says something of the path
   from its host to TARGET and not of TARGET, and records that.  */
bool ab_sched_record_path_failure (struct ab_sched_target *target,
                                   const struct ab_sched_request *request,
                                   enum ab_target_event event,
                                   uint64_t now_ms);

/* Functions of scheduler_failure_window.c.  */

void ab_sched_failure_window_record (struct ab_sched_failure_window *window,
                                     bool failed, uint64_t now_ms);
/* Returns whether a service is degraded: many of its requests are not served.
   Requests must then be spread over more than the few healthy targets, or most
   of the service would be idle.  */
bool ab_sched_is_degraded (const struct ab_sched_failure_window *window,
                           uint64_t now_ms);

/* Functions of scheduler_choice.c.  */

/* Number of targets of a service at one moment, by health state.  */
struct ab_sched_summary
{
  size_t ready;
  size_t usable; /* Healthy or untested, free or not.  */
  /* Targets that are not healthy and have a trial request in flight.  */
  size_t under_trial;
  /* Usable slots of healthy targets, free or not.  */
  uint64_t healthy_slots;
  size_t healthy_free; /* Healthy with a free slot.  */
  size_t untested_free;
  size_t suspect_free;
};

/* Returns the number of targets that have a free slot and are not ejected.  */
static inline size_t
ab_sched_free_targets (const struct ab_sched_summary *summary)
{
  return summary->healthy_free + summary->untested_free
         + summary->suspect_free;
}

void ab_sched_summarise (const struct ab_sched_service *service,
                         uint64_t now_ms, struct ab_sched_summary *summary);
/* Returns whether any target may be free for a slot request that has waited
   for WAITED_MS.  Cheaper than a choice.  */
bool ab_sched_may_choose (const struct ab_sched_service *service,
                          const struct ab_sched_summary *summary,
                          const struct ab_sched_slot_request *slot_request,
                          uint64_t waited_ms, uint64_t now_ms);
/* Returns the best target with a free slot for a slot request that has waited
   for WAITED_MS, or null.  With LOCAL_ONLY, only targets in the requester's
   failure domain are considered.  */
struct ab_sched_target *
ab_sched_choose_target (const struct ab_sched_service *service,
                        const struct ab_sched_summary *summary,
                        const struct ab_sched_slot_request *slot_request,
                        uint64_t waited_ms, bool local_only, uint64_t now_ms);
/* Returns the best untested target with a free slot for a slot request that
   has waited for WAITED_MS and would be rejected otherwise, or null.  */
struct ab_sched_target *
ab_sched_choose_untested (const struct ab_sched_service *service,
                          const struct ab_sched_slot_request *slot_request,
                          uint64_t waited_ms, uint64_t now_ms);
/* Records that TARGET, which is not healthy, gets a request that must not
   repeat; counted if it was idle for long.  */
void ab_sched_record_order_test (struct ab_sched_service *service,
                                 const struct ab_sched_target *target,
                                 uint64_t now_ms);
/* What the targets of a service that are not ejected can serve, each weighted
   by the probability that its target is healthy.  */
struct ab_sched_capacity
{
  /* Slots, of a target with a rate limit only as many as its limit fills.  */
  double slots;
  double unlimited_slots; /* Slots if no target had a rate limit.  */
  /* Requests that targets whose limits are used up take sooner (later, if
     negative) than their limits say on average.  */
  double tokens;
  /* The target whose rate limit takes away most slots, or null.  */
  const struct ab_sched_target *most_limited;
  /* Whether this is what there would be without rate limits.  */
  bool is_hypothetical;
};

void ab_sched_measure_capacity (const struct ab_sched_service *service,
                                uint64_t now_ms,
                                struct ab_sched_capacity *capacity);
/* Returns the milliseconds until some target of SERVICE takes requests of the
   requester again; 0 if one does, or if no target accepts requests at all.  */
uint64_t
ab_sched_requester_pause_ms (const struct ab_sched_service *service,
                             const struct ab_sched_slot_request *slot_request,
                             uint64_t now_ms);
/* Returns whether there is a busy, healthy target in the requester's failure
   domain that is worth waiting for.  */
bool ab_sched_local_target_is_busy (
    const struct ab_sched_service *service,
    const struct ab_sched_slot_request *slot_request, uint64_t now_ms);

/* Functions of scheduler_share.c.  */

/* Stores how this host shares the targets of SERVICE with other hosts that
   place requests there.  */
void ab_sched_set_share (struct ab_sched_service *service,
                         const struct ab_sched_slot_request *slot_request);
/* Returns how many of the SLOTS of TARGET this host may use.  */
uint64_t ab_sched_shared_slots (const struct ab_sched_target *target,
                                uint64_t slots);
/* Returns how many requests this host may have in flight at all targets of
   SERVICE together; UINT64_MAX if it places alone.  */
uint64_t ab_sched_share_of_service (const struct ab_sched_service *service);
/* Returns whether this host has that many in flight.  */
bool ab_sched_share_used_up (const struct ab_sched_service *service);
/* Returns the free slots of SERVICE, see struct ab_sched_reply.  */
uint64_t ab_sched_free_slots (const struct ab_sched_service *service,
                              uint64_t now_ms);
/* Returns a target among those whose COST is nearly BEST_COST: one with the
   fewest requests of this host, beginning at its position.  So hosts that
   choose at the same time choose different targets.  */
struct ab_sched_target *
ab_sched_spread (const struct ab_sched_service *service, double best_cost);

/* Functions of scheduler_queue.c.  */

/* Returns what remains of SPAN_MS, counted from the arrival of REQUEST; 0 if
   it has passed.  */
uint64_t ab_sched_remaining_ms (uint64_t span_ms,
                                const struct ab_sched_request *request,
                                uint64_t now_ms);
/* Returns whether too little time remains for a response.  */
bool ab_sched_too_late (const struct ab_sched_request *request,
                        uint64_t now_ms);
/* Returns the queued requests in the order in which they are served, as an
   array that the caller frees, or null without memory.  */
struct ab_sched_request **
ab_sched_list_waiting (struct ab_sched_service *service, uint64_t now_ms);
/* Returns the milliseconds until it is the turn of REQUEST with AHEAD others
   before it, given CAPACITY with some slots.  New arrivals of more urgent
   ranks take their part of the slots first.  */
double ab_sched_queue_wait_ms (const struct ab_sched_request *request,
                               size_t ahead,
                               const struct ab_sched_capacity *capacity,
                               uint64_t now_ms);
/* Returns the longest wait in milliseconds with which REQUEST, which has just
   arrived, is queued.  In a burst that is what its deadline leaves.  In a
   lasting backlog requests that miss their objective are overtaken by those
   that come later, so that only one that can make it is queued.  */
double ab_sched_admission_limit_ms (const struct ab_sched_request *request,
                                    uint64_t now_ms);
/* Records whether requests of SERVICE are queued, and a grant of a slot.  */
void ab_sched_record_backlog (struct ab_sched_service *service,
                              uint64_t now_ms);
void ab_sched_record_grant (struct ab_sched_service *service, uint64_t now_ms);
/* Returns how many queued requests are served before REQUEST.  */
size_t ab_sched_count_ahead (const struct ab_sched_request *request,
                             uint64_t now_ms);

/* Functions of scheduler_report.c.  */

struct ab_sched_census
ab_sched_take_census (const struct ab_sched_service *service, uint64_t now_ms);
/* Reports refusals to the caller of the scheduler, if it is time.  */
void ab_sched_report_refusals (const struct ab_scheduler *scheduler,
                               struct ab_sched_service *service,
                               uint64_t now_ms);

/* Functions of scheduler_budget.c.  */

void ab_sched_count_first_attempt (const struct ab_scheduler *scheduler,
                                   struct ab_sched_service *service,
                                   uint64_t now_ms);
/* Updates since when this host has been the regular scheduler of SERVICE.  */
void ab_sched_check_role (const struct ab_scheduler *scheduler,
                          struct ab_sched_service *service, uint64_t now_ms);
/* Sets one retry of the budget aside for REQUEST, which is queued; returns
   false when the budget is used up.  */
bool ab_sched_reserve_retry (const struct ab_scheduler *scheduler,
                             struct ab_sched_request *request,
                             uint64_t now_ms);
/* Returns the credit that retries of SLOT_REQUEST may use, as of the last
   tick.  */
double
ab_sched_spare_credit (const struct ab_sched_service *service,
                       const struct ab_sched_slot_request *slot_request);
/* Returns the retry that is set aside for REQUEST to the budget, if any.  */
void ab_sched_return_retry (struct ab_sched_request *request);
/* Returns whether REQUEST, if a retry is set aside for it, may still be
   granted: credit that was saved when it was queued may have expired.  */
bool ab_sched_may_spend_retry (const struct ab_scheduler *scheduler,
                               const struct ab_sched_request *request,
                               uint64_t now_ms);
/* Updates the role of this host and the credit of SERVICE; called on every
   tick.  */
void ab_sched_tick_budget (const struct ab_scheduler *scheduler,
                           struct ab_sched_service *service, uint64_t now_ms);
/* Counts the retry that is set aside for REQUEST as sent, if any.  */
void ab_sched_spend_retry (struct ab_sched_request *request, uint64_t now_ms);

#endif
