#include "proxy_tls.h"

#include <openssl/err.h>
#include <stdio.h>

#include "error.h"

static int
fail (const char *path, const char *what, char error[AB_CONF_ERROR_BYTES])
{
  char reason[256];

  ERR_error_string_n (ERR_get_error (), reason, sizeof reason);
  ERR_clear_error ();
  snprintf (error, AB_CONF_ERROR_BYTES, "%s: %s: %s", path, what, reason);
  return AB_ERR_INVALID;
}

int
ab_proxy_tls_load (const char *certificate_file, const char *key_file,
                   SSL_CTX **ctx, char error[AB_CONF_ERROR_BYTES])
{
  SSL_CTX *result = SSL_CTX_new (TLS_server_method ());
  int rc = 0;

  *ctx = NULL;
  if (!result)
    return AB_ERR_MEMORY;
  SSL_CTX_set_min_proto_version (result, TLS1_2_VERSION);
  if (SSL_CTX_use_certificate_chain_file (result, certificate_file) != 1)
    rc = fail (certificate_file, "expected a PEM certificate chain", error);
  else if (SSL_CTX_use_PrivateKey_file (result, key_file, SSL_FILETYPE_PEM)
           != 1)
    rc = fail (key_file, "expected the PEM key of the certificate", error);
  else if (SSL_CTX_check_private_key (result) != 1)
    rc = fail (key_file, "does not belong to the certificate", error);
  if (rc < 0)
    SSL_CTX_free (result);
  else
    *ctx = result;
  return rc;
}
