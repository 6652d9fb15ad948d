#include "log.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "buf.h"
#include "clock.h"
#include "error.h"

#define LOG_HOST_BYTES 64
#define LOG_PATH_BYTES 512
#define LOG_RATE_SLOTS 256
#define LOG_RATE_PERIOD_MS 1000

/* Rate limit of one event name: the lines written and suppressed in the
   current period.  */
struct rate_slot
{
  const char *event;
  uint64_t period_start_ms;
  unsigned written;
  unsigned suppressed;
};

static struct
{
  int fd;
  enum ab_log_level level;
  char host[LOG_HOST_BYTES];
  char path[LOG_PATH_BYTES];
  struct rate_slot rates[LOG_RATE_SLOTS];
  uint64_t dropped;
} logger = { .fd = STDERR_FILENO, .level = AB_LOG_INFO };

static const char *const level_names[] = { "debug", "info", "warn", "error" };

static int
open_file (void)
{
  int fd = open (logger.path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0640);

  if (fd < 0)
    return AB_ERR_IO;
  if (logger.fd != STDERR_FILENO)
    close (logger.fd);
  logger.fd = fd;
  return 0;
}

int
ab_log_open (const char *path, enum ab_log_level level, const char *host)
{
  logger.level = level;
  snprintf (logger.host, sizeof logger.host, "%s", host ? host : "");
  if (!path)
    return 0;
  if (strlen (path) >= sizeof logger.path)
    return AB_ERR_TOO_LARGE;
  snprintf (logger.path, sizeof logger.path, "%s", path);
  return open_file ();
}

int
ab_log_open_stdout (enum ab_log_level level, const char *host)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  logger.level = level;
  snprintf (logger.host, sizeof logger.host, "%s", host ? host : "");
  logger.fd = STDOUT_FILENO;
  if (flags < 0 || fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) < 0)
    return AB_ERR_IO;
  return 0;
}

uint64_t
ab_log_dropped (void)
{
  return logger.dropped;
}

int
ab_log_reopen (void)
{
  return logger.path[0] ? open_file () : 0;
}

int
ab_log_level_parse (struct ab_chunk text, enum ab_log_level *level)
{
  for (int i = AB_LOG_DEBUG; i <= AB_LOG_ERROR; i++)
    if (ab_chunk_equal (text, ab_chunk_str (level_names[i])))
      {
        *level = (enum ab_log_level)i;
        return 0;
      }
  return AB_ERR_INVALID;
}

static bool
needs_quotes (struct ab_chunk text)
{
  if (text.len == 0)
    return true;
  for (size_t i = 0; i < text.len; i++)
    {
      unsigned char c = (unsigned char)text.data[i];
      if (c <= ' ' || c >= 0x7f || c == '"' || c == '=' || c == '\\')
        return true;
    }
  return false;
}

static void
append_text (struct ab_buf *line, struct ab_chunk text)
{
  const char *end = "";

  if (text.len > AB_LOG_VALUE_BYTES)
    {
      text.len = AB_LOG_VALUE_BYTES;
      end = "...";
    }
  if (!needs_quotes (text))
    {
      ab_buf_append_chunk (line, text);
      ab_buf_append_str (line, end);
      return;
    }
  ab_buf_append_str (line, "\"");
  for (size_t i = 0; i < text.len; i++)
    {
      unsigned char c = (unsigned char)text.data[i];
      if (c == '"' || c == '\\')
        ab_buf_printf (line, "\\%c", c);
      else if (c < ' ' || c == 0x7f)
        ab_buf_printf (line, "\\x%02x", c);
      else
        ab_buf_append (line, &text.data[i], 1);
    }
  ab_buf_append_str (line, end);
  ab_buf_append_str (line, "\"");
}

static void
append_time (struct ab_buf *line)
{
  uint64_t now_ms = ab_clock_wall_ms (ab_clock_system ());
  time_t seconds = (time_t)(now_ms / 1000);
  struct tm tm;
  char text[32];

  gmtime_r (&seconds, &tm);
  strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%S", &tm);
  ab_buf_printf (line, "ts=%s.%03uZ", text, (unsigned)(now_ms % 1000));
}

/* Returns the slot of EVENT.  Event names are string literals, so the pointer
   identifies one.  Two names may share a slot; each then resets the counts of
   the other.  */
static struct rate_slot *
find_rate_slot (const char *event)
{
  return &logger.rates[((uintptr_t)event >> 3) % LOG_RATE_SLOTS];
}

/* Counts a line of EVENT and returns whether the rate limit lets it
   through.  *SUPPRESSED is the number of lines of EVENT that were suppressed
   in the period that has just ended, or 0.  */
static bool
admit_line (struct rate_slot *slot, const char *event, unsigned *suppressed)
{
  uint64_t now_ms = ab_clock_monotonic_ms (ab_clock_system ());

  *suppressed = 0;
  if (slot->event != event
      || now_ms - slot->period_start_ms >= LOG_RATE_PERIOD_MS)
    {
      *suppressed = slot->event == event ? slot->suppressed : 0;
      *slot = (struct rate_slot){ .event = event, .period_start_ms = now_ms };
    }
  if (slot->written >= AB_LOG_EVENTS_PER_SECOND)
    {
      slot->suppressed++;
      return false;
    }
  slot->written++;
  return true;
}

static void
append_field (struct ab_buf *line, const struct ab_log_field *field)
{
  ab_buf_printf (line, " %s=", field->key);
  switch (field->kind)
    {
    case AB_LOG_STRING:
      append_text (line, field->text);
      break;
    case AB_LOG_NUMBER:
      ab_buf_printf (line, "%lld", (long long)field->number);
      break;
    case AB_LOG_REAL:
      ab_buf_printf (line, "%.6g", field->real);
      break;
    }
}

void
ab_log_write (enum ab_log_level level, const char *event,
              const struct ab_log_field *fields, size_t count)
{
  struct ab_buf line = AB_BUF_INIT;
  unsigned suppressed;

  if (level < logger.level
      || !admit_line (find_rate_slot (event), event, &suppressed))
    return;
  append_time (&line);
  ab_buf_printf (&line, " level=%s host=", level_names[level]);
  append_text (&line, ab_chunk_str (logger.host));
  ab_buf_printf (&line, " event=%s", event);
  for (size_t i = 0; i < count; i++)
    append_field (&line, &fields[i]);
  if (suppressed)
    ab_buf_printf (&line, " suppressed=%u", suppressed);
  ab_buf_append_str (&line, "\n");
  if (!line.error && write (logger.fd, line.data, line.len) < 0)
    logger.dropped++;
  ab_buf_free (&line);
}
