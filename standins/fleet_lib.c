#include "fleet_lib.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "buf.h"
#include "clock.h"
#include "digest.h"
#include "fleet_process.h"
#include "http_exchange.h"
#include "keys.h"

#define POLL_MS 50
#define STOP_TIMEOUT_MS 5000
#define KEY_TEXT_BYTES 80
#define TOKEN_TARGET "token-of-the-targets"
#define TOKEN_TEAM "token-of-the-team"
#define PEER_PROXY_OFFSET 100
#define TARGET_OFFSET 50 /* Last byte of target 1 is TARGET_OFFSET + 1.  */
#define CONTROL_HOST_BYTE 250 /* The fault proxy's control listener.  */
#define ARGUMENTS_MAX 48
#define HEADERS_MAX 8
#define SEEDS 7

struct fleet_host
{
  pid_t pid;
  char callers[FLEET_ADDRESS_BYTES];
  char peers[FLEET_ADDRESS_BYTES];
  char admin[FLEET_ADDRESS_BYTES];
  char advertised[FLEET_ADDRESS_BYTES]; /* Peers, through the proxy if any. */
  char public_key[KEY_TEXT_BYTES];      /* Control hosts.  */
};

struct fleet_target
{
  pid_t pid;
  char address[FLEET_ADDRESS_BYTES];
  char log[AB_PATH_BYTES];
};

struct fleet
{
  struct fleet_options options;
  int count;
  struct fleet_host hosts[FLEET_HOSTS_MAX + 1];
  struct fleet_target targets[FLEET_TARGETS_MAX + 1];
  pid_t proxy;
  char proxy_control[FLEET_ADDRESS_BYTES];
  char approver[KEY_TEXT_BYTES];
  char operator[KEY_TEXT_BYTES];
  char folder[AB_PATH_BYTES];
};

void
fleet_sleep_ms (int ms)
{
  usleep ((useconds_t)ms * 1000);
}

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

/* 127.x.y.LAST:PORT in the block of this process.  */
static void
make_address (char *text, int last, int port)
{
  unsigned pid = (unsigned)getpid ();

  snprintf (text, FLEET_ADDRESS_BYTES, "127.%u.%u.%d:%d", 1 + (pid >> 8) % 200,
            pid & 0xff, last, port);
}

static void
folder_path (const struct fleet *fleet, char path[AB_PATH_BYTES],
             const char *name)
{
  snprintf (path, AB_PATH_BYTES, "%s/%s", fleet->folder, name);
}

static void
remove_tree (const char *path)
{
  DIR *folder = opendir (path);
  struct dirent *entry;

  while (folder && (entry = readdir (folder)) != NULL)
    {
      char child[AB_PATH_BYTES * 2];
      if (strcmp (entry->d_name, ".") == 0
          || strcmp (entry->d_name, "..") == 0)
        continue;
      snprintf (child, sizeof child, "%s/%s", path, entry->d_name);
      if (entry->d_type == DT_DIR)
        remove_tree (child);
      unlink (child);
    }
  if (folder)
    closedir (folder);
  rmdir (path);
}

static bool
make_key (const struct fleet *fleet, const char *kind, const char *name,
          char *public_key)
{
  struct ab_buf text = AB_BUF_INIT;
  char path[AB_PATH_BYTES];
  char error[AB_CONF_ERROR_BYTES] = "";
  int rc;

  folder_path (fleet, path, name);
  rc = ab_key_file_new (kind, path, &text, error);
  if (rc < 0)
    fprintf (stderr, "fleet: %s\n", error);
  else if (public_key)
    ab_chunk_copy (ab_buf_chunk (&text), public_key, KEY_TEXT_BYTES);
  ab_buf_free (&text);
  return rc == 0;
}

static void
host_name (const struct fleet *fleet, int host, char name[AB_NAME_BYTES])
{
  if (fleet_is_control (fleet, host))
    snprintf (name, AB_NAME_BYTES, "control-%d", host);
  else
    snprintf (name, AB_NAME_BYTES, "entry-%d", host - fleet->options.controls);
}

/* Region and failure domain of the item number N.  */
static void
place (const struct fleet *fleet, int n, char *region, char *domain)
{
  int regions = fleet->options.regions;
  int r = (n - 1) % regions;
  int d = (n - 1) / regions % 2;

  snprintf (region, AB_NAME_BYTES, "region-%d", r + 1);
  snprintf (domain, AB_NAME_BYTES, "region-%d%c", r + 1, d ? 'b' : 'a');
}

