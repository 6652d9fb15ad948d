#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <strings.h>

#include "bundle_task.h"
#include "clock.h"
#include "error.h"
#include "http_rules.h"
#include "limit_task.h"
#include "member_task.h"
#include "request_flow_task.h"

#define BEARER_PREFIX "Bearer "

static int
reject (struct ab_reply_error *error, int status, const char *code,
        const char *message)
{
  *error = (struct ab_reply_error){ .status = status,
                                    .code = code,
                                    .verdict = AB_VERDICT_NOT_RUN,
                                    .message = message };
  return -1;
}

static const char *
header (const struct ab_flow *flow, const char *name)
{
  return evhttp_find_header (evhttp_request_get_input_headers (flow->req),
                             name);
}

/* Uses the caller's X-Request-Id when it is valid, otherwise a random
   identifier.  */
static void
set_request_id (struct ab_flow *flow)
{
  struct ab_chunk given = ab_chunk_str (header (flow, "X-Request-Id"));

  if (!ab_http_request_id_valid (given)
      || !ab_chunk_copy (given, flow->id, sizeof flow->id))
    snprintf (flow->id, sizeof flow->id, "%016llx%016llx",
              (unsigned long long)ab_rng_next (&flow->env->rng),
              (unsigned long long)ab_rng_next (&flow->env->rng));
}

/* Returns whether SEGMENT is "." or "..", with each dot plain or encoded as
   "%2e".  */
static bool
is_dot_segment (struct ab_chunk segment)
{
  size_t dots = 0;

  while (segment.len > 0)
    {
      size_t step = 1;

      if (segment.len >= 3 && strncasecmp (segment.data, "%2e", 3) == 0)
        step = 3;
      else if (segment.data[0] != '.')
        return false;
      segment.data += step;
      segment.len -= step;
      dots++;
    }
  return dots == 1 || dots == 2;
}

/* Returns whether PATH begins with "/" and has no dot segments.  A target that
   resolves dot segments would see a path other than the one that selected the
   route.  */
static bool
path_is_plain (const char *path)
{
  if (path[0] != '/')
    return false;
  while (*path)
    {
      size_t len;

      path++;
      len = strcspn (path, "/");
      if (is_dot_segment (ab_chunk (path, len)))
        return false;
      path += len;
    }
  return true;
}

static int
find_route (struct ab_flow *flow, struct ab_reply_error *error)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (flow->req);
  const char *path = uri ? evhttp_uri_get_path (uri) : NULL;
  const char *query = uri ? evhttp_uri_get_query (uri) : NULL;

  flow->method
      = ab_http_method_from_evhttp (evhttp_request_get_command (flow->req));
  if (!flow->method)
    return reject (error, 501, "method", "the method is not known");
  if (!path || !path_is_plain (path))
    return reject (error, 400, "path",
                   "the path must begin with / and hold no dot segments");
  if (asprintf (&flow->uri, "%s%s%s", path, query ? "?" : "",
                query ? query : "")
      < 0)
    {
      flow->uri = NULL;
      return reject (error, 503, "memory", "out of memory");
    }
  flow->route
      = ab_bundle_find_route (flow->bundle, flow->method, ab_chunk_str (path));
  if (!flow->route)
    return reject (error, 404, "no-route",
                   "no route matches the method and path");
  return 0;
}

static int
authenticate (struct ab_flow *flow, struct ab_reply_error *error)
{
  const char *value = header (flow, "Authorization");

  if (!value)
    {
      if (ab_bundle_allows_anonymous (flow->bundle))
        return 0;
      return reject (error, 401, "unauthenticated",
                     "the request needs a bearer token");
    }
  if (strncasecmp (value, BEARER_PREFIX, sizeof BEARER_PREFIX - 1) == 0)
    flow->team = ab_bundle_find_team (
        flow->bundle, ab_chunk_str (value + sizeof BEARER_PREFIX - 1));
  if (!flow->team)
    return reject (error, 401, "unauthenticated",
                   "the bearer token is not known");
  return 0;
}

