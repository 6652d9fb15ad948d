/* Client of /v1/addresses: a caller's cache of the addresses of a service.
   Keeps the response of an entry host for its time to live, and changes to the
   next entry host after a failure.  */

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
  size_t current_entry; /* Index of the entry host to query.  */
  char addresses[ADDRESS_MAX][AB_ADDRESS_BYTES];
  size_t address_count;
  size_t preferred; /* Index of the address to connect to.  */
  uint64_t answers;
  uint64_t failures;
  bool request_pending;
};

/* Starts to fetch addresses.  The caller first sets BASE, SERVICE,
   FAILURE_DOMAIN and either ENTRIES or a fixed list of ADDRESSES, which is
   kept when there are no entry hosts.  */
void address_cache_start (struct address_cache *cache);
void address_cache_stop (struct address_cache *cache);

/* Returns the address to connect to, or null before the first response.  */
const char *address_cache_get (const struct address_cache *cache);

/* Reports that ADDRESS could not be used.  If it is the preferred address, the
   next one becomes preferred and the next entry host is queried.  */
void address_cache_report_failure (struct address_cache *cache,
                                   const char *address);

#endif
