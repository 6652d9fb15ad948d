#include "paired_load_lib.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "standin_lib.h"

#define TICK_US 500
#define US_PER_S 1000000ULL
#define US_PER_MS 1000.0
#define CONNECTIONS_MAX 512 /* Per side.  */
#define TIMEOUT_S 5
#define BODY "racks=1"

struct side;

/* A connection that carries one request at a time.  */
struct connection
{
  struct side *side;
  struct evhttp_connection *http;
  struct connection *next_idle;
  uint64_t sent_us;
};

/* One of the two addresses, with its connections and results.  */
struct side
{
  struct run *run;
  struct connection connections[CONNECTIONS_MAX];
  size_t connection_count;
  struct connection *idle;
  double *samples_ms;
  size_t ok;
  size_t failed;
};

struct run
{
  const struct paired_load *load;
  struct event_base *base;
  struct side sides[PAIRED_SIDES];
  struct ab_rng rng;
  uint64_t begin_us;
  size_t pairs;
  size_t pairs_max;
  size_t active;
};

/* Records a response.  A connection whose request failed is not used again, as
   it may be in any state.  */
static void
on_response (struct evhttp_request *req, void *arg)
{
  struct connection *connection = arg;
  struct side *side = connection->side;
  uint64_t now_us = ab_clock_monotonic_us ();

  side->run->active--;
  if (!req || evhttp_request_get_response_code (req) != 200)
    {
      side->failed++;
      return;
    }
  side->samples_ms[side->ok++]
      = (double)(now_us - connection->sent_us) / US_PER_MS;
  connection->next_idle = side->idle;
  side->idle = connection;
}

static struct connection *
acquire_connection (struct side *side, const char *address)
{
  struct connection *connection = side->idle;
  char host[AB_ADDRESS_BYTES];
  uint16_t port;

  if (connection)
    {
      side->idle = connection->next_idle;
      return connection;
    }
  if (side->connection_count == CONNECTIONS_MAX
      || standin_split_address (address, host, &port) < 0)
    return NULL;
  connection = &side->connections[side->connection_count++];
  connection->side = side;
  connection->http
      = evhttp_connection_base_new (side->run->base, NULL, host, port);
  evhttp_connection_set_timeout (connection->http, TIMEOUT_S);
  return connection;
}

static void
send_request (struct run *run, int index, const char *key)
{
  const struct paired_load *load = run->load;
  struct side *side = &run->sides[index];
  struct connection *connection
      = acquire_connection (side, load->addresses[index]);
  struct evhttp_request *req;
  struct evkeyvalq *headers;
  char text[256];

  if (!connection)
    {
      side->failed++;
      return;
    }
  req = evhttp_request_new (on_response, connection);
  headers = evhttp_request_get_output_headers (req);
  evhttp_add_header (headers, "Host", load->addresses[index]);
  snprintf (text, sizeof text, "Bearer %s", load->token);
  evhttp_add_header (headers, "Authorization", text);
  if (load->keyed)
    {
      evhttp_add_header (headers, "Idempotency-Key", key);
      evbuffer_add (evhttp_request_get_output_buffer (req), BODY,
                    strlen (BODY));
    }
  connection->sent_us = ab_clock_monotonic_us ();
  run->active++;
  if (evhttp_make_request (connection->http, req,
                           load->keyed ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
                           load->path)
      < 0)
    {
      run->active--;
      side->failed++;
    }
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  struct run *run = arg;
  uint64_t now_us = ab_clock_monotonic_us ();
  char key[STANDIN_UUID_BYTES];

  (void)fd;
  (void)what;
  while (run->pairs < run->pairs_max
         && run->begin_us + run->pairs * US_PER_S / run->load->rate <= now_us)
    {
      /* The sides take turns in being first, which is a slight advantage.  */
      int first = (int)(run->pairs % PAIRED_SIDES);
      standin_uuid7 (&run->rng, key);
      send_request (run, first, key);
      send_request (run, !first, key);
      run->pairs++;
    }
  if (run->pairs == run->pairs_max && run->active == 0)
    event_base_loopbreak (run->base);
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static void
summarise_side (struct side *side, int index, struct paired_result *result)
{
  result->ok[index] = side->ok;
  result->failed[index] = side->failed;
  if (side->ok == 0)
    return;
  qsort (side->samples_ms, side->ok, sizeof *side->samples_ms,
         compare_doubles);
  result->p50_ms[index] = side->samples_ms[side->ok / 2];
  result->p99_ms[index] = side->samples_ms[side->ok * 99 / 100];
}

bool
paired_load_run (const struct paired_load *load, struct paired_result *result)
{
  struct timeval tick = { .tv_usec = TICK_US };
  struct run *run = calloc (1, sizeof *run);
  struct event *ticker = NULL;
  bool good = false;

  memset (result, 0, sizeof *result);
  if (!run || !(run->base = standin_base_new ()))
    goto out;
  run->load = load;
  run->pairs_max = load->rate * load->duration_ms / 1000;
  ab_rng_init_system (&run->rng);
  for (int i = 0; i < PAIRED_SIDES; i++)
    {
      run->sides[i].run = run;
      run->sides[i].samples_ms = calloc (run->pairs_max + 1, sizeof (double));
      if (!run->sides[i].samples_ms)
        goto out;
    }
  ticker = event_new (run->base, -1, EV_PERSIST, on_tick, run);
  run->begin_us = ab_clock_monotonic_us ();
  event_add (ticker, &tick);
  event_base_dispatch (run->base);
  for (int i = 0; i < PAIRED_SIDES; i++)
    summarise_side (&run->sides[i], i, result);
  good = true;
out:
  for (int i = 0; run && i < PAIRED_SIDES; i++)
    {
      for (size_t j = 0; j < run->sides[i].connection_count; j++)
        evhttp_connection_free (run->sides[i].connections[j].http);
      free (run->sides[i].samples_ms);
    }
  if (ticker)
    event_free (ticker);
  if (run && run->base)
    event_base_free (run->base);
  free (run);
  return good;
}
