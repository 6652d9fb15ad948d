/* The gateway role of a fleet: takes callers' requests, passes them to
   targets, and tells callers which hosts to use.  */

#ifndef AB_GATEWAY_TASK_H
#define AB_GATEWAY_TASK_H

#include <jansson.h>

#include "daemon.h"
#include "fleet_settings.h"

struct ab_gateway;

/* SETTINGS' limits for callers follow the bundle in force.  */
int ab_gateway_new (struct ab_daemon *daemon,
                    struct ab_fleet_settings *settings,
                    struct ab_gateway **gateway,
                    char error[AB_CONF_ERROR_BYTES]);
void ab_gateway_free (struct ab_gateway *gateway);

/* Stops taking callers: not ready at once, replies close their connections.
   True once nothing is under way and callers have had time to turn to other
   hosts.  */
bool ab_gateway_stop (struct ab_gateway *gateway, uint64_t stopping_ms);

json_t *ab_gateway_state (const struct ab_gateway *gateway);

#endif
