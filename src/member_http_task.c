#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdlib.h>

#include "bundle_task.h"
#include "error.h"
#include "member_state_task.h"

#define TARGETS_PATH "/v1/targets"
#define ADDRESSES_PATH "/v1/addresses"
#define ADDRESSES_MAX 8
#define SLOTS_MAX 10000
#define BEARER "Bearer "
#define HTTP_STATUS_CREATED 201
#define HTTP_STATUS_UNAUTHORIZED 401
#define HTTP_STATUS_CONFLICT 409

/* An error reply; CODE is part of the interface, MESSAGE is for people.  */
struct reply_error
{
  int status;
  const char *code;
  const char *message;
};

static const struct reply_error bad_json
    = { HTTP_BADREQUEST, "bad_request",
        "expected a JSON object with service, address and incarnation" };
static const struct reply_error bad_address
    = { HTTP_BADREQUEST, "bad_address",
        "expected address as IP:PORT, with IPv6 in brackets" };
static const struct reply_error bad_number
    = { HTTP_BADREQUEST, "bad_request",
        "slots, incarnation or lease_ms is out of range" };
static const struct reply_error no_bundle
    = { HTTP_SERVUNAVAIL, "no_bundle",
        "this host has no bundle yet; announce at another host" };
static const struct reply_error is_leaving
    = { HTTP_SERVUNAVAIL, "leaving",
        "this host is leaving; announce at another host" };
static const struct reply_error unknown_service
    = { HTTP_NOTFOUND, "unknown_service",
        "the bundle in force has no such service" };
static const struct reply_error bad_credential
    = { HTTP_STATUS_UNAUTHORIZED, "bad_credential",
        "the bearer token is not one of the service's credentials" };
static const struct reply_error unknown_target
    = { HTTP_NOTFOUND, "unknown_target",
        "no lease with this id is held here; announce the target again" };
static const struct reply_error target_replaced
    = { HTTP_STATUS_CONFLICT, "replaced",
        "a newer incarnation, or another registrar, has this target" };
static const struct reply_error lease_table_full
    = { HTTP_SERVUNAVAIL, "full",
        "this host holds too many leases; announce at another host" };
static const struct reply_error bad_method
    = { HTTP_BADMETHOD, "bad_method", "the path does not allow this method" };
static const struct reply_error bad_query
    = { HTTP_BADREQUEST, "bad_request",
        "expected the parameters service and failure_domain" };

static void
send_json (struct evhttp_request *req, int status, json_t *value)
{
  char *text = value ? json_dumps (value, JSON_COMPACT) : NULL;

  json_decref (value);
  evhttp_add_header (evhttp_request_get_output_headers (req), "Content-Type",
                     "application/json");
  if (text)
    evbuffer_add (evhttp_request_get_output_buffer (req), text, strlen (text));
  evhttp_send_reply (req, text ? status : HTTP_INTERNAL, NULL, NULL);
  free (text);
}

static void
send_error (struct evhttp_request *req, const struct reply_error *error)
{
  send_json (req, error->status,
             json_pack ("{s:s, s:s}", "code", error->code, "message",
                        error->message));
}

static void
send_lease (struct evhttp_request *req, int status,
            const struct ab_lease *lease)
{
  send_json (req, status,
             json_pack ("{s:s, s:I, s:I}", "id", lease->id, "renew_ms",
                        (json_int_t)(lease->lease_ms / AB_LEASE_RENEWALS),
                        "expires_ms", (json_int_t)lease->lease_ms));
}

static json_t *
read_body (struct evhttp_request *req)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (req);
  size_t len = evbuffer_get_length (input);
  const char *text = (const char *)evbuffer_pullup (input, -1);

  return text ? json_loadb (text, len, JSON_REJECT_DUPLICATES, NULL) : NULL;
}

/* Copies the string KEY of BODY to DST, empty when it is missing.  Returns
   false when the value is not a string or too long, or is missing or empty
   although REQUIRED.  */
static bool
get_text (const json_t *body, const char *key, bool required, char *dst,
          size_t size)
{
  const json_t *value = json_object_get (body, key);

  dst[0] = '\0';
  if (!value)
    return !required;
  return json_is_string (value)
         && ab_chunk_copy (
             ab_chunk (json_string_value (value), json_string_length (value)),
             dst, size)
         && strlen (dst) == json_string_length (value)
         && (dst[0] || !required);
}

/* Reads the integer KEY of BODY, FALLBACK when it is missing.  Returns false
   when it is not within MIN and MAX.  */
