/* Layout of the segment files of a write-ahead log.  No I/O.

   A segment begins with a header: 8 bytes of magic, the index of its first
   record, the term of the entry before it (8 bytes each, little-endian) and a
   checksum (16).  Records follow without gaps: length of the data (4 bytes),
   kind (4), index (8), term (8), how many bytes of this segment were durable
   when the record was written (8), a checksum of these fields and the data
   (16), the data.  Checksums are BLAKE2b of 16 bytes.  */

#ifndef AB_WAL_RECORD_H
#define AB_WAL_RECORD_H

#include "raft.h"

#define AB_WAL_HEADER_BYTES 40
#define AB_WAL_RECORD_BYTES 48 /* Bytes of a record before its data.  */
#define AB_WAL_CHECKSUM_BYTES 16

struct ab_wal_header
{
  uint64_t first_index;
  uint64_t previous_term;
};

struct ab_wal_record
{
  struct ab_raft_entry entry;
  /* Synced bytes of the segment when the record was written.  */
  uint64_t durable_bytes;
  size_t bytes; /* Size of the whole record.  */
};

void ab_wal_header_encode (const struct ab_wal_header *header,
                           uint8_t out[AB_WAL_HEADER_BYTES]);

/* Decodes the header at the start of DATA.  AB_ERR_CORRUPT.  */
int ab_wal_header_decode (struct ab_chunk data, struct ab_wal_header *header);

/* Appends the record of ENTRY to OUT; AB_ERR_MEMORY.  */
int ab_wal_record_encode (const struct ab_raft_entry *entry,
                          uint64_t durable_bytes, struct ab_buf *out);

/* Decodes the record at OFFSET of DATA, a whole segment; the entry's data
   points into DATA.  AB_ERR_CORRUPT.  */
int ab_wal_record_decode (struct ab_chunk data, size_t offset,
                          struct ab_wal_record *record);

/* Little-endian numbers; the other files of the data folder use them too.  */
void ab_put_u32 (uint8_t *out, uint32_t value);
void ab_put_u64 (uint8_t *out, uint64_t value);
uint32_t ab_get_u32 (const void *data);
uint64_t ab_get_u64 (const void *data);

/* Computes the BLAKE2b checksum of A followed by B.  */
void ab_checksum (struct ab_chunk a, struct ab_chunk b,
                  uint8_t out[AB_WAL_CHECKSUM_BYTES]);

#endif
