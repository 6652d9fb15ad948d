#include "route_table.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "error.h"

#define ROUTES_MAX 65536
#define SERVICES_MAX 4096
#define ATTEMPTS_MAX 16
#define KIB 1024ULL
#define MIB (1024 * KIB)

/* Limits that apply where the text gives none.  */
static const struct ab_caller_limits default_limits
    = { .header_bytes = 32 * KIB,
        .body_bytes = 64 * MIB,
        .header_time_ms = 10000,
        .idle_time_ms = 60000 };

struct ab_route_table
{
  unsigned references;
  uint64_t version;
  uint64_t base;
  struct ab_caller_limits limits;
  struct ab_fleet_service *services;
  /* The services in order of their names.  */
  const struct ab_fleet_service **services_by_name;
  size_t service_count;
  struct ab_fleet_route *routes;
  /* The routes in order of their hosts and prefixes.  */
  const struct ab_fleet_route **routes_by_path;
  size_t route_count;
  size_t longest_prefix;       /* Length in bytes.  */
  struct ab_team_table *teams; /* Null: callers need no key.  */
};

static int fail (char *error, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static int
fail (char *error, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  vsnprintf (error, AB_CONF_ERROR_BYTES, format, args);
  va_end (args);
  return AB_ERR_INVALID;
}

/* Reads the member KEY of OBJECT, an integer of at least MIN.  If it is
   missing and not REQUIRED, *VALUE is left unchanged.  */
static int
read_number (const json_t *object, const char *key, bool required,
             uint64_t min, uint64_t *value, char *error)
{
  const json_t *item = json_object_get (object, key);

  if (!item && !required)
    return 0;
  if (!json_is_integer (item) || json_integer_value (item) < 0
      || (uint64_t)json_integer_value (item) < min)
    return fail (error, "'%s' must be an integer of at least %llu", key,
                 (unsigned long long)min);
  *value = (uint64_t)json_integer_value (item);
  return 0;
}

/* Sets *TEXT to the member KEY of OBJECT, a text that fits into SIZE bytes
   with a null byte.  It lives as long as OBJECT.  */
static int
read_text (const json_t *object, const char *key, size_t size,
           struct ab_chunk *text, char *error)
{
  const json_t *item = json_object_get (object, key);

  *text = ab_chunk (json_string_value (item), json_string_length (item));
  if (!json_is_string (item) || text->len == 0 || text->len >= size)
    return fail (error, "'%s' must be a string of 1 to %zu bytes", key,
                 size - 1);
  return 0;
}

/* Likewise, a copy that the caller frees with free_text.  */
static int
copy_text (const json_t *object, const char *key, size_t size,
           struct ab_chunk *text, char *error)
{
  struct ab_chunk found;
  int rc = read_text (object, key, size, &found, error);

  if (rc < 0)
    return rc;
  text->data = strndup (found.data, found.len);
  text->len = text->data ? found.len : 0;
  return text->data ? 0 : AB_ERR_MEMORY;
}

static void
free_text (struct ab_chunk *text)
{
  free ((char *)text->data);
}

static int
compare_texts (struct ab_chunk a, struct ab_chunk b)
{
  size_t shorter = a.len < b.len ? a.len : b.len;
  int order = shorter > 0 ? memcmp (a.data, b.data, shorter) : 0;

  return order != 0 ? order : (a.len > b.len) - (a.len < b.len);
}

static int
compare_services (const void *a, const void *b)
{
  const struct ab_fleet_service *const *left = a;
  const struct ab_fleet_service *const *right = b;
  int order = strcmp ((*left)->name, (*right)->name);

  /* Of several with the same name, the first one in the list counts.  */
  return order != 0 ? order : (*left > *right) - (*left < *right);
}

static int
index_services (struct ab_route_table *table)
{
  table->services_by_name = calloc (table->service_count + 1,
                                    sizeof (const struct ab_fleet_service *));
  if (!table->services_by_name)
    return AB_ERR_MEMORY;
  for (size_t i = 0; i < table->service_count; i++)
    table->services_by_name[i] = &table->services[i];
  qsort (table->services_by_name, table->service_count,
         sizeof (const struct ab_fleet_service *), compare_services);
  return 0;
}

static int
read_services (struct ab_route_table *table, const json_t *list, char *error)
{
  size_t count = json_array_size (list);
  int rc = 0;

  if (!json_is_array (list) || count > SERVICES_MAX)
    return fail (error, "'services' must be a list of at most %d",
                 SERVICES_MAX);
  table->services = calloc (count + 1, sizeof *table->services);
  if (!table->services)
    return AB_ERR_MEMORY;
  for (size_t i = 0; i < count && rc == 0; i++)
    {
      const json_t *item = json_array_get (list, i);
      struct ab_fleet_service *service = &table->services[i];
      struct ab_chunk name;
      rc = read_text (item, "name", sizeof service->name, &name, error);
      if (rc == 0)
        ab_chunk_copy_bounded (name, service->name, sizeof service->name);
      if (rc == 0 && json_object_get (item, "probe_path"))
        rc = copy_text (item, "probe_path", AB_ROUTE_PATH_BYTES,
                        &service->probe_path, error);
      if (rc == 0)
        rc = read_number (item, "connections", false, 0, &service->connections,
                          error);
      table->service_count = i + 1;
    }
  return rc < 0 ? rc : index_services (table);
}

static int
add_share (const struct ab_route_table *table, struct ab_fleet_route *route,
           const json_t *item, uint64_t weight, char *error)
{
  struct ab_route_share *share = &route->shares[route->share_count];
  const struct ab_fleet_service *service;
  struct ab_chunk name;
  int rc = read_text (item, "service", AB_NAME_BYTES, &name, error);

  if (rc < 0)
    return rc;
  service = ab_route_table_find_service (table, name);
  if (!service)
    return fail (error, "the service '%.*s' is not in 'services'",
                 AB_CHUNK_ARGS (name));
  share->service = (size_t)(service - table->services);
  share->weight = weight;
  route->weight_sum += weight;
  route->share_count++;
  return 0;
}

static int
read_split (const struct ab_route_table *table, struct ab_fleet_route *route,
            const json_t *list, char *error)
{
  size_t count = json_array_size (list);
  int rc = 0;

  if (!json_is_array (list) || count == 0 || count > AB_ROUTE_SHARES_MAX)
    return fail (error, "'split' must be a list of 1 to %d services",
                 AB_ROUTE_SHARES_MAX);
  route->shares = calloc (count, sizeof *route->shares);
  if (!route->shares)
    return AB_ERR_MEMORY;
  for (size_t i = 0; i < count && rc == 0; i++)
    {
      const json_t *item = json_array_get (list, i);
      uint64_t weight = 0;
      rc = read_number (item, "weight", true, 0, &weight, error);
      if (rc == 0)
        rc = add_share (table, route, item, weight, error);
    }
  if (rc == 0 && route->weight_sum == 0)
    return fail (error, "the weights in 'split' of route '%s' add up to 0",
                 route->name.data);
  return rc;
}

/* Properties of each route kind.  */
static const struct route_kind
{
  const char *name;
  bool idempotent; /* A request may run more than once.  */
  bool large;      /* Responses occupy a narrow link for a while.  */
} route_kinds[] = {
  { .name = "idempotent", .idempotent = true },
  { .name = "download", .idempotent = true, .large = true },
  { .name = "once" },
};

#define ROUTE_KINDS (sizeof route_kinds / sizeof route_kinds[0])

static int
read_kind (struct ab_fleet_route *route, const json_t *item, char *error)
{
  const char *kind = json_string_value (json_object_get (item, "kind"));

  if (!kind)
    return fail (error, "route '%s' has no 'kind'", route->name.data);
  for (size_t i = 0; i < ROUTE_KINDS; i++)
    if (strcmp (kind, route_kinds[i].name) == 0)
      {
        route->idempotent = route_kinds[i].idempotent;
        route->large = route_kinds[i].large;
        return 0;
      }
  return fail (error,
               "the kind '%s' of route '%s' is not idempotent, download or "
               "once",
               kind, route->name.data);
}

static int
read_times (struct ab_fleet_route *route, const json_t *item, char *error)
{
  int rc
      = read_number (item, "timeout_ms", true, 1, &route->timeout_ms, error);

  route->objective_ms = route->timeout_ms;
  if (rc == 0)
    rc = read_number (item, "objective_ms", false, 0, &route->objective_ms,
                      error);
  if (rc < 0)
    return rc;
  if (route->objective_ms >= route->timeout_ms + AB_OBJECTIVE_OVER_TIMEOUT_MS)
    return fail (error,
                 "'objective_ms' of route '%s' is far above its "
                 "'timeout_ms'",
                 route->name.data);
  return 0;
}

static int
read_prefix (struct ab_fleet_route *route, const json_t *item, char *error)
{
  const struct ab_chunk *prefix = &route->prefix;
  int rc
      = copy_text (item, "prefix", AB_ROUTE_PATH_BYTES, &route->prefix, error);

  if (rc < 0)
    return rc;
  if (prefix->data[0] != '/' || prefix->data[prefix->len - 1] != '/')
    return fail (error, "the prefix '%s' must begin and end with a slash",
                 prefix->data);
  return 0;
}

static int
read_no_key (struct ab_fleet_route *route, const json_t *item, char *error)
{
  const json_t *no_key = json_object_get (item, "no_key");

  if (no_key && !json_is_boolean (no_key) && !json_is_null (no_key))
    return fail (error, "'no_key' of route '%s' must be true or false",
                 route->name.data);
  route->no_key = json_is_true (no_key);
  return 0;
}

static int
read_route (const struct ab_route_table *table, struct ab_fleet_route *route,
            const json_t *item, char *error)
{
  const json_t *split = json_object_get (item, "split");
  int rc = copy_text (item, "name", AB_NAME_BYTES, &route->name, error);

  route->attempts = 1;
  if (rc == 0)
    rc = read_prefix (route, item, error);
  if (rc == 0)
    rc = read_kind (route, item, error);
  if (rc == 0)
    rc = read_times (route, item, error);
  if (rc == 0)
    rc = read_number (item, "priority", false, 0, &route->priority, error);
  if (rc == 0)
    rc = read_number (item, "attempts", false, 1, &route->attempts, error);
  if (rc == 0)
    rc = read_no_key (route, item, error);
  if (rc < 0)
    return rc;
  if (route->attempts > ATTEMPTS_MAX)
    route->attempts = ATTEMPTS_MAX;
  if (split && !json_is_null (split))
    return read_split (table, route, split, error);
  route->shares = calloc (1, sizeof *route->shares);
  return route->shares ? add_share (table, route, item, 1, error)
                       : AB_ERR_MEMORY;
}

/* Returns the length of HOST without its port.  */
static size_t
host_name_len (struct ab_chunk host)
{
  /* An IPv6 address is in brackets.  */
  bool bracketed = host.len > 0 && host.data[0] == '[';
  const char *end = host.len > 0
                        ? memchr (host.data, bracketed ? ']' : ':', host.len)
                        : NULL;

  return end ? (size_t)(end - host.data) + bracketed : host.len;
}

/* Writes HOST to NAME in lower case and without its port.  Returns false when
   it is too long.  */
static bool
normalise_host (struct ab_chunk host, char name[AB_ROUTE_HOST_BYTES])
{
  host.len = host_name_len (host);
  if (!ab_chunk_copy (host, name, AB_ROUTE_HOST_BYTES))
    return false;
  for (; *name; name++)
    if (*name >= 'A' && *name <= 'Z')
      *name = (char)(*name - 'A' + 'a');
  return true;
}

static int
read_host (struct ab_route_table *table, const json_t *item, char *error)
{
  const json_t *list = json_object_get (item, "prefixes");
  char name[AB_ROUTE_HOST_BYTES] = "";
  struct ab_chunk host;
  int rc = read_text (item, "host", AB_ROUTE_HOST_BYTES, &host, error);

  if (rc < 0)
    return rc;
  if (!json_is_array (list))
    return fail (error, "host '%s' must have a list 'prefixes'", host.data);
  normalise_host (host, name);
  for (size_t i = 0; i < json_array_size (list) && rc == 0; i++)
    {
      struct ab_fleet_route *route = &table->routes[table->route_count++];
      route->host.data = strdup (name);
      if (!route->host.data)
        return AB_ERR_MEMORY;
      route->host.len = strlen (name);
      rc = read_route (table, route, json_array_get (list, i), error);
    }
  return rc;
}

static int
read_hosts (struct ab_route_table *table, const json_t *list, char *error)
{
  size_t total = 0;
  int rc = 0;

  if (!json_is_array (list))
    return fail (error, "'hosts' must be a list");
  for (size_t i = 0; i < json_array_size (list); i++)
    total += json_array_size (
        json_object_get (json_array_get (list, i), "prefixes"));
  if (total > ROUTES_MAX)
    return fail (error, "'hosts' must have at most %d routes", ROUTES_MAX);
  table->routes = calloc (total + 1, sizeof *table->routes);
  if (!table->routes)
    return AB_ERR_MEMORY;
  for (size_t i = 0; i < json_array_size (list) && rc == 0; i++)
    rc = read_host (table, json_array_get (list, i), error);
  return rc;
}

static int
read_limits (struct ab_route_table *table, const json_t *item, char *error)
{
  struct ab_caller_limits *limits = &table->limits;
  int rc;

  *limits = default_limits;
  if (!item)
    return 0;
  if (!json_is_object (item))
    return fail (error, "'limits' must be an object");
  rc = read_number (item, "header_bytes", false, 1, &limits->header_bytes,
                    error);
  if (rc == 0)
    rc = read_number (item, "body_bytes", false, 0, &limits->body_bytes,
                      error);
  if (rc == 0)
    rc = read_number (item, "header_time_ms", false, 1,
                      &limits->header_time_ms, error);
  if (rc == 0)
    rc = read_number (item, "idle_time_ms", false, 1, &limits->idle_time_ms,
                      error);
  return rc;
}

static int
compare_paths (const void *a, const void *b)
{
  const struct ab_fleet_route *const *left = a;
  const struct ab_fleet_route *const *right = b;
  int order = compare_texts ((*left)->host, (*right)->host);

  return order != 0 ? order
                    : compare_texts ((*left)->prefix, (*right)->prefix);
}

static int
index_routes (struct ab_route_table *table, char *error)
{
  const struct ab_fleet_route **list = calloc (
      table->route_count + 1, sizeof (const struct ab_fleet_route *));

  if (!list)
    return AB_ERR_MEMORY;
  table->routes_by_path = list;
  for (size_t i = 0; i < table->route_count; i++)
    {
      list[i] = &table->routes[i];
      if (list[i]->prefix.len > table->longest_prefix)
        table->longest_prefix = list[i]->prefix.len;
    }
  qsort (list, table->route_count, sizeof (const struct ab_fleet_route *),
         compare_paths);
  for (size_t i = 1; i < table->route_count; i++)
    if (compare_paths (&list[i - 1], &list[i]) == 0)
      return fail (error, "host '%s' has the prefix '%s' twice",
                   list[i]->host.data, list[i]->prefix.data);
  return 0;
}

static int
read_teams (struct ab_route_table *table, const json_t *list, char *error)
{
  if (!list || json_is_null (list))
    return 0;
  return ab_team_table_read (list, &table->teams, error);
}

static int
read_table (struct ab_route_table *table, const json_t *root, char *error)
{
  int rc = read_number (root, "version", true, 1, &table->version, error);

  if (rc == 0)
    rc = read_number (root, "base_version", true, 0, &table->base, error);
  if (rc == 0)
    rc = read_services (table, json_object_get (root, "services"), error);
  if (rc == 0)
    rc = read_hosts (table, json_object_get (root, "hosts"), error);
  if (rc == 0)
    rc = read_limits (table, json_object_get (root, "limits"), error);
  if (rc == 0)
    rc = read_teams (table, json_object_get (root, "teams"), error);
  if (rc == 0)
    rc = index_routes (table, error);
  return rc;
}

/* Tells where TEXT of a bundle is no JSON object.  JSON_ERROR quotes the text
   there, which may be a key and must not be logged.  */
static int
fail_json (const json_error_t *json_error, char *error)
{
  const char *quote = strstr (json_error->text, " near ");
  size_t len
      = quote ? (size_t)(quote - json_error->text) : strlen (json_error->text);

  return fail (error, "not a JSON object: %.*s at line %d, column %d",
               (int)len, json_error->text, json_error->line,
               json_error->column);
}

int
ab_route_table_parse (struct ab_chunk text, struct ab_route_table **table,
                      char error[AB_CONF_ERROR_BYTES])
{
  struct ab_route_table *result = calloc (1, sizeof *result);
  json_error_t json_error;
  json_t *root;
  int rc;

  *table = NULL;
  error[0] = '\0';
  if (!result)
    return AB_ERR_MEMORY;
  result->references = 1;
  root = json_loadb (text.data, text.len, JSON_REJECT_DUPLICATES, &json_error);
  if (json_is_object (root))
    rc = read_table (result, root, error);
  else
    rc = fail_json (&json_error, error);
  json_decref (root);
  if (rc < 0)
    ab_route_table_unref (result);
  else
    *table = result;
  return rc;
}

struct ab_route_table *
ab_route_table_ref (struct ab_route_table *table)
{
  if (table)
    table->references++;
  return table;
}

void
ab_route_table_unref (struct ab_route_table *table)
{
  if (!table || --table->references > 0)
    return;
  for (size_t i = 0; i < table->route_count; i++)
    {
      free_text (&table->routes[i].name);
      free_text (&table->routes[i].host);
      free_text (&table->routes[i].prefix);
      free (table->routes[i].shares);
    }
  for (size_t i = 0; i < table->service_count; i++)
    free_text (&table->services[i].probe_path);
  ab_team_table_free (table->teams);
  free (table->services_by_name);
  free (table->services);
  free (table->routes_by_path);
  free (table->routes);
  free (table);
}

uint64_t
ab_route_table_version (const struct ab_route_table *table)
{
  return table->version;
}

uint64_t
ab_route_table_base (const struct ab_route_table *table)
{
  return table->base;
}

const struct ab_caller_limits *
ab_route_table_limits (const struct ab_route_table *table)
{
  return &table->limits;
}

size_t
ab_route_table_route_count (const struct ab_route_table *table)
{
  return table->route_count;
}

const struct ab_fleet_service *
ab_route_table_service (const struct ab_route_table *table, size_t index)
{
  return &table->services[index];
}

const struct ab_fleet_service *
ab_route_table_find_service (const struct ab_route_table *table,
                             struct ab_chunk name)
{
  const struct ab_fleet_service *const *list = table->services_by_name;
  size_t low = 0;
  size_t high = table->service_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      if (compare_texts (ab_chunk_str (list[middle]->name), name) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low < table->service_count
                 && ab_chunk_equal (ab_chunk_str (list[low]->name), name)
             ? list[low]
             : NULL;
}

/* Returns the first route, by host and prefix, that is not before HOST and
   PREFIX, or null.  */
static const struct ab_fleet_route *
first_route_from (const struct ab_route_table *table, struct ab_chunk host,
                  struct ab_chunk prefix)
{
  const struct ab_fleet_route wanted = { .host = host, .prefix = prefix };
  const struct ab_fleet_route *key = &wanted;
  size_t low = 0;
  size_t high = table->route_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      if (compare_paths (&table->routes_by_path[middle], &key) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low < table->route_count ? table->routes_by_path[low] : NULL;
}

const struct ab_fleet_route *
ab_route_table_find (const struct ab_route_table *table, struct ab_chunk host,
                     struct ab_chunk path)
{
  char name[AB_ROUTE_HOST_BYTES];
  struct ab_chunk prefix = path;

  if (!normalise_host (host, name))
    return NULL;
  host = ab_chunk_str (name);
  if (prefix.len > table->longest_prefix)
    prefix.len = table->longest_prefix;
  /* Every prefix ends with a slash.  */
  for (; prefix.len > 0; prefix.len--)
    {
      const struct ab_fleet_route *route;
      if (prefix.data[prefix.len - 1] != '/')
        continue;
      route = first_route_from (table, host, prefix);
      if (route && ab_chunk_equal (route->host, host)
          && ab_chunk_equal (route->prefix, prefix))
        return route;
    }
  return NULL;
}

bool
ab_route_table_has_host (const struct ab_route_table *table,
                         struct ab_chunk host)
{
  char name[AB_ROUTE_HOST_BYTES];
  const struct ab_fleet_route *route;

  if (!normalise_host (host, name))
    return false;
  host = ab_chunk_str (name);
  route = first_route_from (table, host, ab_chunk (NULL, 0));
  return route && ab_chunk_equal (route->host, host);
}

bool
ab_route_table_has_teams (const struct ab_route_table *table)
{
  return table->teams != NULL;
}

size_t
ab_route_table_team_count (const struct ab_route_table *table)
{
  return table->teams ? ab_team_table_count (table->teams) : 0;
}

const struct ab_fleet_team *
ab_route_table_find_team (const struct ab_route_table *table,
                          struct ab_chunk name)
{
  return table->teams ? ab_team_table_find (table->teams, name) : NULL;
}

const struct ab_fleet_team *
ab_route_table_find_key (const struct ab_route_table *table,
                         struct ab_chunk key)
{
  return table->teams ? ab_team_table_find_key (table->teams, key) : NULL;
}

size_t
ab_fleet_route_choose (const struct ab_fleet_route *route, uint64_t draw)
{
  uint64_t rest = draw % route->weight_sum;

  for (size_t i = 0; i < route->share_count; i++)
    {
      if (rest < route->shares[i].weight)
        return route->shares[i].service;
      rest -= route->shares[i].weight;
    }
  return route->shares[0].service;
}
