/* Recognises a request that crashes the targets that run it.

   A connection that is lost without a response makes the content of the
   request suspect.  If the target then refuses connections or comes back with
   a new incarnation within AB_QUARANTINE_CONFIRM_MS, the target crashed, and
   the content of every request that was lost with it gets a mark.  Marks of
   two different targets block the content.  A mark may come from another host
   (ab_quarantine_reported), so that two crashes seen by two hosts are
   combined.

   Content that gets a complete response loses its marks: a request that
   crashes targets never gets one, but a request that was in flight at the same
   time does.  Marks expire after AB_QUARANTINE_MARK_MS.  The first block is
   short, because it may affect content that was in flight at both crashes by
   chance; one more crash after it blocks the content again, for twice as long.
   Times are monotonic milliseconds.  No I/O.  */

#ifndef AB_QUARANTINE_H
#define AB_QUARANTINE_H

#include <stddef.h>
#include <stdint.h>

#include "conf.h"
#include "digest.h"

#define AB_QUARANTINE_CONFIRM_MS 2000
#define AB_QUARANTINE_MARK_MS (10 * 60 * 1000)
#define AB_QUARANTINE_BLOCK_MS (2 * 60 * 1000)
#define AB_QUARANTINE_DOUBLINGS 5
#define AB_QUARANTINE_MARKS_MAX 4096 /* Largest number of marks.  */
#define AB_QUARANTINE_SUSPECTS_MAX 1024

struct ab_quarantine;

/* Callbacks, called from inside the functions below.  */
struct ab_quarantine_ops
{
  /* CONTENT crashed one TARGET; other hosts should be notified.  */
  void (*mark) (void *ctx, const struct ab_digest *content,
                const char *target);
  /* CONTENT crashed FIRST and SECOND and is to be rejected for
     DURATION_MS.  */
  void (*block) (void *ctx, const struct ab_digest *content, const char *first,
                 const char *second, uint64_t duration_ms);
};

struct ab_quarantine *ab_quarantine_new (const struct ab_quarantine_ops *ops,
                                         void *ctx);
void ab_quarantine_free (struct ab_quarantine *quarantine);

/* Records that the connection to TARGET was lost before any response to a
   request with CONTENT that was written at least in part.  INCARNATION is the
   target's as known when the request was sent.  */
void ab_quarantine_lost (struct ab_quarantine *quarantine, const char *target,
                         uint64_t incarnation, const struct ab_digest *content,
                         uint64_t now_ms);

/* Records that TARGET refuses connections.  */
void ab_quarantine_refused (struct ab_quarantine *quarantine,
                            const char *target, uint64_t now_ms);

/* Records that TARGET announced itself with INCARNATION.  */
void ab_quarantine_announced (struct ab_quarantine *quarantine,
                              const char *target, uint64_t incarnation,
                              uint64_t now_ms);

/* Records that a request with CONTENT got a complete response.  */
void ab_quarantine_answered (struct ab_quarantine *quarantine,
                             const struct ab_digest *content);

/* Records that another host saw CONTENT crash TARGET.  If the content is
   blocked here, which that host did not know, it is blocked again for the time
   that remains.  */
void ab_quarantine_reported (struct ab_quarantine *quarantine,
                             const char *target,
                             const struct ab_digest *content, uint64_t now_ms);

/* Deletes all records of CONTENT, after an operator released it.  */
void ab_quarantine_forget (struct ab_quarantine *quarantine,
                           const struct ab_digest *content);

/* Deletes expired records.  */
void ab_quarantine_tick (struct ab_quarantine *quarantine, uint64_t now_ms);

/* Return the number of suspects and of marks, for the state dump.  */
size_t ab_quarantine_suspects (const struct ab_quarantine *quarantine);
size_t ab_quarantine_marks (const struct ab_quarantine *quarantine);

#endif
