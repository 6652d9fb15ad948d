#include <stdio.h>
#include <stdlib.h>

#include "ctl.h"
#include "error.h"

#define LOG_FILES_MAX 4096

static enum ctl_exit
run_get (const struct ctl_options *options, int count, char **argv)
{
  (void)count;
  (void)argv;
  return ctl_send_and_print (options, "GET", options->command->path,
                             ab_chunk (NULL, 0));
}

/* Sends a query for PATH to every host in HOSTS and returns the responses that
   say "known" or hold a current state.  *UNANSWERED is the number of hosts
   that did not answer with status 200.  */
static json_t *
collect_responses (const struct ctl_options *options, const json_t *hosts,
                   const char *path, size_t *unanswered)
{
  json_t *responses = json_array ();
  size_t index;
  json_t *host;

  *unanswered = 0;
  json_array_foreach (hosts, index, host)
  {
    const char *admin = json_string_value (json_object_get (host, "admin"));
    json_t *reply = NULL;
    if (!admin || !admin[0])
      continue;
    if (ctl_request (options, admin, "GET", path, ab_chunk (NULL, 0), &reply)
        != 200)
      ++*unanswered;
    else if (json_is_true (json_object_get (reply, "known"))
             || json_is_object (json_object_get (reply, "now")))
      json_array_append (responses, reply);
    json_decref (reply);
  }
  return responses;
}

static void
print_response (const json_t *response)
{
  json_t *now = json_object_get (response, "now");
  size_t index;
  json_t *event;

  printf ("host %s:\n",
          json_string_value (json_object_get (response, "host")));
  json_array_foreach (json_object_get (response, "events"), index, event)
  {
    json_int_t ms = json_integer_value (json_object_get (event, "time_ms"));
    printf ("  %lld.%03lld %-22s %s\n", (long long)(ms / 1000),
            (long long)(ms % 1000),
            json_string_value (json_object_get (event, "event")),
            json_string_value (json_object_get (event, "detail")));
  }
  if (json_is_object (now))
    {
      char *text = json_dumps (now, JSON_INDENT (2));
      printf ("  now: %s\n", text ? text : "");
      free (text);
    }
}

/* Collects the explanations of SUBJECT at PATH from all hosts and prints
   them.  */
static enum ctl_exit
explain_subject (const struct ctl_options *options, const char *path,
                 const char *subject)
{
  json_t *hosts = NULL;
  json_t *responses = NULL;
  enum ctl_exit result;
  size_t unanswered = 0;
  size_t index;
  json_t *response;
  int status;

  if (!options->host)
    {
      ctl_error ("no host; use --host IP:PORT or set ALMONDCTL_HOST");
      return CTL_USAGE;
    }
  status = ctl_request (options, options->host, "GET", "/v1/hosts",
                        ab_chunk (NULL, 0), &hosts);
  result = ctl_report (status, hosts);
  if (result != CTL_OK)
    goto out;
  responses = collect_responses (options, hosts, path, &unanswered);
  if (unanswered > 0)
    ctl_error ("%zu hosts did not answer; the explanation may be incomplete",
               unanswered);
  if (json_array_size (responses) == 0)
    {
      ctl_error ("nothing is known about '%s': no host that answered has "
                 "seen it, or its record has been dropped",
                 subject);
      result = CTL_NOT_FOUND;
    }
  else if (options->json)
    ctl_print (options, responses);
  else
    json_array_foreach (responses, index, response) print_response (response);
out:
  json_decref (hosts);
  json_decref (responses);
  return result;
}

enum ctl_exit
ctl_explain_request (const struct ctl_options *options, int count, char **argv)
{
  struct ab_buf path = AB_BUF_INIT;
  enum ctl_exit result;

  (void)count;
  ab_buf_append_str (&path, "/v1/explain/request?id=");
  ctl_append_encoded (&path, argv[0]);
  result = explain_subject (options, path.data, argv[0]);
  ab_buf_free (&path);
  return result;
}

enum ctl_exit
ctl_explain_target (const struct ctl_options *options, int count, char **argv)
{
  struct ab_buf path = AB_BUF_INIT;
  enum ctl_exit result;

  (void)count;
  if (!ab_address_valid (ab_chunk_str (argv[0])))
    {
      ctl_error ("'%s' is not a target's address; expected IP:PORT", argv[0]);
      return CTL_USAGE;
    }
  ab_buf_append_str (&path, "/v1/explain/target?address=");
  ctl_append_encoded (&path, argv[0]);
  result = explain_subject (options, path.data, argv[0]);
  ab_buf_free (&path);
  return result;
}

const struct ctl_command ctl_queries[] = {
  { "state", "", 0, 0, run_get, "state dump of the host", "/v1/state" },
  { "hosts", "", 0, 0, run_get, "hosts known to the host", "/v1/hosts" },
  { "targets", "", 0, 0, run_get, "targets known to the host", "/v1/targets" },
  { "services", "", 0, 0, run_get, "services of the bundle in force",
    "/v1/services" },
  { "explain", "REQUEST-ID", 1, 1, ctl_explain_request,
    "what was decided for a request, and why", NULL },
  { "explain log", "REQUEST-ID FILE...", 2, LOG_FILES_MAX, ctl_explain_log,
    "what happened to a request, from log files", NULL },
  { "explain target", "IP:PORT", 1, 1, ctl_explain_target,
    "why a target does or does not get requests", NULL },
  { "bundle status", "", 0, 0, run_get, "the bundle in force", "/v1/bundle" },
  { "bundle history", "", 0, 0, run_get,
    "accepted bundles (control hosts only)", "/v1/bundle/history" },
  { "bundle check", "FILE", 1, 1, ctl_bundle_check, "check a bundle file",
    NULL },
  { "bundle diff", "FILE FILE", 2, 2, ctl_bundle_diff,
    "what differs between two bundle files", NULL },
  { NULL, NULL, 0, 0, NULL, NULL, NULL },
};
