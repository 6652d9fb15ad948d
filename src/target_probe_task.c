#include "target_probe_task.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdlib.h>
#include <utlist.h>

#include "error.h"

struct probe
{
  struct probe *prev;
  struct probe *next;
  struct ab_prober *prober;
  struct bufferevent *bev;
  char address[AB_ADDRESS_BYTES];
};

struct ab_prober
{
  struct ab_daemon *daemon;
  ab_probe_callback callback;
  void *ctx;
  struct probe *probes;
};

int
ab_prober_new (struct ab_daemon *daemon, ab_probe_callback callback, void *ctx,
               struct ab_prober **prober)
{
  *prober = calloc (1, sizeof **prober);
  if (!*prober)
    return AB_ERR_MEMORY;
  (*prober)->daemon = daemon;
  (*prober)->callback = callback;
  (*prober)->ctx = ctx;
  return 0;
}

static void
free_probe (struct probe *probe)
{
  DL_DELETE (probe->prober->probes, probe);
  bufferevent_free (probe->bev);
  free (probe);
}

void
ab_prober_free (struct ab_prober *prober)
{
  struct probe *probe;
  struct probe *next;

  if (!prober)
    return;
  DL_FOREACH_SAFE (prober->probes, probe, next)
  free_probe (probe);
  free (prober);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  struct probe *probe = arg;
  struct ab_prober *prober = probe->prober;
  char address[AB_ADDRESS_BYTES];

  (void)bev;
  memcpy (address, probe->address, sizeof address);
  free_probe (probe);
  prober->callback (prober->ctx, address,
                    what & (BEV_EVENT_CONNECTED | BEV_EVENT_TIMEOUT));
}

void
ab_prober_probe (struct ab_prober *prober, const char *address)
{
  struct probe *probe = calloc (1, sizeof *probe);
  struct timeval timeout = { .tv_sec = 1 };
  struct sockaddr_storage to;
  int len = sizeof to;

  if (!probe
      || evutil_parse_sockaddr_port (address, (struct sockaddr *)&to, &len)
             < 0)
    goto fail;
  probe->bev = bufferevent_socket_new (prober->daemon->base, -1,
                                       BEV_OPT_CLOSE_ON_FREE
                                           | BEV_OPT_DEFER_CALLBACKS);
  if (!probe->bev)
    goto fail;
  probe->prober = prober;
  ab_chunk_copy_bounded (ab_chunk_str (address), probe->address,
                         sizeof probe->address);
  DL_APPEND (prober->probes, probe);
  bufferevent_setcb (probe->bev, NULL, NULL, on_event, probe);
  bufferevent_set_timeouts (probe->bev, &timeout, &timeout);
  bufferevent_enable (probe->bev, EV_WRITE);
  if (bufferevent_socket_connect (probe->bev, (struct sockaddr *)&to, len) < 0)
    free_probe (probe);
  return;
fail:
  free (probe);
}
