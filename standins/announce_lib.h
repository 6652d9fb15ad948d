/* Announcing a target at an entry host, as /v1/targets wants it: announces at
   the first host that answers, renews, and moves on when that one is lost.  */

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

/* Starts to announce; CONFIG is copied.  */
struct announce *announce_new (struct event_base *base,
                               const struct announce_config *config);

/* Asks for no new work; renewals go on.  */
void announce_drain (struct announce *announce);

/* Deletes the target and calls DONE when the host has answered or the
   request has failed.  */
void announce_delete (struct announce *announce, void (*done) (void *ctx),
                      void *ctx);

/* The host announced at, or an empty string; and how often it changed.  */
const char *announce_registrar (const struct announce *announce);
unsigned announce_moves (const struct announce *announce);

#endif
