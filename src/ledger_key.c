#include "ledger_key.h"

#include "error.h"

#define KEY_TEXT_BYTES 36
#define TIME_BYTES 6 /* Leading bytes of a UUIDv7 that hold its time.  */
#define RESPONSE_FIELDS 4
#define RESPONSE_FIELDS_MAX 8
#define KEY_FIELDS 3
#define KEY_FIELDS_MAX 8

uint64_t
ab_idempotency_key_time_ms (const uint8_t *key)
{
  uint64_t time_ms = 0;

  for (size_t i = 0; i < TIME_BYTES; i++)
    time_ms = time_ms << 8 | key[i];
  return time_ms;
}

int
ab_idempotency_key_parse (struct ab_chunk text, uint8_t *key)
{
  char digits[2 * AB_IDEMPOTENCY_KEY_BYTES];
  size_t count = 0;

  if (text.len != KEY_TEXT_BYTES)
    return AB_ERR_INVALID;
  for (size_t i = 0; i < text.len; i++)
    {
      bool dash = i == 8 || i == 13 || i == 18 || i == 23;
      if (dash != (text.data[i] == '-'))
        return AB_ERR_INVALID;
      if (!dash)
        digits[count++] = text.data[i];
    }
  if (ab_hex_decode (ab_chunk (digits, count), key, AB_IDEMPOTENCY_KEY_BYTES)
      < 0)
    return AB_ERR_INVALID;
  /* Require version 7 and the variant of RFC 9562; UUIDs of other versions
     carry no Unix time.  */
  if (key[6] >> 4 != 7 || key[8] >> 6 != 2)
    return AB_ERR_INVALID;
  return 0;
}

bool
ab_ledger_key_equal (const struct ab_ledger_key *a,
                     const struct ab_ledger_key *b)
{
  return strcmp (a->team, b->team) == 0 && strcmp (a->service, b->service) == 0
         && memcmp (a->key, b->key, sizeof a->key) == 0;
}

void
ab_ledger_key_pack (const struct ab_ledger_key *key, struct ab_buf *out)
{
  ab_pack_array (out, KEY_FIELDS);
  ab_pack_bytes (out, ab_chunk_str (key->team));
  ab_pack_bytes (out, ab_chunk_str (key->service));
  ab_pack_bytes (out, ab_chunk (key->key, sizeof key->key));
}

void
ab_ledger_key_read (struct ab_reader *reader, struct ab_ledger_key *key)
{
  memset (key, 0, sizeof *key);
  ab_reader_enter (reader, KEY_FIELDS_MAX);
  ab_reader_str (reader, key->team, sizeof key->team);
  ab_reader_str (reader, key->service, sizeof key->service);
  ab_reader_fixed_bytes (reader, key->key, sizeof key->key);
  ab_reader_leave (reader);
}

int
ab_recorded_response_encode (const struct ab_recorded_response *response,
                             struct ab_buf *out)
{
  struct ab_chunk headers = response->headers;
  struct ab_chunk body = response->body;
  bool dropped = response->body_dropped;

  if (headers.len + body.len > AB_RECORDED_BYTES_MAX)
    {
      body.len = 0;
      dropped = true;
    }
  if (headers.len > AB_RECORDED_BYTES_MAX)
    headers.len = 0;
  ab_pack_array (out, RESPONSE_FIELDS);
  ab_pack_i64 (out, response->status);
  ab_pack_bool (out, dropped);
  ab_pack_bytes (out, headers);
  ab_pack_bytes (out, body);
  return out->error;
}

int
ab_recorded_response_decode (struct ab_chunk input,
                             struct ab_recorded_response *response)
{
  struct ab_reader reader;
  int rc;

  memset (response, 0, sizeof *response);
  rc = ab_reader_init (&reader, input);
  if (rc < 0)
    goto out;
  ab_reader_enter (&reader, RESPONSE_FIELDS_MAX);
  response->status = (int)ab_reader_i64 (&reader);
  response->body_dropped = ab_reader_bool (&reader);
  response->headers = ab_reader_bytes (&reader, AB_RECORDED_BYTES_MAX);
  response->body = ab_reader_bytes (&reader, AB_RECORDED_BYTES_MAX);
  rc = ab_reader_error (&reader);
out:
  ab_reader_free (&reader);
  return rc;
}
