/* TCP proxy for tests: delays, swallows, cuts and resets what passes between
   callers and hosts, one direction at a time, switched over HTTP.  */

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
#define WINDOW_BYTES (256 * 1024) /* Held for one direction at most.  */
#define US_PER_S 1000000

enum direction
{
  UP,  /* From the side that connected.  */
  DOWN /* From the side that was connected to.  */
};

enum mode
{
  MODE_PASS,
  MODE_RESET, /* Connections are reset, new ones at once.  */
  MODE_CLOSE  /* Connections are closed, new ones are refused.  */
};

struct pair
{
  char listen[AB_ADDRESS_BYTES];
  char forward[AB_ADDRESS_BYTES];
  struct evconnlistener *listener;
  enum mode mode;
  bool drop[2];
  uint64_t delay_ms[2];
  uint64_t bandwidth; /* Bytes a second in each direction; 0: no bound.  */
  uint64_t accepted;
  uint64_t bytes[2];
  uint64_t dropped_bytes[2];
  struct link *links;
};

/* Bytes that wait for their delay.  */
struct piece
{
  struct piece *prev;
  struct piece *next;
  uint64_t due_us;
  struct evbuffer *data; /* Null: the end of the stream.  */
};

struct stream
{
  struct link *link;
  enum direction direction;
  struct bufferevent *from;
  struct bufferevent *to;
  struct event *timer;
  uint64_t last_due_us;
  size_t held_bytes;
  bool ended;
  struct piece *pieces;
};

struct link
{
  struct link *prev;
  struct link *next;
  struct pair *pair;
  struct bufferevent *sides[2];
  struct stream streams[2];
};

static struct event_base *base;
static struct pair pairs[PAIRS_MAX];
static size_t pair_count;

static void
free_link (struct link *link, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  DL_DELETE (link->pair->links, link);
  for (int i = 0; i < 2; i++)
    {
      struct stream *stream = &link->streams[i];
      struct piece *piece;
      struct piece *safe;

      DL_FOREACH_SAFE (stream->pieces, piece, safe)
      {
        if (piece->data)
          evbuffer_free (piece->data);
        free (piece);
      }
      event_free (stream->timer);
      if (reset)
        setsockopt (bufferevent_getfd (link->sides[i]), SOL_SOCKET, SO_LINGER,
                    &linger, sizeof linger);
    }
  bufferevent_free (link->sides[UP]);
  bufferevent_free (link->sides[DOWN]);
  free (link);
}

static void
free_links (struct pair *pair, bool reset)
{
  struct link *link;
  struct link *safe;

  DL_FOREACH_SAFE (pair->links, link, safe)
  free_link (link, reset);
}

static void
arm_stream (struct stream *stream)
{
  struct piece *piece = stream->pieces;
  uint64_t now = ab_clock_monotonic_us ();
  uint64_t wait = piece && piece->due_us > now ? piece->due_us - now : 0;
  struct timeval tv = { .tv_sec = (time_t)(wait / US_PER_S),
                        .tv_usec = (suseconds_t)(wait % US_PER_S) };

  if (piece)
    event_add (stream->timer, &tv);
}

static void
end_stream (struct stream *stream)
{
  stream->ended = true;
  if (evbuffer_get_length (bufferevent_get_output (stream->to)) == 0)
    shutdown (bufferevent_getfd (stream->to), SHUT_WR);
}

/* Takes the first piece out when it is due, or returns null.  */
static struct piece *
take_due (struct stream *stream, uint64_t now)
{
  struct piece *piece = stream->pieces;

  if (!piece || piece->due_us > now)
    return NULL;
  DL_DELETE (stream->pieces, piece);
  return piece;
}

static void
on_stream_timer (evutil_socket_t fd, short what, void *arg)
{
  struct stream *stream = arg;
  uint64_t now = ab_clock_monotonic_us ();
  struct piece *piece;

  (void)fd;
  (void)what;
  while ((piece = take_due (stream, now)))
    {
      if (piece->data)
        {
          stream->held_bytes -= evbuffer_get_length (piece->data);
          bufferevent_write_buffer (stream->to, piece->data);
          evbuffer_free (piece->data);
        }
      else
        end_stream (stream);
      free (piece);
    }
  bufferevent_enable (stream->from, EV_READ);
  arm_stream (stream);
}

