#include "lease.h"

#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

#include "error.h"

#define SECOND_MS 1000

struct entry
{
  struct ab_lease lease; /* The id is the key in IDS.  */
  uint64_t key;          /* Of service and address; the key in KEYS.  */
  bool waiting;          /* In the queue of changes.  */
  struct entry *prev;
  struct entry *next;
  UT_hash_handle by_id;
  UT_hash_handle by_key;
};

struct ab_leases
{
  struct entry *ids;         /* Hash table by lease id.  */
  struct entry *keys;        /* Hash table by target.  */
  struct entry *changes;     /* Queue.  */
  size_t waiting;            /* Length of CHANGES.  */
  double expiry_tokens;      /* How many leases may expire now.  */
  uint64_t expiry_refill_ms; /* Last refill of EXPIRY_TOKENS.  */
};

struct ab_leases *
ab_leases_new (void)
{
  return calloc (1, sizeof (struct ab_leases));
}

static void
dequeue_change (struct ab_leases *leases, struct entry *entry)
{
  if (!entry->waiting || !leases->changes)
    return;
  DL_DELETE (leases->changes, entry);
  entry->waiting = false;
  leases->waiting--;
}

/* Queues ENTRY, drained and ended leases before others.  */
static void
enqueue_change (struct ab_leases *leases, struct entry *entry)
{
  bool first = entry->lease.state == AB_LEASE_ENDED
               || entry->lease.target.state != AB_TARGET_ACTIVE;

  dequeue_change (leases, entry);
  if (first)
    DL_PREPEND (leases->changes, entry);
  else
    DL_APPEND (leases->changes, entry);
  entry->waiting = true;
  leases->waiting++;
}

static void
remove_entry (struct ab_leases *leases, struct entry *entry)
{
  dequeue_change (leases, entry);
  if (leases->ids)
    HASH_DELETE (by_id, leases->ids, entry);
  if (leases->keys)
    HASH_DELETE (by_key, leases->keys, entry);
  free (entry);
}

void
ab_leases_free (struct ab_leases *leases)
{
  struct entry *entry;
  struct entry *next;

  if (!leases)
    return;
  entry = leases->ids;
  HASH_CLEAR (by_key, leases->keys);
  HASH_CLEAR (by_id, leases->ids);
  for (; entry; entry = next)
    {
      next = entry->by_id.next;
      free (entry);
    }
  free (leases);
}

static struct entry *
find_id (const struct ab_leases *leases, struct ab_chunk id)
{
  struct entry *entry = NULL;

  HASH_FIND (by_id, leases->ids, id.data, id.len, entry);
  return entry;
}

static struct entry *
find_target (const struct ab_leases *leases,
             const struct ab_target_view *target)
{
  struct entry *entry = NULL;
  uint64_t key = ab_item_target_key (ab_chunk_str (target->service),
                                     ab_chunk_str (target->address));

  HASH_FIND (by_key, leases->keys, &key, sizeof key, entry);
  return entry;
}

static struct entry *
add_entry (struct ab_leases *leases, const struct ab_target_view *target,
           const char *id)
{
  struct entry *entry = calloc (1, sizeof *entry);

  if (!entry)
    return NULL;
  entry->key = ab_item_target_key (ab_chunk_str (target->service),
                                   ab_chunk_str (target->address));
  ab_chunk_copy_bounded (ab_chunk_str (id), entry->lease.id,
                         sizeof entry->lease.id);
  HASH_ADD_KEYPTR (by_id, leases->ids, entry->lease.id,
                   strlen (entry->lease.id), entry);
  HASH_ADD (by_key, leases->keys, key, sizeof entry->key, entry);
  return entry;
}

static bool
same_content (const struct ab_target_view *a, const struct ab_target_view *b)
{
  return a->incarnation == b->incarnation && a->slots == b->slots
         && a->state == b->state && strcmp (a->region, b->region) == 0
         && strcmp (a->failure_domain, b->failure_domain) == 0;
}

int
ab_leases_announce (struct ab_leases *leases,
                    const struct ab_target_view *target, uint64_t lease_ms,
                    const char *id, uint64_t now_ms,
                    const struct ab_lease **lease)
{
  struct entry *entry = find_target (leases, target);
  bool changed = true;

  if (entry && entry->lease.target.incarnation > target->incarnation)
    return AB_ERR_STALE;
  if (entry && entry->lease.state == AB_LEASE_HELD)
    changed = !same_content (&entry->lease.target, target);
  /* A repeated announcement, such as a retry after a lost response, keeps the
     lease and its id.  A new incarnation, or one after the lease has ended or
     been replaced, gets a new lease, and the old id becomes unknown.  */
  if (entry
      && (entry->lease.state != AB_LEASE_HELD
          || entry->lease.target.incarnation != target->incarnation))
    {
      remove_entry (leases, entry);
      entry = NULL;
    }
  if (!entry && HASH_CNT (by_id, leases->ids) >= AB_LEASES_MAX)
    return AB_ERR_FULL;
  if (!entry)
    entry = add_entry (leases, target, id);
  if (!entry)
    return AB_ERR_MEMORY;
  entry->lease.target = *target;
  entry->lease.lease_ms = lease_ms;
  entry->lease.expires_ms = now_ms + lease_ms;
  if (changed)
    enqueue_change (leases, entry);
  *lease = &entry->lease;
  return 0;
}

