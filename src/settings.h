/* Settings of one process, read from a YAML file.

   The reference is docs/settings.md.  Durations are in milliseconds, sizes in
   bytes.  Addresses are an IP address, a colon and a port.  */

#ifndef AB_SETTINGS_H
#define AB_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chunk.h"
#include "conf.h"
#include "digest.h"
#include "frame.h"
#include "log.h"

/* Sizes of texts, each with its null byte.  */
#define AB_NAME_BYTES 64      /* Name in settings or a bundle.  */
#define AB_PATH_BYTES 256     /* File name.  */
#define AB_CURVE_KEY_BYTES 41 /* CURVE key as Z85 text.  */

#define AB_CONTROL_MEMBERS_MAX 16
/* Maximum number of seeds, of approvers, of operators and of accepted fleet
   keys.  */
#define AB_SETTINGS_LIST_MAX 64

enum ab_role
{
  AB_ROLE_ENTRY,
  AB_ROLE_CONTROL
};

/* A member of the control group (the Raft group of the control hosts) when
   the group starts for the first time.  KEY verifies the certificates that the
   member signs.  */
struct ab_control_member
{
  char host[AB_NAME_BYTES];
  char address[AB_ADDRESS_BYTES]; /* Address of the peer listener.  */
  struct ab_public_key key;
};

/* An approver of bundles or an operator: a name and the key that verifies the
   signatures.  */
struct ab_signer
{
  char name[AB_NAME_BYTES];
  struct ab_public_key key;
};

struct ab_listen_settings
{
  char callers[AB_ADDRESS_BYTES]; /* Entry hosts only.  */
  char peers[AB_ADDRESS_BYTES];
  char admin[AB_ADDRESS_BYTES];
};

struct ab_key_settings
{
  char fleet_file[AB_PATH_BYTES]; /* CURVE key pair shared by the fleet.  */
  char host_file[AB_PATH_BYTES];  /* Ed25519 secret key of a control host.  */
  /* Public keys accepted besides that of FLEET_FILE, during a key rotation. */
  char (*accepted_fleet)[AB_CURVE_KEY_BYTES];
  size_t accepted_fleet_count;
};

struct ab_http_settings
{
  uint64_t body_bytes;     /* Largest request or response body.  */
  uint64_t header_bytes;   /* Largest header section.  */
  uint64_t header_time_ms; /* Time limit for receiving a whole request.  */
  uint64_t idle_time_ms;   /* Time limit of an idle connection.  */
  uint64_t connections;    /* Maximum number of open caller connections.  */
  /* Bound on the bytes of all requests together; one large request at a time
     may exceed it.  */
  uint64_t requests_bytes;
  /* Bound on the bytes of responses that were not read, and of the requests
     that wait behind them, of all connections; above it, connections that read
     nothing are closed.  */
  uint64_t unread_bytes;
  /* Maximum number of open connections of each listener for other than
     callers' requests.  */
  uint64_t side_connections;
  /* Files for TLS with callers; empty without TLS.  */
  char certificate_file[AB_PATH_BYTES];
  char key_file[AB_PATH_BYTES];
};

struct ab_settings
{
  char host[AB_NAME_BYTES];
  enum ab_role role;
  char region[AB_NAME_BYTES];
  char failure_domain[AB_NAME_BYTES];
  struct ab_listen_settings listen;
  /* Addresses advertised to other processes, which connect to them.  An
     address that the file leaves out is copied from LISTEN.  */
  struct ab_listen_settings advertise;
  char (*seeds)[AB_ADDRESS_BYTES];
  size_t seed_count;
  struct ab_control_member *control;
  size_t control_count;
  char data_folder[AB_PATH_BYTES]; /* Required on control hosts.  */
  struct ab_key_settings keys;
  struct ab_signer *approvers;
  size_t approver_count;
  struct ab_signer *operators;
  size_t operator_count;
  struct ab_http_settings http;
  uint64_t address_ttl_ms;    /* How long callers may cache addresses.  */
  uint64_t drain_margin_ms;   /* Added to ADDRESS_TTL_MS in a planned stop.  */
  uint64_t probe_interval_ms; /* Interval of membership probes.  */
  uint64_t probe_timeout_ms;
  uint64_t suspicion_ms; /* Time after which a suspected host is dead.  */
  uint64_t raft_heartbeat_ms;
  uint64_t raft_election_ms;    /* Shortest election timeout.  */
  char log_file[AB_PATH_BYTES]; /* Standard error when empty.  */
  enum ab_log_level log_level;
};

/* Reads TEXT, the text of a settings file, into a new *SETTINGS; NAME is the
   file name that error messages give.  On failure ERROR holds "FILE:LINE: ..."
   or is empty.  Only the text is checked; ab_settings_check_files opens the
   files that it names.  Returns 0, AB_ERR_INVALID, AB_ERR_TOO_LARGE or
   AB_ERR_MEMORY.  */
int ab_settings_parse (const char *name, struct ab_chunk text,
                       struct ab_settings **settings,
                       char error[AB_CONF_ERROR_BYTES]);

/* Reads the settings file PATH, as ab_settings_parse does.  May also return
   AB_ERR_IO.  */
int ab_settings_load (const char *path, struct ab_settings **settings,
                      char error[AB_CONF_ERROR_BYTES]);

/* Checks that the key files exist, can be read by their owner alone and hold
   keys, and that the data folder exists and can be written.  Returns 0, or a
   negative error with a message in ERROR.  */
int ab_settings_check_files (const struct ab_settings *settings,
                             char error[AB_CONF_ERROR_BYTES]);

void ab_settings_free (struct ab_settings *settings);

/* Returns "entry" or "control".  */
const char *ab_role_name (enum ab_role role);

#endif
