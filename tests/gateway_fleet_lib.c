#include "gateway_fleet_lib.h"

#include <check.h>
#include <dirent.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "buf.h"
#include "fleet_lib.h"
#include "fleet_process.h"

#define CONTROL_PEER_PORT 7720
#define GATEWAY_PEER_PORT 7735
#define ADMIN_PORT 8166
#define CALLERS_PORT 8161
#define SEEDS 3
#define GATEWAY_OFFSET 20
#define PROXY_HOST 240
#define PROXY_PORT 8083
#define PEER_PROXY_PORT 8084
#define PROXY_PAIRS_MAX 64
/* Ports on which hosts behind the proxy listen.  */
#define CONTROL_BIND_PORT 7721
#define GATEWAY_BIND_PORT 7736
#define POLL_MS 50
#define START_MS 30000
#define STOP_MS 4000
#define IDLE_MS 15000
#define BODY_BYTES 1048576

/* Addresses and files.  */

void
gf_print_address (const struct gf_fleet *fleet, int host, int port, char *out,
                  size_t size)
{
  snprintf (out, size, "127.%d.%d.%d:%d", fleet->block[0], fleet->block[1],
            host, port);
}

const char *
gf_admin (struct gf_fleet *fleet, int control)
{
  gf_print_address (fleet, control, ADMIN_PORT, fleet->address,
                    sizeof fleet->address);
  return fleet->address;
}

void
gf_print_callers (const struct gf_fleet *fleet, int gateway, char *out,
                  size_t size)
{
  gf_print_address (fleet, gateway + GATEWAY_OFFSET, CALLERS_PORT, out, size);
}

void
gf_print_gateway (const struct gf_fleet *fleet, int gateway, int port,
                  char *out, size_t size)
{
  gf_print_address (fleet, gateway + GATEWAY_OFFSET, port, out, size);
}

const char *
gf_callers (struct gf_fleet *fleet, int gateway)
{
  gf_print_callers (fleet, gateway, fleet->address, sizeof fleet->address);
  return fleet->address;
}

static void
write_file (const char *path, const struct ab_buf *text)
{
  FILE *file = fopen (path, "w");

  ck_assert_ptr_nonnull (file);
  ck_assert_uint_eq (fwrite (text->data, 1, text->len, file), text->len);
  ck_assert_int_eq (fclose (file), 0);
}

void
gf_print_domain (const struct gf_fleet *fleet, int number, char *out,
                 size_t size)
{
  if (fleet->regions == 3)
    snprintf (out, size, "d%d", 1 + (number - 1) % GF_DOMAINS);
  else
    snprintf (out, size, "d%s",
              fleet->regions == 2 && number % 2 == 0 ? "2" : "");
}

const char *
gf_service (const struct gf_fleet *fleet, int number)
{
  return fleet->services == 2 && (number - 1) / GF_DOMAINS % 3 == 2 ? "pay"
                                                                    : "shop";
}

/* Prints the region of process NUMBER and those of all failure domains.  */
static void
print_regions (const struct gf_fleet *fleet, struct ab_buf *text, int number)
{
  char domain[16];

  gf_print_domain (fleet, number, domain, sizeof domain);
  if (fleet->regions != 3)
    {
      ab_buf_printf (text,
                     "region: r%s\nfailure_domain: %s\n"
                     "domains: {d: r, d2: r2}\n",
                     domain + 1, domain);
      return;
    }
  ab_buf_printf (text, "region: r%d\nfailure_domain: %s\ndomains: {",
                 (number - 1) % GF_DOMAINS % 3, domain);
  for (int i = 0; i < GF_DOMAINS; i++)
    ab_buf_printf (text, "%sd%d: r%d", i > 0 ? ", " : "", i + 1, i % 3);
  ab_buf_append_str (text, "}\n");
}

static void
print_common (const struct gf_fleet *fleet, struct ab_buf *text,
              const char *role, int number)
{
  int first_seed = fleet->first_seed ? fleet->first_seed : 1;

  ab_buf_printf (text, "host: %s%d\nrole: %s\n", role, number, role);
  print_regions (fleet, text, number);
  ab_buf_printf (text, "control_port: %d\nseeds: [", CONTROL_PEER_PORT);
  for (int i = 0; i < SEEDS; i++)
    ab_buf_printf (text, "%s127.%d.%d.%d:%d", i > 0 ? ", " : "",
                   fleet->block[0], fleet->block[1], first_seed + i,
                   ADMIN_PORT);
  ab_buf_append_str (text, "]\n");
}

