/* Shared by the files of almondctl.  */

#ifndef AB_CTL_H
#define AB_CTL_H

#include <jansson.h>
#include <stdbool.h>

#include "buf.h"
#include "settings.h"

/* Exit statuses, for scripts; listed in almondctl(1).  */
enum ctl_exit
{
  CTL_OK = 0,
  CTL_REFUSED = 1,     /* The host refused, or a check failed.  */
  CTL_USAGE = 2,       /* The command line is wrong.  */
  CTL_UNREACHABLE = 3, /* No answer; the outcome is not known.  */
  CTL_NOT_FOUND = 4
};

struct ctl_command;

struct ctl_options
{
  const struct ctl_command *command; /* The one that runs.  */
  const char *host;     /* Admin address of the host that is asked.  */
  const char *key_file; /* The operator's key.  */
  bool json;
  bool dry_run;
  bool wait;
  const char *output;
};

struct ctl_command
{
  const char *name;      /* One or two words.  */
  const char *arguments; /* For the usage text.  */
  int min_arguments;
  int max_arguments;
  /* ARGV holds COUNT words after the name.  */
  enum ctl_exit (*run) (const struct ctl_options *options, int count,
                        char **argv);
  const char *help;
  const char *path; /* Of commands and queries that are one request.  */
};

/* The commands that change something, and the queries; each list ends with a
   null name.  */
extern const struct ctl_command ctl_commands[];
extern const struct ctl_command ctl_queries[];

/* Sends a signed request to the admin ADDRESS.  *REPLY is the JSON answer,
   or null.  Returns the HTTP status, or a negative error with a message
   printed.  */
int ctl_request (const struct ctl_options *options, const char *address,
                 const char *method, const char *path, struct ab_chunk body,
                 json_t **reply);

/* Sends the request to the host of OPTIONS and prints its answer.  */
enum ctl_exit ctl_simple (const struct ctl_options *options,
                          const char *method, const char *path,
                          struct ab_chunk body);

/* Turns an HTTP status or negative error into an exit status, and prints the
   message of an error reply.  */
enum ctl_exit ctl_report (int status, const json_t *reply);

/* Prints VALUE as JSON, or as a table or list of "key: value" lines.  */
void ctl_print (const struct ctl_options *options, const json_t *value);

void ctl_error (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/* Appends TEXT percent-encoded for a query.  */
void ctl_append_encoded (struct ab_buf *out, const char *text);

/* Commands of the other files.  */
enum ctl_exit ctl_bundle_check (const struct ctl_options *, int, char **);
enum ctl_exit ctl_bundle_sign (const struct ctl_options *, int, char **);
enum ctl_exit ctl_bundle_apply (const struct ctl_options *, int, char **);
enum ctl_exit ctl_bundle_diff (const struct ctl_options *, int, char **);
enum ctl_exit ctl_explain_request (const struct ctl_options *, int, char **);
enum ctl_exit ctl_explain_target (const struct ctl_options *, int, char **);
enum ctl_exit ctl_explain_log (const struct ctl_options *, int, char **);

#endif
