#include "permit.h"

#include <math.h>
#include <stdlib.h>
#include <uthash.h>

#include "error.h"
#include "pack.h"
#include "snapshot_part.h"

/* Rounding error allowed in floor * capacity: prevents 0.8 * 10 from being
   rounded up to 9 targets.  */
#define FLOOR_EPSILON 1e-9
#define SERVICE_FIELDS 4
#define HOLDER_FIELDS 5
#define HOST_FIELDS 3
#define FIELDS_MAX 16
#define ITEMS_MAX (1 << 24)

struct holding
{
  struct ab_permit_holder holder;
  uint64_t sequence;
  uint64_t held;
  uint64_t revoked;
  UT_hash_handle hh; /* Key: the name of the holder's host.  */
};

struct service
{
  char name[AB_NAME_BYTES];
  uint64_t capacity;
  double floor;
  uint64_t outstanding;
  struct holding *holdings;
  UT_hash_handle hh;
};

struct host
{
  char name[AB_NAME_BYTES];
  uint64_t incarnation; /* Latest incarnation seen.  */
  bool removed;         /* This incarnation gets no permits.  */
  UT_hash_handle hh;
};

struct ab_permits
{
  struct service *services;
  struct host *hosts;
};

struct ab_permits *
ab_permits_new (void)
{
  return calloc (1, sizeof (struct ab_permits));
}

static void
free_holding (struct service *service, struct holding *holding)
{
  service->outstanding -= holding->held;
  HASH_DEL (service->holdings, holding);
  free (holding);
}

static void
free_services (struct ab_permits *permits)
{
  struct service *service = permits->services;
  struct service *next;

  HASH_CLEAR (hh, permits->services);
  for (; service; service = next)
    {
      struct holding *holding = service->holdings;
      struct holding *next_holding;
      HASH_CLEAR (hh, service->holdings);
      for (; holding; holding = next_holding)
        {
          next_holding = holding->hh.next;
          free (holding);
        }
      next = service->hh.next;
      free (service);
    }
}

void
ab_permits_free (struct ab_permits *permits)
{
  struct host *host;
  struct host *next;

  if (!permits)
    return;
  free_services (permits);
  host = permits->hosts;
  HASH_CLEAR (hh, permits->hosts);
  for (; host; host = next)
    {
      next = host->hh.next;
      free (host);
    }
  free (permits);
}

static struct service *
find_service (const struct ab_permits *permits, struct ab_chunk name)
{
  struct service *service;

  HASH_FIND (hh, permits->services, name.data, name.len, service);
  return service;
}

static struct service *
get_or_add_service (struct ab_permits *permits, struct ab_chunk name)
{
  struct service *service = find_service (permits, name);

  if (service || name.len >= AB_NAME_BYTES)
    return service;
  service = calloc (1, sizeof *service);
  if (!service)
    return NULL;
  ab_chunk_copy_bounded (name, service->name, sizeof service->name);
  service->floor = 1;
  HASH_ADD_STR (permits->services, name, service);
  return service;
}

static uint64_t
permit_limit (const struct service *service)
{
  double min_in_service
      = ceil (service->floor * (double)service->capacity - FLOOR_EPSILON);

  if (min_in_service <= 0)
    return service->capacity;
  if (min_in_service >= (double)service->capacity)
    return 0;
  return service->capacity - (uint64_t)min_in_service;
}

/* Returns the holding with the most permits that are not revoked.  Ties are
   broken by name, so that all replicas choose the same one.  */
static struct holding *
largest_holding (struct service *service)
{
  struct holding *best = NULL;

  for (struct holding *h = service->holdings; h; h = h->hh.next)
    {
      uint64_t unrevoked = h->held - h->revoked;
      if (unrevoked == 0)
        continue;
      if (!best || unrevoked > best->held - best->revoked
          || (unrevoked == best->held - best->revoked
              && strcmp (h->holder.host, best->holder.host) < 0))
        best = h;
    }
  return best;
}

/* Makes the number of revoked permits equal to the excess of outstanding over
   allowed ones.  Earlier revocations remain while there is an excess, as their
   holders may already be readmitting targets.  */
static void
update_revocations (struct service *service)
{
  uint64_t limit = permit_limit (service);
  uint64_t excess
      = service->outstanding > limit ? service->outstanding - limit : 0;
  uint64_t revoked = 0;

  for (struct holding *h = service->holdings; h; h = h->hh.next)
    {
      if (h->revoked > h->held)
        h->revoked = h->held;
      if (h->revoked > excess - revoked)
        h->revoked = excess - revoked;
      revoked += h->revoked;
    }
  for (; revoked < excess; revoked++)
    largest_holding (service)->revoked++;
}

static struct host *
get_or_add_host (struct ab_permits *permits, const char *name)
{
  struct host *host;

  HASH_FIND_STR (permits->hosts, name, host);
  if (host || HASH_COUNT (permits->hosts) >= AB_PERMIT_HOSTS_MAX)
    return host;
  host = calloc (1, sizeof *host);
  if (!host)
    return NULL;
  ab_chunk_copy_bounded (ab_chunk_str (name), host->name, sizeof host->name);
  HASH_ADD_STR (permits->hosts, name, host);
  return host;
}

