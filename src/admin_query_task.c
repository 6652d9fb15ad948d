#include <event2/http.h>
#include <stdlib.h>

#include "admin_reply.h"
#include "admin_task.h"
#include "bundle_task.h"
#include "control_task.h"
#include "dispatch_task.h"
#include "explain.h"
#include "member_task.h"

#define SUBJECT_BYTES 128

static const char *const host_states[]
    = { "alive", "suspect", "leaving", "gone" };
static const char *const target_states[] = { "active", "draining", "gone" };

void
ab_admin_get_state (const struct ab_admin_request *request)
{
  ab_admin_reply_json (request->http, HTTP_OK,
                       ab_admin_state (request->daemon));
}

static bool
add_host (void *ctx, const struct ab_host_view *h)
{
  json_array_append_new (
      ctx,
      json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:b, s:I}", "host",
                 h->name, "role", ab_role_name (h->role), "region", h->region,
                 "failure_domain", h->failure_domain, "callers", h->callers,
                 "admin", h->admin, "state", host_states[h->state], "ready",
                 (int)h->ready, "incarnation", (json_int_t)h->incarnation));
  return true;
}

void
ab_admin_get_hosts (const struct ab_admin_request *request)
{
  json_t *list = json_array ();

  ab_member_task_visit_hosts (request->daemon->member, add_host, list);
  ab_admin_reply_json (request->http, HTTP_OK, list);
}

static bool
add_target (void *ctx, const struct ab_target_view *t)
{
  json_array_append_new (
      ctx, json_pack ("{s:s, s:s, s:s, s:I, s:s, s:s, s:s, s:I}", "service",
                      t->service, "target", t->address, "state",
                      target_states[t->state], "slots", (json_int_t)t->slots,
                      "region", t->region, "failure_domain", t->failure_domain,
                      "registrar", t->registrar, "incarnation",
                      (json_int_t)t->incarnation));
  return true;
}

void
ab_admin_get_targets (const struct ab_admin_request *request)
{
  json_t *list = json_array ();

  ab_member_task_visit_targets (request->daemon->member, add_target, list);
  ab_admin_reply_json (request->http, HTTP_OK, list);
}

/* Targets and slots of the service NAME, counted by count_target.  */
struct service_count
{
  const char *name;
  json_int_t active;
  json_int_t draining;
  json_int_t slots;
};

static bool
count_target (void *ctx, const struct ab_target_view *t)
{
  struct service_count *count = ctx;

  if (strcmp (t->service, count->name) != 0)
    return true;
  if (t->state == AB_TARGET_ACTIVE)
    {
      count->active++;
      count->slots += (json_int_t)t->slots;
    }
  else if (t->state == AB_TARGET_DRAINING)
    count->draining++;
  return true;
}

void
ab_admin_get_services (const struct ab_admin_request *request)
{
  const struct ab_bundle *bundle
      = ab_bundle_task_current (request->daemon->bundle);
  json_t *list = json_array ();

  for (size_t i = 0; bundle && i < ab_bundle_service_count (bundle); i++)
    {
      const struct ab_service *s = ab_bundle_service (bundle, i);
      struct service_count count = { .name = s->name };
      ab_member_task_visit_targets (request->daemon->member, count_target,
                                    &count);
      json_array_append_new (
          list, json_pack ("{s:s, s:I, s:I, s:I, s:f, s:f}", "service",
                           s->name, "targets", count.active, "draining",
                           count.draining, "slots", count.slots, "floor",
                           s->floor, "detection_weight", s->detection_weight));
    }
  ab_admin_reply_json (request->http, HTTP_OK, list);
}

/* Replies with the recorded events of SUBJECT and NOW, the current state,
   which may be null.  Takes ownership of NOW.  */
static void
reply_explanation (const struct ab_admin_request *request, const char *subject,
                   json_t *now)
{
  const struct ab_explain *explain = request->daemon->explain;
  json_t *events = ab_explain_get (explain, ab_chunk_str (subject));

  ab_admin_reply_json (
      request->http, HTTP_OK,
      json_pack ("{s:s, s:s, s:b, s:o, s:o, s:I}", "host",
                 request->daemon->settings->host, "subject", subject, "known",
                 events != NULL, "events", events ? events : json_array (),
                 "now", now ? now : json_null (), "dropped_before_ms",
                 (json_int_t)ab_explain_dropped_before_ms (explain)));
}

void
ab_admin_get_explain_request (const struct ab_admin_request *request)
{
  char id[SUBJECT_BYTES];

  if (!ab_admin_parameter (request->http, "id", id, sizeof id))
    ab_admin_reply_error (request->http, HTTP_BADREQUEST, "invalid",
                          "parameter 'id' is missing or too long");
  else
    reply_explanation (request, id, NULL);
}

void
ab_admin_get_explain_target (const struct ab_admin_request *request)
{
  struct ab_dispatch_task *dispatch = request->daemon->dispatch;
  char address[AB_ADDRESS_BYTES];
  json_t *now = NULL;

  if (!ab_admin_parameter (request->http, "address", address, sizeof address))
    {
      ab_admin_reply_error (request->http, HTTP_BADREQUEST, "invalid",
                            "parameter 'address' is missing or too long");
      return;
    }
  if (dispatch)
    now = ab_dispatch_task_explain (dispatch, ab_chunk_str (address));
  reply_explanation (request, address, now);
}

void
ab_admin_get_bundle (const struct ab_admin_request *request)
{
  ab_admin_reply_json (request->http, HTTP_OK,
                       ab_bundle_task_state (request->daemon->bundle));
}

void
ab_admin_get_history (const struct ab_admin_request *request)
{
  if (!request->daemon->control)
    ab_admin_reply_error (
        request->http, HTTP_NOTFOUND, "not_control",
        "host %s is not a control host and has no bundle history",
        request->daemon->settings->host);
  else
    ab_admin_reply_json (request->http, HTTP_OK,
                         ab_control_task_history (request->daemon->control));
}
