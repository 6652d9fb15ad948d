/* Scripted targets and callers for tests of the proxy, on one event base.

   The program that uses it defines the functions of the other tasks.  */

#ifndef PROXY_HARNESS_LIB_H
#define PROXY_HARNESS_LIB_H

#include <event2/event.h>
#include <openssl/ssl.h>
#include <stdbool.h>

#include "buf.h"
#include "daemon.h"

#define HARNESS_TARGETS 3
#define HARNESS_REPLIES 4

/* How a target handles a request.  The replies of a target are used in the
   order in which requests arrive; the last one is repeated.  */
struct harness_reply
{
  const char *raw;   /* Bytes to send; null: none.  */
  unsigned delay_ms; /* Before the reply.  */
  bool close;        /* Close the connection after sending.  */
  bool reset;        /* Reset the connection instead of sending.  */
};

struct harness_session;

struct harness_target
{
  struct event_base *base;
  struct evconnlistener *listener;
  char address[AB_ADDRESS_BYTES];
  struct harness_reply replies[HARNESS_REPLIES];
  size_t reply_count;
  size_t requests;        /* Complete requests that arrived.  */
  size_t connections;     /* Accepted connections.  */
  size_t closed;          /* Connections that the proxy closed.  */
  struct ab_buf received; /* Bytes of all requests.  */
  struct harness_session *sessions;
};

/* Listens on a free port.  */
void harness_target_start (struct harness_target *target,
                           struct event_base *base);
/* Refuses connections from now on.  */
void harness_target_refuse (struct harness_target *target);
void harness_target_stop (struct harness_target *target);
void harness_target_script (struct harness_target *target,
                            struct harness_reply reply);

/* A caller's connection; collects the bytes that it receives.  */
struct harness_caller
{
  struct event_base *base;
  struct bufferevent *bev;
  struct ab_buf received;
  bool closed;
};

void harness_caller_start (struct harness_caller *caller,
                           struct event_base *base, const char *address);
/* Uses TLS; SSL is freed with the caller.  */
void harness_caller_start_tls (struct harness_caller *caller,
                               struct event_base *base, const char *address,
                               SSL *ssl);
void harness_caller_send (struct harness_caller *caller, const char *raw);
void harness_caller_stop (struct harness_caller *caller);

/* Runs the loop until DONE returns true; fails the test after 10 s.  */
void harness_run (struct event_base *base, bool (*done) (void *ctx),
                  void *ctx);
/* Runs the loop until CALLER's connection is closed; fails after 10 s.  */
void harness_run_closed (struct harness_caller *caller);
/* Runs the loop for MS milliseconds.  */
void harness_run_ms (struct event_base *base, unsigned ms);

/* Writes "127.0.0.1:PORT" to ADDRESS, with a port that is currently free.  */
void harness_free_address (char address[AB_ADDRESS_BYTES]);

#endif
