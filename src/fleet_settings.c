#include "fleet_settings.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#include "error.h"
#include "rate_limit.h"

#define SECOND_MS 1000
#define HOUR_MS (3600 * SECOND_MS)
#define KIB 1024ULL
#define MIB (1024 * KIB)
#define PORT_MAX 65535
#define TOLERATED_LOSSES_MAX 3
#define TEAM_LIMIT_SLACK_MAX 1000000
#define RETRY_EXTRA_MAX 100000
/* Election timeout: many times the duration of two round trips between regions
   and a slow disk write.  */
#define ELECTION_MS 900
/* Several heartbeats fit into one election timeout, so that a lost one doesn't
   start an election.  */
#define HEARTBEAT_MS 280
#define LINK_MBPS_MAX 1000000
#define MEMORY_MB_MAX 1000000
/* Part of the process's memory for the bytes of requests.  Responses, sockets
   and one larger request need the rest.  */
#define REQUESTS_MEMORY_SHARE 0.15
/* Part of the process's memory for the bytes of responses that were not read.
   Responses of targets that are still arriving, and requests, need the
   rest.  */
#define UNREAD_MEMORY_SHARE 0.25
/* Bytes of unread responses when the memory limit is not known.  */
#define UNREAD_BYTES (64 * MIB)
/* A control host has a connection of each target and few of operators.  */
#define SIDE_CONNECTIONS 1000
#define SIDE_CONNECTIONS_MAX 100000
/* Bytes of requests when the memory limit is not known.  */
#define REQUESTS_BYTES (32 * MIB)
#define COUNT_OF(a) (sizeof (a) / sizeof (a)[0])

static const struct ab_conf_field listen_fields[] = {
  AB_CONF_FIELD (ab_fleet_listen, "callers", callers, ab_conf_address),
  AB_CONF_FIELD (ab_fleet_listen, "ready", ready, ab_conf_address),
  AB_CONF_FIELD (ab_fleet_listen, "addresses", addresses, ab_conf_address),
  AB_CONF_FIELD (ab_fleet_listen, "admin", admin, ab_conf_address),
  AB_CONF_FIELD (ab_fleet_listen, "peers", peers, ab_conf_address,
                 .required = true),
  AB_CONF_FIELD (ab_fleet_listen, "peers_bind", peers_bind, ab_conf_address),
  AB_CONF_FIELD (ab_fleet_listen, "metrics", metrics, ab_conf_address),
};

static const struct ab_conf_field header_fields[] = {
  AB_CONF_FIELD (ab_header_names, "request_id", request_id, ab_conf_name),
  AB_CONF_FIELD (ab_header_names, "deadline", deadline, ab_conf_name),
  AB_CONF_FIELD (ab_header_names, "incarnation", incarnation, ab_conf_name),
  AB_CONF_FIELD (ab_header_names, "not_run", not_run, ab_conf_name),
  AB_CONF_FIELD (ab_header_names, "answered_by", answered_by, ab_conf_name),
  AB_CONF_FIELD (ab_header_names, "leaving", leaving, ab_conf_name),
  AB_CONF_FIELD (ab_header_names, "rate_limit", rate_limit, ab_conf_name),
  AB_CONF_FIELD (ab_header_names, "key", key, ab_conf_name),
  AB_CONF_FIELD (ab_header_names, "team", team, ab_conf_name),
};

static const char *const roles[] = { "gateway", "control", NULL };

static const struct ab_conf_field seed_field
    = { .key = "seeds", .size = AB_ADDRESS_BYTES };

static int
read_seeds (struct ab_conf *conf, yaml_node_t *node,
            const struct ab_conf_field *field, void *dst)
{
  struct ab_fleet_settings *settings = dst;

  (void)field;
  return ab_conf_read_list (conf, node, AB_ADDRESS_BYTES, AB_SETTINGS_LIST_MAX,
                            ab_conf_address, &seed_field,
                            (void **)&settings->seeds, &settings->seed_count);
}

static int
read_domain (struct ab_conf *conf, const yaml_node_pair_t *pair,
             struct ab_domain *domain)
{
  yaml_node_t *key = yaml_document_get_node (&conf->document, pair->key);
  yaml_node_t *value = yaml_document_get_node (&conf->document, pair->value);
  struct ab_chunk name = { 0 };
  struct ab_chunk region = { 0 };
  int rc = ab_conf_scalar (conf, key, "a failure domain", &name);

  if (rc == 0)
    rc = ab_conf_scalar (conf, value, "a region", &region);
  if (rc < 0)
    return rc;
  if (!ab_chunk_copy (name, domain->name, sizeof domain->name)
      || !ab_chunk_copy (region, domain->region, sizeof domain->region))
    return ab_conf_fail (conf, key, "the name is too long");
  return 0;
}

