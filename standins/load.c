/* Load generator: looks up a service's addresses at entry hosts, sends
   requests there at a fixed rate or concurrency, checks every response, and
   prints the results as one line of JSON.  */

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/queue.h>
#include <sys/resource.h>

#include "address_lib.h"
#include "clock.h"
#include "digest.h"
#include "load_report_lib.h"

#define CLASSES_MAX 8
#define BODY_BYTES_MAX (1024 * 1024)
#define RESPONSE_BYTES_MAX (16 * 1024 * 1024)
#define RESEND_DELAY_MS 100
#define TICK_US 1000
#define US_PER_S 1000000.0

struct load_class
{
  char method[8];
  char path[256];
  bool keyed;
  double weight;
  struct load_counts counts;
};

/* A connection that carries one request at a time.  */
struct connection
{
  TAILQ_ENTRY (connection) next;
  struct evhttp_connection *http;
  struct event *free_event; /* Frees the connection from the event loop.  */
  char address[AB_ADDRESS_BYTES];
};

TAILQ_HEAD (connection_list, connection);

/* A request with its retries.  */
struct call
{
  struct load_class *load_class;
  struct connection *connection;
  struct event *timer; /* Delay before a retry.  */
  char id[STANDIN_UUID_BYTES];
  char key[STANDIN_UUID_BYTES];
  char digest[2 * AB_DIGEST_BYTES + 1];
  char *body;
  uint64_t scheduled_us; /* Latency is measured from here.  */
  unsigned attempt;      /* 0 for the first.  */
};

struct load
{
  struct event_base *base;
  struct event *ticker;
  struct address_cache cache;
  struct load_class classes[CLASSES_MAX];
  size_t class_count;
  struct load_counts total;
  struct connection_list idle;
  size_t connection_count;
  size_t connections_max;
  size_t active; /* Number of calls that have not ended.  */
  uint64_t started;
  uint64_t count; /* Maximum number of calls; 0: no limit.  */
  double rate;    /* Calls per second; 0: keep CONCURRENCY in progress.  */
  unsigned concurrency;
  uint64_t duration_us;
  uint64_t begin_us;
  uint64_t timeout_ms;
  unsigned resend; /* Maximum number of retries of a keyed call.  */
  size_t body_bytes;
  const char *fixed_body;
  const char *token;
  FILE *journal;
  struct ab_rng rng;
};

static struct load load = { .timeout_ms = 2000,
                            .duration_us = 10 * 1000000ULL,
                            .connections_max = 1024,
                            .body_bytes = 64 };

static void send_call (struct call *call);

static void
on_free_event (evutil_socket_t fd, short what, void *arg)
{
  struct connection *connection = arg;

  (void)fd;
  (void)what;
  evhttp_connection_free (connection->http);
  event_free (connection->free_event);
  free (connection);
  load.connection_count--;
}

/* Keeps CONNECTION for another request if KEEP is true and its address is
   still the preferred one, else frees it.  KEEP must be false after a response
   with "Connection: close", as evhttp would reconnect to a host that wants its
   callers to use another.  */
static void
release_connection (struct connection *connection, bool keep)
{
  const char *address = address_cache_get (&load.cache);

  if (keep && address && strcmp (address, connection->address) == 0)
    TAILQ_INSERT_HEAD (&load.idle, connection, next);
  else
    event_active (connection->free_event, EV_TIMEOUT, 0);
}

static struct connection *
new_connection (const char *address)
{
  struct connection *connection;
  char host[AB_ADDRESS_BYTES];
  uint16_t port;
  struct timeval timeout = { .tv_sec = (time_t)(load.timeout_ms / 1000 + 1) };

  if (load.connection_count >= load.connections_max
      || ab_address_split (address, host, sizeof host, &port) < 0)
    return NULL;
  connection = calloc (1, sizeof *connection);
  snprintf (connection->address, sizeof connection->address, "%s", address);
  connection->free_event
      = event_new (load.base, -1, 0, on_free_event, connection);
  connection->http = evhttp_connection_base_new (load.base, NULL, host, port);
  evhttp_connection_set_timeout_tv (connection->http, &timeout);
  evhttp_connection_set_max_body_size (connection->http, RESPONSE_BYTES_MAX);
  load.connection_count++;
  return connection;
}