static void
append_lists (const struct fleet *fleet, struct ab_buf *text)
{
  ab_buf_append_str (text, "seeds:\n");
  /* Entry hosts too, so that a host can join while control is away.  */
  for (int i = 1; i <= fleet->count && i <= SEEDS; i++)
    ab_buf_printf (text, "  - %s\n", fleet->hosts[i].advertised);
  ab_buf_append_str (text, "control:\n");
  for (int i = 1; i <= fleet->options.controls; i++)
    ab_buf_printf (text, "  - {host: control-%d, address: \"%s\", key: %s}\n",
                   i, fleet->hosts[i].advertised, fleet->hosts[i].public_key);
  ab_buf_printf (text,
                 "approvers:\n  - {name: approver, key: %s}\n"
                 "operators:\n  - {name: operator, key: %s}\n",
                 fleet->approver, fleet->operator);
}

static bool
write_text (const char *path, const struct ab_buf *text)
{
  FILE *file = fopen (path, "we");
  bool good;

  if (!file)
    return false;
  good = fwrite (text->data, 1, text->len, file) == text->len;
  return fclose (file) == 0 && good;
}

static bool
write_settings (const struct fleet *fleet, int host)
{
  const struct fleet_host *h = &fleet->hosts[host];
  bool control = fleet_is_control (fleet, host);
  struct ab_buf text = AB_BUF_INIT;
  char name[AB_NAME_BYTES];
  char region[AB_NAME_BYTES];
  char domain[AB_NAME_BYTES];
  char path[AB_PATH_BYTES];
  char file[AB_NAME_BYTES + 16];
  bool good;

  host_name (fleet, host, name);
  place (fleet, control ? host : host - fleet->options.controls, region,
         domain);
  ab_buf_printf (&text, "host: %s\nrole: %s\nregion: %s\nfailure_domain: %s\n",
                 name, control ? "control" : "entry", region, domain);
  ab_buf_printf (&text, "listen: {peers: \"%s\", admin: \"%s\"", h->peers,
                 h->admin);
  if (!control)
    ab_buf_printf (&text, ", callers: \"%s\"", h->callers);
  ab_buf_printf (&text, "}\nadvertise: {peers: \"%s\"}\n", h->advertised);
  ab_buf_printf (&text, "data_folder: %s/%s\n", fleet->folder, name);
  ab_buf_printf (&text, "keys:\n  fleet: %s/fleet.key\n", fleet->folder);
  if (control)
    ab_buf_printf (&text, "  host: %s/%s.key\n", fleet->folder, name);
  append_lists (fleet, &text);
  ab_buf_printf (&text,
                 "address_ttl: %s\ndrain_margin: 500ms\nlog_file: %s/%s.log\n"
                 "log_level: %s\n",
                 fleet->options.address_ttl ? fleet->options.address_ttl
                                            : "2s",
                 fleet->folder, name,
                 fleet->options.log_level ? fleet->options.log_level : "info");
  folder_path (fleet, path, name);
  mkdir (path, 0700);
  snprintf (file, sizeof file, "%s.yaml", name);
  folder_path (fleet, path, file);
  good = !text.error && write_text (path, &text);
  ab_buf_free (&text);
  return good;
}

static bool
make_host_keys (struct fleet *fleet)
{
  if (!make_key (fleet, "fleet", "fleet.key", NULL)
      || !make_key (fleet, "approver", "approver.key", fleet->approver)
      || !make_key (fleet, "operator", "operator.key", fleet->operator))
    return false;
  for (int i = 1; i <= fleet->options.controls; i++)
    {
      char name[AB_NAME_BYTES];
      snprintf (name, sizeof name, "control-%d.key", i);
      if (!make_key (fleet, "host", name, fleet->hosts[i].public_key))
        return false;
    }
  return true;
}

