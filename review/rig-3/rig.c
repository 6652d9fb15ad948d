#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define DAEMON "target/almondbridged"
#define ADMIN 8166
#define CONTROL_PEERS 7100
#define GATEWAY_PEERS 7115
#define GATEWAY_HOST 40
#define SERVER_HOST 130
#define LIMIT_S 118

static struct
{
  FILE *record;
  char folder[256];
  int block[2];
  int losses;
  double begin;
  pid_t controls[RIG_HOSTS_MAX + 1];
  pid_t gateways[RIG_HOSTS_MAX + 1];
  pid_t servers[RIG_HOSTS_MAX + 1];
} rig;

double
rig_now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

void
rig_sleep (double seconds)
{
  struct timespec ts
      = { (time_t)seconds, (long)((seconds - (double)(time_t)seconds) * 1e9) };

  while (nanosleep (&ts, &ts) < 0 && errno == EINTR)
    continue;
}

void
rig_record (const char *format, ...)
{
  static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
  va_list args;

  if (!rig.record)
    return;
  pthread_mutex_lock (&lock);
  fprintf (rig.record, "%8.3f  ", rig_now () - rig.begin);
  va_start (args, format);
  vfprintf (rig.record, format, args);
  va_end (args);
  fputc ('\n', rig.record);
  fflush (rig.record);
  pthread_mutex_unlock (&lock);
}

bool
rig_trouble (void)
{
  const char *trouble = getenv ("TROUBLE");

  return !trouble || strcmp (trouble, "0") != 0;
}

static void
kill_process (pid_t *pid)
{
  if (*pid <= 0)
    return;
  kill (*pid, SIGKILL);
  waitpid (*pid, NULL, 0);
  *pid = 0;
}

/* Removes FOLDER, which only this rig and its daemons write to.  */
static void
remove_folder (const char *folder)
{
  pid_t pid = fork ();

  if (pid == 0)
    {
      execlp ("rm", "rm", "-rf", "--", folder, (char *)NULL);
      _exit (127);
    }
  if (pid > 0)
    waitpid (pid, NULL, 0);
}

void
rig_end (int status)
{
  for (int i = 1; i <= RIG_HOSTS_MAX; i++)
    {
      kill_process (&rig.controls[i]);
      kill_process (&rig.gateways[i]);
      kill_process (&rig.servers[i]);
    }
  if (rig.folder[0])
    remove_folder (rig.folder);
  rig_record ("exit %d: %s", status,
              status == 0   ? "the rule held"
              : status == 1 ? "the rule was broken"
                            : "the case could not run");
  exit (status);
}

static void __attribute__ ((noreturn)) fail (const char *what)
{
  rig_record ("rig: %s: %s", what, strerror (errno));
  rig_end (2);
}

static void
on_alarm (int number)
{
  (void)number;
  rig_record ("rig: the time is over");
  rig_end (2);
}

static void
print_address (int host, int port, char out[64])
{
  snprintf (out, 64, "127.%d.%d.%d:%d", rig.block[0], rig.block[1], host,
            port);
}

static struct sockaddr_in
parse_address (const char *address)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  char host[64];
  int port = 0;

  if (sscanf (address, "%63[^:]:%d", host, &port) == 2)
    inet_pton (AF_INET, host, &at.sin_addr);
  at.sin_port = htons ((uint16_t)port);
  return at;
}

static bool
is_free (int host, int port)
{
  char address[64];
  struct sockaddr_in at;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int one = 1;
  bool ok;

  print_address (host, port, address);
  at = parse_address (address);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  ok = bind (fd, (struct sockaddr *)&at, sizeof at) == 0;
  close (fd);
  return ok;
}

