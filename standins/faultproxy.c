/* Fault-injecting TCP proxy for tests: delays or drops the bytes between two
   sides, in each direction separately, limits the bandwidth, and closes or
   resets connections.  Faults are set over HTTP.  */

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <getopt.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <utlist.h>

#include "clock.h"
#include "standin_lib.h"

#define PAIRS_MAX 64
/* While more bytes than this are queued in a direction, the proxy reads no
   more from the sending side.  */
#define QUEUE_BYTES_MAX (256 * 1024)
#define US_PER_S 1000000

enum direction
{
  UP,  /* From the side that connected to the proxy.  */
  DOWN /* From the side that the proxy connected to.  */
};

enum mode
{
  MODE_PASS,
  MODE_RESET, /* Existing and new connections are reset.  */
  MODE_CLOSE  /* Existing connections are closed, new ones are refused.  */
};

/* A listener and the address that its connections are forwarded to.  Arrays
   are indexed by direction.  */
struct pair
{
  char listen[AB_ADDRESS_BYTES];
  char forward[AB_ADDRESS_BYTES];
  struct evconnlistener *listener;
  enum mode mode;
  bool drop[2];
  uint64_t delay_ms[2];
  uint64_t bandwidth; /* Bytes per second in each direction; 0: no limit.  */
  uint64_t accepted;
  uint64_t bytes[2];
  uint64_t dropped_bytes[2];
  struct connection *connections;
};

/* Bytes that are queued until their delay has passed.  */
struct segment
{
  struct segment *prev;
  struct segment *next;
  uint64_t due_us;
  struct evbuffer *data; /* Null at the end of the stream.  */
};

/* One direction of a connection.  */
struct stream
{
  struct connection *connection;
  enum direction direction;
  struct bufferevent *from;
  struct bufferevent *to;
  struct event *timer;
  uint64_t last_due_us; /* Due time of the last queued segment.  */
  size_t queued_bytes;
  bool ended;
  struct segment *segments;
};

/* An accepted connection and the one to the forward address.  */
struct connection
{
  struct connection *prev;
  struct connection *next;
  struct pair *pair;
  struct bufferevent *sides[2];
  struct stream streams[2];
};

static struct event_base *base;
static struct pair pairs[PAIRS_MAX];
static size_t pair_count;

static void
free_connection (struct connection *connection, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  DL_DELETE (connection->pair->connections, connection);
  for (int i = 0; i < 2; i++)
    {
      struct stream *stream = &connection->streams[i];
      struct segment *segment;
      struct segment *safe;

      DL_FOREACH_SAFE (stream->segments, segment, safe)
      {
        if (segment->data)
          evbuffer_free (segment->data);
        free (segment);
      }
      event_free (stream->timer);
      if (reset)
        setsockopt (bufferevent_getfd (connection->sides[i]), SOL_SOCKET,
                    SO_LINGER, &linger, sizeof linger);
    }
  bufferevent_free (connection->sides[UP]);
  bufferevent_free (connection->sides[DOWN]);
  free (connection);
}

static void
free_connections (struct pair *pair, bool reset)
{
  struct connection *connection;
  struct connection *safe;

  DL_FOREACH_SAFE (pair->connections, connection, safe)
  free_connection (connection, reset);
}

static void
arm_stream (struct stream *stream)
{
  struct segment *segment = stream->segments;
  uint64_t now = ab_clock_monotonic_us ();
  uint64_t wait = segment && segment->due_us > now ? segment->due_us - now : 0;
  struct timeval tv = { .tv_sec = (time_t)(wait / US_PER_S),
                        .tv_usec = (suseconds_t)(wait % US_PER_S) };

  if (segment)
    event_add (stream->timer, &tv);
}

static void
end_stream (struct stream *stream)
{
  stream->ended = true;
  if (evbuffer_get_length (bufferevent_get_output (stream->to)) == 0)
    shutdown (bufferevent_getfd (stream->to), SHUT_WR);
}

