#include "http_rules.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <strings.h>
#include <sys/queue.h>

#include "dispatch_task.h"
#include "error.h"

static const char *const hop_by_hop[] = { "Connection",
                                          "Keep-Alive",
                                          "Proxy-Authenticate",
                                          "Proxy-Authorization",
                                          "Proxy-Connection",
                                          "TE",
                                          "Trailer",
                                          "Transfer-Encoding",
                                          "Upgrade" };

/* Headers of requests that the proxy sets itself or that are meant for it.  */
static const char *const not_forwarded[]
    = { "Authorization", "Content-Length", "Expect", "Request-Timeout-Ms",
        "X-Request-Id" };

static const char *const not_returned[] = { "X-Request-Id", "Date" };

static const struct
{
  enum ab_method method;
  enum evhttp_cmd_type type;
} methods[] = { { AB_METHOD_GET, EVHTTP_REQ_GET },
                { AB_METHOD_HEAD, EVHTTP_REQ_HEAD },
                { AB_METHOD_POST, EVHTTP_REQ_POST },
                { AB_METHOD_PUT, EVHTTP_REQ_PUT },
                { AB_METHOD_DELETE, EVHTTP_REQ_DELETE },
                { AB_METHOD_PATCH, EVHTTP_REQ_PATCH } };

#define COUNT(a) (sizeof (a) / sizeof (a)[0])

static bool
is_listed (const char *const *names, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (strcasecmp (names[i], name) == 0)
      return true;
  return false;
}

/* Returns the next item of *LIST and moves *LIST behind it; empty at the end
   of the list.  */
static struct ab_chunk
next_item (const char **list)
{
  struct ab_chunk item;

  *list += strspn (*list, ", \t");
  item = ab_chunk (*list, strcspn (*list, ", \t"));
  *list += item.len;
  return item;
}

bool
ab_http_list_has (const char *list, const char *name)
{
  size_t len = strlen (name);
  struct ab_chunk item;

  while (list && (item = next_item (&list)).len > 0)
    if (item.len == len && strncasecmp (item.data, name, len) == 0)
      return true;
  return false;
}

static int
compare_names (const void *a, const void *b)
{
  const struct ab_chunk *left = a;
  const struct ab_chunk *right = b;

  if (left->len != right->len)
    return left->len < right->len ? -1 : 1;
  return strncasecmp (left->data, right->data, left->len);
}

/* Stores the items of all Connection headers in NAMES, unless that is null,
   and returns their number.  */
static size_t
list_options (const struct evkeyvalq *headers, struct ab_chunk *names)
{
  const struct evkeyval *header;
  size_t count = 0;

  TAILQ_FOREACH (header, headers, next)
  {
    const char *list = header->value;
    struct ab_chunk item;

    if (strcasecmp (header->key, "Connection") != 0)
      continue;
    for (; (item = next_item (&list)).len > 0; count++)
      if (names)
        names[count] = item;
  }
  return count;
}

int
ab_http_options_read (const struct evkeyvalq *headers,
                      struct ab_http_options *options)
{
  size_t count = list_options (headers, NULL);

  *options = (struct ab_http_options){ .count = 0 };
  if (count == 0)
    return 0;
  options->names = calloc (count, sizeof *options->names);
  if (!options->names)
    return AB_ERR_MEMORY;
  options->count = list_options (headers, options->names);
  qsort (options->names, count, sizeof *options->names, compare_names);
  return 0;
}

void
ab_http_options_free (struct ab_http_options *options)
{
  free (options->names);
  *options = (struct ab_http_options){ .count = 0 };
}

bool
ab_http_hop_by_hop (const struct ab_http_options *options, const char *name)
{
  const struct ab_chunk wanted = ab_chunk_str (name);

  return is_listed (hop_by_hop, COUNT (hop_by_hop), name)
         || (options->count > 0
             && bsearch (&wanted, options->names, options->count,
                         sizeof *options->names, compare_names));
}

int
ab_http_framing (const struct evkeyvalq *headers, enum ab_framing *framing,
                 uint64_t *length)
{
  const struct evkeyval *header;
  unsigned long long number = 0;
  unsigned lengths = 0;
  unsigned encodings = 0;

  TAILQ_FOREACH (header, headers, next)
  {
    if (strcasecmp (header->key, "Content-Length") == 0)
      {
        lengths++;
        if (!ab_chunk_to_u64 (ab_chunk_str (header->value), &number))
          return AB_ERR_INVALID;
      }
    else if (strcasecmp (header->key, "Transfer-Encoding") == 0)
      {
        encodings++;
        if (strcasecmp (header->value, "chunked") != 0)
          return AB_ERR_INVALID;
      }
  }
  if (lengths + encodings > 1)
    return AB_ERR_INVALID;
  *length = number;
  *framing = lengths     ? AB_FRAMING_LENGTH
             : encodings ? AB_FRAMING_CHUNKED
                         : AB_FRAMING_NONE;
  return 0;
}

static bool
is_token (const char *text)
{
  const char *c = text;

  while (isalnum ((unsigned char)*c) || (*c && strchr ("!#$%&'*+-.^_`|~", *c)))
    c++;
  return c > text && !*c;
}

