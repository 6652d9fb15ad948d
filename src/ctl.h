/* Declarations that the files of almondctl share.  */

#ifndef AB_CTL_H
#define AB_CTL_H

#include <jansson.h>
#include <stdbool.h>

#include "buf.h"
#include "settings.h"

/* Exit statuses of almondctl, documented in almondctl(1) for scripts.  */
enum ctl_exit
{
  CTL_OK = 0,
  CTL_REFUSED = 1,     /* The host refused the command, or a check failed.  */
  CTL_USAGE = 2,       /* The command line is wrong.  */
  CTL_UNREACHABLE = 3, /* No reply; the outcome is not known.  */
  CTL_NOT_FOUND = 4
};

struct ctl_command;

struct ctl_options
{
  const struct ctl_command *command; /* The command that is running.  */
  const char *host;     /* Admin address of the host; null if not given.  */
  const char *key_file; /* File of the operator's key; null if not given.  */
  bool json;
  bool dry_run;
  bool wait;
  const char *output; /* File to write; null for the default name.  */
};

struct ctl_command
{
  const char *name;      /* One or two words.  */
  const char *arguments; /* Names of the arguments, for the usage text.  */
  int min_arguments;
  int max_arguments;
  /* ARGV holds the COUNT words that follow the name.  */
  enum ctl_exit (*run) (const struct ctl_options *options, int count,
                        char **argv);
  const char *help;
  const char *path; /* Path of the command's only request, or null.  */
};

/* Commands that change something, and queries.  Each list ends with an item
   whose name is null.  */
extern const struct ctl_command ctl_commands[];
extern const struct ctl_command ctl_queries[];

/* Sends a signed request to the admin listener at ADDRESS.  *REPLY is the JSON
   reply, or null when there is none; the caller owns it.  Returns the HTTP
   status, or a negative error after printing a message.  */
int ctl_request (const struct ctl_options *options, const char *address,
                 const char *method, const char *path, struct ab_chunk body,
                 json_t **reply);

/* Sends a signed request to the host of OPTIONS and prints the reply.  */
enum ctl_exit ctl_send_and_print (const struct ctl_options *options,
                                  const char *method, const char *path,
                                  struct ab_chunk body);

/* Returns the exit status for STATUS, an HTTP status or negative error of
   ctl_request, and prints the message of an error reply.  */
enum ctl_exit ctl_report (int status, const json_t *reply);

/* Prints VALUE as JSON if OPTIONS ask for it, else as a table or lines of
   "key: value".  */
void ctl_print (const struct ctl_options *options, const json_t *value);

/* Prints a message on standard error, after the name of the program.  */
void ctl_error (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/* Appends TEXT, percent-encoded for a URI query.  */
void ctl_append_encoded (struct ab_buf *out, const char *text);

/* Implementations of commands, for the lists above.  */
enum ctl_exit ctl_bundle_check (const struct ctl_options *, int, char **);
enum ctl_exit ctl_bundle_sign (const struct ctl_options *, int, char **);
enum ctl_exit ctl_bundle_apply (const struct ctl_options *, int, char **);
enum ctl_exit ctl_bundle_diff (const struct ctl_options *, int, char **);
enum ctl_exit ctl_explain_request (const struct ctl_options *, int, char **);
enum ctl_exit ctl_explain_target (const struct ctl_options *, int, char **);
enum ctl_exit ctl_explain_log (const struct ctl_options *, int, char **);

#endif
