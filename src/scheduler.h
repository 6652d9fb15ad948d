/* Which target takes a request, which requests wait, and which are turned
   away.

One scheduler places all requests for a service's targets in an area, which
   is a failure domain or a region, so it knows every slot in use and every
   outcome there.  Load patterns that it
   answers:

   - Gray targets: a failure takes a target out for everyone at once; only
     requests that may be repeated try it again (target_health.h).
   - More requests than slots: they wait here, not at a target, in the order
     of priority, then of the latest useful moment; requests that can still
     make their objective go before those that cannot.
   - More requests than can ever be served: those whose turn would come too
     late are refused at once with the time after which there is room.
   - Repeated attempts of a failing service: a budget over a sliding window,
     so that they add a bounded share to the load.
   - Targets that one host cannot reach: avoided for that host only.
   - Large bodies while the near targets are all busy: they wait for a near
     slot as long as a fraction of a request, rather than cross between failure
     domains, where traffic is paid for.

   No I/O: times are given, decisions go through a vtable.  */

#ifndef AB_SCHEDULER_H
#define AB_SCHEDULER_H

#include <jansson.h>

#include "fleet_state.h"
#include "rng.h"
#include "target_health.h"

#define AB_SCHED_TRIED_MAX 4

struct ab_scheduler;

struct ab_sched_ask
{
  uint64_t id; /* Unique over all hosts.  */
  char host[AB_ADDRESS_BYTES];
  char failure_domain[AB_NAME_BYTES];
  char service[AB_NAME_BYTES];
  char area[AB_NAME_BYTES]; /* Whose targets are asked for.  */
  bool idempotent;
  bool repeat;   /* An earlier attempt arrived at a target.  */
  bool may_wait; /* False: only a free slot is of use.  */
  bool may_move; /* Another region may be asked instead of waiting long.  */
  /* This host decides only because the area's scheduler does not answer.  Not
     part of a message.  */
  bool last_resort;
  bool bulky;        /* Its body makes another failure domain expensive.  */
  uint64_t priority; /* 0 first.  */
  uint64_t objective_ms; /* Left until the response is worth less.  */
  uint64_t time_ms;      /* Left until it is worth nothing.  */
  char tried[AB_SCHED_TRIED_MAX][AB_NAME_BYTES]; /* Ids of targets.  */
  size_t tried_count;
};

enum ab_sched_kind
{
  AB_SCHED_GRANTED,
  AB_SCHED_WAITING, /* An answer follows.  */
  AB_SCHED_MOVE, /* A slot is free later here; other regions may be sooner.  */
  AB_SCHED_FULL, /* No slot comes free in time.  */
  AB_SCHED_NONE, /* The service has no usable target here.  */
  AB_SCHED_BUDGET /* No repeated attempt is left.  */
};

struct ab_sched_reply
{
  enum ab_sched_kind kind;
  uint64_t id; /* The ask's.  */
  char target[AB_NAME_BYTES];
  char address[AB_ADDRESS_BYTES];
  enum ab_target_trust trust;
  uint64_t waited_ms;
  uint64_t wait_ms; /* Until a slot is expected to be free.  */
  uint64_t waiting; /* Requests that wait for the service.  */
};

struct ab_scheduler_ops
{
  void (*decide) (void *ctx, const struct ab_sched_ask *ask,
                  const struct ab_sched_reply *reply);
  /* How many schedulers share the requests of SERVICE.  Null: this one has
     all.  */
  size_t (*sharers) (void *ctx, const char *service);
};

struct ab_scheduler_config
{
  double repeat_fraction; /* Of the requests of the window.  */
  double repeat_extra;    /* Added to it, for all that share a service.  */
  uint64_t repeat_window_ms;
};

struct ab_scheduler *
ab_scheduler_new (const struct ab_scheduler_config *config,
                  const struct ab_scheduler_ops *ops, void *ctx);
void ab_scheduler_free (struct ab_scheduler *scheduler);

/* Adds or changes a target, or moves it to another area; one that drains or is
   gone gets no new request.  */
void ab_scheduler_set_target (struct ab_scheduler *scheduler,
                              const struct ab_fleet_target *target,
                              const char *area, uint64_t now_ms);

/* Decides on ASK, or repeats the decision on an ask with its id; the answer
   comes through the vtable, possibly at once.  */
void ab_scheduler_ask (struct ab_scheduler *scheduler,
                       const struct ab_sched_ask *ask, uint64_t now_ms);

/* Ends an ask: EVENT tells how its attempt ended, AB_TARGET_UNUSED for one
   that was not granted or not sent.  */
void ab_scheduler_outcome (struct ab_scheduler *scheduler, uint64_t id,
                           enum ab_target_event event, uint64_t latency_ms,
                           uint64_t now_ms);

/* Grants, refuses and expires; call it every AB_SCHED_TICK_MS.  */
#define AB_SCHED_TICK_MS 50
void ab_scheduler_tick (struct ab_scheduler *scheduler, uint64_t now_ms);

/* State dump.  */
json_t *ab_scheduler_state (const struct ab_scheduler *scheduler,
                            uint64_t now_ms);

#endif
