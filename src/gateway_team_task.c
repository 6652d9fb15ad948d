#include "gateway_team_task.h"

#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <strings.h>
#include <sys/queue.h>

#include "error.h"
#include "http_rules.h"

#define HTTP_UNAUTHORIZED 401

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

static int
refuse (struct ab_gateway_flow *flow, const char *code)
{
  char name[64];

  snprintf (name, sizeof name, "ab_gateway_keys_refused_total{code=\"%s\"}",
            code);
  ++*ab_gateway_flow_counter (flow, name);
  ab_gateway_reply_error (flow, HTTP_UNAUTHORIZED, code, 0);
  return AB_ERR_INVALID;
}

int
ab_gateway_team_check (struct ab_gateway_flow *flow)
{
  const char *name = flow->env->settings->headers.key;
  struct ab_sched_slot_request *slot_request = &flow->slot_request;
  struct ab_chunk key = { 0 };
  size_t count;

  if (!needs_key (flow))
    return 0;
  count = find_header (flow, name, &key);
  if (count == 0 || (count == 1 && key.len == 0))
    return refuse (flow, "no-key");
  if (count == 1)
    flow->team = ab_route_table_find_key (flow->table, key);
  if (!flow->team)
    return refuse (flow, "unknown-key");
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
