/* Messages between entry hosts and control hosts.

   An entry host says what it knows (struct ab_fleet_watch_frame); a control
   host answers with what it lacks (struct ab_fleet_view_frame), and sends the
   same at once when something changes.  */

#ifndef AB_FLEET_WATCH_H
#define AB_FLEET_WATCH_H

#include "fleet_state.h"

/* How often an entry host says what it knows; its presence counts as long as
   AB_FLEET_WATCH_LOST_MS.  */
#define AB_FLEET_WATCH_MS 400
#define AB_FLEET_WATCH_LOST_MS 1300
#define AB_FLEET_HOSTS_MAX 4096

/* An entry host, as others see it.  */
struct ab_fleet_host
{
  char peer[AB_ADDRESS_BYTES];
  char callers[AB_ADDRESS_BYTES];
  char failure_domain[AB_NAME_BYTES];
  uint64_t link_mbps; /* 0: not known.  */
  bool takes_callers; /* It has a bundle.  */
  bool schedules;     /* Marked by control hosts: it may place requests.  */
};

struct ab_fleet_watch_frame
{
  struct ab_fleet_host host;
  bool follow; /* False: only asks how the control host is.  */
  bool ack;    /* Follows a view at once; false: one of the regular ones.  */
  bool missed; /* Views were lost on the way: all after INDEX is asked for.  */
  bool listed; /* False when it stops.  */
  uint64_t index; /* All changes up to this log index are known.  */
  uint64_t hosts_version;
};

/* The start of a view frame; its lists are read one by one.  */
struct ab_fleet_view_frame
{
  char failure_domain[AB_NAME_BYTES]; /* Of the control host.  */
  /* What changed after this index is in the frame.  UINT64_MAX answers one
     that does not follow, with nothing.  */
  uint64_t from;
  uint64_t upto;
  uint64_t age_ms; /* How long ago the control host was known current.  */
  uint64_t hosts_version;
  bool has_hosts;
  bool compressed; /* The lists that follow are.  */
};

void ab_fleet_pack_host (struct ab_buf *out, const struct ab_fleet_host *host);
void ab_fleet_read_host (struct ab_reader *reader, struct ab_fleet_host *host);
void ab_fleet_pack_watch (struct ab_buf *out,
                          const struct ab_fleet_watch_frame *watch);
int ab_fleet_read_watch (struct ab_chunk body,
                         struct ab_fleet_watch_frame *watch);
void ab_fleet_pack_view (struct ab_buf *out,
                         const struct ab_fleet_view_frame *view);
void ab_fleet_read_view (struct ab_reader *reader,
                         struct ab_fleet_view_frame *view);

/* A hash of a host's fields; the sum over a set names the set.  */
uint64_t ab_fleet_host_hash (const struct ab_fleet_host *host);

#endif
