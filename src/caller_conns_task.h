/* Connections from callers: how many there are, which wait, and which take
   too long to send a request.

   evhttp neither counts its connections nor bounds the time in which a whole
   request must arrive, so each connection's bufferevent is made and watched
   here.  */

#ifndef AB_CALLER_CONNS_TASK_H
#define AB_CALLER_CONNS_TASK_H

#include <event2/http.h>
#include <openssl/ssl.h>
#include <stddef.h>

#include "daemon.h"

struct ab_caller_conns;

/* Watches the connections of HTTP, which accepts through BOUND.  Limits come
   from the daemon's settings.http.  */
int ab_caller_conns_new (struct ab_daemon *daemon, struct evhttp *http,
                         struct evhttp_bound_socket *bound,
                         struct ab_caller_conns **conns);
/* After the evhttp was freed.  */
void ab_caller_conns_free (struct ab_caller_conns *conns);

/* New connections use TLS with CTX, which is kept until the next call; plain
   when null.  */
void ab_caller_conns_set_tls (struct ab_caller_conns *conns, SSL_CTX *ctx);

/* REQ has arrived whole; its connection is busy until the reply.  */
void ab_caller_conns_begin (struct ab_caller_conns *conns,
                            struct evhttp_request *req);
/* The reply to a request of CONNECTION was handed to evhttp.  */
void ab_caller_conns_end (struct ab_caller_conns *conns,
                          struct evhttp_connection *connection);

/* From now on closes connections that have been idle for a second.  */
void ab_caller_conns_drain (struct ab_caller_conns *conns, bool draining);

/* Takes no new connections.  Callers that try are refused at once; those whose
   connection waits to be accepted learn that it was not read.  */
void ab_caller_conns_close_listener (struct ab_caller_conns *conns);

size_t ab_caller_conns_count (const struct ab_caller_conns *conns);
/* Connections with a reply that has not been written out.  */
size_t ab_caller_conns_writing (const struct ab_caller_conns *conns);
/* Bytes of replies that have not been written out.  */
uint64_t ab_caller_conns_unsent (const struct ab_caller_conns *conns);

#endif
