/* almondbridged: the daemon of entry and control hosts.  */

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon_run.h"
#include "digest.h"
#include "error.h"
#include "fleet_run.h"
#include "log.h"
#include "settings.h"

#define EXIT_USAGE 2

static void
print_usage (FILE *out)
{
  fputs ("usage: almondbridged --settings FILE\n"
         "       almondbridged --check-settings FILE\n"
         "       almondbridged --fleet FILE\n"
         "       almondbridged --check-fleet FILE\n"
         "       almondbridged --help | --version\n",
         out);
}

/* Prints ERROR, or the text of RC when ERROR is empty.  */
static void
print_error (const char *error, int rc)
{
  fprintf (stderr, "almondbridged: %s\n", error[0] ? error : ab_strerror (rc));
}

/* Reads and checks the settings file PATH and the files that it names.
   Returns null after a failure, which has been printed.  */
static struct ab_settings *
load_settings (const char *path)
{
  struct ab_settings *settings = NULL;
  char error[AB_CONF_ERROR_BYTES] = "";
  int rc = ab_settings_load (path, &settings, error);

  if (rc == 0)
    rc = ab_settings_check_files (settings, error);
  if (rc == 0)
    return settings;
  print_error (error, rc);
  ab_settings_free (settings);
  return NULL;
}

static int
check_settings (const char *path)
{
  struct ab_settings *settings = load_settings (path);

  if (!settings)
    return EXIT_FAILURE;
  printf ("%s: settings are valid (host %s, role %s)\n", path, settings->host,
          ab_role_name (settings->role));
  ab_settings_free (settings);
  return EXIT_SUCCESS;
}

static int
run (const char *path)
{
  struct ab_settings *settings = load_settings (path);
  char error[AB_CONF_ERROR_BYTES] = "";
  int rc;

  if (!settings)
    return EXIT_FAILURE;
  rc = ab_log_open (settings->log_file[0] ? settings->log_file : NULL,
                    settings->log_level, settings->host);
  if (rc < 0)
    snprintf (error, sizeof error, "%s: cannot open the log file",
              settings->log_file);
  else
    rc = ab_daemon_run (settings, error);
  if (rc < 0)
    print_error (error, rc);
  ab_settings_free (settings);
  return rc < 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

static int
check_fleet (const char *path)
{
  struct ab_fleet_settings *settings;
  char error[AB_CONF_ERROR_BYTES] = "";
  int rc = ab_fleet_settings_load (path, &settings, error);

  if (rc < 0)
    {
      print_error (error, rc);
      return EXIT_FAILURE;
    }
  printf ("%s: settings are valid (host %s, role %s)\n", path, settings->name,
          ab_fleet_role_name (settings->role));
  ab_fleet_settings_free (settings);
  return EXIT_SUCCESS;
}

static int
run_fleet (const char *path)
{
  struct ab_fleet_settings *settings;
  char error[AB_CONF_ERROR_BYTES] = "";
  int rc = ab_fleet_settings_load (path, &settings, error);

  if (rc == 0)
    rc = ab_log_open_stdout (settings->base.log_level, settings->name);
  if (rc == 0)
    rc = ab_fleet_run (settings, path, error);
  if (rc < 0)
    print_error (error, rc);
  ab_fleet_settings_free (settings);
  return rc < 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  static const struct option options[]
      = { { "settings", required_argument, NULL, 's' },
          { "check-settings", required_argument, NULL, 'c' },
          { "fleet", required_argument, NULL, 'f' },
          { "check-fleet", required_argument, NULL, 'F' },
          { "help", no_argument, NULL, 'h' },
          { "version", no_argument, NULL, 'v' },
          { NULL, 0, NULL, 0 } };
  int option = getopt_long (argc, argv, "s:c:f:F:hv", options, NULL);

  if (ab_crypto_init () < 0)
    {
      fputs ("almondbridged: cannot initialise the crypto library\n", stderr);
      return EXIT_FAILURE;
    }
  switch (option)
    {
    case 's':
      return run (optarg);
    case 'c':
      return check_settings (optarg);
    case 'f':
      return run_fleet (optarg);
    case 'F':
      return check_fleet (optarg);
    case 'h':
      print_usage (stdout);
      return EXIT_SUCCESS;
    case 'v':
      puts ("almondbridged " AB_VERSION);
      return EXIT_SUCCESS;
    default:
      print_usage (stderr);
      return EXIT_USAGE;
    }
}
