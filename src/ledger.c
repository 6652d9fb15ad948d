#include "ledger.h"

#include <stdlib.h>
#include <uthash.h>

#include "error.h"
#include "snapshot_part.h"

#define KEY_BYTES_MAX (2 * AB_NAME_BYTES + AB_IDEMPOTENCY_KEY_BYTES)
#define HEAP_MIN 64
#define RECORDS_PER_PART 256
#define RECORD_FIELDS 9
#define RECORD_FIELDS_MAX 16
#define HEADER_FIELDS 2
#define HEADER_FIELDS_MAX 8

/* A host that records refer to.  A record of an earlier incarnation than the
   latest one was held by a process that has since restarted.  */
struct holder
{
  char host[AB_NAME_BYTES];
  uint64_t latest_incarnation; /* Highest one in this host's claims.  */
  size_t refs;                 /* Number of records.  */
  UT_hash_handle hh;
};

struct record
{
  UT_hash_handle hh;
  struct holder *holder;
  uint64_t incarnation;
  uint64_t attempt;
  uint64_t token;
  struct ab_digest content; /* All zero if unknown.  */
  char *response;
  uint32_t response_len;
  uint8_t state; /* An enum ab_ledger_state.  */
  uint8_t key_len;
  /* Team, null byte, service, null byte, idempotency key.  */
  char key[];
};

struct ab_ledger
{
  struct ab_ledger_limits limits;
  struct record *records;
  struct holder *holders;
  struct record **heap; /* Binary min-heap by the keys' time.  */
  size_t heap_capacity;
  size_t count;
  uint64_t bytes;
  uint64_t log_time_ms;
  uint64_t horizon_ms;
};

static const struct ab_digest unknown_content;

struct ab_ledger *
ab_ledger_new (const struct ab_ledger_limits *limits)
{
  struct ab_ledger *ledger = calloc (1, sizeof *ledger);

  if (!ledger)
    return NULL;
  ledger->limits = (struct ab_ledger_limits){ AB_LEDGER_RECORDS_MAX,
                                              AB_LEDGER_BYTES_MAX };
  if (limits)
    ledger->limits = *limits;
  return ledger;
}

static void
unref_holder (struct ab_ledger *ledger, struct holder *holder)
{
  if (--holder->refs > 0)
    return;
  HASH_DEL (ledger->holders, holder);
  free (holder);
}

static struct holder *
ref_holder (struct ab_ledger *ledger, const char *host)
{
  struct holder *holder;

  HASH_FIND_STR (ledger->holders, host, holder);
  if (!holder)
    {
      holder = calloc (1, sizeof *holder);
      if (!holder)
        return NULL;
      ab_chunk_copy_bounded (ab_chunk_str (host), holder->host,
                             sizeof holder->host);
      HASH_ADD_STR (ledger->holders, host, holder);
    }
  holder->refs++;
  return holder;
}

static uint64_t
record_bytes (const struct record *record)
{
  return sizeof *record + record->key_len + sizeof (struct record *)
         + record->response_len;
}

static void
free_record (struct ab_ledger *ledger, struct record *record)
{
  ledger->bytes -= record_bytes (record);
  HASH_DELETE (hh, ledger->records, record);
  unref_holder (ledger, record->holder);
  free (record->response);
  free (record);
}

void
ab_ledger_free (struct ab_ledger *ledger)
{
  if (!ledger)
    return;
  for (size_t i = 0; i < ledger->count; i++)
    free_record (ledger, ledger->heap[i]);
  free (ledger->heap);
  free (ledger);
}

static uint8_t
encode_key (const struct ab_ledger_key *key, char *out)
{
  size_t team = strlen (key->team) + 1;
  size_t service = strlen (key->service) + 1;

  memcpy (out, key->team, team);
  memcpy (out + team, key->service, service);
  memcpy (out + team + service, key->key, sizeof key->key);
  return (uint8_t)(team + service + sizeof key->key);
}

static struct ab_chunk
holder_name (const struct record *record)
{
  const char *host = record->holder->host;

  return ab_chunk (host, strlen (host));
}

static const uint8_t *
record_uuid (const struct record *record)
{
  return (const uint8_t *)record->key + record->key_len
         - AB_IDEMPOTENCY_KEY_BYTES;
}

static uint64_t
record_time_ms (const struct record *record)
{
  return ab_idempotency_key_time_ms (record_uuid (record));
}

