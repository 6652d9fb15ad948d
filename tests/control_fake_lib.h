/* The control tasks and clients of several daemons in one process, with fakes
   of the peer sockets and of the membership view.  */

#ifndef CONTROL_FAKE_LIB_H
#define CONTROL_FAKE_LIB_H

#include <stdbool.h>

#include "bundle_task.h"
#include "control_client.h"
#include "control_task.h"
#include "daemon.h"
#include "member_task.h"
#include "peer_task.h"
#include "rng.h"

#define FAKE_CONTROL_HOSTS 3
#define FAKE_HOSTS 5 /* Three control and two entry hosts.  */

struct fake_host
{
  struct ab_daemon daemon;
  struct ab_settings settings;
  bool running;
};

/* First member of a frame in flight.  The list of these lets group_close free
   the frames that never arrive.  */
struct fake_frame_in_flight
{
  struct fake_frame_in_flight *next;
  struct fake_frame_in_flight **link;
};

struct fake_group
{
  struct event_base *base;
  struct fake_frame_in_flight *in_flight;
  char folder[64];
  struct ab_control_member control[FAKE_CONTROL_HOSTS];
  struct ab_signer approver;
  struct ab_secret_key approver_key;
  struct fake_host hosts[FAKE_HOSTS];
  /* cut[A][B]: frames from host A to host B are lost.  */
  bool cut[FAKE_HOSTS][FAKE_HOSTS];
  bool network_faults; /* Random frames are lost, duplicated or delayed.  */
  struct ab_rng rng;
  uint64_t targets; /* Number of active targets of the service "shop".  */
};

/* The functions of the fakes are defined in the test program: from a library,
   they would be linked after the real ones.  */
struct ab_peer_task
{
  struct fake_group *group;
  size_t host;
  struct
  {
    ab_peer_handler handler;
    void *ctx;
  } handlers[AB_FRAME_TYPE_COUNT];
};

struct ab_member_task
{
  struct fake_group *group;
};

/* Creates keys and folders and starts all hosts.  */
void group_open (struct fake_group *group);
/* Stops all hosts and removes their files.  */
void group_close (struct fake_group *group);

/* Starts HOST's control task, bundle task and control client, in a new
   incarnation.  */
void group_start (struct fake_group *group, size_t host);
void group_stop (struct fake_group *group, size_t host);
/* Cuts HOST off in both directions, or reconnects it.  */
void group_isolate (struct fake_group *group, size_t host, bool isolated);
/* Removes the files of HOST, which must be stopped.  */
void group_erase_disk (struct fake_group *group, size_t host);

/* Runs the event loop until CONDITION holds; fails the test after 20 s.  */
void group_run_until (struct fake_group *group, bool (*condition) (void *ctx),
                      void *ctx);
void group_run_ms (struct fake_group *group, uint64_t ms);

/* Returns the number of the control host that leads, or FAKE_HOSTS.  */
size_t group_leader (struct fake_group *group);
void group_wait_leader (struct fake_group *group);

/* Returns the number of records in the leader's ledger; 0 without leader.  */
size_t group_ledger_records (struct fake_group *group);

/* Returns a key of the service "shop", created now.  NUMBER makes it
   unique.  */
struct ab_ledger_key group_make_key (uint8_t number);

#endif
