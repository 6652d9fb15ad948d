/* Limits of the process.  */

#ifndef AB_PROCESS_LIMIT_H
#define AB_PROCESS_LIMIT_H

/* Raises the number of descriptors to what the system allows: connections
   need them, and the soft limit is often 1,024.  */
void ab_raise_descriptor_limit (void);

#endif
