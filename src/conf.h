/* Reader of YAML files that is driven by tables of fields.

   A file is a tree of maps, lists and scalars.  The caller describes each map
   by an array of struct ab_conf_field.  Unknown keys, duplicate keys, missing
   keys and values of the wrong kind are reported as "FILE:LINE: ..." with
   what was expected.  Only the first error is kept.  */

#ifndef AB_CONF_H
#define AB_CONF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <yaml.h>

#include "chunk.h"

#define AB_CONF_ERROR_BYTES 512
#define AB_CONF_FILE_BYTES_MAX (16 * 1024 * 1024)
/* Size of an "IP:PORT" text with its null byte; "255.255.255.255:65535" and
   IPv6 addresses fit.  */
#define AB_ADDRESS_BYTES 64

struct ab_conf
{
  yaml_document_t document;
  bool loaded;
  const char *name; /* File name that error messages give.  */
  char error[AB_CONF_ERROR_BYTES];
};

struct ab_conf_field;

/* Reads NODE into DST; returns 0 or a negative error with CONF's error set by
   ab_conf_fail.  */
typedef int (*ab_conf_reader) (struct ab_conf *conf, yaml_node_t *node,
                               const struct ab_conf_field *field, void *dst);

struct ab_conf_field
{
  const char *key;
  ab_conf_reader read;
  size_t offset; /* Offset of the destination in the struct to fill.  */
  size_t size;   /* Size of the destination in bytes.  */
  bool required;
  uint64_t min; /* Smallest value; milliseconds for a duration.  */
  uint64_t max; /* Largest value, in the unit of MIN; 0 means no limit.  */
  const void *extra; /* Further argument of the reader READ.  */
};

/* A table entry that fills MEMBER of struct S; further designated initialisers
   may follow.  */
#define AB_CONF_FIELD(s, name, member, reader, ...)                           \
  {                                                                           \
    .key = (name), .read = (reader), .offset = offsetof (struct s, member),   \
    .size = sizeof (((struct s *)0)->member), __VA_ARGS__                     \
  }

/* Parses TEXT; NAME is the file name that error messages give.  On failure
   CONF's error tells why.  Returns 0, AB_ERR_INVALID, AB_ERR_TOO_LARGE or
   AB_ERR_MEMORY.  */
int ab_conf_load (struct ab_conf *conf, const char *name,
                  struct ab_chunk text);
void ab_conf_free (struct ab_conf *conf);

yaml_node_t *ab_conf_root (struct ab_conf *conf);

/* Fills the struct at DST from the map NODE, which may have the COUNT keys of
   FIELDS.  Returns 0 or a negative error.  */
int ab_conf_read_map (struct ab_conf *conf, yaml_node_t *node,
                      const struct ab_conf_field *fields, size_t count,
                      void *dst);

/* Reads the list NODE of at most MAX maps or scalars.  Allocates *ITEMS with
   calloc and fills items of ITEM_SIZE bytes by READ, which gets ITEM_FIELD as
   its field.  *COUNT is the number of items whose reading has begun, including
   one that could not be read.  The caller frees *ITEMS, even after a
   failure.  */
int ab_conf_read_list (struct ab_conf *conf, yaml_node_t *node,
                       size_t item_size, size_t max, ab_conf_reader read,
                       const struct ab_conf_field *item_field, void **items,
                       size_t *count);

/* Readers of scalars.  The comment after each reader gives the type of its
   destination.  */
int ab_conf_string (struct ab_conf *, yaml_node_t *,
                    const struct ab_conf_field *, void *); /* char[size] */
int ab_conf_name (struct ab_conf *, yaml_node_t *,
                  const struct ab_conf_field *, void *); /* char[size] */
int ab_conf_u64 (struct ab_conf *, yaml_node_t *, const struct ab_conf_field *,
                 void *); /* uint64_t */
int ab_conf_bool (struct ab_conf *, yaml_node_t *,
                  const struct ab_conf_field *, void *); /* bool */
int ab_conf_duration (struct ab_conf *, yaml_node_t *,
                      const struct ab_conf_field *, void *); /* uint64_t ms */
int ab_conf_percent (struct ab_conf *, yaml_node_t *,
                     const struct ab_conf_field *, void *); /* double 0..1 */
int ab_conf_fraction (struct ab_conf *, yaml_node_t *,
                      const struct ab_conf_field *, void *); /* double 0..1 */
int ab_conf_number (struct ab_conf *, yaml_node_t *,
                    const struct ab_conf_field *, void *); /* double 0..max */
int ab_conf_rate (struct ab_conf *, yaml_node_t *,
                  const struct ab_conf_field *, void *); /* double per s */
int ab_conf_address (struct ab_conf *, yaml_node_t *,
                     const struct ab_conf_field *, void *); /* char[] */
int ab_conf_hex (struct ab_conf *, yaml_node_t *, const struct ab_conf_field *,
                 void *); /* uint8_t[size] */

/* Field table of a map that is itself the value of a key.  */
struct ab_conf_map
{
  const struct ab_conf_field *fields;
  size_t count;
};

#define AB_CONF_MAP(array)                                                    \
  &(const struct ab_conf_map) { (array), sizeof (array) / sizeof (array)[0] }

/* Reads a map; the field's extra is the struct ab_conf_map to use.  */
int ab_conf_submap (struct ab_conf *, yaml_node_t *,
                    const struct ab_conf_field *, void *); /* struct */
/* Reads a word and stores its index in the field's extra, which is an array of
   the allowed words that ends with a null pointer.  */
int ab_conf_enum (struct ab_conf *, yaml_node_t *,
                  const struct ab_conf_field *, void *); /* enum */

/* Sets *TEXT to the text of the scalar NODE, valid until ab_conf_free.
   Returns 0, or AB_ERR_INVALID when NODE is a map or list; the error message
   then says that EXPECTED was expected.  */
int ab_conf_scalar (struct ab_conf *conf, yaml_node_t *node,
                    const char *expected, struct ab_chunk *text);

/* Records the error "FILE:LINE: MESSAGE" with the line of NODE, or
   "FILE: MESSAGE" when NODE is null, unless an error is recorded already.
   Returns AB_ERR_INVALID.  */
int ab_conf_fail (struct ab_conf *conf, const yaml_node_t *node,
                  const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Reads a whole file of at most MAX bytes into memory from malloc, followed by
   a null byte that LEN does not count.  Returns 0, AB_ERR_IO,
   AB_ERR_TOO_LARGE or AB_ERR_MEMORY; *DATA is null on failure.  */
int ab_read_file (const char *path, size_t max, char **data, size_t *len);

/* Returns whether TEXT is an IP address, a colon and a port.  */
bool ab_address_valid (struct ab_chunk text);

/* Splits ADDRESS at its last colon into HOST, a buffer of SIZE bytes, without
   the brackets around an IPv6 address, and PORT.  Returns 0 or
   AB_ERR_INVALID.  */
int ab_address_split (const char *address, char *host, size_t size,
                      uint16_t *port);

/* Returns the item of NAMES with the smallest edit distance to NAME, or null
   when every distance is too large; for "did you mean" messages.  */
const char *ab_nearest_name (const char *name, const char *const *names,
                             size_t count);

#endif
