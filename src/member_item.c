#include "member_item.h"

#include "error.h"
#include "rendezvous.h"

#define ITEM_FIELDS_MAX 32
#define HOST_FIELDS 14
#define TARGET_FIELDS 12
#define QUARANTINE_FIELDS 8
#define SECOND_MS 1000

uint64_t
ab_item_host_key (struct ab_chunk name)
{
  return ab_rendezvous_hash_pair (AB_CHUNK ("host"), name);
}

uint64_t
ab_item_target_key (struct ab_chunk service, struct ab_chunk address)
{
  return ab_rendezvous_mix (ab_rendezvous_hash_pair (service, address));
}

uint64_t
ab_item_quarantine_key (const struct ab_digest *content)
{
  return ab_rendezvous_hash_pair (
      AB_CHUNK ("quarantine"),
      ab_chunk (content->bytes, sizeof content->bytes));
}

static uint64_t
item_key (const struct ab_item *item)
{
  switch (item->kind)
    {
    case AB_ITEM_HOST:
      return ab_item_host_key (ab_chunk_str (item->host.name));
    case AB_ITEM_TARGET:
      return ab_item_target_key (ab_chunk_str (item->target.service),
                                 ab_chunk_str (item->target.address));
    default:
      return ab_item_quarantine_key (&item->quarantine.content);
    }
}

void
ab_item_update_hashes (struct ab_item *item)
{
  struct ab_buf content = AB_BUF_INIT;
  uint64_t age_ms = item->age_ms;

  if (item->kind == AB_ITEM_HOST)
    item->host.incarnation = item->incarnation;
  else if (item->kind == AB_ITEM_TARGET)
    item->target.incarnation = item->incarnation;
  item->key = item_key (item);
  item->age_ms = 0;
  ab_item_pack (item, &content);
  item->age_ms = age_ms;
  item->content_hash = (uint32_t)ab_rendezvous_hash (ab_buf_chunk (&content));
  ab_buf_free (&content);
}

bool
ab_item_same_identity (const struct ab_item *a, const struct ab_item *b)
{
  if (a->kind != b->kind)
    return false;
  switch (a->kind)
    {
    case AB_ITEM_HOST:
      return strcmp (a->host.name, b->host.name) == 0;
    case AB_ITEM_TARGET:
      return strcmp (a->target.service, b->target.service) == 0
             && strcmp (a->target.address, b->target.address) == 0;
    default:
      return ab_digest_equal (&a->quarantine.content, &b->quarantine.content);
    }
}

static int
state_rank (const struct ab_item *item)
{
  switch (item->kind)
    {
    case AB_ITEM_HOST:
      return item->host.state == AB_HOST_DEAD      ? 2
             : item->host.state == AB_HOST_SUSPECT ? 1
                                                   : 0;
    case AB_ITEM_TARGET:
      return (int)item->target.state;
    default:
      return item->quarantine.until_wall_ms == 0;
    }
}

static int
compare_u64 (uint64_t a, uint64_t b)
{
  return a < b ? -1 : a > b;
}

int
ab_item_compare (const struct ab_item *a, const struct ab_item *b)
{
  int order = compare_u64 (a->incarnation, b->incarnation);

  if (order == 0)
    order = compare_u64 (a->version, b->version);
  if (order == 0)
    order = state_rank (a) - state_rank (b);
  /* Two registrars may have chosen the same version; all hosts must choose the
     same one of the two items.  */
  if (order == 0)
    order = compare_u64 (a->content_hash, b->content_hash);
  return order;
}

bool
ab_item_ended (const struct ab_item *item)
{
  switch (item->kind)
    {
    case AB_ITEM_HOST:
      return item->host.state == AB_HOST_DEAD;
    case AB_ITEM_TARGET:
      return item->target.state == AB_TARGET_REMOVED;
    default:
      return item->quarantine.until_wall_ms == 0;
    }
}

