#include "bundle.h"

#include <stdio.h>
#include <stdlib.h>
#include <uthash.h>

#include "error.h"

#define COUNT_OF(a) (sizeof (a) / sizeof (a)[0])
#define DAY_MS (24ULL * 3600 * 1000)
#define MINUTE_MS 60000ULL
#define DEFAULT_TIMEOUT_MS 10000
#define DEFAULT_SLOTS 1
#define DEFAULT_CONNECTIONS 400
#define DEFAULT_QUEUE 256
#define DEFAULT_SLOW_START_MS 5000

/* Hash entry of a prefix: the routes with this prefix, which are adjacent
   after sorting.  */
struct prefix_entry
{
  struct ab_chunk prefix;
  size_t first; /* Index of the first of COUNT routes.  */
  size_t count;
  UT_hash_handle hh;
};

struct team_entry
{
  struct ab_digest credential;
  size_t team;
  UT_hash_handle hh;
};

struct ab_bundle
{
  unsigned refs;
  uint64_t version;
  struct ab_digest digest;
  uint64_t retention_ms;
  bool anonymous;
  struct ab_retry_rules retry;
  struct ab_service *services;
  size_t service_count;
  struct ab_route *routes; /* Sorted by prefix.  */
  size_t route_count;
  struct ab_team *teams;
  size_t team_count;
  struct prefix_entry *prefixes; /* Storage of the entries of the hash.  */
  struct prefix_entry *prefix_index;
  struct team_entry *team_entries;
  struct team_entry *team_index;
};

static const struct
{
  const char *name;
  enum ab_method method;
} methods[] = {
  { "GET", AB_METHOD_GET },       { "HEAD", AB_METHOD_HEAD },
  { "POST", AB_METHOD_POST },     { "PUT", AB_METHOD_PUT },
  { "DELETE", AB_METHOD_DELETE }, { "PATCH", AB_METHOD_PATCH },
};

unsigned
ab_method_parse (struct ab_chunk name)
{
  for (size_t i = 0; i < COUNT_OF (methods); i++)
    if (ab_chunk_equal (name, ab_chunk_str (methods[i].name)))
      return methods[i].method;
  return 0;
}

const char *
ab_method_name (enum ab_method method)
{
  for (size_t i = 0; i < COUNT_OF (methods); i++)
    if (methods[i].method == method)
      return methods[i].name;
  return "unknown";
}

static const struct ab_conf_field credential_field
    = { .key = "credentials", .size = AB_DIGEST_BYTES };

static int
read_credentials (struct ab_conf *conf, yaml_node_t *node,
                  const struct ab_conf_field *field, void *dst)
{
  struct ab_service *service = dst;

  (void)field;
  if (service->credentials)
    return ab_conf_fail (conf, node, "'credentials' is given twice");
  return ab_conf_read_list (conf, node, sizeof *service->credentials,
                            AB_CREDENTIALS_MAX, ab_conf_hex, &credential_field,
                            (void **)&service->credentials,
                            &service->credential_count);
}

static int
read_method (struct ab_conf *conf, yaml_node_t *node,
             const struct ab_conf_field *field, void *dst)
{
  struct ab_chunk text;
  int rc = ab_conf_scalar (conf, node, "a method", &text);

  (void)field;
  if (rc < 0)
    return rc;
  *(unsigned *)dst = ab_method_parse (text);
  if (*(unsigned *)dst == 0)
    return ab_conf_fail (conf, node,
                         "method '%s' is not known; expected GET, HEAD, POST, "
                         "PUT, DELETE or PATCH",
                         text.data);
  return 0;
}

static int
read_methods (struct ab_conf *conf, yaml_node_t *node,
              const struct ab_conf_field *field, void *dst)
{
  unsigned *list = NULL;
  size_t count = 0;
  int rc = ab_conf_read_list (conf, node, sizeof *list, COUNT_OF (methods),
                              read_method, field, (void **)&list, &count);

  for (size_t i = 0; rc == 0 && i < count; i++)
    *(unsigned *)dst |= list[i];
  free (list);
  return rc;
}