/* Finds the lease ID in *ENTRY.  Returns 0, AB_ERR_NOT_FOUND when there is
   none or it has ended, or AB_ERR_STALE when the target has been replaced.  */
static int
find_held (const struct ab_leases *leases, struct ab_chunk id,
           struct entry **entry)
{
  *entry = find_id (leases, id);
  if (!*entry || (*entry)->lease.state == AB_LEASE_ENDED)
    return AB_ERR_NOT_FOUND;
  return (*entry)->lease.state == AB_LEASE_REPLACED ? AB_ERR_STALE : 0;
}

int
ab_leases_renew (struct ab_leases *leases, struct ab_chunk id, uint64_t now_ms,
                 const struct ab_lease **lease)
{
  struct entry *entry;
  int rc = find_held (leases, id, &entry);

  if (rc < 0)
    return rc;
  entry->lease.expires_ms = now_ms + entry->lease.lease_ms;
  *lease = &entry->lease;
  return 0;
}

int
ab_leases_drain (struct ab_leases *leases, struct ab_chunk id, uint64_t now_ms,
                 const struct ab_lease **lease)
{
  struct entry *entry;
  int rc = find_held (leases, id, &entry);

  if (rc < 0)
    return rc;
  entry->lease.expires_ms = now_ms + entry->lease.lease_ms;
  *lease = &entry->lease;
  if (entry->lease.target.state == AB_TARGET_DRAINING)
    return 0;
  entry->lease.target.state = AB_TARGET_DRAINING;
  enqueue_change (leases, entry);
  return 0;
}

static void
end_entry (struct ab_leases *leases, struct entry *entry)
{
  entry->lease.state = AB_LEASE_ENDED;
  entry->lease.target.state = AB_TARGET_REMOVED;
  enqueue_change (leases, entry);
}

int
ab_leases_end (struct ab_leases *leases, struct ab_chunk id)
{
  struct entry *entry;
  int rc = find_held (leases, id, &entry);

  if (rc == 0)
    end_entry (leases, entry);
  return rc;
}

void
ab_leases_replace (struct ab_leases *leases,
                   const struct ab_target_view *target)
{
  struct entry *entry = find_target (leases, target);

  if (!entry || entry->lease.state != AB_LEASE_HELD
      || entry->lease.target.incarnation > target->incarnation)
    return;
  dequeue_change (leases, entry);
  entry->lease.state = AB_LEASE_REPLACED;
}

static void
refill_expiry_tokens (struct ab_leases *leases, uint64_t now_ms)
{
  double rate
      = AB_LEASE_EXPIRY_FRACTION * (double)HASH_CNT (by_id, leases->ids);

  if (rate < AB_LEASE_EXPIRIES_MIN)
    rate = AB_LEASE_EXPIRIES_MIN;
  leases->expiry_tokens
      += rate * (double)(now_ms - leases->expiry_refill_ms) / SECOND_MS;
  if (leases->expiry_tokens > rate)
    leases->expiry_tokens = rate;
  leases->expiry_refill_ms = now_ms;
}

void
ab_leases_expire (struct ab_leases *leases, uint64_t now_ms)
{
  struct entry *entry;
  struct entry *next;

  refill_expiry_tokens (leases, now_ms);
  for (entry = leases->ids; entry; entry = next)
    {
      next = entry->by_id.next;
      if (entry->lease.state == AB_LEASE_ENDED
          || entry->lease.expires_ms > now_ms)
        continue;
      if (entry->lease.state == AB_LEASE_REPLACED)
        {
          remove_entry (leases, entry);
          continue;
        }
      if (leases->expiry_tokens < 1)
        continue;
      leases->expiry_tokens -= 1;
      end_entry (leases, entry);
    }
}

void
ab_leases_exclude_stall (struct ab_leases *leases, uint64_t stall_ms)
{
  for (struct entry *entry = leases->ids; entry; entry = entry->by_id.next)
    entry->lease.expires_ms += stall_ms;
}

size_t
ab_leases_take (struct ab_leases *leases, size_t max, ab_lease_taker take,
                void *ctx)
{
  size_t count = 0;

  for (; leases->changes && count < max; count++)
    {
      struct entry *entry = leases->changes;
      DL_DELETE (leases->changes, entry);
      entry->waiting = false;
      leases->waiting--;
      take (ctx, &entry->lease);
      if (entry->lease.state == AB_LEASE_ENDED)
        remove_entry (leases, entry);
    }
  return count;
}

bool
ab_leases_hold (const struct ab_leases *leases,
                const struct ab_target_view *target)
{
  const struct entry *entry = find_target (leases, target);

  return entry && entry->lease.state == AB_LEASE_HELD
         && entry->lease.target.incarnation == target->incarnation;
}

size_t
ab_leases_count (const struct ab_leases *leases)
{
  return HASH_CNT (by_id, leases->ids);
}

size_t
ab_leases_waiting (const struct ab_leases *leases)
{
  return leases->waiting;
}

size_t
ab_leases_overdue (const struct ab_leases *leases, uint64_t now_ms)
{
  size_t count = 0;

  for (const struct entry *entry = leases->ids; entry;
       entry = entry->by_id.next)
    count += entry->lease.state == AB_LEASE_HELD
             && entry->lease.expires_ms <= now_ms;
  return count;
}
