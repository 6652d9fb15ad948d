#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PROGRAM "target/almondbridged"
#define READY_MS 20000
/* Interval at which the platform looks at the memory of processes, and its
   pause before it starts one that ended.  */
#define MEMORY_CHECK_MS 5
#define RESTART_MS 1000
#define BEAT_MS 1500

enum role
{
  CONTROL,
  GATEWAY,
  ROLES
};

struct process
{
  pid_t pid;
  uint64_t restart_ms; /* 0: runs.  */
  uint64_t peak_mb;
  int memory_ends;
};

bool rig_trouble = true;
uint64_t rig_memory_mb = 260;

static struct process processes[RIG_MACHINES + 1][ROLES];
static char folder[64];
static int block[2];
static FILE *record;
static uint64_t started_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t process_lock = PTHREAD_MUTEX_INITIALIZER;
static bool ending;

uint64_t
rig_now_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static uint64_t
wall_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

void
rig_sleep_ms (uint64_t ms)
{
  struct timespec ts = { .tv_sec = (time_t)(ms / 1000),
                         .tv_nsec = (long)(ms % 1000) * 1000000 };

  nanosleep (&ts, NULL);
}

static void
print_record (const char *format, va_list args)
{
  pthread_mutex_lock (&record_lock);
  if (record)
    {
      fprintf (record, "%8.3f  ",
               (double)(rig_now_ms () - started_ms) / 1000);
      vfprintf (record, format, args);
      fputc ('\n', record);
      fflush (record);
    }
  pthread_mutex_unlock (&record_lock);
}

void
rig_record (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  print_record (format, args);
  va_end (args);
}

static void
end_processes (void)
{
  pthread_mutex_lock (&process_lock);
  ending = true;
  for (int m = 1; m <= RIG_MACHINES; m++)
    for (int r = 0; r < ROLES; r++)
      if (processes[m][r].pid > 0)
        {
          kill (processes[m][r].pid, SIGKILL);
          waitpid (processes[m][r].pid, NULL, 0);
          processes[m][r].pid = 0;
        }
  pthread_mutex_unlock (&process_lock);
}

static void
remove_folder (void)
{
  char command[128];

  if (!folder[0])
    return;
  snprintf (command, sizeof command, "rm -rf '%s'", folder);
  if (!getenv ("KEEP") && system (command) != 0)
    fprintf (stderr, "cannot remove %s\n", folder);
}

void
rig_exit (int code, const char *format, ...)
{
  va_list args;
  va_list copy;

  va_start (args, format);
  va_copy (copy, args);
  print_record (format, args);
  vprintf (format, copy);
  putchar ('\n');
  va_end (copy);
  va_end (args);
  end_processes ();
  remove_folder ();
  fflush (stdout);
  _exit (code);
}

static void
on_signal (int number)
{
  (void)number;
  for (int m = 1; m <= RIG_MACHINES; m++)
    for (int r = 0; r < ROLES; r++)
      if (processes[m][r].pid > 0)
        kill (processes[m][r].pid, SIGKILL);
  _exit (RIG_NOT_RUN);
}

void
rig_address (int machine, char out[32])
{
  snprintf (out, 32, "127.%d.%d.%d", block[0], block[1], machine);
}

/* The platform.  */

