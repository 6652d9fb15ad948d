#include "proxy_harness_lib.h"

#include <arpa/inet.h>
#include <check.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/listener.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "clock.h"

#define RUN_MS_MAX 10000
#define STEP_MS 5

struct harness_session
{
  struct harness_session *prev;
  struct harness_session *next;
  struct harness_target *target;
  struct bufferevent *bev;
  struct event *timer;
  struct harness_reply reply;
};

static void
end_session (struct harness_session *session, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (reset)
    setsockopt (bufferevent_getfd (session->bev), SOL_SOCKET, SO_LINGER,
                &linger, sizeof linger);
  DL_DELETE (session->target->sessions, session);
  bufferevent_free (session->bev);
  event_free (session->timer);
  free (session);
}

static void
on_sent (struct bufferevent *bev, void *arg)
{
  (void)bev;
  end_session (arg, false);
}

static void
on_reply_time (evutil_socket_t fd, short what, void *arg)
{
  struct harness_session *session = arg;
  const struct harness_reply *reply = &session->reply;

  (void)fd;
  (void)what;
  if (reply->reset || (reply->close && !reply->raw))
    {
      end_session (session, reply->reset);
      return;
    }
  if (!reply->raw)
    return;
  bufferevent_write (session->bev, reply->raw, strlen (reply->raw));
  if (reply->close)
    bufferevent_setcb (session->bev, NULL, on_sent, NULL, session);
}

/* Returns the length of the request at the start of TEXT, or 0 when it is not
   complete.  */
static size_t
request_length (const char *text, size_t len)
{
  const char *end = memmem (text, len, "\r\n\r\n", 4);
  const char *header = end ? strcasestr (text, "\r\nContent-Length: ") : NULL;
  size_t need;

  if (!end)
    return 0;
  need = (size_t)(end - text) + 4;
  if (header && header < end)
    need += strtoul (header + sizeof "\r\nContent-Length: " - 1, NULL, 10);
  return need <= len ? need : 0;
}

static void
on_target_read (struct bufferevent *bev, void *arg)
{
  struct harness_session *session = arg;
  struct harness_target *target = session->target;
  struct evbuffer *input = bufferevent_get_input (bev);
  size_t len = evbuffer_get_length (input);
  char *text = malloc (len + 1);
  size_t need;
  struct timeval tv = { 0 };

  evbuffer_copyout (input, text, len);
  text[len] = '\0';
  need = request_length (text, len);
  free (text);
  if (need == 0)
    return;
  ab_buf_append (&target->received, evbuffer_pullup (input, (ev_ssize_t)need),
                 need);
  evbuffer_drain (input, need);
  session->reply = target->replies[target->requests < target->reply_count
                                       ? target->requests
                                       : target->reply_count - 1];
  target->requests++;
  tv.tv_usec = session->reply.delay_ms * 1000;
  event_add (session->timer, &tv);
}

static void
on_target_event (struct bufferevent *bev, short what, void *arg)
{
  struct harness_session *session = arg;

  (void)bev;
  (void)what;
  session->target->closed++;
  end_session (session, false);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int len, void *arg)
{
  struct harness_target *target = arg;
  struct harness_session *session = calloc (1, sizeof *session);

  (void)listener;
  (void)address;
  (void)len;
  target->connections++;
  session->target = target;
  DL_APPEND (target->sessions, session);
  session->timer = evtimer_new (target->base, on_reply_time, session);
  session->bev
      = bufferevent_socket_new (target->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (session->bev, on_target_read, NULL, on_target_event,
                     session);
  bufferevent_enable (session->bev, EV_READ | EV_WRITE);
}

static void
local_address (int fd, char address[AB_ADDRESS_BYTES])
{
  struct sockaddr_in in = { 0 };
  socklen_t len = sizeof in;

  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)&in, &len), 0);
  snprintf (address, AB_ADDRESS_BYTES, "127.0.0.1:%u", ntohs (in.sin_port));
}

