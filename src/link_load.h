/* How long a large response takes on this host's link, behind those that are
   under way.  A full link is a load like a full slot: a response that cannot
   be delivered in time is better refused before its request runs.  No I/O.  */

#ifndef AB_LINK_LOAD_H
#define AB_LINK_LOAD_H

#include <stdint.h>

struct ab_link_load
{
  double mbps;       /* Of the link; 0: not known, never full.  */
  double mean_bytes; /* Of a large response.  */
  unsigned under_way;
};

void ab_link_load_init (struct ab_link_load *load, double mbps);
/* A request for a large response goes to a target.  */
void ab_link_load_begin (struct ab_link_load *load);
/* Its attempt has ended with a response of BYTES; 0: without one.  */
void ab_link_load_end (struct ab_link_load *load, uint64_t bytes);
/* Bytes of large responses that this host holds or expects, one more included,
   with UNSENT_BYTES of earlier ones still to be written to callers.  */
uint64_t ab_link_load_bytes (const struct ab_link_load *load,
                             uint64_t unsent_bytes);
/* Milliseconds until one more has passed the link, with UNSENT_BYTES of
   earlier ones still to be written to callers.  */
uint64_t ab_link_load_wait_ms (const struct ab_link_load *load,
                               uint64_t unsent_bytes);

#endif
