/* Client that sends each request twice at the same moment, once to either of
   two addresses, so that both sides meet the same load of the machine.  */

#ifndef PAIRED_LOAD_LIB_H
#define PAIRED_LOAD_LIB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PAIRED_SIDES 2

struct paired_load
{
  const char *addresses[PAIRED_SIDES]; /* "IP:PORT".  */
  const char *token;
  const char *path;
  bool keyed;    /* POST with an idempotency key; else GET.  */
  unsigned rate; /* Pairs a second, at most 1,000.  */
  uint64_t duration_ms;
};

struct paired_result
{
  size_t ok[PAIRED_SIDES];     /* Answers of status 200.  */
  size_t failed[PAIRED_SIDES]; /* Others, lost and unsent ones.  */
  double p50_ms[PAIRED_SIDES]; /* Of the answers of status 200.  */
  double p99_ms[PAIRED_SIDES];
};

/* Runs LOAD; false when it can't start.  */
bool paired_load_run (const struct paired_load *load,
                      struct paired_result *result);

#endif
