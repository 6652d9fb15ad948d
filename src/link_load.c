#include "link_load.h"

/* Bytes per millisecond at 1 Mbit/s.  */
#define BYTES_PER_MS 125.0
/* Assumed size of a large response before the first one.  */
#define INITIAL_MEAN_BYTES (64.0 * 1024)
#define MEAN_BYTES_WEIGHT 0.1

void
ab_link_load_init (struct ab_link_load *load, double mbps)
{
  *load = (struct ab_link_load){ .mbps = mbps,
                                 .mean_bytes = INITIAL_MEAN_BYTES };
}

void
ab_link_load_begin (struct ab_link_load *load)
{
  load->in_flight++;
}

void
ab_link_load_end (struct ab_link_load *load, uint64_t bytes)
{
  load->in_flight--;
  if (bytes > 0)
    load->mean_bytes += MEAN_BYTES_WEIGHT * ((double)bytes - load->mean_bytes);
}

uint64_t
ab_link_load_bytes (const struct ab_link_load *load, uint64_t unsent_bytes)
{
  return unsent_bytes + (uint64_t)((load->in_flight + 1) * load->mean_bytes);
}

uint64_t
ab_link_load_wait_ms (const struct ab_link_load *load, uint64_t unsent_bytes)
{
  if (load->mbps <= 0)
    return 0;
  return (uint64_t)((double)ab_link_load_bytes (load, unsent_bytes)
                    / (load->mbps * BYTES_PER_MS));
}