static int
acquire_limit (struct ab_flow *flow, struct ab_reply_error *error)
{
  uint64_t retry_after_ms = 0;

  if (!flow->team)
    return 0;
  if (ab_limit_task_acquire (flow->env->daemon->limit, flow->team,
                             &retry_after_ms)
      < 0)
    {
      reject (error, 429, "team-limit", "the team's limit is reached");
      error->retry_after_ms = retry_after_ms > 0 ? retry_after_ms : 1;
      return -1;
    }
  flow->limit_acquired = true;
  return 0;
}

/* Computes the digest of the request, which both the ledger and the quarantine
   use, and rejects quarantined content.  */
static int
check_content (struct ab_flow *flow, struct ab_reply_error *error)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (flow->req);
  size_t len = evbuffer_get_length (input);
  struct ab_chunk parts[]
      = { ab_chunk_str (flow->route->service_name),
          ab_chunk_str (ab_method_name (flow->method)),
          ab_chunk_str (flow->uri),
          ab_chunk (len > 0 ? evbuffer_pullup (input, -1) : NULL, len) };

  flow->request_bytes = len;
  flow->content = ab_digest_of_parts (parts, sizeof parts / sizeof parts[0]);
  if (ab_member_task_quarantined (flow->env->daemon->member, &flow->content))
    return reject (error, 403, "quarantined",
                   "requests with this content have crashed targets");
  return 0;
}

static int
set_deadline (struct ab_flow *flow, struct ab_reply_error *error)
{
  const char *text = header (flow, "Request-Timeout-Ms");
  unsigned long long ms = flow->route->timeout_ms;

  if (text
      && (!ab_chunk_to_u64 (ab_chunk_str (text), &ms) || ms == 0
          || ms > AB_TIMEOUT_MS_MAX))
    return reject (error, 400, "timeout",
                   "Request-Timeout-Ms must be from 1 to 600000");
  flow->deadline_ms = ab_clock_monotonic_ms (ab_clock_system ()) + ms;
  return 0;
}

static int
parse_key (struct ab_flow *flow, struct ab_reply_error *error)
{
  const char *text = header (flow, "Idempotency-Key");

  if (flow->route->idempotent)
    return 0;
  if (!text)
    return reject (error, 400, "key-required",
                   "this route needs an Idempotency-Key");
  if (ab_idempotency_key_parse (ab_chunk_str (text), flow->key.key) < 0)
    return reject (error, 400, "key-invalid",
                   "the Idempotency-Key must be a UUID of version 7");
  ab_chunk_copy_bounded (ab_chunk_str (flow->team ? flow->team->name : "-"),
                         flow->key.team, sizeof flow->key.team);
  ab_chunk_copy_bounded (ab_chunk_str (flow->route->service_name),
                         flow->key.service, sizeof flow->key.service);
  return 0;
}

static void
fill_dispatch_request (struct ab_flow *flow)
{
  struct ab_dispatch_request *request = &flow->request;

  memcpy (request->request_id, flow->id, sizeof request->request_id);
  ab_chunk_copy_bounded (ab_chunk_str (flow->route->service_name),
                         request->service, sizeof request->service);
  ab_chunk_copy_bounded (ab_chunk_str (flow->route->class_name),
                         request->class_name, sizeof request->class_name);
  request->priority = flow->route->priority;
  request->deadline_ms = flow->deadline_ms;
}

int
ab_flow_parse (struct ab_flow *flow, struct ab_reply_error *error)
{
  bool unread_body;
  int framing = ab_http_request_framing (flow->req, &unread_body);

  set_request_id (flow);
  flow->close_connection
      = unread_body || ab_http_list_has (header (flow, "Connection"), "close");
  if (framing < 0)
    {
      flow->close_connection = true;
      return reject (error, 400, "framing",
                     "the end of the request is not clear");
    }
  flow->bundle
      = ab_bundle_ref (ab_bundle_task_current (flow->env->daemon->bundle));
  if (!flow->bundle)
    return reject (error, 503, "no-bundle", "no bundle is in force yet");
  if (find_route (flow, error) < 0 || authenticate (flow, error) < 0
      || acquire_limit (flow, error) < 0 || check_content (flow, error) < 0
      || set_deadline (flow, error) < 0 || parse_key (flow, error) < 0)
    return -1;
  fill_dispatch_request (flow);
  return 0;
}
