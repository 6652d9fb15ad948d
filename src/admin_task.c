#include "admin_task.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "admin_reply.h"
#include "bundle_task.h"
#include "clock.h"
#include "conn_bounds_task.h"
#include "control_client.h"
#include "control_task.h"
#include "dispatch_task.h"
#include "error.h"
#include "limit_task.h"
#include "log.h"
#include "member_task.h"
#include "operator_auth.h"
#include "peer_task.h"
#include "proxy_task.h"
#include "stop_task.h"

#define ADMIN_BODY_BYTES_MAX (1024 * 1024)
#define ADMIN_HEADER_BYTES_MAX 16384
#define ADMIN_TIMEOUT_S 30
#define MESSAGE_BYTES 512

struct ab_admin_task
{
  struct ab_daemon *daemon;
  struct evhttp *http;
  struct ab_operator_auth *auth;
};

struct admin_route
{
  enum evhttp_cmd_type method;
  const char *path;
  ab_admin_handler handler;
};

static const struct admin_route routes[] = {
  { EVHTTP_REQ_GET, "/v1/state", ab_admin_get_state },
  { EVHTTP_REQ_GET, "/v1/hosts", ab_admin_get_hosts },
  { EVHTTP_REQ_GET, "/v1/targets", ab_admin_get_targets },
  { EVHTTP_REQ_GET, "/v1/services", ab_admin_get_services },
  { EVHTTP_REQ_GET, "/v1/explain/request", ab_admin_get_explain_request },
  { EVHTTP_REQ_GET, "/v1/explain/target", ab_admin_get_explain_target },
  { EVHTTP_REQ_GET, "/v1/bundle", ab_admin_get_bundle },
  { EVHTTP_REQ_GET, "/v1/bundle/history", ab_admin_get_history },
  { EVHTTP_REQ_POST, "/v1/bundle", ab_admin_post_bundle },
  { EVHTTP_REQ_POST, "/v1/drain", ab_admin_post_drain },
  { EVHTTP_REQ_POST, "/v1/undrain", ab_admin_post_undrain },
  { EVHTTP_REQ_POST, "/v1/stop", ab_admin_post_stop },
  { EVHTTP_REQ_POST, "/v1/quarantine/release", ab_admin_post_release },
  { EVHTTP_REQ_POST, "/v1/members", ab_admin_post_members },
};

void
ab_admin_reply_json (struct evhttp_request *http, int status, json_t *value)
{
  char *text = value ? json_dumps (value, JSON_COMPACT) : NULL;

  evhttp_add_header (evhttp_request_get_output_headers (http), "Content-Type",
                     "application/json");
  if (text)
    evbuffer_add_printf (evhttp_request_get_output_buffer (http), "%s\n",
                         text);
  evhttp_send_reply (http, text ? status : HTTP_INTERNAL, NULL, NULL);
  free (text);
  json_decref (value);
}

void
ab_admin_reply_error (struct evhttp_request *http, int status,
                      const char *code, const char *format, ...)
{
  char message[MESSAGE_BYTES];
  va_list args;

  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  ab_admin_reply_json (
      http, status,
      json_pack ("{s:s, s:s}", "code", code, "message", message));
}

/* HTTP status and stable error code for each error number.  */
static const struct
{
  int rc;
  int status;
  const char *code;
} error_replies[] = {
  { AB_ERR_INVALID, 400, "invalid" },
  { AB_ERR_TOO_LARGE, 413, "too_large" },
  { AB_ERR_DENIED, 403, "denied" },
  { AB_ERR_NOT_FOUND, 404, "not_found" },
  { AB_ERR_CONFLICT, 409, "conflict" },
  { AB_ERR_EXISTS, 409, "exists" },
  { AB_ERR_STALE, 409, "stale" },
  { AB_ERR_BUSY, 409, "busy" },
  { AB_ERR_TIMEOUT, 504, "outcome_unknown" },
  { AB_ERR_FULL, 503, "no_capacity" },
  { AB_ERR_UNAVAILABLE, 503, "unavailable" },
};

void
ab_admin_reply_result (struct evhttp_request *http, int rc,
                       struct ab_chunk message)
{
  int status = HTTP_INTERNAL;
  const char *code = "error";

  if (message.len == 0)
    message = ab_chunk_str (ab_strerror (rc));
  if (rc == 0)
    {
      ab_admin_reply_json (
          http, HTTP_OK,
          json_pack ("{s:s%}", "message", message.data, message.len));
      return;
    }
  for (size_t i = 0; i < sizeof error_replies / sizeof error_replies[0]; i++)
    if (error_replies[i].rc == rc)
      {
        status = error_replies[i].status;
        code = error_replies[i].code;
      }
  ab_admin_reply_error (http, status, code, "%.*s", AB_CHUNK_ARGS (message));
}