static void
spawn (struct gf_fleet *fleet, const char *role, int number,
       struct ab_buf *text, pid_t *pid)
{
  char settings[256];
  char log[256];
  char program[256];
  const char *const arguments[] = { "--fleet", settings, NULL };
  const char *build = getenv ("AB_BUILD");

  snprintf (settings, sizeof settings, "%s/%s%d.yaml", fleet->folder, role,
            number);
  snprintf (log, sizeof log, "%s/%s%d.log", fleet->folder, role, number);
  snprintf (program, sizeof program, "%s/almondbridged",
            build ? build : "build");
  write_file (settings, text);
  ab_buf_free (text);
  *pid = fleet_spawn_program (program, arguments, log);
  ck_assert_int_gt (*pid, 0);
}

/* Prints the setting memory_mb, and the metrics listener of HOST to OUT.  */
static void
print_memory (const struct gf_fleet *fleet, int host, struct ab_buf *text,
              char *out, size_t size)
{
  char address[64];

  out[0] = '\0';
  if (!fleet->memory_mb)
    return;
  ab_buf_printf (text, "memory_mb: %d\n", fleet->memory_mb);
  gf_print_address (fleet, host, GF_METRICS_PORT, address, sizeof address);
  snprintf (out, size, ", metrics: %s", address);
}

/* Writes to OUT the setting by which HOST, which is behind the proxy, listens
   for peers on PORT.  */
static void
print_bind (const struct gf_fleet *fleet, int host, int port, char *out,
            size_t size)
{
  char address[64];

  gf_print_address (fleet, host, port, address, sizeof address);
  snprintf (out, size, ", peers_bind: %s", address);
}

void
gf_start_control (struct gf_fleet *fleet, int number, bool first_start)
{
  struct ab_buf text = AB_BUF_INIT;
  char admin[64];
  char peers[64];
  char bind[96] = "";
  char metrics[96];
  char folder[256];

  snprintf (folder, sizeof folder, "%s/data%d", fleet->folder, number);
  mkdir (folder, 0700);
  gf_print_address (fleet, number, ADMIN_PORT, admin, sizeof admin);
  gf_print_address (fleet, number, CONTROL_PEER_PORT, peers, sizeof peers);
  if (fleet->peer_proxy_pid)
    print_bind (fleet, number, CONTROL_BIND_PORT, bind, sizeof bind);
  print_common (fleet, &text, "control", number);
  print_memory (fleet, number, &text, metrics, sizeof metrics);
  ab_buf_printf (&text,
                 "listen: {admin: %s, peers: %s%s%s}\ndata_folder: %s\n"
                 "first_start: %s\nteam_limit_slack: %d\n",
                 admin, peers, bind, metrics, folder,
                 first_start ? "true" : "false", GF_TEAM_SLACK);
  if (fleet->tolerated)
    ab_buf_printf (&text, "tolerated_losses: %d\n", fleet->tolerated);
  spawn (fleet, "control", number, &text, &fleet->control_pids[number]);
}

void
gf_start_gateway (struct gf_fleet *fleet, int number)
{
  struct ab_buf text = AB_BUF_INIT;
  static const int ports[]
      = { CALLERS_PORT, GF_READY_PORT, GF_ADDRESSES_PORT, GATEWAY_PEER_PORT };
  char addresses[4][64];
  char bind[96] = "";
  char metrics[96];

  for (int i = 0; i < 4; i++)
    gf_print_address (fleet, number + GATEWAY_OFFSET, ports[i], addresses[i],
                      sizeof addresses[i]);
  if (number <= fleet->proxied_gateways)
    print_bind (fleet, number + GATEWAY_OFFSET, GATEWAY_BIND_PORT, bind,
                sizeof bind);
  print_common (fleet, &text, "gateway", number);
  print_memory (fleet, number + GATEWAY_OFFSET, &text, metrics,
                sizeof metrics);
  ab_buf_printf (
      &text,
      "listen: {callers: %s, ready: %s, addresses: %s, peers: %s%s%s}\n"
      "stop_time: %dms\n",
      addresses[0], addresses[1], addresses[2], addresses[3], bind, metrics,
      fleet->stop_ms ? fleet->stop_ms : STOP_MS);
  if (fleet->key_lifetime_ms)
    ab_buf_printf (&text, "key_lifetime: %dms\n", fleet->key_lifetime_ms);
  if (fleet->retry_extra)
    ab_buf_printf (&text, "repeat_extra: %d\n", fleet->retry_extra);
  if (fleet->retry_fraction > 0)
    ab_buf_printf (&text, "repeat_fraction: %g\n", fleet->retry_fraction);
  spawn (fleet, "gateway", number, &text, &fleet->gateway_pids[number]);
}

