/* flintrack: one controller of the cluster scheduler. The program parses the arguments, reads the settings file, starts
 * the controller (net/controller.h) and runs the main loop. The main loop runs until a signal ends the process. */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include <gio/gio.h>

#include "config.h"
#include "fatal_signal.h"
#include "log.h"
#include "net/controller.h"

/* The exit codes other than EXIT_SUCCESS (0). --help and the manual page document them. */
typedef enum {
  EXIT_USAGE = 2,    /* the arguments are wrong, or neither --config, --check nor --version is given */
  EXIT_SETTINGS = 3, /* the settings file cannot be read, is not JSON, or has a missing or invalid field */
  EXIT_LISTEN = 4,   /* the controller cannot listen on one of its addresses in the settings file */
} ExitCode;

/* Runs a controller with the settings file at `path`. Returns the exit code. */
static int
run_controller (const char *path)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (FtConfig) config = ft_config_load (path, &error);
  if (config == NULL) {
    fprintf (stderr, "flintrack: %s\n", error->message);
    return EXIT_SETTINGS;
  }
  /* Turns off the allocator's fast bins. A message needs many small blocks and a few large buffers; with fast bins,
   * each allocation of a large buffer makes the allocator merge all small blocks that have been freed. */
  mallopt (M_MXFAST, 0);
  ft_log_init (config->member);
  ft_fatal_signal_report (config->member);
  FtController *controller = ft_controller_new (config, &error);
  if (controller == NULL) {
    fprintf (stderr, "flintrack: cannot listen: %s\n", error->message);
    return EXIT_LISTEN;
  }
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_main_loop_run (loop);
  ft_controller_free (controller);
  return EXIT_SUCCESS;
}

/* Checks the settings file at `path` and prints the result. Returns the exit code. */
static int
check_settings (const char *path)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (FtConfig) config = ft_config_load (path, &error);
  if (config == NULL) {
    fprintf (stderr, "flintrack: %s\n", error->message);
    return EXIT_SETTINGS;
  }
  printf ("%s: settings of %s are valid (%u teams, %u controllers)\n", path, config->member, config->core.n_teams,
          config->core.size);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  g_autofree char *config = NULL, *to_check = NULL;
  gboolean version = FALSE;
  g_autoptr (GError) error = NULL;
  const GOptionEntry entries[] = {
    { "config", 'c', 0, G_OPTION_ARG_FILENAME, &config, "Run a controller with this settings file", "FILE" },
    { "check", 0, 0, G_OPTION_ARG_FILENAME, &to_check, "Check a settings file and exit", "FILE" },
    { "version", 0, 0, G_OPTION_ARG_NONE, &version, "Print the version and exit", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  g_autoptr (GOptionContext) context = g_option_context_new ("- a controller of the flintrack cluster scheduler");
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_description (
      context, "Exit codes: 2 wrong arguments, 3 settings missing or wrong, 4 an address cannot be listened on.\n"
               "LOG_LEVEL (error, info, debug) sets what is logged to standard error.");
  if (!g_option_context_parse (context, &argc, &argv, &error) || argc > 1) {
    fprintf (stderr, "flintrack: %s\n", error != NULL ? error->message : "unexpected argument");
    return EXIT_USAGE;
  }
  if (version) {
    printf ("flintrack %s\n", FT_VERSION);
    return EXIT_SUCCESS;
  }
  if (to_check != NULL)
    return check_settings (to_check);
  if (config != NULL)
    return run_controller (config);
  fprintf (stderr, "flintrack: --config FILE is needed; see --help\n");
  return EXIT_USAGE;
}
