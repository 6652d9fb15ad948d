#include <event2/http.h>
#include <stdio.h>

#include "admin_reply.h"
#include "bundle_task.h"
#include "clock.h"
#include "control_client.h"
#include "error.h"
#include "member_task.h"
#include "signed_bundle.h"
#include "stop_task.h"

/* Time limit of an operator's command that waits for the control group.  */
#define COMMAND_TIMEOUT_MS 10000
#define ACTION_BYTES 16

static uint64_t
command_deadline (void)
{
  return ab_clock_monotonic_ms (ab_clock_system ()) + COMMAND_TIMEOUT_MS;
}

/* Sends the control group's result as the reply to CTX, the evhttp request.
   If the operator disconnects before, evhttp keeps the request until it is
   answered, so CTX is still valid.  */
static void
on_group_result (void *ctx, int rc, struct ab_chunk message)
{
  ab_admin_reply_result (ctx, rc, message);
}

/* Makes the checks that every host makes before it puts BUNDLE in force.
   Returns 0, or a negative error with a message in ERROR.  */
static int
check_bundle (const struct ab_admin_request *request,
              const struct ab_signed_bundle *bundle,
              char error[AB_CONF_ERROR_BYTES])
{
  struct ab_bundle *parsed = NULL;
  int rc = ab_bundle_parse ("bundle", ab_buf_chunk (&bundle->text), &parsed,
                            error);

  if (rc < 0)
    return rc;
  if (ab_bundle_version (parsed) != bundle->version)
    {
      snprintf (error, AB_CONF_ERROR_BYTES,
                "the signed version differs from the bundle's version");
      rc = AB_ERR_INVALID;
    }
  else
    {
      rc = ab_signed_bundle_check_approval (bundle, request->daemon->settings);
      if (rc < 0)
        snprintf (error, AB_CONF_ERROR_BYTES,
                  "no approver named in the settings has signed this "
                  "bundle");
    }
  ab_bundle_unref (parsed);
  return rc;
}

/* Replies with what applying BUNDLE would do, as far as the bundle in force on
   this host shows.  */
static void
reply_dry_run (const struct ab_admin_request *request,
               const struct ab_signed_bundle *bundle)
{
  const struct ab_bundle *current
      = ab_bundle_task_current (request->daemon->bundle);
  uint64_t in_force = current ? ab_bundle_version (current) : 0;
  char message[128];
  int rc = 0;

  if (bundle->version > in_force)
    snprintf (message, sizeof message, "would replace version %llu by %llu",
              (unsigned long long)in_force,
              (unsigned long long)bundle->version);
  else if (bundle->version == in_force
           && ab_digest_equal (&bundle->digest, ab_bundle_digest (current)))
    snprintf (message, sizeof message, "version %llu is in force already",
              (unsigned long long)in_force);
  else
    {
      rc = bundle->version == in_force ? AB_ERR_CONFLICT : AB_ERR_STALE;
      snprintf (message, sizeof message,
                "version %llu with other content is in force",
                (unsigned long long)in_force);
    }
  ab_admin_reply_result (request->http, rc, ab_chunk_str (message));
}

void
ab_admin_post_bundle (const struct ab_admin_request *request)
{
  struct ab_signed_bundle bundle;
  char error[AB_CONF_ERROR_BYTES] = "";
  char dry_run[ACTION_BYTES];
  int rc = ab_signed_bundle_decode (request->body, &bundle);

  if (rc < 0)
    {
      ab_admin_reply_result (request->http, AB_ERR_INVALID,
                             AB_CHUNK ("the body is not a signed bundle"));
      return;
    }
  rc = check_bundle (request, &bundle, error);
  if (rc < 0)
    ab_admin_reply_result (request->http, rc, ab_chunk_str (error));
  else if (ab_admin_parameter (request->http, "dry_run", dry_run,
                               sizeof dry_run))
    reply_dry_run (request, &bundle);
  else
    ab_control_client_apply_bundle (
        request->daemon->control_client, &bundle, request->operator_name,
        command_deadline (), on_group_result, request->http);
  ab_signed_bundle_free (&bundle);
}

void
ab_admin_post_drain (const struct ab_admin_request *request)
{
  ab_stop_task_drain (request->daemon->stop);
  ab_admin_reply_result (request->http, 0, AB_CHUNK ("draining"));
}

void
ab_admin_post_undrain (const struct ab_admin_request *request)
{
  int rc = ab_stop_task_undrain (request->daemon->stop);

  ab_admin_reply_result (request->http, rc,
                         rc == 0 ? AB_CHUNK ("in service")
                                 : AB_CHUNK ("the host is stopping"));
}

void
ab_admin_post_stop (const struct ab_admin_request *request)
{
  ab_stop_task_stop (request->daemon->stop);
  ab_admin_reply_result (request->http, 0, AB_CHUNK ("stopping"));
}

void
ab_admin_post_release (const struct ab_admin_request *request)
{
  char text[2 * AB_DIGEST_BYTES + 1];
  struct ab_digest content;

  if (!ab_admin_parameter (request->http, "content", text, sizeof text)
      || ab_hex_decode (ab_chunk_str (text), content.bytes,
                        sizeof content.bytes)
             < 0)
    {
      ab_admin_reply_result (
          request->http, AB_ERR_INVALID,
          AB_CHUNK (
              "parameter 'content' is not a digest of 64 hexadecimal digits"));
      return;
    }
  if (!ab_member_task_quarantined (request->daemon->member, &content))
    {
      ab_admin_reply_result (
          request->http, AB_ERR_NOT_FOUND,
          AB_CHUNK ("no request with this digest is quarantined"));
      return;
    }
  ab_member_task_release_quarantine (request->daemon->member, &content);
  ab_admin_reply_result (request->http, 0, AB_CHUNK ("released"));
}

void
ab_admin_post_members (const struct ab_admin_request *request)
{
  char action[ACTION_BYTES] = "";
  char host[AB_NAME_BYTES] = "";
  char address[AB_ADDRESS_BYTES] = "";

  ab_admin_parameter (request->http, "action", action, sizeof action);
  ab_admin_parameter (request->http, "address", address, sizeof address);
  if (!ab_admin_parameter (request->http, "host", host, sizeof host))
    ab_admin_reply_result (request->http, AB_ERR_INVALID,
                           AB_CHUNK ("parameter 'host' is missing"));
  else if (strcmp (action, "remove") != 0
           && !ab_address_valid (ab_chunk_str (address)))
    ab_admin_reply_result (request->http, AB_ERR_INVALID,
                           AB_CHUNK ("parameter 'address' is not an IP "
                                     "address and a port"));
  else
    ab_control_client_change_member (
        request->daemon->control_client, ab_chunk_str (action), host, address,
        command_deadline (), on_group_result, request->http);
}
