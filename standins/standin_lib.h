/* Functions that the stand-ins share: listening, JSON over HTTP, identifiers.
   They run on libevent and never block.  */

#ifndef STANDIN_LIB_H
#define STANDIN_LIB_H

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdint.h>

#include "chunk.h"
#include "conf.h"
#include "rng.h"

#define STANDIN_UUID_BYTES 37

/* Returns a new event base with precise timers, or null.  The process then
   ignores SIGPIPE, so that writes to broken connections do not end it.  */
struct event_base *standin_base_new (void);

/* Splits ADDRESS, "IP:PORT", where the port may be 0.  Returns 0 or
   AB_ERR_INVALID.  */
int standin_split_address (const char *address, char host[AB_ADDRESS_BYTES],
                           uint16_t *port);

/* Binds HTTP to ADDRESS and writes the bound address to BOUND, with the actual
   port when ADDRESS has port 0.  Returns 0 or AB_ERR_IO; a failure to bind is
   reported on standard error.  */
int standin_listen (struct evhttp *http, const char *address,
                    char bound[AB_ADDRESS_BYTES]);

/* Writes the local address of the socket FD to BOUND as "IP:PORT".  Returns 0
   or AB_ERR_IO.  */
int standin_local_address (int fd, char bound[AB_ADDRESS_BYTES]);

/* Replies to REQ with status CODE and OBJECT, whose reference is released.  */
void standin_reply_json (struct evhttp_request *req, int code, json_t *object);

/* Return the number that the query of REQ's URI gives for KEY, or FALLBACK;
   write the text for KEY to TEXT, an empty one if KEY is missing.  */
double standin_query_number (struct evhttp_request *req, const char *key,
                             double fallback);
void standin_query_text (struct evhttp_request *req, const char *key,
                         char *text, size_t size);

/* Receives a response.  STATUS is 0 if there was no complete response.  BODY
   is null unless it was JSON, and is released after the call.  */
typedef void (*standin_json_callback) (void *ctx, int status, json_t *body);

/* Sends a request on a new connection and calls CALLBACK once from the event
   loop.  TIMEOUT_MS limits the time to connect and the time without progress.
   TOKEN and BODY may be null; the reference to BODY is released.  */
void standin_request (struct event_base *base, const char *address,
                      enum evhttp_cmd_type method, const char *path,
                      const char *token, json_t *body, uint64_t timeout_ms,
                      standin_json_callback callback, void *ctx);

/* Writes a new UUIDv7 with the current time to TEXT.  */
void standin_uuid7 (struct ab_rng *rng, char text[STANDIN_UUID_BYTES]);

#endif
