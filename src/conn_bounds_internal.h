/* Declarations shared by the source files that bound connections.

   conn_bounds_task.c bounds what connections hold, side_listener_task.c the
   number of connections of listeners for other than callers' requests.  */

#ifndef AB_CONN_BOUNDS_INTERNAL_H
#define AB_CONN_BOUNDS_INTERNAL_H

#include "conn_bounds_task.h"

struct ab_side_listener;

struct ab_conn_bounds
{
  struct ab_daemon *daemon;
  struct ab_bounded_conn *conns;
  struct ab_side_listener *listeners;
  struct event *sweep;
  uint64_t bound;   /* Bytes of all connections.  */
  uint64_t output;  /* Bytes that are not written, of all connections.  */
  uint64_t checked; /* OUTPUT at the latest sweep.  */
  uint64_t *gauge;
  uint64_t *closed;
};

/* Frees the connections that evhttp has dropped, and closes idle ones of
   listeners that are full.  */
void ab_side_listeners_sweep (struct ab_conn_bounds *bounds);
void ab_side_listeners_free (struct ab_conn_bounds *bounds);

#endif
