/* Structures shared by the files of the policy simulation.  */

#ifndef POLICY_SIMULATION_PARTS_LIB_H
#define POLICY_SIMULATION_PARTS_LIB_H

#include "dispatcher.h"
#include "policy_simulation_lib.h"
#include "retry_budget.h"

#define POLICY_QUEUE_MAX 64
#define POLICY_ATTEMPTS_MAX 3
/* One-way network delays.  */
#define POLICY_HOST_DELAY_US 300     /* Within a failure domain.  */
#define POLICY_TARGET_DELAY_US 500   /* Between a host and a target.  */
#define POLICY_DOMAIN_DELAY_US 1000  /* Between domains of a region.  */
#define POLICY_REGION_DELAY_US 20000 /* Between regions.  */
/* Resolution in time of the requests that the fault affects.  */
#define POLICY_BINS_PER_S 10
#define POLICY_BINS (POLICY_SECONDS_MAX * POLICY_BINS_PER_S)

enum policy_event_kind
{
  POLICY_EVENT_ARRIVAL,
  POLICY_EVENT_SLOT_REQUEST, /* A: request; B: failure domain.  */
  POLICY_EVENT_GRANTED,      /* A: request; B: target.  */
  POLICY_EVENT_REFUSED,      /* A: request; B: whether it may spill over.  */
  POLICY_EVENT_REACH_TARGET, /* A: request; B: target.  */
  POLICY_EVENT_SERVICE_DONE, /* A: request; B: target.  */
  POLICY_EVENT_RESPONSE,     /* A: request; B: outcome kind.  */
  POLICY_EVENT_DEADLINE,     /* A: request.  */
  POLICY_EVENT_TICK,
  POLICY_EVENT_SECOND,
  POLICY_EVENT_PERMIT, /* A: failure domain; B: whether granted.  */
  POLICY_EVENT_PROBED, /* A: target; B: whether healthy.  */
  POLICY_EVENT_CRASH,
  POLICY_EVENT_RESTART, /* A: target.  */
  POLICY_EVENT_CRASHING_REQUEST
};

struct policy_event
{
  uint64_t at_us;
  uint64_t order; /* Breaks ties in the order of insertion.  */
  enum policy_event_kind kind;
  int a;
  int b;
  uint32_t generation;
};

struct policy_request
{
  bool used;
  bool sent;
  bool crashes_target; /* Crashes the target that it reaches.  */
  /* Changes with each attempt, so that events of an earlier attempt are
     ignored.  */
  uint32_t generation;
  int host;
  int target;
  int domain; /* Failure domain whose dispatcher has the request.  */
  int spills;
  int attempts;
  int crashes;
  uint64_t arrival_us;
  uint64_t deadline_us;
  uint64_t sent_us;
  uint64_t grant;
  bool granted;
  int excluded[AB_DISPATCHER_EXCLUDED_MAX];
  size_t excluded_count;
};

struct policy_job
{
  int request;
  uint32_t generation;
};

struct policy_target
{
  char name[16];
  int domain;
  uint64_t incarnation;
  bool down;
  bool out; /* Ejected by the dispatcher.  */
  uint64_t started_us;
  struct policy_job busy[POLICY_SLOTS_MAX];
  size_t busy_count;
  struct policy_job queue[POLICY_QUEUE_MAX];
  size_t queue_count;
};

/* State of one host for the policies without a dispatcher.  */
struct policy_host
{
  char name[16];
  struct ab_retry_budget budget;
  int next_target;
  int outstanding[POLICY_TARGETS_MAX];
  int errors_in_a_row[POLICY_TARGETS_MAX];
  int ejection_counts[POLICY_TARGETS_MAX];
  uint64_t out_until_us[POLICY_TARGETS_MAX];
  int leased[POLICY_TARGETS_MAX];
  uint64_t demand;
  int waiting[512];
  size_t waiting_count;
};

struct policy_simulation;

struct policy_env
{
  struct ab_dispatcher_env env;
  struct policy_simulation *simulation;
  int domain;
  struct ab_dispatcher *dispatcher;
};

struct policy_simulation
{
  struct policy_setup setup;
  struct policy_result *result;
  uint64_t now_us;
  uint64_t next_order;
  struct ab_rng rng;
  struct ab_rng choice_rng;
  struct policy_event *heap;
  size_t heap_count;
  size_t heap_size;
  struct policy_request *requests;
  size_t request_count;
  size_t free_request; /* All entries below this index are in use.  */
  struct policy_target targets[POLICY_TARGETS_MAX];
  struct policy_host hosts[POLICY_HOSTS];
  struct policy_env domains[POLICY_DOMAINS];
  size_t permits_out;
  int faulty_target;
  uint64_t first_affected_us;
  uint32_t affected_sends[POLICY_BINS]; /* Requests that the fault affects.  */
};

/* policy_simulation_lib.c  */
void policy_push (struct policy_simulation *simulation, uint64_t at_us,
                  enum policy_event_kind kind, int a, int b,
                  uint32_t generation);
bool policy_fault_is_active (const struct policy_simulation *simulation);
void policy_start_attempt (struct policy_simulation *simulation, int request);
void policy_finish (struct policy_simulation *simulation, int request,
                    bool good, bool refused);
void policy_send (struct policy_simulation *simulation, int request,
                  int target);

/* policy_target_lib.c  */
void policy_reach_target (struct policy_simulation *simulation, int request,
                          int target, uint32_t generation);
void policy_done (struct policy_simulation *simulation, int request,
                  int target, uint32_t generation);
void policy_cancel (struct policy_simulation *simulation, int request);
void policy_crash (struct policy_simulation *simulation, int target,
                   uint64_t down_ms);
void policy_restart (struct policy_simulation *simulation, int target);
/* Returns whether the fault affects a request of HOST to TARGET now.  */
bool policy_fault_affects (const struct policy_simulation *simulation,
                           int host, int target);
/* Returns whether a partition loses a request of HOST to TARGET now.  */
bool policy_is_partitioned (const struct policy_simulation *simulation,
                            int host, int target);

/* policy_choice_lib.c: policies without a dispatcher.  */
void policy_choose (struct policy_simulation *simulation, int request);
void policy_chosen_done (struct policy_simulation *simulation, int request,
                         enum ab_outcome_kind kind);
void policy_assign_leases (struct policy_simulation *simulation);

/* policy_dispatch_lib.c: policy of the real dispatchers.  */
void policy_dispatch_new (struct policy_simulation *simulation);
void policy_dispatch_free (struct policy_simulation *simulation);
void policy_dispatch_start (struct policy_simulation *simulation, int request);
void policy_dispatch_request_slot (struct policy_simulation *simulation,
                                   int request, int domain);
void policy_dispatch_refused (struct policy_simulation *simulation,
                              int request, bool spill);
void policy_dispatch_outcome (struct policy_simulation *simulation,
                              int request, enum ab_outcome_kind kind);
void policy_dispatch_cancel (struct policy_simulation *simulation,
                             int request);
void policy_dispatch_tick (struct policy_simulation *simulation);
void policy_dispatch_evidence (struct policy_simulation *simulation);
void policy_dispatch_target (struct policy_simulation *simulation, int target,
                             bool warm);

#endif
