/* Bodies of the frames about the rate limits of teams.

   A decoder returns 0 or AB_ERR_CORRUPT.  Numbers that a sender cannot mean,
   as too many tokens, are corrupt.  No I/O.  */

#ifndef AB_TEAM_FRAME_H
#define AB_TEAM_FRAME_H

#include <stdbool.h>
#include <stdint.h>

#include "buf.h"
#include "chunk.h"
#include "pack.h"
#include "team_limit.h"

/* Teams in one AB_FRAME_TEAM_DEMAND.  */
#define AB_TEAM_DEMANDS_MAX 256
/* Tokens in one message.  */
#define AB_TEAM_TOKENS_MAX 100000

enum ab_team_status
{
  AB_TEAM_GRANTED,
  AB_TEAM_LIMITED, /* The team is above its limit.  */
  AB_TEAM_UNKNOWN  /* The host cannot tell.  */
};

/* AB_FRAME_TEAM_TOKENS, AB_FRAME_TEAM_POOL.  */
struct ab_team_ask
{
  uint64_t id;
  char team[AB_NAME_BYTES];
  uint64_t count;
};

/* AB_FRAME_TEAM_TOKENS_REPLY.  */
struct ab_team_reply
{
  uint64_t id;
  enum ab_team_status status;
  struct ab_team_answer answer;
};

/* What a reply of the leader says about how current it is.  */
struct ab_team_contact
{
  bool confirmed;  /* There was a confirmed read in this term.  */
  uint64_t age_ms; /* Time since the start of that read.  */
  uint64_t index;  /* Log index that the read gave.  */
};

/* AB_FRAME_TEAM_POOL_REPLY.  */
struct ab_team_pool_reply
{
  struct ab_team_reply reply;
  struct ab_team_contact contact;
};

/* AB_FRAME_TEAM_RETURN.  */
struct ab_team_return
{
  char team[AB_NAME_BYTES];
  uint64_t count;
  uint64_t grantor;
  uint64_t stamp_ms;
};

/* AB_FRAME_TEAM_DEMAND.  */
struct ab_team_demands
{
  uint64_t number;
  uint64_t life;
  size_t count;
  struct ab_team_demand list[AB_TEAM_DEMANDS_MAX];
};

/* AB_FRAME_TEAM_LEASES.  */
struct ab_team_granted
{
  char team[AB_NAME_BYTES];
  double fraction;
  bool renewal;
};

struct ab_team_grants
{
  uint64_t number;
  struct ab_team_contact contact;
  size_t count;
  struct ab_team_granted list[AB_TEAM_DEMANDS_MAX];
};

void ab_team_pack_ask (struct ab_buf *out, const struct ab_team_ask *ask);
int ab_team_read_ask (struct ab_chunk body, struct ab_team_ask *ask);

void ab_team_pack_reply (struct ab_buf *out,
                         const struct ab_team_reply *reply);
int ab_team_read_reply (struct ab_chunk body, struct ab_team_reply *reply);

void ab_team_pack_pool_reply (struct ab_buf *out,
                              const struct ab_team_pool_reply *reply);
int ab_team_read_pool_reply (struct ab_chunk body,
                             struct ab_team_pool_reply *reply);

void ab_team_pack_return (struct ab_buf *out,
                          const struct ab_team_return *returned);
int ab_team_read_return (struct ab_chunk body,
                         struct ab_team_return *returned);

void ab_team_pack_demands (struct ab_buf *out,
                           const struct ab_team_demands *demands);
int ab_team_read_demands (struct ab_chunk body,
                          struct ab_team_demands *demands);

void ab_team_pack_grants (struct ab_buf *out,
                          const struct ab_team_grants *grants);
int ab_team_read_grants (struct ab_chunk body, struct ab_team_grants *grants);

#endif