static void
make_addresses (struct fleet *fleet)
{
  for (int i = 1; i <= fleet->count; i++)
    {
      struct fleet_host *h = &fleet->hosts[i];
      make_address (h->callers, i, 8080);
      make_address (h->peers, i, 8081);
      make_address (h->admin, i, 8082);
      if (fleet->options.proxies)
        make_address (h->advertised, i + PEER_PROXY_OFFSET, 8081);
      else
        memcpy (h->advertised, h->peers, sizeof h->advertised);
    }
  make_address (fleet->proxy_control, CONTROL_HOST_BYTE, 8083);
}

static bool
start_proxy (struct fleet *fleet)
{
  const char *arguments[ARGUMENTS_MAX * 2 + 4] = { "--control" };
  char pairs[FLEET_HOSTS_MAX][2 * FLEET_ADDRESS_BYTES];
  int used = 1;

  arguments[used++] = fleet->proxy_control;
  for (int i = 1; i <= fleet->count; i++)
    {
      snprintf (pairs[i - 1], sizeof pairs[0], "%s=%s",
                fleet->hosts[i].advertised, fleet->hosts[i].peers);
      arguments[used++] = "--pair";
      arguments[used++] = pairs[i - 1];
    }
  fleet->proxy
      = fleet_spawn (fleet, "faultproxy", "standins/faultproxy", arguments);
  /* The listeners must stand before the hosts connect.  */
  for (int i = 0; i < 100 && fleet->proxy > 0; i++)
    {
      if (fleet_http (fleet->proxy_control, "GET", "/", NULL, NULL, NULL) > 0)
        return true;
      fleet_sleep_ms (20);
    }
  return false;
}

struct fleet *
fleet_new (const struct fleet_options *options)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);

  if (!fleet || ab_crypto_init () < 0)
    goto fail;
  fleet->options = *options;
  fleet->count = options->controls + options->entries;
  if (fleet->count > FLEET_HOSTS_MAX || options->regions < 1)
    goto fail;
  snprintf (fleet->folder, sizeof fleet->folder, "%s", options->folder);
  remove_tree (fleet->folder);
  if (mkdir (fleet->folder, 0700) < 0)
    {
      fprintf (stderr, "fleet: %s: %s\n", fleet->folder, strerror (errno));
      goto fail;
    }
  make_addresses (fleet);
  if (!make_host_keys (fleet))
    goto fail;
  for (int i = 1; i <= fleet->count; i++)
    if (!write_settings (fleet, i))
      goto fail;
  if (options->proxies && !start_proxy (fleet))
    goto fail;
  return fleet;
fail:
  fleet_free (fleet);
  return NULL;
}

static void
end_process (pid_t *pid, int signal)
{
  if (*pid <= 0)
    return;
  kill (*pid, SIGCONT);
  kill (*pid, signal);
  fleet_wait_process (*pid, STOP_TIMEOUT_MS);
  *pid = 0;
}

void
fleet_free (struct fleet *fleet)
{
  if (!fleet)
    return;
  for (int i = 1; i <= FLEET_TARGETS_MAX; i++)
    end_process (&fleet->targets[i].pid, SIGKILL);
  for (int i = 1; i <= fleet->count; i++)
    end_process (&fleet->hosts[i].pid, SIGKILL);
  end_process (&fleet->proxy, SIGKILL);
  free (fleet);
}

bool
fleet_start_host (struct fleet *fleet, int host)
{
  char name[AB_NAME_BYTES];
  char settings[AB_PATH_BYTES];
  char file[AB_NAME_BYTES + 16];
  const char *arguments[] = { "--settings", settings, NULL };

  host_name (fleet, host, name);
  snprintf (file, sizeof file, "%s.yaml", name);
  folder_path (fleet, settings, file);
  fleet->hosts[host].pid
      = fleet_spawn (fleet, name, "almondbridged", arguments);
  return fleet->hosts[host].pid > 0;
}

bool
fleet_start_hosts (struct fleet *fleet)
{
  for (int i = 1; i <= fleet->count; i++)
    if (!fleet_start_host (fleet, i))
      return false;
  return true;
}

int
fleet_host_count (const struct fleet *fleet)
{
  return fleet->count;
}

bool
fleet_is_control (const struct fleet *fleet, int host)
{
  return host <= fleet->options.controls;
}

pid_t
fleet_host_pid (const struct fleet *fleet, int host)
{
  return fleet->hosts[host].pid;
}

const char *
fleet_folder (const struct fleet *fleet)
{
  return fleet->folder;
}

