#include "bundle_task.h"

#include <event2/event.h>
#include <stdlib.h>

#include "bundle_file.h"
#include "clock.h"
#include "error.h"
#include "log.h"
#include "member_task.h"
#include "pack.h"
#include "peer_task.h"
#include "rng.h"

#define FILE_NAME "bundle.saved"
#define TICK_MS 50
#define ANNOUNCE_INTERVAL_MS 1000
/* Number of random peers that receive an announcement each second, and at once
   when a bundle comes into force.  As each of them announces to as many
   others, the whole fleet knows the version after a few rounds.  */
#define ANNOUNCE_FANOUT 3
/* Hosts per tick to which a control host announces a new bundle, until all
   have been notified.  By the time of the later batches most hosts have
   received the bundle from a peer, so the control hosts need not send it to
   all.  */
#define ANNOUNCE_BATCH_HOSTS 16
#define GET_TIMEOUT_MS 500
#define SAVE_RETRY_MS 10000
#define LISTENERS_MAX 16
#define HAVE_FIELDS 2
#define GET_FIELDS 1
#define FIELDS_MAX 8
#define SIGNED_BYTES_MAX (AB_BUNDLE_BYTES_MAX + 1024)

struct ab_bundle_task
{
  struct ab_daemon *daemon;
  struct event *timer;
  struct ab_rng rng;
  struct ab_signed_bundle signed_bundle;
  struct ab_bundle *current;
  char source[AB_NAME_BYTES]; /* Host that sent it, or "saved copy".  */
  uint64_t in_force_ms;
  uint64_t control_heard_ms; /* Last contact with a control host; 0: never.  */
  uint64_t last_announce_ms; /* Time of the last announcements to peers.  */
  /* Time of the pending request for a bundle; 0 if none is pending.  */
  uint64_t get_sent_ms;
  uint64_t requested_version; /* Version that this request is for.  */
  bool save_pending;          /* Saving failed and is to be retried.  */
  uint64_t save_failed_ms;    /* Time at which saving failed last.  */
  /* Whether this control host still announces the current bundle to all hosts,
     and how many peers it has notified, in the order of the host list.  */
  bool announcing_to_all;
  size_t announced_count;
  struct
  {
    ab_bundle_listener listener;
    void *ctx;
  } listeners[LISTENERS_MAX];
  size_t listener_count;
};

static uint64_t
now_ms (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ());
}

static uint64_t
current_version (const struct ab_bundle_task *task)
{
  return task->current ? ab_bundle_version (task->current) : 0;
}

static bool
is_control_host (const struct ab_bundle_task *task, struct ab_chunk host)
{
  const struct ab_settings *settings = task->daemon->settings;

  for (size_t i = 0; i < settings->control_count; i++)
    if (ab_chunk_equal (host, ab_chunk_str (settings->control[i].host)))
      return true;
  return false;
}

/* Announcements to peers.  */

static void
send_have (struct ab_bundle_task *task, struct ab_chunk host)
{
  struct ab_buf body = AB_BUF_INIT;

  ab_pack_array (&body, HAVE_FIELDS);
  ab_pack_u64 (&body, current_version (task));
  ab_pack_u64 (&body, task->signed_bundle.log_index);
  if (!body.error)
    ab_peer_task_send (task->daemon->peer, host, AB_FRAME_BUNDLE_HAVE,
                       ab_buf_chunk (&body));
  ab_buf_free (&body);
}

/* A uniform random sample of the peers that may be reachable, taken in one
   pass by reservoir sampling.  */
struct sample
{
  struct ab_bundle_task *task;
  char hosts[ANNOUNCE_FANOUT][AB_NAME_BYTES];
  size_t candidate_count;
};

static bool
is_live_peer (const struct ab_bundle_task *task,
              const struct ab_host_view *host)
{
  return host->state != AB_HOST_DEAD
         && strcmp (host->name, task->daemon->settings->host) != 0;
}

static bool
sample_host (void *ctx, const struct ab_host_view *host)
{
  struct sample *sample = ctx;
  size_t at = sample->candidate_count;

  if (!is_live_peer (sample->task, host))
    return true;
  sample->candidate_count++;
  if (at >= ANNOUNCE_FANOUT)
    at = ab_rng_below (&sample->task->rng, sample->candidate_count);
  if (at < ANNOUNCE_FANOUT)
    memcpy (sample->hosts[at], host->name, sizeof sample->hosts[at]);
  return true;
}

