/* What targets asked of this host in their responses: to send them nothing
   more, since they leave, or nothing for some time.

   A notice belongs to one incarnation of a target.  It binds this host even
   while it is cut off from the control group, so it is checked for each grant
   that the host uses.  No I/O.  */

#ifndef AB_TARGET_NOTICES_H
#define AB_TARGET_NOTICES_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "chunk.h"

/* A target that asks for a longer pause gets this one.  */
#define AB_TARGET_PAUSE_MAX_MS 60000

enum ab_target_notice
{
  AB_NOTICE_NONE,
  AB_NOTICE_PAUSE, /* Takes no request until some time.  */
  AB_NOTICE_LEAVE  /* Takes no request any more.  */
};

struct ab_target_notices;

/* Returns null without memory.  */
struct ab_target_notices *ab_target_notices_new (void);
void ab_target_notices_free (struct ab_target_notices *notices);

/* Record what the incarnation STARTED_MS of TARGET asked for at NOW_MS.  The
   end of a pause is not moved forward by a shorter one.  Return whether that
   is new: a target repeats its notice in each response.  */
bool ab_target_notices_leave (struct ab_target_notices *notices,
                              const char *target, uint64_t started_ms,
                              uint64_t now_ms);
bool ab_target_notices_pause (struct ab_target_notices *notices,
                              const char *target, uint64_t started_ms,
                              uint64_t pause_ms, uint64_t now_ms);

/* Returns the notice in force for the incarnation STARTED_MS of TARGET.  Sets
 *LEFT_MS to the rest of a pause.  */
enum ab_target_notice
ab_target_notices_find (const struct ab_target_notices *notices,
                        const char *target, uint64_t started_ms,
                        uint64_t now_ms, uint64_t *left_ms);

/* Removes notices of other incarnations of TARGET than STARTED_MS; all of them
   if that is 0.  */
void ab_target_notices_set_target (struct ab_target_notices *notices,
                                   const char *target, uint64_t started_ms);

size_t ab_target_notices_count (const struct ab_target_notices *notices);
/* Returns the notices in force as a new JSON array, for the state dump.  */
json_t *ab_target_notices_state (const struct ab_target_notices *notices,
                                 uint64_t now_ms);

/* Parses a Retry-After header in seconds, which may have a fraction.  Sets
   *PAUSE_MS, at most AB_TARGET_PAUSE_MAX_MS.  Returns false for a date, a
   negative number and anything else.  */
bool ab_target_pause_parse (struct ab_chunk text, uint64_t *pause_ms);

#endif
