#include "wal_record.h"

#include <sodium.h>

#include "error.h"

static const char wal_magic[8] = "ABWAL01";

void
ab_put_u32 (uint8_t *out, uint32_t value)
{
  for (int i = 0; i < 4; i++)
    out[i] = (uint8_t)(value >> (8 * i));
}

void
ab_put_u64 (uint8_t *out, uint64_t value)
{
  for (int i = 0; i < 8; i++)
    out[i] = (uint8_t)(value >> (8 * i));
}

uint32_t
ab_get_u32 (const void *data)
{
  const uint8_t *bytes = data;
  uint32_t value = 0;

  for (int i = 3; i >= 0; i--)
    value = value << 8 | bytes[i];
  return value;
}

uint64_t
ab_get_u64 (const void *data)
{
  const uint8_t *bytes = data;

  return (uint64_t)ab_get_u32 (bytes + 4) << 32 | ab_get_u32 (bytes);
}

void
ab_checksum (struct ab_chunk a, struct ab_chunk b,
             uint8_t out[AB_WAL_CHECKSUM_BYTES])
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, NULL, 0, AB_WAL_CHECKSUM_BYTES);
  if (a.len > 0)
    crypto_generichash_update (&state, (const uint8_t *)a.data, a.len);
  if (b.len > 0)
    crypto_generichash_update (&state, (const uint8_t *)b.data, b.len);
  crypto_generichash_final (&state, out, AB_WAL_CHECKSUM_BYTES);
}

void
ab_wal_header_encode (const struct ab_wal_header *header,
                      uint8_t out[AB_WAL_HEADER_BYTES])
{
  memcpy (out, wal_magic, sizeof wal_magic);
  ab_put_u64 (out + 8, header->first_index);
  ab_put_u64 (out + 16, header->previous_term);
  ab_checksum (ab_chunk (out, 24), ab_chunk (NULL, 0), out + 24);
}

int
ab_wal_header_decode (struct ab_chunk data, struct ab_wal_header *header)
{
  uint8_t expected[AB_WAL_HEADER_BYTES];

  if (data.len < AB_WAL_HEADER_BYTES)
    return AB_ERR_CORRUPT;
  header->first_index = ab_get_u64 (data.data + 8);
  header->previous_term = ab_get_u64 (data.data + 16);
  ab_wal_header_encode (header, expected);
  return memcmp (expected, data.data, sizeof expected) == 0 ? 0
                                                            : AB_ERR_CORRUPT;
}

int
ab_wal_record_encode (const struct ab_raft_entry *entry,
                      uint64_t durable_bytes, struct ab_buf *out)
{
  uint8_t head[AB_WAL_RECORD_BYTES];

  ab_put_u32 (head, (uint32_t)entry->data.len);
  ab_put_u32 (head + 4, (uint32_t)entry->kind);
  ab_put_u64 (head + 8, entry->index);
  ab_put_u64 (head + 16, entry->term);
  ab_put_u64 (head + 24, durable_bytes);
  ab_checksum (ab_chunk (head, 32), entry->data, head + 32);
  ab_buf_append (out, head, sizeof head);
  return ab_buf_append_chunk (out, entry->data);
}

int
ab_wal_record_decode (struct ab_chunk data, size_t offset,
                      struct ab_wal_record *record)
{
  const char *head = data.data + offset;
  uint8_t checksum[AB_WAL_CHECKSUM_BYTES];
  uint32_t len;
  uint32_t kind;

  if (offset > data.len || data.len - offset < AB_WAL_RECORD_BYTES)
    return AB_ERR_CORRUPT;
  len = ab_get_u32 (head);
  kind = ab_get_u32 (head + 4);
  if (len > AB_RAFT_ENTRY_BYTES_MAX || kind > AB_RAFT_ENTRY_CONFIG
      || len > data.len - offset - AB_WAL_RECORD_BYTES)
    return AB_ERR_CORRUPT;
  record->entry.kind = (enum ab_raft_entry_kind)kind;
  record->entry.index = ab_get_u64 (head + 8);
  record->entry.term = ab_get_u64 (head + 16);
  record->entry.data = ab_chunk (head + AB_WAL_RECORD_BYTES, len);
  record->durable_bytes = ab_get_u64 (head + 24);
  record->bytes = AB_WAL_RECORD_BYTES + len;
  ab_checksum (ab_chunk (head, 32), record->entry.data, checksum);
  return memcmp (checksum, head + 32, sizeof checksum) == 0 ? 0
                                                            : AB_ERR_CORRUPT;
}
