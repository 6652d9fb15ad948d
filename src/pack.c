#include "pack.h"

#include "error.h"

static int
write_buf (void *data, const char *bytes, size_t len)
{
  return ab_buf_append (data, bytes, len);
}

static msgpack_packer
packer_for (struct ab_buf *out)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, out, write_buf);
  return packer;
}

void
ab_pack_array (struct ab_buf *out, size_t count)
{
  msgpack_packer packer = packer_for (out);
  msgpack_pack_array (&packer, count);
}

void
ab_pack_u64 (struct ab_buf *out, uint64_t value)
{
  msgpack_packer packer = packer_for (out);
  msgpack_pack_uint64 (&packer, value);
}

void
ab_pack_i64 (struct ab_buf *out, int64_t value)
{
  msgpack_packer packer = packer_for (out);
  msgpack_pack_int64 (&packer, value);
}

void
ab_pack_double (struct ab_buf *out, double value)
{
  msgpack_packer packer = packer_for (out);
  msgpack_pack_double (&packer, value);
}

void
ab_pack_bool (struct ab_buf *out, bool value)
{
  msgpack_packer packer = packer_for (out);
  if (value)
    msgpack_pack_true (&packer);
  else
    msgpack_pack_false (&packer);
}

void
ab_pack_bytes (struct ab_buf *out, struct ab_chunk value)
{
  msgpack_packer packer = packer_for (out);
  msgpack_pack_bin (&packer, value.len);
  if (value.len > 0)
    msgpack_pack_bin_body (&packer, value.data, value.len);
}

/* Layout of a msgpack value's header.  */
struct header
{
  /* Length of the header, including the type byte.  */
  size_t bytes;
  /* Length of the count that ends the header; 0 if there is none.  */
  size_t count_bytes;
  /* Whether the value is an array, whose count is of items; else of bytes.  */
  bool array;
};

/* Fills in HEADER for a value that starts with the byte TYPE.  Returns false
   for a type that the writers above don't produce.  */
static bool
parse_header (unsigned char type, struct header *header)
{
  *header = (struct header){ .bytes = 1 };
  if (type <= 0x7f || type >= 0xe0 || type == 0xc2 || type == 0xc3)
    return true;
  if (type >= 0x90 && type <= 0x9f)
    {
      header->array = true;
      return true;
    }
  switch (type)
    {
    case 0xc4: /* bin 8, 16, 32 */
    case 0xc5:
    case 0xc6:
      header->count_bytes = (size_t)1 << (type - 0xc4);
      break;
    case 0xca: /* float 32, 64 */
    case 0xcb:
      header->bytes += (size_t)4 << (type - 0xca);
      return true;
    case 0xcc: /* unsigned 8 to 64 */
    case 0xcd:
    case 0xce:
    case 0xcf:
      header->bytes += (size_t)1 << (type - 0xcc);
      return true;
    case 0xd0: /* signed 8 to 64 */
    case 0xd1:
    case 0xd2:
    case 0xd3:
      header->bytes += (size_t)1 << (type - 0xd0);
      return true;
    case 0xdc: /* array 16, 32 */
    case 0xdd:
      header->count_bytes = (size_t)2 << (type - 0xdc);
      header->array = true;
      break;
    default:
      return false;
    }
  header->bytes += header->count_bytes;
  return true;
}

/* Returns whether every count in INPUT fits into the bytes that follow it.
   The library allocates an array of the declared length before it reads the
   items, so a frame of five bytes could make it request 100 GB.  */
static bool
counts_fit (struct ab_chunk input)
{
  size_t at = 0;

  while (at < input.len)
    {
      unsigned char type = (unsigned char)input.data[at];
      struct header header;
      size_t count = 0;
      if (!parse_header (type, &header) || header.bytes > input.len - at)
        return false;
      for (size_t i = header.bytes - header.count_bytes; i < header.bytes; i++)
        count = count << 8 | (unsigned char)input.data[at + i];
      at += header.bytes;
      if (count > input.len - at)
        return false;
      if (!header.array)
        at += count;
    }
  return true;
}

int
ab_reader_init (struct ab_reader *reader, struct ab_chunk input)
{
  size_t offset = 0;
  msgpack_unpack_return rc;

  memset (reader, 0, sizeof *reader);
  msgpack_unpacked_init (&reader->unpacked);
  if (!counts_fit (input))
    return reader->error = AB_ERR_CORRUPT;
  rc = msgpack_unpack_next (&reader->unpacked, input.data, input.len, &offset);
  if (rc != MSGPACK_UNPACK_SUCCESS || offset != input.len)
    {
      /* The value is allocated even when it is incomplete or trailing bytes
         follow it, and not every caller frees a reader after a failure.  */
      msgpack_unpacked_destroy (&reader->unpacked);
      return reader->error = AB_ERR_CORRUPT;
    }
  /* The outermost level of the stack holds the single top-level value.  */
  reader->stack[0].items = &reader->unpacked.data;
  reader->stack[0].count = 1;
  reader->depth = 1;
  return 0;
}