bool
ab_admin_parameter (struct evhttp_request *http, const char *name, char *text,
                    size_t size)
{
  const char *query
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (http));
  struct evkeyvalq parameters;
  const char *value;
  bool found = false;

  if (!query || evhttp_parse_query_str (query, &parameters) < 0)
    return false;
  value = evhttp_find_header (&parameters, name);
  if (value)
    found = ab_chunk_copy (ab_chunk_str (value), text, size);
  evhttp_clear_headers (&parameters);
  return found;
}

static json_t *
host_state (const struct ab_daemon *daemon)
{
  const struct ab_settings *s = daemon->settings;

  return json_pack ("{s:s, s:s, s:s, s:s, s:I, s:I, s:s}", "host", s->host,
                    "role", ab_role_name (s->role), "region", s->region,
                    "failure_domain", s->failure_domain, "incarnation",
                    (json_int_t)daemon->incarnation, "time_ms",
                    (json_int_t)ab_clock_wall_ms (ab_clock_system ()),
                    "version", AB_VERSION);
}

json_t *
ab_admin_state (const struct ab_daemon *daemon)
{
  json_t *state = json_object ();

  json_object_set_new (state, "host", host_state (daemon));
  json_object_set_new (state, "stop", ab_stop_task_state (daemon->stop));
  json_object_set_new (state, "peers", ab_peer_task_state (daemon->peer));
  json_object_set_new (state, "membership",
                       ab_member_task_state (daemon->member));
  json_object_set_new (state, "bundle", ab_bundle_task_state (daemon->bundle));
  json_object_set_new (state, "control_client",
                       ab_control_client_state (daemon->control_client));
  if (daemon->control)
    json_object_set_new (state, "control",
                         ab_control_task_state (daemon->control));
  if (daemon->dispatch)
    json_object_set_new (state, "dispatch",
                         ab_dispatch_task_state (daemon->dispatch));
  if (daemon->limit)
    json_object_set_new (state, "limits", ab_limit_task_state (daemon->limit));
  if (daemon->proxy)
    json_object_set_new (state, "proxy", ab_proxy_task_state (daemon->proxy));
  return state;
}

void
ab_admin_log_state (const struct ab_daemon *daemon)
{
  json_t *state = ab_admin_state (daemon);
  const char *part;
  json_t *value;

  json_object_foreach (state, part, value)
  {
    char *text = json_dumps (value, JSON_COMPACT);
    AB_LOG (AB_LOG_INFO, "state_dump", ab_log_str ("part", part),
            ab_log_str ("state", text ? text : ""));
    free (text);
  }
  json_decref (state);
}

static void
on_host (struct evhttp_request *http, void *ctx)
{
  struct ab_admin_task *task = ctx;

  ab_admin_reply_json (http, HTTP_OK, host_state (task->daemon));
}

static void
on_metrics (struct evhttp_request *http, void *ctx)
{
  struct ab_admin_task *task = ctx;
  struct ab_buf text = AB_BUF_INIT;

  ab_buf_append_str (&text, "");
  ab_counters_print (task->daemon->counters, &text);
  evhttp_add_header (evhttp_request_get_output_headers (http), "Content-Type",
                     "text/plain; version=0.0.4");
  evbuffer_add (evhttp_request_get_output_buffer (http), text.data, text.len);
  evhttp_send_reply (http, HTTP_OK, NULL, NULL);
  ab_buf_free (&text);
}

/* Decodes the header NAME, 2 * SIZE hexadecimal digits, into BYTES.  Returns 0
   or a negative error.  */
static int
read_hex_header (struct evhttp_request *http, const char *name, void *bytes,
                 size_t size)
{
  const char *text
      = evhttp_find_header (evhttp_request_get_input_headers (http), name);

  return ab_hex_decode (ab_chunk_str (text), bytes, size);
}

/* Reads the headers of the signature.  Returns 0 or AB_ERR_DENIED.  */
static int
read_signature (struct evhttp_request *http,
                struct ab_operator_request *request, struct ab_public_key *key,
                struct ab_signature *signature)
{
  const char *time_text = evhttp_find_header (
      evhttp_request_get_input_headers (http), "Almond-Time");
  unsigned long long time_ms;

  if (read_hex_header (http, "Almond-Operator", key->bytes, sizeof key->bytes)
          < 0
      || read_hex_header (http, "Almond-Nonce", request->nonce,
                          sizeof request->nonce)
             < 0
      || read_hex_header (http, "Almond-Signature", signature->bytes,
                          sizeof signature->bytes)
             < 0
      || !ab_chunk_to_u64 (ab_chunk_str (time_text), &time_ms))
    return AB_ERR_DENIED;
  request->time_ms = time_ms;
  return 0;
}

/* Checks the signature of HTTP and sets the operator's name in REQUEST.
   Returns false after sending an error reply.  */
