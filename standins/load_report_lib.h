/* Results of a load generator's run, in total or for one class of requests.
   No I/O.  */

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
  LOAD_NO_VERDICT, /* No complete response, or no Almond-Verdict header.  */
  LOAD_VERDICTS
};

struct load_counts
{
  char name[LOAD_NAME_BYTES];
  uint64_t sent;
  uint64_t ok;
  uint64_t failed[LOAD_VERDICTS]; /* Calls that failed, by last verdict.  */
  uint64_t cut;    /* Failed calls whose connection was lost after sending.  */
  uint64_t wrong;  /* Responses that do not belong to their request.  */
  uint64_t resent; /* Retries.  */
  uint64_t replayed; /* Recorded responses to an idempotency key.  */
  uint64_t skipped;  /* Attempts without a free connection or an address.  */
  uint64_t statuses[LOAD_STATUS_MAX];
  /* Error responses by error code; further codes are not counted.  */
  struct
  {
    char code[LOAD_NAME_BYTES];
    uint64_t count;
  } codes[LOAD_CODES_MAX];
  /* Of successful calls, in microseconds from their scheduled start.  */
  struct ab_histogram *latency;
};

/* Returns the verdict of an Almond-Verdict header's TEXT, LOAD_NO_VERDICT if
   it is null or unknown.  */
enum load_verdict load_verdict_parse (const char *text);
const char *load_verdict_name (enum load_verdict verdict);

void load_counts_init (struct load_counts *counts, const char *name);
void load_counts_free (struct load_counts *counts);

/* Counts an error response with the error code CODE.  */
void load_counts_add_error (struct load_counts *counts, const char *code);

/* Returns an object with all counts, and the goodput over DURATION_US
   microseconds.  */
json_t *load_counts_json (const struct load_counts *counts,
                          uint64_t duration_us);

#endif
