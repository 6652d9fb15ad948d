/* Estimates how long a large response takes on this host's network link,
   behind those in progress.  A request whose response could not be delivered
   in time is rejected before it runs, as when no slot is free.  No I/O.  */

#ifndef AB_LINK_LOAD_H
#define AB_LINK_LOAD_H

#include <stdint.h>

struct ab_link_load
{
  double mbps; /* Capacity of the link in Mbit/s; 0: not known, never full.  */
  double mean_bytes; /* Moving average size of a large response.  */
  unsigned in_flight;
};

void ab_link_load_init (struct ab_link_load *load, double mbps);
/* Records that a request for a large response is sent to a target.  */
void ab_link_load_begin (struct ab_link_load *load);
/* Records that such an attempt has ended with a response of BYTES; 0 if there
   was none.  */
void ab_link_load_end (struct ab_link_load *load, uint64_t bytes);
/* Returns the bytes of large responses that this host holds or expects,
   including one more, with UNSENT_BYTES of earlier ones still to be written to
   callers.  */
uint64_t ab_link_load_bytes (const struct ab_link_load *load,
                             uint64_t unsent_bytes);
/* Returns the milliseconds until one more large response has been sent over
   the link, with UNSENT_BYTES of earlier ones still to be written to callers;
   0 if the link's capacity is not known.  */
uint64_t ab_link_load_wait_ms (const struct ab_link_load *load,
                               uint64_t unsent_bytes);

#endif