static bool
authenticate (struct ab_admin_task *task, struct evhttp_request *http,
              const char *method, struct ab_admin_request *request)
{
  struct ab_operator_request signed_request = {
    .method = ab_chunk_str (method),
    .path = ab_chunk_str (evhttp_request_get_uri (http)),
    .body = request->body,
    .host = ab_chunk_str (task->daemon->settings->host),
    .incarnation = task->daemon->incarnation,
  };
  struct ab_public_key key;
  struct ab_signature signature;
  int rc = read_signature (http, &signed_request, &key, &signature);

  if (rc == 0)
    rc = ab_operator_auth_check (
        task->auth, ab_clock_wall_ms (ab_clock_system ()), &signed_request,
        &key, &signature, &request->operator_name);
  if (rc == 0)
    return true;
  AB_LOG (AB_LOG_WARN, "operator_refused", ab_log_str ("method", method),
          ab_log_chunk ("path", signed_request.path),
          ab_log_str ("error", ab_strerror (rc)));
  ++*ab_counter (task->daemon->counters, "ab_operator_refused_total");
  ab_admin_reply_error (
      http, 403, "denied", "the request's signature is rejected: %s",
      rc == AB_ERR_EXISTS ? "it has been used before"
      : rc == AB_ERR_EXPIRED
          ? "its time differs too much from this host's clock"
          : ab_strerror (rc));
  return false;
}

/* Returns the route for the path and method of HTTP, or null.  *PATH_KNOWN
   tells whether the path exists for some method.  */
static const struct admin_route *
find_route (struct evhttp_request *http, bool *path_known)
{
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (http));

  *path_known = false;
  for (size_t i = 0; path && i < sizeof routes / sizeof routes[0]; i++)
    {
      if (strcmp (path, routes[i].path) != 0)
        continue;
      *path_known = true;
      if (routes[i].method == evhttp_request_get_command (http))
        return &routes[i];
    }
  return NULL;
}

static void
on_request (struct evhttp_request *http, void *ctx)
{
  struct ab_admin_task *task = ctx;
  struct ab_admin_request request = { .daemon = task->daemon, .http = http };
  struct evbuffer *input = evhttp_request_get_input_buffer (http);
  bool path_known;
  const struct admin_route *route = find_route (http, &path_known);
  size_t len = evbuffer_get_length (input);

  if (!route)
    {
      ab_admin_reply_error (http, path_known ? HTTP_BADMETHOD : HTTP_NOTFOUND,
                            "no_such_path", "no such path or method");
      return;
    }
  request.body = ab_chunk (evbuffer_pullup (input, -1), len);
  if (!authenticate (task, http,
                     route->method == EVHTTP_REQ_POST ? "POST" : "GET",
                     &request))
    return;
  if (route->method == EVHTTP_REQ_POST)
    AB_LOG (AB_LOG_INFO, "operator_command",
            ab_log_str ("operator", request.operator_name),
            ab_log_str ("request", evhttp_request_get_uri (http)),
            ab_log_int ("body_bytes", (int64_t)len));
  route->handler (&request);
}

int
ab_admin_task_new (struct ab_daemon *daemon, struct ab_admin_task **task,
                   char error[AB_CONF_ERROR_BYTES])
{
  const char *address = daemon->settings->listen.admin;
  struct ab_admin_task *result = calloc (1, sizeof *result);
  int rc = AB_ERR_MEMORY;

  *task = NULL;
  if (!result)
    return AB_ERR_MEMORY;
  result->daemon = daemon;
  result->auth = ab_operator_auth_new (daemon->settings);
  result->http = evhttp_new (daemon->base);
  if (!result->auth || !result->http)
    goto out;
  evhttp_set_max_body_size (result->http, ADMIN_BODY_BYTES_MAX);
  evhttp_set_max_headers_size (result->http, ADMIN_HEADER_BYTES_MAX);
  evhttp_set_timeout (result->http, ADMIN_TIMEOUT_S);
  evhttp_set_allowed_methods (result->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
  evhttp_set_cb (result->http, "/v1/host", on_host, result);
  evhttp_set_cb (result->http, "/metrics", on_metrics, result);
  evhttp_set_gencb (result->http, on_request, result);
  rc = ab_conn_bounds_listen (daemon->conn_bounds, result->http, address);
  if (rc < 0)
    {
      snprintf (error, AB_CONF_ERROR_BYTES,
                "cannot listen on the admin address %s", address);
      goto out;
    }
  *task = result;
  result = NULL;
out:
  ab_admin_task_free (result);
  return rc;
}

void
ab_admin_task_free (struct ab_admin_task *task)
{
  if (!task)
    return;
  if (task->http)
    evhttp_free (task->http);
  ab_operator_auth_free (task->auth);
  free (task);
}
