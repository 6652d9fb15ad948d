/* Resource limits of the process.  */

#ifndef AB_PROCESS_LIMIT_H
#define AB_PROCESS_LIMIT_H

/* Raises the soft limit of open descriptors to the hard limit: every
   connection needs a descriptor, and the soft limit is often 1,024.  A failure
   to set the limit is logged.  */
void ab_raise_descriptor_limit (void);

#endif