static struct connection *
acquire_connection (void)
{
  const char *address = address_cache_get (&load.cache);
  struct connection *connection;

  while ((connection = TAILQ_FIRST (&load.idle)))
    {
      TAILQ_REMOVE (&load.idle, connection, next);
      if (address && strcmp (address, connection->address) == 0)
        return connection;
      event_active (connection->free_event, EV_TIMEOUT, 0);
    }
  return address ? new_connection (address) : NULL;
}

static void
free_call (struct call *call)
{
  event_free (call->timer);
  free (call->body);
  free (call);
  load.active--;
}

static void
count_failure (struct load_counts *counts, enum load_verdict verdict,
               int status, bool cut)
{
  counts->failed[verdict]++;
  if (cut)
    counts->cut++;
  if (status > 0 && status < LOAD_STATUS_MAX)
    counts->statuses[status]++;
}

static void
write_journal (const struct call *call, enum load_verdict verdict, int status)
{
  if (load.journal && call->load_class->keyed)
    fprintf (load.journal, "%s %u %s %d\n", call->key, call->attempt,
             load_verdict_name (verdict), status);
}

static void
complete_call (struct call *call, bool replayed)
{
  struct load_counts *counts[] = { &load.total, &call->load_class->counts };
  uint64_t latency = ab_clock_monotonic_us () - call->scheduled_us;

  write_journal (call, LOAD_RAN, 200);
  for (int i = 0; i < 2; i++)
    {
      counts[i]->ok++;
      counts[i]->replayed += replayed;
      ab_histogram_add (counts[i]->latency, latency);
    }
  free_call (call);
}

static void
retry_or_fail (struct call *call, enum load_verdict verdict, int status,
               bool cut)
{
  struct timeval delay = { .tv_usec = RESEND_DELAY_MS * 1000L };

  write_journal (call, verdict, status);
  if (call->load_class->keyed && verdict != LOAD_RAN
      && call->attempt < load.resend)
    {
      call->attempt++;
      load.total.resent++;
      call->load_class->counts.resent++;
      event_add (call->timer, &delay);
      return;
    }
  count_failure (&load.total, verdict, status, cut);
  count_failure (&call->load_class->counts, verdict, status, cut);
  free_call (call);
}

static bool
member_equals (const json_t *object, const char *key, const char *value)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text && strcmp (text, value) == 0;
}

/* Returns whether the target's echo is complete and belongs to CALL.  The
   request identifier is not compared for replayed responses and retries, as a
   recorded response has the identifier of the attempt that ran.  */
static bool
echo_matches (const struct call *call, struct evhttp_request *req,
              bool replayed)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (req);
  size_t len = evbuffer_get_length (input);
  json_t *object = NULL;
  bool good;

  if (strcmp (call->load_class->method, "HEAD") == 0)
    return true;
  if (len > 0)
    object = json_loadb ((char *)evbuffer_pullup (input, -1), len, 0, NULL);
  good = object && member_equals (object, "digest", call->digest)
         && member_equals (object, "key",
                           call->load_class->keyed ? call->key : "")
         && (replayed || call->attempt > 0
             || member_equals (object, "request_id", call->id));
  json_decref (object);
  return good;
}

static bool
wants_close (struct evkeyvalq *headers)
{
  const char *value = evhttp_find_header (headers, "Connection");

  return value && evutil_ascii_strcasecmp (value, "close") == 0;
}

/* Counts an error response by its code, even if the call is retried.  */
static void
count_error_code (struct call *call, struct evhttp_request *req)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (req);
  size_t len = evbuffer_get_length (input);
  json_t *object = len > 0 ? json_loadb ((char *)evbuffer_pullup (input, -1),
                                         len, 0, NULL)
                           : NULL;
  const char *code = json_string_value (json_object_get (object, "code"));

  load_counts_add_error (&load.total, code ? code : "none");
  load_counts_add_error (&call->load_class->counts, code ? code : "none");
  json_decref (object);
}

