/* The log of a consensus group's member in memory: the entries after a base,
   whose index and term are kept.  It owns copies of the entries' data.  */

#ifndef AB_RAFT_LOG_H
#define AB_RAFT_LOG_H

#include "raft.h"

struct ab_raft_log
{
  struct ab_raft_entry *entries;
  size_t count;
  size_t cap;
  uint64_t base_index;
  uint64_t base_term;
};

void ab_raft_log_free (struct ab_raft_log *log);

/* Drops all entries; the next one is INDEX + 1.  */
void ab_raft_log_reset (struct ab_raft_log *log, uint64_t index,
                        uint64_t term);

/* Appends a copy of ENTRY, whose index must be the next.  AB_ERR_MEMORY,
   AB_ERR_INVALID.  */
int ab_raft_log_push (struct ab_raft_log *log,
                      const struct ab_raft_entry *entry);

/* Drops the entries from FIRST_INDEX on.  */
void ab_raft_log_truncate (struct ab_raft_log *log, uint64_t first_index);

/* Drops the entries up to INDEX, which becomes the base.  */
void ab_raft_log_drop_prefix (struct ab_raft_log *log, uint64_t index);

uint64_t ab_raft_log_last_index (const struct ab_raft_log *log);
uint64_t ab_raft_log_last_term (const struct ab_raft_log *log);

/* The entry at INDEX, or null when it is not held.  */
const struct ab_raft_entry *ab_raft_log_get (const struct ab_raft_log *log,
                                             uint64_t index);

/* Whether the term at INDEX is known, also at the base.  */
bool ab_raft_log_term (const struct ab_raft_log *log, uint64_t index,
                       uint64_t *term);

/* The first held index of the run of entries of one term that INDEX is in. */
uint64_t ab_raft_log_term_start (const struct ab_raft_log *log,
                                 uint64_t index);

/* The last index not above LIMIT whose term is at most TERM; the base when
   there is none.  */
uint64_t ab_raft_log_last_of_term (const struct ab_raft_log *log,
                                   uint64_t limit, uint64_t term);

#endif