static void
announce_to_sample (struct ab_bundle_task *task)
{
  struct sample sample = { .task = task };

  if (!task->daemon->member)
    return;
  ab_member_task_visit_hosts (task->daemon->member, sample_host, &sample);
  for (size_t i = 0; i < ANNOUNCE_FANOUT && i < sample.candidate_count; i++)
    send_have (task, ab_chunk_str (sample.hosts[i]));
  task->last_announce_ms = now_ms ();
}

struct batch
{
  struct ab_bundle_task *task;
  size_t visited_count; /* Live peers visited so far.  */
};

static bool
announce_in_batch (void *ctx, const struct ab_host_view *host)
{
  struct batch *batch = ctx;

  if (!is_live_peer (batch->task, host)
      || batch->visited_count++ < batch->task->announced_count)
    return true;
  if (batch->visited_count
      > batch->task->announced_count + ANNOUNCE_BATCH_HOSTS)
    return false;
  send_have (batch->task, ab_chunk_str (host->name));
  return true;
}

static void
announce_to_next_batch (struct ab_bundle_task *task)
{
  struct batch batch = { .task = task };

  if (!task->daemon->member)
    return;
  ab_member_task_visit_hosts (task->daemon->member, announce_in_batch, &batch);
  task->announced_count += ANNOUNCE_BATCH_HOSTS;
  task->announcing_to_all = batch.visited_count > task->announced_count;
}

/* Saved copy.  */

static void
save_current (struct ab_bundle_task *task)
{
  const char *folder = task->daemon->settings->data_folder;
  int rc;

  task->save_pending = false;
  if (folder[0] == '\0')
    return;
  rc = ab_bundle_file_save (folder, FILE_NAME, &task->signed_bundle);
  if (rc == 0)
    return;
  task->save_pending = true;
  task->save_failed_ms = now_ms ();
  AB_LOG (AB_LOG_WARN, "bundle_not_saved",
          ab_log_int ("version", (int64_t)current_version (task)),
          ab_log_str ("error", ab_strerror (rc)));
}

/* Validation and activation.  */

/* Verifies the version and signatures of SIGNED_BUNDLE and parses its text.
   Returns 0 and sets *BUNDLE, or returns an error; ERROR then holds the
   parser's message, or is empty.  */
static int
check_and_parse (struct ab_bundle_task *task,
                 const struct ab_signed_bundle *signed_bundle,
                 struct ab_bundle **bundle, char error[AB_CONF_ERROR_BYTES])
{
  const struct ab_settings *settings = task->daemon->settings;
  int rc;

  *bundle = NULL;
  error[0] = '\0';
  if (task->current && signed_bundle->version <= current_version (task))
    return AB_ERR_STALE;
  rc = ab_signed_bundle_check_approval (signed_bundle, settings);
  if (rc == 0)
    rc = ab_signed_bundle_check_certificate (signed_bundle, settings);
  if (rc == 0)
    rc = ab_bundle_parse ("bundle", ab_buf_chunk (&signed_bundle->text),
                          bundle, error);
  if (rc == 0 && ab_bundle_version (*bundle) != signed_bundle->version)
    {
      ab_bundle_unref (*bundle);
      *bundle = NULL;
      rc = AB_ERR_INVALID;
    }
  return rc;
}

static void
notify_listeners (struct ab_bundle_task *task)
{
  for (size_t i = 0; i < task->listener_count; i++)
    task->listeners[i].listener (task->listeners[i].ctx, task->current);
}

/* Puts BUNDLE in force.  Takes over the reference to BUNDLE and the contents
   of COPY.  */
static void
put_in_force (struct ab_bundle_task *task, struct ab_signed_bundle *copy,
              struct ab_bundle *bundle, struct ab_chunk source)
{
  char digest[2 * AB_DIGEST_BYTES + 1];

  ab_bundle_unref (task->current);
  ab_signed_bundle_free (&task->signed_bundle);
  task->current = bundle;
  task->signed_bundle = *copy;
  task->in_force_ms = now_ms ();
  task->get_sent_ms = 0;
  ab_chunk_copy_bounded (source, task->source, sizeof task->source);
  ab_hex_encode (copy->digest.bytes, sizeof copy->digest.bytes, digest);
  AB_LOG (AB_LOG_INFO, "bundle_in_force",
          ab_log_int ("version", (int64_t)copy->version),
          ab_log_str ("digest", digest),
          ab_log_int ("log_index", (int64_t)copy->log_index),
          ab_log_chunk ("source", source));
  notify_listeners (task);
}

static int
accept_from (struct ab_bundle_task *task,
             const struct ab_signed_bundle *signed_bundle,
             struct ab_chunk source)
{
  char error[AB_CONF_ERROR_BYTES];
  struct ab_signed_bundle copy;
  struct ab_bundle *bundle;
  int rc = check_and_parse (task, signed_bundle, &bundle, error);

