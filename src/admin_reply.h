/* Requests and replies of the admin listener, shared by its queries and
   commands.  */

#ifndef AB_ADMIN_REPLY_H
#define AB_ADMIN_REPLY_H

#include <jansson.h>

#include "daemon.h"

struct evhttp_request;

/* One signed request to the admin listener.  OPERATOR_NAME is null until the
   signature has been checked.  The few paths that need no signature are served
   without this struct.  */
struct ab_admin_request
{
  struct ab_daemon *daemon;
  struct evhttp_request *http;
  const char *operator_name;
  struct ab_chunk body;
};

/* Sends VALUE with the HTTP status STATUS, or status 500 when VALUE is null.
   Takes ownership of VALUE.  */
void ab_admin_reply_json (struct evhttp_request *http, int status,
                          json_t *value);

/* Sends {"code": CODE, "message": ...} with the HTTP status STATUS.  */
void ab_admin_reply_error (struct evhttp_request *http, int status,
                           const char *code, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/* Sends the result RC of a command: status 200 for 0, or the status and code
   of the error.  The text is MESSAGE, or that of RC when MESSAGE is empty.  */
void ab_admin_reply_result (struct evhttp_request *http, int rc,
                            struct ab_chunk message);

/* Copies the decoded query parameter NAME into TEXT, a buffer of SIZE bytes.
   Returns false when the parameter is missing or too long.  */
bool ab_admin_parameter (struct evhttp_request *http, const char *name,
                         char *text, size_t size);

typedef void (*ab_admin_handler) (const struct ab_admin_request *request);

/* Queries, in admin_query_task.c.  */
void ab_admin_get_state (const struct ab_admin_request *request);
void ab_admin_get_hosts (const struct ab_admin_request *request);
void ab_admin_get_targets (const struct ab_admin_request *request);
void ab_admin_get_services (const struct ab_admin_request *request);
void ab_admin_get_explain_request (const struct ab_admin_request *request);
void ab_admin_get_explain_target (const struct ab_admin_request *request);
void ab_admin_get_bundle (const struct ab_admin_request *request);
void ab_admin_get_history (const struct ab_admin_request *request);

/* Commands, in admin_command_task.c.  */
void ab_admin_post_bundle (const struct ab_admin_request *request);
void ab_admin_post_drain (const struct ab_admin_request *request);
void ab_admin_post_undrain (const struct ab_admin_request *request);
void ab_admin_post_stop (const struct ab_admin_request *request);
void ab_admin_post_release (const struct ab_admin_request *request);
void ab_admin_post_members (const struct ab_admin_request *request);

#endif
