/* Error numbers.

   Functions of almondbridge return 0 for success or one of these negative
   numbers.  A number's text comes from ab_strerror.  */

#ifndef AB_ERROR_H
#define AB_ERROR_H

enum ab_error
{
  AB_OK = 0,
  AB_ERR_MEMORY = -1,       /* An allocation failed.  */
  AB_ERR_IO = -2,           /* A file or socket operation failed.  */
  AB_ERR_INVALID = -3,      /* The input breaks a rule of its format.  */
  AB_ERR_TOO_LARGE = -4,    /* A length is over its bound.  */
  AB_ERR_NOT_FOUND = -5,    /* No such item.  */
  AB_ERR_EXISTS = -6,       /* The item is there already.  */
  AB_ERR_CORRUPT = -7,      /* A checksum or structure does not match.  */
  AB_ERR_DENIED = -8,       /* A credential or signature is not accepted.  */
  AB_ERR_NOT_LEADER = -9,   /* Another member of the group leads.  */
  AB_ERR_UNAVAILABLE = -10, /* The part needed does not answer.  */
  AB_ERR_TIMEOUT = -11,     /* The deadline has passed.  */
  AB_ERR_FULL = -12,        /* A queue, limit or disk is full.  */
  AB_ERR_CONFLICT = -13,    /* Another value was accepted first.  */
  AB_ERR_STALE = -14,       /* The input is older than what is in force.  */
  AB_ERR_EXPIRED = -15,     /* The item is past its retention.  */
  AB_ERR_BUSY = -16,        /* The operation is in progress elsewhere.  */
  AB_ERR_VERSION = -17      /* A protocol or format version is not known.  */
};

/* Returns a short English text for ERROR, never null.  */
const char *ab_strerror (int error);

#endif
