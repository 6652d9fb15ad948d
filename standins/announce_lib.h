/* Client of /v1/targets: announces a target at the first entry host that
   answers, renews the lease there, and changes to the next entry host when
   that one stops answering.  */

#ifndef ANNOUNCE_LIB_H
#define ANNOUNCE_LIB_H

#include "standin_lib.h"

#define ANNOUNCE_ENTRIES_MAX 32

struct announce_config
{
  char service[AB_ADDRESS_BYTES];
  char address[AB_ADDRESS_BYTES];
  char region[AB_ADDRESS_BYTES];
  char failure_domain[AB_ADDRESS_BYTES];
  char token[AB_ADDRESS_BYTES * 2];
  unsigned slots;
  uint64_t lease_ms;
  char entries[ANNOUNCE_ENTRIES_MAX][AB_ADDRESS_BYTES];
  size_t entry_count;
};

struct announce;

/* Starts to announce the target; CONFIG is copied.  Returns null when out of
   memory.  */
struct announce *announce_new (struct event_base *base,
                               const struct announce_config *config);

/* Drains the target, so that it gets no new requests; renewals go on.  */
void announce_drain (struct announce *announce);

/* Deletes the target and calls DONE when the host has answered or the
   request has failed.  */
void announce_delete (struct announce *announce, void (*done) (void *ctx),
                      void *ctx);

/* Returns the address of the entry host that holds the lease, or an empty
   string while there is none.  */
const char *announce_registrar (const struct announce *announce);

/* Returns how often the entry host has been changed.  */
unsigned announce_entry_changes (const struct announce *announce);

#endif