void
rig_start (const char *folder, int losses)
{
  char path[512];

  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, on_alarm);
  alarm (LIMIT_S);
  rig.begin = rig_now ();
  rig.losses = losses;
  snprintf (path, sizeof path, "%s/record.txt", folder);
  rig.record = fopen (path, "w");
  if (!rig.record)
    exit (2);
  snprintf (rig.folder, sizeof rig.folder, "%s/almond-XXXXXX",
            getenv ("TMPDIR") ? getenv ("TMPDIR") : "/tmp");
  if (!mkdtemp (rig.folder))
    {
      rig.folder[0] = '\0';
      fail ("temporary folder");
    }
  if (access (DAEMON, X_OK) < 0)
    fail (DAEMON);
  srand ((unsigned)getpid () ^ (unsigned)time (NULL));
  for (int i = 0; i < 50; i++)
    {
      rig.block[0] = 10 + rand () % 200;
      rig.block[1] = 1 + rand () % 250;
      if (is_free (1, ADMIN) && is_free (1, CONTROL_PEERS)
          && is_free (GATEWAY_HOST + 1, RIG_CALLERS)
          && is_free (GATEWAY_HOST + 1, GATEWAY_PEERS))
        return;
    }
  fail ("no free ports");
}

static pid_t
start_daemon (const char *name, const char *settings)
{
  char path[512];
  char log[512];
  FILE *file;
  pid_t pid;

  snprintf (path, sizeof path, "%s/%s.yaml", rig.folder, name);
  snprintf (log, sizeof log, "%s/%s.log", rig.folder, name);
  file = fopen (path, "w");
  if (!file || fputs (settings, file) < 0 || fclose (file) != 0)
    fail (path);
  pid = fork ();
  if (pid < 0)
    fail ("fork");
  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execl (DAEMON, DAEMON, "--fleet", path, (char *)NULL);
      _exit (127);
    }
  return pid;
}

static const char *const domains[] = { "a1", "b1", "c1", "a2", "b2", "c2" };
#define DOMAINS_MAP                                                           \
  "{\"a1\": \"a\", \"b1\": \"b\", \"c1\": \"c\", \"a2\": \"a\", "             \
  "\"b2\": \"b\", \"c2\": \"c\"}"

/* Writes the settings that all roles share.  */
static int
print_common (char *out, size_t size, const char *name, const char *role,
              int domain)
{
  char seeds[3][64];
  const char *text = domains[domain % 6];

  for (int i = 0; i < 3; i++)
    print_address (i + 1, ADMIN, seeds[i]);
  return snprintf (out, size,
                   "host: \"%s\"\nrole: %s\nregion: \"%c\"\n"
                   "failure_domain: \"%s\"\ncontrol_port: %d\n"
                   "seeds: [%s,%s,%s]\ndomains: %s\nstop_time: 6s\n",
                   name, role, text[0], text, CONTROL_PEERS, seeds[0],
                   seeds[1], seeds[2], DOMAINS_MAP);
}

void
rig_start_control (int n, bool first_start)
{
  char settings[4096];
  char name[32];
  char admin[64];
  char peers[64];
  char data[512];
  int len;

  snprintf (name, sizeof name, "control-%d", n);
  snprintf (data, sizeof data, "%s/%s", rig.folder, name);
  mkdir (data, 0700);
  print_address (n, ADMIN, admin);
  print_address (n, CONTROL_PEERS, peers);
  len = print_common (settings, sizeof settings, name, "control", n - 1);
  snprintf (settings + len, sizeof settings - (size_t)len,
            "listen:\n  admin: %s\n  peers: %s\ndata_folder: \"%s\"\n"
            "first_start: %s\ntolerated_losses: %d\n",
            admin, peers, data, first_start ? "true" : "false", rig.losses);
  rig.controls[n] = start_daemon (name, settings);
  rig_record ("control host %d started at %s, first_start %s", n, admin,
              first_start ? "true" : "false");
}

void
rig_start_gateway (int n)
{
  static const int ports[]
      = { RIG_CALLERS, RIG_READY, 8164, GATEWAY_PEERS, 7729 };
  char settings[4096];
  char name[32];
  char at[5][64];
  int len;

  snprintf (name, sizeof name, "gateway-%d", n);
  for (int i = 0; i < 5; i++)
    print_address (GATEWAY_HOST + n, ports[i], at[i]);
  len = print_common (settings, sizeof settings, name, "gateway", n - 1);
  snprintf (settings + len, sizeof settings - (size_t)len,
            "listen:\n  callers: %s\n  ready: %s\n  addresses: %s\n"
            "  peers: %s\n  metrics: %s\n"
            "headers:\n  request_id: Request-Id\n  deadline: Deadline-Ms\n"
            "  incarnation: Expected-Instance\n  not_run: Not-Executed\n"
            "  answered_by: Upstream-Stamp\n  leaving: Server-Leaving\n"
            "  rate_limit: Server-Limit\n  key: Credential\n"
            "  team: Tenant-Id\n"
            "answer_lifetime: 5s\nrepeat_fraction: 0.2\nrepeat_extra: 64\n"
            "repeat_window: 10s\nlink_mbps: 1000\n",
            at[0], at[1], at[2], at[3], at[4]);
  rig.gateways[n] = start_daemon (name, settings);
  rig_record ("gateway %d started at %s", n, at[0]);
}