static const struct ab_conf_field service_fields[] = {
  AB_CONF_FIELD (ab_service, "name", name, ab_conf_name, .required = true),
  AB_CONF_FIELD (ab_service, "slots", slots, ab_conf_u64, .min = 1,
                 .max = 10000),
  AB_CONF_FIELD (ab_service, "connections", connections, ab_conf_u64, .min = 1,
                 .max = 100000),
  AB_CONF_FIELD (ab_service, "floor", floor, ab_conf_percent,
                 .required = true),
  AB_CONF_FIELD (ab_service, "detection_weight", detection_weight,
                 ab_conf_fraction),
  AB_CONF_FIELD (ab_service, "queue", queue, ab_conf_u64, .max = 100000),
  AB_CONF_FIELD (ab_service, "slow_start", slow_start_ms, ab_conf_duration,
                 .max = 10 * MINUTE_MS),
  { .key = "credentials", .read = read_credentials, .required = true },
};

static const struct ab_conf_field route_fields[] = {
  AB_CONF_FIELD (ab_route, "prefix", prefix, ab_conf_string, .required = true),
  AB_CONF_FIELD (ab_route, "methods", methods, read_methods),
  AB_CONF_FIELD (ab_route, "service", service_name, ab_conf_name,
                 .required = true),
  AB_CONF_FIELD (ab_route, "class", class_name, ab_conf_name),
  AB_CONF_FIELD (ab_route, "priority", priority, ab_conf_u64,
                 .max = AB_PRIORITY_MAX),
  AB_CONF_FIELD (ab_route, "idempotent", idempotent, ab_conf_bool,
                 .required = true),
  AB_CONF_FIELD (ab_route, "timeout", timeout_ms, ab_conf_duration, .min = 1,
                 .max = 10 * MINUTE_MS),
};

static const struct ab_conf_field team_fields[] = {
  AB_CONF_FIELD (ab_team, "name", name, ab_conf_name, .required = true),
  AB_CONF_FIELD (ab_team, "credential", credential, ab_conf_hex,
                 .required = true),
  AB_CONF_FIELD (ab_team, "rate", rate, ab_conf_rate),
  AB_CONF_FIELD (ab_team, "concurrency", concurrency, ab_conf_u64,
                 .max = 1000000),
};

static const struct ab_conf_field retry_fields[] = {
  AB_CONF_FIELD (ab_retry_rules, "budget", budget, ab_conf_percent),
  AB_CONF_FIELD (ab_retry_rules, "attempts", attempts, ab_conf_u64, .min = 1,
                 .max = 10),
};

static int
read_service (struct ab_conf *conf, yaml_node_t *node,
              const struct ab_conf_field *field, void *dst)
{
  struct ab_service *service = dst;

  (void)field;
  service->slots = DEFAULT_SLOTS;
  service->connections = DEFAULT_CONNECTIONS;
  service->queue = DEFAULT_QUEUE;
  service->slow_start_ms = DEFAULT_SLOW_START_MS;
  service->detection_weight = 0.5;
  return ab_conf_read_map (conf, node, service_fields,
                           COUNT_OF (service_fields), service);
}

static int
read_route (struct ab_conf *conf, yaml_node_t *node,
            const struct ab_conf_field *field, void *dst)
{
  struct ab_route *route = dst;
  int rc;

  (void)field;
  route->timeout_ms = DEFAULT_TIMEOUT_MS;
  rc = ab_conf_read_map (conf, node, route_fields, COUNT_OF (route_fields),
                         route);
  if (rc < 0)
    return rc;
  if (route->prefix[0] != '/')
    return ab_conf_fail (conf, node, "prefix '%s' does not start with '/'",
                         route->prefix);
  if (!route->class_name[0])
    snprintf (route->class_name, sizeof route->class_name, "default");
  return 0;
}

static int
read_team (struct ab_conf *conf, yaml_node_t *node,
           const struct ab_conf_field *field, void *dst)
{
  (void)field;
  return ab_conf_read_map (conf, node, team_fields, COUNT_OF (team_fields),
                           dst);
}

static int
read_retry (struct ab_conf *conf, yaml_node_t *node,
            const struct ab_conf_field *field, void *dst)
{
  (void)field;
  return ab_conf_read_map (conf, node, retry_fields, COUNT_OF (retry_fields),
                           dst);
}

