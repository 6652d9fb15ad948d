/* Whether a request may have run on a target.

   The verdict goes to callers in the Almond-Verdict header and in error
   bodies.  AB_VERDICT_NOT_RUN is a guarantee: the request did not run and no
   copy of it may run later.  */

#ifndef AB_VERDICT_H
#define AB_VERDICT_H

enum ab_verdict
{
  AB_VERDICT_NOT_RUN,
  AB_VERDICT_MAY_HAVE_RUN,
  AB_VERDICT_RAN
};

/* Returns "not-run", "may-have-run" or "ran".  */
const char *ab_verdict_name (enum ab_verdict verdict);

/* Combines the verdicts of two attempts at one request: the result is the
   one that guarantees less about the request not having run.  */
enum ab_verdict ab_verdict_join (enum ab_verdict a, enum ab_verdict b);

#endif