void
rig_lose_controls (int first, int last)
{
  char data[512];

  for (int n = first; n <= last; n++)
    if (rig.controls[n] > 0)
      kill (rig.controls[n], SIGKILL);
  for (int n = first; n <= last; n++)
    {
      kill_process (&rig.controls[n]);
      snprintf (data, sizeof data, "%s/control-%d", rig.folder, n);
      remove_folder (data);
      rig_record ("control host %d killed, disk lost", n);
    }
}

bool
rig_control_runs (int n)
{
  if (rig.controls[n] > 0 && waitpid (rig.controls[n], NULL, WNOHANG) != 0)
    rig.controls[n] = 0;
  return rig.controls[n] > 0;
}

void
rig_control_address (int n, char out[64])
{
  print_address (n, ADMIN, out);
}

void
rig_gateway_address (int n, int port, char out[64])
{
  print_address (GATEWAY_HOST + n, port, out);
}

void
rig_server_address (int n, char out[64])
{
  print_address (SERVER_HOST + n, 8080, out);
}

int
rig_connect (const char *address, double timeout_s)
{
  struct sockaddr_in at = parse_address (address);
  struct timeval tv
      = { (time_t)timeout_s,
          (suseconds_t)((timeout_s - (double)(time_t)timeout_s) * 1e6) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof tv);
  if (connect (fd, (struct sockaddr *)&at, sizeof at) == 0)
    return fd;
  close (fd);
  return -1;
}

static int
exchange (const char *address, const char *method, const char *path,
          const char *lines, const char *body, double timeout_s,
          struct rig_response *response)
{
  char request[RIG_TEXT];
  double end = rig_now () + timeout_s;
  int fd = rig_connect (address, timeout_s);
  int len = snprintf (request, sizeof request,
                      "%s %s HTTP/1.1\r\nHost: x.example\r\n%s"
                      "Content-Length: %zu\r\n\r\n%s",
                      method, path, lines ? lines : "",
                      body ? strlen (body) : 0, body ? body : "");

  memset (response, 0, sizeof *response);
  response->status = -1;
  response->body = "";
  if (fd < 0)
    return -1;
  if (send (fd, request, (size_t)len, 0) == len)
    while (rig_now () < end && response->len + 1 < sizeof response->text)
      {
        ssize_t n = recv (fd, response->text + response->len,
                          sizeof response->text - 1 - response->len, 0);
        if (n <= 0)
          break;
        response->len += (size_t)n;
      }
  close (fd);
  if (sscanf (response->text, "HTTP/1.%*d %d", &response->status) != 1)
    response->status = -1;
  response->body = strstr (response->text, "\r\n\r\n");
  response->body = response->body ? response->body + 4 : "";
  return response->status;
}

int
rig_http (const char *address, const char *method, const char *path,
          const char *lines, const char *body, double timeout_s,
          struct rig_response *response)
{
  char all[1024];

  snprintf (all, sizeof all, "%sConnection: close\r\n", lines ? lines : "");
  return exchange (address, method, path, all, body, timeout_s, response);
}

