/* Replicated state machine of ejection permits: a counting semaphore for each
   service.

   A service with a capacity of C targets and a floor F has at most
   C - ceil (F * C) permits outstanding.  A holder is one incarnation of a
   host.  It sets the number of permits that it wants, with a sequence
   number, and the request with the highest sequence number takes effect.  A
   duplicate, delayed or lost message therefore never changes the count.

   Permits stay counted while their holder is unresponsive, as a partitioned
   host may still keep its targets ejected.  They are freed when the holder
   lowers its number, when its host is seen with a newer incarnation, or when
   an operator removes the host.

   When a change of capacity or floor leaves more permits outstanding than
   allowed, the excess is revoked (struct ab_permit_holding).  Revoked permits
   stay counted until their holder has lowered its number.

   No I/O.  */

#ifndef AB_PERMIT_H
#define AB_PERMIT_H

#include "buf.h"
#include "settings.h"

/* Limit on the hosts that have ever requested a permit.  */
#define AB_PERMIT_HOSTS_MAX 65536

struct ab_permits;

struct ab_permit_holder
{
  char host[AB_NAME_BYTES];
  uint64_t incarnation;
};

struct ab_permit_counts
{
  uint64_t capacity;    /* Number of targets.  */
  double floor;         /* Fraction that must stay in service.  */
  uint64_t allowed;     /* Limit on outstanding permits.  */
  uint64_t outstanding; /* Granted and not returned.  */
};

/* Returns an empty state, or null if memory is exhausted.  */
struct ab_permits *ab_permits_new (void);
void ab_permits_free (struct ab_permits *permits);

/* Commands.  */

/* Sets to COUNT the number of permits of SERVICE that HOLDER wants.  *HELD
   becomes the number that it holds afterwards: a lower number is always
   granted, a higher one as far as permits are available.  Returns 0;
   AB_ERR_STALE if HOLDER's host was removed or seen with a newer incarnation,
   or if SEQUENCE is lower than an earlier one; AB_ERR_FULL if there are too
   many hosts; or AB_ERR_MEMORY.  */
int ab_permits_set (struct ab_permits *permits, struct ab_chunk service,
                    const struct ab_permit_holder *holder, uint64_t sequence,
                    uint64_t count, uint64_t *held);

/* Sets the number of targets of SERVICE.  Returns 0 or AB_ERR_MEMORY.  */
int ab_permits_set_capacity (struct ab_permits *permits,
                             struct ab_chunk service, uint64_t capacity);

/* Resets the floor of all services to 1, which allows no permit, before
   ab_permits_set_floor is called for each service of a new bundle.  */
void ab_permits_clear_floors (struct ab_permits *permits);
/* Sets the floor of SERVICE, 0 to 1.  Returns 0 or AB_ERR_MEMORY.  */
int ab_permits_set_floor (struct ab_permits *permits, struct ab_chunk service,
                          double floor);

/* Records that HOLDER's process runs and frees the permits of earlier
   incarnations of its host.  Returns 0.  */
int ab_permits_host_seen (struct ab_permits *permits,
                          const struct ab_permit_holder *holder);

/* Frees all permits of HOST, which gets new ones in a newer incarnation only.
   Returns 0, or AB_ERR_NOT_FOUND if it never requested any.  */
int ab_permits_remove_host (struct ab_permits *permits, struct ab_chunk host);

/* Queries.  */

/* Fills COUNTS for SERVICE.  Returns 0 or AB_ERR_NOT_FOUND.  */
int ab_permits_counts (const struct ab_permits *permits,
                       struct ab_chunk service,
                       struct ab_permit_counts *counts);

typedef void (*ab_permit_service_visitor) (
    void *ctx, const char *service, const struct ab_permit_counts *counts);

/* Calls VISIT for each service.  */
void ab_permits_visit_services (const struct ab_permits *permits,
                                ab_permit_service_visitor visit, void *ctx);

/* The permits of SERVICE that HOLDER has: HELD, of which it must return
   REVOKED.  SEQUENCE is that of its latest request.  */
struct ab_permit_holding
{
  const char *service;
  struct ab_permit_holder holder;
  uint64_t sequence;
  uint64_t held;
  uint64_t revoked;
};

typedef void (*ab_permit_holder_visitor) (
    void *ctx, const struct ab_permit_holding *holding);

/* Calls VISIT for each holder and service with at least one permit held.  */
void ab_permits_visit_holders (const struct ab_permits *permits,
                               ab_permit_holder_visitor visit, void *ctx);

/* Append a snapshot to OUT and read one into the empty PERMITS.  The format in
   parts, the parameters and errors are those of ab_ledger_save and
   ab_ledger_load.  */
int ab_permits_save (const struct ab_permits *permits, struct ab_buf *out);
int ab_permits_load (struct ab_permits *permits, struct ab_chunk *input);

#endif
