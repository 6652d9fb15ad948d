/* Bounded record of decisions that explains what happened to a request or
   target.

   A subject is a request identifier or a target's address.  The record keeps
   the newest AB_EXPLAIN_EVENTS events of a subject.  It drops the least
   recently updated subjects when there are more than AB_EXPLAIN_SUBJECTS or
   they need more than AB_EXPLAIN_BYTES_MAX bytes of memory.  No I/O.  */

#ifndef AB_EXPLAIN_H
#define AB_EXPLAIN_H

#include <jansson.h>
#include <stdint.h>

#include "chunk.h"
#include "log.h"

#define AB_EXPLAIN_SUBJECTS 65536
#define AB_EXPLAIN_EVENTS 32
#define AB_EXPLAIN_BYTES_MAX (48 * 1024 * 1024)

struct ab_explain;

/* Returns null when out of memory.  */
struct ab_explain *ab_explain_new (void);
void ab_explain_free (struct ab_explain *explain);

/* Adds the event EVENT, a string literal, with COUNT FIELDS to SUBJECT.
   WALL_MS is the wall-clock time to show.  The event is dropped when out of
   memory.  */
void ab_explain_add (struct ab_explain *explain, struct ab_chunk subject,
                     uint64_t wall_ms, const char *event,
                     const struct ab_log_field *fields, size_t count);

/* Returns a JSON list of the events of SUBJECT, oldest first, which the caller
   owns; or null when the subject was never seen here or has been dropped.  */
json_t *ab_explain_get (const struct ab_explain *explain,
                        struct ab_chunk subject);

/* Returns the wall-clock time, in milliseconds, of the newest event of the
   subject that was dropped last; 0 when none has been dropped.  A subject
   without an event since then may have been dropped.  */
uint64_t ab_explain_dropped_before_ms (const struct ab_explain *explain);

/* Adds an event at the current time.  The file must include clock.h.  */
#define AB_EXPLAIN(explain, subject, event, ...)                              \
  do                                                                          \
    {                                                                         \
      const struct ab_log_field ab_fields_[] = { __VA_ARGS__ };               \
      ab_explain_add (explain, subject,                                       \
                      ab_clock_wall_ms (ab_clock_system ()), event,           \
                      ab_fields_, sizeof ab_fields_ / sizeof ab_fields_[0]);  \
    }                                                                         \
  while (0)

#endif
