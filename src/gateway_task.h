/* The gateway role of a fleet: accepts callers' requests, forwards them to
   targets, and tells callers the addresses of the hosts to use.  */

#ifndef AB_GATEWAY_TASK_H
#define AB_GATEWAY_TASK_H

#include <jansson.h>

#include "daemon.h"
#include "fleet_settings.h"

struct ab_gateway;

/* Listens on the addresses of SETTINGS.  The limits for callers in SETTINGS
   are overwritten with those of each bundle that comes into force.  Returns 0,
   AB_ERR_MEMORY, or AB_ERR_IO with a message in ERROR when an address cannot
   be listened on.  */
int ab_gateway_new (struct ab_daemon *daemon,
                    struct ab_fleet_settings *settings,
                    struct ab_gateway **gateway,
                    char error[AB_CONF_ERROR_BYTES]);
void ab_gateway_free (struct ab_gateway *gateway);

/* Advances the graceful shutdown; to be called again until it returns true.
   From the first call on, the host is not ready and replies close their
   connections.  STOPPING_MS is the time since the first call.  Returns true
   once no request is in flight and callers have had time to switch to other
   hosts, or when the time for the stop is nearly used up.  */
bool ab_gateway_stop (struct ab_gateway *gateway, uint64_t stopping_ms);

json_t *ab_gateway_state (const struct ab_gateway *gateway);

#endif
