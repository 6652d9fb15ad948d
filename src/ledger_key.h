/* Keys and recorded responses of non-idempotent requests.  */

#ifndef AB_LEDGER_KEY_H
#define AB_LEDGER_KEY_H

#include "pack.h"
#include "settings.h"

#define AB_IDEMPOTENCY_KEY_BYTES 16
#define AB_RECORDED_BYTES_MAX (64 * 1024)
/* Room for the fields around the headers and the body.  */
#define AB_RECORDED_ENCODED_MAX (AB_RECORDED_BYTES_MAX + 64)

struct ab_ledger_key
{
  char team[AB_NAME_BYTES];
  char service[AB_NAME_BYTES];
  uint8_t key[AB_IDEMPOTENCY_KEY_BYTES]; /* UUIDv7.  */
};

/* The time that a UUIDv7 key carries, in Unix milliseconds.  */
uint64_t ab_idempotency_key_time_ms (const uint8_t *key);

/* Reads "xxxxxxxx-xxxx-7xxx-xxxx-xxxxxxxxxxxx"; AB_ERR_INVALID.  */
int ab_idempotency_key_parse (struct ab_chunk text, uint8_t *key);

/* A response as it is kept: HEADERS are "Name: value\r\n" lines.
   BODY_DROPPED: it was over AB_RECORDED_BYTES_MAX and is kept without its
   body (and without its headers where those alone are over the bound).  */
struct ab_recorded_response
{
  int status;
  bool body_dropped;
  struct ab_chunk headers;
  struct ab_chunk body;
};

bool ab_ledger_key_equal (const struct ab_ledger_key *a,
                          const struct ab_ledger_key *b);

/* Appends the msgpack form.  */
void ab_ledger_key_pack (const struct ab_ledger_key *key, struct ab_buf *out);
void ab_ledger_key_read (struct ab_reader *reader, struct ab_ledger_key *key);

/* Appends the msgpack form of RESPONSE, at most AB_RECORDED_ENCODED_MAX
   bytes.  */
int ab_recorded_response_encode (const struct ab_recorded_response *response,
                                 struct ab_buf *out);

/* Reads it; the chunks of RESPONSE point into INPUT.  */
int ab_recorded_response_decode (struct ab_chunk input,
                                 struct ab_recorded_response *response);

#endif
