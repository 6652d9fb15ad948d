#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "ctl.h"
#include "error.h"
#include "keys.h"

#include <sodium.h>

static enum ctl_exit
post (const struct ctl_options *options, const char *path)
{
  if (options->dry_run)
    {
      printf ("would send POST %s to %s\n", path,
              options->host ? options->host : "the host");
      return CTL_OK;
    }
  return ctl_send_and_print (options, "POST", path, ab_chunk (NULL, 0));
}

static enum ctl_exit
run_post (const struct ctl_options *options, int count, char **argv)
{
  (void)count;
  (void)argv;
  return post (options, options->command->path);
}

static enum ctl_exit
command_release (const struct ctl_options *options, int count, char **argv)
{
  struct ab_buf path = AB_BUF_INIT;
  enum ctl_exit result;

  (void)count;
  ab_buf_append_str (&path, "/v1/quarantine/release?content=");
  ctl_append_encoded (&path, argv[0]);
  result = post (options, path.data);
  ab_buf_free (&path);
  return result;
}

static enum ctl_exit
change_member (const struct ctl_options *options, const char *action,
               const char *host, const char *address)
{
  struct ab_buf path = AB_BUF_INIT;
  enum ctl_exit result;

  ab_buf_printf (&path, "/v1/members?action=%s&host=", action);
  ctl_append_encoded (&path, host);
  if (address)
    {
      ab_buf_append_str (&path, "&address=");
      ctl_append_encoded (&path, address);
    }
  result = post (options, path.data);
  ab_buf_free (&path);
  return result;
}

static enum ctl_exit
command_member_add (const struct ctl_options *options, int count, char **argv)
{
  (void)count;
  return change_member (options, "add", argv[0], argv[1]);
}

static enum ctl_exit
command_member_remove (const struct ctl_options *options, int count,
                       char **argv)
{
  (void)count;
  return change_member (options, "remove", argv[0], NULL);
}

static enum ctl_exit
command_member_replace (const struct ctl_options *options, int count,
                        char **argv)
{
  (void)count;
  return change_member (options, "replace", argv[0], argv[1]);
}

static enum ctl_exit
command_keys_new (const struct ctl_options *options, int count, char **argv)
{
  struct ab_buf public_text = AB_BUF_INIT;
  char error[AB_CONF_ERROR_BYTES] = "";
  int rc;

  (void)options;
  (void)count;
  rc = ab_key_file_create (argv[0], argv[1], &public_text, error);
  if (rc < 0)
    ctl_error ("%s", error);
  else
    puts (public_text.data);
  ab_buf_free (&public_text);
  return rc < 0 ? CTL_REFUSED : CTL_OK;
}

/* Prints a new random token and its digest, which goes into the bundle.  */
static enum ctl_exit
command_token_new (const struct ctl_options *options, int count, char **argv)
{
  uint8_t bytes[24];
  char token[2 * sizeof bytes + 1];
  char digest_text[2 * AB_DIGEST_BYTES + 1];
  struct ab_digest digest;

  (void)options;
  (void)count;
  (void)argv;
  randombytes_buf (bytes, sizeof bytes);
  ab_hex_encode (bytes, sizeof bytes, token);
  digest = ab_digest_of (ab_chunk_str (token));
  ab_hex_encode (digest.bytes, sizeof digest.bytes, digest_text);
  printf ("token: %s\ncredential: %s\n", token, digest_text);
  return CTL_OK;
}

/* Prints a UUIDv7 for an Idempotency-Key header.  */
static enum ctl_exit
command_idempotency_key (const struct ctl_options *options, int count,
                         char **argv)
{
  uint64_t now_ms = ab_clock_wall_ms (ab_clock_system ());
  uint8_t uuid[16];
  char hex[33];

  (void)options;
  (void)count;
  (void)argv;
  randombytes_buf (uuid, sizeof uuid);
  for (int i = 0; i < 6; i++)
    uuid[i] = (uint8_t)(now_ms >> (40 - 8 * i));
  uuid[6] = (uint8_t)(0x70 | (uuid[6] & 0x0f));
  uuid[8] = (uint8_t)(0x80 | (uuid[8] & 0x3f));
  ab_hex_encode (uuid, sizeof uuid, hex);
  printf ("%.8s-%.4s-%.4s-%.4s-%.12s\n", hex, hex + 8, hex + 12, hex + 16,
          hex + 20);
  return CTL_OK;
}

const struct ctl_command ctl_commands[] = {
  { "bundle sign", "FILE APPROVER-KEY", 2, 2, ctl_bundle_sign,
    "approve a bundle and write FILE.signed", NULL },
  { "bundle apply", "SIGNED-FILE", 1, 1, ctl_bundle_apply,
    "submit a signed bundle to the control hosts", NULL },
  { "drain", "", 0, 0, run_post, "have callers use other hosts", "/v1/drain" },
  { "undrain", "", 0, 0, run_post, "undo 'drain'", "/v1/undrain" },
  { "stop", "", 0, 0, run_post,
    "drain the host, wait for its requests and stop it", "/v1/stop" },
  { "quarantine release", "DIGEST", 1, 1, command_release,
    "allow a quarantined request to run again", NULL },
  { "members add", "HOST IP:PORT", 2, 2, command_member_add,
    "add a control host", NULL },
  { "members remove", "HOST", 1, 1, command_member_remove,
    "remove a control host", NULL },
  { "members replace", "HOST IP:PORT", 2, 2, command_member_replace,
    "readmit a control host with an empty disk", NULL },
  { "keys new", "KIND FILE", 2, 2, command_keys_new,
    "create a fleet, host, approver or operator key", NULL },
  { "tokens new", "", 0, 0, command_token_new,
    "create a token for a team or a service's targets", NULL },
  { "idempotency-key", "", 0, 0, command_idempotency_key,
    "print a new idempotency key", NULL },
  { NULL, NULL, 0, 0, NULL, NULL, NULL },
};
