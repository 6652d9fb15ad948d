#include "standin_lib.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "clock.h"
#include "error.h"

struct event_base *
standin_base_new (void)
{
  struct event_config *config = event_config_new ();
  struct event_base *base;

  signal (SIGPIPE, SIG_IGN);
  if (!config)
    return NULL;
  event_config_set_flag (config, EVENT_BASE_FLAG_PRECISE_TIMER);
  base = event_base_new_with_config (config);
  event_config_free (config);
  return base;
}

int
standin_split_address (const char *address, char host[AB_ADDRESS_BYTES],
                       uint16_t *port)
{
  const char *colon = strrchr (address, ':');
  unsigned long long number;

  if (!colon
      || !ab_chunk_copy (ab_chunk (address, (size_t)(colon - address)), host,
                         AB_ADDRESS_BYTES)
      || !ab_chunk_to_u64 (ab_chunk_str (colon + 1), &number)
      || number > UINT16_MAX)
    return AB_ERR_INVALID;
  *port = (uint16_t)number;
  return 0;
}

int
standin_local_address (int fd, char bound[AB_ADDRESS_BYTES])
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  socklen_t len = sizeof in;
  char ip[INET_ADDRSTRLEN];

  if (getsockname (fd, (struct sockaddr *)&in, &len) < 0
      || in.sin_family != AF_INET)
    return AB_ERR_IO;
  inet_ntop (AF_INET, &in.sin_addr, ip, sizeof ip);
  snprintf (bound, AB_ADDRESS_BYTES, "%s:%u", ip, ntohs (in.sin_port));
  return 0;
}

int
standin_listen (struct evhttp *http, const char *address,
                char bound[AB_ADDRESS_BYTES])
{
  char host[AB_ADDRESS_BYTES];
  uint16_t port;
  struct evhttp_bound_socket *socket = NULL;

  if (standin_split_address (address, host, &port) == 0)
    socket = evhttp_bind_socket_with_handle (http, host, port);
  if (!socket)
    {
      fprintf (stderr, "cannot listen on %s\n", address);
      return AB_ERR_IO;
    }
  return standin_local_address (evhttp_bound_socket_get_fd (socket), bound);
}

void
standin_reply_json (struct evhttp_request *req, int code, json_t *object)
{
  struct evbuffer *body = evbuffer_new ();
  char *text = json_dumps (object, JSON_COMPACT);

  if (text)
    evbuffer_add (body, text, strlen (text));
  evhttp_add_header (evhttp_request_get_output_headers (req), "Content-Type",
                     "application/json");
  evhttp_send_reply (req, code, NULL, body);
  evbuffer_free (body);
  free (text);
  json_decref (object);
}

void
standin_query_text (struct evhttp_request *req, const char *key, char *text,
                    size_t size)
{
  const char *query
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (req));
  struct evkeyvalq params;
  const char *value;

  text[0] = '\0';
  if (!query || evhttp_parse_query_str (query, &params) < 0)
    return;
  value = evhttp_find_header (&params, key);
  if (value)
    snprintf (text, size, "%s", value);
  evhttp_clear_headers (&params);
}

double
standin_query_number (struct evhttp_request *req, const char *key,
                      double fallback)
{
  char text[32];

  standin_query_text (req, key, text, sizeof text);
  return text[0] ? strtod (text, NULL) : fallback;
}

struct json_call
{
  struct evhttp_connection *connection;
  struct event *finish;
  standin_json_callback callback;
  void *ctx;
  int status;
  json_t *body;
};

/* Ends CALL outside of evhttp's callback, in which the connection must not be
   freed.  */
static void
finish_call (evutil_socket_t fd, short what, void *arg)
{
  struct json_call *call = arg;

  (void)fd;
  (void)what;
  evhttp_connection_free (call->connection);
  event_free (call->finish);
  call->callback (call->ctx, call->status, call->body);
  json_decref (call->body);
  free (call);
}

static void
on_response (struct evhttp_request *req, void *arg)
{
  struct json_call *call = arg;
  struct evbuffer *input;
  size_t len;

  if (req)
    {
      call->status = evhttp_request_get_response_code (req);
      input = evhttp_request_get_input_buffer (req);
      len = evbuffer_get_length (input);
      if (len > 0)
        call->body
            = json_loadb ((char *)evbuffer_pullup (input, -1), len, 0, NULL);
    }
  event_active (call->finish, EV_TIMEOUT, 0);
}

static void
fill_request (struct evhttp_request *req, const char *address,
              const char *token, json_t *body)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (req);
  char line[256];
  char *text;

  evhttp_add_header (headers, "Host", address);
  evhttp_add_header (headers, "Connection", "close");
  if (token && token[0])
    {
      snprintf (line, sizeof line, "Bearer %s", token);
      evhttp_add_header (headers, "Authorization", line);
    }
  if (!body)
    return;
  evhttp_add_header (headers, "Content-Type", "application/json");
  text = json_dumps (body, JSON_COMPACT);
  evbuffer_add (evhttp_request_get_output_buffer (req), text, strlen (text));
  free (text);
  json_decref (body);
}

void
standin_request (struct event_base *base, const char *address,
                 enum evhttp_cmd_type method, const char *path,
                 const char *token, json_t *body, uint64_t timeout_ms,
                 standin_json_callback callback, void *ctx)
{
  struct json_call *call = calloc (1, sizeof *call);
  struct timeval timeout
      = { .tv_sec = timeout_ms / 1000, .tv_usec = timeout_ms % 1000 * 1000 };
  struct evhttp_request *req;
  char host[AB_ADDRESS_BYTES] = "";
  uint16_t port = 0;

  if (!call)
    abort ();
  ab_address_split (address, host, sizeof host, &port);
  call->callback = callback;
  call->ctx = ctx;
  call->connection = evhttp_connection_base_new (base, NULL, host, port);
  call->finish = event_new (base, -1, 0, finish_call, call);
  evhttp_connection_set_timeout_tv (call->connection, &timeout);
  req = evhttp_request_new (on_response, call);
  fill_request (req, address, token, body);
  /* On failure evhttp has freed the request without calling on_response.  */
  if (evhttp_make_request (call->connection, req, method, path) < 0)
    event_active (call->finish, EV_TIMEOUT, 0);
}

void
standin_uuid7 (struct ab_rng *rng, char text[STANDIN_UUID_BYTES])
{
  uint64_t ms = ab_clock_wall_ms (ab_clock_system ());
  uint64_t a = ab_rng_next (rng);
  uint64_t b = ab_rng_next (rng);

  snprintf (text, STANDIN_UUID_BYTES, "%08x-%04x-7%03x-%04x-%012llx",
            (unsigned)(ms >> 16 & 0xffffffff), (unsigned)(ms & 0xffff),
            (unsigned)(a & 0xfff), (unsigned)(0x8000 | (a >> 16 & 0x3fff)),
            (unsigned long long)(b & 0xffffffffffffULL));
}
