#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>
#include <sys/queue.h>

#include "attempt.h"
#include "clock.h"
#include "gateway_flow_internal.h"
#include "gateway_team_task.h"
#include "http_rules.h"
#include "log.h"
#include "target_notices.h"

/* Timeout for connecting: covers a round trip between regions and the time in
   the target's accept queue.  */
#define CONNECT_MS 350
/* The content of a request with a larger body is not remembered when it is
   answered: its digest takes too long.  */
#define ANSWERED_BODY_BYTES (64 * 1024)
/* Maximum number of times that one request is sent, including attempts that
   did not run.  */
#define SENDS_MAX 4
/* Longest idle time of a connection that is reused for a request that is not
   idempotent.  Targets close idle connections, and a request sent while that
   happens may have run.  */
#define NON_IDEMPOTENT_IDLE_MS 2500
/* Likewise for an idempotent request, which may be retried.  */
#define IDEMPOTENT_IDLE_MS 8500
/* Minimum time to the deadline for a retry: a fraction of the typical
   latency.  */
#define RETRY_MIN_MS 60
/* An idempotent request whose response has not begun after this part of its
   latency objective asks for a slot on another target: a gray target that
   hangs would keep it until its deadline.  */
#define STALL_OBJECTIVE_SHARE 0.75
/* Part of the objective that must be left until the deadline.  */
#define STALL_LEFT_SHARE 0.25
/* Allowance for the network delay between caller and host, each way.  */
#define NETWORK_DELAY_MS 10

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static enum ab_target_event
attempt_event (const struct ab_attempt *attempt)
{
  switch (attempt->end)
    {
    case AB_ATTEMPT_RESPONSE:
      if (attempt->shed)
        return attempt->status == 421 ? AB_TARGET_REPLACED : AB_TARGET_SHED;
      return attempt->status >= 500 ? AB_TARGET_ERROR : AB_TARGET_OK;
    case AB_ATTEMPT_REFUSED:
      return AB_TARGET_REFUSED;
    case AB_ATTEMPT_UNREACHABLE:
      return AB_TARGET_UNREACHABLE;
    case AB_ATTEMPT_LOST:
    case AB_ATTEMPT_MALFORMED:
    case AB_ATTEMPT_TOO_LARGE:
      return AB_TARGET_LOST;
    case AB_ATTEMPT_TIMEOUT:
      return AB_TARGET_TIMEOUT;
    case AB_ATTEMPT_FULL:
    case AB_ATTEMPT_CANCELLED:
      break;
    }
  return AB_TARGET_UNUSED;
}

/* Returns whether the connection was lost while the target may have been
   running the request.  */
static bool
is_lost (const struct ab_attempt *attempt)
{
  return attempt->written
         && (attempt->end == AB_ATTEMPT_LOST
             || attempt->end == AB_ATTEMPT_MALFORMED);
}

/* Returns whether the target had not responded when its time was over or the
   caller disconnected.  */
static bool
is_unanswered (const struct ab_attempt *attempt)
{
  return attempt->written
         && (attempt->end == AB_ATTEMPT_TIMEOUT
             || attempt->end == AB_ATTEMPT_CANCELLED);
}

/* Records what ATTEMPT says about crashes of its target.  */
static void
report_crash (struct ab_gateway_flow *flow, const struct ab_attempt *attempt)
{
  struct ab_gateway_crashes *crashes = flow->env->crashes;

  if (attempt->end == AB_ATTEMPT_REFUSED)
    ab_gateway_crashes_refused (crashes, flow->grant.address);
  else if (is_unanswered (attempt) && (flow->req || flow->has_content))
    ab_gateway_crashes_hung (crashes, flow->grant.address, flow->incarnation,
                             ab_gateway_flow_content (flow), flow->req);
  else if (!flow->req)
    return;
  else if (is_lost (attempt))
    ab_gateway_crashes_lost (crashes, flow->grant.address, flow->incarnation,
                             ab_gateway_flow_content (flow), flow->req);
  else if (ab_attempt_succeeded (attempt)
           && (flow->body_bytes <= ANSWERED_BODY_BYTES
               || ab_gateway_crashes_may_know (crashes, flow->req)))
    ab_gateway_crashes_answered (crashes, ab_gateway_flow_content (flow));
}

