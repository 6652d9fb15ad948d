#include "http_exchange.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include "conf.h"
#include "error.h"

#define REPLY_BYTES_MAX (64 * 1024 * 1024)

struct pending
{
  struct event_base *base;
  struct ab_buf *body;
  int status; /* 0 until a complete reply has arrived.  */
};

static const struct
{
  const char *name;
  enum evhttp_cmd_type type;
} methods[] = {
  { "GET", EVHTTP_REQ_GET },
  { "POST", EVHTTP_REQ_POST },
  { "PUT", EVHTTP_REQ_PUT },
  { "DELETE", EVHTTP_REQ_DELETE },
};

static void
on_reply (struct evhttp_request *http, void *ctx)
{
  struct pending *pending = ctx;

  if (http && evhttp_request_get_response_code (http) != 0)
    {
      struct evbuffer *input = evhttp_request_get_input_buffer (http);
      size_t len = evbuffer_get_length (input);
      pending->status = evhttp_request_get_response_code (http);
      ab_buf_append (pending->body, evbuffer_pullup (input, -1), len);
    }
  event_base_loopbreak (pending->base);
}

static int
find_method (const char *name, enum evhttp_cmd_type *type)
{
  for (size_t i = 0; i < sizeof methods / sizeof methods[0]; i++)
    if (strcmp (methods[i].name, name) == 0)
      {
        *type = methods[i].type;
        return 0;
      }
  return AB_ERR_INVALID;
}

static struct evhttp_connection *
connect_to (struct event_base *base, const struct ab_http_exchange *exchange)
{
  char ip[AB_ADDRESS_BYTES];
  uint16_t port;
  struct evhttp_connection *connection;

  if (ab_address_split (exchange->address, ip, sizeof ip, &port) < 0)
    return NULL;
  connection = evhttp_connection_base_new (base, NULL, ip, port);
  if (connection)
    {
      evhttp_connection_set_timeout (connection, exchange->timeout_s);
      evhttp_connection_set_max_body_size (connection, REPLY_BYTES_MAX);
    }
  return connection;
}

static struct evhttp_request *
make_request (const struct ab_http_exchange *exchange, struct pending *pending)
{
  struct evhttp_request *http = evhttp_request_new (on_reply, pending);
  struct evkeyvalq *headers;

  if (!http)
    return NULL;
  headers = evhttp_request_get_output_headers (http);
  evhttp_add_header (headers, "Connection", "close");
  for (size_t i = 0; i < exchange->header_count; i++)
    evhttp_add_header (headers, exchange->headers[i].name,
                       exchange->headers[i].value);
  if (!evhttp_find_header (headers, "Host"))
    evhttp_add_header (headers, "Host", exchange->address);
  evbuffer_add (evhttp_request_get_output_buffer (http), exchange->body.data,
                exchange->body.len);
  return http;
}

int
ab_http_exchange (const struct ab_http_exchange *exchange, struct ab_buf *body)
{
  struct pending pending = { .body = body };
  struct evhttp_connection *connection = NULL;
  struct evhttp_request *http;
  enum evhttp_cmd_type method;
  int rc = find_method (exchange->method, &method);

  if (rc < 0)
    return rc;
  pending.base = event_base_new ();
  if (!pending.base)
    return AB_ERR_MEMORY;
  connection = connect_to (pending.base, exchange);
  if (!connection)
    {
      rc = AB_ERR_INVALID;
      goto out;
    }
  http = make_request (exchange, &pending);
  if (!http)
    {
      rc = AB_ERR_MEMORY;
      goto out;
    }
  if (evhttp_make_request (connection, http, method, exchange->path) == 0)
    event_base_dispatch (pending.base);
  rc = pending.status ? pending.status : AB_ERR_UNAVAILABLE;
out:
  if (connection)
    evhttp_connection_free (connection);
  event_base_free (pending.base);
  return rc;
}