static int
read_services (struct ab_conf *conf, yaml_node_t *node,
               const struct ab_conf_field *field, void *dst)
{
  struct ab_bundle *bundle = dst;

  return ab_conf_read_list (
      conf, node, sizeof *bundle->services, AB_SERVICES_MAX, read_service,
      field, (void **)&bundle->services, &bundle->service_count);
}

static int
read_routes (struct ab_conf *conf, yaml_node_t *node,
             const struct ab_conf_field *field, void *dst)
{
  struct ab_bundle *bundle = dst;

  return ab_conf_read_list (conf, node, sizeof *bundle->routes, AB_ROUTES_MAX,
                            read_route, field, (void **)&bundle->routes,
                            &bundle->route_count);
}

static int
read_teams (struct ab_conf *conf, yaml_node_t *node,
            const struct ab_conf_field *field, void *dst)
{
  struct ab_bundle *bundle = dst;

  return ab_conf_read_list (conf, node, sizeof *bundle->teams, AB_TEAMS_MAX,
                            read_team, field, (void **)&bundle->teams,
                            &bundle->team_count);
}

static const struct ab_conf_field bundle_fields[] = {
  AB_CONF_FIELD (ab_bundle, "version", version, ab_conf_u64, .required = true,
                 .min = 1, .max = INT64_MAX),
  { .key = "services", .read = read_services, .required = true },
  { .key = "routes", .read = read_routes, .required = true },
  { .key = "teams", .read = read_teams },
  AB_CONF_FIELD (ab_bundle, "anonymous", anonymous, ab_conf_bool),
  AB_CONF_FIELD (ab_bundle, "retry", retry, read_retry),
  AB_CONF_FIELD (ab_bundle, "retention", retention_ms, ab_conf_duration,
                 .min = MINUTE_MS, .max = 31 * DAY_MS),
};

static int
find_service_index (const struct ab_bundle *bundle, struct ab_chunk name,
                    size_t *index)
{
  for (size_t i = 0; i < bundle->service_count; i++)
    if (ab_chunk_equal (ab_chunk_str (bundle->services[i].name), name))
      {
        *index = i;
        return 0;
      }
  return AB_ERR_NOT_FOUND;
}

static int
fail_unknown_service (struct ab_conf *conf, const struct ab_bundle *bundle,
                      const struct ab_route *route)
{
  const char **names
      = malloc ((bundle->service_count + 1) * sizeof (const char *));
  const char *suggestion = NULL;
  int rc;

  for (size_t i = 0; names && i < bundle->service_count; i++)
    names[i] = bundle->services[i].name;
  if (names)
    suggestion
        = ab_nearest_name (route->service_name, names, bundle->service_count);
  if (suggestion)
    rc = ab_conf_fail (conf, NULL,
                       "route '%s': no service '%s'; did you mean '%s'?",
                       route->prefix, route->service_name, suggestion);
  else
    rc = ab_conf_fail (conf, NULL, "route '%s': no service '%s'",
                       route->prefix, route->service_name);
  free (names);
  return rc;
}

static int
check_services (struct ab_conf *conf, const struct ab_bundle *bundle)
{
  size_t found;

  if (bundle->service_count == 0)
    return ab_conf_fail (conf, NULL, "'services' is empty");
  for (size_t i = 0; i < bundle->service_count; i++)
    if (find_service_index (bundle, ab_chunk_str (bundle->services[i].name),
                            &found)
            == 0
        && found != i)
      return ab_conf_fail (conf, NULL, "service '%s' is given twice",
                           bundle->services[i].name);
  return 0;
}

static int
compare_routes (const void *a, const void *b)
{
  return strcmp (((const struct ab_route *)a)->prefix,
                 ((const struct ab_route *)b)->prefix);
}

/* Removes a trailing slash, so that "/a/" and "/a" are the same prefix.  */
static void
normalise_prefix (struct ab_route *route)
{
  size_t len = strlen (route->prefix);

  if (len > 1 && route->prefix[len - 1] == '/')
    route->prefix[len - 1] = '\0';
}

