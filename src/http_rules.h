/* Rules of HTTP/1.1 that apply both to callers and to targets: framing,
   hop-by-hop headers, request identifiers.  No I/O.  */

#ifndef AB_HTTP_RULES_H
#define AB_HTTP_RULES_H

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stdint.h>

#include "buf.h"
#include "bundle.h"

/* How a message tells the length of its body.  */
enum ab_framing
{
  AB_FRAMING_NONE,   /* By neither of the two headers.  */
  AB_FRAMING_LENGTH, /* By one Content-Length.  */
  AB_FRAMING_CHUNKED /* By "Transfer-Encoding: chunked".  */
};

/* Determines the framing of a message, and its LENGTH in bytes with
   AB_FRAMING_LENGTH.  Returns 0, or AB_ERR_INVALID for more than one
   Content-Length, one that is not a number, one together with
   Transfer-Encoding, and transfer encodings other than "chunked": two readers
   could disagree about where such a message ends.  */
int ab_http_framing (const struct evkeyvalq *headers, enum ab_framing *framing,
                     uint64_t *length);

/* Returns whether NAME is a token and VALUE has no control characters.  */
bool ab_http_header_valid (const char *name, const char *value);
/* Returns whether ab_http_header_valid holds for each of HEADERS.  */
bool ab_http_headers_valid (const struct evkeyvalq *headers);

/* Returns 0, or AB_ERR_INVALID when it is not clear where the request REQ
   ends: its framing is invalid or the name of a length header malformed.  Sets
   *UNREAD_BODY when evhttp has not read its body, as of HEAD requests.  In
   both cases the connection must be closed after the response: what follows on
   it would be read as the next request.  Source: RFC 9112, sections 5.1
   and 6.3; RFC 9110, section 9.3.2.  */
int ab_http_request_framing (struct evhttp_request *req, bool *unread_body);

/* Returns whether the comma-separated LIST, which may be null, contains the
   item NAME, ignoring case.  evhttp supports only lists of one item.  */
bool ab_http_list_has (const char *list, const char *name);

/* The names that the Connection headers of a message list, in an order that
   allows fast lookups.  They live as long as the message.  */
struct ab_http_options
{
  struct ab_chunk *names;
  size_t count;
};

/* Reads the Connection headers in HEADERS into OPTIONS, which the caller frees
   with ab_http_options_free.  Returns 0 or AB_ERR_MEMORY.  */
int ab_http_options_read (const struct evkeyvalq *headers,
                          struct ab_http_options *options);
void ab_http_options_free (struct ab_http_options *options);

/* Returns whether the header NAME applies to a single connection, either by
   definition or because OPTIONS list it.  */
bool ab_http_hop_by_hop (const struct ab_http_options *options,
                         const char *name);

/* Copies the headers of a caller's request that are forwarded to a target: all
   but hop-by-hop headers, those that the proxy sets itself, the caller's
   credential, and names that start with "Almond-".  Returns 0, AB_ERR_INVALID
   or AB_ERR_MEMORY.  */
int ab_http_copy_request_headers (const struct evkeyvalq *from,
                                  struct evkeyvalq *to);

/* Appends the headers of a target's response that are returned to the caller,
   as "Name: value\r\n" lines.  Content-Length is included only when
   KEEP_LENGTH is true, as for HEAD.  Returns 0 or the error of LINES.  */
int ab_http_print_response_headers (const struct evkeyvalq *from,
                                    bool keep_length, struct ab_buf *lines);

/* Adds "Name: value\r\n" LINES to HEADERS.  Returns 0, AB_ERR_INVALID for a
   malformed line, or AB_ERR_MEMORY.  */
int ab_http_add_header_lines (struct ab_chunk lines,
                              struct evkeyvalq *headers);

/* Returns whether TEXT is a valid request identifier: 1 to 63 letters, digits
   and ".", "_", ":", "-".  */
bool ab_http_request_id_valid (struct ab_chunk text);

/* Converts between evhttp's commands and the bits of enum ab_method.  A
   command without a bit gives 0; an unknown bit gives EVHTTP_REQ_GET.  */
unsigned ab_http_method_from_evhttp (enum evhttp_cmd_type type);
enum evhttp_cmd_type ab_http_method_to_evhttp (enum ab_method method);

#endif
