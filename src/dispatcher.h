/* Dispatcher of one service in one failure domain.

   Keeps a bounded queue of requests for slots (higher priority first, then
   earlier deadline), never grants more slots of a target than it has, and
   decides which targets are in service.  A target that the detector finds
   unhealthy is ejected if the service keeps its floor without it, as far as
   this dispatcher knows, and the control group has granted a permit.  It
   returns to service after an ejection period, a probe, single requests on
   probation, and a slow start.

   Pure state machine without I/O: effects go through struct
   ab_dispatcher_env; time (in monotonic milliseconds) and randomness are
   arguments.  Call ab_dispatcher_tick every AB_DISPATCHER_TICK_MS.  No
   function of this module may be called from within the callbacks of the
   environment.  */

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
  /* An unhealthy target stays in service because of the floor.  */
  AB_DISPATCH_REFUSED_BY_FLOOR,
  /* An unhealthy target stays in service because no permit is left.  */
  AB_DISPATCH_REFUSED_BY_PERMIT,
  AB_DISPATCH_PROBATION,
  AB_DISPATCH_EJECTED_AGAIN, /* A request on probation failed or was slow.  */
  AB_DISPATCH_READMITTED,
  AB_DISPATCH_PERMIT_REVOKED, /* Readmitted because its permit was revoked.  */
  AB_DISPATCH_RESTARTED,
  AB_DISPATCH_PATH_AVOIDED
};

struct ab_dispatch_event
{
  enum ab_dispatch_event_kind kind;
  const char *target;
  struct ab_evidence evidence;
  /* Time until the next probe; 0 when the target is in service.  */
  uint64_t ejection_left_ms;
};

struct ab_dispatcher_grant
{
  uint64_t id; /* Identifies the grant in ab_dispatcher_outcome.  */
  uint64_t slot_request_id; /* Identifier of the slot request.  */
  const char *requester;
  const char *target;
  const char *class_name;
};

struct ab_dispatcher_env;

struct ab_dispatcher_ops
{
  void (*grant) (struct ab_dispatcher_env *env,
                 const struct ab_dispatcher_grant *grant);
  /* Rejects a slot request.  RC is AB_ERR_FULL (no capacity in this failure
     domain, or the deadline cannot be met) or AB_ERR_NOT_FOUND (no target).
     SPILL says that another failure domain may have free slots.  REASON is a
     short text for people.  */
  void (*refuse) (struct ab_dispatcher_env *env, uint64_t slot_request_id,
                  const char *requester, int rc, bool spill,
                  const char *reason);
  /* Requests a permit of the control group; the reply goes to
     ab_dispatcher_permit_reply.  */
  void (*acquire_permit) (struct ab_dispatcher_env *env);
  void (*release_permit) (struct ab_dispatcher_env *env);
  /* Requests a health probe; the result goes to ab_dispatcher_probed.  */
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
  double floor; /* Fraction of announced slots kept in service, 0 to 1.  */
  size_t queue; /* Largest number of waiting requests.  */
  uint64_t slow_start_ms;
};

struct ab_dispatcher_target
{
  const char *address;
  uint64_t slots;
  uint64_t incarnation;
  bool draining;
};

struct ab_dispatcher_slot_request
{
  uint64_t id;           /* Unique among the requests of REQUESTER.  */
  const char *requester; /* Name of the host that sends the request.  */
  struct ab_chunk class_name;
  uint64_t priority; /* Greater values are served first.  */
  uint64_t deadline_ms;
  const char *excluded[AB_DISPATCHER_EXCLUDED_MAX];
  size_t excluded_count;
  /* Comes from another failure domain: granted at once or rejected.  */
  bool spilled;
  /* Other failure domains have rejected it: it may not spill over again.  */
  bool no_spill;
  /* This dispatcher may use the fraction 1/RATE_DIVISOR of a target's rate
     limit, as another one may act at the same time; 0 counts as 1.  */
  uint64_t rate_divisor;
};

enum ab_dispatch_state
{
  AB_DISPATCH_STATE_ACTIVE,
  AB_DISPATCH_STATE_EJECTED,
  AB_DISPATCH_STATE_PROBATION,
  AB_DISPATCH_STATE_DRAINING
};

struct ab_dispatcher_view
{
  const char *address;
  enum ab_dispatch_state state;
  uint64_t slots;
  uint64_t allowed; /* Slots that the slow start allows at this time.  */
  uint64_t in_use;
  uint64_t ejected_until_ms;
  unsigned ejection_level;
  struct ab_evidence evidence;
};