static bool
is_field_value (const char *text)
{
  for (; *text; text++)
    if (iscntrl ((unsigned char)*text) && *text != '\t')
      return false;
  return true;
}

bool
ab_http_header_valid (const char *name, const char *value)
{
  return is_token (name) && is_field_value (value);
}

bool
ab_http_headers_valid (const struct evkeyvalq *headers)
{
  const struct evkeyval *header;

  TAILQ_FOREACH (header, headers, next)
  if (!ab_http_header_valid (header->key, header->value))
    return false;
  return true;
}

/* Whether NAME is malformed and starts with that of a header that tells the
   length of a body, as "Content-Length ".  */
static bool
is_odd_length_header (const char *name)
{
  static const char *const names[] = { "Content-Length", "Transfer-Encoding" };

  for (size_t i = 0; i < COUNT (names); i++)
    if (strncasecmp (name, names[i], strlen (names[i])) == 0)
      return !is_token (name);
  return false;
}

int
ab_http_request_framing (struct evhttp_request *req, bool *unread_body)
{
  const struct evkeyvalq *headers = evhttp_request_get_input_headers (req);
  const struct evkeyval *header;
  enum ab_framing framing;
  uint64_t length;
  int rc = ab_http_framing (headers, &framing, &length);

  *unread_body = false;
  if (rc < 0)
    return rc;
  /* evhttp takes "Content-Length :" for a header of another name.  */
  TAILQ_FOREACH (header, headers, next)
  if (is_odd_length_header (header->key))
    return AB_ERR_INVALID;
  *unread_body = evhttp_request_get_command (req) == EVHTTP_REQ_HEAD
                 && (framing == AB_FRAMING_CHUNKED || length > 0);
  return 0;
}

static bool
is_almond_header (const char *name)
{
  return strncasecmp (name, "Almond-", sizeof "Almond-" - 1) == 0;
}

int
ab_http_copy_request_headers (const struct evkeyvalq *from,
                              struct evkeyvalq *to)
{
  const struct evkeyval *header;
  struct ab_http_options options;
  int rc = ab_http_options_read (from, &options);

  if (rc < 0)
    return rc;
  TAILQ_FOREACH (header, from, next)
  {
    if (ab_http_hop_by_hop (&options, header->key)
        || is_almond_header (header->key)
        || is_listed (not_forwarded, COUNT (not_forwarded), header->key))
      continue;
    if (evhttp_add_header (to, header->key, header->value) < 0)
      rc = AB_ERR_INVALID;
  }
  ab_http_options_free (&options);
  return rc;
}

int
ab_http_print_response_headers (const struct evkeyvalq *from, bool keep_length,
                                struct ab_buf *lines)
{
  const struct evkeyval *header;
  struct ab_http_options options;
  int rc = ab_http_options_read (from, &options);

  if (rc < 0)
    return rc;
  TAILQ_FOREACH (header, from, next)
  {
    if (ab_http_hop_by_hop (&options, header->key)
        || is_almond_header (header->key)
        || is_listed (not_returned, COUNT (not_returned), header->key)
        || (!keep_length && strcasecmp (header->key, "Content-Length") == 0))
      continue;
    ab_buf_printf (lines, "%s: %s\r\n", header->key, header->value);
  }
  ab_http_options_free (&options);
  return lines->error;
}

int
ab_http_add_header_lines (struct ab_chunk lines, struct evkeyvalq *headers)
{
  struct ab_buf name = AB_BUF_INIT;
  struct ab_buf value = AB_BUF_INIT;
  int rc = 0;

  while (lines.len > 0 && rc == 0)
    {
      const char *end = memmem (lines.data, lines.len, "\r\n", 2);
      size_t len = end ? (size_t)(end - lines.data) : 0;
      const char *colon = end ? memmem (lines.data, len, ": ", 2) : NULL;
      size_t name_len = colon ? (size_t)(colon - lines.data) : 0;

      rc = AB_ERR_INVALID;
      if (!colon)
        break;
      ab_buf_clear (&name);
      ab_buf_clear (&value);
      rc = ab_buf_append (&name, lines.data, name_len);
      if (rc == 0)
        rc = ab_buf_append (&value, colon + 2, len - name_len - 2);
      if (rc == 0 && evhttp_add_header (headers, name.data, value.data) < 0)
        rc = AB_ERR_INVALID;
      lines.data += len + 2;
      lines.len -= len + 2;
    }
  ab_buf_free (&name);
  ab_buf_free (&value);
  return rc;
}

bool
ab_http_request_id_valid (struct ab_chunk text)
{
  if (text.len == 0 || text.len >= AB_REQUEST_ID_BYTES)
    return false;
  for (size_t i = 0; i < text.len; i++)
    if (!isalnum ((unsigned char)text.data[i])
        && !strchr ("._:-", text.data[i]))
      return false;
  return true;
}

unsigned
ab_http_method_from_evhttp (enum evhttp_cmd_type type)
{
  for (size_t i = 0; i < COUNT (methods); i++)
    if (methods[i].type == type)
      return methods[i].method;
  return 0;
}

enum evhttp_cmd_type
ab_http_method_to_evhttp (enum ab_method method)
{
  for (size_t i = 0; i < COUNT (methods); i++)
    if (methods[i].method == method)
      return methods[i].type;
  return EVHTTP_REQ_GET;
}