/* Proxies.  */

/* The "--pair" arguments of a proxy.  */
struct proxy_pairs
{
  char texts[PROXY_PAIRS_MAX][160];
  int count;
};

/* Adds a pair: what is sent to HOST's PORT goes to REAL_HOST's REAL_PORT.  */
static void
add_pair (const struct gf_fleet *fleet, struct proxy_pairs *pairs, int host,
          int port, int real_host, int real_port)
{
  char announced[64];
  char real[64];

  ck_assert_int_lt (pairs->count, PROXY_PAIRS_MAX);
  gf_print_address (fleet, host, port, announced, sizeof announced);
  gf_print_address (fleet, real_host, real_port, real, sizeof real);
  snprintf (pairs->texts[pairs->count++], sizeof pairs->texts[0], "%s=%s",
            announced, real);
}

/* Starts a proxy that is controlled on CONTROL_PORT and logs to the file NAME,
   and returns its process id.  */
static pid_t
start_proxy (const struct gf_fleet *fleet, int control_port, const char *name,
             const struct proxy_pairs *pairs)
{
  char control[64];
  char program[256];
  char log[256];
  const char *arguments[2 * PROXY_PAIRS_MAX + 3] = { "--control", control };
  const char *build = getenv ("AB_BUILD");
  int used = 2;
  pid_t pid;

  gf_print_address (fleet, PROXY_HOST, control_port, control, sizeof control);
  for (int i = 0; i < pairs->count; i++)
    {
      arguments[used++] = "--pair";
      arguments[used++] = pairs->texts[i];
    }
  snprintf (program, sizeof program, "%s/standins/faultproxy",
            build ? build : "build");
  snprintf (log, sizeof log, "%s/%s", fleet->folder, name);
  pid = fleet_spawn_program (program, arguments, log);
  ck_assert_int_gt (pid, 0);
  for (int waited = 0;
       fleet_http (control, "GET", "/pair/all", NULL, NULL, NULL) != 200;
       waited += POLL_MS)
    {
      ck_assert_int_lt (waited, START_MS);
      fleet_sleep_ms (POLL_MS);
    }
  return pid;
}

/* Sets the fault of PAIR, counted from 0, of the proxy that is controlled on
   CONTROL_PORT.  */
static void
set_proxy_fault (const struct gf_fleet *fleet, int control_port, int pair,
                 const char *query)
{
  char control[64];
  char path[128];

  gf_print_address (fleet, PROXY_HOST, control_port, control, sizeof control);
  snprintf (path, sizeof path, "/pair/%d?%s", pair, query);
  ck_assert_int_eq (fleet_http (control, "PUT", path, NULL, "", NULL), 200);
}

/* Starts the proxy between the hosts.  */
static void
start_peer_proxy (struct gf_fleet *fleet, int controls, int gateways)
{
  struct proxy_pairs pairs = { .count = 0 };

  fleet->proxied_gateways = gateways;
  for (int i = 1; i <= controls; i++)
    add_pair (fleet, &pairs, i, CONTROL_PEER_PORT, i, CONTROL_BIND_PORT);
  for (int i = 1; i <= gateways; i++)
    add_pair (fleet, &pairs, i + GATEWAY_OFFSET, GATEWAY_PEER_PORT,
              i + GATEWAY_OFFSET, GATEWAY_BIND_PORT);
  fleet->peer_proxy_pid
      = start_proxy (fleet, PEER_PROXY_PORT, "peer-proxy.log", &pairs);
}

