#include "settings.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#include "error.h"
#include "keys.h"

#define SECOND_MS 1000
#define MINUTE_MS (60 * SECOND_MS)
#define HOUR_MS (60 * MINUTE_MS)
#define KIB 1024ULL
#define MIB (1024 * KIB)
#define COUNT_OF(a) (sizeof (a) / sizeof (a)[0])

static const struct ab_conf_field listen_fields[] = {
  AB_CONF_FIELD (ab_listen_settings, "callers", callers, ab_conf_address),
  AB_CONF_FIELD (ab_listen_settings, "peers", peers, ab_conf_address),
  AB_CONF_FIELD (ab_listen_settings, "admin", admin, ab_conf_address),
};

static const struct ab_conf_field member_fields[] = {
  AB_CONF_FIELD (ab_control_member, "host", host, ab_conf_name,
                 .required = true),
  AB_CONF_FIELD (ab_control_member, "address", address, ab_conf_address,
                 .required = true),
  AB_CONF_FIELD (ab_control_member, "key", key, ab_conf_hex, .required = true),
};

static const struct ab_conf_field signer_fields[] = {
  AB_CONF_FIELD (ab_signer, "name", name, ab_conf_name, .required = true),
  AB_CONF_FIELD (ab_signer, "key", key, ab_conf_hex, .required = true),
};

static const struct ab_conf_field http_fields[] = {
  AB_CONF_FIELD (ab_http_settings, "body", body_bytes, ab_conf_u64, .min = KIB,
                 .max = 64 * MIB),
  AB_CONF_FIELD (ab_http_settings, "headers", header_bytes, ab_conf_u64,
                 .min = KIB, .max = MIB),
  AB_CONF_FIELD (ab_http_settings, "header_time", header_time_ms,
                 ab_conf_duration, .min = 100, .max = HOUR_MS),
  AB_CONF_FIELD (ab_http_settings, "idle_time", idle_time_ms, ab_conf_duration,
                 .min = 100, .max = HOUR_MS),
  AB_CONF_FIELD (ab_http_settings, "connections", connections, ab_conf_u64,
                 .min = 1, .max = 1000000),
  AB_CONF_FIELD (ab_http_settings, "certificate", certificate_file,
                 ab_conf_string),
  AB_CONF_FIELD (ab_http_settings, "key", key_file, ab_conf_string),
};

static int
read_member (struct ab_conf *conf, yaml_node_t *node,
             const struct ab_conf_field *field, void *dst)
{
  (void)field;
  return ab_conf_read_map (conf, node, member_fields, COUNT_OF (member_fields),
                           dst);
}

static int
read_signer (struct ab_conf *conf, yaml_node_t *node,
             const struct ab_conf_field *field, void *dst)
{
  (void)field;
  return ab_conf_read_map (conf, node, signer_fields, COUNT_OF (signer_fields),
                           dst);
}

static int
read_level (struct ab_conf *conf, yaml_node_t *node,
            const struct ab_conf_field *field, void *dst)
{
  struct ab_chunk text;
  int rc = ab_conf_scalar (conf, node, "a log level", &text);

  if (rc < 0)
    return rc;
  if (ab_log_level_parse (text, dst) < 0)
    return ab_conf_fail (conf, node,
                         "'%s' is '%s'; expected debug, info, warn or error",
                         field->key, text.data);
  return 0;
}

static int
read_curve_key (struct ab_conf *conf, yaml_node_t *node,
                const struct ab_conf_field *field, void *dst)
{
  struct ab_chunk text;
  int rc = ab_conf_scalar (conf, node, "a CURVE public key", &text);

  (void)field;
  if (rc < 0)
    return rc;
  if (!ab_curve_key_valid (text)
      || !ab_chunk_copy (text, dst, AB_CURVE_KEY_BYTES))
    return ab_conf_fail (conf, node,
                         "expected a CURVE public key of 40 characters (Z85)");
  return 0;
}

static const struct ab_conf_field seed_field
    = { .key = "seeds", .size = AB_ADDRESS_BYTES };

