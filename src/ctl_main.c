/* almondctl: the operators' command-line tool.  */

#include <stdio.h>
#include <stdlib.h>

int
main (void)
{
  fputs ("usage: almondctl COMMAND\n", stderr);
  return EXIT_FAILURE;
}