int
rig_put_bundle (int control, int version, int base, double timeout_s)
{
  static struct rig_response response;
  char address[64];
  char body[4096];

  rig_control_address (control, address);
  snprintf (
      body, sizeof body,
      "{\"version\":%d,\"services\":[{\"name\":\"shop\",\"probe_path\":"
      "\"/healthz\",\"connections\":390,\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,"
      "\"header_time_ms\":3000,\"idle_time_ms\":15000},\"base_version\":%d,"
      "\"hosts\":[{\"host\":\"x.example\",\"prefixes\":["
      "{\"name\":\"look\",\"prefix\":\"/look/\",\"kind\":\"idempotent\","
      "\"timeout_ms\":4000,\"objective_ms\":1200,\"priority\":2,"
      "\"service\":\"shop\",\"attempts\":2},"
      "{\"name\":\"buy\",\"prefix\":\"/buy/\",\"kind\":\"once\","
      "\"timeout_ms\":4000,\"objective_ms\":1200,\"priority\":1,"
      "\"service\":\"shop\",\"attempts\":2}]}]}",
      version, base);
  return rig_http (address, "POST", "/v1/bundle",
                   "Content-Type: application/json\r\n", body, timeout_s,
                   &response);
}

int
rig_read_bundle (int control, double timeout_s)
{
  static struct rig_response response;
  char address[64];
  const char *version;

  rig_control_address (control, address);
  if (rig_http (address, "GET", "/v1/bundle", NULL, NULL, timeout_s, &response)
      != 200)
    return 0;
  version = strstr (response.body, "\"version\":");
  return version ? atoi (version + strlen ("\"version\":")) : 0;
}

/* Servers.  */

static int server_number;

static void
print_runs_path (int n, char out[512])
{
  snprintf (out, 512, "%s/server-%d.runs", rig.folder, n);
}

/* Copies the value of the header NAME in HEAD to OUT; empty if it has
   none.  */
static void
copy_header (const char *head, const char *name, char *out, size_t size)
{
  size_t len = strlen (name);
  const char *line = head;

  out[0] = '\0';
  while ((line = strstr (line, "\r\n")) != NULL)
    {
      line += 2;
      if (strncasecmp (line, name, len) != 0 || line[len] != ':')
        continue;
      line += len + 1;
      line += strspn (line, " ");
      snprintf (out, size, "%.*s", (int)strcspn (line, "\r"), line);
      return;
    }
}

static void
log_run (const char *head, const char *id)
{
  char path[512];
  char line[512];
  int len;
  int fd;

  print_runs_path (server_number, path);
  len = snprintf (line, sizeof line, "%.3f %s %.*s\n", rig_now () - rig.begin,
                  id[0] ? id : "-", (int)strcspn (head, "\r"), head);
  fd = open (path, O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (fd < 0 || write (fd, line, (size_t)len) < 0)
    _exit (1);
  close (fd);
}

/* Handles the requests of one connection, which have bodies with a
   Content-Length.  */
static void *
serve_connection (void *arg)
{
  static const char body[] = "whole body of the server";
  int fd = (int)(long)arg;
  char *input = calloc (1, RIG_TEXT);
  char answer[1024];
  char id[128];
  char length[32];
  size_t len = 0;

  while (input)
    {
      char *end = strstr (input, "\r\n\r\n");
      size_t bytes;
      ssize_t n;
      if (end)
        {
          copy_header (input, "Content-Length", length, sizeof length);
          bytes = (size_t)(end + 4 - input) + (size_t)atol (length);
        }
      if (!end || len < bytes)
        {
          n = recv (fd, input + len, RIG_TEXT - 1 - len, 0);
          if (n <= 0)
            break;
          len += (size_t)n;
          input[len] = '\0';
          continue;
        }
      copy_header (input, "Request-Id", id, sizeof id);
      log_run (input, id);
      if (strstr (input, "/slow") && strstr (input, "/slow") < end)
        rig_sleep (RIG_SLOW_S);
      n = snprintf (
          answer, sizeof answer,
          "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
          "Upstream-Stamp: i-%d.run\r\nContent-Length: %zu\r\n\r\n%s",
          id, server_number, sizeof body - 1,
          strncmp (input, "HEAD ", 5) == 0 ? "" : body);
      if (send (fd, answer, (size_t)n, 0) != n)
        break;
      len -= bytes;
      memmove (input, input + bytes, len + 1);
    }
  free (input);
  close (fd);
  return NULL;
}

/* Announces the server every 0.5 s to the control hosts in turn.  */
static void *
announce (void *arg)
{
  static struct rig_response response;
  struct timespec ts;
  char address[64];
  char own[64];
  char path[64];
  char body[512];
  unsigned long long born;
  int control = 1;

  (void)arg;
  clock_gettime (CLOCK_REALTIME, &ts);
  born = (unsigned long long)ts.tv_sec * 1000
         + (unsigned long long)ts.tv_nsec / 1000000;
  rig_server_address (server_number, own);
  snprintf (path, sizeof path, "/v1/targets/i-%d/renew", server_number);
  for (int sequence = 1;; sequence++)
    {
      snprintf (body, sizeof body,
                "{\"service\":\"shop\",\"address\":\"%s\","
                "\"failure_domain\":\"%s\",\"version\":\"v1\",\"slots\":6,"
                "\"state\":\"ready\",\"cold_ms\":0,\"sequence\":%d,"
                "\"born\":%llu}",
                own, domains[(server_number - 1) % 6], sequence, born);
      rig_control_address (control, address);
      if (rig_http (address, "PUT", path, "Content-Type: application/json\r\n",
                    body, 1, &response)
          != 200)
        control = control % 6 + 1;
      rig_sleep (0.5);
    }
  return NULL;
}

static void __attribute__ ((noreturn)) run_server (int n)
{
  struct sockaddr_in at;
  char address[64];
  pthread_t thread;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  server_number = n;
  alarm (0);
  rig_server_address (n, address);
  at = parse_address (address);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&at, sizeof at) < 0 || listen (fd, 64) < 0
      || pthread_create (&thread, NULL, announce, NULL) != 0)
    _exit (1);
  for (;;)
    {
      int connection = accept (fd, NULL, NULL);
      if (connection >= 0
          && pthread_create (&thread, NULL, serve_connection,
                             (void *)(long)connection)
                 == 0)
        pthread_detach (thread);
    }
}

