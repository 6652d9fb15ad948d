/* The control role of a fleet: keeps bundles and targets, answers targets and
   operators, and feeds entry hosts with what they lack.  */

#ifndef AB_FLEET_CONTROL_TASK_H
#define AB_FLEET_CONTROL_TASK_H

#include "daemon.h"
#include "fleet_settings.h"

struct ab_fleet_control;

int ab_fleet_control_new (struct ab_daemon *daemon,
                          const struct ab_fleet_settings *settings,
                          struct ab_fleet_control **control,
                          char error[AB_CONF_ERROR_BYTES]);
void ab_fleet_control_free (struct ab_fleet_control *control);

/* Stops taking new requests; true once those under way are answered.  */
bool ab_fleet_control_stop (struct ab_fleet_control *control);

json_t *ab_fleet_control_state (const struct ab_fleet_control *control);

#endif