static bool
may_retry (const struct ab_gateway_flow *flow,
           const struct ab_attempt *attempt)
{
  bool not_run = ab_attempt_verdict (attempt) == AB_VERDICT_NOT_RUN;

  if (!flow->req || ab_gateway_flow_time_left (flow) < RETRY_MIN_MS
      || flow->sends >= SENDS_MAX
      || flow->slot_request.tried_count == AB_SCHED_TRIED_MAX
      || attempt->end == AB_ATTEMPT_CANCELLED)
    return false;
  return not_run
         || (flow->route->idempotent
             && flow->may_have_run < flow->route->attempts
             && attempt->end != AB_ATTEMPT_TIMEOUT);
}

static void
record_tried_target (struct ab_gateway_flow *flow)
{
  struct ab_sched_slot_request *slot_request = &flow->slot_request;

  if (slot_request->tried_count < AB_SCHED_TRIED_MAX)
    memcpy (slot_request->tried[slot_request->tried_count++],
            flow->grant.target, sizeof slot_request->tried[0]);
}

/* Records the end of an attempt with BODY_BYTES of a response: updates the
   verdict of FLOW, reports the outcome to the scheduler and logs a
   failure.  */
static void
record_attempt_end (struct ab_gateway_flow *flow,
                    const struct ab_attempt *attempt, uint64_t latency_us,
                    uint64_t body_bytes)
{
  enum ab_target_event event = attempt_event (attempt);
  char content[2 * AB_DIGEST_BYTES + 1] = "";

  flow->attempt = NULL;
  report_crash (flow, attempt);
  if (flow->route->large)
    ab_link_load_end (&flow->env->link, body_bytes);
  flow->verdict
      = ab_verdict_join (flow->verdict, ab_attempt_verdict (attempt));
  flow->may_have_run += ab_attempt_verdict (attempt) != AB_VERDICT_NOT_RUN;
  /* A request that a target rejects has still reached it, so the next attempt
     counts as a retry.  */
  if (attempt->written)
    flow->slot_request.is_retry = true;
  ab_schedule_outcome (flow->env->schedule, &flow->grant, event,
                       latency_us / 1000);
  if (event == AB_TARGET_OK || event == AB_TARGET_UNUSED)
    return;
  ++*ab_gateway_flow_counter (flow, "ab_gateway_attempts_failed_total");
  /* A request that was lost with its target may come again under another
     id.  */
  if (is_lost (attempt) && flow->req)
    ab_hex_encode (ab_gateway_flow_content (flow)->bytes, AB_DIGEST_BYTES,
                   content);
  AB_LOG (AB_LOG_INFO, "attempt_failed",
          ab_log_chunk ("id", ab_buf_chunk (&flow->id)),
          ab_log_str ("content", content),
          ab_log_str ("target", flow->grant.target),
          ab_log_str ("address", flow->grant.address),
          ab_log_str ("event", ab_target_event_name (event)),
          ab_log_str ("end", ab_attempt_name (attempt->end)),
          ab_log_int ("status", attempt->status),
          ab_log_int ("written", attempt->written),
          ab_log_str ("trust",
                      ab_target_health_state_name (flow->grant.health_state)),
          ab_log_int ("latency_us", (int64_t)latency_us));
}

static void
report_rate_limit (const struct ab_gateway_flow *flow,
                   const struct ab_upstream_result *result)
{
  uint64_t per_1000_s;
  uint64_t age_ms;

  if (ab_upstream_rate_limit (result, flow->env->settings->headers.rate_limit,
                              flow->grant.target, &per_1000_s, &age_ms))
    ab_schedule_report_rate_limit (flow->env->schedule, &flow->grant,
                                   per_1000_s, age_ms);
}

/* Reports what the target of FLOW's attempt asks for in its response: that it
   leaves, or, with status 503, that it wants no request for some time.  */