static int
index_prefix (struct ab_conf *conf, struct ab_bundle *bundle, size_t *used,
              size_t index)
{
  struct ab_route *route = &bundle->routes[index];
  struct prefix_entry *entry = NULL;
  size_t len = strlen (route->prefix);

  HASH_FIND (hh, bundle->prefix_index, route->prefix, len, entry);
  if (!entry)
    {
      entry = &bundle->prefixes[(*used)++];
      entry->prefix = ab_chunk (route->prefix, len);
      entry->first = index;
      entry->count = 1;
      HASH_ADD_KEYPTR (hh, bundle->prefix_index, entry->prefix.data, len,
                       entry);
      return 0;
    }
  for (size_t i = 0; i < entry->count; i++)
    {
      const struct ab_route *other = &bundle->routes[entry->first + i];
      if (!other->methods || !route->methods
          || (other->methods & route->methods))
        return ab_conf_fail (conf, NULL,
                             "two routes have the prefix '%s' and a method "
                             "in common",
                             route->prefix);
    }
  entry->count++;
  return 0;
}

static int
build_routes (struct ab_conf *conf, struct ab_bundle *bundle)
{
  size_t used = 0;

  bundle->prefixes
      = calloc (bundle->route_count + 1, sizeof *bundle->prefixes);
  if (!bundle->prefixes)
    return AB_ERR_MEMORY;
  for (size_t i = 0; i < bundle->route_count; i++)
    {
      struct ab_route *route = &bundle->routes[i];
      normalise_prefix (route);
      if (find_service_index (bundle, ab_chunk_str (route->service_name),
                              &route->service)
          < 0)
        return fail_unknown_service (conf, bundle, route);
    }
  qsort (bundle->routes, bundle->route_count, sizeof *bundle->routes,
         compare_routes);
  for (size_t i = 0; i < bundle->route_count; i++)
    {
      int rc = index_prefix (conf, bundle, &used, i);
      if (rc < 0)
        return rc;
    }
  return 0;
}

static int
build_teams (struct ab_conf *conf, struct ab_bundle *bundle)
{
  bundle->team_entries
      = calloc (bundle->team_count + 1, sizeof *bundle->team_entries);
  if (!bundle->team_entries)
    return AB_ERR_MEMORY;
  for (size_t i = 0; i < bundle->team_count; i++)
    {
      struct team_entry *entry = &bundle->team_entries[i];
      struct team_entry *other = NULL;
      entry->credential = bundle->teams[i].credential;
      entry->team = i;
      HASH_FIND (hh, bundle->team_index, &entry->credential,
                 sizeof entry->credential, other);
      if (other)
        return ab_conf_fail (
            conf, NULL, "teams '%s' and '%s' have the same credential",
            bundle->teams[other->team].name, bundle->teams[i].name);
      HASH_ADD (hh, bundle->team_index, credential, sizeof entry->credential,
                entry);
    }
  return 0;
}

static void
bundle_free (struct ab_bundle *bundle)
{
  if (!bundle)
    return;
  HASH_CLEAR (hh, bundle->prefix_index);
  HASH_CLEAR (hh, bundle->team_index);
  for (size_t i = 0; i < bundle->service_count; i++)
    free (bundle->services[i].credentials);
  free (bundle->services);
  free (bundle->routes);
  free (bundle->teams);
  free (bundle->prefixes);
  free (bundle->team_entries);
  free (bundle);
}

int
ab_bundle_parse (const char *name, struct ab_chunk text,
                 struct ab_bundle **bundle, char error[AB_CONF_ERROR_BYTES])
{
  struct ab_bundle *result = calloc (1, sizeof *result);
  struct ab_conf conf = { .name = name };
  int rc;

  *bundle = NULL;
  error[0] = '\0';
  if (!result)
    return AB_ERR_MEMORY;
  result->refs = 1;
  result->retention_ms = DAY_MS;
  result->retry = (struct ab_retry_rules){ .budget = 0.1, .attempts = 3 };
  if (text.len > AB_BUNDLE_BYTES_MAX)
    {
      rc = AB_ERR_TOO_LARGE;
      ab_conf_fail (&conf, NULL, "bundle has %zu bytes; at most %d", text.len,
                    AB_BUNDLE_BYTES_MAX);
      goto out;
    }
  rc = ab_conf_load (&conf, name, text);
  if (rc < 0)
    goto out;
  rc = ab_conf_read_map (&conf, ab_conf_root (&conf), bundle_fields,
                         COUNT_OF (bundle_fields), result);
  if (rc < 0)
    goto out;
  rc = check_services (&conf, result);
  if (rc < 0)
    goto out;
  rc = build_routes (&conf, result);
  if (rc < 0)
    goto out;
  rc = build_teams (&conf, result);
  if (rc < 0)
    goto out;
  result->digest = ab_digest_of (text);
  *bundle = result;
  result = NULL;
out:
  memcpy (error, conf.error, sizeof conf.error);
  ab_conf_free (&conf);
  bundle_free (result);
  return rc;
}