void
rig_start_server (int n)
{
  pid_t pid = fork ();

  if (pid < 0)
    fail ("fork");
  if (pid == 0)
    run_server (n);
  rig.servers[n] = pid;
  rig_record ("server %d started", n);
}

int
rig_runs_of (int n, const char *id)
{
  char path[512];
  char line[512];
  FILE *file;
  int count = 0;

  print_runs_path (n, path);
  file = fopen (path, "r");
  while (file && fgets (line, sizeof line, file))
    {
      char run[128];
      if (sscanf (line, "%*s %127s", run) == 1
          && (!id || strcmp (run, id) == 0))
        count++;
    }
  if (file)
    fclose (file);
  return count;
}

int
rig_runs (int n)
{
  return rig_runs_of (n, NULL);
}

/* Gateways.  */

double
rig_gateway_memory (int n)
{
  char path[64];
  char line[128];
  double kib = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int)rig.gateways[n]);
  file = fopen (path, "r");
  while (file && fgets (line, sizeof line, file))
    if (sscanf (line, "VmRSS: %lf", &kib) == 1)
      break;
  if (file)
    fclose (file);
  return kib / 1024;
}

void
rig_kill_gateway (int n)
{
  kill_process (&rig.gateways[n]);
}

void
rig_wait_served (int n)
{
  static struct rig_response response;
  double end = rig_now () + 15;
  char address[64];

  rig_gateway_address (n, RIG_CALLERS, address);
  while (rig_now () < end)
    {
      if (rig_http (address, "GET", "/look/first",
                    "Request-Id: first\r\nDeadline-Ms: 2000\r\n", NULL, 3,
                    &response)
          == 200)
        return;
      rig_sleep (0.1);
    }
  fail ("no request is served");
}

bool
rig_send (int fd, const char *data, size_t len)
{
  while (len > 0)
    {
      ssize_t n = send (fd, data, len, 0);
      if (n <= 0)
        return false;
      data += n;
      len -= (size_t)n;
    }
  return true;
}

bool
rig_await (int fd, const char *text, double end)
{
  char input[8192];
  size_t len = 0;

  while (rig_now () < end && len + 1 < sizeof input)
    {
      ssize_t n = recv (fd, input + len, sizeof input - 1 - len, 0);
      if (n <= 0)
        return false;
      len += (size_t)n;
      input[len] = '\0';
      if (strstr (input, text))
        return true;
    }
  return false;
}
