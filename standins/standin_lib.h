/* What the stand-ins share: listening, JSON over HTTP, time, keys.  */

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

/* An event base that does not die of broken connections, or null.  */
struct event_base *standin_base_new (void);

/* Splits "IP:PORT", where the port may be 0; AB_ERR_INVALID.  */
int standin_split (const char *address, char host[AB_ADDRESS_BYTES],
                   uint16_t *port);

/* Binds HTTP to ADDRESS and writes the bound address, which differs for port
   0, to BOUND.  0 or AB_ERR_IO, with a message on standard error.  */
int standin_listen (struct evhttp *http, const char *address,
                    char bound[AB_ADDRESS_BYTES]);

/* Writes the local address of the socket FD as "IP:PORT".  */
int standin_local_address (int fd, char bound[AB_ADDRESS_BYTES]);

/* Answers REQ with OBJECT, which is released.  */
void standin_reply_json (struct evhttp_request *req, int code, json_t *object);

/* The number or text that the query part of REQ's URI gives for KEY.  */
double standin_query_number (struct evhttp_request *req, const char *key,
                             double fallback);
void standin_query_text (struct evhttp_request *req, const char *key,
                         char *text, size_t size);

/* STATUS is 0 when there was no whole response; BODY may be null.  */
typedef void (*standin_json_callback) (void *ctx, int status, json_t *body);

/* Sends one request on a connection of its own and calls CALLBACK once from
   the event loop.  TOKEN and BODY may be null; BODY is released.  */
void standin_request (struct event_base *base, const char *address,
                      enum evhttp_cmd_type method, const char *path,
                      const char *token, json_t *body, uint64_t timeout_ms,
                      standin_json_callback callback, void *ctx);

/* A new UUIDv7 of the present time.  */
void standin_uuid7 (struct ab_rng *rng, char text[STANDIN_UUID_BYTES]);

#endif
