/* The saved copy of the bundle in force.  */

#ifndef AB_BUNDLE_FILE_H
#define AB_BUNDLE_FILE_H

#include "signed_bundle.h"

/* Writes BUNDLE as the file NAME of FOLDER: temporary file, fsync, rename,
   fsync of the folder.  AB_ERR_IO, AB_ERR_FULL, AB_ERR_MEMORY; the earlier
   copy is then still there.  */
int ab_bundle_file_save (const char *folder, const char *name,
                         const struct ab_signed_bundle *bundle);

/* Reads it back; only its form is checked.  AB_ERR_NOT_FOUND, AB_ERR_IO,
   AB_ERR_CORRUPT.  Free BUNDLE after success only.  */
int ab_bundle_file_load (const char *folder, const char *name,
                         struct ab_signed_bundle *bundle);

/* Renames an unusable copy to NAME.unusable for the operator.  */
int ab_bundle_file_set_aside (const char *folder, const char *name);

#endif