/* Sets OUT to the value of the placeholder NAME on MACHINE, or to nothing.  */
static void
find_value (const char *name, int machine, enum role role, char *out,
            size_t size)
{
  char ip[32];
  int port = 0;

  rig_address (machine, ip);
  out[0] = '\0';
  if (strcmp (name, "node-name") == 0)
    snprintf (out, size, "edge-%d", machine);
  else if (strcmp (name, "region") == 0)
    snprintf (out, size, "region-1");
  else if (strcmp (name, "failure_domain") == 0)
    snprintf (out, size, "zone-1");
  else if (strcmp (name, "ip") == 0)
    snprintf (out, size, "%s", ip);
  else if (strcmp (name, "internal-ports.0") == 0)
    snprintf (out, size, "7720");
  else if (strcmp (name, "internal-ports.1") == 0)
    snprintf (out, size, "7721");
  else if (strcmp (name, "zones|json") == 0)
    snprintf (out, size, "{\"zone-1\":\"region-1\"}");
  else if (strcmp (name, "data-dir") == 0)
    snprintf (out, size, "%s/data-%d-%d", folder, machine, (int)role);
  else if (strcmp (name, "bootstrap") == 0)
    snprintf (out, size, "%s",
              processes[machine][role].memory_ends ? "false" : "true");
  else if (strcmp (name, "fault-tolerance.machines") == 0)
    snprintf (out, size, "1");
  else if (strcmp (name, "bounds.grace-s") == 0)
    snprintf (out, size, "6");
  else if (strcmp (name, "bounds.ttl_max_s") == 0)
    snprintf (out, size, "5");
  else if (strcmp (name, "bounds.retry-budget-ratio") == 0)
    snprintf (out, size, "0.2");
  else if (strcmp (name, "bounds.budget-slack") == 0)
    snprintf (out, size, "64");
  else if (strcmp (name, "bounds.budget-window-s") == 0)
    snprintf (out, size, "10");
  else if (strcmp (name, "limits.link-mbps") == 0)
    snprintf (out, size, "1000");
  else if (strcmp (name, "seeds") == 0)
    snprintf (out, size,
              "127.%d.%d.1:%d,127.%d.%d.2:%d,127.%d.%d.3:%d", block[0],
              block[1], RIG_CONTROL, block[0], block[1], RIG_CONTROL,
              block[0], block[1], RIG_CONTROL);
  else if (strcmp (name, "listen.front") == 0)
    port = RIG_FRONT;
  else if (strcmp (name, "listen.ready") == 0)
    port = RIG_READY;
  else if (strcmp (name, "listen.directory") == 0)
    port = RIG_DIRECTORY;
  else if (strcmp (name, "listen.control") == 0)
    port = RIG_CONTROL;
  if (port)
    snprintf (out, size, "%s:%d", ip, port);
}

/* Fills in the template at PATH.  Sections are for bounds that a small
   deployment does not have, and are left out.  */
static void
render (const char *path, int machine, enum role role, FILE *out)
{
  FILE *in = fopen (path, "r");
  char line[512];
  bool skipping = false;

  if (!in)
    rig_exit (RIG_NOT_RUN, "cannot read %s", path);
  while (fgets (line, sizeof line, in))
    {
      char *at = line;
      if (strncmp (line, "{{#", 3) == 0 || strncmp (line, "{{/", 3) == 0)
        {
          skipping = line[2] == '#';
          continue;
        }
      while (!skipping && *at)
        {
          char *end = strncmp (at, "{{", 2) == 0 ? strstr (at, "}}") : NULL;
          char value[256];
          if (!end)
            {
              fputc (*at++, out);
              continue;
            }
          *end = '\0';
          find_value (at + 2, machine, role, value, sizeof value);
          fputs (value, out);
          at = end + 2;
        }
    }
  fclose (in);
}

static void
start_process (int machine, enum role role)
{
  static const char *const templates[]
      = { "platform/control.yaml", "platform/gateway.yaml" };
  char path[128];
  char data[128];
  char log[128];
  FILE *file;
  pid_t pid;

  find_value ("data-dir", machine, role, data, sizeof data);
  mkdir (data, 0700);
  snprintf (path, sizeof path, "%s/boot-%d-%d", folder, machine, (int)role);
  snprintf (log, sizeof log, "%s/log-%d-%d", folder, machine, (int)role);
  file = fopen (path, "w");
  if (!file)
    rig_exit (RIG_NOT_RUN, "cannot write %s", path);
  render (templates[role], machine, role, file);
  fclose (file);
  pid = fork ();
  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, 1);
      dup2 (fd, 2);
      execl (PROGRAM, PROGRAM, "--fleet", path, (char *)NULL);
      _exit (127);
    }
  processes[machine][role].pid = pid;
  processes[machine][role].restart_ms = 0;
  processes[machine][role].peak_mb = 0;
}

static uint64_t
memory_mb (pid_t pid)
{
  char path[64];
  unsigned long size = 0;
  unsigned long resident = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/statm", (int)pid);
  file = fopen (path, "r");
  if (!file)
    return 0;
  if (fscanf (file, "%lu %lu", &size, &resident) != 2)
    resident = 0;
  fclose (file);
  return (uint64_t)resident * (uint64_t)sysconf (_SC_PAGESIZE) >> 20;
}

