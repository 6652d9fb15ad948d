/* Key files.

   A key file is YAML: "kind", "public" and "secret".  Kinds are "fleet"
   (CURVE, Z85 text), "host", "approver" and "operator" (Ed25519,
   hexadecimal).  Files with a secret must be readable by their owner only
   (mode 0600 or 0400).  */

#ifndef AB_KEYS_H
#define AB_KEYS_H

#include "conf.h"
#include "digest.h"
#include "settings.h"

struct ab_curve_pair
{
  char public_key[AB_CURVE_KEY_BYTES];
  char secret_key[AB_CURVE_KEY_BYTES];
};

/* Whether TEXT has the form of a CURVE key.  */
bool ab_curve_key_valid (struct ab_chunk text);

/* Read a key file; ERROR tells the file and what was expected.  AB_ERR_IO,
   AB_ERR_INVALID, AB_ERR_DENIED for a mode that lets others read.  */
int ab_curve_pair_load (const char *path, struct ab_curve_pair *pair,
                        char error[AB_CONF_ERROR_BYTES]);
int ab_secret_key_load (const char *path, struct ab_secret_key *key,
                        char error[AB_CONF_ERROR_BYTES]);

/* Makes a key of KIND and writes it to the new file PATH with mode 0600; an
   existing file is kept and AB_ERR_EXISTS returned.  Appends the public key's
   text to PUBLIC_TEXT.  */
int ab_key_file_new (const char *kind, const char *path,
                     struct ab_buf *public_text,
                     char error[AB_CONF_ERROR_BYTES]);

#endif
