/* Replicated state machine of idempotency keys: which attempt may run a
   non-idempotent request, and how the request ended.

   A key must be claimed before its request is sent.  The claim's fencing token
   is the log index of the command that granted it; a completion or a release
   takes effect only with that token and from the process that holds the claim.
   The only clock is the replicated log time, so that all replicas decide
   alike.

   Keys carry their time of creation.  A key older than the horizon is rejected
   as expired, and its record is dropped when the horizon passes it.  The
   horizon is the largest value so far of log time minus retention and never
   moves back; otherwise a longer retention would let dropped keys be claimed
   again.

   Times are in Unix milliseconds.  No I/O.  */

#ifndef AB_LEDGER_H
#define AB_LEDGER_H

#include "digest.h"
#include "ledger_key.h"

/* Default limits of a ledger; beyond them new claims are rejected with
   AB_LEDGER_FULL.  Both must be equal on all replicas.  */
#define AB_LEDGER_RECORDS_MAX 1000000
#define AB_LEDGER_BYTES_MAX (384ULL * 1024 * 1024)

/* Allowed clock skew: how far a key's time may be ahead of log time.  */
#define AB_LEDGER_SKEW_MS (5ULL * 60 * 1000)

struct ab_ledger;

struct ab_ledger_limits
{
  uint64_t records_max;
  uint64_t bytes_max; /* Memory of records and responses.  */
};

/* Identifies one attempt to run a request.  ATTEMPT is unique within the
   process that HOST and INCARNATION identify.  */
struct ab_attempt
{
  char host[AB_NAME_BYTES];
  uint64_t incarnation;
  uint64_t attempt;
};

enum ab_ledger_status
{
  AB_LEDGER_GRANTED,
  AB_LEDGER_RECORDED,     /* The request ran; the response is returned.  */
  AB_LEDGER_MAY_HAVE_RUN, /* Outcome unknown, or the holder restarted.  */
  AB_LEDGER_MISMATCH,     /* The key was used with other content.  */
  AB_LEDGER_EXPIRED,      /* The key is older than the horizon.  */
  AB_LEDGER_FUTURE,       /* The key is ahead of log time: not run.  */
  AB_LEDGER_FULL,         /* Too many records or bytes: not run.  */
  AB_LEDGER_IN_PROGRESS,  /* Another attempt holds the claim.  */
  AB_LEDGER_ABANDONED,    /* This attempt was released: not run.  */
  AB_LEDGER_STATUS_COUNT
};

/* Result of a claim.  The chunks are valid until the next command.  */
struct ab_ledger_answer
{
  enum ab_ledger_status status;
  uint64_t token;           /* Fencing token of the current claim.  */
  struct ab_chunk holder;   /* Host that holds or ended the claim.  */
  struct ab_chunk response; /* Encoded; for AB_LEDGER_RECORDED only.  */
};

/* State of a key's record.  */
enum ab_ledger_state
{
  AB_LEDGER_CLAIMED,
  AB_LEDGER_DONE,    /* The response is recorded.  */
  AB_LEDGER_UNKNOWN, /* The request may have run.  */
  AB_LEDGER_RELEASED /* The request did not run; the key may be claimed.  */
};

/* Copy of a key's record.  RESPONSE is valid until the next command.  */
struct ab_ledger_record
{
  enum ab_ledger_state state;
  struct ab_attempt holder;
  uint64_t token;
  struct ab_digest content;
  struct ab_chunk response;
};

/* Returns an empty ledger, or null if memory is exhausted.  LIMITS may be null
   for the defaults above.  */
struct ab_ledger *ab_ledger_new (const struct ab_ledger_limits *limits);
void ab_ledger_free (struct ab_ledger *ledger);

/* Commands.  */

/* Advances log time and drops the records that the horizon has passed.  An
   earlier LOG_TIME_MS is ignored.  */
void ab_ledger_advance (struct ab_ledger *ledger, uint64_t log_time_ms,
                        uint64_t retention_ms);

/* Claims KEY for ATTEMPT with the fencing token TOKEN and fills ANSWER.
   CONTENT is the digest of the request.  A retried claim by the attempt that
   holds the key is granted again with its first token.  Returns 0 for every
   status, or AB_ERR_MEMORY.  */
int ab_ledger_claim (struct ab_ledger *ledger, const struct ab_ledger_key *key,
                     const struct ab_digest *content,
                     const struct ab_attempt *attempt, uint64_t token,
                     struct ab_ledger_answer *answer);

/* Ends the claim with token TOKEN and records the encoded RESPONSE; an empty
   one means that the outcome is unknown.  Only the process of ATTEMPT is
   compared, not its number.  Returns 0, also for a retried completion;
   AB_ERR_NOT_FOUND; AB_ERR_CONFLICT if the claim was released, has another
   token or is held by another process; AB_ERR_TOO_LARGE; or AB_ERR_MEMORY.  */
int ab_ledger_complete (struct ab_ledger *ledger,
                        const struct ab_ledger_key *key,
                        const struct ab_attempt *attempt, uint64_t token,
                        struct ab_chunk response);

/* Releases the claim with token TOKEN as not run.  A TOKEN of 0 abandons
   ATTEMPT, whose grant the holder has not seen: a claim by it that arrives
   later is not granted.  Returns 0, also for a retried release;
   AB_ERR_NOT_FOUND; AB_ERR_CONFLICT if the claim ended otherwise, has another
   token or is held by another process; or AB_ERR_MEMORY.  */
int ab_ledger_release (struct ab_ledger *ledger,
                       const struct ab_ledger_key *key,
                       const struct ab_attempt *attempt, uint64_t token);

/* Queries.  */

/* Fills ANSWER with the status that a claim would get from the stored record,
   without changing the ledger.  Returns false if only ab_ledger_claim can
   decide.  Every status but AB_LEDGER_IN_PROGRESS is final.  */
bool ab_ledger_peek (const struct ab_ledger *ledger,
                     const struct ab_ledger_key *key,
                     const struct ab_digest *content,
                     const struct ab_attempt *attempt,
                     struct ab_ledger_answer *answer);

/* Copies the record of KEY into COPY.  Returns 0 or AB_ERR_NOT_FOUND.  */
int ab_ledger_find (const struct ab_ledger *ledger,
                    const struct ab_ledger_key *key,
                    struct ab_ledger_record *copy);

/* Number of records, memory that they use, and the horizon.  */
size_t ab_ledger_count (const struct ab_ledger *ledger);
uint64_t ab_ledger_bytes (const struct ab_ledger *ledger);
uint64_t ab_ledger_horizon_ms (const struct ab_ledger *ledger);

/* Appends a snapshot to OUT as parts, each a 4-byte length and a msgpack
   value, followed by an empty part.  Returns 0 or an error of OUT.  */
int ab_ledger_save (const struct ab_ledger *ledger, struct ab_buf *out);

/* Reads the snapshot at the start of *INPUT into the empty LEDGER and advances
   INPUT past it.  Returns 0, AB_ERR_CORRUPT or AB_ERR_MEMORY.  */
int ab_ledger_load (struct ab_ledger *ledger, struct ab_chunk *input);

#endif
