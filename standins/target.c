/* Stand-in for a target: runs and queues a bounded number of requests, sheds
   the others, announces itself to entry hosts, and injects faults that are set
   over HTTP.  A response echoes its request, so that callers can check it.  */

#include "target_fault_lib.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <fcntl.h>
#include <getopt.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "announce_lib.h"
#include "buf.h"
#include "clock.h"
#include "digest.h"

#define QUEUE_PER_SLOT 2 /* Requests that may be queued per slot.  */
#define TAIL_FACTOR 10
#define BODY_BYTES_MAX (16 * 1024 * 1024)
#define PAD_BYTES_MAX (8 * 1024 * 1024)
#define CRASH_STATUS 3
/* Time between the announcement of a drain and the first check for the end of
   all jobs, in which entry hosts learn of the drain.  */
#define DRAIN_MS 300

enum job_state
{
  JOB_QUEUED,
  JOB_RUNNING
};

/* A request that is queued or running.  */
struct job
{
  TAILQ_ENTRY (job) next;
  struct evhttp_request *req;
  struct event *timer;
  struct event *close_event; /* Activated when the caller disconnects.  */
  enum job_state state;
  uint64_t deadline_ms; /* On the monotonic clock; 0: none.  */
  bool keyed;           /* Has an idempotency key.  */
};

TAILQ_HEAD (job_list, job);

struct target
{
  struct event_base *base;
  struct evhttp *http;
  struct evhttp_bound_socket *socket; /* Null while refusing.  */
  struct announce *announce;
  struct announce_config config;
  struct target_faults faults;
  struct job_list queued;
  struct job_list running;
  unsigned running_count;
  unsigned queued_count;
  unsigned running_max; /* Maximum number of concurrent jobs so far.  */
  double work_ms;
  double rate_limit_per_s; /* Named in responses; 0: none.  */
  double tail; /* Fraction of requests that take TAIL_FACTOR times longer.  */
  int log_fd;
  bool stopping;
  uint64_t runs;
  uint64_t shed;
  uint64_t cancelled;
  struct ab_rng rng;
};

static struct target target = {
  .work_ms = 5, .log_fd = -1, .config.slots = 2, .config.lease_ms = 3000
};

static void start_jobs (void);

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static const char *
header (struct evhttp_request *req, const char *name)
{
  const char *value
      = evhttp_find_header (evhttp_request_get_input_headers (req), name);

  return value ? value : "";
}

static void
free_job (struct job *job)
{
  if (job->state == JOB_RUNNING)
    {
      TAILQ_REMOVE (&target.running, job, next);
      target.running_count--;
    }
  else
    {
      TAILQ_REMOVE (&target.queued, job, next);
      target.queued_count--;
    }
  event_free (job->timer);
  if (job->close_event)
    event_free (job->close_event);
  free (job);
  start_jobs ();
}

static void
reply_shed (struct evhttp_request *req)
{
  target.shed++;
  evhttp_add_header (evhttp_request_get_output_headers (req), "Almond-Shed",
                     "1");
  standin_reply_json (req, 503, json_pack ("{s:s}", "code", "shed"));
}

/* Writes the LEN bytes of RAW to the socket without evhttp and closes the
   connection.  Resets the connection if LEN is 0.  */
static void
reply_raw (struct evhttp_request *req, const char *raw, size_t len)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (req);
  int fd;
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (!connection)
    return;
  fd = bufferevent_getfd (evhttp_connection_get_bufferevent (connection));
  if (len == 0)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  else
    send (fd, raw, len, MSG_NOSIGNAL);
  evhttp_connection_free (connection);
}

static void
body_digest (struct evhttp_request *req, char *hex)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (req);
  size_t len = evbuffer_get_length (input);
  struct ab_digest digest
      = ab_digest_of (ab_chunk (evbuffer_pullup (input, -1), len));

  ab_hex_encode (digest.bytes, sizeof digest.bytes, hex);
}

