#include "gateway_team_task.h"

#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <strings.h>
#include <sys/queue.h>

#include "confirmation.h"
#include "error.h"
#include "http_rules.h"

#define HTTP_UNAUTHORIZED 401
/* Retry-After while the bundle is not confirmed.  A host that was frozen asks
   for a view within AB_FLEET_WATCH_INTERVAL_MS; one that was cut off does not
   know when it will get one.  */
#define STALE_RETRY_MS 1000

static bool
needs_key (const struct ab_gateway_flow *flow)
{
  return ab_route_table_has_teams (flow->table) && !flow->route->no_key;
}

/* Sets *VALUE to the value of the request's first header NAME and returns how
   often that header occurs, in any letter case.  */
static size_t
find_header (const struct ab_gateway_flow *flow, const char *name,
             struct ab_chunk *value)
{
  const struct evkeyval *item;
  size_t count = 0;

  TAILQ_FOREACH (item, evhttp_request_get_input_headers (flow->req), next)
  if (strcasecmp (item->key, name) == 0 && count++ == 0)
    *value = ab_chunk_str (item->value);
  return count;
}

/* Sets *KEY to the key that the request carries; empty if there is none.
   Returns false if it carries several.  */
static bool
find_key (const struct ab_gateway_flow *flow, struct ab_chunk *key)
{
  *key = ab_chunk (NULL, 0);
  return find_header (flow, flow->env->settings->headers.key, key) <= 1;
}

void
ab_gateway_team_count_refusal (const struct ab_gateway_flow *flow,
                               const char *code)
{
  char name[64];

  snprintf (name, sizeof name, "ab_gateway_keys_refused_total{code=\"%s\"}",
            code);
  ++*ab_gateway_flow_counter (flow, name);
}

static int
refuse (struct ab_gateway_flow *flow, int status, const char *code,
        uint64_t retry_ms)
{
  ab_gateway_team_count_refusal (flow, code);
  ab_gateway_reply_error (flow, status, code, retry_ms);
  return AB_ERR_INVALID;
}

bool
ab_gateway_team_awaits_view (const struct ab_gateway_flow *flow)
{
  struct ab_chunk key;

  return needs_key (flow) && flow->env->settings->key_lifetime_ms
         && ab_fleet_view_confirmed_age_ms (flow->env->view) == UINT64_MAX
         && find_key (flow, &key) && key.len > 0;
}

/* Returns whether a key that a later bundle removed may still be in the bundle
   of FLOW, longer than it may be honoured.  */
static bool
is_stale (const struct ab_gateway_flow *flow)
{
  const struct ab_gateway_env *env = flow->env;

  return ab_confirmation_expired (ab_fleet_view_confirmed_age_ms (env->view),
                                  env->settings->key_lifetime_ms);
}

int
ab_gateway_team_check (struct ab_gateway_flow *flow)
{
  struct ab_sched_slot_request *slot_request = &flow->slot_request;
  struct ab_chunk key;

  if (!needs_key (flow))
    return 0;
  if (!find_key (flow, &key))
    return refuse (flow, HTTP_UNAUTHORIZED, "unknown-key", 0);
  if (key.len == 0)
    return refuse (flow, HTTP_UNAUTHORIZED, "no-key", 0);
  /* A later bundle may also know a key that this one does not.  */
  if (is_stale (flow))
    return refuse (flow, HTTP_SERVUNAVAIL, "keys-stale", STALE_RETRY_MS);
  flow->team = ab_route_table_find_key (flow->table, key);
  if (!flow->team)
    return refuse (flow, HTTP_UNAUTHORIZED, "unknown-key", 0);
  memcpy (slot_request->team, flow->team->name, sizeof slot_request->team);
  slot_request->team_priority = flow->team->priority;
  return 0;
}

bool
ab_gateway_team_forwards (const struct ab_gateway_flow *flow, const char *name,
                          const char *value)
{
  const struct ab_header_names *names = &flow->env->settings->headers;

  if (!ab_route_table_has_teams (flow->table))
    return true;
  /* evhttp accepts names that end in a space and values with a carriage
     return; a target that is as lenient may take such a header, or what
     follows the carriage return, for the one that names the team.  */
  return ab_http_header_valid (name, value)
         && strcasecmp (name, names->key) != 0
         && strcasecmp (name, names->team) != 0;
}

void
ab_gateway_team_print (const struct ab_gateway_flow *flow,
                       struct ab_buf *lines)
{
  if (flow->team)
    ab_buf_printf (lines, "%s: %s\r\n", flow->env->settings->headers.team,
                   flow->team->name);
}
