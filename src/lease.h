/* Leases of the targets that announced themselves to this host, the registrar.

   A target renews its lease here; only changes (announced, draining, left,
   expired) go on to the membership view, in batches that the owner takes.
   Expiries are spread: when many leases run out together, it is more likely
   that this host was cut off or did not run than that all targets died.  */

#ifndef AB_LEASE_H
#define AB_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "member_item.h"

#define AB_LEASES_MAX 65536
#define AB_LEASE_ID_BYTES 33 /* 128 random bits in hexadecimal, with null. */
#define AB_LEASE_MS_MIN 500
#define AB_LEASE_MS_MAX 60000
#define AB_LEASE_MS_DEFAULT 3000
/* A target renews this often in a lease, so that it may lose two renewals.  */
#define AB_LEASE_RENEWALS 3
/* Of the leases held, so many may expire in a second, and at least
   AB_LEASE_EXPIRIES_MIN.  */
#define AB_LEASE_EXPIRY_FRACTION 0.1
#define AB_LEASE_EXPIRIES_MIN 2

enum ab_lease_state
{
  AB_LEASE_HELD,
  AB_LEASE_REPLACED, /* The target has moved or has been restarted.  */
  AB_LEASE_ENDED     /* Left or expired; kept until that has been taken.  */
};

struct ab_lease
{
  char id[AB_LEASE_ID_BYTES];
  struct ab_target_view target;
  uint64_t lease_ms;
  uint64_t expires_ms;
  enum ab_lease_state state;
};

struct ab_leases;

/* Null without memory.  */
struct ab_leases *ab_leases_new (void);
void ab_leases_free (struct ab_leases *leases);

/* Makes a lease with the new ID, or renews the one that the same incarnation
   of the target has.  The pointer is valid until the next command.
   AB_ERR_STALE when a newer incarnation has a lease, AB_ERR_FULL,
   AB_ERR_MEMORY.  */
int ab_leases_announce (struct ab_leases *leases,
                        const struct ab_target_view *target, uint64_t lease_ms,
                        const char *id, uint64_t now_ms,
                        const struct ab_lease **lease);

/* AB_ERR_NOT_FOUND, AB_ERR_STALE when the target has been replaced.  */
int ab_leases_renew (struct ab_leases *leases, struct ab_chunk id,
                     uint64_t now_ms, const struct ab_lease **lease);
int ab_leases_drain (struct ab_leases *leases, struct ab_chunk id,
                     uint64_t now_ms, const struct ab_lease **lease);
/* The target leaves; AB_ERR_NOT_FOUND, AB_ERR_STALE.  */
int ab_leases_end (struct ab_leases *leases, struct ab_chunk id);

/* Tells that the view has a newer incarnation or another registrar for
   TARGET.  The lease is kept until it runs out, to refuse its renewals.  */
void ab_leases_replace (struct ab_leases *leases,
                        const struct ab_target_view *target);

/* Ends leases that have run out.  */
void ab_leases_expire (struct ab_leases *leases, uint64_t now_ms);

/* Takes a time in which this process did not run off all leases.  */
void ab_leases_shift (struct ab_leases *leases, uint64_t stall_ms);

/* Takes the changes, at most MAX, drains and ends first; the lease's state
   and its target's state tell what to spread.  Changes of one target between
   two calls are one.  */
typedef void (*ab_lease_taker) (void *ctx, const struct ab_lease *lease);
size_t ab_leases_take (struct ab_leases *leases, size_t max,
                       ab_lease_taker take, void *ctx);

/* Queries.  */
bool ab_leases_hold (const struct ab_leases *leases,
                     const struct ab_target_view *target);
size_t ab_leases_count (const struct ab_leases *leases);
size_t ab_leases_waiting (const struct ab_leases *leases);
/* Leases that have run out and wait for their turn to expire.  */
size_t ab_leases_overdue (const struct ab_leases *leases, uint64_t now_ms);

#endif
