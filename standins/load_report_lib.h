/* Results of a load run, by class of request.  */

#ifndef LOAD_REPORT_LIB_H
#define LOAD_REPORT_LIB_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "counter.h"

#define LOAD_NAME_BYTES 64
#define LOAD_STATUS_MAX 600
#define LOAD_CODES_MAX 32

enum load_verdict
{
  LOAD_NOT_RUN,
  LOAD_MAY_HAVE_RUN,
  LOAD_RAN,
  LOAD_NO_VERDICT, /* No whole answer, or one without the header.  */
  LOAD_VERDICTS
};

struct load_counts
{
  char name[LOAD_NAME_BYTES];
  uint64_t sent;
  uint64_t ok;
  uint64_t failed[LOAD_VERDICTS];
  uint64_t cut;   /* Connections lost after the request was sent.  */
  uint64_t wrong; /* Answers that do not belong to their request.  */
  uint64_t resent;
  uint64_t replayed;
  uint64_t skipped; /* Not sent in time: all connections were busy.  */
  uint64_t statuses[LOAD_STATUS_MAX];
  /* Failures by the code of their error; the rest is not counted.  */
  struct
  {
    char code[LOAD_NAME_BYTES];
    uint64_t count;
  } codes[LOAD_CODES_MAX];
  struct ab_histogram *latency; /* Of successes, from the scheduled time.  */
};

enum load_verdict load_verdict_parse (const char *text);
const char *load_verdict_name (enum load_verdict verdict);

void load_counts_init (struct load_counts *counts, const char *name);
void load_counts_free (struct load_counts *counts);

/* Counts a failure with the error CODE.  */
void load_counts_code (struct load_counts *counts, const char *code);

/* One object of all figures; DURATION_US is for the goodput.  */
json_t *load_counts_json (const struct load_counts *counts,
                          uint64_t duration_us);

#endif
