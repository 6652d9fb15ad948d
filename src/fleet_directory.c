#include "fleet_directory.h"

#include <stdlib.h>

#include "error.h"
#include "rendezvous.h"

#define INITIAL_CAPACITY 64

struct entry
{
  struct ab_fleet_host host;
  uint64_t hash;      /* Hash of all fields of HOST.  */
  uint64_t name_hash; /* Hash of the peer address.  */
};

struct ab_directory
{
  struct entry *entries;
  size_t count;
  size_t capacity;
  uint64_t version; /* Sum of the hashes of all entries.  */
};

struct ab_directory *
ab_directory_new (void)
{
  return calloc (1, sizeof (struct ab_directory));
}

void
ab_directory_free (struct ab_directory *directory)
{
  if (!directory)
    return;
  free (directory->entries);
  free (directory);
}

void
ab_directory_begin (struct ab_directory *directory)
{
  directory->count = 0;
}

static int
ensure_capacity (struct ab_directory *directory)
{
  size_t capacity
      = directory->capacity ? directory->capacity * 2 : INITIAL_CAPACITY;
  struct entry *entries;

  if (directory->count < directory->capacity)
    return 0;
  if (directory->count >= AB_FLEET_HOSTS_MAX)
    return AB_ERR_FULL;
  entries = realloc (directory->entries, capacity * sizeof *entries);
  if (!entries)
    return AB_ERR_MEMORY;
  directory->entries = entries;
  directory->capacity = capacity;
  return 0;
}

int
ab_directory_add (struct ab_directory *directory,
                  const struct ab_fleet_host *host)
{
  struct entry *entry;
  int rc = ensure_capacity (directory);

  if (rc < 0)
    return rc;
  entry = &directory->entries[directory->count++];
  entry->host = *host;
  entry->host.may_schedule = false;
  entry->name_hash = ab_rendezvous_hash (ab_chunk_str (host->peer));
  return 0;
}

/* Orders entries by failure domain, then by link width, widest first, then by
   the hash of the name.  */
static int
compare_entries (const void *a, const void *b)
{
  const struct entry *x = a;
  const struct entry *y = b;
  int order = strcmp (x->host.failure_domain, y->host.failure_domain);

  if (order != 0)
    return order;
  if (x->host.link_mbps != y->host.link_mbps)
    return x->host.link_mbps > y->host.link_mbps ? -1 : 1;
  if (x->name_hash != y->name_hash)
    return x->name_hash < y->name_hash ? -1 : 1;
  return strcmp (x->host.peer, y->host.peer);
}

static bool
same_domain (const struct entry *a, const struct entry *b)
{
  return strcmp (a->host.failure_domain, b->host.failure_domain) == 0;
}

/* Removes duplicate hosts, which are adjacent after sorting.  */
static void
remove_duplicates (struct ab_directory *directory)
{
  size_t kept = 0;

  for (size_t i = 0; i < directory->count; i++)
    if (kept == 0
        || strcmp (directory->entries[kept - 1].host.peer,
                   directory->entries[i].host.peer)
               != 0)
      directory->entries[kept++] = directory->entries[i];
  directory->count = kept;
}

bool
ab_directory_end (struct ab_directory *directory)
{
  uint64_t before = directory->version;
  size_t rank = 0;

  if (directory->count > 0)
    qsort (directory->entries, directory->count, sizeof *directory->entries,
           compare_entries);
  remove_duplicates (directory);
  directory->version = 1;
  for (size_t i = 0; i < directory->count; i++)
    {
      struct entry *entry = &directory->entries[i];
      rank = i > 0 && same_domain (entry, entry - 1) ? rank + 1 : 0;
      entry->host.may_schedule = rank < AB_DIRECTORY_SCHEDULERS;
      entry->hash = ab_fleet_host_hash (&entry->host);
      directory->version += entry->hash;
    }
  return directory->version != before;
}

bool
ab_directory_may_schedule (const struct ab_directory *directory,
                           const char *peer)
{
  for (size_t i = 0; i < directory->count; i++)
    if (strcmp (directory->entries[i].host.peer, peer) == 0)
      return directory->entries[i].host.may_schedule;
  return false;
}

size_t
ab_directory_count (const struct ab_directory *directory)
{
  return directory->count;
}

static bool
is_listed (const struct entry *entry, const char *failure_domain)
{
  return entry->host.may_schedule
         || strcmp (entry->host.failure_domain, failure_domain) == 0;
}

uint64_t
ab_directory_version (const struct ab_directory *directory,
                      const char *failure_domain)
{
  uint64_t version = 1;

  for (size_t i = 0; i < directory->count; i++)
    if (is_listed (&directory->entries[i], failure_domain))
      version += directory->entries[i].hash;
  return version;
}

void
ab_directory_pack (const struct ab_directory *directory,
                   const char *failure_domain, struct ab_buf *out)
{
  size_t listed = 0;

  for (size_t i = 0; i < directory->count; i++)
    listed += is_listed (&directory->entries[i], failure_domain);
  ab_pack_array (out, listed);
  for (size_t i = 0; i < directory->count; i++)
    if (is_listed (&directory->entries[i], failure_domain))
      ab_fleet_pack_host (out, &directory->entries[i].host);
}