/* Bytes that were dropped are missing on the connections, which are reset
   before new ones are let through.  */
static void
cut_peer (const struct gf_fleet *fleet, int pair, bool cut)
{
  if (cut)
    set_proxy_fault (fleet, PEER_PROXY_PORT, pair, "up=drop&down=drop");
  else
    {
      set_proxy_fault (fleet, PEER_PROXY_PORT, pair, "mode=reset");
      set_proxy_fault (fleet, PEER_PROXY_PORT, pair,
                       "mode=pass&up=pass&down=pass");
    }
}

void
gf_cut_control (const struct gf_fleet *fleet, int number, bool cut)
{
  cut_peer (fleet, number - 1, cut);
}

void
gf_cut_gateway (const struct gf_fleet *fleet, int number, bool cut)
{
  ck_assert_int_le (number, fleet->proxied_gateways);
  cut_peer (fleet, fleet->controls + number - 1, cut);
}

void
gf_prepare (struct gf_fleet *fleet, const char *name)
{
  int pid = getpid ();

  memset (fleet, 0, sizeof *fleet);
  fleet->block[0] = 1 + pid / 250 % 250;
  fleet->block[1] = pid % 250;
  snprintf (fleet->folder, sizeof fleet->folder, "/tmp/%s-%d", name, pid);
  ck_assert_int_eq (mkdir (fleet->folder, 0700), 0);
}

static void
start_hosts (struct gf_fleet *fleet, int controls, int gateways)
{
  fleet->controls = controls;
  fleet->gateways = gateways;
  for (int i = 1; i <= controls; i++)
    gf_start_control (fleet, i, true);
  for (int i = 1; i <= gateways; i++)
    gf_start_gateway (fleet, i);
  for (int waited = 0; gf_put_bundle (fleet, 1, 2, 0, "") != 200;
       waited += POLL_MS)
    {
      ck_assert_int_lt (waited, START_MS);
      fleet_sleep_ms (POLL_MS);
    }
}

void
gf_start (struct gf_fleet *fleet, const char *name, int controls, int gateways)
{
  gf_prepare (fleet, name);
  start_hosts (fleet, controls, gateways);
}

void
gf_start_sized (struct gf_fleet *fleet, const char *name, int controls,
                int gateways, int memory_mb)
{
  gf_prepare (fleet, name);
  fleet->memory_mb = memory_mb;
  start_hosts (fleet, controls, gateways);
}

void
gf_start_wide (struct gf_fleet *fleet, const char *name, int controls,
               int regions, int services, int proxied_gateways)
{
  gf_prepare (fleet, name);
  fleet->regions = regions;
  fleet->services = services;
  if (proxied_gateways > 0)
    start_peer_proxy (fleet, controls, proxied_gateways);
  start_hosts (fleet, controls, 0);
}

void
gf_kill (pid_t *pid)
{
  if (*pid <= 0)
    return;
  kill (*pid, SIGKILL);
  waitpid (*pid, NULL, 0);
  *pid = 0;
}

static void
remove_folder (const char *path)
{
  const char *const arguments[] = { "-rf", path, NULL };

  fleet_run_program ("/bin/rm", arguments, NULL);
}

void
gf_empty_disk (struct gf_fleet *fleet, int number)
{
  char folder[256];

  snprintf (folder, sizeof folder, "%s/data%d", fleet->folder, number);
  remove_folder (folder);
}

void
gf_stop (struct gf_fleet *fleet)
{
  for (int i = 0; i <= GF_TARGETS_MAX; i++)
    gf_kill (&fleet->target_pids[i]);
  for (int i = 0; i <= GF_GATEWAYS_MAX; i++)
    gf_kill (&fleet->gateway_pids[i]);
  for (int i = 0; i <= GF_CONTROLS_MAX; i++)
    gf_kill (&fleet->control_pids[i]);
  gf_kill (&fleet->proxy_pid);
  gf_kill (&fleet->peer_proxy_pid);
  if (!getenv ("AB_KEEP_LOGS"))
    remove_folder (fleet->folder);
}

/* Memory.  */

