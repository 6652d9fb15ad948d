/* Identifies what a caller sends, so that a request is recognised when it is
   sent again under another id or to another host.  No I/O.  */

#ifndef AB_REQUEST_CONTENT_H
#define AB_REQUEST_CONTENT_H

#include <event2/http.h>

#include "digest.h"

/* Computes the first bytes of REQUEST's content, which depend on its method,
   host, path and query alone.  */
void ab_request_content_prefix (struct evhttp_request *request,
                                uint8_t prefix[AB_DIGEST_PREFIX_BYTES]);

/* Returns REQUEST's content, with its body: the length and the first MiB.  */
struct ab_digest ab_request_content (struct evhttp_request *request);

/* Writes the method, host and path of REQUEST to TEXT, a buffer of SIZE bytes,
   for an operator.  A query is left out, as it may hold what is private.  */
void ab_request_content_label (struct evhttp_request *request, char *text,
                               size_t size);

#endif
