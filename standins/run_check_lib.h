/* Compares the requests that targets ran with the responses of callers.

   Targets log "run KEY REQUEST-ID" for every request that they run.  The
   journal of the load generator has a line "KEY ATTEMPT VERDICT STATUS" for
   every response to a request with an idempotency key.  */

#ifndef RUN_CHECK_LIB_H
#define RUN_CHECK_LIB_H

#include <stddef.h>

struct run_check;

struct run_check_result
{
  size_t keys;         /* Keys in the journal.  */
  size_t ran_twice;    /* Keys that ran more than once.  */
  size_t not_run_ran;  /* Keys with only "not-run" verdicts that ran.  */
  size_t ran_missing;  /* Keys with a "ran" verdict that no target ran.  */
  size_t may_have_run; /* Keys whose last verdict was "may-have-run".  */
};

struct run_check *run_check_new (void);
void run_check_free (struct run_check *check);

/* Read a target's log or a journal.  Return 0, or -1 if PATH can't be
   opened.  */
int run_check_add_log (struct run_check *check, const char *path);
int run_check_add_journal (struct run_check *check, const char *path);

struct run_check_result run_check_result (const struct run_check *check);

#endif