static json_t *
make_echo (struct evhttp_request *req)
{
  char hex[2 * AB_DIGEST_BYTES + 1];
  json_t *object;
  double pad = standin_query_number (req, "size", 0);
  char *text;

  body_digest (req, hex);
  object = json_pack (
      "{s:s, s:s, s:s, s:s, s:s}", "request_id", header (req, "X-Request-Id"),
      "key", header (req, "Idempotency-Key"), "digest", hex, "address",
      target.config.address, "uri", evhttp_request_get_uri (req));
  if (pad < 1 || pad > PAD_BYTES_MAX)
    return object;
  text = malloc ((size_t)pad + 1);
  memset (text, 'x', (size_t)pad);
  text[(size_t)pad] = '\0';
  json_object_set_new (object, "pad", json_string (text));
  free (text);
  return object;
}

/* Sends a response whose body differs from its Content-Length: half the body
   if TRUNCATE, else the whole body with half the length.  */
static void
reply_misframed (struct evhttp_request *req, bool truncate)
{
  json_t *object = make_echo (req);
  char *text = json_dumps (object, JSON_COMPACT);
  size_t len = strlen (text);
  struct ab_buf raw = AB_BUF_INIT;

  ab_buf_printf (&raw,
                 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\n\r\n",
                 truncate ? len : len / 2);
  ab_buf_append (&raw, text, truncate ? len / 2 : len);
  reply_raw (req, raw.data, raw.len);
  ab_buf_free (&raw);
  free (text);
  json_decref (object);
}

static void
add_rate_limit (struct evhttp_request *req)
{
  char text[32];

  if (target.rate_limit_per_s <= 0)
    return;
  snprintf (text, sizeof text, "%.3f", target.rate_limit_per_s);
  evhttp_add_header (evhttp_request_get_output_headers (req),
                     "Almond-Rate-Limit", text);
}

static void
reply_job (struct job *job)
{
  struct target_faults faults
      = target_faults_active (&target.faults, now_ms ());
  struct evhttp_request *req = job->req;
  double draw = ab_rng_unit (&target.rng);

  if (job->close_event)
    event_del (job->close_event);
  if (faults.refuse || draw < faults.reset_rate)
    reply_raw (req, NULL, 0);
  else if (draw < faults.truncate_rate)
    reply_misframed (req, true);
  else if (draw < faults.wrong_length_rate)
    reply_misframed (req, false);
  else if (draw < faults.error_rate)
    standin_reply_json (req, 500, json_pack ("{s:s}", "code", "fault"));
  else
    {
      add_rate_limit (req);
      standin_reply_json (req, 200, make_echo (req));
    }
  free_job (job);
}

static void
on_job_timer (evutil_socket_t fd, short what, void *arg)
{
  struct job *job = arg;

  (void)fd;
  (void)what;
  reply_job (job);
}

/* Cancels a job whose caller has closed the connection, unless it runs and has
   an idempotency key.  */
static void
on_job_closed (evutil_socket_t fd, short what, void *arg)
{
  struct job *job = arg;
  struct evhttp_connection *connection
      = evhttp_request_get_connection (job->req);

  (void)fd;
  (void)what;
  event_free (job->close_event);
  job->close_event = NULL;
  if (job->state == JOB_RUNNING && job->keyed)
    return;
  target.cancelled++;
  if (connection)
    evhttp_connection_free (connection);
  free_job (job);
}

static void
log_run (struct evhttp_request *req)
{
  char line[512];
  const char *key = header (req, "Idempotency-Key");
  int len = snprintf (line, sizeof line, "run %s %s\n", key[0] ? key : "-",
                      header (req, "X-Request-Id"));

  target.runs++;
  if (target.log_fd >= 0 && len > 0
      && write (target.log_fd, line, (size_t)len) < 0)
    perror ("target log");
}