/* Reads a map from failure domains to their regions.  */
static int
read_domains (struct ab_conf *conf, yaml_node_t *node,
              const struct ab_conf_field *field, void *dst)
{
  struct ab_fleet_settings *settings = dst;
  yaml_node_pair_t *pair;
  int rc = 0;

  if (node->type != YAML_MAPPING_NODE)
    return ab_conf_fail (conf, node, "'%s' must be a map", field->key);
  settings->domains = calloc (AB_DOMAINS_MAX, sizeof *settings->domains);
  if (!settings->domains)
    return AB_ERR_MEMORY;
  for (pair = node->data.mapping.pairs.start;
       pair < node->data.mapping.pairs.top && rc == 0; pair++)
    {
      if (settings->domain_count == AB_DOMAINS_MAX)
        return ab_conf_fail (conf, node, "at most %d failure domains",
                             AB_DOMAINS_MAX);
      rc = read_domain (conf, pair,
                        &settings->domains[settings->domain_count++]);
    }
  return rc;
}

static const struct ab_conf_field fields[] = {
  AB_CONF_FIELD (ab_fleet_settings, "host", name, ab_conf_string,
                 .required = true),
  AB_CONF_FIELD (ab_fleet_settings, "role", role, ab_conf_enum,
                 .required = true, .extra = roles),
  AB_CONF_FIELD (ab_fleet_settings, "region", base.region, ab_conf_string,
                 .required = true),
  AB_CONF_FIELD (ab_fleet_settings, "failure_domain", base.failure_domain,
                 ab_conf_string, .required = true),
  AB_CONF_FIELD (ab_fleet_settings, "listen", listen, ab_conf_submap,
                 .required = true, .extra = AB_CONF_MAP (listen_fields)),
  AB_CONF_FIELD (ab_fleet_settings, "control_port", control_port, ab_conf_u64,
                 .min = 1, .max = PORT_MAX, .required = true),
  { .key = "seeds", .read = read_seeds, .required = true },
  { .key = "domains", .read = read_domains, .required = true },
  AB_CONF_FIELD (ab_fleet_settings, "headers", headers, ab_conf_submap,
                 .extra = AB_CONF_MAP (header_fields)),
  AB_CONF_FIELD (ab_fleet_settings, "data_folder", base.data_folder,
                 ab_conf_string),
  AB_CONF_FIELD (ab_fleet_settings, "first_start", first_start, ab_conf_bool),
  AB_CONF_FIELD (ab_fleet_settings, "tolerated_losses", tolerated_losses,
                 ab_conf_u64, .max = TOLERATED_LOSSES_MAX),
  AB_CONF_FIELD (ab_fleet_settings, "answer_lifetime", answer_lifetime_ms,
                 ab_conf_duration, .min = 100, .max = HOUR_MS),
  AB_CONF_FIELD (ab_fleet_settings, "stop_time", stop_time_ms,
                 ab_conf_duration, .min = 100, .max = HOUR_MS),
  AB_CONF_FIELD (ab_fleet_settings, "repeat_fraction", retry_fraction,
                 ab_conf_fraction),
  AB_CONF_FIELD (ab_fleet_settings, "repeat_extra", retry_extra, ab_conf_u64,
                 .max = RETRY_EXTRA_MAX),
  AB_CONF_FIELD (ab_fleet_settings, "repeat_window", retry_window_ms,
                 ab_conf_duration, .min = SECOND_MS, .max = HOUR_MS),
  AB_CONF_FIELD (ab_fleet_settings, "key_lifetime", key_lifetime_ms,
                 ab_conf_duration, .min = SECOND_MS, .max = HOUR_MS),
  AB_CONF_FIELD (ab_fleet_settings, "team_limit_window", team_limit_window_ms,
                 ab_conf_duration, .min = SECOND_MS, .max = HOUR_MS),
  AB_CONF_FIELD (ab_fleet_settings, "team_limit_overshoot",
                 team_limit_overshoot, ab_conf_fraction),
  AB_CONF_FIELD (ab_fleet_settings, "team_limit_slack", team_limit_slack,
                 ab_conf_u64, .max = TEAM_LIMIT_SLACK_MAX),
  AB_CONF_FIELD (ab_fleet_settings, "memory_mb", memory_mb, ab_conf_u64,
                 .max = MEMORY_MB_MAX),
  AB_CONF_FIELD (ab_fleet_settings, "side_connections",
                 base.http.side_connections, ab_conf_u64, .min = 1,
                 .max = SIDE_CONNECTIONS_MAX),
  AB_CONF_FIELD (ab_fleet_settings, "link_mbps", link_mbps, ab_conf_number,
                 .max = LINK_MBPS_MAX),
};