static void
check_process (int machine, enum role role)
{
  static const char *const names[] = { "control", "gateway" };
  struct process *process = &processes[machine][role];
  uint64_t now = rig_now_ms ();
  int status;
  uint64_t mb;

  if (process->restart_ms && now >= process->restart_ms)
    {
      start_process (machine, role);
      rig_record ("platform: %s of machine %d started again", names[role],
                  machine);
    }
  if (process->pid <= 0)
    return;
  if (waitpid (process->pid, &status, WNOHANG) == process->pid)
    {
      rig_record ("platform: %s of machine %d ended by itself, status %d",
                  names[role], machine, status);
      process->memory_ends++;
      process->pid = 0;
      process->restart_ms = now + RESTART_MS;
      return;
    }
  mb = memory_mb (process->pid);
  if (mb > process->peak_mb)
    process->peak_mb = mb;
  if (mb <= rig_memory_mb)
    return;
  rig_record ("platform: %s of machine %d uses %llu MB of %llu MB: killed",
              names[role], machine, (unsigned long long)mb,
              (unsigned long long)rig_memory_mb);
  kill (process->pid, SIGKILL);
  waitpid (process->pid, NULL, 0);
  process->pid = 0;
  process->memory_ends++;
  process->restart_ms = now + RESTART_MS;
}

static void *
run_platform (void *arg)
{
  (void)arg;
  for (;;)
    {
      pthread_mutex_lock (&process_lock);
      for (int m = 1; m <= RIG_MACHINES && !ending; m++)
        for (int r = 0; r < ROLES; r++)
          check_process (m, (enum role)r);
      pthread_mutex_unlock (&process_lock);
      rig_sleep_ms (MEMORY_CHECK_MS);
    }
  return NULL;
}

int
rig_memory_ends (int machine)
{
  return processes[machine][CONTROL].memory_ends
         + processes[machine][GATEWAY].memory_ends;
}

uint64_t
rig_gateway_peak_mb (int machine)
{
  return processes[machine][GATEWAY].peak_mb;
}

bool
rig_gateway_runs (int machine)
{
  return processes[machine][GATEWAY].pid > 0;
}

static void
start_thread (void *(*run) (void *), void *arg)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, run, arg) != 0)
    rig_exit (RIG_NOT_RUN, "cannot start a thread");
  pthread_detach (thread);
}

void
rig_start (const char *case_folder)
{
  char path[256];
  const char *trouble = getenv ("TROUBLE");

  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  rig_trouble = !trouble || strcmp (trouble, "0") != 0;
  started_ms = rig_now_ms ();
  srandom ((unsigned)(started_ms ^ (uint64_t)getpid ()));
  block[0] = 60 + (int)(random () % 60);
  block[1] = 1 + (int)(random () % 250);
  snprintf (path, sizeof path, "%s/record.txt", case_folder);
  record = fopen (path, "w");
  if (!record)
    rig_exit (RIG_NOT_RUN, "cannot write %s", path);
  if (access (PROGRAM, X_OK) != 0)
    rig_exit (RIG_NOT_RUN, "%s is not built", PROGRAM);
  snprintf (folder, sizeof folder, "/tmp/review-XXXXXX");
  if (!mkdtemp (folder))
    rig_exit (RIG_NOT_RUN, "cannot make a folder");
  rig_record ("machines 127.%d.%d.1 to .%d, %s", block[0], block[1],
              RIG_MACHINES,
              rig_trouble ? "with the disruption" : "without the disruption");
  for (int m = 1; m <= RIG_MACHINES; m++)
    for (int r = 0; r < ROLES; r++)
      start_process (m, (enum role)r);
  start_thread (run_platform, NULL);
}

/* Messages.  */

int
rig_connect (const char *ip, int port)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  inet_pton (AF_INET, ip, &to.sin_addr);
  if (fd >= 0 && connect (fd, (struct sockaddr *)&to, sizeof to) < 0)
    {
      close (fd);
      return -1;
    }
  if (fd >= 0)
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

bool
rig_send (int fd, const void *data, size_t len)
{
  const char *at = data;

  while (len > 0)
    {
      ssize_t n = send (fd, at, len, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      at += n;
      len -= (size_t)n;
    }
  return true;
}

static bool
read_byte (int fd, uint64_t end_ms, char *c)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
  uint64_t now = rig_now_ms ();

  return now < end_ms && poll (&poll_fd, 1, (int)(end_ms - now)) > 0
         && recv (fd, c, 1, 0) == 1;
}

static const char *
find_header (const char *head, const char *name)
{
  size_t len = strlen (name);
  const char *line = strstr (head, "\r\n");

  for (; line; line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, name, len) == 0 && line[2 + len] == ':')
      return line + 2 + len + 1 + strspn (line + 2 + len + 1, " ");
  return NULL;
}

