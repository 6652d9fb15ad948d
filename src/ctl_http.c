#include <event2/http.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "ctl.h"
#include "error.h"
#include "http_exchange.h"
#include "keys.h"
#include "operator_auth.h"

#define REQUEST_TIMEOUT_S 15
#define SIGNATURE_HEADERS 4

/* The headers that carry a signature, and the buffers of their values.  */
struct signature_headers
{
  char time[32];
  char key[2 * AB_PUBLIC_KEY_BYTES + 1];
  char nonce[2 * AB_NONCE_BYTES + 1];
  char signature[2 * AB_SIGNATURE_BYTES + 1];
  struct ab_http_header headers[SIGNATURE_HEADERS];
};

static int
sign_request (const struct ab_operator_request *request,
              const struct ab_secret_key *key, struct signature_headers *out)
{
  struct ab_public_key public_key = ab_secret_key_public (key);
  struct ab_signature signature;
  int rc = ab_operator_sign (request, key, &signature);

  if (rc < 0)
    return rc;
  snprintf (out->time, sizeof out->time, "%llu",
            (unsigned long long)request->time_ms);
  ab_hex_encode (public_key.bytes, sizeof public_key.bytes, out->key);
  ab_hex_encode (request->nonce, sizeof request->nonce, out->nonce);
  ab_hex_encode (signature.bytes, sizeof signature.bytes, out->signature);
  out->headers[0] = (struct ab_http_header){ "Almond-Time", out->time };
  out->headers[1] = (struct ab_http_header){ "Almond-Operator", out->key };
  out->headers[2] = (struct ab_http_header){ "Almond-Nonce", out->nonce };
  out->headers[3]
      = (struct ab_http_header){ "Almond-Signature", out->signature };
  return 0;
}

/* Gets the host name and incarnation of the process at ADDRESS, which the
   signature covers.  The caller owns *IDENTITY, whose strings are valid as
   long as it is.  */
static int
fetch_identity (const char *address, json_t **identity)
{
  struct ab_buf reply = AB_BUF_INIT;
  const struct ab_http_exchange exchange = { .address = address,
                                             .method = "GET",
                                             .path = "/v1/host",
                                             .timeout_s = REQUEST_TIMEOUT_S };
  int status = ab_http_exchange (&exchange, &reply);

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
      ctl_error ("no operator key; use --key FILE or set ALMONDCTL_KEY");
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
  struct signature_headers signature;
  struct ab_http_exchange exchange = { .address = address,
                                       .method = method,
                                       .path = path,
                                       .headers = signature.headers,
                                       .header_count = SIGNATURE_HEADERS,
                                       .body = body,
                                       .timeout_s = REQUEST_TIMEOUT_S };
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
      ctl_error ("no reply from %s", address);
      goto out;
    }
  request.host
      = ab_chunk_str (json_string_value (json_object_get (identity, "host")));
  request.incarnation = (uint64_t)json_integer_value (
      json_object_get (identity, "incarnation"));
  request.time_ms = ab_clock_wall_ms (ab_clock_system ());
  randombytes_buf (request.nonce, sizeof request.nonce);
  rc = sign_request (&request, &key, &signature);
  if (rc < 0)
    goto out;
  rc = ab_http_exchange (&exchange, &text);
  if (rc < 0)
    ctl_error ("no reply from %s; the outcome is not known", address);
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
  ctl_error ("%s", message ? message : "the host refused the request");
  if (status == 504)
    return CTL_UNREACHABLE;
  return status == HTTP_NOTFOUND ? CTL_NOT_FOUND : CTL_REFUSED;
}

enum ctl_exit
ctl_send_and_print (const struct ctl_options *options, const char *method,
                    const char *path, struct ab_chunk body)
{
  json_t *reply = NULL;
  enum ctl_exit result;
  int status;

  if (!options->host)
    {
      ctl_error ("no host; use --host IP:PORT or set ALMONDCTL_HOST");
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