static void
decode_key (const struct record *record, struct ab_ledger_key *key)
{
  memset (key, 0, sizeof *key);
  ab_chunk_copy_bounded (ab_chunk_str (record->key), key->team,
                         sizeof key->team);
  ab_chunk_copy_bounded (ab_chunk_str (record->key + strlen (record->key) + 1),
                         key->service, sizeof key->service);
  memcpy (key->key, record_uuid (record), sizeof key->key);
}

static struct record *
find_record (const struct ab_ledger *ledger, const struct ab_ledger_key *key)
{
  char bytes[KEY_BYTES_MAX];
  uint8_t len = encode_key (key, bytes);
  struct record *record;

  HASH_FIND (hh, ledger->records, bytes, len, record);
  return record;
}

/* Expiry heap.  */

static void
swap (struct ab_ledger *ledger, size_t a, size_t b)
{
  struct record *record = ledger->heap[a];

  ledger->heap[a] = ledger->heap[b];
  ledger->heap[b] = record;
}

static bool
is_older (const struct ab_ledger *ledger, size_t a, size_t b)
{
  return record_time_ms (ledger->heap[a]) < record_time_ms (ledger->heap[b]);
}

static int
push_heap (struct ab_ledger *ledger, struct record *record)
{
  size_t at = ledger->count;

  if (at == ledger->heap_capacity)
    {
      size_t cap
          = ledger->heap_capacity ? 2 * ledger->heap_capacity : HEAP_MIN;
      struct record **heap
          = realloc (ledger->heap, cap * sizeof (struct record *));
      if (!heap)
        return AB_ERR_MEMORY;
      ledger->heap = heap;
      ledger->heap_capacity = cap;
    }
  ledger->heap[ledger->count++] = record;
  while (at > 0 && is_older (ledger, at, (at - 1) / 2))
    {
      swap (ledger, at, (at - 1) / 2);
      at = (at - 1) / 2;
    }
  return 0;
}

static struct record *
pop_heap (struct ab_ledger *ledger)
{
  struct record *top = ledger->heap[0];
  size_t at = 0;

  ledger->heap[0] = ledger->heap[--ledger->count];
  for (;;)
    {
      size_t child = 2 * at + 1;
      if (child >= ledger->count)
        return top;
      if (child + 1 < ledger->count && is_older (ledger, child + 1, child))
        child++;
      if (!is_older (ledger, child, at))
        return top;
      swap (ledger, at, child);
      at = child;
    }
}

void
ab_ledger_advance (struct ab_ledger *ledger, uint64_t log_time_ms,
                   uint64_t retention_ms)
{
  uint64_t horizon;

  if (log_time_ms > ledger->log_time_ms)
    ledger->log_time_ms = log_time_ms;
  horizon = ledger->log_time_ms > retention_ms
                ? ledger->log_time_ms - retention_ms
                : 0;
  if (horizon > ledger->horizon_ms)
    ledger->horizon_ms = horizon;
  while (ledger->count > 0
         && record_time_ms (ledger->heap[0]) < ledger->horizon_ms)
    free_record (ledger, pop_heap (ledger));
}

/* Commands.  */

static int
set_holder (struct ab_ledger *ledger, struct record *record,
            const struct ab_attempt *attempt, uint64_t token)
{
  struct holder *holder = ref_holder (ledger, attempt->host);

  if (!holder)
    return AB_ERR_MEMORY;
  if (record->holder)
    unref_holder (ledger, record->holder);
  if (attempt->incarnation > holder->latest_incarnation)
    holder->latest_incarnation = attempt->incarnation;
  record->holder = holder;
  record->incarnation = attempt->incarnation;
  record->attempt = attempt->attempt;
  record->token = token;
  return 0;
}

static int
add_record (struct ab_ledger *ledger, const struct ab_ledger_key *key,
            const struct ab_attempt *attempt, uint64_t token,
            struct record **result)
{
  char bytes[KEY_BYTES_MAX];
  uint8_t len = encode_key (key, bytes);
  struct record *record = calloc (1, sizeof *record + len);
  int rc = AB_ERR_MEMORY;

