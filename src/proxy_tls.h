/* TLS for connections from callers.  */

#ifndef AB_PROXY_TLS_H
#define AB_PROXY_TLS_H

#include <openssl/ssl.h>

#include "conf.h"

/* Creates a server context for TLS 1.2 or later with the certificate chain and
   the key of two PEM files.  Returns 0, AB_ERR_INVALID with the file and the
   reason in ERROR, or AB_ERR_MEMORY.  */
int ab_proxy_tls_load (const char *certificate_file, const char *key_file,
                       SSL_CTX **ctx, char error[AB_CONF_ERROR_BYTES]);

#endif
