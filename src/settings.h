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

#define AB_NAME_BYTES 64      /* Names in settings and bundles, with null.  */
#define AB_PATH_BYTES 256     /* File names, with null.  */
#define AB_CURVE_KEY_BYTES 41 /* Z85 text of a CURVE key, with null.  */
#define AB_CONTROL_MEMBERS_MAX 16
#define AB_SEEDS_MAX 64

enum ab_role
{
  AB_ROLE_ENTRY,
  AB_ROLE_CONTROL
};

/* A member of the consensus group at its first start.  KEY verifies the
   certificates that the member signs.  */
struct ab_control_member
{
  char host[AB_NAME_BYTES];
  char address[AB_ADDRESS_BYTES]; /* Of its peer listener.  */
  struct ab_public_key key;
};

/* Somebody whose signatures are accepted.  */
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
  char fleet_file[AB_PATH_BYTES]; /* CURVE pair shared by the fleet.  */
  char host_file[AB_PATH_BYTES];  /* Ed25519 secret of a control host.  */
  /* Public fleet keys accepted besides the own one, during a rotation.  */
  char (*accepted_fleet)[AB_CURVE_KEY_BYTES];
  size_t accepted_fleet_count;
};

struct ab_http_settings
{
  uint64_t body_bytes;     /* Largest request or response body.  */
  uint64_t header_bytes;   /* Largest block of headers.  */
  uint64_t header_time_ms; /* To receive a whole request.  */
  uint64_t idle_time_ms;   /* A connection without a request.  */
  uint64_t connections;    /* Open caller connections at most.  */
  char certificate_file[AB_PATH_BYTES]; /* TLS towards callers; or empty.  */
  char key_file[AB_PATH_BYTES];
};

struct ab_settings
{
  char host[AB_NAME_BYTES];
  enum ab_role role;
  char region[AB_NAME_BYTES];
  char failure_domain[AB_NAME_BYTES];
  struct ab_listen_settings listen;
  /* What others are told to connect to; the listen address where empty.  */
  struct ab_listen_settings advertise;
  char (*seeds)[AB_ADDRESS_BYTES];
  size_t seed_count;
  struct ab_control_member *control;
  size_t control_count;
  char data_folder[AB_PATH_BYTES]; /* Required for control hosts.  */
  struct ab_key_settings keys;
  struct ab_signer *approvers;
  size_t approver_count;
  struct ab_signer *operators;
  size_t operator_count;
  struct ab_http_settings http;
  uint64_t address_ttl_ms;    /* How long callers may keep an answer.  */
  uint64_t drain_margin_ms;   /* Added to the former at a planned stop.  */
  uint64_t probe_interval_ms; /* Between two membership probes.  */
  uint64_t probe_timeout_ms;
  uint64_t suspicion_ms; /* From suspected to gone.  */
  uint64_t raft_heartbeat_ms;
  uint64_t raft_election_ms;    /* Shortest election timeout.  */
  char log_file[AB_PATH_BYTES]; /* Standard error when empty.  */
  enum ab_log_level log_level;
};

/* Reads TEXT, a settings file whose name in messages is NAME, into a new
   *SETTINGS.  On failure ERROR holds "FILE:LINE: ...".  Only the text is
   checked; ab_settings_check_files opens the files that it names.  */
int ab_settings_parse (const char *name, struct ab_chunk text,
                       struct ab_settings **settings,
                       char error[AB_CONF_ERROR_BYTES]);

/* Reads the file PATH; also AB_ERR_IO.  */
int ab_settings_load (const char *path, struct ab_settings **settings,
                      char error[AB_CONF_ERROR_BYTES]);

/* Checks that key files exist, can be read by their owner alone and hold
   keys, and that the data folder is a folder that may be written.  */
int ab_settings_check_files (const struct ab_settings *settings,
                             char error[AB_CONF_ERROR_BYTES]);

void ab_settings_free (struct ab_settings *settings);

const char *ab_role_name (enum ab_role role);

#endif