static void
report_notices (const struct ab_gateway_flow *flow,
                const struct ab_upstream_result *result)
{
  const char *leaving;
  const char *retry_after = NULL;
  uint64_t pause_ms;

  if (result->attempt.end != AB_ATTEMPT_RESPONSE)
    return;
  leaving = evhttp_find_header (result->headers,
                                flow->env->settings->headers.leaving);
  if (leaving && strcmp (leaving, "1") == 0)
    {
      ab_schedule_report_leaving (flow->env->schedule, &flow->grant);
      ab_gateway_crashes_leaving (flow->env->crashes, flow->grant.address);
    }
  if (result->attempt.status == HTTP_SERVUNAVAIL)
    retry_after = evhttp_find_header (result->headers, "Retry-After");
  if (!retry_after)
    return;
  if (ab_target_pause_parse (ab_chunk_str (retry_after), &pause_ms))
    ab_schedule_report_pause (flow->env->schedule, &flow->grant, pause_ms);
  else
    AB_LOG (AB_LOG_WARN, "target_pause_unusable",
            ab_log_str ("target", flow->grant.target),
            ab_log_str ("value", retry_after));
}

/* Stops waiting for a chance to replace the attempt.  */
static void
stop_stall_timer (struct ab_gateway_flow *flow)
{
  if (flow->stall_timer)
    event_free (flow->stall_timer);
  flow->stall_timer = NULL;
}

static void
cancel_slot_call (struct ab_gateway_flow *flow)
{
  if (flow->slot_call)
    ab_schedule_cancel (flow->slot_call);
  flow->slot_call = NULL;
}

static void request_slot (struct ab_gateway_flow *flow);

/* Requests a slot on another target.  The attempt goes on until there is one,
   as its response may still come.  */
static void
on_stall (evutil_socket_t fd, short what, void *arg)
{
  struct ab_gateway_flow *flow = arg;

  (void)fd;
  (void)what;
  stop_stall_timer (flow);
  if (!flow->attempt || flow->slot_call || !ab_upstream_written (flow->attempt)
      || ab_upstream_response_started (flow->attempt)
      || ab_gateway_flow_quarantined_ms (flow) > 0)
    return;
  record_tried_target (flow);
  flow->slot_request.is_retry = true;
  ++*ab_gateway_flow_counter (flow, "ab_gateway_stalled_attempts_total");
  request_slot (flow);
}

/* Starts to watch the attempt of FLOW if the request may be sent to another
   target.  */
static void
watch_stall (struct ab_gateway_flow *flow)
{
  uint64_t objective_ms = flow->route->objective_ms;
  uint64_t stall_ms = (uint64_t)(STALL_OBJECTIVE_SHARE * (double)objective_ms);
  uint64_t left_ms = (uint64_t)(STALL_LEFT_SHARE * (double)objective_ms);
  struct timeval tv = { .tv_sec = (time_t)(stall_ms / 1000),
                        .tv_usec = (suseconds_t)(stall_ms % 1000 * 1000) };

  stop_stall_timer (flow);
  if (!flow->route->idempotent || flow->route->large
      || flow->may_have_run + 1 >= flow->route->attempts
      || flow->sends >= SENDS_MAX
      || flow->slot_request.tried_count == AB_SCHED_TRIED_MAX
      || ab_gateway_flow_time_left (flow) < stall_ms + left_ms)
    return;
  flow->stall_timer = evtimer_new (flow->env->daemon->base, on_stall, flow);
  if (flow->stall_timer)
    evtimer_add (flow->stall_timer, &tv);
}

/* Ends the stalled attempt of FLOW, for which there is another target now.  */
static void
replace_attempt (struct ab_gateway_flow *flow)
{
  struct ab_attempt attempt = ab_upstream_cancel (flow->attempt);

  attempt.end = AB_ATTEMPT_TIMEOUT;
  record_attempt_end (flow, &attempt,
                      ab_clock_monotonic_us () - flow->attempt_began_us, 0);
  ++*ab_gateway_flow_counter (flow, "ab_gateway_repeats_total");
}

static void
on_result (void *ctx, const struct ab_upstream_result *result)
{
  struct ab_gateway_flow *flow = ctx;
  const struct ab_attempt *attempt = &result->attempt;
  bool response = attempt->end == AB_ATTEMPT_RESPONSE && !attempt->shed;
  struct ab_failure failure;

  stop_stall_timer (flow);
  cancel_slot_call (flow);
  report_rate_limit (flow, result);
  report_notices (flow, result);
  record_attempt_end (flow, attempt, result->latency_us,
                      response ? evbuffer_get_length (result->body) : 0);
  if (response && (attempt->status < 500 || !may_retry (flow, attempt)))
    {
      ab_gateway_reply_deliver (flow, result);
      return;
    }
  if (may_retry (flow, attempt))
    {
      if (response)
        ab_gateway_reply_keep (flow, result);
      record_tried_target (flow);
      ++*ab_gateway_flow_counter (flow, "ab_gateway_repeats_total");
      ab_gateway_attempt_start (flow);
      return;
    }
  failure = ab_attempt_failure (attempt);
  ab_gateway_reply_rejected (flow, failure.status, failure.code, 0);
}

