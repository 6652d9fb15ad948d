/* Key files.

   A key file is a YAML map of "kind", "public" and "secret".  The kinds are
   "fleet" (CURVE, Z85 text), "host", "approver" and "operator" (Ed25519,
   hexadecimal).  Key files must be readable by their owner only (mode 0600 or
   0400).  Blocking file I/O.  */

#ifndef AB_KEYS_H
#define AB_KEYS_H

#include "conf.h"
#include "digest.h"
#include "settings.h"

/* CURVE key pair in Z85 text.  */
struct ab_curve_pair
{
  char public_key[AB_CURVE_KEY_BYTES];
  char secret_key[AB_CURVE_KEY_BYTES];
};

/* Returns whether TEXT has the form of a CURVE key.  */
bool ab_curve_key_valid (struct ab_chunk text);

/* Read the key file PATH: ab_curve_pair_load expects the kind "fleet",
   ab_secret_key_load an Ed25519 kind.  Return 0, AB_ERR_IO, AB_ERR_INVALID, or
   AB_ERR_DENIED for a mode that gives access to other users.  After an error,
   ERROR says which file and what was expected.  */
int ab_curve_pair_load (const char *path, struct ab_curve_pair *pair,
                        char error[AB_CONF_ERROR_BYTES]);
int ab_secret_key_load (const char *path, struct ab_secret_key *key,
                        char error[AB_CONF_ERROR_BYTES]);

/* Generates a key pair of KIND and writes it to the new file PATH with mode
   0600.  Appends the text of the public key to PUBLIC_TEXT.  Returns 0,
   AB_ERR_EXISTS if PATH exists, AB_ERR_INVALID for an unknown KIND, AB_ERR_IO
   or another error, with a message in ERROR.  */
int ab_key_file_create (const char *kind, const char *path,
                        struct ab_buf *public_text,
                        char error[AB_CONF_ERROR_BYTES]);

#endif
