/* Recognises a request that crashes the targets that run it.

   A connection that is lost without a response makes a request's content
   suspect; when the target then refuses connections or comes back with a new
   incarnation within AB_QUARANTINE_CONFIRM_MS, the target crashed and every
   content that was lost with it gets a mark.  Marks of two different targets
   block the content.  A mark may come from another host (ab_quarantine_heard),
   so that two crashes seen by two hosts are joined.

   A content that gets a whole response loses its marks: a request that
   crashes targets never gets one, a request that was in flight beside it
   does.  Marks lapse after AB_QUARANTINE_MARK_MS.  The first block is short,
   because it may meet a content that was near both crashes by chance; one
   more crash after it blocks again, for twice as long.  Times are monotonic
   milliseconds.  */

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
#define AB_QUARANTINE_ITEMS_MAX 4096 /* Marks.  */
#define AB_QUARANTINE_SUSPECTS_MAX 1024

struct ab_quarantine;

/* Called from inside the functions below.  */
struct ab_quarantine_ops
{
  /* CONTENT crashed one TARGET; other hosts should hear of it.  */
  void (*mark) (void *ctx, const struct ab_digest *content,
                const char *target);
  /* CONTENT crashed FIRST and SECOND and is to be refused for
     DURATION_MS.  */
  void (*block) (void *ctx, const struct ab_digest *content, const char *first,
                 const char *second, uint64_t duration_ms);
};

struct ab_quarantine *ab_quarantine_new (const struct ab_quarantine_ops *ops,
                                         void *ctx);
void ab_quarantine_free (struct ab_quarantine *quarantine);

/* The connection to TARGET was lost before any response to a request with
   CONTENT that was written at least in part.  INCARNATION is the target's as
   known when the request was sent.  */
void ab_quarantine_lost (struct ab_quarantine *quarantine, const char *target,
                         uint64_t incarnation, const struct ab_digest *content,
                         uint64_t now_ms);

/* TARGET refuses connections.  */
void ab_quarantine_refused (struct ab_quarantine *quarantine,
                            const char *target, uint64_t now_ms);

/* TARGET announced itself with INCARNATION.  */
void ab_quarantine_announced (struct ab_quarantine *quarantine,
                              const char *target, uint64_t incarnation,
                              uint64_t now_ms);

/* A request with CONTENT got a whole response.  */
void ab_quarantine_answered (struct ab_quarantine *quarantine,
                             const struct ab_digest *content);

/* Another host saw CONTENT crash TARGET.  When the content is blocked here,
   which that host did not know, it is blocked again for the time that is
   left.  */
void ab_quarantine_heard (struct ab_quarantine *quarantine, const char *target,
                          const struct ab_digest *content, uint64_t now_ms);

/* Forgets CONTENT, after an operator's release.  */
void ab_quarantine_forget (struct ab_quarantine *quarantine,
                           const struct ab_digest *content);

/* Drops what has lapsed.  */
void ab_quarantine_tick (struct ab_quarantine *quarantine, uint64_t now_ms);

/* Numbers of suspects and of marks, for the state dump.  */
size_t ab_quarantine_suspects (const struct ab_quarantine *quarantine);
size_t ab_quarantine_marks (const struct ab_quarantine *quarantine);

#endif