bool
ab_item_add_suspecting_host (struct ab_item *item, const char *name)
{
  size_t at = 0;
  size_t count = item->suspecting_count;

  while (at < count && strcmp (item->suspecting_hosts[at], name) < 0)
    at++;
  if (at == AB_SUSPECTING_HOSTS_MAX
      || (at < count && strcmp (item->suspecting_hosts[at], name) == 0))
    return false;
  if (count < AB_SUSPECTING_HOSTS_MAX)
    item->suspecting_count = ++count;
  for (size_t i = count - 1; i > at; i--)
    memcpy (item->suspecting_hosts[i], item->suspecting_hosts[i - 1],
            AB_NAME_BYTES);
  ab_chunk_copy_bounded (ab_chunk_str (name), item->suspecting_hosts[at],
                         AB_NAME_BYTES);
  return true;
}

static void
pack_str (struct ab_buf *out, const char *text)
{
  ab_pack_bytes (out, ab_chunk_str (text));
}

static void
pack_host (const struct ab_item *item, struct ab_buf *out)
{
  const struct ab_host_view *host = &item->host;

  ab_pack_array (out, HOST_FIELDS);
  ab_pack_u64 (out, item->kind);
  pack_str (out, host->name);
  ab_pack_u64 (out, item->incarnation);
  ab_pack_u64 (out, item->version);
  ab_pack_u64 (out, host->state);
  ab_pack_u64 (out, item->age_ms / SECOND_MS);
  ab_pack_u64 (out, host->role);
  pack_str (out, host->region);
  pack_str (out, host->failure_domain);
  pack_str (out, host->callers);
  pack_str (out, host->peers);
  pack_str (out, host->admin);
  ab_pack_bool (out, host->ready);
  ab_pack_array (out, item->suspecting_count);
  for (size_t i = 0; i < item->suspecting_count; i++)
    pack_str (out, item->suspecting_hosts[i]);
}

static void
pack_target (const struct ab_item *item, struct ab_buf *out)
{
  const struct ab_target_view *target = &item->target;

  ab_pack_array (out, TARGET_FIELDS);
  ab_pack_u64 (out, item->kind);
  pack_str (out, target->service);
  pack_str (out, target->address);
  ab_pack_u64 (out, item->incarnation);
  ab_pack_u64 (out, item->version);
  ab_pack_u64 (out, target->state);
  ab_pack_u64 (out, item->age_ms / SECOND_MS);
  ab_pack_u64 (out, target->slots);
  pack_str (out, target->region);
  pack_str (out, target->failure_domain);
  pack_str (out, target->registrar);
  ab_pack_u64 (out, item->lease_ms);
}

static void
pack_quarantine (const struct ab_item *item, struct ab_buf *out)
{
  const struct ab_quarantine_view *view = &item->quarantine;

  ab_pack_array (out, QUARANTINE_FIELDS);
  ab_pack_u64 (out, item->kind);
  ab_pack_bytes (out,
                 ab_chunk (view->content.bytes, sizeof view->content.bytes));
  ab_pack_u64 (out, item->incarnation);
  ab_pack_u64 (out, item->version);
  ab_pack_u64 (out, view->until_wall_ms);
  ab_pack_u64 (out, item->age_ms / SECOND_MS);
  pack_str (out, view->service);
  pack_str (out, view->target);
}

void
ab_item_pack (const struct ab_item *item, struct ab_buf *out)
{
  switch (item->kind)
    {
    case AB_ITEM_HOST:
      pack_host (item, out);
      break;
    case AB_ITEM_TARGET:
      pack_target (item, out);
      break;
    case AB_ITEM_QUARANTINE:
      pack_quarantine (item, out);
      break;
    }
}

/* Reads a number; AB_ERR_CORRUPT is set in READER when it exceeds MAX.  */
static unsigned
read_bounded (struct ab_reader *reader, uint64_t max)
{
  uint64_t value = ab_reader_u64 (reader);

  if (value > max && !reader->error)
    reader->error = AB_ERR_CORRUPT;
  return reader->error ? 0 : (unsigned)value;
}

