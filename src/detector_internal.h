/* Structures shared by the files of the detector; see detector.h.  */

#ifndef AB_DETECTOR_INTERNAL_H
#define AB_DETECTOR_INTERNAL_H

#include "baseline.h"
#include "detector.h"
#include "path_score.h"
#include "settings.h"

struct ab_in_flight
{
  bool used;
  int class_id;
  uint32_t path;
  uint64_t start_ms;
};

/* Latency and outcomes of one target in one class.  */
struct ab_target_class_stats
{
  double median; /* Running median of the log latency in us.  */
  uint64_t samples;
  uint64_t last_ms;  /* When the last latency was added.  */
  uint32_t outcomes; /* Outcomes since the last export.  */
  uint32_t errors;   /* Errors among OUTCOMES.  */
  /* Median of the other targets and the tolerated excess over it, as computed
     at PEERS_MS; 0 there means never.  */
  double peer_median;
  double tolerance;
  uint64_t peers_ms;
};

struct ab_detector_target
{
  bool used;
  uint32_t hash;
  uint64_t cold_until_ms;
  uint64_t lowered_until_ms;
  double latency_score;
  double error_score;
  uint64_t scored_ms; /* When the scores were last decayed.  */
  /* When the first bad request of the last overlapping group ended.  */
  uint64_t bad_group_end_ms;
  uint64_t last_good_start_ms; /* When the last good request started.  */
  uint64_t suspect_since_ms;   /* 0 while the target is not suspect.  */
  uint64_t outcomes;
  uint64_t bad;
  struct ab_target_class_stats classes[AB_DETECTOR_CLASSES_MAX];
  struct ab_path_table paths;
  struct ab_in_flight *in_flight;
  size_t in_flight_size;
};

struct ab_detector_class
{
  char name[AB_NAME_BYTES];
  struct ab_baseline baseline;
  /* Running median of the log latency over all targets; adapts slowly.  */
  double median;
  uint64_t samples;
};

/* Report of another dispatcher about one of its targets.  */
struct ab_remote_report
{
  uint32_t target;
  int class_id;
  double median;
  bool suspect;
  uint64_t at_ms;
};

struct ab_detector
{
  double threshold;
  double stall_factor;
  struct ab_detector_target *targets;
  size_t target_count;
  struct ab_detector_class classes[AB_DETECTOR_CLASSES_MAX];
  size_t class_count;
  struct ab_remote_report *remote_reports;
  size_t remote_report_count;
};

/* Updates the median of the other targets and the tolerance that TARGET is
   compared with in a class.  Returns false while the class has too few
   samples.  */
bool ab_detector_update_peers (struct ab_detector *detector,
                               struct ab_detector_target *target, int class_id,
                               uint64_t now_ms);

/* Returns the score of the requests in flight that take longer than normal and
   sets *COUNT to their number.  */
double ab_detector_overdue_score (const struct ab_detector *detector,
                                  const struct ab_detector_target *target,
                                  uint64_t now_ms, uint64_t *count);

/* Returns the total score of TARGET, requests in flight included.  */
double ab_detector_score (const struct ab_detector *detector,
                          const struct ab_detector_target *target,
                          uint64_t now_ms);

/* Returns the score at which TARGET is unhealthy.  */
double ab_detector_threshold (const struct ab_detector *detector,
                              const struct ab_detector_target *target,
                              uint64_t now_ms);

#endif
