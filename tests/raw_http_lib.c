#include "raw_http_lib.h"

#include <arpa/inet.h>
#include <check.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "conf.h"
#include "fleet_lib.h"

#define ANNOUNCE_MS 300
#define IDLE_MS 10000
#define LINE_BYTES 256

/* Sockets.  */

int
raw_connect (const char *address)
{
  struct sockaddr_in to = { .sin_family = AF_INET };
  char ip[AB_ADDRESS_BYTES];
  uint16_t port;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0 || ab_address_split (address, ip, sizeof ip, &port) < 0
      || inet_pton (AF_INET, ip, &to.sin_addr) != 1)
    goto fail;
  to.sin_port = htons (port);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) == 0)
    return fd;
fail:
  if (fd >= 0)
    close (fd);
  return -1;
}

bool
raw_send (int fd, const void *data, size_t len)
{
  const char *at = data;

  while (len > 0)
    {
      ssize_t sent = send (fd, at, len, MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      at += sent;
      len -= (size_t)sent;
    }
  return true;
}

bool
raw_send_str (int fd, const char *text)
{
  return raw_send (fd, text, strlen (text));
}

static ssize_t
receive (int fd, int timeout_ms, char *out, size_t size)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

  if (poll (&poll_fd, 1, timeout_ms) <= 0)
    return -1;
  return recv (fd, out, size, 0);
}

/* Messages.  */

bool
raw_header (const struct raw_message *message, const char *name, char *value,
            size_t size)
{
  const char *line = strstr (message->head, "\r\n");
  size_t len = strlen (name);

  while (line)
    {
      line += 2;
      if (strncasecmp (line, name, len) == 0 && line[len] == ':')
        {
          const char *start = line + len + 1 + strspn (line + len + 1, " ");
          snprintf (value, size, "%.*s", (int)strcspn (start, "\r"), start);
          return true;
        }
      line = strstr (line, "\r\n");
    }
  return false;
}

/* Reads byte by byte, so that no byte of the next message is taken.  */
static bool
read_head (int fd, int timeout_ms, struct raw_message *message)
{
  size_t len = 0;

  while (len + 1 < sizeof message->head)
    {
      if (receive (fd, timeout_ms, message->head + len, 1) != 1)
        return false;
      message->head[++len] = '\0';
      if (len >= 4 && strcmp (message->head + len - 4, "\r\n\r\n") == 0)
        return true;
    }
  return false;
}

static bool
read_body (int fd, int timeout_ms, size_t len, struct raw_message *message)
{
  while (message->body_len < len)
    {
      ssize_t got = receive (fd, timeout_ms, message->body + message->body_len,
                             len - message->body_len);
      if (got <= 0)
        return false;
      message->body_len += (size_t)got;
    }
  return true;
}

bool
raw_read (int fd, int timeout_ms, struct raw_message *message)
{
  char length[32];
  unsigned long long body_len = 0;

  memset (message, 0, sizeof *message);
  if (!read_head (fd, timeout_ms, message))
    return false;
  if (sscanf (message->head, "HTTP/1.1 %d ", &message->status) != 1)
    message->status = 0;
  if (!raw_header (message, "X-Request-Id", message->id, sizeof message->id))
    message->id[0] = '\0';
  if (raw_header (message, "Content-Length", length, sizeof length))
    body_len = strtoull (length, NULL, 10);
  message->complete = body_len < sizeof message->body
                      && read_body (fd, timeout_ms, body_len, message);
  return message->complete;
}

/* Targets.  */

struct raw_target
{
  struct gf_fleet *fleet;
  int number;
  raw_handler handler;
  int listener;
};

struct raw_connection
{
  struct raw_target *target;
  int fd;
};

static void
append_line (const struct raw_target *target, const char *kind, const char *id)
{
  static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
  char path[LINE_BYTES];
  FILE *file;

  gf_print_target_path (target->fleet, target->number, kind, path,
                        sizeof path);
  pthread_mutex_lock (&lock);
  file = fopen (path, "a");
  if (!file || fprintf (file, "%s\n", id) < 0 || fclose (file) != 0)
    _exit (EXIT_FAILURE);
  pthread_mutex_unlock (&lock);
}

bool
raw_target_flag (const struct raw_target *target, const char *kind)
{
  return gf_has_flag (target->fleet, target->number, kind);
}

bool
raw_target_fleet_flag (const struct raw_target *target, const char *kind)
{
  return gf_has_flag (target->fleet, 0, kind);
}

void
raw_target_run (struct raw_target *target, const char *id)
{
  append_line (target, "runs", id);
}

