/* almondctl: command-line tool for operators.  */

#include <getopt.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "ctl.h"
#include "digest.h"

#define NAMES_MAX 64

void
ctl_error (const char *format, ...)
{
  va_list args;

  fputs ("almondctl: ", stderr);
  va_start (args, format);
  vfprintf (stderr, format, args);
  va_end (args);
  fputc ('\n', stderr);
}

static void
print_commands (FILE *out, const struct ctl_command *list)
{
  for (; list->name; list++)
    {
      int width = fprintf (out, "  %s %s", list->name, list->arguments);
      fprintf (out, "%*s %s\n", width < 40 ? 40 - width : 1, "", list->help);
    }
}

static void
print_usage (FILE *out)
{
  fputs ("usage: almondctl [options] COMMAND ...\n"
         "options:\n"
         "  --host IP:PORT   admin address of a host (or ALMONDCTL_HOST)\n"
         "  --key FILE       the operator's key (or ALMONDCTL_KEY)\n"
         "  --json           print JSON\n"
         "  --dry-run        print what a command would change\n"
         "  --wait           wait until a bundle is in force everywhere\n"
         "  --output FILE    file that 'bundle sign' writes\n"
         "queries:\n",
         out);
  print_commands (out, ctl_queries);
  fputs ("commands:\n", out);
  print_commands (out, ctl_commands);
}

/* Returns how many words at the start of ARGV are the name of COMMAND, or 0
   when ARGV starts with another name.  */
static int
match_name (const struct ctl_command *command, int count, char **argv)
{
  char two_words[128];

  if (count >= 1 && strcmp (command->name, argv[0]) == 0)
    return 1;
  if (count < 2)
    return 0;
  snprintf (two_words, sizeof two_words, "%s %s", argv[0], argv[1]);
  return strcmp (command->name, two_words) == 0 ? 2 : 0;
}

/* Returns the command that ARGV names, or null.  *WORDS is the number of words
   of the name.  */
static const struct ctl_command *
find_command (int count, char **argv, int *words)
{
  const struct ctl_command *lists[] = { ctl_queries, ctl_commands };
  const struct ctl_command *found = NULL;

  *words = 0;
  for (size_t i = 0; i < 2; i++)
    for (const struct ctl_command *c = lists[i]; c->name; c++)
      {
        int matched = match_name (c, count, argv);
        /* The longest name wins: "explain target" over "explain".  */
        if (matched > *words)
          {
            found = c;
            *words = matched;
          }
      }
  return found;
}

static enum ctl_exit
fail_unknown (int count, char **argv)
{
  const struct ctl_command *lists[] = { ctl_queries, ctl_commands };
  const char *names[NAMES_MAX];
  size_t used = 0;
  char name[128];
  const char *suggestion;

  for (size_t i = 0; i < 2; i++)
    for (const struct ctl_command *c = lists[i]; c->name; c++)
      if (used < NAMES_MAX)
        names[used++] = c->name;
  snprintf (name, sizeof name, "%s%s%s", argv[0], count > 1 ? " " : "",
            count > 1 ? argv[1] : "");
  suggestion = ab_nearest_name (name, names, used);
  if (!suggestion)
    suggestion = ab_nearest_name (argv[0], names, used);
  if (suggestion)
    ctl_error ("unknown command '%s'; did you mean '%s'?", name, suggestion);
  else
    ctl_error ("unknown command '%s'; see almondctl --help", name);
  return CTL_USAGE;
}

static enum ctl_exit
run_command (struct ctl_options *options, int count, char **argv)
{
  int words;
  const struct ctl_command *command = find_command (count, argv, &words);
  int arguments = count - words;

  if (!command)
    return fail_unknown (count, argv);
  if (arguments < command->min_arguments || arguments > command->max_arguments)
    {
      ctl_error ("usage: almondctl %s %s", command->name, command->arguments);
      return CTL_USAGE;
    }
  options->command = command;
  return command->run (options, arguments, argv + words);
}

int
main (int argc, char **argv)
{
  static const struct option options[]
      = { { "host", required_argument, NULL, 'H' },
          { "key", required_argument, NULL, 'k' },
          { "json", no_argument, NULL, 'j' },
          { "dry-run", no_argument, NULL, 'n' },
          { "wait", no_argument, NULL, 'w' },
          { "output", required_argument, NULL, 'o' },
          { "help", no_argument, NULL, 'h' },
          { "version", no_argument, NULL, 'v' },
          { NULL, 0, NULL, 0 } };
  struct ctl_options chosen = { .host = getenv ("ALMONDCTL_HOST"),
                                .key_file = getenv ("ALMONDCTL_KEY") };
  int option;

  if (ab_crypto_init () < 0)
    return CTL_REFUSED;
  while ((option = getopt_long (argc, argv, "H:k:jnwo:hv", options, NULL))
         != -1)
    switch (option)
      {
      case 'H':
        chosen.host = optarg;
        break;
      case 'k':
        chosen.key_file = optarg;
        break;
      case 'j':
        chosen.json = true;
        break;
      case 'n':
        chosen.dry_run = true;
        break;
      case 'w':
        chosen.wait = true;
        break;
      case 'o':
        chosen.output = optarg;
        break;
      case 'h':
        print_usage (stdout);
        return CTL_OK;
      case 'v':
        puts ("almondctl " AB_VERSION);
        return CTL_OK;
      default:
        return CTL_USAGE;
      }
  if (optind == argc)
    {
      print_usage (stderr);
      return CTL_USAGE;
    }
  return run_command (&chosen, argc - optind, argv + optind);
}
