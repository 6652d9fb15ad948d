/* Messages about requests that crash targets, between gateways, control hosts
   and in the replicated log (quarantine.h).  No I/O.  */

#ifndef AB_FLEET_QUARANTINE_H
#define AB_FLEET_QUARANTINE_H

#include <jansson.h>

#include "pack.h"
#include "quarantine.h"

/* Maximum number of reports in one message or command.  */
#define AB_FLEET_REPORTS_MAX 64

enum ab_fleet_report_kind
{
  AB_FLEET_REPORT_CRASHED = 1, /* CONTENT crashed the target of CRASH.  */
  AB_FLEET_REPORT_ANSWERED,    /* CONTENT got a successful response.  */
  AB_FLEET_REPORT_RELEASED     /* An operator released CONTENT.  */
};

struct ab_fleet_report
{
  enum ab_fleet_report_kind kind;
  struct ab_digest content;
  char label[AB_QUARANTINE_LABEL_BYTES];
  struct ab_quarantine_crash crash;
};

/* Encode and decode a report as an array.  Errors of decoding are left in
   READER.  */
void ab_fleet_pack_report (struct ab_buf *out,
                           const struct ab_fleet_report *report);
void ab_fleet_read_report (struct ab_reader *reader,
                           struct ab_fleet_report *report);

/* Encode and decode a record as an array, with all its fields.  */
void ab_fleet_pack_record (struct ab_buf *out,
                           const struct ab_quarantine_record *record);
void ab_fleet_read_record (struct ab_reader *reader,
                           struct ab_quarantine_record *record);

/* Returns whether REPORT would change QUARANTINE, which may be null.  */
bool ab_fleet_report_is_news (const struct ab_quarantine *quarantine,
                              const struct ab_fleet_report *report,
                              uint64_t now_ms);
/* Applies REPORT at time NOW_MS.  */
void ab_fleet_report_apply (struct ab_quarantine *quarantine,
                            const struct ab_fleet_report *report,
                            uint64_t now_ms);

/* Encode all of QUARANTINE, and fill an empty one.  Loading returns 0,
   AB_ERR_CORRUPT or AB_ERR_MEMORY.  */
void ab_fleet_save_quarantine (struct ab_buf *out,
                               const struct ab_quarantine *quarantine);
int ab_fleet_load_quarantine (struct ab_reader *reader,
                              struct ab_quarantine *quarantine);

/* Returns an array of the records of QUARANTINE, which may be null, for
   operators: what is blocked, why, and for how long.  NOW_MS is on the clock
   of the records.  */
json_t *ab_fleet_quarantine_state (const struct ab_quarantine *quarantine,
                                   uint64_t now_ms);

#endif
