/* A caller's cache of the addresses of a service: queries entry hosts in turn,
   keeps the answer for the time it gives, and moves on after failures.  */

#ifndef ADDRESS_LIB_H
#define ADDRESS_LIB_H

#include "standin_lib.h"

#define ADDRESS_ENTRIES_MAX 64
#define ADDRESS_MAX 32

struct address_cache
{
  struct event_base *base;
  struct event *timer;
  char service[AB_ADDRESS_BYTES];
  char failure_domain[AB_ADDRESS_BYTES];
  char entries[ADDRESS_ENTRIES_MAX][AB_ADDRESS_BYTES];
  size_t entry_count;
  size_t entry; /* Queried next.  */
  char addresses[ADDRESS_MAX][AB_ADDRESS_BYTES];
  size_t address_count;
  size_t preferred;
  uint64_t answers;
  uint64_t failures;
  bool request_pending;
};

/* Starts the queries; the caller has filled the configuration.  Without entry
   hosts the given addresses are kept.  */
void address_cache_start (struct address_cache *cache);
void address_cache_stop (struct address_cache *cache);

/* The address to connect to, or null before the first answer.  */
const char *address_cache_get (const struct address_cache *cache);

/* ADDRESS could not be used: the next one is preferred and the hosts are
   queried again.  */
void address_cache_failed (struct address_cache *cache, const char *address);

#endif