static const struct ab_fleet_settings defaults = {
  .base = { .http = { .body_bytes = 64 * MIB,
                      .header_bytes = 32 * KIB,
                      .header_time_ms = 10 * SECOND_MS,
                      .idle_time_ms = 60 * SECOND_MS,
                      .connections = 3000,
                      .requests_bytes = REQUESTS_BYTES,
                      .unread_bytes = UNREAD_BYTES,
                      .side_connections = SIDE_CONNECTIONS },
            .raft_heartbeat_ms = HEARTBEAT_MS,
            .raft_election_ms = ELECTION_MS,
            .log_level = AB_LOG_INFO },
  .headers = { .request_id = "X-Request-Id",
               .deadline = "Request-Timeout-Ms",
               .incarnation = "Almond-Incarnation",
               .not_run = "Almond-Shed",
               .answered_by = "Almond-Target",
               .leaving = "Almond-Leaving",
               .rate_limit = AB_RATE_LIMIT_HEADER,
               .key = "Almond-Key",
               .team = "Almond-Team" },
  .tolerated_losses = 1,
  .answer_lifetime_ms = 5 * SECOND_MS,
  .stop_time_ms = 6 * SECOND_MS,
  .retry_fraction = 0.1,
  .retry_extra = 10,
  .retry_window_ms = 10 * SECOND_MS,
  .team_limit_window_ms = 5 * SECOND_MS,
  .team_limit_overshoot = 0.1,
  .team_limit_slack = 0,
};

/* Checks rules that involve several keys.  */
static int
check_settings (struct ab_conf *conf, const struct ab_fleet_settings *settings)
{
  const yaml_node_t *root = ab_conf_root (conf);
  const struct ab_fleet_listen *listen = &settings->listen;

  if (settings->seed_count == 0)
    return ab_conf_fail (conf, root, "'seeds' needs at least one address");
  if (settings->role == AB_FLEET_CONTROL && !settings->base.data_folder[0])
    return ab_conf_fail (conf, root, "a control host needs 'data_folder'");
  if (settings->role == AB_FLEET_CONTROL && !listen->admin[0])
    return ab_conf_fail (conf, root, "a control host needs 'listen: admin'");
  if (settings->role == AB_FLEET_GATEWAY && !listen->callers[0])
    return ab_conf_fail (conf, root, "a gateway needs 'listen: callers'");
  if (!ab_fleet_region (settings, settings->base.failure_domain)[0])
    return ab_conf_fail (conf, root, "'domains' does not contain '%s'",
                         settings->base.failure_domain);
  return 0;
}

static void
fill_base_settings (struct ab_fleet_settings *settings)
{
  struct ab_settings *base = &settings->base;

  if (settings->memory_mb)
    {
      double bytes = (double)settings->memory_mb * MIB;
      base->http.requests_bytes = (uint64_t)(REQUESTS_MEMORY_SHARE * bytes);
      base->http.unread_bytes = (uint64_t)(UNREAD_MEMORY_SHARE * bytes);
    }
  base->role
      = settings->role == AB_FLEET_CONTROL ? AB_ROLE_CONTROL : AB_ROLE_ENTRY;
  memcpy (base->host, settings->listen.peers, sizeof base->host);
  memcpy (base->listen.peers,
          settings->listen.peers_bind[0] ? settings->listen.peers_bind
                                         : settings->listen.peers,
          sizeof base->listen.peers);
  memcpy (base->listen.callers, settings->listen.callers,
          sizeof base->listen.callers);
}

int
ab_fleet_settings_parse (const char *name, struct ab_chunk text,
                         struct ab_fleet_settings **settings,
                         char error[AB_CONF_ERROR_BYTES])
{
  struct ab_fleet_settings *result = malloc (sizeof *result);
  struct ab_conf conf;
  int rc;

  *settings = NULL;
  error[0] = '\0';
  if (!result)
    return AB_ERR_MEMORY;
  *result = defaults;
  rc = ab_conf_load (&conf, name, text);
  if (rc == 0)
    rc = ab_conf_read_map (&conf, ab_conf_root (&conf), fields,
                           COUNT_OF (fields), result);
  if (rc == 0)
    rc = check_settings (&conf, result);
  if (rc == 0)
    {
      fill_base_settings (result);
      *settings = result;
      result = NULL;
    }
  memcpy (error, conf.error, sizeof conf.error);
  ab_conf_free (&conf);
  ab_fleet_settings_free (result);
  return rc;
}

int
ab_fleet_settings_load (const char *path, struct ab_fleet_settings **settings,
                        char error[AB_CONF_ERROR_BYTES])
{
  char *data = NULL;
  size_t len = 0;
  int rc = ab_read_file (path, AB_CONF_FILE_BYTES_MAX, &data, &len);

  *settings = NULL;
  if (rc < 0)
    {
      snprintf (error, AB_CONF_ERROR_BYTES, "%s: cannot read the file: %s",
                path, rc == AB_ERR_IO ? strerror (errno) : ab_strerror (rc));
      return rc;
    }
  rc = ab_fleet_settings_parse (path, ab_chunk (data, len), settings, error);
  free (data);
  return rc;
}

void
ab_fleet_settings_free (struct ab_fleet_settings *settings)
{
  if (!settings)
    return;
  free (settings->seeds);
  free (settings->domains);
  free (settings);
}

const char *
ab_fleet_role_name (enum ab_fleet_role role)
{
  return role == AB_FLEET_CONTROL ? "control" : "gateway";
}

const char *
ab_fleet_region (const struct ab_fleet_settings *settings, const char *name)
{
  for (size_t i = 0; i < settings->domain_count; i++)
    if (strcmp (settings->domains[i].name, name) == 0)
      return settings->domains[i].region;
  return "";
}
