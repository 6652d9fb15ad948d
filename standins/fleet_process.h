/* Starts the processes of a test fleet.  */

#ifndef FLEET_PROCESS_H
#define FLEET_PROCESS_H

#include <sys/types.h>

/* Starts PROGRAM with ARGUMENTS, terminated by null, in the background.
   Standard output and error are appended to the file OUT.  The process is
   killed when this process ends.  Returns the process id or -1.  */
pid_t fleet_spawn_program (const char *program, const char *const *arguments,
                           const char *out);

/* Runs PROGRAM and waits for its end.  Returns the exit status, 128 + the
   signal that ended it, or -1.  Sets *OUTPUT, which the caller frees, to its
   standard output unless OUTPUT is null.  */
int fleet_run_program (const char *program, const char *const *arguments,
                       char **output);

#endif