  if (!record)
    return AB_ERR_MEMORY;
  memcpy (record->key, bytes, len);
  record->key_len = len;
  rc = set_holder (ledger, record, attempt, token);
  if (rc < 0)
    goto out;
  rc = push_heap (ledger, record);
  if (rc < 0)
    {
      unref_holder (ledger, record->holder);
      goto out;
    }
  HASH_ADD_KEYPTR (hh, ledger->records, record->key, record->key_len, record);
  ledger->bytes += record_bytes (record);
  *result = record;
out:
  if (rc < 0)
    free (record);
  return rc;
}

static bool
held_by_process (const struct record *record, const struct ab_attempt *attempt)
{
  return record->incarnation == attempt->incarnation
         && strcmp (record->holder->host, attempt->host) == 0;
}

static bool
held_by_attempt (const struct record *record, const struct ab_attempt *attempt)
{
  return record->attempt == attempt->attempt
         && held_by_process (record, attempt);
}

static enum ab_ledger_status
status_of_claim (const struct record *record, const struct ab_attempt *attempt)
{
  if (held_by_attempt (record, attempt))
    return AB_LEDGER_GRANTED;
  /* No process can end a claim whose holder has restarted.  */
  if (record->incarnation < record->holder->latest_incarnation)
    return AB_LEDGER_MAY_HAVE_RUN;
  if (strcmp (record->holder->host, attempt->host) == 0
      && record->incarnation < attempt->incarnation)
    return AB_LEDGER_MAY_HAVE_RUN;
  return AB_LEDGER_IN_PROGRESS;
}

/* Fills ANSWER from RECORD.  Returns false if the record may be claimed.  */
static bool
answer_from_record (const struct record *record,
                    const struct ab_digest *content,
                    const struct ab_attempt *attempt,
                    struct ab_ledger_answer *answer)
{
  answer->holder = holder_name (record);
  if (!ab_digest_equal (&record->content, content)
      && !ab_digest_equal (&record->content, &unknown_content))
    {
      answer->status = AB_LEDGER_MISMATCH;
      return true;
    }
  switch ((enum ab_ledger_state)record->state)
    {
    case AB_LEDGER_CLAIMED:
      answer->status = status_of_claim (record, attempt);
      answer->token = record->token;
      return true;
    case AB_LEDGER_DONE:
      answer->status = AB_LEDGER_RECORDED;
      answer->response = ab_chunk (record->response, record->response_len);
      return true;
    case AB_LEDGER_UNKNOWN:
      answer->status = AB_LEDGER_MAY_HAVE_RUN;
      return true;
    default:
      answer->status = AB_LEDGER_ABANDONED;
      return held_by_attempt (record, attempt);
    }
}

bool
ab_ledger_peek (const struct ab_ledger *ledger,
                const struct ab_ledger_key *key,
                const struct ab_digest *content,
                const struct ab_attempt *attempt,
                struct ab_ledger_answer *answer)
{
  const struct record *record = find_record (ledger, key);

  memset (answer, 0, sizeof *answer);
  return record && answer_from_record (record, content, attempt, answer);
}

/* Returns whether KEY's time allows a claim; if not, sets ANSWER's status.  */
static bool
key_time_is_valid (const struct ab_ledger *ledger,
                   const struct ab_ledger_key *key,
                   struct ab_ledger_answer *answer)
{
  uint64_t time_ms = ab_idempotency_key_time_ms (key->key);

  if (time_ms < ledger->horizon_ms)
    answer->status = AB_LEDGER_EXPIRED;
  else if (time_ms > ledger->log_time_ms + AB_LEDGER_SKEW_MS)
    answer->status = AB_LEDGER_FUTURE;
  else
    return true;
  return false;
}

static bool
is_full (const struct ab_ledger *ledger)
{
  return ledger->count >= ledger->limits.records_max
         || ledger->bytes >= ledger->limits.bytes_max;
}

int
ab_ledger_claim (struct ab_ledger *ledger, const struct ab_ledger_key *key,
                 const struct ab_digest *content,
                 const struct ab_attempt *attempt, uint64_t token,
                 struct ab_ledger_answer *answer)
{
  struct record *record = find_record (ledger, key);
  int rc;