bool
rig_read (int fd, uint64_t ms, struct rig_message *message)
{
  uint64_t end_ms = rig_now_ms () + ms;
  size_t len = 0;
  const char *value;
  size_t body = 0;

  message->status = 0;
  message->id[0] = '\0';
  message->body_len = 0;
  message->body[0] = '\0';
  do
    {
      if (len + 1 >= sizeof message->head
          || !read_byte (fd, end_ms, &message->head[len]))
        return false;
      len++;
    }
  while (len < 4 || memcmp (message->head + len - 4, "\r\n\r\n", 4) != 0);
  message->head[len] = '\0';
  if (strncmp (message->head, "HTTP/", 5) == 0)
    message->status = atoi (message->head + 9);
  value = find_header (message->head, "Request-Id");
  if (value)
    snprintf (message->id, sizeof message->id, "%.*s",
              (int)strcspn (value, "\r"), value);
  value = find_header (message->head, "Content-Length");
  if (value)
    body = strtoul (value, NULL, 10);
  for (; message->body_len < body; message->body_len++)
    if (message->body_len + 1 >= sizeof message->body
        || !read_byte (fd, end_ms, &message->body[message->body_len]))
      return false;
  message->body[message->body_len] = '\0';
  return true;
}

int
rig_request (int machine, const char *method, const char *path,
             const char *id, const char *extra, const char *body, uint64_t ms,
             struct rig_message *answer)
{
  char head[2048];
  char ip[32];
  int fd;
  bool whole;

  rig_address (machine, ip);
  fd = rig_connect (ip, RIG_FRONT);
  answer->status = 0;
  answer->body[0] = '\0';
  answer->id[0] = '\0';
  if (fd < 0)
    return 0;
  snprintf (head, sizeof head,
            "%s %s HTTP/1.1\r\nHost: x.example\r\nRequest-Id: %s\r\n"
            "Deadline-Ms: %llu\r\n%sContent-Length: %zu\r\n\r\n%s",
            method, path, id, (unsigned long long)ms, extra, strlen (body),
            body);
  whole = rig_send (fd, head, strlen (head)) && rig_read (fd, ms, answer);
  close (fd);
  return whole ? answer->status : 0;
}

bool
rig_answer (int fd, const struct rig_message *request, int status,
            const char *extra, const char *body)
{
  char text[8192];

  snprintf (text, sizeof text,
            "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nUpstream-Stamp: stamp\r\n"
            "%sContent-Length: %zu\r\n\r\n%s",
            status, status == 200 ? "OK" : "Answer", request->id, extra,
            strlen (body), body);
  return rig_send (fd, text, strlen (text));
}

void
rig_new_id (char *out, size_t len)
{
  for (size_t i = 0; i < len; i++)
    out[i] = "0123456789abcdef"[random () % 16];
  out[len] = '\0';
}

/* Calls of the control address.  */

int
rig_control (int machine, const char *method, const char *path,
             const char *body)
{
  static __thread struct rig_message answer;
  char head[512];
  char ip[32];
  int fd;

  rig_address (machine, ip);
  fd = rig_connect (ip, RIG_CONTROL);
  if (fd < 0)
    return 0;
  snprintf (head, sizeof head,
            "%s %s HTTP/1.1\r\nHost: control\r\nContent-Type: "
            "application/json\r\nConnection: close\r\nContent-Length: "
            "%zu\r\n\r\n",
            method, path, strlen (body));
  answer.status = 0;
  if (rig_send (fd, head, strlen (head))
      && rig_send (fd, body, strlen (body)))
    rig_read (fd, 3000, &answer);
  close (fd);
  return answer.status;
}

int
rig_print_config (char *out, int version, int base, uint64_t timeout_ms,
                  uint64_t latency_ms)
{
  return sprintf (
      out,
      "{\"version\":%d,\"base_version\":%d,\"services\":[{\"name\":"
      "\"shop\",\"probe_path\":\"/healthz\",\"connections\":390,"
      "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"header_bytes\":"
      "16384,\"body_bytes\":67108864,\"header_time_ms\":3000,"
      "\"idle_time_ms\":15000},\"hosts\":"
      "[{\"host\":\"x.example\",\"prefixes\":["
      "{\"name\":\"look\",\"prefix\":\"/look/\",\"kind\":\"idempotent\","
      "\"timeout_ms\":%llu,\"objective_ms\":%llu,\"priority\":2,"
      "\"service\":\"shop\",\"attempts\":2},"
      "{\"name\":\"order\",\"prefix\":\"/order/\",\"kind\":\"once\","
      "\"timeout_ms\":%llu,\"objective_ms\":%llu,\"priority\":1,"
      "\"service\":\"shop\",\"attempts\":2}]}]}",
      version, base, (unsigned long long)timeout_ms,
      (unsigned long long)latency_ms, (unsigned long long)timeout_ms,
      (unsigned long long)latency_ms);
}

