#include "held_attempts.h"

#include <stdlib.h>
#include <uthash.h>

/* A scheduler that knows of an attempt.  */
struct knower
{
  char host[AB_ADDRESS_BYTES];
  uint64_t incarnation; /* Zero if it was not known which process was told.  */
};

struct held_attempt
{
  struct ab_sched_attempt attempt;
  uint64_t granted_ms;
  struct knower knowers[AB_HELD_SCHEDULERS_MAX];
  size_t knower_count;
  size_t next_knower; /* The one to be replaced when all are in use.  */
  UT_hash_handle hh;
};

struct scheduler_process
{
  char host[AB_ADDRESS_BYTES];
  uint64_t incarnation; /* Zero if not known.  */
  UT_hash_handle hh;
};

struct ab_held_attempts
{
  struct held_attempt *attempts; /* By id.  */
  struct scheduler_process *processes;
};

struct ab_held_attempts *
ab_held_attempts_new (void)
{
  return calloc (1, sizeof (struct ab_held_attempts));
}

void
ab_held_attempts_free (struct ab_held_attempts *held)
{
  struct held_attempt *attempt;
  struct scheduler_process *process;

  if (!held)
    return;
  attempt = held->attempts;
  process = held->processes;
  HASH_CLEAR (hh, held->attempts);
  HASH_CLEAR (hh, held->processes);
  while (attempt)
    {
      struct held_attempt *next = attempt->hh.next;
      free (attempt);
      attempt = next;
    }
  while (process)
    {
      struct scheduler_process *next = process->hh.next;
      free (process);
      process = next;
    }
  free (held);
}

static uint64_t
find_incarnation (const struct ab_held_attempts *held, const char *scheduler)
{
  struct scheduler_process *process = NULL;

  HASH_FIND_STR (held->processes, scheduler, process);
  return process ? process->incarnation : 0;
}

void
ab_held_attempts_answered (struct ab_held_attempts *held,
                           const char *scheduler, uint64_t incarnation)
{
  struct scheduler_process *process = NULL;

  HASH_FIND_STR (held->processes, scheduler, process);
  if (!process)
    {
      process = calloc (1, sizeof *process);
      if (!process)
        return;
      ab_chunk_copy_bounded (ab_chunk_str (scheduler), process->host,
                             sizeof process->host);
      HASH_ADD_STR (held->processes, host, process);
    }
  process->incarnation = incarnation;
}

void
ab_held_attempts_silent (struct ab_held_attempts *held, const char *scheduler)
{
  struct scheduler_process *process = NULL;

  HASH_FIND_STR (held->processes, scheduler, process);
  if (process)
    process->incarnation = 0;
}

/* Records that the process INCARNATION of SCHEDULER knows of ATTEMPT.  Returns
   false if it did before.  */
static bool
record_knower (struct held_attempt *attempt, const char *scheduler,
               uint64_t incarnation)
{
  struct knower *knower = NULL;

  for (size_t i = 0; i < attempt->knower_count && !knower; i++)
    if (strcmp (attempt->knowers[i].host, scheduler) == 0)
      knower = &attempt->knowers[i];
  if (knower && knower->incarnation == incarnation)
    return false;
  if (!knower && attempt->knower_count < AB_HELD_SCHEDULERS_MAX)
    knower = &attempt->knowers[attempt->knower_count++];
  else if (!knower)
    {
      knower = &attempt->knowers[attempt->next_knower];
      attempt->next_knower
          = (attempt->next_knower + 1) % AB_HELD_SCHEDULERS_MAX;
    }
  ab_chunk_copy_bounded (ab_chunk_str (scheduler), knower->host,
                         sizeof knower->host);
  knower->incarnation = incarnation;
  return true;
}

void
ab_held_attempts_add (struct ab_held_attempts *held,
                      const struct ab_sched_attempt *attempt,
                      const char *scheduler, uint64_t now_ms)
{
  struct held_attempt *entry = calloc (1, sizeof *entry);

  if (!entry)
    return;
  entry->attempt = *attempt;
  entry->granted_ms = now_ms;
  record_knower (entry, scheduler, find_incarnation (held, scheduler));
  HASH_ADD (hh, held->attempts, attempt.id, sizeof entry->attempt.id, entry);
}

size_t
ab_held_attempts_end (
    struct ab_held_attempts *held, uint64_t id,
    char schedulers[AB_HELD_SCHEDULERS_MAX][AB_ADDRESS_BYTES])
{
  struct held_attempt *attempt = NULL;
  size_t count;

  HASH_FIND (hh, held->attempts, &id, sizeof id, attempt);
  if (!attempt)
    return 0;
  count = attempt->knower_count;
  for (size_t i = 0; i < count; i++)
    memcpy (schedulers[i], attempt->knowers[i].host, AB_ADDRESS_BYTES);
  HASH_DEL (held->attempts, attempt);
  free (attempt);
  return count;
}

size_t
ab_held_attempts_report (struct ab_held_attempts *held, const char *scheduler,
                         bool (*is_wanted) (void *ctx, const char *target),
                         void *ctx, struct ab_sched_attempt *list, size_t max,
                         uint64_t now_ms)
{
  uint64_t incarnation = find_incarnation (held, scheduler);
  size_t count = 0;

  for (struct held_attempt *attempt = held->attempts; attempt && count < max;
       attempt = attempt->hh.next)
    {
      if (!is_wanted (ctx, attempt->attempt.target)
          || !record_knower (attempt, scheduler, incarnation))
        continue;
      list[count] = attempt->attempt;
      list[count].age_ms = now_ms - attempt->granted_ms;
      count++;
    }
  return count;
}
