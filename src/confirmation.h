/* How old a host's copy of the control group's state can be.

   A copy is confirmed as of a time when it certainly held every change that
   was acknowledged before.  A control host confirms its copy with a read that
   a majority answers: the copy is complete as of the time when the read was
   started.  An entry host sends its own time to a control host, which echoes
   it with its copy and the age of its own confirmation: the copy is complete
   as of the echoed time less that age.  Each host compares only times of its
   own clock, and a message that is held up makes what it confirms older.

   Times are in milliseconds of a clock that counts while the host is
   suspended (ab_clock_monotonic_ms).  No I/O.  */

#ifndef AB_CONFIRMATION_H
#define AB_CONFIRMATION_H

#include <stdbool.h>
#include <stdint.h>

/* Part of the lifetime of keys within which a confirmation counts.  The rest
   covers the rounding of times and clocks that run at different speeds.  */
#define AB_CONFIRMATION_SHARE 0.9

struct ab_confirmation
{
  uint64_t at_ms; /* The copy is complete as of this time; 0: not known.  */
};

/* Takes over that the copy is complete as of AT_MS.  A time that is not above
   the known one changes nothing.  */
void ab_confirmation_advance (struct ab_confirmation *confirmation,
                              uint64_t at_ms);

/* Takes over a copy that a control host sent with ECHO_MS, a time that this
   host sent to it, and AGE_MS, the age of its confirmation.  SINCE_MS is the
   start of this process.  An echo from before that or from after NOW_MS is of
   another clock and ignored.  Returns whether the confirmation advanced.  */
bool ab_confirmation_echoed (struct ab_confirmation *confirmation,
                             uint64_t since_ms, uint64_t now_ms,
                             uint64_t echo_ms, uint64_t age_ms);

/* Returns the time since the copy was complete; UINT64_MAX if that is not
   known.  */
uint64_t ab_confirmation_age_ms (const struct ab_confirmation *confirmation,
                                 uint64_t now_ms);

/* Returns whether a copy of AGE_MS is too old to honour keys.  A LIFETIME_MS
   of 0 is no limit.  */
bool ab_confirmation_expired (uint64_t age_ms, uint64_t lifetime_ms);

#endif
