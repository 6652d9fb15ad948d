#include "raft_log.h"

#include <stdlib.h>

#include "error.h"

#define LOG_MIN_ENTRIES 64

static void
free_entries (struct ab_raft_log *log, size_t first, size_t end)
{
  for (size_t i = first; i < end; i++)
    free ((void *)log->entries[i].data.data);
}

void
ab_raft_log_free (struct ab_raft_log *log)
{
  free_entries (log, 0, log->count);
  free (log->entries);
  memset (log, 0, sizeof *log);
}

void
ab_raft_log_reset (struct ab_raft_log *log, uint64_t index, uint64_t term)
{
  free_entries (log, 0, log->count);
  log->count = 0;
  log->base_index = index;
  log->base_term = term;
}

static int
grow (struct ab_raft_log *log)
{
  size_t cap = log->cap ? log->cap * 2 : LOG_MIN_ENTRIES;
  struct ab_raft_entry *entries
      = realloc (log->entries, cap * sizeof *entries);

  if (!entries)
    return AB_ERR_MEMORY;
  log->entries = entries;
  log->cap = cap;
  return 0;
}

int
ab_raft_log_push (struct ab_raft_log *log, const struct ab_raft_entry *entry)
{
  char *data;

  if (entry->index != ab_raft_log_last_index (log) + 1)
    return AB_ERR_INVALID;
  if (log->count == log->cap && grow (log) < 0)
    return AB_ERR_MEMORY;
  data = malloc (entry->data.len + 1);
  if (!data)
    return AB_ERR_MEMORY;
  if (entry->data.len > 0)
    memcpy (data, entry->data.data, entry->data.len);
  log->entries[log->count] = *entry;
  log->entries[log->count].data.data = data;
  log->count++;
  return 0;
}

void
ab_raft_log_truncate (struct ab_raft_log *log, uint64_t first_index)
{
  size_t keep = first_index > log->base_index
                    ? (size_t)(first_index - log->base_index - 1)
                    : 0;

  if (keep >= log->count)
    return;
  free_entries (log, keep, log->count);
  log->count = keep;
}

void
ab_raft_log_drop_prefix (struct ab_raft_log *log, uint64_t index)
{
  uint64_t term;
  size_t drop;

  if (index <= log->base_index || !ab_raft_log_term (log, index, &term))
    return;
  drop = (size_t)(index - log->base_index);
  free_entries (log, 0, drop);
  log->count -= drop;
  memmove (log->entries, log->entries + drop,
           log->count * sizeof *log->entries);
  log->base_index = index;
  log->base_term = term;
}

uint64_t
ab_raft_log_last_index (const struct ab_raft_log *log)
{
  return log->base_index + log->count;
}

uint64_t
ab_raft_log_last_term (const struct ab_raft_log *log)
{
  return log->count ? log->entries[log->count - 1].term : log->base_term;
}

const struct ab_raft_entry *
ab_raft_log_get (const struct ab_raft_log *log, uint64_t index)
{
  if (index <= log->base_index || index > ab_raft_log_last_index (log))
    return NULL;
  return &log->entries[index - log->base_index - 1];
}

bool
ab_raft_log_term (const struct ab_raft_log *log, uint64_t index,
                  uint64_t *term)
{
  const struct ab_raft_entry *entry = ab_raft_log_get (log, index);

  if (!entry && index != log->base_index)
    return false;
  *term = entry ? entry->term : log->base_term;
  return true;
}

uint64_t
ab_raft_log_term_start (const struct ab_raft_log *log, uint64_t index)
{
  const struct ab_raft_entry *entry = ab_raft_log_get (log, index);
  const struct ab_raft_entry *before = entry;

  while (before && before->term == entry->term)
    before = ab_raft_log_get (log, --index);
  return index + 1;
}

uint64_t
ab_raft_log_last_of_term (const struct ab_raft_log *log, uint64_t limit,
                          uint64_t term)
{
  const struct ab_raft_entry *entry = ab_raft_log_get (log, limit);

  while (entry && entry->term > term)
    entry = ab_raft_log_get (log, --limit);
  return limit;
}
