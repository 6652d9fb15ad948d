#include "announce_lib.h"

#include <stdio.h>
#include <stdlib.h>

#include "clock.h"

#define ANNOUNCE_RETRY_MS 200
#define ANNOUNCE_TIMEOUT_MS 1000
#define RENEWALS_PER_LEASE 3

struct announce
{
  struct event_base *base;
  struct event *timer;
  struct announce_config config;
  uint64_t incarnation;
  size_t current_entry;
  char id[AB_ADDRESS_BYTES * 2]; /* From the entry host; empty if none.  */
  bool draining;
  bool deleting;
  unsigned failures; /* Consecutive renewals that failed.  */
  unsigned entry_changes;
  void (*done) (void *ctx);
  void *done_ctx;
};

static void
arm_timer (struct announce *announce, uint64_t ms)
{
  struct timeval tv = { .tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000 };

  event_add (announce->timer, &tv);
}

static void
try_next_entry (struct announce *announce)
{
  announce->id[0] = '\0';
  announce->failures = 0;
  announce->entry_changes++;
  announce->current_entry
      = (announce->current_entry + 1) % announce->config.entry_count;
}

static void
on_renewed (void *ctx, int status, json_t *body)
{
  struct announce *announce = ctx;

  (void)body;
  if (announce->deleting)
    return;
  if (status >= 200 && status < 300)
    {
      announce->failures = 0;
      arm_timer (announce, announce->config.lease_ms / RENEWALS_PER_LEASE);
      return;
    }
  /* A host that answers but does not know the target has restarted: announce
     again there.  After any other failure the renewal is tried once more.  */
  if (status == 404)
    announce->id[0] = '\0';
  else if (++announce->failures >= 2)
    try_next_entry (announce);
  arm_timer (announce, ANNOUNCE_RETRY_MS);
}

static void
on_announced (void *ctx, int status, json_t *body)
{
  struct announce *announce = ctx;
  const char *id = json_string_value (json_object_get (body, "id"));

  if (announce->deleting)
    return;
  if (status < 200 || status >= 300)
    {
      fprintf (stderr, "announcement at %s failed with status %d\n",
               announce->config.entries[announce->current_entry], status);
      try_next_entry (announce);
      arm_timer (announce, ANNOUNCE_RETRY_MS);
      return;
    }
  snprintf (announce->id, sizeof announce->id, "%s",
            id ? id : announce->config.address);
  if (announce->draining)
    announce_drain (announce);
  arm_timer (announce, announce->config.lease_ms / RENEWALS_PER_LEASE);
}

static json_t *
make_announcement (const struct announce *announce)
{
  const struct announce_config *config = &announce->config;

  return json_pack ("{s:s, s:s, s:I, s:s, s:s, s:I, s:I}", "service",
                    config->service, "address", config->address, "slots",
                    (json_int_t)config->slots, "region", config->region,
                    "failure_domain", config->failure_domain, "incarnation",
                    (json_int_t)announce->incarnation, "lease_ms",
                    (json_int_t)config->lease_ms);
}

static void
send_command (struct announce *announce, enum evhttp_cmd_type method,
              const char *action, standin_json_callback callback)
{
  char path[AB_ADDRESS_BYTES * 3];

  snprintf (path, sizeof path, "/v1/targets/%s%s", announce->id, action);
  standin_request (announce->base,
                   announce->config.entries[announce->current_entry], method,
                   path, announce->config.token, NULL, ANNOUNCE_TIMEOUT_MS,
                   callback, announce);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct announce *announce = arg;

  (void)fd;
  (void)what;
  if (announce->deleting)
    return;
  if (announce->id[0])
    send_command (announce, EVHTTP_REQ_PUT, "/renew", on_renewed);
  else
    standin_request (announce->base,
                     announce->config.entries[announce->current_entry],
                     EVHTTP_REQ_POST, "/v1/targets", announce->config.token,
                     make_announcement (announce), ANNOUNCE_TIMEOUT_MS,
                     on_announced, announce);
}

struct announce *
announce_new (struct event_base *base, const struct announce_config *config)
{
  struct announce *announce = calloc (1, sizeof *announce);

  if (!announce)
    return NULL;
  announce->base = base;
  announce->config = *config;
  announce->incarnation = ab_clock_wall_ms (ab_clock_system ());
  announce->timer = evtimer_new (base, on_timer, announce);
  if (config->entry_count > 0)
    arm_timer (announce, 0);
  return announce;
}

static void
on_drained (void *ctx, int status, json_t *body)
{
  (void)ctx;
  (void)body;
  if (status < 200 || status >= 300)
    fprintf (stderr, "drain failed with status %d\n", status);
}

void
announce_drain (struct announce *announce)
{
  announce->draining = true;
  if (announce->id[0])
    send_command (announce, EVHTTP_REQ_PUT, "/drain", on_drained);
}

static void
on_deleted (void *ctx, int status, json_t *body)
{
  struct announce *announce = ctx;

  (void)status;
  (void)body;
  announce->done (announce->done_ctx);
}

void
announce_delete (struct announce *announce, void (*done) (void *ctx),
                 void *ctx)
{
  announce->deleting = true;
  announce->done = done;
  announce->done_ctx = ctx;
  event_del (announce->timer);
  if (announce->id[0])
    send_command (announce, EVHTTP_REQ_DELETE, "", on_deleted);
  else
    done (ctx);
}

const char *
announce_registrar (const struct announce *announce)
{
  return announce->id[0] ? announce->config.entries[announce->current_entry]
                         : "";
}

unsigned
announce_entry_changes (const struct announce *announce)
{
  return announce->entry_changes;
}