void
fleet_signal_host (struct fleet *fleet, int host, int signal)
{
  if (fleet->hosts[host].pid > 0)
    kill (fleet->hosts[host].pid, signal);
}

int
fleet_wait_host (struct fleet *fleet, int host, int timeout_ms)
{
  int status = fleet_wait_process (fleet->hosts[host].pid, timeout_ms);

  fleet->hosts[host].pid = 0;
  return status;
}

void
fleet_kill_host (struct fleet *fleet, int host)
{
  end_process (&fleet->hosts[host].pid, SIGKILL);
}

void
fleet_empty_disk (struct fleet *fleet, int host)
{
  char name[AB_NAME_BYTES];
  char path[AB_PATH_BYTES];

  host_name (fleet, host, name);
  folder_path (fleet, path, name);
  remove_tree (path);
  mkdir (path, 0700);
}

const char *
fleet_callers (const struct fleet *fleet, int host)
{
  return fleet->hosts[host].callers;
}

const char *
fleet_admin (const struct fleet *fleet, int host)
{
  return fleet->hosts[host].admin;
}

const char *
fleet_peers (const struct fleet *fleet, int host)
{
  return fleet->hosts[host].advertised;
}

const char *
fleet_target_token (const struct fleet *fleet)
{
  (void)fleet;
  return TOKEN_TARGET;
}

const char *
fleet_team_token (const struct fleet *fleet)
{
  (void)fleet;
  return TOKEN_TEAM;
}

static void
append_credential (struct ab_buf *text, const char *token)
{
  struct ab_digest digest = ab_digest_of (ab_chunk_str (token));
  char hex[2 * AB_DIGEST_BYTES + 1];

  ab_hex_encode (digest.bytes, sizeof digest.bytes, hex);
  ab_buf_printf (text, "\"%s\"", hex);
}

static bool
write_bundle (const struct fleet *fleet, const char *path, int version,
              const char *text_extra)
{
  struct ab_buf text = AB_BUF_INIT;
  bool good;

  (void)fleet;
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
  good = !text.error && write_text (path, &text);
  ab_buf_free (&text);
  return good;
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

  /* The caller may apply two contents of one version at once.  */
  snprintf (name, sizeof name, "bundle-%d-%d.yaml", version, host);
  folder_path (fleet, path, name);
  snprintf (name, sizeof name, "bundle-%d-%d.signed", version, host);
  folder_path (fleet, signed_path, name);
  folder_path (fleet, key, "approver.key");
  if (!write_bundle (fleet, path, version, text_extra))
    return -1;
  status = fleet_ctl (fleet, host, sign, NULL);
  return status ? status : fleet_ctl (fleet, host, apply, NULL);
}

/* Whether host N has VERSION in force, and is ready by its own view.  */
static bool
host_ready (struct fleet *fleet, int host, int version)
{
  const char *bundle_query[] = { "bundle", "status", NULL };
  const char *hosts_query[] = { "hosts", NULL };
  json_t *bundle = fleet_query (fleet, host, bundle_query);
  bool good
      = json_integer_value (json_object_get (bundle, "version")) >= version;
  char name[AB_NAME_BYTES];

  json_decref (bundle);
  host_name (fleet, host, name);
  if (good && !fleet_is_control (fleet, host))
    {
      json_t *hosts = fleet_query (fleet, host, hosts_query);
      size_t index;
      json_t *row;
      good = false;
      json_array_foreach (hosts, index, row)
      {
        const char *row_name
            = json_string_value (json_object_get (row, "host"));
        if (row_name && strcmp (row_name, name) == 0)
          good = json_is_true (json_object_get (row, "ready"));
      }
      json_decref (hosts);
    }
  return good;
}

bool
fleet_wait_ready (struct fleet *fleet, int version, int timeout_ms)
{
  uint64_t end_ms = now_ms () + (uint64_t)timeout_ms;

  for (int i = 1; i <= fleet->count; i++)
    {
      if (fleet->hosts[i].pid <= 0)
        continue;
      while (!host_ready (fleet, i, version))
        {
          if (now_ms () > end_ms)
            {
              fprintf (stderr, "fleet: host %d is not ready\n", i);
              return false;
            }
          fleet_sleep_ms (POLL_MS);
        }
    }
  return true;
}

