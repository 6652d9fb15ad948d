/* Bounded record of decisions, for "what happened to this request or
   target".

   A subject is a request identifier or a target's address.  Each keeps the
   newest AB_EXPLAIN_EVENTS events; the AB_EXPLAIN_SUBJECTS subjects touched
   last are kept, and AB_EXPLAIN_BYTES_MAX bounds the whole.  */

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

struct ab_explain *ab_explain_new (void);
void ab_explain_free (struct ab_explain *explain);

/* Adds an event to SUBJECT; fields as for the logger.  WALL_MS is the time
   shown.  */
void ab_explain_add (struct ab_explain *explain, struct ab_chunk subject,
                     uint64_t wall_ms, const char *event,
                     const struct ab_log_field *fields, size_t count);

/* A JSON list of the events of SUBJECT, oldest first, or null when it is not
   known: never seen here, or aged out.  */
json_t *ab_explain_get (const struct ab_explain *explain,
                        struct ab_chunk subject);

/* When the oldest subject dropped so far was touched last; 0 when none was
   dropped.  A subject older than this may have aged out.  */
uint64_t ab_explain_horizon_ms (const struct ab_explain *explain);

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
