/* HTTP client that sends each request to two addresses at the same moment, so
   that both are measured under the same load of the machine.  */

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
  bool keyed;    /* POST with an idempotency key, else GET.  */
  unsigned rate; /* Pairs per second, at most 1,000.  */
  uint64_t duration_ms;
};

struct paired_result
{
  size_t ok[PAIRED_SIDES];     /* Responses with status 200.  */
  size_t failed[PAIRED_SIDES]; /* Other, lost and unsent requests.  */
  double p50_ms[PAIRED_SIDES]; /* Latency of the responses with status 200.  */
  double p99_ms[PAIRED_SIDES];
};

/* Runs LOAD to its end.  Returns false if it could not start.  */
bool paired_load_run (const struct paired_load *load,
                      struct paired_result *result);

#endif
