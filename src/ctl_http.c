#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "ctl.h"
#include "error.h"
#include "keys.h"
#include "operator_auth.h"

#define REQUEST_TIMEOUT_S 15
#define REPLY_BYTES_MAX (64 * 1024 * 1024)

/* One HTTP exchange, run to its end on an event base of its own.  */
struct exchange
{
  struct event_base *base;
  int status; /* 0 until a whole reply has arrived.  */
  struct ab_buf reply;
};

static void
on_reply (struct evhttp_request *http, void *ctx)
{
  struct exchange *exchange = ctx;

  if (http && evhttp_request_get_response_code (http) != 0)
    {
      struct evbuffer *input = evhttp_request_get_input_buffer (http);
      size_t len = evbuffer_get_length (input);
      exchange->status = evhttp_request_get_response_code (http);
      ab_buf_append (&exchange->reply, evbuffer_pullup (input, -1), len);
    }
  event_base_loopbreak (exchange->base);
}

static struct evhttp_connection *
connect_to (struct event_base *base, const char *address)
{
  char ip[AB_ADDRESS_BYTES];
  uint16_t port;
  struct evhttp_connection *connection;

  if (ab_address_split (address, ip, sizeof ip, &port) < 0)
    return NULL;
  connection = evhttp_connection_base_new (base, NULL, ip, port);
  if (connection)
    {
      evhttp_connection_set_timeout (connection, REQUEST_TIMEOUT_S);
      evhttp_connection_set_max_body_size (connection, REPLY_BYTES_MAX);
    }
  return connection;
}

/* A header whose value is hexadecimal digits.  */
static void
add_hex_header (struct evkeyvalq *headers, const char *name, const void *bytes,
                size_t size)
{
  char text[2 * AB_SIGNATURE_BYTES + 1];

  ab_hex_encode (bytes, size, text);
  evhttp_add_header (headers, name, text);
}

static void
add_signature (struct evkeyvalq *headers,
               const struct ab_operator_request *request,
               const struct ab_secret_key *key)
{
  struct ab_public_key public_key = ab_secret_key_public (key);
  struct ab_signature signature;
  char time_text[32];

  if (ab_operator_sign (request, key, &signature) < 0)
    return;
  snprintf (time_text, sizeof time_text, "%llu",
            (unsigned long long)request->time_ms);
  evhttp_add_header (headers, "Almond-Time", time_text);
  add_hex_header (headers, "Almond-Operator", public_key.bytes,
                  sizeof public_key.bytes);
  add_hex_header (headers, "Almond-Nonce", request->nonce,
                  sizeof request->nonce);
  add_hex_header (headers, "Almond-Signature", signature.bytes,
                  sizeof signature.bytes);
}

/* Sends one request; signed when SIGNED_REQUEST is given.  Returns the HTTP
   status or AB_ERR_UNAVAILABLE.  */
static int
exchange_http (const char *address, const char *method, const char *path,
               struct ab_chunk body,
               const struct ab_operator_request *signed_request,
               const struct ab_secret_key *key, struct ab_buf *reply)
{
  struct exchange exchange = { .reply = AB_BUF_INIT };
  struct evhttp_connection *connection = NULL;
  struct evhttp_request *http;
  int rc = AB_ERR_UNAVAILABLE;

  exchange.base = event_base_new ();
  if (!exchange.base)
    return AB_ERR_MEMORY;
  connection = connect_to (exchange.base, address);
  http = evhttp_request_new (on_reply, &exchange);
  if (!connection || !http)
    goto out;
  evhttp_add_header (evhttp_request_get_output_headers (http), "Host",
                     address);
  if (signed_request)
    add_signature (evhttp_request_get_output_headers (http), signed_request,
                   key);
  evbuffer_add (evhttp_request_get_output_buffer (http), body.data, body.len);
  if (evhttp_make_request (connection, http,
                           strcmp (method, "POST") == 0 ? EVHTTP_REQ_POST
                                                        : EVHTTP_REQ_GET,
                           path)
      < 0)
    goto out;
  event_base_dispatch (exchange.base);
  if (exchange.status)
    {
      rc = exchange.status;
      *reply = exchange.reply;
      exchange.reply = (struct ab_buf)AB_BUF_INIT;
    }
out:
  ab_buf_free (&exchange.reply);
  if (connection)
    evhttp_connection_free (connection);
  event_base_free (exchange.base);
  return rc;
}

