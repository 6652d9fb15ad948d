#include "team_tokens_task.h"

#include <event2/event.h>
#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "log.h"
#include "peer_task.h"
#include "rng.h"

/* A control host that does not answer within this time is passed over.  Longer
   than a control host waits for the leader's pool, which may be in another
   region.  */
#define ANSWER_MS 150
/* A reply that is read later than this, by a host that was frozen, is not
   used: its tokens belong to an earlier time.  */
#define LATE_MS 200
#define CONTROLS_MAX 3
/* A control host that does not answer, or cannot tell, gets one message of one
   team in this time until it answers: with messages of all teams it could not
   catch up when it is overloaded.  */
#define TEST_MS 500
/* The same while no other control host is left to ask.  */
#define LAST_TEST_MS 200
/* Answers in a row that a control host cannot tell, after which it is tested.
   It may also not know a single team.  */
#define UNKNOWN_MAX 4
#define FAILING_HOSTS 8
/* A refusal is remembered for up to this time: it bounds the messages of a
   team above its limit, and leases and returned tokens may change it.  */
#define DENIAL_MAX_MS 250
/* Pause before the control hosts are asked again when none could tell, as
   while the group elects a leader.  */
#define UNKNOWN_PAUSE_MS 120
/* Retry-After when no control host could tell in time.  */
#define UNKNOWN_RETRY_MS 300
/* Control hosts credit tokens within 94 ms with the default window and
   overshoot; later ones need not travel.  */
#define RETURN_MAX_MS 250
/* Interval at which idle teams are removed.  */
#define SWEEP_S 10

struct ab_team_tokens_call
{
  struct ab_team_tokens_call *prev;
  struct ab_team_tokens_call *next;
  struct team *team;
  uint64_t until_ms;
  bool asked; /* A message asks for the token.  */
  ab_team_tokens_callback callback;
  void *ctx;
};

struct team
{
  char name[AB_NAME_BYTES];
  struct ab_team_tokens *tokens;
  struct ab_team_tokens_call *calls; /* In the order of their arrival.  */
  uint64_t id;                       /* Of the message under way; 0: none.  */
  uint64_t asked_ms;
  uint64_t asked_count;
  char tried[CONTROLS_MAX][AB_ADDRESS_BYTES];
  size_t tried_count; /* The last one is asked at present.  */
  uint64_t denied_until_ms;
  uint64_t retry_at_ms; /* When there may be a token, as of that refusal.  */
  struct event *timer;
  UT_hash_handle hh;    /* By name, in TEAMS.  */
  UT_hash_handle by_id; /* In ASKED while a message is under way.  */
};

/* A control host whose latest answers are missing or cannot tell.  */
struct failing_host
{
  char address[AB_ADDRESS_BYTES]; /* Empty: none.  */
  unsigned failures;              /* UNKNOWN_MAX or more: it is tested.  */
  uint64_t tested_ms;             /* Latest failure or test.  */
};

