/* Rules of HTTP/1.1 that both sides of the proxy keep: framing, hop-by-hop
   headers, request identifiers.  */

#ifndef AB_HTTP_RULES_H
#define AB_HTTP_RULES_H

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stdint.h>

#include "buf.h"
#include "bundle.h"

/* How the length of a message's body is known.  */
enum ab_framing
{
  AB_FRAMING_NONE,   /* Neither header.  */
  AB_FRAMING_LENGTH, /* One Content-Length.  */
  AB_FRAMING_CHUNKED
};

/* Reads the framing of a message.  AB_ERR_INVALID for more than one
   Content-Length, one that is no number, one beside Transfer-Encoding, and
   transfer encodings other than "chunked": two readers could disagree about
   where such a message ends.  */
int ab_http_framing (const struct evkeyvalq *headers, enum ab_framing *framing,
                     uint64_t *length);

/* Whether the comma-separated LIST, which may be null, has the item NAME in
   any case of letters.  evhttp only knows lists of one item.  */
bool ab_http_list_has (const char *list, const char *name);

/* Whether the header NAME concerns one connection only, by its own meaning or
   because HEADERS' Connection header names it.  */
bool ab_http_hop_by_hop (const struct evkeyvalq *headers, const char *name);

/* Copies the headers of a caller's request that go to a target.  Left out
   are hop-by-hop headers, those that the proxy sets itself, the caller's
   credential, and names that start with "Almond-".  */
int ab_http_copy_request_headers (const struct evkeyvalq *from,
                                  struct evkeyvalq *to);

/* Appends the headers of a target's response that go to the caller, as
   "Name: value\r\n" lines.  Content-Length is kept when KEEP_LENGTH is
   set, for HEAD.  */
int ab_http_print_response_headers (const struct evkeyvalq *from,
                                    bool keep_length, struct ab_buf *lines);

/* Adds "Name: value\r\n" LINES to HEADERS; AB_ERR_INVALID.  */
int ab_http_add_header_lines (struct ab_chunk lines,
                              struct evkeyvalq *headers);

/* Whether TEXT may be used as a request identifier: 1 to 63 letters, digits
   and ".", "_", ":", "-".  */
bool ab_http_request_id_valid (struct ab_chunk text);

/* The bit of enum ab_method for evhttp's command, or 0; and back.  */
unsigned ab_http_method_from_evhttp (enum evhttp_cmd_type type);
enum evhttp_cmd_type ab_http_method_to_evhttp (enum ab_method method);

#endif
