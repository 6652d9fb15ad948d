#include "fleet_watch.h"

#include "error.h"
#include "rendezvous.h"

/* Fields without and with the times that confirm how old a view can be.  */
#define WATCH_FIELDS 7
#define WATCH_TIMED_FIELDS 8
#define VIEW_FIELDS 7
#define VIEW_TIMED_FIELDS 9
#define HOST_FIELDS 6

void
ab_fleet_pack_host (struct ab_buf *out, const struct ab_fleet_host *host)
{
  ab_pack_array (out, HOST_FIELDS);
  ab_pack_bytes (out, ab_chunk_str (host->peer));
  ab_pack_bytes (out, ab_chunk_str (host->callers));
  ab_pack_bytes (out, ab_chunk_str (host->failure_domain));
  ab_pack_u64 (out, host->link_mbps);
  ab_pack_bool (out, host->accepts_callers);
  ab_pack_bool (out, host->may_schedule);
}

void
ab_fleet_read_host (struct ab_reader *reader, struct ab_fleet_host *host)
{
  memset (host, 0, sizeof *host);
  ab_reader_enter (reader, HOST_FIELDS);
  ab_reader_str (reader, host->peer, sizeof host->peer);
  ab_reader_str (reader, host->callers, sizeof host->callers);
  ab_reader_str (reader, host->failure_domain, sizeof host->failure_domain);
  host->link_mbps = ab_reader_u64 (reader);
  host->accepts_callers = ab_reader_bool (reader);
  host->may_schedule = ab_reader_bool (reader);
  ab_reader_leave (reader);
}

void
ab_fleet_pack_watch (struct ab_buf *out,
                     const struct ab_fleet_watch_frame *watch)
{
  ab_pack_array (out, watch->time_ms ? WATCH_TIMED_FIELDS : WATCH_FIELDS);
  ab_fleet_pack_host (out, &watch->host);
  ab_pack_bool (out, watch->follow);
  ab_pack_bool (out, watch->ack);
  ab_pack_bool (out, watch->missed);
  ab_pack_bool (out, watch->listed);
  ab_pack_u64 (out, watch->index);
  ab_pack_u64 (out, watch->hosts_version);
  if (watch->time_ms)
    ab_pack_u64 (out, watch->time_ms);
}

int
ab_fleet_read_watch (struct ab_chunk body, struct ab_fleet_watch_frame *watch)
{
  struct ab_reader reader;
  int rc = ab_reader_init (&reader, body);

  if (rc < 0)
    return rc;
  ab_reader_enter (&reader, WATCH_TIMED_FIELDS);
  ab_fleet_read_host (&reader, &watch->host);
  watch->follow = ab_reader_bool (&reader);
  watch->ack = ab_reader_bool (&reader);
  watch->missed = ab_reader_bool (&reader);
  watch->listed = ab_reader_bool (&reader);
  watch->index = ab_reader_u64 (&reader);
  watch->hosts_version = ab_reader_u64 (&reader);
  watch->time_ms = ab_reader_has_more (&reader) ? ab_reader_u64 (&reader) : 0;
  rc = ab_reader_error (&reader);
  ab_reader_free (&reader);
  return rc;
}

void
ab_fleet_pack_view (struct ab_buf *out, const struct ab_fleet_view_frame *view)
{
  bool timed = view->echo_ms && view->confirmed_age_ms != UINT64_MAX;

  ab_pack_array (out, timed ? VIEW_TIMED_FIELDS : VIEW_FIELDS);
  ab_pack_bytes (out, ab_chunk_str (view->failure_domain));
  ab_pack_u64 (out, view->after_index);
  ab_pack_u64 (out, view->last_index);
  ab_pack_u64 (out, view->age_ms);
  ab_pack_u64 (out, view->hosts_version);
  ab_pack_bool (out, view->has_hosts);
  ab_pack_bool (out, view->compressed);
  if (!timed)
    return;
  ab_pack_u64 (out, view->echo_ms);
  ab_pack_u64 (out, view->confirmed_age_ms);
}

void
ab_fleet_read_view (struct ab_reader *reader, struct ab_fleet_view_frame *view)
{
  ab_reader_enter (reader, VIEW_TIMED_FIELDS);
  ab_reader_str (reader, view->failure_domain, sizeof view->failure_domain);
  view->after_index = ab_reader_u64 (reader);
  view->last_index = ab_reader_u64 (reader);
  view->age_ms = ab_reader_u64 (reader);
  view->hosts_version = ab_reader_u64 (reader);
  view->has_hosts = ab_reader_bool (reader);
  view->compressed = ab_reader_bool (reader);
  view->echo_ms = 0;
  view->confirmed_age_ms = UINT64_MAX;
  if (ab_reader_has_more (reader))
    {
      view->echo_ms = ab_reader_u64 (reader);
      view->confirmed_age_ms = ab_reader_u64 (reader);
    }
  ab_reader_leave (reader);
}

uint64_t
ab_fleet_host_hash (const struct ab_fleet_host *host)
{
  uint64_t hash = ab_rendezvous_hash_pair (ab_chunk_str (host->peer),
                                           ab_chunk_str (host->callers));

  return ab_rendezvous_mix (
      hash ^ ab_rendezvous_hash (ab_chunk_str (host->failure_domain))
      ^ host->link_mbps << 2 ^ (uint64_t)host->may_schedule << 1
      ^ host->accepts_callers);
}