static int
read_seeds (struct ab_conf *conf, yaml_node_t *node,
            const struct ab_conf_field *field, void *dst)
{
  struct ab_settings *settings = dst;

  (void)field;
  return ab_conf_read_list (conf, node, AB_ADDRESS_BYTES, AB_SETTINGS_LIST_MAX,
                            ab_conf_address, &seed_field,
                            (void **)&settings->seeds, &settings->seed_count);
}

static int
read_control (struct ab_conf *conf, yaml_node_t *node,
              const struct ab_conf_field *field, void *dst)
{
  struct ab_settings *settings = dst;
  int rc = ab_conf_read_list (conf, node, sizeof *settings->control,
                              AB_CONTROL_MEMBERS_MAX, read_member, field,
                              (void **)&settings->control,
                              &settings->control_count);

  if (rc < 0)
    return rc;
  for (size_t i = 0; i < settings->control_count; i++)
    for (size_t j = 0; j < i; j++)
      {
        const struct ab_control_member *a = &settings->control[i];
        const struct ab_control_member *b = &settings->control[j];
        if (strcmp (a->address, b->address) == 0)
          return ab_conf_fail (conf, node,
                               "control hosts '%s' and '%s' have the same "
                               "address %s",
                               b->host, a->host, a->address);
        if (strcmp (a->host, b->host) == 0)
          return ab_conf_fail (conf, node, "control host '%s' is given twice",
                               a->host);
      }
  return 0;
}

static int
read_approvers (struct ab_conf *conf, yaml_node_t *node,
                const struct ab_conf_field *field, void *dst)
{
  struct ab_settings *settings = dst;

  return ab_conf_read_list (conf, node, sizeof *settings->approvers,
                            AB_SETTINGS_LIST_MAX, read_signer, field,
                            (void **)&settings->approvers,
                            &settings->approver_count);
}

static int
read_operators (struct ab_conf *conf, yaml_node_t *node,
                const struct ab_conf_field *field, void *dst)
{
  struct ab_settings *settings = dst;

  return ab_conf_read_list (conf, node, sizeof *settings->operators,
                            AB_SETTINGS_LIST_MAX, read_signer, field,
                            (void **)&settings->operators,
                            &settings->operator_count);
}

static int
read_accepted (struct ab_conf *conf, yaml_node_t *node,
               const struct ab_conf_field *field, void *dst)
{
  struct ab_key_settings *keys = dst;

  return ab_conf_read_list (
      conf, node, AB_CURVE_KEY_BYTES, AB_SETTINGS_LIST_MAX, read_curve_key,
      field, (void **)&keys->accepted_fleet, &keys->accepted_fleet_count);
}

static const struct ab_conf_field key_fields[] = {
  AB_CONF_FIELD (ab_key_settings, "fleet", fleet_file, ab_conf_string,
                 .required = true),
  AB_CONF_FIELD (ab_key_settings, "host", host_file, ab_conf_string),
  { .key = "accepted_fleet", .read = read_accepted },
};

static const char *const roles[] = { "entry", "control", NULL };