void
harness_target_start (struct harness_target *target, struct event_base *base)
{
  struct sockaddr_in in
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  target->base = base;
  target->listener = evconnlistener_new_bind (
      base, on_accept, target, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      (struct sockaddr *)&in, sizeof in);
  ck_assert_ptr_nonnull (target->listener);
  local_address (evconnlistener_get_fd (target->listener), target->address);
}

void
harness_target_refuse (struct harness_target *target)
{
  evconnlistener_free (target->listener);
  target->listener = NULL;
}

void
harness_target_stop (struct harness_target *target)
{
  struct harness_session *session;
  struct harness_session *next;

  DL_FOREACH_SAFE (target->sessions, session, next)
  end_session (session, false);
  if (target->listener)
    harness_target_refuse (target);
  ab_buf_free (&target->received);
}

void
harness_target_script (struct harness_target *target,
                       struct harness_reply reply)
{
  ck_assert_uint_lt (target->reply_count, HARNESS_REPLIES);
  target->replies[target->reply_count++] = reply;
}

static void
on_caller_read (struct bufferevent *bev, void *arg)
{
  struct harness_caller *caller = arg;
  struct evbuffer *input = bufferevent_get_input (bev);
  size_t len = evbuffer_get_length (input);

  ab_buf_append (&caller->received, evbuffer_pullup (input, -1), len);
  evbuffer_drain (input, len);
}

static void
on_caller_event (struct bufferevent *bev, short what, void *arg)
{
  struct harness_caller *caller = arg;

  (void)bev;
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    caller->closed = true;
}

static void
start_caller (struct harness_caller *caller, struct event_base *base,
              const char *address, struct bufferevent *bev)
{
  struct sockaddr_storage to;
  int len = sizeof to;

  memset (caller, 0, sizeof *caller);
  caller->base = base;
  ck_assert_int_eq (
      evutil_parse_sockaddr_port (address, (struct sockaddr *)&to, &len), 0);
  caller->bev = bev;
  bufferevent_setcb (caller->bev, on_caller_read, NULL, on_caller_event,
                     caller);
  bufferevent_enable (caller->bev, EV_READ | EV_WRITE);
  ck_assert_int_eq (
      bufferevent_socket_connect (caller->bev, (struct sockaddr *)&to, len),
      0);
}

void
harness_caller_start (struct harness_caller *caller, struct event_base *base,
                      const char *address)
{
  start_caller (caller, base, address,
                bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE));
}

void
harness_caller_start_tls (struct harness_caller *caller,
                          struct event_base *base, const char *address,
                          SSL *ssl)
{
  start_caller (caller, base, address,
                bufferevent_openssl_socket_new (base, -1, ssl,
                                                BUFFEREVENT_SSL_CONNECTING,
                                                BEV_OPT_CLOSE_ON_FREE));
}

void
harness_caller_send (struct harness_caller *caller, const char *raw)
{
  bufferevent_write (caller->bev, raw, strlen (raw));
}

void
harness_caller_stop (struct harness_caller *caller)
{
  bufferevent_free (caller->bev);
  ab_buf_free (&caller->received);
}

void
harness_run_ms (struct event_base *base, unsigned ms)
{
  struct timeval tv = { .tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000 };

  event_base_loopexit (base, &tv);
  event_base_dispatch (base);
}

void
harness_run (struct event_base *base, bool (*done) (void *ctx), void *ctx)
{
  for (unsigned ms = 0; !done (ctx); ms += STEP_MS)
    {
      ck_assert_uint_lt (ms, RUN_MS_MAX);
      harness_run_ms (base, STEP_MS);
    }
}

static bool
is_closed (void *ctx)
{
  return ((const struct harness_caller *)ctx)->closed;
}

void
harness_run_closed (struct harness_caller *caller)
{
  harness_run (caller->base, is_closed, caller);
}

void
harness_free_address (char address[AB_ADDRESS_BYTES])
{
  struct sockaddr_in in
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_int_ge (fd, 0);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&in, sizeof in), 0);
  local_address (fd, address);
  close (fd);
}
