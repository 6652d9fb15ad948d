#include "fleet_internal.h"

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
#include "keys.h"

#define STOP_TIMEOUT_MS 5000
#define PEER_PROXY_OFFSET 100
#define TARGET_OFFSET 50      /* Target 1 listens on .(TARGET_OFFSET + 1).  */
#define CONTROL_HOST_BYTE 250 /* For the fault proxy's control listener.  */
#define SEEDS 7

void
fleet_sleep_ms (int ms)
{
  usleep ((useconds_t)ms * 1000);
}

uint64_t
fleet_now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

/* Writes 127.x.y.LAST:PORT, in the block of this process, to TEXT.  */
static void
make_address (char *text, int last, int port)
{
  unsigned pid = (unsigned)getpid ();

  snprintf (text, FLEET_ADDRESS_BYTES, "127.%u.%u.%d:%d", 1 + (pid >> 8) % 200,
            pid & 0xff, last, port);
}

void
fleet_path (const struct fleet *fleet, char path[AB_PATH_BYTES],
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

  fleet_path (fleet, path, name);
  rc = ab_key_file_create (kind, path, &text, error);
  if (rc < 0)
    fprintf (stderr, "fleet: %s\n", error);
  else if (public_key)
    ab_chunk_copy_bounded (ab_buf_chunk (&text), public_key, KEY_TEXT_BYTES);
  ab_buf_free (&text);
  return rc == 0;
}

void
fleet_host_name (const struct fleet *fleet, int host, char name[AB_NAME_BYTES])
{
  if (fleet_is_control (fleet, host))
    snprintf (name, AB_NAME_BYTES, "control-%d", host);
  else
    snprintf (name, AB_NAME_BYTES, "entry-%d", host - fleet->options.controls);
}

/* Determines the region and failure domain of the N-th host or target of a
   kind.  */
static void
find_location (const struct fleet *fleet, int n, char *region, char *domain)
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
  /* Entry hosts are seeds too, so that a host can join while all control hosts
     are down.  */
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

bool
fleet_write_text (const char *path, const struct ab_buf *text)
{
  FILE *file = fopen (path, "we");
  bool ok;

  if (!file)
    return false;
  ok = fwrite (text->data, 1, text->len, file) == text->len;
  return fclose (file) == 0 && ok;
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
  bool ok;

  fleet_host_name (fleet, host, name);
  find_location (fleet, control ? host : host - fleet->options.controls,
                 region, domain);
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
  fleet_path (fleet, path, name);
  mkdir (path, 0700);
  snprintf (file, sizeof file, "%s.yaml", name);
  fleet_path (fleet, path, file);
  ok = !text.error && fleet_write_text (path, &text);
  ab_buf_free (&text);
  return ok;
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
  /* The proxy must listen before the hosts connect.  */
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

  fleet_host_name (fleet, host, name);
  snprintf (file, sizeof file, "%s.yaml", name);
  fleet_path (fleet, settings, file);
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

  fleet_host_name (fleet, host, name);
  fleet_path (fleet, path, name);
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

int
fleet_add_arguments (const char **list, int used, const char *const *more)
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

  find_location (fleet, target, region, domain);
  make_address (t->address, TARGET_OFFSET + target, 8090);
  snprintf (name, sizeof name, "target-%d.runs", target);
  fleet_path (fleet, t->log, name);
  /* Each target tries a different entry host first, so that the targets have
     different registrars.  */
  for (int i = 0; i < fleet->options.entries && i < 4; i++)
    {
      int entry = (target - 1 + i) % fleet->options.entries + 1;
      list[used++] = "--entry";
      list[used++] = fleet->hosts[fleet->options.controls + entry].callers;
    }
  fleet_add_arguments (list, used, arguments);
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

pid_t
fleet_spawn (struct fleet *fleet, const char *name, const char *program,
             const char *const *arguments)
{
  char path[AB_PATH_BYTES];
  char file[AB_NAME_BYTES + 16];
  char out[AB_PATH_BYTES];

  snprintf (path, sizeof path, "%s/%s", fleet->options.build, program);
  snprintf (file, sizeof file, "%s.out", name);
  fleet_path (fleet, out, file);
  return fleet_spawn_program (path, arguments, out);
}
