/* Scripted targets and callers for tests of the proxy, on one event base.

   The program that uses it defines the functions of the other tasks.  */

#ifndef PROXY_BENCH_LIB_H
#define PROXY_BENCH_LIB_H

#include <event2/event.h>
#include <openssl/ssl.h>
#include <stdbool.h>

#include "buf.h"
#include "daemon.h"

#define BENCH_TARGETS 3
#define BENCH_REPLIES 4

/* How a target handles a request.  The replies of a target are used in the
   order in which requests arrive; the last one is repeated.  */
struct bench_reply
{
  const char *raw;   /* Bytes to send; null: none.  */
  unsigned delay_ms; /* Before the reply.  */
  bool close;        /* Close the connection after sending.  */
  bool reset;        /* Reset the connection instead of sending.  */
};

struct bench_session;

struct bench_target
{
  struct event_base *base;
  struct evconnlistener *listener;
  char address[AB_ADDRESS_BYTES];
  struct bench_reply replies[BENCH_REPLIES];
  size_t reply_count;
  size_t requests;    /* Complete requests that arrived.  */
  size_t connections; /* Accepted connections.  */
  size_t closed;      /* Connections that the proxy closed.  */
  struct ab_buf seen; /* Bytes of all requests.  */
  struct bench_session *sessions;
};

/* Listens on a free port.  */
void bench_target_start (struct bench_target *target, struct event_base *base);
/* Refuses connections from now on.  */
void bench_target_refuse (struct bench_target *target);
void bench_target_stop (struct bench_target *target);
void bench_target_script (struct bench_target *target,
                          struct bench_reply reply);

/* A caller's connection; collects the bytes that it receives.  */
struct bench_caller
{
  struct event_base *base;
  struct bufferevent *bev;
  struct ab_buf received;
  bool closed;
};

void bench_caller_start (struct bench_caller *caller, struct event_base *base,
                         const char *address);
/* Uses TLS; SSL is freed with the caller.  */
void bench_caller_start_tls (struct bench_caller *caller,
                             struct event_base *base, const char *address,
                             SSL *ssl);
void bench_caller_send (struct bench_caller *caller, const char *raw);
void bench_caller_stop (struct bench_caller *caller);

/* Runs the loop until DONE returns true; fails the test after 10 s.  */
void bench_run (struct event_base *base, bool (*done) (void *ctx), void *ctx);
/* Runs the loop until CALLER's connection is closed; fails after 10 s.  */
void bench_run_closed (struct bench_caller *caller);
/* Runs the loop for MS milliseconds.  */
void bench_run_ms (struct event_base *base, unsigned ms);

/* Writes "127.0.0.1:PORT" to ADDRESS, with a port that is currently free.  */
void bench_free_address (char address[AB_ADDRESS_BYTES]);

#endif
