#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
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

#define DAEMON "target/almondbridged"
#define CONTROL_PORT 8166
#define FRONT_PORT 8161
#define READY_PORT 8167
#define DIRECTORY_PORT 8164
#define CONTROL_PEER_PORT 7720
#define GATEWAY_PEER_PORT 7735
#define CONTROL_METRICS_PORT 7728
#define GATEWAY_METRICS_PORT 7729
#define SERVER_PORT 8080
#define SERVER_OFFSET 40
#define GRACE_S 6
#define HEARTBEAT_MS 1500
#define START_MS 30000
/* Longer than stable-window-ms, 3000, and catch-up-s, 4: from then on the
   machines are in touch and none counts as lost.  */
#define CALM_MS 4500
#define RUNS_MAX 65536
#define HOST_NAME "shop.example"

int rig_header_timeout_ms = 3000;
int rig_route_timeout_ms = 4000;

struct process
{
  pid_t pid;
  bool ended;
};

struct run
{
  char id[64];
  size_t body_bytes;
  uint32_t body_hash;
};

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t start_ms;
static char folder[64];
static int block[2];
static int machine_count;
static struct process controls[RIG_MACHINES_MAX + 1];
static struct process gateways[RIG_MACHINES_MAX + 1];
static struct rig_server servers[RIG_SERVERS_MAX];
static int server_count;
static struct run runs[RUNS_MAX];
static int run_count;
static int spoilt_count;
static pthread_mutex_t runs_lock = PTHREAD_MUTEX_INITIALIZER;
static volatile bool ending;

bool
rig_calm (void)
{
  const char *trouble = getenv ("TROUBLE");

  return trouble && strcmp (trouble, "0") == 0;
}

int64_t
rig_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
rig_sleep_ms (int ms)
{
  struct timespec left = { ms / 1000, (long)(ms % 1000) * 1000000 };

  while (nanosleep (&left, &left) < 0 && errno == EINTR)
    continue;
}

void
rig_note (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&record_lock);
  fprintf (record, "%8.3f  ", (double)(rig_now_ms () - start_ms) / 1000);
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

static int
remove_entry (const char *path, const struct stat *st, int type,
              struct FTW *at)
{
  (void)st;
  (void)type;
  (void)at;
  return remove (path);
}

static void
kill_process (struct process *process)
{
  if (process->pid <= 0 || process->ended)
    return;
  kill (process->pid, SIGCONT);
  kill (process->pid, SIGKILL);
  waitpid (process->pid, NULL, 0);
  process->ended = true;
}

void
rig_end (enum rig_verdict verdict)
{
  ending = true;
  for (int i = 1; i <= machine_count; i++)
    {
      kill_process (&gateways[i]);
      kill_process (&controls[i]);
    }
  rig_note ("result: %s", verdict == RIG_HELD     ? "the rule held"
                          : verdict == RIG_BROKEN ? "the rule was broken"
                                                  : "the case could not run");
  if (folder[0] && !getenv ("KEEP"))
    nftw (folder, remove_entry, 16, FTW_DEPTH | FTW_PHYS);
  _exit (verdict);
}

void
rig_fail (const char *format, ...)
{
  char text[512];
  va_list args;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  if (record)
    rig_note ("cannot run: %s", text);
  fprintf (stderr, "cannot run: %s\n", text);
  rig_end (RIG_NOT_RUN);
}

/* Sockets.  */

static void
print_ip (int host, char out[RIG_ADDRESS_BYTES])
{
  snprintf (out, RIG_ADDRESS_BYTES, "127.%d.%d.%d", block[0], block[1], host);
}

static struct sockaddr_in
address_of (int host, int port)
{
  char ip[RIG_ADDRESS_BYTES];
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  print_ip (host, ip);
  inet_pton (AF_INET, ip, &at.sin_addr);
  return at;
}

static int
listen_at (int host, int port)
{
  struct sockaddr_in at = address_of (host, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (struct sockaddr *)&at, sizeof at) < 0
      || listen (fd, 128) < 0)
    {
      if (fd >= 0)
        close (fd);
      return -1;
    }
  return fd;
}