  memset (answer, 0, sizeof *answer);
  if (!key_time_is_valid (ledger, key, answer))
    return 0;
  if (record && answer_from_record (record, content, attempt, answer))
    return 0;
  if (!record && is_full (ledger))
    {
      answer->status = AB_LEDGER_FULL;
      return 0;
    }
  rc = record ? set_holder (ledger, record, attempt, token)
              : add_record (ledger, key, attempt, token, &record);
  if (rc < 0)
    return rc;
  record->content = *content;
  record->state = AB_LEDGER_CLAIMED;
  answer->status = AB_LEDGER_GRANTED;
  answer->token = token;
  answer->holder = holder_name (record);
  return 0;
}

int
ab_ledger_complete (struct ab_ledger *ledger, const struct ab_ledger_key *key,
                    const struct ab_attempt *attempt, uint64_t token,
                    struct ab_chunk response)
{
  struct record *record = find_record (ledger, key);

  if (!record)
    return AB_ERR_NOT_FOUND;
  if (record->token != token || !held_by_process (record, attempt))
    return AB_ERR_CONFLICT;
  if (record->state == AB_LEDGER_RELEASED)
    return AB_ERR_CONFLICT;
  if (record->state != AB_LEDGER_CLAIMED)
    return 0;
  if (response.len > AB_RECORDED_ENCODED_MAX)
    return AB_ERR_TOO_LARGE;
  if (response.len == 0)
    {
      record->state = AB_LEDGER_UNKNOWN;
      return 0;
    }
  record->response = malloc (response.len);
  if (!record->response)
    return AB_ERR_MEMORY;
  memcpy (record->response, response.data, response.len);
  record->response_len = (uint32_t)response.len;
  ledger->bytes += response.len;
  record->state = AB_LEDGER_DONE;
  return 0;
}

/* Adds a released record for an abandoned attempt whose claim has not arrived.
   The claim is then rejected when it arrives; a grant would leave the key
   claimed with no process to end the claim.  */
static int
record_abandoned_attempt (struct ab_ledger *ledger,
                          const struct ab_ledger_key *key,
                          const struct ab_attempt *attempt)
{
  struct ab_ledger_answer answer;
  struct record *record;
  int rc;

  if (!key_time_is_valid (ledger, key, &answer) || is_full (ledger))
    return 0;
  rc = add_record (ledger, key, attempt, 0, &record);
  if (rc == 0)
    record->state = AB_LEDGER_RELEASED;
  return rc;
}

int
ab_ledger_release (struct ab_ledger *ledger, const struct ab_ledger_key *key,
                   const struct ab_attempt *attempt, uint64_t token)
{
  struct record *record = find_record (ledger, key);

  if (!record)
    return token == 0 ? record_abandoned_attempt (ledger, key, attempt)
                      : AB_ERR_NOT_FOUND;
  if (token == 0)
    {
      if (record->state == AB_LEDGER_RELEASED)
        return set_holder (ledger, record, attempt, 0);
      if (!held_by_attempt (record, attempt))
        return 0;
    }
  else if (record->token != token || !held_by_process (record, attempt))
    return AB_ERR_CONFLICT;
  if (record->state == AB_LEDGER_CLAIMED)
    record->state = AB_LEDGER_RELEASED;
  return record->state == AB_LEDGER_RELEASED ? 0 : AB_ERR_CONFLICT;
}

int
ab_ledger_find (const struct ab_ledger *ledger,
                const struct ab_ledger_key *key, struct ab_ledger_record *copy)
{
  const struct record *record = find_record (ledger, key);

  if (!record)
    return AB_ERR_NOT_FOUND;
  *copy = (struct ab_ledger_record){
    .state = (enum ab_ledger_state)record->state,
    .holder
    = { .incarnation = record->incarnation, .attempt = record->attempt },
    .token = record->token,
    .content = record->content,
    .response = ab_chunk (record->response, record->response_len),
  };
  memcpy (copy->holder.host, record->holder->host, sizeof copy->holder.host);
  return 0;
}

size_t
ab_ledger_count (const struct ab_ledger *ledger)
{
  return ledger->count;
}

uint64_t
ab_ledger_bytes (const struct ab_ledger *ledger)
{
  return ledger->bytes;
}

uint64_t
ab_ledger_horizon_ms (const struct ab_ledger *ledger)
{
  return ledger->horizon_ms;
}

/* Snapshot.  */

