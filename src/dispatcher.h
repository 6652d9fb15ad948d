/* Dispatcher of one service in one failure domain.

   Keeps a bounded queue (higher priority first, then earlier deadline),
   grants the slots of targets exactly, and decides which targets are in
   service.  A target is ejected on the detector's verdict when both the
   floor, as seen from here, and a permit of the control group allow it.  It
   comes back through an exile, a probe, single requests on probation, and a
   slow start.

   Pure state machine: effects go through struct ab_dispatcher_env, time (in
   monotonic milliseconds) and randomness are arguments.  Call
   ab_dispatcher_tick every AB_DISPATCHER_TICK_MS.  No function of this module
   may be called from within the callbacks of the environment.  */

#ifndef AB_DISPATCHER_H
#define AB_DISPATCHER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chunk.h"
#include "detector.h"
#include "rng.h"

#define AB_DISPATCHER_TICK_MS 20
#define AB_DISPATCHER_NAME_BYTES 64
#define AB_DISPATCHER_EXCLUDED_MAX 4

enum ab_dispatch_event_kind
{
  AB_DISPATCH_EJECTED,
  AB_DISPATCH_REFUSED_BY_FLOOR,  /* Sick, but the floor keeps it.  */
  AB_DISPATCH_REFUSED_BY_PERMIT, /* Sick, but no permit is left.  */
  AB_DISPATCH_PROBATION,
  AB_DISPATCH_EXILED_AGAIN, /* Bad on probation.  */
  AB_DISPATCH_READMITTED,
  AB_DISPATCH_PERMIT_REVOKED, /* Readmitted for want of a permit.  */
  AB_DISPATCH_RESTARTED,
  AB_DISPATCH_PATH_AVOIDED
};

struct ab_dispatch_event
{
  enum ab_dispatch_event_kind kind;
  const char *target;
  struct ab_evidence evidence;
  uint64_t exile_ms; /* Until the next try; 0 when it is in service.  */
};

struct ab_dispatcher_grant
{
  uint64_t id; /* For ab_dispatcher_outcome.  */
  uint64_t ask;
  const char *asker;
  const char *target;
  const char *class_name;
};

struct ab_dispatcher_env;

struct ab_dispatcher_ops
{
  void (*grant) (struct ab_dispatcher_env *env,
                 const struct ab_dispatcher_grant *grant);
  /* RC is AB_ERR_FULL (no capacity here, or the deadline cannot be met) or
     AB_ERR_NOT_FOUND (no target).  SPILL says that another failure domain may
     have room.  */
  void (*refuse) (struct ab_dispatcher_env *env, uint64_t ask,
                  const char *asker, int rc, bool spill, const char *reason);
  /* Answered by ab_dispatcher_permit.  */
  void (*acquire_permit) (struct ab_dispatcher_env *env);
  void (*release_permit) (struct ab_dispatcher_env *env);
  /* Asks for a probe; answered by ab_dispatcher_probed.  */
  void (*probe) (struct ab_dispatcher_env *env, const char *target);
  void (*event) (struct ab_dispatcher_env *env,
                 const struct ab_dispatch_event *event);
};

struct ab_dispatcher_env
{
  const struct ab_dispatcher_ops *ops;
};

struct ab_dispatcher_options
{
  double detection_weight; /* 0 to 1, see detector.h.  */
  double floor;            /* Fraction of announced slots kept in service.  */
  size_t queue;            /* Requests that wait at most.  */
  uint64_t slow_start_ms;
};

struct ab_dispatcher_target
{
  const char *address;
  uint64_t slots;
  uint64_t incarnation;
  bool draining;
};

struct ab_dispatcher_ask
{
  uint64_t id; /* Unique for its asker.  */
  const char *asker;
  struct ab_chunk class_name;
  uint64_t priority; /* Greater is served first.  */
  uint64_t deadline_ms;
  const char *excluded[AB_DISPATCHER_EXCLUDED_MAX];
  size_t excluded_count;
  bool spilled; /* From another failure domain: granted at once or not.  */
  bool stay;    /* Was refused elsewhere: not to be sent away again.  */
};

enum ab_dispatch_state
{
  AB_DISPATCH_ACTIVE,
  AB_DISPATCH_EXILE,
  AB_DISPATCH_ON_PROBATION,
  AB_DISPATCH_DRAINING
};

