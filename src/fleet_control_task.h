/* The control role of a fleet: stores bundles and targets in a replicated
   state machine, serves the HTTP API for targets and operators, and sends
   entry hosts the changes that they lack.  */

#ifndef AB_FLEET_CONTROL_TASK_H
#define AB_FLEET_CONTROL_TASK_H

#include "daemon.h"
#include "fleet_settings.h"

struct ab_fleet_control;

/* Starts the control role.  Returns 0 or a negative code, with a message in
   ERROR where the code alone doesn't explain it.  */
int ab_fleet_control_new (struct ab_daemon *daemon,
                          const struct ab_fleet_settings *settings,
                          struct ab_fleet_control **control,
                          char error[AB_CONF_ERROR_BYTES]);
void ab_fleet_control_free (struct ab_fleet_control *control);

/* Begins or continues a graceful shutdown: closes connections after their next
   response.  Returns whether all pending requests have been answered.  */
bool ab_fleet_control_stop (struct ab_fleet_control *control);

/* Returns the state of the group, bundle, targets and followers for
   operators.  */
json_t *ab_fleet_control_state (const struct ab_fleet_control *control);

#endif