struct ab_team_tokens
{
  struct ab_daemon *daemon;
  const struct ab_fleet_view *view;
  struct team *teams;
  struct team *asked;
  struct event *sweep_timer;
  struct failing_host failing[FAILING_HOSTS];
  uint64_t next_id;
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static uint64_t *
counter (const struct ab_team_tokens *tokens, const char *name)
{
  return ab_counter (tokens->daemon->counters, name);
}

/* Control hosts.  */

/* Returns the record of the control host ADDRESS, or null.  */
static struct failing_host *
find_failing (struct ab_team_tokens *tokens, const char *address)
{
  for (size_t i = 0; i < FAILING_HOSTS; i++)
    if (strcmp (tokens->failing[i].address, address) == 0)
      return &tokens->failing[i];
  return NULL;
}

/* Records that the control host ADDRESS did not answer, or could not tell.  A
   record that is older than all others is replaced.  */
static void
record_failure (struct ab_team_tokens *tokens, const char *address,
                unsigned failures, uint64_t now)
{
  struct failing_host *host = find_failing (tokens, address);
  struct failing_host *oldest = &tokens->failing[0];

  for (size_t i = 1; i < FAILING_HOSTS; i++)
    if (tokens->failing[i].tested_ms < oldest->tested_ms)
      oldest = &tokens->failing[i];
  if (!host)
    {
      host = oldest;
      *host = (struct failing_host){ .failures = 0 };
      ab_chunk_copy_bounded (ab_chunk_str (address), host->address,
                             sizeof host->address);
    }
  if (host->failures < UNKNOWN_MAX && host->failures + failures >= UNKNOWN_MAX)
    AB_LOG (AB_LOG_WARN, "team_tokens_silent",
            ab_log_str ("control", address));
  host->failures += failures;
  host->tested_ms = now;
}

static void
record_answer (struct ab_team_tokens *tokens, const char *address)
{
  struct failing_host *host = find_failing (tokens, address);

  if (host)
    *host = (struct failing_host){ .failures = 0 };
}

static bool
was_tried (const struct team *team, const char *address)
{
  for (size_t i = 0; i < team->tried_count; i++)
    if (strcmp (team->tried[i], address) == 0)
      return true;
  return false;
}

/* Returns the control host to ask next, or null.  */
static const char *
next_control (const struct team *team, uint64_t now)
{
  struct ab_team_tokens *tokens = team->tokens;
  struct failing_host *last = NULL;
  const char *address;

  if (team->tried_count == CONTROLS_MAX)
    return NULL;
  for (size_t i = 0;
       (address = ab_fleet_view_control_at (tokens->view, i)) != NULL; i++)
    {
      struct failing_host *host = find_failing (tokens, address);
      if (was_tried (team, address))
        continue;
      if (!host || host->failures < UNKNOWN_MAX)
        return address;
      if (now >= host->tested_ms + TEST_MS)
        {
          host->tested_ms = now;
          return address;
        }
      if (!last || host->tested_ms < last->tested_ms)
        last = host;
    }
  if (!last || now < last->tested_ms + LAST_TEST_MS)
    return NULL;
  last->tested_ms = now;
  return last->address;
}

/* Calls.  */

static void
end_call (struct ab_team_tokens_call *call, const struct ab_team_token *token)
{
  ab_team_tokens_callback callback = call->callback;
  void *ctx = call->ctx;

  DL_DELETE (call->team->calls, call);
  free (call);
  callback (ctx, token);
}

/* Ends the first COUNT calls of TEAM like TOKEN.  A callback may add calls and
   cancel others.  */
static void
end_calls (struct team *team, size_t count, const struct ab_team_token *token)
{
  for (; count > 0 && team->calls; count--)
    end_call (team->calls, token);
}

/* Returns how many calls the message under way asks for: those that wait
   longest.  */
static size_t
count_asked (const struct team *team)
{
  const struct ab_team_tokens_call *call = team->calls;
  size_t count = 0;

  for (; call && call->asked; call = call->next)
    count++;
  return count;
}

static size_t
count_calls (const struct team *team)
{
  const struct ab_team_tokens_call *call;
  size_t count;

  DL_COUNT (team->calls, call, count);
  return count;
}

static void
forget_message (struct team *team)
{
  if (team->id)
    HASH_DELETE (by_id, team->tokens->asked, team);
  team->id = 0;
}

/* Asks the control hosts again after a pause.  */
static void
pause_calls (struct team *team)
{
  const struct timeval pause = { .tv_usec = UNKNOWN_PAUSE_MS * 1000 };

  team->tried_count = 0;
  evtimer_add (team->timer, &pause);
}

/* Ends the calls whose time is over.  */
static void
drop_late_calls (struct team *team, uint64_t now)
{
  const struct ab_team_token token
      = { .status = AB_TEAM_UNKNOWN, .retry_ms = UNKNOWN_RETRY_MS };
  struct ab_team_tokens_call *call = team->calls;

  while (call)
    if (now >= call->until_ms)
      {
        end_call (call, &token);
        call = team->calls;
      }
    else
      call = call->next;
}

/* Arms the timer for the end of the wait for the control host, or of the first
   call that ends before.  */
static void
arm_timer (struct team *team, uint64_t now)
{
  uint64_t end_ms = team->asked_ms + ANSWER_MS;
  const struct ab_team_tokens_call *call;
  struct timeval tv = { .tv_sec = 0 };

  DL_FOREACH (team->calls, call)
  if (call->until_ms < end_ms)
    end_ms = call->until_ms;
  tv.tv_usec = (suseconds_t)(end_ms > now ? (end_ms - now) * 1000 : 0);
  evtimer_add (team->timer, &tv);
}

/* Messages.  */

static void
send_ask (struct team *team, const char *control)
{
  struct ab_team_tokens *tokens = team->tokens;
  struct ab_team_ask ask = { .id = team->id, .count = team->asked_count };
  struct ab_buf body = AB_BUF_INIT;

  memcpy (ask.team, team->name, sizeof ask.team);
  ab_team_pack_ask (&body, &ask);
  if (!body.error)
    ab_peer_task_send (tokens->daemon->peer, ab_chunk_str (control),
                       AB_FRAME_TEAM_TOKENS, ab_buf_chunk (&body));
  ab_buf_free (&body);
  ++*counter (tokens, "ab_team_tokens_messages_total");
}

/* Asks the next control host for the tokens of all calls of TEAM.  */
static void
ask_next (struct team *team, uint64_t now)
{
  struct ab_team_tokens *tokens = team->tokens;
  struct ab_team_tokens_call *call;
  const char *control;

  forget_message (team);
  drop_late_calls (team, now);
  /* A callback may have added a call, and thereby a message.  */
  if (!team->calls || team->id)
    return;
  evtimer_del (team->timer);
  control = next_control (team, now);
  if (!control)
    {
      pause_calls (team);
      return;
    }
  ab_chunk_copy_bounded (ab_chunk_str (control),
                         team->tried[team->tried_count++], AB_ADDRESS_BYTES);
  team->asked_count = 0;
  DL_FOREACH (team->calls, call)
  if (team->asked_count < AB_TEAM_TOKENS_MAX)
    {
      call->asked = true;
      team->asked_count++;
    }
  team->id = ++tokens->next_id;
  team->asked_ms = now;
  HASH_ADD (by_id, tokens->asked, id, sizeof team->id, team);
  send_ask (team, control);
  arm_timer (team, now);
}

static void
on_timer (evutil_socket_t fd, short events, void *ctx)
{
  struct team *team = ctx;
  uint64_t now = now_ms ();

  (void)fd;
  (void)events;
  if (!team->id)
    {
      ask_next (team, now);
      return;
    }
  if (now < team->asked_ms + ANSWER_MS)
    {
      drop_late_calls (team, now);
      if (team->id)
        arm_timer (team, now);
      return;
    }
  record_failure (team->tokens, team->tried[team->tried_count - 1],
                  UNKNOWN_MAX, now);
  ask_next (team, now);
}

/* Uses the granted tokens and asks for those that are still needed.  */
static void
use_tokens (struct team *team, uint64_t granted, struct ab_team_token *token,
            uint64_t now)
{
  size_t count = count_asked (team);
  uint64_t used = granted < count ? granted : count;

  if (granted > used)
    ab_team_tokens_return (team->tokens, team->name, granted - used, token);
  end_calls (team, used, token);
  if (team->calls && !team->id)
    ask_next (team, now);
}

static void
on_reply (void *ctx, const struct ab_frame *frame)
{
  struct ab_team_tokens *tokens = ctx;
  struct ab_team_reply reply;
  struct ab_team_token token;
  uint64_t now = now_ms ();
  struct team *team;

  if (ab_team_read_reply (frame->body, &reply) < 0)
    return;
  HASH_FIND (by_id, tokens->asked, &reply.id, sizeof reply.id, team);
  if (!team || now > team->asked_ms + LATE_MS)
    return;
  token = (struct ab_team_token){ .status = reply.status,
                                  .retry_ms = reply.answer.retry_ms,
                                  .grantor = reply.answer.grantor,
                                  .stamp_ms = reply.answer.stamp_ms,
                                  .asked_ms = team->asked_ms };
  ab_chunk_copy_bounded (frame->sender, token.control, sizeof token.control);
  if (reply.status == AB_TEAM_UNKNOWN)
    {
      record_failure (tokens, token.control, 1, now);
      ask_next (team, now);
      return;
    }
  record_answer (tokens, token.control);
  forget_message (team);
  evtimer_del (team->timer);
  team->tried_count = 0;
  if (reply.status == AB_TEAM_GRANTED)
    {
      use_tokens (team, reply.answer.granted, &token, now);
      return;
    }
  team->retry_at_ms = now + token.retry_ms;
  team->denied_until_ms
      = now
        + (token.retry_ms < DENIAL_MAX_MS ? token.retry_ms : DENIAL_MAX_MS);
  end_calls (team, count_calls (team), &token);
}

/* Teams.  */

static void
remove_team (struct ab_team_tokens *tokens, struct team *team)
{
  forget_message (team);
  HASH_DEL (tokens->teams, team);
  if (team->timer)
    event_free (team->timer);
  free (team);
}

static void
on_sweep_timer (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_team_tokens *tokens = ctx;
  uint64_t now = now_ms ();
  struct team *team;
  struct team *next;

  (void)fd;
  (void)events;
  HASH_ITER (hh, tokens->teams, team, next)
  if (!team->calls && !team->id && now >= team->denied_until_ms)
    remove_team (tokens, team);
}

static struct team *
find_or_add_team (struct ab_team_tokens *tokens, const char *name)
{
  struct team *team;

  HASH_FIND_STR (tokens->teams, name, team);
  if (team)
    return team;
  team = calloc (1, sizeof *team);
  if (!team)
    return NULL;
  team->tokens = tokens;
  ab_chunk_copy_bounded (ab_chunk_str (name), team->name, sizeof team->name);
  team->timer = evtimer_new (tokens->daemon->base, on_timer, team);
  if (!team->timer)
    {
      free (team);
      return NULL;
    }
  HASH_ADD_STR (tokens->teams, name, team);
  return team;
}

int
ab_team_tokens_new (struct ab_daemon *daemon, struct ab_team_tokens **result)
{
  struct ab_team_tokens *tokens = calloc (1, sizeof *tokens);
  const struct timeval interval = { .tv_sec = SWEEP_S };
  struct ab_rng rng;

  *result = tokens;
  if (!tokens)
    return AB_ERR_MEMORY;
  tokens->daemon = daemon;
  /* Late replies to an earlier process here match no message of this one.  */
  ab_rng_init_system (&rng);
  tokens->next_id = ab_rng_next (&rng) >> 20;
  tokens->sweep_timer
      = event_new (daemon->base, -1, EV_PERSIST, on_sweep_timer, tokens);
  if (!tokens->sweep_timer || event_add (tokens->sweep_timer, &interval) < 0)
    return AB_ERR_MEMORY;
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_TEAM_TOKENS_REPLY, on_reply,
                            tokens);
  return 0;
}

