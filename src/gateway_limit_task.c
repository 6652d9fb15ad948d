#include <event2/http.h>

#include "clock.h"
#include "gateway_flow_internal.h"
#include "log.h"

#define HTTP_TOO_MANY_REQUESTS 429
/* Time that is left for the attempt when the wait for a token ends.  */
#define ATTEMPT_MIN_MS 100
/* Retry-After has two decimals.  */
#define RETRY_MIN_MS 10

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static void
reject_limited (struct ab_gateway_flow *flow, uint64_t retry_ms,
                const char *control)
{
  if (retry_ms < RETRY_MIN_MS)
    retry_ms = RETRY_MIN_MS;
  AB_LOG (AB_LOG_INFO, "team_limit_refused",
          ab_log_chunk ("id", ab_buf_chunk (&flow->id)),
          ab_log_str ("team", flow->team->name),
          ab_log_str ("control", control),
          ab_log_int ("retry_ms", (int64_t)retry_ms));
  ++*ab_gateway_flow_counter (flow, "ab_team_limit_refused_total");
  ab_gateway_reply_error (flow, HTTP_TOO_MANY_REQUESTS, "team-limit",
                          retry_ms);
}

static void
reject_unknown (struct ab_gateway_flow *flow, uint64_t retry_ms)
{
  AB_LOG (AB_LOG_WARN, "team_limit_unknown",
          ab_log_chunk ("id", ab_buf_chunk (&flow->id)),
          ab_log_str ("team", flow->team->name),
          ab_log_str ("control", ab_fleet_view_control (flow->env->view)),
          ab_log_int ("view_age_ms",
                      (int64_t)ab_fleet_view_age_ms (flow->env->view)));
  ++*ab_gateway_flow_counter (flow, "ab_team_limit_unknown_total");
  ab_gateway_reply_rejected (flow, 503, "limit-unknown", retry_ms);
}

static void
on_token (void *ctx, const struct ab_team_token *token)
{
  struct ab_gateway_flow *flow = ctx;

  flow->token_call = NULL;
  if (token->status == AB_TEAM_LIMITED)
    reject_limited (flow, token->retry_ms, token->control);
  else if (token->status == AB_TEAM_UNKNOWN)
    reject_unknown (flow, token->retry_ms);
  else
    {
      flow->token = *token;
      ab_gateway_attempt_start (flow);
    }
}

void
ab_gateway_limit_start (struct ab_gateway_flow *flow)
{
  struct ab_team_tokens *tokens = flow->env->tokens;
  uint64_t denied_ms;

  if (!flow->team || flow->team->rate_per_s == 0)
    {
      ab_gateway_attempt_start (flow);
      return;
    }
  denied_ms = ab_team_tokens_denied_ms (tokens, flow->team->name);
  if (denied_ms > 0)
    {
      reject_limited (flow, denied_ms, "");
      return;
    }
  if (ab_gateway_flow_time_left (flow) <= ATTEMPT_MIN_MS)
    {
      reject_unknown (flow, 0);
      return;
    }
  flow->token_call = ab_team_tokens_request (
      tokens, flow->team->name,
      now_ms () + ab_gateway_flow_time_left (flow) - ATTEMPT_MIN_MS, on_token,
      flow);
  if (!flow->token_call)
    ab_gateway_reply_rejected (flow, 503, "memory", AB_GATEWAY_RETRY_MS);
}

void
ab_gateway_limit_end (struct ab_gateway_flow *flow)
{
  if (flow->token_call)
    ab_team_tokens_cancel (flow->token_call);
  flow->token_call = NULL;
  if (flow->token.control[0] && flow->sends == 0)
    ab_team_tokens_return (flow->env->tokens, flow->team->name, 1,
                           &flow->token);
}