static void
handle_response (struct call *call, struct evhttp_request *req, int status)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (req);
  enum load_verdict verdict
      = load_verdict_parse (evhttp_find_header (headers, "Almond-Verdict"));
  bool replayed = evhttp_find_header (headers, "Idempotent-Replayed");

  release_connection (call->connection, !wants_close (headers));
  if (status != 200)
    {
      count_error_code (call, req);
      retry_or_fail (call, verdict, status, false);
      return;
    }
  if (!echo_matches (call, req, replayed))
    {
      load.total.wrong++;
      call->load_class->counts.wrong++;
      fprintf (stderr, "wrong response to request %s with key %s\n", call->id,
               call->key);
      retry_or_fail (call, LOAD_RAN, status, false);
      return;
    }
  complete_call (call, replayed);
}

/* evhttp passes a null request when the connection was lost, and a request
   without a status code when it could not connect.  */
static void
on_response (struct evhttp_request *req, void *arg)
{
  struct call *call = arg;
  int status = req ? evhttp_request_get_response_code (req) : 0;

  if (status > 0)
    {
      handle_response (call, req, status);
      return;
    }
  address_cache_report_failure (&load.cache, call->connection->address);
  release_connection (call->connection, false);
  retry_or_fail (call, req ? LOAD_NOT_RUN : LOAD_NO_VERDICT, 0, !req);
}

static void
add_headers (const struct call *call, struct evkeyvalq *headers)
{
  char text[512];

  evhttp_add_header (headers, "Host", call->connection->address);
  evhttp_add_header (headers, "X-Request-Id", call->id);
  snprintf (text, sizeof text, "%llu", (unsigned long long)load.timeout_ms);
  evhttp_add_header (headers, "Request-Timeout-Ms", text);
  if (call->load_class->keyed)
    evhttp_add_header (headers, "Idempotency-Key", call->key);
  if (!load.token)
    return;
  snprintf (text, sizeof text, "Bearer %s", load.token);
  evhttp_add_header (headers, "Authorization", text);
}

static enum evhttp_cmd_type
parse_method (const char *method)
{
  static const struct
  {
    const char *name;
    enum evhttp_cmd_type type;
  } types[]
      = { { "GET", EVHTTP_REQ_GET },       { "HEAD", EVHTTP_REQ_HEAD },
          { "POST", EVHTTP_REQ_POST },     { "PUT", EVHTTP_REQ_PUT },
          { "DELETE", EVHTTP_REQ_DELETE }, { "PATCH", EVHTTP_REQ_PATCH } };

  for (size_t i = 0; i < sizeof types / sizeof types[0]; i++)
    if (strcmp (types[i].name, method) == 0)
      return types[i].type;
  return EVHTTP_REQ_GET;
}

static void
send_call (struct call *call)
{
  struct evhttp_request *req;

  call->connection = acquire_connection ();
  if (!call->connection)
    {
      load.total.skipped++;
      call->load_class->counts.skipped++;
      retry_or_fail (call, LOAD_NOT_RUN, 0, false);
      return;
    }
  req = evhttp_request_new (on_response, call);
  add_headers (call, evhttp_request_get_output_headers (req));
  if (call->body[0])
    evbuffer_add (evhttp_request_get_output_buffer (req), call->body,
                  strlen (call->body));
  if (evhttp_make_request (call->connection->http, req,
                           parse_method (call->load_class->method),
                           call->load_class->path)
      < 0)
    {
      release_connection (call->connection, false);
      retry_or_fail (call, LOAD_NOT_RUN, 0, false);
    }
}

static void
on_resend (evutil_socket_t fd, short what, void *arg)
{
  struct call *call = arg;

  (void)fd;
  (void)what;
  /* Each attempt has its own identifier, so that explanations of requests can
     tell the attempts apart.  */
  standin_uuid7 (&load.rng, call->id);
  send_call (call);
}

static struct load_class *
pick_class (void)
{
  double total = 0;
  double draw;

  for (size_t i = 0; i < load.class_count; i++)
    total += load.classes[i].weight;
  draw = ab_rng_unit (&load.rng) * total;
  for (size_t i = 0; i + 1 < load.class_count; i++)
    if ((draw -= load.classes[i].weight) < 0)
      return &load.classes[i];
  return &load.classes[load.class_count - 1];
}

