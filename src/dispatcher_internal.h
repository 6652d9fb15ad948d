/* Structures shared by the files of the dispatcher; see dispatcher.h.  */

#ifndef AB_DISPATCHER_INTERNAL_H
#define AB_DISPATCHER_INTERNAL_H

#include "dispatcher.h"
#include "rate_bucket.h"

/* A target of this dispatcher.  */
struct ab_target_entry
{
  char address[AB_DISPATCHER_NAME_BYTES];
  uint64_t slots;
  uint64_t incarnation;
  bool draining;
  enum ab_dispatch_state state;
  int detector_id; /* Number of the target in the detector.  */
  uint64_t in_use;
  uint64_t slow_start_begin_ms; /* When the slow start began.  */
  uint64_t slow_start_end_ms;   /* When the slow start ends.  */
  uint64_t last_start_ms;       /* When the last request was granted.  */
  struct ab_rate_bucket rate;
  /* Penalty for recent failures at PENALTY_MS; decays with a half-life.  */
  double penalty;
  uint64_t penalty_ms;
  /* Number of doublings of the next ejection period.  */
  unsigned ejection_level;
  uint64_t ejected_until_ms;
  uint64_t ejected_ms;    /* When it was last ejected from service.  */
  uint64_t readmitted_ms; /* When it last returned to service; 0: never.  */
  unsigned probes_failed;
  bool probing;
  uint64_t probe_sent_ms;
  unsigned probation_good;   /* Good requests in this probation.  */
  uint64_t refused_event_ms; /* When a refused ejection was last reported.  */
  struct ab_evidence last_evidence; /* Evidence at the last ejection.  */
};

/* The lower bits of a grant's identifier are its index in the table of
   grants.  */
#define AB_GRANT_INDEX_BITS 16
#define AB_GRANTS_MAX (1 << AB_GRANT_INDEX_BITS)

struct ab_grant_entry
{
  bool used;
  size_t next_free; /* Index of the next free entry, plus 1; 0 for none.  */
  uint64_t id;
  struct ab_target_entry *target;
  uint64_t incarnation;
  int ticket;
  int class_id;
  uint64_t start_ms;
  uint64_t expires_ms;
  bool probation; /* Granted while the target was on probation.  */
  char requester[AB_DISPATCHER_NAME_BYTES];
};

/* A slot request, which may wait in the queue.  */
struct ab_queue_entry
{
  uint64_t id;
  char requester[AB_DISPATCHER_NAME_BYTES];
  uint32_t path; /* Hash of REQUESTER; see detector.h.  */
  char class_name[AB_DISPATCHER_NAME_BYTES];
  int class_id;
  uint64_t priority;
  uint64_t deadline_ms;
  char excluded[AB_DISPATCHER_EXCLUDED_MAX][AB_DISPATCHER_NAME_BYTES];
  size_t excluded_count;
  bool spilled;
  bool no_spill;
  uint64_t rate_divisor;
};

struct ab_dispatcher
{
  struct ab_dispatcher_env *env;
  struct ab_rng *rng;
  struct ab_dispatcher_options options;
  struct ab_detector *detector;
  struct ab_target_entry **targets;
  size_t target_count;
  struct ab_grant_entry *grants;
  size_t grant_size;
  size_t grant_free; /* Index of the first free entry, plus 1; 0: none.  */
  uint64_t grant_serial;
  struct ab_queue_entry **queue; /* In the order of service.  */
  size_t queued;
  size_t queue_size;
  /* Moving average of the time that a grant holds its slot.  */
  double mean_hold_ms;
  uint64_t last_outcome_ms; /* When the last outcome arrived.  */
  /* Slots of the service in other failure domains; see
     ab_dispatcher_set_remote_capacity.  */
  uint64_t remote_announced_slots;
  uint64_t remote_out_slots;
  /* Requests that may spill over to other failure domains until the next
     report of their free slots.  */
  double spill_tokens;
  /* Moving average of the time between two grants.  */
  double grant_gap_ms;
  uint64_t last_grant_ms;
  size_t permits; /* Permits held, whether used for an ejection or spare.  */
  bool permit_pending;
  uint64_t permit_retry_ms;
  uint64_t last_suspect_ms; /* When a target was last suspect.  */
  unsigned impaired_count;  /* Requests that arrived while impaired.  */
  bool impaired;            /* Most targets look unhealthy.  */
  uint64_t granted;
  uint64_t refused;
  uint64_t ejections;
};

