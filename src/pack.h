/* Reading and writing of msgpack values, on the msgpack library.

   A writer appends to a buffer; its error state is the buffer's.  A reader
   walks nested arrays.  Every getter checks the type and, for byte strings,
   a bound; after the first failure all later getters fail too, so that a
   decoder may check ab_reader_error once at its end.  */

#ifndef AB_PACK_H
#define AB_PACK_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "buf.h"

/* Deepest nesting of arrays that a reader enters.  */
#define AB_READER_DEPTH_MAX 8

void ab_pack_array (struct ab_buf *out, size_t count);
void ab_pack_u64 (struct ab_buf *out, uint64_t value);
void ab_pack_i64 (struct ab_buf *out, int64_t value);
void ab_pack_real (struct ab_buf *out, double value);
void ab_pack_bool (struct ab_buf *out, bool value);
void ab_pack_bytes (struct ab_buf *out, struct ab_chunk value);

struct ab_reader
{
  msgpack_unpacked unpacked;
  struct
  {
    const msgpack_object *items;
    size_t count;
    size_t next;
  } stack[AB_READER_DEPTH_MAX];
  size_t depth;
  int error;
};

/* Parses the whole of INPUT, one value without trailing bytes.  INPUT must
   outlive the reader: byte strings point into it or into the reader.  */
int ab_reader_init (struct ab_reader *reader, struct ab_chunk input);
void ab_reader_free (struct ab_reader *reader);

/* Enters the next value, an array of at most MAX items, and returns its
   length; 0 on failure.  Leave it with ab_reader_leave; items not read are
   skipped, which lets a later version append fields.  */
size_t ab_reader_enter (struct ab_reader *reader, size_t max);
void ab_reader_leave (struct ab_reader *reader);

/* Whether the array entered last has another item.  */
bool ab_reader_more (const struct ab_reader *reader);

uint64_t ab_reader_u64 (struct ab_reader *reader);
int64_t ab_reader_i64 (struct ab_reader *reader);
double ab_reader_real (struct ab_reader *reader);
bool ab_reader_bool (struct ab_reader *reader);
struct ab_chunk ab_reader_bytes (struct ab_reader *reader, size_t max);

/* Reads a byte string of exactly SIZE bytes into DST.  */
void ab_reader_fixed (struct ab_reader *reader, void *dst, size_t size);

/* Reads a byte string into DST, SIZE bytes with the null byte.  */
void ab_reader_str (struct ab_reader *reader, char *dst, size_t size);

/* 0, or the first failure: AB_ERR_CORRUPT or AB_ERR_TOO_LARGE.  */
int ab_reader_error (const struct ab_reader *reader);

#endif