/* Removes and returns the first segment if it is due at NOW, else null.  */
static struct segment *
pop_due_segment (struct stream *stream, uint64_t now)
{
  struct segment *segment = stream->segments;

  if (!segment || segment->due_us > now)
    return NULL;
  DL_DELETE (stream->segments, segment);
  return segment;
}

static void
on_stream_timer (evutil_socket_t fd, short what, void *arg)
{
  struct stream *stream = arg;
  uint64_t now = ab_clock_monotonic_us ();
  struct segment *segment;

  (void)fd;
  (void)what;
  while ((segment = pop_due_segment (stream, now)))
    {
      if (segment->data)
        {
          stream->queued_bytes -= evbuffer_get_length (segment->data);
          bufferevent_write_buffer (stream->to, segment->data);
          evbuffer_free (segment->data);
        }
      else
        end_stream (stream);
      free (segment);
    }
  bufferevent_enable (stream->from, EV_READ);
  arm_stream (stream);
}

/* Queues DATA, which STREAM then owns; null queues the end of the stream.  */
static void
queue_segment (struct stream *stream, struct evbuffer *data)
{
  struct pair *pair = stream->connection->pair;
  struct segment *segment = calloc (1, sizeof *segment);
  uint64_t due
      = ab_clock_monotonic_us () + pair->delay_ms[stream->direction] * 1000;
  size_t len = data ? evbuffer_get_length (data) : 0;

  if (due < stream->last_due_us)
    due = stream->last_due_us;
  if (pair->bandwidth > 0)
    due += len * US_PER_S / pair->bandwidth;
  stream->last_due_us = due;
  stream->queued_bytes += len;
  segment->due_us = due;
  segment->data = data;
  DL_APPEND (stream->segments, segment);
  if (stream->queued_bytes > QUEUE_BYTES_MAX)
    bufferevent_disable (stream->from, EV_READ);
  arm_stream (stream);
}

static struct stream *
stream_from (struct connection *connection, struct bufferevent *side)
{
  return &connection->streams[side == connection->sides[UP] ? UP : DOWN];
}

static void
on_read (struct bufferevent *side, void *arg)
{
  struct connection *connection = arg;
  struct pair *pair = connection->pair;
  struct stream *stream = stream_from (connection, side);
  struct evbuffer *input = bufferevent_get_input (side);
  size_t len = evbuffer_get_length (input);
  struct evbuffer *data;

  if (pair->drop[stream->direction])
    {
      pair->dropped_bytes[stream->direction] += len;
      evbuffer_drain (input, len);
      return;
    }
  pair->bytes[stream->direction] += len;
  data = evbuffer_new ();
  evbuffer_add_buffer (data, input);
  queue_segment (stream, data);
}

static void
on_write (struct bufferevent *side, void *arg)
{
  struct connection *connection = arg;
  struct stream *stream
      = &connection->streams[side == connection->sides[UP] ? DOWN : UP];

  if (stream->ended)
    end_stream (stream);
  if (connection->streams[UP].ended && connection->streams[DOWN].ended)
    free_connection (connection, false);
}

static void
on_event (struct bufferevent *side, short what, void *arg)
{
  struct connection *connection = arg;
  struct stream *stream = stream_from (connection, side);

  if (what & BEV_EVENT_CONNECTED)
    return;
  if ((what & BEV_EVENT_EOF) && !(what & BEV_EVENT_ERROR)
      && !connection->streams[1 - stream->direction].ended)
    {
      /* A direction that drops its bytes drops the end of the stream too.  */
      if (!connection->pair->drop[stream->direction])
        queue_segment (stream, NULL);
      return;
    }
  free_connection (connection, what & BEV_EVENT_ERROR);
}

static void
init_stream (struct connection *connection, enum direction direction)
{
  struct stream *stream = &connection->streams[direction];

  stream->connection = connection;
  stream->direction = direction;
  stream->from = connection->sides[direction];
  stream->to = connection->sides[1 - direction];
  stream->timer = evtimer_new (base, on_stream_timer, stream);
}

