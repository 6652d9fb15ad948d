/* TLS towards callers.  */

#ifndef AB_PROXY_TLS_H
#define AB_PROXY_TLS_H

#include <openssl/ssl.h>

#include "conf.h"

/* A server context, TLS 1.2 or later, with the certificate chain and key of
   two PEM files.  AB_ERR_INVALID or AB_ERR_MEMORY; ERROR then names the file
   and the reason.  */
int ab_proxy_tls_load (const char *certificate_file, const char *key_file,
                       SSL_CTX **ctx, char error[AB_CONF_ERROR_BYTES]);

#endif