static void
crash_on_marker (struct evhttp_request *req, const char *marker)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (req);

  if (marker[0]
      && evbuffer_search (input, marker, strlen (marker), NULL).pos >= 0)
    _exit (CRASH_STATUS);
}

static void
run_job (struct job *job)
{
  struct target_faults faults
      = target_faults_active (&target.faults, now_ms ());
  double ms
      = target.work_ms * faults.slow_factor + (double)faults.extra_delay_ms;
  struct timeval tv;

  if (ab_rng_unit (&target.rng) < target.tail)
    ms *= TAIL_FACTOR;
  TAILQ_REMOVE (&target.queued, job, next);
  target.queued_count--;
  job->state = JOB_RUNNING;
  TAILQ_INSERT_TAIL (&target.running, job, next);
  if (++target.running_count > target.running_max)
    target.running_max = target.running_count;
  log_run (job->req);
  crash_on_marker (job->req, faults.crash_marker);
  if (ab_rng_unit (&target.rng) < faults.hang_rate)
    return;
  tv.tv_sec = (time_t)(ms / 1000);
  tv.tv_usec = (suseconds_t)(fmod (ms, 1000) * 1000);
  event_add (job->timer, &tv);
}

static void
start_jobs (void)
{
  struct job *job;

  while (target.running_count < target.config.slots
         && (job = TAILQ_FIRST (&target.queued)))
    {
      if (job->deadline_ms == 0 || now_ms () < job->deadline_ms)
        {
          run_job (job);
          continue;
        }
      if (job->close_event)
        event_del (job->close_event);
      reply_shed (job->req);
      free_job (job);
    }
}

static void
on_request (struct evhttp_request *req, void *ctx)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (req);
  int fd = bufferevent_getfd (evhttp_connection_get_bufferevent (connection));
  long timeout_ms = strtol (header (req, "Request-Timeout-Ms"), NULL, 10);
  struct job *job;

  (void)ctx;
  if (target.queued_count >= target.config.slots * QUEUE_PER_SLOT
      || target.stopping)
    {
      reply_shed (req);
      return;
    }
  job = calloc (1, sizeof *job);
  job->req = req;
  job->keyed = header (req, "Idempotency-Key")[0] != '\0';
  job->deadline_ms = timeout_ms > 0 ? now_ms () + (uint64_t)timeout_ms : 0;
  job->timer = evtimer_new (target.base, on_job_timer, job);
  job->close_event
      = event_new (target.base, fd, EV_CLOSED, on_job_closed, job);
  event_add (job->close_event, NULL);
  job->state = JOB_QUEUED;
  TAILQ_INSERT_TAIL (&target.queued, job, next);
  target.queued_count++;
  start_jobs ();
}

/* Closes the listener while the fault "refuse" is active, else opens it.  */
static void
update_listener (void)
{
  struct target_faults faults
      = target_faults_active (&target.faults, now_ms ());
  char host[AB_ADDRESS_BYTES];
  uint16_t port;

  if (faults.refuse && target.socket)
    {
      evhttp_del_accept_socket (target.http, target.socket);
      target.socket = NULL;
    }
  else if (!faults.refuse && !target.socket
           && ab_address_split (target.config.address, host, sizeof host,
                                &port)
                  == 0)
    target.socket = evhttp_bind_socket_with_handle (target.http, host, port);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  if (!target.stopping)
    update_listener ();
}

static void
on_fault (struct evhttp_request *req, void *ctx)
{
  (void)ctx;
  if (evhttp_request_get_command (req) == EVHTTP_REQ_PUT
      && target_faults_set (&target.faults, req, now_ms ()) < 0)
    {
      standin_reply_json (req, 400, json_pack ("{s:s}", "code", "kind"));
      return;
    }
  standin_reply_json (req, 200, target_faults_json (&target.faults));
}

/* Sets the rate limit that responses name: the query parameter "per_s", 0 for
   none.  */
static void
on_rate_limit (struct evhttp_request *req, void *ctx)
{
  (void)ctx;
  target.rate_limit_per_s = standin_query_number (req, "per_s", 0);
  standin_reply_json (req, 200, json_object ());
}

