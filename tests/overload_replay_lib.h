/* Replays requests of several teams and kinds against a scheduler and counts
   those that get a slot.  Time is simulated; arrivals are random with a fixed
   seed.  */

#ifndef OVERLOAD_REPLAY_LIB_H
#define OVERLOAD_REPLAY_LIB_H

#include "scheduler_replay_lib.h"

#define OVERLOAD_STREAMS_MAX 160
#define OVERLOAD_WINDOW_MS 5000
#define GRAY_CYCLE_MS 9000

/* Requests of one kind from one team.  */
struct overload_stream
{
  char team[AB_NAME_BYTES];
  uint64_t team_priority;
  uint64_t priority;
  bool idempotent;
  uint64_t objective_ms;
  uint64_t timeout_ms;
  double per_s;
  double surge; /* Factor of PER_S from SURGE_FROM_MS on; 0 counts as 1.  */
  uint64_t surge_from_ms;
  uint64_t surge_until_ms;
};

struct overload
{
  const struct overload_stream *streams;
  size_t count;
  uint64_t length_ms;
  /* The first targets, which turn gray for GRAY_MS in every GRAY_CYCLE_MS, one
     after the other; they then fail all requests at once.  */
  unsigned gray_targets;
  uint64_t gray_ms;
  uint64_t begin_ms;
  uint64_t last_id;
  unsigned char stream_of[REPLAY_REQUESTS_MAX];
  bool failed[REPLAY_REQUESTS_MAX];
};

struct overload_shares
{
  unsigned requested[OVERLOAD_STREAMS_MAX];
  /* Those that were granted a slot and did not fail.  */
  unsigned served[OVERLOAD_STREAMS_MAX];
  unsigned all_requested;
  unsigned all_served;
};

/* Creates a scheduler with TARGETS healthy targets and plays the streams of
   OVERLOAD for its length.  The caller frees the scheduler.  */
void overload_play (struct overload *overload, unsigned targets,
                    uint64_t seed);

/* Counts the requests from FROM_MS on for LENGTH_MS, in time since the
   beginning.  */
void overload_count (const struct overload *overload, uint64_t from_ms,
                     uint64_t length_ms, struct overload_shares *shares);

/* Returns the time from request to rejection that the fraction QUANTILE of the
   rejected requests from FROM_MS on stays within, in ms.  */
uint64_t overload_rejection_ms (const struct overload *overload,
                                uint64_t from_ms, double quantile);

#endif
