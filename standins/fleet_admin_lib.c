/* Requests to the running hosts of a test fleet, by almondctl and HTTP.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "digest.h"
#include "fleet_internal.h"
#include "fleet_process.h"
#include "http_exchange.h"

#define HEADERS_MAX 8

static void
append_credential (struct ab_buf *text, const char *token)
{
  struct ab_digest digest = ab_digest_of (ab_chunk_str (token));
  char hex[2 * AB_DIGEST_BYTES + 1];

  ab_hex_encode (digest.bytes, sizeof digest.bytes, hex);
  ab_buf_printf (text, "\"%s\"", hex);
}

static bool
write_bundle (const char *path, int version, const char *text_extra)
{
  struct ab_buf text = AB_BUF_INIT;
  bool ok;

  ab_buf_printf (&text,
                 "version: %d\n"
                 "services:\n"
                 "  - name: shop\n"
                 "    slots: 2\n"
                 "    floor: 50%%\n"
                 "    detection_weight: 0.9\n"
                 "    slow_start: 500ms\n"
                 "    credentials: [",
                 version);
  append_credential (&text, TOKEN_TARGET);
  ab_buf_append_str (&text, "]\nteams:\n  - {name: buyers, credential: ");
  append_credential (&text, TOKEN_TEAM);
  ab_buf_append_str (
      &text,
      "}\nroutes:\n"
      "  - {prefix: /stock, service: shop, class: lookup, idempotent: true,"
      " timeout: 3s}\n"
      "  - {prefix: /orders, service: shop, class: order, priority: 2,"
      " idempotent: false, timeout: 3s}\n");
  if (text_extra)
    ab_buf_append_str (&text, text_extra);
  ok = !text.error && fleet_write_text (path, &text);
  ab_buf_free (&text);
  return ok;
}

int
fleet_apply_bundle (struct fleet *fleet, int host, int version,
                    const char *text_extra)
{
  char path[AB_PATH_BYTES];
  char signed_path[AB_PATH_BYTES];
  char key[AB_PATH_BYTES];
  char name[64];
  const char *sign[]
      = { "--output", signed_path, "bundle", "sign", path, key, NULL };
  const char *apply[] = { "bundle", "apply", signed_path, NULL };
  int status;

  /* The file names include the host, as a caller may apply two different
     bundles of one version at once.  */
  snprintf (name, sizeof name, "bundle-%d-%d.yaml", version, host);
  fleet_path (fleet, path, name);
  snprintf (name, sizeof name, "bundle-%d-%d.signed", version, host);
  fleet_path (fleet, signed_path, name);
  fleet_path (fleet, key, "approver.key");
  if (!write_bundle (path, version, text_extra))
    return -1;
  status = fleet_ctl (fleet, host, sign, NULL);
  return status ? status : fleet_ctl (fleet, host, apply, NULL);
}

/* Returns whether host HOST has VERSION or a later one in force and, if it is
   an entry host, reports that it is ready.  */
static bool
host_ready (struct fleet *fleet, int host, int version)
{
  const char *bundle_query[] = { "bundle", "status", NULL };
  const char *hosts_query[] = { "hosts", NULL };
  json_t *bundle = fleet_query (fleet, host, bundle_query);
  bool ok
      = json_integer_value (json_object_get (bundle, "version")) >= version;
  char name[AB_NAME_BYTES];

  json_decref (bundle);
  fleet_host_name (fleet, host, name);
  if (ok && !fleet_is_control (fleet, host))
    {
      json_t *hosts = fleet_query (fleet, host, hosts_query);
      size_t index;
      json_t *row;
      ok = false;
      json_array_foreach (hosts, index, row)
      {
        const char *row_name
            = json_string_value (json_object_get (row, "host"));
        if (row_name && strcmp (row_name, name) == 0)
          ok = json_is_true (json_object_get (row, "ready"));
      }
      json_decref (hosts);
    }
  return ok;
}

bool
fleet_wait_ready (struct fleet *fleet, int version, int timeout_ms)
{
  uint64_t end_ms = fleet_now_ms () + (uint64_t)timeout_ms;

  for (int i = 1; i <= fleet->count; i++)
    {
      if (fleet->hosts[i].pid <= 0)
        continue;
      while (!host_ready (fleet, i, version))
        {
          if (fleet_now_ms () > end_ms)
            {
              fprintf (stderr, "fleet: host %d is not ready\n", i);
              return false;
            }
          fleet_sleep_ms (POLL_MS);
        }
    }
  return true;
}