static char *
make_body (const struct call *call)
{
  const char *method = call->load_class->method;
  size_t len = load.body_bytes > STANDIN_UUID_BYTES ? load.body_bytes
                                                    : STANDIN_UUID_BYTES;
  char *body;

  if (strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0
      || strcmp (method, "DELETE") == 0)
    return calloc (1, 1);
  if (load.fixed_body)
    return strdup (load.fixed_body);
  body = malloc (len + 1);
  memset (body, '.', len);
  memcpy (body, call->id, STANDIN_UUID_BYTES - 1);
  body[len] = '\0';
  return body;
}

static void
start_call (uint64_t scheduled_us)
{
  struct call *call = calloc (1, sizeof *call);
  struct ab_digest digest;

  call->load_class = pick_class ();
  call->scheduled_us = scheduled_us;
  call->timer = evtimer_new (load.base, on_resend, call);
  standin_uuid7 (&load.rng, call->id);
  standin_uuid7 (&load.rng, call->key);
  call->body = make_body (call);
  digest = ab_digest_of (ab_chunk_str (call->body));
  ab_hex_encode (digest.bytes, sizeof digest.bytes, call->digest);
  load.started++;
  load.active++;
  load.total.sent++;
  call->load_class->counts.sent++;
  send_call (call);
}

static bool
may_start_call (uint64_t now)
{
  return now - load.begin_us < load.duration_us
         && (load.count == 0 || load.started < load.count);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  uint64_t now = ab_clock_monotonic_us ();

  (void)fd;
  (void)what;
  (void)arg;
  if (!address_cache_get (&load.cache) && load.started == 0)
    {
      /* The run starts once an address is known.  Gives up if that takes
         longer than the duration of the run.  */
      if (now - load.begin_us > load.duration_us)
        event_base_loopbreak (load.base);
      return;
    }
  if (load.started == 0)
    load.begin_us = now;
  while (may_start_call (now))
    {
      uint64_t due = load.begin_us;

      if (load.rate > 0)
        due += (uint64_t)((double)load.started * US_PER_S / load.rate);
      if (due > now || (load.rate <= 0 && load.active >= load.concurrency))
        break;
      start_call (load.rate > 0 ? due : now);
    }
  if (!may_start_call (now) && load.active == 0)
    event_base_loopbreak (load.base);
}

static void
usage (void)
{
  fputs (
      "usage: load --entry IP:PORT... --service NAME | --address IP:PORT...\n"
      "  [--failure-domain NAME] [--class NAME:METHOD:PATH:KIND:WEIGHT]...\n"
      "  [--rate PER_SECOND | --concurrency N] [--duration-ms MS]\n"
      "  [--count N] [--timeout-ms MS] [--token TEXT] [--resend TIMES]\n"
      "  [--body-bytes N] [--fixed-body TEXT] [--connections N]\n"
      "  [--journal FILE] [--seed N]\n"
      "  KIND is idempotent or keyed\n",
      stderr);
  exit (2);
}

static void
add_class (const char *text)
{
  struct load_class *class = &load.classes[load.class_count];
  char name[LOAD_NAME_BYTES];
  char kind[16];

  if (load.class_count == CLASSES_MAX
      || sscanf (text, "%63[^:]:%7[^:]:%255[^:]:%15[^:]:%lf", name,
                 class->method, class->path, kind, &class->weight)
             != 5)
    usage ();
  class->keyed = strcmp (kind, "keyed") == 0;
  load_counts_init (&class->counts, name);
  load.class_count++;
}

static void
set_text (char *dst, size_t size, const char *src)
{
  if (!ab_chunk_copy (ab_chunk_str (src), dst, size))
    usage ();
}

static void
set_number (int option, unsigned long long value)
{
  switch (option)
    {
    case 'n':
      load.concurrency = (unsigned)value;
      break;
    case 'D':
      load.duration_us = value * 1000;
      break;
    case 'N':
      load.count = value;
      break;
    case 'm':
      load.timeout_ms = value;
      break;
    case 'a':
      load.resend = (unsigned)value;
      break;
    case 'b':
      load.body_bytes = value < BODY_BYTES_MAX ? value : BODY_BYTES_MAX;
      break;
    case 'x':
      load.connections_max = value;
      break;
    case 'S':
      ab_rng_init_seeded (&load.rng, value);
      break;
    default:
      usage ();
    }
}