/* Memory of the smallest entry hosts in use, in KB.  */
#define HOST_MEMORY_KB (160 * 1024)
/* A program built with AddressSanitizer needs more memory, for shadow memory
   and the quarantine of freed blocks.  */
#define SANITIZED_FACTOR 2
#define SANITIZED_OPTIONS "quarantine_size_mb=4"

long
gf_memory_bound_kb (void)
{
  if (!getenv ("AB_SANITIZED"))
    return HOST_MEMORY_KB;
  setenv ("ASAN_OPTIONS", SANITIZED_OPTIONS, 1);
  return HOST_MEMORY_KB * SANITIZED_FACTOR;
}

long
gf_peak_memory_kb (pid_t pid)
{
  char path[64];
  char line[256];
  long peak = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  file = fopen (path, "r");
  ck_assert_ptr_nonnull (file);
  while (fgets (line, sizeof line, file))
    if (sscanf (line, "VmHWM: %ld", &peak) == 1)
      break;
  fclose (file);
  return peak;
}

int
gf_descriptors (pid_t pid)
{
  char path[64];
  int count = 0;
  DIR *folder;

  snprintf (path, sizeof path, "/proc/%d/fd", (int)pid);
  folder = opendir (path);
  ck_assert_ptr_nonnull (folder);
  while (readdir (folder))
    count++;
  closedir (folder);
  return count - 2; /* "." and "..".  */
}

uint64_t
gf_processor_ms (pid_t pid)
{
  unsigned long long user = 0;
  unsigned long long system = 0;
  char path[64];
  FILE *file;
  int found;

  snprintf (path, sizeof path, "/proc/%d/stat", (int)pid);
  file = fopen (path, "r");
  ck_assert_ptr_nonnull (file);
  /* The name of the program has no spaces.  */
  found = fscanf (file,
                  "%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
                  "%llu %llu",
                  &user, &system);
  fclose (file);
  ck_assert_int_eq (found, 2);
  return (user + system) * 1000 / (unsigned long long)sysconf (_SC_CLK_TCK);
}

void
gf_start_proxy (struct gf_fleet *fleet)
{
  struct proxy_pairs pairs = { .count = 0 };

  for (int i = 1; i <= GF_PROXIED_MAX; i++)
    add_pair (fleet, &pairs, i + GF_TARGET_OFFSET, GF_TARGET_PORT,
              i + GF_PROXIED_OFFSET, GF_TARGET_PORT);
  fleet->proxy_pid = start_proxy (fleet, PROXY_PORT, "proxy.log", &pairs);
}

void
gf_set_path_fault (struct gf_fleet *fleet, int number, const char *query)
{
  set_proxy_fault (fleet, PROXY_PORT, number - 1, query);
}

int
gf_compare_times (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return (x > y) - (x < y);
}

/* Runs.  */

int
gf_runs_at (const struct gf_fleet *fleet, int number, const char *id)
{
  char path[256];
  char line[256];
  int runs = 0;
  FILE *file;

  gf_print_target_path (fleet, number, "runs", path, sizeof path);
  file = fopen (path, "r");
  if (!file)
    return 0;
  while (fgets (line, sizeof line, file))
    {
      line[strcspn (line, "\n")] = '\0';
      runs += strcmp (line, id) == 0;
    }
  fclose (file);
  return runs;
}

int
gf_runs (const struct gf_fleet *fleet, const char *id)
{
  int runs = 0;

  for (int i = 1; i <= GF_TARGETS_MAX; i++)
    runs += gf_runs_at (fleet, i, id);
  return runs;
}

/* Bundles.  */