struct ab_dispatcher_totals
{
  uint64_t announced_slots; /* Of all targets except draining ones.  */
  uint64_t out_slots;       /* Slots of targets ejected or on probation.  */
  uint64_t idle_slots;      /* Free slots of targets in service.  */
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

/* Adds or changes a target.  A new incarnation begins with a slow start.
   WARM says that a target unknown to this dispatcher has served before and
   needs no slow start.  Returns 0, AB_ERR_FULL, AB_ERR_MEMORY or
   AB_ERR_INVALID (address too long, or no slots).  */
int ab_dispatcher_set_target (struct ab_dispatcher *dispatcher,
                              const struct ab_dispatcher_target *target,
                              bool warm, uint64_t now_ms);
void ab_dispatcher_remove_target (struct ab_dispatcher *dispatcher,
                                  const char *address, uint64_t now_ms);

/* Sets the rate limit of a target in requests per 1000 s; 0 removes it.  A new
   incarnation has none.  */
void ab_dispatcher_set_rate_limit (struct ab_dispatcher *dispatcher,
                                   const char *address, uint64_t per_1000_s,
                                   uint64_t now_ms);

/* Sets the capacity of the service in the other failure domains, as their
   dispatchers report it about once a second: ANNOUNCED slots, OUT slots of
   ejected targets and targets on probation, and IDLE slots.  */
void ab_dispatcher_set_remote_capacity (struct ab_dispatcher *dispatcher,
                                        uint64_t announced, uint64_t out,
                                        uint64_t idle);

/* Requests a slot.  The environment's grant or refuse callback is called with
   the result, at once or later.  */
void ab_dispatcher_request_slot (
    struct ab_dispatcher *dispatcher,
    const struct ab_dispatcher_slot_request *slot_request, uint64_t now_ms);

/* Removes a request from the queue; no callback is called for it.  */
void ab_dispatcher_cancel (struct ab_dispatcher *dispatcher,
                           const char *requester, uint64_t slot_request_id);

/* Ends a grant and frees its slot.  Returns 0, or AB_ERR_NOT_FOUND when the
   grant is unknown or has already ended.  */
int ab_dispatcher_outcome (struct ab_dispatcher *dispatcher, uint64_t grant,
                           const struct ab_outcome *outcome, uint64_t now_ms);

/* Adds the outcome of a request that this dispatcher did not grant to the
   evidence about TARGET.  PATH is the name of the host that sent it.  */
void ab_dispatcher_observe (struct ab_dispatcher *dispatcher,
                            const char *target, struct ab_chunk class_name,
                            const char *path, const struct ab_outcome *outcome,
                            uint64_t now_ms);

/* Frees the slots of the host REQUESTER, which is dead, and removes its
   requests from the queue.  */
void ab_dispatcher_remove_requester (struct ab_dispatcher *dispatcher,
                                     const char *requester, uint64_t now_ms);

/* Passes the control group's reply to acquire_permit.  */
void ab_dispatcher_permit_reply (struct ab_dispatcher *dispatcher,
                                 bool granted, uint64_t now_ms);

/* Handles the revocation of one permit by the control group: gives back a
   spare one, or readmits the target that was ejected first.  */
void ab_dispatcher_permit_revoked (struct ab_dispatcher *dispatcher,
                                   uint64_t now_ms);

/* Passes the result of a probe; ignored when none is pending for TARGET.  */
void ab_dispatcher_probed (struct ab_dispatcher *dispatcher,
                           const char *target, bool healthy, uint64_t now_ms);

/* Frees the slots of expired grants, ejects and readmits targets, and serves
   the queue.  */
void ab_dispatcher_tick (struct ab_dispatcher *dispatcher, uint64_t now_ms);

/* Queries.  */

/* Returns the detector of this dispatcher, to import and export evidence.  */
struct ab_detector *ab_dispatcher_detector (struct ab_dispatcher *dispatcher);

void ab_dispatcher_totals (const struct ab_dispatcher *dispatcher,
                           struct ab_dispatcher_totals *totals);

/* Describes the target number INDEX, from 0; returns false past the last
   one.  */
bool ab_dispatcher_view (struct ab_dispatcher *dispatcher, size_t index,
                         uint64_t now_ms, struct ab_dispatcher_view *view);

/* Returns the hash of an address or host name that identifies it in reports
   of evidence.  */
uint32_t ab_dispatcher_hash (const char *name);

const char *ab_dispatch_event_name (enum ab_dispatch_event_kind kind);
const char *ab_dispatch_state_name (enum ab_dispatch_state state);

#endif
