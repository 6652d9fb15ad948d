/* Tokens of teams with a rate limit, at a gateway.

   One message asks for the tokens of all waiting requests of a team.  It goes
   to the control host that this host follows, and to the next one when that
   does not answer within 150 ms or cannot tell.  A token that is not used by
   the request that it was asked for is sent back, or is lost.  */

#ifndef AB_TEAM_TOKENS_TASK_H
#define AB_TEAM_TOKENS_TASK_H

#include <jansson.h>

#include "daemon.h"
#include "fleet_view_task.h"
#include "team_frame.h"

struct ab_team_tokens;
struct ab_team_tokens_call;

/* A token, or how it was refused.  */
struct ab_team_token
{
  enum ab_team_status status;
  uint64_t retry_ms; /* When refused.  */
  char control[AB_ADDRESS_BYTES];
  uint64_t grantor;
  uint64_t stamp_ms;
  uint64_t asked_ms; /* When it was asked for, by this host's clock.  */
};

/* Called once from the event loop, unless the call is cancelled.  */
typedef void (*ab_team_tokens_callback) (void *ctx,
                                         const struct ab_team_token *token);

int ab_team_tokens_new (struct ab_daemon *daemon,
                        struct ab_team_tokens **tokens);
void ab_team_tokens_free (struct ab_team_tokens *tokens);
/* Sets the view that names the control hosts.  To be called once, before any
   request.  */
void ab_team_tokens_use_view (struct ab_team_tokens *tokens,
                              const struct ab_fleet_view *view);

/* Returns the time until TEAM may get a token, if this host was just told that
   it gets none; otherwise 0.  */
uint64_t ab_team_tokens_denied_ms (const struct ab_team_tokens *tokens,
                                   const char *team);
/* Requests a token of TEAM, and gives up at UNTIL_MS.  Returns null when
   memory runs out.  */
struct ab_team_tokens_call *
ab_team_tokens_request (struct ab_team_tokens *tokens, const char *team,
                        uint64_t until_ms, ab_team_tokens_callback callback,
                        void *ctx);
void ab_team_tokens_cancel (struct ab_team_tokens_call *call);
/* Sends COUNT tokens like TOKEN, whose requests were never sent, back to the
   control host that gave them, unless it is too late.  */
void ab_team_tokens_return (struct ab_team_tokens *tokens, const char *team,
                            uint64_t count, const struct ab_team_token *token);

json_t *ab_team_tokens_state (const struct ab_team_tokens *tokens);

#endif
