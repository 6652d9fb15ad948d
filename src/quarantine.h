/* Recognises a request that crashes the targets that run it.

   A connection that is lost without a complete response, or a response that
   does not come in time, makes the content of the request suspect.  If the
   target then refuses connections within AB_QUARANTINE_CONFIRM_MS or comes
   back with a new incarnation within AB_QUARANTINE_RETURN_MS, the target
   crashed, and the crash is recorded for the content of every request that was
   lost with it.  Crashes of two different targets block the content, or three
   of one target.  Crashes may be reported by other hosts
   (ab_quarantine_reported), so that two that are seen by two hosts are
   combined.

   Two crashes may be a coincidence while other targets crash without the
   content, or when other content was lost in the same two.  A third is needed
   then, which the content that causes the crashes will have alone.

   Content that gets a complete successful response is cleared, and crashes in
   the next AB_QUARANTINE_ANSWERED_MS do not count for it: a request that
   crashes targets never gets one, but a request that was in flight at the same
   time does.  Records expire after AB_QUARANTINE_MARK_MS.  A block is lifted
   after AB_QUARANTINE_BLOCK_MS, because it may affect content that was in
   flight at each crash by chance; one more crash after it blocks the content
   again, for twice as long.

   The state depends on nothing but the calls and their times, so that replicas
   with the same calls are equal.  Times are milliseconds of any one clock.  No
   I/O.  */

#ifndef AB_QUARANTINE_H
#define AB_QUARANTINE_H

#include <stddef.h>
#include <stdint.h>

#include "conf.h"
#include "digest.h"

#define AB_QUARANTINE_CONFIRM_MS 2000
#define AB_QUARANTINE_RETURN_MS 10000
#define AB_QUARANTINE_ANSWERED_MS 3000
#define AB_QUARANTINE_MARK_MS (10 * 60 * 1000)
#define AB_QUARANTINE_BLOCK_MS (10 * 60 * 1000)
#define AB_QUARANTINE_DOUBLINGS 5
#define AB_QUARANTINE_LONGEST_MS                                              \
  ((uint64_t)AB_QUARANTINE_BLOCK_MS << AB_QUARANTINE_DOUBLINGS)
/* Crashes of other targets in this time before a crash may explain it.  */
#define AB_QUARANTINE_OTHERS_MS 10000
#define AB_QUARANTINE_RECORDS_MAX 512
#define AB_QUARANTINE_SUSPECTS_MAX 1024
#define AB_QUARANTINE_CRASHES_MAX 3
#define AB_QUARANTINE_LABEL_BYTES 96

struct ab_quarantine;

/* A crash of one incarnation of a target.  INCARNATION is 0 when it is not
   known.  */
struct ab_quarantine_crash
{
  char target[AB_ADDRESS_BYTES];
  uint64_t incarnation;
};

/* What is known of one content.  */
struct ab_quarantine_record
{
  struct ab_digest content;
  /* Describes the request to an operator; empty if unknown.  */
  char label[AB_QUARANTINE_LABEL_BYTES];
  struct ab_quarantine_crash crashes[AB_QUARANTINE_CRASHES_MAX];
  size_t crash_count;
  uint64_t since_ms; /* Time of the last change of the other fields.  */
  unsigned blocks;   /* How often the content was blocked.  */
  uint64_t blocked_until_ms;
  bool cleared; /* Has neither crashes nor blocks any more.  */
  uint64_t stamp;
};

/* Callbacks, called from inside the functions below; each may be null.  */
struct ab_quarantine_ops
{
  /* This host has seen that RECORD's content crashed the target of CRASH;
     other hosts should be notified.  */
  void (*mark) (void *ctx, const struct ab_quarantine_record *record,
                const struct ab_quarantine_crash *crash);
  /* RECORD's content is to be rejected for DURATION_MS.  CRASHED is the target
     that crashed last.  */
  void (*block) (void *ctx, const struct ab_quarantine_record *record,
                 const char *crashed, uint64_t duration_ms);
  /* RECORD's content, which was blocked, is not to be rejected any more: other
     content was lost in the same crashes.  */
  void (*lift) (void *ctx, const struct ab_quarantine_record *record);
};

struct ab_quarantine *ab_quarantine_new (const struct ab_quarantine_ops *ops,
                                         void *ctx);
void ab_quarantine_free (struct ab_quarantine *quarantine);

/* Records that TARGET gave no complete response to a request with CONTENT that
   was written at least in part.  INCARNATION is
   the target's as known when the request was sent.  LABEL is copied.  */
void ab_quarantine_lost (struct ab_quarantine *quarantine, const char *target,
                         uint64_t incarnation, const struct ab_digest *content,
                         const char *label, uint64_t now_ms);

