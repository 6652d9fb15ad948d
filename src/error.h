/* Error numbers.

   Unless their headers say otherwise, functions that can fail return 0 for
   success or one of these negative numbers.  ab_strerror gives the text of a
   number.  */

#ifndef AB_ERROR_H
#define AB_ERROR_H

enum ab_error
{
  AB_OK = 0,
  AB_ERR_MEMORY = -1,       /* An allocation failed.  */
  AB_ERR_IO = -2,           /* A file or socket operation failed.  */
  AB_ERR_INVALID = -3,      /* The input violates its format.  */
  AB_ERR_TOO_LARGE = -4,    /* A length exceeds its limit.  */
  AB_ERR_NOT_FOUND = -5,    /* No such item.  */
  AB_ERR_EXISTS = -6,       /* The item exists already.  */
  AB_ERR_CORRUPT = -7,      /* A checksum or structure does not match.  */
  AB_ERR_DENIED = -8,       /* A credential or signature is not accepted.  */
  AB_ERR_NOT_LEADER = -9,   /* This member is not the group's leader.  */
  AB_ERR_UNAVAILABLE = -10, /* A required component does not respond.  */
  AB_ERR_TIMEOUT = -11,     /* The deadline has passed.  */
  AB_ERR_FULL = -12,        /* A queue, limit or disk is full.  */
  AB_ERR_CONFLICT = -13,    /* Another value was accepted first.  */
  AB_ERR_STALE = -14,       /* The input is older than what is in force.  */
  AB_ERR_EXPIRED = -15,     /* The item's retention period has ended.  */
  AB_ERR_BUSY = -16,        /* The operation is in progress elsewhere.  */
  AB_ERR_VERSION = -17      /* Unknown protocol or format version.  */
};

/* Returns a short English text for ERROR, never null.  */
const char *ab_strerror (int error);

#endif
