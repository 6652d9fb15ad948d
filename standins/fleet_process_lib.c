#include "fleet_process.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "buf.h"
#include "clock.h"
#include "fleet_lib.h"

#define WAIT_POLL_MS 10
#define ARGUMENTS_MAX 100

/* Executes PROGRAM in the child process with standard output to OUT; does not
   return.  */
static void
execute (const char *program, const char *const *arguments, int out)
{
  const char *list[ARGUMENTS_MAX + 2] = { program };

  for (int i = 0; i < ARGUMENTS_MAX && arguments && arguments[i]; i++)
    list[i + 1] = arguments[i];
  /* A test that is killed must not leave the processes of its fleet behind. */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  dup2 (out, STDOUT_FILENO);
  execv (program, (char *const *)list);
  perror (program);
  _exit (127);
}

pid_t
fleet_spawn_program (const char *program, const char *const *arguments,
                     const char *out)
{
  int fd = open (out, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  pid_t pid;

  if (fd < 0)
    return -1;
  pid = fork ();
  if (pid == 0)
    {
      dup2 (fd, STDERR_FILENO);
      execute (program, arguments, fd);
    }
  close (fd);
  return pid;
}

int
fleet_run_program (const char *program, const char *const *arguments,
                   char **output)
{
  struct ab_buf text = AB_BUF_INIT;
  char bytes[4096];
  int fds[2];
  ssize_t got;
  int status;
  pid_t pid;

  if (pipe2 (fds, O_CLOEXEC) < 0)
    return -1;
  pid = fork ();
  if (pid == 0)
    execute (program, arguments, fds[1]);
  close (fds[1]);
  while ((got = read (fds[0], bytes, sizeof bytes)) > 0)
    ab_buf_append (&text, bytes, (size_t)got);
  close (fds[0]);
  if (output)
    *output = text.data;
  else
    ab_buf_free (&text);
  if (pid < 0 || waitpid (pid, &status, 0) != pid)
    return -1;
  return WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}

int
fleet_wait_process (pid_t pid, int timeout_ms)
{
  uint64_t end_ms
      = ab_clock_monotonic_ms (ab_clock_system ()) + (uint64_t)timeout_ms;
  int status;

  if (pid <= 0)
    return -1;
  while (waitpid (pid, &status, WNOHANG) == 0)
    {
      if (ab_clock_monotonic_ms (ab_clock_system ()) > end_ms)
        {
          kill (pid, SIGKILL);
          waitpid (pid, &status, 0);
          return -1;
        }
      fleet_sleep_ms (WAIT_POLL_MS);
    }
  return WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}
