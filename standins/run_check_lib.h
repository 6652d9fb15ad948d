/* Compares what targets ran with what callers were told.

   Targets write "run KEY REQUEST-ID" for every request that they run; the
   load tool's journal has "KEY ATTEMPT VERDICT STATUS" for every answer to a
   keyed request.  */

#ifndef RUN_CHECK_LIB_H
#define RUN_CHECK_LIB_H

#include <stddef.h>

struct run_check;

struct run_check_result
{
  size_t keys;         /* In the journal.  */
  size_t ran_twice;    /* Keys that ran more than once.  */
  size_t not_run_ran;  /* Only told "not-run", and yet it ran.  */
  size_t ran_missing;  /* Told "ran", but no target ran it.  */
  size_t may_have_run; /* Keys whose last answer was "may-have-run".  */
};

struct run_check *run_check_new (void);
void run_check_free (struct run_check *check);

/* Read a target's log or a journal; 0, or -1 when it cannot be read.  */
int run_check_add_log (struct run_check *check, const char *path);
int run_check_add_journal (struct run_check *check, const char *path);

struct run_check_result run_check_result (const struct run_check *check);

#endif
