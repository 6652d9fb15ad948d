/* State machine of keyed requests: who may run a non-idempotent request, and
   how it ended.

   A key is claimed before the request may be sent.  The claim's fencing token
   is the log index of the command that granted it; a completion or a release
   counts only with that token and from the process that holds the claim.
   Time is the replicated log time alone, so that every replica decides the
   same.

   Keys carry their time of creation.  A key older than the horizon is refused
   as expired, and its record is dropped when the horizon passes it.  The
   horizon is the largest log time less retention seen so far and never goes
   back: with a longer retention, dropped keys could else be claimed again.  */

#ifndef AB_LEDGER_H
#define AB_LEDGER_H

#include "digest.h"
#include "ledger_key.h"

/* New claims are refused as not run beyond these.  Both must be the same on
   all replicas.  */
#define AB_LEDGER_RECORDS_MAX 1000000
#define AB_LEDGER_BYTES_MAX (384ULL * 1024 * 1024)

/* Clocks of callers may be ahead of log time by this much.  */
#define AB_LEDGER_AHEAD_MS (5ULL * 60 * 1000)

struct ab_ledger;

struct ab_ledger_limits
{
  uint64_t records_max;
  uint64_t bytes_max; /* Memory of records and responses.  */
};

/* One attempt to run a request: ATTEMPT is unique in the process that HOST
   and INCARNATION name.  */
struct ab_attempt
{
  char host[AB_NAME_BYTES];
  uint64_t incarnation;
  uint64_t attempt;
};

enum ab_ledger_status
{
  AB_LEDGER_GRANTED,
  AB_LEDGER_RECORDED,     /* It ran; the response is given.  */
  AB_LEDGER_MAY_HAVE_RUN, /* Ended as unknown, or its holder restarted.  */
  AB_LEDGER_MISMATCH,     /* The key belongs to other content.  */
  AB_LEDGER_EXPIRED,      /* Key older than the horizon.  */
  AB_LEDGER_AHEAD,        /* Key ahead of log time: not run.  */
  AB_LEDGER_FULL,         /* Too many records or bytes: not run.  */
  AB_LEDGER_IN_PROGRESS,  /* Another attempt holds the claim.  */
  AB_LEDGER_GIVEN_UP,     /* This attempt was released: not run.  */
  AB_LEDGER_STATUS_COUNT
};

/* Chunks are valid until the next command.  */
struct ab_ledger_answer
{
  enum ab_ledger_status status;
  uint64_t token;           /* Of a grant.  */
  struct ab_chunk holder;   /* Host that holds or ended the claim.  */
  struct ab_chunk response; /* Encoded, with AB_LEDGER_RECORDED.  */
};

enum ab_ledger_state
{
  AB_LEDGER_CLAIMED,
  AB_LEDGER_DONE,
  AB_LEDGER_UNKNOWN,
  AB_LEDGER_RELEASED
};

struct ab_ledger_view
{
  enum ab_ledger_state state;
  struct ab_attempt holder;
  uint64_t token;
  struct ab_digest content;
  struct ab_chunk response;
};

/* LIMITS may be null for the maxima above.  Null without memory.  */
struct ab_ledger *ab_ledger_new (const struct ab_ledger_limits *limits);
void ab_ledger_free (struct ab_ledger *ledger);

/* Commands.  */

/* Advances log time; drops what the horizon passes.  */
void ab_ledger_advance (struct ab_ledger *ledger, uint64_t log_time_ms,
                        uint64_t retention_ms);

/* Claims KEY under TOKEN.  A repeated claim of the attempt that holds the key
   is granted again under its first token.  */
int ab_ledger_claim (struct ab_ledger *ledger, const struct ab_ledger_key *key,
                     const struct ab_digest *content,
                     const struct ab_attempt *attempt, uint64_t token,
                     struct ab_ledger_answer *answer);

/* Ends a claim; an empty RESPONSE means that the end is not known.  0 also
   when repeated; AB_ERR_NOT_FOUND, AB_ERR_CONFLICT when the claim under TOKEN
   ended otherwise or is not BY's.  */
int ab_ledger_complete (struct ab_ledger *ledger,
                        const struct ab_ledger_key *key,
                        const struct ab_attempt *by, uint64_t token,
                        struct ab_chunk response);

/* Gives a claim back as not run.  With TOKEN 0, gives up BY's attempt, whose
   grant has not been seen: a claim of it that arrives later is not granted.
   Errors as above.  */
int ab_ledger_release (struct ab_ledger *ledger,
                       const struct ab_ledger_key *key,
                       const struct ab_attempt *by, uint64_t token);

/* Queries.  */

/* Answers a claim from what is stored, without changing it.  False when only
   a claim can tell.  All answers but AB_LEDGER_IN_PROGRESS are final.  */
bool ab_ledger_look (const struct ab_ledger *ledger,
                     const struct ab_ledger_key *key,
                     const struct ab_digest *content,
                     const struct ab_attempt *attempt,
                     struct ab_ledger_answer *answer);

/* AB_ERR_NOT_FOUND.  */
int ab_ledger_find (const struct ab_ledger *ledger,
                    const struct ab_ledger_key *key,
                    struct ab_ledger_view *view);

size_t ab_ledger_count (const struct ab_ledger *ledger);
uint64_t ab_ledger_bytes (const struct ab_ledger *ledger);
uint64_t ab_ledger_horizon_ms (const struct ab_ledger *ledger);

/* Snapshot: appends parts, each a length of 4 bytes and a msgpack value, and
   an empty part at the end.  */
int ab_ledger_save (const struct ab_ledger *ledger, struct ab_buf *out);

/* Reads the parts at the start of *INPUT into the empty LEDGER and moves
 *INPUT behind them.  AB_ERR_CORRUPT, AB_ERR_MEMORY.  */
int ab_ledger_load (struct ab_ledger *ledger, struct ab_chunk *input);

#endif