void
raw_target_arrival (struct raw_target *target, const char *id)
{
  char line[LINE_BYTES];

  snprintf (line, sizeof line, "%llu %s",
            (unsigned long long)ab_clock_monotonic_ms (ab_clock_system ()),
            id);
  append_line (target, "ids", line);
}

size_t
raw_list_arrivals (const struct gf_fleet *fleet, int number,
                   struct raw_arrival **arrivals)
{
  char path[LINE_BYTES];
  char line[LINE_BYTES];
  size_t count = 0;
  FILE *file;

  *arrivals = NULL;
  gf_print_target_path (fleet, number, "ids", path, sizeof path);
  file = fopen (path, "r");
  if (!file)
    return 0;
  while (fgets (line, sizeof line, file))
    {
      unsigned long long at_ms;
      *arrivals = realloc (*arrivals, (count + 1) * sizeof **arrivals);
      ck_assert_ptr_nonnull (*arrivals);
      if (sscanf (line, "%llu %63s", &at_ms, (*arrivals)[count].id) != 2)
        continue;
      (*arrivals)[count++].at_ms = at_ms;
    }
  fclose (file);
  return count;
}

int
raw_arrivals (const struct gf_fleet *fleet, int number, const char *id)
{
  struct raw_arrival *arrivals;
  size_t total = raw_list_arrivals (fleet, number, &arrivals);
  int count = 0;

  for (size_t i = 0; i < total; i++)
    count += strcmp (arrivals[i].id, id) == 0;
  free (arrivals);
  return count;
}

bool
raw_reply (int fd, const struct raw_message *request, int status,
           const char *extra_headers, const char *body)
{
  char text[RAW_HEAD_BYTES];

  snprintf (text, sizeof text,
            "HTTP/1.1 %d Status\r\nX-Request-Id: %s\r\nAlmond-Target: t\r\n"
            "%sContent-Length: %zu\r\n\r\n%s",
            status, request->id, extra_headers, strlen (body), body);
  return raw_send_str (fd, text);
}

bool
raw_reject (int fd, const struct raw_message *request)
{
  return raw_reply (fd, request, 503, "Almond-Shed: 1\r\n", "full");
}

static void *
serve_connection (void *arg)
{
  struct raw_connection *connection = arg;
  struct raw_message *request = calloc (1, sizeof *request);
  int number = 1;

  while (request && raw_read (connection->fd, IDLE_MS, request)
         && connection->target->handler (connection->target, connection->fd,
                                         request, number))
    number++;
  close (connection->fd);
  free (request);
  free (connection);
  return NULL;
}

static void *
accept_connections (void *arg)
{
  struct raw_target *target = arg;

  for (;;)
    {
      struct raw_connection *connection = calloc (1, sizeof *connection);
      pthread_t thread;

      if (!connection)
        _exit (EXIT_FAILURE);
      connection->target = target;
      connection->fd = accept (target->listener, NULL, NULL);
      if (connection->fd < 0
          || pthread_create (&thread, NULL, serve_connection, connection) != 0
          || pthread_detach (thread) != 0)
        _exit (EXIT_FAILURE);
    }
}

static void
listen_on (struct raw_target *target)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  char address[64];
  char ip[AB_ADDRESS_BYTES];
  uint16_t port;
  int on = 1;

  gf_print_target_address (target->fleet, target->number, address,
                           sizeof address);
  target->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (target->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (ab_address_split (address, ip, sizeof ip, &port) < 0
      || inet_pton (AF_INET, ip, &at.sin_addr) != 1)
    _exit (EXIT_FAILURE);
  at.sin_port = htons (port);
  if (bind (target->listener, (struct sockaddr *)&at, sizeof at) < 0
      || listen (target->listener, SOMAXCONN) < 0)
    _exit (EXIT_FAILURE);
}

static void
run_target (struct raw_target *target)
{
  pthread_t thread;
  int sequence = 0;

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  signal (SIGPIPE, SIG_IGN);
  listen_on (target);
  if (pthread_create (&thread, NULL, accept_connections, target) != 0)
    _exit (EXIT_FAILURE);
  for (;;)
    {
      for (int i = 1; i <= target->fleet->controls; i++)
        if (gf_announce (target->fleet, i, target->number, "ready", ++sequence)
            == 200)
          break;
      fleet_sleep_ms (ANNOUNCE_MS);
    }
}

void
raw_target_start (struct gf_fleet *fleet, int number, raw_handler handler)
{
  struct raw_target target
      = { .fleet = fleet, .number = number, .handler = handler };
  pid_t pid = fork ();

  ck_assert_int_ge (pid, 0);
  if (pid == 0)
    run_target (&target);
  fleet->target_pids[number] = pid;
}