/* Records that TARGET refuses connections.  */
void ab_quarantine_refused (struct ab_quarantine *quarantine,
                            const char *target, uint64_t now_ms);

/* Records that TARGET announced itself with INCARNATION.  */
void ab_quarantine_announced (struct ab_quarantine *quarantine,
                              const char *target, uint64_t incarnation,
                              uint64_t now_ms);

/* Records that TARGET has ended by plan: requests that it did not answer are
   not suspect.  */
void ab_quarantine_left (struct ab_quarantine *quarantine, const char *target);

/* Records that a request with CONTENT got a complete successful response:
   deletes its record and its suspects.  */
void ab_quarantine_answered (struct ab_quarantine *quarantine,
                             const struct ab_digest *content, uint64_t now_ms);

/* Records that another host saw CONTENT crash a target.  If the content is
   blocked here, which that host did not know, it is blocked again for the time
   that remains.  A crash that is recorded already changes nothing.  */
void ab_quarantine_reported (struct ab_quarantine *quarantine,
                             const struct ab_quarantine_crash *crash,
                             const struct ab_digest *content,
                             const char *label, uint64_t now_ms);

/* Deletes all records of CONTENT, after an operator released it.  */
void ab_quarantine_forget (struct ab_quarantine *quarantine,
                           const struct ab_digest *content);

/* As ab_quarantine_forget, but keeps a record that says that CONTENT is
   cleared, for other hosts.  */
void ab_quarantine_clear (struct ab_quarantine *quarantine,
                          const struct ab_digest *content, uint64_t now_ms);

/* Sets the stamp of records that change from now on.  */
void ab_quarantine_set_stamp (struct ab_quarantine *quarantine,
                              uint64_t stamp);

/* Adds what another host knows of a content, with times of this host's clock,
   to what is known here.  Returns whether the content is blocked now and was
   not before.  */
bool ab_quarantine_merge (struct ab_quarantine *quarantine,
                          const struct ab_quarantine_record *record,
                          uint64_t now_ms);

/* Deletes expired records.  */
void ab_quarantine_tick (struct ab_quarantine *quarantine, uint64_t now_ms);

/* Queries.  */

/* Returns the record of CONTENT, or null.  */
const struct ab_quarantine_record *
ab_quarantine_find (const struct ab_quarantine *quarantine,
                    const struct ab_digest *content);
/* Returns whether CONTENT got a successful response within the last
   AB_QUARANTINE_ANSWERED_MS.  May miss one among many.  */
bool ab_quarantine_was_answered (const struct ab_quarantine *quarantine,
                                 const struct ab_digest *content,
                                 uint64_t now_ms);
/* Returns whether RECORD has CRASH.  An incarnation that is not known is taken
   for any one.  */
bool ab_quarantine_has_crash (const struct ab_quarantine_record *record,
                              const struct ab_quarantine_crash *crash);
/* Returns for how long CONTENT is still blocked; 0 if it is not.  */
uint64_t ab_quarantine_blocked_ms (const struct ab_quarantine *quarantine,
                                   const struct ab_digest *content,
                                   uint64_t now_ms);
/* Returns false when no record's content begins with the
   AB_DIGEST_PREFIX_BYTES of PREFIX.  May return true when there is none.  */
bool ab_quarantine_may_have (const struct ab_quarantine *quarantine,
                             const uint8_t *prefix);
/* Return the number of suspects, of records and of those that are blocked, for
   the state dump.  */
size_t ab_quarantine_suspects (const struct ab_quarantine *quarantine);
size_t ab_quarantine_records (const struct ab_quarantine *quarantine);
size_t ab_quarantine_blocked (const struct ab_quarantine *quarantine,
                              uint64_t now_ms);

/* Visit the records, and the crashes of the last AB_QUARANTINE_OTHERS_MS, in
   an order that depends on the calls alone.  */
void ab_quarantine_visit (
    const struct ab_quarantine *quarantine,
    void (*visit) (void *ctx, const struct ab_quarantine_record *record),
    void *ctx);
void ab_quarantine_visit_crashes (
    const struct ab_quarantine *quarantine,
    void (*visit) (void *ctx, const struct ab_quarantine_crash *crash,
                   uint64_t since_ms),
    void *ctx);

/* Restore a record or a crash that was visited, with its stamp.  To be called
   in the same order on an empty quarantine.  Return 0 or AB_ERR_MEMORY.  */
int ab_quarantine_restore (struct ab_quarantine *quarantine,
                           const struct ab_quarantine_record *record);
int ab_quarantine_restore_crash (struct ab_quarantine *quarantine,
                                 const struct ab_quarantine_crash *crash,
                                 uint64_t since_ms);

#endif