static int
add_arguments (const char **list, int used, const char *const *more)
{
  for (; more && *more && used < ARGUMENTS_MAX - 1; more++)
    list[used++] = *more;
  list[used] = NULL;
  return used;
}

bool
fleet_start_target (struct fleet *fleet, int target,
                    const char *const *arguments)
{
  struct fleet_target *t = &fleet->targets[target];
  char region[AB_NAME_BYTES];
  char domain[AB_NAME_BYTES];
  char name[32];
  const char *list[ARGUMENTS_MAX]
      = { "--listen",         t->address, "--service", "shop",
          "--region",         region,     "--token",   TOKEN_TARGET,
          "--failure-domain", domain,     "--log",     t->log };
  int used = 12;

  place (fleet, target, region, domain);
  make_address (t->address, TARGET_OFFSET + target, 8090);
  snprintf (name, sizeof name, "target-%d.runs", target);
  folder_path (fleet, t->log, name);
  /* Each target begins at another host, so that registrars differ.  */
  for (int i = 0; i < fleet->options.entries && i < 4; i++)
    {
      int entry = (target - 1 + i) % fleet->options.entries + 1;
      list[used++] = "--entry";
      list[used++] = fleet->hosts[fleet->options.controls + entry].callers;
    }
  add_arguments (list, used, arguments);
  snprintf (name, sizeof name, "target-%d", target);
  t->pid = fleet_spawn (fleet, name, "standins/target", list);
  return t->pid > 0;
}

const char *
fleet_target (const struct fleet *fleet, int target)
{
  return fleet->targets[target].address;
}

const char *
fleet_target_log (const struct fleet *fleet, int target)
{
  return fleet->targets[target].log;
}

void
fleet_signal_target (struct fleet *fleet, int target, int signal)
{
  if (fleet->targets[target].pid > 0)
    kill (fleet->targets[target].pid, signal);
}

int
fleet_wait_target (struct fleet *fleet, int target, int timeout_ms)
{
  int status = fleet_wait_process (fleet->targets[target].pid, timeout_ms);

  fleet->targets[target].pid = 0;
  return status;
}

bool
fleet_wait_targets (struct fleet *fleet, int host, int count, int timeout_ms)
{
  const char *query[] = { "targets", NULL };
  uint64_t end_ms = now_ms () + (uint64_t)timeout_ms;

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
      if (now_ms () > end_ms)
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

  folder_path (fleet, key, "operator.key");
  add_arguments (list, 4, arguments);
  snprintf (program, sizeof program, "%s/almondctl", fleet->options.build);
  return fleet_run_program (program, list, output);
}

json_t *
fleet_query (struct fleet *fleet, int host, const char *const *arguments)
{
  const char *list[ARGUMENTS_MAX] = { "--json" };
  char *output = NULL;
  json_t *value = NULL;

  add_arguments (list, 1, arguments);
  if (fleet_ctl (fleet, host, list, &output) == 0 && output)
    value = json_loads (output, JSON_DECODE_ANY, NULL);
  free (output);
  return value;
}

pid_t
fleet_spawn (struct fleet *fleet, const char *name, const char *program,
             const char *const *arguments)
{
  char path[AB_PATH_BYTES];
  char file[AB_NAME_BYTES + 16];
  char out[AB_PATH_BYTES];

  snprintf (path, sizeof path, "%s/%s", fleet->options.build, program);
  snprintf (file, sizeof file, "%s.out", name);
  folder_path (fleet, out, file);
  return fleet_spawn_program (path, arguments, out);
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
  folder_path (fleet, path, file);
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

/* Splits TEXT, lines of "Name: value", in place; at most MAX headers.  */
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
fleet_http_as (const struct fleet *fleet, const char *address,
               const char *method, const char *path, const char *header,
               const char *body, char **reply)
{
  char headers[512];

  snprintf (headers, sizeof headers, "Authorization: Bearer %s\n%s",
            fleet_team_token (fleet), header ? header : "");
  return fleet_http (address, method, path, headers, body, reply);
}

bool
fleet_fault (struct fleet *fleet, int host, const char *query)
{
  char path[256];

  snprintf (path, sizeof path, "/pair/%d?%s", host - 1, query);
  return fleet_http (fleet->proxy_control, "PUT", path, NULL, NULL, NULL)
         == 200;
}