  if (rc < 0 && rc != AB_ERR_STALE)
    AB_LOG (AB_LOG_WARN, "bundle_refused",
            ab_log_int ("version", (int64_t)signed_bundle->version),
            ab_log_chunk ("source", source),
            ab_log_str ("reason", error[0] ? error : ab_strerror (rc)));
  if (rc < 0)
    return rc;
  rc = ab_signed_bundle_copy (&copy, signed_bundle);
  if (rc < 0)
    {
      ab_bundle_unref (bundle);
      return rc;
    }
  put_in_force (task, &copy, bundle, source);
  save_current (task);
  announce_to_sample (task);
  return 0;
}

int
ab_bundle_task_offer (struct ab_bundle_task *task,
                      const struct ab_signed_bundle *bundle)
{
  int rc = accept_from (task, bundle,
                        ab_chunk_str (task->daemon->settings->host));

  if (rc == 0)
    {
      task->announced_count = 0;
      task->announcing_to_all = true;
    }
  return rc;
}

/* Frames.  */

static void
send_get (struct ab_bundle_task *task, struct ab_chunk host, uint64_t version)
{
  struct ab_buf body = AB_BUF_INIT;

  task->get_sent_ms = now_ms ();
  task->requested_version = version;
  ab_pack_array (&body, GET_FIELDS);
  ab_pack_u64 (&body, current_version (task));
  if (!body.error)
    ab_peer_task_send (task->daemon->peer, host, AB_FRAME_BUNDLE_GET,
                       ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static int
read_version (struct ab_chunk body, uint64_t *version)
{
  struct ab_reader reader;
  int rc;

  ab_reader_init (&reader, body);
  ab_reader_enter (&reader, FIELDS_MAX);
  *version = ab_reader_u64 (&reader);
  rc = ab_reader_error (&reader);
  ab_reader_free (&reader);
  return rc;
}

static void
on_have (void *ctx, const struct ab_frame *frame)
{
  struct ab_bundle_task *task = ctx;
  uint64_t now = now_ms ();
  uint64_t version;

  if (read_version (frame->body, &version) < 0)
    return;
  if (is_control_host (task, frame->sender))
    task->control_heard_ms = now;
  if (version < current_version (task))
    {
      send_have (task, frame->sender);
      return;
    }
  if (version == current_version (task))
    return;
  /* Allow one transfer at a time, unless it has timed out or the announced
     version is greater than the requested one.  */
  if (task->get_sent_ms && now - task->get_sent_ms < GET_TIMEOUT_MS
      && version <= task->requested_version)
    return;
  send_get (task, frame->sender, version);
}

static void
on_get (void *ctx, const struct ab_frame *frame)
{
  struct ab_bundle_task *task = ctx;
  struct ab_buf body = AB_BUF_INIT;
  uint64_t version;

  if (read_version (frame->body, &version) < 0
      || version >= current_version (task))
    return;
  if (ab_signed_bundle_encode (&task->signed_bundle, &body) == 0)
    ab_peer_task_send (task->daemon->peer, frame->sender, AB_FRAME_BUNDLE_DATA,
                       ab_buf_chunk (&body));
  ab_buf_free (&body);
}

static void
on_data (void *ctx, const struct ab_frame *frame)
{
  struct ab_bundle_task *task = ctx;
  struct ab_signed_bundle bundle;

  if (ab_signed_bundle_decode (frame->body, &bundle) < 0)
    return;
  if (is_control_host (task, frame->sender))
    task->control_heard_ms = now_ms ();
  accept_from (task, &bundle, frame->sender);
  ab_signed_bundle_free (&bundle);
}

static void
on_tick (evutil_socket_t fd, short events, void *ctx)
{
  struct ab_bundle_task *task = ctx;
  uint64_t now = now_ms ();

  (void)fd;
  (void)events;
  if (task->announcing_to_all)
    announce_to_next_batch (task);
  /* A host without a bundle announces version 0: peers that have a bundle
     reply with their version, and the host then fetches it.  */
  if (now - task->last_announce_ms >= ANNOUNCE_INTERVAL_MS)
    announce_to_sample (task);
  if (task->save_pending && now - task->save_failed_ms >= SAVE_RETRY_MS)
    save_current (task);
}

/* Start and stop.  */

static void
set_aside (const char *folder, int reason, const char *error)
{
  int rc = ab_bundle_file_set_aside (folder, FILE_NAME);

  AB_LOG (AB_LOG_ERROR, "saved_bundle_unusable", ab_log_str ("folder", folder),
          ab_log_str ("file", FILE_NAME),
          ab_log_str ("reason", error[0] ? error : ab_strerror (reason)),
          ab_log_str ("action", rc == 0 ? "renamed; will be fetched again"
                                        : "will be fetched again"));
}

static void
load_saved (struct ab_bundle_task *task)
{
  const char *folder = task->daemon->settings->data_folder;
  char error[AB_CONF_ERROR_BYTES] = "";
  struct ab_signed_bundle saved;
  struct ab_bundle *bundle;
  int rc;

  if (folder[0] == '\0')
    return;
  rc = ab_bundle_file_load (folder, FILE_NAME, &saved);
  if (rc == AB_ERR_NOT_FOUND)
    return;
  if (rc == 0)
    {
      rc = check_and_parse (task, &saved, &bundle, error);
      if (rc == 0)
        put_in_force (task, &saved, bundle, AB_CHUNK ("saved copy"));
      else
        ab_signed_bundle_free (&saved);
    }
  if (rc < 0)
    set_aside (folder, rc, error);
}

static int
start_timer (struct ab_bundle_task *task)
{
  const struct timeval interval = { .tv_usec = TICK_MS * 1000 };

  task->timer = event_new (task->daemon->base, -1, EV_PERSIST, on_tick, task);
  if (!task->timer || event_add (task->timer, &interval) < 0)
    return AB_ERR_MEMORY;
  return 0;
}

int
ab_bundle_task_new (struct ab_daemon *daemon, struct ab_bundle_task **result,
                    char error[AB_CONF_ERROR_BYTES])
{
  struct ab_bundle_task *task = calloc (1, sizeof *task);
  int rc;

  *result = NULL;
  error[0] = '\0';
  if (!task)
    return AB_ERR_MEMORY;
  task->daemon = daemon;
  ab_rng_init_system (&task->rng);
  rc = start_timer (task);
  if (rc < 0)
    {
      ab_bundle_task_free (task);
      return rc;
    }
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_BUNDLE_HAVE, on_have, task);
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_BUNDLE_GET, on_get, task);
  ab_peer_task_set_handler (daemon->peer, AB_FRAME_BUNDLE_DATA, on_data, task);
  load_saved (task);
  *result = task;
  return 0;
}