static void
set_no_delay (evutil_socket_t fd)
{
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int len, void *arg)
{
  struct pair *pair = arg;
  struct connection *connection;
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  struct sockaddr_storage to;
  int to_len = sizeof to;

  (void)listener;
  (void)address;
  (void)len;
  pair->accepted++;
  if (pair->mode == MODE_RESET)
    {
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      evutil_closesocket (fd);
      return;
    }
  connection = calloc (1, sizeof *connection);
  connection->pair = pair;
  DL_APPEND (pair->connections, connection);
  evutil_parse_sockaddr_port (pair->forward, (struct sockaddr *)&to, &to_len);
  connection->sides[UP]
      = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->sides[DOWN]
      = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  for (int i = 0; i < 2; i++)
    {
      init_stream (connection, i);
      bufferevent_setcb (connection->sides[i], on_read, on_write, on_event,
                         connection);
      bufferevent_enable (connection->sides[i], EV_READ | EV_WRITE);
    }
  if (bufferevent_socket_connect (connection->sides[DOWN],
                                  (struct sockaddr *)&to, to_len)
      < 0)
    {
      free_connection (connection, true);
      return;
    }
  set_no_delay (fd);
  set_no_delay (bufferevent_getfd (connection->sides[DOWN]));
}

static int
listen_pair (struct pair *pair)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char host[AB_ADDRESS_BYTES];
  uint16_t port;

  if (standin_split_address (pair->listen, host, &port) < 0
      || inet_pton (AF_INET, host, &address.sin_addr) != 1)
    return -1;
  address.sin_port = htons (port);
  pair->listener = evconnlistener_new_bind (
      base, on_accept, pair, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      (struct sockaddr *)&address, sizeof address);
  return pair->listener ? standin_local_address (
             evconnlistener_get_fd (pair->listener), pair->listen)
                        : -1;
}

static void
set_mode (struct pair *pair, const char *mode)
{
  if (strcmp (mode, "pass") == 0)
    pair->mode = MODE_PASS;
  else if (strcmp (mode, "reset") == 0)
    pair->mode = MODE_RESET;
  else if (strcmp (mode, "close") == 0)
    pair->mode = MODE_CLOSE;
  else
    return;
  if (pair->mode != MODE_PASS)
    free_connections (pair, pair->mode == MODE_RESET);
  if (pair->mode == MODE_CLOSE && pair->listener)
    {
      evconnlistener_free (pair->listener);
      pair->listener = NULL;
    }
  else if (pair->mode != MODE_CLOSE && !pair->listener)
    listen_pair (pair);
}

static void
set_drop (struct evhttp_request *req, const char *key, bool *drop)
{
  char text[16];

  standin_query_text (req, key, text, sizeof text);
  if (text[0])
    *drop = strcmp (text, "drop") == 0;
}

static void
set_pair (struct evhttp_request *req, struct pair *pair)
{
  char mode[16];

  set_drop (req, "up", &pair->drop[UP]);
  set_drop (req, "down", &pair->drop[DOWN]);
  for (int i = 0; i < 2; i++)
    pair->delay_ms[i] = (uint64_t)standin_query_number (
        req, i == UP ? "up_delay_ms" : "down_delay_ms",
        standin_query_number (req, "delay_ms", (double)pair->delay_ms[i]));
  pair->bandwidth = (uint64_t)standin_query_number (req, "bandwidth",
                                                    (double)pair->bandwidth);
  standin_query_text (req, "mode", mode, sizeof mode);
  set_mode (pair, mode);
}