struct ab_dispatcher_view
{
  const char *address;
  enum ab_dispatch_state state;
  uint64_t slots;
  uint64_t allowed; /* Slots that the slow start permits now.  */
  uint64_t in_use;
  uint64_t exile_until_ms;
  unsigned exile_level;
  struct ab_evidence evidence;
};

struct ab_dispatcher_totals
{
  uint64_t announced_slots; /* Here; targets that drain are not counted.  */
  uint64_t out_slots;       /* Of targets in exile or on probation.  */
  uint64_t idle_slots;      /* Of targets in service.  */
  uint64_t in_use;
  size_t queued;
  size_t permits_held;
  uint64_t granted;
  uint64_t refused;
  uint64_t ejections;
};

struct ab_dispatcher;

struct ab_dispatcher *
ab_dispatcher_new (struct ab_dispatcher_env *env,
                   const struct ab_dispatcher_options *options,
                   struct ab_rng *rng);
void ab_dispatcher_free (struct ab_dispatcher *dispatcher);

/* Commands.  */

void ab_dispatcher_configure (struct ab_dispatcher *dispatcher,
                              const struct ab_dispatcher_options *options);

/* Adds or changes a target.  A new incarnation starts cold.  WARM says that a
   new target has served before and needs no slow start.  AB_ERR_FULL,
   AB_ERR_MEMORY, AB_ERR_INVALID.  */
int ab_dispatcher_set_target (struct ab_dispatcher *dispatcher,
                              const struct ab_dispatcher_target *target,
                              bool warm, uint64_t now_ms);
void ab_dispatcher_remove_target (struct ab_dispatcher *dispatcher,
                                  const char *address, uint64_t now_ms);

/* What the dispatchers of other failure domains report, about once a
   second: slots of the service, those of them that are out of service, and
   those that are free.  */
void ab_dispatcher_set_elsewhere (struct ab_dispatcher *dispatcher,
                                  uint64_t announced, uint64_t out,
                                  uint64_t idle);

/* Answers through the environment, at once or later.  */
void ab_dispatcher_ask (struct ab_dispatcher *dispatcher,
                        const struct ab_dispatcher_ask *ask, uint64_t now_ms);

/* Takes a waiting ask back; nothing is called for it.  */
void ab_dispatcher_cancel (struct ab_dispatcher *dispatcher, const char *asker,
                           uint64_t ask);

/* Ends a grant and frees its slot.  AB_ERR_NOT_FOUND when it has ended
   before.  */
int ab_dispatcher_outcome (struct ab_dispatcher *dispatcher, uint64_t grant,
                           const struct ab_outcome *outcome, uint64_t now_ms);

/* Evidence about a target from a request that this dispatcher did not grant.
   PATH is the host that sent it.  */
void ab_dispatcher_observe (struct ab_dispatcher *dispatcher,
                            const char *target, struct ab_chunk class_name,
                            const char *path, const struct ab_outcome *outcome,
                            uint64_t now_ms);

/* The host ASKER is gone: frees its slots and drops its asks.  */
void ab_dispatcher_asker_gone (struct ab_dispatcher *dispatcher,
                               const char *asker, uint64_t now_ms);

/* Answer to acquire_permit.  */
void ab_dispatcher_permit (struct ab_dispatcher *dispatcher, bool granted,
                           uint64_t now_ms);
/* The control group takes one permit back.  */
void ab_dispatcher_permit_revoked (struct ab_dispatcher *dispatcher,
                                   uint64_t now_ms);

void ab_dispatcher_probed (struct ab_dispatcher *dispatcher,
                           const char *target, bool healthy, uint64_t now_ms);

void ab_dispatcher_tick (struct ab_dispatcher *dispatcher, uint64_t now_ms);

/* Queries.  */

/* The detector, to import and export evidence.  */
struct ab_detector *ab_dispatcher_detector (struct ab_dispatcher *dispatcher);

void ab_dispatcher_totals (const struct ab_dispatcher *dispatcher,
                           struct ab_dispatcher_totals *totals);

/* Describes the target number INDEX; false past the last.  */
bool ab_dispatcher_view (struct ab_dispatcher *dispatcher, size_t index,
                         uint64_t now_ms, struct ab_dispatcher_view *view);

/* The hash of an address or host name that evidence reports use.  */
uint32_t ab_dispatcher_hash (const char *name);

const char *ab_dispatch_event_name (enum ab_dispatch_event_kind kind);
const char *ab_dispatch_state_name (enum ab_dispatch_state state);

#endif
