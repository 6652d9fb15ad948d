/* Stores the signed bundle in force as a file, so that a restarted host has a
   configuration while it can reach neither peers nor the control group.

   Blocking file I/O.  Signatures are not checked here.  */

#ifndef AB_BUNDLE_FILE_H
#define AB_BUNDLE_FILE_H

#include "signed_bundle.h"

/* Writes BUNDLE atomically to the file NAME in FOLDER: temporary file, fsync,
   rename, fsync of the folder.  Returns 0, AB_ERR_IO, AB_ERR_FULL when the
   disk or quota is exhausted, AB_ERR_TOO_LARGE for a path that is too long, or
   AB_ERR_MEMORY.  The file holds the earlier copy or the new one, never a part
   of either.  */
int ab_bundle_file_save (const char *folder, const char *name,
                         const struct ab_signed_bundle *bundle);

/* Reads the file NAME in FOLDER into the uninitialised BUNDLE.  Checks the
   encoding only, not the signatures.  Returns 0, AB_ERR_NOT_FOUND, AB_ERR_IO
   or AB_ERR_CORRUPT.  The caller frees BUNDLE after success only.  */
int ab_bundle_file_load (const char *folder, const char *name,
                         struct ab_signed_bundle *bundle);

/* Renames an unusable file to NAME.unusable, so that an operator can inspect
   it.  */
int ab_bundle_file_set_aside (const char *folder, const char *name);

#endif
