#include "explain.h"

#include <stdlib.h>
#include <uthash.h>

#include "buf.h"

/* Slots allocated for the first event.  The number doubles when they are full,
   so AB_EXPLAIN_EVENTS must be this times a power of two.  */
#define EVENTS_INITIAL 4

struct explain_event
{
  uint64_t wall_ms;
  const char *name;
  char *text; /* "key=value" pairs, separated by spaces.  */
};

struct subject
{
  char *name;
  size_t name_len;
  uint64_t updated_ms; /* Wall-clock time of the newest event.  */
  size_t bytes;        /* Memory used, events and their texts included.  */
  /* Number of events ever added; the next one goes to the slot
     events_added % AB_EXPLAIN_EVENTS.  */
  size_t events_added;
  size_t cap; /* Slots allocated; most subjects have few events.  */
  struct explain_event *events;
  UT_hash_handle hh;
};

struct ab_explain
{
  struct subject *subjects; /* Least recently updated first.  */
  size_t bytes;             /* Memory used by all subjects.  */
  uint64_t dropped_before_ms;
};

struct ab_explain *
ab_explain_new (void)
{
  return calloc (1, sizeof (struct ab_explain));
}

static void
drop_subject (struct ab_explain *explain, struct subject *subject)
{
  HASH_DEL (explain->subjects, subject);
  explain->bytes -= subject->bytes;
  for (size_t i = 0; i < subject->cap; i++)
    free (subject->events[i].text);
  free (subject->events);
  free (subject->name);
  free (subject);
}

void
ab_explain_free (struct ab_explain *explain)
{
  if (!explain)
    return;
  while (explain->subjects)
    drop_subject (explain, explain->subjects);
  free (explain);
}

static struct subject *
find_subject (const struct ab_explain *explain, struct ab_chunk name)
{
  struct subject *subject = NULL;

  HASH_FIND (hh, explain->subjects, name.data, name.len, subject);
  return subject;
}

static struct subject *
add_subject (struct ab_explain *explain, struct ab_chunk name)
{
  struct subject *subject = calloc (1, sizeof *subject);

  if (!subject)
    return NULL;
  subject->name = malloc (name.len + 1);
  if (!subject->name)
    {
      free (subject);
      return NULL;
    }
  memcpy (subject->name, name.data, name.len);
  subject->name_len = name.len;
  subject->bytes = sizeof *subject + name.len;
  explain->bytes += subject->bytes;
  HASH_ADD_KEYPTR (hh, explain->subjects, subject->name, name.len, subject);
  return subject;
}

static void
append_fields (struct ab_buf *text, const struct ab_log_field *fields,
               size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      const struct ab_log_field *f = &fields[i];
      ab_buf_printf (text, "%s%s=", i ? " " : "", f->key);
      if (f->kind == AB_LOG_STRING)
        ab_buf_append_chunk (text, f->text);
      else if (f->kind == AB_LOG_NUMBER)
        ab_buf_printf (text, "%lld", (long long)f->number);
      else
        ab_buf_printf (text, "%.6g", f->real);
    }
}

/* Makes room for one more event.  Returns false when out of memory.  */
static bool
grow_events (struct ab_explain *explain, struct subject *subject)
{
  size_t cap = subject->cap ? 2 * subject->cap : EVENTS_INITIAL;
  struct explain_event *events;

  if (subject->events_added < subject->cap
      || subject->cap == AB_EXPLAIN_EVENTS)
    return true;
  events = realloc (subject->events, cap * sizeof *events);
  if (!events)
    return false;
  memset (events + subject->cap, 0, (cap - subject->cap) * sizeof *events);
  subject->bytes += (cap - subject->cap) * sizeof *events;
  explain->bytes += (cap - subject->cap) * sizeof *events;
  subject->events = events;
  subject->cap = cap;
  return true;
}

/* Stores EVENT, whose text has LEN bytes, in place of the oldest event if all
   slots are used.  */
static void
store_event (struct ab_explain *explain, struct subject *subject,
             const struct explain_event *event, size_t len)
{
  struct explain_event *slot
      = &subject->events[subject->events_added++ % AB_EXPLAIN_EVENTS];

  if (slot->text)
    {
      size_t old_len = strlen (slot->text);
      subject->bytes -= old_len;
      explain->bytes -= old_len;
      free (slot->text);
    }
  *slot = *event;
  subject->bytes += len;
  explain->bytes += len;
}

/* Removes the least recently updated subjects until both limits are met.  */
static void
evict_oldest (struct ab_explain *explain)
{
  while (explain->subjects
         && (HASH_COUNT (explain->subjects) > AB_EXPLAIN_SUBJECTS
             || explain->bytes > AB_EXPLAIN_BYTES_MAX))
    {
      explain->dropped_before_ms = explain->subjects->updated_ms;
      drop_subject (explain, explain->subjects);
    }
}

void
ab_explain_add (struct ab_explain *explain, struct ab_chunk name,
                uint64_t wall_ms, const char *event,
                const struct ab_log_field *fields, size_t count)
{
  struct subject *subject = find_subject (explain, name);
  struct ab_buf text = AB_BUF_INIT;
  struct explain_event added = { .wall_ms = wall_ms, .name = event };

  if (!subject)
    subject = add_subject (explain, name);
  if (!subject)
    return;
  ab_buf_append_str (&text, "");
  append_fields (&text, fields, count);
  if (text.error || !grow_events (explain, subject))
    {
      ab_buf_free (&text);
      return;
    }
  added.text = text.data;
  store_event (explain, subject, &added, text.len);
  subject->updated_ms = wall_ms;
  /* Moves the subject to the end of the hash's insertion order, by which
     evict_oldest selects.  */
  HASH_DEL (explain->subjects, subject);
  HASH_ADD_KEYPTR (hh, explain->subjects, subject->name, subject->name_len,
                   subject);
  evict_oldest (explain);
}

json_t *
ab_explain_get (const struct ab_explain *explain, struct ab_chunk name)
{
  const struct subject *subject = find_subject (explain, name);
  json_t *list;
  size_t first;

  if (!subject)
    return NULL;
  list = json_array ();
  first = subject->events_added > AB_EXPLAIN_EVENTS
              ? subject->events_added - AB_EXPLAIN_EVENTS
              : 0;
  for (size_t i = first; i < subject->events_added; i++)
    {
      const struct explain_event *e = &subject->events[i % AB_EXPLAIN_EVENTS];
      json_array_append_new (list, json_pack ("{s:I, s:s, s:s}", "time_ms",
                                              (json_int_t)e->wall_ms, "event",
                                              e->name, "detail", e->text));
    }
  return list;
}

uint64_t
ab_explain_dropped_before_ms (const struct ab_explain *explain)
{
  return explain->dropped_before_ms;
}
