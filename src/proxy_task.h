/* The proxy of an entry host: HTTP listener for callers, request flow, and
   connections to targets.  */

#ifndef AB_PROXY_TASK_H
#define AB_PROXY_TASK_H

#include <jansson.h>
#include <stdbool.h>

#include "daemon.h"

/* Listens for callers with the settings of DAEMON.  Returns 0, AB_ERR_IO or
   AB_ERR_INVALID with a message in ERROR when a setting cannot be applied, or
   another error.  */
int ab_proxy_task_new (struct ab_daemon *daemon, struct ab_proxy_task **task,
                       char error[AB_CONF_ERROR_BYTES]);
void ab_proxy_task_free (struct ab_proxy_task *task);

/* From now on responses carry "Connection: close" and idle connections are
   closed; the listener stays open.  */
void ab_proxy_task_drain (struct ab_proxy_task *task);
void ab_proxy_task_undrain (struct ab_proxy_task *task);

/* Reloads the TLS certificate and key; the old ones stay in use when the new
   ones are not valid.  */
int ab_proxy_task_reload (struct ab_proxy_task *task,
                          char error[AB_CONF_ERROR_BYTES]);

/* Number of accepted requests whose reply is not written completely.  */
size_t ab_proxy_task_in_flight (const struct ab_proxy_task *task);

/* State dump: requests in flight with age and stage, connections, counts.  */
json_t *ab_proxy_task_state (const struct ab_proxy_task *task);

#endif
