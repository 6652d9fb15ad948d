/* Evidence about the targets of one service, as one dispatcher sees it.

   Every outcome of a real request adds a log likelihood ratio, sick against
   healthy, to a score that never falls below 0 (CUSUM).  Latencies count by
   their tail probability in the baseline of their class around the median of
   the peers, less a tolerance of three median absolute deviations of the
   peers.  Requests in flight count by the time they have taken so far.  A
   target is sick when its score reaches the threshold, which the detection
   weight sets, unless the evidence points elsewhere: to one path, to all
   targets at once, or to a cold start.

   Pure state machine: the caller passes the time, in monotonic
   milliseconds.  Targets and classes are small numbers from the functions
   below.  */

#ifndef AB_DETECTOR_H
#define AB_DETECTOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chunk.h"
#include "outcome.h"

#define AB_DETECTOR_CLASSES_MAX 16
#define AB_DETECTOR_TARGETS_MAX 1024
/* Targets and classes of other dispatchers that are remembered.  */
#define AB_DETECTOR_REMOTE_MAX 1024
/* Requests in flight that are watched for one target.  */
#define AB_DETECTOR_IN_FLIGHT_MAX 256

enum ab_health
{
  AB_HEALTH_UNKNOWN, /* Too little known, or the cause is elsewhere.  */
  AB_HEALTH_HEALTHY,
  AB_HEALTH_SICK
};

enum ab_cause
{
  AB_CAUSE_NONE,
  AB_CAUSE_LATENCY, /* Slow, or does not answer at all.  */
  AB_CAUSE_ERRORS,  /* Errors, resets, refused connections.  */
  AB_CAUSE_PATH,    /* Bad for some paths, good for others.  */
  AB_CAUSE_COMMON,  /* Most targets look bad: overload or network.  */
  AB_CAUSE_COLD     /* Started a short time ago.  */
};

struct ab_evidence
{
  enum ab_health health;
  enum ab_cause cause;
  double score;
  double threshold;
  double slowdown; /* Median latency over the peers' median; 0 unknown.  */
  uint64_t outcomes;
  uint64_t bad; /* Outcomes that spoke for sick.  */
  uint64_t overdue;
};

/* What dispatchers tell each other about a target and class.  */
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

/* WEIGHT: 0 for fewest false ejections, 1 for shortest detection time.  */
struct ab_detector *ab_detector_new (double weight);
void ab_detector_free (struct ab_detector *detector);
void ab_detector_set_weight (struct ab_detector *detector, double weight);

/* Commands.  */

/* Adds a target that is cold for COLD_MS; returns its number, AB_ERR_FULL or
   AB_ERR_MEMORY.  HASH is what other dispatchers know it by.  */
int ab_detector_add (struct ab_detector *detector, uint32_t hash,
                     uint64_t cold_ms, uint64_t now_ms);
void ab_detector_remove (struct ab_detector *detector, int target);

/* Forgets the score and starts a cold period: after a restart or a
   readmission.  WARY lowers the threshold for a while, for targets that were
   ejected a short time ago.  */
void ab_detector_reset (struct ab_detector *detector, int target, bool wary,
                        uint64_t cold_ms, uint64_t now_ms);

/* The number of a class, made on first use.  Classes over the limit share
   the last number.  */
int ab_detector_class (struct ab_detector *detector, struct ab_chunk name);

/* Notes a request sent to TARGET through PATH (the host that sends it);
   returns a ticket for ab_detector_finish, or AB_ERR_FULL.  */
int ab_detector_start (struct ab_detector *detector, int target, int class_id,
                       uint32_t path, uint64_t now_ms);

/* Notes the outcome of a ticket.  Returns the log likelihood ratio that it
   added: positive speaks for a sick target.  */
double ab_detector_finish (struct ab_detector *detector, int target,
                           int ticket, const struct ab_outcome *outcome,
                           uint64_t now_ms);

/* Takes in a report of another dispatcher.  */
void ab_detector_import (struct ab_detector *detector,
                         const struct ab_peer_evidence *report,
                         uint64_t now_ms);

/* Calls VISIT for each local target and class with outcomes since the last
   export.  */
typedef void (*ab_evidence_visitor) (void *ctx,
                                     const struct ab_peer_evidence *report);
void ab_detector_export (struct ab_detector *detector, uint64_t now_ms,
                         ab_evidence_visitor visit, void *ctx);

/* Decides about TARGET.  Also marks paths that are bad for it.  */
void ab_detector_assess (struct ab_detector *detector, int target,
                         uint64_t now_ms, struct ab_evidence *evidence);

/* Queries.  */

/* Score over threshold, 0 to 1; for the choice among targets.  */
double ab_detector_suspicion (const struct ab_detector *detector, int target,
                              uint64_t now_ms);

/* Whether requests of PATH should avoid TARGET.  */
bool ab_detector_path_bad (const struct ab_detector *detector, int target,
                           uint32_t path, uint64_t now_ms);

/* Whether most local targets look bad at once.  */
bool ab_detector_impaired (const struct ab_detector *detector,
                           uint64_t now_ms);

/* Time in milliseconds that a fraction Q of the class's requests takes at
   most; 0 while unknown.  */
double ab_detector_service_ms (const struct ab_detector *detector,
                               int class_id, double q);

const char *ab_cause_name (enum ab_cause cause);

#endif
