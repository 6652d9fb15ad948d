/* Detects crashes of targets and quarantines the requests that cause them.

   When the connection to a target is lost, the target is probed to see whether
   it crashed.  The results go to the quarantine (quarantine.h).  What this
   host sees is passed to struct ab_crash_watch_ops, which notifies other
   hosts; what they see is to be added to the quarantine.  Targets that leave
   by plan are not taken for crashed.  */

#ifndef AB_CRASH_WATCH_TASK_H
#define AB_CRASH_WATCH_TASK_H

#include <jansson.h>

#include "daemon.h"
#include "quarantine.h"
#include "settings.h"

struct ab_crash_watch;

/* Called for what this host sees; each may be null.  SERVICE is that of the
   target that crashed last; empty if it is not known.  */
struct ab_crash_watch_ops
{
  void (*crashed) (void *ctx, const struct ab_quarantine_record *record,
                   const struct ab_quarantine_crash *crash,
                   const char *service);
  void (*blocked) (void *ctx, const struct ab_quarantine_record *record,
                   const char *service, uint64_t duration_ms);
  void (*lifted) (void *ctx, const struct ab_quarantine_record *record);
  /* How long a target is probed after a connection to it was lost.  */
  uint64_t probe_ms;
};

/* A target according to its latest announcement.  */
struct ab_crash_target
{
  const char *address;
  const char *service;
  const char *region;
  uint64_t incarnation;
  bool leaving; /* It drains or has left.  */
};

/* OPS must outlive the watch.  Returns 0 or AB_ERR_MEMORY.  */
int ab_crash_watch_new (struct ab_daemon *daemon,
                        const struct ab_crash_watch_ops *ops, void *ctx,
                        struct ab_crash_watch **watch);
void ab_crash_watch_free (struct ab_crash_watch *watch);

/* Returns the quarantine, whose times are monotonic milliseconds.  */
struct ab_quarantine *
ab_crash_watch_quarantine (const struct ab_crash_watch *watch);

void ab_crash_watch_set_target (struct ab_crash_watch *watch,
                                const struct ab_crash_target *target);
/* Records that the target at ADDRESS leaves by plan.  */
void ab_crash_watch_leaving (struct ab_crash_watch *watch,
                             const char *address);

/* Returns the region of the target at ADDRESS, or null when the target is
   unknown.  */
const char *ab_crash_watch_region (const struct ab_crash_watch *watch,
                                   const char *address);
/* Returns the incarnation of the target at ADDRESS, or 0 when the target is
   unknown.  */
uint64_t ab_crash_watch_incarnation (const struct ab_crash_watch *watch,
                                     const char *address);

/* Records that the connection to the target at ADDRESS was lost before a
   complete response to a request with CONTENT, and probes the target.
   INCARNATION is that of the target when the request was sent; LABEL describes
   the request to an operator.  */
void ab_crash_watch_lost (struct ab_crash_watch *watch, const char *address,
                          uint64_t incarnation,
                          const struct ab_digest *content, const char *label);
/* Records that the target at ADDRESS did not respond in time; it is not
   probed.  */
void ab_crash_watch_hung (struct ab_crash_watch *watch, const char *address,
                          uint64_t incarnation,
                          const struct ab_digest *content, const char *label);
/* Records that the target at ADDRESS refused a connection.  */
void ab_crash_watch_refused (struct ab_crash_watch *watch,
                             const char *address);

/* Logs that CONTENT is to be rejected for DURATION_MS and counts it.  CRASHED
   is the target that crashed last.  */
void ab_crash_watch_log_block (struct ab_crash_watch *watch,
                               const struct ab_quarantine_record *record,
                               const char *crashed, uint64_t duration_ms);

/* Logs that CONTENT is not rejected any more.  */
void ab_crash_watch_log_clear (const struct ab_digest *content);

/* Returns a state dump: the numbers of suspects and of records, and each
   record with what is blocked and for how long.  */
json_t *ab_crash_watch_state (const struct ab_crash_watch *watch);

#endif
