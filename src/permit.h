/* State machine of ejection permits: a counting semaphore for each service.

   A service of capacity C targets and floor F has at most C - ceil (F * C)
   permits outstanding.  A holder, which is a host in one incarnation, states
   how many permits it wants to have, with a sequence number; the newest
   statement counts.  So a repeated, delayed or lost message never changes how
   many are counted.

   Permits stay counted while their holder is silent: a partitioned host may
   still keep its targets ejected.  They are freed when the holder lowers its
   number, when its host is seen with a newer incarnation, or when an operator
   removes the host.

   When capacity or floor change so that more are outstanding than allowed,
   holders are asked to give some back (ab_permits_revoked).  Those stay
   counted until their holder has lowered its number.  */

#ifndef AB_PERMIT_H
#define AB_PERMIT_H

#include "buf.h"
#include "settings.h"

#define AB_PERMIT_HOSTS_MAX 65536

struct ab_permits;

struct ab_permit_holder
{
  char host[AB_NAME_BYTES];
  uint64_t incarnation;
};

struct ab_permit_counts
{
  uint64_t capacity;
  double floor;
  uint64_t allowed;
  uint64_t outstanding;
};

struct ab_permits *ab_permits_new (void);
void ab_permits_free (struct ab_permits *permits);

/* Commands.  */

/* States that HOLDER wants COUNT permits of SERVICE; *HELD is how many it
   has afterwards.  Lowering always succeeds; raising as far as permits are
   left.  AB_ERR_STALE when HOLDER's host was seen with a newer incarnation or
   was removed, or SEQUENCE is older than one seen before; AB_ERR_FULL with too
   many hosts.  */
int ab_permits_set (struct ab_permits *permits, struct ab_chunk service,
                    const struct ab_permit_holder *holder, uint64_t sequence,
                    uint64_t count, uint64_t *held);

/* Sets the number of targets of SERVICE.  */
int ab_permits_set_capacity (struct ab_permits *permits,
                             struct ab_chunk service, uint64_t capacity);

/* Starts a new set of floors: services that get none by the next calls of
   ab_permits_set_floor have the floor 1, which allows no permit.  */
void ab_permits_clear_floors (struct ab_permits *permits);
int ab_permits_set_floor (struct ab_permits *permits, struct ab_chunk service,
                          double floor);

/* Tells that HOLDER's process runs: frees the permits of older incarnations
   of its host.  */
int ab_permits_host_seen (struct ab_permits *permits,
                          const struct ab_permit_holder *holder);

/* Frees all permits of HOST; it gets new ones in a newer incarnation only.
   AB_ERR_NOT_FOUND when it never had any.  */
int ab_permits_forget_host (struct ab_permits *permits, struct ab_chunk host);

/* Queries.  */
int ab_permits_counts (const struct ab_permits *permits,
                       struct ab_chunk service,
                       struct ab_permit_counts *counts);

/* Called for each service.  */
typedef void (*ab_permit_service_visitor) (
    void *ctx, const char *service, const struct ab_permit_counts *counts);
void ab_permits_services (const struct ab_permits *permits,
                          ab_permit_service_visitor visit, void *ctx);

/* The permits of a holder; REVOKED of its HELD ones are asked back.  SEQUENCE
   is that of its newest statement.  */
struct ab_permit_holding
{
  const char *service;
  struct ab_permit_holder holder;
  uint64_t sequence;
  uint64_t held;
  uint64_t revoked;
};

/* Called for each holder that has permits.  */
typedef void (*ab_permit_holder_visitor) (
    void *ctx, const struct ab_permit_holding *holding);
void ab_permits_holders (const struct ab_permits *permits,
                         ab_permit_holder_visitor visit, void *ctx);

/* Snapshot, in parts as in ledger.h.  */
int ab_permits_save (const struct ab_permits *permits, struct ab_buf *out);
int ab_permits_load (struct ab_permits *permits, struct ab_chunk *input);

#endif
