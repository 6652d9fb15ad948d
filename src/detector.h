/* Outlier detection among the targets of one service, as one dispatcher sees
   them.

   Every outcome of a real request adds the log-likelihood ratio of an
   unhealthy to a healthy target to a score that never falls below 0 (CUSUM).
   A latency counts by its tail probability in the baseline of its request
   class, taken around the median of the other targets plus a tolerance of
   three standard deviations, estimated from the median absolute deviation of
   those targets.  A request in flight counts by the time it has taken so far.
   A target is unhealthy when its score reaches the threshold, which the
   detection weight sets, unless the evidence has another cause: a bad network
   path, a problem of most targets, or a cold start.

   Pure state machine without I/O: the caller passes the time, in monotonic
   milliseconds.  Targets and classes are identified by small numbers that the
   functions below return.  */

#ifndef AB_DETECTOR_H
#define AB_DETECTOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chunk.h"
#include "outcome.h"

#define AB_DETECTOR_CLASSES_MAX 16
#define AB_DETECTOR_TARGETS_MAX 1024
/* Largest number of reports of other dispatchers kept, one for each target and
   class.  */
#define AB_DETECTOR_REMOTE_MAX 1024
/* Largest number of requests in flight tracked for one target.  */
#define AB_DETECTOR_IN_FLIGHT_MAX 256

enum ab_health
{
  /* Too little evidence, or the target is not the cause.  */
  AB_HEALTH_UNKNOWN,
  AB_HEALTH_HEALTHY,
  AB_HEALTH_UNHEALTHY
};

enum ab_cause
{
  AB_CAUSE_NONE,
  AB_CAUSE_LATENCY, /* Slow, or no responses at all.  */
  AB_CAUSE_ERRORS,  /* Errors, resets, refused connections.  */
  AB_CAUSE_PATH,    /* Requests of some hosts fail, those of others do not.  */
  AB_CAUSE_COMMON,  /* Most targets look unhealthy: overload or network.  */
  AB_CAUSE_COLD     /* The target started a short time ago.  */
};

struct ab_evidence
{
  enum ab_health health;
  enum ab_cause cause;
  double score;
  double threshold;
  /* Median latency divided by the median of the other targets, of the slowest
     class; 0 while unknown.  */
  double slowdown;
  uint64_t outcomes;
  uint64_t bad;     /* Outcomes that were evidence of an unhealthy target.  */
  uint64_t overdue; /* Requests in flight that take longer than normal.  */
};

/* Report of one dispatcher to others about a target and class.  */
struct ab_peer_evidence
{
  uint32_t target; /* Hash of the target's address.  */
  struct ab_chunk class_name;
  uint32_t outcomes; /* Since the last report.  */
  uint32_t errors;
  float log_latency; /* Median, natural logarithm of microseconds.  */
  bool suspect;
};

struct ab_detector;

/* Returns a new detector, or null when memory is full.  WEIGHT goes from 0 for
   the fewest false ejections to 1 for the shortest detection time.  */
struct ab_detector *ab_detector_new (double weight);
void ab_detector_free (struct ab_detector *detector);
void ab_detector_set_weight (struct ab_detector *detector, double weight);

/* Commands.  */

/* Adds a target whose latencies are ignored for COLD_MS, until it has warmed
   up.  Returns its number, AB_ERR_FULL or AB_ERR_MEMORY.  HASH identifies it
   in the reports of other dispatchers.  */
int ab_detector_add (struct ab_detector *detector, uint32_t hash,
                     uint64_t cold_ms, uint64_t now_ms);
void ab_detector_remove (struct ab_detector *detector, int target);

/* Clears the score and starts a cold period of COLD_MS, after a restart or a
   readmission.  RECENTLY_EJECTED lowers the threshold for a while, for a
   target that was ejected a short time ago.  */
void ab_detector_reset (struct ab_detector *detector, int target,
                        bool recently_ejected, uint64_t cold_ms,
                        uint64_t now_ms);

/* Returns the number of the class NAME, which is added on first use.  Classes
   over the limit share the last number.  */
int ab_detector_class (struct ab_detector *detector, struct ab_chunk name);

/* Records a request sent to TARGET.  PATH is the hash of the name of the host
   that sends it.  Returns a ticket for ab_detector_finish, AB_ERR_FULL or
   AB_ERR_MEMORY.  */
int ab_detector_start (struct ab_detector *detector, int target, int class_id,
                       uint32_t path, uint64_t now_ms);

/* Records the outcome of the request of TICKET.  Returns the log-likelihood
   ratio that it adds: positive values are evidence of an unhealthy target.
   Returns 0 for an unknown ticket and for outcomes that say nothing about the
   target.  */
double ab_detector_finish (struct ab_detector *detector, int target,
                           int ticket, const struct ab_outcome *outcome,
                           uint64_t now_ms);

/* Stores a report of another dispatcher, which serves for comparison with the
   local targets until it is too old.  */
void ab_detector_import (struct ab_detector *detector,
                         const struct ab_peer_evidence *report,
                         uint64_t now_ms);

/* Calls VISIT for each local target and class with outcomes since the last
   export.  */
typedef void (*ab_evidence_visitor) (void *ctx,
                                     const struct ab_peer_evidence *report);
void ab_detector_export (struct ab_detector *detector, uint64_t now_ms,
                         ab_evidence_visitor visit, void *ctx);

/* Assesses the health of TARGET from all evidence.  Also marks the paths on
   which its requests fail as avoided.  */
void ab_detector_assess (struct ab_detector *detector, int target,
                         uint64_t now_ms, struct ab_evidence *evidence);

/* Queries.  */

/* Returns the score divided by the threshold, from 0 to 1, for the choice
   among targets.  */
double ab_detector_suspicion (const struct ab_detector *detector, int target,
                              uint64_t now_ms);

/* Returns whether requests of the host PATH should avoid TARGET.  */
bool ab_detector_path_bad (const struct ab_detector *detector, int target,
                           uint32_t path, uint64_t now_ms);

/* Returns whether most local targets are suspect at the same time.  */
bool ab_detector_impaired (const struct ab_detector *detector,
                           uint64_t now_ms);

/* Returns the quantile Q (0 to 1) of the service time of a class, in
   milliseconds; 0 while unknown.  */
double ab_detector_service_time_ms (const struct ab_detector *detector,
                                    int class_id, double q);

const char *ab_cause_name (enum ab_cause cause);

#endif