static int
connect_to (int host, int port)
{
  struct sockaddr_in at = address_of (host, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  if (fd < 0 || connect (fd, (struct sockaddr *)&at, sizeof at) < 0)
    {
      if (fd >= 0)
        close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

int
rig_connect (int machine)
{
  return connect_to (machine, FRONT_PORT);
}

bool
rig_send (int fd, const void *data, size_t size)
{
  const char *at = data;

  while (size > 0)
    {
      ssize_t sent = send (fd, at, size, MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return false;
      at += sent;
      size -= (size_t)sent;
    }
  return true;
}

/* Waits for input until DEADLINE.  Returns false when none comes.  */
static bool
wait_input (int fd, int64_t deadline)
{
  struct pollfd item = { .fd = fd, .events = POLLIN };
  int64_t left = deadline - rig_now_ms ();

  return left > 0 && poll (&item, 1, (int)left) > 0;
}

size_t
rig_head (char *out, size_t size, const char *method, const char *path,
          const char *id, int deadline_ms, long length)
{
  int used = snprintf (out, size,
                       "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
                       "Deadline-Ms: %d\r\n",
                       method, path, HOST_NAME, id, deadline_ms);

  if (length >= 0)
    used += snprintf (out + used, size - (size_t)used,
                      "Content-Length: %ld\r\n", length);
  used += snprintf (out + used, size - (size_t)used, "\r\n");
  return (size_t)used;
}

const char *
rig_find_header (const char *head, const char *name, char *value, size_t size)
{
  size_t len = strlen (name);

  for (const char *line = strstr (head, "\r\n"); line;
       line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, name, len) == 0 && line[2 + len] == ':')
      {
        const char *from = line + 3 + len;
        size_t span;
        from += strspn (from, " ");
        span = strcspn (from, "\r");
        snprintf (value, size, "%.*s", (int)span, from);
        return value;
      }
  return NULL;
}

void
rig_read_answer (int fd, int timeout_ms, struct rig_answer *answer)
{
  int64_t deadline = rig_now_ms () + timeout_ms;
  char text[sizeof answer->head + sizeof answer->body];
  char value[64];
  size_t used = 0;
  size_t length = 0;
  size_t head_bytes = 0;

  memset (answer, 0, sizeof *answer);
  answer->status = -1;
  for (;;)
    {
      ssize_t got;
      if (!wait_input (fd, deadline))
        return;
      got = recv (fd, text + used, sizeof text - 1 - used, 0);
      if (got <= 0)
        {
          answer->status = 0;
          return;
        }
      used += (size_t)got;
      text[used] = '\0';
      if (!head_bytes)
        {
          const char *end = memmem (text, used, "\r\n\r\n", 4);
          if (!end)
            continue;
          head_bytes = (size_t)(end - text) + 4;
          snprintf (answer->head, sizeof answer->head, "%.*s",
                    (int)head_bytes - 2, text);
          if (rig_find_header (answer->head, "Content-Length", value,
                               sizeof value))
            length = strtoul (value, NULL, 10);
          answer->close = rig_find_header (answer->head, "Connection", value,
                                           sizeof value)
                          && strcasecmp (value, "close") == 0;
        }
      if (used >= head_bytes + length)
        break;
    }
  answer->status = atoi (text + strlen ("HTTP/1.1 "));
  answer->body_bytes
      = length < sizeof answer->body ? length : sizeof answer->body - 1;
  memcpy (answer->body, text + head_bytes, answer->body_bytes);
  answer->body[answer->body_bytes] = '\0';
}

uint32_t
rig_hash (const void *data, size_t size)
{
  const unsigned char *bytes = data;
  uint32_t hash = 2166136261u;

  for (size_t i = 0; i < size; i++)
    hash = (hash ^ bytes[i]) * 16777619u;
  return hash;
}

bool
rig_is_genuine (const struct rig_answer *answer, const char *id)
{
  char stamp[256];
  char wanted[64];
  const char *at
      = rig_find_header (answer->head, "Upstream-Stamp", stamp, sizeof stamp);
  size_t size;
  uint32_t hash;

  at = at ? strchr (at, '.') : NULL;
  return at && sscanf (at + 1, "%63[^.].%zu.%x", wanted, &size, &hash) == 3
         && strcmp (wanted, id) == 0 && size == answer->body_bytes
         && hash == rig_hash (answer->body, answer->body_bytes);
}

/* Sends a JSON call on a connection of its own and returns the status.  */
static int
call (int host, int port, const char *method, const char *path,
      const char *body)
{
  char head[512];
  struct rig_answer result;
  int fd = connect_to (host, port);

  result.status = 0;
  if (fd < 0)
    return 0;
  snprintf (head, sizeof head,
            "%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\nConnection: close\r\n\r\n",
            method, path, strlen (body));
  if (rig_send (fd, head, strlen (head)) && rig_send (fd, body, strlen (body)))
    rig_read_answer (fd, 1000, &result);
  close (fd);
  return result.status;
}

/* Servers.  */

static void
begin_run (const char *id, size_t body_bytes, uint32_t body_hash)
{
  pthread_mutex_lock (&runs_lock);
  if (run_count < RUNS_MAX)
    {
      struct run *run = &runs[run_count++];
      snprintf (run->id, sizeof run->id, "%s", id);
      run->body_bytes = body_bytes;
      run->body_hash = body_hash;
    }
  pthread_mutex_unlock (&runs_lock);
}

int
rig_runs (const char *id)
{
  int count = 0;

  pthread_mutex_lock (&runs_lock);
  for (int i = 0; i < run_count; i++)
    count += strcmp (runs[i].id, id) == 0;
  pthread_mutex_unlock (&runs_lock);
  return count;
}

int
rig_spoilt_answers (void)
{
  int count;

  pthread_mutex_lock (&runs_lock);
  count = spoilt_count;
  pthread_mutex_unlock (&runs_lock);
  return count;
}

int
rig_changed_runs (const char *id, size_t size, uint32_t hash)
{
  int count = 0;

  pthread_mutex_lock (&runs_lock);
  for (int i = 0; i < run_count; i++)
    count += strcmp (runs[i].id, id) == 0
             && (runs[i].body_bytes != size || runs[i].body_hash != hash);
  pthread_mutex_unlock (&runs_lock);
  return count;
}

int
rig_all_runs (void)
{
  int count;

  pthread_mutex_lock (&runs_lock);
  count = run_count;
  pthread_mutex_unlock (&runs_lock);
  return count;
}

bool
rig_wait_run (const char *id, int timeout_ms)
{
  int64_t deadline = rig_now_ms () + timeout_ms;

  while (rig_runs (id) == 0)
    {
      if (rig_now_ms () > deadline)
        return false;
      rig_sleep_ms (5);
    }
  return true;
}

struct server_conn
{
  struct rig_server *server;
  int fd;
};

/* Reads the rest of a body of LENGTH bytes, of which USED are in BODY.  */
static bool
read_body (int fd, char *body, size_t length, size_t used)
{
  while (used < length)
    {
      ssize_t got = recv (fd, body + used, length - used, 0);
      if (got <= 0)
        return false;
      used += (size_t)got;
    }
  return true;
}

/* Sends an answer without a run, with the header lines EXTRA.  */
static bool
answer_unrun (int fd, int status, const char *extra, const char *id)
{
  char text[512];
  int used = snprintf (
      text, sizeof text,
      "HTTP/1.1 %d Status\r\n%s%s%s%sKeep-Alive: timeout=10\r\n"
      "Content-Length: 0\r\n\r\n",
      status, id[0] ? "Request-Id: " : "", id, id[0] ? "\r\n" : "", extra);

  return rig_send (fd, text, (size_t)used);
}

/* Replaces one byte of the head of SIZE bytes, the answer to ID, by another
   one when it is the turn of SERVER to hand out wrong bytes.  */
static void
spoil_head (const struct rig_server *server, char *head, size_t size,
            const char *id)
{
  static unsigned seed = 1;
  char whole[1024];
  size_t at;
  int byte;

  pthread_mutex_lock (&runs_lock);
  if (rand_r (&seed) % 1000 >= server->spoilt_per_thousand)
    {
      pthread_mutex_unlock (&runs_lock);
      return;
    }
  at = (size_t)rand_r (&seed) % size;
  do
    byte = rand_r (&seed) / 7 % 256;
  while ((char)byte == head[at]);
  spoilt_count++;
  pthread_mutex_unlock (&runs_lock);
  snprintf (whole, sizeof whole, "%.*s", (int)strcspn (head + at, "\r"),
            head + at);
  rig_note ("server %s sends byte %d instead of %d, before \"%.24s\", in the "
            "head of the answer to %s",
            server->id, byte, (unsigned char)head[at], whole + 1, id);
  head[at] = (char)byte;
}

/* Sends the answer to a request that has run.  Returns whether the connection
   stays open.  */
static bool
answer_run (const struct rig_server *server, int fd, const char *method,
            const char *id)
{
  size_t size
      = server->answer_bytes ? (size_t)server->answer_bytes : strlen (id);
  char *text = malloc (size + 1024);
  char *body = malloc (size + 1);
  char length[64] = "";
  int head;
  bool sent;

  for (size_t i = 0; i < size; i++)
    body[i] = id[i % strlen (id)];
  if (!server->unframed)
    snprintf (length, sizeof length,
              "Keep-Alive: timeout=10\r\nContent-Length: %zu\r\n", size);
  head = snprintf (text, 1024,
                   "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
                   "Upstream-Stamp: %s.%s.%zu.%x\r\n%s\r\n",
                   id, server->id, id, size, rig_hash (body, size), length);
  memcpy (text + head, body, size);
  spoil_head (server, text, (size_t)head, id);
  sent = rig_send (fd, text,
                   (size_t)head + (strcmp (method, "HEAD") == 0 ? 0 : size));
  free (text);
  free (body);
  return sent && !server->unframed;
}

/* Works for WORK_MS.  Returns false when the connection closes meanwhile.  */
static bool
work (int fd, int work_ms)
{
  int64_t end = rig_now_ms () + work_ms;

  while (rig_now_ms () < end)
    {
      char byte;
      if (wait_input (fd, end)
          && recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
        return false;
    }
  return true;
}

static int
work_of (const char *path)
{
  const char *digits = path + strlen (path);

  while (digits > path && digits[-1] >= '0' && digits[-1] <= '9')
    digits--;
  return atoi (digits);
}

/* Handles one request whose head is in TEXT, followed by EXTRA_BYTES of its
   body at EXTRA.  Returns whether the connection stays open.  */
static bool
handle_request (const struct rig_server *server, int fd, const char *text,
                const char *extra, size_t extra_bytes)
{
  char method[16] = "";
  char path[512] = "";
  char id[64] = "";
  char value[128];
  char *body;
  size_t length = 0;
  bool open;

  sscanf (text, "%15s %511s", method, path);
  rig_find_header (text, "Request-Id", id, sizeof id);
  if (rig_find_header (text, "Content-Length", value, sizeof value))
    length = strtoul (value, NULL, 10);
  if (extra_bytes > length)
    extra_bytes = length;
  body = malloc (length + 1);
  memcpy (body, extra, extra_bytes);
  open = read_body (fd, body, length, extra_bytes);
  if (!open)
    goto out;
  if (strcmp (path, "/healthz") == 0)
    {
      snprintf (value, sizeof value, "Instance-Id: %s\r\n", server->id);
      open = answer_unrun (fd, server->draining ? 503 : 200, value, id);
    }
  else if (rig_find_header (text, "Expected-Instance", value, sizeof value)
           && strcmp (value, server->id) != 0)
    open = answer_unrun (fd, 421, "Not-Executed: 1\r\n", id);
  else if (!id[0])
    open = answer_unrun (fd, 400, "Not-Executed: 1\r\n", id);
  else
    {
      begin_run (id, length, rig_hash (body, length));
      rig_note ("server %s runs %s: %s %s, body of %zu bytes", server->id, id,
                method, path, length);
      open = work (fd, work_of (path));
      if (open)
        open = answer_run (server, fd, method, id);
      else
        rig_note ("server %s: the connection of %s closed during the run",
                  server->id, id);
    }
out:
  free (body);
  return open;
}

static void *
run_server_conn (void *arg)
{
  struct server_conn *conn = arg;
  char text[16384];
  size_t used = 0;

  while (!ending)
    {
      char *end;
      size_t head_bytes;
      ssize_t got = recv (conn->fd, text + used, sizeof text - 1 - used, 0);
      if (got <= 0)
        break;
      used += (size_t)got;
      text[used] = '\0';
      end = strstr (text, "\r\n\r\n");
      if (!end)
        continue;
      head_bytes = (size_t)(end - text) + 4;
      end[2] = '\0';
      /* A caller sends the next request only after the answer, so what follows
         the head belongs to the body.  */
      if (!handle_request (conn->server, conn->fd, text, text + head_bytes,
                           used - head_bytes))
        break;
      used = 0;
    }
  close (conn->fd);
  free (conn);
  return NULL;
}

static void
start_thread (void *(*run) (void *), void *arg)
{
  pthread_t thread;
  pthread_attr_t attr;

  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, 512 * 1024);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attr, run, arg) != 0)
    rig_fail ("cannot create a thread");
  pthread_attr_destroy (&attr);
}

static void *
run_server (void *arg)
{
  struct server_conn *listener = arg;

  while (!ending)
    {
      struct server_conn *conn;
      int on = 1;
      int fd = accept4 (listener->fd, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      conn = malloc (sizeof *conn);
      *conn = (struct server_conn){ .server = listener->server, .fd = fd };
      start_thread (run_server_conn, conn);
    }
  return NULL;
}

static void *
run_heartbeats (void *arg)
{
  struct rig_server *server = arg;
  struct timespec now;
  int64_t born;
  int sequence = 0;

  clock_gettime (CLOCK_REALTIME, &now);
  born = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
  while (!ending && !server->stopped)
    {
      char path[96];
      char body[512];
      snprintf (path, sizeof path, "/v1/targets/%s/renew", server->id);
      snprintf (body, sizeof body,
                "{\"service\":\"%s\",\"address\":\"%s\",\"failure_domain\":"
                "\"zone-%d\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
                "\"cold_ms\":0,\"sequence\":%d,\"born\":%lld}",
                server->service, server->address,
                (int)(server - servers) % 3 + 1, server->slots,
                server->draining ? "draining" : "ready", ++sequence,
                (long long)born);
      for (int i = 1; i <= machine_count; i++)
        if (call (i, CONTROL_PORT, "PUT", path, body) == 200)
          break;
      rig_sleep_ms (HEARTBEAT_MS);
    }
  return NULL;
}

struct rig_server *
rig_add_server (const char *service)
{
  struct rig_server *server = &servers[server_count++];
  struct server_conn *listener = malloc (sizeof *listener);
  int host = server_count + SERVER_OFFSET;
  char ip[RIG_ADDRESS_BYTES];

  print_ip (host, ip);
  snprintf (server->id, sizeof server->id, "i-%08x",
            (unsigned)(0x7f3a9100 + server_count));
  snprintf (server->address, sizeof server->address, "%.20s:%d", ip,
            SERVER_PORT);
  server->service = service;
  server->slots = 6;
  listener->server = server;
  listener->fd = listen_at (host, SERVER_PORT);
  if (listener->fd < 0)
    rig_fail ("cannot listen at %s", server->address);
  start_thread (run_server, listener);
  return server;
}

/* Processes.  */

static const char *
placeholder (const char *name, int machine, bool control, char *out,
             size_t size)
{
  char ip[RIG_ADDRESS_BYTES];

  print_ip (machine, ip);
  if (strcmp (name, "node-name") == 0)
    snprintf (out, size, "edge-zone-%d-1", (machine - 1) % 3 + 1);
  else if (strcmp (name, "region") == 0)
    snprintf (out, size, "region-%d", (machine - 1) % 3 + 1);
  else if (strcmp (name, "failure_domain") == 0)
    snprintf (out, size, "zone-%d", (machine - 1) % 3 + 1);
  else if (strcmp (name, "ip") == 0)
    snprintf (out, size, "%s", ip);
  else if (strcmp (name, "listen.control") == 0)
    snprintf (out, size, "%s:%d", ip, CONTROL_PORT);
  else if (strcmp (name, "listen.front") == 0)
    snprintf (out, size, "%s:%d", ip, FRONT_PORT);
  else if (strcmp (name, "listen.ready") == 0)
    snprintf (out, size, "%s:%d", ip, READY_PORT);
  else if (strcmp (name, "listen.directory") == 0)
    snprintf (out, size, "%s:%d", ip, DIRECTORY_PORT);
  else if (strcmp (name, "internal-ports.0") == 0)
    snprintf (out, size, "%d", CONTROL_PEER_PORT);
  else if (strcmp (name, "internal-ports.1") == 0)
    snprintf (out, size, "%d", GATEWAY_PEER_PORT);
  else if (strcmp (name, "seeds") == 0)
    {
      size_t used = 0;
      for (int i = 1; i <= 3; i++)
        {
          print_ip (i, ip);
          used += (size_t)snprintf (out + used, size - used, "%s%s:%d",
                                    i > 1 ? "," : "", ip, CONTROL_PORT);
        }
    }
  else if (strcmp (name, "zones|json") == 0)
    snprintf (out, size,
              "{\"zone-1\": \"region-1\", \"zone-2\": \"region-2\", "
              "\"zone-3\": \"region-3\"}");
  else if (strcmp (name, "data-dir") == 0)
    snprintf (out, size, "%s/data-%d", folder, machine);
  else if (strcmp (name, "bootstrap") == 0)
    snprintf (out, size, "true");
  else if (strcmp (name, "fault-tolerance.machines") == 0)
    snprintf (out, size, "1");
  else if (strcmp (name, "bounds.grace-s") == 0)
    snprintf (out, size, "%d", GRACE_S);
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
  else
    rig_fail ("the template has an unknown placeholder %s", name);
  (void)control;
  return out;
}

/* Fills in the template as the platform does.  */
static void
write_settings (const char *path, const char *template, int machine,
                bool control)
{
  char text[16384];
  char name[64];
  char value[512];
  FILE *in = fopen (template, "r");
  FILE *out = fopen (path, "w");
  size_t used = in ? fread (text, 1, sizeof text - 1, in) : 0;
  const char *at = text;

  if (!in || !out || used == 0)
    rig_fail ("cannot fill in %s", template);
  text[used] = '\0';
  for (;;)
    {
      const char *open = strstr (at, "{{");
      const char *end = open ? strstr (open, "}}") : NULL;
      if (!end)
        break;
      fwrite (at, 1, (size_t)(open - at), out);
      snprintf (name, sizeof name, "%.*s", (int)(end - open - 2), open + 2);
      fputs (placeholder (name, machine, control, value, sizeof value), out);
      at = end + 2;
    }
  fputs (at, out);
  fclose (in);
  fclose (out);
}

static void
start_process (struct process *process, const char *role, int machine)
{
  char settings[128];
  char template[64];
  char log[128];
  bool control = strcmp (role, "control") == 0;
  pid_t parent = getpid ();

  snprintf (settings, sizeof settings, "%s/%s-%d.yaml", folder, role, machine);
  snprintf (log, sizeof log, "%s/%s-%d.log", folder, role, machine);
  snprintf (template, sizeof template, "platform/%s.yaml", role);
  if (control)
    {
      char data[128];
      snprintf (data, sizeof data, "%s/data-%d", folder, machine);
      mkdir (data, 0700);
    }
  write_settings (settings, template, machine, control);
  process->ended = false;
  process->pid = fork ();
  if (process->pid < 0)
    rig_fail ("cannot fork");
  if (process->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (getppid () != parent)
        _exit (127);
      dup2 (fd, 1);
      dup2 (fd, 2);
      execl (DAEMON, DAEMON, "--fleet", settings, (char *)NULL);
      _exit (127);
    }
  rig_note ("%s of machine %d started, process %d", role, machine,
            (int)process->pid);
}

pid_t
rig_gateway_pid (int machine)
{
  return gateways[machine].pid;
}

pid_t
rig_control_pid (int machine)
{
  return controls[machine].pid;
}

void
rig_signal_gateway (int machine, int signal)
{
  rig_note ("signal %d (%s) to the gateway of machine %d", signal,
            strsignal (signal), machine);
  kill (gateways[machine].pid, signal);
}

void
rig_signal_machine (int machine, int signal)
{
  rig_note ("signal %d (%s) to both processes of machine %d", signal,
            strsignal (signal), machine);
  kill (gateways[machine].pid, signal);
  kill (controls[machine].pid, signal);
}

bool
rig_gateway_ended (int machine)
{
  struct process *process = &gateways[machine];

  if (!process->ended && waitpid (process->pid, NULL, WNOHANG) > 0)
    process->ended = true;
  return process->ended;
}

size_t
rig_gateway_memory (int machine)
{
  char path[64];
  unsigned long size;
  unsigned long resident = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/statm", (int)gateways[machine].pid);
  file = fopen (path, "r");
  if (!file)
    return 0;
  if (fscanf (file, "%lu %lu", &size, &resident) != 2)
    resident = 0;
  fclose (file);
  return (size_t)resident * (size_t)sysconf (_SC_PAGESIZE);
}

/* Set-up.  */

static bool
is_free (int host, int port)
{
  int fd = listen_at (host, port);

  if (fd >= 0)
    close (fd);
  return fd >= 0;
}

static bool
is_block_free (void)
{
  static const int ports[]
      = { CONTROL_PORT,         FRONT_PORT,           READY_PORT,
          DIRECTORY_PORT,       CONTROL_PEER_PORT,    GATEWAY_PEER_PORT,
          CONTROL_METRICS_PORT, GATEWAY_METRICS_PORT, SERVER_PORT };

  for (int host = 1; host <= 3; host++)
    for (size_t i = 0; i < sizeof ports / sizeof ports[0]; i++)
      if (!is_free (host, ports[i]))
        return false;
  return true;
}

/* Chooses a block of addresses whose ports are free.  */
static void
choose_block (void)
{
  int seed = getpid ();

  for (int i = 0; i < 200; i++)
    {
      block[0] = 64 + (seed / 250 + i) % 180;
      block[1] = 1 + seed % 250;
      if (is_block_free ())
        return;
    }
  rig_fail ("no free block of loopback addresses");
}

void
rig_begin (const char *case_folder)
{
  char path[256];

  signal (SIGPIPE, SIG_IGN);
  start_ms = rig_now_ms ();
  snprintf (path, sizeof path, "%s/record.txt", case_folder);
  record = fopen (path, "w");
  if (!record)
    {
      fprintf (stderr, "cannot write %s\n", path);
      exit (RIG_NOT_RUN);
    }
  rig_note ("%s", rig_calm () ? "without the disruption (TROUBLE=0)"
                              : "with the disruption");
  snprintf (folder, sizeof folder, "/tmp/almond-review-XXXXXX");
  if (!mkdtemp (folder))
    {
      folder[0] = '\0';
      rig_fail ("no temporary folder");
    }
  choose_block ();
}

static void
put_first_configuration (void)
{
  char body[4096];
  int64_t deadline = rig_now_ms () + START_MS;
  int status = 0;

  snprintf (
      body, sizeof body,
      "{\"version\":3,\"base_version\":0,\"services\":[{\"name\":\"store\","
      "\"probe_path\":\"/healthz\",\"connections\":390,\"protocol\":\"h1\","
      "\"tls\":false},{\"name\":\"payment\",\"probe_path\":\"/healthz\","
      "\"connections\":390,\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"header_bytes\":16384,"
      "\"body_bytes\":67108864,\"header_time_ms\":%d,\"idle_time_ms\":15000},"
      "\"hosts\":[{\"host\":\"" HOST_NAME "\",\"prefixes\":["
      "{\"name\":\"r-read\",\"prefix\":\"/read/\",\"kind\":\"idempotent\","
      "\"timeout_ms\":%d,\"objective_ms\":1200,\"priority\":2,"
      "\"service\":\"store\",\"attempts\":2},"
      "{\"name\":\"r-order\",\"prefix\":\"/order/\",\"kind\":\"once\","
      "\"timeout_ms\":%d,\"objective_ms\":1200,\"priority\":1,"
      "\"service\":\"store\",\"attempts\":2},"
      "{\"name\":\"r-pay\",\"prefix\":\"/pay/\",\"kind\":\"once\","
      "\"timeout_ms\":%d,\"objective_ms\":800,\"priority\":0,"
      "\"service\":\"payment\",\"attempts\":2}]}]}",
      rig_header_timeout_ms, rig_route_timeout_ms, rig_route_timeout_ms,
      rig_route_timeout_ms);
  for (int i = 0; status != 200; i++)
    {
      if (rig_now_ms () > deadline)
        rig_fail ("the first configuration was not accepted: %d", status);
      status = call (i % machine_count + 1, CONTROL_PORT, "POST", "/v1/bundle",
                     body);
      if (status != 200)
        rig_sleep_ms (100);
    }
  rig_note ("the first configuration is acknowledged");
}

static void
wait_ready (int machine)
{
  int64_t deadline = rig_now_ms () + START_MS;

  while (call (machine, READY_PORT, "GET", "/ready", "") != 200)
    {
      if (rig_now_ms () > deadline)
        rig_fail ("the gateway of machine %d is not ready", machine);
      rig_sleep_ms (50);
    }
}

/* Sends requests until every server has run one.  */
static void
wait_served (int machine)
{
  int64_t deadline = rig_now_ms () + START_MS;
  static const char *const paths[] = { "/order/0", "/pay/0" };

  for (int i = 0; i < 2; i++)
    {
      int status = 0;
      if (i == 1 && server_count > 0)
        {
          bool found = false;
          for (int j = 0; j < server_count; j++)
            found = found || strcmp (servers[j].service, "payment") == 0;
          if (!found)
            continue;
        }
      while (status != 200)
        {
          char head[512];
          char id[64];
          static int number;
          struct rig_answer answer;
          int fd = rig_connect (machine);
          size_t size;
          if (rig_now_ms () > deadline)
            rig_fail ("machine %d does not serve: %d", machine, status);
          snprintf (id, sizeof id, "warm-%d-%d", machine, ++number);
          size = rig_head (head, sizeof head, "POST", paths[i], id, 4000, 0);
          if (fd >= 0 && rig_send (fd, head, size))
            {
              rig_read_answer (fd, 4500, &answer);
              status = answer.status;
            }
          if (fd >= 0)
            close (fd);
          if (status != 200)
            rig_sleep_ms (100);
        }
    }
}

void
rig_start (int machines)
{
  machine_count = machines;
  for (int i = 1; i <= machines; i++)
    {
      start_process (&controls[i], "control", i);
      start_process (&gateways[i], "gateway", i);
    }
  put_first_configuration ();
  for (int i = 0; i < server_count; i++)
    start_thread (run_heartbeats, &servers[i]);
  for (int i = 1; i <= machines; i++)
    wait_ready (i);
  for (int i = 1; i <= machines; i++)
    wait_served (i);
  rig_sleep_ms (CALM_MS);
  rig_note ("all machines are ready, serve and have been calm for %d ms",
            CALM_MS);
}