/* Announces a drain without stopping, so that tests can see whether the target
   still gets requests.  */
static void
on_drain (struct evhttp_request *req, void *ctx)
{
  (void)ctx;
  announce_drain (target.announce);
  standin_reply_json (req, 200, json_object ());
}

static void
on_stats (struct evhttp_request *req, void *ctx)
{
  (void)ctx;
  standin_reply_json (
      req, 200,
      json_pack ("{s:I, s:I, s:I, s:i, s:i, s:i, s:s, s:i}", "runs",
                 (json_int_t)target.runs, "shed", (json_int_t)target.shed,
                 "cancelled", (json_int_t)target.cancelled, "running",
                 (int)target.running_count, "queued", (int)target.queued_count,
                 "running_max", (int)target.running_max, "registrar",
                 announce_registrar (target.announce), "moves",
                 (int)announce_entry_changes (target.announce)));
}

static void
on_deleted (void *ctx)
{
  (void)ctx;
  event_base_loopbreak (target.base);
}

static void
on_stop_tick (evutil_socket_t fd, short what, void *arg)
{
  struct timeval tv = { .tv_usec = 20 * 1000 };

  (void)fd;
  (void)what;
  (void)arg;
  if (target.running_count + target.queued_count > 0)
    {
      event_base_once (target.base, -1, EV_TIMEOUT, on_stop_tick, NULL, &tv);
      return;
    }
  target.stopping = true;
  announce_delete (target.announce, on_deleted, NULL);
}

static void
on_term (evutil_socket_t fd, short what, void *arg)
{
  struct timeval tv = { .tv_usec = DRAIN_MS * 1000 };

  (void)fd;
  (void)what;
  (void)arg;
  announce_drain (target.announce);
  event_base_once (target.base, -1, EV_TIMEOUT, on_stop_tick, NULL, &tv);
}

static void
usage (void)
{
  fputs ("usage: target --listen IP:PORT [--service NAME] [--slots N]\n"
         "  [--region NAME] [--failure-domain NAME] [--entry IP:PORT]...\n"
         "  [--token TEXT] [--work-ms MS] [--tail FRACTION] [--lease-ms MS]\n"
         "  [--log FILE] [--control IP:PORT] [--seed N]\n",
         stderr);
  exit (2);
}

struct options
{
  const char *listen;
  const char *control;
};

static void
set_text (char *dst, const char *src)
{
  if (!ab_chunk_copy (ab_chunk_str (src), dst, AB_ADDRESS_BYTES))
    usage ();
}

static void
set_option (int option, struct options *options)
{
  struct announce_config *config = &target.config;

  switch (option)
    {
    case 'l':
      options->listen = optarg;
      break;
    case 'c':
      options->control = optarg;
      break;
    case 's':
      set_text (config->service, optarg);
      break;
    case 'n':
      config->slots = (unsigned)strtoul (optarg, NULL, 10);
      break;
    case 'r':
      set_text (config->region, optarg);
      break;
    case 'd':
      set_text (config->failure_domain, optarg);
      break;
    case 'e':
      if (config->entry_count < ANNOUNCE_ENTRIES_MAX)
        set_text (config->entries[config->entry_count++], optarg);
      break;
    case 't':
      snprintf (config->token, sizeof config->token, "%s", optarg);
      break;
    case 'w':
      target.work_ms = strtod (optarg, NULL);
      break;
    case 'T':
      target.tail = strtod (optarg, NULL);
      break;
    case 'L':
      config->lease_ms = strtoull (optarg, NULL, 10);
      break;
    case 'o':
      target.log_fd = open (optarg, O_WRONLY | O_CREAT | O_APPEND, 0644);
      break;
    case 'S':
      ab_rng_init_seeded (&target.rng, strtoull (optarg, NULL, 10));
      break;
    default:
      usage ();
    }
}

