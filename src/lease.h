/* Leases of the targets that announced themselves to this host, the registrar.

   A target renews its lease here; only changes (announced, draining, left,
   expired) are passed on to the membership view, in batches that the owner
   takes.  The rate of expiries is limited: when many leases run out together,
   it is more likely that this host was cut off or did not run than that all
   targets died.  No I/O.  */

#ifndef AB_LEASE_H
#define AB_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "member_item.h"

#define AB_LEASES_MAX 65536
/* 128 random bits in hexadecimal, and a null byte.  */
#define AB_LEASE_ID_BYTES 33
#define AB_LEASE_MS_MIN 500
#define AB_LEASE_MS_MAX 60000
#define AB_LEASE_MS_DEFAULT 3000
/* A target renews this often in a lease time, so that two renewals may be
   lost.  */
#define AB_LEASE_RENEWALS 3
/* Share of all leases that may expire in a second, but at least
   AB_LEASE_EXPIRIES_MIN leases.  */
#define AB_LEASE_EXPIRY_FRACTION 0.1
#define AB_LEASE_EXPIRIES_MIN 2

enum ab_lease_state
{
  AB_LEASE_HELD,
  AB_LEASE_REPLACED, /* The target has another registrar or was restarted.  */
  AB_LEASE_ENDED     /* Left or expired; kept until taken by the owner.  */
};

struct ab_lease
{
  char id[AB_LEASE_ID_BYTES];
  struct ab_target_view target;
  uint64_t lease_ms;   /* How long a renewal lasts.  */
  uint64_t expires_ms; /* Monotonic.  */
  enum ab_lease_state state;
};

struct ab_leases;

/* Returns null when memory is full.  */
struct ab_leases *ab_leases_new (void);
void ab_leases_free (struct ab_leases *leases);

/* Creates a lease with the new ID, or renews the one that the same incarnation
   of the target has.  Sets *LEASE, valid until the next command.  Returns 0,
   AB_ERR_STALE when a newer incarnation has a lease, AB_ERR_FULL above
   AB_LEASES_MAX, or AB_ERR_MEMORY.  */
int ab_leases_announce (struct ab_leases *leases,
                        const struct ab_target_view *target, uint64_t lease_ms,
                        const char *id, uint64_t now_ms,
                        const struct ab_lease **lease);

/* Renews a lease.  Sets *LEASE.  Returns 0, AB_ERR_NOT_FOUND, or AB_ERR_STALE
   when the target has been replaced.  */
int ab_leases_renew (struct ab_leases *leases, struct ab_chunk id,
                     uint64_t now_ms, const struct ab_lease **lease);
/* Renews a lease and sets its target to draining; as ab_leases_renew.  */
int ab_leases_drain (struct ab_leases *leases, struct ab_chunk id,
                     uint64_t now_ms, const struct ab_lease **lease);
/* Ends a lease, as its target leaves.  Returns 0, AB_ERR_NOT_FOUND, or
   AB_ERR_STALE.  */
int ab_leases_end (struct ab_leases *leases, struct ab_chunk id);

/* Marks the lease of TARGET as replaced: the view has a newer incarnation or
   another registrar for it.  The lease is kept until it runs out, so that
   its renewals are refused with AB_ERR_STALE.  */
void ab_leases_replace (struct ab_leases *leases,
                        const struct ab_target_view *target);

/* Ends leases that have run out, within the limit on the rate of expiries.  */
void ab_leases_expire (struct ab_leases *leases, uint64_t now_ms);

/* Extends all leases by STALL_MS, in which this process did not run.  */
void ab_leases_exclude_stall (struct ab_leases *leases, uint64_t stall_ms);

/* Called for each change; the states of the lease and of its target determine
   what is published.  */
typedef void (*ab_lease_taker) (void *ctx, const struct ab_lease *lease);
/* Removes at most MAX changes from the queue, drained and ended leases first,
   and calls TAKE for each.  Several changes of one lease between two calls
   count as one.  Returns the number of changes taken.  */
size_t ab_leases_take (struct ab_leases *leases, size_t max,
                       ab_lease_taker take, void *ctx);

/* Queries.  */

/* Whether this host holds the lease of TARGET in this incarnation.  */
bool ab_leases_hold (const struct ab_leases *leases,
                     const struct ab_target_view *target);
size_t ab_leases_count (const struct ab_leases *leases);
/* Number of changes that have not been taken.  */
size_t ab_leases_waiting (const struct ab_leases *leases);
/* Number of leases that have run out and not yet expired, as the rate of
   expiries is limited.  */
size_t ab_leases_overdue (const struct ab_leases *leases, uint64_t now_ms);

#endif