/* Returns whether the header NAME with VALUE is forwarded to a target
   unchanged.  */
static bool
is_forwarded (const struct ab_gateway_flow *flow,
              const struct ab_http_options *options, const char *name,
              const char *value)
{
  const struct ab_header_names *names = &flow->env->settings->headers;

  return strcasecmp (name, names->deadline) != 0
         && strcasecmp (name, names->incarnation) != 0
         && strcasecmp (name, "Content-Length") != 0
         && strcasecmp (name, "Expect") != 0
         && ab_gateway_team_forwards (flow, name, value)
         && !ab_http_hop_by_hop (options, name);
}

static int
print_headers (struct ab_gateway_flow *flow, struct ab_buf *lines)
{
  const struct ab_header_names *names = &flow->env->settings->headers;
  const struct evkeyvalq *headers
      = evhttp_request_get_input_headers (flow->req);
  const struct evkeyval *item;
  struct ab_http_options options;
  int rc = ab_http_options_read (headers, &options);

  if (rc < 0)
    return rc;
  TAILQ_FOREACH (item, headers, next)
  if (is_forwarded (flow, &options, item->key, item->value))
    ab_buf_printf (lines, "%s: %s\r\n", item->key, item->value);
  ab_buf_printf (lines, "%s: %llu\r\n%s: %s\r\n", names->deadline,
                 (unsigned long long)ab_gateway_flow_time_left (flow),
                 names->incarnation, flow->grant.target);
  ab_gateway_team_print (flow, lines);
  ab_http_options_free (&options);
  return lines->error;
}

static struct ab_upstream_call *
start_upstream_call (struct ab_gateway_flow *flow, struct ab_chunk lines)
{
  const struct ab_header_names *names = &flow->env->settings->headers;
  const struct ab_upstream_request request
      = { .target = flow->grant.address,
          .type = evhttp_request_get_command (flow->req),
          .uri = evhttp_request_get_uri (flow->req),
          .headers = lines,
          .body_buffer = evhttp_request_get_input_buffer (flow->req),
          .deadline_ms = flow->deadline_ms,
          .idle_ms = flow->route->idempotent ? IDEMPOTENT_IDLE_MS
                                             : NON_IDEMPOTENT_IDLE_MS,
          .connect_ms = CONNECT_MS,
          .echo_name = names->request_id,
          .echo_value = ab_buf_chunk (&flow->id),
          .stamp_name = names->answered_by,
          .not_run_name = names->not_run,
          .accept_unframed = true };

  return ab_upstream_send (flow->env->upstream, &request, on_result, flow);
}

/* Requests for large responses are rejected while this host holds or expects
   more bytes of them than this.  They pile up when a caller's link is full or
   a caller reads slowly, and small responses need memory too.  */
#define LARGE_RESPONSE_BYTES (24ULL * 1024 * 1024)
#define LARGE_RESPONSE_RETRY_MS 500

/* Returns whether FLOW expects a large response and this host has no memory
   for another one.  */
static bool
is_memory_full (const struct ab_gateway_flow *flow)
{
  const struct ab_gateway_env *env = flow->env;

  return flow->route->large
         && ab_link_load_bytes (&env->link,
                                ab_caller_conns_unsent (env->conns))
                > LARGE_RESPONSE_BYTES;
}

/* Returns whether FLOW expects a large response that could not pass this
   host's link before the deadline, or before the process ends.  */
static bool
is_link_full (const struct ab_gateway_flow *flow)
{
  const struct ab_gateway_env *env = flow->env;
  uint64_t end_ms = flow->deadline_ms;

  if (!flow->route->large)
    return false;
  if (env->end_ms && env->end_ms < end_ms)
    end_ms = env->end_ms;
  return now_ms ()
             + ab_link_load_wait_ms (&env->link,
                                     ab_caller_conns_unsent (env->conns))
         > end_ms;
}