static bool
get_number (const json_t *body, const char *key, uint64_t fallback,
            uint64_t min, uint64_t max, uint64_t *number)
{
  const json_t *value = json_object_get (body, key);

  *number = fallback;
  if (!value)
    return fallback >= min;
  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return false;
  *number = (uint64_t)json_integer_value (value);
  return *number >= min && *number <= max;
}

static bool
is_address (const char *text)
{
  struct sockaddr_storage storage;
  int len = sizeof storage;
  const char *colon = strrchr (text, ':');

  return colon && colon[1]
         && evutil_parse_sockaddr_port (text, (struct sockaddr *)&storage,
                                        &len)
                == 0;
}

static const struct reply_error *
read_target (const json_t *body, struct ab_target_view *target,
             uint64_t *lease_ms)
{
  memset (target, 0, sizeof *target);
  if (!json_is_object (body)
      || !get_text (body, "service", true, target->service,
                    sizeof target->service)
      || !get_text (body, "region", false, target->region,
                    sizeof target->region)
      || !get_text (body, "failure_domain", false, target->failure_domain,
                    sizeof target->failure_domain))
    return &bad_json;
  if (!get_text (body, "address", true, target->address,
                 sizeof target->address)
      || !is_address (target->address))
    return &bad_address;
  if (!get_number (body, "incarnation", 0, 1, INT64_MAX, &target->incarnation)
      || !get_number (body, "slots", 0, 0, SLOTS_MAX, &target->slots)
      || !get_number (body, "lease_ms", AB_LEASE_MS_DEFAULT, AB_LEASE_MS_MIN,
                      AB_LEASE_MS_MAX, lease_ms))
    return &bad_number;
  return NULL;
}

static struct ab_chunk
bearer_token (struct evhttp_request *req)
{
  const char *value = evhttp_find_header (
      evhttp_request_get_input_headers (req), "Authorization");

  if (!value || evutil_ascii_strncasecmp (value, BEARER, strlen (BEARER)) != 0)
    return ab_chunk (NULL, 0);
  return ab_chunk_str (value + strlen (BEARER));
}

/* Checks the credential, and sets values that the target left out: slots to
   those of the service, region and failure domain to those of this host.
   Returns null, or the error to send.  */
static const struct reply_error *
admit (const struct ab_member_task *task, struct evhttp_request *req,
       struct ab_target_view *target)
{
  const struct ab_settings *settings = task->daemon->settings;
  const struct ab_bundle *bundle
      = task->daemon->bundle ? ab_bundle_task_current (task->daemon->bundle)
                             : NULL;
  const struct ab_service *service;

  if (!bundle)
    return &no_bundle;
  service = ab_bundle_find_service (bundle, ab_chunk_str (target->service));
  if (!service)
    return &unknown_service;
  if (!ab_service_accepts_token (service, bearer_token (req)))
    return &bad_credential;
  if (target->slots == 0)
    target->slots = service->slots;
  if (!target->region[0])
    memcpy (target->region, settings->region, sizeof target->region);
  if (!target->failure_domain[0])
    memcpy (target->failure_domain, settings->failure_domain,
            sizeof target->failure_domain);
  return NULL;
}

static const struct reply_error *
error_for_code (int rc)
{
  switch (rc)
    {
    case AB_ERR_STALE:
      return &target_replaced;
    case AB_ERR_NOT_FOUND:
      return &unknown_target;
    default:
      return &lease_table_full;
    }
}

static void
announce (struct ab_member_task *task, struct evhttp_request *req,
          const struct ab_target_view *target, uint64_t lease_ms)
{
  unsigned char bytes[AB_LEASE_ID_BYTES / 2];
  char id[AB_LEASE_ID_BYTES];
  const struct ab_lease *lease;
  int rc;

  if (ab_membership_target_incarnation (task->m,
                                        ab_chunk_str (target->service),
                                        ab_chunk_str (target->address))
      > target->incarnation)
    {
      send_error (req, &target_replaced);
      return;
    }
  /* The id authorises renewals, so it must be hard to guess.  */
  randombytes_buf (bytes, sizeof bytes);
  ab_hex_encode (bytes, sizeof bytes, id);
  rc = ab_leases_announce (task->leases, target, lease_ms, id,
                           member_now_ms (), &lease);
  if (rc < 0)
    send_error (req, error_for_code (rc));
  else
    send_lease (req, HTTP_STATUS_CREATED, lease);
  member_flush_leases (task);
}

