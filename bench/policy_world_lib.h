/* Structures shared by the files of the simulation; see policy_fake_lib.h.  */

#ifndef POLICY_WORLD_LIB_H
#define POLICY_WORLD_LIB_H

#include "dispatcher.h"
#include "policy_fake_lib.h"
#include "retry_budget.h"

#define FAKE_QUEUE_MAX 64
#define FAKE_ATTEMPTS 3
/* One-way network delays.  */
#define FAKE_HOP_US 300     /* Between hosts of a failure domain.  */
#define FAKE_TARGET_US 500  /* Between a host and a target.  */
#define FAKE_REGION_US 1000 /* Between failure domains of a region.  */
#define FAKE_FAR_US 20000   /* Between regions.  */
/* Resolution in time of the requests that the fault affects.  */
#define FAKE_BINS_PER_S 10
#define FAKE_BINS (FAKE_SECONDS_MAX * FAKE_BINS_PER_S)

enum policy_event_kind
{
  FAKE_EV_ARRIVAL,
  FAKE_EV_ASK,      /* A: request; B: failure domain.  */
  FAKE_EV_GRANTED,  /* A: request; B: target.  */
  FAKE_EV_REFUSED,  /* A: request; B: whether it may spill over.  */
  FAKE_EV_REACH,    /* A: request; B: target.  */
  FAKE_EV_DONE,     /* A: request; B: target.  */
  FAKE_EV_ANSWER,   /* A: request; B: outcome kind.  */
  FAKE_EV_DEADLINE, /* A: request.  */
  FAKE_EV_TICK,
  FAKE_EV_EVIDENCE,
  FAKE_EV_PERMIT, /* A: failure domain; B: whether granted.  */
  FAKE_EV_PROBED, /* A: target; B: whether healthy.  */
  FAKE_EV_CRASH,
  FAKE_EV_RESTART, /* A: target.  */
  FAKE_EV_DEATH
};

struct policy_event
{
  uint64_t at_us;
  uint64_t order; /* Breaks ties in the order of insertion.  */
  enum policy_event_kind kind;
  int a;
  int b;
  uint32_t gen;
};

struct policy_request
{
  bool used;
  bool sent;
  bool killer; /* Crashes the target that it reaches.  */
  /* Generation: changes with each attempt, so that events of an earlier one
     are ignored.  */
  uint32_t gen;
  int host;
  int target;
  int domain; /* Failure domain whose dispatcher has the request.  */
  int spills;
  int attempts;
  int kills;
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
  uint32_t gen;
};

struct policy_target
{
  char name[16];
  int domain;
  uint64_t incarnation;
  bool down;
  bool out; /* Ejected by the dispatcher.  */
  uint64_t started_us;
  struct policy_job busy[FAKE_SLOTS_MAX];
  size_t busy_count;
  struct policy_job queue[FAKE_QUEUE_MAX];
  size_t queue_count;
};

/* State of one host for the policies without a dispatcher.  */
struct policy_host
{
  char name[16];
  struct ab_retry_budget budget;
  int next;
  int outstanding[FAKE_TARGETS_MAX];
  int errors[FAKE_TARGETS_MAX];
  int times[FAKE_TARGETS_MAX];
  uint64_t out_until_us[FAKE_TARGETS_MAX];
  int leased[FAKE_TARGETS_MAX];
  uint64_t demand;
  int waiting[512];
  size_t waiting_count;
};

struct policy_world;

struct policy_env
{
  struct ab_dispatcher_env env;
  struct policy_world *world;
  int domain;
  struct ab_dispatcher *dispatcher;
};

struct policy_world
{
  struct policy_setup setup;
  struct policy_result *result;
  uint64_t now_us;
  uint64_t order;
  struct ab_rng rng;
  struct ab_rng choice_rng;
  struct policy_event *heap;
  size_t heap_count;
  size_t heap_size;
  struct policy_request *requests;
  size_t request_count;
  size_t free_request; /* All entries below this index are in use.  */
  struct policy_target targets[FAKE_TARGETS_MAX];
  struct policy_host hosts[FAKE_HOSTS];
  struct policy_env domains[FAKE_DOMAINS];
  size_t permits_out;
  int sick;
  uint64_t first_bad_us;
  uint32_t sick_sends[FAKE_BINS]; /* Requests that the fault affects.  */
};

/* policy_fake_lib.c  */
void policy_push (struct policy_world *world, uint64_t at_us,
                  enum policy_event_kind kind, int a, int b, uint32_t gen);
bool policy_fault_on (const struct policy_world *world);
void policy_start_attempt (struct policy_world *world, int request);
void policy_finish (struct policy_world *world, int request, bool good,
                    bool refused);
void policy_send (struct policy_world *world, int request, int target);

/* policy_target_lib.c  */
void policy_reach (struct policy_world *world, int request, int target,
                   uint32_t gen);
void policy_done (struct policy_world *world, int request, int target,
                  uint32_t gen);
void policy_cancel (struct policy_world *world, int request);
void policy_crash (struct policy_world *world, int target, uint64_t down_ms);
void policy_restart (struct policy_world *world, int target);
/* Returns whether the fault affects a request of HOST to TARGET now.  */
bool policy_touches (const struct policy_world *world, int host, int target);
/* Returns whether a partition loses a request of HOST to TARGET now.  */
bool policy_lost (const struct policy_world *world, int host, int target);

/* policy_choice_lib.c: policies without a dispatcher.  */
void policy_choose (struct policy_world *world, int request);
void policy_chosen_done (struct policy_world *world, int request,
                         enum ab_outcome_kind kind);
void policy_divide_leases (struct policy_world *world);

/* policy_dispatch_lib.c: policy of the real dispatchers.  */
void policy_dispatch_new (struct policy_world *world);
void policy_dispatch_free (struct policy_world *world);
void policy_dispatch_start (struct policy_world *world, int request);
void policy_dispatch_ask (struct policy_world *world, int request, int domain);
void policy_dispatch_refused (struct policy_world *world, int request,
                              bool spill);
void policy_dispatch_outcome (struct policy_world *world, int request,
                              enum ab_outcome_kind kind);
void policy_dispatch_cancel (struct policy_world *world, int request);
void policy_dispatch_tick (struct policy_world *world);
void policy_dispatch_evidence (struct policy_world *world);
void policy_dispatch_target (struct policy_world *world, int target,
                             bool warm);

#endif