void
ab_reader_free (struct ab_reader *reader)
{
  msgpack_unpacked_destroy (&reader->unpacked);
}

bool
ab_reader_has_more (const struct ab_reader *reader)
{
  return !reader->error && reader->depth > 0
         && reader->stack[reader->depth - 1].next
                < reader->stack[reader->depth - 1].count;
}

static const msgpack_object *
next_item (struct ab_reader *reader)
{
  if (!ab_reader_has_more (reader))
    {
      if (!reader->error)
        reader->error = AB_ERR_CORRUPT;
      return NULL;
    }
  return &reader->stack[reader->depth - 1]
              .items[reader->stack[reader->depth - 1].next++];
}

size_t
ab_reader_enter (struct ab_reader *reader, size_t max)
{
  const msgpack_object *item = next_item (reader);

  if (!item)
    return 0;
  if (item->type != MSGPACK_OBJECT_ARRAY
      || reader->depth == AB_READER_DEPTH_MAX)
    {
      reader->error = AB_ERR_CORRUPT;
      return 0;
    }
  if (item->via.array.size > max)
    {
      reader->error = AB_ERR_TOO_LARGE;
      return 0;
    }
  reader->stack[reader->depth].items = item->via.array.ptr;
  reader->stack[reader->depth].count = item->via.array.size;
  reader->stack[reader->depth].next = 0;
  reader->depth++;
  return item->via.array.size;
}

void
ab_reader_leave (struct ab_reader *reader)
{
  if (reader->error)
    return;
  if (reader->depth <= 1)
    {
      reader->error = AB_ERR_CORRUPT;
      return;
    }
  reader->depth--;
}

uint64_t
ab_reader_u64 (struct ab_reader *reader)
{
  const msgpack_object *item = next_item (reader);

  if (!item)
    return 0;
  if (item->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    {
      reader->error = AB_ERR_CORRUPT;
      return 0;
    }
  return item->via.u64;
}

int64_t
ab_reader_i64 (struct ab_reader *reader)
{
  const msgpack_object *item = next_item (reader);

  if (!item)
    return 0;
  if (item->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return item->via.i64;
  if (item->type == MSGPACK_OBJECT_POSITIVE_INTEGER
      && item->via.u64 <= INT64_MAX)
    return (int64_t)item->via.u64;
  reader->error = AB_ERR_CORRUPT;
  return 0;
}

double
ab_reader_double (struct ab_reader *reader)
{
  const msgpack_object *item = next_item (reader);

  if (!item)
    return 0;
  if (item->type != MSGPACK_OBJECT_FLOAT64
      && item->type != MSGPACK_OBJECT_FLOAT32)
    {
      reader->error = AB_ERR_CORRUPT;
      return 0;
    }
  return item->via.f64;
}

bool
ab_reader_bool (struct ab_reader *reader)
{
  const msgpack_object *item = next_item (reader);

  if (!item)
    return false;
  if (item->type != MSGPACK_OBJECT_BOOLEAN)
    {
      reader->error = AB_ERR_CORRUPT;
      return false;
    }
  return item->via.boolean;
}

struct ab_chunk
ab_reader_bytes (struct ab_reader *reader, size_t max)
{
  const msgpack_object *item = next_item (reader);

  if (!item)
    return ab_chunk (NULL, 0);
  if (item->type != MSGPACK_OBJECT_BIN)
    {
      reader->error = AB_ERR_CORRUPT;
      return ab_chunk (NULL, 0);
    }
  if (item->via.bin.size > max)
    {
      reader->error = AB_ERR_TOO_LARGE;
      return ab_chunk (NULL, 0);
    }
  return ab_chunk (item->via.bin.ptr, item->via.bin.size);
}

void
ab_reader_fixed_bytes (struct ab_reader *reader, void *dst, size_t size)
{
  struct ab_chunk bytes = ab_reader_bytes (reader, size);

  if (!reader->error && bytes.len != size)
    reader->error = AB_ERR_CORRUPT;
  if (reader->error || !bytes.data)
    memset (dst, 0, size);
  else
    memcpy (dst, bytes.data, size);
}

void
ab_reader_str (struct ab_reader *reader, char *dst, size_t size)
{
  struct ab_chunk bytes = ab_reader_bytes (reader, size - 1);

  dst[0] = '\0';
  if (!reader->error && memchr (bytes.data ? bytes.data : "", '\0', bytes.len))
    reader->error = AB_ERR_CORRUPT;
  if (!reader->error && !ab_chunk_copy (bytes, dst, size))
    reader->error = AB_ERR_TOO_LARGE;
}

int
ab_reader_error (const struct ab_reader *reader)
{
  return reader->error;
}