/* dispatcher_targets.c  */

/* Returns how many slots may be in use at NOW_MS: all, or fewer during the
   slow start, but at least 1.  */
uint64_t ab_target_entry_allowed_slots (const struct ab_target_entry *target,
                                        uint64_t now_ms);

/* Returns the slots that TARGET fills at NOW_MS when requests take HOLD_MS:
   the allowed ones, or fewer with a rate limit.  */
double ab_target_entry_filled_slots (const struct ab_target_entry *target,
                                     double hold_ms, uint64_t now_ms);

/* Returns the best target with a free slot for REQUEST, or null.  */
struct ab_target_entry *
ab_dispatcher_choose (struct ab_dispatcher *dispatcher,
                      const struct ab_queue_entry *request, uint64_t now_ms);
/* Returns whether a target in service, with or without a free slot, may serve
   REQUEST.  */
bool ab_dispatcher_has_eligible_target (const struct ab_dispatcher *dispatcher,
                                        const struct ab_queue_entry *request,
                                        uint64_t now_ms);
/* Raises the penalty of TARGET, up to a bound, so that other targets are
   preferred for a short time.  */
void ab_target_entry_penalise (struct ab_target_entry *target, double penalty,
                               uint64_t now_ms);

/* dispatcher_eject.c  */

/* Ejects the target with the strongest evidence, if it is unhealthy and floor
   and permits allow it, and requests permits ahead of need.  */
void ab_dispatcher_assess (struct ab_dispatcher *dispatcher, uint64_t now_ms);
/* Handles the result of a request on probation: readmits TARGET after enough
   GOOD ones and ejects it again after a bad one.  */
void ab_dispatcher_assess_probation (struct ab_dispatcher *dispatcher,
                                     struct ab_target_entry *target, bool good,
                                     uint64_t now_ms);
/* Sends the probes that are due to ejected targets, ends probations whose
   request takes too long, and gives back a spare permit.  */
void ab_dispatcher_check_ejected (struct ab_dispatcher *dispatcher,
                                  uint64_t now_ms);
/* Ends the ejection or probation of TARGET, which is about to be removed or
   has restarted, and gives its permit back.  */
void ab_dispatcher_cancel_ejection (struct ab_dispatcher *dispatcher,
                                    struct ab_target_entry *target);
void ab_dispatcher_report_event (struct ab_dispatcher *dispatcher,
                                 const struct ab_target_entry *target,
                                 enum ab_dispatch_event_kind kind,
                                 const struct ab_evidence *evidence,
                                 uint64_t now_ms);

/* dispatcher_queue.c  */

/* Grants REQUEST a slot, puts it into the queue or rejects it.  */
void ab_dispatcher_enqueue (struct ab_dispatcher *dispatcher,
                            const struct ab_queue_entry *request,
                            uint64_t now_ms);
/* Grants free slots to waiting requests and rejects those whose deadline can
   no longer be met.  */
void ab_dispatcher_serve (struct ab_dispatcher *dispatcher, uint64_t now_ms);
void ab_dispatcher_refuse (struct ab_dispatcher *dispatcher,
                           const struct ab_queue_entry *request, int rc,
                           bool spill, const char *reason);
void ab_dispatcher_remove_queued (struct ab_dispatcher *dispatcher, size_t at);

/* dispatcher.c  */

/* Returns whether any target is in service.  */
bool ab_dispatcher_has_active_target (const struct ab_dispatcher *dispatcher);

/* dispatcher_grant.c  */

bool ab_dispatcher_try_grant (struct ab_dispatcher *dispatcher,
                              const struct ab_queue_entry *request,
                              uint64_t now_ms);
void ab_dispatcher_free_grant (struct ab_dispatcher *dispatcher,
                               struct ab_grant_entry *grant);
/* Frees the slot of a grant whose outcome will not arrive.  */
void ab_dispatcher_abandon_grant (struct ab_dispatcher *dispatcher,
                                  struct ab_grant_entry *grant,
                                  uint64_t now_ms);

#endif
