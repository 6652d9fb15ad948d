#include <stdio.h>

#include "clock.h"
#include "counter.h"
#include "request_flow_task.h"

static uint64_t *
counter (const struct ab_flow *flow, const char *name)
{
  return ab_counter (flow->env->daemon->counters, name);
}

void
ab_flow_record_end (struct ab_flow *flow, int status, const char *code,
                    enum ab_verdict verdict)
{
  struct ab_counters *counters = flow->env->daemon->counters;
  uint64_t total_us = ab_clock_monotonic_us () - flow->begin_us;
  char name[128];

  snprintf (name, sizeof name, "ab_requests_total{verdict=\"%s\",code=\"%s\"}",
            ab_verdict_name (verdict), code);
  ++*ab_counter (counters, name);
  ab_histogram_add (ab_counter_histogram (counters, "ab_request_us"),
                    total_us);
  if (flow->attempts > 0 && total_us >= flow->upstream_us)
    ab_histogram_add (ab_counter_histogram (counters, "ab_request_added_us"),
                      total_us - flow->upstream_us);
  AB_FLOW_EXPLAIN (flow, "answered", ab_log_int ("status", status),
                   ab_log_str ("code", code),
                   ab_log_str ("verdict", ab_verdict_name (verdict)),
                   ab_log_int ("attempts", (int64_t)flow->attempts),
                   ab_log_int ("whole_us", (int64_t)total_us),
                   ab_log_int ("dispatch_us", (int64_t)flow->dispatch_us),
                   ab_log_int ("upstream_us", (int64_t)flow->upstream_us));
}

void
ab_flow_record_sent (struct ab_flow *flow)
{
  const char *region
      = ab_crash_watch_region (flow->env->crash_watch, flow->grant.target);

  *counter (flow, "ab_request_bytes_total") += flow->request_bytes;
  flow->cross_region
      = region && region[0]
        && strcmp (region, flow->env->daemon->settings->region) != 0;
  if (!flow->cross_region)
    return;
  ++*counter (flow, "ab_cross_region_requests_total");
  *counter (flow, "ab_cross_region_bytes_total") += flow->request_bytes;
}

void
ab_flow_record_response (struct ab_flow *flow, size_t bytes)
{
  *counter (flow, "ab_response_bytes_total") += bytes;
  if (flow->cross_region)
    *counter (flow, "ab_cross_region_bytes_total") += bytes;
}

/* Notifies the crash watch of how ATTEMPT ended.  A lost connection counts
   only when part of the request was sent and no byte of a response arrived. */
static void
update_crash_watch (struct ab_flow *flow, const struct ab_attempt *attempt)
{
  struct ab_crash_watch *watch = flow->env->crash_watch;
  char label[AB_QUARANTINE_LABEL_BYTES];

  switch (attempt->end)
    {
    case AB_ATTEMPT_RESPONSE:
      /* A target that fails may not have run the request.  */
      if (ab_attempt_succeeded (attempt))
        ab_quarantine_answered (ab_crash_watch_quarantine (watch),
                                &flow->content,
                                ab_clock_monotonic_ms (ab_clock_system ()));
      break;
    case AB_ATTEMPT_REFUSED:
      ab_crash_watch_refused (watch, flow->grant.target);
      break;
    case AB_ATTEMPT_LOST:
      if (!attempt->written || attempt->response_started)
        break;
      flow->targets_lost++;
      snprintf (label, sizeof label, "%s %.*s", ab_method_name (flow->method),
                (int)strcspn (flow->uri, "?#"), flow->uri);
      ab_crash_watch_lost (watch, flow->grant.target, flow->incarnation,
                           &flow->content, label);
      break;
    default:
      break;
    }
}

void
ab_flow_record_attempt (struct ab_flow *flow, const struct ab_attempt *attempt,
                        uint64_t latency_us)
{
  AB_FLOW_EXPLAIN (
      flow, "attempt_ended", ab_log_str ("target", flow->grant.target),
      ab_log_str ("end", ab_attempt_name (attempt->end)),
      ab_log_int ("status", attempt->status),
      ab_log_int ("shed", attempt->shed),
      ab_log_int ("written", attempt->written),
      ab_log_str ("verdict", ab_verdict_name (ab_attempt_verdict (attempt))),
      ab_log_int ("latency_us", (int64_t)latency_us));
  update_crash_watch (flow, attempt);
}

const char *
ab_flow_claim_result_name (enum ab_claim_result result)
{
  static const char *const names[]
      = { "granted", "recorded", "may-have-run", "mismatch",
          "expired", "future",   "unavailable" };

  return names[result];
}

json_t *
ab_flow_state (const struct ab_flow_env *env)
{
  static const char *const stages[]
      = { "received", "claiming", "asking", "sending" };
  json_t *list = json_array ();
  const struct ab_flow *flow;

  for (flow = env->flows; flow; flow = flow->next)
    json_array_append_new (
        list,
        json_pack (
            "{s:s, s:s, s:I, s:s, s:s, s:b}", "request_id", flow->id, "stage",
            stages[flow->stage], "age_ms",
            (json_int_t)((ab_clock_monotonic_us () - flow->begin_us) / 1000),
            "service", flow->route ? flow->route->service_name : "", "target",
            flow->call ? flow->grant.target : "", "waited_for",
            flow->req != NULL));
  return list;
}
