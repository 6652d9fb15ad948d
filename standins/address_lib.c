#include "address_lib.h"

#include <stdio.h>

#define RETRY_MS 100
#define TIMEOUT_MS 1000
#define DEFAULT_TTL_MS 1000

static void fetch_addresses (struct address_cache *cache);

static void
arm_timer (struct address_cache *cache, uint64_t ms)
{
  struct timeval tv = { .tv_sec = (time_t)(ms / 1000),
                        .tv_usec = (suseconds_t)(ms % 1000 * 1000) };

  event_add (cache->timer, &tv);
}

/* Stores the addresses of LIST, which holds strings or objects with an
   "address".  Returns the number of valid ones.  */
static size_t
read_addresses (struct address_cache *cache, const json_t *list)
{
  size_t count = 0;

  for (size_t i = 0; i < json_array_size (list) && count < ADDRESS_MAX; i++)
    {
      const json_t *item = json_array_get (list, i);
      const char *text = json_string_value (
          json_is_string (item) ? item : json_object_get (item, "address"));

      if (text && ab_address_valid (ab_chunk_str (text)))
        snprintf (cache->addresses[count++], AB_ADDRESS_BYTES, "%s", text);
    }
  return count;
}

static void
on_addresses (void *ctx, int status, json_t *body)
{
  struct address_cache *cache = ctx;
  const json_t *list = json_object_get (body, "addresses");
  json_int_t ttl = json_integer_value (json_object_get (body, "ttl_ms"));

  cache->request_pending = false;
  if (status == 200 && json_array_size (list) > 0)
    {
      cache->address_count = read_addresses (cache, list);
      cache->preferred = 0;
      cache->answers++;
      arm_timer (cache, ttl > 0 ? (uint64_t)ttl : DEFAULT_TTL_MS);
      return;
    }
  cache->failures++;
  cache->current_entry = (cache->current_entry + 1) % cache->entry_count;
  arm_timer (cache, RETRY_MS);
}

static void
fetch_addresses (struct address_cache *cache)
{
  char path[256];

  if (cache->request_pending || cache->entry_count == 0)
    return;
  cache->request_pending = true;
  snprintf (path, sizeof path, "/v1/addresses?service=%s&failure_domain=%s",
            cache->service, cache->failure_domain);
  standin_request (cache->base, cache->entries[cache->current_entry],
                   EVHTTP_REQ_GET, path, NULL, NULL, TIMEOUT_MS, on_addresses,
                   cache);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  fetch_addresses (arg);
}

void
address_cache_start (struct address_cache *cache)
{
  cache->timer = evtimer_new (cache->base, on_timer, cache);
  fetch_addresses (cache);
}

void
address_cache_stop (struct address_cache *cache)
{
  event_free (cache->timer);
}

const char *
address_cache_get (const struct address_cache *cache)
{
  return cache->address_count > 0 ? cache->addresses[cache->preferred] : NULL;
}

void
address_cache_report_failure (struct address_cache *cache, const char *address)
{
  const char *current = address_cache_get (cache);

  if (!current || strcmp (current, address) != 0)
    return;
  cache->preferred = (cache->preferred + 1) % cache->address_count;
  if (cache->entry_count == 0)
    return;
  /* The entry host that answered last may itself be the failed address.  */
  cache->current_entry = (cache->current_entry + 1) % cache->entry_count;
  fetch_addresses (cache);
}