void
ab_bundle_task_free (struct ab_bundle_task *task)
{
  if (!task)
    return;
  ab_peer_task_set_handler (task->daemon->peer, AB_FRAME_BUNDLE_HAVE, NULL,
                            NULL);
  ab_peer_task_set_handler (task->daemon->peer, AB_FRAME_BUNDLE_GET, NULL,
                            NULL);
  ab_peer_task_set_handler (task->daemon->peer, AB_FRAME_BUNDLE_DATA, NULL,
                            NULL);
  if (task->timer)
    event_free (task->timer);
  ab_bundle_unref (task->current);
  ab_signed_bundle_free (&task->signed_bundle);
  free (task);
}

struct ab_bundle *
ab_bundle_task_current (const struct ab_bundle_task *task)
{
  return task->current;
}

void
ab_bundle_task_add_listener (struct ab_bundle_task *task,
                             ab_bundle_listener listener, void *ctx)
{
  if (task->listener_count == LISTENERS_MAX)
    {
      AB_LOG (AB_LOG_ERROR, "bundle_listeners_full",
              ab_log_int ("max", LISTENERS_MAX));
      return;
    }
  task->listeners[task->listener_count].listener = listener;
  task->listeners[task->listener_count].ctx = ctx;
  task->listener_count++;
  if (task->current)
    listener (ctx, task->current);
}

json_t *
ab_bundle_task_state (const struct ab_bundle_task *task)
{
  char digest[2 * AB_DIGEST_BYTES + 1] = "";
  uint64_t now = now_ms ();
  json_int_t in_force_for_ms = -1;
  json_int_t since_control_ms = -1;

  if (task->current)
    {
      ab_hex_encode (task->signed_bundle.digest.bytes, AB_DIGEST_BYTES,
                     digest);
      in_force_for_ms = (json_int_t)(now - task->in_force_ms);
    }
  if (task->control_heard_ms)
    since_control_ms = (json_int_t)(now - task->control_heard_ms);
  return json_pack ("{s:I, s:s, s:I, s:I, s:s, s:b, s:I}", "version",
                    (json_int_t)current_version (task), "digest", digest,
                    "log_index", (json_int_t)task->signed_bundle.log_index,
                    "in_force_for_ms", in_force_for_ms, "source", task->source,
                    "saved",
                    task->current && !task->save_pending
                        && task->daemon->settings->data_folder[0],
                    "control_heard_ms_ago", since_control_ms);
}
