/* Internal declarations of the test fleet, shared by fleet_lib.c and
   fleet_admin_lib.c.  */

#ifndef FLEET_INTERNAL_H
#define FLEET_INTERNAL_H

#include <stdint.h>

#include "buf.h"
#include "fleet_lib.h"
#include "settings.h"

#define KEY_TEXT_BYTES 80
#define TOKEN_TARGET "token-of-the-targets"
#define TOKEN_TEAM "token-of-the-team"
#define ARGUMENTS_MAX 48
#define POLL_MS 50

struct fleet_host
{
  pid_t pid;
  char callers[FLEET_ADDRESS_BYTES];
  char peers[FLEET_ADDRESS_BYTES];
  char admin[FLEET_ADDRESS_BYTES];
  char advertised[FLEET_ADDRESS_BYTES]; /* PEERS, or its proxy's address.  */
  char public_key[KEY_TEXT_BYTES];      /* Only on control hosts.  */
};

struct fleet_target
{
  pid_t pid;
  char address[FLEET_ADDRESS_BYTES];
  char log[AB_PATH_BYTES];
};

struct fleet
{
  struct fleet_options options;
  int count;
  struct fleet_host hosts[FLEET_HOSTS_MAX + 1];
  struct fleet_target targets[FLEET_TARGETS_MAX + 1];
  pid_t proxy;
  char proxy_control[FLEET_ADDRESS_BYTES];
  char approver[KEY_TEXT_BYTES];
  char operator[KEY_TEXT_BYTES];
  char folder[AB_PATH_BYTES];
};

uint64_t fleet_now_ms (void);

/* Writes FOLDER/NAME to PATH.  */
void fleet_path (const struct fleet *fleet, char path[AB_PATH_BYTES],
                 const char *name);
void fleet_host_name (const struct fleet *fleet, int host,
                      char name[AB_NAME_BYTES]);
/* Replaces the file PATH by TEXT.  Returns whether that succeeded.  */
bool fleet_write_text (const char *path, const struct ab_buf *text);

/* Appends MORE, terminated by null, to LIST, which holds USED of ARGUMENTS_MAX
   arguments, and terminates it by null.  Returns the new number of
   arguments.  */
int fleet_add_arguments (const char **list, int used, const char *const *more);

#endif
