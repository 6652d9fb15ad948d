/* Connections from callers: limits their number, closes idle ones, and rejects
   callers that take too long to send a request.  At the limit, idle
   connections are closed for new ones, first those that never had a request.

   evhttp neither counts its connections nor bounds the time in which a
   complete request must arrive, so the bufferevent of each connection is
   created and watched here.  */

#ifndef AB_CALLER_CONNS_TASK_H
#define AB_CALLER_CONNS_TASK_H

#include <event2/http.h>
#include <openssl/ssl.h>
#include <stddef.h>

#include "daemon.h"

struct ab_caller_conns;

/* Watches the connections of HTTP, which accepts them through BOUND.  The
   limits are those of settings.http of DAEMON.  Returns 0 or
   AB_ERR_MEMORY.  */
int ab_caller_conns_new (struct ab_daemon *daemon, struct evhttp *http,
                         struct evhttp_bound_socket *bound,
                         struct ab_caller_conns **conns);
/* To be called after the evhttp was freed.  */
void ab_caller_conns_free (struct ab_caller_conns *conns);

/* New connections use TLS with CTX, or none when CTX is null.  CTX is owned by
   CONNS from now on.  */
void ab_caller_conns_set_tls (struct ab_caller_conns *conns, SSL_CTX *ctx);

/* To be called when REQ has arrived completely: its connection is busy until
   ab_caller_conns_end.  */
void ab_caller_conns_begin (struct ab_caller_conns *conns,
                            struct evhttp_request *req);
/* To be called when the reply to the request on CONNECTION was handed to
   evhttp.  */
void ab_caller_conns_end (struct ab_caller_conns *conns,
                          struct evhttp_connection *connection);

/* With DRAINING, closes connections that have been idle for a second, from a
   second after this call on.  */
void ab_caller_conns_drain (struct ab_caller_conns *conns, bool draining);

/* Closes the listening socket.  New connections are refused at once;
   connections that were not accepted yet are reset, which tells callers that
   no request was read.  */
void ab_caller_conns_close_listener (struct ab_caller_conns *conns);

/* Number of open connections.  */
size_t ab_caller_conns_count (const struct ab_caller_conns *conns);
/* Number of connections with a reply that is not written completely.  */
size_t ab_caller_conns_writing (const struct ab_caller_conns *conns);
/* Total bytes of replies that are not written yet.  */
uint64_t ab_caller_conns_unsent (const struct ab_caller_conns *conns);

#endif