static void
parse_options (int argc, char **argv, struct options *options)
{
  static const struct option names[]
      = { { "listen", required_argument, NULL, 'l' },
          { "control", required_argument, NULL, 'c' },
          { "service", required_argument, NULL, 's' },
          { "slots", required_argument, NULL, 'n' },
          { "region", required_argument, NULL, 'r' },
          { "failure-domain", required_argument, NULL, 'd' },
          { "entry", required_argument, NULL, 'e' },
          { "token", required_argument, NULL, 't' },
          { "work-ms", required_argument, NULL, 'w' },
          { "tail", required_argument, NULL, 'T' },
          { "lease-ms", required_argument, NULL, 'L' },
          { "log", required_argument, NULL, 'o' },
          { "seed", required_argument, NULL, 'S' },
          { NULL, 0, NULL, 0 } };
  int option;

  while ((option = getopt_long (argc, argv, "", names, NULL)) != -1)
    set_option (option, options);
  if (!options->listen || target.config.slots == 0)
    usage ();
}

/* Opens the control listener, which the fault "refuse" does not close.  */
static void
listen_control (const char *address)
{
  struct evhttp *http = evhttp_new (target.base);
  char bound[AB_ADDRESS_BYTES];

  if (standin_listen (http, address, bound) < 0)
    exit (EXIT_FAILURE);
  evhttp_set_cb (http, "/fault", on_fault, NULL);
  evhttp_set_cb (http, "/stats", on_stats, NULL);
  evhttp_set_cb (http, "/drain", on_drain, NULL);
  printf ("control %s\n", bound);
}

static void
listen_requests (const char *address)
{
  char host[AB_ADDRESS_BYTES];
  uint16_t port;

  target.http = evhttp_new (target.base);
  evhttp_set_allowed_methods (target.http,
                              EVHTTP_REQ_GET | EVHTTP_REQ_HEAD
                                  | EVHTTP_REQ_POST | EVHTTP_REQ_PUT
                                  | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
  evhttp_set_max_body_size (target.http, BODY_BYTES_MAX);
  evhttp_set_gencb (target.http, on_request, NULL);
  evhttp_set_cb (target.http, "/fault", on_fault, NULL);
  evhttp_set_cb (target.http, "/stats", on_stats, NULL);
  evhttp_set_cb (target.http, "/drain", on_drain, NULL);
  evhttp_set_cb (target.http, "/rate-limit", on_rate_limit, NULL);
  if (standin_split_address (address, host, &port) == 0)
    target.socket = evhttp_bind_socket_with_handle (target.http, host, port);
  if (!target.socket
      || standin_local_address (evhttp_bound_socket_get_fd (target.socket),
                                target.config.address)
             < 0)
    {
      fprintf (stderr, "target: cannot listen on %s\n", address);
      exit (EXIT_FAILURE);
    }
  printf ("listen %s\n", target.config.address);
}

int
main (int argc, char **argv)
{
  struct options options = { 0 };
  struct timeval tick = { .tv_usec = 50 * 1000 };
  struct event *term;
  struct event *timer;

  ab_rng_init_system (&target.rng);
  target_faults_clear (&target.faults);
  TAILQ_INIT (&target.queued);
  TAILQ_INIT (&target.running);
  parse_options (argc, argv, &options);
  target.base = standin_base_new ();
  if (!target.base || ab_crypto_init () < 0)
    return EXIT_FAILURE;
  listen_requests (options.listen);
  if (options.control)
    listen_control (options.control);
  fflush (stdout);
  target.announce = announce_new (target.base, &target.config);
  term = evsignal_new (target.base, SIGTERM, on_term, NULL);
  event_add (term, NULL);
  timer = event_new (target.base, -1, EV_PERSIST, on_tick, NULL);
  event_add (timer, &tick);
  event_base_dispatch (target.base);
  event_free (term);
  event_free (timer);
  return EXIT_SUCCESS;
}
