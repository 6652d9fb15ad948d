/* In-memory log of a consensus group's member: the entries after a base index,
   whose term is kept too.  The log owns copies of the entries' data.  No
   I/O.  */

#ifndef AB_RAFT_LOG_H
#define AB_RAFT_LOG_H

#include "raft.h"

struct ab_raft_log
{
  struct ab_raft_entry *entries;
  size_t count;
  size_t cap;
  /* Index and term of the entry before the first one held.  */
  uint64_t base_index;
  uint64_t base_term;
};

void ab_raft_log_free (struct ab_raft_log *log);

/* Drops all entries and sets the base to INDEX and TERM; the next entry has
   index INDEX + 1.  */
void ab_raft_log_reset (struct ab_raft_log *log, uint64_t index,
                        uint64_t term);

/* Appends a copy of ENTRY, whose index must follow the last one.
   AB_ERR_MEMORY, AB_ERR_INVALID.  */
int ab_raft_log_push (struct ab_raft_log *log,
                      const struct ab_raft_entry *entry);

/* Drops the entries at FIRST_INDEX and after.  */
void ab_raft_log_truncate (struct ab_raft_log *log, uint64_t first_index);

/* Drops the entries up to and including INDEX, which becomes the base.  */
void ab_raft_log_drop_prefix (struct ab_raft_log *log, uint64_t index);

uint64_t ab_raft_log_last_index (const struct ab_raft_log *log);
uint64_t ab_raft_log_last_term (const struct ab_raft_log *log);

/* Returns the entry at INDEX, or null when it is not held.  */
const struct ab_raft_entry *ab_raft_log_get (const struct ab_raft_log *log,
                                             uint64_t index);

/* Sets *TERM to the term at INDEX, which may be the base, and returns true;
   returns false when it is not known.  */
bool ab_raft_log_term (const struct ab_raft_log *log, uint64_t index,
                       uint64_t *term);

/* Returns the first held index of the run of entries that have the same term
   as the entry at INDEX.  */
uint64_t ab_raft_log_term_start (const struct ab_raft_log *log,
                                 uint64_t index);

/* Returns the last index up to LIMIT whose term is at most TERM; the base when
   there is none.  */
uint64_t ab_raft_log_last_of_term (const struct ab_raft_log *log,
                                   uint64_t limit, uint64_t term);

#endif
