/* Starting and waiting for the processes of a test fleet.  */

#ifndef FLEET_PROCESS_H
#define FLEET_PROCESS_H

#include <sys/types.h>

/* Starts PROGRAM with ARGUMENTS (null at the end) in the background; standard
   output and error are appended to the file OUT.  The process ends with this
   one.  The process number or -1.  */
pid_t fleet_spawn_program (const char *program, const char *const *arguments,
                           const char *out);

/* Runs PROGRAM to its end; the exit status or -1.  Its standard output goes
   to *OUTPUT, to be freed, unless that is null.  */
int fleet_run_program (const char *program, const char *const *arguments,
                       char **output);

#endif