static void
read_age (struct ab_reader *reader, struct ab_item *item)
{
  item->age_ms = (uint64_t)read_bounded (reader, UINT32_MAX) * SECOND_MS;
}

static void
read_host (struct ab_reader *reader, struct ab_item *item)
{
  struct ab_host_view *host = &item->host;
  char name[AB_NAME_BYTES];
  size_t count;

  ab_reader_str (reader, host->name, sizeof host->name);
  item->incarnation = ab_reader_u64 (reader);
  item->version = ab_reader_u64 (reader);
  host->state = (enum ab_host_state)read_bounded (reader, AB_HOST_DEAD);
  read_age (reader, item);
  host->role = (enum ab_role)read_bounded (reader, AB_ROLE_CONTROL);
  ab_reader_str (reader, host->region, sizeof host->region);
  ab_reader_str (reader, host->failure_domain, sizeof host->failure_domain);
  ab_reader_str (reader, host->callers, sizeof host->callers);
  ab_reader_str (reader, host->peers, sizeof host->peers);
  ab_reader_str (reader, host->admin, sizeof host->admin);
  host->ready = ab_reader_bool (reader);
  count = ab_reader_enter (reader, AB_SUSPECTING_HOSTS_MAX);
  for (size_t i = 0; i < count; i++)
    {
      ab_reader_str (reader, name, sizeof name);
      if (name[0])
        ab_item_add_suspecting_host (item, name);
    }
  ab_reader_leave (reader);
  if (!host->name[0] && !reader->error)
    reader->error = AB_ERR_CORRUPT;
}

static void
read_target (struct ab_reader *reader, struct ab_item *item)
{
  struct ab_target_view *target = &item->target;

  ab_reader_str (reader, target->service, sizeof target->service);
  ab_reader_str (reader, target->address, sizeof target->address);
  item->incarnation = ab_reader_u64 (reader);
  item->version = ab_reader_u64 (reader);
  target->state
      = (enum ab_target_state)read_bounded (reader, AB_TARGET_REMOVED);
  read_age (reader, item);
  target->slots = ab_reader_u64 (reader);
  ab_reader_str (reader, target->region, sizeof target->region);
  ab_reader_str (reader, target->failure_domain,
                 sizeof target->failure_domain);
  ab_reader_str (reader, target->registrar, sizeof target->registrar);
  item->lease_ms = ab_reader_u64 (reader);
  if ((!target->service[0] || !target->address[0]) && !reader->error)
    reader->error = AB_ERR_CORRUPT;
}

static void
read_quarantine (struct ab_reader *reader, struct ab_item *item)
{
  struct ab_quarantine_view *view = &item->quarantine;

  ab_reader_fixed_bytes (reader, view->content.bytes,
                         sizeof view->content.bytes);
  item->incarnation = ab_reader_u64 (reader);
  item->version = ab_reader_u64 (reader);
  view->until_wall_ms = ab_reader_u64 (reader);
  read_age (reader, item);
  ab_reader_str (reader, view->service, sizeof view->service);
  ab_reader_str (reader, view->target, sizeof view->target);
}

void
ab_item_read (struct ab_reader *reader, struct ab_item *item)
{
  memset (item, 0, sizeof *item);
  ab_reader_enter (reader, ITEM_FIELDS_MAX);
  item->kind = (enum ab_item_kind)read_bounded (reader, AB_ITEM_QUARANTINE);
  switch (item->kind)
    {
    case AB_ITEM_HOST:
      read_host (reader, item);
      break;
    case AB_ITEM_TARGET:
      read_target (reader, item);
      break;
    case AB_ITEM_QUARANTINE:
      read_quarantine (reader, item);
      break;
    default:
      if (!reader->error)
        reader->error = AB_ERR_CORRUPT;
    }
  ab_reader_leave (reader);
  if (!reader->error)
    ab_item_update_hashes (item);
}
