/* Messages between entry hosts and control hosts.

   An entry host reports which version of the fleet's state it has (struct
   ab_fleet_watch_frame).  A control host replies with the changes that the
   entry host lacks (struct ab_fleet_view_frame), and sends later changes as
   soon as they occur.  No I/O.  */

#ifndef AB_FLEET_WATCH_H
#define AB_FLEET_WATCH_H

#include "fleet_state.h"

/* An entry host sends a watch frame every AB_FLEET_WATCH_INTERVAL_MS.  Control
   hosts remove it when none has arrived for AB_FLEET_WATCH_TIMEOUT_MS.  */
#define AB_FLEET_WATCH_INTERVAL_MS 400
#define AB_FLEET_WATCH_TIMEOUT_MS 1300
#define AB_FLEET_HOSTS_MAX 4096

/* An entry host, as described to other hosts.  */
struct ab_fleet_host
{
  char peer[AB_ADDRESS_BYTES];
  char callers[AB_ADDRESS_BYTES];
  char failure_domain[AB_NAME_BYTES];
  uint64_t link_mbps;   /* Link bandwidth; 0 if unknown.  */
  bool accepts_callers; /* It has a bundle and accepts callers.  */
  bool may_schedule;    /* It may schedule requests; set by control hosts.  */
};

struct ab_fleet_watch_frame
{
  struct ab_fleet_host host;
  bool follow; /* Subscribes to views; false: only polls the control host.  */
  bool ack;    /* Acknowledges a view; false: a periodic frame.  */
  bool missed; /* A view was lost in transit: requests all changes after
                  INDEX.  */
  bool listed; /* List it in the directory; false while it shuts down.  */
  uint64_t index;         /* It has all changes up to this log index.  */
  uint64_t hosts_version; /* Version of its list of hosts.  */
  /* Its own time, to be echoed, when it has to know how old a view can be; 0
     otherwise.  A control host of an earlier version cannot read a frame with
     it, so it is sent only while the bundle has teams.  */
  uint64_t time_ms;
};

/* The header of a view frame.  The lists after it are read one by one.  */
struct ab_fleet_view_frame
{
  char failure_domain[AB_NAME_BYTES]; /* Failure domain of the sender.  */
  /* The frame holds the changes with log indices above AFTER_INDEX, up to
     LAST_INDEX.  AFTER_INDEX is UINT64_MAX, with no changes, in a reply to a
     poll.  */
  uint64_t after_index;
  uint64_t last_index;
  uint64_t age_ms; /* Time since the sender was last known to be current.  */
  uint64_t hosts_version;
  bool has_hosts;
  bool compressed; /* Whether the lists after the header are compressed.  */
  /* The last time that the entry host sent; 0, and not in the frame, if it
     sent none or the sender's state is not confirmed.  Entry hosts of earlier
     versions send none and cannot read it.  */
  uint64_t echo_ms;
  /* At the time of sending, the sender's state had every change that was
     acknowledged until this long ago; UINT64_MAX: not confirmed.  */
  uint64_t confirmed_age_ms;
};

/* Encoding and decoding.  The functions that take a struct ab_reader leave
   errors in it; ab_fleet_read_watch returns 0 or a negative code.  */
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

/* Returns a hash of all fields of HOST.  The sum of the hashes of a set of
   hosts identifies the set.  */
uint64_t ab_fleet_host_hash (const struct ab_fleet_host *host);

#endif
