/* Reading and writing of msgpack values, with the msgpack library.

   Writers append to a buffer and report failures through the buffer's ERROR
   member.  A reader walks nested arrays.  Every getter checks the type and,
   for byte strings, a maximum length; after the first failure all later
   getters fail too, so that a decoder may check ab_reader_error once at its
   end.  A getter that fails returns 0, false or an empty chunk.  */

#ifndef AB_PACK_H
#define AB_PACK_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "buf.h"

/* Levels on a reader's stack.  The outermost holds the top-level value, so
   arrays may be nested one level less deep.  */
#define AB_READER_DEPTH_MAX 8

void ab_pack_array (struct ab_buf *out, size_t count);
void ab_pack_u64 (struct ab_buf *out, uint64_t value);
void ab_pack_i64 (struct ab_buf *out, int64_t value);
void ab_pack_double (struct ab_buf *out, double value);
void ab_pack_bool (struct ab_buf *out, bool value);
void ab_pack_bytes (struct ab_buf *out, struct ab_chunk value);

struct ab_reader
{
  msgpack_unpacked unpacked;
  /* Arrays entered and not yet left, outermost first.  */
  struct
  {
    const msgpack_object *items;
    size_t count;
    size_t next; /* Index of the next item to read.  */
  } stack[AB_READER_DEPTH_MAX];
  size_t depth; /* Levels of STACK in use.  */
  int error;    /* First failure, 0 if none.  */
};

/* Parses the whole of INPUT, which must be one value without trailing bytes.
   INPUT must outlive the reader: byte strings point into it or into memory of
   the reader.  Returns 0 or AB_ERR_CORRUPT; after a failure there is nothing
   to free, and ab_reader_free has no effect.  */
int ab_reader_init (struct ab_reader *reader, struct ab_chunk input);
void ab_reader_free (struct ab_reader *reader);

/* Enters the next value, an array of at most MAX items, and returns the
   number of items; 0 on failure.  ab_reader_leave ends the array and skips
   the items that were not read, which lets a later version append fields.  */
size_t ab_reader_enter (struct ab_reader *reader, size_t max);
void ab_reader_leave (struct ab_reader *reader);

/* Returns whether the innermost array has another item; false after a
   failure.  */
bool ab_reader_has_more (const struct ab_reader *reader);

uint64_t ab_reader_u64 (struct ab_reader *reader);
int64_t ab_reader_i64 (struct ab_reader *reader);
double ab_reader_double (struct ab_reader *reader);
bool ab_reader_bool (struct ab_reader *reader);
struct ab_chunk ab_reader_bytes (struct ab_reader *reader, size_t max);

/* Reads a byte string of exactly SIZE bytes into DST; fills DST with zeros on
   failure.  */
void ab_reader_fixed_bytes (struct ab_reader *reader, void *dst, size_t size);

/* Reads a byte string into DST, a buffer of SIZE bytes, and appends a null
   byte.  A string that contains a null byte is corrupt.  */
void ab_reader_str (struct ab_reader *reader, char *dst, size_t size);

/* Returns 0 or the first failure: AB_ERR_CORRUPT or AB_ERR_TOO_LARGE.  */
int ab_reader_error (const struct ab_reader *reader);

#endif