int
gf_put_bundle (struct gf_fleet *fleet, int control, int version, int base,
               const char *extra)
{
  bool two = fleet->services == 2;
  char body[4096];

  snprintf (
      body, sizeof body,
      "{\"version\":%d,\"base_version\":%d,\"services\":[{\"name\":\"shop\","
      "\"probe_path\":\"/h\",\"connections\":100}%s],\"limits\":{"
      "\"header_bytes\":16384,\"body_bytes\":%d,\"header_time_ms\":3000,"
      "\"idle_time_ms\":%d},\"hosts\":[{\"host\":\"x.example\","
      "\"prefixes\":[{\"name\":\"order\",\"prefix\":\"/shop/\",\"kind\":"
      "\"once\",\"timeout_ms\":3000,\"objective_ms\":1000,\"priority\":0,"
      "\"service\":\"shop\",\"attempts\":2},{\"name\":\"look\",\"prefix\":"
      "\"/look%s/\",\"kind\":\"idempotent\",\"timeout_ms\":3000,"
      "\"objective_ms\":1000,\"priority\":1,\"service\":\"shop\","
      "\"attempts\":2},{\"name\":\"large\",\"prefix\":\"/large/\",\"kind\":"
      "\"download\",\"timeout_ms\":3000,\"priority\":2,\"service\":\"shop\"}"
      "%s%s]}]%s%s}",
      version, base,
      two ? ",{\"name\":\"pay\",\"probe_path\":\"/h\",\"connections\":100}"
          : "",
      fleet->body_bytes ? fleet->body_bytes : BODY_BYTES,
      fleet->idle_ms ? fleet->idle_ms : IDLE_MS, extra,
      two ? ",{\"name\":\"pay\",\"prefix\":\"/pay/\",\"kind\":\"once\","
            "\"timeout_ms\":3000,\"objective_ms\":1000,\"priority\":0,"
            "\"service\":\"pay\",\"attempts\":2}"
          : "",
      fleet->teams ? ",{\"name\":\"open\",\"prefix\":\"/open/\",\"kind\":"
                     "\"idempotent\",\"timeout_ms\":3000,\"service\":"
                     "\"shop\",\"attempts\":2,\"no_key\":true}"
                   : "",
      fleet->teams ? ",\"teams\":" : "", fleet->teams ? fleet->teams : "");
  return fleet_http (gf_admin (fleet, control), "POST", "/v1/bundle",
                     "Content-Type: application/json\n", body, NULL);
}

bool
gf_wait_bundle (struct gf_fleet *fleet, int control, int version,
                int timeout_ms)
{
  char wanted[32];

  snprintf (wanted, sizeof wanted, "{\"version\":%d,", version);
  for (int waited = 0; waited < timeout_ms; waited += POLL_MS)
    {
      char *text = NULL;
      int status = fleet_http (gf_admin (fleet, control), "GET", "/v1/bundle",
                               NULL, NULL, &text);
      bool found = status == 200 && text && strstr (text, wanted) == text;
      free (text);
      if (found)
        return true;
      fleet_sleep_ms (POLL_MS);
    }
  return false;
}

/* Callers.  */

int
gf_request (struct gf_fleet *fleet, int gateway, const char *method,
            const char *path, const char *id, char **body)
{
  char headers[256];

  snprintf (headers, sizeof headers, "Host: x.example\nX-Request-Id: %s\n",
            id);
  return fleet_http (gf_callers (fleet, gateway), method, path, headers,
                     strcmp (method, "POST") == 0 ? "order" : NULL, body);
}

int
gf_get_with (struct gf_fleet *fleet, int gateway, const char *path,
             const char *id, const char *lines)
{
  char headers[512];

  snprintf (headers, sizeof headers, "Host: x.example\nX-Request-Id: %s\n%s",
            id, lines);
  return fleet_http (gf_callers (fleet, gateway), "GET", path, headers, NULL,
                     NULL);
}

bool
gf_wait_status (struct gf_fleet *fleet, int gateway, const char *path,
                int status, int timeout_ms)
{
  for (int waited = 0; waited < timeout_ms; waited += POLL_MS)
    {
      if (gf_request (fleet, gateway, "GET", path, "wait", NULL) == status)
        return true;
      fleet_sleep_ms (POLL_MS);
    }
  return false;
}

bool
gf_logged (const struct gf_fleet *fleet, int number, const char *event,
           const char *id, const char *field)
{
  char path[256];
  char wanted[128];
  char line[4096];
  bool found = false;
  FILE *file;

  snprintf (path, sizeof path, "%s/gateway%d.log", fleet->folder, number);
  snprintf (wanted, sizeof wanted, " event=%s ", event);
  file = fopen (path, "r");
  if (!file)
    return false;
  while (!found && fgets (line, sizeof line, file))
    found = strstr (line, wanted) && strstr (line, id) && strstr (line, field);
  fclose (file);
  return found;
}