static void
save_record (const struct record *record, struct ab_buf *part)
{
  struct ab_ledger_key key;

  decode_key (record, &key);
  ab_pack_array (part, RECORD_FIELDS);
  ab_ledger_key_pack (&key, part);
  ab_pack_u64 (part, record->state);
  ab_pack_bytes (part, holder_name (record));
  ab_pack_u64 (part, record->holder->latest_incarnation);
  ab_pack_u64 (part, record->incarnation);
  ab_pack_u64 (part, record->attempt);
  ab_pack_u64 (part, record->token);
  ab_pack_bytes (
      part, ab_chunk (record->content.bytes, sizeof record->content.bytes));
  ab_pack_bytes (part, ab_chunk (record->response, record->response_len));
}

int
ab_ledger_save (const struct ab_ledger *ledger, struct ab_buf *out)
{
  struct ab_buf part = AB_BUF_INIT;
  const struct record *record = ledger->records;
  size_t remaining = ledger->count;

  ab_pack_array (&part, HEADER_FIELDS);
  ab_pack_u64 (&part, ledger->log_time_ms);
  ab_pack_u64 (&part, ledger->horizon_ms);
  ab_snapshot_part_append (out, &part);
  while (record)
    {
      size_t count
          = remaining < RECORDS_PER_PART ? remaining : RECORDS_PER_PART;
      ab_buf_clear (&part);
      ab_pack_array (&part, count);
      for (size_t i = 0; i < count && record; i++, record = record->hh.next)
        save_record (record, &part);
      ab_snapshot_part_append (out, &part);
      remaining -= count;
    }
  ab_buf_clear (&part);
  ab_snapshot_part_append (out, &part);
  ab_buf_free (&part);
  return out->error;
}

static int
load_record (struct ab_ledger *ledger, struct ab_reader *reader)
{
  struct ab_ledger_key key;
  struct ab_attempt attempt;
  struct record *record = NULL;
  struct ab_chunk response;
  struct ab_digest content;
  uint64_t state;
  uint64_t latest_incarnation;
  uint64_t token;
  int rc;

  ab_reader_enter (reader, RECORD_FIELDS_MAX);
  ab_ledger_key_read (reader, &key);
  state = ab_reader_u64 (reader);
  ab_reader_str (reader, attempt.host, sizeof attempt.host);
  latest_incarnation = ab_reader_u64 (reader);
  attempt.incarnation = ab_reader_u64 (reader);
  attempt.attempt = ab_reader_u64 (reader);
  token = ab_reader_u64 (reader);
  ab_reader_fixed_bytes (reader, content.bytes, sizeof content.bytes);
  response = ab_reader_bytes (reader, AB_RECORDED_ENCODED_MAX);
  ab_reader_leave (reader);
  if (ab_reader_error (reader) < 0 || state > AB_LEDGER_RELEASED
      || find_record (ledger, &key))
    return AB_ERR_CORRUPT;
  rc = add_record (ledger, &key, &attempt, token, &record);
  if (rc < 0)
    return rc;
  record->content = content;
  if (latest_incarnation > record->holder->latest_incarnation)
    record->holder->latest_incarnation = latest_incarnation;
  if (state == AB_LEDGER_DONE)
    rc = ab_ledger_complete (ledger, &key, &attempt, token, response);
  record->state = (uint8_t)state;
  return rc;
}

static int
load_records (struct ab_ledger *ledger, struct ab_chunk part)
{
  struct ab_reader reader;
  int rc = ab_reader_init (&reader, part);

  if (rc == 0)
    ab_reader_enter (&reader, RECORDS_PER_PART);
  while (rc == 0 && ab_reader_has_more (&reader))
    rc = load_record (ledger, &reader);
  if (rc == 0)
    rc = ab_reader_error (&reader);
  ab_reader_free (&reader);
  return rc;
}

int
ab_ledger_load (struct ab_ledger *ledger, struct ab_chunk *input)
{
  struct ab_reader reader;
  struct ab_chunk part;
  int rc = ab_snapshot_part_next (input, &part);

  if (rc < 0)
    return rc;
  ab_reader_init (&reader, part);
  ab_reader_enter (&reader, HEADER_FIELDS_MAX);
  ledger->log_time_ms = ab_reader_u64 (&reader);
  ledger->horizon_ms = ab_reader_u64 (&reader);
  rc = ab_reader_error (&reader);
  ab_reader_free (&reader);
  while (rc == 0)
    {
      rc = ab_snapshot_part_next (input, &part);
      if (rc < 0 || part.len == 0)
        break;
      rc = load_records (ledger, part);
    }
  return rc;
}