static json_t *
pair_json (const struct pair *pair)
{
  static const char *const modes[] = { "pass", "reset", "close" };

  return json_pack (
      "{s:s, s:s, s:s, s:b, s:b, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
      "listen", pair->listen, "forward", pair->forward, "mode",
      modes[pair->mode], "up_drop", pair->drop[UP], "down_drop",
      pair->drop[DOWN], "up_delay_ms", (json_int_t)pair->delay_ms[UP],
      "down_delay_ms", (json_int_t)pair->delay_ms[DOWN], "bandwidth",
      (json_int_t)pair->bandwidth, "accepted", (json_int_t)pair->accepted,
      "up_bytes", (json_int_t)pair->bytes[UP], "down_bytes",
      (json_int_t)pair->bytes[DOWN], "up_dropped_bytes",
      (json_int_t)pair->dropped_bytes[UP], "down_dropped_bytes",
      (json_int_t)pair->dropped_bytes[DOWN]);
}

/* Serves /pair/N and /pair/all.  N counts from 0 in the order of the --pair
   options.  */
static void
on_control (struct evhttp_request *req, void *ctx)
{
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (req));
  json_t *list = json_array ();
  bool put = evhttp_request_get_command (req) == EVHTTP_REQ_PUT;
  bool all = strcmp (path, "/pair/all") == 0;
  size_t index = PAIRS_MAX;

  (void)ctx;
  if (!all && strncmp (path, "/pair/", 6) == 0)
    index = strtoul (path + 6, NULL, 10);
  for (size_t i = 0; i < pair_count; i++)
    if (all || i == index)
      {
        if (put)
          set_pair (req, &pairs[i]);
        json_array_append_new (list, pair_json (&pairs[i]));
      }
  standin_reply_json (req, json_array_size (list) > 0 ? 200 : 404, list);
}

static void
usage (void)
{
  fputs ("usage: faultproxy --control IP:PORT --pair LISTEN=FORWARD...\n"
         "  control: GET or PUT /pair/N or /pair/all with\n"
         "  ?mode=pass|reset|close&up=pass|drop&down=pass|drop&delay_ms=MS\n"
         "  &up_delay_ms=MS&down_delay_ms=MS&bandwidth=BYTES_A_SECOND\n",
         stderr);
  exit (2);
}

static void
add_pair (const char *text)
{
  const char *equals = strchr (text, '=');
  struct pair *pair = &pairs[pair_count];

  if (!equals || pair_count == PAIRS_MAX
      || !ab_chunk_copy (ab_chunk (text, (size_t)(equals - text)),
                         pair->listen, sizeof pair->listen)
      || !ab_chunk_copy (ab_chunk_str (equals + 1), pair->forward,
                         sizeof pair->forward)
      || !ab_address_valid (ab_chunk_str (pair->forward)))
    usage ();
  pair_count++;
}

static void
start (const char *control)
{
  struct evhttp *http = evhttp_new (base);
  char bound[AB_ADDRESS_BYTES];

  if (standin_listen (http, control, bound) < 0)
    exit (EXIT_FAILURE);
  evhttp_set_gencb (http, on_control, NULL);
  printf ("control %s\n", bound);
  for (size_t i = 0; i < pair_count; i++)
    {
      if (listen_pair (&pairs[i]) < 0)
        {
          fprintf (stderr, "faultproxy: cannot listen on %s\n",
                   pairs[i].listen);
          exit (EXIT_FAILURE);
        }
      printf ("pair %zu %s\n", i, pairs[i].listen);
    }
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  static const struct option names[]
      = { { "control", required_argument, NULL, 'c' },
          { "pair", required_argument, NULL, 'p' },
          { NULL, 0, NULL, 0 } };
  const char *control = NULL;
  int option;

  while ((option = getopt_long (argc, argv, "", names, NULL)) != -1)
    if (option == 'c')
      control = optarg;
    else if (option == 'p')
      add_pair (optarg);
    else
      usage ();
  base = standin_base_new ();
  if (!control || pair_count == 0 || !base)
    usage ();
  start (control);
  event_base_dispatch (base);
  return EXIT_SUCCESS;
}
