/* State dump and explanations of the dispatch task.  */

#include "dispatch_internal.h"

static json_t *
evidence_json (const struct ab_evidence *evidence)
{
  static const char *const health[] = { "unknown", "healthy", "sick" };

  return json_pack (
      "{s:s, s:s, s:f, s:f, s:f, s:I, s:I, s:I}", "health",
      health[evidence->health], "cause", ab_cause_name (evidence->cause),
      "score", evidence->score, "threshold", evidence->threshold, "slowdown",
      evidence->slowdown, "outcomes", (json_int_t)evidence->outcomes, "bad",
      (json_int_t)evidence->bad, "overdue", (json_int_t)evidence->overdue);
}

static json_t *
target_json (const struct ab_dispatcher_view *view, uint64_t now_ms)
{
  uint64_t ejection_left_ms
      = view->ejected_until_ms > now_ms ? view->ejected_until_ms - now_ms : 0;

  return json_pack (
      "{s:s, s:s, s:I, s:I, s:I, s:I, s:i, s:o}", "target", view->address,
      "state", ab_dispatch_state_name (view->state), "slots",
      (json_int_t)view->slots, "allowed", (json_int_t)view->allowed, "in_use",
      (json_int_t)view->in_use, "exile_ms", (json_int_t)ejection_left_ms,
      "exile_level", (int)view->ejection_level, "evidence",
      evidence_json (&view->evidence));
}

static json_t *
service_json (const struct ab_dispatch_service *service)
{
  uint64_t now_ms = ab_dispatch_now ();
  struct ab_dispatcher_totals totals;
  struct ab_dispatcher_view view;
  json_t *targets = json_array ();

  ab_dispatcher_totals (service->dispatcher, &totals);
  for (size_t i = 0;
       ab_dispatcher_view (service->dispatcher, i, now_ms, &view); i++)
    json_array_append_new (targets, target_json (&view, now_ms));
  return json_pack (
      "{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o}", "service",
      service->name, "announced_slots", (json_int_t)totals.announced_slots,
      "out_slots", (json_int_t)totals.out_slots, "in_use",
      (json_int_t)totals.in_use, "queued", (json_int_t)totals.queued,
      "permits_held", (json_int_t)totals.permits_held, "granted",
      (json_int_t)totals.granted, "refused", (json_int_t)totals.refused,
      "ejections", (json_int_t)totals.ejections, "connections_per_target",
      (json_int_t)ab_dispatch_connections (service->task, service), "targets",
      targets);
}

json_t *
ab_dispatch_task_state (const struct ab_dispatch_task *task)
{
  json_t *dispatchers = json_array ();

  for (const struct ab_dispatch_service *at = task->services; at;
       at = at->hh.next)
    if (at->dispatcher)
      json_array_append_new (dispatchers, service_json (at));
  return json_pack ("{s:I, s:o, s:o}", "asks_in_progress",
                    (json_int_t)HASH_COUNT (task->slot_requests),
                    "dispatchers", dispatchers, "rate_limits",
                    ab_rate_limit_task_state (task->rate_limits));
}

json_t *
ab_dispatch_task_explain (const struct ab_dispatch_task *task,
                          struct ab_chunk target)
{
  uint64_t now_ms = ab_dispatch_now ();
  struct ab_dispatcher_view view;

  for (const struct ab_dispatch_service *at = task->services; at;
       at = at->hh.next)
    for (size_t i = 0;
         at->dispatcher
         && ab_dispatcher_view (at->dispatcher, i, now_ms, &view);
         i++)
      if (ab_chunk_equal (target, ab_chunk_str (view.address)))
        return target_json (&view, now_ms);
  return NULL;
}