/* Asks ADDRESS which process it is, for the signature.  The answer owns the
   host name.  */
static int
fetch_identity (const char *address, json_t **identity)
{
  struct ab_buf reply = AB_BUF_INIT;
  int status = exchange_http (address, "GET", "/v1/host", ab_chunk (NULL, 0),
                              NULL, NULL, &reply);

  *identity = NULL;
  if (status == HTTP_OK)
    *identity = json_loadb (reply.data, reply.len, 0, NULL);
  ab_buf_free (&reply);
  if (!json_is_string (json_object_get (*identity, "host"))
      || !json_is_integer (json_object_get (*identity, "incarnation")))
    {
      json_decref (*identity);
      *identity = NULL;
      return AB_ERR_UNAVAILABLE;
    }
  return 0;
}

static int
load_key (const struct ctl_options *options, struct ab_secret_key *key)
{
  char error[AB_CONF_ERROR_BYTES] = "";
  int rc;

  if (!options->key_file)
    {
      ctl_error ("no operator key; give --key FILE or set ALMONDCTL_KEY");
      return AB_ERR_DENIED;
    }
  rc = ab_secret_key_load (options->key_file, key, error);
  if (rc < 0)
    ctl_error ("%s", error);
  return rc;
}

int
ctl_request (const struct ctl_options *options, const char *address,
             const char *method, const char *path, struct ab_chunk body,
             json_t **reply)
{
  struct ab_operator_request request = { .method = ab_chunk_str (method),
                                         .path = ab_chunk_str (path),
                                         .body = body };
  struct ab_buf text = AB_BUF_INIT;
  struct ab_secret_key key;
  json_t *identity = NULL;
  int rc;

  *reply = NULL;
  rc = load_key (options, &key);
  if (rc < 0)
    return rc;
  rc = fetch_identity (address, &identity);
  if (rc < 0)
    {
      ctl_error ("no answer from %s", address);
      goto out;
    }
  request.host
      = ab_chunk_str (json_string_value (json_object_get (identity, "host")));
  request.incarnation = (uint64_t)json_integer_value (
      json_object_get (identity, "incarnation"));
  request.time_ms = ab_clock_wall_ms (ab_clock_system ());
  randombytes_buf (request.nonce, sizeof request.nonce);
  rc = exchange_http (address, method, path, body, &request, &key, &text);
  if (rc < 0)
    ctl_error ("no answer from %s; the outcome is not known", address);
  else
    *reply = json_loadb (text.data, text.len, 0, NULL);
out:
  json_decref (identity);
  ab_buf_free (&text);
  return rc;
}

enum ctl_exit
ctl_report (int status, const json_t *reply)
{
  const char *message = json_string_value (json_object_get (reply, "message"));

  if (status == AB_ERR_DENIED || status == AB_ERR_IO
      || status == AB_ERR_INVALID)
    return CTL_USAGE;
  if (status < 0)
    return CTL_UNREACHABLE;
  if (status == HTTP_OK)
    return CTL_OK;
  ctl_error ("%s", message ? message : "the host refused");
  if (status == 504)
    return CTL_UNREACHABLE;
  return status == HTTP_NOTFOUND ? CTL_NOT_FOUND : CTL_REFUSED;
}

enum ctl_exit
ctl_simple (const struct ctl_options *options, const char *method,
            const char *path, struct ab_chunk body)
{
  json_t *reply = NULL;
  enum ctl_exit result;
  int status;

  if (!options->host)
    {
      ctl_error ("no host; give --host IP:PORT or set ALMONDCTL_HOST");
      return CTL_USAGE;
    }
  status = ctl_request (options, options->host, method, path, body, &reply);
  result = ctl_report (status, reply);
  if (result == CTL_OK)
    ctl_print (options, reply);
  json_decref (reply);
  return result;
}

void
ctl_append_encoded (struct ab_buf *out, const char *text)
{
  char *encoded = evhttp_uriencode (text, -1, 0);

  if (encoded)
    ab_buf_append_str (out, encoded);
  free (encoded);
}