static void
release_host_permits (struct ab_permits *permits, const char *host)
{
  for (struct service *s = permits->services; s; s = s->hh.next)
    {
      struct holding *holding;
      HASH_FIND_STR (s->holdings, host, holding);
      if (!holding)
        continue;
      free_holding (s, holding);
      update_revocations (s);
    }
}

int
ab_permits_host_seen (struct ab_permits *permits,
                      const struct ab_permit_holder *holder)
{
  struct host *host;

  HASH_FIND_STR (permits->hosts, holder->host, host);
  if (!host || holder->incarnation <= host->incarnation)
    return 0;
  host->incarnation = holder->incarnation;
  host->removed = false;
  release_host_permits (permits, holder->host);
  return 0;
}

int
ab_permits_remove_host (struct ab_permits *permits, struct ab_chunk name)
{
  struct host *host;

  HASH_FIND (hh, permits->hosts, name.data, name.len, host);
  if (!host)
    return AB_ERR_NOT_FOUND;
  host->removed = true;
  release_host_permits (permits, host->name);
  return 0;
}

/* Records HOLDER's incarnation.  Returns 0, AB_ERR_STALE if it may hold no
   permits, or AB_ERR_FULL.  */
static int
admit_holder (struct ab_permits *permits,
              const struct ab_permit_holder *holder)
{
  struct host *host = get_or_add_host (permits, holder->host);

  if (!host)
    return AB_ERR_FULL;
  ab_permits_host_seen (permits, holder);
  if (holder->incarnation < host->incarnation || host->removed)
    return AB_ERR_STALE;
  return 0;
}

static struct holding *
get_or_add_holding (struct service *service,
                    const struct ab_permit_holder *holder)
{
  struct holding *holding;

  HASH_FIND_STR (service->holdings, holder->host, holding);
  if (holding)
    return holding;
  holding = calloc (1, sizeof *holding);
  if (!holding)
    return NULL;
  holding->holder = *holder;
  HASH_ADD_STR (service->holdings, holder.host, holding);
  return holding;
}

int
ab_permits_set (struct ab_permits *permits, struct ab_chunk name,
                const struct ab_permit_holder *holder, uint64_t sequence,
                uint64_t count, uint64_t *held)
{
  struct service *service;
  struct holding *holding;
  uint64_t limit;
  int rc = admit_holder (permits, holder);

  *held = 0;
  if (rc < 0)
    return rc;
  service = get_or_add_service (permits, name);
  holding = service ? get_or_add_holding (service, holder) : NULL;
  if (!holding)
    return AB_ERR_MEMORY;
  *held = holding->held;
  if (sequence < holding->sequence)
    return AB_ERR_STALE;
  holding->sequence = sequence;
  limit = permit_limit (service);
  if (count > holding->held)
    {
      uint64_t available
          = limit > service->outstanding ? limit - service->outstanding : 0;
      if (count - holding->held > available)
        count = holding->held + available;
    }
  service->outstanding = service->outstanding - holding->held + count;
  holding->held = count;
  update_revocations (service);
  *held = count;
  return 0;
}

int
ab_permits_set_capacity (struct ab_permits *permits, struct ab_chunk name,
                         uint64_t capacity)
{
  struct service *service = get_or_add_service (permits, name);

  if (!service)
    return AB_ERR_MEMORY;
  service->capacity = capacity;
  update_revocations (service);
  return 0;
}

void
ab_permits_clear_floors (struct ab_permits *permits)
{
  for (struct service *s = permits->services; s; s = s->hh.next)
    {
      s->floor = 1;
      update_revocations (s);
    }
}

int
ab_permits_set_floor (struct ab_permits *permits, struct ab_chunk name,
                      double floor)
{
  struct service *service = get_or_add_service (permits, name);

  if (!service)
    return AB_ERR_MEMORY;
  service->floor = floor;
  update_revocations (service);
  return 0;
}

static struct ab_permit_counts
service_counts (const struct service *service)
{
  return (struct ab_permit_counts){ .capacity = service->capacity,
                                    .floor = service->floor,
                                    .allowed = permit_limit (service),
                                    .outstanding = service->outstanding };
}

int
ab_permits_counts (const struct ab_permits *permits, struct ab_chunk name,
                   struct ab_permit_counts *counts)
{
  const struct service *service = find_service (permits, name);

  if (!service)
    return AB_ERR_NOT_FOUND;
  *counts = service_counts (service);
  return 0;
}

void
ab_permits_visit_services (const struct ab_permits *permits,
                           ab_permit_service_visitor visit, void *ctx)
{
  for (const struct service *s = permits->services; s; s = s->hh.next)
    {
      struct ab_permit_counts counts = service_counts (s);
      visit (ctx, s->name, &counts);
    }
}

void
ab_permits_visit_holders (const struct ab_permits *permits,
                          ab_permit_holder_visitor visit, void *ctx)
{
  for (const struct service *s = permits->services; s; s = s->hh.next)
    for (const struct holding *h = s->holdings; h; h = h->hh.next)
      {
        struct ab_permit_holding holding = { .service = s->name,
                                             .holder = h->holder,
                                             .sequence = h->sequence,
                                             .held = h->held,
                                             .revoked = h->revoked };
        if (h->held > 0)
          visit (ctx, &holding);
      }
}