static void
set_option (int option)
{
  struct address_cache *cache = &load.cache;

  switch (option)
    {
    case 'e':
      if (cache->entry_count == ADDRESS_ENTRIES_MAX)
        usage ();
      set_text (cache->entries[cache->entry_count++], AB_ADDRESS_BYTES,
                optarg);
      break;
    case 'A':
      if (cache->address_count == ADDRESS_MAX)
        usage ();
      set_text (cache->addresses[cache->address_count++], AB_ADDRESS_BYTES,
                optarg);
      break;
    case 's':
      set_text (cache->service, sizeof cache->service, optarg);
      break;
    case 'd':
      set_text (cache->failure_domain, sizeof cache->failure_domain, optarg);
      break;
    case 'c':
      add_class (optarg);
      break;
    case 'r':
      load.rate = strtod (optarg, NULL);
      break;
    case 't':
      load.token = optarg;
      break;
    case 'f':
      load.fixed_body = optarg;
      break;
    case 'j':
      load.journal = fopen (optarg, "ae");
      break;
    default:
      set_number (option, option == '?' ? 0 : strtoull (optarg, NULL, 10));
    }
}

static void
parse_options (int argc, char **argv)
{
  static const struct option names[]
      = { { "entry", required_argument, NULL, 'e' },
          { "address", required_argument, NULL, 'A' },
          { "service", required_argument, NULL, 's' },
          { "failure-domain", required_argument, NULL, 'd' },
          { "class", required_argument, NULL, 'c' },
          { "rate", required_argument, NULL, 'r' },
          { "concurrency", required_argument, NULL, 'n' },
          { "duration-ms", required_argument, NULL, 'D' },
          { "count", required_argument, NULL, 'N' },
          { "timeout-ms", required_argument, NULL, 'm' },
          { "token", required_argument, NULL, 't' },
          { "resend", required_argument, NULL, 'a' },
          { "body-bytes", required_argument, NULL, 'b' },
          { "fixed-body", required_argument, NULL, 'f' },
          { "connections", required_argument, NULL, 'x' },
          { "journal", required_argument, NULL, 'j' },
          { "seed", required_argument, NULL, 'S' },
          { NULL, 0, NULL, 0 } };
  int option;

  while ((option = getopt_long (argc, argv, "", names, NULL)) != -1)
    set_option (option);
  if (load.cache.entry_count == 0 ? load.cache.address_count == 0
                                  : !load.cache.service[0])
    usage ();
  if (load.class_count == 0)
    add_class ("default:GET:/:idempotent:1");
  if (load.rate <= 0 && load.concurrency == 0)
    load.concurrency = 1;
}

static void
print_report (void)
{
  uint64_t duration = ab_clock_monotonic_us () - load.begin_us;
  json_t *report = load_counts_json (&load.total, duration);
  json_t *classes = json_object ();

  for (size_t i = 0; i < load.class_count; i++)
    json_object_set_new (classes, load.classes[i].counts.name,
                         load_counts_json (&load.classes[i].counts, duration));
  json_object_set_new (report, "duration_ms",
                       json_integer ((json_int_t)(duration / 1000)));
  json_object_set_new (report, "address_answers",
                       json_integer ((json_int_t)load.cache.answers));
  json_object_set_new (report, "classes", classes);
  json_dumpf (report, stdout, JSON_COMPACT);
  putchar ('\n');
  json_decref (report);
}

int
main (int argc, char **argv)
{
  struct timeval tick = { .tv_usec = TICK_US };

  ab_rng_init_system (&load.rng);
  TAILQ_INIT (&load.idle);
  load_counts_init (&load.total, "total");
  parse_options (argc, argv);
  load.base = standin_base_new ();
  if (!load.base || ab_crypto_init () < 0)
    return EXIT_FAILURE;
  load.cache.base = load.base;
  load.begin_us = ab_clock_monotonic_us ();
  address_cache_start (&load.cache);
  load.ticker = event_new (load.base, -1, EV_PERSIST, on_tick, NULL);
  event_add (load.ticker, &tick);
  event_base_dispatch (load.base);
  print_report ();
  if (load.journal)
    fclose (load.journal);
  return load.total.wrong > 0 || load.started == 0 ? EXIT_FAILURE
                                                   : EXIT_SUCCESS;
}