static void
on_targets (struct evhttp_request *req, void *ctx)
{
  struct ab_member_task *task = ctx;
  const struct reply_error *error = NULL;
  struct ab_target_view target;
  uint64_t lease_ms;
  json_t *body = NULL;

  if (evhttp_request_get_command (req) != EVHTTP_REQ_POST)
    error = &bad_method;
  else if (task->leaving)
    error = &is_leaving;
  if (!error)
    {
      body = read_body (req);
      error = read_target (body, &target, &lease_ms);
      json_decref (body);
    }
  if (!error)
    error = admit (task, req, &target);
  if (error)
    send_error (req, error);
  else
    announce (task, req, &target, lease_ms);
}

/* Splits PATH, /v1/targets/ID[/ACTION].  Returns false for any other path.  */
static bool
split_path (const char *path, struct ab_chunk *id, struct ab_chunk *action)
{
  const char *slash;

  if (!path || strncmp (path, TARGETS_PATH "/", sizeof TARGETS_PATH) != 0)
    return false;
  path += sizeof TARGETS_PATH;
  slash = strchr (path, '/');
  *id = slash ? ab_chunk (path, (size_t)(slash - path)) : ab_chunk_str (path);
  *action = ab_chunk_str (slash ? slash + 1 : "");
  return true;
}

static int
change_lease (struct ab_member_task *task, enum evhttp_cmd_type method,
              struct ab_chunk id, struct ab_chunk action,
              const struct ab_lease **lease)
{
  bool put = method == EVHTTP_REQ_PUT;

  *lease = NULL;
  if (method == EVHTTP_REQ_DELETE && action.len == 0)
    return ab_leases_end (task->leases, id);
  if (put && ab_chunk_equal (action, AB_CHUNK ("drain")))
    return ab_leases_drain (task->leases, id, member_now_ms (), lease);
  if (!put || !ab_chunk_equal (action, AB_CHUNK ("renew")))
    return AB_ERR_INVALID;
  /* The targets of a leaving host must announce themselves to another
     registrar in time.  */
  if (task->leaving)
    return AB_ERR_NOT_FOUND;
  return ab_leases_renew (task->leases, id, member_now_ms (), lease);
}

bool
ab_member_task_serve_http (struct ab_member_task *task,
                           struct evhttp_request *req)
{
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (req));
  const struct ab_lease *lease;
  struct ab_chunk id;
  struct ab_chunk action;
  int rc;

  if (!split_path (path, &id, &action))
    return false;
  rc = change_lease (task, evhttp_request_get_command (req), id, action,
                     &lease);
  if (rc == AB_ERR_INVALID)
    send_error (req, &bad_method);
  else if (rc < 0)
    send_error (req, error_for_code (rc));
  else if (lease)
    send_lease (req, HTTP_OK, lease);
  else
    send_json (req, HTTP_OK, json_object ());
  member_flush_leases (task);
  return true;
}

static json_t *
list_addresses (struct ab_member_task *task, const char *service,
                const char *failure_domain)
{
  const struct ab_host_view *hosts[ADDRESSES_MAX];
  size_t count = member_choose_addresses (task, ab_chunk_str (service),
                                          ab_chunk_str (failure_domain), hosts,
                                          ADDRESSES_MAX);
  json_t *list = json_array ();

  for (size_t i = 0; i < count; i++)
    json_array_append_new (
        list, json_pack ("{s:s, s:s, s:s}", "host", hosts[i]->name, "address",
                         hosts[i]->callers, "failure_domain",
                         hosts[i]->failure_domain));
  return list;
}

static void
on_addresses (struct evhttp_request *req, void *ctx)
{
  struct ab_member_task *task = ctx;
  const char *query
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (req));
  struct evkeyvalq parameters = { .tqh_first = NULL };
  const char *service = NULL;
  const char *failure_domain = NULL;

  if (evhttp_request_get_command (req) != EVHTTP_REQ_GET)
    {
      send_error (req, &bad_method);
      return;
    }
  if (query && evhttp_parse_query_str (query, &parameters) == 0)
    {
      service = evhttp_find_header (&parameters, "service");
      failure_domain = evhttp_find_header (&parameters, "failure_domain");
    }
  if (!service || !failure_domain)
    send_error (req, &bad_query);
  else
    send_json (req, HTTP_OK,
               json_pack ("{s:o, s:I}", "addresses",
                          list_addresses (task, service, failure_domain),
                          "ttl_ms",
                          (json_int_t)task->daemon->settings->address_ttl_ms));
  evhttp_clear_headers (&parameters);
}

int
ab_member_task_bind_http (struct ab_member_task *task, struct evhttp *http)
{
  if (evhttp_set_cb (http, TARGETS_PATH, on_targets, task) != 0
      || evhttp_set_cb (http, ADDRESSES_PATH, on_addresses, task) != 0)
    return AB_ERR_UNAVAILABLE;
  return 0;
}