/* Snapshot.  */

static void
save_service (const struct service *service, struct ab_buf *part)
{
  ab_pack_array (part, SERVICE_FIELDS);
  ab_pack_bytes (part, ab_chunk_str (service->name));
  ab_pack_u64 (part, service->capacity);
  ab_pack_double (part, service->floor);
  ab_pack_array (part, HASH_COUNT (service->holdings));
  for (const struct holding *h = service->holdings; h; h = h->hh.next)
    {
      ab_pack_array (part, HOLDER_FIELDS);
      ab_pack_bytes (part, ab_chunk_str (h->holder.host));
      ab_pack_u64 (part, h->holder.incarnation);
      ab_pack_u64 (part, h->sequence);
      ab_pack_u64 (part, h->held);
      ab_pack_u64 (part, h->revoked);
    }
}

int
ab_permits_save (const struct ab_permits *permits, struct ab_buf *out)
{
  struct ab_buf part = AB_BUF_INIT;

  ab_pack_array (&part, HASH_COUNT (permits->hosts));
  for (const struct host *h = permits->hosts; h; h = h->hh.next)
    {
      ab_pack_array (&part, HOST_FIELDS);
      ab_pack_bytes (&part, ab_chunk_str (h->name));
      ab_pack_u64 (&part, h->incarnation);
      ab_pack_bool (&part, h->removed);
    }
  ab_snapshot_part_append (out, &part);
  for (const struct service *s = permits->services; s; s = s->hh.next)
    {
      ab_buf_clear (&part);
      save_service (s, &part);
      ab_snapshot_part_append (out, &part);
    }
  ab_buf_clear (&part);
  ab_snapshot_part_append (out, &part);
  ab_buf_free (&part);
  return out->error;
}

static int
load_hosts (struct ab_permits *permits, struct ab_chunk part)
{
  struct ab_reader reader;
  int rc = ab_reader_init (&reader, part);

  if (rc == 0)
    ab_reader_enter (&reader, AB_PERMIT_HOSTS_MAX);
  while (rc == 0 && ab_reader_has_more (&reader))
    {
      char name[AB_NAME_BYTES];
      struct host *host;
      ab_reader_enter (&reader, FIELDS_MAX);
      ab_reader_str (&reader, name, sizeof name);
      host = get_or_add_host (permits, name);
      if (!host)
        {
          rc = AB_ERR_MEMORY;
          break;
        }
      host->incarnation = ab_reader_u64 (&reader);
      host->removed = ab_reader_bool (&reader);
      ab_reader_leave (&reader);
    }
  if (rc == 0)
    rc = ab_reader_error (&reader);
  ab_reader_free (&reader);
  return rc;
}

static int
load_holding (struct service *service, struct ab_reader *reader)
{
  struct ab_permit_holder holder;
  struct holding *holding;

  ab_reader_enter (reader, FIELDS_MAX);
  ab_reader_str (reader, holder.host, sizeof holder.host);
  holder.incarnation = ab_reader_u64 (reader);
  holding = get_or_add_holding (service, &holder);
  if (!holding)
    return AB_ERR_MEMORY;
  holding->sequence = ab_reader_u64 (reader);
  holding->held = ab_reader_u64 (reader);
  holding->revoked = ab_reader_u64 (reader);
  ab_reader_leave (reader);
  service->outstanding += holding->held;
  return ab_reader_error (reader);
}

static int
load_service (struct ab_permits *permits, struct ab_chunk part)
{
  struct ab_reader reader;
  struct service *service = NULL;
  char name[AB_NAME_BYTES];
  int rc = ab_reader_init (&reader, part);

  ab_reader_enter (&reader, FIELDS_MAX);
  ab_reader_str (&reader, name, sizeof name);
  if (rc == 0)
    rc = ab_reader_error (&reader);
  if (rc == 0)
    service = get_or_add_service (permits, ab_chunk_str (name));
  if (!service)
    {
      ab_reader_free (&reader);
      return rc < 0 ? rc : AB_ERR_MEMORY;
    }
  service->capacity = ab_reader_u64 (&reader);
  service->floor = ab_reader_double (&reader);
  ab_reader_enter (&reader, ITEMS_MAX);
  while (rc == 0 && ab_reader_has_more (&reader))
    rc = load_holding (service, &reader);
  if (rc == 0)
    rc = ab_reader_error (&reader);
  ab_reader_free (&reader);
  return rc;
}

int
ab_permits_load (struct ab_permits *permits, struct ab_chunk *input)
{
  struct ab_chunk part;
  int rc = ab_snapshot_part_next (input, &part);

  if (rc == 0)
    rc = load_hosts (permits, part);
  while (rc == 0)
    {
      rc = ab_snapshot_part_next (input, &part);
      if (rc < 0 || part.len == 0)
        break;
      rc = load_service (permits, part);
    }
  return rc;
}