static const struct ab_conf_field settings_fields[] = {
  AB_CONF_FIELD (ab_settings, "host", host, ab_conf_name, .required = true),
  AB_CONF_FIELD (ab_settings, "role", role, ab_conf_enum, .required = true,
                 .extra = roles),
  AB_CONF_FIELD (ab_settings, "region", region, ab_conf_name,
                 .required = true),
  AB_CONF_FIELD (ab_settings, "failure_domain", failure_domain, ab_conf_name,
                 .required = true),
  AB_CONF_FIELD (ab_settings, "listen", listen, ab_conf_submap,
                 .required = true, .extra = AB_CONF_MAP (listen_fields)),
  AB_CONF_FIELD (ab_settings, "advertise", advertise, ab_conf_submap,
                 .extra = AB_CONF_MAP (listen_fields)),
  { .key = "seeds", .read = read_seeds },
  { .key = "control", .read = read_control, .required = true },
  AB_CONF_FIELD (ab_settings, "data_folder", data_folder, ab_conf_string),
  AB_CONF_FIELD (ab_settings, "keys", keys, ab_conf_submap, .required = true,
                 .extra = AB_CONF_MAP (key_fields)),
  { .key = "approvers", .read = read_approvers, .required = true },
  { .key = "operators", .read = read_operators, .required = true },
  AB_CONF_FIELD (ab_settings, "http", http, ab_conf_submap,
                 .extra = AB_CONF_MAP (http_fields)),
  AB_CONF_FIELD (ab_settings, "address_ttl", address_ttl_ms, ab_conf_duration,
                 .min = 100, .max = HOUR_MS),
  AB_CONF_FIELD (ab_settings, "drain_margin", drain_margin_ms,
                 ab_conf_duration, .max = HOUR_MS),
  AB_CONF_FIELD (ab_settings, "probe_interval", probe_interval_ms,
                 ab_conf_duration, .min = 20, .max = MINUTE_MS),
  AB_CONF_FIELD (ab_settings, "probe_timeout", probe_timeout_ms,
                 ab_conf_duration, .min = 10, .max = MINUTE_MS),
  AB_CONF_FIELD (ab_settings, "suspicion", suspicion_ms, ab_conf_duration,
                 .min = 100, .max = HOUR_MS),
  AB_CONF_FIELD (ab_settings, "raft_heartbeat", raft_heartbeat_ms,
                 ab_conf_duration, .min = 10, .max = MINUTE_MS),
  AB_CONF_FIELD (ab_settings, "raft_election", raft_election_ms,
                 ab_conf_duration, .min = 50, .max = MINUTE_MS),
  AB_CONF_FIELD (ab_settings, "log_file", log_file, ab_conf_string),
  AB_CONF_FIELD (ab_settings, "log_level", log_level, read_level),
};

static const struct ab_settings defaults = {
  .http = { .body_bytes = MIB,
            .header_bytes = 32 * KIB,
            .header_time_ms = 10 * SECOND_MS,
            .idle_time_ms = MINUTE_MS,
            .connections = 20000,
            .requests_bytes = 256 * MIB,
            .unread_bytes = 256 * MIB,
            .side_connections = 2000 },
  .address_ttl_ms = 10 * SECOND_MS,
  .drain_margin_ms = 2 * SECOND_MS,
  .probe_interval_ms = SECOND_MS,
  .probe_timeout_ms = 300,
  .suspicion_ms = 3 * SECOND_MS,
  .raft_heartbeat_ms = 100,
  .raft_election_ms = 600,
  .log_level = AB_LOG_INFO,
};

static const struct ab_control_member *
find_member (const struct ab_settings *settings, const char *host)
{
  for (size_t i = 0; i < settings->control_count; i++)
    if (strcmp (settings->control[i].host, host) == 0)
      return &settings->control[i];
  return NULL;
}

static int
check_listen (struct ab_conf *conf, const struct ab_settings *settings)
{
  const struct ab_listen_settings *listen = &settings->listen;
  const yaml_node_t *root = ab_conf_root (conf);

  if (!listen->peers[0] || !listen->admin[0])
    return ab_conf_fail (conf, root,
                         "'listen' needs the addresses 'peers' and 'admin'");
  if (settings->role == AB_ROLE_ENTRY && !listen->callers[0])
    return ab_conf_fail (conf, root,
                         "'listen' of an entry host needs 'callers'");
  if (settings->role == AB_ROLE_CONTROL && listen->callers[0])
    return ab_conf_fail (conf, root,
                         "'listen' of a control host has no 'callers'");
  if (strcmp (listen->peers, listen->admin) == 0
      || strcmp (listen->peers, listen->callers) == 0
      || strcmp (listen->admin, listen->callers) == 0)
    return ab_conf_fail (conf, root, "'listen' gives the same address twice");
  return 0;
}