void
rig_put_config (uint64_t timeout_ms, uint64_t latency_ms)
{
  char body[2048];
  uint64_t end_ms = rig_now_ms () + READY_MS;
  int status = 0;

  rig_print_config (body, 1, 0, timeout_ms, latency_ms);
  for (int m = 1; status != 200 && rig_now_ms () < end_ms;
       m = m % RIG_MACHINES + 1)
    {
      status = rig_control (m, "POST", "/v1/bundle", body);
      if (status != 200)
        rig_sleep_ms (100);
    }
  if (status != 200)
    rig_exit (RIG_NOT_RUN, "the first configuration was not acknowledged");
  rig_record ("operator: configuration 1 acknowledged");
}

/* Servers.  */

static bool
send_beat (struct rig_server *server)
{
  char path[96];
  char body[512];
  bool ok = false;

  snprintf (path, sizeof path, "/v1/targets/%s/renew", server->id);
  snprintf (body, sizeof body,
            "{\"service\":\"shop\",\"address\":\"%s:8080\","
            "\"failure_domain\":\"zone-1\",\"version\":\"v1\",\"slots\":6,"
            "\"state\":\"ready\",\"cold_ms\":0,\"sequence\":%llu,"
            "\"born\":%llu}",
            server->address, (unsigned long long)++server->sequence,
            (unsigned long long)server->born_ms);
  for (int m = 1; m <= RIG_MACHINES && !ok; m++)
    ok = rig_control (m, "PUT", path, body) == 200;
  return ok;
}

static void *
run_beats (void *arg)
{
  for (;;)
    {
      rig_sleep_ms (BEAT_MS);
      send_beat (arg);
    }
  return NULL;
}

struct accepted
{
  struct rig_server *server;
  int fd;
};

static void *
run_connection (void *arg)
{
  struct accepted accepted = *(struct accepted *)arg;
  struct rig_message *request = malloc (sizeof *request);

  free (arg);
  if (accepted.server->opened)
    accepted.server->opened (accepted.fd);
  while (request && rig_read (accepted.fd, 600000, request)
         && accepted.server->handle (accepted.server, accepted.fd, request))
    ;
  close (accepted.fd);
  free (request);
  return NULL;
}

static void *
run_server (void *arg)
{
  struct rig_server *server = arg;

  for (;;)
    {
      struct accepted *accepted = malloc (sizeof *accepted);
      int on = 1;
      accepted->server = server;
      accepted->fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC);
      if (accepted->fd < 0)
        return NULL;
      setsockopt (accepted->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      start_thread (run_connection, accepted);
    }
}

void
rig_start_server (struct rig_server *server, int number, rig_handler handle)
{
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_port = htons (8080) };
  int on = 1;

  server->number = number;
  server->handle = handle;
  server->born_ms = wall_ms ();
  snprintf (server->id, sizeof server->id, "i-%08lx",
            (unsigned long)random () & 0xffffffff);
  snprintf (server->address, sizeof server->address, "127.%d.%d.%d", block[0],
            block[1], number + 130);
  inet_pton (AF_INET, server->address, &at.sin_addr);
  server->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (server->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (server->listener, (struct sockaddr *)&at, sizeof at) < 0
      || listen (server->listener, 512) < 0)
    rig_exit (RIG_NOT_RUN, "cannot listen on %s", server->address);
  start_thread (run_server, server);
  if (!send_beat (server))
    rig_exit (RIG_NOT_RUN, "server %d was not acknowledged", number);
  rig_record ("server %d: %s at %s acknowledged", number, server->id,
              server->address);
  start_thread (run_beats, server);
}

void
rig_wait_served (void)
{
  static struct rig_message answer;

  for (int m = 1; m <= RIG_MACHINES; m++)
    {
      uint64_t end_ms = rig_now_ms () + READY_MS;
      char id[17];
      int status = 0;
      while (status != 200 && rig_now_ms () < end_ms)
        {
          rig_new_id (id, 16);
          status = rig_request (m, "GET", "/look/first", id, "", "", 2000,
                                &answer);
          if (status != 200)
            rig_sleep_ms (100);
        }
      if (status != 200)
        rig_exit (RIG_NOT_RUN, "machine %d served no request", m);
    }
  rig_record ("all machines serve");
}
