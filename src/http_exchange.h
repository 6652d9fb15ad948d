/* One blocking HTTP exchange, for command-line programs and tests.

   Runs an event base of its own until the reply is complete; daemons must not
   use it.  */

#ifndef AB_HTTP_EXCHANGE_H
#define AB_HTTP_EXCHANGE_H

#include "buf.h"

struct ab_http_header
{
  const char *name;
  const char *value;
};

struct ab_http_exchange
{
  const char *address; /* IP:PORT.  */
  const char *method;  /* "GET", "POST", "PUT" or "DELETE".  */
  const char *path;
  const struct ab_http_header *headers;
  size_t header_count;
  struct ab_chunk body; /* May be empty.  */
  int timeout_s;
};

/* Sends the request and appends the reply's body to BODY.  Returns the HTTP
   status, AB_ERR_UNAVAILABLE when no complete reply arrived, AB_ERR_INVALID
   for a bad address or method, or AB_ERR_MEMORY.  */
int ab_http_exchange (const struct ab_http_exchange *exchange,
                      struct ab_buf *body);

#endif