/* Checks the rules that involve several keys.  */
static int
check_settings (struct ab_conf *conf, const struct ab_settings *settings)
{
  const yaml_node_t *root = ab_conf_root (conf);
  const struct ab_http_settings *http = &settings->http;
  int rc = check_listen (conf, settings);

  if (rc < 0)
    return rc;
  if (settings->control_count == 0)
    return ab_conf_fail (conf, root, "'control' needs at least one host");
  if (settings->role == AB_ROLE_CONTROL && !settings->data_folder[0])
    return ab_conf_fail (conf, root, "a control host needs 'data_folder'");
  if (settings->role == AB_ROLE_CONTROL && !settings->keys.host_file[0])
    return ab_conf_fail (conf, root, "a control host needs 'keys: host'");
  if (settings->role == AB_ROLE_ENTRY
      && find_member (settings, settings->host))
    return ab_conf_fail (
        conf, root, "host '%s' is listed in 'control', but its role is entry",
        settings->host);
  if (!http->certificate_file[0] != !http->key_file[0])
    return ab_conf_fail (conf, root,
                         "'http' needs both 'certificate' and 'key', or "
                         "neither");
  return 0;
}

/* Copies the listen address to each advertised address that is not given.  */
static void
complete_advertise (struct ab_settings *settings)
{
  struct ab_listen_settings *a = &settings->advertise;

  if (!a->callers[0])
    memcpy (a->callers, settings->listen.callers, sizeof a->callers);
  if (!a->peers[0])
    memcpy (a->peers, settings->listen.peers, sizeof a->peers);
  if (!a->admin[0])
    memcpy (a->admin, settings->listen.admin, sizeof a->admin);
}

int
ab_settings_parse (const char *name, struct ab_chunk text,
                   struct ab_settings **settings,
                   char error[AB_CONF_ERROR_BYTES])
{
  struct ab_settings *result = malloc (sizeof *result);
  struct ab_conf conf;
  int rc;

  *settings = NULL;
  error[0] = '\0';
  if (!result)
    return AB_ERR_MEMORY;
  *result = defaults;
  rc = ab_conf_load (&conf, name, text);
  if (rc < 0)
    goto out;
  rc = ab_conf_read_map (&conf, ab_conf_root (&conf), settings_fields,
                         COUNT_OF (settings_fields), result);
  if (rc < 0)
    goto out;
  rc = check_settings (&conf, result);
  if (rc < 0)
    goto out;
  complete_advertise (result);
  *settings = result;
  result = NULL;
out:
  memcpy (error, conf.error, sizeof conf.error);
  ab_conf_free (&conf);
  ab_settings_free (result);
  return rc;
}

int
ab_settings_load (const char *path, struct ab_settings **settings,
                  char error[AB_CONF_ERROR_BYTES])
{
  char *data = NULL;
  size_t len = 0;
  int rc;

  *settings = NULL;
  rc = ab_read_file (path, AB_CONF_FILE_BYTES_MAX, &data, &len);
  if (rc < 0)
    {
      snprintf (error, AB_CONF_ERROR_BYTES, "%s: cannot read the file: %s",
                path, rc == AB_ERR_IO ? strerror (errno) : ab_strerror (rc));
      return rc;
    }
  rc = ab_settings_parse (path, ab_chunk (data, len), settings, error);
  free (data);
  return rc;
}

int
ab_settings_check_files (const struct ab_settings *settings,
                         char error[AB_CONF_ERROR_BYTES])
{
  struct ab_curve_pair fleet;
  struct ab_secret_key host;
  struct stat st;
  int rc = ab_curve_pair_load (settings->keys.fleet_file, &fleet, error);

  if (rc == 0 && settings->keys.host_file[0])
    rc = ab_secret_key_load (settings->keys.host_file, &host, error);
  if (rc < 0 || !settings->data_folder[0])
    return rc;
  if (stat (settings->data_folder, &st) < 0 || !S_ISDIR (st.st_mode)
      || access (settings->data_folder, W_OK) < 0)
    {
      snprintf (error, AB_CONF_ERROR_BYTES,
                "%s: expected a folder that can be written",
                settings->data_folder);
      return AB_ERR_IO;
    }
  return 0;
}

void
ab_settings_free (struct ab_settings *settings)
{
  if (!settings)
    return;
  free (settings->seeds);
  free (settings->control);
  free (settings->keys.accepted_fleet);
  free (settings->approvers);
  free (settings->operators);
  free (settings);
}

const char *
ab_role_name (enum ab_role role)
{
  return role == AB_ROLE_CONTROL ? "control" : "entry";
}