/* Queues DATA, or the end of the stream when it is null.  */
static void
hold (struct stream *stream, struct evbuffer *data)
{
  struct pair *pair = stream->link->pair;
  struct piece *piece = calloc (1, sizeof *piece);
  uint64_t due
      = ab_clock_monotonic_us () + pair->delay_ms[stream->direction] * 1000;
  size_t len = data ? evbuffer_get_length (data) : 0;

  if (due < stream->last_due_us)
    due = stream->last_due_us;
  if (pair->bandwidth > 0)
    due += len * US_PER_S / pair->bandwidth;
  stream->last_due_us = due;
  stream->held_bytes += len;
  piece->due_us = due;
  piece->data = data;
  DL_APPEND (stream->pieces, piece);
  if (stream->held_bytes > WINDOW_BYTES)
    bufferevent_disable (stream->from, EV_READ);
  arm_stream (stream);
}

static struct stream *
stream_from (struct link *link, struct bufferevent *side)
{
  return &link->streams[side == link->sides[UP] ? UP : DOWN];
}

static void
on_read (struct bufferevent *side, void *arg)
{
  struct link *link = arg;
  struct pair *pair = link->pair;
  struct stream *stream = stream_from (link, side);
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
  hold (stream, data);
}

static void
on_write (struct bufferevent *side, void *arg)
{
  struct link *link = arg;
  struct stream *stream = &link->streams[side == link->sides[UP] ? DOWN : UP];

  if (stream->ended)
    end_stream (stream);
  if (link->streams[UP].ended && link->streams[DOWN].ended)
    free_link (link, false);
}

static void
on_event (struct bufferevent *side, short what, void *arg)
{
  struct link *link = arg;
  struct stream *stream = stream_from (link, side);

  if (what & BEV_EVENT_CONNECTED)
    return;
  if ((what & BEV_EVENT_EOF) && !(what & BEV_EVENT_ERROR)
      && !link->streams[1 - stream->direction].ended)
    {
      /* A swallowed direction swallows its end as well.  */
      if (!link->pair->drop[stream->direction])
        hold (stream, NULL);
      return;
    }
  free_link (link, what & BEV_EVENT_ERROR);
}

static void
init_stream (struct link *link, enum direction direction)
{
  struct stream *stream = &link->streams[direction];

  stream->link = link;
  stream->direction = direction;
  stream->from = link->sides[direction];
  stream->to = link->sides[1 - direction];
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
  struct link *link;
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
  link = calloc (1, sizeof *link);
  link->pair = pair;
  DL_APPEND (pair->links, link);
  evutil_parse_sockaddr_port (pair->forward, (struct sockaddr *)&to, &to_len);
  link->sides[UP] = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  link->sides[DOWN] = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  for (int i = 0; i < 2; i++)
    {
      init_stream (link, i);
      bufferevent_setcb (link->sides[i], on_read, on_write, on_event, link);
      bufferevent_enable (link->sides[i], EV_READ | EV_WRITE);
    }
  if (bufferevent_socket_connect (link->sides[DOWN], (struct sockaddr *)&to,
                                  to_len)
      < 0)
    {
      free_link (link, true);
      return;
    }
  set_no_delay (fd);
  set_no_delay (bufferevent_getfd (link->sides[DOWN]));
}

static int
listen_pair (struct pair *pair)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  char host[AB_ADDRESS_BYTES];
  uint16_t port;

  if (standin_split (pair->listen, host, &port) < 0
      || inet_pton (AF_INET, host, &at.sin_addr) != 1)
    return -1;
  at.sin_port = htons (port);
  pair->listener = evconnlistener_new_bind (
      base, on_accept, pair, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      (struct sockaddr *)&at, sizeof at);
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
    free_links (pair, pair->mode == MODE_RESET);
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

/* /pair/N or /pair/all; N counts from 0 in the order of the options.  */
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
