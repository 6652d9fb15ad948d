/* Logger: one line of key=value pairs for each event.

   A line starts with ts (UTC, milliseconds), level, host and event; values
   that contain spaces, quotes or control bytes are quoted and escaped, and
   those of more than AB_LOG_VALUE_BYTES end there with "...".  Each
   event name may write at most AB_LOG_EVENTS_PER_SECOND lines a second; the
   next line of that event which is written gives the number of suppressed
   lines as "suppressed".  The logger is the process's only global state.  */

#ifndef AB_LOG_H
#define AB_LOG_H

#include <stdint.h>

#include "chunk.h"

#define AB_LOG_EVENTS_PER_SECOND 50
/* A pipe takes a line of up to 4,096 bytes as a whole or not at all.  */
#define AB_LOG_VALUE_BYTES 512

enum ab_log_level
{
  AB_LOG_DEBUG,
  AB_LOG_INFO,
  AB_LOG_WARN,
  AB_LOG_ERROR
};

/* One key=value pair; made by ab_log_str, ab_log_chunk, ab_log_int or
   ab_log_real.  */
struct ab_log_field
{
  const char *key;
  enum
  {
    AB_LOG_STRING,
    AB_LOG_NUMBER,
    AB_LOG_REAL
  } kind;
  struct ab_chunk text;
  int64_t number;
  double real;
};

/* Opens PATH for appending, or uses standard error when PATH is null.  Lines
   below LEVEL are left out.  HOST is the value of "host" in every line.
   Returns 0, AB_ERR_IO or AB_ERR_TOO_LARGE (PATH is too long).  */
int ab_log_open (const char *path, enum ab_log_level level, const char *host);

/* Directs the log to standard output and makes that non-blocking, so that a
   slow reader never blocks the process: a line that cannot be written at once
   is dropped and counted.  Returns 0 or AB_ERR_IO.  */
int ab_log_open_stdout (enum ab_log_level level, const char *host);

/* Returns the number of lines since the start of the process that were
   dropped because they could not be written.  */
uint64_t ab_log_dropped (void);

/* Opens the log file again after log rotation has renamed it; does nothing
   when the log is not a file.  Returns 0 or AB_ERR_IO.  */
int ab_log_reopen (void);

/* Sets *LEVEL from "debug", "info", "warn" or "error".  Returns 0, or
   AB_ERR_INVALID for any other TEXT.  */
int ab_log_level_parse (struct ab_chunk text, enum ab_log_level *level);

/* Writes one line, unless LEVEL is below the level of the log or the rate
   limit of EVENT is reached.  EVENT is a string literal, because its address
   identifies it in the rate limit.  */
void ab_log_write (enum ab_log_level level, const char *event,
                   const struct ab_log_field *fields, size_t count);

static inline struct ab_log_field
ab_log_str (const char *key, const char *value)
{
  return (struct ab_log_field){ .key = key,
                                .kind = AB_LOG_STRING,
                                .text = ab_chunk_str (value) };
}

static inline struct ab_log_field
ab_log_chunk (const char *key, struct ab_chunk value)
{
  return (
      struct ab_log_field){ .key = key, .kind = AB_LOG_STRING, .text = value };
}

static inline struct ab_log_field
ab_log_int (const char *key, int64_t value)
{
  return (struct ab_log_field){ .key = key,
                                .kind = AB_LOG_NUMBER,
                                .number = value };
}

static inline struct ab_log_field
ab_log_real (const char *key, double value)
{
  return (
      struct ab_log_field){ .key = key, .kind = AB_LOG_REAL, .real = value };
}

/* Writes one line, as in
   AB_LOG (AB_LOG_INFO, "bundle_in_force", ab_log_int ("version", 7));  */
#define AB_LOG(level, event, ...)                                             \
  do                                                                          \
    {                                                                         \
      const struct ab_log_field ab_log_fields_[] = { __VA_ARGS__ };           \
      ab_log_write (level, event, ab_log_fields_,                             \
                    sizeof ab_log_fields_ / sizeof ab_log_fields_[0]);        \
    }                                                                         \
  while (0)

#endif
