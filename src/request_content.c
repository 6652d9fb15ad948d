#include "request_content.h"

#include <event2/buffer.h>
#include <stdio.h>

#include "http_rules.h"

#define PIECES_MAX 32
/* Bytes of a body that count, besides its length: the event loop waits for the
   digest.  */
#define BODY_BYTES_MAX ((size_t)1024 * 1024)

static const char *
method_of (struct evhttp_request *request)
{
  return ab_method_name (
      ab_http_method_from_evhttp (evhttp_request_get_command (request)));
}

static const char *
host_of (struct evhttp_request *request)
{
  return evhttp_find_header (evhttp_request_get_input_headers (request),
                             "Host");
}

static struct ab_digest
digest_of_head (struct evhttp_request *request)
{
  const struct ab_chunk parts[]
      = { ab_chunk_str (method_of (request)), ab_chunk_str (host_of (request)),
          ab_chunk_str (evhttp_request_get_uri (request)) };

  return ab_digest_of_parts (parts, sizeof parts / sizeof parts[0]);
}

void
ab_request_content_prefix (struct evhttp_request *request,
                           uint8_t prefix[AB_DIGEST_PREFIX_BYTES])
{
  struct ab_digest head = digest_of_head (request);

  memcpy (prefix, head.bytes, AB_DIGEST_PREFIX_BYTES);
}

struct ab_digest
ab_request_content (struct evhttp_request *request)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  struct ab_digest head = digest_of_head (request);
  struct ab_digest content;
  struct ab_digest_stream stream;
  struct evbuffer_iovec pieces[PIECES_MAX];
  struct evbuffer_ptr at;
  const uint64_t body_bytes = evbuffer_get_length (body);
  size_t len = body_bytes < BODY_BYTES_MAX ? body_bytes : BODY_BYTES_MAX;
  size_t read = 0;

  ab_digest_begin (&stream);
  ab_digest_add (&stream, ab_chunk (head.bytes, sizeof head.bytes));
  ab_digest_add (&stream, ab_chunk (&body_bytes, sizeof body_bytes));
  /* The body is read in place: it may be large, and parts of it may be
     referenced by a connection to a target.  */
  if (evbuffer_ptr_set (body, &at, 0, EVBUFFER_PTR_SET) < 0)
    len = 0;
  while (read < len)
    {
      int count = evbuffer_peek (body, -1, &at, pieces, PIECES_MAX);
      size_t begin = read;
      for (int i = 0; i < count && i < PIECES_MAX; i++)
        {
          size_t part = pieces[i].iov_len < len - read ? pieces[i].iov_len
                                                       : len - read;
          ab_digest_add (&stream, ab_chunk (pieces[i].iov_base, part));
          read += part;
        }
      if (count <= 0
          || evbuffer_ptr_set (body, &at, read - begin, EVBUFFER_PTR_ADD) < 0)
        break;
    }
  content = ab_digest_end (&stream);
  memcpy (content.bytes, head.bytes, AB_DIGEST_PREFIX_BYTES);
  return content;
}

void
ab_request_content_label (struct evhttp_request *request, char *text,
                          size_t size)
{
  const char *host = host_of (request);
  const char *uri = evhttp_request_get_uri (request);

  snprintf (text, size, "%s %s%.*s", method_of (request), host ? host : "",
            (int)strcspn (uri, "?#"), uri);
}
