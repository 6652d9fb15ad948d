/* Reading of YAML files by tables of fields.

   A file is a tree of maps, lists and scalars.  A reader describes a map by
   an array of struct ab_conf_field; unknown keys, duplicate keys, missing
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
#define AB_ADDRESS_BYTES 64 /* "255.255.255.255:65535" and IPv6 fit.  */

struct ab_conf
{
  yaml_document_t document;
  bool loaded;
  const char *name; /* File name for messages.  */
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
  size_t offset; /* Of the destination in the struct that is filled.  */
  size_t size;   /* Of the destination, for strings.  */
  bool required;
  uint64_t min;
  uint64_t max; /* 0: no bound.  */
  const void *extra;
};

/* A table entry that fills MEMBER of struct S; further designated initialisers
   may follow.  */
#define AB_CONF_FIELD(s, name, member, reader, ...)                           \
  {                                                                           \
    .key = (name), .read = (reader), .offset = offsetof (struct s, member),   \
    .size = sizeof (((struct s *)0)->member), __VA_ARGS__                     \
  }

/* Parses TEXT, whose name in messages is NAME.  On failure CONF's error tells
   why.  AB_ERR_INVALID, AB_ERR_TOO_LARGE.  */
int ab_conf_load (struct ab_conf *conf, const char *name,
                  struct ab_chunk text);
void ab_conf_free (struct ab_conf *conf);

yaml_node_t *ab_conf_root (struct ab_conf *conf);

/* Fills the struct at DST from the map NODE.  */
int ab_conf_read_map (struct ab_conf *conf, yaml_node_t *node,
                      const struct ab_conf_field *fields, size_t count,
                      void *dst);

/* A list of maps or scalars.  Allocates *ITEMS with calloc, COUNT items of
   ITEM_SIZE bytes, filled by READ with ITEM_FIELD as its field.  */
int ab_conf_read_list (struct ab_conf *conf, yaml_node_t *node,
                       size_t item_size, size_t max, ab_conf_reader read,
                       const struct ab_conf_field *item_field, void **items,
                       size_t *count);

/* Readers of scalars; the type that each fills is given.  */
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

/* The fields of a map that is the value of a key.  */
struct ab_conf_map
{
  const struct ab_conf_field *fields;
  size_t count;
};

#define AB_CONF_MAP(array)                                                    \
  &(const struct ab_conf_map) { (array), sizeof (array) / sizeof (array)[0] }

/* Reads a map by the struct ab_conf_map that is the field's extra.  */
int ab_conf_submap (struct ab_conf *, yaml_node_t *,
                    const struct ab_conf_field *, void *); /* struct */
/* Reads one of the words that are the field's extra, an array of strings that
   ends with a null, as its number in it.  */
int ab_conf_word (struct ab_conf *, yaml_node_t *,
                  const struct ab_conf_field *, void *); /* enum */

/* The scalar NODE's text; AB_ERR_INVALID when it is a map or list.  */
int ab_conf_scalar (struct ab_conf *conf, yaml_node_t *node,
                    const char *expected, struct ab_chunk *text);

/* Records the error "FILE:LINE: MESSAGE" at NODE and returns
   AB_ERR_INVALID.  */
int ab_conf_fail (struct ab_conf *conf, const yaml_node_t *node,
                  const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Reads a whole file of at most MAX bytes into memory from malloc.
   AB_ERR_IO, AB_ERR_TOO_LARGE, AB_ERR_MEMORY.  */
int ab_read_file (const char *path, size_t max, char **data, size_t *len);

/* Whether TEXT is an IP address, a colon and a port.  */
bool ab_address_valid (struct ab_chunk text);

/* Splits a valid address into host and port.  */
int ab_address_split (const char *address, char *host, size_t size,
                      uint16_t *port);

/* The item of NAMES nearest to NAME by edit distance, or null when none is
   near; for "did you mean" messages.  */
const char *ab_nearest_name (const char *name, const char *const *names,
                             size_t count);

#endif
