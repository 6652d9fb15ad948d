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
#define CONNECTIONS_MAX 512 /* Of one side.  */
#define TIMEOUT_S 5
#define BODY "racks=1"

struct side;

/* A connection, used by one request at a time.  */
struct lane
{
  struct side *side;
  struct evhttp_connection *connection;
  struct lane *next_idle;
  uint64_t sent_us;
};

struct side
{
  struct run *run;
  struct lane lanes[CONNECTIONS_MAX];
  size_t lane_count;
  struct lane *idle;
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

/* A lane whose request failed is not used again: its connection may be in any
   state.  */
static void
on_response (struct evhttp_request *req, void *arg)
{
  struct lane *lane = arg;
  struct side *side = lane->side;
  uint64_t now_us = ab_clock_monotonic_us ();

  side->run->active--;
  if (!req || evhttp_request_get_response_code (req) != 200)
    {
      side->failed++;
      return;
    }
  side->samples_ms[side->ok++] = (double)(now_us - lane->sent_us) / US_PER_MS;
  lane->next_idle = side->idle;
  side->idle = lane;
}

static struct lane *
take_lane (struct side *side, const char *address)
{
  struct lane *lane = side->idle;
  char host[AB_ADDRESS_BYTES];
  uint16_t port;

  if (lane)
    {
      side->idle = lane->next_idle;
      return lane;
    }
  if (side->lane_count == CONNECTIONS_MAX
      || standin_split (address, host, &port) < 0)
    return NULL;
  lane = &side->lanes[side->lane_count++];
  lane->side = side;
  lane->connection
      = evhttp_connection_base_new (side->run->base, NULL, host, port);
  evhttp_connection_set_timeout (lane->connection, TIMEOUT_S);
  return lane;
}

static void
send_one (struct run *run, int index, const char *key)
{
  const struct paired_load *load = run->load;
  struct side *side = &run->sides[index];
  struct lane *lane = take_lane (side, load->addresses[index]);
  struct evhttp_request *req;
  struct evkeyvalq *headers;
  char text[256];

  if (!lane)
    {
      side->failed++;
      return;
    }
  req = evhttp_request_new (on_response, lane);
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
  lane->sent_us = ab_clock_monotonic_us ();
  run->active++;
  if (evhttp_make_request (lane->connection, req,
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
      /* The side that is sent first changes, as it has a slight advantage.  */
      int first = (int)(run->pairs % PAIRED_SIDES);
      standin_uuid7 (&run->rng, key);
      send_one (run, first, key);
      send_one (run, !first, key);
      run->pairs++;
    }
  if (run->pairs == run->pairs_max && run->active == 0)
    event_base_loopbreak (run->base);
}

static int
compare (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static void
read_side (struct side *side, int index, struct paired_result *result)
{
  result->ok[index] = side->ok;
  result->failed[index] = side->failed;
  if (side->ok == 0)
    return;
  qsort (side->samples_ms, side->ok, sizeof *side->samples_ms, compare);
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
    read_side (&run->sides[i], i, result);
  good = true;
out:
  for (int i = 0; run && i < PAIRED_SIDES; i++)
    {
      for (size_t j = 0; j < run->sides[i].lane_count; j++)
        evhttp_connection_free (run->sides[i].lanes[j].connection);
      free (run->sides[i].samples_ms);
    }
  if (ticker)
    event_free (ticker);
  if (run && run->base)
    event_base_free (run->base);
  free (run);
  return good;
}
