/* Idempotency keys and recorded responses of non-idempotent requests, and
   their encodings.  No I/O.  */

#ifndef AB_LEDGER_KEY_H
#define AB_LEDGER_KEY_H

#include "pack.h"
#include "settings.h"

#define AB_IDEMPOTENCY_KEY_BYTES 16
#define AB_RECORDED_BYTES_MAX (64 * 1024)
/* Limit on an encoded response: headers and body, and 64 bytes for the other
   fields.  */
#define AB_RECORDED_ENCODED_MAX (AB_RECORDED_BYTES_MAX + 64)

/* Key of a ledger record: an idempotency key is unique within a team and a
   service.  */
struct ab_ledger_key
{
  char team[AB_NAME_BYTES];
  char service[AB_NAME_BYTES];
  uint8_t key[AB_IDEMPOTENCY_KEY_BYTES]; /* UUIDv7.  */
};

/* Returns the time that the UUIDv7 KEY carries, in Unix milliseconds.  */
uint64_t ab_idempotency_key_time_ms (const uint8_t *key);

/* Parses "xxxxxxxx-xxxx-7xxx-xxxx-xxxxxxxxxxxx" into KEY of
   AB_IDEMPOTENCY_KEY_BYTES.  Returns 0, or AB_ERR_INVALID for anything but a
   UUIDv7.  */
int ab_idempotency_key_parse (struct ab_chunk text, uint8_t *key);

/* A recorded response.  HEADERS are "Name: value\r\n" lines.  BODY_DROPPED
   means that the response exceeded AB_RECORDED_BYTES_MAX and was recorded
   without its body, and also without its headers if those alone exceed the
   limit.  */
struct ab_recorded_response
{
  int status;
  bool body_dropped;
  struct ab_chunk headers;
  struct ab_chunk body;
};

bool ab_ledger_key_equal (const struct ab_ledger_key *a,
                          const struct ab_ledger_key *b);

/* Append KEY to OUT in its msgpack form, and read it.  Errors are kept in OUT
   and READER.  */
void ab_ledger_key_pack (const struct ab_ledger_key *key, struct ab_buf *out);
void ab_ledger_key_read (struct ab_reader *reader, struct ab_ledger_key *key);

/* Appends RESPONSE to OUT in its msgpack form of at most
   AB_RECORDED_ENCODED_MAX bytes; drops the body and headers as described
   above.  Returns 0 or an error of OUT.  */
int ab_recorded_response_encode (const struct ab_recorded_response *response,
                                 struct ab_buf *out);

/* Decodes INPUT into RESPONSE, whose chunks point into INPUT.  Returns 0 or an
   error.  */
int ab_recorded_response_decode (struct ab_chunk input,
                                 struct ab_recorded_response *response);

#endif