/* Returns the granted slot, which is not used, to the scheduler.  */
static void
release_grant (const struct ab_gateway_flow *flow)
{
  ab_schedule_outcome (flow->env->schedule, &flow->grant, AB_TARGET_UNUSED, 0);
}

static void
send_request (struct ab_gateway_flow *flow)
{
  struct ab_buf lines = AB_BUF_INIT;

  flow->sends++;
  flow->incarnation = ab_gateway_crashes_incarnation (flow->env->crashes,
                                                      flow->grant.address);
  if (print_headers (flow, &lines) == 0)
    flow->attempt = start_upstream_call (flow, ab_buf_chunk (&lines));
  ab_buf_free (&lines);
  if (flow->attempt)
    {
      flow->attempt_began_us = ab_clock_monotonic_us ();
      watch_stall (flow);
      if (flow->route->large)
        ab_link_load_begin (&flow->env->link);
      return;
    }
  release_grant (flow);
  ab_gateway_reply_rejected (flow, 503, "memory", AB_GATEWAY_RETRY_MS);
}

static void
release_and_reject (struct ab_gateway_flow *flow, const char *code,
                    uint64_t retry_ms)
{
  release_grant (flow);
  ab_gateway_reply_rejected (flow, 503, code, retry_ms);
}

static void
on_grant (void *ctx, enum ab_sched_decision decision,
          const struct ab_schedule_grant *grant, uint64_t wait_ms)
{
  struct ab_gateway_flow *flow = ctx;
  uint64_t quarantined_ms = ab_gateway_flow_quarantined_ms (flow);

  flow->slot_call = NULL;
  flow->slot_wait_us += ab_clock_monotonic_us () - flow->slot_requested_us;
  if (flow->attempt)
    {
      /* The stalled attempt is all there is without a slot elsewhere.  */
      if (decision != AB_SCHED_GRANTED)
        return;
      replace_attempt (flow);
    }
  if (decision != AB_SCHED_GRANTED)
    {
      ab_gateway_reply_rejected (flow, 503, ab_sched_decision_name (decision),
                                 wait_ms);
      return;
    }
  flow->grant = *grant;
  if (quarantined_ms > 0)
    {
      release_grant (flow);
      ab_gateway_reply_quarantined (flow, quarantined_ms);
    }
  else if (is_memory_full (flow))
    release_and_reject (flow, "callers-slow", LARGE_RESPONSE_RETRY_MS);
  else if (is_link_full (flow))
    release_and_reject (flow, "link-full", AB_GATEWAY_RETRY_MS);
  else
    send_request (flow);
}

static void
request_slot (struct ab_gateway_flow *flow)
{
  uint64_t elapsed_ms = now_ms () - flow->begin_ms + NETWORK_DELAY_MS;

  flow->slot_request.objective_ms
      = flow->route->objective_ms > elapsed_ms + NETWORK_DELAY_MS
            ? flow->route->objective_ms - elapsed_ms - NETWORK_DELAY_MS
            : 0;
  flow->slot_request.timeout_ms = ab_gateway_flow_time_left (flow);
  flow->slot_requested_us = ab_clock_monotonic_us ();
  flow->slot_call = ab_schedule_request_slot (
      flow->env->schedule, &flow->slot_request, on_grant, flow);
  flow->slot_request.is_counted = true;
}

void
ab_gateway_attempt_start (struct ab_gateway_flow *flow)
{
  uint64_t quarantined_ms = ab_gateway_flow_quarantined_ms (flow);

  if (quarantined_ms > 0)
    {
      ab_gateway_reply_quarantined (flow, quarantined_ms);
      return;
    }
  request_slot (flow);
  if (!flow->slot_call)
    ab_gateway_reply_rejected (flow, 503, "memory", AB_GATEWAY_RETRY_MS);
}

void
ab_gateway_attempt_cancel (struct ab_gateway_flow *flow)
{
  struct ab_attempt attempt;

  stop_stall_timer (flow);
  cancel_slot_call (flow);
  if (!flow->attempt)
    return;
  attempt = ab_upstream_cancel (flow->attempt);
  record_attempt_end (flow, &attempt, 0, 0);
}