void
ab_team_tokens_free (struct ab_team_tokens *tokens)
{
  struct team *team;
  struct team *next;

  if (!tokens)
    return;
  HASH_ITER (hh, tokens->teams, team, next)
  {
    while (team->calls)
      ab_team_tokens_cancel (team->calls);
    remove_team (tokens, team);
  }
  if (tokens->sweep_timer)
    event_free (tokens->sweep_timer);
  free (tokens);
}

void
ab_team_tokens_use_view (struct ab_team_tokens *tokens,
                         const struct ab_fleet_view *view)
{
  tokens->view = view;
}

uint64_t
ab_team_tokens_denied_ms (const struct ab_team_tokens *tokens,
                          const char *name)
{
  uint64_t now = now_ms ();
  const struct team *team;

  HASH_FIND_STR (tokens->teams, name, team);
  return team && team->denied_until_ms > now ? team->retry_at_ms - now : 0;
}

/* Has the timer start a message for the calls of this turn of the event loop,
   or end the call if that is due before the message under way.  */
static void
schedule_message (struct team *team)
{
  const struct timeval now = { .tv_sec = 0 };

  if (team->id)
    arm_timer (team, now_ms ());
  else
    evtimer_add (team->timer, &now);
}

struct ab_team_tokens_call *
ab_team_tokens_request (struct ab_team_tokens *tokens, const char *name,
                        uint64_t until_ms, ab_team_tokens_callback callback,
                        void *ctx)
{
  struct team *team = find_or_add_team (tokens, name);
  struct ab_team_tokens_call *call;

  if (!team)
    return NULL;
  call = calloc (1, sizeof *call);
  if (!call)
    return NULL;
  *call = (struct ab_team_tokens_call){
    .team = team, .until_ms = until_ms, .callback = callback, .ctx = ctx
  };
  DL_APPEND (team->calls, call);
  schedule_message (team);
  return call;
}

