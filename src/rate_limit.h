/* Rate limits that targets name in their responses.

   A target in need names the requests per second that it takes from all hosts
   together; the limit holds for as long as its responses name it.  A table
   holds what one host knows of the limits, each with its source and age, so
   that hosts can pass them on to each other: the newer knowledge wins.

   Two responses may overtake each other on their way.  So a limit counts from
   the time when a response that names it arrived, and its end from the time
   when the request was sent whose response no longer names it.  No I/O.  */

#ifndef AB_RATE_LIMIT_H
#define AB_RATE_LIMIT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "chunk.h"
#include "settings.h"

/* Default name of the response header in which a target names its limit.  */
#define AB_RATE_LIMIT_HEADER "Almond-Rate-Limit"

/* Limits are in requests per 1000 s.  */
#define AB_RATE_LIMIT_NONE 0
/* Smallest limit; a smaller one that a target names counts as this one, one
   request in 10 s.  Without any response a host would never learn that the
   limit has ended.  */
#define AB_RATE_LIMIT_MIN 100
/* A host uses only a part of a target's rate limit while another host may
   grant the same target: several hosts may act for one that does not answer.
 */
#define AB_RATE_LIMIT_STAND_IN_DIVISOR 8
/* A limit above this one, a million requests per second, counts as this
   one.  */
#define AB_RATE_LIMIT_MAX 1000000000

/* What a host knows of the limit of one incarnation of a target.  */
struct ab_rate_limit
{
  char target[AB_NAME_BYTES];
  uint64_t started_ms; /* Start of the incarnation in Unix milliseconds.  */
  uint64_t per_1000_s; /* AB_RATE_LIMIT_NONE: the limit has ended.  */
  uint64_t age_ms;
};

enum ab_rate_limit_result
{
  AB_RATE_LIMIT_UNCHANGED, /* No other limit than before, or no memory.  */
  AB_RATE_LIMIT_CHANGED,
  AB_RATE_LIMIT_OUTDATED /* The host knows something newer.  */
};

/* Parses the decimal number TEXT, in requests per second.  Returns false, with
 *PER_1000_S unchanged, when TEXT is not a number that is 0 or greater.  */
bool ab_rate_limit_parse (struct ab_chunk text, uint64_t *per_1000_s);

struct ab_rate_limits;

/* Returns null without memory.  */
struct ab_rate_limits *ab_rate_limits_new (void);
void ab_rate_limits_free (struct ab_rate_limits *limits);

/* Records LIMIT, which SOURCE told.  */
enum ab_rate_limit_result
ab_rate_limits_learn (struct ab_rate_limits *limits,
                      const struct ab_rate_limit *limit, const char *source,
                      uint64_t now_ms);
/* Removes what is known of TARGET, which has been deregistered.  */
void ab_rate_limits_forget (struct ab_rate_limits *limits, const char *target);

/* Sets *LIMIT to what is known of TARGET.  Returns false when nothing is known
   of the incarnation that began at STARTED_MS.  */
bool ab_rate_limits_find (const struct ab_rate_limits *limits,
                          const char *target, uint64_t started_ms,
                          uint64_t now_ms, struct ab_rate_limit *limit);
/* Records that the process INCARNATION of the host PEER knows the limit of
   TARGET.  */
void ab_rate_limits_set_peer (struct ab_rate_limits *limits,
                              const char *target, const char *peer,
                              uint64_t incarnation);
/* Returns whether TARGET has no limit, or that process was the last one that
   was recorded to know it.  */
bool ab_rate_limits_peer_knows (const struct ab_rate_limits *limits,
                                const char *target, const char *peer,
                                uint64_t incarnation);
/* Returns the number of targets that have a limit now.  */
size_t ab_rate_limits_count (const struct ab_rate_limits *limits);
/* Returns the limits as a new JSON array, for the state dump.  */
json_t *ab_rate_limits_state (const struct ab_rate_limits *limits,
                              uint64_t now_ms);

#endif