struct ab_bundle *
ab_bundle_ref (struct ab_bundle *bundle)
{
  if (bundle)
    bundle->refs++;
  return bundle;
}

void
ab_bundle_unref (struct ab_bundle *bundle)
{
  if (bundle && --bundle->refs == 0)
    bundle_free (bundle);
}

uint64_t
ab_bundle_version (const struct ab_bundle *bundle)
{
  return bundle->version;
}

const struct ab_digest *
ab_bundle_digest (const struct ab_bundle *bundle)
{
  return &bundle->digest;
}

uint64_t
ab_bundle_retention_ms (const struct ab_bundle *bundle)
{
  return bundle->retention_ms;
}

const struct ab_retry_rules *
ab_bundle_retry (const struct ab_bundle *bundle)
{
  return &bundle->retry;
}

bool
ab_bundle_allows_anonymous (const struct ab_bundle *bundle)
{
  return bundle->anonymous;
}

size_t
ab_bundle_service_count (const struct ab_bundle *bundle)
{
  return bundle->service_count;
}

const struct ab_service *
ab_bundle_service (const struct ab_bundle *bundle, size_t index)
{
  return &bundle->services[index];
}

size_t
ab_bundle_route_count (const struct ab_bundle *bundle)
{
  return bundle->route_count;
}

const struct ab_route *
ab_bundle_route (const struct ab_bundle *bundle, size_t index)
{
  return &bundle->routes[index];
}

size_t
ab_bundle_team_count (const struct ab_bundle *bundle)
{
  return bundle->team_count;
}

const struct ab_team *
ab_bundle_team (const struct ab_bundle *bundle, size_t index)
{
  return &bundle->teams[index];
}

const struct ab_service *
ab_bundle_find_service (const struct ab_bundle *bundle, struct ab_chunk name)
{
  size_t index;

  if (find_service_index (bundle, name, &index) < 0)
    return NULL;
  return &bundle->services[index];
}

static const struct ab_route *
match_prefix (const struct ab_bundle *bundle, enum ab_method method,
              struct ab_chunk prefix)
{
  struct prefix_entry *entry = NULL;

  HASH_FIND (hh, bundle->prefix_index, prefix.data, prefix.len, entry);
  for (size_t i = 0; entry && i < entry->count; i++)
    {
      const struct ab_route *route = &bundle->routes[entry->first + i];
      if (!route->methods || (route->methods & method))
        return route;
    }
  return NULL;
}

const struct ab_route *
ab_bundle_find_route (const struct ab_bundle *bundle, enum ab_method method,
                      struct ab_chunk path)
{
  size_t len = path.len;

  if (len == 0 || path.data[0] != '/')
    return NULL;
  for (;;)
    {
      const struct ab_route *route = NULL;
      if (len > 0 && len < AB_PREFIX_BYTES)
        route = match_prefix (bundle, method, ab_chunk (path.data, len));
      if (route)
        return route;
      if (len <= 1)
        return NULL;
      do
        len--;
      while (len > 0 && path.data[len] != '/');
      if (len == 0)
        len = 1;
    }
}

const struct ab_team *
ab_bundle_find_team (const struct ab_bundle *bundle, struct ab_chunk token)
{
  struct ab_digest digest = ab_digest_of (token);
  struct team_entry *entry = NULL;

  HASH_FIND (hh, bundle->team_index, &digest, sizeof digest, entry);
  return entry ? &bundle->teams[entry->team] : NULL;
}

bool
ab_service_accepts_token (const struct ab_service *service,
                          struct ab_chunk token)
{
  struct ab_digest digest = ab_digest_of (token);
  bool accepted = false;

  for (size_t i = 0; i < service->credential_count; i++)
    if (ab_digest_equal (&service->credentials[i], &digest))
      accepted = true;
  return accepted;
}