void
ab_team_tokens_cancel (struct ab_team_tokens_call *call)
{
  DL_DELETE (call->team->calls, call);
  free (call);
}

void
ab_team_tokens_return (struct ab_team_tokens *tokens, const char *team,
                       uint64_t count, const struct ab_team_token *token)
{
  struct ab_team_return returned = { .count = count,
                                     .grantor = token->grantor,
                                     .stamp_ms = token->stamp_ms };
  struct ab_buf body = AB_BUF_INIT;

  if (now_ms () > token->asked_ms + RETURN_MAX_MS || !token->grantor)
    return;
  ab_chunk_copy_bounded (ab_chunk_str (team), returned.team,
                         sizeof returned.team);
  ab_team_pack_return (&body, &returned);
  if (!body.error)
    ab_peer_task_send (tokens->daemon->peer, ab_chunk_str (token->control),
                       AB_FRAME_TEAM_RETURN, ab_buf_chunk (&body));
  ab_buf_free (&body);
  *counter (tokens, "ab_team_tokens_returned_total") += count;
}

json_t *
ab_team_tokens_state (const struct ab_team_tokens *tokens)
{
  json_t *list = json_array ();
  uint64_t now = now_ms ();

  for (const struct team *team = tokens->teams; team; team = team->hh.next)
    if (team->calls || team->denied_until_ms > now)
      json_array_append_new (
          list,
          json_pack ("{s:s, s:I, s:I, s:s}", "team", team->name, "waiting",
                     (json_int_t)count_calls (team), "denied_ms",
                     (json_int_t)(team->denied_until_ms > now
                                      ? team->denied_until_ms - now
                                      : 0),
                     "control",
                     team->id ? team->tried[team->tried_count - 1] : ""));
  return list;
}