bool
fleet_wait_targets (struct fleet *fleet, int host, int count, int timeout_ms)
{
  const char *query[] = { "targets", NULL };
  uint64_t end_ms = fleet_now_ms () + (uint64_t)timeout_ms;

  for (;;)
    {
      json_t *rows = fleet_query (fleet, host, query);
      int active = 0;
      size_t index;
      json_t *row;
      json_array_foreach (rows, index, row)
      {
        const char *state = json_string_value (json_object_get (row, "state"));
        active += state && strcmp (state, "active") == 0;
      }
      json_decref (rows);
      if (active == count)
        return true;
      if (fleet_now_ms () > end_ms)
        {
          fprintf (stderr, "fleet: host %d sees %d targets, not %d\n", host,
                   active, count);
          return false;
        }
      fleet_sleep_ms (POLL_MS);
    }
}

int
fleet_ctl (struct fleet *fleet, int host, const char *const *arguments,
           char **output)
{
  char key[AB_PATH_BYTES];
  const char *list[ARGUMENTS_MAX]
      = { "--host", fleet->hosts[host].admin, "--key", key };
  char program[AB_PATH_BYTES];

  fleet_path (fleet, key, "operator.key");
  fleet_add_arguments (list, 4, arguments);
  snprintf (program, sizeof program, "%s/almondctl", fleet->options.build);
  return fleet_run_program (program, list, output);
}

json_t *
fleet_query (struct fleet *fleet, int host, const char *const *arguments)
{
  const char *list[ARGUMENTS_MAX] = { "--json" };
  char *output = NULL;
  json_t *value = NULL;

  fleet_add_arguments (list, 1, arguments);
  if (fleet_ctl (fleet, host, list, &output) == 0 && output)
    value = json_loads (output, JSON_DECODE_ANY, NULL);
  free (output);
  return value;
}

json_t *
fleet_output (struct fleet *fleet, const char *name)
{
  char file[AB_NAME_BYTES + 16];
  char path[AB_PATH_BYTES];
  char *data = NULL;
  size_t len = 0;
  json_t *value = NULL;

  snprintf (file, sizeof file, "%s.out", name);
  fleet_path (fleet, path, file);
  if (ab_read_file (path, AB_CONF_FILE_BYTES_MAX, &data, &len) == 0 && len > 1)
    {
      char *line;
      data[--len] = '\0';
      line = strrchr (data, '\n');
      value = json_loads (line ? line + 1 : data, 0, NULL);
    }
  free (data);
  return value;
}

/* Splits TEXT, which holds lines of "Name: value", in place into at most MAX
   headers.  Returns their number.  */
static size_t
split_headers (char *text, struct ab_http_header *headers, size_t max)
{
  size_t count = 0;
  char *saved = NULL;
  char *line = strtok_r (text, "\n", &saved);

  for (; line && count < max; line = strtok_r (NULL, "\n", &saved))
    {
      char *colon = strstr (line, ": ");
      if (!colon)
        continue;
      *colon = '\0';
      headers[count++] = (struct ab_http_header){ line, colon + 2 };
    }
  return count;
}

int
fleet_http (const char *address, const char *method, const char *path,
            const char *headers, const char *body, char **reply)
{
  struct ab_http_header split[HEADERS_MAX];
  struct ab_http_exchange exchange = { .address = address,
                                       .method = method,
                                       .path = path,
                                       .headers = split,
                                       .body = ab_chunk_str (body),
                                       .timeout_s = 10 };
  struct ab_buf text = AB_BUF_INIT;
  char copy[512];
  int status;

  snprintf (copy, sizeof copy, "%s", headers ? headers : "");
  exchange.header_count = split_headers (copy, split, HEADERS_MAX);
  status = ab_http_exchange (&exchange, &text);
  if (reply)
    *reply = text.data;
  else
    ab_buf_free (&text);
  return status;
}

int
fleet_http_as_team (const struct fleet *fleet, const char *address,
                    const char *method, const char *path, const char *header,
                    const char *body, char **reply)
{
  char headers[512];

  snprintf (headers, sizeof headers, "Authorization: Bearer %s\n%s",
            fleet_team_token (fleet), header ? header : "");
  return fleet_http (address, method, path, headers, body, reply);
}

bool
fleet_set_fault (struct fleet *fleet, int host, const char *query)
{
  char path[256];

  snprintf (path, sizeof path, "/pair/%d?%s", host - 1, query);
  return fleet_http (fleet->proxy_control, "PUT", path, NULL, NULL, NULL)
         == 200;
}
